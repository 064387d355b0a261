//! Cutting, scaling and merging recordings, and what can be said of one; all of it streamed.
use crate::{Arrival, Header, RecordingError, RecordingReader, RecordingWriter};
use std::collections::BTreeMap;
use std::io::{Read, Write};

/// Keeps what lies between two times, in seconds; it begins anew at the first.
pub fn cut<R: Read, W: Write>(
    reader: &mut RecordingReader<R>,
    out: W,
    from: f64,
    to: f64,
) -> Result<u64, RecordingError> {
    let (from_us, to_us) = ((from * 1e6) as u64, (to * 1e6) as u64);
    let mut recorder = RecordingWriter::begin(out, &reader.header)?;
    while let Some(a) = reader.next_arrival()? {
        if a.at_us >= to_us {
            break;
        }
        if a.at_us >= from_us {
            recorder.add(&Arrival { at_us: a.at_us - from_us, ..a })?;
        }
    }
    let written = recorder.written;
    recorder.end()?;
    Ok(written)
}

/// Plays time faster or slower, and sessions several times over: `copies` of each arrival, each with sessions of its own.
/// Copies come `spread` seconds apart, or all of them would meet at one moment.
pub fn scale<R: Read, W: Write>(
    reader: &mut RecordingReader<R>,
    out: W,
    speed: f64,
    copies: u32,
    spread: f64,
) -> Result<u64, RecordingError> {
    let mut recorder = RecordingWriter::begin(out, &reader.header)?;
    // Copies that are still to come; no more than lie within the spread.
    let mut coming: BTreeMap<(u64, u64), Arrival> = BTreeMap::new();
    let mut number = 0;
    while let Some(a) = reader.next_arrival()? {
        let at = (a.at_us as f64 / speed) as u64;
        while let Some(first) = coming.first_entry().filter(|e| e.key().0 <= at) {
            recorder.add(&first.remove())?;
        }
        for copy in 0..u64::from(copies) {
            let session = match a.session {
                0 => 0,
                s => s.wrapping_add(copy.wrapping_mul(0x9e37_79b9_7f4a_7c15)).max(1),
            };
            let at_us = at + (copy as f64 * spread * 1e6) as u64;
            number += 1;
            coming.insert((at_us, number), Arrival { at_us, session, ..a });
        }
    }
    for a in coming.into_values() {
        recorder.add(&a)?;
    }
    let written = recorder.written;
    recorder.end()?;
    Ok(written)
}

/// Plays two recordings over each other. Names are joined; sessions stay strangers, for their salts differ.
pub fn merge<A: Read, B: Read, W: Write>(
    a: &mut RecordingReader<A>,
    b: &mut RecordingReader<B>,
    out: W,
) -> Result<u64, RecordingError> {
    let mut header = Header { salt: a.header.salt, ..Header::default() };
    let mut join = |names: &[String], all: fn(&mut Header) -> &mut Vec<String>| -> Vec<u32> {
        let all = all(&mut header);
        let place = |name: &String| {
            let found = all.iter().position(|n| n == name);
            found.unwrap_or_else(|| {
                all.push(name.clone());
                all.len() - 1
            }) as u32
        };
        names.iter().map(place).collect()
    };
    let workloads =
        [join(&a.header.workloads, |h| &mut h.workloads), join(&b.header.workloads, |h| &mut h.workloads)];
    let groups = [join(&a.header.groups, |h| &mut h.groups), join(&b.header.groups, |h| &mut h.groups)];
    let mut recorder = RecordingWriter::begin(out, &header)?;
    let (mut one, mut other) = (a.next_arrival()?, b.next_arrival()?);
    loop {
        let first = match (&one, &other) {
            (None, None) => break,
            (Some(x), Some(y)) => usize::from(y.at_us < x.at_us),
            (Some(_), None) => 0,
            (None, Some(_)) => 1,
        };
        let next = if first == 0 { a.next_arrival()? } else { b.next_arrival()? };
        let slot = if first == 0 { &mut one } else { &mut other };
        let Some(arrival) = std::mem::replace(slot, next) else { break };
        let workload = workloads[first][arrival.workload as usize];
        let group = groups[first][arrival.group as usize];
        recorder.add(&Arrival { workload, group, ..arrival })?;
    }
    let written = recorder.written;
    recorder.end()?;
    Ok(written)
}

/// What a recording holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    pub arrivals: u64,
    pub seconds: f64,
    pub retries: u64,
    pub by_workload: Vec<u64>,
    pub by_group: Vec<u64>,
    /// The most in one second, and which.
    pub peak: (u64, u64),
}

pub fn inspect<R: Read>(reader: &mut RecordingReader<R>) -> Result<Summary, RecordingError> {
    let mut s = Summary {
        by_workload: vec![0; reader.header.workloads.len()],
        by_group: vec![0; reader.header.groups.len()],
        ..Summary::default()
    };
    let mut second = (0, 0);
    while let Some(a) = reader.next_arrival()? {
        s.arrivals += 1;
        s.retries += u64::from(a.is_retry);
        s.seconds = a.at_us as f64 / 1e6;
        s.by_workload[a.workload as usize] += 1;
        s.by_group[a.group as usize] += 1;
        let now = a.at_us / 1_000_000;
        second = if second.1 == now { (second.0 + 1, now) } else { (1, now) };
        if second.0 > s.peak.0 {
            s.peak = second;
        }
    }
    Ok(s)
}

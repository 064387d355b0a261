//! Cuts, scales, merges and summarises recordings, all as streams.
use crate::{Arrival, Header, RecordingError, RecordingReader, RecordingWriter};
use std::collections::BTreeMap;
use std::io::{Read, Write};

/// Keeps the arrivals between two times, in seconds; the result starts at time 0.
pub fn cut<R: Read, W: Write>(
    reader: &mut RecordingReader<R>,
    out: W,
    from: f64,
    to: f64,
) -> Result<u64, RecordingError> {
    let (from_us, to_us) = ((from * 1e6) as u64, (to * 1e6) as u64);
    let mut recorder = RecordingWriter::begin(out, &reader.header)?;
    while let Some(arrival) = reader.next_arrival()? {
        if arrival.at_us >= to_us {
            break;
        }
        if arrival.at_us >= from_us {
            recorder.add(&Arrival { at_us: arrival.at_us - from_us, ..arrival })?;
        }
    }
    let written = recorder.written;
    recorder.end()?;
    Ok(written)
}

/// Changes the speed, and writes `copies` of each arrival, each copy with sessions of its own. Copies of an
/// arrival are `spread` seconds apart; without this they would all arrive at the same moment.
pub fn scale<R: Read, W: Write>(
    reader: &mut RecordingReader<R>,
    out: W,
    speed: f64,
    copies: u32,
    spread: f64,
) -> Result<u64, RecordingError> {
    let mut recorder = RecordingWriter::begin(out, &reader.header)?;
    // Copies that are not written yet; never more than fall within the spread.
    let mut pending: BTreeMap<(u64, u64), Arrival> = BTreeMap::new();
    let mut number = 0;
    while let Some(arrival) = reader.next_arrival()? {
        let scaled_us = (arrival.at_us as f64 / speed) as u64;
        while let Some(first) = pending.first_entry().filter(|e| e.key().0 <= scaled_us) {
            recorder.add(&first.remove())?;
        }
        for copy in 0..u64::from(copies) {
            let session = match arrival.session {
                0 => 0,
                original => original.wrapping_add(copy.wrapping_mul(0x9e37_79b9_7f4a_7c15)).max(1),
            };
            let at_us = scaled_us + (copy as f64 * spread * 1e6) as u64;
            number += 1;
            pending.insert((at_us, number), Arrival { at_us, session, ..arrival });
        }
    }
    for arrival in pending.into_values() {
        recorder.add(&arrival)?;
    }
    let written = recorder.written;
    recorder.end()?;
    Ok(written)
}

/// Merges two recordings into one. Names that occur in both are joined; sessions stay distinct, because the
/// two salts differ.
pub fn merge<A: Read, B: Read, W: Write>(
    a: &mut RecordingReader<A>,
    b: &mut RecordingReader<B>,
    out: W,
) -> Result<u64, RecordingError> {
    let mut header = Header { salt: a.header.salt, ..Header::default() };
    let mut merge_names = |names: &[String], all: fn(&mut Header) -> &mut Vec<String>| -> Vec<u32> {
        let all = all(&mut header);
        let index_of = |name: &String| {
            let found = all.iter().position(|n| n == name);
            found.unwrap_or_else(|| {
                all.push(name.clone());
                all.len() - 1
            }) as u32
        };
        names.iter().map(index_of).collect()
    };
    let workloads = [
        merge_names(&a.header.workloads, |h| &mut h.workloads),
        merge_names(&b.header.workloads, |h| &mut h.workloads),
    ];
    let groups =
        [merge_names(&a.header.groups, |h| &mut h.groups), merge_names(&b.header.groups, |h| &mut h.groups)];
    let mut recorder = RecordingWriter::begin(out, &header)?;
    let (mut next_of_a, mut next_of_b) = (a.next_arrival()?, b.next_arrival()?);
    loop {
        let first = match (&next_of_a, &next_of_b) {
            (None, None) => break,
            (Some(x), Some(y)) => usize::from(y.at_us < x.at_us),
            (Some(_), None) => 0,
            (None, Some(_)) => 1,
        };
        let next = if first == 0 { a.next_arrival()? } else { b.next_arrival()? };
        let slot = if first == 0 { &mut next_of_a } else { &mut next_of_b };
        let Some(arrival) = std::mem::replace(slot, next) else { break };
        let workload = workloads[first][arrival.workload as usize];
        let group = groups[first][arrival.group as usize];
        recorder.add(&Arrival { workload, group, ..arrival })?;
    }
    let written = recorder.written;
    recorder.end()?;
    Ok(written)
}

/// Figures of a recording.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    pub arrivals: u64,
    pub seconds: f64,
    pub retries: u64,
    pub by_workload: Vec<u64>,
    pub by_group: Vec<u64>,
    /// The most arrivals within one second, and the number of that second.
    pub peak: (u64, u64),
}

pub fn inspect<R: Read>(reader: &mut RecordingReader<R>) -> Result<Summary, RecordingError> {
    let mut summary = Summary {
        by_workload: vec![0; reader.header.workloads.len()],
        by_group: vec![0; reader.header.groups.len()],
        ..Summary::default()
    };
    let mut current_second = (0, 0);
    while let Some(arrival) = reader.next_arrival()? {
        summary.arrivals += 1;
        summary.retries += u64::from(arrival.is_retry);
        summary.seconds = arrival.at_us as f64 / 1e6;
        summary.by_workload[arrival.workload as usize] += 1;
        summary.by_group[arrival.group as usize] += 1;
        let now = arrival.at_us / 1_000_000;
        current_second = if current_second.1 == now { (current_second.0 + 1, now) } else { (1, now) };
        if current_second.0 > summary.peak.0 {
            summary.peak = current_second;
        }
    }
    Ok(summary)
}

//! Binary encoding of facts and messages. A message that cannot be decoded completely is rejected; lengths are
//! checked before anything is allocated. Each fact carries its length, so a corrupt fact is skipped without affecting
//! the others.
use crate::fact::{Fact, Key, Kind, Report, Value, MAX_NAME_LENGTH};
use crate::sync_protocol::Message;
use crate::tree::FANOUT;
use sandstile_sessions::mark::{Mark, SessionMarks, Term};
use std::collections::BTreeMap;

/// Maximum size of one message, and maximum entries of its lists.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;
pub const MAX_ENTRIES: usize = 4096;
/// Maximum terms in one mark; a sender keeps three.
const MAX_TERMS: usize = 8;

fn write_name(out: &mut Vec<u8>, text: &str) {
    let bytes = &text.as_bytes()[..text.len().min(MAX_NAME_LENGTH)];
    out.push(bytes.len() as u8);
    out.extend_from_slice(bytes);
}

/// Appends a fact with its age at `now`, prefixed by its length.
pub fn encode_fact(out: &mut Vec<u8>, now: f64, key: &Key, fact: &Fact) {
    let start = out.len();
    out.extend_from_slice(&[0, 0]);
    out.push(key.kind as u8);
    write_name(out, &key.subject);
    write_name(out, &key.owner);
    let age = ((now - fact.created_at).max(0.0) * 1e3) as u64;
    out.extend_from_slice(&age.to_be_bytes());
    match &fact.value {
        Value::SessionMarks(SessionMarks::Terms(all)) => {
            out.extend_from_slice(&[0, all.len().min(MAX_TERMS) as u8]);
            for (term, position) in all.iter().take(MAX_TERMS) {
                out.extend_from_slice(&term.0.to_be_bytes());
                out.extend_from_slice(&position.to_bits().to_be_bytes());
            }
        }
        Value::SessionMarks(SessionMarks::Lost(latest)) => {
            out.push(1);
            out.extend_from_slice(&latest.to_bits().to_be_bytes());
        }
        Value::Max(highest) => {
            out.push(2);
            out.extend_from_slice(&highest.to_bits().to_be_bytes());
        }
        Value::Report(report) => {
            out.extend_from_slice(&[3, report.severity]);
            out.extend_from_slice(&report.generation.to_be_bytes());
            out.extend_from_slice(&report.version.to_be_bytes());
            write_name(out, &report.body);
        }
    }
    let length = (out.len() - start - 2) as u16;
    out[start..start + 2].copy_from_slice(&length.to_be_bytes());
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn read_bytes(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(head)
    }

    fn read_u8(&mut self) -> Option<u8> {
        self.read_bytes(1).map(|b| b[0])
    }

    fn read_array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.read_bytes(N)?.try_into().ok()
    }

    fn read_u64(&mut self) -> Option<u64> {
        self.read_array().map(u64::from_be_bytes)
    }

    fn read_f64(&mut self) -> Option<f64> {
        self.read_u64().map(f64::from_bits).filter(|f| !f.is_nan())
    }

    fn read_name(&mut self) -> Option<Box<str>> {
        let length = usize::from(self.read_u8()?);
        let bytes = self.read_bytes(length).filter(|_| length <= MAX_NAME_LENGTH)?;
        std::str::from_utf8(bytes).ok().map(Into::into)
    }

    fn read_count(&mut self) -> Option<usize> {
        let count = usize::from(u16::from_be_bytes(self.read_array()?));
        (count <= MAX_ENTRIES).then_some(count)
    }
}

fn decode_fact_body(bytes: &[u8], now: f64) -> Option<(Key, Fact)> {
    let mut reader = Reader(bytes);
    let kind = Kind::from_code(reader.read_u8()?)?;
    let key = Key { kind, subject: reader.read_name()?, owner: reader.read_name()? };
    let created_at = now - reader.read_u64()? as f64 / 1e3;
    let value = match reader.read_u8()? {
        0 => {
            let count = usize::from(reader.read_u8()?);
            let mut terms = BTreeMap::new();
            for _ in 0..count.min(MAX_TERMS) {
                let mark = Mark { term: Term(reader.read_u64()?), position: reader.read_f64()? };
                // The mark type enforces its own bounds and merging below.
                terms.insert(mark.term, mark.position);
            }
            let mut session_marks = SessionMarks::default();
            terms
                .into_iter()
                .for_each(|(term, position)| session_marks.merge(&SessionMarks::of(Mark { term, position })));
            Value::SessionMarks(session_marks)
        }
        1 => Value::SessionMarks(SessionMarks::Lost(reader.read_f64()?)),
        2 => Value::Max(reader.read_f64()?),
        3 => {
            let severity = reader.read_u8()?;
            let (generation, version) = (reader.read_u64()?, reader.read_u64()?);
            Value::Report(Report { generation, version, severity, body: reader.read_name()? })
        }
        _ => return None,
    };
    (reader.0.is_empty() && key.is_valid() && value.fits(kind)).then_some((key, Fact { value, created_at }))
}

/// Decodes exactly one fact as written by `encode_fact`.
pub fn decode_fact(bytes: &[u8], now: f64) -> Option<(Key, Fact)> {
    let mut reader = Reader(bytes);
    let length = usize::from(u16::from_be_bytes(reader.read_array()?));
    (reader.0.len() == length).then(|| decode_fact_body(reader.0, now)).flatten()
}

fn write_facts(out: &mut Vec<u8>, now: f64, facts: &[(Key, Fact)]) {
    out.extend_from_slice(&(facts.len().min(MAX_ENTRIES) as u16).to_be_bytes());
    facts.iter().take(MAX_ENTRIES).for_each(|(key, f)| encode_fact(out, now, key, f));
}

fn write_hashes(out: &mut Vec<u8>, hashes: &[u64]) {
    out.extend_from_slice(&(hashes.len().min(MAX_ENTRIES) as u16).to_be_bytes());
    hashes.iter().take(MAX_ENTRIES).for_each(|h| out.extend_from_slice(&h.to_be_bytes()));
}

pub fn encode(message: &Message, now: f64) -> Vec<u8> {
    let mut out = Vec::new();
    match message {
        Message::Root(sum) => {
            out.push(0);
            out.extend_from_slice(&sum.to_be_bytes());
        }
        Message::Same(sum) => {
            out.push(1);
            out.extend_from_slice(&sum.to_be_bytes());
        }
        Message::Node { level, node, sums } => {
            out.extend_from_slice(&[2, *level]);
            out.extend_from_slice(&node.to_be_bytes());
            sums.iter().for_each(|s| out.extend_from_slice(&s.to_be_bytes()));
        }
        Message::Leaf { level, node, hashes } => {
            out.extend_from_slice(&[3, *level]);
            out.extend_from_slice(&node.to_be_bytes());
            let flat: Vec<u64> = hashes.iter().flat_map(|(k, v)| [*k, *v]).collect();
            write_hashes(&mut out, &flat);
        }
        Message::Want(hashes) => {
            out.push(4);
            write_hashes(&mut out, hashes);
        }
        Message::Facts(facts) => {
            out.push(5);
            write_facts(&mut out, now, facts);
        }
        Message::Deltas { up_to, facts } => {
            out.push(6);
            out.extend_from_slice(&up_to.to_be_bytes());
            write_facts(&mut out, now, facts);
        }
        Message::Ack(up_to) => {
            out.push(7);
            out.extend_from_slice(&up_to.to_be_bytes());
        }
        Message::Echo { round, hop } => {
            out.extend_from_slice(&[8, *hop]);
            out.extend_from_slice(&round.to_be_bytes());
        }
    }
    out
}

/// Returns the message and the number of corrupt facts that were skipped; `None` if the bytes are not a valid
/// message.
pub fn decode(bytes: &[u8], now: f64) -> Option<(Message, usize)> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return None;
    }
    let mut reader = Reader(bytes);
    let mut corrupt = 0;
    let mut facts = |reader: &mut Reader| {
        let count = reader.read_count()?;
        let mut all = Vec::new();
        for _ in 0..count {
            let length = usize::from(u16::from_be_bytes(reader.read_array()?));
            match decode_fact_body(reader.read_bytes(length)?, now) {
                Some(fact) => all.push(fact),
                None => corrupt += 1,
            }
        }
        Some(all)
    };
    let message = match reader.read_u8()? {
        0 => Message::Root(reader.read_u64()?),
        1 => Message::Same(reader.read_u64()?),
        2 => {
            let level = reader.read_u8()?;
            let node = u32::from_be_bytes(reader.read_array()?);
            let mut sums = [0; FANOUT];
            for sum in &mut sums {
                *sum = reader.read_u64()?;
            }
            Message::Node { level, node, sums }
        }
        3 => {
            let level = reader.read_u8()?;
            let node = u32::from_be_bytes(reader.read_array()?);
            let count = reader.read_count().filter(|n| n % 2 == 0)?;
            let hashes = (0..count / 2).map(|_| Some((reader.read_u64()?, reader.read_u64()?)));
            Message::Leaf { level, node, hashes: hashes.collect::<Option<_>>()? }
        }
        4 => {
            let count = reader.read_count()?;
            Message::Want((0..count).map(|_| reader.read_u64()).collect::<Option<_>>()?)
        }
        5 => Message::Facts(facts(&mut reader)?),
        6 => {
            let up_to = reader.read_u64()?;
            Message::Deltas { up_to, facts: facts(&mut reader)? }
        }
        7 => Message::Ack(reader.read_u64()?),
        8 => {
            let hop = reader.read_u8()?;
            Message::Echo { round: u32::from_be_bytes(reader.read_array()?), hop }
        }
        _ => return None,
    };
    reader.0.is_empty().then_some((message, corrupt))
}

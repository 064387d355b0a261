//! Facts and messages as bytes. What can't be read whole is none; lengths are bounded before anything is allocated; a fact that is
//! spoilt is refused alone, for each carries its length.
use crate::fact::{Fact, Key, Kind, Report, Value, LONGEST_NAME};
use crate::sync_protocol::Message;
use crate::tree::WIDE;
use sandstile_sessions::mark::{Mark, SessionMarks, Term};
use std::collections::BTreeMap;

/// Bytes of one message at the most, and entries of its lists.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;
pub const MOST_ENTRIES: usize = 4096;
/// Terms of one mark; a sender keeps three.
const MOST_TERMS: usize = 8;

fn name(out: &mut Vec<u8>, text: &str) {
    let bytes = &text.as_bytes()[..text.len().min(LONGEST_NAME)];
    out.push(bytes.len() as u8);
    out.extend_from_slice(bytes);
}

/// A fact with its age at `now`, behind its length.
pub fn encode_fact(out: &mut Vec<u8>, now: f64, key: &Key, fact: &Fact) {
    let place = out.len();
    out.extend_from_slice(&[0, 0]);
    out.push(key.kind as u8);
    name(out, &key.subject);
    name(out, &key.owner);
    let age = ((now - fact.created_at).max(0.0) * 1e3) as u64;
    out.extend_from_slice(&age.to_be_bytes());
    match &fact.value {
        Value::SessionMarks(SessionMarks::Terms(all)) => {
            out.extend_from_slice(&[0, all.len().min(MOST_TERMS) as u8]);
            for (term, position) in all.iter().take(MOST_TERMS) {
                out.extend_from_slice(&term.0.to_be_bytes());
                out.extend_from_slice(&position.to_bits().to_be_bytes());
            }
        }
        Value::SessionMarks(SessionMarks::Lost(latest)) => {
            out.push(1);
            out.extend_from_slice(&latest.to_bits().to_be_bytes());
        }
        Value::Max(most) => {
            out.push(2);
            out.extend_from_slice(&most.to_bits().to_be_bytes());
        }
        Value::Report(said) => {
            out.extend_from_slice(&[3, said.severity]);
            out.extend_from_slice(&said.generation.to_be_bytes());
            out.extend_from_slice(&said.version.to_be_bytes());
            name(out, &said.body);
        }
    }
    let length = (out.len() - place - 2) as u16;
    out[place..place + 2].copy_from_slice(&length.to_be_bytes());
}

struct In<'a>(&'a [u8]);

impl<'a> In<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(head)
    }

    fn byte(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.take(N)?.try_into().ok()
    }

    fn read_u64(&mut self) -> Option<u64> {
        self.array().map(u64::from_be_bytes)
    }

    fn float(&mut self) -> Option<f64> {
        self.read_u64().map(f64::from_bits).filter(|f| !f.is_nan())
    }

    fn name(&mut self) -> Option<Box<str>> {
        let length = usize::from(self.byte()?);
        let bytes = self.take(length).filter(|_| length <= LONGEST_NAME)?;
        std::str::from_utf8(bytes).ok().map(Into::into)
    }

    fn count(&mut self) -> Option<usize> {
        let count = usize::from(u16::from_be_bytes(self.array()?));
        (count <= MOST_ENTRIES).then_some(count)
    }
}

fn fact(bytes: &[u8], now: f64) -> Option<(Key, Fact)> {
    let mut from = In(bytes);
    let kind = Kind::from_code(from.byte()?)?;
    let key = Key { kind, subject: from.name()?, owner: from.name()? };
    let created_at = now - from.read_u64()? as f64 / 1e3;
    let value = match from.byte()? {
        0 => {
            let count = usize::from(from.byte()?);
            let mut terms = BTreeMap::new();
            for _ in 0..count.min(MOST_TERMS) {
                let mark = Mark { term: Term(from.read_u64()?), position: from.float()? };
                // Bounds and merges of marks are theirs.
                terms.insert(mark.term, mark.position);
            }
            let mut seen = SessionMarks::default();
            terms
                .into_iter()
                .for_each(|(term, position)| seen.merge(&SessionMarks::of(Mark { term, position })));
            Value::SessionMarks(seen)
        }
        1 => Value::SessionMarks(SessionMarks::Lost(from.float()?)),
        2 => Value::Max(from.float()?),
        3 => {
            let severity = from.byte()?;
            let (generation, version) = (from.read_u64()?, from.read_u64()?);
            Value::Report(Report { generation, version, severity, body: from.name()? })
        }
        _ => return None,
    };
    (from.0.is_empty() && key.is_valid() && value.fits(kind)).then_some((key, Fact { value, created_at }))
}

/// One fact as `encode_fact` has written it, and nothing else.
pub fn decode_fact(bytes: &[u8], now: f64) -> Option<(Key, Fact)> {
    let mut from = In(bytes);
    let length = usize::from(u16::from_be_bytes(from.array()?));
    (from.0.len() == length).then(|| fact(from.0, now)).flatten()
}

fn put_facts(out: &mut Vec<u8>, now: f64, facts: &[(Key, Fact)]) {
    out.extend_from_slice(&(facts.len().min(MOST_ENTRIES) as u16).to_be_bytes());
    facts.iter().take(MOST_ENTRIES).for_each(|(key, f)| encode_fact(out, now, key, f));
}

fn put_hashes(out: &mut Vec<u8>, hashes: &[u64]) {
    out.extend_from_slice(&(hashes.len().min(MOST_ENTRIES) as u16).to_be_bytes());
    hashes.iter().take(MOST_ENTRIES).for_each(|h| out.extend_from_slice(&h.to_be_bytes()));
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
            put_hashes(&mut out, &flat);
        }
        Message::Want(hashes) => {
            out.push(4);
            put_hashes(&mut out, hashes);
        }
        Message::Facts(facts) => {
            out.push(5);
            put_facts(&mut out, now, facts);
        }
        Message::Deltas { upto, facts } => {
            out.push(6);
            out.extend_from_slice(&upto.to_be_bytes());
            put_facts(&mut out, now, facts);
        }
        Message::Ack(upto) => {
            out.push(7);
            out.extend_from_slice(&upto.to_be_bytes());
        }
        Message::Echo { round, hop } => {
            out.extend_from_slice(&[8, *hop]);
            out.extend_from_slice(&round.to_be_bytes());
        }
    }
    out
}

/// The message, and how many of its facts were spoilt and are left out. `None` for what is no message.
pub fn decode(bytes: &[u8], now: f64) -> Option<(Message, usize)> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return None;
    }
    let mut from = In(bytes);
    let mut corrupt = 0;
    let mut facts = |from: &mut In| {
        let count = from.count()?;
        let mut all = Vec::new();
        for _ in 0..count {
            let length = usize::from(u16::from_be_bytes(from.array()?));
            match fact(from.take(length)?, now) {
                Some(fact) => all.push(fact),
                None => corrupt += 1,
            }
        }
        Some(all)
    };
    let message = match from.byte()? {
        0 => Message::Root(from.read_u64()?),
        1 => Message::Same(from.read_u64()?),
        2 => {
            let level = from.byte()?;
            let node = u32::from_be_bytes(from.array()?);
            let mut sums = [0; WIDE];
            for sum in &mut sums {
                *sum = from.read_u64()?;
            }
            Message::Node { level, node, sums }
        }
        3 => {
            let level = from.byte()?;
            let node = u32::from_be_bytes(from.array()?);
            let count = from.count().filter(|n| n % 2 == 0)?;
            let hashes = (0..count / 2).map(|_| Some((from.read_u64()?, from.read_u64()?)));
            Message::Leaf { level, node, hashes: hashes.collect::<Option<_>>()? }
        }
        4 => {
            let count = from.count()?;
            Message::Want((0..count).map(|_| from.read_u64()).collect::<Option<_>>()?)
        }
        5 => Message::Facts(facts(&mut from)?),
        6 => {
            let upto = from.read_u64()?;
            Message::Deltas { upto, facts: facts(&mut from)? }
        }
        7 => Message::Ack(from.read_u64()?),
        8 => {
            let hop = from.byte()?;
            Message::Echo { round: u32::from_be_bytes(from.array()?), hop }
        }
        _ => return None,
    };
    from.0.is_empty().then_some((message, corrupt))
}

//! Sealed letters: whoever has a key of the ring may speak, and what it said counts once. A letter carries the number of its
//! sender's process and one of its own; a keyed hash (BLAKE3, its keyed mode) goes over all of it.
//!
//! What it does not give: a receiver that has just started takes a letter again that it took in its former life. That is an old
//! word on a member, which newer words override; it never reaches what hosts are asked.
use crate::gate::Bucket;
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub type Secret = [u8; 32];

const FORMAT: u8 = 1;
const HEAD: usize = 1 + 8 + 8;
const MARK: usize = 16;
/// Bytes that a seal adds to a letter.
pub const OVERHEAD: usize = HEAD + MARK;
/// Letters that may overtake one another and still count.
const WINDOW: u64 = 64;
/// Senders' processes that are remembered; those not heard for the longest go first.
const MOST_RUNS: usize = 2048;
/// Each so many letters one goes out under the newest key, though the other spoke under an older one.
const RETRY: u64 = 8;
/// Addresses whose keys are remembered.
const MOST_KEYS: usize = 2048;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refused {
    /// Too short, too long or of another form.
    Unreadable,
    /// Under no key of the ring.
    Forged,
    /// Taken in before, or so old that nobody can tell.
    Replayed,
    /// More than one sender, or all of them together, may say.
    Flooded,
}

fn mark(key: &Secret, bytes: &[u8]) -> [u8; MARK] {
    let hash = blake3::keyed_hash(key, bytes);
    std::array::from_fn(|n| hash.as_bytes()[n])
}

/// Seals what goes out. Keys are known to all sides at different times while they are changed: one that spoke under a key is
/// answered under that one, and one that was never heard is spoken to under each in turn.
pub struct Sealer {
    ring: Vec<Secret>,
    run: u64,
    count: u64,
    turn: usize,
    theirs: BTreeMap<SocketAddr, Secret>,
}

impl Sealer {
    /// `run` is the number of this process: never the same as a former one's. The first key of the ring is the newest.
    pub fn new(ring: Vec<Secret>, run: u64) -> Sealer {
        Sealer { ring, run, count: 0, turn: 0, theirs: BTreeMap::new() }
    }

    pub fn rotate(&mut self, ring: Vec<Secret>) {
        self.theirs.retain(|_, key| ring.contains(key));
        self.ring = ring;
    }

    /// Whoever is there spoke under this key.
    pub fn heard(&mut self, from: SocketAddr, key: Secret) {
        if self.theirs.len() >= MOST_KEYS && !self.theirs.contains_key(&from) {
            self.theirs.clear();
        }
        self.theirs.insert(from, key);
    }

    pub fn seal(&mut self, to: SocketAddr, letter: &[u8]) -> Vec<u8> {
        self.count += 1;
        let mut out = Vec::with_capacity(letter.len() + OVERHEAD);
        out.push(FORMAT);
        out.extend_from_slice(&self.run.to_be_bytes());
        out.extend_from_slice(&self.count.to_be_bytes());
        out.extend_from_slice(letter);
        let key = match self.theirs.get(&to) {
            // Now and then under the newest: one that has it by now answers under it from then on.
            Some(_) if self.count.is_multiple_of(RETRY) => self.ring[0],
            Some(key) => *key,
            None => {
                self.turn += 1;
                self.ring[self.turn % self.ring.len()]
            }
        };
        let mark = mark(&key, &out);
        out.extend_from_slice(&mark);
        out
    }
}

/// What one process has said of late: the highest number, and which of those below it.
struct Run {
    top: u64,
    below: u64,
    heard: f64,
    gate: Bucket,
}

impl Run {
    fn is_new(&self, number: u64) -> bool {
        match self.top.checked_sub(number) {
            None => true,
            Some(0) => false,
            Some(back) => back <= WINDOW && self.below & (1 << (back - 1)) == 0,
        }
    }

    fn take(&mut self, number: u64) {
        if number > self.top {
            let forth = number - self.top;
            // The former top is one of those below now.
            self.below = if forth > WINDOW {
                0
            } else {
                self.below.checked_shl(forth as u32).unwrap_or(0) | 1 << (forth - 1)
            };
            self.top = number;
        } else {
            self.below |= 1 << (self.top - number - 1);
        }
    }
}

/// Opens what comes.
pub struct Opener {
    ring: Vec<Secret>,
    runs: BTreeMap<u64, Run>,
    all: Bucket,
    marks: Bucket,
}

impl Opener {
    pub fn new(ring: Vec<Secret>, now: f64) -> Opener {
        Opener { ring, runs: BTreeMap::new(), all: Bucket::all(now), marks: Bucket::marks(now) }
    }

    pub fn rotate(&mut self, ring: Vec<Secret>) {
        self.ring = ring;
    }

    /// The letter, and the key under which it was said.
    pub fn open<'a>(&mut self, now: f64, bytes: &'a [u8]) -> Result<(&'a [u8], Secret), Refused> {
        if bytes.len() < OVERHEAD || bytes[0] != FORMAT {
            return Err(Refused::Unreadable);
        }
        if !self.marks.takes(now) {
            return Err(Refused::Flooded);
        }
        let (said, seal) = bytes.split_at(bytes.len() - MARK);
        // Marks are compared whole, in constant time: `blake3::Hash` would do so for all 32 bytes.
        let same = |key: &&Secret| mark(key, said).iter().zip(seal).fold(0, |d, (a, b)| d | (a ^ b)) == 0;
        let key = *self.ring.iter().find(same).ok_or(Refused::Forged)?;
        let number = |at: usize| u64::from_be_bytes(std::array::from_fn(|n| said[at + n]));
        let (run, number) = (number(1), number(9));
        if !self.runs.contains_key(&run) && self.runs.len() >= MOST_RUNS {
            let oldest = self.runs.iter().min_by(|a, b| a.1.heard.total_cmp(&b.1.heard)).map(|(run, _)| *run);
            oldest.map(|run| self.runs.remove(&run));
        }
        let from = self.runs.entry(run).or_insert_with(|| Run {
            top: number.saturating_sub(1),
            below: 0,
            heard: now,
            gate: Bucket::one(now),
        });
        from.heard = now;
        if !from.is_new(number) {
            return Err(Refused::Replayed);
        }
        if !from.gate.takes(now) || !self.all.takes(now) {
            return Err(Refused::Flooded);
        }
        from.take(number);
        Ok((&said[HEAD..], key))
    }

    /// Entries of state, which have a bound whoever speaks.
    pub fn held(&self) -> usize {
        self.runs.len()
    }
}

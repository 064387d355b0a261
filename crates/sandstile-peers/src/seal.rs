//! Sealed letters: whoever has a key of the ring may speak, and what it said counts once. A letter carries the number of its
//! sender's process and one of its own; a keyed hash (BLAKE3, its keyed mode) goes over all of it.
//!
//! What it does not give: a receiver that has just started takes a letter again that it took in its former life. That is an old
//! word on a member, which newer words override; it never reaches what hosts are asked.
use crate::gate::TokenBucket;
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub type Secret = [u8; 32];

const FORMAT: u8 = 1;
const HEADER_BYTES: usize = 1 + 8 + 8;
const TAG_BYTES: usize = 16;
/// Bytes that a seal adds to a letter.
pub const SEAL_BYTES: usize = HEADER_BYTES + TAG_BYTES;
/// Letters that may overtake one another and still count.
const REPLAY_WINDOW: u64 = 64;
/// Senders' processes that are remembered; those not heard for the longest go first.
const MAX_SENDERS: usize = 2048;
/// Each so many letters one goes out under the newest key, though the other spoke under an older one.
const NEWEST_KEY_INTERVAL: u64 = 8;
/// Addresses whose keys are remembered.
const MAX_PEER_KEYS: usize = 2048;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OpenError {
    /// Too short, too long or of another form.
    Unreadable,
    /// Under no key of the ring.
    Forged,
    /// Taken in before, or so old that nobody can tell.
    Replayed,
    /// More than one sender, or all of them together, may say.
    Flooded,
}

fn tag(key: &Secret, bytes: &[u8]) -> [u8; TAG_BYTES] {
    let hash = blake3::keyed_hash(key, bytes);
    std::array::from_fn(|n| hash.as_bytes()[n])
}

/// Seals what goes out. Keys are known to all sides at different times while they are changed: one that spoke under a key is
/// answered under that one, and one that was never heard is spoken to under each in turn.
pub struct Sealer {
    keys: Vec<Secret>,
    generation: u64,
    sequence: u64,
    next_key: usize,
    peer_keys: BTreeMap<SocketAddr, Secret>,
}

impl Sealer {
    /// `run` is the number of this process: never the same as a former one's. The first key of the ring is the newest.
    pub fn new(keys: Vec<Secret>, generation: u64) -> Sealer {
        Sealer { keys, generation, sequence: 0, next_key: 0, peer_keys: BTreeMap::new() }
    }

    pub fn rotate(&mut self, keys: Vec<Secret>) {
        self.peer_keys.retain(|_, key| keys.contains(key));
        self.keys = keys;
    }

    /// Whoever is there spoke under this key.
    pub fn remember_key(&mut self, from: SocketAddr, key: Secret) {
        if self.peer_keys.len() >= MAX_PEER_KEYS && !self.peer_keys.contains_key(&from) {
            self.peer_keys.clear();
        }
        self.peer_keys.insert(from, key);
    }

    pub fn seal(&mut self, to: SocketAddr, payload: &[u8]) -> Vec<u8> {
        self.sequence += 1;
        let mut out = Vec::with_capacity(payload.len() + SEAL_BYTES);
        out.push(FORMAT);
        out.extend_from_slice(&self.generation.to_be_bytes());
        out.extend_from_slice(&self.sequence.to_be_bytes());
        out.extend_from_slice(payload);
        let key = match self.peer_keys.get(&to) {
            // Now and then under the newest: one that has it by now answers under it from then on.
            Some(_) if self.sequence.is_multiple_of(NEWEST_KEY_INTERVAL) => self.keys[0],
            Some(key) => *key,
            None => {
                self.next_key += 1;
                self.keys[self.next_key % self.keys.len()]
            }
        };
        let tag = tag(&key, &out);
        out.extend_from_slice(&tag);
        out
    }
}

/// What one process has said of late: the highest number, and which of those below it.
struct SenderWindow {
    highest: u64,
    received_below: u64,
    last_received: f64,
    rate_limit: TokenBucket,
}

impl SenderWindow {
    fn is_new(&self, sequence: u64) -> bool {
        match self.highest.checked_sub(sequence) {
            None => true,
            Some(0) => false,
            Some(distance) => distance <= REPLAY_WINDOW && self.received_below & (1 << (distance - 1)) == 0,
        }
    }

    fn record(&mut self, sequence: u64) {
        if sequence > self.highest {
            let advance = sequence - self.highest;
            // The former top is one of those below now.
            self.received_below = if advance > REPLAY_WINDOW {
                0
            } else {
                self.received_below.checked_shl(advance as u32).unwrap_or(0) | 1 << (advance - 1)
            };
            self.highest = sequence;
        } else {
            self.received_below |= 1 << (self.highest - sequence - 1);
        }
    }
}

/// Opens what comes.
pub struct Opener {
    keys: Vec<Secret>,
    senders: BTreeMap<u64, SenderWindow>,
    all_senders: TokenBucket,
    tag_checks: TokenBucket,
}

impl Opener {
    pub fn new(keys: Vec<Secret>, now: f64) -> Opener {
        Opener {
            keys,
            senders: BTreeMap::new(),
            all_senders: TokenBucket::all_senders(now),
            tag_checks: TokenBucket::tag_checks(now),
        }
    }

    pub fn rotate(&mut self, keys: Vec<Secret>) {
        self.keys = keys;
    }

    /// The letter, and the key under which it was said.
    pub fn open<'a>(&mut self, now: f64, bytes: &'a [u8]) -> Result<(&'a [u8], Secret), OpenError> {
        if bytes.len() < SEAL_BYTES || bytes[0] != FORMAT {
            return Err(OpenError::Unreadable);
        }
        if !self.tag_checks.try_take(now) {
            return Err(OpenError::Flooded);
        }
        let (signed, received_tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        // Marks are compared whole, in constant time: `blake3::Hash` would do so for all 32 bytes.
        let same =
            |key: &&Secret| tag(key, signed).iter().zip(received_tag).fold(0, |d, (a, b)| d | (a ^ b)) == 0;
        let key = *self.keys.iter().find(same).ok_or(OpenError::Forged)?;
        let sequence = |offset: usize| u64::from_be_bytes(std::array::from_fn(|n| signed[offset + n]));
        let (generation, sequence) = (sequence(1), sequence(9));
        if !self.senders.contains_key(&generation) && self.senders.len() >= MAX_SENDERS {
            let oldest = self
                .senders
                .iter()
                .min_by(|a, b| a.1.last_received.total_cmp(&b.1.last_received))
                .map(|(generation, _)| *generation);
            oldest.map(|generation| self.senders.remove(&generation));
        }
        let sender = self.senders.entry(generation).or_insert_with(|| SenderWindow {
            highest: sequence.saturating_sub(1),
            received_below: 0,
            last_received: now,
            rate_limit: TokenBucket::per_sender(now),
        });
        sender.last_received = now;
        if !sender.is_new(sequence) {
            return Err(OpenError::Replayed);
        }
        if !sender.rate_limit.try_take(now) || !self.all_senders.try_take(now) {
            return Err(OpenError::Flooded);
        }
        sender.record(sequence);
        Ok((&signed[HEADER_BYTES..], key))
    }

    /// Entries of state, which have a bound whoever speaks.
    pub fn sender_count(&self) -> usize {
        self.senders.len()
    }
}

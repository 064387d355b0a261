//! Authentication and replay protection of datagrams. A sender needs one of the configured keys, and each datagram is accepted at most
//! once. A datagram carries the generation of the sending process and a sequence number; a keyed hash (BLAKE3 in keyed mode) covers
//! all of it.
//!
//! Limitation: a receiver that has just started accepts a datagram again that its former process had accepted. This is only an old
//! member update, which newer updates override; it never affects the statements sent to hosts.
use crate::rate_limit::TokenBucket;
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub type Secret = [u8; 32];

const FORMAT: u8 = 1;
const HEADER_BYTES: usize = 1 + 8 + 8;
const TAG_BYTES: usize = 16;
/// Bytes that sealing adds to a payload.
pub const SEAL_BYTES: usize = HEADER_BYTES + TAG_BYTES;
/// How far a sequence number may be behind the highest one and still be accepted.
const REPLAY_WINDOW: u64 = 64;
/// Maximum number of sending processes that are tracked; the least recently heard one is evicted first.
const MAX_SENDERS: usize = 2048;
/// Every 8th datagram uses the newest key, even if the recipient last used an older one.
const NEWEST_KEY_INTERVAL: u64 = 8;
/// Maximum number of addresses whose key is remembered.
const MAX_PEER_KEYS: usize = 2048;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OpenError {
    /// Too short, or of an unknown format.
    Unreadable,
    /// Not authenticated by any configured key.
    Forged,
    /// Already accepted, or too old to tell.
    Replayed,
    /// Above the rate limit of one sender, of all senders, or of tag computations.
    Flooded,
}

fn tag(key: &Secret, bytes: &[u8]) -> [u8; TAG_BYTES] {
    let hash = blake3::keyed_hash(key, bytes);
    std::array::from_fn(|n| hash.as_bytes()[n])
}

/// Seals outgoing datagrams. During a key rotation the members learn new keys at different times, so a member is answered with the
/// key that it used last, and a member that was never heard from gets datagrams under each key in turn.
pub struct Sealer {
    keys: Vec<Secret>,
    generation: u64,
    sequence: u64,
    next_key: usize,
    peer_keys: BTreeMap<SocketAddr, Secret>,
}

impl Sealer {
    /// `generation` identifies this process and must differ from that of every former one. The first key is the newest.
    pub fn new(keys: Vec<Secret>, generation: u64) -> Sealer {
        Sealer { keys, generation, sequence: 0, next_key: 0, peer_keys: BTreeMap::new() }
    }

    pub fn rotate(&mut self, keys: Vec<Secret>) {
        self.peer_keys.retain(|_, key| keys.contains(key));
        self.keys = keys;
    }

    /// Remembers the key that the member at this address used last.
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
            // The newest key is tried regularly; a member that has it by now answers with it from then on.
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

/// Replay window of one sending process: the highest sequence number accepted, and a bit mask of the accepted ones below it.
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
            // The previous highest number moves into the mask.
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

/// Authenticates incoming datagrams and rejects replays and floods.
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

    /// Returns the payload and the key that authenticated it.
    pub fn open<'a>(&mut self, now: f64, bytes: &'a [u8]) -> Result<(&'a [u8], Secret), OpenError> {
        if bytes.len() < SEAL_BYTES || bytes[0] != FORMAT {
            return Err(OpenError::Unreadable);
        }
        if !self.tag_checks.try_take(now) {
            return Err(OpenError::Flooded);
        }
        let (signed, received_tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        // All tag bytes are compared, in constant time. `blake3::Hash` compares in constant time as well, but only all 32 bytes.
        let tag_matches =
            |key: &&Secret| tag(key, signed).iter().zip(received_tag).fold(0, |d, (a, b)| d | (a ^ b)) == 0;
        let key = *self.keys.iter().find(tag_matches).ok_or(OpenError::Forged)?;
        let read_u64 = |offset: usize| u64::from_be_bytes(std::array::from_fn(|n| signed[offset + n]));
        let (generation, sequence) = (read_u64(1), read_u64(9));
        if !self.senders.contains_key(&generation) && self.senders.len() >= MAX_SENDERS {
            let least_recent = self
                .senders
                .iter()
                .min_by(|a, b| a.1.last_received.total_cmp(&b.1.last_received))
                .map(|(generation, _)| *generation);
            least_recent.map(|generation| self.senders.remove(&generation));
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

    /// Number of tracked senders; bounded whatever is received.
    pub fn sender_count(&self) -> usize {
        self.senders.len()
    }
}

//! Assigns sessions to a fixed number of slots, so that the memory for them depends neither on how many sessions
//! there are nor on the length of their names. Sessions that share a slot share what is known of their writes: a
//! read then waits for the writes of all of them. Nothing is ever dropped, so no read misses a write of its own.
use sandstile_policy::policy::SESSION_BYTES;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Bytes that the sessions take at most, with what the decisions hold for each.
pub const MAX_SESSION_BYTES: usize = 512 * 1024;
/// Bytes of one slot: the fingerprint of a session, and what the decisions record of its writes.
pub const SLOT_BYTES: usize = size_of::<u32>() + SESSION_BYTES;
const SLOTS: usize = MAX_SESSION_BYTES / SLOT_BYTES;

/// The slots of all sessions, with a fingerprint of the latest session that wrote in each.
pub struct SessionSlots {
    seed: u64,
    /// 0 in a slot in which no session has written.
    latest_writers: Vec<u32>,
}

/// The slot of a session that writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteSlot {
    pub slot: usize,
    /// Another session wrote in this slot before.
    pub is_shared: bool,
}

impl SessionSlots {
    /// A client that doesn't know `seed` can't choose names that share a slot with another session's.
    pub fn new(seed: u64) -> Self {
        SessionSlots { seed, latest_writers: Vec::new() }
    }

    fn hash(&self, name: &str) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, name).hash(&mut hasher);
        hasher.finish()
    }

    /// The slot of a session that reads.
    pub fn slot(&self, name: &str) -> usize {
        (self.hash(name) % SLOTS as u64) as usize
    }

    /// The slot of a session that writes.
    pub fn write_slot(&mut self, name: &str) -> WriteSlot {
        let (slot, fingerprint) = (self.slot(name), (self.hash(name) >> 32) as u32 | 1);
        self.latest_writers.resize(self.latest_writers.len().max(slot + 1), 0);
        let previous = std::mem::replace(&mut self.latest_writers[slot], fingerprint);
        WriteSlot { slot, is_shared: previous != 0 && previous != fingerprint }
    }
}

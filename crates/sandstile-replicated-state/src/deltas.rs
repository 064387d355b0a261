//! What one peer has yet to hear (delta intervals, Almeida, Shoker, Baquero, 2018): the changes behind the number that it has
//! acknowledged. Nothing waits for it in a queue of its own: the copy knows when each key changed last, so that a peer that is slow
//! loses no fact, costs no memory, and hears of one that changed ten times once.
use crate::fact::{Fact, Key};
use crate::state::Replica;
use crate::sync_protocol::Message;

/// Facts that may be on their way to one peer, unacknowledged.
const UNDER_WAY: u64 = 4096;
const AT_ONCE: usize = 256;
/// Changes that are looked at for one message.
const LOOKED_AT: usize = 4096;
/// Whoever told of a fact in a comparison and not as news: all but us most likely know it, so it is told to nobody as news either. One
/// that returns would else tell all that it was told to all the others.
pub const COMPARED: u32 = u32::MAX;

#[derive(Clone, Debug, PartialEq)]
pub struct Deltas {
    acked: u64,
    sent: u64,
    facts_out: u64,
}

impl Deltas {
    /// For a peer that holds all up to this number, or is to hear of that by a comparison.
    pub fn from(version: u64) -> Deltas {
        Deltas { acked: version, sent: version, facts_out: 0 }
    }

    /// The connection ended: what was not acknowledged is sent again.
    pub fn again(&mut self) {
        (self.sent, self.facts_out) = (self.acked, 0);
    }

    pub fn acked(&mut self, upto: u64) {
        // One that acknowledges what was never sent is no honest one, and gains nothing.
        if upto <= self.sent && upto > self.acked {
            self.acked = upto;
            if self.acked == self.sent {
                self.facts_out = 0;
            }
        }
    }

    pub fn behind(&self, replica: &Replica) -> bool {
        self.sent < replica.version()
    }

    /// What goes out next; `None` where nothing is to, or too much is on its way. What this peer told itself is left out.
    pub fn take(&mut self, replica: &Replica, peer: u32) -> Option<Message> {
        if self.facts_out >= UNDER_WAY || !self.behind(replica) {
            return None;
        }
        let (mut upto, mut passed) = (self.sent, 0);
        let mut facts: Vec<(Key, Fact)> = Vec::new();
        for (version, by, key, fact) in replica.changes(self.sent) {
            if facts.len() == AT_ONCE || passed == LOOKED_AT {
                break;
            }
            (upto, passed) = (version, passed + 1);
            if by != COMPARED && (by == 0 || by != peer) {
                facts.push((key.clone(), fact.clone()));
            }
        }
        if passed == 0 {
            // All that changed has been forgotten since.
            upto = replica.version();
        }
        let nothing_out = self.acked == self.sent;
        self.sent = upto;
        if facts.is_empty() {
            if nothing_out {
                self.acked = upto;
            }
            return None;
        }
        self.facts_out += facts.len() as u64;
        Some(Message::Deltas { upto, facts })
    }
}

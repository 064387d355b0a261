//! Changes that one peer has not received yet (delta intervals; Almeida, Shoker, Baquero, 2018): those after the
//! version that it has acknowledged. There is no queue per peer: the copy knows the last change of each key, so a
//! slow peer loses no fact, costs no memory and receives a key that changed ten times only once.
use crate::fact::{Fact, Key};
use crate::state::Replica;
use crate::sync_protocol::Message;

/// Facts that may be sent to one peer without an acknowledgement.
const MAX_FACTS_IN_FLIGHT: u64 = 4096;
const MAX_FACTS_PER_MESSAGE: usize = 256;
/// Changes that are scanned for one message.
const MAX_CHANGES_SCANNED: usize = 4096;
/// Source of facts that arrived in a comparison and not as deltas. Almost every other router has them already, so
/// they are not sent on as deltas. Otherwise a restarted router would send everything that it received to all the
/// others.
pub const FROM_COMPARISON: u32 = u32::MAX;

#[derive(Clone, Debug, PartialEq)]
pub struct Deltas {
    acknowledged: u64,
    sent: u64,
    facts_in_flight: u64,
}

impl Deltas {
    /// For a peer that holds everything up to this version, or that gets it by a comparison.
    pub fn starting_at(version: u64) -> Deltas {
        Deltas { acknowledged: version, sent: version, facts_in_flight: 0 }
    }

    /// After a disconnect: whatever was not acknowledged is sent again.
    pub fn rewind(&mut self) {
        (self.sent, self.facts_in_flight) = (self.acknowledged, 0);
    }

    pub fn acknowledge(&mut self, up_to: u64) {
        // An acknowledgement of something that was never sent is invalid and has no effect.
        if up_to <= self.sent && up_to > self.acknowledged {
            self.acknowledged = up_to;
            if self.acknowledged == self.sent {
                self.facts_in_flight = 0;
            }
        }
    }

    pub fn has_unsent(&self, replica: &Replica) -> bool {
        self.sent < replica.version()
    }

    /// The next message to send; `None` if there is nothing to send or too much is unacknowledged. Facts that came
    /// from this peer are left out.
    pub fn next_message(&mut self, replica: &Replica, peer: u32) -> Option<Message> {
        if self.facts_in_flight >= MAX_FACTS_IN_FLIGHT || !self.has_unsent(replica) {
            return None;
        }
        let (mut up_to, mut scanned) = (self.sent, 0);
        let mut facts: Vec<(Key, Fact)> = Vec::new();
        for (version, source, key, fact) in replica.changes(self.sent) {
            if facts.len() == MAX_FACTS_PER_MESSAGE || scanned == MAX_CHANGES_SCANNED {
                break;
            }
            (up_to, scanned) = (version, scanned + 1);
            if source != FROM_COMPARISON && (source == 0 || source != peer) {
                facts.push((key.clone(), fact.clone()));
            }
        }
        if scanned == 0 {
            // Everything that changed has expired since.
            up_to = replica.version();
        }
        let all_acknowledged = self.acknowledged == self.sent;
        self.sent = up_to;
        if facts.is_empty() {
            if all_acknowledged {
                self.acknowledged = up_to;
            }
            return None;
        }
        self.facts_in_flight += facts.len() as u64;
        Some(Message::Deltas { up_to, facts })
    }
}

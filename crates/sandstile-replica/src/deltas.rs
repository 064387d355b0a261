//! What one peer has yet to hear (delta intervals, Almeida, Shoker, Baquero, 2018): the changes behind the number that it has
//! acknowledged. Nothing waits for it in a queue of its own: the copy knows when each key changed last, so that a peer that is slow
//! loses no fact, costs no memory, and hears of one that changed ten times once.
use crate::fact::{Fact, Key};
use crate::state::Replica;
use crate::talk::Message;

/// Facts that may be on their way to one peer, unacknowledged.
const UNDER_WAY: u64 = 4096;
const AT_ONCE: usize = 256;

#[derive(Clone, Debug)]
pub struct Deltas {
    acked: u64,
    sent: u64,
    facts_out: u64,
}

impl Deltas {
    /// For a peer that holds all up to this number, or is to hear of that by a comparison.
    pub fn from(number: u64) -> Deltas {
        Deltas { acked: number, sent: number, facts_out: 0 }
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
        self.sent < replica.number()
    }

    /// What goes out next; `None` where nothing is to, or too much is on its way.
    pub fn take(&mut self, replica: &Replica) -> Option<Message> {
        if self.facts_out >= UNDER_WAY || !self.behind(replica) {
            return None;
        }
        let mut upto = self.sent;
        let mut facts: Vec<(Key, Fact)> = Vec::new();
        for (number, key, fact) in replica.changes(self.sent).take(AT_ONCE) {
            upto = number;
            facts.push((key.clone(), fact.clone()));
        }
        if facts.is_empty() {
            // All that changed has been forgotten since.
            (self.sent, self.acked) = (replica.number(), replica.number());
            return None;
        }
        self.sent = upto;
        self.facts_out += facts.len() as u64;
        Some(Message::Deltas { upto, facts })
    }
}

//! Anti-entropy protocol between two copies. A comparison starts with one digest and descends through ranges of
//! sixteen children to the few facts that differ. Either side may start one at any time. Messages may be lost or
//! repeated: whatever remains different is found by the next comparison.
use crate::fact::{Fact, Key};
use crate::state::{LearnOutcome, Replica};
use crate::tree::{FANOUT, LEVELS};
use crate::wire::MAX_ENTRIES;
use std::collections::BTreeSet;

#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The sender's digest over all of its facts.
    Root(u64),
    /// The receiver's digest is the same.
    Same(u64),
    /// The hash sums of a node's children at the sender.
    Node {
        level: u8,
        node: u32,
        sums: [u64; FANOUT],
    },
    /// All keys below a node at the sender and their facts, as hashes.
    Leaf {
        level: u8,
        node: u32,
        hashes: Vec<(u64, u64)>,
    },
    /// Requests the facts of these keys.
    Want(Vec<u64>),
    Facts(Vec<(Key, Fact)>),
    /// All of the sender's changes after the acknowledged ones and up to this version.
    Deltas {
        up_to: u64,
        facts: Vec<(Key, Fact)>,
    },
    Ack(u64),
    /// Sent after the answers to all earlier messages. A connection keeps the order of messages, and a comparison
    /// takes a bounded number of exchanges, so the last echo tells the initiator that it has everything that the
    /// other side held.
    Echo {
        round: u32,
        hop: u8,
    },
}

/// Facts in one message, about 100 bytes each.
pub const MAX_FACTS_PER_MESSAGE: usize = 256;
/// Maximum number of facts below a node that are listed one by one.
const MAX_LISTED_FACTS: usize = 32;
/// The hop of the last echo: root, four levels of sums, leaves, requests, facts.
pub const LAST_HOP: u8 = LEVELS as u8 + 3;

/// One side of the protocol with one peer.
#[derive(Clone, Debug, Default)]
pub struct PeerSync {
    /// When the other side last held the same, on the caller's clock.
    pub matched_at: Option<f64>,
    /// Facts that were received and refused.
    pub refused: u64,
    pub learned: u64,
}

impl PeerSync {
    pub fn opening_message(replica: &Replica) -> Message {
        Message::Root(replica.digest())
    }

    /// Handles a message and returns the answers to it.
    pub fn handle(&mut self, now: f64, replica: &mut Replica, message: Message) -> Vec<Message> {
        let mut out = Vec::new();
        match message {
            Message::Root(sum) if sum == replica.digest() => {
                self.matched_at = Some(now);
                out.push(Message::Same(sum));
            }
            Message::Root(_) => out.extend(Self::node_message(replica, 0, 0)),
            Message::Same(sum) => {
                // This copy may have changed since the peer sent its answer.
                if sum == replica.digest() {
                    self.matched_at = Some(now);
                }
            }
            Message::Node { level, node, sums } => {
                let (level, node) = (usize::from(level), node as usize);
                let Some(ours) = replica.tree().children(level, node) else { return out };
                for (n, (mine, theirs)) in ours.iter().zip(&sums).enumerate() {
                    if mine != theirs {
                        let child = node * FANOUT + n;
                        // With few facts below the node, listing them is cheaper than comparing further, and a peer
                        // that lost everything gets all of them at once.
                        match level + 1 < LEVELS
                            && !replica.has_at_most_below(level + 1, child, MAX_LISTED_FACTS)
                        {
                            true => out.extend(Self::node_message(replica, level + 1, child)),
                            false => out.push(Self::leaf_message(replica, level + 1, child)),
                        }
                    }
                }
            }
            Message::Leaf { level, node, hashes } => {
                self.compare_leaf(replica, usize::from(level), node as usize, &hashes, &mut out);
            }
            Message::Want(hashes) => {
                let found: Vec<(Key, Fact)> = hashes
                    .iter()
                    .filter_map(|h| replica.get_by_hash(*h))
                    .map(|(key, fact)| (key.clone(), fact.clone()))
                    .collect();
                out.extend(found.chunks(MAX_FACTS_PER_MESSAGE).map(|chunk| Message::Facts(chunk.to_vec())));
            }
            Message::Facts(facts) => self.learn(now, replica, &facts),
            Message::Deltas { up_to, facts } => {
                self.learn(now, replica, &facts);
                out.push(Message::Ack(up_to));
            }
            Message::Ack(_) | Message::Echo { .. } => {}
        }
        out
    }

    /// Merges received facts.
    pub fn learn(&mut self, now: f64, replica: &mut Replica, facts: &[(Key, Fact)]) {
        for (key, fact) in facts {
            match replica.learn(now, key, fact) {
                LearnOutcome::Refused => self.refused += 1,
                LearnOutcome::New | LearnOutcome::Conflict => self.learned += 1,
                LearnOutcome::Known => {}
            }
        }
    }

    fn node_message(replica: &Replica, level: usize, node: usize) -> Option<Message> {
        let sums = replica.tree().children(level, node)?;
        Some(Message::Node { level: level as u8, node: node as u32, sums })
    }

    fn leaf_message(replica: &Replica, level: usize, node: usize) -> Message {
        let hashes = replica.entries_below(level, node, MAX_ENTRIES / 2);
        Message::Leaf { level: level as u8, node: node as u32, hashes }
    }

    /// Sends what the other side lacks and requests what this side lacks; facts that differ on both sides go both
    /// ways.
    fn compare_leaf(
        &self,
        replica: &Replica,
        level: usize,
        node: usize,
        theirs: &[(u64, u64)],
        out: &mut Vec<Message>,
    ) {
        let ours: BTreeSet<(u64, u64)> = replica.entries_below(level, node, usize::MAX).into_iter().collect();
        let theirs: BTreeSet<(u64, u64)> = theirs.iter().copied().collect();
        let requested: Vec<u64> = theirs.difference(&ours).map(|(key, _)| *key).collect();
        let missing_there: Vec<(Key, Fact)> = ours
            .difference(&theirs)
            .filter_map(|(key, _)| replica.get_by_hash(*key))
            .map(|(key, fact)| (key.clone(), fact.clone()))
            .collect();
        if !requested.is_empty() {
            out.push(Message::Want(requested));
        }
        out.extend(missing_there.chunks(MAX_FACTS_PER_MESSAGE).map(|chunk| Message::Facts(chunk.to_vec())));
    }
}

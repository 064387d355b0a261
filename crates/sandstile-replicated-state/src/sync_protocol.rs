//! What two copies tell each other. A comparison begins with one number and comes down, sixteen ranges at a time, to the few facts
//! that differ; either may begin one at any time, and all of it may be lost or said twice: what is left is found by the next.
use crate::fact::{Fact, Key};
use crate::state::{Came, Replica};
use crate::tree::{LEVELS, WIDE};
use crate::wire::MOST_ENTRIES;
use std::collections::BTreeSet;

#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// All that we hold, in one number.
    Root(u64),
    /// We hold the same.
    Same(u64),
    /// The sums of a node's children here.
    Node {
        level: u8,
        node: u32,
        sums: [u64; WIDE],
    },
    /// All keys below a node here, with their facts, by their hashes.
    Leaf {
        level: u8,
        node: u32,
        hashes: Vec<(u64, u64)>,
    },
    /// Facts of these keys are to be sent.
    Want(Vec<u64>),
    Facts(Vec<(Key, Fact)>),
    /// Changes up to this number of the sender's, none left out since those that were acknowledged.
    Deltas {
        upto: u64,
        facts: Vec<(Key, Fact)>,
    },
    Ack(u64),
    /// Said behind the answers to all that came before it. Messages of one connection keep their order, and a comparison ends after
    /// so many answers at the most: who began it knows by the last of these that it has all that the other held then.
    Echo {
        round: u32,
        hop: u8,
    },
}

/// Facts in one message: some 100 bytes each.
pub const AT_ONCE: usize = 256;
/// Facts below a node that are named one by one.
const FEW: usize = 32;
/// The hop of the last echo: root, four levels of sums, leaves, wishes, facts.
pub const LAST_HOP: u8 = LEVELS as u8 + 3;

/// One side of a conversation.
#[derive(Clone, Debug, Default)]
pub struct Talk {
    /// When the other held the same, last; on the caller's clock.
    pub same_at: Option<f64>,
    /// Facts that came and were refused, or spoilt.
    pub refused: u64,
    pub learnt: u64,
}

impl Talk {
    pub fn begin(replica: &Replica) -> Message {
        Message::Root(replica.digest())
    }

    /// Takes a message in; yields what is to be said to it.
    pub fn hear(&mut self, now: f64, replica: &mut Replica, message: Message) -> Vec<Message> {
        let mut out = Vec::new();
        match message {
            Message::Root(sum) if sum == replica.digest() => {
                self.same_at = Some(now);
                out.push(Message::Same(sum));
            }
            Message::Root(_) => out.extend(Self::node(replica, 0, 0)),
            Message::Same(sum) => {
                // It may have been so when it was said.
                if sum == replica.digest() {
                    self.same_at = Some(now);
                }
            }
            Message::Node { level, node, sums } => {
                let (level, node) = (usize::from(level), node as usize);
                let Some(ours) = replica.tree().children(level, node) else { return out };
                for (n, (mine, theirs)) in ours.iter().zip(&sums).enumerate() {
                    if mine != theirs {
                        let below = node * WIDE + n;
                        // Where little is here, to name it costs less than to go on comparing: one that has lost all is told all at once.
                        match level + 1 < LEVELS && !replica.few_below(level + 1, below, FEW) {
                            true => out.extend(Self::node(replica, level + 1, below)),
                            false => out.push(Self::leaf(replica, level + 1, below)),
                        }
                    }
                }
            }
            Message::Leaf { level, node, hashes } => {
                self.compare(replica, usize::from(level), node as usize, &hashes, &mut out);
            }
            Message::Want(hashes) => {
                let all: Vec<(Key, Fact)> = hashes
                    .iter()
                    .filter_map(|h| replica.by_hash(*h))
                    .map(|(key, fact)| (key.clone(), fact.clone()))
                    .collect();
                out.extend(all.chunks(AT_ONCE).map(|some| Message::Facts(some.to_vec())));
            }
            Message::Facts(facts) => self.learn(now, replica, &facts),
            Message::Deltas { upto, facts } => {
                self.learn(now, replica, &facts);
                out.push(Message::Ack(upto));
            }
            Message::Ack(_) | Message::Echo { .. } => {}
        }
        out
    }

    /// Takes facts in.
    pub fn learn(&mut self, now: f64, replica: &mut Replica, facts: &[(Key, Fact)]) {
        for (key, fact) in facts {
            match replica.learn(now, key, fact) {
                Came::Refused => self.refused += 1,
                Came::New | Came::Conflict => self.learnt += 1,
                Came::Known => {}
            }
        }
    }

    fn node(replica: &Replica, level: usize, node: usize) -> Option<Message> {
        let sums = replica.tree().children(level, node)?;
        Some(Message::Node { level: level as u8, node: node as u32, sums })
    }

    fn leaf(replica: &Replica, level: usize, node: usize) -> Message {
        let hashes = replica.below(level, node, MOST_ENTRIES / 2);
        Message::Leaf { level: level as u8, node: node as u32, hashes }
    }

    /// What they lack is sent, what we lack is asked for; what both have and differ on goes both ways.
    fn compare(
        &self,
        replica: &Replica,
        level: usize,
        node: usize,
        theirs: &[(u64, u64)],
        out: &mut Vec<Message>,
    ) {
        let ours: BTreeSet<(u64, u64)> = replica.below(level, node, usize::MAX).into_iter().collect();
        let theirs: BTreeSet<(u64, u64)> = theirs.iter().copied().collect();
        let wanted: Vec<u64> = theirs.difference(&ours).map(|(key, _)| *key).collect();
        let lacking: Vec<(Key, Fact)> = ours
            .difference(&theirs)
            .filter_map(|(key, _)| replica.by_hash(*key))
            .map(|(key, fact)| (key.clone(), fact.clone()))
            .collect();
        if !wanted.is_empty() {
            out.push(Message::Want(wanted));
        }
        out.extend(lacking.chunks(AT_ONCE).map(|some| Message::Facts(some.to_vec())));
    }
}

//! What is on its way in one direction of one link. A lane keeps the order of a stream's bytes whatever stands on it;
//! datagrams keep none.
use crate::fault_state::LinkCondition;
use oorandom::Rand64;
use std::collections::VecDeque;

/// Seconds after which a lost segment of a stream is sent again, and after which a healed one is tried.
pub const RETRANSMIT_DELAY_S: f64 = 0.2;
/// Bytes of a segment: so much of a stream is lost or spoilt at a time.
pub const SEGMENT_BYTES: usize = 1400;
/// A stream's bytes on their way at the most; its sender waits, as with a full window.
pub const WINDOW_BYTES: usize = 256 * 1024;
/// Datagrams on their way at the most; what comes beyond is lost, as in a full queue.
pub const MAX_QUEUED_DATAGRAMS: usize = 1024;

fn jittered(condition: &LinkCondition, chance: &mut Rand64) -> f64 {
    condition.delay + condition.jitter * chance.rand_float()
}

fn corrupt(bytes: &mut [u8], share: f64, chance: &mut Rand64) {
    if !bytes.is_empty() && share > 0.0 && chance.rand_float() < share {
        let at = chance.rand_range(0..bytes.len() as u64) as usize;
        // Never the same byte again.
        bytes[at] ^= 1 + (chance.rand_u64() % 255) as u8;
    }
}

/// One direction of a stream.
pub struct StreamChannel {
    way: VecDeque<(f64, Vec<u8>)>,
    held: usize,
    /// Nothing arrives before what came before it.
    last: f64,
    /// The rate's own clock: when what has been sent will have passed.
    passed: f64,
    cut: bool,
    chance: Rand64,
}

impl StreamChannel {
    pub fn new(seed: u64) -> StreamChannel {
        StreamChannel {
            way: VecDeque::new(),
            held: 0,
            last: 0.0,
            passed: 0.0,
            cut: false,
            chance: Rand64::new(u128::from(seed)),
        }
    }

    /// How many more bytes may be given to it.
    pub fn free_bytes(&self) -> usize {
        WINDOW_BYTES.saturating_sub(self.held)
    }

    pub fn is_empty(&self) -> bool {
        self.way.is_empty()
    }

    /// Bytes come from the sender.
    pub fn push(&mut self, now: f64, bytes: &[u8], condition: &LinkCondition) {
        for segment in bytes.chunks(SEGMENT_BYTES) {
            let mut at = now + jittered(condition, &mut self.chance);
            if condition.loss > 0.0 {
                // Each time it is lost it comes later by twice as much; five times is the end of bad luck.
                let mut wait = RETRANSMIT_DELAY_S;
                for _ in 0..5 {
                    if self.chance.rand_float() >= condition.loss {
                        break;
                    }
                    at += wait;
                    wait *= 2.0;
                }
            }
            if condition.rate > 0.0 {
                self.passed = self.passed.max(now) + segment.len() as f64 / condition.rate;
                at = at.max(self.passed);
            }
            let mut segment = segment.to_vec();
            corrupt(&mut segment, condition.corrupt, &mut self.chance);
            self.held += segment.len();
            self.last = self.last.max(at);
            self.way.push_back((self.last, segment));
        }
    }

    /// The weather has changed. What was under way during a cut sets out again a while after its heal.
    pub fn on_condition_change(&mut self, now: f64, condition: &LinkCondition) {
        if self.cut && !condition.cut {
            let at = now + RETRANSMIT_DELAY_S;
            self.way.iter_mut().for_each(|(due, _)| *due = due.max(at));
            self.last = self.last.max(if self.way.is_empty() { now } else { at });
        }
        self.cut = condition.cut;
    }

    /// When the next piece arrives, as far as is known.
    pub fn next_arrival(&self) -> Option<f64> {
        self.way.front().filter(|_| !self.cut).map(|(at, _)| *at)
    }

    /// The next piece that has arrived.
    pub fn pop(&mut self, now: f64) -> Option<Vec<u8>> {
        if self.next_arrival()? > now {
            return None;
        }
        let (_, bytes) = self.way.pop_front()?;
        self.held -= bytes.len();
        Some(bytes)
    }
}

/// One direction between two that send datagrams.
pub struct DatagramChannel {
    /// By their time of arrival.
    way: Vec<(f64, Vec<u8>)>,
    chance: Rand64,
    pub lost: u64,
}

impl DatagramChannel {
    pub fn new(seed: u64) -> DatagramChannel {
        DatagramChannel { way: Vec::new(), chance: Rand64::new(u128::from(seed)), lost: 0 }
    }

    pub fn push(&mut self, now: f64, bytes: &[u8], condition: &LinkCondition) {
        let copies = 1 + usize::from(self.chance.rand_float() < condition.duplicate);
        for _ in 0..copies {
            let lost = condition.cut || condition.reset || self.chance.rand_float() < condition.loss;
            if lost || self.way.len() >= MAX_QUEUED_DATAGRAMS {
                self.lost += 1;
                continue;
            }
            let mut at = now + jittered(condition, &mut self.chance);
            if condition.reorder > 0.0 && self.chance.rand_float() < condition.reorder {
                // Behind what is sent within the time that one takes, and two milliseconds at least.
                at += condition.delay.max(0.002) * (1.0 + self.chance.rand_float());
            }
            let mut bytes = bytes.to_vec();
            corrupt(&mut bytes, condition.corrupt, &mut self.chance);
            let place = self.way.partition_point(|(other, _)| *other <= at);
            self.way.insert(place, (at, bytes));
        }
    }

    /// What was on its way into a cut is lost.
    pub fn on_condition_change(&mut self, condition: &LinkCondition) {
        if condition.cut || condition.reset {
            self.lost += self.way.len() as u64;
            self.way.clear();
        }
    }

    pub fn next_arrival(&self) -> Option<f64> {
        self.way.first().map(|(at, _)| *at)
    }

    pub fn pop(&mut self, now: f64) -> Option<Vec<u8>> {
        (self.next_arrival()? <= now).then(|| self.way.remove(0).1)
    }
}

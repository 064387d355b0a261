//! Bytes and datagrams in flight in one direction of a link. A stream channel keeps the order of its bytes
//! under every condition; a datagram channel does not keep order.
use crate::link_faults::LinkCondition;
use oorandom::Rand64;
use std::collections::VecDeque;

/// Seconds until a lost segment of a stream is sent again, and from a heal until the segments held by a cut
/// arrive.
pub const RETRANSMIT_DELAY_S: f64 = 0.2;
/// Bytes of a segment, the unit in which a stream is lost or corrupted.
pub const SEGMENT_BYTES: usize = 1400;
/// Max bytes of a stream in flight; beyond that the sender waits, as with a full TCP window.
pub const WINDOW_BYTES: usize = 256 * 1024;
/// Max datagrams in flight; further ones are dropped, as by a full queue.
pub const MAX_QUEUED_DATAGRAMS: usize = 1024;

fn draw_delay(condition: &LinkCondition, rng: &mut Rand64) -> f64 {
    condition.delay + condition.jitter * rng.rand_float()
}

fn corrupt(bytes: &mut [u8], share: f64, rng: &mut Rand64) {
    if !bytes.is_empty() && share > 0.0 && rng.rand_float() < share {
        let index = rng.rand_range(0..bytes.len() as u64) as usize;
        // Xor with a nonzero value always changes the byte.
        bytes[index] ^= 1 + (rng.rand_u64() % 255) as u8;
    }
}

/// One direction of a stream.
pub struct StreamChannel {
    in_flight: VecDeque<(f64, Vec<u8>)>,
    queued_bytes: usize,
    /// Arrival time of the last segment; later segments don't arrive before it.
    last_arrival: f64,
    /// When the rate limit has let through all that was sent so far.
    busy_until: f64,
    cut: bool,
    rng: Rand64,
}

impl StreamChannel {
    pub fn new(seed: u64) -> StreamChannel {
        StreamChannel {
            in_flight: VecDeque::new(),
            queued_bytes: 0,
            last_arrival: 0.0,
            busy_until: 0.0,
            cut: false,
            rng: Rand64::new(u128::from(seed)),
        }
    }

    /// The number of bytes that the sender may still push.
    pub fn free_bytes(&self) -> usize {
        WINDOW_BYTES.saturating_sub(self.queued_bytes)
    }

    pub fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Queues bytes that the sender has written.
    pub fn push(&mut self, now: f64, bytes: &[u8], condition: &LinkCondition) {
        for segment in bytes.chunks(SEGMENT_BYTES) {
            let mut arrival = now + draw_delay(condition, &mut self.rng);
            if condition.loss > 0.0 {
                // Each loss doubles the retransmission delay; a segment is lost five times at most.
                let mut retransmit_delay = RETRANSMIT_DELAY_S;
                for _ in 0..5 {
                    if self.rng.rand_float() >= condition.loss {
                        break;
                    }
                    arrival += retransmit_delay;
                    retransmit_delay *= 2.0;
                }
            }
            if condition.rate > 0.0 {
                self.busy_until = self.busy_until.max(now) + segment.len() as f64 / condition.rate;
                arrival = arrival.max(self.busy_until);
            }
            let mut segment = segment.to_vec();
            corrupt(&mut segment, condition.corrupt, &mut self.rng);
            self.queued_bytes += segment.len();
            self.last_arrival = self.last_arrival.max(arrival);
            self.in_flight.push_back((self.last_arrival, segment));
        }
    }

    /// Applies a new condition. Segments held by a cut arrive no earlier than a retransmission delay after
    /// the heal.
    pub fn on_condition_change(&mut self, now: f64, condition: &LinkCondition) {
        if self.cut && !condition.cut {
            let resent_at = now + RETRANSMIT_DELAY_S;
            self.in_flight.iter_mut().for_each(|(due, _)| *due = due.max(resent_at));
            self.last_arrival =
                self.last_arrival.max(if self.in_flight.is_empty() { now } else { resent_at });
        }
        self.cut = condition.cut;
    }

    /// When the next segment arrives; `None` if nothing is in flight or the link is cut.
    pub fn next_arrival(&self) -> Option<f64> {
        self.in_flight.front().filter(|_| !self.cut).map(|(arrival, _)| *arrival)
    }

    /// Takes the next segment that has arrived by `now`.
    pub fn pop(&mut self, now: f64) -> Option<Vec<u8>> {
        if self.next_arrival()? > now {
            return None;
        }
        let (_, bytes) = self.in_flight.pop_front()?;
        self.queued_bytes -= bytes.len();
        Some(bytes)
    }
}

/// One direction between two endpoints that exchange datagrams.
pub struct DatagramChannel {
    /// Sorted by arrival time.
    in_flight: Vec<(f64, Vec<u8>)>,
    rng: Rand64,
    pub lost: u64,
}

impl DatagramChannel {
    pub fn new(seed: u64) -> DatagramChannel {
        DatagramChannel { in_flight: Vec::new(), rng: Rand64::new(u128::from(seed)), lost: 0 }
    }

    pub fn push(&mut self, now: f64, bytes: &[u8], condition: &LinkCondition) {
        let copies = 1 + usize::from(self.rng.rand_float() < condition.duplicate);
        for _ in 0..copies {
            let lost = condition.cut || condition.reset || self.rng.rand_float() < condition.loss;
            if lost || self.in_flight.len() >= MAX_QUEUED_DATAGRAMS {
                self.lost += 1;
                continue;
            }
            let mut arrival = now + draw_delay(condition, &mut self.rng);
            if condition.reorder > 0.0 && self.rng.rand_float() < condition.reorder {
                // Delays the datagram behind those sent within one link delay, at least 2 ms.
                arrival += condition.delay.max(0.002) * (1.0 + self.rng.rand_float());
            }
            let mut bytes = bytes.to_vec();
            corrupt(&mut bytes, condition.corrupt, &mut self.rng);
            let index = self.in_flight.partition_point(|(other, _)| *other <= arrival);
            self.in_flight.insert(index, (arrival, bytes));
        }
    }

    /// Applies a new condition. A cut or reset drops all datagrams in flight.
    pub fn on_condition_change(&mut self, condition: &LinkCondition) {
        if condition.cut || condition.reset {
            self.lost += self.in_flight.len() as u64;
            self.in_flight.clear();
        }
    }

    pub fn next_arrival(&self) -> Option<f64> {
        self.in_flight.first().map(|(arrival, _)| *arrival)
    }

    pub fn pop(&mut self, now: f64) -> Option<Vec<u8>> {
        (self.next_arrival()? <= now).then(|| self.in_flight.remove(0).1)
    }
}

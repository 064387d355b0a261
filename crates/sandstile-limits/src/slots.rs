//! Spreads the times at which clients return. Time is divided into slots, and each slot takes no more clients
//! than the share of the completion rate that is set aside for them. If all slots up to the longest delay are
//! full, clients are spread evenly over its later half; they are not counted in the slots.
use oorandom::Rand64;
use std::collections::VecDeque;

/// Seconds per slot.
pub const SLICE: f64 = 0.1;
/// The shortest delay in seconds: earlier, the cause of the rejection would hardly have changed.
const SOONEST: f64 = 0.2;
/// The number of slots that are planned ahead.
const MOST_SLICES: usize = 6000;
/// Clients per second that may return where nothing completes, to find out when it does again.
const LEAST: f64 = 10.0;

pub struct Slots {
    share: f64,
    chance: Rand64,
    /// The number of the first planned slot, and the clients assigned to each slot from there.
    first: u64,
    taken: VecDeque<u32>,
    /// Clients that were assigned a time when all slots were full.
    pub beyond: u64,
}

impl Slots {
    /// `returning_share` is the share of the completion rate that returning clients may use.
    pub fn new(share: f64, seed: u64) -> Self {
        let chance = Rand64::new(u128::from(seed));
        Slots { share, chance, first: 0, taken: VecDeque::new(), beyond: 0 }
    }

    /// The delay in seconds after which a client is to return, at most `max_delay`, at this completion rate
    /// per second.
    pub fn hand_out(&mut self, now: f64, most: f64, rate: f64) -> f64 {
        let here = (now / SLICE) as u64;
        self.drop_past(here);
        let places = ((self.share * rate).max(LEAST) * SLICE).ceil() as u32;
        let from = ((now + SOONEST.min(most)) / SLICE).ceil() as u64;
        let to = ((now + most) / SLICE).floor() as u64;
        let to = to.min(self.first + MOST_SLICES as u64 - 1);
        for slice in from..to {
            let at = (slice - self.first) as usize;
            if self.taken.len() <= at {
                self.taken.resize(at + 1, 0);
            }
            if self.taken[at] < places {
                self.taken[at] += 1;
                // A random time within the slot, so that its clients do not return all at once.
                let within = (slice as f64 + self.chance.rand_float()) * SLICE;
                return (within - now).clamp(0.0, most);
            }
        }
        self.beyond += 1;
        most * (0.5 + 0.5 * self.chance.rand_float())
    }

    fn drop_past(&mut self, here: u64) {
        if here > self.first {
            let past = (here - self.first).min(self.taken.len() as u64);
            self.taken.drain(..past as usize);
            self.first = here;
        }
    }

    /// The clients assigned to each slot from now on.
    pub fn planned(&self) -> impl Iterator<Item = u32> + '_ {
        self.taken.iter().copied()
    }

    pub fn held(&self) -> usize {
        self.taken.len()
    }
}

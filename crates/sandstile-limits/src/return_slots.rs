//! Spreads the times at which clients return. Time is divided into slots, and each slot takes no more clients
//! than the share of the completion rate that is set aside for them. If all slots up to the longest delay are
//! full, clients are spread evenly over its later half; they are not counted in the slots.
use oorandom::Rand64;
use std::collections::VecDeque;

/// Seconds per slot.
pub const SLOT_SECONDS: f64 = 0.1;
/// The shortest delay in seconds: earlier, the cause of the rejection would hardly have changed.
const MIN_DELAY: f64 = 0.2;
/// The number of slots that are planned ahead.
const MAX_SLOTS: usize = 6000;
/// Clients per second that may return where nothing completes, to find out when it does again.
const MIN_RETURN_RATE: f64 = 10.0;

pub struct ReturnSlots {
    returning_share: f64,
    rng: Rand64,
    /// The number of the first planned slot, and the clients assigned to each slot from there.
    first_slot: u64,
    assigned: VecDeque<u32>,
    /// Clients that were assigned a time when all slots were full.
    pub overflowed: u64,
}

impl ReturnSlots {
    /// `returning_share` is the share of the completion rate that returning clients may use.
    pub fn new(returning_share: f64, seed: u64) -> Self {
        let rng = Rand64::new(u128::from(seed));
        ReturnSlots { returning_share, rng, first_slot: 0, assigned: VecDeque::new(), overflowed: 0 }
    }

    /// The delay in seconds after which a client is to return, at most `max_delay`, at this completion rate
    /// per second.
    pub fn assign(&mut self, now: f64, max_delay: f64, completion_rate: f64) -> f64 {
        let current_slot = (now / SLOT_SECONDS) as u64;
        self.drop_past_slots(current_slot);
        let capacity =
            ((self.returning_share * completion_rate).max(MIN_RETURN_RATE) * SLOT_SECONDS).ceil() as u32;
        let earliest_slot = ((now + MIN_DELAY.min(max_delay)) / SLOT_SECONDS).ceil() as u64;
        let end_slot = ((now + max_delay) / SLOT_SECONDS).floor() as u64;
        let end_slot = end_slot.min(self.first_slot + MAX_SLOTS as u64 - 1);
        for slot in earliest_slot..end_slot {
            let index = (slot - self.first_slot) as usize;
            if self.assigned.len() <= index {
                self.assigned.resize(index + 1, 0);
            }
            if self.assigned[index] < capacity {
                self.assigned[index] += 1;
                // A random time within the slot, so that its clients do not return all at once.
                let return_at = (slot as f64 + self.rng.rand_float()) * SLOT_SECONDS;
                return (return_at - now).clamp(0.0, max_delay);
            }
        }
        self.overflowed += 1;
        max_delay * (0.5 + 0.5 * self.rng.rand_float())
    }

    fn drop_past_slots(&mut self, current_slot: u64) {
        if current_slot > self.first_slot {
            let elapsed = (current_slot - self.first_slot).min(self.assigned.len() as u64);
            self.assigned.drain(..elapsed as usize);
            self.first_slot = current_slot;
        }
    }

    /// The clients assigned to each slot from now on.
    pub fn assigned_per_slot(&self) -> impl Iterator<Item = u32> + '_ {
        self.assigned.iter().copied()
    }

    pub fn entry_count(&self) -> usize {
        self.assigned.len()
    }
}

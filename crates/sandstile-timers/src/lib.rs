//! Timers ordered by time and, for equal times, by insertion. Two structures have the same interface:
//! `examples/timers.rs` compares their speed, and `docs/design/emulator.md` says which one the emulator uses
//! and why.
use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Entry<T> {
    time: f64,
    sequence: u64,
    item: T,
}

impl<T> Ord for Entry<T> {
    /// Reversed, because the standard heap pops its greatest element.
    fn cmp(&self, other: &Self) -> Ordering {
        other.time.total_cmp(&self.time).then(other.sequence.cmp(&self.sequence))
    }
}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Entry<T> {}

/// Timers in a binary heap.
pub struct TimerHeap<T> {
    heap: BinaryHeap<Entry<T>>,
    pushed: u64,
}

impl<T> Default for TimerHeap<T> {
    fn default() -> Self {
        TimerHeap { heap: BinaryHeap::new(), pushed: 0 }
    }
}

impl<T> TimerHeap<T> {
    pub fn push(&mut self, time: f64, item: T) {
        self.pushed += 1;
        self.heap.push(Entry { time, sequence: self.pushed, item });
    }

    pub fn earliest(&self) -> Option<f64> {
        self.heap.peek().map(|entry| entry.time)
    }

    /// Removes the earliest timer if it is due.
    pub fn pop(&mut self, now: f64) -> Option<(f64, T)> {
        if self.earliest()? > now {
            return None;
        }
        self.heap.pop().map(|entry| (entry.time, entry.item))
    }

    pub fn len(&self) -> usize {
        self.heap.len()
    }

    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}

const SLOT_BITS: u32 = 8;
const SLOTS: usize = 1 << SLOT_BITS;
const LEVELS: usize = 4;
/// Ticks per second: slots of the lowest level are about a millisecond long.
const TICKS_PER_SECOND: f64 = 1024.0;

struct Level<T> {
    slots: Vec<Vec<Entry<T>>>,
    occupied: [u64; SLOTS / 64],
}

impl<T> Level<T> {
    fn new() -> Self {
        Level { slots: (0..SLOTS).map(|_| Vec::new()).collect(), occupied: [0; SLOTS / 64] }
    }

    fn insert(&mut self, slot: usize, entry: Entry<T>) {
        self.occupied[slot / 64] |= 1 << (slot % 64);
        self.slots[slot].push(entry);
    }

    fn take_slot(&mut self, slot: usize) -> Vec<Entry<T>> {
        self.occupied[slot / 64] &= !(1 << (slot % 64));
        std::mem::take(&mut self.slots[slot])
    }

    /// The first occupied slot from this one on.
    fn first_occupied(&self, from: usize) -> Option<usize> {
        let (word, bit) = (from / 64, from % 64);
        let mut bits = *self.occupied.get(word)? & (u64::MAX << bit);
        for index in word..self.occupied.len() {
            if index > word {
                bits = self.occupied[index];
            }
            if bits != 0 {
                return Some(index * 64 + bits.trailing_zeros() as usize);
            }
        }
        None
    }
}

/// A hierarchical timing wheel with four levels of 256 slots, the lowest of about a millisecond each. Times
/// beyond its range (48 days) go to the last slot. The entries of the current slot are in a small heap that
/// keeps their exact order, so no time is rounded.
pub struct TimerWheel<T> {
    levels: Vec<Level<T>>,
    /// All entries up to this tick have moved to `due`.
    cursor: u64,
    due: BinaryHeap<Entry<T>>,
    pushed: u64,
    len: usize,
}

impl<T> Default for TimerWheel<T> {
    fn default() -> Self {
        TimerWheel::starting_at(0.0)
    }
}

impl<T> TimerWheel<T> {
    /// Creates a wheel whose range begins at `start`.
    pub fn starting_at(start: f64) -> Self {
        let levels = (0..LEVELS).map(|_| Level::new()).collect();
        TimerWheel { levels, cursor: tick(start), due: BinaryHeap::new(), pushed: 0, len: 0 }
    }

    pub fn push(&mut self, time: f64, item: T) {
        self.pushed += 1;
        self.len += 1;
        self.schedule(Entry { time, sequence: self.pushed, item });
    }

    fn schedule(&mut self, entry: Entry<T>) {
        let target = tick(entry.time);
        if target <= self.cursor {
            return self.due.push(entry);
        }
        // The level of the highest digit in which the tick differs from the cursor.
        let highest_bit = 63 - (target ^ self.cursor).leading_zeros();
        let level = ((highest_bit / SLOT_BITS) as usize).min(LEVELS - 1);
        let out_of_range = highest_bit >= SLOT_BITS * LEVELS as u32;
        let slot = match out_of_range {
            true => SLOTS - 1,
            false => (target >> (SLOT_BITS * level as u32)) as usize % SLOTS,
        };
        self.levels[level].insert(slot, entry);
    }

    /// Advances the cursor until an entry is due or none is left.
    fn advance(&mut self) {
        while self.due.is_empty() && self.len > 0 {
            let next_slot = (0..LEVELS).find_map(|level| {
                let current_slot = (self.cursor >> (SLOT_BITS * level as u32)) as usize % SLOTS;
                self.levels[level].first_occupied(current_slot).map(|slot| (level, slot))
            });
            let Some((level, slot)) = next_slot else {
                // All remaining entries are beyond the current range, so the next range begins.
                self.cursor =
                    ((self.cursor >> (SLOT_BITS * LEVELS as u32)) + 1) << (SLOT_BITS * LEVELS as u32);
                for slot in 0..SLOTS {
                    let entries = self.levels[LEVELS - 1].take_slot(slot);
                    entries.into_iter().for_each(|entry| self.schedule(entry));
                }
                continue;
            };
            let shift = SLOT_BITS * level as u32;
            let range_start = self.cursor >> (shift + SLOT_BITS) << (shift + SLOT_BITS);
            let target = range_start | ((slot as u64) << shift);
            self.cursor = self.cursor.max(target);
            let entries = self.levels[level].take_slot(slot);
            let taken_out = entries.len();
            let mut next_range = Vec::new();
            for entry in entries {
                if tick(entry.time) >> (SLOT_BITS * LEVELS as u32)
                    > self.cursor >> (SLOT_BITS * LEVELS as u32)
                {
                    next_range.push(entry);
                } else {
                    self.schedule(entry);
                }
            }
            if next_range.len() == taken_out && taken_out > 0 {
                // The last slot held no entry of the current range.
                self.cursor =
                    ((self.cursor >> (SLOT_BITS * LEVELS as u32)) + 1) << (SLOT_BITS * LEVELS as u32);
            }
            next_range.into_iter().for_each(|entry| self.schedule(entry));
        }
    }

    pub fn earliest(&mut self) -> Option<f64> {
        self.advance();
        self.due.peek().map(|entry| entry.time)
    }

    pub fn pop(&mut self, now: f64) -> Option<(f64, T)> {
        if self.earliest()? > now {
            return None;
        }
        self.len -= 1;
        self.due.pop().map(|entry| (entry.time, entry.item))
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

fn tick(time: f64) -> u64 {
    (time.max(0.0) * TICKS_PER_SECOND) as u64
}

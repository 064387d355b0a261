//! The model's timers: earliest first, and in the order of their making where times are equal. Two structures with
//! one face; `examples/timers.rs` measures them against each other and `docs/design/emulator.md` says which one
//! the model uses and why.
use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Entry<T> {
    at: f64,
    order: u64,
    item: T,
}

impl<T> Ord for Entry<T> {
    /// Turned round, for the standard heap yields its greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.order.cmp(&self.order))
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

/// The plain one.
pub struct TimerHeap<T> {
    heap: BinaryHeap<Entry<T>>,
    made: u64,
}

impl<T> Default for TimerHeap<T> {
    fn default() -> Self {
        TimerHeap { heap: BinaryHeap::new(), made: 0 }
    }
}

impl<T> TimerHeap<T> {
    pub fn push(&mut self, at: f64, item: T) {
        self.made += 1;
        self.heap.push(Entry { at, order: self.made, item });
    }

    pub fn earliest(&self) -> Option<f64> {
        self.heap.peek().map(|e| e.at)
    }

    /// The earliest that is due.
    pub fn pop(&mut self, now: f64) -> Option<(f64, T)> {
        if self.earliest()? > now {
            return None;
        }
        self.heap.pop().map(|e| (e.at, e.item))
    }

    pub fn len(&self) -> usize {
        self.heap.len()
    }

    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}

const BITS: u32 = 8;
const SLOTS: usize = 1 << BITS;
const LEVELS: usize = 4;
/// Ticks a second: slots of the lowest level are about a millisecond.
const TICKS: f64 = 1024.0;

struct Level<T> {
    slots: Vec<Vec<Entry<T>>>,
    taken: [u64; SLOTS / 64],
}

impl<T> Level<T> {
    fn new() -> Self {
        Level { slots: (0..SLOTS).map(|_| Vec::new()).collect(), taken: [0; SLOTS / 64] }
    }

    fn put(&mut self, slot: usize, entry: Entry<T>) {
        self.taken[slot / 64] |= 1 << (slot % 64);
        self.slots[slot].push(entry);
    }

    fn take(&mut self, slot: usize) -> Vec<Entry<T>> {
        self.taken[slot / 64] &= !(1 << (slot % 64));
        std::mem::take(&mut self.slots[slot])
    }

    /// The first taken slot from this one on.
    fn first(&self, from: usize) -> Option<usize> {
        let (word, bit) = (from / 64, from % 64);
        let mut bits = *self.taken.get(word)? & (u64::MAX << bit);
        for at in word..self.taken.len() {
            if at > word {
                bits = self.taken[at];
            }
            if bits != 0 {
                return Some(at * 64 + bits.trailing_zeros() as usize);
            }
        }
        None
    }
}

/// A hierarchical wheel: four levels of 256 slots from about a millisecond up, what lies beyond them (48 days) in
/// the last. Within the slot that is under way a small heap keeps the exact order, so that nothing is rounded.
pub struct TimerWheel<T> {
    levels: Vec<Level<T>>,
    /// The tick up to which all entries have moved to `due`.
    cursor: u64,
    due: BinaryHeap<Entry<T>>,
    made: u64,
    len: usize,
}

impl<T> Default for TimerWheel<T> {
    fn default() -> Self {
        TimerWheel::starting_at(0.0)
    }
}

impl<T> TimerWheel<T> {
    /// A wheel whose time begins here.
    pub fn starting_at(start: f64) -> Self {
        let levels = (0..LEVELS).map(|_| Level::new()).collect();
        TimerWheel { levels, cursor: tick(start), due: BinaryHeap::new(), made: 0, len: 0 }
    }

    pub fn push(&mut self, at: f64, item: T) {
        self.made += 1;
        self.len += 1;
        self.place(Entry { at, order: self.made, item });
    }

    fn place(&mut self, entry: Entry<T>) {
        let to = tick(entry.at);
        if to <= self.cursor {
            return self.due.push(entry);
        }
        // The level whose slot is the highest digit in which the tick differs from the cursor.
        let differs = 63 - (to ^ self.cursor).leading_zeros();
        let level = ((differs / BITS) as usize).min(LEVELS - 1);
        let beyond = differs >= BITS * LEVELS as u32;
        let slot = match beyond {
            true => SLOTS - 1,
            false => (to >> (BITS * level as u32)) as usize % SLOTS,
        };
        self.levels[level].put(slot, entry);
    }

    /// Moves on until something is due or nothing is left.
    fn turn(&mut self) {
        while self.due.is_empty() && self.len > 0 {
            let found = (0..LEVELS).find_map(|level| {
                let here = (self.cursor >> (BITS * level as u32)) as usize % SLOTS;
                self.levels[level].first(here).map(|slot| (level, slot))
            });
            let Some((level, slot)) = found else {
                // Only what lies beyond the last turn of the highest level: that turn begins anew.
                self.cursor = ((self.cursor >> (BITS * LEVELS as u32)) + 1) << (BITS * LEVELS as u32);
                for slot in 0..SLOTS {
                    let entries = self.levels[LEVELS - 1].take(slot);
                    entries.into_iter().for_each(|e| self.place(e));
                }
                continue;
            };
            let shift = BITS * level as u32;
            let above = self.cursor >> (shift + BITS) << (shift + BITS);
            let to = above | ((slot as u64) << shift);
            self.cursor = self.cursor.max(to);
            let entries = self.levels[level].take(slot);
            let before = entries.len();
            let mut again = Vec::new();
            for entry in entries {
                if tick(entry.at) >> (BITS * LEVELS as u32) > self.cursor >> (BITS * LEVELS as u32) {
                    again.push(entry);
                } else {
                    self.place(entry);
                }
            }
            if again.len() == before && before > 0 {
                // The last slot held nothing of this turn.
                self.cursor = ((self.cursor >> (BITS * LEVELS as u32)) + 1) << (BITS * LEVELS as u32);
            }
            again.into_iter().for_each(|e| self.place(e));
        }
    }

    pub fn earliest(&mut self) -> Option<f64> {
        self.turn();
        self.due.peek().map(|e| e.at)
    }

    pub fn pop(&mut self, now: f64) -> Option<(f64, T)> {
        if self.earliest()? > now {
            return None;
        }
        self.len -= 1;
        self.due.pop().map(|e| (e.at, e.item))
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

fn tick(at: f64) -> u64 {
    (at.max(0.0) * TICKS) as u64
}

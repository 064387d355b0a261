//! Remembers which ids of clients belong to statements that may have run, so that none of them runs again when it
//! comes again. Two generations of hashes bound the memory: the older one is dropped when the newer one is full or
//! has reached its age.
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Seconds for which an id is remembered at least, unless so many come that the memory for them is used up.
pub const MIN_REMEMBERED_S: f64 = 60.0;
/// Ids of one generation at the most; both together take 2.4 MB.
pub const MAX_GENERATION_IDS: usize = 100_000;

/// The ids of statements that may have run and are not open any more.
pub struct RecentIds {
    seed: u64,
    newer: HashSet<u64>,
    older: HashSet<u64>,
    /// When the newer generation began.
    began_at: f64,
}

impl RecentIds {
    /// A client that doesn't know `seed` can't choose ids that are taken for one another.
    pub fn new(seed: u64) -> RecentIds {
        RecentIds { seed, newer: HashSet::new(), older: HashSet::new(), began_at: f64::NEG_INFINITY }
    }

    fn hash(&self, id: &str) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, id).hash(&mut hasher);
        hasher.finish()
    }

    fn begin_generation(&mut self, now: f64) {
        self.older = std::mem::take(&mut self.newer);
        self.began_at = now;
    }

    fn drop_old(&mut self, now: f64) {
        if now >= self.began_at + 2.0 * MIN_REMEMBERED_S {
            self.newer.clear();
        }
        if now >= self.began_at + MIN_REMEMBERED_S {
            self.begin_generation(now);
        }
    }

    /// Remembers an id. `true` where that used up the memory, so that older ids are forgotten before their time.
    pub fn insert(&mut self, now: f64, id: &str) -> bool {
        self.drop_old(now);
        let is_full = self.newer.len() >= MAX_GENERATION_IDS;
        let forgets = is_full && !self.older.is_empty();
        if is_full {
            self.begin_generation(now);
        }
        self.newer.insert(self.hash(id));
        forgets
    }

    /// Whether this id is remembered.
    pub fn contains(&mut self, now: f64, id: &str) -> bool {
        self.drop_old(now);
        let hash = self.hash(id);
        self.newer.contains(&hash) || self.older.contains(&hash)
    }

    /// The number of ids that are remembered.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Whether no id is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

//! One instance's memory of sessions: exact for those that wrote of late, a sketch for those that fell out of it.
use crate::floor::{floor, Floor, Ground};
use crate::mark::{Mark, Seen, Term};
use crate::sketch::{key_of, Sketch};
use imbl::{OrdMap, OrdSet};

/// A session of a group, by its hash: names are not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

impl Key {
    pub fn of(group: &str, session: &str) -> Key {
        Key(key_of(&[group, session]))
    }
}

/// What fell out of the exact store under one term.
#[derive(Clone)]
struct Behind {
    term: Term,
    sketch: Sketch,
    /// The latest position in it.
    latest: f64,
}

/// Sizes, each a bound.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Sessions that are remembered exactly.
    pub exact: usize,
    /// Cells in each row of a sketch.
    pub cells: usize,
    /// Terms that have a sketch of their own; what falls out under others counts as lost.
    pub terms: usize,
}

impl Bounds {
    pub fn usual() -> Bounds {
        Bounds { exact: 1 << 16, cells: 1 << 18, terms: 4 }
    }
}

/// What the exact part holds, for a snapshot: taking one copies nothing.
#[derive(Clone, Default)]
pub struct Exact {
    seen: OrdMap<Key, Seen>,
    /// Positions and keys, the oldest first.
    ages: OrdSet<(u64, Key)>,
}

impl Exact {
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Seen)> {
        self.seen.iter()
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Sessions that fell out of the exact store before their time.
    pub pushed_out: u64,
    /// Those that fell out under a term without a sketch.
    pub overflowed: u64,
}

pub struct Store {
    bounds: Bounds,
    exact: Exact,
    behind: Vec<Behind>,
    /// Something fell out that no sketch holds, of at most this position: whoever is not found may be it.
    lost_to: f64,
    counts: Counts,
}

impl Store {
    pub fn new(bounds: Bounds) -> Store {
        let (exact, behind, counts) = (Exact::default(), Vec::new(), Counts::default());
        Store { bounds, exact, behind, lost_to: f64::NEG_INFINITY, counts }
    }

    /// A write was acknowledged, or somebody says so.
    pub fn note(&mut self, key: Key, mark: Mark) {
        self.merge(key, &Seen::of(mark));
    }

    /// A write was acknowledged by a host that told no position, or none that can be used.
    pub fn note_unknown(&mut self, key: Key, now: f64) {
        self.merge(key, &Seen::Lost(now));
    }

    pub fn merge(&mut self, key: Key, news: &Seen) {
        if news.is_empty() {
            return;
        }
        let mut seen = self.exact.seen.get(&key).cloned().unwrap_or_default();
        let before = (!seen.is_empty()).then(|| age(&seen));
        seen.merge(news);
        let now = age(&seen);
        if before != Some(now) {
            if let Some(before) = before {
                self.exact.ages.remove(&(before, key));
            }
            self.exact.ages.insert((now, key));
        }
        self.exact.seen.insert(key, seen);
        while self.exact.seen.len() > self.bounds.exact {
            self.push_out();
        }
    }

    /// The one that wrote longest ago goes behind.
    fn push_out(&mut self) {
        let Some((_, key)) = self.exact.ages.remove_min() else { return };
        let Some(seen) = self.exact.seen.remove(&key) else { return };
        self.counts.pushed_out += 1;
        if let Seen::Lost(latest) = seen {
            self.lost_to = self.lost_to.max(latest);
            self.counts.overflowed += 1;
        }
        for mark in seen.marks() {
            match self.behind_of(mark) {
                Some(behind) => {
                    behind.sketch.put(key.0, mark.position);
                    behind.latest = behind.latest.max(mark.position);
                }
                None => {
                    self.lost_to = self.lost_to.max(mark.position);
                    self.counts.overflowed += 1;
                }
            }
        }
    }

    fn behind_of(&mut self, mark: Mark) -> Option<&mut Behind> {
        if let Some(at) = self.behind.iter().position(|b| b.term == mark.term) {
            return Some(&mut self.behind[at]);
        }
        if self.behind.len() >= self.bounds.terms {
            return None;
        }
        // A day before the first that comes: what is older counts as that.
        let sketch = Sketch::new(self.bounds.cells, mark.position - 86_400.0);
        self.behind.push(Behind { term: mark.term, sketch, latest: mark.position });
        self.behind.last_mut()
    }

    /// Lets go of all whose latest mark is older than `horizon` seconds: every replica has it by now.
    pub fn age_out(&mut self, now: f64, horizon: f64) {
        let since = now - horizon;
        while let Some((position, key)) = self.exact.ages.get_min().copied() {
            if f64::from_bits(position) >= since {
                break;
            }
            self.exact.ages.remove_min();
            self.exact.seen.remove(&key);
        }
        // A sketch goes as a whole, when the last that was put there is old.
        self.behind.retain(|b| b.latest >= since);
        if self.lost_to < since {
            self.lost_to = f64::NEG_INFINITY;
        }
    }

    /// All that this instance knows of a session.
    pub fn seen(&self, key: Key) -> Seen {
        let mut seen = self.exact.seen.get(&key).cloned().unwrap_or_default();
        for b in &self.behind {
            if let Some(position) = b.sketch.get(key.0) {
                seen.merge(&Seen::of(Mark { term: b.term, position }));
            }
        }
        seen
    }

    /// What a session's read must reach, with what its client carries.
    pub fn floor(&self, key: Key, carried: Option<Mark>, ground: &Ground) -> Floor {
        let mut seen = self.seen(key);
        if let Some(mark) = carried {
            seen.merge(&Seen::of(mark));
        }
        // Somebody fell out without a trace: it may be this one.
        let lost = seen.is_empty() && self.lost_to >= ground.now - ground.horizon;
        let told = if lost { Seen::Lost(self.lost_to) } else { seen };
        floor(&told, carried.is_some(), ground)
    }

    pub fn snapshot(&self) -> Exact {
        self.exact.clone()
    }

    pub fn len(&self) -> usize {
        self.exact.len()
    }

    pub fn is_empty(&self) -> bool {
        self.exact.is_empty()
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How full the fullest sketch is.
    pub fn fill(&self) -> f64 {
        self.behind.iter().map(|b| b.sketch.fill()).fold(0.0, f64::max)
    }
}

/// Positions sort by their bits: they are never negative. What can't be told counts as the latest of all.
fn age(seen: &Seen) -> u64 {
    seen.latest().to_bits()
}

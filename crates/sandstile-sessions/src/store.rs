//! One instance's memory of sessions: exact for those that wrote of late, a sketch for those that fell out of it.
use crate::floor::{required_position, ReadContext, RequiredPosition};
use crate::mark::{Mark, SessionMarks, Term};
use crate::sketch::{key_of, Sketch};
use imbl::{OrdMap, OrdSet};

/// A session of a group, by its hash: names are not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub u64);

impl SessionKey {
    pub fn of(group: &str, session: &str) -> SessionKey {
        SessionKey(key_of(&[group, session]))
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
pub struct StoreLimits {
    /// Sessions that are remembered exactly.
    pub exact: usize,
    /// Cells in each row of a sketch.
    pub cells: usize,
    /// Terms that have a sketch of their own; what falls out under others counts as lost.
    pub terms: usize,
}

impl StoreLimits {
    pub fn usual() -> StoreLimits {
        StoreLimits { exact: 1 << 16, cells: 1 << 18, terms: 4 }
    }
}

/// What the exact part holds, for a snapshot: taking one copies nothing.
#[derive(Clone, Default)]
pub struct ExactMarks {
    seen: OrdMap<SessionKey, SessionMarks>,
    /// Positions and keys, the oldest first.
    ages: OrdSet<(u64, SessionKey)>,
}

impl ExactMarks {
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&SessionKey, &SessionMarks)> {
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
    limits: StoreLimits,
    exact: ExactMarks,
    behind: Vec<Behind>,
    /// Something fell out that no sketch holds, of at most this position: whoever is not found may be it.
    lost_to: f64,
    counts: Counts,
}

impl Store {
    pub fn new(limits: StoreLimits) -> Store {
        let (exact, behind, counts) = (ExactMarks::default(), Vec::new(), Counts::default());
        Store { limits, exact, behind, lost_to: f64::NEG_INFINITY, counts }
    }

    /// A write was acknowledged, or somebody says so.
    pub fn note(&mut self, key: SessionKey, mark: Mark) {
        self.merge(key, &SessionMarks::of(mark));
    }

    /// A write was acknowledged by a host that told no position, or none that can be used.
    pub fn note_unknown(&mut self, key: SessionKey, now: f64) {
        self.merge(key, &SessionMarks::Lost(now));
    }

    pub fn merge(&mut self, key: SessionKey, news: &SessionMarks) {
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
        while self.exact.seen.len() > self.limits.exact {
            self.push_out();
        }
    }

    /// The one that wrote longest ago goes behind.
    fn push_out(&mut self) {
        let Some((_, key)) = self.exact.ages.remove_min() else { return };
        let Some(seen) = self.exact.seen.remove(&key) else { return };
        self.counts.pushed_out += 1;
        if let SessionMarks::Lost(latest) = seen {
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
        if self.behind.len() >= self.limits.terms {
            return None;
        }
        // A day before the first that comes: what is older counts as that.
        let sketch = Sketch::new(self.limits.cells, mark.position - 86_400.0);
        self.behind.push(Behind { term: mark.term, sketch, latest: mark.position });
        self.behind.last_mut()
    }

    /// Lets go of all whose latest mark is older than `horizon` seconds: every replica has it by now.
    pub fn remove_expired(&mut self, now: f64, horizon: f64) {
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
    pub fn seen(&self, key: SessionKey) -> SessionMarks {
        let mut seen = self.exact.seen.get(&key).cloned().unwrap_or_default();
        for b in &self.behind {
            if let Some(position) = b.sketch.get(key.0) {
                seen.merge(&SessionMarks::of(Mark { term: b.term, position }));
            }
        }
        seen
    }

    /// What a session's read must reach, with what its client carries.
    pub fn required_position(
        &self,
        key: SessionKey,
        carried: Option<Mark>,
        context: &ReadContext,
    ) -> RequiredPosition {
        let mut seen = self.seen(key);
        if let Some(mark) = carried {
            seen.merge(&SessionMarks::of(mark));
        }
        // Somebody fell out without a trace: it may be this one.
        let lost = seen.is_empty() && self.lost_to >= context.now - context.horizon;
        let told = if lost { SessionMarks::Lost(self.lost_to) } else { seen };
        required_position(&told, carried.is_some(), context)
    }

    pub fn snapshot(&self) -> ExactMarks {
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
fn age(seen: &SessionMarks) -> u64 {
    seen.latest().to_bits()
}

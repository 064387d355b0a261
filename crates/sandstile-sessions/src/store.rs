//! The marks that one instance remembers: exact for the sessions that wrote most recently, and in sketches
//! for the sessions that were evicted.
use crate::mark::{Mark, SessionMarks, Term};
use crate::required_position::{required_position, ReadContext, RequiredPosition};
use crate::sketch::{hash_parts, Sketch};
use imbl::{OrdMap, OrdSet};

/// A session of a group, identified by a hash; names are not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey(pub u64);

impl SessionKey {
    pub fn of(group: &str, session: &str) -> SessionKey {
        SessionKey(hash_parts(&[group, session]))
    }
}

/// The evicted marks of one term.
#[derive(Clone)]
struct TermSketch {
    term: Term,
    sketch: Sketch,
    /// The latest position in the sketch.
    latest: f64,
}

/// Upper bounds of the store's size.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// The number of sessions with exact marks.
    pub exact_sessions: usize,
    /// Cells per row of a sketch.
    pub sketch_cells: usize,
    /// The number of terms that get a sketch. Marks of further terms are lost when they are evicted.
    pub terms: usize,
}

impl StoreLimits {
    pub fn default_limits() -> StoreLimits {
        StoreLimits { exact_sessions: 1 << 16, sketch_cells: 1 << 18, terms: 4 }
    }
}

/// The exact marks, as returned by a snapshot. The maps are persistent, so that taking a snapshot copies no
/// entries.
#[derive(Clone, Default)]
pub struct ExactMarks {
    by_session: OrdMap<SessionKey, SessionMarks>,
    /// Latest positions (as bits) with their sessions, the oldest first.
    by_age: OrdSet<(u64, SessionKey)>,
}

impl ExactMarks {
    pub fn len(&self) -> usize {
        self.by_session.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_session.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&SessionKey, &SessionMarks)> {
        self.by_session.iter()
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvictionCounts {
    /// Sessions that were evicted before their marks expired.
    pub pushed_out: u64,
    /// Evicted marks that no sketch could take.
    pub overflowed: u64,
}

pub struct Store {
    limits: StoreLimits,
    exact: ExactMarks,
    sketches: Vec<TermSketch>,
    /// The latest evicted position that no sketch holds. A session without known marks may have written up to
    /// here.
    lost_up_to: f64,
    counts: EvictionCounts,
}

impl Store {
    pub fn new(limits: StoreLimits) -> Store {
        let (exact, sketches, counts) = (ExactMarks::default(), Vec::new(), EvictionCounts::default());
        Store { limits, exact, sketches, lost_up_to: f64::NEG_INFINITY, counts }
    }

    /// Records a mark of an acknowledged write.
    pub fn record(&mut self, key: SessionKey, mark: Mark) {
        self.merge(key, &SessionMarks::of(mark));
    }

    /// Records a write that was acknowledged by a host without a usable position.
    pub fn record_unknown_position(&mut self, key: SessionKey, now: f64) {
        self.merge(key, &SessionMarks::Lost(now));
    }

    pub fn merge(&mut self, key: SessionKey, update: &SessionMarks) {
        if update.is_empty() {
            return;
        }
        let mut session_marks = self.exact.by_session.get(&key).cloned().unwrap_or_default();
        let previous_age = (!session_marks.is_empty()).then(|| age_key(&session_marks));
        session_marks.merge(update);
        let new_age = age_key(&session_marks);
        if previous_age != Some(new_age) {
            if let Some(previous_age) = previous_age {
                self.exact.by_age.remove(&(previous_age, key));
            }
            self.exact.by_age.insert((new_age, key));
        }
        self.exact.by_session.insert(key, session_marks);
        while self.exact.by_session.len() > self.limits.exact_sessions {
            self.evict_oldest();
        }
    }

    /// Moves the session with the oldest latest position to the sketches.
    fn evict_oldest(&mut self) {
        let Some((_, key)) = self.exact.by_age.remove_min() else { return };
        let Some(session_marks) = self.exact.by_session.remove(&key) else { return };
        self.counts.pushed_out += 1;
        if let SessionMarks::Lost(latest) = session_marks {
            self.lost_up_to = self.lost_up_to.max(latest);
            self.counts.overflowed += 1;
        }
        for mark in session_marks.marks() {
            match self.sketch_for(mark) {
                Some(term_sketch) => {
                    term_sketch.sketch.insert(key.0, mark.position);
                    term_sketch.latest = term_sketch.latest.max(mark.position);
                }
                None => {
                    self.lost_up_to = self.lost_up_to.max(mark.position);
                    self.counts.overflowed += 1;
                }
            }
        }
    }

    fn sketch_for(&mut self, mark: Mark) -> Option<&mut TermSketch> {
        if let Some(index) = self.sketches.iter().position(|s| s.term == mark.term) {
            return Some(&mut self.sketches[index]);
        }
        if self.sketches.len() >= self.limits.terms {
            return None;
        }
        // The sketch starts one day before its first mark; older positions are rounded up to that time.
        let sketch = Sketch::new(self.limits.sketch_cells, mark.position - 86_400.0);
        self.sketches.push(TermSketch { term: mark.term, sketch, latest: mark.position });
        self.sketches.last_mut()
    }

    /// Removes the marks that are older than `max_replica_lag` seconds, because every replica has applied them.
    pub fn remove_expired(&mut self, now: f64, max_replica_lag: f64) {
        let cutoff = now - max_replica_lag;
        while let Some((position, key)) = self.exact.by_age.get_min().copied() {
            if f64::from_bits(position) >= cutoff {
                break;
            }
            self.exact.by_age.remove_min();
            self.exact.by_session.remove(&key);
        }
        // A sketch is removed as a whole, once its latest position has expired.
        self.sketches.retain(|s| s.latest >= cutoff);
        if self.lost_up_to < cutoff {
            self.lost_up_to = f64::NEG_INFINITY;
        }
    }

    /// All marks of a session that this instance knows.
    pub fn session_marks(&self, key: SessionKey) -> SessionMarks {
        let mut session_marks = self.exact.by_session.get(&key).cloned().unwrap_or_default();
        for term_sketch in &self.sketches {
            if let Some(position) = term_sketch.sketch.get(key.0) {
                session_marks.merge(&SessionMarks::of(Mark { term: term_sketch.term, position }));
            }
        }
        session_marks
    }

    /// Returns the position that a session's read must reach, taking the mark sent by its client into
    /// account.
    pub fn required_position(
        &self,
        key: SessionKey,
        carried: Option<Mark>,
        context: &ReadContext,
    ) -> RequiredPosition {
        let mut session_marks = self.session_marks(key);
        if let Some(mark) = carried {
            session_marks.merge(&SessionMarks::of(mark));
        }
        // The session may be one of those that were evicted without being put into a sketch.
        let may_be_lost =
            session_marks.is_empty() && self.lost_up_to >= context.now - context.max_replica_lag;
        let known = if may_be_lost { SessionMarks::Lost(self.lost_up_to) } else { session_marks };
        required_position(&known, carried.is_some(), context)
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

    pub fn counts(&self) -> EvictionCounts {
        self.counts
    }

    /// The fill ratio of the fullest sketch.
    pub fn max_sketch_fill(&self) -> f64 {
        self.sketches.iter().map(|s| s.sketch.fill_ratio()).fold(0.0, f64::max)
    }
}

/// Positions are never negative, so their bits sort in the same order. An unknown (infinite) position sorts
/// last.
fn age_key(session_marks: &SessionMarks) -> u64 {
    session_marks.latest().to_bits()
}

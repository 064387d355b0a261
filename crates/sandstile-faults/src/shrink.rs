//! Finds the smallest part of a schedule that still fails, by delta debugging (Zeller and Hildebrandt, 2002).
//! The search is driven step by step, because each test of a candidate is a run of real processes.

/// A search in progress. `next_candidate` yields the schedule to test, `record_result` takes whether it
/// failed.
#[derive(Clone, Debug)]
pub struct Shrinker<T> {
    /// The smallest schedule that is known to fail.
    smallest_failing: Vec<T>,
    part_count: usize,
    part: usize,
    candidate: Option<Vec<T>>,
    runs: usize,
}

impl<T: Clone> Shrinker<T> {
    /// `fails` is a schedule that was seen to fail.
    pub fn new(fails: Vec<T>) -> Self {
        Shrinker { part_count: 2, smallest_failing: fails, part: 0, candidate: None, runs: 0 }
    }

    pub fn smallest_failing(&self) -> &[T] {
        &self.smallest_failing
    }

    /// The number of candidates tested so far.
    pub fn runs(&self) -> usize {
        self.runs
    }

    /// The next schedule to test; `None` once no single element can be left out any more.
    pub fn next_candidate(&mut self) -> Option<Vec<T>> {
        let n = self.smallest_failing.len();
        if n < 2 {
            return None;
        }
        let part_count = self.part_count.min(n);
        if self.part >= part_count {
            if part_count == n {
                return None;
            }
            (self.part_count, self.part) = ((part_count * 2).min(n), 0);
            return self.next_candidate();
        }
        // Leaves out one part and keeps all others.
        let (from, to) = (n * self.part / part_count, n * (self.part + 1) / part_count);
        let remaining: Vec<T> =
            self.smallest_failing[..from].iter().chain(&self.smallest_failing[to..]).cloned().collect();
        self.candidate = Some(remaining.clone());
        self.runs += 1;
        Some(remaining)
    }

    /// Takes whether the last candidate failed.
    pub fn record_result(&mut self, failed: bool) {
        let Some(tested) = self.candidate.take() else { return };
        if failed {
            self.smallest_failing = tested;
            self.part_count = self.part_count.saturating_sub(1).max(2);
            self.part = 0;
        } else {
            self.part += 1;
        }
    }
}

//! The least of a schedule that still fails: delta debugging (Zeller and Hildebrandt, 2002), asked step by step, for each
//! question is a run of real processes.

/// A search under way. `next_candidate` yields what to play, `told` takes whether it failed.
#[derive(Clone, Debug)]
pub struct Shrinker<T> {
    /// What is known to fail.
    smallest_failing: Vec<T>,
    parts: usize,
    at: usize,
    trying: Option<Vec<T>>,
    runs: usize,
}

impl<T: Clone> Shrinker<T> {
    /// `fails` has been seen to fail.
    pub fn new(fails: Vec<T>) -> Self {
        Shrinker { parts: 2, smallest_failing: fails, at: 0, trying: None, runs: 0 }
    }

    pub fn smallest_failing(&self) -> &[T] {
        &self.smallest_failing
    }

    /// Runs asked for so far.
    pub fn runs(&self) -> usize {
        self.runs
    }

    /// The next to try; `None` once no single one can be left out any more.
    pub fn next_candidate(&mut self) -> Option<Vec<T>> {
        let n = self.smallest_failing.len();
        if n < 2 {
            return None;
        }
        let parts = self.parts.min(n);
        if self.at >= parts {
            if parts == n {
                return None;
            }
            (self.parts, self.at) = ((parts * 2).min(n), 0);
            return self.next_candidate();
        }
        // All but one part.
        let (from, to) = (n * self.at / parts, n * (self.at + 1) / parts);
        let rest: Vec<T> =
            self.smallest_failing[..from].iter().chain(&self.smallest_failing[to..]).cloned().collect();
        self.trying = Some(rest.clone());
        self.runs += 1;
        Some(rest)
    }

    /// Whether what `next_candidate` yielded failed.
    pub fn record_result(&mut self, failed: bool) {
        let Some(tried) = self.trying.take() else { return };
        if failed {
            self.smallest_failing = tried;
            self.parts = self.parts.saturating_sub(1).max(2);
            self.at = 0;
        } else {
            self.at += 1;
        }
    }
}

//! The least of a schedule that still fails: delta debugging (Zeller and Hildebrandt, 2002), asked step by step, for each
//! question is a run of real processes.

/// A search under way. `to_try` yields what to play, `told` takes whether it failed.
#[derive(Clone, Debug)]
pub struct Shrink<T> {
    /// What is known to fail.
    least: Vec<T>,
    parts: usize,
    at: usize,
    trying: Option<Vec<T>>,
    asked: usize,
}

impl<T: Clone> Shrink<T> {
    /// `fails` has been seen to fail.
    pub fn new(fails: Vec<T>) -> Self {
        Shrink { parts: 2, least: fails, at: 0, trying: None, asked: 0 }
    }

    pub fn least(&self) -> &[T] {
        &self.least
    }

    /// Runs asked for so far.
    pub fn asked(&self) -> usize {
        self.asked
    }

    /// The next to try; `None` once no single one can be left out any more.
    pub fn to_try(&mut self) -> Option<Vec<T>> {
        let n = self.least.len();
        if n < 2 {
            return None;
        }
        let parts = self.parts.min(n);
        if self.at >= parts {
            if parts == n {
                return None;
            }
            (self.parts, self.at) = ((parts * 2).min(n), 0);
            return self.to_try();
        }
        // All but one part.
        let (from, to) = (n * self.at / parts, n * (self.at + 1) / parts);
        let rest: Vec<T> = self.least[..from].iter().chain(&self.least[to..]).cloned().collect();
        self.trying = Some(rest.clone());
        self.asked += 1;
        Some(rest)
    }

    /// Whether what `to_try` yielded failed.
    pub fn told(&mut self, failed: bool) {
        let Some(tried) = self.trying.take() else { return };
        if failed {
            self.least = tried;
            self.parts = self.parts.saturating_sub(1).max(2);
            self.at = 0;
        } else {
            self.at += 1;
        }
    }
}

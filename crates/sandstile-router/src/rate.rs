//! Rate limit for log lines: at most one of a kind per second.
use std::collections::BTreeMap;

/// Seconds between two lines of the same kind.
const APART: f64 = 1.0;

/// Records when each kind was last logged.
#[derive(Debug)]
pub struct Limiter<Kind> {
    last: BTreeMap<Kind, f64>,
}

impl<Kind> Default for Limiter<Kind> {
    fn default() -> Self {
        Limiter { last: BTreeMap::new() }
    }
}

impl<Kind: Ord> Limiter<Kind> {
    /// Whether a line of this kind may be logged at `now`, in seconds.
    pub fn admits(&mut self, now: f64, kind: Kind) -> bool {
        let last = self.last.entry(kind).or_insert(f64::NEG_INFINITY);
        let admits = now >= *last + APART;
        if admits {
            *last = now;
        }
        admits
    }
}

//! Holds lines of the log to one of a kind in a second, and counts what was left out.
use std::collections::BTreeMap;

/// Seconds between two lines of one kind.
const APART: f64 = 1.0;

/// When each kind was logged last.
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
    /// Whether a line of this kind may be written at `now`, in seconds.
    pub fn admits(&mut self, now: f64, kind: Kind) -> bool {
        let last = self.last.entry(kind).or_insert(f64::NEG_INFINITY);
        let admits = now >= *last + APART;
        if admits {
            *last = now;
        }
        admits
    }
}

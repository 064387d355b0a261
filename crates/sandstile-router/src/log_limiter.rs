//! Rate limit for log lines: at most one of a kind per second.
use std::collections::BTreeMap;

/// Seconds between two lines of the same kind.
const MIN_INTERVAL_S: f64 = 1.0;

/// Records when each kind was last logged.
#[derive(Debug)]
pub struct LogLimiter<Kind> {
    last: BTreeMap<Kind, f64>,
}

impl<Kind> Default for LogLimiter<Kind> {
    fn default() -> Self {
        LogLimiter { last: BTreeMap::new() }
    }
}

impl<Kind: Ord> LogLimiter<Kind> {
    /// Whether a line of this kind may be logged at `now`, in seconds.
    pub fn admits(&mut self, now: f64, kind: Kind) -> bool {
        let last = self.last.entry(kind).or_insert(f64::NEG_INFINITY);
        let admits = now >= *last + MIN_INTERVAL_S;
        if admits {
            *last = now;
        }
        admits
    }
}

//! When a journal that is put on the disk every so often is due. Pure: times come in with each call.

/// Counts from the first mark that is not on the disk yet, not from the last: writes that never pause must not put the
/// sync off for ever, or more could be lost than was promised.
pub struct SyncSchedule {
    every: f64,
    owing_since: Option<f64>,
}

impl SyncSchedule {
    /// Seconds.
    pub fn new(every: f64) -> SyncSchedule {
        SyncSchedule { every, owing_since: None }
    }

    pub fn wrote(&mut self, now: f64) {
        self.owing_since.get_or_insert(now);
    }

    /// Seconds until a sync is due; `None` while nothing is owed.
    pub fn wait(&self, now: f64) -> Option<f64> {
        self.owing_since.map(|since| (since + self.every - now).max(0.0))
    }

    /// Whether a sync is due now; it counts as done then.
    pub fn due(&mut self, now: f64) -> bool {
        let due = self.wait(now).is_some_and(|left| left <= 0.0);
        if due {
            self.owing_since = None;
        }
        due
    }
}

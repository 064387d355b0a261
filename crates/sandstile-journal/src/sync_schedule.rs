//! Decides when a journal with periodic syncs is due for the next one. It reads no clock: the caller passes
//! the time.

/// Counts from the first mark that is not yet durable, not from the last one. Otherwise continuous writes
/// would delay the sync forever, and a crash could lose more than the configured interval.
pub struct SyncSchedule {
    interval: f64,
    first_unsynced_at: Option<f64>,
}

impl SyncSchedule {
    /// The interval is in seconds.
    pub fn new(interval: f64) -> SyncSchedule {
        SyncSchedule { interval, first_unsynced_at: None }
    }

    pub fn record_write(&mut self, now: f64) {
        self.first_unsynced_at.get_or_insert(now);
    }

    /// Seconds until a sync is due, or `None` if all marks are durable.
    pub fn wait(&self, now: f64) -> Option<f64> {
        self.first_unsynced_at.map(|unsynced_since| (unsynced_since + self.interval - now).max(0.0))
    }

    /// Returns whether a sync is due now. If so, it counts as done.
    pub fn due(&mut self, now: f64) -> bool {
        let due = self.wait(now).is_some_and(|remaining| remaining <= 0.0);
        if due {
            self.first_unsynced_at = None;
        }
        due
    }
}

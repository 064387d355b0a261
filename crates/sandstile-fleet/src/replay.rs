//! The replay of a replica: one thread that applies commits in order. Its rate can change at any time and can be zero.

/// Replay state of one host. `received` and `applied` count commits from the start of the log; the group holds the log.
pub struct Replay {
    pub received: u64,
    pub applied: u64,
    /// Remaining work of the commit in progress, in seconds.
    remaining_work: Option<f64>,
    /// Work per second.
    rate: f64,
    now: f64,
    /// Incremented with each change, so that timers set before are ignored.
    pub version: u64,
}

impl Replay {
    pub fn new(commits: u64, now: f64) -> Self {
        Replay { received: commits, applied: commits, remaining_work: None, rate: 1.0, now, version: 0 }
    }

    fn advance_to(&mut self, now: f64) {
        let step = (now - self.now).max(0.0);
        self.now = self.now.max(now);
        if let Some(remaining_work) = &mut self.remaining_work {
            *remaining_work -= step * self.rate;
        }
    }

    pub fn set_rate(&mut self, now: f64, rate: f64) {
        self.advance_to(now);
        self.rate = rate.max(0.0);
        self.version += 1;
    }

    pub fn receive(&mut self, up_to: u64) {
        self.received = self.received.max(up_to);
    }

    /// Drops the commits from this log index on; returns whether any of them had been applied.
    pub fn truncate(&mut self, now: f64, index: u64) -> bool {
        self.advance_to(now);
        let undone = self.applied > index;
        if self.received > index {
            self.received = index;
            self.applied = self.applied.min(index);
            self.remaining_work = None;
            self.version += 1;
        }
        undone
    }

    /// Whether the thread is idle although received commits wait to be applied.
    pub fn idle_with_work(&self) -> bool {
        self.remaining_work.is_none() && self.applied < self.received
    }

    pub fn begin(&mut self, now: f64, work: f64) {
        self.advance_to(now);
        self.remaining_work = Some(work);
        self.version += 1;
    }

    /// When the commit in progress is applied if nothing changes before.
    pub fn next_finish_at(&self) -> Option<f64> {
        let remaining_work = self.remaining_work.filter(|_| self.rate > 0.0)?;
        Some(self.now + remaining_work.max(0.0) / self.rate)
    }

    /// Completes the commit in progress if it is due by `now`; returns whether it was.
    pub fn done(&mut self, now: f64) -> bool {
        let due = self.next_finish_at().is_some_and(|at| at <= now + 1e-9);
        self.advance_to(now);
        if due {
            self.remaining_work = None;
            self.applied += 1;
            self.version += 1;
        }
        due
    }

    /// Discards the commit in progress, as a process that stops does.
    pub fn halt(&mut self) {
        self.remaining_work = None;
        self.version += 1;
    }
}

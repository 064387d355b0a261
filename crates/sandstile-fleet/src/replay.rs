//! A replica's replay: one thread that applies commits in order. Its rate can change at any time, to nothing too.

/// Counts of commits from the log's beginning; the log itself is the group's.
pub struct Replay {
    pub received: u64,
    pub applied: u64,
    /// Seconds of work left of the commit under way.
    left: Option<f64>,
    /// Work a second.
    rate: f64,
    now: f64,
    /// Raised with each change, so that a timer of before says nothing.
    pub turn: u64,
}

impl Replay {
    pub fn new(at: u64, now: f64) -> Self {
        Replay { received: at, applied: at, left: None, rate: 1.0, now, turn: 0 }
    }

    fn progress(&mut self, now: f64) {
        let step = (now - self.now).max(0.0);
        self.now = self.now.max(now);
        if let Some(left) = &mut self.left {
            *left -= step * self.rate;
        }
    }

    pub fn set_rate(&mut self, now: f64, rate: f64) {
        self.progress(now);
        self.rate = rate.max(0.0);
        self.turn += 1;
    }

    pub fn receive(&mut self, upto: u64) {
        self.received = self.received.max(upto);
    }

    /// Drops what lies beyond this place of the log; yields whether any had been applied.
    pub fn cut(&mut self, now: f64, at: u64) -> bool {
        self.progress(now);
        let undone = self.applied > at;
        if self.received > at {
            self.received = at;
            self.applied = self.applied.min(at);
            self.left = None;
            self.turn += 1;
        }
        undone
    }

    /// Whether the thread has nothing under way and something to take up.
    pub fn idle_with_work(&self) -> bool {
        self.left.is_none() && self.applied < self.received
    }

    pub fn begin(&mut self, now: f64, work: f64) {
        self.progress(now);
        self.left = Some(work);
        self.turn += 1;
    }

    /// When the commit under way is applied, if nothing changes before.
    pub fn next(&self) -> Option<f64> {
        let left = self.left.filter(|_| self.rate > 0.0)?;
        Some(self.now + left.max(0.0) / self.rate)
    }

    /// Ends the commit under way if it is done by now.
    pub fn done(&mut self, now: f64) -> bool {
        let due = self.next().is_some_and(|at| at <= now + 1e-9);
        self.progress(now);
        if due {
            self.left = None;
            self.applied += 1;
            self.turn += 1;
        }
        due
    }

    /// A process that stops forgets what it was about to do.
    pub fn halt(&mut self) {
        self.left = None;
        self.turn += 1;
    }
}

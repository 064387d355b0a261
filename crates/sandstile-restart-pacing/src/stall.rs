//! Detects that the process was stopped. It resumes as if nothing had happened, but its host list, its
//! positions and the statements in its sockets are outdated. The event loop calls `check` at least every
//! `CHECK_INTERVAL` seconds; a call that is far too late shows a stall, and decisions then wait until current
//! data had time to arrive.

/// Seconds between checks, so that a stall can be told from an idle event loop.
pub const LOOK: f64 = 0.25;
/// Seconds after a stall until the threads of this process have read what waits in their sockets, one after
/// another.
pub const NEWS: f64 = 0.05;

#[derive(Clone, Debug)]
pub struct StallDetector {
    limit: f64,
    looked: f64,
    /// No decisions before this time.
    until: f64,
    /// When the last stall ended, and its duration in seconds.
    last: Option<(f64, f64)>,
}

impl StallDetector {
    /// `tolerance`: seconds by which a check may be late.
    pub fn new(limit: f64, now: f64) -> StallDetector {
        StallDetector { limit, looked: now, until: f64::NEG_INFINITY, last: None }
    }

    /// When the next check is due.
    pub fn due(&self) -> f64 {
        let held = if self.until > self.looked { self.until } else { f64::INFINITY };
        (self.looked + LOOK).min(held)
    }

    /// Returns the duration of the stall if there was one.
    pub fn look(&mut self, now: f64) -> Option<f64> {
        let late = now - (self.looked + LOOK);
        self.looked = now;
        if late <= self.limit {
            return None;
        }
        self.until = now + NEWS;
        self.last = Some((now, late + LOOK));
        Some(late + LOOK)
    }

    /// Whether decisions have to wait for current data.
    pub fn holds(&self, now: f64) -> bool {
        now < self.until
    }

    /// The current host list has arrived, so there is nothing left to wait for.
    pub fn heard(&mut self) {
        self.until = f64::NEG_INFINITY;
    }

    /// The seconds that a statement may have lost before it was read, if its bytes arrived during the stall.
    /// The time of arrival is unknown, so the whole duration is assumed.
    pub fn lost(&self, now: f64) -> f64 {
        match self.last {
            Some((since, lasted)) if now < since + NEWS => lasted,
            _ => 0.0,
        }
    }
}

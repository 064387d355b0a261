//! Detects that the process was stopped. It then resumes as if nothing had happened, but its host list,
//! its positions and the statements in its sockets are outdated. The event loop calls `check` at least every
//! `CHECK_INTERVAL` seconds; a call that is far too late shows a stall, and decisions then wait until current
//! data had time to arrive.

/// Seconds between checks, so that a stall can be distinguished from an idle event loop.
pub const CHECK_INTERVAL: f64 = 0.25;
/// Seconds after a stall until the threads of this process have read what waits in their sockets, one after
/// another.
pub const SETTLE_SECONDS: f64 = 0.05;

#[derive(Clone, Debug)]
pub struct StallDetector {
    tolerance: f64,
    checked_at: f64,
    /// No decisions before this time.
    blocked_until: f64,
    /// When the last stall ended, and its duration in seconds.
    last_stall: Option<(f64, f64)>,
}

impl StallDetector {
    /// `tolerance`: seconds by which a check may be late.
    pub fn new(tolerance: f64, now: f64) -> StallDetector {
        StallDetector { tolerance, checked_at: now, blocked_until: f64::NEG_INFINITY, last_stall: None }
    }

    /// When the next check is due.
    pub fn next_check_at(&self) -> f64 {
        let unblock_at =
            if self.blocked_until > self.checked_at { self.blocked_until } else { f64::INFINITY };
        (self.checked_at + CHECK_INTERVAL).min(unblock_at)
    }

    /// Returns the duration of the stall if there was one.
    pub fn check(&mut self, now: f64) -> Option<f64> {
        let delay = now - (self.checked_at + CHECK_INTERVAL);
        self.checked_at = now;
        if delay <= self.tolerance {
            return None;
        }
        self.blocked_until = now + SETTLE_SECONDS;
        self.last_stall = Some((now, delay + CHECK_INTERVAL));
        Some(delay + CHECK_INTERVAL)
    }

    /// Whether decisions have to wait for current data.
    pub fn blocks_decisions(&self, now: f64) -> bool {
        now < self.blocked_until
    }

    /// The current host list has arrived, so there is nothing left to wait for.
    pub fn list_received(&mut self) {
        self.blocked_until = f64::NEG_INFINITY;
    }

    /// The seconds that a statement may have lost before it was read, if its bytes arrived during the stall.
    /// The time of arrival is unknown, so the whole duration is assumed.
    pub fn time_lost(&self, now: f64) -> f64 {
        match self.last_stall {
            Some((ended_at, duration)) if now < ended_at + SETTLE_SECONDS => duration,
            _ => 0.0,
        }
    }
}

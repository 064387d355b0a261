//! A process that was stopped goes on as if nothing had been: its list, its positions and the statements in its sockets are
//! of yesterday. The loop looks at the time at least every so often; a look that comes much too late tells of a stop, and
//! nothing is decided after it until news had their time to come in.

/// Seconds between looks, so that a stop is told from a loop that had nothing to do.
pub const LOOK: f64 = 0.25;
/// Seconds after a stop that news in the sockets of this machine need to come in, one thread after the other.
pub const NEWS: f64 = 0.05;

#[derive(Clone, Debug)]
pub struct StallDetector {
    limit: f64,
    looked: f64,
    /// Nothing is decided before that.
    until: f64,
    /// When it went on after the last stop, and how long that was.
    last: Option<(f64, f64)>,
}

impl StallDetector {
    /// `limit`: seconds by which a look may be late.
    pub fn new(limit: f64, now: f64) -> StallDetector {
        StallDetector { limit, looked: now, until: f64::NEG_INFINITY, last: None }
    }

    /// When it wants to look next.
    pub fn due(&self) -> f64 {
        let held = if self.until > self.looked { self.until } else { f64::INFINITY };
        (self.looked + LOOK).min(held)
    }

    /// A look. Yields for how long the router stood still, where it did.
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

    /// Whether decisions have to wait for news.
    pub fn holds(&self, now: f64) -> bool {
        now < self.until
    }

    /// The last list has come: there is no better news to wait for.
    pub fn heard(&mut self) {
        self.until = f64::NEG_INFINITY;
    }

    /// How much of its time a statement had lost before it was read, whose bytes came during the stop: nobody can tell when
    /// within it they came, so all of it, the careful end.
    pub fn lost(&self, now: f64) -> f64 {
        match self.last {
            Some((since, lasted)) if now < since + NEWS => lasted,
            _ => 0.0,
        }
    }
}

//! Unix time in seconds. It is read once and then advanced by the monotonic clock, so that a step of the system
//! time moves no deadline. All machines use the same epoch, so positions and start times need no offset.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy)]
pub struct Clock {
    instant: Instant,
    unix: f64,
}

impl Clock {
    pub fn anchor() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64());
        Clock { instant: Instant::now(), unix }
    }

    pub fn now(&self) -> f64 {
        self.unix + self.instant.elapsed().as_secs_f64()
    }

    /// Time until `deadline`; zero once it has passed.
    pub fn time_until(&self, deadline: f64) -> Duration {
        Duration::try_from_secs_f64(deadline - self.now()).unwrap_or(Duration::ZERO)
    }
}

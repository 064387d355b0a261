//! Unix time in seconds, read once and advanced by the monotonic clock. The emulator, the clients and the trace share
//! one instance.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy, Debug)]
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

    /// Time left until `at`; zero once it has passed.
    pub fn until(&self, at: f64) -> Duration {
        Duration::try_from_secs_f64(at - self.now()).unwrap_or(Duration::ZERO)
    }
}

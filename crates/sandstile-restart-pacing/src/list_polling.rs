//! Backoff between requests for the host list. Routers that lost the same agent or were started together
//! would otherwise ask at the same times.
use oorandom::Rand64;

/// The first and the longest pause in seconds. They are short because a request to an absent agent costs little, and
/// changes of the list must not wait long.
const INITIAL_PAUSE: f64 = 0.2;
const MAX_PAUSE: f64 = 1.0;

pub struct ListBackoff {
    rng: Rand64,
    pause: f64,
}

impl ListBackoff {
    pub fn new(seed: u64) -> ListBackoff {
        ListBackoff { rng: Rand64::new(u128::from(seed)), pause: INITIAL_PAUSE }
    }

    /// A watch ended or failed. Returns the seconds until the next one: between half and one and a half times
    /// a pause that grows until a list is received.
    pub fn next_delay(&mut self) -> f64 {
        let pause = self.pause * (0.5 + self.rng.rand_float());
        self.pause = (self.pause * 1.5).min(MAX_PAUSE);
        pause
    }

    /// A list was received.
    pub fn reset(&mut self) {
        self.pause = INITIAL_PAUSE;
    }
}

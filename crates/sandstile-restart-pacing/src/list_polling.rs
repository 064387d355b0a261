//! When a list is asked for again. Many that lost the same agent, or were started by the same hand, would ask in step.
use oorandom::Rand64;

/// The first pause, and the longest: an agent that is away costs little, and news must not wait for long.
const FIRST: f64 = 0.2;
const LONGEST: f64 = 1.0;

pub struct ListBackoff {
    chance: Rand64,
    pause: f64,
}

impl ListBackoff {
    pub fn new(seed: u64) -> ListBackoff {
        ListBackoff { chance: Rand64::new(u128::from(seed)), pause: FIRST }
    }

    /// A watch ended or could not be had: seconds until the next, between half and one and a half times a pause that grows
    /// while nothing is heard.
    pub fn next_delay(&mut self) -> f64 {
        let pause = self.pause * (0.5 + self.chance.rand_float());
        self.pause = (self.pause * 1.5).min(LONGEST);
        pause
    }

    /// Something was heard.
    pub fn reset(&mut self) {
        self.pause = FIRST;
    }
}

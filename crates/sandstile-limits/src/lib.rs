//! What a front does about a storm of returning clients: whether there is one (`storm`), which later tries come in
//! (`budget`), and when the others are to come back (`slots`). `Limits` puts the three together. The decisions of
//! `sandstile-policy` stay what they are: what is let in, they decide on; what they reject, this only gives a time.
//!
//! Times are Unix seconds handed in; nothing here reads a clock. `docs/design/limits.md` weighs the options.
pub mod budget;
pub mod slots;
pub mod storm;

use budget::Budgets;
use slots::Slots;
use storm::{Change, Storm, Watch};

/// What our own file says. Shares are of 1, times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Later tries that each completed first try earns, while there is a storm.
    pub retry_ratio: f64,
    /// False alarms that a day of ordinary traffic may have.
    pub false_alarms_per_day: f64,
    /// The share of what completes that returning clients may fill.
    pub returning_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { retry_ratio: 0.2, false_alarms_per_day: 0.1, returning_share: 0.5 }
    }
}

/// What becomes of a statement at the door.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryAdmission {
    Admit,
    /// Turned away at once: it has not run, and trying again is harmless.
    TurnAway,
}

/// One router's limits.
pub struct Limits {
    watch: Watch,
    budgets: Budgets,
    slots: Slots,
    /// Completions a second, over the last seconds.
    rate: storm::Rate,
}

impl Limits {
    pub fn new(terms: &Settings, seed: u64, now: f64) -> Self {
        Limits {
            watch: Watch::new(terms.false_alarms_per_day, now),
            budgets: Budgets::new(terms.retry_ratio),
            slots: Slots::new(terms.returning_share, seed),
            rate: storm::Rate::new(2.0, now),
        }
    }

    /// A statement asks to come in: a first try always does, a later one in a storm only by its budget.
    pub fn asked(&mut self, now: f64, workload: usize, group: usize, later: bool) -> RetryAdmission {
        self.watch.asked(now, later);
        if later && self.watch.storm().is_some() && !self.budgets.spend(workload, group) {
            return RetryAdmission::TurnAway;
        }
        RetryAdmission::Admit
    }

    /// A statement was answered; `first` says that it was no later try.
    pub fn answered(&mut self, now: f64, workload: usize, group: usize, completed: bool, first: bool) {
        self.watch.answered(now, completed);
        if completed {
            self.rate.note(now);
            if first {
                self.budgets.earn(workload, group);
            }
        }
    }

    /// When one that is turned away is to come back: seconds from now, `most` at the most. Outside a storm that is
    /// `most`, as the decisions have it; in one, a place of its own in what is likely to be free.
    pub fn retry_after(&mut self, now: f64, most: f64) -> f64 {
        match self.watch.storm() {
            Some(_) if most > 0.0 => self.slots.hand_out(now, most, self.rate.at(now)),
            _ => most,
        }
    }

    pub fn storm(&self) -> Option<Storm> {
        self.watch.storm()
    }

    /// Storms that began or ended since this was asked last, for the log.
    pub fn changes(&mut self) -> Vec<Change> {
        self.watch.changes()
    }

    /// Entries of state, which has a bound whatever names come.
    pub fn held(&self) -> usize {
        self.budgets.held() + self.slots.held()
    }
}

//! Limits for storms of returning clients: detects a storm (`storm`), budgets retries (`budget`) and assigns
//! times to return (`slots`). `Limits` combines the three. It leaves the decisions of `sandstile-policy`
//! unchanged: the policy decides on admitted statements, and for those that it rejects only the retry delay
//! is set here.
//!
//! Times are Unix seconds supplied by the caller; no clock is read here. `docs/design/limits.md` compares the
//! alternatives.
pub mod budget;
pub mod slots;
pub mod storm;

use budget::Budgets;
use slots::Slots;
use storm::{Change, Storm, Watch};

/// Settings from the local configuration file. Shares are fractions of 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Retries that each completed first try earns during a storm.
    pub retry_ratio: f64,
    /// Accepted number of false alarms per day of ordinary traffic.
    pub false_alarms_per_day: f64,
    /// The share of the completion rate that returning clients may use.
    pub returning_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { retry_ratio: 0.2, false_alarms_per_day: 0.1, returning_share: 0.5 }
    }
}

/// Whether a statement is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryAdmission {
    Admit,
    /// Rejected at once. It has not run, so a retry is harmless.
    TurnAway,
}

/// The limits of one router.
pub struct Limits {
    watch: Watch,
    budgets: Budgets,
    slots: Slots,
    /// Completions per second, averaged over the last seconds.
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

    /// Decides whether a statement is admitted: first tries always are, retries during a storm only within
    /// the budget.
    pub fn asked(&mut self, now: f64, workload: usize, group: usize, later: bool) -> RetryAdmission {
        self.watch.asked(now, later);
        if later && self.watch.storm().is_some() && !self.budgets.spend(workload, group) {
            return RetryAdmission::TurnAway;
        }
        RetryAdmission::Admit
    }

    /// Records the answer to a statement; `first_try` is false for a retry.
    pub fn answered(&mut self, now: f64, workload: usize, group: usize, completed: bool, first: bool) {
        self.watch.answered(now, completed);
        if completed {
            self.rate.note(now);
            if first {
                self.budgets.earn(workload, group);
            }
        }
    }

    /// The delay in seconds after which a rejected client is to return, at most `max_delay`. Outside a storm
    /// it is `max_delay`, as the policy has it. During a storm each client gets a place in the capacity that
    /// is expected to be free.
    pub fn retry_after(&mut self, now: f64, most: f64) -> f64 {
        match self.watch.storm() {
            Some(_) if most > 0.0 => self.slots.hand_out(now, most, self.rate.at(now)),
            _ => most,
        }
    }

    pub fn storm(&self) -> Option<Storm> {
        self.watch.storm()
    }

    /// Storms that began or ended since the last call, for the log.
    pub fn changes(&mut self) -> Vec<Change> {
        self.watch.changes()
    }

    /// The number of entries held, which is bounded for any input.
    pub fn held(&self) -> usize {
        self.budgets.held() + self.slots.held()
    }
}

//! Limits for storms of returning clients: detects a storm (`storm_detector`), budgets retries (`retry_budget`) and assigns
//! times to return (`return_slots`). `Limits` combines the three. It leaves the decisions of `sandstile-policy`
//! unchanged: the policy decides on admitted statements, and for those that it rejects only the retry delay
//! is set here.
//!
//! Times are Unix seconds supplied by the caller; no clock is read here. `docs/design/limits.md` compares the
//! alternatives.
pub mod retry_budget;
pub mod return_slots;
pub mod storm_detector;

use retry_budget::RetryBudgets;
use return_slots::ReturnSlots;
use storm_detector::{Storm, StormChange, StormDetector};

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
    detector: StormDetector,
    budgets: RetryBudgets,
    slots: ReturnSlots,
    /// Completions per second, averaged over the last seconds.
    completions: storm_detector::Rate,
}

impl Limits {
    pub fn new(settings: &Settings, seed: u64, now: f64) -> Self {
        Limits {
            detector: StormDetector::new(settings.false_alarms_per_day, now),
            budgets: RetryBudgets::new(settings.retry_ratio),
            slots: ReturnSlots::new(settings.returning_share, seed),
            completions: storm_detector::Rate::new(2.0, now),
        }
    }

    /// Decides whether a statement is admitted: first tries always are, retries during a storm only within
    /// the budget.
    pub fn admit(&mut self, now: f64, workload: usize, group: usize, is_retry: bool) -> RetryAdmission {
        self.detector.record_request(now, is_retry);
        if is_retry && self.detector.storm().is_some() && !self.budgets.spend(workload, group) {
            return RetryAdmission::TurnAway;
        }
        RetryAdmission::Admit
    }

    /// Records the answer to a statement; `first_try` is false for a retry.
    pub fn record_answer(
        &mut self,
        now: f64,
        workload: usize,
        group: usize,
        completed: bool,
        first_try: bool,
    ) {
        self.detector.record_answer(now, completed);
        if completed {
            self.completions.record(now);
            if first_try {
                self.budgets.earn(workload, group);
            }
        }
    }

    /// The delay in seconds after which a rejected client is to return, at most `max_delay`. Outside a storm
    /// it is `max_delay`, as the policy decided. During a storm each client gets its own part of the capacity
    /// that is expected to be free.
    pub fn retry_after(&mut self, now: f64, max_delay: f64) -> f64 {
        match self.detector.storm() {
            Some(_) if max_delay > 0.0 => self.slots.assign(now, max_delay, self.completions.per_second(now)),
            _ => max_delay,
        }
    }

    pub fn storm(&self) -> Option<Storm> {
        self.detector.storm()
    }

    /// Storms that began or ended since the last call, for the log.
    pub fn take_changes(&mut self) -> Vec<StormChange> {
        self.detector.take_changes()
    }

    /// The number of entries held, which is bounded for any input.
    pub fn entry_count(&self) -> usize {
        self.budgets.entry_count() + self.slots.entry_count()
    }
}

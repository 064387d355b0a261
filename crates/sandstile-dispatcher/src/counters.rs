//! What the desk took in and answered. Read by whoever prints it, from any thread.
use sandstile_policy::terms::{FailureCause, WaitReason};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

#[derive(Default, Debug)]
pub struct Counter(AtomicU64);

impl Counter {
    pub fn add(&self) {
        self.0.fetch_add(1, Relaxed);
    }

    pub fn decrement(&self) {
        self.0.fetch_sub(1, Relaxed);
    }

    /// For what is counted elsewhere.
    pub fn set(&self, to: u64) {
        self.0.store(to, Relaxed);
    }

    /// For the longest of something, in milliseconds.
    pub fn record_max_ms(&self, seconds: f64) {
        self.0.fetch_max((seconds * 1e3) as u64, Relaxed);
    }

    pub fn get(&self) -> u64 {
        self.0.load(Relaxed)
    }
}

#[derive(Default, Debug)]
pub struct DispatcherCounters {
    pub taken: Counter,
    pub completed: Counter,
    pub rejected: Counter,
    pub aborted: Counter,
    pub clients_gone: Counter,
    /// Storms seen, and later tries turned away in them.
    pub storms: Counter,
    pub turned_away: Counter,
    /// Statements that a ramp turned away, after a start.
    pub ramped: Counter,
    /// Probes that were left to other routers.
    pub probes_left: Counter,
    /// Times that this process stood still.
    pub stalls: Counter,
    /// Executions beyond a statement's first.
    pub further_executions: Counter,
    refusals: [Counter; FailureCause::ALL.len()],
    /// Statements refused without an execution, by what they had waited for.
    unsent: [Counter; WaitReason::ALL.len()],
}

impl DispatcherCounters {
    /// A statement was rejected or aborted for this cause.
    pub fn refused(&self, cause: FailureCause) {
        self.refusals[cause as usize].add();
    }

    /// A statement was refused that was never sent, and had waited for this.
    pub fn refused_unsent(&self, wait_reason: WaitReason) {
        self.unsent[wait_reason as usize].add();
    }

    /// How many were refused unsent, by what they had waited for.
    pub fn unsent(&self) -> impl Iterator<Item = (String, &Counter)> {
        WaitReason::ALL
            .into_iter()
            .zip(&self.unsent)
            .map(|(wait_reason, count)| (format!("Unsent{wait_reason:?}"), count))
    }

    /// How many were rejected or aborted, by cause.
    pub fn refusals(&self) -> impl Iterator<Item = (String, &Counter)> {
        FailureCause::ALL.into_iter().zip(&self.refusals).map(|(cause, count)| (format!("{cause:?}"), count))
    }
}

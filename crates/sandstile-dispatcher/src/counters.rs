//! Counters of the statements that the dispatcher took in and answered. They may be read from any thread.
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

    /// Overwrites the value; for numbers that are counted elsewhere.
    pub fn set(&self, value: u64) {
        self.0.store(value, Relaxed);
    }

    /// Keeps the longest duration seen, in milliseconds.
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
    /// Retry storms detected, and retries turned away during them.
    pub storms: Counter,
    pub turned_away: Counter,
    /// Statements that the admission ramp turned away after a start.
    pub ramped: Counter,
    /// Probes that were left to other routers.
    pub probes_left: Counter,
    /// Times that this process was stopped, as noticed once it ran again.
    pub stalls: Counter,
    /// Executions after the first of a statement.
    pub further_executions: Counter,
    /// Writes in a slot in which another session wrote before: reads of both wait for the later of the two writes.
    pub session_slots_shared: Counter,
    /// Times that ids of statements which may have run were forgotten early, because so many came.
    pub ids_forgotten_early: Counter,
    refusals: [Counter; FailureCause::ALL.len()],
    /// Statements refused without an execution, by the reason for which they had waited.
    unsent: [Counter; WaitReason::ALL.len()],
}

impl DispatcherCounters {
    /// Counts a rejected or aborted statement by its cause.
    pub fn refused(&self, cause: FailureCause) {
        self.refusals[cause as usize].add();
    }

    /// Counts a statement that was refused without being sent, by the reason for which it had waited.
    pub fn refused_unsent(&self, wait_reason: WaitReason) {
        self.unsent[wait_reason as usize].add();
    }

    /// Statements refused without being sent, by wait reason.
    pub fn unsent(&self) -> impl Iterator<Item = (String, &Counter)> {
        WaitReason::ALL
            .into_iter()
            .zip(&self.unsent)
            .map(|(wait_reason, count)| (format!("Unsent{wait_reason:?}"), count))
    }

    /// Rejected and aborted statements, by cause.
    pub fn refusals(&self) -> impl Iterator<Item = (String, &Counter)> {
        FailureCause::ALL.into_iter().zip(&self.refusals).map(|(cause, count)| (format!("{cause:?}"), count))
    }
}

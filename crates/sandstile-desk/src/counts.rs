//! What the desk took in and answered. Read by whoever prints it, from any thread.
use sandstile_policy::terms::Cause;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

#[derive(Default, Debug)]
pub struct Count(AtomicU64);

impl Count {
    pub fn add(&self) {
        self.0.fetch_add(1, Relaxed);
    }

    pub fn less(&self) {
        self.0.fetch_sub(1, Relaxed);
    }

    /// For what is counted elsewhere.
    pub fn set(&self, to: u64) {
        self.0.store(to, Relaxed);
    }

    pub fn get(&self) -> u64 {
        self.0.load(Relaxed)
    }
}

#[derive(Default, Debug)]
pub struct Counts {
    pub taken: Count,
    pub completed: Count,
    pub rejected: Count,
    pub aborted: Count,
    pub clients_gone: Count,
    /// Storms seen, and later tries turned away in them.
    pub storms: Count,
    pub turned_away: Count,
    /// Statements that a ramp turned away, after a start.
    pub ramped: Count,
    /// Probes that were left to other routers.
    pub probes_left: Count,
    /// Times that this process stood still.
    pub stalls: Count,
    /// Executions beyond a statement's first.
    pub further_executions: Count,
    refusals: [Count; Cause::ALL.len()],
}

impl Counts {
    /// A statement was rejected or aborted for this cause.
    pub fn refused(&self, cause: Cause) {
        self.refusals[cause as usize].add();
    }

    /// How many were rejected or aborted, by cause.
    pub fn refusals(&self) -> impl Iterator<Item = (String, &Count)> {
        Cause::ALL.into_iter().zip(&self.refusals).map(|(cause, count)| (format!("{cause:?}"), count))
    }
}

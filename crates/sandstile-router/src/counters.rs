//! What the router took in, sent and answered; printed on SIGUSR1 and at the end.
use crate::ending::{Ending, ALL};
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

#[derive(Default)]
pub struct Count(AtomicU64);

impl Count {
    pub fn add(&self) {
        self.0.fetch_add(1, Relaxed);
    }

    pub fn less(&self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

#[derive(Default)]
pub struct Counters {
    pub connections: Count,
    pub taken: Count,
    pub empty_queries: Count,
    pub bad_input: Count,
    pub rested: Count,
    pub clients_gone: Count,
    pub sent: Count,
    pub dialled: Count,
    pub probes: Count,
    pub completed: Count,
    pub rejected: Count,
    pub aborted: Count,
    pub forsaken: Count,
    pub lists: Count,
    pub bad_lists: Count,
    pub watches: Count,
    /// Storms seen, and later tries turned away in them.
    pub storms: Count,
    pub turned_away: Count,
    /// Dials that waited for their turn, and statements that a ramp turned away, after a start.
    pub dials_held: Count,
    pub ramped: Count,
    /// Times that this process stood still.
    pub stalls: Count,
    /// Arrivals that a recording has not kept.
    pub unrecorded: Count,
    /// Database hosts that are known now.
    pub hosts: Count,
    endings: [Count; ALL.len()],
}

impl Counters {
    pub fn ended(&self, ending: Ending) {
        self.endings[ending as usize].add();
    }
}

/// One line of `name=value`, the same names in the same order each time.
impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let plain = [
            ("connections", &self.connections),
            ("taken", &self.taken),
            ("completed", &self.completed),
            ("rejected", &self.rejected),
            ("aborted", &self.aborted),
            ("forsaken", &self.forsaken),
            ("clients_gone", &self.clients_gone),
            ("empty_queries", &self.empty_queries),
            ("bad_input", &self.bad_input),
            ("rested", &self.rested),
            ("sent", &self.sent),
            ("dialled", &self.dialled),
            ("probes", &self.probes),
            ("lists", &self.lists),
            ("bad_lists", &self.bad_lists),
            ("watches", &self.watches),
            ("hosts", &self.hosts),
            ("unrecorded", &self.unrecorded),
            ("storms", &self.storms),
            ("turned_away", &self.turned_away),
            ("dials_held", &self.dials_held),
            ("ramped", &self.ramped),
            ("stalls", &self.stalls),
        ];
        write!(f, "counters")?;
        for (name, count) in plain {
            write!(f, " {name}={}", count.0.load(Relaxed))?;
        }
        for ending in ALL {
            write!(f, " {ending:?}={}", self.endings[ending as usize].0.load(Relaxed))?;
        }
        Ok(())
    }
}

//! Ramps up the load after a restart as fast as answers come: the number of statements in flight is limited,
//! each completion raises the limit by one, and the ramp ends once it has rejected nothing for a while.
use std::collections::BTreeSet;

/// The initial limit of statements in flight.
const INITIAL_WINDOW: f64 = 8.0;
/// The number of completions without a rejection after which the ramp ends.
const COMPLETIONS_TO_FINISH: u32 = 200;
/// The ramp ends at this limit, which no router of these deployments exceeds.
const MAX_WINDOW: f64 = 256.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Admit,
    /// Rejected at once and not sent.
    TurnAway,
}

pub struct AdmissionRamp {
    window: f64,
    in_flight: BTreeSet<u64>,
    completions_since_rejection: u32,
    finished: bool,
}

impl Default for AdmissionRamp {
    fn default() -> Self {
        AdmissionRamp {
            window: INITIAL_WINDOW,
            in_flight: BTreeSet::new(),
            completions_since_rejection: 0,
            finished: false,
        }
    }
}

impl AdmissionRamp {
    pub fn admit(&mut self, statement_id: u64) -> Admission {
        if self.finished {
            return Admission::Admit;
        }
        if self.in_flight.len() as f64 >= self.window {
            self.completions_since_rejection = 0;
            return Admission::TurnAway;
        }
        self.in_flight.insert(statement_id);
        Admission::Admit
    }

    /// An admitted statement has ended.
    pub fn statement_ended(&mut self, statement_id: u64, completed: bool) {
        if self.finished || !self.in_flight.remove(&statement_id) || !completed {
            return;
        }
        self.window += 1.0;
        self.completions_since_rejection += 1;
        if self.completions_since_rejection >= COMPLETIONS_TO_FINISH || self.window >= MAX_WINDOW {
            self.finished = true;
            self.in_flight.clear();
        }
    }

    pub fn finished(&self) -> bool {
        self.finished
    }

    pub fn entry_count(&self) -> usize {
        self.in_flight.len()
    }
}

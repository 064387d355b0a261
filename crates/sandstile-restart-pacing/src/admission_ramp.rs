//! Ramps up the load after a restart as fast as answers come: the number of statements in flight is limited,
//! each completion raises the limit by one, and the ramp ends once it has rejected nothing for a while.
use std::collections::BTreeSet;

/// The initial limit of statements in flight.
const FIRST: f64 = 8.0;
/// The number of completions without a rejection after which the ramp ends.
const CALM: u32 = 200;
/// The ramp ends at this limit, which no router of these deployments exceeds.
const WIDE: f64 = 256.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Admit,
    /// Rejected at once and not sent.
    TurnAway,
}

pub struct AdmissionRamp {
    window: f64,
    under_way: BTreeSet<u64>,
    calm: u32,
    over: bool,
}

impl Default for AdmissionRamp {
    fn default() -> Self {
        AdmissionRamp { window: FIRST, under_way: BTreeSet::new(), calm: 0, over: false }
    }
}

impl AdmissionRamp {
    pub fn asked(&mut self, statement_id: u64) -> Admission {
        if self.over {
            return Admission::Admit;
        }
        if self.under_way.len() as f64 >= self.window {
            self.calm = 0;
            return Admission::TurnAway;
        }
        self.under_way.insert(statement_id);
        Admission::Admit
    }

    /// An admitted statement has ended.
    pub fn ended(&mut self, statement_id: u64, completed: bool) {
        if self.over || !self.under_way.remove(&statement_id) || !completed {
            return;
        }
        self.window += 1.0;
        self.calm += 1;
        if self.calm >= CALM || self.window >= WIDE {
            self.over = true;
            self.under_way.clear();
        }
    }

    pub fn over(&self) -> bool {
        self.over
    }

    pub fn held(&self) -> usize {
        self.under_way.len()
    }
}

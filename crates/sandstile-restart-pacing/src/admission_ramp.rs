//! The crowd that comes back with a router comes in as fast as answers come: so many statements are under way at most, one
//! more with each that completes, and the ramp is over once it has held nobody up for a while.
use std::collections::BTreeSet;

/// Statements under way to begin with.
const FIRST: f64 = 8.0;
/// Completions without anybody held up, after which the ramp is over.
const CALM: u32 = 200;
/// A window beyond which no router of ours goes.
const WIDE: f64 = 256.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Admit,
    /// Turned away at once, unsent.
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

    /// A statement that came in has its end.
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

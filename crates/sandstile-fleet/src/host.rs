//! One host: a process that serves one group on one machine.
use crate::event::{Input, Output, Readiness, StatementRequest};
use crate::fault::Effects;
use crate::plan::MachineKind;
use crate::replay::Replay;
use std::collections::{BTreeSet, VecDeque};

pub(crate) struct Host {
    pub name: String,
    pub group: usize,
    pub node: usize,
    /// When its process started last; 0 for long ago.
    pub since: f64,
    pub readiness: Readiness,
    /// Faults that stand on it, by their numbers.
    pub faults: Vec<usize>,
    pub effects: Effects,
    pub replay: Replay,
    /// Whether the primary's log reaches it; else how far it knows the log to be whole.
    pub linked: bool,
    /// The term of the primary that it heard last.
    pub follows: u64,
    pub heard_to: f64,
    pub conns: BTreeSet<u64>,
    /// What came while the process stood still.
    pub deferred: VecDeque<(u64, Input)>,
    /// What a hung process has to say.
    pub withheld: Vec<(u64, Output)>,
    /// Work that stands still, and how much of it is left.
    pub suspended: Vec<(u64, f64)>,
    pub cold: Cold,
}

/// What was offered to a cold process of late.
#[derive(Default)]
pub(crate) struct Cold {
    offered: VecDeque<(f64, f64)>,
    sum: f64,
    pub peak: f64,
}

impl Cold {
    /// Takes note of work and yields what was offered over the window, as a multiple of what can be done.
    pub fn offer(&mut self, now: f64, work: f64, window: f64, could: f64) -> f64 {
        self.offered.push_back((now, work));
        self.sum += work;
        while self.offered.front().is_some_and(|(at, _)| *at < now - window) {
            self.sum -= self.offered.pop_front().map_or(0.0, |(_, work)| work);
        }
        self.sum / (could * window).max(1e-9)
    }

    pub fn clear(&mut self) {
        *self = Cold::default();
    }
}

impl Host {
    /// The share of its cores that a process has so long after its start.
    pub fn warmth(&self, kind: &MachineKind, now: f64) -> f64 {
        if self.since <= 0.0 || kind.warm_s <= 0.0 {
            return 1.0;
        }
        let part = ((now - self.since) / kind.warm_s).clamp(0.0, 1.0);
        kind.cold_share + (1.0 - kind.cold_share) * part
    }
}

pub(crate) struct Conn {
    pub host: usize,
    pub doing: Doing,
    pub turn: u64,
    /// Statements that have begun on it.
    pub served: u32,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum Doing {
    /// It waits for its greeting.
    Rising,
    Idle,
    Busy(u64),
}

pub(crate) struct Job {
    pub host: usize,
    /// `None` once the connection has ended.
    pub conn: Option<u64>,
    pub what: What,
}

pub(crate) enum What {
    Setup,
    Statement { ask: StatementRequest, need: f64, reached: f64, term: u64, held_until: Option<f64> },
}

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
    /// Time of the last process start; 0 means long ago.
    pub since: f64,
    pub readiness: Readiness,
    /// Ids of the faults that are active on the host.
    pub faults: Vec<usize>,
    pub effects: Effects,
    pub replay: Replay,
    /// Whether the host receives the primary's log.
    pub receives_log: bool,
    /// Term of the primary whose log the host received last.
    pub last_seen_term: u64,
    /// While the log is not received: the time up to which the host knows the log completely.
    pub log_known_until: f64,
    pub conns: BTreeSet<u64>,
    /// Inputs that arrived while the process was paused.
    pub deferred_inputs: VecDeque<(u64, Input)>,
    /// Outputs that a hung process has not sent yet.
    pub withheld_outputs: Vec<(u64, Output)>,
    /// Jobs of a paused process, each with its remaining work.
    pub suspended_jobs: Vec<(u64, f64)>,
    pub cold_load: ColdLoad,
}

/// The work offered to a cold process recently.
#[derive(Default)]
pub(crate) struct ColdLoad {
    offered: VecDeque<(f64, f64)>,
    sum: f64,
    pub peak: f64,
}

impl ColdLoad {
    /// Records offered work and returns the work offered over the window as a multiple of the capacity.
    pub fn record(&mut self, now: f64, work: f64, window_s: f64, capacity: f64) -> f64 {
        self.offered.push_back((now, work));
        self.sum += work;
        while self.offered.front().is_some_and(|(at, _)| *at < now - window_s) {
            self.sum -= self.offered.pop_front().map_or(0.0, |(_, work)| work);
        }
        self.sum / (capacity * window_s).max(1e-9)
    }

    pub fn clear(&mut self) {
        *self = ColdLoad::default();
    }
}

impl Host {
    /// The share of its speed that a process has reached since its start: it grows linearly from `cold_share` to 1 over
    /// `warm_s`.
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
    pub state: ConnState,
    pub version: u64,
    /// Number of statements that began on this connection.
    pub statements_begun: u32,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub(crate) enum ConnState {
    /// The greeting has not been sent yet.
    SettingUp,
    Idle,
    Busy(u64),
}

pub(crate) struct Job {
    pub host: usize,
    /// `None` once the connection has ended.
    pub conn: Option<u64>,
    pub kind: JobKind,
}

pub(crate) enum JobKind {
    Setup,
    Statement { request: StatementRequest, need: f64, reached: f64, term: u64, wait_until: Option<f64> },
}

//! Injected faults. Each has a kind, a target and a duration, and any number can be active on one host at the same
//! time. `Effects` is their combined effect.

#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// The process is stopped: it reads, runs and sends nothing. Its connections stay open.
    Pause,
    /// The process reads and runs statements, but sends nothing until the fault ends.
    Hang,
    /// The machine runs at this fraction of its speed.
    Slow(f64),
    /// Replay runs at this fraction of its speed.
    SlowReplay(f64),
    /// The process dies: connections are reset and new ones refused. It starts cold when the fault ends.
    Crash,
    /// The machine vanishes: open connections stay silent and new ones time out. It starts cold when the fault ends.
    Lost,
    /// The host is announced as leaving; when the fault ends it has left for good.
    Drain,
    /// The host is drained while a new host under a new name starts cold in its place.
    Replace,
    /// This share of statements fails immediately.
    FastErrors(f64),
    /// New connections are refused.
    RefuseConnections,
    /// The greeting of new connections is delayed by this many seconds.
    SlowConnections(f64),
    /// This share of answers is unusable, though the statements have run.
    Spoilt(f64),
    /// Idle connections are closed after this many seconds, earlier than agreed.
    EarlyClose(f64),
    /// Other processes take this share of the machine's cores (noisy neighbour).
    Neighbour(f64),
}

impl FaultKind {
    pub fn name(&self) -> &'static str {
        match self {
            FaultKind::Pause => "pause",
            FaultKind::Hang => "hang",
            FaultKind::Slow(_) => "slow",
            FaultKind::SlowReplay(_) => "slow_replay",
            FaultKind::Crash => "crash",
            FaultKind::Lost => "lost",
            FaultKind::Drain => "drain",
            FaultKind::Replace => "replace",
            FaultKind::FastErrors(_) => "fast_errors",
            FaultKind::RefuseConnections => "refuse_connections",
            FaultKind::SlowConnections(_) => "slow_connections",
            FaultKind::Spoilt(_) => "spoilt",
            FaultKind::EarlyClose(_) => "early_close",
            FaultKind::Neighbour(_) => "neighbour",
        }
    }

    /// Whether the fault ends the process.
    pub fn kills(&self) -> bool {
        matches!(self, FaultKind::Crash | FaultKind::Lost)
    }
}

/// The hosts that a fault affects; resolved when the fault starts.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// The host listed under this name.
    Host(String),
    /// All hosts of the machine with this name.
    Node(String),
    /// The primary of the group at that time.
    Primary(String),
    /// The n-th replica of the group at that time, counted from 0.
    Replica(String, usize),
    /// All hosts of the group.
    Group(String),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub kind: FaultKind,
    pub target: Target,
    /// Duration in seconds; infinite for a fault without an end.
    pub duration_s: f64,
}

/// The combined effect of all faults that are active on one host.
#[derive(Clone, Debug, PartialEq)]
pub struct Effects {
    pub speed: f64,
    pub replay_rate: f64,
    pub paused: bool,
    pub hung: bool,
    pub crashed: bool,
    pub unreachable: bool,
    pub refuses_connections: bool,
    pub greeting_delay_s: f64,
    pub error_share: f64,
    pub unusable_share: f64,
    pub idle_timeout_s: f64,
}

impl Effects {
    pub fn none(idle_timeout_s: f64) -> Self {
        Effects {
            speed: 1.0,
            replay_rate: 1.0,
            paused: false,
            hung: false,
            crashed: false,
            unreachable: false,
            refuses_connections: false,
            greeting_delay_s: 0.0,
            error_share: 0.0,
            unusable_share: 0.0,
            idle_timeout_s,
        }
    }

    /// Combines these faults. Shares multiply, because each fault takes its part of what the others leave.
    pub fn of<'a>(kinds: impl Iterator<Item = &'a FaultKind>, idle_timeout_s: f64) -> Self {
        let mut all = Effects::none(idle_timeout_s);
        for kind in kinds {
            match *kind {
                FaultKind::Pause => all.paused = true,
                FaultKind::Hang => all.hung = true,
                FaultKind::Slow(share) => all.speed *= share,
                FaultKind::Neighbour(share) => all.speed *= 1.0 - share,
                FaultKind::SlowReplay(share) => all.replay_rate *= share,
                FaultKind::Crash => all.crashed = true,
                FaultKind::Lost => all.unreachable = true,
                FaultKind::Drain | FaultKind::Replace => {}
                FaultKind::FastErrors(share) => {
                    all.error_share = 1.0 - (1.0 - all.error_share) * (1.0 - share)
                }
                FaultKind::Spoilt(share) => {
                    all.unusable_share = 1.0 - (1.0 - all.unusable_share) * (1.0 - share)
                }
                FaultKind::RefuseConnections => all.refuses_connections = true,
                FaultKind::SlowConnections(s) => all.greeting_delay_s += s,
                FaultKind::EarlyClose(s) => all.idle_timeout_s = all.idle_timeout_s.min(s),
            }
        }
        all
    }

    /// Whether the process runs and its messages get out.
    pub fn is_reachable(&self) -> bool {
        !(self.paused || self.crashed || self.unreachable)
    }

    /// Whether the process exists, even if it is paused.
    pub fn is_alive(&self) -> bool {
        !(self.crashed || self.unreachable)
    }
}

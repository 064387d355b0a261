//! Faults as values: each has a kind, a target, a start and an end, and any number may stand on one host at one
//! time. `Effects` is what they come to together.

#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// The process stands still: nothing is read, done or said. Its connections stay.
    Pause,
    /// It takes and runs what comes, and says nothing until the end.
    Hang,
    /// Its machine does everything at this share of its pace.
    Slow(f64),
    /// Replay goes at this share of its pace.
    SlowReplay(f64),
    /// The process dies; connections are reset, new ones refused. It starts cold at the end.
    Crash,
    /// The machine vanishes without a word: nothing is heard, nothing comes up. It starts cold at the end.
    Lost,
    /// Announced as leaving; at the end it has left for good.
    Drain,
    /// Drained, while a new host under a new name comes up cold in its place.
    Replace,
    /// This share of statements gets an error at once.
    FastErrors(f64),
    /// New connections are refused.
    RefuseConnections,
    /// New connections wait so many seconds for their greeting.
    SlowConnections(f64),
    /// This share of answers is spoilt; the statements have run.
    Spoilt(f64),
    /// Idle connections are closed after so many seconds, before the agreed time.
    EarlyClose(f64),
    /// Others on the machine take this share of its cores.
    Neighbour(f64),
}

impl FaultKind {
    pub fn word(&self) -> &'static str {
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

    /// Whether it ends what runs on the process.
    pub fn kills(&self) -> bool {
        matches!(self, FaultKind::Crash | FaultKind::Lost)
    }
}

/// What a fault strikes; resolved when it starts.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// By the name under which it is listed.
    Host(String),
    /// All hosts of a machine.
    Node(String),
    /// Who is primary of the group then.
    Primary(String),
    /// The n-th replica of the group then, from 0.
    Replica(String, usize),
    /// Every host of the group.
    Group(String),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub kind: FaultKind,
    pub target: Target,
    /// Seconds that it lasts; infinite where it does not end.
    pub duration_s: f64,
}

/// What stands on one host now.
#[derive(Clone, Debug, PartialEq)]
pub struct Effects {
    pub speed: f64,
    pub replay: f64,
    pub paused: bool,
    pub hung: bool,
    pub dead: bool,
    pub silent: bool,
    pub refuses: bool,
    pub greet_s: f64,
    pub errors: f64,
    pub spoils: f64,
    pub idle_timeout_s: f64,
}

impl Effects {
    pub fn none(idle_timeout_s: f64) -> Self {
        Effects {
            speed: 1.0,
            replay: 1.0,
            paused: false,
            hung: false,
            dead: false,
            silent: false,
            refuses: false,
            greet_s: 0.0,
            errors: 0.0,
            spoils: 0.0,
            idle_timeout_s,
        }
    }

    /// What these faults come to: shares multiply, for each takes its part of what the others leave.
    pub fn of<'a>(kinds: impl Iterator<Item = &'a FaultKind>, idle_timeout_s: f64) -> Self {
        let mut all = Effects::none(idle_timeout_s);
        for kind in kinds {
            match *kind {
                FaultKind::Pause => all.paused = true,
                FaultKind::Hang => all.hung = true,
                FaultKind::Slow(share) => all.speed *= share,
                FaultKind::Neighbour(share) => all.speed *= 1.0 - share,
                FaultKind::SlowReplay(share) => all.replay *= share,
                FaultKind::Crash => all.dead = true,
                FaultKind::Lost => all.silent = true,
                FaultKind::Drain | FaultKind::Replace => {}
                FaultKind::FastErrors(share) => all.errors = 1.0 - (1.0 - all.errors) * (1.0 - share),
                FaultKind::Spoilt(share) => all.spoils = 1.0 - (1.0 - all.spoils) * (1.0 - share),
                FaultKind::RefuseConnections => all.refuses = true,
                FaultKind::SlowConnections(s) => all.greet_s += s,
                FaultKind::EarlyClose(s) => all.idle_timeout_s = all.idle_timeout_s.min(s),
            }
        }
        all
    }

    /// It runs and can be heard.
    pub fn heard(&self) -> bool {
        !(self.paused || self.dead || self.silent)
    }

    /// Its process is there, if only standing still.
    pub fn lives(&self) -> bool {
        !(self.dead || self.silent)
    }
}

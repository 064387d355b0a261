//! What an instance keeps, by how long it lives. Plain records; what is done with them stands in `policy.rs`.
use crate::terms::*;
use oorandom::Rand32;

/// Begins with the seed that is handed to the instance; the default only lets the instance have one.
pub struct Chance(pub Rand32);

impl Default for Chance {
    fn default() -> Self {
        Chance(Rand32::new(0))
    }
}

pub struct Execution {
    pub host: usize,
    pub pool: usize,
    pub sent: f64,
    pub ended: Option<f64>,
    pub may_have_run: bool,
    /// Withdrawn already, or not to be.
    pub recalled: bool,
}

#[derive(Default)]
pub struct Statement {
    pub workload: usize,
    pub group: usize,
    pub session: Option<usize>,
    /// The position that a session read must reach; 0 where any will do.
    pub need: f64,
    /// Only a host known to have come so far, or the primary, may serve it.
    pub strict: bool,
    pub slo_at: f64,
    /// Half of its time: who is refused unsent later than this has waited for nothing.
    pub half: f64,
    pub end: f64,
    pub executions: Vec<Execution>,
    pub errors: i32,
    pub answered: bool,
    pub waiting: bool,
    /// What it waited for when it was last considered and not sent.
    pub wait_reason: Option<WaitReason>,
    /// When it is looked at next.
    pub look: f64,
    pub retry: bool,
    pub later: bool,
}

impl Host {
    pub fn unknown() -> Host {
        Host { crowd: 1.0, bare: 1.0, ..Host::default() }
    }
}

#[derive(Clone, Default)]
pub struct Host {
    pub group: usize,
    pub zone: usize,
    pub listed: Readiness,
    pub seen_draining: bool,
    pub fresh_since: f64,
    /// The start that the list named last; and whether the host was on a list before.
    pub listed_since: f64,
    pub was_listed: bool,
    /// The list calls it primary.
    pub listed_primary: bool,
    /// Its place among the cold hosts.
    pub cold_place: Option<usize>,
    /// Executions of statements that are not over yet.
    pub executions: usize,
    /// It has told its role, as all members do and none that a list invents.
    pub heard: bool,
    pub credit: f64,
    /// Has been named primary, and no answer has denied it since.
    pub maybe_primary: bool,
    pub denied_at: f64,
    /// When it said last that it is primary; 0 once it said that it is not.
    pub claimed_at: f64,
    /// It stood no further than `.0` at the time `.1`; and it has surely come to `reached`.
    pub stood: (f64, f64),
    pub reached: f64,
    /// When it refused a read last, as too far behind.
    pub missed_at: f64,
    pub open: Vec<(f64, u64)>,
    /// Withdrawn or timed out, yet perhaps still queued or running there: till when each is counted.
    pub ghosts: Vec<f64>,
    pub answered_at: f64,
    pub sent: f64,
    pub meter: Meter,
    /// Time to answer against an idle fleet.
    pub crowd: f64,
    /// The least `crowd` has been: a slower machine needs more time for the same work.
    pub bare: f64,
    pub strikes: i32,
    pub rests_until: f64,
    pub mute: bool,
    /// Since when no connection came up, and how many have failed since.
    pub unreachable_since: Option<f64>,
    pub unreachable_times: u32,
}

/// Completions a second, smoothed over about a second.
#[derive(Clone, Default)]
pub struct Meter {
    pub rate: f64,
    pub since: f64,
    pub count: f64,
}

#[derive(Clone, Default)]
pub struct Group {
    pub members: Vec<usize>,
    pub primary: Option<usize>,
    pub cursor: usize,
    pub arrived_at: f64,
    pub interval: f64,
    pub change_number: f64,
    /// The highest term that a member has told; 0 where none has.
    pub term: u64,
    pub waiting: Vec<u64>,
    pub probe_at: f64,
}

impl Group {
    /// The time in which the rotation comes round.
    pub fn turn(&self) -> f64 {
        self.interval * self.members.len() as f64
    }

    /// How many of those that wait stood before this one when they were last put in order.
    pub fn ahead(&self, statement_id: u64) -> f64 {
        self.waiting.iter().position(|w| *w == statement_id).unwrap_or(0) as f64
    }

    /// The pool of a member: 0 for replicas, 1 for primaries.
    pub fn pool(&self, host: usize) -> usize {
        usize::from(self.primary == Some(host))
    }
}

/// A session's writes here. Of one whose answer was lost nobody knows where it stands in the log.
#[derive(Clone, Copy, Default)]
pub struct Session {
    /// The position that they surely do not pass; how many are out, and by when the first of them should be answered.
    pub written: f64,
    pub out: usize,
    pub answer_by: f64,
}

/// All replicas, or all primaries: to one router of hundreds a single host says next to nothing.
#[derive(Clone, Default)]
pub struct Pool {
    pub held: usize,
    /// How many may be out while completions are too few to tell; and the most it may be.
    pub window: f64,
    pub most: f64,
    pub narrowed_at: f64,
    pub sent: f64,
    pub meter: Meter,
}

/// What a workload's settings come down to.
pub struct Kind {
    pub consistency: Consistency,
    pub bound: f64,
    pub effect: Effect,
    pub scope: DedupScope,
    pub window: f64,
    pub slo: f64,
    pub timeout: f64,
    /// The time that most first tries have, and how sure that is.
    pub first_try: (f64, i32),
    /// Later tries to be looked for: three for each first try that failed here.
    pub owed: f64,
    pub importance: f64,
    pub late_share: f64,
    /// Usual seconds from send to answer, and the least they have been: what the work takes without a crowd.
    pub usual: f64,
    pub base: f64,
}

//! The records that an instance keeps. Plain data; the logic is in `policy.rs`.
use crate::terms::*;
use oorandom::Rand32;

/// Created from the seed passed to the instance; the default exists only for `Instance::default`.
pub struct Rng(pub Rand32);

impl Default for Rng {
    fn default() -> Self {
        Rng(Rand32::new(0))
    }
}

pub struct Execution {
    pub host: usize,
    pub pool: usize,
    pub sent_at: f64,
    pub ended_at: Option<f64>,
    pub may_have_run: bool,
    /// It ended before anything went to its host, for a reason of the embedding program.
    pub not_sent: bool,
    /// A cancel was already sent, or cancels are not allowed.
    pub cancel_settled: bool,
}

#[derive(Default)]
pub struct Statement {
    pub workload: usize,
    pub group: usize,
    pub session: Option<usize>,
    /// The position that a session read must reach; 0 if any position will do.
    pub required_position: f64,
    /// Only the primary, or a host whose known position is high enough, may serve it.
    pub requires_known_position: bool,
    pub slo_deadline: f64,
    /// Half of the statement's time. A statement refused unsent after this has waited in vain.
    pub halfway: f64,
    pub deadline: f64,
    pub executions: Vec<Execution>,
    pub errors: i32,
    pub answered: bool,
    pub waiting: bool,
    /// Why it was not sent when it was last checked.
    pub wait_reason: Option<WaitReason>,
    /// When it is checked next.
    pub next_check_at: f64,
    pub retry: bool,
    pub is_later_attempt: bool,
}

impl Statement {
    /// The executions that count against the maximum per statement.
    pub fn counted_executions(&self) -> usize {
        self.executions.iter().filter(|execution| !execution.not_sent).count()
    }
}

impl Host {
    pub fn unknown() -> Host {
        Host { slowdown: 1.0, min_slowdown: 1.0, ..Host::default() }
    }
}

#[derive(Clone, Default)]
pub struct Host {
    pub group: usize,
    pub zone: usize,
    pub listed_readiness: Readiness,
    pub seen_draining: bool,
    pub started_at: f64,
    /// When its last start was learnt of; sends decided before that are not paid from its credit.
    pub marked_cold_at: f64,
    /// The start time in the latest list entry, and whether the host was listed before.
    pub listed_start: f64,
    pub was_listed: bool,
    /// The list names it as primary.
    pub listed_primary: bool,
    /// Its index in the list of cold hosts.
    pub cold_index: Option<usize>,
    /// Executions of statements that are still tracked.
    pub executions: usize,
    /// It has reported its role. All members do so; a host that is listed by mistake doesn't.
    pub role_reported: bool,
    pub credit: f64,
    /// Was named as primary, and no answer has denied it since.
    pub presumed_primary: bool,
    pub denied_primary_at: f64,
    /// When it last claimed to be primary; 0 after it denied it.
    pub claimed_primary_at: f64,
    /// Upper bound on its position (`.0`) as of a time (`.1`). It has certainly reached `known_position`.
    pub position_bound: (f64, f64),
    pub known_position: f64,
    /// When it last refused a read as too far behind.
    pub refused_stale_at: f64,
    pub in_flight: Vec<(f64, u64)>,
    /// Cancelled or timed-out executions that may still be queued or running there: until when each is
    /// counted as in flight.
    pub possibly_running: Vec<f64>,
    pub answered_at: f64,
    pub sent_at: f64,
    pub meter: RateMeter,
    /// Duration of executions relative to an idle fleet.
    pub slowdown: f64,
    /// The lowest recent `slowdown`: a slower machine needs more time for the same work.
    pub min_slowdown: f64,
    pub consecutive_failures: i32,
    pub ejected_until: f64,
    pub unresponsive: bool,
    /// Since when no connection could be made, and how many attempts have failed since.
    pub unreachable_since: Option<f64>,
    pub connect_failures: u32,
}

/// Completions per second, smoothed over about a second.
#[derive(Clone, Default)]
pub struct RateMeter {
    pub rate: f64,
    pub since: f64,
    pub count: f64,
}

#[derive(Clone, Default)]
pub struct Group {
    pub members: Vec<usize>,
    pub primary: Option<usize>,
    pub cursor: usize,
    pub last_arrival_at: f64,
    pub arrival_interval: f64,
    pub last_write_position: f64,
    /// The highest term that a member has reported; 0 if none has.
    pub term: u64,
    pub waiting: Vec<u64>,
    pub next_probe_at: f64,
}

impl Group {
    /// The time that one round of the rotation takes.
    pub fn rotation_period(&self) -> f64 {
        self.arrival_interval * self.members.len() as f64
    }

    /// Number of waiting statements that were ahead of this one when the queue was last sorted.
    pub fn queue_position(&self, statement_id: u64) -> f64 {
        self.waiting.iter().position(|waiting_id| *waiting_id == statement_id).unwrap_or(0) as f64
    }

    /// Index of the pool that a member belongs to: 0 for replicas, 1 for primaries.
    pub fn pool(&self, host: usize) -> usize {
        usize::from(self.primary == Some(host))
    }
}

/// A session's writes through this instance. The log position of a write whose answer was lost is unknown.
#[derive(Clone, Copy, Default)]
pub struct Session {
    /// Upper bound on the position of its writes, how many writes are in flight, and by when the first of
    /// them is expected to be answered.
    pub written_position: f64,
    pub writes_in_flight: usize,
    pub answer_expected_by: f64,
}

/// All replicas or all primaries together: one of hundreds of routers sends too little to a single host to
/// learn from it.
#[derive(Clone, Default)]
pub struct Pool {
    pub in_flight: usize,
    /// In-flight limit used while completions are too few for a throughput estimate, and the maximum of that
    /// limit.
    pub window: f64,
    pub max_window: f64,
    pub window_cut_at: f64,
    pub sent_at: f64,
    pub meter: RateMeter,
}

/// A workload's settings and measurements.
pub struct WorkloadState {
    pub consistency: Consistency,
    pub max_age: f64,
    pub effect: Effect,
    pub dedup_scope: DedupScope,
    pub dedup_window: f64,
    pub slo: f64,
    pub timeout: f64,
    /// The timeout that most first attempts have, and a confidence counter for it.
    pub first_attempt: (f64, i32),
    /// Expected later attempts: three for each first attempt that failed here.
    pub expected_retries: f64,
    pub importance: f64,
    pub late_share: f64,
    /// Typical seconds from send to answer, and the lowest recent value, which is what the work takes without
    /// load.
    pub typical_duration: f64,
    pub min_duration: f64,
}

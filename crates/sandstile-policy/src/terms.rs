//! Plain types that pass between the decisions and whatever hosts them. Times are seconds on a
//! clock that the host starts far above zero, so that 0 stands for long ago.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Deduplicated,
    NonIdempotent,
}

/// Which database hosts drop the repeats of a deduplicated statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Group,
}

/// What a statement needs to see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    Write,
    Fresh,
    Session,
    Bounded,
    Any,
}

#[derive(Clone, Debug)]
pub struct Workload {
    pub slo: f64,
    /// The statement timeout: the client's wait over all its tries.
    pub timeout: f64,
    pub importance: f64,
    pub late_share: f64,
    pub effect: Effect,
    pub scope: DedupScope,
    pub dedup_window: f64,
    pub consistency: Consistency,
    pub max_age: f64,
}

/// The terms of a deployment, as handed to an instance at its start.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    pub workloads: Vec<Workload>,
    pub tick: f64,
    /// Instances that share the database hosts, this one among them.
    pub routers: usize,
    pub max_executions: usize,
    pub may_cancel: bool,
    pub may_probe: bool,
    /// 0 where a rejection cannot name a time.
    pub max_retry_after: f64,
    pub list_on_request: bool,
    pub subscribe_within: f64,
    /// An idle connection is closed after so long.
    pub idle_close: f64,
    pub only_draining_excludes: bool,
    pub cold_initial_share: f64,
    pub cold_duration: f64,
    /// A cold host falls over when sent this many times what it can do.
    pub cold_overload_multiple: f64,
    /// Database hosts judge a read's class themselves.
    pub hosts_check_reads: bool,
    /// Every answer carries a position.
    pub answers_carry_position: bool,
    pub router_keeps_tokens: bool,
    /// Clients flag their later tries.
    pub clients_mark_retries: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    #[default]
    Active,
    Draining,
    Gone,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ListedHost {
    pub host: usize,
    pub group: usize,
    pub zone: usize,
    pub primary: bool,
    pub since: f64,
    pub readiness: Readiness,
}

/// A statement as it arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub workload: usize,
    pub group: usize,
    pub session: Option<usize>,
    /// Seconds until the client gives up, and how many it gave the statement: less is left of one that has
    /// waited behind others on its connection.
    pub time_left: f64,
    pub wait: f64,
    /// Seconds since the session's last write, where the client carries it.
    pub token_age: Option<f64>,
    pub retry: bool,
    /// What a session's read must reach, where whoever hosts the decisions knows better than the terms have it.
    pub read_requirement: Option<ReadRequirement>,
}

/// Only a host that is known to have come so far may serve the read, whatever hosts check themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReadRequirement {
    /// On the instance's clock.
    Position(f64),
    /// Nobody can tell how far: the primary alone.
    Primary,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutcomeClass {
    Completed,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    /// No answer that can be read, by no fault of the host's: it may have run, and nothing is learnt of the host.
    UnusableAnswer,
    Cancelled,
    NotSent,
    WrongHost,
}

/// What an answer or a probe tells of its database host; the position is a time on the instance's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostReport {
    pub position: Option<f64>,
    pub primary: Option<bool>,
}

/// Why a statement gets no rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// Its time is over.
    TimeOver,
    /// It can't be answered within its SLO time any more, and a later answer is worth nothing.
    SloOver,
    /// As many executions as one statement may have.
    ExecutionsSpent,
    /// Two executions ended in errors.
    ErrorsRepeated,
    /// A repeat would come after the time in which repeats are dropped.
    RepeatWindowOver,
}

impl FailureCause {
    /// All causes, in the order of their declaration.
    pub const ALL: [FailureCause; 5] = [
        FailureCause::TimeOver,
        FailureCause::SloOver,
        FailureCause::ExecutionsSpent,
        FailureCause::ErrorsRepeated,
        FailureCause::RepeatWindowOver,
    ];
}

/// What a statement waits for that has no execution under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// Nobody knows the group's primary.
    PrimaryUnknown,
    /// The primary has stopped answering.
    PrimarySilent,
    /// The primary rests after failures.
    PrimaryResting,
    /// As much is in flight at the primary as it may have.
    PrimaryFull,
    /// The primary may not be sent this now: cold, leaving, or behind what the statement needs.
    PrimaryBarred,
    /// No replica may be sent this now, nor the primary in their place.
    ReplicasBusy,
}

impl WaitReason {
    /// All of them, in the order of their declaration.
    pub const ALL: [WaitReason; 6] = [
        WaitReason::PrimaryUnknown,
        WaitReason::PrimarySilent,
        WaitReason::PrimaryResting,
        WaitReason::PrimaryFull,
        WaitReason::PrimaryBarred,
        WaitReason::ReplicasBusy,
    ];
}

#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    Send { statement_id: u64, host: usize, timeout: f64 },
    Reject { statement_id: u64, retry_after: f64, cause: FailureCause },
    Abort { statement_id: u64, cause: FailureCause },
    Cancel { statement_id: u64, execution: usize },
    Probe { host: usize },
    Subscribe,
    Log(String),
}

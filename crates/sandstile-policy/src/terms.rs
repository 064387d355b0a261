//! Plain types of the interface between the decisions and the program that embeds them. Times are seconds on
//! a clock that starts far above zero, so that 0 means long ago.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Deduplicated,
    NonIdempotent,
}

/// Which database hosts drop repeats of a deduplicated statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Group,
}

/// The consistency that a statement requires.
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
    /// The statement timeout: how long the client waits over all its attempts.
    pub timeout: f64,
    pub importance: f64,
    /// Share of the importance that an answer after the SLO time is still worth.
    pub late_share: f64,
    pub effect: Effect,
    pub dedup_scope: DedupScope,
    pub dedup_window: f64,
    pub consistency: Consistency,
    pub max_age: f64,
}

/// The settings of a deployment, passed to an instance at its start.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    pub workloads: Vec<Workload>,
    /// Resolution of the embedding program's timer, in seconds.
    pub tick: f64,
    /// Instances that share the database hosts, including this one.
    pub routers: usize,
    pub max_executions: usize,
    pub may_cancel: bool,
    pub may_probe: bool,
    /// 0 if a rejection can't carry a retry time.
    pub max_retry_after: f64,
    /// The host list comes only on request and is not pushed.
    pub list_on_request: bool,
    /// Seconds within which the list has to be requested again.
    pub subscribe_within: f64,
    /// Seconds after which an idle connection is closed.
    pub idle_close: f64,
    /// Only hosts that were listed as draining are excluded; one that has left without that may be sent to.
    pub only_draining_excludes: bool,
    /// Share of its capacity that a host has right after its start.
    pub cold_initial_share: f64,
    /// Seconds from its start until a host is warm.
    pub cold_duration: f64,
    /// A cold host fails when it is sent this many times its capacity.
    pub cold_overload_multiple: f64,
    /// Database hosts check themselves whether they may serve a read of its consistency class.
    pub hosts_check_reads: bool,
    /// Every answer carries a position.
    pub answers_carry_position: bool,
    /// Routers remember the sessions' writes; otherwise clients pass the time since the last one.
    pub router_keeps_tokens: bool,
    /// Clients flag their later attempts.
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
    pub started_at: f64,
    pub readiness: Readiness,
}

/// A statement on arrival.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub workload: usize,
    pub group: usize,
    pub session: Option<usize>,
    /// Seconds until the client gives up, and the client's timeout for this attempt in seconds. Less is left
    /// for a statement that waited behind others on its connection.
    pub time_left: f64,
    pub timeout: f64,
    /// Seconds since the session's last write, if the client passes it.
    pub token_age: Option<f64>,
    pub retry: bool,
    /// What a session's read must reach, if the embedding program knows it better than the settings imply.
    pub read_requirement: Option<ReadRequirement>,
}

/// Only a host that is known to satisfy this may serve the read, even where hosts check reads themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReadRequirement {
    /// Position to be reached, on the instance's clock.
    Position(f64),
    /// The required position is unknown: only the primary will do.
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
    /// No readable answer, through no fault of the host: the execution may have run, and nothing is learnt
    /// about the host.
    UnusableAnswer,
    Cancelled,
    NotSent,
    WrongHost,
}

impl OutcomeClass {
    /// Whether an execution that ended like this may have had its effect.
    pub fn may_have_run(self) -> bool {
        use OutcomeClass::*;
        !matches!(self, Full | ConnectFailed | NotSent | WrongHost)
    }
}

/// What an answer or a probe reports about its database host. The position is a time on the instance's clock.
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
    /// The maximum number of executions per statement is reached.
    ExecutionsSpent,
    /// Two executions ended in errors.
    ErrorsRepeated,
    /// A repeat would arrive after the window in which hosts drop repeats.
    RepeatWindowOver,
}

impl FailureCause {
    /// All causes, in declaration order.
    pub const ALL: [FailureCause; 5] = [
        FailureCause::TimeOver,
        FailureCause::SloOver,
        FailureCause::ExecutionsSpent,
        FailureCause::ErrorsRepeated,
        FailureCause::RepeatWindowOver,
    ];
}

/// Why a statement without a running execution is waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The group's primary is unknown.
    PrimaryUnknown,
    /// The primary has stopped answering.
    PrimarySilent,
    /// The primary is ejected after failures.
    PrimaryResting,
    /// The primary's in-flight limit is reached.
    PrimaryFull,
    /// The primary may not be sent this statement now: it is cold, leaving, or behind the required position.
    PrimaryBarred,
    /// No replica may be sent this statement now, and neither may the primary in their place.
    ReplicasBusy,
}

impl WaitReason {
    /// All wait reasons, in declaration order.
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

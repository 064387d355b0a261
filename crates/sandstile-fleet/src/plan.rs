//! The configuration of a fleet. It is fixed while the model runs, except that hosts added later append machines of
//! the existing kinds.

/// Scheduling discipline of a machine's cores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discipline {
    /// First come, first served: each core runs one statement, and the fastest free core takes the next.
    Queue,
    /// Processor sharing: all statements share the cores evenly, none gets more than one core.
    Sharing,
}

#[derive(Clone, Debug)]
pub struct MachineKind {
    pub name: String,
    /// The speed of each core; a core of speed 1 does one second of work per second.
    pub cores: Vec<f64>,
    pub discipline: Discipline,
    /// Limit on statements that run or wait at the same time; more are rejected.
    pub queue: usize,
    /// The share of its speed that a process has right after its start.
    pub cold_share: f64,
    /// Seconds until a process reaches its full speed.
    pub warm_s: f64,
    /// A cold process crashes when the work offered over `cold_overload_window_s` exceeds this multiple of its
    /// capacity.
    pub cold_overload_multiple: f64,
    pub cold_overload_window_s: f64,
    /// Seconds until a process that crashed from overload is back.
    pub restart_s: f64,
    /// Whether the work of a statement stops when its connection closes.
    pub stops_on_disconnect: bool,
    /// Connection limit of one host.
    pub connections: usize,
    /// Seconds after which a host closes an idle connection.
    pub idle_timeout_s: f64,
    /// Work of setting up a connection, in seconds.
    pub setup_work: f64,
    /// The first statements of a connection take this multiple of their work, because the caches of its server process
    /// are still empty.
    pub first_statements_factor: f64,
    pub first_statements: u32,
}

impl MachineKind {
    pub fn standard(name: &str) -> Self {
        MachineKind {
            name: name.to_string(),
            cores: vec![1.0; 2],
            discipline: Discipline::Sharing,
            queue: 64,
            cold_share: 0.3,
            warm_s: 5.0,
            cold_overload_multiple: 4.0,
            cold_overload_window_s: 0.5,
            restart_s: 2.0,
            stops_on_disconnect: true,
            connections: 200,
            idle_timeout_s: 15.0,
            setup_work: 0.0005,
            first_statements_factor: 1.0,
            first_statements: 0,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Node {
    pub name: String,
    pub zone: String,
    /// Index into `Plan::kinds`.
    pub kind: usize,
}

#[derive(Clone, Debug)]
pub struct Group {
    pub name: String,
    /// Indices of nodes; the first one holds the initial primary. One node can serve several groups.
    pub nodes: Vec<usize>,
    /// Seconds until a commit reaches a replica.
    pub replication_delay_s: f64,
    /// Work of the replay thread for one commit, in seconds.
    pub apply: Work,
    /// Seconds without contact after which the primary is considered lost.
    pub detect_s: f64,
    /// Duration of an election or a hand-over in seconds.
    pub elect_s: f64,
    /// Seconds for which a replica holds a read while it has not reached the required position.
    pub hold_s: f64,
    /// Seconds for which the id of a deduplicated statement is remembered.
    pub dedup_window_s: f64,
}

/// Distribution of the work of a statement or a commit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Work {
    Fixed(f64),
    /// Holds the mean.
    Exponential(f64),
    LogNormal {
        mean: f64,
        sigma: f64,
    },
}

impl Work {
    pub fn mean(&self) -> f64 {
        match *self {
            Work::Fixed(mean) | Work::Exponential(mean) | Work::LogNormal { mean, .. } => mean,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    Write,
    Fresh,
    Session,
    Bounded,
    Any,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Deduplicated,
    NonIdempotent,
}

#[derive(Clone, Debug)]
pub struct Workload {
    pub name: String,
    pub effect: Effect,
    pub consistency: Consistency,
    /// Seconds by which a bounded read may lag behind the primary.
    pub max_age_s: f64,
    pub work: Work,
    pub value_bytes: usize,
}

/// How a replica learns the position that a session's read must reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tokens {
    /// The statement carries the session mark.
    Carried,
    /// The group remembers the last write of each session.
    Remembered,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub kinds: Vec<MachineKind>,
    pub nodes: Vec<Node>,
    pub groups: Vec<Group>,
    pub workloads: Vec<Workload>,
    pub tokens: Tokens,
    /// Whether replicas check that they satisfy the consistency of a read.
    pub hosts_check_reads: bool,
}

impl Plan {
    /// The name under which discovery lists the member of a group on a node.
    pub fn host_name(&self, group: usize, node: usize) -> String {
        format!("s-{}-{}", self.groups[group].name, self.nodes[node].name)
    }
}

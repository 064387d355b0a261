//! What a fleet is made of. Nothing here changes while the model runs; hosts that come later are made from the
//! same kinds.

/// How a machine's cores go round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discipline {
    /// First come first served; each core has one statement, the fastest free core takes the next.
    Queue,
    /// All statements share the cores evenly; none gets more than one core.
    Sharing,
}

#[derive(Clone, Debug)]
pub struct MachineKind {
    pub name: String,
    /// The speed of each core; 1 does a second of work in a second.
    pub cores: Vec<f64>,
    pub discipline: Discipline,
    /// Statements that may run and wait at one time; more are turned away.
    pub queue: usize,
    /// The share of its cores that a machine has right after its start.
    pub cold_share: f64,
    /// Seconds until it has the whole.
    pub warm_s: f64,
    /// Work offered beyond this multiple of what it can do, over `cold_overload_window_s`, knocks a cold machine over.
    pub cold_overload_multiple: f64,
    pub cold_overload_window_s: f64,
    /// Seconds that a process needs to start anew once it was knocked over.
    pub restart_s: f64,
    /// Whether a statement's work ends when the connection that brought it does.
    pub stops_on_disconnect: bool,
    /// Connections that one host holds.
    pub connections: usize,
    /// Seconds after which it closes an idle connection.
    pub idle_timeout_s: f64,
    /// Seconds of work for a connection's set-up.
    pub setup_work: f64,
    /// The first statements of a connection take so many times their work: its process has nothing at hand yet.
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
    /// Index of its kind.
    pub kind: usize,
}

#[derive(Clone, Debug)]
pub struct Group {
    pub name: String,
    /// Indices of nodes, the first primary first. One node may serve several groups.
    pub nodes: Vec<usize>,
    /// Seconds for a commit to reach a replica.
    pub replication_delay_s: f64,
    /// Seconds of the replay thread for one commit.
    pub apply: Work,
    /// Seconds of silence after which the primary counts as lost.
    pub detect_s: f64,
    /// Seconds that an election or a hand-over takes.
    pub elect_s: f64,
    /// Seconds for which a replica holds a read that it has not come far enough for.
    pub hold_s: f64,
    /// Seconds for which a deduplicated statement's id is remembered.
    pub dedup_window_s: f64,
}

/// How much work something takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Work {
    Fixed(f64),
    /// By its mean.
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
    /// Seconds that a bounded read may lie behind.
    pub max_age_s: f64,
    pub work: Work,
    pub value_bytes: usize,
}

/// How a replica learns what a session's read must reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tokens {
    /// The statement carries it.
    Carried,
    /// The group remembers each session's last write.
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
    /// Whether replicas check a read's class at all.
    pub hosts_check_reads: bool,
}

impl Plan {
    /// The name under which a node's member of a group is listed.
    pub fn host_name(&self, group: usize, node: usize) -> String {
        format!("s-{}-{}", self.groups[group].name, self.nodes[node].name)
    }
}

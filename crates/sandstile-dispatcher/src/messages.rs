//! Messages that the dispatcher receives, and the commands, answers and log events that it produces.
use crate::outcome::{Ending, Outcome};
use crate::task::{Answer, HostTask, StatementPayload};
use sandstile_deployment::host_list::HostEntry;
use sandstile_policy::terms::{FailureCause, WaitReason};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// A statement received from a client.
pub struct StatementRequest {
    pub statement_id: u64,
    /// The connection that waits for the answer, by a key of the sender's choice.
    pub client_connection: usize,
    /// The id supplied by the client.
    pub id: String,
    pub workload: usize,
    pub group: String,
    pub session: Option<String>,
    pub writes: bool,
    /// The client's deadline in Unix seconds, and the client's timeout in seconds.
    pub deadline: f64,
    pub timeout: f64,
    /// When the session last wrote, if the client says so.
    pub last_write_at: Option<f64>,
    pub retry: bool,
    /// The session's mark as sent by the client.
    pub mark: Option<String>,
    pub payload: Arc<dyn StatementPayload>,
}

pub enum DispatcherMessage {
    StatementRequest(StatementRequest),
    ClientGone(u64),
    /// The execution waits for a connection to its host: nothing of it has been sent.
    Waits {
        statement_id: u64,
        execution: usize,
    },
    Ended {
        statement_id: u64,
        execution: usize,
        outcome: Outcome,
    },
    Probed {
        host: usize,
        outcome: Outcome,
    },
}

/// What a task that has waited for a connection is checked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartStep {
    /// It goes on waiting.
    Wait,
    /// Its first byte is about to be written.
    Begin,
}

/// A change of the host list, or a snapshot of the whole list.
pub struct HostListUpdate {
    pub index: u64,
    pub is_snapshot: bool,
    pub entries: Vec<HostEntry>,
    pub addresses: Vec<(String, Option<SocketAddr>)>,
}

/// The one final answer of a statement, addressed to the client connection that sent it. It is dropped if
/// that connection has closed.
#[derive(Debug, PartialEq)]
pub struct FinalAnswer {
    pub client_connection: usize,
    pub statement_id: u64,
    pub answer: Answer,
}

/// What the caller has to carry out.
#[derive(Debug)]
pub enum Command {
    /// A database host and its address. An entry that has left may come without an address.
    UpdateHost {
        host: usize,
        name: String,
        address: Option<SocketAddr>,
    },
    /// The host has left for good and has no execution or probe in flight.
    RemoveHost(usize),
    Start(usize, HostTask),
    Probe(usize),
    Cancel {
        host: usize,
        statement_id: u64,
        execution: usize,
    },
    /// Nobody waits for this execution any more. It is cancelled if it was not written yet, and goes on
    /// otherwise.
    CancelUnsent {
        host: usize,
        statement_id: u64,
        execution: usize,
    },
    /// What is known of this host has changed: the tasks that wait for a connection to it are checked again.
    RecheckWaiting(usize),
    /// The estimated number of routers that share the hosts, which dial pacing depends on.
    RouterCount(f64),
}

/// An event to be logged.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    GroupAdded(usize, String),
    HostRemoved(usize, String),
    PolicyMessage(String),
    /// Whether the storm begins, and the sign by which it was detected.
    Storm(bool, String),
    /// The duration of a stall of this process, in seconds.
    Stalled(f64),
    RouterCount(f64),
    /// A step of one statement, if steps are logged.
    Sent {
        statement_id: u64,
        execution: usize,
        host: usize,
    },
    Ended {
        statement_id: u64,
        execution: usize,
        ending: Ending,
    },
    Refused {
        statement_id: u64,
        cause: FailureCause,
    },
    /// A statement was refused without being sent, after waiting for `waited` seconds.
    RefusedUnsent {
        statement_id: u64,
        id: String,
        group: usize,
        cause: FailureCause,
        wait_reason: Option<WaitReason>,
        waited: f64,
    },
}

impl LogEvent {
    /// Whether it is a step of one statement and not an event of the router as a whole.
    pub fn is_statement_step(&self) -> bool {
        matches!(self, LogEvent::Sent { .. } | LogEvent::Ended { .. } | LogEvent::Refused { .. })
    }
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LogEvent::GroupAdded(group, name) => write!(f, "group {group} is {name}"),
            LogEvent::HostRemoved(host, name) => write!(f, "host {host} is forgotten, {name}"),
            LogEvent::PolicyMessage(text) => write!(f, "decisions: {text}"),
            LogEvent::Storm(true, sign) => write!(f, "a storm begins: {sign}"),
            LogEvent::Storm(false, sign) => write!(f, "a storm is over: {sign}"),
            LogEvent::Stalled(seconds) => write!(f, "stood still for {seconds:.1} s; what is known is stale"),
            LogEvent::RouterCount(routers) => write!(f, "{routers:.0} routers share the hosts"),
            LogEvent::Sent { statement_id, execution, host } => {
                write!(f, "statement {statement_id}: execution {execution} to host {host}")
            }
            LogEvent::Ended { statement_id, execution, ending } => {
                write!(f, "statement {statement_id}: execution {execution} ended: {ending:?}")
            }
            LogEvent::RefusedUnsent { statement_id, id, group, cause, wait_reason, waited } => {
                let wait_reason =
                    wait_reason.map_or("nothing".to_string(), |wait_reason| format!("{wait_reason:?}"));
                write!(f, "statement {statement_id} ({id}, group {group}) refused unsent after {waited:.3} s: {cause:?}, waited for {wait_reason}")
            }
            LogEvent::Refused { statement_id, cause } => {
                write!(f, "statement {statement_id} gets no rows: {cause:?}")
            }
        }
    }
}

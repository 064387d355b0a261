//! What goes to the desk and what comes from it.
use crate::outcome::{Ending, Outcome};
use crate::task::{Answer, HostTask, StatementPayload};
use sandstile_deployment::host_list::HostEntry;
use sandstile_policy::terms::{FailureCause, WaitReason};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// A statement, as a front has taken it.
pub struct StatementRequest {
    pub statement_id: u64,
    /// Who is to have the answer, by a number of the front's own.
    pub client_connection: usize,
    /// As the client names it.
    pub id: String,
    pub workload: usize,
    pub group: String,
    pub session: Option<String>,
    pub writes: bool,
    /// When the client's time is up, and how many seconds it gave the statement.
    pub deadline: f64,
    pub wait: f64,
    /// When the session last wrote, where the client says so.
    pub last_write_at: Option<f64>,
    pub retry: bool,
    /// The mark that the session carries.
    pub mark: Option<String>,
    pub payload: Arc<dyn StatementPayload>,
}

pub enum DispatcherMessage {
    StatementRequest(StatementRequest),
    ClientGone(u64),
    Ended { statement_id: u64, execution: usize, outcome: Outcome },
    Probed { host: usize, outcome: Outcome },
}

/// One change of the list, or the whole list.
pub struct HostListUpdate {
    pub index: u64,
    pub is_snapshot: bool,
    pub entries: Vec<HostEntry>,
    pub addresses: Vec<(String, Option<SocketAddr>)>,
}

/// The one final answer of a statement, on its way to the line that asked. A client that has left no longer reads it.
#[derive(Debug, PartialEq)]
pub struct FinalAnswer {
    pub client_connection: usize,
    pub statement_id: u64,
    pub answer: Answer,
}

/// What the desk has done.
#[derive(Debug)]
pub enum Command {
    /// A database host of the list and its address there. An entry that has left may come without one.
    UpdateHost {
        host: usize,
        name: String,
        address: Option<SocketAddr>,
    },
    /// It has left for good, and nothing is under way.
    RemoveHost(usize),
    Start(usize, HostTask),
    Probe(usize),
    Cancel {
        host: usize,
        statement_id: u64,
        execution: usize,
    },
    /// Nobody waits for this execution any more: it ends if it was not written yet, and else as it may.
    CancelUnsent {
        host: usize,
        statement_id: u64,
        execution: usize,
    },
    /// So many routers share the hosts, as far as can be said: paces follow that.
    RouterCount(f64),
}

/// What is worth a line of log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    GroupAdded(usize, String),
    HostRemoved(usize, String),
    PolicyMessage(String),
    /// Whether it begins, and its sign.
    Storm(bool, String),
    /// Seconds for which this process stood still.
    Stalled(f64),
    RouterCount(f64),
    /// A step of one statement, where the desk traces them.
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
    /// A statement was refused that had been sent nowhere, after so many seconds.
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
    /// Whether it is a step of one statement, and not news of the router as a whole.
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
            LogEvent::Stalled(s) => write!(f, "stood still for {s:.1} s: what is known is of before that"),
            LogEvent::RouterCount(n) => write!(f, "{n:.0} routers share the hosts"),
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

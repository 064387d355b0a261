//! What goes to the desk and what comes from it.
use crate::outcome::{Ending, Outcome};
use crate::task::{Answer, Job, Parcel};
use sandstile_deployment::host_list::HostEntry;
use sandstile_policy::terms::{FailureCause, WaitReason};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// A statement, as a front has taken it.
pub struct Asked {
    pub statement_id: u64,
    /// Who is to have the answer, by a number of the front's own.
    pub line: usize,
    /// As the client names it.
    pub id: String,
    pub workload: usize,
    pub group: String,
    pub session: Option<String>,
    pub writes: bool,
    /// When the client's time is up, and how many seconds it gave the statement.
    pub until: f64,
    pub wait: f64,
    /// When the session last wrote, where the client says so.
    pub after: Option<f64>,
    pub retry: bool,
    /// The mark that the session carries.
    pub mark: Option<String>,
    pub parcel: Arc<dyn Parcel>,
}

pub enum Mail {
    Asked(Asked),
    ClientGone(u64),
    Ended { statement_id: u64, execution: usize, outcome: Outcome },
    Probed { host: usize, outcome: Outcome },
}

/// One change of the list, or the whole list.
pub struct Update {
    pub index: u64,
    pub whole: bool,
    pub entries: Vec<HostEntry>,
    pub addresses: Vec<(String, Option<SocketAddr>)>,
}

/// The one final answer of a statement, on its way to the line that asked. A client that has left no longer reads it.
#[derive(Debug, PartialEq)]
pub struct Given {
    pub line: usize,
    pub statement_id: u64,
    pub answer: Answer,
}

/// What the desk has done.
#[derive(Debug)]
pub enum Order {
    /// A database host of the list and its address there. An entry that has left may come without one.
    Known {
        host: usize,
        name: String,
        address: Option<SocketAddr>,
    },
    /// It has left for good, and nothing is under way.
    End(usize),
    Do(usize, Job),
    Probe(usize),
    Cancel {
        host: usize,
        statement_id: u64,
        execution: usize,
    },
    /// Nobody waits for this execution any more: it ends if it was not written yet, and else as it may.
    Unsend {
        host: usize,
        statement_id: u64,
        execution: usize,
    },
    /// So many routers share the hosts, as far as can be said: paces follow that.
    Sharers(f64),
}

/// What is worth a line of log.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    GroupIs(usize, String),
    Forgotten(usize, String),
    Decisions(String),
    /// Whether it begins, and its sign.
    Storm(bool, String),
    /// Seconds for which this process stood still.
    StoodStill(f64),
    Sharers(f64),
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

impl Said {
    /// Whether it is a step of one statement, and not news of the router as a whole.
    pub fn is_step(&self) -> bool {
        matches!(self, Said::Sent { .. } | Said::Ended { .. } | Said::Refused { .. })
    }
}

impl fmt::Display for Said {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Said::GroupIs(group, name) => write!(f, "group {group} is {name}"),
            Said::Forgotten(host, name) => write!(f, "host {host} is forgotten, {name}"),
            Said::Decisions(line) => write!(f, "decisions: {line}"),
            Said::Storm(true, sign) => write!(f, "a storm begins: {sign}"),
            Said::Storm(false, sign) => write!(f, "a storm is over: {sign}"),
            Said::StoodStill(s) => write!(f, "stood still for {s:.1} s: what is known is of before that"),
            Said::Sharers(n) => write!(f, "{n:.0} routers share the hosts"),
            Said::Sent { statement_id, execution, host } => {
                write!(f, "statement {statement_id}: execution {execution} to host {host}")
            }
            Said::Ended { statement_id, execution, ending } => {
                write!(f, "statement {statement_id}: execution {execution} ended: {ending:?}")
            }
            Said::RefusedUnsent { statement_id, id, group, cause, wait_reason, waited } => {
                let wait_reason =
                    wait_reason.map_or("nothing".to_string(), |wait_reason| format!("{wait_reason:?}"));
                write!(f, "statement {statement_id} ({id}, group {group}) refused unsent after {waited:.3} s: {cause:?}, waited for {wait_reason}")
            }
            Said::Refused { statement_id, cause } => {
                write!(f, "statement {statement_id} gets no rows: {cause:?}")
            }
        }
    }
}

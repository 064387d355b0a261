//! Tasks for database hosts and answers for clients.
use std::fmt;
use std::sync::Arc;

/// Encodes a statement for a database host; `timeout` is the number of seconds for which this router waits for
/// the answer.
pub trait StatementPayload: Send + Sync {
    fn message(&self, timeout: f64) -> Vec<u8>;
}

/// The one final answer of a statement.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// The rows, and the new session mark if marks are issued.
    Completed(Vec<u8>, Option<String>),
    /// A retry is harmless, best after this many seconds if above 0.
    Rejected(f64),
    Aborted,
    /// The statement's id is already that of a statement which is open or may have run. One of the two clients
    /// misuses it: hosts that remove duplicates would take both for one, and others would run it twice.
    Unusable,
}

impl Answer {
    /// The kind of answer, for the log.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Completed(..) => "completed",
            Answer::Rejected(_) => "rejected",
            Answer::Aborted => "aborted",
            Answer::Unusable => "unusable",
        }
    }
}

#[derive(Clone)]
pub enum TaskKind {
    Statement { statement_id: u64, execution: usize, payload: Arc<dyn StatementPayload> },
    Probe,
}

/// One execution or probe; `deadline` is in Unix seconds.
#[derive(Clone)]
pub struct HostTask {
    pub kind: TaskKind,
    pub deadline: f64,
}

impl HostTask {
    pub fn is_execution(&self, execution_id: (u64, usize)) -> bool {
        self.execution_id() == Some(execution_id)
    }

    /// Statement id and execution number; `None` for a probe.
    pub fn execution_id(&self) -> Option<(u64, usize)> {
        match self.kind {
            TaskKind::Statement { statement_id, execution, .. } => Some((statement_id, execution)),
            TaskKind::Probe => None,
        }
    }
}

impl fmt::Debug for HostTask {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "HostTask({:?} until {})", self.execution_id(), self.deadline)
    }
}

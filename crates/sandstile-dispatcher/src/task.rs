//! What goes to a database host and what comes back to a client, as the desk hands it over.
use std::fmt;
use std::sync::Arc;

/// What goes to a database host; `wait` is how many seconds this router will wait for the answer.
pub trait StatementPayload: Send + Sync {
    fn message(&self, wait: f64) -> Vec<u8>;
}

/// The one final answer of a statement.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// With the mark that the session is to carry, where marks are handed out.
    Completed(Vec<u8>, Option<String>),
    /// Trying again is harmless, best after so many seconds where above 0.
    Rejected(f64),
    Aborted,
    /// Its id is that of a statement that is open: one of the two is no honest one, and hosts would take them
    /// for one.
    Unusable,
}

impl Answer {
    /// Its kind, for a log.
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

/// One execution or probe; it is over at `deadline`, in Unix seconds.
#[derive(Clone)]
pub struct HostTask {
    pub kind: TaskKind,
    pub deadline: f64,
}

impl HostTask {
    pub fn is_execution(&self, execution_id: (u64, usize)) -> bool {
        self.execution_id() == Some(execution_id)
    }

    /// Statement and execution; `None` for a probe.
    pub fn execution_id(&self) -> Option<(u64, usize)> {
        match self.kind {
            TaskKind::Statement { statement_id, execution, .. } => Some((statement_id, execution)),
            TaskKind::Probe => None,
        }
    }
}

impl fmt::Debug for HostTask {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "Job({:?} until {})", self.execution_id(), self.deadline)
    }
}

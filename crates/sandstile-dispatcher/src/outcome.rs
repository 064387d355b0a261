//! All outcomes of a connection to a database host or of an execution on it, and their meaning for the
//! policy.
use sandstile_policy::terms::{HostReport, OutcomeClass};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// The complete answer was received.
    Completed,
    /// SQLSTATE 25006 or 72000: the host refused the statement without running it.
    Missed,
    /// SQLSTATE 53300: the host was full and did not look at the statement.
    TurnedAway,
    /// Any other error.
    Failed,
    /// The host has no address, or one that cannot be dialled.
    NoAddress,
    /// No socket or no route was available on this machine within the dial limit; the host is not to blame.
    NoRoom,
    DialRefused,
    /// The network reported that the host is unreachable.
    DialUnreachable,
    /// The dial was neither refused nor completed within the dial limit.
    DialTimedOut,
    /// The connection broke or violated the protocol before it was ready for a first statement.
    DialBroken,
    /// SQLSTATE 53300 or similar during connection setup.
    DialTurnedAway,
    /// The deadline passed or the statement was cancelled before anything was written.
    WithdrawnUnsent,
    /// It waited for a connection, and by the time there was one it was no longer to go to this host: the host
    /// drains, restarted or lost its role, its data is too old, or nobody waits for the answer.
    Outdated,
    /// The connection broke before the last byte was written.
    BrokenUnwritten,
    /// Fully written on a new connection, which then broke or closed without a byte of an answer.
    Broken,
    /// As `Broken`, on a connection that had answered before. Hosts and middleboxes close idle connections,
    /// and the statement may have crossed such a close. Whether the host is gone is found out by the next
    /// dial.
    Crossed,
    /// Fully written; the connection broke or closed in the middle of an answer, so the host is alive.
    CutShort,
    /// Fully written; the answer violated the protocol, or began and did not continue.
    Garbled,
    /// SQLSTATE 08P01: the database host could not parse the statement, which is the client's fault.
    Unreadable,
    /// Fully written; no answer until the timeout.
    TimedOut,
    /// Fully written, then cancelled by closing the socket.
    Withdrawn,
    /// An idle connection turned out to be closed; it had no statement in flight.
    IdleEnded,
    /// An idle connection closed here, well before the database host would close it.
    IdleExpired,
    /// An idle connection closed here to free a file descriptor.
    IdleEvicted,
    /// Closed here because the address of its host has changed.
    Moved,
}

pub const ALL: [Ending; 25] = {
    use Ending::*;
    [
        Completed,
        Missed,
        TurnedAway,
        Failed,
        NoAddress,
        NoRoom,
        DialRefused,
        DialUnreachable,
        DialTimedOut,
        DialBroken,
        DialTurnedAway,
        WithdrawnUnsent,
        Outdated,
        BrokenUnwritten,
        Broken,
        Crossed,
        CutShort,
        Garbled,
        Unreadable,
        TimedOut,
        Withdrawn,
        IdleEnded,
        IdleExpired,
        IdleEvicted,
        Moved,
    ]
};

impl Ending {
    /// The outcome as reported to the policy. A statement that was not fully written never ran; one that was
    /// fully written and not answered may have run. Idle connections have no execution, so their endings are
    /// not reported; if one were, nothing would have been written.
    pub fn outcome_class(self) -> OutcomeClass {
        use Ending::*;
        match self {
            Completed => OutcomeClass::Completed,
            Missed => OutcomeClass::WrongHost,
            TurnedAway | DialTurnedAway => OutcomeClass::Full,
            Failed => OutcomeClass::Error,
            NoAddress | DialRefused | DialUnreachable | DialTimedOut | DialBroken | BrokenUnwritten => {
                OutcomeClass::ConnectFailed
            }
            NoRoom | WithdrawnUnsent | Outdated | IdleEnded | IdleExpired | IdleEvicted | Moved => {
                OutcomeClass::NotSent
            }
            Broken => OutcomeClass::Reset,
            Crossed | CutShort | Garbled | Unreadable => OutcomeClass::UnusableAnswer,
            TimedOut => OutcomeClass::TimedOut,
            Withdrawn => OutcomeClass::Cancelled,
        }
    }

    /// Whether the outcome occurs in normal operation and is not logged.
    pub fn is_ordinary(self) -> bool {
        use Ending::*;
        matches!(
            self,
            Completed | Missed | WithdrawnUnsent | Withdrawn | IdleEnded | IdleExpired | IdleEvicted | Moved
        )
    }
}

/// The outcome of one execution or probe, with what the host reported about itself.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub ending: Ending,
    pub host_report: HostReport,
    /// The term of the primary that the host follows, if hosts report it.
    pub term: Option<u64>,
    /// The database host's answer for the client, if it completed.
    pub rows: Vec<u8>,
}

impl From<Ending> for Outcome {
    fn from(ending: Ending) -> Self {
        Outcome { ending, host_report: HostReport::default(), term: None, rows: Vec::new() }
    }
}

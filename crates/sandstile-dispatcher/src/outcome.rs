//! Every way in which a connection to a database host, or an execution on it, can end, and what each means.
use sandstile_policy::terms::{HostReport, OutcomeClass};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// The row came whole.
    Completed,
    /// 25006 or 72000: turned away untouched.
    Missed,
    /// 53300: turned away unseen.
    TurnedAway,
    /// Any other error.
    Failed,
    /// No address, or one that nothing can be dialled at.
    NoAddress,
    /// No socket was to be had here, or no way out of this machine, in the time of a dial: the host is not to blame.
    NoRoom,
    DialRefused,
    /// The network says that there is no way to the host.
    DialUnreachable,
    /// Neither refused nor up within the dial limit.
    DialTimedOut,
    /// Broke, or spoke nonsense, before it was ready for a first statement.
    DialBroken,
    /// 53300 or the like in place of a welcome.
    DialTurnedAway,
    /// The statement's time was over, or it was withdrawn, before anything was written.
    WithdrawnUnsent,
    /// Broke before the last byte was written.
    BrokenUnwritten,
    /// Written whole on a new connection, then broken or ended without a byte of an answer.
    Broken,
    /// The same where the connection had answered before: hosts and what lies between close those that rest, and
    /// the statement crossed it. A host that has gone is told by the next dial.
    Crossed,
    /// Written whole, then broken or ended in the midst of the answer of a host that is alive.
    CutShort,
    /// Written whole, then answered out of protocol, or with an answer that began and did not go on.
    Garbled,
    /// 08P01: the database host could not read the statement, which is the client's doing.
    Unreadable,
    /// Written whole, then silent until the time-out.
    TimedOut,
    /// Written whole, then withdrawn by closing the socket.
    Withdrawn,
    /// An idle connection had ended when it was looked at; nothing was under way on it.
    IdleEnded,
    /// Closed here, well before the database host would.
    IdleExpired,
    /// Closed here to make room for another descriptor.
    IdleEvicted,
    /// Closed here, for its host has another address now.
    Moved,
}

pub const ALL: [Ending; 24] = {
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
    /// What the decisions are told. Not written whole means never ran; written whole and then anything but an
    /// answer means it may have run. Endings of idle connections end no execution, so nobody is told of them;
    /// were one to end an execution, nothing would have been written.
    pub fn verdict(self) -> OutcomeClass {
        use Ending::*;
        match self {
            Completed => OutcomeClass::Completed,
            Missed => OutcomeClass::WrongHost,
            TurnedAway | DialTurnedAway => OutcomeClass::Full,
            Failed => OutcomeClass::Error,
            NoAddress | DialRefused | DialUnreachable | DialTimedOut | DialBroken | BrokenUnwritten => {
                OutcomeClass::ConnectFailed
            }
            NoRoom | WithdrawnUnsent | IdleEnded | IdleExpired | IdleEvicted | Moved => OutcomeClass::NotSent,
            Broken => OutcomeClass::Reset,
            Crossed | CutShort | Garbled | Unreadable => OutcomeClass::UnusableAnswer,
            TimedOut => OutcomeClass::TimedOut,
            Withdrawn => OutcomeClass::Cancelled,
        }
    }

    /// Part of a good day, and no cause for a line of log.
    pub fn ordinary(self) -> bool {
        use Ending::*;
        matches!(
            self,
            Completed | Missed | WithdrawnUnsent | Withdrawn | IdleEnded | IdleExpired | IdleEvicted | Moved
        )
    }
}

/// How one execution or probe ended, with what the answer told.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub ending: Ending,
    pub note: HostReport,
    /// The term of its primary that the host follows, where hosts tell it.
    pub term: Option<u64>,
    /// The database host's bytes for the client, where it completed.
    pub rows: Vec<u8>,
}

impl From<Ending> for Outcome {
    fn from(ending: Ending) -> Self {
        Outcome { ending, note: HostReport::default(), term: None, rows: Vec::new() }
    }
}

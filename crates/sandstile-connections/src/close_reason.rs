//! Why a client connection was closed, for logs and counters.

/// Every way in which a client connection can end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The client closed it between statements.
    ClientClosed,
    /// The client closed it while a statement was open.
    ClientClosedAsking,
    /// The client closed it with a command sent only in part.
    ClientClosedMidCommand,
    /// A read or a write failed: the connection broke.
    ClientBroken,
    /// The client sent Terminate or a cancel request.
    ClientTerminated,
    /// The client sent no complete command within the idle timeout.
    ClientRested,
    /// The client violated the protocol and was sent an error.
    ClientBadInput,
    /// The client did not read its answer in time.
    ClientForsaken,
    /// Closed between statements to make room for another connection.
    ClientEvicted,
    /// Closed between statements because the router is shutting down.
    ClientDismissed,
    /// It could not be set up after it was accepted.
    ClientSetupFailed,
    /// Still open when the time for the shutdown was over.
    ClientCutOff,
}

/// All reasons in the order of their declaration; counters are indexed by it.
pub const ALL: [CloseReason; 12] = {
    use CloseReason::*;
    [
        ClientClosed,
        ClientClosedAsking,
        ClientClosedMidCommand,
        ClientBroken,
        ClientTerminated,
        ClientRested,
        ClientBadInput,
        ClientForsaken,
        ClientEvicted,
        ClientDismissed,
        ClientSetupFailed,
        ClientCutOff,
    ]
};

impl CloseReason {
    /// Whether this is part of normal operation and needs no line in the log.
    pub fn is_ordinary(self) -> bool {
        use CloseReason::*;
        matches!(self, ClientClosed | ClientTerminated | ClientRested | ClientEvicted | ClientDismissed)
    }
}

//! Why a client's connection ended, for logs and counters.

/// Every way in which a client's connection can end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The client closed it between statements.
    ClientClosed,
    /// The client closed it while a statement of its was out.
    ClientClosedAsking,
    /// The client closed it with a command sent in part.
    ClientClosedMidCommand,
    /// A read or a write failed: the connection broke.
    ClientBroken,
    /// The client sent Terminate or a cancel request.
    ClientTerminated,
    /// It brought no whole command in the time that resting connections have.
    ClientRested,
    /// It broke the protocol, and was told so.
    ClientBadInput,
    /// It did not take in its answer in time.
    ClientForsaken,
    /// Closed between statements to make room for another connection.
    ClientEvicted,
    /// Closed between statements as the router ends.
    ClientDismissed,
    /// It could not be set up after it was accepted.
    ClientSetupFailed,
}

/// All of them, in the order of their declaration.
pub const ALL: [CloseReason; 11] = {
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
    ]
};

impl CloseReason {
    /// Part of a good day, and no cause for a line of log.
    pub fn ordinary(self) -> bool {
        use CloseReason::*;
        matches!(self, ClientClosed | ClientTerminated | ClientRested | ClientEvicted | ClientDismissed)
    }
}

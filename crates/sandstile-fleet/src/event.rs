//! Inputs and outputs of the model, and the events that it reports to observers.
use serde::Serialize;

/// A statement as the host receives it.
#[derive(Clone, Debug, PartialEq)]
pub struct StatementRequest {
    pub id: String,
    pub workload: usize,
    /// Timeout of the sender in seconds.
    pub timeout_s: f64,
    /// The session mark that the statement carries: the read must have reached this position (in seconds).
    pub required_position: Option<f64>,
    pub session: Option<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A TCP connection was established; the host has to send its greeting.
    Connect {
        host: usize,
    },
    Statement(StatementRequest),
    /// A probe requests the load report.
    Report,
    /// The peer closed the connection.
    Closed,
}

/// An answer of a host, with its role, its position and the term that it follows.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The result row of the statement with this id.
    Row {
        id: String,
        bytes: usize,
        primary: bool,
        position: f64,
        term: u64,
    },
    Error {
        code: &'static str,
        primary: bool,
        position: f64,
        term: u64,
    },
    Report {
        primary: bool,
        position: f64,
        term: u64,
        jobs: usize,
        share: f64,
    },
    /// The statement ran, but the answer is malformed or incomplete; `form` selects how.
    Unusable {
        form: usize,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Greet {
        conn: u64,
    },
    /// The host answers with an error instead of a greeting and closes the connection.
    RejectConnection {
        conn: u64,
        code: &'static str,
    },
    Answer {
        conn: u64,
        answer: Answer,
    },
    /// The host closes an idle connection.
    Close {
        conn: u64,
    },
    /// The process has stopped: its connections are reset and new ones are refused.
    Down {
        host: usize,
    },
    /// The machine has vanished: open connections stay silent and new ones time out.
    Unreachable {
        host: usize,
    },
    /// New connections are refused; open ones stay.
    RefuseConnections {
        host: usize,
    },
    /// The process listens again; connections from before the outage are reset.
    Up {
        host: usize,
    },
    /// New connections are accepted again; open ones stay.
    AcceptConnections {
        host: usize,
    },
    /// A new host was added; the driver assigns its address.
    HostAdded {
        host: usize,
    },
    /// The entry of a host in discovery changed.
    ListingChanged {
        host: usize,
        readiness: Readiness,
        since: f64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Readiness {
    Active,
    Leaving,
    Left,
}

/// An event for the trace. Positions and times are in seconds. Variants and fields are written to the trace under
/// their own names.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Event {
    /// A connection was opened and its set-up work begins.
    Dialled {
        host: String,
    },
    /// The set-up of a connection is complete.
    Greeted {
        host: String,
    },
    TurnedAway {
        host: String,
    },
    /// A probe requested the load report.
    Probed {
        host: String,
    },
    /// The last byte of a statement was read, whether or not the statement will run.
    Taken {
        host: String,
        id: String,
        workload: String,
    },
    /// A statement ran: a write took effect at `commit`, a read saw the position `reached`. `need` is the position that
    /// a read had to reach.
    Ran {
        host: String,
        id: String,
        workload: String,
        session: Option<String>,
        commit: Option<f64>,
        reached: f64,
        need: f64,
    },
    /// A deduplicated statement was repeated and had no second effect.
    Repeated {
        host: String,
        id: String,
    },
    Said {
        host: String,
        id: String,
        how: String,
    },
    /// The connection of a statement closed before its answer; `stopped` if that ended the statement's work.
    Left {
        host: String,
        id: String,
        stopped: bool,
    },
    FaultBegins {
        fault: String,
        host: String,
    },
    FaultEnds {
        fault: String,
        host: String,
    },
    Primary {
        group: String,
        host: String,
        term: u64,
    },
    Vacant {
        group: String,
    },
    /// A commit that no running host has any more.
    LostCommit {
        group: String,
        id: String,
        commit: f64,
    },
    Started {
        host: String,
    },
    /// The work offered to a cold machine over its window reached a new peak, as a multiple of its capacity; at the
    /// multiple `most` it crashes.
    Pushed {
        host: String,
        multiple: f64,
        most: f64,
    },
    /// A cold machine crashed from overload.
    Tipped {
        host: String,
        multiple: f64,
        most: f64,
    },
    Listed {
        host: String,
        readiness: Readiness,
    },
}

//! What goes into the model, what comes out of it, and what an observer sees.
use serde::Serialize;

/// A statement as its host reads it.
#[derive(Clone, Debug, PartialEq)]
pub struct StatementRequest {
    pub id: String,
    pub workload: usize,
    /// Seconds that the asking side waits.
    pub wait: f64,
    /// The position that the session carries, in seconds.
    pub after: Option<f64>,
    pub session: Option<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A connection came up on the platform and wants a greeting.
    Connect {
        host: usize,
    },
    Statement(StatementRequest),
    /// The load report that a probe asks for.
    Report,
    /// The other side has closed.
    Closed,
}

/// How a host answers: with its role, its position, and the term that it follows.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The value for this id, with the host's role and position.
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
    /// It ran; what comes back can't be read.
    Spoilt {
        how: usize,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Greet {
        conn: u64,
    },
    /// An error in place of a greeting, then the end.
    TurnAway {
        conn: u64,
        code: &'static str,
    },
    Answer {
        conn: u64,
        answer: Answer,
    },
    /// The host ends an idle connection.
    Close {
        conn: u64,
    },
    /// The process has gone: its connections are reset, new ones refused.
    Down {
        host: usize,
    },
    /// The machine has gone without a word.
    Silent {
        host: usize,
    },
    /// New connections are refused, those that are open stay.
    Refuse {
        host: usize,
    },
    /// It listens; what was open from before it went is reset.
    Up {
        host: usize,
    },
    /// It takes connections again; those that are open stay.
    Admit {
        host: usize,
    },
    /// A host that was not there before; the driver gives it an address.
    Born {
        host: usize,
    },
    /// What discovery is to say of a host.
    List {
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

/// What happened, for the trace. Positions and times are seconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Event {
    /// A connection came up and wants its set-up's work.
    Dialled {
        host: String,
    },
    /// Its set-up is done.
    Greeted {
        host: String,
    },
    TurnedAway {
        host: String,
    },
    /// A probe asked for the load report.
    Probed {
        host: String,
    },
    /// A statement's last byte was read, whether or not it will run.
    Taken {
        host: String,
        id: String,
        workload: String,
    },
    /// It ran: an effect for a write, a read at this position for all else. `need` is what the read had to reach.
    Ran {
        host: String,
        id: String,
        workload: String,
        session: Option<String>,
        commit: Option<f64>,
        reached: f64,
        need: f64,
    },
    /// A deduplicated statement came again and had no second effect.
    Repeated {
        host: String,
        id: String,
    },
    Said {
        host: String,
        id: String,
        how: String,
    },
    /// Its connection ended before it was answered; `stopped` where its work ended with that.
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
    /// A commit that no living host has any more.
    LostCommit {
        group: String,
        id: String,
        commit: f64,
    },
    Started {
        host: String,
    },
    /// Work offered to a cold machine over its window, as a multiple of what it could do, at a new peak.
    Pushed {
        host: String,
        multiple: f64,
        most: f64,
    },
    /// A cold machine fell over.
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

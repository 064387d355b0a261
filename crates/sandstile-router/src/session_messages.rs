//! Messages to the dispatcher's sessions, and from them to other instances.
use crate::mailbox::MailboxSender;
use sandstile_exchange::Frame;
use sandstile_replicated_state::Snapshot;
use sandstile_sessions::mark::SessionMarks;
use sandstile_sessions::store::{ExactMarks, SessionKey};
use sandstile_sessions::token::KeyRing;

/// The replicated state for an operator: a summary, and a snapshot that shares its facts and is evaluated on
/// the thread that asked.
pub struct StateReport {
    pub at: f64,
    pub summary: serde_json::Value,
    pub facts: Snapshot,
}

/// Message to the sessions from outside the dispatcher.
pub enum SessionMessage {
    Keys(KeyRing),
    /// A connection to the instance of this name is open; it is to receive all marks.
    PeerConnected(String, MailboxSender<PeerMessage>),
    /// A message from the instance of this name.
    FromPeer(String, Frame),
    /// The connection to the instance of this name has ended.
    PeerDisconnected(String),
    /// A message of replicated state with this many bytes was written to the instance of this name.
    StateBytesWritten(String, usize),
    /// Triggers the periodic work of the replicated state, about twenty times a second.
    Tick,
    /// An operator asks for a report.
    Report(MailboxSender<StateReport>),
    /// The instance shuts down. All marks are on the disk and sent to the peers once every clone of the
    /// sender has been dropped.
    End(MailboxSender<()>),
}

/// Message to another instance.
pub enum PeerMessage {
    /// All marks; `covers_receiver` says whether they include all that the peer knew when it last shut down.
    Snapshot {
        exact: ExactMarks,
        covers_receiver: bool,
    },
    SessionMarks(SessionKey, SessionMarks),
    /// Replaces the snapshot for a peer that replicates state.
    SnapshotComplete {
        covers_receiver: bool,
    },
    State(Vec<u8>),
    End(MailboxSender<()>),
}

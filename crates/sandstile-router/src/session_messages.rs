//! What the desk's sessions hear from outside, and what goes from them to other instances.
use crate::mailbox::MailboxSender;
use sandstile_exchange::Frame;
use sandstile_replicated_state::Snapshot;
use sandstile_sessions::mark::SessionMarks;
use sandstile_sessions::store::{ExactMarks, SessionKey};
use sandstile_sessions::token::KeyRing;

/// What an operator is told of the kept state: how it stands, and a copy that shares its facts, to be looked through elsewhere.
pub struct Shown {
    pub at: f64,
    pub about: serde_json::Value,
    pub held: Snapshot,
}

/// Word from outside the desk.
pub enum SessionMessage {
    Keys(KeyRing),
    /// Another instance, of this name, wants to be told what is known here.
    Tell(String, MailboxSender<Telling>),
    /// What another instance, of this name, has told.
    Frame(String, Frame),
    /// The instance of this name is not told any more.
    Untold(String),
    /// So many bytes on kept state were written to it.
    Written(String, usize),
    /// The kept state is to be looked at: some twenty times a second.
    Tick,
    /// An operator asks.
    Show(MailboxSender<Shown>),
    /// The instance ends: all that is known is to be on the disk, and told, when nobody holds this any more.
    End(MailboxSender<()>),
}

/// What goes to another instance.
pub enum Telling {
    /// All that is known, and whether that is all that the other knew when it ended last.
    Snapshot {
        exact: ExactMarks,
        covers_receiver: bool,
    },
    SessionMarks(SessionKey, SessionMarks),
    /// In place of a snapshot, for one that keeps state with us.
    SnapshotComplete {
        covers_receiver: bool,
    },
    State(Vec<u8>),
    End(MailboxSender<()>),
}

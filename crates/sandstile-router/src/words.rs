//! What the desk's sessions hear from outside, and what goes from them to other instances.
use crate::mailbox::Post;
use sandstile_exchange::Heard;
use sandstile_sessions::mark::Seen;
use sandstile_sessions::store::{Exact, Key};
use sandstile_sessions::token::KeyRing;

/// What an operator may ask of the kept state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Show {
    /// How it stands, with the sum of what is older than this (Unix seconds).
    Summary(f64),
    /// All facts, as the file has them.
    Facts,
}

/// Word from outside the desk.
pub enum Word {
    Keys(KeyRing),
    /// Another instance, of this name, wants to be told what is known here.
    Tell(String, Post<Telling>),
    /// What another instance, of this name, has told.
    Heard(String, Heard),
    /// The instance of this name is not told any more.
    Untold(String),
    /// So many bytes on kept state were written to it.
    Written(String, usize),
    /// The kept state is to be looked at: some twenty times a second.
    Tick,
    /// An operator asks.
    Show(Show, Post<Vec<u8>>),
    /// The instance ends: all that is known is to be on the disk, and told, when nobody holds this any more.
    End(Post<()>),
}

/// What goes to another instance.
pub enum Telling {
    /// All that is known, and whether that is all that the other knew when it ended last.
    Snapshot {
        exact: Exact,
        of_yours: bool,
    },
    Seen(Key, Seen),
    /// In place of a snapshot, for one that keeps state with us.
    Whole {
        of_yours: bool,
    },
    State(Vec<u8>),
    End(Post<()>),
}

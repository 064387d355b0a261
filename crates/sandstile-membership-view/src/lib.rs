//! What a router may do on a peer's word, and when. Gossip gives no owner, no order and no mutual exclusion, and nothing here is built
//! on any; the line that holds in every state is: a peer's word may make a router more careful at once, and less careful only
//! where its own eyes agree. `may_act` is the one place where that is asked.
pub mod share;
pub mod view;

pub use share::SharingRouters;
pub use view::{Observation, View, ViewTracker};

/// What a peer's word is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// A session wrote up to there.
    Mark,
    /// A group's primary is lost, or is another.
    Primary,
    /// A host refuses, or serves.
    Refusal,
    /// A host drains, or has come back.
    Drain,
    /// A host is cold, or warm.
    Cold,
    /// How many routers share a host.
    SharingRouters,
}

pub const TOPICS: [Topic; 6] =
    [Topic::Mark, Topic::Primary, Topic::Refusal, Topic::Drain, Topic::Cold, Topic::SharingRouters];

/// Which way acting on it would move this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Fewer hosts, further positions, smaller shares, a probe where a send was due.
    MoreCareful,
    /// More hosts, a larger share, a send where a probe was due.
    LessCareful,
}

/// Whether a word may be acted on. `own` says that this router has seen the same itself, and since when its view stands only
/// matters for what it may do less carefully.
///
/// Why no rule of the five can break, whichever side is wrong: more care sends to fewer hosts, or to the primary, or not at all; each
/// of these the decisions do on their own knowledge too, and all of them keep the rules. Less care is what this router would
/// have done by its own eyes without any peer, in every state.
pub fn may_act(view: View, topic: Topic, direction: Direction, own: bool) -> bool {
    match (direction, topic) {
        (Direction::MoreCareful, _) => true,
        // Nobody can see that a session has written nothing anywhere.
        (Direction::LessCareful, Topic::Mark) => false,
        // Who is alone, or cut off, may be the many's dead one: its share stays what it was.
        (Direction::LessCareful, Topic::SharingRouters) => own && view == View::Agreed,
        (Direction::LessCareful, _) => own,
    }
}

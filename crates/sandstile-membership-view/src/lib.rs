//! Decides when a router may act on information from its peers. Gossip provides no ownership, ordering or mutual exclusion, and
//! nothing here relies on any of them. The rule that holds in every state: information from a peer may make a router more careful
//! at once, and less careful only where the router has observed the same itself. `may_act` is the only place that applies it.
pub mod sharing_routers;
pub mod view;

pub use sharing_routers::SharingRouters;
pub use view::{Observation, View, ViewTracker};

/// What the information from a peer is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// The write position of a session.
    Mark,
    /// A group has lost its primary, or has another one.
    Primary,
    /// A host refuses or serves statements.
    Refusal,
    /// A host drains or has come back.
    Drain,
    /// A host is cold or warm.
    Cold,
    /// The number of routers that share the hosts.
    SharingRouters,
}

pub const TOPICS: [Topic; 6] =
    [Topic::Mark, Topic::Primary, Topic::Refusal, Topic::Drain, Topic::Cold, Topic::SharingRouters];

/// How acting on the information would change this router's behaviour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Fewer hosts, later write positions, a smaller share, a probe instead of a statement.
    MoreCareful,
    /// More hosts, a larger share, a statement instead of a probe.
    LessCareful,
}

/// Whether the router may act on information from a peer. `own` says that the router has observed the same itself. The view
/// matters only for becoming less careful.
///
/// Neither direction can break one of the five rules that a router has to keep, whichever router is wrong. A more careful router
/// sends to fewer hosts, only to the primary, or not at all; it also does each of these on its own observations, and all of them
/// keep the rules. A less careful router does only what it would have done on its own observations without any peer.
pub fn may_act(view: View, topic: Topic, direction: Direction, own: bool) -> bool {
    match (direction, topic) {
        (Direction::MoreCareful, _) => true,
        // No router can observe that a session has written nothing anywhere.
        (Direction::LessCareful, Topic::Mark) => false,
        // A router that is alone or cut off may itself be the one that the majority considers dead, so it keeps its share.
        (Direction::LessCareful, Topic::SharingRouters) => own && view == View::Agreed,
        (Direction::LessCareful, _) => own,
    }
}

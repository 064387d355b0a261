//! State that all routers replicate: mergeable facts that can arrive in any order, a comparison that finds the
//! differences between two copies without sending everything, deltas that a slow peer cannot lose, and rules for what
//! a restarted router may trust. Pure logic: no sockets, no disk, no clock. Times are seconds on the caller's clock,
//! and nothing is ordered by another machine's clock.
pub mod catchup;
pub mod compare;
pub mod deltas;
pub mod fact;
pub mod state;
pub mod stored;
pub mod sync_protocol;
pub mod tree;
pub mod wire;

pub use catchup::{CatchUp, SyncState};
pub use deltas::Deltas;
pub use fact::{Fact, Key, Kind, Value};
pub use state::{LearnOutcome, Replica, Snapshot};
pub use sync_protocol::{Message, PeerSync};
pub use tree::HashTree;

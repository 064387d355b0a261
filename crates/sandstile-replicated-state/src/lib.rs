//! State that matters, kept by all routers: facts that merge whatever order they come in, what differs between two copies found
//! without sending all, deltas that a slow peer can't lose, and what a router that returns may believe when. Pure: no socket, no
//! disk, no clock; times are seconds of the caller's, and nothing is ordered by a clock of another.
pub mod catchup;
pub mod deltas;
pub mod differ;
pub mod fact;
pub mod state;
pub mod stored;
pub mod sync_protocol;
pub mod tree;
pub mod wire;

pub use catchup::{CatchUp, SyncState};
pub use deltas::Deltas;
pub use fact::{Fact, Key, Kind, Value};
pub use state::{Came, Replica, Snapshot};
pub use sync_protocol::{Message, Talk};
pub use tree::Tree;

//! One router among those that keep the same: what it tells to whom and when, whom it asks after a start, and what it may believe
//! until then. Facts, joins and comparisons are `sandstile-replicated-state`; here they meet links that come and go, rates and patience. Pure:
//! messages go in and out as bytes, times are the caller's.
mod near;
mod replicator;
pub mod sim;

pub use near::select_neighbours;
pub use replicator::{Counts, ReplicationEvent, ReplicationPeer, ReplicationSettings};

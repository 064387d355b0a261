//! One router's part in replication: what it sends to which peer and when, which peers it compares with after a
//! start, and what it may trust until then. Facts, joins and comparisons are in `sandstile-replicated-state`; this
//! crate adds connections that come and go, rate limits and timeouts. No I/O: messages go in and out as bytes, and
//! times are on the caller's clock.
mod neighbours;
mod replicator;
pub mod sim;

pub use neighbours::select_neighbours;
pub use replicator::{Counts, ReplicationEvent, ReplicationPeer, ReplicationSettings};

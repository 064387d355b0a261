//! Open-loop load generator for a router or a host: arrivals don't wait for answers, over thousands of connections from
//! one thread. Latency counts from when a statement was *due*, so that stalls of the target are not hidden (coordinated
//! omission). The latency from when it was sent, which closed-loop tools report, is recorded in addition.
pub mod arrivals;
pub mod engine;

pub use arrivals::{Arrivals, Shape};
pub use engine::{run, Load, Report, StatementText};

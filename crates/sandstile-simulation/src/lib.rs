//! A simulated deployment in virtual time: the model of the database hosts (`sandstile-fleet`), routers that use the
//! real decision module over simulated connections, and clients. It neither sleeps nor performs I/O, so an hour with a
//! hundred databases takes seconds to simulate, and runs with the same seed are identical.
//!
//! Not simulated are the costs of sockets: the CPU time of the routers and the network round trip.
pub mod instance_driver;
pub mod workers;
pub mod world;

pub use instance_driver::{ClientRequest, FinalAnswer, InstanceDriver};
pub use workers::{Tally, Workers};
pub use world::World;

/// Start of the virtual clock. It is far above zero because the decision module treats 0 as long ago.
pub const EPOCH: f64 = 1e6;

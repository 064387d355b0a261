//! A deployment in virtual time: the model of the database hosts (`sandstile-fleet`), routers that are the real
//! decision module behind connections of the model, and clients. Nothing here sleeps or opens anything, so that an
//! hour of a hundred databases is a matter of seconds, and the same seed plays the same hour.
//!
//! What it leaves out is what sockets cost: a router's own processor time, and the way there and back.
pub mod instance_driver;
pub mod workers;
pub mod world;

pub use instance_driver::{ClientRequest, FinalAnswer, InstanceDriver};
pub use workers::{Tally, Workers};
pub use world::World;

/// The decisions' clock starts far above zero, where 0 stands for long ago.
pub const EPOCH: f64 = 1e6;

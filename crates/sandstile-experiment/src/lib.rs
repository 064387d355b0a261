//! Experiments: a script played by two or more arms, in pairs under the same seed, in an order drawn anew for each
//! pair. What has been run stands in rows that are only ever added to; what is still to be run follows from them, so
//! that an experiment that was killed goes on where it stopped.
pub mod analysis;
pub mod plan;
pub mod rows;

pub use analysis::{compare_arms, ArmResult};
pub use plan::{Arm, Experiment};
pub use rows::{Row, Rows};

//! Experiments: two or more arms run a script in pairs with the same seed, in an order that is drawn for each pair.
//! Finished runs are rows of an append-only file, from which follows what still has to be run, so that a killed
//! experiment resumes where it stopped.
pub mod analysis;
pub mod plan;
pub mod rows;

pub use analysis::{compare_arms, ArmResult};
pub use plan::{Arm, Experiment};
pub use rows::{Row, Rows};

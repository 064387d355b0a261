//! Load for a router or a host: arrivals that wait for nobody, over thousands of connections from one thread. Times
//! count from when a statement was *meant* to be asked; beside them stand the times from when it was, which is what
//! tools that wait report.
pub mod arrivals;
pub mod engine;

pub use arrivals::{Arrivals, Shape};
pub use engine::{run, Load, Report, StatementText};

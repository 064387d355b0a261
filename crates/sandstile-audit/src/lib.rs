//! Checks a rehearsal afterwards: reads its trace of JSON lines, and reports violations with the lines about them and
//! the service that clients got. Shares no code with the router, so that a fault of the router is not repeated in the checks.
pub mod agreement;
pub mod convergence;
pub mod judge;
pub mod probing;
pub mod recovery;
pub mod service;
pub mod trace;

pub use agreement::{agreement, Agreement};
pub use convergence::{state_convergence, Convergence};
pub use judge::{judge, own_reads, Finding, OwnReads, Rule};
pub use probing::searches;
pub use recovery::{recovery, Recovery};
pub use service::{service, Service};
pub use trace::Trace;

//! The audit of a rehearsal: a trace of JSON lines goes in, violations with their stories and the service come
//! out. Whoever wrote the router's decisions wrote nothing here, and no code is shared with them.
pub mod agreement;
pub mod copies;
pub mod judge;
pub mod probing;
pub mod returning;
pub mod service;
pub mod trace;

pub use agreement::{agreement, Agreement};
pub use copies::{state_convergence, Convergence};
pub use judge::{judge, own_reads, Finding, OwnReads, Rule};
pub use probing::searches;
pub use returning::{recovery, Recovery};
pub use service::{service, Service};
pub use trace::Trace;

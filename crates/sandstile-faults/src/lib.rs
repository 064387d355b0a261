//! Faults between and of processes, as a model: which ends a fault touches (`ends`), what stands on a link in one
//! direction (`fault_state`), what that does to the bytes and datagrams on their way (`lane`), what is done to processes and
//! their stored state (`process`), schedules drawn by seed (`draw`), and the least of a schedule that still fails
//! (`shrink`). Nothing here opens a socket, starts a process or reads a clock: relays and the lab do that.
//!
//! Times are seconds as f64 on the caller's clock.
pub mod draw;
pub mod ends;
pub mod fault_state;
pub mod lane;
pub mod process;
pub mod shrink;

pub use ends::{Endpoint, EndpointSelector};
pub use fault_state::{ActiveFaults, LinkCondition, LinkFault};
pub use lane::{DatagramChannel, StreamChannel};
pub use process::{ProcessFault, StateAfterRestart};

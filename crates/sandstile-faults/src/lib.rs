//! A model of faults in and between processes: endpoints and the links that a fault affects (`ends`), the
//! faults that are active on a link (`fault_state`), their effect on bytes and datagrams in flight (`lane`),
//! faults of processes and of their stored state (`process`), schedules drawn from a seed (`draw`), and a
//! search for the smallest schedule that still fails (`shrink`). This crate opens no socket, starts no
//! process and reads no clock: the relays and the lab do.
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

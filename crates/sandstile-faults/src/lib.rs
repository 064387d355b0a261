//! A model of faults in and between processes: endpoints of links (`endpoints`), the faults that are active on
//! a link (`link_faults`), their effect on bytes and datagrams in flight (`channel`), faults of processes and
//! of their stored state (`process`), schedules drawn from a seed (`schedule`), and a search for the smallest
//! schedule that still fails (`shrink`). This crate opens no socket, starts no
//! process and reads no clock: the relays and the lab do.
//!
//! Times are seconds as f64 on the caller's clock.
pub mod channel;
pub mod endpoints;
pub mod link_faults;
pub mod process;
pub mod schedule;
pub mod shrink;

pub use channel::{DatagramChannel, StreamChannel};
pub use endpoints::{Endpoint, EndpointSelector};
pub use link_faults::{ActiveFaults, LinkCondition, LinkFault};
pub use process::{ProcessFault, StateAfterRestart};

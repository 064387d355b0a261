//! The fleet model on sockets: one listener a host, one discovery agent a router, all on 127.0.0.0/8, served by
//! one thread with a readiness loop. The model decides what hosts do; here are only bytes, connections and what
//! the network does to them. No router code is used.
pub mod agent;
pub mod clock;
pub mod protocol;
pub mod run;
mod sockets;

pub use clock::Clock;
pub use run::{
    exchange_address, members_address, router_address, Emulator, Handle, Notification, Record, Summary,
    TraceEvent,
};

//! The fleet model on sockets: one listener per host and one discovery agent per router, all on 127.0.0.0/8, served by
//! one thread with an event loop. The model decides what the hosts do; this crate handles bytes, connections and
//! network faults. It uses no router code.
pub mod agent;
pub mod clock;
pub mod emulator;
pub mod protocol;
mod sockets;

pub use clock::Clock;
pub use emulator::{
    exchange_address, members_address, router_address, Emulator, Handle, Notification, Record, Summary,
    TraceEvent,
};

//! The connections of a router as state machines: bytes and times go in; bytes, actions and the next deadline
//! come out. Nothing here opens a socket or reads a clock, so that tests can play every split of the bytes
//! and every order of events. `docs/design/readiness.md` gives the reasons for this design.
//!
//! Times are Unix seconds as f64, passed in by the caller.
pub mod budget;
pub mod client_connection;
pub mod close_reason;
pub mod pool;
pub mod shutdown;
pub mod sqlstate;
pub mod statement;
pub mod upstream_connection;

pub use sandstile_dispatcher::{outcome, task};

//! The connections of a router as state machines: bytes and times go in; bytes, wishes and the next time come out.
//! Nothing here opens a socket or reads a clock, so that every split of the bytes and every order of events can be
//! played in a test. `docs/design/readiness.md` says why it is built like that.
//!
//! Times are Unix seconds as f64, handed in by whoever drives the machines.
pub mod budget;
pub mod client_connection;
pub mod close_reason;
pub mod pool;
pub mod sqlstate;
pub mod statement;
pub mod upstream_connection;

pub use sandstile_dispatcher::{outcome, task};

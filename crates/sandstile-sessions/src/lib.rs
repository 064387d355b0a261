//! Tracks the log positions that sessions have written, and computes the position that their reads must
//! reach. This crate does no I/O and reads no clock: the caller passes the time in Unix seconds. Positions
//! are the hosts' own, in seconds too.
//!
//! A mark is created when a write is acknowledged. It is kept in the memory of this instance, in tokens that
//! clients send back, in the journal and in other instances. Marks form a join-semilattice under merge, so
//! updates may arrive in any order and repeatedly.
pub mod mark;
pub mod required_position;
pub mod sketch;
pub mod store;
pub mod token;

pub use mark::{Mark, SessionMarks, Term};
pub use required_position::{required_position, RequiredPosition, UnknownReason};
pub use sketch::Sketch;
pub use store::{SessionKey, Store};
pub use token::{KeyRing, Token, TokenError};

//! What each session has seen of its own writes, and what its reads must reach. No I/O and no clock: times come
//! in with each call, in Unix seconds, and positions are the hosts' own, in seconds too.
//!
//! A mark is made when a write is acknowledged and travels by four ways: this instance's memory, tokens that
//! clients carry, the journal, and other instances. Marks merge by a join: order and repeats of news never matter.
pub mod floor;
pub mod mark;
pub mod sketch;
pub mod store;
pub mod token;

pub use floor::{required_position, RequiredPosition, Why};
pub use mark::{Mark, SessionMarks, Term};
pub use sketch::Sketch;
pub use store::{SessionKey, Store};
pub use token::{KeyRing, Token, Told};

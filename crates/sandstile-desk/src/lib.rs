//! The only caller of the decisions: mail of clients and hosts and the facts of other sources go in, orders and final answers come
//! out. Pure: no socket, no clock, no thread, no protocol; a statement comes as an opaque parcel, times are Unix seconds of the
//! caller's. `docs/architecture.md` draws a statement's way.
pub mod counts;
pub mod desk;
pub mod ending;
pub mod job;
pub mod mail;
pub mod source;

pub use counts::{Count, Counts};
pub use desk::Desk;
pub use ending::{Ending, Outcome};
pub use job::{Answer, Errand, Job, Parcel};
pub use mail::{Asked, Given, Mail, Order, Said, Update};
pub use source::{Fact, Source};

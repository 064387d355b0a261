//! The only caller of the decisions: mail of clients and hosts and the facts of other sources go in, orders and final answers come
//! out. Pure: no socket, no clock, no thread, no protocol; a statement comes as an opaque parcel, times are Unix seconds of the
//! caller's. `docs/architecture.md` draws a statement's way.
pub mod counters;
pub mod dispatcher;
pub mod messages;
pub mod outcome;
pub mod source;
pub mod task;

pub use counters::{Counter, DispatcherCounters};
pub use dispatcher::Dispatcher;
pub use messages::{Command, DispatcherMessage, FinalAnswer, HostListUpdate, LogEvent, StatementRequest};
pub use outcome::{Ending, Outcome};
pub use source::{DispatcherInput, Source};
pub use task::{Answer, HostTask, StatementPayload, TaskKind};

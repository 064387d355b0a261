//! The only caller of the routing policy: messages of clients and hosts and inputs of other sources go in,
//! commands and final answers come out.
//!
//! It uses no sockets, clocks, threads or protocols. A statement is an opaque payload, and times are Unix
//! seconds supplied by the caller. `docs/architecture.md` shows how a statement passes through.
pub mod counters;
pub mod dispatcher;
pub mod messages;
pub mod outcome;
pub mod recent_ids;
pub mod source;
pub mod task;

pub use counters::{Counter, DispatcherCounters};
pub use dispatcher::Dispatcher;
pub use messages::{
    Command, DispatcherMessage, FinalAnswer, HostListUpdate, LogEvent, StartStep, StatementRequest,
};
pub use outcome::{Ending, Outcome};
pub use source::{DispatcherInput, Source};
pub use task::{Answer, HostTask, StatementPayload, TaskKind};

//! The sandstile router: the decisions of `sandstile-policy` behind real sockets. One thread, the `event_loop`,
//! runs the clients' connections (`clients`), the dispatcher of the decisions (`sandstile-dispatcher`) and the
//! database hosts (`hosts`). The protocol logic of each connection is in the state machines of
//! `sandstile-connections`, which use neither sockets nor clocks.
pub mod client_slot;
pub mod clients;
pub mod clock;
pub mod control;
pub mod control_client;
pub mod counters;
pub mod dial_queue;
pub mod dialling;
pub mod discovery;
pub mod errno;
pub mod event_loop;
pub mod exchange;
pub mod hosts;
pub mod keys;
pub mod known_hosts;
pub mod launch;
pub mod list_stream;
pub mod listener;
pub mod lists;
pub mod local_config;
pub mod log_limiter;
pub mod loop_context;
pub mod mailbox;
pub mod mailbox_source;
pub mod members;
pub mod recorder;
pub mod replicated_state;
pub mod router;
pub mod session_messages;
pub mod sessions;
pub mod signals;
pub mod socket;
pub mod threads;
pub mod upstream_slot;

pub use sandstile_connections::{
    budget, client_connection, close_reason, outcome, pool, shutdown, sqlstate, statement, task,
    upstream_connection,
};
pub use sandstile_pgwire as pg;

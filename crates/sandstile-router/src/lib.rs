//! The sandstile router: the decisions of `sandstile-policy` behind real sockets. One thread, the `carrier`, carries
//! the clients' connections (`clients`), the desk of the decisions (`sandstile-desk`) and the database hosts (`hosts`); what
//! happens on a connection is decided by the machines of `sandstile-lines`, which know neither socket nor clock.
pub mod ask;
pub mod carrier;
pub mod charter;
pub mod clients;
pub mod clock;
pub mod control;
pub mod counters;
pub mod dialling;
pub mod discovery;
pub mod errno;
pub mod exchange;
pub mod hosts;
pub mod inlet;
pub mod kept;
pub mod keys;
pub mod known;
pub mod launch;
pub mod list_stream;
pub mod listener;
pub mod lists;
pub mod mailbox;
pub mod members;
pub mod rate;
pub mod recorder;
pub mod router;
pub mod sessions;
pub mod signals;
pub mod threads;
pub mod tools;
pub mod wire;
pub mod words;

pub use sandstile_lines::{budget, client, closing, ending, job, link, pool, sqlstate, statement};
pub use sandstile_pgwire as pg;

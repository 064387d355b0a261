//! The sandstile router: the decisions of `sandstile-policy` behind real sockets. The files follow the stages
//! of a request: `listen`, `client`, `statement`, `desk`, `peer`, `link`, and back.
pub mod budget;
pub mod charter;
pub mod client;
pub mod clock;
pub mod counters;
pub mod desk;
pub mod discovery;
pub mod ending;
pub mod exchange;
pub mod launch;
pub mod link;
pub mod listen;
pub mod mailbox;
pub mod peer;
pub mod router;
pub mod sessions;
pub mod signals;
pub mod statement;

pub use sandstile_pgwire as pg;

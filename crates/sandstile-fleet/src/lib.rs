//! A model of a fleet of database hosts. Pure: it opens nothing, starts nothing and reads no clock. It takes
//! inputs with their time, says what comes out (`Output`) and what happened inside (`Event`), and when it wants to
//! be woken. The emulator drives it on sockets; tests and later models drive it in virtual time.
//!
//! All times are seconds as f64 on the driver's clock, work is seconds of one core at speed 1, positions are
//! the times of commits.
pub mod cpu;
pub mod event;
pub mod fault;
pub mod fleet;
mod group;
mod host;
mod machine;
pub mod plan;
pub mod random;
pub mod replay;
pub mod roles;
pub use sandstile_timers as timers;

pub use event::{Answer, Event, Input, Output, Readiness, StatementRequest};
pub use fault::{Fault, FaultKind, Target};
pub use fleet::Fleet;
pub use plan::Plan;

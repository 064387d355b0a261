//! A model of a fleet of database hosts. It performs no I/O, starts no threads and reads no clock. Its driver passes
//! inputs with their times and receives outputs (`Output`), a record of what happened inside (`Event`) and the time
//! of the next wake-up. The emulator drives it on sockets; the tests and the simulation drive it in virtual time.
//!
//! Times are f64 seconds on the driver's clock, work is measured in seconds of one core at speed 1, and positions are
//! commit times.
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

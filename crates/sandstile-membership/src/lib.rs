//! Group membership: the routers of one installation monitor each other with SWIM (Das, Gupta, Motivala, 2002). A member is
//! suspected before it is declared dead, and only the member itself raises its incarnation. Lifeguard's local health (Dadgar,
//! Phillips, Currey, 2018) makes a member that receives few answers itself slower to declare others dead.
//!
//! The crate does no I/O: datagrams and times go in, datagrams come out. The driver owns the socket, authenticates incoming
//! datagrams and limits their rate. Times are seconds on the caller's clock; no decision depends on another member's clock.
pub mod sim;
pub mod swim;
pub mod update_queue;
pub mod wire;

pub use swim::{Change, Settings, Swim};
pub use wire::{Datagram, MemberId, MemberUpdate, Message, Meta, State};

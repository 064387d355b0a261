//! Who is there: routers of one installation watch each other by SWIM (Das, Gupta, Motivala, 2002) with suspicion before death,
//! incarnations that only their owner raises, and Lifeguard's local health (Dadgar, Phillips, Currey, 2018), by which a member
//! that hears little itself takes longer to hold others for dead. Pure: datagrams and times go in, datagrams come out;
//! a driver has the socket, authenticates and bounds what comes.
//!
//! Times are seconds on the caller's clock; nothing is ordered by a clock of another.
pub mod sim;
pub mod swim;
pub mod updates;
pub mod wire;

pub use swim::{Change, Settings, Swim};
pub use wire::{Datagram, MemberId, MemberUpdate, Message, Meta, State};

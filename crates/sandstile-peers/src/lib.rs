//! One router among its peers, without sockets or clock. Datagrams come in and go out sealed; `sandstile-membership` tracks the live
//! members, and `sandstile-membership-view` classifies the view and decides what may be done on it. The router drives it from its event
//! loop; tests run many instances in virtual time.
pub mod peers;
pub mod rate_limit;
pub mod seal;

pub use peers::{PeerCounters, PeerEvent, Peers, Report, Settings};
pub use seal::{OpenError, Opener, Sealer};

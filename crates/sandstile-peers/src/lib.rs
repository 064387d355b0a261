//! One router among its peers, without sockets or clock: letters come in sealed and go out sealed, `sandstile-membership` says who is
//! there, `sandstile-membership-view` which view holds and what may be done on it. The router drives it beside its loop; the tests drive many
//! of it in virtual time.
pub mod gate;
pub mod peers;
pub mod seal;

pub use peers::{PeerCounters, PeerEvent, Peers, Report, Settings};
pub use seal::{OpenError, Opener, Sealer};

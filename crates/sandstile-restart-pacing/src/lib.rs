//! The return of a router that has just started, beside many others that have just started too: how fast it may dial
//! (`dial_pacing`), when it asks for lists again (`list_polling`), how many of the crowd that came with it come in at once (`admission_ramp`),
//! and whether it stood still itself and knows only of yesterday (`stall`). `sandstile-policy` decides which host gets a
//! statement; this only says how soon a connection that it needs may be begun.
//!
//! Times are Unix seconds handed in; nothing here reads a clock or opens a socket. `docs/design/return.md` weighs the paces.
pub mod admission_ramp;
pub mod dial_pacing;
pub mod list_polling;
pub mod stall;

pub use admission_ramp::{Admission, AdmissionRamp};
pub use dial_pacing::{DialDecision, DialOutcome, DialPacer};
pub use list_polling::ListBackoff;
pub use stall::StallDetector;

/// How a router comes back. All but `Answers` are there to be measured against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// A pool of its usual size at every host at once, and every dial as soon as it is wanted: the plainest return.
    Plainest,
    /// The first dial of each host after a while drawn by chance.
    Jitter,
    /// A router's part of so many dials a second and host.
    Tokens,
    /// Each router in its own turn of time, by its number.
    Slots,
    /// As many dials under way at a host as its handshakes come back quickly.
    Answers,
}

pub const PACES: [(&str, Pace); 5] = [
    ("plainest", Pace::Plainest),
    ("jitter", Pace::Jitter),
    ("tokens", Pace::Tokens),
    ("slots", Pace::Slots),
    ("answers", Pace::Answers),
];

/// What our own file says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    pub pace: Pace,
    /// Statements of a crowd come in as fast as answers come.
    pub ramp: bool,
    /// Seconds by which a turn of the loop may be late before the router counts as having stood still; 0 for never.
    pub stall_s: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { pace: Pace::Answers, ramp: false, stall_s: 1.0 }
    }
}

//! Limits the load that a router causes after its start, when many others may have started too: how fast it
//! dials (`dial_pacing`), when it asks for host lists again (`list_polling`), how many of the returning
//! statements it admits at once (`admission_ramp`), and whether the process itself stalled and has outdated
//! state (`stall`). `sandstile-policy` decides which host gets a statement; this crate only decides how soon
//! a connection may be opened.
//!
//! Times are Unix seconds supplied by the caller; nothing here reads a clock or opens a socket.
//! `docs/design/return.md` compares the paces.
pub mod admission_ramp;
pub mod dial_pacing;
pub mod list_polling;
pub mod stall;

pub use admission_ramp::{Admission, AdmissionRamp};
pub use dial_pacing::{DialDecision, DialOutcome, DialPacer};
pub use list_polling::ListBackoff;
pub use stall::StallDetector;

/// How a router paces its dials. All but `Answers` serve as baselines for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// A pool of the usual size to every host at once, and each further dial as soon as it is wanted.
    Plainest,
    /// The first dial to each host after a random delay.
    Jitter,
    /// Each router's share of a fixed number of dials per second and host.
    Tokens,
    /// Each router dials in its own time slot, by its number.
    Slots,
    /// The number of dials in flight to a host follows its handshake times.
    Answers,
}

pub const PACES: [(&str, Pace); 5] = [
    ("plainest", Pace::Plainest),
    ("jitter", Pace::Jitter),
    ("tokens", Pace::Tokens),
    ("slots", Pace::Slots),
    ("answers", Pace::Answers),
];

/// Settings from the local configuration file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    pub pace: Pace,
    /// Whether returning statements are admitted as fast as answers come.
    pub ramp: bool,
    /// Seconds by which the event loop may be late before the process counts as stalled; 0 disables the
    /// check.
    pub stall_s: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { pace: Pace::Answers, ramp: false, stall_s: 1.0 }
    }
}

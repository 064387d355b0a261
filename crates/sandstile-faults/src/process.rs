//! Faults of processes and of the state that they have stored.
use oorandom::Rand64;

/// What a process finds of its stored state when it restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateAfterRestart {
    Kept,
    Lost,
    /// The state is replaced by a copy that was saved earlier; without such a copy it is lost.
    Older,
    /// The second half of the file is missing.
    Cut,
    /// Some bytes are changed.
    Spoilt,
}

pub const STATE_NAMES: [(&str, StateAfterRestart); 5] = [
    ("kept", StateAfterRestart::Kept),
    ("lost", StateAfterRestart::Lost),
    ("older", StateAfterRestart::Older),
    ("cut", StateAfterRestart::Cut),
    ("spoilt", StateAfterRestart::Spoilt),
];

impl StateAfterRestart {
    /// Returns what the process finds instead of `bytes`; `None` if nothing is left. `copy` is the copy that
    /// was saved earlier.
    pub fn apply(self, bytes: Vec<u8>, copy: Option<&[u8]>, seed: u64) -> Option<Vec<u8>> {
        match self {
            StateAfterRestart::Kept => Some(bytes),
            StateAfterRestart::Lost => None,
            StateAfterRestart::Older => copy.map(<[u8]>::to_vec),
            StateAfterRestart::Cut => Some(bytes[..bytes.len() / 2].to_vec()),
            StateAfterRestart::Spoilt => {
                let mut bytes = bytes;
                let mut rng = Rand64::new(u128::from(seed));
                // Changes one byte in a thousand, at least one.
                for _ in 0..(bytes.len() / 1000).max(1) {
                    if !bytes.is_empty() {
                        let index = rng.rand_range(0..bytes.len() as u64) as usize;
                        bytes[index] ^= 1 + (rng.rand_u64() % 255) as u8;
                    }
                }
                Some(bytes)
            }
        }
    }
}

/// A fault of a process. Times are seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessFault {
    /// SIGTERM or SIGKILL; `back` is the time until the process is started again, with its stored state in
    /// this condition.
    Restart { kill: bool, back: f64, state: StateAfterRestart },
    /// SIGSTOP, and SIGCONT after this time.
    Stop { lasts: f64 },
    /// The process is stopped for this share of the time, in short intervals.
    Slow { share: f64, lasts: f64 },
    /// Saves a copy of the stored state, for `StateAfterRestart::Older`.
    Copy,
}

/// The processes that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessSelector {
    One(usize),
    /// This share of all processes, rounded, at least one unless the share is 0; chosen by seed.
    Share(f64),
}

impl ProcessSelector {
    /// The numbers of the affected processes, each with the seconds between the cue and its fault: all at
    /// once, or spaced evenly over `spread`.
    pub fn select(self, count: usize, spread: f64, seed: u64) -> Vec<(usize, f64)> {
        let mut processes: Vec<usize> = (0..count).collect();
        let selected_count = match self {
            ProcessSelector::One(n) => return if n < count { vec![(n, 0.0)] } else { Vec::new() },
            ProcessSelector::Share(share) => {
                ((share * count as f64).round() as usize).clamp(usize::from(share > 0.0), count)
            }
        };
        let mut rng = Rand64::new(u128::from(seed));
        for index in (1..processes.len()).rev() {
            processes.swap(index, rng.rand_range(0..index as u64 + 1) as usize);
        }
        let step = if selected_count > 1 { spread / (selected_count - 1) as f64 } else { 0.0 };
        processes.truncate(selected_count);
        processes.into_iter().enumerate().map(|(nth, n)| (n, step * nth as f64)).collect()
    }
}

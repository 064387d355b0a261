//! What is done to processes, and to what they have stored.
use oorandom::Rand64;

/// What a process finds of its stored state when it starts again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateAfterRestart {
    Kept,
    Lost,
    /// A copy that was taken earlier is put back; where none was taken the state is lost.
    OlderCopy,
    /// The latter half is missing.
    Cut,
    /// Some bytes are others.
    Corrupted,
}

pub const STATE_NAMES: [(&str, StateAfterRestart); 5] = [
    ("kept", StateAfterRestart::Kept),
    ("lost", StateAfterRestart::Lost),
    ("older", StateAfterRestart::OlderCopy),
    ("cut", StateAfterRestart::Cut),
    ("spoilt", StateAfterRestart::Corrupted),
];

impl StateAfterRestart {
    /// What is found of these bytes; `None` where nothing is. `copy` is what was put by earlier.
    pub fn apply(self, bytes: Vec<u8>, copy: Option<&[u8]>, seed: u64) -> Option<Vec<u8>> {
        match self {
            StateAfterRestart::Kept => Some(bytes),
            StateAfterRestart::Lost => None,
            StateAfterRestart::OlderCopy => copy.map(<[u8]>::to_vec),
            StateAfterRestart::Cut => Some(bytes[..bytes.len() / 2].to_vec()),
            StateAfterRestart::Corrupted => {
                let mut bytes = bytes;
                let mut chance = Rand64::new(u128::from(seed));
                // One in a thousand, and one at least.
                for _ in 0..(bytes.len() / 1000).max(1) {
                    if !bytes.is_empty() {
                        let at = chance.rand_range(0..bytes.len() as u64) as usize;
                        bytes[at] ^= 1 + (chance.rand_u64() % 255) as u8;
                    }
                }
                Some(bytes)
            }
        }
    }
}

/// What strikes a process. Times in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessFault {
    /// SIGTERM or SIGKILL, then a start after so long, with this of its state.
    Restart { kill: bool, back: f64, state: StateAfterRestart },
    /// SIGSTOP, and SIGCONT after so long.
    Stop { duration_s: f64 },
    /// It stands still for this share of the time, in short turns.
    Slow { share: f64, duration_s: f64 },
    /// A copy of its state is put by.
    SaveState,
}

/// Which processes a blow strikes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessSelector {
    One(usize),
    /// This share of all, rounded, chosen by seed.
    Share(f64),
}

impl ProcessSelector {
    /// The processes and how many seconds after the cue each is struck: all at once, or one after the other over `spread`.
    pub fn select(self, count: usize, spread: f64, seed: u64) -> Vec<(usize, f64)> {
        let mut all: Vec<usize> = (0..count).collect();
        let struck = match self {
            ProcessSelector::One(n) => return if n < count { vec![(n, 0.0)] } else { Vec::new() },
            ProcessSelector::Share(share) => {
                ((share * count as f64).round() as usize).clamp(usize::from(share > 0.0), count)
            }
        };
        let mut chance = Rand64::new(u128::from(seed));
        for at in (1..all.len()).rev() {
            all.swap(at, chance.rand_range(0..at as u64 + 1) as usize);
        }
        let step = if struck > 1 { spread / (struck - 1) as f64 } else { 0.0 };
        all.truncate(struck);
        all.into_iter().enumerate().map(|(nth, n)| (n, step * nth as f64)).collect()
    }
}

//! What is done to processes, and to what they have stored.
use oorandom::Rand64;

/// What a process finds of its stored state when it starts again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Kept,
    Lost,
    /// A copy that was taken earlier is put back; where none was taken the state is lost.
    Older,
    /// The latter half is missing.
    Cut,
    /// Some bytes are others.
    Spoilt,
}

pub const STATES: [(&str, State); 5] = [
    ("kept", State::Kept),
    ("lost", State::Lost),
    ("older", State::Older),
    ("cut", State::Cut),
    ("spoilt", State::Spoilt),
];

impl State {
    /// What is found of these bytes; `None` where nothing is. `copy` is what was put by earlier.
    pub fn of(self, bytes: Vec<u8>, copy: Option<&[u8]>, seed: u64) -> Option<Vec<u8>> {
        match self {
            State::Kept => Some(bytes),
            State::Lost => None,
            State::Older => copy.map(<[u8]>::to_vec),
            State::Cut => Some(bytes[..bytes.len() / 2].to_vec()),
            State::Spoilt => {
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
pub enum Blow {
    /// SIGTERM or SIGKILL, then a start after so long, with this of its state.
    Restart { kill: bool, back: f64, state: State },
    /// SIGSTOP, and SIGCONT after so long.
    Stop { lasts: f64 },
    /// It stands still for this share of the time, in short turns.
    Slow { share: f64, lasts: f64 },
    /// A copy of its state is put by.
    Copy,
}

/// Which processes a blow strikes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Whom {
    One(usize),
    /// This share of all, rounded, chosen by seed.
    Share(f64),
}

impl Whom {
    /// The processes and how many seconds after the cue each is struck: all at once, or one after the other over `spread`.
    pub fn of(self, count: usize, spread: f64, seed: u64) -> Vec<(usize, f64)> {
        let mut all: Vec<usize> = (0..count).collect();
        let struck = match self {
            Whom::One(n) => return if n < count { vec![(n, 0.0)] } else { Vec::new() },
            Whom::Share(share) => {
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

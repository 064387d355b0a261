//! Says which cues are due: it is told the time and what happens, and holds no clock of its own. Each cue is due
//! once.
use crate::script::{Act, Cue, Trigger, When};

/// What a cue can wait for, as the emulator sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Happening {
    /// A cue was carried out.
    Began {
        cue: usize,
    },
    Ended {
        cue: usize,
    },
    /// The list's change that this cue brought has been written to a router.
    Announced {
        cue: usize,
    },
    Arriving {
        workload: usize,
    },
    Begun {
        workload: usize,
    },
    Ran {
        workload: usize,
    },
    HalfSaid {
        workload: usize,
    },
    Primary {
        group: String,
    },
}

/// How often each thing that has a number was seen.
#[derive(Default)]
struct Seen {
    arriving: Vec<u64>,
    begun: Vec<u64>,
    ran: Vec<u64>,
    half_said: Vec<u64>,
    primaries: std::collections::BTreeMap<String, u64>,
}

fn one_more(counts: &mut Vec<u64>, at: usize) -> u64 {
    if counts.len() <= at {
        counts.resize(at + 1, 0);
    }
    counts[at] += 1;
    counts[at]
}

enum Standing {
    Waits,
    Due(f64),
    Done,
}

pub struct Director {
    cues: Vec<Cue>,
    standing: Vec<Standing>,
    seen: Seen,
}

impl Director {
    /// The script began at `start`.
    pub fn new(cues: &[Cue], start: f64) -> Self {
        let standing = cues.iter().map(|c| match &c.trigger {
            Trigger::At(at) => Standing::Due(start + at),
            Trigger::After(..) => Standing::Waits,
        });
        Director { standing: standing.collect(), cues: cues.to_vec(), seen: Seen::default() }
    }

    pub fn cue(&self, cue: usize) -> &Cue {
        &self.cues[cue]
    }

    pub fn act(&self, cue: usize) -> &Act {
        &self.cues[cue].act
    }

    /// Whether some cue still waits for statements to arrive in part; the emulator reads in small pieces then.
    pub fn looks_for_parts(&self) -> bool {
        self.waits_for(|w| matches!(w, When::Arriving(..)))
    }

    /// Whether some cue still waits for the first bytes of an answer; it is then said in two pieces.
    pub fn looks_for_halves(&self, workload: usize) -> bool {
        self.waits_for(|w| matches!(w, When::HalfSaid(of, _) if *of == workload))
    }

    fn waits_for(&self, which: impl Fn(&When) -> bool) -> bool {
        let waits = |(cue, standing): (&Cue, &Standing)| match (&cue.trigger, standing) {
            (Trigger::After(when, _), Standing::Waits) => which(when),
            _ => false,
        };
        self.cues.iter().zip(&self.standing).any(waits)
    }

    /// Something has happened.
    pub fn happened(&mut self, now: f64, what: &Happening) {
        let nth = match what {
            Happening::Arriving { workload } => one_more(&mut self.seen.arriving, *workload),
            Happening::Begun { workload } => one_more(&mut self.seen.begun, *workload),
            Happening::Ran { workload } => one_more(&mut self.seen.ran, *workload),
            Happening::HalfSaid { workload } => one_more(&mut self.seen.half_said, *workload),
            Happening::Primary { group } => {
                let count = self.seen.primaries.entry(group.clone()).or_default();
                *count += 1;
                *count
            }
            _ => 0,
        };
        let name = |cue: &usize| self.cues[*cue].name.clone();
        for at in 0..self.cues.len() {
            let (Trigger::After(when, plus), Standing::Waits) = (&self.cues[at].trigger, &self.standing[at])
            else {
                continue;
            };
            let met = match (when, what) {
                (When::Begins(n), Happening::Began { cue }) => *n == name(cue),
                (When::Ends(n), Happening::Ended { cue }) => *n == name(cue),
                (When::Announced(n), Happening::Announced { cue }) => *n == name(cue),
                (When::Arriving(w, n), Happening::Arriving { workload }) => w == workload && *n == nth,
                (When::Begun(w, n), Happening::Begun { workload }) => w == workload && *n == nth,
                (When::Ran(w, n), Happening::Ran { workload }) => w == workload && *n == nth,
                (When::HalfSaid(w, n), Happening::HalfSaid { workload }) => w == workload && *n == nth,
                (When::Primary(g, n), Happening::Primary { group }) => g == group && *n == nth,
                _ => false,
            };
            if met {
                self.standing[at] = Standing::Due(now + plus);
            }
        }
    }

    /// When the next cue is due, as far as is known.
    pub fn next(&self) -> Option<f64> {
        let due = |s: &Standing| match s {
            Standing::Due(at) => Some(*at),
            _ => None,
        };
        self.standing.iter().filter_map(due).reduce(f64::min)
    }

    /// The cue that is due longest, each once.
    pub fn due(&mut self, now: f64) -> Option<usize> {
        let due = |(n, s): (usize, &Standing)| match s {
            Standing::Due(at) if *at <= now => Some((*at, n)),
            _ => None,
        };
        let first = self.standing.iter().enumerate().filter_map(due).min_by(|a, b| a.partial_cmp(b).unwrap());
        let (_, cue) = first?;
        self.standing[cue] = Standing::Done;
        Some(cue)
    }

    /// Cues whose event never came.
    pub fn missed(&self) -> Vec<&Cue> {
        let waits = self.cues.iter().zip(&self.standing);
        waits.filter(|(_, s)| !matches!(s, Standing::Done)).map(|(c, _)| c).collect()
    }
}

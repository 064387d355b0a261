//! Says which cues are due: it is told the time and what happens, and holds no clock of its own. Each cue is due
//! once.
use crate::script::{Cue, CueAction, Trigger, TriggerEvent};

/// What a cue can wait for, as the emulator sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum ScenarioEvent {
    /// A cue was carried out.
    CueBegan {
        cue: usize,
    },
    CueEnded {
        cue: usize,
    },
    /// The list's change that this cue brought has been written to a router.
    CueAnnounced {
        cue: usize,
    },
    PartlyReceived {
        workload: usize,
    },
    Received {
        workload: usize,
    },
    Executed {
        workload: usize,
    },
    PartlyAnswered {
        workload: usize,
    },
    PrimaryElected {
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

pub struct CueScheduler {
    cues: Vec<Cue>,
    standing: Vec<Standing>,
    seen: Seen,
}

impl CueScheduler {
    /// The script began at `start`.
    pub fn new(cues: &[Cue], start: f64) -> Self {
        let standing = cues.iter().map(|c| match &c.trigger {
            Trigger::At(at) => Standing::Due(start + at),
            Trigger::After(..) => Standing::Waits,
        });
        CueScheduler { standing: standing.collect(), cues: cues.to_vec(), seen: Seen::default() }
    }

    pub fn cue(&self, cue: usize) -> &Cue {
        &self.cues[cue]
    }

    pub fn action(&self, cue: usize) -> &CueAction {
        &self.cues[cue].action
    }

    /// Whether some cue still waits for statements to arrive in part; the emulator reads in small pieces then.
    pub fn awaits_partial_statement(&self) -> bool {
        self.waits_for(|w| matches!(w, TriggerEvent::PartlyReceived(..)))
    }

    /// Whether some cue still waits for the first bytes of an answer; it is then said in two pieces.
    pub fn awaits_partial_answer(&self, workload: usize) -> bool {
        self.waits_for(|w| matches!(w, TriggerEvent::PartlyAnswered(of, _) if *of == workload))
    }

    fn waits_for(&self, which: impl Fn(&TriggerEvent) -> bool) -> bool {
        let waits = |(cue, standing): (&Cue, &Standing)| match (&cue.trigger, standing) {
            (Trigger::After(when, _), Standing::Waits) => which(when),
            _ => false,
        };
        self.cues.iter().zip(&self.standing).any(waits)
    }

    /// Something has happened.
    pub fn record_event(&mut self, now: f64, what: &ScenarioEvent) {
        let nth = match what {
            ScenarioEvent::PartlyReceived { workload } => one_more(&mut self.seen.arriving, *workload),
            ScenarioEvent::Received { workload } => one_more(&mut self.seen.begun, *workload),
            ScenarioEvent::Executed { workload } => one_more(&mut self.seen.ran, *workload),
            ScenarioEvent::PartlyAnswered { workload } => one_more(&mut self.seen.half_said, *workload),
            ScenarioEvent::PrimaryElected { group } => {
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
                (TriggerEvent::CueBegins(n), ScenarioEvent::CueBegan { cue }) => *n == name(cue),
                (TriggerEvent::CueEnds(n), ScenarioEvent::CueEnded { cue }) => *n == name(cue),
                (TriggerEvent::CueAnnounced(n), ScenarioEvent::CueAnnounced { cue }) => *n == name(cue),
                (TriggerEvent::PartlyReceived(w, n), ScenarioEvent::PartlyReceived { workload }) => {
                    w == workload && *n == nth
                }
                (TriggerEvent::Received(w, n), ScenarioEvent::Received { workload }) => {
                    w == workload && *n == nth
                }
                (TriggerEvent::Executed(w, n), ScenarioEvent::Executed { workload }) => {
                    w == workload && *n == nth
                }
                (TriggerEvent::PartlyAnswered(w, n), ScenarioEvent::PartlyAnswered { workload }) => {
                    w == workload && *n == nth
                }
                (TriggerEvent::PrimaryElected(g, n), ScenarioEvent::PrimaryElected { group }) => {
                    g == group && *n == nth
                }
                _ => false,
            };
            if met {
                self.standing[at] = Standing::Due(now + plus);
            }
        }
    }

    /// When the next cue is due, as far as is known.
    pub fn next_due(&self) -> Option<f64> {
        let due = |s: &Standing| match s {
            Standing::Due(at) => Some(*at),
            _ => None,
        };
        self.standing.iter().filter_map(due).reduce(f64::min)
    }

    /// The cue that is due longest, each once.
    pub fn take_due(&mut self, now: f64) -> Option<usize> {
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
    pub fn missed_cues(&self) -> Vec<&Cue> {
        let waits = self.cues.iter().zip(&self.standing);
        waits.filter(|(_, s)| !matches!(s, Standing::Done)).map(|(c, _)| c).collect()
    }
}

//! Schedules the cues of a script. The caller passes in the time and the events that occur, so the scheduler
//! has no clock of its own. Each cue becomes due once.
use crate::script::{Cue, CueAction, Trigger, TriggerEvent};

/// Events that a cue can wait for, as the emulator observes them.
#[derive(Clone, Debug, PartialEq)]
pub enum ScenarioEvent {
    /// A cue was carried out.
    CueBegan {
        cue: usize,
    },
    CueEnded {
        cue: usize,
    },
    /// The change of the host list that this cue caused has been written to a router.
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

/// How often each event has occurred, for triggers that wait for the n-th occurrence.
#[derive(Default)]
struct EventCounts {
    partly_received: Vec<u64>,
    received: Vec<u64>,
    executed: Vec<u64>,
    partly_answered: Vec<u64>,
    primaries_elected: std::collections::BTreeMap<String, u64>,
}

fn increment(counts: &mut Vec<u64>, workload: usize) -> u64 {
    if counts.len() <= workload {
        counts.resize(workload + 1, 0);
    }
    counts[workload] += 1;
    counts[workload]
}

enum CueState {
    Waiting,
    Due(f64),
    Done,
}

pub struct CueScheduler {
    cues: Vec<Cue>,
    states: Vec<CueState>,
    event_counts: EventCounts,
}

impl CueScheduler {
    /// `start` is the time at which the script began.
    pub fn new(cues: &[Cue], start: f64) -> Self {
        let states = cues.iter().map(|c| match &c.trigger {
            Trigger::At(at) => CueState::Due(start + at),
            Trigger::After(..) => CueState::Waiting,
        });
        CueScheduler { states: states.collect(), cues: cues.to_vec(), event_counts: EventCounts::default() }
    }

    pub fn cue(&self, cue: usize) -> &Cue {
        &self.cues[cue]
    }

    pub fn action(&self, cue: usize) -> &CueAction {
        &self.cues[cue].action
    }

    /// Whether a cue still waits for a partly received statement; if so, the emulator reads in small pieces.
    pub fn awaits_partial_statement(&self) -> bool {
        self.any_waiting_for(|e| matches!(e, TriggerEvent::PartlyReceived(..)))
    }

    /// Whether a cue still waits for a partly sent answer of this workload; if so, the emulator sends the
    /// answer in two pieces.
    pub fn awaits_partial_answer(&self, workload: usize) -> bool {
        self.any_waiting_for(|e| matches!(e, TriggerEvent::PartlyAnswered(w, _) if *w == workload))
    }

    fn any_waiting_for(&self, predicate: impl Fn(&TriggerEvent) -> bool) -> bool {
        let is_waiting_for = |(cue, state): (&Cue, &CueState)| match (&cue.trigger, state) {
            (Trigger::After(trigger_event, _), CueState::Waiting) => predicate(trigger_event),
            _ => false,
        };
        self.cues.iter().zip(&self.states).any(is_waiting_for)
    }

    /// Records an event and makes the cues due that waited for it.
    pub fn record_event(&mut self, now: f64, event: &ScenarioEvent) {
        let nth = match event {
            ScenarioEvent::PartlyReceived { workload } => {
                increment(&mut self.event_counts.partly_received, *workload)
            }
            ScenarioEvent::Received { workload } => increment(&mut self.event_counts.received, *workload),
            ScenarioEvent::Executed { workload } => increment(&mut self.event_counts.executed, *workload),
            ScenarioEvent::PartlyAnswered { workload } => {
                increment(&mut self.event_counts.partly_answered, *workload)
            }
            ScenarioEvent::PrimaryElected { group } => {
                let count = self.event_counts.primaries_elected.entry(group.clone()).or_default();
                *count += 1;
                *count
            }
            _ => 0,
        };
        let name = |cue: &usize| self.cues[*cue].name.clone();
        for index in 0..self.cues.len() {
            let (Trigger::After(trigger_event, delay_s), CueState::Waiting) =
                (&self.cues[index].trigger, &self.states[index])
            else {
                continue;
            };
            let met = match (trigger_event, event) {
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
                self.states[index] = CueState::Due(now + delay_s);
            }
        }
    }

    /// The time of the next due cue, as far as it is known.
    pub fn next_due(&self) -> Option<f64> {
        let due = |s: &CueState| match s {
            CueState::Due(at) => Some(*at),
            _ => None,
        };
        self.states.iter().filter_map(due).reduce(f64::min)
    }

    /// Takes the cue that has been due for the longest time. Each cue is returned once.
    pub fn take_due(&mut self, now: f64) -> Option<usize> {
        let due = |(n, s): (usize, &CueState)| match s {
            CueState::Due(at) if *at <= now => Some((*at, n)),
            _ => None,
        };
        let first = self.states.iter().enumerate().filter_map(due).min_by(|a, b| a.partial_cmp(b).unwrap());
        let (_, cue) = first?;
        self.states[cue] = CueState::Done;
        Some(cue)
    }

    /// The cues whose trigger never occurred.
    pub fn missed_cues(&self) -> Vec<&Cue> {
        let cues_with_state = self.cues.iter().zip(&self.states);
        cues_with_state.filter(|(_, s)| !matches!(s, CueState::Done)).map(|(c, _)| c).collect()
    }
}

//! Detects retry storms. An ordinary rise of the load is told from a storm by the kind of traffic and not by
//! its volume: by the share of retries among statements and of refusals among answers. Each share is watched
//! with Page's CUSUM test (1954) for a Bernoulli variable; the threshold follows from the accepted number of
//! false alarms per day (Wald's bound).

/// Events per second, as an exponential average over `window` seconds.
#[derive(Clone, Debug)]
pub struct Rate {
    over: f64,
    value: f64,
    at: f64,
}

impl Rate {
    pub fn new(over: f64, now: f64) -> Self {
        Rate { over, value: 0.0, at: now }
    }

    fn fade(&mut self, now: f64) {
        let span = (now - self.at).max(0.0);
        self.value *= (-span / self.over).exp();
        self.at = self.at.max(now);
    }

    pub fn note(&mut self, now: f64) {
        self.fade(now);
        self.value += 1.0 / self.over;
    }

    pub fn at(&mut self, now: f64) -> f64 {
        self.fade(now);
        self.value
    }
}

/// Detects a change of one share.
#[derive(Clone, Debug)]
struct Share {
    /// The usual share, learnt slowly and only outside storms.
    usual: f64,
    seen: u64,
    /// The evidence for a storm or, during one, for its end.
    sum: f64,
    stormy: bool,
    /// The evidence at which a change is accepted.
    threshold: f64,
}

/// Shares below this are always ordinary: on a quiet day, a single retry would double the usual share.
const LEAST: f64 = 0.1;
/// The share in a storm is at least this multiple of the usual one, and at least `MIN_STORM_SHARE`.
const TIMES: f64 = 3.0;
const STORMY: f64 = 0.4;
/// The number of events over which the usual share is averaged.
const MEMORY: f64 = 20_000.0;
/// The number of ordinary events that a new detector assumes to have seen. With fewer, a router that starts
/// during a storm would learn its share as usual; with many more, a router that starts among many ordinary
/// retries would take them for a storm.
const BEFORE: f64 = 100.0;

impl Share {
    fn new(threshold: f64) -> Self {
        Share { usual: 0.0, seen: 0, sum: 0.0, stormy: false, threshold }
    }

    /// The usual share and the storm share between which the test decides.
    fn both(&self) -> (f64, f64) {
        let calm = (1.5 * self.usual).clamp(LEAST, 0.6);
        (calm, (TIMES * calm).clamp(STORMY, 0.9))
    }

    /// Returns `true` if a storm begins or ends with this event.
    fn note(&mut self, hit: bool) -> bool {
        let (calm, stormy) = self.both();
        let speaks = if hit { (stormy / calm).ln() } else { ((1.0 - stormy) / (1.0 - calm)).ln() };
        let speaks = if self.stormy { -speaks } else { speaks };
        self.sum = (self.sum + speaks).max(0.0);
        if !self.stormy {
            // Counted only while the evidence for a storm is low, so that a storm is not learnt.
            self.seen += 1;
            let weight = (1.0 / (self.seen as f64 + BEFORE)).max(1.0 / MEMORY);
            let hit = f64::from(u8::from(hit && self.sum < self.threshold / 2.0));
            self.usual += weight * (hit - self.usual);
        }
        // The end needs less evidence than the beginning: if it is wrong, it only costs the time until the
        // limits return.
        let enough = if self.stormy { self.threshold / 2.0 } else { self.threshold };
        if self.sum < enough {
            return false;
        }
        (self.stormy, self.sum) = (!self.stormy, 0.0);
        true
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// Clients retry what failed or was refused.
    LaterTries,
    /// Most statements cannot be served.
    Refusals,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Storm {
    pub since: f64,
    pub sign: Sign,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    pub at: f64,
    pub sign: Sign,
    pub begins: bool,
}

/// Detects storms in the traffic of one router.
pub struct Watch {
    later: Share,
    refused: Share,
    /// When the storm of each sign began.
    since: [Option<f64>; 2],
    last: f64,
    changes: Vec<Change>,
}

/// Seconds without traffic that end any storm, as no client is left to return.
const SILENCE: f64 = 10.0;
/// Events per day of a busy router; the threshold grows only with their logarithm.
const EVENTS_A_DAY: f64 = 1e8;
/// The number of changes kept until they are read.
const MOST_CHANGES: usize = 16;

impl Watch {
    pub fn new(false_alarms_per_day: f64, now: f64) -> Self {
        // Each event starts a test whose false-alarm probability is at most exp(-threshold).
        let threshold = (EVENTS_A_DAY / false_alarms_per_day.max(1e-6)).ln();
        Watch {
            later: Share::new(threshold),
            refused: Share::new(threshold),
            since: [None; 2],
            last: now,
            changes: Vec::new(),
        }
    }

    pub fn asked(&mut self, now: f64, later: bool) {
        self.silence(now);
        if self.later.note(later) {
            self.turned(now, Sign::LaterTries);
        }
    }

    pub fn answered(&mut self, now: f64, completed: bool) {
        self.silence(now);
        if self.refused.note(!completed) {
            self.turned(now, Sign::Refusals);
        }
    }

    fn silence(&mut self, now: f64) {
        if now > self.last + SILENCE {
            for (sign, share) in [(Sign::LaterTries, 0), (Sign::Refusals, 1)] {
                let watched = if share == 0 { &mut self.later } else { &mut self.refused };
                watched.sum = 0.0;
                if std::mem::take(&mut watched.stormy) {
                    self.turned(now, sign);
                }
            }
        }
        self.last = self.last.max(now);
    }

    fn turned(&mut self, now: f64, sign: Sign) {
        let since = &mut self.since[usize::from(sign == Sign::Refusals)];
        let begins = since.is_none();
        *since = begins.then_some(now);
        if self.changes.len() < MOST_CHANGES {
            self.changes.push(Change { at: now, sign, begins });
        }
    }

    /// The current storm. Refusals alone mean an overload, which the policy handles; they count as a storm
    /// because clients may return without marking their retries.
    pub fn storm(&self) -> Option<Storm> {
        let of = |n: usize, sign| self.since[n].map(|since| Storm { since, sign });
        of(0, Sign::LaterTries).or(of(1, Sign::Refusals))
    }

    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }
}

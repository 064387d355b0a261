//! Is there a storm? What tells one from an honest jump of load is not how much comes but what comes: the share of later
//! tries among statements, and of refusals among answers. Both are watched by the cumulative sums of Page (1954) for a
//! Bernoulli share, whose threshold follows from how many false alarms a day may have (Wald's bound).

/// Events a second, over about so many seconds.
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

/// One share under watch.
#[derive(Clone, Debug)]
struct Share {
    /// The usual share, learnt slowly and never from a storm.
    usual: f64,
    seen: u64,
    /// How much speaks for a storm, and in one, for its end.
    sum: f64,
    stormy: bool,
    /// The sum at which it is believed.
    threshold: f64,
}

/// Shares below this are ordinary whatever was usual: a quiet day's single retry is no doubling.
const LEAST: f64 = 0.1;
/// A storm is this many times the usual share, and at least so much.
const TIMES: f64 = 3.0;
const STORMY: f64 = 0.4;
/// What was usual is learnt over about so many events.
const MEMORY: f64 = 20_000.0;
/// A new watch takes itself to have seen so many ordinary events: a router that starts into a storm would learn that as
/// usual otherwise, and with many more one that starts into many honest retries would take them for a storm.
const BEFORE: f64 = 100.0;

impl Share {
    fn new(threshold: f64) -> Self {
        Share { usual: 0.0, seen: 0, sum: 0.0, stormy: false, threshold }
    }

    /// The shares that are told apart.
    fn both(&self) -> (f64, f64) {
        let calm = (1.5 * self.usual).clamp(LEAST, 0.6);
        (calm, (TIMES * calm).clamp(STORMY, 0.9))
    }

    /// `true` where a storm begins or ends with this.
    fn note(&mut self, hit: bool) -> bool {
        let (calm, stormy) = self.both();
        let speaks = if hit { (stormy / calm).ln() } else { ((1.0 - stormy) / (1.0 - calm)).ln() };
        let speaks = if self.stormy { -speaks } else { speaks };
        self.sum = (self.sum + speaks).max(0.0);
        if !self.stormy {
            // It is learnt only as far as it speaks for no storm.
            self.seen += 1;
            let weight = (1.0 / (self.seen as f64 + BEFORE)).max(1.0 / MEMORY);
            let hit = f64::from(u8::from(hit && self.sum < self.threshold / 2.0));
            self.usual += weight * (hit - self.usual);
        }
        // An end is believed sooner than a beginning: it costs nothing but the limits' return.
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
    /// Clients ask again what failed or was refused.
    LaterTries,
    /// Most of what is asked can't be served.
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

/// Watches one router's traffic.
pub struct Watch {
    later: Share,
    refused: Share,
    /// When each began.
    since: [Option<f64>; 2],
    last: f64,
    changes: Vec<Change>,
}

/// Seconds of silence that end any storm: nobody is left to come back.
const SILENCE: f64 = 10.0;
/// Events in a day of a busy router; a threshold grows with their logarithm only.
const EVENTS_A_DAY: f64 = 1e8;
/// Changes kept for who asks.
const MOST_CHANGES: usize = 16;

impl Watch {
    pub fn new(false_alarms_per_day: f64, now: f64) -> Self {
        // Each event begins a test that is wrong with a chance of at most exp(-threshold).
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

    /// The storm there is. Refusals alone are an overload, which the decisions deal with: it is a storm where clients
    /// come again, or for as long as they can't tell us that they do.
    pub fn storm(&self) -> Option<Storm> {
        let of = |n: usize, sign| self.since[n].map(|since| Storm { since, sign });
        of(0, Sign::LaterTries).or(of(1, Sign::Refusals))
    }

    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }
}

//! Detects retry storms. A storm is distinguished from an ordinary rise of the load by the kind of traffic and
//! not by its volume: by the share of retries among statements and of refusals among answers. Each share is watched
//! with Page's CUSUM test (1954) for a Bernoulli variable; the threshold follows from the accepted number of
//! false alarms per day (Wald's bound).

/// Events per second, as an exponential average over `window` seconds.
#[derive(Clone, Debug)]
pub struct Rate {
    window: f64,
    value: f64,
    updated_at: f64,
}

impl Rate {
    pub fn new(window: f64, now: f64) -> Self {
        Rate { window, value: 0.0, updated_at: now }
    }

    fn decay(&mut self, now: f64) {
        let elapsed = (now - self.updated_at).max(0.0);
        self.value *= (-elapsed / self.window).exp();
        self.updated_at = self.updated_at.max(now);
    }

    pub fn record(&mut self, now: f64) {
        self.decay(now);
        self.value += 1.0 / self.window;
    }

    pub fn per_second(&mut self, now: f64) -> f64 {
        self.decay(now);
        self.value
    }
}

/// Detects a change of one share.
#[derive(Clone, Debug)]
struct ShareDetector {
    /// The usual share, learnt slowly and only outside storms.
    baseline: f64,
    event_count: u64,
    /// The evidence for a storm or, during one, for its end.
    evidence: f64,
    in_storm: bool,
    /// The evidence at which a change is accepted.
    threshold: f64,
}

/// Shares below this never count as a storm: on a quiet day, a single retry would double the usual share.
const MIN_CALM_SHARE: f64 = 0.1;
/// The share in a storm is at least this multiple of the usual one, and at least `MIN_STORM_SHARE`.
const STORM_FACTOR: f64 = 3.0;
const MIN_STORM_SHARE: f64 = 0.4;
/// The number of events over which the usual share is averaged.
const BASELINE_EVENTS: f64 = 20_000.0;
/// The number of ordinary events that a new detector assumes to have seen. With fewer, a router that starts
/// during a storm would learn its share as usual; with many more, a router that starts among many ordinary
/// retries would take them for a storm.
const ASSUMED_EVENTS: f64 = 100.0;

impl ShareDetector {
    fn new(threshold: f64) -> Self {
        ShareDetector { baseline: 0.0, event_count: 0, evidence: 0.0, in_storm: false, threshold }
    }

    /// The usual share and the storm share between which the test decides.
    fn hypotheses(&self) -> (f64, f64) {
        let calm_share = (1.5 * self.baseline).clamp(MIN_CALM_SHARE, 0.6);
        (calm_share, (STORM_FACTOR * calm_share).clamp(MIN_STORM_SHARE, 0.9))
    }

    /// Returns `true` if a storm begins or ends with this event.
    fn record(&mut self, hit: bool) -> bool {
        let (calm_share, storm_share) = self.hypotheses();
        let log_ratio = if hit {
            (storm_share / calm_share).ln()
        } else {
            ((1.0 - storm_share) / (1.0 - calm_share)).ln()
        };
        let log_ratio = if self.in_storm { -log_ratio } else { log_ratio };
        self.evidence = (self.evidence + log_ratio).max(0.0);
        if !self.in_storm {
            // Counted only while the evidence for a storm is low, so that the share of a storm is not learnt as usual.
            self.event_count += 1;
            let weight = (1.0 / (self.event_count as f64 + ASSUMED_EVENTS)).max(1.0 / BASELINE_EVENTS);
            let hit = f64::from(u8::from(hit && self.evidence < self.threshold / 2.0));
            self.baseline += weight * (hit - self.baseline);
        }
        // The end needs less evidence than the beginning: after a wrong end, the limits only start again.
        let needed = if self.in_storm { self.threshold / 2.0 } else { self.threshold };
        if self.evidence < needed {
            return false;
        }
        (self.in_storm, self.evidence) = (!self.in_storm, 0.0);
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
pub struct StormChange {
    pub at: f64,
    pub sign: Sign,
    pub begins: bool,
}

/// Detects storms in the traffic of one router.
pub struct StormDetector {
    retries: ShareDetector,
    refusals: ShareDetector,
    /// When the storm of each sign began.
    since: [Option<f64>; 2],
    last_event_at: f64,
    changes: Vec<StormChange>,
}

/// Seconds without traffic that end any storm, because then no client is left that could return.
const SILENCE_SECONDS: f64 = 10.0;
/// Events per day of a busy router; the threshold grows only with their logarithm.
const EVENTS_PER_DAY: f64 = 1e8;
/// The number of changes kept until they are read.
const MAX_CHANGES: usize = 16;

impl StormDetector {
    pub fn new(false_alarms_per_day: f64, now: f64) -> Self {
        // Each event starts a test whose false-alarm probability is at most exp(-threshold).
        let threshold = (EVENTS_PER_DAY / false_alarms_per_day.max(1e-6)).ln();
        StormDetector {
            retries: ShareDetector::new(threshold),
            refusals: ShareDetector::new(threshold),
            since: [None; 2],
            last_event_at: now,
            changes: Vec::new(),
        }
    }

    pub fn record_request(&mut self, now: f64, is_retry: bool) {
        self.end_after_silence(now);
        if self.retries.record(is_retry) {
            self.toggle_storm(now, Sign::LaterTries);
        }
    }

    pub fn record_answer(&mut self, now: f64, completed: bool) {
        self.end_after_silence(now);
        if self.refusals.record(!completed) {
            self.toggle_storm(now, Sign::Refusals);
        }
    }

    fn end_after_silence(&mut self, now: f64) {
        if now > self.last_event_at + SILENCE_SECONDS {
            for (sign, index) in [(Sign::LaterTries, 0), (Sign::Refusals, 1)] {
                let detector = if index == 0 { &mut self.retries } else { &mut self.refusals };
                detector.evidence = 0.0;
                if std::mem::take(&mut detector.in_storm) {
                    self.toggle_storm(now, sign);
                }
            }
        }
        self.last_event_at = self.last_event_at.max(now);
    }

    fn toggle_storm(&mut self, now: f64, sign: Sign) {
        let since = &mut self.since[usize::from(sign == Sign::Refusals)];
        let begins = since.is_none();
        *since = begins.then_some(now);
        if self.changes.len() < MAX_CHANGES {
            self.changes.push(StormChange { at: now, sign, begins });
        }
    }

    /// The current storm. Refusals alone mean an overload, which the policy handles; they count as a storm
    /// because clients may return without marking their retries.
    pub fn storm(&self) -> Option<Storm> {
        let storm_of = |index: usize, sign| self.since[index].map(|since| Storm { since, sign });
        storm_of(0, Sign::LaterTries).or(storm_of(1, Sign::Refusals))
    }

    pub fn take_changes(&mut self) -> Vec<StormChange> {
        std::mem::take(&mut self.changes)
    }
}

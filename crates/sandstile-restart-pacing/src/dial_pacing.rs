//! Decides when a dial may begin. A statement without an idle connection waits for the first one that becomes
//! free, so a delayed dial costs nothing while answers come. Where none has come yet, one dial is always
//! allowed.
use crate::Pace;
use oorandom::Rand64;
use std::collections::BTreeMap;

/// Connections that `Pace::Plainest` opens to each host at the start.
pub const PLAIN_POOL_SIZE: usize = 8;
/// Seconds over which the first dials are spread at random (`Pace::Jitter`).
const JITTER_SECONDS: f64 = 0.5;
/// Dials per second and host, of all routers together (`Pace::Tokens`).
const DIALS_PER_SECOND: f64 = 50.0;
/// Seconds of one router's slot and the largest number of slots in a round; with more routers, several share
/// a slot (`Pace::Slots`).
const SLOT_SECONDS: f64 = 0.02;
const MAX_SLOTS: usize = 25;
/// Seconds per router over which first dials are spread, so that the first handshakes of hundreds of routers
/// do not coincide.
const SPREAD_PER_ROUTER: f64 = 0.002;
/// The longest such spread in seconds.
const MAX_SPREAD: f64 = 1.0;
/// A handshake is slow if it takes this multiple of the fastest one plus a margin in seconds, a sign that many
/// routers dial the host.
const SLOW_FACTOR: f64 = 2.0;
const SLOW_MARGIN: f64 = 0.005;
/// Growth of the window with each fast handshake; small because a router cannot see how many others grow
/// theirs.
const WINDOW_GROWTH: f64 = 0.5;
/// At this window the number of dials in flight is no longer limited.
const UNLIMITED_WINDOW: f64 = 16.0;

/// Seconds within which, at a random time, the next dial follows one that timed out; doubled by each further
/// timeout.
const INITIAL_BACKOFF: f64 = 0.25;
/// The longest backoff in seconds: `MAX_BACKOFF`, or `MAX_BACKOFF_PER_ROUTER` for each router if that is more.
/// Even the slowest host must have time for the handshakes of all routers.
const MAX_BACKOFF: f64 = 1.0;
const MAX_BACKOFF_PER_ROUTER: f64 = 0.05;
/// Seconds until the next dial to a host that refused one: a refusal costs the host nothing.
const REFUSED_PAUSE: f64 = 0.1;

/// How a dial ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DialOutcome {
    /// The connection was ready after this many seconds.
    Connected(f64),
    /// Nothing listens there, or the host has no free connection.
    Refused,
    /// No handshake in time: the host is gone or overloaded, and its work for this dial is lost.
    TimedOut,
}

/// When a requested dial may begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DialDecision {
    Now,
    At(f64),
    /// After one of the dials in flight to this host has ended.
    AfterCurrent,
}

struct HostState {
    /// The number of dials that may be in flight, derived from handshake times.
    window: f64,
    in_flight: usize,
    /// The duration of the fastest handshake, in seconds.
    fastest_handshake: f64,
    /// No dial begins before this time.
    not_before: f64,
    /// Consecutive dials that timed out.
    timeouts: u32,
}

pub struct DialPacer {
    pace: Pace,
    routers: usize,
    slot: usize,
    started_at: f64,
    rng: Rand64,
    hosts: BTreeMap<usize, HostState>,
}

impl DialPacer {
    /// `number` identifies this router among its peers, as far as it is known.
    pub fn new(pace: Pace, routers: usize, number: u64, seed: u64, now: f64) -> DialPacer {
        let routers = routers.max(1);
        let slot = (number % routers.min(MAX_SLOTS) as u64) as usize;
        let rng = Rand64::new(u128::from(seed) ^ u128::from(number) << 64);
        DialPacer { pace, routers, slot, started_at: now, rng, hosts: BTreeMap::new() }
    }

    /// Sets the estimated number of routers that share the hosts, on which spreads and backoffs depend.
    pub fn set_router_count(&mut self, routers: f64) {
        self.routers = routers.max(1.0) as usize;
    }

    /// Connections to open to a new host before any statement needs them.
    pub fn initial_dials(&self) -> usize {
        match self.pace {
            Pace::Plainest => PLAIN_POOL_SIZE,
            _ => 0,
        }
    }

    fn host(&mut self, now: f64, host: usize) -> &mut HostState {
        let spread = match self.pace {
            // Hosts that are discovered later are dialled on demand, one after another.
            _ if now > self.started_at + MAX_SPREAD => 0.0,
            Pace::Jitter => JITTER_SECONDS,
            Pace::Answers => (self.routers as f64 * SPREAD_PER_ROUTER).min(MAX_SPREAD),
            _ => 0.0,
        };
        let (started_at, rng) = (self.started_at, &mut self.rng);
        self.hosts.entry(host).or_insert_with(|| HostState {
            window: 1.0,
            in_flight: 0,
            fastest_handshake: f64::INFINITY,
            not_before: started_at + spread * rng.rand_float(),
            timeouts: 0,
        })
    }

    /// Decides on a dial that is wanted to this host.
    pub fn decide(&mut self, now: f64, host: usize) -> DialDecision {
        let (pace, slot, routers) = (self.pace, self.slot, self.routers);
        let state = self.host(now, host);
        match pace {
            Pace::Plainest => DialDecision::Now,
            Pace::Slots => {
                let round = SLOT_SECONDS * routers.min(MAX_SLOTS) as f64;
                let since_slot = (now - slot as f64 * SLOT_SECONDS).rem_euclid(round);
                match since_slot < SLOT_SECONDS {
                    true => DialDecision::Now,
                    // A little after the slot begins: rounding could otherwise lead to repeated calls.
                    false => DialDecision::At(now + round - since_slot + 1e-4),
                }
            }
            _ if now < state.not_before => DialDecision::At(state.not_before),
            Pace::Answers
                if state.window < UNLIMITED_WINDOW && (state.in_flight + 1) as f64 > state.window =>
            {
                DialDecision::AfterCurrent
            }
            _ => DialDecision::Now,
        }
    }

    pub fn dial_started(&mut self, now: f64, host: usize) {
        let (pace, routers) = (self.pace, self.routers);
        let state = self.host(now, host);
        state.in_flight += 1;
        if pace == Pace::Tokens {
            state.not_before = now.max(state.not_before) + routers as f64 / DIALS_PER_SECOND;
        }
    }

    /// A dial that was started has ended.
    pub fn dial_ended(&mut self, now: f64, host: usize, outcome: DialOutcome) {
        let (pace, max_backoff) = (self.pace, MAX_BACKOFF.max(self.routers as f64 * MAX_BACKOFF_PER_ROUTER));
        let random = self.rng.rand_float();
        let state = self.host(now, host);
        state.in_flight = state.in_flight.saturating_sub(1);
        let mut pause = 0.0;
        match outcome {
            DialOutcome::Connected(duration) => {
                let slow = duration > SLOW_FACTOR * state.fastest_handshake + SLOW_MARGIN;
                state.fastest_handshake = state.fastest_handshake.min(duration);
                state.window = if slow {
                    (state.window / 2.0).max(1.0)
                } else {
                    (state.window + WINDOW_GROWTH).min(UNLIMITED_WINDOW)
                };
                state.timeouts = 0;
            }
            DialOutcome::Refused => pause = REFUSED_PAUSE * (0.5 + random),
            DialOutcome::TimedOut => {
                state.timeouts = (state.timeouts + 1).min(16);
                state.window = 1.0;
                // A random part of the whole backoff: dials that timed out together would otherwise repeat
                // together.
                pause =
                    (INITIAL_BACKOFF * f64::powi(2.0, state.timeouts as i32 - 1)).min(max_backoff) * random;
            }
        }
        if pace == Pace::Answers {
            state.not_before = state.not_before.max(now + pause);
        }
    }

    pub fn forget(&mut self, host: usize) {
        self.hosts.remove(&host);
    }

    pub fn in_flight(&self, host: usize) -> usize {
        self.hosts.get(&host).map_or(0, |state| state.in_flight)
    }

    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }
}

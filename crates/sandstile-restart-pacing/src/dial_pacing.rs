//! Decides when a dial may begin. A statement without an idle connection waits for the first one that becomes
//! free, so a delayed dial costs nothing while answers come. Where none has come yet, one dial is always
//! allowed.
use crate::Pace;
use oorandom::Rand64;
use std::collections::BTreeMap;

/// Connections that `Pace::Plainest` opens to each host at the start.
pub const PLAIN_POOL: usize = 8;
/// Seconds over which the first dials are spread at random (`Pace::Jitter`).
const JITTER: f64 = 0.5;
/// Dials per second and host, of all routers together (`Pace::Tokens`).
const TOKENS: f64 = 50.0;
/// Seconds of one router's slot and the largest number of slots in a round; with more routers, several share
/// a slot (`Pace::Slots`).
const SLOT: f64 = 0.02;
const MOST_SLOTS: usize = 25;
/// Seconds per router over which first dials are spread, so that the first handshakes of hundreds of routers
/// do not coincide.
const EACH: f64 = 0.002;
/// The longest such spread in seconds.
const LONGEST_SPREAD: f64 = 1.0;
/// A handshake is slow, a sign of a crowd at the host, if it takes this multiple of the fastest one plus a
/// margin in seconds.
const SLOW: f64 = 2.0;
const LITTLE: f64 = 0.005;
/// Growth of the window with each fast handshake; small because a router cannot see how many others grow
/// theirs.
const GROWS: f64 = 0.5;
/// At this window the number of dials in flight is no longer limited.
const FREE: f64 = 16.0;

/// Seconds within which, at a random time, the next dial follows one that timed out; doubled by each further
/// timeout.
const LATE: f64 = 0.25;
/// The longest backoff in seconds, and its minimum per router: a host with the slowest handshakes has to get
/// through those of all routers within their backoff.
const LONGEST: f64 = 1.0;
const LONGEST_EACH: f64 = 0.05;
/// Seconds until the next dial to a host that refused one: a refusal costs the host nothing.
const REFUSED: f64 = 0.1;

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

struct Host {
    /// The number of dials that may be in flight, derived from handshake times.
    window: f64,
    under_way: usize,
    /// The duration of the fastest handshake, in seconds.
    quickest: f64,
    /// No dial begins before this time.
    not_before: f64,
    /// Consecutive dials that timed out.
    late: u32,
}

pub struct DialPacer {
    pace: Pace,
    peers: usize,
    slot: usize,
    start: f64,
    chance: Rand64,
    hosts: BTreeMap<usize, Host>,
}

impl DialPacer {
    /// `number` identifies this router among its peers, as far as it is known.
    pub fn new(pace: Pace, peers: usize, number: u64, seed: u64, now: f64) -> DialPacer {
        let peers = peers.max(1);
        let slot = (number % peers.min(MOST_SLOTS) as u64) as usize;
        let chance = Rand64::new(u128::from(seed) ^ u128::from(number) << 64);
        DialPacer { pace, peers, slot, start: now, chance, hosts: BTreeMap::new() }
    }

    /// Sets the estimated number of routers that share the hosts, on which spreads and backoffs depend.
    pub fn set_router_count(&mut self, routers: f64) {
        self.peers = routers.max(1.0) as usize;
    }

    /// Connections to open to a new host before any statement needs them.
    pub fn initial_dials(&self) -> usize {
        match self.pace {
            Pace::Plainest => PLAIN_POOL,
            _ => 0,
        }
    }

    fn host(&mut self, now: f64, host: usize) -> &mut Host {
        let spread = match self.pace {
            // Hosts that are discovered later are dialled on demand, one after another.
            _ if now > self.start + LONGEST_SPREAD => 0.0,
            Pace::Jitter => JITTER,
            Pace::Answers => (self.peers as f64 * EACH).min(LONGEST_SPREAD),
            _ => 0.0,
        };
        let (start, chance) = (self.start, &mut self.chance);
        self.hosts.entry(host).or_insert_with(|| Host {
            window: 1.0,
            under_way: 0,
            quickest: f64::INFINITY,
            not_before: start + spread * chance.rand_float(),
            late: 0,
        })
    }

    /// Decides on a dial that is wanted to this host.
    pub fn decide(&mut self, now: f64, host: usize) -> DialDecision {
        let (pace, slot, peers) = (self.pace, self.slot, self.peers);
        let h = self.host(now, host);
        match pace {
            Pace::Plainest => DialDecision::Now,
            Pace::Slots => {
                let round = SLOT * peers.min(MOST_SLOTS) as f64;
                let into = (now - slot as f64 * SLOT).rem_euclid(round);
                match into < SLOT {
                    true => DialDecision::Now,
                    // A little after the slot begins: rounding could otherwise lead to repeated calls.
                    false => DialDecision::At(now + round - into + 1e-4),
                }
            }
            _ if now < h.not_before => DialDecision::At(h.not_before),
            Pace::Answers if h.window < FREE && (h.under_way + 1) as f64 > h.window => {
                DialDecision::AfterCurrent
            }
            _ => DialDecision::Now,
        }
    }

    pub fn dial_started(&mut self, now: f64, host: usize) {
        let (pace, peers) = (self.pace, self.peers);
        let h = self.host(now, host);
        h.under_way += 1;
        if pace == Pace::Tokens {
            h.not_before = now.max(h.not_before) + peers as f64 / TOKENS;
        }
    }

    /// A dial that was started has ended.
    pub fn dial_ended(&mut self, now: f64, host: usize, came: DialOutcome) {
        let (pace, longest) = (self.pace, LONGEST.max(self.peers as f64 * LONGEST_EACH));
        let chance = self.chance.rand_float();
        let h = self.host(now, host);
        h.under_way = h.under_way.saturating_sub(1);
        let mut pause = 0.0;
        match came {
            DialOutcome::Connected(took) => {
                let slow = took > SLOW * h.quickest + LITTLE;
                h.quickest = h.quickest.min(took);
                h.window = if slow { (h.window / 2.0).max(1.0) } else { (h.window + GROWS).min(FREE) };
                h.late = 0;
            }
            DialOutcome::Refused => pause = REFUSED * (0.5 + chance),
            DialOutcome::TimedOut => {
                h.late = (h.late + 1).min(16);
                h.window = 1.0;
                // A random part of the whole backoff: dials that timed out together would otherwise repeat
                // together.
                pause = (LATE * f64::powi(2.0, h.late as i32 - 1)).min(longest) * chance;
            }
        }
        if pace == Pace::Answers {
            h.not_before = h.not_before.max(now + pause);
        }
    }

    pub fn forget(&mut self, host: usize) {
        self.hosts.remove(&host);
    }

    pub fn under_way(&self, host: usize) -> usize {
        self.hosts.get(&host).map_or(0, |h| h.under_way)
    }

    pub fn held(&self) -> usize {
        self.hosts.len()
    }
}

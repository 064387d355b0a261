//! When a dial may begin. A statement that finds no idle link waits for the first that is free, so that a dial held back
//! costs nothing where answers come; where none comes yet, one dial is always allowed.
use crate::Pace;
use oorandom::Rand64;
use std::collections::BTreeMap;

/// Links that a plain pool opens to each host at its start.
pub const PLAIN_POOL: usize = 8;
/// Seconds over which first dials are spread by chance.
const JITTER: f64 = 0.5;
/// Dials a second and host of all routers together.
const TOKENS: f64 = 50.0;
/// Seconds of one router's turn, and how many turns make a round at most: beyond, several share one.
const SLOT: f64 = 0.02;
const MOST_SLOTS: usize = 25;
/// Seconds a router by which first dials are spread, so that the first handshakes of hundreds do not meet.
const EACH: f64 = 0.002;
/// And the longest that one router waits for it.
const LONGEST_SPREAD: f64 = 1.0;
/// A handshake that takes so many times the quickest, and a little, tells of a crowd at that host.
const SLOW: f64 = 2.0;
const LITTLE: f64 = 0.005;
/// Each quick handshake lets so much more go at once: a router cannot see how many others do the same.
const GROWS: f64 = 0.5;
/// So many at once are no matter any more.
const FREE: f64 = 16.0;

/// Seconds within which the next dial comes after one that was too late, by chance; twice as many with each further one.
const LATE: f64 = 0.25;
/// At the longest a second, or so many a router where that is more: a host that takes the longest to greet one has to greet
/// them all within their time.
const LONGEST: f64 = 1.0;
const LONGEST_EACH: f64 = 0.05;
/// A host that refuses is asked again after so long: a refusal costs it nothing.
const REFUSED: f64 = 0.1;

/// How a dial ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DialOutcome {
    /// Greeted, after so many seconds.
    Connected(f64),
    /// Nobody is there, or the host has no place.
    Refused,
    /// Nothing came in time: a host that has gone, or one with a crowd before it, whose work for this dial is lost.
    TimedOut,
}

/// When a dial that is wanted may begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DialDecision {
    Now,
    At(f64),
    /// Once one that is under way at this host has ended.
    AfterCurrent,
}

struct Host {
    /// How many may be under way, as far as its handshakes have told.
    window: f64,
    under_way: usize,
    /// Seconds of its quickest handshake.
    quickest: f64,
    /// No dial before that.
    not_before: f64,
    /// Dials that were too late, one after the other.
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
    /// `number` tells this router from its peers, as far as that is known.
    pub fn new(pace: Pace, peers: usize, number: u64, seed: u64, now: f64) -> DialPacer {
        let peers = peers.max(1);
        let slot = (number % peers.min(MOST_SLOTS) as u64) as usize;
        let chance = Rand64::new(u128::from(seed) ^ u128::from(number) << 64);
        DialPacer { pace, peers, slot, start: now, chance, hosts: BTreeMap::new() }
    }

    /// So many routers share the hosts, as lived: pauses and spreads that follow how many there are follow that.
    pub fn set_router_count(&mut self, routers: f64) {
        self.peers = routers.max(1.0) as usize;
    }

    /// Links to open to a host that has just become known, beside what statements want.
    pub fn initial_dials(&self) -> usize {
        match self.pace {
            Pace::Plainest => PLAIN_POOL,
            _ => 0,
        }
    }

    fn host(&mut self, now: f64, host: usize) -> &mut Host {
        let spread = match self.pace {
            // Hosts that come later are met one by one, as need has it.
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

    /// A dial is wanted at this host.
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
                    // A little into it, or rounding would ask again and again.
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

    /// One that had begun has ended.
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
                // By chance over the whole of it: all that were too late were so at the same time.
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

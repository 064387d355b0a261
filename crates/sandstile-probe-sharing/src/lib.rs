//! Who of many routers probes which host, and when another does it in its place. Nobody owns a duty: each router has a rank for each host
//! by rendezvous hashing, and probes once the freshest result that it knows of is older than its rank allows. The first in rank so
//! probes at the usual pace; if it dies, stands still or is cut off, the second takes over a step later, by what it does not hear and
//! by nothing else. Overlaps are allowed, gaps are not. Pure: no socket, no clock; times are seconds of the caller's.
mod ranks;
mod warnings;

pub use ranks::ranks;
use std::collections::{BTreeMap, BTreeSet};
pub use warnings::Warnings;

/// What a probe told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// Nothing, in its time.
    NoAnswer,
    /// It answers, and is not primary.
    NotPrimary,
    Primary,
}

#[derive(Clone, Copy, Debug)]
pub struct ProbeSharingSettings {
    /// Seconds between the probes of the first in rank.
    pub interval: f64,
    /// Seconds more for each rank behind it.
    pub step: f64,
    /// Seconds after which a router looks itself, whatever others say: whoever lies keeps nobody blind for longer.
    pub own: f64,
}

impl Default for ProbeSharingSettings {
    fn default() -> Self {
        ProbeSharingSettings { interval: 0.2, step: 0.3, own: 1.5 }
    }
}

impl ProbeSharingSettings {
    /// No host that everybody wants probed goes unprobed for longer than this and the asker's own pace: the last in rank looks itself.
    pub fn longest_gap(&self) -> f64 {
        self.own
    }
}

/// Seconds for which a rank has to stand before it excuses this router from more than the former one did.
const STANDS: f64 = 2.0;
/// Routers and hosts that are reckoned with; those beyond are everybody's own.
const MOST: usize = 1024;

/// A result, by whom and when.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Result {
    at: f64,
    told: ProbeResult,
}

#[derive(Clone, Copy, Debug, Default)]
struct Host {
    /// By this router itself.
    own: Option<Result>,
    /// The freshest of another's, and the freshest of another's that named it primary.
    others: Option<Result>,
    good: Option<f64>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Probes that this router was excused from, and made.
    pub spared: u64,
    pub made: u64,
    /// Results of a former life, or older than one that its author told before.
    pub late: u64,
}

pub struct ProbeSharing {
    own: String,
    settings: ProbeSharingSettings,
    there: BTreeSet<String>,
    hosts: BTreeMap<String, Host>,
    /// This router's rank for each host now, and the one before it until when.
    ranks: BTreeMap<String, usize>,
    before: BTreeMap<String, usize>,
    before_until: f64,
    stale: bool,
    /// The last word of each author on each host: its life and number.
    heard: BTreeMap<(String, String), (u64, u64)>,
    counts: Counts,
}

impl ProbeSharing {
    pub fn new(own: &str, settings: ProbeSharingSettings) -> ProbeSharing {
        ProbeSharing {
            own: own.to_string(),
            settings,
            there: BTreeSet::new(),
            hosts: BTreeMap::new(),
            ranks: BTreeMap::new(),
            before: BTreeMap::new(),
            before_until: f64::NEG_INFINITY,
            stale: false,
            heard: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// These others can be heard now.
    pub fn set_reachable_peers(&mut self, now: f64, there: &BTreeSet<String>) {
        if *there != self.there {
            self.there = there.iter().filter(|n| **n != self.own).take(MOST).cloned().collect();
            self.changes(now);
        }
    }

    /// Ranks are to be reckoned anew. The better of the former and the new one holds for a while: whoever another would have taken over
    /// from may not know of it yet, or be wrong.
    fn changes(&mut self, now: f64) {
        if !self.stale {
            if now >= self.before_until {
                self.before = std::mem::take(&mut self.ranks);
            } else {
                for (host, rank) in std::mem::take(&mut self.ranks) {
                    let before = self.before.entry(host).or_insert(rank);
                    *before = (*before).min(rank);
                }
            }
        }
        self.before_until = now + STANDS;
        self.stale = true;
    }

    fn rank(&mut self, now: f64, host: &str) -> usize {
        if self.stale {
            self.stale = false;
            let hosts: Vec<&str> = self.hosts.keys().map(String::as_str).collect();
            self.ranks = ranks(&self.own, &self.there, &hosts);
        }
        let rank = self.ranks.get(host).copied().unwrap_or(0);
        match now < self.before_until {
            true => self.before.get(host).map_or(rank, |before| rank.min(*before)),
            false => rank,
        }
    }

    fn host(&mut self, now: f64, host: &str) {
        if !self.hosts.contains_key(host) && self.hosts.len() < MOST {
            self.hosts.insert(host.to_string(), Host::default());
            self.changes(now);
        }
    }

    /// Whether this router is to probe the host that its decisions want probed now.
    pub fn should_probe(&mut self, now: f64, host: &str) -> bool {
        self.host(now, host);
        let rank = self.rank(now, host);
        let Some(h) = self.hosts.get(host) else { return true };
        let own = h.own.map_or(f64::NEG_INFINITY, |r| r.at);
        let known = h.others.map_or(own, |r| own.max(r.at));
        let patience = self.settings.interval + self.settings.step * rank as f64;
        // Good news are seen with own eyes at once; nobody is used again on another's word.
        let good = h.good.is_some_and(|at| at > own);
        let probes = good || now >= own + self.settings.own || now >= known + patience;
        match probes {
            true => self.counts.made += 1,
            false => self.counts.spared += 1,
        }
        probes
    }

    /// A probe of this router's own has ended.
    pub fn record_own_probe(&mut self, now: f64, host: &str, told: ProbeResult) {
        self.host(now, host);
        if let Some(h) = self.hosts.get_mut(host) {
            h.own = Some(Result { at: now, told });
        }
    }

    /// What another's probe told, and when that was, by this router's clock and with the age that it had. A result of a former life, or
    /// one older than what its author told before, is of no use; how it came is no matter.
    pub fn record_peer_probe(
        &mut self,
        by: &str,
        generation: u64,
        version: u64,
        host: &str,
        at: f64,
        told: ProbeResult,
    ) {
        if by == self.own {
            return;
        }
        let key = (by.to_string(), host.to_string());
        if self.heard.get(&key).is_some_and(|last| (generation, version) <= *last) {
            self.counts.late += 1;
            return;
        }
        if self.heard.len() >= MOST * 16 {
            self.heard.pop_first();
        }
        self.heard.insert(key, (generation, version));
        let Some(h) = self.hosts.get_mut(host) else { return };
        if h.others.is_none_or(|r| r.at < at) {
            h.others = Some(Result { at, told });
        }
        if told == ProbeResult::Primary {
            h.good = Some(h.good.map_or(at, |good| good.max(at)));
        }
    }

    /// Hosts that nobody lists any more.
    pub fn keep(&mut self, now: f64, listed: impl Fn(&str) -> bool) {
        let before = self.hosts.len();
        self.hosts.retain(|host, _| listed(host));
        self.heard.retain(|(_, host), _| listed(host));
        if self.hosts.len() != before {
            self.changes(now);
        }
    }
}

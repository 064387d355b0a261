//! Decides which router probes which host, and when another takes over. Each router has a rank for each host by
//! rendezvous hashing and probes once the latest result that it knows is older than its rank allows. The first in
//! rank therefore probes at the usual interval. If it dies, stalls or is unreachable, the second takes over one step
//! later, only because no results arrive. Overlaps are acceptable, gaps are not. No I/O and no clock: times are
//! seconds on the caller's clock.
mod ranks;
mod warnings;

pub use ranks::ranks;
use std::collections::{BTreeMap, BTreeSet};
pub use warnings::Warnings;

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// No answer within the timeout.
    NoAnswer,
    /// It answers and is not primary.
    NotPrimary,
    Primary,
}

#[derive(Clone, Copy, Debug)]
pub struct ProbeSharingSettings {
    /// Seconds between the probes of the first router in rank.
    pub interval: f64,
    /// Additional seconds for each further rank.
    pub step: f64,
    /// Seconds after which a router probes itself whatever others report, so false results hide a host for no longer
    /// than this.
    pub max_own_interval: f64,
}

impl Default for ProbeSharingSettings {
    fn default() -> Self {
        ProbeSharingSettings { interval: 0.2, step: 0.3, max_own_interval: 1.5 }
    }
}

impl ProbeSharingSettings {
    /// Maximum seconds without a probe of a host that all routers want probed, apart from the interval at which the
    /// caller asks: then even the last in rank probes.
    pub fn longest_gap(&self) -> f64 {
        self.max_own_interval
    }
}

/// Seconds after a change during which a worse rank does not take effect.
const RANK_TRANSITION_SECONDS: f64 = 2.0;
/// Maximum routers and hosts that are tracked. Every router probes the hosts beyond this itself.
const MAX_MEMBERS: usize = 1024;

/// A result and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct TimedResult {
    at: f64,
    result: ProbeResult,
}

#[derive(Clone, Copy, Debug, Default)]
struct Host {
    /// From this router's own probes.
    latest_own: Option<TimedResult>,
    /// The latest result of another router, and the time of the latest one that reported the host as primary.
    latest_by_others: Option<TimedResult>,
    latest_primary_report: Option<f64>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Probes that this router skipped and made.
    pub skipped: u64,
    pub made: u64,
    /// Results of an earlier generation, or older than one that the same router reported before.
    pub outdated: u64,
}

pub struct ProbeSharing {
    own_name: String,
    settings: ProbeSharingSettings,
    reachable_peers: BTreeSet<String>,
    hosts: BTreeMap<String, Host>,
    /// This router's current rank for each host, and the previous ranks with the time until which they count.
    ranks: BTreeMap<String, usize>,
    previous_ranks: BTreeMap<String, usize>,
    previous_ranks_until: f64,
    ranks_outdated: bool,
    /// The latest report of each router on each host: generation and version.
    last_seen: BTreeMap<(String, String), (u64, u64)>,
    counts: Counts,
}

impl ProbeSharing {
    pub fn new(own_name: &str, settings: ProbeSharingSettings) -> ProbeSharing {
        ProbeSharing {
            own_name: own_name.to_string(),
            settings,
            reachable_peers: BTreeSet::new(),
            hosts: BTreeMap::new(),
            ranks: BTreeMap::new(),
            previous_ranks: BTreeMap::new(),
            previous_ranks_until: f64::NEG_INFINITY,
            ranks_outdated: false,
            last_seen: BTreeMap::new(),
            counts: Counts::default(),
        }
    }

    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Sets the peers whose results can arrive now.
    pub fn set_reachable_peers(&mut self, now: f64, reachable_peers: &BTreeSet<String>) {
        if *reachable_peers != self.reachable_peers {
            self.reachable_peers =
                reachable_peers.iter().filter(|n| **n != self.own_name).take(MAX_MEMBERS).cloned().collect();
            self.membership_changed(now);
        }
    }

    /// Marks the ranks for recalculation. For a while the better of the previous and the new rank counts, because the
    /// router that now ranks first may not know it yet, or may see other members.
    fn membership_changed(&mut self, now: f64) {
        if !self.ranks_outdated {
            if now >= self.previous_ranks_until {
                self.previous_ranks = std::mem::take(&mut self.ranks);
            } else {
                for (host, rank) in std::mem::take(&mut self.ranks) {
                    let best = self.previous_ranks.entry(host).or_insert(rank);
                    *best = (*best).min(rank);
                }
            }
        }
        self.previous_ranks_until = now + RANK_TRANSITION_SECONDS;
        self.ranks_outdated = true;
    }

    fn rank(&mut self, now: f64, host: &str) -> usize {
        if self.ranks_outdated {
            self.ranks_outdated = false;
            let hosts: Vec<&str> = self.hosts.keys().map(String::as_str).collect();
            self.ranks = ranks(&self.own_name, &self.reachable_peers, &hosts);
        }
        let rank = self.ranks.get(host).copied().unwrap_or(0);
        match now < self.previous_ranks_until {
            true => self.previous_ranks.get(host).map_or(rank, |previous| rank.min(*previous)),
            false => rank,
        }
    }

    fn track_host(&mut self, now: f64, host: &str) {
        if !self.hosts.contains_key(host) && self.hosts.len() < MAX_MEMBERS {
            self.hosts.insert(host.to_string(), Host::default());
            self.membership_changed(now);
        }
    }

    /// Whether this router should probe a host that its policy wants probed now.
    pub fn should_probe(&mut self, now: f64, host: &str) -> bool {
        self.track_host(now, host);
        let rank = self.rank(now, host);
        let Some(entry) = self.hosts.get(host) else { return true };
        let own_at = entry.latest_own.map_or(f64::NEG_INFINITY, |r| r.at);
        let last_known = entry.latest_by_others.map_or(own_at, |r| own_at.max(r.at));
        let timeout = self.settings.interval + self.settings.step * rank as f64;
        // A reported primary is verified at once by an own probe; a report alone never brings a host back into use.
        let claims_primary = entry.latest_primary_report.is_some_and(|at| at > own_at);
        let due =
            claims_primary || now >= own_at + self.settings.max_own_interval || now >= last_known + timeout;
        match due {
            true => self.counts.made += 1,
            false => self.counts.skipped += 1,
        }
        due
    }

    /// Records the result of an own probe.
    pub fn record_own_probe(&mut self, now: f64, host: &str, result: ProbeResult) {
        self.track_host(now, host);
        if let Some(entry) = self.hosts.get_mut(host) {
            entry.latest_own = Some(TimedResult { at: now, result });
        }
    }

    /// Records the result of another router's probe. `at` is its time on this router's clock, corrected by its age.
    /// Results of an earlier generation, or older than one that the same router reported before, are ignored,
    /// whichever way they arrived.
    pub fn record_peer_probe(
        &mut self,
        source: &str,
        generation: u64,
        version: u64,
        host: &str,
        at: f64,
        result: ProbeResult,
    ) {
        if source == self.own_name {
            return;
        }
        let key = (source.to_string(), host.to_string());
        if self.last_seen.get(&key).is_some_and(|last| (generation, version) <= *last) {
            self.counts.outdated += 1;
            return;
        }
        if self.last_seen.len() >= MAX_MEMBERS * 16 {
            self.last_seen.pop_first();
        }
        self.last_seen.insert(key, (generation, version));
        let Some(entry) = self.hosts.get_mut(host) else { return };
        if entry.latest_by_others.is_none_or(|r| r.at < at) {
            entry.latest_by_others = Some(TimedResult { at, result });
        }
        if result == ProbeResult::Primary {
            entry.latest_primary_report =
                Some(entry.latest_primary_report.map_or(at, |latest| latest.max(at)));
        }
    }

    /// Drops hosts that are no longer listed.
    pub fn retain_listed_hosts(&mut self, now: f64, listed: impl Fn(&str) -> bool) {
        let previous_count = self.hosts.len();
        self.hosts.retain(|host, _| listed(host));
        self.last_seen.retain(|(_, host), _| listed(host));
        if self.hosts.len() != previous_count {
            self.membership_changed(now);
        }
    }
}

//! One router's copy of all facts.
use crate::fact::{Fact, JoinOutcome, Key, Kind, Value, ALL_KINDS};
use crate::tree::{key_range, HashTree};
use imbl::{OrdMap, OrdSet};
use std::collections::BTreeMap;

/// What happened to an incoming fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LearnOutcome {
    New,
    /// The fact, or a newer value, was already known.
    Known,
    /// It contradicts an earlier report of its own writer. Recorded as evidence; the more severe report is kept.
    Conflict,
    /// Rejected: expired, of the wrong type for its kind, or from the future.
    Refused,
}

/// A difference that no merge explains.
#[derive(Clone, Debug, PartialEq)]
pub struct ConflictEvidence {
    pub key: Key,
    pub existing: Value,
    pub received: Value,
    pub at: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub conflicts: u64,
    pub refused: u64,
    /// Facts that were removed because their kind was over its limit.
    pub evicted: u64,
    pub expired: u64,
}

/// Facts this close to expiry are left out of digests as of a time, because copies expire them at slightly different
/// times.
const EXPIRY_MARGIN_SECONDS: f64 = 5.0;
/// Minimum number of seconds for which replaced values are kept.
const HISTORY_SECONDS: f64 = 3.0;
/// Maximum number of recorded conflicts.
const MAX_EVIDENCE: usize = 64;
/// Seconds by which a position may be ahead of the local clock; the clocks of hosts and routers are not trusted to
/// agree more closely.
const MAX_POSITION_LEAD_SECONDS: f64 = 3600.0;
/// Generations are start times in microseconds. One that is more than a day ahead did not come from a clock.
const MAX_GENERATION_LEAD_MICROS: f64 = 86_400.0 * 1e6;

#[derive(Clone)]
pub struct Replica {
    facts: OrdMap<Key, Fact>,
    /// Keys by hash, for comparisons.
    by_hash: OrdMap<u64, Key>,
    tree: HashTree,
    /// Keys in the order of their last change, each with its source: 0 for this router itself.
    change_log: OrdMap<u64, (Key, u32)>,
    last_change: OrdMap<Key, u64>,
    version: u64,
    /// Eviction order by kind: the least severe first, then the oldest.
    eviction_order: BTreeMap<Kind, OrdSet<(u8, u64, Key)>>,
    /// Marks up to this position may have been evicted, so a session that is missing may have been among them.
    pub evicted_up_to: f64,
    max_replica_lag: f64,
    /// Values that were replaced in the last seconds, in two batches of [`HISTORY_SECONDS`] each. They allow
    /// comparing copies as of a moment ago.
    history: [OrdMap<(Key, u64), Fact>; 2],
    history_rotated_at: f64,
    evidence: Vec<ConflictEvidence>,
    counts: Counts,
}

impl Replica {
    /// `max_replica_lag` is in seconds.
    pub fn new(max_replica_lag: f64) -> Replica {
        Replica {
            facts: OrdMap::new(),
            by_hash: OrdMap::new(),
            tree: HashTree::default(),
            change_log: OrdMap::new(),
            last_change: OrdMap::new(),
            version: 0,
            eviction_order: ALL_KINDS.iter().map(|kind| (*kind, OrdSet::new())).collect(),
            evicted_up_to: 0.0,
            max_replica_lag,
            history: [OrdMap::new(), OrdMap::new()],
            history_rotated_at: f64::NEG_INFINITY,
            evidence: Vec::new(),
            counts: Counts::default(),
        }
    }

    pub fn len(&self) -> usize {
        self.facts.len()
    }

    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    pub fn get(&self, key: &Key) -> Option<&Fact> {
        self.facts.get(key)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Fact)> {
        self.facts.iter()
    }

    pub fn tree(&self) -> &HashTree {
        &self.tree
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub fn evidence(&self) -> &[ConflictEvidence] {
        &self.evidence
    }

    /// Equal copies have equal digests.
    pub fn digest(&self) -> u64 {
        self.tree.root()
    }

    /// The version of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    fn eviction_rank(fact: &Fact) -> (u8, u64) {
        let timestamp = match &fact.value {
            Value::SessionMarks(session_marks) => session_marks.latest(),
            Value::Max(highest) => *highest,
            Value::Report(_) => fact.created_at,
        };
        let severity = match &fact.value {
            Value::Report(report) => report.severity,
            _ => 0,
        };
        // The bit patterns of non-negative floats sort like the floats.
        (severity, timestamp.max(0.0).to_bits())
    }

    /// Replaces the stored fact, or removes it for `None`.
    fn replace(&mut self, key: &Key, fact: Option<Fact>, source: u32) {
        let hash = key.hash();
        let previous = self.facts.get(key).cloned();
        let hash_of = |f: &Option<Fact>| f.as_ref().map_or(0, |f| f.hash(key));
        self.tree.update(hash, hash_of(&previous), hash_of(&fact));
        if let Some(eviction_order) = self.eviction_order.get_mut(&key.kind) {
            if let Some(previous) = &previous {
                let (severity, timestamp) = Self::eviction_rank(previous);
                eviction_order.remove(&(severity, timestamp, key.clone()));
            }
            if let Some(fact) = &fact {
                let (severity, timestamp) = Self::eviction_rank(fact);
                eviction_order.insert((severity, timestamp, key.clone()));
            }
        }
        if let (Some(previous), Some(_)) = (&previous, &fact) {
            self.history[0].insert((key.clone(), self.version), previous.clone());
        }
        let before = self.last_change.remove(key);
        if let Some(before) = before {
            self.change_log.remove(&before);
        }
        match fact {
            Some(fact) => {
                self.version += 1;
                self.change_log.insert(self.version, (key.clone(), source));
                self.last_change.insert(key.clone(), self.version);
                self.by_hash.insert(hash, key.clone());
                self.facts.insert(key.clone(), fact);
            }
            None => {
                self.by_hash.remove(&hash);
                self.facts.remove(key);
            }
        }
    }

    fn is_acceptable(&self, key: &Key, fact: &Fact, now: f64) -> bool {
        let too_far_ahead = match &fact.value {
            Value::SessionMarks(session_marks) => {
                session_marks.latest().is_finite() && session_marks.latest() > now + MAX_POSITION_LEAD_SECONDS
            }
            Value::Max(highest) if key.kind == Kind::LogPosition => {
                *highest > now + MAX_POSITION_LEAD_SECONDS
            }
            Value::Max(generation) => *generation > now * 1e6 + MAX_GENERATION_LEAD_MICROS,
            Value::Report(report) => report.generation as f64 > now * 1e6 + MAX_GENERATION_LEAD_MICROS,
        };
        key.is_valid()
            && fact.value.fits(key.kind)
            && !too_far_ahead
            && fact.created_at <= now
            && !fact.is_expired(key.kind, now, self.max_replica_lag)
    }

    /// Merges a fact that this router observed itself.
    pub fn learn(&mut self, now: f64, key: &Key, fact: &Fact) -> LearnOutcome {
        self.learn_from(now, key, fact, 0)
    }

    /// Merges a fact from a source, numbered by the caller. Deltas do not send it back to that source.
    pub fn learn_from(&mut self, now: f64, key: &Key, fact: &Fact, source: u32) -> LearnOutcome {
        if !self.is_acceptable(key, fact, now) {
            self.counts.refused += 1;
            return LearnOutcome::Refused;
        }
        let Some(existing) = self.facts.get(key) else {
            self.replace(key, Some(fact.clone()), source);
            self.evict_excess(key.kind);
            return LearnOutcome::New;
        };
        let (before, mut joined) = (existing.clone(), existing.clone());
        match joined.join(fact) {
            JoinOutcome::Unchanged => {
                if joined.created_at < before.created_at {
                    // Only the creation time moved back; this is not a change for other routers.
                    self.facts.insert(key.clone(), joined);
                }
                LearnOutcome::Known
            }
            JoinOutcome::Changed => {
                self.replace(key, Some(joined), source);
                LearnOutcome::New
            }
            JoinOutcome::Conflict => {
                self.counts.conflicts += 1;
                if self.evidence.len() < MAX_EVIDENCE {
                    let (existing, received) = (before.value.clone(), fact.value.clone());
                    self.evidence.push(ConflictEvidence { key: key.clone(), existing, received, at: now });
                }
                if joined != before {
                    self.replace(key, Some(joined), source);
                }
                LearnOutcome::Conflict
            }
        }
    }

    fn evict_excess(&mut self, kind: Kind) {
        while self
            .eviction_order
            .get(&kind)
            .is_some_and(|eviction_order| eviction_order.len() > kind.max_facts())
        {
            let Some((_, _, key)) = self.eviction_order.get(&kind).and_then(|o| o.get_min().cloned()) else {
                return;
            };
            if let Some(Value::SessionMarks(session_marks)) = self.facts.get(&key).map(|f| &f.value) {
                // An evicted session must not look like one that has written nothing: its reads go to the primary.
                self.evicted_up_to = self.evicted_up_to.max(session_marks.latest());
            }
            self.counts.evicted += 1;
            self.replace(&key, None, 0);
        }
    }

    /// Removes expired facts and returns their number.
    pub fn expire(&mut self, now: f64) -> usize {
        let expired_keys: Vec<Key> = self
            .facts
            .iter()
            .filter(|(k, f)| f.is_expired(k.kind, now, self.max_replica_lag))
            .map(|(k, _)| k.clone())
            .collect();
        expired_keys.iter().for_each(|key| self.replace(key, None, 0));
        if now >= self.history_rotated_at + HISTORY_SECONDS {
            self.history_rotated_at = now;
            self.history[1] = std::mem::take(&mut self.history[0]);
        }
        self.counts.expired += expired_keys.len() as u64;
        expired_keys.len()
    }

    /// Hashes of the keys below one node, each with the hash of its fact, up to `limit` entries.
    pub fn entries_below(&self, level: usize, node: usize, limit: usize) -> Vec<(u64, u64)> {
        let all = self.by_hash.range(key_range(level, node)).take(limit);
        all.filter_map(|(hash, key)| Some((*hash, self.facts.get(key)?.hash(key)))).collect()
    }

    /// Whether at most `limit` facts are below one node.
    pub fn has_at_most_below(&self, level: usize, node: usize, limit: usize) -> bool {
        self.by_hash.range(key_range(level, node)).nth(limit).is_none()
    }

    pub fn get_by_hash(&self, hash: u64) -> Option<(&Key, &Fact)> {
        let key = self.by_hash.get(&hash)?;
        Some((key, self.facts.get(key)?))
    }

    /// The changes after this version, oldest first, each with its version and source.
    pub fn changes(&self, after_version: u64) -> impl Iterator<Item = (u64, u32, &Key, &Fact)> {
        let from = after_version.saturating_add(1);
        self.change_log
            .range(from..)
            .filter_map(|(version, (key, source))| Some((*version, *source, key, self.facts.get(key)?)))
    }

    /// All facts as of now, for use by another thread. Shares the data and leaves out what only comparisons need.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            facts: self.facts.clone(),
            change_log: self.change_log.clone(),
            version: self.version,
            max_replica_lag: self.max_replica_lag,
            history: self.history.clone(),
        }
    }

    pub fn digest_as_of(&self, at: f64) -> u64 {
        self.snapshot().digest_as_of(at)
    }
}

/// The contents of a copy at one moment.
#[derive(Clone)]
pub struct Snapshot {
    facts: OrdMap<Key, Fact>,
    change_log: OrdMap<u64, (Key, u32)>,
    version: u64,
    max_replica_lag: f64,
    history: [OrdMap<(Key, u64), Fact>; 2],
}

impl Snapshot {
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Fact)> {
        self.facts.iter()
    }

    /// The version of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The changes after this version, oldest first.
    pub fn changes(&self, after_version: u64) -> impl Iterator<Item = (&Key, &Fact)> {
        self.change_log
            .range(after_version.saturating_add(1)..)
            .filter_map(|(_, (key, _))| Some((key, self.facts.get(key)?)))
    }

    /// Sum of the hashes of all facts as of a time a few seconds ago, judged by the facts' own timestamps and without
    /// facts that are about to expire. Copies that have received the same facts up to then have the same digest,
    /// whatever is in transit now.
    pub fn digest_as_of(&self, at: f64) -> u64 {
        let timestamp = |key: &Key, fact: &Fact| match &fact.value {
            Value::SessionMarks(session_marks) => (session_marks.latest(), self.max_replica_lag),
            Value::Max(highest) if key.kind == Kind::LogPosition => (*highest, self.max_replica_lag),
            _ => (fact.created_at, key.kind.lifetime()),
        };
        let is_included = |key: &Key, fact: &Fact| {
            let (timestamp, lifetime) = timestamp(key, fact);
            timestamp <= at && timestamp + lifetime >= at + EXPIRY_MARGIN_SECONDS
        };
        // Facts that changed since then count with their last value that is old enough.
        let mut earlier: BTreeMap<&Key, &Fact> = BTreeMap::new();
        for ((key, _), fact) in self.history[1].iter().chain(&self.history[0]) {
            if self.facts.get(key).is_some_and(|now| timestamp(key, now).0 > at) && is_included(key, fact) {
                earlier.insert(key, fact);
            }
        }
        let earlier_sum =
            earlier.iter().fold(0, |hash_sum: u64, (key, fact)| hash_sum.wrapping_add(fact.hash(key)));
        let current = self.facts.iter().filter(|(key, fact)| is_included(key, fact));
        current.fold(earlier_sum, |hash_sum: u64, (key, fact)| hash_sum.wrapping_add(fact.hash(key)))
    }
}

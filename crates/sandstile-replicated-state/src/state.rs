//! One copy of all facts.
use crate::fact::{Fact, Joined, Key, Kind, Value, KINDS};
use crate::tree::{range, Tree};
use imbl::{OrdMap, OrdSet};
use std::collections::BTreeMap;

/// What became of a fact that came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    New,
    /// It was known, or more was.
    Known,
    /// It contradicts what its own writer said: kept as evidence, the more careful stands.
    Conflict,
    /// Of no use: over already, of a sort that its kind does not have, or from the future.
    Refused,
}

/// A difference that no merge explains.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    pub key: Key,
    pub held: Value,
    pub came: Value,
    pub at: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub conflicts: u64,
    pub refused: u64,
    /// Facts that were given up for want of room.
    pub evicted: u64,
    pub expired: u64,
}

/// Seconds before its end for which a fact stands in no comparison as of a time: copies let go of it at times that differ.
const NEARLY_OVER: f64 = 5.0;
/// Seconds for which what stood before a change is kept, at the least.
const FORMERS: f64 = 3.0;
/// Evidence that is kept at the most.
const MOST_EVIDENCE: usize = 64;
/// Seconds by which a position may be ahead of our clock; hosts' clocks and ours are no better than that.
const AHEAD: f64 = 3600.0;
/// A life counts microseconds; one that is ahead by more than a day was drawn by no clock.
const LIFE_AHEAD: f64 = 86_400.0 * 1e6;

#[derive(Clone)]
pub struct Replica {
    facts: OrdMap<Key, Fact>,
    /// Keys by their hashes, for what is compared.
    by_hash: OrdMap<u64, Key>,
    tree: Tree,
    /// Keys in the order of their last change, with who told of it: 0 for this router itself.
    log: OrdMap<u64, (Key, u32)>,
    changed: OrdMap<Key, u64>,
    version: u64,
    /// By kind, what goes first: what is least careful, then what is oldest.
    order: BTreeMap<Kind, OrdSet<(u8, u64, Key)>>,
    /// Marks of at most this position were given up: whoever is not found may have been among them.
    pub lost_to: f64,
    horizon: f64,
    /// What stood before the changes of the last seconds, in two turns: what a copy was a moment ago is compared, not what it is.
    formers: [OrdMap<(Key, u64), Fact>; 2],
    turned: f64,
    evidence: Vec<Evidence>,
    counts: Counts,
}

impl Replica {
    /// `horizon` in seconds: how far replicas may lag.
    pub fn new(horizon: f64) -> Replica {
        Replica {
            facts: OrdMap::new(),
            by_hash: OrdMap::new(),
            tree: Tree::default(),
            log: OrdMap::new(),
            changed: OrdMap::new(),
            version: 0,
            order: KINDS.iter().map(|kind| (*kind, OrdSet::new())).collect(),
            lost_to: 0.0,
            horizon,
            formers: [OrdMap::new(), OrdMap::new()],
            turned: f64::NEG_INFINITY,
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

    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub fn evidence(&self) -> &[Evidence] {
        &self.evidence
    }

    /// Equal copies have equal ones.
    pub fn digest(&self) -> u64 {
        self.tree.root()
    }

    /// The number of its last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    fn rank(fact: &Fact) -> (u8, u64) {
        let age = match &fact.value {
            Value::SessionMarks(seen) => seen.latest(),
            Value::Max(most) => *most,
            Value::Report(_) => fact.created_at,
        };
        let severity = match &fact.value {
            Value::Report(said) => said.severity,
            _ => 0,
        };
        // Bits of floats above zero sort as the floats do.
        (severity, age.max(0.0).to_bits())
    }

    /// Puts a fact in the place of the one that is there.
    fn place(&mut self, key: &Key, fact: Option<Fact>, by: u32) {
        let hash = key.hash();
        let former = self.facts.get(key).cloned();
        let sum = |f: &Option<Fact>| f.as_ref().map_or(0, |f| f.hash(key));
        self.tree.change(hash, sum(&former), sum(&fact));
        if let Some(order) = self.order.get_mut(&key.kind) {
            if let Some(former) = &former {
                let (severity, age) = Self::rank(former);
                order.remove(&(severity, age, key.clone()));
            }
            if let Some(fact) = &fact {
                let (severity, age) = Self::rank(fact);
                order.insert((severity, age, key.clone()));
            }
        }
        if let (Some(former), Some(_)) = (&former, &fact) {
            self.formers[0].insert((key.clone(), self.version), former.clone());
        }
        let before = self.changed.remove(key);
        if let Some(before) = before {
            self.log.remove(&before);
        }
        match fact {
            Some(fact) => {
                self.version += 1;
                self.log.insert(self.version, (key.clone(), by));
                self.changed.insert(key.clone(), self.version);
                self.by_hash.insert(hash, key.clone());
                self.facts.insert(key.clone(), fact);
            }
            None => {
                self.by_hash.remove(&hash);
                self.facts.remove(key);
            }
        }
    }

    fn usable(&self, key: &Key, fact: &Fact, now: f64) -> bool {
        let ahead = match &fact.value {
            Value::SessionMarks(seen) => seen.latest().is_finite() && seen.latest() > now + AHEAD,
            Value::Max(most) if key.kind == Kind::LogPosition => *most > now + AHEAD,
            Value::Max(generation) => *generation > now * 1e6 + LIFE_AHEAD,
            Value::Report(said) => said.generation as f64 > now * 1e6 + LIFE_AHEAD,
        };
        key.is_valid()
            && fact.value.fits(key.kind)
            && !ahead
            && fact.created_at <= now
            && !fact.over(key.kind, now, self.horizon)
    }

    /// A fact of this router's own.
    pub fn learn(&mut self, now: f64, key: &Key, fact: &Fact) -> Came {
        self.learn_from(now, key, fact, 0)
    }

    /// A fact, and who told of it, by a number of the caller's: it need not be told of it again.
    pub fn learn_from(&mut self, now: f64, key: &Key, fact: &Fact, by: u32) -> Came {
        if !self.usable(key, fact, now) {
            self.counts.refused += 1;
            return Came::Refused;
        }
        let Some(held) = self.facts.get(key) else {
            self.place(key, Some(fact.clone()), by);
            self.make_room(key.kind);
            return Came::New;
        };
        let (before, mut joined) = (held.clone(), held.clone());
        match joined.join(fact) {
            Joined::Same => {
                if joined.created_at < before.created_at {
                    // As old as it was first, and no news to anybody.
                    self.facts.insert(key.clone(), joined);
                }
                Came::Known
            }
            Joined::More => {
                self.place(key, Some(joined), by);
                Came::New
            }
            Joined::Conflict => {
                self.counts.conflicts += 1;
                if self.evidence.len() < MOST_EVIDENCE {
                    let (held, came) = (before.value.clone(), fact.value.clone());
                    self.evidence.push(Evidence { key: key.clone(), held, came, at: now });
                }
                if joined != before {
                    self.place(key, Some(joined), by);
                }
                Came::Conflict
            }
        }
    }

    fn make_room(&mut self, kind: Kind) {
        while self.order.get(&kind).is_some_and(|order| order.len() > kind.most()) {
            let Some((_, _, key)) = self.order.get(&kind).and_then(|o| o.get_min().cloned()) else { return };
            if let Some(Value::SessionMarks(seen)) = self.facts.get(&key).map(|f| &f.value) {
                // Unknown goes to the primary: nobody may be taken for one that has written nothing.
                self.lost_to = self.lost_to.max(seen.latest());
            }
            self.counts.evicted += 1;
            self.place(&key, None, 0);
        }
    }

    /// Lets go of what says nothing any more.
    pub fn forget(&mut self, now: f64) -> usize {
        let over: Vec<Key> = self
            .facts
            .iter()
            .filter(|(k, f)| f.over(k.kind, now, self.horizon))
            .map(|(k, _)| k.clone())
            .collect();
        over.iter().for_each(|key| self.place(key, None, 0));
        if now >= self.turned + FORMERS {
            self.turned = now;
            self.formers[1] = std::mem::take(&mut self.formers[0]);
        }
        self.counts.expired += over.len() as u64;
        over.len()
    }

    /// Hashes of the keys below one node, each with that of its fact; so many at the most.
    pub fn below(&self, level: usize, node: usize, most: usize) -> Vec<(u64, u64)> {
        let all = self.by_hash.range(range(level, node)).take(most);
        all.filter_map(|(hash, key)| Some((*hash, self.facts.get(key)?.hash(key)))).collect()
    }

    /// Whether no more than so many facts are below one node.
    pub fn few_below(&self, level: usize, node: usize, few: usize) -> bool {
        self.by_hash.range(range(level, node)).nth(few).is_none()
    }

    pub fn by_hash(&self, hash: u64) -> Option<(&Key, &Fact)> {
        let key = self.by_hash.get(&hash)?;
        Some((key, self.facts.get(key)?))
    }

    /// What has changed behind this number, the earliest first, with the number of each and who told of it.
    pub fn changes(&self, behind: u64) -> impl Iterator<Item = (u64, u32, &Key, &Fact)> {
        let from = behind.saturating_add(1);
        self.log
            .range(from..)
            .filter_map(|(version, (key, by))| Some((*version, *by, key, self.facts.get(key)?)))
    }

    /// All facts as they are now, for whoever looks through them elsewhere. Shares them, and leaves out what only comparisons need.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            facts: self.facts.clone(),
            log: self.log.clone(),
            version: self.version,
            horizon: self.horizon,
            formers: self.formers.clone(),
        }
    }

    pub fn digest_as_of(&self, at: f64) -> u64 {
        self.snapshot().digest_as_of(at)
    }
}

/// What a copy held at one time.
#[derive(Clone)]
pub struct Snapshot {
    facts: OrdMap<Key, Fact>,
    log: OrdMap<u64, (Key, u32)>,
    version: u64,
    horizon: f64,
    formers: [OrdMap<(Key, u64), Fact>; 2],
}

impl Snapshot {
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Fact)> {
        self.facts.iter()
    }

    /// The number of its last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What had changed behind this number, the earliest first.
    pub fn changes(&self, behind: u64) -> impl Iterator<Item = (&Key, &Fact)> {
        self.log
            .range(behind.saturating_add(1)..)
            .filter_map(|(_, (key, _))| Some((key, self.facts.get(key)?)))
    }

    /// The sum of all facts as they stood then, by what they say of their own age, those left out that are about to be forgotten: copies
    /// that have heard of the same up to then have the same, whatever is on its way just now. For a time of a few seconds ago.
    pub fn digest_as_of(&self, at: f64) -> u64 {
        let age = |key: &Key, fact: &Fact| match &fact.value {
            Value::SessionMarks(seen) => (seen.latest(), self.horizon),
            Value::Max(most) if key.kind == Kind::LogPosition => (*most, self.horizon),
            _ => (fact.created_at, key.kind.lasts()),
        };
        let counts = |key: &Key, fact: &Fact| {
            let (age, lasts) = age(key, fact);
            age <= at && age + lasts >= at + NEARLY_OVER
        };
        // Of those that have changed since, what they were then: the last that is old enough.
        let mut then: BTreeMap<&Key, &Fact> = BTreeMap::new();
        for ((key, _), fact) in self.formers[1].iter().chain(&self.formers[0]) {
            if self.facts.get(key).is_some_and(|now| age(key, now).0 > at) && counts(key, fact) {
                then.insert(key, fact);
            }
        }
        let former = then.iter().fold(0, |sum: u64, (key, fact)| sum.wrapping_add(fact.hash(key)));
        let some = self.facts.iter().filter(|(key, fact)| counts(key, fact));
        some.fold(former, |sum: u64, (key, fact)| sum.wrapping_add(fact.hash(key)))
    }
}

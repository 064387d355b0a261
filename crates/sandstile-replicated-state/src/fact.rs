//! What is kept: a fact has a key and a value, and two values of one key join. Joins are commutative, associative and idempotent, and
//! never yield less than either: copies that have heard the same hold the same, in whatever order they heard it.
use sandstile_sessions::mark::SessionMarks;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// What a session has seen in a group. Merged by all.
    Mark,
    /// How far a group's log reached under a term, by the answers of its primary. Merged by all.
    LogPosition,
    /// The highest life of an instance that anybody met. Merged by all.
    Generation,
    /// A host's words of itself as one router heard them: who leads. One writer.
    Leader,
    /// A host refuses, drains, is cold, as one router saw it. One writer.
    Refusal,
    Draining,
    Cold,
    /// A storm is under way, as one router sees it. One writer.
    Storm,
    /// What a router's own probe of a host told. One writer.
    Probe,
}

pub const KINDS: [Kind; 9] = [
    Kind::Mark,
    Kind::LogPosition,
    Kind::Generation,
    Kind::Leader,
    Kind::Refusal,
    Kind::Draining,
    Kind::Cold,
    Kind::Storm,
    Kind::Probe,
];

impl Kind {
    pub fn from_code(version: u8) -> Option<Kind> {
        KINDS.get(usize::from(version)).copied()
    }

    pub fn name(self) -> &'static str {
        match self {
            Kind::Mark => "mark",
            Kind::LogPosition => "floor",
            Kind::Generation => "life",
            Kind::Leader => "leads",
            Kind::Refusal => "refuses",
            Kind::Draining => "drains",
            Kind::Cold => "cold",
            Kind::Storm => "storm",
            Kind::Probe => "probed",
        }
    }

    /// Whether one router alone writes each fact of it.
    pub fn has_single_writer(self) -> bool {
        !matches!(self, Kind::Mark | Kind::LogPosition | Kind::Generation)
    }

    /// Seconds for which a fact of it says anything. Marks and floors age by their own positions.
    pub fn lasts(self) -> f64 {
        match self {
            Kind::Mark | Kind::LogPosition => f64::INFINITY,
            // Longer than any router is away with a copy that may be put back.
            Kind::Generation => 30.0 * 86_400.0,
            Kind::Leader | Kind::Draining => 60.0,
            Kind::Refusal | Kind::Cold | Kind::Storm => 15.0,
            Kind::Probe => 5.0,
        }
    }

    /// Facts of it that are kept at the most.
    pub fn most(self) -> usize {
        match self {
            Kind::Mark => 1 << 16,
            Kind::LogPosition => 4096,
            Kind::Generation => 2048,
            Kind::Leader | Kind::Refusal | Kind::Draining | Kind::Cold | Kind::Probe => 8192,
            Kind::Storm => 2048,
        }
    }
}

/// Names are bounded by whoever reads them; a session's is a hash already.
pub const LONGEST_NAME: usize = 64;

/// Kind, subject and, where one router alone writes it, its owner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    pub kind: Kind,
    pub subject: Box<str>,
    pub owner: Box<str>,
}

impl Key {
    /// Of a fact that all merge.
    pub fn shared(kind: Kind, subject: &str) -> Key {
        Key { kind, subject: subject.into(), owner: "".into() }
    }

    pub fn owned(kind: Kind, subject: &str, owner: &str) -> Key {
        Key { kind, subject: subject.into(), owner: owner.into() }
    }

    /// Whether its owner is named just where its kind has one, and names are no longer than they may be.
    pub fn is_valid(&self) -> bool {
        let fits = |name: &str| name.len() <= LONGEST_NAME;
        self.owner.is_empty() != self.kind.has_single_writer()
            && !self.subject.is_empty()
            && fits(&self.subject)
            && fits(&self.owner)
    }

    /// The same on every machine; spreads keys evenly.
    pub fn hash(&self) -> u64 {
        let mut hash = blake3::Hasher::new();
        hash.update(&[self.kind as u8, self.subject.len() as u8]);
        hash.update(self.subject.as_bytes());
        hash.update(self.owner.as_bytes());
        eight(&hash)
    }
}

pub(crate) fn eight(hash: &blake3::Hasher) -> u64 {
    let bytes = hash.finalize();
    u64::from_be_bytes(std::array::from_fn(|n| bytes.as_bytes()[n]))
}

/// What one router says of something, under its life and a number that it raises with each word.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Report {
    pub generation: u64,
    pub version: u64,
    /// How careful it makes whoever hears it: 0 that all is well. Of two words under one number the more careful counts.
    pub severity: u8,
    pub body: Box<str>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    SessionMarks(SessionMarks),
    /// The highest counts: positions, lives.
    Max(f64),
    /// The latest word of its one writer.
    Report(Report),
}

/// What a join came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Joined {
    /// Nothing new.
    Same,
    More,
    /// Two contents under one life and number: no honest writer says both. The more careful stands.
    Conflict,
}

impl Value {
    /// Whether a value can be one of this kind.
    pub fn fits(&self, kind: Kind) -> bool {
        match (self, kind) {
            (Value::SessionMarks(_), Kind::Mark) => true,
            (Value::Max(most), Kind::LogPosition | Kind::Generation) => most.is_finite() && *most >= 0.0,
            (Value::Report(said), kind) => kind.has_single_writer() && said.body.len() <= LONGEST_NAME,
            _ => false,
        }
    }

    /// Takes the other in. Values of two sorts do not join; whoever reads them has refused that before.
    pub fn join(&mut self, other: &Value) -> Joined {
        match (&mut *self, other) {
            (Value::SessionMarks(mine), Value::SessionMarks(theirs)) => {
                let before = mine.clone();
                mine.merge(theirs);
                if *mine == before {
                    Joined::Same
                } else {
                    Joined::More
                }
            }
            (Value::Max(mine), Value::Max(theirs)) if theirs > mine => {
                *mine = *theirs;
                Joined::More
            }
            (Value::Report(mine), Value::Report(theirs)) if theirs != mine => {
                let twice = (theirs.generation, theirs.version) == (mine.generation, mine.version);
                let more = theirs > mine;
                if more {
                    *mine = theirs.clone();
                }
                match (twice, more) {
                    (true, _) => Joined::Conflict,
                    (false, true) => Joined::More,
                    (false, false) => Joined::Same,
                }
            }
            _ => Joined::Same,
        }
    }

    fn digest(&self, hash: &mut blake3::Hasher) {
        match self {
            Value::SessionMarks(SessionMarks::Terms(all)) => {
                hash.update(&[0]);
                for (term, position) in all {
                    hash.update(&term.0.to_be_bytes());
                    hash.update(&position.to_bits().to_be_bytes());
                }
            }
            Value::SessionMarks(SessionMarks::Lost(latest)) => {
                hash.update(&[1]);
                hash.update(&latest.to_bits().to_be_bytes());
            }
            Value::Max(most) => {
                hash.update(&[2]);
                hash.update(&most.to_bits().to_be_bytes());
            }
            Value::Report(said) => {
                hash.update(&[3, said.severity]);
                hash.update(&said.generation.to_be_bytes());
                hash.update(&said.version.to_be_bytes());
                hash.update(said.body.as_bytes());
            }
        }
    }
}

/// A value with its age. The age travels with it as seconds since it came up, so that no clock but the caller's is read and all
/// copies forget it at the same time, but for the time that it was on its way.
#[derive(Clone, Debug, PartialEq)]
pub struct Fact {
    pub value: Value,
    /// When it came up, on the caller's clock.
    pub created_at: f64,
}

impl Fact {
    /// Of a key and value in one number, ages left out: copies that hold the same have the same.
    pub fn hash(&self, key: &Key) -> u64 {
        let mut hash = blake3::Hasher::new();
        hash.update(&key.hash().to_be_bytes());
        self.value.digest(&mut hash);
        eight(&hash)
    }

    /// Whether it says nothing any more. `horizon` is how far replicas may lag: marks and floors of longer ago bind nobody.
    pub fn over(&self, kind: Kind, now: f64, horizon: f64) -> bool {
        match &self.value {
            Value::SessionMarks(seen) => seen.latest() + horizon < now,
            Value::Max(position) if kind == Kind::LogPosition => position + horizon < now,
            _ => self.created_at + kind.lasts() < now,
        }
    }

    /// Joins another of the same key. The same value said again is as old as it was first.
    pub fn join(&mut self, other: &Fact) -> Joined {
        let before = self.value.clone();
        let joined = self.value.join(&other.value);
        if self.value != before {
            self.created_at = if self.value == other.value {
                other.created_at
            } else {
                self.created_at.max(other.created_at)
            };
        } else if self.value == other.value {
            self.created_at = self.created_at.min(other.created_at);
        }
        joined
    }
}

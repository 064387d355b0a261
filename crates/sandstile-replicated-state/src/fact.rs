//! Facts, the unit of replicated state. A fact has a key and a value, and two values of one key join. Joins are
//! commutative, associative and idempotent and never lose information, so copies that have received the same facts in
//! any order are equal.
use sandstile_sessions::mark::SessionMarks;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// What a session has seen in a group. Every router may write it; values merge.
    Mark,
    /// The log position that a group reached in a term, as its primary reported it. Every router may write it; values
    /// merge.
    LogPosition,
    /// The highest generation of an instance that any router has met. Every router may write it; values merge.
    Generation,
    /// A host's own claim to be primary, as one router received it. Single writer.
    Leader,
    /// A host refuses connections, drains or is cold, as one router saw it. Single writer.
    Refusal,
    Draining,
    Cold,
    /// A retry storm is in progress, as one router sees it. Single writer.
    Storm,
    /// The result of a router's own probe of a host. Single writer.
    Probe,
}

pub const ALL_KINDS: [Kind; 9] = [
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
    pub fn from_code(code: u8) -> Option<Kind> {
        ALL_KINDS.get(usize::from(code)).copied()
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

    /// Whether each fact of this kind has a single writer.
    pub fn has_single_writer(self) -> bool {
        !matches!(self, Kind::Mark | Kind::LogPosition | Kind::Generation)
    }

    /// Seconds after which a fact of this kind expires. Marks and log positions expire by their own positions
    /// instead.
    pub fn lifetime(self) -> f64 {
        match self {
            Kind::Mark | Kind::LogPosition => f64::INFINITY,
            // Longer than any router stays down and may then be started with a restored copy.
            Kind::Generation => 30.0 * 86_400.0,
            Kind::Leader | Kind::Draining => 60.0,
            Kind::Refusal | Kind::Cold | Kind::Storm => 15.0,
            Kind::Probe => 5.0,
        }
    }

    /// Maximum number of facts of this kind.
    pub fn max_facts(self) -> usize {
        match self {
            Kind::Mark => 1 << 16,
            Kind::LogPosition => 4096,
            Kind::Generation => 2048,
            Kind::Leader | Kind::Refusal | Kind::Draining | Kind::Cold | Kind::Probe => 8192,
            Kind::Storm => 2048,
        }
    }
}

/// Readers reject longer names. A session's name is a hash and always fits.
pub const MAX_NAME_LENGTH: usize = 64;

/// Kind, subject and, for single-writer kinds, the owner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    pub kind: Kind,
    pub subject: Box<str>,
    pub owner: Box<str>,
}

impl Key {
    /// Key of a fact that every router may write.
    pub fn shared(kind: Kind, subject: &str) -> Key {
        Key { kind, subject: subject.into(), owner: "".into() }
    }

    pub fn owned(kind: Kind, subject: &str, owner: &str) -> Key {
        Key { kind, subject: subject.into(), owner: owner.into() }
    }

    /// Whether an owner is given exactly for single-writer kinds, and all names are within the length limit.
    pub fn is_valid(&self) -> bool {
        let fits = |name: &str| name.len() <= MAX_NAME_LENGTH;
        self.owner.is_empty() != self.kind.has_single_writer()
            && !self.subject.is_empty()
            && fits(&self.subject)
            && fits(&self.owner)
    }

    /// The same on every machine; distributes keys evenly.
    pub fn hash(&self) -> u64 {
        let mut hash = blake3::Hasher::new();
        hash.update(&[self.kind as u8, self.subject.len() as u8]);
        hash.update(self.subject.as_bytes());
        hash.update(self.owner.as_bytes());
        first_u64(&hash)
    }
}

pub(crate) fn first_u64(hash: &blake3::Hasher) -> u64 {
    let bytes = hash.finalize();
    u64::from_be_bytes(std::array::from_fn(|n| bytes.as_bytes()[n]))
}

/// One router's report on a subject, with its generation and a version that it increments with each report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Report {
    pub generation: u64,
    pub version: u64,
    /// 0 means that all is well; higher values make the receiver more careful. Of two reports with the same version
    /// the more severe wins.
    pub severity: u8,
    pub body: Box<str>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    SessionMarks(SessionMarks),
    /// The highest value wins: log positions, generations.
    Max(f64),
    /// The latest report of the only writer.
    Report(Report),
}

/// Result of a join.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinOutcome {
    /// The other value added nothing.
    Unchanged,
    Changed,
    /// Two different contents with the same generation and version, which a correct writer never produces. The more
    /// severe is kept.
    Conflict,
}

impl Value {
    /// Whether the value has the right type and range for this kind.
    pub fn fits(&self, kind: Kind) -> bool {
        match (self, kind) {
            (Value::SessionMarks(_), Kind::Mark) => true,
            (Value::Max(highest), Kind::LogPosition | Kind::Generation) => {
                highest.is_finite() && *highest >= 0.0
            }
            (Value::Report(report), kind) => kind.has_single_writer() && report.body.len() <= MAX_NAME_LENGTH,
            _ => false,
        }
    }

    /// Merges the other value into this one. Values of different types do not join; readers reject them earlier.
    pub fn join(&mut self, other: &Value) -> JoinOutcome {
        match (&mut *self, other) {
            (Value::SessionMarks(mine), Value::SessionMarks(theirs)) => {
                let before = mine.clone();
                mine.merge(theirs);
                if *mine == before {
                    JoinOutcome::Unchanged
                } else {
                    JoinOutcome::Changed
                }
            }
            (Value::Max(mine), Value::Max(theirs)) if theirs > mine => {
                *mine = *theirs;
                JoinOutcome::Changed
            }
            (Value::Report(mine), Value::Report(theirs)) if theirs != mine => {
                let same_version = (theirs.generation, theirs.version) == (mine.generation, mine.version);
                let newer = theirs > mine;
                if newer {
                    *mine = theirs.clone();
                }
                match (same_version, newer) {
                    (true, _) => JoinOutcome::Conflict,
                    (false, true) => JoinOutcome::Changed,
                    (false, false) => JoinOutcome::Unchanged,
                }
            }
            _ => JoinOutcome::Unchanged,
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
            Value::Max(highest) => {
                hash.update(&[2]);
                hash.update(&highest.to_bits().to_be_bytes());
            }
            Value::Report(report) => {
                hash.update(&[3, report.severity]);
                hash.update(&report.generation.to_be_bytes());
                hash.update(&report.version.to_be_bytes());
                hash.update(report.body.as_bytes());
            }
        }
    }
}

/// A value with its age. The age is sent as the number of seconds since creation, so only the caller's clock is read
/// and all copies expire the fact at the same time, apart from transmission delay.
#[derive(Clone, Debug, PartialEq)]
pub struct Fact {
    pub value: Value,
    /// Creation time on the caller's clock.
    pub created_at: f64,
}

impl Fact {
    /// Hash of key and value without the age: equal facts have equal hashes on all copies.
    pub fn hash(&self, key: &Key) -> u64 {
        let mut hash = blake3::Hasher::new();
        hash.update(&key.hash().to_be_bytes());
        self.value.digest(&mut hash);
        first_u64(&hash)
    }

    /// Whether the fact has expired. `max_replica_lag` is in seconds: older marks and log positions constrain no
    /// read.
    pub fn is_expired(&self, kind: Kind, now: f64, max_replica_lag: f64) -> bool {
        match &self.value {
            Value::SessionMarks(session_marks) => session_marks.latest() + max_replica_lag < now,
            Value::Max(position) if kind == Kind::LogPosition => position + max_replica_lag < now,
            _ => self.created_at + kind.lifetime() < now,
        }
    }

    /// Joins another fact of the same key. A repeated value keeps its earliest creation time.
    pub fn join(&mut self, other: &Fact) -> JoinOutcome {
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

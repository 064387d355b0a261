//! What is kept: a fact has a key and a value, and two values of one key join. Joins are commutative, associative and idempotent, and
//! never yield less than either: copies that have heard the same hold the same, in whatever order they heard it.
use sandstile_sessions::mark::Seen;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// What a session has seen in a group. Merged by all.
    Mark,
    /// How far a group's log reached under a term, by the answers of its primary. Merged by all.
    Floor,
    /// The highest life of an instance that anybody met. Merged by all.
    Life,
    /// A host's words of itself as one router heard them: who leads. One writer.
    Leads,
    /// A host refuses, drains, is cold, as one router saw it. One writer.
    Refuses,
    Drains,
    Cold,
    /// A storm is under way, as one router sees it. One writer.
    Storm,
    /// What a router's own probe of a host told. One writer.
    Probed,
}

pub const KINDS: [Kind; 9] = [
    Kind::Mark,
    Kind::Floor,
    Kind::Life,
    Kind::Leads,
    Kind::Refuses,
    Kind::Drains,
    Kind::Cold,
    Kind::Storm,
    Kind::Probed,
];

impl Kind {
    pub fn of(number: u8) -> Option<Kind> {
        KINDS.get(usize::from(number)).copied()
    }

    pub fn word(self) -> &'static str {
        match self {
            Kind::Mark => "mark",
            Kind::Floor => "floor",
            Kind::Life => "life",
            Kind::Leads => "leads",
            Kind::Refuses => "refuses",
            Kind::Drains => "drains",
            Kind::Cold => "cold",
            Kind::Storm => "storm",
            Kind::Probed => "probed",
        }
    }

    /// Whether one router alone writes each fact of it.
    pub fn owned(self) -> bool {
        !matches!(self, Kind::Mark | Kind::Floor | Kind::Life)
    }

    /// Seconds for which a fact of it says anything. Marks and floors age by their own positions.
    pub fn lasts(self) -> f64 {
        match self {
            Kind::Mark | Kind::Floor => f64::INFINITY,
            // Longer than any router is away with a copy that may be put back.
            Kind::Life => 30.0 * 86_400.0,
            Kind::Leads | Kind::Drains => 60.0,
            Kind::Refuses | Kind::Cold | Kind::Storm => 15.0,
            Kind::Probed => 5.0,
        }
    }

    /// Facts of it that are kept at the most.
    pub fn most(self) -> usize {
        match self {
            Kind::Mark => 1 << 16,
            Kind::Floor => 4096,
            Kind::Life => 2048,
            Kind::Leads | Kind::Refuses | Kind::Drains | Kind::Cold | Kind::Probed => 8192,
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
    pub fn of(kind: Kind, subject: &str) -> Key {
        Key { kind, subject: subject.into(), owner: "".into() }
    }

    pub fn owned(kind: Kind, subject: &str, owner: &str) -> Key {
        Key { kind, subject: subject.into(), owner: owner.into() }
    }

    /// Whether its owner is named just where its kind has one, and names are no longer than they may be.
    pub fn sound(&self) -> bool {
        let fits = |name: &str| name.len() <= LONGEST_NAME;
        self.owner.is_empty() != self.kind.owned()
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
pub struct Said {
    pub life: u64,
    pub number: u64,
    /// How careful it makes whoever hears it: 0 that all is well. Of two words under one number the more careful counts.
    pub careful: u8,
    pub body: Box<str>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Seen(Seen),
    /// The highest counts: positions, lives.
    Most(f64),
    /// The latest word of its one writer.
    Said(Said),
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
            (Value::Seen(_), Kind::Mark) => true,
            (Value::Most(most), Kind::Floor | Kind::Life) => most.is_finite() && *most >= 0.0,
            (Value::Said(said), kind) => kind.owned() && said.body.len() <= LONGEST_NAME,
            _ => false,
        }
    }

    /// Takes the other in. Values of two sorts do not join; whoever reads them has refused that before.
    pub fn join(&mut self, other: &Value) -> Joined {
        match (&mut *self, other) {
            (Value::Seen(mine), Value::Seen(theirs)) => {
                let before = mine.clone();
                mine.merge(theirs);
                if *mine == before {
                    Joined::Same
                } else {
                    Joined::More
                }
            }
            (Value::Most(mine), Value::Most(theirs)) if theirs > mine => {
                *mine = *theirs;
                Joined::More
            }
            (Value::Said(mine), Value::Said(theirs)) if theirs != mine => {
                let twice = (theirs.life, theirs.number) == (mine.life, mine.number);
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
            Value::Seen(Seen::Terms(all)) => {
                hash.update(&[0]);
                for (term, position) in all {
                    hash.update(&term.0.to_be_bytes());
                    hash.update(&position.to_bits().to_be_bytes());
                }
            }
            Value::Seen(Seen::Lost(latest)) => {
                hash.update(&[1]);
                hash.update(&latest.to_bits().to_be_bytes());
            }
            Value::Most(most) => {
                hash.update(&[2]);
                hash.update(&most.to_bits().to_be_bytes());
            }
            Value::Said(said) => {
                hash.update(&[3, said.careful]);
                hash.update(&said.life.to_be_bytes());
                hash.update(&said.number.to_be_bytes());
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
    pub born: f64,
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
            Value::Seen(seen) => seen.latest() + horizon < now,
            Value::Most(position) if kind == Kind::Floor => position + horizon < now,
            _ => self.born + kind.lasts() < now,
        }
    }

    /// Joins another of the same key. The same value said again is as old as it was first.
    pub fn join(&mut self, other: &Fact) -> Joined {
        let before = self.value.clone();
        let joined = self.value.join(&other.value);
        if self.value != before {
            self.born = if self.value == other.value { other.born } else { self.born.max(other.born) };
        } else if self.value == other.value {
            self.born = self.born.min(other.born);
        }
        joined
    }
}

//! Copies that differ: which facts, and by which rule each comes to one. The rules stand here alone; joins (`fact.rs`) obey them.
use crate::fact::{Fact, Joined, Key, Kind, Value};
use std::collections::BTreeMap;
use std::fmt;

/// What is done with two copies of one fact that differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Both count: the join of the two.
    Both,
    /// The higher counts.
    Higher,
    /// The later word of its one writer counts, by life and number, never by a clock.
    Later,
}

pub fn rule(kind: Kind) -> Rule {
    match kind {
        Kind::Mark => Rule::Both,
        Kind::LogPosition | Kind::Generation => Rule::Higher,
        Kind::Leader | Kind::Refusal | Kind::Draining | Kind::Cold | Kind::Storm | Kind::Probe => Rule::Later,
    }
}

/// How a fact differs.
#[derive(Clone, Debug, PartialEq)]
pub enum How {
    /// Only the first has it, or only the second.
    First(Value),
    Second(Value),
    /// Both have it, and they come to this.
    Joins(Value, Value, Value),
    /// Two contents under one life and number: no honest writer says both. The more careful stands.
    Contradicts(Value, Value, Value),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub key: Key,
    pub how: How,
}

/// The facts of a copy, each once: a file has one for each time that it changed.
pub fn merge_by_key(all: &[(Key, Fact)]) -> BTreeMap<Key, Value> {
    let mut by_key: BTreeMap<Key, Value> = BTreeMap::new();
    for (key, fact) in all {
        match by_key.get_mut(key) {
            Some(value) => drop(value.join(&fact.value)),
            None => drop(by_key.insert(key.clone(), fact.value.clone())),
        }
    }
    by_key
}

/// The facts in which two copies differ, in the order of their keys. Ages are no difference.
pub fn compare(one: &[(Key, Fact)], other: &[(Key, Fact)]) -> Vec<Difference> {
    let (one, mut other) = (merge_by_key(one), merge_by_key(other));
    let mut out = Vec::new();
    for (key, a) in one {
        let how = match other.remove(&key) {
            None => How::First(a),
            Some(b) if a == b => continue,
            Some(b) => {
                let mut joined = a.clone();
                match joined.join(&b) {
                    Joined::Conflict => How::Contradicts(a, b, joined),
                    Joined::Same | Joined::More => How::Joins(a, b, joined),
                }
            }
        };
        out.push(Difference { key, how });
    }
    out.extend(other.into_iter().map(|(key, b)| Difference { key, how: How::Second(b) }));
    out.sort_by(|a, b| a.key.cmp(&b.key));
    out
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Value::SessionMarks(seen) if seen.marks().next().is_none() => {
                write!(f, "lost to {:.3}", seen.latest())
            }
            Value::SessionMarks(seen) => {
                let all: Vec<String> =
                    seen.marks().map(|m| format!("{:016x}@{:.3}", m.term.0, m.position)).collect();
                write!(f, "{}", all.join(" "))
            }
            Value::Max(most) => write!(f, "{most}"),
            Value::Report(said) => {
                write!(
                    f,
                    "life {} number {} careful {} \"{}\"",
                    said.generation, said.version, said.severity, said.body
                )
            }
        }
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let by = if self.key.owner.is_empty() { String::new() } else { format!(" by {}", self.key.owner) };
        write!(f, "{} {}{by}: ", self.key.kind.name(), self.key.subject)?;
        match &self.how {
            How::First(value) => write!(f, "only the first has it: {value}"),
            How::Second(value) => write!(f, "only the second has it: {value}"),
            How::Joins(a, b, joined) => write!(f, "{a} | {b}, comes to {joined}"),
            How::Contradicts(a, b, stands) => {
                write!(f, "CONTRADICTS: {a} | {b}, both under one life and number; {stands} stands, as the more careful")
            }
        }
    }
}

//! Compares two copies: which facts differ, and by which rule each pair of values merges. The rules are listed here
//! for reference; the joins in `fact.rs` implement them.
use crate::fact::{Fact, JoinOutcome, Key, Kind, Value};
use std::collections::BTreeMap;
use std::fmt;

/// How two differing values of one fact merge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeRule {
    /// Both values count: their union.
    Union,
    /// The higher value wins.
    Highest,
    /// The latest report of the only writer wins, by generation and version, never by a clock.
    Latest,
}

pub fn merge_rule(kind: Kind) -> MergeRule {
    match kind {
        Kind::Mark => MergeRule::Union,
        Kind::LogPosition | Kind::Generation => MergeRule::Highest,
        Kind::Leader | Kind::Refusal | Kind::Draining | Kind::Cold | Kind::Storm | Kind::Probe => {
            MergeRule::Latest
        }
    }
}

/// How one fact differs between two copies.
#[derive(Clone, Debug, PartialEq)]
pub enum Discrepancy {
    /// Present in one copy only.
    OnlyInFirst(Value),
    OnlyInSecond(Value),
    /// Present in both; the third value is the merged one.
    Merged(Value, Value, Value),
    /// Two different contents with the same generation and version, which a correct writer never produces. The third
    /// value, the more severe of the two, is kept.
    Contradiction(Value, Value, Value),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub key: Key,
    pub discrepancy: Discrepancy,
}

/// The merged value of each key: a file holds a fact once for every time that it changed.
pub fn merge_by_key(facts: &[(Key, Fact)]) -> BTreeMap<Key, Value> {
    let mut by_key: BTreeMap<Key, Value> = BTreeMap::new();
    for (key, fact) in facts {
        match by_key.get_mut(key) {
            Some(value) => drop(value.join(&fact.value)),
            None => drop(by_key.insert(key.clone(), fact.value.clone())),
        }
    }
    by_key
}

/// The facts in which two copies differ, sorted by key. Ages are ignored.
pub fn compare(first: &[(Key, Fact)], second: &[(Key, Fact)]) -> Vec<Difference> {
    let (first, mut second) = (merge_by_key(first), merge_by_key(second));
    let mut differences = Vec::new();
    for (key, a) in first {
        let discrepancy = match second.remove(&key) {
            None => Discrepancy::OnlyInFirst(a),
            Some(b) if a == b => continue,
            Some(b) => {
                let mut joined = a.clone();
                match joined.join(&b) {
                    JoinOutcome::Conflict => Discrepancy::Contradiction(a, b, joined),
                    JoinOutcome::Unchanged | JoinOutcome::Changed => Discrepancy::Merged(a, b, joined),
                }
            }
        };
        differences.push(Difference { key, discrepancy });
    }
    differences.extend(
        second.into_iter().map(|(key, b)| Difference { key, discrepancy: Discrepancy::OnlyInSecond(b) }),
    );
    differences.sort_by(|a, b| a.key.cmp(&b.key));
    differences
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Value::SessionMarks(session_marks) if session_marks.marks().next().is_none() => {
                write!(f, "lost to {:.3}", session_marks.latest())
            }
            Value::SessionMarks(session_marks) => {
                let facts: Vec<String> =
                    session_marks.marks().map(|m| format!("{:016x}@{:.3}", m.term.0, m.position)).collect();
                write!(f, "{}", facts.join(" "))
            }
            Value::Max(highest) => write!(f, "{highest}"),
            Value::Report(report) => {
                write!(
                    f,
                    "life {} number {} careful {} \"{}\"",
                    report.generation, report.version, report.severity, report.body
                )
            }
        }
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let owner_suffix =
            if self.key.owner.is_empty() { String::new() } else { format!(" by {}", self.key.owner) };
        write!(f, "{} {}{owner_suffix}: ", self.key.kind.name(), self.key.subject)?;
        match &self.discrepancy {
            Discrepancy::OnlyInFirst(value) => write!(f, "only the first has it: {value}"),
            Discrepancy::OnlyInSecond(value) => write!(f, "only the second has it: {value}"),
            Discrepancy::Merged(a, b, joined) => write!(f, "{a} | {b}, merged: {joined}"),
            Discrepancy::Contradiction(a, b, kept) => {
                write!(f, "CONTRADICTS: {a} | {b}, both with the same life and number; {kept} is kept because it is more careful")
            }
        }
    }
}

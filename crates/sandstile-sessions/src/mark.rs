//! Marks: a position under a primary's term, and how marks merge.
use std::collections::BTreeMap;

/// One primary's time of leading a group, as far as hosts let anybody tell: the group, the host and the start of
/// its process. Terms have no order; positions of two terms can't be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term(pub u64);

impl Term {
    /// `since` is the start of the host's process in Unix seconds as discovery lists it, 0 for long ago. A host that
    /// leads once more without a new start has the same term: what it kept of the first time it still has.
    pub fn of(group: &str, host: &str, since: f64) -> Term {
        let mut hash = blake3::Hasher::new();
        // Lengths first, so that no two pairs run into one.
        hash.update(&(group.len() as u64).to_le_bytes());
        hash.update(group.as_bytes());
        hash.update(&(host.len() as u64).to_le_bytes());
        hash.update(host.as_bytes());
        hash.update(&((since * 1000.0) as u64).to_le_bytes());
        Term(first_eight(hash.finalize().as_bytes()))
    }
}

pub(crate) fn first_eight(bytes: &[u8]) -> u64 {
    let mut eight = [0; 8];
    eight.copy_from_slice(&bytes[..8]);
    u64::from_le_bytes(eight)
}

/// A session has to see its group's log up to this position of this term.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mark {
    pub term: Term,
    /// Seconds, as hosts tell them.
    pub position: f64,
}

/// Terms that one session is remembered under; more than this within the time that replicas can lag is a group
/// that changes its primary all the time, and its reads belong to the primary.
const MOST_TERMS: usize = 3;

/// All that is known of one session in one group: a position for each term, or too much to tell. A join-semilattice
/// under `merge`: `Lost` is its top, the empty one its bottom.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionMarks {
    Terms(BTreeMap<Term, f64>),
    /// Marks of more terms than are kept, or one that can't be read: nothing can be said but that it has written,
    /// at this position or before.
    Lost(f64),
}

impl Default for SessionMarks {
    fn default() -> Self {
        SessionMarks::Terms(BTreeMap::new())
    }
}

impl SessionMarks {
    pub fn of(mark: Mark) -> SessionMarks {
        // What is no number marks nothing that could be reached: it has written, and no more is known.
        match mark.position.is_finite() {
            true => SessionMarks::Terms(BTreeMap::from([(mark.term, mark.position.max(0.0))])),
            false => SessionMarks::Lost(f64::INFINITY),
        }
    }

    pub fn merge(&mut self, other: &SessionMarks) {
        let latest = self.latest().max(other.latest());
        let joined = match (&mut *self, other) {
            (SessionMarks::Terms(mine), SessionMarks::Terms(theirs)) => {
                for (term, position) in theirs {
                    let at = mine.entry(*term).or_insert(*position);
                    *at = at.max(*position);
                }
                mine.len() <= MOST_TERMS
            }
            _ => false,
        };
        if !joined {
            *self = SessionMarks::Lost(latest);
        }
    }

    pub fn is_empty(&self) -> bool {
        matches!(self, SessionMarks::Terms(all) if all.is_empty())
    }

    /// The latest position under any term: how old the whole is.
    pub fn latest(&self) -> f64 {
        match self {
            SessionMarks::Terms(all) => all.values().copied().fold(0.0, f64::max),
            SessionMarks::Lost(latest) => *latest,
        }
    }

    pub fn marks(&self) -> impl Iterator<Item = Mark> + '_ {
        let all = match self {
            SessionMarks::Terms(all) => Some(all),
            SessionMarks::Lost(_) => None,
        };
        all.into_iter().flatten().map(|(term, position)| Mark { term: *term, position: *position })
    }
}

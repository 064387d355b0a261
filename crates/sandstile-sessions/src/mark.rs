//! Marks (a log position within a primary's term) and how they merge.
use std::collections::BTreeMap;

/// Identifies one period in which a host is primary of a group: a hash of the group, the host and the start
/// time of its process, which is all that can be learned from hosts. Terms are unordered, and positions of
/// different terms cannot be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term(pub u64);

impl Term {
    /// `since` is the start time of the host's process in Unix seconds, as listed by discovery; 0 means long
    /// ago. A host that becomes primary again without a restart keeps its term, because it still holds the
    /// data of its earlier period.
    pub fn of(group: &str, host: &str, since: f64) -> Term {
        let mut hash = blake3::Hasher::new();
        // Length prefixes keep different pairs from hashing the same bytes.
        hash.update(&(group.len() as u64).to_le_bytes());
        hash.update(group.as_bytes());
        hash.update(&(host.len() as u64).to_le_bytes());
        hash.update(host.as_bytes());
        hash.update(&((since * 1000.0) as u64).to_le_bytes());
        Term(first_u64(hash.finalize().as_bytes()))
    }
}

pub(crate) fn first_u64(bytes: &[u8]) -> u64 {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&bytes[..8]);
    u64::from_le_bytes(prefix)
}

/// A session's reads must see the group's log up to this position of this term.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mark {
    pub term: Term,
    /// Seconds, as reported by hosts.
    pub position: f64,
}

/// The number of terms that are kept per session. More terms within the replicas' maximum lag mean that the
/// group changes its primary continually, and the session's reads go to the primary.
const MAX_TERMS: usize = 3;

/// The known marks of one session in one group: one position per term, or `Lost` if they cannot be kept. A
/// join-semilattice under `merge`, with `Lost` as its top and the empty map as its bottom.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionMarks {
    Terms(BTreeMap<Term, f64>),
    /// The marks span more terms than are kept, or one of them has no usable position. All that is
    /// known is that the session wrote at this position or before.
    Lost(f64),
}

impl Default for SessionMarks {
    fn default() -> Self {
        SessionMarks::Terms(BTreeMap::new())
    }
}

impl SessionMarks {
    pub fn of(mark: Mark) -> SessionMarks {
        // A position that is not finite cannot be reached by any host: all that is known is that the session
        // wrote.
        match mark.position.is_finite() {
            true => SessionMarks::Terms(BTreeMap::from([(mark.term, mark.position.max(0.0))])),
            false => SessionMarks::Lost(f64::INFINITY),
        }
    }

    pub fn merge(&mut self, other: &SessionMarks) {
        let latest = self.latest().max(other.latest());
        let within_limit = match (&mut *self, other) {
            (SessionMarks::Terms(mine), SessionMarks::Terms(theirs)) => {
                for (term, position) in theirs {
                    let entry = mine.entry(*term).or_insert(*position);
                    *entry = entry.max(*position);
                }
                mine.len() <= MAX_TERMS
            }
            _ => false,
        };
        if !within_limit {
            *self = SessionMarks::Lost(latest);
        }
    }

    pub fn is_empty(&self) -> bool {
        matches!(self, SessionMarks::Terms(terms) if terms.is_empty())
    }

    /// The latest position under any term; it determines when the marks expire.
    pub fn latest(&self) -> f64 {
        match self {
            SessionMarks::Terms(terms) => terms.values().copied().fold(0.0, f64::max),
            SessionMarks::Lost(latest) => *latest,
        }
    }

    pub fn marks(&self) -> impl Iterator<Item = Mark> + '_ {
        let terms = match self {
            SessionMarks::Terms(terms) => Some(terms),
            SessionMarks::Lost(_) => None,
        };
        terms.into_iter().flatten().map(|(term, position)| Mark { term: *term, position: *position })
    }
}

//! The one question: what must this read reach, and how sure are we?
use crate::mark::{Mark, SessionMarks, Term};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequiredPosition {
    /// Any replica that has come to this position, in seconds, serves it.
    Known(f64),
    /// Nobody can tell: the primary serves it.
    Unknown(Why),
    /// It has written nothing that a replica could lack, and that is proven.
    Nothing,
}

/// Why nothing is known; counted, for operators see by it what is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Nothing proves that there is no mark, or no later one, than what is known here.
    NoWord,
    /// Its mark is of another primary's time.
    OtherTerm,
    /// The group has no primary whose term could be compared.
    NoTerm,
    /// Marks of too many terms.
    Lost,
    /// A position that lies further ahead than clocks can differ.
    Ahead,
}

/// What the answer rests on beside the mark itself.
#[derive(Clone, Copy, Debug)]
pub struct ReadContext {
    pub now: f64,
    /// The term of the group's primary as this instance knows it now.
    pub term: Option<Term>,
    /// Replicas lag less than this, in seconds: an older mark binds nobody. The installation's word.
    pub horizon: f64,
    /// Nothing is further ahead of this clock than this, in seconds.
    pub skew: f64,
    /// This instance has heard of every write of the group since then: by being the only one since, or by a
    /// journal that it found whole. Infinite where it can't know.
    pub complete_since: f64,
    /// How far the group's log had come when its primary first answered this instance. Whoever writes by this instance alone has
    /// written before its start, which is before that, or here, which is remembered: no need reaches further. Counts where
    /// `complete_since` is finite, that is where sessions stay.
    pub startup_mark: Option<Mark>,
}

/// What a session's read must reach. `seen` joins all that is known of the session; `carried` says that the mark
/// that its client carries is part of that. What one instance remembers is not enough by itself: the session may
/// have written by another since. Either the client carries what it was told, or the instance has heard of all.
pub fn required_position(seen: &SessionMarks, carried: bool, context: &ReadContext) -> RequiredPosition {
    // What every replica has applied by now binds nobody, under whatever term.
    let since = context.now - context.horizon;
    let none = std::collections::BTreeMap::new();
    let marks = match seen {
        SessionMarks::Lost(latest) if *latest >= since => return RequiredPosition::Unknown(Why::Lost),
        SessionMarks::Lost(_) => &none,
        SessionMarks::Terms(marks) => marks,
    };
    if marks.values().any(|position| *position > context.now + context.skew) {
        return RequiredPosition::Unknown(Why::Ahead);
    }
    let complete = carried || context.complete_since <= since;
    // Without this all own reads after a start go to the primary for as long as replicas may lag.
    let startup_mark =
        context.startup_mark.filter(|b| context.complete_since.is_finite() && context.term == Some(b.term));
    let startup_mark = startup_mark.filter(|b| b.position <= context.now + context.skew).map(|b| b.position);
    let mut binding = marks.iter().filter(|(_, position)| **position >= since).peekable();
    if binding.peek().is_none() {
        return match (complete, startup_mark) {
            (true, _) => RequiredPosition::Nothing,
            (false, Some(position)) => RequiredPosition::Known(position),
            (false, None) => RequiredPosition::Unknown(Why::NoWord),
        };
    }
    let Some(term) = context.term else { return RequiredPosition::Unknown(Why::NoTerm) };
    let mut highest: f64 = 0.0;
    for (of, position) in binding {
        if *of != term {
            return RequiredPosition::Unknown(Why::OtherTerm);
        }
        highest = highest.max(*position);
    }
    match (complete, startup_mark) {
        (true, _) => RequiredPosition::Known(highest),
        (false, Some(position)) => RequiredPosition::Known(highest.max(position)),
        (false, None) => RequiredPosition::Unknown(Why::NoWord),
    }
}

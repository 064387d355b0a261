//! Computes the log position that a session's read must reach.
use crate::mark::{Mark, SessionMarks, Term};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequiredPosition {
    /// A replica that has reached this position (in seconds) can serve the read.
    Known(f64),
    /// The position cannot be determined, so the primary serves the read.
    Unknown(UnknownReason),
    /// The session provably has no write that a replica could still lack, so any replica can serve the read.
    Nothing,
}

/// Why the required position is unknown. Each reason is counted, so that operators see which information is
/// missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownReason {
    /// Nothing proves that the marks known here include the session's latest write.
    HistoryIncomplete,
    /// The session's mark belongs to the term of another primary.
    DifferentTerm,
    /// The group has no known primary, so there is no term to compare with.
    NoPrimaryTerm,
    /// The session's marks were dropped because they span too many terms, or a write was acknowledged
    /// without a usable position.
    Lost,
    /// A mark lies further in the future than clocks can differ.
    Ahead,
}

/// What this instance knows besides the session's marks.
#[derive(Clone, Copy, Debug)]
pub struct ReadContext {
    pub now: f64,
    /// The term of the group's current primary, as far as this instance knows.
    pub term: Option<Term>,
    /// Upper bound of the replicas' lag, in seconds, as configured for the installation. Every replica has
    /// applied marks that are older than this.
    pub max_replica_lag: f64,
    /// The largest difference between clocks, in seconds. A position further ahead of `now` is not trusted.
    pub max_clock_skew: f64,
    /// This instance knows every write to the group since this time, because it was the only instance since
    /// then or because it found its journal intact. Infinite if it cannot know.
    pub complete_since: f64,
    /// The position of the group's log when the primary first answered this instance. A session that writes
    /// through this instance only has written either before that point or during this process, where its
    /// marks are remembered. Its reads never need to reach further than this mark and the remembered ones.
    /// Used only if `complete_since` is finite, that is where sessions stay with one instance.
    pub startup_mark: Option<Mark>,
}

/// Returns the position that a session's read must reach.
///
/// `session_marks` combines all known marks of the session; `carried` says that they include a mark sent by
/// the client. The marks that one instance remembers are not enough, because the session may have written
/// through another instance since. They are complete if the client sends its latest mark or if this instance
/// knows of every write.
pub fn required_position(
    session_marks: &SessionMarks,
    carried: bool,
    context: &ReadContext,
) -> RequiredPosition {
    // Every replica has applied positions older than this, whatever their term.
    let oldest_relevant = context.now - context.max_replica_lag;
    let no_marks = std::collections::BTreeMap::new();
    let marks = match session_marks {
        SessionMarks::Lost(latest) if *latest >= oldest_relevant => {
            return RequiredPosition::Unknown(UnknownReason::Lost)
        }
        SessionMarks::Lost(_) => &no_marks,
        SessionMarks::Terms(marks) => marks,
    };
    if marks.values().any(|position| *position > context.now + context.max_clock_skew) {
        return RequiredPosition::Unknown(UnknownReason::Ahead);
    }
    let complete = carried || context.complete_since <= oldest_relevant;
    // Without the startup mark, all session reads after a start would go to the primary for as long as
    // replicas may lag.
    let startup_mark = context
        .startup_mark
        .filter(|mark| context.complete_since.is_finite() && context.term == Some(mark.term));
    let startup_mark = startup_mark
        .filter(|mark| mark.position <= context.now + context.max_clock_skew)
        .map(|mark| mark.position);
    let mut relevant = marks.iter().filter(|(_, position)| **position >= oldest_relevant).peekable();
    if relevant.peek().is_none() {
        return match (complete, startup_mark) {
            (true, _) => RequiredPosition::Nothing,
            (false, Some(position)) => RequiredPosition::Known(position),
            (false, None) => RequiredPosition::Unknown(UnknownReason::HistoryIncomplete),
        };
    }
    let Some(term) = context.term else { return RequiredPosition::Unknown(UnknownReason::NoPrimaryTerm) };
    let mut highest: f64 = 0.0;
    for (mark_term, position) in relevant {
        if *mark_term != term {
            return RequiredPosition::Unknown(UnknownReason::DifferentTerm);
        }
        highest = highest.max(*position);
    }
    match (complete, startup_mark) {
        (true, _) => RequiredPosition::Known(highest),
        (false, Some(position)) => RequiredPosition::Known(highest.max(position)),
        (false, None) => RequiredPosition::Unknown(UnknownReason::HistoryIncomplete),
    }
}

//! Maps the SQLSTATEs of database hosts to the outcomes of executions.
use sandstile_dispatcher::Ending;

/// The outcome that an SQLSTATE means, once the statement was written completely.
pub fn ending(code: &str) -> Ending {
    match code {
        "25006" | "72000" => Ending::Missed,
        "53300" => Ending::TurnedAway,
        "08P01" => Ending::Unreadable,
        _ => Ending::Failed,
    }
}

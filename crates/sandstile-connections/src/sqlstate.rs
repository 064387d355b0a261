//! What a database host's errors stand for.
use sandstile_dispatcher::Ending;

/// The ending that an SQLSTATE stands for, once a statement was written whole.
pub fn ending(code: &str) -> Ending {
    match code {
        "25006" | "72000" => Ending::Missed,
        "53300" => Ending::TurnedAway,
        "08P01" => Ending::Unreadable,
        _ => Ending::Failed,
    }
}

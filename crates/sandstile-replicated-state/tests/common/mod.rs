use oorandom::Rand64;
use sandstile_replicated_state::fact::Report;
use sandstile_replicated_state::{Fact, Key, Kind, Value};
use sandstile_sessions::mark::{Mark, SessionMarks, Term};

pub const NOW: f64 = 1_000_000.0;

pub fn below(chance: &mut Rand64, most: u64) -> u64 {
    chance.rand_range(0..most)
}

/// A fact out of few keys and few values, so that they meet.
pub fn drawn(chance: &mut Rand64) -> (Key, Fact) {
    let subject = format!("s{}", below(chance, 6));
    let owner = format!("n{}", below(chance, 3));
    let created_at = NOW - below(chance, 10) as f64;
    match below(chance, 5) {
        0 | 1 => {
            let mut seen = SessionMarks::default();
            for _ in 0..1 + below(chance, 2) {
                let position = NOW - 100.0 + below(chance, 100) as f64;
                seen.merge(&SessionMarks::of(Mark { term: Term(below(chance, 5)), position }));
            }
            (Key::shared(Kind::Mark, &subject), Fact { value: Value::SessionMarks(seen), created_at })
        }
        2 => (
            Key::shared(Kind::LogPosition, &subject),
            Fact { value: Value::Max(NOW - below(chance, 50) as f64), created_at },
        ),
        3 => (
            Key::shared(Kind::Generation, &subject),
            Fact { value: Value::Max(below(chance, 9) as f64), created_at },
        ),
        _ => {
            let said = Report {
                generation: below(chance, 3),
                version: below(chance, 4),
                severity: below(chance, 2) as u8,
                body: format!("b{}", below(chance, 2)).into(),
            };
            (Key::owned(Kind::Refusal, &subject, &owner), Fact { value: Value::Report(said), created_at })
        }
    }
}

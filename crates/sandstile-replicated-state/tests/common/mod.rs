use oorandom::Rand64;
use sandstile_replicated_state::fact::Report;
use sandstile_replicated_state::{Fact, Key, Kind, Value};
use sandstile_sessions::mark::{Mark, SessionMarks, Term};

pub const NOW: f64 = 1_000_000.0;

pub fn random_below(rng: &mut Rand64, limit: u64) -> u64 {
    rng.rand_range(0..limit)
}

/// A random fact from few keys and few values, so that keys collide.
pub fn random_fact(rng: &mut Rand64) -> (Key, Fact) {
    let subject = format!("s{}", random_below(rng, 6));
    let owner = format!("n{}", random_below(rng, 3));
    let created_at = NOW - random_below(rng, 10) as f64;
    match random_below(rng, 5) {
        0 | 1 => {
            let mut session_marks = SessionMarks::default();
            for _ in 0..1 + random_below(rng, 2) {
                let position = NOW - 100.0 + random_below(rng, 100) as f64;
                session_marks.merge(&SessionMarks::of(Mark { term: Term(random_below(rng, 5)), position }));
            }
            (
                Key::shared(Kind::Mark, &subject),
                Fact { value: Value::SessionMarks(session_marks), created_at },
            )
        }
        2 => (
            Key::shared(Kind::LogPosition, &subject),
            Fact { value: Value::Max(NOW - random_below(rng, 50) as f64), created_at },
        ),
        3 => (
            Key::shared(Kind::Generation, &subject),
            Fact { value: Value::Max(random_below(rng, 9) as f64), created_at },
        ),
        _ => {
            let report = Report {
                generation: random_below(rng, 3),
                version: random_below(rng, 4),
                severity: random_below(rng, 2) as u8,
                body: format!("b{}", random_below(rng, 2)).into(),
            };
            (Key::owned(Kind::Refusal, &subject, &owner), Fact { value: Value::Report(report), created_at })
        }
    }
}

use oorandom::Rand64;
use sandstile_replicated_state::fact::Said;
use sandstile_replicated_state::{Fact, Key, Kind, Value};
use sandstile_sessions::mark::{Mark, Seen, Term};

pub const NOW: f64 = 1_000_000.0;

pub fn below(chance: &mut Rand64, most: u64) -> u64 {
    chance.rand_range(0..most)
}

/// A fact out of few keys and few values, so that they meet.
pub fn drawn(chance: &mut Rand64) -> (Key, Fact) {
    let subject = format!("s{}", below(chance, 6));
    let owner = format!("n{}", below(chance, 3));
    let born = NOW - below(chance, 10) as f64;
    match below(chance, 5) {
        0 | 1 => {
            let mut seen = Seen::default();
            for _ in 0..1 + below(chance, 2) {
                let position = NOW - 100.0 + below(chance, 100) as f64;
                seen.merge(&Seen::of(Mark { term: Term(below(chance, 5)), position }));
            }
            (Key::of(Kind::Mark, &subject), Fact { value: Value::Seen(seen), born })
        }
        2 => (
            Key::of(Kind::Floor, &subject),
            Fact { value: Value::Most(NOW - below(chance, 50) as f64), born },
        ),
        3 => (Key::of(Kind::Life, &subject), Fact { value: Value::Most(below(chance, 9) as f64), born }),
        _ => {
            let said = Said {
                life: below(chance, 3),
                number: below(chance, 4),
                careful: below(chance, 2) as u8,
                body: format!("b{}", below(chance, 2)).into(),
            };
            (Key::owned(Kind::Refuses, &subject, &owner), Fact { value: Value::Said(said), born })
        }
    }
}

//! Algebraic laws of joins: facts merge in any order, and copies that received the same facts have equal contents and
//! digests.
mod common;

use common::{random_fact, NOW};
use oorandom::Rand64;
use sandstile_replicated_state::fact::Report;
use sandstile_replicated_state::{Fact, Key, Kind, LearnOutcome, Replica, Value};
use sandstile_sessions::mark::{Mark, SessionMarks, Term};

fn joined(a: &Fact, b: &Fact) -> Fact {
    let mut out = a.clone();
    out.join(b);
    out
}

#[test]
fn joins_are_commutative_associative_idempotent_and_lossless() {
    fn holds(seed: u64) -> bool {
        let mut rng = Rand64::new(u128::from(seed));
        // Three facts of the same kind.
        let (key, a) = random_fact(&mut rng);
        let mut same_key = || loop {
            let (other, fact) = random_fact(&mut rng);
            if other.kind == key.kind {
                return fact;
            }
        };
        let (b, c) = (same_key(), same_key());
        let equal = |x: &Fact, y: &Fact| x.value == y.value && x.hash(&key) == y.hash(&key);
        let ab = joined(&a, &b);
        equal(&ab, &joined(&b, &a))
            && equal(&joined(&ab, &c), &joined(&a, &joined(&b, &c)))
            && joined(&a, &a) == a
            && joined(&ab, &a) == ab
            && equal(&joined(&a, &ab), &ab)
    }
    quickcheck::QuickCheck::new().tests(20_000).quickcheck(holds as fn(u64) -> bool);
}

#[test]
fn copies_that_received_the_same_facts_are_equal() {
    fn holds(seed: u64) -> bool {
        let mut rng = Rand64::new(u128::from(seed));
        let facts: Vec<(Key, Fact)> = (0..60).map(|_| random_fact(&mut rng)).collect();
        let build_copy = |order: &mut dyn FnMut() -> usize| {
            let mut copy = Replica::new(300.0);
            // Each fact at least once, in random order with repetitions.
            for _ in 0..400 {
                let (key, fact) = &facts[order()];
                copy.learn(NOW, key, fact);
            }
            for (key, fact) in &facts {
                copy.learn(NOW, key, fact);
            }
            copy
        };
        let mut first_rng = Rand64::new(u128::from(seed) + 1);
        let mut second_rng = Rand64::new(u128::from(seed) + 2);
        let a = build_copy(&mut || first_rng.rand_range(0..60) as usize);
        let b = build_copy(&mut || second_rng.rand_range(0..60) as usize);
        let values = |r: &Replica| r.iter().map(|(k, f)| (k.clone(), f.value.clone())).collect::<Vec<_>>();
        let sum = a.iter().fold(0u64, |sum, (key, fact)| sum.wrapping_add(fact.hash(key)));
        let leaves: usize = (0..sandstile_replicated_state::HashTree::leaves())
            .map(|at| a.entries_below(4, at, 9999).len())
            .sum();
        a.digest() == b.digest() && values(&a) == values(&b) && a.digest() == sum && leaves == a.len()
    }
    quickcheck::QuickCheck::new().tests(40).quickcheck(holds as fn(u64) -> bool);
}

/// A writer that sends two different reports with one version is recorded as evidence, and the more severe report is
/// kept in either order of arrival.
#[test]
fn a_contradiction_is_recorded_and_the_more_severe_report_is_kept() {
    let key = Key::owned(Kind::Refusal, "h", "n1");
    let report = |severity, body: &str| Fact {
        value: Value::Report(Report { generation: 5, version: 2, severity, body: body.into() }),
        created_at: NOW,
    };
    for (first, second) in [(report(0, "well"), report(1, "ill")), (report(1, "ill"), report(0, "well"))] {
        let mut copy = Replica::new(300.0);
        assert_eq!(copy.learn(NOW, &key, &first), LearnOutcome::New);
        assert_eq!(copy.learn(NOW, &key, &second), LearnOutcome::Conflict);
        assert_eq!(copy.get(&key).map(|f| f.value.clone()), Some(report(1, "ill").value));
        assert_eq!((copy.counts().conflicts, copy.evidence().len()), (1, 1));
        // A later version of the same generation resolves the conflict.
        let later = Fact {
            value: Value::Report(Report { generation: 5, version: 3, severity: 0, body: "well".into() }),
            created_at: NOW,
        };
        assert_eq!(copy.learn(NOW, &key, &later), LearnOutcome::New);
    }
}

#[test]
fn facts_from_the_future_or_of_the_wrong_type_are_refused() {
    let mut copy = Replica::new(300.0);
    let log_position = |position| Fact { value: Value::Max(position), created_at: NOW };
    let refused = [
        (Key::shared(Kind::LogPosition, "g"), log_position(NOW + 7200.0)),
        (Key::shared(Kind::LogPosition, "g"), log_position(f64::NAN)),
        (Key::shared(Kind::LogPosition, "g"), log_position(NOW - 400.0)),
        (Key::shared(Kind::Generation, "n"), log_position((NOW + 200_000.0) * 1e6)),
        (Key::shared(Kind::Mark, "g"), log_position(NOW)),
        (Key::shared(Kind::Refusal, "h"), log_position(NOW)),
        (Key::owned(Kind::LogPosition, "g", "n1"), log_position(NOW)),
        (Key::shared(Kind::LogPosition, ""), log_position(NOW)),
        (Key::shared(Kind::LogPosition, &"g".repeat(65)), log_position(NOW)),
        (Key::shared(Kind::LogPosition, "g"), Fact { value: Value::Max(NOW), created_at: NOW + 1.0 }),
    ];
    for (key, fact) in refused {
        assert_eq!(copy.learn(NOW, &key, &fact), LearnOutcome::Refused, "{key:?} {fact:?}");
    }
    assert_eq!((copy.len(), copy.digest(), copy.counts().refused), (0, 0, 10));
    assert_eq!(copy.learn(NOW, &Key::shared(Kind::LogPosition, "g"), &log_position(NOW)), LearnOutcome::New);
    // A lower value does not replace it.
    assert_eq!(
        copy.learn(NOW, &Key::shared(Kind::LogPosition, "g"), &log_position(NOW - 5.0)),
        LearnOutcome::Known
    );
}

/// Expiry depends only on the fact: two copies that learned it at different times drop it at the same time.
#[test]
fn all_copies_expire_a_fact_at_the_same_time() {
    let key = Key::owned(Kind::Refusal, "h", "n1");
    let fact = Fact {
        value: Value::Report(Report { generation: 1, version: 1, severity: 1, body: "".into() }),
        created_at: NOW,
    };
    let (mut a, mut b) = (Replica::new(300.0), Replica::new(300.0));
    a.learn(NOW, &key, &fact);
    b.learn(NOW + 10.0, &key, &fact);
    assert_eq!((a.expire(NOW + 14.9), b.expire(NOW + 14.9)), (0, 0));
    assert_eq!((a.expire(NOW + 15.1), b.expire(NOW + 15.1)), (1, 1));
    assert_eq!((a.digest(), b.digest()), (0, 0));
    // Received again with a later creation time, it keeps the earliest one.
    a.learn(NOW + 1.0, &key, &Fact { created_at: NOW + 1.0, ..fact.clone() });
    a.learn(NOW + 2.0, &key, &fact);
    assert_eq!(a.get(&key).map(|f| f.created_at), Some(NOW));
    assert_eq!(b.learn(NOW + 16.0, &key, &fact), LearnOutcome::Refused, "an expired fact cannot return");
}

/// Over the limit the oldest marks are evicted, and the copy remembers up to which position marks may be missing.
#[test]
fn size_is_bounded_and_evictions_are_remembered() {
    let mut copy = Replica::new(1e6);
    let limit = Kind::Mark.max_facts();
    for n in 0..limit + 500 {
        let session_marks = SessionMarks::of(Mark { term: Term(1), position: NOW - 200_000.0 + n as f64 });
        copy.learn(
            NOW,
            &Key::shared(Kind::Mark, &format!("{n:016x}")),
            &Fact { value: Value::SessionMarks(session_marks), created_at: NOW },
        );
    }
    assert_eq!((copy.len(), copy.counts().evicted), (limit, 500));
    assert_eq!(copy.evicted_up_to, NOW - 200_000.0 + 499.0);
    // Severe reports are kept over those that say that all is well.
    let mut copy = Replica::new(300.0);
    for n in 0..Kind::Storm.max_facts() + 10 {
        let severity = u8::from(n < 20);
        let report = Report { generation: 1, version: 1, severity, body: "".into() };
        let key = Key::owned(Kind::Storm, "all", &format!("n{n}"));
        copy.learn(NOW, &key, &Fact { value: Value::Report(report), created_at: NOW });
    }
    let severe = copy.iter().filter(|(_, f)| matches!(&f.value, Value::Report(s) if s.severity == 1)).count();
    assert_eq!(severe, 20);
}

/// Digests as of a moment ago: a copy that has received a session's next write and one that has not yet agree on the
/// time before it.
#[test]
fn copies_are_compared_as_of_a_moment_ago() {
    let mark = |at: f64| {
        let session_marks = sandstile_sessions::mark::SessionMarks::of(sandstile_sessions::mark::Mark {
            term: sandstile_sessions::mark::Term(1),
            position: at,
        });
        Fact { value: Value::SessionMarks(session_marks), created_at: at }
    };
    let key = Key::shared(Kind::Mark, "s");
    let (mut updated, mut outdated) = (Replica::new(300.0), Replica::new(300.0));
    for copy in [&mut updated, &mut outdated] {
        copy.learn(NOW, &key, &mark(NOW - 10.0));
        copy.expire(NOW);
    }
    updated.learn(NOW, &key, &mark(NOW - 0.2));
    updated.learn(NOW, &key, &mark(NOW - 0.1));
    updated.expire(NOW + 1.0);
    assert_ne!(updated.digest(), outdated.digest());
    assert_eq!(updated.digest_as_of(NOW - 1.0), outdated.digest_as_of(NOW - 1.0));
    assert_ne!(updated.digest_as_of(NOW), outdated.digest_as_of(NOW));
    // Replaced values are dropped after the comparison window.
    updated.expire(NOW + 4.0);
    updated.expire(NOW + 8.0);
    assert_ne!(updated.digest_as_of(NOW - 1.0), outdated.digest_as_of(NOW - 1.0));
}

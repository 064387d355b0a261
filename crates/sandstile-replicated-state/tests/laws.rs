//! Facts join whatever order they come in; copies that have heard the same are the same, by their digests too.
mod common;

use common::{drawn, NOW};
use oorandom::Rand64;
use sandstile_replicated_state::fact::Report;
use sandstile_replicated_state::{Came, Fact, Key, Kind, Replica, Value};
use sandstile_sessions::mark::{Mark, SessionMarks, Term};

fn joined(a: &Fact, b: &Fact) -> Fact {
    let mut out = a.clone();
    out.join(b);
    out
}

#[test]
fn joins_are_commutative_associative_idempotent_and_lose_nothing() {
    fn holds(seed: u64) -> bool {
        let mut chance = Rand64::new(u128::from(seed));
        // Three of one key.
        let (key, a) = drawn(&mut chance);
        let mut of_key = || loop {
            let (other, fact) = drawn(&mut chance);
            if other.kind == key.kind {
                return fact;
            }
        };
        let (b, c) = (of_key(), of_key());
        let same = |x: &Fact, y: &Fact| x.value == y.value && x.hash(&key) == y.hash(&key);
        let least = joined(&a, &b);
        same(&least, &joined(&b, &a))
            && same(&joined(&least, &c), &joined(&a, &joined(&b, &c)))
            && joined(&a, &a) == a
            && joined(&least, &a) == least
            && same(&joined(&a, &least), &least)
    }
    quickcheck::QuickCheck::new().tests(20_000).quickcheck(holds as fn(u64) -> bool);
}

#[test]
fn copies_that_heard_the_same_are_the_same() {
    fn holds(seed: u64) -> bool {
        let mut chance = Rand64::new(u128::from(seed));
        let facts: Vec<(Key, Fact)> = (0..60).map(|_| drawn(&mut chance)).collect();
        let copy = |order: &mut dyn FnMut() -> usize| {
            let mut copy = Replica::new(300.0);
            // Each twice or more, in any order.
            for _ in 0..400 {
                let (key, fact) = &facts[order()];
                copy.learn(NOW, key, fact);
            }
            for (key, fact) in &facts {
                copy.learn(NOW, key, fact);
            }
            copy
        };
        let mut one = Rand64::new(u128::from(seed) + 1);
        let mut other = Rand64::new(u128::from(seed) + 2);
        let a = copy(&mut || one.rand_range(0..60) as usize);
        let b = copy(&mut || other.rand_range(0..60) as usize);
        let values = |r: &Replica| r.iter().map(|(k, f)| (k.clone(), f.value.clone())).collect::<Vec<_>>();
        let sum = a.iter().fold(0u64, |sum, (key, fact)| sum.wrapping_add(fact.hash(key)));
        let leaves: usize =
            (0..sandstile_replicated_state::Tree::leaves()).map(|at| a.below(4, at, 9999).len()).sum();
        a.digest() == b.digest() && values(&a) == values(&b) && a.digest() == sum && leaves == a.len()
    }
    quickcheck::QuickCheck::new().tests(40).quickcheck(holds as fn(u64) -> bool);
}

/// One writer that says two things under one number is kept as evidence, and the more careful counts in either order.
#[test]
fn what_no_merge_explains_is_evidence_and_the_careful_stands() {
    let key = Key::owned(Kind::Refusal, "h", "n1");
    let said = |severity, body: &str| Fact {
        value: Value::Report(Report { generation: 5, version: 2, severity, body: body.into() }),
        created_at: NOW,
    };
    for (first, second) in [(said(0, "well"), said(1, "ill")), (said(1, "ill"), said(0, "well"))] {
        let mut copy = Replica::new(300.0);
        assert_eq!(copy.learn(NOW, &key, &first), Came::New);
        assert_eq!(copy.learn(NOW, &key, &second), Came::Conflict);
        assert_eq!(copy.get(&key).map(|f| f.value.clone()), Some(said(1, "ill").value));
        assert_eq!((copy.counts().conflicts, copy.evidence().len()), (1, 1));
        // A later number of the same life ends it.
        let later = Fact {
            value: Value::Report(Report { generation: 5, version: 3, severity: 0, body: "well".into() }),
            created_at: NOW,
        };
        assert_eq!(copy.learn(NOW, &key, &later), Came::New);
    }
}

#[test]
fn what_is_of_the_future_or_of_no_sort_is_refused_alone() {
    let mut copy = Replica::new(300.0);
    let floor = |position| Fact { value: Value::Max(position), created_at: NOW };
    let refused = [
        (Key::shared(Kind::LogPosition, "g"), floor(NOW + 7200.0)),
        (Key::shared(Kind::LogPosition, "g"), floor(f64::NAN)),
        (Key::shared(Kind::LogPosition, "g"), floor(NOW - 400.0)),
        (Key::shared(Kind::Generation, "n"), floor((NOW + 200_000.0) * 1e6)),
        (Key::shared(Kind::Mark, "g"), floor(NOW)),
        (Key::shared(Kind::Refusal, "h"), floor(NOW)),
        (Key::owned(Kind::LogPosition, "g", "n1"), floor(NOW)),
        (Key::shared(Kind::LogPosition, ""), floor(NOW)),
        (Key::shared(Kind::LogPosition, &"g".repeat(65)), floor(NOW)),
        (Key::shared(Kind::LogPosition, "g"), Fact { value: Value::Max(NOW), created_at: NOW + 1.0 }),
    ];
    for (key, fact) in refused {
        assert_eq!(copy.learn(NOW, &key, &fact), Came::Refused, "{key:?} {fact:?}");
    }
    assert_eq!((copy.len(), copy.digest(), copy.counts().refused), (0, 0, 10));
    assert_eq!(copy.learn(NOW, &Key::shared(Kind::LogPosition, "g"), &floor(NOW)), Came::New);
    // It is not taken back by a lesser one.
    assert_eq!(copy.learn(NOW, &Key::shared(Kind::LogPosition, "g"), &floor(NOW - 5.0)), Came::Known);
}

/// Forgetting is the fact's matter: two copies that learnt it at different times let go of it at the same.
#[test]
fn all_copies_forget_at_once() {
    let key = Key::owned(Kind::Refusal, "h", "n1");
    let fact = Fact {
        value: Value::Report(Report { generation: 1, version: 1, severity: 1, body: "".into() }),
        created_at: NOW,
    };
    let (mut a, mut b) = (Replica::new(300.0), Replica::new(300.0));
    a.learn(NOW, &key, &fact);
    b.learn(NOW + 10.0, &key, &fact);
    assert_eq!((a.forget(NOW + 14.9), b.forget(NOW + 14.9)), (0, 0));
    assert_eq!((a.forget(NOW + 15.1), b.forget(NOW + 15.1)), (1, 1));
    assert_eq!((a.digest(), b.digest()), (0, 0));
    // Said again by a slower way it is as old as it was first.
    a.learn(NOW + 1.0, &key, &Fact { created_at: NOW + 1.0, ..fact.clone() });
    a.learn(NOW + 2.0, &key, &fact);
    assert_eq!(a.get(&key).map(|f| f.created_at), Some(NOW));
    assert_eq!(b.learn(NOW + 16.0, &key, &fact), Came::Refused, "it can't come back");
}

/// Beyond the bound the oldest marks go, and whoever is not found then may have been one of them.
#[test]
fn room_is_bounded_and_what_goes_makes_more_careful() {
    let mut copy = Replica::new(1e6);
    let most = Kind::Mark.most();
    for n in 0..most + 500 {
        let seen = SessionMarks::of(Mark { term: Term(1), position: NOW - 200_000.0 + n as f64 });
        copy.learn(
            NOW,
            &Key::shared(Kind::Mark, &format!("{n:016x}")),
            &Fact { value: Value::SessionMarks(seen), created_at: NOW },
        );
    }
    assert_eq!((copy.len(), copy.counts().evicted), (most, 500));
    assert_eq!(copy.lost_to, NOW - 200_000.0 + 499.0);
    // Words that make careful outlive those that say that all is well.
    let mut copy = Replica::new(300.0);
    for n in 0..Kind::Storm.most() + 10 {
        let severity = u8::from(n < 20);
        let said = Report { generation: 1, version: 1, severity, body: "".into() };
        let key = Key::owned(Kind::Storm, "all", &format!("n{n}"));
        copy.learn(NOW, &key, &Fact { value: Value::Report(said), created_at: NOW });
    }
    let ill = copy.iter().filter(|(_, f)| matches!(&f.value, Value::Report(s) if s.severity == 1)).count();
    assert_eq!(ill, 20);
}

/// What a copy was a moment ago: one that has heard of a session's next write and one that has not yet say the same of before it.
#[test]
fn copies_are_compared_as_they_were() {
    let mark = |at: f64| {
        let seen = sandstile_sessions::mark::SessionMarks::of(sandstile_sessions::mark::Mark {
            term: sandstile_sessions::mark::Term(1),
            position: at,
        });
        Fact { value: Value::SessionMarks(seen), created_at: at }
    };
    let key = Key::shared(Kind::Mark, "s");
    let (mut heard, mut not_yet) = (Replica::new(300.0), Replica::new(300.0));
    for copy in [&mut heard, &mut not_yet] {
        copy.learn(NOW, &key, &mark(NOW - 10.0));
        copy.forget(NOW);
    }
    heard.learn(NOW, &key, &mark(NOW - 0.2));
    heard.learn(NOW, &key, &mark(NOW - 0.1));
    heard.forget(NOW + 1.0);
    assert_ne!(heard.digest(), not_yet.digest());
    assert_eq!(heard.digest_as_of(NOW - 1.0), not_yet.digest_as_of(NOW - 1.0));
    assert_ne!(heard.digest_as_of(NOW), not_yet.digest_as_of(NOW));
    // Nothing is kept for longer than it is compared.
    heard.forget(NOW + 4.0);
    heard.forget(NOW + 8.0);
    assert_ne!(heard.digest_as_of(NOW - 1.0), not_yet.digest_as_of(NOW - 1.0));
}

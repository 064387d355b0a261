//! Marks merge in any order, any number of times; sketches never say less than the truth.
use quickcheck::{Arbitrary, Gen, QuickCheck};
use sandstile_sessions::floor::{
    required_position, required_position as super_floor, ReadContext, RequiredPosition, Why,
};
use sandstile_sessions::mark::{Mark, SessionMarks, Term};
use sandstile_sessions::sketch::Sketch;
use sandstile_sessions::store::{SessionKey, Store, StoreLimits};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
struct News(Vec<(u8, u16)>);

impl Arbitrary for News {
    fn arbitrary(g: &mut Gen) -> Self {
        News((0..usize::arbitrary(g) % 4).map(|_| (u8::arbitrary(g) % 5, u16::arbitrary(g) % 50)).collect())
    }
}

fn mark(term: u8, position: u16) -> Mark {
    Mark { term: Term(u64::from(term)), position: f64::from(position) }
}

fn seen(news: &News) -> SessionMarks {
    let mut seen = SessionMarks::default();
    news.0.iter().for_each(|(term, position)| seen.merge(&SessionMarks::of(mark(*term, *position))));
    seen
}

fn join(a: &SessionMarks, b: &SessionMarks) -> SessionMarks {
    let mut joined = a.clone();
    joined.merge(b);
    joined
}

fn check() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(40, 0xfeed)).tests(4000)
}

#[test]
fn marks_are_a_join_semilattice() {
    fn holds(a: News, b: News, c: News) -> bool {
        let (a, b, c) = (seen(&a), seen(&b), seen(&c));
        let bottom = SessionMarks::default();
        join(&a, &b) == join(&b, &a)
            && join(&join(&a, &b), &c) == join(&a, &join(&b, &c))
            && join(&a, &a) == a
            && join(&join(&a, &b), &b) == join(&a, &b)
            && join(&a, &bottom) == a
    }
    check().quickcheck(holds as fn(News, News, News) -> bool);
}

fn context(now: f64, term: u64) -> ReadContext {
    ReadContext {
        now,
        term: Some(Term(term)),
        horizon: 60.0,
        skew: 1.0,
        complete_since: f64::INFINITY,
        startup_mark: None,
    }
}

/// More news never lower what a read must reach, nor make the unknown known as nothing.
#[test]
fn news_never_weaken_a_floor() {
    fn strength(f: RequiredPosition) -> f64 {
        match f {
            RequiredPosition::Nothing => -1.0,
            RequiredPosition::Known(position) => position,
            RequiredPosition::Unknown(_) => f64::INFINITY,
        }
    }
    fn holds(a: News, b: News, term: u8) -> bool {
        let mut g = context(60.0, u64::from(term % 5));
        g.complete_since = f64::NEG_INFINITY;
        let (a, b) = (seen(&a), seen(&b));
        strength(required_position(&join(&a, &b), true, &g)) >= strength(required_position(&a, true, &g))
    }
    check().quickcheck(holds as fn(News, News, u8) -> bool);
}

#[test]
fn what_cannot_be_compared_is_unknown_and_unknown_is_never_nothing() {
    let g = context(1000.0, 1);
    let of = |position: f64, term: u64| SessionMarks::of(Mark { term: Term(term), position });
    // Remembered here, but the session may have written elsewhere since.
    assert_eq!(super_floor(&of(990.0, 1), false, &g), RequiredPosition::Unknown(Why::NoWord));
    assert_eq!(
        super_floor(&of(990.0, 1), false, &ReadContext { complete_since: 900.0, ..g }),
        RequiredPosition::Known(990.0)
    );
    let required_position = |seen: &SessionMarks, g: &ReadContext| super_floor(seen, !seen.is_empty(), g);
    assert_eq!(required_position(&SessionMarks::default(), &g), RequiredPosition::Unknown(Why::NoWord));
    assert_eq!(
        required_position(&SessionMarks::default(), &ReadContext { complete_since: 900.0, ..g }),
        RequiredPosition::Nothing
    );
    assert_eq!(
        required_position(&SessionMarks::default(), &ReadContext { complete_since: 990.0, ..g }),
        RequiredPosition::Unknown(Why::NoWord)
    );
    assert_eq!(required_position(&of(990.0, 1), &g), RequiredPosition::Known(990.0));
    assert_eq!(required_position(&of(990.0, 2), &g), RequiredPosition::Unknown(Why::OtherTerm));
    assert_eq!(
        required_position(&of(990.0, 1), &ReadContext { term: None, ..g }),
        RequiredPosition::Unknown(Why::NoTerm)
    );
    // A clock that is off by minutes; a position nobody can have reached; one that is no number.
    assert_eq!(required_position(&of(1300.0, 1), &g), RequiredPosition::Unknown(Why::Ahead));
    assert_eq!(required_position(&of(1000.5, 1), &g), RequiredPosition::Known(1000.5));
    assert_eq!(required_position(&of(f64::NAN, 1), &g), RequiredPosition::Unknown(Why::Lost));
    // Old enough that every replica has it: binds nobody. Carried, it proves that nothing came later.
    assert_eq!(super_floor(&of(900.0, 2), false, &g), RequiredPosition::Unknown(Why::NoWord));
    assert_eq!(required_position(&of(900.0, 2), &g), RequiredPosition::Nothing);
    assert_eq!(required_position(&join(&of(900.0, 2), &of(990.0, 1)), &g), RequiredPosition::Known(990.0));
    let many = (1..=4).fold(SessionMarks::default(), |all, n| join(&all, &of(990.0 + n as f64, n)));
    assert_eq!(required_position(&many, &g), RequiredPosition::Unknown(Why::Lost));
}

/// For every key: at least the greatest that was put in; and after merging, for both sides.
#[test]
fn sketches_never_say_less_than_the_truth() {
    fn holds(left: Vec<(u16, u32)>, right: Vec<(u16, u32)>) -> bool {
        let (mut a, mut b) = (Sketch::new(16, 1000.0), Sketch::new(16, 1000.0));
        let mut truth: BTreeMap<u64, f64> = BTreeMap::new();
        for (sketch, items) in [(&mut a, &left), (&mut b, &right)] {
            for (key, ms) in items {
                let position = 900.0 + f64::from(*ms) / 1000.0;
                sketch.put(u64::from(*key), position);
                let at = truth.entry(u64::from(*key)).or_insert(position);
                *at = at.max(position);
            }
        }
        assert!(a.merge(&b));
        truth.iter().all(|(key, position)| a.get(*key).is_some_and(|said| said >= *position))
    }
    check().tests(500).quickcheck(holds as fn(Vec<(u16, u32)>, Vec<(u16, u32)>) -> bool);
    let mut a = Sketch::new(16, 0.0);
    assert!(!a.merge(&Sketch::new(64, 0.0)) && !a.merge(&Sketch::new(16, 1.0)));
    assert_eq!(a.get(7), None);
    a.put(7, 1e12);
    assert_eq!(a.get(7), Some(f64::INFINITY), "beyond a cell: never less");
}

/// Whatever falls out of the exact store is never asked for less than it must see.
#[test]
fn a_store_that_overflows_raises_and_never_lowers() {
    let limits = StoreLimits { exact: 50, cells: 4096, terms: 2 };
    let mut store = Store::new(limits);
    let mut truth: BTreeMap<u64, (u64, f64)> = BTreeMap::new();
    let mut chance = oorandom::Rand32::new(9);
    for n in 0..5000u64 {
        let term = 1 + n / 3000;
        let key = 200 * (term - 1) + u64::from(chance.rand_range(0..200));
        let position = 1000.0 + n as f64 * 0.01;
        store.note(SessionKey(key), Mark { term: Term(term), position });
        truth.insert(key, (term, position));
        assert!(store.len() <= limits.exact);
    }
    let mut g = context(1050.0, 2);
    g.complete_since = 0.0;
    let (mut known, mut exact) = (0, 0);
    for (key, (term, position)) in &truth {
        match store.required_position(SessionKey(*key), None, &g) {
            RequiredPosition::Known(reach) => {
                assert!(reach >= *position, "{key}: {reach} of {position}");
                known += 1;
                exact += usize::from((reach - position).abs() < 0.002);
            }
            RequiredPosition::Unknown(_) => {}
            RequiredPosition::Nothing => panic!("{key} wrote at {position} under {term}"),
        }
    }
    assert!(known > 30 && exact >= 30, "{known} {exact}");
    // A third term finds no sketch: what falls out then is unknown to all, not nothing.
    for n in 0..100u64 {
        store.note(SessionKey(10_000 + n), Mark { term: Term(7), position: 1050.0 });
    }
    for n in 0..200u64 {
        store.note(SessionKey(20_000 + n), Mark { term: Term(8), position: 1050.5 });
    }
    assert_eq!(store.required_position(SessionKey(999_999), None, &g), RequiredPosition::Unknown(Why::Lost));
    assert!(store.counts().overflowed > 0 && store.counts().pushed_out > 4000);
    // All of it ages out.
    store.remove_expired(2000.0, 60.0);
    assert!(store.is_empty());
    g.now = 2000.0;
    assert_eq!(store.required_position(SessionKey(999_999), None, &g), RequiredPosition::Nothing);
}

/// A snapshot stays as it was while the store goes on, and holds nothing twice.
#[test]
fn a_snapshot_is_of_its_moment() {
    let mut store = Store::new(StoreLimits { exact: 1000, cells: 64, terms: 2 });
    (0..500).for_each(|n| store.note(SessionKey(n), Mark { term: Term(1), position: 100.0 }));
    let before = store.snapshot();
    (0..500).for_each(|n| store.note(SessionKey(n), Mark { term: Term(1), position: 200.0 }));
    store.remove_expired(300.0, 150.0);
    assert_eq!((before.len(), store.len()), (500, 500));
    assert!(before.iter().all(|(_, seen)| seen.latest() == 100.0));
    let mut other = Store::new(StoreLimits::usual());
    for snapshot in [before.clone(), store.snapshot(), before] {
        snapshot.iter().for_each(|(key, seen)| other.merge(*key, seen));
    }
    assert!(other.snapshot().iter().all(|(_, seen)| seen.latest() == 200.0));
}

#[test]
fn a_carried_mark_is_joined_and_proves_what_it_carries() {
    let mut store = Store::new(StoreLimits::usual());
    let g = context(1000.0, 1);
    let carried = |position: f64, term: u64| Some(Mark { term: Term(term), position });
    let key = SessionKey(5);
    assert_eq!(store.required_position(key, carried(990.0, 1), &g), RequiredPosition::Known(990.0));
    assert_eq!(
        store.required_position(key, carried(990.0, 2), &g),
        RequiredPosition::Unknown(Why::OtherTerm)
    );
    assert_eq!(store.required_position(key, carried(100.0, 2), &g), RequiredPosition::Nothing);
    store.note(key, Mark { term: Term(1), position: 995.0 });
    assert_eq!(store.required_position(key, carried(990.0, 1), &g), RequiredPosition::Known(995.0));
    store.note_unknown(key, 999.0);
    assert_eq!(store.required_position(key, carried(990.0, 1), &g), RequiredPosition::Unknown(Why::Lost));
}

/// After a start: what the primary first told binds whoever is not known, and nobody more than what is known besides; it is nothing
/// under another term, nor where sessions roam.
#[test]
fn after_a_start_the_primarys_first_word_is_enough() {
    let of = |position: f64, term: u64| SessionMarks::of(Mark { term: Term(term), position });
    let g = ReadContext {
        complete_since: 995.0,
        startup_mark: Some(Mark { term: Term(1), position: 996.0 }),
        ..context(1000.0, 1)
    };
    assert_eq!(super_floor(&SessionMarks::default(), false, &g), RequiredPosition::Known(996.0));
    assert_eq!(super_floor(&of(990.0, 1), false, &g), RequiredPosition::Known(996.0));
    assert_eq!(super_floor(&of(998.0, 1), false, &g), RequiredPosition::Known(998.0));
    assert_eq!(super_floor(&of(990.0, 2), false, &g), RequiredPosition::Unknown(Why::OtherTerm));
    let unknown = RequiredPosition::Unknown(Why::NoWord);
    assert_eq!(
        super_floor(&SessionMarks::default(), false, &ReadContext { term: Some(Term(2)), ..g }),
        unknown
    );
    assert_eq!(
        super_floor(&SessionMarks::default(), false, &ReadContext { complete_since: f64::INFINITY, ..g }),
        unknown
    );
    let ahead = Some(Mark { term: Term(1), position: 2000.0 });
    assert_eq!(
        super_floor(&SessionMarks::default(), false, &ReadContext { startup_mark: ahead, ..g }),
        unknown
    );
}

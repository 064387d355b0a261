//! Marks merge in any order, any number of times; sketches never say less than the truth.
use quickcheck::{Arbitrary, Gen, QuickCheck};
use sandstile_sessions::floor::{floor, floor as super_floor, Floor, Ground, Why};
use sandstile_sessions::mark::{Mark, Seen, Term};
use sandstile_sessions::sketch::Sketch;
use sandstile_sessions::store::{Bounds, Key, Store};
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

fn seen(news: &News) -> Seen {
    let mut seen = Seen::default();
    news.0.iter().for_each(|(term, position)| seen.merge(&Seen::of(mark(*term, *position))));
    seen
}

fn join(a: &Seen, b: &Seen) -> Seen {
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
        let bottom = Seen::default();
        join(&a, &b) == join(&b, &a)
            && join(&join(&a, &b), &c) == join(&a, &join(&b, &c))
            && join(&a, &a) == a
            && join(&join(&a, &b), &b) == join(&a, &b)
            && join(&a, &bottom) == a
    }
    check().quickcheck(holds as fn(News, News, News) -> bool);
}

fn ground(now: f64, term: u64) -> Ground {
    Ground { now, term: Some(Term(term)), horizon: 60.0, skew: 1.0, heard_since: f64::INFINITY, begun: None }
}

/// More news never lower what a read must reach, nor make the unknown known as nothing.
#[test]
fn news_never_weaken_a_floor() {
    fn strength(f: Floor) -> f64 {
        match f {
            Floor::Nothing => -1.0,
            Floor::Known(position) => position,
            Floor::Unknown(_) => f64::INFINITY,
        }
    }
    fn holds(a: News, b: News, term: u8) -> bool {
        let mut g = ground(60.0, u64::from(term % 5));
        g.heard_since = f64::NEG_INFINITY;
        let (a, b) = (seen(&a), seen(&b));
        strength(floor(&join(&a, &b), true, &g)) >= strength(floor(&a, true, &g))
    }
    check().quickcheck(holds as fn(News, News, u8) -> bool);
}

#[test]
fn what_cannot_be_compared_is_unknown_and_unknown_is_never_nothing() {
    let g = ground(1000.0, 1);
    let of = |position: f64, term: u64| Seen::of(Mark { term: Term(term), position });
    // Remembered here, but the session may have written elsewhere since.
    assert_eq!(super_floor(&of(990.0, 1), false, &g), Floor::Unknown(Why::NoWord));
    assert_eq!(super_floor(&of(990.0, 1), false, &Ground { heard_since: 900.0, ..g }), Floor::Known(990.0));
    let floor = |seen: &Seen, g: &Ground| super_floor(seen, !seen.is_empty(), g);
    assert_eq!(floor(&Seen::default(), &g), Floor::Unknown(Why::NoWord));
    assert_eq!(floor(&Seen::default(), &Ground { heard_since: 900.0, ..g }), Floor::Nothing);
    assert_eq!(floor(&Seen::default(), &Ground { heard_since: 990.0, ..g }), Floor::Unknown(Why::NoWord));
    assert_eq!(floor(&of(990.0, 1), &g), Floor::Known(990.0));
    assert_eq!(floor(&of(990.0, 2), &g), Floor::Unknown(Why::OtherTerm));
    assert_eq!(floor(&of(990.0, 1), &Ground { term: None, ..g }), Floor::Unknown(Why::NoTerm));
    // A clock that is off by minutes; a position nobody can have reached; one that is no number.
    assert_eq!(floor(&of(1300.0, 1), &g), Floor::Unknown(Why::Ahead));
    assert_eq!(floor(&of(1000.5, 1), &g), Floor::Known(1000.5));
    assert_eq!(floor(&of(f64::NAN, 1), &g), Floor::Unknown(Why::Lost));
    // Old enough that every replica has it: binds nobody. Carried, it proves that nothing came later.
    assert_eq!(super_floor(&of(900.0, 2), false, &g), Floor::Unknown(Why::NoWord));
    assert_eq!(floor(&of(900.0, 2), &g), Floor::Nothing);
    assert_eq!(floor(&join(&of(900.0, 2), &of(990.0, 1)), &g), Floor::Known(990.0));
    let many = (1..=4).fold(Seen::default(), |all, n| join(&all, &of(990.0 + n as f64, n)));
    assert_eq!(floor(&many, &g), Floor::Unknown(Why::Lost));
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
    let bounds = Bounds { exact: 50, cells: 4096, terms: 2 };
    let mut store = Store::new(bounds);
    let mut truth: BTreeMap<u64, (u64, f64)> = BTreeMap::new();
    let mut chance = oorandom::Rand32::new(9);
    for n in 0..5000u64 {
        let term = 1 + n / 3000;
        let key = 200 * (term - 1) + u64::from(chance.rand_range(0..200));
        let position = 1000.0 + n as f64 * 0.01;
        store.note(Key(key), Mark { term: Term(term), position });
        truth.insert(key, (term, position));
        assert!(store.len() <= bounds.exact);
    }
    let mut g = ground(1050.0, 2);
    g.heard_since = 0.0;
    let (mut known, mut exact) = (0, 0);
    for (key, (term, position)) in &truth {
        match store.floor(Key(*key), None, &g) {
            Floor::Known(reach) => {
                assert!(reach >= *position, "{key}: {reach} of {position}");
                known += 1;
                exact += usize::from((reach - position).abs() < 0.002);
            }
            Floor::Unknown(_) => {}
            Floor::Nothing => panic!("{key} wrote at {position} under {term}"),
        }
    }
    assert!(known > 30 && exact >= 30, "{known} {exact}");
    // A third term finds no sketch: what falls out then is unknown to all, not nothing.
    for n in 0..100u64 {
        store.note(Key(10_000 + n), Mark { term: Term(7), position: 1050.0 });
    }
    for n in 0..200u64 {
        store.note(Key(20_000 + n), Mark { term: Term(8), position: 1050.5 });
    }
    assert_eq!(store.floor(Key(999_999), None, &g), Floor::Unknown(Why::Lost));
    assert!(store.counts().overflowed > 0 && store.counts().pushed_out > 4000);
    // All of it ages out.
    store.age_out(2000.0, 60.0);
    assert!(store.is_empty());
    g.now = 2000.0;
    assert_eq!(store.floor(Key(999_999), None, &g), Floor::Nothing);
}

/// A snapshot stays as it was while the store goes on, and holds nothing twice.
#[test]
fn a_snapshot_is_of_its_moment() {
    let mut store = Store::new(Bounds { exact: 1000, cells: 64, terms: 2 });
    (0..500).for_each(|n| store.note(Key(n), Mark { term: Term(1), position: 100.0 }));
    let before = store.snapshot();
    (0..500).for_each(|n| store.note(Key(n), Mark { term: Term(1), position: 200.0 }));
    store.age_out(300.0, 150.0);
    assert_eq!((before.len(), store.len()), (500, 500));
    assert!(before.iter().all(|(_, seen)| seen.latest() == 100.0));
    let mut other = Store::new(Bounds::usual());
    for snapshot in [before.clone(), store.snapshot(), before] {
        snapshot.iter().for_each(|(key, seen)| other.merge(*key, seen));
    }
    assert!(other.snapshot().iter().all(|(_, seen)| seen.latest() == 200.0));
}

#[test]
fn a_carried_mark_is_joined_and_proves_what_it_carries() {
    let mut store = Store::new(Bounds::usual());
    let g = ground(1000.0, 1);
    let carried = |position: f64, term: u64| Some(Mark { term: Term(term), position });
    let key = Key(5);
    assert_eq!(store.floor(key, carried(990.0, 1), &g), Floor::Known(990.0));
    assert_eq!(store.floor(key, carried(990.0, 2), &g), Floor::Unknown(Why::OtherTerm));
    assert_eq!(store.floor(key, carried(100.0, 2), &g), Floor::Nothing);
    store.note(key, Mark { term: Term(1), position: 995.0 });
    assert_eq!(store.floor(key, carried(990.0, 1), &g), Floor::Known(995.0));
    store.note_unknown(key, 999.0);
    assert_eq!(store.floor(key, carried(990.0, 1), &g), Floor::Unknown(Why::Lost));
}

/// After a start: what the primary first told binds whoever is not known, and nobody more than what is known besides; it is nothing
/// under another term, nor where sessions roam.
#[test]
fn after_a_start_the_primarys_first_word_is_enough() {
    let of = |position: f64, term: u64| Seen::of(Mark { term: Term(term), position });
    let g = Ground {
        heard_since: 995.0,
        begun: Some(Mark { term: Term(1), position: 996.0 }),
        ..ground(1000.0, 1)
    };
    assert_eq!(super_floor(&Seen::default(), false, &g), Floor::Known(996.0));
    assert_eq!(super_floor(&of(990.0, 1), false, &g), Floor::Known(996.0));
    assert_eq!(super_floor(&of(998.0, 1), false, &g), Floor::Known(998.0));
    assert_eq!(super_floor(&of(990.0, 2), false, &g), Floor::Unknown(Why::OtherTerm));
    let unknown = Floor::Unknown(Why::NoWord);
    assert_eq!(super_floor(&Seen::default(), false, &Ground { term: Some(Term(2)), ..g }), unknown);
    assert_eq!(super_floor(&Seen::default(), false, &Ground { heard_since: f64::INFINITY, ..g }), unknown);
    let ahead = Some(Mark { term: Term(1), position: 2000.0 });
    assert_eq!(super_floor(&Seen::default(), false, &Ground { begun: ahead, ..g }), unknown);
}

//! Marks merge in any order and repeatedly, and sketches never underestimate a position.
use quickcheck::{Arbitrary, Gen, QuickCheck};
use sandstile_sessions::mark::{Mark, SessionMarks, Term};
use sandstile_sessions::required_position::{
    required_position, required_position as compute_required_position, ReadContext, RequiredPosition,
    UnknownReason,
};
use sandstile_sessions::sketch::Sketch;
use sandstile_sessions::store::{SessionKey, Store, StoreLimits};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
struct MarkList(Vec<(u8, u16)>);

impl Arbitrary for MarkList {
    fn arbitrary(g: &mut Gen) -> Self {
        MarkList(
            (0..usize::arbitrary(g) % 4).map(|_| (u8::arbitrary(g) % 5, u16::arbitrary(g) % 50)).collect(),
        )
    }
}

fn mark(term: u8, position: u16) -> Mark {
    Mark { term: Term(u64::from(term)), position: f64::from(position) }
}

fn session_marks(marks: &MarkList) -> SessionMarks {
    let mut session_marks = SessionMarks::default();
    marks
        .0
        .iter()
        .for_each(|(term, position)| session_marks.merge(&SessionMarks::of(mark(*term, *position))));
    session_marks
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
    fn property(a: MarkList, b: MarkList, c: MarkList) -> bool {
        let (a, b, c) = (session_marks(&a), session_marks(&b), session_marks(&c));
        let bottom = SessionMarks::default();
        join(&a, &b) == join(&b, &a)
            && join(&join(&a, &b), &c) == join(&a, &join(&b, &c))
            && join(&a, &a) == a
            && join(&join(&a, &b), &b) == join(&a, &b)
            && join(&a, &bottom) == a
    }
    check().quickcheck(property as fn(MarkList, MarkList, MarkList) -> bool);
}

fn context(now: f64, term: u64) -> ReadContext {
    ReadContext {
        now,
        term: Some(Term(term)),
        max_replica_lag: 60.0,
        max_clock_skew: 1.0,
        complete_since: f64::INFINITY,
        startup_mark: None,
    }
}

/// Further marks never lower the required position, and never turn an unknown position into `Nothing`.
#[test]
fn merging_more_marks_never_lowers_the_required_position() {
    fn strength(f: RequiredPosition) -> f64 {
        match f {
            RequiredPosition::Nothing => -1.0,
            RequiredPosition::Known(position) => position,
            RequiredPosition::Unknown(_) => f64::INFINITY,
        }
    }
    fn property(a: MarkList, b: MarkList, term: u8) -> bool {
        let mut ctx = context(60.0, u64::from(term % 5));
        ctx.complete_since = f64::NEG_INFINITY;
        let (a, b) = (session_marks(&a), session_marks(&b));
        strength(required_position(&join(&a, &b), true, &ctx)) >= strength(required_position(&a, true, &ctx))
    }
    check().quickcheck(property as fn(MarkList, MarkList, u8) -> bool);
}

#[test]
fn incomparable_or_incomplete_marks_yield_unknown() {
    let ctx = context(1000.0, 1);
    let marks_at = |position: f64, term: u64| SessionMarks::of(Mark { term: Term(term), position });
    // The mark is remembered here, but the session may have written through another instance since.
    assert_eq!(
        compute_required_position(&marks_at(990.0, 1), false, &ctx),
        RequiredPosition::Unknown(UnknownReason::HistoryIncomplete)
    );
    assert_eq!(
        compute_required_position(&marks_at(990.0, 1), false, &ReadContext { complete_since: 900.0, ..ctx }),
        RequiredPosition::Known(990.0)
    );
    let required_position = |session_marks: &SessionMarks, ctx: &ReadContext| {
        compute_required_position(session_marks, !session_marks.is_empty(), ctx)
    };
    assert_eq!(
        required_position(&SessionMarks::default(), &ctx),
        RequiredPosition::Unknown(UnknownReason::HistoryIncomplete)
    );
    assert_eq!(
        required_position(&SessionMarks::default(), &ReadContext { complete_since: 900.0, ..ctx }),
        RequiredPosition::Nothing
    );
    assert_eq!(
        required_position(&SessionMarks::default(), &ReadContext { complete_since: 990.0, ..ctx }),
        RequiredPosition::Unknown(UnknownReason::HistoryIncomplete)
    );
    assert_eq!(required_position(&marks_at(990.0, 1), &ctx), RequiredPosition::Known(990.0));
    assert_eq!(
        required_position(&marks_at(990.0, 2), &ctx),
        RequiredPosition::Unknown(UnknownReason::DifferentTerm)
    );
    assert_eq!(
        required_position(&marks_at(990.0, 1), &ReadContext { term: None, ..ctx }),
        RequiredPosition::Unknown(UnknownReason::NoPrimaryTerm)
    );
    // A clock that is off by minutes, a position just within the clock difference, and a position that is not
    // a number.
    assert_eq!(
        required_position(&marks_at(1300.0, 1), &ctx),
        RequiredPosition::Unknown(UnknownReason::Ahead)
    );
    assert_eq!(required_position(&marks_at(1000.5, 1), &ctx), RequiredPosition::Known(1000.5));
    assert_eq!(
        required_position(&marks_at(f64::NAN, 1), &ctx),
        RequiredPosition::Unknown(UnknownReason::Lost)
    );
    // Every replica has applied a mark this old, so that it restricts no read. Sent by the client, it proves
    // that no later write followed.
    assert_eq!(
        compute_required_position(&marks_at(900.0, 2), false, &ctx),
        RequiredPosition::Unknown(UnknownReason::HistoryIncomplete)
    );
    assert_eq!(required_position(&marks_at(900.0, 2), &ctx), RequiredPosition::Nothing);
    assert_eq!(
        required_position(&join(&marks_at(900.0, 2), &marks_at(990.0, 1)), &ctx),
        RequiredPosition::Known(990.0)
    );
    let four_terms =
        (1..=4).fold(SessionMarks::default(), |all, n| join(&all, &marks_at(990.0 + n as f64, n)));
    assert_eq!(required_position(&four_terms, &ctx), RequiredPosition::Unknown(UnknownReason::Lost));
}

/// The estimate of every key is at least its greatest inserted position, also after merging two sketches.
#[test]
fn sketch_never_underestimates_a_position() {
    fn property(left: Vec<(u16, u32)>, right: Vec<(u16, u32)>) -> bool {
        let (mut a, mut b) = (Sketch::new(16, 1000.0), Sketch::new(16, 1000.0));
        let mut truth: BTreeMap<u64, f64> = BTreeMap::new();
        for (sketch, items) in [(&mut a, &left), (&mut b, &right)] {
            for (key, ms) in items {
                let position = 900.0 + f64::from(*ms) / 1000.0;
                sketch.insert(u64::from(*key), position);
                let entry = truth.entry(u64::from(*key)).or_insert(position);
                *entry = entry.max(position);
            }
        }
        assert!(a.merge(&b));
        truth.iter().all(|(key, position)| a.get(*key).is_some_and(|estimate| estimate >= *position))
    }
    check().tests(500).quickcheck(property as fn(Vec<(u16, u32)>, Vec<(u16, u32)>) -> bool);
    let mut a = Sketch::new(16, 0.0);
    assert!(!a.merge(&Sketch::new(64, 0.0)) && !a.merge(&Sketch::new(16, 1.0)));
    assert_eq!(a.get(7), None);
    a.insert(7, 1e12);
    assert_eq!(a.get(7), Some(f64::INFINITY), "a position beyond a cell is never underestimated");
}

/// Sessions that were evicted from the exact store never get a required position below their latest write.
#[test]
fn evicted_sessions_never_require_less_than_their_mark() {
    let limits = StoreLimits { exact_sessions: 50, sketch_cells: 4096, terms: 2 };
    let mut store = Store::new(limits);
    let mut truth: BTreeMap<u64, (u64, f64)> = BTreeMap::new();
    let mut rng = oorandom::Rand32::new(9);
    for n in 0..5000u64 {
        let term = 1 + n / 3000;
        let key = 200 * (term - 1) + u64::from(rng.rand_range(0..200));
        let position = 1000.0 + n as f64 * 0.01;
        store.record(SessionKey(key), Mark { term: Term(term), position });
        truth.insert(key, (term, position));
        assert!(store.len() <= limits.exact_sessions);
    }
    let mut ctx = context(1050.0, 2);
    ctx.complete_since = 0.0;
    let (mut known, mut exact) = (0, 0);
    for (key, (term, position)) in &truth {
        match store.required_position(SessionKey(*key), None, &ctx) {
            RequiredPosition::Known(required) => {
                assert!(required >= *position, "{key}: required {required}, written {position}");
                known += 1;
                exact += usize::from((required - position).abs() < 0.002);
            }
            RequiredPosition::Unknown(_) => {}
            RequiredPosition::Nothing => panic!("{key} wrote at {position} under {term}"),
        }
    }
    assert!(known > 30 && exact >= 30, "{known} {exact}");
    // A third term gets no sketch: the sessions evicted then make all unknown sessions `Unknown` instead of
    // `Nothing`.
    for n in 0..100u64 {
        store.record(SessionKey(10_000 + n), Mark { term: Term(7), position: 1050.0 });
    }
    for n in 0..200u64 {
        store.record(SessionKey(20_000 + n), Mark { term: Term(8), position: 1050.5 });
    }
    assert_eq!(
        store.required_position(SessionKey(999_999), None, &ctx),
        RequiredPosition::Unknown(UnknownReason::Lost)
    );
    assert!(store.counts().overflowed > 0 && store.counts().pushed_out > 4000);
    // Everything expires.
    store.remove_expired(2000.0, 60.0);
    assert!(store.is_empty());
    ctx.now = 2000.0;
    assert_eq!(store.required_position(SessionKey(999_999), None, &ctx), RequiredPosition::Nothing);
}

/// A snapshot does not change while the store goes on, and merging snapshots repeatedly gives the latest
/// marks.
#[test]
fn snapshot_is_unaffected_by_later_writes() {
    let mut store = Store::new(StoreLimits { exact_sessions: 1000, sketch_cells: 64, terms: 2 });
    (0..500).for_each(|n| store.record(SessionKey(n), Mark { term: Term(1), position: 100.0 }));
    let before = store.snapshot();
    (0..500).for_each(|n| store.record(SessionKey(n), Mark { term: Term(1), position: 200.0 }));
    store.remove_expired(300.0, 150.0);
    assert_eq!((before.len(), store.len()), (500, 500));
    assert!(before.iter().all(|(_, session_marks)| session_marks.latest() == 100.0));
    let mut other = Store::new(StoreLimits::default_limits());
    for snapshot in [before.clone(), store.snapshot(), before] {
        snapshot.iter().for_each(|(key, session_marks)| other.merge(*key, session_marks));
    }
    assert!(other.snapshot().iter().all(|(_, session_marks)| session_marks.latest() == 200.0));
}

#[test]
fn carried_mark_is_merged_and_completes_the_history() {
    let mut store = Store::new(StoreLimits::default_limits());
    let ctx = context(1000.0, 1);
    let carried = |position: f64, term: u64| Some(Mark { term: Term(term), position });
    let key = SessionKey(5);
    assert_eq!(store.required_position(key, carried(990.0, 1), &ctx), RequiredPosition::Known(990.0));
    assert_eq!(
        store.required_position(key, carried(990.0, 2), &ctx),
        RequiredPosition::Unknown(UnknownReason::DifferentTerm)
    );
    assert_eq!(store.required_position(key, carried(100.0, 2), &ctx), RequiredPosition::Nothing);
    store.record(key, Mark { term: Term(1), position: 995.0 });
    assert_eq!(store.required_position(key, carried(990.0, 1), &ctx), RequiredPosition::Known(995.0));
    store.record_unknown_position(key, 999.0);
    assert_eq!(
        store.required_position(key, carried(990.0, 1), &ctx),
        RequiredPosition::Unknown(UnknownReason::Lost)
    );
}

/// After a start, the startup mark is the required position of sessions without known marks; a later known
/// mark takes precedence. It does not apply under another term or where sessions roam between instances.
#[test]
fn startup_mark_is_the_requirement_of_unknown_sessions_after_a_start() {
    let marks_at = |position: f64, term: u64| SessionMarks::of(Mark { term: Term(term), position });
    let ctx = ReadContext {
        complete_since: 995.0,
        startup_mark: Some(Mark { term: Term(1), position: 996.0 }),
        ..context(1000.0, 1)
    };
    assert_eq!(
        compute_required_position(&SessionMarks::default(), false, &ctx),
        RequiredPosition::Known(996.0)
    );
    assert_eq!(compute_required_position(&marks_at(990.0, 1), false, &ctx), RequiredPosition::Known(996.0));
    assert_eq!(compute_required_position(&marks_at(998.0, 1), false, &ctx), RequiredPosition::Known(998.0));
    assert_eq!(
        compute_required_position(&marks_at(990.0, 2), false, &ctx),
        RequiredPosition::Unknown(UnknownReason::DifferentTerm)
    );
    let unknown = RequiredPosition::Unknown(UnknownReason::HistoryIncomplete);
    assert_eq!(
        compute_required_position(
            &SessionMarks::default(),
            false,
            &ReadContext { term: Some(Term(2)), ..ctx }
        ),
        unknown
    );
    assert_eq!(
        compute_required_position(
            &SessionMarks::default(),
            false,
            &ReadContext { complete_since: f64::INFINITY, ..ctx }
        ),
        unknown
    );
    let ahead = Some(Mark { term: Term(1), position: 2000.0 });
    assert_eq!(
        compute_required_position(
            &SessionMarks::default(),
            false,
            &ReadContext { startup_mark: ahead, ..ctx }
        ),
        unknown
    );
}

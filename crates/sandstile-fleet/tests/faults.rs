//! Each fault alone and in company, in virtual time.
mod driver;

use driver::*;
use sandstile_fleet::plan::{Discipline, Work};
use sandstile_fleet::{Answer, Event, FaultKind, Output, Readiness};

#[test]
fn a_write_runs_on_the_primary_and_reaches_the_replicas() {
    let mut d = Driver::new(plan(3));
    let write = d.ask(0, "w", SAVE, Some("ann"));
    let denied = d.ask(1, "x", SAVE, None);
    d.run(0.015);
    assert_eq!((d.word(write), d.word(denied)), ("row", "25006"));
    assert_eq!((d.ran("w"), d.ran("x")), (1, 0));
    // The replica has not heard of it yet: her read is held, and served once it has.
    let own = d.ask(1, "o", OWN, Some("ann"));
    let other = d.ask(1, "p", OWN, Some("bob"));
    d.run(0.0);
    assert_eq!((d.word(own), d.word(other)), ("-", "-"));
    d.run(0.030);
    assert_eq!((d.word(own), d.word(other)), ("row", "row"));
    let fresh = d.ask(2, "f", FRESH, None);
    assert_eq!(d.word(fresh), "72000");
}

#[test]
fn a_replica_too_far_behind_holds_a_read_and_then_refuses_it() {
    let mut d = Driver::new(plan(2));
    d.fault(FaultKind::SlowReplay(0.0), "s-g-m1", 30.0);
    d.ask(0, "w", SAVE, Some("ann"));
    d.run(1.0);
    let (own, recent, any) =
        (d.ask(1, "o", OWN, Some("ann")), d.ask(1, "r", RECENT, None), d.ask(1, "a", ANY, None));
    d.run(0.045);
    assert_eq!((d.word(own), d.word(recent), d.word(any)), ("-", "-", "row"));
    d.run(0.010);
    assert_eq!((d.word(own), d.word(recent)), ("72000", "72000"));
    assert_eq!(d.ran("o"), 0);
    d.run(30.0);
    let again = d.ask(1, "o2", OWN, Some("ann"));
    d.run(0.1);
    assert_eq!(d.word(again), "row");
}

/// What was committed within the time that shipping takes is lost with the primary, and is seen to be.
#[test]
fn a_lost_primary_is_replaced_by_the_furthest_and_what_was_not_replicated_is_seen_lost() {
    let mut d = Driver::new(plan(3));
    // m1 stands still for the first write, so that m2 is further.
    d.fault(FaultKind::Pause, "s-g-m1", 0.5);
    d.ask(0, "first", SAVE, None);
    d.run(0.1);
    let last = d.ask(0, "last", SAVE, None);
    d.run(0.012);
    assert_eq!(d.word(last), "row");
    d.fault(FaultKind::Lost, "s-g-m0", 10.0);
    assert_eq!(d.others.last().map(|o| &o.1), Some(&Output::Silent { host: 0 }));
    d.run(0.9);
    assert_eq!(d.fleet.primary_of(0), Some(0), "not missed for long enough yet");
    d.run(0.7);
    assert_eq!(d.fleet.primary_of(0), Some(2));
    let lost = |id: &str| d.saw(|e| matches!(e, Event::LostCommit { id: i, .. } if i == id));
    assert_eq!((lost("first"), lost("last")), (0, 1));
    let next = d.ask(2, "next", SAVE, None);
    d.run(0.1);
    assert_eq!(d.word(next), "row");
    // The former primary comes back as a replica, cold, without what nobody else had.
    d.run(9.0);
    assert_eq!(d.fleet.primary_of(0), Some(2));
    assert!(d.fleet.lives(0) && d.fleet.listing(0).since > START);
    assert_eq!(d.fleet.backlog(0), (0, 0));
    let denied = d.ask(0, "denied", SAVE, None);
    d.run(0.1);
    assert_eq!(d.word(denied), "25006");
}

/// The pause of a primary that is being drained: the hand-over waits, no commit is lost, nobody is primary twice.
#[test]
fn a_pause_before_at_and_after_a_drain_loses_nothing() {
    for (drain_at, pause_at) in [(0.10, 0.08), (0.10, 0.10), (0.10, 0.12)] {
        let mut d = Driver::new(plan(3));
        let write = d.ask(0, "w", SAVE, None);
        let mut at = 0.0;
        for (when, drains) in [
            (f64::min(drain_at, pause_at), pause_at >= drain_at),
            (f64::max(drain_at, pause_at), pause_at < drain_at),
        ] {
            d.run(when - at);
            at = when;
            match drains {
                true => d.fault(FaultKind::Drain, "s-g-m0", 20.0),
                false => d.fault(FaultKind::Pause, "s-g-m0", 0.4),
            }
        }
        assert_eq!(d.fleet.listing(0).readiness, Readiness::Leaving);
        // Half a second after both: the hand-over goes on at once where the pause is over.
        d.run(1.1);
        assert_ne!(d.fleet.primary_of(0), Some(0), "{drain_at} {pause_at}");
        d.run(5.0);
        assert_eq!(d.word(write), "row");
        assert_ne!(d.fleet.primary_of(0), Some(0), "{drain_at} {pause_at}");
        assert_eq!(d.saw(|e| matches!(e, Event::LostCommit { .. })), 0);
        assert_eq!(d.saw(|e| matches!(e, Event::Primary { .. })), 2);
        let late = d.ask(0, "late", ANY, None);
        d.run(0.1);
        assert_eq!(d.word(late), "53300");
    }
}

#[test]
fn a_pause_keeps_all_and_goes_on_and_a_hang_runs_and_says_nothing() {
    let mut d = Driver::new(plan(2));
    let before = d.ask(1, "before", ANY, None);
    d.run(0.005);
    d.fault(FaultKind::Pause, "s-g-m1", 0.5);
    let during = d.connect(1);
    d.run(0.45);
    assert_eq!((d.word(before), d.greeted(during), d.ran("before")), ("-", None, 0));
    d.run(0.1);
    assert_eq!((d.word(before), d.greeted(during)), ("row", Some(true)));
    d.fault(FaultKind::Hang, "s-g-m0", 0.5);
    let write = d.ask(0, "w", SAVE, None);
    d.run(0.4);
    assert_eq!((d.word(write), d.ran("w")), ("-", 1));
    d.run(0.2);
    assert_eq!(d.word(write), "row");
    // One that gave up in the meantime hears nothing.
    d.fault(FaultKind::Hang, "s-g-m0", 0.5);
    let left = d.ask(0, "x", SAVE, None);
    d.run(0.2);
    d.close(left);
    d.run(1.0);
    assert_eq!((d.word(left), d.ran("x")), ("-", 1));
}

#[test]
fn a_crash_under_a_pause_and_a_slow_machine_compose() {
    let mut d = Driver::new(plan(2));
    d.fault(FaultKind::Slow(0.5), "s-g-m1", 60.0);
    d.fault(FaultKind::Neighbour(0.5), "s-g-m1", 60.0);
    let slow = d.ask(1, "slow", ANY, None);
    d.run(0.039);
    assert_eq!(d.word(slow), "-");
    d.run(0.002);
    assert_eq!(d.word(slow), "row");
    d.fault(FaultKind::Pause, "s-g-m1", 10.0);
    let gone = d.ask(1, "gone", ANY, None);
    d.run(1.0);
    d.fault(FaultKind::Crash, "s-g-m1", 2.0);
    d.run(3.0);
    // It started anew, and stands still all the same until the pause is over.
    assert!(d.fleet.lives(1) && d.fleet.effects(1).paused);
    d.run(8.0);
    assert_eq!((d.word(gone), d.ran("gone")), ("-", 0));
    let again = d.ask(1, "again", ANY, None);
    d.run(0.2);
    assert_eq!(d.word(again), "row");
}

#[test]
fn a_machine_that_dies_while_cold_starts_cold_once_more() {
    let mut d = Driver::new(plan(2));
    d.fault(FaultKind::Crash, "s-g-m1", 1.0);
    d.run(2.0);
    let first = d.fleet.listing(1).since;
    let read = d.ask(1, "r", ANY, None);
    d.run(0.015);
    assert_eq!(d.word(read), "-", "cold: 10 ms of work take longer");
    d.run(0.05);
    assert_eq!(d.word(read), "row");
    d.fault(FaultKind::Crash, "s-g-m1", 1.0);
    d.fault(FaultKind::Lost, "s-g-m1", 3.0);
    d.run(2.0);
    assert!(!d.fleet.lives(1));
    d.run(2.0);
    assert!(d.fleet.listing(1).since > first + 2.0);
}

#[test]
fn a_cold_host_that_is_pushed_falls_over_and_a_warm_one_does_not() {
    let mut d = Driver::new(plan(2));
    let push = |d: &mut Driver, id: &str| {
        for n in 0..40 {
            d.ask(1, &format!("{id}{n}"), ANY, None);
        }
    };
    push(&mut d, "warm");
    d.run(3.0);
    assert_eq!(d.saw(|e| matches!(e, Event::Tipped { .. })), 0);
    d.fault(FaultKind::Crash, "s-g-m1", 1.0);
    d.run(1.01);
    // 4 times what 2 cores at 0.3 can do in half a second is 1.2 s: 40 of 10 ms do not reach it.
    push(&mut d, "cold");
    assert_eq!(d.saw(|e| matches!(e, Event::Tipped { .. })), 0);
    for n in 0..90 {
        let conn = d.ask(1, &format!("more{n}"), ANY, None);
        d.run(0.001);
        d.close(conn);
    }
    assert_eq!(d.saw(|e| matches!(e, Event::Tipped { .. })), 1);
    assert!(!d.fleet.lives(1));
    d.run(2.5);
    assert!(d.fleet.lives(1));
}

#[test]
fn a_group_without_members_has_no_primary_until_one_comes_back() {
    let mut d = Driver::new(plan(2));
    d.fault(FaultKind::Crash, "s-g-m0", 6.0);
    d.fault(FaultKind::Crash, "s-g-m1", 4.0);
    d.run(3.0);
    assert_eq!(d.fleet.primary_of(0), None);
    d.run(2.0);
    assert_eq!(d.fleet.primary_of(0), Some(1));
    d.run(3.0);
    assert_eq!(d.fleet.primary_of(0), Some(1));
}

#[test]
fn a_replaced_host_leaves_and_its_successor_serves_under_its_own_name() {
    let mut d = Driver::new(plan(3));
    d.fault(FaultKind::Replace, "s-g-m0", 3.0);
    let born = d.fleet.find("s-g-m0-r1").expect("a successor");
    assert!(d.others.iter().any(|(_, o)| *o == Output::Born { host: born }));
    d.run(4.0);
    assert_eq!(d.fleet.listing(0).readiness, Readiness::Left);
    assert!(!d.fleet.lives(0));
    let primary = d.fleet.primary_of(0).expect("a primary");
    assert_ne!(primary, 0);
    let write = d.ask(primary, "w", SAVE, Some("ann"));
    d.run(0.1);
    let own = d.ask(born, "o", OWN, Some("ann"));
    d.run(0.2);
    assert_eq!((d.word(write), d.word(own)), ("row", "row"));
}

#[test]
fn errors_spoilt_answers_refusals_and_early_closes_come_as_told() {
    let mut d = Driver::new(plan(2));
    d.fault(FaultKind::FastErrors(1.0), "s-g-m1", 1.0);
    let error = d.ask(1, "e", ANY, None);
    assert_eq!((d.word(error), d.ran("e")), ("XX000", 0));
    d.run(2.0);
    d.fault(FaultKind::Spoilt(1.0), "s-g-m0", 1.0);
    let spoilt = d.ask(0, "s", SAVE, None);
    d.run(0.1);
    assert_eq!((d.word(spoilt), d.ran("s")), ("spoilt", 1));
    d.fault(FaultKind::RefuseConnections, "s-g-m0", 1.0);
    assert!(d.others.iter().any(|(_, o)| *o == Output::Refuse { host: 0 }));
    d.run(1.1);
    assert!(d.others.iter().any(|(_, o)| *o == Output::Admit { host: 0 }));
    let idle = d.connect(1);
    d.run(0.1);
    d.fault(FaultKind::EarlyClose(0.3), "s-g-m1", 5.0);
    d.run(0.2);
    assert!(!d.others.iter().any(|(_, o)| *o == Output::Close { conn: idle }));
    d.run(0.2);
    assert!(d.others.iter().any(|(_, o)| *o == Output::Close { conn: idle }));
    d.fault(FaultKind::SlowConnections(0.5), "s-g-m1", 5.0);
    let late = d.connect(1);
    d.run(0.4);
    assert_eq!(d.greeted(late), None);
    d.run(0.2);
    assert_eq!(d.greeted(late), Some(true));
}

#[test]
fn connections_and_queues_have_a_bound() {
    let mut small = plan(1);
    small.kinds[0].connections = 3;
    small.kinds[0].queue = 2;
    small.kinds[0].discipline = Discipline::Queue;
    let mut d = Driver::new(small);
    let conns: Vec<u64> = (0..4).map(|_| d.connect(0)).collect();
    d.run(0.01);
    assert_eq!(
        conns.iter().map(|c| d.greeted(*c)).collect::<Vec<_>>(),
        [Some(true), Some(true), Some(true), Some(false)]
    );
    for (n, conn) in conns[..3].iter().enumerate() {
        d.ask_on(*conn, &format!("q{n}"), ANY, None);
    }
    assert_eq!(d.word(conns[2]), "53300");
    d.run(0.1);
    assert_eq!((d.word(conns[0]), d.word(conns[1])), ("row", "row"));
}

#[test]
fn work_stops_with_its_client_or_goes_on_as_the_machine_has_it() {
    for stops in [true, false] {
        let mut p = plan(1);
        p.kinds[0].stops_on_disconnect = stops;
        let mut d = Driver::new(p);
        let conn = d.ask(0, "w", SAVE, None);
        d.run(0.005);
        d.close(conn);
        d.run(1.0);
        assert_eq!(d.ran("w"), usize::from(!stops));
        assert_eq!(d.word(conn), "-");
    }
}

#[test]
fn a_deduplicated_statement_has_one_effect_and_a_lost_one_may_have_another() {
    let mut d = Driver::new(plan(2));
    let (one, two) = (d.ask(0, "d", ONCE, None), d.ask(0, "d", ONCE, None));
    d.run(0.1);
    assert_eq!((d.word(one), d.word(two), d.ran("d")), ("row", "row", 1));
    let (Some(Answer::Row { position: a, .. }), Some(Answer::Row { position: b, .. })) =
        (d.answer(one), d.answer(two))
    else {
        panic!("rows");
    };
    assert_eq!(a, b);
}

/// A write that a primary had under way when its term ended is denied, whatever it would have done.
#[test]
fn a_primary_that_stood_still_through_its_own_replacement_commits_nothing() {
    let mut d = Driver::new(plan(2));
    let write = d.ask(0, "w", SAVE, None);
    d.run(0.005);
    d.fault(FaultKind::Pause, "s-g-m0", 5.0);
    d.run(3.0);
    assert_eq!(d.fleet.primary_of(0), Some(1));
    d.run(3.0);
    assert_eq!((d.word(write), d.ran("w")), ("XX000", 0));
    assert_eq!(d.fleet.primary_of(0), Some(1));
}

/// Positions tell the truth: whoever says to have come as far has every commit up to there.
#[test]
fn no_replica_claims_a_position_that_it_has_not_applied() {
    let mut p = plan(3);
    p.groups[0].apply = Work::Exponential(0.004);
    p.kinds[0].connections = 1000;
    let mut d = Driver::new(p);
    let mut acked: Vec<(f64, String)> = Vec::new();
    for n in 0..400 {
        d.ask(0, &format!("w{n}"), SAVE, Some(&format!("u{}", n % 7)));
        d.run(0.007);
        if n == 100 {
            d.fault(FaultKind::SlowReplay(0.3), "s-g-m1", 1.0);
        }
        if n == 200 {
            d.fault(FaultKind::Pause, "s-g-m2", 0.5);
        }
        acked = d
            .events
            .iter()
            .filter_map(|(_, e)| match e {
                Event::Ran { commit: Some(p), id, .. } => Some((*p, id.clone())),
                _ => None,
            })
            .collect();
        for host in 1..3 {
            let conn = d.connect(host);
            d.run(0.0);
            d.fleet.input(d.now, conn, sandstile_fleet::Input::Report);
            d.run(0.0);
            if let Some(Answer::Report { position, .. }) = d.answer(conn).cloned() {
                let (waiting, _) = d.fleet.backlog(host);
                let total = acked.len() as u64;
                let applied = total - waiting - d.fleet.backlog(host).1;
                let claimed = acked.iter().filter(|(p, _)| *p <= position + 1e-9).count() as u64;
                assert!(claimed <= applied, "host {host} claims {claimed} of {applied} at {n}");
            }
            d.close(conn);
        }
    }
    assert!(acked.len() > 390);
}

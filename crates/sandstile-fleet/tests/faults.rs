//! Faults, alone and combined, in virtual time.
mod driver;

use driver::*;
use sandstile_fleet::plan::{Discipline, Work};
use sandstile_fleet::{Answer, Event, FaultKind, Output, Readiness};

#[test]
fn a_write_runs_on_the_primary_and_reaches_the_replicas() {
    let mut driver = Driver::new(plan(3));
    let write = driver.send(0, "w", SAVE, Some("ann"));
    let denied = driver.send(1, "x", SAVE, None);
    driver.run(0.015);
    assert_eq!((driver.outcome(write), driver.outcome(denied)), ("row", "25006"));
    assert_eq!((driver.times_run("w"), driver.times_run("x")), (1, 0));
    // The replica has not received the commit yet: the read of session ann waits and is served once it arrives.
    let own = driver.send(1, "o", OWN, Some("ann"));
    let other = driver.send(1, "p", OWN, Some("bob"));
    driver.run(0.0);
    assert_eq!((driver.outcome(own), driver.outcome(other)), ("-", "-"));
    driver.run(0.030);
    assert_eq!((driver.outcome(own), driver.outcome(other)), ("row", "row"));
    let fresh = driver.send(2, "f", FRESH, None);
    assert_eq!(driver.outcome(fresh), "72000");
}

#[test]
fn a_replica_too_far_behind_holds_a_read_and_then_refuses_it() {
    let mut driver = Driver::new(plan(2));
    driver.start_fault(FaultKind::SlowReplay(0.0), "s-g-m1", 30.0);
    driver.send(0, "w", SAVE, Some("ann"));
    driver.run(1.0);
    let (own, recent, any) = (
        driver.send(1, "o", OWN, Some("ann")),
        driver.send(1, "r", RECENT, None),
        driver.send(1, "a", ANY, None),
    );
    driver.run(0.045);
    assert_eq!((driver.outcome(own), driver.outcome(recent), driver.outcome(any)), ("-", "-", "row"));
    driver.run(0.010);
    assert_eq!((driver.outcome(own), driver.outcome(recent)), ("72000", "72000"));
    assert_eq!(driver.times_run("o"), 0);
    driver.run(30.0);
    let again = driver.send(1, "o2", OWN, Some("ann"));
    driver.run(0.1);
    assert_eq!(driver.outcome(again), "row");
}

/// A commit that had not reached a replica is lost with the primary and is reported as lost.
#[test]
fn a_lost_primary_is_replaced_by_the_most_advanced_replica_and_unreplicated_commits_are_reported() {
    let mut driver = Driver::new(plan(3));
    // m1 is paused during the first write, so that m2 is more advanced.
    driver.start_fault(FaultKind::Pause, "s-g-m1", 0.5);
    driver.send(0, "first", SAVE, None);
    driver.run(0.1);
    let last = driver.send(0, "last", SAVE, None);
    driver.run(0.012);
    assert_eq!(driver.outcome(last), "row");
    driver.start_fault(FaultKind::Lost, "s-g-m0", 10.0);
    assert_eq!(driver.other_outputs.last().map(|o| &o.1), Some(&Output::Unreachable { host: 0 }));
    driver.run(0.9);
    assert_eq!(driver.fleet.primary_of(0), Some(0), "the loss is not detected yet");
    driver.run(0.7);
    assert_eq!(driver.fleet.primary_of(0), Some(2));
    let lost = |id: &str| driver.count_events(|e| matches!(e, Event::LostCommit { id: i, .. } if i == id));
    assert_eq!((lost("first"), lost("last")), (0, 1));
    let next = driver.send(2, "next", SAVE, None);
    driver.run(0.1);
    assert_eq!(driver.outcome(next), "row");
    // The former primary returns as a cold replica without the commit that no other host had.
    driver.run(9.0);
    assert_eq!(driver.fleet.primary_of(0), Some(2));
    assert!(driver.fleet.is_alive(0) && driver.fleet.listing(0).since > START);
    assert_eq!(driver.fleet.backlog(0), (0, 0));
    let denied = driver.send(0, "denied", SAVE, None);
    driver.run(0.1);
    assert_eq!(driver.outcome(denied), "25006");
}

/// A pause of a primary that is being drained delays the hand-over, but no commit is lost and there is exactly one
/// change of primary.
#[test]
fn a_pause_before_at_and_after_a_drain_loses_no_commit() {
    for (drain_at, pause_at) in [(0.10, 0.08), (0.10, 0.10), (0.10, 0.12)] {
        let mut driver = Driver::new(plan(3));
        let write = driver.send(0, "w", SAVE, None);
        let mut at = 0.0;
        for (when, drains) in [
            (f64::min(drain_at, pause_at), pause_at >= drain_at),
            (f64::max(drain_at, pause_at), pause_at < drain_at),
        ] {
            driver.run(when - at);
            at = when;
            match drains {
                true => driver.start_fault(FaultKind::Drain, "s-g-m0", 20.0),
                false => driver.start_fault(FaultKind::Pause, "s-g-m0", 0.4),
            }
        }
        assert_eq!(driver.fleet.listing(0).readiness, Readiness::Leaving);
        // The pause and the election time are over by now, so the hand-over is complete.
        driver.run(1.1);
        assert_ne!(driver.fleet.primary_of(0), Some(0), "{drain_at} {pause_at}");
        driver.run(5.0);
        assert_eq!(driver.outcome(write), "row");
        assert_ne!(driver.fleet.primary_of(0), Some(0), "{drain_at} {pause_at}");
        assert_eq!(driver.count_events(|e| matches!(e, Event::LostCommit { .. })), 0);
        assert_eq!(driver.count_events(|e| matches!(e, Event::Primary { .. })), 2);
        let late = driver.send(0, "late", ANY, None);
        driver.run(0.1);
        assert_eq!(driver.outcome(late), "53300");
    }
}

#[test]
fn a_paused_host_resumes_its_work_and_a_hung_host_runs_statements_without_answering() {
    let mut driver = Driver::new(plan(2));
    let before = driver.send(1, "before", ANY, None);
    driver.run(0.005);
    driver.start_fault(FaultKind::Pause, "s-g-m1", 0.5);
    let during = driver.connect(1);
    driver.run(0.45);
    assert_eq!((driver.outcome(before), driver.greeted(during), driver.times_run("before")), ("-", None, 0));
    driver.run(0.1);
    assert_eq!((driver.outcome(before), driver.greeted(during)), ("row", Some(true)));
    driver.start_fault(FaultKind::Hang, "s-g-m0", 0.5);
    let write = driver.send(0, "w", SAVE, None);
    driver.run(0.4);
    assert_eq!((driver.outcome(write), driver.times_run("w")), ("-", 1));
    driver.run(0.2);
    assert_eq!(driver.outcome(write), "row");
    // A client that closed its connection during the hang gets no answer.
    driver.start_fault(FaultKind::Hang, "s-g-m0", 0.5);
    let left = driver.send(0, "x", SAVE, None);
    driver.run(0.2);
    driver.close(left);
    driver.run(1.0);
    assert_eq!((driver.outcome(left), driver.times_run("x")), ("-", 1));
}

#[test]
fn a_crash_under_a_pause_and_a_slow_machine_compose() {
    let mut driver = Driver::new(plan(2));
    driver.start_fault(FaultKind::Slow(0.5), "s-g-m1", 60.0);
    driver.start_fault(FaultKind::Neighbour(0.5), "s-g-m1", 60.0);
    let slow = driver.send(1, "slow", ANY, None);
    driver.run(0.039);
    assert_eq!(driver.outcome(slow), "-");
    driver.run(0.002);
    assert_eq!(driver.outcome(slow), "row");
    driver.start_fault(FaultKind::Pause, "s-g-m1", 10.0);
    let gone = driver.send(1, "gone", ANY, None);
    driver.run(1.0);
    driver.start_fault(FaultKind::Crash, "s-g-m1", 2.0);
    driver.run(3.0);
    // The process was restarted, but stays paused until that fault ends.
    assert!(driver.fleet.is_alive(1) && driver.fleet.effects(1).paused);
    driver.run(8.0);
    assert_eq!((driver.outcome(gone), driver.times_run("gone")), ("-", 0));
    let again = driver.send(1, "again", ANY, None);
    driver.run(0.2);
    assert_eq!(driver.outcome(again), "row");
}

#[test]
fn a_machine_that_crashes_while_cold_starts_cold_again() {
    let mut driver = Driver::new(plan(2));
    driver.start_fault(FaultKind::Crash, "s-g-m1", 1.0);
    driver.run(2.0);
    let first = driver.fleet.listing(1).since;
    let read = driver.send(1, "r", ANY, None);
    driver.run(0.015);
    assert_eq!(driver.outcome(read), "-", "10 ms of work take longer on a cold host");
    driver.run(0.05);
    assert_eq!(driver.outcome(read), "row");
    driver.start_fault(FaultKind::Crash, "s-g-m1", 1.0);
    driver.start_fault(FaultKind::Lost, "s-g-m1", 3.0);
    driver.run(2.0);
    assert!(!driver.fleet.is_alive(1));
    driver.run(2.0);
    assert!(driver.fleet.listing(1).since > first + 2.0);
}

#[test]
fn an_overloaded_host_crashes_while_cold_and_not_while_warm() {
    let mut driver = Driver::new(plan(2));
    let send_many = |driver: &mut Driver, id: &str| {
        for n in 0..40 {
            driver.send(1, &format!("{id}{n}"), ANY, None);
        }
    };
    send_many(&mut driver, "warm");
    driver.run(3.0);
    assert_eq!(driver.count_events(|e| matches!(e, Event::Tipped { .. })), 0);
    driver.start_fault(FaultKind::Crash, "s-g-m1", 1.0);
    driver.run(1.01);
    // The limit is 4 times the capacity of 2 cores at 0.3 over half a second, 1.2 s of work: 40 statements of 10 ms
    // stay below it.
    send_many(&mut driver, "cold");
    assert_eq!(driver.count_events(|e| matches!(e, Event::Tipped { .. })), 0);
    for n in 0..90 {
        let conn = driver.send(1, &format!("more{n}"), ANY, None);
        driver.run(0.001);
        driver.close(conn);
    }
    assert_eq!(driver.count_events(|e| matches!(e, Event::Tipped { .. })), 1);
    assert!(!driver.fleet.is_alive(1));
    driver.run(2.5);
    assert!(driver.fleet.is_alive(1));
}

#[test]
fn a_group_without_members_has_no_primary_until_one_comes_back() {
    let mut driver = Driver::new(plan(2));
    driver.start_fault(FaultKind::Crash, "s-g-m0", 6.0);
    driver.start_fault(FaultKind::Crash, "s-g-m1", 4.0);
    driver.run(3.0);
    assert_eq!(driver.fleet.primary_of(0), None);
    driver.run(2.0);
    assert_eq!(driver.fleet.primary_of(0), Some(1));
    driver.run(3.0);
    assert_eq!(driver.fleet.primary_of(0), Some(1));
}

#[test]
fn a_replaced_host_leaves_and_its_successor_serves_under_its_own_name() {
    let mut driver = Driver::new(plan(3));
    driver.start_fault(FaultKind::Replace, "s-g-m0", 3.0);
    let born = driver.fleet.find_host("s-g-m0-r1").expect("replacement host exists");
    assert!(driver.other_outputs.iter().any(|(_, o)| *o == Output::HostAdded { host: born }));
    driver.run(4.0);
    assert_eq!(driver.fleet.listing(0).readiness, Readiness::Left);
    assert!(!driver.fleet.is_alive(0));
    let primary = driver.fleet.primary_of(0).expect("group has a primary");
    assert_ne!(primary, 0);
    let write = driver.send(primary, "w", SAVE, Some("ann"));
    driver.run(0.1);
    let own = driver.send(born, "o", OWN, Some("ann"));
    driver.run(0.2);
    assert_eq!((driver.outcome(write), driver.outcome(own)), ("row", "row"));
}

#[test]
fn errors_unusable_answers_refusals_and_early_closes_follow_their_faults() {
    let mut driver = Driver::new(plan(2));
    driver.start_fault(FaultKind::FastErrors(1.0), "s-g-m1", 1.0);
    let error = driver.send(1, "e", ANY, None);
    assert_eq!((driver.outcome(error), driver.times_run("e")), ("XX000", 0));
    driver.run(2.0);
    driver.start_fault(FaultKind::Spoilt(1.0), "s-g-m0", 1.0);
    let unusable = driver.send(0, "s", SAVE, None);
    driver.run(0.1);
    assert_eq!((driver.outcome(unusable), driver.times_run("s")), ("spoilt", 1));
    driver.start_fault(FaultKind::RefuseConnections, "s-g-m0", 1.0);
    assert!(driver.other_outputs.iter().any(|(_, o)| *o == Output::RefuseConnections { host: 0 }));
    driver.run(1.1);
    assert!(driver.other_outputs.iter().any(|(_, o)| *o == Output::AcceptConnections { host: 0 }));
    let idle = driver.connect(1);
    driver.run(0.1);
    driver.start_fault(FaultKind::EarlyClose(0.3), "s-g-m1", 5.0);
    driver.run(0.2);
    assert!(!driver.other_outputs.iter().any(|(_, o)| *o == Output::Close { conn: idle }));
    driver.run(0.2);
    assert!(driver.other_outputs.iter().any(|(_, o)| *o == Output::Close { conn: idle }));
    driver.start_fault(FaultKind::SlowConnections(0.5), "s-g-m1", 5.0);
    let late = driver.connect(1);
    driver.run(0.4);
    assert_eq!(driver.greeted(late), None);
    driver.run(0.2);
    assert_eq!(driver.greeted(late), Some(true));
}

#[test]
fn connections_and_queues_are_limited() {
    let mut small = plan(1);
    small.kinds[0].connections = 3;
    small.kinds[0].queue = 2;
    small.kinds[0].discipline = Discipline::Queue;
    let mut driver = Driver::new(small);
    let conns: Vec<u64> = (0..4).map(|_| driver.connect(0)).collect();
    driver.run(0.01);
    assert_eq!(
        conns.iter().map(|c| driver.greeted(*c)).collect::<Vec<_>>(),
        [Some(true), Some(true), Some(true), Some(false)]
    );
    for (n, conn) in conns[..3].iter().enumerate() {
        driver.send_on(*conn, &format!("q{n}"), ANY, None);
    }
    assert_eq!(driver.outcome(conns[2]), "53300");
    driver.run(0.1);
    assert_eq!((driver.outcome(conns[0]), driver.outcome(conns[1])), ("row", "row"));
}

#[test]
fn work_of_a_closed_connection_stops_or_continues_as_configured() {
    for stops in [true, false] {
        let mut fleet_plan = plan(1);
        fleet_plan.kinds[0].stops_on_disconnect = stops;
        let mut driver = Driver::new(fleet_plan);
        let conn = driver.send(0, "w", SAVE, None);
        driver.run(0.005);
        driver.close(conn);
        driver.run(1.0);
        assert_eq!(driver.times_run("w"), usize::from(!stops));
        assert_eq!(driver.outcome(conn), "-");
    }
}

#[test]
fn a_repeated_deduplicated_statement_has_one_effect() {
    let mut driver = Driver::new(plan(2));
    let (one, two) = (driver.send(0, "d", ONCE, None), driver.send(0, "d", ONCE, None));
    driver.run(0.1);
    assert_eq!((driver.outcome(one), driver.outcome(two), driver.times_run("d")), ("row", "row", 1));
    let (Some(Answer::Row { position: a, .. }), Some(Answer::Row { position: b, .. })) =
        (driver.answer(one), driver.answer(two))
    else {
        panic!("both answers must be rows");
    };
    assert_eq!(a, b);
}

/// A write that is in progress when the term of its primary ends fails without an effect.
#[test]
fn a_primary_paused_past_its_replacement_commits_nothing() {
    let mut driver = Driver::new(plan(2));
    let write = driver.send(0, "w", SAVE, None);
    driver.run(0.005);
    driver.start_fault(FaultKind::Pause, "s-g-m0", 5.0);
    driver.run(3.0);
    assert_eq!(driver.fleet.primary_of(0), Some(1));
    driver.run(3.0);
    assert_eq!((driver.outcome(write), driver.times_run("w")), ("XX000", 0));
    assert_eq!(driver.fleet.primary_of(0), Some(1));
}

/// A replica that reports a position has applied every commit up to it.
#[test]
fn no_replica_claims_a_position_that_it_has_not_applied() {
    let mut fleet_plan = plan(3);
    fleet_plan.groups[0].apply = Work::Exponential(0.004);
    fleet_plan.kinds[0].connections = 1000;
    let mut driver = Driver::new(fleet_plan);
    let mut acked: Vec<(f64, String)> = Vec::new();
    for n in 0..400 {
        driver.send(0, &format!("w{n}"), SAVE, Some(&format!("u{}", n % 7)));
        driver.run(0.007);
        if n == 100 {
            driver.start_fault(FaultKind::SlowReplay(0.3), "s-g-m1", 1.0);
        }
        if n == 200 {
            driver.start_fault(FaultKind::Pause, "s-g-m2", 0.5);
        }
        acked = driver
            .events
            .iter()
            .filter_map(|(_, e)| match e {
                Event::Ran { commit: Some(fleet_plan), id, .. } => Some((*fleet_plan, id.clone())),
                _ => None,
            })
            .collect();
        for host in 1..3 {
            let conn = driver.connect(host);
            driver.run(0.0);
            driver.fleet.input(driver.now, conn, sandstile_fleet::Input::Report);
            driver.run(0.0);
            if let Some(Answer::Report { position, .. }) = driver.answer(conn).cloned() {
                let (waiting, _) = driver.fleet.backlog(host);
                let total = acked.len() as u64;
                let applied = total - waiting - driver.fleet.backlog(host).1;
                let claimed =
                    acked.iter().filter(|(fleet_plan, _)| *fleet_plan <= position + 1e-9).count() as u64;
                assert!(claimed <= applied, "host {host} claims {claimed} of {applied} at {n}");
            }
            driver.close(conn);
        }
    }
    assert!(acked.len() > 390);
}

//! Checks the paces with random events: none blocks forever, and none exceeds its limits.
use oorandom::Rand64;
use sandstile_restart_pacing::dial_pacing::PLAIN_POOL_SIZE;
use sandstile_restart_pacing::stall::{CHECK_INTERVAL, SETTLE_SECONDS};
use sandstile_restart_pacing::{
    Admission, AdmissionRamp, DialDecision, DialOutcome, DialPacer, ListBackoff, Pace, StallDetector, PACES,
};
use std::collections::BTreeMap;

/// A host whose handshakes are processed one after another.
struct Handshakes {
    /// The end time of each handshake in progress, and its router.
    in_progress: Vec<(f64, usize)>,
    busy_until: f64,
    work: f64,
}

impl Handshakes {
    fn dial(&mut self, now: f64, router: usize) {
        self.busy_until = self.busy_until.max(now) + self.work;
        self.in_progress.push((self.busy_until, router));
    }
}

/// All routers of a fleet start at once and each wants `connections` connections to one host. Returns the
/// seconds until the last one was up and the largest number of concurrent handshakes.
fn start_fleet(pace: Pace, routers: usize, connections: usize, work: f64) -> (f64, usize) {
    let mut pacers: Vec<DialPacer> =
        (0..routers).map(|n| DialPacer::new(pace, routers, n as u64, 7, 100.0)).collect();
    let mut remaining: Vec<usize> = vec![connections; routers];
    let mut host = Handshakes { in_progress: Vec::new(), busy_until: 0.0, work };
    let (mut now, mut max_concurrent, mut started_at) = (100.0, 0, BTreeMap::new());
    for _ in 0..2_000_000 {
        let mut next = f64::INFINITY;
        for router in 0..routers {
            while remaining[router] > 0 {
                match pacers[router].decide(now, 0) {
                    DialDecision::Now => {
                        pacers[router].dial_started(now, 0);
                        host.dial(now, router);
                        started_at.entry(router).or_insert_with(Vec::new).push(now);
                        remaining[router] -= 1;
                    }
                    DialDecision::At(at) => {
                        assert!(at > now, "the time to ask again is in the future");
                        next = next.min(at);
                        break;
                    }
                    DialDecision::AfterCurrent => {
                        assert!(
                            pacers[router].in_flight(0) > 0,
                            "it waits for the end of a dial, so one is in flight"
                        );
                        break;
                    }
                }
            }
        }
        max_concurrent = max_concurrent.max(host.in_progress.len());
        let first = host.in_progress.iter().map(|(at, _)| *at).fold(f64::INFINITY, f64::min);
        next = next.min(first);
        if next.is_infinite() {
            return (now - 100.0, max_concurrent);
        }
        now = next;
        let (connected, in_progress): (Vec<_>, Vec<_>) =
            host.in_progress.drain(..).partition(|(at, _)| *at <= now);
        host.in_progress = in_progress;
        for (_, router) in connected {
            let since = started_at.get_mut(&router).map(|times| times.remove(0)).unwrap();
            pacers[router].dial_ended(now, 0, DialOutcome::Connected(now - since));
        }
    }
    panic!("{pace:?}: not all connections came up");
}

#[test]
fn all_paces_connect_every_router_and_answers_limits_concurrent_handshakes() {
    for (name, pace) in PACES {
        let (duration, max_concurrent) = start_fleet(pace, 40, 4, 0.005);
        println!("{name}: all up after {duration:.2} s, at most {max_concurrent} handshakes at one time");
        assert!(duration < 20.0, "{name}: {duration}");
    }
    let (_, plain) = start_fleet(Pace::Plainest, 40, 4, 0.005);
    let (duration, paced) = start_fleet(Pace::Answers, 40, 4, 0.005);
    assert_eq!(plain, 160);
    assert!(paced <= 60, "{paced}");
    // The host's total work, plus at most a third.
    assert!(duration < 160.0 * 0.005 * 1.34, "{duration}");
}

/// In any order of events there is always a dial allowed, a dial in flight or a time for the next one.
#[test]
fn a_waiting_dial_always_has_a_time_or_a_dial_in_flight() {
    fn property(seed: u64) -> bool {
        let mut rng = Rand64::new(u128::from(seed));
        let pace = PACES[rng.rand_range(0..5) as usize].1;
        let mut pacer = DialPacer::new(pace, rng.rand_range(1..400) as usize, seed, seed, 50.0);
        let (mut now, mut pending) = (50.0, Vec::new());
        for _ in 0..500 {
            now += rng.rand_float() * 0.1;
            let host = rng.rand_range(0..4) as usize;
            match pacer.decide(now, host) {
                DialDecision::Now => {
                    pacer.dial_started(now, host);
                    pending.push((host, now));
                }
                DialDecision::At(at) if at <= now || at > now + 20.0 => return false,
                DialDecision::AfterCurrent if pacer.in_flight(host) == 0 => return false,
                _ => {}
            }
            if !pending.is_empty() && rng.rand_range(0..3) == 0 {
                let (host, since) = pending.swap_remove(rng.rand_range(0..pending.len() as u64) as usize);
                let connected = rng.rand_range(0..4) > 0;
                let failure =
                    if rng.rand_range(0..2) == 0 { DialOutcome::TimedOut } else { DialOutcome::Refused };
                pacer.dial_ended(
                    now,
                    host,
                    if connected { DialOutcome::Connected(now - since) } else { failure },
                );
            }
            if pacer.in_flight(0) + pacer.in_flight(1) + pacer.in_flight(2) + pacer.in_flight(3)
                != pending.len()
            {
                return false;
            }
        }
        pacer.host_count() <= 4
    }
    quickcheck::QuickCheck::new().tests(200).quickcheck(property as fn(u64) -> bool);
}

/// A host is so slow that all routers that dial together time out, and its work for them is lost. Routers
/// that retry at once keep it in this state forever.
#[test]
fn backoff_lets_routers_connect_to_an_overloaded_host() {
    let (routers, work, limit) = (16, 0.035, 0.25);
    let up_after = |pace: Pace| {
        let mut pacers: Vec<DialPacer> =
            (0..routers).map(|n| DialPacer::new(pace, routers, n as u64, 7, 100.0)).collect();
        // Concurrent handshakes share the host evenly; those whose router gave up still take their share.
        let mut handshakes: Vec<(usize, f64, f64)> = Vec::new();
        let (mut connected, mut dialling_since, step) = (vec![false; routers], vec![None; routers], 0.001);
        for tick in 0..30_000 {
            let now = 100.0 + f64::from(tick) * step;
            for router in 0..routers {
                if dialling_since[router].is_none()
                    && !connected[router]
                    && pacers[router].decide(now, 0) == DialDecision::Now
                {
                    pacers[router].dial_started(now, 0);
                    dialling_since[router] = Some(now);
                    handshakes.push((router, now, work));
                }
                if dialling_since[router].is_some_and(|since| now - since > limit) {
                    pacers[router].dial_ended(now, 0, DialOutcome::TimedOut);
                    dialling_since[router] = None;
                }
            }
            let share = step / handshakes.len().max(1) as f64;
            handshakes.iter_mut().for_each(|handshake| handshake.2 -= share);
            for (router, started_at, _) in handshakes.extract_if(.., |handshake| handshake.2 <= 0.0) {
                if dialling_since[router] == Some(started_at) {
                    pacers[router].dial_ended(now, 0, DialOutcome::Connected(now - started_at));
                    (dialling_since[router], connected[router]) = (None, true);
                }
            }
            if connected.iter().all(|connected| *connected) {
                return Some(now - 100.0);
            }
        }
        None
    };
    assert_eq!(up_after(Pace::Plainest), None);
    let duration = up_after(Pace::Answers).expect("all routers are up");
    println!(
        "answers: all of 16 up after {duration:.1} s, of which {:.2} s is the work of the host",
        routers as f64 * work
    );
    assert!(duration < 8.0, "{duration}");
}

#[test]
fn slow_hosts_get_fewer_dials_and_fast_ones_soon_have_no_limit() {
    let mut pacer = DialPacer::new(Pace::Answers, 1, 0, 1, 0.0);
    let mut now = 1.0;
    assert_eq!(pacer.decide(now, 0), DialDecision::Now);
    pacer.dial_started(now, 0);
    assert_eq!(pacer.decide(now, 0), DialDecision::AfterCurrent, "one dial to begin with");
    for _ in 0..40 {
        now += 0.01;
        pacer.dial_ended(now, 0, DialOutcome::Connected(0.01));
        pacer.dial_started(now, 0);
    }
    for _ in 0..100 {
        assert_eq!(pacer.decide(now, 0), DialDecision::Now, "no limit by now");
        pacer.dial_started(now, 0);
    }
    // Overload at the host: each handshake takes ten times as long.
    for _ in 0..6 {
        now += 0.1;
        pacer.dial_ended(now, 0, DialOutcome::Connected(0.1));
    }
    assert_eq!(pacer.decide(now, 0), DialDecision::AfterCurrent);
    assert_eq!(pacer.initial_dials(), 0);
    assert_eq!(DialPacer::new(Pace::Plainest, 1, 0, 1, 0.0).initial_dials(), PLAIN_POOL_SIZE);
}

#[test]
fn the_ramp_widens_with_completions_and_ends() {
    fn property(seed: u64) -> bool {
        let mut rng = Rand64::new(u128::from(seed));
        let (mut ramp, mut admitted, mut completed) = (AdmissionRamp::default(), Vec::new(), 0usize);
        for statement_id in 0..20_000u64 {
            if ramp.finished() {
                return ramp.entry_count() == 0;
            }
            match ramp.admit(statement_id) {
                Admission::Admit => admitted.push(statement_id),
                // The limit is eight plus the statements completed, so eight are always admitted.
                Admission::TurnAway if admitted.len() < 8 => return false,
                Admission::TurnAway => {}
            }
            if admitted.len() > 8 + completed {
                return false;
            }
            while !admitted.is_empty() && rng.rand_range(0..3) > 0 {
                let statement_id = admitted.swap_remove(rng.rand_range(0..admitted.len() as u64) as usize);
                let done = rng.rand_range(0..5) > 0;
                ramp.statement_ended(statement_id, done);
                completed += usize::from(done);
            }
        }
        // With a steady flow of answers the ramp must have ended by now.
        false
    }
    quickcheck::QuickCheck::new().tests(100).quickcheck(property as fn(u64) -> bool);
    // Without completions, no more than the initial statements are ever admitted.
    let mut ramp = AdmissionRamp::default();
    for statement_id in 0..1000 {
        if ramp.admit(statement_id) == Admission::Admit {
            ramp.statement_ended(statement_id, false);
        }
    }
    assert!(!ramp.finished());
}

#[test]
fn a_stall_is_distinguished_from_an_idle_event_loop() {
    let mut stall = StallDetector::new(1.0, 10.0);
    let mut now = 10.0;
    for _ in 0..100 {
        now = stall.next_check_at();
        assert_eq!(stall.check(now + 0.01), None);
        assert!(!stall.blocks_decisions(now));
    }
    // Ten seconds without a check.
    now += 10.0;
    let stalled_for = stall.check(now).unwrap();
    assert!((stalled_for - 10.0).abs() < 0.1, "{stalled_for}");
    assert!(
        stall.blocks_decisions(now)
            && stall.next_check_at() <= now + SETTLE_SECONDS
            && stall.time_lost(now) == stalled_for
    );
    assert!(!stall.blocks_decisions(now + SETTLE_SECONDS) && stall.time_lost(now + SETTLE_SECONDS) == 0.0);
    stall.list_received();
    assert!(!stall.blocks_decisions(now), "the list has come, so there is nothing to wait for");
    assert_eq!(stall.check(now + CHECK_INTERVAL), None);
}

#[test]
fn list_requests_are_spread_and_within_the_longest_pause() {
    let mut pauses = BTreeMap::new();
    for seed in 0..100 {
        let mut backoff = ListBackoff::new(seed);
        for _ in 0..10 {
            let pause = backoff.next_delay();
            assert!((0.1..=1.5).contains(&pause), "{pause}");
        }
        backoff.reset();
        pauses.insert((backoff.next_delay() * 1e6) as u64, seed);
    }
    assert!(pauses.len() > 95 && *pauses.keys().next().unwrap() < 110_000, "{}", pauses.len());
}

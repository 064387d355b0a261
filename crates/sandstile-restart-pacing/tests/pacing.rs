//! What each pace promises, over random events: nothing stands still for ever, and nothing exceeds its share.
use oorandom::Rand64;
use sandstile_restart_pacing::dial_pacing::PLAIN_POOL;
use sandstile_restart_pacing::stall::{LOOK, NEWS};
use sandstile_restart_pacing::{
    Admission, AdmissionRamp, DialDecision, DialOutcome, DialPacer, ListBackoff, Pace, StallDetector, PACES,
};
use std::collections::BTreeMap;

/// A host whose handshakes take work of one core each, and those that dial it.
struct Handshakes {
    /// When each that is under way ends, and whose it is.
    line: Vec<(f64, usize)>,
    busy_until: f64,
    work: f64,
}

impl Handshakes {
    fn dial(&mut self, now: f64, who: usize) {
        self.busy_until = self.busy_until.max(now) + self.work;
        self.line.push((self.busy_until, who));
    }
}

/// All routers of a fleet start at once, and each wants so many links to one host. Yields when the last was up, and the most
/// handshakes that were under way at one time.
fn start(pace: Pace, routers: usize, links: usize, work: f64) -> (f64, usize) {
    let mut all: Vec<DialPacer> =
        (0..routers).map(|n| DialPacer::new(pace, routers, n as u64, 7, 100.0)).collect();
    let mut left: Vec<usize> = vec![links; routers];
    let mut host = Handshakes { line: Vec::new(), busy_until: 0.0, work };
    let (mut now, mut most, mut began) = (100.0, 0, BTreeMap::new());
    for _ in 0..2_000_000 {
        let mut next = f64::INFINITY;
        for who in 0..routers {
            while left[who] > 0 {
                match all[who].decide(now, 0) {
                    DialDecision::Now => {
                        all[who].dial_started(now, 0);
                        host.dial(now, who);
                        began.entry(who).or_insert_with(Vec::new).push(now);
                        left[who] -= 1;
                    }
                    DialDecision::At(at) => {
                        assert!(at > now, "a time to ask again lies ahead");
                        next = next.min(at);
                        break;
                    }
                    DialDecision::AfterCurrent => {
                        assert!(all[who].under_way(0) > 0, "it waits for an end, so one is under way");
                        break;
                    }
                }
            }
        }
        most = most.max(host.line.len());
        let first = host.line.iter().map(|(at, _)| *at).fold(f64::INFINITY, f64::min);
        next = next.min(first);
        if next.is_infinite() {
            return (now - 100.0, most);
        }
        now = next;
        let (up, line): (Vec<_>, Vec<_>) = host.line.drain(..).partition(|(at, _)| *at <= now);
        host.line = line;
        for (_, who) in up {
            let since = began.get_mut(&who).map(|b| b.remove(0)).unwrap();
            all[who].dial_ended(now, 0, DialOutcome::Connected(now - since));
        }
    }
    panic!("{pace:?}: not all links came up");
}

#[test]
fn no_pace_stands_still_and_answers_keeps_the_crowd_small() {
    for (word, pace) in PACES {
        let (took, most) = start(pace, 40, 4, 0.005);
        println!("{word}: all up after {took:.2} s, {most} at one time");
        assert!(took < 20.0, "{word}: {took}");
    }
    let (_, plain) = start(Pace::Plainest, 40, 4, 0.005);
    let (took, paced) = start(Pace::Answers, 40, 4, 0.005);
    assert_eq!(plain, 160);
    assert!(paced <= 60, "{paced}");
    // All of the host's work, and no more than a third beyond.
    assert!(took < 160.0 * 0.005 * 1.34, "{took}");
}

/// Whatever comes when, and in whichever order dials end, there is always either a dial allowed, or one under way, or a time.
#[test]
fn dials_never_wait_for_nothing() {
    fn holds(seed: u64) -> bool {
        let mut chance = Rand64::new(u128::from(seed));
        let pace = PACES[chance.rand_range(0..5) as usize].1;
        let mut dials = DialPacer::new(pace, chance.rand_range(1..400) as usize, seed, seed, 50.0);
        let (mut now, mut out) = (50.0, Vec::new());
        for _ in 0..500 {
            now += chance.rand_float() * 0.1;
            let host = chance.rand_range(0..4) as usize;
            match dials.decide(now, host) {
                DialDecision::Now => {
                    dials.dial_started(now, host);
                    out.push((host, now));
                }
                DialDecision::At(at) if at <= now || at > now + 20.0 => return false,
                DialDecision::AfterCurrent if dials.under_way(host) == 0 => return false,
                _ => {}
            }
            if !out.is_empty() && chance.rand_range(0..3) == 0 {
                let (host, since) = out.swap_remove(chance.rand_range(0..out.len() as u64) as usize);
                let up = chance.rand_range(0..4) > 0;
                let late =
                    if chance.rand_range(0..2) == 0 { DialOutcome::TimedOut } else { DialOutcome::Refused };
                dials.dial_ended(now, host, if up { DialOutcome::Connected(now - since) } else { late });
            }
            if dials.under_way(0) + dials.under_way(1) + dials.under_way(2) + dials.under_way(3) != out.len()
            {
                return false;
            }
        }
        dials.held() <= 4
    }
    quickcheck::QuickCheck::new().tests(200).quickcheck(holds as fn(u64) -> bool);
}

/// A host so slow that those who start together are all too late, and whose work for them is lost: whoever comes again at
/// once keeps it so for ever.
#[test]
fn a_host_that_greets_nobody_in_time_is_found_by_backing_off() {
    let (routers, work, limit) = (16, 0.035, 0.25);
    let up_after = |pace: Pace| {
        let mut all: Vec<DialPacer> =
            (0..routers).map(|n| DialPacer::new(pace, routers, n as u64, 7, 100.0)).collect();
        // Handshakes share the host evenly; one whose dialler has left goes on all the same.
        let mut jobs: Vec<(usize, f64, f64)> = Vec::new();
        let (mut up, mut out, step) = (vec![false; routers], vec![None; routers], 0.001);
        for tick in 0..30_000 {
            let now = 100.0 + f64::from(tick) * step;
            for who in 0..routers {
                if out[who].is_none() && !up[who] && all[who].decide(now, 0) == DialDecision::Now {
                    all[who].dial_started(now, 0);
                    out[who] = Some(now);
                    jobs.push((who, now, work));
                }
                if out[who].is_some_and(|since| now - since > limit) {
                    all[who].dial_ended(now, 0, DialOutcome::TimedOut);
                    out[who] = None;
                }
            }
            let share = step / jobs.len().max(1) as f64;
            jobs.iter_mut().for_each(|job| job.2 -= share);
            for (who, began, _) in jobs.extract_if(.., |job| job.2 <= 0.0) {
                if out[who] == Some(began) {
                    all[who].dial_ended(now, 0, DialOutcome::Connected(now - began));
                    (out[who], up[who]) = (None, true);
                }
            }
            if up.iter().all(|up| *up) {
                return Some(now - 100.0);
            }
        }
        None
    };
    assert_eq!(up_after(Pace::Plainest), None);
    let took = up_after(Pace::Answers).expect("all come up");
    println!("answers: all of 16 up after {took:.1} s, where {:.2} s is the work", routers as f64 * work);
    assert!(took < 8.0, "{took}");
}

#[test]
fn hosts_that_answer_slowly_get_fewer_and_quick_ones_are_free_soon() {
    let mut dials = DialPacer::new(Pace::Answers, 1, 0, 1, 0.0);
    let mut now = 1.0;
    assert_eq!(dials.decide(now, 0), DialDecision::Now);
    dials.dial_started(now, 0);
    assert_eq!(dials.decide(now, 0), DialDecision::AfterCurrent, "one to begin with");
    for _ in 0..40 {
        now += 0.01;
        dials.dial_ended(now, 0, DialOutcome::Connected(0.01));
        dials.dial_started(now, 0);
    }
    for _ in 0..100 {
        assert_eq!(dials.decide(now, 0), DialDecision::Now, "free by now");
        dials.dial_started(now, 0);
    }
    // A crowd at the host: each handshake takes ten times as long.
    for _ in 0..6 {
        now += 0.1;
        dials.dial_ended(now, 0, DialOutcome::Connected(0.1));
    }
    assert_eq!(dials.decide(now, 0), DialDecision::AfterCurrent);
    assert_eq!(dials.initial_dials(), 0);
    assert_eq!(DialPacer::new(Pace::Plainest, 1, 0, 1, 0.0).initial_dials(), PLAIN_POOL);
}

#[test]
fn the_ramp_opens_with_answers_and_ends_by_what_is_seen() {
    fn holds(seed: u64) -> bool {
        let mut chance = Rand64::new(u128::from(seed));
        let (mut ramp, mut inside, mut completed) = (AdmissionRamp::default(), Vec::new(), 0usize);
        for statement_id in 0..20_000u64 {
            if ramp.over() {
                return ramp.held() == 0;
            }
            match ramp.asked(statement_id) {
                Admission::Admit => inside.push(statement_id),
                // It lets in as many as it has seen answered, and eight.
                Admission::TurnAway if inside.len() < 8 => return false,
                Admission::TurnAway => {}
            }
            if inside.len() > 8 + completed {
                return false;
            }
            while !inside.is_empty() && chance.rand_range(0..3) > 0 {
                let statement_id = inside.swap_remove(chance.rand_range(0..inside.len() as u64) as usize);
                let done = chance.rand_range(0..5) > 0;
                ramp.ended(statement_id, done);
                completed += usize::from(done);
            }
        }
        // With answers coming all the time it must have ended.
        false
    }
    quickcheck::QuickCheck::new().tests(100).quickcheck(holds as fn(u64) -> bool);
    // Where nothing completes nobody is let in beyond the first, for ever.
    let mut ramp = AdmissionRamp::default();
    for statement_id in 0..1000 {
        if ramp.asked(statement_id) == Admission::Admit {
            ramp.ended(statement_id, false);
        }
    }
    assert!(!ramp.over());
}

#[test]
fn a_stop_is_told_from_a_loop_with_nothing_to_do() {
    let mut stall = StallDetector::new(1.0, 10.0);
    let mut now = 10.0;
    for _ in 0..100 {
        now = stall.due();
        assert_eq!(stall.look(now + 0.01), None);
        assert!(!stall.holds(now));
    }
    // Ten seconds in which nobody looked.
    now += 10.0;
    let stood = stall.look(now).unwrap();
    assert!((stood - 10.0).abs() < 0.1, "{stood}");
    assert!(stall.holds(now) && stall.due() <= now + NEWS && stall.lost(now) == stood);
    assert!(!stall.holds(now + NEWS) && stall.lost(now + NEWS) == 0.0);
    stall.heard();
    assert!(!stall.holds(now), "the list has come: nothing to wait for");
    assert_eq!(stall.look(now + LOOK), None);
}

#[test]
fn lists_are_asked_for_out_of_step_and_no_less_often_than_said() {
    let mut pauses = BTreeMap::new();
    for seed in 0..100 {
        let mut lists = ListBackoff::new(seed);
        for _ in 0..10 {
            let pause = lists.next_delay();
            assert!((0.1..=1.5).contains(&pause), "{pause}");
        }
        lists.reset();
        pauses.insert((lists.next_delay() * 1e6) as u64, seed);
    }
    assert!(pauses.len() > 95 && *pauses.keys().next().unwrap() < 110_000, "{}", pauses.len());
}

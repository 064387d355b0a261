//! The judge finds planted violations, and a seed always gives the same plan.
use sandstile_soak::judge::{judge, Rule};
use sandstile_soak::plan::{Event, Plan};
use sandstile_soak::record::{Arrival, Effect, End, Observations, Request, RunEvent};

fn request(effect: Effect, end: End) -> Request {
    let id = "a1".to_string();
    let (position, wrote_before) = (None, None);
    Request {
        id,
        group: 0,
        router: 0,
        life: 0,
        effect,
        wait: 0.5,
        written_at: 2.0,
        fresh: false,
        end,
        position,
        wrote_before,
    }
}

fn answered(at: f64) -> End {
    End::Answered { code: None, at }
}

fn arrival(at: f64, told: f64) -> Arrival {
    Arrival { id: "a1".to_string(), host: 1, at, told: Some(told), ran: true }
}

/// The rules broken by this request and these events; a second request of the run breaks none.
fn broken(request: Request, arrivals: &[Arrival], events: &[(f64, RunEvent)]) -> Vec<Rule> {
    let good = Request { id: "good".to_string(), end: answered(2.1), ..request.clone() };
    let good = Request { effect: Effect::Idempotent, position: None, ..good };
    let (requests, arrivals, events) = (vec![request, good], arrivals.to_vec(), events.to_vec());
    let observations = Observations { requests, arrivals, events, stalls: Vec::new() };
    judge(&Plan::draw(1, true), &observations).iter().map(|f| f.rule).collect()
}

#[test]
fn late_partial_and_missing_answers_are_lost_but_not_a_race_with_an_idle_close() {
    let read = |end| broken(request(Effect::Idempotent, end), &[], &[]);
    assert!(read(answered(2.9)).is_empty());
    assert!(read(End::Closed { at: 2.05 }).is_empty(), "the idle connection was closed as it was written");
    for end in [answered(3.2), End::Silent, End::CutShort { at: 2.1 }, End::Closed { at: 2.3 }] {
        assert_eq!(read(end), [Rule::Lost]);
    }
    let fresh = Request { fresh: true, ..request(Effect::Idempotent, End::Closed { at: 2.01 }) };
    assert_eq!(broken(fresh.clone(), &[], &[]), [Rule::Lost]);
    let killed = [(2.0, RunEvent::Killed { router: 0, life: 0 })];
    assert!(broken(fresh, &[], &killed).is_empty());
}

#[test]
fn requests_received_before_a_kill_that_follows_a_term_have_to_be_answered() {
    let terminated_and_killed = |terminated: f64| {
        let events = [
            (terminated, RunEvent::Terminated { router: 0, life: 0 }),
            (3.0, RunEvent::Killed { router: 0, life: 0 }),
        ];
        broken(request(Effect::Idempotent, End::Silent), &[], &events)
    };
    assert_eq!(terminated_and_killed(1.3), [Rule::Lost], "it came 0.7 s after SIGTERM");
    assert!(terminated_and_killed(1.2).is_empty(), "it came later than that");
}

#[test]
fn violations_by_a_request_are_found() {
    let left = request(Effect::Idempotent, End::Left { at: 2.1 });
    assert!(broken(left.clone(), &[arrival(2.2, 0.3)], &[]).is_empty());
    assert_eq!(broken(left, &[arrival(2.35, 0.1)], &[]), [Rule::AfterLeaving]);
    let read = request(Effect::Idempotent, answered(2.2));
    assert_eq!(broken(read, &[arrival(2.4, 0.45)], &[]), [Rule::Deadline]);
    let own =
        Request { position: Some(7), wrote_before: Some(8), ..request(Effect::Idempotent, answered(2.2)) };
    assert_eq!(broken(own, &[], &[]), [Rule::Stale]);
    let write = request(Effect::NonIdempotent, answered(2.2));
    assert_eq!(broken(write, &[arrival(2.0, 0.5), arrival(2.1, 0.4)], &[]), [Rule::Duplicate]);
    let rejected = End::Answered { code: Some("53300".to_string()), at: 2.2 };
    let rejected = request(Effect::NonIdempotent, rejected);
    assert_eq!(broken(rejected, &[arrival(2.0, 0.5)], &[]), [Rule::Duplicate]);
}

#[test]
fn violations_of_drains_slow_starts_and_processes_are_found() {
    let read = || request(Effect::Idempotent, answered(2.2));
    let drained = [(1.0, RunEvent::HostDrains { host: 1 })];
    assert_eq!(broken(read(), &[arrival(2.0, 0.5)], &drained), [Rule::Drain]);
    let silent = [drained[0].clone(), (1.5, RunEvent::Applied(Event::AgentSilent { ms: 500 }))];
    assert!(broken(read(), &[arrival(2.0, 0.5)], &silent).is_empty(), "routers may be notified within 6 s");
    let cold = [(1.9, RunEvent::HostCold { host: 1 })];
    let many: Vec<Arrival> = (0..40).map(|n| Arrival { id: format!("b{n}"), ..arrival(2.0, 0.5) }).collect();
    assert_eq!(broken(read(), &many, &cold), [Rule::SlowStart]);
    let ended = [(2.0, RunEvent::Ended { router: 0, life: 0, code: Some(0) })];
    assert_eq!(broken(read(), &[], &ended), [Rule::Crash]);
    let grown = [(2.0, RunEvent::Memory { router: 0, life: 0, kilobytes: 100_000 })];
    assert_eq!(broken(read(), &[], &grown), [Rule::Growth]);
}

#[test]
fn a_seed_always_gives_the_same_plan_and_seeds_differ() {
    let text = |seed| format!("{:?}", Plan::draw(seed, false));
    assert_eq!(text(7), text(7));
    assert_ne!(text(7), text(8));
}

#[test]
fn a_late_refusal_without_an_attempt_breaks_a_rule_only_in_a_healthy_fleet() {
    let refused =
        |at: f64| request(Effect::Idempotent, End::Answered { code: Some("53300".to_string()), at });
    let found = |plan: &Plan, request: Request, arrivals: &[Arrival], stalls: &[(f64, f64)]| {
        let good = Request { id: "good".to_string(), end: answered(2.1), ..request.clone() };
        let (requests, arrivals, stalls) = (vec![request, good], arrivals.to_vec(), stalls.to_vec());
        let observations = Observations { requests, arrivals, events: Vec::new(), stalls };
        judge(plan, &observations).iter().any(|f| f.rule == Rule::Unattempted)
    };
    let calm = Plan::calm(1, std::time::Duration::from_secs(6));
    assert!(found(&calm, refused(2.3), &[], &[]), "refused after more than half of 0.5 s");
    assert!(!found(&calm, refused(2.2), &[], &[]), "refused early enough");
    assert!(!found(&calm, refused(2.3), &[arrival(2.1, 0.4)], &[]), "a host refused it");
    assert!(!found(&calm, refused(2.3), &[], &[(2.2, 0.1)]), "this process woke 0.1 s late");
    let faulty = Plan::draw(1, true);
    assert!(!found(&faulty, refused(2.3), &[], &[]), "faults of hosts may be the cause");
}

//! The desk alone, with a clock that the test moves: one final answer each, in the order that the links need, on facts of several
//! sources.
use oorandom::Rand64;
use sandstile_deployment::host_list::HostEntry;
use sandstile_dispatcher::*;
use sandstile_policy::policy::Instance;
use sandstile_policy::terms::{
    Consistency, DedupScope, Effect, HostReport, ReadRequirement, Readiness, Terms, Workload,
};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

struct Nothing;
impl StatementPayload for Nothing {
    fn message(&self, _: f64) -> Vec<u8> {
        Vec::new()
    }
}

fn terms() -> Terms {
    let workload = |consistency, effect| Workload {
        consistency,
        max_age: 0.0,
        effect,
        scope: DedupScope::Zone,
        dedup_window: 0.0,
        slo: 0.3,
        timeout: 1.0,
        importance: 1.0,
        late_share: 0.0,
    };
    Terms {
        workloads: vec![
            workload(Consistency::Any, Effect::Idempotent),
            workload(Consistency::Write, Effect::NonIdempotent),
            workload(Consistency::Session, Effect::Idempotent),
        ],
        routers: 1,
        hosts_check_reads: true,
        answers_carry_position: true,
        may_probe: true,
        may_cancel: true,
        max_executions: 3,
        max_retry_after: 2.0,
        idle_close: 3600.0,
        tick: 0.005,
        ..Terms::default()
    }
}

fn update(index: u64, hosts: &[(&str, bool)]) -> HostListUpdate {
    let entry = |(host, primary): &(&str, bool)| HostEntry {
        host: host.to_string(),
        group: "1".to_string(),
        zone: String::new(),
        primary: *primary,
        since: 0.0,
        readiness: Readiness::Active,
    };
    let addresses = hosts.iter().map(|(h, _)| (h.to_string(), "127.0.0.1:5433".parse().ok())).collect();
    HostListUpdate { index, is_snapshot: true, entries: hosts.iter().map(entry).collect(), addresses }
}

/// Tells what a test puts there; claims that own reads need so much.
struct Told {
    facts: Arc<Mutex<Vec<DispatcherInput>>>,
    read_requirement: Option<ReadRequirement>,
    over: Arc<Mutex<Vec<u64>>>,
    /// Another router probes.
    leaves: bool,
}

impl Source for Told {
    fn pending(&self) -> bool {
        !self.facts.lock().unwrap().is_empty()
    }
    fn take_inputs(&mut self, _: f64) -> Vec<DispatcherInput> {
        std::mem::take(&mut self.facts.lock().unwrap())
    }
    fn read_requirement(&mut self, _: f64, asked: &StatementRequest, _: u64) -> Option<ReadRequirement> {
        self.read_requirement.filter(|_| asked.workload == 2)
    }
    fn may_probe(&mut self, _: f64, _: &str) -> bool {
        !self.leaves
    }
    fn statement_closed(&mut self, statement_id: u64) {
        self.over.lock().unwrap().push(statement_id);
    }
}

fn asked(statement_id: u64, id: &str, workload: usize, now: f64) -> DispatcherMessage {
    DispatcherMessage::StatementRequest(StatementRequest {
        statement_id,
        client_connection: statement_id as usize + 100,
        id: id.to_string(),
        workload,
        group: "1".to_string(),
        session: Some("u".to_string()),
        writes: workload == 1,
        deadline: now + 1.0,
        wait: 1.0,
        last_write_at: None,
        retry: false,
        mark: None,
        payload: Arc::new(Nothing),
    })
}

type Shared<T> = Arc<Mutex<Vec<T>>>;

fn dispatcher(
    now: f64,
    reaches: &[Option<ReadRequirement>],
) -> (Dispatcher, Shared<DispatcherInput>, Shared<u64>) {
    let mut dispatcher = Dispatcher::new(Instance::new(&terms(), 7, now), Arc::default());
    let (facts, over) = (Shared::default(), Shared::default());
    for (n, read_requirement) in reaches.iter().enumerate() {
        let facts = if n == 0 { Arc::clone(&facts) } else { Arc::default() };
        dispatcher.add(Box::new(Told {
            facts,
            read_requirement: *read_requirement,
            over: Arc::clone(&over),
            leaves: false,
        }));
    }
    (dispatcher, facts, over)
}

fn sent(dispatcher: &mut Dispatcher) -> Vec<(usize, u64, usize)> {
    let mut out = Vec::new();
    while let Some(order) = dispatcher.next_command() {
        if let Command::Start(host, job) = order {
            out.extend(job.execution_id().map(|(statement_id, execution)| (host, statement_id, execution)));
        }
    }
    out
}

/// Any order of arrivals, endings, departures and lists: each statement that was taken has one final answer or its client has
/// gone, and nothing is held for one that is over.
#[test]
fn each_statement_has_one_answer_whatever_comes() {
    for seed in 0..60 {
        let mut chance = Rand64::new(seed);
        let mut now = 1000.0;
        let (mut dispatcher, facts, over) = dispatcher(now, &[None]);
        facts
            .lock()
            .unwrap()
            .push(DispatcherInput::HostList(update(1, &[("a", true), ("b", false), ("c", false)])));
        assert!(dispatcher.pending());
        dispatcher.poll_sources(now);
        let (mut answers, mut gone) = (BTreeMap::<u64, usize>::new(), 0);
        let (mut out, mut asked_for) = (Vec::new(), 0u64);
        for step in 0..400 {
            now += chance.rand_float() * 0.02;
            match chance.rand_range(0..10) {
                0..=3 if step < 300 => {
                    asked_for += 1;
                    dispatcher.handle(
                        now,
                        asked(asked_for, &format!("i{asked_for}"), (asked_for % 3) as usize, now),
                    );
                }
                4 if asked_for > 0 => {
                    let statement_id = chance.rand_range(1..asked_for + 1);
                    gone += 1;
                    dispatcher.handle(now, DispatcherMessage::ClientGone(statement_id));
                }
                5 => {
                    let hosts = [("a", true), ("b", false), ("c", false)];
                    let some = &hosts[..chance.rand_range(1..4) as usize];
                    facts.lock().unwrap().push(DispatcherInput::HostList(update(step, some)));
                    dispatcher.poll_sources(now);
                }
                _ if !out.is_empty() => {
                    let (host, statement_id, execution) =
                        out.swap_remove(chance.rand_range(0..out.len() as u64) as usize);
                    let endings = [
                        Ending::Completed,
                        Ending::Completed,
                        Ending::Missed,
                        Ending::DialRefused,
                        Ending::Failed,
                        Ending::TimedOut,
                    ];
                    let ending = endings[chance.rand_range(0..6) as usize];
                    let mut outcome = Outcome::from(ending);
                    outcome.note = HostReport { position: Some(now), primary: Some(host == 0) };
                    dispatcher.handle(now, DispatcherMessage::Ended { statement_id, execution, outcome });
                }
                _ => {}
            }
            dispatcher.decide_if_due(now, true);
            out.extend(sent(&mut dispatcher));
            while let Some(given) = dispatcher.next_answer() {
                assert_eq!(given.client_connection, given.statement_id as usize + 100);
                *answers.entry(given.statement_id).or_default() += 1;
            }
        }
        // All time is over; what is out ends unanswered.
        for _ in 0..2000 {
            now += 0.05;
            for (_, statement_id, execution) in std::mem::take(&mut out) {
                dispatcher.handle(
                    now,
                    DispatcherMessage::Ended { statement_id, execution, outcome: Ending::TimedOut.into() },
                );
            }
            dispatcher.decide_if_due(now, true);
            out.extend(sent(&mut dispatcher));
            while let Some(given) = dispatcher.next_answer() {
                *answers.entry(given.statement_id).or_default() += 1;
            }
            if dispatcher.open_statements() == 0 && out.is_empty() {
                break;
            }
        }
        assert_eq!(dispatcher.open_statements(), 0, "seed {seed}");
        assert!(answers.values().all(|n| *n == 1), "seed {seed}: {answers:?}");
        assert!(answers.len() + gone >= asked_for as usize, "seed {seed}");
        assert_eq!(over.lock().unwrap().len(), asked_for as usize, "sources hear of each end");
    }
}

#[test]
fn an_open_statements_name_is_nobody_elses() {
    let (mut dispatcher, facts, _) = dispatcher(1000.0, &[None]);
    facts.lock().unwrap().push(DispatcherInput::HostList(update(1, &[("a", true), ("b", false)])));
    dispatcher.poll_sources(1000.0);
    dispatcher.handle(1000.0, asked(1, "x", 0, 1000.0));
    dispatcher.handle(1000.0, asked(2, "x", 0, 1000.0));
    dispatcher.decide_if_due(1000.0, true);
    assert_eq!(
        dispatcher.next_answer(),
        Some(FinalAnswer { client_connection: 102, statement_id: 2, answer: Answer::Unusable })
    );
    assert_eq!(sent(&mut dispatcher).len(), 1);
}

/// Two sources that differ on what an own read must reach: the one that asks for more is heard, in either order.
#[test]
fn of_two_sources_the_more_careful_is_heard() {
    let near = Some(ReadRequirement::Position(0.0));
    for reaches in [[near, Some(ReadRequirement::Primary)], [Some(ReadRequirement::Primary), near]] {
        let (mut dispatcher, facts, _) = dispatcher(1000.0, &reaches);
        facts
            .lock()
            .unwrap()
            .push(DispatcherInput::HostList(update(1, &[("a", true), ("b", false), ("c", false)])));
        dispatcher.poll_sources(1000.0);
        let mut primary = None;
        while let Some(order) = dispatcher.next_command() {
            if let Command::UpdateHost { host, name, .. } = order {
                primary = primary.or((name == "a").then_some(host));
            }
        }
        // One each round: a host that has not answered holds one or two.
        dispatcher.handle(1000.0, asked(1, "r", 2, 1000.0));
        dispatcher.decide_if_due(1000.0, true);
        assert_eq!(sent(&mut dispatcher).iter().map(|(h, ..)| Some(*h)).collect::<Vec<_>>(), vec![primary]);
    }
}

#[test]
fn what_peers_share_is_ordered_on_and_said() {
    let (mut dispatcher, facts, _) = dispatcher(1000.0, &[None]);
    facts.lock().unwrap().push(DispatcherInput::RouterCount(5.0));
    assert!(dispatcher.poll_sources(1000.0));
    assert!(matches!(dispatcher.next_command(), Some(Command::RouterCount(n)) if n == 5.0));
    assert_eq!(dispatcher.take_log_events(), vec![LogEvent::RouterCount(5.0)]);
    assert!(!dispatcher.poll_sources(1000.0), "told once");
}

/// A host that refused another router is spared for a while, and no longer; one that has answered here since is not.
#[test]
fn a_host_that_refused_another_rests_unless_it_answered_here() {
    for answered in [false, true] {
        let (mut dispatcher, facts, _) = dispatcher(1000.0, &[None]);
        facts
            .lock()
            .unwrap()
            .push(DispatcherInput::HostList(update(1, &[("a", true), ("b", false), ("c", false)])));
        dispatcher.poll_sources(1000.0);
        let mut names = BTreeMap::new();
        while let Some(order) = dispatcher.next_command() {
            if let Command::UpdateHost { host, name, .. } = order {
                names.insert(name, host);
            }
        }
        let (mut now, mut statement_id, mut at_b) = (1000.0, 0, Vec::new());
        while now < 1002.0 {
            now += 0.02;
            if (1001.0..1001.02).contains(&now) {
                // Met a while ago, or a moment ago.
                facts.lock().unwrap().push(DispatcherInput::RefusedElsewhere(
                    "b".to_string(),
                    if answered { 0.5 } else { 0.0 },
                ));
                facts.lock().unwrap().push(DispatcherInput::RefusedElsewhere("unheard of".to_string(), 0.0));
                dispatcher.poll_sources(now);
            }
            statement_id += 1;
            dispatcher.handle(now, asked(statement_id, &format!("w{statement_id}"), 0, now));
            dispatcher.decide_if_due(now, true);
            for (host, statement_id, execution) in sent(&mut dispatcher) {
                if host == names["b"] {
                    at_b.push(now);
                }
                let mut outcome = Outcome::from(Ending::Completed);
                outcome.note = HostReport { position: Some(now), primary: Some(host == names["a"]) };
                dispatcher.handle(now + 0.001, DispatcherMessage::Ended { statement_id, execution, outcome });
            }
            dispatcher.decide_if_due(now + 0.002, true);
        }
        let within = |from: f64, to: f64| at_b.iter().filter(|t| (from..to).contains(*t)).count();
        assert!(
            within(1000.5, 1001.0) > 3 && within(1001.5, 1002.0) > 3,
            "used before, and after a while: {at_b:?}"
        );
        assert_eq!(within(1001.03, 1001.24) > 0, answered, "{at_b:?}");
    }
}

/// While nobody leads, a source may leave a probe to another router; the decisions ask again by and by.
#[test]
fn probes_are_left_to_others_while_nobody_leads() {
    for leaves in [false, true] {
        let mut dispatcher = Dispatcher::new(Instance::new(&terms(), 7, 1000.0), Arc::default());
        let facts = Shared::default();
        facts
            .lock()
            .unwrap()
            .push(DispatcherInput::HostList(update(1, &[("a", false), ("b", false), ("c", false)])));
        dispatcher.add(Box::new(Told { facts, read_requirement: None, over: Shared::default(), leaves }));
        dispatcher.poll_sources(1000.0);
        dispatcher.handle(1000.0, asked(1, "x", 1, 1000.0));
        let mut probes = 0;
        for n in 0..90 {
            let now = 1000.0 + f64::from(n) * 0.01;
            dispatcher.decide_if_due(now, true);
            while let Some(order) = dispatcher.next_command() {
                probes += usize::from(matches!(order, Command::Probe(_)));
                if let Command::Start(_, job) = order {
                    // Each says that it is no primary.
                    let (statement_id, execution) = job.execution_id().expect("a statement");
                    let mut outcome = Outcome::from(Ending::Missed);
                    outcome.note.primary = Some(false);
                    dispatcher.handle(now, DispatcherMessage::Ended { statement_id, execution, outcome });
                }
            }
        }
        assert_eq!(probes == 0, leaves, "{probes}");
        assert_eq!(dispatcher.counts.probes_left.get() > 3, leaves);
    }
}

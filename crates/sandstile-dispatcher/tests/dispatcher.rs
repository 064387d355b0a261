//! Tests the dispatcher alone with a simulated clock: one final answer for each statement, commands before
//! answers, and input from several sources.
use oorandom::Rand64;
use sandstile_deployment::host_list::HostEntry;
use sandstile_dispatcher::*;
use sandstile_policy::policy::Instance;
use sandstile_policy::terms::{
    Consistency, DedupScope, Effect, HostReport, ReadRequirement, Readiness, Terms, Workload,
};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

struct EmptyPayload;
impl StatementPayload for EmptyPayload {
    fn message(&self, _: f64) -> Vec<u8> {
        Vec::new()
    }
}

fn terms() -> Terms {
    let workload = |consistency, effect| Workload {
        consistency,
        max_age: 0.0,
        effect,
        dedup_scope: DedupScope::Zone,
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
    let addresses = hosts.iter().map(|(host, _)| (host.to_string(), "127.0.0.1:5433".parse().ok())).collect();
    HostListUpdate { index, is_snapshot: true, entries: hosts.iter().map(entry).collect(), addresses }
}

/// A source with the inputs that a test provides; `read_requirement` is what session reads must see.
struct TestSource {
    inputs: Arc<Mutex<Vec<DispatcherInput>>>,
    read_requirement: Option<ReadRequirement>,
    closed: Arc<Mutex<Vec<u64>>>,
    /// Pretends that another router does the probing.
    peer_probes: bool,
}

impl Source for TestSource {
    fn pending(&self) -> bool {
        !self.inputs.lock().unwrap().is_empty()
    }
    fn take_inputs(&mut self, _: f64) -> Vec<DispatcherInput> {
        std::mem::take(&mut self.inputs.lock().unwrap())
    }
    fn read_requirement(&mut self, _: f64, request: &StatementRequest, _: u64) -> Option<ReadRequirement> {
        self.read_requirement.filter(|_| request.workload == 2)
    }
    fn may_probe(&mut self, _: f64, _: &str) -> bool {
        !self.peer_probes
    }
    fn statement_closed(&mut self, statement_id: u64) {
        self.closed.lock().unwrap().push(statement_id);
    }
}

fn request(statement_id: u64, id: &str, workload: usize, now: f64) -> DispatcherMessage {
    DispatcherMessage::StatementRequest(StatementRequest {
        statement_id,
        client_connection: statement_id as usize + 100,
        id: id.to_string(),
        workload,
        group: "1".to_string(),
        session: Some("u".to_string()),
        writes: workload == 1,
        deadline: now + 1.0,
        timeout: 1.0,
        last_write_at: None,
        retry: false,
        mark: None,
        payload: Arc::new(EmptyPayload),
    })
}

type Shared<T> = Arc<Mutex<Vec<T>>>;

fn new_dispatcher(
    now: f64,
    requirements: &[Option<ReadRequirement>],
) -> (Dispatcher, Shared<DispatcherInput>, Shared<u64>) {
    let mut dispatcher = Dispatcher::new(Instance::new(&terms(), 7, now), 7, Arc::default());
    let (inputs, closed) = (Shared::default(), Shared::default());
    for (n, read_requirement) in requirements.iter().enumerate() {
        let inputs = if n == 0 { Arc::clone(&inputs) } else { Arc::default() };
        dispatcher.add(Box::new(TestSource {
            inputs,
            read_requirement: *read_requirement,
            closed: Arc::clone(&closed),
            peer_probes: false,
        }));
    }
    (dispatcher, inputs, closed)
}

fn sent_executions(dispatcher: &mut Dispatcher) -> Vec<(usize, u64, usize)> {
    let mut sent = Vec::new();
    while let Some(command) = dispatcher.next_command() {
        if let Command::Start(host, task) = command {
            sent.extend(task.execution_id().map(|(statement_id, execution)| (host, statement_id, execution)));
        }
    }
    sent
}

/// For any order of arrivals, outcomes, disconnects and host lists, each accepted statement gets one final
/// answer unless its client has left, and no state remains for finished statements.
#[test]
fn each_statement_gets_one_final_answer_in_any_order_of_events() {
    for seed in 0..60 {
        let mut rng = Rand64::new(seed);
        let mut now = 1000.0;
        let (mut dispatcher, inputs, closed) = new_dispatcher(now, &[None]);
        inputs
            .lock()
            .unwrap()
            .push(DispatcherInput::HostList(update(1, &[("a", true), ("b", false), ("c", false)])));
        assert!(dispatcher.pending());
        dispatcher.poll_sources(now);
        let (mut answers, mut clients_gone) = (BTreeMap::<u64, usize>::new(), 0);
        let (mut in_flight, mut requested) = (Vec::new(), 0u64);
        for step in 0..400 {
            now += rng.rand_float() * 0.02;
            match rng.rand_range(0..10) {
                0..=3 if step < 300 => {
                    requested += 1;
                    dispatcher.handle(
                        now,
                        request(requested, &format!("i{requested}"), (requested % 3) as usize, now),
                    );
                }
                4 if requested > 0 => {
                    let statement_id = rng.rand_range(1..requested + 1);
                    clients_gone += 1;
                    dispatcher.handle(now, DispatcherMessage::ClientGone(statement_id));
                }
                5 => {
                    let hosts = [("a", true), ("b", false), ("c", false)];
                    let present = &hosts[..rng.rand_range(1..4) as usize];
                    inputs.lock().unwrap().push(DispatcherInput::HostList(update(step, present)));
                    dispatcher.poll_sources(now);
                }
                _ if !in_flight.is_empty() => {
                    let (host, statement_id, execution) =
                        in_flight.swap_remove(rng.rand_range(0..in_flight.len() as u64) as usize);
                    let endings = [
                        Ending::Completed,
                        Ending::Completed,
                        Ending::Missed,
                        Ending::DialRefused,
                        Ending::Failed,
                        Ending::TimedOut,
                    ];
                    let ending = endings[rng.rand_range(0..6) as usize];
                    let mut outcome = Outcome::from(ending);
                    outcome.host_report = HostReport { position: Some(now), primary: Some(host == 0) };
                    dispatcher.handle(now, DispatcherMessage::Ended { statement_id, execution, outcome });
                }
                _ => {}
            }
            dispatcher.decide_if_due(now, true);
            in_flight.extend(sent_executions(&mut dispatcher));
            while let Some(answer) = dispatcher.next_answer() {
                assert_eq!(answer.client_connection, answer.statement_id as usize + 100);
                *answers.entry(answer.statement_id).or_default() += 1;
            }
        }
        // All deadlines pass; executions in flight end without an answer.
        for _ in 0..2000 {
            now += 0.05;
            for (_, statement_id, execution) in std::mem::take(&mut in_flight) {
                dispatcher.handle(
                    now,
                    DispatcherMessage::Ended { statement_id, execution, outcome: Ending::TimedOut.into() },
                );
            }
            dispatcher.decide_if_due(now, true);
            in_flight.extend(sent_executions(&mut dispatcher));
            while let Some(answer) = dispatcher.next_answer() {
                *answers.entry(answer.statement_id).or_default() += 1;
            }
            if dispatcher.open_statements() == 0 && in_flight.is_empty() {
                break;
            }
        }
        assert_eq!(dispatcher.open_statements(), 0, "seed {seed}");
        assert!(answers.values().all(|count| *count == 1), "seed {seed}: {answers:?}");
        assert!(answers.len() + clients_gone >= requested as usize, "seed {seed}");
        assert_eq!(
            closed.lock().unwrap().len(),
            requested as usize,
            "sources are told of each finished statement"
        );
    }
}

#[test]
fn a_statement_with_the_id_of_an_open_one_is_unusable() {
    let (mut dispatcher, inputs, _) = new_dispatcher(1000.0, &[None]);
    inputs.lock().unwrap().push(DispatcherInput::HostList(update(1, &[("a", true), ("b", false)])));
    dispatcher.poll_sources(1000.0);
    dispatcher.handle(1000.0, request(1, "x", 0, 1000.0));
    dispatcher.handle(1000.0, request(2, "x", 0, 1000.0));
    dispatcher.decide_if_due(1000.0, true);
    assert_eq!(
        dispatcher.next_answer(),
        Some(FinalAnswer { client_connection: 102, statement_id: 2, answer: Answer::Unusable })
    );
    assert_eq!(sent_executions(&mut dispatcher).len(), 1);
}

/// If two sources differ on what a session read must see, the stricter one counts, in either order.
#[test]
fn the_stricter_read_requirement_of_two_sources_counts() {
    let any_position = Some(ReadRequirement::Position(0.0));
    for requirements in
        [[any_position, Some(ReadRequirement::Primary)], [Some(ReadRequirement::Primary), any_position]]
    {
        let (mut dispatcher, inputs, _) = new_dispatcher(1000.0, &requirements);
        inputs
            .lock()
            .unwrap()
            .push(DispatcherInput::HostList(update(1, &[("a", true), ("b", false), ("c", false)])));
        dispatcher.poll_sources(1000.0);
        let mut primary = None;
        while let Some(command) = dispatcher.next_command() {
            if let Command::UpdateHost { host, name, .. } = command {
                primary = primary.or((name == "a").then_some(host));
            }
        }
        // One statement per round: a host that has not answered yet gets only one or two.
        dispatcher.handle(1000.0, request(1, "r", 2, 1000.0));
        dispatcher.decide_if_due(1000.0, true);
        assert_eq!(
            sent_executions(&mut dispatcher).iter().map(|(host, ..)| Some(*host)).collect::<Vec<_>>(),
            vec![primary]
        );
    }
}

#[test]
fn a_router_count_is_passed_on_as_a_command_and_logged_once() {
    let (mut dispatcher, inputs, _) = new_dispatcher(1000.0, &[None]);
    inputs.lock().unwrap().push(DispatcherInput::RouterCount(5.0));
    assert!(dispatcher.poll_sources(1000.0));
    assert!(matches!(dispatcher.next_command(), Some(Command::RouterCount(n)) if n == 5.0));
    assert_eq!(dispatcher.take_log_events(), vec![LogEvent::RouterCount(5.0)]);
    assert!(!dispatcher.poll_sources(1000.0), "reported only once");
}

/// A host that refused another router is avoided for a while, unless it has answered this router since then.
#[test]
fn a_host_that_refused_another_router_is_avoided_unless_it_answered_here() {
    for answered in [false, true] {
        let (mut dispatcher, inputs, _) = new_dispatcher(1000.0, &[None]);
        inputs
            .lock()
            .unwrap()
            .push(DispatcherInput::HostList(update(1, &[("a", true), ("b", false), ("c", false)])));
        dispatcher.poll_sources(1000.0);
        let mut names = BTreeMap::new();
        while let Some(command) = dispatcher.next_command() {
            if let Command::UpdateHost { host, name, .. } = command {
                names.insert(name, host);
            }
        }
        let (mut now, mut statement_id, mut sent_to_b) = (1000.0, 0, Vec::new());
        while now < 1002.0 {
            now += 0.02;
            if (1001.0..1001.02).contains(&now) {
                // The refusal is either older than the host's last answer here or newer.
                inputs.lock().unwrap().push(DispatcherInput::RefusedElsewhere(
                    "b".to_string(),
                    if answered { 0.5 } else { 0.0 },
                ));
                inputs.lock().unwrap().push(DispatcherInput::RefusedElsewhere("unheard of".to_string(), 0.0));
                dispatcher.poll_sources(now);
            }
            statement_id += 1;
            dispatcher.handle(now, request(statement_id, &format!("w{statement_id}"), 0, now));
            dispatcher.decide_if_due(now, true);
            for (host, statement_id, execution) in sent_executions(&mut dispatcher) {
                if host == names["b"] {
                    sent_to_b.push(now);
                }
                let mut outcome = Outcome::from(Ending::Completed);
                outcome.host_report = HostReport { position: Some(now), primary: Some(host == names["a"]) };
                dispatcher.handle(now + 0.001, DispatcherMessage::Ended { statement_id, execution, outcome });
            }
            dispatcher.decide_if_due(now + 0.002, true);
        }
        let sent_between =
            |from: f64, to: f64| sent_to_b.iter().filter(|time| (from..to).contains(*time)).count();
        assert!(
            sent_between(1000.5, 1001.0) > 3 && sent_between(1001.5, 1002.0) > 3,
            "used before, and after a while: {sent_to_b:?}"
        );
        assert_eq!(sent_between(1001.03, 1001.24) > 0, answered, "{sent_to_b:?}");
    }
}

/// While a group has no primary, a source may leave its probes to another router; the policy keeps asking.
#[test]
fn probes_are_left_to_other_routers_while_no_primary_is_known() {
    for peer_probes in [false, true] {
        let mut dispatcher = Dispatcher::new(Instance::new(&terms(), 7, 1000.0), 7, Arc::default());
        let inputs = Shared::default();
        inputs
            .lock()
            .unwrap()
            .push(DispatcherInput::HostList(update(1, &[("a", false), ("b", false), ("c", false)])));
        dispatcher.add(Box::new(TestSource {
            inputs,
            read_requirement: None,
            closed: Shared::default(),
            peer_probes,
        }));
        dispatcher.poll_sources(1000.0);
        dispatcher.handle(1000.0, request(1, "x", 1, 1000.0));
        let mut probes = 0;
        for n in 0..90 {
            let now = 1000.0 + f64::from(n) * 0.01;
            dispatcher.decide_if_due(now, true);
            while let Some(command) = dispatcher.next_command() {
                probes += usize::from(matches!(command, Command::Probe(_)));
                if let Command::Start(_, task) = command {
                    // Each host replies that it is not the primary.
                    let (statement_id, execution) = task.execution_id().expect("a statement");
                    let mut outcome = Outcome::from(Ending::Missed);
                    outcome.host_report.primary = Some(false);
                    dispatcher.handle(now, DispatcherMessage::Ended { statement_id, execution, outcome });
                }
            }
        }
        assert_eq!(probes == 0, peer_probes, "{probes}");
        assert_eq!(dispatcher.counters.probes_left.get() > 3, peer_probes);
    }
}

/// Guards against a read that misses its session's own write because many sessions have written since: the write's
/// outcome is unknown, and only its session's record says that a replica may lack it.
#[test]
fn a_session_is_remembered_however_many_others_write() {
    const OTHER_SESSIONS: u64 = 20_000;
    const REPLICA: usize = 1;
    let (now, uncertain) = (1000.0, 1);
    let terms = Terms { hosts_check_reads: false, ..terms() };
    let mut dispatcher = Dispatcher::new(Instance::new(&terms, 7, now), 7, Arc::default());
    let inputs = Shared::default();
    inputs.lock().unwrap().push(DispatcherInput::HostList(update(1, &[("a", true), ("b", false)])));
    let (read_requirement, closed, peer_probes) = (None, Shared::default(), false);
    dispatcher.add(Box::new(TestSource { inputs, read_requirement, closed, peer_probes }));
    dispatcher.poll_sources(now);
    let mut play = |statement_id: u64, workload, session: String| {
        let mut request = request(statement_id, &format!("i{statement_id}"), workload, now);
        if let DispatcherMessage::StatementRequest(request) = &mut request {
            request.session = Some(session);
        }
        dispatcher.handle(now, request);
        let sent = (0..100).find_map(|n| {
            dispatcher.decide_if_due(now + 0.01 * f64::from(n), true);
            sent_executions(&mut dispatcher).pop()
        });
        let (host, statement_id, execution) = sent?;
        let lost = statement_id == uncertain;
        let mut outcome = Outcome::from(if lost { Ending::Failed } else { Ending::Completed });
        outcome.host_report = HostReport { position: (!lost).then_some(now), primary: Some(host == 0) };
        dispatcher.handle(now, DispatcherMessage::Ended { statement_id, execution, outcome });
        dispatcher.decide_if_due(now, true);
        Some(host)
    };
    play(uncertain, 1, "u".to_string());
    // Both hosts answer reads of any age, so the replica is known to be up to date.
    for n in 2..8 {
        play(n, 0, String::new());
    }
    for n in 0..OTHER_SESSIONS {
        play(10 + n, 1, format!("other {n}"));
    }
    let of_another = (0..4).map(|n| play(100_000 + n, 2, "v".to_string())).collect::<Vec<_>>();
    assert!(of_another.contains(&Some(REPLICA)), "the replica serves sessions that it is known to serve");
    let of_its_own = (0..4).map(|n| play(200_000 + n, 2, "u".to_string())).collect::<Vec<_>>();
    assert!(!of_its_own.contains(&Some(REPLICA)), "only the primary surely has the write: {of_its_own:?}");
}

/// Guards against ids that are forgotten while they may still come again, and against memory that grows with every id.
#[test]
fn ids_that_may_have_run_are_remembered_within_a_bound_of_time_and_number() {
    use sandstile_dispatcher::recent_ids::{RecentIds, MAX_GENERATION_IDS, MIN_REMEMBERED_S};
    let mut ids = RecentIds::new(7);
    assert!(!ids.contains(100.0, "a") && !ids.insert(100.0, "a"));
    assert!(ids.contains(100.0 + MIN_REMEMBERED_S - 0.1, "a"));
    assert!(!ids.insert(100.0 + MIN_REMEMBERED_S - 0.1, "b"));
    assert!(ids.contains(100.0 + 2.0 * MIN_REMEMBERED_S - 0.2, "b"));
    assert!(!ids.contains(100.0 + 4.0 * MIN_REMEMBERED_S, "b") && ids.is_empty(), "nothing is kept for ever");
    let now = 1_000.0;
    let forgotten_early = (0..5 * MAX_GENERATION_IDS).filter(|n| ids.insert(now, &n.to_string())).count();
    assert!(ids.len() <= 2 * MAX_GENERATION_IDS && forgotten_early > 0);
    assert!(ids.contains(now, &(5 * MAX_GENERATION_IDS - 1).to_string()), "the latest are kept");
}

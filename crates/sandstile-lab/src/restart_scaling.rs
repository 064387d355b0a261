//! How the recovery after a restart grows with the number of routers: the router's own state machines (`sandstile-policy`,
//! `sandstile-restart-pacing`) in front of the fleet model, in virtual time. Either seven in ten routers die at once, or all
//! routers and hosts; the clients of the dead routers come back with them.
use crate::charts::{self, Curve};
use sandstile_fleet::event::Event;
use sandstile_fleet::plan::*;
use sandstile_fleet::random::Rng;
use sandstile_fleet::{Fault, FaultKind, Fleet, Target};
use sandstile_policy::policy::Instance;
use sandstile_policy::terms;
use sandstile_restart_pacing::{DialPacer, Pace};
use sandstile_simulation::world::{Clients, World};
use sandstile_simulation::{ClientRequest, FinalAnswer, InstanceDriver, EPOCH};
use sandstile_timers::TimerHeap;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;
use std::rc::Rc;
use std::sync::Mutex;
use tracing::info;

const GROUP_COUNT: usize = 8;
const HOSTS_PER_GROUP: usize = 3;
const CORES_PER_HOST: usize = 2;
/// Times in seconds: the work of a statement and of a handshake, the objective of a statement, the clients' timeout, and
/// the dial timeout.
const STATEMENT_WORK_S: f64 = 0.008;
const HANDSHAKE_WORK_S: f64 = 0.005;
const SLO_S: f64 = 0.3;
const TIMEOUT_S: f64 = 1.0;
const DIAL_TIMEOUT_S: f64 = 0.25;
/// The offered load as a share of the hosts' capacity, and the share of writes in it.
const LOAD_SHARE: f64 = 0.6;
const WRITE_SHARE: f64 = 0.12;
/// Times in seconds: the fault, the downtime, the end of the run, and the shortest pause of a client before a retry.
const FAULT_AT_S: f64 = 5.0;
const DOWNTIME_S: f64 = 0.8;
const END_S: f64 = 22.0;
const MIN_RETRY_PAUSE_S: f64 = 0.1;
/// The clients that come back with the routers, as a share of all statements of one second.
const RETURNING_SHARE: f64 = 0.5;
const COLD_DURATION_S: f64 = 5.0;
/// The lowest share in time that counts as full service, even if the share before the fault was lower.
const MIN_FULL_SERVICE: f64 = 0.95;

/// The fault of a run.
#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    MostRestart,
    PowerCut,
}

struct Request {
    due: f64,
    deadline: f64,
    router: usize,
    workload: usize,
    group: usize,
    session: usize,
}

enum DueEvent {
    Arrival,
    Retry(u64),
    Timeout(u64),
}

/// Open-loop clients, each with one request that it retries until its deadline.
struct SimulatedClients {
    rng: Rng,
    rate: f64,
    routers: usize,
    due: TimerHeap<DueEvent>,
    earliest: f64,
    requests: BTreeMap<u64, Request>,
    next: u64,
    end: f64,
    /// When each request was due, and whether it completed in time.
    ended: Vec<(f64, bool)>,
}

impl SimulatedClients {
    fn new(seed: u64, routers: usize, rate: f64) -> SimulatedClients {
        let mut due = TimerHeap::default();
        due.push(EPOCH + 0.001, DueEvent::Arrival);
        let (rng, requests, ended) = (Rng::new(seed, "crowd"), BTreeMap::new(), Vec::new());
        SimulatedClients {
            rng,
            rate,
            routers,
            due,
            earliest: EPOCH,
            requests,
            next: 0,
            end: EPOCH + END_S,
            ended,
        }
    }

    fn add_request(&mut self, now: f64, router: usize) {
        self.next += 1;
        let request = Request {
            due: now,
            deadline: now + TIMEOUT_S,
            router,
            workload: usize::from(self.rng.bernoulli(WRITE_SHARE)),
            group: self.rng.below(GROUP_COUNT),
            session: self.next as usize,
        };
        self.requests.insert(self.next, request);
        self.due.push(now, DueEvent::Retry(self.next));
        self.due.push(now + TIMEOUT_S, DueEvent::Timeout(self.next));
        self.earliest = self.earliest.min(now);
    }

    fn end_request(&mut self, key: u64, in_time: bool) {
        if let Some(request) = self.requests.remove(&key) {
            self.ended.push((request.due - EPOCH, in_time));
        }
    }
}

impl Clients for SimulatedClients {
    fn next_request_at(&self) -> f64 {
        self.earliest
    }

    fn take_due_requests(&mut self, now: f64) -> Vec<(usize, ClientRequest)> {
        let mut due_requests = Vec::new();
        while let Some((_, due)) = self.due.pop(now) {
            match due {
                DueEvent::Arrival => {
                    let router = self.rng.below(self.routers);
                    self.add_request(now, router);
                    let at = now + self.rng.exponential(1.0 / self.rate);
                    if at < self.end {
                        self.due.push(at, DueEvent::Arrival);
                    }
                }
                DueEvent::Timeout(key) => self.end_request(key, false),
                DueEvent::Retry(key) => {
                    let Some(request) = self.requests.get(&key) else { continue };
                    let client_request = ClientRequest {
                        key,
                        workload: request.workload,
                        group: request.group,
                        session: request.session,
                        timeout: request.deadline - now,
                    };
                    due_requests.push((request.router, client_request));
                }
            }
        }
        self.earliest = self.due.earliest().unwrap_or(f64::INFINITY);
        due_requests
    }

    fn on_answer(&mut self, now: f64, key: u64, answer: FinalAnswer) {
        let Some(request) = self.requests.get(&key) else { return };
        match answer {
            FinalAnswer::Completed => {
                let in_time = now - request.due <= SLO_S;
                self.end_request(key, in_time);
            }
            FinalAnswer::Rejected(after) => {
                let at = now + after.max(MIN_RETRY_PAUSE_S);
                if at < request.deadline {
                    self.due.push(at, DueEvent::Retry(key));
                    self.earliest = self.earliest.min(at);
                } else {
                    self.end_request(key, false);
                }
            }
            FinalAnswer::Aborted => self.end_request(key, false),
        }
    }
}

fn plan(seed: u64) -> Plan {
    let kind = MachineKind {
        cores: vec![1.0; CORES_PER_HOST],
        queue: 10_000,
        connections: 100_000,
        idle_timeout_s: 3600.0,
        setup_work: HANDSHAKE_WORK_S,
        warm_s: COLD_DURATION_S,
        ..MachineKind::standard("std")
    };
    let nodes = (0..GROUP_COUNT * HOSTS_PER_GROUP).map(|n| Node {
        name: format!("n{n}"),
        zone: String::new(),
        kind: 0,
    });
    let groups = (0..GROUP_COUNT).map(|g| Group {
        name: g.to_string(),
        nodes: (g * HOSTS_PER_GROUP..(g + 1) * HOSTS_PER_GROUP).collect(),
        replication_delay_s: 0.01,
        apply: Work::Fixed(0.0005),
        detect_s: 1.5,
        elect_s: 0.5,
        hold_s: 0.0,
        dedup_window_s: 60.0,
    });
    let workload = |name: &str, consistency, effect| Workload {
        name: name.to_string(),
        effect,
        consistency,
        max_age_s: 0.0,
        work: Work::Exponential(STATEMENT_WORK_S),
        value_bytes: 64,
    };
    Plan {
        seed,
        kinds: vec![kind],
        nodes: nodes.collect(),
        groups: groups.collect(),
        workloads: vec![
            workload("look", Consistency::Any, Effect::Idempotent),
            workload("save", Consistency::Write, Effect::NonIdempotent),
        ],
        tokens: Tokens::Remembered,
        hosts_check_reads: true,
    }
}

fn policy_terms(routers: usize) -> terms::Terms {
    let workload = |consistency, effect, importance| terms::Workload {
        consistency,
        max_age: 0.0,
        effect,
        dedup_scope: terms::DedupScope::Zone,
        dedup_window: 60.0,
        slo: SLO_S,
        timeout: TIMEOUT_S,
        importance,
        late_share: 0.0,
    };
    let kind = MachineKind::standard("std");
    terms::Terms {
        workloads: vec![
            workload(terms::Consistency::Any, terms::Effect::Idempotent, 1.0),
            workload(terms::Consistency::Write, terms::Effect::NonIdempotent, 3.0),
        ],
        routers,
        hosts_check_reads: true,
        answers_carry_position: true,
        may_probe: true,
        may_cancel: true,
        router_keeps_tokens: true,
        max_executions: 4,
        max_retry_after: 2.0,
        idle_close: 3600.0,
        tick: 0.005,
        cold_initial_share: kind.cold_share,
        cold_duration: COLD_DURATION_S,
        cold_overload_multiple: kind.cold_overload_multiple,
        ..terms::Terms::default()
    }
}

/// The result of a run: seconds from the fault to full service, the share in time before it, the lowest share of a second,
/// and the most dials at a host in 100 ms after the fault and before it.
struct Run {
    full_service_after_s: Option<f64>,
    baseline: f64,
    lowest: f64,
    max_dials: f64,
    usual_dials: f64,
}

fn run(scenario: Scenario, pace: Option<Pace>, routers: usize, seed: u64) -> Run {
    let fleet = Fleet::new(plan(seed), EPOCH);
    let terms = policy_terms(routers);
    let driver = |number: usize, generation: u64, now: f64| {
        let instance_seed = seed * 1_000_003 + number as u64 * 7919 + generation;
        let driver = InstanceDriver::with_policy(
            Instance::new(&terms, instance_seed, now),
            number as u64,
            routers as u64,
            DIAL_TIMEOUT_S,
        );
        match pace {
            Some(pace) => {
                driver.with_dial_pacing(DialPacer::new(pace, routers, number as u64, instance_seed, now))
            }
            None => driver,
        }
    };
    let drivers = (0..routers).map(|n| driver(n, 0, EPOCH)).collect();
    let mut world = World::new(fleet, drivers, 0.5);
    let dials: Rc<RefCell<BTreeMap<(String, i64), f64>>> = Rc::default();
    let observed_dials = dials.clone();
    world.observer = Some(Box::new(move |t, event| {
        if let Event::Dialled { host } = event {
            let interval = ((t - EPOCH) / 0.1) as i64;
            *observed_dials.borrow_mut().entry((host.clone(), interval)).or_default() += 1.0;
        }
    }));
    let capacity = (GROUP_COUNT * HOSTS_PER_GROUP * CORES_PER_HOST) as f64 / STATEMENT_WORK_S;
    let mut clients = SimulatedClients::new(seed, routers, LOAD_SHARE * capacity);
    world.run_until(&mut clients, EPOCH + FAULT_AT_S);
    let faulted: Vec<usize> = match scenario {
        Scenario::MostRestart => (0..routers).filter(|n| n % 10 < 7).collect(),
        Scenario::PowerCut => (0..routers).collect(),
    };
    faulted.iter().for_each(|n| world.kill(*n));
    if scenario == Scenario::PowerCut {
        for group in 0..GROUP_COUNT {
            let target = Target::Group(group.to_string());
            world
                .fleet
                .start_fault(EPOCH + FAULT_AT_S, Fault { kind: FaultKind::Crash, target, duration_s: 2.0 });
        }
    }
    world.run_until(&mut clients, EPOCH + FAULT_AT_S + DOWNTIME_S);
    let returning_clients = (RETURNING_SHARE * LOAD_SHARE * capacity / routers as f64).ceil() as usize;
    for n in faulted {
        world.start(n, driver(n, 1, world.now()));
        (0..returning_clients).for_each(|_| clients.add_request(world.now(), n));
    }
    world.run_until(&mut clients, EPOCH + END_S + TIMEOUT_S);
    let share_in_time = |from: f64, to: f64| {
        let requests = || clients.ended.iter().filter(|(at, _)| (from..to).contains(at));
        let all = requests().count() as f64;
        if all > 0.0 {
            requests().filter(|(_, in_time)| *in_time).count() as f64 / all
        } else {
            1.0
        }
    };
    let baseline = share_in_time(2.0, FAULT_AT_S);
    let steps = ((END_S - 1.0 - FAULT_AT_S) / 0.25) as usize;
    let seconds: Vec<f64> = (0..steps)
        .map(|n| share_in_time(FAULT_AT_S + n as f64 * 0.25, FAULT_AT_S + n as f64 * 0.25 + 1.0))
        .collect();
    let full_service_step = (0..steps).find(|n| {
        seconds[*n..(n + 20).min(steps)].iter().all(|s| *s >= baseline.max(MIN_FULL_SERVICE) - 0.05)
    });
    let dials = dials.borrow();
    let max_dials_in = |from: i64, to: i64| {
        dials.iter().filter(|((_, at), _)| (from..to).contains(at)).map(|(_, n)| *n).fold(0.0, f64::max)
    };
    Run {
        full_service_after_s: full_service_step.map(|n| n as f64 * 0.25),
        baseline,
        lowest: seconds.iter().copied().fold(1.0, f64::min),
        max_dials: max_dials_in((FAULT_AT_S * 10.0) as i64, i64::MAX),
        usual_dials: max_dials_in(20, (FAULT_AT_S * 10.0) as i64).max(1.0),
    }
}

/// Plays all runs; writes a table and a chart for each scenario, and returns the table.
pub fn simulate_scaling(out: &Path, quick: bool) -> Result<String, String> {
    let with_path = |e: std::io::Error| format!("{}: {e}", out.display());
    std::fs::create_dir_all(out).map_err(with_path)?;
    let counts: &[usize] = if quick { &[16, 100] } else { &[16, 100, 300, 1000] };
    let paces: [(&str, Option<Pace>); 3] =
        [("plainest", Some(Pace::Plainest)), ("off", None), ("answers", Some(Pace::Answers))];
    let mut text = format!(
        "Virtual time: {} hosts of {CORES_PER_HOST} cores at {LOAD_SHARE} of their capacity, a handshake takes {:.0} ms of a core, dial timeout {:.0} ms, one seed.\n\n\
         | scenario | pace | routers | share in time before | full service after s | lowest second | dials at a host in 100 ms | before the fault |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        GROUP_COUNT * HOSTS_PER_GROUP,
        HANDSHAKE_WORK_S * 1e3,
        DIAL_TIMEOUT_S * 1e3
    );
    let scenarios = [(Scenario::MostRestart, "most-restart"), (Scenario::PowerCut, "power-cut")];
    // Runs are independent; the largest go first, because they take the longest.
    let mut jobs: Vec<(usize, usize, usize)> = Vec::new();
    for count in (0..counts.len()).rev() {
        jobs.extend(
            (0..scenarios.len())
                .flat_map(|scenario| (0..paces.len()).map(move |pace| (scenario, pace, count))),
        );
    }
    let jobs = Mutex::new(jobs.into_iter());
    let runs: Mutex<BTreeMap<(usize, usize, usize), Run>> = Mutex::default();
    let workers = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| loop {
                let job = jobs.lock().expect("no thread panics under the lock").next();
                let Some((scenario, pace, count)) = job else { return };
                let result = run(scenarios[scenario].0, paces[pace].1, counts[count], 1);
                info!(
                    story = scenarios[scenario].1,
                    pace = paces[pace].0,
                    routers = counts[count],
                    "played one run"
                );
                runs.lock().expect("no thread panics under the lock").insert((scenario, pace, count), result);
            });
        }
    });
    let runs = runs.into_inner().expect("no thread panics under the lock");
    for (scenario, (_, name)) in scenarios.iter().enumerate() {
        let mut curves = Vec::new();
        for (pace, (pace_name, _)) in paces.iter().enumerate() {
            let mut points = Vec::new();
            for (count, routers) in counts.iter().enumerate() {
                let run = &runs[&(scenario, pace, count)];
                let recovery =
                    run.full_service_after_s.map_or("not before the end".to_string(), |s| format!("{s:.2}"));
                let _ = writeln!(
                    text,
                    "| {name} | {pace_name} | {routers} | {:.3} | {recovery} | {:.3} | {:.0} | {:.0} |",
                    run.baseline, run.lowest, run.max_dials, run.usual_dials
                );
                points.push((*routers as f64, run.full_service_after_s.unwrap_or(END_S - FAULT_AT_S)));
            }
            curves.push(Curve { name: pace_name.to_string(), points });
        }
        let title = format!("{name}: seconds to full service (top: never)");
        let svg = charts::lines(&title, "routers", "s", &curves, false)?;
        std::fs::write(out.join(format!("returns-{name}.svg")), svg).map_err(with_path)?;
    }
    std::fs::write(out.join("returns.md"), &text).map_err(with_path)?;
    Ok(text)
}

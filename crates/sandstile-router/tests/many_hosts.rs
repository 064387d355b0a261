//! Routers with thousands of database hosts, run as separate processes on loopback and judged by the answers that
//! clients got.
use sandstile_soak::plan::{Event, Plan};
use sandstile_soak::process::Programs;
use sandstile_soak::record::{Effect, End};
use sandstile_soak::run::{play, Outcome};
use std::path::Path;
use std::sync::atomic::{AtomicU16, Ordering::SeqCst};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

const HOSTS: usize = 3_200;
const GROUPS: usize = 457;

static NEXT_BLOCK: AtomicU16 = AtomicU16::new(0);
/// One run at a time: each holds thousands of descriptors.
static RUNNING: Mutex<()> = Mutex::new(());

fn outcome(plan: &Plan) -> Outcome {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let router = Path::new(env!("CARGO_BIN_EXE_sandstile"));
    let shim = sandstile_shim::library(router).expect("the shim");
    let process = std::process::id();
    let run = NEXT_BLOCK.fetch_add(1, SeqCst);
    let dir = std::env::temp_dir().join(format!("sandstile-many-hosts-{process}-{run}"));
    std::fs::create_dir_all(&dir).expect("a place for files");
    let programs = Programs { router: router.to_path_buf(), shim, dir: dir.clone() };
    let block = (process as u16).wrapping_mul(8).wrapping_add(run);
    let outcome = play(plan, &programs, block).expect("a run");
    println!("{}", outcome.summary());
    if outcome.findings.is_empty() {
        let _ = std::fs::remove_dir_all(dir);
    }
    outcome
}

fn assert_clean(outcome: &Outcome) {
    let findings: Vec<String> = outcome.findings.iter().map(ToString::to_string).collect();
    assert!(findings.is_empty(), "{} findings, the first:\n{}", findings.len(), findings[0]);
}

fn large_plan(length: Duration) -> Plan {
    let sockets = 512;
    Plan { hosts: HOSTS, groups: GROUPS, sockets, work_ms: 0, ..Plan::calm(42, length) }
}

/// Guards against writes that wait until their deadline although their primary is up and the group's reads are
/// served.
#[test]
fn writes_to_a_rarely_used_group_are_sent_to_its_primary() {
    assert_clean(&outcome(&large_plan(Duration::from_secs(8))));
}

/// Guards against requests refused as expired right after their arrival, because the listen queue is never found
/// empty.
#[test]
fn a_request_is_aged_by_its_own_arrival_not_by_the_listen_queue() {
    let clients = 100;
    let few_requests = large_plan(Duration::from_secs(5));
    let plan = Plan { sockets: 160, clients, asks_each: Some(2), pause_ms: 0, ..few_requests };
    let outcome = outcome(&plan);
    let refused = |code: &Option<String>| code.as_deref() == Some("53300");
    let refused_early = outcome.observations.requests.iter().filter(|request| match &request.end {
        End::Answered { code, at } => refused(code) && *at < request.written_at + 0.5 * request.wait,
        _ => false,
    });
    let refused_early: Vec<_> = refused_early.collect();
    assert!(
        refused_early.is_empty(),
        "{} refused with half of their time left, the first: {:?}",
        refused_early.len(),
        refused_early[0]
    );
    assert_clean(&outcome);
}

/// Guards against iterations whose length grows with the number of hosts and groups: a stream of list changes would
/// then delay all requests.
#[test]
fn changes_of_a_long_list_delay_no_request_on_a_tenth_of_a_core() {
    let length = Duration::from_secs(8);
    let changes = Event::ListChanges { count: 2_000, pause_ms: 3 };
    let little = Event::LittleProcessor { router: 0, ms: 6_500 };
    let events = vec![(Duration::from_secs(1), little), (Duration::from_secs(1), changes)];
    let outcome = outcome(&Plan { clients: 60, events, ..large_plan(length) });
    let lost = outcome.observations.requests.iter().filter(|request| request.end == End::Silent).count();
    assert_eq!(lost, 0, "lost requests");
    let is_late_read =
        |r: &&sandstile_soak::record::Request| r.written_at > 7.0 && r.effect == Effect::Idempotent;
    assert!(
        outcome.observations.requests.iter().any(|r| is_late_read(&r)),
        "connections are still accepted at the end"
    );
    assert_clean(&outcome);
}

/// Guards against hosts taken for unresponsive, and their writes delayed until the deadline, because the router
/// itself was stopped.
#[test]
fn a_router_that_is_stopped_repeatedly_delays_no_request() {
    let hold_up = |n: u64| (Duration::from_millis(1_000 + 400 * n), Event::HoldUp { router: 0, ms: 150 });
    let events = (0..14).map(hold_up).collect();
    let plan = Plan { clients: 60, work_ms: 4, events, ..large_plan(Duration::from_secs(8)) };
    assert_clean(&outcome(&plan));
}

/// Guards against requests that wait behind a whole list, a watch that ends, a rush of clients or a signal to their
/// router.
#[test]
fn whole_lists_client_rushes_and_signals_delay_no_request() {
    let at = |ms: u64, event: Event| (Duration::from_millis(ms), event);
    let events = vec![
        at(1_000, Event::WholeList),
        at(1_500, Event::Rush { router: 0, clients: 100, ms: 1_500 }),
        at(2_000, Event::AgentReset),
        at(2_500, Event::Signals { router: 0, count: 20 }),
        at(3_500, Event::WholeList),
        at(3_600, Event::LittleProcessor { router: 0, ms: 2_000 }),
        at(4_000, Event::ListChanges { count: 500, pause_ms: 3 }),
    ];
    let plan = Plan { clients: 40, sockets: 200, work_ms: 1, events, ..large_plan(Duration::from_secs(8)) };
    assert_clean(&outcome(&plan));
}

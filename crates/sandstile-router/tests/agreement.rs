//! Runs the same small scripts against the emulator and against this package's test doubles, and compares
//! the final answers statement by statement. Results from the emulator are meaningful only while both
//! agree.
#[allow(dead_code)]
mod test_doubles;

use crossbeam_channel::unbounded;
use sandstile_emulator::{protocol, Clock, Emulator, Handle, Record};
use sandstile_scenario::Script;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering::SeqCst};
use std::thread;
use std::time::Duration;
use test_doubles::*;

const FLEET: &str = r#"
title = "agreement"
seconds = 60
DELAY
machine "std" { setup_work_ms = 0 }
node "0" { machine = "std" }
node "1" { machine = "std" }
node "2" { machine = "std" }
group "3" {
  nodes = ["0", "1", "2"]
  detect_s = 30
  elect_s = 30
  ship_ms = 1
  hold_ms = 0
}
workload "look" {
  consistency = "any"
  work_ms = 1
  spread = "fixed"
  slo_ms = 500
  timeout_ms = 2000
}
workload "own" {
  consistency = "session"
  work_ms = 1
  spread = "fixed"
  slo_ms = 500
  timeout_ms = 2000
}
workload "book" {
  consistency = "write"
  work_ms = 1
  spread = "fixed"
  slo_ms = 500
  timeout_ms = 2000
}
routers { count = 1 }
"#;

/// One statement of a client, with its timeout in milliseconds.
#[derive(Clone, Copy, Debug)]
enum Step {
    Look(u32),
    Own(u32),
    Book(u32),
    /// A pause in milliseconds.
    Pause(u64),
}
use Step::{Book, Look, Own, Pause};

impl Step {
    fn text(self) -> Option<String> {
        match self {
            Look(d) => Some(read(d)),
            Own(d) => Some(read(d).replace("c=look", "c=own")),
            Book(d) => Some(write(d)),
            Pause(ms) => {
                thread::sleep(Duration::from_millis(ms));
                None
            }
        }
    }
}

struct Scenario {
    name: &'static str,
    steps: Vec<Step>,
    /// For the emulator: cues, the number of faults that must have begun before the first step, and the delay
    /// of the host list.
    cues: String,
    faults_before_start: usize,
    delay_ms: u32,
    /// For the test doubles: the replies of the primary and of both replicas; `None` where nobody
    /// listens.
    replies: [Option<Vec<HostReply>>; 3],
}

fn fault(name: &str, kind: &str, on: &str, when: &str, lasts: f64) -> String {
    format!("fault \"{name}\" {{\n kind = {kind}\n on = \"{on}\"\n {when}\n for = {lasts}\n}}\n")
}

fn scenarios() -> Vec<Scenario> {
    let normal = || Some(Vec::new());
    let repeated = |act: HostReply| Some(vec![act; 12]);
    let replicas = |kind: &str| {
        let entry_of = |n: usize| fault(&format!("r{n}"), kind, &format!("host:s-3-{n}"), "at = 0", 30.0);
        format!("{}{}", entry_of(1), entry_of(2))
    };
    let primary = |kind: &str, when: &str| fault("p", kind, "host:s-3-0", when, 30.0);
    let at_once = "at = 0";
    vec![
        Scenario {
            name: "no faults",
            steps: vec![Book(800), Look(800), Own(800), Look(800), Book(800), Look(800)],
            cues: String::new(),
            faults_before_start: 0,
            delay_ms: 0,
            replies: [normal(), normal(), normal()],
        },
        Scenario {
            name: "replicas answer errors",
            steps: vec![Look(1500), Look(1500), Book(800)],
            cues: replicas("\"fast_errors\"\n share = 1"),
            faults_before_start: 2,
            delay_ms: 0,
            replies: [normal(), repeated(HostReply::Fail("XX000")), repeated(HostReply::Fail("XX000"))],
        },
        Scenario {
            name: "replicas send malformed answers",
            steps: vec![Look(1800), Look(1800), Book(800)],
            cues: replicas("\"spoilt\"\n share = 1"),
            faults_before_start: 2,
            delay_ms: 0,
            replies: [
                normal(),
                repeated(HostReply::Raw(b"no frame at all")),
                repeated(HostReply::Raw(b"G\0\0\x10\0")),
            ],
        },
        Scenario {
            name: "nobody listens at the replicas",
            steps: vec![Look(1500), Own(1500), Book(800), Look(1500)],
            cues: replicas("\"refuse_connections\""),
            faults_before_start: 2,
            delay_ms: 0,
            replies: [normal(), None, None],
        },
        Scenario {
            name: "replicas lag behind an own write",
            steps: vec![Book(800), Pause(50), Own(1500), Own(1500)],
            cues: replicas("\"slow_replay\"\n share = 0"),
            faults_before_start: 2,
            delay_ms: 0,
            replies: [normal(), repeated(HostReply::Fail("72000")), repeated(HostReply::Fail("72000"))],
        },
        Scenario {
            name: "the primary hangs during a write",
            steps: vec![Look(800), Book(400), Look(800)],
            cues: primary("\"hang\"", at_once),
            faults_before_start: 1,
            delay_ms: 0,
            replies: [repeated(HostReply::Silent), normal(), normal()],
        },
        Scenario {
            name: "the primary dies between execution and answer",
            steps: vec![Look(800), Book(800), Book(600)],
            cues: primary("\"crash\"", "when = \"ran:book:2\""),
            faults_before_start: 0,
            delay_ms: 0,
            replies: [Some(vec![HostReply::Row(b"primary"), HostReply::Cut(0)]), normal(), normal()],
        },
        Scenario {
            name: "the primary dies within its answer",
            steps: vec![Book(800), Look(800), Book(600)],
            cues: primary("\"crash\"", "when = \"half_said:book:2\""),
            faults_before_start: 0,
            delay_ms: 0,
            replies: [Some(vec![HostReply::Row(b"primary"), HostReply::Cut(40)]), normal(), normal()],
        },
        Scenario {
            name: "the primary drains and the list is late",
            steps: vec![Look(800), Book(400), Look(800)],
            cues: primary("\"drain\"", at_once),
            faults_before_start: 1,
            delay_ms: 60_000,
            replies: [repeated(HostReply::Fail("53300")), normal(), normal()],
        },
        Scenario {
            name: "hosts close idle connections early",
            steps: vec![Look(800), Book(800), Pause(300), Look(800), Book(800), Look(800)],
            cues: fault("all", "\"early_close\"\n idle_ms = 60", "group:3", at_once, 30.0),
            faults_before_start: 3,
            delay_ms: 0,
            replies: [
                repeated(HostReply::RowThenEnd(b"primary")),
                repeated(HostReply::RowThenEnd(b"replica")),
                repeated(HostReply::RowThenEnd(b"replica")),
            ],
        },
    ]
}

/// The final answer of each statement: the host that served it, or the error code.
fn final_answers(router: &Router, steps: &[Step], served: impl Fn(&[u8]) -> String) -> Vec<String> {
    let mut client = router.client();
    let texts = steps.iter().filter_map(|step| step.text());
    let answer = |text: String| {
        let reply = client.ask(&text);
        match (reply.value, reply.code) {
            (Some(value), None) => served(&value),
            (None, Some(code)) => code,
            other => format!("{other:?}"),
        }
    };
    texts.map(answer).collect()
}

static NEXT: AtomicU8 = AtomicU8::new(0);

fn with_emulator(scenario: &Scenario) -> Vec<String> {
    let delay = format!("discovery_delay_ms = {}", scenario.delay_ms);
    let text = format!("{}{}", FLEET.replace("DELAY", &delay), scenario.cues);
    let script = Script::read("agreement.hcl", &text).unwrap_or_else(|p| panic!("{}: {p:?}", scenario.name));
    let (trace, records) = unbounded::<Record>();
    let (notes, _kept) = unbounded();
    let net = (210 + (std::process::id() % 40) as u8, 1 + 2 * NEXT.fetch_add(1, SeqCst));
    let emulator =
        Emulator::new(&script, net, Clock::anchor(), trace, notes).expect("cannot bind loopback addresses");
    let handle: Handle = emulator.spawn().expect("cannot start a thread");
    let router = Router::start(&config(handle.agents[0], &handle.discovery_list(0)));
    handle.start_script(Clock::anchor().now());
    let mut active_faults = 0;
    while active_faults < scenario.faults_before_start {
        let record = records.recv_timeout(TEST_TIMEOUT).expect("no fault has begun in time");
        let line = format!("{:?}", record.what);
        active_faults += usize::from(line.contains("FaultBegins"));
    }
    let final_answers = final_answers(&router, &scenario.steps, |value| {
        let (_, host, _) = protocol::parse_value(value).expect("malformed value");
        if host == "s-3-0" { "primary" } else { "replica" }.to_string()
    });
    drop(router);
    handle.stop().expect("the emulator did not stop");
    final_answers
}

fn with_test_doubles(scenario: &Scenario) -> Vec<String> {
    let host = |(n, replies): (usize, &Option<Vec<HostReply>>)| -> SocketAddr {
        match replies {
            Some(replies) => Host::scripted(n == 0, replies).address,
            None => "127.0.0.2:1".parse().expect("not an address"),
        }
    };
    let addresses: Vec<SocketAddr> = scenario.replies.iter().enumerate().map(host).collect();
    let entry_of = |(n, at): (usize, &SocketAddr)| entry(&format!("s-3-{n}"), *at, n == 0, "active");
    let entries: Vec<String> = addresses.iter().enumerate().map(entry_of).collect();
    let router = Router::start(&config(DiscoveryAgent::start().address, &list(41, true, &entries)));
    final_answers(&router, &scenario.steps, |value| String::from_utf8_lossy(value).into_owned())
}

#[test]
fn emulator_and_stand_ins_give_the_same_final_answers() {
    thread::scope(|scope| {
        let runs: Vec<_> = scenarios()
            .into_iter()
            .map(|scenario| {
                scope.spawn(move || (scenario.name, with_emulator(&scenario), with_test_doubles(&scenario)))
            })
            .collect();
        for run in runs {
            let (name, emulator_answers, stand_in_answers) = run.join().expect("a scenario panicked");
            assert_eq!(emulator_answers, stand_in_answers, "{name}");
            println!("{name}: {emulator_answers:?}");
        }
    });
}

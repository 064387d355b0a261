//! The same small scripts against the emulator and against this package's own stand-ins: the program gives the
//! same final answers, statement by statement. The emulator is worth something only while that holds.
#[allow(dead_code)]
mod stand_ins;

use crossbeam_channel::unbounded;
use sandstile_emulator::{protocol, Clock, Emulator, Handle, Record};
use sandstile_scenario::Script;
use stand_ins::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering::SeqCst};
use std::thread;
use std::time::Duration;

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

/// What a client asks, with its patience in milliseconds.
#[derive(Clone, Copy, Debug)]
enum Step {
    Look(u32),
    Own(u32),
    Book(u32),
    /// Nothing, for so many milliseconds.
    Rest(u64),
}
use Step::{Book, Look, Own, Rest};

impl Step {
    fn text(self) -> Option<String> {
        match self {
            Look(d) => Some(read(d)),
            Own(d) => Some(read(d).replace("c=look", "c=own")),
            Book(d) => Some(write(d)),
            Rest(ms) => {
                thread::sleep(Duration::from_millis(ms));
                None
            }
        }
    }
}

struct Play {
    name: &'static str,
    steps: Vec<Step>,
    /// For the emulator: cues, how many faults have to stand before the first step, and how late the list is.
    cues: String,
    stand: usize,
    delay_ms: u32,
    /// For the stand-ins: what primary and replicas do; `None` where nobody listens.
    acts: [Option<Vec<HostReply>>; 3],
}

fn fault(name: &str, kind: &str, on: &str, when: &str, lasts: f64) -> String {
    format!("fault \"{name}\" {{\n kind = {kind}\n on = \"{on}\"\n {when}\n for = {lasts}\n}}\n")
}

fn plays() -> Vec<Play> {
    let good = || Some(Vec::new());
    let many = |act: HostReply| Some(vec![act; 12]);
    let replicas = |kind: &str| {
        let one = |n: usize| fault(&format!("r{n}"), kind, &format!("host:s-3-{n}"), "at = 0", 30.0);
        format!("{}{}", one(1), one(2))
    };
    let primary = |kind: &str, when: &str| fault("p", kind, "host:s-3-0", when, 30.0);
    let at_once = "at = 0";
    vec![
        Play {
            name: "a calm moment",
            steps: vec![Book(800), Look(800), Own(800), Look(800), Book(800), Look(800)],
            cues: String::new(),
            stand: 0,
            delay_ms: 0,
            acts: [good(), good(), good()],
        },
        Play {
            name: "replicas answer errors",
            steps: vec![Look(1500), Look(1500), Book(800)],
            cues: replicas("\"fast_errors\"\n share = 1"),
            stand: 2,
            delay_ms: 0,
            acts: [good(), many(HostReply::Fail("XX000")), many(HostReply::Fail("XX000"))],
        },
        Play {
            name: "replicas answer nonsense",
            steps: vec![Look(1800), Look(1800), Book(800)],
            cues: replicas("\"spoilt\"\n share = 1"),
            stand: 2,
            delay_ms: 0,
            acts: [good(), many(HostReply::Raw(b"no frame at all")), many(HostReply::Raw(b"G\0\0\x10\0"))],
        },
        Play {
            name: "nobody listens at the replicas",
            steps: vec![Look(1500), Own(1500), Book(800), Look(1500)],
            cues: replicas("\"refuse_connections\""),
            stand: 2,
            delay_ms: 0,
            acts: [good(), None, None],
        },
        Play {
            name: "replicas lag behind an own write",
            steps: vec![Book(800), Rest(50), Own(1500), Own(1500)],
            cues: replicas("\"slow_replay\"\n share = 0"),
            stand: 2,
            delay_ms: 0,
            acts: [good(), many(HostReply::Fail("72000")), many(HostReply::Fail("72000"))],
        },
        Play {
            name: "the primary hangs under a write",
            steps: vec![Look(800), Book(400), Look(800)],
            cues: primary("\"hang\"", at_once),
            stand: 1,
            delay_ms: 0,
            acts: [many(HostReply::Silent), good(), good()],
        },
        Play {
            name: "the primary dies between run and answer",
            steps: vec![Look(800), Book(800), Book(600)],
            cues: primary("\"crash\"", "when = \"ran:book:2\""),
            stand: 0,
            delay_ms: 0,
            acts: [Some(vec![HostReply::Row(b"primary"), HostReply::Cut(0)]), good(), good()],
        },
        Play {
            name: "the primary dies within its answer",
            steps: vec![Book(800), Look(800), Book(600)],
            cues: primary("\"crash\"", "when = \"half_said:book:2\""),
            stand: 0,
            delay_ms: 0,
            acts: [Some(vec![HostReply::Row(b"primary"), HostReply::Cut(40)]), good(), good()],
        },
        Play {
            name: "the primary drains and the list is late",
            steps: vec![Look(800), Book(400), Look(800)],
            cues: primary("\"drain\"", at_once),
            stand: 1,
            delay_ms: 60_000,
            acts: [many(HostReply::Fail("53300")), good(), good()],
        },
        Play {
            name: "hosts close idle connections early",
            steps: vec![Look(800), Book(800), Rest(300), Look(800), Book(800), Look(800)],
            cues: fault("all", "\"early_close\"\n idle_ms = 60", "group:3", at_once, 30.0),
            stand: 3,
            delay_ms: 0,
            acts: [
                many(HostReply::RowThenEnd(b"primary")),
                many(HostReply::RowThenEnd(b"replica")),
                many(HostReply::RowThenEnd(b"replica")),
            ],
        },
    ]
}

/// A final answer: who served it, or with which code it ended.
fn ends(router: &Router, steps: &[Step], served: impl Fn(&[u8]) -> String) -> Vec<String> {
    let mut client = router.client();
    let texts = steps.iter().filter_map(|step| step.text());
    let answer = |text: String| {
        let got = client.ask(&text);
        match (got.value, got.code) {
            (Some(value), None) => served(&value),
            (None, Some(code)) => code,
            other => format!("{other:?}"),
        }
    };
    texts.map(answer).collect()
}

static NEXT: AtomicU8 = AtomicU8::new(0);

fn emulated(play: &Play) -> Vec<String> {
    let delay = format!("discovery_delay_ms = {}", play.delay_ms);
    let text = format!("{}{}", FLEET.replace("DELAY", &delay), play.cues);
    let script = Script::read("agreement.hcl", &text).unwrap_or_else(|p| panic!("{}: {p:?}", play.name));
    let (trace, records) = unbounded::<Record>();
    let (notes, _kept) = unbounded();
    let net = (210 + (std::process::id() % 40) as u8, 1 + 2 * NEXT.fetch_add(1, SeqCst));
    let emulator = Emulator::new(&script, net, Clock::anchor(), trace, notes).expect("loopback addresses");
    let handle: Handle = emulator.spawn().expect("a thread");
    let router = Router::start(&config(handle.agents[0], &handle.discovery_list(0)));
    handle.start_script(Clock::anchor().now());
    let mut standing = 0;
    while standing < play.stand {
        let record = records.recv_timeout(TEST_TIMEOUT).expect("faults that begin");
        let line = format!("{:?}", record.what);
        standing += usize::from(line.contains("FaultBegins"));
    }
    let ends = ends(&router, &play.steps, |value| {
        let (_, host, _) = protocol::parse_value(value).expect("a value in its form");
        if host == "s-3-0" { "primary" } else { "replica" }.to_string()
    });
    drop(router);
    handle.stop().expect("an end");
    ends
}

fn stood_in(play: &Play) -> Vec<String> {
    let host = |(n, acts): (usize, &Option<Vec<HostReply>>)| -> SocketAddr {
        match acts {
            Some(acts) => Host::scripted(n == 0, acts).address,
            None => "127.0.0.2:1".parse().expect("an address where nobody listens"),
        }
    };
    let addresses: Vec<SocketAddr> = play.acts.iter().enumerate().map(host).collect();
    let one = |(n, at): (usize, &SocketAddr)| entry(&format!("s-3-{n}"), *at, n == 0, "active");
    let entries: Vec<String> = addresses.iter().enumerate().map(one).collect();
    let router = Router::start(&config(DiscoveryAgent::start().address, &list(41, true, &entries)));
    ends(&router, &play.steps, |value| String::from_utf8_lossy(value).into_owned())
}

#[test]
fn emulator_and_stand_ins_give_the_same_final_answers() {
    thread::scope(|scope| {
        let both: Vec<_> = plays()
            .into_iter()
            .map(|play| scope.spawn(move || (play.name, emulated(&play), stood_in(&play))))
            .collect();
        for play in both {
            let (name, emulated, stood_in) = play.join().expect("a play without a panic");
            assert_eq!(emulated, stood_in, "{name}");
            println!("{name}: {emulated:?}");
        }
    });
}

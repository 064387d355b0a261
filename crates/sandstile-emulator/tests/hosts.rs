//! The emulator as a router meets it: greetings, statements, faults on sockets, discovery.
use crossbeam_channel::{unbounded, Receiver};
use sandstile_emulator::{protocol, Clock, Emulator, Handle, Notification, Record};
use sandstile_pgwire as pg;
use sandstile_scenario::Script;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering::SeqCst};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(10);
static NEXT: AtomicU8 = AtomicU8::new(0);

const FLEET: &str = r#"
title = "test"
seconds = 60
discovery_delay_ms = 0
machine "std" { setup_work_ms = 0 }
node "a" { machine = "std" }
node "b" { machine = "std" }
group "1" {
  nodes = ["a", "b"]
  detect_s = 0.3
  elect_s = 0.1
}
workload "save" {
  consistency = "write"
  work_ms = 2
  spread = "fixed"
  slo_ms = 200
  timeout_ms = 800
}
workload "look" {
  consistency = "any"
  work_ms = 2
  spread = "fixed"
  slo_ms = 200
  timeout_ms = 800
}
routers { count = 1 }
"#;

struct Stage {
    handle: Handle,
    records: Receiver<Record>,
    notes: Receiver<Notification>,
    seen: Vec<serde_json::Value>,
}

fn stage(cues: &str) -> Stage {
    let script = Script::read("test.hcl", &format!("{FLEET}{cues}")).expect("a good script");
    let (trace, records) = unbounded();
    let (note, notes) = unbounded();
    // Addresses of its own for each test of each process.
    let net = (100 + (std::process::id() % 100) as u8, 1 + NEXT.fetch_add(1, SeqCst) * 2);
    let emulator = Emulator::new(&script, net, Clock::anchor(), trace, note).expect("loopback addresses");
    Stage { handle: emulator.spawn().expect("a thread"), records, notes, seen: Vec::new() }
}

impl Stage {
    fn host(&self, n: usize) -> SocketAddr {
        self.handle.hosts[n].1
    }

    /// Waits for a line of the trace.
    fn saw(&mut self, what: &str, host: &str) -> serde_json::Value {
        let end = Instant::now() + PATIENCE;
        loop {
            let fits = |v: &serde_json::Value| v["what"] == what && (host.is_empty() || v["host"] == host);
            if let Some(at) = self.seen.iter().position(fits) {
                return self.seen.remove(at);
            }
            let left = end.saturating_duration_since(Instant::now());
            let record =
                self.records.recv_timeout(left).unwrap_or_else(|_| panic!("never came: {what} {host}"));
            self.seen.push(serde_json::to_value(&record).expect("json"));
        }
    }
}

struct Link {
    stream: TcpStream,
    buf: Vec<u8>,
}

#[derive(Debug, PartialEq)]
enum Got {
    Value(String),
    Code(String),
    Nonsense,
    /// The end after this many bytes of an answer.
    End(usize),
    Nothing,
}

impl Link {
    fn up(address: SocketAddr) -> Link {
        let stream = TcpStream::connect_timeout(&address, PATIENCE).expect("a host that listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
        let mut link = Link { stream, buf: Vec::new() };
        link.stream.write_all(&pg::startup_message()).expect("a host that reads");
        assert_eq!(link.answer(), Got::Nothing);
        link
    }

    /// `Nothing` stands for a bare ReadyForQuery.
    fn answer(&mut self) -> Got {
        let mut answer = pg::Answer::default();
        let mut rows = 0;
        loop {
            while let Ok(Some((tag, body))) = pg::frame(&self.buf) {
                let (end, body) = (body.end, self.buf[body].to_vec());
                self.buf.drain(..end);
                rows += end;
                if matches!(tag, b'R' | b'K' | b'I') {
                    continue;
                }
                match answer.take(tag, &body) {
                    Err(_) => return Got::Nonsense,
                    Ok(false) => {}
                    Ok(true) => {
                        return match answer.stage {
                            pg::Stage::Complete => Got::Value(answer.text().to_string()),
                            pg::Stage::Failed(code) => Got::Code(code),
                            _ => Got::Nothing,
                        }
                    }
                }
            }
            if pg::check_plausible(&self.buf, 1 << 20).is_err() {
                return Got::Nonsense;
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(n) if n > 0 => self.buf.extend_from_slice(&bytes[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Got::Nothing
                }
                _ => return Got::End(rows + self.buf.len()),
            }
        }
    }

    fn ask(&mut self, id: &str, class: &str) -> Got {
        self.send(id, class);
        self.answer()
    }

    fn send(&mut self, id: &str, class: &str) {
        let text =
            format!("/* id={id},c={class},d=800,cluster=1 */ SELECT payload FROM entries WHERE ref = 'k'");
        let mut out = Vec::new();
        pg::query(&mut out, text.as_bytes());
        let _ = self.stream.write_all(&out);
    }
}

#[test]
fn hosts_speak_the_protocol_and_the_trace_says_what_ran() {
    let mut s = stage("");
    let mut primary = Link::up(s.host(0));
    let Got::Value(value) = primary.ask("w1", "save") else { panic!("a value") };
    let made = protocol::parse_value(value.as_bytes()).expect("a value in its form");
    assert_eq!((made.0, made.1), ("w1", "s-1-a"));
    assert_eq!(s.saw("ran", "s-1-a")["id"], "w1");
    let mut replica = Link::up(s.host(1));
    assert_eq!(replica.ask("w2", "save"), Got::Code("25006".to_string()));
    assert!(matches!(replica.ask("r1", "look"), Got::Value(_)));
    let mut query = |text: &str| {
        let mut out = Vec::new();
        pg::query(&mut out, text.as_bytes());
        replica.stream.write_all(&out).expect("a host that reads");
        replica.answer()
    };
    assert!(matches!(query("SHOW stats"), Got::Value(v) if v.contains("x1=0")));
    assert_eq!(query("SELECT 1"), Got::Value("1".to_string()));
    assert_eq!(query("SELECT nonsense"), Got::Code("08P01".to_string()));
    assert_eq!(query(" ; "), Got::Nothing);
    s.handle.stop().expect("an end");
}

/// The three moments at which a primary can go in a write: part of it read, it has run, part of the answer is out.
#[test]
fn a_primary_dies_at_the_very_moment_of_its_cue() {
    for (when, ran, bytes) in [("arriving", 0, 0..1), ("ran", 1, 0..1), ("half_said", 1, 1..400)] {
        let cue = format!(
            "fault \"die\" {{\n kind = \"crash\"\n on = \"primary:1\"\n when = \"{when}:save:2\"\n for = 1\n}}\n"
        );
        let mut s = stage(&cue);
        s.handle.start_script(Clock::anchor().now());
        let mut link = Link::up(s.host(0));
        let mut reader = Link::up(s.host(1));
        assert!(matches!(link.ask("one", "save"), Got::Value(_)), "{when}");
        let Got::End(got) = link.ask("two", "save") else { panic!("{when}: an end") };
        assert!(bytes.contains(&got), "{when}: {got}");
        assert_eq!(s.saw("fault_begins", "s-1-a")["fault"], "crash");
        let twice = s.seen.iter().filter(|v| v["what"] == "ran" && v["id"] == "two").count();
        assert_eq!(twice, ran, "{when}");
        // Refused while it is dead, and the other one leads after a while.
        assert!(TcpStream::connect(s.host(0)).is_err());
        assert_eq!(s.saw("primary", "s-1-b")["term"], 2);
        assert!(matches!(reader.ask("three", "save"), Got::Value(_)));
        s.saw("started", "s-1-a");
        assert_eq!(Link::up(s.host(0)).ask("four", "save"), Got::Code("25006".to_string()));
        s.handle.stop().expect("an end");
    }
}

/// A machine that vanishes: open connections stay open and silent, new ones never come up, and reset at its return.
#[test]
fn a_vanished_machine_says_nothing_until_it_is_back() {
    let cue =
        "fault \"gone\" {\n kind = \"lost\"\n on = \"host:s-1-b\"\n when = \"ran:look:1\"\n for = 2\n}\n";
    let mut s = stage(cue);
    s.handle.start_script(Clock::anchor().now());
    let mut link = Link::up(s.host(1));
    link.stream.set_read_timeout(Some(Duration::from_millis(300))).expect("a limit");
    assert_eq!(link.ask("one", "look"), Got::Nothing);
    let knock = TcpStream::connect_timeout(&s.host(1), Duration::from_millis(250));
    assert_eq!(knock.expect_err("nobody").kind(), ErrorKind::TimedOut);
    link.stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
    assert!(matches!(link.answer(), Got::End(0)));
    s.saw("started", "s-1-b");
    assert!(matches!(Link::up(s.host(1)).ask("two", "look"), Got::Value(_)));
    s.handle.stop().expect("an end");
}

#[test]
fn pauses_hangs_spoilt_answers_and_refusals_reach_the_sockets() {
    let cue = |name: &str, kind: &str, when: &str| {
        format!("fault \"{name}\" {{\n {kind}\n on = \"host:s-1-a\"\n {when}\n for = 0.4\n}}\n")
    };
    let cues = [
        cue("p", "kind = \"pause\"", "at = 0"),
        cue("s", "kind = \"spoilt\"\n share = 1", "when = \"ends:p\"\n plus_ms = 300"),
        cue("r", "kind = \"refuse_connections\"", "when = \"ends:s\"\n plus_ms = 300"),
        cue("e", "kind = \"early_close\"\n idle_ms = 50", "when = \"ends:r\"\n plus_ms = 300"),
    ];
    let mut s = stage(&cues.concat());
    let mut link = Link::up(s.host(0));
    let begun = Instant::now();
    s.handle.start_script(Clock::anchor().now());
    s.saw("fault_begins", "s-1-a");
    assert!(matches!(link.ask("one", "look"), Got::Value(_)));
    assert!(begun.elapsed() >= Duration::from_millis(300));
    link.stream.set_read_timeout(Some(Duration::from_millis(100))).expect("a limit");
    while s.saw("fault_begins", "s-1-a")["fault"] != "spoilt" {}
    let spoilt = link.ask("two", "look");
    assert!(matches!(spoilt, Got::Nonsense | Got::Nothing), "{spoilt:?}");
    let mut other = Link::up(s.host(0));
    while s.saw("fault_begins", "s-1-a")["fault"] != "refuse_connections" {}
    assert_eq!(TcpStream::connect(s.host(0)).expect_err("refused").kind(), ErrorKind::ConnectionRefused);
    assert!(matches!(other.ask("three", "look"), Got::Value(_)), "open ones stay");
    while s.saw("fault_begins", "s-1-a")["fault"] != "early_close" {}
    assert!(matches!(other.answer(), Got::End(0)), "closed early");
    s.handle.stop().expect("an end");
}

fn watch(address: SocketAddr, since: u64) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("an agent");
    stream.set_read_timeout(Some(PATIENCE)).expect("a limit");
    write!(stream, "GET /catalog/members?follow=1&since={since} HTTP/1.1\r\nHost: x\r\n\r\n")
        .expect("an agent");
    stream
}

/// Reads until this text has come; yields all of it, or what came before the end.
fn until(stream: &mut TcpStream, needle: &str) -> String {
    let (mut text, mut bytes) = (String::new(), [0; 4096]);
    while !text.contains(needle) {
        match stream.read(&mut bytes) {
            Ok(n) if n > 0 => text.push_str(&String::from_utf8_lossy(&bytes[..n])),
            _ => break,
        }
    }
    text
}

/// A drain is told over the watch, a pause begins at that very moment, silence holds news back, a move ends lines.
#[test]
fn discovery_tells_delays_and_moves() {
    let cues = r#"
fault "d" {
  kind = "drain"
  on = "primary:1"
  at = 0.2
  for = 30
}
fault "p" {
  kind = "pause"
  on = "host:s-1-b"
  when = "announced:d"
  for = 0.1
}
agent "quiet" {
  kind = "silent"
  when = "ends:p"
  for = 0.5
}
fault "d2" {
  kind = "replace"
  on = "host:s-1-b"
  when = "begins:quiet"
  for = 30
}
agent "moves" {
  kind = "move"
  when = "ends:quiet"
}
"#;
    let mut s = stage(cues);
    let agent = s.handle.agents[0];
    let mut whole = TcpStream::connect(agent).expect("an agent");
    write!(whole, "GET /catalog/members HTTP/1.1\r\n\r\n").expect("an agent");
    let list = until(&mut whole, "no such text");
    assert!(list.contains("\"snapshot\":true") && list.contains("s-1-b"), "{list}");
    let mut line = watch(agent, 2);
    until(&mut line, "chunked");
    s.handle.start_script(Clock::anchor().now());
    let told = until(&mut line, "leaving");
    assert!(told.contains("s-1-a") && told.contains("\"snapshot\":false"), "{told}");
    let mut told = s.saw("told", "s-1-a");
    while told["readiness"] != "leaving" {
        told = s.saw("told", "s-1-a");
    }
    let paused = s.saw("fault_begins", "s-1-b");
    assert_eq!(paused["fault"], "pause");
    assert!((paused["t"].as_f64().unwrap() - told["t"].as_f64().unwrap()).abs() < 0.1);
    let begun = Instant::now();
    let rest = until(&mut line, "s-1-b-r1");
    assert!(rest.contains("s-1-b-r1"), "{rest}");
    assert!(begun.elapsed() >= Duration::from_millis(400), "the agent was silent");
    assert!(
        matches!(s.notes.recv_timeout(PATIENCE), Ok(Notification::AgentsMoved(a)) if a.len() == 1 && a[0] != agent)
    );
    until(&mut line, "no such text");
    assert!(TcpStream::connect(agent).is_err(), "the old address refuses");
    assert!(s.handle.discovery_list(0).contains("leaving"));
    let summary = s.handle.stop().expect("an end");
    assert!(summary.missed.is_empty(), "{:?}", summary.missed);
}

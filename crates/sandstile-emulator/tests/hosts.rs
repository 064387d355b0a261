//! Tests the emulator over sockets, as a router uses it: greetings, statements, faults and discovery.
use crossbeam_channel::{unbounded, Receiver};
use sandstile_emulator::{protocol, Clock, Emulator, Handle, Notification, Record};
use sandstile_pgwire as pg;
use sandstile_scenario::Script;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering::SeqCst};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(10);
static NEXT_NETWORK: AtomicU8 = AtomicU8::new(0);

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

struct TestEmulator {
    handle: Handle,
    records: Receiver<Record>,
    notifications: Receiver<Notification>,
    unmatched_records: Vec<serde_json::Value>,
}

fn start_emulator(cues: &str) -> TestEmulator {
    let script = Script::read("test.hcl", &format!("{FLEET}{cues}")).expect("script is valid");
    let (trace, records) = unbounded();
    let (note, notifications) = unbounded();
    // Each test of each process uses its own addresses.
    let net = (100 + (std::process::id() % 100) as u8, 1 + NEXT_NETWORK.fetch_add(1, SeqCst) * 2);
    let emulator =
        Emulator::new(&script, net, Clock::anchor(), trace, note).expect("loopback addresses are free");
    TestEmulator {
        handle: emulator.spawn().expect("emulator thread starts"),
        records,
        notifications,
        unmatched_records: Vec::new(),
    }
}

impl TestEmulator {
    fn host(&self, n: usize) -> SocketAddr {
        self.handle.hosts[n].1
    }

    /// Waits for a trace record with this event and host (any host if empty) and removes it.
    fn wait_for_record(&mut self, what: &str, host: &str) -> serde_json::Value {
        let end = Instant::now() + TIMEOUT;
        loop {
            let fits = |v: &serde_json::Value| v["what"] == what && (host.is_empty() || v["host"] == host);
            if let Some(at) = self.unmatched_records.iter().position(fits) {
                return self.unmatched_records.remove(at);
            }
            let left = end.saturating_duration_since(Instant::now());
            let record = self
                .records
                .recv_timeout(left)
                .unwrap_or_else(|_| panic!("no trace record '{what}' of host '{host}'"));
            self.unmatched_records.push(serde_json::to_value(&record).expect("record serializes to JSON"));
        }
    }
}

struct HostConnection {
    stream: TcpStream,
    buf: Vec<u8>,
}

#[derive(Debug, PartialEq)]
enum Received {
    Value(String),
    Code(String),
    Malformed,
    /// The connection ended after this many bytes of an answer.
    End(usize),
    Nothing,
}

impl HostConnection {
    fn connect(address: SocketAddr) -> HostConnection {
        let stream = TcpStream::connect_timeout(&address, TIMEOUT).expect("host accepts the connection");
        stream.set_read_timeout(Some(TIMEOUT)).expect("read timeout can be set");
        let mut connection = HostConnection { stream, buf: Vec::new() };
        connection.stream.write_all(&pg::startup_message()).expect("host reads the message");
        assert_eq!(connection.answer(), Received::Nothing);
        connection
    }

    /// `Nothing` means a bare ReadyForQuery.
    fn answer(&mut self) -> Received {
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
                    Err(_) => return Received::Malformed,
                    Ok(false) => {}
                    Ok(true) => {
                        return match answer.stage {
                            pg::Stage::Complete => Received::Value(answer.text().to_string()),
                            pg::Stage::Failed(code) => Received::Code(code),
                            _ => Received::Nothing,
                        }
                    }
                }
            }
            if pg::check_plausible(&self.buf, 1 << 20).is_err() {
                return Received::Malformed;
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(n) if n > 0 => self.buf.extend_from_slice(&bytes[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Received::Nothing
                }
                _ => return Received::End(rows + self.buf.len()),
            }
        }
    }

    fn query(&mut self, id: &str, class: &str) -> Received {
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
fn hosts_speak_the_protocol_and_the_trace_records_what_ran() {
    let mut emulator = start_emulator("");
    let mut primary = HostConnection::connect(emulator.host(0));
    let Received::Value(value) = primary.query("w1", "save") else { panic!("expected a value") };
    let made = protocol::parse_value(value.as_bytes()).expect("well-formed value");
    assert_eq!((made.0, made.1), ("w1", "s-1-a"));
    assert_eq!(emulator.wait_for_record("ran", "s-1-a")["id"], "w1");
    let mut replica = HostConnection::connect(emulator.host(1));
    assert_eq!(replica.query("w2", "save"), Received::Code("25006".to_string()));
    assert!(matches!(replica.query("r1", "look"), Received::Value(_)));
    let mut query = |text: &str| {
        let mut out = Vec::new();
        pg::query(&mut out, text.as_bytes());
        replica.stream.write_all(&out).expect("host reads the message");
        replica.answer()
    };
    assert!(matches!(query("SHOW stats"), Received::Value(v) if v.contains("x1=0")));
    assert_eq!(query("SELECT 1"), Received::Value("1".to_string()));
    assert_eq!(query("SELECT nonsense"), Received::Code("08P01".to_string()));
    assert_eq!(query(" ; "), Received::Nothing);
    emulator.handle.stop().expect("emulator stops");
}

/// A primary can crash at three moments of a write: when part of it was read, after it ran, and when part of the answer
/// was sent.
#[test]
fn a_primary_crashes_at_the_moment_of_its_cue() {
    for (when, ran, bytes) in [("arriving", 0, 0..1), ("ran", 1, 0..1), ("half_said", 1, 1..400)] {
        let cue = format!(
            "fault \"die\" {{\n kind = \"crash\"\n on = \"primary:1\"\n when = \"{when}:save:2\"\n for = 1\n}}\n"
        );
        let mut emulator = start_emulator(&cue);
        emulator.handle.start_script(Clock::anchor().now());
        let mut connection = HostConnection::connect(emulator.host(0));
        let mut reader = HostConnection::connect(emulator.host(1));
        assert!(matches!(connection.query("one", "save"), Received::Value(_)), "{when}");
        let Received::End(got) = connection.query("two", "save") else {
            panic!("{when}: expected the connection to end")
        };
        assert!(bytes.contains(&got), "{when}: {got}");
        assert_eq!(emulator.wait_for_record("fault_begins", "s-1-a")["fault"], "crash");
        let runs =
            emulator.unmatched_records.iter().filter(|v| v["what"] == "ran" && v["id"] == "two").count();
        assert_eq!(runs, ran, "{when}");
        // Connections are refused while the process is down, and the other host becomes primary.
        assert!(TcpStream::connect(emulator.host(0)).is_err());
        assert_eq!(emulator.wait_for_record("primary", "s-1-b")["term"], 2);
        assert!(matches!(reader.query("three", "save"), Received::Value(_)));
        emulator.wait_for_record("started", "s-1-a");
        assert_eq!(
            HostConnection::connect(emulator.host(0)).query("four", "save"),
            Received::Code("25006".to_string())
        );
        emulator.handle.stop().expect("emulator stops");
    }
}

/// While a machine has vanished, open connections stay silent and new ones time out; they are reset when it returns.
#[test]
fn a_vanished_machine_is_unreachable_until_it_returns() {
    let cue =
        "fault \"gone\" {\n kind = \"lost\"\n on = \"host:s-1-b\"\n when = \"ran:look:1\"\n for = 2\n}\n";
    let mut emulator = start_emulator(cue);
    emulator.handle.start_script(Clock::anchor().now());
    let mut connection = HostConnection::connect(emulator.host(1));
    connection.stream.set_read_timeout(Some(Duration::from_millis(300))).expect("read timeout can be set");
    assert_eq!(connection.query("one", "look"), Received::Nothing);
    let timed_out_connect = TcpStream::connect_timeout(&emulator.host(1), Duration::from_millis(250));
    assert_eq!(timed_out_connect.expect_err("connect must time out").kind(), ErrorKind::TimedOut);
    connection.stream.set_read_timeout(Some(TIMEOUT)).expect("read timeout can be set");
    assert!(matches!(connection.answer(), Received::End(0)));
    emulator.wait_for_record("started", "s-1-b");
    assert!(matches!(HostConnection::connect(emulator.host(1)).query("two", "look"), Received::Value(_)));
    emulator.handle.stop().expect("emulator stops");
}

#[test]
fn pauses_unusable_answers_refusals_and_early_closes_reach_the_sockets() {
    let cue = |name: &str, kind: &str, when: &str| {
        format!("fault \"{name}\" {{\n {kind}\n on = \"host:s-1-a\"\n {when}\n for = 0.4\n}}\n")
    };
    let cues = [
        cue("p", "kind = \"pause\"", "at = 0"),
        cue("s", "kind = \"spoilt\"\n share = 1", "when = \"ends:p\"\n plus_ms = 300"),
        cue("r", "kind = \"refuse_connections\"", "when = \"ends:s\"\n plus_ms = 300"),
        cue("e", "kind = \"early_close\"\n idle_ms = 50", "when = \"ends:r\"\n plus_ms = 300"),
    ];
    let mut emulator = start_emulator(&cues.concat());
    let mut connection = HostConnection::connect(emulator.host(0));
    let started = Instant::now();
    emulator.handle.start_script(Clock::anchor().now());
    emulator.wait_for_record("fault_begins", "s-1-a");
    assert!(matches!(connection.query("one", "look"), Received::Value(_)));
    assert!(started.elapsed() >= Duration::from_millis(300));
    connection.stream.set_read_timeout(Some(Duration::from_millis(100))).expect("read timeout can be set");
    while emulator.wait_for_record("fault_begins", "s-1-a")["fault"] != "spoilt" {}
    let spoilt = connection.query("two", "look");
    assert!(matches!(spoilt, Received::Malformed | Received::Nothing), "{spoilt:?}");
    let mut other = HostConnection::connect(emulator.host(0));
    while emulator.wait_for_record("fault_begins", "s-1-a")["fault"] != "refuse_connections" {}
    assert_eq!(
        TcpStream::connect(emulator.host(0)).expect_err("connect must be refused").kind(),
        ErrorKind::ConnectionRefused
    );
    assert!(matches!(other.query("three", "look"), Received::Value(_)), "open connections stay");
    while emulator.wait_for_record("fault_begins", "s-1-a")["fault"] != "early_close" {}
    assert!(matches!(other.answer(), Received::End(0)), "idle connection is closed early");
    emulator.handle.stop().expect("emulator stops");
}

fn watch(address: SocketAddr, since: u64) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("agent is reachable");
    stream.set_read_timeout(Some(TIMEOUT)).expect("read timeout can be set");
    write!(stream, "GET /catalog/members?follow=1&since={since} HTTP/1.1\r\nHost: x\r\n\r\n")
        .expect("agent is reachable");
    stream
}

/// Reads until this text has arrived or the stream ends; returns everything read.
fn read_until(stream: &mut TcpStream, needle: &str) -> String {
    let (mut text, mut bytes) = (String::new(), [0; 4096]);
    while !text.contains(needle) {
        match stream.read(&mut bytes) {
            Ok(n) if n > 0 => text.push_str(&String::from_utf8_lossy(&bytes[..n])),
            _ => break,
        }
    }
    text
}

/// A drain is announced over the watch, the cue that waits for the announcement starts a pause at that moment, a silent
/// agent delays changes, and a moved agent closes its old connections.
#[test]
fn discovery_announces_changes_delays_and_moves() {
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
    let mut emulator = start_emulator(cues);
    let agent = emulator.handle.agents[0];
    let mut whole = TcpStream::connect(agent).expect("agent is reachable");
    write!(whole, "GET /catalog/members HTTP/1.1\r\n\r\n").expect("agent is reachable");
    let list = read_until(&mut whole, "no such text");
    assert!(list.contains("\"snapshot\":true") && list.contains("s-1-b"), "{list}");
    let mut watch_stream = watch(agent, 2);
    read_until(&mut watch_stream, "chunked");
    emulator.handle.start_script(Clock::anchor().now());
    let changes = read_until(&mut watch_stream, "leaving");
    assert!(changes.contains("s-1-a") && changes.contains("\"snapshot\":false"), "{changes}");
    let mut announced = emulator.wait_for_record("told", "s-1-a");
    while announced["readiness"] != "leaving" {
        announced = emulator.wait_for_record("told", "s-1-a");
    }
    let paused = emulator.wait_for_record("fault_begins", "s-1-b");
    assert_eq!(paused["fault"], "pause");
    assert!((paused["t"].as_f64().unwrap() - announced["t"].as_f64().unwrap()).abs() < 0.1);
    let started = Instant::now();
    let rest = read_until(&mut watch_stream, "s-1-b-r1");
    assert!(rest.contains("s-1-b-r1"), "{rest}");
    assert!(started.elapsed() >= Duration::from_millis(400), "the agent was silent");
    assert!(
        matches!(emulator.notifications.recv_timeout(TIMEOUT), Ok(Notification::AgentsMoved(a)) if a.len() == 1 && a[0] != agent)
    );
    read_until(&mut watch_stream, "no such text");
    assert!(TcpStream::connect(agent).is_err(), "the old address refuses");
    assert!(emulator.handle.discovery_list(0).contains("leaving"));
    let summary = emulator.handle.stop().expect("emulator stops");
    assert!(summary.missed.is_empty(), "{:?}", summary.missed);
}

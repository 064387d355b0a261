//! Own reads across restarts and routers: runs this program in front of emulated hosts that do not check
//! positions themselves.
#[allow(dead_code)]
mod test_doubles;

use crossbeam_channel::{unbounded, Receiver};
use sandstile_emulator::{protocol, Clock, Emulator, Handle, Record};
use sandstile_lab::router_process;
use sandstile_pgwire as pg;
use sandstile_replicated_state::fact::Report;
use sandstile_replicated_state::{wire, Fact, Key, Kind, Message, Value};
use sandstile_scenario::Script;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering::SeqCst};
use std::thread;
use std::time::Duration;
use test_doubles::{wait_for, TEST_TIMEOUT};

/// Replication is slow (700 ms), so a read from a replica right after a write misses it.
const FLEET: &str = r#"
title = "sessions"
seconds = 60
guards = false
machine "std" { setup_work_ms = 0 }
node "a" { machine = "std" }
node "b" { machine = "std" }
node "c" { machine = "std" }
group "1" {
  nodes = ["a", "b", "c"]
  ship_ms = 700
}
workload "own" {
  consistency = "session"
  work_ms = 1
  slo_ms = 500
  timeout_ms = 2000
}
workload "save" {
  consistency = "write"
  work_ms = 1
  slo_ms = 500
  timeout_ms = 2000
}
routers { count = 3 }
"#;

const KEYS: &str = "1 00112233445566778899aabbccddeeff0123456789abcdef0123456789abcdef\n";
static NEXT_FLEET: AtomicU8 = AtomicU8::new(0);
static NEXT_STATEMENT_ID: AtomicUsize = AtomicUsize::new(1);

struct TestFleet {
    script: Script,
    emulator: Handle,
    _records: Receiver<Record>,
    dir: PathBuf,
    net: (u8, u8),
}

struct Router {
    child: Child,
    address: SocketAddr,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Router {
    fn end(mut self, signal: &str) {
        let kill = format!("kill -{signal} {}", self.child.id());
        assert!(Command::new("/bin/sh").args(["-c", &kill]).status().expect("cannot run a shell").success());
        let status = self.child.wait().expect("cannot wait for the process");
        assert!(signal == "KILL" || status.success(), "{status}");
    }
}

impl TestFleet {
    fn new() -> TestFleet {
        let script = Script::read("sessions.hcl", FLEET).unwrap_or_else(|p| panic!("{p:?}"));
        let (trace, records) = unbounded();
        let n = NEXT_FLEET.fetch_add(1, SeqCst);
        let net = (60 + (std::process::id() % 40) as u8, 1 + 2 * n);
        let emulator = Emulator::new(&script, net, Clock::anchor(), trace, unbounded().0)
            .expect("cannot bind loopback addresses");
        let dir = std::env::temp_dir().join(format!("sandstile-sessions-{}-{n}", std::process::id()));
        fs::create_dir_all(&dir).expect("cannot write the test's files");
        let keys = dir.join("keys");
        fs::write(&keys, KEYS).expect("cannot write the test's files");
        fs::set_permissions(&keys, fs::Permissions::from_mode(0o600)).expect("cannot write the test's file");
        TestFleet {
            script,
            emulator: emulator.spawn().expect("cannot start a thread"),
            _records: records,
            dir,
            net,
        }
    }

    fn exchange_address(&self, n: usize) -> String {
        format!("127.{}.{}.{}:7432", self.net.0, self.net.1 + 120, n + 1)
    }

    /// Starts a router with these session settings in its local configuration file, or without the file.
    fn router(&self, n: usize, settings: Option<&str>) -> Router {
        let address = SocketAddr::from(([127, self.net.0, self.net.1 + 100, n as u8 + 1], 6432));
        let known = self.emulator.discovery_list(0);
        let config = router_process::config(&self.script, n, address, self.emulator.agents[n], &known);
        let file = self.dir.join(format!("config-{n}.json"));
        fs::write(&file, config.to_string()).expect("cannot write the test's files");
        let mut command = Command::new(env!("CARGO_BIN_EXE_sandstile"));
        command.arg("serve").env("LB_CONFIG", file).stderr(Stdio::null());
        if let Some(settings) = settings {
            let path = self.dir.join(format!("own-{n}.hcl"));
            fs::write(&path, format!("sessions {{\n{settings}\n}}\n"))
                .expect("cannot write the test's files");
            command.arg("--config").arg(path);
        }
        let router = Router { child: command.spawn().expect("cannot run the program"), address };
        wait_for("the router to listen", || TcpStream::connect(address).is_ok());
        router
    }

    fn keys(&self) -> String {
        format!("keys = {:?}", self.dir.join("keys").display().to_string())
    }

    fn journal(&self) -> String {
        format!("journal = {:?}", self.dir.join("marks").display().to_string())
    }
}

/// The answer to a statement: the host's name, the position it reported, and the mark for later statements.
struct StatementAnswer {
    host: String,
    position: f64,
    mark: Option<String>,
}

fn ask(router: &Router, class: &str, session: &str, mark: Option<&str>) -> StatementAnswer {
    let id = NEXT_STATEMENT_ID.fetch_add(1, SeqCst);
    let mark = mark.map(|m| format!(",mark={m}")).unwrap_or_default();
    let text = format!(
        "/* id=s{id:08},c={class},d=1900,cluster=1{mark} */ SELECT clip FROM clips WHERE viewer = '{session}'"
    );
    let mut stream = TcpStream::connect(router.address).expect("cannot connect to the router");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("cannot set the timeout");
    let mut bytes = pg::startup_message();
    pg::query(&mut bytes, text.as_bytes());
    stream.write_all(&bytes).expect("the router closed the connection");
    let (mut buf, mut answer, mut greeted, mut token) = (Vec::new(), pg::Answer::default(), false, None);
    loop {
        let mut at = 0;
        while let Ok(Some((tag, body))) = pg::frame(&buf[at..]) {
            let (end, body) = (body.end, &buf[at..][body]);
            if tag == b'S' && body.starts_with(b"sandstile_mark\0") {
                token = Some(String::from_utf8_lossy(&body[15..body.len() - 1]).into_owned());
            }
            match tag {
                b'R' | b'K' => {}
                b'Z' if !greeted => greeted = true,
                _ => {
                    if answer.take(tag, body).expect("no valid answer") {
                        let (_, host, position) = protocol::parse_value(answer.text().as_bytes())
                            .unwrap_or_else(|| panic!("{:?}", answer.stage));
                        return StatementAnswer { host: host.to_string(), position, mark: token };
                    }
                }
            }
            at += end;
        }
        buf.drain(..at);
        let mut piece = [0; 4096];
        let n = stream.read(&mut piece).expect("no valid answer");
        assert!(n > 0, "the router closed the connection");
        buf.extend_from_slice(&piece[..n]);
    }
}

/// The hosts of four reads, because routers begin their rotation at any host.
fn hosts(router: &Router, session: &str, mark: Option<&str>) -> Vec<String> {
    (0..4).map(|_| ask(router, "own", session, mark).host).collect()
}

const PRIMARY: &str = "s-1-a";

fn all_by_primary(hosts: &[String]) -> bool {
    hosts.iter().all(|h| h == PRIMARY)
}

/// Reads until a replica answers: the router first learns from probes and answers how far the replicas are.
fn served_by_replicas(router: &Router, session: &str, mark: Option<&str>) -> bool {
    (0..100).any(|_| {
        thread::sleep(Duration::from_millis(20));
        ask(router, "own", session, mark).host != PRIMARY
    })
}

#[test]
fn every_router_accepts_a_valid_token_and_nothing_else() {
    let fleet = TestFleet::new();
    let routers = [fleet.router(0, Some(&fleet.keys())), fleet.router(1, Some(&fleet.keys()))];
    let written = ask(&routers[0], "save", "ann", None);
    let mark = written.mark.expect("no mark in the answer");
    assert!(all_by_primary(&hosts(&routers[1], "ann", Some(&mark))));
    // Replicas serve the session once they have reached its position, and no sooner.
    for _ in 0..100 {
        let answer = ask(&routers[1], "own", "ann", Some(&mark));
        assert!(answer.host == PRIMARY || answer.position >= written.position);
        thread::sleep(Duration::from_millis(15));
    }
    assert!(served_by_replicas(&routers[1], "ann", Some(&mark)));
    // With without_mark = "as-before", reads without a mark go to any host, and reads with a mark are still
    // checked.
    let lenient = format!("{}\nwithout_mark = \"as-before\"", fleet.keys());
    let lenient_router = fleet.router(2, Some(&lenient));
    assert!(!all_by_primary(&hosts(&lenient_router, "one without", None)));
    let dan_mark = ask(&lenient_router, "save", "dan", None).mark.expect("no mark in the answer");
    assert!(all_by_primary(&hosts(&lenient_router, "dan", Some(&dan_mark))));
    // With another session's token, a changed one, or none, reads go to the primary, and never fail.
    let mut changed = mark.clone();
    let other = if changed.pop() == Some('A') { 'B' } else { 'A' };
    changed.push(other);
    for bad in [Some(changed.as_str()), Some("nonsense"), Some(""), None] {
        assert!(all_by_primary(&hosts(&routers[1], "ann", bad)), "{bad:?}");
    }
    assert!(all_by_primary(&hosts(&routers[1], "bob", Some(&mark))));
    // A mark from a read on the primary is valid too: with it, replicas serve bob.
    let bob_mark = ask(&routers[1], "own", "bob", None).mark.expect("no mark in the answer");
    assert!(served_by_replicas(&routers[0], "bob", Some(&bob_mark)));
    fs::remove_dir_all(&fleet.dir).expect("cannot remove the test's folder");
}

/// Guards against a stale own read when the router restarts between a write and the read, in order or by a
/// kill. Without a local configuration file the read is stale.
#[test]
fn a_journal_preserves_sessions_across_restarts() {
    let fleet = TestFleet::new();
    let settings = format!("{}\ndurability = \"before-answer\"\nsessions_stay = true", fleet.journal());
    let mut router = fleet.router(0, Some(&settings));
    for signal in ["TERM", "KILL", "TERM", "KILL"] {
        ask(&router, "save", "ann", None);
        router.end(signal);
        router = fleet.router(0, Some(&settings));
        assert!(all_by_primary(&hosts(&router, "ann", None)), "{signal}");
    }
    thread::sleep(Duration::from_millis(800));
    assert!(served_by_replicas(&router, "ann", None), "the journal was complete, so the session is known");
    router.end("TERM");
    let marks = fleet.dir.join("marks");
    let inspect = |path: &Path| {
        let out = Command::new(env!("CARGO_BIN_EXE_sandstile"))
            .args(["sessions", "inspect"])
            .arg(path)
            .output()
            .expect("cannot run the program");
        String::from_utf8_lossy(&out.stdout).into_owned()
    };
    assert!(inspect(&marks).contains("whole: true, ended in order: true"), "{}", inspect(&marks));
    // With one flipped bit the journal is incomplete: sessions that it lacks are unknown, and their reads go
    // to the primary.
    let mut bytes = fs::read(&marks).expect("no journal file");
    let last = bytes.len() - 30;
    bytes[last] ^= 4;
    fs::write(&marks, bytes).expect("cannot write the test's file");
    let router = fleet.router(0, Some(&settings));
    assert!(all_by_primary(&hosts(&router, "zoe", None)));
    router.end("TERM");
    // The same without a journal: a router that has just started knows no sessions, and serves stale reads.
    let router = fleet.router(0, None);
    ask(&router, "save", "eve", None);
    router.end("KILL");
    let router = fleet.router(0, None);
    assert!(
        !all_by_primary(&hosts(&router, "eve", None)),
        "without a journal the read should be stale, otherwise this test proves nothing"
    );
    drop(router);
    fs::remove_dir_all(&fleet.dir).expect("cannot remove the test's folder");
}

/// A router that shuts down in order hands its sessions to its peers and gets them back after the restart.
/// After a kill, what the peers have does not count as complete.
#[test]
fn peers_return_a_routers_sessions_after_a_restart() {
    let fleet = TestFleet::new();
    let settings = |n: usize, other: usize| {
        let (listen, peer) = (fleet.exchange_address(n), fleet.exchange_address(other));
        format!(
            "{}\nsessions_stay = true\nreplicas_lag_at_most_s = 60\nexchange {{\n listen = \"{listen}\"\n peers = [\"{peer}\"]\n}}",
            fleet.keys()
        )
    };
    let _peer = fleet.router(1, Some(&settings(1, 0)));
    let router = fleet.router(0, Some(&settings(0, 1)));
    thread::sleep(Duration::from_millis(700));
    ask(&router, "save", "ann", None);
    router.end("TERM");
    let router = fleet.router(0, Some(&settings(0, 1)));
    assert!(all_by_primary(&hosts(&router, "ann", None)));
    // The session is known again, so replicas serve it once they have its writes. An unknown session would be
    // served by the primary for a minute.
    assert!(served_by_replicas(&router, "ann", None));
    assert!(served_by_replicas(&router, "one who never wrote", None));
    ask(&router, "save", "ann", None);
    router.end("KILL");
    let router = fleet.router(0, Some(&settings(0, 1)));
    thread::sleep(Duration::from_millis(1000));
    assert!(all_by_primary(&hosts(&router, "ann", None)));
    drop(router);
    fs::remove_dir_all(&fleet.dir).expect("cannot remove the test's folder");
}

/// A router that replicates state and one that does not exchange marks with the first version of the
/// protocol.
#[test]
fn routers_with_and_without_replicated_state_exchange_marks() {
    let fleet = TestFleet::new();
    let settings = |n: usize, other: usize, state: &str| {
        let (listen, peer) = (fleet.exchange_address(n), fleet.exchange_address(other));
        format!(
            "{}\nsessions_stay = true\nreplicas_lag_at_most_s = 60\nexchange {{\n listen = \"{listen}\"\n peers = [\"{peer}\"]\n}}\n{state}",
            fleet.keys()
        )
    };
    for (state, other_state) in [("state {\n}", ""), ("", "state {\n}"), ("state {\n}", "state {\n}")] {
        let _peer = fleet.router(1, Some(&settings(1, 0, other_state)));
        let router = fleet.router(0, Some(&settings(0, 1, state)));
        thread::sleep(Duration::from_millis(700));
        ask(&router, "save", "ann", None);
        router.end("TERM");
        let router = fleet.router(0, Some(&settings(0, 1, state)));
        assert!(all_by_primary(&hosts(&router, "ann", None)), "{state} with {other_state}");
        assert!(served_by_replicas(&router, "one who never wrote", None), "{state} with {other_state}");
    }
    fs::remove_dir_all(&fleet.dir).expect("cannot remove the test's folder");
}

/// The state in a directory can be shown over a socket and compared with a file. A second process on the
/// same directory fails to start, with an error of one line.
#[test]
fn replicated_state_can_be_shown_and_compared_and_has_one_owner() {
    let fleet = TestFleet::new();
    let (dir, socket) = (fleet.dir.join("state"), fleet.dir.join("state.sock"));
    let settings = |n: usize| {
        format!(
            "{}\nsessions_stay = true\nexchange {{\n listen = \"{}\"\n}}\nstate {{\n dir = {:?}\n witness = {:?}\n control = {:?}\n}}",
            fleet.keys(),
            fleet.exchange_address(n),
            dir.display().to_string(),
            fleet.dir.join("witness").display().to_string(),
            socket.display().to_string()
        )
    };
    let state = |arguments: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_sandstile"))
            .arg("state")
            .args(arguments)
            .output()
            .expect("cannot run the program");
        let text =
            format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
        (out.status.success(), text)
    };
    let (file, socket) = (dir.join("state").display().to_string(), socket.display().to_string());
    let router = fleet.router(0, Some(&settings(0)));
    ask(&router, "save", "ann", None);
    ask(&router, "save", "bob", None);
    let is_saved = || state(&["compare", &socket, &file]).0;
    wait_for("all of the state to be on the disk", is_saved);
    let older_copy = dir.join("copy");
    fs::copy(&file, &older_copy).expect("cannot write the test's files");
    ask(&router, "save", "cid", None);
    wait_for("the third write to be on the disk", || {
        !state(&["compare", &older_copy.display().to_string(), &file]).0
    });
    let (_, output) = state(&["compare", &older_copy.display().to_string(), &socket]);
    assert!(output.contains("only the second has it") && output.contains("mark "), "{output}");
    let (ok, output) = state(&["show", &socket]);
    assert!(ok && output.contains("\"mark\":3") && output.contains("\"disk\":true"), "{output}");
    let config = fleet.dir.join("own-second.hcl");
    fs::write(&config, format!("sessions {{\n{}\n}}\n", settings(1))).expect("cannot write the test's files");
    let second = Command::new(env!("CARGO_BIN_EXE_sandstile"))
        .args(["serve", "--config"])
        .arg(&config)
        .env("LB_CONFIG", fleet.dir.join("config-0.json"))
        .env("LB_LISTEN", format!("127.{}.{}.99:6432", fleet.net.0, fleet.net.1 + 100))
        .output()
        .expect("cannot run the program");
    let output = String::from_utf8_lossy(&second.stderr).into_owned();
    assert!(!second.status.success() && output.contains("another process keeps its state there"), "{output}");
    router.end("TERM");
    let (ok, output) = state(&["show", &file]);
    assert!(ok && output.contains("ended in order: true"), "{output}");
    // The next process finds the complete state, so a session that it lacks has not written.
    let router = fleet.router(0, Some(&settings(0)));
    assert!(!all_by_primary(&hosts(&router, "one who never wrote", None)));
    router.end("KILL");
    // Killed, and an older file of an orderly shutdown restored: the witness file shows that it is not the
    // latest.
    fs::copy(&older_copy, &file).expect("cannot write the test's files");
    let router = fleet.router(0, Some(&settings(0)));
    assert!(all_by_primary(&hosts(&router, "one who never wrote", None)));
    drop(router);
    fs::remove_dir_all(&fleet.dir).expect("cannot remove the test's folder");
}

/// Guards against false claims by a process that holds the key. It repeats that every host refuses
/// connections, and that it has just probed them and none is a primary. Reads and writes are still served,
/// also by replicas once their answers have disproved the claims.
#[test]
fn false_claims_by_a_key_holder_do_not_stop_service() {
    let fleet = TestFleet::new();
    let settings = format!(
        "{}\nsessions_stay = true\nexchange {{\n listen = \"{}\"\n}}\nstate {{\n learn_together = true\n}}",
        fleet.keys(),
        fleet.exchange_address(0)
    );
    let router = fleet.router(0, Some(&settings));
    assert!(
        served_by_replicas(&router, "one who never wrote", None)
            || all_by_primary(&hosts(&router, "x", None))
    );
    let secrets = sandstile_router::keys::read_keys(&fleet.dir.join("keys"))
        .expect("cannot read the keys")
        .derive_secrets(sandstile_router::exchange::CONTEXT);
    let mut connection =
        TcpStream::connect(fleet.exchange_address(0)).expect("cannot connect to the exchange");
    let (mut greeting, mut bytes) = (Vec::new(), [0; 128]);
    let nonce = loop {
        let n = connection.read(&mut bytes).expect("no valid greeting");
        greeting.extend_from_slice(&bytes[..n]);
        if let Some((nonce, ..)) = sandstile_exchange::read_greeting(&greeting).expect("no valid greeting") {
            break nonce;
        }
    };
    let mut encoder = sandstile_exchange::FrameEncoder::new(&secrets[0], &nonce);
    connection.write_all(&encoder.introduction("liar#7~2")).expect("the exchange closed the connection");
    let stop = std::sync::Arc::new(AtomicUsize::new(0));
    let stop_flag = stop.clone();
    let sender_thread = thread::spawn(move || {
        let (clock, mut version) = (Clock::anchor(), 0);
        while stop_flag.load(SeqCst) == 0 {
            let now = clock.now();
            let mut facts = Vec::new();
            for host in ["s-1-a", "s-1-b", "s-1-c"] {
                for (kind, severity, body) in [(Kind::Refusal, 1, ""), (Kind::Probe, 0, "answers")] {
                    version += 1;
                    let claim = Report { generation: 7, version, severity, body: body.into() };
                    facts.push((
                        Key::owned(kind, host, "liar"),
                        Fact { value: Value::Report(claim), created_at: now },
                    ));
                }
            }
            let message = wire::encode(&Message::Facts(facts), now);
            if connection.write_all(&encoder.state(&message)).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
    });
    let started_at = std::time::Instant::now();
    let mut by_replicas = 0;
    for n in 0..60 {
        let asked_at = std::time::Instant::now();
        if n % 6 == 0 {
            ask(&router, "save", "ann", None);
        }
        by_replicas += usize::from(ask(&router, "own", &format!("r{n}"), None).host != PRIMARY);
        assert!(asked_at.elapsed() < Duration::from_secs(1), "a statement took too long");
        thread::sleep(Duration::from_millis(50));
    }
    assert!(started_at.elapsed() < Duration::from_secs(20));
    assert!(by_replicas > 10, "only {by_replicas} reads were served by replicas");
    stop.store(1, SeqCst);
    sender_thread.join().expect("the sending thread panicked");
    drop(router);
    fs::remove_dir_all(&fleet.dir).expect("cannot remove the test's folder");
}

/// SIGHUP rotates the keys without invalidating tokens; if the new file is bad, the former keys stay.
#[test]
fn keys_are_read_again_on_sighup() {
    let fleet = TestFleet::new();
    let router = fleet.router(0, Some(&fleet.keys()));
    let mark = ask(&router, "save", "ann", None).mark.expect("no mark in the answer");
    let keys = fleet.dir.join("keys");
    let new = "2 ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100\n";
    let decode = |text: &str| {
        let out = Command::new(env!("CARGO_BIN_EXE_sandstile"))
            .args(["token", "decode", text, "--keys"])
            .arg(&keys)
            .output()
            .expect("cannot run the program");
        out.status.success()
    };
    let reload = |text: &str, mode: u32| {
        // The mode is set first: the previous signal may cause the file to be read at any time, and a file
        // that others may read is rejected.
        fs::set_permissions(&keys, fs::Permissions::from_mode(mode)).expect("cannot write the test's file");
        fs::write(&keys, text).expect("cannot write the test's file");
        let kill = format!("kill -HUP {}", router.child.id());
        assert!(Command::new("/bin/sh").args(["-c", &kill]).status().expect("cannot run a shell").success());
    };
    assert!(decode(&mark));
    reload("nonsense", 0o600);
    reload(&format!("{new}{KEYS}"), 0o644);
    thread::sleep(Duration::from_millis(300));
    let former_mark =
        ask(&router, "save", "bob", None).mark.expect("no mark, although the former keys should stay");
    fs::set_permissions(&keys, fs::Permissions::from_mode(0o600)).expect("cannot write the test's file");
    fs::write(&keys, KEYS).expect("cannot write the test's file");
    assert!(decode(&former_mark));
    reload(&format!("{new}{KEYS}"), 0o600);
    wait_for("the new key", || {
        let next = ask(&router, "save", "cid", None).mark.expect("no mark in the answer");
        fs::write(&keys, new).expect("cannot write the test's file");
        let signed_by_new = decode(&next);
        fs::write(&keys, format!("{new}{KEYS}")).expect("cannot write the test's file");
        signed_by_new
    });
    thread::sleep(Duration::from_millis(800));
    assert!(served_by_replicas(&router, "ann", Some(&mark)), "a token of the old key is still accepted");
    drop(router);
    fs::remove_dir_all(&fleet.dir).expect("cannot remove the test's folder");
}

#[test]
fn errors_in_the_local_config_have_line_and_column() {
    let dir = std::env::temp_dir().join(format!("sandstile-own-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("cannot write the test's files");
    let path = dir.join("own.hcl");
    let check = |text: &str| {
        fs::write(&path, text).expect("cannot write the test's files");
        let out = Command::new(env!("CARGO_BIN_EXE_sandstile"))
            .args(["check", "--config"])
            .arg(&path)
            .env_remove("LB_CONFIG")
            .output()
            .expect("cannot run the program");
        let text =
            format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
        (out.status.success(), text)
    };
    assert!(check("sessions {\n sessions_stay = true\n}\n").0);
    assert!(check("sessions {\n on = false\n}\n").1.contains("sessions off"));
    for (text, expected) in [
        ("sesions {}", "1:1: the file knows no sesions (did you mean sessions?)"),
        ("sessions {\n rememberd = 5\n}", "2:2: sessions knows no rememberd (did you mean remembered?)"),
        ("sessions {\n remembered = 5\n}", "2:15: remembered is 5 (wanted: 16 to 10000000)"),
        ("sessions {\n durability = \"maybe\"\n journal = \"x\"\n}", "2:15: durability"),
        ("sessions {\n durability = \"none\"\n}", "durability requires journal"),
        ("sessions {\n exchange {\n listen = \"here\"\n }\n}", "3:11: \"here\" is not an address"),
        ("sessions {\n state {\n }\n}", "2:2: state requires exchange"),
        ("sessions {\n state {\n witness = \"w\"\n }\n}", "witness requires dir"),
        ("sessions {\n journal = \"x\"\n state {\n }\n}", "one of them"),
        ("sessions {\n keys = \"/nowhere/keys\"\n}", "/nowhere/keys"),
        ("sessions {", "own.hcl:"),
    ] {
        let (ok, output) = check(text);
        assert!(!ok && output.contains(expected), "{text}: {output}");
    }
    let readable = dir.join("keys");
    fs::write(&readable, KEYS).expect("cannot write the test's files");
    fs::set_permissions(&readable, fs::Permissions::from_mode(0o640)).expect("cannot write the test's file");
    let (ok, output) = check(&format!("sessions {{\n keys = {:?}\n}}\n", readable.display().to_string()));
    assert!(!ok && output.contains("others may read it") && !output.contains("0011223344"), "{output}");
    fs::remove_dir_all(dir).expect("cannot remove the test's folder");
}

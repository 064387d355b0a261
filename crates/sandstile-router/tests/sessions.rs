//! Own reads over restarts and routers: this program before emulated hosts that check nothing themselves.
#[allow(dead_code)]
mod stand_ins;

use crossbeam_channel::{unbounded, Receiver};
use sandstile_emulator::{protocol, Clock, Emulator, Handle, Record};
use sandstile_lab::processes;
use sandstile_pgwire as pg;
use sandstile_replicated_state::fact::Said;
use sandstile_replicated_state::{wire, Fact, Key, Kind, Message, Value};
use sandstile_scenario::Script;
use stand_ins::{wait_for, TEST_TIMEOUT};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering::SeqCst};
use std::thread;
use std::time::Duration;

/// A long way to the replicas: whoever reads there right after a write misses it.
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
static NEXT: AtomicU8 = AtomicU8::new(0);
static IDS: AtomicUsize = AtomicUsize::new(1);

struct Stage {
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
        assert!(Command::new("/bin/sh").args(["-c", &kill]).status().expect("a shell").success());
        let status = self.child.wait().expect("an end");
        assert!(signal == "KILL" || status.success(), "{status}");
    }
}

impl Stage {
    fn new() -> Stage {
        let script = Script::read("sessions.hcl", FLEET).unwrap_or_else(|p| panic!("{p:?}"));
        let (trace, records) = unbounded();
        let n = NEXT.fetch_add(1, SeqCst);
        let net = (60 + (std::process::id() % 40) as u8, 1 + 2 * n);
        let emulator = Emulator::new(&script, net, Clock::anchor(), trace, unbounded().0).expect("addresses");
        let dir = std::env::temp_dir().join(format!("sandstile-sessions-{}-{n}", std::process::id()));
        fs::create_dir_all(&dir).expect("a place for files");
        let keys = dir.join("keys");
        fs::write(&keys, KEYS).expect("a place for files");
        fs::set_permissions(&keys, fs::Permissions::from_mode(0o600)).expect("our own file");
        Stage { script, emulator: emulator.spawn().expect("a thread"), _records: records, dir, net }
    }

    fn exchange(&self, n: usize) -> String {
        format!("127.{}.{}.{}:7432", self.net.0, self.net.1 + 120, n + 1)
    }

    /// A router with this in its own file, or none.
    fn router(&self, n: usize, own: Option<&str>) -> Router {
        let address = SocketAddr::from(([127, self.net.0, self.net.1 + 100, n as u8 + 1], 6432));
        let known = self.emulator.known(0);
        let config = processes::config(&self.script, n, address, self.emulator.agents[n], &known);
        let file = self.dir.join(format!("config-{n}.json"));
        fs::write(&file, config.to_string()).expect("a place for files");
        let mut command = Command::new(env!("CARGO_BIN_EXE_sandstile"));
        command.arg("serve").env("LB_CONFIG", file).stderr(Stdio::null());
        if let Some(own) = own {
            let path = self.dir.join(format!("own-{n}.hcl"));
            fs::write(&path, format!("sessions {{\n{own}\n}}\n")).expect("a place for files");
            command.arg("--config").arg(path);
        }
        let router = Router { child: command.spawn().expect("the program"), address };
        wait_for("a router", || TcpStream::connect(address).is_ok());
        router
    }

    fn keys(&self) -> String {
        format!("keys = {:?}", self.dir.join("keys").display().to_string())
    }

    fn journal(&self) -> String {
        format!("journal = {:?}", self.dir.join("marks").display().to_string())
    }
}

/// What came back: the host's name and the position it told, and the mark to carry.
struct Got {
    host: String,
    position: f64,
    mark: Option<String>,
}

fn ask(router: &Router, class: &str, session: &str, mark: Option<&str>) -> Got {
    let id = IDS.fetch_add(1, SeqCst);
    let mark = mark.map(|m| format!(",mark={m}")).unwrap_or_default();
    let text = format!(
        "/* id=s{id:08},c={class},d=1900,cluster=1{mark} */ SELECT clip FROM clips WHERE viewer = '{session}'"
    );
    let mut stream = TcpStream::connect(router.address).expect("a router");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a limit");
    let mut bytes = pg::hello();
    pg::query(&mut bytes, text.as_bytes());
    stream.write_all(&bytes).expect("a router that reads");
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
                    if answer.take(tag, body).expect("an answer") {
                        let (_, host, position) = protocol::made_for(answer.text().as_bytes())
                            .unwrap_or_else(|| panic!("{:?}", answer.stage));
                        return Got { host: host.to_string(), position, mark: token };
                    }
                }
            }
            at += end;
        }
        buf.drain(..at);
        let mut piece = [0; 4096];
        let n = stream.read(&mut piece).expect("an answer");
        assert!(n > 0, "closed");
        buf.extend_from_slice(&piece[..n]);
    }
}

/// A few of them, for routers begin their rotations anywhere.
fn hosts(router: &Router, session: &str, mark: Option<&str>) -> Vec<String> {
    (0..4).map(|_| ask(router, "own", session, mark).host).collect()
}

const PRIMARY: &str = "s-1-a";

fn all_by_primary(hosts: &[String]) -> bool {
    hosts.iter().all(|h| h == PRIMARY)
}

/// Until replicas are known to be far enough, by probes and answers.
fn served_by_replicas(router: &Router, session: &str, mark: Option<&str>) -> bool {
    (0..100).any(|_| {
        thread::sleep(Duration::from_millis(20));
        ask(router, "own", session, mark).host != PRIMARY
    })
}

#[test]
fn a_token_is_believed_by_every_router_and_nothing_else_is() {
    let stage = Stage::new();
    let routers = [stage.router(0, Some(&stage.keys())), stage.router(1, Some(&stage.keys()))];
    let wrote = ask(&routers[0], "save", "ann", None);
    let mark = wrote.mark.expect("a mark to carry");
    assert!(all_by_primary(&hosts(&routers[1], "ann", Some(&mark))));
    // Once replicas have come so far they serve her, and no sooner.
    for _ in 0..100 {
        let got = ask(&routers[1], "own", "ann", Some(&mark));
        assert!(got.host == PRIMARY || got.position >= wrote.position);
        thread::sleep(Duration::from_millis(15));
    }
    assert!(served_by_replicas(&routers[1], "ann", Some(&mark)));
    // While clients learn to carry them, those without one go where they went before; those with one do not.
    let lax = format!("{}\nwithout_mark = \"as-before\"", stage.keys());
    let learning = stage.router(2, Some(&lax));
    assert!(!all_by_primary(&hosts(&learning, "one without", None)));
    let later = ask(&learning, "save", "dan", None).mark.expect("a mark to carry");
    assert!(all_by_primary(&hosts(&learning, "dan", Some(&later))));
    // Another's, a changed one, none: the primary, and never an error.
    let mut changed = mark.clone();
    let other = if changed.pop() == Some('A') { 'B' } else { 'A' };
    changed.push(other);
    for bad in [Some(changed.as_str()), Some("nonsense"), Some(""), None] {
        assert!(all_by_primary(&hosts(&routers[1], "ann", bad)), "{bad:?}");
    }
    assert!(all_by_primary(&hosts(&routers[1], "bob", Some(&mark))));
    // The primary's answer is as good a proof: with it, bob is served by replicas too.
    let first = ask(&routers[1], "own", "bob", None).mark.expect("a mark to carry");
    assert!(served_by_replicas(&routers[0], "bob", Some(&first)));
    fs::remove_dir_all(&stage.dir).expect("our own folder");
}

/// A restart of any kind between a write and the read behind it; without our own file the read goes astray.
#[test]
fn a_journal_keeps_own_writes_over_restarts() {
    let stage = Stage::new();
    let own = format!("{}\ndurability = \"before-answer\"\nsessions_stay = true", stage.journal());
    let mut router = stage.router(0, Some(&own));
    for signal in ["TERM", "KILL", "TERM", "KILL"] {
        ask(&router, "save", "ann", None);
        router.end(signal);
        router = stage.router(0, Some(&own));
        assert!(all_by_primary(&hosts(&router, "ann", None)), "{signal}");
    }
    thread::sleep(Duration::from_millis(800));
    assert!(
        served_by_replicas(&router, "ann", None),
        "the journal was found whole: she is known, not unknown"
    );
    router.end("TERM");
    let marks = stage.dir.join("marks");
    let inspect = |path: &Path| {
        let out = Command::new(env!("CARGO_BIN_EXE_sandstile"))
            .args(["sessions", "inspect"])
            .arg(path)
            .output()
            .expect("the program");
        String::from_utf8_lossy(&out.stdout).into_owned()
    };
    assert!(inspect(&marks).contains("whole: true, ended in order: true"), "{}", inspect(&marks));
    // One bit of it is wrong: what it does not say is unknown, and all own reads go to the primary.
    let mut bytes = fs::read(&marks).expect("a journal");
    let last = bytes.len() - 30;
    bytes[last] ^= 4;
    fs::write(&marks, bytes).expect("our own file");
    let router = stage.router(0, Some(&own));
    assert!(all_by_primary(&hosts(&router, "zoe", None)));
    router.end("TERM");
    // The same without: a router that has just begun knows nothing, and shows old lists.
    let router = stage.router(0, None);
    ask(&router, "save", "eve", None);
    router.end("KILL");
    let router = stage.router(0, None);
    assert!(!all_by_primary(&hosts(&router, "eve", None)), "or this test proves nothing");
    drop(router);
    fs::remove_dir_all(&stage.dir).expect("our own folder");
}

/// What a router that ends in order has told its peers comes back to it; after a death it does not count as all.
#[test]
fn peers_hand_a_routers_sessions_back_to_it() {
    let stage = Stage::new();
    let own = |n: usize, other: usize| {
        let (listen, peer) = (stage.exchange(n), stage.exchange(other));
        format!(
            "{}\nsessions_stay = true\nreplicas_lag_at_most_s = 60\nexchange {{\n listen = \"{listen}\"\n peers = [\"{peer}\"]\n}}",
            stage.keys()
        )
    };
    let _keeper = stage.router(1, Some(&own(1, 0)));
    let router = stage.router(0, Some(&own(0, 1)));
    thread::sleep(Duration::from_millis(700));
    ask(&router, "save", "ann", None);
    router.end("TERM");
    let router = stage.router(0, Some(&own(0, 1)));
    assert!(all_by_primary(&hosts(&router, "ann", None)));
    // Known by what was handed back, so replicas serve her once they have it; unknown would mean a minute of primary.
    assert!(served_by_replicas(&router, "ann", None));
    assert!(served_by_replicas(&router, "one who never wrote", None));
    ask(&router, "save", "ann", None);
    router.end("KILL");
    let router = stage.router(0, Some(&own(0, 1)));
    thread::sleep(Duration::from_millis(1000));
    assert!(all_by_primary(&hosts(&router, "ann", None)));
    drop(router);
    fs::remove_dir_all(&stage.dir).expect("our own folder");
}

/// One that keeps state and one that knows nothing of that, side by side: each tells the other what the first version tells.
#[test]
fn one_that_keeps_state_and_one_that_does_not_understand_each_other() {
    let stage = Stage::new();
    let own = |n: usize, other: usize, state: &str| {
        let (listen, peer) = (stage.exchange(n), stage.exchange(other));
        format!(
            "{}\nsessions_stay = true\nreplicas_lag_at_most_s = 60\nexchange {{\n listen = \"{listen}\"\n peers = [\"{peer}\"]\n}}\n{state}",
            stage.keys()
        )
    };
    for (keeps, other) in [("state {\n}", ""), ("", "state {\n}"), ("state {\n}", "state {\n}")] {
        let _keeper = stage.router(1, Some(&own(1, 0, other)));
        let router = stage.router(0, Some(&own(0, 1, keeps)));
        thread::sleep(Duration::from_millis(700));
        ask(&router, "save", "ann", None);
        router.end("TERM");
        let router = stage.router(0, Some(&own(0, 1, keeps)));
        assert!(all_by_primary(&hosts(&router, "ann", None)), "{keeps} beside {other}");
        assert!(served_by_replicas(&router, "one who never wrote", None), "{keeps} beside {other}");
    }
    fs::remove_dir_all(&stage.dir).expect("our own folder");
}

/// The state in a folder, asked over a socket, compared with a file; a second process there is told so in a line and does not start.
#[test]
fn kept_state_is_shown_and_compared_and_has_one_keeper() {
    let stage = Stage::new();
    let (dir, socket) = (stage.dir.join("state"), stage.dir.join("state.sock"));
    let own = |n: usize| {
        format!(
            "{}\nsessions_stay = true\nexchange {{\n listen = \"{}\"\n}}\nstate {{\n dir = {:?}\n witness = {:?}\n control = {:?}\n}}",
            stage.keys(),
            stage.exchange(n),
            dir.display().to_string(),
            stage.dir.join("witness").display().to_string(),
            socket.display().to_string()
        )
    };
    let state = |words: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_sandstile"))
            .arg("state")
            .args(words)
            .output()
            .expect("the program");
        let text =
            format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
        (out.status.success(), text)
    };
    let (file, socket) = (dir.join("state").display().to_string(), socket.display().to_string());
    let router = stage.router(0, Some(&own(0)));
    ask(&router, "save", "ann", None);
    ask(&router, "save", "bob", None);
    let same = || state(&["compare", &socket, &file]).0;
    wait_for("all of it on the disk", same);
    let before = dir.join("copy");
    fs::copy(&file, &before).expect("room");
    ask(&router, "save", "cid", None);
    wait_for("more of it on the disk", || !state(&["compare", &before.display().to_string(), &file]).0);
    let (_, told) = state(&["compare", &before.display().to_string(), &socket]);
    assert!(told.contains("only the second has it") && told.contains("mark "), "{told}");
    let (well, told) = state(&["show", &socket]);
    assert!(well && told.contains("\"mark\":3") && told.contains("\"disk\":true"), "{told}");
    let config = stage.dir.join("own-second.hcl");
    fs::write(&config, format!("sessions {{\n{}\n}}\n", own(1))).expect("room");
    let second = Command::new(env!("CARGO_BIN_EXE_sandstile"))
        .args(["serve", "--config"])
        .arg(&config)
        .env("LB_CONFIG", stage.dir.join("config-0.json"))
        .env("LB_LISTEN", format!("127.{}.{}.99:6432", stage.net.0, stage.net.1 + 100))
        .output()
        .expect("the program");
    let told = String::from_utf8_lossy(&second.stderr).into_owned();
    assert!(!second.status.success() && told.contains("another process keeps its state there"), "{told}");
    router.end("TERM");
    let (well, told) = state(&["show", &file]);
    assert!(well && told.contains("ended in order: true"), "{told}");
    // Its next life finds all of it: whoever is not there has not written.
    let router = stage.router(0, Some(&own(0)));
    assert!(!all_by_primary(&hosts(&router, "one who never wrote", None)));
    router.end("KILL");
    // Killed, and the file of an orderly end put back: the witness knows better.
    fs::copy(&before, &file).expect("room");
    let router = stage.router(0, Some(&own(0)));
    assert!(all_by_primary(&hosts(&router, "one who never wrote", None)));
    drop(router);
    fs::remove_dir_all(&stage.dir).expect("our own folder");
}

/// One with the key says again and again that every host refuses, and that it has just looked and nobody leads: reads and writes are served
/// all the same, by replicas as well once it has been belied.
#[test]
fn a_liar_with_the_key_costs_a_moment() {
    let stage = Stage::new();
    let own = format!(
        "{}\nsessions_stay = true\nexchange {{\n listen = \"{}\"\n}}\nstate {{\n learn_together = true\n}}",
        stage.keys(),
        stage.exchange(0)
    );
    let router = stage.router(0, Some(&own));
    assert!(
        served_by_replicas(&router, "one who never wrote", None)
            || all_by_primary(&hosts(&router, "x", None))
    );
    let secrets = sandstile_router::keys::read_keys(&stage.dir.join("keys"))
        .expect("keys")
        .derived(sandstile_router::exchange::CONTEXT);
    let mut lies = TcpStream::connect(stage.exchange(0)).expect("an exchange");
    let (mut greeting, mut bytes) = (Vec::new(), [0; 128]);
    let nonce = loop {
        let n = lies.read(&mut bytes).expect("a greeting");
        greeting.extend_from_slice(&bytes[..n]);
        if let Some((nonce, ..)) = sandstile_exchange::read_greeting(&greeting).expect("a greeting") {
            break nonce;
        }
    };
    let mut teller = sandstile_exchange::Teller::new(&secrets[0], &nonce);
    lies.write_all(&teller.who("liar#7~2")).expect("a listener");
    let over = std::sync::Arc::new(AtomicUsize::new(0));
    let ends = over.clone();
    let liar = thread::spawn(move || {
        let (clock, mut number) = (Clock::anchor(), 0);
        while ends.load(SeqCst) == 0 {
            let now = clock.now();
            let mut facts = Vec::new();
            for host in ["s-1-a", "s-1-b", "s-1-c"] {
                for (kind, careful, body) in [(Kind::Refuses, 1, ""), (Kind::Probed, 0, "answers")] {
                    number += 1;
                    let said = Said { life: 7, number, careful, body: body.into() };
                    facts
                        .push((Key::owned(kind, host, "liar"), Fact { value: Value::Said(said), born: now }));
                }
            }
            let message = wire::write(&Message::Facts(facts), now);
            if lies.write_all(&teller.state(&message)).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
    });
    let begin = std::time::Instant::now();
    let mut by_replicas = 0;
    for n in 0..60 {
        let asked = std::time::Instant::now();
        if n % 6 == 0 {
            ask(&router, "save", "ann", None);
        }
        by_replicas += usize::from(ask(&router, "own", &format!("r{n}"), None).host != PRIMARY);
        assert!(asked.elapsed() < Duration::from_secs(1), "each in its time");
        thread::sleep(Duration::from_millis(50));
    }
    assert!(begin.elapsed() < Duration::from_secs(20));
    assert!(by_replicas > 10, "{by_replicas}: what is seen here counts");
    over.store(1, SeqCst);
    liar.join().expect("a liar");
    drop(router);
    fs::remove_dir_all(&stage.dir).expect("our own folder");
}

/// Keys rotate under SIGHUP without a token lost; a bad file keeps the former ones.
#[test]
fn keys_are_read_again_on_sighup() {
    let stage = Stage::new();
    let router = stage.router(0, Some(&stage.keys()));
    let mark = ask(&router, "save", "ann", None).mark.expect("a mark");
    let keys = stage.dir.join("keys");
    let new = "2 ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100\n";
    let decode = |text: &str| {
        let out = Command::new(env!("CARGO_BIN_EXE_sandstile"))
            .args(["token", "decode", text, "--keys"])
            .arg(&keys)
            .output()
            .expect("the program");
        out.status.success()
    };
    let reload = |text: &str, mode: u32| {
        // The mode first: the signal before this one may have it read at any time, and what others may read is no key.
        fs::set_permissions(&keys, fs::Permissions::from_mode(mode)).expect("our own file");
        fs::write(&keys, text).expect("our own file");
        let kill = format!("kill -HUP {}", router.child.id());
        assert!(Command::new("/bin/sh").args(["-c", &kill]).status().expect("a shell").success());
    };
    assert!(decode(&mark));
    reload("nonsense", 0o600);
    reload(&format!("{new}{KEYS}"), 0o644);
    thread::sleep(Duration::from_millis(300));
    let same = ask(&router, "save", "bob", None).mark.expect("the former keys stay");
    fs::set_permissions(&keys, fs::Permissions::from_mode(0o600)).expect("our own file");
    fs::write(&keys, KEYS).expect("our own file");
    assert!(decode(&same));
    reload(&format!("{new}{KEYS}"), 0o600);
    wait_for("the new key", || {
        let next = ask(&router, "save", "cid", None).mark.expect("a mark");
        fs::write(&keys, new).expect("our own file");
        let signed_by_new = decode(&next);
        fs::write(&keys, format!("{new}{KEYS}")).expect("our own file");
        signed_by_new
    });
    thread::sleep(Duration::from_millis(800));
    assert!(served_by_replicas(&router, "ann", Some(&mark)), "what the old key signed is believed");
    drop(router);
    fs::remove_dir_all(&stage.dir).expect("our own folder");
}

#[test]
fn our_own_file_is_checked_with_line_and_column() {
    let dir = std::env::temp_dir().join(format!("sandstile-own-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a place for files");
    let path = dir.join("own.hcl");
    let check = |text: &str| {
        fs::write(&path, text).expect("a place for files");
        let out = Command::new(env!("CARGO_BIN_EXE_sandstile"))
            .args(["check", "--config"])
            .arg(&path)
            .env_remove("LB_CONFIG")
            .output()
            .expect("the program");
        let text =
            format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
        (out.status.success(), text)
    };
    assert!(check("sessions {\n sessions_stay = true\n}\n").0);
    assert!(check("sessions {\n on = false\n}\n").1.contains("sessions off"));
    for (text, says) in [
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
        let (ok, told) = check(text);
        assert!(!ok && told.contains(says), "{text}: {told}");
    }
    let readable = dir.join("keys");
    fs::write(&readable, KEYS).expect("a place for files");
    fs::set_permissions(&readable, fs::Permissions::from_mode(0o640)).expect("our own file");
    let (ok, told) = check(&format!("sessions {{\n keys = {:?}\n}}\n", readable.display().to_string()));
    assert!(!ok && told.contains("others may read it") && !told.contains("0011223344"), "{told}");
    fs::remove_dir_all(dir).expect("our own folder");
}

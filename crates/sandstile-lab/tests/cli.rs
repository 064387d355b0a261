//! The program as operators start it.
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::{env, fs};

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sandstile-lab")).args(arguments).output().expect("the program")
}

fn both(out: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr))
}

fn rehearsals() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../rehearsals")
}

fn folder(name: &str) -> PathBuf {
    let dir = env::temp_dir().join(format!("sandstile-lab-{}-{name}", std::process::id()));
    fs::create_dir_all(&dir).expect("a place for files");
    dir
}

#[test]
fn all_scripts_of_the_repository_are_good() {
    let out = lab(&["list", rehearsals().to_str().expect("a path")]);
    assert!(out.status.success(), "{}", both(&out));
    let text = both(&out);
    for name in
        ["calm", "derby-night", "drain-pause", "primary-lost-in-write", "rolling-release", "cold-return"]
    {
        assert!(text.contains(&format!("{name}.hcl: \"")), "{name}: {text}");
    }
}

#[test]
fn a_typo_is_told_with_its_line_and_nothing_is_started() {
    let dir = folder("typo");
    let good = fs::read_to_string(rehearsals().join("derby-night.hcl")).expect("a script");
    let line = good[..good.find("queue").expect("a queue")].matches('\n').count() + 1;
    let file = dir.join("typo.hcl");
    fs::write(&file, good.replacen("queue", "quue", 1)).expect("a place for files");
    for arguments in [vec!["check"], vec!["emulate"], vec!["rehearse"]] {
        let out = lab(&[arguments, vec![file.to_str().expect("a path")]].concat());
        assert!(!out.status.success());
        let text = both(&out);
        assert!(
            text.contains(&format!("typo.hcl:{line}:")) && text.contains("did you mean queue?"),
            "{text}"
        );
    }
    fs::remove_dir_all(dir).expect("our own folder");
}

const TRACE: &str = r#"{"t":100.0,"what":"run","title":"t","seed":1,"settle":0.0,"grace":1.0,"slack":0.05,"routers":1,"workloads":[{"name":"save","effect":"non-idempotent","consistency":"write","slo":0.2,"timeout":0.8,"importance":2.0}]}
{"t":100.1,"what":"asked","id":"w1","first":"w1","workload":"save","group":"1","session":"ann","router":0,"wait":0.8}
{"t":100.101,"what":"taken","host":"s-1-a","id":"w1","workload":"save"}
{"t":100.11,"what":"ran","host":"s-1-a","id":"w1","workload":"save","session":"ann","commit":100.11,"reached":100.11,"need":0.0}
{"t":100.12,"what":"answered","id":"w1","how":"completed","made_for":"w1","by":"s-1-a","position":100.11}
"#;
const SECOND: &str = r#"{"t":100.115,"what":"taken","host":"s-1-b","id":"w1","workload":"save"}
{"t":100.118,"what":"ran","host":"s-1-b","id":"w1","workload":"save","session":"ann","commit":100.12,"reached":100.12,"need":0.0}
"#;
const END: &str = "{\"t\":101.0,\"what\":\"end\",\"unsound\":null}\n";

#[test]
fn an_audit_ends_by_what_it_finds() {
    let dir = folder("audit");
    let path = dir.to_str().expect("a path");
    let audit = |text: String| {
        fs::write(dir.join("trace.jsonl"), text).expect("a place for files");
        let out = lab(&["audit", path]);
        (out.status.code(), both(&out))
    };
    let (code, text) = audit(format!("{TRACE}{END}"));
    assert_eq!(code, Some(0), "{text}");
    let (code, text) = audit(format!("{TRACE}{SECOND}{END}"));
    assert_eq!(code, Some(1), "{text}");
    // The whole story of the statement stands there.
    assert!(text.contains("w1: ran 2 times") && text.matches("\"id\":\"w1\"").count() == 6, "{text}");
    let (code, text) = audit(TRACE.to_string());
    assert!(code == Some(2) && text.contains("cut off"), "{text}");
    fs::remove_dir_all(&dir).expect("our own folder");
    assert_eq!(lab(&["audit", path]).status.code(), Some(2));
}

#[test]
fn a_rehearsal_without_a_router_says_so() {
    let file = rehearsals().join("calm.hcl");
    let out = lab(&["rehearse", file.to_str().expect("a path"), "--router", "/nowhere/sandstile"]);
    assert_eq!(out.status.code(), Some(2));
    assert!(both(&out).contains("no router there"), "{}", both(&out));
}

#[test]
fn the_emulator_alone_prints_what_a_router_needs_and_ends_on_a_signal() {
    let file = rehearsals().join("calm.hcl");
    let mut child = Command::new(env!("CARGO_BIN_EXE_sandstile-lab"))
        .args(["--log", "json", "emulate", file.to_str().expect("a path")])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program");
    let mut out = BufReader::new(child.stdout.take().expect("a pipe"));
    let mut text = String::new();
    while serde_json::from_str::<serde_json::Value>(&text).is_err() {
        assert!(out.read_line(&mut text).expect("text") > 0, "{text}");
    }
    let config: serde_json::Value = serde_json::from_str(&text).expect("json");
    assert_eq!(config["known"]["endpoints"].as_array().map(Vec::len), Some(6));
    let pid = nix::unistd::Pid::from_raw(child.id() as i32);
    let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
    let mut first = String::new();
    log.read_line(&mut first).expect("a line of log");
    assert!(serde_json::from_str::<serde_json::Value>(&first).is_ok(), "{first}");
    // Its signals are taken in once it says so.
    nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGTERM).expect("a signal");
    let mut rest = String::new();
    log.read_to_string(&mut rest).expect("text");
    child.wait().expect("an end");
    assert!(rest.contains("timers late"), "{rest}");
}

/// A trace becomes a recording; it is cut, scaled and merged, and a cut-off file is told.
#[test]
fn recordings_are_made_from_a_trace_and_worked_on() {
    let dir = folder("recording");
    fs::write(dir.join("trace.jsonl"), format!("{TRACE}{END}")).expect("a place for files");
    let path = |name: &str| dir.join(name).to_str().expect("a path").to_string();
    let good = |arguments: &[&str], says: &str| {
        let out = lab(arguments);
        assert!(out.status.success() && both(&out).contains(says), "{arguments:?}: {}", both(&out));
    };
    good(&["recording", "from-trace", dir.to_str().expect("a path"), &path("a.rec")], "1 arrivals");
    good(&["recording", "scale", &path("a.rec"), &path("b.rec"), "--copies", "5"], "5 arrivals");
    good(&["recording", "merge", &path("a.rec"), &path("b.rec"), &path("c.rec")], "6 arrivals");
    good(&["recording", "inspect", &path("c.rec")], "workload save: 6");
    good(&["recording", "cut", &path("c.rec"), &path("d.rec"), "1.0", "3.0"], "2 arrivals");
    let bytes = fs::read(path("c.rec")).expect("a recording");
    fs::write(path("e.rec"), &bytes[..bytes.len() - 3]).expect("a place for files");
    let out = lab(&["recording", "inspect", &path("e.rec")]);
    assert!(out.status.code() == Some(2) && both(&out).contains("cut off"), "{}", both(&out));
    fs::remove_dir_all(dir).expect("our own folder");
}

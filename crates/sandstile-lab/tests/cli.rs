//! The program as operators run it.
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::{env, fs};

fn run_lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sandstile-lab"))
        .args(arguments)
        .output()
        .expect("cannot run the program")
}

fn combined_output(out: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr))
}

fn rehearsals_dir() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../rehearsals")
}

fn test_dir(name: &str) -> PathBuf {
    let dir = env::temp_dir().join(format!("sandstile-lab-{}-{name}", std::process::id()));
    fs::create_dir_all(&dir).expect("cannot write the test's files");
    dir
}

#[test]
fn all_rehearsal_scripts_are_valid() {
    let out = run_lab(&["list", rehearsals_dir().to_str().expect("path is not UTF-8")]);
    assert!(out.status.success(), "{}", combined_output(&out));
    let text = combined_output(&out);
    for name in
        ["calm", "derby-night", "drain-pause", "primary-lost-in-write", "rolling-release", "cold-return"]
    {
        assert!(text.contains(&format!("{name}.hcl: \"")), "{name}: {text}");
    }
}

#[test]
fn a_typo_is_reported_with_its_line_and_nothing_is_started() {
    let dir = test_dir("typo");
    let valid_script =
        fs::read_to_string(rehearsals_dir().join("derby-night.hcl")).expect("cannot read the script");
    let line =
        valid_script[..valid_script.find("queue").expect("the script has no queue")].matches('\n').count()
            + 1;
    let file = dir.join("typo.hcl");
    fs::write(&file, valid_script.replacen("queue", "quue", 1)).expect("cannot write the test's files");
    for arguments in [vec!["check"], vec!["emulate"], vec!["rehearse"]] {
        let out = run_lab(&[arguments, vec![file.to_str().expect("path is not UTF-8")]].concat());
        assert!(!out.status.success());
        let text = combined_output(&out);
        assert!(
            text.contains(&format!("typo.hcl:{line}:")) && text.contains("did you mean queue?"),
            "{text}"
        );
    }
    fs::remove_dir_all(dir).expect("cannot remove the test's folder");
}

const TRACE: &str = r#"{"t":100.0,"what":"run","title":"t","seed":1,"settle":0.0,"grace":1.0,"slack":0.05,"routers":1,"workloads":[{"name":"save","effect":"non-idempotent","consistency":"write","slo":0.2,"timeout":0.8,"importance":2.0}]}
{"t":100.1,"what":"asked","id":"w1","first":"w1","workload":"save","group":"1","session":"ann","router":0,"wait":0.8}
{"t":100.101,"what":"taken","host":"s-1-a","id":"w1","workload":"save"}
{"t":100.11,"what":"ran","host":"s-1-a","id":"w1","workload":"save","session":"ann","commit":100.11,"reached":100.11,"need":0.0}
{"t":100.12,"what":"answered","id":"w1","how":"completed","made_for":"w1","by":"s-1-a","position":100.11}
"#;
const SECOND_EXECUTION: &str = r#"{"t":100.115,"what":"taken","host":"s-1-b","id":"w1","workload":"save"}
{"t":100.118,"what":"ran","host":"s-1-b","id":"w1","workload":"save","session":"ann","commit":100.12,"reached":100.12,"need":0.0}
"#;
const END_LINE: &str = "{\"t\":101.0,\"what\":\"end\",\"unsound\":null}\n";

#[test]
fn the_exit_code_of_an_audit_follows_its_findings() {
    let dir = test_dir("audit");
    let path = dir.to_str().expect("path is not UTF-8");
    let audit = |text: String| {
        fs::write(dir.join("trace.jsonl"), text).expect("cannot write the test's files");
        let out = run_lab(&["audit", path]);
        (out.status.code(), combined_output(&out))
    };
    let (code, text) = audit(format!("{TRACE}{END_LINE}"));
    assert_eq!(code, Some(0), "{text}");
    let (code, text) = audit(format!("{TRACE}{SECOND_EXECUTION}{END_LINE}"));
    assert_eq!(code, Some(1), "{text}");
    // The finding lists all trace lines of the statement.
    assert!(text.contains("w1: ran 2 times") && text.matches("\"id\":\"w1\"").count() == 6, "{text}");
    let (code, text) = audit(TRACE.to_string());
    assert!(code == Some(2) && text.contains("cut off"), "{text}");
    fs::remove_dir_all(&dir).expect("cannot remove the test's folder");
    assert_eq!(run_lab(&["audit", path]).status.code(), Some(2));
}

#[test]
fn a_rehearsal_without_a_router_program_fails_with_a_message() {
    let file = rehearsals_dir().join("calm.hcl");
    let out =
        run_lab(&["rehearse", file.to_str().expect("path is not UTF-8"), "--router", "/nowhere/sandstile"]);
    assert_eq!(out.status.code(), Some(2));
    assert!(combined_output(&out).contains("no router there"), "{}", combined_output(&out));
}

#[test]
fn emulate_prints_a_router_configuration_and_ends_on_a_signal() {
    let file = rehearsals_dir().join("calm.hcl");
    let mut child = Command::new(env!("CARGO_BIN_EXE_sandstile-lab"))
        .args(["--log", "json", "emulate", file.to_str().expect("path is not UTF-8")])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("cannot run the program");
    let mut out = BufReader::new(child.stdout.take().expect("no pipe"));
    let mut text = String::new();
    while serde_json::from_str::<serde_json::Value>(&text).is_err() {
        assert!(out.read_line(&mut text).expect("output is not UTF-8") > 0, "{text}");
    }
    let config: serde_json::Value = serde_json::from_str(&text).expect("cannot parse the output as json");
    assert_eq!(config["known"]["endpoints"].as_array().map(Vec::len), Some(6));
    let pid = nix::unistd::Pid::from_raw(child.id() as i32);
    let mut log = BufReader::new(child.stderr.take().expect("no pipe"));
    let mut first = String::new();
    log.read_line(&mut first).expect("no log line");
    assert!(serde_json::from_str::<serde_json::Value>(&first).is_ok(), "{first}");
    // It handles signals once it has logged that it is up.
    nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGTERM).expect("cannot send the signal");
    let mut rest = String::new();
    log.read_to_string(&mut rest).expect("output is not UTF-8");
    child.wait().expect("cannot wait for the program");
    assert!(rest.contains("timers late"), "{rest}");
}

/// A recording is made from a trace, scaled, merged and cut; a truncated file is reported.
#[test]
fn recordings_are_made_from_a_trace_and_edited() {
    let dir = test_dir("recording");
    fs::write(dir.join("trace.jsonl"), format!("{TRACE}{END_LINE}")).expect("cannot write the test's files");
    let path = |name: &str| dir.join(name).to_str().expect("path is not UTF-8").to_string();
    let assert_output = |arguments: &[&str], expected: &str| {
        let out = run_lab(arguments);
        assert!(
            out.status.success() && combined_output(&out).contains(expected),
            "{arguments:?}: {}",
            combined_output(&out)
        );
    };
    assert_output(
        &["recording", "from-trace", dir.to_str().expect("path is not UTF-8"), &path("a.rec")],
        "1 arrivals",
    );
    assert_output(&["recording", "scale", &path("a.rec"), &path("b.rec"), "--copies", "5"], "5 arrivals");
    assert_output(&["recording", "merge", &path("a.rec"), &path("b.rec"), &path("c.rec")], "6 arrivals");
    assert_output(&["recording", "inspect", &path("c.rec")], "workload save: 6");
    assert_output(&["recording", "cut", &path("c.rec"), &path("d.rec"), "1.0", "3.0"], "2 arrivals");
    let bytes = fs::read(path("c.rec")).expect("cannot read the recording");
    fs::write(path("e.rec"), &bytes[..bytes.len() - 3]).expect("cannot write the test's files");
    let out = run_lab(&["recording", "inspect", &path("e.rec")]);
    assert!(
        out.status.code() == Some(2) && combined_output(&out).contains("cut off"),
        "{}",
        combined_output(&out)
    );
    fs::remove_dir_all(dir).expect("cannot remove the test's folder");
}

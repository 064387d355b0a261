//! Several router processes with faults between them: short forms of the rehearsals of restarts.
use sandstile_audit::recovery::Recovery;
use sandstile_audit::{judge, recovery, Trace};
use sandstile_lab::rehearse::{rehearse, Options};
use sandstile_scenario::Script;
use std::path::{Path, PathBuf};

/// Four routers in front of one group whose hosts need CPU time to set up each connection; the cues
/// are appended.
const FLEET: &str = r#"
title = "Returns, in little"
seconds = 12
settle = 1
machine "std" {
  cores = [1, 1]
  setup_work_ms = SETUP
  warm_s = 2
  connections = 60
}
node "a" { machine = "std" }
node "b" { machine = "std" }
node "c" { machine = "std" }
group "1" {
  nodes = ["a", "b", "c"]
  detect_s = 0.6
  elect_s = 0.2
}
workload "look" {
  consistency = "any"
  work_ms = 4
  slo_ms = 400
  timeout_ms = 1000
}
workload "save" {
  consistency = "write"
  work_ms = 4
  slo_ms = 500
  timeout_ms = 1200
}
traffic "browse" {
  workload = "look"
  rate = 120
}
traffic "bookmark" {
  workload = "save"
  rate = 20
}
clients {
  retries = 2
  crowd = 10
}
routers {
  count = 4
  memory_mb = 64
  sockets = 512
  apart_ms = 100
  pace = "PACE"
}
"#;

struct Rehearsal {
    trace: Trace,
    back: Recovery,
    text: String,
    out: PathBuf,
}

impl Drop for Rehearsal {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.out);
    }
}

fn play(name: &str, setup: &str, pace: &str, cues: &str) -> Rehearsal {
    let text = FLEET.replace("SETUP", setup).replace("PACE", pace) + cues;
    let script = Script::read(name, &text).unwrap_or_else(|p| panic!("{p:?}"));
    let out = std::env::temp_dir().join(format!("sandstile-{name}-{}", std::process::id()));
    let router = Path::new(env!("CARGO_BIN_EXE_sandstile")).to_path_buf();
    let wanted = Options { script, quick: false, router, out: out.clone() };
    let summary = rehearse(wanted).expect("a rehearsal");
    let trace =
        Trace::read(&std::fs::read_to_string(out.join("trace.jsonl")).expect("a trace")).expect("lines");
    // On a machine that stalls for a while answers are seen late; no other finding is allowed.
    let found = judge(&trace).expect("a whole trace");
    let broken: Vec<_> = found
        .iter()
        .filter(|f| f.rule.is_violation() && !f.description.contains("after its time was over"))
        .collect();
    assert!(broken.is_empty(), "{broken:?}\n{}", summary.text);
    let back = recovery(&trace);
    Rehearsal { trace, back, text: summary.text, out }
}

/// All routers are killed at once and return with their clients: service recovers, and no host gets too many dials
/// at once.
#[test]
fn service_recovers_after_all_routers_restart_at_once() {
    let cues = r#"
restart "all" {
  share = 1
  kind = "kill"
  back = 0.4
  at = 4
}
"#;
    let rehearsal = play("all", "10", "answers", cues);
    let starts = rehearsal.trace.routers.iter().filter(|(_, _, s)| format!("{s:?}") == "Started").count();
    assert_eq!(starts, 8, "{}", rehearsal.text);
    let recovery_time = rehearsal.back.service_recovery_s().expect("a cue");
    assert!(recovery_time < 6.0, "{recovery_time}\n{}", rehearsal.text);
    let log = std::fs::read_to_string(rehearsal.out.join("router-0.log")).expect("its log");
    assert!(log.contains(" dials_held=") && !log.contains(" dials_held=0 "), "no dial waited: {log}");
    let dials = rehearsal.back.worst("dials").expect("dials").max;
    assert!(dials <= 16.0, "{dials} dials at a host in 100 ms\n{}", rehearsal.text);
}

/// Four simultaneous dials are one too many for the dial limit of a cold host: a plain restart keeps it busy with
/// work that nobody waits for, while the paced one adapts to what the host can accept.
#[test]
fn hosts_that_cannot_accept_a_crowd_in_time_are_still_reached() {
    let cues = r#"
fault "hosts" {
  kind = "crash"
  on = "group:1"
  at = 3
  for = 0.5
}
restart "all" {
  share = 1
  kind = "kill"
  back = 0.4
  when = "begins:hosts"
}
"#;
    let paced = play("paced", "80", "answers", cues);
    let completed_share = |p: &Rehearsal| {
        let begin = p.trace.settings.as_ref().expect("terms").begin;
        let asked_late =
            |s: &&sandstile_audit::trace::Statement| s.request.as_ref().is_some_and(|a| a.due > begin + 9.0);
        let all: Vec<_> = p.trace.statements.values().filter(asked_late).collect();
        let completed = all.iter().filter(|s| {
            s.answers.iter().any(|(_, a)| matches!(a, sandstile_audit::trace::FinalAnswer::Completed { .. }))
        });
        completed.count() as f64 / all.len().max(1) as f64
    };
    let share = completed_share(&paced);
    assert!(share > 0.8, "{share}\n{}", paced.text);
    let plain = play("plain", "80", "plainest", cues);
    assert!(completed_share(&plain) < 0.5, "the baseline no longer falls over: {}", completed_share(&plain));
}

/// A router is stopped for some seconds while its agent's connection is cut, and then continues with old
/// statements.
#[test]
fn a_router_that_was_stopped_makes_no_decision_on_stale_statements() {
    let cues = r#"
stop "still" {
  router = 2
  at = 3
  for = 3
}
link "agent" {
  from = "router:1"
  to = "agent:1"
  kind = "reset"
  when = "begins:still"
  for = 2
}
fault "primary" {
  kind = "drain"
  on = "primary:1"
  when = "begins:still"
  plus_ms = 500
  for = 4
}
"#;
    let rehearsal = play("still", "1", "answers", cues);
    assert!(rehearsal.trace.was_stopped(2, 0.0, f64::INFINITY) && !rehearsal.trace.link_faults.is_empty());
    assert!(
        rehearsal.back.stale_decisions.is_empty(),
        "{:?}\n{}",
        rehearsal.back.stale_decisions,
        rehearsal.text
    );
    let log = std::fs::read_to_string(rehearsal.out.join("router-2.log")).expect("its log");
    // At least once: a stall of the machine itself is detected too.
    assert!(log.contains("stood still for") && !log.contains(" stalls=0 "), "{log}");
    let agent = std::fs::read_to_string(rehearsal.out.join("router-1.log")).expect("its log");
    assert!(agent.contains("discovery:"), "its agent's link was cut: {agent}");
}

/// Errors in the `return` block of the local configuration file are reported with their position, and nothing
/// starts.
#[test]
fn a_wrong_pace_is_reported_with_its_position() {
    let file = std::env::temp_dir().join(format!("sandstile-pace-{}.hcl", std::process::id()));
    let check = |text: &str| {
        std::fs::write(&file, text).expect("a place for files");
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_sandstile"));
        let out = command
            .arg("check")
            .arg("--config")
            .arg(&file)
            .env_remove("LB_CONFIG")
            .output()
            .expect("it runs");
        let text = String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
        (out.status.success(), text)
    };
    let (ok, text) = check("return {\n  pace = \"answers\"\n}\n");
    assert!(ok && text.contains("return answers"), "{text}");
    let (ok, text) = check("return {\n  pace = \"answer\"\n  haste = 1\n}\n");
    assert!(!ok && text.contains(":2:") && text.contains("answers") && text.contains("haste"), "{text}");
    let (ok, text) = check("");
    assert!(ok && text.contains("return off"), "{text}");
    std::fs::remove_file(file).expect("the test's file");
}

const OUT: &str = "SANDSTILE_TEST_OUT";

/// Not a test of its own: a rehearsal in a process that the next test kills.
#[test]
#[ignore = "played by a_lab_that_is_killed_leaves_no_router_behind"]
fn plays_until_it_is_killed() {
    let Ok(out) = std::env::var(OUT) else { return };
    let still = "stop \"still\" {\n  router = 1\n  at = 0.1\n  for = 9\n}\n";
    let text = FLEET.replace("SETUP", "1").replace("PACE", "answers") + still;
    let script = Script::read("killed", &text).unwrap_or_else(|p| panic!("{p:?}"));
    let router = Path::new(env!("CARGO_BIN_EXE_sandstile")).to_path_buf();
    let _ = rehearse(Options { script, quick: false, router, out: out.into() });
}

/// A lab that is killed leaves no router process behind, not even a stopped one.
#[test]
fn a_lab_that_is_killed_leaves_no_router_behind() {
    let out = std::env::temp_dir().join(format!("sandstile-killed-{}", std::process::id()));
    let this = std::env::current_exe().expect("this program");
    let mut lab = std::process::Command::new(this)
        .args(["--ignored", "--exact", "plays_until_it_is_killed"])
        .env(OUT, &out)
        .stdout(std::process::Stdio::null())
        .stderr(std::process::Stdio::null())
        .spawn()
        .expect("a process");
    // Routers are identified by the path of their configuration, which lies in this directory only.
    let routers = || -> Vec<u32> {
        let folder = format!("LB_CONFIG={}/router-", out.display());
        let has_our_config = |pid: &u32| {
            let environ = std::fs::read(format!("/proc/{pid}/environ")).unwrap_or_default();
            String::from_utf8_lossy(&environ).contains(&folder)
        };
        let all = std::fs::read_dir("/proc").expect("processes").flatten();
        all.filter_map(|e| e.file_name().to_str()?.parse().ok()).filter(has_our_config).collect()
    };
    let stands_still = || {
        routers().iter().any(|pid| {
            let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
            stat.rsplit_once(')').is_some_and(|(_, rest)| rest.trim_start().starts_with('T'))
        })
    };
    let wait_for = |what: &str, holds: &dyn Fn() -> bool| {
        let until = std::time::Instant::now() + std::time::Duration::from_secs(20);
        while !holds() {
            assert!(std::time::Instant::now() < until, "{what}: {:?}", routers());
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    };
    wait_for("four routers, one of them stopped", &|| routers().len() == 4 && stands_still());
    lab.kill().expect("it runs");
    lab.wait().expect("its end");
    wait_for("no router is left", &|| routers().is_empty());
    std::fs::remove_dir_all(out).expect("the test's directory");
}

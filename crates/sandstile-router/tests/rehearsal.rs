//! A small rehearsal from end to end: this program, emulated hosts, clients, a trace, and the audit of the
//! trace.
use sandstile_audit::{judge, Trace};
use sandstile_lab::rehearse::{rehearse, Options};
use sandstile_scenario::Script;
use std::path::Path;

const SCRIPT: &str = r#"
title = "All faults at once, small"
seconds = 8
settle = 0
machine "std" { cores = [1, 1] }
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
  work_ms = 3
  slo_ms = 300
  timeout_ms = 1000
}
workload "own" {
  consistency = "session"
  work_ms = 3
  slo_ms = 300
  timeout_ms = 1000
}
workload "save" {
  consistency = "write"
  work_ms = 3
  slo_ms = 400
  timeout_ms = 1200
}
traffic "browse" {
  workload = "look"
  rate = 60
}
traffic "save" {
  workload = "save"
  rate = 20
  sessions = 30
  then = "own"
  think_ms = 20
  roams = 0.3
}
routers {
  count = 2
  memory_mb = 64
  sockets = 256
}
fault "lost" {
  kind = "crash"
  on = "primary:1"
  when = "ran:save:30"
  for = 1.5
}
fault "drained" {
  kind = "replace"
  on = "replica:1:0"
  at = 4
  for = 2
}
fault "paused" {
  kind = "pause"
  on = "host:s-1-c"
  when = "announced:drained"
  for = 0.3
}
restart "one" {
  router = 0
  kind = "kill"
  at = 3
  back = 0.5
}
restart "two" {
  router = 1
  kind = "term"
  at = 5
  back = 0.3
}
"#;

#[test]
fn a_small_rehearsal_breaks_no_rule_and_its_audit_finds_a_planted_violation() {
    let script = Script::read("little.hcl", SCRIPT).unwrap_or_else(|p| panic!("{p:?}"));
    let out = std::env::temp_dir().join(format!("sandstile-rehearsal-{}", std::process::id()));
    let router = Path::new(env!("CARGO_BIN_EXE_sandstile")).to_path_buf();
    let wanted = Options { script, quick: false, router, out: out.clone() };
    let summary = rehearse(wanted).expect("rehearsal failed");
    let text = std::fs::read_to_string(out.join("trace.jsonl")).expect("no trace file");
    let trace = Trace::read(&text).expect("malformed trace");
    // If the machine stalls, clients see answers late, so late answers are ignored; any other finding is an
    // error.
    let findings = judge(&trace).expect("incomplete trace");
    let violations: Vec<_> = findings
        .iter()
        .filter(|f| f.rule.is_violation() && !f.description.contains("after its time was over"))
        .collect();
    assert!(violations.is_empty(), "{violations:?}\n{}", summary.text);
    assert!(trace.statements.len() > 500, "{}", trace.statements.len());
    assert!(trace.primaries.len() > 1 && trace.routers.len() >= 8, "{}", summary.text);
    let answered = trace.statements.values().filter(|s| !s.answers.is_empty()).count();
    assert!(answered * 10 > trace.statements.len() * 8, "{}", summary.text);
    // The same trace with an additional execution of a write that ran.
    let ran = text
        .lines()
        .find(|l| l.contains("\"ran\"") && l.contains("\"save\""))
        .expect("no write in the trace ran");
    let planted = format!("{text}{ran}\n");
    let findings = judge(&Trace::read(&planted).expect("malformed trace")).expect("incomplete trace");
    assert!(
        findings.iter().any(|f| f.rule == sandstile_audit::Rule::Effect),
        "the planted execution is found"
    );
    for name in ["summary.json", "summary.md", "router-0.log"] {
        assert!(out.join(name).is_file(), "{name}");
    }
    std::fs::remove_dir_all(out).expect("cannot remove the test's folder");
}

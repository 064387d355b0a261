//! Replicated state among several router processes, with faults between them: short forms of the replication
//! rehearsals.
use sandstile_audit::probing::Search;
use sandstile_audit::{judge, own_reads, searches, state_convergence, Convergence, OwnReads, Trace};
use sandstile_lab::rehearse::{rehearse, Options};
use sandstile_scenario::Script;
use std::fs;
use std::path::Path;

const FLEET: &str = r#"
title = "Kept state, small"
seconds = SECONDS
settle = 1
guards = false
sessions = "state"
machine "std" { cores = [1, 1] }
node "a" { machine = "std" }
node "b" { machine = "std" }
group "1" {
  nodes = ["a", "b"]
  ship_ms = 60
}
workload "own" {
  consistency = "session"
  work_ms = 2
  slo_ms = 400
  timeout_ms = 1500
}
workload "save" {
  consistency = "write"
  work_ms = 2
  slo_ms = 500
  timeout_ms = 1500
}
traffic "save-and-look" {
  workload = "save"
  rate = 40
  sessions = 500
  then = "own"
  think_ms = 20
}
clients {
  retries = 2
  pinned = true
}
routers {
  count = 3
  memory_mb = 64
  sockets = 128
  apart_ms = 50
}
"#;

fn copies_and_own_reads(name: &str, seconds: u32, cues: &str) -> (Convergence, OwnReads) {
    let trace = rehearse_fleet(name, &FLEET.replace("SECONDS", &seconds.to_string()), cues);
    (state_convergence(&trace), own_reads(&trace))
}

fn rehearse_fleet(name: &str, fleet: &str, cues: &str) -> Trace {
    let text = fleet.to_string() + cues;
    let script = Script::read(name, &text).unwrap_or_else(|p| panic!("{p:?}"));
    let out = std::env::temp_dir().join(format!("sandstile-{name}-{}", std::process::id()));
    let router = Path::new(env!("CARGO_BIN_EXE_sandstile")).to_path_buf();
    rehearse(Options { script, quick: false, router, out: out.clone() }).expect("rehearsal failed");
    let trace = Trace::read(&fs::read_to_string(out.join("trace.jsonl")).expect("no trace file"))
        .expect("malformed trace");
    let found = judge(&trace).expect("incomplete trace");
    let violations: Vec<_> = found
        .iter()
        .filter(|f| f.rule.is_violation() && !f.description.contains("after its time was over"))
        .collect();
    assert!(violations.is_empty(), "{violations:?}");
    let _ = fs::remove_dir_all(out);
    trace
}

fn agreed_after_s(found: &Convergence, cause: &str) -> f64 {
    let epoch =
        found.epochs.iter().find(|e| e.change.contains(cause)).unwrap_or_else(|| panic!("{cause}: {found}"));
    epoch.after_s.unwrap_or_else(|| panic!("{cause}: {found}"))
}

/// Guards against lost writes after a restart with an old copy of the state, or with none. Both routers are
/// in step again soon, and no own read misses its session's write.
#[test]
fn copies_agree_after_restarts_with_an_old_or_a_lost_copy() {
    let cues = r#"
state "backup" {
  router = 1
  at = 3
}
restart "put-back" {
  router = 1
  kind = "kill"
  state = "older"
  back = 0.5
  at = 5
}
restart "lost" {
  router = 2
  kind = "kill"
  state = "lost"
  back = 0.5
  at = 11
}
"#;
    let (found, own_reads) = copies_and_own_reads("kept-disk", 17, cues);
    assert!(own_reads.checked > 300 && own_reads.missed == 0, "{own_reads:?}");
    assert_eq!(found.starts.len(), 2);
    for start in &found.starts {
        assert!(start.in_step_after.is_some_and(|s| s < 4.0), "{found}");
    }
    let starts: Vec<_> = found.epochs.iter().skip(1).filter(|e| e.change.contains("started")).collect();
    assert!(starts.iter().all(|e| e.after_s.is_some_and(|s| s < 5.0)), "{found}");
}

/// During a partition both sides go on writing; after it, each has what the other wrote.
#[test]
fn copies_agree_after_a_partition() {
    let cues = r#"
partition "split" {
  sides = ["router:0", "router:1-2"]
  at = 4
  for = 6
}
"#;
    let (found, own_reads) = copies_and_own_reads("kept-split", 16, cues);
    assert!(own_reads.checked > 300 && own_reads.missed == 0, "{own_reads:?}");
    assert!(agreed_after_s(&found, "split heals") < 4.0, "{found}");
}

/// While a group has no primary for a long time, routers that share the search probe each of its hosts far
/// less often than routers that do not. While one router is killed and another is stopped, no host goes
/// unprobed for longer than allowed.
#[test]
fn a_shared_search_needs_fewer_probes_and_leaves_no_gap() {
    let cues = r#"
fault "primary" {
  kind = "crash"
  on = "primary:1"
  at = 3
  for = 12
}
restart "killed" {
  router = 0
  kind = "kill"
  back = 2
  at = 6
}
stop "still" {
  router = 1
  for = 2
  at = 10
}
"#;
    let fleet = FLEET.replace("SECONDS", "17").replace("ship_ms = 60", "ship_ms = 60\n  detect_s = 60");
    let search = |name: &str, sessions: &str| -> Search {
        let trace = rehearse_fleet(name, &fleet.replace("\"state\"", sessions), cues);
        searches(&trace).first().cloned().expect("no search in the trace")
    };
    let (alone, together) = (search("kept-alone", "\"state\""), search("kept-together", "\"together\""));
    assert!(together.rate.0 < 0.75 * alone.rate.0, "{together}; alone: {alone}");
    assert!(together.gap < 2.5, "{together}");
}

//! Several processes of this program that keep state together, and faults between them: short forms of the rehearsals of replication.
use sandstile_audit::probing::Search;
use sandstile_audit::{copies, judge, own_reads, searches, Copies, OwnReads, Trace};
use sandstile_lab::rehearse::{rehearse, Wanted};
use sandstile_scenario::Script;
use std::fs;
use std::path::Path;

const FLEET: &str = r#"
title = "Kept state, in little"
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

fn play(name: &str, seconds: u32, cues: &str) -> (Copies, OwnReads) {
    let trace = played(name, &FLEET.replace("SECONDS", &seconds.to_string()), cues);
    (copies(&trace), own_reads(&trace))
}

fn played(name: &str, fleet: &str, cues: &str) -> Trace {
    let text = fleet.to_string() + cues;
    let script = Script::read(name, &text).unwrap_or_else(|p| panic!("{p:?}"));
    let out = std::env::temp_dir().join(format!("sandstile-{name}-{}", std::process::id()));
    let router = Path::new(env!("CARGO_BIN_EXE_sandstile")).to_path_buf();
    rehearse(Wanted { script, quick: false, router, out: out.clone() }).expect("a rehearsal");
    let trace = Trace::read(&fs::read_to_string(out.join("trace.jsonl")).expect("a trace")).expect("lines");
    let found = judge(&trace).expect("a whole trace");
    let broken: Vec<_> =
        found.iter().filter(|f| f.rule.binds() && !f.what.contains("after its time was over")).collect();
    assert!(broken.is_empty(), "{broken:?}");
    let _ = fs::remove_dir_all(out);
    trace
}

fn came_to_one(found: &Copies, why: &str) -> f64 {
    let epoch = found.epochs.iter().find(|e| e.why.contains(why)).unwrap_or_else(|| panic!("{why}: {found}"));
    epoch.after.unwrap_or_else(|| panic!("{why}: {found}"))
}

/// A copy put back, and nothing at all: both are in step soon, and no own read is short.
#[test]
fn whatever_is_found_on_the_disk_the_copies_come_to_one() {
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
    let (found, own) = play("kept-disk", 17, cues);
    assert!(own.checked > 300 && own.missed == 0, "{own:?}");
    assert_eq!(found.starts.len(), 2);
    for start in &found.starts {
        assert!(start.in_step_after.is_some_and(|s| s < 4.0), "{found}");
    }
    let starts: Vec<_> = found.epochs.iter().skip(1).filter(|e| e.why.contains("started")).collect();
    assert!(starts.iter().all(|e| e.after.is_some_and(|s| s < 5.0)), "{found}");
}

/// Cut off from each other both sides go on writing; after the heal each has what the other wrote.
#[test]
fn a_split_heals_and_the_copies_come_to_one() {
    let cues = r#"
partition "split" {
  sides = ["router:0", "router:1-2"]
  at = 4
  for = 6
}
"#;
    let (found, own) = play("kept-split", 16, cues);
    assert!(own.checked > 300 && own.missed == 0, "{own:?}");
    assert!(came_to_one(&found, "split heals") < 4.0, "{found}");
}

/// Nobody leads for long: routers that share the search probe each member far less than routers that do not, and while one of them is
/// killed and another stands still no member goes unprobed for longer than was agreed.
#[test]
fn a_search_that_is_shared_costs_less_and_leaves_no_gap() {
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
        let trace = played(name, &fleet.replace("\"state\"", sessions), cues);
        searches(&trace).first().cloned().expect("a search")
    };
    let (alone, together) = (search("kept-alone", "\"state\""), search("kept-together", "\"together\""));
    assert!(together.rate.0 < 0.75 * alone.rate.0, "{together}; alone: {alone}");
    assert!(together.gap < 2.5, "{together}");
}

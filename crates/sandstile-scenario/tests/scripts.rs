//! Tests of valid and invalid scripts, of cues and of traffic.
use sandstile_fleet::{FaultKind, Target};
use sandstile_scenario::script::*;
use sandstile_scenario::traffic::{rate_multiple, Traffic};
use sandstile_scenario::{CueScheduler, ScenarioEvent, Script};

const VALID_SCRIPT: &str = r#"title = "A small evening"
seconds = 20
quick = 5
machine "std" {
  cores = [1, 0.5]
  queue = 32
}
node "a" { machine = "std" }
node "b" {
  machine = "std"
  zone = "b"
}
group "1" {
  nodes = ["a", "b"]
}
workload "look" {
  consistency = "any"
  work_ms = 5
  slo_ms = 200
  timeout_ms = 800
}
workload "save" {
  consistency = "write"
  work_ms = 5
  slo_ms = 200
  timeout_ms = 800
}
traffic "browse" {
  workload = "look"
  rate = 100
  jump {
    at = 10
    for = 4
    times = 3
  }
}
fault "p" {
  kind = "pause"
  on = "primary:1"
  at = 5
  for = 2
}
fault "c" {
  kind = "crash"
  on = "replica:1:0"
  when = "begun:save:3"
  plus_ms = 20
}
restart "r" {
  router = 1
  kind = "term"
  when = "ends:p"
}
"#;

#[test]
fn a_valid_script_is_parsed() {
    let script = Script::read("good.hcl", VALID_SCRIPT).expect("a valid script");
    assert_eq!((script.seconds, script.plan.groups[0].nodes.len(), script.cues.len()), (20.0, 2, 3));
    let fault = CueAction::Fault {
        kind: FaultKind::Pause,
        target: Target::Primary("1".to_string()),
        duration_s: 2.0,
    };
    assert_eq!(script.cues[0].action, fault);
    assert_eq!(script.cues[1].trigger, Trigger::After(TriggerEvent::Received(1, 3), 0.020));
    let quick = script.shortened();
    assert_eq!((quick.seconds, quick.streams[0].jumps[0].at), (5.0, 2.5));
    assert_eq!(quick.cues[0].trigger, Trigger::At(1.25));
    assert_eq!(quick.cues[1].trigger, Trigger::After(TriggerEvent::Received(1, 3), 0.020));
}

/// Each faulty edit of the valid script is refused with the line of the error, and with a hint where one
/// helps.
#[test]
fn each_error_names_its_line_and_a_hint() {
    let line = |text: &str| VALID_SCRIPT[..VALID_SCRIPT.find(text).expect(text)].matches('\n').count() + 1;
    for (from, to, expected_line, expected) in [
        ("queue = 32", "quue = 32", line("queue = 32"), "did you mean queue"),
        ("queue = 32", "queue = \"32\"", line("queue = 32"), "not a number"),
        ("queue = 32", "queue = 0", line("queue = 32"), "wanted: 1 to"),
        ("queue = 32", "queue = 1.5", line("queue = 32"), "whole"),
        ("cores = [1, 0.5]", "cores = []", line("cores"), "list"),
        ("machine = \"std\"\n", "machine = \"sdt\"\n", line("machine = \"std\"\n"), "did you mean std"),
        ("nodes = [\"a\", \"b\"]", "nodes = [\"a\", \"x\"]", line("nodes"), "no node is named"),
        ("nodes = [\"a\", \"b\"]", "nodes = [\"a\", \"a\"]", line("nodes"), "twice"),
        ("consistency = \"any\"", "consistency = \"bounded\"", line("consistency"), "bound_ms"),
        ("consistency = \"any\"", "consistency = \"anny\"", line("consistency"), "did you mean any"),
        ("slo_ms = 200", "slo_ms = 900", line("slo_ms"), "beyond"),
        ("rate = 100", "", line("traffic"), "lacks rate"),
        ("kind = \"pause\"", "kind = \"pose\"", line("kind = \"pause\""), "one of"),
        ("on = \"primary:1\"", "on = \"primary:2\"", line("on = \"primary"), "no group"),
        ("on = \"primary:1\"", "on = \"1\"", line("on = \"primary"), "host:NAME"),
        ("at = 5", "at = 25", line("at = 5"), "past the end"),
        ("at = 5", "at = 5\nwhen = \"begins:c\"", line("at = 5") + 1, "both"),
        ("at = 5", "", line("fault \"p\""), "at or when"),
        ("begun:save:3", "begun:svae:3", line("begun"), "did you mean save"),
        ("begun:save:3", "begun:save", line("begun"), "begun:WORKLOAD:N"),
        ("begun:save:3", "begins:c", line("begun"), "itself"),
        ("router = 1", "router = 2", line("router = 1"), "counted from 0"),
        ("fault \"c\"", "fault \"p\"", line("fault \"c\""), "second"),
        ("title = ", "tilte = ", 1, "did you mean title"),
        ("seconds = 20", "seconds = ", 2, ""),
    ] {
        let text = VALID_SCRIPT.replacen(from, to, 1);
        let problems = Script::read("bad.hcl", &text).expect_err(to);
        let reported = problems.iter().any(|p| p.line == expected_line && p.to_string().contains(expected));
        assert!(reported, "{from} -> {to}: {problems:?}");
        assert!(problems[0].to_string().starts_with("bad.hcl:"), "{}", problems[0]);
    }
}

/// No input text makes the parser panic.
#[test]
fn truncated_and_malformed_scripts_do_not_panic() {
    for cut in (0..VALID_SCRIPT.len()).step_by(7) {
        let _ = Script::read("cut.hcl", &VALID_SCRIPT[..cut]);
    }
    for junk in ["", "{", "a = ", "fault {}", "group \"1\" \"2\" {}", "machine \"x\" { cores = [-1] }"] {
        assert!(Script::read("junk.hcl", junk).is_err(), "{junk}");
    }
}

#[test]
fn cues_are_due_once_and_in_order() {
    let script = Script::read("good.hcl", VALID_SCRIPT).expect("a valid script");
    let mut scheduler = CueScheduler::new(&script.cues, 100.0);
    assert_eq!((scheduler.take_due(104.9), scheduler.next_due()), (None, Some(105.0)));
    assert_eq!((scheduler.take_due(105.0), scheduler.take_due(110.0)), (Some(0), None));
    for n in 0..5 {
        scheduler.record_event(106.0 + f64::from(n), &ScenarioEvent::Received { workload: 1 });
    }
    assert_eq!(
        (
            scheduler.next_due(),
            scheduler.take_due(108.01),
            scheduler.take_due(108.03),
            scheduler.take_due(120.0)
        ),
        (Some(108.02), None, Some(1), None)
    );
    assert_eq!(scheduler.missed_cues().len(), 1);
    scheduler.record_event(109.0, &ScenarioEvent::CueEnded { cue: 1 });
    scheduler.record_event(109.0, &ScenarioEvent::CueEnded { cue: 0 });
    assert_eq!((scheduler.take_due(109.0), scheduler.missed_cues().len()), (Some(2), 0));
}

#[test]
fn arrivals_follow_the_rate_and_the_seed() {
    let script = Script::read("good.hcl", VALID_SCRIPT).expect("a valid script");
    let all: Vec<_> = Traffic::new(&script, 5).collect();
    let arrivals_between = |a: f64, b: f64| all.iter().filter(|x| x.at >= a && x.at < b).count() as f64;
    assert!((arrivals_between(0.0, 10.0) / 1000.0 - 1.0).abs() < 0.1, "{}", arrivals_between(0.0, 10.0));
    assert!((arrivals_between(10.0, 14.0) / 1200.0 - 1.0).abs() < 0.1, "{}", arrivals_between(10.0, 14.0));
    assert!(all.windows(2).all(|w| w[0].at <= w[1].at));
    assert_eq!(all, Traffic::new(&script, 5).collect::<Vec<_>>());
    assert_ne!(all, Traffic::new(&script, 6).collect::<Vec<_>>());
    let ramp = [RateJump { at: 10.0, duration_s: 10.0, multiple: 3.0, ramp: 2.0 }];
    assert_eq!([9.0, 11.0, 15.0, 19.0, 21.0].map(|t| rate_multiple(&ramp, t)), [1.0, 2.0, 3.0, 2.0, 1.0]);
}

const FAULTS: &str = r#"
link "cut" {
  from = "router:0 clients"
  to = "group:1"
  kind = "delay"
  delay_ms = 50
  one_way = true
  at = 3
  for = 2
}
partition "split" {
  sides = ["router:0 zone:a", "router:1 zone:b"]
  when = "begins:cut"
  for = 1
}
restart "most" {
  share = 0.7
  kind = "kill"
  state = "older"
  spread = 1
  when = "ends:split"
}
stop "still" {
  router = 1
  for = 2
  at = 4
}
state "copy" {
  router = 0
  at = 1
}
"#;

#[test]
fn link_and_process_faults_are_parsed_and_checked_against_known_names() {
    use sandstile_faults::{Endpoint, ProcessFault, StateAfterRestart};
    let script = Script::read("faults.hcl", &format!("{VALID_SCRIPT}{FAULTS}")).expect("a valid script");
    let host =
        |name: &str, zone: &str| Endpoint::Host { name: name.into(), group: "1".into(), zone: zone.into() };
    assert!(script.needs_relay(&Endpoint::Router(0), &host("s-1-a", "a")));
    assert!(script.needs_relay(&Endpoint::Router(1), &host("s-1-a", "a")), "a host on another side");
    assert!(!script.needs_relay(&Endpoint::Router(1), &Endpoint::Agent(1)), "no fault affects that link");
    assert!(!script.needs_relay(&Endpoint::Clients, &host("s-1-a", "a")), "no link exists between them");
    let restarts_with_older_copy = script.cues.iter().any(|c| {
        matches!(c.action, CueAction::Process { process_fault: ProcessFault::Restart { kill: true, state: StateAfterRestart::Older, .. }, spread, .. } if spread == 1.0)
    });
    assert!(restarts_with_older_copy);
    for (from, to, expected) in [
        ("group:1", "group:7", "7"),
        ("zone:a", "zone:q", "q"),
        ("router:0 clients", "router:9", "router"),
        ("kind = \"delay\"", "kind = \"rain\"", "rain"),
        ("share = 0.7", "share = 0.7\n  router = 0", "both"),
        ("for = 1", "for = 1\n  one_way = true", "one_way"),
        ("state = \"older\"", "state = \"odd\"", "odd"),
    ] {
        let text = format!("{VALID_SCRIPT}{}", FAULTS.replacen(from, to, 1));
        let problems = Script::read("bad.hcl", &text).expect_err(to);
        assert!(problems.iter().any(|p| p.to_string().contains(expected)), "{to}: {problems:?}");
    }
}

#[test]
fn a_script_can_take_its_fleet_from_a_shared_file() {
    let split = VALID_SCRIPT.find("traffic").expect("traffic");
    let (fleet, own) = (
        VALID_SCRIPT[VALID_SCRIPT.find("machine").expect("a machine")..split].to_string(),
        &VALID_SCRIPT[split..],
    );
    let text = format!("title = \"Shared\"\nseconds = 20\nfleet = \"f.hcl\"\n{own}");
    let read = |fleet: String| {
        Script::read_with("own.hcl", &text, &move |name| match name {
            "f.hcl" => Ok(fleet.clone()),
            other => Err(format!("no {other}")),
        })
    };
    let script = read(fleet.clone()).expect("a valid script");
    assert_eq!((script.plan.nodes.len(), script.cues.len()), (2, 3));
    // A problem in the shared file is reported with that file's name and line.
    let wrong = read(fleet.replace("queue = 32", "queues = 32")).expect_err("a typo");
    assert!(wrong.iter().any(|p| p.to_string().contains("f.hcl:")), "{wrong:?}");
    let gone = Script::read("own.hcl", &text).expect_err("no file");
    assert!(gone.iter().any(|p| p.to_string().contains("f.hcl")), "{gone:?}");
    let broken = read("machine \"std\" {".to_string()).expect_err("invalid HCL");
    assert!(!broken.is_empty());
}

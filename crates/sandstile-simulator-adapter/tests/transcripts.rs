//! Runs the adapter's binary on hand-written transcripts.
use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = "allowed.mostTries=4 allowed.probes=true allowed.mayCancel=true classes.count=2 \
    classes.0.name=look classes.0.aimMs=400.0 classes.0.deadlineMs=1000.0 classes.0.effect=idempotent \
    classes.1.name=book classes.1.aimMs=400.0 classes.1.deadlineMs=1000.0 classes.1.effect=at_most_once \
    specifics.consistency=loose,update specifics.guards=reject rules.coldFrom=0.2 rules.coldMs=1000.0 \
    tickMs=5.0 later.unknown=7";
const LIST: &str = "LIST 0 2\nHOST 1 1 - z 3 host.b active k\nHOST 0 1 - z 3 host.a active k";

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sandstile-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("a pipe").write_all(input.as_bytes()).expect("the input is taken");
    child.wait_with_output().expect("the adapter ends")
}

fn transcript(events: &str) -> String {
    format!("SYNC 10.0\nPROVISION router-1 5 {SETTINGS}\n{LIST}\nMEMBERS router-1 1 Persisted 0\n{events}COMMIT\n")
}

fn replies(input: &str) -> String {
    let output = run_adapter(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("text")
}

#[test]
fn a_read_goes_to_the_replica_a_write_to_the_primary_and_an_empty_batch_gets_its_reply() {
    let events =
        "INGRESS router-1 c:r look - - 800.0 - 3 0 0 0\nINGRESS router-1 c:w book - s:x 800.0 - 3 0 0 1\n";
    let output = replies(&format!("SYNC 1.0\nCOMMIT\n{}", transcript(events)));
    assert!(output.starts_with("YIELD\n"));
    assert!(output.contains("ISSUE router-1 c:r host.a 800.000"), "{output}");
    assert!(output.contains("ISSUE router-1 c:w host.b 800.000"), "{output}");
}

#[test]
fn numbered_lists_are_resolved_in_the_order_of_events() {
    let events = "LIST 0 1\nHOST 0 1 - z 3 host.c active k\nMEMBERS router-1 2 Complete 0\n\
        INGRESS router-1 c:r look - - 800.0 - 3 0 0 0\n";
    let output = replies(&transcript(events));
    assert!(output.contains("ISSUE router-1 c:r host.c"), "{output}");
}

#[test]
fn an_instance_restarted_within_a_batch_has_forgotten_its_statements() {
    let first = transcript("INGRESS router-1 c:w book - - 800.0 - 3 0 0 1\n");
    let restarted = transcript("").replace("SYNC 10.0", "SYNC 20.0\nCRASH_NOW router-1");
    let late_events =
        "SYNC 900.0\nSETTLED router-1 c:w 0 host.b ok 3.0 1 81 -\nVANISHED router-1 c:w\nCOMMIT\n";
    let output = replies(&format!("{first}{restarted}{late_events}"));
    assert_eq!(output.matches("YIELD").count(), 3);
    assert!(!output.contains("END_FAILED") && !output.contains("TURN_AWAY"), "{output}");
}

#[test]
fn malformed_lines_get_a_message_and_a_failing_exit() {
    let cases = [
        ("HELLO\n", "expected SYNC"),
        ("SYNC x\n", "expected the clock, found 'x'"),
        ("SYNC 1.0\nFIRED router-9 1\nCOMMIT\n", "expected an instance that was provisioned"),
        ("SYNC 1.0\nLIST 0 2\nHOST 1 1 - z 3 host.b active k\n", "expected HOST"),
        ("SYNC 1.0\n", "expected COMMIT"),
        ("SYNC 1.0\nPROVISION router-1 -5 a=b\nCOMMIT\n", "expected a seed"),
        ("SYNC 1.0\nPROVISION router-1 5 specifics.baseTimeMs=x\nCOMMIT\n", "specifics.baseTimeMs"),
    ];
    for (input, message) in cases {
        let output = run_adapter(input);
        let stderr = String::from_utf8_lossy(&output.stderr).to_string();
        assert_eq!(output.status.code(), Some(1), "{input}");
        assert!(stderr.contains(message) && stderr.contains("line "), "{stderr}");
        assert!(!stderr.contains("panicked"));
        assert!(output.stdout.is_empty());
    }
    let unknown_outcome =
        transcript("").replace("COMMIT", "SETTLED router-1 c:r 0 host.b odd 3.0 1 81 -\nCOMMIT");
    let output = run_adapter(&unknown_outcome);
    assert!(String::from_utf8_lossy(&output.stderr).contains("expected an outcome, found 'odd'"));
}

//! Hand-written transcripts through the adapter as it is run.
use std::io::Write;
use std::process::{Command, Output, Stdio};

const FACTS: &str = "allowed.mostTries=4 allowed.probes=true allowed.mayCancel=true classes.count=2 \
    classes.0.name=look classes.0.aimMs=400.0 classes.0.deadlineMs=1000.0 classes.0.effect=idempotent \
    classes.1.name=book classes.1.aimMs=400.0 classes.1.deadlineMs=1000.0 classes.1.effect=at_most_once \
    specifics.consistency=loose,update specifics.guards=reject rules.coldFrom=0.2 rules.coldMs=1000.0 \
    tickMs=5.0 later.unknown=7";
const LIST: &str = "LIST 0 2\nHOST 1 1 - z 3 host.b active k\nHOST 0 1 - z 3 host.a active k";

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sandstile-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("a pipe").write_all(input.as_bytes()).expect("the input is taken");
    child.wait_with_output().expect("the adapter ends")
}

fn begin(rest: &str) -> String {
    format!("SYNC 10.0\nPROVISION router-1 5 {FACTS}\n{LIST}\nMEMBERS router-1 1 Persisted 0\n{rest}COMMIT\n")
}

fn replies(input: &str) -> String {
    let output = run(input);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("text")
}

#[test]
fn a_read_goes_to_the_replica_a_write_to_the_primary_and_an_empty_batch_gets_its_reply() {
    let rest =
        "INGRESS router-1 c:r look - - 800.0 - 3 0 0 0\nINGRESS router-1 c:w book - s:x 800.0 - 3 0 0 1\n";
    let text = replies(&format!("SYNC 1.0\nCOMMIT\n{}", begin(rest)));
    assert!(text.starts_with("YIELD\n"));
    assert!(text.contains("ISSUE router-1 c:r host.a 800.000"), "{text}");
    assert!(text.contains("ISSUE router-1 c:w host.b 800.000"), "{text}");
}

#[test]
fn numbered_lists_are_resolved_in_the_order_of_events() {
    let rest = "LIST 0 1\nHOST 0 1 - z 3 host.c active k\nMEMBERS router-1 2 Complete 0\n\
        INGRESS router-1 c:r look - - 800.0 - 3 0 0 0\n";
    let text = replies(&begin(rest));
    assert!(text.contains("ISSUE router-1 c:r host.c"), "{text}");
}

#[test]
fn an_instance_restarted_within_a_batch_has_forgotten_its_statements() {
    let first = begin("INGRESS router-1 c:w book - - 800.0 - 3 0 0 1\n");
    let again = begin("").replace("SYNC 10.0", "SYNC 20.0\nCRASH_NOW router-1");
    let late = "SYNC 900.0\nSETTLED router-1 c:w 0 host.b ok 3.0 1 81 -\nVANISHED router-1 c:w\nCOMMIT\n";
    let text = replies(&format!("{first}{again}{late}"));
    assert_eq!(text.matches("YIELD").count(), 3);
    assert!(!text.contains("END_FAILED") && !text.contains("TURN_AWAY"), "{text}");
}

#[test]
fn malformed_lines_get_a_message_and_a_failing_exit() {
    let bad = [
        ("HELLO\n", "expected SYNC"),
        ("SYNC x\n", "expected the clock, found 'x'"),
        ("SYNC 1.0\nFIRED router-9 1\nCOMMIT\n", "expected an instance that was provisioned"),
        ("SYNC 1.0\nLIST 0 2\nHOST 1 1 - z 3 host.b active k\n", "expected HOST"),
        ("SYNC 1.0\n", "expected COMMIT"),
        ("SYNC 1.0\nPROVISION router-1 -5 a=b\nCOMMIT\n", "expected a seed"),
        ("SYNC 1.0\nPROVISION router-1 5 specifics.baseTimeMs=x\nCOMMIT\n", "specifics.baseTimeMs"),
    ];
    for (input, message) in bad {
        let output = run(input);
        let said = String::from_utf8_lossy(&output.stderr).to_string();
        assert_eq!(output.status.code(), Some(1), "{input}");
        assert!(said.contains(message) && said.contains("line "), "{said}");
        assert!(!said.contains("panicked"));
        assert!(output.stdout.is_empty());
    }
    let event = begin("").replace("COMMIT", "SETTLED router-1 c:r 0 host.b odd 3.0 1 81 -\nCOMMIT");
    let output = run(&event);
    assert!(String::from_utf8_lossy(&output.stderr).contains("expected an outcome, found 'odd'"));
}

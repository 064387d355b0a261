//! What our own file turns on, and that nothing of it is on without the file.
#[allow(dead_code)]
mod stand_ins;

use sandstile_recording::RecordingReader;
use stand_ins::*;
use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;

fn place(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("sandstile-{}-{name}", std::process::id()))
}

/// Times, kinds and hashes are kept; names of sessions and literals are not; an evening that is there is not written over.
#[test]
fn a_recording_keeps_what_was_asked_and_nothing_of_what_was_said() {
    let (file, own) = (place("evening.rec"), place("recording.hcl"));
    fs::write(&own, format!("recording {{\n  file = \"{}\"\n}}\n", file.display())).expect("a place");
    let (primary, replica) = (Host::start(true), Host::start(false));
    let text = config(DiscoveryAgent::start().address, &known(&primary, &[&replica]));
    let line = format!("exec \"$0\" serve --config {}", own.display());
    let router = Router::start_in_shell(&line, &text);
    let mut client = router.client();
    for n in 0..5 {
        let asked = if n == 2 { write(800) } else { read(800) };
        assert!(client.ask(&asked).value.is_some());
    }
    let nowhere = read(60).replace("cluster=3", "cluster=99");
    assert!(client.ask(&nowhere).code.is_some());
    let (ok, log) = router.end();
    assert!(ok && log.contains("the recording is whole") && log.contains("unrecorded=0"), "{log}");

    let bytes = fs::read(&file).expect("a recording");
    assert!(!["INSERT", "payload", "SELECT"]
        .iter()
        .any(|w| bytes.windows(w.len()).any(|b| b == w.as_bytes())));
    let mut reader = RecordingReader::open(&bytes[..]).expect("a recording");
    let mut played = Vec::new();
    while let Some(arrival) = reader.next_arrival().expect("whole") {
        played.push(arrival);
    }
    let name = |n: u32| reader.header.workloads[n as usize].as_str();
    assert_eq!(
        played.iter().map(|a| name(a.workload)).collect::<Vec<_>>(),
        ["look", "look", "book", "look", "look", "look"]
    );
    let groups: Vec<&str> = played.iter().map(|a| reader.header.groups[a.group as usize].as_str()).collect();
    assert_eq!(groups, ["3", "3", "3", "3", "3", ""]);
    assert!(played[2].session != 0 && played[2].wait_ms <= 800 && played.is_sorted_by_key(|a| a.at_us));

    let (mut command, _, _) = Router::command(&text);
    let again = command.args(["serve", "--config"]).arg(&own).output().expect("the program");
    let said = String::from_utf8(again.stderr).expect("text");
    let last = said.lines().rfind(|l| l.starts_with("sandstile:")).unwrap_or_default().to_string();
    assert!(!again.status.success() && last.contains("recording: ") && last.contains("exists"), "{said}");
    let _ = (fs::remove_file(file), fs::remove_file(own));
}

/// Clients that come again and again are held to their share and told when to return; first tries are served as ever.
#[test]
fn in_a_storm_later_tries_are_turned_away_with_times_of_their_own() {
    let own = place("limits.hcl");
    fs::write(&own, "limits {\n  later_tries = 0.2\n}\n").expect("a place");
    let (primary, replica) = (Host::start(true), Host::start(false));
    let text = config(DiscoveryAgent::start().address, &known(&primary, &[&replica]));
    let line = format!("exec \"$0\" serve --config {}", own.display());
    let router = Router::start_in_shell(&line, &text);
    let mut client = router.client();
    let again = |text: String| text.replace(",cluster=", ",r=1,cluster=");
    let mut told = Vec::new();
    for n in 0..300 {
        let got = client.ask(&again(if n % 5 == 0 { write(900) } else { read(900) }));
        assert!(got.ready && (got.value.is_some() || got.code.as_deref() == Some("53300")), "{got:?}");
        told.extend(got.detail.and_then(|ms| ms.parse::<u32>().ok()));
    }
    assert!(told.len() > 150, "{} turned away", told.len());
    assert!(told.iter().all(|ms| (150..=700).contains(ms)), "{told:?}");
    let spread = told.iter().collect::<BTreeSet<_>>().len();
    assert!(spread > 100, "{spread} different times");
    let sent = replica.count() + primary.count();
    for _ in 0..20 {
        assert!(client.ask(&read(900)).value.is_some(), "first tries come in");
    }
    assert_eq!(replica.count() + primary.count(), sent + 20);
    let (ok, log) = router.end();
    assert!(ok && log.contains("a storm begins: LaterTries"), "{log}");
    assert!(log.contains(" storms=1 ") && log.contains(&format!(" turned_away={} ", told.len())), "{log}");
    let _ = fs::remove_file(own);
}

/// On the platform there is no disk that lasts and no talk between instances: one listener, no file, no other thread.
#[test]
fn without_our_own_file_there_is_one_listener_and_nothing_on_the_disk() {
    let primary = Host::start(true);
    let router = Router::start_with_hosts(&primary, &[&Host::start(false)]);
    let mut client = router.client();
    assert!(client.ask(&write(800)).value.is_some());
    let pid = router.child.id();
    let links = fs::read_dir(format!("/proc/{pid}/fd")).expect("a process").flatten();
    let held: Vec<String> =
        links.filter_map(|l| Some(fs::read_link(l.path()).ok()?.to_string_lossy().into_owned())).collect();
    let files: Vec<&String> = held.iter().filter(|l| l.starts_with('/') && *l != "/dev/null").collect();
    assert!(files.is_empty(), "{files:?}");
    let inodes: BTreeSet<&str> =
        held.iter().filter_map(|l| l.strip_prefix("socket:[")?.strip_suffix(']')).collect();
    let table = |name: &str| fs::read_to_string(format!("/proc/{pid}/net/{name}")).unwrap_or_default();
    let tcp = table("tcp") + &table("tcp6");
    let listening = tcp.lines().filter(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        words.get(3) == Some(&"0A") && words.get(9).is_some_and(|inode| inodes.contains(inode))
    });
    assert_eq!(listening.count(), 1);
    let udp = table("udp") + &table("udp6");
    assert!(!udp.lines().any(|l| l.split_whitespace().nth(9).is_some_and(|inode| inodes.contains(inode))));
    let names: BTreeSet<String> = fs::read_dir(format!("/proc/{pid}/task"))
        .expect("a process")
        .flatten()
        .map(|t| fs::read_to_string(t.path().join("comm")).unwrap_or_default().trim().to_string())
        .collect();
    assert!(
        !names.iter().any(|n| ["recorder", "journal", "exchange", "tell"].contains(&n.as_str())),
        "{names:?}"
    );
    assert!(names.len() <= 4, "{names:?}");
}

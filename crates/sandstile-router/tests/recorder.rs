//! Features that the local configuration file turns on, and a check that none of them is on without the file.
#[allow(dead_code)]
mod test_doubles;

use sandstile_recording::RecordingReader;
use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;
use test_doubles::*;

fn temporary_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("sandstile-{}-{name}", std::process::id()))
}

/// A recording holds times, workloads and hashes of sessions, but no names of sessions and no literals. An
/// existing file is not overwritten.
#[test]
fn a_recording_holds_arrivals_but_no_statement_text() {
    let (file, config_file) = (temporary_path("evening.rec"), temporary_path("recording.hcl"));
    fs::write(&config_file, format!("recording {{\n  file = \"{}\"\n}}\n", file.display()))
        .expect("cannot write the test's files");
    let (primary, replica) = (Host::start(true), Host::start(false));
    let text = config(DiscoveryAgent::start().address, &known(&primary, &[&replica]));
    let command_line = format!("exec \"$0\" serve --config {}", config_file.display());
    let router = Router::start_in_shell(&command_line, &text);
    let mut client = router.client();
    for n in 0..5 {
        let statement = if n == 2 { write(800) } else { read(800) };
        assert!(client.ask(&statement).value.is_some());
    }
    let unknown_group = read(60).replace("cluster=3", "cluster=99");
    assert!(client.ask(&unknown_group).code.is_some());
    let (ok, log) = router.end();
    assert!(ok && log.contains("the recording is whole") && log.contains("unrecorded=0"), "{log}");

    let bytes = fs::read(&file).expect("no readable recording");
    assert!(!["INSERT", "payload", "SELECT"]
        .iter()
        .any(|w| bytes.windows(w.len()).any(|b| b == w.as_bytes())));
    let mut reader = RecordingReader::open(&bytes[..]).expect("no readable recording");
    let mut arrivals = Vec::new();
    while let Some(arrival) = reader.next_arrival().expect("incomplete recording") {
        arrivals.push(arrival);
    }
    let name = |n: u32| reader.header.workloads[n as usize].as_str();
    assert_eq!(
        arrivals.iter().map(|a| name(a.workload)).collect::<Vec<_>>(),
        ["look", "look", "book", "look", "look", "look"]
    );
    let groups: Vec<&str> =
        arrivals.iter().map(|a| reader.header.groups[a.group as usize].as_str()).collect();
    assert_eq!(groups, ["3", "3", "3", "3", "3", ""]);
    assert!(arrivals[2].session != 0 && arrivals[2].wait_ms <= 800 && arrivals.is_sorted_by_key(|a| a.at_us));

    let (mut command, _, _) = Router::command(&text);
    let output =
        command.args(["serve", "--config"]).arg(&config_file).output().expect("cannot run the program");
    let stderr = String::from_utf8(output.stderr).expect("output is not UTF-8");
    let last_line = stderr.lines().rfind(|l| l.starts_with("sandstile:")).unwrap_or_default().to_string();
    assert!(
        !output.status.success() && last_line.contains("recording: ") && last_line.contains("exists"),
        "{stderr}"
    );
    let _ = (fs::remove_file(file), fs::remove_file(config_file));
}

/// In a retry storm, retries are limited to their share and get a time to return, spread over an interval.
/// First attempts are served as usual.
#[test]
fn retries_in_a_storm_are_turned_away_with_individual_return_times() {
    let config_file = temporary_path("limits.hcl");
    fs::write(&config_file, "limits {\n  later_tries = 0.2\n}\n").expect("cannot write the test's files");
    let (primary, replica) = (Host::start(true), Host::start(false));
    let text = config(DiscoveryAgent::start().address, &known(&primary, &[&replica]));
    let command_line = format!("exec \"$0\" serve --config {}", config_file.display());
    let router = Router::start_in_shell(&command_line, &text);
    let mut client = router.client();
    let as_retry = |text: String| text.replace(",cluster=", ",r=1,cluster=");
    let mut return_times_ms = Vec::new();
    for n in 0..300 {
        let answer = client.ask(&as_retry(if n % 5 == 0 { write(900) } else { read(900) }));
        assert!(
            answer.ready && (answer.value.is_some() || answer.code.as_deref() == Some("53300")),
            "{answer:?}"
        );
        return_times_ms.extend(answer.detail.and_then(|ms| ms.parse::<u32>().ok()));
    }
    assert!(return_times_ms.len() > 150, "{} turned away", return_times_ms.len());
    assert!(return_times_ms.iter().all(|ms| (150..=700).contains(ms)), "{return_times_ms:?}");
    let distinct = return_times_ms.iter().collect::<BTreeSet<_>>().len();
    assert!(distinct > 100, "{distinct} different times");
    let executions_before = replica.count() + primary.count();
    for _ in 0..20 {
        assert!(client.ask(&read(900)).value.is_some(), "first attempts are served");
    }
    assert_eq!(replica.count() + primary.count(), executions_before + 20);
    let (ok, log) = router.end();
    assert!(ok && log.contains("a storm begins: LaterTries"), "{log}");
    assert!(
        log.contains(" storms=1 ") && log.contains(&format!(" turned_away={} ", return_times_ms.len())),
        "{log}"
    );
    let _ = fs::remove_file(config_file);
}

/// The deployment platform has no durable disk and no traffic between instances. Without a local
/// configuration file the router has one listener, no open file, and no additional thread.
#[test]
fn without_a_local_config_there_is_one_listener_and_no_file() {
    let primary = Host::start(true);
    let router = Router::start_with_hosts(&primary, &[&Host::start(false)]);
    let mut client = router.client();
    assert!(client.ask(&write(800)).value.is_some());
    let pid = router.child.id();
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).expect("the process has ended").flatten();
    let open_targets: Vec<String> = descriptors
        .filter_map(|l| Some(fs::read_link(l.path()).ok()?.to_string_lossy().into_owned()))
        .collect();
    let files: Vec<&String> =
        open_targets.iter().filter(|l| l.starts_with('/') && *l != "/dev/null").collect();
    assert!(files.is_empty(), "{files:?}");
    let inodes: BTreeSet<&str> =
        open_targets.iter().filter_map(|l| l.strip_prefix("socket:[")?.strip_suffix(']')).collect();
    let table = |name: &str| fs::read_to_string(format!("/proc/{pid}/net/{name}")).unwrap_or_default();
    let tcp = table("tcp") + &table("tcp6");
    let listening = tcp.lines().filter(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.get(3) == Some(&"0A") && fields.get(9).is_some_and(|inode| inodes.contains(inode))
    });
    assert_eq!(listening.count(), 1);
    let udp = table("udp") + &table("udp6");
    assert!(!udp.lines().any(|l| l.split_whitespace().nth(9).is_some_and(|inode| inodes.contains(inode))));
    let names: BTreeSet<String> = fs::read_dir(format!("/proc/{pid}/task"))
        .expect("the process has ended")
        .flatten()
        .map(|t| fs::read_to_string(t.path().join("comm")).unwrap_or_default().trim().to_string())
        .collect();
    assert!(
        !names.iter().any(|n| ["recorder", "journal", "exchange", "tell"].contains(&n.as_str())),
        "{names:?}"
    );
    assert!(names.len() <= 4, "{names:?}");
}

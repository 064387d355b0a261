//! The memory of a router whose clients choose long names and many of them. The bound is the limit of the launch
//! configuration: over it the platform kills the router.
#[allow(dead_code)]
mod test_doubles;

use sandstile_shim::{Call, Fault, Plan, Rule};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use test_doubles::*;

const MEMORY_MB: usize = 64;
/// The longest value of the protocol.
const LONGEST_NAME_BYTES: usize = 64 * 1024;
/// Their names alone are more than the limit.
const WRITES: usize = 1_200;
const WRITERS: usize = 4;

fn peak_memory_kib(router: &Router) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", router.child.id())).expect("a process");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak").trim();
    peak.trim_end_matches(" kB").parse().expect("a number")
}

fn limited_config(primary: &Host) -> String {
    config(DiscoveryAgent::start().address, &known(primary, &[]))
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"))
}

/// Writes with a session name of the longest kind for each write, and checks that all are served within the memory
/// limit.
fn write_under_long_names(router: &Router) {
    let served = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for writer in 0..WRITERS {
            let served = &served;
            scope.spawn(move || {
                let mut client = router.client();
                for n in 0..WRITES / WRITERS {
                    let name = format!("{writer:02}{n:06}").repeat(LONGEST_NAME_BYTES / 8);
                    let response = client.ask(&write(3000).replace("k1", &name));
                    served.fetch_add(usize::from(response.value.is_some()), SeqCst);
                }
            });
        }
    });
    let peak = peak_memory_kib(router);
    println!("{} writes served, peak {peak} KiB", served.load(SeqCst));
    assert_eq!(served.load(SeqCst), WRITES);
    assert!(peak < MEMORY_MB * 1024, "{peak} KiB");
}

/// Guards against a router that is killed for memory because it keeps the names of sessions that clients choose: valid
/// writes, each with a name of its own.
#[test]
fn long_session_names_stay_within_the_memory_limit() {
    let primary = Host::start(true);
    write_under_long_names(&Router::start(&limited_config(&primary)));
}

/// Whether a thread of this name sleeps, as one does whose system call is held.
fn is_held(router: &Router, thread: &str) -> bool {
    let tasks = std::fs::read_dir(format!("/proc/{}/task", router.child.id())).expect("a process");
    let read =
        |task: &std::path::Path, file: &str| std::fs::read_to_string(task.join(file)).unwrap_or_default();
    tasks.flatten().any(|task| {
        read(&task.path(), "comm").trim() == thread && read(&task.path(), "wchan").contains("nanosleep")
    })
}

/// Guards against a recording that keeps the names of sessions while its disk is slow.
#[test]
fn long_session_names_in_a_recording_on_a_slow_disk_stay_within_the_memory_limit() {
    let primary = Host::start(true);
    let path = |name: &str| std::env::temp_dir().join(format!("sandstile-{}-{name}", std::process::id()));
    let (recording, local_config) = (path("slow.rec"), path("slow.hcl"));
    std::fs::write(&local_config, format!("recording {{\n  file = \"{}\"\n}}\n", recording.display()))
        .expect("a place for files");
    let (mut command, address, file) = Router::command(&limited_config(&primary));
    let library = sandstile_shim::library(Path::new(command.get_program())).expect("the shim");
    let slow_disk = Rule::new(Call::FileWrite, Fault::HoldMs(60_000));
    Plan { seed: 1, rules: vec![slow_disk] }.apply(&mut command, &library);
    command.arg("serve").arg("--config").arg(&local_config);
    let router = Router::spawn_and_wait(command, address, file);
    wait_for("a write that the disk holds up", || is_held(&router, "recorder"));
    write_under_long_names(&router);
    let _ = (std::fs::remove_file(recording), std::fs::remove_file(local_config));
}

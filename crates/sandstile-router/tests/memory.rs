//! The memory of a router whose clients choose long names and many of them. The bound is the limit of the launch
//! configuration: over it the platform kills the router.
#[allow(dead_code)]
mod test_doubles;

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

/// Guards against a router that is killed for memory because it keeps the names of sessions that clients choose: valid
/// writes, each with a name of its own of the longest kind.
#[test]
fn long_session_names_stay_within_the_memory_limit() {
    let primary = Host::start(true);
    let text = config(DiscoveryAgent::start().address, &known(&primary, &[]))
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"));
    let router = Router::start(&text);
    let served = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for writer in 0..WRITERS {
            let (router, served) = (&router, &served);
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
    let peak = peak_memory_kib(&router);
    println!("{} writes served, peak {peak} KiB", served.load(SeqCst));
    assert_eq!(served.load(SeqCst), WRITES);
    assert!(peak < MEMORY_MB * 1024, "{peak} KiB");
}

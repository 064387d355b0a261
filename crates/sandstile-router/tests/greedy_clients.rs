//! Clients that make a router hold or compute as much as they can: it stays within its memory limit, and the others are
//! served in time.
#[allow(dead_code)]
mod test_doubles;

use sandstile_router::pg;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use test_doubles::*;

const MEMORY_MB: usize = 48;
const DESCRIPTORS: usize = 1024;
/// More than may be connected at once.
const CROWD: usize = 400;
/// Time that an ordinary client allows, and after it the time in which a request may still get its final answer.
const PATIENCE_MS: u32 = 1500;
const GRACE: Duration = Duration::from_millis(500);
/// Requests of the ordinary client while the others press.
const ORDINARY_REQUESTS: usize = 20;

fn greedy_config(primary: &Host, replicas: &[&Host]) -> String {
    config(DiscoveryAgent::start().address, &known(primary, replicas))
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"))
        .replace("\"sockets\":64", &format!("\"sockets\":{DESCRIPTORS}"))
}

fn peak_memory_kib(router: &Router) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", router.child.id())).expect("a process");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak").trim();
    peak.trim_end_matches(" kB").parse().expect("a number")
}

/// Fails if the router has ever held more than its limit.
fn assert_within_memory(router: &Router, what: &str) {
    let peak = peak_memory_kib(router);
    println!("{what}: peak {peak} KiB");
    assert!(peak < MEMORY_MB * 1024, "{what}: {peak} KiB");
}

/// A connection that takes as many of these bytes as the router reads, until the router closes it.
fn press(router: std::net::SocketAddr, pieces: Vec<Vec<u8>>, pause: Duration, stop: Arc<AtomicBool>) {
    let Ok(stream) = TcpStream::connect(router) else { return };
    stream.set_read_timeout(Some(Duration::from_millis(1))).expect("a limit");
    stream.set_write_timeout(Some(Duration::from_millis(200))).expect("a limit");
    for piece in pieces {
        if stop.load(SeqCst) || (&stream).write_all(&piece).is_err() {
            return;
        }
        thread::sleep(pause);
    }
    while !stop.load(SeqCst) && !matches!((&stream).read(&mut [0; 4096]), Ok(0)) {
        thread::sleep(Duration::from_millis(20));
    }
}

/// Keeps `CROWD` such connections busy, each anew once it has ended, while an ordinary client asks; checks that all of
/// that client's requests are served in time.
fn serve_beside_crowd(
    router: &Router,
    what: &str,
    pause: Duration,
    pieces: impl Fn(usize) -> Vec<Vec<u8>> + Sync,
) {
    assert_eq!(answer_beside_crowd(router, what, pause, pieces), ORDINARY_REQUESTS, "{what}");
}

/// Like `serve_beside_crowd`, where the hosts can't serve all: each request of the ordinary client gets a final answer in
/// time. Returns how many were served.
fn answer_beside_crowd(
    router: &Router,
    what: &str,
    pause: Duration,
    pieces: impl Fn(usize) -> Vec<Vec<u8>> + Sync,
) -> usize {
    let (stop, rounds) = (Arc::new(AtomicBool::new(false)), AtomicUsize::new(0));
    let address = router.address;
    let mut served = 0;
    let mut slowest = Duration::ZERO;
    thread::scope(|scope| {
        for n in 0..CROWD {
            let (stop, pieces, rounds) = (stop.clone(), &pieces, &rounds);
            scope.spawn(move || {
                while !stop.load(SeqCst) {
                    press(address, pieces(n), pause, stop.clone());
                    rounds.fetch_add(1, SeqCst);
                }
            });
        }
        wait_for("a round of the crowd", || rounds.load(SeqCst) >= CROWD / 8);
        for _ in 0..ORDINARY_REQUESTS {
            let begun = Instant::now();
            let mut client = Client::connect(address);
            client.send(&[pg::startup_message(), query(&read(PATIENCE_MS))].concat());
            let greeted = client.answer();
            assert!(greeted.ready, "{what}: {greeted:?}");
            let answer = client.answer();
            assert!(answer.ready, "{what}: {answer:?}");
            served += usize::from(answer.value.is_some());
            slowest = slowest.max(begun.elapsed());
        }
        stop.store(true, SeqCst);
    });
    println!(
        "{what}: {served} of {ORDINARY_REQUESTS} served, slowest {slowest:?}, {} rounds",
        rounds.load(SeqCst)
    );
    assert!(slowest < Duration::from_millis(PATIENCE_MS.into()) + GRACE, "{what}: {slowest:?}");
    served
}

const LONG_COMMAND_BYTES: usize = 140 * 1024;

/// A statement of the longest kind whose comment consists of very many short fields.
fn statement_of_short_fields() -> String {
    let fields = ",a=".repeat((LONG_COMMAND_BYTES - 200) / 3);
    read(PATIENCE_MS).replace(" */", &(fields + " */"))
}

/// Guards against a statement that takes many times its length while it is parsed, for each of its fields.
#[test]
fn a_statement_of_many_fields_takes_no_more_memory_than_one_of_few() {
    const FEW_KIB: usize = 1024;
    let peak_after = |statement: &str| {
        let (primary, replica) = (Host::start(true), Host::start(false));
        let router = Router::start(&greedy_config(&primary, &[&replica]));
        assert!(router.client().ask(statement).value.is_some());
        peak_memory_kib(&router)
    };
    let many_fields = statement_of_short_fields();
    let one_field =
        read(PATIENCE_MS).replace(" */", &format!(",a={} */", "b".repeat(LONG_COMMAND_BYTES - 200)));
    let (many, one) = (peak_after(&many_fields), peak_after(&one_field));
    assert!(many < one + FEW_KIB, "{many} KiB for many fields, {one} KiB for one");
}

/// Guards against timers that outlive their connections for as long as clients say that they wait.
#[test]
fn timers_of_closed_connections_are_gone_within_seconds() {
    const DAY_S: f64 = 86_400.0;
    let host = Host::start(false);
    let mut driver = HostsDriver::new(host.address, 5.0);
    for statement_id in 0..10 {
        host.script.lock().expect("script").replies.push_back(HostReply::RowThenEnd(b"row"));
        driver.start_until(statement_id, driver.context.clock.now() + DAY_S);
        driver.dial();
        wait_for("an answer", || {
            driver.turn();
            driver.hosts.start_waiting(&mut |_, _, _| true, &mut driver.context);
            driver.ending().is_some()
        });
    }
    let soon = driver.context.clock.now() + 15.0;
    while driver.context.timers.pop(soon).is_some() {}
    assert_eq!(driver.context.timers.len(), 0, "timers of connections that have closed");
}

fn halves(bytes: &[u8]) -> Vec<u8> {
    bytes[..bytes.len() / 2].to_vec()
}

/// Guards against a router that is killed for memory, or serves nobody, because hundreds of clients write slowly, stop
/// half way through a large request, or send heads of very many short fields.
#[test]
fn a_crowd_of_unfinished_and_many_field_requests_stays_within_the_memory_limit() {
    let (primary, replica) = (Host::start(true), Host::start(false));
    let router = Router::start(&greedy_config(&primary, &[&replica]));
    let pause = Duration::ZERO;
    let long = query(&statement_of_short_fields());
    serve_beside_crowd(&router, "half requests", pause, |_| vec![pg::startup_message(), halves(&long)]);
    assert_within_memory(&router, "half requests");
    serve_beside_crowd(&router, "whole requests of short fields", pause, |_| {
        vec![pg::startup_message(), query(&statement_of_short_fields())]
    });
    assert_within_memory(&router, "whole requests of short fields");
    let mut startup = pg::startup_message();
    startup.truncate(8);
    startup.extend(b"a\0b\0".repeat(2_400));
    startup.push(0);
    let length = (startup.len() as u32).to_be_bytes();
    startup[..4].copy_from_slice(&length);
    serve_beside_crowd(&router, "half startups of many fields", pause, |_| vec![halves(&startup)]);
    let a_byte_now_and_then: Vec<Vec<u8>> = long[..200].iter().map(|byte| vec![*byte]).collect();
    serve_beside_crowd(&router, "a byte now and then", Duration::from_millis(100), |_| {
        [vec![pg::startup_message(), long[..64 * 1024].to_vec()], a_byte_now_and_then.clone()].concat()
    });
    assert_within_memory(&router, "a byte now and then");
}

/// Guards against a router that is killed for memory by what it holds for clients that wait: long statements behind one
/// another before slow hosts, and long answers that are not read.
#[test]
fn pipelines_before_slow_hosts_and_unread_answers_stay_within_the_memory_limit() {
    let long_value: &'static [u8] = vec![7; 64 * 1024].leak();
    let (primary, replica) = (Host::start(true), Host::start(false));
    for host in [&primary, &replica] {
        host.script.lock().expect("script").replies.extend(vec![HostReply::Slow(30, long_value); 100_000]);
    }
    let router = Router::start(&greedy_config(&primary, &[&replica]));
    let long_statement = || read(PATIENCE_MS).replace(" */", &format!(",a={} */", "b".repeat(60_000)));
    let served = answer_beside_crowd(&router, "pipelines before slow hosts", Duration::ZERO, |_| {
        vec![pg::startup_message(), (0..8).flat_map(|_| query(&long_statement())).collect()]
    });
    println!("{served} served");
    assert_within_memory(&router, "pipelines before slow hosts");
}

/// How long one client sends as fast as the router reads.
const FLOOD: Duration = Duration::from_secs(2);
const DAY_MS: u32 = 86_400_000;

/// Sends commands on one connection as fast as the router takes them, and meanwhile asks as an ordinary client.
fn serve_beside_flood(
    router: &Router,
    what: &str,
    reads_answers: bool,
    command: impl Fn(u64) -> Vec<u8> + Sync,
) {
    let stream = router.client().stream;
    let mut reader = stream.try_clone().expect("a second handle");
    let until = Instant::now() + FLOOD;
    stream.set_write_timeout(Some(Duration::from_millis(100))).expect("a limit");
    let answers = thread::spawn(move || {
        let (mut bytes, mut received) = ([0; 65536], 0);
        if reads_answers {
            while let Ok(n @ 1..) = reader.read(&mut bytes) {
                received += n;
            }
        }
        received
    });
    let mut slowest = Duration::ZERO;
    let mut served = 0;
    thread::scope(|scope| {
        let flood = scope.spawn(|| {
            let mut sent = 0;
            while Instant::now() < until {
                let batch: Vec<u8> = (0..64).flat_map(|n| command(sent + n)).collect();
                if (&stream).write_all(&batch).is_err() {
                    break;
                }
                sent += 64;
            }
            let _ = stream.shutdown(std::net::Shutdown::Both);
            sent
        });
        let mut client = router.client();
        let mut asked = 0;
        while Instant::now() < until {
            let begun = Instant::now();
            served += usize::from(client.ask(&read(PATIENCE_MS)).value.is_some());
            asked += 1;
            slowest = slowest.max(begun.elapsed());
        }
        let sent = flood.join().expect("a flood");
        println!(
            "{what}: {sent} commands, {} bytes of answers; {served} of {asked} served, slowest {slowest:?}",
            answers.join().expect("a reader")
        );
        assert_eq!(served, asked, "{what}");
    });
    assert!(slowest < Duration::from_millis(PATIENCE_MS.into()), "{what}: {slowest:?}");
    assert_within_memory(router, what);
}

/// Guards against one client that sends small or unsound requests at full speed, also under ever new names, and delays
/// the others or makes memory grow.
#[test]
fn a_flood_on_one_connection_delays_no_other_client_and_takes_no_memory() {
    let (primary, replica) = (Host::start(true), Host::start(false));
    let router = Router::start(&greedy_config(&primary, &[&replica]));
    let statement = |n: u64, class: &str, cluster: &str, d: u32| {
        query(&format!("/* id=f{n},c={class},d={d},cluster={cluster} */ SELECT payload FROM entries WHERE ref = 'name{n}'"))
    };
    for reads_answers in [true, false] {
        let flood = |what: &str, command: &(dyn Fn(u64) -> Vec<u8> + Sync)| {
            serve_beside_flood(&router, &format!("{what}, read: {reads_answers}"), reads_answers, command);
        };
        flood("empty queries", &|_| query(""));
        flood("without a comment", &|_| query("SELECT 1"));
        flood("unknown workloads", &|n| statement(n, &format!("w{n}"), "3", 500));
        flood("unknown clusters, no time left", &|n| statement(n, "look", &format!("g{n}"), 0));
        flood("new sessions", &|n| statement(n, "own", "3", 500));
        flood("a day of patience", &|n| statement(n, "look", "3", DAY_MS));
    }
}

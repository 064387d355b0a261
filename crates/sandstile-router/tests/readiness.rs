//! What a single thread for all connections must not do: starve one connection for another, stall, or use CPU time
//! while idle.
#[allow(dead_code)]
mod test_doubles;

use sandstile_router::pg;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use test_doubles::*;

/// Clients that send empty queries without end, and a host that sends long answers, get their share of turns and no
/// more.
#[test]
fn connections_with_endless_work_delay_nobody() {
    let long: &'static [u8] = vec![7; 60_000].leak();
    let (primary, replica) = (Host::start(true), Host::start(false));
    replica.script.lock().expect("script").replies.extend(vec![HostReply::Row(long); 4_000]);
    let router = Router::start_with_hosts(&primary, &[&replica]);
    let (finished, flood_bytes) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let mut threads = Vec::new();
    for _ in 0..2 {
        // A client that has sent a statement may go on for as long as it likes.
        let mut client = router.client();
        assert!(client.ask(&write(1500)).value.is_some());
        let mut reads = client.stream.try_clone().expect("a socket");
        let burst = query(";").repeat(8_000);
        let (stop, reader_stop, seen) = (finished.clone(), finished.clone(), flood_bytes.clone());
        threads.push(thread::spawn(
            move || while !stop.load(SeqCst) && client.stream.write_all(&burst).is_ok() {},
        ));
        threads.push(thread::spawn(move || {
            let mut bytes = [0; 65_536];
            while !reader_stop.load(SeqCst) {
                match reads.read(&mut bytes) {
                    Ok(got) if got > 0 => seen.fetch_add(got, SeqCst),
                    _ => return,
                };
            }
            let _ = reads.shutdown(std::net::Shutdown::Both);
        }));
    }
    let mut reader = router.client();
    let stop = finished.clone();
    threads.push(thread::spawn(move || while !stop.load(SeqCst) && reader.ask(&read(1500)).ready {}));
    wait_for("the flood", || flood_bytes.load(SeqCst) > 100_000);
    let mut other_client = router.client();
    for _ in 0..30 {
        let begun = Instant::now();
        assert_eq!(other_client.ask(&write(1500)).value.as_deref(), Some(&b"primary"[..]));
        assert!(begun.elapsed() < Duration::from_millis(500), "{:?}", begun.elapsed());
    }
    let mut new_client = router.client();
    assert!(new_client.ask(&write(1500)).value.is_some());
    finished.store(true, SeqCst);
    threads.into_iter().for_each(|t| t.join().expect("a client"));
    assert!(router.end().0);
}

/// Stopped for 80 ms and run for 20 ms repeatedly, like a process with a fifth of a core: no answer is lost,
/// duplicated or withheld.
#[test]
fn a_repeatedly_stopped_process_answers_every_statement() {
    let (primary, replica) = (Host::start(true), Host::start(false));
    replica.script.lock().expect("script").replies.extend(vec![HostReply::Slow(30, b"slow"); 40]);
    let router = Router::start_with_hosts(&primary, &[&replica]);
    let clients: Vec<Client> = (0..6).map(|_| router.client()).collect();
    let finished = Arc::new(AtomicBool::new(false));
    let asks: Vec<_> = clients
        .into_iter()
        .map(|mut client| {
            let finished = finished.clone();
            thread::spawn(move || {
                let mut asked = 0;
                while !finished.load(SeqCst) {
                    let text = if asked % 3 == 0 { write(1200) } else { read(1200) };
                    let got = client.ask(&text);
                    assert!(got.ready && (got.value.is_some() || got.code.is_some()), "{got:?}");
                    asked += 1;
                }
                asked
            })
        })
        .collect();
    for _ in 0..15 {
        router.signal("STOP");
        thread::sleep(Duration::from_millis(80));
        router.signal("CONT");
        thread::sleep(Duration::from_millis(20));
    }
    finished.store(true, SeqCst);
    let asked: u64 = asks.into_iter().map(|t| t.join().expect("a client")).sum();
    let (ok, log) = router.end();
    let counter = |name| count(&log, name);
    assert!(ok && asked >= 6 && counter("taken") == asked, "{asked} {log}");
    assert_eq!(
        (counter("completed") + counter("rejected") + counter("aborted"), counter("forsaken")),
        (asked, 0),
        "{log}"
    );
}

/// SIGTERM and a reload while a dial, a half-read answer and a half-written command are in progress: every accepted
/// statement is answered, once.
#[test]
fn sigterm_and_reload_during_open_work_lose_no_statement() {
    let mut half = Vec::new();
    pg::write_frame(&mut half, b'T', &[b"\0\x01payload\0", &[0; 18]]);
    let (primary, replica) = (
        Host::scripted(true, &[HostReply::Slow(400, b"first")]),
        Host::scripted(false, &[HostReply::Raw(half.leak())]),
    );
    primary.script.lock().expect("script").startups_to_answer = Some(1);
    let agent = DiscoveryAgent::start();
    let text = config(agent.address, &known(&primary, &[&replica]));
    let router = Router::start(&text);
    let (mut first, mut second, mut third, mut begun) =
        (router.client(), router.client(), router.client(), router.client());
    first.send(&query(&write(1500)));
    wait_for("the first write", || primary.count() == 1);
    // Waits for a dial whose startup is never answered.
    second.send(&query(&write(1500)));
    third.send(&query(&read(1500)));
    wait_for("the read", || replica.count() == 1);
    let command = query(&write(1500));
    begun.send(&command[..20]);
    router.reload(&text);
    router.signal("TERM");
    begun.send(&command[20..]);
    assert_eq!(first.answer().value.as_deref(), Some(&b"first"[..]));
    // Over the connection of the first statement, once that was free.
    assert_eq!(second.answer().value.as_deref(), Some(&b"primary"[..]));
    assert_eq!(third.answer().value.as_deref(), Some(&b"primary"[..]));
    assert_eq!(begun.answer().value.as_deref(), Some(&b"primary"[..]));
    let (ok, log) = router.end();
    assert!(ok && (count(&log, "taken"), count(&log, "completed")) == (4, 4), "{log}");
    let asked: Vec<String> = primary
        .queries
        .lock()
        .expect("queries")
        .iter()
        .map(|q| String::from_utf8_lossy(q).into_owned())
        .collect();
    assert_eq!(
        asked.iter().filter(|q| q.contains("INSERT")).count(),
        3,
        "a write was sent twice: {asked:#?}"
    );
}

/// Guards against a router that spins after SIGTERM while a statement is open. In the fleet, routers that spun here
/// read no answers any more, and were killed with open statements.
#[test]
fn a_router_that_shuts_down_sleeps_while_a_statement_is_open() {
    let primary = Host::scripted(true, &[HostReply::Silent]);
    let router = Router::start_with_hosts(&primary, &[]);
    let mut client = router.client();
    client.send(&query(&write(1900)));
    wait_for("the write", || primary.count() == 1);
    router.signal("TERM");
    wait_for("the end of the listener", || TcpStream::connect(router.address).is_err());
    let before = threads_and_cpu_time(router.child.id()).1;
    thread::sleep(Duration::from_millis(500));
    let spent = threads_and_cpu_time(router.child.id()).1 - before;
    assert!(spent < 0.1, "{spent} s of CPU time in half a second of waiting");
    assert_eq!(client.answer().code.as_deref(), Some("57014"));
    assert!(router.end().0);
}

/// A discovery agent for many routers that only sends empty lines.
fn quiet_agent() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let mut watches: Vec<TcpStream> = Vec::new();
        listener.set_nonblocking(true).expect("a socket");
        loop {
            while let Ok((stream, _)) = listener.accept() {
                let _ = (&stream).write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                watches.push(stream);
            }
            watches.retain(|watch| (&*watch).write_all(b"1\r\n\n\r\n").is_ok());
            thread::sleep(Duration::from_secs(1));
        }
    });
    address
}

/// Number of threads of a process, and the seconds of CPU time that they have used.
fn threads_and_cpu_time(pid: u32) -> (usize, f64) {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).expect("a process");
    let times: Vec<f64> = tasks
        .flatten()
        .map(|task| {
            let stat = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
            stat.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0) / 1e9
        })
        .collect();
    (times.len(), times.iter().sum())
}

/// A machine of the fleet runs hundreds of routers, each with every host of the deployment on its list.
#[test]
fn forty_routers_with_sixty_hosts_use_few_threads_and_no_cpu_when_idle() {
    let hosts: Vec<Host> = (0..60).map(|n| Host::start(n % 6 == 0)).collect();
    let entries: Vec<String> = hosts
        .iter()
        .enumerate()
        .map(|(n, host)| {
            let listed = entry(&format!("s-{n}"), host.address, n % 6 == 0, "active");
            listed.replace("\"group\":3", &format!("\"group\":{}", n / 6))
        })
        .collect();
    let text = config(quiet_agent(), &list(41, true, &entries));
    let routers: Vec<Router> = (0..40).map(|_| Router::start(&text)).collect();
    for (n, router) in routers.iter().enumerate() {
        let mut client = router.client();
        for group in [n % 10, (n + 3) % 10] {
            let asked = read(1900).replace("cluster=3", &format!("cluster={group}"));
            assert_eq!(client.ask(&asked).value.as_deref(), Some(&b"replica"[..]));
        }
    }
    // Idle clients are closed within 2 s; from then on there is nothing to do.
    thread::sleep(Duration::from_millis(2500));
    let before: Vec<f64> = routers.iter().map(|r| threads_and_cpu_time(r.child.id()).1).collect();
    let begun = Instant::now();
    thread::sleep(Duration::from_secs(4));
    let minutes = begun.elapsed().as_secs_f64() / 60.0;
    let mut max_cpu_share: f64 = 0.0;
    for (router, before) in routers.iter().zip(before) {
        let (threads, time) = threads_and_cpu_time(router.child.id());
        assert!(threads <= 4, "{threads} threads at rest");
        max_cpu_share = max_cpu_share.max((time - before) / minutes);
    }
    println!("idle: {:.1} ms of CPU time a minute at most", 1e3 * max_cpu_share);
    assert!(max_cpu_share < 0.2, "{max_cpu_share} s a minute");
    // With many client and upstream connections open, still no more threads.
    let crowd: Vec<Client> = (0..30).map(|_| routers[0].client()).collect();
    let (threads, _) = threads_and_cpu_time(routers[0].child.id());
    assert!(threads <= 6, "{threads} threads");
    drop(crowd);
}

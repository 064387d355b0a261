//! How a readiness loop and threads hold many connections: so many hosts with so many connections each, statements
//! on some of them all the time, each answered 10 ms after it came. Prints how late answers were.
//! `taskset -c 0 cargo run --release -p sandstile-emulator --example holding [loop|threads] HOSTS CONNECTIONS`
//! (the clients run in a process of their own, on the other cores where `taskset` names but one for the server).
use hdrhistogram::Histogram;
use sandstile_fleet::timers::TimerWheel;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

const SECONDS: u64 = 10;
const DELAY: Duration = Duration::from_millis(10);
/// Statements a second over all connections.
const RATE: u64 = 2000;

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 199, 1 + (host / 200) as u8, 1 + (host % 200) as u8], 7000))
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let number = |n: usize, default: usize| words.get(n).and_then(|w| w.parse().ok()).unwrap_or(default);
    let (hosts, each) = (number(2, 64), number(3, 200));
    match words.get(1).map(String::as_str) {
        Some("clients") => clients(hosts, each),
        Some("threads") => threads(hosts, each),
        _ => readiness(hosts, each),
    }
}

fn start_clients(hosts: usize, each: usize) -> Child {
    let this = std::env::current_exe().expect("this program");
    let mut command = Command::new("taskset");
    command.args(["-c", "1-7"]).arg(this).arg("clients");
    command.args([hosts.to_string(), each.to_string()]).spawn().expect("clients")
}

fn clients(hosts: usize, each: usize) {
    let mut streams = Vec::new();
    for host in 0..hosts {
        for _ in 0..each {
            let stream = TcpStream::connect(address(host)).expect("a server");
            stream.set_nodelay(true).expect("a socket");
            streams.push(stream);
        }
    }
    let begun = Instant::now();
    let mut n = 0u64;
    while begun.elapsed() < Duration::from_secs(SECONDS) {
        let due = begun.elapsed().as_micros() as u64 * RATE / 1_000_000;
        while n < due {
            let at = (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20) as usize % streams.len();
            let _ = streams[at].write_all(b"q");
            n += 1;
        }
        thread::sleep(Duration::from_micros(500));
    }
}

fn tell(kind: &str, hosts: usize, each: usize, late: &Histogram<u64>) {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let memory = status.lines().find(|l| l.starts_with("VmRSS")).unwrap_or("").split_whitespace().nth(1);
    let (p50, p99) = (late.value_at_quantile(0.5), late.value_at_quantile(0.99));
    println!(
        "{kind}: {hosts} hosts x {each}, {} answers, late p50 {p50} us, p99 {p99} us, most {} us, {} KB",
        late.len(),
        late.max(),
        memory.unwrap_or("?")
    );
}

fn readiness(hosts: usize, each: usize) {
    let mut poll = mio::Poll::new().expect("a poll");
    let mut late = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds");
    let mut listeners: Vec<mio::net::TcpListener> =
        (0..hosts).map(|h| mio::net::TcpListener::bind(address(h)).expect("an address")).collect();
    for (n, listener) in listeners.iter_mut().enumerate() {
        poll.registry().register(listener, mio::Token(n), mio::Interest::READABLE).expect("a place");
    }
    let mut child = start_clients(hosts, each);
    let mut conns: BTreeMap<usize, mio::net::TcpStream> = BTreeMap::new();
    let (mut next, begun) = (hosts, Instant::now());
    let mut timers = TimerWheel::default();
    let mut events = mio::Events::with_capacity(1024);
    while child.try_wait().expect("a child").is_none() {
        let now = begun.elapsed().as_secs_f64();
        let sleep = timers.earliest().map_or(0.05, |at: f64| (at - now).clamp(0.0, 0.05));
        let _ = poll.poll(&mut events, Some(Duration::from_secs_f64(sleep)));
        let now = begun.elapsed().as_secs_f64();
        for event in &events {
            let token = event.token().0;
            if token < hosts {
                while let Ok((mut stream, _)) = listeners[token].accept() {
                    poll.registry()
                        .register(&mut stream, mio::Token(next), mio::Interest::READABLE)
                        .expect("a place");
                    conns.insert(next, stream);
                    next += 1;
                }
            } else if let Some(stream) = conns.get_mut(&token) {
                let mut bytes = [0; 64];
                while let Ok(n) = stream.read(&mut bytes) {
                    if n == 0 {
                        conns.remove(&token);
                        break;
                    }
                    (0..n).for_each(|_| timers.push(now + DELAY.as_secs_f64(), token));
                }
            }
        }
        let now = begun.elapsed().as_secs_f64();
        while let Some((at, token)) = timers.pop(now) {
            late.saturating_record(((now - at) * 1e6) as u64);
            if let Some(stream) = conns.get_mut(&token) {
                let _ = stream.write(b"a");
            }
        }
    }
    tell("loop", hosts, each, &late);
}

fn threads(hosts: usize, each: usize) {
    let (report, lates) = mpsc::channel();
    for host in 0..hosts {
        let (listener, report) = (TcpListener::bind(address(host)).expect("an address"), report.clone());
        let accept = move || {
            for stream in listener.incoming().flatten() {
                let report = report.clone();
                let talk = move || {
                    let mut stream: TcpStream = stream;
                    let mut bytes = [0; 64];
                    loop {
                        match stream.read(&mut bytes) {
                            Ok(n) if n > 0 => {}
                            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                            _ => return,
                        }
                        let due = Instant::now() + DELAY;
                        thread::sleep(DELAY);
                        let _ = report.send(due.elapsed().as_micros() as u64);
                        let _ = stream.write(b"a");
                    }
                };
                let made = thread::Builder::new().stack_size(64 * 1024).spawn(talk);
                if made.is_err() {
                    return;
                }
            }
        };
        thread::Builder::new().stack_size(64 * 1024).spawn(accept).expect("a thread");
    }
    drop(report);
    let mut child = start_clients(hosts, each);
    let mut late = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds");
    while child.try_wait().expect("a child").is_none() {
        while let Ok(us) = lates.recv_timeout(Duration::from_millis(50)) {
            late.saturating_record(us);
        }
    }
    tell("threads", hosts, each, &late);
}

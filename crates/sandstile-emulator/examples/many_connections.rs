//! Compares an event loop with a thread per connection for many connections: HOSTS listeners with CONNECTIONS
//! connections each, a constant rate of statements over all of them, each answered 10 ms after it arrives. Prints how
//! late the answers were.
//! `taskset -c 0 cargo run --release -p sandstile-emulator --example many_connections [loop|threads] HOSTS CONNECTIONS`
//! (the clients run in a separate process on cores 1-7, so `taskset` should limit the server to another core).
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
/// Statements per second over all connections.
const RATE: u64 = 2000;

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 199, 1 + (host / 200) as u8, 1 + (host % 200) as u8], 7000))
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let number = |n: usize, default: usize| args.get(n).and_then(|w| w.parse().ok()).unwrap_or(default);
    let (hosts, connections_per_host) = (number(2, 64), number(3, 200));
    match args.get(1).map(String::as_str) {
        Some("clients") => clients(hosts, connections_per_host),
        Some("threads") => threads(hosts, connections_per_host),
        _ => event_loop(hosts, connections_per_host),
    }
}

fn start_clients(hosts: usize, connections_per_host: usize) -> Child {
    let this = std::env::current_exe().expect("path of this program");
    let mut command = Command::new("taskset");
    command.args(["-c", "1-7"]).arg(this).arg("clients");
    command.args([hosts.to_string(), connections_per_host.to_string()]).spawn().expect("clients start")
}

fn clients(hosts: usize, connections_per_host: usize) {
    let mut streams = Vec::new();
    for host in 0..hosts {
        for _ in 0..connections_per_host {
            let stream = TcpStream::connect(address(host)).expect("server accepts connections");
            stream.set_nodelay(true).expect("TCP_NODELAY can be set");
            streams.push(stream);
        }
    }
    let started = Instant::now();
    let mut n = 0u64;
    while started.elapsed() < Duration::from_secs(SECONDS) {
        let due = started.elapsed().as_micros() as u64 * RATE / 1_000_000;
        while n < due {
            let index = (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20) as usize % streams.len();
            let _ = streams[index].write_all(b"q");
            n += 1;
        }
        thread::sleep(Duration::from_micros(500));
    }
}

fn print_report(kind: &str, hosts: usize, connections_per_host: usize, lateness_us: &Histogram<u64>) {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let memory = status.lines().find(|l| l.starts_with("VmRSS")).unwrap_or("").split_whitespace().nth(1);
    let (p50, p99) = (lateness_us.value_at_quantile(0.5), lateness_us.value_at_quantile(0.99));
    println!(
        "{kind}: {hosts} hosts x {connections_per_host}, {} answers, late p50 {p50} us, p99 {p99} us, most {} us, {} KB",
        lateness_us.len(),
        lateness_us.max(),
        memory.unwrap_or("?")
    );
}

fn event_loop(hosts: usize, connections_per_host: usize) {
    let mut poll = mio::Poll::new().expect("poll can be created");
    let mut lateness_us =
        Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("valid histogram bounds");
    let mut listeners: Vec<mio::net::TcpListener> =
        (0..hosts).map(|h| mio::net::TcpListener::bind(address(h)).expect("address is free")).collect();
    for (n, listener) in listeners.iter_mut().enumerate() {
        poll.registry()
            .register(listener, mio::Token(n), mio::Interest::READABLE)
            .expect("socket can be registered");
    }
    let mut child = start_clients(hosts, connections_per_host);
    let mut conns: BTreeMap<usize, mio::net::TcpStream> = BTreeMap::new();
    let (mut next, started) = (hosts, Instant::now());
    let mut timers = TimerWheel::default();
    let mut events = mio::Events::with_capacity(1024);
    while child.try_wait().expect("client process can be polled").is_none() {
        let now = started.elapsed().as_secs_f64();
        let sleep = timers.earliest().map_or(0.05, |at: f64| (at - now).clamp(0.0, 0.05));
        let _ = poll.poll(&mut events, Some(Duration::from_secs_f64(sleep)));
        let now = started.elapsed().as_secs_f64();
        for event in &events {
            let token = event.token().0;
            if token < hosts {
                while let Ok((mut stream, _)) = listeners[token].accept() {
                    poll.registry()
                        .register(&mut stream, mio::Token(next), mio::Interest::READABLE)
                        .expect("socket can be registered");
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
        let now = started.elapsed().as_secs_f64();
        while let Some((at, token)) = timers.pop(now) {
            lateness_us.saturating_record(((now - at) * 1e6) as u64);
            if let Some(stream) = conns.get_mut(&token) {
                let _ = stream.write(b"a");
            }
        }
    }
    print_report("loop", hosts, connections_per_host, &lateness_us);
}

fn threads(hosts: usize, connections_per_host: usize) {
    let (lateness_sender, lateness_receiver) = mpsc::channel();
    for host in 0..hosts {
        let (listener, lateness_sender) =
            (TcpListener::bind(address(host)).expect("address is free"), lateness_sender.clone());
        let accept = move || {
            for stream in listener.incoming().flatten() {
                let lateness_sender = lateness_sender.clone();
                let serve = move || {
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
                        let _ = lateness_sender.send(due.elapsed().as_micros() as u64);
                        let _ = stream.write(b"a");
                    }
                };
                let spawned = thread::Builder::new().stack_size(64 * 1024).spawn(serve);
                if spawned.is_err() {
                    return;
                }
            }
        };
        thread::Builder::new().stack_size(64 * 1024).spawn(accept).expect("thread starts");
    }
    drop(lateness_sender);
    let mut child = start_clients(hosts, connections_per_host);
    let mut lateness_us =
        Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("valid histogram bounds");
    while child.try_wait().expect("client process can be polled").is_none() {
        while let Ok(us) = lateness_receiver.recv_timeout(Duration::from_millis(50)) {
            lateness_us.saturating_record(us);
        }
    }
    print_report("threads", hosts, connections_per_host, &lateness_us);
}

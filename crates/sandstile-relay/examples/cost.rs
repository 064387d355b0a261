//! Measures the cost of a relay without faults: round trips of a small statement and its answer, direct and
//! through a relay, one at a time, in microseconds. `cargo run --release -p sandstile-relay --example cost`
use sandstile_faults::Endpoint;
use sandstile_relay::Relay;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Instant;

const ROUND_TRIPS: usize = 20_000;

fn measure(address: SocketAddr) -> (f64, f64) {
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.set_nodelay(true).expect("a socket");
    let mut latencies_us: Vec<f64> = Vec::with_capacity(ROUND_TRIPS);
    let (request, mut answer) = ([1; 200], [0; 200]);
    for _ in 0..ROUND_TRIPS {
        let start = Instant::now();
        stream.write_all(&request).expect("it reads");
        stream.read_exact(&mut answer).expect("it answers");
        latencies_us.push(start.elapsed().as_secs_f64() * 1e6);
    }
    latencies_us.sort_by(f64::total_cmp);
    (latencies_us[ROUND_TRIPS / 2], latencies_us[ROUND_TRIPS * 99 / 100])
}

fn main() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a socket");
    let target = listener.local_addr().expect("a socket");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                let mut bytes = [0; 200];
                while stream.read_exact(&mut bytes).is_ok() && stream.write_all(&bytes).is_ok() {}
            });
        }
    });
    let relay = Relay::start(1).expect("a loop");
    let relay_address = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a socket");
    relay.stream(Endpoint::Router(0), Endpoint::Clients, relay_address, target).expect("it listens");
    println!("| | p50 us | p99 us |\n| --- | --- | --- |");
    for (name, address) in [("direct", target), ("over a relay", relay_address)] {
        let (p50, p99) = measure(address);
        println!("| {name} | {p50:.0} | {p99:.0} |");
    }
}

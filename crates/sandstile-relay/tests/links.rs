//! Tests of relays on loopback sockets: the effects of link faults as both endpoints see them.
use sandstile_faults::link_faults::FaultScope;
use sandstile_faults::{Endpoint, EndpointSelector, LinkFault};
use sandstile_relay::{DatagramPeer, Relay};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

fn selector(text: &str) -> EndpointSelector {
    EndpointSelector::parse(text).unwrap()
}

fn router_to_agent(one_way: bool) -> FaultScope {
    FaultScope::Between { from: selector("router:0"), to: selector("agent:0"), one_way }
}

/// An echo server behind a relay.
fn echo_behind_relay(relay: &Relay) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let target = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            thread::spawn(move || {
                let mut bytes = [0; 4096];
                while let Ok(n) = stream.read(&mut bytes) {
                    if n == 0 || stream.write_all(&bytes[..n]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    let relay_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    relay.stream(Endpoint::Router(0), Endpoint::Agent(0), relay_address, target).unwrap();
    relay_address
}

fn dial(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream
}

fn round_trip(stream: &mut TcpStream, request: &[u8]) -> Duration {
    let start = Instant::now();
    stream.write_all(request).unwrap();
    let mut answer = vec![0; request.len()];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(answer, request);
    start.elapsed()
}

#[test]
fn without_faults_all_bytes_and_both_ends_of_stream_pass() {
    let relay = Relay::start(1).unwrap();
    let relay_address = echo_behind_relay(&relay);
    let mut stream = dial(relay_address);
    let payload: Vec<u8> = (0..3_000_000u32).map(|n| (n % 251) as u8).collect();
    let mut reader = stream.try_clone().unwrap();
    let expected = payload.clone();
    let reading = thread::spawn(move || {
        let mut received = Vec::new();
        reader.read_to_end(&mut received).unwrap();
        assert!(received == expected, "{} bytes", received.len());
    });
    stream.write_all(&payload).unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    reading.join().unwrap();
    let summary = relay.stop().unwrap();
    assert_eq!((summary.streams, summary.bytes), (1, 6_000_000));
}

/// The relay has received more than one turn reads, and nothing arrives afterwards, so no readiness event
/// announces the unread bytes. Guards against a relay that leaves them unread forever.
#[test]
fn bytes_left_unread_after_a_turn_are_read_without_a_new_event() {
    const SENT_BYTES: usize = 700_000;
    let relay = Relay::start(1).unwrap();
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let relay_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    relay
        .stream(Endpoint::Router(0), Endpoint::Agent(0), relay_address, target.local_addr().unwrap())
        .unwrap();
    relay.begin(1, router_to_agent(false), LinkFault::Cut);
    let mut stream = dial(relay_address);
    // This fits into the relay's window and the socket buffers, so the write does not wait for the heal.
    stream.write_all(&vec![7; SENT_BYTES]).unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    relay.heal(1);
    // The server sends nothing before it has read everything, so the relay gets no event from its side
    // either.
    let (mut dialled, _) = target.accept().unwrap();
    dialled.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut received = Vec::new();
    dialled.read_to_end(&mut received).unwrap();
    assert_eq!(received.len(), SENT_BYTES);
    relay.stop().unwrap();
}

#[test]
fn a_cut_holds_bytes_back_until_the_heal() {
    let relay = Relay::start(1).unwrap();
    let relay_address = echo_behind_relay(&relay);
    let mut stream = dial(relay_address);
    round_trip(&mut stream, b"before");
    relay.begin(1, router_to_agent(false), LinkFault::Cut);
    // The relay's thread applies the fault asynchronously; bytes that are written after this pause are held.
    thread::sleep(Duration::from_millis(50));
    stream.write_all(b"during").unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    let mut answer = [0; 6];
    let nothing = stream.read(&mut answer).unwrap_err();
    assert!(matches!(nothing.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{nothing}");
    relay.heal(1);
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"during");
    relay.stop().unwrap();
}

#[test]
fn a_one_way_cut_passes_the_request_and_holds_the_answer() {
    let relay = Relay::start(1).unwrap();
    let relay_address = echo_behind_relay(&relay);
    let mut stream = dial(relay_address);
    round_trip(&mut stream, b"before");
    let return_path =
        FaultScope::Between { from: selector("agent:0"), to: selector("router:0"), one_way: true };
    relay.begin(1, return_path, LinkFault::Cut);
    thread::sleep(Duration::from_millis(50));
    stream.write_all(b"asked").unwrap();
    thread::sleep(Duration::from_millis(100));
    relay.heal(1);
    let start = Instant::now();
    let mut answer = [0; 5];
    stream.read_exact(&mut answer).unwrap();
    // The answer was already in flight: it needed no second request.
    assert!(start.elapsed() < Duration::from_secs(2));
    relay.stop().unwrap();
}

#[test]
fn a_reset_closes_open_and_new_connections() {
    let relay = Relay::start(1).unwrap();
    let relay_address = echo_behind_relay(&relay);
    let mut stream = dial(relay_address);
    round_trip(&mut stream, b"before");
    relay.begin(1, router_to_agent(false), LinkFault::Reset);
    let mut byte = [0; 1];
    let ended = |r: std::io::Result<usize>| match r {
        Ok(n) => n == 0,
        Err(e) => matches!(e.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe),
    };
    assert!(ended(stream.read(&mut byte)));
    assert!(ended(dial(relay_address).read(&mut byte)));
    relay.heal(1);
    let deadline = Instant::now() + Duration::from_secs(5);
    while Instant::now() < deadline {
        let mut retried = dial(relay_address);
        if retried.write_all(b"x").is_ok() && retried.read_exact(&mut byte).is_ok() {
            assert!(relay.stop().unwrap().reset >= 2);
            return;
        }
    }
    panic!("no connection after the heal");
}

#[test]
fn delay_and_rate_limit_take_effect() {
    let relay = Relay::start(1).unwrap();
    let relay_address = echo_behind_relay(&relay);
    let mut stream = dial(relay_address);
    round_trip(&mut stream, b"up");
    relay.begin(1, router_to_agent(false), LinkFault::Delay { delay: 0.05, jitter: 0.0 });
    thread::sleep(Duration::from_millis(50));
    assert!(round_trip(&mut stream, b"there and back") >= Duration::from_millis(100));
    relay.heal(1);
    relay.begin(2, router_to_agent(true), LinkFault::Rate(100_000.0));
    thread::sleep(Duration::from_millis(50));
    assert!(round_trip(&mut stream, &[7; 30_000]) >= Duration::from_millis(280));
    relay.stop().unwrap();
}

#[test]
fn datagrams_cross_a_pair_of_relays_and_are_lost_in_a_cut() {
    let relay = Relay::start(1).unwrap();
    let sockets = [(); 2].map(|()| UdpSocket::bind("127.0.0.1:0").unwrap());
    let relay_addresses = [(); 2].map(|()| UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap());
    let side = |n: usize| DatagramPeer {
        endpoint: Endpoint::Router(n),
        sends_to: relay_addresses[n],
        address: sockets[n].local_addr().unwrap(),
    };
    relay.datagrams(side(0), side(1)).unwrap();
    let mut bytes = [0; 64];
    for s in &sockets {
        s.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    }
    sockets[0].send_to(b"hello", relay_addresses[0]).unwrap();
    let (n, from) = sockets[1].recv_from(&mut bytes).unwrap();
    // A reply to the apparent source address reaches the sender.
    assert_eq!((&bytes[..n], from), (&b"hello"[..], relay_addresses[1]));
    sockets[1].send_to(b"back", from).unwrap();
    let (n, from) = sockets[0].recv_from(&mut bytes).unwrap();
    assert_eq!((&bytes[..n], from), (&b"back"[..], relay_addresses[0]));
    let one_way = FaultScope::Between { from: selector("router:0"), to: selector("router:1"), one_way: true };
    relay.begin(1, one_way, LinkFault::Cut);
    thread::sleep(Duration::from_millis(50));
    sockets[0].send_to(b"lost", relay_addresses[0]).unwrap();
    sockets[1].send_to(b"heard", relay_addresses[1]).unwrap();
    let (n, _) = sockets[0].recv_from(&mut bytes).unwrap();
    assert_eq!(&bytes[..n], b"heard");
    relay.heal(1);
    thread::sleep(Duration::from_millis(50));
    sockets[0].send_to(b"after", relay_addresses[0]).unwrap();
    let (n, _) = sockets[1].recv_from(&mut bytes).unwrap();
    assert_eq!(&bytes[..n], b"after");
    assert_eq!(relay.stop().unwrap().lost, 1);
}

//! Relays on real sockets of loopback: what a fault does to a link is seen at its ends.
use sandstile_faults::fault_state::FaultScope;
use sandstile_faults::{Endpoint, EndpointSelector, LinkFault};
use sandstile_relay::{DatagramPeer, Relay};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

fn pick(text: &str) -> EndpointSelector {
    EndpointSelector::parse(text).unwrap()
}

fn between(one_way: bool) -> FaultScope {
    FaultScope::Between { from: pick("router:0"), to: pick("agent:0"), one_way }
}

/// One that says back what it is told, behind a relay.
fn echo(relay: &Relay) -> SocketAddr {
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
    let free = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    relay.stream(Endpoint::Router(0), Endpoint::Agent(0), free, target).unwrap();
    free
}

fn dial(at: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream
}

fn told(stream: &mut TcpStream, what: &[u8]) -> Duration {
    let start = Instant::now();
    stream.write_all(what).unwrap();
    let mut back = vec![0; what.len()];
    stream.read_exact(&mut back).unwrap();
    assert_eq!(back, what);
    start.elapsed()
}

#[test]
fn fair_weather_carries_all_and_both_ends() {
    let relay = Relay::start(1).unwrap();
    let at = echo(&relay);
    let mut stream = dial(at);
    let big: Vec<u8> = (0..3_000_000u32).map(|n| (n % 251) as u8).collect();
    let mut reader = stream.try_clone().unwrap();
    let want = big.clone();
    let reads = thread::spawn(move || {
        let mut got = Vec::new();
        reader.read_to_end(&mut got).unwrap();
        assert!(got == want, "{} bytes", got.len());
    });
    stream.write_all(&big).unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    reads.join().unwrap();
    let summary = relay.stop().unwrap();
    assert_eq!((summary.streams, summary.bytes), (1, 6_000_000));
}

/// More than a turn takes has come before the relay may pass it on, and nothing comes after it: no news tells of the rest.
#[test]
fn what_a_turn_left_over_is_read_without_news() {
    const ALL: usize = 700_000;
    let relay = Relay::start(1).unwrap();
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let free = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    relay.stream(Endpoint::Router(0), Endpoint::Agent(0), free, target.local_addr().unwrap()).unwrap();
    relay.begin(1, between(false), LinkFault::Cut);
    let mut stream = dial(free);
    // As much as the relay holds during a cut and the sockets beside it: the write does not wait for the heal.
    stream.write_all(&vec![7; ALL]).unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    relay.heal(1);
    // One that says nothing until it has heard all, so that the relay hears no news from there either.
    let (mut far, _) = target.accept().unwrap();
    far.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut got = Vec::new();
    far.read_to_end(&mut got).unwrap();
    assert_eq!(got.len(), ALL);
    relay.stop().unwrap();
}

#[test]
fn a_cut_holds_back_and_a_heal_lets_go() {
    let relay = Relay::start(1).unwrap();
    let at = echo(&relay);
    let mut stream = dial(at);
    told(&mut stream, b"before");
    relay.begin(1, between(false), LinkFault::Cut);
    // The strike is obeyed by the relay's thread: what is written then is held.
    thread::sleep(Duration::from_millis(50));
    stream.write_all(b"during").unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    let mut back = [0; 6];
    let nothing = stream.read(&mut back).unwrap_err();
    assert!(matches!(nothing.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{nothing}");
    relay.heal(1);
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    stream.read_exact(&mut back).unwrap();
    assert_eq!(&back, b"during");
    relay.stop().unwrap();
}

#[test]
fn one_way_the_question_arrives_and_the_answer_does_not() {
    let relay = Relay::start(1).unwrap();
    let at = echo(&relay);
    let mut stream = dial(at);
    told(&mut stream, b"before");
    let back_way = FaultScope::Between { from: pick("agent:0"), to: pick("router:0"), one_way: true };
    relay.begin(1, back_way, LinkFault::Cut);
    thread::sleep(Duration::from_millis(50));
    stream.write_all(b"asked").unwrap();
    thread::sleep(Duration::from_millis(100));
    relay.heal(1);
    let start = Instant::now();
    let mut back = [0; 5];
    stream.read_exact(&mut back).unwrap();
    // It had been said already: what came back needed no second question.
    assert!(start.elapsed() < Duration::from_secs(2));
    relay.stop().unwrap();
}

#[test]
fn a_reset_ends_what_stands_and_what_comes() {
    let relay = Relay::start(1).unwrap();
    let at = echo(&relay);
    let mut stream = dial(at);
    told(&mut stream, b"before");
    relay.begin(1, between(false), LinkFault::Reset);
    let mut byte = [0; 1];
    let ended = |r: std::io::Result<usize>| match r {
        Ok(n) => n == 0,
        Err(e) => matches!(e.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe),
    };
    assert!(ended(stream.read(&mut byte)));
    assert!(ended(dial(at).read(&mut byte)));
    relay.heal(1);
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until {
        let mut again = dial(at);
        if again.write_all(b"x").is_ok() && again.read_exact(&mut byte).is_ok() {
            assert!(relay.stop().unwrap().reset >= 2);
            return;
        }
    }
    panic!("no connection after the heal");
}

#[test]
fn delay_and_rate_are_as_said() {
    let relay = Relay::start(1).unwrap();
    let at = echo(&relay);
    let mut stream = dial(at);
    told(&mut stream, b"up");
    relay.begin(1, between(false), LinkFault::Delay { by: 0.05, jitter: 0.0 });
    thread::sleep(Duration::from_millis(50));
    assert!(told(&mut stream, b"there and back") >= Duration::from_millis(100));
    relay.heal(1);
    relay.begin(2, between(true), LinkFault::Rate(100_000.0));
    thread::sleep(Duration::from_millis(50));
    assert!(told(&mut stream, &[7; 30_000]) >= Duration::from_millis(280));
    relay.stop().unwrap();
}

#[test]
fn datagrams_cross_a_pair_of_relays_and_are_lost_in_a_cut() {
    let relay = Relay::start(1).unwrap();
    let sockets = [(); 2].map(|()| UdpSocket::bind("127.0.0.1:0").unwrap());
    let free = [(); 2].map(|()| UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap());
    let side = |n: usize| DatagramPeer {
        endpoint: Endpoint::Router(n),
        sends_to: free[n],
        address: sockets[n].local_addr().unwrap(),
    };
    relay.datagrams(side(0), side(1)).unwrap();
    let mut bytes = [0; 64];
    for s in &sockets {
        s.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    }
    sockets[0].send_to(b"hello", free[0]).unwrap();
    let (n, from) = sockets[1].recv_from(&mut bytes).unwrap();
    // An answer to where it seems to come from finds the way back.
    assert_eq!((&bytes[..n], from), (&b"hello"[..], free[1]));
    sockets[1].send_to(b"back", from).unwrap();
    let (n, from) = sockets[0].recv_from(&mut bytes).unwrap();
    assert_eq!((&bytes[..n], from), (&b"back"[..], free[0]));
    let one_way = FaultScope::Between { from: pick("router:0"), to: pick("router:1"), one_way: true };
    relay.begin(1, one_way, LinkFault::Cut);
    thread::sleep(Duration::from_millis(50));
    sockets[0].send_to(b"lost", free[0]).unwrap();
    sockets[1].send_to(b"heard", free[1]).unwrap();
    let (n, _) = sockets[0].recv_from(&mut bytes).unwrap();
    assert_eq!(&bytes[..n], b"heard");
    relay.heal(1);
    thread::sleep(Duration::from_millis(50));
    sockets[0].send_to(b"after", free[0]).unwrap();
    let (n, _) = sockets[1].recv_from(&mut bytes).unwrap();
    assert_eq!(&bytes[..n], b"after");
    assert_eq!(relay.stop().unwrap().lost, 1);
}

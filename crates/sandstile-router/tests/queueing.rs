//! No connection and no request may wait unnoticed until its deadline: in the listen queue, behind others, or for a
//! list.
#[allow(dead_code)]
mod test_doubles;

use mio::{Poll, Token};
use sandstile_policy::terms::Readiness;
use sandstile_router::known_hosts::KnownHosts;
use sandstile_router::list_stream::{ListStream, WatchItem};
use sandstile_router::listener::{AcceptResult, Listener};
use sandstile_router::lists;
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};
use test_doubles::*;

/// Time after its deadline in which a request may still get its final answer.
const GRACE: Duration = Duration::from_millis(500);

/// Guards against requests that stay unread in the listen queue while all accepted connections are busy.
#[test]
fn a_request_in_the_listen_queue_of_a_full_router_is_answered_in_time() {
    let (primary, replica) = (Host::start(true), Host::scripted(false, &vec![HostReply::Silent; 200]));
    primary.script.lock().expect("script").replies.extend(vec![HostReply::Silent; 200]);
    let router = Router::start_with_hosts(&primary, &[&replica]);
    let busy: Vec<Client> = (0..60)
        .map(|_| {
            let mut client = Client::connect(router.address);
            client.send(&[sandstile_router::pg::startup_message(), query(&read(2000))].concat());
            client
        })
        .collect();
    thread::sleep(Duration::from_millis(100));
    let late: Vec<_> = (0..20)
        .map(|_| {
            let address = router.address;
            thread::spawn(move || {
                let mut client = Client::connect(address);
                client.send(&[sandstile_router::pg::startup_message(), query(&read(400))].concat());
                let begun = Instant::now();
                let greeted = client.answer();
                (greeted, client.answer(), begun.elapsed())
            })
        })
        .collect();
    for client in late {
        let (greeted, answer, took) = client.join().expect("a client");
        assert!(greeted.ready && answer.code.is_some(), "{answer:?} after {took:?}");
        assert!(took < Duration::from_millis(400) + GRACE, "{answer:?} after {took:?}");
    }
    drop(busy);
}

/// Guards against connections being dated back to the last moment at which the queue was empty, however many have
/// been accepted since.
#[test]
fn connection_age_is_bounded_by_the_length_of_a_queue_that_is_never_empty() {
    let poll = Poll::new().expect("readiness");
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().expect("bound");
    let (began, interval) = (1_000.0, 0.01);
    let mut listener = Listener::new(poll.registry(), Token(0), socket, began).expect("a listener");
    let connect = || TcpStream::connect(address).expect("room in the queue");
    let mut clients: Vec<TcpStream> = (0..3).map(|_| connect()).collect();
    let mut age = 0.0;
    for n in 0..400 {
        let now = began + f64::from(n) * interval;
        clients.push(connect());
        let AcceptResult::Connection(_, since) = listener.accept(poll.registry(), now) else {
            panic!("a connection is waiting")
        };
        age = now - since;
        assert!(
            age >= 2.9 * interval || n < 3,
            "{n}: three connections arrived before it, so it may be this old"
        );
    }
    // Allows for the length of the queue and for the interval between recorded timestamps.
    assert!(age <= 150.0 * interval, "its age is taken as {age:.2} s");
}

fn long_list(hosts: usize) -> String {
    let entries: Vec<String> = (0..hosts)
        .map(|n| {
            let address = format!("127.99.{}.{}:5433", n / 250, n % 250 + 1);
            entry(&format!("s-{n:0150}"), address.parse().expect("an address"), n % 7 == 0, "active")
        })
        .collect();
    list(42, true, &entries)
}

fn indented(text: &str) -> String {
    let json: serde_json::Value = serde_json::from_str(text).expect("a list");
    serde_json::to_string_pretty(&json).expect("text") + "\n\n"
}

/// Guards against a list of thousands of hosts being rejected because its indented form exceeds the length limit.
#[test]
fn an_indented_list_of_thousands_of_hosts_is_accepted() {
    let primary = Host::start(true);
    let agent = DiscoveryAgent::start();
    let router = Router::start(&config(agent.address, &known(&primary, &[])));
    let mut watch = agent.watch();
    watch.begin();
    let text = indented(&long_list(3_200));
    assert!(text.len() > 1024 * 1024);
    for piece in text.as_bytes().chunks(16 * 1024) {
        watch.chunk(std::str::from_utf8(piece).expect("text"));
    }
    thread::sleep(Duration::from_millis(1500));
    let (ok, log) = router.end();
    assert!(ok && count(&log, "bad_lists") == 0, "{log}");
    assert!(count(&log, "hosts") >= 3_200, "{} hosts", count(&log, "hosts"));
}

/// Guards against a long list being requested again and again because it takes longer to arrive than the silence
/// limit of a watch.
#[test]
fn a_long_list_that_arrives_slowly_is_accepted() {
    let primary = Host::start(true);
    let agent = DiscoveryAgent::start();
    let router = Router::start(&config(agent.address, &known(&primary, &[])));
    let mut watch = agent.watch();
    watch.begin();
    for piece in indented(&long_list(3_200)).as_bytes().chunks(80 * 1024) {
        watch.chunk(std::str::from_utf8(piece).expect("text"));
        thread::sleep(Duration::from_millis(300));
    }
    thread::sleep(Duration::from_millis(500));
    let (ok, log) = router.end();
    assert!(ok && count(&log, "hosts") >= 3_200, "{} hosts", count(&log, "hosts"));
    assert_eq!(count(&log, "watches"), 1);
}

/// Guards against an incomplete list being parsed again with each piece that arrives: it must cost no more than its
/// bytes.
#[test]
fn lists_are_reassembled_from_pieces_and_syntax_errors_are_reported_early() {
    let text = indented(&long_list(40)) + &long_list(3) + "\n\n" + &indented(&list(44, false, &[]));
    for piece_length in [1, 7, 100, 4096, text.len()] {
        let mut stream = ListStream::default();
        let (mut lists, mut empty_lines) = (Vec::new(), 0);
        for piece in text.as_bytes().chunks(piece_length) {
            stream.buffer().extend_from_slice(piece);
            while let Some(item) = stream.next_item().expect("lists") {
                match item {
                    WatchItem::List(json) => lists.push(json["endpoints"].as_array().map_or(0, Vec::len)),
                    WatchItem::EmptyLine => empty_lines += 1,
                }
            }
        }
        assert_eq!(lists, [40, 3, 0], "pieces of {piece_length} bytes");
        assert!(empty_lines >= 3 && stream.buffered_bytes() == 0, "pieces of {piece_length} bytes");
    }
    let mut stream = ListStream::default();
    stream.buffer().extend_from_slice(b"no list");
    assert!(stream.next_item().is_err());
    let mut stream = ListStream::default();
    stream.buffer().extend_from_slice(b"{\"a\" 1,".repeat(1_000).as_slice());
    assert!(stream.next_item().is_err(), "a syntax error is reported although its braces never close");
}

/// Guards against a whole list being processed anew although next to nothing in it has changed.
#[test]
fn a_whole_list_is_forwarded_as_its_changes_in_chunks() {
    let read = |text: &str| lists::parse(&serde_json::from_str(text).expect("json")).expect("a list").0;
    let mut known = KnownHosts::default();
    let first = known.changes(read(&long_list(100)));
    assert!(first.iter().all(|piece| piece.entries.len() <= 32 && !piece.is_snapshot));
    assert_eq!(first.iter().map(|piece| piece.entries.len()).sum::<usize>(), 100);
    let unchanged = known.changes(read(&long_list(100)));
    assert_eq!((unchanged.len(), unchanged[0].entries.len(), unchanged[0].index), (1, 0, 42));
    let shorter = known.changes(read(&long_list(99)));
    let removed: Vec<_> = shorter[0].entries.iter().map(|e| (e.host.as_str(), e.readiness)).collect();
    assert_eq!(removed, [(format!("s-{:0150}", 99).as_str(), Readiness::Gone)]);
    assert_eq!(shorter[0].addresses.len(), 1);
    assert!(known.changes(read(&long_list(99)))[0].entries.is_empty(), "a removed host is reported once");
}

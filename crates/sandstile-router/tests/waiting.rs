//! No connection and no request waits for all of its time unseen: in the listen queue, behind others, or for a list.
#[allow(dead_code)]
mod stand_ins;

use mio::{Poll, Token};
use sandstile_policy::terms::Readiness;
use sandstile_router::known_hosts::KnownList;
use sandstile_router::list_stream::{Heard, ListStream};
use sandstile_router::listener::{Accepted, Listener};
use sandstile_router::lists;
use stand_ins::*;
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Seconds after its time in which a request may still get its final answer.
const GRACE: Duration = Duration::from_millis(500);

/// Guards against requests that wait unread in the listen queue while all connections that are in are busy.
#[test]
fn a_request_behind_a_full_house_gets_its_answer_in_its_time() {
    let (primary, replica) = (Host::start(true), Host::scripted(false, &vec![HostReply::Silent; 200]));
    primary.script.lock().expect("script").acts.extend(vec![HostReply::Silent; 200]);
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

/// Guards against connections taken to be as old as the queue's last empty moment, however many came out since.
#[test]
fn what_comes_out_of_a_queue_that_is_never_empty_is_as_old_as_its_place_there() {
    let poll = Poll::new().expect("readiness");
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().expect("bound");
    let (began, apart) = (1_000.0, 0.01);
    let mut listener = Listener::new(poll.registry(), Token(0), socket, began).expect("a listener");
    let connect = || TcpStream::connect(address).expect("room in the queue");
    let mut clients: Vec<TcpStream> = (0..3).map(|_| connect()).collect();
    let mut age = 0.0;
    for n in 0..400 {
        let now = began + f64::from(n) * apart;
        clients.push(connect());
        let Accepted::Connection(_, since) = listener.accept(poll.registry(), now) else {
            panic!("one waits")
        };
        age = now - since;
        assert!(age >= 2.9 * apart || n < 3, "{n}: three came before it, and it may have come no later");
    }
    // The queue's bound, and the times that are kept.
    assert!(age <= 150.0 * apart, "taken to be {age:.2} s old");
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

/// Guards against a list of thousands of hosts that is never taken, as its indented form is longer than was allowed for.
#[test]
fn an_indented_list_of_thousands_of_hosts_is_taken() {
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

/// Guards against a long list asked for again and again, as it takes longer to come than a watch may be silent.
#[test]
fn a_long_list_that_comes_slowly_is_taken() {
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

/// Guards against lists read anew with each piece that comes: what is not whole costs no more than its bytes.
#[test]
fn lists_come_out_of_pieces_as_they_went_in_and_nonsense_is_told_early() {
    let text = indented(&long_list(40)) + &long_list(3) + "\n\n" + &indented(&list(44, false, &[]));
    for cut in [1, 7, 100, 4096, text.len()] {
        let mut stream = ListStream::default();
        let (mut lists, mut lines) = (Vec::new(), 0);
        for piece in text.as_bytes().chunks(cut) {
            stream.content().extend_from_slice(piece);
            while let Some(heard) = stream.take().expect("lists") {
                match heard {
                    Heard::List(json) => lists.push(json["endpoints"].as_array().map_or(0, Vec::len)),
                    Heard::EmptyLine => lines += 1,
                }
            }
        }
        assert_eq!(lists, [40, 3, 0], "cut {cut}");
        assert!(lines >= 3 && stream.held() == 0, "cut {cut}");
    }
    let mut stream = ListStream::default();
    stream.content().extend_from_slice(b"no list");
    assert!(stream.take().is_err());
    let mut stream = ListStream::default();
    stream.content().extend_from_slice(b"{\"a\" 1,".repeat(1_000).as_slice());
    assert!(stream.take().is_err(), "though its braces never close");
}

/// Guards against a whole list that is worked through anew though next to nothing in it has changed.
#[test]
fn a_whole_list_is_told_on_as_what_has_changed_in_pieces() {
    let read = |text: &str| lists::read(&serde_json::from_str(text).expect("json")).expect("a list").0;
    let mut known = KnownList::default();
    let first = known.changes(read(&long_list(100)));
    assert!(first.iter().all(|piece| piece.entries.len() <= 32 && !piece.is_snapshot));
    assert_eq!(first.iter().map(|piece| piece.entries.len()).sum::<usize>(), 100);
    let same = known.changes(read(&long_list(100)));
    assert_eq!((same.len(), same[0].entries.len(), same[0].index), (1, 0, 42));
    let shorter = known.changes(read(&long_list(99)));
    let left: Vec<_> = shorter[0].entries.iter().map(|e| (e.host.as_str(), e.readiness)).collect();
    assert_eq!(left, [(format!("s-{:0150}", 99).as_str(), Readiness::Gone)]);
    assert_eq!(shorter[0].addresses.len(), 1);
    assert!(known.changes(read(&long_list(99)))[0].entries.is_empty(), "told once");
}

//! The end of a router that its clients try to prolong: it ends by itself before the platform kills it, and what it
//! has read is answered.
#[allow(dead_code)]
mod test_doubles;

use sandstile_router::pg;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use test_doubles::*;

/// The longest deadline of the test configuration and 0.7 s: the platform kills no earlier.
const KILLED_AFTER: Duration = Duration::from_millis(2_700);
/// Commands that a pipelining client keeps outstanding, and after how many answers it sends more.
const OUTSTANDING: u64 = 8;
const ANSWERS_PER_REFILL: u64 = 4;

/// Ends the router, which has to end before the platform would kill it, and returns its log.
fn end_in_time(mut router: Router) -> String {
    router.signal("TERM");
    let killed_at = Instant::now() + KILLED_AFTER;
    let output = router.child.stderr.take().expect("a pipe");
    let log = thread::spawn(move || std::io::read_to_string(output).expect("text"));
    let mut ended = None;
    while ended.is_none() && Instant::now() < killed_at {
        ended = router.child.try_wait().expect("a child process");
        thread::sleep(Duration::from_millis(2));
    }
    drop(router);
    let log = log.join().expect("a reader");
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}: {log}");
    log
}

/// Statements that the router has answered, and those that it has read.
fn answered_and_taken(log: &str) -> (u64, u64) {
    let answered = count(log, "completed") + count(log, "rejected") + count(log, "aborted");
    (answered, count(log, "taken"))
}

/// Keeps commands outstanding until the router closes; returns the number of whole answers.
fn keep_outstanding(mut client: Client, answered_some: Arc<AtomicBool>) -> JoinHandle<u64> {
    thread::spawn(move || {
        let (mut answers, mut sent) = (0, 0);
        loop {
            while sent < answers + OUTSTANDING && client.stream.write_all(&query(&read(1500))).is_ok() {
                sent += 1;
            }
            for _ in 0..ANSWERS_PER_REFILL {
                if !client.answer().ready {
                    return answers;
                }
                answers += 1;
            }
            answered_some.store(true, SeqCst);
        }
    })
}

/// Guards against a router that never ends because a client always has another command on the way: its SIGKILL would
/// find requests that were read and not answered.
#[test]
fn clients_that_keep_commands_outstanding_do_not_keep_the_router_from_ending() {
    let (primary, replica) = (Host::start(true), Host::start(false));
    replica.script.lock().expect("script").replies.extend(vec![HostReply::Slow(5, b"slow"); 100_000]);
    let router = Router::start_with_hosts(&primary, &[&replica]);
    let answered_some: Vec<Arc<AtomicBool>> = (0..3).map(|_| Arc::default()).collect();
    let clients: Vec<JoinHandle<u64>> =
        answered_some.iter().map(|some| keep_outstanding(router.client(), some.clone())).collect();
    wait_for("answers", || answered_some.iter().all(|some| some.load(SeqCst)));
    let log = end_in_time(router);
    let received: u64 = clients.into_iter().map(|client| client.join().expect("a client")).sum();
    let (answered, taken) = answered_and_taken(&log);
    assert_eq!(
        (answered, received),
        (taken, taken),
        "what was read is answered, and no answer is cut: {log}"
    );
    assert!(count(&log, "drained") >= 1, "{log}");
}

/// Guards against an end that a client can put off: by a time limit of a day, by an answer that it does not read, by
/// a command that it never completes, by connecting and leaving its side open.
#[test]
fn no_client_decides_when_the_router_ends() {
    const DAY_MS: u32 = 86_400_000;
    let long: &'static [u8] = vec![7; 64 * 1024].leak();
    let (primary, replica) = (Host::scripted(true, &[HostReply::Silent]), Host::start(false));
    replica.script.lock().expect("script").replies.extend(vec![HostReply::Row(long); 400]);
    let router = Router::start_with_hosts(&primary, &[&replica]);
    let (mut patient, mut unread, mut partial) = (router.client(), router.client(), router.client());
    patient.send(&query(&write(DAY_MS)));
    wait_for("the write", || primary.count() == 1);
    unread.stream.set_nonblocking(true).expect("a socket");
    let flood: Vec<u8> = (0..400).flat_map(|_| query(&read(DAY_MS))).collect();
    let _ = unread.stream.write(&flood);
    wait_for("answers that fill the socket", || {
        let before = replica.count();
        thread::sleep(Duration::from_millis(100));
        before > 10 && replica.count() == before
    });
    assert_eq!(value(&partial.ask(&write(800))), b"primary");
    partial.send(&query(&write(DAY_MS))[..30]);
    let address = router.address;
    let crowd = thread::spawn(move || {
        let mut crowd = Vec::new();
        while let Ok(stream) = TcpStream::connect(address) {
            let _ = (&stream).write_all(&pg::startup_message()[..5]);
            crowd.push(stream);
        }
        crowd
    });
    let log = end_in_time(router);
    assert_eq!(patient.answer().code.as_deref(), Some("57014"), "it may have run");
    assert!(partial.answer().code.is_some(), "a command read in part gets an error");
    assert!(count(&log, "refused_at_shutdown") >= 1 && count(&log, "ClientCutOff") >= 1, "{log}");
    drop(crowd.join().expect("a crowd"));
}

/// Guards against answers that a close over unread commands resets on their way: a client that reads slowly gets
/// every answer to what was read, and then the end of the stream.
#[test]
fn a_slow_reader_gets_every_answer_before_its_connection_ends() {
    let long: &'static [u8] = vec![7; 32 * 1024].leak();
    let (primary, replica) = (Host::start(true), Host::start(false));
    replica.script.lock().expect("script").replies.extend(vec![HostReply::Row(long); 2000]);
    let router = Router::start_with_hosts(&primary, &[&replica]);
    let mut client = router.client();
    // More than the connection reads ahead: the rest stays in the socket.
    client.send(&(0..200).flat_map(|_| query(&read(1900))).collect::<Vec<u8>>());
    wait_for("some answers", || replica.count() > 5);
    router.signal("TERM");
    wait_for("the end of the listener", || TcpStream::connect(router.address).is_err());
    let mut answers = 0;
    while client.answer().ready {
        answers += 1;
        thread::sleep(Duration::from_millis(3));
    }
    let (ok, log) = router.end();
    let (answered, taken) = answered_and_taken(&log);
    assert!(ok && (answered, answers) == (taken, taken), "{answers} of {taken} answers: {log}");
}

/// Guards against clients that send one command at a time losing anything at a shutdown: each command is answered, or
/// its connection ends without any of its bytes having been read.
#[test]
fn clients_with_one_command_at_a_time_lose_nothing_at_the_end() {
    let (primary, replica) = (Host::start(true), Host::start(false));
    let router = Router::start_with_hosts(&primary, &[&replica]);
    let started: Arc<AtomicBool> = Arc::default();
    let clients: Vec<JoinHandle<u64>> = (0..4)
        .map(|_| {
            let (mut client, started) = (router.client(), started.clone());
            thread::spawn(move || {
                let mut answers = 0;
                while client.stream.write_all(&query(&read(1500))).is_ok() && client.answer().value.is_some()
                {
                    answers += 1;
                    started.store(true, SeqCst);
                }
                let _ = client.stream.shutdown(Shutdown::Both);
                answers
            })
        })
        .collect();
    wait_for("answers", || started.load(SeqCst));
    let log = end_in_time(router);
    let received: u64 = clients.into_iter().map(|client| client.join().expect("a client")).sum();
    assert_eq!((count(&log, "completed"), count(&log, "taken")), (received, received), "{log}");
}

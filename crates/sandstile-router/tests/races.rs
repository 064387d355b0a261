//! Races between pairs of events; each order is forced by a barrier or by what a test double waits for. They
//! are listed in `docs/design/crossings.md`.
#[allow(dead_code)]
mod test_doubles;

use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};
use test_doubles::*;

/// Guards against the time limit of a pipelined statement being counted from the answer before it: the client
/// counts from its sending.
#[test]
fn a_pipelined_statement_is_answered_within_its_own_time_limit() {
    let primary = Host::scripted(true, &[HostReply::Slow(300, b"first"), HostReply::Silent]);
    let router = Router::start_with_hosts(&primary, &[]);
    let mut client = router.client();
    let begun = Instant::now();
    client.send(&[query(&write(700)), query(&write(700))].concat());
    assert_eq!(value(&client.answer()), b"first");
    let response = client.answer();
    let took = begun.elapsed();
    assert!(response.ready && response.code.as_deref() == Some("57014"), "{response:?}");
    assert!(took < Duration::from_millis(950), "{took:?}");
}

/// Guards against unread commands hiding the end of a connection: a client that fills its connection with commands
/// and disconnects is noticed at once.
#[test]
fn a_client_that_disconnects_with_unread_commands_is_noticed() {
    let primary = Host::scripted(true, &[HostReply::Silent]);
    let router = Router::start_with_hosts(&primary, &[]);
    let mut leaving_client = router.client();
    let burst: Vec<u8> = (0..100).flat_map(|_| query(&write(1900))).collect();
    leaving_client.send(&burst);
    wait_for("the first write", || primary.count() == 1);
    let left = Instant::now();
    drop(leaving_client);
    wait_for("the cancellation", || primary.ended.load(SeqCst) == 1);
    assert!(left.elapsed() < Duration::from_millis(1500), "{:?}", left.elapsed());
    // None of the unread commands was started: the next query at the host is another client's.
    let mut other = router.client();
    assert_eq!(value(&other.ask(&write(800))), b"primary");
    assert_eq!(primary.count(), 2);
    let (ok, log) = router.end();
    assert!(ok && (count(&log, "taken"), count(&log, "clients_gone")) == (2, 1), "{log}");
}

/// Guards against good statements being lost behind a malformed one, or behind one without time left, on the same
/// connection.
#[test]
fn statements_behind_a_malformed_one_are_answered() {
    let primary = Host::start(true);
    let router = Router::start_with_hosts(&primary, &[]);
    let mut client = router.client();
    let late = write(0);
    client.send(&[query("SELECT 1"), query(&late), query(&write(800))].concat());
    let response = client.answer();
    assert!(response.ready && response.code.as_deref() == Some("42601"), "{response:?}");
    let response = client.answer();
    assert!(response.ready && response.code.as_deref() == Some("53300"), "{response:?}");
    assert_eq!(value(&client.answer()), b"primary");
    assert_eq!(primary.count(), 1, "no execution starts after its time limit");
}

/// Guards against statements routed by the old list of the launch configuration: no client is accepted before
/// discovery's first list. Clients must not wait in the listen queue meanwhile either, as their statements' time
/// runs there.
#[test]
fn no_client_is_accepted_before_the_agents_first_list() {
    let (primary, replica) = (Host::start(true), Host::start(false));
    let agent = DiscoveryAgent::start();
    let text = config(agent.address, &known(&primary, &[&replica]));
    // On a machine that delays this test, the half second may be over at the check: then it is repeated.
    let (router, mut watch) = loop {
        let begun = Instant::now();
        let (router, watch) = (Router::spawn(&text), agent.watch());
        let refused = std::net::TcpStream::connect(router.address).is_err();
        if begun.elapsed() < Duration::from_millis(450) {
            assert!(refused, "accepted with an old list");
            break (router, watch);
        }
    };
    watch.begin();
    watch.chunk(&(list(42, false, &[entry("s-1", replica.address, false, "leaving")]) + "\n"));
    wait_for("a router", || std::net::TcpStream::connect(router.address).is_ok());
    assert_eq!(value(&router.client().ask(&read(1900))), b"primary");
    assert_eq!(replica.count(), 0);
}

/// Guards against a router that waits for discovery without end: a silent agent must not keep it from serving.
#[test]
fn a_router_serves_by_its_configured_list_where_the_agent_is_silent() {
    let primary = Host::start(true);
    let agent = DiscoveryAgent::start();
    let begun = Instant::now();
    let router = Router::start(&config(agent.address, &known(&primary, &[])));
    let mut client = router.client();
    assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
    assert_eq!(value(&client.ask(&write(800))), b"primary");
}

/// Guards against lists being split at line ends: a list may be indented over several lines and arrive in any
/// pieces.
#[test]
fn a_list_over_many_lines_is_one_list() {
    let (old, new) = (Host::start(true), Host::scripted(true, &[HostReply::Row(b"new")]));
    let agent = DiscoveryAgent::start();
    let router = Router::start(&config(agent.address, &known(&old, &[])));
    let mut watch = agent.watch();
    watch.begin();
    watch.chunk(&(list(41, false, &[]) + "\n"));
    let json: serde_json::Value =
        serde_json::from_str(&list(42, true, &[entry("s-9", new.address, true, "active")])).expect("a list");
    let text = serde_json::to_string_pretty(&json).expect("text") + "\n\n";
    assert!(text.lines().count() > 10);
    for piece in text.as_bytes().chunks(37) {
        watch.chunk(std::str::from_utf8(piece).expect("text"));
    }
    let mut client = router.client();
    wait_for("the new host", || value(&client.ask(&write(800))) != b"primary");
    let (ok, log) = router.end();
    assert!(ok && count(&log, "bad_lists") == 0 && count(&log, "watches") == 1, "{log}");
}

/// Guards against single bytes counting as a sign of life: a watch that sends nothing complete is reopened in time.
#[test]
fn a_watch_that_trickles_bytes_is_reopened() {
    let primary = Host::start(true);
    let agent = DiscoveryAgent::start();
    let router = Router::start(&config(agent.address, &known(&primary, &[])));
    let mut watch = agent.watch();
    watch.begin();
    watch.chunk(&(list(41, false, &[]) + "\n"));
    let begun = Instant::now();
    let trickle = std::thread::spawn(move || {
        while begun.elapsed() < Duration::from_secs(8) && watch.send_blank() {
            std::thread::sleep(Duration::from_millis(100));
        }
        begun.elapsed()
    });
    let reopened_watch = agent.watch();
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
    assert!(reopened_watch.request.contains("since=41"));
    assert!(trickle.join().expect("a watch") < Duration::from_secs(7), "the previous watch was left open");
    drop(router);
}

/// Guards against a statement being started after its client has disconnected while it waited for a connection,
/// even where executions may not be cancelled.
#[test]
fn a_statement_that_waits_for_a_connection_is_dropped_with_its_client() {
    let primary = Host::scripted(true, &[HostReply::Slow(340, b"first")]);
    primary.script.lock().expect("script").startups_to_answer = Some(1);
    let text = config(DiscoveryAgent::start().address, &known(&primary, &[]))
        .replace("\"probes\":true", "\"probes\":false")
        .replace("\"mayCancel\":true", "\"mayCancel\":false")
        .replace("\"dialTimeoutMs\":250.0", "\"dialTimeoutMs\":1500.0");
    let router = Router::start(&text);
    let (mut first, mut leaving_client) = (router.client(), router.client());
    first.send(&query(&write(1500)));
    wait_for("the first write", || primary.count() == 1);
    leaving_client.send(&query(&write(1500)));
    wait_for("the dial for the second", || primary.accepted.load(SeqCst) == 2);
    drop(leaving_client);
    assert_eq!(value(&first.answer()), b"first");
    assert_eq!(value(&first.ask(&write(1500))), b"primary");
    assert_eq!(primary.count(), 2, "started for a client that had disconnected");
    let (ok, log) = router.end();
    assert!(ok && (count(&log, "clients_gone"), count(&log, "WithdrawnUnsent")) == (1, 1), "{log}");
}

/// Guards against an overloaded discovery being kept overloaded by hundreds of routers: refused requests are
/// repeated at growing intervals, but often enough that no change counts as received unread.
#[test]
fn refused_discovery_requests_are_repeated_at_growing_intervals() {
    let primary = Host::start(true);
    let agent = DiscoveryAgent::start();
    let text = config(agent.address, &known(&primary, &[]));
    let router = Router::start(&text.replace("\"discovery\":\"pushed\"", "\"discovery\":\"on_request\""));
    let mut calls = vec![Instant::now()];
    while calls[0].elapsed() < Duration::from_secs(8) {
        agent.watch().raw(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        calls.push(Instant::now());
    }
    let longest = calls.windows(2).map(|w| w[1] - w[0]).max().expect("calls");
    assert!(longest < Duration::from_secs(4), "{longest:?}");
    assert!((4..=14).contains(&calls.len()), "{} calls in 8 s", calls.len());
    drop(router);
}

/// Guards against a command being lost that is half received when the window after SIGTERM closes: the rest is read
/// and answered.
#[test]
fn a_half_received_command_is_answered_after_the_shutdown_window() {
    let primary = Host::start(true);
    let router = Router::start_with_hosts(&primary, &[]);
    let (mut half, mut idle) = (router.client(), router.client());
    assert_eq!(value(&half.ask(&write(800))), b"primary");
    assert_eq!(value(&idle.ask(&write(800))), b"primary");
    let command = query(&write(800));
    half.send(&command[..30]);
    router.signal("TERM");
    // The idle one is closed, and by then the other one would have been closed too.
    assert_eq!(idle.answer(), QueryResponse::default());
    half.send(&command[30..]);
    assert_eq!(value(&half.answer()), b"primary");
    assert_eq!(half.answer(), QueryResponse::default(), "and then it is closed like any other");
    let (ok, log) = router.end();
    assert!(ok && (count(&log, "taken"), count(&log, "completed")) == (3, 3), "{log}");
}

/// Guards against a failed exit where SIGTERM arrives before the first list: no client has been accepted, and the
/// router exits with success.
#[test]
fn sigterm_before_the_first_list_exits_with_success() {
    let primary = Host::start(true);
    let agent = DiscoveryAgent::start();
    let mut router = Router::spawn(&config(agent.address, &known(&primary, &[])));
    let _silent = agent.watch();
    router.signal("TERM");
    assert!(router.child.wait().expect("an end").success());
    assert_eq!(primary.accepted.load(SeqCst), 0);
}

/// Guards against effects of a killed process on its successor: the host gets no query on behalf of the dead
/// process, and the first statement of the new one is served.
#[test]
fn a_restarted_process_is_not_affected_by_statements_of_the_killed_one() {
    let primary = Host::scripted(true, &[HostReply::Silent]);
    let text = config(DiscoveryAgent::start().address, &known(&primary, &[]));
    let mut killed_router = Router::start(&text);
    let mut client = killed_router.client();
    client.send(&query(&write(1900)));
    wait_for("the write", || primary.count() == 1);
    killed_router.child.kill().expect("a child process");
    wait_for("the end of its connections", || primary.ended.load(SeqCst) == primary.accepted.load(SeqCst));
    assert_eq!(client.answer(), QueryResponse::default());
    let router = Router::start(&text);
    assert_eq!(value(&router.client().ask(&write(800))), b"primary");
    assert_eq!(primary.count(), 2);
}

/// Guards against an answer being dropped that is already in the socket when its execution is cancelled: nobody
/// would know whether the statement ran.
#[test]
fn an_answer_received_before_its_cancellation_counts() {
    let primary = Host::scripted(true, &[HostReply::Row(b"came")]);
    let mut driver = HostsDriver::new(primary.address, 1.0);
    driver.start(7);
    // Polls until the statement is written; from then on no event of the socket is delivered.
    wait_for("the statement at its host", || {
        driver.dial();
        if primary.count() == 0 {
            driver.turn();
            driver.hosts.start_waiting(&mut |_, _, _| true, &mut driver.context);
        }
        primary.count() == 1
    });
    wait_for("the answer in the socket", || primary.answered.load(SeqCst) == 1);
    let cancel = sandstile_dispatcher::Command::Cancel { host: 0, statement_id: 7, execution: 0 };
    driver.hosts.handle_command(cancel, &mut driver.context);
    assert_eq!(driver.ending(), Some((7, sandstile_dispatcher::Ending::Completed)));
}

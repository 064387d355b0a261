//! Replication in virtual time: restarts, partitions, peers that die during a comparison, overload, and malicious
//! peers.
use sandstile_replicated_state::catchup::{SyncState, Trust};
use sandstile_replicated_state::fact::Report;
use sandstile_replicated_state::{wire, Fact, Key, Kind, Message, Value};
use sandstile_replication::sim::{Net, Sim};
use sandstile_replication::{select_neighbours, ReplicationEvent, ReplicationPeer, ReplicationSettings};
use sandstile_sessions::mark::{Mark, SessionMarks, Term};
use std::collections::BTreeSet;

const START: f64 = 1_000_000.0;
const NETWORK: Net = Net { delay: 0.002, jitter: 0.002, loss: 0.0 };

fn mark_value(position: f64) -> Value {
    Value::SessionMarks(SessionMarks::of(Mark { term: Term(1), position }))
}

fn write(sim: &mut Sim, node: usize, session: usize) {
    let now = sim.now();
    if let Some(replication) = sim.replication(node) {
        replication.learn(now, Kind::Mark, &format!("{session:016x}"), mark_value(now));
    }
}

fn fleet(n: usize, net: Net, seed: u64) -> Sim {
    let mut sim = Sim::new(n, net, 300.0, seed, START);
    for node in 0..n {
        sim.start(node, Vec::new(), Trust::None, None);
        sim.run(START + 0.02 * (node + 1) as f64);
    }
    sim.run(START + 10.0);
    sim
}

/// Writes to the given nodes in turn, each write in a session of its own, `rate` a second.
fn write_for(sim: &mut Sim, seconds: f64, rate: usize, first_session: usize, nodes: &[usize]) {
    for n in 0..(seconds * rate as f64) as usize {
        write(sim, nodes[n % nodes.len()], first_session + n);
        let next = sim.now() + 1.0 / rate as f64;
        sim.run(next);
    }
}

fn advance(sim: &mut Sim, seconds: f64) {
    let until = sim.now() + seconds;
    sim.run(until);
}

#[test]
fn a_router_that_lost_its_copy_is_soon_in_sync_with_few_comparisons() {
    let mut sim = fleet(5, NETWORK, 1);
    write_for(&mut sim, 10.0, 400, 0, &[0, 1, 2, 3, 4]);
    sim.kill(2);
    write_for(&mut sim, 1.0, 400, 10_000, &[0, 1, 3, 4]);
    let bytes_before: u64 = sim.bytes_sent.iter().sum();
    sim.start(2, Vec::new(), Trust::None, None);
    advance(&mut sim, 1.0);
    assert!(sim.in_sync(2), "{:?}", sim.view(2).map(|s| s.replication.sync_state()));
    // It announces its generation once it is in sync.
    advance(&mut sim, 0.5);
    assert!(sim.all_equal());
    let compared: BTreeSet<_> = sim
        .view(2)
        .expect("the node runs")
        .events
        .iter()
        .filter_map(|(_, n)| match n {
            ReplicationEvent::PeerCompared(peer) => Some(peer.clone()),
            _ => None,
        })
        .collect();
    assert!(compared.len() <= 3, "{compared:?}");
    // 4,400 facts of about 50 bytes from two peers, with their sums and hashes; the restarted router does not send
    // them on as deltas.
    let bytes = sim.bytes_sent.iter().sum::<u64>() - bytes_before;
    assert!(bytes < 2_000_000, "{bytes} bytes");
}

/// Both sides write during a partition. After it each connection brings what its peer missed, and comparisons find
/// nothing more.
#[test]
fn a_split_heals_within_two_seconds() {
    for (n, seed) in [(5, 1), (5, 2), (16, 3)] {
        let mut sim = fleet(n, Net { loss: 0.05, ..NETWORK }, seed);
        let all: Vec<usize> = (0..n).collect();
        write_for(&mut sim, 3.0, 200, 0, &all);
        sim.set_partition(true, |node| usize::from(node >= n / 2));
        write_for(&mut sim, 12.0, 200, 10_000, &all);
        assert!(!sim.all_equal());
        assert!(
            !sim.in_sync(0) || n > 8,
            "a node that cannot compare with the other side must not be in sync"
        );
        sim.set_partition(false, |node| usize::from(node >= n / 2));
        advance(&mut sim, 2.0);
        assert!(sim.all_equal(), "{n} routers");
    }
}

#[test]
fn peers_that_die_during_a_comparison_are_replaced() {
    let mut sim = fleet(5, Net { delay: 0.05, ..NETWORK }, 4);
    write_for(&mut sim, 10.0, 400, 0, &[0, 1, 2, 3, 4]);
    sim.kill(0);
    sim.start(0, Vec::new(), Trust::None, None);
    // During the comparison.
    advance(&mut sim, 0.4);
    assert!(!sim.in_sync(0));
    sim.kill(1);
    sim.kill(2);
    advance(&mut sim, 6.0);
    assert!(sim.in_sync(0) && sim.all_equal());
}

#[test]
fn simultaneous_restarts_overload_no_peer() {
    let mut sim = fleet(16, NETWORK, 5);
    write_for(&mut sim, 10.0, 400, 0, &(0..16).collect::<Vec<_>>());
    let killed: Vec<usize> = (0..11).collect();
    killed.iter().for_each(|n| drop(sim.kill(*n)));
    advance(&mut sim, 1.0);
    let before = sim.bytes_sent.clone();
    for n in &killed {
        sim.start(*n, Vec::new(), Trust::None, None);
    }
    advance(&mut sim, 3.0);
    assert!((0..16).all(|n| sim.in_sync(n)), "all nodes");
    advance(&mut sim, 0.5);
    assert!(sim.all_equal());
    // 4,000 facts go to eleven nodes, from two peers each. None of the five that stayed up sends more than three
    // fifths of the total.
    let sent: Vec<u64> = (11..16).map(|n| sim.bytes_sent[n] - before[n]).collect();
    let (maximum, total) = (sent.iter().max().copied().unwrap_or(0), sent.iter().sum::<u64>());
    assert!(maximum * 5 < total * 3, "{sent:?}");
}

#[test]
fn without_peers_it_reports_isolated() {
    let mut sim = Sim::new(3, NETWORK, 300.0, 6, START);
    sim.start(0, Vec::new(), Trust::None, None);
    sim.run(START + 4.0);
    assert_eq!(sim.view(0).map(|s| s.replication.sync_state()), Some(SyncState::Isolated));
    sim.start(1, Vec::new(), Trust::None, None);
    sim.run(START + 8.0);
    assert!(sim.in_sync(0) && sim.in_sync(1));
}

/// A copy of the generation before last is restored together with its witness. Nothing on the disk shows it; the
/// peers do.
#[test]
fn an_old_copy_is_detected_by_the_generations_that_peers_met() {
    let mut sim = fleet(3, NETWORK, 7);
    let (first, old) = sim.kill(1).expect("the node runs");
    sim.start(1, old.clone(), Trust::All, Some(first));
    advance(&mut sim, 6.0);
    let has_old_copy_event = |sim: &Sim| {
        sim.view(1)
            .expect("the node runs")
            .events
            .iter()
            .any(|(_, n)| matches!(n, ReplicationEvent::OldCopy { .. }))
    };
    assert!(!has_old_copy_event(&sim), "the copy of the latest generation is not outdated");
    sim.kill(1);
    sim.start(1, old, Trust::All, Some(first));
    advance(&mut sim, 2.0);
    assert!(has_old_copy_event(&sim));
}

fn new_peer(name: &str, now: f64) -> ReplicationPeer {
    let settings = ReplicationSettings {
        name: name.to_string(),
        generation: (now * 1e6) as u64,
        max_replica_lag: 300.0,
        seed: 1,
        stored: Vec::new(),
        trust: Trust::None,
        stored_generation: None,
    };
    ReplicationPeer::new(settings, now)
}

/// A comparison that is never answered times out even while deltas keep arriving, and one starts only with a peer
/// that has been heard from.
#[test]
fn a_comparison_without_an_answer_times_out() {
    let mut replication = new_peer("a", START);
    replication.peer_connected(START, "b#1");
    let mut started = 0;
    replication.tick(START);
    let count_roots = |outgoing: &[(String, Vec<u8>)]| {
        outgoing.iter().filter(|(_, m)| matches!(wire::decode(m, START), Some((Message::Root(_), _)))).count()
    };
    assert_eq!(
        count_roots(&replication.take_outgoing(START)),
        0,
        "the peer has not been heard from, so it would not answer"
    );
    for n in 0..100 {
        let now = START + f64::from(n) * 0.05;
        replication.tick(now);
        let outgoing = replication.take_outgoing(now);
        started += outgoing
            .iter()
            .filter(|(_, m)| matches!(wire::decode(m, now), Some((Message::Root(_), _))))
            .count();
        let deltas = Message::Deltas { up_to: n as u64 + 1, facts: Vec::new() };
        replication.receive(now, "b#1", &wire::encode(&deltas, now));
    }
    assert!(started >= 3, "{started} comparisons started in five seconds");
}

/// For a peer that requests much and reads little, unwritten bytes and queued messages stay within their limits.
#[test]
fn a_slow_peer_uses_bounded_memory() {
    let mut replication = new_peer("a", START);
    replication.peer_connected(START, "b#1");
    for n in 0..60_000u64 {
        replication.learn(START, Kind::Mark, &format!("{n:016x}"), mark_value(START));
    }
    let (mut handed_over, mut now) = (0, START);
    let (mut facts, mut up_to) = (BTreeSet::new(), 0);
    let mut record_facts = |message: &[u8], now: f64, up_to: &mut u64| {
        if let Some((Message::Deltas { up_to: received_up_to, facts: received }, _)) =
            wire::decode(message, now)
        {
            facts.extend(received.into_iter().map(|(key, _)| key));
            *up_to = received_up_to;
        }
        facts.len()
    };
    for _ in 0..400 {
        now += 0.05;
        replication.tick(now);
        replication.receive(now, "b#1", &wire::encode(&Message::Want((0..4096).collect()), now));
        (0..5).for_each(|_| replication.receive(now, "b#1", &wire::encode(&Message::Root(1), now)));
        for (_, message) in replication.take_outgoing(now) {
            handed_over += message.len();
            record_facts(&message, now, &mut up_to);
        }
    }
    assert!(handed_over < 400_000, "{handed_over} bytes handed over, none of them written");
    assert!(replication.counts().shed > 0);
    // Once it reads again, nothing was lost.
    for _ in 0..2000 {
        now += 0.05;
        replication.bytes_written("b#1", usize::MAX);
        replication.receive(now, "b#1", &wire::encode(&Message::Ack(up_to), now));
        replication.tick(now);
        for (_, message) in replication.take_outgoing(now) {
            record_facts(&message, now, &mut up_to);
        }
    }
    assert_eq!(record_facts(&[], now, &mut up_to), 60_000);
}

/// Decoded messages sent to one peer.
fn sent_messages(replication: &mut ReplicationPeer, now: f64, to: &str) -> Vec<Message> {
    replication.bytes_written(to, usize::MAX);
    let outgoing = replication.take_outgoing(now).into_iter().filter(|(peer, _)| peer == to);
    outgoing.filter_map(|(_, m)| wire::decode(&m, now)).map(|(m, _)| m).collect()
}

/// A comparison with an unanswered request is incomplete: no echo is answered, not even once the queue has room
/// again.
#[test]
fn a_shed_request_makes_the_comparison_incomplete() {
    let mut busy_peer = new_peer("b", START);
    busy_peer.peer_connected(START, "a#1");
    busy_peer.learn(START, Kind::LogPosition, "g", Value::Max(START));
    let receive = |busy_peer: &mut ReplicationPeer, now: f64, m: Message| {
        busy_peer.receive(now, "a#1", &wire::encode(&m, now))
    };
    // The queue of answers fills up, and a request between root and echo finds no room.
    for _ in 0..1100 {
        receive(&mut busy_peer, START, Message::Root(1));
    }
    receive(&mut busy_peer, START, Message::Want(vec![1, 2, 3]));
    assert!(busy_peer.counts().shed > 0);
    let mut now = START;
    for _ in 0..40 {
        now += 0.1;
        sent_messages(&mut busy_peer, now, "a#1");
    }
    let count_echoes = |busy_peer: &mut ReplicationPeer, now: f64| {
        sent_messages(busy_peer, now, "a#1").iter().filter(|m| matches!(m, Message::Echo { .. })).count()
    };
    receive(&mut busy_peer, now, Message::Echo { round: 1, hop: 6 });
    assert_eq!(count_echoes(&mut busy_peer, now), 0, "an echo would claim that everything was answered");
    // The next comparison is answered.
    receive(&mut busy_peer, now, Message::Root(1));
    receive(&mut busy_peer, now, Message::Echo { round: 2, hop: 0 });
    assert_eq!(count_echoes(&mut busy_peer, now), 1);
}

/// Facts from a comparison are not sent on as deltas; otherwise a router that lost its copy would send everything
/// that it received to all the others. Facts that came as deltas are sent on, but not back to their source.
#[test]
fn facts_from_a_comparison_are_not_sent_on_as_deltas() {
    let mut replication = new_peer("a", START);
    replication.peer_connected(START, "b#1");
    replication.peer_connected(START, "c#1");
    let fact = |group: &str| {
        (Key::shared(Kind::LogPosition, group), Fact { value: Value::Max(START - 1.0), created_at: START })
    };
    replication.receive(START, "b#1", &wire::encode(&Message::Facts(vec![fact("compared")]), START));
    replication.receive(
        START,
        "b#1",
        &wire::encode(&Message::Deltas { up_to: 1, facts: vec![fact("news")] }, START),
    );
    replication.tick(START + 0.1);
    let sent_subjects = |replication: &mut ReplicationPeer, to: &str| -> Vec<String> {
        let facts = sent_messages(replication, START + 0.1, to).into_iter().filter_map(|m| match m {
            Message::Deltas { facts, .. } => Some(facts),
            _ => None,
        });
        facts.flatten().map(|(key, _)| key.subject.to_string()).collect()
    };
    // `sent_messages` takes the output for all peers, so the other peer's messages are read from a second instance.
    let mut other = new_peer("a", START);
    other.peer_connected(START, "b#1");
    other.receive(
        START,
        "b#1",
        &wire::encode(&Message::Deltas { up_to: 1, facts: vec![fact("news")] }, START),
    );
    other.tick(START + 0.1);
    assert_eq!(sent_subjects(&mut replication, "c#1"), ["news"]);
    assert!(sent_subjects(&mut other, "b#1").is_empty(), "not sent back to its source");
}

/// A peer with a valid key may send anything: facts from the future, facts of foreign kinds, two reports with one
/// version, a withdrawal with a lower version.
#[test]
fn invalid_facts_of_a_malicious_peer_are_refused_one_by_one() {
    let mut replication = new_peer("a", START);
    replication.peer_connected(START, "liar#1");
    let report = |generation: u64, version: u64, severity: u8| {
        Value::Report(Report { generation, version, severity, body: "x".into() })
    };
    let owned_fact = |kind, value| (Key::owned(kind, "h", "liar"), Fact { value, created_at: START });
    let facts = vec![
        (Key::shared(Kind::Mark, "s"), Fact { value: mark_value(START + 1e6), created_at: START }),
        (Key::shared(Kind::LogPosition, "g"), Fact { value: Value::Max(f64::MAX), created_at: START }),
        (Key::shared(Kind::Generation, "b"), Fact { value: Value::Max(1e300), created_at: START }),
        owned_fact(Kind::Refusal, report(1, 5, 0)),
        owned_fact(Kind::Refusal, report(1, 5, 1)),
        // Withdrawn with a lower version.
        owned_fact(Kind::Refusal, report(1, 4, 0)),
        (Key::shared(Kind::Mark, "fine"), Fact { value: mark_value(START - 1.0), created_at: START }),
    ];
    replication.receive(START, "liar#1", &wire::encode(&Message::Facts(facts), START));
    let stored: Vec<String> = replication.replica().iter().map(|(key, _)| key.subject.to_string()).collect();
    assert_eq!(stored, ["fine", "h"]);
    let refusal =
        replication.replica().get(&Key::owned(Kind::Refusal, "h", "liar")).expect("the report is stored");
    assert_eq!(refusal.value, report(1, 5, 1), "the more severe of the two is kept");
    assert_eq!(replication.counts().refused, 3);
    assert!(replication.take_events().iter().any(|n| matches!(n, ReplicationEvent::Contradiction(_))));
    replication.receive(START, "liar#1", &[9; 40]);
    assert_eq!(replication.counts().unreadable, 1);
}

/// With clocks an hour apart ages are preserved, and no fact is ordered by another router's clock.
#[test]
fn clocks_an_hour_apart_do_not_change_which_report_wins() {
    let (early_clock, late_clock) = (START, START + 3500.0);
    let (mut a, mut b) = (new_peer("a", early_clock), new_peer("b", late_clock));
    a.peer_connected(early_clock, "b#1");
    b.peer_connected(late_clock, "a#1");
    a.publish_report(early_clock, Kind::Refusal, "h", 1, "");
    a.publish_report(early_clock + 1.0, Kind::Refusal, "h", 0, "well again");
    a.learn(early_clock + 1.0, Kind::LogPosition, "g", Value::Max(early_clock));
    for n in 0..40 {
        let elapsed = 1.0 + f64::from(n) * 0.05;
        a.tick(early_clock + elapsed);
        b.tick(late_clock + elapsed);
        for (_, message) in a.take_outgoing(early_clock + elapsed) {
            b.receive(late_clock + elapsed, "a#1", &message);
        }
        for (_, message) in b.take_outgoing(late_clock + elapsed) {
            a.receive(early_clock + elapsed, "b#1", &message);
        }
    }
    let key = Key::owned(Kind::Refusal, "h", "a");
    let fact_at_b = b.replica().get(&key).expect("the report was sent");
    assert!(
        matches!(&fact_at_b.value, Value::Report(s) if s.version == 2),
        "the later report, by its version"
    );
    let age = late_clock + 3.0 - fact_at_b.created_at;
    assert!((1.9..2.2).contains(&age), "the age is kept: {age}");
}

/// The ring of a large fleet: symmetric, few connections per router, connected after losses.
#[test]
fn many_routers_have_few_links_and_stay_connected() {
    for n in [2, 5, 9, 16, 50, 300] {
        let live_peers: BTreeSet<String> = (0..n).map(Sim::name).collect();
        let links_of = |a: usize| select_neighbours(&Sim::name(a), &live_peers);
        for a in 0..n {
            let own_links = links_of(a);
            assert!(
                own_links.len() < 2 * (n as f64).log2().ceil() as usize + 1 || n <= 9,
                "{n}: {}",
                own_links.len()
            );
            assert!(
                own_links.iter().all(|b| select_neighbours(b, &live_peers).contains(&Sim::name(a))),
                "links are symmetric"
            );
        }
        if n == 300 {
            // Every third router is down; the others still reach each other without new connections.
            let alive = |name: &str| name[1..].parse::<usize>().expect("a node number") % 3 != 0;
            let (mut reached, mut frontier) = (BTreeSet::from([Sim::name(1)]), vec![1]);
            while let Some(node) = frontier.pop() {
                for name in links_of(node).into_iter().filter(|b| alive(b)) {
                    if reached.insert(name.clone()) {
                        frontier.push(name[1..].parse().expect("a node number"));
                    }
                }
            }
            assert_eq!(reached.len(), 200);
        }
    }
}

/// With up to a quarter of a second of delay in each direction, a comparison takes seven message delays and must not
/// be aborted for that.
#[test]
fn slow_links_delay_a_comparison_but_do_not_end_it() {
    let mut sim = fleet(5, Net { delay: 0.15, jitter: 0.1, loss: 0.0 }, 8);
    write_for(&mut sim, 5.0, 150, 0, &[0, 1, 2, 3, 4]);
    for node in 0..5 {
        assert!(sim.in_sync(node), "{node} before the restart");
    }
    sim.kill(3);
    write_for(&mut sim, 1.0, 150, 5000, &[0, 1, 2, 4]);
    sim.start(3, Vec::new(), Trust::None, None);
    let mut in_sync_after = None;
    for n in 0..80 {
        write_for(&mut sim, 0.25, 150, 10_000 + n * 100, &[0, 1, 2, 3, 4]);
        if sim.in_sync(3) && in_sync_after.is_none() {
            in_sync_after = Some(n as f64 * 0.25);
        }
        assert!(
            in_sync_after.is_none() || sim.in_sync(3),
            "out of sync again after {:.2} s",
            n as f64 * 0.25
        );
    }
    assert!(in_sync_after.is_some_and(|s| s < 5.0), "{in_sync_after:?}");
}

//! Keepers in virtual time: returns, splits, peers that die while they tell, that ask for more than they take, that lie.
use sandstile_replicated_state::catchup::{SyncState, Trust};
use sandstile_replicated_state::fact::Report;
use sandstile_replicated_state::{wire, Fact, Key, Kind, Message, Value};
use sandstile_replication::sim::{Net, Sim};
use sandstile_replication::{select_neighbours, ReplicationEvent, ReplicationPeer, ReplicationSettings};
use sandstile_sessions::mark::{Mark, SessionMarks, Term};
use std::collections::BTreeSet;

const BEGIN: f64 = 1_000_000.0;
const NET: Net = Net { delay: 0.002, jitter: 0.002, loss: 0.0 };

fn mark(position: f64) -> Value {
    Value::SessionMarks(SessionMarks::of(Mark { term: Term(1), position }))
}

fn write(sim: &mut Sim, place: usize, session: usize) {
    let now = sim.now();
    if let Some(replication) = sim.replication(place) {
        replication.learn(now, Kind::Mark, &format!("{session:016x}"), mark(now));
    }
}

fn fleet(n: usize, net: Net, seed: u64) -> Sim {
    let mut sim = Sim::new(n, net, 300.0, seed, BEGIN);
    for place in 0..n {
        sim.start(place, Vec::new(), Trust::None, None);
        sim.run(BEGIN + 0.02 * (place + 1) as f64);
    }
    sim.run(BEGIN + 10.0);
    sim
}

/// Writes at all places, a session each, `rate` a second.
fn busy(sim: &mut Sim, seconds: f64, rate: usize, first: usize, places: &[usize]) {
    for n in 0..(seconds * rate as f64) as usize {
        write(sim, places[n % places.len()], first + n);
        let next = sim.now() + 1.0 / rate as f64;
        sim.run(next);
    }
}

fn at(sim: &mut Sim, seconds: f64) {
    let until = sim.now() + seconds;
    sim.run(until);
}

#[test]
fn one_that_lost_all_is_in_step_soon_and_asks_two() {
    let mut sim = fleet(5, NET, 1);
    busy(&mut sim, 10.0, 400, 0, &[0, 1, 2, 3, 4]);
    sim.kill(2);
    busy(&mut sim, 1.0, 400, 10_000, &[0, 1, 3, 4]);
    let before: u64 = sim.bytes_sent.iter().sum();
    sim.start(2, Vec::new(), Trust::None, None);
    at(&mut sim, 1.0);
    assert!(sim.in_sync(2), "{:?}", sim.seen(2).map(|s| s.replication.sync_state()));
    // Its life is news that goes out once it is in step.
    at(&mut sim, 0.5);
    assert!(sim.alike());
    let asked: BTreeSet<_> = sim
        .seen(2)
        .expect("there")
        .news
        .iter()
        .filter_map(|(_, n)| match n {
            ReplicationEvent::PeerCompared(peer) => Some(peer.clone()),
            _ => None,
        })
        .collect();
    assert!(asked.len() <= 3, "{asked:?}");
    // 4,400 facts of some 50 bytes, from two peers, and their sums and hashes; and it tells nobody of them as news.
    let cost = sim.bytes_sent.iter().sum::<u64>() - before;
    assert!(cost < 2_000_000, "{cost} bytes");
}

/// Both sides write during a split. At the heal each link brings what its peer missed, and comparisons find nothing more.
#[test]
fn a_split_heals_within_two_seconds() {
    for (n, seed) in [(5, 1), (5, 2), (16, 3)] {
        let mut sim = fleet(n, Net { loss: 0.05, ..NET }, seed);
        let all: Vec<usize> = (0..n).collect();
        busy(&mut sim, 3.0, 200, 0, &all);
        sim.cut(true, |place| usize::from(place >= n / 2));
        busy(&mut sim, 12.0, 200, 10_000, &all);
        assert!(!sim.alike());
        assert!(!sim.in_sync(0) || n > 8, "one that can ask nobody of the other side may not claim it");
        sim.cut(false, |place| usize::from(place >= n / 2));
        at(&mut sim, 2.0);
        assert!(sim.alike(), "{n} routers");
    }
}

#[test]
fn peers_that_die_while_they_tell_are_replaced() {
    let mut sim = fleet(5, Net { delay: 0.05, ..NET }, 4);
    busy(&mut sim, 10.0, 400, 0, &[0, 1, 2, 3, 4]);
    sim.kill(0);
    sim.start(0, Vec::new(), Trust::None, None);
    // In the midst of the comparison.
    at(&mut sim, 0.4);
    assert!(!sim.in_sync(0));
    sim.kill(1);
    sim.kill(2);
    at(&mut sim, 6.0);
    assert!(sim.in_sync(0) && sim.alike());
}

#[test]
fn most_come_back_at_once_and_nobody_is_overrun() {
    let mut sim = fleet(16, NET, 5);
    busy(&mut sim, 10.0, 400, 0, &(0..16).collect::<Vec<_>>());
    let killed: Vec<usize> = (0..11).collect();
    killed.iter().for_each(|n| drop(sim.kill(*n)));
    at(&mut sim, 1.0);
    let before = sim.bytes_sent.clone();
    for n in &killed {
        sim.start(*n, Vec::new(), Trust::None, None);
    }
    at(&mut sim, 3.0);
    assert!((0..16).all(|n| sim.in_sync(n)), "all of them");
    at(&mut sim, 0.5);
    assert!(sim.alike());
    // Sixteen thousand facts to eleven, out of two peers each: of those that stayed none told more than twice its part.
    let told: Vec<u64> = (11..16).map(|n| sim.bytes_sent[n] - before[n]).collect();
    let (most, all) = (told.iter().max().copied().unwrap_or(0), told.iter().sum::<u64>());
    assert!(most * 5 < all * 3, "{told:?}");
}

#[test]
fn with_nobody_left_it_is_careful_and_says_so() {
    let mut sim = Sim::new(3, NET, 300.0, 6, BEGIN);
    sim.start(0, Vec::new(), Trust::None, None);
    sim.run(BEGIN + 4.0);
    assert_eq!(sim.seen(0).map(|s| s.replication.sync_state()), Some(SyncState::Isolated));
    sim.start(1, Vec::new(), Trust::None, None);
    sim.run(BEGIN + 8.0);
    assert!(sim.in_sync(0) && sim.in_sync(1));
}

/// A copy of the life before the last is put back, and its witness with it: nothing on the disk tells; the peers do.
#[test]
fn an_old_copy_is_known_by_the_lives_that_peers_met() {
    let mut sim = fleet(3, NET, 7);
    let (first, old) = sim.kill(1).expect("there");
    sim.start(1, old.clone(), Trust::All, Some(first));
    at(&mut sim, 6.0);
    let news = |sim: &Sim| {
        sim.seen(1).expect("there").news.iter().any(|(_, n)| matches!(n, ReplicationEvent::OldCopy { .. }))
    };
    assert!(!news(&sim), "the very copy of its last life is none");
    sim.kill(1);
    sim.start(1, old, Trust::All, Some(first));
    at(&mut sim, 2.0);
    assert!(news(&sim));
}

fn alone(name: &str, now: f64) -> ReplicationPeer {
    let settings = ReplicationSettings {
        name: name.to_string(),
        generation: (now * 1e6) as u64,
        horizon: 300.0,
        seed: 1,
        stored: Vec::new(),
        trust: Trust::None,
        stored_generation: None,
    };
    ReplicationPeer::new(settings, now)
}

/// A comparison that is never answered is given up though news keep coming; one begins only with whoever was heard.
#[test]
fn a_comparison_without_an_answer_is_given_up() {
    let mut replication = alone("a", BEGIN);
    replication.peer_connected(BEGIN, "b#1");
    let mut asked = 0;
    replication.tick(BEGIN);
    let roots = |out: &[(String, Vec<u8>)]| {
        out.iter().filter(|(_, m)| matches!(wire::decode(m, BEGIN), Some((Message::Root(_), _)))).count()
    };
    assert_eq!(roots(&replication.take_outgoing(BEGIN)), 0, "nobody would answer");
    for n in 0..100 {
        let now = BEGIN + f64::from(n) * 0.05;
        replication.tick(now);
        let out = replication.take_outgoing(now);
        asked +=
            out.iter().filter(|(_, m)| matches!(wire::decode(m, now), Some((Message::Root(_), _)))).count();
        let news = Message::Deltas { upto: n as u64 + 1, facts: Vec::new() };
        replication.receive(now, "b#1", &wire::encode(&news, now));
    }
    assert!(asked >= 3, "{asked} comparisons begun in five seconds");
}

/// Whoever asks for much and reads little gets what is on its way, and no more waits for it than that.
#[test]
fn a_slow_peer_costs_a_window() {
    let mut replication = alone("a", BEGIN);
    replication.peer_connected(BEGIN, "b#1");
    for n in 0..60_000u64 {
        replication.learn(BEGIN, Kind::Mark, &format!("{n:016x}"), mark(BEGIN));
    }
    let (mut handed, mut now) = (0, BEGIN);
    let (mut facts, mut upto) = (BTreeSet::new(), 0);
    let mut read = |message: &[u8], now: f64, upto: &mut u64| {
        if let Some((Message::Deltas { upto: to, facts: some }, _)) = wire::decode(message, now) {
            facts.extend(some.into_iter().map(|(key, _)| key));
            *upto = to;
        }
        facts.len()
    };
    for _ in 0..400 {
        now += 0.05;
        replication.tick(now);
        replication.receive(now, "b#1", &wire::encode(&Message::Want((0..4096).collect()), now));
        (0..5).for_each(|_| replication.receive(now, "b#1", &wire::encode(&Message::Root(1), now)));
        for (_, message) in replication.take_outgoing(now) {
            handed += message.len();
            read(&message, now, &mut upto);
        }
    }
    assert!(handed < 400_000, "{handed} bytes handed over, none of them written");
    assert!(replication.counts().shed > 0);
    // It reads at last: nothing was lost.
    for _ in 0..2000 {
        now += 0.05;
        replication.bytes_written("b#1", usize::MAX);
        replication.receive(now, "b#1", &wire::encode(&Message::Ack(upto), now));
        replication.tick(now);
        for (_, message) in replication.take_outgoing(now) {
            read(&message, now, &mut upto);
        }
    }
    assert_eq!(read(&[], now, &mut upto), 60_000);
}

/// The messages that go out to one peer.
fn said(replication: &mut ReplicationPeer, now: f64, to: &str) -> Vec<Message> {
    replication.bytes_written(to, usize::MAX);
    let out = replication.take_outgoing(now).into_iter().filter(|(peer, _)| peer == to);
    out.filter_map(|(_, m)| wire::decode(&m, now)).map(|(m, _)| m).collect()
}

/// A comparison of which something was not answered is not whole: no echo tells so, not even once there is room again.
#[test]
fn what_was_shed_is_no_answer() {
    let mut full = alone("b", BEGIN);
    full.peer_connected(BEGIN, "a#1");
    full.learn(BEGIN, Kind::LogPosition, "g", Value::Max(BEGIN));
    let hear =
        |full: &mut ReplicationPeer, now: f64, m: Message| full.receive(now, "a#1", &wire::encode(&m, now));
    // As many answers wait as may, and a question between root and echo finds no room.
    for _ in 0..1100 {
        hear(&mut full, BEGIN, Message::Root(1));
    }
    hear(&mut full, BEGIN, Message::Want(vec![1, 2, 3]));
    assert!(full.counts().shed > 0);
    let mut now = BEGIN;
    for _ in 0..40 {
        now += 0.1;
        said(&mut full, now, "a#1");
    }
    let echoes = |full: &mut ReplicationPeer, now: f64| {
        said(full, now, "a#1").iter().filter(|m| matches!(m, Message::Echo { .. })).count()
    };
    hear(&mut full, now, Message::Echo { round: 1, hop: 6 });
    assert_eq!(echoes(&mut full, now), 0, "it would say that all was answered");
    // The next one begins anew.
    hear(&mut full, now, Message::Root(1));
    hear(&mut full, now, Message::Echo { round: 2, hop: 0 });
    assert_eq!(echoes(&mut full, now), 1);
}

/// What a comparison brought is told to nobody as news: one that lost all would tell all that it was told to all the others. What came as
/// news goes on, and not back.
#[test]
fn what_a_comparison_brought_is_no_news() {
    let mut replication = alone("a", BEGIN);
    replication.peer_connected(BEGIN, "b#1");
    replication.peer_connected(BEGIN, "c#1");
    let fact = |group: &str| {
        (Key::shared(Kind::LogPosition, group), Fact { value: Value::Max(BEGIN - 1.0), created_at: BEGIN })
    };
    replication.receive(BEGIN, "b#1", &wire::encode(&Message::Facts(vec![fact("compared")]), BEGIN));
    replication.receive(
        BEGIN,
        "b#1",
        &wire::encode(&Message::Deltas { upto: 1, facts: vec![fact("news")] }, BEGIN),
    );
    replication.tick(BEGIN + 0.1);
    let told = |replication: &mut ReplicationPeer, to: &str| -> Vec<String> {
        let facts = said(replication, BEGIN + 0.1, to).into_iter().filter_map(|m| match m {
            Message::Deltas { facts, .. } => Some(facts),
            _ => None,
        });
        facts.flatten().map(|(key, _)| key.subject.to_string()).collect()
    };
    // Whoever is asked first takes all out for both: the other's are read from the same turn.
    let mut other = alone("a", BEGIN);
    other.peer_connected(BEGIN, "b#1");
    other.receive(
        BEGIN,
        "b#1",
        &wire::encode(&Message::Deltas { upto: 1, facts: vec![fact("news")] }, BEGIN),
    );
    other.tick(BEGIN + 0.1);
    assert_eq!(told(&mut replication, "c#1"), ["news"]);
    assert!(told(&mut other, "b#1").is_empty(), "not back to whoever told it");
}

/// One with the key says what it likes: facts of the future, of kinds that others own, two things under one number, taken back.
#[test]
fn a_liar_is_refused_fact_by_fact() {
    let mut replication = alone("a", BEGIN);
    replication.peer_connected(BEGIN, "liar#1");
    let said = |generation: u64, version: u64, severity: u8| {
        Value::Report(Report { generation, version, severity, body: "x".into() })
    };
    let of = |kind, value| (Key::owned(kind, "h", "liar"), Fact { value, created_at: BEGIN });
    let facts = vec![
        (Key::shared(Kind::Mark, "s"), Fact { value: mark(BEGIN + 1e6), created_at: BEGIN }),
        (Key::shared(Kind::LogPosition, "g"), Fact { value: Value::Max(f64::MAX), created_at: BEGIN }),
        (Key::shared(Kind::Generation, "b"), Fact { value: Value::Max(1e300), created_at: BEGIN }),
        of(Kind::Refusal, said(1, 5, 0)),
        of(Kind::Refusal, said(1, 5, 1)),
        // Taken back under a lower number.
        of(Kind::Refusal, said(1, 4, 0)),
        (Key::shared(Kind::Mark, "fine"), Fact { value: mark(BEGIN - 1.0), created_at: BEGIN }),
    ];
    replication.receive(BEGIN, "liar#1", &wire::encode(&Message::Facts(facts), BEGIN));
    let held: Vec<String> = replication.replica().iter().map(|(key, _)| key.subject.to_string()).collect();
    assert_eq!(held, ["fine", "h"]);
    let refuses = replication.replica().get(&Key::owned(Kind::Refusal, "h", "liar")).expect("kept");
    assert_eq!(refuses.value, said(1, 5, 1), "the more careful of the two stands");
    assert_eq!(replication.counts().refused, 3);
    assert!(replication.take_events().iter().any(|n| matches!(n, ReplicationEvent::Contradiction(_))));
    replication.receive(BEGIN, "liar#1", &[9; 40]);
    assert_eq!(replication.counts().unreadable, 1);
}

/// Clocks an hour apart: ages travel, and no fact is ordered by a clock of another.
#[test]
fn clocks_an_hour_apart_make_no_difference_to_who_is_right() {
    let (early, late) = (BEGIN, BEGIN + 3500.0);
    let (mut a, mut b) = (alone("a", early), alone("b", late));
    a.peer_connected(early, "b#1");
    b.peer_connected(late, "a#1");
    a.publish_report(early, Kind::Refusal, "h", 1, "");
    a.publish_report(early + 1.0, Kind::Refusal, "h", 0, "well again");
    a.learn(early + 1.0, Kind::LogPosition, "g", Value::Max(early));
    for n in 0..40 {
        let passed = 1.0 + f64::from(n) * 0.05;
        a.tick(early + passed);
        b.tick(late + passed);
        for (_, message) in a.take_outgoing(early + passed) {
            b.receive(late + passed, "a#1", &message);
        }
        for (_, message) in b.take_outgoing(late + passed) {
            a.receive(early + passed, "b#1", &message);
        }
    }
    let key = Key::owned(Kind::Refusal, "h", "a");
    let at_b = b.replica().get(&key).expect("told");
    assert!(matches!(&at_b.value, Value::Report(s) if s.version == 2), "the later word, by its number");
    let age = late + 3.0 - at_b.created_at;
    assert!((1.9..2.2).contains(&age), "as old as it is: {age}");
}

/// The ring of many: symmetric, connected however few are lost, few links each.
#[test]
fn many_have_few_links_and_hang_together() {
    for n in [2, 5, 9, 16, 50, 300] {
        let there: BTreeSet<String> = (0..n).map(Sim::name).collect();
        let links = |a: usize| select_neighbours(&Sim::name(a), &there);
        for a in 0..n {
            let of = links(a);
            assert!(of.len() < 2 * (n as f64).log2().ceil() as usize + 1 || n <= 9, "{n}: {}", of.len());
            assert!(
                of.iter().all(|b| select_neighbours(b, &there).contains(&Sim::name(a))),
                "both or neither"
            );
        }
        if n == 300 {
            // Every third is gone; the others still reach each other without anybody having looked for new links.
            let alive = |name: &str| name[1..].parse::<usize>().expect("a number") % 3 != 0;
            let (mut reached, mut edge) = (BTreeSet::from([Sim::name(1)]), vec![1]);
            while let Some(at) = edge.pop() {
                for name in links(at).into_iter().filter(|b| alive(b)) {
                    if reached.insert(name.clone()) {
                        edge.push(name[1..].parse().expect("a number"));
                    }
                }
            }
            assert_eq!(reached.len(), 200);
        }
    }
}

/// Links that take a quarter of a second each way: a comparison takes seven of these, and is not given up for that.
#[test]
fn slow_links_make_it_slow_and_no_more() {
    let mut sim = fleet(5, Net { delay: 0.15, jitter: 0.1, loss: 0.0 }, 8);
    busy(&mut sim, 5.0, 150, 0, &[0, 1, 2, 3, 4]);
    for place in 0..5 {
        assert!(sim.in_sync(place), "{place} before");
    }
    sim.kill(3);
    busy(&mut sim, 1.0, 150, 5000, &[0, 1, 2, 4]);
    sim.start(3, Vec::new(), Trust::None, None);
    let mut at_step = None;
    for n in 0..80 {
        busy(&mut sim, 0.25, 150, 10_000 + n * 100, &[0, 1, 2, 3, 4]);
        if sim.in_sync(3) && at_step.is_none() {
            at_step = Some(n as f64 * 0.25);
        }
        assert!(at_step.is_none() || sim.in_sync(3), "out of step again after {:.2} s", n as f64 * 0.25);
    }
    assert!(at_step.is_some_and(|s| s < 5.0), "{at_step:?}");
}

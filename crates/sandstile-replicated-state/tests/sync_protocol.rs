//! Two copies and the talk between them: what differs is found and told, over a net that loses and says twice; a slow peer loses
//! nothing; bytes of anybody are read or refused, never more.
mod common;

use common::{below, drawn, NOW};
use oorandom::Rand64;
use sandstile_replicated_state::{wire, Deltas, Fact, Key, Kind, Message, Replica, Talk, Value};

fn copy(facts: &[(Key, Fact)]) -> Replica {
    let mut copy = Replica::new(300.0);
    for (key, fact) in facts {
        copy.learn(NOW, key, fact);
    }
    copy
}

fn floors(n: usize) -> Vec<(Key, Fact)> {
    let floor = |n: usize| {
        (
            Key::shared(Kind::LogPosition, &format!("g{n}")),
            Fact { value: Value::Max(NOW - 1.0), created_at: NOW },
        )
    };
    (0..n).map(floor).collect()
}

/// All that is said until nobody has more to say; of each message the chance decides whether it arrives, and how often.
fn converse(a: &mut Replica, b: &mut Replica, chance: &mut Rand64, loss: f64) -> (usize, usize) {
    let mut talks = [Talk::default(), Talk::default()];
    let (mut messages, mut bytes) = (0, 0);
    let mut way = vec![(1, Talk::begin(a))];
    while let Some((to, message)) = way.pop() {
        let written = wire::encode(&message, NOW);
        messages += 1;
        bytes += written.len();
        assert!(messages < 100_000, "it ends");
        for _ in 0..if chance.rand_float() < loss { 0 } else { 1 + usize::from(chance.rand_float() < loss) } {
            let (message, corrupt) = wire::decode(&written, NOW).expect("what was written is read");
            assert_eq!(corrupt, 0);
            let copy = if to == 0 { &mut *a } else { &mut *b };
            way.extend(talks[to].hear(NOW, copy, message).into_iter().map(|m| (1 - to, m)));
        }
    }
    (messages, bytes)
}

#[test]
fn what_differs_is_found_and_told_both_ways() {
    fn holds(seed: u64) -> bool {
        let mut chance = Rand64::new(u128::from(seed));
        let all: Vec<(Key, Fact)> = (0..200).map(|_| drawn(&mut chance)).collect();
        let some = |chance: &mut Rand64| -> Vec<(Key, Fact)> {
            all.iter().filter(|_| below(chance, 3) > 0).cloned().collect()
        };
        let (mut a, mut b) = (copy(&some(&mut chance)), copy(&some(&mut chance)));
        // A net that loses one in five: some comparisons later they are the same.
        for _ in 0..60 {
            converse(&mut a, &mut b, &mut chance, 0.2);
            if a.digest() == b.digest() {
                return true;
            }
        }
        false
    }
    quickcheck::QuickCheck::new().tests(60).quickcheck(holds as fn(u64) -> bool);
}

#[test]
fn one_that_differs_among_thousands_costs_little() {
    let all = floors(4000);
    let (mut a, mut b) = (copy(&all), copy(&all[..3999]));
    let (messages, bytes) = converse(&mut a, &mut b, &mut Rand64::new(1), 0.0);
    assert_eq!(a.digest(), b.digest());
    assert!(messages < 12 && bytes < 2000, "{messages} messages, {bytes} bytes");
    let (messages, _) = converse(&mut a, &mut b, &mut Rand64::new(1), 0.0);
    assert_eq!(messages, 2, "the same: one number each way");
}

/// A peer that hears nothing for long is told each changed key once, whatever changed in between, and none is left out.
#[test]
fn a_slow_peer_loses_nothing_and_costs_no_queue() {
    let all = floors(1500);
    let (mut a, mut b) = (copy(&all), copy(&all));
    let mut deltas = Deltas::from(a.version());
    for round in 0..20 {
        for (key, _) in &all[..1200] {
            a.learn(NOW, key, &Fact { value: Value::Max(NOW + round as f64), created_at: NOW });
        }
    }
    let (mut told, mut talk, mut cut) = (0, Talk::default(), 0);
    while let Some(message) = deltas.take(&a, 1) {
        let Message::Deltas { upto, facts } = &message else { panic!("{message:?}") };
        told += facts.len();
        let upto = *upto;
        // The connection breaks twice under what was sent, and what was not acknowledged comes again.
        if cut < 2 {
            cut += 1;
            told -= facts.len();
            deltas.again();
            continue;
        }
        assert_eq!(talk.hear(NOW, &mut b, message), vec![Message::Ack(upto)]);
        deltas.acked(upto);
        deltas.acked(u64::MAX);
    }
    assert_eq!((told, a.digest()), (1200, b.digest()));
    // Unacknowledged, no more than so much is on its way.
    let (many, mut deltas) = (copy(&floors(4000)), Deltas::from(0));
    let out = std::iter::from_fn(|| deltas.take(&many, 1)).count();
    assert!((1..=17).contains(&out), "{out}");
}

#[test]
fn a_spoilt_fact_is_refused_alone() {
    let facts = floors(3);
    let mut bytes = wire::encode(&Message::Facts(facts.clone()), NOW);
    // The kind of the second: behind the message's head and the first fact, and its own length.
    let first = usize::from(u16::from_be_bytes([bytes[3], bytes[4]]));
    bytes[3 + 2 + first + 2] = 200;
    let (message, corrupt) = wire::decode(&bytes, NOW).expect("a message");
    assert_eq!(corrupt, 1);
    let Message::Facts(read) = message else { panic!("{message:?}") };
    assert_eq!(read, vec![facts[0].clone(), facts[2].clone()]);
}

/// Whatever bytes come, nothing panics and nothing grows beyond its bounds.
#[test]
fn bytes_of_anybody_move_no_more_than_they_may() {
    let mut chance = Rand64::new(7);
    let all = floors(50);
    let (mut a, mut talk) = (copy(&all), Talk::default());
    for n in 0..1_000_000u32 {
        let mut bytes = match n % 4 {
            0 => wire::encode(&Message::Facts(all[..2].to_vec()), NOW),
            1 => wire::encode(&Message::Leaf { level: 4, node: n, hashes: vec![(1, 2)] }, NOW),
            2 => wire::encode(&Message::Node { level: n as u8, node: n, sums: [9; 16] }, NOW),
            _ => wire::encode(&Message::Want(vec![1, 2, 3]), NOW),
        };
        for _ in 0..1 + below(&mut chance, 3) {
            let at = below(&mut chance, bytes.len() as u64) as usize;
            bytes[at] = chance.rand_u64() as u8;
        }
        if below(&mut chance, 3) == 0 {
            bytes.truncate(below(&mut chance, bytes.len() as u64) as usize);
        }
        if let Some((message, _)) = wire::decode(&bytes, NOW) {
            let said = talk.hear(NOW, &mut a, message);
            assert!(said.len() <= 64);
        }
    }
    assert!(a.len() < 100_000);
}

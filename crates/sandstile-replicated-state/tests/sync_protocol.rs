//! The protocol between two copies: differences are found and sent over a network that loses and duplicates messages,
//! a slow peer loses nothing, and arbitrary bytes are decoded or rejected within limits.
mod common;

use common::{random_below, random_fact, NOW};
use oorandom::Rand64;
use sandstile_replicated_state::{wire, Deltas, Fact, Key, Kind, Message, PeerSync, Replica, Value};

fn copy_of(facts: &[(Key, Fact)]) -> Replica {
    let mut copy = Replica::new(300.0);
    for (key, fact) in facts {
        copy.learn(NOW, key, fact);
    }
    copy
}

fn log_positions(n: usize) -> Vec<(Key, Fact)> {
    let log_position = |n: usize| {
        (
            Key::shared(Kind::LogPosition, &format!("g{n}")),
            Fact { value: Value::Max(NOW - 1.0), created_at: NOW },
        )
    };
    (0..n).map(log_position).collect()
}

/// Delivers messages until both sides are silent; each message is lost or duplicated at random.
fn run_comparison(a: &mut Replica, b: &mut Replica, rng: &mut Rand64, loss: f64) -> (usize, usize) {
    let mut syncs = [PeerSync::default(), PeerSync::default()];
    let (mut messages, mut bytes) = (0, 0);
    let mut in_transit = vec![(1, PeerSync::opening_message(a))];
    while let Some((to, message)) = in_transit.pop() {
        let encoded = wire::encode(&message, NOW);
        messages += 1;
        bytes += encoded.len();
        assert!(messages < 100_000, "the comparison must end");
        for _ in 0..if rng.rand_float() < loss { 0 } else { 1 + usize::from(rng.rand_float() < loss) } {
            let (message, corrupt) = wire::decode(&encoded, NOW).expect("an encoded message decodes");
            assert_eq!(corrupt, 0);
            let copy = if to == 0 { &mut *a } else { &mut *b };
            in_transit.extend(syncs[to].handle(NOW, copy, message).into_iter().map(|m| (1 - to, m)));
        }
    }
    (messages, bytes)
}

#[test]
fn differences_are_found_and_sent_both_ways() {
    fn holds(seed: u64) -> bool {
        let mut rng = Rand64::new(u128::from(seed));
        let all: Vec<(Key, Fact)> = (0..200).map(|_| random_fact(&mut rng)).collect();
        let random_subset = |rng: &mut Rand64| -> Vec<(Key, Fact)> {
            all.iter().filter(|_| random_below(rng, 3) > 0).cloned().collect()
        };
        let (mut a, mut b) = (copy_of(&random_subset(&mut rng)), copy_of(&random_subset(&mut rng)));
        // With a fifth of the messages lost, the copies are equal after some comparisons.
        for _ in 0..60 {
            run_comparison(&mut a, &mut b, &mut rng, 0.2);
            if a.digest() == b.digest() {
                return true;
            }
        }
        false
    }
    quickcheck::QuickCheck::new().tests(60).quickcheck(holds as fn(u64) -> bool);
}

#[test]
fn one_difference_among_thousands_costs_little() {
    let all = log_positions(4000);
    let (mut a, mut b) = (copy_of(&all), copy_of(&all[..3999]));
    let (messages, bytes) = run_comparison(&mut a, &mut b, &mut Rand64::new(1), 0.0);
    assert_eq!(a.digest(), b.digest());
    assert!(messages < 12 && bytes < 2000, "{messages} messages, {bytes} bytes");
    let (messages, _) = run_comparison(&mut a, &mut b, &mut Rand64::new(1), 0.0);
    assert_eq!(messages, 2, "equal copies exchange one digest each way");
}

/// A peer that receives nothing for a long time gets each changed key once, however often it changed, and no key is
/// left out.
#[test]
fn a_slow_peer_loses_nothing_and_needs_no_queue() {
    let all = log_positions(1500);
    let (mut a, mut b) = (copy_of(&all), copy_of(&all));
    let mut deltas = Deltas::starting_at(a.version());
    for round in 0..20 {
        for (key, _) in &all[..1200] {
            a.learn(NOW, key, &Fact { value: Value::Max(NOW + round as f64), created_at: NOW });
        }
    }
    let (mut sent, mut sync, mut disconnects) = (0, PeerSync::default(), 0);
    while let Some(message) = deltas.next_message(&a, 1) {
        let Message::Deltas { up_to, facts } = &message else { panic!("{message:?}") };
        sent += facts.len();
        let up_to = *up_to;
        // The connection breaks twice; what was not acknowledged is sent again.
        if disconnects < 2 {
            disconnects += 1;
            sent -= facts.len();
            deltas.rewind();
            continue;
        }
        assert_eq!(sync.handle(NOW, &mut b, message), vec![Message::Ack(up_to)]);
        deltas.acknowledge(up_to);
        deltas.acknowledge(u64::MAX);
    }
    assert_eq!((sent, a.digest()), (1200, b.digest()));
    // Without acknowledgements only a limited number of messages is sent.
    let (large_copy, mut deltas) = (copy_of(&log_positions(4000)), Deltas::starting_at(0));
    let messages_sent = std::iter::from_fn(|| deltas.next_message(&large_copy, 1)).count();
    assert!((1..=17).contains(&messages_sent), "{messages_sent}");
}

#[test]
fn a_corrupt_fact_does_not_affect_the_others() {
    let facts = log_positions(3);
    let mut bytes = wire::encode(&Message::Facts(facts.clone()), NOW);
    // The kind byte of the second fact, after the message header, the first fact and the second fact's length.
    let first = usize::from(u16::from_be_bytes([bytes[3], bytes[4]]));
    bytes[3 + 2 + first + 2] = 200;
    let (message, corrupt) = wire::decode(&bytes, NOW).expect("a message with one corrupt fact decodes");
    assert_eq!(corrupt, 1);
    let Message::Facts(decoded) = message else { panic!("{message:?}") };
    assert_eq!(decoded, vec![facts[0].clone(), facts[2].clone()]);
}

/// Arbitrary bytes cause no panic and no growth beyond the limits.
#[test]
fn arbitrary_bytes_neither_panic_nor_exceed_limits() {
    let mut rng = Rand64::new(7);
    let all = log_positions(50);
    let (mut a, mut sync) = (copy_of(&all), PeerSync::default());
    for n in 0..1_000_000u32 {
        let mut bytes = match n % 4 {
            0 => wire::encode(&Message::Facts(all[..2].to_vec()), NOW),
            1 => wire::encode(&Message::Leaf { level: 4, node: n, hashes: vec![(1, 2)] }, NOW),
            2 => wire::encode(&Message::Node { level: n as u8, node: n, sums: [9; 16] }, NOW),
            _ => wire::encode(&Message::Want(vec![1, 2, 3]), NOW),
        };
        for _ in 0..1 + random_below(&mut rng, 3) {
            let index = random_below(&mut rng, bytes.len() as u64) as usize;
            bytes[index] = rng.rand_u64() as u8;
        }
        if random_below(&mut rng, 3) == 0 {
            bytes.truncate(random_below(&mut rng, bytes.len() as u64) as usize);
        }
        if let Some((message, _)) = wire::decode(&bytes, NOW) {
            let answers = sync.handle(NOW, &mut a, message);
            assert!(answers.len() <= 64);
        }
    }
    assert!(a.len() < 100_000);
}

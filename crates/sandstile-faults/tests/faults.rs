//! Tests of the fault model: channels, scopes, selection of processes, stored state, drawn schedules and
//! shrinking.
use oorandom::Rand64;
use sandstile_faults::channel::{RETRANSMIT_DELAY_S, WINDOW_BYTES};
use sandstile_faults::link_faults::FaultScope;
use sandstile_faults::process::ProcessSelector;
use sandstile_faults::schedule::{self, FaultTargets};
use sandstile_faults::shrink::Shrinker;
use sandstile_faults::{
    ActiveFaults, DatagramChannel, Endpoint, EndpointSelector, LinkCondition, LinkFault, StateAfterRestart,
    StreamChannel,
};

fn selector(text: &str) -> EndpointSelector {
    EndpointSelector::parse(text).unwrap()
}

fn host(name: &str, zone: &str) -> Endpoint {
    Endpoint::Host { name: name.to_string(), group: "1".to_string(), zone: zone.to_string() }
}

/// Under any sequence of link conditions, the bytes of a stream arrive whole and in order, and none stays in
/// flight forever.
#[test]
fn a_stream_arrives_whole_and_in_order_under_any_link_condition() {
    fn received_equals_sent(seed: u64) -> bool {
        let mut rng = Rand64::new(u128::from(seed));
        let (mut channel, mut now) = (StreamChannel::new(seed), 100.0);
        let (mut sent, mut received) = (Vec::new(), Vec::new());
        let mut condition = LinkCondition::default();
        for step in 0..200u64 {
            now += rng.rand_float() * 0.05;
            if rng.rand_range(0..5) == 0 {
                let cut = rng.rand_range(0..2) == 0;
                let (loss, jitter) = (rng.rand_float() * 0.5, rng.rand_float() * 0.2);
                condition = LinkCondition { cut, loss, jitter, rate: 50_000.0, ..LinkCondition::default() };
                channel.on_condition_change(now, &condition);
            }
            let piece: Vec<u8> = (0..rng.rand_range(0..3000)).map(|n| (n * 7 + step) as u8).collect();
            channel.push(now, &piece, &condition);
            sent.extend_from_slice(&piece);
            while let Some(piece) = channel.pop(now) {
                assert!(!condition.cut, "a cut lets nothing through");
                received.extend_from_slice(&piece);
            }
        }
        channel.on_condition_change(now, &LinkCondition::default());
        while let Some(at) = channel.next_arrival() {
            received.extend_from_slice(&channel.pop(at).unwrap());
        }
        received == sent && channel.free_bytes() == WINDOW_BYTES
    }
    quickcheck::QuickCheck::new().tests(60).quickcheck(received_equals_sent as fn(u64) -> bool);
}

#[test]
fn bytes_held_by_a_cut_arrive_one_retransmission_delay_after_the_heal() {
    let mut channel = StreamChannel::new(1);
    let cut = LinkCondition { cut: true, ..LinkCondition::default() };
    channel.on_condition_change(0.0, &cut);
    channel.push(1.0, b"held", &cut);
    assert_eq!((channel.next_arrival(), channel.pop(9.0)), (None, None));
    channel.on_condition_change(9.0, &LinkCondition::default());
    assert_eq!(channel.pop(9.1), None);
    assert_eq!(channel.pop(9.0 + RETRANSMIT_DELAY_S).as_deref(), Some(&b"held"[..]));
}

#[test]
fn datagrams_are_lost_duplicated_corrupted_and_reordered_at_the_set_rates() {
    let condition =
        LinkCondition { loss: 0.2, duplicate: 0.1, reorder: 0.3, delay: 0.01, ..LinkCondition::default() };
    let (mut channel, mut now, mut order) = (DatagramChannel::new(7), 0.0, Vec::new());
    let n = 20_000u32;
    for k in 0..n {
        now += 0.001;
        channel.push(now, &k.to_be_bytes(), &condition);
        while let Some(bytes) = channel.pop(now) {
            order.push(u32::from_be_bytes(bytes.try_into().unwrap()));
        }
    }
    let share = order.len() as f64 / f64::from(n);
    assert!((share - 0.8 * 1.1).abs() < 0.02, "{share}");
    let overtaken = order.windows(2).filter(|w| w[0] > w[1]).count() as f64 / order.len() as f64;
    assert!(overtaken > 0.1 && overtaken < 0.6, "{overtaken}");
    // A cut drops datagrams instead of keeping them for later.
    channel.push(now, b"x", &LinkCondition::default());
    channel.on_condition_change(&LinkCondition { cut: true, ..LinkCondition::default() });
    assert_eq!(channel.next_arrival(), None);
    let corrupted = LinkCondition { corrupt: 1.0, ..LinkCondition::default() };
    channel.push(now, b"0123456789", &corrupted);
    let received = channel.pop(now).unwrap();
    assert_eq!(received.iter().zip(b"0123456789").filter(|(a, b)| a != b).count(), 1);
}

#[test]
fn faults_affect_only_the_endpoints_and_directions_they_name() {
    let (r0, r5, a, b) = (Endpoint::Router(0), Endpoint::Router(5), host("s-1-a", "a"), host("s-1-b", "b"));
    let mut active_faults = ActiveFaults::default();
    let scope = FaultScope::Between { from: selector("router:0-3"), to: selector("zone:a"), one_way: true };
    active_faults.begin(1, scope, LinkFault::Cut);
    assert!(active_faults.condition(&r0, &a).cut);
    assert!(!active_faults.condition(&a, &r0).cut, "one way only");
    assert!(active_faults.condition(&r5, &a).is_healthy() && active_faults.condition(&r0, &b).is_healthy());
    active_faults.begin(
        2,
        FaultScope::Sides(vec![selector("router:0 zone:a"), selector("router:5 zone:b")]),
        LinkFault::Cut,
    );
    assert!(
        active_faults.condition(&r5, &a).cut
            && active_faults.condition(&b, &r0).cut
            && active_faults.condition(&r0, &r5).cut
    );
    assert!(!active_faults.condition(&r5, &b).cut);
    assert!(
        active_faults.condition(&Endpoint::Clients, &r0).is_healthy(),
        "an endpoint on no side keeps its links"
    );
    active_faults.begin(
        3,
        FaultScope::Between { from: selector("router:5"), to: selector("host:*"), one_way: false },
        LinkFault::Loss(0.5),
    );
    active_faults.begin(
        4,
        FaultScope::Between { from: selector("host:*"), to: selector("router:*"), one_way: false },
        LinkFault::Loss(0.5),
    );
    assert_eq!(active_faults.condition(&r5, &b).loss, 0.75);
    (1..5).for_each(|n| active_faults.heal(n));
    assert!(active_faults.condition(&r5, &a).is_healthy());
    for invalid in ["router:", "router:5-3", "hosts", "", "zone"] {
        assert!(EndpointSelector::parse(invalid).is_err(), "{invalid}");
    }
    assert!(!Endpoint::Clients.talks_to(&a) && r0.talks_to(&r5) && !r0.talks_to(&Endpoint::Agent(5)));
}

#[test]
fn a_share_selects_that_many_processes_once_each_by_seed() {
    let selected = ProcessSelector::Share(0.7).select(16, 1.0, 3);
    let mut indices: Vec<usize> = selected.iter().map(|(n, _)| *n).collect();
    assert_eq!((indices.len(), selected[0].1, selected[10].1), (11, 0.0, 1.0));
    indices.sort_unstable();
    indices.dedup();
    assert_eq!(indices.len(), 11);
    assert_eq!(selected, ProcessSelector::Share(0.7).select(16, 1.0, 3));
    assert_ne!(selected, ProcessSelector::Share(0.7).select(16, 1.0, 4));
    assert_eq!(ProcessSelector::Share(0.01).select(16, 0.0, 1).len(), 1);
    assert!(ProcessSelector::One(20).select(16, 0.0, 1).is_empty());
}

#[test]
fn stored_state_is_changed_as_the_fault_says() {
    let bytes: Vec<u8> = (0..5000u32).map(|n| n as u8).collect();
    let copy = b"older".to_vec();
    assert_eq!(StateAfterRestart::Kept.apply(bytes.clone(), None, 1).as_ref(), Some(&bytes));
    assert_eq!(StateAfterRestart::Lost.apply(bytes.clone(), Some(&copy), 1), None);
    assert_eq!(StateAfterRestart::Older.apply(bytes.clone(), Some(&copy), 1), Some(copy));
    assert_eq!(StateAfterRestart::Cut.apply(bytes.clone(), None, 1).unwrap().len(), 2500);
    let corrupted = StateAfterRestart::Spoilt.apply(bytes.clone(), None, 1).unwrap();
    let differing = corrupted.iter().zip(&bytes).filter(|(a, b)| a != b).count();
    assert!(corrupted.len() == 5000 && (1..=5).contains(&differing));
}

#[test]
fn the_same_seed_draws_the_same_schedule() {
    let mut targets = FaultTargets {
        routers: 5,
        groups: vec!["1".to_string(), "2".to_string()],
        zones: vec!["a".to_string(), "b".to_string()],
        from: 2.0,
        to: 8.0,
        members: false,
    };
    let drawn = schedule::draw_schedule(&targets, 6, 1);
    assert_eq!(drawn, schedule::draw_schedule(&targets, 6, 1));
    assert_ne!(drawn, schedule::draw_schedule(&targets, 6, 2));
    assert!(drawn.windows(2).all(|w| w[0].at <= w[1].at));
    for seed in 0..600 {
        targets.members = seed >= 300;
        for fault in schedule::draw_schedule(&targets, 6, seed) {
            assert!((2.0..=8.0).contains(&fault.at));
            let is_link_fault = matches!(
                fault.action,
                schedule::FaultAction::Link { .. } | schedule::FaultAction::Partition { .. }
            );
            assert_eq!(schedule::as_link_fault(&fault.action).is_some(), is_link_fault, "{fault:?}");
        }
    }
}

/// Whichever two faults cause the failure, the search finds these two and keeps no other.
#[test]
fn a_schedule_shrinks_to_the_faults_that_are_needed() {
    for (a, b) in [(0, 1), (2, 9), (5, 15), (14, 15), (7, 7)] {
        let fails = |s: &[usize]| s.contains(&a) && s.contains(&b);
        let mut shrink = Shrinker::new((0..16).collect::<Vec<_>>());
        while let Some(candidate) = shrink.next_candidate() {
            shrink.record_result(fails(&candidate));
        }
        let mut expected = vec![a, b];
        expected.dedup();
        assert_eq!(shrink.smallest_failing(), expected);
        assert!(shrink.runs() < 60, "{}", shrink.runs());
    }
}

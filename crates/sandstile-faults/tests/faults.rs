//! The model of faults against what it promises.
use oorandom::Rand64;
use sandstile_faults::draw::{self, FaultTargets};
use sandstile_faults::fault_state::FaultScope;
use sandstile_faults::lane::{RETRANSMIT_DELAY_S, WINDOW_BYTES};
use sandstile_faults::process::ProcessSelector;
use sandstile_faults::shrink::Shrinker;
use sandstile_faults::{
    ActiveFaults, DatagramChannel, Endpoint, EndpointSelector, LinkCondition, LinkFault, StateAfterRestart,
    StreamChannel,
};

fn pick(text: &str) -> EndpointSelector {
    EndpointSelector::parse(text).unwrap()
}

fn host(name: &str, zone: &str) -> Endpoint {
    Endpoint::Host { name: name.to_string(), group: "1".to_string(), zone: zone.to_string() }
}

/// Whatever the weather does over time, a stream's bytes arrive whole, in order, and none stays on its way for ever.
#[test]
fn a_stream_keeps_its_order_in_any_weather() {
    fn holds(seed: u64) -> bool {
        let mut chance = Rand64::new(u128::from(seed));
        let (mut lane, mut now) = (StreamChannel::new(seed), 100.0);
        let (mut sent, mut got) = (Vec::new(), Vec::new());
        let mut condition = LinkCondition::default();
        for step in 0..200u64 {
            now += chance.rand_float() * 0.05;
            if chance.rand_range(0..5) == 0 {
                let cut = chance.rand_range(0..2) == 0;
                let (loss, jitter) = (chance.rand_float() * 0.5, chance.rand_float() * 0.2);
                condition = LinkCondition { cut, loss, jitter, rate: 50_000.0, ..LinkCondition::default() };
                lane.on_condition_change(now, &condition);
            }
            let piece: Vec<u8> = (0..chance.rand_range(0..3000)).map(|n| (n * 7 + step) as u8).collect();
            lane.push(now, &piece, &condition);
            sent.extend_from_slice(&piece);
            while let Some(piece) = lane.pop(now) {
                assert!(!condition.cut, "a cut lets nothing through");
                got.extend_from_slice(&piece);
            }
        }
        lane.on_condition_change(now, &LinkCondition::default());
        while let Some(at) = lane.next_arrival() {
            got.extend_from_slice(&lane.pop(at).unwrap());
        }
        got == sent && lane.free_bytes() == WINDOW_BYTES
    }
    quickcheck::QuickCheck::new().tests(60).quickcheck(holds as fn(u64) -> bool);
}

#[test]
fn a_heal_costs_what_was_cut_a_retransmission() {
    let mut lane = StreamChannel::new(1);
    let cut = LinkCondition { cut: true, ..LinkCondition::default() };
    lane.on_condition_change(0.0, &cut);
    lane.push(1.0, b"held", &cut);
    assert_eq!((lane.next_arrival(), lane.pop(9.0)), (None, None));
    lane.on_condition_change(9.0, &LinkCondition::default());
    assert_eq!(lane.pop(9.1), None);
    assert_eq!(lane.pop(9.0 + RETRANSMIT_DELAY_S).as_deref(), Some(&b"held"[..]));
}

#[test]
fn datagrams_are_lost_doubled_spoilt_and_overtaken_as_often_as_said() {
    let condition =
        LinkCondition { loss: 0.2, duplicate: 0.1, reorder: 0.3, delay: 0.01, ..LinkCondition::default() };
    let (mut way, mut now, mut order) = (DatagramChannel::new(7), 0.0, Vec::new());
    let n = 20_000u32;
    for k in 0..n {
        now += 0.001;
        way.push(now, &k.to_be_bytes(), &condition);
        while let Some(bytes) = way.pop(now) {
            order.push(u32::from_be_bytes(bytes.try_into().unwrap()));
        }
    }
    let share = order.len() as f64 / f64::from(n);
    assert!((share - 0.8 * 1.1).abs() < 0.02, "{share}");
    let overtaken = order.windows(2).filter(|w| w[0] > w[1]).count() as f64 / order.len() as f64;
    assert!(overtaken > 0.1 && overtaken < 0.6, "{overtaken}");
    // Into a cut nothing is kept for later.
    way.push(now, b"x", &LinkCondition::default());
    way.on_condition_change(&LinkCondition { cut: true, ..LinkCondition::default() });
    assert_eq!(way.next_arrival(), None);
    let spoilt = LinkCondition { corrupt: 1.0, ..LinkCondition::default() };
    way.push(now, b"0123456789", &spoilt);
    let got = way.pop(now).unwrap();
    assert_eq!(got.iter().zip(b"0123456789").filter(|(a, b)| a != b).count(), 1);
}

#[test]
fn faults_touch_those_they_name_in_the_direction_they_name() {
    let (r0, r5, a, b) = (Endpoint::Router(0), Endpoint::Router(5), host("s-1-a", "a"), host("s-1-b", "b"));
    let mut net = ActiveFaults::default();
    let one = FaultScope::Between { from: pick("router:0-3"), to: pick("zone:a"), one_way: true };
    net.begin(1, one, LinkFault::Cut);
    assert!(net.condition(&r0, &a).cut);
    assert!(!net.condition(&a, &r0).cut, "one way only");
    assert!(net.condition(&r5, &a).is_healthy() && net.condition(&r0, &b).is_healthy());
    net.begin(2, FaultScope::Sides(vec![pick("router:0 zone:a"), pick("router:5 zone:b")]), LinkFault::Cut);
    assert!(net.condition(&r5, &a).cut && net.condition(&b, &r0).cut && net.condition(&r0, &r5).cut);
    assert!(!net.condition(&r5, &b).cut);
    assert!(net.condition(&Endpoint::Clients, &r0).is_healthy(), "whoever is on no side hears all");
    net.begin(
        3,
        FaultScope::Between { from: pick("router:5"), to: pick("host:*"), one_way: false },
        LinkFault::Loss(0.5),
    );
    net.begin(
        4,
        FaultScope::Between { from: pick("host:*"), to: pick("router:*"), one_way: false },
        LinkFault::Loss(0.5),
    );
    assert_eq!(net.condition(&r5, &b).loss, 0.75);
    (1..5).for_each(|n| net.heal(n));
    assert!(net.condition(&r5, &a).is_healthy());
    for wrong in ["router:", "router:5-3", "hosts", "", "zone"] {
        assert!(EndpointSelector::parse(wrong).is_err(), "{wrong}");
    }
    assert!(!Endpoint::Clients.talks_to(&a) && r0.talks_to(&r5) && !r0.talks_to(&Endpoint::Agent(5)));
}

#[test]
fn a_share_strikes_so_many_once_each_by_seed() {
    let struck = ProcessSelector::Share(0.7).select(16, 1.0, 3);
    let mut who: Vec<usize> = struck.iter().map(|(n, _)| *n).collect();
    assert_eq!((who.len(), struck[0].1, struck[10].1), (11, 0.0, 1.0));
    who.sort_unstable();
    who.dedup();
    assert_eq!(who.len(), 11);
    assert_eq!(struck, ProcessSelector::Share(0.7).select(16, 1.0, 3));
    assert_ne!(struck, ProcessSelector::Share(0.7).select(16, 1.0, 4));
    assert_eq!(ProcessSelector::Share(0.01).select(16, 0.0, 1).len(), 1);
    assert!(ProcessSelector::One(20).select(16, 0.0, 1).is_empty());
}

#[test]
fn stored_state_is_found_as_the_fault_has_it() {
    let bytes: Vec<u8> = (0..5000u32).map(|n| n as u8).collect();
    let copy = b"older".to_vec();
    assert_eq!(StateAfterRestart::Kept.apply(bytes.clone(), None, 1).as_ref(), Some(&bytes));
    assert_eq!(StateAfterRestart::Lost.apply(bytes.clone(), Some(&copy), 1), None);
    assert_eq!(StateAfterRestart::OlderCopy.apply(bytes.clone(), Some(&copy), 1), Some(copy));
    assert_eq!(StateAfterRestart::Cut.apply(bytes.clone(), None, 1).unwrap().len(), 2500);
    let spoilt = StateAfterRestart::Corrupted.apply(bytes.clone(), None, 1).unwrap();
    let other = spoilt.iter().zip(&bytes).filter(|(a, b)| a != b).count();
    assert!(spoilt.len() == 5000 && (1..=5).contains(&other));
}

#[test]
fn draws_are_the_seeds_own() {
    let mut field = FaultTargets {
        routers: 5,
        groups: vec!["1".to_string(), "2".to_string()],
        zones: vec!["a".to_string(), "b".to_string()],
        from: 2.0,
        to: 8.0,
        members: false,
    };
    let one = draw::draw_schedule(&field, 6, 1);
    assert_eq!(one, draw::draw_schedule(&field, 6, 1));
    assert_ne!(one, draw::draw_schedule(&field, 6, 2));
    assert!(one.windows(2).all(|w| w[0].at <= w[1].at));
    for seed in 0..600 {
        field.members = seed >= 300;
        for fault in draw::draw_schedule(&field, 6, seed) {
            assert!((2.0..=8.0).contains(&fault.at));
            let link =
                matches!(fault.action, draw::FaultAction::Link { .. } | draw::FaultAction::Partition { .. });
            assert_eq!(draw::as_link_fault(&fault.action).is_some(), link, "{fault:?}");
        }
    }
}

/// Whatever two faults it takes, they are found, and no other is kept.
#[test]
fn a_schedule_shrinks_to_what_it_takes() {
    for (a, b) in [(0, 1), (2, 9), (5, 15), (14, 15), (7, 7)] {
        let fails = |s: &[usize]| s.contains(&a) && s.contains(&b);
        let mut shrink = Shrinker::new((0..16).collect::<Vec<_>>());
        while let Some(tried) = shrink.next_candidate() {
            shrink.record_result(fails(&tried));
        }
        let mut want = vec![a, b];
        want.dedup();
        assert_eq!(shrink.smallest_failing(), want);
        assert!(shrink.runs() < 60, "{}", shrink.runs());
    }
}

//! Sealed datagrams, and several peers on a simulated network: key rotation during a partition, replays, floods, and the views that
//! result.
use oorandom::Rand64;
use sandstile_membership::Meta;
use sandstile_membership_view::{Direction, Topic, View};
use sandstile_peers::{OpenError, Opener, PeerEvent, Peers, Sealer, Settings};
use std::net::SocketAddr;

const OLD: [u8; 32] = [7; 32];
const NEW: [u8; 32] = [9; 32];

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 8, 0, n as u8 + 1], 7433))
}

/// Whatever the order and number of deliveries, each datagram is accepted at most once, none is lost that is within the replay window,
/// and none that was modified is accepted.
#[test]
fn a_datagram_is_accepted_once() {
    fn property(seed: u64) -> bool {
        let mut rng = Rand64::new(u128::from(seed));
        let mut sealer = Sealer::new(vec![OLD], rng.rand_u64());
        let mut opener = Opener::new(vec![OLD], 0.0);
        let datagrams: Vec<Vec<u8>> =
            (0..200u32).map(|n| sealer.seal(address(1), &n.to_be_bytes())).collect();
        let mut accepted = vec![0; 200];
        let mut now = 0.0;
        for n in 0..200usize {
            // Some datagrams arrive late, and most are repeated.
            for m in [n.saturating_sub(rng.rand_range(0..40) as usize), n, n] {
                now += 0.01;
                if let Ok((payload, _)) = opener.open(now, &datagrams[m]) {
                    accepted[u32::from_be_bytes(payload.try_into().unwrap()) as usize] += 1;
                }
            }
            let mut bytes = datagrams[n].clone();
            let index = rng.rand_range(0..bytes.len() as u64) as usize;
            bytes[index] ^= 1 << rng.rand_range(0..8);
            if opener.open(now, &bytes).is_ok() {
                return false;
            }
        }
        accepted.iter().all(|n| *n == 1)
    }
    quickcheck::QuickCheck::new().tests(100).quickcheck(property as fn(u64) -> bool);
}

#[test]
fn rejected_datagrams_have_the_right_error() {
    let mut sealer = Sealer::new(vec![OLD], 5);
    let mut opener = Opener::new(vec![OLD], 0.0);
    let first_datagram = sealer.seal(address(1), b"a");
    assert!(opener.open(0.0, &first_datagram).is_ok());
    assert_eq!(opener.open(0.0, &first_datagram), Err(OpenError::Replayed));
    let datagrams: Vec<Vec<u8>> = (0..100).map(|_| sealer.seal(address(1), b"b")).collect();
    assert!(opener.open(0.0, &datagrams[99]).is_ok());
    assert_eq!(
        opener.open(0.0, &datagrams[0]),
        Err(OpenError::Replayed),
        "too old to tell whether it was accepted"
    );
    assert!(opener.open(0.0, &datagrams[60]).is_ok(), "late but within the window");
    assert_eq!(opener.open(0.0, &Sealer::new(vec![NEW], 6).seal(address(1), b"x")), Err(OpenError::Forged));
    assert_eq!(opener.open(0.0, &[1; 8]), Err(OpenError::Unreadable));
    // A flooding sender is limited, and other senders are still accepted.
    let mut flooding_sealer = Sealer::new(vec![OLD], 7);
    let accepted =
        (0..5000).filter(|_| opener.open(0.0, &flooding_sealer.seal(address(1), b"!")).is_ok()).count();
    assert!(accepted < 500, "{accepted}");
    assert!(opener.open(0.0, &sealer.seal(address(1), b"c")).is_ok());
    // Many senders with a valid key: limited to the rate of all senders, and the tracked senders stay bounded.
    let accepted = (0..20_000u64)
        .filter(|n| opener.open(0.0, &Sealer::new(vec![OLD], 100 + n).seal(address(1), b"!")).is_ok());
    assert!(accepted.count() < 8000);
    assert!(opener.sender_count() <= 2048);
}

/// Peers whose datagrams arrive at once, unless `cut` drops them.
struct Network {
    peers: Vec<Peers>,
    now: f64,
    cut: fn(usize, usize) -> bool,
    events: Vec<(usize, PeerEvent)>,
}

impl Network {
    fn new(n: usize, configured_routers: Option<usize>, keys: fn(usize) -> Vec<[u8; 32]>) -> Network {
        let peer = |n: usize| {
            let settings = Settings {
                name: format!("n{n}"),
                generation: 100 + n as u64,
                address: address(n),
                seeds: vec![address(0), address(1)],
                meta: Meta { version: 1, zone: "a".to_string(), exchange: Some(address(n + 100)) },
                period: 0.25,
                configured_routers,
                keys: keys(n),
            };
            Peers::new(settings, n as u64, 0.0)
        };
        Network { peers: (0..n).map(peer).collect(), now: 0.0, cut: |_, _| false, events: Vec::new() }
    }

    fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += 0.01;
            for n in 0..self.peers.len() {
                if self.peers[n].due() <= self.now {
                    self.peers[n].on_timer(self.now);
                }
            }
            for _ in 0..4 {
                for from in 0..self.peers.len() {
                    for (to, datagram) in self.peers[from].take_outgoing(self.now) {
                        let Some(to) = (0..self.peers.len()).find(|n| address(*n) == to) else { continue };
                        if !(self.cut)(from, to) {
                            self.peers[to].handle_datagram(self.now, &datagram);
                        }
                    }
                }
            }
            for n in 0..self.peers.len() {
                self.events.extend(self.peers[n].take_events().into_iter().map(|event| (n, event)));
            }
        }
    }

    fn all(&self, view: View, count: usize) -> bool {
        self.peers.iter().all(|p| p.view() == view && p.count() == count)
    }
}

#[test]
fn views_follow_a_partition_and_its_end() {
    let mut network = Network::new(6, Some(6), |_| vec![OLD]);
    network.run(8.0);
    assert!(network.all(View::Agreed, 6), "{:?}", network.peers[0].report(network.now));
    let exchange_peers = network.events.iter().rev().find_map(|(n, event)| match event {
        PeerEvent::ExchangePeers(addresses) if *n == 0 => Some(addresses.len()),
        _ => None,
    });
    assert_eq!(exchange_peers, Some(5), "state is exchanged with all others");
    network.cut = |a, b| (a < 3) != (b < 3);
    network.events.clear();
    network.run(8.0);
    assert!(network.all(View::CutOff, 3));
    for p in &network.peers {
        assert_eq!(
            p.report(network.now).sharing_routers,
            Some(6.0),
            "no router takes a larger share during a partition"
        );
        assert!(
            p.may_act(Topic::Primary, Direction::MoreCareful, false)
                && !p.may_act(Topic::SharingRouters, Direction::LessCareful, true)
        );
    }
    network.cut = |_, _| false;
    network.run(10.0);
    assert!(network.all(View::Agreed, 6));
    assert!(!network.events.iter().any(|(_, event)| matches!(event, PeerEvent::SharingRouters(_))));
}

#[test]
fn a_lower_number_of_routers_counts_after_a_delay_and_a_higher_one_at_once() {
    let mut network = Network::new(6, Some(3), |_| vec![OLD]);
    network.run(8.0);
    assert!(
        network.events.iter().any(|(_, event)| *event == PeerEvent::SharingRouters(6.0)),
        "more than the configuration file says counts at once"
    );
    // One member leaves properly.
    network.peers[5].leave();
    network.run(0.1);
    network.peers.pop();
    network.events.clear();
    network.run(25.0);
    assert!(
        !network.events.iter().any(|(_, event)| matches!(event, PeerEvent::SharingRouters(_))),
        "not yet"
    );
    network.run(15.0);
    assert!(network.events.iter().any(|(n, event)| *n == 0 && *event == PeerEvent::SharingRouters(5.0)));
}

/// During a partition, one side has both the new key and the old one, the other only the old one: the sides find each other again
/// afterwards, and once more after the old key is removed.
#[test]
fn a_key_rotation_during_a_partition_separates_no_member() {
    let mut network = Network::new(4, None, |_| vec![OLD]);
    network.run(6.0);
    network.cut = |a, b| (a < 2) != (b < 2);
    network.run(3.0);
    for n in 0..2 {
        network.peers[n].rotate(vec![NEW, OLD]);
    }
    network.run(5.0);
    assert!(network.all(View::CutOff, 2));
    network.cut = |_, _| false;
    network.run(12.0);
    assert!(
        network.all(View::Agreed, 4),
        "{:?}",
        network.peers.iter().map(|p| p.count()).collect::<Vec<_>>()
    );
    // The other side gets the new key as well, and then the old one is removed.
    for n in 2..4 {
        network.peers[n].rotate(vec![NEW, OLD]);
    }
    network.run(5.0);
    network.events.clear();
    for n in 0..4 {
        network.peers[n].rotate(vec![NEW]);
    }
    network.run(5.0);
    assert!(network.all(View::Agreed, 4));
    assert!(!network
        .events
        .iter()
        .any(|(_, event)| matches!(event, PeerEvent::Change(sandstile_membership::Change::Died(_)))));
}

/// Malformed datagrams and a flood from a sender without the key neither grow the state nor affect the members.
#[test]
fn malformed_and_unauthenticated_datagrams_change_nothing() {
    let mut network = Network::new(3, None, |_| vec![OLD]);
    network.run(6.0);
    let mut stranger = Sealer::new(vec![NEW], 1);
    let mut rng = Rand64::new(3);
    let entries_before = network.peers[0].state_entries();
    for _ in 0..200 {
        for _ in 0..20 {
            let bytes: Vec<u8> = (0..rng.rand_range(0..1500)).map(|_| rng.rand_u64() as u8).collect();
            network.peers[0].handle_datagram(network.now, &bytes);
            network.peers[0].handle_datagram(network.now, &stranger.seal(address(0), &bytes));
        }
        network.run(0.05);
    }
    assert!(network.all(View::Agreed, 3));
    assert!(network.peers[0].state_entries() <= entries_before + 4);
    let counts = network.peers[0].counts();
    assert!(counts.forged >= 4000 && counts.deaths == 0, "{counts:?}");
}

/// A member that keeps requesting the full state is answered only up to the limit on bytes sent.
#[test]
fn repeated_state_requests_do_not_amplify_traffic() {
    let mut network = Network::new(3, None, |_| vec![OLD]);
    network.run(6.0);
    let mut flooding_member = Sealer::new(vec![OLD], 1);
    let update = |n: usize, life| sandstile_membership::MemberUpdate {
        id: sandstile_membership::MemberId { name: format!("x{n}"), life },
        address: address(50),
        incarnation: 0,
        state: sandstile_membership::State::Alive,
        accuser: 0,
        meta: Meta::default(),
    };
    let datagram =
        |message, updates| sandstile_membership::Datagram { from: update(0, 1), message, updates, digest: 0 };
    use sandstile_membership::Message::{Gossip, StateRequest};
    for n in 0..50 {
        let updates = (0..20).map(|m| update(n * 20 + m, 1)).collect();
        network.peers[0].handle_datagram(
            network.now,
            &flooding_member.seal(address(0), &datagram(Gossip, updates).write()),
        );
    }
    network.peers[0].take_outgoing(network.now);
    let mut bytes = 0;
    for _ in 0..300 {
        network.peers[0].handle_datagram(
            network.now,
            &flooding_member.seal(address(0), &datagram(StateRequest, Vec::new()).write()),
        );
        bytes += network.peers[0]
            .take_outgoing(network.now)
            .iter()
            .map(|(_, datagram)| datagram.len())
            .sum::<usize>();
    }
    assert!(bytes < 500_000, "{bytes} bytes at once");
    assert!(network.peers[0].counts().held_back > 0);
}

/// Local health makes a router that is cut off slow to declare the others dead. It must still notice within seconds that it receives
/// nothing, and that the others do not receive it, as soon as it is reported dead.
#[test]
fn a_router_cut_off_in_one_or_both_directions_notices_it_soon() {
    let mut network = Network::new(6, None, |_| vec![OLD]);
    network.run(8.0);
    network.cut = |a, b| (a == 0) != (b == 0);
    network.run(2.0);
    assert_eq!(network.peers[0].view(), View::Alone);
    assert!(network.peers[0].count() > 1, "it still considers some members live");
    network.cut = |_, _| false;
    network.run(10.0);
    assert!(network.all(View::Agreed, 6));
    network.cut = |a, _| a == 0;
    network.run(7.0);
    assert!(network.peers[0].view() >= View::CutOff, "{:?}", network.peers[0].report(network.now));
    assert_eq!(network.peers[0].count(), 6, "it receives from all of them");
}

/// A member that used the old key is answered with it, and regularly with the newest one: otherwise both would keep the old key for good.
#[test]
fn the_newest_key_is_tried_regularly() {
    let mut sealer = Sealer::new(vec![NEW, OLD], 1);
    sealer.remember_key(address(1), OLD);
    let datagrams: Vec<Vec<u8>> = (0..16).map(|_| sealer.seal(address(1), b"x")).collect();
    let opened_with = |key| {
        let mut opener = Opener::new(vec![key], 0.0);
        datagrams.iter().filter(|datagram| opener.open(0.0, datagram).is_ok()).count()
    };
    assert_eq!((opened_with(OLD), opened_with(NEW)), (14, 2));
}

//! Sealed letters, and many peers before a network that the test moves: keys that change on one side of a split, letters said twice,
//! floods, and what the views make of it.
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

/// Whatever order letters come in, and however often: each counts at most once, none is lost that is less than the window late, and
/// nothing that was changed on the way is taken.
#[test]
fn a_letter_counts_once() {
    fn holds(seed: u64) -> bool {
        let mut rng = Rand64::new(u128::from(seed));
        let mut sealer = Sealer::new(vec![OLD], rng.rand_u64());
        let mut opener = Opener::new(vec![OLD], 0.0);
        let letters: Vec<Vec<u8>> = (0..200u32).map(|n| sealer.seal(address(1), &n.to_be_bytes())).collect();
        let mut taken = vec![0; 200];
        let mut now = 0.0;
        for n in 0..200usize {
            // A few late, and most said again.
            for m in [n.saturating_sub(rng.rand_range(0..40) as usize), n, n] {
                now += 0.01;
                if let Ok((letter, _)) = opener.open(now, &letters[m]) {
                    taken[u32::from_be_bytes(letter.try_into().unwrap()) as usize] += 1;
                }
            }
            let mut bytes = letters[n].clone();
            let index = rng.rand_range(0..bytes.len() as u64) as usize;
            bytes[index] ^= 1 << rng.rand_range(0..8);
            if opener.open(now, &bytes).is_ok() {
                return false;
            }
        }
        taken.iter().all(|n| *n == 1)
    }
    quickcheck::QuickCheck::new().tests(100).quickcheck(holds as fn(u64) -> bool);
}

#[test]
fn what_is_refused_says_why() {
    let mut sealer = Sealer::new(vec![OLD], 5);
    let mut opener = Opener::new(vec![OLD], 0.0);
    let first = sealer.seal(address(1), b"a");
    assert!(opener.open(0.0, &first).is_ok());
    assert_eq!(opener.open(0.0, &first), Err(OpenError::Replayed));
    let letters: Vec<Vec<u8>> = (0..100).map(|_| sealer.seal(address(1), b"b")).collect();
    assert!(opener.open(0.0, &letters[99]).is_ok());
    assert_eq!(opener.open(0.0, &letters[0]), Err(OpenError::Replayed), "so old that nobody can tell");
    assert!(opener.open(0.0, &letters[60]).is_ok(), "late is not twice");
    assert_eq!(opener.open(0.0, &Sealer::new(vec![NEW], 6).seal(address(1), b"x")), Err(OpenError::Forged));
    assert_eq!(opener.open(0.0, &[1; 8]), Err(OpenError::Unreadable));
    // One sender that floods is held to its part, and the others are heard.
    let mut loud = Sealer::new(vec![OLD], 7);
    let heard = (0..5000).filter(|_| opener.open(0.0, &loud.seal(address(1), b"!")).is_ok()).count();
    assert!(heard < 500, "{heard}");
    assert!(opener.open(0.0, &sealer.seal(address(1), b"c")).is_ok());
    // Many names of one liar: as much as all together may say, and the memory has an end.
    let heard = (0..20_000u64)
        .filter(|n| opener.open(0.0, &Sealer::new(vec![OLD], 100 + n).seal(address(1), b"!")).is_ok());
    assert!(heard.count() < 8000);
    assert!(opener.sender_count() <= 2048);
}

/// Peers that hear each other at once, unless the test cuts them.
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
                    for (to, letter) in self.peers[from].take_outgoing(self.now) {
                        let Some(to) = (0..self.peers.len()).find(|n| address(*n) == to) else { continue };
                        if !(self.cut)(from, to) {
                            self.peers[to].handle_datagram(self.now, &letter);
                        }
                    }
                }
            }
            for n in 0..self.peers.len() {
                self.events.extend(self.peers[n].take_events().into_iter().map(|events| (n, events)));
            }
        }
    }

    fn all(&self, view: View, count: usize) -> bool {
        self.peers.iter().all(|p| p.view() == view && p.count() == count)
    }
}

#[test]
fn views_follow_a_split_and_its_heal() {
    let mut network = Network::new(6, Some(6), |_| vec![OLD]);
    network.run(8.0);
    assert!(network.all(View::Agreed, 6), "{:?}", network.peers[0].report(network.now));
    let told = network.events.iter().rev().find_map(|(n, events)| match events {
        PeerEvent::ExchangePeers(whom) if *n == 0 => Some(whom.len()),
        _ => None,
    });
    assert_eq!(told, Some(5), "all others are to be told what is known here");
    network.cut = |a, b| (a < 3) != (b < 3);
    network.events.clear();
    network.run(8.0);
    assert!(network.all(View::CutOff, 3));
    for p in &network.peers {
        assert_eq!(p.report(network.now).sharing_routers, Some(6.0), "nobody takes a larger part in a split");
        assert!(
            p.may_act(Topic::Primary, Direction::MoreCareful, false)
                && !p.may_act(Topic::SharingRouters, Direction::LessCareful, true)
        );
    }
    network.cut = |_, _| false;
    network.run(10.0);
    assert!(network.all(View::Agreed, 6));
    assert!(!network.events.iter().any(|(_, n)| matches!(n, PeerEvent::SharingRouters(_))));
}

#[test]
fn fewer_share_only_after_they_have_stood_and_more_at_once() {
    let mut network = Network::new(6, Some(3), |_| vec![OLD]);
    network.run(8.0);
    assert!(
        network.events.iter().any(|(_, n)| *n == PeerEvent::SharingRouters(6.0)),
        "more than the file says, at once"
    );
    // One leaves in order.
    network.peers[5].leave();
    network.run(0.1);
    network.peers.pop();
    network.events.clear();
    network.run(25.0);
    assert!(!network.events.iter().any(|(_, n)| matches!(n, PeerEvent::SharingRouters(_))), "not yet");
    network.run(15.0);
    assert!(network.events.iter().any(|(n, events)| *n == 0 && *events == PeerEvent::SharingRouters(5.0)));
}

/// One side has the new key first, the other the old one alone: they find each other, before the split and after it.
#[test]
fn keys_that_change_during_a_split_part_nobody() {
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
    // All have it by now, and then the old one goes.
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
        .any(|(_, n)| matches!(n, PeerEvent::Change(sandstile_membership::Change::Died(_)))));
}

/// A stranger's flood, and garbage: no state, and the members stay.
#[test]
fn garbage_and_strangers_move_nothing() {
    let mut network = Network::new(3, None, |_| vec![OLD]);
    network.run(6.0);
    let mut stranger = Sealer::new(vec![NEW], 1);
    let mut rng = Rand64::new(3);
    let held = network.peers[0].state_entries();
    for _ in 0..200 {
        for _ in 0..20 {
            let bytes: Vec<u8> = (0..rng.rand_range(0..1500)).map(|_| rng.rand_u64() as u8).collect();
            network.peers[0].handle_datagram(network.now, &bytes);
            network.peers[0].handle_datagram(network.now, &stranger.seal(address(0), &bytes));
        }
        network.run(0.05);
    }
    assert!(network.all(View::Agreed, 3));
    assert!(network.peers[0].state_entries() <= held + 4);
    let counts = network.peers[0].counts();
    assert!(counts.forged >= 4000 && counts.deaths == 0, "{counts:?}");
}

/// A member that asks again and again for all that is known is answered as far as the bound on bytes goes.
#[test]
fn nobody_makes_a_peer_a_gun() {
    let mut network = Network::new(3, None, |_| vec![OLD]);
    network.run(6.0);
    let mut liar = Sealer::new(vec![OLD], 1);
    let update = |n: usize, life| sandstile_membership::MemberUpdate {
        id: sandstile_membership::MemberId { name: format!("x{n}"), life },
        address: address(50),
        incarnation: 0,
        state: sandstile_membership::State::Alive,
        accuser: 0,
        meta: Meta::default(),
    };
    let letter =
        |message, updates| sandstile_membership::Datagram { from: update(0, 1), message, updates, digest: 0 };
    use sandstile_membership::Message::{Gossip, StateRequest};
    for n in 0..50 {
        let names = (0..20).map(|m| update(n * 20 + m, 1)).collect();
        network.peers[0].handle_datagram(network.now, &liar.seal(address(0), &letter(Gossip, names).write()));
    }
    network.peers[0].take_outgoing(network.now);
    let mut bytes = 0;
    for _ in 0..300 {
        network.peers[0]
            .handle_datagram(network.now, &liar.seal(address(0), &letter(StateRequest, Vec::new()).write()));
        bytes += network.peers[0].take_outgoing(network.now).iter().map(|(_, l)| l.len()).sum::<usize>();
    }
    assert!(bytes < 500_000, "{bytes} bytes at once");
    assert!(network.peers[0].counts().held_back > 0);
}

/// Local health makes whoever is cut off slow to hold the others for dead. That it hears nobody it sees at once, and that it is not
/// heard as soon as it is said dead.
#[test]
fn one_that_hears_nobody_or_is_not_heard_knows_it_soon() {
    let mut network = Network::new(6, None, |_| vec![OLD]);
    network.run(8.0);
    network.cut = |a, b| (a == 0) != (b == 0);
    network.run(2.0);
    assert_eq!(network.peers[0].view(), View::Alone);
    assert!(network.peers[0].count() > 1, "it holds some for there yet");
    network.cut = |_, _| false;
    network.run(10.0);
    assert!(network.all(View::Agreed, 6));
    network.cut = |a, _| a == 0;
    network.run(7.0);
    assert!(network.peers[0].view() >= View::CutOff, "{:?}", network.peers[0].report(network.now));
    assert_eq!(network.peers[0].count(), 6, "it hears all of them");
}

/// Whoever spoke under the old key is answered under it, and now and then under the new: else both would stay with the old for ever.
#[test]
fn the_newest_key_is_tried_now_and_then() {
    let mut sealer = Sealer::new(vec![NEW, OLD], 1);
    sealer.remember_key(address(1), OLD);
    let letters: Vec<Vec<u8>> = (0..16).map(|_| sealer.seal(address(1), b"x")).collect();
    let opened = |key| {
        let mut opener = Opener::new(vec![key], 0.0);
        letters.iter().filter(|l| opener.open(0.0, l).is_ok()).count()
    };
    assert_eq!((opened(OLD), opened(NEW)), (14, 2));
}

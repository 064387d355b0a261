//! Sealed letters, and many peers before a network that the test moves: keys that change on one side of a split, letters said twice,
//! floods, and what the views make of it.
use oorandom::Rand64;
use sandstile_membership::Meta;
use sandstile_membership_view::{About, View, Way};
use sandstile_peers::{News, Opener, Peers, Refused, Sealer, Terms};
use std::net::SocketAddr;

const OLD: [u8; 32] = [7; 32];
const NEW: [u8; 32] = [9; 32];

fn at(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 8, 0, n as u8 + 1], 7433))
}

/// Whatever order letters come in, and however often: each counts at most once, none is lost that is less than the window late, and
/// nothing that was changed on the way is taken.
#[test]
fn a_letter_counts_once() {
    fn holds(seed: u64) -> bool {
        let mut chance = Rand64::new(u128::from(seed));
        let mut sealer = Sealer::new(vec![OLD], chance.rand_u64());
        let mut opener = Opener::new(vec![OLD], 0.0);
        let letters: Vec<Vec<u8>> = (0..200u32).map(|n| sealer.seal(at(1), &n.to_be_bytes())).collect();
        let mut taken = vec![0; 200];
        let mut now = 0.0;
        for n in 0..200usize {
            // A few late, and most said again.
            for m in [n.saturating_sub(chance.rand_range(0..40) as usize), n, n] {
                now += 0.01;
                if let Ok((letter, _)) = opener.open(now, &letters[m]) {
                    taken[u32::from_be_bytes(letter.try_into().unwrap()) as usize] += 1;
                }
            }
            let mut bytes = letters[n].clone();
            let at = chance.rand_range(0..bytes.len() as u64) as usize;
            bytes[at] ^= 1 << chance.rand_range(0..8);
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
    let first = sealer.seal(at(1), b"a");
    assert!(opener.open(0.0, &first).is_ok());
    assert_eq!(opener.open(0.0, &first), Err(Refused::Replayed));
    let letters: Vec<Vec<u8>> = (0..100).map(|_| sealer.seal(at(1), b"b")).collect();
    assert!(opener.open(0.0, &letters[99]).is_ok());
    assert_eq!(opener.open(0.0, &letters[0]), Err(Refused::Replayed), "so old that nobody can tell");
    assert!(opener.open(0.0, &letters[60]).is_ok(), "late is not twice");
    assert_eq!(opener.open(0.0, &Sealer::new(vec![NEW], 6).seal(at(1), b"x")), Err(Refused::Forged));
    assert_eq!(opener.open(0.0, &[1; 8]), Err(Refused::Unreadable));
    // One sender that floods is held to its part, and the others are heard.
    let mut loud = Sealer::new(vec![OLD], 7);
    let heard = (0..5000).filter(|_| opener.open(0.0, &loud.seal(at(1), b"!")).is_ok()).count();
    assert!(heard < 500, "{heard}");
    assert!(opener.open(0.0, &sealer.seal(at(1), b"c")).is_ok());
    // Many names of one liar: as much as all together may say, and the memory has an end.
    let heard = (0..20_000u64)
        .filter(|n| opener.open(0.0, &Sealer::new(vec![OLD], 100 + n).seal(at(1), b"!")).is_ok());
    assert!(heard.count() < 8000);
    assert!(opener.held() <= 2048);
}

/// Peers that hear each other at once, unless the test cuts them.
struct Net {
    peers: Vec<Peers>,
    now: f64,
    cut: fn(usize, usize) -> bool,
    news: Vec<(usize, News)>,
}

impl Net {
    fn new(n: usize, share: Option<usize>, keys: fn(usize) -> Vec<[u8; 32]>) -> Net {
        let peer = |n: usize| {
            let terms = Terms {
                name: format!("n{n}"),
                life: 100 + n as u64,
                at: at(n),
                seeds: vec![at(0), at(1)],
                meta: Meta { version: 1, zone: "a".to_string(), exchange: Some(at(n + 100)) },
                period: 0.25,
                share,
                keys: keys(n),
            };
            Peers::new(terms, n as u64, 0.0)
        };
        Net { peers: (0..n).map(peer).collect(), now: 0.0, cut: |_, _| false, news: Vec::new() }
    }

    fn play(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += 0.01;
            for n in 0..self.peers.len() {
                if self.peers[n].due() <= self.now {
                    self.peers[n].woken(self.now);
                }
            }
            for _ in 0..4 {
                for from in 0..self.peers.len() {
                    for (to, letter) in self.peers[from].take_out(self.now) {
                        let Some(to) = (0..self.peers.len()).find(|n| at(*n) == to) else { continue };
                        if !(self.cut)(from, to) {
                            self.peers[to].received(self.now, &letter);
                        }
                    }
                }
            }
            for n in 0..self.peers.len() {
                self.news.extend(self.peers[n].take_news().into_iter().map(|news| (n, news)));
            }
        }
    }

    fn all(&self, view: View, count: usize) -> bool {
        self.peers.iter().all(|p| p.view() == view && p.count() == count)
    }
}

#[test]
fn views_follow_a_split_and_its_heal() {
    let mut net = Net::new(6, Some(6), |_| vec![OLD]);
    net.play(8.0);
    assert!(net.all(View::Agreed, 6), "{:?}", net.peers[0].report(net.now));
    let told = net.news.iter().rev().find_map(|(n, news)| match news {
        News::Tell(whom) if *n == 0 => Some(whom.len()),
        _ => None,
    });
    assert_eq!(told, Some(5), "all others are to be told what is known here");
    net.cut = |a, b| (a < 3) != (b < 3);
    net.news.clear();
    net.play(8.0);
    assert!(net.all(View::CutOff, 3));
    for p in &net.peers {
        assert_eq!(p.report(net.now).sharers, Some(6.0), "nobody takes a larger part in a split");
        assert!(
            p.may(About::Primary, Way::MoreCareful, false) && !p.may(About::Sharers, Way::LessCareful, true)
        );
    }
    net.cut = |_, _| false;
    net.play(10.0);
    assert!(net.all(View::Agreed, 6));
    assert!(!net.news.iter().any(|(_, n)| matches!(n, News::Sharers(_))));
}

#[test]
fn fewer_share_only_after_they_have_stood_and_more_at_once() {
    let mut net = Net::new(6, Some(3), |_| vec![OLD]);
    net.play(8.0);
    assert!(net.news.iter().any(|(_, n)| *n == News::Sharers(6.0)), "more than the file says, at once");
    // One leaves in order.
    net.peers[5].leave();
    net.play(0.1);
    net.peers.pop();
    net.news.clear();
    net.play(25.0);
    assert!(!net.news.iter().any(|(_, n)| matches!(n, News::Sharers(_))), "not yet");
    net.play(15.0);
    assert!(net.news.iter().any(|(n, news)| *n == 0 && *news == News::Sharers(5.0)));
}

/// One side has the new key first, the other the old one alone: they find each other, before the split and after it.
#[test]
fn keys_that_change_during_a_split_part_nobody() {
    let mut net = Net::new(4, None, |_| vec![OLD]);
    net.play(6.0);
    net.cut = |a, b| (a < 2) != (b < 2);
    net.play(3.0);
    for n in 0..2 {
        net.peers[n].rotate(vec![NEW, OLD]);
    }
    net.play(5.0);
    assert!(net.all(View::CutOff, 2));
    net.cut = |_, _| false;
    net.play(12.0);
    assert!(net.all(View::Agreed, 4), "{:?}", net.peers.iter().map(|p| p.count()).collect::<Vec<_>>());
    // All have it by now, and then the old one goes.
    for n in 2..4 {
        net.peers[n].rotate(vec![NEW, OLD]);
    }
    net.play(5.0);
    net.news.clear();
    for n in 0..4 {
        net.peers[n].rotate(vec![NEW]);
    }
    net.play(5.0);
    assert!(net.all(View::Agreed, 4));
    assert!(!net.news.iter().any(|(_, n)| matches!(n, News::Change(sandstile_membership::Change::Died(_)))));
}

/// A stranger's flood, and garbage: no state, and the members stay.
#[test]
fn garbage_and_strangers_move_nothing() {
    let mut net = Net::new(3, None, |_| vec![OLD]);
    net.play(6.0);
    let mut stranger = Sealer::new(vec![NEW], 1);
    let mut chance = Rand64::new(3);
    let held = net.peers[0].held();
    for _ in 0..200 {
        for _ in 0..20 {
            let bytes: Vec<u8> = (0..chance.rand_range(0..1500)).map(|_| chance.rand_u64() as u8).collect();
            net.peers[0].received(net.now, &bytes);
            net.peers[0].received(net.now, &stranger.seal(at(0), &bytes));
        }
        net.play(0.05);
    }
    assert!(net.all(View::Agreed, 3));
    assert!(net.peers[0].held() <= held + 4);
    let counts = net.peers[0].counts();
    assert!(counts.forged >= 4000 && counts.deaths == 0, "{counts:?}");
}

/// A member that asks again and again for all that is known is answered as far as the bound on bytes goes.
#[test]
fn nobody_makes_a_peer_a_gun() {
    let mut net = Net::new(3, None, |_| vec![OLD]);
    net.play(6.0);
    let mut liar = Sealer::new(vec![OLD], 1);
    let rumour = |n: usize, life| sandstile_membership::Rumour {
        of: sandstile_membership::Life { name: format!("x{n}"), life },
        at: at(50),
        incarnation: 0,
        state: sandstile_membership::State::Alive,
        by: 0,
        meta: Meta::default(),
    };
    let letter =
        |message, rumours| sandstile_membership::Letter { from: rumour(0, 1), message, rumours, digest: 0 };
    use sandstile_membership::Message::{Join, Known};
    for n in 0..50 {
        let names = (0..20).map(|m| rumour(n * 20 + m, 1)).collect();
        net.peers[0].received(net.now, &liar.seal(at(0), &letter(Known, names).write()));
    }
    net.peers[0].take_out(net.now);
    let mut bytes = 0;
    for _ in 0..300 {
        net.peers[0].received(net.now, &liar.seal(at(0), &letter(Join, Vec::new()).write()));
        bytes += net.peers[0].take_out(net.now).iter().map(|(_, l)| l.len()).sum::<usize>();
    }
    assert!(bytes < 500_000, "{bytes} bytes at once");
    assert!(net.peers[0].counts().held_back > 0);
}

/// Local health makes whoever is cut off slow to hold the others for dead. That it hears nobody it sees at once, and that it is not
/// heard as soon as it is said dead.
#[test]
fn one_that_hears_nobody_or_is_not_heard_knows_it_soon() {
    let mut net = Net::new(6, None, |_| vec![OLD]);
    net.play(8.0);
    net.cut = |a, b| (a == 0) != (b == 0);
    net.play(2.0);
    assert_eq!(net.peers[0].view(), View::Alone);
    assert!(net.peers[0].count() > 1, "it holds some for there yet");
    net.cut = |_, _| false;
    net.play(10.0);
    assert!(net.all(View::Agreed, 6));
    net.cut = |a, _| a == 0;
    net.play(7.0);
    assert!(net.peers[0].view() >= View::CutOff, "{:?}", net.peers[0].report(net.now));
    assert_eq!(net.peers[0].count(), 6, "it hears all of them");
}

/// Whoever spoke under the old key is answered under it, and now and then under the new: else both would stay with the old for ever.
#[test]
fn the_newest_key_is_tried_now_and_then() {
    let mut sealer = Sealer::new(vec![NEW, OLD], 1);
    sealer.heard(at(1), OLD);
    let letters: Vec<Vec<u8>> = (0..16).map(|_| sealer.seal(at(1), b"x")).collect();
    let opened = |key| {
        let mut opener = Opener::new(vec![key], 0.0);
        letters.iter().filter(|l| opener.open(0.0, l).is_ok()).count()
    };
    assert_eq!((opened(OLD), opened(NEW)), (14, 2));
}

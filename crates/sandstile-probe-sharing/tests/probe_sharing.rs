//! Several routers and what they hear of each other, in virtual time: load, takeover, splits, liars; and a model check of the gap.
use oorandom::Rand64;
use sandstile_probe_sharing::{ranks, ProbeResult, ProbeSharing, ProbeSharingSettings, Warnings};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

fn name(n: usize) -> String {
    format!("n{n}")
}

/// Routers that want all hosts probed all the time, each at a pace of its own, as the decisions do while a primary is lost.
struct World {
    now: f64,
    routers: Vec<ProbeSharing>,
    next: Vec<f64>,
    version: u64,
    /// Who is stopped; who can't hear whom.
    stopped: BTreeSet<usize>,
    cut: Option<usize>,
    /// When each host was probed, by whom.
    probes: Vec<Vec<(f64, usize)>>,
    /// Words on their way: to whom, when, from whom, of which host, as of when.
    way: Vec<(f64, usize, usize, u64, usize, f64)>,
    chance: Rand64,
}

const DELAY: f64 = 0.05;

impl World {
    fn new(routers: usize, hosts: usize, seed: u64) -> World {
        let all: BTreeSet<String> = (0..routers).map(name).collect();
        let mut made: Vec<ProbeSharing> =
            (0..routers).map(|n| ProbeSharing::new(&name(n), ProbeSharingSettings::default())).collect();
        made.iter_mut().for_each(|d| d.set_reachable_peers(0.0, &all));
        World {
            now: 0.0,
            routers: made,
            next: vec![0.0; routers],
            version: 0,
            stopped: BTreeSet::new(),
            cut: None,
            probes: vec![Vec::new(); hosts],
            way: Vec::new(),
            chance: Rand64::new(u128::from(seed)),
        }
    }

    fn parted(&self, a: usize, b: usize) -> bool {
        self.cut.is_some_and(|at| (a < at) != (b < at))
    }

    fn run(&mut self, until: f64) {
        while self.now < until - 1e-9 {
            self.now += 0.02;
            let now = self.now;
            let (due, left): (Vec<_>, Vec<_>) = self.way.drain(..).partition(|w| w.0 <= now);
            self.way = left;
            for (_, to, by, version, host, at) in due {
                if self.stopped.contains(&to) || self.parted(by, to) {
                    // It stays on the way: streams lose nothing.
                    self.way.push((now + DELAY, to, by, version, host, at));
                    continue;
                }
                self.routers[to].record_peer_probe(
                    &name(by),
                    1,
                    version,
                    &format!("h{host}"),
                    at,
                    ProbeResult::NotPrimary,
                );
            }
            for n in 0..self.routers.len() {
                if now < self.next[n] || self.stopped.contains(&n) {
                    continue;
                }
                self.next[n] = now + 0.2 + 0.2 * self.chance.rand_float();
                for host in 0..self.probes.len() {
                    if self.routers[n].should_probe(now, &format!("h{host}")) {
                        self.probes[host].push((now, n));
                        self.version += 1;
                        self.routers[n].record_own_probe(now, &format!("h{host}"), ProbeResult::NotPrimary);
                        for to in (0..self.routers.len()).filter(|to| *to != n) {
                            self.way.push((now + DELAY, to, n, self.version, host, now));
                        }
                    }
                }
            }
        }
    }

    fn gap(&self, from: f64, by: impl Fn(usize) -> bool) -> f64 {
        let longest = self.probes.iter().map(|of| {
            let times = of.iter().filter(|(t, n)| *t >= from && by(*n)).map(|(t, _)| *t);
            let mut times: Vec<f64> = std::iter::once(from).chain(times).chain([self.now]).collect();
            times.sort_by(f64::total_cmp);
            times.windows(2).map(|w| w[1] - w[0]).fold(0.0, f64::max)
        });
        longest.fold(0.0, f64::max)
    }

    fn rate(&self, from: f64) -> f64 {
        let all: usize = self.probes.iter().map(|of| of.iter().filter(|(t, _)| *t >= from).count()).sum();
        all as f64 / self.probes.len() as f64 / (self.now - from)
    }
}

/// The last pace of a decision that asks, and a word on its way.
const PACE: f64 = 0.4 + 0.02;

#[test]
fn probes_fall_with_the_number_of_routers_and_no_gap_grows() {
    let alone = {
        let mut world = World::new(1, 6, 1);
        world.run(30.0);
        world.rate(5.0)
    };
    for n in [3, 5, 16] {
        let mut world = World::new(n, 6, 1);
        world.run(30.0);
        let rate = world.rate(5.0);
        // Each looks itself now and then, whatever it hears.
        assert!(
            rate < alone * (1.0 + n as f64 * 0.2),
            "{n}: {rate:.2} a second at each host, alone {alone:.2}"
        );
        assert!(world.gap(5.0, |_| true) < 0.9, "{n}");
    }
}

#[test]
fn the_owner_dies_stands_still_or_is_cut_off_and_others_take_over() {
    let longest = ProbeSharingSettings::default().longest_gap() + PACE;
    for seed in 1..6 {
        let mut world = World::new(5, 6, seed);
        world.run(10.0);
        for n in [0, 1] {
            world.stopped.insert(n);
        }
        world.run(20.0);
        assert!(world.gap(10.0, |_| true) < longest, "two stand still");
        world.stopped.clear();
        world.cut = Some(2);
        world.run(30.0);
        assert!(world.gap(20.0, |n| n < 2) < longest, "one side alone");
        assert!(world.gap(20.0, |n| n >= 2) < longest, "the other alone");
        world.cut = None;
        world.run(40.0);
        assert!(world.gap(30.0, |_| true) < longest, "together again, with all that was on its way");
    }
}

/// One says that it looks at all hosts and that all is as it was: the others look themselves all the same.
#[test]
fn a_liar_keeps_nobody_blind() {
    let mut honest = ProbeSharing::new("a", ProbeSharingSettings::default());
    honest.set_reachable_peers(0.0, &BTreeSet::from(["liar".to_string()]));
    let (mut now, mut last, mut longest) = (0.0, 0.0f64, 0.0f64);
    for version in 0..2000 {
        now += 0.01;
        honest.record_peer_probe("liar", 1, version, "h", now, ProbeResult::NoAnswer);
        if honest.should_probe(now, "h") {
            longest = longest.max(now - last);
            last = now;
            honest.record_own_probe(now, "h", ProbeResult::NotPrimary);
        }
    }
    assert!(longest <= ProbeSharingSettings::default().own + 0.02, "{longest}");
}

/// Warned again and again of hosts that answer, a router soon goes by its own eyes; of one that is right it hears on.
#[test]
fn whoever_is_belied_is_not_heeded() {
    let mut warnings = Warnings::default();
    let (mut heeded, mut right) = (0, 0);
    for n in 0..600 {
        let now = f64::from(n) * 0.1;
        heeded += usize::from(warnings.accept(now, "liar", "well"));
        warnings.answered(now + 0.05, "well");
        right += usize::from(warnings.accept(now, "honest", "ill"));
    }
    assert!(heeded <= 6 && right == 600, "{heeded} {right}");
    assert!(warnings.accept(1000.0, "liar", "well"), "not for ever");
}

#[test]
fn good_news_are_looked_at_and_words_of_a_former_life_are_not_heard() {
    let mut a = ProbeSharing::new("a", ProbeSharingSettings::default());
    a.set_reachable_peers(0.0, &BTreeSet::from(["b".to_string()]));
    assert!(a.should_probe(0.0, "h"));
    a.record_own_probe(0.1, "h", ProbeResult::NotPrimary);
    a.record_peer_probe("b", 7, 3, "h", 0.2, ProbeResult::Primary);
    assert!(a.should_probe(0.21, "h"), "with own eyes, at once");
    a.record_own_probe(0.22, "h", ProbeResult::Primary);
    assert!(!a.should_probe(0.25, "h"));
    a.record_peer_probe("b", 6, 9, "h", 0.3, ProbeResult::Primary);
    a.record_peer_probe("b", 7, 2, "h", 0.3, ProbeResult::Primary);
    assert!(!a.should_probe(0.31, "h"), "of a former life, and taken back");
    assert_eq!(a.counts().late, 2);
}

#[test]
fn nobody_is_first_for_many_more_than_others() {
    for (members, hosts) in [(3, 6), (5, 30), (16, 120), (300, 120)] {
        let all: BTreeSet<String> = (0..members).map(name).collect();
        let hosts: Vec<String> = (0..hosts).map(|h| format!("h{h}")).collect();
        let hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
        let first = |n: usize| ranks(&name(n), &all, &hosts).values().filter(|r| **r == 0).count();
        let firsts: Vec<usize> = (0..members).map(first).collect();
        assert_eq!(firsts.iter().sum::<usize>(), hosts.len(), "each has just one");
        let most = (1.25 * hosts.len() as f64 / members as f64).ceil() as usize;
        assert!(firsts.iter().all(|f| *f <= most), "{members}: {firsts:?}");
    }
}

/// Two routers and one host, times in tenths of a second: every order of looks, words that arrive late, a stop, a split. The very
/// `ProbeSharing`, made anew in each state from what it was told.
#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct Place {
    /// When it probed last, and of when the freshest word of the other is that it heard.
    own: Option<i32>,
    other: Option<i32>,
    stopped: bool,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct State {
    now: i32,
    places: [Place; 2],
    /// A word on its way to each: as of when.
    way: [Option<i32>; 2],
    cut: bool,
    /// When each had looked last as the cut began: that look was on both sides.
    at_cut: [Option<i32>; 2],
    stops: u8,
    cuts: u8,
    longest: i32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    /// Time passes, and both look that can.
    Tick,
    Arrives(usize),
    Stop(usize),
    GoOn(usize),
    Cut,
    Heal,
}

#[derive(Clone, Copy, PartialEq)]
enum Mutant {
    None,
    /// A word is as fresh as its arrival.
    NoAge,
    /// Only the first in rank ever looks.
    OwnersOnly,
}

struct Gaps(Mutant);

const STEP: f64 = 0.3;
const LONGEST: i32 = 6;

impl Gaps {
    fn should_probe(&self, n: usize, state: &State) -> bool {
        // Places as the router has them: the first is first in rank.
        let settings = ProbeSharingSettings { interval: 0.3, step: STEP, own: 1e9 };
        let names = ["n0", "n1"];
        let first = ranks("n0", &BTreeSet::from(["n1".to_string()]), &["h"])["h"];
        let own = names[if first == 0 { n } else { 1 - n }];
        let mut probe_sharing = ProbeSharing::new(own, settings);
        probe_sharing.set_reachable_peers(-1000.0, &names.iter().map(|s| s.to_string()).collect());
        let p = &state.places[n];
        // The host is known from long ago.
        probe_sharing.record_own_probe(-1000.0, "h", ProbeResult::NotPrimary);
        if let Some(at) = p.own {
            probe_sharing.record_own_probe(f64::from(at) * 0.1, "h", ProbeResult::NotPrimary);
        }
        if let Some(at) = p.other {
            probe_sharing.record_peer_probe(
                names[if own == "n0" { 1 } else { 0 }],
                1,
                1,
                "h",
                f64::from(at) * 0.1,
                ProbeResult::NotPrimary,
            );
        }
        let due = probe_sharing.should_probe(f64::from(state.now) * 0.1 + 1e-6, "h");
        due && (self.0 != Mutant::OwnersOnly || n == 0)
    }
}

impl Model for Gaps {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        let place = || Place { own: None, other: None, stopped: false };
        vec![State {
            now: 0,
            places: [place(), place()],
            way: [None; 2],
            cut: false,
            at_cut: [None; 2],
            stops: 0,
            cuts: 0,
            longest: 0,
        }]
    }

    fn actions(&self, s: &State, acts: &mut Vec<Act>) {
        acts.push(Act::Tick);
        acts.extend((0..2).map(Act::Arrives));
        acts.extend((0..2).map(Act::Stop));
        acts.extend((0..2).map(Act::GoOn));
        acts.push(if s.cut { Act::Heal } else { Act::Cut });
    }

    fn next_state(&self, before: &State, act: Act) -> Option<State> {
        let mut s = before.clone();
        match act {
            Act::Tick if s.now < 11 => {
                // A word of the same side takes less than a tick; what a cut or a stop holds back waits.
                s.now += 1;
                for n in 0..2 {
                    if s.places[n].stopped || !self.should_probe(n, &s) {
                        continue;
                    }
                    s.places[n].own = Some(s.now);
                    s.way[1 - n] = s.way[1 - n].max(Some(s.now));
                }
                for n in 0..2 {
                    if s.places[n].stopped {
                        continue;
                    }
                    // Looks on the side of one that runs: its own, and the other's of before the cut.
                    let others = if s.cut { s.at_cut[1 - n] } else { s.places[1 - n].own };
                    let last = s.places[n].own.max(others).unwrap_or(0);
                    s.longest = s.longest.max(s.now - last);
                }
            }
            Act::Arrives(n) if !s.cut && !s.places[n].stopped => {
                let at = s.way[n].take()?;
                let at = if self.0 == Mutant::NoAge { s.now } else { at };
                s.places[n].other = s.places[n].other.max(Some(at));
            }
            Act::Stop(n) if s.stops < 1 && !s.places[n].stopped => {
                (s.places[n].stopped, s.stops) = (true, s.stops + 1);
            }
            Act::GoOn(n) if s.places[n].stopped => s.places[n].stopped = false,
            Act::Cut if s.cuts < 1 => {
                (s.cut, s.cuts, s.at_cut) = (true, s.cuts + 1, [s.places[0].own, s.places[1].own]);
            }
            Act::Heal => (s.cut, s.at_cut) = (false, [None; 2]),
            _ => return None,
        }
        (s != *before).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_GAP, |_, s: &State| s.longest <= LONGEST),
            Property::sometimes("the other is spared", |_, s: &State| {
                s.now > 8
                    && s.places.iter().any(|p| p.own.is_none_or(|at| at < 4) && !p.stopped)
                    && s.longest <= 4
            }),
        ]
    }
}

const NO_GAP: &str = "no host goes unprobed for longer than the first's pace, a step and a tick";

#[test]
fn no_order_of_stops_cuts_and_late_words_leaves_a_gap() {
    let checker = Gaps(Mutant::None).checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn without_ages_or_without_others_that_take_over_there_is_one() {
    for mutant in [Mutant::NoAge, Mutant::OwnersOnly] {
        let checker = Gaps(mutant).checker().threads(2).spawn_bfs().join();
        assert!(checker.discovery(NO_GAP).is_some());
    }
}

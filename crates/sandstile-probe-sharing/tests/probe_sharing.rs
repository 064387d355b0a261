//! Several routers that share probe results in virtual time: load, takeover, partitions and false reports, and a
//! model check of the longest gap.
use oorandom::Rand64;
use sandstile_probe_sharing::{ranks, ProbeResult, ProbeSharing, ProbeSharingSettings, Warnings};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

fn name(n: usize) -> String {
    format!("n{n}")
}

/// Routers that want all hosts probed all the time, each at a random interval, as the policy does while a primary is
/// missing.
struct SimulatedRouters {
    now: f64,
    routers: Vec<ProbeSharing>,
    next_check_at: Vec<f64>,
    version: u64,
    /// Stopped routers, and the index at which a partition splits the routers.
    stopped: BTreeSet<usize>,
    partition: Option<usize>,
    /// The probes of each host: time and router.
    probes: Vec<Vec<(f64, usize)>>,
    /// Results in transit: arrival time, receiver, sender, version, host, probe time.
    in_transit: Vec<(f64, usize, usize, u64, usize, f64)>,
    rng: Rand64,
}

const MESSAGE_DELAY: f64 = 0.05;

impl SimulatedRouters {
    fn new(routers: usize, hosts: usize, seed: u64) -> SimulatedRouters {
        let all: BTreeSet<String> = (0..routers).map(name).collect();
        let mut routers_by_index: Vec<ProbeSharing> =
            (0..routers).map(|n| ProbeSharing::new(&name(n), ProbeSharingSettings::default())).collect();
        routers_by_index.iter_mut().for_each(|d| d.set_reachable_peers(0.0, &all));
        SimulatedRouters {
            now: 0.0,
            routers: routers_by_index,
            next_check_at: vec![0.0; routers],
            version: 0,
            stopped: BTreeSet::new(),
            partition: None,
            probes: vec![Vec::new(); hosts],
            in_transit: Vec::new(),
            rng: Rand64::new(u128::from(seed)),
        }
    }

    fn partitioned(&self, a: usize, b: usize) -> bool {
        self.partition.is_some_and(|at| (a < at) != (b < at))
    }

    fn run(&mut self, until: f64) {
        while self.now < until - 1e-9 {
            self.now += 0.02;
            let now = self.now;
            let (due, remaining): (Vec<_>, Vec<_>) = self.in_transit.drain(..).partition(|w| w.0 <= now);
            self.in_transit = remaining;
            for (_, to, sender, version, host, at) in due {
                if self.stopped.contains(&to) || self.partitioned(sender, to) {
                    // It stays in transit: streams lose nothing.
                    self.in_transit.push((now + MESSAGE_DELAY, to, sender, version, host, at));
                    continue;
                }
                self.routers[to].record_peer_probe(
                    &name(sender),
                    1,
                    version,
                    &format!("h{host}"),
                    at,
                    ProbeResult::NotPrimary,
                );
            }
            for n in 0..self.routers.len() {
                if now < self.next_check_at[n] || self.stopped.contains(&n) {
                    continue;
                }
                self.next_check_at[n] = now + 0.2 + 0.2 * self.rng.rand_float();
                for host in 0..self.probes.len() {
                    if self.routers[n].should_probe(now, &format!("h{host}")) {
                        self.probes[host].push((now, n));
                        self.version += 1;
                        self.routers[n].record_own_probe(now, &format!("h{host}"), ProbeResult::NotPrimary);
                        for to in (0..self.routers.len()).filter(|to| *to != n) {
                            self.in_transit.push((now + MESSAGE_DELAY, to, n, self.version, host, now));
                        }
                    }
                }
            }
        }
    }

    fn gap(&self, from: f64, include: impl Fn(usize) -> bool) -> f64 {
        let gaps = self.probes.iter().map(|probes| {
            let times = probes.iter().filter(|(t, n)| *t >= from && include(*n)).map(|(t, _)| *t);
            let mut times: Vec<f64> = std::iter::once(from).chain(times).chain([self.now]).collect();
            times.sort_by(f64::total_cmp);
            times.windows(2).map(|w| w[1] - w[0]).fold(0.0, f64::max)
        });
        gaps.fold(0.0, f64::max)
    }

    fn rate(&self, from: f64) -> f64 {
        let total: usize =
            self.probes.iter().map(|probes| probes.iter().filter(|(t, _)| *t >= from).count()).sum();
        total as f64 / self.probes.len() as f64 / (self.now - from)
    }
}

/// The longest interval between two checks plus one step of the simulation.
const MAX_CHECK_DELAY: f64 = 0.4 + 0.02;

#[test]
fn load_per_host_grows_little_with_routers_and_gaps_stay_short() {
    let alone = {
        let mut simulation = SimulatedRouters::new(1, 6, 1);
        simulation.run(30.0);
        simulation.rate(5.0)
    };
    for n in [3, 5, 16] {
        let mut simulation = SimulatedRouters::new(n, 6, 1);
        simulation.run(30.0);
        let rate = simulation.rate(5.0);
        // Each router also probes on its own from time to time, whatever others report.
        assert!(
            rate < alone * (1.0 + n as f64 * 0.2),
            "{n}: {rate:.2} a second at each host, alone {alone:.2}"
        );
        assert!(simulation.gap(5.0, |_| true) < 0.9, "{n}");
    }
}

#[test]
fn others_take_over_from_stopped_or_partitioned_routers() {
    let max_gap = ProbeSharingSettings::default().longest_gap() + MAX_CHECK_DELAY;
    for seed in 1..6 {
        let mut simulation = SimulatedRouters::new(5, 6, seed);
        simulation.run(10.0);
        for n in [0, 1] {
            simulation.stopped.insert(n);
        }
        simulation.run(20.0);
        assert!(simulation.gap(10.0, |_| true) < max_gap, "two routers are stopped");
        simulation.stopped.clear();
        simulation.partition = Some(2);
        simulation.run(30.0);
        assert!(simulation.gap(20.0, |n| n < 2) < max_gap, "first side of the partition");
        assert!(simulation.gap(20.0, |n| n >= 2) < max_gap, "second side of the partition");
        simulation.partition = None;
        simulation.run(40.0);
        assert!(
            simulation.gap(30.0, |_| true) < max_gap,
            "after the partition, with delayed messages arriving"
        );
    }
}

/// One router claims to probe all hosts and reports no answer: the other still probes within its own limit.
#[test]
fn false_results_delay_own_probes_only_to_the_limit() {
    let mut honest = ProbeSharing::new("a", ProbeSharingSettings::default());
    honest.set_reachable_peers(0.0, &BTreeSet::from(["liar".to_string()]));
    let (mut now, mut last, mut longest_gap) = (0.0, 0.0f64, 0.0f64);
    for version in 0..2000 {
        now += 0.01;
        honest.record_peer_probe("liar", 1, version, "h", now, ProbeResult::NoAnswer);
        if honest.should_probe(now, "h") {
            longest_gap = longest_gap.max(now - last);
            last = now;
            honest.record_own_probe(now, "h", ProbeResult::NotPrimary);
        }
    }
    assert!(longest_gap <= ProbeSharingSettings::default().max_own_interval + 0.02, "{longest_gap}");
}

/// A router soon ignores the source of repeated false warnings, and still accepts those of a correct source.
#[test]
fn sources_of_false_warnings_are_ignored_for_a_while() {
    let mut warnings = Warnings::default();
    let (mut liar_accepted, mut honest_accepted) = (0, 0);
    for n in 0..600 {
        let now = f64::from(n) * 0.1;
        liar_accepted += usize::from(warnings.accept(now, "liar", "healthy"));
        warnings.answered(now + 0.05, "healthy");
        honest_accepted += usize::from(warnings.accept(now, "honest", "refusing"));
    }
    assert!(liar_accepted <= 6 && honest_accepted == 600, "{liar_accepted} {honest_accepted}");
    assert!(warnings.accept(1000.0, "liar", "healthy"), "accepted again after a while");
}

#[test]
fn a_reported_primary_is_probed_and_outdated_reports_are_ignored() {
    let mut a = ProbeSharing::new("a", ProbeSharingSettings::default());
    a.set_reachable_peers(0.0, &BTreeSet::from(["b".to_string()]));
    assert!(a.should_probe(0.0, "h"));
    a.record_own_probe(0.1, "h", ProbeResult::NotPrimary);
    a.record_peer_probe("b", 7, 3, "h", 0.2, ProbeResult::Primary);
    assert!(a.should_probe(0.21, "h"), "a reported primary is probed at once");
    a.record_own_probe(0.22, "h", ProbeResult::Primary);
    assert!(!a.should_probe(0.25, "h"));
    a.record_peer_probe("b", 6, 9, "h", 0.3, ProbeResult::Primary);
    a.record_peer_probe("b", 7, 2, "h", 0.3, ProbeResult::Primary);
    assert!(
        !a.should_probe(0.31, "h"),
        "reports of an earlier generation and of a lower version are ignored"
    );
    assert_eq!(a.counts().outdated, 2);
}

#[test]
fn first_ranks_are_balanced_over_routers() {
    for (members, hosts) in [(3, 6), (5, 30), (16, 120), (300, 120)] {
        let all: BTreeSet<String> = (0..members).map(name).collect();
        let hosts: Vec<String> = (0..hosts).map(|h| format!("h{h}")).collect();
        let hosts: Vec<&str> = hosts.iter().map(String::as_str).collect();
        let count_first = |n: usize| ranks(&name(n), &all, &hosts).values().filter(|r| **r == 0).count();
        let firsts: Vec<usize> = (0..members).map(count_first).collect();
        assert_eq!(firsts.iter().sum::<usize>(), hosts.len(), "each host has exactly one first router");
        let limit = (1.25 * hosts.len() as f64 / members as f64).ceil() as usize;
        assert!(firsts.iter().all(|f| *f <= limit), "{members}: {firsts:?}");
    }
}

/// Two routers and one host, times in tenths of a second: every order of checks, delayed results, a stop and a
/// partition. It runs the real `ProbeSharing`, rebuilt in each state from what the router knows.
#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct Router {
    /// The time of its own last probe, and of the latest probe of the other that it knows of.
    own_probe_at: Option<i32>,
    other_probe_at: Option<i32>,
    stopped: bool,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct State {
    now: i32,
    routers: [Router; 2],
    /// The result in transit to each router: the time of its probe.
    in_transit: [Option<i32>; 2],
    partition: bool,
    /// The last probe of each router when the partition began; both sides know of these.
    probes_before_partition: [Option<i32>; 2],
    stops: u8,
    partitions: u8,
    longest_gap: i32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Time advances, and each running router checks.
    Tick,
    Deliver(usize),
    Stop(usize),
    Resume(usize),
    Partition,
    Heal,
}

#[derive(Clone, Copy, PartialEq)]
enum Mutant {
    None,
    /// A result counts as new at its arrival, without its age.
    IgnoresAge,
    /// Only the first in rank ever probes.
    NoTakeover,
}

struct GapModel(Mutant);

const STEP: f64 = 0.3;
const MAX_GAP_TICKS: i32 = 6;

impl GapModel {
    fn should_probe(&self, n: usize, state: &State) -> bool {
        // Index 0 is the router that ranks first.
        let settings = ProbeSharingSettings { interval: 0.3, step: STEP, max_own_interval: 1e9 };
        let names = ["n0", "n1"];
        let first = ranks("n0", &BTreeSet::from(["n1".to_string()]), &["h"])["h"];
        let own = names[if first == 0 { n } else { 1 - n }];
        let mut probe_sharing = ProbeSharing::new(own, settings);
        probe_sharing.set_reachable_peers(-1000.0, &names.iter().map(|name| name.to_string()).collect());
        let router = &state.routers[n];
        // The host has been known for a long time.
        probe_sharing.record_own_probe(-1000.0, "h", ProbeResult::NotPrimary);
        if let Some(at) = router.own_probe_at {
            probe_sharing.record_own_probe(f64::from(at) * 0.1, "h", ProbeResult::NotPrimary);
        }
        if let Some(at) = router.other_probe_at {
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
        due && (self.0 != Mutant::NoTakeover || n == 0)
    }
}

impl Model for GapModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let new_router = || Router { own_probe_at: None, other_probe_at: None, stopped: false };
        vec![State {
            now: 0,
            routers: [new_router(), new_router()],
            in_transit: [None; 2],
            partition: false,
            probes_before_partition: [None; 2],
            stops: 0,
            partitions: 0,
            longest_gap: 0,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        steps.push(Step::Tick);
        steps.extend((0..2).map(Step::Deliver));
        steps.extend((0..2).map(Step::Stop));
        steps.extend((0..2).map(Step::Resume));
        steps.push(if state.partition { Step::Heal } else { Step::Partition });
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut state = before.clone();
        match step {
            Step::Tick if state.now < 11 => {
                // Results within one side arrive within a tick; a partition or a stop delays them.
                state.now += 1;
                for n in 0..2 {
                    if state.routers[n].stopped || !self.should_probe(n, &state) {
                        continue;
                    }
                    state.routers[n].own_probe_at = Some(state.now);
                    state.in_transit[1 - n] = state.in_transit[1 - n].max(Some(state.now));
                }
                for n in 0..2 {
                    if state.routers[n].stopped {
                        continue;
                    }
                    // Probes on the side of a running router: its own, and those of the other from before the
                    // partition.
                    let others = if state.partition {
                        state.probes_before_partition[1 - n]
                    } else {
                        state.routers[1 - n].own_probe_at
                    };
                    let last = state.routers[n].own_probe_at.max(others).unwrap_or(0);
                    state.longest_gap = state.longest_gap.max(state.now - last);
                }
            }
            Step::Deliver(n) if !state.partition && !state.routers[n].stopped => {
                let at = state.in_transit[n].take()?;
                let at = if self.0 == Mutant::IgnoresAge { state.now } else { at };
                state.routers[n].other_probe_at = state.routers[n].other_probe_at.max(Some(at));
            }
            Step::Stop(n) if state.stops < 1 && !state.routers[n].stopped => {
                (state.routers[n].stopped, state.stops) = (true, state.stops + 1);
            }
            Step::Resume(n) if state.routers[n].stopped => state.routers[n].stopped = false,
            Step::Partition if state.partitions < 1 => {
                (state.partition, state.partitions, state.probes_before_partition) = (
                    true,
                    state.partitions + 1,
                    [state.routers[0].own_probe_at, state.routers[1].own_probe_at],
                );
            }
            Step::Heal => (state.partition, state.probes_before_partition) = (false, [None; 2]),
            _ => return None,
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_GAP, |_, state: &State| state.longest_gap <= MAX_GAP_TICKS),
            Property::sometimes("one router skips probes", |_, state: &State| {
                state.now > 8
                    && state.routers.iter().any(|p| p.own_probe_at.is_none_or(|at| at < 4) && !p.stopped)
                    && state.longest_gap <= 4
            }),
        ]
    }
}

const NO_GAP: &str = "no host goes unprobed for longer than the pace of the first in rank, a step and a tick";

#[test]
fn no_order_of_stops_partitions_and_delays_leaves_a_gap() {
    let checker = GapModel(Mutant::None).checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn without_ages_or_takeover_a_gap_occurs() {
    for mutant in [Mutant::IgnoresAge, Mutant::NoTakeover] {
        let checker = GapModel(mutant).checker().threads(2).spawn_bfs().join();
        assert!(checker.discovery(NO_GAP).is_some());
    }
}

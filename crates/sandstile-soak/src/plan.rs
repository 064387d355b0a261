//! The plan of one run, drawn from its seed: the same seed always gives the same plan.
use oorandom::Rand64;
use sandstile_shim::errno::*;
use sandstile_shim::{Call, Fault, Plan as ShimPlan, Rule};
use std::time::Duration;

/// The longest timeout of a soak's clients, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 1000;
/// The time from SIGTERM to SIGKILL: the longest timeout plus 0.7 s.
pub const KILL_AFTER: Duration = Duration::from_millis(MAX_DEADLINE_MS + 700);
/// The port of database hosts. No other peer of a router uses it, so fault rules can select hosts by it.
pub const HOST_PORT: u16 = 5433;
/// Seconds for which a restarted host counts as cold, and its initial share of the full capacity.
pub const COLD_S: f64 = 2.0;
pub const COLD_INITIAL_SHARE: f64 = 0.2;

/// An event at a host, discovery or a router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The host receives statements but answers none for this time.
    Hang { host: usize, ms: u64 },
    /// The host's process is down for this time: connections are reset and refused.
    Down { host: usize, ms: u64 },
    /// The host closes connections in the middle of answers for this time.
    Reset { host: usize, ms: u64 },
    /// The host rejects statements (53300) for this time.
    TurnAway { host: usize, ms: u64 },
    /// Discovery reports that the host is leaving. The host stays up.
    Drain { host: usize },
    /// The host's process is replaced and starts cold; discovery reports its new start time.
    Replace { host: usize, ms: u64 },
    /// Discovery sends nothing for this time.
    AgentSilent { ms: u64 },
    /// Discovery resets all open watches.
    AgentReset,
    /// SIGTERM, then SIGKILL at the earliest allowed time, then a new process.
    Restart { router: usize },
    /// SIGKILL without SIGTERM, then a new process.
    Kill { router: usize },
    /// SIGSTOP, and SIGCONT after this time.
    HoldUp { router: usize, ms: u64 },
    /// This many signals in a row, SIGHUP and SIGUSR1 in turn.
    Signals { router: usize, count: u64 },
    /// This many clients connect to the router and send nothing.
    Crowd { router: usize, clients: u64 },
    /// This many clients send one statement per connection, again and again for this time.
    Rush { router: usize, clients: u64, ms: u64 },
    /// Another member of the group becomes its primary; discovery does not report it.
    NewPrimary { group: usize },
    /// Discovery reports `count` changes, one host at a time, `pause_ms` apart.
    ListChanges { count: u64, pause_ms: u64 },
    /// Discovery resets all watches and answers the next ones with the whole list.
    WholeList,
    /// The router gets a tenth of the CPU time for this long, by SIGSTOP and SIGCONT.
    LittleProcessor { router: usize, ms: u64 },
}

/// The plan of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub length: Duration,
    pub routers: usize,
    /// Database hosts; host `n` belongs to group `n % groups`, and the first of each group is its primary.
    pub hosts: usize,
    pub groups: usize,
    pub clients: usize,
    /// Statements after which a client closes its connection; `None` where it keeps it.
    pub asks_each: Option<u64>,
    /// A client's longest pause between two statements in milliseconds; the shortest is a ninth of it.
    pub pause_ms: u64,
    /// The limit of descriptors of each router.
    pub sockets: usize,
    /// Milliseconds that hosts take to execute a statement.
    pub work_ms: u64,
    /// All routers start at the same time, while clients are active; otherwise one by one before the clients.
    pub at_once: bool,
    /// Routers journal sessions in a directory that outlives their processes.
    pub lasting: bool,
    /// Hosts and clients write their messages in small pieces.
    pub pieces: bool,
    /// Sorted by time.
    pub events: Vec<(Duration, Event)>,
    /// The faults of system calls in each router.
    pub shims: Vec<ShimPlan>,
}

/// Default limit of descriptors of a router.
const ROUTER_SOCKETS: usize = 96;
const WORK_MS: u64 = 4;
const PAUSE_MS: u64 = 45;
/// Hosts, groups and descriptors of a large fleet.
const LARGE_HOSTS: usize = 3_200;
const LARGE_GROUPS: usize = 457;
const LARGE_SOCKETS: [usize; 4] = [96, 160, 256, 512];

/// A seeded random number generator.
struct Random(Rand64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0.rand_range(0..bound.max(1))
    }

    fn between(&mut self, min: u64, max: u64) -> u64 {
        min + self.below(max - min + 1)
    }

    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }

    fn pick<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len() as u64) as usize]
    }
}

impl Plan {
    /// The plan for this seed; a quick one is shorter and smaller.
    pub fn draw(seed: u64, quick: bool) -> Plan {
        let mut random = Random(Rand64::new(u128::from(seed) ^ 0x5eed_50a4));
        let length_ms = if quick { 6_000 } else { 14_000 };
        let routers = if quick { 2 } else { random.between(3, 5) as usize };
        let hosts = 4 + random.below(2) as usize;
        let (at_once, lasting, pieces) = (random.one_in(3), random.one_in(3), random.one_in(2));
        let mut events: Vec<(Duration, Event)> = (0..if quick { 6 } else { 14 })
            .map(|_| {
                (
                    Duration::from_millis(random.between(1_200, length_ms - 2_500)),
                    random_event(&mut random, routers, hosts),
                )
            })
            .collect();
        events.sort_by_key(|(at, _)| *at);
        let shims =
            (0..routers).map(|n| shim_plan(&mut random, seed ^ n as u64, lasting, length_ms)).collect();
        Plan {
            seed,
            length: Duration::from_millis(length_ms),
            routers,
            hosts,
            groups: 1,
            clients: if quick { 16 } else { 32 },
            asks_each: None,
            pause_ms: PAUSE_MS,
            sockets: ROUTER_SOCKETS,
            work_ms: WORK_MS,
            at_once,
            lasting,
            pieces,
            events,
            shims,
        }
    }
}

impl Plan {
    /// A plan without faults, for tests to modify.
    pub fn calm(seed: u64, length: Duration) -> Plan {
        Plan {
            seed,
            length,
            routers: 1,
            hosts: 4,
            groups: 1,
            clients: 24,
            asks_each: None,
            pause_ms: PAUSE_MS,
            sockets: ROUTER_SOCKETS,
            work_ms: WORK_MS,
            at_once: false,
            lasting: false,
            pieces: false,
            events: Vec::new(),
            shims: vec![ShimPlan { seed, rules: Vec::new() }],
        }
    }

    /// The plan for this seed on a fleet of thousands of hosts, with additional events of long lists.
    pub fn draw_large(seed: u64, quick: bool) -> Plan {
        let mut plan = Plan::draw(seed, quick);
        let mut random = Random(Rand64::new(u128::from(seed) ^ 0x1a46_e000));
        (plan.hosts, plan.groups) = (LARGE_HOSTS, LARGE_GROUPS);
        plan.sockets = random.pick(&LARGE_SOCKETS);
        // Among thousands of hosts a single one gets few statements, so each host event is repeated on others.
        let base = plan.events.clone();
        for (at, event) in base {
            plan.events.extend((0..4).filter_map(|_| event_elsewhere(&mut random, event)).map(|e| (at, e)));
        }
        let last_ms = plan.length.as_millis() as u64 - 2_500;
        for _ in 0..8 {
            let at = Duration::from_millis(random.between(1_200, last_ms));
            plan.events.push((at, large_event(&mut random, plan.routers)));
        }
        plan.events.sort_by_key(|(at, _)| *at);
        plan
    }

    /// Whether hosts, discovery and the machine work without faults, however much changes.
    pub fn is_healthy(&self) -> bool {
        let is_harmless = |event: &Event| {
            matches!(
                event,
                Event::ListChanges { .. }
                    | Event::WholeList
                    | Event::AgentReset
                    | Event::LittleProcessor { .. }
                    | Event::HoldUp { .. }
                    | Event::Signals { .. }
                    | Event::Rush { .. }
            )
        };
        self.shims.iter().all(|shim| shim.rules.is_empty()) && self.events.iter().all(|(_, e)| is_harmless(e))
    }
}

/// The same event at a random host of a large fleet; `None` if the event is not one of a host.
fn event_elsewhere(random: &mut Random, event: Event) -> Option<Event> {
    let host = random.below(LARGE_HOSTS as u64) as usize;
    let replica = random.between(LARGE_GROUPS as u64, LARGE_HOSTS as u64 - 1) as usize;
    match event {
        Event::Hang { ms, .. } => Some(Event::Hang { host, ms }),
        Event::Down { ms, .. } => Some(Event::Down { host, ms }),
        Event::Reset { ms, .. } => Some(Event::Reset { host, ms }),
        Event::TurnAway { ms, .. } => Some(Event::TurnAway { host, ms }),
        Event::Drain { .. } => Some(Event::Drain { host: replica }),
        Event::Replace { ms, .. } => Some(Event::Replace { host: replica, ms }),
        _ => None,
    }
}

fn large_event(random: &mut Random, routers: usize) -> Event {
    let router = random.below(routers as u64) as usize;
    match random.below(6) {
        0 => Event::Rush { router, clients: random.between(40, 100), ms: random.between(500, 2_000) },
        1 => Event::WholeList,
        2 => Event::ListChanges { count: random.between(50, 300), pause_ms: random.between(1, 5) },
        3 => Event::LittleProcessor { router, ms: random.between(500, 2_000) },
        _ => Event::NewPrimary { group: random.below(LARGE_GROUPS as u64) as usize },
    }
}

fn random_event(random: &mut Random, routers: usize, hosts: usize) -> Event {
    let router = random.below(routers as u64) as usize;
    let host = random.below(hosts as u64) as usize;
    let replica = 1 + random.below(hosts as u64 - 1) as usize;
    let ms = random.between(200, 1_500);
    match random.below(16) {
        0 => Event::Hang { host, ms },
        1 => Event::Down { host, ms },
        2 => Event::Reset { host, ms },
        3 => Event::TurnAway { host, ms },
        4 => Event::Drain { host: replica },
        5 => Event::Replace { host: replica, ms },
        6 => Event::AgentSilent { ms: 2 * ms },
        7 => Event::AgentReset,
        8..=10 => Event::Restart { router },
        11 => Event::Kill { router },
        12 => Event::HoldUp { router, ms: random.between(50, 150) },
        13 | 14 => Event::Signals { router, count: random.between(1, 12) },
        _ => Event::Crowd { router, clients: random.between(40, 90) },
    }
}

/// A few faults of system calls, each limited to a period or to a probability.
fn shim_plan(random: &mut Random, seed: u64, lasting: bool, length_ms: u64) -> ShimPlan {
    let mut rules = Vec::new();
    for _ in 0..random.between(2, 5) {
        let from = random.between(0, length_ms / 2);
        let until = from + random.between(200, 2_000);
        let probability = random.pick(&[0.02, 0.1, 0.3]);
        rules.push(system_call_fault(random, probability).between(from, until));
    }
    // One rare fault for the whole run.
    rules.push(system_call_fault(random, 0.01));
    if random.one_in(2) {
        let ms = random.pick(&[-3_600_000, -7_000, 4_000, 3_600_000]);
        let from = random.between(100, length_ms / 2);
        rules.push(Rule::new(Call::WallClock, Fault::StepMs(ms)).between(from, u64::MAX));
    }
    if random.one_in(3) {
        rules.push(Rule::new(Call::Send, Fault::HoldMs(random.between(20, 150))).probability(0.002));
    }
    if random.one_in(2) {
        // Only on connections to hosts: a client whose connection fails like this waits for no answer.
        let errno = random.pick(&[ETIMEDOUT, EHOSTUNREACH, ECONNRESET]);
        let call = random.pick(&[Call::Recv, Call::Send]);
        rules.push(Rule::fails(call, errno).probability(0.01).port(HOST_PORT));
    }
    if lasting {
        rules.extend(disk_faults(random, length_ms));
    }
    ShimPlan { seed, rules }
}

fn system_call_fault(random: &mut Random, probability: f64) -> Rule {
    let accept = [ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EINTR, EPROTO, ENETDOWN, EHOSTUNREACH];
    let connect = [EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR, EAGAIN, ETIMEDOUT, EHOSTUNREACH];
    let always = match random.below(15) {
        0 | 1 => Rule::fails(Call::Accept, random.pick(&accept)),
        2 => Rule::fails(Call::Socket, random.pick(&[ENFILE, EMFILE, ENOBUFS, ENOMEM])),
        3 => Rule::fails(Call::Connect, random.pick(&connect)),
        4 => Rule::new(Call::Recv, Fault::Short(random.between(1, 80) as usize)),
        5 => Rule::new(Call::Send, Fault::Short(random.between(1, 80) as usize)),
        6 => Rule::fails(Call::Recv, EINTR),
        7 => Rule::fails(Call::Send, EINTR),
        8 => Rule::fails(Call::EpollWait, EINTR),
        9 => Rule::fails(Call::Peek, EINTR),
        10 => Rule::fails(Call::WakeWrite, EINTR),
        11 => Rule::fails(Call::Recv, ENOMEM),
        12 => Rule::fails(Call::Send, random.pick(&[ENOBUFS, ENOMEM])),
        13 => Rule::fails(Call::EpollAdd, random.pick(&[ENOMEM, ENOSPC])),
        _ => Rule::fails(Call::LogWrite, random.pick(&[ENOSPC, EIO])),
    };
    always.probability(probability)
}

/// A disk that rejects writes for a while.
fn disk_faults(random: &mut Random, length_ms: u64) -> Vec<Rule> {
    let from = random.between(0, length_ms / 2);
    let until = from + random.between(200, 3_000);
    let call = random.pick(&[Call::FileWrite, Call::Sync, Call::Create, Call::Rename]);
    vec![Rule::fails(call, random.pick(&[ENOSPC, EIO])).between(from, until)]
}

//! What one run does, drawn from its seed. Pure: the same seed gives the same plan.
use oorandom::Rand64;
use sandstile_shim::errno::*;
use sandstile_shim::{Call, Fault, Plan as ShimPlan, Rule};
use std::time::Duration;

/// The longest deadline that clients of a soak give, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 1000;
/// SIGKILL comes so long after SIGTERM: the longest deadline and 0.7 s.
pub const KILL_AFTER: Duration = Duration::from_millis(MAX_DEADLINE_MS + 700);
/// The port of database hosts, and of nobody else that a router dials.
pub const HOST_PORT: u16 = 5433;
/// Seconds in which a start counts as cold, and the share of its capacity that a host has right after it.
pub const COLD_S: f64 = 2.0;
pub const COLD_INITIAL_SHARE: f64 = 0.2;

/// What happens to a host, discovery or a router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The host takes statements and answers none for so long.
    Hang { host: usize, ms: u64 },
    /// The host's process is gone for so long: connections are reset and refused.
    Down { host: usize, ms: u64 },
    /// The host breaks connections in the midst of answers for so long.
    Reset { host: usize, ms: u64 },
    /// The host turns statements away (53300) for so long.
    TurnAway { host: usize, ms: u64 },
    /// Discovery tells that the host is leaving. It stays up.
    Drain { host: usize },
    /// The host's process is replaced, and comes back cold; discovery tells its new start.
    Replace { host: usize, ms: u64 },
    /// Discovery is silent and learns nothing for so long.
    AgentSilent { ms: u64 },
    /// Discovery resets all open watches.
    AgentReset,
    /// SIGTERM, then SIGKILL at the earliest time, then a new process.
    Restart { router: usize },
    /// SIGKILL without a word, then a new process.
    Kill { router: usize },
    /// SIGSTOP and SIGCONT, so long apart.
    HoldUp { router: usize, ms: u64 },
    /// SIGHUP and SIGUSR1, so many of them in a row.
    Signals { router: usize, count: u64 },
    /// So many clients connect to the router and ask nothing.
    Crowd { router: usize, clients: u64 },
    /// So many clients ask one statement each, on connections of their own, again and again for so long.
    Rush { router: usize, clients: u64, ms: u64 },
    /// Another member of the group is its primary from now on; discovery does not tell.
    NewPrimary { group: usize },
    /// Discovery tells of a change of one host after the other, so many, so far apart.
    ListChanges { count: u64, pause_ms: u64 },
    /// Discovery resets all watches and answers the next ones by the whole list.
    WholeList,
    /// The router runs a tenth of the time for so long, by SIGSTOP and SIGCONT.
    LittleProcessor { router: usize, ms: u64 },
}

/// One run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub length: Duration,
    pub routers: usize,
    /// Database hosts, dealt out to the groups in turn; the first of each group is its primary.
    pub hosts: usize,
    pub groups: usize,
    pub clients: usize,
    /// After so many statements a client closes its connection; `None` where it keeps it.
    pub asks_each: Option<u64>,
    /// The longest pause of a client between two statements, in milliseconds; the shortest is a ninth of it.
    pub pause_ms: u64,
    /// Descriptors that each router may hold.
    pub sockets: usize,
    /// Milliseconds that the hosts work on one statement.
    pub work_ms: u64,
    /// All routers start in one instant, in the midst of the clients; else one after the other before them.
    pub at_once: bool,
    /// Routers journal sessions in a folder that outlives their processes.
    pub lasting: bool,
    /// Hosts answer in pieces, clients write in pieces.
    pub pieces: bool,
    /// In order of their times.
    pub events: Vec<(Duration, Event)>,
    /// The faults of system calls, for each router.
    pub shims: Vec<ShimPlan>,
}

/// Descriptors that a router may hold where the plan says nothing else.
const ROUTER_SOCKETS: usize = 96;
const WORK_MS: u64 = 4;
const PAUSE_MS: u64 = 45;
/// Hosts, groups and descriptors of a large fleet.
const LARGE_HOSTS: usize = 3_200;
const LARGE_GROUPS: usize = 457;
const LARGE_SOCKETS: [usize; 4] = [96, 160, 256, 512];

/// Draws from a seed.
struct Draw(Rand64);

impl Draw {
    fn below(&mut self, bound: u64) -> u64 {
        self.0.rand_range(0..bound.max(1))
    }

    fn between(&mut self, least: u64, most: u64) -> u64 {
        least + self.below(most - least + 1)
    }

    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }

    fn pick<T: Copy>(&mut self, of: &[T]) -> T {
        of[self.below(of.len() as u64) as usize]
    }
}

impl Plan {
    /// The plan of this seed; a quick one is shorter and smaller.
    pub fn draw(seed: u64, quick: bool) -> Plan {
        let mut draw = Draw(Rand64::new(u128::from(seed) ^ 0x5eed_50a4));
        let length_ms = if quick { 6_000 } else { 14_000 };
        let routers = if quick { 2 } else { draw.between(3, 5) as usize };
        let hosts = 4 + draw.below(2) as usize;
        let (at_once, lasting, pieces) = (draw.one_in(3), draw.one_in(3), draw.one_in(2));
        let mut events: Vec<(Duration, Event)> = (0..if quick { 6 } else { 14 })
            .map(|_| {
                (
                    Duration::from_millis(draw.between(1_200, length_ms - 2_500)),
                    event(&mut draw, routers, hosts),
                )
            })
            .collect();
        events.sort_by_key(|(at, _)| *at);
        let shims = (0..routers).map(|n| shim(&mut draw, seed ^ n as u64, lasting, length_ms)).collect();
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
    /// A plan without faults, for a test to fill.
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

    /// The plan of this seed on a fleet of thousands of hosts, with what befalls large lists added.
    pub fn draw_large(seed: u64, quick: bool) -> Plan {
        let mut plan = Plan::draw(seed, quick);
        let mut draw = Draw(Rand64::new(u128::from(seed) ^ 0x1a46_e000));
        (plan.hosts, plan.groups) = (LARGE_HOSTS, LARGE_GROUPS);
        plan.sockets = draw.pick(&LARGE_SOCKETS);
        // One of a few hosts is met seldom among thousands: each event on one befalls others as well.
        let spread = plan.events.clone();
        for (at, event) in spread {
            plan.events.extend((0..4).filter_map(|_| event_elsewhere(&mut draw, event)).map(|e| (at, e)));
        }
        let last_ms = plan.length.as_millis() as u64 - 2_500;
        for _ in 0..8 {
            let at = Duration::from_millis(draw.between(1_200, last_ms));
            plan.events.push((at, large_event(&mut draw, plan.routers)));
        }
        plan.events.sort_by_key(|(at, _)| *at);
        plan
    }

    /// Whether hosts, discovery and the machine do all that is asked of them, however much changes.
    pub fn is_healthy(&self) -> bool {
        let harmless = |event: &Event| {
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
        self.shims.iter().all(|shim| shim.rules.is_empty()) && self.events.iter().all(|(_, e)| harmless(e))
    }
}

/// The same at any other host of a large fleet, where the event is of a host.
fn event_elsewhere(draw: &mut Draw, event: Event) -> Option<Event> {
    let host = draw.below(LARGE_HOSTS as u64) as usize;
    let replica = draw.between(LARGE_GROUPS as u64, LARGE_HOSTS as u64 - 1) as usize;
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

fn large_event(draw: &mut Draw, routers: usize) -> Event {
    let router = draw.below(routers as u64) as usize;
    match draw.below(6) {
        0 => Event::Rush { router, clients: draw.between(40, 100), ms: draw.between(500, 2_000) },
        1 => Event::WholeList,
        2 => Event::ListChanges { count: draw.between(50, 300), pause_ms: draw.between(1, 5) },
        3 => Event::LittleProcessor { router, ms: draw.between(500, 2_000) },
        _ => Event::NewPrimary { group: draw.below(LARGE_GROUPS as u64) as usize },
    }
}

fn event(draw: &mut Draw, routers: usize, hosts: usize) -> Event {
    let router = draw.below(routers as u64) as usize;
    let host = draw.below(hosts as u64) as usize;
    let replica = 1 + draw.below(hosts as u64 - 1) as usize;
    let ms = draw.between(200, 1_500);
    match draw.below(16) {
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
        12 => Event::HoldUp { router, ms: draw.between(50, 150) },
        13 | 14 => Event::Signals { router, count: draw.between(1, 12) },
        _ => Event::Crowd { router, clients: draw.between(40, 90) },
    }
}

/// A few faults of system calls, each for a while or at random.
fn shim(draw: &mut Draw, seed: u64, lasting: bool, length_ms: u64) -> ShimPlan {
    let mut rules = Vec::new();
    for _ in 0..draw.between(2, 5) {
        let from = draw.between(0, length_ms / 2);
        let until = from + draw.between(200, 2_000);
        let chance = draw.pick(&[0.02, 0.1, 0.3]);
        rules.push(rule(draw, chance).between(from, until));
    }
    // One for all of the time, seldom.
    rules.push(rule(draw, 0.01));
    if draw.one_in(2) {
        let ms = draw.pick(&[-3_600_000, -7_000, 4_000, 3_600_000]);
        let from = draw.between(100, length_ms / 2);
        rules.push(Rule::new(Call::WallClock, Fault::StepMs(ms)).between(from, u64::MAX));
    }
    if draw.one_in(3) {
        rules.push(Rule::new(Call::Send, Fault::HoldMs(draw.between(20, 150))).probability(0.002));
    }
    if draw.one_in(2) {
        // On links to hosts alone: a client whose connection dies like that waits for no answer.
        let errno = draw.pick(&[ETIMEDOUT, EHOSTUNREACH, ECONNRESET]);
        let call = draw.pick(&[Call::Recv, Call::Send]);
        rules.push(Rule::fails(call, errno).probability(0.01).port(HOST_PORT));
    }
    if lasting {
        rules.extend(disk(draw, length_ms));
    }
    ShimPlan { seed, rules }
}

fn rule(draw: &mut Draw, chance: f64) -> Rule {
    let accept = [ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EINTR, EPROTO, ENETDOWN, EHOSTUNREACH];
    let connect = [EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR, EAGAIN, ETIMEDOUT, EHOSTUNREACH];
    let plain = match draw.below(15) {
        0 | 1 => Rule::fails(Call::Accept, draw.pick(&accept)),
        2 => Rule::fails(Call::Socket, draw.pick(&[ENFILE, EMFILE, ENOBUFS, ENOMEM])),
        3 => Rule::fails(Call::Connect, draw.pick(&connect)),
        4 => Rule::new(Call::Recv, Fault::Short(draw.between(1, 80) as usize)),
        5 => Rule::new(Call::Send, Fault::Short(draw.between(1, 80) as usize)),
        6 => Rule::fails(Call::Recv, EINTR),
        7 => Rule::fails(Call::Send, EINTR),
        8 => Rule::fails(Call::EpollWait, EINTR),
        9 => Rule::fails(Call::Peek, EINTR),
        10 => Rule::fails(Call::WakeWrite, EINTR),
        11 => Rule::fails(Call::Recv, ENOMEM),
        12 => Rule::fails(Call::Send, draw.pick(&[ENOBUFS, ENOMEM])),
        13 => Rule::fails(Call::EpollAdd, draw.pick(&[ENOMEM, ENOSPC])),
        _ => Rule::fails(Call::LogWrite, draw.pick(&[ENOSPC, EIO])),
    };
    plain.probability(chance)
}

/// A disk that takes nothing for a while.
fn disk(draw: &mut Draw, length_ms: u64) -> Vec<Rule> {
    let from = draw.between(0, length_ms / 2);
    let until = from + draw.between(200, 3_000);
    let call = draw.pick(&[Call::FileWrite, Call::Sync, Call::Create, Call::Rename]);
    vec![Rule::fails(call, draw.pick(&[ENOSPC, EIO])).between(from, until)]
}

//! A rehearsal as a whole: fleet, workloads, traffic, routers and cues, each checked against the others before
//! anything starts.
use sandstile_faults::fault_state::FaultScope;
use sandstile_faults::process::{ProcessSelector, STATE_NAMES};
use sandstile_faults::{Endpoint, EndpointSelector, LinkFault, ProcessFault, StateAfterRestart};
use sandstile_fleet::plan::*;
use sandstile_fleet::{FaultKind, Plan, Target};
use sandstile_hcl::{Problem, Section, Source};

/// What clients and routers are told of a workload, beside what hosts do for it.
#[derive(Clone, Debug)]
pub struct WorkloadTerms {
    /// Seconds.
    pub slo: f64,
    /// Seconds that a client waits over all its tries.
    pub timeout: f64,
    pub importance: f64,
    pub late_share: f64,
}

/// A rise of the rate for a while.
#[derive(Clone, Debug)]
pub struct RateJump {
    pub at: f64,
    pub duration_s: f64,
    pub multiple: f64,
    /// Seconds in which it rises, and falls again.
    pub ramp: f64,
}

#[derive(Clone, Debug)]
pub struct TrafficStream {
    pub name: String,
    pub workload: usize,
    /// Indices of groups, drawn from evenly.
    pub groups: Vec<usize>,
    /// Statements a second.
    pub rate: f64,
    /// Names that statements draw from; a workload with sessions takes them as sessions.
    pub sessions: usize,
    pub jumps: Vec<RateJump>,
    /// After each completed statement, one of this workload by the same session after so many seconds.
    pub follow_up: Option<(usize, f64)>,
    /// The share of sessions that ask the next router for what follows.
    pub roaming_share: f64,
}

#[derive(Clone, Debug)]
pub struct Clients {
    /// Further tries of a statement that was rejected, and of an idempotent one that failed.
    pub retries: usize,
    /// Seconds before a try where the rejection named no time.
    pub retry_pause: f64,
    /// Connections to each router at the most.
    pub connections: usize,
    /// Clients that come to a router in the instant in which it is back, each with a wish.
    pub returning_clients: usize,
    /// They come again after `retry_pause`, whatever time they were told.
    pub ignore_retry_after: bool,
    /// Their front sends each session to its own router, or to none while that is away.
    pub pinned: bool,
}

#[derive(Clone, Debug)]
pub struct Routers {
    pub count: usize,
    pub memory_mb: usize,
    pub sockets: usize,
    /// Seconds between the starts of one and the next before the script begins.
    pub start_interval: f64,
    /// How those that start come back, in the words of our own file; `None` where that is off.
    pub pace: Option<String>,
    /// Storms are watched and later tries held to a budget, by our own file.
    pub limits: bool,
    /// They know each other, and shares at hosts follow how many are there.
    pub members: bool,
    pub share: bool,
}

#[derive(Clone, Debug)]
pub struct Allowed {
    pub max_executions: usize,
    pub may_cancel: bool,
    pub probes: bool,
    /// 0 where a rejection names no time.
    pub max_retry_after_s: f64,
    pub dial_timeout_s: f64,
}

/// How routers keep what sessions have written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionTracking {
    /// Clients carry marks that routers hand out.
    pub tokens: bool,
    /// Routers put marks down in a journal, and sessions stay with their router.
    pub journal: bool,
    /// Routers tell each other what sessions have seen, and sessions stay with their router.
    pub exchange: bool,
    /// They keep state together besides, on disks of their own.
    pub state: bool,
    /// And share probes and refusals.
    pub share_probes: bool,
}

impl SessionTracking {
    pub const OFF: SessionTracking =
        SessionTracking { tokens: false, journal: false, exchange: false, state: false, share_probes: false };
}

/// What the audit holds the run against.
#[derive(Clone, Debug)]
pub struct AuditRules {
    /// Seconds after a drain was told in which statements may still come.
    pub grace: f64,
    /// Seconds by which each limit of time is extended.
    pub slack: f64,
}

/// When a cue is due.
#[derive(Clone, Debug, PartialEq)]
pub enum Trigger {
    /// Seconds after the start.
    At(f64),
    /// So many seconds after something has happened.
    After(TriggerEvent, f64),
}

#[derive(Clone, Debug, PartialEq)]
pub enum TriggerEvent {
    /// The fault of this name begins, or ends.
    CueBegins(String),
    CueEnds(String),
    /// The change that the fault of this name brings to the list is written to a router.
    CueAnnounced(String),
    /// Part of the n-th statement of a workload has been read by a host.
    PartlyReceived(usize, u64),
    /// The n-th statement of a workload has been read whole.
    Received(usize, u64),
    /// It has run, and nothing was said yet.
    Executed(usize, u64),
    /// The first bytes of its answer are out.
    PartlyAnswered(usize, u64),
    /// A group has a new primary, for the n-th time.
    PrimaryElected(String, u64),
}

#[derive(Clone, Debug, PartialEq)]
pub enum CueAction {
    Fault {
        kind: FaultKind,
        target: Target,
        duration_s: f64,
    },
    Agent {
        kind: AgentFault,
        duration_s: f64,
    },
    Link {
        scope: FaultScope,
        link_fault: LinkFault,
        duration_s: f64,
    },
    /// What is done to router processes, at once or one after the other over `spread` seconds.
    Process {
        selector: ProcessSelector,
        process_fault: ProcessFault,
        spread: f64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AgentFault {
    /// The agent says nothing; watches stay open.
    Silent,
    /// News come so many seconds late.
    Delay(f64),
    /// It answers at another address, which routers learn by SIGHUP.
    Move,
}

#[derive(Clone, Debug)]
pub struct Cue {
    pub name: String,
    pub trigger: Trigger,
    pub action: CueAction,
    /// Its line in the file.
    pub line: usize,
}

#[derive(Clone, Debug)]
pub struct Script {
    pub title: String,
    pub seconds: f64,
    /// What `--quick_seconds` plays it in.
    pub quick_seconds: f64,
    /// Seconds after the start that reports leave out.
    pub settle: f64,
    pub plan: Plan,
    pub terms: Vec<WorkloadTerms>,
    pub streams: Vec<TrafficStream>,
    pub clients: Clients,
    pub routers: Routers,
    pub allowed: Allowed,
    pub rules: AuditRules,
    pub sessions: SessionTracking,
    pub discovery_delay: f64,
    /// A flaw of the hosts' own that a hunt is to find: the next write after a connection ended under a statement runs,
    /// and is said never to have run.
    pub planted_defect: bool,
    pub cues: Vec<Cue>,
}

const LONG: f64 = 86_400.0;

impl Script {
    /// Reads a whole script that names no shared file, or says all that is wrong with it.
    pub fn read(file: &str, text: &str) -> Result<Script, Vec<Problem>> {
        Script::read_with(file, text, &|_| Err("no shared file can be read here".to_string()))
    }

    /// `shared` yields the text of the file that `fleet` names, or why it can't be had.
    pub fn read_with(
        file: &str,
        text: &str,
        shared: &dyn Fn(&str) -> Result<String, String>,
    ) -> Result<Script, Vec<Problem>> {
        let source = Source::new(file, text);
        let Some(body) = source.parse() else { return Err(source.problems()) };
        let whole = Section::root(&source, &body);
        let named = whole.text("fleet").map(|name| (shared(&name), name));
        let (named, fetched) = match named {
            Some((Ok(text), name)) => (name, Some(text)),
            Some((Err(why), name)) => {
                whole.problem("fleet", format!("fleet = \"{name}\": {why}"), None);
                return Err(source.problems());
            }
            None => (String::new(), None),
        };
        let other = fetched.as_ref().map(|text| Source::new(&named, text));
        let other_body = other.as_ref().and_then(Source::parse);
        let other = other.as_ref().zip(other_body.as_ref()).map(|(s, b)| (s, Section::root(s, b)));
        let script = script(&whole, other.as_ref().map(|(_, section)| section));
        let mut problems = source.problems();
        problems.extend(other.iter().flat_map(|(source, _)| source.problems()));
        match (problems.is_empty(), fetched.is_some() == other.is_some()) {
            (true, true) => Ok(script),
            (_, false) => Err(fetched.map_or(problems, |text| {
                let broken = Source::new(&named, &text);
                broken.parse();
                broken.problems()
            })),
            _ => Err(problems),
        }
    }

    /// Whether the link between two ends has to go over a relay, for some cue strikes it.
    pub fn needs_relay(&self, one: &Endpoint, other: &Endpoint) -> bool {
        one.talks_to(other)
            && self.cues.iter().any(|c| match &c.action {
                CueAction::Link { scope, .. } => scope.affects_either_way(one, other),
                _ => false,
            })
    }

    /// The same evening in less time: the script's own times shrink, those of hosts, statements and what follows
    /// an event stay.
    pub fn shortened(mut self) -> Script {
        let part = (self.quick_seconds / self.seconds).min(1.0);
        self.seconds *= part;
        self.settle *= part;
        for stream in &mut self.streams {
            for jump in &mut stream.jumps {
                jump.at *= part;
                jump.duration_s *= part;
                jump.ramp *= part;
            }
        }
        for cue in &mut self.cues {
            if let Trigger::At(at) = &mut cue.trigger {
                *at *= part;
            }
            match &mut cue.action {
                CueAction::Fault { duration_s, .. }
                | CueAction::Agent { duration_s, .. }
                | CueAction::Link { duration_s, .. } => *duration_s *= part,
                CueAction::Process { .. } => {}
            }
        }
        self
    }

    pub fn workload(&self, name: &str) -> Option<usize> {
        self.plan.workloads.iter().position(|w| w.name == name)
    }
}

/// `shared` holds blocks that several scripts have in common; what the file itself says of clients, routers and the like
/// goes before it.
fn script<'a>(file: &Section<'a>, shared: Option<&Section<'a>>) -> Script {
    let blocks = |kind: &str| {
        let mut all = shared.map_or_else(Vec::new, |s| s.blocks(kind, true));
        all.extend(file.blocks(kind, true));
        all
    };
    let optional_block = |kind: &str| {
        let other = shared.and_then(|s| s.optional_block(kind));
        file.optional_block(kind).or(other)
    };
    let title = file.required_text("title");
    let seconds = file.required_number("seconds", 1.0..LONG);
    let quick_seconds = file.number("quick", 1.0..LONG, seconds.min(30.0));
    let settle = file.number("settle", 0.0..LONG, seconds * 0.05);
    let seed = file.number("seed", 0.0..9e15, 1.0) as u64;
    let discovery_delay = file.ms("discovery_delay_ms", 0.0..60_000.0, 0.02);
    let hosts_check_reads = file.boolean("guards", true);
    let tokens = file.choice(
        "tokens",
        &[("remembered", Tokens::Remembered), ("carried", Tokens::Carried)],
        Some(Tokens::Remembered),
    );
    let kinds: Vec<MachineKind> = blocks("machine").iter().map(machine).collect();
    let kind_names: Vec<String> = kinds.iter().map(|k| k.name.clone()).collect();
    let mut nodes = Vec::new();
    for section in blocks("node") {
        let kind = section.reference("machine", "machine", &kind_names);
        let zone = section.text("zone").unwrap_or_else(|| "a".to_string());
        section.finish();
        nodes.push(Node { name: section.name.clone(), zone, kind: kind.unwrap_or(0) });
    }
    let node_names: Vec<String> = nodes.iter().map(|n| n.name.clone()).collect();
    let groups: Vec<Group> = blocks("group").iter().map(|s| group(s, &node_names)).collect();
    let group_names: Vec<String> = groups.iter().map(|g| g.name.clone()).collect();
    let (workloads, terms): (Vec<Workload>, Vec<WorkloadTerms>) =
        blocks("workload").iter().map(workload).unzip();
    let workload_names: Vec<String> = workloads.iter().map(|w| w.name.clone()).collect();
    for (what, empty) in [
        ("machine", kinds.is_empty()),
        ("node", nodes.is_empty()),
        ("group", groups.is_empty()),
        ("workload", workloads.is_empty()),
    ] {
        if empty {
            file.source().problem(
                0,
                format!("the file has no {what}"),
                Some(format!("{what} \"NAME\" {{ … }}")),
            );
        }
    }
    let streams = blocks("traffic");
    let streams = streams.iter().map(|s| stream(s, &workload_names, &group_names)).collect();
    let plan = Plan { seed, kinds, nodes, groups, workloads, tokens, hosts_check_reads };
    let clients = optional_block("clients");
    let clients = clients.map_or(Clients::usual(), |s| {
        let clients = Clients {
            retries: s.count("retries", 0.0..10.0, 2),
            retry_pause: s.ms("pause_ms", 0.0..60_000.0, 0.1),
            connections: s.count("connections", 1.0..2000.0, 128),
            returning_clients: s.count("crowd", 0.0..2000.0, 0),
            ignore_retry_after: s.boolean("ignore_return", false),
            pinned: s.boolean("pinned", false),
        };
        s.finish();
        clients
    });
    let routers = optional_block("routers").map_or(Routers::usual(), |s| {
        let routers = Routers {
            count: s.count("count", 1.0..64.0, 2),
            memory_mb: s.count("memory_mb", 16.0..65_536.0, 192),
            sockets: s.count("sockets", 64.0..65_536.0, 1024),
            start_interval: s.ms("apart_ms", 0.0..60_000.0, 0.0),
            pace: s.text("pace"),
            limits: s.boolean("limits", false),
            members: s.boolean("members", false),
            share: s.boolean("share", false),
        };
        s.finish();
        routers
    });
    let allowed = optional_block("allowed").map_or_else(Allowed::usual, |s| {
        let usual = Allowed::usual();
        let allowed = Allowed {
            max_executions: s.count("executions", 1.0..16.0, usual.max_executions),
            may_cancel: s.boolean("recall", usual.may_cancel),
            probes: s.boolean("probes", usual.probes),
            max_retry_after_s: s.ms("return_ms", 0.0..60_000.0, usual.max_retry_after_s),
            dial_timeout_s: s.ms("dial_ms", 10.0..10_000.0, usual.dial_timeout_s),
        };
        s.finish();
        allowed
    });
    let rules = optional_block("rules").map_or(AuditRules { grace: 1.0, slack: 0.05 }, |s| {
        let rules = AuditRules {
            grace: s.ms("grace_ms", 0.0..60_000.0, 1.0),
            slack: s.ms("slack_ms", 0.0..1000.0, 0.05),
        };
        s.finish();
        rules
    });
    let off = SessionTracking::OFF;
    let exchange = SessionTracking { exchange: true, ..off };
    let words = [
        ("off", off),
        ("tokens", SessionTracking { tokens: true, ..off }),
        ("journal", SessionTracking { journal: true, ..off }),
        ("both", SessionTracking { tokens: true, journal: true, ..off }),
        ("exchange", exchange),
        ("state", SessionTracking { state: true, ..exchange }),
        ("together", SessionTracking { state: true, share_probes: true, ..exchange }),
    ];
    let sessions = file.choice("sessions", &words, Some(off));
    let planted_defect = file.boolean("planted", false);
    let cues = cues(file, &plan, &group_names, &workload_names, &node_names, routers.count, seconds);
    file.finish();
    if let Some(shared) = shared {
        shared.finish();
    }
    Script {
        title,
        seconds,
        quick_seconds,
        settle,
        plan,
        terms,
        streams,
        clients,
        routers,
        allowed,
        rules,
        sessions,
        discovery_delay,
        planted_defect,
        cues,
    }
}

impl Clients {
    fn usual() -> Self {
        Clients {
            retries: 2,
            retry_pause: 0.1,
            connections: 128,
            returning_clients: 0,
            ignore_retry_after: false,
            pinned: false,
        }
    }
}

impl Routers {
    fn usual() -> Self {
        Routers {
            count: 2,
            memory_mb: 192,
            sockets: 1024,
            start_interval: 0.0,
            pace: None,
            limits: false,
            members: false,
            share: false,
        }
    }
}

impl Allowed {
    fn usual() -> Self {
        Allowed {
            max_executions: 4,
            may_cancel: true,
            probes: true,
            max_retry_after_s: 2.0,
            dial_timeout_s: 0.25,
        }
    }
}

fn machine(s: &Section) -> MachineKind {
    let usual = MachineKind::standard(&s.name);
    let kind = MachineKind {
        cores: s.numbers("cores", 0.01..100.0).unwrap_or(usual.cores),
        discipline: s.choice(
            "discipline",
            &[("sharing", Discipline::Sharing), ("queue", Discipline::Queue)],
            Some(usual.discipline),
        ),
        queue: s.count("queue", 1.0..100_000.0, usual.queue),
        cold_share: s.number("cold_share", 0.01..1.0, usual.cold_share),
        warm_s: s.number("warm_s", 0.0..3600.0, usual.warm_s),
        cold_overload_multiple: s.number("tip_multiple", 1.0..1000.0, usual.cold_overload_multiple),
        cold_overload_window_s: s.number("tip_s", 0.01..60.0, usual.cold_overload_window_s),
        restart_s: s.number("restart_s", 0.01..3600.0, usual.restart_s),
        stops_on_disconnect: s.boolean("stops_when_left", usual.stops_on_disconnect),
        connections: s.count("connections", 1.0..10_000.0, usual.connections),
        idle_timeout_s: s.number("idle_s", 0.05..86_400.0, usual.idle_timeout_s),
        setup_work: s.ms("setup_work_ms", 0.0..1000.0, usual.setup_work),
        first_statements_factor: s.number("fresh_times", 1.0..100.0, usual.first_statements_factor),
        first_statements: s.count("fresh_statements", 0.0..1000.0, usual.first_statements as usize) as u32,
        name: usual.name,
    };
    s.finish();
    kind
}

fn group(s: &Section, nodes: &[String]) -> Group {
    let names = s.texts("nodes").unwrap_or_default();
    if !s.has("nodes") {
        s.problem("nodes", format!("{} lacks nodes", s.title), Some("the first primary first".to_string()));
    }
    let found: Vec<usize> = names.iter().filter_map(|n| s.find("nodes", "node", n, nodes)).collect();
    let mut once = found.clone();
    once.sort_unstable();
    once.dedup();
    if once.len() < found.len() {
        s.problem("nodes", "one node stands twice in a group", None);
    }
    let apply = s.ms("apply_ms", 0.0..10_000.0, 0.0005);
    let group = Group {
        name: s.name.clone(),
        nodes: found,
        replication_delay_s: s.ms("ship_ms", 0.0..60_000.0, 0.010),
        apply: Work::Exponential(apply),
        detect_s: s.number("detect_s", 0.05..600.0, 2.0),
        elect_s: s.number("elect_s", 0.0..600.0, 0.5),
        hold_s: s.ms("hold_ms", 0.0..10_000.0, 0.020),
        dedup_window_s: s.number("dedup_s", 0.0..3600.0, 60.0),
    };
    s.finish();
    group
}

fn workload(s: &Section) -> (Workload, WorkloadTerms) {
    let consistency = s.choice(
        "consistency",
        &[
            ("write", Consistency::Write),
            ("fresh", Consistency::Fresh),
            ("session", Consistency::Session),
            ("bounded", Consistency::Bounded),
            ("any", Consistency::Any),
        ],
        None,
    );
    let usual = match consistency {
        Consistency::Write => Effect::NonIdempotent,
        _ => Effect::Idempotent,
    };
    let effect = s.choice(
        "effect",
        &[
            ("idempotent", Effect::Idempotent),
            ("deduplicated", Effect::Deduplicated),
            ("non-idempotent", Effect::NonIdempotent),
        ],
        Some(usual),
    );
    if consistency == Consistency::Bounded && !s.has("bound_ms") {
        s.problem("consistency", "a bounded read lacks bound_ms", None);
    }
    let max_age_s = s.ms("bound_ms", 0.0..3_600_000.0, 1.0);
    let mean = s.required_number("work_ms", 0.0..60_000.0) / 1000.0;
    let sigma = s.optional_number("sigma", 0.0..3.0);
    let spread = s.text("spread").unwrap_or_else(|| "exponential".to_string());
    let work = match spread.as_str() {
        "fixed" => Work::Fixed(mean),
        "exponential" => Work::Exponential(mean),
        "lognormal" => Work::LogNormal { mean, sigma: sigma.unwrap_or(1.0) },
        other => {
            let all = Some("one of: fixed, exponential, lognormal".to_string());
            s.problem("spread", format!("spread = \"{other}\""), all);
            Work::Fixed(mean)
        }
    };
    if sigma.is_some() && spread != "lognormal" {
        s.problem("sigma", "sigma goes with spread = \"lognormal\"", None);
    }
    let slo = s.required_number("slo_ms", 1.0..86_400_000.0) / 1000.0;
    let timeout = s.required_number("timeout_ms", 1.0..86_400_000.0) / 1000.0;
    if slo > timeout {
        s.problem("slo_ms", "slo_ms is beyond timeout_ms", None);
    }
    let terms = WorkloadTerms {
        slo,
        timeout,
        importance: s.number("importance", 0.0..1000.0, 1.0),
        late_share: s.number("late_share", 0.0..1.0, 0.3),
    };
    let value_bytes = s.count("value_bytes", 0.0..60_000.0, 100);
    s.finish();
    let name = s.name.clone();
    if name.is_empty() || !name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_') {
        let hint = Some("letters, digits, - and _".to_string());
        s.source().problem(s.offset, format!("\"{name}\" is no name for a workload"), hint);
    }
    (Workload { name, effect, consistency, max_age_s, work, value_bytes }, terms)
}

fn stream(s: &Section, workloads: &[String], groups: &[String]) -> TrafficStream {
    let workload = s.reference("workload", "workload", workloads).unwrap_or(0);
    let chosen = match s.texts("groups") {
        Some(names) => names.iter().filter_map(|n| s.find("groups", "group", n, groups)).collect(),
        None => (0..groups.len()).collect(),
    };
    let mut jumps = Vec::new();
    for j in s.blocks("jump", false) {
        let at = j.required_number("at", 0.0..LONG);
        let duration_s = j.number("for", 0.0..LONG, LONG);
        let multiple = j.required_number("times", 0.0..1000.0);
        jumps.push(RateJump { at, duration_s, multiple, ramp: j.number("ramp", 0.0..LONG, 0.0) });
        j.finish();
    }
    let then = s.has("then").then(|| s.reference("then", "workload", workloads)).flatten();
    let think = s.ms("think_ms", 0.0..600_000.0, 0.05);
    let stream = TrafficStream {
        name: s.name.clone(),
        workload,
        groups: chosen,
        rate: s.required_number("rate", 0.001..1_000_000.0),
        sessions: s.count("sessions", 1.0..1e9, 1000),
        jumps,
        follow_up: then.map(|w| (w, think)),
        roaming_share: s.number("roams", 0.0..1.0, 0.0),
    };
    s.finish();
    stream
}

struct Names<'a> {
    plan: &'a Plan,
    groups: &'a [String],
    workloads: &'a [String],
    nodes: &'a [String],
    faults: Vec<String>,
    seconds: f64,
}

fn cues(
    file: &Section,
    plan: &Plan,
    groups: &[String],
    workloads: &[String],
    nodes: &[String],
    routers: usize,
    seconds: f64,
) -> Vec<Cue> {
    let (faults, agents) = (file.blocks("fault", true), file.blocks("agent", true));
    let restarts = file.blocks("restart", true);
    let (stops, states) = (file.blocks("stop", true), file.blocks("state", true));
    let (links, partitions) = (file.blocks("link", true), file.blocks("partition", true));
    let all = faults.iter().chain(&agents).chain(&restarts).chain(&stops).chain(&states);
    let all = all.chain(&links).chain(&partitions);
    let names =
        Names { plan, groups, workloads, nodes, faults: all.map(|s| s.name.clone()).collect(), seconds };
    let mut cues = Vec::new();
    let mut push = |s: &Section, action: CueAction| {
        let trigger = trigger(s, &names);
        s.finish();
        cues.push(Cue { name: s.name.clone(), trigger, action, line: s.source().line(s.offset) });
    };
    for s in &faults {
        let (kind, target, duration_s) = (fault(s), target(s, &names), duration_s(s));
        push(s, CueAction::Fault { kind, target, duration_s });
    }
    for s in &agents {
        let kind = s.required_text("kind");
        let kind = match kind.as_str() {
            "silent" => AgentFault::Silent,
            "move" => AgentFault::Move,
            "delay" => AgentFault::Delay(s.required_number("delay_ms", 0.0..60_000.0) / 1000.0),
            other => {
                let all = Some("one of: silent, delay, move".to_string());
                s.problem("kind", format!("kind = \"{other}\""), all);
                AgentFault::Silent
            }
        };
        let duration_s = duration_s(s);
        push(s, CueAction::Agent { kind, duration_s });
    }
    for s in &restarts {
        let selector = selector(s, routers);
        let process_fault = ProcessFault::Restart {
            kill: s.choice("kind", &[("term", false), ("kill", true)], None),
            back: s.number("back", 0.0..3600.0, 1.0),
            state: s.choice("state", &STATE_NAMES, Some(StateAfterRestart::Kept)),
        };
        let spread = s.number("spread", 0.0..3600.0, 0.0);
        push(s, CueAction::Process { selector, process_fault, spread });
    }
    for s in &stops {
        let (selector, duration_s) = (selector(s, routers), s.required_number("for", 0.01..3600.0));
        let process_fault = match s.has("of_the_time") {
            true => ProcessFault::Slow { share: s.required_number("of_the_time", 0.01..0.99), duration_s },
            false => ProcessFault::Stop { duration_s },
        };
        let spread = s.number("spread", 0.0..3600.0, 0.0);
        push(s, CueAction::Process { selector, process_fault, spread });
    }
    for s in &states {
        let selector = selector(s, routers);
        push(s, CueAction::Process { selector, process_fault: ProcessFault::SaveState, spread: 0.0 });
    }
    let field = KnownEndpoints { plan, groups, routers };
    for s in &links {
        let ends = |key: &str| field.pick(s, key, &s.required_text(key));
        let (from, to, one_way) = (ends("from"), ends("to"), s.boolean("one_way", false));
        let (link_fault, duration_s) = (link_fault(s), duration_s(s));
        if let (Some(from), Some(to)) = (from, to) {
            push(
                s,
                CueAction::Link { scope: FaultScope::Between { from, to, one_way }, link_fault, duration_s },
            );
        }
    }
    for s in &partitions {
        let sides = s.texts("sides").unwrap_or_default();
        if sides.len() < 2 {
            let hint = "sides = [\"router:0-3 zone:a\", \"router:4-7 zone:b\"]";
            s.problem("sides", "a partition has two sides or more", Some(hint.to_string()));
        }
        let sides: Vec<EndpointSelector> =
            sides.iter().filter_map(|text| field.pick(s, "sides", text)).collect();
        let duration_s = duration_s(s);
        push(s, CueAction::Link { scope: FaultScope::Sides(sides), link_fault: LinkFault::Cut, duration_s });
    }
    cues
}

/// What the ends of links are picked from.
struct KnownEndpoints<'a> {
    plan: &'a Plan,
    groups: &'a [String],
    routers: usize,
}

impl KnownEndpoints<'_> {
    fn pick(&self, s: &Section, key: &str, text: &str) -> Option<EndpointSelector> {
        let pick = match EndpointSelector::parse(text) {
            Ok(pick) => pick,
            Err(why) => {
                s.problem(key, why, None);
                return None;
            }
        };
        let zones: Vec<String> = self.plan.nodes.iter().map(|n| n.zone.clone()).collect();
        let known = pick.names().all(|(what, name)| match what {
            "group" => s.find(key, what, name, self.groups).is_some(),
            "zone" => s.find(key, what, name, &zones).is_some(),
            // A host that comes by a replacement has no name before that.
            _ => true,
        });
        if pick.max_number().is_some_and(|n| n >= self.routers) {
            let hint = Some(format!("there are {}, counted from 0", self.routers));
            s.problem(key, format!("\"{text}\": no such router"), hint);
        }
        known.then_some(pick)
    }
}

/// `router = N`, `share = 0.7`, or all.
fn selector(s: &Section, routers: usize) -> ProcessSelector {
    if s.has("share") {
        if s.has("router") {
            s.problem("share", format!("{} has both router and share", s.title), None);
        }
        return ProcessSelector::Share(s.required_number("share", 0.0..1.0));
    }
    let number = s.required_number("router", 0.0..63.0) as usize;
    if number >= routers {
        let hint = Some(format!("there are {routers}, counted from 0"));
        s.problem("router", format!("no router {number}"), hint);
    }
    ProcessSelector::One(number)
}

fn link_fault(s: &Section) -> LinkFault {
    let share = || s.required_number("share", 0.0..1.0);
    let kind = s.required_text("kind");
    match kind.as_str() {
        "cut" => LinkFault::Cut,
        "reset" => LinkFault::Reset,
        "loss" => LinkFault::Loss(share()),
        "reorder" => LinkFault::Reorder(share()),
        "duplicate" => LinkFault::Duplicate(share()),
        "spoil" => LinkFault::Corrupt(share()),
        "rate" => LinkFault::Rate(s.required_number("bytes_s", 1.0..1e12)),
        "delay" => LinkFault::Delay {
            by: s.required_number("delay_ms", 0.0..60_000.0) / 1000.0,
            jitter: s.ms("jitter_ms", 0.0..60_000.0, 0.0),
        },
        other => {
            let all = "cut, reset, loss, delay, rate, spoil, reorder, duplicate";
            s.problem("kind", format!("kind = \"{other}\""), Some(format!("one of: {all}")));
            LinkFault::Cut
        }
    }
}

fn duration_s(s: &Section) -> f64 {
    match s.has("for") {
        true => s.required_number("for", 0.001..LONG),
        false => f64::INFINITY,
    }
}

fn fault(s: &Section) -> FaultKind {
    let kind = s.required_text("kind");
    let share = || s.required_number("share", 0.0..1.0);
    match kind.as_str() {
        "pause" => FaultKind::Pause,
        "hang" => FaultKind::Hang,
        "slow" => FaultKind::Slow(share()),
        "slow_replay" => FaultKind::SlowReplay(share()),
        "crash" => FaultKind::Crash,
        "lost" => FaultKind::Lost,
        "drain" => FaultKind::Drain,
        "replace" => FaultKind::Replace,
        "fast_errors" => FaultKind::FastErrors(share()),
        "spoilt" => FaultKind::Spoilt(share()),
        "neighbour" => FaultKind::Neighbour(share()),
        "refuse_connections" => FaultKind::RefuseConnections,
        "slow_connections" => {
            FaultKind::SlowConnections(s.required_number("delay_ms", 0.0..60_000.0) / 1000.0)
        }
        "early_close" => FaultKind::EarlyClose(s.required_number("idle_ms", 1.0..600_000.0) / 1000.0),
        other => {
            let all = "pause, hang, slow, slow_replay, crash, lost, drain, replace, fast_errors, spoilt, \
                       neighbour, refuse_connections, slow_connections, early_close";
            s.problem("kind", format!("kind = \"{other}\""), Some(format!("one of: {all}")));
            FaultKind::Pause
        }
    }
}

/// `host:NAME`, `node:NAME`, `primary:GROUP`, `replica:GROUP:N` or `group:GROUP`.
fn target(s: &Section, names: &Names) -> Target {
    let text = s.required_text("on");
    let mut words = text.split(':');
    let (kind, name) = (words.next().unwrap_or(""), words.next().unwrap_or("").to_string());
    let number = words.next();
    let group = |name: &str| s.find("on", "group", name, names.groups).is_some();
    let fits = match (kind, number) {
        ("host", None) => {
            // A host that comes by a replacement has no name before that.
            let plan = names.plan;
            let all = plan.groups.iter().enumerate().flat_map(|(g, group)| {
                group.nodes.iter().map(move |n| plan.host_name(g, *n)).collect::<Vec<_>>()
            });
            let all: Vec<String> = all.collect();
            s.find("on", "host", &name, &all);
            return Target::Host(name);
        }
        ("node", None) => s.find("on", "node", &name, names.nodes).map(|_| Target::Node(name.clone())),
        ("primary", None) => group(&name).then(|| Target::Primary(name.clone())),
        ("group", None) => group(&name).then(|| Target::Group(name.clone())),
        ("replica", Some(n)) if n.parse::<usize>().is_ok() => {
            group(&name).then(|| Target::Replica(name.clone(), n.parse().unwrap_or(0)))
        }
        _ => {
            let forms = "host:NAME, node:NAME, primary:GROUP, replica:GROUP:N or group:GROUP";
            s.problem("on", format!("on = \"{text}\""), Some(forms.to_string()));
            None
        }
    };
    fits.unwrap_or(Target::Host(name))
}

/// `at` in seconds, or `when` with `plus_ms`.
fn trigger(s: &Section, names: &Names) -> Trigger {
    let (at, when) = (s.optional_number("at", 0.0..LONG), s.text("when"));
    let plus = s.ms("plus_ms", 0.0..600_000.0, 0.0);
    if at.is_some_and(|at| at > names.seconds) {
        s.problem("at", "at lies behind the end", Some(format!("seconds = {}", names.seconds)));
    }
    match (at, when) {
        (Some(at), None) if !s.has("plus_ms") => Trigger::At(at),
        (None, Some(text)) => Trigger::After(when_of(s, &text, names), plus),
        (Some(_), None) => {
            s.problem("plus_ms", "plus_ms goes with when", None);
            Trigger::At(0.0)
        }
        (Some(_), Some(_)) => {
            s.problem("when", format!("{} has both at and when", s.title), None);
            Trigger::At(0.0)
        }
        (None, None) => {
            if !s.has("at") {
                let hint = Some("at = SECONDS, or when = \"EVENT\"".to_string());
                s.source().problem(s.offset, format!("{} lacks at or when", s.title), hint);
            }
            Trigger::At(0.0)
        }
    }
}

fn when_of(s: &Section, text: &str, names: &Names) -> TriggerEvent {
    let words: Vec<&str> = text.split(':').collect();
    let name = words.get(1).map_or(String::new(), |w| w.to_string());
    let nth = words.get(2).and_then(|n| n.parse::<u64>().ok()).filter(|n| *n > 0);
    let known = |what: &str, of: &[String]| s.find("when", what, &name, of);
    let itself = || {
        if name == s.name {
            s.problem("when", format!("{} waits for itself", s.title), None);
        }
    };
    match (words.first().copied().unwrap_or(""), words.len(), nth) {
        (choice @ ("begins" | "ends" | "announced"), 2, _) => {
            known("fault, agent or restart", &names.faults);
            itself();
            match choice {
                "begins" => TriggerEvent::CueBegins(name),
                "ends" => TriggerEvent::CueEnds(name),
                _ => TriggerEvent::CueAnnounced(name),
            }
        }
        (choice @ ("arriving" | "begun" | "ran" | "half_said"), 3, Some(nth)) => {
            let workload = known("workload", names.workloads).unwrap_or(0);
            match choice {
                "arriving" => TriggerEvent::PartlyReceived(workload, nth),
                "begun" => TriggerEvent::Received(workload, nth),
                "ran" => TriggerEvent::Executed(workload, nth),
                _ => TriggerEvent::PartlyAnswered(workload, nth),
            }
        }
        ("primary", 3, Some(nth)) => {
            known("group", names.groups);
            TriggerEvent::PrimaryElected(name, nth)
        }
        _ => {
            let forms = "begins:NAME, ends:NAME, announced:NAME, arriving:WORKLOAD:N, begun:WORKLOAD:N, \
                         ran:WORKLOAD:N, half_said:WORKLOAD:N or primary:GROUP:N";
            s.problem("when", format!("when = \"{text}\""), Some(forms.to_string()));
            TriggerEvent::CueBegins(name)
        }
    }
}

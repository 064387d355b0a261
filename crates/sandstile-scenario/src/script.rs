//! A rehearsal script: fleet, workloads, traffic, routers and cues. References between them are checked
//! before anything starts.
use sandstile_faults::link_faults::FaultScope;
use sandstile_faults::process::{ProcessSelector, STATE_NAMES};
use sandstile_faults::{Endpoint, EndpointSelector, LinkFault, ProcessFault, StateAfterRestart};
use sandstile_fleet::plan::*;
use sandstile_fleet::{FaultKind, Plan, Target};
use sandstile_hcl::{Problem, Section, Source};

/// What clients and routers know of a workload, in addition to its cost on the hosts.
#[derive(Clone, Debug)]
pub struct WorkloadTerms {
    /// Seconds.
    pub slo: f64,
    /// Seconds that a client waits for a statement, over all its attempts.
    pub timeout: f64,
    pub importance: f64,
    pub late_share: f64,
}

/// A temporary rise of the arrival rate.
#[derive(Clone, Debug)]
pub struct RateJump {
    pub at: f64,
    pub duration_s: f64,
    pub multiple: f64,
    /// Seconds over which the rate rises at the start, and falls at the end.
    pub ramp: f64,
}

#[derive(Clone, Debug)]
pub struct TrafficStream {
    pub name: String,
    pub workload: usize,
    /// Indices of groups, drawn with equal probability.
    pub groups: Vec<usize>,
    /// Statements per second.
    pub rate: f64,
    /// The number of session names that statements draw from; they matter to workloads with session consistency.
    pub sessions: usize,
    pub jumps: Vec<RateJump>,
    /// After each completed statement, the same session sends one of this workload after this many seconds.
    pub follow_up: Option<(usize, f64)>,
    /// The share of sessions that send the follow-up to the next router.
    pub roaming_share: f64,
}

#[derive(Clone, Debug)]
pub struct Clients {
    /// Max retries of a statement that was rejected, or of an idempotent one that failed.
    pub retries: usize,
    /// Seconds before a retry when the rejection stated no delay.
    pub retry_pause: f64,
    /// Max connections to each router.
    pub connections: usize,
    /// Number of clients that connect to a router at the moment it is back after a restart, each with a
    /// statement.
    pub returning_clients: usize,
    /// Clients retry after `retry_pause`, whatever delay the rejection stated.
    pub ignore_retry_after: bool,
    /// A load balancer sends each session to its own router, or to none while that router is down.
    pub pinned: bool,
}

#[derive(Clone, Debug)]
pub struct Routers {
    pub count: usize,
    pub memory_mb: usize,
    pub sockets: usize,
    /// Seconds between the starts of two routers before the script begins.
    pub start_interval: f64,
    /// How restarted routers pace their return, in the syntax of the local configuration file; `None` turns this off.
    pub pace: Option<String>,
    /// The local configuration file enables storm detection and the retry budget.
    pub limits: bool,
    /// Routers are members of one cluster, and their shares of host capacity follow the number of members.
    pub members: bool,
    pub share: bool,
}

#[derive(Clone, Debug)]
pub struct Allowed {
    pub max_executions: usize,
    pub may_cancel: bool,
    pub probes: bool,
    /// 0 if rejections state no delay.
    pub max_retry_after_s: f64,
    pub dial_timeout_s: f64,
}

/// How routers keep track of what sessions have written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionTracking {
    /// Clients carry marks that routers hand out.
    pub tokens: bool,
    /// Routers store marks in a journal, and sessions stay with their router.
    pub journal: bool,
    /// Routers exchange what sessions have seen, and sessions stay with their router.
    pub exchange: bool,
    /// In addition, routers replicate state among each other and store it on their own disks.
    pub state: bool,
    /// In addition, routers share the results of probes and refusals.
    pub share_probes: bool,
}

impl SessionTracking {
    pub const OFF: SessionTracking =
        SessionTracking { tokens: false, journal: false, exchange: false, state: false, share_probes: false };
}

/// The limits by which the audit judges the run.
#[derive(Clone, Debug)]
pub struct AuditRules {
    /// Seconds after a drain was announced during which statements may still reach the host.
    pub grace: f64,
    /// Seconds by which each time limit is extended.
    pub slack: f64,
}

/// When a cue becomes due.
#[derive(Clone, Debug, PartialEq)]
pub enum Trigger {
    /// Seconds after the start.
    At(f64),
    /// A number of seconds after an event.
    After(TriggerEvent, f64),
}

#[derive(Clone, Debug, PartialEq)]
pub enum TriggerEvent {
    /// The cue of this name begins, or ends.
    CueBegins(String),
    CueEnds(String),
    /// The change of the host list that the cue of this name causes is written to a router.
    CueAnnounced(String),
    /// A host has read part of the n-th statement of a workload.
    PartlyReceived(usize, u64),
    /// A host has read the n-th statement of a workload completely.
    Received(usize, u64),
    /// The n-th statement of a workload was executed, and no byte of its answer was sent yet.
    Executed(usize, u64),
    /// The first bytes of the n-th answer of a workload were sent.
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
    /// A fault of router processes, all at once or spaced evenly over `spread` seconds.
    Process {
        selector: ProcessSelector,
        process_fault: ProcessFault,
        spread: f64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AgentFault {
    /// The agent sends nothing; its watches stay open.
    Silent,
    /// Changes of the host list are sent this many seconds late.
    Delay(f64),
    /// The agent moves to another address, which routers learn by SIGHUP.
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
    /// The duration in seconds that `--quick` shortens the script to.
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
    /// Plants a defect in the hosts that a hunt has to find: after a connection ended during a statement, the
    /// next write is executed but reported as not executed.
    pub planted_defect: bool,
    pub cues: Vec<Cue>,
}

const MAX_SECONDS: f64 = 86_400.0;

impl Script {
    /// Parses a script that uses no shared file, or returns all its problems.
    pub fn read(file: &str, text: &str) -> Result<Script, Vec<Problem>> {
        Script::read_with(file, text, &|_| Err("no shared file is available here".to_string()))
    }

    /// `shared` returns the text of the file that `fleet` names, or the reason why it can't be read.
    pub fn read_with(
        file: &str,
        text: &str,
        shared: &dyn Fn(&str) -> Result<String, String>,
    ) -> Result<Script, Vec<Problem>> {
        let source = Source::new(file, text);
        let Some(body) = source.parse() else { return Err(source.problems()) };
        let root = Section::root(&source, &body);
        let shared_name = root.text("fleet").map(|name| (shared(&name), name));
        let (shared_name, shared_text) = match shared_name {
            Some((Ok(text), name)) => (name, Some(text)),
            Some((Err(reason), name)) => {
                root.problem("fleet", format!("fleet = \"{name}\": {reason}"), None);
                return Err(source.problems());
            }
            None => (String::new(), None),
        };
        let shared_source = shared_text.as_ref().map(|text| Source::new(&shared_name, text));
        let shared_body = shared_source.as_ref().and_then(Source::parse);
        let shared_source = shared_source
            .as_ref()
            .zip(shared_body.as_ref())
            .map(|(source, body)| (source, Section::root(source, body)));
        let script = parse_script(&root, shared_source.as_ref().map(|(_, section)| section));
        let mut problems = source.problems();
        problems.extend(shared_source.iter().flat_map(|(source, _)| source.problems()));
        match (problems.is_empty(), shared_text.is_some() == shared_source.is_some()) {
            (true, true) => Ok(script),
            (_, false) => Err(shared_text.map_or(problems, |text| {
                let invalid = Source::new(&shared_name, &text);
                invalid.parse();
                invalid.problems()
            })),
            _ => Err(problems),
        }
    }

    /// Whether the link between two endpoints has to go through a relay, because a cue affects it.
    pub fn needs_relay(&self, one: &Endpoint, other: &Endpoint) -> bool {
        one.talks_to(other)
            && self.cues.iter().any(|c| match &c.action {
                CueAction::Link { scope, .. } => scope.affects_either_way(one, other),
                _ => false,
            })
    }

    /// Shortens the script to `quick_seconds`. Times of the script itself are scaled; delays of hosts,
    /// statements and triggers after events stay.
    pub fn shortened(mut self) -> Script {
        let factor = (self.quick_seconds / self.seconds).min(1.0);
        self.seconds *= factor;
        self.settle *= factor;
        for stream in &mut self.streams {
            for jump in &mut stream.jumps {
                jump.at *= factor;
                jump.duration_s *= factor;
                jump.ramp *= factor;
            }
        }
        for cue in &mut self.cues {
            if let Trigger::At(at) = &mut cue.trigger {
                *at *= factor;
            }
            match &mut cue.action {
                CueAction::Fault { duration_s, .. }
                | CueAction::Agent { duration_s, .. }
                | CueAction::Link { duration_s, .. } => *duration_s *= factor,
                CueAction::Process { .. } => {}
            }
        }
        self
    }

    pub fn workload(&self, name: &str) -> Option<usize> {
        self.plan.workloads.iter().position(|w| w.name == name)
    }
}

/// `shared` holds blocks that several scripts have in common; blocks of the file itself take precedence for
/// clients, routers and the like.
fn parse_script<'a>(file: &Section<'a>, shared: Option<&Section<'a>>) -> Script {
    let blocks = |kind: &str| {
        let mut all = shared.map_or_else(Vec::new, |section| section.blocks(kind, true));
        all.extend(file.blocks(kind, true));
        all
    };
    let optional_block = |kind: &str| {
        let from_shared = shared.and_then(|section| section.optional_block(kind));
        file.optional_block(kind).or(from_shared)
    };
    let title = file.required_text("title");
    let seconds = file.required_number("seconds", 1.0..MAX_SECONDS);
    let quick_seconds = file.number("quick", 1.0..MAX_SECONDS, seconds.min(30.0));
    let settle = file.number("settle", 0.0..MAX_SECONDS, seconds * 0.05);
    let seed = file.number("seed", 0.0..9e15, 1.0) as u64;
    let discovery_delay = file.ms("discovery_delay_ms", 0.0..60_000.0, 0.02);
    let hosts_check_reads = file.boolean("guards", true);
    let tokens = file.choice(
        "tokens",
        &[("remembered", Tokens::Remembered), ("carried", Tokens::Carried)],
        Some(Tokens::Remembered),
    );
    let kinds: Vec<MachineKind> = blocks("machine").iter().map(machine).collect();
    let machine_names: Vec<String> = kinds.iter().map(|k| k.name.clone()).collect();
    let mut nodes = Vec::new();
    for section in blocks("node") {
        let kind = section.reference("machine", "machine", &machine_names);
        let zone = section.text("zone").unwrap_or_else(|| "a".to_string());
        section.finish();
        nodes.push(Node { name: section.name.clone(), zone, kind: kind.unwrap_or(0) });
    }
    let node_names: Vec<String> = nodes.iter().map(|n| n.name.clone()).collect();
    let groups: Vec<Group> = blocks("group").iter().map(|section| group(section, &node_names)).collect();
    let group_names: Vec<String> = groups.iter().map(|g| g.name.clone()).collect();
    let (workloads, terms): (Vec<Workload>, Vec<WorkloadTerms>) =
        blocks("workload").iter().map(workload).unzip();
    let workload_names: Vec<String> = workloads.iter().map(|w| w.name.clone()).collect();
    for (block, empty) in [
        ("machine", kinds.is_empty()),
        ("node", nodes.is_empty()),
        ("group", groups.is_empty()),
        ("workload", workloads.is_empty()),
    ] {
        if empty {
            file.source().problem(
                0,
                format!("the file has no {block}"),
                Some(format!("{block} \"NAME\" {{ … }}")),
            );
        }
    }
    let streams = blocks("traffic");
    let streams = streams.iter().map(|section| stream(section, &workload_names, &group_names)).collect();
    let plan = Plan { seed, kinds, nodes, groups, workloads, tokens, hosts_check_reads };
    let clients = optional_block("clients");
    let clients = clients.map_or(Clients::defaults(), |section| {
        let clients = Clients {
            retries: section.count("retries", 0.0..10.0, 2),
            retry_pause: section.ms("pause_ms", 0.0..60_000.0, 0.1),
            connections: section.count("connections", 1.0..2000.0, 128),
            returning_clients: section.count("crowd", 0.0..2000.0, 0),
            ignore_retry_after: section.boolean("ignore_return", false),
            pinned: section.boolean("pinned", false),
        };
        section.finish();
        clients
    });
    let routers = optional_block("routers").map_or(Routers::defaults(), |section| {
        let routers = Routers {
            count: section.count("count", 1.0..64.0, 2),
            memory_mb: section.count("memory_mb", 16.0..65_536.0, 192),
            sockets: section.count("sockets", 64.0..65_536.0, 1024),
            start_interval: section.ms("apart_ms", 0.0..60_000.0, 0.0),
            pace: section.text("pace"),
            limits: section.boolean("limits", false),
            members: section.boolean("members", false),
            share: section.boolean("share", false),
        };
        section.finish();
        routers
    });
    let allowed = optional_block("allowed").map_or_else(Allowed::defaults, |section| {
        let defaults = Allowed::defaults();
        let allowed = Allowed {
            max_executions: section.count("executions", 1.0..16.0, defaults.max_executions),
            may_cancel: section.boolean("recall", defaults.may_cancel),
            probes: section.boolean("probes", defaults.probes),
            max_retry_after_s: section.ms("return_ms", 0.0..60_000.0, defaults.max_retry_after_s),
            dial_timeout_s: section.ms("dial_ms", 10.0..10_000.0, defaults.dial_timeout_s),
        };
        section.finish();
        allowed
    });
    let rules = optional_block("rules").map_or(AuditRules { grace: 1.0, slack: 0.05 }, |section| {
        let rules = AuditRules {
            grace: section.ms("grace_ms", 0.0..60_000.0, 1.0),
            slack: section.ms("slack_ms", 0.0..1000.0, 0.05),
        };
        section.finish();
        rules
    });
    let off = SessionTracking::OFF;
    let exchange = SessionTracking { exchange: true, ..off };
    let modes = [
        ("off", off),
        ("tokens", SessionTracking { tokens: true, ..off }),
        ("journal", SessionTracking { journal: true, ..off }),
        ("both", SessionTracking { tokens: true, journal: true, ..off }),
        ("exchange", exchange),
        ("state", SessionTracking { state: true, ..exchange }),
        ("together", SessionTracking { state: true, share_probes: true, ..exchange }),
    ];
    let sessions = file.choice("sessions", &modes, Some(off));
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
    fn defaults() -> Self {
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
    fn defaults() -> Self {
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
    fn defaults() -> Self {
        Allowed {
            max_executions: 4,
            may_cancel: true,
            probes: true,
            max_retry_after_s: 2.0,
            dial_timeout_s: 0.25,
        }
    }
}

fn machine(section: &Section) -> MachineKind {
    let defaults = MachineKind::standard(&section.name);
    let kind = MachineKind {
        cores: section.numbers("cores", 0.01..100.0).unwrap_or(defaults.cores),
        discipline: section.choice(
            "discipline",
            &[("sharing", Discipline::Sharing), ("queue", Discipline::Queue)],
            Some(defaults.discipline),
        ),
        queue: section.count("queue", 1.0..100_000.0, defaults.queue),
        cold_share: section.number("cold_share", 0.01..1.0, defaults.cold_share),
        warm_s: section.number("warm_s", 0.0..3600.0, defaults.warm_s),
        cold_overload_multiple: section.number("tip_multiple", 1.0..1000.0, defaults.cold_overload_multiple),
        cold_overload_window_s: section.number("tip_s", 0.01..60.0, defaults.cold_overload_window_s),
        restart_s: section.number("restart_s", 0.01..3600.0, defaults.restart_s),
        stops_on_disconnect: section.boolean("stops_when_left", defaults.stops_on_disconnect),
        connections: section.count("connections", 1.0..10_000.0, defaults.connections),
        idle_timeout_s: section.number("idle_s", 0.05..86_400.0, defaults.idle_timeout_s),
        setup_work: section.ms("setup_work_ms", 0.0..1000.0, defaults.setup_work),
        first_statements_factor: section.number("fresh_times", 1.0..100.0, defaults.first_statements_factor),
        first_statements: section.count("fresh_statements", 0.0..1000.0, defaults.first_statements as usize)
            as u32,
        name: defaults.name,
    };
    section.finish();
    kind
}

fn group(section: &Section, nodes: &[String]) -> Group {
    let node_names = section.texts("nodes").unwrap_or_default();
    if !section.has("nodes") {
        section.problem(
            "nodes",
            format!("{} lacks nodes", section.title),
            Some("the initial primary comes first".to_string()),
        );
    }
    let node_indices: Vec<usize> =
        node_names.iter().filter_map(|n| section.find("nodes", "node", n, nodes)).collect();
    let mut unique = node_indices.clone();
    unique.sort_unstable();
    unique.dedup();
    if unique.len() < node_indices.len() {
        section.problem("nodes", "a node is listed twice in a group", None);
    }
    let apply = section.ms("apply_ms", 0.0..10_000.0, 0.0005);
    let group = Group {
        name: section.name.clone(),
        nodes: node_indices,
        replication_delay_s: section.ms("ship_ms", 0.0..60_000.0, 0.010),
        apply: Work::Exponential(apply),
        detect_s: section.number("detect_s", 0.05..600.0, 2.0),
        elect_s: section.number("elect_s", 0.0..600.0, 0.5),
        hold_s: section.ms("hold_ms", 0.0..10_000.0, 0.020),
        dedup_window_s: section.number("dedup_s", 0.0..3600.0, 60.0),
    };
    section.finish();
    group
}

fn workload(section: &Section) -> (Workload, WorkloadTerms) {
    let consistency = section.choice(
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
    let default_effect = match consistency {
        Consistency::Write => Effect::NonIdempotent,
        _ => Effect::Idempotent,
    };
    let effect = section.choice(
        "effect",
        &[
            ("idempotent", Effect::Idempotent),
            ("deduplicated", Effect::Deduplicated),
            ("non-idempotent", Effect::NonIdempotent),
        ],
        Some(default_effect),
    );
    if consistency == Consistency::Bounded && !section.has("bound_ms") {
        section.problem("consistency", "a bounded read needs bound_ms", None);
    }
    let max_age_s = section.ms("bound_ms", 0.0..3_600_000.0, 1.0);
    let mean = section.required_number("work_ms", 0.0..60_000.0) / 1000.0;
    let sigma = section.optional_number("sigma", 0.0..3.0);
    let distribution = section.text("spread").unwrap_or_else(|| "exponential".to_string());
    let work = match distribution.as_str() {
        "fixed" => Work::Fixed(mean),
        "exponential" => Work::Exponential(mean),
        "lognormal" => Work::LogNormal { mean, sigma: sigma.unwrap_or(1.0) },
        other => {
            let choices = Some("one of: fixed, exponential, lognormal".to_string());
            section.problem("spread", format!("spread = \"{other}\""), choices);
            Work::Fixed(mean)
        }
    };
    if sigma.is_some() && distribution != "lognormal" {
        section.problem("sigma", "sigma needs spread = \"lognormal\"", None);
    }
    let slo = section.required_number("slo_ms", 1.0..86_400_000.0) / 1000.0;
    let timeout = section.required_number("timeout_ms", 1.0..86_400_000.0) / 1000.0;
    if slo > timeout {
        section.problem("slo_ms", "slo_ms is beyond timeout_ms", None);
    }
    let terms = WorkloadTerms {
        slo,
        timeout,
        importance: section.number("importance", 0.0..1000.0, 1.0),
        late_share: section.number("late_share", 0.0..1.0, 0.3),
    };
    let value_bytes = section.count("value_bytes", 0.0..60_000.0, 100);
    section.finish();
    let name = section.name.clone();
    if name.is_empty() || !name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_') {
        let hint = Some("letters, digits, - and _".to_string());
        section.source().problem(section.offset, format!("\"{name}\" is not a valid workload name"), hint);
    }
    (Workload { name, effect, consistency, max_age_s, work, value_bytes }, terms)
}

fn stream(section: &Section, workloads: &[String], groups: &[String]) -> TrafficStream {
    let workload = section.reference("workload", "workload", workloads).unwrap_or(0);
    let chosen = match section.texts("groups") {
        Some(group_names) => {
            group_names.iter().filter_map(|n| section.find("groups", "group", n, groups)).collect()
        }
        None => (0..groups.len()).collect(),
    };
    let mut jumps = Vec::new();
    for jump in section.blocks("jump", false) {
        let at = jump.required_number("at", 0.0..MAX_SECONDS);
        let duration_s = jump.number("for", 0.0..MAX_SECONDS, MAX_SECONDS);
        let multiple = jump.required_number("times", 0.0..1000.0);
        jumps.push(RateJump { at, duration_s, multiple, ramp: jump.number("ramp", 0.0..MAX_SECONDS, 0.0) });
        jump.finish();
    }
    let then = section.has("then").then(|| section.reference("then", "workload", workloads)).flatten();
    let think = section.ms("think_ms", 0.0..600_000.0, 0.05);
    let stream = TrafficStream {
        name: section.name.clone(),
        workload,
        groups: chosen,
        rate: section.required_number("rate", 0.001..1_000_000.0),
        sessions: section.count("sessions", 1.0..1e9, 1000),
        jumps,
        follow_up: then.map(|w| (w, think)),
        roaming_share: section.number("roams", 0.0..1.0, 0.0),
    };
    section.finish();
    stream
}

struct KnownNames<'a> {
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
    let known_names = KnownNames {
        plan,
        groups,
        workloads,
        nodes,
        faults: all.map(|section| section.name.clone()).collect(),
        seconds,
    };
    let mut cues = Vec::new();
    let mut push = |section: &Section, action: CueAction| {
        let trigger = trigger(section, &known_names);
        section.finish();
        cues.push(Cue {
            name: section.name.clone(),
            trigger,
            action,
            line: section.source().line(section.offset),
        });
    };
    for section in &faults {
        let (kind, target, duration_s) =
            (fault(section), target(section, &known_names), fault_duration_s(section));
        push(section, CueAction::Fault { kind, target, duration_s });
    }
    for section in &agents {
        let kind = section.required_text("kind");
        let kind = match kind.as_str() {
            "silent" => AgentFault::Silent,
            "move" => AgentFault::Move,
            "delay" => AgentFault::Delay(section.required_number("delay_ms", 0.0..60_000.0) / 1000.0),
            other => {
                let choices = Some("one of: silent, delay, move".to_string());
                section.problem("kind", format!("kind = \"{other}\""), choices);
                AgentFault::Silent
            }
        };
        let duration_s = fault_duration_s(section);
        push(section, CueAction::Agent { kind, duration_s });
    }
    for section in &restarts {
        let selector = process_selector(section, routers);
        let process_fault = ProcessFault::Restart {
            kill: section.choice("kind", &[("term", false), ("kill", true)], None),
            back: section.number("back", 0.0..3600.0, 1.0),
            state: section.choice("state", &STATE_NAMES, Some(StateAfterRestart::Kept)),
        };
        let spread = section.number("spread", 0.0..3600.0, 0.0);
        push(section, CueAction::Process { selector, process_fault, spread });
    }
    for section in &stops {
        let (selector, duration_s) =
            (process_selector(section, routers), section.required_number("for", 0.01..3600.0));
        let process_fault = match section.has("of_the_time") {
            true => ProcessFault::Slow {
                share: section.required_number("of_the_time", 0.01..0.99),
                lasts: duration_s,
            },
            false => ProcessFault::Stop { lasts: duration_s },
        };
        let spread = section.number("spread", 0.0..3600.0, 0.0);
        push(section, CueAction::Process { selector, process_fault, spread });
    }
    for section in &states {
        let selector = process_selector(section, routers);
        push(section, CueAction::Process { selector, process_fault: ProcessFault::Copy, spread: 0.0 });
    }
    let known_endpoints = KnownEndpoints { plan, groups, routers };
    for section in &links {
        let endpoints = |key: &str| known_endpoints.select(section, key, &section.required_text(key));
        let (from, to, one_way) = (endpoints("from"), endpoints("to"), section.boolean("one_way", false));
        let (link_fault, duration_s) = (parse_link_fault(section), fault_duration_s(section));
        if let (Some(from), Some(to)) = (from, to) {
            push(
                section,
                CueAction::Link { scope: FaultScope::Between { from, to, one_way }, link_fault, duration_s },
            );
        }
    }
    for section in &partitions {
        let sides = section.texts("sides").unwrap_or_default();
        if sides.len() < 2 {
            let hint = "sides = [\"router:0-3 zone:a\", \"router:4-7 zone:b\"]";
            section.problem("sides", "a partition needs two or more sides", Some(hint.to_string()));
        }
        let sides: Vec<EndpointSelector> =
            sides.iter().filter_map(|text| known_endpoints.select(section, "sides", text)).collect();
        let duration_s = fault_duration_s(section);
        push(
            section,
            CueAction::Link { scope: FaultScope::Sides(sides), link_fault: LinkFault::Cut, duration_s },
        );
    }
    cues
}

/// The names and numbers that selectors of link endpoints may refer to.
struct KnownEndpoints<'a> {
    plan: &'a Plan,
    groups: &'a [String],
    routers: usize,
}

impl KnownEndpoints<'_> {
    fn select(&self, section: &Section, key: &str, text: &str) -> Option<EndpointSelector> {
        let selector = match EndpointSelector::parse(text) {
            Ok(selector) => selector,
            Err(reason) => {
                section.problem(key, reason, None);
                return None;
            }
        };
        let zones: Vec<String> = self.plan.nodes.iter().map(|n| n.zone.clone()).collect();
        let all_known = selector.names().all(|(kind_name, name)| match kind_name {
            "group" => section.find(key, kind_name, name, self.groups).is_some(),
            "zone" => section.find(key, kind_name, name, &zones).is_some(),
            // A replacement host gets its name during the run, so host names can't be checked here.
            _ => true,
        });
        if selector.max_number().is_some_and(|n| n >= self.routers) {
            let hint = Some(format!("there are {}, counted from 0", self.routers));
            section.problem(key, format!("\"{text}\": no such router"), hint);
        }
        all_known.then_some(selector)
    }
}

/// Parses `router = N` or `share = 0.7`.
fn process_selector(section: &Section, routers: usize) -> ProcessSelector {
    if section.has("share") {
        if section.has("router") {
            section.problem("share", format!("{} has both router and share", section.title), None);
        }
        return ProcessSelector::Share(section.required_number("share", 0.0..1.0));
    }
    let number = section.required_number("router", 0.0..63.0) as usize;
    if number >= routers {
        let hint = Some(format!("there are {routers}, counted from 0"));
        section.problem("router", format!("no router {number}"), hint);
    }
    ProcessSelector::One(number)
}

fn parse_link_fault(section: &Section) -> LinkFault {
    let share = || section.required_number("share", 0.0..1.0);
    let kind = section.required_text("kind");
    match kind.as_str() {
        "cut" => LinkFault::Cut,
        "reset" => LinkFault::Reset,
        "loss" => LinkFault::Loss(share()),
        "reorder" => LinkFault::Reorder(share()),
        "duplicate" => LinkFault::Duplicate(share()),
        "spoil" => LinkFault::Corrupt(share()),
        "rate" => LinkFault::Rate(section.required_number("bytes_s", 1.0..1e12)),
        "delay" => LinkFault::Delay {
            delay: section.required_number("delay_ms", 0.0..60_000.0) / 1000.0,
            jitter: section.ms("jitter_ms", 0.0..60_000.0, 0.0),
        },
        other => {
            let choices = "cut, reset, loss, delay, rate, spoil, reorder, duplicate";
            section.problem("kind", format!("kind = \"{other}\""), Some(format!("one of: {choices}")));
            LinkFault::Cut
        }
    }
}

fn fault_duration_s(section: &Section) -> f64 {
    match section.has("for") {
        true => section.required_number("for", 0.001..MAX_SECONDS),
        false => f64::INFINITY,
    }
}

fn fault(section: &Section) -> FaultKind {
    let kind = section.required_text("kind");
    let share = || section.required_number("share", 0.0..1.0);
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
            FaultKind::SlowConnections(section.required_number("delay_ms", 0.0..60_000.0) / 1000.0)
        }
        "early_close" => FaultKind::EarlyClose(section.required_number("idle_ms", 1.0..600_000.0) / 1000.0),
        other => {
            let choices =
                "pause, hang, slow, slow_replay, crash, lost, drain, replace, fast_errors, spoilt, \
                       neighbour, refuse_connections, slow_connections, early_close";
            section.problem("kind", format!("kind = \"{other}\""), Some(format!("one of: {choices}")));
            FaultKind::Pause
        }
    }
}

/// Parses `host:NAME`, `node:NAME`, `primary:GROUP`, `replica:GROUP:N` or `group:GROUP`.
fn target(section: &Section, known_names: &KnownNames) -> Target {
    let text = section.required_text("on");
    let mut parts = text.split(':');
    let (kind, name) = (parts.next().unwrap_or(""), parts.next().unwrap_or("").to_string());
    let number = parts.next();
    let group = |name: &str| section.find("on", "group", name, known_names.groups).is_some();
    let parsed = match (kind, number) {
        ("host", None) => {
            // A replacement host gets its name during the run and can't be named here.
            let plan = known_names.plan;
            let all = plan.groups.iter().enumerate().flat_map(|(g, group)| {
                group.nodes.iter().map(move |n| plan.host_name(g, *n)).collect::<Vec<_>>()
            });
            let all: Vec<String> = all.collect();
            section.find("on", "host", &name, &all);
            return Target::Host(name);
        }
        ("node", None) => {
            section.find("on", "node", &name, known_names.nodes).map(|_| Target::Node(name.clone()))
        }
        ("primary", None) => group(&name).then(|| Target::Primary(name.clone())),
        ("group", None) => group(&name).then(|| Target::Group(name.clone())),
        ("replica", Some(n)) if n.parse::<usize>().is_ok() => {
            group(&name).then(|| Target::Replica(name.clone(), n.parse().unwrap_or(0)))
        }
        _ => {
            let forms = "host:NAME, node:NAME, primary:GROUP, replica:GROUP:N or group:GROUP";
            section.problem("on", format!("on = \"{text}\""), Some(forms.to_string()));
            None
        }
    };
    parsed.unwrap_or(Target::Host(name))
}

/// Parses `at` in seconds, or `when` with an optional `plus_ms`.
fn trigger(section: &Section, known_names: &KnownNames) -> Trigger {
    let (at, when) = (section.optional_number("at", 0.0..MAX_SECONDS), section.text("when"));
    let delay_s = section.ms("plus_ms", 0.0..600_000.0, 0.0);
    if at.is_some_and(|at| at > known_names.seconds) {
        section.problem("at", "at is past the end", Some(format!("seconds = {}", known_names.seconds)));
    }
    match (at, when) {
        (Some(at), None) if !section.has("plus_ms") => Trigger::At(at),
        (None, Some(text)) => Trigger::After(trigger_event(section, &text, known_names), delay_s),
        (Some(_), None) => {
            section.problem("plus_ms", "plus_ms needs when", None);
            Trigger::At(0.0)
        }
        (Some(_), Some(_)) => {
            section.problem("when", format!("{} has both at and when", section.title), None);
            Trigger::At(0.0)
        }
        (None, None) => {
            if !section.has("at") {
                let hint = Some("at = SECONDS, or when = \"EVENT\"".to_string());
                section.source().problem(section.offset, format!("{} lacks at or when", section.title), hint);
            }
            Trigger::At(0.0)
        }
    }
}

fn trigger_event(section: &Section, text: &str, known_names: &KnownNames) -> TriggerEvent {
    let parts: Vec<&str> = text.split(':').collect();
    let name = parts.get(1).map_or(String::new(), |w| w.to_string());
    let nth = parts.get(2).and_then(|n| n.parse::<u64>().ok()).filter(|n| *n > 0);
    let find_known =
        |kind_name: &str, candidates: &[String]| section.find("when", kind_name, &name, candidates);
    let check_not_itself = || {
        if name == section.name {
            section.problem("when", format!("{} waits for itself", section.title), None);
        }
    };
    match (parts.first().copied().unwrap_or(""), parts.len(), nth) {
        (choice @ ("begins" | "ends" | "announced"), 2, _) => {
            find_known("fault, agent or restart", &known_names.faults);
            check_not_itself();
            match choice {
                "begins" => TriggerEvent::CueBegins(name),
                "ends" => TriggerEvent::CueEnds(name),
                _ => TriggerEvent::CueAnnounced(name),
            }
        }
        (choice @ ("arriving" | "begun" | "ran" | "half_said"), 3, Some(nth)) => {
            let workload = find_known("workload", known_names.workloads).unwrap_or(0);
            match choice {
                "arriving" => TriggerEvent::PartlyReceived(workload, nth),
                "begun" => TriggerEvent::Received(workload, nth),
                "ran" => TriggerEvent::Executed(workload, nth),
                _ => TriggerEvent::PartlyAnswered(workload, nth),
            }
        }
        ("primary", 3, Some(nth)) => {
            find_known("group", known_names.groups);
            TriggerEvent::PrimaryElected(name, nth)
        }
        _ => {
            let forms = "begins:NAME, ends:NAME, announced:NAME, arriving:WORKLOAD:N, begun:WORKLOAD:N, \
                         ran:WORKLOAD:N, half_said:WORKLOAD:N or primary:GROUP:N";
            section.problem("when", format!("when = \"{text}\""), Some(forms.to_string()));
            TriggerEvent::CueBegins(name)
        }
    }
}

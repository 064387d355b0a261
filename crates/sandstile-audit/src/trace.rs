//! The trace of a rehearsal, parsed and sorted by kind of record. Times are Unix seconds.
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// The settings of the run.
#[derive(Clone, Debug)]
pub struct RunSettings {
    pub title: String,
    pub seed: u64,
    /// When the measured part of the run began and ended.
    pub begin: f64,
    pub end: f64,
    /// Seconds at the start that the totals of service leave out.
    pub settle: f64,
    /// Seconds for which a draining host may still be sent new statements.
    pub grace: f64,
    /// Seconds by which an answer or a drain may be late because of the machine.
    pub slack: f64,
    pub routers: usize,
    pub workloads: BTreeMap<String, Workload>,
}

#[derive(Clone, Debug)]
pub struct Workload {
    pub effect: Effect,
    /// `write`, `fresh`, `session`, `bounded` or `any`.
    pub consistency: String,
    /// Seconds within which an answer counts as served in time.
    pub slo: f64,
    /// Seconds that clients wait for an answer.
    pub timeout: f64,
    /// Weight of one request of this workload in the overall service.
    pub importance: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Deduplicated,
    NonIdempotent,
}

/// One attempt of a client's request.
#[derive(Clone, Debug)]
pub struct RequestAttempt {
    /// When it was sent.
    pub t: f64,
    /// When the load schedule called for the request.
    pub due: f64,
    /// The id of the first attempt of the same request.
    pub first: String,
    pub workload: String,
    pub group: String,
    pub session: String,
    pub router: usize,
    /// Seconds that the client waits for an answer.
    pub wait: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// Taken from the value itself: the statement it was made for, the host that made it and that host's log position.
    Completed {
        made_for: Option<String>,
        by: Option<String>,
        position: Option<f64>,
    },
    Rejected,
    Failed {
        code: String,
    },
}

/// A host read a complete statement from its connection.
#[derive(Clone, Debug)]
pub struct ReceivedStatement {
    pub t: f64,
    pub host: String,
}

/// An execution of a statement at a host.
#[derive(Clone, Debug)]
pub struct Execution {
    pub t: f64,
    pub host: String,
    /// The position of its commit in the group's log; `None` for reads.
    pub commit: Option<f64>,
    /// The log position that the host had applied when it executed the statement.
    pub applied_position: f64,
    /// The lowest log position that the statement was allowed to read.
    pub required_position: f64,
}

/// Everything the trace records about one statement.
#[derive(Clone, Debug, Default)]
pub struct Statement {
    pub request: Option<RequestAttempt>,
    pub answers: Vec<(f64, FinalAnswer)>,
    /// When and how the attempt ended without an answer.
    pub unanswered: Option<(f64, String)>,
    pub received: Vec<ReceivedStatement>,
    pub executions: Vec<Execution>,
    /// Responses of hosts: time, host and SQLSTATE or kind of the response.
    pub responses: Vec<(f64, String, String)>,
    /// The lines of the trace that name the statement, with their times.
    pub lines: Vec<(f64, String)>,
}

/// What a router did, or what was done to it.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterState {
    Started,
    /// It answers statements.
    Ready,
    /// It was suspended by a signal: for the whole time (`Stopped`) or for most of it (`Slow`), until `Continued`.
    Stopped,
    Slow,
    Continued,
    Term,
    Killed,
    /// It ended, with its exit code unless a signal ended it.
    Ended(Option<i64>),
}

/// The resources of a router process at one time.
#[derive(Clone, Copy, Debug)]
pub struct ProcessSample {
    pub t: f64,
    pub router: usize,
    pub rss_kb: f64,
    pub descriptors: f64,
    /// Milliseconds of CPU time since the process started.
    pub cpu_ms: f64,
}

/// A fault of network links: which kinds of endpoints it affects, and when it was active.
#[derive(Clone, Debug)]
pub struct LinkFault {
    pub name: String,
    pub clients: bool,
    pub hosts: bool,
    pub agents: bool,
    /// Pairs of routers (from, to) between which no traffic passes.
    pub severed_pairs: Vec<(usize, usize)>,
    pub begin: f64,
    pub end: f64,
}

/// The members that a router considered present from this time on.
#[derive(Clone, Debug)]
pub struct MembershipSample {
    pub t: f64,
    pub router: usize,
    /// The router's own view: agreed, settling, cut off from some, alone.
    pub view: String,
    /// The other routers that it considers present.
    pub present: BTreeSet<usize>,
    /// How many routers it assumes to share the hosts.
    pub sharing_routers: Option<f64>,
}

/// A router's copy of the replicated state at one time.
#[derive(Clone, Debug)]
pub struct StateSample {
    pub t: f64,
    pub router: usize,
    /// `in step`, or what the copy still lacks, as the router reports it.
    pub standing: String,
    /// Entries in the copy.
    pub facts: f64,
    /// The digest of all entries older than `as_of`.
    pub digest: String,
    pub as_of: f64,
    /// Bytes that the process has sent to other routers since it started.
    pub bytes_out: f64,
    pub contradictions: f64,
    /// The process found an outdated copy on its disk.
    pub old_copy: bool,
}

/// Seconds after the end of a link fault in which delayed traffic still arrives: retransmissions and what queued behind them.
const LINK_RECOVERY_S: f64 = 1.0;

#[derive(Clone, Debug, Default)]
pub struct Trace {
    pub settings: Option<RunSettings>,
    /// The last line is the regular end of the run.
    pub complete: bool,
    pub statements: BTreeMap<String, Statement>,
    /// When a router was first notified that a host leaves.
    pub leaving: BTreeMap<(usize, String), f64>,
    pub routers: Vec<(f64, usize, RouterState)>,
    /// Faults of hosts: kind, host, begin, end.
    pub faults: Vec<(String, String, f64, f64)>,
    /// Cold hosts that collapsed: when, host, the offered multiple of its capacity, the multiple it tolerates.
    pub overloaded_hosts: Vec<(f64, String, f64, f64)>,
    /// For each cold host, the highest offered multiple of its capacity and the multiple it tolerates.
    pub cold_host_load: BTreeMap<String, (f64, f64)>,
    /// Commits that no host has any more: time, group, statement, log position.
    pub lost_commits: Vec<(f64, String, String, f64)>,
    /// New primaries: time, group, host.
    pub primaries: Vec<(f64, String, String)>,
    /// Cues that were executed: time and name.
    pub cues: Vec<(f64, String)>,
    pub link_faults: Vec<LinkFault>,
    pub membership_samples: Vec<MembershipSample>,
    pub state_samples: Vec<StateSample>,
    /// Connection attempts, handshakes and probes at hosts: time, host, kind.
    pub host_contacts: Vec<(f64, String, &'static str)>,
    /// When routers asked discovery for lists.
    pub list_requests: Vec<(f64, usize)>,
    /// When a router was last notified that a host is primary.
    pub notified_primary: BTreeMap<(usize, String), f64>,
    /// When hosts left their list for good.
    pub left: BTreeMap<String, f64>,
    pub process_samples: Vec<ProcessSample>,
    /// Why the figures of this run can't be relied on, if they can't.
    pub unsound: Option<String>,
    pub lines: usize,
}

impl Trace {
    /// Parses all lines. An error names the line that is malformed.
    pub fn read(text: &str) -> Result<Trace, String> {
        let mut trace = Trace::default();
        for (n, line) in text.lines().enumerate() {
            if line.trim().is_empty() {
                continue;
            }
            let json: Value = serde_json::from_str(line).map_err(|e| format!("line {}: {e}", n + 1))?;
            trace.add(&json, line).map_err(|problem| format!("line {}: {problem}", n + 1))?;
            trace.lines += 1;
        }
        for statement in trace.statements.values_mut() {
            statement.lines.sort_by(|a, b| a.0.total_cmp(&b.0));
            statement.answers.sort_by(|a, b| a.0.total_cmp(&b.0));
            statement.received.sort_by(|a, b| a.t.total_cmp(&b.t));
            statement.executions.sort_by(|a, b| a.t.total_cmp(&b.t));
        }
        trace.primaries.sort_by(|a, b| a.0.total_cmp(&b.0));
        trace.routers.sort_by(|a, b| a.0.total_cmp(&b.0));
        Ok(trace)
    }

    fn add(&mut self, json: &Value, line: &str) -> Result<(), String> {
        let t = json["t"].as_f64().ok_or("missing number: t")?;
        let kind = json["what"].as_str().ok_or("missing string: what")?;
        let text = |key: &str| {
            json[key].as_str().map(str::to_string).ok_or_else(|| format!("{kind}: missing string {key}"))
        };
        let number = |key: &str| json[key].as_f64().ok_or_else(|| format!("{kind}: missing number {key}"));
        if let Some(id) = json["id"].as_str() {
            let statement = self.statements.entry(id.to_string()).or_default();
            statement.lines.push((t, line.to_string()));
        }
        match kind {
            "run" => self.settings = Some(run_settings(json, t)?),
            "end" => {
                self.complete = true;
                if let Some(settings) = &mut self.settings {
                    settings.end = t;
                }
                self.unsound = json["unsound"].as_str().map(str::to_string);
            }
            "asked" => {
                let attempt = RequestAttempt {
                    t,
                    due: json["intended"].as_f64().unwrap_or(t),
                    first: text("first")?,
                    workload: text("workload")?,
                    group: text("group")?,
                    session: text("session")?,
                    router: number("router")? as usize,
                    wait: number("wait")?,
                };
                let statement = self.statement(&text("id")?);
                if statement.request.is_none() {
                    statement.request = Some(attempt);
                }
            }
            "answered" => {
                let optional_text = |key: &str| json[key].as_str().map(str::to_string);
                let answer = match json["how"].as_str() {
                    Some("completed") => FinalAnswer::Completed {
                        made_for: optional_text("made_for"),
                        by: optional_text("by"),
                        position: json["position"].as_f64(),
                    },
                    Some("rejected") => FinalAnswer::Rejected,
                    _ => FinalAnswer::Failed { code: optional_text("code").unwrap_or_default() },
                };
                self.statement(&text("id")?).answers.push((t, answer));
            }
            "unanswered" => self.statement(&text("id")?).unanswered = Some((t, text("how")?)),
            "taken" => {
                let host = text("host")?;
                self.statement(&text("id")?).received.push(ReceivedStatement { t, host });
            }
            "ran" => {
                let (host, commit) = (text("host")?, json["commit"].as_f64());
                let (applied_position, required_position) = (number("reached")?, number("need")?);
                self.statement(&text("id")?).executions.push(Execution {
                    t,
                    host,
                    commit,
                    applied_position,
                    required_position,
                });
            }
            "said" => {
                let (host, response) = (text("host")?, text("how")?);
                self.statement(&text("id")?).responses.push((t, host, response));
            }
            "told" => {
                if matches!(json["readiness"].as_str(), Some("leaving" | "left")) {
                    let key = (number("router")? as usize, text("host")?);
                    let first = self.leaving.entry(key).or_insert(t);
                    *first = first.min(t);
                }
                if json["primary"] == true {
                    self.notified_primary.insert((number("router")? as usize, text("host")?), t);
                }
            }
            "cue" => self.cues.push((t, text("name")?)),
            "link_begins" => {
                let affects = |endpoint: &str| {
                    json["on"].as_array().is_some_and(|on| on.iter().any(|name| name == endpoint))
                };
                self.link_faults.push(LinkFault {
                    name: text("name")?,
                    clients: affects("clients"),
                    hosts: affects("hosts"),
                    agents: affects("agents"),
                    severed_pairs: pairs(&json["severs"]),
                    begin: t,
                    end: f64::INFINITY,
                });
            }
            "link_ends" => {
                let name = text("name")?;
                if let Some(link) =
                    self.link_faults.iter_mut().find(|l| l.name == name && l.end.is_infinite())
                {
                    link.end = t;
                }
            }
            "dialled" => self.host_contacts.push((t, text("host")?, "dials")),
            "greeted" => self.host_contacts.push((t, text("host")?, "handshakes")),
            "probed" => self.host_contacts.push((t, text("host")?, "probes")),
            "list_asked" => self.list_requests.push((t, number("router")? as usize)),
            "listed" if json["readiness"] == "left" => {
                self.left.insert(text("host")?, t);
            }
            "sight" => self.membership_samples.push(MembershipSample {
                t,
                router: number("number")? as usize,
                view: text("view")?,
                present: numbers(&json["there"]).collect(),
                sharing_routers: json["sharers"].as_f64(),
            }),
            "kept" => self.state_samples.push(StateSample {
                t,
                router: number("number")? as usize,
                standing: text("standing")?,
                facts: number("facts")?,
                digest: text("digest")?,
                as_of: number("as_of")?,
                bytes_out: number("bytes_out")?,
                contradictions: number("contradictions")?,
                old_copy: json["old_copy"].as_bool().unwrap_or(false),
            }),
            "held" => self.process_samples.push(ProcessSample {
                t,
                router: number("number")? as usize,
                rss_kb: number("rss_kb")?,
                descriptors: number("descriptors")?,
                cpu_ms: number("cpu_ms").unwrap_or(0.0),
            }),
            "router" => {
                let state = match json["state"].as_str() {
                    Some("started") => RouterState::Started,
                    Some("ready") => RouterState::Ready,
                    Some("stopped") => RouterState::Stopped,
                    Some("slow") => RouterState::Slow,
                    Some("continued") => RouterState::Continued,
                    Some("term") => RouterState::Term,
                    Some("killed") => RouterState::Killed,
                    Some("ended") => RouterState::Ended(json["code"].as_i64()),
                    other => return Err(format!("unknown router state {other:?}")),
                };
                self.routers.push((t, number("number")? as usize, state));
            }
            "fault_begins" => self.faults.push((text("fault")?, text("host")?, t, f64::INFINITY)),
            "fault_ends" => {
                let (fault, host) = (text("fault")?, text("host")?);
                let open =
                    |f: &&mut (String, String, f64, f64)| f.0 == fault && f.1 == host && f.3 == f64::INFINITY;
                if let Some(open) = self.faults.iter_mut().find(open) {
                    open.3 = t;
                }
            }
            "tipped" => self.overloaded_hosts.push((t, text("host")?, number("multiple")?, number("most")?)),
            "pushed" => {
                self.cold_host_load.insert(text("host")?, (number("multiple")?, number("most")?));
            }
            "lost_commit" => self.lost_commits.push((t, text("group")?, text("id")?, number("commit")?)),
            "primary" => self.primaries.push((t, text("group")?, text("host")?)),
            _ => {}
        }
        Ok(())
    }

    fn statement(&mut self, id: &str) -> &mut Statement {
        self.statements.entry(id.to_string()).or_default()
    }

    fn has_link_fault(&self, affects: impl Fn(&LinkFault) -> bool, from: f64, to: f64) -> bool {
        self.link_faults.iter().any(|l| affects(l) && l.begin <= to && from <= l.end + LINK_RECOVERY_S)
    }

    /// Whether links between clients and routers were faulty in this period.
    pub fn client_links_faulty(&self, from: f64, to: f64) -> bool {
        self.has_link_fault(|l| l.clients, from, to)
    }

    /// Whether in this period notifications could reach a router late, or its statements reach a host late.
    pub fn notifications_may_be_late(&self, router: usize, from: f64, to: f64) -> bool {
        self.has_link_fault(|l| l.hosts || l.agents, from, to) || self.was_stopped(router, from, to)
    }

    /// Whether a router was suspended at some time in this period.
    pub fn was_stopped(&self, router: usize, from: f64, to: f64) -> bool {
        let mut stopped = None;
        for (t, _, state) in self.routers.iter().filter(|(_, n, _)| *n == router) {
            match state {
                RouterState::Stopped | RouterState::Slow => stopped = Some(*t),
                RouterState::Continued
                    if stopped.take().is_some_and(|since| since <= to && from <= *t + LINK_RECOVERY_S) =>
                {
                    return true;
                }
                _ => {}
            }
        }
        stopped.is_some_and(|since| since <= to)
    }

    /// Whether what this host reads at `t` may have been sent much earlier: the host was paused, or a link delayed it.
    pub fn may_be_delayed(&self, host: &str, t: f64) -> bool {
        let was_paused = |(kind, paused, begin, end): &(String, String, f64, f64)| {
            kind == "pause" && paused == host && *begin <= t && t <= end + LINK_RECOVERY_S
        };
        self.faults.iter().any(was_paused) || self.has_link_fault(|l| l.hosts, t, t)
    }

    /// Whether a router was killed in this period.
    pub fn was_killed(&self, router: usize, from: f64, to: f64) -> bool {
        self.routers
            .iter()
            .any(|(t, n, s)| *n == router && *s == RouterState::Killed && *t >= from && *t <= to)
    }
}

fn run_settings(json: &Value, t: f64) -> Result<RunSettings, String> {
    let number = |key: &str| json[key].as_f64().ok_or_else(|| format!("run: missing number {key}"));
    let mut workloads = BTreeMap::new();
    for w in json["workloads"].as_array().ok_or("run: missing array workloads")? {
        let name = w["name"].as_str().ok_or("run: a workload has no name")?;
        let effect = match w["effect"].as_str() {
            Some("idempotent") => Effect::Idempotent,
            Some("deduplicated") => Effect::Deduplicated,
            // A workload that isn't declared safe to repeat must not be repeated.
            _ => Effect::NonIdempotent,
        };
        let seconds =
            |key: &str| w[key].as_f64().ok_or_else(|| format!("workload {name}: missing number {key}"));
        let workload = Workload {
            effect,
            consistency: w["consistency"].as_str().unwrap_or("fresh").to_string(),
            slo: seconds("slo")?,
            timeout: seconds("timeout")?,
            importance: seconds("importance")?,
        };
        workloads.insert(name.to_string(), workload);
    }
    Ok(RunSettings {
        title: json["title"].as_str().unwrap_or("").to_string(),
        seed: json["seed"].as_u64().unwrap_or(0),
        begin: t,
        end: t,
        settle: number("settle")?,
        grace: number("grace")?,
        slack: number("slack")?,
        routers: number("routers")? as usize,
        workloads,
    })
}

fn numbers(json: &Value) -> impl Iterator<Item = usize> + '_ {
    json.as_array().into_iter().flatten().filter_map(|n| Some(n.as_u64()? as usize))
}

fn pairs(json: &Value) -> Vec<(usize, usize)> {
    let all = json.as_array().into_iter().flatten();
    all.filter_map(|pair| numbers(pair).next().zip(numbers(pair).nth(1))).collect()
}

//! The trace, read whole and sorted by what each line is about. Times are Unix seconds.
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// What the run held its parts to.
#[derive(Clone, Debug)]
pub struct RunSettings {
    pub title: String,
    pub seed: u64,
    pub begin: f64,
    pub end: f64,
    /// Seconds at the start that service leaves out.
    pub settle: f64,
    pub grace: f64,
    pub slack: f64,
    pub routers: usize,
    pub workloads: BTreeMap<String, Workload>,
}

#[derive(Clone, Debug)]
pub struct Workload {
    pub effect: Effect,
    /// `write`, `fresh`, `session`, `bounded` or `any`.
    pub consistency: String,
    pub slo: f64,
    pub timeout: f64,
    pub importance: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Deduplicated,
    NonIdempotent,
}

/// One try of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub t: f64,
    /// When it was meant to be asked.
    pub due: f64,
    /// The id of the first try of the same wish.
    pub first: String,
    pub workload: String,
    pub group: String,
    pub session: String,
    pub router: usize,
    pub wait: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// The value's own words: for which statement, by which host, at which position.
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

/// A host read a statement whole.
#[derive(Clone, Debug)]
pub struct ReceivedStatement {
    pub t: f64,
    pub host: String,
}

#[derive(Clone, Debug)]
pub struct Execution {
    pub t: f64,
    pub host: String,
    pub commit: Option<f64>,
    pub reached: f64,
    pub need: f64,
}

/// All that is on record of one statement.
#[derive(Clone, Debug, Default)]
pub struct Statement {
    pub request: Option<ClientRequest>,
    pub answers: Vec<(f64, FinalAnswer)>,
    /// When and how a try ended without an answer.
    pub unanswered: Option<(f64, String)>,
    pub received: Vec<ReceivedStatement>,
    pub executions: Vec<Execution>,
    /// Hosts' own words: host and code.
    pub responses: Vec<(f64, String, String)>,
    pub lines: Vec<(f64, String)>,
}

/// What a router did, or what was done to it.
#[derive(Clone, Debug, PartialEq)]
pub enum RouterState {
    Started,
    /// It answers.
    Ready,
    /// It stands still, or does so most of the time, and goes on.
    Stopped,
    Slow,
    Continued,
    Term,
    Killed,
    /// With its exit code, if it had one.
    Ended(Option<i64>),
}

/// What a router process holds at one time.
#[derive(Clone, Copy, Debug)]
pub struct ProcessSample {
    pub t: f64,
    pub router: usize,
    pub rss_kb: f64,
    pub descriptors: f64,
    /// Milliseconds of processor time so far.
    pub cpu_ms: f64,
}

/// A cue of links: which kinds of ends it touches, and when it stood.
#[derive(Clone, Debug)]
pub struct LinkFault {
    pub name: String,
    pub clients: bool,
    pub hosts: bool,
    pub agents: bool,
    /// From which router to which nothing gets through.
    pub severs: Vec<(usize, usize)>,
    pub begin: f64,
    pub end: f64,
}

/// Whom a router held for there, from this time on.
#[derive(Clone, Debug)]
pub struct MembershipSample {
    pub t: f64,
    pub router: usize,
    /// In its own words: agreed, settling, cut off from some, alone.
    pub view: String,
    pub there: BTreeSet<usize>,
    pub router_counts: Option<f64>,
}

/// How the state stood that a router keeps with others.
#[derive(Clone, Debug)]
pub struct StateSample {
    pub t: f64,
    pub router: usize,
    pub standing: String,
    pub facts: f64,
    /// The sum of what is older than `as_of`.
    pub digest: String,
    pub as_of: f64,
    pub bytes_out: f64,
    pub contradictions: f64,
    pub old_copy: bool,
}

/// Seconds after a heal in which what a link held back still arrives: a retransmission, and what queues behind it.
const SETTLES: f64 = 1.0;

#[derive(Clone, Debug, Default)]
pub struct Trace {
    pub settings: Option<RunSettings>,
    /// It ended as it should, not in the middle.
    pub complete: bool,
    pub statements: BTreeMap<String, Statement>,
    /// When a router was first told that a host leaves.
    pub leaving: BTreeMap<(usize, String), f64>,
    pub routers: Vec<(f64, usize, RouterState)>,
    /// Faults that stood: kind, host, begin, end.
    pub faults: Vec<(String, String, f64, f64)>,
    pub overloaded_hosts: Vec<(f64, String, f64, f64)>,
    /// The greatest multiple that a cold host was offered, and what it bears.
    pub cold_host_load: BTreeMap<String, (f64, f64)>,
    /// Commits that no host has any more: when, group, statement, position.
    pub lost_commits: Vec<(f64, String, String, f64)>,
    pub primaries: Vec<(f64, String, String)>,
    /// Cues that were carried out.
    pub cues: Vec<(f64, String)>,
    pub link_faults: Vec<LinkFault>,
    pub membership_samples: Vec<MembershipSample>,
    pub state_samples: Vec<StateSample>,
    /// Dials, handshakes and probes at hosts.
    pub host_contacts: Vec<(f64, String, &'static str)>,
    /// When routers asked for lists.
    pub lists: Vec<(f64, usize)>,
    /// When a router was told, last, that a host is primary.
    pub notified_primary: BTreeMap<(usize, String), f64>,
    /// When hosts left for good.
    pub left: BTreeMap<String, f64>,
    pub process_samples: Vec<ProcessSample>,
    /// Why the run itself says little, where it does.
    pub unsound: Option<String>,
    pub lines: usize,
}

impl Trace {
    /// Reads all lines. The message names the line that can't be read.
    pub fn read(text: &str) -> Result<Trace, String> {
        let mut trace = Trace::default();
        for (n, line) in text.lines().enumerate() {
            if line.trim().is_empty() {
                continue;
            }
            let json: Value = serde_json::from_str(line).map_err(|e| format!("line {}: {e}", n + 1))?;
            trace.take(&json, line).map_err(|what| format!("line {}: {what}", n + 1))?;
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

    fn take(&mut self, json: &Value, line: &str) -> Result<(), String> {
        let t = json["t"].as_f64().ok_or("no time")?;
        let what = json["what"].as_str().ok_or("no what")?;
        let text =
            |key: &str| json[key].as_str().map(str::to_string).ok_or_else(|| format!("{what} lacks {key}"));
        let number = |key: &str| json[key].as_f64().ok_or_else(|| format!("{what} lacks {key}"));
        if let Some(id) = json["id"].as_str() {
            let of = self.statements.entry(id.to_string()).or_default();
            of.lines.push((t, line.to_string()));
        }
        match what {
            "run" => self.settings = Some(terms(json, t)?),
            "end" => {
                self.complete = true;
                if let Some(terms) = &mut self.settings {
                    terms.end = t;
                }
                self.unsound = json["unsound"].as_str().map(str::to_string);
            }
            "asked" => {
                let asked = ClientRequest {
                    t,
                    due: json["intended"].as_f64().unwrap_or(t),
                    first: text("first")?,
                    workload: text("workload")?,
                    group: text("group")?,
                    session: text("session")?,
                    router: number("router")? as usize,
                    wait: number("wait")?,
                };
                let of = self.of(&text("id")?);
                if of.request.is_none() {
                    of.request = Some(asked);
                }
            }
            "answered" => {
                let word = |key: &str| json[key].as_str().map(str::to_string);
                let how = match json["how"].as_str() {
                    Some("completed") => FinalAnswer::Completed {
                        made_for: word("made_for"),
                        by: word("by"),
                        position: json["position"].as_f64(),
                    },
                    Some("rejected") => FinalAnswer::Rejected,
                    _ => FinalAnswer::Failed { code: word("code").unwrap_or_default() },
                };
                self.of(&text("id")?).answers.push((t, how));
            }
            "unanswered" => self.of(&text("id")?).unanswered = Some((t, text("how")?)),
            "taken" => {
                let host = text("host")?;
                self.of(&text("id")?).received.push(ReceivedStatement { t, host });
            }
            "ran" => {
                let (host, commit) = (text("host")?, json["commit"].as_f64());
                let (reached, need) = (number("reached")?, number("need")?);
                self.of(&text("id")?).executions.push(Execution { t, host, commit, reached, need });
            }
            "said" => {
                let (host, how) = (text("host")?, text("how")?);
                self.of(&text("id")?).responses.push((t, host, how));
            }
            "told" => {
                if matches!(json["readiness"].as_str(), Some("leaving" | "left")) {
                    let key = (number("router")? as usize, text("host")?);
                    let at = self.leaving.entry(key).or_insert(t);
                    *at = at.min(t);
                }
                if json["primary"] == true {
                    self.notified_primary.insert((number("router")? as usize, text("host")?), t);
                }
            }
            "cue" => self.cues.push((t, text("name")?)),
            "link_begins" => {
                let touches =
                    |what: &str| json["on"].as_array().is_some_and(|on| on.iter().any(|w| w == what));
                self.link_faults.push(LinkFault {
                    name: text("name")?,
                    clients: touches("clients"),
                    hosts: touches("hosts"),
                    agents: touches("agents"),
                    severs: pairs(&json["severs"]),
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
            "list_asked" => self.lists.push((t, number("router")? as usize)),
            "listed" if json["readiness"] == "left" => {
                self.left.insert(text("host")?, t);
            }
            "sight" => self.membership_samples.push(MembershipSample {
                t,
                router: number("number")? as usize,
                view: text("view")?,
                there: numbers(&json["there"]).collect(),
                router_counts: json["sharers"].as_f64(),
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
                    other => return Err(format!("router state {other:?}")),
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

    fn of(&mut self, id: &str) -> &mut Statement {
        self.statements.entry(id.to_string()).or_default()
    }

    fn link(&self, which: impl Fn(&LinkFault) -> bool, from: f64, to: f64) -> bool {
        self.link_faults.iter().any(|l| which(l) && l.begin <= to && from <= l.end + SETTLES)
    }

    /// Whether a link between clients and routers was in trouble between these times.
    pub fn clients_cut_off(&self, from: f64, to: f64) -> bool {
        self.link(|l| l.clients, from, to)
    }

    /// Whether news could be late for a router, or what it sent for a host, between these times.
    pub fn routers_cut_off(&self, router: usize, from: f64, to: f64) -> bool {
        self.link(|l| l.hosts || l.agents, from, to) || self.was_stopped(router, from, to)
    }

    /// Whether a router stood still at some time between these.
    pub fn was_stopped(&self, router: usize, from: f64, to: f64) -> bool {
        let mut stopped = None;
        for (t, _, state) in self.routers.iter().filter(|(_, n, _)| *n == router) {
            match state {
                RouterState::Stopped | RouterState::Slow => stopped = Some(*t),
                RouterState::Continued
                    if stopped.take().is_some_and(|since| since <= to && from <= *t + SETTLES) =>
                {
                    return true;
                }
                _ => {}
            }
        }
        stopped.is_some_and(|since| since <= to)
    }

    /// Whether what this host read now may have been sent long before: it stood still, or a link held it back.
    pub fn may_be_delayed(&self, host: &str, t: f64) -> bool {
        let still = |(kind, on, begin, end): &(String, String, f64, f64)| {
            kind == "pause" && on == host && *begin <= t && t <= end + SETTLES
        };
        self.faults.iter().any(still) || self.link(|l| l.hosts, t, t)
    }

    /// Whether a router was killed, or had ended, between these times.
    pub fn was_killed(&self, router: usize, from: f64, to: f64) -> bool {
        self.routers
            .iter()
            .any(|(t, n, s)| *n == router && *s == RouterState::Killed && *t >= from && *t <= to)
    }
}

fn terms(json: &Value, t: f64) -> Result<RunSettings, String> {
    let number = |key: &str| json[key].as_f64().ok_or_else(|| format!("run lacks {key}"));
    let mut workloads = BTreeMap::new();
    for w in json["workloads"].as_array().ok_or("run lacks workloads")? {
        let name = w["name"].as_str().ok_or("a workload without a name")?;
        let effect = match w["effect"].as_str() {
            Some("idempotent") => Effect::Idempotent,
            Some("deduplicated") => Effect::Deduplicated,
            // What nobody has vouched for is not to be repeated.
            _ => Effect::NonIdempotent,
        };
        let of = |key: &str| w[key].as_f64().ok_or_else(|| format!("workload {name} lacks {key}"));
        let workload = Workload {
            effect,
            consistency: w["consistency"].as_str().unwrap_or("fresh").to_string(),
            slo: of("slo")?,
            timeout: of("timeout")?,
            importance: of("importance")?,
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

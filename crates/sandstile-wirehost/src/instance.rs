//! One hosted instance: its ids and their indices, its timer, and the calls into the decisions.
use crate::wire::{Fields, Line};
use sandstile_policy::policy::Instance;
use sandstile_policy::terms::*;
use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};

/// The wire's clock may begin at any value; the decisions' clock starts far above zero.
pub const EPOCH: f64 = 1e6;

/// Indices for ids, in the order in which they were first seen.
#[derive(Default)]
struct Names {
    index: HashMap<String, usize>,
    names: Vec<String>,
}

impl Names {
    fn of(&mut self, name: &str) -> usize {
        if let Some(&i) = self.index.get(name) {
            return i;
        }
        self.names.push(name.to_string());
        self.index.insert(name.to_string(), self.names.len() - 1);
        self.names.len() - 1
    }
}

pub struct Hosted {
    policy: Instance,
    workloads: HashMap<String, usize>,
    base: f64,
    hosts: Names,
    zones: Names,
    groups: Names,
    sessions: Names,
    list: BTreeMap<String, Member>,
    calls: HashMap<String, u64>,
    open: HashMap<u64, String>,
    next: u64,
    /// Statements that may be over once the decisions of this batch are out.
    ending: Vec<u64>,
    timer: f64,
    timers: u64,
    tick: f64,
}

impl Hosted {
    pub fn start(now: f64, seed: u64, fields: &mut Fields) -> Result<Self, String> {
        let facts = fields.pairs();
        let wrong = |path: &str| fields.wrong(&format!("a usable value for {path}"));
        let number = |path: &str, default: f64| match facts.get(path) {
            None | Some(&"" | &"-") => Ok(default),
            Some(v) => v.parse::<f64>().ok().filter(|n| n.is_finite()).ok_or_else(|| wrong(path)),
        };
        let seconds = |path: &str, ms: f64| number(path, ms).map(|ms| ms / 1000.0);
        let word = |path: &str| facts.get(path).copied().unwrap_or("");
        let yes = |path: &str, default: bool| match word(path) {
            "" => default,
            v => v == "true" || v == "1",
        };
        let consistency: Vec<&str> = word("specifics.consistency").split(',').collect();
        let ages: Vec<&str> = word("specifics.maxAgeMs").split(',').collect();
        let mut workloads = Vec::new();
        let mut index = HashMap::new();
        for i in 0..number("classes.count", 0.0)? as usize {
            let path = |key: &str| format!("classes.{i}.{key}");
            index.insert(word(&path("name")).to_string(), i);
            let timeout = seconds(&path("deadlineMs"), 1000.0)?;
            workloads.push(Workload {
                slo: seconds(&path("aimMs"), timeout * 1000.0)?,
                timeout,
                importance: number(&path("credit"), 1.0)?,
                late_share: number(&path("lateWorth"), 0.0)?,
                effect: match word(&path("effect")) {
                    "idempotent" => Effect::Idempotent,
                    "deduplicated" => Effect::Deduplicated,
                    _ => Effect::NonIdempotent,
                },
                scope: match word(&path("dedupScope")) {
                    "all" => DedupScope::All,
                    "zone" => DedupScope::Zone,
                    _ => DedupScope::Group,
                },
                window: seconds(&path("windowMs"), 0.0)?,
                consistency: match consistency.get(i).copied().unwrap_or("") {
                    "update" => Consistency::Write,
                    "own_writes" => Consistency::Session,
                    "recent" => Consistency::Bounded,
                    "loose" => Consistency::Any,
                    _ => Consistency::Fresh,
                },
                bound: ages.get(i).and_then(|a| a.parse::<f64>().ok()).unwrap_or(0.0) / 1000.0,
            });
        }
        let tick = seconds("tickMs", 1.0)?;
        let terms = Terms {
            workloads,
            tick,
            routers: number("peersTotal", 1.0)? as usize,
            most_executions: number("allowed.mostTries", 1.0)? as usize,
            may_recall: yes("allowed.mayCancel", false),
            may_probe: yes("allowed.probes", false),
            max_return: match yes("allowed.retryAfter", false) {
                true => seconds("allowed.maxRetryAfterMs", 0.0)?,
                false => 0.0,
            },
            on_request: word("discovery") == "on_request",
            ask_within: seconds("rules.askWithinMs", 10_000.0)?,
            idle_close: seconds("allowed.idleCloseMs", 15_000.0)?,
            drain_binds_alone: yes("rules.drainBindsAlone", false),
            cold_from: number("rules.coldFrom", 1.0)?,
            cold_s: seconds("rules.coldMs", 0.0)?,
            cold_multiple: number("rules.tipMultiple", 1.0)?,
            checked: word("specifics.guards") != "off",
            stamped: yes("specifics.answersStamped", false),
            marked_retries: yes("clients.marksRetry", false),
            tokens_remembered: word("specifics.tokens") == "router",
        };
        Ok(Hosted {
            policy: Instance::new(&terms, seed, now),
            workloads: index,
            base: EPOCH + seconds("specifics.baseTimeMs", 0.0)?,
            hosts: Names::default(),
            zones: Names::default(),
            groups: Names::default(),
            sessions: Names::default(),
            list: BTreeMap::new(),
            calls: HashMap::new(),
            open: HashMap::new(),
            next: 0,
            ending: Vec::new(),
            timer: f64::INFINITY,
            timers: 0,
            tick,
        })
    }

    pub fn event(
        &mut self,
        now: f64,
        name: &str,
        fields: &mut Fields,
        sheets: &BTreeMap<u64, Vec<Line>>,
    ) -> Result<(), String> {
        match name {
            "MEMBERS" => {
                fields.maybe("a version")?;
                let whole = match fields.text("a form")? {
                    "Error" => {
                        self.policy.list_failed(now);
                        return Ok(());
                    }
                    "Partial" => false,
                    "Complete" | "Persisted" => true,
                    _ => return Err(fields.wrong("Partial, Complete, Persisted or Error")),
                };
                let sheet = fields.whole("a list number")?;
                let Some(lines) = sheets.get(&sheet) else {
                    return Err(fields.wrong("the number of a LIST sent before"));
                };
                self.merge(now, whole, lines);
            }
            "INGRESS" => {
                let call = fields.text("a request id")?;
                let name = fields.text("a class")?;
                let Some(&workload) = self.workloads.get(name) else {
                    return Err(fields.wrong("a class of the settings"));
                };
                fields.maybe("a tenant")?;
                let session = fields.maybe("a session")?.map(|s| self.sessions.of(s));
                let time_left = fields.seconds("the time left")?;
                fields.maybe("a hint")?;
                let group = self.groups.of(fields.text("a group")?);
                let token = fields.maybe_seconds("a token")?.filter(|t| *t > 0.0);
                let retry = fields.flag("a retry mark")?;
                let stmt = self.next;
                self.next += 1;
                self.calls.insert(call.to_string(), stmt);
                self.open.insert(stmt, call.to_string());
                let arrival = Arrival { workload, group, session, time_left, token_age: token, retry };
                self.policy.arrived(now, stmt, &arrival);
            }
            "SETTLED" => {
                let call = fields.text("a request id")?;
                let execution = fields.whole("an attempt's number")? as usize;
                fields.text("a database host")?;
                let verdict = match fields.text("an outcome")? {
                    "ok" => Verdict::Completed,
                    "error" => Verdict::Error,
                    "full" => Verdict::Full,
                    "timeout" => Verdict::TimedOut,
                    "connect_failed" => Verdict::ConnectFailed,
                    "reset" => Verdict::Reset,
                    "cancelled" => Verdict::Cancelled,
                    "moot" => Verdict::Moot,
                    "miss" => Verdict::Miss,
                    _ => return Err(fields.wrong("an outcome")),
                };
                fields.maybe("a latency")?;
                let over = fields.flag("whether the request is over")?;
                let stamp = fields.maybe_whole("a stamp")?.unwrap_or(0);
                let position = (stamp >= 4).then_some(self.base + (stamp / 4) as f64 / 1000.0);
                let primary = match stamp % 4 {
                    1 => Some(true),
                    2 => Some(false),
                    _ => None,
                };
                if let Some(&stmt) = self.calls.get(call) {
                    let note = Note { position, primary };
                    self.ending.push(stmt);
                    self.policy.ended(now, stmt, execution, verdict, over, note);
                }
            }
            "VANISHED" => {
                if let Some(&stmt) = self.calls.get(fields.text("a request id")?) {
                    self.ending.push(stmt);
                    self.policy.client_gone(now, stmt);
                }
            }
            "STATUS_BACK" => {
                let host = self.hosts.of(fields.text("a database host")?);
                let ok = fields.text("a result")? == "ok";
                fields.maybe("a latency")?;
                let mut note = Note::default();
                let report = if fields.at_end() { None } else { fields.maybe("a load report")? };
                for (key, value) in report.unwrap_or("").split(',').filter_map(|p| p.split_once(':')) {
                    let value: f64 = value.parse().map_err(|_| fields.wrong("a load report"))?;
                    match key {
                        "x0" => note.position = Some(self.base + value),
                        "x1" => note.primary = Some(value > 0.5),
                        _ => {}
                    }
                }
                self.policy.probed(now, host, ok, note);
            }
            "FIRED" => {
                if fields.whole("a timer's name")? == self.timers {
                    self.timer = f64::INFINITY;
                }
            }
            "FIRST" | "HEARD" => {}
            _ => return Err(fields.wrong(&format!("an event in place of '{name}'"))),
        }
        Ok(())
    }

    /// Keeps the list as it now stands; what a whole list leaves out is gone, and stays known.
    fn merge(&mut self, now: f64, whole: bool, lines: &[Line]) {
        if whole {
            for member in self.list.values_mut() {
                member.readiness = Readiness::Gone;
            }
        }
        for line in lines {
            let member = Member {
                host: self.hosts.of(&line.host),
                group: self.groups.of(&line.group.to_string()),
                zone: self.zones.of(&line.zone),
                primary: line.primary,
                since: if line.since > 0.0 { EPOCH + line.since } else { 0.0 },
                readiness: match line.readiness.as_str() {
                    "active" => Readiness::Active,
                    "leaving" => Readiness::Draining,
                    _ => Readiness::Gone,
                },
            };
            self.list.insert(line.host.clone(), member);
        }
        let list: Vec<Member> = self.list.values().cloned().collect();
        self.policy.members(now, &list);
    }

    pub fn reply(&mut self, who: &str, now: f64, out: &mut impl Write) -> io::Result<()> {
        self.policy.passed(now);
        while let Some(decision) = self.policy.decide() {
            match decision {
                Decision::Send { stmt, host, time_out } => {
                    let (call, host) = (&self.open[&stmt], &self.hosts.names[host]);
                    writeln!(out, "ISSUE {who} {call} {host} {:.3}", time_out * 1000.0)?;
                }
                Decision::Reject { stmt, return_after } => {
                    self.ending.push(stmt);
                    writeln!(out, "TURN_AWAY {who} {} {:.3}", self.open[&stmt], return_after * 1000.0)?
                }
                Decision::Abort { stmt } => {
                    self.ending.push(stmt);
                    writeln!(out, "END_FAILED {who} {}", self.open[&stmt])?
                }
                Decision::Recall { stmt, execution } => {
                    writeln!(out, "RECALL {who} {} {execution}", self.open[&stmt])?
                }
                Decision::Probe { host } => writeln!(out, "PING {who} {}", self.hosts.names[host])?,
                Decision::Subscribe => writeln!(out, "KEEP_INFORMED {who} 1")?,
                Decision::Log(line) => writeln!(out, "EMIT {who} {line}")?,
            }
        }
        for stmt in self.ending.drain(..) {
            if !self.policy.holds(stmt) {
                if let Some(call) = self.open.remove(&stmt) {
                    self.calls.remove(&call);
                }
            }
        }
        if let Some(at) = self.policy.wake_at() {
            let at = at.max(now + self.tick);
            if at < self.timer - 1e-9 {
                self.timer = at;
                self.timers += 1;
                writeln!(out, "AFTER {who} {} {:.3}", self.timers, (at - now) * 1000.0)?;
            }
        }
        Ok(())
    }
}

//! One hosted instance: its ids and their indices, its timer, and the calls into the decisions.
use crate::wire::Fields;
use sandstile_deployment::host_list::{Entry, List};
use sandstile_deployment::interner::Names;
use sandstile_deployment::settings;
use sandstile_policy::policy::Instance;
use sandstile_policy::terms::*;
use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};

/// The wire's clock may begin at any value; the decisions' clock starts far above zero.
pub const EPOCH: f64 = 1e6;

pub struct Hosted {
    policy: Instance,
    workloads: HashMap<String, usize>,
    base: f64,
    hosts: Names,
    groups: Names,
    sessions: Names,
    list: List,
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
        let wrong = |what: String| fields.wrong(&what);
        let (names, terms) = settings::terms(&facts).map_err(wrong)?;
        let zero = settings::number(&facts, "specifics.baseTimeMs", 0.0).map_err(wrong)?;
        Ok(Hosted {
            policy: Instance::new(&terms, seed, now),
            workloads: names.into_iter().zip(0..).collect(),
            base: EPOCH + zero / 1000.0,
            hosts: Names::default(),
            groups: Names::default(),
            sessions: Names::default(),
            list: List::default(),
            calls: HashMap::new(),
            open: HashMap::new(),
            next: 0,
            ending: Vec::new(),
            timer: f64::INFINITY,
            timers: 0,
            tick: terms.tick,
        })
    }

    pub fn event(
        &mut self,
        now: f64,
        name: &str,
        fields: &mut Fields,
        sheets: &BTreeMap<u64, Vec<Entry>>,
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
                let list = self.list.merge(whole, lines, &mut self.hosts, &mut self.groups);
                self.policy.members(now, &list);
                self.list.drop_gone(|host| self.policy.forget(host));
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
                let arrival = Arrival {
                    workload,
                    group,
                    session,
                    time_left,
                    wait: time_left,
                    token_age: token,
                    retry,
                    reach: None,
                };
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

    pub fn reply(&mut self, who: &str, now: f64, out: &mut impl Write) -> io::Result<()> {
        self.policy.passed(now);
        while let Some(decision) = self.policy.decide() {
            match decision {
                Decision::Send { stmt, host, time_out } => {
                    let (call, host) = (&self.open[&stmt], self.hosts.name(host));
                    writeln!(out, "ISSUE {who} {call} {host} {:.3}", time_out * 1000.0)?;
                }
                Decision::Reject { stmt, return_after, .. } => {
                    self.ending.push(stmt);
                    writeln!(out, "TURN_AWAY {who} {} {:.3}", self.open[&stmt], return_after * 1000.0)?
                }
                Decision::Abort { stmt, .. } => {
                    self.ending.push(stmt);
                    writeln!(out, "END_FAILED {who} {}", self.open[&stmt])?
                }
                Decision::Recall { stmt, execution } => {
                    writeln!(out, "RECALL {who} {} {execution}", self.open[&stmt])?
                }
                Decision::Probe { host } => writeln!(out, "PING {who} {}", self.hosts.name(host))?,
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

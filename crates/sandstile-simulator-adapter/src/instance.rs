//! One hosted instance: its ids and their indices, its timer, and the calls into the decisions.
use crate::wire::Fields;
use sandstile_deployment::host_list::{HostEntry, HostList};
use sandstile_deployment::interner::Interner;
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
    hosts: Interner,
    groups: Interner,
    sessions: Interner,
    list: HostList,
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
            hosts: Interner::default(),
            groups: Interner::default(),
            sessions: Interner::default(),
            list: HostList::default(),
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
        sheets: &BTreeMap<u64, Vec<HostEntry>>,
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
                self.policy.update_hosts(now, &list);
                self.list.drop_gone(|host| self.policy.forget_host(host));
            }
            "INGRESS" => {
                let call = fields.text("a request id")?;
                let name = fields.text("a class")?;
                let Some(&workload) = self.workloads.get(name) else {
                    return Err(fields.wrong("a class of the settings"));
                };
                fields.maybe("a tenant")?;
                let session = fields.maybe("a session")?.map(|s| self.sessions.intern(s));
                let time_left = fields.seconds("the time left")?;
                fields.maybe("a hint")?;
                let group = self.groups.intern(fields.text("a group")?);
                let token = fields.maybe_seconds("a token")?.filter(|t| *t > 0.0);
                let retry = fields.flag("a retry mark")?;
                let statement_id = self.next;
                self.next += 1;
                self.calls.insert(call.to_string(), statement_id);
                self.open.insert(statement_id, call.to_string());
                let arrival = Arrival {
                    workload,
                    group,
                    session,
                    time_left,
                    wait: time_left,
                    token_age: token,
                    retry,
                    read_requirement: None,
                };
                self.policy.statement_arrived(now, statement_id, &arrival);
            }
            "SETTLED" => {
                let call = fields.text("a request id")?;
                let execution = fields.whole("an attempt's number")? as usize;
                fields.text("a database host")?;
                let verdict = match fields.text("an outcome")? {
                    "ok" => OutcomeClass::Completed,
                    "error" => OutcomeClass::Error,
                    "full" => OutcomeClass::Full,
                    "timeout" => OutcomeClass::TimedOut,
                    "connect_failed" => OutcomeClass::ConnectFailed,
                    "reset" => OutcomeClass::Reset,
                    "cancelled" => OutcomeClass::Cancelled,
                    "moot" => OutcomeClass::NotSent,
                    "miss" => OutcomeClass::WrongHost,
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
                if let Some(&statement_id) = self.calls.get(call) {
                    let note = HostReport { position, primary };
                    self.ending.push(statement_id);
                    self.policy.ended(now, statement_id, execution, verdict, over, note);
                }
            }
            "VANISHED" => {
                if let Some(&statement_id) = self.calls.get(fields.text("a request id")?) {
                    self.ending.push(statement_id);
                    self.policy.client_gone(now, statement_id);
                }
            }
            "STATUS_BACK" => {
                let host = self.hosts.intern(fields.text("a database host")?);
                let ok = fields.text("a result")? == "ok";
                fields.maybe("a latency")?;
                let mut note = HostReport::default();
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
        self.policy.advance_time(now);
        while let Some(decision) = self.policy.decide() {
            match decision {
                Decision::Send { statement_id, host, timeout } => {
                    let (call, host) = (&self.open[&statement_id], self.hosts.name(host));
                    writeln!(out, "ISSUE {who} {call} {host} {:.3}", timeout * 1000.0)?;
                }
                Decision::Reject { statement_id, retry_after, .. } => {
                    self.ending.push(statement_id);
                    writeln!(out, "TURN_AWAY {who} {} {:.3}", self.open[&statement_id], retry_after * 1000.0)?
                }
                Decision::Abort { statement_id, .. } => {
                    self.ending.push(statement_id);
                    writeln!(out, "END_FAILED {who} {}", self.open[&statement_id])?
                }
                Decision::Cancel { statement_id, execution } => {
                    writeln!(out, "RECALL {who} {} {execution}", self.open[&statement_id])?
                }
                Decision::Probe { host } => writeln!(out, "PING {who} {}", self.hosts.name(host))?,
                Decision::Subscribe => writeln!(out, "KEEP_INFORMED {who} 1")?,
                Decision::Log(line) => writeln!(out, "EMIT {who} {line}")?,
            }
        }
        for statement_id in self.ending.drain(..) {
            if !self.policy.is_tracked(statement_id) {
                if let Some(call) = self.open.remove(&statement_id) {
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

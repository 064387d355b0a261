//! One instance run for the simulator: its ids and their indices, its timer, and the calls into the
//! decisions.
use crate::wire::Fields;
use sandstile_deployment::host_list::{HostEntry, HostList};
use sandstile_deployment::interner::Interner;
use sandstile_deployment::settings;
use sandstile_policy::policy::Instance;
use sandstile_policy::terms::*;
use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};

/// Offset added to times on the wire, whose clock may start at any value; the decisions need a clock that
/// starts far above zero.
pub const EPOCH: f64 = 1e6;

pub struct HostedInstance {
    policy: Instance,
    workloads: HashMap<String, usize>,
    clock_base: f64,
    hosts: Interner,
    groups: Interner,
    sessions: Interner,
    list: HostList,
    statement_ids: HashMap<String, u64>,
    request_ids: HashMap<u64, String>,
    next_statement_id: u64,
    /// Statements that may be over once the decisions of this batch are written.
    maybe_over: Vec<u64>,
    timer_at: f64,
    timer_number: u64,
    tick: f64,
}

impl HostedInstance {
    pub fn start(now: f64, seed: u64, fields: &mut Fields) -> Result<Self, String> {
        let flat_settings = fields.pairs();
        let settings_error = |expected: String| fields.error(&expected);
        let (workload_names, terms) = settings::terms(&flat_settings).map_err(settings_error)?;
        let base_time_ms =
            settings::number(&flat_settings, "specifics.baseTimeMs", 0.0).map_err(settings_error)?;
        Ok(HostedInstance {
            policy: Instance::new(&terms, seed, now),
            workloads: workload_names.into_iter().zip(0..).collect(),
            clock_base: EPOCH + base_time_ms / 1000.0,
            hosts: Interner::default(),
            groups: Interner::default(),
            sessions: Interner::default(),
            list: HostList::default(),
            statement_ids: HashMap::new(),
            request_ids: HashMap::new(),
            next_statement_id: 0,
            maybe_over: Vec::new(),
            timer_at: f64::INFINITY,
            timer_number: 0,
            tick: terms.tick,
        })
    }

    pub fn handle_event(
        &mut self,
        now: f64,
        name: &str,
        fields: &mut Fields,
        host_lists: &BTreeMap<u64, Vec<HostEntry>>,
    ) -> Result<(), String> {
        match name {
            "MEMBERS" => {
                fields.optional("a version")?;
                let is_complete = match fields.required("a form")? {
                    "Error" => {
                        self.policy.list_failed(now);
                        return Ok(());
                    }
                    "Partial" => false,
                    "Complete" | "Persisted" => true,
                    _ => return Err(fields.error("Partial, Complete, Persisted or Error")),
                };
                let list_number = fields.integer("a list number")?;
                let Some(entries) = host_lists.get(&list_number) else {
                    return Err(fields.error("the number of a LIST sent before"));
                };
                let changed_hosts = self.list.merge(is_complete, entries, &mut self.hosts, &mut self.groups);
                self.policy.update_hosts(now, &changed_hosts);
                self.list.drop_gone(|host| self.policy.forget_host(host));
            }
            "INGRESS" => {
                let request_id = fields.required("a request id")?;
                let name = fields.required("a class")?;
                let Some(&workload) = self.workloads.get(name) else {
                    return Err(fields.error("a class of the settings"));
                };
                fields.optional("a tenant")?;
                let session = fields.optional("a session")?.map(|s| self.sessions.intern(s));
                let time_left = fields.seconds("the time left")?;
                fields.optional("a hint")?;
                let group = self.groups.intern(fields.required("a group")?);
                let session_token_age = fields.optional_seconds("a token")?.filter(|t| *t > 0.0);
                let retry = fields.flag("a retry mark")?;
                let statement_id = self.next_statement_id;
                self.next_statement_id += 1;
                self.statement_ids.insert(request_id.to_string(), statement_id);
                self.request_ids.insert(statement_id, request_id.to_string());
                let arrival = Arrival {
                    workload,
                    group,
                    session,
                    time_left,
                    timeout: time_left,
                    token_age: session_token_age,
                    retry,
                    read_requirement: None,
                };
                self.policy.statement_arrived(now, statement_id, &arrival);
            }
            "SETTLED" => {
                let request_id = fields.required("a request id")?;
                let execution = fields.integer("an attempt's number")? as usize;
                fields.required("a database host")?;
                let outcome = match fields.required("an outcome")? {
                    "ok" => OutcomeClass::Completed,
                    "error" => OutcomeClass::Error,
                    "full" => OutcomeClass::Full,
                    "timeout" => OutcomeClass::TimedOut,
                    "connect_failed" => OutcomeClass::ConnectFailed,
                    "reset" => OutcomeClass::Reset,
                    "cancelled" => OutcomeClass::Cancelled,
                    "moot" => OutcomeClass::NotSent,
                    "miss" => OutcomeClass::WrongHost,
                    _ => return Err(fields.error("an outcome")),
                };
                fields.optional("a latency")?;
                let request_over = fields.flag("whether the request is over")?;
                let stamp = fields.optional_integer("a stamp")?.unwrap_or(0);
                let position = (stamp >= 4).then_some(self.clock_base + (stamp / 4) as f64 / 1000.0);
                let primary = match stamp % 4 {
                    1 => Some(true),
                    2 => Some(false),
                    _ => None,
                };
                if let Some(&statement_id) = self.statement_ids.get(request_id) {
                    let host_report = HostReport { position, primary };
                    self.maybe_over.push(statement_id);
                    self.policy.execution_ended(
                        now,
                        statement_id,
                        execution,
                        outcome,
                        request_over,
                        host_report,
                    );
                }
            }
            "VANISHED" => {
                if let Some(&statement_id) = self.statement_ids.get(fields.required("a request id")?) {
                    self.maybe_over.push(statement_id);
                    self.policy.client_gone(now, statement_id);
                }
            }
            "STATUS_BACK" => {
                let host = self.hosts.intern(fields.required("a database host")?);
                let succeeded = fields.required("a result")? == "ok";
                fields.optional("a latency")?;
                let mut host_report = HostReport::default();
                let load_report = if fields.at_end() { None } else { fields.optional("a load report")? };
                for (key, value) in load_report.unwrap_or("").split(',').filter_map(|p| p.split_once(':')) {
                    let value: f64 = value.parse().map_err(|_| fields.error("a load report"))?;
                    match key {
                        "x0" => host_report.position = Some(self.clock_base + value),
                        "x1" => host_report.primary = Some(value > 0.5),
                        _ => {}
                    }
                }
                self.policy.probe_ended(now, host, succeeded, host_report);
            }
            "FIRED" => {
                if fields.integer("a timer's name")? == self.timer_number {
                    self.timer_at = f64::INFINITY;
                }
            }
            "FIRST" | "HEARD" => {}
            _ => return Err(fields.error(&format!("an event in place of '{name}'"))),
        }
        Ok(())
    }

    pub fn write_decisions(
        &mut self,
        instance_id: &str,
        now: f64,
        output: &mut impl Write,
    ) -> io::Result<()> {
        self.policy.advance_time(now);
        while let Some(decision) = self.policy.decide() {
            match decision {
                Decision::Send { statement_id, host, timeout } => {
                    let (request_id, host) = (&self.request_ids[&statement_id], self.hosts.name(host));
                    writeln!(output, "ISSUE {instance_id} {request_id} {host} {:.3}", timeout * 1000.0)?;
                }
                Decision::Reject { statement_id, retry_after, .. } => {
                    self.maybe_over.push(statement_id);
                    writeln!(
                        output,
                        "TURN_AWAY {instance_id} {} {:.3}",
                        self.request_ids[&statement_id],
                        retry_after * 1000.0
                    )?
                }
                Decision::Abort { statement_id, .. } => {
                    self.maybe_over.push(statement_id);
                    writeln!(output, "END_FAILED {instance_id} {}", self.request_ids[&statement_id])?
                }
                Decision::Cancel { statement_id, execution } => {
                    writeln!(output, "RECALL {instance_id} {} {execution}", self.request_ids[&statement_id])?
                }
                Decision::Probe { host } => writeln!(output, "PING {instance_id} {}", self.hosts.name(host))?,
                Decision::Subscribe => writeln!(output, "KEEP_INFORMED {instance_id} 1")?,
                Decision::Log(message) => writeln!(output, "EMIT {instance_id} {message}")?,
            }
        }
        for statement_id in self.maybe_over.drain(..) {
            if !self.policy.is_tracked(statement_id) {
                if let Some(request_id) = self.request_ids.remove(&statement_id) {
                    self.statement_ids.remove(&request_id);
                }
            }
        }
        if let Some(wake_at) = self.policy.wake_at() {
            let wake_at = wake_at.max(now + self.tick);
            if wake_at < self.timer_at - 1e-9 {
                self.timer_at = wake_at;
                self.timer_number += 1;
                writeln!(
                    output,
                    "AFTER {instance_id} {} {:.3}",
                    self.timer_number,
                    (wake_at - now) * 1000.0
                )?;
            }
        }
        Ok(())
    }
}

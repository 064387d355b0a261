//! The routing decisions of one sandstile instance, without I/O. The embedding program passes events in
//! through `update_hosts`, `statement_arrived`, `execution_ended`, `probe_ended`, `client_gone` and
//! `advance_time`, which only update what is known. It then calls `decide` until it returns nothing, and
//! `advance_time` again no later than `wake_at`. An execution that could not begin at once is checked again by
//! `may_start` (`recheck`). The interface types are in `terms.rs`.
//!
//! The design's rules (DBFarm's change numbers, round-robin over replicas, the check of a read's consistency
//! class by the database host) decide the ordinary path. Six mechanisms add to it:
//! 1. primary detection: from answers, the host list and probes; while no primary is usable, writes wait and
//!    the members are probed;
//! 2. lag memory: replicas known to be too far behind for a read are skipped, which spares the primary;
//! 3. outlier ejection: unresponsive, unreachable, full or foreign hosts are ejected, for a time that also
//!    counts in rotation periods, and then get trial traffic;
//! 4. in-flight limit: throughput x time, per host and per pool of hosts; when full, importance per unit of
//!    work decides (`pacing`);
//! 5. retries: further executions while the statement can be in time and its effect allows it, never two at
//!    once;
//! 6. slow start: sends to a cold host stay below this instance's completions at a warm peer x the cold
//!    host's capacity share (`slow_start`).
//!
//! No input and no decision iterates over all hosts or groups: what has to be checked is kept in queues and
//! sets.

mod host_updates;
mod pacing;
mod recheck;
mod slow_start;

use crate::state::*;
use crate::terms::*;
use oorandom::Rand32;
use slow_start::ColdHosts;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

/// Highest assumed rate at which a lagging replica catches up, in seconds of log per second.
const MAX_CATCH_UP_RATE: f64 = 2.0;
/// An execution that has run for this many times its workload's typical duration is considered stuck if its
/// host has answered nothing else meanwhile.
const STUCK_DURATION_FACTOR: f64 = 3.0;
/// Seconds of the first ejection of a failing host; after further failures 3, 7 and at most 15 times as long.
const FIRST_EJECTION_S: f64 = 0.25;
/// Seconds for which a replica that refused a read as too far behind takes reads without a consistency
/// requirement (or eight rotation periods, if longer); this covers a period of lag. With a shorter memory,
/// routers disagree on which replicas lag, and each delays replication on another one.
const LAG_MEMORY_S: f64 = 20.0;
/// Consecutive failed connections that distinguish an outage from a single failure.
const MIN_OUTAGE_FAILURES: u32 = 2;
/// Seconds for which a probe's claim to be primary keeps the other members from being probed; a failover
/// takes longer.
const PRIMARY_CLAIM_VALID_S: f64 = 1.0;
/// Scheduled checks for each open statement, and in all, beyond which outdated ones are dropped.
const CHECKS_PER_STATEMENT: usize = 4;
const MIN_CHECKS_TO_DROP: usize = 1024;
/// Bytes that an instance holds for each session index up to the highest in use.
pub const SESSION_BYTES: usize = size_of::<Session>();

impl Host {
    fn eject(&mut self, now: f64, rotation_period: f64, failures: i32) {
        self.consecutive_failures += failures;
        self.ejected_until = now
            + FIRST_EJECTION_S.max(rotation_period.min(2.0))
                * (f64::powi(2.0, self.consecutive_failures.min(4)) - 1.0);
    }
}

impl RateMeter {
    fn update(&mut self, now: f64, completed: bool) {
        let elapsed = now - self.since;
        if elapsed >= 0.5 {
            self.rate += (elapsed / (elapsed + 0.5)) * (self.count / elapsed - self.rate);
            (self.since, self.count) = (now, 0.0);
        }
        self.count += f64::from(u8::from(completed));
    }
}

impl WorkloadState {
    fn is_write(&self) -> bool {
        self.consistency == Consistency::Write
    }

    fn value_density(&self) -> f64 {
        self.importance / self.min_duration
    }

    /// The latest time at which a statement can be sent and still, at the typical duration, meet its SLO.
    fn latest_useful_start(&self, statement: &Statement) -> f64 {
        statement.slo_deadline - 1.1 * self.typical_duration.min(0.8 * self.slo)
    }

    /// The time by which a further execution has to be at the host. Hosts drop repeats only within a window
    /// that starts at the first execution.
    fn repeat_deadline(&self, statement: &Statement) -> f64 {
        let possible_runs = statement.executions.iter().filter(|e| e.may_have_run);
        match self.effect {
            Effect::Idempotent => f64::INFINITY,
            Effect::Deduplicated => {
                possible_runs.map(|e| e.sent_at + self.dedup_window).fold(f64::INFINITY, f64::min)
            }
            Effect::NonIdempotent => possible_runs.map(|_| f64::NEG_INFINITY).fold(f64::INFINITY, f64::min),
        }
    }
}

#[derive(Default)]
pub struct Instance {
    now: f64,
    created_at: f64,
    rng: Rng,
    terms: Terms,
    workloads: Vec<WorkloadState>,
    answer_margin: f64,
    unmeasured_limit: f64,
    max_executions: usize,
    cold_duration: f64,
    /// Half of the configured overload multiple. The other half allows for statements of different sizes and
    /// for requests that only contact the host.
    cold_headroom: f64,
    resubscribe_interval: f64,
    subscribe_at: f64,
    connect_failed_at: f64,
    /// Whether any host has reported its role, and whether any answer came without a role.
    roles_reported: bool,
    roleless_answer_seen: bool,
    cold_hosts: ColdHosts,
    hosts: Vec<Host>,
    /// Hosts on the list, including those that have left it and are not forgotten yet; and how many of them
    /// may be sent to.
    listed_hosts: usize,
    sendable_count: usize,
    pools: [Pool; 2],
    groups: Vec<Group>,
    /// Groups to process: those that have changed, those with waiting statements, and those that need probes
    /// for a primary or a position.
    changed_groups: BTreeSet<usize>,
    waiting_groups: BTreeSet<usize>,
    groups_to_probe: BTreeSet<usize>,
    sessions: Vec<Session>,
    statements: BTreeMap<u64, Statement>,
    /// Next check of each statement. The bits of a positive `f64` sort in the order of its value.
    scheduled_checks: BinaryHeap<Reverse<(u64, u64)>>,
    due_statements: VecDeque<u64>,
    pending_probes: VecDeque<usize>,
    pending_logs: VecDeque<String>,
    log_count: usize,
}

impl Instance {
    pub fn new(terms: &Terms, seed: u64, now: f64) -> Self {
        let workload_state = |settings: &Workload| WorkloadState {
            consistency: settings.consistency,
            max_age: settings.max_age,
            effect: settings.effect,
            dedup_scope: settings.dedup_scope,
            dedup_window: settings.dedup_window,
            slo: settings.slo,
            timeout: settings.timeout,
            first_attempt: (0.0, 0),
            expected_retries: 0.0,
            importance: settings.importance,
            late_share: settings.late_share,
            typical_duration: settings.slo / 4.0,
            min_duration: settings.slo / 4.0,
        };
        Instance {
            now,
            created_at: now,
            rng: Rng(Rand32::new(seed)),
            terms: terms.clone(),
            workloads: terms.workloads.iter().map(workload_state).collect(),
            // In-flight limit per host before this instance has measured anything: eight in all, shared by
            // the routers.
            unmeasured_limit: 8.0 / terms.routers.max(1) as f64,
            answer_margin: 1.5 * terms.tick + 0.001,
            max_executions: terms.max_executions.max(1),
            cold_duration: terms.cold_duration.max(0.001),
            cold_headroom: (terms.cold_overload_multiple / 2.0).max(1.0),
            resubscribe_interval: terms.subscribe_within / 4.0,
            subscribe_at: if terms.list_on_request { now } else { f64::INFINITY },
            ..Instance::default()
        }
    }

    /// Sets the number of routers that share the hosts, as observed at run time. It sets the in-flight limit
    /// per host for an instance without measurements.
    pub fn set_router_count(&mut self, routers: f64) {
        self.unmeasured_limit = 8.0 / routers.max(1.0);
    }

    /// A call to the host list service failed or its subscription dropped.
    pub fn list_failed(&mut self, now: f64) {
        self.now = now;
        self.subscribe_at = now + 0.2 + 0.3 * self.rng.0.rand_float() as f64;
    }

    pub fn statement_arrived(&mut self, now: f64, statement_id: u64, arrival: &Arrival) {
        self.now = now;
        let group = self.group(arrival.group);
        let since_last_arrival = if group.last_arrival_at > 0.0 { now - group.last_arrival_at } else { 0.0 };
        (group.arrival_interval, group.last_arrival_at) =
            (group.arrival_interval + 0.1 * (since_last_arrival - group.arrival_interval), now);
        let last_write_position = group.last_write_position;
        let workload = &mut self.workloads[arrival.workload];
        let same_timeout = (arrival.timeout - workload.first_attempt.0).abs() < 0.01;
        workload.first_attempt.1 = (workload.first_attempt.1 + if same_timeout { 2 } else { -1 }).min(32);
        if workload.first_attempt.1 < 0 {
            workload.first_attempt = (arrival.timeout, 2);
        }
        // A timeout shorter than the usual one marks a later attempt, provided a first attempt has failed.
        // Without that condition, clients that start to use longer or shorter timeouts would make all other
        // statements look like later attempts.
        let is_later_attempt = (arrival.retry || !self.terms.clients_mark_retries)
            && arrival.timeout < workload.first_attempt.0 - 0.01
            && workload.expected_retries >= 1.0;
        workload.expected_retries -= if is_later_attempt { 1.0 } else { 0.0 };
        let elapsed = if is_later_attempt { (workload.timeout - arrival.timeout).max(0.0) } else { 0.0 };
        let session_writes =
            arrival.session.and_then(|index| self.sessions.get(index)).copied().unwrap_or_default();
        let required_position = match workload.consistency {
            Consistency::Session if arrival.read_requirement.is_some() => match arrival.read_requirement {
                Some(ReadRequirement::Position(position)) => position,
                _ => f64::INFINITY,
            },
            Consistency::Session if !self.terms.router_keeps_tokens => {
                arrival.token_age.map_or(0.0, |age| now - age)
            }
            Consistency::Session if !self.terms.hosts_check_reads => last_write_position,
            // Hosts refuse reads by the session's own writes, so lag memory predicts a refusal from no more
            // than those.
            Consistency::Session => session_writes.written_position.min(last_write_position),
            _ => 0.0,
        };
        let statement = Statement {
            workload: arrival.workload,
            group: arrival.group,
            session: arrival.session,
            required_position,
            requires_known_position: workload.consistency == Consistency::Session
                && arrival.read_requirement.is_some(),
            slo_deadline: now + workload.slo - elapsed,
            halfway: now + 0.5 * arrival.time_left,
            deadline: now + arrival.time_left,
            waiting: true,
            retry: arrival.retry,
            is_later_attempt,
            ..Statement::default()
        };
        self.statements.insert(statement_id, statement);
        // The statement is queued first; otherwise a new statement would be sent before a waiting one of
        // higher value.
        self.group(arrival.group).waiting.push(statement_id);
        self.waiting_groups.insert(arrival.group);
        self.changed_groups.insert(arrival.group);
    }

    pub fn client_gone(&mut self, now: f64, statement_id: u64) {
        self.now = now;
        if let Some(statement) =
            self.statements.get_mut(&statement_id).filter(|statement| !statement.answered)
        {
            statement.answered = true;
            self.workloads[statement.workload].expected_retries +=
                if statement.is_later_attempt { 0.0 } else { 3.0 };
        }
        self.due_statements.push_back(statement_id);
    }

    pub fn execution_ended(
        &mut self,
        now: f64,
        statement_id: u64,
        execution_index: usize,
        outcome: OutcomeClass,
        statement_over: bool,
        report: HostReport,
    ) {
        use OutcomeClass::*;
        self.now = now;
        let Some(statement) = self.statements.get_mut(&statement_id) else { return };
        self.due_statements.push_back(statement_id);
        statement.answered |= statement_over;
        let Some(execution) =
            statement.executions.get_mut(execution_index).filter(|execution| execution.ended_at.is_none())
        else {
            return;
        };
        execution.ended_at = Some(now);
        execution.may_have_run = outcome.may_have_run();
        execution.not_sent = outcome == NotSent;
        let (host_index, sent_at, duration, group, may_have_run) = (
            execution.host,
            execution.sent_at,
            now - execution.sent_at,
            statement.group,
            execution.may_have_run,
        );
        let workload = &mut self.workloads[statement.workload];
        let typical_duration = workload.typical_duration;
        let is_write = workload.is_write();
        let required_position = if workload.consistency == Consistency::Bounded {
            sent_at - workload.max_age
        } else {
            statement.required_position
        };
        let rotation_period = self.groups[group].rotation_period();
        let mut restarted = false;
        let host = &mut self.hosts[host_index];
        host.in_flight.retain(|o| *o != (sent_at, statement_id));
        let previous_answer_at = host.answered_at;
        let answered = matches!(outcome, Completed | Error | Full | WrongHost);
        if answered {
            (host.answered_at, host.unresponsive) = (now, false);
            let failures = std::mem::take(&mut host.connect_failures);
            let was_outage = host.unreachable_since.take().is_some_and(|t| now - t > 1.0);
            if was_outage && failures >= MIN_OUTAGE_FAILURES {
                // The host is back after an outage: most likely a restart that the list doesn't show yet. A
                // single failure doesn't count, however long ago it was, since in a fleet of thousands each
                // host is contacted rarely.
                (host.started_at, host.credit) = (now, 0.0);
                restarted = true;
            }
        }
        // Only a process that is not a member of the group answers without a role; nothing that it says about
        // a statement is trusted.
        let foreign = answered && self.roles_reported && report.primary.is_none();
        host.unresponsive |= outcome == ConnectFailed || foreign;
        self.roleless_answer_seen |= foreign;
        self.connect_failed_at = if outcome == ConnectFailed { now } else { self.connect_failed_at };
        let pool = &mut self.pools[execution.pool];
        pool.in_flight -= 1;
        pool.meter.update(now, outcome == Completed);
        // Answers in good time widen a pool's window in small steps, late ones cut it.
        let late = duration > workload.slo && matches!(outcome, Completed | TimedOut | Cancelled);
        if late && now > pool.window_cut_at + workload.typical_duration {
            (pool.window, pool.window_cut_at) = ((0.7 * pool.window).max(0.05), now);
        } else if outcome == Completed && duration < 0.5 * workload.slo {
            pool.window = (pool.window + 0.2).min(pool.max_window);
        }
        match outcome {
            Completed => {
                workload.typical_duration +=
                    0.03 * (duration.min(4.0 * workload.typical_duration) - workload.typical_duration);
                workload.min_duration = workload.typical_duration.min(
                    workload.min_duration + 0.0005 * (workload.typical_duration - workload.min_duration),
                );
                // For a host that is contacted rarely the last answer counts most, since older measurements
                // are out of date.
                let weight = (0.12f64).max(1.0 - (-(now - previous_answer_at)).exp());
                host.slowdown += weight * ((duration / workload.min_duration).min(10.0) - host.slowdown);
                host.min_slowdown =
                    host.slowdown.min(host.min_slowdown + 0.002 * (host.slowdown - host.min_slowdown));
                // A trial that completes ends the ejection that `send` extended to keep other statements
                // away.
                (host.consecutive_failures, host.ejected_until) = (0, host.ejected_until.min(now));
                host.meter.update(now, true);
                host.possibly_running.retain(|until| *until > now);
                let hosts_checked_position =
                    self.terms.hosts_check_reads && !statement.requires_known_position;
                host.known_position =
                    host.known_position.max(if hosts_checked_position { required_position } else { 0.0 });
            }
            // A cancel may stop nothing on the host. If it freed the slot at once, clients that disconnect
            // could overload the hosts.
            TimedOut | Cancelled => {
                host.slowdown = host.slowdown.max((duration / workload.min_duration).min(10.0));
                host.possibly_running.push(now + STUCK_DURATION_FACTOR * workload.typical_duration);
            }
            WrongHost if !is_write => {
                host.refused_stale_at = now;
                host.position_bound = if self.terms.answers_carry_position {
                    host.position_bound
                } else {
                    (required_position - 0.1, now)
                };
            }
            ConnectFailed => {
                host.unreachable_since = host.unreachable_since.or(Some(now));
                host.connect_failures += 1;
            }
            _ => {}
        }
        if (foreign || matches!(outcome, ConnectFailed | Reset | Full)) && host.ejected_until <= now {
            host.eject(now, rotation_period, 1);
        }
        if let Some(session) = statement.session.filter(|_| is_write) {
            let session_writes = &mut self.sessions[session];
            session_writes.writes_in_flight -= 1;
            if may_have_run && outcome != Completed {
                // The write may be queued or running on the host and can still commit for a while.
                session_writes.written_position =
                    session_writes.written_position.max(now + STUCK_DURATION_FACTOR * typical_duration);
            }
        }
        statement.errors += i32::from(matches!(outcome, Error | UnusableAnswer) && !foreign);
        self.changed_groups.insert(group);
        let group = &mut self.groups[group];
        if let Some(position) = report.position {
            if !is_write {
                host.position_bound = (position, now);
                host.known_position = host.known_position.max(position);
            } else if outcome == Completed {
                group.last_write_position = group.last_write_position.max(position);
                if let Some(session) = statement.session {
                    self.sessions[session].written_position =
                        self.sessions[session].written_position.max(position);
                }
            }
        }
        if let Some(primary) = report.primary {
            self.update_role(host_index, primary, true);
        }
        if restarted {
            self.mark_cold(host_index);
        }
        if outcome == Completed {
            self.grant_credit(host_index);
        }
    }

    pub fn probe_ended(&mut self, now: f64, host_index: usize, succeeded: bool, report: HostReport) {
        self.now = now;
        let Some(host) = self.hosts.get_mut(host_index).filter(|_| succeeded) else { return };
        if host.unreachable_since.is_some() {
            // The host was ejected because no connection could be made; the probe shows that it is reachable
            // again.
            (host.unresponsive, host.ejected_until) = (false, now);
            self.changed_groups.insert(host.group);
        }
        // Some hung hosts still answer probes, so each failure keeps a host unresponsive for longer.
        host.unresponsive &= host.ejected_until > now;
        if let Some(position) = report.position {
            host.known_position = host.known_position.max(position);
            host.position_bound = (host.known_position, now);
        }
        if let Some(primary) = report.primary {
            self.update_role(host_index, primary, false);
        }
    }

    /// Another instance found `age` seconds ago that this host refuses it: the host is ejected for the first
    /// period, unless it has answered here since. Reports from peers do no more than that; only own
    /// observations bring a host back into use.
    pub fn failure_reported_by_peer(&mut self, now: f64, host_index: usize, age: f64) {
        self.now = now;
        let Some(host) = self.hosts.get_mut(host_index) else { return };
        if host.ejected_until <= now && host.answered_at < now - age {
            host.ejected_until = now + FIRST_EJECTION_S;
        }
    }

    /// Whether probes of this host are looking for a primary that its group lacks.
    pub fn group_lacks_primary(&self, host_index: usize) -> bool {
        let primary =
            self.hosts.get(host_index).and_then(|h| self.groups.get(h.group)).and_then(|g| g.primary);
        primary.is_none_or(|p| self.hosts[p].unresponsive)
    }

    /// Records the term of the primary that a host says it follows. Positions of different terms can't be
    /// compared, so a new term discards all known positions of the group. Returns `false` if this host is
    /// still in an older term.
    pub fn record_term(&mut self, host_index: usize, term: u64) -> bool {
        let Some(group) = self.hosts.get(host_index).map(|h| h.group) else { return false };
        if term > self.group(group).term {
            self.groups[group].term = term;
            for member in self.groups[group].members.clone() {
                self.hosts[member].known_position = 0.0;
            }
        }
        term == self.groups[group].term
    }

    /// The highest term reported by a group's members, 0 if none has reported one.
    pub fn reported_term(&self, group: usize) -> u64 {
        self.groups.get(group).map_or(0, |g| g.term)
    }

    pub fn advance_time(&mut self, now: f64) {
        self.now = now;
        while self.scheduled_checks.peek().is_some_and(|Reverse((t, _))| f64::from_bits(*t) <= now) {
            self.due_statements
                .extend(self.scheduled_checks.pop().map(|Reverse((_, statement_id))| statement_id));
        }
        self.changed_groups.extend(&self.waiting_groups);
    }

    pub fn is_tracked(&self, statement_id: u64) -> bool {
        self.statements.contains_key(&statement_id)
    }

    /// Why this statement is waiting, if it has not been sent anywhere yet.
    pub fn wait_reason(&self, statement_id: u64) -> Option<WaitReason> {
        self.statements.get(&statement_id).filter(|s| s.executions.is_empty()).and_then(|s| s.wait_reason)
    }

    pub fn wake_at(&self) -> Option<f64> {
        let next_check_at =
            self.scheduled_checks.peek().map_or(f64::INFINITY, |Reverse((t, _))| f64::from_bits(*t));
        let next_scan_at = if self.waiting_groups.is_empty() { f64::INFINITY } else { self.now + 0.01 };
        Some(next_check_at.min(next_scan_at).min(self.subscribe_at)).filter(|at| at.is_finite())
    }

    pub fn decide(&mut self) -> Option<Decision> {
        if self.now >= self.subscribe_at {
            self.subscribe_at = self.now + self.resubscribe_interval;
            return Some(Decision::Subscribe);
        }
        while let Some(&statement_id) = self.due_statements.front() {
            if let Some(decision) = self.decide_statement(statement_id) {
                return Some(decision);
            }
            self.due_statements.pop_front();
        }
        while let Some(group) = self.changed_groups.pop_first() {
            let mut queue = std::mem::take(&mut self.groups[group].waiting);
            queue.retain(|statement_id| {
                self.statements.get(statement_id).is_some_and(|s| s.waiting && !s.answered)
            });
            if queue.is_empty() {
                self.waiting_groups.remove(&group);
                continue;
            }
            // Newest first among equals: under overload the oldest would be sent just too late to be in time.
            queue.sort_by_cached_key(|statement_id| {
                Reverse((self.value_density(*statement_id).to_bits(), *statement_id))
            });
            self.groups[group].waiting = queue.clone();
            if let Some(decision) =
                queue.into_iter().find_map(|statement_id| self.decide_statement(statement_id))
            {
                self.changed_groups.insert(group);
                return Some(decision);
            }
        }
        while let Some(group) = self.groups_to_probe.pop_first() {
            self.request_probes(group);
        }
        while let Some(host) = self.pending_probes.pop_front() {
            // With hundreds of routers probing at once, a cold host's probes have to be paid from the same
            // credit as statements.
            let is_cold = self.capacity_share(&self.hosts[host]) < 1.0;
            let has_credit = !is_cold || self.hosts[host].credit >= 0.1;
            if self.terms.may_probe && has_credit && self.is_sendable(&self.hosts[host]) {
                self.hosts[host].credit -= if is_cold { 0.1 } else { 0.0 };
                return Some(Decision::Probe { host });
            }
        }
        self.pending_logs.pop_front().map(Decision::Log)
    }

    fn group(&mut self, index: usize) -> &mut Group {
        while self.groups.len() <= index {
            // Each router starts its rotation at a random member. Starting in step, hundreds of routers sent
            // to the same member at once.
            self.groups.push(Group { cursor: self.rng.0.rand_u32() as usize % 997, ..Group::default() });
        }
        &mut self.groups[index]
    }

    /// Importance per unit of work, scaled by the late share once the SLO time is over.
    fn value_density(&self, statement_id: u64) -> f64 {
        let statement = &self.statements[&statement_id];
        let workload = &self.workloads[statement.workload];
        let late_factor = if self.now > statement.slo_deadline - 0.5 * workload.typical_duration {
            workload.late_share
        } else {
            1.0
        };
        workload.importance * late_factor * if statement.retry { 0.5 } else { 1.0 }
            / workload.typical_duration
    }

    fn decide_statement(&mut self, statement_id: u64) -> Option<Decision> {
        let now = self.now;
        let statement = self.statements.get_mut(&statement_id)?;
        let is_running = statement.executions.last().is_some_and(|running| running.ended_at.is_none());
        if statement.answered {
            if !is_running {
                let executions = self
                    .statements
                    .remove(&statement_id)
                    .map_or(Vec::new(), |statement| statement.executions);
                executions.iter().for_each(|running| self.hosts[running.host].executions -= 1);
                return None;
            }
            let execution = statement.executions.len() - 1;
            let cancel_settled = std::mem::replace(&mut statement.executions[execution].cancel_settled, true);
            return (!cancel_settled).then_some(Decision::Cancel { statement_id, execution });
        }
        let give_up_at = self.give_up_deadline(statement_id);
        let statement = self.statements.get_mut(&statement_id)?;
        let workload = &self.workloads[statement.workload];
        // A statement that can't meet its SLO any more would only take the slot of one that can. A running
        // execution continues past the SLO time, as its client would retry and the whole work would be
        // repeated. A statement that has just arrived is tried whatever the typical duration is: otherwise
        // slow answers after a start would end every statement unsent, and no answer would ever correct the
        // estimate.
        let latest_useful_start = workload.latest_useful_start(statement);
        let worthless_when_late =
            workload.late_share == 0.0 && !is_running && workload.effect == Effect::Idempotent;
        let no_further_execution = match () {
            () if is_running => None,
            () if statement.errors >= 2 => Some(FailureCause::ErrorsRepeated),
            () if statement.counted_executions() >= self.max_executions => {
                Some(FailureCause::ExecutionsSpent)
            }
            () if now >= workload.repeat_deadline(statement) - self.answer_margin => {
                Some(FailureCause::RepeatWindowOver)
            }
            () => None,
        };
        let time_over = (now >= give_up_at).then_some(FailureCause::TimeOver);
        let slo_over = (worthless_when_late && now > latest_useful_start).then_some(FailureCause::SloOver);
        if let Some(cause) = time_over.or(slo_over).or(no_further_execution) {
            return Some(self.give_final_answer(statement_id, cause));
        }
        let mut next_check_at =
            if worthless_when_late { latest_useful_start.min(give_up_at) } else { give_up_at };
        if let Some(running) = statement.executions.last().filter(|_| is_running) {
            let rotation_period = self.groups[statement.group].rotation_period();
            let host = &mut self.hosts[running.host];
            let silent_since = host.in_flight.first().map_or(now, |o| o.0).max(host.answered_at);
            // At the host's rate of completions, a silence of this length is unlikely to be chance.
            let silence_limit = (STUCK_DURATION_FACTOR * workload.typical_duration)
                .min(6.0 / host.meter.rate)
                .clamp(0.5 * FIRST_EJECTION_S, 4.0 * FIRST_EJECTION_S);
            if now - silent_since >= silence_limit && !host.unresponsive {
                // Protects against a host that accepts statements and answers none, whatever the list says
                // about it.
                host.unresponsive = true;
                host.eject(now, rotation_period, 1);
                self.changed_groups.insert(host.group);
            } else if !host.unresponsive {
                next_check_at = next_check_at.min(silent_since + silence_limit);
            }
        }
        let next_check_at = next_check_at.max(now + 0.002);
        // An earlier check that is still scheduled is enough; under overload, statements are checked very
        // often anyway.
        if statement.next_check_at <= now || next_check_at < statement.next_check_at {
            statement.next_check_at = next_check_at;
            self.schedule_check(next_check_at, statement_id);
        }
        if is_running {
            return None;
        }
        if let Some(chosen_host) =
            self.choose_host(statement_id).or_else(|| self.choose_trial_host(statement_id))
        {
            return Some(self.send(statement_id, chosen_host));
        }
        let wait_reason = self.current_wait_reason(statement_id);
        let statement = self.statements.get_mut(&statement_id)?;
        statement.wait_reason = Some(wait_reason);
        if !std::mem::replace(&mut statement.waiting, true) {
            self.groups[statement.group].waiting.push(statement_id);
            self.waiting_groups.insert(statement.group);
        }
        None
    }

    /// Schedules a check. Checks of statements that are over are dropped once they outnumber the others: clients choose
    /// how far ahead a check is.
    fn schedule_check(&mut self, at: f64, statement_id: u64) {
        self.scheduled_checks.push(Reverse((at.to_bits(), statement_id)));
        if self.scheduled_checks.len() > MIN_CHECKS_TO_DROP.max(CHECKS_PER_STATEMENT * self.statements.len())
        {
            let statements = &self.statements;
            self.scheduled_checks.retain(|Reverse((time, statement_id))| {
                statements.get(statement_id).is_some_and(|s| s.next_check_at.to_bits() == *time)
            });
        }
    }

    /// The number of scheduled checks, those of statements that are over included.
    pub fn scheduled_check_count(&self) -> usize {
        self.scheduled_checks.len()
    }

    /// Why no host was chosen for this statement just now.
    fn current_wait_reason(&self, statement_id: u64) -> WaitReason {
        let statement = &self.statements[&statement_id];
        let workload = &self.workloads[statement.workload];
        let any_replica = self.terms.hosts_check_reads && !statement.requires_known_position;
        if any_replica && !matches!(workload.consistency, Consistency::Write | Consistency::Fresh) {
            return WaitReason::ReplicasBusy;
        }
        let Some(primary) =
            self.groups[statement.group].primary.filter(|p| self.is_sendable(&self.hosts[*p]))
        else {
            return WaitReason::PrimaryUnknown;
        };
        let host = &self.hosts[primary];
        match () {
            () if host.unresponsive => WaitReason::PrimarySilent,
            () if host.ejected_until > self.now => WaitReason::PrimaryResting,
            () if !self.is_allowed(statement, primary) => WaitReason::PrimaryBarred,
            () => WaitReason::PrimaryFull,
        }
    }

    /// When a waiting statement is given up. A statement that can't meet its SLO, and has more statements
    /// ahead of it than its host completes in the remaining half of its time, is rejected at half of its time
    /// instead of waiting in vain. This doesn't apply while nothing is in flight at the host: its speed is
    /// unknown then, and the statement is about to be tried there.
    fn give_up_deadline(&self, statement_id: u64) -> f64 {
        let statement = &self.statements[&statement_id];
        let group = &self.groups[statement.group];
        let host_too_slow = |p: usize| {
            group.queue_position(statement_id)
                >= self.hosts[p].meter.rate * (statement.deadline - statement.halfway)
        };
        let is_congested = |p: usize| host_too_slow(p) && !self.is_idle(p, 0.0);
        let latest_useful_start = self.workloads[statement.workload].latest_useful_start(statement);
        let already_late = self.now < statement.halfway
            && latest_useful_start < statement.halfway - self.answer_margin
            && statement.executions.is_empty();
        let at_halfway = already_late && group.primary.is_some_and(is_congested);
        if at_halfway {
            statement.halfway - self.answer_margin
        } else {
            statement.deadline - self.answer_margin
        }
    }

    /// The only place that gives a final answer. A rejection promises that the client can safely retry.
    fn give_final_answer(&mut self, statement_id: u64, cause: FailureCause) -> Decision {
        let statement = self.statements.get_mut(&statement_id).expect("the statement is tracked");
        statement.answered = true;
        self.due_statements.push_back(statement_id);
        let workload = &mut self.workloads[statement.workload];
        workload.expected_retries =
            (workload.expected_retries + if statement.is_later_attempt { 0.0 } else { 3.0 }).min(64.0);
        let may_have_run = statement.executions.iter().any(|e| e.may_have_run);
        let always_deduplicated =
            workload.effect == Effect::Deduplicated && workload.dedup_scope == DedupScope::All;
        if workload.effect == Effect::Idempotent || always_deduplicated || !may_have_run {
            return Decision::Reject { statement_id, retry_after: self.terms.max_retry_after, cause };
        }
        Decision::Abort { statement_id, cause }
    }

    /// The only place that sends.
    fn send(&mut self, statement_id: u64, host_index: usize) -> Decision {
        let now = self.now;
        let statement = self.statements.get_mut(&statement_id).expect("the statement is tracked");
        statement.waiting = false;
        let repeat_deadline =
            self.workloads[statement.workload].repeat_deadline(statement) - self.answer_margin;
        let (cancel_settled, pool) = (!self.terms.may_cancel, self.groups[statement.group].pool(host_index));
        (self.pools[pool].in_flight, self.pools[pool].sent_at) = (self.pools[pool].in_flight + 1, now);
        let execution = Execution {
            host: host_index,
            pool,
            sent_at: now,
            ended_at: None,
            may_have_run: true,
            not_sent: false,
            cancel_settled,
        };
        statement.executions.push(execution);
        // A repeat that waits for a connection times out before it could arrive too late to be deduplicated.
        let (timeout, rotation_period) =
            (statement.deadline.min(repeat_deadline) - now, self.groups[statement.group].rotation_period());
        let typical_duration = self.workloads[statement.workload].typical_duration;
        if let Some(session) = statement.session.filter(|_| self.workloads[statement.workload].is_write()) {
            self.sessions.resize(self.sessions.len().max(session + 1), Session::default());
            let session_writes = &mut self.sessions[session];
            session_writes.answer_expected_by = if session_writes.writes_in_flight == 0 {
                now + typical_duration
            } else {
                session_writes.answer_expected_by
            };
            session_writes.writes_in_flight += 1;
        }
        let host = &mut self.hosts[host_index];
        host.in_flight.push((now, statement_id));
        host.executions += 1;
        (host.credit, host.sent_at) = (host.credit - 1.0, now);
        if host.consecutive_failures > 0 {
            host.eject(now, rotation_period, 0);
        }
        host.meter.update(now, false);
        Decision::Send { statement_id, host: host_index, timeout }
    }

    fn is_sendable(&self, host: &Host) -> bool {
        host.listed_readiness == Readiness::Active
            || (self.terms.only_draining_excludes
                && host.listed_readiness == Readiness::Gone
                && !host.seen_draining)
    }

    /// Checks the rules for a host that may be chosen, its slow start included.
    fn is_allowed(&self, statement: &Statement, host_index: usize) -> bool {
        let host = &self.hosts[host_index];
        let warm = self.capacity_share(host) >= 1.0 || host.credit >= 1.0;
        warm && self.keeps_rules(statement, host_index)
    }

    /// Checks the rules for a host apart from its slow start: its readiness, the data that it certainly has, and
    /// the effect of executions that may have run.
    fn keeps_rules(&self, statement: &Statement, host_index: usize) -> bool {
        let (host, workload) = (&self.hosts[host_index], &self.workloads[statement.workload]);
        let may_follow = |e: &Execution| match workload.effect {
            _ if !e.may_have_run || e.ended_at.is_none() => !e.may_have_run,
            Effect::Deduplicated if workload.dedup_scope == DedupScope::Zone => {
                self.hosts[e.host].zone == host.zone
            }
            _ => true,
        };
        let before_repeat_deadline = self.now < workload.repeat_deadline(statement) - self.answer_margin;
        // Where hosts don't check reads, only a host that the list or an answer names as primary is sure to
        // have current data.
        let has_current_data = self.terms.hosts_check_reads
            || workload.consistency != Consistency::Fresh
            || host.presumed_primary;
        let reaches_required_position = !statement.requires_known_position
            || host.known_position >= statement.required_position
            || host.presumed_primary;
        has_current_data
            && reaches_required_position
            && before_repeat_deadline
            && host.group == statement.group
            && self.is_sendable(host)
            && statement.executions.iter().all(may_follow)
    }

    /// The position that a host must be known to have reached, where hosts don't check reads.
    fn least_position(&self, statement: &Statement) -> f64 {
        let workload = &self.workloads[statement.workload];
        let session_writes =
            statement.session.and_then(|i| self.sessions.get(i)).copied().unwrap_or_default();
        match workload.consistency {
            Consistency::Bounded => self.now - workload.max_age,
            // A write that takes longer than usual may have lost its answer, and its position is unknown:
            // only the primary is safe.
            Consistency::Session
                if !self.terms.hosts_check_reads
                    && session_writes.writes_in_flight > 0
                    && self.now > session_writes.answer_expected_by =>
            {
                f64::INFINITY
            }
            Consistency::Session if !self.terms.hosts_check_reads => {
                statement.required_position.max(session_writes.written_position)
            }
            _ => statement.required_position,
        }
    }

    fn choose_host(&mut self, statement_id: u64) -> Option<usize> {
        let now = self.now;
        let statement = &self.statements[&statement_id];
        let workload = &self.workloads[statement.workload];
        let group = &self.groups[statement.group];
        let primary = group.primary.filter(|primary_index| self.is_sendable(&self.hosts[*primary_index]));
        let tried_within = |member: usize, seconds: f64| {
            statement
                .executions
                .iter()
                .any(|e| e.host == member && e.ended_at.is_none_or(|t| t > now - seconds))
        };
        if matches!(workload.consistency, Consistency::Write | Consistency::Fresh) {
            if let Some(primary_index) = primary {
                let host = &self.hosts[primary_index];
                // Writes are not used as trial traffic, since an unresponsive primary would swallow them.
                // Probes detect its return.
                if !host.unresponsive && host.ejected_until <= now {
                    return (self.has_capacity(primary_index, statement.workload, 1.0)
                        && self.is_allowed(statement, primary_index))
                    .then_some(primary_index);
                }
            } else if statement.counted_executions() < (self.max_executions / 2).max(1) {
                // An error from a process that is no member would leave a write that may have run.
                let is_member = |host: &Host| host.role_reported || !self.roleless_answer_seen;
                let may_be_primary =
                    |host: &Host| host.denied_primary_at < now - 0.4 && !host.unresponsive && is_member(host);
                let untried = |member: &usize| {
                    may_be_primary(&self.hosts[*member])
                        && !tried_within(*member, f64::INFINITY)
                        && self.is_allowed(statement, *member)
                };
                if let Some(&next) = group.members.iter().find(|member| untried(member)) {
                    return Some(next);
                }
            }
            self.groups_to_probe.insert(statement.group);
            return None;
        }
        let least_position = self.least_position(statement);
        let host_checks_position = self.terms.hosts_check_reads && !statement.requires_known_position;
        let (member_count, last_execution) =
            (group.members.len(), statement.counted_executions() + 1 >= self.max_executions);
        let (mut best_lagging, mut best_position, mut any_full, mut position_unknown, mut any_up_to_date) =
            (None, 0.0, false, false, false);
        // While hosts refuse connections, a host that answered recently most likely still has an open
        // connection.
        let may_be_connected = |host: &Host| {
            now > self.connect_failed_at + self.terms.idle_close
                || now < host.answered_at + self.terms.idle_close
        };
        let is_ready = |member: usize| {
            let host = &self.hosts[member];
            self.is_allowed(statement, member)
                && !tried_within(member, 0.1)
                && host.ejected_until <= now
                && may_be_connected(host)
        };
        if workload.consistency == Consistency::Any && !last_execution {
            // Reads without a consistency requirement go to lagging replicas, which can't serve other reads.
            // They go to the same replicas first, so that reads which hold up replication do so on few. This
            // could overload these replicas if most traffic is of this kind.
            let lagging_with_capacity = |member: &usize| {
                let host = &self.hosts[*member];
                let lags = now < host.refused_stale_at + LAG_MEMORY_S.max(8.0 * group.rotation_period());
                Some(*member) != primary
                    && lags
                    && is_ready(*member)
                    && self.has_capacity(*member, statement.workload, 1.0)
            };
            if let Some(member) = group.members.iter().copied().find(lagging_with_capacity) {
                return Some(member);
            }
        }
        for slot in (0..member_count).map(|step| (group.cursor + step) % member_count) {
            let member = group.members[slot];
            let host = &self.hosts[member];
            let is_ready = is_ready(member);
            let known = host_checks_position || host.known_position >= least_position;
            let predicted_position =
                host.position_bound.0 + MAX_CATCH_UP_RATE * (now - host.position_bound.1);
            (position_unknown, any_up_to_date) = (
                position_unknown || (!known && least_position.is_finite()),
                any_up_to_date || (predicted_position >= least_position && Some(member) != primary),
            );
            if Some(member) == primary || last_execution || !is_ready || !known {
                continue;
            }
            if !self.has_capacity(member, statement.workload, 1.0) {
                any_full = true;
            } else if predicted_position >= least_position {
                self.groups[statement.group].cursor = slot + 1;
                return Some(member);
            } else if predicted_position > best_position {
                (best_lagging, best_position) = (Some(member), predicted_position);
            }
        }
        // Every replica is known to lag: by the design, a bounded read's first send still goes to the most
        // current one.
        let replica_expected = best_lagging.is_some() || (any_full && !any_up_to_date);
        if workload.consistency == Consistency::Bounded && statement.executions.is_empty() && replica_expected
        {
            return best_lagging;
        }
        if position_unknown || primary.is_none_or(|primary_index| self.hosts[primary_index].unresponsive) {
            self.groups_to_probe.insert(statement.group);
        }
        let group = &self.groups[statement.group];
        if let Some(primary_index) = primary {
            let host = &self.hosts[primary_index];
            let usable = !host.unresponsive
                && !tried_within(primary_index, 0.0)
                && self.is_allowed(statement, primary_index)
                && (host_checks_position || host.presumed_primary);
            // The primary's capacity belongs to the writes as far as they are worth more per unit of work.
            let read_share = (workload.value_density() / self.max_value_density(true)).min(1.0)
                * if any_full { 0.5 } else { 0.8 };
            if usable && self.has_capacity(primary_index, statement.workload, read_share) {
                return Some(primary_index);
            }
        }
        if !any_full
            && best_lagging.is_none()
            && statement.executions.is_empty()
            && host_checks_position
            && member_count > 0
        {
            // All replicas are ejected. One must still be tried, or a group whose hosts all failed would
            // never be noticed to recover.
            let may_be_asked = |member: &usize| {
                self.hosts[*member].in_flight.len() < 2 && self.is_allowed(statement, *member)
            };
            let found = (0..member_count)
                .map(|i| group.members[(group.cursor + i) % member_count])
                .find(may_be_asked);
            self.groups[statement.group].cursor += 1;
            return found;
        }
        None
    }

    /// Requests probes of a group's members a few times a second: for their role while no primary is usable,
    /// or for their position where hosts don't check reads and none is known to be current enough.
    fn request_probes(&mut self, group: usize) {
        let group_state = &mut self.groups[group];
        if self.now >= group_state.next_probe_at {
            group_state.next_probe_at = self.now + 0.2 + 0.2 * self.rng.0.rand_float() as f64;
            // A primary that answers no statement here but answers probes as primary is not lost. The other
            // members have nothing to report (positions come with answers), and the primary itself is probed
            // again once its ejection is over.
            let only_role_wanted = self.terms.hosts_check_reads && self.terms.answers_carry_position;
            let recently_claimed = |primary: &usize| {
                only_role_wanted && self.hosts[*primary].claimed_primary_at > self.now - PRIMARY_CLAIM_VALID_S
            };
            match group_state.primary.filter(recently_claimed) {
                Some(primary)
                    if self.hosts[primary].ejected_until > self.now
                        && self.hosts[primary].unreachable_since.is_none() => {}
                Some(primary) => self.pending_probes.push_back(primary),
                None => self.pending_probes.extend(group_state.members.iter().copied()),
            }
            if group_state.primary.is_none() {
                self.push_log(format!("group {group}: no usable primary, probing its members"));
            }
        }
    }

    /// Records a host's latest reported role. An answer outranks a probe, whose report may be older.
    fn update_role(&mut self, host_index: usize, is_primary: bool, from_answer: bool) {
        let now = self.now;
        let host = &mut self.hosts[host_index];
        (host.role_reported, self.roles_reported) = (true, true);
        host.claimed_primary_at = if is_primary { now } else { 0.0 };
        let (group, unresponsive, current_primary) =
            (host.group, host.unresponsive, self.groups[host.group].primary);
        if is_primary && (from_answer || host.denied_primary_at < now - 1.0) {
            host.presumed_primary |= from_answer;
            let trusted = current_primary
                .is_some_and(|c| !self.hosts[c].unresponsive && self.is_sendable(&self.hosts[c]));
            if current_primary != Some(host_index) && (from_answer || !(trusted || unresponsive)) {
                self.groups[group].primary = Some(host_index);
                self.changed_groups.insert(group);
                self.push_log(format!("group {group}: primary is now host {host_index}"));
            }
        } else if !is_primary && from_answer {
            (host.denied_primary_at, host.presumed_primary) = (now, false);
            if current_primary == Some(host_index) {
                self.groups[group].primary = None;
                self.changed_groups.insert(group);
            }
        }
    }

    fn push_log(&mut self, line: String) {
        if self.log_count < 40 {
            self.log_count += 1;
            self.pending_logs.push_back(line);
        }
    }
}

//! Passes messages and other inputs to the routing policy, turns its decisions into commands and final
//! answers, and reports when the policy wants to run again. It uses no sockets and knows no protocol.
use crate::counters::DispatcherCounters;
use crate::messages::{
    Command, DispatcherMessage, FinalAnswer, HostListUpdate, LogEvent, StartStep, StatementRequest,
};
use crate::outcome::Ending;
use crate::recent_ids::RecentIds;
use crate::source::{DispatcherInput, Source};
use crate::task::{Answer, HostTask, StatementPayload, TaskKind};
use sandstile_deployment::host_list::HostList;
use sandstile_deployment::interner::Interner;
use sandstile_deployment::session_slots::SessionSlots;
use sandstile_limits::{Limits, RetryAdmission};
use sandstile_policy::policy::Instance;
use sandstile_policy::terms::{Arrival, Decision, FailureCause, ReadRequirement, Readiness};
use sandstile_restart_pacing::{Admission, AdmissionRamp, StallDetector};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A statement that the policy still tracks.
struct OpenStatement {
    id: String,
    taken_at: f64,
    group: usize,
    payload: Arc<dyn StatementPayload>,
    /// The connection that waits for the answer; `None` once it was answered or the client has left.
    client_connection: Option<usize>,
    /// The database host of each execution.
    hosts: Vec<usize>,
    /// An execution has ended that may have run.
    may_have_run: bool,
    workload: usize,
    retry: bool,
}

pub struct Dispatcher {
    policy: Instance,
    pub counters: Arc<DispatcherCounters>,
    hosts: Interner,
    groups: Interner,
    sessions: SessionSlots,
    list: HostList,
    sources: Vec<Box<dyn Source>>,
    commands: VecDeque<Command>,
    answers: VecDeque<FinalAnswer>,
    log_events: Vec<LogEvent>,
    /// Retry-storm limits and the longest retry delay in seconds, if the local configuration file enables
    /// them.
    pub limits: Option<(Limits, f64)>,
    /// The admission ramp with the longest retry delay in seconds, and the stall detector, if the local
    /// configuration file enables them.
    pub ramp: Option<(AdmissionRamp, f64)>,
    pub stall: Option<StallDetector>,
    /// The longest retry delay from the settings, in seconds.
    pub max_return_delay: f64,
    open: BTreeMap<u64, OpenStatement>,
    /// The client-supplied ids of the open statements.
    open_ids: BTreeSet<String>,
    /// The ids of statements that may have run and are not open any more.
    recent_ids: RecentIds,
    /// Rejections and aborts of the current round. They are handed out after the round's cancellations;
    /// otherwise a connection that becomes ready in between could still write a statement that has been
    /// answered.
    round_refusals: Vec<FinalAnswer>,
    /// Probes in flight for each database host.
    probes: BTreeMap<usize, usize>,
    /// Statements to check for completion once the decisions of this round are out.
    finish_candidates: Vec<u64>,
    /// When the policy last ran.
    decided_at: f64,
    /// When a statement refused without being sent was last logged.
    unsent_logged_at: f64,
    /// Whether every step of every statement is logged.
    pub trace_steps: bool,
}

/// The shortest time in seconds between two runs that only a timer asks for. The platform's timers are no
/// finer, and sleeping for zero seconds would spin.
const MIN_RUN_INTERVAL: f64 = 0.001;
/// Seconds between log events about statements refused without being sent, unless every step is logged.
const UNSENT_LOG_INTERVAL: f64 = 0.25;

impl Dispatcher {
    /// `seed` is for assigning sessions to their slots, and for the hashes of ids.
    pub fn new(policy: Instance, seed: u64, counters: Arc<DispatcherCounters>) -> Self {
        Dispatcher {
            policy,
            counters,
            limits: None,
            ramp: None,
            stall: None,
            max_return_delay: 0.0,
            decided_at: f64::NEG_INFINITY,
            unsent_logged_at: f64::NEG_INFINITY,
            trace_steps: false,
            hosts: Interner::default(),
            groups: Interner::default(),
            sessions: SessionSlots::new(seed),
            list: HostList::default(),
            sources: Vec::new(),
            commands: VecDeque::new(),
            answers: VecDeque::new(),
            log_events: Vec::new(),
            open: BTreeMap::new(),
            open_ids: BTreeSet::new(),
            recent_ids: RecentIds::new(seed),
            round_refusals: Vec::new(),
            probes: BTreeMap::new(),
            finish_candidates: Vec::new(),
        }
    }

    /// Sources are polled in the order in which they were added.
    pub fn add(&mut self, source: Box<dyn Source>) {
        self.sources.push(source);
    }

    /// Whether a source has input.
    pub fn pending(&self) -> bool {
        self.sources.iter().any(|s| s.pending())
    }

    /// Takes the input of all sources; returns `false` if there was none.
    pub fn poll_sources(&mut self, now: f64) -> bool {
        let inputs: Vec<DispatcherInput> = self.sources.iter_mut().flat_map(|s| s.take_inputs(now)).collect();
        let has_input = !inputs.is_empty();
        for input in inputs {
            match input {
                DispatcherInput::HostList(update) => self.apply_host_list(now, update),
                DispatcherInput::RouterCount(routers) => {
                    self.policy.set_router_count(routers);
                    self.commands.push_back(Command::RouterCount(routers));
                    self.log_events.push(LogEvent::RouterCount(routers));
                }
                DispatcherInput::RefusedElsewhere(host, age) => {
                    if let Some(host) = self.hosts.find(&host) {
                        self.policy.failure_reported_by_peer(now, host, age);
                    }
                }
            }
        }
        has_input
    }

    /// Runs the policy if input was received or if it is due. Returns `false` if there was nothing to do.
    pub fn decide_if_due(&mut self, now: f64, received: bool) -> bool {
        if self.blocks_starts(now) {
            // Waits for the host list first.
            return received;
        }
        if received || self.due(now) <= now {
            self.decide(now);
            return true;
        }
        false
    }

    /// When the policy is next due; infinite if never.
    pub fn due(&self, now: f64) -> f64 {
        let policy_due = self
            .policy
            .wake_at()
            .map_or(f64::INFINITY, |wake_at| wake_at.max(self.decided_at + MIN_RUN_INTERVAL));
        match &self.stall {
            Some(stall) if stall.blocks_decisions(now) => stall.next_check_at(),
            Some(stall) => policy_due.min(stall.next_check_at()),
            None => policy_due,
        }
    }

    /// Whether nothing may begin now: what is known dates from before a stall.
    pub fn blocks_starts(&self, now: f64) -> bool {
        self.stall.as_ref().is_some_and(|stall| stall.blocks_decisions(now))
    }

    /// Whether a task that waits for a connection may still go to this host. A task that may not is to be reported
    /// as `Outdated`. To be asked for `StartStep::Begin` right before the first byte is written.
    pub fn may_start(&mut self, now: f64, host: usize, task: &HostTask, step: StartStep) -> bool {
        let Some((statement_id, execution)) = task.execution_id() else {
            return self.policy.may_start_probe(host);
        };
        let is_awaited =
            self.open.get(&statement_id).is_some_and(|statement| statement.client_connection.is_some());
        let allowed =
            is_awaited && now < task.deadline && self.policy.may_start(now, statement_id, execution);
        if allowed && step == StartStep::Begin {
            self.policy.execution_started(statement_id, execution);
        }
        allowed
    }

    /// To be called in each iteration of the event loop: a call that comes far too late shows that this
    /// process stalled.
    pub fn check_for_stall(&mut self, now: f64) {
        if let Some(stalled_for) = self.stall.as_mut().and_then(|s| s.check(now)) {
            self.log_events.push(LogEvent::Stalled(stalled_for));
            self.counters.stalls.add();
        }
    }

    /// The next command. All commands are to be carried out before the next answer is sent.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    pub fn next_answer(&mut self) -> Option<FinalAnswer> {
        self.answers.pop_front()
    }

    pub fn take_log_events(&mut self) -> Vec<LogEvent> {
        std::mem::take(&mut self.log_events)
    }

    /// The number of statements that are not finished.
    pub fn open_statements(&self) -> usize {
        self.open.len()
    }

    pub fn handle(&mut self, now: f64, message: DispatcherMessage) {
        match message {
            DispatcherMessage::StatementRequest(mut request) => {
                let has_run = self.recent_ids.contains(now, &request.id);
                if has_run || !self.open_ids.insert(request.id.clone()) {
                    return self.answer_request(&request, Answer::Unusable);
                }
                self.counters.taken.add();
                let group = self.known_group(&mut request);
                self.sources.iter_mut().for_each(|s| s.statement_arrived(now, &request));
                if let Some((limits, max_delay)) = &mut self.limits {
                    if limits.admit(now, request.workload, group, request.retry) == RetryAdmission::TurnAway {
                        // The policy never sees it. Nothing was sent, so a retry is harmless.
                        let delay = limits.retry_after(now, *max_delay);
                        self.counters.turned_away.add();
                        return self.turn_away(&request, delay);
                    }
                }
                // It arrived at an unknown time during the stall, so its deadline may have passed. Nothing
                // was sent.
                let time_lost = self.stall.as_ref().map_or(0.0, |s| s.time_lost(now));
                if time_lost > 0.0 && request.deadline - time_lost <= now {
                    return self.turn_away(&request, self.max_return_delay);
                }
                if let Some((ramp, max_delay)) = &mut self.ramp {
                    if ramp.admit(request.statement_id) == Admission::TurnAway {
                        let max_delay = *max_delay;
                        let delay = self
                            .limits
                            .as_mut()
                            .map_or(max_delay, |(limits, max_delay)| limits.retry_after(now, *max_delay));
                        self.counters.ramped.add();
                        return self.turn_away(&request, delay);
                    }
                }
                let term = self.policy.reported_term(group);
                let read_requirement = self
                    .sources
                    .iter_mut()
                    .filter_map(|s| s.read_requirement(now, &request, term))
                    .reduce(stricter);
                let arrival = Arrival {
                    workload: request.workload,
                    group,
                    session: request.session.map(|name| self.session_slot(&name, request.writes)),
                    time_left: request.deadline - now,
                    timeout: request.timeout,
                    // Negative if the clock of whoever issued the token runs ahead; the position is still
                    // valid.
                    token_age: request.last_write_at.map(|written_at| now - written_at),
                    retry: request.retry,
                    read_requirement,
                };
                let open = OpenStatement {
                    id: request.id,
                    taken_at: now,
                    group: arrival.group,
                    payload: request.payload,
                    client_connection: Some(request.client_connection),
                    hosts: Vec::new(),
                    may_have_run: false,
                    workload: request.workload,
                    retry: request.retry,
                };
                self.open.insert(request.statement_id, open);
                self.policy.statement_arrived(now, request.statement_id, &arrival);
            }
            DispatcherMessage::ClientGone(statement_id) => {
                if let Some(open) = self.open.get_mut(&statement_id).filter(|o| o.client_connection.is_some())
                {
                    self.counters.clients_gone.add();
                    open.client_connection = None;
                    self.finish_candidates.push(statement_id);
                    if let Some((ramp, _)) = &mut self.ramp {
                        ramp.statement_ended(statement_id, false);
                    }
                    self.policy.client_gone(now, statement_id);
                    self.cancel_unsent(statement_id);
                }
            }
            DispatcherMessage::Waits { statement_id, execution } => {
                self.policy.execution_waits(statement_id, execution)
            }
            DispatcherMessage::Ended { statement_id, execution, mut outcome } => {
                let Some(open) = self.open.get_mut(&statement_id) else { return };
                open.may_have_run |= outcome.ending.outcome_class().may_have_run();
                if let (Some(term), Some(&host)) = (outcome.term, open.hosts.get(execution)) {
                    if !self.policy.record_term(host, term) {
                        // The host follows an older term than its group, so its position says nothing.
                        outcome.host_report.position = None;
                    }
                }
                self.sources.iter_mut().for_each(|s| s.execution_ended(now, statement_id, &mut outcome));
                if let Some(&host) = open.hosts.get(execution) {
                    let name = self.hosts.name(host);
                    self.sources.iter_mut().for_each(|s| s.execution_ended_on_host(now, name, &outcome));
                }
                if outcome.ending == Ending::Completed {
                    if let Some(client_connection) = open.client_connection.take() {
                        self.counters.completed.add();
                        if let Some((ramp, _)) = &mut self.ramp {
                            ramp.statement_ended(statement_id, true);
                        }
                        if let Some((limits, _)) = &mut self.limits {
                            limits.record_answer(now, open.workload, open.group, true, !open.retry);
                        }
                        let rows = std::mem::take(&mut outcome.rows);
                        let answer = FinalAnswer {
                            client_connection,
                            statement_id,
                            answer: Answer::Completed(rows, None),
                        };
                        let mut sources = self.sources.iter_mut();
                        let answer = sources.try_fold(answer, |answer, s| s.completed(now, &outcome, answer));
                        self.answers.extend(answer);
                    } else {
                        self.sources
                            .iter_mut()
                            .for_each(|s| s.completed_without_client(now, statement_id, &outcome));
                    }
                }
                let client_done = open.client_connection.is_none();
                self.finish_candidates.push(statement_id);
                self.trace(|| LogEvent::Ended { statement_id, execution, ending: outcome.ending });
                self.policy.execution_ended(
                    now,
                    statement_id,
                    execution,
                    outcome.ending.outcome_class(),
                    client_done,
                    outcome.host_report,
                );
            }
            DispatcherMessage::Probed { host, mut outcome } => {
                if outcome.term.is_some_and(|term| !self.policy.record_term(host, term)) {
                    outcome.host_report.position = None;
                }
                if let Some(in_flight) = self.probes.get_mut(&host) {
                    *in_flight = in_flight.saturating_sub(1);
                }
                let name = self.hosts.name(host);
                self.sources.iter_mut().for_each(|s| s.probe_ended(now, name, &outcome));
                self.policy.probe_ended(now, host, outcome.ending == Ending::Completed, outcome.host_report);
            }
        }
    }

    /// The request's group. Groups that are in no host list share one group without hosts and without a name.
    /// Otherwise clients could fill the memory with group names.
    fn known_group(&mut self, request: &mut StatementRequest) -> usize {
        self.groups.find(&request.group).unwrap_or_else(|| {
            request.group = String::new();
            self.groups.intern("")
        })
    }

    fn session_slot(&mut self, name: &str, writes: bool) -> usize {
        if !writes {
            return self.sessions.slot(name);
        }
        let write_slot = self.sessions.write_slot(name);
        if write_slot.is_shared {
            self.counters.session_slots_shared.add();
        }
        write_slot.slot
    }

    /// Logs a step of a statement if steps are logged.
    fn trace(&mut self, step: impl FnOnce() -> LogEvent) {
        if self.trace_steps {
            self.log_events.push(step());
        }
    }

    /// Counts and logs why a statement that is refused without being sent had waited.
    fn report_unsent(&mut self, now: f64, statement_id: u64, cause: FailureCause) {
        let Some(open) = self.open.get(&statement_id).filter(|open| open.hosts.is_empty()) else { return };
        let wait_reason = self.policy.wait_reason(statement_id);
        if let Some(wait_reason) = wait_reason {
            self.counters.refused_unsent(wait_reason);
        }
        if self.trace_steps || now >= self.unsent_logged_at + UNSENT_LOG_INTERVAL {
            self.unsent_logged_at = now;
            let (id, group, waited) = (open.id.clone(), open.group, now - open.taken_at);
            self.log_events.push(LogEvent::RefusedUnsent {
                statement_id,
                id,
                group,
                cause,
                wait_reason,
                waited,
            });
        }
    }

    fn answer_request(&mut self, request: &StatementRequest, answer: Answer) {
        self.answers.push_back(FinalAnswer {
            client_connection: request.client_connection,
            statement_id: request.statement_id,
            answer,
        });
    }

    /// The policy never sees it. Nothing was sent, so a retry is harmless.
    fn turn_away(&mut self, request: &StatementRequest, delay: f64) {
        self.open_ids.remove(&request.id);
        self.counters.rejected.add();
        self.answer_request(request, Answer::Rejected(delay));
    }

    fn apply_host_list(&mut self, now: f64, update: HostListUpdate) {
        if let Some(stall) = &mut self.stall {
            stall.list_received();
        }
        for (name, address) in update.addresses {
            let host = self.hosts.intern(&name);
            self.commands.push_back(Command::UpdateHost { host, name, address });
        }
        for entry in &update.entries {
            if self.groups.find(&entry.group).is_none() {
                self.log_events
                    .push(LogEvent::GroupAdded(self.groups.intern(&entry.group), entry.group.clone()));
            }
        }
        let list = self.list.merge(update.is_snapshot, &update.entries, &mut self.hosts, &mut self.groups);
        self.policy.update_hosts(now, &list);
        let departing = list.iter().filter(|listed| listed.readiness != Readiness::Active);
        self.commands.extend(departing.map(|listed| Command::RecheckWaiting(listed.host)));
        self.remove_departed();
    }

    /// Removes hosts that have left for good and groups without hosts. A host with a probe in flight stays
    /// until the next list; otherwise the probe's result would be attributed to the next host with the same
    /// index.
    fn remove_departed(&mut self) {
        let (policy, probes) = (&mut self.policy, &mut self.probes);
        probes.retain(|_, in_flight| *in_flight > 0);
        for (name, host) in
            self.list.drop_gone(|host| !probes.contains_key(&host) && policy.forget_host(host))
        {
            self.commands.push_back(Command::RemoveHost(host));
            self.hosts.release(&name);
            self.log_events.push(LogEvent::HostRemoved(host, name));
        }
        let open = &self.open;
        let unused = |group: usize| !open.values().any(|open| open.group == group);
        for group in self.list.drop_empty_groups(unused) {
            self.groups.release_index(group);
        }
    }

    fn decide(&mut self, now: f64) {
        self.decided_at = now;
        self.policy.advance_time(now);
        while let Some(decision) = self.policy.decide() {
            match decision {
                Decision::Send { statement_id, host, timeout } => {
                    let Some(open) = self.open.get_mut(&statement_id) else { continue };
                    let kind = TaskKind::Statement {
                        statement_id,
                        execution: open.hosts.len(),
                        payload: open.payload.clone(),
                    };
                    let execution = open.hosts.len();
                    open.hosts.push(host);
                    if execution > 0 {
                        self.counters.further_executions.add();
                    }
                    self.trace(|| LogEvent::Sent { statement_id, execution, host });
                    self.commands.push_back(Command::Start(host, HostTask { kind, deadline: now + timeout }));
                }
                Decision::Reject { statement_id, retry_after, cause } => {
                    self.counters.rejected.add();
                    self.counters.refused(cause);
                    self.trace(|| LogEvent::Refused { statement_id, cause });
                    self.report_unsent(now, statement_id, cause);
                    let delay = match &mut self.limits {
                        Some((limits, _)) => limits.retry_after(now, retry_after),
                        None => retry_after,
                    };
                    self.answer(statement_id, Answer::Rejected(delay));
                }
                Decision::Abort { statement_id, cause } => {
                    self.counters.aborted.add();
                    self.counters.refused(cause);
                    self.trace(|| LogEvent::Refused { statement_id, cause });
                    self.answer(statement_id, Answer::Aborted);
                }
                Decision::Cancel { statement_id, execution } => {
                    if let Some(&host) = self.open.get(&statement_id).and_then(|o| o.hosts.get(execution)) {
                        self.commands.push_back(Command::Cancel { host, statement_id, execution });
                    }
                }
                Decision::Probe { host } => {
                    let name = self.hosts.name(host);
                    // Peers may report who is primary, but a host's position has to be probed here.
                    if self.policy.group_lacks_primary(host)
                        && !self.sources.iter_mut().all(|s| s.may_probe(now, name))
                    {
                        self.counters.probes_left.add();
                        continue;
                    }
                    *self.probes.entry(host).or_default() += 1;
                    self.commands.push_back(Command::Probe(host));
                }
                // Discovery is watched from the start and the watch reopens by itself.
                Decision::Subscribe => {}
                Decision::Log(text) => self.log_events.push(LogEvent::PolicyMessage(text)),
            }
        }
        if let Some((limits, _)) = &mut self.limits {
            for change in limits.take_changes() {
                self.log_events.push(LogEvent::Storm(change.begins, format!("{:?}", change.sign)));
                if change.begins {
                    self.counters.storms.add();
                }
            }
        }
        self.answers.extend(self.round_refusals.drain(..));
        for statement_id in self.finish_candidates.drain(..) {
            if !self.policy.is_tracked(statement_id) {
                if let Some(open) = self.open.remove(&statement_id) {
                    self.open_ids.remove(&open.id);
                    if open.may_have_run && self.recent_ids.insert(now, &open.id) {
                        self.counters.ids_forgotten_early.add();
                    }
                    self.sources.iter_mut().for_each(|s| s.statement_closed(statement_id));
                }
            }
        }
    }

    /// Cancels the last execution if it still waits for a connection. That sends nothing to a host, so it is
    /// allowed even where executions may not be cancelled.
    fn cancel_unsent(&mut self, statement_id: u64) {
        let Some(hosts) = self.open.get(&statement_id).map(|o| &o.hosts) else { return };
        if let (Some(&host), execution) = (hosts.last(), hosts.len().saturating_sub(1)) {
            self.commands.push_back(Command::CancelUnsent { host, statement_id, execution });
        }
    }

    fn answer(&mut self, statement_id: u64, answer: Answer) {
        self.finish_candidates.push(statement_id);
        self.cancel_unsent(statement_id);
        let Some(open) = self.open.get_mut(&statement_id) else { return };
        if let Some(client_connection) = open.client_connection.take() {
            if let Some((ramp, _)) = &mut self.ramp {
                ramp.statement_ended(statement_id, false);
            }
            if let Some((limits, _)) = &mut self.limits {
                limits.record_answer(self.decided_at, open.workload, open.group, false, !open.retry);
            }
            self.round_refusals.push(FinalAnswer { client_connection, statement_id, answer });
        }
    }
}

/// Returns the stricter of two read requirements.
fn stricter(one: ReadRequirement, other: ReadRequirement) -> ReadRequirement {
    match (one, other) {
        (ReadRequirement::Position(a), ReadRequirement::Position(b)) => ReadRequirement::Position(a.max(b)),
        _ => ReadRequirement::Primary,
    }
}

//! Passes messages and other inputs to the routing policy, turns its decisions into commands and final
//! answers, and reports when the policy wants to run again. It uses no sockets and knows no protocol.
use crate::counters::DispatcherCounters;
use crate::messages::{Command, DispatcherMessage, FinalAnswer, HostListUpdate, LogEvent, StatementRequest};
use crate::outcome::Ending;
use crate::source::{DispatcherInput, Source};
use crate::task::{Answer, HostTask, StatementPayload, TaskKind};
use sandstile_deployment::host_list::HostList;
use sandstile_deployment::interner::Interner;
use sandstile_limits::{Limits, RetryAdmission};
use sandstile_policy::policy::Instance;
use sandstile_policy::terms::{Arrival, Decision, FailureCause, ReadRequirement};
use sandstile_restart_pacing::{Admission, AdmissionRamp, StallDetector};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A statement that the policy still tracks.
struct Open {
    id: String,
    taken_at: f64,
    group: usize,
    payload: Arc<dyn StatementPayload>,
    /// The connection that waits for the answer; `None` once it was answered or the client has left.
    client_connection: Option<usize>,
    /// The database host of each execution.
    hosts: Vec<usize>,
    workload: usize,
    retry: bool,
}

pub struct Dispatcher {
    policy: Instance,
    pub counts: Arc<DispatcherCounters>,
    hosts: Interner,
    groups: Interner,
    sessions: Interner,
    list: HostList,
    sources: Vec<Box<dyn Source>>,
    orders: VecDeque<Command>,
    answers: VecDeque<FinalAnswer>,
    said: Vec<LogEvent>,
    /// Retry-storm limits and the longest retry delay in seconds, if the local configuration file enables
    /// them.
    pub limits: Option<(Limits, f64)>,
    /// The admission ramp with the longest retry delay in seconds, and the stall detector, if the local
    /// configuration file enables them.
    pub ramp: Option<(AdmissionRamp, f64)>,
    pub stall: Option<StallDetector>,
    /// The longest retry delay from the settings, in seconds.
    pub max_return_delay: f64,
    open: BTreeMap<u64, Open>,
    /// The client-supplied ids of the open statements.
    ids: BTreeSet<String>,
    /// Rejections and aborts of the current round. They are handed out after the round's cancellations;
    /// otherwise a connection that becomes ready in between could still write a statement that has been
    /// answered.
    given_up: Vec<FinalAnswer>,
    /// Probes in flight for each database host.
    probes: BTreeMap<usize, usize>,
    /// Statements to check for completion once the decisions of this round are out.
    ending: Vec<u64>,
    /// When the policy last ran.
    decided: f64,
    /// When a statement refused without being sent was last logged.
    unsent_said_at: f64,
    /// Whether every step of every statement is logged.
    pub trace_steps: bool,
}

/// The shortest time in seconds between two runs that only a timer asks for. The platform's timers are no
/// finer, and sleeping for zero seconds would spin.
const SHORTEST_SLEEP: f64 = 0.001;
/// Seconds between log events about statements refused without being sent, unless every step is logged.
const UNSENT_LOG_GAP: f64 = 0.25;
/// Sessions that have written are remembered up to this number (about 0.5 MB of names), the most recent ones.
/// Replicas may lag behind their writes for seconds. A reused index carries over the position of an older
/// write, so at worst a read of the new session avoids a replica that lags behind that older write.
const MOST_SESSIONS: usize = 1 << 12;

impl Dispatcher {
    pub fn new(policy: Instance, counts: Arc<DispatcherCounters>) -> Self {
        Dispatcher {
            policy,
            counts,
            limits: None,
            ramp: None,
            stall: None,
            max_return_delay: 0.0,
            decided: f64::NEG_INFINITY,
            unsent_said_at: f64::NEG_INFINITY,
            trace_steps: false,
            hosts: Interner::default(),
            groups: Interner::default(),
            sessions: Interner::with_limit(MOST_SESSIONS),
            list: HostList::default(),
            sources: Vec::new(),
            orders: VecDeque::new(),
            answers: VecDeque::new(),
            said: Vec::new(),
            open: BTreeMap::new(),
            ids: BTreeSet::new(),
            given_up: Vec::new(),
            probes: BTreeMap::new(),
            ending: Vec::new(),
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
        let facts: Vec<DispatcherInput> = self.sources.iter_mut().flat_map(|s| s.take_inputs(now)).collect();
        let any = !facts.is_empty();
        for fact in facts {
            match fact {
                DispatcherInput::HostList(update) => self.listed(now, update),
                DispatcherInput::RouterCount(n) => {
                    self.policy.set_router_count(n);
                    self.orders.push_back(Command::RouterCount(n));
                    self.said.push(LogEvent::RouterCount(n));
                }
                DispatcherInput::RefusedElsewhere(host, age) => {
                    if let Some(host) = self.hosts.find(&host) {
                        self.policy.failure_reported_by_peer(now, host, age);
                    }
                }
            }
        }
        any
    }

    /// Runs the policy if input was received or if it is due. Returns `false` if there was nothing to do.
    pub fn decide_if_due(&mut self, now: f64, took: bool) -> bool {
        if self.stall.as_ref().is_some_and(|s| s.holds(now)) {
            // What is known dates from before the stall: wait for the host list first.
            return took;
        }
        if took || self.due(now) <= now {
            self.decide(now);
            return true;
        }
        false
    }

    /// When the policy is next due; infinite if never.
    pub fn due(&self, now: f64) -> f64 {
        let decides = self.policy.wake_at().map_or(f64::INFINITY, |at| at.max(self.decided + SHORTEST_SLEEP));
        match &self.stall {
            Some(stall) if stall.holds(now) => stall.due(),
            Some(stall) => decides.min(stall.due()),
            None => decides,
        }
    }

    /// To be called in each iteration of the event loop: a call that comes far too late shows that this
    /// process stalled.
    pub fn check_for_stall(&mut self, now: f64) {
        if let Some(stood) = self.stall.as_mut().and_then(|s| s.look(now)) {
            self.said.push(LogEvent::Stalled(stood));
            self.counts.stalls.add();
        }
    }

    /// The next command. All commands are to be carried out before the next answer is sent.
    pub fn next_command(&mut self) -> Option<Command> {
        self.orders.pop_front()
    }

    pub fn next_answer(&mut self) -> Option<FinalAnswer> {
        self.answers.pop_front()
    }

    pub fn take_log_events(&mut self) -> Vec<LogEvent> {
        std::mem::take(&mut self.said)
    }

    /// The number of statements that are not finished.
    pub fn open_statements(&self) -> usize {
        self.open.len()
    }

    pub fn handle(&mut self, now: f64, mail: DispatcherMessage) {
        match mail {
            DispatcherMessage::StatementRequest(asked) => {
                if !self.ids.insert(asked.id.clone()) {
                    return self.give(&asked, Answer::Unusable);
                }
                self.counts.taken.add();
                self.sources.iter_mut().for_each(|s| s.statement_arrived(now, &asked));
                // Groups that are in no host list share one group without hosts. Otherwise clients could fill
                // the memory with group names.
                let group = self.groups.find(&asked.group).unwrap_or_else(|| self.groups.intern(""));
                if let Some((limits, most)) = &mut self.limits {
                    if limits.asked(now, asked.workload, group, asked.retry) == RetryAdmission::TurnAway {
                        // The policy never sees it. Nothing was sent, so a retry is harmless.
                        let after = limits.retry_after(now, *most);
                        self.counts.turned_away.add();
                        return self.turn_away(&asked, after);
                    }
                }
                // It arrived at an unknown time during the stall, so its deadline may have passed. Nothing
                // was sent.
                let lost = self.stall.as_ref().map_or(0.0, |s| s.lost(now));
                if lost > 0.0 && asked.deadline - lost <= now {
                    return self.turn_away(&asked, self.max_return_delay);
                }
                if let Some((ramp, most)) = &mut self.ramp {
                    if ramp.asked(asked.statement_id) == Admission::TurnAway {
                        let most = *most;
                        let after = self.limits.as_mut().map_or(most, |(l, most)| l.retry_after(now, *most));
                        self.counts.ramped.add();
                        return self.turn_away(&asked, after);
                    }
                }
                let term = self.policy.term(group);
                let read_requirement = self
                    .sources
                    .iter_mut()
                    .filter_map(|s| s.read_requirement(now, &asked, term))
                    .reduce(further);
                let arrival = Arrival {
                    workload: asked.workload,
                    group,
                    // A session that has written nothing needs no entry.
                    session: asked.session.and_then(|name| match asked.writes {
                        true => Some(self.sessions.intern(&name)),
                        false => self.sessions.find(&name),
                    }),
                    time_left: asked.deadline - now,
                    wait: asked.wait,
                    // Negative if the clock of whoever issued the token runs ahead; the position is still
                    // valid.
                    token_age: asked.last_write_at.map(|at| now - at),
                    retry: asked.retry,
                    read_requirement,
                };
                let open = Open {
                    id: asked.id,
                    taken_at: now,
                    group: arrival.group,
                    payload: asked.payload,
                    client_connection: Some(asked.client_connection),
                    hosts: Vec::new(),
                    workload: asked.workload,
                    retry: asked.retry,
                };
                self.open.insert(asked.statement_id, open);
                self.policy.statement_arrived(now, asked.statement_id, &arrival);
            }
            DispatcherMessage::ClientGone(statement_id) => {
                if let Some(open) = self.open.get_mut(&statement_id).filter(|o| o.client_connection.is_some())
                {
                    self.counts.clients_gone.add();
                    open.client_connection = None;
                    self.ending.push(statement_id);
                    if let Some((ramp, _)) = &mut self.ramp {
                        ramp.ended(statement_id, false);
                    }
                    self.policy.client_gone(now, statement_id);
                    self.unsend(statement_id);
                }
            }
            DispatcherMessage::Ended { statement_id, execution, mut outcome } => {
                let Some(open) = self.open.get_mut(&statement_id) else { return };
                if let (Some(term), Some(&host)) = (outcome.term, open.hosts.get(execution)) {
                    if !self.policy.record_term(host, term) {
                        // The host follows an older term than its group, so its position says nothing.
                        outcome.note.position = None;
                    }
                }
                self.sources.iter_mut().for_each(|s| s.execution_ended(now, statement_id, &mut outcome));
                if let Some(&host) = open.hosts.get(execution) {
                    let name = self.hosts.name(host);
                    self.sources.iter_mut().for_each(|s| s.execution_ended_on_host(now, name, &outcome));
                }
                if outcome.ending == Ending::Completed {
                    if let Some(client_connection) = open.client_connection.take() {
                        self.counts.completed.add();
                        if let Some((ramp, _)) = &mut self.ramp {
                            ramp.ended(statement_id, true);
                        }
                        if let Some((limits, _)) = &mut self.limits {
                            limits.answered(now, open.workload, open.group, true, !open.retry);
                        }
                        let rows = std::mem::take(&mut outcome.rows);
                        let given = FinalAnswer {
                            client_connection,
                            statement_id,
                            answer: Answer::Completed(rows, None),
                        };
                        let mut sources = self.sources.iter_mut();
                        let given = sources.try_fold(given, |given, s| s.completed(now, &outcome, given));
                        self.answers.extend(given);
                    } else {
                        self.sources
                            .iter_mut()
                            .for_each(|s| s.completed_without_client(now, statement_id, &outcome));
                    }
                }
                let over = open.client_connection.is_none();
                self.ending.push(statement_id);
                self.trace(|| LogEvent::Ended { statement_id, execution, ending: outcome.ending });
                self.policy.ended(now, statement_id, execution, outcome.ending.verdict(), over, outcome.note);
            }
            DispatcherMessage::Probed { host, mut outcome } => {
                if outcome.term.is_some_and(|term| !self.policy.record_term(host, term)) {
                    outcome.note.position = None;
                }
                if let Some(out) = self.probes.get_mut(&host) {
                    *out = out.saturating_sub(1);
                }
                let name = self.hosts.name(host);
                self.sources.iter_mut().for_each(|s| s.probe_ended(now, name, &outcome));
                self.policy.probed(now, host, outcome.ending == Ending::Completed, outcome.note);
            }
        }
    }

    /// Logs a step of a statement if steps are logged.
    fn trace(&mut self, step: impl FnOnce() -> LogEvent) {
        if self.trace_steps {
            self.said.push(step());
        }
    }

    /// Counts and logs why a statement that is refused without being sent had waited.
    fn note_unsent(&mut self, now: f64, statement_id: u64, cause: FailureCause) {
        let Some(open) = self.open.get(&statement_id).filter(|open| open.hosts.is_empty()) else { return };
        let wait_reason = self.policy.wait_reason(statement_id);
        if let Some(wait_reason) = wait_reason {
            self.counts.refused_unsent(wait_reason);
        }
        if self.trace_steps || now >= self.unsent_said_at + UNSENT_LOG_GAP {
            self.unsent_said_at = now;
            let (id, group, waited) = (open.id.clone(), open.group, now - open.taken_at);
            self.said.push(LogEvent::RefusedUnsent { statement_id, id, group, cause, wait_reason, waited });
        }
    }

    fn give(&mut self, asked: &StatementRequest, answer: Answer) {
        self.answers.push_back(FinalAnswer {
            client_connection: asked.client_connection,
            statement_id: asked.statement_id,
            answer,
        });
    }

    /// The policy never sees it. Nothing was sent, so a retry is harmless.
    fn turn_away(&mut self, asked: &StatementRequest, after: f64) {
        self.ids.remove(&asked.id);
        self.counts.rejected.add();
        self.give(asked, Answer::Rejected(after));
    }

    fn listed(&mut self, now: f64, update: HostListUpdate) {
        if let Some(stall) = &mut self.stall {
            stall.heard();
        }
        for (name, address) in update.addresses {
            let host = self.hosts.intern(&name);
            self.orders.push_back(Command::UpdateHost { host, name, address });
        }
        for entry in &update.entries {
            if self.groups.find(&entry.group).is_none() {
                self.said.push(LogEvent::GroupAdded(self.groups.intern(&entry.group), entry.group.clone()));
            }
        }
        let list = self.list.merge(update.is_snapshot, &update.entries, &mut self.hosts, &mut self.groups);
        self.policy.update_hosts(now, &list);
        self.forget_host();
    }

    /// Removes hosts that have left for good and groups without hosts. A host with a probe in flight stays
    /// until the next list; otherwise the probe's result would be attributed to the next host with the same
    /// index.
    fn forget_host(&mut self) {
        let (policy, probes) = (&mut self.policy, &mut self.probes);
        probes.retain(|_, out| *out > 0);
        for (name, host) in
            self.list.drop_gone(|host| !probes.contains_key(&host) && policy.forget_host(host))
        {
            self.orders.push_back(Command::RemoveHost(host));
            self.hosts.release(&name);
            self.said.push(LogEvent::HostRemoved(host, name));
        }
        let open = &self.open;
        let unused = |group: usize| !open.values().any(|open| open.group == group);
        for group in self.list.drop_empty_groups(unused) {
            self.groups.release_index(group);
        }
    }

    fn decide(&mut self, now: f64) {
        self.decided = now;
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
                        self.counts.further_executions.add();
                    }
                    self.trace(|| LogEvent::Sent { statement_id, execution, host });
                    self.orders.push_back(Command::Start(host, HostTask { kind, deadline: now + timeout }));
                }
                Decision::Reject { statement_id, retry_after, cause } => {
                    self.counts.rejected.add();
                    self.counts.refused(cause);
                    self.trace(|| LogEvent::Refused { statement_id, cause });
                    self.note_unsent(now, statement_id, cause);
                    let after = match &mut self.limits {
                        Some((limits, _)) => limits.retry_after(now, retry_after),
                        None => retry_after,
                    };
                    self.answer(statement_id, Answer::Rejected(after));
                }
                Decision::Abort { statement_id, cause } => {
                    self.counts.aborted.add();
                    self.counts.refused(cause);
                    self.trace(|| LogEvent::Refused { statement_id, cause });
                    self.answer(statement_id, Answer::Aborted);
                }
                Decision::Cancel { statement_id, execution } => {
                    if let Some(&host) = self.open.get(&statement_id).and_then(|o| o.hosts.get(execution)) {
                        self.orders.push_back(Command::Cancel { host, statement_id, execution });
                    }
                }
                Decision::Probe { host } => {
                    let name = self.hosts.name(host);
                    // Peers may report who is primary, but a host's position has to be probed here.
                    if self.policy.group_lacks_primary(host)
                        && !self.sources.iter_mut().all(|s| s.may_probe(now, name))
                    {
                        self.counts.probes_left.add();
                        continue;
                    }
                    *self.probes.entry(host).or_default() += 1;
                    self.orders.push_back(Command::Probe(host));
                }
                // Discovery is watched from the start and the watch reopens by itself.
                Decision::Subscribe => {}
                Decision::Log(text) => self.said.push(LogEvent::PolicyMessage(text)),
            }
        }
        if let Some((limits, _)) = &mut self.limits {
            for change in limits.changes() {
                self.said.push(LogEvent::Storm(change.begins, format!("{:?}", change.sign)));
                if change.begins {
                    self.counts.storms.add();
                }
            }
        }
        self.answers.extend(self.given_up.drain(..));
        for statement_id in self.ending.drain(..) {
            if !self.policy.is_tracked(statement_id) {
                if let Some(open) = self.open.remove(&statement_id) {
                    self.ids.remove(&open.id);
                    self.sources.iter_mut().for_each(|s| s.statement_closed(statement_id));
                }
            }
        }
    }

    /// Cancels the last execution if it still waits for a connection. That sends nothing to a host, so it is
    /// allowed even where executions may not be cancelled.
    fn unsend(&mut self, statement_id: u64) {
        let Some(hosts) = self.open.get(&statement_id).map(|o| &o.hosts) else { return };
        if let (Some(&host), execution) = (hosts.last(), hosts.len().saturating_sub(1)) {
            self.orders.push_back(Command::CancelUnsent { host, statement_id, execution });
        }
    }

    fn answer(&mut self, statement_id: u64, answer: Answer) {
        self.ending.push(statement_id);
        self.unsend(statement_id);
        let Some(open) = self.open.get_mut(&statement_id) else { return };
        if let Some(client_connection) = open.client_connection.take() {
            if let Some((ramp, _)) = &mut self.ramp {
                ramp.ended(statement_id, false);
            }
            if let Some((limits, _)) = &mut self.limits {
                limits.answered(self.decided, open.workload, open.group, false, !open.retry);
            }
            self.given_up.push(FinalAnswer { client_connection, statement_id, answer });
        }
    }
}

/// Returns the stricter of two read requirements.
fn further(one: ReadRequirement, other: ReadRequirement) -> ReadRequirement {
    match (one, other) {
        (ReadRequirement::Position(a), ReadRequirement::Position(b)) => ReadRequirement::Position(a.max(b)),
        _ => ReadRequirement::Primary,
    }
}

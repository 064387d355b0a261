//! Takes mail and facts, lets the decisions say what follows, and says when they want to look again. It never touches a socket and
//! knows no protocol.
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

/// A statement until the decisions let go of it.
struct Open {
    id: String,
    taken_at: f64,
    group: usize,
    payload: Arc<dyn StatementPayload>,
    /// Whom to answer; `None` once that is done, or its client has left.
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
    /// Storms and what is done in them, where our own file turns that on; with the longest time to return.
    pub limits: Option<(Limits, f64)>,
    /// What comes in right after the start, and whether this process stood still, where our own file turns that on.
    pub ramp: Option<(AdmissionRamp, f64)>,
    pub stall: Option<StallDetector>,
    /// Seconds, as the settings have it.
    pub max_return_delay: f64,
    open: BTreeMap<u64, Open>,
    /// The ids of the open ones.
    ids: BTreeSet<String>,
    /// Final answers of this round. They go out behind its withdrawals, or a dial that comes up just then
    /// could still write a statement that has been answered.
    given_up: Vec<FinalAnswer>,
    /// Probes out at each database host that has any.
    probes: BTreeMap<usize, usize>,
    /// Statements that may be over once the decisions of this round are out.
    ending: Vec<u64>,
    /// When it decided last.
    decided: f64,
    /// When it last said that a statement was refused unsent.
    unsent_said_at: f64,
    /// Whether each step of each statement is said, for a log of everything.
    pub trace_steps: bool,
}

/// Seconds between looks that nothing but the time calls for. Timers of the platform are no finer; a sleep of nothing
/// would spin.
const SHORTEST_SLEEP: f64 = 0.001;
/// Seconds between lines about statements that were refused unsent, where not every step is said.
const UNSENT_LOG_GAP: f64 = 0.25;
/// Sessions that have written, the latest; about 0.5 MB of names. Their writes are what replicas may lag behind,
/// for seconds. An index that is used again brings an older write's position along, so a read of the new session
/// is at worst kept from a replica that lags behind that.
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

    /// Sources are asked in the order in which they came.
    pub fn add(&mut self, source: Box<dyn Source>) {
        self.sources.push(source);
    }

    /// Whether a source has something to tell.
    pub fn pending(&self) -> bool {
        self.sources.iter().any(|s| s.pending())
    }

    /// What the sources have to tell; `false` where nothing.
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

    /// Lets the decisions say what follows of what was taken, or where nothing was (`took` is `false`) looks whether they want to
    /// look again. `false` where there was nothing to do.
    pub fn decide_if_due(&mut self, now: f64, took: bool) -> bool {
        if self.stall.as_ref().is_some_and(|s| s.holds(now)) {
            // What is known is of before a stop: the list is to come in first.
            return took;
        }
        if took || self.due(now) <= now {
            self.decide(now);
            return true;
        }
        false
    }

    /// When the decisions want to look again; infinite where never.
    pub fn due(&self, now: f64) -> f64 {
        let decides = self.policy.wake_at().map_or(f64::INFINITY, |at| at.max(self.decided + SHORTEST_SLEEP));
        match &self.stall {
            Some(stall) if stall.holds(now) => stall.due(),
            Some(stall) => decides.min(stall.due()),
            None => decides,
        }
    }

    /// Who drives it looks at the time: a look that comes much too late tells that this process stood still.
    pub fn check_for_stall(&mut self, now: f64) {
        if let Some(stood) = self.stall.as_mut().and_then(|s| s.look(now)) {
            self.said.push(LogEvent::Stalled(stood));
            self.counts.stalls.add();
        }
    }

    /// What is to be done next. Orders go before answers.
    pub fn next_command(&mut self) -> Option<Command> {
        self.orders.pop_front()
    }

    pub fn next_answer(&mut self) -> Option<FinalAnswer> {
        self.answers.pop_front()
    }

    pub fn take_log_events(&mut self) -> Vec<LogEvent> {
        std::mem::take(&mut self.said)
    }

    /// Statements that are not over.
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
                // Groups that no list has named share one that has no members, or clients could fill the
                // memory with names.
                let group = self.groups.find(&asked.group).unwrap_or_else(|| self.groups.intern(""));
                if let Some((limits, most)) = &mut self.limits {
                    if limits.asked(now, asked.workload, group, asked.retry) == RetryAdmission::TurnAway {
                        // It never reaches the decisions: nothing was sent, so trying again is harmless.
                        let after = limits.retry_after(now, *most);
                        self.counts.turned_away.add();
                        return self.turn_away(&asked, after);
                    }
                }
                // Came while this process stood still, nobody knows when: its time may be over, and nothing was sent.
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
                    // One that has written nothing needs nothing, and is not worth a name.
                    session: asked.session.and_then(|name| match asked.writes {
                        true => Some(self.sessions.intern(&name)),
                        false => self.sessions.find(&name),
                    }),
                    time_left: asked.deadline - now,
                    wait: asked.wait,
                    // Below 0 where the clock of whoever gave the position runs ahead: the position itself stands.
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
                        // Of an older term than its group's: how far it is there says nothing.
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

    /// Notes a step of one statement, where steps are logged.
    fn trace(&mut self, step: impl FnOnce() -> LogEvent) {
        if self.trace_steps {
            self.said.push(step());
        }
    }

    /// Counts and says what a statement waited for that is refused and was sent nowhere.
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

    /// It never reaches the decisions: nothing was sent, so trying again is harmless.
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

    /// Lets go of hosts that have left for good, and of groups that have no host left. A host with a probe out
    /// stays until the next list, or its answer would count for whoever has the index by then.
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
                    // Who is primary can be heard of from others; how far a host has come has to be seen.
                    if self.policy.group_lacks_primary(host)
                        && !self.sources.iter_mut().all(|s| s.may_probe(now, name))
                    {
                        self.counts.probes_left.add();
                        continue;
                    }
                    *self.probes.entry(host).or_default() += 1;
                    self.orders.push_back(Command::Probe(host));
                }
                // The watch stands from the start and reopens by itself.
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

    /// What waits for a connection is no withdrawal on any wire, and is not begun whether executions may be
    /// withdrawn or not.
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

/// Of two sources the one that asks for more is heard.
fn further(one: ReadRequirement, other: ReadRequirement) -> ReadRequirement {
    match (one, other) {
        (ReadRequirement::Position(a), ReadRequirement::Position(b)) => ReadRequirement::Position(a.max(b)),
        _ => ReadRequirement::Primary,
    }
}

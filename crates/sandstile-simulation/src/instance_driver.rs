//! One simulated router: its upstream connections, the executions on them and the decision module, which is the same as
//! behind sockets. `InstanceDriver::direct` has no decision module and sends everything to the primary, like clients
//! without a router.
use sandstile_fleet::event::{Answer, Input, StatementRequest};
use sandstile_policy::policy::Instance;
use sandstile_policy::terms::{Arrival, Decision, HostReport, ListedHost, OutcomeClass};
use sandstile_restart_pacing::{DialDecision, DialOutcome, DialPacer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A statement of a client; `key` is the client's id for it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub key: u64,
    pub workload: usize,
    pub group: usize,
    pub session: usize,
    /// Timeout in seconds.
    pub timeout: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer {
    Completed,
    /// With the seconds after which to retry, 0 if none are given.
    Rejected(f64),
    Aborted,
}

/// An action of a router. Connection ids are unique among all routers.
#[derive(Debug)]
pub enum DriverAction {
    Dial { conn: u64, host: usize, timeout_s: f64 },
    Send { conn: u64, input: Input, deadline: f64 },
    Close(u64),
    Answer { key: u64, answer: FinalAnswer },
}

#[derive(Clone, Copy, Debug)]
struct Task {
    /// Statement id and number of the execution; `None` for a probe.
    execution_id: Option<(u64, usize)>,
    deadline: f64,
}

enum ConnState {
    Connecting(Task),
    /// A paced dial since this time, for the task that has waited longest when the dial succeeds.
    PacedDial(f64),
    Idle,
    Busy(Task),
}

struct Conn {
    host: usize,
    state: ConnState,
}

struct OpenStatement {
    request: ClientRequest,
    answered: bool,
    hosts: Vec<usize>,
}

enum Decider {
    Module(Box<Instance>),
    /// The primary of each group at the start.
    Direct(Vec<usize>),
}

pub struct InstanceDriver {
    decider: Decider,
    conns: BTreeMap<u64, Conn>,
    /// Idle connections of each host, the most recently used last.
    idle: BTreeMap<usize, Vec<u64>>,
    open: BTreeMap<u64, OpenStatement>,
    next_statement_id: u64,
    /// Statements that may have finished.
    possibly_finished: BTreeSet<u64>,
    actions: Vec<DriverAction>,
    /// The last connection id assigned; each id is used once.
    last_conn_id: u64,
    /// Distance between two ids, which keeps the ids of different routers apart.
    conn_id_stride: u64,
    dial_timeout_s: f64,
    /// Paces dials, if dials are paced.
    dial_pacer: Option<DialPacer>,
    /// Tasks of each host that wait for a connection, with the deadline of each wait.
    waiting_tasks: BTreeMap<usize, VecDeque<(f64, Task)>>,
    /// Number of dials in progress at each host.
    dials_in_progress: BTreeMap<usize, usize>,
    /// When a delayed dial may begin.
    next_dial_at: f64,
    known_hosts: BTreeSet<usize>,
    /// Number of executions sent.
    pub sent: u64,
    pub probes: u64,
}

impl InstanceDriver {
    /// A router with the decision module. `index` is its index among `count` routers.
    pub fn with_policy(policy: Instance, index: u64, count: u64, dial_timeout_s: f64) -> Self {
        InstanceDriver::new(Decider::Module(Box::new(policy)), index, count, dial_timeout_s)
    }

    /// Clients with their own connections to the primaries.
    pub fn direct(primaries: Vec<usize>, index: u64, count: u64) -> Self {
        InstanceDriver::new(Decider::Direct(primaries), index, count, 60.0)
    }

    fn new(decider: Decider, index: u64, count: u64, dial_timeout_s: f64) -> Self {
        InstanceDriver {
            decider,
            conns: BTreeMap::new(),
            idle: BTreeMap::new(),
            open: BTreeMap::new(),
            next_statement_id: 0,
            possibly_finished: BTreeSet::new(),
            actions: Vec::new(),
            last_conn_id: index,
            conn_id_stride: count,
            dial_timeout_s,
            dial_pacer: None,
            waiting_tasks: BTreeMap::new(),
            dials_in_progress: BTreeMap::new(),
            next_dial_at: f64::INFINITY,
            known_hosts: BTreeSet::new(),
            sent: 0,
            probes: 0,
        }
    }

    /// Paces the dials of this router.
    pub fn with_dial_pacing(mut self, dial_pacer: DialPacer) -> Self {
        self.dial_pacer = Some(dial_pacer);
        self
    }

    /// Continues the connection ids of the process that this one replaces, since each id is used once in a simulation.
    pub(crate) fn continue_conn_ids_of(&mut self, former: &InstanceDriver) {
        self.last_conn_id = former.last_conn_id;
    }

    pub fn take_actions(&mut self) -> Vec<DriverAction> {
        std::mem::take(&mut self.actions)
    }

    /// Whether this connection belongs to this router and is still open.
    pub fn owns_conn(&self, conn: u64) -> bool {
        self.conns.contains_key(&conn)
    }

    pub fn hosts_listed(&mut self, now: f64, hosts: &[ListedHost]) {
        if let Decider::Module(policy) = &mut self.decider {
            policy.update_hosts(now, hosts);
        }
        for host in hosts.iter().map(|m| m.host) {
            let initial_dials = self.dial_pacer.as_ref().map_or(0, DialPacer::initial_dials);
            if self.known_hosts.insert(host) {
                (0..initial_dials).for_each(|_| self.dial(now, host));
            }
        }
        self.decide(now);
    }

    pub fn statement_arrived(&mut self, now: f64, request: ClientRequest) {
        let statement_id = self.next_statement_id;
        self.next_statement_id += 1;
        let open = OpenStatement { request: request.clone(), answered: false, hosts: Vec::new() };
        self.open.insert(statement_id, open);
        let direct = match &mut self.decider {
            Decider::Module(policy) => {
                let arrival = Arrival {
                    workload: request.workload,
                    group: request.group,
                    session: Some(request.session),
                    time_left: request.timeout,
                    timeout: request.timeout,
                    token_age: None,
                    retry: false,
                    read_requirement: None,
                };
                policy.statement_arrived(now, statement_id, &arrival);
                None
            }
            Decider::Direct(primaries) => Some(primaries[request.group]),
        };
        if let Some(host) = direct {
            self.send(now, host, statement_id, now + request.timeout);
        }
        self.decide(now);
    }

    pub fn next_wake(&self) -> Option<f64> {
        match &self.decider {
            Decider::Module(policy) => {
                let wait_deadlines =
                    self.waiting_tasks.values().filter_map(|w| w.front()).map(|(deadline, _)| *deadline);
                let dial_wake = wait_deadlines.fold(self.next_dial_at, f64::min);
                policy
                    .wake_at()
                    .into_iter()
                    .chain(dial_wake.is_finite().then_some(dial_wake))
                    .reduce(f64::min)
            }
            Decider::Direct(_) => None,
        }
    }

    fn dial(&mut self, now: f64, host: usize) {
        self.last_conn_id += self.conn_id_stride;
        let conn = self.last_conn_id;
        self.conns.insert(conn, Conn { host, state: ConnState::PacedDial(now) });
        *self.dials_in_progress.entry(host).or_default() += 1;
        if let Some(dial_pacer) = &mut self.dial_pacer {
            dial_pacer.dial_started(now, host);
        }
        self.actions.push(DriverAction::Dial { conn, host, timeout_s: self.dial_timeout_s });
    }

    /// Starts the dials that the waiting tasks of a host need and that the pacing permits now.
    fn start_needed_dials(&mut self, now: f64, host: usize) {
        while self.dials_in_progress.get(&host).copied().unwrap_or(0)
            < self.waiting_tasks.get(&host).map_or(0, VecDeque::len)
        {
            let Some(dial_pacer) = &mut self.dial_pacer else { return };
            match dial_pacer.decide(now, host) {
                DialDecision::Now => self.dial(now, host),
                DialDecision::At(at) => {
                    self.next_dial_at = self.next_dial_at.min(at);
                    return;
                }
                DialDecision::AfterCurrent => return,
            }
        }
    }

    /// Gives a free connection the task that has waited longest, or marks it idle.
    fn assign_or_idle(&mut self, now: f64, conn: u64) {
        let host = self.conns[&conn].host;
        while let Some((_, task)) = self.waiting_tasks.get_mut(&host).and_then(VecDeque::pop_front) {
            if now < task.deadline && self.is_needed(task) {
                return self.send_task(conn, task);
            }
            self.report_outcome(now, host, task, OutcomeClass::NotSent, HostReport::default());
        }
        self.set_idle(conn);
    }

    /// Handles the end of a paced dial.
    fn dial_ended(&mut self, now: f64, host: usize, outcome: DialOutcome) {
        if let Some(n) = self.dials_in_progress.get_mut(&host) {
            *n -= 1;
        }
        if let Some(dial_pacer) = &mut self.dial_pacer {
            dial_pacer.dial_ended(now, host, outcome);
        }
    }

    /// Fails tasks whose wait has expired and starts dials that are due.
    fn handle_dial_timers(&mut self, now: f64) {
        if self.dial_pacer.is_none() {
            return;
        }
        let mut finished = Vec::new();
        for (host, waiting_tasks) in &mut self.waiting_tasks {
            while waiting_tasks.front().is_some_and(|(deadline, _)| *deadline <= now) {
                finished.extend(waiting_tasks.pop_front().map(|(_, task)| (*host, task)));
            }
        }
        for (host, task) in finished {
            self.report_outcome(now, host, task, OutcomeClass::NotSent, HostReport::default());
        }
        if self.next_dial_at <= now {
            self.next_dial_at = f64::INFINITY;
        }
        let hosts: Vec<usize> =
            self.waiting_tasks.iter().filter(|(_, w)| !w.is_empty()).map(|(h, _)| *h).collect();
        hosts.into_iter().for_each(|host| self.start_needed_dials(now, host));
    }

    /// Handles the wake-up requested by `next_wake`.
    pub fn on_timer(&mut self, now: f64) {
        self.handle_dial_timers(now);
        self.decide(now);
    }

    fn send(&mut self, now: f64, host: usize, statement_id: u64, deadline: f64) {
        let Some(open) = self.open.get_mut(&statement_id) else { return };
        let execution = open.hosts.len();
        open.hosts.push(host);
        self.sent += 1;
        self.start_task(now, host, Task { execution_id: Some((statement_id, execution)), deadline });
    }

    fn start_task(&mut self, now: f64, host: usize, task: Task) {
        if let Some(conn) = self.idle.get_mut(&host).and_then(Vec::pop) {
            return self.send_task(conn, task);
        }
        if self.dial_pacer.is_some() {
            // One dial timeout for the wait until the dial may begin, and one for the dial itself.
            self.waiting_tasks.entry(host).or_default().push_back((now + 2.0 * self.dial_timeout_s, task));
            return self.start_needed_dials(now, host);
        }
        self.last_conn_id += self.conn_id_stride;
        let conn = self.last_conn_id;
        self.conns.insert(conn, Conn { host, state: ConnState::Connecting(task) });
        self.actions.push(DriverAction::Dial { conn, host, timeout_s: self.dial_timeout_s });
    }

    fn send_task(&mut self, conn: u64, task: Task) {
        let input = match task.execution_id {
            None => Input::Report,
            Some((statement_id, _)) => {
                let request = &self.open[&statement_id].request;
                Input::Statement(StatementRequest {
                    id: format!("{}-{statement_id}", conn % self.conn_id_stride),
                    workload: request.workload,
                    timeout_s: request.timeout,
                    required_position: None,
                    session: Some(format!("u{}", request.session)),
                })
            }
        };
        self.conns.get_mut(&conn).expect("connection belongs to this router").state = ConnState::Busy(task);
        self.actions.push(DriverAction::Send { conn, input, deadline: task.deadline });
    }

    /// Handles the greeting of the host: the connection is ready for statements.
    pub fn on_greeted(&mut self, now: f64, conn: u64) {
        let Some(connection) = self.conns.get_mut(&conn) else { return };
        if let ConnState::PacedDial(since) = connection.state {
            let host = connection.host;
            self.dial_ended(now, host, DialOutcome::Connected(now - since));
            self.assign_or_idle(now, conn);
            self.start_needed_dials(now, host);
        } else if let ConnState::Connecting(task) = connection.state {
            if now >= task.deadline || !self.is_needed(task) {
                self.set_idle(conn);
                self.report_for_conn(now, conn, task, OutcomeClass::NotSent, HostReport::default());
            } else {
                self.send_task(conn, task);
            }
        }
        self.decide(now);
    }

    /// Whether a task is still needed: its statement may have been answered during the dial.
    fn is_needed(&self, task: Task) -> bool {
        task.execution_id
            .is_none_or(|(statement_id, _)| self.open.get(&statement_id).is_some_and(|open| !open.answered))
    }

    fn set_idle(&mut self, conn: u64) {
        let connection = self.conns.get_mut(&conn).expect("connection belongs to this router");
        connection.state = ConnState::Idle;
        self.idle.entry(connection.host).or_default().push(conn);
    }

    /// Handles the end of a connection, closed by either side.
    pub fn connection_lost(
        &mut self,
        now: f64,
        conn: u64,
        while_connecting: OutcomeClass,
        while_busy: OutcomeClass,
    ) {
        let Some(connection) = self.conns.remove(&conn) else { return };
        match connection.state {
            ConnState::Idle => {
                if let Some(idle) = self.idle.get_mut(&connection.host) {
                    idle.retain(|other| *other != conn);
                }
            }
            ConnState::Connecting(task) => {
                self.report_outcome(now, connection.host, task, while_connecting, HostReport::default())
            }
            ConnState::PacedDial(since) => {
                let timed_out = now >= since + self.dial_timeout_s - 1e-9;
                self.dial_ended(
                    now,
                    connection.host,
                    if timed_out { DialOutcome::TimedOut } else { DialOutcome::Refused },
                );
                // If more tasks wait than dials are in progress, the failed dial ends the task that has waited longest.
                let left = self.dials_in_progress.get(&connection.host).copied().unwrap_or(0);
                let waiting_tasks = self.waiting_tasks.entry(connection.host).or_default();
                if waiting_tasks.len() > left {
                    if let Some((_, task)) = waiting_tasks.pop_front() {
                        self.report_outcome(
                            now,
                            connection.host,
                            task,
                            while_connecting,
                            HostReport::default(),
                        );
                    }
                }
                self.start_needed_dials(now, connection.host);
            }
            ConnState::Busy(task) => {
                self.report_outcome(now, connection.host, task, while_busy, HostReport::default())
            }
        }
        self.decide(now);
    }

    pub fn on_answer(&mut self, now: f64, conn: u64, answer: &Answer) {
        let Some(connection) = self.conns.get(&conn) else { return };
        let ConnState::Busy(task) = connection.state else { return };
        let host_report =
            |primary: bool, position: f64| HostReport { position: Some(position), primary: Some(primary) };
        let (outcome, report) = match answer {
            Answer::Row { primary, position, .. } => {
                (OutcomeClass::Completed, host_report(*primary, *position))
            }
            Answer::Report { primary, position, .. } => {
                (OutcomeClass::Completed, host_report(*primary, *position))
            }
            Answer::Error { code, primary, position, .. } => {
                let outcome = match *code {
                    "25006" | "72000" => OutcomeClass::WrongHost,
                    "53300" => OutcomeClass::Full,
                    _ => OutcomeClass::Error,
                };
                (outcome, host_report(*primary, *position))
            }
            Answer::Unusable { .. } => (OutcomeClass::UnusableAnswer, HostReport::default()),
        };
        if outcome == OutcomeClass::UnusableAnswer {
            let host = connection.host;
            self.conns.remove(&conn);
            self.actions.push(DriverAction::Close(conn));
            self.report_outcome(now, host, task, outcome, report);
        } else {
            let host = connection.host;
            match self.dial_pacer.is_some() {
                true => self.assign_or_idle(now, conn),
                false => self.set_idle(conn),
            }
            self.report_outcome(now, host, task, outcome, report);
        }
        self.decide(now);
    }

    fn report_for_conn(
        &mut self,
        now: f64,
        conn: u64,
        task: Task,
        outcome: OutcomeClass,
        report: HostReport,
    ) {
        let host = self.conns[&conn].host;
        self.report_outcome(now, host, task, outcome, report);
    }

    fn report_outcome(
        &mut self,
        now: f64,
        host: usize,
        task: Task,
        outcome: OutcomeClass,
        report: HostReport,
    ) {
        let Some((statement_id, execution)) = task.execution_id else {
            if let Decider::Module(policy) = &mut self.decider {
                policy.probe_ended(now, host, outcome == OutcomeClass::Completed, report);
            }
            return;
        };
        let Some(open) = self.open.get_mut(&statement_id) else { return };
        if outcome == OutcomeClass::Completed && !open.answered {
            open.answered = true;
            self.actions.push(DriverAction::Answer { key: open.request.key, answer: FinalAnswer::Completed });
        }
        let answered = open.answered;
        self.possibly_finished.insert(statement_id);
        match &mut self.decider {
            Decider::Module(policy) => {
                policy.execution_ended(now, statement_id, execution, outcome, answered, report)
            }
            Decider::Direct(_) => self.send_final_answer(statement_id, FinalAnswer::Aborted),
        }
    }

    /// Handles the timeout of a connection: a dial that did not complete or an execution without an answer.
    pub fn on_timeout(&mut self, now: f64, conn: u64, at: f64) {
        let Some(connection) = self.conns.get(&conn) else { return };
        let (while_connecting, while_busy) = match connection.state {
            ConnState::Connecting(_) => (OutcomeClass::ConnectFailed, OutcomeClass::NotSent),
            ConnState::PacedDial(since) if since + self.dial_timeout_s <= at + 1e-9 => {
                (OutcomeClass::ConnectFailed, OutcomeClass::NotSent)
            }
            ConnState::Busy(task) if task.deadline <= at => (OutcomeClass::NotSent, OutcomeClass::TimedOut),
            // The timer of a task that was answered before.
            _ => return,
        };
        self.actions.push(DriverAction::Close(conn));
        self.connection_lost(now, conn, while_connecting, while_busy);
    }

    fn send_final_answer(&mut self, statement_id: u64, answer: FinalAnswer) {
        if let Some(open) = self.open.get_mut(&statement_id).filter(|open| !open.answered) {
            open.answered = true;
            self.actions.push(DriverAction::Answer { key: open.request.key, answer });
        }
        self.possibly_finished.insert(statement_id);
    }

    fn decide(&mut self, now: f64) {
        let mut decisions = Vec::new();
        if let Decider::Module(policy) = &mut self.decider {
            policy.advance_time(now);
            decisions.extend(std::iter::from_fn(|| policy.decide()));
        }
        for decision in decisions {
            match decision {
                Decision::Send { statement_id, host, timeout } => {
                    self.send(now, host, statement_id, now + timeout)
                }
                Decision::Reject { statement_id, retry_after, .. } => {
                    self.send_final_answer(statement_id, FinalAnswer::Rejected(retry_after))
                }
                Decision::Abort { statement_id, .. } => {
                    self.send_final_answer(statement_id, FinalAnswer::Aborted)
                }
                Decision::Cancel { statement_id, execution } => self.cancel(now, (statement_id, execution)),
                Decision::Probe { host } => {
                    self.probes += 1;
                    self.start_task(
                        now,
                        host,
                        Task { execution_id: None, deadline: now + self.dial_timeout_s },
                    );
                }
                Decision::Log(_) | Decision::Subscribe => {}
            }
        }
        for statement_id in std::mem::take(&mut self.possibly_finished) {
            let is_tracked = match &self.decider {
                Decider::Module(policy) => policy.is_tracked(statement_id),
                Decider::Direct(_) => false,
            };
            if !is_tracked {
                self.open.remove(&statement_id);
            }
        }
    }

    fn cancel(&mut self, now: f64, execution_id: (u64, usize)) {
        let found_conn = self.conns.iter().find(
            |(_, connection)| matches!(connection.state, ConnState::Connecting(task) | ConnState::Busy(task) if task.execution_id == Some(execution_id)),
        );
        let Some((&conn, _)) = found_conn else {
            let mut found = None;
            for (host, waiting_tasks) in &mut self.waiting_tasks {
                if let Some(at) =
                    waiting_tasks.iter().position(|(_, task)| task.execution_id == Some(execution_id))
                {
                    found = waiting_tasks.remove(at).map(|(_, task)| (*host, task));
                    break;
                }
            }
            if let Some((host, task)) = found {
                self.report_outcome(now, host, task, OutcomeClass::NotSent, HostReport::default());
            }
            return;
        };
        self.actions.push(DriverAction::Close(conn));
        let connection = self.conns.remove(&conn).expect("connection was found above");
        let (task, outcome) = match connection.state {
            ConnState::Connecting(task) => (task, OutcomeClass::NotSent),
            ConnState::Busy(task) => (task, OutcomeClass::Cancelled),
            ConnState::Idle | ConnState::PacedDial(_) => return,
        };
        self.report_outcome(now, connection.host, task, outcome, HostReport::default());
    }

    /// Number of statements that have not finished.
    pub fn open(&self) -> usize {
        self.open.len()
    }
}

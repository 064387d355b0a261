//! The fleet: machines, hosts and groups, driven by one timer queue.
use crate::event::{Answer, Event, Input, Output, Readiness, StatementRequest};
use crate::fault::{Effects, Fault, FaultKind, Target};
use crate::group::{Group, POSITION_STEP_S};
use crate::host::{ColdLoad, Conn, ConnState, Host, Job, JobKind};
use crate::machine::Machine;
use crate::plan::{Consistency, Effect, Node, Plan, Tokens};
use crate::random::Rng;
use crate::replay::Replay;
use crate::roles::{MemberState, RoleChange};
use sandstile_timers::TimerWheel;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Debug)]
enum Timer {
    CpuFinish {
        node: usize,
        version: u64,
    },
    ReplayFinish {
        host: usize,
        version: u64,
    },
    /// Commits up to `up_to` reach a replica, if the primary of that term is still reachable.
    CommitsArrive {
        to: usize,
        from: usize,
        up_to: u64,
        term: u64,
    },
    /// Checks again whether a held read can run.
    RecheckHeldRead {
        job: u64,
    },
    IdleTimeout {
        conn: u64,
        version: u64,
    },
    BeginSetup {
        conn: u64,
    },
    FaultEnds {
        fault: usize,
    },
    EvaluateRoles {
        group: usize,
    },
}

struct InjectedFault {
    fault: Fault,
    hosts: Vec<usize>,
    ended: bool,
}

/// A host as discovery and the scenario see it.
#[derive(Clone, Debug)]
pub struct Listing {
    pub name: String,
    pub group: String,
    pub zone: String,
    pub machine: String,
    pub readiness: Readiness,
    pub since: f64,
    pub primary: bool,
}

pub struct Fleet {
    plan: Plan,
    machines: Vec<Machine>,
    hosts: Vec<Host>,
    groups: Vec<Group>,
    conns: BTreeMap<u64, Conn>,
    jobs: BTreeMap<u64, Job>,
    next_job: u64,
    injected_faults: Vec<InjectedFault>,
    replaced: usize,
    timers: TimerWheel<Timer>,
    now: f64,
    outputs: VecDeque<(f64, Output)>,
    events: VecDeque<(f64, Event)>,
    work_rngs: Vec<Rng>,
    replay_rngs: Vec<Rng>,
    fault_rng: Rng,
}

/// Seconds between two checks of a held read.
const HOLD_RECHECK_S: f64 = 0.005;

impl Fleet {
    /// Creates the fleet at `now`: all hosts are warm and all replicas up to date.
    pub fn new(plan: Plan, now: f64) -> Self {
        let kind = |n: &Node| &plan.kinds[n.kind];
        let machines: Vec<Machine> =
            plan.nodes.iter().map(|n| Machine::new(&n.name, &n.zone, n.kind, kind(n), now)).collect();
        let streams = |purpose: &str, names: Vec<&String>| -> Vec<Rng> {
            names.iter().map(|n| Rng::new(plan.seed, &format!("{purpose} {n}"))).collect()
        };
        let work_rngs = streams("work", plan.workloads.iter().map(|w| &w.name).collect());
        let replay_rngs = streams("replay", plan.groups.iter().map(|g| &g.name).collect());
        let fault_rng = Rng::new(plan.seed, "luck");
        let mut fleet = Fleet {
            machines,
            hosts: Vec::new(),
            groups: Vec::new(),
            conns: BTreeMap::new(),
            jobs: BTreeMap::new(),
            next_job: 0,
            injected_faults: Vec::new(),
            replaced: 0,
            timers: TimerWheel::starting_at(now),
            now,
            outputs: VecDeque::new(),
            events: VecDeque::new(),
            work_rngs,
            replay_rngs,
            fault_rng,
            plan,
        };
        for group in 0..fleet.plan.groups.len() {
            let nodes = fleet.plan.groups[group].nodes.clone();
            let hosts: Vec<usize> = nodes
                .iter()
                .map(|node| fleet.add_host(fleet.plan.host_name(group, *node), group, *node, 0.0))
                .collect();
            for host in &hosts {
                fleet.hosts[*host].receives_log = true;
            }
            fleet.groups.push(Group::new(&fleet.plan.groups[group], hosts[0], hosts.clone()));
            let (name, host) = (fleet.plan.groups[group].name.clone(), fleet.hosts[hosts[0]].name.clone());
            fleet.record_event(now, Event::Primary { group: name, host, term: 1 });
        }
        fleet
    }

    fn add_host(&mut self, name: String, group: usize, node: usize, since: f64) -> usize {
        let index = self.hosts.len();
        self.machines[node].hosts.push(index);
        let idle = self.plan.kinds[self.machines[node].kind].idle_timeout_s;
        self.hosts.push(Host {
            name,
            group,
            node,
            since,
            readiness: Readiness::Active,
            faults: Vec::new(),
            effects: Effects::none(idle),
            replay: Replay::new(0, self.now),
            receives_log: false,
            last_seen_term: 1,
            log_known_until: 0.0,
            conns: BTreeSet::new(),
            deferred_inputs: VecDeque::new(),
            withheld_outputs: Vec::new(),
            suspended_jobs: Vec::new(),
            cold_load: ColdLoad::default(),
        });
        index
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    pub fn listing(&self, host: usize) -> Listing {
        let host_state = &self.hosts[host];
        Listing {
            name: host_state.name.clone(),
            group: self.plan.groups[host_state.group].name.clone(),
            zone: self.machines[host_state.node].zone.clone(),
            machine: self.machines[host_state.node].name.clone(),
            readiness: host_state.readiness,
            since: host_state.since,
            primary: self.groups[host_state.group].roles.primary == Some(host),
        }
    }

    /// Whether the process of the host exists, even if it is paused.
    pub fn is_alive(&self, host: usize) -> bool {
        self.hosts[host].effects.is_alive() && self.hosts[host].readiness != Readiness::Left
    }

    pub fn effects(&self, host: usize) -> &Effects {
        &self.hosts[host].effects
    }

    pub fn find_host(&self, name: &str) -> Option<usize> {
        self.hosts.iter().position(|h| h.name == name)
    }

    pub fn primary_of(&self, group: usize) -> Option<usize> {
        self.groups[group].roles.primary
    }

    /// Number of commits that a replica has received but not applied, and number not yet received.
    pub fn backlog(&self, host: usize) -> (u64, u64) {
        let host_state = &self.hosts[host];
        (
            host_state.replay.received - host_state.replay.applied,
            self.groups[host_state.group].end_index().saturating_sub(host_state.replay.received),
        )
    }

    /// Number of jobs that run or wait on the host's machine.
    pub fn jobs_at(&self, host: usize) -> usize {
        self.machines[self.hosts[host].node].cpu.job_count()
    }

    pub fn next_wake(&mut self) -> Option<f64> {
        self.timers.earliest()
    }

    pub fn next_output(&mut self) -> Option<(f64, Output)> {
        self.outputs.pop_front()
    }

    pub fn next_event(&mut self) -> Option<(f64, Event)> {
        self.events.pop_front()
    }

    fn record_event(&mut self, at: f64, event: Event) {
        self.events.push_back((at, event));
    }

    fn emit(&mut self, at: f64, output: Output) {
        self.outputs.push_back((at, output));
    }

    /// Advances the time to `now`; everything due by then happens, each at its own time.
    pub fn advance(&mut self, now: f64) {
        while let Some((at, timer)) = self.timers.pop(now) {
            self.now = self.now.max(at);
            self.on_timer(self.now, timer);
        }
        self.now = self.now.max(now);
    }

    /// Processes an input on a connection. The driver chooses connection ids and uses each one once.
    pub fn input(&mut self, now: f64, conn: u64, input: Input) {
        self.advance(now);
        let now = self.now;
        let host = match &input {
            Input::Connect { host } => *host,
            _ => match self.conns.get(&conn) {
                Some(c) => c.host,
                None => return,
            },
        };
        if !self.is_alive(host) {
            return;
        }
        if self.hosts[host].effects.paused {
            if let Input::Connect { .. } = input {
                self.conns.insert(
                    conn,
                    Conn { host, state: ConnState::SettingUp, version: 0, statements_begun: 0 },
                );
                self.hosts[host].conns.insert(conn);
            }
            return self.hosts[host].deferred_inputs.push_back((conn, input));
        }
        self.handle_input(now, host, conn, input);
    }

    fn handle_input(&mut self, now: f64, host: usize, conn: u64, input: Input) {
        match input {
            Input::Connect { .. } => self.on_connect(now, host, conn),
            Input::Statement(request) => self.on_statement(now, host, conn, request),
            Input::Report => {
                self.record_event(now, Event::Probed { host: self.hosts[host].name.clone() });
                let (primary, position) = (self.is_primary(host), self.position(now, host));
                let machine = &self.machines[self.hosts[host].node];
                let share = machine.cpu.job_count() as f64 / machine.cpu.capacity().max(1e-9);
                let (term, jobs) = (self.followed_term(host), machine.cpu.job_count());
                let answer = Answer::Report { primary, position, term, jobs, share };
                self.send_answer(now, host, conn, answer, None);
            }
            Input::Closed => self.on_closed(now, host, conn),
        }
    }

    fn on_connect(&mut self, now: f64, host: usize, conn: u64) {
        let node = self.hosts[host].node;
        self.record_event(now, Event::Dialled { host: self.hosts[host].name.clone() });
        let kind = &self.plan.kinds[self.machines[node].kind];
        // A connection that was opened while the process was paused is registered already.
        self.hosts[host].conns.remove(&conn);
        self.conns.remove(&conn);
        if self.hosts[host].conns.len() >= kind.connections {
            self.record_event(now, Event::TurnedAway { host: self.hosts[host].name.clone() });
            return self.emit(now, Output::RejectConnection { conn, code: "53300" });
        }
        self.conns.insert(conn, Conn { host, state: ConnState::SettingUp, version: 0, statements_begun: 0 });
        self.hosts[host].conns.insert(conn);
        let wait = self.hosts[host].effects.greeting_delay_s;
        if wait > 0.0 {
            return self.timers.push(now + wait, Timer::BeginSetup { conn });
        }
        self.begin_setup(now, conn);
    }

    /// Starts the set-up work of a connection, which uses the cores like any other job.
    fn begin_setup(&mut self, now: f64, conn: u64) {
        let Some(c) = self.conns.get(&conn) else { return };
        let host = c.host;
        let work = self.plan.kinds[self.machines[self.hosts[host].node].kind].setup_work;
        let job = self.add_job(host, Some(conn), JobKind::Setup);
        self.run_job(now, job, work);
    }

    fn add_job(&mut self, host: usize, conn: Option<u64>, kind: JobKind) -> u64 {
        self.next_job += 1;
        self.jobs.insert(self.next_job, Job { host, conn, kind });
        self.next_job
    }

    /// Starts a job on the cores of its machine. A cold process needs more core time for the same work.
    fn run_job(&mut self, now: f64, job: u64, work: f64) {
        let host = self.jobs[&job].host;
        let node = self.hosts[host].node;
        let kind = &self.plan.kinds[self.machines[node].kind];
        let warmth = self.hosts[host].warmth(kind, now);
        self.machines[node].cpu.start(now, job, work / warmth.max(1e-3));
        self.rearm_cpu_timer(node);
    }

    fn rearm_cpu_timer(&mut self, node: usize) {
        let machine = &mut self.machines[node];
        machine.version += 1;
        if let Some(at) = machine.cpu.next_finish_at() {
            self.timers.push(at, Timer::CpuFinish { node, version: machine.version });
        }
    }

    fn is_primary(&self, host: usize) -> bool {
        self.groups[self.hosts[host].group].roles.primary == Some(host)
    }

    /// The term whose log a host holds. A host that has received nothing from the current primary still follows the
    /// previous term.
    fn followed_term(&self, host: usize) -> u64 {
        let roles = &self.groups[self.hosts[host].group].roles;
        if roles.primary == Some(host) {
            roles.term
        } else {
            self.hosts[host].last_seen_term
        }
    }

    /// The time up to which the host has applied all commits.
    fn position(&self, now: f64, host: usize) -> f64 {
        let host_state = &self.hosts[host];
        let group = &self.groups[host_state.group];
        if group.roles.primary == Some(host) {
            return now;
        }
        let log_known_until = if host_state.receives_log {
            now - self.plan.groups[host_state.group].replication_delay_s
        } else {
            host_state.log_known_until
        };
        match group.position_at(host_state.replay.applied.max(group.first_index())) {
            Some(next) if host_state.replay.applied < host_state.replay.received => next - POSITION_STEP_S,
            _ => log_known_until,
        }
    }

    fn on_statement(&mut self, now: f64, host: usize, conn: u64, request: StatementRequest) {
        let names = (self.hosts[host].name.clone(), self.plan.workloads[request.workload].name.clone());
        self.record_event(now, Event::Taken { host: names.0, id: request.id.clone(), workload: names.1 });
        let state = self.conns.get(&conn).map(|c| c.state);
        if state != Some(ConnState::Idle) {
            // A second statement arrived before the first was answered; the protocol allows one at a time.
            return self.send_error(now, host, conn, &request.id, "08P01");
        }
        let error_share = self.hosts[host].effects.error_share;
        if self.fault_rng.bernoulli(error_share) {
            return self.send_error(now, host, conn, &request.id, "XX000");
        }
        if self.hosts[host].readiness != Readiness::Active {
            return self.send_error(now, host, conn, &request.id, "53300");
        }
        let group = self.hosts[host].group;
        let workload = &self.plan.workloads[request.workload];
        let primary = self.is_primary(host);
        let need = match workload.consistency {
            Consistency::Write if !primary || self.groups[group].writes_closed => {
                return self.send_error(now, host, conn, &request.id, "25006");
            }
            Consistency::Write | Consistency::Any => 0.0,
            // Only the primary is certain to have all commits.
            Consistency::Fresh => now,
            Consistency::Bounded => now - workload.max_age_s,
            Consistency::Session => match (self.plan.tokens, &request.session) {
                (Tokens::Carried, _) => request.required_position.unwrap_or(0.0),
                (Tokens::Remembered, Some(session)) => self.groups[group].session_mark(session),
                (Tokens::Remembered, None) => 0.0,
            },
        };
        let fresh = workload.consistency == Consistency::Fresh;
        let term = self.groups[group].roles.term;
        let kind = JobKind::Statement { request, need, reached: 0.0, term, wait_until: None };
        let job = self.add_job(host, Some(conn), kind);
        if let Some(c) = self.conns.get_mut(&conn) {
            c.state = ConnState::Busy(job);
            c.version += 1;
        }
        let reached = self.position(now, host);
        if self.plan.hosts_check_reads && !primary && reached < need {
            let hold_s = self.plan.groups[group].hold_s;
            if fresh || hold_s <= 0.0 {
                return self.reject_job(now, job, "72000");
            }
            if let Some(Job { kind: JobKind::Statement { wait_until, .. }, .. }) = self.jobs.get_mut(&job) {
                *wait_until = Some(now + hold_s);
            }
            return self.timers.push(now + HOLD_RECHECK_S.min(hold_s), Timer::RecheckHeldRead { job });
        }
        self.start_statement(now, job, reached);
    }

    /// Starts the work of a statement, or rejects it if the machine's queue is full.
    fn start_statement(&mut self, now: f64, job: u64, position: f64) {
        let Some(Job { host, kind: JobKind::Statement { request, reached, wait_until, .. }, .. }) =
            self.jobs.get_mut(&job)
        else {
            return;
        };
        let (host, workload) = (*host, request.workload);
        *reached = position;
        *wait_until = None;
        let node = self.hosts[host].node;
        if self.machines[node].cpu.is_full() {
            return self.reject_job(now, job, "53300");
        }
        let mut work = self.work_rngs[workload].work(&self.plan.workloads[workload].work);
        let conn = self.jobs[&job].conn.and_then(|conn| self.conns.get_mut(&conn));
        if let Some(conn) = conn {
            conn.statements_begun = conn.statements_begun.saturating_add(1);
            let kind = &self.plan.kinds[self.machines[node].kind];
            if conn.statements_begun <= kind.first_statements {
                work *= kind.first_statements_factor;
            }
        }
        self.run_job(now, job, work);
        let kind = &self.plan.kinds[self.machines[node].kind];
        let warmth = self.hosts[host].warmth(kind, now);
        if warmth >= 1.0 {
            return;
        }
        let (most, window_s) = (kind.cold_overload_multiple, kind.cold_overload_window_s);
        let restart = kind.restart_s;
        let cpu = &self.machines[node].cpu;
        let capacity = cpu.capacity() * cpu.share() * warmth;
        let multiple = self.hosts[host].cold_load.record(now, work, window_s, capacity);
        let name = self.hosts[host].name.clone();
        if multiple > most {
            self.record_event(now, Event::Tipped { host: name, multiple, most });
            let fault =
                Fault { kind: FaultKind::Crash, target: Target::Host(String::new()), duration_s: restart };
            self.apply_fault(now, fault, vec![host]);
        } else if multiple > self.hosts[host].cold_load.peak + 0.25 {
            self.hosts[host].cold_load.peak = multiple;
            self.record_event(now, Event::Pushed { host: name, multiple, most });
        }
    }

    /// Rejects a statement that never ran.
    fn reject_job(&mut self, now: f64, job: u64, code: &'static str) {
        let Some(Job { host, conn, kind: JobKind::Statement { request, .. } }) = self.jobs.remove(&job)
        else {
            return;
        };
        match conn {
            Some(conn) => self.send_error(now, host, conn, &request.id, code),
            None => self.record_answer(now, host, &request.id, code),
        }
    }

    fn send_error(&mut self, now: f64, host: usize, conn: u64, id: &str, code: &'static str) {
        let (primary, position) = (self.is_primary(host), self.position(now, host));
        self.record_answer(now, host, id, code);
        let term = self.followed_term(host);
        self.send_answer(now, host, conn, Answer::Error { code, primary, position, term }, None);
    }

    fn record_answer(&mut self, now: f64, host: usize, id: &str, how: &str) {
        let (host, id, how) = (self.hosts[host].name.clone(), id.to_string(), how.to_string());
        self.record_event(now, Event::Said { host, id, how });
    }

    /// Sends an answer and marks its connection idle; a hung process withholds the answer.
    fn send_answer(
        &mut self,
        now: f64,
        host: usize,
        conn: u64,
        answer: Answer,
        unusable_form: Option<usize>,
    ) {
        let answer = unusable_form.map_or(answer, |form| Answer::Unusable { form });
        let output = Output::Answer { conn, answer };
        if self.hosts[host].effects.hung {
            return self.hosts[host].withheld_outputs.push((conn, output));
        }
        self.set_idle(now, conn);
        self.emit(now, output);
    }

    fn set_idle(&mut self, now: f64, conn: u64) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        c.state = ConnState::Idle;
        c.version += 1;
        let idle = self.hosts[c.host].effects.idle_timeout_s;
        self.timers.push(now + idle, Timer::IdleTimeout { conn, version: c.version });
    }

    fn on_closed(&mut self, now: f64, host: usize, conn: u64) {
        let Some(c) = self.conns.remove(&conn) else { return };
        self.hosts[host].conns.remove(&conn);
        let ConnState::Busy(job) = c.state else { return };
        let node = self.hosts[host].node;
        let stops = self.plan.kinds[self.machines[node].kind].stops_on_disconnect;
        let Some(statement_job) = self.jobs.get_mut(&job) else { return };
        statement_job.conn = None;
        let JobKind::Statement { request, wait_until, .. } = &statement_job.kind else { return };
        // A read that waits for the log has not begun, so it is dropped with its connection in any case.
        let stopped = stops || wait_until.is_some();
        let (id, host) = (request.id.clone(), self.hosts[host].name.clone());
        self.record_event(now, Event::Left { host, id, stopped });
        if stopped {
            self.jobs.remove(&job);
            self.machines[node].cpu.stop(now, job);
            self.rearm_cpu_timer(node);
        }
    }

    fn on_timer(&mut self, now: f64, timer: Timer) {
        match timer {
            Timer::CpuFinish { node, version } => {
                if self.machines[node].version != version {
                    return;
                }
                while let Some((at, job)) = self.machines[node].cpu.pop_finished(now) {
                    self.finish_job(at.max(now), job);
                }
                self.rearm_cpu_timer(node);
            }
            Timer::ReplayFinish { host, version } => {
                if self.hosts[host].replay.version == version && self.hosts[host].replay.done(now) {
                    self.continue_replay(now, host);
                }
            }
            Timer::CommitsArrive { to, from, up_to, term } => {
                self.commits_arrived(now, to, from, up_to, term)
            }
            Timer::RecheckHeldRead { job } => self.recheck_held_read(now, job),
            Timer::IdleTimeout { conn, version } => {
                let Some(c) =
                    self.conns.get(&conn).filter(|c| c.version == version && c.state == ConnState::Idle)
                else {
                    return;
                };
                let host = c.host;
                if self.hosts[host].effects.paused {
                    // A paused process closes the connection after it resumes.
                    return self.timers.push(now + 0.05, Timer::IdleTimeout { conn, version });
                }
                self.conns.remove(&conn);
                self.hosts[host].conns.remove(&conn);
                self.emit(now, Output::Close { conn });
            }
            Timer::BeginSetup { conn } => self.begin_setup(now, conn),
            Timer::FaultEnds { fault } => self.end_fault(now, fault),
            Timer::EvaluateRoles { group } => self.evaluate_roles(now, group),
        }
    }

    fn recheck_held_read(&mut self, now: f64, job: u64) {
        let Some(Job { host, kind: JobKind::Statement { need, wait_until: Some(until), .. }, .. }) =
            self.jobs.get(&job)
        else {
            return;
        };
        let (host, need, until) = (*host, *need, *until);
        if self.hosts[host].effects.paused {
            return self.timers.push(now + HOLD_RECHECK_S, Timer::RecheckHeldRead { job });
        }
        let reached = self.position(now, host);
        if reached >= need {
            self.start_statement(now, job, reached);
        } else if now >= until {
            self.reject_job(now, job, "72000");
        } else {
            self.timers.push((now + HOLD_RECHECK_S).min(until), Timer::RecheckHeldRead { job });
        }
    }

    /// Handles the end of a job; a statement takes effect at this moment.
    fn finish_job(&mut self, now: f64, job: u64) {
        let Some(Job { host, conn, kind }) = self.jobs.remove(&job) else { return };
        let JobKind::Statement { request, need, reached, term, .. } = kind else {
            let Some(conn) = conn else { return };
            if self.conns.contains_key(&conn) {
                self.set_idle(now, conn);
                self.record_event(now, Event::Greeted { host: self.hosts[host].name.clone() });
                self.emit(now, Output::Greet { conn });
            }
            return;
        };
        let group = self.hosts[host].group;
        let workload = &self.plan.workloads[request.workload];
        let writes = workload.consistency == Consistency::Write;
        let (deduplicated, bytes) = (workload.effect == Effect::Deduplicated, workload.value_bytes);
        let mut position = self.position(now, host);
        if writes {
            let still_primary = self.is_primary(host) && self.groups[group].roles.term == term;
            if !still_primary {
                // The term is over, so the commit is rejected. From the error the client can't tell whether it took
                // effect.
                return match conn {
                    Some(conn) => self.send_error(now, host, conn, &request.id, "XX000"),
                    None => self.record_answer(now, host, &request.id, "XX000"),
                };
            }
            let window_s = self.plan.groups[group].dedup_window_s;
            let before = match deduplicated {
                true => self.groups[group].first_run_position(now, &request.id, window_s),
                false => None,
            };
            match before {
                Some(first) => {
                    position = first;
                    let (host, id) = (self.hosts[host].name.clone(), request.id.clone());
                    self.record_event(now, Event::Repeated { host, id });
                }
                None => {
                    position = self.commit(now, group, host, &request);
                    if deduplicated {
                        self.groups[group].remember_run(now, &request.id, position);
                    }
                }
            }
        } else {
            let (name, workload) = (self.hosts[host].name.clone(), workload.name.clone());
            let (id, session) = (request.id.clone(), request.session.clone());
            let ran = Event::Ran { host: name, id, workload, session, commit: None, reached, need };
            self.record_event(now, ran);
        }
        let Some(conn) = conn else { return self.record_answer(now, host, &request.id, "nobody") };
        let unusable_share = self.hosts[host].effects.unusable_share;
        let unusable_form = self.fault_rng.bernoulli(unusable_share).then(|| self.fault_rng.below(4));
        self.record_answer(now, host, &request.id, if unusable_form.is_some() { "spoilt" } else { "row" });
        let primary = self.is_primary(host);
        let term = self.followed_term(host);
        self.send_answer(
            now,
            host,
            conn,
            Answer::Row { id: request.id, bytes, primary, position, term },
            unusable_form,
        );
    }

    fn commit(&mut self, now: f64, group: usize, host: usize, request: &StatementRequest) -> f64 {
        let position = self.groups[group].commit(now, &request.id);
        let up_to = self.groups[group].end_index();
        self.hosts[host].replay.receive(up_to);
        self.hosts[host].replay.applied = up_to;
        if let Some(session) = &request.session {
            self.groups[group].set_session_mark(session, position);
        }
        let name = self.hosts[host].name.clone();
        let workload = self.plan.workloads[request.workload].name.clone();
        let (id, session) = (request.id.clone(), request.session.clone());
        let commit = Some(position);
        let ran = Event::Ran { host: name, id, workload, session, commit, reached: position, need: 0.0 };
        self.record_event(now, ran);
        let (term, replication_delay_s) =
            (self.groups[group].roles.term, self.plan.groups[group].replication_delay_s);
        for to in self.groups[group].hosts.clone() {
            if to != host && self.is_alive(to) {
                self.timers
                    .push(now + replication_delay_s, Timer::CommitsArrive { to, from: host, up_to, term });
            }
        }
        let applied =
            self.groups[group].hosts.iter().filter(|h| self.hosts[**h].readiness != Readiness::Left);
        let min_applied = applied.map(|h| self.hosts[*h].replay.applied).min().unwrap_or(0);
        self.groups[group].trim(min_applied);
        position
    }

    fn commits_arrived(&mut self, now: f64, to: usize, from: usize, up_to: u64, term: u64) {
        let group = self.hosts[to].group;
        let from_current_primary = self.groups[group].roles.term == term && self.is_primary(from);
        if !from_current_primary
            || !self.hosts[from].effects.is_reachable()
            || !self.hosts[to].effects.is_reachable()
        {
            return;
        }
        let first_index = self.groups[group].first_index();
        let host_state = &mut self.hosts[to];
        // A replica that needs records which the log no longer keeps gets a full copy.
        host_state.replay.applied = host_state.replay.applied.max(first_index.min(up_to));
        host_state.replay.receive(up_to);
        host_state.receives_log = true;
        host_state.last_seen_term = term;
        self.continue_replay(now, to);
    }

    /// Lets the replay thread begin the next commit and sets its timer.
    fn continue_replay(&mut self, now: f64, host: usize) {
        let group = self.hosts[host].group;
        if !self.hosts[host].effects.is_alive() || self.is_primary(host) {
            return;
        }
        if self.hosts[host].replay.idle_with_work() {
            let work = self.replay_rngs[group].work(&self.plan.groups[group].apply);
            self.hosts[host].replay.begin(now, work);
        }
        let replay = &self.hosts[host].replay;
        if let Some(at) = replay.next_finish_at() {
            self.timers.push(at, Timer::ReplayFinish { host, version: replay.version });
        }
    }

    fn resync(&mut self, now: f64, host: usize) {
        let group = self.hosts[host].group;
        let Some(from) = self.groups[group].roles.primary.filter(|p| *p != host) else { return };
        let (up_to, term) = (self.groups[group].end_index(), self.groups[group].roles.term);
        let replication_delay_s = self.plan.groups[group].replication_delay_s;
        self.timers.push(now + replication_delay_s, Timer::CommitsArrive { to: host, from, up_to, term });
    }

    /// Updates which members receive the primary's log after a change.
    fn update_log_links(&mut self, now: f64, group: usize) {
        let primary = self.groups[group].roles.primary;
        let primary_reachable = primary.is_some_and(|p| self.hosts[p].effects.is_reachable());
        for host in self.groups[group].hosts.clone() {
            let receives = primary_reachable && self.hosts[host].effects.is_reachable();
            if self.hosts[host].receives_log && !receives {
                self.hosts[host].log_known_until = now - self.plan.groups[group].replication_delay_s;
                self.hosts[host].receives_log = false;
            } else if !self.hosts[host].receives_log && receives && Some(host) != primary {
                self.resync(now, host);
            }
        }
    }

    fn evaluate_roles(&mut self, now: f64, group: usize) {
        let seen: Vec<MemberState> = self.groups[group]
            .hosts
            .iter()
            .map(|host| {
                let host_state = &self.hosts[*host];
                MemberState {
                    host: *host,
                    is_reachable: host_state.effects.is_reachable()
                        && host_state.readiness != Readiness::Left,
                    eligible: host_state.readiness == Readiness::Active,
                    received: host_state.replay.received,
                    applied: host_state.replay.applied,
                }
            })
            .collect();
        let role_changes = self.groups[group].roles.evaluate(now, &seen);
        for role_change in role_changes {
            self.apply_role_change(now, group, role_change);
        }
        if let Some(at) = self.groups[group].roles.wake_at() {
            // A hand-over that waits for a replica to catch up is checked every 20 ms.
            self.timers.push(if at <= now { now + 0.02 } else { at }, Timer::EvaluateRoles { group });
        }
    }

    fn apply_role_change(&mut self, now: f64, group: usize, role_change: RoleChange) {
        let name = self.plan.groups[group].name.clone();
        match role_change {
            RoleChange::CloseWrites { .. } => self.groups[group].writes_closed = true,
            RoleChange::Vacate => {
                self.record_event(now, Event::Vacant { group: name });
                self.update_log_links(now, group);
            }
            RoleChange::Promote { host, term, keep } => {
                self.groups[group].writes_closed = false;
                for record in self.groups[group].truncate(keep) {
                    let (group, id) = (name.clone(), record.id);
                    self.record_event(now, Event::LostCommit { group, id, commit: record.position });
                }
                for other in self.groups[group].hosts.clone() {
                    self.hosts[other].replay.truncate(now, keep);
                    self.hosts[other].receives_log &= other != host;
                }
                // A new primary serves after it has applied all that it received; this is part of the election time.
                self.hosts[host].replay.halt();
                self.hosts[host].replay.applied = keep;
                self.hosts[host].last_seen_term = term;
                self.record_event(
                    now,
                    Event::Primary { group: name, host: self.hosts[host].name.clone(), term },
                );
                self.announce_listing(now, host);
                for other in self.groups[group].hosts.clone() {
                    if other != host {
                        let replication_delay_s = self.plan.groups[group].replication_delay_s;
                        if std::mem::take(&mut self.hosts[other].receives_log) {
                            self.hosts[other].log_known_until = now - replication_delay_s;
                        }
                        self.resync(now, other);
                    }
                }
            }
        }
    }

    fn announce_listing(&mut self, now: f64, host: usize) {
        let host_state = &self.hosts[host];
        let (readiness, since) = (host_state.readiness, host_state.since);
        self.emit(now, Output::ListingChanged { host, readiness, since });
    }

    /// The hosts that a target resolves to at present; can be empty.
    pub fn resolve_target(&self, target: &Target) -> Vec<usize> {
        let group = |name: &str| self.plan.groups.iter().position(|g| g.name == name);
        let not_left = |host: &usize| self.hosts[*host].readiness != Readiness::Left;
        let found: Vec<usize> = match target {
            Target::Host(name) => self.find_host(name).into_iter().collect(),
            Target::Node(name) => {
                let node = self.machines.iter().find(|m| m.name == *name);
                node.map_or(Vec::new(), |m| m.hosts.clone())
            }
            Target::Primary(name) => {
                group(name).and_then(|g| self.groups[g].roles.primary).into_iter().collect()
            }
            Target::Replica(name, n) => {
                let members = group(name).map_or(Vec::new(), |g| self.groups[g].hosts.clone());
                let replicas = members.into_iter().filter(not_left).filter(|h| !self.is_primary(*h));
                replicas.skip(*n).take(1).collect()
            }
            Target::Group(name) => group(name).map_or(Vec::new(), |g| self.groups[g].hosts.clone()),
        };
        found.into_iter().filter(not_left).collect()
    }

    /// Starts a fault and returns the hosts that it affects.
    pub fn start_fault(&mut self, now: f64, fault: Fault) -> Vec<usize> {
        self.advance(now);
        let hosts = self.resolve_target(&fault.target);
        self.apply_fault(self.now, fault, hosts.clone());
        hosts
    }

    fn apply_fault(&mut self, now: f64, fault: Fault, hosts: Vec<usize>) {
        let fault_id = self.injected_faults.len();
        let kind = fault.kind.clone();
        if fault.duration_s.is_finite() {
            self.timers.push(now + fault.duration_s, Timer::FaultEnds { fault: fault_id });
        }
        self.injected_faults.push(InjectedFault { fault, hosts: hosts.clone(), ended: false });
        for host in hosts {
            let name = self.hosts[host].name.clone();
            self.record_event(now, Event::FaultBegins { fault: kind.name().to_string(), host: name });
            self.hosts[host].faults.push(fault_id);
            if matches!(kind, FaultKind::Drain | FaultKind::Replace) {
                self.announce_drain(now, host);
            }
            if kind == FaultKind::Replace {
                self.add_replacement(now, host);
            }
            self.apply_effects(now, host);
        }
    }

    fn announce_drain(&mut self, now: f64, host: usize) {
        if self.hosts[host].readiness == Readiness::Active {
            self.set_readiness(now, host, Readiness::Leaving);
        }
    }

    fn set_readiness(&mut self, now: f64, host: usize, readiness: Readiness) {
        self.hosts[host].readiness = readiness;
        self.record_event(now, Event::Listed { host: self.hosts[host].name.clone(), readiness });
        self.announce_listing(now, host);
    }

    /// Adds a machine of the same kind with a cold host under a new name.
    fn add_replacement(&mut self, now: f64, host: usize) {
        self.replaced += 1;
        let (group, old) = (self.hosts[host].group, self.hosts[host].node);
        let (zone, kind) = (self.machines[old].zone.clone(), self.machines[old].kind);
        let name = format!("{}-r{}", self.machines[old].name, self.replaced);
        let machine = Machine::new(&name, &zone, kind, &self.plan.kinds[kind], now);
        self.machines.push(machine);
        self.plan.nodes.push(Node { name: name.clone(), zone, kind });
        let node = self.machines.len() - 1;
        let added = self.add_host(self.plan.host_name(group, node), group, node, now);
        self.groups[group].hosts.push(added);
        // The host starts from a copy made for it.
        let end = self.groups[group].end_index();
        self.hosts[added].replay = Replay::new(end, now);
        self.hosts[added].log_known_until = now;
        let name = self.hosts[added].name.clone();
        self.record_event(now, Event::Started { host: name });
        self.emit(now, Output::HostAdded { host: added });
        self.set_readiness(now, added, Readiness::Active);
        self.resync(now, added);
    }

    fn end_fault(&mut self, now: f64, fault_id: usize) {
        if std::mem::replace(&mut self.injected_faults[fault_id].ended, true) {
            return;
        }
        let (hosts, kind) =
            (self.injected_faults[fault_id].hosts.clone(), self.injected_faults[fault_id].fault.kind.clone());
        for host in hosts {
            self.hosts[host].faults.retain(|f| *f != fault_id);
            let name = self.hosts[host].name.clone();
            self.record_event(now, Event::FaultEnds { fault: kind.name().to_string(), host: name });
            if matches!(kind, FaultKind::Drain | FaultKind::Replace)
                && self.hosts[host].readiness != Readiness::Left
            {
                self.stop_process(now, host);
                self.set_readiness(now, host, Readiness::Left);
                self.emit(now, Output::Down { host });
            }
            self.apply_effects(now, host);
        }
    }

    /// Ends all activity of a process that has died, vanished or left.
    fn stop_process(&mut self, now: f64, host: usize) {
        let jobs: Vec<u64> = self.jobs.iter().filter(|(_, j)| j.host == host).map(|(n, _)| *n).collect();
        let node = self.hosts[host].node;
        for job in jobs {
            self.jobs.remove(&job);
            self.machines[node].cpu.stop(now, job);
        }
        self.rearm_cpu_timer(node);
        let host_state = &mut self.hosts[host];
        host_state.deferred_inputs.clear();
        host_state.withheld_outputs.clear();
        host_state.suspended_jobs.clear();
        host_state.cold_load.clear();
        host_state.replay.halt();
        for conn in std::mem::take(&mut host_state.conns) {
            self.conns.remove(&conn);
        }
    }

    /// Applies the combined effect of a host's active faults.
    fn apply_effects(&mut self, now: f64, host: usize) {
        if self.hosts[host].readiness == Readiness::Left {
            return;
        }
        let (group, node) = (self.hosts[host].group, self.hosts[host].node);
        let idle = self.plan.kinds[self.machines[node].kind].idle_timeout_s;
        let kinds = self.hosts[host].faults.iter().map(|f| &self.injected_faults[*f].fault.kind);
        let new = Effects::of(kinds, idle);
        let old = std::mem::replace(&mut self.hosts[host].effects, new.clone());
        if old.is_alive() && !new.is_alive() {
            self.stop_process(now, host);
        }
        match (old.unreachable, old.crashed, new.unreachable, new.crashed) {
            (false, _, true, _) => self.emit(now, Output::Unreachable { host }),
            // A vanished machine that is back without its process resets the connections that were left open.
            (true, _, false, true) | (false, false, false, true) => self.emit(now, Output::Down { host }),
            _ => {}
        }
        if !old.is_alive() && new.is_alive() {
            self.start_process(now, host);
        }
        if new.is_alive() && old.refuses_connections != new.refuses_connections {
            self.emit(
                now,
                if new.refuses_connections {
                    Output::RefuseConnections { host }
                } else {
                    Output::AcceptConnections { host }
                },
            );
        } else if new.is_alive() && !old.is_alive() && new.refuses_connections {
            self.emit(now, Output::RefuseConnections { host });
        }
        if old.speed != new.speed {
            let hosts = self.machines[node].hosts.iter();
            let share = hosts.map(|h| self.hosts[*h].effects.speed).fold(1.0, f64::min);
            self.machines[node].cpu.set_share(now, share);
            self.rearm_cpu_timer(node);
        }
        // The replay thread stops with the process and slows down with the machine.
        let rate = if new.is_reachable() { new.replay_rate * new.speed } else { 0.0 };
        self.hosts[host].replay.set_rate(now, rate);
        self.continue_replay(now, host);
        if new.is_alive() && old.is_alive() {
            self.pause_or_resume(now, host, old.paused, new.paused);
        }
        if old.hung && !new.hung {
            for (conn, output) in std::mem::take(&mut self.hosts[host].withheld_outputs) {
                if self.conns.contains_key(&conn) {
                    self.set_idle(now, conn);
                    self.emit(now, output);
                }
            }
        }
        if old.idle_timeout_s != new.idle_timeout_s {
            for conn in self.hosts[host].conns.clone() {
                if self.conns.get(&conn).is_some_and(|c| c.state == ConnState::Idle) {
                    self.set_idle(now, conn);
                }
            }
        }
        self.update_log_links(now, group);
        self.evaluate_roles(now, group);
    }

    fn pause_or_resume(&mut self, now: f64, host: usize, before: bool, after: bool) {
        let node = self.hosts[host].node;
        if !before && after {
            let jobs: Vec<u64> = self.jobs.iter().filter(|(_, j)| j.host == host).map(|(n, _)| *n).collect();
            for job in jobs {
                if let Some(remaining_work) = self.machines[node].cpu.stop(now, job) {
                    self.hosts[host].suspended_jobs.push((job, remaining_work));
                }
            }
        } else if before && !after {
            for (job, remaining_work) in std::mem::take(&mut self.hosts[host].suspended_jobs) {
                if self.jobs.contains_key(&job) {
                    self.machines[node].cpu.start(now, job, remaining_work);
                }
            }
            for (conn, input) in std::mem::take(&mut self.hosts[host].deferred_inputs) {
                self.handle_input(now, host, conn, input);
            }
        }
        self.rearm_cpu_timer(node);
    }

    /// Starts a process, which is cold at first.
    fn start_process(&mut self, now: f64, host: usize) {
        self.hosts[host].since = now;
        self.hosts[host].cold_load.clear();
        self.emit(now, Output::Up { host });
        self.record_event(now, Event::Started { host: self.hosts[host].name.clone() });
        self.announce_listing(now, host);
    }
}

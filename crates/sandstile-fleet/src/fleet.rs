//! The whole: machines, hosts and groups, and the one queue of what is to happen when.
use crate::event::{Answer, Event, Input, Output, Readiness, StatementRequest};
use crate::fault::{Effects, Fault, FaultKind, Target};
use crate::group::{Group, STEP};
use crate::host::{Cold, Conn, Doing, Host, Job, What};
use crate::machine::Machine;
use crate::plan::{Consistency, Effect, Node, Plan, Tokens};
use crate::random::Rng;
use crate::replay::Replay;
use crate::roles::{Seen, Step};
use sandstile_timers::TimerWheel;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Debug)]
enum Timer {
    Cpu {
        node: usize,
        turn: u64,
    },
    Replay {
        host: usize,
        turn: u64,
    },
    /// Commits reach a replica, if the primary of that term still speaks.
    Arrive {
        to: usize,
        from: usize,
        upto: u64,
        term: u64,
    },
    /// A held read looks again.
    Hold {
        job: u64,
    },
    Idle {
        conn: u64,
        turn: u64,
    },
    Rise {
        conn: u64,
    },
    FaultEnds {
        fault: usize,
    },
    Look {
        group: usize,
    },
}

struct Standing {
    fault: Fault,
    hosts: Vec<usize>,
    over: bool,
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
    standing: Vec<Standing>,
    replaced: usize,
    timers: TimerWheel<Timer>,
    now: f64,
    outputs: VecDeque<(f64, Output)>,
    events: VecDeque<(f64, Event)>,
    work: Vec<Rng>,
    replay: Vec<Rng>,
    luck: Rng,
}

/// Between looks of a read that is held.
const HOLD_LOOK: f64 = 0.005;

impl Fleet {
    /// The fleet at `now`, all of it up for long and in step.
    pub fn new(plan: Plan, now: f64) -> Self {
        let kind = |n: &Node| &plan.kinds[n.kind];
        let machines: Vec<Machine> =
            plan.nodes.iter().map(|n| Machine::new(&n.name, &n.zone, n.kind, kind(n), now)).collect();
        let streams = |of: &str, names: Vec<&String>| -> Vec<Rng> {
            names.iter().map(|n| Rng::new(plan.seed, &format!("{of} {n}"))).collect()
        };
        let work = streams("work", plan.workloads.iter().map(|w| &w.name).collect());
        let replay = streams("replay", plan.groups.iter().map(|g| &g.name).collect());
        let luck = Rng::new(plan.seed, "luck");
        let mut fleet = Fleet {
            machines,
            hosts: Vec::new(),
            groups: Vec::new(),
            conns: BTreeMap::new(),
            jobs: BTreeMap::new(),
            next_job: 0,
            standing: Vec::new(),
            replaced: 0,
            timers: TimerWheel::starting_at(now),
            now,
            outputs: VecDeque::new(),
            events: VecDeque::new(),
            work,
            replay,
            luck,
            plan,
        };
        for group in 0..fleet.plan.groups.len() {
            let nodes = fleet.plan.groups[group].nodes.clone();
            let hosts: Vec<usize> = nodes
                .iter()
                .map(|node| fleet.host(fleet.plan.host_name(group, *node), group, *node, 0.0))
                .collect();
            for host in &hosts {
                fleet.hosts[*host].linked = true;
            }
            fleet.groups.push(Group::new(&fleet.plan.groups[group], hosts[0], hosts.clone()));
            let (name, host) = (fleet.plan.groups[group].name.clone(), fleet.hosts[hosts[0]].name.clone());
            fleet.event(now, Event::Primary { group: name, host, term: 1 });
        }
        fleet
    }

    fn host(&mut self, name: String, group: usize, node: usize, since: f64) -> usize {
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
            linked: false,
            follows: 1,
            heard_to: 0.0,
            conns: BTreeSet::new(),
            deferred: VecDeque::new(),
            withheld: Vec::new(),
            suspended: Vec::new(),
            cold: Cold::default(),
        });
        index
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    pub fn listing(&self, host: usize) -> Listing {
        let h = &self.hosts[host];
        Listing {
            name: h.name.clone(),
            group: self.plan.groups[h.group].name.clone(),
            zone: self.machines[h.node].zone.clone(),
            machine: self.machines[h.node].name.clone(),
            readiness: h.readiness,
            since: h.since,
            primary: self.groups[h.group].roles.primary == Some(host),
        }
    }

    /// Whether its process is there, if only standing still.
    pub fn lives(&self, host: usize) -> bool {
        self.hosts[host].effects.lives() && self.hosts[host].readiness != Readiness::Left
    }

    pub fn effects(&self, host: usize) -> &Effects {
        &self.hosts[host].effects
    }

    pub fn find(&self, name: &str) -> Option<usize> {
        self.hosts.iter().position(|h| h.name == name)
    }

    pub fn primary_of(&self, group: usize) -> Option<usize> {
        self.groups[group].roles.primary
    }

    /// Commits that a replica has yet to apply, and those it has yet to receive.
    pub fn backlog(&self, host: usize) -> (u64, u64) {
        let h = &self.hosts[host];
        (h.replay.received - h.replay.applied, self.groups[h.group].end().saturating_sub(h.replay.received))
    }

    /// Statements that run or wait on the host's machine.
    pub fn jobs_at(&self, host: usize) -> usize {
        self.machines[self.hosts[host].node].cpu.jobs()
    }

    pub fn next_wake(&mut self) -> Option<f64> {
        self.timers.earliest()
    }

    pub fn output(&mut self) -> Option<(f64, Output)> {
        self.outputs.pop_front()
    }

    pub fn next_event(&mut self) -> Option<(f64, Event)> {
        self.events.pop_front()
    }

    fn event(&mut self, at: f64, event: Event) {
        self.events.push_back((at, event));
    }

    fn out(&mut self, at: f64, output: Output) {
        self.outputs.push_back((at, output));
    }

    /// Lets time pass: all that is due by `now` happens, each thing at its own time.
    pub fn advance(&mut self, now: f64) {
        while let Some((at, timer)) = self.timers.pop(now) {
            self.now = self.now.max(at);
            self.due(self.now, timer);
        }
        self.now = self.now.max(now);
    }

    /// Something comes from outside over this connection. Numbers of connections are the driver's, each used once.
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
        if !self.lives(host) {
            return;
        }
        if self.hosts[host].effects.paused {
            if let Input::Connect { .. } = input {
                self.conns.insert(conn, Conn { host, doing: Doing::Rising, turn: 0, served: 0 });
                self.hosts[host].conns.insert(conn);
            }
            return self.hosts[host].deferred.push_back((conn, input));
        }
        self.take(now, host, conn, input);
    }

    fn take(&mut self, now: f64, host: usize, conn: u64, input: Input) {
        match input {
            Input::Connect { .. } => self.connect(now, host, conn),
            Input::Statement(ask) => self.statement(now, host, conn, ask),
            Input::Report => {
                self.event(now, Event::Probed { host: self.hosts[host].name.clone() });
                let (primary, position) = (self.is_primary(host), self.position(now, host));
                let machine = &self.machines[self.hosts[host].node];
                let share = machine.cpu.jobs() as f64 / machine.cpu.capacity().max(1e-9);
                let (term, jobs) = (self.term_followed(host), machine.cpu.jobs());
                let answer = Answer::Report { primary, position, term, jobs, share };
                self.say(now, host, conn, answer, None);
            }
            Input::Closed => self.closed(now, host, conn),
        }
    }

    fn connect(&mut self, now: f64, host: usize, conn: u64) {
        let node = self.hosts[host].node;
        self.event(now, Event::Dialled { host: self.hosts[host].name.clone() });
        let kind = &self.plan.kinds[self.machines[node].kind];
        // One that came while the process stood still is on record already.
        self.hosts[host].conns.remove(&conn);
        self.conns.remove(&conn);
        if self.hosts[host].conns.len() >= kind.connections {
            self.event(now, Event::TurnedAway { host: self.hosts[host].name.clone() });
            return self.out(now, Output::TurnAway { conn, code: "53300" });
        }
        self.conns.insert(conn, Conn { host, doing: Doing::Rising, turn: 0, served: 0 });
        self.hosts[host].conns.insert(conn);
        let wait = self.hosts[host].effects.greet_s;
        if wait > 0.0 {
            return self.timers.push(now + wait, Timer::Rise { conn });
        }
        self.rise(now, conn);
    }

    /// The set-up's own work, as any other work of the machine.
    fn rise(&mut self, now: f64, conn: u64) {
        let Some(c) = self.conns.get(&conn) else { return };
        let host = c.host;
        let work = self.plan.kinds[self.machines[self.hosts[host].node].kind].setup_work;
        let job = self.job(host, Some(conn), What::Setup);
        self.run(now, job, work);
    }

    fn job(&mut self, host: usize, conn: Option<u64>, what: What) -> u64 {
        self.next_job += 1;
        self.jobs.insert(self.next_job, Job { host, conn, what });
        self.next_job
    }

    /// Puts a job on its machine's cores. A cold process needs more for the same.
    fn run(&mut self, now: f64, job: u64, work: f64) {
        let host = self.jobs[&job].host;
        let node = self.hosts[host].node;
        let kind = &self.plan.kinds[self.machines[node].kind];
        let warmth = self.hosts[host].warmth(kind, now);
        self.machines[node].cpu.start(now, job, work / warmth.max(1e-3));
        self.rearm(node);
    }

    fn rearm(&mut self, node: usize) {
        let machine = &mut self.machines[node];
        machine.turn += 1;
        if let Some(at) = machine.cpu.next() {
            self.timers.push(at, Timer::Cpu { node, turn: machine.turn });
        }
    }

    fn is_primary(&self, host: usize) -> bool {
        self.groups[self.hosts[host].group].roles.primary == Some(host)
    }

    /// The term whose log a host holds: one that has not heard of the present primary still follows the last.
    fn term_followed(&self, host: usize) -> u64 {
        let roles = &self.groups[self.hosts[host].group].roles;
        if roles.primary == Some(host) {
            roles.term
        } else {
            self.hosts[host].follows
        }
    }

    /// All commits up to this time are applied here.
    fn position(&self, now: f64, host: usize) -> f64 {
        let h = &self.hosts[host];
        let group = &self.groups[h.group];
        if group.roles.primary == Some(host) {
            return now;
        }
        let heard_to =
            if h.linked { now - self.plan.groups[h.group].replication_delay_s } else { h.heard_to };
        match group.position(h.replay.applied.max(group.base())) {
            Some(next) if h.replay.applied < h.replay.received => next - STEP,
            _ => heard_to,
        }
    }

    fn statement(&mut self, now: f64, host: usize, conn: u64, ask: StatementRequest) {
        let names = (self.hosts[host].name.clone(), self.plan.workloads[ask.workload].name.clone());
        self.event(now, Event::Taken { host: names.0, id: ask.id.clone(), workload: names.1 });
        let doing = self.conns.get(&conn).map(|c| c.doing);
        if doing != Some(Doing::Idle) {
            // A second command before the first is answered: hosts of this protocol take one at a time.
            return self.error(now, host, conn, &ask.id, "08P01");
        }
        let errors = self.hosts[host].effects.errors;
        if self.luck.bernoulli(errors) {
            return self.error(now, host, conn, &ask.id, "XX000");
        }
        if self.hosts[host].readiness != Readiness::Active {
            return self.error(now, host, conn, &ask.id, "53300");
        }
        let group = self.hosts[host].group;
        let workload = &self.plan.workloads[ask.workload];
        let primary = self.is_primary(host);
        let need = match workload.consistency {
            Consistency::Write if !primary || self.groups[group].closed => {
                return self.error(now, host, conn, &ask.id, "25006");
            }
            Consistency::Write | Consistency::Any => 0.0,
            // Only the primary is sure to have all.
            Consistency::Fresh => now,
            Consistency::Bounded => now - workload.max_age_s,
            Consistency::Session => match (self.plan.tokens, &ask.session) {
                (Tokens::Carried, _) => ask.after.unwrap_or(0.0),
                (Tokens::Remembered, Some(session)) => self.groups[group].marked(session),
                (Tokens::Remembered, None) => 0.0,
            },
        };
        let fresh = workload.consistency == Consistency::Fresh;
        let term = self.groups[group].roles.term;
        let what = What::Statement { ask, need, reached: 0.0, term, held_until: None };
        let job = self.job(host, Some(conn), what);
        if let Some(c) = self.conns.get_mut(&conn) {
            c.doing = Doing::Busy(job);
            c.turn += 1;
        }
        let reached = self.position(now, host);
        if self.plan.hosts_check_reads && !primary && reached < need {
            let hold = self.plan.groups[group].hold_s;
            if fresh || hold <= 0.0 {
                return self.refuse(now, job, "72000");
            }
            if let Some(Job { what: What::Statement { held_until, .. }, .. }) = self.jobs.get_mut(&job) {
                *held_until = Some(now + hold);
            }
            return self.timers.push(now + HOLD_LOOK.min(hold), Timer::Hold { job });
        }
        self.begin_work(now, job, reached);
    }

    /// A statement's work begins, or there is no room for it.
    fn begin_work(&mut self, now: f64, job: u64, at: f64) {
        let Some(Job { host, what: What::Statement { ask, reached, held_until, .. }, .. }) =
            self.jobs.get_mut(&job)
        else {
            return;
        };
        let (host, workload) = (*host, ask.workload);
        *reached = at;
        *held_until = None;
        let node = self.hosts[host].node;
        if self.machines[node].cpu.full() {
            return self.refuse(now, job, "53300");
        }
        let mut work = self.work[workload].work(&self.plan.workloads[workload].work);
        let conn = self.jobs[&job].conn.and_then(|conn| self.conns.get_mut(&conn));
        if let Some(conn) = conn {
            conn.served = conn.served.saturating_add(1);
            let kind = &self.plan.kinds[self.machines[node].kind];
            if conn.served <= kind.first_statements {
                work *= kind.first_statements_factor;
            }
        }
        self.run(now, job, work);
        let kind = &self.plan.kinds[self.machines[node].kind];
        let warmth = self.hosts[host].warmth(kind, now);
        if warmth >= 1.0 {
            return;
        }
        let (most, window) = (kind.cold_overload_multiple, kind.cold_overload_window_s);
        let restart = kind.restart_s;
        let cpu = &self.machines[node].cpu;
        let could = cpu.capacity() * cpu.share() * warmth;
        let multiple = self.hosts[host].cold.offer(now, work, window, could);
        let name = self.hosts[host].name.clone();
        if multiple > most {
            self.event(now, Event::Tipped { host: name, multiple, most });
            let fault =
                Fault { kind: FaultKind::Crash, target: Target::Host(String::new()), duration_s: restart };
            self.stand(now, fault, vec![host]);
        } else if multiple > self.hosts[host].cold.peak + 0.25 {
            self.hosts[host].cold.peak = multiple;
            self.event(now, Event::Pushed { host: name, multiple, most });
        }
    }

    /// Ends a job that never ran.
    fn refuse(&mut self, now: f64, job: u64, code: &'static str) {
        let Some(Job { host, conn, what: What::Statement { ask, .. } }) = self.jobs.remove(&job) else {
            return;
        };
        match conn {
            Some(conn) => self.error(now, host, conn, &ask.id, code),
            None => self.said(now, host, &ask.id, code),
        }
    }

    fn error(&mut self, now: f64, host: usize, conn: u64, id: &str, code: &'static str) {
        let (primary, position) = (self.is_primary(host), self.position(now, host));
        self.said(now, host, id, code);
        let term = self.term_followed(host);
        self.say(now, host, conn, Answer::Error { code, primary, position, term }, None);
    }

    fn said(&mut self, now: f64, host: usize, id: &str, how: &str) {
        let (host, id, how) = (self.hosts[host].name.clone(), id.to_string(), how.to_string());
        self.event(now, Event::Said { host, id, how });
    }

    /// Puts an answer on its connection, which is idle from then on; a hung process keeps it to itself.
    fn say(&mut self, now: f64, host: usize, conn: u64, answer: Answer, spoilt: Option<usize>) {
        let answer = spoilt.map_or(answer, |how| Answer::Spoilt { how });
        let output = Output::Answer { conn, answer };
        if self.hosts[host].effects.hung {
            return self.hosts[host].withheld.push((conn, output));
        }
        self.idle(now, conn);
        self.out(now, output);
    }

    fn idle(&mut self, now: f64, conn: u64) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        c.doing = Doing::Idle;
        c.turn += 1;
        let idle = self.hosts[c.host].effects.idle_timeout_s;
        self.timers.push(now + idle, Timer::Idle { conn, turn: c.turn });
    }

    fn closed(&mut self, now: f64, host: usize, conn: u64) {
        let Some(c) = self.conns.remove(&conn) else { return };
        self.hosts[host].conns.remove(&conn);
        let Doing::Busy(job) = c.doing else { return };
        let node = self.hosts[host].node;
        let stops = self.plan.kinds[self.machines[node].kind].stops_on_disconnect;
        let Some(held) = self.jobs.get_mut(&job) else { return };
        held.conn = None;
        let What::Statement { ask, held_until, .. } = &held.what else { return };
        // What waits for the log has not begun, and nobody wants it any more.
        let stopped = stops || held_until.is_some();
        let (id, host) = (ask.id.clone(), self.hosts[host].name.clone());
        self.event(now, Event::Left { host, id, stopped });
        if stopped {
            self.jobs.remove(&job);
            self.machines[node].cpu.stop(now, job);
            self.rearm(node);
        }
    }

    fn due(&mut self, now: f64, timer: Timer) {
        match timer {
            Timer::Cpu { node, turn } => {
                if self.machines[node].turn != turn {
                    return;
                }
                while let Some((at, job)) = self.machines[node].cpu.ended(now) {
                    self.finish(at.max(now), job);
                }
                self.rearm(node);
            }
            Timer::Replay { host, turn } => {
                if self.hosts[host].replay.turn == turn && self.hosts[host].replay.done(now) {
                    self.replay_on(now, host);
                }
            }
            Timer::Arrive { to, from, upto, term } => self.arrive(now, to, from, upto, term),
            Timer::Hold { job } => self.look_at_held(now, job),
            Timer::Idle { conn, turn } => {
                let Some(c) = self.conns.get(&conn).filter(|c| c.turn == turn && c.doing == Doing::Idle)
                else {
                    return;
                };
                let host = c.host;
                if self.hosts[host].effects.paused {
                    // It closes once it goes on.
                    return self.timers.push(now + 0.05, Timer::Idle { conn, turn });
                }
                self.conns.remove(&conn);
                self.hosts[host].conns.remove(&conn);
                self.out(now, Output::Close { conn });
            }
            Timer::Rise { conn } => self.rise(now, conn),
            Timer::FaultEnds { fault } => self.fault_ends(now, fault),
            Timer::Look { group } => self.look(now, group),
        }
    }

    fn look_at_held(&mut self, now: f64, job: u64) {
        let Some(Job { host, what: What::Statement { need, held_until: Some(until), .. }, .. }) =
            self.jobs.get(&job)
        else {
            return;
        };
        let (host, need, until) = (*host, *need, *until);
        if self.hosts[host].effects.paused {
            return self.timers.push(now + HOLD_LOOK, Timer::Hold { job });
        }
        let reached = self.position(now, host);
        if reached >= need {
            self.begin_work(now, job, reached);
        } else if now >= until {
            self.refuse(now, job, "72000");
        } else {
            self.timers.push((now + HOLD_LOOK).min(until), Timer::Hold { job });
        }
    }

    /// A job's work is done: this is the moment at which a statement has run.
    fn finish(&mut self, now: f64, job: u64) {
        let Some(Job { host, conn, what }) = self.jobs.remove(&job) else { return };
        let What::Statement { ask, need, reached, term, .. } = what else {
            let Some(conn) = conn else { return };
            if self.conns.contains_key(&conn) {
                self.idle(now, conn);
                self.event(now, Event::Greeted { host: self.hosts[host].name.clone() });
                self.out(now, Output::Greet { conn });
            }
            return;
        };
        let group = self.hosts[host].group;
        let workload = &self.plan.workloads[ask.workload];
        let writes = workload.consistency == Consistency::Write;
        let (deduplicated, bytes) = (workload.effect == Effect::Deduplicated, workload.value_bytes);
        let mut position = self.position(now, host);
        if writes {
            let leads = self.is_primary(host) && self.groups[group].roles.term == term;
            if !leads {
                // Its term is over: the commit is denied, and whoever asked can't tell.
                return match conn {
                    Some(conn) => self.error(now, host, conn, &ask.id, "XX000"),
                    None => self.said(now, host, &ask.id, "XX000"),
                };
            }
            let window = self.plan.groups[group].dedup_window_s;
            let before = match deduplicated {
                true => self.groups[group].repeats(now, &ask.id, window),
                false => None,
            };
            match before {
                Some(first) => {
                    position = first;
                    let (host, id) = (self.hosts[host].name.clone(), ask.id.clone());
                    self.event(now, Event::Repeated { host, id });
                }
                None => {
                    position = self.commit(now, group, host, &ask);
                    if deduplicated {
                        self.groups[group].remember(now, &ask.id, position);
                    }
                }
            }
        } else {
            let (name, workload) = (self.hosts[host].name.clone(), workload.name.clone());
            let (id, session) = (ask.id.clone(), ask.session.clone());
            let ran = Event::Ran { host: name, id, workload, session, commit: None, reached, need };
            self.event(now, ran);
        }
        let Some(conn) = conn else { return self.said(now, host, &ask.id, "nobody") };
        let spoils = self.hosts[host].effects.spoils;
        let spoilt = self.luck.bernoulli(spoils).then(|| self.luck.below(4));
        self.said(now, host, &ask.id, if spoilt.is_some() { "spoilt" } else { "row" });
        let primary = self.is_primary(host);
        let term = self.term_followed(host);
        self.say(now, host, conn, Answer::Row { id: ask.id, bytes, primary, position, term }, spoilt);
    }

    fn commit(&mut self, now: f64, group: usize, host: usize, ask: &StatementRequest) -> f64 {
        let position = self.groups[group].commit(now, &ask.id);
        let upto = self.groups[group].end();
        self.hosts[host].replay.receive(upto);
        self.hosts[host].replay.applied = upto;
        if let Some(session) = &ask.session {
            self.groups[group].mark(session, position);
        }
        let name = self.hosts[host].name.clone();
        let workload = self.plan.workloads[ask.workload].name.clone();
        let (id, session) = (ask.id.clone(), ask.session.clone());
        let commit = Some(position);
        let ran = Event::Ran { host: name, id, workload, session, commit, reached: position, need: 0.0 };
        self.event(now, ran);
        let (term, ship) = (self.groups[group].roles.term, self.plan.groups[group].replication_delay_s);
        for to in self.groups[group].hosts.clone() {
            if to != host && self.lives(to) {
                self.timers.push(now + ship, Timer::Arrive { to, from: host, upto, term });
            }
        }
        let applied =
            self.groups[group].hosts.iter().filter(|h| self.hosts[**h].readiness != Readiness::Left);
        let least = applied.map(|h| self.hosts[*h].replay.applied).min().unwrap_or(0);
        self.groups[group].trim(least);
        position
    }

    fn arrive(&mut self, now: f64, to: usize, from: usize, upto: u64, term: u64) {
        let group = self.hosts[to].group;
        let spoken = self.groups[group].roles.term == term && self.is_primary(from);
        if !spoken || !self.hosts[from].effects.heard() || !self.hosts[to].effects.heard() {
            return;
        }
        let base = self.groups[group].base();
        let h = &mut self.hosts[to];
        // So far behind that the log is gone: a copy of the whole.
        h.replay.applied = h.replay.applied.max(base.min(upto));
        h.replay.receive(upto);
        h.linked = true;
        h.follows = term;
        self.replay_on(now, to);
    }

    /// The replay thread takes up the next commit.
    fn replay_on(&mut self, now: f64, host: usize) {
        let group = self.hosts[host].group;
        if !self.hosts[host].effects.lives() || self.is_primary(host) {
            return;
        }
        if self.hosts[host].replay.idle_with_work() {
            let work = self.replay[group].work(&self.plan.groups[group].apply);
            self.hosts[host].replay.begin(now, work);
        }
        let replay = &self.hosts[host].replay;
        if let Some(at) = replay.next() {
            self.timers.push(at, Timer::Replay { host, turn: replay.turn });
        }
    }

    fn resync(&mut self, now: f64, host: usize) {
        let group = self.hosts[host].group;
        let Some(from) = self.groups[group].roles.primary.filter(|p| *p != host) else { return };
        let (upto, term) = (self.groups[group].end(), self.groups[group].roles.term);
        let ship = self.plan.groups[group].replication_delay_s;
        self.timers.push(now + ship, Timer::Arrive { to: host, from, upto, term });
    }

    /// Who hears the primary, after something has changed.
    fn relink(&mut self, now: f64, group: usize) {
        let primary = self.groups[group].roles.primary;
        let speaks = primary.is_some_and(|p| self.hosts[p].effects.heard());
        for host in self.groups[group].hosts.clone() {
            let hears = speaks && self.hosts[host].effects.heard();
            if self.hosts[host].linked && !hears {
                self.hosts[host].heard_to = now - self.plan.groups[group].replication_delay_s;
                self.hosts[host].linked = false;
            } else if !self.hosts[host].linked && hears && Some(host) != primary {
                self.resync(now, host);
            }
        }
    }

    fn look(&mut self, now: f64, group: usize) {
        let seen: Vec<Seen> = self.groups[group]
            .hosts
            .iter()
            .map(|host| {
                let h = &self.hosts[*host];
                Seen {
                    host: *host,
                    heard: h.effects.heard() && h.readiness != Readiness::Left,
                    eligible: h.readiness == Readiness::Active,
                    received: h.replay.received,
                    applied: h.replay.applied,
                }
            })
            .collect();
        let steps = self.groups[group].roles.look(now, &seen);
        for step in steps {
            self.step(now, group, step);
        }
        if let Some(at) = self.groups[group].roles.wake_at() {
            // While a hand-over waits for the log, a look now and then.
            self.timers.push(if at <= now { now + 0.02 } else { at }, Timer::Look { group });
        }
    }

    fn step(&mut self, now: f64, group: usize, step: Step) {
        let name = self.plan.groups[group].name.clone();
        match step {
            Step::Close { .. } => self.groups[group].closed = true,
            Step::Vacate => {
                self.event(now, Event::Vacant { group: name });
                self.relink(now, group);
            }
            Step::Promote { host, term, keep } => {
                self.groups[group].closed = false;
                for record in self.groups[group].cut(keep) {
                    let (group, id) = (name.clone(), record.id);
                    self.event(now, Event::LostCommit { group, id, commit: record.position });
                }
                for other in self.groups[group].hosts.clone() {
                    self.hosts[other].replay.cut(now, keep);
                    self.hosts[other].linked &= other != host;
                }
                // It serves once it has applied what it had received, which takes part of the election.
                self.hosts[host].replay.halt();
                self.hosts[host].replay.applied = keep;
                self.hosts[host].follows = term;
                self.event(now, Event::Primary { group: name, host: self.hosts[host].name.clone(), term });
                self.relist(now, host);
                for other in self.groups[group].hosts.clone() {
                    if other != host {
                        let ship = self.plan.groups[group].replication_delay_s;
                        if std::mem::take(&mut self.hosts[other].linked) {
                            self.hosts[other].heard_to = now - ship;
                        }
                        self.resync(now, other);
                    }
                }
            }
        }
    }

    fn relist(&mut self, now: f64, host: usize) {
        let h = &self.hosts[host];
        let (readiness, since) = (h.readiness, h.since);
        self.out(now, Output::List { host, readiness, since });
    }

    /// Hosts that a target means now; empty where there are none.
    pub fn targets(&self, target: &Target) -> Vec<usize> {
        let group = |name: &str| self.plan.groups.iter().position(|g| g.name == name);
        let there = |host: &usize| self.hosts[*host].readiness != Readiness::Left;
        let found: Vec<usize> = match target {
            Target::Host(name) => self.find(name).into_iter().collect(),
            Target::Node(name) => {
                let node = self.machines.iter().find(|m| m.name == *name);
                node.map_or(Vec::new(), |m| m.hosts.clone())
            }
            Target::Primary(name) => {
                group(name).and_then(|g| self.groups[g].roles.primary).into_iter().collect()
            }
            Target::Replica(name, n) => {
                let members = group(name).map_or(Vec::new(), |g| self.groups[g].hosts.clone());
                let replicas = members.into_iter().filter(there).filter(|h| !self.is_primary(*h));
                replicas.skip(*n).take(1).collect()
            }
            Target::Group(name) => group(name).map_or(Vec::new(), |g| self.groups[g].hosts.clone()),
        };
        found.into_iter().filter(there).collect()
    }

    /// A fault begins; yields the hosts it stands on.
    pub fn start_fault(&mut self, now: f64, fault: Fault) -> Vec<usize> {
        self.advance(now);
        let hosts = self.targets(&fault.target);
        self.stand(self.now, fault, hosts.clone());
        hosts
    }

    fn stand(&mut self, now: f64, fault: Fault, hosts: Vec<usize>) {
        let number = self.standing.len();
        let kind = fault.kind.clone();
        if fault.duration_s.is_finite() {
            self.timers.push(now + fault.duration_s, Timer::FaultEnds { fault: number });
        }
        self.standing.push(Standing { fault, hosts: hosts.clone(), over: false });
        for host in hosts {
            let name = self.hosts[host].name.clone();
            self.event(now, Event::FaultBegins { fault: kind.word().to_string(), host: name });
            self.hosts[host].faults.push(number);
            if matches!(kind, FaultKind::Drain | FaultKind::Replace) {
                self.drain(now, host);
            }
            if kind == FaultKind::Replace {
                self.replace(now, host);
            }
            self.settle(now, host);
        }
    }

    fn drain(&mut self, now: f64, host: usize) {
        if self.hosts[host].readiness == Readiness::Active {
            self.list(now, host, Readiness::Leaving);
        }
    }

    fn list(&mut self, now: f64, host: usize, readiness: Readiness) {
        self.hosts[host].readiness = readiness;
        self.event(now, Event::Listed { host: self.hosts[host].name.clone(), readiness });
        self.relist(now, host);
    }

    /// A machine of the same kind with a cold host of a new name.
    fn replace(&mut self, now: f64, host: usize) {
        self.replaced += 1;
        let (group, old) = (self.hosts[host].group, self.hosts[host].node);
        let (zone, kind) = (self.machines[old].zone.clone(), self.machines[old].kind);
        let name = format!("{}-r{}", self.machines[old].name, self.replaced);
        let machine = Machine::new(&name, &zone, kind, &self.plan.kinds[kind], now);
        self.machines.push(machine);
        self.plan.nodes.push(Node { name: name.clone(), zone, kind });
        let node = self.machines.len() - 1;
        let born = self.host(self.plan.host_name(group, node), group, node, now);
        self.groups[group].hosts.push(born);
        // It starts from a copy that was made for it.
        let end = self.groups[group].end();
        self.hosts[born].replay = Replay::new(end, now);
        self.hosts[born].heard_to = now;
        let name = self.hosts[born].name.clone();
        self.event(now, Event::Started { host: name });
        self.out(now, Output::Born { host: born });
        self.list(now, born, Readiness::Active);
        self.resync(now, born);
    }

    fn fault_ends(&mut self, now: f64, number: usize) {
        if std::mem::replace(&mut self.standing[number].over, true) {
            return;
        }
        let (hosts, kind) = (self.standing[number].hosts.clone(), self.standing[number].fault.kind.clone());
        for host in hosts {
            self.hosts[host].faults.retain(|f| *f != number);
            let name = self.hosts[host].name.clone();
            self.event(now, Event::FaultEnds { fault: kind.word().to_string(), host: name });
            if matches!(kind, FaultKind::Drain | FaultKind::Replace)
                && self.hosts[host].readiness != Readiness::Left
            {
                self.stop(now, host);
                self.list(now, host, Readiness::Left);
                self.out(now, Output::Down { host });
            }
            self.settle(now, host);
        }
    }

    /// Ends all that a process does: it has died, vanished or left.
    fn stop(&mut self, now: f64, host: usize) {
        let jobs: Vec<u64> = self.jobs.iter().filter(|(_, j)| j.host == host).map(|(n, _)| *n).collect();
        let node = self.hosts[host].node;
        for job in jobs {
            self.jobs.remove(&job);
            self.machines[node].cpu.stop(now, job);
        }
        self.rearm(node);
        let h = &mut self.hosts[host];
        h.deferred.clear();
        h.withheld.clear();
        h.suspended.clear();
        h.cold.clear();
        h.replay.halt();
        for conn in std::mem::take(&mut h.conns) {
            self.conns.remove(&conn);
        }
    }

    /// Brings a host into the state that its faults come to together.
    fn settle(&mut self, now: f64, host: usize) {
        if self.hosts[host].readiness == Readiness::Left {
            return;
        }
        let (group, node) = (self.hosts[host].group, self.hosts[host].node);
        let idle = self.plan.kinds[self.machines[node].kind].idle_timeout_s;
        let kinds = self.hosts[host].faults.iter().map(|f| &self.standing[*f].fault.kind);
        let new = Effects::of(kinds, idle);
        let old = std::mem::replace(&mut self.hosts[host].effects, new.clone());
        if old.lives() && !new.lives() {
            self.stop(now, host);
        }
        match (old.silent, old.dead, new.silent, new.dead) {
            (false, _, true, _) => self.out(now, Output::Silent { host }),
            // What vanished and is back as nothing but a dead process resets what it left open.
            (true, _, false, true) | (false, false, false, true) => self.out(now, Output::Down { host }),
            _ => {}
        }
        if !old.lives() && new.lives() {
            self.start(now, host);
        }
        if new.lives() && old.refuses != new.refuses {
            self.out(now, if new.refuses { Output::Refuse { host } } else { Output::Admit { host } });
        } else if new.lives() && !old.lives() && new.refuses {
            self.out(now, Output::Refuse { host });
        }
        if old.speed != new.speed {
            let hosts = self.machines[node].hosts.iter();
            let share = hosts.map(|h| self.hosts[*h].effects.speed).fold(1.0, f64::min);
            self.machines[node].cpu.set_share(now, share);
            self.rearm(node);
        }
        // Its replay thread stands still with the process, and is slow with the machine.
        let rate = if new.heard() { new.replay * new.speed } else { 0.0 };
        self.hosts[host].replay.set_rate(now, rate);
        self.replay_on(now, host);
        if new.lives() && old.lives() {
            self.stand_still_or_go_on(now, host, old.paused, new.paused);
        }
        if old.hung && !new.hung {
            for (conn, output) in std::mem::take(&mut self.hosts[host].withheld) {
                if self.conns.contains_key(&conn) {
                    self.idle(now, conn);
                    self.out(now, output);
                }
            }
        }
        if old.idle_timeout_s != new.idle_timeout_s {
            for conn in self.hosts[host].conns.clone() {
                if self.conns.get(&conn).is_some_and(|c| c.doing == Doing::Idle) {
                    self.idle(now, conn);
                }
            }
        }
        self.relink(now, group);
        self.look(now, group);
    }

    fn stand_still_or_go_on(&mut self, now: f64, host: usize, before: bool, after: bool) {
        let node = self.hosts[host].node;
        if !before && after {
            let jobs: Vec<u64> = self.jobs.iter().filter(|(_, j)| j.host == host).map(|(n, _)| *n).collect();
            for job in jobs {
                if let Some(left) = self.machines[node].cpu.stop(now, job) {
                    self.hosts[host].suspended.push((job, left));
                }
            }
        } else if before && !after {
            for (job, left) in std::mem::take(&mut self.hosts[host].suspended) {
                if self.jobs.contains_key(&job) {
                    self.machines[node].cpu.start(now, job, left);
                }
            }
            for (conn, input) in std::mem::take(&mut self.hosts[host].deferred) {
                self.take(now, host, conn, input);
            }
        }
        self.rearm(node);
    }

    /// A process begins, cold.
    fn start(&mut self, now: f64, host: usize) {
        self.hosts[host].since = now;
        self.hosts[host].cold.clear();
        self.out(now, Output::Up { host });
        self.event(now, Event::Started { host: self.hosts[host].name.clone() });
        self.relist(now, host);
    }
}

//! One router of the model: its connections, the executions on them, and what decides. The module decides here as it
//! does behind sockets; `InstanceDriver::direct` decides nothing and asks the primary, as clients without a router would.
use sandstile_fleet::event::{Answer, Input, StatementRequest};
use sandstile_policy::policy::Instance;
use sandstile_policy::terms::{Arrival, Decision, HostReport, ListedHost, OutcomeClass};
use sandstile_restart_pacing::{DialDecision, DialOutcome, DialPacer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a client wants; `key` is its own name for it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub key: u64,
    pub workload: usize,
    pub group: usize,
    pub session: usize,
    /// Seconds that it waits.
    pub wait: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer {
    Completed,
    /// With the seconds after which to come again, 0 for none.
    Rejected(f64),
    Aborted,
}

/// What a router does to the world; connections are named by the world.
#[derive(Debug)]
pub enum DriverAction {
    Dial { conn: u64, host: usize, until: f64 },
    Say { conn: u64, input: Input, until: f64 },
    Leave(u64),
    Answer { key: u64, answer: FinalAnswer },
}

#[derive(Clone, Copy, Debug)]
struct Job {
    /// `None` for a probe.
    which: Option<(u64, usize)>,
    until: f64,
}

enum Doing {
    Rising(Job),
    /// Dialled since then, for whatever waits longest by the time that it is up.
    Paced(f64),
    Idle,
    Busy(Job),
}

struct Conn {
    host: usize,
    doing: Doing,
}

struct Open {
    wanted: ClientRequest,
    answered: bool,
    hosts: Vec<usize>,
}

enum Decider {
    Module(Box<Instance>),
    /// The primary of each group, as known from the start.
    Direct(Vec<usize>),
}

pub struct InstanceDriver {
    decider: Decider,
    conns: BTreeMap<u64, Conn>,
    /// Idle connections of each host, the latest used last.
    idle: BTreeMap<usize, Vec<u64>>,
    open: BTreeMap<u64, Open>,
    next: u64,
    /// Statements that may be over.
    ending: BTreeSet<u64>,
    acts: Vec<DriverAction>,
    /// Names of connections come from here, each used once.
    conns_made: u64,
    /// Keeps the names of two routers' connections apart.
    stride: u64,
    dial_limit: f64,
    /// Where dials are paced: when they may begin, and the jobs of each host that wait, with the end of their patience.
    dials: Option<DialPacer>,
    waiting: BTreeMap<usize, VecDeque<(f64, Job)>>,
    /// Dials under way at each host, and when one that waits for its turn may begin.
    under_way: BTreeMap<usize, usize>,
    turn_at: f64,
    met: BTreeSet<usize>,
    /// Executions sent.
    pub sent: u64,
    pub probes: u64,
}

impl InstanceDriver {
    /// A router with the module. `number` of so many routers.
    pub fn with_policy(policy: Instance, number: u64, of: u64, dial_limit: f64) -> Self {
        InstanceDriver::new(Decider::Module(Box::new(policy)), number, of, dial_limit)
    }

    /// Clients that hold connections to the primaries themselves.
    pub fn direct(primaries: Vec<usize>, number: u64, of: u64) -> Self {
        InstanceDriver::new(Decider::Direct(primaries), number, of, 60.0)
    }

    fn new(decider: Decider, number: u64, of: u64, dial_limit: f64) -> Self {
        InstanceDriver {
            decider,
            conns: BTreeMap::new(),
            idle: BTreeMap::new(),
            open: BTreeMap::new(),
            next: 0,
            ending: BTreeSet::new(),
            acts: Vec::new(),
            conns_made: number,
            stride: of,
            dial_limit,
            dials: None,
            waiting: BTreeMap::new(),
            under_way: BTreeMap::new(),
            turn_at: f64::INFINITY,
            met: BTreeSet::new(),
            sent: 0,
            probes: 0,
        }
    }

    /// Its dials keep this pace.
    pub fn with_dial_pacing(mut self, dials: DialPacer) -> Self {
        self.dials = Some(dials);
        self
    }

    /// It takes the place of another: names of connections are used once in the world's life.
    pub(crate) fn goes_on_from(&mut self, former: &InstanceDriver) {
        self.conns_made = former.conns_made;
    }

    pub fn acts(&mut self) -> Vec<DriverAction> {
        std::mem::take(&mut self.acts)
    }

    /// Whether this connection is one of its own that is still there.
    pub fn has(&self, conn: u64) -> bool {
        self.conns.contains_key(&conn)
    }

    pub fn listed(&mut self, now: f64, list: &[ListedHost]) {
        if let Decider::Module(policy) = &mut self.decider {
            policy.update_hosts(now, list);
        }
        for host in list.iter().map(|m| m.host) {
            let initial_dials = self.dials.as_ref().map_or(0, DialPacer::initial_dials);
            if self.met.insert(host) {
                (0..initial_dials).for_each(|_| self.dial(now, host));
            }
        }
        self.decide(now);
    }

    pub fn statement_arrived(&mut self, now: f64, wanted: ClientRequest) {
        let statement_id = self.next;
        self.next += 1;
        let open = Open { wanted: wanted.clone(), answered: false, hosts: Vec::new() };
        self.open.insert(statement_id, open);
        let direct = match &mut self.decider {
            Decider::Module(policy) => {
                let arrival = Arrival {
                    workload: wanted.workload,
                    group: wanted.group,
                    session: Some(wanted.session),
                    time_left: wanted.wait,
                    wait: wanted.wait,
                    token_age: None,
                    retry: false,
                    read_requirement: None,
                };
                policy.statement_arrived(now, statement_id, &arrival);
                None
            }
            Decider::Direct(primaries) => Some(primaries[wanted.group]),
        };
        if let Some(host) = direct {
            self.send(now, host, statement_id, now + wanted.wait);
        }
        self.decide(now);
    }

    pub fn wake(&self) -> Option<f64> {
        match &self.decider {
            Decider::Module(policy) => {
                let patience = self.waiting.values().filter_map(|w| w.front()).map(|(until, _)| *until);
                let paced = patience.fold(self.turn_at, f64::min);
                policy.wake_at().into_iter().chain(paced.is_finite().then_some(paced)).reduce(f64::min)
            }
            Decider::Direct(_) => None,
        }
    }

    fn dial(&mut self, now: f64, host: usize) {
        self.conns_made += self.stride;
        let conn = self.conns_made;
        self.conns.insert(conn, Conn { host, doing: Doing::Paced(now) });
        *self.under_way.entry(host).or_default() += 1;
        if let Some(dials) = &mut self.dials {
            dials.dial_started(now, host);
        }
        self.acts.push(DriverAction::Dial { conn, host, until: self.dial_limit });
    }

    /// Begins what dials the jobs of a host need and may have now.
    fn want(&mut self, now: f64, host: usize) {
        while self.under_way.get(&host).copied().unwrap_or(0)
            < self.waiting.get(&host).map_or(0, VecDeque::len)
        {
            let Some(dials) = &mut self.dials else { return };
            match dials.decide(now, host) {
                DialDecision::Now => self.dial(now, host),
                DialDecision::At(at) => {
                    self.turn_at = self.turn_at.min(at);
                    return;
                }
                DialDecision::AfterCurrent => return,
            }
        }
    }

    /// A connection has nothing to do: it takes what waits longest, or rests.
    fn free(&mut self, now: f64, conn: u64) {
        let host = self.conns[&conn].host;
        while let Some((_, job)) = self.waiting.get_mut(&host).and_then(VecDeque::pop_front) {
            if now < job.until && self.wants(job) {
                return self.say(conn, job);
            }
            self.told(now, host, job, OutcomeClass::NotSent, HostReport::default());
        }
        self.rest(conn);
    }

    /// A paced dial has ended.
    fn dialled(&mut self, now: f64, host: usize, came: DialOutcome) {
        if let Some(n) = self.under_way.get_mut(&host) {
            *n -= 1;
        }
        if let Some(dials) = &mut self.dials {
            dials.dial_ended(now, host, came);
        }
    }

    /// Turns that have come, and patience that is over.
    fn turns(&mut self, now: f64) {
        if self.dials.is_none() {
            return;
        }
        let mut over = Vec::new();
        for (host, waiting) in &mut self.waiting {
            while waiting.front().is_some_and(|(until, _)| *until <= now) {
                over.extend(waiting.pop_front().map(|(_, job)| (*host, job)));
            }
        }
        for (host, job) in over {
            self.told(now, host, job, OutcomeClass::NotSent, HostReport::default());
        }
        if self.turn_at <= now {
            self.turn_at = f64::INFINITY;
        }
        let hosts: Vec<usize> = self.waiting.iter().filter(|(_, w)| !w.is_empty()).map(|(h, _)| *h).collect();
        hosts.into_iter().for_each(|host| self.want(now, host));
    }

    /// The time that it wanted to look again has come.
    pub fn woken(&mut self, now: f64) {
        self.turns(now);
        self.decide(now);
    }

    fn send(&mut self, now: f64, host: usize, statement_id: u64, until: f64) {
        let Some(open) = self.open.get_mut(&statement_id) else { return };
        let execution = open.hosts.len();
        open.hosts.push(host);
        self.sent += 1;
        self.begin(now, host, Job { which: Some((statement_id, execution)), until });
    }

    fn begin(&mut self, now: f64, host: usize, job: Job) {
        if let Some(conn) = self.idle.get_mut(&host).and_then(Vec::pop) {
            return self.say(conn, job);
        }
        if self.dials.is_some() {
            // As long as a dial may wait for its turn, and then take.
            self.waiting.entry(host).or_default().push_back((now + 2.0 * self.dial_limit, job));
            return self.want(now, host);
        }
        self.conns_made += self.stride;
        let conn = self.conns_made;
        self.conns.insert(conn, Conn { host, doing: Doing::Rising(job) });
        self.acts.push(DriverAction::Dial { conn, host, until: self.dial_limit });
    }

    fn say(&mut self, conn: u64, job: Job) {
        let input = match job.which {
            None => Input::Report,
            Some((statement_id, _)) => {
                let wanted = &self.open[&statement_id].wanted;
                Input::Statement(StatementRequest {
                    id: format!("{}-{statement_id}", conn % self.stride),
                    workload: wanted.workload,
                    wait: wanted.wait,
                    after: None,
                    session: Some(format!("u{}", wanted.session)),
                })
            }
        };
        self.conns.get_mut(&conn).expect("its own").doing = Doing::Busy(job);
        self.acts.push(DriverAction::Say { conn, input, until: job.until });
    }

    /// The host admits it.
    pub fn greeted(&mut self, now: f64, conn: u64) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        if let Doing::Paced(since) = c.doing {
            let host = c.host;
            self.dialled(now, host, DialOutcome::Connected(now - since));
            self.free(now, conn);
            self.want(now, host);
        } else if let Doing::Rising(job) = c.doing {
            if now >= job.until || !self.wants(job) {
                self.rest(conn);
                self.over(now, conn, job, OutcomeClass::NotSent, HostReport::default());
            } else {
                self.say(conn, job);
            }
        }
        self.decide(now);
    }

    /// Whether a job is still wanted: its statement may have been answered while it was dialled for.
    fn wants(&self, job: Job) -> bool {
        job.which
            .is_none_or(|(statement_id, _)| self.open.get(&statement_id).is_some_and(|open| !open.answered))
    }

    fn rest(&mut self, conn: u64) {
        let c = self.conns.get_mut(&conn).expect("its own");
        c.doing = Doing::Idle;
        self.idle.entry(c.host).or_default().push(conn);
    }

    /// The connection is no more, by whoever's doing.
    pub fn lost(&mut self, now: f64, conn: u64, rising: OutcomeClass, busy: OutcomeClass) {
        let Some(c) = self.conns.remove(&conn) else { return };
        match c.doing {
            Doing::Idle => {
                if let Some(idle) = self.idle.get_mut(&c.host) {
                    idle.retain(|other| *other != conn);
                }
            }
            Doing::Rising(job) => self.told(now, c.host, job, rising, HostReport::default()),
            Doing::Paced(since) => {
                let late = now >= since + self.dial_limit - 1e-9;
                self.dialled(now, c.host, if late { DialOutcome::TimedOut } else { DialOutcome::Refused });
                // One dial less than jobs that wait for one: the job that waits longest ends with it.
                let left = self.under_way.get(&c.host).copied().unwrap_or(0);
                let waiting = self.waiting.entry(c.host).or_default();
                if waiting.len() > left {
                    if let Some((_, job)) = waiting.pop_front() {
                        self.told(now, c.host, job, rising, HostReport::default());
                    }
                }
                self.want(now, c.host);
            }
            Doing::Busy(job) => self.told(now, c.host, job, busy, HostReport::default()),
        }
        self.decide(now);
    }

    pub fn answered(&mut self, now: f64, conn: u64, answer: &Answer) {
        let Some(c) = self.conns.get(&conn) else { return };
        let Doing::Busy(job) = c.doing else { return };
        let noted =
            |primary: bool, position: f64| HostReport { position: Some(position), primary: Some(primary) };
        let (verdict, note) = match answer {
            Answer::Row { primary, position, .. } => (OutcomeClass::Completed, noted(*primary, *position)),
            Answer::Report { primary, position, .. } => (OutcomeClass::Completed, noted(*primary, *position)),
            Answer::Error { code, primary, position, .. } => {
                let verdict = match *code {
                    "25006" | "72000" => OutcomeClass::WrongHost,
                    "53300" => OutcomeClass::Full,
                    _ => OutcomeClass::Error,
                };
                (verdict, noted(*primary, *position))
            }
            Answer::Spoilt { .. } => (OutcomeClass::UnusableAnswer, HostReport::default()),
        };
        if verdict == OutcomeClass::UnusableAnswer {
            let host = c.host;
            self.conns.remove(&conn);
            self.acts.push(DriverAction::Leave(conn));
            self.told(now, host, job, verdict, note);
        } else {
            let host = c.host;
            match self.dials.is_some() {
                true => self.free(now, conn),
                false => self.rest(conn),
            }
            self.told(now, host, job, verdict, note);
        }
        self.decide(now);
    }

    fn over(&mut self, now: f64, conn: u64, job: Job, verdict: OutcomeClass, note: HostReport) {
        let host = self.conns[&conn].host;
        self.told(now, host, job, verdict, note);
    }

    fn told(&mut self, now: f64, host: usize, job: Job, verdict: OutcomeClass, note: HostReport) {
        let Some((statement_id, execution)) = job.which else {
            if let Decider::Module(policy) = &mut self.decider {
                policy.probed(now, host, verdict == OutcomeClass::Completed, note);
            }
            return;
        };
        let Some(open) = self.open.get_mut(&statement_id) else { return };
        if verdict == OutcomeClass::Completed && !open.answered {
            open.answered = true;
            self.acts.push(DriverAction::Answer { key: open.wanted.key, answer: FinalAnswer::Completed });
        }
        let over = open.answered;
        self.ending.insert(statement_id);
        match &mut self.decider {
            Decider::Module(policy) => policy.ended(now, statement_id, execution, verdict, over, note),
            Decider::Direct(_) => self.give(statement_id, FinalAnswer::Aborted),
        }
    }

    /// A connection's time is up: a dial that never came up, an execution that was not answered.
    pub fn timed_out(&mut self, now: f64, conn: u64, at: f64) {
        let Some(c) = self.conns.get(&conn) else { return };
        let (rising, busy) = match c.doing {
            Doing::Rising(_) => (OutcomeClass::ConnectFailed, OutcomeClass::NotSent),
            Doing::Paced(since) if since + self.dial_limit <= at + 1e-9 => {
                (OutcomeClass::ConnectFailed, OutcomeClass::NotSent)
            }
            Doing::Busy(job) if job.until <= at => (OutcomeClass::NotSent, OutcomeClass::TimedOut),
            // The alarm of a job that was answered long ago.
            _ => return,
        };
        self.acts.push(DriverAction::Leave(conn));
        self.lost(now, conn, rising, busy);
    }

    fn give(&mut self, statement_id: u64, answer: FinalAnswer) {
        if let Some(open) = self.open.get_mut(&statement_id).filter(|open| !open.answered) {
            open.answered = true;
            self.acts.push(DriverAction::Answer { key: open.wanted.key, answer });
        }
        self.ending.insert(statement_id);
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
                    self.give(statement_id, FinalAnswer::Rejected(retry_after))
                }
                Decision::Abort { statement_id, .. } => self.give(statement_id, FinalAnswer::Aborted),
                Decision::Cancel { statement_id, execution } => self.recall(now, (statement_id, execution)),
                Decision::Probe { host } => {
                    self.probes += 1;
                    self.begin(now, host, Job { which: None, until: now + self.dial_limit });
                }
                Decision::Log(_) | Decision::Subscribe => {}
            }
        }
        for statement_id in std::mem::take(&mut self.ending) {
            let is_tracked = match &self.decider {
                Decider::Module(policy) => policy.is_tracked(statement_id),
                Decider::Direct(_) => false,
            };
            if !is_tracked {
                self.open.remove(&statement_id);
            }
        }
    }

    fn recall(&mut self, now: f64, which: (u64, usize)) {
        let under = self.conns.iter().find(
            |(_, c)| matches!(c.doing, Doing::Rising(job) | Doing::Busy(job) if job.which == Some(which)),
        );
        let Some((&conn, _)) = under else {
            let mut found = None;
            for (host, waiting) in &mut self.waiting {
                if let Some(at) = waiting.iter().position(|(_, job)| job.which == Some(which)) {
                    found = waiting.remove(at).map(|(_, job)| (*host, job));
                    break;
                }
            }
            if let Some((host, job)) = found {
                self.told(now, host, job, OutcomeClass::NotSent, HostReport::default());
            }
            return;
        };
        self.acts.push(DriverAction::Leave(conn));
        let c = self.conns.remove(&conn).expect("found just now");
        let (job, verdict) = match c.doing {
            Doing::Rising(job) => (job, OutcomeClass::NotSent),
            Doing::Busy(job) => (job, OutcomeClass::Cancelled),
            Doing::Idle | Doing::Paced(_) => return,
        };
        self.told(now, c.host, job, verdict, HostReport::default());
    }

    /// Statements that are not over.
    pub fn open(&self) -> usize {
        self.open.len()
    }
}

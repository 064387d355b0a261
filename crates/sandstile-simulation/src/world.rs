//! The one clock: what happens next, in the model, at a router or at a client, and to whom it is told.
use crate::instance_driver::{ClientRequest, DriverAction, FinalAnswer, InstanceDriver};
use crate::EPOCH;
use sandstile_fleet::event::{Event, Input, Output, Readiness as Listed};
use sandstile_fleet::Fleet;
use sandstile_policy::terms::{ListedHost, OutcomeClass, Readiness};
use sandstile_timers::TimerHeap;
use std::collections::{BTreeMap, BTreeSet};

/// Who asks. Times are those of the world's clock.
pub trait Clients {
    /// When somebody wants to ask next; infinite where nobody does.
    fn next_request_at(&self) -> f64;
    /// What is asked at `now`, each with the router that it goes to.
    fn take_due_requests(&mut self, now: f64) -> Vec<(usize, ClientRequest)>;
    fn on_answer(&mut self, now: f64, key: u64, answer: FinalAnswer);
}

/// Takes each event of the model with its time.
pub type EventObserver = Box<dyn FnMut(f64, &Event)>;

enum Alarm {
    /// A connection's time is up.
    Conn { router: usize, conn: u64 },
    /// Every router hears of a change of the list.
    Told(Vec<ListedHost>),
}

pub struct World {
    pub fleet: Fleet,
    pub instances: Vec<InstanceDriver>,
    alarms: TimerHeap<Alarm>,
    now: f64,
    /// Whose connection it is, and at which host.
    owners: BTreeMap<u64, (usize, usize)>,
    by_host: BTreeMap<usize, BTreeSet<u64>>,
    /// Hosts that refuse new connections, and those that say nothing.
    down: BTreeSet<usize>,
    silent: BTreeSet<usize>,
    /// Routers that are not there: who asks them is told to come again.
    away: BTreeSet<usize>,
    /// Seconds until a change of the list is told.
    list_late: f64,
    /// When each router wants to look again, in the order of that, and each one's own place in it: hundreds of routers sleep
    /// while one acts.
    wakes: BTreeSet<(u64, usize)>,
    wake_of: Vec<Option<u64>>,
    /// Routers that something has happened to: they may want to act, and to look at another time.
    touched: BTreeSet<usize>,
    /// Looks at all that happens inside the model.
    pub observer: Option<EventObserver>,
}

impl World {
    pub fn new(fleet: Fleet, instances: Vec<InstanceDriver>, list_late: f64) -> Self {
        let mut world = World {
            wakes: BTreeSet::new(),
            wake_of: vec![None; instances.len()],
            touched: BTreeSet::new(),
            fleet,
            instances,
            alarms: TimerHeap::default(),
            now: EPOCH,
            owners: BTreeMap::new(),
            by_host: BTreeMap::new(),
            down: BTreeSet::new(),
            silent: BTreeSet::new(),
            away: BTreeSet::new(),
            list_late,
            observer: None,
        };
        let list = world.list();
        for router in 0..world.instances.len() {
            world.mind(router).listed(EPOCH, &list);
            world.act(router);
        }
        world.wind();
        world
    }

    /// A router that something is about to happen to.
    fn mind(&mut self, router: usize) -> &mut InstanceDriver {
        self.touched.insert(router);
        &mut self.instances[router]
    }

    /// Sets the alarms of those that something has happened to. Times are positive, and bits of such floats sort as they do.
    fn wind(&mut self) {
        for router in std::mem::take(&mut self.touched) {
            let there = !self.away.contains(&router);
            let wake = self.instances[router].wake().filter(|_| there).map(f64::to_bits);
            if let Some(former) = std::mem::replace(&mut self.wake_of[router], wake) {
                self.wakes.remove(&(former, router));
            }
            self.wakes.extend(wake.map(|at| (at, router)));
        }
    }

    pub fn now(&self) -> f64 {
        self.now
    }

    fn list(&self) -> Vec<ListedHost> {
        (0..self.fleet.hosts())
            .filter_map(|host| {
                let listing = self.fleet.listing(host);
                let group = self.fleet.plan().groups.iter().position(|g| g.name == listing.group)?;
                let readiness = match listing.readiness {
                    Listed::Active => Readiness::Active,
                    Listed::Leaving => Readiness::Draining,
                    Listed::Left => Readiness::Gone,
                };
                Some(ListedHost {
                    host,
                    group,
                    zone: 0,
                    primary: listing.primary,
                    since: listing.since,
                    readiness,
                })
            })
            .collect()
    }

    /// A router's process ends in this instant, with all that it knew and held; who waits for its answers gets none.
    pub fn kill(&mut self, router: usize) {
        self.away.insert(router);
        self.touched.insert(router);
        self.wind();
        let held: Vec<u64> =
            self.owners.iter().filter(|(_, (r, _))| *r == router).map(|(conn, _)| *conn).collect();
        for conn in held {
            self.fleet.input(self.now, conn, Input::Closed);
            self.forget(conn);
        }
    }

    /// Another process in its place, which knows the list and no more.
    pub fn start(&mut self, router: usize, mind: InstanceDriver) {
        self.away.remove(&router);
        let former = std::mem::replace(&mut self.instances[router], mind);
        self.instances[router].goes_on_from(&former);
        let (now, list) = (self.now, self.list());
        self.mind(router).listed(now, &list);
        self.act(router);
        self.wind();
    }

    /// Plays until this time of the world's clock.
    pub fn run_until(&mut self, clients: &mut dyn Clients, until: f64) {
        loop {
            let wake = self.wakes.first().map_or(f64::INFINITY, |(at, _)| f64::from_bits(*at));
            let model = self.fleet.next_wake().unwrap_or(f64::INFINITY);
            let alarm = self.alarms.earliest().unwrap_or(f64::INFINITY);
            // The decisions look no more often than behind sockets.
            let at = wake.max(self.now + 0.001).min(model).min(alarm).min(clients.next_request_at());
            if at > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(at);
            let now = self.now;
            self.fleet.advance(now);
            self.heard(clients);
            while let Some((at, alarm)) = self.alarms.pop(now) {
                match alarm {
                    Alarm::Conn { router, conn } => {
                        if !self.away.contains(&router) {
                            self.mind(router).timed_out(now, conn, at);
                        }
                    }
                    Alarm::Told(list) => {
                        (0..self.instances.len()).for_each(|router| self.mind(router).listed(now, &list));
                    }
                }
            }
            for (router, wanted) in clients.take_due_requests(now) {
                match self.away.contains(&router) {
                    true => clients.on_answer(now, wanted.key, FinalAnswer::Rejected(0.0)),
                    false => self.mind(router).statement_arrived(now, wanted),
                }
            }
            // What has just happened to a router may have moved the time at which it wants to look.
            let mut waking: BTreeSet<usize> = self.touched.clone();
            waking.extend(self.wakes.range(..=(now.to_bits(), usize::MAX)).map(|(_, router)| *router));
            for router in waking {
                if !self.away.contains(&router) && self.instances[router].wake().is_some_and(|at| at <= now) {
                    self.mind(router).woken(now);
                }
            }
            self.settle(clients);
            self.wind();
        }
    }

    /// Until nothing follows any more at this time.
    fn settle(&mut self, clients: &mut dyn Clients) {
        loop {
            let mut acted = false;
            for router in self.touched.clone() {
                for (key, answer) in self.act(router) {
                    clients.on_answer(self.now, key, answer);
                    acted = true;
                }
            }
            if !self.heard(clients) && !acted {
                return;
            }
        }
    }

    /// Does what a router wants done; yields its final answers.
    fn act(&mut self, router: usize) -> Vec<(u64, FinalAnswer)> {
        let (now, mut answers) = (self.now, Vec::new());
        loop {
            let acts = self.instances[router].acts();
            if acts.is_empty() || self.away.contains(&router) {
                return answers;
            }
            for act in acts {
                match act {
                    DriverAction::Dial { conn, host, until } => {
                        if self.down.contains(&host) {
                            let refused = OutcomeClass::ConnectFailed;
                            self.mind(router).lost(now, conn, refused, refused);
                            continue;
                        }
                        self.alarms.push(now + until, Alarm::Conn { router, conn });
                        if !self.silent.contains(&host) {
                            self.owners.insert(conn, (router, host));
                            self.by_host.entry(host).or_default().insert(conn);
                            self.fleet.input(now, conn, Input::Connect { host });
                        }
                    }
                    DriverAction::Say { conn, input, until } => {
                        self.alarms.push(until, Alarm::Conn { router, conn });
                        self.fleet.input(now, conn, input);
                    }
                    DriverAction::Leave(conn) => {
                        self.fleet.input(now, conn, Input::Closed);
                        self.forget(conn);
                    }
                    DriverAction::Answer { key, answer } => answers.push((key, answer)),
                }
            }
        }
    }

    fn forget(&mut self, conn: u64) {
        if let Some((_, host)) = self.owners.remove(&conn) {
            if let Some(conns) = self.by_host.get_mut(&host) {
                conns.remove(&conn);
            }
        }
    }

    /// Tells the routers what came out of the model; `false` where nothing did.
    fn heard(&mut self, clients: &mut dyn Clients) -> bool {
        let mut any = false;
        while let Some((at, event)) = self.fleet.next_event() {
            if let Some(observer) = &mut self.observer {
                observer(at, &event);
            }
        }
        while let Some((_, output)) = self.fleet.output() {
            any = true;
            let now = self.now;
            match output {
                Output::Greet { conn } => {
                    if let Some(&(router, _)) = self.owners.get(&conn) {
                        self.mind(router).greeted(now, conn);
                    }
                }
                Output::TurnAway { conn, .. } => self.drop_conn(conn, OutcomeClass::Full, OutcomeClass::Full),
                Output::Answer { conn, answer } => {
                    if let Some(&(router, _)) = self.owners.get(&conn) {
                        self.mind(router).answered(now, conn, &answer);
                    }
                }
                Output::Close { conn } => {
                    self.drop_conn(conn, OutcomeClass::ConnectFailed, OutcomeClass::UnusableAnswer)
                }
                Output::Down { host } => {
                    self.down.insert(host);
                    self.silent.remove(&host);
                    self.reset(host);
                }
                Output::Silent { host } => {
                    self.silent.insert(host);
                }
                Output::Refuse { host } => {
                    self.down.insert(host);
                }
                Output::Up { host } => {
                    self.down.remove(&host);
                    if self.silent.remove(&host) {
                        self.reset(host);
                    }
                }
                Output::Admit { host } => {
                    self.down.remove(&host);
                }
                Output::Born { .. } => {}
                Output::List { .. } => {
                    let list = self.list();
                    self.alarms.push(now + self.list_late, Alarm::Told(list));
                }
            }
            for router in self.touched.clone() {
                for (key, answer) in self.act(router) {
                    clients.on_answer(self.now, key, answer);
                }
            }
        }
        any
    }

    fn drop_conn(&mut self, conn: u64, rising: OutcomeClass, busy: OutcomeClass) {
        let Some(&(router, _)) = self.owners.get(&conn) else { return };
        self.forget(conn);
        let now = self.now;
        self.mind(router).lost(now, conn, rising, busy);
    }

    fn reset(&mut self, host: usize) {
        for conn in self.by_host.remove(&host).unwrap_or_default() {
            self.drop_conn(conn, OutcomeClass::ConnectFailed, OutcomeClass::Reset);
        }
    }
}

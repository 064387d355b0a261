//! The event loop in virtual time. It advances the model, the routers and the clients to the next event and passes
//! outputs between them.
use crate::instance_driver::{ClientRequest, DriverAction, FinalAnswer, InstanceDriver};
use crate::EPOCH;
use sandstile_fleet::event::{Event, Input, Output, Readiness as Listed};
use sandstile_fleet::Fleet;
use sandstile_policy::terms::{ListedHost, OutcomeClass, Readiness};
use sandstile_timers::TimerHeap;
use std::collections::{BTreeMap, BTreeSet};

/// The clients of the simulation. Times are on the clock of `World`.
pub trait Clients {
    /// Time of the next request; infinite if there is none.
    fn next_request_at(&self) -> f64;
    /// The requests due at `now`, each with the router that it goes to.
    fn take_due_requests(&mut self, now: f64) -> Vec<(usize, ClientRequest)>;
    fn on_answer(&mut self, now: f64, key: u64, answer: FinalAnswer);
}

/// Receives each event of the model with its time.
pub type EventObserver = Box<dyn FnMut(f64, &Event)>;

enum Timer {
    /// The timeout of a dial or an execution on this connection.
    ConnTimeout { router: usize, conn: u64 },
    /// All routers receive a change of the host list.
    ListingReceived(Vec<ListedHost>),
}

pub struct World {
    pub fleet: Fleet,
    pub instances: Vec<InstanceDriver>,
    timers: TimerHeap<Timer>,
    now: f64,
    /// The router and the host of each connection.
    conn_owners: BTreeMap<u64, (usize, usize)>,
    conns_by_host: BTreeMap<usize, BTreeSet<u64>>,
    /// Hosts that refuse new connections.
    refusing_hosts: BTreeSet<usize>,
    /// Hosts whose new connections time out.
    unreachable_hosts: BTreeSet<usize>,
    /// Routers without a process: requests to them are rejected, to be retried.
    stopped_routers: BTreeSet<usize>,
    /// Seconds until a change of the host list reaches the routers.
    listing_delay_s: f64,
    /// The next wake-up of each router, ordered by time, so that a step does not have to visit the hundreds of routers
    /// that are idle.
    wakes: BTreeSet<(u64, usize)>,
    /// The entry of each router in `wakes`.
    wake_by_router: Vec<Option<u64>>,
    /// Routers with new input: they may have actions to perform and a new wake-up time.
    touched: BTreeSet<usize>,
    /// Observes all events of the model.
    pub observer: Option<EventObserver>,
}

impl World {
    pub fn new(fleet: Fleet, instances: Vec<InstanceDriver>, listing_delay_s: f64) -> Self {
        let mut world = World {
            wakes: BTreeSet::new(),
            wake_by_router: vec![None; instances.len()],
            touched: BTreeSet::new(),
            fleet,
            instances,
            timers: TimerHeap::default(),
            now: EPOCH,
            conn_owners: BTreeMap::new(),
            conns_by_host: BTreeMap::new(),
            refusing_hosts: BTreeSet::new(),
            unreachable_hosts: BTreeSet::new(),
            stopped_routers: BTreeSet::new(),
            listing_delay_s,
            observer: None,
        };
        let listed_hosts = world.listed_hosts();
        for router in 0..world.instances.len() {
            world.instance(router).hosts_listed(EPOCH, &listed_hosts);
            world.perform_actions(router);
        }
        world.schedule_wakes();
        world
    }

    /// Access to a router that is about to receive input; marks it as touched.
    fn instance(&mut self, router: usize) -> &mut InstanceDriver {
        self.touched.insert(router);
        &mut self.instances[router]
    }

    /// Updates the wake-up times of touched routers. Times are positive, and the bit patterns of positive floats sort
    /// like the floats.
    fn schedule_wakes(&mut self) {
        for router in std::mem::take(&mut self.touched) {
            let is_running = !self.stopped_routers.contains(&router);
            let wake = self.instances[router].next_wake().filter(|_| is_running).map(f64::to_bits);
            if let Some(former) = std::mem::replace(&mut self.wake_by_router[router], wake) {
                self.wakes.remove(&(former, router));
            }
            self.wakes.extend(wake.map(|at| (at, router)));
        }
    }

    pub fn now(&self) -> f64 {
        self.now
    }

    fn listed_hosts(&self) -> Vec<ListedHost> {
        (0..self.fleet.host_count())
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
                    started_at: listing.since,
                    readiness,
                })
            })
            .collect()
    }

    /// Ends the process of a router immediately, with its state and connections; pending requests get no answer.
    pub fn kill(&mut self, router: usize) {
        self.stopped_routers.insert(router);
        self.touched.insert(router);
        self.schedule_wakes();
        let open_conns: Vec<u64> =
            self.conn_owners.iter().filter(|(_, (r, _))| *r == router).map(|(conn, _)| *conn).collect();
        for conn in open_conns {
            self.fleet.input(self.now, conn, Input::Closed);
            self.forget(conn);
        }
    }

    /// Starts a new process of a router, which knows nothing but the host list.
    pub fn start(&mut self, router: usize, instance: InstanceDriver) {
        self.stopped_routers.remove(&router);
        let former = std::mem::replace(&mut self.instances[router], instance);
        self.instances[router].continue_conn_ids_of(&former);
        let (now, listed_hosts) = (self.now, self.listed_hosts());
        self.instance(router).hosts_listed(now, &listed_hosts);
        self.perform_actions(router);
        self.schedule_wakes();
    }

    /// Runs the simulation until this time.
    pub fn run_until(&mut self, clients: &mut dyn Clients, until: f64) {
        loop {
            let wake = self.wakes.first().map_or(f64::INFINITY, |(at, _)| f64::from_bits(*at));
            let model_wake = self.fleet.next_wake().unwrap_or(f64::INFINITY);
            let next_timer = self.timers.earliest().unwrap_or(f64::INFINITY);
            // Wake-ups of the decision module are at least 1 ms apart, as behind sockets.
            let next_time =
                wake.max(self.now + 0.001).min(model_wake).min(next_timer).min(clients.next_request_at());
            if next_time > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next_time);
            let now = self.now;
            self.fleet.advance(now);
            self.process_model_output(clients);
            while let Some((at, timer)) = self.timers.pop(now) {
                match timer {
                    Timer::ConnTimeout { router, conn } => {
                        if !self.stopped_routers.contains(&router) {
                            self.instance(router).on_timeout(now, conn, at);
                        }
                    }
                    Timer::ListingReceived(listed_hosts) => {
                        (0..self.instances.len())
                            .for_each(|router| self.instance(router).hosts_listed(now, &listed_hosts));
                    }
                }
            }
            for (router, request) in clients.take_due_requests(now) {
                match self.stopped_routers.contains(&router) {
                    true => clients.on_answer(now, request.key, FinalAnswer::Rejected(0.0)),
                    false => self.instance(router).statement_arrived(now, request),
                }
            }
            // Input that a router has just received may have changed its wake-up time.
            let mut waking: BTreeSet<usize> = self.touched.clone();
            waking.extend(self.wakes.range(..=(now.to_bits(), usize::MAX)).map(|(_, router)| *router));
            for router in waking {
                if !self.stopped_routers.contains(&router)
                    && self.instances[router].next_wake().is_some_and(|at| at <= now)
                {
                    self.instance(router).on_timer(now);
                }
            }
            self.settle(clients);
            self.schedule_wakes();
        }
    }

    /// Repeats until no further action or output follows at this time.
    fn settle(&mut self, clients: &mut dyn Clients) {
        loop {
            let mut acted = false;
            for router in self.touched.clone() {
                for (key, answer) in self.perform_actions(router) {
                    clients.on_answer(self.now, key, answer);
                    acted = true;
                }
            }
            if !self.process_model_output(clients) && !acted {
                return;
            }
        }
    }

    /// Performs the actions of a router and returns its final answers.
    fn perform_actions(&mut self, router: usize) -> Vec<(u64, FinalAnswer)> {
        let (now, mut answers) = (self.now, Vec::new());
        loop {
            let actions = self.instances[router].take_actions();
            if actions.is_empty() || self.stopped_routers.contains(&router) {
                return answers;
            }
            for action in actions {
                match action {
                    DriverAction::Dial { conn, host, timeout_s } => {
                        if self.refusing_hosts.contains(&host) {
                            let refused = OutcomeClass::ConnectFailed;
                            self.instance(router).connection_lost(now, conn, refused, refused);
                            continue;
                        }
                        self.timers.push(now + timeout_s, Timer::ConnTimeout { router, conn });
                        if !self.unreachable_hosts.contains(&host) {
                            self.conn_owners.insert(conn, (router, host));
                            self.conns_by_host.entry(host).or_default().insert(conn);
                            self.fleet.input(now, conn, Input::Connect { host });
                        }
                    }
                    DriverAction::Send { conn, input, deadline } => {
                        self.timers.push(deadline, Timer::ConnTimeout { router, conn });
                        self.fleet.input(now, conn, input);
                    }
                    DriverAction::Close(conn) => {
                        self.fleet.input(now, conn, Input::Closed);
                        self.forget(conn);
                    }
                    DriverAction::Answer { key, answer } => answers.push((key, answer)),
                }
            }
        }
    }

    fn forget(&mut self, conn: u64) {
        if let Some((_, host)) = self.conn_owners.remove(&conn) {
            if let Some(conns) = self.conns_by_host.get_mut(&host) {
                conns.remove(&conn);
            }
        }
    }

    /// Passes the outputs of the model to the routers; returns whether there were any.
    fn process_model_output(&mut self, clients: &mut dyn Clients) -> bool {
        let mut produced_output = false;
        while let Some((at, event)) = self.fleet.next_event() {
            if let Some(observer) = &mut self.observer {
                observer(at, &event);
            }
        }
        while let Some((_, output)) = self.fleet.next_output() {
            produced_output = true;
            let now = self.now;
            match output {
                Output::Greet { conn } => {
                    if let Some(&(router, _)) = self.conn_owners.get(&conn) {
                        self.instance(router).on_greeted(now, conn);
                    }
                }
                Output::RejectConnection { conn, .. } => {
                    self.drop_conn(conn, OutcomeClass::Full, OutcomeClass::Full)
                }
                Output::Answer { conn, answer } => {
                    if let Some(&(router, _)) = self.conn_owners.get(&conn) {
                        self.instance(router).on_answer(now, conn, &answer);
                    }
                }
                Output::Close { conn } => {
                    self.drop_conn(conn, OutcomeClass::ConnectFailed, OutcomeClass::UnusableAnswer)
                }
                Output::Down { host } => {
                    self.refusing_hosts.insert(host);
                    self.unreachable_hosts.remove(&host);
                    self.reset(host);
                }
                Output::Unreachable { host } => {
                    self.unreachable_hosts.insert(host);
                }
                Output::RefuseConnections { host } => {
                    self.refusing_hosts.insert(host);
                }
                Output::Up { host } => {
                    self.refusing_hosts.remove(&host);
                    if self.unreachable_hosts.remove(&host) {
                        self.reset(host);
                    }
                }
                Output::AcceptConnections { host } => {
                    self.refusing_hosts.remove(&host);
                }
                Output::HostAdded { .. } => {}
                Output::ListingChanged { .. } => {
                    let listed_hosts = self.listed_hosts();
                    self.timers.push(now + self.listing_delay_s, Timer::ListingReceived(listed_hosts));
                }
            }
            for router in self.touched.clone() {
                for (key, answer) in self.perform_actions(router) {
                    clients.on_answer(self.now, key, answer);
                }
            }
        }
        produced_output
    }

    fn drop_conn(&mut self, conn: u64, while_connecting: OutcomeClass, while_busy: OutcomeClass) {
        let Some(&(router, _)) = self.conn_owners.get(&conn) else { return };
        self.forget(conn);
        let now = self.now;
        self.instance(router).connection_lost(now, conn, while_connecting, while_busy);
    }

    fn reset(&mut self, host: usize) {
        for conn in self.conns_by_host.remove(&host).unwrap_or_default() {
            self.drop_conn(conn, OutcomeClass::ConnectFailed, OutcomeClass::Reset);
        }
    }
}

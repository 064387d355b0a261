//! The event loop that connects the model, the cue scheduler of the script and the sockets. One thread owns them; it
//! communicates with other threads over channels.
use crate::agent::{self, AgentRequest, Catalog, Entry};
use crate::clock::Clock;
use crate::protocol::{self, Query};
use crate::sockets;
use crossbeam_channel::{unbounded, Receiver, Sender};
use hdrhistogram::Histogram;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use sandstile_faults::link_faults::FaultScope;
use sandstile_faults::process::ProcessSelector;
use sandstile_faults::{Endpoint, LinkFault, ProcessFault};
use sandstile_fleet::plan::Consistency;
use sandstile_fleet::{Answer, Event, Fault, FaultKind, Fleet, Input, Output, Readiness};
use sandstile_pgwire as pg;
use sandstile_relay::Relay;
use sandstile_scenario::script::{AgentFault, CueAction};
use sandstile_scenario::{CueScheduler, ScenarioEvent, Script};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// One line of the trace. Times are Unix seconds on the shared clock.
#[derive(Clone, Debug, Serialize)]
pub struct Record {
    pub t: f64,
    #[serde(flatten)]
    pub what: TraceEvent,
}

/// An event of the model or of the emulator itself.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum TraceEvent {
    Fleet(Event),
    Emulator(EmulatorEvent),
}

/// An event of the emulator itself. Variants and fields are written to the trace under their own names.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum EmulatorEvent {
    /// The agent of a router sent the entry of a host to it.
    Told {
        router: usize,
        host: String,
        readiness: Readiness,
        primary: bool,
    },
    /// A cue was executed on these hosts.
    Cue {
        name: String,
        on: Vec<String>,
    },
    /// A host has read part of a statement so far.
    Part {
        host: String,
        workload: String,
    },
    /// A router requested the host list from its agent, or a watch of its changes.
    ListAsked {
        router: usize,
    },
    /// A link fault of a cue began.
    LinkBegins {
        name: String,
        on: Vec<&'static str>,
        /// Pairs of routers (from, to) between which nothing gets through.
        severs: Vec<(usize, usize)>,
    },
    LinkEnds {
        name: String,
    },
}

/// A request of the emulator to the program that runs it.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// The agents have moved to these addresses, one per router; the routers have to be notified.
    AgentsMoved(Vec<SocketAddr>),
    /// A process fault has to be applied to router processes.
    Process { name: String, selector: ProcessSelector, process_fault: ProcessFault, spread: f64 },
    /// A cue found no target.
    NoTarget(String),
}

enum Command {
    StartScript(f64),
    Stop,
}

/// Measurements of the emulator itself.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Lateness of timers in microseconds.
    pub late_us: Histogram<u64>,
    /// Cues whose event never occurred.
    pub missed: Vec<String>,
    pub max_connections: usize,
    /// Measurements of the relays, if the script has link faults.
    pub relay: Option<sandstile_relay::Summary>,
}

impl Summary {
    /// Whether timers were so late (p99 above 5 ms) that hosts were slower than the model prescribes, which makes the
    /// run unusable.
    pub fn unsound(&self) -> bool {
        self.late_us.value_at_quantile(0.99) > 5000
    }
}

pub struct Handle {
    pub agents: Vec<SocketAddr>,
    pub hosts: Vec<(String, SocketAddr)>,
    /// The address at which clients find each router.
    pub client_addresses: Vec<SocketAddr>,
    commands: Sender<Command>,
    waker: Arc<Waker>,
    lists: Arc<Mutex<Vec<String>>>,
    thread: JoinHandle<io::Result<Summary>>,
}

impl Handle {
    /// Starts the script; its times count from `at`.
    pub fn start_script(&self, at: f64) {
        let _ = self.commands.send(Command::StartScript(at));
        let _ = self.waker.wake();
    }

    /// The current discovery list for one router.
    pub fn discovery_list(&self, router: usize) -> String {
        self.lists.lock().expect("no thread panics under the lock")[router].clone()
    }

    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    pub fn stop(self) -> io::Result<Summary> {
        let _ = self.commands.send(Command::Stop);
        let _ = self.waker.wake();
        self.thread.join().expect("the emulator's thread does not panic")
    }
}

#[derive(Clone, Copy)]
enum TokenOwner {
    HostListener(usize),
    AgentListener(usize),
    Conn,
    AgentConn,
    Wake,
}

struct Conn {
    stream: TcpStream,
    host: usize,
    reader: pg::MessageReader,
    out: Vec<u8>,
    sent: usize,
    close_when_sent: bool,
    /// The machine has vanished or an unusable answer was sent: nothing is read or written any more.
    unresponsive: bool,
    workload: Option<usize>,
    part_reported: bool,
}

/// A router's connection to its agent.
struct AgentConn {
    stream: TcpStream,
    router: usize,
    buf: Vec<u8>,
    out: Vec<u8>,
    sent: usize,
    close_when_sent: bool,
    /// For a watch: the catalog index up to which changes were sent.
    reported_index: Option<u64>,
    next_keepalive: f64,
    /// When the connection closes because its agent has moved; infinite otherwise.
    closes_at: f64,
}

struct HostSocket {
    address: SocketAddr,
    listener: Option<(usize, TcpListener)>,
    /// Connections that fill the accept queue of a vanished host.
    queue_fillers: Vec<socket2::Socket>,
}

pub struct Emulator {
    script: Script,
    clock: Clock,
    trace: Sender<Record>,
    /// Records whose effects on the sockets are still to come: whoever reads a record may rely on them.
    unsent_records: Vec<Record>,
    notifications: Sender<Notification>,
    poll: Poll,
    waker: Arc<Waker>,
    token_owners: BTreeMap<usize, TokenOwner>,
    next_token: usize,
    fleet: Fleet,
    workloads: Vec<String>,
    cue_scheduler: Option<CueScheduler>,
    hosts: Vec<HostSocket>,
    conns: BTreeMap<usize, Conn>,
    catalog: Catalog,
    delay: f64,
    delay_until: f64,
    silent_until: f64,
    agents: Vec<(SocketAddr, usize, TcpListener)>,
    agent_moves: u8,
    agent_conns: BTreeMap<usize, AgentConn>,
    lists: Arc<Mutex<Vec<String>>>,
    /// Carries links that can fail, if the script has link faults.
    relay: Option<Relay>,
    /// The address at which each router finds a host behind the relay.
    relayed_addresses: BTreeMap<(usize, String), SocketAddr>,
    /// Hosts that report their next write as not executed although it ran: the planted fault.
    deny_next_write: BTreeSet<usize>,
    /// The drain or replace cue that caused the latest change of a host's listing.
    announcing_cues: BTreeMap<String, usize>,
    cue_ends: Vec<(f64, usize)>,
    net: (u8, u8),
    late_us: Histogram<u64>,
    max_connections: usize,
}

/// Seconds between keepalive lines of a watch.
const WATCH_KEEPALIVE_S: f64 = 2.0;
/// Port of relays in front of agents and routers. The relay of router n listens on this port + n in front of a host,
/// and on this port + 100 + n in front of another router's session exchange.
const RELAY_PORT: u16 = 20_000;
/// Seconds after a move at which an agent closes its old connections.
const AGENT_MOVE_GRACE_S: f64 = 1.5;
/// Upper bound on a sleep of the event loop, as a safeguard against a missed wake-up.
const MAX_SLEEP_S: f64 = 0.05;
/// Read size while a cue waits for a partially received statement.
const PARTIAL_READ_BYTES: usize = 48;

/// Address at which a router of a rehearsal listens for clients.
pub fn router_address(net: u8, number: usize) -> SocketAddr {
    SocketAddr::from(([127, net, 240, number as u8 + 1], 6432))
}

/// Address at which a router receives the datagrams of its peers, and the address at which they find it; the latter is
/// a relay's if `relayed`.
pub fn members_address(net: u8, number: usize, relayed: bool) -> (SocketAddr, SocketAddr) {
    let mut listen_address = router_address(net, number);
    listen_address.set_port(7433);
    let mut advertised_address = listen_address;
    advertised_address.set_port(if relayed { RELAY_PORT } else { 7433 });
    (listen_address, advertised_address)
}

/// Address at which a router receives session exchange connections, and the address at which router `peer` finds it;
/// the latter is a relay's, one per pair of routers, if `relayed`.
pub fn exchange_address(net: u8, number: usize, peer: usize, relayed: bool) -> (SocketAddr, SocketAddr) {
    let mut listen_address = router_address(net, number);
    listen_address.set_port(7434);
    let mut advertised_address = listen_address;
    advertised_address.set_port(if relayed { RELAY_PORT + 100 + peer as u16 } else { 7434 });
    (listen_address, advertised_address)
}

impl Emulator {
    /// Creates an emulator with hosts at 127.A.B.* and agents at 127.A.(B+50+move).*, where `net` is (A, B).
    pub fn new(
        script: &Script,
        net: (u8, u8),
        clock: Clock,
        trace: Sender<Record>,
        notifications: Sender<Notification>,
    ) -> io::Result<Emulator> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), Token(0))?);
        let fleet = Fleet::new(script.plan.clone(), clock.now());
        let mut emulator = Emulator {
            workloads: script.plan.workloads.iter().map(|w| w.name.clone()).collect(),
            script: script.clone(),
            clock,
            trace,
            unsent_records: Vec::new(),
            notifications,
            poll,
            waker,
            token_owners: BTreeMap::from([(0, TokenOwner::Wake)]),
            next_token: 1,
            fleet,
            cue_scheduler: None,
            hosts: Vec::new(),
            conns: BTreeMap::new(),
            catalog: Catalog::default(),
            delay: script.discovery_delay,
            delay_until: 0.0,
            silent_until: 0.0,
            agents: Vec::new(),
            agent_moves: 0,
            agent_conns: BTreeMap::new(),
            lists: Arc::default(),
            relay: None,
            relayed_addresses: BTreeMap::new(),
            deny_next_write: BTreeSet::new(),
            announcing_cues: BTreeMap::new(),
            cue_ends: Vec::new(),
            net,
            late_us: Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid histogram bounds"),
            max_connections: 0,
        };
        if script.cues.iter().any(|c| matches!(c.action, CueAction::Link { .. })) {
            emulator.relay = Some(Relay::start(script.plan.seed)?);
        }
        let now = emulator.clock.now();
        for host in 0..emulator.fleet.host_count() {
            emulator.add_host(host)?;
            let entry = emulator.entry(host);
            emulator.catalog.schedule_change(now, entry);
        }
        while emulator.catalog.apply_next(now).is_some() {}
        emulator.publish_lists();
        emulator.start_agents()?;
        if let Some(relay) = emulator.relay.as_ref().filter(|_| script.routers.members) {
            let relay_spot = |n: usize| {
                let (address, relay_address) = members_address(net.0, n, true);
                sandstile_relay::HubMember { endpoint: Endpoint::Router(n), relay_address, address }
            };
            relay.hub((0..script.routers.count).map(relay_spot).collect())?;
        }
        if let Some(relay) = emulator.relay.as_ref().filter(|_| script.sessions.exchange) {
            let all = 0..script.routers.count;
            for (peer, number) in all.clone().flat_map(|peer| all.clone().map(move |n| (peer, n))) {
                if peer != number {
                    let (listen_address, advertised_address) = exchange_address(net.0, number, peer, true);
                    relay.stream(
                        Endpoint::Router(peer),
                        Endpoint::Router(number),
                        advertised_address,
                        listen_address,
                    )?;
                }
            }
        }
        Ok(emulator)
    }

    /// Starts the emulator's thread.
    pub fn spawn(mut self) -> io::Result<Handle> {
        let (commands, command_receiver) = unbounded();
        let agents = self.agents.iter().map(|(address, ..)| *address).collect();
        let names = (0..self.fleet.host_count()).map(|h| self.fleet.listing(h).name);
        let hosts = names.zip(&self.hosts).map(|(name, socket)| (name, socket.address)).collect();
        let client_addresses =
            (0..self.script.routers.count).map(|n| self.client_address(n)).collect::<io::Result<_>>()?;
        let (waker, lists) = (self.waker.clone(), self.lists.clone());
        let thread =
            thread::Builder::new().name("emulator".to_string()).spawn(move || self.run(&command_receiver))?;
        Ok(Handle { agents, hosts, client_addresses, commands, waker, lists, thread })
    }

    fn token(&mut self, owner: TokenOwner) -> usize {
        let token = self.next_token;
        self.next_token += 1;
        self.token_owners.insert(token, owner);
        token
    }

    fn add_host(&mut self, host: usize) -> io::Result<()> {
        let (low, high) = ((host % 250) as u8, (host / 250) as u8);
        let address = SocketAddr::from(([127, self.net.0, self.net.1 + high, low + 1], 5432));
        self.hosts.push(HostSocket { address, listener: None, queue_fillers: Vec::new() });
        self.listen(host)?;
        let Some(relay) = &self.relay else { return Ok(()) };
        let listing = self.fleet.listing(host);
        let end = Endpoint::Host { name: listing.name.clone(), group: listing.group, zone: listing.zone };
        for router in 0..self.script.routers.count {
            if self.script.needs_relay(&Endpoint::Router(router), &end) {
                let mut listen = address;
                listen.set_port(RELAY_PORT + router as u16);
                relay.stream(Endpoint::Router(router), end.clone(), listen, address)?;
                self.relayed_addresses.insert((router, listing.name.clone()), listen);
            }
        }
        Ok(())
    }

    /// The address at which clients find a router: a relay's if links between them can fail.
    fn client_address(&self, router: usize) -> io::Result<SocketAddr> {
        let address = router_address(self.net.0, router);
        match &self.relay {
            Some(relay) if self.script.needs_relay(&Endpoint::Clients, &Endpoint::Router(router)) => {
                let mut listen = address;
                listen.set_port(RELAY_PORT);
                relay.stream(Endpoint::Clients, Endpoint::Router(router), listen, address)?;
                Ok(listen)
            }
            _ => Ok(address),
        }
    }

    fn listen(&mut self, host: usize) -> io::Result<()> {
        if self.hosts[host].listener.is_some() {
            return Ok(());
        }
        let mut listener = sockets::listen(self.hosts[host].address)?;
        let token = self.token(TokenOwner::HostListener(host));
        self.poll.registry().register(&mut listener, Token(token), Interest::READABLE)?;
        self.hosts[host].listener = Some((token, listener));
        Ok(())
    }

    fn stop_listening(&mut self, host: usize) {
        if let Some((token, _)) = self.hosts[host].listener.take() {
            self.token_owners.remove(&token);
        }
        self.hosts[host].queue_fillers.clear();
    }

    fn start_agents(&mut self) -> io::Result<()> {
        for (_, token, _) in self.agents.drain(..) {
            self.token_owners.remove(&token);
        }
        for router in 0..self.script.routers.count {
            let subnet = self.net.1 + 50 + self.agent_moves;
            let address = SocketAddr::from(([127, self.net.0, subnet, router as u8 + 1], 8500));
            let mut listener = sockets::listen(address)?;
            let token = self.token(TokenOwner::AgentListener(router));
            self.poll.registry().register(&mut listener, Token(token), Interest::READABLE)?;
            let mut advertised = address;
            if let Some(relay) = &self.relay {
                if self.script.needs_relay(&Endpoint::Router(router), &Endpoint::Agent(router)) {
                    advertised.set_port(RELAY_PORT);
                    relay.stream(Endpoint::Router(router), Endpoint::Agent(router), advertised, address)?;
                }
            }
            self.agents.push((advertised, token, listener));
        }
        Ok(())
    }

    fn entry(&self, host: usize) -> Entry {
        let listing = self.fleet.listing(host);
        Entry {
            name: listing.name,
            address: self.hosts[host].address,
            zone: listing.zone,
            machine: listing.machine,
            group: listing.group,
            readiness: listing.readiness,
            since: listing.since,
            primary: listing.primary,
        }
    }

    fn publish_lists(&self) {
        let lists =
            (0..self.script.routers.count).map(|n| self.catalog.full_list(&|e| self.host_address_for(n, e)));
        *self.lists.lock().expect("no thread panics under the lock") = lists.collect();
    }

    /// The address at which a router finds a host.
    fn host_address_for(&self, router: usize, entry: &Entry) -> SocketAddr {
        // Without link faults no lookup is needed.
        match self.relayed_addresses.is_empty() {
            true => entry.address,
            false => {
                self.relayed_addresses.get(&(router, entry.name.clone())).copied().unwrap_or(entry.address)
            }
        }
    }

    fn record(&mut self, t: f64, what: EmulatorEvent) {
        self.unsent_records.push(Record { t, what: TraceEvent::Emulator(what) });
    }

    fn send_records(&mut self) {
        for record in self.unsent_records.drain(..) {
            let _ = self.trace.send(record);
        }
    }

    fn run(&mut self, commands: &Receiver<Command>) -> io::Result<Summary> {
        let mut events = Events::with_capacity(1024);
        loop {
            while let Ok(command) = commands.try_recv() {
                match command {
                    Command::StartScript(at) => {
                        self.cue_scheduler = Some(CueScheduler::new(&self.script.cues, at))
                    }
                    Command::Stop => return self.summary(),
                }
            }
            self.process_due()?;
            let now = self.clock.now();
            let wake = self.wake_at().unwrap_or(f64::INFINITY);
            let sleep = (wake - now).clamp(0.0, MAX_SLEEP_S);
            // The kernel's timeout is in whole milliseconds, rounded up.
            match self.poll.poll(&mut events, Some(Duration::from_secs_f64(sleep))) {
                Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            let now = self.clock.now();
            if wake <= now {
                self.late_us.saturating_record(((now - wake) * 1e6) as u64);
            }
            for event in &events {
                let (token, writable) = (event.token().0, event.is_writable());
                self.on_ready(token, writable)?;
            }
        }
    }

    fn summary(&mut self) -> io::Result<Summary> {
        self.send_records();
        let missed =
            self.cue_scheduler.iter().flat_map(|d| d.missed_cues()).map(|c| c.name.clone()).collect();
        let relay = self.relay.take().map(Relay::stop).transpose()?;
        Ok(Summary { late_us: self.late_us.clone(), missed, max_connections: self.max_connections, relay })
    }

    fn wake_at(&mut self) -> Option<f64> {
        let silent = self.silent_until;
        let next_cue_end = self.cue_ends.iter().map(|(at, _)| *at).reduce(f64::min);
        let next_agent_wake = self
            .agent_conns
            .values()
            .map(|conn| conn.closes_at.min(conn.next_keepalive.max(silent)))
            .reduce(f64::min);
        let next_change = self.catalog.next_change_at().map(|at| at.max(silent));
        let next_cue = self.cue_scheduler.as_ref().and_then(CueScheduler::next_due);
        [self.fleet.next_wake(), next_cue_end, next_agent_wake, next_change, next_cue]
            .into_iter()
            .flatten()
            .reduce(f64::min)
    }

    /// Processes everything due: the model, the cues and the agents.
    fn process_due(&mut self) -> io::Result<()> {
        let now = self.clock.now();
        self.fleet.advance(now);
        self.process_events()?;
        if now >= self.silent_until {
            self.update_agents(now)?;
        }
        Ok(())
    }

    /// Processes events and the cues that they trigger until none are left, then sends the outputs of the hosts. Cues
    /// run before outputs are sent, so that a host can crash between running a statement and answering it.
    fn process_events(&mut self) -> io::Result<()> {
        loop {
            let now = self.clock.now();
            let mut progressed = false;
            while let Some((t, event)) = self.fleet.next_event() {
                progressed = true;
                self.report_to_cue_scheduler(now, &event);
                self.unsent_records.push(Record { t, what: TraceEvent::Fleet(event) });
            }
            while let Some(index) = self.cue_ends.iter().position(|(at, _)| *at <= now) {
                let (_, cue) = self.cue_ends.swap_remove(index);
                let link = self
                    .cue_scheduler
                    .as_ref()
                    .map(|d| d.cue(cue))
                    .filter(|c| matches!(c.action, CueAction::Link { .. }));
                if let (Some(relay), Some(name)) = (&self.relay, link.map(|c| c.name.clone())) {
                    relay.heal(cue);
                    self.record(now, EmulatorEvent::LinkEnds { name });
                }
                self.notify_cue_scheduler(now, &ScenarioEvent::CueEnded { cue });
                progressed = true;
            }
            while let Some(cue) = self.cue_scheduler.as_mut().and_then(|d| d.take_due(now)) {
                self.execute_cue(now, cue)?;
                progressed = true;
            }
            if progressed {
                continue;
            }
            let mut outputs = Vec::new();
            while let Some((_, output)) = self.fleet.next_output() {
                outputs.push(output);
            }
            if outputs.is_empty() {
                self.send_records();
                return Ok(());
            }
            self.apply_outputs(outputs)?;
            self.send_records();
        }
    }

    fn notify_cue_scheduler(&mut self, now: f64, scenario_event: &ScenarioEvent) {
        if let Some(cue_scheduler) = &mut self.cue_scheduler {
            cue_scheduler.record_event(now, scenario_event);
        }
    }

    fn report_to_cue_scheduler(&mut self, now: f64, event: &Event) {
        let index = |name: &String| self.workloads.iter().position(|w| w == name).unwrap_or(0);
        let scenario_event = match event {
            Event::Taken { workload, .. } => ScenarioEvent::Received { workload: index(workload) },
            Event::Ran { workload, .. } => ScenarioEvent::Executed { workload: index(workload) },
            Event::Primary { group, .. } => ScenarioEvent::PrimaryElected { group: group.clone() },
            _ => return,
        };
        self.notify_cue_scheduler(now, &scenario_event);
    }

    fn execute_cue(&mut self, now: f64, cue: usize) -> io::Result<()> {
        let Some(cue_scheduler) = &self.cue_scheduler else { return Ok(()) };
        let (name, action) = (cue_scheduler.cue(cue).name.clone(), cue_scheduler.action(cue).clone());
        let mut on = Vec::new();
        let duration_s = match action {
            CueAction::Fault { kind, target, duration_s } => {
                let drains = matches!(kind, FaultKind::Drain | FaultKind::Replace);
                // Recorded before the fault starts, so that the following change of the list is attributed to this cue.
                let hosts = self.fleet.resolve_target(&target);
                on = hosts.iter().map(|h| self.fleet.listing(*h).name).collect();
                if drains {
                    self.announcing_cues.extend(on.iter().map(|host| (host.clone(), cue)));
                }
                self.fleet.start_fault(now, Fault { kind, target, duration_s });
                if on.is_empty() {
                    let _ = self.notifications.send(Notification::NoTarget(name.clone()));
                }
                duration_s
            }
            CueAction::Agent { kind: AgentFault::Silent, duration_s } => {
                self.silent_until = now + duration_s;
                duration_s
            }
            CueAction::Agent { kind: AgentFault::Delay(s), duration_s } => {
                (self.delay, self.delay_until) = (s, now + duration_s);
                duration_s
            }
            CueAction::Agent { kind: AgentFault::Move, .. } => {
                self.agent_moves += 1;
                self.start_agents()?;
                self.agent_conns
                    .values_mut()
                    .for_each(|conn| conn.closes_at = conn.closes_at.min(now + AGENT_MOVE_GRACE_S));
                let addresses = self.agents.iter().map(|(address, ..)| *address).collect();
                let _ = self.notifications.send(Notification::AgentsMoved(addresses));
                f64::INFINITY
            }
            CueAction::Link { scope, link_fault, duration_s } => {
                if let Some(relay) = &self.relay {
                    relay.begin(cue, scope.clone(), link_fault);
                }
                let on = self.affected_endpoint_kinds(&scope);
                let severs = self.severed_pairs(&scope, link_fault);
                self.record(now, EmulatorEvent::LinkBegins { name: name.clone(), on, severs });
                duration_s
            }
            CueAction::Process { selector, process_fault, spread } => {
                let _ = self.notifications.send(Notification::Process {
                    name: name.clone(),
                    selector,
                    process_fault,
                    spread,
                });
                spread
                    + match process_fault {
                        ProcessFault::Restart { back, .. } => back,
                        ProcessFault::Stop { lasts: duration_s }
                        | ProcessFault::Slow { lasts: duration_s, .. } => duration_s,
                        ProcessFault::Copy => 0.0,
                    }
            }
        };
        self.record(now, EmulatorEvent::Cue { name, on });
        self.notify_cue_scheduler(now, &ScenarioEvent::CueBegan { cue });
        if duration_s.is_finite() {
            self.cue_ends.push((now + duration_s, cue));
        }
        Ok(())
    }

    /// Pairs of routers (from, to) between which nothing gets through under this link fault.
    fn severed_pairs(&self, scope: &FaultScope, link_fault: LinkFault) -> Vec<(usize, usize)> {
        if !matches!(link_fault, LinkFault::Cut | LinkFault::Reset) {
            return Vec::new();
        }
        let all = 0..self.script.routers.count;
        let pairs = all.clone().flat_map(|a| all.clone().map(move |b| (a, b)));
        pairs.filter(|(a, b)| a != b && scope.affects(&Endpoint::Router(*a), &Endpoint::Router(*b))).collect()
    }

    /// The kinds of endpoints that a link fault affects, for the audit of the run.
    fn affected_endpoint_kinds(&self, scope: &FaultScope) -> Vec<&'static str> {
        let routers = || (0..self.script.routers.count).map(Endpoint::Router);
        let hosts = (0..self.fleet.host_count()).map(|h| self.fleet.listing(h));
        let hosts: Vec<Endpoint> = hosts
            .map(|listing| Endpoint::Host { name: listing.name, group: listing.group, zone: listing.zone })
            .collect();
        let affects = |endpoints_of: &dyn Fn(usize) -> Vec<Endpoint>| {
            routers().enumerate().any(|(n, r)| {
                endpoints_of(n).iter().any(|end| r.talks_to(end) && scope.affects_either_way(&r, end))
            })
        };
        let mut on = Vec::new();
        if affects(&|_| vec![Endpoint::Clients]) {
            on.push("clients");
        }
        if affects(&|_| hosts.clone()) {
            on.push("hosts");
        }
        if affects(&|n| vec![Endpoint::Agent(n)]) {
            on.push("agents");
        }
        if affects(&|_| routers().collect()) {
            on.push("routers");
        }
        on
    }

    fn apply_outputs(&mut self, outputs: Vec<Output>) -> io::Result<()> {
        // A host that has crashed or vanished in the same batch sends nothing any more.
        let stopped_hosts: BTreeSet<usize> = outputs
            .iter()
            .filter_map(|o| match o {
                Output::Down { host } | Output::Unreachable { host } => Some(*host),
                _ => None,
            })
            .collect();
        for output in outputs {
            if let Output::Answer { conn, .. } | Output::Greet { conn } = &output {
                if self.conns.get(&(*conn as usize)).is_some_and(|c| stopped_hosts.contains(&c.host)) {
                    continue;
                }
            }
            match output {
                Output::Greet { conn } => {
                    self.write_to(conn as usize, pg::startup_response);
                }
                Output::RejectConnection { conn, code } => {
                    self.write_to(conn as usize, |out| {
                        pg::error(out, true, code, "no more connections", None)
                    });
                    self.close_when_sent(conn as usize);
                }
                Output::Answer { conn, answer } => self.send_answer(conn as usize, &answer)?,
                Output::Close { conn } => self.drop_conn(conn as usize, false),
                Output::Down { host } => {
                    self.stop_listening(host);
                    self.reset_all(host);
                }
                Output::Unreachable { host } => {
                    self.conns.values_mut().filter(|c| c.host == host).for_each(|c| c.unresponsive = true);
                    let socket = &mut self.hosts[host];
                    if let Some((_, listener)) = &socket.listener {
                        socket.queue_fillers = sockets::stop_accepting(listener, socket.address);
                    }
                }
                Output::RefuseConnections { host } => self.stop_listening(host),
                Output::Up { host } => {
                    self.reset_all(host);
                    if let Some((_, listener)) = &self.hosts[host].listener {
                        sockets::resume_accepting(listener);
                        self.hosts[host].queue_fillers.clear();
                        self.accept(host)?;
                        // The new process does not know connections that were established during the outage.
                        self.reset_all(host);
                    }
                    self.listen(host)?;
                }
                Output::AcceptConnections { host } => self.listen(host)?,
                Output::HostAdded { host } => self.add_host(host)?,
                Output::ListingChanged { host, .. } => {
                    let now = self.clock.now();
                    let delay = if now < self.delay_until { self.delay } else { self.script.discovery_delay };
                    let entry = self.entry(host);
                    self.catalog.schedule_change(now + delay, entry);
                }
            }
        }
        Ok(())
    }

    fn send_answer(&mut self, token: usize, answer: &Answer) -> io::Result<()> {
        let Some(connection) = self.conns.get_mut(&token) else { return Ok(()) };
        let (host, workload) = (connection.host, connection.workload.take());
        let name = self.fleet.listing(host).name;
        let writes = |w: usize| self.script.plan.workloads[w].consistency == Consistency::Write;
        let denied;
        let answer = match answer {
            Answer::Row { primary, position, term, .. }
                if workload.is_some_and(writes) && self.deny_next_write.remove(&host) =>
            {
                denied = Answer::Error { code: "25006", primary: *primary, position: *position, term: *term };
                &denied
            }
            other => other,
        };
        let mut bytes = Vec::new();
        protocol::write_answer(answer, &name, &mut bytes);
        let partial_answer_workload =
            workload.filter(|w| self.cue_scheduler.as_ref().is_some_and(|d| d.awaits_partial_answer(*w)));
        if let Some(workload) = partial_answer_workload {
            // The row description and part of the row.
            let split_at = bytes.len() / 3;
            self.write_to(token, |out| out.extend_from_slice(&bytes[..split_at]));
            let now = self.clock.now();
            self.notify_cue_scheduler(now, &ScenarioEvent::PartlyAnswered { workload });
            while let Some(cue) = self.cue_scheduler.as_mut().and_then(|d| d.take_due(now)) {
                self.execute_cue(now, cue)?;
            }
            bytes.drain(..split_at);
            if !self.fleet.is_alive(host) || self.fleet.effects(host).paused {
                // A crashed or paused host does not send the rest; `process_events` handles what follows.
                return Ok(());
            }
        }
        self.write_to(token, |out| out.append(&mut bytes));
        if let (Answer::Unusable { .. }, Some(connection)) = (answer, self.conns.get_mut(&token)) {
            connection.unresponsive = true;
        }
        Ok(())
    }

    fn write_to(&mut self, token: usize, write: impl FnOnce(&mut Vec<u8>)) {
        let Some(connection) = self.conns.get_mut(&token).filter(|connection| !connection.unresponsive)
        else {
            return;
        };
        write(&mut connection.out);
        self.flush(token);
    }

    fn close_when_sent(&mut self, token: usize) {
        if let Some(connection) = self.conns.get_mut(&token) {
            connection.close_when_sent = true;
        }
        self.flush(token);
    }

    fn flush(&mut self, token: usize) {
        let Some(connection) = self.conns.get_mut(&token) else { return };
        match write_pending(&mut connection.stream, &mut connection.out, &mut connection.sent) {
            Ok(true) if connection.close_when_sent => self.drop_conn(token, false),
            Ok(_) => {}
            Err(_) => self.connection_lost(token),
        }
    }

    /// Handles a connection that the peer has closed.
    fn connection_lost(&mut self, token: usize) {
        let now = self.clock.now();
        if let Some(connection) = self
            .conns
            .get(&token)
            .filter(|connection| self.script.planted_defect && connection.workload.is_some())
        {
            self.deny_next_write.insert(connection.host);
        }
        self.fleet.input(now, token as u64, Input::Closed);
        self.drop_conn(token, false);
    }

    fn drop_conn(&mut self, token: usize, resets: bool) {
        self.token_owners.remove(&token);
        if let Some(connection) = self.conns.remove(&token) {
            if resets {
                sockets::reset(connection.stream);
            }
        }
    }

    fn reset_all(&mut self, host: usize) {
        let of_host = |(token, c): (&usize, &Conn)| (c.host == host).then_some(*token);
        let tokens: Vec<usize> = self.conns.iter().filter_map(of_host).collect();
        tokens.into_iter().for_each(|token| self.drop_conn(token, true));
    }

    fn on_ready(&mut self, token: usize, writable: bool) -> io::Result<()> {
        match self.token_owners.get(&token).copied() {
            Some(TokenOwner::HostListener(host)) if !self.fleet.effects(host).unreachable => {
                self.accept(host)?
            }
            Some(TokenOwner::AgentListener(router)) => self.accept_agent_conns(router)?,
            Some(TokenOwner::Conn) => {
                if writable {
                    self.flush(token);
                }
                self.read_conn(token)?;
            }
            Some(TokenOwner::AgentConn) => self.read_agent_conn(token, writable)?,
            _ => {}
        }
        Ok(())
    }

    fn accept(&mut self, host: usize) -> io::Result<()> {
        while let Some((_, listener)) = &self.hosts[host].listener {
            let mut stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                // The peer closed the connection before it was accepted.
                Err(_) => continue,
            };
            let _ = stream.set_nodelay(true);
            let token = self.token(TokenOwner::Conn);
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(token), interest)?;
            let conn = Conn {
                stream,
                host,
                reader: pg::MessageReader::default(),
                out: Vec::new(),
                sent: 0,
                close_when_sent: false,
                unresponsive: false,
                workload: None,
                part_reported: false,
            };
            self.conns.insert(token, conn);
            self.max_connections = self.max_connections.max(self.conns.len());
        }
        Ok(())
    }

    fn read_conn(&mut self, token: usize) -> io::Result<()> {
        let mut bytes = [0; 4096];
        loop {
            let read_in_pieces =
                self.cue_scheduler.as_ref().is_some_and(CueScheduler::awaits_partial_statement);
            let Some(connection) = self.conns.get_mut(&token).filter(|connection| !connection.unresponsive)
            else {
                return Ok(());
            };
            let read_limit = if read_in_pieces { PARTIAL_READ_BYTES } else { bytes.len() };
            match connection.stream.read(&mut bytes[..read_limit]) {
                Ok(0) => {
                    self.connection_lost(token);
                    return self.process_events();
                }
                Ok(n) => connection.reader.receive(&bytes[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.connection_lost(token);
                    return self.process_events();
                }
            }
            while let Some(connection) = self.conns.get_mut(&token) {
                match connection.reader.message() {
                    Ok(Some(message)) => self.on_message(token, message)?,
                    Ok(None) => break,
                    Err(_) => {
                        self.write_to(token, |out| {
                            pg::error(out, true, "08P01", "no frame of the protocol", None)
                        });
                        self.close_when_sent(token);
                        self.connection_lost(token);
                        return self.process_events();
                    }
                }
            }
            self.check_partial_statement(token)?;
        }
    }

    /// Reports a partially received statement, for which cues may wait.
    fn check_partial_statement(&mut self, token: usize) -> io::Result<()> {
        let Some(connection) = self.conns.get_mut(&token).filter(|connection| !connection.part_reported)
        else {
            return Ok(());
        };
        if connection.reader.buffered_bytes() == 0
            || !self.cue_scheduler.as_ref().is_some_and(CueScheduler::awaits_partial_statement)
        {
            return Ok(());
        }
        let Some(workload) =
            protocol::workload_of_partial_query(connection.reader.incomplete_message(), &self.workloads)
        else {
            return Ok(());
        };
        connection.part_reported = true;
        let (now, host) = (self.clock.now(), connection.host);
        let (host, name) = (self.fleet.listing(host).name, self.workloads[workload].clone());
        self.record(now, EmulatorEvent::Part { host, workload: name });
        self.notify_cue_scheduler(now, &ScenarioEvent::PartlyReceived { workload });
        self.process_events()
    }

    fn on_message(&mut self, token: usize, message: pg::ClientMessage) -> io::Result<()> {
        let now = self.clock.now();
        let Some(connection) = self.conns.get_mut(&token) else { return Ok(()) };
        let host = connection.host;
        connection.part_reported = false;
        match message {
            pg::ClientMessage::Begin => self.fleet.input(now, token as u64, Input::Connect { host }),
            pg::ClientMessage::Encrypt => self.write_to(token, |out| out.push(b'N')),
            pg::ClientMessage::Cancel | pg::ClientMessage::Terminate => self.connection_lost(token),
            pg::ClientMessage::Other(_) => {
                self.write_to(token, |out| pg::error(out, true, "0A000", "simple queries only", None));
                self.close_when_sent(token);
                self.connection_lost(token);
            }
            pg::ClientMessage::Query(text) => match protocol::parse_query(&text, &self.workloads) {
                Query::Statement(request) => {
                    connection.workload = Some(request.workload);
                    self.fleet.input(now, token as u64, Input::Statement(request));
                }
                Query::Report if self.script.allowed.probes => {
                    self.fleet.input(now, token as u64, Input::Report);
                }
                // All other queries are answered without the model; a paused or hung process does not answer.
                other => self.answer_without_fleet(token, host, other),
            },
        }
        self.process_events()
    }

    fn answer_without_fleet(&mut self, token: usize, host: usize, query: Query) {
        let effects = self.fleet.effects(host);
        if effects.paused || effects.hung || !effects.is_alive() {
            return;
        }
        self.write_to(token, |out| match query {
            Query::Empty => pg::empty_query(out),
            Query::SelectOne => {
                pg::row(out, b"1");
                pg::ready(out);
            }
            Query::Ignored(tag) => {
                pg::command_complete(out, tag);
                pg::ready(out);
            }
            Query::Report => {
                pg::error(out, false, "42501", "no load reports here", None);
                pg::ready(out);
            }
            Query::Statement(_) | Query::Unreadable => {
                pg::error(out, false, "08P01", "not a statement in the agreed form", None);
                pg::ready(out);
            }
        });
    }

    /// Applies due changes of the catalog, sends them to all watches, sends keepalives and closes expired connections.
    fn update_agents(&mut self, now: f64) -> io::Result<()> {
        let mut changed = false;
        while self.catalog.apply_next(now).is_some() {
            changed = true;
        }
        if changed {
            self.publish_lists();
        }
        let watches: Vec<usize> = self
            .agent_conns
            .iter()
            .filter(|(_, conn)| conn.reported_index.is_some())
            .map(|(token, _)| *token)
            .collect();
        for token in watches {
            self.send_changes(now, token)?;
        }
        let expired: Vec<usize> =
            self.agent_conns.iter().filter(|(_, conn)| conn.closes_at <= now).map(|(t, _)| *t).collect();
        expired.into_iter().for_each(|token| self.drop_agent_conn(token));
        Ok(())
    }

    fn drop_agent_conn(&mut self, token: usize) {
        self.token_owners.remove(&token);
        self.agent_conns.remove(&token);
    }

    /// Sends outstanding changes to one watch, or a keepalive if it is due.
    fn send_changes(&mut self, now: f64, token: usize) -> io::Result<()> {
        let Some(agent_conn) = self.agent_conns.get_mut(&token) else { return Ok(()) };
        let Some(reported_index) = agent_conn.reported_index else { return Ok(()) };
        let router = agent_conn.router;
        let changes = self.catalog.changes_since(reported_index, &|e| self.host_address_for(router, e));
        let Some(agent_conn) = self.agent_conns.get_mut(&token) else { return Ok(()) };
        match changes {
            Some((text, changed)) => {
                agent_conn.out.extend_from_slice(&agent::watch_chunk(&text));
                agent_conn.reported_index = Some(self.catalog.index());
                agent_conn.next_keepalive = now + WATCH_KEEPALIVE_S;
                self.flush_agent_conn(token);
                self.record_sent_entries(now, router, &changed);
                return self.process_events();
            }
            None if agent_conn.next_keepalive <= now => {
                agent_conn.out.extend_from_slice(&agent::watch_chunk(""));
                agent_conn.next_keepalive = now + WATCH_KEEPALIVE_S;
                self.flush_agent_conn(token);
            }
            None => {}
        }
        Ok(())
    }

    fn record_sent_entries(&mut self, now: f64, router: usize, entries: &[Entry]) {
        for entry in entries {
            let (host, readiness, primary) = (entry.name.clone(), entry.readiness, entry.primary);
            self.record(now, EmulatorEvent::Told { router, host, readiness, primary });
            let announcing_cue = self
                .announcing_cues
                .get(&entry.name)
                .copied()
                .filter(|_| entry.readiness == Readiness::Leaving);
            if let Some(cue) = announcing_cue {
                self.notify_cue_scheduler(now, &ScenarioEvent::CueAnnounced { cue });
            }
        }
    }

    fn flush_agent_conn(&mut self, token: usize) {
        let Some(agent_conn) = self.agent_conns.get_mut(&token) else { return };
        match write_pending(&mut agent_conn.stream, &mut agent_conn.out, &mut agent_conn.sent) {
            Ok(true) if agent_conn.close_when_sent => self.drop_agent_conn(token),
            Ok(_) => {}
            Err(_) => self.drop_agent_conn(token),
        }
    }

    fn accept_agent_conns(&mut self, router: usize) -> io::Result<()> {
        while let Ok((mut stream, _)) = self.agents[router].2.accept() {
            let token = self.token(TokenOwner::AgentConn);
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(token), interest)?;
            let agent_conn = AgentConn {
                stream,
                router,
                buf: Vec::new(),
                out: Vec::new(),
                sent: 0,
                close_when_sent: false,
                reported_index: None,
                next_keepalive: f64::INFINITY,
                closes_at: f64::INFINITY,
            };
            self.agent_conns.insert(token, agent_conn);
        }
        Ok(())
    }

    fn read_agent_conn(&mut self, token: usize, writable: bool) -> io::Result<()> {
        if writable {
            self.flush_agent_conn(token);
        }
        let mut bytes = [0; 1024];
        loop {
            let Some(agent_conn) = self.agent_conns.get_mut(&token) else { return Ok(()) };
            match agent_conn.stream.read(&mut bytes) {
                Ok(0) => {
                    self.drop_agent_conn(token);
                    return Ok(());
                }
                Ok(n) => agent_conn.buf.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.drop_agent_conn(token);
                    return Ok(());
                }
            }
        }
        self.handle_agent_request(token)
    }

    fn handle_agent_request(&mut self, token: usize) -> io::Result<()> {
        let now = self.clock.now();
        let Some(agent_conn) = self.agent_conns.get_mut(&token) else { return Ok(()) };
        let (request, length) = match agent::parse_request(&agent_conn.buf) {
            Ok(None) => return Ok(()),
            Ok(Some(found)) => found,
            Err(_) => (AgentRequest::Unknown, agent_conn.buf.len()),
        };
        agent_conn.buf.drain(..length);
        let router = agent_conn.router;
        if request != AgentRequest::Unknown {
            self.record(now, EmulatorEvent::ListAsked { router });
        }
        let full_list = (request == AgentRequest::FullList)
            .then(|| self.catalog.full_list(&|e| self.host_address_for(router, e)));
        let Some(agent_conn) = self.agent_conns.get_mut(&token) else { return Ok(()) };
        match request {
            AgentRequest::FullList => {
                agent_conn.out.extend_from_slice(&agent::http_response(&full_list.unwrap_or_default()));
                agent_conn.close_when_sent = true;
                let all = self.catalog.all_entries();
                self.flush_agent_conn(token);
                self.record_sent_entries(now, router, &all);
                self.process_events()
            }
            AgentRequest::Watch(since) => {
                agent_conn.out.extend_from_slice(agent::WATCH_HEADERS);
                agent_conn.reported_index = Some(since);
                agent_conn.next_keepalive = now + WATCH_KEEPALIVE_S;
                let changed =
                    self.catalog.changes_since(since, &|e| self.host_address_for(router, e)).is_some();
                if now >= self.silent_until && !changed {
                    // A watch without outstanding changes starts with an empty list of changes.
                    let unchanged_list = agent::watch_chunk(&self.catalog.unchanged_list());
                    self.agent_conns
                        .get_mut(&token)
                        .into_iter()
                        .for_each(|conn| conn.out.extend_from_slice(&unchanged_list));
                }
                self.flush_agent_conn(token);
                // While the agent is silent only the headers go out; the changes follow when the silence ends.
                if now >= self.silent_until {
                    self.send_changes(now, token)
                } else {
                    Ok(())
                }
            }
            AgentRequest::Unknown => {
                agent_conn.out.extend_from_slice(agent::NOT_FOUND);
                agent_conn.close_when_sent = true;
                self.flush_agent_conn(token);
                Ok(())
            }
        }
    }
}

/// Writes as much as the socket accepts; `true` once everything is written.
fn write_pending(stream: &mut TcpStream, out: &mut Vec<u8>, sent: &mut usize) -> io::Result<bool> {
    while *sent < out.len() {
        match stream.write(&out[*sent..]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => *sent += n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    out.clear();
    *sent = 0;
    Ok(true)
}

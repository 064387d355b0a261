//! The loop that holds model, director and sockets together. One thread owns all of it; others hear of it over
//! channels.
use crate::agent::{self, Board, Entry, Wish};
use crate::clock::Clock;
use crate::protocol::{self, Query};
use crate::sockets;
use crossbeam_channel::{unbounded, Receiver, Sender};
use hdrhistogram::Histogram;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use sandstile_faults::fault_state::FaultScope;
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

/// One line of the trace. Times are Unix seconds of the clock that all share.
#[derive(Clone, Debug, Serialize)]
pub struct Record {
    pub t: f64,
    #[serde(flatten)]
    pub what: TraceEvent,
}

#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum TraceEvent {
    Fleet(Event),
    Emulator(EmulatorEvent),
}

#[derive(Clone, Debug, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum EmulatorEvent {
    /// A router's agent was written what stands of a host.
    Told {
        router: usize,
        host: String,
        readiness: Readiness,
        primary: bool,
    },
    /// A cue was carried out, on these hosts.
    Cue {
        name: String,
        on: Vec<String>,
    },
    /// A host was read part of a statement, and no more.
    Part {
        host: String,
        workload: String,
    },
    /// A router asked its agent for a list, or for what comes after one.
    ListAsked {
        router: usize,
    },
    /// What a cue of links began and ended.
    LinkBegins {
        name: String,
        on: Vec<&'static str>,
        /// From which router to which nothing gets through.
        severs: Vec<(usize, usize)>,
    },
    LinkEnds {
        name: String,
    },
}

/// What the emulator has others do.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// Routers are to hear that their agents answer at these addresses, one for each router.
    AgentsMoved(Vec<SocketAddr>),
    /// Router processes are to be struck.
    Process { name: String, selector: ProcessSelector, process_fault: ProcessFault, spread: f64 },
    /// A cue found nothing that it could strike.
    NoTarget(String),
}

enum Command {
    Begin(f64),
    Stop,
}

/// How the emulator itself did.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Microseconds by which its timers were late.
    pub late_us: Histogram<u64>,
    /// Cues whose event never came.
    pub missed: Vec<String>,
    pub max_connections: usize,
    /// How the relays did, where links may fail.
    pub relay: Option<sandstile_relay::Summary>,
}

impl Summary {
    /// Timers so late that hosts were slower than the model has it: the run says little.
    pub fn unsound(&self) -> bool {
        self.late_us.value_at_quantile(0.99) > 5000
    }
}

pub struct Handle {
    pub agents: Vec<SocketAddr>,
    pub hosts: Vec<(String, SocketAddr)>,
    /// Where clients find each router.
    pub client_addresses: Vec<SocketAddr>,
    commands: Sender<Command>,
    waker: Arc<Waker>,
    lists: Arc<Mutex<Vec<String>>>,
    thread: JoinHandle<io::Result<Summary>>,
}

impl Handle {
    /// The script's time runs from here.
    pub fn start_script(&self, at: f64) {
        let _ = self.commands.send(Command::Begin(at));
        let _ = self.waker.wake();
    }

    /// The list as discovery has it now, for one router.
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
enum Place {
    Host(usize),
    Agent(usize),
    Conn,
    Line,
    Wake,
}

struct Conn {
    stream: TcpStream,
    host: usize,
    ear: pg::MessageReader,
    out: Vec<u8>,
    sent: usize,
    close_when_sent: bool,
    /// Its machine has vanished, or its answer was spoilt: nothing is read or written any more.
    mute: bool,
    workload: Option<usize>,
    part_told: bool,
}

/// A router's connection to its agent.
struct Line {
    stream: TcpStream,
    router: usize,
    buf: Vec<u8>,
    out: Vec<u8>,
    sent: usize,
    close_when_sent: bool,
    /// How far this watch has been told.
    told: Option<u64>,
    next_line: f64,
    /// The agent has moved: it ends then.
    ends: f64,
}

struct HostPlace {
    address: SocketAddr,
    listener: Option<(usize, TcpListener)>,
    /// Connections that fill the queue of one that has vanished.
    fillers: Vec<socket2::Socket>,
}

pub struct Emulator {
    script: Script,
    clock: Clock,
    trace: Sender<Record>,
    notes: Sender<Notification>,
    poll: Poll,
    waker: Arc<Waker>,
    places: BTreeMap<usize, Place>,
    next_token: usize,
    fleet: Fleet,
    workloads: Vec<String>,
    cue_scheduler: Option<CueScheduler>,
    hosts: Vec<HostPlace>,
    conns: BTreeMap<usize, Conn>,
    board: Board,
    delay: f64,
    delay_until: f64,
    silent_until: f64,
    agents: Vec<(SocketAddr, usize, TcpListener)>,
    moves: u8,
    lines: BTreeMap<usize, Line>,
    lists: Arc<Mutex<Vec<String>>>,
    /// Links that may fail, and where each router finds a host over one.
    relay: Option<Relay>,
    over: BTreeMap<(usize, String), SocketAddr>,
    /// Hosts whose next write is said never to have run: the planted flaw.
    denying: BTreeSet<usize>,
    /// Which cue a host's change of the list is owed to.
    owed: BTreeMap<String, usize>,
    ends: Vec<(f64, usize)>,
    net: (u8, u8),
    late_us: Histogram<u64>,
    max_connections: usize,
}

/// Between empty lines of a watch.
const LINE: f64 = 2.0;
/// Ports of relays: this one before an agent or a router, and this and one more a router before a host.
const RELAYS: u16 = 20_000;
/// After so long an agent that has moved ends its old connections.
const MOVED: f64 = 1.5;
/// The longest sleep, in case anything was forgotten.
const NAP: f64 = 0.05;
/// So small are pieces while some cue waits for a statement that has come in part.
const PIECE: usize = 48;

/// Where a router of a rehearsal listens.
pub fn router_address(net: u8, number: usize) -> SocketAddr {
    SocketAddr::from(([127, net, 240, number as u8 + 1], 6432))
}

/// Where a router of a rehearsal takes its peers' letters, and where they find it: at a relay's, where links may fail.
pub fn members_address(net: u8, number: usize, relayed: bool) -> (SocketAddr, SocketAddr) {
    let mut at = router_address(net, number);
    at.set_port(7433);
    let mut found_at = at;
    found_at.set_port(if relayed { RELAYS } else { 7433 });
    (at, found_at)
}

/// Where a router takes what another tells it of sessions, and where that other finds it: each over a relay of its own, where
/// links may fail.
pub fn exchange_address(net: u8, number: usize, by: usize, relayed: bool) -> (SocketAddr, SocketAddr) {
    let mut at = router_address(net, number);
    at.set_port(7434);
    let mut found_at = at;
    found_at.set_port(if relayed { RELAYS + 100 + by as u16 } else { 7434 });
    (at, found_at)
}

impl Emulator {
    /// Hosts at 127.A.B.*, agents at 127.A.(B+50+move).*, with A and B as told.
    pub fn new(
        script: &Script,
        net: (u8, u8),
        clock: Clock,
        trace: Sender<Record>,
        notes: Sender<Notification>,
    ) -> io::Result<Emulator> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), Token(0))?);
        let fleet = Fleet::new(script.plan.clone(), clock.now());
        let mut emulator = Emulator {
            workloads: script.plan.workloads.iter().map(|w| w.name.clone()).collect(),
            script: script.clone(),
            clock,
            trace,
            notes,
            poll,
            waker,
            places: BTreeMap::from([(0, Place::Wake)]),
            next_token: 1,
            fleet,
            cue_scheduler: None,
            hosts: Vec::new(),
            conns: BTreeMap::new(),
            board: Board::default(),
            delay: script.discovery_delay,
            delay_until: 0.0,
            silent_until: 0.0,
            agents: Vec::new(),
            moves: 0,
            lines: BTreeMap::new(),
            lists: Arc::default(),
            relay: None,
            over: BTreeMap::new(),
            denying: BTreeSet::new(),
            owed: BTreeMap::new(),
            ends: Vec::new(),
            net,
            late_us: Histogram::new_with_bounds(1, 60_000_000, 3).expect("usable bounds"),
            max_connections: 0,
        };
        if script.cues.iter().any(|c| matches!(c.action, CueAction::Link { .. })) {
            emulator.relay = Some(Relay::start(script.plan.seed)?);
        }
        let now = emulator.clock.now();
        for host in 0..emulator.fleet.hosts() {
            emulator.place_host(host)?;
            let entry = emulator.entry(host);
            emulator.board.change(now, entry);
        }
        while emulator.board.come(now).is_some() {}
        emulator.publish();
        emulator.place_agents()?;
        if let Some(relay) = emulator.relay.as_ref().filter(|_| script.routers.members) {
            let spot = |n: usize| {
                let (address, relay_address) = members_address(net.0, n, true);
                sandstile_relay::HubMember { endpoint: Endpoint::Router(n), relay_address, address }
            };
            relay.hub((0..script.routers.count).map(spot).collect())?;
        }
        if let Some(relay) = emulator.relay.as_ref().filter(|_| script.sessions.exchange) {
            let all = 0..script.routers.count;
            for (by, number) in all.clone().flat_map(|by| all.clone().map(move |n| (by, n))) {
                if by != number {
                    let (at, found_at) = exchange_address(net.0, number, by, true);
                    relay.stream(Endpoint::Router(by), Endpoint::Router(number), found_at, at)?;
                }
            }
        }
        Ok(emulator)
    }

    /// Serves from a thread of its own.
    pub fn spawn(mut self) -> io::Result<Handle> {
        let (commands, told) = unbounded();
        let agents = self.agents.iter().map(|(address, ..)| *address).collect();
        let names = (0..self.fleet.hosts()).map(|h| self.fleet.listing(h).name);
        let hosts = names.zip(&self.hosts).map(|(name, place)| (name, place.address)).collect();
        let client_addresses =
            (0..self.script.routers.count).map(|n| self.door(n)).collect::<io::Result<_>>()?;
        let (waker, lists) = (self.waker.clone(), self.lists.clone());
        let thread = thread::Builder::new().name("emulator".to_string()).spawn(move || self.run(&told))?;
        Ok(Handle { agents, hosts, client_addresses, commands, waker, lists, thread })
    }

    fn token(&mut self, place: Place) -> usize {
        let token = self.next_token;
        self.next_token += 1;
        self.places.insert(token, place);
        token
    }

    fn place_host(&mut self, host: usize) -> io::Result<()> {
        let (low, high) = ((host % 250) as u8, (host / 250) as u8);
        let address = SocketAddr::from(([127, self.net.0, self.net.1 + high, low + 1], 5432));
        self.hosts.push(HostPlace { address, listener: None, fillers: Vec::new() });
        self.listen(host)?;
        let Some(relay) = &self.relay else { return Ok(()) };
        let l = self.fleet.listing(host);
        let end = Endpoint::Host { name: l.name.clone(), group: l.group, zone: l.zone };
        for router in 0..self.script.routers.count {
            if self.script.needs_relay(&Endpoint::Router(router), &end) {
                let mut listen = address;
                listen.set_port(RELAYS + router as u16);
                relay.stream(Endpoint::Router(router), end.clone(), listen, address)?;
                self.over.insert((router, l.name.clone()), listen);
            }
        }
        Ok(())
    }

    /// Where clients find a router: over a relay, where links between them may fail.
    fn door(&self, router: usize) -> io::Result<SocketAddr> {
        let address = router_address(self.net.0, router);
        match &self.relay {
            Some(relay) if self.script.needs_relay(&Endpoint::Clients, &Endpoint::Router(router)) => {
                let mut listen = address;
                listen.set_port(RELAYS);
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
        let token = self.token(Place::Host(host));
        self.poll.registry().register(&mut listener, Token(token), Interest::READABLE)?;
        self.hosts[host].listener = Some((token, listener));
        Ok(())
    }

    fn unlisten(&mut self, host: usize) {
        if let Some((token, _)) = self.hosts[host].listener.take() {
            self.places.remove(&token);
        }
        self.hosts[host].fillers.clear();
    }

    fn place_agents(&mut self) -> io::Result<()> {
        for (_, token, _) in self.agents.drain(..) {
            self.places.remove(&token);
        }
        for router in 0..self.script.routers.count {
            let part = self.net.1 + 50 + self.moves;
            let address = SocketAddr::from(([127, self.net.0, part, router as u8 + 1], 8500));
            let mut listener = sockets::listen(address)?;
            let token = self.token(Place::Agent(router));
            self.poll.registry().register(&mut listener, Token(token), Interest::READABLE)?;
            let mut told = address;
            if let Some(relay) = &self.relay {
                if self.script.needs_relay(&Endpoint::Router(router), &Endpoint::Agent(router)) {
                    told.set_port(RELAYS);
                    relay.stream(Endpoint::Router(router), Endpoint::Agent(router), told, address)?;
                }
            }
            self.agents.push((told, token, listener));
        }
        Ok(())
    }

    fn entry(&self, host: usize) -> Entry {
        let l = self.fleet.listing(host);
        Entry {
            name: l.name,
            address: self.hosts[host].address,
            zone: l.zone,
            machine: l.machine,
            group: l.group,
            readiness: l.readiness,
            since: l.since,
            primary: l.primary,
        }
    }

    fn publish(&self) {
        let lists = (0..self.script.routers.count).map(|n| self.board.whole(&|e| self.seen_from(n, e)));
        *self.lists.lock().expect("no thread panics under the lock") = lists.collect();
    }

    /// The address at which a router finds a host.
    fn seen_from(&self, router: usize, entry: &Entry) -> SocketAddr {
        // Without links that may fail nothing is looked up.
        match self.over.is_empty() {
            true => entry.address,
            false => self.over.get(&(router, entry.name.clone())).copied().unwrap_or(entry.address),
        }
    }

    fn record(&self, t: f64, what: EmulatorEvent) {
        let _ = self.trace.send(Record { t, what: TraceEvent::Emulator(what) });
    }

    fn run(&mut self, commands: &Receiver<Command>) -> io::Result<Summary> {
        let mut events = Events::with_capacity(1024);
        loop {
            while let Ok(command) = commands.try_recv() {
                match command {
                    Command::Begin(at) => self.cue_scheduler = Some(CueScheduler::new(&self.script.cues, at)),
                    Command::Stop => return self.summary(),
                }
            }
            self.turn()?;
            let now = self.clock.now();
            let wake = self.wake_at().unwrap_or(f64::INFINITY);
            let sleep = (wake - now).clamp(0.0, NAP);
            // The platform counts whole milliseconds and rounds up.
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
                self.ready(token, writable)?;
            }
        }
    }

    fn summary(&mut self) -> io::Result<Summary> {
        let missed =
            self.cue_scheduler.iter().flat_map(|d| d.missed_cues()).map(|c| c.name.clone()).collect();
        let relay = self.relay.take().map(Relay::stop).transpose()?;
        Ok(Summary { late_us: self.late_us.clone(), missed, max_connections: self.max_connections, relay })
    }

    fn wake_at(&mut self) -> Option<f64> {
        let silent = self.silent_until;
        let ends = self.ends.iter().map(|(at, _)| *at).reduce(f64::min);
        let lines = self.lines.values().map(|l| l.ends.min(l.next_line.max(silent))).reduce(f64::min);
        let board = self.board.next().map(|at| at.max(silent));
        let cue_scheduler = self.cue_scheduler.as_ref().and_then(CueScheduler::next_due);
        [self.fleet.next_wake(), ends, lines, board, cue_scheduler].into_iter().flatten().reduce(f64::min)
    }

    /// All that is due: the model, the cues, the agents.
    fn turn(&mut self) -> io::Result<()> {
        let now = self.clock.now();
        self.fleet.advance(now);
        self.settle()?;
        if now >= self.silent_until {
            self.tell(now)?;
        }
        Ok(())
    }

    /// Carries out what follows from what happened, until nothing more does; then what hosts say goes out. Cues
    /// come before words, so that a host can die between running a statement and answering it.
    fn settle(&mut self) -> io::Result<()> {
        loop {
            let now = self.clock.now();
            let mut moved = false;
            while let Some((t, event)) = self.fleet.next_event() {
                moved = true;
                self.watch(now, &event);
                let _ = self.trace.send(Record { t, what: TraceEvent::Fleet(event) });
            }
            while let Some(at) = self.ends.iter().position(|(at, _)| *at <= now) {
                let (_, cue) = self.ends.swap_remove(at);
                let link = self
                    .cue_scheduler
                    .as_ref()
                    .map(|d| d.cue(cue))
                    .filter(|c| matches!(c.action, CueAction::Link { .. }));
                if let (Some(relay), Some(name)) = (&self.relay, link.map(|c| c.name.clone())) {
                    relay.heal(cue);
                    self.record(now, EmulatorEvent::LinkEnds { name });
                }
                self.record_event(now, &ScenarioEvent::CueEnded { cue });
                moved = true;
            }
            while let Some(cue) = self.cue_scheduler.as_mut().and_then(|d| d.take_due(now)) {
                self.carry_out(now, cue)?;
                moved = true;
            }
            if moved {
                continue;
            }
            let mut outputs = Vec::new();
            while let Some((_, output)) = self.fleet.output() {
                outputs.push(output);
            }
            if outputs.is_empty() {
                return Ok(());
            }
            self.utter(outputs)?;
        }
    }

    fn record_event(&mut self, now: f64, what: &ScenarioEvent) {
        if let Some(cue_scheduler) = &mut self.cue_scheduler {
            cue_scheduler.record_event(now, what);
        }
    }

    fn watch(&mut self, now: f64, event: &Event) {
        let index = |name: &String| self.workloads.iter().position(|w| w == name).unwrap_or(0);
        let what = match event {
            Event::Taken { workload, .. } => ScenarioEvent::Received { workload: index(workload) },
            Event::Ran { workload, .. } => ScenarioEvent::Executed { workload: index(workload) },
            Event::Primary { group, .. } => ScenarioEvent::PrimaryElected { group: group.clone() },
            _ => return,
        };
        self.record_event(now, &what);
    }

    fn carry_out(&mut self, now: f64, cue: usize) -> io::Result<()> {
        let Some(cue_scheduler) = &self.cue_scheduler else { return Ok(()) };
        let (name, action) = (cue_scheduler.cue(cue).name.clone(), cue_scheduler.action(cue).clone());
        let mut on = Vec::new();
        let duration_s = match action {
            CueAction::Fault { kind, target, duration_s } => {
                let drains = matches!(kind, FaultKind::Drain | FaultKind::Replace);
                // Whatever the list says of it from now on is owed to this cue, before it is said.
                let hosts = self.fleet.targets(&target);
                on = hosts.iter().map(|h| self.fleet.listing(*h).name).collect();
                if drains {
                    self.owed.extend(on.iter().map(|host| (host.clone(), cue)));
                }
                self.fleet.start_fault(now, Fault { kind, target, duration_s });
                if on.is_empty() {
                    let _ = self.notes.send(Notification::NoTarget(name.clone()));
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
                self.moves += 1;
                self.place_agents()?;
                self.lines.values_mut().for_each(|l| l.ends = l.ends.min(now + MOVED));
                let addresses = self.agents.iter().map(|(address, ..)| *address).collect();
                let _ = self.notes.send(Notification::AgentsMoved(addresses));
                f64::INFINITY
            }
            CueAction::Link { scope, link_fault, duration_s } => {
                if let Some(relay) = &self.relay {
                    relay.begin(cue, scope.clone(), link_fault);
                }
                let on = self.touched(&scope);
                let severs = self.severed(&scope, link_fault);
                self.record(now, EmulatorEvent::LinkBegins { name: name.clone(), on, severs });
                duration_s
            }
            CueAction::Process { selector, process_fault, spread } => {
                let _ = self.notes.send(Notification::Process {
                    name: name.clone(),
                    selector,
                    process_fault,
                    spread,
                });
                spread
                    + match process_fault {
                        ProcessFault::Restart { back, .. } => back,
                        ProcessFault::Stop { duration_s } | ProcessFault::Slow { duration_s, .. } => {
                            duration_s
                        }
                        ProcessFault::SaveState => 0.0,
                    }
            }
        };
        self.record(now, EmulatorEvent::Cue { name, on });
        self.record_event(now, &ScenarioEvent::CueBegan { cue });
        if duration_s.is_finite() {
            self.ends.push((now + duration_s, cue));
        }
        Ok(())
    }

    /// From which router to which nothing gets through any more.
    fn severed(&self, at: &FaultScope, link_fault: LinkFault) -> Vec<(usize, usize)> {
        if !matches!(link_fault, LinkFault::Cut | LinkFault::Reset) {
            return Vec::new();
        }
        let all = 0..self.script.routers.count;
        let pairs = all.clone().flat_map(|a| all.clone().map(move |b| (a, b)));
        pairs.filter(|(a, b)| a != b && at.affects(&Endpoint::Router(*a), &Endpoint::Router(*b))).collect()
    }

    /// Which kinds of ends a strike on links touches, for whoever judges the run.
    fn touched(&self, at: &FaultScope) -> Vec<&'static str> {
        let routers = || (0..self.script.routers.count).map(Endpoint::Router);
        let hosts = (0..self.fleet.hosts()).map(|h| self.fleet.listing(h));
        let hosts: Vec<Endpoint> =
            hosts.map(|l| Endpoint::Host { name: l.name, group: l.group, zone: l.zone }).collect();
        let any = |of: &dyn Fn(usize) -> Vec<Endpoint>| {
            routers()
                .enumerate()
                .any(|(n, r)| of(n).iter().any(|end| r.talks_to(end) && at.affects_either_way(&r, end)))
        };
        let mut on = Vec::new();
        if any(&|_| vec![Endpoint::Clients]) {
            on.push("clients");
        }
        if any(&|_| hosts.clone()) {
            on.push("hosts");
        }
        if any(&|n| vec![Endpoint::Agent(n)]) {
            on.push("agents");
        }
        if any(&|_| routers().collect()) {
            on.push("routers");
        }
        on
    }

    fn utter(&mut self, outputs: Vec<Output>) -> io::Result<()> {
        // A host that has died since then got nothing out any more.
        let gone: BTreeSet<usize> = outputs
            .iter()
            .filter_map(|o| match o {
                Output::Down { host } | Output::Silent { host } => Some(*host),
                _ => None,
            })
            .collect();
        for output in outputs {
            if let Output::Answer { conn, .. } | Output::Greet { conn } = &output {
                if self.conns.get(&(*conn as usize)).is_some_and(|c| gone.contains(&c.host)) {
                    continue;
                }
            }
            match output {
                Output::Greet { conn } => {
                    self.put(conn as usize, pg::startup_response);
                }
                Output::TurnAway { conn, code } => {
                    self.put(conn as usize, |out| pg::error(out, true, code, "no more connections", None));
                    self.close_when_sent(conn as usize);
                }
                Output::Answer { conn, answer } => self.answer(conn as usize, &answer)?,
                Output::Close { conn } => self.drop_conn(conn as usize, false),
                Output::Down { host } => {
                    self.unlisten(host);
                    self.reset_all(host);
                }
                Output::Silent { host } => {
                    self.conns.values_mut().filter(|c| c.host == host).for_each(|c| c.mute = true);
                    let place = &mut self.hosts[host];
                    if let Some((_, listener)) = &place.listener {
                        place.fillers = sockets::fall_silent(listener, place.address);
                    }
                }
                Output::Refuse { host } => self.unlisten(host),
                Output::Up { host } => {
                    self.reset_all(host);
                    if let Some((_, listener)) = &self.hosts[host].listener {
                        sockets::speak_again(listener);
                        self.hosts[host].fillers.clear();
                        self.accept(host)?;
                        // What came up while nobody was there meets a process that knows nothing of it.
                        self.reset_all(host);
                    }
                    self.listen(host)?;
                }
                Output::Admit { host } => self.listen(host)?,
                Output::Born { host } => self.place_host(host)?,
                Output::List { host, .. } => {
                    let now = self.clock.now();
                    let delay = if now < self.delay_until { self.delay } else { self.script.discovery_delay };
                    let entry = self.entry(host);
                    self.board.change(now + delay, entry);
                }
            }
        }
        Ok(())
    }

    fn answer(&mut self, token: usize, answer: &Answer) -> io::Result<()> {
        let Some(c) = self.conns.get_mut(&token) else { return Ok(()) };
        let (host, workload) = (c.host, c.workload.take());
        let name = self.fleet.listing(host).name;
        let writes = |w: usize| self.script.plan.workloads[w].consistency == Consistency::Write;
        let denied;
        let answer = match answer {
            Answer::Row { primary, position, term, .. }
                if workload.is_some_and(writes) && self.denying.remove(&host) =>
            {
                denied = Answer::Error { code: "25006", primary: *primary, position: *position, term: *term };
                &denied
            }
            other => other,
        };
        let mut bytes = Vec::new();
        protocol::say(answer, &name, &mut bytes);
        let halves =
            workload.filter(|w| self.cue_scheduler.as_ref().is_some_and(|d| d.awaits_partial_answer(*w)));
        if let Some(workload) = halves {
            // The description and part of the row.
            let half = bytes.len() / 3;
            self.put(token, |out| out.extend_from_slice(&bytes[..half]));
            let now = self.clock.now();
            self.record_event(now, &ScenarioEvent::PartlyAnswered { workload });
            while let Some(cue) = self.cue_scheduler.as_mut().and_then(|d| d.take_due(now)) {
                self.carry_out(now, cue)?;
            }
            bytes.drain(..half);
            if !self.fleet.lives(host) || self.fleet.effects(host).paused {
                // The rest is not said by one that has gone; `settle` does what else follows.
                return Ok(());
            }
        }
        self.put(token, |out| out.append(&mut bytes));
        if let (Answer::Spoilt { .. }, Some(c)) = (answer, self.conns.get_mut(&token)) {
            c.mute = true;
        }
        Ok(())
    }

    fn put(&mut self, token: usize, write: impl FnOnce(&mut Vec<u8>)) {
        let Some(c) = self.conns.get_mut(&token).filter(|c| !c.mute) else { return };
        write(&mut c.out);
        self.flush(token);
    }

    fn close_when_sent(&mut self, token: usize) {
        if let Some(c) = self.conns.get_mut(&token) {
            c.close_when_sent = true;
        }
        self.flush(token);
    }

    fn flush(&mut self, token: usize) {
        let Some(c) = self.conns.get_mut(&token) else { return };
        match drain(&mut c.stream, &mut c.out, &mut c.sent) {
            Ok(true) if c.close_when_sent => self.drop_conn(token, false),
            Ok(_) => {}
            Err(_) => self.lose(token),
        }
    }

    /// The other side has gone.
    fn lose(&mut self, token: usize) {
        let now = self.clock.now();
        if let Some(c) = self.conns.get(&token).filter(|c| self.script.planted_defect && c.workload.is_some())
        {
            self.denying.insert(c.host);
        }
        self.fleet.input(now, token as u64, Input::Closed);
        self.drop_conn(token, false);
    }

    fn drop_conn(&mut self, token: usize, resets: bool) {
        self.places.remove(&token);
        if let Some(c) = self.conns.remove(&token) {
            if resets {
                sockets::reset(c.stream);
            }
        }
    }

    fn reset_all(&mut self, host: usize) {
        let of = |(token, c): (&usize, &Conn)| (c.host == host).then_some(*token);
        let tokens: Vec<usize> = self.conns.iter().filter_map(of).collect();
        tokens.into_iter().for_each(|token| self.drop_conn(token, true));
    }

    fn ready(&mut self, token: usize, writable: bool) -> io::Result<()> {
        match self.places.get(&token).copied() {
            Some(Place::Host(host)) if !self.fleet.effects(host).silent => self.accept(host)?,
            Some(Place::Agent(router)) => self.accept_line(router)?,
            Some(Place::Conn) => {
                if writable {
                    self.flush(token);
                }
                self.receive(token)?;
            }
            Some(Place::Line) => self.line(token, writable)?,
            _ => {}
        }
        Ok(())
    }

    fn accept(&mut self, host: usize) -> io::Result<()> {
        while let Some((_, listener)) = &self.hosts[host].listener {
            let mut stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                // One that left again before it was taken.
                Err(_) => continue,
            };
            let _ = stream.set_nodelay(true);
            let token = self.token(Place::Conn);
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(token), interest)?;
            let conn = Conn {
                stream,
                host,
                ear: pg::MessageReader::default(),
                out: Vec::new(),
                sent: 0,
                close_when_sent: false,
                mute: false,
                workload: None,
                part_told: false,
            };
            self.conns.insert(token, conn);
            self.max_connections = self.max_connections.max(self.conns.len());
        }
        Ok(())
    }

    fn receive(&mut self, token: usize) -> io::Result<()> {
        let mut bytes = [0; 4096];
        loop {
            let pieces = self.cue_scheduler.as_ref().is_some_and(CueScheduler::awaits_partial_statement);
            let Some(c) = self.conns.get_mut(&token).filter(|c| !c.mute) else { return Ok(()) };
            let piece = if pieces { PIECE } else { bytes.len() };
            match c.stream.read(&mut bytes[..piece]) {
                Ok(0) => {
                    self.lose(token);
                    return self.settle();
                }
                Ok(n) => c.ear.receive(&bytes[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.lose(token);
                    return self.settle();
                }
            }
            while let Some(c) = self.conns.get_mut(&token) {
                match c.ear.message() {
                    Ok(Some(heard)) => self.heard(token, heard)?,
                    Ok(None) => break,
                    Err(_) => {
                        self.put(token, |out| {
                            pg::error(out, true, "08P01", "no frame of the protocol", None)
                        });
                        self.close_when_sent(token);
                        self.lose(token);
                        return self.settle();
                    }
                }
            }
            self.part(token)?;
        }
    }

    /// A statement has come in part: cues may wait for just that.
    fn part(&mut self, token: usize) -> io::Result<()> {
        let Some(c) = self.conns.get_mut(&token).filter(|c| !c.part_told) else { return Ok(()) };
        if c.ear.buffered_bytes() == 0
            || !self.cue_scheduler.as_ref().is_some_and(CueScheduler::awaits_partial_statement)
        {
            return Ok(());
        }
        let Some(workload) = protocol::workload_of_part(c.ear.incomplete_message(), &self.workloads) else {
            return Ok(());
        };
        c.part_told = true;
        let (now, host) = (self.clock.now(), c.host);
        let (host, name) = (self.fleet.listing(host).name, self.workloads[workload].clone());
        self.record(now, EmulatorEvent::Part { host, workload: name });
        self.record_event(now, &ScenarioEvent::PartlyReceived { workload });
        self.settle()
    }

    fn heard(&mut self, token: usize, heard: pg::ClientMessage) -> io::Result<()> {
        let now = self.clock.now();
        let Some(c) = self.conns.get_mut(&token) else { return Ok(()) };
        let host = c.host;
        c.part_told = false;
        match heard {
            pg::ClientMessage::Begin => self.fleet.input(now, token as u64, Input::Connect { host }),
            pg::ClientMessage::Encrypt => self.put(token, |out| out.push(b'N')),
            pg::ClientMessage::Cancel | pg::ClientMessage::Terminate => self.lose(token),
            pg::ClientMessage::Other(_) => {
                self.put(token, |out| pg::error(out, true, "0A000", "simple queries only", None));
                self.close_when_sent(token);
                self.lose(token);
            }
            pg::ClientMessage::Query(text) => match protocol::read(&text, &self.workloads) {
                Query::Statement(ask) => {
                    c.workload = Some(ask.workload);
                    self.fleet.input(now, token as u64, Input::Statement(ask));
                }
                Query::Report if self.script.allowed.probes => {
                    self.fleet.input(now, token as u64, Input::Report);
                }
                // The rest is answered by the connection's process alone; one that stands still says nothing.
                other => self.aside(token, host, other),
            },
        }
        self.settle()
    }

    fn aside(&mut self, token: usize, host: usize, query: Query) {
        let effects = self.fleet.effects(host);
        if effects.paused || effects.hung || !effects.lives() {
            return;
        }
        self.put(token, |out| match query {
            Query::Empty => pg::empty_query(out),
            Query::One => {
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

    /// News go onto the board and to all watches; quiet watches get their empty line.
    fn tell(&mut self, now: f64) -> io::Result<()> {
        let mut news = false;
        while self.board.come(now).is_some() {
            news = true;
        }
        if news {
            self.publish();
        }
        let watches: Vec<usize> =
            self.lines.iter().filter(|(_, l)| l.told.is_some()).map(|(token, _)| *token).collect();
        for token in watches {
            self.bring(now, token)?;
        }
        let over: Vec<usize> = self.lines.iter().filter(|(_, l)| l.ends <= now).map(|(t, _)| *t).collect();
        over.into_iter().for_each(|token| self.drop_line(token));
        Ok(())
    }

    fn drop_line(&mut self, token: usize) {
        self.places.remove(&token);
        self.lines.remove(&token);
    }

    /// What one watch has yet to hear.
    fn bring(&mut self, now: f64, token: usize) -> io::Result<()> {
        let Some(line) = self.lines.get_mut(&token) else { return Ok(()) };
        let Some(told) = line.told else { return Ok(()) };
        let router = line.router;
        let news = self.board.since(told, &|e| self.seen_from(router, e));
        let Some(line) = self.lines.get_mut(&token) else { return Ok(()) };
        match news {
            Some((text, changed)) => {
                line.out.extend_from_slice(&agent::chunk(&text));
                line.told = Some(self.board.index());
                line.next_line = now + LINE;
                self.flush_line(token);
                self.told(now, router, &changed);
                return self.settle();
            }
            None if line.next_line <= now => {
                line.out.extend_from_slice(&agent::chunk(""));
                line.next_line = now + LINE;
                self.flush_line(token);
            }
            None => {}
        }
        Ok(())
    }

    fn told(&mut self, now: f64, router: usize, entries: &[Entry]) {
        for entry in entries {
            let (host, readiness, primary) = (entry.name.clone(), entry.readiness, entry.primary);
            self.record(now, EmulatorEvent::Told { router, host, readiness, primary });
            let owed = self.owed.get(&entry.name).copied().filter(|_| entry.readiness == Readiness::Leaving);
            if let Some(cue) = owed {
                self.record_event(now, &ScenarioEvent::CueAnnounced { cue });
            }
        }
    }

    fn flush_line(&mut self, token: usize) {
        let Some(line) = self.lines.get_mut(&token) else { return };
        match drain(&mut line.stream, &mut line.out, &mut line.sent) {
            Ok(true) if line.close_when_sent => self.drop_line(token),
            Ok(_) => {}
            Err(_) => self.drop_line(token),
        }
    }

    fn accept_line(&mut self, router: usize) -> io::Result<()> {
        while let Ok((mut stream, _)) = self.agents[router].2.accept() {
            let token = self.token(Place::Line);
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(token), interest)?;
            let line = Line {
                stream,
                router,
                buf: Vec::new(),
                out: Vec::new(),
                sent: 0,
                close_when_sent: false,
                told: None,
                next_line: f64::INFINITY,
                ends: f64::INFINITY,
            };
            self.lines.insert(token, line);
        }
        Ok(())
    }

    fn line(&mut self, token: usize, writable: bool) -> io::Result<()> {
        if writable {
            self.flush_line(token);
        }
        let mut bytes = [0; 1024];
        loop {
            let Some(line) = self.lines.get_mut(&token) else { return Ok(()) };
            match line.stream.read(&mut bytes) {
                Ok(0) => {
                    self.drop_line(token);
                    return Ok(());
                }
                Ok(n) => line.buf.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.drop_line(token);
                    return Ok(());
                }
            }
        }
        self.wished(token)
    }

    fn wished(&mut self, token: usize) -> io::Result<()> {
        let now = self.clock.now();
        let Some(line) = self.lines.get_mut(&token) else { return Ok(()) };
        let (wish, length) = match agent::wish(&line.buf) {
            Ok(None) => return Ok(()),
            Ok(Some(found)) => found,
            Err(_) => (Wish::Nothing, line.buf.len()),
        };
        line.buf.drain(..length);
        let router = line.router;
        if wish != Wish::Nothing {
            self.record(now, EmulatorEvent::ListAsked { router });
        }
        let whole = (wish == Wish::Whole).then(|| self.board.whole(&|e| self.seen_from(router, e)));
        let Some(line) = self.lines.get_mut(&token) else { return Ok(()) };
        match wish {
            Wish::Whole => {
                line.out.extend_from_slice(&agent::answer(&whole.unwrap_or_default()));
                line.close_when_sent = true;
                let all = self.board.all();
                self.flush_line(token);
                self.told(now, router, &all);
                self.settle()
            }
            Wish::Watch(since) => {
                line.out.extend_from_slice(agent::WATCH);
                line.told = Some(since);
                line.next_line = now + LINE;
                let news = self.board.since(since, &|e| self.seen_from(router, e)).is_some();
                if now >= self.silent_until && !news {
                    // The first object says so where nothing has changed.
                    let nothing = agent::chunk(&self.board.nothing());
                    self.lines.get_mut(&token).into_iter().for_each(|l| l.out.extend_from_slice(&nothing));
                }
                self.flush_line(token);
                // Silent from the start: the head goes out, the news when it speaks again.
                if now >= self.silent_until {
                    self.bring(now, token)
                } else {
                    Ok(())
                }
            }
            Wish::Nothing => {
                line.out.extend_from_slice(agent::NOT_FOUND);
                line.close_when_sent = true;
                self.flush_line(token);
                Ok(())
            }
        }
    }
}

/// Writes what the platform takes; `true` once all is out.
fn drain(stream: &mut TcpStream, out: &mut Vec<u8>, sent: &mut usize) -> io::Result<bool> {
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

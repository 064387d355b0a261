//! Plays a plan: starts the stand-ins and the routers, applies the events, and hands over what was seen.
use crate::acceptor::Acceptor;
use crate::agent::Agent;
use crate::client::{Client, Endpoint};
use crate::host::{ExecutedStatements, Host};
use crate::judge::{judge, Finding};
use crate::plan::{Event, Plan, HOST_PORT, KILL_AFTER};
use crate::process::{Programs, Router};
use crate::record::{Effect, End, Happened, Observations, Recorder, Request};
use nix::sys::signal::Signal;
use sandstile_pgwire as pg;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// New connections still come for so long after SIGTERM.
const CONNECTS_ON: Duration = Duration::from_millis(300);
/// A started router is ready within this, or counts as crashed.
const READY_WITHIN: Duration = Duration::from_secs(10);
const LOOK: Duration = Duration::from_millis(5);
/// Within this, stand-ins let go of their addresses.
const LET_GO: Duration = Duration::from_millis(100);
/// A router with a tenth of a core runs for a tenth of this and stands for the rest.
const PROCESSOR_TURN: Duration = Duration::from_millis(20);
/// An idle crowd stays for so long.
const CROWD_STAYS: Duration = Duration::from_secs(3);

/// What a run came to.
#[derive(Debug)]
pub struct Outcome {
    pub observations: Observations,
    pub findings: Vec<Finding>,
}

impl Outcome {
    /// What happened to processes and hosts, and each request that was not served, in the order of their times.
    pub fn timeline(&self) -> String {
        let happened = self.observations.happened.iter().map(|(at, what)| (*at, format!("{what:?}")));
        let unserved = |r: &&Request| !matches!(r.end, End::Answered { code: None, .. });
        let requests =
            self.observations.requests.iter().filter(unserved).map(|r| (r.written_at, format!("{r:?}")));
        let mut lines: Vec<(f64, String)> = happened.chain(requests).collect();
        lines.sort_by(|one, other| one.0.total_cmp(&other.0));
        lines.iter().map(|(at, line)| format!("{at:.3} {line}\n")).collect()
    }

    /// One line of counts.
    pub fn summary(&self) -> String {
        let count = |is: fn(&End) -> bool| self.observations.requests.iter().filter(|r| is(&r.end)).count();
        let served = count(|e| matches!(e, End::Answered { code: None, .. }));
        let refused = count(|e| matches!(e, End::Answered { code: Some(_), .. }));
        let crossed = count(|e| matches!(e, End::Closed { .. }));
        let writes = self.observations.requests.iter().filter(|r| r.effect != Effect::Idempotent).count();
        let lives =
            self.observations.happened.iter().filter(|(_, w)| matches!(w, Happened::Started { .. })).count();
        format!(
            "{} requests ({writes} writes), {served} served, {refused} refused or failed, {crossed} closed, {} executions, {lives} lives, {} broken",
            self.observations.requests.len(),
            self.observations.arrivals.len(),
            self.findings.len(),
        )
    }
}

/// Runs that can go on side by side.
const BLOCKS: u16 = 30 * 256;

/// Kinds of addresses.
const HOSTS: u8 = 0;
const AGENT: u8 = 1;
const ROUTERS: u8 = 2;

/// Runs of large fleets that can go on side by side, and the addresses of hosts that each has.
const LARGE_BLOCKS: usize = 512;
const LARGE_BLOCK: usize = 8_192;
/// Hosts that one run's own block of addresses has room for.
const BLOCK_HOSTS: usize = 250;

/// Addresses of this run alone, on loopback.
fn address(block: u16, kind: u8, number: usize) -> SocketAddr {
    let last = 1 + u8::try_from(number).unwrap_or(u8::MAX - 1);
    let [high, low] = (block % BLOCKS).to_be_bytes();
    let port = if kind == HOSTS { HOST_PORT } else { 6432 };
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 64 + high * 4 + kind, low, last)), port)
}

/// The address of a host: those of a large fleet lie in a range of their own.
fn host_address(block: u16, hosts: usize, number: usize) -> SocketAddr {
    if hosts <= BLOCK_HOSTS {
        return address(block, HOSTS, number);
    }
    let offset = (usize::from(block) % LARGE_BLOCKS) * LARGE_BLOCK + number;
    let [_, high, middle, low] = (offset as u32).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 188 + high, middle, low)), HOST_PORT)
}

/// A router slot: its present process, if any.
struct Slot {
    router: Mutex<Option<Router>>,
}

struct Fleet {
    plan: Plan,
    programs: Programs,
    recorder: Recorder,
    hosts: Vec<Host>,
    agent: Agent,
    agent_at: SocketAddr,
    endpoints: Arc<Vec<Endpoint>>,
    slots: Vec<Slot>,
    /// Clients of rushes so far, which numbers the next.
    rushed: AtomicUsize,
}

/// Plays a plan; `block` keeps the addresses of runs side by side apart.
pub fn play(plan: &Plan, programs: &Programs, block: u16) -> io::Result<Outcome> {
    let fleet = Arc::new(Fleet::set(plan, programs, block)?);
    let over = Arc::new(AtomicBool::new(false));
    if !plan.at_once {
        (0..plan.routers).try_for_each(|number| fleet.start(number, 0))?;
    }
    let recorder = fleet.recorder.clone();
    thread::spawn(move || recorder.watch_stalls());
    let clients = fleet.clients(&over);
    if plan.at_once {
        let starting: Vec<_> = (0..plan.routers)
            .map(|number| {
                let fleet = fleet.clone();
                thread::spawn(move || fleet.start(number, 0))
            })
            .collect();
        for start in starting {
            start.join().expect("a start")?;
        }
    }
    let restarts = fleet.apply_events();
    over.store(true, SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    restarts.into_iter().for_each(|restart| restart.join().expect("a restart"));
    (0..plan.routers).for_each(|number| fleet.end(number));
    fleet.recorder.end();
    thread::sleep(LET_GO);
    let observations = fleet.recorder.take();
    let findings = judge(plan, &observations);
    Ok(Outcome { observations, findings })
}

impl Fleet {
    fn set(plan: &Plan, programs: &Programs, block: u16) -> io::Result<Fleet> {
        let recorder = Recorder::begin();
        let repeats = ExecutedStatements::default();
        let host = |n| {
            let at = host_address(block, plan.hosts, n);
            Host::new(n, at, plan, repeats.clone(), recorder.clone())
        };
        let hosts: Vec<Host> = (0..plan.hosts).map(host).collect();
        let watched = recorder.clone();
        Acceptor::start(hosts.clone(), move || watched.is_over())?;
        let addresses: Vec<SocketAddr> = hosts.iter().map(Host::address).collect();
        let agent_at = address(block, AGENT, 0);
        let agent = Agent::start(agent_at, &addresses, plan.groups, recorder.clone())?;
        let endpoint = |n| Endpoint {
            address: address(block, ROUTERS, n),
            open: AtomicBool::new(false),
            generation: AtomicUsize::new(0),
        };
        let endpoints = Arc::new((0..plan.routers).map(endpoint).collect());
        let slots = (0..plan.routers).map(|_| Slot { router: Mutex::new(None) }).collect();
        let (plan, programs) = (plan.clone(), programs.clone());
        Ok(Fleet {
            plan,
            programs,
            recorder,
            hosts,
            agent,
            agent_at,
            endpoints,
            slots,
            rushed: AtomicUsize::new(0),
        })
    }

    fn clients(&self, over: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
        let client = |number| Client {
            number,
            seed: self.plan.seed,
            pieces: self.plan.pieces && number % 2 == 0,
            stays: self.plan.lasting,
            router: None,
            groups: self.plan.groups,
            asks_each: self.plan.asks_each,
            pause_ms: self.plan.pause_ms,
            endpoints: self.endpoints.clone(),
            over: over.clone(),
            recorder: self.recorder.clone(),
        };
        (0..self.plan.clients).map(client).map(|client| thread::spawn(move || client.run())).collect()
    }

    /// Clients that ask one statement a connection, until their time is over.
    fn rush(self: &Arc<Self>, router: usize, clients: u64, ms: u64) -> JoinHandle<()> {
        let fleet = self.clone();
        let first = self.plan.clients + self.rushed.fetch_add(clients as usize, SeqCst);
        thread::spawn(move || {
            let over = Arc::new(AtomicBool::new(false));
            let client = |number| Client {
                number,
                seed: fleet.plan.seed,
                pieces: false,
                stays: false,
                router: Some(router),
                groups: fleet.plan.groups,
                asks_each: Some(1),
                pause_ms: fleet.plan.pause_ms,
                endpoints: fleet.endpoints.clone(),
                over: over.clone(),
                recorder: fleet.recorder.clone(),
            };
            let numbers = first..first + clients as usize;
            let rushing: Vec<_> =
                numbers.map(client).map(|client| thread::spawn(move || client.run())).collect();
            thread::sleep(Duration::from_millis(ms));
            over.store(true, SeqCst);
            rushing.into_iter().for_each(|client| client.join().expect("a client"));
        })
    }

    /// The next member of the group takes over.
    fn new_primary(&self, group: usize) {
        let members: Vec<&Host> = self.hosts.iter().skip(group).step_by(self.plan.groups).collect();
        let old = members.iter().position(|host| host.is_primary()).unwrap_or(0);
        members[old].becomes(false);
        members[(old + 1) % members.len()].becomes(true);
    }

    /// A change of one host of the list after the other.
    fn list_changes(self: &Arc<Self>, count: u64, pause_ms: u64) -> JoinHandle<()> {
        let fleet = self.clone();
        thread::spawn(move || {
            for n in 0..count as usize {
                fleet.agent.change_zone((n * 7) % fleet.plan.hosts);
                thread::sleep(Duration::from_millis(pause_ms));
            }
        })
    }

    /// Runs a router a tenth of the time.
    fn little_processor(self: &Arc<Self>, router: usize, ms: u64) -> JoinHandle<()> {
        let fleet = self.clone();
        thread::spawn(move || {
            let until = Instant::now() + Duration::from_millis(ms);
            while Instant::now() < until {
                fleet.signal(router, Signal::SIGSTOP);
                thread::sleep(PROCESSOR_TURN * 9 / 10);
                fleet.signal(router, Signal::SIGCONT);
                thread::sleep(PROCESSOR_TURN / 10);
            }
        })
    }

    /// Starts a life and waits until it answers an empty query, as the front does.
    fn start(&self, number: usize, life: usize) -> io::Result<()> {
        let endpoint = &self.endpoints[number];
        let at = (endpoint.address, self.agent_at);
        let known = self.agent.known();
        let router = Router::start(&self.plan, &self.programs, number, life, at, &known, &self.recorder)?;
        *self.slots[number].router.lock().expect("a slot") = Some(router);
        let give_up_at = Instant::now() + READY_WITHIN;
        while !answers(endpoint.address) {
            let ended =
                self.slots[number].router.lock().expect("a slot").as_mut().is_some_and(Router::has_ended);
            if ended || Instant::now() >= give_up_at {
                let code = None;
                self.recorder.happened(Happened::Ended { router: number, life, code });
                return Ok(());
            }
            thread::sleep(LOOK);
        }
        endpoint.generation.store(life, SeqCst);
        endpoint.open.store(true, SeqCst);
        Ok(())
    }

    /// Applies each event at its time; yields what still goes on behind the last.
    fn apply_events(self: &Arc<Self>) -> Vec<JoinHandle<()>> {
        let began = Instant::now();
        let mut going_on = Vec::new();
        for (at, event) in &self.plan.events {
            thread::sleep(at.saturating_sub(began.elapsed()));
            self.recorder.happened(Happened::Applied(*event));
            going_on.extend(self.apply(*event));
        }
        thread::sleep(self.plan.length.saturating_sub(began.elapsed()));
        going_on
    }

    fn apply(self: &Arc<Self>, event: Event) -> Option<JoinHandle<()>> {
        match event {
            Event::Hang { host, ms } => self.hosts[host].hang(ms),
            Event::Down { host, ms } => self.hosts[host].go_down(ms),
            Event::Reset { host, ms } => self.hosts[host].reset(ms),
            Event::TurnAway { host, ms } => self.hosts[host].turn_away(ms),
            Event::Drain { host } => self.agent.drain(host),
            Event::AgentSilent { ms } => self.agent.fall_silent(ms),
            Event::AgentReset => self.agent.reset_watches(),
            Event::Replace { host, ms } => {
                self.hosts[host].go_down(ms);
                let fleet = self.clone();
                return Some(thread::spawn(move || {
                    thread::sleep(Duration::from_millis(ms));
                    fleet.agent.restarted(host);
                }));
            }
            Event::Restart { router } => {
                let fleet = self.clone();
                return Some(thread::spawn(move || fleet.restart(router)));
            }
            Event::Kill { router } => {
                let fleet = self.clone();
                return Some(thread::spawn(move || fleet.kill(router)));
            }
            Event::HoldUp { router, ms } => {
                self.signal(router, Signal::SIGSTOP);
                thread::sleep(Duration::from_millis(ms));
                self.signal(router, Signal::SIGCONT);
            }
            Event::Signals { router, count } => {
                for n in 0..count {
                    self.signal(router, if n % 2 == 0 { Signal::SIGHUP } else { Signal::SIGUSR1 });
                    thread::sleep(Duration::from_millis(3));
                }
            }
            Event::Crowd { router, clients } => self.crowd(router, clients),
            Event::NewPrimary { group } => self.new_primary(group),
            Event::WholeList => self.agent.tell_whole(),
            Event::Rush { router, clients, ms } => return Some(self.rush(router, clients, ms)),
            Event::ListChanges { count, pause_ms } => return Some(self.list_changes(count, pause_ms)),
            Event::LittleProcessor { router, ms } => return Some(self.little_processor(router, ms)),
        }
        None
    }

    fn signal(&self, number: usize, signal: Signal) {
        if let Some(router) = &*self.slots[number].router.lock().expect("a slot") {
            router.signal(signal);
        }
    }

    fn crowd(&self, router: usize, clients: u64) {
        let at = self.endpoints[router].address;
        thread::spawn(move || {
            let connect = |_| TcpStream::connect_timeout(&at, Duration::from_millis(200)).ok();
            let crowd: Vec<TcpStream> = (0..clients).filter_map(connect).collect();
            thread::sleep(CROWD_STAYS);
            drop(crowd);
        });
    }

    /// Takes the process out of its slot, unless somebody else restarts it just now.
    fn take(&self, number: usize) -> Option<Router> {
        if !self.endpoints[number].open.load(SeqCst) {
            return None;
        }
        self.slots[number].router.lock().expect("a slot").take()
    }

    fn restart(&self, number: usize) {
        let Some(mut router) = self.take(number) else { return };
        let life = router.generation;
        self.finish(number, &mut router);
        drop(router);
        self.start(number, life + 1).expect("a process that starts");
    }

    /// SIGTERM, and SIGKILL at the earliest time if it is still there.
    fn finish(&self, number: usize, router: &mut Router) {
        router.measure();
        let told_at = Instant::now();
        router.terminate();
        thread::sleep(CONNECTS_ON);
        self.endpoints[number].open.store(false, SeqCst);
        loop {
            if router.has_ended() {
                break;
            }
            if told_at.elapsed() >= KILL_AFTER {
                router.kill();
                break;
            }
            thread::sleep(LOOK);
        }
        router.examine();
    }

    fn kill(&self, number: usize) {
        let Some(mut router) = self.take(number) else { return };
        self.endpoints[number].open.store(false, SeqCst);
        let life = router.generation;
        router.kill();
        router.examine();
        drop(router);
        self.start(number, life + 1).expect("a process that starts");
    }

    /// At the end of the run: all that was taken has been answered by now.
    fn end(&self, number: usize) {
        let router = self.slots[number].router.lock().expect("a slot").take();
        if let Some(mut router) = router {
            if !router.has_ended() {
                self.finish(number, &mut router);
            }
        }
    }
}

/// Whether a router answers an empty query.
fn answers(at: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&at, Duration::from_millis(200)) else { return false };
    let mut bytes = pg::startup_message();
    pg::query(&mut bytes, b"");
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    if stream.write_all(&bytes).is_err() {
        return false;
    }
    let (mut got, mut piece) = (Vec::new(), [0; 512]);
    while !got.windows(5).any(|w| w == b"I\0\0\0\x04") {
        match stream.read(&mut piece) {
            Ok(n) if n > 0 => got.extend_from_slice(&piece[..n]),
            _ => return false,
        }
    }
    true
}

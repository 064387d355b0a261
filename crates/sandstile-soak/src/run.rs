//! Runs a plan: starts the stand-ins and the routers, applies the events, and returns what was observed.
use crate::acceptor::Acceptor;
use crate::agent::Agent;
use crate::client::{Client, Endpoint};
use crate::host::{ExecutedStatements, Host};
use crate::judge::{judge, Finding};
use crate::plan::{Event, Plan, HOST_PORT, KILL_AFTER};
use crate::process::{Programs, Router};
use crate::record::{Effect, End, Observations, Recorder, Request, RunEvent};
use nix::sys::signal::Signal;
use sandstile_pgwire as pg;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long clients still open new connections after SIGTERM.
const NEW_CONNECTIONS_AFTER_TERM: Duration = Duration::from_millis(300);
/// A router that is not ready within this time after its start counts as crashed.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// How often the state of a process is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The time for the stand-ins to release their addresses.
const RELEASE_TIME: Duration = Duration::from_millis(100);
/// A router limited to a tenth of a core runs for a tenth of this period and is stopped for the rest.
const CPU_PERIOD: Duration = Duration::from_millis(20);
/// How long the idle clients of `Event::Crowd` stay connected.
const CROWD_DURATION: Duration = Duration::from_secs(3);

/// The result of a run.
#[derive(Debug)]
pub struct Outcome {
    pub observations: Observations,
    pub findings: Vec<Finding>,
}

impl Outcome {
    /// Events of processes and hosts, and each request that was not served, sorted by time.
    pub fn timeline(&self) -> String {
        let events = self.observations.events.iter().map(|(at, event)| (*at, format!("{event:?}")));
        let unserved = |r: &&Request| !matches!(r.end, End::Answered { code: None, .. });
        let requests =
            self.observations.requests.iter().filter(unserved).map(|r| (r.written_at, format!("{r:?}")));
        let mut lines: Vec<(f64, String)> = events.chain(requests).collect();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        lines.iter().map(|(at, line)| format!("{at:.3} {line}\n")).collect()
    }

    /// One line of counts.
    pub fn summary(&self) -> String {
        let count =
            |matches: fn(&End) -> bool| self.observations.requests.iter().filter(|r| matches(&r.end)).count();
        let served = count(|e| matches!(e, End::Answered { code: None, .. }));
        let refused = count(|e| matches!(e, End::Answered { code: Some(_), .. }));
        let closed = count(|e| matches!(e, End::Closed { .. }));
        let writes = self.observations.requests.iter().filter(|r| r.effect != Effect::Idempotent).count();
        let starts =
            self.observations.events.iter().filter(|(_, e)| matches!(e, RunEvent::Started { .. })).count();
        format!(
            "{} requests ({writes} writes), {served} served, {refused} refused or failed, {closed} closed, {} executions, {starts} starts of routers, {} broken rules",
            self.observations.requests.len(),
            self.observations.arrivals.len(),
            self.findings.len(),
        )
    }
}

/// How many runs can use separate blocks of addresses at the same time.
const BLOCKS: u16 = 30 * 256;

/// Kinds of addresses; each kind has its own value of the second byte.
const HOSTS: u8 = 0;
const AGENT: u8 = 1;
const ROUTERS: u8 = 2;

/// How many runs of large fleets can go on at the same time, and how many host addresses each has.
const LARGE_BLOCKS: usize = 512;
const LARGE_BLOCK_HOSTS: usize = 8_192;
/// The highest number of hosts that fit into the block of addresses of one run.
const MAX_BLOCK_HOSTS: usize = 250;

/// A loopback address that no other run uses.
fn address(block: u16, kind: u8, number: usize) -> SocketAddr {
    let last = 1 + u8::try_from(number).unwrap_or(u8::MAX - 1);
    let [high, low] = (block % BLOCKS).to_be_bytes();
    let port = if kind == HOSTS { HOST_PORT } else { 6432 };
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 64 + high * 4 + kind, low, last)), port)
}

/// The address of a host. Large fleets have a separate range of addresses.
fn host_address(block: u16, hosts: usize, number: usize) -> SocketAddr {
    if hosts <= MAX_BLOCK_HOSTS {
        return address(block, HOSTS, number);
    }
    let offset = (usize::from(block) % LARGE_BLOCKS) * LARGE_BLOCK_HOSTS + number;
    let [_, high, middle, low] = (offset as u32).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 188 + high, middle, low)), HOST_PORT)
}

/// The current process of a router, if any.
struct Slot {
    router: Mutex<Option<Router>>,
}

struct Fleet {
    plan: Plan,
    programs: Programs,
    recorder: Recorder,
    hosts: Vec<Host>,
    agent: Agent,
    agent_address: SocketAddr,
    endpoints: Arc<Vec<Endpoint>>,
    slots: Vec<Slot>,
    /// Clients of rushes so far; numbers the clients of the next rush.
    rush_clients: AtomicUsize,
}

/// Runs a plan. Runs at the same time need different values of `block`, which selects their addresses.
pub fn play(plan: &Plan, programs: &Programs, block: u16) -> io::Result<Outcome> {
    let fleet = Arc::new(Fleet::set_up(plan, programs, block)?);
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
            start.join().expect("the starting thread does not panic")?;
        }
    }
    let restarts = fleet.apply_events();
    over.store(true, SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client does not panic"));
    restarts.into_iter().for_each(|restart| restart.join().expect("a restart does not panic"));
    (0..plan.routers).for_each(|number| fleet.end(number));
    fleet.recorder.end();
    thread::sleep(RELEASE_TIME);
    let observations = fleet.recorder.take();
    let findings = judge(plan, &observations);
    Ok(Outcome { observations, findings })
}

impl Fleet {
    fn set_up(plan: &Plan, programs: &Programs, block: u16) -> io::Result<Fleet> {
        let recorder = Recorder::begin();
        let executed = ExecutedStatements::default();
        let host = |n| {
            let address = host_address(block, plan.hosts, n);
            Host::new(n, address, plan, executed.clone(), recorder.clone())
        };
        let hosts: Vec<Host> = (0..plan.hosts).map(host).collect();
        let watched = recorder.clone();
        Acceptor::start(hosts.clone(), move || watched.is_over())?;
        let addresses: Vec<SocketAddr> = hosts.iter().map(Host::address).collect();
        let agent_address = address(block, AGENT, 0);
        let agent = Agent::start(agent_address, &addresses, plan.groups, recorder.clone())?;
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
            agent_address,
            endpoints,
            slots,
            rush_clients: AtomicUsize::new(0),
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
            statements_per_connection: self.plan.asks_each,
            pause_ms: self.plan.pause_ms,
            endpoints: self.endpoints.clone(),
            over: over.clone(),
            recorder: self.recorder.clone(),
        };
        (0..self.plan.clients).map(client).map(|client| thread::spawn(move || client.run())).collect()
    }

    /// Starts clients that send one statement per connection, for this time.
    fn rush(self: &Arc<Self>, router: usize, clients: u64, ms: u64) -> JoinHandle<()> {
        let fleet = self.clone();
        let first = self.plan.clients + self.rush_clients.fetch_add(clients as usize, SeqCst);
        thread::spawn(move || {
            let over = Arc::new(AtomicBool::new(false));
            let client = |number| Client {
                number,
                seed: fleet.plan.seed,
                pieces: false,
                stays: false,
                router: Some(router),
                groups: fleet.plan.groups,
                statements_per_connection: Some(1),
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
            rushing.into_iter().for_each(|client| client.join().expect("a client does not panic"));
        })
    }

    /// Makes the next member of the group its primary.
    fn new_primary(&self, group: usize) {
        let members: Vec<&Host> = self.hosts.iter().skip(group).step_by(self.plan.groups).collect();
        let old = members.iter().position(|host| host.is_primary()).unwrap_or(0);
        members[old].set_primary(false);
        members[(old + 1) % members.len()].set_primary(true);
    }

    /// Changes the list one host at a time.
    fn list_changes(self: &Arc<Self>, count: u64, pause_ms: u64) -> JoinHandle<()> {
        let fleet = self.clone();
        thread::spawn(move || {
            for n in 0..count as usize {
                fleet.agent.change_zone((n * 7) % fleet.plan.hosts);
                thread::sleep(Duration::from_millis(pause_ms));
            }
        })
    }

    /// Limits a router to a tenth of the CPU time.
    fn limit_cpu(self: &Arc<Self>, router: usize, ms: u64) -> JoinHandle<()> {
        let fleet = self.clone();
        thread::spawn(move || {
            let until = Instant::now() + Duration::from_millis(ms);
            while Instant::now() < until {
                fleet.signal(router, Signal::SIGSTOP);
                thread::sleep(CPU_PERIOD * 9 / 10);
                fleet.signal(router, Signal::SIGCONT);
                thread::sleep(CPU_PERIOD / 10);
            }
        })
    }

    /// Starts a generation of a router and waits until it answers an empty query, as the load balancer in front does.
    fn start(&self, number: usize, generation: usize) -> io::Result<()> {
        let endpoint = &self.endpoints[number];
        let addresses = (endpoint.address, self.agent_address);
        let known = self.agent.known();
        let router =
            Router::start(&self.plan, &self.programs, number, generation, addresses, &known, &self.recorder)?;
        *self.slots[number].router.lock().expect("no thread panics under the lock") = Some(router);
        let deadline = Instant::now() + READY_TIMEOUT;
        while !is_ready(endpoint.address) {
            let ended = self.slots[number]
                .router
                .lock()
                .expect("no thread panics under the lock")
                .as_mut()
                .is_some_and(Router::has_ended);
            if ended || Instant::now() >= deadline {
                let code = None;
                self.recorder.record_event(RunEvent::Ended { router: number, life: generation, code });
                return Ok(());
            }
            thread::sleep(POLL_INTERVAL);
        }
        endpoint.generation.store(generation, SeqCst);
        endpoint.open.store(true, SeqCst);
        Ok(())
    }

    /// Applies each event at its time; returns the threads that are still running after the last.
    fn apply_events(self: &Arc<Self>) -> Vec<JoinHandle<()>> {
        let began = Instant::now();
        let mut unfinished = Vec::new();
        for (at, event) in &self.plan.events {
            thread::sleep(at.saturating_sub(began.elapsed()));
            self.recorder.record_event(RunEvent::Applied(*event));
            unfinished.extend(self.apply(*event));
        }
        thread::sleep(self.plan.length.saturating_sub(began.elapsed()));
        unfinished
    }

    fn apply(self: &Arc<Self>, event: Event) -> Option<JoinHandle<()>> {
        match event {
            Event::Hang { host, ms } => self.hosts[host].hang(ms),
            Event::Down { host, ms } => self.hosts[host].go_down(ms),
            Event::Reset { host, ms } => self.hosts[host].reset(ms),
            Event::TurnAway { host, ms } => self.hosts[host].reject_statements(ms),
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
            Event::WholeList => self.agent.send_whole_list(),
            Event::Rush { router, clients, ms } => return Some(self.rush(router, clients, ms)),
            Event::ListChanges { count, pause_ms } => return Some(self.list_changes(count, pause_ms)),
            Event::LittleProcessor { router, ms } => return Some(self.limit_cpu(router, ms)),
        }
        None
    }

    fn signal(&self, number: usize, signal: Signal) {
        if let Some(router) = &*self.slots[number].router.lock().expect("no thread panics under the lock") {
            router.signal(signal);
        }
    }

    fn crowd(&self, router: usize, clients: u64) {
        let address = self.endpoints[router].address;
        thread::spawn(move || {
            let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
            let crowd: Vec<TcpStream> = (0..clients).filter_map(connect).collect();
            thread::sleep(CROWD_DURATION);
            drop(crowd);
        });
    }

    /// Takes the process out of its slot, unless it is being restarted.
    fn take(&self, number: usize) -> Option<Router> {
        if !self.endpoints[number].open.load(SeqCst) {
            return None;
        }
        self.slots[number].router.lock().expect("no thread panics under the lock").take()
    }

    fn restart(&self, number: usize) {
        let Some(mut router) = self.take(number) else { return };
        let generation = router.generation;
        self.finish(number, &mut router);
        drop(router);
        self.start(number, generation + 1).expect("the router can be started");
    }

    /// Sends SIGTERM, and SIGKILL at the earliest allowed time if the process still runs.
    fn finish(&self, number: usize, router: &mut Router) {
        router.record_memory();
        let terminated_at = Instant::now();
        router.terminate();
        thread::sleep(NEW_CONNECTIONS_AFTER_TERM);
        self.endpoints[number].open.store(false, SeqCst);
        loop {
            if router.has_ended() {
                break;
            }
            if terminated_at.elapsed() >= KILL_AFTER {
                router.kill();
                break;
            }
            thread::sleep(POLL_INTERVAL);
        }
        router.check_log_for_panic();
    }

    fn kill(&self, number: usize) {
        let Some(mut router) = self.take(number) else { return };
        self.endpoints[number].open.store(false, SeqCst);
        let generation = router.generation;
        router.kill();
        router.check_log_for_panic();
        drop(router);
        self.start(number, generation + 1).expect("the router can be started");
    }

    /// Ends a router at the end of the run; by now all requests have been answered.
    fn end(&self, number: usize) {
        let router = self.slots[number].router.lock().expect("no thread panics under the lock").take();
        if let Some(mut router) = router {
            if !router.has_ended() {
                self.finish(number, &mut router);
            }
        }
    }
}

/// Whether a router answers an empty query.
fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) else {
        return false;
    };
    let mut bytes = pg::startup_message();
    pg::query(&mut bytes, b"");
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    if stream.write_all(&bytes).is_err() {
        return false;
    }
    let (mut received, mut piece) = (Vec::new(), [0; 512]);
    while !received.windows(5).any(|w| w == b"I\0\0\0\x04") {
        match stream.read(&mut piece) {
            Ok(n) if n > 0 => received.extend_from_slice(&piece[..n]),
            _ => return false,
        }
    }
    true
}

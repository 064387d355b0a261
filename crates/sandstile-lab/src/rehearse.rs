//! Runs one rehearsal: the emulator, router processes, clients, process faults, and the trace of all of them.
use crate::clients::ClientPool;
use crate::control_queries;
use crate::report;
use crate::router_process::{self, ProcessGuard, Router};
use crate::trace_writer::{self, TraceLine, TraceSender};
use crossbeam_channel::{unbounded, Receiver, RecvTimeoutError};
pub use sandstile_emulator::router_address;
use sandstile_emulator::{Clock, Emulator, Handle, Notification, Record};
use sandstile_faults::{ProcessFault, StateAfterRestart};
use sandstile_fleet::plan::{Consistency, Effect};
use sandstile_scenario::traffic::Traffic;
use sandstile_scenario::Script;
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use tracing::{info, warn};

pub struct Options {
    pub script: Script,
    pub quick: bool,
    pub router: PathBuf,
    pub out: PathBuf,
}

const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a router may take after SIGTERM to answer the statements that it has accepted.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(8);
/// Delays until the load balancer in front of the routers notices that one received SIGTERM, or that one died.
const TERM_DETECTION_DELAY: Duration = Duration::from_millis(300);
const DEATH_DETECTION_DELAY: Duration = Duration::from_secs(1);

/// Reads a script and the shared file that it refers to, from the same folder.
pub fn read_script(file: &Path) -> Result<Script, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let dir = file.parent().unwrap_or(Path::new("."));
    let read_shared = |name: &str| std::fs::read_to_string(dir.join(name)).map_err(|e| e.to_string());
    Script::read_with(&file.display().to_string(), &text, &read_shared)
        .map_err(|problems| problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
}

/// Creates the emulator on loopback addresses that are free; also returns the number of their network.
pub fn new_emulator(
    script: &Script,
    clock: Clock,
    records: crossbeam_channel::Sender<Record>,
) -> io::Result<(Emulator, Receiver<Notification>, u8)> {
    let base = (std::process::id() % 200) as u8;
    for step in 0..40u8 {
        let net = 20 + base.wrapping_add(step.wrapping_mul(5)) % 200;
        let (notifications, notification_receiver) = unbounded();
        match Emulator::new(script, (net, 1), clock, records.clone(), notifications) {
            Ok(emulator) => return Ok((emulator, notification_receiver, net)),
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => {}
            Err(e) => return Err(e),
        }
    }
    Err(io::Error::other("no free loopback addresses"))
}

struct Rehearsal {
    script: Script,
    router_program: PathBuf,
    out: PathBuf,
    clock: Clock,
    trace: TraceSender,
    net: u8,
    agents: Mutex<Vec<SocketAddr>>,
    routers: Vec<Mutex<Option<Router>>>,
    guard: Arc<ProcessGuard>,
    is_over: AtomicBool,
}

/// Seconds between queries of a router's view of the members.
const MEMBER_POLL_INTERVAL_S: f64 = 0.1;
/// Seconds between queries of the replicated state, and the age in seconds from which all routers have to know a fact.
const STATE_POLL_INTERVAL_S: f64 = 0.5;
const PROPAGATION_LIMIT_S: f64 = 1.0;
/// Seconds of one cycle of a slowed router, which is suspended for a share of each cycle.
const SLOW_CYCLE_S: f64 = 0.05;

impl Rehearsal {
    fn record_state(&self, number: usize, state: &'static str, code: Option<i32>) {
        self.trace.write(self.clock.now(), TraceLine::Router { number, state, code });
    }

    fn start(&self, number: usize, known: &str) -> io::Result<()> {
        let agent = self.agents.lock().expect("no thread panics under the lock")[number];
        let listen = router_address(self.net, number);
        let config = router_process::config(&self.script, number, listen, agent, known);
        let local_config = router_process::write_local_config(&self.script, &self.out, self.net, number)?;
        let router =
            Router::start(&self.router_program, &self.out, number, &config, local_config.as_deref())?;
        let mut router = router.guarded_by(&self.guard);
        self.record_state(number, "started", None);
        router.wait_ready(READY_TIMEOUT)?;
        self.record_state(number, "ready", None);
        *self.routers[number].lock().expect("no thread panics under the lock") = Some(router);
        Ok(())
    }

    /// Applies a process fault to one router.
    fn apply_fault(
        &self,
        number: usize,
        process_fault: ProcessFault,
        clients: &ClientPool,
        emulator: &Handle,
    ) -> io::Result<()> {
        match process_fault {
            ProcessFault::Restart { kill, back, state } => {
                self.restart(number, kill, back, state, clients, emulator)
            }
            ProcessFault::Stop { lasts: duration_s } => {
                self.record_state(number, "stopped", None);
                self.with_router(number, Router::suspend);
                self.sleep(duration_s);
                self.with_router(number, Router::resume);
                self.record_state(number, "continued", None);
                Ok(())
            }
            ProcessFault::Slow { share, lasts: duration_s } => {
                let deadline = self.clock.now() + duration_s;
                self.record_state(number, "slow", None);
                while self.clock.now() < deadline && !self.is_over.load(SeqCst) {
                    self.with_router(number, Router::suspend);
                    thread::sleep(Duration::from_secs_f64(SLOW_CYCLE_S * share));
                    self.with_router(number, Router::resume);
                    thread::sleep(Duration::from_secs_f64(SLOW_CYCLE_S * (1.0 - share)));
                }
                self.record_state(number, "continued", None);
                Ok(())
            }
            ProcessFault::Copy => {
                let file = router_process::state_file(&self.script, &self.out, number);
                match std::fs::copy(&file, file.with_extension("copy")) {
                    Ok(_) => Ok(()),
                    Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
                    Err(e) => Err(e),
                }
            }
        }
    }

    fn with_router(&self, number: usize, action: impl Fn(&Router)) {
        if let Some(router) = &*self.routers[number].lock().expect("no thread panics under the lock") {
            action(router);
        }
    }

    /// Sleeps for this time, or until the rehearsal is over.
    fn sleep(&self, seconds: f64) {
        let deadline = self.clock.now() + seconds;
        while self.clock.now() < deadline && !self.is_over.load(SeqCst) {
            thread::sleep(self.clock.until(deadline).min(Duration::from_millis(20)));
        }
    }

    /// Changes the state file to what the restarted process is to find.
    fn prepare_state(&self, number: usize, state: StateAfterRestart) -> io::Result<()> {
        let file = router_process::state_file(&self.script, &self.out, number);
        let Ok(bytes) = std::fs::read(&file) else { return Ok(()) };
        let copy = std::fs::read(file.with_extension("copy")).ok();
        match state.apply(bytes, copy.as_deref(), self.script.plan.seed ^ number as u64) {
            Some(bytes) => std::fs::write(&file, bytes),
            None => std::fs::remove_file(&file),
        }
    }

    /// Ends a router and starts it again `back_s` seconds after its end, or after it was killed.
    fn restart(
        &self,
        number: usize,
        kill: bool,
        back_s: f64,
        state: StateAfterRestart,
        clients: &ClientPool,
        emulator: &Handle,
    ) -> io::Result<()> {
        let running = self.routers[number].lock().expect("no thread panics under the lock").take();
        // A router that is already being restarted is left alone.
        let Some(mut router) = running else { return Ok(()) };
        router.resume();
        let fault_at = self.clock.now();
        let mut waited = 0.0;
        if kill {
            self.record_state(number, "killed", None);
            router.kill();
            waited = DEATH_DETECTION_DELAY.as_secs_f64().min(back_s);
            self.sleep(waited);
        } else {
            self.record_state(number, "term", None);
            router.term();
            thread::sleep(TERM_DETECTION_DELAY);
        }
        clients.endpoint(number).accepts_clients.store(false, SeqCst);
        let status = router.wait(&self.clock, DRAIN_TIMEOUT);
        self.record_state(number, "ended", status.and_then(|s| s.code()));
        drop(router);
        self.sleep(match kill {
            true => (fault_at + back_s - self.clock.now()).max(0.0),
            false => back_s - waited,
        });
        if state != StateAfterRestart::Kept {
            self.prepare_state(number, state)?;
        }
        if self.is_over.load(SeqCst) {
            return Ok(());
        }
        self.start(number, &emulator.discovery_list(number))?;
        clients.endpoint(number).accepts_clients.store(true, SeqCst);
        clients.send_burst(number, self.script.clients.returning_clients);
        Ok(())
    }

    /// Records the resources that each router process uses at present.
    fn record_resources(&self) {
        for (number, slot) in self.routers.iter().enumerate() {
            let resources =
                slot.lock().expect("no thread panics under the lock").as_ref().and_then(Router::resources);
            if let Some(used) = resources {
                let (rss_kb, descriptors, cpu_ms) = (used.rss_kb, used.descriptors, used.cpu_ms);
                self.trace.write(self.clock.now(), TraceLine::Held { number, rss_kb, descriptors, cpu_ms });
            }
        }
    }

    /// Polls a router's view of the members and records each change.
    fn poll_members(&self, number: usize) {
        let socket = router_process::control_socket(self.net, number);
        let mut last_view = None;
        while !self.is_over.load(SeqCst) {
            let polled_at = self.clock.now();
            let is_running = self.routers[number].lock().expect("no thread panics under the lock").is_some();
            // A router that is not running has no view; after its restart the view is recorded again, changed or not.
            let view = is_running.then(|| control_queries::query_members(&socket)).flatten();
            if let Some(view) = view.filter(|v| last_view.as_ref() != Some(v)) {
                self.trace.write(self.clock.now(), view.trace_line(number));
                last_view = Some(view);
            }
            if !is_running {
                last_view = None;
            }
            thread::sleep(self.clock.until(polled_at + MEMBER_POLL_INTERVAL_S));
        }
        let _ = std::fs::remove_file(socket);
    }

    /// Polls the replicated state of a router, at times that are the same for all routers.
    fn poll_state(&self, number: usize) {
        let socket = router_process::state_socket(self.net, number);
        let mut round = (self.clock.now() / STATE_POLL_INTERVAL_S).ceil();
        while !self.is_over.load(SeqCst) {
            thread::sleep(self.clock.until(round * STATE_POLL_INTERVAL_S));
            let is_running = self.routers[number].lock().expect("no thread panics under the lock").is_some();
            if let Some(line) = is_running
                .then(|| {
                    control_queries::query_state(
                        &socket,
                        number,
                        round * STATE_POLL_INTERVAL_S - PROPAGATION_LIMIT_S,
                    )
                })
                .flatten()
            {
                self.trace.write(self.clock.now(), line);
            }
            round = (round + 1.0).max((self.clock.now() / STATE_POLL_INTERVAL_S).ceil());
        }
        let _ = std::fs::remove_file(socket);
    }

    /// Records routers that have ended unexpectedly.
    fn record_crashes(&self) {
        for (number, slot) in self.routers.iter().enumerate() {
            let mut slot = slot.lock().expect("no thread panics under the lock");
            if let Some(status) = slot.as_mut().and_then(Router::exit_status) {
                warn!(number, %status, "a router ended unexpectedly");
                self.record_state(number, "ended", status.code());
                *slot = None;
            }
        }
    }

    fn run_line(&self) -> TraceLine {
        let workloads: Vec<_> = self
            .script
            .plan
            .workloads
            .iter()
            .zip(&self.script.terms)
            .map(|(w, t)| {
                let effect = match w.effect {
                    Effect::Idempotent => "idempotent",
                    Effect::Deduplicated => "deduplicated",
                    Effect::NonIdempotent => "non-idempotent",
                };
                let consistency = match w.consistency {
                    Consistency::Write => "write",
                    Consistency::Fresh => "fresh",
                    Consistency::Session => "session",
                    Consistency::Bounded => "bounded",
                    Consistency::Any => "any",
                };
                json!({"name": w.name, "effect": effect, "consistency": consistency, "slo": t.slo,
                    "timeout": t.timeout, "importance": t.importance})
            })
            .collect();
        let rules = &self.script.rules;
        TraceLine::Run(Box::new(json!({"title": self.script.title, "seed": self.script.plan.seed,
            "settle": self.script.settle, "grace": rules.grace, "slack": rules.slack,
            "routers": self.script.routers.count, "workloads": workloads})))
    }
}

/// Plays a script; writes the trace and the summary to `out`.
pub fn rehearse(options: Options) -> Result<report::Summary, String> {
    let with_context = |what: &'static str| move |e: io::Error| format!("{what}: {e}");
    let script = if options.quick { options.script.shortened() } else { options.script };
    std::fs::create_dir_all(&options.out).map_err(with_context("results folder"))?;
    for number in 0..script.routers.count {
        // Removes the files of an earlier rehearsal in the same folder.
        for extension in ["log", "marks", "copy"] {
            let _ = std::fs::remove_file(options.out.join(format!("router-{number}.{extension}")));
        }
        let _ = std::fs::remove_file(options.out.join(format!("router-{number}.witness")));
        let _ = std::fs::remove_dir_all(options.out.join(format!("router-{number}.state")));
    }
    let clock = Clock::anchor();
    let (trace, records, writer) =
        trace_writer::open(&options.out.join("trace.jsonl")).map_err(with_context("trace"))?;
    let (emulator, notifications, net) =
        new_emulator(&script, clock, records).map_err(with_context("emulator"))?;
    let emulator = emulator.spawn().map_err(with_context("emulator"))?;
    // After a signal the routers are ended too, and the report says that the rehearsal was cut short.
    let stopped = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, stopped.clone()).map_err(with_context("signals"))?;
    }
    let rehearsal = Arc::new(Rehearsal {
        routers: (0..script.routers.count).map(|_| Mutex::new(None)).collect(),
        script: script.clone(),
        router_program: options.router,
        out: options.out.clone(),
        clock,
        trace: trace.clone(),
        net,
        agents: Mutex::new(emulator.agents.clone()),
        guard: Arc::new(ProcessGuard::start().map_err(with_context("process guard"))?),
        is_over: AtomicBool::new(false),
    });
    for number in 0..script.routers.count {
        rehearsal.start(number, &emulator.discovery_list(number)).map_err(with_context("router"))?;
        thread::sleep(Duration::from_secs_f64(script.routers.start_interval));
    }
    let clients =
        ClientPool::new(&script, script.plan.seed, &emulator.client_addresses, clock, trace.clone())
            .map_err(with_context("clients"))?;
    let begin = clock.now() + 0.1;
    rehearsal.trace.write(begin, rehearsal.run_line());
    emulator.start_script(begin);
    info!(title = script.title, seconds = script.seconds, seed = script.plan.seed, "rehearsal begins");
    let traffic = Traffic::new(&script, script.plan.seed);
    thread::scope(|scope| {
        scope.spawn(|| handle_notifications(&rehearsal, &notifications, &clients, &emulator));
        if script.routers.members {
            let rehearsal = &rehearsal;
            (0..script.routers.count).for_each(|n| drop(scope.spawn(move || rehearsal.poll_members(n))));
        }
        if script.sessions.state {
            let rehearsal = &rehearsal;
            (0..script.routers.count).for_each(|n| drop(scope.spawn(move || rehearsal.poll_state(n))));
        }
        let (mut next_progress_at, mut next_resources_at) = (begin + 5.0, begin);
        clients.play(traffic, begin, || {
            rehearsal.record_crashes();
            if clock.now() >= next_resources_at {
                next_resources_at = clock.now() + 1.0;
                rehearsal.record_resources();
            }
            if clock.now() >= next_progress_at {
                next_progress_at += 5.0;
                let (asked, answered, in_progress) = clients.counts();
                info!(
                    "{:.0} s of {:.0}: asked {asked}, answered {answered}, in progress {in_progress}",
                    clock.now() - begin,
                    script.seconds
                );
            }
            !emulator.is_finished() && !stopped.load(SeqCst)
        });
        while clock.now() < begin + script.seconds && !stopped.load(SeqCst) {
            thread::sleep(clock.until(begin + script.seconds).min(Duration::from_millis(50)));
        }
        rehearsal.is_over.store(true, SeqCst);
    });
    let start_delay_us = clients.finish();
    for (number, slot) in rehearsal.routers.iter().enumerate() {
        let Some(mut router) = slot.lock().expect("no thread panics under the lock").take() else { continue };
        router.resume();
        rehearsal.record_state(number, "term", None);
        router.term();
        let status = router.wait(&clock, DRAIN_TIMEOUT);
        rehearsal.record_state(number, "ended", status.and_then(|s| s.code()));
    }
    let summary = emulator.stop().map_err(with_context("emulator"))?;
    let mut unsound = Vec::new();
    if stopped.load(SeqCst) {
        unsound.push("ended by a signal".to_string());
    }
    if summary.unsound() {
        unsound.push(format!(
            "the emulator's timers were {} us late at p99",
            summary.late_us.value_at_quantile(0.99)
        ));
    }
    if start_delay_us.value_at_quantile(0.99) > 5000 {
        unsound.push(format!(
            "clients sent their requests {} us late at p99",
            start_delay_us.value_at_quantile(0.99)
        ));
    }
    let unsound = (!unsound.is_empty()).then(|| unsound.join("; "));
    rehearsal.trace.write(clock.now(), TraceLine::End { unsound });
    drop((rehearsal, trace));
    writer.close().map_err(with_context("trace"))?;
    let result = report::RehearsalResult {
        script,
        quick: options.quick,
        emulator: summary,
        clients_late_us: start_delay_us,
    };
    report::write(&options.out, &result)
}

/// Carries out the emulator's notifications until the rehearsal is over.
fn handle_notifications(
    rehearsal: &Arc<Rehearsal>,
    notifications: &Receiver<Notification>,
    clients: &ClientPool,
    emulator: &Handle,
) {
    thread::scope(|scope| loop {
        let notification = match notifications.recv_timeout(Duration::from_millis(50)) {
            Ok(notification) => notification,
            Err(RecvTimeoutError::Timeout) if !rehearsal.is_over.load(SeqCst) => continue,
            Err(_) => return,
        };
        match notification {
            Notification::Process { name, selector, process_fault, spread } => {
                // Each cue has its own seed, so that it selects the same routers in each run of the script's seed.
                let seed =
                    name.bytes().fold(rehearsal.script.plan.seed, |h, b| h.wrapping_mul(31) ^ u64::from(b));
                let selected = selector.select(rehearsal.routers.len(), spread, seed);
                info!(name, blow = ?process_fault, routers = selected.len(), "applying a process fault");
                for (number, delay_s) in selected {
                    scope.spawn(move || {
                        rehearsal.sleep(delay_s);
                        if let Err(e) = rehearsal.apply_fault(number, process_fault, clients, emulator) {
                            warn!(number, "process fault failed: {e}");
                        }
                    });
                }
            }
            Notification::AgentsMoved(addresses) => {
                info!("discovery moves to other addresses");
                *rehearsal.agents.lock().expect("no thread panics under the lock") = addresses.clone();
                for (slot, address) in rehearsal.routers.iter().zip(addresses) {
                    if let Some(router) = &*slot.lock().expect("no thread panics under the lock") {
                        let _ = router.reload(address);
                    }
                }
            }
            Notification::NoTarget(name) => warn!(name, "a cue has no target"),
        }
    });
}

/// The path of the router's program in the folder of this program.
pub fn default_router(program: &Path) -> PathBuf {
    program.with_file_name("sandstile")
}

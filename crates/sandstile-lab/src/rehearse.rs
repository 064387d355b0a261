//! One rehearsal from beginning to end.
use crate::clients::Crew;
use crate::control_queries;
use crate::processes::{self, Nurse, Router};
use crate::report;
use crate::trace_writer::{self, Book, Line};
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

const READY: Duration = Duration::from_secs(10);
/// After SIGTERM: the longest that a router may take to answer what it took.
const FAREWELL: Duration = Duration::from_secs(8);
/// The front sees a router that was told to end, and one that died, only after so long.
const SEES_TERM: Duration = Duration::from_millis(300);
const SEES_DEATH: Duration = Duration::from_secs(1);

/// Reads a script, and beside it the file that it shares with others.
pub fn script(file: &Path) -> Result<Script, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let dir = file.parent().unwrap_or(Path::new("."));
    let shared = |name: &str| std::fs::read_to_string(dir.join(name)).map_err(|e| e.to_string());
    Script::read_with(&file.display().to_string(), &text, &shared)
        .map_err(|problems| problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
}

/// The emulator at addresses that nobody else has.
pub fn emulator(
    script: &Script,
    clock: Clock,
    records: crossbeam_channel::Sender<Record>,
) -> io::Result<(Emulator, Receiver<Notification>, u8)> {
    let base = (std::process::id() % 200) as u8;
    for step in 0..40u8 {
        let net = 20 + base.wrapping_add(step.wrapping_mul(5)) % 200;
        let (notes, told) = unbounded();
        match Emulator::new(script, (net, 1), clock, records.clone(), notes) {
            Ok(emulator) => return Ok((emulator, told, net)),
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => {}
            Err(e) => return Err(e),
        }
    }
    Err(io::Error::other("no free loopback addresses"))
}

struct Stage {
    script: Script,
    wanted: PathBuf,
    out: PathBuf,
    clock: Clock,
    book: Book,
    net: u8,
    agents: Mutex<Vec<SocketAddr>>,
    routers: Vec<Mutex<Option<Router>>>,
    nurse: Arc<Nurse>,
    over: AtomicBool,
}

/// Seconds between looks at whom a router sees.
const LOOK: f64 = 0.1;
/// Seconds between looks at the state that routers keep together, and for what is written to be known by all.
const COMPARES: f64 = 0.5;
const HEARD: f64 = 1.0;
/// One turn of a router that is slow: it stands still for its share of this.
const SLOW_TURN: f64 = 0.05;

impl Stage {
    fn note(&self, number: usize, state: &'static str, code: Option<i32>) {
        self.book.line(self.clock.now(), Line::Router { number, state, code });
    }

    fn start(&self, number: usize, known: &str) -> io::Result<()> {
        let agent = self.agents.lock().expect("no thread panics under the lock")[number];
        let listen = router_address(self.net, number);
        let config = processes::config(&self.script, number, listen, agent, known);
        let own = processes::own_file(&self.script, &self.out, self.net, number)?;
        let router = Router::start(&self.wanted, &self.out, number, &config, own.as_deref())?;
        let mut router = router.nursed(&self.nurse);
        self.note(number, "started", None);
        router.wait_ready(READY)?;
        self.note(number, "ready", None);
        *self.routers[number].lock().expect("no thread panics under the lock") = Some(router);
        Ok(())
    }

    /// One process is struck as told.
    fn strike(
        &self,
        number: usize,
        process_fault: ProcessFault,
        crew: &Crew,
        emulator: &Handle,
    ) -> io::Result<()> {
        match process_fault {
            ProcessFault::Restart { kill, back, state } => {
                self.restart(number, kill, back, state, crew, emulator)
            }
            ProcessFault::Stop { lasts: duration_s } => {
                self.note(number, "stopped", None);
                self.with(number, Router::stop);
                self.sleep(duration_s);
                self.with(number, Router::go_on);
                self.note(number, "continued", None);
                Ok(())
            }
            ProcessFault::Slow { share, lasts: duration_s } => {
                let until = self.clock.now() + duration_s;
                self.note(number, "slow", None);
                while self.clock.now() < until && !self.over.load(SeqCst) {
                    self.with(number, Router::stop);
                    thread::sleep(Duration::from_secs_f64(SLOW_TURN * share));
                    self.with(number, Router::go_on);
                    thread::sleep(Duration::from_secs_f64(SLOW_TURN * (1.0 - share)));
                }
                self.note(number, "continued", None);
                Ok(())
            }
            ProcessFault::Copy => {
                let file = processes::state_file(&self.script, &self.out, number);
                match std::fs::copy(&file, file.with_extension("copy")) {
                    Ok(_) => Ok(()),
                    Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
                    Err(e) => Err(e),
                }
            }
        }
    }

    fn with(&self, number: usize, does: impl Fn(&Router)) {
        if let Some(router) = &*self.routers[number].lock().expect("no thread panics under the lock") {
            does(router);
        }
    }

    /// Until so many seconds are over, or the rehearsal is.
    fn sleep(&self, seconds: f64) {
        let until = self.clock.now() + seconds;
        while self.clock.now() < until && !self.over.load(SeqCst) {
            thread::sleep(self.clock.until(until).min(Duration::from_millis(20)));
        }
    }

    /// What a process that starts again finds of its state.
    fn state(&self, number: usize, state: StateAfterRestart) -> io::Result<()> {
        let file = processes::state_file(&self.script, &self.out, number);
        let Ok(bytes) = std::fs::read(&file) else { return Ok(()) };
        let copy = std::fs::read(file.with_extension("copy")).ok();
        match state.apply(bytes, copy.as_deref(), self.script.plan.seed ^ number as u64) {
            Some(bytes) => std::fs::write(&file, bytes),
            None => std::fs::remove_file(&file),
        }
    }

    /// Ends one, and starts it again so many seconds after its end, or after it was killed.
    fn restart(
        &self,
        number: usize,
        kill: bool,
        back: f64,
        state: StateAfterRestart,
        crew: &Crew,
        emulator: &Handle,
    ) -> io::Result<()> {
        let taken = self.routers[number].lock().expect("no thread panics under the lock").take();
        // One that is on its way back already is not there to be struck.
        let Some(mut router) = taken else { return Ok(()) };
        router.go_on();
        let began = self.clock.now();
        let mut waited = 0.0;
        if kill {
            self.note(number, "killed", None);
            router.kill();
            waited = SEES_DEATH.as_secs_f64().min(back);
            self.sleep(waited);
        } else {
            self.note(number, "term", None);
            router.term();
            thread::sleep(SEES_TERM);
        }
        crew.door(number).open.store(false, SeqCst);
        let status = router.wait(&self.clock, FAREWELL);
        self.note(number, "ended", status.and_then(|s| s.code()));
        drop(router);
        self.sleep(match kill {
            true => (began + back - self.clock.now()).max(0.0),
            false => back - waited,
        });
        if state != StateAfterRestart::Kept {
            self.state(number, state)?;
        }
        if self.over.load(SeqCst) {
            return Ok(());
        }
        self.start(number, &emulator.discovery_list(number))?;
        crew.door(number).open.store(true, SeqCst);
        crew.crowd(number, self.script.clients.returning_clients);
        Ok(())
    }

    /// What all router processes hold at present.
    fn weigh(&self) {
        for (number, slot) in self.routers.iter().enumerate() {
            let held = slot.lock().expect("no thread panics under the lock").as_ref().and_then(Router::held);
            if let Some(h) = held {
                let (rss_kb, descriptors, cpu_ms) = (h.rss_kb, h.descriptors, h.cpu_ms);
                self.book.line(self.clock.now(), Line::Held { number, rss_kb, descriptors, cpu_ms });
            }
        }
    }

    /// Asks one router again and again whom it sees, and writes down what is new.
    fn watch(&self, number: usize) {
        let socket = processes::control_socket(self.net, number);
        let mut last = None;
        while !self.over.load(SeqCst) {
            let asked = self.clock.now();
            let there = self.routers[number].lock().expect("no thread panics under the lock").is_some();
            // One that does not run sees nobody, and says so anew when it is back.
            let sight = there.then(|| control_queries::of(&socket)).flatten();
            if let Some(sight) = sight.filter(|s| last.as_ref() != Some(s)) {
                self.book.line(self.clock.now(), sight.line(number));
                last = Some(sight);
            }
            if !there {
                last = None;
            }
            thread::sleep(self.clock.until(asked + LOOK));
        }
        let _ = std::fs::remove_file(socket);
    }

    /// Asks one router how the state stands that it keeps with others, at times that are the same for all.
    fn compare(&self, number: usize) {
        let socket = processes::state_socket(self.net, number);
        let mut round = (self.clock.now() / COMPARES).ceil();
        while !self.over.load(SeqCst) {
            thread::sleep(self.clock.until(round * COMPARES));
            let there = self.routers[number].lock().expect("no thread panics under the lock").is_some();
            if let Some(line) =
                there.then(|| control_queries::copy(&socket, number, round * COMPARES - HEARD)).flatten()
            {
                self.book.line(self.clock.now(), line);
            }
            round = (round + 1.0).max((self.clock.now() / COMPARES).ceil());
        }
        let _ = std::fs::remove_file(socket);
    }

    /// A router that is gone though nobody asked for that.
    fn look_for_crashes(&self) {
        for (number, slot) in self.routers.iter().enumerate() {
            let mut slot = slot.lock().expect("no thread panics under the lock");
            if let Some(status) = slot.as_mut().and_then(Router::ended) {
                warn!(number, %status, "a router ended unasked");
                self.note(number, "ended", status.code());
                *slot = None;
            }
        }
    }

    fn run_line(&self) -> Line {
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
        Line::Run(Box::new(json!({"title": self.script.title, "seed": self.script.plan.seed,
            "settle": self.script.settle, "grace": rules.grace, "slack": rules.slack,
            "routers": self.script.routers.count, "workloads": workloads})))
    }
}

/// Plays a script; the trace and the summary lie in `out` afterwards.
pub fn rehearse(wanted: Options) -> Result<report::Summary, String> {
    let told = |what: &'static str| move |e: io::Error| format!("{what}: {e}");
    let script = if wanted.quick { wanted.script.shortened() } else { wanted.script };
    std::fs::create_dir_all(&wanted.out).map_err(told("the folder for results"))?;
    for number in 0..script.routers.count {
        // Logs of an earlier rehearsal in the same folder.
        for end in ["log", "marks", "copy"] {
            let _ = std::fs::remove_file(wanted.out.join(format!("router-{number}.{end}")));
        }
        let _ = std::fs::remove_file(wanted.out.join(format!("router-{number}.witness")));
        let _ = std::fs::remove_dir_all(wanted.out.join(format!("router-{number}.state")));
    }
    let clock = Clock::anchor();
    let (book, records, writer) =
        trace_writer::open(&wanted.out.join("trace.jsonl")).map_err(told("the trace"))?;
    let (emulator, notes, net) = emulator(&script, clock, records).map_err(told("the emulator"))?;
    let emulator = emulator.spawn().map_err(told("the emulator"))?;
    // Told to end, it ends its routers with it, and says that the evening was not played whole.
    let stopped = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, stopped.clone()).map_err(told("signals"))?;
    }
    let stage = Arc::new(Stage {
        routers: (0..script.routers.count).map(|_| Mutex::new(None)).collect(),
        script: script.clone(),
        wanted: wanted.router,
        out: wanted.out.clone(),
        clock,
        book: book.clone(),
        net,
        agents: Mutex::new(emulator.agents.clone()),
        nurse: Arc::new(Nurse::start().map_err(told("the nurse"))?),
        over: AtomicBool::new(false),
    });
    for number in 0..script.routers.count {
        stage.start(number, &emulator.discovery_list(number)).map_err(told("a router"))?;
        thread::sleep(Duration::from_secs_f64(script.routers.start_interval));
    }
    let crew = Crew::new(&script, script.plan.seed, &emulator.client_addresses, clock, book.clone())
        .map_err(told("clients"))?;
    let begin = clock.now() + 0.1;
    stage.book.line(begin, stage.run_line());
    emulator.start_script(begin);
    info!(title = script.title, seconds = script.seconds, seed = script.plan.seed, "begins");
    let traffic = Traffic::new(&script, script.plan.seed);
    thread::scope(|scope| {
        scope.spawn(|| follow(&stage, &notes, &crew, &emulator));
        if script.routers.members {
            let stage = &stage;
            (0..script.routers.count).for_each(|n| drop(scope.spawn(move || stage.watch(n))));
        }
        if script.sessions.state {
            let stage = &stage;
            (0..script.routers.count).for_each(|n| drop(scope.spawn(move || stage.compare(n))));
        }
        let (mut next, mut weighs) = (begin + 5.0, begin);
        crew.play(traffic, begin, || {
            stage.look_for_crashes();
            if clock.now() >= weighs {
                weighs = clock.now() + 1.0;
                stage.weigh();
            }
            if clock.now() >= next {
                next += 5.0;
                let (asked, answered, busy) = crew.counts();
                info!(
                    "{:.0} s of {:.0}: asked {asked}, answered {answered}, under way {busy}",
                    clock.now() - begin,
                    script.seconds
                );
            }
            !emulator.is_finished() && !stopped.load(SeqCst)
        });
        while clock.now() < begin + script.seconds && !stopped.load(SeqCst) {
            thread::sleep(clock.until(begin + script.seconds).min(Duration::from_millis(50)));
        }
        stage.over.store(true, SeqCst);
    });
    let late = crew.finish();
    for (number, slot) in stage.routers.iter().enumerate() {
        let Some(mut router) = slot.lock().expect("no thread panics under the lock").take() else { continue };
        router.go_on();
        stage.note(number, "term", None);
        router.term();
        let status = router.wait(&clock, FAREWELL);
        stage.note(number, "ended", status.and_then(|s| s.code()));
    }
    let summary = emulator.stop().map_err(told("the emulator"))?;
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
    if late.value_at_quantile(0.99) > 5000 {
        unsound.push(format!("clients asked {} us late at p99", late.value_at_quantile(0.99)));
    }
    let unsound = (!unsound.is_empty()).then(|| unsound.join("; "));
    stage.book.line(clock.now(), Line::End { unsound });
    drop((stage, book));
    writer.close().map_err(told("the trace"))?;
    let played = report::Played { script, quick: wanted.quick, emulator: summary, clients_late_us: late };
    report::write(&wanted.out, &played)
}

/// What the emulator has the lab do, until the end.
fn follow(stage: &Arc<Stage>, notes: &Receiver<Notification>, crew: &Crew, emulator: &Handle) {
    thread::scope(|scope| loop {
        let note = match notes.recv_timeout(Duration::from_millis(50)) {
            Ok(note) => note,
            Err(RecvTimeoutError::Timeout) if !stage.over.load(SeqCst) => continue,
            Err(_) => return,
        };
        match note {
            Notification::Process { name, selector, process_fault, spread } => {
                // Each cue of a script chooses for itself, the same with each play of a seed.
                let seed =
                    name.bytes().fold(stage.script.plan.seed, |h, b| h.wrapping_mul(31) ^ u64::from(b));
                let struck = selector.select(stage.routers.len(), spread, seed);
                info!(name, ?process_fault, routers = struck.len(), "processes are struck");
                for (number, after) in struck {
                    scope.spawn(move || {
                        stage.sleep(after);
                        if let Err(e) = stage.strike(number, process_fault, crew, emulator) {
                            warn!(number, "not struck: {e}");
                        }
                    });
                }
            }
            Notification::AgentsMoved(addresses) => {
                info!("discovery moves");
                *stage.agents.lock().expect("no thread panics under the lock") = addresses.clone();
                for (slot, address) in stage.routers.iter().zip(addresses) {
                    if let Some(router) = &*slot.lock().expect("no thread panics under the lock") {
                        let _ = router.reload(address);
                    }
                }
            }
            Notification::NoTarget(name) => warn!(name, "a cue found nothing to strike"),
        }
    });
}

/// Where the router's program lies beside this one.
pub fn beside(this: &Path) -> PathBuf {
    this.with_file_name("sandstile")
}

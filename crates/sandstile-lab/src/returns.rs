//! How a return grows with the number of routers: the same state machines (`sandstile-policy`, `sandstile-restart-pacing`) before the fleet model, in
//! virtual time. Seven in ten routers die at once, or all of them and the hosts with them; their clients come back with them.
use crate::charts::{self, Line};
use sandstile_fleet::event::Event;
use sandstile_fleet::plan::*;
use sandstile_fleet::random::Rng;
use sandstile_fleet::{Fault, FaultKind, Fleet, Target};
use sandstile_policy::policy::Instance;
use sandstile_policy::terms;
use sandstile_restart_pacing::{DialPacer, Pace};
use sandstile_simulation::world::{Clients, World};
use sandstile_simulation::{ClientRequest, FinalAnswer, InstanceDriver, EPOCH};
use sandstile_timers::TimerHeap;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;
use std::rc::Rc;
use std::sync::Mutex;
use tracing::info;

const GROUPS: usize = 8;
const MEMBERS: usize = 3;
const CORES: usize = 2;
/// Seconds: the work of a statement and of a handshake, when it is due, how long its client waits.
const WORK: f64 = 0.008;
const SETUP: f64 = 0.005;
const SLO: f64 = 0.3;
const WAIT: f64 = 1.0;
const DIAL: f64 = 0.25;
/// Of what the hosts can do, and of it writes.
const LOAD: f64 = 0.6;
const WRITES: f64 = 0.12;
/// Seconds: the fault, the return, the end; clients come again after a pause.
const FAULT: f64 = 5.0;
const BACK: f64 = 0.8;
const END: f64 = 22.0;
const PAUSE: f64 = 0.1;
/// Clients that come back with each router, of all that there are in one second.
const CROWD: f64 = 0.5;
const WARM: f64 = 5.0;
/// A deployment that was not whole before, for it never came up, is whole with so much.
const LEAST: f64 = 0.95;

/// What happens.
#[derive(Clone, Copy, PartialEq)]
enum Story {
    MostRestart,
    PowerCut,
}

struct Wish {
    at: f64,
    until: f64,
    router: usize,
    workload: usize,
    group: usize,
    session: usize,
}

enum Due {
    Arrival,
    Again(u64),
    TimeOver(u64),
}

/// Open-loop clients, each with a wish of its own that it tries until its time is over.
struct Crowd {
    rng: Rng,
    rate: f64,
    routers: usize,
    due: TimerHeap<Due>,
    earliest: f64,
    wishes: BTreeMap<u64, Wish>,
    next: u64,
    until: f64,
    /// When each was meant to be asked, and whether it was completed in time.
    done: Vec<(f64, bool)>,
}

impl Crowd {
    fn new(seed: u64, routers: usize, rate: f64) -> Crowd {
        let mut due = TimerHeap::default();
        due.push(EPOCH + 0.001, Due::Arrival);
        let (rng, wishes, done) = (Rng::new(seed, "crowd"), BTreeMap::new(), Vec::new());
        Crowd { rng, rate, routers, due, earliest: EPOCH, wishes, next: 0, until: EPOCH + END, done }
    }

    fn wish(&mut self, now: f64, router: usize) {
        self.next += 1;
        let wish = Wish {
            at: now,
            until: now + WAIT,
            router,
            workload: usize::from(self.rng.bernoulli(WRITES)),
            group: self.rng.below(GROUPS),
            session: self.next as usize,
        };
        self.wishes.insert(self.next, wish);
        self.due.push(now, Due::Again(self.next));
        self.due.push(now + WAIT, Due::TimeOver(self.next));
        self.earliest = self.earliest.min(now);
    }

    fn end(&mut self, key: u64, good: bool) {
        if let Some(wish) = self.wishes.remove(&key) {
            self.done.push((wish.at - EPOCH, good));
        }
    }
}

impl Clients for Crowd {
    fn next_request_at(&self) -> f64 {
        self.earliest
    }

    fn take_due_requests(&mut self, now: f64) -> Vec<(usize, ClientRequest)> {
        let mut asked = Vec::new();
        while let Some((_, due)) = self.due.pop(now) {
            match due {
                Due::Arrival => {
                    let router = self.rng.below(self.routers);
                    self.wish(now, router);
                    let at = now + self.rng.exponential(1.0 / self.rate);
                    if at < self.until {
                        self.due.push(at, Due::Arrival);
                    }
                }
                Due::TimeOver(key) => self.end(key, false),
                Due::Again(key) => {
                    let Some(wish) = self.wishes.get(&key) else { continue };
                    let wanted = ClientRequest {
                        key,
                        workload: wish.workload,
                        group: wish.group,
                        session: wish.session,
                        wait: wish.until - now,
                    };
                    asked.push((wish.router, wanted));
                }
            }
        }
        self.earliest = self.due.earliest().unwrap_or(f64::INFINITY);
        asked
    }

    fn on_answer(&mut self, now: f64, key: u64, answer: FinalAnswer) {
        let Some(wish) = self.wishes.get(&key) else { return };
        match answer {
            FinalAnswer::Completed => {
                let good = now - wish.at <= SLO;
                self.end(key, good);
            }
            FinalAnswer::Rejected(after) => {
                let at = now + after.max(PAUSE);
                if at < wish.until {
                    self.due.push(at, Due::Again(key));
                    self.earliest = self.earliest.min(at);
                } else {
                    self.end(key, false);
                }
            }
            FinalAnswer::Aborted => self.end(key, false),
        }
    }
}

fn plan(seed: u64) -> Plan {
    let kind = MachineKind {
        cores: vec![1.0; CORES],
        queue: 10_000,
        connections: 100_000,
        idle_timeout_s: 3600.0,
        setup_work: SETUP,
        warm_s: WARM,
        ..MachineKind::standard("std")
    };
    let nodes = (0..GROUPS * MEMBERS).map(|n| Node { name: format!("n{n}"), zone: String::new(), kind: 0 });
    let groups = (0..GROUPS).map(|g| Group {
        name: g.to_string(),
        nodes: (g * MEMBERS..(g + 1) * MEMBERS).collect(),
        replication_delay_s: 0.01,
        apply: Work::Fixed(0.0005),
        detect_s: 1.5,
        elect_s: 0.5,
        hold_s: 0.0,
        dedup_window_s: 60.0,
    });
    let workload = |name: &str, consistency, effect| Workload {
        name: name.to_string(),
        effect,
        consistency,
        max_age_s: 0.0,
        work: Work::Exponential(WORK),
        value_bytes: 64,
    };
    Plan {
        seed,
        kinds: vec![kind],
        nodes: nodes.collect(),
        groups: groups.collect(),
        workloads: vec![
            workload("look", Consistency::Any, Effect::Idempotent),
            workload("save", Consistency::Write, Effect::NonIdempotent),
        ],
        tokens: Tokens::Remembered,
        hosts_check_reads: true,
    }
}

fn told(routers: usize) -> terms::Terms {
    let workload = |consistency, effect, importance| terms::Workload {
        consistency,
        max_age: 0.0,
        effect,
        scope: terms::DedupScope::Zone,
        dedup_window: 60.0,
        slo: SLO,
        timeout: WAIT,
        importance,
        late_share: 0.0,
    };
    let kind = MachineKind::standard("std");
    terms::Terms {
        workloads: vec![
            workload(terms::Consistency::Any, terms::Effect::Idempotent, 1.0),
            workload(terms::Consistency::Write, terms::Effect::NonIdempotent, 3.0),
        ],
        routers,
        hosts_check_reads: true,
        answers_carry_position: true,
        may_probe: true,
        may_cancel: true,
        router_keeps_tokens: true,
        max_executions: 4,
        max_retry_after: 2.0,
        idle_close: 3600.0,
        tick: 0.005,
        cold_initial_share: kind.cold_share,
        cold_duration: WARM,
        cold_overload_multiple: kind.cold_overload_multiple,
        ..terms::Terms::default()
    }
}

/// One run: seconds from the fault to full service, least second, most dials at a host in 100 ms, those of the calm.
struct Run {
    whole: Option<f64>,
    before: f64,
    least: f64,
    dials: f64,
    usual: f64,
}

fn run(story: Story, pace: Option<Pace>, routers: usize, seed: u64) -> Run {
    let fleet = Fleet::new(plan(seed), EPOCH);
    let terms = told(routers);
    let mind = |number: usize, life: u64, now: f64| {
        let own = seed * 1_000_003 + number as u64 * 7919 + life;
        let mind =
            InstanceDriver::with_policy(Instance::new(&terms, own, now), number as u64, routers as u64, DIAL);
        match pace {
            Some(pace) => mind.with_dial_pacing(DialPacer::new(pace, routers, number as u64, own, now)),
            None => mind,
        }
    };
    let minds = (0..routers).map(|n| mind(n, 0, EPOCH)).collect();
    let mut world = World::new(fleet, minds, 0.5);
    let dials: Rc<RefCell<BTreeMap<(String, i64), f64>>> = Rc::default();
    let seen = dials.clone();
    world.observer = Some(Box::new(move |t, event| {
        if let Event::Dialled { host } = event {
            let moment = ((t - EPOCH) / 0.1) as i64;
            *seen.borrow_mut().entry((host.clone(), moment)).or_default() += 1.0;
        }
    }));
    let capacity = (GROUPS * MEMBERS * CORES) as f64 / WORK;
    let mut crowd = Crowd::new(seed, routers, LOAD * capacity);
    world.run_until(&mut crowd, EPOCH + FAULT);
    let struck: Vec<usize> = match story {
        Story::MostRestart => (0..routers).filter(|n| n % 10 < 7).collect(),
        Story::PowerCut => (0..routers).collect(),
    };
    struck.iter().for_each(|n| world.kill(*n));
    if story == Story::PowerCut {
        for group in 0..GROUPS {
            let target = Target::Group(group.to_string());
            world.fleet.start_fault(EPOCH + FAULT, Fault { kind: FaultKind::Crash, target, duration_s: 2.0 });
        }
    }
    world.run_until(&mut crowd, EPOCH + FAULT + BACK);
    let each = (CROWD * LOAD * capacity / routers as f64).ceil() as usize;
    for n in struck {
        world.start(n, mind(n, 1, world.now()));
        (0..each).for_each(|_| crowd.wish(world.now(), n));
    }
    world.run_until(&mut crowd, EPOCH + END + WAIT);
    let share = |from: f64, to: f64| {
        let of = || crowd.done.iter().filter(|(at, _)| (from..to).contains(at));
        let all = of().count() as f64;
        if all > 0.0 {
            of().filter(|(_, good)| *good).count() as f64 / all
        } else {
            1.0
        }
    };
    let before = share(2.0, FAULT);
    let steps = ((END - 1.0 - FAULT) / 0.25) as usize;
    let seconds: Vec<f64> =
        (0..steps).map(|n| share(FAULT + n as f64 * 0.25, FAULT + n as f64 * 0.25 + 1.0)).collect();
    let whole =
        (0..steps).find(|n| seconds[*n..(n + 20).min(steps)].iter().all(|s| *s >= before.max(LEAST) - 0.05));
    let dials = dials.borrow();
    let most = |from: i64, to: i64| {
        dials.iter().filter(|((_, at), _)| (from..to).contains(at)).map(|(_, n)| *n).fold(0.0, f64::max)
    };
    Run {
        whole: whole.map(|n| n as f64 * 0.25),
        before,
        least: seconds.iter().copied().fold(1.0, f64::min),
        dials: most((FAULT * 10.0) as i64, i64::MAX),
        usual: most(20, (FAULT * 10.0) as i64).max(1.0),
    }
}

/// All of it: a table, and a chart for each story beside it.
pub fn grow(out: &Path, quick: bool) -> Result<String, String> {
    let told = |e: std::io::Error| format!("{}: {e}", out.display());
    std::fs::create_dir_all(out).map_err(told)?;
    let counts: &[usize] = if quick { &[16, 100] } else { &[16, 100, 300, 1000] };
    let paces: [(&str, Option<Pace>); 3] =
        [("plainest", Some(Pace::Plainest)), ("off", None), ("answers", Some(Pace::Answers))];
    let mut text = format!(
        "Virtual time: {} hosts of {CORES} cores at {LOAD} of what they can do, a handshake {:.0} ms of a core, dial limit {:.0} ms, one seed.\n\n\
         | what | pace | routers | before | whole after s | least second | dials at a host in 100 ms | in the calm |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        GROUPS * MEMBERS,
        SETUP * 1e3,
        DIAL * 1e3
    );
    let stories = [(Story::MostRestart, "most-restart"), (Story::PowerCut, "power-cut")];
    // Each run has a world of its own; the largest first, for they take the longest.
    let mut jobs: Vec<(usize, usize, usize)> = Vec::new();
    for count in (0..counts.len()).rev() {
        jobs.extend(
            (0..stories.len()).flat_map(|story| (0..paces.len()).map(move |pace| (story, pace, count))),
        );
    }
    let jobs = Mutex::new(jobs.into_iter());
    let runs: Mutex<BTreeMap<(usize, usize, usize), Run>> = Mutex::default();
    let workers = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| loop {
                let job = jobs.lock().expect("no thread panics under the lock").next();
                let Some((story, pace, count)) = job else { return };
                let done = run(stories[story].0, paces[pace].1, counts[count], 1);
                info!(story = stories[story].1, pace = paces[pace].0, routers = counts[count], "played");
                runs.lock().expect("no thread panics under the lock").insert((story, pace, count), done);
            });
        }
    });
    let runs = runs.into_inner().expect("no thread panics under the lock");
    for (story, (_, name)) in stories.iter().enumerate() {
        let mut curves = Vec::new();
        for (pace, (word, _)) in paces.iter().enumerate() {
            let mut points = Vec::new();
            for (count, routers) in counts.iter().enumerate() {
                let run = &runs[&(story, pace, count)];
                let whole = run.whole.map_or("not before the end".to_string(), |s| format!("{s:.2}"));
                let _ = writeln!(
                    text,
                    "| {name} | {word} | {routers} | {:.3} | {whole} | {:.3} | {:.0} | {:.0} |",
                    run.before, run.least, run.dials, run.usual
                );
                points.push((*routers as f64, run.whole.unwrap_or(END - FAULT)));
            }
            curves.push(Line { name: word.to_string(), points });
        }
        let title = format!("{name}: seconds to full service (the top: never)");
        let svg = charts::lines(&title, "routers", "s", &curves, false)?;
        std::fs::write(out.join(format!("returns-{name}.svg")), svg).map_err(told)?;
    }
    std::fs::write(out.join("returns.md"), &text).map_err(told)?;
    Ok(text)
}

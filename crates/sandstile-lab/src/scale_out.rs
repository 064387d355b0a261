//! The paper's own experiment: many small databases, their primaries all on one machine, alone and with satellites that
//! hold a copy each. In virtual time with the real decision module, and scaled down on sockets beside it.
use crate::charts::{self, Line};
use crate::processes::{self, Router};
use crate::rehearse;
use hdrhistogram::Histogram;
use sandstile_emulator::Clock;
use sandstile_fleet::plan::*;
use sandstile_fleet::Fleet;
use sandstile_hcl::{Problem, Section, Source};
use sandstile_load::{run, Arrivals, Load, Shape};
use sandstile_policy::policy::Instance;
use sandstile_policy::terms::{self, DedupScope, Terms};
use sandstile_scenario::Script;
use sandstile_simulation::{InstanceDriver, Workers, World, EPOCH};
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;
use tracing::info;

/// One setting: so many databases with so many satellites, and the numbers of clients at which it is measured.
#[derive(Clone, Debug)]
pub struct Figure {
    pub name: String,
    pub databases: usize,
    pub satellites: usize,
    pub workers: Vec<usize>,
    /// Also on sockets.
    pub sockets: bool,
}

#[derive(Clone, Debug)]
pub struct Experiment {
    pub title: String,
    pub seed: u64,
    /// Counted seconds, and those before them.
    pub seconds: f64,
    pub warm: f64,
    /// Seconds that a client waits.
    pub wait: f64,
    /// The share of statements that write.
    pub writes: f64,
    /// Seconds of work.
    pub read_work: f64,
    pub write_work: f64,
    pub cores: usize,
    pub routers: usize,
    pub figures: Vec<Figure>,
}

impl Experiment {
    pub fn read(file: &str, text: &str) -> Result<Experiment, Vec<Problem>> {
        let source = Source::new(file, text);
        let read = source.parse().map(|body| {
            let s = Section::root(&source, &body);
            let figures = s.blocks("figure", true);
            let figures = figures.iter().map(|f| {
                let figure = Figure {
                    name: f.name.clone(),
                    databases: f.count("databases", 1.0..10_000.0, 100),
                    satellites: f.count("satellites", 1.0..1000.0, 10),
                    workers: f
                        .numbers("workers", 1.0..100_000.0)
                        .unwrap_or_default()
                        .into_iter()
                        .map(|n| n as usize)
                        .collect(),
                    sockets: f.boolean("sockets", false),
                };
                if figure.workers.is_empty() {
                    f.problem("workers", "no numbers of clients", Some("workers = [50, 100]".to_string()));
                }
                f.finish();
                figure
            });
            let experiment = Experiment {
                figures: figures.collect(),
                title: s.required_text("title"),
                seed: s.count("seed", 0.0..1e15, 1) as u64,
                seconds: s.number("seconds", 1.0..3600.0, 60.0),
                warm: s.number("warm_s", 0.0..600.0, 10.0),
                wait: s.number("wait_s", 0.1..600.0, 20.0),
                writes: s.number("writes", 0.0..1.0, 0.2),
                read_work: s.required_number("read_ms", 0.01..10_000.0) / 1e3,
                write_work: s.required_number("write_ms", 0.01..10_000.0) / 1e3,
                cores: s.count("cores", 1.0..64.0, 2),
                routers: s.count("routers", 1.0..100.0, 1),
            };
            s.finish();
            experiment
        });
        let problems = source.problems();
        match read {
            Some(experiment) if problems.is_empty() => Ok(experiment),
            _ => Err(problems),
        }
    }
}

/// How the databases are reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Clients at the master itself, as the paper's first measurement.
    Alone,
    /// By routers, with satellites.
    Farm,
    Sockets,
}

impl Way {
    fn text(self) -> &'static str {
        match self {
            Way::Alone => "master alone, no router (virtual)",
            Way::Farm => "with satellites (virtual)",
            Way::Sockets => "with satellites (sockets)",
        }
    }
}

/// One measured point.
struct Point {
    workers: usize,
    mean_ms: f64,
    p90_ms: f64,
    p99_ms: f64,
    rate: f64,
    rejected: u64,
    aborted: u64,
}

fn plan(e: &Experiment, f: &Figure, satellites: usize) -> Plan {
    let kind = |name: &str| MachineKind {
        cores: vec![1.0; e.cores],
        queue: 1_000_000,
        connections: 1_000_000,
        idle_timeout_s: 3600.0,
        setup_work: 0.0,
        ..MachineKind::standard(name)
    };
    let node = |name: String, kind| Node { name, zone: String::new(), kind };
    let mut nodes = vec![node("master".to_string(), 0)];
    nodes.extend((0..satellites).map(|n| node(format!("satellite-{n}"), 1)));
    // One copy of each database, evenly spread, as in the paper.
    let copy = |g: usize| (satellites > 0).then(|| 1 + g % satellites.max(1));
    let group = |g: usize| Group {
        name: format!("db{g}"),
        nodes: std::iter::once(0).chain(copy(g)).collect(),
        replication_delay_s: 0.001,
        apply: Work::Exponential(0.0005),
        detect_s: 2.0,
        elect_s: 1.0,
        hold_s: 0.0,
        dedup_window_s: 0.0,
    };
    let workload = |name: &str, consistency, effect, work| Workload {
        name: name.to_string(),
        effect,
        consistency,
        max_age_s: 0.0,
        work: Work::Exponential(work),
        value_bytes: 100,
    };
    Plan {
        seed: e.seed,
        kinds: vec![kind("master"), kind("satellite")],
        nodes,
        groups: (0..f.databases).map(group).collect(),
        workloads: vec![
            workload("read", Consistency::Session, Effect::Idempotent, e.read_work),
            workload("write", Consistency::Write, Effect::NonIdempotent, e.write_work),
        ],
        tokens: Tokens::Remembered,
        hosts_check_reads: true,
    }
}

fn deployed(e: &Experiment) -> Terms {
    let workload = |consistency, effect| terms::Workload {
        slo: e.wait / 5.0,
        timeout: e.wait,
        importance: 1.0,
        late_share: 0.5,
        effect,
        scope: DedupScope::Group,
        dedup_window: 0.0,
        consistency,
        max_age: 0.0,
    };
    Terms {
        workloads: vec![
            workload(terms::Consistency::Session, terms::Effect::Idempotent),
            workload(terms::Consistency::Write, terms::Effect::NonIdempotent),
        ],
        tick: 0.001,
        routers: e.routers,
        max_executions: 4,
        may_cancel: true,
        may_probe: true,
        max_retry_after: 1.0,
        idle_close: 3600.0,
        cold_overload_multiple: 4.0,
        hosts_check_reads: true,
        answers_carry_position: true,
        router_keeps_tokens: true,
        ..Terms::default()
    }
}

fn virtually(e: &Experiment, f: &Figure, way: Way, workers: usize) -> Point {
    let fleet = Fleet::new(plan(e, f, if way == Way::Farm { f.satellites } else { 0 }), EPOCH);
    let terms = deployed(e);
    let of = e.routers as u64;
    let minds = (0..of).map(|n| match way {
        Way::Farm => InstanceDriver::with_policy(Instance::new(&terms, e.seed + n, EPOCH), n, of, 1.0),
        _ => {
            let primaries = (0..f.databases).map(|g| fleet.primary_of(g).unwrap_or(0)).collect();
            InstanceDriver::direct(primaries, n, of)
        }
    });
    let minds = minds.collect();
    let mut world = World::new(fleet, minds, 1.0);
    let from = EPOCH + e.warm;
    let mut clients =
        Workers::new(e.seed, workers, f.databases, e.routers, e.writes, e.wait, EPOCH, from, e.seconds);
    world.run_until(&mut clients, from + e.seconds);
    let t = &clients.tally;
    Point {
        workers,
        mean_ms: t.mean_ms(),
        p90_ms: t.quantile_ms(0.9),
        p99_ms: t.quantile_ms(0.99),
        rate: t.rate(),
        rejected: t.rejected,
        aborted: t.aborted,
    }
}

/// Each point is a world of its own, so they are played side by side.
fn all_virtually(e: &Experiment, f: &Figure, way: Way) -> Vec<Point> {
    std::thread::scope(|scope| {
        let played: Vec<_> =
            f.workers.iter().map(|w| scope.spawn(move || virtually(e, f, way, *w))).collect();
        played.into_iter().map(|p| p.join().expect("no point panics")).collect()
    })
}

/// The same deployment as a rehearsal's script, for the emulator.
fn script(e: &Experiment, f: &Figure) -> Result<Script, String> {
    let cores = vec!["1"; e.cores].join(", ");
    let mut text = format!(
        "title = \"scale-out\"\nseconds = 3600\nmachine \"m\" {{\n  cores = [{cores}]\n  queue = 100000\n  \
         connections = 2000\n  setup_work_ms = 0\n  idle_s = 600\n}}\nnode \"master\" {{ machine = \"m\" }}\n"
    );
    (0..f.satellites).for_each(|n| {
        let _ = writeln!(text, "node \"s{n}\" {{ machine = \"m\" }}");
    });
    for g in 0..f.databases {
        let _ = writeln!(text, "group \"{}\" {{ nodes = [\"master\", \"s{}\"] }}", g + 1, g % f.satellites);
    }
    for (name, consistency, work) in [("read", "session", e.read_work), ("write", "write", e.write_work)] {
        let _ = writeln!(
            text,
            "workload \"{name}\" {{\n  consistency = \"{consistency}\"\n  work_ms = {}\n  slo_ms = {}\n  timeout_ms = {}\n}}",
            work * 1e3,
            e.wait * 200.0,
            e.wait * 1e3
        );
    }
    text.push_str("routers {\n  count = 1\n  memory_mb = 512\n  sockets = 8192\n}\n");
    Script::read("scale-out", &text)
        .map_err(|problems| problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
}

fn on_sockets(e: &Experiment, f: &Figure, program: &Path) -> Result<Vec<Point>, String> {
    let (script, clock) = (script(e, f)?, Clock::anchor());
    let dir = std::env::temp_dir().join(format!("sandstile-scale-out-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
    let (records, lines) = crossbeam_channel::unbounded();
    std::thread::spawn(move || lines.iter().for_each(drop));
    let (emulator, _notes, net) = rehearse::emulator(&script, clock, records).map_err(|e| e.to_string())?;
    let emulator = emulator.spawn().map_err(|e| e.to_string())?;
    let address = rehearse::router_address(net, 0);
    let config = processes::config(&script, 0, address, emulator.agents[0], &emulator.discovery_list(0));
    let mut router = Router::start(program, &dir, 0, &config, None).map_err(|e| e.to_string())?;
    router.wait_ready(Duration::from_secs(10)).map_err(|e| e.to_string())?;
    let mut points = Vec::new();
    for workers in &f.workers {
        let seconds = e.seconds.min(8.0);
        let load = Load {
            targets: vec![address],
            connections: *workers,
            timeout_s: e.wait,
            warm_up_s: 2.0,
            closed_loop: true,
            seconds: seconds + 2.0,
        };
        let mut rng = sandstile_fleet::random::Rng::new(e.seed, "sockets");
        let arrivals = Arrivals::new(Shape::Constant(1.0), load.seconds, e.seed);
        let report = run(&load, arrivals, &mut |n, ms| {
            let (write, group) = (rng.bernoulli(e.writes), rng.below(f.databases) + 1);
            let viewer = n % *workers as u64;
            let (class, verb) = match write {
                true => (
                    "write",
                    format!("INSERT INTO carts (who, what) VALUES ('u{viewer}', '\\x2a') RETURNING what"),
                ),
                false => ("read", format!("SELECT what FROM carts WHERE who = 'u{viewer}'")),
            };
            let id = (n + 1).wrapping_add((*workers as u64) << 40).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            format!("/* id={id:016x},c={class},d={ms},cluster={group} */ {verb}")
        })
        .map_err(|e| format!("the load: {e}"))?;
        if let Some(why) = report.unsound() {
            return Err(why);
        }
        let at = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
        points.push(Point {
            workers: *workers,
            mean_ms: report.latency_from_send_us.mean() / 1e3,
            p90_ms: at(&report.latency_from_send_us, 0.9),
            p99_ms: at(&report.latency_from_send_us, 0.99),
            rate: report.rate(),
            rejected: report.rejected,
            aborted: report.failed + report.unanswered,
        });
        info!("{workers} clients on sockets: {:.0} a second", report.rate());
    }
    router.term();
    router.wait(&clock, Duration::from_secs(5));
    emulator.stop().map_err(|e| e.to_string())?;
    let _ = std::fs::remove_dir_all(dir);
    Ok(points)
}

/// Plays all figures; leaves `scale-out.md` and two charts a figure in `out`.
pub fn play(e: &Experiment, program: &Path, out: &Path, quick: bool) -> Result<String, String> {
    let mut e = e.clone();
    if quick {
        (e.seconds, e.warm) = (e.seconds.min(10.0), e.warm.min(5.0));
    }
    std::fs::create_dir_all(out).map_err(|e| e.to_string())?;
    let mut text = format!(
        "# {}\n\nReads {} ms, writes {} ms of work (exponential), {} cores a machine, {:.0}% writes, {:.0} s counted.\n",
        e.title,
        e.read_work * 1e3,
        e.write_work * 1e3,
        e.cores,
        e.writes * 100.0,
        e.seconds
    );
    for (n, f) in e.figures.iter().enumerate() {
        let mut curves: Vec<(Way, Vec<Point>)> = Vec::new();
        for way in [Way::Alone, Way::Farm] {
            curves.push((way, all_virtually(&e, f, way)));
        }
        if f.sockets {
            curves.push((Way::Sockets, on_sockets(&e, f, program)?));
        }
        let _ = writeln!(
            text,
            "\n## {}: {} databases, {} satellites\n\n\
             | way | clients | completed /s | mean ms | p90 ms | p99 ms | rejected | aborted |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- |",
            f.name, f.databases, f.satellites
        );
        for (way, points) in &curves {
            for p in points {
                let _ = writeln!(
                    text,
                    "| {} | {} | {:.0} | {:.1} | {:.1} | {:.1} | {} | {} |",
                    way.text(),
                    p.workers,
                    p.rate,
                    p.mean_ms,
                    p.p90_ms,
                    p.p99_ms,
                    p.rejected,
                    p.aborted
                );
            }
        }
        let lines = |of: fn(&Point) -> f64| -> Vec<Line> {
            let line = |(way, points): &(Way, Vec<Point>)| Line {
                name: way.text().to_string(),
                points: points.iter().map(|p| (p.workers as f64, of(p))).collect(),
            };
            curves.iter().map(line).collect()
        };
        let title = format!("{}: mean response time", f.name);
        let time = charts::lines(&title, "clients", "milliseconds (log)", &lines(|p| p.mean_ms), true)?;
        let title = format!("{}: throughput", f.name);
        let rate =
            charts::lines(&title, "clients", "statements completed a second", &lines(|p| p.rate), false)?;
        for (kind, svg) in [("time", time), ("rate", rate)] {
            let path = out.join(format!("scale-out-{}-{kind}.svg", n + 1));
            std::fs::write(&path, svg).map_err(|e| format!("{}: {e}", path.display()))?;
        }
    }
    let path = out.join("scale-out.md");
    std::fs::write(&path, &text).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(text)
}

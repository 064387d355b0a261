//! The paper's own experiment: many small databases whose primaries are all on one machine, without and with satellites
//! that hold a copy each. Played in virtual time with the real decision module, and on a smaller scale on sockets.
use crate::charts::{self, Curve};
use crate::rehearse;
use crate::router_process::{self, Router};
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

/// One setting: the numbers of databases and satellites, and the numbers of clients at which it is measured.
#[derive(Clone, Debug)]
pub struct Figure {
    pub name: String,
    pub databases: usize,
    pub satellites: usize,
    pub workers: Vec<usize>,
    /// Whether to measure it on sockets too.
    pub sockets: bool,
}

#[derive(Clone, Debug)]
pub struct Experiment {
    pub title: String,
    pub seed: u64,
    /// Seconds that are counted, and seconds of warm-up before them.
    pub seconds: f64,
    pub warm: f64,
    /// The clients' timeout in seconds.
    pub wait: f64,
    /// The share of statements that write.
    pub writes: f64,
    /// Work of a statement, in seconds.
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
            let root = Section::root(&source, &body);
            let figures = root.blocks("figure", true);
            let figures = figures.iter().map(|block| {
                let figure = Figure {
                    name: block.name.clone(),
                    databases: block.count("databases", 1.0..10_000.0, 100),
                    satellites: block.count("satellites", 1.0..1000.0, 10),
                    workers: block
                        .numbers("workers", 1.0..100_000.0)
                        .unwrap_or_default()
                        .into_iter()
                        .map(|n| n as usize)
                        .collect(),
                    sockets: block.boolean("sockets", false),
                };
                if figure.workers.is_empty() {
                    block.problem(
                        "workers",
                        "at least one number of clients is required",
                        Some("workers = [50, 100]".to_string()),
                    );
                }
                block.finish();
                figure
            });
            let experiment = Experiment {
                figures: figures.collect(),
                title: root.required_text("title"),
                seed: root.count("seed", 0.0..1e15, 1) as u64,
                seconds: root.number("seconds", 1.0..3600.0, 60.0),
                warm: root.number("warm_s", 0.0..600.0, 10.0),
                wait: root.number("wait_s", 0.1..600.0, 20.0),
                writes: root.number("writes", 0.0..1.0, 0.2),
                read_work: root.required_number("read_ms", 0.01..10_000.0) / 1e3,
                write_work: root.required_number("write_ms", 0.01..10_000.0) / 1e3,
                cores: root.count("cores", 1.0..64.0, 2),
                routers: root.count("routers", 1.0..100.0, 1),
            };
            root.finish();
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
enum Setup {
    /// Clients connect to the master directly, as in the paper's first measurement.
    MasterAlone,
    /// Through routers, with satellites.
    Satellites,
    Sockets,
}

impl Setup {
    fn label(self) -> &'static str {
        match self {
            Setup::MasterAlone => "master alone, no router (virtual)",
            Setup::Satellites => "with satellites (virtual)",
            Setup::Sockets => "with satellites (sockets)",
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

fn plan(experiment: &Experiment, figure: &Figure, satellites: usize) -> Plan {
    let kind = |name: &str| MachineKind {
        cores: vec![1.0; experiment.cores],
        queue: 1_000_000,
        connections: 1_000_000,
        idle_timeout_s: 3600.0,
        setup_work: 0.0,
        ..MachineKind::standard(name)
    };
    let node = |name: String, kind| Node { name, zone: String::new(), kind };
    let mut nodes = vec![node("master".to_string(), 0)];
    nodes.extend((0..satellites).map(|n| node(format!("satellite-{n}"), 1)));
    // One copy of each database, spread evenly, as in the paper.
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
        seed: experiment.seed,
        kinds: vec![kind("master"), kind("satellite")],
        nodes,
        groups: (0..figure.databases).map(group).collect(),
        workloads: vec![
            workload("read", Consistency::Session, Effect::Idempotent, experiment.read_work),
            workload("write", Consistency::Write, Effect::NonIdempotent, experiment.write_work),
        ],
        tokens: Tokens::Remembered,
        hosts_check_reads: true,
    }
}

fn policy_terms(experiment: &Experiment) -> Terms {
    let workload = |consistency, effect| terms::Workload {
        slo: experiment.wait / 5.0,
        timeout: experiment.wait,
        importance: 1.0,
        late_share: 0.5,
        effect,
        dedup_scope: DedupScope::Group,
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
        routers: experiment.routers,
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

fn simulate(experiment: &Experiment, figure: &Figure, setup: Setup, workers: usize) -> Point {
    let fleet = Fleet::new(
        plan(experiment, figure, if setup == Setup::Satellites { figure.satellites } else { 0 }),
        EPOCH,
    );
    let terms = policy_terms(experiment);
    let router_count = experiment.routers as u64;
    let drivers = (0..router_count).map(|n| match setup {
        Setup::Satellites => InstanceDriver::with_policy(
            Instance::new(&terms, experiment.seed + n, EPOCH),
            n,
            router_count,
            1.0,
        ),
        _ => {
            let primaries = (0..figure.databases).map(|g| fleet.primary_of(g).unwrap_or(0)).collect();
            InstanceDriver::direct(primaries, n, router_count)
        }
    });
    let drivers = drivers.collect();
    let mut world = World::new(fleet, drivers, 1.0);
    let counted_from = EPOCH + experiment.warm;
    let mut clients = Workers::new(
        experiment.seed,
        workers,
        figure.databases,
        experiment.routers,
        experiment.writes,
        experiment.wait,
        EPOCH,
        counted_from,
        experiment.seconds,
    );
    world.run_until(&mut clients, counted_from + experiment.seconds);
    let tally = &clients.tally;
    Point {
        workers,
        mean_ms: tally.mean_ms(),
        p90_ms: tally.quantile_ms(0.9),
        p99_ms: tally.quantile_ms(0.99),
        rate: tally.rate(),
        rejected: tally.rejected,
        aborted: tally.aborted,
    }
}

/// Simulates all points of a figure in parallel, since they are independent.
fn simulate_all(experiment: &Experiment, figure: &Figure, setup: Setup) -> Vec<Point> {
    std::thread::scope(|scope| {
        let threads: Vec<_> = figure
            .workers
            .iter()
            .map(|workers| scope.spawn(move || simulate(experiment, figure, setup, *workers)))
            .collect();
        threads.into_iter().map(|p| p.join().expect("no point panics")).collect()
    })
}

/// The same deployment as a rehearsal script, for the emulator.
fn emulator_script(experiment: &Experiment, figure: &Figure) -> Result<Script, String> {
    let cores = vec!["1"; experiment.cores].join(", ");
    let mut text = format!(
        "title = \"scale-out\"\nseconds = 3600\nmachine \"m\" {{\n  cores = [{cores}]\n  queue = 100000\n  \
         connections = 2000\n  setup_work_ms = 0\n  idle_s = 600\n}}\nnode \"master\" {{ machine = \"m\" }}\n"
    );
    (0..figure.satellites).for_each(|n| {
        let _ = writeln!(text, "node \"s{n}\" {{ machine = \"m\" }}");
    });
    for g in 0..figure.databases {
        let _ =
            writeln!(text, "group \"{}\" {{ nodes = [\"master\", \"s{}\"] }}", g + 1, g % figure.satellites);
    }
    for (name, consistency, work) in
        [("read", "session", experiment.read_work), ("write", "write", experiment.write_work)]
    {
        let _ = writeln!(
            text,
            "workload \"{name}\" {{\n  consistency = \"{consistency}\"\n  work_ms = {}\n  slo_ms = {}\n  timeout_ms = {}\n}}",
            work * 1e3,
            experiment.wait * 200.0,
            experiment.wait * 1e3
        );
    }
    text.push_str("routers {\n  count = 1\n  memory_mb = 512\n  sockets = 8192\n}\n");
    Script::read("scale-out", &text)
        .map_err(|problems| problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
}

fn on_sockets(experiment: &Experiment, figure: &Figure, program: &Path) -> Result<Vec<Point>, String> {
    let (script, clock) = (emulator_script(experiment, figure)?, Clock::anchor());
    let dir = std::env::temp_dir().join(format!("sandstile-scale-out-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
    let (records, lines) = crossbeam_channel::unbounded();
    std::thread::spawn(move || lines.iter().for_each(drop));
    let (emulator, _notifications, net) =
        rehearse::new_emulator(&script, clock, records).map_err(|e| e.to_string())?;
    let emulator = emulator.spawn().map_err(|e| e.to_string())?;
    let address = rehearse::router_address(net, 0);
    let config = router_process::config(&script, 0, address, emulator.agents[0], &emulator.discovery_list(0));
    let mut router = Router::start(program, &dir, 0, &config, None).map_err(|e| e.to_string())?;
    router.wait_ready(Duration::from_secs(10)).map_err(|e| e.to_string())?;
    let mut points = Vec::new();
    for workers in &figure.workers {
        let seconds = experiment.seconds.min(8.0);
        let load = Load {
            targets: vec![address],
            connections: *workers,
            timeout_s: experiment.wait,
            warm_up_s: 2.0,
            closed_loop: true,
            seconds: seconds + 2.0,
        };
        let mut rng = sandstile_fleet::random::Rng::new(experiment.seed, "sockets");
        let arrivals = Arrivals::new(Shape::Constant(1.0), load.seconds, experiment.seed);
        let report = run(&load, arrivals, &mut |n, timeout_ms| {
            let (write, group) = (rng.bernoulli(experiment.writes), rng.below(figure.databases) + 1);
            let viewer = n % *workers as u64;
            let (class, sql) = match write {
                true => (
                    "write",
                    format!("INSERT INTO carts (who, what) VALUES ('u{viewer}', '\\x2a') RETURNING what"),
                ),
                false => ("read", format!("SELECT what FROM carts WHERE who = 'u{viewer}'")),
            };
            let id = (n + 1).wrapping_add((*workers as u64) << 40).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            format!("/* id={id:016x},c={class},d={timeout_ms},cluster={group} */ {sql}")
        })
        .map_err(|e| format!("the load: {e}"))?;
        if let Some(reason) = report.unsound() {
            return Err(reason);
        }
        let quantile_ms = |latency: &Histogram<u64>, q: f64| latency.value_at_quantile(q) as f64 / 1e3;
        points.push(Point {
            workers: *workers,
            mean_ms: report.latency_from_send_us.mean() / 1e3,
            p90_ms: quantile_ms(&report.latency_from_send_us, 0.9),
            p99_ms: quantile_ms(&report.latency_from_send_us, 0.99),
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

/// Plays all figures; writes `scale-out.md` and two charts for each figure to `out`, and returns the text.
pub fn play(experiment: &Experiment, program: &Path, out: &Path, quick: bool) -> Result<String, String> {
    let mut experiment = experiment.clone();
    if quick {
        (experiment.seconds, experiment.warm) = (experiment.seconds.min(10.0), experiment.warm.min(5.0));
    }
    std::fs::create_dir_all(out).map_err(|e| e.to_string())?;
    let mut text = format!(
        "# {}\n\nReads {} ms, writes {} ms of work (exponential), {} cores a machine, {:.0}% writes, {:.0} s counted.\n",
        experiment.title,
        experiment.read_work * 1e3,
        experiment.write_work * 1e3,
        experiment.cores,
        experiment.writes * 100.0,
        experiment.seconds
    );
    for (n, figure) in experiment.figures.iter().enumerate() {
        let mut curves: Vec<(Setup, Vec<Point>)> = Vec::new();
        for setup in [Setup::MasterAlone, Setup::Satellites] {
            curves.push((setup, simulate_all(&experiment, figure, setup)));
        }
        if figure.sockets {
            curves.push((Setup::Sockets, on_sockets(&experiment, figure, program)?));
        }
        let _ = writeln!(
            text,
            "\n## {}: {} databases, {} satellites\n\n\
             | way | clients | completed /s | mean ms | p90 ms | p99 ms | rejected | aborted |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- |",
            figure.name, figure.databases, figure.satellites
        );
        for (setup, points) in &curves {
            for p in points {
                let _ = writeln!(
                    text,
                    "| {} | {} | {:.0} | {:.1} | {:.1} | {:.1} | {} | {} |",
                    setup.label(),
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
        let curves_of = |value: fn(&Point) -> f64| -> Vec<Curve> {
            let curve = |(setup, points): &(Setup, Vec<Point>)| Curve {
                name: setup.label().to_string(),
                points: points.iter().map(|p| (p.workers as f64, value(p))).collect(),
            };
            curves.iter().map(curve).collect()
        };
        let title = format!("{}: mean response time", figure.name);
        let time_chart =
            charts::lines(&title, "clients", "milliseconds (log)", &curves_of(|p| p.mean_ms), true)?;
        let title = format!("{}: throughput", figure.name);
        let rate_chart =
            charts::lines(&title, "clients", "statements completed a second", &curves_of(|p| p.rate), false)?;
        for (kind, svg) in [("time", time_chart), ("rate", rate_chart)] {
            let path = out.join(format!("scale-out-{}-{kind}.svg", n + 1));
            std::fs::write(&path, svg).map_err(|e| format!("{}: {e}", path.display()))?;
        }
    }
    let path = out.join("scale-out.md");
    std::fs::write(&path, &text).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(text)
}

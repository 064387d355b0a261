//! The capacity of one router on one core: rising rates of reads and writes against hosts with ample capacity.
use crate::rehearse;
use crate::router_process::{self, Router};
use nix::sched::{sched_getaffinity, sched_setaffinity, CpuSet};
use nix::unistd::Pid;
use sandstile_emulator::Clock;
use sandstile_load::{run, Arrivals, Load, Report, Shape};
use sandstile_scenario::Script;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};
use tracing::{info, warn};

pub struct Options {
    pub router: PathBuf,
    pub rates: Vec<f64>,
    pub seconds: f64,
    /// Numbers of connections to the router; each gets its own rows.
    pub connections: Vec<usize>,
    /// Whether to count system calls too, in a separate run under `strace`.
    pub calls: bool,
    pub core: usize,
    pub config: Option<PathBuf>,
}

/// Four groups of three big machines with very little work, so that the router is the bottleneck.
const SCRIPT_TEMPLATE: &str = r#"
title = "Capacity"
seconds = 3600
machine "big" {
  cores = [8, 8, 8, 8]
  queue = 10000
  connections = 2000
  setup_work_ms = 0
}
GROUPS
workload "read" {
  consistency = "any"
  work_ms = 0.5
  slo_ms = 500
  timeout_ms = 2000
}
workload "own" {
  consistency = "session"
  work_ms = 0.5
  slo_ms = 500
  timeout_ms = 2000
}
workload "write" {
  consistency = "write"
  work_ms = 0.5
  slo_ms = 500
  timeout_ms = 2000
}
routers {
  count = 1
  memory_mb = 512
  sockets = 8192
}
"#;

fn capacity_script() -> Result<Script, String> {
    let mut groups = String::new();
    for g in 1..=4 {
        let nodes: Vec<String> = (1..=3).map(|n| format!("n{g}{n}")).collect();
        for node in &nodes {
            let _ = writeln!(groups, "node \"{node}\" {{ machine = \"big\" }}");
        }
        let _ = writeln!(groups, "group \"{g}\" {{\n  nodes = {nodes:?}\n}}");
    }
    Script::read("capacity", &SCRIPT_TEMPLATE.replace("GROUPS", &groups))
        .map_err(|problems| problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
}

/// The resources that a process has used so far, and those that it holds.
#[derive(Clone, Copy, Default)]
struct ProcessUsage {
    /// Processor time in seconds.
    cpu: f64,
    /// Resident memory in MB.
    memory: f64,
    threads: usize,
    /// Voluntary context switches (the thread waited) and involuntary ones (it was preempted).
    waits: u64,
    preempted: u64,
    descriptors: usize,
}

fn process_usage(pid: u32) -> ProcessUsage {
    let read = |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default();
    let number = |text: &str, name: &str| -> f64 {
        let line = text.lines().find(|l| l.starts_with(name)).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0.0)
    };
    let mut used =
        ProcessUsage { memory: number(&read("status"), "VmRSS:") / 1024.0, ..ProcessUsage::default() };
    for task in std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten() {
        let id = task.file_name();
        let read_task = |name: &str| read(&format!("task/{}/{name}", id.to_string_lossy()));
        let status = read_task("status");
        used.threads += 1;
        used.waits += number(&status, "voluntary_ctxt_switches:") as u64;
        used.preempted += number(&status, "nonvoluntary_ctxt_switches:") as u64;
        // The thread's processor time, in nanoseconds. That of threads that have ended is missing here.
        used.cpu +=
            read_task("schedstat").split(' ').next().and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) / 1e9;
    }
    used.descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
    used
}

/// The processor time of a process in seconds, with a resolution of 10 ms; threads that have ended are included.
fn cpu_seconds(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // User and system time are fields after the process name, which is in parentheses and may contain anything.
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let field = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (field(11) + field(12)) / 100.0
}

/// Starts the router on one core, and moves this process to the others.
fn start_pinned(options: &Options, dir: &Path, config: &serde_json::Value) -> Result<Router, String> {
    let affinity_error = |e: nix::Error| format!("cannot pin to cores: {e}");
    let allowed = sched_getaffinity(Pid::from_raw(0)).map_err(affinity_error)?;
    let (mut router_cores, mut other_cores) = (CpuSet::new(), CpuSet::new());
    let cores: Vec<usize> = (0..CpuSet::count()).filter(|n| allowed.is_set(*n).unwrap_or(false)).collect();
    let core = *cores.get(options.core).ok_or_else(|| format!("there is no core {}", options.core))?;
    router_cores.set(core).map_err(affinity_error)?;
    cores
        .iter()
        .filter(|n| **n != core || cores.len() == 1)
        .try_for_each(|n| other_cores.set(*n))
        .map_err(affinity_error)?;
    // A child process inherits the affinity of the thread that starts it.
    sched_setaffinity(Pid::from_raw(0), &router_cores).map_err(affinity_error)?;
    let router = Router::start(&options.router, dir, 0, config, options.config.as_deref());
    sched_setaffinity(Pid::from_raw(0), &other_cores).map_err(affinity_error)?;
    router.map_err(|e| format!("the router: {e}"))
}

fn load(targets: Vec<SocketAddr>, connections: usize, seconds: f64) -> Load {
    Load {
        targets,
        connections,
        timeout_s: 2.0,
        warm_up_s: (seconds / 4.0).min(2.0),
        closed_loop: false,
        seconds,
    }
}

/// Of five statements three are reads from any host, one reads the session's own writes, one writes.
fn mixed_class(n: u64) -> &'static str {
    ["read", "read", "own", "read", "write"][n as usize % 5]
}

fn read_class(_: u64) -> &'static str {
    "read"
}

fn play(load: &Load, rate: f64, class: &dyn Fn(u64) -> &'static str) -> Result<Report, String> {
    // Statement ids differ between runs.
    let run_number = NEXT_RUN.fetch_add(1, Relaxed);
    let arrivals = Arrivals::new(Shape::Poisson(rate), load.seconds, 1);
    run(load, arrivals, &mut |n, timeout_ms| {
        let (class, group, viewer) = (class(n), n % 4 + 1, n % 977);
        let sql = if class == "write" {
            format!("INSERT INTO clips (viewer, clip) VALUES ('u{viewer}', '\\x2a') RETURNING clip")
        } else {
            format!("SELECT clip FROM clips WHERE viewer = 'u{viewer}'")
        };
        let id = (n + 1).wrapping_add(run_number << 40).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!("/* id={id:016x},c={class},d={timeout_ms},cluster={group} */ {sql}")
    })
    .map_err(|e| format!("the load: {e}"))
}

static NEXT_RUN: AtomicU64 = AtomicU64::new(0);

/// The system calls of a process while `body` runs, by name, most frequent first, as `strace` counts them.
fn count_calls(
    pid: u32,
    dir: &Path,
    body: impl FnOnce() -> Result<(), String>,
) -> Result<Vec<(String, u64)>, String> {
    let output_path = dir.join("calls");
    let mut strace = Command::new("strace")
        .args(["-f", "-c", "-U", "calls,name", "-o"])
        .arg(&output_path)
        .args(["-p", &pid.to_string()])
        .stderr(Stdio::null())
        .spawn()
        .map_err(|e| format!("strace: {e}"))?;
    std::thread::sleep(Duration::from_millis(500));
    let body_result = body();
    nix::sys::signal::kill(Pid::from_raw(strace.id() as i32), nix::sys::signal::Signal::SIGINT)
        .map_err(|e| e.to_string())?;
    strace.wait().map_err(|e| e.to_string())?;
    body_result?;
    let text = std::fs::read_to_string(&output_path).map_err(|e| e.to_string())?;
    let rows = text.lines().filter_map(|line| {
        let mut fields = line.split_whitespace();
        let calls: u64 = fields.next()?.parse().ok()?;
        Some((fields.next()?.to_string(), calls))
    });
    Ok(rows.collect())
}

/// Measures all rates and returns the table, with a row for each rate. A row that shows the limit of the test rig
/// itself is marked.
pub fn measure(options: &Options) -> Result<String, String> {
    let (script, clock) = (capacity_script()?, Clock::anchor());
    let dir = std::env::temp_dir().join(format!("sandstile-capacity-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
    let (records, lines) = crossbeam_channel::unbounded();
    std::thread::spawn(move || lines.iter().for_each(drop));
    let (emulator, _notifications, net) =
        rehearse::new_emulator(&script, clock, records).map_err(|e| e.to_string())?;
    let emulator = emulator.spawn().map_err(|e| e.to_string())?;
    let address = rehearse::router_address(net, 0);
    let config = router_process::config(&script, 0, address, emulator.agents[0], &emulator.discovery_list(0));
    let mut router = start_pinned(options, &dir, &config)?;
    router.wait_ready(Duration::from_secs(10)).map_err(|e| e.to_string())?;
    let mut table = String::from(
        "| connections | offered /s | completed /s | p50 ms | p99 ms | p99.9 ms | rejected | failed | no answer | CPU of one core | us a statement | waits a statement | preempted | threads | descriptors | MB | |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let hosts: Vec<SocketAddr> = emulator.hosts.iter().map(|(_, address)| *address).collect();
    let mut direct_rows = String::new();
    for connections in &options.connections {
        for rate in &options.rates {
            let load = load(vec![address], *connections, options.seconds);
            let (cpu_before, before, started) =
                (cpu_seconds(router.id()), process_usage(router.id()), Instant::now());
            let report = play(&load, *rate, &mixed_class)?;
            let (cpu, after, elapsed_s) = (
                cpu_seconds(router.id()) - cpu_before,
                process_usage(router.id()),
                started.elapsed().as_secs_f64(),
            );
            let quantile_ms = |q: f64| report.latency_from_due_us.value_at_quantile(q) as f64 / 1000.0;
            let statement_count = (rate * options.seconds).max(1.0);
            let note = report.unsound().unwrap_or_default();
            if !note.is_empty() {
                warn!("{rate} a second: {note}");
            }
            // Counts of threads that have ended are lost, so a router that starts and ends threads shows too few.
            let per_statement =
                |after: u64, before: u64| after.saturating_sub(before) as f64 / statement_count;
            let _ = writeln!(
                table,
                "| {connections} | {rate:.0} | {:.0} | {:.2} | {:.2} | {:.2} | {} | {} | {} | {:.2} | {:.0} | {:.2} | {:.2} | {} | {} | {:.1} | {note} |",
                report.rate(),
                quantile_ms(0.5),
                quantile_ms(0.99),
                quantile_ms(0.999),
                report.rejected,
                report.failed,
                report.unanswered,
                cpu / elapsed_s,
                1e6 * cpu / statement_count,
                per_statement(after.waits, before.waits),
                per_statement(after.preempted, before.preempted),
                after.threads,
                after.descriptors,
                after.memory,
            );
            info!("{rate} a second: {:.0} completed, p99 {:.2} ms", report.rate(), quantile_ms(0.99));
            std::thread::sleep(Duration::from_millis(500));
        }
        let rate = options.rates[options.rates.len() / 2];
        let [by_router, by_hosts] = [vec![address], hosts.clone()]
            .map(|targets| play(&load(targets, *connections, options.seconds), rate, &read_class));
        let (by_router, by_hosts) = (by_router?, by_hosts?);
        let _ = write!(direct_rows, "| {connections} | {rate:.0} |");
        for q in [0.5, 0.99, 0.999] {
            let [with, without] =
                [&by_router, &by_hosts].map(|r| r.latency_from_due_us.value_at_quantile(q) as f64 / 1000.0);
            let _ = write!(direct_rows, " {with:.2} - {without:.2} = {:.2} |", with - without);
        }
        direct_rows.push('\n');
    }
    let _ = writeln!(
        table,
        "\nReads alone, through the router and directly to the hosts, and the difference, in ms:\n\n\
         | connections | offered /s | p50 | p99 | p99.9 |\n| --- | --- | --- | --- | --- |\n{direct_rows}"
    );
    if options.calls {
        let (rate, connections) = (options.rates[0], options.connections[0]);
        match count_calls(router.id(), &dir, || {
            play(&load(vec![address], connections, 3.0), rate, &mixed_class).map(drop)
        }) {
            Ok(calls) => {
                let _ = writeln!(
                    table,
                    "System calls a statement at {rate:.0} a second over {connections} connections: {}",
                    calls
                        .iter()
                        .map(|(name, n)| (name, *n as f64 / (rate * 3.0)))
                        .filter(|(_, n)| *n >= 0.01)
                        .map(|(name, n)| format!("{name} {n:.2}"))
                        .collect::<Vec<_>>()
                        .join(", ")
                );
            }
            Err(reason) => warn!("cannot count system calls: {reason}"),
        }
    }
    router.term();
    router.wait(&clock, Duration::from_secs(5));
    let emulator_summary = emulator.stop().map_err(|e| e.to_string())?;
    let timer_delays_us = &emulator_summary.late_us;
    let _ = writeln!(
        table,
        "\nEmulated hosts' timers late: p50 {} us, p99 {} us.{}",
        timer_delays_us.value_at_quantile(0.5),
        timer_delays_us.value_at_quantile(0.99),
        if emulator_summary.unsound() { " **Unsound: the hosts were the limit.**" } else { "" }
    );
    let _ = std::fs::remove_dir_all(dir);
    Ok(table)
}

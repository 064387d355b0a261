//! How much one router carries on one core: rising rates of reads and writes against hosts that have room for all.
use crate::processes::{self, Router};
use crate::rehearse;
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
    /// Connections to the router, a table's part each.
    pub connections: Vec<usize>,
    /// Also count system calls, by a run of its own under `strace`.
    pub calls: bool,
    pub core: usize,
    pub config: Option<PathBuf>,
}

/// Four groups of three big machines, and hardly any work: what is slow is the router.
const FLEET: &str = r#"
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

fn script() -> Result<Script, String> {
    let mut groups = String::new();
    for g in 1..=4 {
        let nodes: Vec<String> = (1..=3).map(|n| format!("n{g}{n}")).collect();
        for node in &nodes {
            let _ = writeln!(groups, "node \"{node}\" {{ machine = \"big\" }}");
        }
        let _ = writeln!(groups, "group \"{g}\" {{\n  nodes = {nodes:?}\n}}");
    }
    Script::read("capacity", &FLEET.replace("GROUPS", &groups))
        .map_err(|problems| problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
}

/// What a process has used so far, and what it holds.
#[derive(Clone, Copy, Default)]
struct Used {
    /// Seconds of processor time.
    cpu: f64,
    /// Resident memory in MB.
    memory: f64,
    threads: usize,
    /// Switches that its threads made as they waited, and those made to them.
    waits: u64,
    preempted: u64,
    descriptors: usize,
}

fn used(pid: u32) -> Used {
    let read = |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default();
    let number = |text: &str, name: &str| -> f64 {
        let line = text.lines().find(|l| l.starts_with(name)).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0.0)
    };
    let mut used = Used { memory: number(&read("status"), "VmRSS:") / 1024.0, ..Used::default() };
    for task in std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten() {
        let id = task.file_name();
        let of = |name: &str| read(&format!("task/{}/{name}", id.to_string_lossy()));
        let status = of("status");
        used.threads += 1;
        used.waits += number(&status, "voluntary_ctxt_switches:") as u64;
        used.preempted += number(&status, "nonvoluntary_ctxt_switches:") as u64;
        // The time that it ran, in nanoseconds. What an ended thread used is lost here.
        used.cpu +=
            of("schedstat").split(' ').next().and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0) / 1e9;
    }
    used.descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
    used
}

/// A process's own count of its time, ended threads included, in ticks of 10 ms.
fn ticks(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // Behind the name, which may hold anything, in parentheses; user and system time.
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / 100.0
}

/// Starts the router on one core and keeps everything else off it.
fn pinned(wanted: &Options, dir: &Path, config: &serde_json::Value) -> Result<Router, String> {
    let told = |e: nix::Error| format!("cores: {e}");
    let all = sched_getaffinity(Pid::from_raw(0)).map_err(told)?;
    let (mut one, mut others) = (CpuSet::new(), CpuSet::new());
    let cores: Vec<usize> = (0..CpuSet::count()).filter(|n| all.is_set(*n).unwrap_or(false)).collect();
    let core = *cores.get(wanted.core).ok_or_else(|| format!("there is no core {}", wanted.core))?;
    one.set(core).map_err(told)?;
    cores
        .iter()
        .filter(|n| **n != core || cores.len() == 1)
        .try_for_each(|n| others.set(*n))
        .map_err(told)?;
    // A child begins on the cores of the thread that starts it.
    sched_setaffinity(Pid::from_raw(0), &one).map_err(told)?;
    let router = Router::start(&wanted.router, dir, 0, config, wanted.config.as_deref());
    sched_setaffinity(Pid::from_raw(0), &others).map_err(told)?;
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

/// Three in five reads of any host, one own read, one write.
fn mixed(n: u64) -> &'static str {
    ["read", "read", "own", "read", "write"][n as usize % 5]
}

fn reads(_: u64) -> &'static str {
    "read"
}

fn play(load: &Load, rate: f64, class: &dyn Fn(u64) -> &'static str) -> Result<Report, String> {
    // No two runs name a statement alike.
    let run_no = RUNS.fetch_add(1, Relaxed);
    let arrivals = Arrivals::new(Shape::Poisson(rate), load.seconds, 1);
    run(load, arrivals, &mut |n, ms| {
        let (class, group, viewer) = (class(n), n % 4 + 1, n % 977);
        let verb = if class == "write" {
            format!("INSERT INTO clips (viewer, clip) VALUES ('u{viewer}', '\\x2a') RETURNING clip")
        } else {
            format!("SELECT clip FROM clips WHERE viewer = 'u{viewer}'")
        };
        let id = (n + 1).wrapping_add(run_no << 40).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!("/* id={id:016x},c={class},d={ms},cluster={group} */ {verb}")
    })
    .map_err(|e| format!("the load: {e}"))
}

static RUNS: AtomicU64 = AtomicU64::new(0);

/// The system calls of a process while `body` runs, by name, most first, as `strace` counts them.
fn calls(
    pid: u32,
    dir: &Path,
    body: impl FnOnce() -> Result<(), String>,
) -> Result<Vec<(String, u64)>, String> {
    let out = dir.join("calls");
    let mut trace = Command::new("strace")
        .args(["-f", "-c", "-U", "calls,name", "-o"])
        .arg(&out)
        .args(["-p", &pid.to_string()])
        .stderr(Stdio::null())
        .spawn()
        .map_err(|e| format!("strace: {e}"))?;
    std::thread::sleep(Duration::from_millis(500));
    let played = body();
    nix::sys::signal::kill(Pid::from_raw(trace.id() as i32), nix::sys::signal::Signal::SIGINT)
        .map_err(|e| e.to_string())?;
    trace.wait().map_err(|e| e.to_string())?;
    played?;
    let text = std::fs::read_to_string(&out).map_err(|e| e.to_string())?;
    let rows = text.lines().filter_map(|line| {
        let mut words = line.split_whitespace();
        let calls: u64 = words.next()?.parse().ok()?;
        Some((words.next()?.to_string(), calls))
    });
    Ok(rows.collect())
}

/// The table, a row a rate. Rows that are the rig's own limit say so.
pub fn measure(wanted: &Options) -> Result<String, String> {
    let (script, clock) = (script()?, Clock::anchor());
    let dir = std::env::temp_dir().join(format!("sandstile-capacity-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
    let (records, lines) = crossbeam_channel::unbounded();
    std::thread::spawn(move || lines.iter().for_each(drop));
    let (emulator, _notes, net) = rehearse::emulator(&script, clock, records).map_err(|e| e.to_string())?;
    let emulator = emulator.spawn().map_err(|e| e.to_string())?;
    let address = rehearse::router_address(net, 0);
    let config = processes::config(&script, 0, address, emulator.agents[0], &emulator.discovery_list(0));
    let mut router = pinned(wanted, &dir, &config)?;
    router.wait_ready(Duration::from_secs(10)).map_err(|e| e.to_string())?;
    let mut table = String::from(
        "| connections | offered /s | completed /s | p50 ms | p99 ms | p99.9 ms | rejected | failed | no answer | CPU of one core | us a statement | waits a statement | preempted | threads | descriptors | MB | |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let replicas: Vec<SocketAddr> = emulator.hosts.iter().map(|(_, address)| *address).collect();
    let mut direct = String::new();
    for connections in &wanted.connections {
        for rate in &wanted.rates {
            let load = load(vec![address], *connections, wanted.seconds);
            let (at, before, begun) = (ticks(router.id()), used(router.id()), Instant::now());
            let report = play(&load, *rate, &mixed)?;
            let (cpu, now, took) =
                (ticks(router.id()) - at, used(router.id()), begun.elapsed().as_secs_f64());
            let at = |q: f64| report.latency_from_due_us.value_at_quantile(q) as f64 / 1000.0;
            let all = (rate * wanted.seconds).max(1.0);
            let note = report.unsound().unwrap_or_default();
            if !note.is_empty() {
                warn!("{rate} a second: {note}");
            }
            // Threads that have ended took their counts along: a router that makes them has none here.
            let each = |now: u64, before: u64| now.saturating_sub(before) as f64 / all;
            let _ = writeln!(
                table,
                "| {connections} | {rate:.0} | {:.0} | {:.2} | {:.2} | {:.2} | {} | {} | {} | {:.2} | {:.0} | {:.2} | {:.2} | {} | {} | {:.1} | {note} |",
                report.rate(),
                at(0.5),
                at(0.99),
                at(0.999),
                report.rejected,
                report.failed,
                report.unanswered,
                cpu / took,
                1e6 * cpu / all,
                each(now.waits, before.waits),
                each(now.preempted, before.preempted),
                now.threads,
                now.descriptors,
                now.memory,
            );
            info!("{rate} a second: {:.0} completed, p99 {:.2} ms", report.rate(), at(0.99));
            std::thread::sleep(Duration::from_millis(500));
        }
        let rate = wanted.rates[wanted.rates.len() / 2];
        let [by_router, by_hosts] = [vec![address], replicas.clone()]
            .map(|targets| play(&load(targets, *connections, wanted.seconds), rate, &reads));
        let (by_router, by_hosts) = (by_router?, by_hosts?);
        let _ = write!(direct, "| {connections} | {rate:.0} |");
        for q in [0.5, 0.99, 0.999] {
            let [with, without] =
                [&by_router, &by_hosts].map(|r| r.latency_from_due_us.value_at_quantile(q) as f64 / 1000.0);
            let _ = write!(direct, " {with:.2} - {without:.2} = {:.2} |", with - without);
        }
        direct.push('\n');
    }
    let _ = writeln!(
        table,
        "\nReads alone, by the router and straight to the hosts, what the router adds in ms:\n\n\
         | connections | offered /s | p50 | p99 | p99.9 |\n| --- | --- | --- | --- | --- |\n{direct}"
    );
    if wanted.calls {
        let (rate, connections) = (wanted.rates[0], wanted.connections[0]);
        match calls(router.id(), &dir, || {
            play(&load(vec![address], connections, 3.0), rate, &mixed).map(drop)
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
            Err(what) => warn!("system calls: {what}"),
        }
    }
    router.term();
    router.wait(&clock, Duration::from_secs(5));
    let rig = emulator.stop().map_err(|e| e.to_string())?;
    let late = &rig.late_us;
    let _ = writeln!(
        table,
        "\nEmulated hosts' timers late: p50 {} us, p99 {} us.{}",
        late.value_at_quantile(0.5),
        late.value_at_quantile(0.99),
        if rig.unsound() { " **Unsound: the hosts were the limit.**" } else { "" }
    );
    let _ = std::fs::remove_dir_all(dir);
    Ok(table)
}

//! How much one router carries on one core: rising rates of reads and writes against hosts that have room for all.
use crate::processes::{self, Router};
use crate::rehearse;
use nix::sched::{sched_getaffinity, sched_setaffinity, CpuSet};
use nix::unistd::Pid;
use sandstile_emulator::Clock;
use sandstile_load::{run, Arrivals, Load, Shape};
use sandstile_scenario::Script;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tracing::{info, warn};

pub struct Wanted {
    pub router: PathBuf,
    pub rates: Vec<f64>,
    pub seconds: f64,
    pub connections: usize,
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

/// CPU seconds that a process has used, and its resident memory in MB.
fn used(pid: u32) -> (f64, f64) {
    let read = |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).unwrap_or_default();
    let stat = read("stat");
    // Behind the name, which may hold anything, in parentheses; user and system time in ticks of 10 ms.
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    let status = read("status");
    let memory = status.lines().find(|l| l.starts_with("VmRSS")).unwrap_or("").split_whitespace().nth(1);
    ((ticks(11) + ticks(12)) / 100.0, memory.and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0)
}

/// Starts the router on one core and keeps everything else off it.
fn pinned(wanted: &Wanted, dir: &Path, config: &serde_json::Value) -> Result<Router, String> {
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

/// The table, a row a rate. Rows that are the rig's own limit say so.
pub fn measure(wanted: &Wanted) -> Result<String, String> {
    let (script, clock) = (script()?, Clock::anchor());
    let dir = std::env::temp_dir().join(format!("sandstile-capacity-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
    let (records, lines) = crossbeam_channel::unbounded();
    std::thread::spawn(move || lines.iter().for_each(drop));
    let (emulator, _notes, net) = rehearse::emulator(&script, clock, records).map_err(|e| e.to_string())?;
    let emulator = emulator.spawn().map_err(|e| e.to_string())?;
    let address = rehearse::router_address(net, 0);
    let config = processes::config(&script, 0, address, emulator.agents[0], &emulator.known());
    let mut router = pinned(wanted, &dir, &config)?;
    router.wait_ready(Duration::from_secs(10)).map_err(|e| e.to_string())?;
    let mut table = String::from(
        "| offered /s | completed /s | p50 ms | p99 ms | p99.9 ms | rejected | failed | no answer | CPU of one core | us a statement | MB | |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for rate in &wanted.rates {
        let load = Load {
            targets: vec![address],
            connections: wanted.connections,
            patience: 2.0,
            warm_up: (wanted.seconds / 4.0).min(2.0),
            closed: false,
            seconds: wanted.seconds,
        };
        let arrivals = Arrivals::new(Shape::Poisson(*rate), wanted.seconds, 1);
        let before = (used(router.id()).0, Instant::now());
        let report = run(&load, arrivals, &mut |n, ms| {
            let (class, group, viewer) =
                (["read", "read", "own", "read", "write"][n as usize % 5], n % 4 + 1, n % 977);
            let verb = if class == "write" {
                format!("INSERT INTO clips (viewer, clip) VALUES ('u{viewer}', '\\x2a') RETURNING clip")
            } else {
                format!("SELECT clip FROM clips WHERE viewer = 'u{viewer}'")
            };
            let id = (n + 1).wrapping_add((*rate as u64) << 32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            format!("/* id={id:016x},c={class},d={ms},cluster={group} */ {verb}")
        })
        .map_err(|e| format!("the load: {e}"))?;
        let (cpu, memory) = used(router.id());
        let (spent, took) = (cpu - before.0, before.1.elapsed().as_secs_f64());
        let at = |q: f64| report.meant.value_at_quantile(q) as f64 / 1000.0;
        let all = rate * wanted.seconds;
        let note = report.unsound().unwrap_or_default();
        if !note.is_empty() {
            warn!("{rate} a second: {note}");
        }
        let _ = writeln!(
            table,
            "| {rate:.0} | {:.0} | {:.2} | {:.2} | {:.2} | {} | {} | {} | {:.2} | {:.0} | {memory:.0} | {note} |",
            report.rate(),
            at(0.5),
            at(0.99),
            at(0.999),
            report.rejected,
            report.failed,
            report.unanswered,
            spent / took,
            1e6 * spent / all.max(1.0)
        );
        info!("{rate} a second: {:.0} completed, p99 {:.2} ms", report.rate(), at(0.99));
        std::thread::sleep(Duration::from_millis(500));
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

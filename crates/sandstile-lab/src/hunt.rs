//! A hunt: fault schedules drawn by seed are played short against real processes and judged; one that fails is shrunk to
//! the least that still fails and kept as a script of its own.
use crate::rehearse::{self, Options as Rehearsal};
use crate::report;
use sandstile_audit::recovery;
use sandstile_faults::schedule::{self, FaultTargets, ScheduledFault};
use sandstile_faults::shrink::Shrinker;
use sandstile_scenario::Script;
use std::fmt::Write as _;
use std::fs;
use std::path::PathBuf;
use tracing::{info, warn};

pub struct Options {
    /// The script that all schedules are added to.
    pub base: PathBuf,
    pub router: PathBuf,
    pub out: PathBuf,
    /// The first schedule's seed; each further one has the next.
    pub seed: u64,
    pub runs: usize,
    /// Faults of one schedule.
    pub size: usize,
    /// Plays that shrinking one schedule may cost.
    pub shrinks: usize,
    /// Hosts have the planted flaw, which is to be found.
    pub plant: bool,
}

/// Processes and sockets are real: what failed once is tried so often before it counts as no failure.
const TRIES: usize = 2;
/// Below this share in the last seconds, behind all faults, service counts as lost for good.
const LOST: f64 = 0.5;
/// Seconds at the end in which no fault is drawn.
const TAIL: f64 = 4.0;
/// And where routers know each other: they are to agree again by then.
const AGREES: f64 = 12.0;

/// What one schedule came to.
struct Played {
    /// Broken rules by word, and what else is wrong.
    wrong: Vec<String>,
    service: f64,
    service_recovery_s: Option<f64>,
    unsound: Option<String>,
}

/// What all of it came to.
pub struct Found {
    pub text: String,
    pub failed: usize,
}

fn text_of(wanted: &Options, base: &str, faults: &[ScheduledFault], seed: u64) -> String {
    let planted = if wanted.plant { "planted = true\n" } else { "" };
    format!("{base}\n# Drawn with seed {seed}.\n{planted}{}", schedule::to_script(faults))
}

fn script(wanted: &Options, text: &str, seed: u64) -> Result<Script, String> {
    let dir = wanted.base.parent().unwrap_or(std::path::Path::new("."));
    let shared = |name: &str| fs::read_to_string(dir.join(name)).map_err(|e| e.to_string());
    let mut script = Script::read_with("drawn", text, &shared)
        .map_err(|p| p.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))?;
    script.plan.seed = seed;
    Ok(script)
}

fn play(wanted: &Options, text: &str, seed: u64) -> Result<Played, String> {
    let script = script(wanted, text, seed)?;
    let out = wanted.out.join("run");
    let summary = rehearse::rehearse(Rehearsal {
        script,
        quick: false,
        router: wanted.router.clone(),
        out: out.clone(),
    })?;
    let trace = report::read(&out)?;
    let mut wrong: Vec<String> = Vec::new();
    for finding in sandstile_audit::judge(&trace)?.iter().filter(|f| f.rule.is_violation()) {
        wrong.push(format!("{}: {}", finding.rule.label(), finding.description));
    }
    let back = recovery(&trace);
    if let Some(service) = sandstile_audit::service(&trace) {
        // The last two seconds but one, by which the last wishes have their end.
        let (mut good, mut all) = (0, 0);
        for w in &service.workloads {
            let n = w.seconds.len().saturating_sub(1);
            for second in &w.seconds[n.saturating_sub(2)..n] {
                (good, all) = (good + second.in_time, all + second.requests);
            }
        }
        if (good as f64) < LOST * all as f64 {
            wrong.push(format!("lost: {good} of {all} in time in the last seconds"));
        }
    }
    // Whoever is there when the last fault is over: all of them are to see just each other, soon.
    if let Some(last) = sandstile_audit::agreement(&trace).epochs.last() {
        if last.agreed_after.is_none() && last.to - last.from > AGREES - 4.0 {
            wrong.push(format!("members: no agreement {:.1} s after {}", last.to - last.from, last.change));
        }
    }
    Ok(Played {
        wrong,
        service: summary.service,
        service_recovery_s: back.service_recovery_s(),
        unsound: summary.unsound,
    })
}

/// Whether it fails, asked more than once where it seems not to.
fn fails(wanted: &Options, text: &str, seed: u64) -> Result<Option<String>, String> {
    for _ in 0..TRIES {
        if let Some(first) = play(wanted, text, seed)?.wrong.into_iter().next() {
            return Ok(Some(first));
        }
    }
    Ok(None)
}

/// Plays all schedules; what fails lies in the folder for results, each as a script.
pub fn hunt(wanted: &Options) -> Result<Found, String> {
    let told = |e: std::io::Error| format!("{}: {e}", wanted.out.display());
    fs::create_dir_all(&wanted.out).map_err(told)?;
    let base = fs::read_to_string(&wanted.base).map_err(|e| format!("{}: {e}", wanted.base.display()))?;
    let plain = script(wanted, &base, wanted.seed)?;
    let zones: Vec<String> = plain.plan.nodes.iter().map(|n| n.zone.clone()).collect();
    let mut field = FaultTargets {
        routers: plain.routers.count,
        groups: plain.plan.groups.iter().map(|g| g.name.clone()).collect(),
        zones,
        from: plain.settle,
        to: (plain.seconds - if plain.routers.members { AGREES } else { TAIL }).max(plain.settle),
        members: plain.routers.members,
    };
    field.zones.sort();
    field.zones.dedup();
    let mut out = String::from(
        "| seed | faults | service | whole after s | verdict |\n| --- | --- | --- | --- | --- |\n",
    );
    let mut failed = 0;
    for run in 0..wanted.runs as u64 {
        let seed = wanted.seed + run;
        let faults = schedule::draw_schedule(&field, wanted.size, seed);
        let text = text_of(wanted, &base, &faults, seed);
        let played = play(wanted, &text, seed)?;
        let whole = match played.service_recovery_s {
            Some(after) if after.is_finite() => format!("{after:.2}"),
            Some(_) => "not before the end".to_string(),
            None => String::new(),
        };
        let verdict = match (&played.unsound, played.wrong.first()) {
            (Some(why), None) => format!("unsound: {why}"),
            (_, None) => "rules whole".to_string(),
            (_, Some(first)) => first.clone(),
        };
        info!(seed, service = played.service, verdict, "played");
        let _ = writeln!(out, "| {seed} | {} | {:.3} | {whole} | {verdict} |", faults.len(), played.service);
        if played.wrong.is_empty() {
            continue;
        }
        failed += 1;
        warn!(seed, "fails: {verdict}");
        let (least, asked) = shrink(wanted, &base, faults, seed)?;
        let path = wanted.out.join(format!("found-{seed}.hcl"));
        fs::write(&path, text_of(wanted, &base, &least, seed)).map_err(told)?;
        let _ = writeln!(
            out,
            "\n{}: {} faults of {} after {asked} plays\n",
            path.display(),
            least.len(),
            wanted.size
        );
        let _ = writeln!(out, "```\n{}```\n", schedule::to_script(&least));
    }
    let _ = writeln!(out, "\n{} schedules of {} faults, {failed} failed", wanted.runs, wanted.size);
    fs::write(wanted.out.join("hunt.md"), &out).map_err(told)?;
    Ok(Found { text: out, failed })
}

fn shrink(
    wanted: &Options,
    base: &str,
    faults: Vec<ScheduledFault>,
    seed: u64,
) -> Result<(Vec<ScheduledFault>, usize), String> {
    let mut shrink = Shrinker::new(faults);
    while shrink.runs() < wanted.shrinks {
        let Some(fewer) = shrink.next_candidate() else { break };
        let failed = fails(wanted, &text_of(wanted, base, &fewer, seed), seed)?;
        info!(seed, faults = fewer.len(), failed, "shrinks");
        shrink.record_result(failed.is_some());
    }
    Ok((shrink.smallest_failing().to_vec(), shrink.runs()))
}

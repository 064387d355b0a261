//! A hunt for faults: short fault schedules are drawn by seed, played against real processes and judged. A schedule that
//! fails is shrunk to the smallest one that still fails, which is written as a script.
use crate::rehearse::{self, Options as RehearsalOptions};
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
    /// Most plays that shrinking one schedule may take.
    pub shrinks: usize,
    /// Whether hosts have the planted flaw, which the hunt has to find.
    pub plant: bool,
}

/// How often a schedule is played before it counts as passing: processes and sockets are real, so failures do not
/// recur in each play.
const MAX_PLAYS: usize = 2;
/// If less than this share is in time in the last seconds, after all faults, service counts as lost for good.
const MIN_SHARE_IN_TIME: f64 = 0.5;
/// Seconds at the end of a schedule in which no fault is drawn.
const FAULT_FREE_END_S: f64 = 4.0;
/// The same with membership: the seconds in which the routers have to agree again.
const AGREEMENT_END_S: f64 = 12.0;

/// The result of one schedule.
struct ScheduleResult {
    /// Broken rules, each with its label, and other failures.
    failures: Vec<String>,
    service: f64,
    service_recovery_s: Option<f64>,
    unsound: Option<String>,
}

/// The result of a hunt.
pub struct HuntResult {
    pub text: String,
    pub failed: usize,
}

fn schedule_text(options: &Options, base: &str, faults: &[ScheduledFault], seed: u64) -> String {
    let planted = if options.plant { "planted = true\n" } else { "" };
    format!("{base}\n# Drawn with seed {seed}.\n{planted}{}", schedule::to_script(faults))
}

fn read_script(options: &Options, text: &str, seed: u64) -> Result<Script, String> {
    let dir = options.base.parent().unwrap_or(std::path::Path::new("."));
    let read_shared = |name: &str| fs::read_to_string(dir.join(name)).map_err(|e| e.to_string());
    let mut script = Script::read_with("drawn", text, &read_shared)
        .map_err(|p| p.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))?;
    script.plan.seed = seed;
    Ok(script)
}

fn play(options: &Options, text: &str, seed: u64) -> Result<ScheduleResult, String> {
    let script = read_script(options, text, seed)?;
    let out = options.out.join("run");
    let summary = rehearse::rehearse(RehearsalOptions {
        script,
        quick: false,
        router: options.router.clone(),
        out: out.clone(),
    })?;
    let trace = report::read(&out)?;
    let mut failures: Vec<String> = Vec::new();
    for finding in sandstile_audit::judge(&trace)?.iter().filter(|f| f.rule.is_violation()) {
        failures.push(format!("{}: {}", finding.rule.label(), finding.description));
    }
    let recovery_report = recovery(&trace);
    if let Some(service) = sandstile_audit::service(&trace) {
        // The two seconds before the last one, whose requests have all ended.
        let (mut in_time, mut total) = (0, 0);
        for workload in &service.workloads {
            let end = workload.seconds.len().saturating_sub(1);
            for second in &workload.seconds[end.saturating_sub(2)..end] {
                (in_time, total) = (in_time + second.in_time, total + second.requests);
            }
        }
        if (in_time as f64) < MIN_SHARE_IN_TIME * total as f64 {
            failures.push(format!("lost: {in_time} of {total} in time in the last seconds"));
        }
    }
    // After the last fault all running routers have to see exactly each other within the time for agreement.
    if let Some(last) = sandstile_audit::agreement(&trace).epochs.last() {
        if last.agreed_after.is_none() && last.to - last.from > AGREEMENT_END_S - 4.0 {
            failures.push(format!(
                "members: no agreement {:.1} s after {}",
                last.to - last.from,
                last.change
            ));
        }
    }
    Ok(ScheduleResult {
        failures,
        service: summary.service,
        service_recovery_s: recovery_report.service_recovery_s(),
        unsound: summary.unsound,
    })
}

/// The first failure of a schedule, which is played again if it seems to pass.
fn first_failure(options: &Options, text: &str, seed: u64) -> Result<Option<String>, String> {
    for _ in 0..MAX_PLAYS {
        if let Some(first) = play(options, text, seed)?.failures.into_iter().next() {
            return Ok(Some(first));
        }
    }
    Ok(None)
}

/// Plays all schedules; writes each that fails to the results folder, as a script.
pub fn hunt(options: &Options) -> Result<HuntResult, String> {
    let with_path = |e: std::io::Error| format!("{}: {e}", options.out.display());
    fs::create_dir_all(&options.out).map_err(with_path)?;
    let base = fs::read_to_string(&options.base).map_err(|e| format!("{}: {e}", options.base.display()))?;
    let base_script = read_script(options, &base, options.seed)?;
    let zones: Vec<String> = base_script.plan.nodes.iter().map(|n| n.zone.clone()).collect();
    let mut targets = FaultTargets {
        routers: base_script.routers.count,
        groups: base_script.plan.groups.iter().map(|g| g.name.clone()).collect(),
        zones,
        from: base_script.settle,
        to: (base_script.seconds
            - if base_script.routers.members { AGREEMENT_END_S } else { FAULT_FREE_END_S })
        .max(base_script.settle),
        members: base_script.routers.members,
    };
    targets.zones.sort();
    targets.zones.dedup();
    let mut out = String::from(
        "| seed | faults | service | recovered after s | verdict |\n| --- | --- | --- | --- | --- |\n",
    );
    let mut failed = 0;
    for run in 0..options.runs as u64 {
        let seed = options.seed + run;
        let faults = schedule::draw_schedule(&targets, options.size, seed);
        let text = schedule_text(options, &base, &faults, seed);
        let result = play(options, &text, seed)?;
        let recovery_s = match result.service_recovery_s {
            Some(after) if after.is_finite() => format!("{after:.2}"),
            Some(_) => "not before the end".to_string(),
            None => String::new(),
        };
        let verdict = match (&result.unsound, result.failures.first()) {
            (Some(reason), None) => format!("unsound: {reason}"),
            (_, None) => "all rules kept".to_string(),
            (_, Some(first)) => first.clone(),
        };
        info!(seed, service = result.service, verdict, "played a schedule");
        let _ =
            writeln!(out, "| {seed} | {} | {:.3} | {recovery_s} | {verdict} |", faults.len(), result.service);
        if result.failures.is_empty() {
            continue;
        }
        failed += 1;
        warn!(seed, "schedule fails: {verdict}");
        let (smallest, plays) = shrink(options, &base, faults, seed)?;
        let path = options.out.join(format!("found-{seed}.hcl"));
        fs::write(&path, schedule_text(options, &base, &smallest, seed)).map_err(with_path)?;
        let _ = writeln!(
            out,
            "\n{}: {} faults of {} after {plays} plays\n",
            path.display(),
            smallest.len(),
            options.size
        );
        let _ = writeln!(out, "```\n{}```\n", schedule::to_script(&smallest));
    }
    let _ = writeln!(out, "\n{} schedules of {} faults, {failed} failed", options.runs, options.size);
    fs::write(options.out.join("hunt.md"), &out).map_err(with_path)?;
    Ok(HuntResult { text: out, failed })
}

fn shrink(
    options: &Options,
    base: &str,
    faults: Vec<ScheduledFault>,
    seed: u64,
) -> Result<(Vec<ScheduledFault>, usize), String> {
    let mut shrinker = Shrinker::new(faults);
    while shrinker.runs() < options.shrinks {
        let Some(candidate) = shrinker.next_candidate() else { break };
        let failed = first_failure(options, &schedule_text(options, base, &candidate, seed), seed)?;
        info!(seed, faults = candidate.len(), failed, "shrinking a schedule");
        shrinker.record_result(failed.is_some());
    }
    Ok((shrinker.smallest_failing().to_vec(), shrinker.runs()))
}

//! Plays the runs that an experiment still lacks, and reports what its rows show.
use crate::charts;
use crate::rehearse::{self, Options as RehearsalOptions};
use sandstile_experiment::rows::VERSION;
use sandstile_experiment::{compare_arms, Experiment, Row, Rows};
use sandstile_scenario::Script;
use sandstile_stats::{InterimAnalyses, Verdict};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::fs::{self, OpenOptions};
use std::io::Write as _;
use std::path::{Path, PathBuf};
use tracing::{info, warn};

pub struct Options {
    pub file: PathBuf,
    pub text: String,
    pub out: PathBuf,
    pub router: PathBuf,
    pub quick: bool,
    pub pairs: Option<usize>,
}

/// How often an arm of a pair is run at most until one run is sound.
const MAX_RUNS_PER_ARM: usize = 3;

fn problems(problems: &[sandstile_scenario::Problem]) -> String {
    problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// What the report needs besides the rows.
fn metadata(options: &Options, pairs: usize) -> Value {
    serde_json::json!({"file": options.file.display().to_string(), "text": options.text, "quick": options.quick, "pairs": pairs})
}

pub fn run(options: &Options) -> Result<String, String> {
    let name = options.file.display().to_string();
    let experiment = Experiment::read(&name, &options.text).map_err(|p| problems(&p))?;
    let script = rehearse::read_script(Path::new(&experiment.script))?;
    let pairs =
        options.pairs.unwrap_or(if options.quick { experiment.quick_pairs } else { experiment.pairs });
    let with_path = |e: std::io::Error| format!("{}: {e}", options.out.display());
    fs::create_dir_all(&options.out).map_err(with_path)?;
    fs::write(options.out.join("experiment.json"), metadata(options, pairs).to_string())
        .map_err(with_path)?;
    let rows_path = options.out.join("rows.jsonl");
    let names: Vec<String> = experiment.arms.iter().map(|a| a.name.clone()).collect();
    let mut interim_analyses = InterimAnalyses::new(experiment.analysis_plan(pairs));
    let completed_pairs = rows(&rows_path, &experiment, options.quick).complete_pairs(&names);
    interim_analyses.resume(completed_pairs);
    if completed_pairs > 0 {
        info!(pairs = completed_pairs, "resuming a stopped experiment");
    }
    for pair in completed_pairs..pairs {
        for arm in experiment.arm_order(pair) {
            run_arm(options, &experiment, &script, &rows_path, pair, arm)?;
        }
        let rows = rows(&rows_path, &experiment, options.quick);
        if let Some(level) = interim_analyses.level_at(rows.complete_pairs(&names)) {
            let is_decided = |result: &sandstile_experiment::ArmResult| {
                result
                    .results
                    .first()
                    .is_some_and(|comparison| matches!(comparison.verdict, Verdict::Better | Verdict::Worse))
            };
            let results = compare_arms(&experiment, &rows, level);
            if results.iter().skip(1).all(is_decided) && pair + 1 < pairs {
                info!(pairs = pair + 1, "all arms differ from the first: stopping early");
                break;
            }
        }
    }
    report(&options.out)
}

fn rows(path: &Path, experiment: &Experiment, quick: bool) -> Rows {
    Rows::read(&fs::read_to_string(path).unwrap_or_default(), &experiment.hash, quick)
}

/// Plays one arm of one pair until one run is sound.
fn run_arm(
    options: &Options,
    experiment: &Experiment,
    script: &Script,
    rows_path: &Path,
    pair: usize,
    arm: usize,
) -> Result<(), String> {
    let arm = &experiment.arms[arm];
    loop {
        let rows_so_far = rows(rows_path, experiment, options.quick);
        if rows_so_far.sound_run(pair, &arm.name).is_some() {
            return Ok(());
        }
        if rows_so_far.unsound_runs(pair, &arm.name) >= MAX_RUNS_PER_ARM {
            return Err(format!(
                "pair {pair}, arm {}: no sound run in {MAX_RUNS_PER_ARM} attempts; idle cores are needed",
                arm.name
            ));
        }
        let router = arm.router.as_ref().map_or(options.router.clone(), PathBuf::from);
        let program_bytes = fs::read(&router).map_err(|e| format!("{}: {e}", router.display()))?;
        let seed = experiment.pair_seed(pair);
        let run_dir = options.out.join(format!("run-{}", arm.name));
        info!(pair, arm = arm.name, seed, "playing one arm");
        let rehearsal = RehearsalOptions {
            script: arm.apply_to(script, seed),
            quick: options.quick,
            router,
            out: run_dir.clone(),
        };
        let summary = rehearse::rehearse(rehearsal)?;
        let text = fs::read_to_string(run_dir.join("summary.json")).map_err(|e| e.to_string())?;
        let summary_json: Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        let row = Row {
            version: VERSION,
            experiment: experiment.hash.clone(),
            pair,
            arm: arm.name.clone(),
            seed,
            quick: options.quick,
            program: blake3::hash(&program_bytes).to_hex()[..16].to_string(),
            machine: machine(),
            service: summary.service,
            workloads: workloads(&summary_json),
            seconds: seconds(&summary_json),
            broken: summary.broken,
            returning: recovery_measures(&summary_json),
            unsound: summary.unsound.clone(),
        };
        if let Some(reason) = &row.unsound {
            warn!(pair, arm = arm.name, "unsound: {reason}");
        }
        let line = serde_json::to_string(&row).map_err(|e| e.to_string())? + "\n";
        let mut file =
            OpenOptions::new().create(true).append(true).open(rows_path).map_err(|e| e.to_string())?;
        // If a kill cut off the last line, it is terminated first; otherwise this row would be unreadable too.
        let cut_short = fs::read(rows_path).is_ok_and(|bytes| bytes.last().is_some_and(|b| *b != b'\n'));
        let line = if cut_short { format!("\n{line}") } else { line };
        file.write_all(line.as_bytes()).and_then(|()| file.sync_data()).map_err(|e| e.to_string())?;
    }
}

fn machine() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let memory = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let kb = memory.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    format!("{cores} cores, {} GB", kb >> 20)
}

fn workloads(json: &Value) -> BTreeMap<String, f64> {
    let all = json["workloads"].as_array().into_iter().flatten();
    all.filter_map(|w| Some((w["name"].as_str()?.to_string(), w["service"].as_f64()?))).collect()
}

fn recovery_measures(json: &Value) -> BTreeMap<String, f64> {
    let all = json["returning"].as_object().into_iter().flatten();
    all.filter_map(|(name, value)| Some((name.clone(), value.as_f64()?))).collect()
}

/// The recovery measures by arm: the mean over pairs with its interval, the minimum and the maximum.
fn recovery_table(rows: &Rows, names: &[String], pairs: usize) -> String {
    let runs_of = |arm: &str| -> Vec<&Row> { (0..pairs).filter_map(|p| rows.sound_run(p, arm)).collect() };
    let measures: BTreeSet<&String> =
        names.iter().flat_map(|arm| runs_of(arm)).flat_map(|row| row.returning.keys()).collect();
    if measures.is_empty() {
        return String::new();
    }
    let mut out = String::from(
        "\nReturns (recovery after faults): mean of the given number of runs with its interval (90%), minimum to maximum:\n\n| |",
    );
    names.iter().for_each(|arm| out.push_str(&format!(" {arm} |")));
    out.push_str("\n| --- |");
    names.iter().for_each(|_| out.push_str(" --- |"));
    out.push('\n');
    for measure in measures {
        let _ = write!(out, "| {measure} |");
        for arm in names {
            let mut values: Vec<f64> =
                runs_of(arm).iter().filter_map(|row| row.returning.get(measure).copied()).collect();
            values.sort_by(f64::total_cmp);
            let (Some(min), Some(max)) = (values.first(), values.last()) else {
                out.push_str(" |");
                continue;
            };
            let interval = sandstile_stats::interval(&values, 0.1, 1);
            let interval_text = match interval.low.is_finite() && interval.high.is_finite() {
                true => format!(", {:.2} to {:.2}", interval.low, interval.high),
                false => String::new(),
            };
            let _ = write!(
                out,
                " {:.2} of {}{interval_text} ({min:.2} to {max:.2}) |",
                interval.mean,
                values.len()
            );
        }
        out.push('\n');
    }
    out
}

/// The share of requests answered in time, by second, over all workloads.
fn seconds(json: &Value) -> Vec<f64> {
    let mut sums: Vec<(f64, f64)> = Vec::new();
    for workload in json["workloads"].as_array().into_iter().flatten() {
        for (n, second) in workload["by_second"].as_array().into_iter().flatten().enumerate() {
            if sums.len() <= n {
                sums.resize(n + 1, (0.0, 0.0));
            }
            sums[n].0 += second[0].as_f64().unwrap_or(0.0);
            sums[n].1 += second[1].as_f64().unwrap_or(0.0);
        }
    }
    sums.iter().map(|(requests, in_time)| if *requests > 0.0 { in_time / requests } else { 1.0 }).collect()
}

/// Writes tables, charts and a page from the rows; returns the tables.
pub fn report(dir: &Path) -> Result<String, String> {
    let with_path = |e: std::io::Error| format!("{}: {e}", dir.display());
    let metadata = fs::read_to_string(dir.join("experiment.json")).map_err(with_path)?;
    let metadata: Value = serde_json::from_str(&metadata).map_err(|e| e.to_string())?;
    let (file, text) = (metadata["file"].as_str().unwrap_or(""), metadata["text"].as_str().unwrap_or(""));
    let experiment = Experiment::read(file, text).map_err(|p| problems(&p))?;
    let quick = metadata["quick"].as_bool().unwrap_or(false);
    let rows = rows(&dir.join("rows.jsonl"), &experiment, quick);
    let names: Vec<String> = experiment.arms.iter().map(|a| a.name.clone()).collect();
    let pairs = rows.complete_pairs(&names);
    let planned = metadata["pairs"].as_u64().unwrap_or(0) as usize;
    // The significance level of the interim analysis at this number of pairs; the earlier ones have spent their own
    // share.
    let mut interim_analyses = InterimAnalyses::new(experiment.analysis_plan(planned.max(1)));
    let level =
        (1..=pairs).filter_map(|n| interim_analyses.level_at(n)).last().unwrap_or(experiment.level / 2.0);
    let results = compare_arms(&experiment, &rows, level);
    let mut out = String::new();
    let mode = if quick { ", quick" } else { "" };
    let _ = writeln!(out, "# {}\n", experiment.title);
    let _ = writeln!(
        out,
        "{} by {} arms, {pairs} pairs of {planned}{mode}; sockets on loopback, emulated hosts. False claims allowed: {} in all, {level:.4} at \
         this analysis.\n",
        experiment.script,
        names.len(),
        experiment.level
    );
    out.push_str("| arm | service by importance | runs with a broken rule | against the first | difference | interval |\n");
    out.push_str("| --- | --- | --- | --- | --- | --- |\n");
    for result in &results {
        let _ = write!(out, "| {} | {:.4} | {} |", result.arm, result.service, result.broken);
        match result.results.first() {
            None => out.push_str(" | | |\n"),
            Some(comparison) => {
                let verdict =
                    if result.broken > 0 { "failed: a rule is broken" } else { comparison.verdict.label() };
                let interval = comparison.interval;
                let _ = writeln!(
                    out,
                    " {verdict} | {:+.4} | {} to {} |",
                    interval.mean,
                    format_bound(interval.low),
                    format_bound(interval.high)
                );
            }
        }
    }
    for result in results.iter().filter(|result| !result.results.is_empty()) {
        let _ = writeln!(out, "\n{} against {}:\n\n| workload | verdict | difference | interval | p |\n| --- | --- | --- | --- | --- |", result.arm, names[0]);
        for comparison in &result.results {
            let interval = comparison.interval;
            let _ = writeln!(
                out,
                "| {} | {} | {:+.4} | {} to {} | {:.4} |",
                comparison.name,
                comparison.verdict.label(),
                interval.mean,
                format_bound(interval.low),
                format_bound(interval.high),
                comparison.p
            );
        }
    }
    out.push_str(&recovery_table(&rows, &names, pairs));
    if let Some(row) = rows.rows.first() {
        let _ = writeln!(out, "\nMachine: {}. Unreadable rows: {}.", row.machine, rows.skipped);
    }
    fs::write(dir.join("report.md"), &out).map_err(with_path)?;
    let curves: Vec<(String, Vec<f64>)> =
        names.iter().map(|arm| (arm.clone(), average_by_second(&rows, arm, pairs))).collect();
    let by_second = charts::by_second(&experiment.title, &curves)?;
    let differences: Vec<charts::Bar> = results
        .iter()
        .flat_map(|result| {
            result.results.iter().map(|comparison| charts::Bar {
                name: format!("{}: {}", result.arm, comparison.name),
                low: comparison.interval.low,
                mean: comparison.interval.mean,
                high: comparison.interval.high,
            })
        })
        .collect();
    let intervals = charts::intervals(&format!("Difference from {}", names[0]), &differences)?;
    fs::write(dir.join("by-second.svg"), &by_second).map_err(with_path)?;
    fs::write(dir.join("intervals.svg"), &intervals).map_err(with_path)?;
    fs::write(dir.join("report.html"), charts::page(&experiment.title, &out, &[by_second, intervals]))
        .map_err(with_path)?;
    Ok(out)
}

fn format_bound(value: f64) -> String {
    match value.is_finite() {
        true => format!("{value:+.4}"),
        false => "too few pairs".to_string(),
    }
}

fn average_by_second(rows: &Rows, arm: &str, pairs: usize) -> Vec<f64> {
    let runs: Vec<&Row> = (0..pairs).filter_map(|p| rows.sound_run(p, arm)).collect();
    let seconds = runs.iter().map(|r| r.seconds.len()).max().unwrap_or(0);
    let mean_at = |n: usize| {
        let values: Vec<f64> = runs.iter().filter_map(|r| r.seconds.get(n).copied()).collect();
        sandstile_stats::mean(&values)
    };
    (0..seconds).map(mean_at).collect()
}

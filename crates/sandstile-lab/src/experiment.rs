//! Runs what an experiment still lacks, and reports what its rows say.
use crate::charts;
use crate::rehearse::{self, Options as Rehearsal};
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

/// A run that was not sound is tried again so often.
const TRIES: usize = 3;

fn problems(problems: &[sandstile_scenario::Problem]) -> String {
    problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// What a report needs beside the rows.
fn note(wanted: &Options, pairs: usize) -> Value {
    serde_json::json!({"file": wanted.file.display().to_string(), "text": wanted.text, "quick": wanted.quick, "pairs": pairs})
}

pub fn run(wanted: &Options) -> Result<String, String> {
    let name = wanted.file.display().to_string();
    let experiment = Experiment::read(&name, &wanted.text).map_err(|p| problems(&p))?;
    let script = rehearse::script(Path::new(&experiment.script))?;
    let pairs = wanted.pairs.unwrap_or(if wanted.quick { experiment.quick_pairs } else { experiment.pairs });
    let told = |e: std::io::Error| format!("{}: {e}", wanted.out.display());
    fs::create_dir_all(&wanted.out).map_err(told)?;
    fs::write(wanted.out.join("experiment.json"), note(wanted, pairs).to_string()).map_err(told)?;
    let store = wanted.out.join("rows.jsonl");
    let names: Vec<String> = experiment.arms.iter().map(|a| a.name.clone()).collect();
    let mut looks = InterimAnalyses::new(experiment.analysis_plan(pairs));
    let before = rows(&store, &experiment, wanted.quick).complete_pairs(&names);
    looks.resume(before);
    if before > 0 {
        info!(pairs = before, "goes on where it was stopped");
    }
    for pair in before..pairs {
        for arm in experiment.arm_order(pair) {
            one(wanted, &experiment, &script, &store, pair, arm)?;
        }
        let rows = rows(&store, &experiment, wanted.quick);
        if let Some(level) = looks.level_at(rows.complete_pairs(&names)) {
            let claims = |w: &sandstile_experiment::ArmResult| {
                w.results.first().is_some_and(|j| matches!(j.verdict, Verdict::Better | Verdict::Worse))
            };
            let weighed = compare_arms(&experiment, &rows, level);
            if weighed.iter().skip(1).all(claims) && pair + 1 < pairs {
                info!(pairs = pair + 1, "all arms are told apart: stopping early");
                break;
            }
        }
    }
    report(&wanted.out)
}

fn rows(store: &Path, experiment: &Experiment, quick: bool) -> Rows {
    Rows::read(&fs::read_to_string(store).unwrap_or_default(), &experiment.hash, quick)
}

/// One arm of one pair, until it was run soundly.
fn one(
    wanted: &Options,
    experiment: &Experiment,
    script: &Script,
    store: &Path,
    pair: usize,
    arm: usize,
) -> Result<(), String> {
    let arm = &experiment.arms[arm];
    loop {
        let so_far = rows(store, experiment, wanted.quick);
        if so_far.sound_run(pair, &arm.name).is_some() {
            return Ok(());
        }
        if so_far.unsound_runs(pair, &arm.name) >= TRIES {
            return Err(format!(
                "pair {pair}, arm {}: not one sound run in {TRIES}; idle cores are needed",
                arm.name
            ));
        }
        let router = arm.router.as_ref().map_or(wanted.router.clone(), PathBuf::from);
        let program = fs::read(&router).map_err(|e| format!("{}: {e}", router.display()))?;
        let seed = experiment.pair_seed(pair);
        let out = wanted.out.join(format!("run-{}", arm.name));
        info!(pair, arm = arm.name, seed, "plays");
        let rehearsal =
            Rehearsal { script: arm.apply_to(script, seed), quick: wanted.quick, router, out: out.clone() };
        let summary = rehearse::rehearse(rehearsal)?;
        let text = fs::read_to_string(out.join("summary.json")).map_err(|e| e.to_string())?;
        let json: Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        let row = Row {
            version: VERSION,
            experiment: experiment.hash.clone(),
            pair,
            arm: arm.name.clone(),
            seed,
            quick: wanted.quick,
            program: blake3::hash(&program).to_hex()[..16].to_string(),
            machine: machine(),
            service: summary.service,
            workloads: workloads(&json),
            seconds: seconds(&json),
            broken: summary.broken,
            returning: returning(&json),
            unsound: summary.unsound.clone(),
        };
        if let Some(why) = &row.unsound {
            warn!(pair, arm = arm.name, "unsound: {why}");
        }
        let line = serde_json::to_string(&row).map_err(|e| e.to_string())? + "\n";
        let mut file = OpenOptions::new().create(true).append(true).open(store).map_err(|e| e.to_string())?;
        // A line that a kill cut off is ended first, or this one would be lost with it.
        let begun = fs::read(store).is_ok_and(|bytes| bytes.last().is_some_and(|b| *b != b'\n'));
        let line = if begun { format!("\n{line}") } else { line };
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

fn returning(json: &Value) -> BTreeMap<String, f64> {
    let all = json["returning"].as_object().into_iter().flatten();
    all.filter_map(|(name, value)| Some((name.clone(), value.as_f64()?))).collect()
}

/// What returns came to, by arm: means, with the interval of the mean over pairs and the least and the most.
fn returns(rows: &Rows, names: &[String], pairs: usize) -> String {
    let of = |arm: &str| -> Vec<&Row> { (0..pairs).filter_map(|p| rows.sound_run(p, arm)).collect() };
    let measures: BTreeSet<&String> =
        names.iter().flat_map(|arm| of(arm)).flat_map(|row| row.returning.keys()).collect();
    if measures.is_empty() {
        return String::new();
    }
    let mut out =
        String::from("\nReturns, mean of so many runs with its interval (90%), and least to most:\n\n| |");
    names.iter().for_each(|arm| out.push_str(&format!(" {arm} |")));
    out.push_str("\n| --- |");
    names.iter().for_each(|_| out.push_str(" --- |"));
    out.push('\n');
    for measure in measures {
        let _ = write!(out, "| {measure} |");
        for arm in names {
            let mut values: Vec<f64> =
                of(arm).iter().filter_map(|row| row.returning.get(measure).copied()).collect();
            values.sort_by(f64::total_cmp);
            let (Some(least), Some(most)) = (values.first(), values.last()) else {
                out.push_str(" |");
                continue;
            };
            let i = sandstile_stats::interval(&values, 0.1, 1);
            let ends = match i.low.is_finite() && i.high.is_finite() {
                true => format!(", {:.2} to {:.2}", i.low, i.high),
                false => String::new(),
            };
            let _ = write!(out, " {:.2} of {}{ends} ({least:.2} to {most:.2}) |", i.mean, values.len());
        }
        out.push('\n');
    }
    out
}

/// The share in time by second, over all workloads.
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
    sums.iter().map(|(wishes, good)| if *wishes > 0.0 { good / wishes } else { 1.0 }).collect()
}

/// Tables, charts and a page from what was run; yields the tables.
pub fn report(dir: &Path) -> Result<String, String> {
    let told = |e: std::io::Error| format!("{}: {e}", dir.display());
    let note = fs::read_to_string(dir.join("experiment.json")).map_err(told)?;
    let note: Value = serde_json::from_str(&note).map_err(|e| e.to_string())?;
    let (file, text) = (note["file"].as_str().unwrap_or(""), note["text"].as_str().unwrap_or(""));
    let experiment = Experiment::read(file, text).map_err(|p| problems(&p))?;
    let quick = note["quick"].as_bool().unwrap_or(false);
    let rows = rows(&dir.join("rows.jsonl"), &experiment, quick);
    let names: Vec<String> = experiment.arms.iter().map(|a| a.name.clone()).collect();
    let pairs = rows.complete_pairs(&names);
    let planned = note["pairs"].as_u64().unwrap_or(0) as usize;
    // What looks up to here may spend, the one at these pairs alone: the earlier ones have spent theirs.
    let mut looks = InterimAnalyses::new(experiment.analysis_plan(planned.max(1)));
    let level = (1..=pairs).filter_map(|n| looks.level_at(n)).last().unwrap_or(experiment.level / 2.0);
    let weighed = compare_arms(&experiment, &rows, level);
    let mut out = String::new();
    let mode = if quick { ", quick" } else { "" };
    let _ = writeln!(out, "# {}\n", experiment.title);
    let _ = writeln!(
        out,
        "{} by {} arms, {pairs} pairs of {planned}{mode}; sockets on loopback, emulated hosts. False claims allowed: {} in all, {level:.4} at \
         this look.\n",
        experiment.script,
        names.len(),
        experiment.level
    );
    out.push_str("| arm | service by importance | runs with a broken rule | against the first | difference | interval |\n");
    out.push_str("| --- | --- | --- | --- | --- | --- |\n");
    for w in &weighed {
        let _ = write!(out, "| {} | {:.4} | {} |", w.arm, w.service, w.broken);
        match w.results.first() {
            None => out.push_str(" | | |\n"),
            Some(j) => {
                let word = if w.broken > 0 { "failed: a rule is broken" } else { j.verdict.label() };
                let i = j.interval;
                let _ = writeln!(out, " {word} | {:+.4} | {} to {} |", i.mean, end(i.low), end(i.high));
            }
        }
    }
    for w in weighed.iter().filter(|w| !w.results.is_empty()) {
        let _ = writeln!(out, "\n{} against {}:\n\n| workload | verdict | difference | interval | p |\n| --- | --- | --- | --- | --- |", w.arm, names[0]);
        for j in &w.results {
            let i = j.interval;
            let _ = writeln!(
                out,
                "| {} | {} | {:+.4} | {} to {} | {:.4} |",
                j.name,
                j.verdict.label(),
                i.mean,
                end(i.low),
                end(i.high),
                j.p
            );
        }
    }
    out.push_str(&returns(&rows, &names, pairs));
    if let Some(row) = rows.rows.first() {
        let _ = writeln!(out, "\nMachine: {}. Rows that can't be read: {}.", row.machine, rows.skipped);
    }
    fs::write(dir.join("report.md"), &out).map_err(told)?;
    let curves: Vec<(String, Vec<f64>)> =
        names.iter().map(|arm| (arm.clone(), average(&rows, arm, pairs))).collect();
    let by_second = charts::by_second(&experiment.title, &curves)?;
    let differences: Vec<charts::Bar> = weighed
        .iter()
        .flat_map(|w| {
            w.results.iter().map(|j| charts::Bar {
                name: format!("{}: {}", w.arm, j.name),
                low: j.interval.low,
                mean: j.interval.mean,
                high: j.interval.high,
            })
        })
        .collect();
    let intervals = charts::intervals(&format!("Difference from {}", names[0]), &differences)?;
    fs::write(dir.join("by-second.svg"), &by_second).map_err(told)?;
    fs::write(dir.join("intervals.svg"), &intervals).map_err(told)?;
    fs::write(dir.join("report.html"), charts::page(&experiment.title, &out, &[by_second, intervals]))
        .map_err(told)?;
    Ok(out)
}

fn end(value: f64) -> String {
    match value.is_finite() {
        true => format!("{value:+.4}"),
        false => "too few pairs".to_string(),
    }
}

fn average(rows: &Rows, arm: &str, pairs: usize) -> Vec<f64> {
    let runs: Vec<&Row> = (0..pairs).filter_map(|p| rows.sound_run(p, arm)).collect();
    let most = runs.iter().map(|r| r.seconds.len()).max().unwrap_or(0);
    let at = |n: usize| {
        let there: Vec<f64> = runs.iter().filter_map(|r| r.seconds.get(n).copied()).collect();
        sandstile_stats::mean(&there)
    };
    (0..most).map(at).collect()
}

//! Whether the routers' copies of the replicated state converge: how long after each fault, crash, stop, restart and
//! heal all running routers that can reach each other hold the same state, how long each restarted router takes to be
//! in step, and how many bytes that costs.
use crate::agreement::{epochs, measured_end};
use crate::trace::{RouterState, StateSample, Trace};
use std::collections::BTreeMap;
use std::fmt;

/// Seconds for which a copy may differ from the majority before it counts as diverged. Recent writes are always in
/// transit, and where a session writes again, copies without that write still count the session's former mark.
const PROPAGATION_S: f64 = 0.8;
/// The longest time in seconds between two samples of a running router.
const MAX_SAMPLE_INTERVAL_S: f64 = 1.2;

#[derive(Clone, Debug)]
pub struct ConvergenceEpoch {
    /// Seconds since the beginning of the run.
    pub from: f64,
    pub to: f64,
    /// The event that began this epoch.
    pub change: String,
    /// How many routers run on each side of a partition.
    pub sides: Vec<usize>,
    /// Seconds until the copies of each side were equal and stayed so to the end of the epoch; `None` if they did not.
    pub after_s: Option<f64>,
}

/// One restart of a router; its first start is left out.
#[derive(Clone, Debug)]
pub struct RestartRecovery {
    /// Seconds since the beginning of the run.
    pub at: f64,
    pub router: usize,
    /// Seconds from its first answer until its copy was in step; `None` if that was not before its next fault.
    pub in_step_after: Option<f64>,
    /// The router found an outdated copy on its disk.
    pub old_copy: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Convergence {
    pub epochs: Vec<ConvergenceEpoch>,
    pub starts: Vec<RestartRecovery>,
    /// Bytes a second that a router sent to others: mean and maximum over all routers.
    pub bytes_per_s: (f64, f64),
    pub max_facts: f64,
    pub max_contradictions: f64,
}

impl Convergence {
    pub fn is_empty(&self) -> bool {
        self.epochs.is_empty()
    }

    /// The longest time to equal copies after a change. The first epoch is left out: it is the start of the run.
    pub fn slowest(&self) -> Option<f64> {
        self.epochs.iter().skip(1).filter_map(|e| e.after_s).reduce(f64::max)
    }

    pub fn not_converged(&self) -> usize {
        self.epochs.iter().filter(|e| e.after_s.is_none()).count()
    }

    pub fn slowest_restart(&self) -> Option<f64> {
        self.starts.iter().filter_map(|s| s.in_step_after).reduce(f64::max)
    }
}

/// Evaluates a whole trace; empty if no router has replicated state.
pub fn state_convergence(trace: &Trace) -> Convergence {
    let Some(settings) = trace.settings.as_ref().filter(|_| !trace.state_samples.is_empty()) else {
        return Convergence::default();
    };
    let end = measured_end(trace, settings.end);
    let mut samples: Vec<&StateSample> = trace.state_samples.iter().filter(|c| c.t < end).collect();
    samples.sort_by(|a, b| a.t.total_cmp(&b.t));
    let mut out = Convergence::default();
    for epoch in epochs(trace, settings.begin, end) {
        let (from, to) = (settings.begin + epoch.from, settings.begin + epoch.to);
        // Samples by the time up to which their digests cover the state, then by router.
        let mut rounds: BTreeMap<u64, BTreeMap<usize, &StateSample>> = BTreeMap::new();
        for sample in
            samples.iter().filter(|c| c.t >= from && c.t < to && c.t < c.as_of + MAX_SAMPLE_INTERVAL_S + 1.0)
        {
            rounds.entry((sample.as_of * 1e3) as u64).or_default().insert(sample.router, sample);
        }
        let (mut converged_after, mut differing) = (None, BTreeMap::new());
        for round in rounds.values() {
            let at = round.values().map(|c| c.t).fold(from, f64::max);
            for side in &epoch.sides {
                let digests: Vec<(usize, &str)> =
                    side.iter().filter_map(|n| Some((*n, round.get(n)?.digest.as_str()))).collect();
                let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
                digests.iter().for_each(|(_, digest)| *counts.entry(digest).or_default() += 1);
                let majority = counts.iter().max_by_key(|(_, n)| **n).map(|(digest, _)| *digest);
                for (n, digest) in digests {
                    match Some(digest) == majority {
                        true => drop(differing.remove(&n)),
                        false => drop(differing.entry(n).or_insert(at)),
                    }
                }
            }
            // A router without a sample in this round may hold anything.
            let is_complete = epoch.sides.iter().flatten().all(|n| round.contains_key(n));
            if differing.is_empty() && is_complete {
                converged_after = converged_after.or(Some(at - from));
            } else if differing.values().any(|since| at - since > PROPAGATION_S) {
                converged_after = None;
            }
        }
        out.epochs.push(ConvergenceEpoch {
            from: epoch.from,
            to: epoch.to,
            change: epoch.change,
            sides: epoch.sides.iter().map(|s| s.len()).collect(),
            after_s: converged_after,
        });
    }
    for (at, router, state) in &trace.routers {
        if *state != RouterState::Ready || *at <= settings.begin || *at >= end {
            continue;
        }
        let has_failed = |s: &RouterState| !matches!(s, RouterState::Ready | RouterState::Started);
        let failures = trace.routers.iter().filter(|(t, n, s)| t > at && n == router && has_failed(s));
        let until = failures.map(|(t, ..)| *t).fold(end, f64::min);
        let mut own = samples.iter().filter(|c| c.router == *router && c.t > *at && c.t < until);
        out.starts.push(RestartRecovery {
            at: at - settings.begin,
            router: *router,
            in_step_after: own.clone().find(|c| c.standing == "in step").map(|c| c.t - at),
            old_copy: own.any(|c| c.old_copy),
        });
    }
    let mut sent: BTreeMap<usize, (f64, f64, f64)> = BTreeMap::new();
    for sample in &samples {
        let (last, bytes, _) = sent.entry(sample.router).or_insert((sample.bytes_out, 0.0, sample.t));
        // A new process counts from zero.
        *bytes += if sample.bytes_out >= *last { sample.bytes_out - *last } else { sample.bytes_out };
        *last = sample.bytes_out;
        out.max_facts = out.max_facts.max(sample.facts);
        out.max_contradictions = out.max_contradictions.max(sample.contradictions);
    }
    let rates: Vec<f64> = sent
        .values()
        .map(|(_, bytes, since)| bytes / (end - since).max(1.0))
        .filter(|r| r.is_finite())
        .collect();
    let mean = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
    out.bytes_per_s = (mean, rates.iter().copied().fold(0.0, f64::max));
    out
}

impl fmt::Display for Convergence {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.is_empty() {
            return Ok(());
        }
        writeln!(f, "| from s | change | routers on each side | copies equal after s |")?;
        writeln!(f, "| --- | --- | --- | --- |")?;
        for e in &self.epochs {
            let sides: Vec<String> = e.sides.iter().map(ToString::to_string).collect();
            let after = e.after_s.map_or(format!("not in {:.1}", e.to - e.from), |s| format!("{s:.2}"));
            writeln!(f, "| {:.2} | {} | {} | {after} |", e.from, e.change, sides.join(" + "))?;
        }
        for s in &self.starts {
            let after =
                s.in_step_after.map_or("not in step".to_string(), |s| format!("in step after {s:.2} s"));
            let old = if s.old_copy { "; its disk held an outdated copy" } else { "" };
            writeln!(f, "router {} started at {:.2}: {after}{old}", s.router, s.at)?;
        }
        writeln!(
            f,
            "at most {:.0} facts; {:.0} bytes a second sent per router, {:.0} at most; {:.0} contradictions",
            self.max_facts, self.bytes_per_s.0, self.bytes_per_s.1, self.max_contradictions
        )
    }
}

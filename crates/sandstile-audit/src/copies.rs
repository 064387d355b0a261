//! Whether the copies of the kept state came to one: after each fault, crash, stop, return and heal, how long until all that live and
//! can reach each other hold the same, how long each that starts takes to be in step, and what it costs.
use crate::agreement::{end_of, epochs};
use crate::trace::{RouterState, StateSample, Trace};
use std::collections::BTreeMap;
use std::fmt;

/// Seconds for which a copy may differ from most before it counts as one that does. What was written a moment ago is on its way all
/// the time, and where a session writes again the copies that have not heard of it yet still count its former mark.
const ON_ITS_WAY: f64 = 0.8;
/// Looks of one router are no further apart than this while it runs.
const LOOKS: f64 = 1.2;

#[derive(Clone, Debug)]
pub struct ConvergenceEpoch {
    /// Seconds since the beginning.
    pub from: f64,
    pub to: f64,
    pub change: String,
    pub sides: Vec<usize>,
    /// Seconds until all copies of each side were the same and stayed so; `None` where they were not to the end of it.
    pub after_s: Option<f64>,
}

/// One start, the first ones left out.
#[derive(Clone, Debug)]
pub struct RestartRecovery {
    pub at: f64,
    pub router: usize,
    /// Seconds from its first answer to its copy being in step; `None` where it was not before the next fault of its own.
    pub in_step_after: Option<f64>,
    /// It was seen that what it found on its disk was an old copy.
    pub old_copy: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Convergence {
    pub epochs: Vec<ConvergenceEpoch>,
    pub starts: Vec<RestartRecovery>,
    /// Bytes a second that a router told others: the mean and the most over all routers.
    pub bytes_per_s: (f64, f64),
    pub max_facts: f64,
    pub max_contradictions: f64,
}

impl Convergence {
    pub fn is_empty(&self) -> bool {
        self.epochs.is_empty()
    }

    /// The longest time to one copy after a change, the first left out: that is the start.
    pub fn slowest(&self) -> Option<f64> {
        self.epochs.iter().skip(1).filter_map(|e| e.after_s).reduce(f64::max)
    }

    pub fn not_converged(&self) -> usize {
        self.epochs.iter().filter(|e| e.after_s.is_none()).count()
    }

    pub fn slowest_start(&self) -> Option<f64> {
        self.starts.iter().filter_map(|s| s.in_step_after).reduce(f64::max)
    }
}

/// Looks at a whole trace; nothing where no router keeps state.
pub fn state_convergence(trace: &Trace) -> Convergence {
    let Some(terms) = trace.settings.as_ref().filter(|_| !trace.state_samples.is_empty()) else {
        return Convergence::default();
    };
    let end = end_of(trace, terms.end);
    let mut looks: Vec<&StateSample> = trace.state_samples.iter().filter(|c| c.t < end).collect();
    looks.sort_by(|a, b| a.t.total_cmp(&b.t));
    let mut out = Convergence::default();
    for epoch in epochs(trace, terms.begin, end) {
        let (from, to) = (terms.begin + epoch.from, terms.begin + epoch.to);
        // By the time for which copies are compared: each side's routers, with what they said.
        let mut rounds: BTreeMap<u64, BTreeMap<usize, &StateSample>> = BTreeMap::new();
        for look in looks.iter().filter(|c| c.t >= from && c.t < to && c.t < c.as_of + LOOKS + 1.0) {
            rounds.entry((look.as_of * 1e3) as u64).or_default().insert(look.router, look);
        }
        let (mut alike, mut differ) = (None, BTreeMap::new());
        for held in rounds.values() {
            let at = held.values().map(|c| c.t).fold(from, f64::max);
            for side in &epoch.sides {
                let of: Vec<(usize, &str)> =
                    side.iter().filter_map(|n| Some((*n, held.get(n)?.digest.as_str()))).collect();
                let mut times: BTreeMap<&str, usize> = BTreeMap::new();
                of.iter().for_each(|(_, digest)| *times.entry(digest).or_default() += 1);
                let most = times.iter().max_by_key(|(_, n)| **n).map(|(digest, _)| *digest);
                for (n, digest) in of {
                    match Some(digest) == most {
                        true => drop(differ.remove(&n)),
                        false => drop(differ.entry(n).or_insert(at)),
                    }
                }
            }
            // One that did not answer in time says nothing of its copy.
            let whole = epoch.sides.iter().flatten().all(|n| held.contains_key(n));
            if differ.is_empty() && whole {
                alike = alike.or(Some(at - from));
            } else if differ.values().any(|since| at - since > ON_ITS_WAY) {
                alike = None;
            }
        }
        out.epochs.push(ConvergenceEpoch {
            from: epoch.from,
            to: epoch.to,
            change: epoch.change,
            sides: epoch.sides.iter().map(|s| s.len()).collect(),
            after_s: alike,
        });
    }
    for (at, router, state) in &trace.routers {
        if *state != RouterState::Ready || *at <= terms.begin || *at >= end {
            continue;
        }
        let gone = |s: &RouterState| !matches!(s, RouterState::Ready | RouterState::Started);
        let struck = trace.routers.iter().filter(|(t, n, s)| t > at && n == router && gone(s));
        let until = struck.map(|(t, ..)| *t).fold(end, f64::min);
        let mut of = looks.iter().filter(|c| c.router == *router && c.t > *at && c.t < until);
        out.starts.push(RestartRecovery {
            at: at - terms.begin,
            router: *router,
            in_step_after: of.clone().find(|c| c.standing == "in step").map(|c| c.t - at),
            old_copy: of.any(|c| c.old_copy),
        });
    }
    let mut told: BTreeMap<usize, (f64, f64, f64)> = BTreeMap::new();
    for look in &looks {
        let (last, bytes, _) = told.entry(look.router).or_insert((look.bytes_out, 0.0, look.t));
        // A new life counts from nothing.
        *bytes += if look.bytes_out >= *last { look.bytes_out - *last } else { look.bytes_out };
        *last = look.bytes_out;
        out.max_facts = out.max_facts.max(look.facts);
        out.max_contradictions = out.max_contradictions.max(look.contradictions);
    }
    let rates: Vec<f64> = told
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
        writeln!(f, "| from s | what | run, by who reaches whom | copies the same after s |")?;
        writeln!(f, "| --- | --- | --- | --- |")?;
        for e in &self.epochs {
            let sides: Vec<String> = e.sides.iter().map(ToString::to_string).collect();
            let after = e.after_s.map_or(format!("not in {:.1}", e.to - e.from), |s| format!("{s:.2}"));
            writeln!(f, "| {:.2} | {} | {} | {after} |", e.from, e.change, sides.join(" + "))?;
        }
        for s in &self.starts {
            let after =
                s.in_step_after.map_or("not in step".to_string(), |s| format!("in step after {s:.2} s"));
            let old = if s.old_copy { "; its disk held an old copy" } else { "" };
            writeln!(f, "router {} started at {:.2}: {after}{old}", s.router, s.at)?;
        }
        writeln!(
            f,
            "{:.0} facts at the most; told {:.0} bytes a second a router, {:.0} at the most; {:.0} contradictions",
            self.max_facts, self.bytes_per_s.0, self.bytes_per_s.1, self.max_contradictions
        )
    }
}

//! How a deployment recovers from a fault, judged over the records of all processes together: when service is back to
//! normal, the peak load on each host, decisions on outdated information, and what the processes hold afterwards.
use crate::trace::{FinalAnswer, RouterState, Trace};
use std::collections::BTreeMap;
use std::fmt;

/// Service counts as recovered within this share of its level before the fault.
pub const SERVICE_TOLERANCE: f64 = 0.05;
/// Seconds for which service has to stay recovered.
pub const STABLE_S: f64 = 5.0;
/// Service is measured over windows of `WINDOW_S` seconds that begin `STEP_S` seconds apart.
const STEP_S: f64 = 0.25;
const WINDOW_S: f64 = 1.0;
/// The length in seconds of the windows in which peaks are counted.
pub const PEAK_WINDOW_S: f64 = 0.1;
/// Seconds after which a decision on outdated information counts as stale: notifications need time to arrive.
pub const STALE_AFTER_S: f64 = 1.0;

/// When service recovered after one cue.
#[derive(Clone, Debug)]
pub struct ServiceRecovery {
    pub cue: String,
    /// When the cue was, in seconds since the beginning of the run.
    pub at_s: f64,
    /// `None` in both for all workloads and groups together.
    pub workload: Option<String>,
    pub group: Option<String>,
    /// The share of requests served in time before the first cue, weighted by importance.
    pub baseline: f64,
    /// The lowest share in any second after the cue.
    pub lowest: f64,
    /// Seconds from the cue to recovery; `None` where service did not recover before the next cue or the end.
    pub after_s: Option<f64>,
}

/// The highest number of contacts of one kind that one host had within one window.
#[derive(Clone, Debug)]
pub struct Peak {
    pub kind: &'static str,
    pub host: String,
    /// The highest count of any window before the first cue, at least one.
    pub baseline: f64,
    /// The highest count of any window after the first cue.
    pub max: f64,
    /// When that was, in seconds since the beginning of the run.
    pub at_s: f64,
}

impl Peak {
    pub fn ratio(&self) -> f64 {
        self.max / self.baseline
    }
}

/// Why a decision was stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StaleReason {
    /// A write or a fresh read was sent to a former primary.
    Primary,
    /// A statement was sent to a host that had left the list.
    Gone,
    /// A statement was sent after its client's timeout.
    TimeOver,
}

impl StaleReason {
    pub fn label(self) -> &'static str {
        match self {
            StaleReason::Primary => "to a former primary",
            StaleReason::Gone => "to a host that had left",
            StaleReason::TimeOver => "after its client's timeout",
        }
    }
}

#[derive(Clone, Debug)]
pub struct StaleDecision {
    pub reason: StaleReason,
    pub id: String,
    pub router: usize,
    pub host: String,
    /// When the statement reached the host, in seconds since the beginning of the run.
    pub at_s: f64,
    /// For how many seconds the information had been outdated.
    pub age_s: f64,
    /// How long before, in seconds, discovery had notified this router; `None` if it had not.
    pub notified_before_s: Option<f64>,
}

/// The resources of all router processes together.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessTotals {
    pub processes: usize,
    pub rss_mb: f64,
    pub descriptors: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Recovery {
    /// Name and time of each cue, in seconds since the beginning of the run.
    pub cues: Vec<(String, f64)>,
    pub services: Vec<ServiceRecovery>,
    pub peaks: Vec<Peak>,
    /// The peak of list requests at discovery.
    pub list_requests: Option<Peak>,
    pub stale_decisions: Vec<StaleDecision>,
    /// Before the first cue, and at the end of the run.
    pub totals: [ProcessTotals; 2],
    /// Seconds from each cue until the last process that it affected was ready again.
    pub ready: Vec<(String, f64)>,
}

impl Recovery {
    /// The longest recovery of service over all cues, all workloads together; infinite where service did not recover.
    pub fn service_recovery_s(&self) -> Option<f64> {
        let overall = self.services.iter().filter(|s| s.workload.is_none() && s.group.is_none());
        overall.map(|s| s.after_s.unwrap_or(f64::INFINITY)).reduce(f64::max)
    }

    /// The peak of this kind with the highest ratio to its baseline.
    pub fn worst(&self, kind: &str) -> Option<&Peak> {
        self.peaks.iter().filter(|p| p.kind == kind).max_by(|a, b| a.ratio().total_cmp(&b.ratio()))
    }
}

/// Kinds of contacts that hosts are checked for.
pub const CONTACT_KINDS: [&str; 4] = ["dials", "handshakes", "probes", "statements"];

/// A client's request over all its attempts.
struct Request {
    /// When it was due, in seconds since the beginning of the run.
    due_s: f64,
    workload: String,
    group: String,
    /// An attempt completed within the workload's SLO.
    in_time: bool,
    importance: f64,
}

fn requests(trace: &Trace) -> Vec<Request> {
    let Some(settings) = &trace.settings else { return Vec::new() };
    let mut all: BTreeMap<&str, Request> = BTreeMap::new();
    for statement in trace.statements.values() {
        let Some(attempt) = &statement.request else { continue };
        let Some(workload) = settings.workloads.get(&attempt.workload) else { continue };
        let request = all.entry(attempt.first.as_str()).or_insert_with(|| Request {
            due_s: attempt.due - settings.begin,
            workload: attempt.workload.clone(),
            group: attempt.group.clone(),
            in_time: false,
            importance: workload.importance,
        });
        request.due_s = request.due_s.min(attempt.due - settings.begin);
        let completed = statement.answers.iter().find(|(_, a)| matches!(a, FinalAnswer::Completed { .. }));
        request.in_time |= completed.is_some_and(|(t, _)| t - attempt.due <= workload.slo);
    }
    let mut all: Vec<Request> = all.into_values().collect();
    all.sort_by(|a, b| a.due_s.total_cmp(&b.due_s));
    all
}

/// Requests in order of their due times: time, importance if served in time (else 0), importance.
struct ServiceCurve(Vec<(f64, f64, f64)>);

impl ServiceCurve {
    /// The importance served in time, the importance of all requests, and the highest importance of one request.
    fn between(&self, from: f64, to: f64) -> (f64, f64, f64) {
        let (first, end) = (self.0.partition_point(|r| r.0 < from), self.0.partition_point(|r| r.0 < to));
        self.0[first..end]
            .iter()
            .fold((0.0, 0.0, 0.0f64), |(served, all, max), r| (served + r.1, all + r.2, max.max(r.2)))
    }

    fn share(&self, from: f64, to: f64) -> f64 {
        let (served, all, _) = self.between(from, to);
        if all > 0.0 {
            served / all
        } else {
            1.0
        }
    }

    /// Whether the window that begins at `from` is back at the baseline. One more failed request than that counts as
    /// chance.
    fn has_recovered(&self, from: f64, baseline: f64) -> bool {
        let (served, all, max) = self.between(from, from + WINDOW_S);
        served + max >= (baseline - SERVICE_TOLERANCE) * all
    }
}

fn service_recovery(
    curve: &ServiceCurve,
    baseline: f64,
    cue: &(String, f64),
    until: f64,
    selection: (Option<&String>, Option<&String>),
) -> Option<ServiceRecovery> {
    let (name, at_s) = (&cue.0, cue.1);
    let steps = ((until - WINDOW_S - at_s) / STEP_S).floor().max(0.0) as usize;
    if curve.between(at_s, until).1 <= 0.0 {
        return None;
    }
    let recovered: Vec<bool> =
        (0..=steps).map(|n| curve.has_recovered(at_s + n as f64 * STEP_S, baseline)).collect();
    let needed = (STABLE_S / STEP_S) as usize;
    // It has to stay recovered for `STABLE_S`, or to the end of the period if that comes earlier.
    let first =
        (0..recovered.len()).find(|n| recovered[*n..(n + needed).min(recovered.len())].iter().all(|r| *r));
    let lowest =
        (0..=steps).map(|n| curve.share(at_s + n as f64 * STEP_S, at_s + n as f64 * STEP_S + WINDOW_S));
    Some(ServiceRecovery {
        cue: name.clone(),
        at_s,
        workload: selection.0.cloned(),
        group: selection.1.cloned(),
        baseline,
        lowest: lowest.fold(1.0, f64::min),
        after_s: first.map(|n| n as f64 * STEP_S),
    })
}

/// CPU microseconds of all routers for each statement that clients sent, over the measured part of the run.
pub fn cpu_us_per_statement(trace: &Trace) -> Option<f64> {
    let begin = trace.settings.as_ref()?.begin;
    let mut last: BTreeMap<usize, f64> = BTreeMap::new();
    let mut used_ms = 0.0;
    for sample in &trace.process_samples {
        let before = last.insert(sample.router, sample.cpu_ms);
        if sample.t > begin {
            // A new process counts from zero.
            used_ms += before.filter(|b| *b <= sample.cpu_ms).map_or(sample.cpu_ms, |b| sample.cpu_ms - b);
        }
    }
    let attempts = trace.statements.values().filter(|s| s.request.is_some()).count();
    (attempts > 0 && used_ms > 0.0).then(|| used_ms * 1e3 / attempts as f64)
}

/// Evaluates a whole trace; empty where the trace has no beginning or no cue.
pub fn recovery(trace: &Trace) -> Recovery {
    let Some(settings) = &trace.settings else { return Recovery::default() };
    let mut cues: Vec<(String, f64)> =
        trace.cues.iter().map(|(t, name)| (name.clone(), t - settings.begin)).collect();
    cues.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut out = Recovery { cues, ..Recovery::default() };
    let Some((_, first_cue)) = out.cues.first().cloned() else { return out };
    let requests = requests(trace);
    let end = settings.end - settings.begin;
    let curve = |workload: Option<&String>, group: Option<&String>| {
        let is_selected =
            |r: &&Request| workload.is_none_or(|n| *n == r.workload) && group.is_none_or(|g| *g == r.group);
        ServiceCurve(
            requests
                .iter()
                .filter(is_selected)
                .map(|r| (r.due_s, if r.in_time { r.importance } else { 0.0 }, r.importance))
                .collect(),
        )
    };
    let mut selections: Vec<(Option<String>, Option<String>)> =
        requests.iter().map(|r| (Some(r.workload.clone()), Some(r.group.clone()))).collect();
    selections.sort();
    selections.dedup();
    selections.insert(0, (None, None));
    // Requests of the last seconds may not have ended yet.
    let last = requests.last().map_or(end, |r| r.due_s.min(end));
    for (workload, group) in &selections {
        let curve = curve(workload.as_ref(), group.as_ref());
        let baseline = curve.share(settings.settle.min(first_cue), first_cue);
        for (n, cue) in out.cues.iter().enumerate() {
            let next = out.cues[n + 1..].iter().map(|c| c.1).find(|at| *at > cue.1);
            let until = next.unwrap_or(last).min(last);
            out.services.extend(service_recovery(
                &curve,
                baseline,
                cue,
                until,
                (workload.as_ref(), group.as_ref()),
            ));
        }
    }
    peaks(trace, first_cue, &mut out);
    stale_decisions(trace, &mut out);
    process_totals(trace, first_cue, &mut out);
    for (n, (name, at)) in out.cues.iter().enumerate() {
        let next = out.cues[n + 1..].iter().map(|c| c.1).find(|t| t > at).unwrap_or(f64::INFINITY);
        let ready =
            trace.routers.iter().filter(|(_, _, s)| matches!(s, RouterState::Ready | RouterState::Continued));
        let ready =
            ready.map(|(t, _, _)| t - settings.begin).filter(|t| t > at && *t < next).reduce(f64::max);
        out.ready.extend(ready.map(|t| (name.clone(), t - at)));
    }
    out
}

fn peaks(trace: &Trace, first_cue: f64, out: &mut Recovery) {
    let Some(settings) = &trace.settings else { return };
    let window = |t: f64| ((t - settings.begin) / PEAK_WINDOW_S).floor() as i64;
    let mut counts: BTreeMap<(&'static str, &str), BTreeMap<i64, f64>> = BTreeMap::new();
    for (t, host, kind) in &trace.host_contacts {
        *counts.entry((kind, host)).or_default().entry(window(*t)).or_default() += 1.0;
    }
    for statement in trace.statements.values() {
        for received in &statement.received {
            let by_window = counts.entry(("statements", &received.host)).or_default();
            *by_window.entry(window(received.t)).or_default() += 1.0;
        }
    }
    for (t, _) in &trace.list_requests {
        *counts.entry(("lists", "agents")).or_default().entry(window(*t)).or_default() += 1.0;
    }
    let (settled, first_cue) =
        ((settings.settle / PEAK_WINDOW_S) as i64, (first_cue / PEAK_WINDOW_S).floor() as i64);
    for ((kind, host), by_window) in counts {
        let max = |from: i64, to: i64| {
            let in_period = by_window.range(from..to).map(|(at, n)| (*n, *at));
            in_period.max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, from))
        };
        let baseline = max(settled.min(first_cue), first_cue).0.max(1.0);
        let (max, at) = max(first_cue, i64::MAX);
        let peak = Peak { kind, host: host.to_string(), baseline, max, at_s: at as f64 * PEAK_WINDOW_S };
        match kind {
            "lists" => out.list_requests = Some(peak),
            _ => out.peaks.push(peak),
        }
    }
}

fn stale_decisions(trace: &Trace, out: &mut Recovery) {
    let Some(settings) = &trace.settings else { return };
    // When each host lost the role of primary to another of its group, and when it had the role again.
    let mut demotions: BTreeMap<(&str, &str), Vec<(f64, f64)>> = BTreeMap::new();
    let mut primaries: BTreeMap<&str, (&str, f64)> = BTreeMap::new();
    for (t, group, host) in &trace.primaries {
        if let Some((before, _)) = primaries.insert(group, (host, *t)).filter(|(before, _)| before != host) {
            demotions.entry((group, before)).or_default().push((*t, f64::INFINITY));
        }
        if let Some(demotion) = demotions.get_mut(&(group.as_str(), host.as_str())).and_then(|l| l.last_mut())
        {
            demotion.1 = *t;
        }
    }
    for (id, statement) in &trace.statements {
        let Some(attempt) = &statement.request else { continue };
        let Some(workload) = settings.workloads.get(&attempt.workload) else { continue };
        let mut report = |reason, host: &String, t: f64, since: f64, notified_at: Option<f64>| {
            let notified_before_s = notified_at.map(|at| t - at).filter(|ago| *ago >= 0.0);
            let (router, host, at_s) = (attempt.router, host.clone(), t - settings.begin);
            out.stale_decisions.push(StaleDecision {
                reason,
                id: id.clone(),
                router,
                host,
                at_s,
                age_s: t - since,
                notified_before_s,
            });
        };
        for received in &statement.received {
            let t = received.t;
            // Where a link or a paused host delayed the statement, the decision was made earlier.
            if trace.may_be_delayed(&received.host, t) {
                continue;
            }
            let primary_only = matches!(workload.consistency.as_str(), "write" | "fresh");
            let since =
                demotions.get(&(attempt.group.as_str(), received.host.as_str())).into_iter().flatten();
            let since = since.copied().find(|(from, to)| *from <= t && t < *to).map(|(from, _)| from);
            if let Some(since) = since.filter(|since| primary_only && t - since > STALE_AFTER_S) {
                let primary = primaries.get(attempt.group.as_str()).map(|(host, _)| host.to_string());
                let notified_at =
                    primary.and_then(|host| trace.notified_primary.get(&(attempt.router, host)).copied());
                report(StaleReason::Primary, &received.host, t, since, notified_at);
            }
            if let Some(left) = trace.left.get(&received.host).filter(|left| t - **left > STALE_AFTER_S) {
                let notified_at = trace.leaving.get(&(attempt.router, received.host.clone())).copied();
                report(StaleReason::Gone, &received.host, t, *left, notified_at);
            }
            let timeout = attempt.t + attempt.wait;
            if t > timeout + settings.slack {
                report(StaleReason::TimeOver, &received.host, t, timeout, None);
            }
        }
    }
    out.stale_decisions.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
}

fn process_totals(trace: &Trace, first_cue: f64, out: &mut Recovery) {
    let Some(settings) = &trace.settings else { return };
    // The sums of the last sample of each process within a period.
    let totals = |from: f64, to: f64| {
        let mut last: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        for sample in &trace.process_samples {
            let t = sample.t - settings.begin;
            if (from..to).contains(&t) {
                last.insert(sample.router, (sample.rss_kb / 1024.0, sample.descriptors));
            }
        }
        let sum = |figure: &dyn Fn(&(f64, f64)) -> f64| last.values().map(figure).sum();
        ProcessTotals { processes: last.len(), rss_mb: sum(&|p| p.0), descriptors: sum(&|p| p.1) }
    };
    let end = trace.process_samples.iter().map(|sample| sample.t - settings.begin).fold(0.0, f64::max);
    out.totals = [totals(f64::NEG_INFINITY, first_cue), totals(end - 1.5, f64::INFINITY)];
}

impl fmt::Display for Recovery {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.cues.is_empty() {
            return writeln!(f, "no cue in the trace: nothing to recover from");
        }
        writeln!(f, "| after | of | before | lowest | recovered after s |\n| --- | --- | --- | --- | --- |")?;
        for service in &self.services {
            let selection = match (&service.workload, &service.group) {
                (Some(w), Some(g)) => format!("{w} of {g}"),
                _ => "all, by importance".to_string(),
            };
            let after = service
                .after_s
                .map_or("not before the next cue or the end".to_string(), |s| format!("{s:.2}"));
            writeln!(
                f,
                "| {} at {:.1} | {selection} | {:.3} | {:.3} | {after} |",
                service.cue, service.at_s, service.baseline, service.lowest
            )?;
        }
        writeln!(f, "\n| in any {:.0} ms | host | before | after | ratio | at s |", PEAK_WINDOW_S * 1e3)?;
        writeln!(f, "| --- | --- | --- | --- | --- | --- |")?;
        let worst = CONTACT_KINDS.iter().filter_map(|kind| self.worst(kind));
        for peak in worst.chain(&self.list_requests) {
            writeln!(
                f,
                "| {} | {} | {:.0} | {:.0} | {:.1} | {:.1} |",
                peak.kind,
                peak.host,
                peak.baseline,
                peak.max,
                peak.ratio(),
                peak.at_s
            )?;
        }
        for (cue, after) in &self.ready {
            writeln!(f, "\nafter {cue}: all processes ready after {after:.2} s")?;
        }
        let [before, after] = &self.totals;
        writeln!(
            f,
            "\nresources of {} and {} processes: {:.1} and {:.1} MB, {:.0} and {:.0} descriptors",
            before.processes,
            after.processes,
            before.rss_mb,
            after.rss_mb,
            before.descriptors,
            after.descriptors
        )?;
        writeln!(f, "stale decisions: {}", self.stale_decisions.len())?;
        for stale in self.stale_decisions.iter().take(5) {
            let notified = stale
                .notified_before_s
                .map_or("not notified before".to_string(), |t| format!("notified {t:.2} s before"));
            let reason = stale.reason.label();
            writeln!(
                f,
                "    {:.2} s: {} by router {} at {}: {reason}, {:.2} s old, {notified}",
                stale.at_s, stale.id, stale.router, stale.host, stale.age_s
            )?;
        }
        Ok(())
    }
}

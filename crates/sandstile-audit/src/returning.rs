//! How a deployment comes back from a fault, judged over the records of all processes together: when service is whole again,
//! what was asked of each host at once, what was decided on what was no longer so, and what the processes hold afterwards.
use crate::trace::{FinalAnswer, RouterState, Trace};
use std::collections::BTreeMap;
use std::fmt;

/// Service counts as whole within so much of what it was before.
pub const SERVICE_TOLERANCE: f64 = 0.05;
/// Seconds for which it has to stay so.
pub const STABLE_S: f64 = 5.0;
/// Service is looked at in steps of this, each over the second that begins there.
const STEP: f64 = 0.25;
const WINDOW: f64 = 1.0;
/// Peaks are counted in steps of this many seconds.
pub const PEAK_WINDOW_S: f64 = 0.1;
/// A decision on what has not been so for longer than this counts as stale: news need their time.
pub const STALE_AFTER_S: f64 = 1.0;

/// When service was whole again after one cue.
#[derive(Clone, Debug)]
pub struct ServiceRecovery {
    pub cue: String,
    /// Seconds since the beginning of the script.
    pub at_s: f64,
    /// All of them where both are absent.
    pub workload: Option<String>,
    pub group: Option<String>,
    pub baseline: f64,
    /// The least of any second after it.
    pub lowest: f64,
    /// Seconds after the cue; `None` where it was not before the end, or before the next cue.
    pub after_s: Option<f64>,
}

/// The most of something that one host was asked within a moment.
#[derive(Clone, Debug)]
pub struct Peak {
    pub kind: &'static str,
    pub host: String,
    /// The most in any moment of the calm before the first cue, one at least.
    pub baseline: f64,
    pub max: f64,
    /// Seconds since the beginning.
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
    /// A write or a fresh read to a host that had been primary.
    Primary,
    /// A statement to a host that had left the list.
    Gone,
    /// A statement whose client's time was over when it was sent on.
    TimeOver,
}

impl StaleReason {
    pub fn label(self) -> &'static str {
        match self {
            StaleReason::Primary => "to a former primary",
            StaleReason::Gone => "to a host that had left",
            StaleReason::TimeOver => "for a client whose time was over",
        }
    }
}

#[derive(Clone, Debug)]
pub struct StaleDecision {
    pub reason: StaleReason,
    pub id: String,
    pub router: usize,
    pub host: String,
    /// Seconds since the beginning.
    pub at_s: f64,
    /// For how long it had not been so.
    pub age_s: f64,
    /// How long before its agent had told this router; `None` where nobody had.
    pub notified_before_s: Option<f64>,
}

/// What all router processes hold together.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessTotals {
    pub processes: usize,
    pub rss_mb: f64,
    pub descriptors: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Recovery {
    /// Name, and seconds since the beginning.
    pub cues: Vec<(String, f64)>,
    pub services: Vec<ServiceRecovery>,
    pub peaks: Vec<Peak>,
    pub lists: Option<Peak>,
    pub stale_decisions: Vec<StaleDecision>,
    /// Before the first cue, and at the end.
    pub totals: [ProcessTotals; 2],
    /// Seconds from each cue to when the last process that it struck was ready again.
    pub ready: Vec<(String, f64)>,
}

impl Recovery {
    /// The longest time to full service over all cues, of all workloads together; infinite where it was not reached.
    pub fn service_recovery_s(&self) -> Option<f64> {
        let all = self.services.iter().filter(|f| f.workload.is_none() && f.group.is_none());
        all.map(|f| f.after_s.unwrap_or(f64::INFINITY)).reduce(f64::max)
    }

    pub fn worst(&self, kind: &str) -> Option<&Peak> {
        self.peaks.iter().filter(|p| p.kind == kind).max_by(|a, b| a.ratio().total_cmp(&b.ratio()))
    }
}

/// What hosts were asked for.
pub const CONTACT_KINDS: [&str; 4] = ["dials", "handshakes", "probes", "statements"];

struct Wish {
    at: f64,
    workload: String,
    group: String,
    good: bool,
    worth: f64,
}

fn requests(trace: &Trace) -> Vec<Wish> {
    let Some(terms) = &trace.settings else { return Vec::new() };
    let mut all: BTreeMap<&str, Wish> = BTreeMap::new();
    for s in trace.statements.values() {
        let Some(asked) = &s.request else { continue };
        let Some(workload) = terms.workloads.get(&asked.workload) else { continue };
        let wish = all.entry(asked.first.as_str()).or_insert_with(|| Wish {
            at: asked.due - terms.begin,
            workload: asked.workload.clone(),
            group: asked.group.clone(),
            good: false,
            worth: workload.importance,
        });
        wish.at = wish.at.min(asked.due - terms.begin);
        let done = s.answers.iter().find(|(_, a)| matches!(a, FinalAnswer::Completed { .. }));
        wish.good |= done.is_some_and(|(t, _)| t - asked.due <= workload.slo);
    }
    let mut all: Vec<Wish> = all.into_values().collect();
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all
}

/// Wishes that are looked at together, by their time: good ones and all, weighed.
struct Curve(Vec<(f64, f64, f64)>);

impl Curve {
    /// Worth served, worth asked for, and what one wish is worth at the most.
    fn between(&self, from: f64, to: f64) -> (f64, f64, f64) {
        let (a, b) = (self.0.partition_point(|w| w.0 < from), self.0.partition_point(|w| w.0 < to));
        self.0[a..b]
            .iter()
            .fold((0.0, 0.0, 0.0f64), |(good, all, most), w| (good + w.1, all + w.2, most.max(w.2)))
    }

    fn share(&self, from: f64, to: f64) -> f64 {
        let (good, all, _) = self.between(from, to);
        if all > 0.0 {
            good / all
        } else {
            1.0
        }
    }

    /// Whether the second that begins here is as good as before; a single wish more that is lost is chance.
    fn whole(&self, from: f64, before: f64) -> bool {
        let (good, all, most) = self.between(from, from + WINDOW);
        good + most >= (before - SERVICE_TOLERANCE) * all
    }
}

fn full(
    curve: &Curve,
    baseline: f64,
    cue: &(String, f64),
    until: f64,
    of: (Option<&String>, Option<&String>),
) -> Option<ServiceRecovery> {
    let (name, at_s) = (&cue.0, cue.1);
    let steps = ((until - WINDOW - at_s) / STEP).floor().max(0.0) as usize;
    if curve.between(at_s, until).1 <= 0.0 {
        return None;
    }
    let whole: Vec<bool> = (0..=steps).map(|n| curve.whole(at_s + n as f64 * STEP, baseline)).collect();
    let needed = (STABLE_S / STEP) as usize;
    // It has to stay so for as long as there is something to look at_s.
    let first = (0..whole.len()).find(|n| whole[*n..(n + needed).min(whole.len())].iter().all(|w| *w));
    let lowest = (0..=steps).map(|n| curve.share(at_s + n as f64 * STEP, at_s + n as f64 * STEP + WINDOW));
    Some(ServiceRecovery {
        cue: name.clone(),
        at_s,
        workload: of.0.cloned(),
        group: of.1.cloned(),
        baseline,
        lowest: lowest.fold(1.0, f64::min),
        after_s: first.map(|n| n as f64 * STEP),
    })
}

/// Looks at a whole trace; nothing where it has no beginning.
/// Microseconds of routers' processor time for each statement that clients asked, over the evening.
pub fn cpu_us_per_statement(trace: &Trace) -> Option<f64> {
    let begin = trace.settings.as_ref()?.begin;
    let mut last: BTreeMap<usize, f64> = BTreeMap::new();
    let mut used = 0.0;
    for w in &trace.process_samples {
        let before = last.insert(w.router, w.cpu_ms);
        if w.t > begin {
            // A new process counts from nothing.
            used += before.filter(|b| *b <= w.cpu_ms).map_or(w.cpu_ms, |b| w.cpu_ms - b);
        }
    }
    let asked = trace.statements.values().filter(|s| s.request.is_some()).count();
    (asked > 0 && used > 0.0).then(|| used * 1e3 / asked as f64)
}

pub fn recovery(trace: &Trace) -> Recovery {
    let Some(terms) = &trace.settings else { return Recovery::default() };
    let mut cues: Vec<(String, f64)> =
        trace.cues.iter().map(|(t, name)| (name.clone(), t - terms.begin)).collect();
    cues.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut out = Recovery { cues, ..Recovery::default() };
    let Some((_, first)) = out.cues.first().cloned() else { return out };
    let requests = requests(trace);
    let end = terms.end - terms.begin;
    let curve = |workload: Option<&String>, group: Option<&String>| {
        let of = |w: &&Wish| workload.is_none_or(|n| *n == w.workload) && group.is_none_or(|g| *g == w.group);
        Curve(
            requests.iter().filter(of).map(|w| (w.at, if w.good { w.worth } else { 0.0 }, w.worth)).collect(),
        )
    };
    let mut kinds: Vec<(Option<String>, Option<String>)> =
        requests.iter().map(|w| (Some(w.workload.clone()), Some(w.group.clone()))).collect();
    kinds.sort();
    kinds.dedup();
    kinds.insert(0, (None, None));
    // Wishes of the last seconds may have no end yet.
    let last = requests.last().map_or(end, |w| w.at.min(end));
    for (workload, group) in &kinds {
        let curve = curve(workload.as_ref(), group.as_ref());
        let before = curve.share(terms.settle.min(first), first);
        for (n, cue) in out.cues.iter().enumerate() {
            let next = out.cues[n + 1..].iter().map(|c| c.1).find(|at| *at > cue.1);
            let until = next.unwrap_or(last).min(last);
            out.services.extend(full(&curve, before, cue, until, (workload.as_ref(), group.as_ref())));
        }
    }
    peaks(trace, first, &mut out);
    stale(trace, &mut out);
    held(trace, first, &mut out);
    for (n, (name, at)) in out.cues.iter().enumerate() {
        let next = out.cues[n + 1..].iter().map(|c| c.1).find(|t| t > at).unwrap_or(f64::INFINITY);
        let back =
            trace.routers.iter().filter(|(_, _, s)| matches!(s, RouterState::Ready | RouterState::Continued));
        let back = back.map(|(t, _, _)| t - terms.begin).filter(|t| t > at && *t < next).reduce(f64::max);
        out.ready.extend(back.map(|t| (name.clone(), t - at)));
    }
    out
}

fn peaks(trace: &Trace, first: f64, out: &mut Recovery) {
    let Some(terms) = &trace.settings else { return };
    let moment = |t: f64| ((t - terms.begin) / PEAK_WINDOW_S).floor() as i64;
    let mut counts: BTreeMap<(&'static str, &str), BTreeMap<i64, f64>> = BTreeMap::new();
    for (t, host, kind) in &trace.host_contacts {
        *counts.entry((kind, host)).or_default().entry(moment(*t)).or_default() += 1.0;
    }
    for s in trace.statements.values() {
        for taken in &s.received {
            let of = counts.entry(("statements", &taken.host)).or_default();
            *of.entry(moment(taken.t)).or_default() += 1.0;
        }
    }
    for (t, _) in &trace.lists {
        *counts.entry(("lists", "agents")).or_default().entry(moment(*t)).or_default() += 1.0;
    }
    let (settled, first) = ((terms.settle / PEAK_WINDOW_S) as i64, (first / PEAK_WINDOW_S).floor() as i64);
    for ((kind, host), moments) in counts {
        let max = |from: i64, to: i64| {
            let of = moments.range(from..to).map(|(at, n)| (*n, *at));
            of.max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, from))
        };
        let baseline = max(settled.min(first), first).0.max(1.0);
        let (max, at) = max(first, i64::MAX);
        let peak = Peak { kind, host: host.to_string(), baseline, max, at_s: at as f64 * PEAK_WINDOW_S };
        match kind {
            "lists" => out.lists = Some(peak),
            _ => out.peaks.push(peak),
        }
    }
}

fn stale(trace: &Trace, out: &mut Recovery) {
    let Some(terms) = &trace.settings else { return };
    // When each host stopped being primary, by its group: it had been, and another is.
    let mut lost: BTreeMap<(&str, &str), Vec<(f64, f64)>> = BTreeMap::new();
    let mut led: BTreeMap<&str, (&str, f64)> = BTreeMap::new();
    for (t, group, host) in &trace.primaries {
        if let Some((before, _)) = led.insert(group, (host, *t)).filter(|(before, _)| before != host) {
            lost.entry((group, before)).or_default().push((*t, f64::INFINITY));
        }
        if let Some(since) = lost.get_mut(&(group.as_str(), host.as_str())).and_then(|l| l.last_mut()) {
            since.1 = *t;
        }
    }
    for (id, s) in &trace.statements {
        let Some(asked) = &s.request else { continue };
        let Some(workload) = terms.workloads.get(&asked.workload) else { continue };
        let mut say = |reason, host: &String, t: f64, since: f64, notified_at: Option<f64>| {
            let notified_before_s = notified_at.map(|at| t - at).filter(|ago| *ago >= 0.0);
            let (router, host, at_s) = (asked.router, host.clone(), t - terms.begin);
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
        for taken in &s.received {
            let t = taken.t;
            // What a link or a host that stood still held back was decided on earlier.
            if trace.may_be_delayed(&taken.host, t) {
                continue;
            }
            let primary_only = matches!(workload.consistency.as_str(), "write" | "fresh");
            let since = lost.get(&(asked.group.as_str(), taken.host.as_str())).into_iter().flatten();
            let since = since.copied().find(|(from, to)| *from <= t && t < *to).map(|(from, _)| from);
            if let Some(since) = since.filter(|since| primary_only && t - since > STALE_AFTER_S) {
                let now = led.get(asked.group.as_str()).map(|(host, _)| host.to_string());
                let notified_at =
                    now.and_then(|host| trace.notified_primary.get(&(asked.router, host)).copied());
                say(StaleReason::Primary, &taken.host, t, since, notified_at);
            }
            if let Some(left) = trace.left.get(&taken.host).filter(|left| t - **left > STALE_AFTER_S) {
                let notified_at = trace.leaving.get(&(asked.router, taken.host.clone())).copied();
                say(StaleReason::Gone, &taken.host, t, *left, notified_at);
            }
            let over = asked.t + asked.wait;
            if t > over + terms.slack {
                say(StaleReason::TimeOver, &taken.host, t, over, None);
            }
        }
    }
    out.stale_decisions.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
}

fn held(trace: &Trace, first: f64, out: &mut Recovery) {
    let Some(terms) = &trace.settings else { return };
    // The last word of each process within these times.
    let of = |from: f64, to: f64| {
        let mut last: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        for h in &trace.process_samples {
            let t = h.t - terms.begin;
            if (from..to).contains(&t) {
                last.insert(h.router, (h.rss_kb / 1024.0, h.descriptors));
            }
        }
        let sum = |of: &dyn Fn(&(f64, f64)) -> f64| last.values().map(of).sum();
        ProcessTotals { processes: last.len(), rss_mb: sum(&|h| h.0), descriptors: sum(&|h| h.1) }
    };
    let end = trace.process_samples.iter().map(|h| h.t - terms.begin).fold(0.0, f64::max);
    out.totals = [of(f64::NEG_INFINITY, first), of(end - 1.5, f64::INFINITY)];
}

impl fmt::Display for Recovery {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.cues.is_empty() {
            return writeln!(f, "no cue: nothing to come back from");
        }
        writeln!(f, "| after | of | before | least | whole after s |\n| --- | --- | --- | --- | --- |")?;
        for full in &self.services {
            let of = match (&full.workload, &full.group) {
                (Some(w), Some(g)) => format!("{w} of {g}"),
                _ => "all, by importance".to_string(),
            };
            let after =
                full.after_s.map_or("not before the next, or the end".to_string(), |s| format!("{s:.2}"));
            writeln!(
                f,
                "| {} at {:.1} | {of} | {:.3} | {:.3} | {after} |",
                full.cue, full.at_s, full.baseline, full.lowest
            )?;
        }
        writeln!(f, "\n| in any {:.0} ms | host | before | after | times | at s |", PEAK_WINDOW_S * 1e3)?;
        writeln!(f, "| --- | --- | --- | --- | --- | --- |")?;
        let worst = CONTACT_KINDS.iter().filter_map(|what| self.worst(what));
        for p in worst.chain(&self.lists) {
            writeln!(
                f,
                "| {} | {} | {:.0} | {:.0} | {:.1} | {:.1} |",
                p.kind,
                p.host,
                p.baseline,
                p.max,
                p.ratio(),
                p.at_s
            )?;
        }
        for (cue, after) in &self.ready {
            writeln!(f, "\nafter {cue}: all processes ready after {after:.2} s")?;
        }
        let [before, after] = &self.totals;
        writeln!(
            f,
            "\nheld by {} and {} processes: {:.1} and {:.1} MB, {:.0} and {:.0} descriptors",
            before.processes,
            after.processes,
            before.rss_mb,
            after.rss_mb,
            before.descriptors,
            after.descriptors
        )?;
        writeln!(f, "stale decisions: {}", self.stale_decisions.len())?;
        for s in self.stale_decisions.iter().take(5) {
            let told = s
                .notified_before_s
                .map_or("nobody had told it".to_string(), |t| format!("told {t:.2} s before"));
            let word = s.reason.label();
            writeln!(
                f,
                "    {:.2} s: {} by router {} at {}: {word}, {:.2} s old, {told}",
                s.at_s, s.id, s.router, s.host, s.age_s
            )?;
        }
        Ok(())
    }
}

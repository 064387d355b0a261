//! Whether routers that know each other agree on who is present: how long after each fault, crash, stop, restart and
//! heal every running router lists exactly those that it can reach, directly or through others. A router that reaches
//! no other, or whose messages reach no other, has to report that.
use crate::trace::{MembershipSample, RouterState, Trace};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Seconds from the beginning of an epoch in which a router may still declare another dead because of the epoch before.
pub const OLD_VERDICT_S: f64 = 3.0;
/// Seconds; changes closer together than this count as one.
const SAME_CHANGE_S: f64 = 0.15;

/// A period in which the same routers ran and could reach each other.
#[derive(Clone, Debug)]
pub struct Epoch {
    /// Seconds since the beginning of the run.
    pub from: f64,
    pub to: f64,
    /// The event that began this epoch.
    pub change: String,
    /// The running routers, by who can reach whom.
    pub sides: Vec<BTreeSet<usize>>,
    /// Seconds until all agreed and kept agreeing to the end of the epoch; `None` if they did not.
    pub agreed_after: Option<f64>,
    /// When which router declared which other dead though it was running and could be reached.
    pub false_deaths: Vec<(f64, usize, usize)>,
}

#[derive(Clone, Debug, Default)]
pub struct Agreement {
    pub epochs: Vec<Epoch>,
    /// How often each view was entered, summed over all routers.
    pub views: BTreeMap<String, usize>,
    /// The lowest and the highest number of routers that any router assumed to share the hosts.
    pub router_counts: Option<(f64, f64)>,
}

impl Agreement {
    /// The longest time to agreement. The first epoch is left out: it is the start of the run.
    pub fn slowest(&self) -> Option<f64> {
        self.epochs.iter().skip(1).filter_map(|e| e.agreed_after).reduce(f64::max)
    }

    pub fn not_agreed(&self) -> usize {
        self.epochs.iter().filter(|e| e.agreed_after.is_none()).count()
    }

    pub fn false_deaths(&self) -> usize {
        self.epochs.iter().map(|e| e.false_deaths.len()).sum()
    }
}

/// Which routers run, and which connections between them are cut.
#[derive(Clone, Default)]
struct Topology {
    running: BTreeSet<usize>,
    stopped: BTreeSet<usize>,
    cuts: BTreeMap<usize, Vec<(usize, usize)>>,
}

impl Topology {
    /// Sets of routers that reach one another in both directions, directly or through others.
    fn sides(&self) -> Vec<BTreeSet<usize>> {
        let cut: BTreeSet<(usize, usize)> = self.cuts.values().flatten().copied().collect();
        let mut remaining: BTreeSet<usize> = self.running.difference(&self.stopped).copied().collect();
        let mut sides = Vec::new();
        while let Some(first) = remaining.pop_first() {
            let (mut side, mut frontier) = (BTreeSet::from([first]), vec![first]);
            while let Some(router) = frontier.pop() {
                let neighbours: Vec<usize> = remaining
                    .iter()
                    .copied()
                    .filter(|n| !cut.contains(&(router, *n)) && !cut.contains(&(*n, router)))
                    .collect();
                for n in neighbours {
                    remaining.remove(&n);
                    side.insert(n);
                    frontier.push(n);
                }
            }
            sides.push(side);
        }
        sides
    }
}

enum Event {
    Router(usize, RouterState),
    Cut(usize, bool),
}

pub(crate) fn epochs(trace: &Trace, begin: f64, end: f64) -> Vec<Epoch> {
    let mut events: Vec<(f64, String, Event)> = Vec::new();
    for (t, n, state) in &trace.routers {
        let description = match state {
            RouterState::Ready => "started",
            RouterState::Killed => "killed",
            RouterState::Ended(_) => "ended",
            RouterState::Stopped => "stopped",
            RouterState::Continued => "went on",
            // A slowed router is still present.
            RouterState::Started | RouterState::Term | RouterState::Slow => continue,
        };
        events.push((*t, description.to_string(), Event::Router(*n, state.clone())));
    }
    for (n, link) in trace.link_faults.iter().enumerate().filter(|(_, l)| !l.severed_pairs.is_empty()) {
        events.push((link.begin, format!("{} begins", link.name), Event::Cut(n, true)));
        if link.end.is_finite() {
            events.push((link.end, format!("{} heals", link.name), Event::Cut(n, false)));
        }
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut topology = Topology::default();
    let mut out: Vec<Epoch> = Vec::new();
    for (t, description, event) in events {
        let before = topology.sides();
        match event {
            Event::Router(n, RouterState::Ready) => drop(topology.running.insert(n)),
            Event::Router(n, RouterState::Stopped) => drop(topology.stopped.insert(n)),
            Event::Router(n, RouterState::Continued) => drop(topology.stopped.remove(&n)),
            Event::Router(n, _) => {
                topology.running.remove(&n);
                topology.stopped.remove(&n);
            }
            Event::Cut(n, true) => drop(topology.cuts.insert(n, trace.link_faults[n].severed_pairs.clone())),
            Event::Cut(n, false) => drop(topology.cuts.remove(&n)),
        }
        if t > end {
            break;
        }
        let sides = topology.sides();
        if sides == before && !out.is_empty() {
            continue;
        }
        let (from, change) = (t - begin, format!("1 {description}"));
        match out.last_mut() {
            // Events at nearly the same time, and all events before the run begins, count as one change.
            Some(last) if from - last.to < SAME_CHANGE_S || from < 0.0 => {
                let count = last.change.split_once(' ').filter(|(_, w)| *w == description);
                let count = count.and_then(|(n, _)| n.parse::<usize>().ok());
                last.change = match count {
                    Some(n) => format!("{} {description}", n + 1),
                    None if from < 0.0 => change,
                    None => format!("{}, {description}", last.change),
                };
                (last.from, last.to, last.sides) = (from, from, sides);
            }
            _ => out.push(Epoch {
                from,
                to: from,
                change,
                sides,
                agreed_after: None,
                false_deaths: Vec::new(),
            }),
        }
    }
    let ends: Vec<f64> = out.iter().skip(1).map(|e| e.from).chain([end - begin]).collect();
    out.iter_mut().zip(ends).for_each(|(epoch, to)| epoch.to = to);
    out
}

/// The end of the measured period. The lab terminates its routers one after the other; the period ends with the first
/// that is not started again.
pub(crate) fn measured_end(trace: &Trace, end: f64) -> f64 {
    let any_ready_after =
        |t: f64| trace.routers.iter().any(|(at, _, s)| *at > t && matches!(s, RouterState::Ready));
    let terminations =
        trace.routers.iter().filter(|(_, _, s)| matches!(s, RouterState::Term)).map(|(t, ..)| *t);
    terminations.filter(|t| !any_ready_after(*t)).fold(end, f64::min)
}

/// Evaluates a whole trace; empty where no router reported which others it sees.
pub fn agreement(trace: &Trace) -> Agreement {
    let Some(settings) = trace.settings.as_ref().filter(|_| !trace.membership_samples.is_empty()) else {
        return Agreement::default();
    };
    let end = measured_end(trace, settings.end);
    let mut out = Agreement { epochs: epochs(trace, settings.begin, end), ..Agreement::default() };
    let mut samples: Vec<_> = trace.membership_samples.iter().collect();
    samples.sort_by(|a, b| a.t.total_cmp(&b.t));
    let mut views: BTreeMap<usize, &str> = BTreeMap::new();
    for s in &samples {
        if views.insert(s.router, &s.view) != Some(&s.view) {
            *out.views.entry(s.view.clone()).or_default() += 1;
        }
        if let Some(n) = s.sharing_routers {
            let (min, max) = out.router_counts.unwrap_or((n, n));
            out.router_counts = Some((min.min(n), max.max(n)));
        }
    }
    for epoch in &mut out.epochs {
        judge(epoch, trace, settings.begin);
    }
    out
}

fn judge(epoch: &mut Epoch, trace: &Trace, begin: f64) {
    let side: BTreeMap<usize, &BTreeSet<usize>> =
        epoch.sides.iter().flat_map(|side| side.iter().map(move |n| (*n, side))).collect();
    // The latest sample of each router; one that has just started knows no other.
    let mut latest: BTreeMap<usize, &MembershipSample> = BTreeMap::new();
    let started: Vec<(f64, usize)> = trace
        .routers
        .iter()
        .filter(|(_, _, s)| matches!(s, RouterState::Started))
        .map(|(t, n, _)| (*t - begin, *n))
        .collect();
    let nobody = BTreeSet::new();
    let all_agree = |latest: &BTreeMap<usize, &MembershipSample>| {
        side.iter().all(|(n, side)| {
            let present = latest.get(n).map_or(&nobody, |s| &s.present);
            let is_exact =
                present.len() + 1 == side.len() && present.iter().all(|m| m != n && side.contains(m));
            // A router that reaches no other need not declare the others dead, as long as it reports its isolation.
            let reports_isolation =
                |s: &&MembershipSample| matches!(s.view.as_str(), "alone" | "cut off from some");
            is_exact || (side.len() == 1 && latest.get(n).is_some_and(reports_isolation))
        })
    };
    // Starts and samples in the order of their times: a new process does not know what its predecessor saw.
    let mut events: Vec<(f64, usize, Option<&MembershipSample>)> =
        started.iter().map(|(t, n)| (*t, *n, None)).collect();
    events.extend(trace.membership_samples.iter().map(|s| (s.t - begin, s.router, Some(s))));
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut agreed, mut since) = (false, epoch.from);
    let mut has_begun = false;
    for (t, router, sample) in events {
        if t >= epoch.to {
            break;
        }
        if t >= epoch.from && !has_begun {
            has_begun = true;
            (agreed, since) = (all_agree(&latest), epoch.from);
        }
        let Some(sample) = sample else {
            if t >= epoch.from && !side.contains_key(&router) {
                // The others notice a new process before it reports that it is ready, and then see one more router.
                break;
            }
            latest.remove(&router);
            if t >= epoch.from {
                agreed = all_agree(&latest);
            }
            continue;
        };
        let former = latest.insert(router, sample);
        if t < epoch.from {
            continue;
        }
        if let (Some(former), Some(side)) = (former, side.get(&router)) {
            let lost = former.present.difference(&sample.present);
            let lost = lost.filter(|n| side.contains(n) && t > epoch.from + OLD_VERDICT_S);
            epoch.false_deaths.extend(lost.map(|n| (t, router, *n)));
        }
        let agrees_now = all_agree(&latest);
        if agrees_now && !agreed {
            since = t;
        }
        agreed = agrees_now;
    }
    if !has_begun {
        agreed = all_agree(&latest);
    }
    epoch.agreed_after = agreed.then(|| (since - epoch.from).max(0.0));
}

impl fmt::Display for Agreement {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.epochs.is_empty() {
            return Ok(());
        }
        writeln!(f, "| from s | change | routers on each side | all agree after s | false deaths |")?;
        writeln!(f, "| --- | --- | --- | --- | --- |")?;
        for e in &self.epochs {
            let sides: Vec<String> = e.sides.iter().map(|s| s.len().to_string()).collect();
            let after = e.agreed_after.map_or(format!("not in {:.1}", e.to - e.from), |s| format!("{s:.2}"));
            writeln!(
                f,
                "| {:.2} | {} | {} | {after} | {} |",
                e.from,
                e.change,
                sides.join(" + "),
                e.false_deaths.len()
            )?;
        }
        let views: Vec<String> = self.views.iter().map(|(view, n)| format!("{view} {n}")).collect();
        writeln!(f, "\nviews entered, all routers together: {}", views.join(", "))?;
        if let Some((min, max)) = self.router_counts {
            writeln!(f, "routers assumed to share the hosts: {min:.0} to {max:.0}")?;
        }
        Ok(())
    }
}

//! Whether routers that know each other agreed on who is there, judged over the sights of all of them: after each fault, crash, stop,
//! return and heal, how long until each living one holds just those for there whom it can reach, by whatever way;
//! one that reaches nobody, or is not heard, is to say so.
use crate::trace::{MembershipSample, RouterState, Trace};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Seconds into an epoch for which a death may be the verdict on what was before.
pub const OLD_VERDICT_S: f64 = 3.0;
/// Changes closer together than this are one.
const TOGETHER: f64 = 0.15;

/// A time in which the same were there and could reach each other.
#[derive(Clone, Debug)]
pub struct Epoch {
    /// Seconds since the beginning.
    pub from: f64,
    pub to: f64,
    pub change: String,
    /// Those that run, by who reaches whom.
    pub sides: Vec<BTreeSet<usize>>,
    /// Seconds until all agreed, and stayed so to the end of it; `None` where they did not.
    pub agreed_after: Option<f64>,
    /// Who held whom for gone though it was there and could be reached, and when.
    pub false_deaths: Vec<(f64, usize, usize)>,
}

#[derive(Clone, Debug, Default)]
pub struct Agreement {
    pub epochs: Vec<Epoch>,
    /// How often each view was entered, over all routers.
    pub views: BTreeMap<String, usize>,
    /// The least and the most that any router took for the number that share the hosts.
    pub router_counts: Option<(f64, f64)>,
}

impl Agreement {
    /// The longest time to agreement over the epochs in which it was reached, the first left out: that is the start.
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

/// Who runs, and which ways are cut.
#[derive(Clone, Default)]
struct Standing {
    up: BTreeSet<usize>,
    still: BTreeSet<usize>,
    cuts: BTreeMap<usize, Vec<(usize, usize)>>,
}

impl Standing {
    /// Those that can reach one another both ways, or by way of others that can.
    fn sides(&self) -> Vec<BTreeSet<usize>> {
        let cut: BTreeSet<(usize, usize)> = self.cuts.values().flatten().copied().collect();
        let mut left: BTreeSet<usize> = self.up.difference(&self.still).copied().collect();
        let mut sides = Vec::new();
        while let Some(first) = left.pop_first() {
            let (mut side, mut edge) = (BTreeSet::from([first]), vec![first]);
            while let Some(at) = edge.pop() {
                let near: Vec<usize> = left
                    .iter()
                    .copied()
                    .filter(|n| !cut.contains(&(at, *n)) && !cut.contains(&(*n, at)))
                    .collect();
                for n in near {
                    left.remove(&n);
                    side.insert(n);
                    edge.push(n);
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
        let word = match state {
            RouterState::Ready => "started",
            RouterState::Killed => "killed",
            RouterState::Ended(_) => "ended",
            RouterState::Stopped => "stopped",
            RouterState::Continued => "went on",
            // A slow one is there.
            RouterState::Started | RouterState::Term | RouterState::Slow => continue,
        };
        events.push((*t, word.to_string(), Event::Router(*n, state.clone())));
    }
    for (n, link) in trace.link_faults.iter().enumerate().filter(|(_, l)| !l.severs.is_empty()) {
        events.push((link.begin, format!("{} begins", link.name), Event::Cut(n, true)));
        if link.end.is_finite() {
            events.push((link.end, format!("{} heals", link.name), Event::Cut(n, false)));
        }
    }
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut standing = Standing::default();
    let mut out: Vec<Epoch> = Vec::new();
    for (t, word, event) in events {
        let before = standing.sides();
        match event {
            Event::Router(n, RouterState::Ready) => drop(standing.up.insert(n)),
            Event::Router(n, RouterState::Stopped) => drop(standing.still.insert(n)),
            Event::Router(n, RouterState::Continued) => drop(standing.still.remove(&n)),
            Event::Router(n, _) => {
                standing.up.remove(&n);
                standing.still.remove(&n);
            }
            Event::Cut(n, true) => drop(standing.cuts.insert(n, trace.link_faults[n].severs.clone())),
            Event::Cut(n, false) => drop(standing.cuts.remove(&n)),
        }
        if t > end {
            break;
        }
        let sides = standing.sides();
        if sides == before && !out.is_empty() {
            continue;
        }
        let (from, change) = (t - begin, format!("1 {word}"));
        match out.last_mut() {
            // What strikes many within a moment, or before the evening begins, is one change.
            Some(last) if from - last.to < TOGETHER || from < 0.0 => {
                let count = last.change.split_once(' ').filter(|(_, w)| *w == word);
                let count = count.and_then(|(n, _)| n.parse::<usize>().ok());
                last.change = match count {
                    Some(n) => format!("{} {word}", n + 1),
                    None if from < 0.0 => change,
                    None => format!("{}, {word}", last.change),
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

/// The lab ends its routers one after the other: from the first that does not come back the evening is over.
pub(crate) fn end_of(trace: &Trace, end: f64) -> f64 {
    let ready = |t: f64| trace.routers.iter().any(|(at, _, s)| *at > t && matches!(s, RouterState::Ready));
    let terms_at = trace.routers.iter().filter(|(_, _, s)| matches!(s, RouterState::Term)).map(|(t, ..)| *t);
    terms_at.filter(|t| !ready(*t)).fold(end, f64::min)
}

/// Looks at a whole trace; nothing where no router told whom it sees.
pub fn agreement(trace: &Trace) -> Agreement {
    let Some(terms) = trace.settings.as_ref().filter(|_| !trace.membership_samples.is_empty()) else {
        return Agreement::default();
    };
    let end = end_of(trace, terms.end);
    let mut out = Agreement { epochs: epochs(trace, terms.begin, end), ..Agreement::default() };
    let mut membership_samples: Vec<_> = trace.membership_samples.iter().collect();
    membership_samples.sort_by(|a, b| a.t.total_cmp(&b.t));
    let mut views: BTreeMap<usize, &str> = BTreeMap::new();
    for s in &membership_samples {
        if views.insert(s.router, &s.view) != Some(&s.view) {
            *out.views.entry(s.view.clone()).or_default() += 1;
        }
        if let Some(n) = s.router_counts {
            let (least, most) = out.router_counts.unwrap_or((n, n));
            out.router_counts = Some((least.min(n), most.max(n)));
        }
    }
    for epoch in &mut out.epochs {
        judge(epoch, trace, terms.begin);
    }
    out
}

fn judge(epoch: &mut Epoch, trace: &Trace, begin: f64) {
    let side: BTreeMap<usize, &BTreeSet<usize>> =
        epoch.sides.iter().flat_map(|side| side.iter().map(move |n| (*n, side))).collect();
    // What each sees as the epoch goes on; one that has just started knows nobody.
    let mut held: BTreeMap<usize, &MembershipSample> = BTreeMap::new();
    let started: Vec<(f64, usize)> = trace
        .routers
        .iter()
        .filter(|(_, _, s)| matches!(s, RouterState::Started))
        .map(|(t, n, _)| (*t - begin, *n))
        .collect();
    let nobody = BTreeSet::new();
    let whole = |held: &BTreeMap<usize, &MembershipSample>| {
        side.iter().all(|(n, side)| {
            let there = held.get(n).map_or(&nobody, |s| &s.there);
            let just = there.len() + 1 == side.len() && there.iter().all(|m| m != n && side.contains(m));
            // Whoever reaches nobody need not hold the others for dead, so long as it says what it is.
            let knows = |s: &&MembershipSample| matches!(s.view.as_str(), "alone" | "cut off from some");
            just || (side.len() == 1 && held.get(n).is_some_and(knows))
        })
    };
    // Starts and sights in the order of their times: whatever a former life saw is gone with it.
    let mut events: Vec<(f64, usize, Option<&MembershipSample>)> =
        started.iter().map(|(t, n)| (*t, *n, None)).collect();
    events.extend(trace.membership_samples.iter().map(|s| (s.t - begin, s.router, Some(s))));
    events.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut agreed, mut since) = (false, epoch.from);
    let mut looked = false;
    for (t, router, sight) in events {
        if t >= epoch.to {
            break;
        }
        if t >= epoch.from && !looked {
            looked = true;
            (agreed, since) = (whole(&held), epoch.from);
        }
        let Some(sight) = sight else {
            if t >= epoch.from && !side.contains_key(&router) {
                // The others meet a new process before it says that it is ready, and from then on see one more.
                break;
            }
            held.remove(&router);
            if t >= epoch.from {
                agreed = whole(&held);
            }
            continue;
        };
        let former = held.insert(router, sight);
        if t < epoch.from {
            continue;
        }
        if let (Some(former), Some(side)) = (former, side.get(&router)) {
            let lost = former.there.difference(&sight.there);
            let lost = lost.filter(|n| side.contains(n) && t > epoch.from + OLD_VERDICT_S);
            epoch.false_deaths.extend(lost.map(|n| (t, router, *n)));
        }
        let now = whole(&held);
        if now && !agreed {
            since = t;
        }
        agreed = now;
    }
    if !looked {
        agreed = whole(&held);
    }
    epoch.agreed_after = agreed.then(|| (since - epoch.from).max(0.0));
}

impl fmt::Display for Agreement {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.epochs.is_empty() {
            return Ok(());
        }
        writeln!(f, "| from s | what | run, by who reaches whom | all agree after s | false deaths |")?;
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
        if let Some((least, most)) = self.router_counts {
            writeln!(f, "routers reckoned to share the hosts: {least:.0} to {most:.0}")?;
        }
        Ok(())
    }
}

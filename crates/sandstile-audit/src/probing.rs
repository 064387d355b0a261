//! How much the search for a lost primary costs: the rate of probes at each member of a group without a primary, and
//! the longest time for which nobody probed a member. Routers that share probing should cost each host less, without
//! exceeding the agreed gap.
use crate::trace::Trace;
use std::collections::BTreeMap;
use std::fmt;

/// Seconds from the loss of a primary until routers notice it and start the search.
const DETECTION_S: f64 = 0.5;
/// Seconds; shorter searches say nothing about gaps.
const MIN_SEARCH_S: f64 = 1.0;

/// One search for a primary.
#[derive(Clone, Debug)]
pub struct Search {
    pub group: String,
    /// Seconds since the beginning of the run.
    pub from: f64,
    pub to: f64,
    /// Probes a second at each member that answers: mean and maximum.
    pub rate: (f64, f64),
    /// The longest time in seconds without a probe from any router at a member that answers.
    pub gap: f64,
}

/// All searches of a run, except those at its start.
pub fn searches(trace: &Trace) -> Vec<Search> {
    let Some(settings) = &trace.settings else { return Vec::new() };
    let mut out = Vec::new();
    for (_, host, begin, end) in trace.faults.iter().filter(|f| f.2 > settings.begin) {
        let primary_at = |at: f64| trace.primaries.iter().rev().find(|(t, _, h)| *t <= at && h == host);
        let Some((_, group, _)) = primary_at(*begin) else { continue };
        let last = trace.primaries.iter().rev().find(|(t, g, _)| *t <= *begin && g == group);
        if last.is_none_or(|(_, _, h)| h != host) {
            continue;
        }
        let next = trace.primaries.iter().filter(|(t, g, _)| t > begin && g == group).map(|(t, ..)| *t);
        let (from, to) = (begin + DETECTION_S, next.fold(end.min(settings.end), f64::min));
        if to - from < MIN_SEARCH_S {
            continue;
        }
        let mut probes: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        let is_searched = |name: &str| name.starts_with(&format!("s-{group}-")) && name != host;
        for (t, name, kind) in &trace.host_contacts {
            if *kind == "probes" && *t >= from && *t < to && is_searched(name) {
                probes.entry(name).or_default().push(*t);
            }
        }
        let mut gap = 0.0f64;
        for times in probes.values_mut() {
            times.sort_by(f64::total_cmp);
            let bounds: Vec<f64> = std::iter::once(from).chain(times.iter().copied()).chain([to]).collect();
            gap = bounds.windows(2).map(|w| w[1] - w[0]).fold(gap, f64::max);
        }
        let rates: Vec<f64> = probes.values().map(|times| times.len() as f64 / (to - from)).collect();
        // `sum` of an empty iterator of floats is -0.0, which would be printed with its sign.
        let mean = rates.iter().fold(0.0, |sum, rate| sum + rate) / rates.len().max(1) as f64;
        out.push(Search {
            group: group.clone(),
            from: from - settings.begin,
            to: to - settings.begin,
            rate: (mean, rates.iter().copied().fold(0.0, f64::max)),
            gap: if probes.is_empty() { to - from } else { gap },
        });
    }
    out
}

impl fmt::Display for Search {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "group {} without a primary from {:.2} to {:.2}: {:.1} probes a second per member, {:.1} at most, longest gap {:.2} s",
            self.group, self.from, self.to, self.rate.0, self.rate.1, self.gap
        )
    }
}

//! While a group has no primary its members are probed: how much that costs each of them, and for how long one of them was looked at by
//! nobody. Routers that share this duty are to cost each host less, and to leave no longer gap than was agreed.
use crate::trace::Trace;
use std::collections::BTreeMap;
use std::fmt;

/// Seconds for the loss to be felt: a router seeks once it has met it.
const FELT: f64 = 0.5;
/// Shorter searches say nothing of a gap.
const SHORTEST: f64 = 1.0;

/// One search for a primary.
#[derive(Clone, Debug)]
pub struct Search {
    pub group: String,
    /// Seconds since the beginning.
    pub from: f64,
    pub to: f64,
    /// Probes a second at each member that answers: the mean and the most.
    pub rate: (f64, f64),
    /// The longest that any member that answers went without a probe of anybody's.
    pub gap: f64,
}

/// All searches of a run, those of the start left out.
pub fn searches(trace: &Trace) -> Vec<Search> {
    let Some(terms) = &trace.settings else { return Vec::new() };
    let mut out = Vec::new();
    for (_, host, begin, end) in trace.faults.iter().filter(|f| f.2 > terms.begin) {
        let led = |at: f64| trace.primaries.iter().rev().find(|(t, _, h)| *t <= at && h == host);
        let Some((_, group, _)) = led(*begin) else { continue };
        let last = trace.primaries.iter().rev().find(|(t, g, _)| *t <= *begin && g == group);
        if last.is_none_or(|(_, _, h)| h != host) {
            continue;
        }
        let next = trace.primaries.iter().filter(|(t, g, _)| t > begin && g == group).map(|(t, ..)| *t);
        let (from, to) = (begin + FELT, next.fold(end.min(terms.end), f64::min));
        if to - from < SHORTEST {
            continue;
        }
        let mut probes: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        let of_group = |name: &str| name.starts_with(&format!("s-{group}-")) && name != host;
        for (t, name, what) in &trace.host_contacts {
            if *what == "probes" && *t >= from && *t < to && of_group(name) {
                probes.entry(name).or_default().push(*t);
            }
        }
        let mut gap = 0.0f64;
        for times in probes.values_mut() {
            times.sort_by(f64::total_cmp);
            let ends: Vec<f64> = std::iter::once(from).chain(times.iter().copied()).chain([to]).collect();
            gap = ends.windows(2).map(|w| w[1] - w[0]).fold(gap, f64::max);
        }
        let rates: Vec<f64> = probes.values().map(|times| times.len() as f64 / (to - from)).collect();
        // A sum of nothing is less than none, as floats have it.
        let mean = rates.iter().fold(0.0, |all, rate| all + rate) / rates.len().max(1) as f64;
        out.push(Search {
            group: group.clone(),
            from: from - terms.begin,
            to: to - terms.begin,
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
            "group {} without a primary from {:.2} to {:.2}: {:.1} probes a second at a member, {:.1} at the most, longest gap {:.2} s",
            self.group, self.from, self.to, self.rate.0, self.rate.1, self.gap
        )
    }
}

//! What clients got: by workload, and by workload and second. A wish counts from when it was meant to be asked,
//! over all its tries.
use crate::trace::{FinalAnswer, Trace};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    pub requests: u64,
    /// Completed within the SLO time.
    pub in_time: u64,
    /// Completed after it.
    pub late: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Without an answer.
    pub unanswered: u64,
    pub tries: u64,
}

impl OutcomeCounts {
    /// The share in time; 1 where nobody asked.
    pub fn service(&self) -> f64 {
        if self.requests == 0 {
            return 1.0;
        }
        self.in_time as f64 / self.requests as f64
    }
}

pub struct WorkloadService {
    pub name: String,
    pub importance: f64,
    pub tally: OutcomeCounts,
    /// Microseconds from when a wish was meant to be asked to its value, those completed alone.
    pub latency: Histogram<u64>,
    /// By whole seconds since the beginning.
    pub seconds: Vec<OutcomeCounts>,
}

pub struct Service {
    pub workloads: Vec<WorkloadService>,
}

impl Service {
    /// Weighed by importance.
    pub fn overall(&self) -> f64 {
        let worth = |w: &WorkloadService, n: u64| w.importance * n as f64;
        let all: f64 = self.workloads.iter().map(|w| worth(w, w.tally.requests)).sum();
        let good: f64 = self.workloads.iter().map(|w| worth(w, w.tally.in_time)).sum();
        if all > 0.0 {
            good / all
        } else {
            1.0
        }
    }
}

enum End {
    Completed(f64),
    Rejected,
    Failed,
    Nothing,
}

/// The service of a trace that has its beginning; what falls into the time to settle is left out of the totals.
pub fn service(trace: &Trace) -> Option<Service> {
    let terms = trace.settings.as_ref()?;
    // Tries of one wish, by the first one's id.
    let mut requests: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (id, s) in &trace.statements {
        if let Some(asked) = &s.request {
            requests.entry(&asked.first).or_default().push(id);
        }
    }
    let mut workloads: BTreeMap<&str, WorkloadService> = BTreeMap::new();
    for (name, w) in &terms.workloads {
        let latency = Histogram::new_with_bounds(1, 600_000_000, 3).ok()?;
        let (name, importance) = (name.clone(), w.importance);
        let of = WorkloadService {
            name,
            importance,
            tally: OutcomeCounts::default(),
            latency,
            seconds: Vec::new(),
        };
        workloads.insert(terms.workloads.get_key_value(&of.name)?.0, of);
    }
    for tries in requests.values() {
        let all: Vec<_> = tries.iter().filter_map(|id| trace.statements.get(*id)).collect();
        let Some(first) =
            all.iter().filter_map(|s| s.request.as_ref()).min_by(|a, b| a.due.total_cmp(&b.due))
        else {
            continue;
        };
        let Some(of) = workloads.get_mut(first.workload.as_str()) else { continue };
        let slo = terms.workloads[&first.workload].slo;
        let mut end = End::Nothing;
        for s in &all {
            end = match (s.answers.first(), end) {
                (Some((t, FinalAnswer::Completed { .. })), End::Completed(before)) => {
                    End::Completed(before.min(*t))
                }
                (Some((t, FinalAnswer::Completed { .. })), _) => End::Completed(*t),
                (_, End::Completed(t)) => End::Completed(t),
                (Some((_, FinalAnswer::Failed { .. })), _) | (_, End::Failed) => End::Failed,
                (Some((_, FinalAnswer::Rejected)), _) | (_, End::Rejected) => End::Rejected,
                (None, End::Nothing) => End::Nothing,
            };
        }
        let mut one = OutcomeCounts { requests: 1, tries: all.len() as u64, ..OutcomeCounts::default() };
        match end {
            End::Completed(t) if t - first.due <= slo => one.in_time = 1,
            End::Completed(_) => one.late = 1,
            End::Rejected => one.rejected = 1,
            End::Failed => one.failed = 1,
            End::Nothing => one.unanswered = 1,
        }
        let since = first.due - terms.begin;
        let second = since.max(0.0) as usize;
        if of.seconds.len() <= second {
            of.seconds.resize(second + 1, OutcomeCounts::default());
        }
        add(&mut of.seconds[second], &one);
        if since < terms.settle {
            continue;
        }
        add(&mut of.tally, &one);
        if let End::Completed(t) = end {
            of.latency.saturating_record(((t - first.due).max(0.0) * 1e6) as u64);
        }
    }
    Some(Service { workloads: workloads.into_values().collect() })
}

fn add(to: &mut OutcomeCounts, one: &OutcomeCounts) {
    to.requests += one.requests;
    to.in_time += one.in_time;
    to.late += one.late;
    to.rejected += one.rejected;
    to.failed += one.failed;
    to.unanswered += one.unanswered;
    to.tries += one.tries;
}

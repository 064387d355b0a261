//! The service that clients got, by workload and second. A request counts from when it was due, over all its attempts.
use crate::trace::{FinalAnswer, Trace};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct OutcomeCounts {
    /// Requests; one with several attempts counts once.
    pub requests: u64,
    /// Completed within the workload's SLO.
    pub in_time: u64,
    /// Completed after it.
    pub late: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Without a final answer.
    pub unanswered: u64,
    /// Attempts of all requests.
    pub tries: u64,
}

impl OutcomeCounts {
    /// The share of requests served in time; 1 where there were none.
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
    /// Microseconds from when a request was due to its value, of completed requests only.
    pub latency: Histogram<u64>,
    /// By whole seconds since the beginning of the run.
    pub seconds: Vec<OutcomeCounts>,
}

pub struct Service {
    pub workloads: Vec<WorkloadService>,
}

impl Service {
    /// The share of requests served in time, weighted by importance.
    pub fn overall(&self) -> f64 {
        let weighted = |w: &WorkloadService, n: u64| w.importance * n as f64;
        let all: f64 = self.workloads.iter().map(|w| weighted(w, w.tally.requests)).sum();
        let in_time: f64 = self.workloads.iter().map(|w| weighted(w, w.tally.in_time)).sum();
        if all > 0.0 {
            in_time / all
        } else {
            1.0
        }
    }
}

enum Outcome {
    Completed(f64),
    Rejected,
    Failed,
    Unanswered,
}

/// The service of a trace, if the trace has its beginning. The totals leave out the time to settle.
pub fn service(trace: &Trace) -> Option<Service> {
    let settings = trace.settings.as_ref()?;
    // The attempts of each request, by the id of the first.
    let mut requests: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (id, statement) in &trace.statements {
        if let Some(attempt) = &statement.request {
            requests.entry(&attempt.first).or_default().push(id);
        }
    }
    let mut workloads: BTreeMap<&str, WorkloadService> = BTreeMap::new();
    for (name, w) in &settings.workloads {
        let latency = Histogram::new_with_bounds(1, 600_000_000, 3).ok()?;
        let (name, importance) = (name.clone(), w.importance);
        let workload = WorkloadService {
            name,
            importance,
            tally: OutcomeCounts::default(),
            latency,
            seconds: Vec::new(),
        };
        workloads.insert(settings.workloads.get_key_value(&workload.name)?.0, workload);
    }
    for attempts in requests.values() {
        let all: Vec<_> = attempts.iter().filter_map(|id| trace.statements.get(*id)).collect();
        let Some(first) =
            all.iter().filter_map(|s| s.request.as_ref()).min_by(|a, b| a.due.total_cmp(&b.due))
        else {
            continue;
        };
        let Some(workload) = workloads.get_mut(first.workload.as_str()) else { continue };
        let slo = settings.workloads[&first.workload].slo;
        let mut outcome = Outcome::Unanswered;
        for statement in &all {
            outcome = match (statement.answers.first(), outcome) {
                (Some((t, FinalAnswer::Completed { .. })), Outcome::Completed(before)) => {
                    Outcome::Completed(before.min(*t))
                }
                (Some((t, FinalAnswer::Completed { .. })), _) => Outcome::Completed(*t),
                (_, Outcome::Completed(t)) => Outcome::Completed(t),
                (Some((_, FinalAnswer::Failed { .. })), _) | (_, Outcome::Failed) => Outcome::Failed,
                (Some((_, FinalAnswer::Rejected)), _) | (_, Outcome::Rejected) => Outcome::Rejected,
                (None, Outcome::Unanswered) => Outcome::Unanswered,
            };
        }
        let mut counts = OutcomeCounts { requests: 1, tries: all.len() as u64, ..OutcomeCounts::default() };
        match outcome {
            Outcome::Completed(t) if t - first.due <= slo => counts.in_time = 1,
            Outcome::Completed(_) => counts.late = 1,
            Outcome::Rejected => counts.rejected = 1,
            Outcome::Failed => counts.failed = 1,
            Outcome::Unanswered => counts.unanswered = 1,
        }
        let since = first.due - settings.begin;
        let second = since.max(0.0) as usize;
        if workload.seconds.len() <= second {
            workload.seconds.resize(second + 1, OutcomeCounts::default());
        }
        add(&mut workload.seconds[second], &counts);
        if since < settings.settle {
            continue;
        }
        add(&mut workload.tally, &counts);
        if let Outcome::Completed(t) = outcome {
            workload.latency.saturating_record(((t - first.due).max(0.0) * 1e6) as u64);
        }
    }
    Some(Service { workloads: workloads.into_values().collect() })
}

fn add(total: &mut OutcomeCounts, counts: &OutcomeCounts) {
    total.requests += counts.requests;
    total.in_time += counts.in_time;
    total.late += counts.late;
    total.rejected += counts.rejected;
    total.failed += counts.failed;
    total.unanswered += counts.unanswered;
    total.tries += counts.tries;
}

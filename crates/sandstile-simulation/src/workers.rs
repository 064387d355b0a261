//! Closed-loop clients, as in the paper's measurements: each sends a statement, waits for its answer and immediately
//! sends the next one to a randomly drawn database. Answers within the measured period are counted in histograms.
use crate::instance_driver::{ClientRequest, FinalAnswer};
use crate::world::Clients;
use hdrhistogram::Histogram;
use sandstile_fleet::random::Rng;
use sandstile_timers::TimerHeap;
use std::collections::BTreeMap;

pub struct Tally {
    /// Microseconds from the first attempt of a statement to its final answer.
    pub latency_us: Histogram<u64>,
    pub completed: u64,
    pub rejected: u64,
    pub aborted: u64,
    pub seconds: f64,
}

impl Tally {
    /// Completed statements per second.
    pub fn rate(&self) -> f64 {
        self.completed as f64 / self.seconds.max(1e-9)
    }

    pub fn mean_ms(&self) -> f64 {
        self.latency_us.mean() / 1e3
    }

    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1e3
    }
}

struct PendingRequest {
    worker: usize,
    since: f64,
    workload: usize,
    group: usize,
}

pub struct Workers {
    rng: Rng,
    groups: usize,
    routers: usize,
    /// The share of statements of workload 1; the others are of workload 0.
    write_share: f64,
    timeout_s: f64,
    /// When each idle worker sends its next statement, and the request that it repeats if it was rejected.
    ready: TimerHeap<(usize, Option<PendingRequest>)>,
    earliest: f64,
    pending: BTreeMap<u64, PendingRequest>,
    last_key: u64,
    /// Answers are counted from this time on.
    measured_from: f64,
    pub tally: Tally,
}

impl Workers {
    /// Creates `workers` workers that start at `now`. Answers are counted for `seconds` from `measured_from` on;
    /// `timeout_s` is the timeout of each statement.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        seed: u64,
        workers: usize,
        groups: usize,
        routers: usize,
        write_share: f64,
        timeout_s: f64,
        now: f64,
        measured_from: f64,
        seconds: f64,
    ) -> Self {
        let mut ready = TimerHeap::default();
        // The starts are spread by 1 ms each, since real clients don't start at the same instant.
        (0..workers).for_each(|n| ready.push(now + n as f64 * 1e-3, (n, None)));
        let latency_us = Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid histogram bounds");
        let tally = Tally { latency_us, completed: 0, rejected: 0, aborted: 0, seconds };
        let rng = Rng::new(seed, "workers");
        let (pending, last_key) = (BTreeMap::new(), 0);
        Workers {
            rng,
            groups,
            routers,
            write_share,
            timeout_s,
            ready,
            earliest: now,
            pending,
            last_key,
            measured_from,
            tally,
        }
    }
}

impl Workers {
    /// Number of statements without a final answer.
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// Number of workers without a statement in progress.
    pub fn idle_workers(&self) -> usize {
        self.ready.len()
    }
}

impl Clients for Workers {
    fn next_request_at(&self) -> f64 {
        self.earliest
    }

    fn take_due_requests(&mut self, now: f64) -> Vec<(usize, ClientRequest)> {
        let mut requests = Vec::new();
        while let Some((_, (worker, repeated))) = self.ready.pop(now) {
            let pending = repeated.unwrap_or_else(|| PendingRequest {
                worker,
                since: now,
                workload: usize::from(self.rng.bernoulli(self.write_share)),
                group: self.rng.below(self.groups),
            });
            self.last_key += 1;
            let request = ClientRequest {
                key: self.last_key,
                workload: pending.workload,
                group: pending.group,
                session: worker,
                timeout: self.timeout_s,
            };
            self.pending.insert(self.last_key, pending);
            requests.push((worker % self.routers, request));
        }
        self.earliest = self.ready.earliest().unwrap_or(f64::INFINITY);
        requests
    }

    fn on_answer(&mut self, now: f64, key: u64, answer: FinalAnswer) {
        let Some(pending) = self.pending.remove(&key) else { return };
        let is_measured = now >= self.measured_from;
        let worker = pending.worker;
        let (ready_at, repeated) = match answer {
            FinalAnswer::Completed => {
                if is_measured {
                    self.tally.completed += 1;
                    self.tally.latency_us.saturating_record(((now - pending.since) * 1e6) as u64);
                }
                (now, None)
            }
            FinalAnswer::Aborted => {
                self.tally.aborted += u64::from(is_measured);
                (now, None)
            }
            // The statement is retried after the time given in the rejection; its latency keeps counting.
            FinalAnswer::Rejected(after) => {
                self.tally.rejected += u64::from(is_measured);
                (now + after.max(0.001), Some(pending))
            }
        };
        self.ready.push(ready_at, (worker, repeated));
        self.earliest = self.earliest.min(ready_at);
    }
}

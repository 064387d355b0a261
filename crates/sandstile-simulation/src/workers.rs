//! Clients in a closed loop, as in the paper's measurements: each asks, waits for its answer and asks again at once, of a
//! database drawn anew each time. What was answered in the counted time goes into histograms.
use crate::instance_driver::{ClientRequest, FinalAnswer};
use crate::world::Clients;
use hdrhistogram::Histogram;
use sandstile_fleet::random::Rng;
use sandstile_timers::TimerHeap;
use std::collections::BTreeMap;

pub struct Tally {
    /// Microseconds from the first try of a statement to its last answer.
    pub latency_us: Histogram<u64>,
    pub completed: u64,
    pub rejected: u64,
    pub aborted: u64,
    pub seconds: f64,
}

impl Tally {
    /// Statements completed a second.
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

struct Out {
    worker: usize,
    since: f64,
    workload: usize,
    group: usize,
}

pub struct Workers {
    rng: Rng,
    groups: usize,
    routers: usize,
    /// The share of statements that are of workload 1; the others are of workload 0.
    writes: f64,
    wait: f64,
    /// When each worker that has nothing out asks next, and what it asks again if it was refused.
    ready: TimerHeap<(usize, Option<Out>)>,
    earliest: f64,
    out: BTreeMap<u64, Out>,
    next: u64,
    /// Answers count from here on.
    from: f64,
    pub tally: Tally,
}

impl Workers {
    /// So many workers that begin at `now` and are counted from `from` for `seconds`; each waits `wait` seconds.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        seed: u64,
        workers: usize,
        groups: usize,
        routers: usize,
        writes: f64,
        wait: f64,
        now: f64,
        from: f64,
        seconds: f64,
    ) -> Self {
        let mut ready = TimerHeap::default();
        // Not all in the same instant, which no real start is.
        (0..workers).for_each(|n| ready.push(now + n as f64 * 1e-3, (n, None)));
        let latency_us = Histogram::new_with_bounds(1, 600_000_000, 3).expect("usable bounds");
        let tally = Tally { latency_us, completed: 0, rejected: 0, aborted: 0, seconds };
        let rng = Rng::new(seed, "workers");
        let (out, next) = (BTreeMap::new(), 0);
        Workers { rng, groups, routers, writes, wait, ready, earliest: now, out, next, from, tally }
    }
}

impl Workers {
    /// Statements that are out.
    pub fn out(&self) -> usize {
        self.out.len()
    }

    /// Workers that have nothing out.
    pub fn waiting(&self) -> usize {
        self.ready.len()
    }
}

impl Clients for Workers {
    fn next_request_at(&self) -> f64 {
        self.earliest
    }

    fn take_due_requests(&mut self, now: f64) -> Vec<(usize, ClientRequest)> {
        let mut asked = Vec::new();
        while let Some((_, (worker, again))) = self.ready.pop(now) {
            let out = again.unwrap_or_else(|| Out {
                worker,
                since: now,
                workload: usize::from(self.rng.bernoulli(self.writes)),
                group: self.rng.below(self.groups),
            });
            self.next += 1;
            let wanted = ClientRequest {
                key: self.next,
                workload: out.workload,
                group: out.group,
                session: worker,
                wait: self.wait,
            };
            self.out.insert(self.next, out);
            asked.push((worker % self.routers, wanted));
        }
        self.earliest = self.ready.earliest().unwrap_or(f64::INFINITY);
        asked
    }

    fn on_answer(&mut self, now: f64, key: u64, answer: FinalAnswer) {
        let Some(out) = self.out.remove(&key) else { return };
        let counted = now >= self.from;
        let worker = out.worker;
        let (at, again) = match answer {
            FinalAnswer::Completed => {
                if counted {
                    self.tally.completed += 1;
                    self.tally.latency_us.saturating_record(((now - out.since) * 1e6) as u64);
                }
                (now, None)
            }
            FinalAnswer::Aborted => {
                self.tally.aborted += u64::from(counted);
                (now, None)
            }
            // It comes again when it is told to, and its time runs.
            FinalAnswer::Rejected(after) => {
                self.tally.rejected += u64::from(counted);
                (now + after.max(0.001), Some(out))
            }
        };
        self.ready.push(at, (worker, again));
        self.earliest = self.earliest.min(at);
    }
}

//! Clients in a closed loop, as in the paper's measurements: each asks, waits for its answer and asks again at once, of a
//! database drawn anew each time. What was answered in the counted time goes into histograms.
use crate::instance_driver::{Final, Wanted};
use crate::world::Clients;
use hdrhistogram::Histogram;
use sandstile_fleet::random::Chance;
use sandstile_timers::TimerHeap;
use std::collections::BTreeMap;

pub struct Tally {
    /// Microseconds from the first try of a statement to its last answer.
    pub took: Histogram<u64>,
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
        self.took.mean() / 1e3
    }

    pub fn at_ms(&self, quantile: f64) -> f64 {
        self.took.value_at_quantile(quantile) as f64 / 1e3
    }
}

struct Out {
    worker: usize,
    since: f64,
    workload: usize,
    group: usize,
}

pub struct Workers {
    chance: Chance,
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
        let took = Histogram::new_with_bounds(1, 600_000_000, 3).expect("usable bounds");
        let tally = Tally { took, completed: 0, rejected: 0, aborted: 0, seconds };
        let chance = Chance::new(seed, "workers");
        let (out, next) = (BTreeMap::new(), 0);
        Workers { chance, groups, routers, writes, wait, ready, earliest: now, out, next, from, tally }
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
    fn next(&self) -> f64 {
        self.earliest
    }

    fn due(&mut self, now: f64) -> Vec<(usize, Wanted)> {
        let mut asked = Vec::new();
        while let Some((_, (worker, again))) = self.ready.pop(now) {
            let out = again.unwrap_or_else(|| Out {
                worker,
                since: now,
                workload: usize::from(self.chance.happens(self.writes)),
                group: self.chance.below(self.groups),
            });
            self.next += 1;
            let wanted = Wanted {
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

    fn answered(&mut self, now: f64, key: u64, answer: Final) {
        let Some(out) = self.out.remove(&key) else { return };
        let counted = now >= self.from;
        let worker = out.worker;
        let (at, again) = match answer {
            Final::Completed => {
                if counted {
                    self.tally.completed += 1;
                    self.tally.took.saturating_record(((now - out.since) * 1e6) as u64);
                }
                (now, None)
            }
            Final::Aborted => {
                self.tally.aborted += u64::from(counted);
                (now, None)
            }
            // It comes again when it is told to, and its time runs.
            Final::Rejected(after) => {
                self.tally.rejected += u64::from(counted);
                (now + after.max(0.001), Some(out))
            }
        };
        self.ready.push(at, (worker, again));
        self.earliest = self.earliest.min(at);
    }
}

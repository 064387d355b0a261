//! A machine's cores and what runs and waits on them. Jobs are numbers that the caller gives; work is seconds of
//! one core at speed 1.
use crate::plan::Discipline;
use std::collections::{BTreeMap, VecDeque};

/// Work that is done to within this counts as done: sums of times lose as much.
const DONE: f64 = 1e-9;

pub struct Cpu {
    discipline: Discipline,
    /// Fastest first.
    cores: Vec<f64>,
    most: usize,
    /// The part of the cores that is to be had now, 0 to 1 or above.
    share: f64,
    now: f64,
    running: Vec<Option<(u64, f64)>>,
    waiting: VecDeque<(u64, f64)>,
    /// Shared: the work that each job has had since the start of time, and the jobs by the work at which they end.
    had: f64,
    ends: BTreeMap<(u64, u64), ()>,
    end_of: BTreeMap<u64, u64>,
}

impl Cpu {
    pub fn new(discipline: Discipline, cores: &[f64], most: usize, now: f64) -> Self {
        let mut cores = cores.to_vec();
        cores.sort_by(|a, b| b.total_cmp(a));
        let running = vec![None; cores.len()];
        let (waiting, ends, end_of) = (VecDeque::new(), BTreeMap::new(), BTreeMap::new());
        Cpu { discipline, cores, most, share: 1.0, now, running, waiting, had: 0.0, ends, end_of }
    }

    /// What all cores do in a second at their whole share.
    pub fn capacity(&self) -> f64 {
        self.cores.iter().sum()
    }

    pub fn share(&self) -> f64 {
        self.share
    }

    /// Jobs that run or wait.
    pub fn jobs(&self) -> usize {
        match self.discipline {
            Discipline::Queue => self.running.iter().flatten().count() + self.waiting.len(),
            Discipline::Sharing => self.end_of.len(),
        }
    }

    pub fn full(&self) -> bool {
        self.jobs() >= self.most
    }

    pub fn set_share(&mut self, now: f64, share: f64) {
        self.progress(now);
        self.share = share.max(0.0);
    }

    /// A job more, whether or not there is room: the caller asks `full` where that matters.
    pub fn start(&mut self, now: f64, job: u64, work: f64) {
        self.progress(now);
        match self.discipline {
            Discipline::Queue => {
                self.waiting.push_back((job, work));
                self.fill();
            }
            Discipline::Sharing => {
                // Bits of floats above zero sort as the floats do.
                let end = (self.had + work.max(0.0)).to_bits();
                self.ends.insert((end, job), ());
                self.end_of.insert(job, end);
            }
        }
    }

    /// Takes a job off and yields the work that it still lacked; `None` where it is not here.
    pub fn stop(&mut self, now: f64, job: u64) -> Option<f64> {
        self.progress(now);
        match self.discipline {
            Discipline::Queue => {
                if let Some(at) = self.running.iter().position(|r| r.is_some_and(|(j, _)| j == job)) {
                    let left = self.running[at].take().map(|(_, left)| left);
                    self.fill();
                    return left;
                }
                let at = self.waiting.iter().position(|(j, _)| *j == job)?;
                self.waiting.remove(at).map(|(_, left)| left)
            }
            Discipline::Sharing => {
                let end = self.end_of.remove(&job)?;
                self.ends.remove(&(end, job));
                Some((f64::from_bits(end) - self.had).max(0.0))
            }
        }
    }

    fn fill(&mut self) {
        for core in &mut self.running {
            if core.is_none() {
                *core = self.waiting.pop_front();
            }
        }
    }

    /// Work a second for each of the jobs that share.
    fn pace(&self) -> f64 {
        let jobs = self.end_of.len();
        let total: f64 = self.cores.iter().take(jobs).sum();
        self.share * total / jobs.max(1) as f64
    }

    /// When the next job ends, if nothing changes before.
    pub fn next(&self) -> Option<f64> {
        if self.share <= 0.0 {
            return None;
        }
        let left = match self.discipline {
            Discipline::Queue => {
                let lefts = self.running.iter().zip(&self.cores);
                lefts
                    .filter_map(|(r, speed)| r.map(|(_, left)| left / (speed * self.share)))
                    .reduce(f64::min)?
            }
            Discipline::Sharing => {
                let ((end, _), ()) = self.ends.first_key_value()?;
                (f64::from_bits(*end) - self.had) / self.pace()
            }
        };
        Some(self.now + left.max(0.0))
    }

    /// Moves on without looking for ends; the caller takes those with `ended` first.
    fn progress(&mut self, now: f64) {
        let step = (now - self.now).max(0.0);
        self.now = self.now.max(now);
        match self.discipline {
            Discipline::Queue => {
                for (core, speed) in self.running.iter_mut().zip(&self.cores) {
                    if let Some((_, left)) = core {
                        *left -= step * speed * self.share;
                    }
                }
            }
            Discipline::Sharing => {
                self.had += step * self.pace();
                if self.end_of.is_empty() {
                    // The sum begins anew before it grows so large that it rounds work away.
                    self.had = 0.0;
                }
            }
        }
    }

    /// The next job that has ended by now, and when.
    pub fn ended(&mut self, now: f64) -> Option<(f64, u64)> {
        let at = self.next().filter(|at| *at <= now + DONE)?;
        self.progress(at);
        let job = match self.discipline {
            Discipline::Queue => {
                let least = |r: &Option<(u64, f64)>| r.filter(|(_, left)| *left <= DONE).map(|(job, _)| job);
                let at = self.running.iter().position(|r| least(r).is_some())?;
                let (job, _) = self.running[at].take()?;
                self.fill();
                job
            }
            Discipline::Sharing => {
                let ((end, job), ()) = self.ends.pop_first()?;
                self.end_of.remove(&job);
                self.had = self.had.max(f64::from_bits(end));
                if self.end_of.is_empty() {
                    self.had = 0.0;
                }
                job
            }
        };
        Some((at, job))
    }
}

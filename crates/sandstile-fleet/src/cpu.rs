//! The cores of a machine and the jobs that run or wait on them. Job ids come from the caller; work is measured in
//! seconds of one core at speed 1.
use crate::plan::Discipline;
use std::collections::{BTreeMap, VecDeque};

/// A job with no more than this much work left is finished: sums of floating-point times lose about as much.
const WORK_EPSILON_S: f64 = 1e-9;

pub struct Cpu {
    discipline: Discipline,
    /// Fastest first.
    cores: Vec<f64>,
    max_jobs: usize,
    /// Speed factor of all cores at present; 1 is full speed, 0 stops them.
    share: f64,
    now: f64,
    running: Vec<Option<(u64, f64)>>,
    waiting: VecDeque<(u64, f64)>,
    /// For `Sharing`: the work that each job has received so far, counted from a common origin, and the jobs ordered
    /// by the value of this count at which they finish.
    work_per_job: f64,
    jobs_by_end: BTreeMap<(u64, u64), ()>,
    end_by_job: BTreeMap<u64, u64>,
}

impl Cpu {
    pub fn new(discipline: Discipline, cores: &[f64], max_jobs: usize, now: f64) -> Self {
        let mut cores = cores.to_vec();
        cores.sort_by(|a, b| b.total_cmp(a));
        let running = vec![None; cores.len()];
        let (waiting, jobs_by_end, end_by_job) = (VecDeque::new(), BTreeMap::new(), BTreeMap::new());
        Cpu {
            discipline,
            cores,
            max_jobs,
            share: 1.0,
            now,
            running,
            waiting,
            work_per_job: 0.0,
            jobs_by_end,
            end_by_job,
        }
    }

    /// Work per second of all cores at full speed.
    pub fn capacity(&self) -> f64 {
        self.cores.iter().sum()
    }

    pub fn share(&self) -> f64 {
        self.share
    }

    /// Number of jobs that run or wait.
    pub fn job_count(&self) -> usize {
        match self.discipline {
            Discipline::Queue => self.running.iter().flatten().count() + self.waiting.len(),
            Discipline::Sharing => self.end_by_job.len(),
        }
    }

    pub fn is_full(&self) -> bool {
        self.job_count() >= self.max_jobs
    }

    pub fn set_share(&mut self, now: f64, share: f64) {
        self.advance_to(now);
        self.share = share.max(0.0);
    }

    /// Adds a job even above `max_jobs`; callers that enforce the limit check `is_full` first.
    pub fn start(&mut self, now: f64, job: u64, work: f64) {
        self.advance_to(now);
        match self.discipline {
            Discipline::Queue => {
                self.waiting.push_back((job, work));
                self.assign_free_cores();
            }
            Discipline::Sharing => {
                // The bit patterns of non-negative floats sort like the floats.
                let end = (self.work_per_job + work.max(0.0)).to_bits();
                self.jobs_by_end.insert((end, job), ());
                self.end_by_job.insert(job, end);
            }
        }
    }

    /// Removes a job and returns its remaining work; `None` if the job is not here.
    pub fn stop(&mut self, now: f64, job: u64) -> Option<f64> {
        self.advance_to(now);
        match self.discipline {
            Discipline::Queue => {
                if let Some(core) = self.running.iter().position(|r| r.is_some_and(|(j, _)| j == job)) {
                    let remaining_work = self.running[core].take().map(|(_, remaining_work)| remaining_work);
                    self.assign_free_cores();
                    return remaining_work;
                }
                let index = self.waiting.iter().position(|(j, _)| *j == job)?;
                self.waiting.remove(index).map(|(_, remaining_work)| remaining_work)
            }
            Discipline::Sharing => {
                let end = self.end_by_job.remove(&job)?;
                self.jobs_by_end.remove(&(end, job));
                Some((f64::from_bits(end) - self.work_per_job).max(0.0))
            }
        }
    }

    fn assign_free_cores(&mut self) {
        for core in &mut self.running {
            if core.is_none() {
                *core = self.waiting.pop_front();
            }
        }
    }

    /// Work per second that each job receives under `Sharing`.
    fn rate_per_job(&self) -> f64 {
        let job_count = self.end_by_job.len();
        let total: f64 = self.cores.iter().take(job_count).sum();
        self.share * total / job_count.max(1) as f64
    }

    /// When the next job finishes if nothing changes before.
    pub fn next_finish_at(&self) -> Option<f64> {
        if self.share <= 0.0 {
            return None;
        }
        let remaining_work = match self.discipline {
            Discipline::Queue => {
                let running_with_speed = self.running.iter().zip(&self.cores);
                running_with_speed
                    .filter_map(|(r, speed)| {
                        r.map(|(_, remaining_work)| remaining_work / (speed * self.share))
                    })
                    .reduce(f64::min)?
            }
            Discipline::Sharing => {
                let ((end, _), ()) = self.jobs_by_end.first_key_value()?;
                (f64::from_bits(*end) - self.work_per_job) / self.rate_per_job()
            }
        };
        Some(self.now + remaining_work.max(0.0))
    }

    /// Advances the running jobs to `now` without removing finished ones; the caller takes those with `pop_finished`
    /// first.
    fn advance_to(&mut self, now: f64) {
        let step = (now - self.now).max(0.0);
        self.now = self.now.max(now);
        match self.discipline {
            Discipline::Queue => {
                for (core, speed) in self.running.iter_mut().zip(&self.cores) {
                    if let Some((_, remaining_work)) = core {
                        *remaining_work -= step * speed * self.share;
                    }
                }
            }
            Discipline::Sharing => {
                self.work_per_job += step * self.rate_per_job();
                if self.end_by_job.is_empty() {
                    // Restarts the count while idle, so that it never grows large enough to lose precision.
                    self.work_per_job = 0.0;
                }
            }
        }
    }

    /// Removes the next job that has finished by `now`; returns its finish time and id.
    pub fn pop_finished(&mut self, now: f64) -> Option<(f64, u64)> {
        let at = self.next_finish_at().filter(|at| *at <= now + WORK_EPSILON_S)?;
        self.advance_to(at);
        let job = match self.discipline {
            Discipline::Queue => {
                let finished_job = |r: &Option<(u64, f64)>| {
                    r.filter(|(_, remaining_work)| *remaining_work <= WORK_EPSILON_S).map(|(job, _)| job)
                };
                let core = self.running.iter().position(|r| finished_job(r).is_some())?;
                let (job, _) = self.running[core].take()?;
                self.assign_free_cores();
                job
            }
            Discipline::Sharing => {
                let ((end, job), ()) = self.jobs_by_end.pop_first()?;
                self.end_by_job.remove(&job);
                self.work_per_job = self.work_per_job.max(f64::from_bits(end));
                if self.end_by_job.is_empty() {
                    self.work_per_job = 0.0;
                }
                job
            }
        };
        Some((at, job))
    }
}

//! What clients and hosts saw of each statement, collected while a run goes on.
use crate::plan::Event;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

const STALL_LOOK: Duration = Duration::from_millis(5);
const LEAST_STALL_S: f64 = 0.02;

/// What a statement may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of executions will do.
    Idempotent,
    /// Hosts drop repeats for a while.
    Deduplicated,
    /// One execution at the most.
    NonIdempotent,
}

/// How a request ended at its client. Times are seconds of the run.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// A whole final answer.
    Answered { code: Option<String>, at: f64 },
    /// The connection ended without a byte of an answer.
    Closed { at: f64 },
    /// The connection ended in the midst of an answer.
    CutShort { at: f64 },
    /// Nothing came within the time of a final answer.
    Silent,
    /// The client closed its connection, and did not wait.
    Left { at: f64 },
}

/// One request, as its client saw it.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub group: usize,
    pub router: usize,
    /// The life of the router's process, counted from 0.
    pub life: usize,
    pub effect: Effect,
    /// Seconds that the client waits.
    pub wait: f64,
    /// When its last byte was written.
    pub written_at: f64,
    /// The first request on its connection.
    pub fresh: bool,
    pub end: End,
    /// The position that the answer was read at, and the one that the session had written before; milliseconds.
    pub position: Option<u64>,
    pub wrote_before: Option<u64>,
}

/// One execution's arrival at a host.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub host: usize,
    pub at: f64,
    /// Seconds that it was told, where it was told any.
    pub told: Option<f64>,
    /// It was executed, as far as the host knows: turned away, or dropped as a repeat, it was not.
    pub ran: bool,
}

/// What happened to processes and hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum Happened {
    Started {
        router: usize,
        life: usize,
    },
    Terminated {
        router: usize,
        life: usize,
    },
    Killed {
        router: usize,
        life: usize,
    },
    /// It ended by itself, with this code; `None` where a signal ended it.
    Ended {
        router: usize,
        life: usize,
        code: Option<i32>,
    },
    Panicked {
        router: usize,
        life: usize,
        line: String,
    },
    Memory {
        router: usize,
        life: usize,
        kilobytes: u64,
    },
    /// Discovery wrote this to all open watches.
    HostDrains {
        host: usize,
    },
    HostCold {
        host: usize,
    },
    Applied(Event),
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Observations {
    pub requests: Vec<Request>,
    pub arrivals: Vec<Arrival>,
    pub happened: Vec<(f64, Happened)>,
    /// When this process woke late, and by how many seconds: what it saw then is off by as much.
    pub stalls: Vec<(f64, f64)>,
}

/// Shared by all threads of a run.
#[derive(Clone)]
pub struct Recorder {
    began: Instant,
    observations: Arc<Mutex<Observations>>,
    over: Arc<AtomicBool>,
}

impl Recorder {
    pub fn begin() -> Recorder {
        Recorder { began: Instant::now(), observations: Arc::default(), over: Arc::default() }
    }

    /// Seconds since the run began.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().expect("no thread panics under the lock")
    }

    pub fn request(&self, request: Request) {
        self.observations().requests.push(request);
    }

    pub fn arrival(&self, arrival: Arrival) {
        self.observations().arrivals.push(arrival);
    }

    pub fn happened(&self, what: Happened) {
        let at = self.now();
        self.observations().happened.push((at, what));
    }

    /// Notes how late this process wakes, until the run is over.
    pub fn watch_stalls(&self) {
        while !self.is_over() {
            let due = self.now() + STALL_LOOK.as_secs_f64();
            thread::sleep(STALL_LOOK);
            let late = self.now() - due;
            if late > LEAST_STALL_S {
                let at = self.now();
                self.observations().stalls.push((at, late));
            }
        }
    }

    /// The run is over: stand-ins let go of their addresses.
    pub fn end(&self) {
        self.over.store(true, SeqCst);
    }

    pub fn is_over(&self) -> bool {
        self.over.load(SeqCst)
    }

    /// Takes all that was seen.
    pub fn take(&self) -> Observations {
        std::mem::take(&mut *self.observations())
    }
}

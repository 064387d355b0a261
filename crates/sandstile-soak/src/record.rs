//! What clients and hosts observed of each statement, collected during a run.
use crate::plan::Event;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// How long the stall watcher sleeps between two checks.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// A wake-up that is later than this, in seconds, counts as a stall.
const MIN_STALL_S: f64 = 0.02;

/// How often a statement may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may be executed any number of times.
    Idempotent,
    /// Hosts drop repeated executions for a while.
    Deduplicated,
    /// It may be executed once at most.
    NonIdempotent,
}

/// How a request ended at its client. Times are seconds since the run began.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// A complete final answer came, with the SQLSTATE of an error.
    Answered { code: Option<String>, at: f64 },
    /// The connection was closed before the first byte of an answer.
    Closed { at: f64 },
    /// The connection was closed in the middle of an answer.
    CutShort { at: f64 },
    /// No answer came before the client stopped listening.
    Silent,
    /// The client closed the connection without waiting for the answer.
    Left { at: f64 },
}

/// One request, as its client saw it.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub group: usize,
    pub router: usize,
    /// The generation of the router process, counted from 0.
    pub life: usize,
    pub effect: Effect,
    /// The client's timeout in seconds.
    pub wait: f64,
    /// When its last byte was written.
    pub written_at: f64,
    /// Whether this was the first request on its connection.
    pub fresh: bool,
    pub end: End,
    /// The log position that the answer was read at, and that of the session's last write before; in milliseconds.
    pub position: Option<u64>,
    pub wrote_before: Option<u64>,
}

/// A statement's arrival at a host.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub host: usize,
    pub at: f64,
    /// The remaining time in seconds that the statement was sent with, if any.
    pub told: Option<f64>,
    /// Whether the host executed it, instead of rejecting it or dropping it as a repeat.
    pub ran: bool,
}

/// An event of a router process or a host.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEvent {
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
    /// The process ended by itself, with this code; `None` where a signal ended it.
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
    /// Discovery has written this change to all open watches.
    HostDrains {
        host: usize,
    },
    HostCold {
        host: usize,
    },
    Applied(Event),
}

/// Everything that was observed in a run.
#[derive(Debug, Default)]
pub struct Observations {
    pub requests: Vec<Request>,
    pub arrivals: Vec<Arrival>,
    pub events: Vec<(f64, RunEvent)>,
    /// When this process woke late, and by how many seconds. Its observations at such a time are late by as much.
    pub stalls: Vec<(f64, f64)>,
}

/// Collects observations; shared by all threads of a run.
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

    pub fn record_request(&self, request: Request) {
        self.observations().requests.push(request);
    }

    pub fn record_arrival(&self, arrival: Arrival) {
        self.observations().arrivals.push(arrival);
    }

    pub fn record_event(&self, event: RunEvent) {
        let at = self.now();
        self.observations().events.push((at, event));
    }

    /// Records how late this process wakes, until the run is over.
    pub fn watch_stalls(&self) {
        while !self.is_over() {
            let due = self.now() + STALL_CHECK_INTERVAL.as_secs_f64();
            thread::sleep(STALL_CHECK_INTERVAL);
            let late = self.now() - due;
            if late > MIN_STALL_S {
                let at = self.now();
                self.observations().stalls.push((at, late));
            }
        }
    }

    /// Ends the run: the stand-ins release their addresses.
    pub fn end(&self) {
        self.over.store(true, SeqCst);
    }

    pub fn is_over(&self) -> bool {
        self.over.load(SeqCst)
    }

    /// Takes all observations out of the recorder.
    pub fn take(&self) -> Observations {
        std::mem::take(&mut *self.observations())
    }
}

//! Threads for the connections of the stand-in hosts, used again: a large fleet gets more than a thousand connections
//! a second, and starting a thread for each can take longer than a router waits for a connection.
use std::sync::mpsc::{channel, Sender};
use std::sync::{Mutex, PoisonError};
use std::thread;

type Job = Box<dyn FnOnce() + Send>;

/// The idle threads. They last as long as the process.
static IDLE: Mutex<Vec<Sender<Job>>> = Mutex::new(Vec::new());

fn idle_worker() -> Option<Sender<Job>> {
    IDLE.lock().unwrap_or_else(PoisonError::into_inner).pop()
}

/// Runs the job on an idle thread, or on a new one.
pub fn run(job: impl FnOnce() + Send + 'static) {
    let mut job: Job = Box::new(job);
    while let Some(worker) = idle_worker() {
        match worker.send(job) {
            Ok(()) => return,
            Err(unsent) => job = unsent.0,
        }
    }
    thread::spawn(move || work(job));
}

fn work(first: Job) {
    let (sender, jobs) = channel::<Job>();
    first();
    IDLE.lock().unwrap_or_else(PoisonError::into_inner).push(sender.clone());
    for job in jobs {
        job();
        IDLE.lock().unwrap_or_else(PoisonError::into_inner).push(sender.clone());
    }
}

//! Threads beside the carrier's: small stacks, and a name for whoever looks.
use std::thread::{self, JoinHandle};

/// What a thread that parses a line or two and writes a line of log needs, with room to spare.
pub const STACK: usize = 128 * 1024;

/// Begins one that nobody waits for.
pub fn spawn_detached(name: &str, body: impl FnOnce() + Send + 'static) -> Result<(), String> {
    spawn_joinable(name, STACK, body).map(drop)
}

pub fn spawn_joinable<T: Send + 'static>(
    name: &str,
    stack: usize,
    body: impl FnOnce() -> T + Send + 'static,
) -> Result<JoinHandle<T>, String> {
    let made = thread::Builder::new().name(name.to_string()).stack_size(stack).spawn(body);
    made.map_err(|e| format!("thread {name}: {e}"))
}

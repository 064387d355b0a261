//! Named threads with small stacks, beside the event loop's thread.
use std::thread::{self, JoinHandle};

/// Stack bytes for a thread that parses a few lines and writes a line of log, with room to spare.
pub const THREAD_STACK_BYTES: usize = 128 * 1024;

/// Starts a detached thread.
pub fn spawn_detached(name: &str, body: impl FnOnce() + Send + 'static) -> Result<(), String> {
    spawn_joinable(name, THREAD_STACK_BYTES, body).map(drop)
}

pub fn spawn_joinable<T: Send + 'static>(
    name: &str,
    stack_bytes: usize,
    body: impl FnOnce() -> T + Send + 'static,
) -> Result<JoinHandle<T>, String> {
    let spawned = thread::Builder::new().name(name.to_string()).stack_size(stack_bytes).spawn(body);
    spawned.map_err(|e| format!("thread {name}: {e}"))
}

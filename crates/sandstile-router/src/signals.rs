//! SIGUSR1 prints the counters; SIGHUP reloads the configuration; SIGTERM and SIGINT end the router once all
//! accepted statements are answered. The main thread only waits for these signals.
use crate::counters::Counters;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::{Handle, Signals};
use std::io::{self, Write};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    Reload,
    End,
}

/// Writes the counters to standard error; a failed write is ignored.
pub fn print_counters(counters: &Counters) {
    let _ = writeln!(io::stderr(), "{counters}");
}

/// Yields the requests that operators make by signals.
pub struct SignalRequests {
    signals: Signals,
    counters: Arc<Counters>,
}

/// Ends the wait for signals when dropped.
pub struct StopHandle(Handle);

impl Drop for StopHandle {
    fn drop(&mut self) {
        self.0.close();
    }
}

impl SignalRequests {
    pub fn listen(counters: Arc<Counters>) -> io::Result<SignalRequests> {
        Ok(SignalRequests { signals: Signals::new([SIGHUP, SIGTERM, SIGINT, SIGUSR1])?, counters })
    }

    pub fn stop_handle(&self) -> StopHandle {
        StopHandle(self.signals.handle())
    }

    /// The next request; `None` once the wait has been ended.
    pub fn next_request(&mut self) -> Option<SignalRequest> {
        loop {
            match self.signals.forever().next()? {
                SIGUSR1 => print_counters(&self.counters),
                SIGHUP => return Some(SignalRequest::Reload),
                _ => return Some(SignalRequest::End),
            }
        }
    }
}

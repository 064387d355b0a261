//! SIGUSR1 prints the counters; SIGHUP reloads the configuration; SIGTERM and SIGINT end the router once all
//! accepted statements are answered. The main thread only waits for these signals.
use crate::counters::Counters;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::{Handle, Signals};
use std::io::{self, Write};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    Reload,
    End,
}

/// Writes the counters to standard error; a failed write is ignored.
pub fn print_counters(counters: &Counters) {
    let _ = writeln!(io::stderr(), "{counters}");
}

/// Yields the requests that operators make by signals.
pub struct Wishes {
    signals: Signals,
    counters: Arc<Counters>,
}

/// Ends the wait for signals when dropped.
pub struct Enough(Handle);

impl Drop for Enough {
    fn drop(&mut self) {
        self.0.close();
    }
}

impl Wishes {
    pub fn listen(counters: Arc<Counters>) -> io::Result<Wishes> {
        Ok(Wishes { signals: Signals::new([SIGHUP, SIGTERM, SIGINT, SIGUSR1])?, counters })
    }

    pub fn enough(&self) -> Enough {
        Enough(self.signals.handle())
    }

    /// The next request; `None` once the wait has been ended.
    pub fn await_one(&mut self) -> Option<Wish> {
        loop {
            match self.signals.forever().next()? {
                SIGUSR1 => print_counters(&self.counters),
                SIGHUP => return Some(Wish::Reload),
                _ => return Some(Wish::End),
            }
        }
    }
}

//! SIGUSR1 prints the counters; SIGHUP has the configuration read again; SIGTERM or SIGINT ends the router, once
//! all that it took is answered. The main thread waits for them, and does nothing else.
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

/// Writes the counters to standard error; one that can't be written to loses them, and nothing else.
pub fn print_counters(counters: &Counters) {
    let _ = writeln!(io::stderr(), "{counters}");
}

/// Yields each wish that operators have for the router.
pub struct Wishes {
    signals: Signals,
    counters: Arc<Counters>,
}

/// Ends the waiting for wishes.
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

    /// The next one; `None` once there are to be no more.
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

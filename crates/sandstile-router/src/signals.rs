//! SIGUSR1 prints the counters; SIGHUP has the configuration read again; SIGTERM or SIGINT ends the router, once
//! all that it took is answered.
use crate::counters::Counters;
use crossbeam_channel::{bounded, Receiver};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use std::io;
use std::sync::Arc;
use std::thread;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    Reload,
    End,
}

/// What comes back yields each wish that operators have for the router.
pub fn listen(counters: Arc<Counters>) -> io::Result<Receiver<Wish>> {
    // Signals of one kind merge while they wait; beyond this, nobody takes wishes any more.
    let (tell, wishes) = bounded(16);
    let mut signals = Signals::new([SIGHUP, SIGTERM, SIGINT, SIGUSR1])?;
    thread::Builder::new().name("signals".to_string()).spawn(move || {
        for signal in signals.forever() {
            if signal == SIGUSR1 {
                eprintln!("{counters}");
            } else {
                let _ = tell.try_send(if signal == SIGHUP { Wish::Reload } else { Wish::End });
            }
        }
    })?;
    Ok(wishes)
}

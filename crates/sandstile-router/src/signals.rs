//! SIGUSR1 prints the counters; SIGTERM or SIGINT ends the router, once all that it took is answered.
use crate::counters::Counters;
use crossbeam_channel::{bounded, Receiver};
use signal_hook::consts::{SIGINT, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use std::io;
use std::sync::Arc;
use std::thread;

/// What comes back yields once, when the router is to end.
pub fn listen(counters: Arc<Counters>) -> io::Result<Receiver<()>> {
    let (tell, end) = bounded(1);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGUSR1])?;
    thread::Builder::new().name("signals".to_string()).spawn(move || {
        for signal in signals.forever() {
            if signal == SIGUSR1 {
                eprintln!("{counters}");
            } else {
                let _ = tell.try_send(());
            }
        }
    })?;
    Ok(end)
}

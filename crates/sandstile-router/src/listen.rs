//! Accepts clients as far as the budget goes; what is beyond it waits in the listening socket.
use crate::budget::{Budget, Holder};
use crate::client::{self, Front};
use slog::warn;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

pub struct Door {
    address: SocketAddr,
    closing: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

/// Between looks at whether the router closes, and after an accept that failed for want of something.
const PAUSE: Duration = Duration::from_millis(50);

impl Door {
    pub fn open(listener: TcpListener, front: Arc<Front>) -> io::Result<Door> {
        let (address, closing) = (listener.local_addr()?, Arc::new(AtomicBool::new(false)));
        let (flag, budget) = (closing.clone(), front.budget.clone());
        let thread = thread::Builder::new()
            .name("listen".to_string())
            .spawn(move || run(&listener, &front, &budget, &flag))?;
        Ok(Door { address, closing, thread })
    }

    /// Takes in what has connected so far, then accepts no more.
    pub fn close(self) {
        self.closing.store(true, SeqCst);
        // Only a connection wakes an accept.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
        let _ = self.thread.join();
    }
}

fn run(listener: &TcpListener, front: &Arc<Front>, budget: &Arc<Budget>, closing: &AtomicBool) {
    loop {
        if closing.load(SeqCst) && listener.set_nonblocking(true).is_err() {
            return;
        }
        let Some(slot) = budget.take(Holder::Client, PAUSE) else { continue };
        match listener.accept() {
            Ok((stream, _)) => {
                front.counters.connections.add();
                let served =
                    stream.set_nonblocking(false).and_then(|()| client::serve(front.clone(), stream, slot));
                if let Err(e) = served {
                    warn!(front.log, "client not served: {e}");
                }
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return,
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
            Err(e) => {
                // Out of descriptors or memory all the same: without a pause this would spin.
                warn!(front.log, "accept: {e}");
                drop(slot);
                budget.make_room();
                thread::sleep(PAUSE);
            }
        }
    }
}

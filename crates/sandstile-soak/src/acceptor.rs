//! Accepts connections for all stand-in hosts of a run on one thread: a large fleet has thousands of addresses.
use crate::host::Host;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// The longest time between two checks of which hosts are down.
const FAULT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The listening sockets of all hosts; a host that is down has none.
pub struct Acceptor {
    poll: Poll,
    hosts: Vec<Host>,
    listeners: Vec<Option<TcpListener>>,
}

impl Acceptor {
    /// Listens for all hosts until `is_over` returns true.
    pub fn start(hosts: Vec<Host>, is_over: impl Fn() -> bool + Send + 'static) -> io::Result<()> {
        let listeners = hosts.iter().map(|_| None).collect();
        let mut acceptor = Acceptor { poll: Poll::new()?, hosts, listeners };
        for number in 0..acceptor.hosts.len() {
            acceptor.listen(number)?;
        }
        thread::spawn(move || {
            let mut events = Events::with_capacity(256);
            let mut next_check = Instant::now();
            while !is_over() {
                let until_check = next_check.saturating_duration_since(Instant::now());
                if acceptor.poll.poll(&mut events, Some(until_check)).is_err() {
                    continue;
                }
                events.iter().for_each(|event| acceptor.accept(event.token().0));
                // Not after each accept: a check of thousands of hosts takes longer than many accepts.
                if Instant::now() >= next_check {
                    acceptor.follow_faults();
                    next_check = Instant::now() + FAULT_CHECK_INTERVAL;
                }
            }
        });
        Ok(())
    }

    fn listen(&mut self, number: usize) -> io::Result<()> {
        let mut listener = TcpListener::bind(self.hosts[number].address())?;
        self.poll.registry().register(&mut listener, Token(number), Interest::READABLE)?;
        self.listeners[number] = Some(listener);
        Ok(())
    }

    /// Accepts all pending connections to this host.
    fn accept(&mut self, number: usize) {
        while let Some(Ok((stream, _))) = self.listeners[number].as_ref().map(TcpListener::accept) {
            self.hosts[number].serve_connection(stream.into());
        }
    }

    /// Closes the listeners of hosts that went down and reopens those of hosts that are up again.
    fn follow_faults(&mut self) {
        for number in 0..self.hosts.len() {
            let (down, closed) = (self.hosts[number].is_down(), self.listeners[number].is_none());
            if down && !closed {
                self.listeners[number] = None;
            } else if closed && !down {
                // No other host uses this address; a failed attempt is repeated at the next check.
                let _ = self.listen(number);
            }
        }
    }
}

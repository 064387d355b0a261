//! Accepts connections for all stand-in hosts of a run on one thread: a large fleet has thousands of addresses.
use crate::host::Host;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use std::io;
use std::thread;
use std::time::Duration;

/// The longest time between looks at which hosts are down.
const LOOK: Duration = Duration::from_millis(5);

/// The listening sockets of all hosts; that of a host that is down is closed.
pub struct Acceptor {
    poll: Poll,
    hosts: Vec<Host>,
    listeners: Vec<Option<TcpListener>>,
}

impl Acceptor {
    /// Listens for all hosts until `over` says so.
    pub fn start(hosts: Vec<Host>, over: impl Fn() -> bool + Send + 'static) -> io::Result<()> {
        let listeners = hosts.iter().map(|_| None).collect();
        let mut acceptor = Acceptor { poll: Poll::new()?, hosts, listeners };
        for number in 0..acceptor.hosts.len() {
            acceptor.listen(number)?;
        }
        thread::spawn(move || {
            let mut events = Events::with_capacity(256);
            while !over() {
                if acceptor.poll.poll(&mut events, Some(LOOK)).is_err() {
                    continue;
                }
                events.iter().for_each(|event| acceptor.accept(event.token().0));
                acceptor.follow_faults();
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

    /// Takes all that waits for this host.
    fn accept(&mut self, number: usize) {
        while let Some(Ok((stream, _))) = self.listeners[number].as_ref().map(TcpListener::accept) {
            self.hosts[number].accepted(stream.into());
        }
    }

    /// Closes the listeners of hosts that went down and opens those of hosts that are back.
    fn follow_faults(&mut self) {
        for number in 0..self.hosts.len() {
            let (down, closed) = (self.hosts[number].is_down(), self.listeners[number].is_none());
            if down && !closed {
                self.listeners[number] = None;
            } else if closed && !down {
                // Taken by nobody else; a later look tries again.
                let _ = self.listen(number);
            }
        }
    }
}

//! Relays that simulate faulty links between processes. A process is given the address of a relay instead of
//! its peer's address, and the relay forwards the traffic under the condition of that link. One thread with
//! an event loop runs all relays of a rehearsal; it needs no privileges. `sandstile-faults` decides what a
//! condition does to bytes; this crate only handles sockets.
mod relay_loop;

use crossbeam_channel::{unbounded, Sender};
use hdrhistogram::Histogram;
use mio::{Poll, Token, Waker};
use relay_loop::{Command, RelayLoop};
use sandstile_faults::link_faults::FaultScope;
use sandstile_faults::{Endpoint, LinkFault};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

/// Statistics of all relays.
#[derive(Clone, Debug)]
pub struct Summary {
    pub streams: u64,
    pub bytes: u64,
    pub datagrams: u64,
    /// Datagrams dropped by a fault or a full queue.
    pub lost: u64,
    /// Connections closed by a reset.
    pub reset: u64,
    /// How late delayed segments were written, in microseconds after their arrival time.
    pub late_us: Histogram<u64>,
}

/// One side of a pair that exchanges datagrams.
#[derive(Clone, Debug)]
pub struct DatagramPeer {
    pub endpoint: Endpoint,
    /// The relay's address to which it sends datagrams for its peer.
    pub sends_to: SocketAddr,
    /// The address on which it listens.
    pub address: SocketAddr,
}

/// One member of a group that exchanges datagrams.
#[derive(Clone, Debug)]
pub struct HubMember {
    pub endpoint: Endpoint,
    /// The relay's address to which the others send datagrams for it, and from which its own datagrams appear
    /// to come.
    pub relay_address: SocketAddr,
    /// The address on which it listens and from which it sends.
    pub address: SocketAddr,
}

pub struct Relay {
    commands: Sender<Command>,
    waker: Arc<Waker>,
    thread: JoinHandle<io::Result<Summary>>,
}

const LISTEN_BACKLOG: i32 = 1024;

fn bind(address: SocketAddr, kind: Type, protocol: Protocol) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), kind, Some(protocol))?;
    if kind == Type::STREAM {
        socket.set_reuse_address(true)?;
    }
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

impl Relay {
    /// Starts the event loop without any relay. Random decisions follow the seed.
    pub fn start(seed: u64) -> io::Result<Relay> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), Token(0))?);
        let (commands, command_receiver) = unbounded();
        let relay_loop = RelayLoop::new(poll, seed);
        let thread = thread::Builder::new()
            .name("relay".to_string())
            .spawn(move || relay_loop.run(&command_receiver))?;
        Ok(Relay { commands, waker, thread })
    }

    fn send(&self, command: Command) {
        let _ = self.commands.send(command);
        let _ = self.waker.wake();
    }

    /// Forwards connections from `listen` to `target`. The relay accepts connections as soon as this returns.
    pub fn stream(
        &self,
        from: Endpoint,
        to: Endpoint,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> io::Result<()> {
        let socket = bind(listen, Type::STREAM, Protocol::TCP)?;
        socket.listen(LISTEN_BACKLOG)?;
        self.send(Command::Stream { from, to, listener: socket.into(), target });
        Ok(())
    }

    /// Forwards datagrams between two peers. Each receives its peer's datagrams from the address to which it
    /// sends its own.
    pub fn datagrams(&self, one: DatagramPeer, other: DatagramPeer) -> io::Result<()> {
        let first = bind(one.sends_to, Type::DGRAM, Protocol::UDP)?;
        let second = bind(other.sends_to, Type::DGRAM, Protocol::UDP)?;
        self.send(Command::DatagramPair {
            sides: Box::new([one, other]),
            sockets: [first.into(), second.into()],
        });
        Ok(())
    }

    /// Forwards datagrams among many members, each of which has the same address for all others. The sender
    /// is recognised by its source address.
    pub fn hub(&self, members: Vec<HubMember>) -> io::Result<()> {
        let sockets = members.iter().map(|s| Ok(bind(s.relay_address, Type::DGRAM, Protocol::UDP)?.into()));
        let sockets = sockets.collect::<io::Result<Vec<std::net::UdpSocket>>>()?;
        self.send(Command::Hub { members, sockets });
        Ok(())
    }

    /// Activates a fault under a number that the caller chooses; it stays active until it is healed.
    pub fn begin(&self, number: usize, scope: FaultScope, link_fault: LinkFault) {
        self.send(Command::Begin(number, scope, link_fault));
    }

    pub fn heal(&self, number: usize) {
        self.send(Command::Heal(number));
    }

    pub fn stop(self) -> io::Result<Summary> {
        self.send(Command::Stop);
        self.thread.join().expect("the relays' thread does not panic")
    }
}

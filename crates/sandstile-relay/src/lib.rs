//! Links between processes that can fail. Whoever is to be told another's address is told a relay's instead; what comes
//! there goes on as the weather of that link has it. One thread with a readiness loop carries all relays of a rehearsal;
//! nothing privileged is needed. What the weather does to bytes is decided in `sandstile-faults`; here are only sockets.
mod forward;

use crossbeam_channel::{unbounded, Sender};
use forward::{Carry, Command};
use hdrhistogram::Histogram;
use mio::{Poll, Token, Waker};
use sandstile_faults::fault_state::FaultScope;
use sandstile_faults::{Endpoint, LinkFault};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

/// How the relays did.
#[derive(Clone, Debug)]
pub struct Summary {
    pub streams: u64,
    pub bytes: u64,
    pub datagrams: u64,
    /// Datagrams that a fault or a full queue took.
    pub lost: u64,
    /// Connections that a reset ended.
    pub reset: u64,
    /// Microseconds by which what was held back came later than it should.
    pub late_us: Histogram<u64>,
}

/// One side of a pair that sends datagrams.
#[derive(Clone, Debug)]
pub struct DatagramPeer {
    pub endpoint: Endpoint,
    /// Where it sends what is for the other.
    pub sends_to: SocketAddr,
    /// Where it listens itself.
    pub address: SocketAddr,
}

/// One of many that send datagrams to each other.
#[derive(Clone, Debug)]
pub struct HubMember {
    pub endpoint: Endpoint,
    /// Where the others send what is for it, and where what it sends seems to come from.
    pub relay_address: SocketAddr,
    /// Where it listens, and sends from.
    pub address: SocketAddr,
}

pub struct Relay {
    commands: Sender<Command>,
    waker: Arc<Waker>,
    thread: JoinHandle<io::Result<Summary>>,
}

const BACKLOG: i32 = 1024;

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
    /// A loop without any link yet. Chances follow the seed.
    pub fn start(seed: u64) -> io::Result<Relay> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), Token(0))?);
        let (commands, told) = unbounded();
        let carry = Carry::new(poll, seed);
        let thread = thread::Builder::new().name("relay".to_string()).spawn(move || carry.run(&told))?;
        Ok(Relay { commands, waker, thread })
    }

    fn tell(&self, command: Command) {
        let _ = self.commands.send(command);
        let _ = self.waker.wake();
    }

    /// Connections that come at `listen` go on to `target`. It listens once this returns.
    pub fn stream(
        &self,
        from: Endpoint,
        to: Endpoint,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> io::Result<()> {
        let socket = bind(listen, Type::STREAM, Protocol::TCP)?;
        socket.listen(BACKLOG)?;
        self.tell(Command::Stream { from, to, listener: socket.into(), target });
        Ok(())
    }

    /// Datagrams between two: each hears the other from the address that it sends to itself.
    pub fn datagrams(&self, one: DatagramPeer, other: DatagramPeer) -> io::Result<()> {
        let first = bind(one.sends_to, Type::DGRAM, Protocol::UDP)?;
        let second = bind(other.sends_to, Type::DGRAM, Protocol::UDP)?;
        self.tell(Command::DatagramPair {
            sides: Box::new([one, other]),
            sockets: [first.into(), second.into()],
        });
        Ok(())
    }

    /// Datagrams among many, each of whom is found at one address by all: whom one is from is told by where it was sent from.
    pub fn hub(&self, spots: Vec<HubMember>) -> io::Result<()> {
        let sockets = spots.iter().map(|s| Ok(bind(s.relay_address, Type::DGRAM, Protocol::UDP)?.into()));
        let sockets = sockets.collect::<io::Result<Vec<std::net::UdpSocket>>>()?;
        self.tell(Command::Hub { spots, sockets });
        Ok(())
    }

    /// A strike begins, under a number of the caller's, and stands until it is healed.
    pub fn begin(&self, number: usize, scope: FaultScope, link_fault: LinkFault) {
        self.tell(Command::Begin(number, scope, link_fault));
    }

    pub fn heal(&self, number: usize) {
        self.tell(Command::Heal(number));
    }

    pub fn stop(self) -> io::Result<Summary> {
        self.tell(Command::Stop);
        self.thread.join().expect("the relays' thread does not panic")
    }
}

//! The event loop that runs all relays.
use crate::{DatagramPeer, HubMember, Summary};
use crossbeam_channel::Receiver;
use hdrhistogram::Histogram;
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Events, Interest, Poll, Token};
use sandstile_faults::link_faults::FaultScope;
use sandstile_faults::{ActiveFaults, DatagramChannel, Endpoint, LinkCondition, LinkFault, StreamChannel};
use socket2::SockRef;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};

pub(crate) enum Command {
    Stream { from: Endpoint, to: Endpoint, listener: std::net::TcpListener, target: SocketAddr },
    DatagramPair { sides: Box<[DatagramPeer; 2]>, sockets: [std::net::UdpSocket; 2] },
    Hub { members: Vec<HubMember>, sockets: Vec<std::net::UdpSocket> },
    Begin(usize, FaultScope, LinkFault),
    Heal(usize),
    Stop,
}

struct Route {
    from: Endpoint,
    to: Endpoint,
    listener: TcpListener,
    target: SocketAddr,
}

/// One of the two connections of a stream.
struct Connection {
    socket: Option<TcpStream>,
    connected: bool,
    /// Bytes in flight from the other connection to this socket.
    channel: StreamChannel,
    /// Bytes that arrived but were not accepted by the socket yet.
    output: Vec<u8>,
    written: usize,
    /// The other connection was closed; this one closes in the same way once everything in flight is written.
    pending_close: Option<CloseKind>,
    /// Nothing more will be read from the socket.
    read_closed: bool,
    /// The socket may hold unread bytes, because the turn ended or the channel was full. Readiness events are
    /// edge-triggered and are not repeated, so without a turn scheduled for this flag these bytes would never
    /// be read.
    may_have_unread: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum CloseKind {
    Orderly,
    Reset,
}

struct Stream {
    route: usize,
    /// 0 is the accepted connection, 1 the dialled one.
    connections: [Connection; 2],
    /// The condition of the direction towards each connection.
    conditions: [LinkCondition; 2],
}

struct DatagramPair {
    sides: [DatagramPeer; 2],
    sockets: [UdpSocket; 2],
    /// Datagrams in flight to each side.
    channels: [DatagramChannel; 2],
    conditions: [LinkCondition; 2],
}

/// A group of members that send datagrams to each other.
struct Hub {
    members: Vec<HubMember>,
    sockets: Vec<UdpSocket>,
    /// The member that sends from an address.
    members_by_address: BTreeMap<SocketAddr, usize>,
    /// The channel from one member to another, created with the first datagram.
    channels: BTreeMap<(usize, usize), (DatagramChannel, LinkCondition)>,
}

#[derive(Clone, Copy)]
enum EventSource {
    Hub(usize, usize),
    Route(usize),
    Connection(usize, usize),
    DatagramPair(usize, usize),
}

pub(crate) struct RelayLoop {
    poll: Poll,
    seed: u64,
    start: Instant,
    active_faults: ActiveFaults,
    routes: Vec<Route>,
    streams: BTreeMap<usize, Stream>,
    pairs: Vec<DatagramPair>,
    hubs: Vec<Hub>,
    event_sources: BTreeMap<usize, EventSource>,
    next_token: usize,
    /// When a stream, a pair (key plus `PAIR_KEY_BASE`) or a hub (key plus `HUB_KEY_BASE`) has something that
    /// arrives, in nanoseconds. Entries that don't match `scheduled` are stale.
    timers: BinaryHeap<Reverse<(u64, usize)>>,
    /// The one valid timer of each key. Each run of a timer schedules the next; without this map every
    /// readiness event would start a further chain of timers, and the loop would stay busy as long as
    /// anything is in flight.
    scheduled: BTreeMap<usize, u64>,
    summary: Summary,
}

const PAIR_KEY_BASE: usize = usize::MAX / 2;
const HUB_KEY_BASE: usize = usize::MAX / 4 * 3;
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Reads from one socket before the others get their turn.
const MAX_READS_PER_TURN: usize = 8;

impl RelayLoop {
    pub fn new(poll: Poll, seed: u64) -> RelayLoop {
        let late_us = Histogram::new_with_bounds(1, 60_000_000, 3).expect("usable bounds");
        let summary = Summary { streams: 0, bytes: 0, datagrams: 0, lost: 0, reset: 0, late_us };
        RelayLoop {
            poll,
            seed,
            start: Instant::now(),
            active_faults: ActiveFaults::default(),
            routes: Vec::new(),
            streams: BTreeMap::new(),
            pairs: Vec::new(),
            hubs: Vec::new(),
            event_sources: BTreeMap::new(),
            next_token: 1,
            timers: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            summary,
        }
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn allocate_token(&mut self, source: EventSource) -> Token {
        let number = self.next_token;
        self.next_token += 1;
        self.event_sources.insert(number, source);
        Token(number)
    }

    /// Sets the timer of a key to this time, unless an earlier one is set.
    fn schedule(&mut self, key: usize, seconds: f64) {
        let due_ns = (seconds * 1e9) as u64 + 1;
        if self.scheduled.get(&key).is_none_or(|scheduled| due_ns < *scheduled) {
            self.scheduled.insert(key, due_ns);
            self.timers.push(Reverse((due_ns, key)));
        }
    }

    fn next_seed(&mut self) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.seed
    }

    pub fn run(mut self, commands: &Receiver<Command>) -> io::Result<Summary> {
        let mut events = Events::with_capacity(1024);
        loop {
            while let Ok(command) = commands.try_recv() {
                if let Command::Stop = command {
                    let pairs = self.pairs.iter().flat_map(|pair| &pair.channels);
                    let hubs = self.hubs.iter().flat_map(|h| h.channels.values().map(|(channel, _)| channel));
                    self.summary.lost = pairs.chain(hubs).map(|c| c.lost).sum();
                    return Ok(self.summary);
                }
                self.execute(command)?;
            }
            self.run_due_timers();
            let sleep = self
                .timers
                .peek()
                .map(|Reverse((at, _))| Duration::from_nanos(*at).saturating_sub(self.start.elapsed()));
            match self.poll.poll(&mut events, sleep) {
                Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            for event in &events {
                match self.event_sources.get(&event.token().0).copied() {
                    Some(EventSource::Route(route)) => self.accept(route)?,
                    Some(EventSource::Connection(key, index)) => {
                        if let Some(stream) = self.streams.get_mut(&key) {
                            if event.is_writable() && !stream.connections[index].connected {
                                stream.connections[index].check_connected();
                            }
                        }
                        self.service_stream(key);
                    }
                    Some(EventSource::DatagramPair(pair, side)) => self.receive_pair_datagrams(pair, side),
                    Some(EventSource::Hub(hub, member)) => self.receive_hub_datagrams(hub, member),
                    None => {}
                }
            }
        }
    }

    fn execute(&mut self, command: Command) -> io::Result<()> {
        match command {
            Command::Stream { from, to, listener, target } => {
                let mut listener = TcpListener::from_std(listener);
                let new_token = self.allocate_token(EventSource::Route(self.routes.len()));
                self.poll.registry().register(&mut listener, new_token, Interest::READABLE)?;
                self.routes.push(Route { from, to, listener, target });
                self.accept(self.routes.len() - 1)?;
            }
            Command::DatagramPair { sides, sockets } => {
                let pair = self.pairs.len();
                let mut sockets = sockets.map(UdpSocket::from_std);
                for (side, socket) in sockets.iter_mut().enumerate() {
                    let new_token = self.allocate_token(EventSource::DatagramPair(pair, side));
                    self.poll.registry().register(socket, new_token, Interest::READABLE)?;
                }
                let channels =
                    [DatagramChannel::new(self.next_seed()), DatagramChannel::new(self.next_seed())];
                let conditions = self.pair_conditions(&sides);
                self.pairs.push(DatagramPair { sides: *sides, sockets, channels, conditions });
                (0..2).for_each(|side| self.receive_pair_datagrams(pair, side));
            }
            Command::Hub { members, sockets } => {
                let hub = self.hubs.len();
                let mut sockets: Vec<UdpSocket> = sockets.into_iter().map(UdpSocket::from_std).collect();
                for (member, socket) in sockets.iter_mut().enumerate() {
                    let new_token = self.allocate_token(EventSource::Hub(hub, member));
                    self.poll.registry().register(socket, new_token, Interest::READABLE)?;
                }
                let members_by_address =
                    members.iter().enumerate().map(|(n, member)| (member.address, n)).collect();
                self.hubs.push(Hub { members, sockets, members_by_address, channels: BTreeMap::new() });
                (0..self.hubs[hub].members.len()).for_each(|member| self.receive_hub_datagrams(hub, member));
            }
            Command::Begin(number, scope, link_fault) => {
                self.active_faults.begin(number, scope, link_fault);
                self.on_condition_change();
            }
            Command::Heal(number) => {
                self.active_faults.heal(number);
                self.on_condition_change();
            }
            Command::Stop => {}
        }
        Ok(())
    }

    fn pair_conditions(&self, sides: &[DatagramPeer; 2]) -> [LinkCondition; 2] {
        [
            self.active_faults.condition(&sides[1].endpoint, &sides[0].endpoint),
            self.active_faults.condition(&sides[0].endpoint, &sides[1].endpoint),
        ]
    }

    fn route_conditions(&self, route: usize) -> [LinkCondition; 2] {
        let Route { from, to, .. } = &self.routes[route];
        [self.active_faults.condition(to, from), self.active_faults.condition(from, to)]
    }

    /// Applies the new link conditions to all streams, pairs and hubs.
    fn on_condition_change(&mut self) {
        let now = self.now();
        let keys: Vec<usize> = self.streams.keys().copied().collect();
        for key in keys {
            let Some(stream) = self.streams.get(&key) else { continue };
            let conditions = self.route_conditions(stream.route);
            let Some(stream) = self.streams.get_mut(&key) else { continue };
            for (connection, condition) in stream.connections.iter_mut().zip(&conditions) {
                connection.channel.on_condition_change(now, condition);
            }
            stream.conditions = conditions;
            if conditions.iter().any(|c| c.reset) {
                self.summary.reset += 1;
                self.drop_stream(key, true);
            } else {
                self.service_stream(key);
            }
        }
        for pair in 0..self.pairs.len() {
            let conditions = self.pair_conditions(&self.pairs[pair].sides);
            let pair_state = &mut self.pairs[pair];
            pair_state.conditions = conditions;
            pair_state
                .channels
                .iter_mut()
                .zip(&conditions)
                .for_each(|(channel, condition)| channel.on_condition_change(condition));
        }
        for hub in &mut self.hubs {
            for ((from, to), (channel, condition)) in &mut hub.channels {
                *condition =
                    self.active_faults.condition(&hub.members[*from].endpoint, &hub.members[*to].endpoint);
                channel.on_condition_change(condition);
            }
        }
    }

    /// Reads the datagrams that were sent to one member of a hub.
    fn receive_hub_datagrams(&mut self, hub: usize, to: usize) {
        let now = self.now();
        let mut bytes = [0; 65_536];
        loop {
            match self.hubs[hub].sockets[to].recv_from(&mut bytes) {
                Ok((n, source)) => {
                    // Datagrams from unknown addresses are dropped, because the link they belong to is
                    // unknown.
                    let Some(&from) = self.hubs[hub].members_by_address.get(&source) else { continue };
                    self.summary.datagrams += 1;
                    self.summary.bytes += n as u64;
                    if !self.hubs[hub].channels.contains_key(&(from, to)) {
                        let members = &self.hubs[hub].members;
                        let condition =
                            self.active_faults.condition(&members[from].endpoint, &members[to].endpoint);
                        let channel = DatagramChannel::new(self.next_seed());
                        self.hubs[hub].channels.insert((from, to), (channel, condition));
                    }
                    if let Some((channel, condition)) = self.hubs[hub].channels.get_mut(&(from, to)) {
                        channel.push(now, &bytes[..n], condition);
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
                Err(_) => break,
            }
        }
        self.deliver_hub_datagrams(hub);
    }

    fn deliver_hub_datagrams(&mut self, hub: usize) {
        let now = self.now();
        let hub_state = &mut self.hubs[hub];
        let mut next = f64::INFINITY;
        for ((from, to), (channel, _)) in &mut hub_state.channels {
            while let Some(bytes) = channel.pop(now) {
                let _ = hub_state.sockets[*from].send_to(&bytes, hub_state.members[*to].address);
            }
            next = channel.next_arrival().map_or(next, |at| at.min(next));
        }
        if next.is_finite() {
            self.schedule(HUB_KEY_BASE + hub, next);
        }
    }

    fn accept(&mut self, route: usize) -> io::Result<()> {
        loop {
            let mut accepted = match self.routes[route].listener.accept() {
                Ok((accepted, _)) => accepted,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                // The peer closed the connection before it was accepted; other errors mean that no file
                // descriptor is free.
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => continue,
                Err(_) => return Ok(()),
            };
            let conditions = self.route_conditions(route);
            if conditions.iter().any(|c| c.reset) {
                self.summary.reset += 1;
                let _ = SockRef::from(&accepted).set_linger(Some(Duration::ZERO));
                continue;
            }
            let _ = accepted.set_nodelay(true);
            let key = self.next_token;
            self.next_token += 1;
            let new_token = self.allocate_token(EventSource::Connection(key, 0));
            self.poll.registry().register(
                &mut accepted,
                new_token,
                Interest::READABLE | Interest::WRITABLE,
            )?;
            let mut connections = [Connection::new(self.next_seed()), Connection::new(self.next_seed())];
            (connections[0].socket, connections[0].connected) = (Some(accepted), true);
            connections
                .iter_mut()
                .zip(&conditions)
                .for_each(|(connection, condition)| connection.channel.on_condition_change(0.0, condition));
            self.streams.insert(key, Stream { route, connections, conditions });
            self.summary.streams += 1;
            self.service_stream(key);
        }
    }

    /// Dials the target, unless a cut would keep the first packet from it.
    fn dial(&mut self, key: usize) -> io::Result<()> {
        let Some(stream) = self.streams.get(&key) else { return Ok(()) };
        if stream.connections[1].socket.is_some() || stream.conditions.iter().any(|c| c.cut) {
            return Ok(());
        }
        let mut dialled = TcpStream::connect(self.routes[stream.route].target)?;
        let new_token = self.allocate_token(EventSource::Connection(key, 1));
        self.poll.registry().register(&mut dialled, new_token, Interest::READABLE | Interest::WRITABLE)?;
        if let Some(stream) = self.streams.get_mut(&key) {
            stream.connections[1].socket = Some(dialled);
        }
        Ok(())
    }

    /// Reads, writes and dials as far as the stream can proceed now.
    fn service_stream(&mut self, key: usize) {
        let now = self.now();
        if self.dial(key).is_err() {
            return self.drop_stream(key, true);
        }
        let Some(stream) = self.streams.get_mut(&key) else { return };
        let mut finished = false;
        for from in 0..2 {
            let to = 1 - from;
            let condition = stream.conditions[to];
            let [accepted, dialled] = &mut stream.connections;
            let (sender, receiver) = if from == 0 { (accepted, dialled) } else { (dialled, accepted) };
            self.summary.bytes += sender.read(now, receiver, &condition);
            finished |= !receiver.write(now, condition.cut, &mut self.summary.late_us);
        }
        let next_due = stream
            .connections
            .iter()
            .filter(|c| c.output.is_empty() && c.connected)
            .filter_map(|c| c.channel.next_arrival());
        let next_due = next_due.reduce(f64::min);
        let [accepted, dialled] = &stream.connections;
        let has_unread = accepted.can_read_more(dialled) || dialled.can_read_more(accepted);
        let next_due = if has_unread { Some(now) } else { next_due };
        let done = |c: &Connection| c.socket.is_none() || (c.read_closed && c.pending_close.is_none());
        finished |= stream.connections[1].socket.is_some() && stream.connections.iter().all(done);
        if finished {
            return self.drop_stream(key, true);
        }
        if let Some(at) = next_due {
            self.schedule(key, at.max(now));
        }
    }

    fn drop_stream(&mut self, key: usize, with_reset: bool) {
        let Some(stream) = self.streams.remove(&key) else { return };
        self.scheduled.remove(&key);
        self.event_sources
            .retain(|_, source| !matches!(source, EventSource::Connection(stream, _) if *stream == key));
        for connection in stream.connections {
            // If both ends have closed in order, there is nothing to reset.
            if let Some(socket) = connection.socket.filter(|_| with_reset && !connection.read_closed) {
                let _ = SockRef::from(&socket).set_linger(Some(Duration::ZERO));
            }
        }
    }

    fn run_due_timers(&mut self) {
        let now = self.start.elapsed().as_nanos() as u64;
        while let Some(Reverse((at, key))) = self.timers.peek().copied() {
            if at > now {
                return;
            }
            self.timers.pop();
            if self.scheduled.get(&key) != Some(&at) {
                continue;
            }
            self.scheduled.remove(&key);
            if key >= HUB_KEY_BASE {
                self.deliver_hub_datagrams(key - HUB_KEY_BASE);
            } else if key >= PAIR_KEY_BASE {
                self.deliver_pair_datagrams(key - PAIR_KEY_BASE);
            } else {
                self.service_stream(key);
            }
        }
    }

    fn receive_pair_datagrams(&mut self, pair: usize, side: usize) {
        let now = self.now();
        let mut bytes = [0; 65_536];
        let pair_state = &mut self.pairs[pair];
        loop {
            match pair_state.sockets[side].recv_from(&mut bytes) {
                Ok((n, _)) => {
                    let to = 1 - side;
                    self.summary.datagrams += 1;
                    self.summary.bytes += n as u64;
                    pair_state.channels[to].push(now, &bytes[..n], &pair_state.conditions[to]);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Reports that an earlier datagram could not be delivered.
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
                Err(_) => break,
            }
        }
        self.deliver_pair_datagrams(pair);
    }

    fn deliver_pair_datagrams(&mut self, pair: usize) {
        let now = self.now();
        let pair_state = &mut self.pairs[pair];
        for to in 0..2 {
            while let Some(bytes) = pair_state.channels[to].pop(now) {
                // Sent from the address that this side uses for its peer, so the datagram appears to come
                // from the peer.
                let _ = pair_state.sockets[to].send_to(&bytes, pair_state.sides[to].address);
            }
        }
        if let Some(at) =
            pair_state.channels.iter().filter_map(DatagramChannel::next_arrival).reduce(f64::min)
        {
            self.schedule(PAIR_KEY_BASE + pair, at);
        }
    }
}

impl Connection {
    fn new(seed: u64) -> Connection {
        Connection {
            socket: None,
            connected: false,
            channel: StreamChannel::new(seed),
            output: Vec::new(),
            written: 0,
            pending_close: None,
            read_closed: false,
            may_have_unread: false,
        }
    }

    /// Checks whether a dial has succeeded or failed, by the socket's error.
    fn check_connected(&mut self) {
        let Some(socket) = &self.socket else { return };
        match socket.take_error() {
            Ok(None) if socket.peer_addr().is_ok() => {
                let _ = socket.set_nodelay(true);
                self.connected = true;
            }
            Ok(None) => {}
            _ => {
                self.connected = true;
                self.read_closed = true;
                self.socket = None;
            }
        }
    }

    /// Whether the socket may hold unread bytes and the channel to the other connection has room for them.
    fn can_read_more(&self, other: &Connection) -> bool {
        self.may_have_unread
            && self.connected
            && self.socket.is_some()
            && !self.read_closed
            && other.channel.free_bytes() > 0
    }

    /// Reads what the socket holds and queues it for the other connection; returns the number of bytes.
    fn read(&mut self, now: f64, other: &mut Connection, condition: &LinkCondition) -> u64 {
        let mut bytes = [0; READ_BUFFER_BYTES];
        let mut total = 0;
        self.may_have_unread = true;
        for _ in 0..MAX_READS_PER_TURN {
            let free_bytes = other.channel.free_bytes().min(READ_BUFFER_BYTES);
            let Some(socket) =
                self.socket.as_mut().filter(|_| self.connected && !self.read_closed && free_bytes > 0)
            else {
                break;
            };
            match socket.read(&mut bytes[..free_bytes]) {
                Ok(0) => {
                    self.read_closed = true;
                    other.pending_close = Some(CloseKind::Orderly);
                }
                Ok(n) => {
                    total += n as u64;
                    other.channel.push(now, &bytes[..n], condition);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.may_have_unread = false;
                    break;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.read_closed = true;
                    other.pending_close = Some(CloseKind::Reset);
                }
            }
        }
        if self.socket.is_none() && self.connected && other.pending_close.is_none() {
            other.pending_close = Some(CloseKind::Reset);
        }
        total
    }

    /// Writes the bytes that have arrived; returns `false` if the stream is finished.
    fn write(&mut self, now: f64, cut: bool, late_us: &mut Histogram<u64>) -> bool {
        if !self.connected {
            return true;
        }
        loop {
            if self.output.is_empty() {
                let arrival = self.channel.next_arrival();
                match self.channel.pop(now) {
                    Some(bytes) => {
                        late_us.saturating_record(((now - arrival.unwrap_or(now)) * 1e6) as u64);
                        self.output = bytes;
                    }
                    None => break,
                }
            }
            let Some(socket) = &mut self.socket else { return true };
            match socket.write(&self.output[self.written..]) {
                Ok(n) if self.written + n == self.output.len() => {
                    self.output.clear();
                    self.written = 0;
                }
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // The peer's close is detected by a read from this socket.
                Err(_) => return self.pending_close.is_none(),
            }
        }
        // A close is delivered like bytes, after those in flight, and is held back by a cut.
        match self.pending_close.filter(|_| self.channel.is_empty() && !cut) {
            Some(CloseKind::Orderly) => {
                if let Some(socket) = &self.socket {
                    let _ = socket.shutdown(Shutdown::Write);
                }
                self.pending_close = None;
                true
            }
            Some(CloseKind::Reset) => false,
            None => true,
        }
    }
}

//! The loop that holds all relays.
use crate::{DatagramPeer, HubMember, Summary};
use crossbeam_channel::Receiver;
use hdrhistogram::Histogram;
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Events, Interest, Poll, Token};
use sandstile_faults::fault_state::FaultScope;
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
    Hub { spots: Vec<HubMember>, sockets: Vec<std::net::UdpSocket> },
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

/// One socket of a stream's two, and what goes on over it.
struct Half {
    socket: Option<TcpStream>,
    up: bool,
    /// What comes from the other half on its way to this socket.
    channel: StreamChannel,
    /// Bytes that the platform has not taken yet.
    out: Vec<u8>,
    sent: usize,
    /// The other half has ended: so does this one, once all is written.
    ends: Option<Ends>,
    /// It has no more to say; how it ended.
    heard_end: bool,
    /// It may hold bytes that were not read yet, for its turn was over or the lane full. The loop tells of news only, never again of
    /// what it told: without a turn of its own such a rest would lie there for ever.
    rest: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum Ends {
    Whole,
    Reset,
}

struct Stream {
    route: usize,
    /// The one that dialled, and the one that is dialled: 0 and 1.
    halves: [Half; 2],
    /// What holds on the way to each half.
    condition: [LinkCondition; 2],
}

struct Pair {
    sides: [DatagramPeer; 2],
    sockets: [UdpSocket; 2],
    /// On their way to each side.
    ways: [DatagramChannel; 2],
    condition: [LinkCondition; 2],
}

/// Many that send datagrams to each other.
struct Hub {
    spots: Vec<HubMember>,
    sockets: Vec<UdpSocket>,
    /// Who sends from there.
    senders: BTreeMap<SocketAddr, usize>,
    /// From one to another, once something was sent.
    ways: BTreeMap<(usize, usize), (DatagramChannel, LinkCondition)>,
}

#[derive(Clone, Copy)]
enum Place {
    Hub(usize, usize),
    Route(usize),
    Half(usize, usize),
    Pair(usize, usize),
}

pub(crate) struct Carry {
    poll: Poll,
    seed: u64,
    start: Instant,
    active_faults: ActiveFaults,
    routes: Vec<Route>,
    streams: BTreeMap<usize, Stream>,
    pairs: Vec<Pair>,
    hubs: Vec<Hub>,
    places: BTreeMap<usize, Place>,
    next: usize,
    /// When a stream, a pair (behind `PAIRS`) or a hub (behind `HUBS`), has something that arrives; in nanoseconds, some long past.
    due: BinaryHeap<Reverse<(u64, usize)>>,
    /// The one look that is planned for each of them. Every look plans the next: without this each piece of news would start a row of
    /// looks of its own, and the loop would be busy with looks for as long as something is on its way.
    planned: BTreeMap<usize, u64>,
    summary: Summary,
}

const PAIRS: usize = usize::MAX / 2;
const HUBS: usize = usize::MAX / 4 * 3;
const PIECE: usize = 16 * 1024;
/// Pieces of one socket before the others have their turn.
const TURN: usize = 8;

impl Carry {
    pub fn new(poll: Poll, seed: u64) -> Carry {
        let late_us = Histogram::new_with_bounds(1, 60_000_000, 3).expect("usable bounds");
        let summary = Summary { streams: 0, bytes: 0, datagrams: 0, lost: 0, reset: 0, late_us };
        Carry {
            poll,
            seed,
            start: Instant::now(),
            active_faults: ActiveFaults::default(),
            routes: Vec::new(),
            streams: BTreeMap::new(),
            pairs: Vec::new(),
            hubs: Vec::new(),
            places: BTreeMap::new(),
            next: 1,
            due: BinaryHeap::new(),
            planned: BTreeMap::new(),
            summary,
        }
    }

    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    fn token(&mut self, place: Place) -> Token {
        let token = self.next;
        self.next += 1;
        self.places.insert(token, place);
        Token(token)
    }

    /// A look at one of them at that time (seconds), unless one is planned before.
    fn plan(&mut self, key: usize, at: f64) {
        let at = (at * 1e9) as u64 + 1;
        if self.planned.get(&key).is_none_or(|planned| at < *planned) {
            self.planned.insert(key, at);
            self.due.push(Reverse((at, key)));
        }
    }

    fn chance(&mut self) -> u64 {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.seed
    }

    pub fn run(mut self, commands: &Receiver<Command>) -> io::Result<Summary> {
        let mut events = Events::with_capacity(1024);
        loop {
            while let Ok(command) = commands.try_recv() {
                if let Command::Stop = command {
                    let pairs = self.pairs.iter().flat_map(|p| &p.ways);
                    let hubs = self.hubs.iter().flat_map(|h| h.ways.values().map(|(way, _)| way));
                    self.summary.lost = pairs.chain(hubs).map(|w| w.lost).sum();
                    return Ok(self.summary);
                }
                self.obey(command)?;
            }
            self.arrivals();
            let sleep = self
                .due
                .peek()
                .map(|Reverse((at, _))| Duration::from_nanos(*at).saturating_sub(self.start.elapsed()));
            match self.poll.poll(&mut events, sleep) {
                Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            for event in &events {
                match self.places.get(&event.token().0).copied() {
                    Some(Place::Route(route)) => self.accept(route)?,
                    Some(Place::Half(stream, half)) => {
                        if let Some(s) = self.streams.get_mut(&stream) {
                            if event.is_writable() && !s.halves[half].up {
                                s.halves[half].rise();
                            }
                        }
                        self.turn(stream);
                    }
                    Some(Place::Pair(pair, side)) => self.datagrams(pair, side),
                    Some(Place::Hub(hub, spot)) => self.letters(hub, spot),
                    None => {}
                }
            }
        }
    }

    fn obey(&mut self, command: Command) -> io::Result<()> {
        match command {
            Command::Stream { from, to, listener, target } => {
                let mut listener = TcpListener::from_std(listener);
                let token = self.token(Place::Route(self.routes.len()));
                self.poll.registry().register(&mut listener, token, Interest::READABLE)?;
                self.routes.push(Route { from, to, listener, target });
                self.accept(self.routes.len() - 1)?;
            }
            Command::DatagramPair { sides, sockets } => {
                let pair = self.pairs.len();
                let mut sockets = sockets.map(UdpSocket::from_std);
                for (side, socket) in sockets.iter_mut().enumerate() {
                    let token = self.token(Place::Pair(pair, side));
                    self.poll.registry().register(socket, token, Interest::READABLE)?;
                }
                let ways = [DatagramChannel::new(self.chance()), DatagramChannel::new(self.chance())];
                let condition = self.of_pair(&sides);
                self.pairs.push(Pair { sides: *sides, sockets, ways, condition });
                (0..2).for_each(|side| self.datagrams(pair, side));
            }
            Command::Hub { spots, sockets } => {
                let hub = self.hubs.len();
                let mut sockets: Vec<UdpSocket> = sockets.into_iter().map(UdpSocket::from_std).collect();
                for (spot, socket) in sockets.iter_mut().enumerate() {
                    let token = self.token(Place::Hub(hub, spot));
                    self.poll.registry().register(socket, token, Interest::READABLE)?;
                }
                let senders = spots.iter().enumerate().map(|(n, s)| (s.address, n)).collect();
                self.hubs.push(Hub { spots, sockets, senders, ways: BTreeMap::new() });
                (0..self.hubs[hub].spots.len()).for_each(|spot| self.letters(hub, spot));
            }
            Command::Begin(number, at, link_fault) => {
                self.active_faults.begin(number, at, link_fault);
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

    fn of_pair(&self, sides: &[DatagramPeer; 2]) -> [LinkCondition; 2] {
        [
            self.active_faults.condition(&sides[1].endpoint, &sides[0].endpoint),
            self.active_faults.condition(&sides[0].endpoint, &sides[1].endpoint),
        ]
    }

    fn of_route(&self, route: usize) -> [LinkCondition; 2] {
        let Route { from, to, .. } = &self.routes[route];
        [self.active_faults.condition(to, from), self.active_faults.condition(from, to)]
    }

    /// The weather is another: each link takes note.
    fn on_condition_change(&mut self) {
        let now = self.now();
        let keys: Vec<usize> = self.streams.keys().copied().collect();
        for key in keys {
            let Some(s) = self.streams.get(&key) else { continue };
            let condition = self.of_route(s.route);
            let Some(s) = self.streams.get_mut(&key) else { continue };
            for (half, condition) in s.halves.iter_mut().zip(&condition) {
                half.channel.on_condition_change(now, condition);
            }
            s.condition = condition;
            if condition.iter().any(|w| w.reset) {
                self.summary.reset += 1;
                self.drop_stream(key, true);
            } else {
                self.turn(key);
            }
        }
        for pair in 0..self.pairs.len() {
            let condition = self.of_pair(&self.pairs[pair].sides);
            let p = &mut self.pairs[pair];
            p.condition = condition;
            p.ways.iter_mut().zip(&condition).for_each(|(way, condition)| way.on_condition_change(condition));
        }
        for hub in &mut self.hubs {
            for ((from, to), (way, condition)) in &mut hub.ways {
                *condition =
                    self.active_faults.condition(&hub.spots[*from].endpoint, &hub.spots[*to].endpoint);
                way.on_condition_change(condition);
            }
        }
    }

    /// What has come for one of a hub.
    fn letters(&mut self, hub: usize, to: usize) {
        let now = self.now();
        let mut bytes = [0; 65_536];
        loop {
            match self.hubs[hub].sockets[to].recv_from(&mut bytes) {
                Ok((n, source)) => {
                    // A stranger's go nowhere: nobody could say which link they came over.
                    let Some(&from) = self.hubs[hub].senders.get(&source) else { continue };
                    self.summary.datagrams += 1;
                    self.summary.bytes += n as u64;
                    if !self.hubs[hub].ways.contains_key(&(from, to)) {
                        let spots = &self.hubs[hub].spots;
                        let condition =
                            self.active_faults.condition(&spots[from].endpoint, &spots[to].endpoint);
                        let way = DatagramChannel::new(self.chance());
                        self.hubs[hub].ways.insert((from, to), (way, condition));
                    }
                    if let Some((way, condition)) = self.hubs[hub].ways.get_mut(&(from, to)) {
                        way.push(now, &bytes[..n], condition);
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
                Err(_) => break,
            }
        }
        self.hand_out(hub);
    }

    fn hand_out(&mut self, hub: usize) {
        let now = self.now();
        let h = &mut self.hubs[hub];
        let mut next = f64::INFINITY;
        for ((from, to), (way, _)) in &mut h.ways {
            while let Some(bytes) = way.pop(now) {
                let _ = h.sockets[*from].send_to(&bytes, h.spots[*to].address);
            }
            next = way.next_arrival().map_or(next, |at| at.min(next));
        }
        if next.is_finite() {
            self.plan(HUBS + hub, next);
        }
    }

    fn accept(&mut self, route: usize) -> io::Result<()> {
        loop {
            let mut near = match self.routes[route].listener.accept() {
                Ok((near, _)) => near,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                // One that left again, or no descriptor just now.
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => continue,
                Err(_) => return Ok(()),
            };
            let condition = self.of_route(route);
            if condition.iter().any(|w| w.reset) {
                self.summary.reset += 1;
                let _ = SockRef::from(&near).set_linger(Some(Duration::ZERO));
                continue;
            }
            let _ = near.set_nodelay(true);
            let key = self.next;
            self.next += 1;
            let token = self.token(Place::Half(key, 0));
            self.poll.registry().register(&mut near, token, Interest::READABLE | Interest::WRITABLE)?;
            let mut halves = [Half::new(self.chance()), Half::new(self.chance())];
            (halves[0].socket, halves[0].up) = (Some(near), true);
            halves.iter_mut().zip(&condition).for_each(|(h, w)| h.channel.on_condition_change(0.0, w));
            self.streams.insert(key, Stream { route, halves, condition });
            self.summary.streams += 1;
            self.turn(key);
        }
    }

    /// The far side is dialled once nothing keeps a first packet from it.
    fn dial(&mut self, key: usize) -> io::Result<()> {
        let Some(s) = self.streams.get(&key) else { return Ok(()) };
        if s.halves[1].socket.is_some() || s.condition.iter().any(|w| w.cut) {
            return Ok(());
        }
        let mut far = TcpStream::connect(self.routes[s.route].target)?;
        let token = self.token(Place::Half(key, 1));
        self.poll.registry().register(&mut far, token, Interest::READABLE | Interest::WRITABLE)?;
        if let Some(s) = self.streams.get_mut(&key) {
            s.halves[1].socket = Some(far);
        }
        Ok(())
    }

    /// All that one stream can do now.
    fn turn(&mut self, key: usize) {
        let now = self.now();
        if self.dial(key).is_err() {
            return self.drop_stream(key, true);
        }
        let Some(s) = self.streams.get_mut(&key) else { return };
        let mut over = false;
        for from in 0..2 {
            let to = 1 - from;
            let condition = s.condition[to];
            let [near, far] = &mut s.halves;
            let (one, other) = if from == 0 { (near, far) } else { (far, near) };
            self.summary.bytes += one.read(now, other, &condition);
            over |= !other.write(now, condition.cut, &mut self.summary.late_us);
        }
        let due =
            s.halves.iter().filter(|h| h.out.is_empty() && h.up).filter_map(|h| h.channel.next_arrival());
        let due = due.reduce(f64::min);
        let [near, far] = &s.halves;
        let goes_on = near.unread(far) || far.unread(near);
        let due = if goes_on { Some(now) } else { due };
        let done = |h: &Half| h.socket.is_none() || (h.heard_end && h.ends.is_none());
        over |= s.halves[1].socket.is_some() && s.halves.iter().all(done);
        if over {
            return self.drop_stream(key, true);
        }
        if let Some(at) = due {
            self.plan(key, at.max(now));
        }
    }

    fn drop_stream(&mut self, key: usize, resets: bool) {
        let Some(s) = self.streams.remove(&key) else { return };
        self.planned.remove(&key);
        self.places.retain(|_, place| !matches!(place, Place::Half(of, _) if *of == key));
        for half in s.halves {
            // One that both have ended in order leaves nothing to reset.
            if let Some(socket) = half.socket.filter(|_| resets && !half.heard_end) {
                let _ = SockRef::from(&socket).set_linger(Some(Duration::ZERO));
            }
        }
    }

    fn arrivals(&mut self) {
        let now = self.start.elapsed().as_nanos() as u64;
        while let Some(Reverse((at, key))) = self.due.peek().copied() {
            if at > now {
                return;
            }
            self.due.pop();
            if self.planned.get(&key) != Some(&at) {
                continue;
            }
            self.planned.remove(&key);
            if key >= HUBS {
                self.hand_out(key - HUBS);
            } else if key >= PAIRS {
                self.deliver(key - PAIRS);
            } else {
                self.turn(key);
            }
        }
    }

    fn datagrams(&mut self, pair: usize, side: usize) {
        let now = self.now();
        let mut bytes = [0; 65_536];
        let p = &mut self.pairs[pair];
        loop {
            match p.sockets[side].recv_from(&mut bytes) {
                Ok((n, _)) => {
                    let to = 1 - side;
                    self.summary.datagrams += 1;
                    self.summary.bytes += n as u64;
                    p.ways[to].push(now, &bytes[..n], &p.condition[to]);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // What could not be delivered earlier is told here, too.
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
                Err(_) => break,
            }
        }
        self.deliver(pair);
    }

    fn deliver(&mut self, pair: usize) {
        let now = self.now();
        let p = &mut self.pairs[pair];
        for to in 0..2 {
            while let Some(bytes) = p.ways[to].pop(now) {
                // From the address that this side sends to itself, so that it takes it for the other's.
                let _ = p.sockets[to].send_to(&bytes, p.sides[to].address);
            }
        }
        if let Some(at) = p.ways.iter().filter_map(DatagramChannel::next_arrival).reduce(f64::min) {
            self.plan(PAIRS + pair, at);
        }
    }
}

impl Half {
    fn new(seed: u64) -> Half {
        Half {
            socket: None,
            up: false,
            channel: StreamChannel::new(seed),
            out: Vec::new(),
            sent: 0,
            ends: None,
            heard_end: false,
            rest: false,
        }
    }

    /// A dial is up, or it failed: the platform tells by the socket's error.
    fn rise(&mut self) {
        let Some(socket) = &self.socket else { return };
        match socket.take_error() {
            Ok(None) if socket.peer_addr().is_ok() => {
                let _ = socket.set_nodelay(true);
                self.up = true;
            }
            Ok(None) => {}
            _ => {
                self.up = true;
                self.heard_end = true;
                self.socket = None;
            }
        }
    }

    /// Bytes may wait in its socket, and the way to the other has room for them.
    fn unread(&self, other: &Half) -> bool {
        self.rest && self.up && self.socket.is_some() && !self.heard_end && other.channel.free_bytes() > 0
    }

    /// Takes what has come and puts it on the way to the other half; yields how much.
    fn read(&mut self, now: f64, other: &mut Half, condition: &LinkCondition) -> u64 {
        let mut bytes = [0; PIECE];
        let mut all = 0;
        self.rest = true;
        for _ in 0..TURN {
            let free_bytes = other.channel.free_bytes().min(PIECE);
            let Some(socket) = self.socket.as_mut().filter(|_| self.up && !self.heard_end && free_bytes > 0)
            else {
                break;
            };
            match socket.read(&mut bytes[..free_bytes]) {
                Ok(0) => {
                    self.heard_end = true;
                    other.ends = Some(Ends::Whole);
                }
                Ok(n) => {
                    all += n as u64;
                    other.channel.push(now, &bytes[..n], condition);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.rest = false;
                    break;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    self.heard_end = true;
                    other.ends = Some(Ends::Reset);
                }
            }
        }
        if self.socket.is_none() && self.up && other.ends.is_none() {
            other.ends = Some(Ends::Reset);
        }
        all
    }

    /// Writes what has arrived; `false` where the stream is over.
    fn write(&mut self, now: f64, cut: bool, late_us: &mut Histogram<u64>) -> bool {
        if !self.up {
            return true;
        }
        loop {
            if self.out.is_empty() {
                let due = self.channel.next_arrival();
                match self.channel.pop(now) {
                    Some(bytes) => {
                        late_us.saturating_record(((now - due.unwrap_or(now)) * 1e6) as u64);
                        self.out = bytes;
                    }
                    None => break,
                }
            }
            let Some(socket) = &mut self.socket else { return true };
            match socket.write(&self.out[self.sent..]) {
                Ok(n) if self.sent + n == self.out.len() => {
                    self.out.clear();
                    self.sent = 0;
                }
                Ok(n) => self.sent += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Its own end is told by what is read from it.
                Err(_) => return self.ends.is_none(),
            }
        }
        // An end is news as well, and a cut keeps it.
        match self.ends.filter(|_| self.channel.is_empty() && !cut) {
            Some(Ends::Whole) => {
                if let Some(socket) = &self.socket {
                    let _ = socket.shutdown(Shutdown::Write);
                }
                self.ends = None;
                true
            }
            Some(Ends::Reset) => false,
            None => true,
        }
    }
}

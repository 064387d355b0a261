//! What members tell each other, and its bytes. A message that can't be read whole is none; lengths are bounded before
//! anything is allocated.
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Bytes of a message at the most: one datagram on any path.
pub const MOST: usize = 1200;
/// Bytes of a name at the most.
pub const LONGEST_NAME: usize = 64;
/// Bytes of a zone's name at the most.
pub const LONGEST_ZONE: usize = 32;
/// The version of what is written here. Versions run side by side: each letter says which is the least that can read it, what a
/// later one adds lies behind what an earlier one knows, and is passed over.
const VERSION: u8 = 2;
const READ_FROM: u8 = 2;

/// One life of a member: its name, and a number that each start draws higher than the last known to it. Two lives of one
/// name are never the same member's; incarnations count within a life.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Life {
    pub name: String,
    pub life: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    Alive,
    Suspect,
    Left,
    Dead,
}

/// What a member says of itself beside where it is; the same for all of its life.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Meta {
    /// Of the program, as its makers count.
    pub version: u16,
    pub zone: String,
    /// Where other instances may tell it larger things, if anywhere.
    pub exchange: Option<SocketAddr>,
}

/// What is said of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rumour {
    pub of: Life,
    pub at: SocketAddr,
    pub incarnation: u32,
    pub state: State,
    /// Of a suspicion: who missed an answer of its own (`voice`); 0 otherwise. Whoever passes it on accuses nobody.
    pub by: u32,
    pub meta: Meta,
}

/// A member's name as those that accuse are told apart.
pub fn voice(name: &str) -> u32 {
    // FNV-1a, the same on every machine; never 0, which is nobody's.
    name.bytes().fold(0x811c_9dc5u32, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)).max(1)
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Are you there?
    Ping {
        number: u32,
    },
    /// Yes.
    Ack {
        number: u32,
    },
    /// Ask this one for me.
    Ask {
        number: u32,
        whom: SocketAddr,
    },
    /// Let me in; answered by all that is known, in as many messages as it takes.
    Join,
    Known,
}

/// A message with its sender and the rumours that ride on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Letter {
    pub from: Rumour,
    pub message: Message,
    pub rumours: Vec<Rumour>,
    /// The sender's view in one number: equal views have equal ones.
    pub digest: u64,
}

struct Out(Vec<u8>);

impl Out {
    fn address(&mut self, at: SocketAddr) {
        match at.ip() {
            IpAddr::V4(ip) => {
                self.0.push(4);
                self.0.extend_from_slice(&ip.octets());
            }
            IpAddr::V6(ip) => {
                self.0.push(6);
                self.0.extend_from_slice(&ip.octets());
            }
        }
        self.0.extend_from_slice(&at.port().to_be_bytes());
    }

    fn rumour(&mut self, r: &Rumour) {
        let name = &r.of.name.as_bytes()[..r.of.name.len().min(LONGEST_NAME)];
        self.0.push(name.len() as u8);
        self.0.extend_from_slice(name);
        self.0.extend_from_slice(&r.of.life.to_be_bytes());
        self.address(r.at);
        self.0.extend_from_slice(&r.incarnation.to_be_bytes());
        self.0.push(r.state as u8);
        self.0.extend_from_slice(&r.by.to_be_bytes());
        let zone = &r.meta.zone.as_bytes()[..r.meta.zone.len().min(LONGEST_ZONE)];
        // Its length first: what a later version adds is passed over by this one.
        let place = self.0.len();
        self.0.push(0);
        self.0.extend_from_slice(&r.meta.version.to_be_bytes());
        self.0.push(zone.len() as u8);
        self.0.extend_from_slice(zone);
        match r.meta.exchange {
            Some(at) => self.address(at),
            None => self.0.push(0),
        }
        self.0[place] = (self.0.len() - place - 1) as u8;
    }
}

/// Bytes that a rumour takes.
pub fn size(r: &Rumour) -> usize {
    let address = |at: &SocketAddr| if at.is_ipv4() { 7 } else { 19 };
    let meta = 4 + r.meta.zone.len().min(LONGEST_ZONE) + r.meta.exchange.as_ref().map_or(1, address);
    1 + r.of.name.len().min(LONGEST_NAME) + 8 + address(&r.at) + 4 + 1 + 4 + meta
}

impl Letter {
    /// Its bytes; rumours that find no room are left out, the later ones first.
    pub fn write(&self) -> Vec<u8> {
        let mut out = Out(vec![VERSION, READ_FROM]);
        out.0.extend_from_slice(&self.digest.to_be_bytes());
        out.rumour(&self.from);
        match &self.message {
            Message::Ping { number } => {
                out.0.push(0);
                out.0.extend_from_slice(&number.to_be_bytes());
            }
            Message::Ack { number } => {
                out.0.push(1);
                out.0.extend_from_slice(&number.to_be_bytes());
            }
            Message::Ask { number, whom } => {
                out.0.push(2);
                out.0.extend_from_slice(&number.to_be_bytes());
                out.address(*whom);
            }
            Message::Join => out.0.push(3),
            Message::Known => out.0.push(4),
        }
        let place = out.0.len();
        out.0.push(0);
        for rumour in &self.rumours {
            if out.0.len() + size(rumour) > MOST || out.0[place] == u8::MAX {
                break;
            }
            out.rumour(rumour);
            out.0[place] += 1;
        }
        out.0
    }

    /// `None` for anything that is not whole, or of a version that is not known here.
    pub fn read(bytes: &[u8]) -> Option<Letter> {
        if bytes.len() > MOST {
            return None;
        }
        let mut from = In(bytes);
        let (version, read_from) = (from.byte()?, from.byte()?);
        if version < READ_FROM || read_from > VERSION {
            return None;
        }
        let digest = u64::from_be_bytes(from.array()?);
        let sender = from.rumour()?;
        let message = match from.byte()? {
            0 => Message::Ping { number: u32::from_be_bytes(from.array()?) },
            1 => Message::Ack { number: u32::from_be_bytes(from.array()?) },
            2 => Message::Ask { number: u32::from_be_bytes(from.array()?), whom: from.address()? },
            3 => Message::Join,
            4 => Message::Known,
            _ => return None,
        };
        let count = from.byte()?;
        let rumours = (0..count).map(|_| from.rumour()).collect::<Option<Vec<_>>>()?;
        // Only a later version may have more to say.
        let whole = from.0.is_empty() || version > VERSION;
        whole.then_some(Letter { from: sender, message, rumours, digest })
    }
}

struct In<'a>(&'a [u8]);

impl In<'_> {
    fn take(&mut self, n: usize) -> Option<&[u8]> {
        if self.0.len() < n {
            return None;
        }
        let (head, rest) = self.0.split_at(n);
        self.0 = rest;
        Some(head)
    }

    fn byte(&mut self) -> Option<u8> {
        self.take(1).map(|b| b[0])
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.take(N)?.try_into().ok()
    }

    fn address(&mut self) -> Option<SocketAddr> {
        let ip = match self.byte()? {
            4 => IpAddr::V4(Ipv4Addr::from(self.array::<4>()?)),
            6 => IpAddr::V6(Ipv6Addr::from(self.array::<16>()?)),
            _ => return None,
        };
        Some(SocketAddr::new(ip, u16::from_be_bytes(self.array()?)))
    }

    fn rumour(&mut self) -> Option<Rumour> {
        let length = usize::from(self.byte()?);
        if length == 0 || length > LONGEST_NAME {
            return None;
        }
        let name = std::str::from_utf8(self.take(length)?).ok()?.to_string();
        let life = u64::from_be_bytes(self.array()?);
        let at = self.address()?;
        let incarnation = u32::from_be_bytes(self.array()?);
        let state = match self.byte()? {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Left,
            3 => State::Dead,
            _ => return None,
        };
        let by = u32::from_be_bytes(self.array()?);
        let length = usize::from(self.byte()?);
        let mut more = In(self.take(length)?);
        let version = u16::from_be_bytes(more.array()?);
        let length = usize::from(more.byte()?);
        if length > LONGEST_ZONE {
            return None;
        }
        let zone = std::str::from_utf8(more.take(length)?).ok()?.to_string();
        let exchange = if more.0.first() == Some(&0) { None } else { Some(more.address()?) };
        let meta = Meta { version, zone, exchange };
        Some(Rumour { of: Life { name, life }, at, incarnation, state, by, meta })
    }
}

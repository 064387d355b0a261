//! What members tell each other, and its bytes. A message that can't be read whole is none; lengths are bounded before
//! anything is allocated.
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Bytes of a message at the most: one datagram on any path.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Bytes of a name at the most.
pub const MAX_NAME_BYTES: usize = 64;
/// Bytes of a zone's name at the most.
pub const MAX_ZONE_BYTES: usize = 32;
/// The version of what is written here. Versions run side by side: each letter says which is the least that can read it, what a
/// later one adds lies behind what an earlier one knows, and is passed over.
const VERSION: u8 = 2;
const READ_FROM: u8 = 2;

/// One life of a member: its name, and a number that each start draws higher than the last known to it. Two lives of one
/// name are never the same member's; incarnations count within a life.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberId {
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
pub struct MemberUpdate {
    pub id: MemberId,
    pub address: SocketAddr,
    pub incarnation: u32,
    pub state: State,
    /// Of a suspicion: who missed an answer of its own (`accuser_id`); 0 otherwise. Whoever passes it on accuses nobody.
    pub accuser: u32,
    pub meta: Meta,
}

/// A member's name as those that accuse are told apart.
pub fn accuser_id(name: &str) -> u32 {
    // FNV-1a, the same on every machine; never 0, which is nobody's.
    name.bytes().fold(0x811c_9dc5u32, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)).max(1)
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Are you there?
    Ping {
        sequence: u32,
    },
    /// Yes.
    Ack {
        sequence: u32,
    },
    /// Ask this one for me.
    PingRequest {
        sequence: u32,
        target: SocketAddr,
    },
    /// Let me in; answered by all that is known, in as many messages as it takes.
    StateRequest,
    Gossip,
}

/// A message with its sender and the rumours that ride on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    pub from: MemberUpdate,
    pub message: Message,
    pub updates: Vec<MemberUpdate>,
    /// The sender's view in one number: equal views have equal ones.
    pub digest: u64,
}

struct Writer(Vec<u8>);

impl Writer {
    fn address(&mut self, address: SocketAddr) {
        match address.ip() {
            IpAddr::V4(ip) => {
                self.0.push(4);
                self.0.extend_from_slice(&ip.octets());
            }
            IpAddr::V6(ip) => {
                self.0.push(6);
                self.0.extend_from_slice(&ip.octets());
            }
        }
        self.0.extend_from_slice(&address.port().to_be_bytes());
    }

    fn update(&mut self, update: &MemberUpdate) {
        let name = &update.id.name.as_bytes()[..update.id.name.len().min(MAX_NAME_BYTES)];
        self.0.push(name.len() as u8);
        self.0.extend_from_slice(name);
        self.0.extend_from_slice(&update.id.life.to_be_bytes());
        self.address(update.address);
        self.0.extend_from_slice(&update.incarnation.to_be_bytes());
        self.0.push(update.state as u8);
        self.0.extend_from_slice(&update.accuser.to_be_bytes());
        let zone = &update.meta.zone.as_bytes()[..update.meta.zone.len().min(MAX_ZONE_BYTES)];
        // Its length first: what a later version adds is passed over by this one.
        let length_offset = self.0.len();
        self.0.push(0);
        self.0.extend_from_slice(&update.meta.version.to_be_bytes());
        self.0.push(zone.len() as u8);
        self.0.extend_from_slice(zone);
        match update.meta.exchange {
            Some(address) => self.address(address),
            None => self.0.push(0),
        }
        self.0[length_offset] = (self.0.len() - length_offset - 1) as u8;
    }
}

/// Bytes that a rumour takes.
pub fn encoded_size(update: &MemberUpdate) -> usize {
    let address_size = |address: &SocketAddr| if address.is_ipv4() { 7 } else { 19 };
    let meta = 4
        + update.meta.zone.len().min(MAX_ZONE_BYTES)
        + update.meta.exchange.as_ref().map_or(1, address_size);
    1 + update.id.name.len().min(MAX_NAME_BYTES) + 8 + address_size(&update.address) + 4 + 1 + 4 + meta
}

impl Datagram {
    /// Its bytes; rumours that find no room are left writer, the later ones first.
    pub fn write(&self) -> Vec<u8> {
        let mut writer = Writer(vec![VERSION, READ_FROM]);
        writer.0.extend_from_slice(&self.digest.to_be_bytes());
        writer.update(&self.from);
        match &self.message {
            Message::Ping { sequence } => {
                writer.0.push(0);
                writer.0.extend_from_slice(&sequence.to_be_bytes());
            }
            Message::Ack { sequence } => {
                writer.0.push(1);
                writer.0.extend_from_slice(&sequence.to_be_bytes());
            }
            Message::PingRequest { sequence, target } => {
                writer.0.push(2);
                writer.0.extend_from_slice(&sequence.to_be_bytes());
                writer.address(*target);
            }
            Message::StateRequest => writer.0.push(3),
            Message::Gossip => writer.0.push(4),
        }
        let count_offset = writer.0.len();
        writer.0.push(0);
        for update in &self.updates {
            if writer.0.len() + encoded_size(update) > MAX_DATAGRAM_BYTES || writer.0[count_offset] == u8::MAX
            {
                break;
            }
            writer.update(update);
            writer.0[count_offset] += 1;
        }
        writer.0
    }

    /// `None` for anything that is not whole, or of a version that is not known here.
    pub fn read(bytes: &[u8]) -> Option<Datagram> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return None;
        }
        let mut reader = Reader(bytes);
        let (version, read_from) = (reader.byte()?, reader.byte()?);
        if version < READ_FROM || read_from > VERSION {
            return None;
        }
        let digest = u64::from_be_bytes(reader.array()?);
        let sender = reader.update()?;
        let message = match reader.byte()? {
            0 => Message::Ping { sequence: u32::from_be_bytes(reader.array()?) },
            1 => Message::Ack { sequence: u32::from_be_bytes(reader.array()?) },
            2 => Message::PingRequest {
                sequence: u32::from_be_bytes(reader.array()?),
                target: reader.address()?,
            },
            3 => Message::StateRequest,
            4 => Message::Gossip,
            _ => return None,
        };
        let count = reader.byte()?;
        let updates = (0..count).map(|_| reader.update()).collect::<Option<Vec<_>>>()?;
        // Only a later version may have more to say.
        let whole = reader.0.is_empty() || version > VERSION;
        whole.then_some(Datagram { from: sender, message, updates, digest })
    }
}

struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
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

    fn update(&mut self) -> Option<MemberUpdate> {
        let length = usize::from(self.byte()?);
        if length == 0 || length > MAX_NAME_BYTES {
            return None;
        }
        let name = std::str::from_utf8(self.take(length)?).ok()?.to_string();
        let life = u64::from_be_bytes(self.array()?);
        let address = self.address()?;
        let incarnation = u32::from_be_bytes(self.array()?);
        let state = match self.byte()? {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Left,
            3 => State::Dead,
            _ => return None,
        };
        let accuser = u32::from_be_bytes(self.array()?);
        let length = usize::from(self.byte()?);
        let mut meta_reader = Reader(self.take(length)?);
        let version = u16::from_be_bytes(meta_reader.array()?);
        let length = usize::from(meta_reader.byte()?);
        if length > MAX_ZONE_BYTES {
            return None;
        }
        let zone = std::str::from_utf8(meta_reader.take(length)?).ok()?.to_string();
        let exchange = if meta_reader.0.first() == Some(&0) { None } else { Some(meta_reader.address()?) };
        let meta = Meta { version, zone, exchange };
        Some(MemberUpdate { id: MemberId { name, life }, address, incarnation, state, accuser, meta })
    }
}

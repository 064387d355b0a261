//! The datagrams that members exchange, and their encoding. A datagram that cannot be decoded completely is discarded; lengths
//! are checked before anything is allocated.
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Fits into one unfragmented datagram on any path.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
pub const MAX_NAME_BYTES: usize = 64;
pub const MAX_ZONE_BYTES: usize = 32;
/// Version of the encoding. Different versions run side by side: each datagram carries the lowest version that can read it. Later
/// versions append their additions to the known fields, and earlier versions skip them.
const VERSION: u8 = 2;
const READ_FROM: u8 = 2;

/// Identifies one process of a member: its name and its generation (`life`), which every start raises above the last known one.
/// Two generations of a name are different members; incarnations count within a generation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberId {
    pub name: String,
    /// The generation; logs print this field name.
    pub life: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    Alive,
    Suspect,
    Left,
    Dead,
}

/// Attributes of a member beside its address; they do not change during a generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Meta {
    /// Version of the program.
    pub version: u16,
    pub zone: String,
    /// Address for exchanging replicated state, which is too large for these datagrams, if the member has one.
    pub exchange: Option<SocketAddr>,
}

/// The state of one member as some member reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    pub id: MemberId,
    pub address: SocketAddr,
    pub incarnation: u32,
    pub state: State,
    /// For a suspicion, the `accuser_id` of the member whose own probe got no answer; 0 otherwise. A member that only forwards the
    /// suspicion does not count as an accuser.
    pub accuser: u32,
    pub meta: Meta,
}

/// Hash of a member's name that distinguishes accusers.
pub fn accuser_id(name: &str) -> u32 {
    // FNV-1a gives the same value on every machine. 0 is reserved for "no accuser".
    name.bytes().fold(0x811c_9dc5u32, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)).max(1)
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks the recipient for an `Ack`.
    Ping { sequence: u32 },
    /// Answers a `Ping` or, once the target has answered, a `PingRequest`.
    Ack { sequence: u32 },
    /// Asks the recipient to probe `target` on behalf of the sender.
    PingRequest { sequence: u32, target: SocketAddr },
    /// Asks for the state of all known members; the answer is one or more `Gossip` messages.
    StateRequest,
    /// Carries member updates only.
    Gossip,
}

/// A message with its sender and the piggybacked member updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    pub from: MemberUpdate,
    pub message: Message,
    pub updates: Vec<MemberUpdate>,
    /// Hash of the sender's view of the live members, to detect views that differ.
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
        // The attributes are preceded by their length, so that this version can skip what a later one adds.
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

/// Bytes of the encoded update.
pub fn encoded_size(update: &MemberUpdate) -> usize {
    let address_size = |address: &SocketAddr| if address.is_ipv4() { 7 } else { 19 };
    let meta = 4
        + update.meta.zone.len().min(MAX_ZONE_BYTES)
        + update.meta.exchange.as_ref().map_or(1, address_size);
    1 + update.id.name.len().min(MAX_NAME_BYTES) + 8 + address_size(&update.address) + 4 + 1 + 4 + meta
}

impl Datagram {
    /// Encodes the datagram. Updates that do not fit are dropped from the end of the list.
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

    /// Decodes a datagram; `None` if it is incomplete or its version is not supported.
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
        // Only a later version may append further bytes.
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

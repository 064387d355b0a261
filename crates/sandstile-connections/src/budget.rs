//! One budget of descriptors for clients and links, and one of memory for long commands and long values. What is
//! idle is on record here, so that the oldest can be told to go when a descriptor is wanted: links first, for a
//! client's connection costs the client a new one, and clients that have asked nothing before those that have.
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Holder {
    UpstreamConnection,
    /// A client that has yet to ask something.
    NewClientConnection,
    ClientConnection,
}

/// The record that something is idle.
pub type IdleKey = (Holder, u64);

/// What a wish for a descriptor comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    Granted,
    /// This idle one, of this kind, is to go first; it is off the record. Ask again then.
    Evict(Holder, usize),
    /// Nothing is free and nothing idle: wait until something is.
    Full,
}

/// What becomes of a connection that has waited for a while and that no room is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is served beyond the clients' share.
    Serve,
    /// Its statement is refused at once, and it goes.
    Refuse,
    /// It waits on.
    Wait,
}

/// Connections beyond all others that may be held to refuse their statements.
pub const MAX_REFUSED_CONNECTIONS: usize = 4;

#[derive(Debug)]
pub struct Budget {
    most: usize,
    most_clients: usize,
    most_long: usize,
    links: usize,
    clients: usize,
    refused: usize,
    long: usize,
    idle: BTreeMap<IdleKey, usize>,
    /// Clients among the idle.
    resting: usize,
    next: u64,
}

impl Budget {
    /// Descriptors in all and for clients, and bytes for long frames.
    pub fn new(most: usize, most_clients: usize, most_long: usize) -> Self {
        Budget {
            most,
            most_clients,
            most_long,
            links: 0,
            clients: 0,
            refused: 0,
            long: 0,
            idle: BTreeMap::new(),
            resting: 0,
            next: 0,
        }
    }

    /// Clients and hosts can make each connection hold a long frame; not all of them at once.
    pub fn reserve_bytes(&mut self, bytes: usize) -> bool {
        let fits = self.long + bytes <= self.most_long;
        if fits {
            self.long += bytes;
        }
        fits
    }

    pub fn release_bytes(&mut self, bytes: usize) {
        self.long -= bytes;
    }

    /// One value takes no more than an eighth of the room, as it comes and as it goes on: what says to be longer
    /// could not be passed on, whether it is true or not.
    pub fn max_value_bytes(&self) -> usize {
        self.most_long / 16
    }

    pub fn clients(&self) -> usize {
        self.clients
    }

    /// Links, clients and bytes held.
    pub fn held(&self) -> (usize, usize, usize) {
        (self.links, self.clients, self.long)
    }

    fn crowd(&self, holder: Holder) -> bool {
        holder != Holder::UpstreamConnection && self.clients >= self.most_clients
    }

    fn full(&self, holder: Holder) -> bool {
        self.crowd(holder) || self.links + self.clients >= self.most
    }

    /// The idle one that would go for this one.
    fn helps(&self, holder: Holder) -> Option<IdleKey> {
        let from = if self.crowd(holder) { Holder::NewClientConnection } else { Holder::UpstreamConnection };
        self.idle.range((from, 0)..).next().map(|(key, _)| *key)
    }

    /// Whether one could be had now, if need be in place of an idle one.
    pub fn can_claim(&self, holder: Holder) -> bool {
        !self.full(holder) || self.helps(holder).is_some()
    }

    /// Wants a descriptor; where it is granted it is counted until `release`.
    pub fn claim(&mut self, holder: Holder) -> Claim {
        if !self.full(holder) {
            self.take(holder);
            return Claim::Granted;
        }
        match self.helps(holder) {
            Some(key) => Claim::Evict(key.0, self.remove_idle(key).expect("on record")),
            None => Claim::Full,
        }
    }

    /// What becomes of a connection that has waited for long while nobody rests. `refuses` where it has waited for too long
    /// to wait on, `serves` where those that are in are busy and nobody who has asked nothing is about to make room.
    pub fn admission(&self, serves: bool, refuses: bool) -> Admission {
        let spare = self.links + self.clients < self.most || self.idle_link().is_some();
        match () {
            () if serves && spare && self.clients_below_limit() => Admission::Serve,
            () if refuses && self.refused < MAX_REFUSED_CONNECTIONS => Admission::Refuse,
            () => Admission::Wait,
        }
    }

    /// Whether clients may hold more, as long as what links leave: a quarter of all is for links.
    pub fn clients_below_limit(&self) -> bool {
        self.clients < self.most - self.most / 4
    }

    /// A descriptor for a client beyond the clients' share, where `admission` says so.
    pub fn claim_beyond_share(&mut self) -> Claim {
        if self.links + self.clients < self.most {
            self.take(Holder::ClientConnection);
            return Claim::Granted;
        }
        match self.idle_link() {
            Some(key) => Claim::Evict(key.0, self.remove_idle(key).expect("on record")),
            None => Claim::Full,
        }
    }

    fn idle_link(&self) -> Option<IdleKey> {
        self.idle.range(..(Holder::NewClientConnection, 0)).next().map(|(key, _)| *key)
    }

    /// Counts a connection that is held to refuse its statement.
    pub fn take_refused(&mut self) {
        self.refused += 1;
    }

    pub fn release_refused(&mut self) {
        self.refused -= 1;
    }

    /// Counts one that is held already.
    pub fn take(&mut self, holder: Holder) {
        match holder {
            Holder::UpstreamConnection => self.links += 1,
            _ => self.clients += 1,
        }
    }

    pub fn release(&mut self, holder: Holder) {
        match holder {
            Holder::UpstreamConnection => self.links -= 1,
            _ => self.clients -= 1,
        }
    }

    /// Clients share what they may hold here: where more than a quarter rests, the oldest goes for each that comes,
    /// or a crowd that asks nothing would leave the others no connection.
    pub fn take_surplus_client(&mut self) -> Option<usize> {
        if self.resting <= self.most_clients / 4 {
            return None;
        }
        let key = self.idle.range((Holder::NewClientConnection, 0)..).next().map(|(key, _)| *key)?;
        self.remove_idle(key)
    }

    /// The oldest idle one, where the platform gives fewer descriptors than were promised.
    pub fn take_oldest_idle(&mut self) -> Option<(Holder, usize)> {
        let key = *self.idle.keys().next()?;
        self.remove_idle(key).map(|line| (key.0, line))
    }

    /// Puts on record that this line is idle, last in its kind.
    pub fn mark_idle(&mut self, holder: Holder, line: usize) -> IdleKey {
        self.next += 1;
        let key = (holder, self.next);
        self.idle.insert(key, line);
        self.resting += usize::from(holder != Holder::UpstreamConnection);
        key
    }

    /// Strikes a record out; `None` where it was told to go already.
    pub fn remove_idle(&mut self, key: IdleKey) -> Option<usize> {
        let line = self.idle.remove(&key)?;
        self.resting -= usize::from(key.0 != Holder::UpstreamConnection);
        Some(line)
    }
}

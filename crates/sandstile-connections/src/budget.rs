//! One budget of descriptors for client and upstream connections, and one of memory for long commands and
//! long values. Idle connections are registered here, so that the oldest one can be evicted when a descriptor
//! is needed. Upstream connections are evicted first, because closing a client connection costs the client a
//! new one; among client connections those that have not sent a statement yet come first.
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Holder {
    UpstreamConnection,
    /// A client connection that has not sent a statement yet.
    NewClientConnection,
    ClientConnection,
}

/// Identifies the entry of an idle connection.
pub type IdleKey = (Holder, u64);

/// The result of claiming a descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    Granted,
    /// This idle connection, held by this kind of holder, has to be closed first; its entry is already
    /// removed. Claim again afterwards.
    Evict(Holder, usize),
    /// No descriptor is free and no connection is idle: wait until one is.
    Full,
}

/// What happens to an accepted connection that has waited for a while without a free descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Serve it beyond the clients' share.
    Serve,
    /// Refuse its statement at once and close it.
    Refuse,
    /// It keeps waiting.
    Wait,
}

/// How many connections may be held beyond the budget in order to refuse their statements.
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
    /// Number of idle client connections.
    resting: usize,
    next: u64,
}

impl Budget {
    /// `max` descriptors in all, of which clients may hold `max_clients`, and `max_long_bytes` for long
    /// frames.
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

    /// Reserves memory for a long frame, if there is room. Clients and hosts can make any connection hold a
    /// long frame, but not all of them at once.
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

    /// The longest value that is accepted. A value is reserved twice, as it arrives and as it is forwarded,
    /// and so takes at most an eighth of the memory. A longer one could not be forwarded, whether or not its
    /// length field is true.
    pub fn max_value_bytes(&self) -> usize {
        self.most_long / 16
    }

    pub fn clients(&self) -> usize {
        self.clients
    }

    /// Upstream connections, client connections and bytes held.
    pub fn held(&self) -> (usize, usize, usize) {
        (self.links, self.clients, self.long)
    }

    fn crowd(&self, holder: Holder) -> bool {
        holder != Holder::UpstreamConnection && self.clients >= self.most_clients
    }

    fn full(&self, holder: Holder) -> bool {
        self.crowd(holder) || self.links + self.clients >= self.most
    }

    /// The idle connection that would be evicted for this holder.
    fn helps(&self, holder: Holder) -> Option<IdleKey> {
        let from = if self.crowd(holder) { Holder::NewClientConnection } else { Holder::UpstreamConnection };
        self.idle.range((from, 0)..).next().map(|(key, _)| *key)
    }

    /// Whether a descriptor could be claimed now, if necessary by evicting an idle connection.
    pub fn can_claim(&self, holder: Holder) -> bool {
        !self.full(holder) || self.helps(holder).is_some()
    }

    /// Claims a descriptor. If granted, it is counted until `release`.
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

    /// What happens to a connection that has waited for a descriptor while no connection became idle.
    /// `may_refuse`: it has waited too long to keep waiting. `may_serve`: the connections that are being
    /// served are busy, and none that has not sent a statement is about to make room.
    pub fn admission(&self, serves: bool, refuses: bool) -> Admission {
        let spare = self.links + self.clients < self.most || self.idle_link().is_some();
        match () {
            () if serves && spare && self.clients_below_limit() => Admission::Serve,
            () if refuses && self.refused < MAX_REFUSED_CONNECTIONS => Admission::Refuse,
            () => Admission::Wait,
        }
    }

    /// Whether clients may hold more descriptors, provided that upstream connections leave some free. A
    /// quarter of all descriptors is reserved for upstream connections.
    pub fn clients_below_limit(&self) -> bool {
        self.clients < self.most - self.most / 4
    }

    /// Claims a descriptor for a client beyond the clients' share, after `admission` has allowed it.
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

    /// Counts a connection that is held only to refuse its statement.
    pub fn take_refused(&mut self) {
        self.refused += 1;
    }

    pub fn release_refused(&mut self) {
        self.refused -= 1;
    }

    /// Counts a descriptor that is held already.
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

    /// Removes the oldest idle client connection, to be closed, if more than a quarter of the clients' share
    /// is idle. Called for each new client; otherwise many clients that send nothing would leave no
    /// connection for the others.
    pub fn take_surplus_client(&mut self) -> Option<usize> {
        if self.resting <= self.most_clients / 4 {
            return None;
        }
        let key = self.idle.range((Holder::NewClientConnection, 0)..).next().map(|(key, _)| *key)?;
        self.remove_idle(key)
    }

    /// Removes the oldest idle connection, to be closed, when the platform grants fewer descriptors than the
    /// limit promised.
    pub fn take_oldest_idle(&mut self) -> Option<(Holder, usize)> {
        let key = *self.idle.keys().next()?;
        self.remove_idle(key).map(|line| (key.0, line))
    }

    /// Registers a connection as idle; it becomes the last to be evicted of its kind.
    pub fn mark_idle(&mut self, holder: Holder, line: usize) -> IdleKey {
        self.next += 1;
        let key = (holder, self.next);
        self.idle.insert(key, line);
        self.resting += usize::from(holder != Holder::UpstreamConnection);
        key
    }

    /// Removes an idle entry; `None` if it was already removed for eviction.
    pub fn remove_idle(&mut self, key: IdleKey) -> Option<usize> {
        let line = self.idle.remove(&key)?;
        self.resting -= usize::from(key.0 != Holder::UpstreamConnection);
        Some(line)
    }
}

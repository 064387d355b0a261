//! One budget of descriptors for client and upstream connections, and one of memory for long commands and
//! long values. Idle connections are registered here, so that the oldest one can be evicted when a descriptor
//! is needed. Upstream connections are evicted first, because closing a client connection costs the client a
//! new one; among client connections those that have not sent a statement yet come first.
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

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
    max_descriptors: usize,
    max_clients: usize,
    max_long_bytes: usize,
    upstream_connections: usize,
    clients: usize,
    refused: usize,
    /// Shared with the reservations, which may outlive their connection.
    long_bytes: Arc<AtomicUsize>,
    idle: BTreeMap<IdleKey, usize>,
    /// Number of idle client connections.
    idle_clients: usize,
    next_entry: u64,
}

/// Bytes reserved in the budget until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    bytes: usize,
    long_bytes: Arc<AtomicUsize>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.long_bytes.fetch_sub(self.bytes, Relaxed);
    }
}

/// What a connection holds at the most without a reservation: its buffers of some KiB, and its state.
pub const CONNECTION_BYTES: usize = 24 * 1024;

/// The numbers of connections and bytes that the limits of a process allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Client and upstream connections together.
    pub connections: usize,
    pub clients: usize,
    /// For all that is reserved: long commands, statements and answers.
    pub long_bytes: usize,
}

impl Shares {
    /// Half of the memory, `memory` in bytes, is for what is reserved and a third for the connections' small buffers;
    /// the rest is the process itself. Clients use at most a third of the descriptors for statements, each with an
    /// upstream connection beside it, and some more may connect and disconnect. `own_descriptors` are not for
    /// connections.
    pub fn new(descriptors: usize, own_descriptors: usize, memory: usize, longest_frame: usize) -> Shares {
        let unreserved = own_descriptors + MAX_REFUSED_CONNECTIONS;
        let by_memory = memory / 3 / CONNECTION_BYTES;
        let connections = descriptors.saturating_sub(unreserved).min(by_memory).max(4);
        let clients = (descriptors / 3 + own_descriptors).min(connections / 2).max(2);
        Shares { connections, clients, long_bytes: (memory / 2).max(4 * longest_frame) }
    }
}

impl Budget {
    /// `max_descriptors` in all, of which clients may hold `max_clients`, and `max_long_bytes` for long
    /// frames.
    pub fn new(max_descriptors: usize, max_clients: usize, max_long_bytes: usize) -> Self {
        Budget {
            max_descriptors,
            max_clients,
            max_long_bytes,
            upstream_connections: 0,
            clients: 0,
            refused: 0,
            long_bytes: Arc::default(),
            idle: BTreeMap::new(),
            idle_clients: 0,
            next_entry: 0,
        }
    }

    /// Reserves memory for a long frame, if there is room. Clients and hosts can make any connection hold a
    /// long frame, but not all of them at once.
    pub fn reserve_bytes(&mut self, bytes: usize) -> bool {
        let fits = self.long_bytes.load(Relaxed) + bytes <= self.max_long_bytes;
        if fits {
            self.long_bytes.fetch_add(bytes, Relaxed);
        }
        fits
    }

    pub fn release_bytes(&mut self, bytes: usize) {
        self.long_bytes.fetch_sub(bytes, Relaxed);
    }

    /// Like `reserve_bytes`, for memory that is released by dropping the reservation.
    pub fn reservation(&mut self, bytes: usize) -> Option<Reservation> {
        self.reserve_bytes(bytes).then(|| Reservation { bytes, long_bytes: self.long_bytes.clone() })
    }

    /// The longest value that is accepted. A value is reserved twice, as it arrives and as it is forwarded,
    /// and so takes at most an eighth of the memory. A longer one could not be forwarded, whether or not its
    /// length field is true.
    pub fn max_value_bytes(&self) -> usize {
        self.max_long_bytes / 16
    }

    pub fn clients(&self) -> usize {
        self.clients
    }

    /// Upstream connections, client connections and bytes held.
    pub fn usage(&self) -> (usize, usize, usize) {
        (self.upstream_connections, self.clients, self.long_bytes.load(Relaxed))
    }

    fn client_share_is_full(&self, holder: Holder) -> bool {
        holder != Holder::UpstreamConnection && self.clients >= self.max_clients
    }

    fn is_full(&self, holder: Holder) -> bool {
        self.client_share_is_full(holder) || self.upstream_connections + self.clients >= self.max_descriptors
    }

    /// The idle connection that would be evicted for this holder.
    fn evictable_for(&self, holder: Holder) -> Option<IdleKey> {
        let from = if self.client_share_is_full(holder) {
            Holder::NewClientConnection
        } else {
            Holder::UpstreamConnection
        };
        self.idle.range((from, 0)..).next().map(|(key, _)| *key)
    }

    /// Whether a descriptor could be claimed now, if necessary by evicting an idle connection.
    pub fn can_claim(&self, holder: Holder) -> bool {
        !self.is_full(holder) || self.evictable_for(holder).is_some()
    }

    /// Claims a descriptor. If granted, it is counted until `release`.
    pub fn claim(&mut self, holder: Holder) -> Claim {
        if !self.is_full(holder) {
            self.take(holder);
            return Claim::Granted;
        }
        match self.evictable_for(holder) {
            Some(key) => Claim::Evict(key.0, self.remove_idle(key).expect("the entry was just found")),
            None => Claim::Full,
        }
    }

    /// What happens to a connection that has waited for a descriptor while no connection became idle.
    /// `may_refuse`: it has waited too long to keep waiting. `may_serve`: the connections that are being
    /// served are busy, and none that has not sent a statement is about to make room.
    pub fn admission(&self, may_serve: bool, may_refuse: bool) -> Admission {
        let spare = self.upstream_connections + self.clients < self.max_descriptors
            || self.oldest_idle_upstream().is_some();
        match () {
            () if may_serve && spare && self.clients_below_limit() => Admission::Serve,
            () if may_refuse && self.refused < MAX_REFUSED_CONNECTIONS => Admission::Refuse,
            () => Admission::Wait,
        }
    }

    /// Whether clients may hold more descriptors, provided that upstream connections leave some free. A
    /// quarter of all descriptors is reserved for upstream connections.
    pub fn clients_below_limit(&self) -> bool {
        self.clients < self.max_descriptors - self.max_descriptors / 4
    }

    /// Claims a descriptor for a client beyond the clients' share, after `admission` has allowed it.
    pub fn claim_beyond_share(&mut self) -> Claim {
        if self.upstream_connections + self.clients < self.max_descriptors {
            self.take(Holder::ClientConnection);
            return Claim::Granted;
        }
        match self.oldest_idle_upstream() {
            Some(key) => Claim::Evict(key.0, self.remove_idle(key).expect("the entry was just found")),
            None => Claim::Full,
        }
    }

    fn oldest_idle_upstream(&self) -> Option<IdleKey> {
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
            Holder::UpstreamConnection => self.upstream_connections += 1,
            _ => self.clients += 1,
        }
    }

    pub fn release(&mut self, holder: Holder) {
        match holder {
            Holder::UpstreamConnection => self.upstream_connections -= 1,
            _ => self.clients -= 1,
        }
    }

    /// Removes the oldest idle client connection, to be closed, if more than a quarter of the clients' share
    /// is idle. Called for each new client; otherwise many clients that send nothing would leave no
    /// connection for the others.
    pub fn take_surplus_client(&mut self) -> Option<usize> {
        if self.idle_clients <= self.max_clients / 4 {
            return None;
        }
        let key = self.idle.range((Holder::NewClientConnection, 0)..).next().map(|(key, _)| *key)?;
        self.remove_idle(key)
    }

    /// Removes the oldest idle connection, to be closed, when the platform grants fewer descriptors than the
    /// limit promised.
    pub fn take_oldest_idle(&mut self) -> Option<(Holder, usize)> {
        let key = *self.idle.keys().next()?;
        self.remove_idle(key).map(|connection| (key.0, connection))
    }

    /// Registers a connection as idle; it becomes the last to be evicted of its kind.
    pub fn mark_idle(&mut self, holder: Holder, connection: usize) -> IdleKey {
        self.next_entry += 1;
        let key = (holder, self.next_entry);
        self.idle.insert(key, connection);
        self.idle_clients += usize::from(holder != Holder::UpstreamConnection);
        key
    }

    /// Removes an idle entry; `None` if it was already removed for eviction.
    pub fn remove_idle(&mut self, key: IdleKey) -> Option<usize> {
        let connection = self.idle.remove(&key)?;
        self.idle_clients -= usize::from(key.0 != Holder::UpstreamConnection);
        Some(connection)
    }
}

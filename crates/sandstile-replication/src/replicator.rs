//! A router's copy of the replicated state and its exchange with the peers.
use oorandom::Rand64;
use sandstile_replicated_state::catchup::{CatchUp, SyncState, Trust};
use sandstile_replicated_state::deltas::FROM_COMPARISON;
use sandstile_replicated_state::fact::Report;
use sandstile_replicated_state::sync_protocol::LAST_HOP;
use sandstile_replicated_state::{
    wire, Deltas, Fact, Key, Kind, LearnOutcome, Message, PeerSync, Replica, Value,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Settings at the start of a router.
#[derive(Clone, Debug)]
pub struct ReplicationSettings {
    /// The router's name, without its generation.
    pub name: String,
    pub generation: u64,
    /// Maximum replica lag in seconds.
    pub max_replica_lag: f64,
    pub seed: u64,
    /// The facts read from the disk, and how far they are trusted.
    pub stored: Vec<(Key, Fact)>,
    pub trust: Trust,
    /// The generation that wrote them, if it could be read.
    pub stored_generation: Option<u64>,
}

/// Events for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicationEvent {
    /// A peer sent this fact, and it was new.
    FactLearned(Key, Value),
    SyncStateChanged(SyncState),
    /// A comparison with this peer is complete: everything that it held then is held here.
    PeerCompared(String),
    /// The owner sent two different reports with one version; the more severe is kept.
    Contradiction(Key),
    /// A peer met a later generation of this router than the one whose copy was read, so that copy is outdated.
    OldCopy {
        found: u64,
        met: u64,
    },
    /// A higher generation exists: another process runs under this router's name, or this router's clock was set
    /// back.
    DuplicateName(u64),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub messages_in: u64,
    pub messages_out: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// Messages that could not be decoded, and facts that were corrupt or refused.
    pub unreadable: u64,
    pub refused: u64,
    pub rounds: u64,
    /// Comparisons that were aborted.
    pub rounds_lost: u64,
    /// Requests that were not answered because too many answers to that peer were queued.
    pub shed: u64,
}

/// Send rate to one peer in bytes per second, and its burst.
const BYTES_PER_SECOND: f64 = 1_000_000.0;
const BURST_BYTES: f64 = 256_000.0;
/// Maximum bytes handed to the writer of one peer and not written yet. This bounds the memory that a slow peer uses.
const MAX_UNWRITTEN_BYTES: usize = 256 * 1024;
/// Maximum messages queued for one peer. Beyond that its requests are not answered until it has read some.
const MAX_QUEUED_MESSAGES: usize = 1024;
/// Maximum delta messages queued for one peer; the copy holds all further changes.
const MAX_QUEUED_DELTAS: usize = 8;
/// Seconds without progress after which a comparison is aborted.
const COMPARISON_TIMEOUT_SECONDS: f64 = 1.0;
/// Seconds from a completed comparison with a peer to the next one with it, and the mean interval of background
/// comparisons with a random peer.
const COMPARISON_INTERVAL_SECONDS: f64 = 2.0;
/// Seconds for which a disconnected peer is remembered, and the maximum number of peers. A peer that returns in time
/// receives only what it missed.
const PEER_RETENTION_SECONDS: f64 = 600.0;
const MAX_PEERS: usize = 1024;
/// The first message to a peer after the connection is up, so that the peer knows that it is reachable in both
/// directions.
const HELLO: Message = Message::Ack(0);
/// Seconds between two acknowledgements to one peer.
const ACK_INTERVAL_SECONDS: f64 = 0.2;
/// Seconds between two removals of expired facts and peers.
const EXPIRY_INTERVAL_SECONDS: f64 = 1.0;

struct Round {
    id: u32,
    last_progress_at: f64,
}

struct Peer {
    /// Identifies the peer as the source of facts.
    id: u32,
    deltas: Deltas,
    sync: PeerSync,
    /// When the connection to it ended; `None` while it is connected.
    disconnected_at: Option<f64>,
    outgoing: VecDeque<Message>,
    /// Whether a message has come from it since it connected. A comparison is only answered if messages pass in both
    /// directions.
    message_received: bool,
    /// It sent more requests than answers may be queued.
    shedding: bool,
    /// Bytes that were handed to its writer and not written yet.
    unwritten_bytes: usize,
    send_credit: f64,
    credit_updated_at: f64,
    /// The version of its changes that is received but not acknowledged yet, and the time of the last
    /// acknowledgement.
    pending_ack: Option<u64>,
    last_ack_at: f64,
    round: Option<Round>,
    last_round_id: u32,
    last_comparison_at: f64,
}

impl Peer {
    fn queue_length(&self) -> usize {
        self.outgoing.len()
    }
}

pub struct ReplicationPeer {
    own_name: String,
    generation: u64,
    stored_generation: Option<u64>,
    replica: Replica,
    catchup: CatchUp,
    peers: BTreeMap<String, Peer>,
    /// Peers that sent messages before the connection to them was up.
    early_senders: BTreeSet<String>,
    last_peer_id: u32,
    /// The version of this router's last report.
    last_report_version: u64,
    sync_state: SyncState,
    generation_announced: bool,
    old_copy: bool,
    /// When the next background comparison with one peer is due.
    next_comparison_at: f64,
    next_expiry_at: f64,
    rng: Rand64,
    events: Vec<ReplicationEvent>,
    counts: Counts,
}

impl ReplicationPeer {
    pub fn new(settings: ReplicationSettings, now: f64) -> ReplicationPeer {
        let mut replica = Replica::new(settings.max_replica_lag);
        for (key, fact) in &settings.stored {
            // If the clock was set back, a stored fact must not lie in the future: it gets the current time.
            let created_at = fact.created_at.min(now);
            replica.learn(now, key, &Fact { created_at, ..fact.clone() });
        }
        let catchup = CatchUp::new(&settings.name, settings.generation, settings.trust, now);
        ReplicationPeer {
            sync_state: catchup.sync_state(),
            catchup,
            own_name: settings.name,
            generation: settings.generation,
            stored_generation: settings.stored_generation,
            replica,
            peers: BTreeMap::new(),
            early_senders: BTreeSet::new(),
            last_peer_id: 0,
            last_report_version: 0,
            generation_announced: false,
            old_copy: false,
            next_comparison_at: now + COMPARISON_INTERVAL_SECONDS,
            next_expiry_at: now,
            rng: Rand64::new(u128::from(settings.seed)),
            events: Vec::new(),
            counts: Counts::default(),
        }
    }

    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    pub fn sync_state(&self) -> SyncState {
        self.sync_state
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub fn take_events(&mut self) -> Vec<ReplicationEvent> {
        std::mem::take(&mut self.events)
    }

    /// Replaces the copy with another one, for simulations that start with much state known to all.
    pub fn replace_replica(&mut self, replica: Replica) {
        self.replica = replica;
        let version = self.replica.version();
        self.peers.values_mut().for_each(|p| p.deltas = Deltas::starting_at(version));
    }

    /// The peers that this router is connected to.
    pub fn connected_peers(&self) -> impl Iterator<Item = &str> {
        self.peers.iter().filter(|(_, p)| p.disconnected_at.is_none()).map(|(name, _)| name.as_str())
    }

    /// Records a fact that every router may write, as this router observed it.
    pub fn learn(&mut self, now: f64, kind: Kind, subject: &str, value: Value) {
        self.replica.learn(now, &Key::shared(kind, subject), &Fact { value, created_at: now });
    }

    /// Publishes a report of which this router is the only writer.
    pub fn publish_report(&mut self, now: f64, kind: Kind, subject: &str, severity: u8, body: &str) {
        self.last_report_version += 1;
        let report = Report {
            generation: self.generation,
            version: self.last_report_version,
            severity,
            body: body.into(),
        };
        let key = Key::owned(kind, subject, &self.own_name);
        self.replica.learn(now, &key, &Fact { value: Value::Report(report), created_at: now });
    }

    /// A connection to this peer, named by name and generation, is up. A peer that was known before receives what it
    /// missed.
    pub fn peer_connected(&mut self, now: f64, peer: &str) {
        if let Some(known) = self.peers.get_mut(peer) {
            known.deltas.rewind();
            known.outgoing.clear();
            known.unwritten_bytes = 0;
            (known.disconnected_at, known.round, known.message_received) =
                (None, None, self.early_senders.remove(peer));
            known.outgoing.push_back(HELLO);
            return;
        }
        if self.peers.len() >= MAX_PEERS {
            let disconnected = self.peers.iter().filter_map(|(n, p)| Some((p.disconnected_at?, n.clone())));
            let Some((_, name)) = disconnected.min_by(|a, b| a.0.total_cmp(&b.0)) else { return };
            self.peers.remove(&name);
        }
        self.last_peer_id += 1;
        let new_peer = Peer {
            id: self.last_peer_id,
            // Earlier changes are found by a comparison: a router that has just started begins one.
            deltas: Deltas::starting_at(self.replica.version()),
            sync: PeerSync::default(),
            disconnected_at: None,
            outgoing: VecDeque::from([HELLO]),
            message_received: self.early_senders.remove(peer),
            shedding: false,
            unwritten_bytes: 0,
            send_credit: BURST_BYTES,
            credit_updated_at: now,
            pending_ack: None,
            last_ack_at: now,
            round: None,
            last_round_id: 0,
            last_comparison_at: f64::NEG_INFINITY,
        };
        self.peers.insert(peer.to_string(), new_peer);
    }

    pub fn peer_disconnected(&mut self, now: f64, peer: &str) {
        self.early_senders.remove(peer);
        if let Some(peer) = self.peers.get_mut(peer) {
            self.counts.rounds_lost += u64::from(peer.round.is_some());
            (peer.disconnected_at, peer.round) = (Some(now), None);
            peer.outgoing.clear();
        }
    }

    /// Handles a message from a peer. Without a connection to that peer only its facts are taken; whatever is lost is
    /// found again by a comparison once the connection is up.
    pub fn receive(&mut self, now: f64, from: &str, bytes: &[u8]) {
        self.counts.messages_in += 1;
        self.counts.bytes_in += bytes.len() as u64;
        let Some((message, corrupt)) = wire::decode(bytes, now) else {
            self.counts.unreadable += 1;
            return;
        };
        self.counts.refused += corrupt as u64;
        let Some(peer) = self.peers.get_mut(from).filter(|p| p.disconnected_at.is_none()) else {
            if self.early_senders.len() < MAX_PEERS {
                self.early_senders.insert(from.to_string());
            }
            // The sender has proven that it is a peer, so its facts are accepted.
            if let Message::Facts(facts) | Message::Deltas { facts, .. } = message {
                self.merge_facts(now, FROM_COMPARISON, &facts);
            }
            return;
        };
        peer.message_received = true;
        let peer_id = peer.id;
        let expects_answer = !matches!(message, Message::Facts(_) | Message::Deltas { .. } | Message::Ack(_));
        if expects_answer
            && (peer.queue_length() >= MAX_QUEUED_MESSAGES
                || (peer.shedding && !matches!(message, Message::Root(_))))
        {
            // Neither this request nor any echo after it is answered until another comparison begins, so the sender
            // sees that its comparison is incomplete.
            peer.shedding = true;
            self.counts.shed += 1;
            self.counts.rounds_lost += u64::from(peer.round.take().is_some());
            return;
        }
        peer.shedding = peer.shedding && !expects_answer;
        // Deltas arrive even if a comparison makes no progress. They do not count, so that a comparison that was
        // never answered, because the connection back was not up yet, times out.
        let belongs_to_round =
            !matches!(message, Message::Deltas { .. } | Message::Ack(_) | Message::Root(_));
        if let Some(round) = peer.round.as_mut().filter(|_| belongs_to_round) {
            round.last_progress_at = now;
            self.catchup.comparison_progressed(now, from);
        }
        match message {
            Message::Echo { round, hop } => self.handle_echo(now, from, round, hop),
            Message::Ack(up_to) => peer.deltas.acknowledge(up_to),
            Message::Facts(facts) => self.merge_facts(now, FROM_COMPARISON, &facts),
            Message::Deltas { up_to, facts } => {
                peer.pending_ack = Some(up_to);
                self.merge_facts(now, peer_id, &facts);
            }
            message => {
                let digest_matches = matches!(message, Message::Same(sum) if sum == self.replica.digest());
                let answers = peer.sync.handle(now, &mut self.replica, message);
                peer.outgoing.extend(answers);
                if digest_matches && peer.round.is_some() {
                    self.comparison_finished(now, from);
                }
            }
        }
    }

    fn handle_echo(&mut self, now: f64, from: &str, round: u32, hop: u8) {
        let Some(peer) = self.peers.get_mut(from) else { return };
        // Even hops are sent by the router that started the comparison.
        let started_here = hop % 2 == 1;
        if hop > LAST_HOP || (started_here && peer.round.as_ref().is_none_or(|r| r.id != round)) {
            return;
        }
        if hop == LAST_HOP {
            self.comparison_finished(now, from);
        } else {
            peer.outgoing.push_back(Message::Echo { round, hop: hop + 1 });
        }
    }

    fn comparison_finished(&mut self, now: f64, peer_name: &str) {
        let Some(peer) = self.peers.get_mut(peer_name) else { return };
        (peer.round, peer.last_comparison_at) = (None, now);
        self.counts.rounds += 1;
        self.catchup.comparison_matched(now, peer_name);
        self.events.push(ReplicationEvent::PeerCompared(peer_name.to_string()));
    }

    fn merge_facts(&mut self, now: f64, source: u32, facts: &[(Key, Fact)]) {
        for (key, fact) in facts {
            if key.kind == Kind::Generation && *key.subject == *self.own_name {
                self.handle_reported_generation(&fact.value);
            }
            match self.replica.learn_from(now, key, fact, source) {
                LearnOutcome::New => {
                    self.events.push(ReplicationEvent::FactLearned(key.clone(), fact.value.clone()))
                }
                LearnOutcome::Conflict => self.events.push(ReplicationEvent::Contradiction(key.clone())),
                LearnOutcome::Refused => self.counts.refused += 1,
                LearnOutcome::Known => {}
            }
        }
    }

    /// Handles the highest generation of this router that a peer has met.
    fn handle_reported_generation(&mut self, met: &Value) {
        let Value::Max(met) = met else { return };
        let met = *met as u64;
        if met > self.generation {
            self.events.push(ReplicationEvent::DuplicateName(met));
        } else if let Some(found) =
            self.stored_generation.filter(|found| met > *found && met < self.generation)
        {
            if !self.old_copy {
                self.old_copy = true;
                self.catchup.withdraw_trust();
                self.events.push(ReplicationEvent::OldCopy { found, met });
            }
        }
    }

    fn start_round(peer: &mut Peer, now: f64, replica: &Replica) {
        if peer.message_received
            && peer.round.is_none()
            && now >= peer.last_comparison_at + COMPARISON_INTERVAL_SECONDS
            && peer.queue_length() < MAX_QUEUED_MESSAGES
        {
            peer.last_round_id = peer.last_round_id.wrapping_add(1);
            peer.round = Some(Round { id: peer.last_round_id, last_progress_at: now });
            peer.outgoing.push_back(PeerSync::opening_message(replica));
            peer.outgoing.push_back(Message::Echo { round: peer.last_round_id, hop: 0 });
        }
    }

    /// Does what is due; called about twenty times a second.
    pub fn tick(&mut self, now: f64) {
        if now >= self.next_expiry_at {
            self.next_expiry_at = now + EXPIRY_INTERVAL_SECONDS;
            self.replica.expire(now);
            self.peers.retain(|_, p| p.disconnected_at.is_none_or(|at| now < at + PEER_RETENTION_SECONDS));
        }
        let live_peers: BTreeSet<String> = self.connected_peers().map(str::to_string).collect();
        self.catchup.update_peers(now, &live_peers);
        let mut to_compare: Vec<String> = self.catchup.queried_peers().map(str::to_string).collect();
        if now >= self.next_comparison_at && !live_peers.is_empty() {
            // Jitter, so that the routers do not all compare at the same time.
            self.next_comparison_at = now + COMPARISON_INTERVAL_SECONDS * (0.5 + self.rng.rand_float());
            let index = self.rng.rand_range(0..live_peers.len() as u64) as usize;
            to_compare.extend(live_peers.iter().nth(index).cloned());
        }
        for name in to_compare {
            if let Some(peer) = self.peers.get_mut(&name) {
                Self::start_round(peer, now, &self.replica);
            }
        }
        for peer in self.peers.values_mut().filter(|p| p.disconnected_at.is_none()) {
            if peer.round.as_ref().is_some_and(|r| now > r.last_progress_at + COMPARISON_TIMEOUT_SECONDS) {
                peer.round = None;
                self.counts.rounds_lost += 1;
            }
            // One acknowledgement for everything received since the last one.
            if let Some(up_to) = peer.pending_ack.filter(|_| now >= peer.last_ack_at + ACK_INTERVAL_SECONDS) {
                peer.outgoing.push_back(Message::Ack(up_to));
                (peer.pending_ack, peer.last_ack_at) = (None, now);
            }
            while peer.queue_length() < MAX_QUEUED_DELTAS {
                let Some(message) = peer.deltas.next_message(&self.replica, peer.id) else { break };
                peer.outgoing.push_back(message);
            }
        }
        self.update_sync_state(now);
    }

    fn update_sync_state(&mut self, now: f64) {
        let sync_state = self.catchup.sync_state();
        let unchanged = std::mem::discriminant(&sync_state) == std::mem::discriminant(&self.sync_state);
        self.sync_state = sync_state;
        if !unchanged {
            self.events.push(ReplicationEvent::SyncStateChanged(sync_state));
        }
        // Announced only after the peers had time to report which generation of this router they met last.
        if !self.generation_announced && matches!(sync_state, SyncState::InSync | SyncState::Isolated) {
            self.generation_announced = true;
            let (own_name, generation) = (self.own_name.clone(), self.generation);
            self.learn(now, Kind::Generation, &own_name, Value::Max(generation as f64));
        }
    }

    /// The messages to send now, in order for each peer.
    pub fn take_outgoing(&mut self, now: f64) -> Vec<(String, Vec<u8>)> {
        let mut outgoing = Vec::new();
        for (name, peer) in self.peers.iter_mut().filter(|(_, p)| p.disconnected_at.is_none()) {
            peer.send_credit = (peer.send_credit
                + (now - peer.credit_updated_at).max(0.0) * BYTES_PER_SECOND)
                .min(BURST_BYTES);
            peer.credit_updated_at = now;
            while peer.send_credit > 0.0 && peer.unwritten_bytes < MAX_UNWRITTEN_BYTES {
                let Some(message) = peer.outgoing.pop_front() else { break };
                let bytes = wire::encode(&message, now);
                peer.send_credit -= bytes.len() as f64;
                peer.unwritten_bytes += bytes.len();
                self.counts.messages_out += 1;
                self.counts.bytes_out += bytes.len() as u64;
                outgoing.push((name.clone(), bytes));
            }
        }
        outgoing
    }

    /// Reports bytes that were written to this peer, so that more may be handed over.
    pub fn bytes_written(&mut self, peer: &str, bytes: usize) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.unwritten_bytes = peer.unwritten_bytes.saturating_sub(bytes);
        }
    }

    /// Everything that this peer has not received, regardless of the rate limit, for an orderly shutdown. `None` if
    /// that is too much.
    pub fn take_final_messages(&mut self, now: f64, peer: &str) -> Option<Vec<Vec<u8>>> {
        let peer = self.peers.get_mut(peer).filter(|p| p.disconnected_at.is_none())?;
        let mut messages: Vec<Vec<u8>> = peer.outgoing.drain(..).map(|m| wire::encode(&m, now)).collect();
        while peer.deltas.has_unsent(&self.replica) {
            if messages.len() > MAX_QUEUED_MESSAGES {
                return None;
            }
            let before = peer.deltas.clone();
            match peer.deltas.next_message(&self.replica, peer.id) {
                Some(message) => messages.push(wire::encode(&message, now)),
                // The limit of unacknowledged facts is reached.
                None if peer.deltas == before => return None,
                None => {}
            }
        }
        Some(messages)
    }
}

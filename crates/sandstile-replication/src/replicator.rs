//! The router's copy and its conversations.
use oorandom::Rand64;
use sandstile_replicated_state::catchup::{CatchUp, SyncState, Trust};
use sandstile_replicated_state::deltas::COMPARED;
use sandstile_replicated_state::fact::Report;
use sandstile_replicated_state::sync_protocol::LAST_HOP;
use sandstile_replicated_state::{wire, Came, Deltas, Fact, Key, Kind, Message, Replica, Talk, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a keeper is told at its start.
#[derive(Clone, Debug)]
pub struct ReplicationSettings {
    /// The router's name, without its life.
    pub name: String,
    pub generation: u64,
    /// Seconds: how far replicas may lag.
    pub horizon: f64,
    pub seed: u64,
    /// What was found on the disk, and how far that is believed.
    pub stored: Vec<(Key, Fact)>,
    pub trust: Trust,
    /// The life that wrote it, where it could be read.
    pub stored_generation: Option<u64>,
}

/// What whoever drives it has to know.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicationEvent {
    /// Another told it, and it was new.
    FactLearned(Key, Value),
    SyncStateChanged(SyncState),
    /// All that this one held when it was asked is held here.
    PeerCompared(String),
    /// Its owner said two things under one number: the more careful stands.
    Contradiction(Key),
    /// A peer met a later life of this router than the one whose copy it found: that copy was an old one.
    OldCopy {
        found: u64,
        met: u64,
    },
    /// Another process runs under this router's name, or this one's clock was set back: its life is the higher.
    DuplicateName(u64),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub messages_in: u64,
    pub messages_out: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// Messages that were none, and facts that were spoilt or of no use.
    pub unreadable: u64,
    pub refused: u64,
    pub rounds: u64,
    /// Comparisons that were broken off.
    pub rounds_lost: u64,
    /// Wishes of a peer that asked for more than it may have on its way.
    pub shed: u64,
}

/// Bytes a second to one peer, and at once.
const RATE: f64 = 1_000_000.0;
const BURST: f64 = 256_000.0;
/// Bytes handed to whoever writes to one peer, unwritten: a slow peer costs no more memory than that.
const WINDOW: usize = 256 * 1024;
/// Messages that wait for one peer: beyond, it is not answered until it has taken some in.
const MOST_WAITING: usize = 1024;
/// Messages of changes that wait for one peer; the copy keeps the others.
const DELTAS_WAITING: usize = 8;
/// Seconds for a comparison to get on before it is broken off.
const PATIENCE: f64 = 1.0;
/// Seconds between comparisons with one whose last one found all, and with one of all in the calm.
const AGAIN: f64 = 2.0;
/// Seconds for which a peer that is gone is remembered, and how many are: one that comes back hears just what it missed.
const REMEMBERED: f64 = 600.0;
const MOST_PEERS: usize = 1024;
/// The first word to a peer: that it is heard.
const HELLO: Message = Message::Ack(0);
/// Seconds between two acknowledgements to one peer.
const ACKS: f64 = 0.2;
/// Seconds between looks for what is over.
const FORGETS: f64 = 1.0;

struct Round {
    id: u32,
    got_on: f64,
}

struct Peer {
    /// By this number its words are told from others'.
    id: u32,
    deltas: Deltas,
    talk: Talk,
    /// Since when it hears nothing; `None` while it is linked.
    gone: Option<f64>,
    out: VecDeque<Message>,
    /// It has been heard since it is linked: a comparison has an answer only where both hear each other.
    heard: bool,
    /// It asked for more than may wait for it.
    shed: bool,
    /// Bytes that whoever writes to it has not written yet.
    under_way: usize,
    credit: f64,
    credited: f64,
    /// Up to which of its numbers we hold all, where that is not said yet; and when it was said last.
    acks: Option<u64>,
    acked: f64,
    round: Option<Round>,
    rounds: u32,
    done: f64,
}

impl Peer {
    fn waits(&self) -> usize {
        self.out.len()
    }
}

pub struct ReplicationPeer {
    own: String,
    generation: u64,
    stored_generation: Option<u64>,
    replica: Replica,
    catchup: CatchUp,
    peers: BTreeMap<String, Peer>,
    /// Who was heard and can't be told anything yet.
    early: BTreeSet<String>,
    last_peer_id: u32,
    /// The number of this router's last word.
    word: u64,
    sync_state: SyncState,
    announced: bool,
    old_copy: bool,
    /// When one peer is to be compared with in the calm.
    compares: f64,
    forgets: f64,
    chance: Rand64,
    news: Vec<ReplicationEvent>,
    counts: Counts,
}

impl ReplicationPeer {
    pub fn new(settings: ReplicationSettings, now: f64) -> ReplicationPeer {
        let mut replica = Replica::new(settings.horizon);
        for (key, fact) in &settings.stored {
            // A clock that was set back since makes no fact one of the future: it is as old as it can be for all we know.
            let created_at = fact.created_at.min(now);
            replica.learn(now, key, &Fact { created_at, ..fact.clone() });
        }
        let catchup = CatchUp::new(&settings.name, settings.generation, settings.trust, now);
        ReplicationPeer {
            sync_state: catchup.sync_state(),
            catchup,
            own: settings.name,
            generation: settings.generation,
            stored_generation: settings.stored_generation,
            replica,
            peers: BTreeMap::new(),
            early: BTreeSet::new(),
            last_peer_id: 0,
            word: 0,
            announced: false,
            old_copy: false,
            compares: now + AGAIN,
            forgets: now,
            chance: Rand64::new(u128::from(settings.seed)),
            news: Vec::new(),
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
        std::mem::take(&mut self.news)
    }

    /// Takes over a whole copy in place of the one it has, for models that begin with much known to all.
    pub fn replace_replica(&mut self, replica: Replica) {
        self.replica = replica;
        let version = self.replica.version();
        self.peers.values_mut().for_each(|p| p.deltas = Deltas::from(version));
    }

    /// Peers that hear this router now.
    pub fn connected_peers(&self) -> impl Iterator<Item = &str> {
        self.peers.iter().filter(|(_, p)| p.gone.is_none()).map(|(name, _)| name.as_str())
    }

    /// A fact that all merge, as this router has seen it.
    pub fn learn(&mut self, now: f64, kind: Kind, subject: &str, value: Value) {
        self.replica.learn(now, &Key::shared(kind, subject), &Fact { value, created_at: now });
    }

    /// A word that this router alone says.
    pub fn publish_report(&mut self, now: f64, kind: Kind, subject: &str, severity: u8, body: &str) {
        self.word += 1;
        let said = Report { generation: self.generation, version: self.word, severity, body: body.into() };
        let key = Key::owned(kind, subject, &self.own);
        self.replica.learn(now, &key, &Fact { value: Value::Report(said), created_at: now });
    }

    /// This peer, by its name and life, hears us from now on. One that was here before hears what it missed.
    pub fn peer_connected(&mut self, now: f64, peer: &str) {
        if let Some(known) = self.peers.get_mut(peer) {
            known.deltas.again();
            known.out.clear();
            known.under_way = 0;
            (known.gone, known.round, known.heard) = (None, None, self.early.remove(peer));
            known.out.push_back(HELLO);
            return;
        }
        if self.peers.len() >= MOST_PEERS {
            let longest = self.peers.iter().filter_map(|(n, p)| Some((p.gone?, n.clone())));
            let Some((_, name)) = longest.min_by(|a, b| a.0.total_cmp(&b.0)) else { return };
            self.peers.remove(&name);
        }
        self.last_peer_id += 1;
        let peer_of = Peer {
            id: self.last_peer_id,
            // What was before is found by a comparison: whoever has just started asks for one.
            deltas: Deltas::from(self.replica.version()),
            talk: Talk::default(),
            gone: None,
            out: VecDeque::from([HELLO]),
            heard: self.early.remove(peer),
            shed: false,
            under_way: 0,
            credit: BURST,
            credited: now,
            acks: None,
            acked: now,
            round: None,
            rounds: 0,
            done: f64::NEG_INFINITY,
        };
        self.peers.insert(peer.to_string(), peer_of);
    }

    pub fn peer_disconnected(&mut self, now: f64, peer: &str) {
        self.early.remove(peer);
        if let Some(peer) = self.peers.get_mut(peer) {
            self.counts.rounds_lost += u64::from(peer.round.is_some());
            (peer.gone, peer.round) = (Some(now), None);
            peer.out.clear();
        }
    }

    /// A message of a peer. Whoever can't be answered is not heard: a link back is on its way, and what is lost is found again.
    pub fn receive(&mut self, now: f64, from: &str, bytes: &[u8]) {
        self.counts.messages_in += 1;
        self.counts.bytes_in += bytes.len() as u64;
        let Some((message, corrupt)) = wire::decode(bytes, now) else {
            self.counts.unreadable += 1;
            return;
        };
        self.counts.refused += corrupt as u64;
        let Some(peer) = self.peers.get_mut(from).filter(|p| p.gone.is_none()) else {
            if self.early.len() < MOST_PEERS {
                self.early.insert(from.to_string());
            }
            // Facts are taken from whoever could prove that it is a peer.
            if let Message::Facts(facts) | Message::Deltas { facts, .. } = message {
                self.take_in(now, COMPARED, &facts);
            }
            return;
        };
        peer.heard = true;
        let peer_id = peer.id;
        let asks = !matches!(message, Message::Facts(_) | Message::Deltas { .. } | Message::Ack(_));
        if asks && (peer.waits() >= MOST_WAITING || (peer.shed && !matches!(message, Message::Root(_)))) {
            // Not answered, and no echo behind it until another comparison begins: whoever asked sees that this one is not whole.
            peer.shed = true;
            self.counts.shed += 1;
            self.counts.rounds_lost += u64::from(peer.round.take().is_some());
            return;
        }
        peer.shed = peer.shed && !asks;
        // News come whether or not a comparison gets on: one that was never answered, for the link back was not up yet, is to be seen.
        let of_a_round = !matches!(message, Message::Deltas { .. } | Message::Ack(_) | Message::Root(_));
        if let Some(round) = peer.round.as_mut().filter(|_| of_a_round) {
            round.got_on = now;
            self.catchup.gets_on(now, from);
        }
        match message {
            Message::Echo { round, hop } => self.echoed(now, from, round, hop),
            Message::Ack(upto) => peer.deltas.acked(upto),
            Message::Facts(facts) => self.take_in(now, COMPARED, &facts),
            Message::Deltas { upto, facts } => {
                peer.acks = Some(upto);
                self.take_in(now, peer_id, &facts);
            }
            message => {
                let same = matches!(message, Message::Same(sum) if sum == self.replica.digest());
                let answers = peer.talk.hear(now, &mut self.replica, message);
                peer.out.extend(answers);
                if same && peer.round.is_some() {
                    self.compared(now, from);
                }
            }
        }
    }

    fn echoed(&mut self, now: f64, from: &str, round: u32, hop: u8) {
        let Some(peer) = self.peers.get_mut(from) else { return };
        // Even hops are of whoever began it.
        let ours = hop % 2 == 1;
        if hop > LAST_HOP || (ours && peer.round.as_ref().is_none_or(|r| r.id != round)) {
            return;
        }
        if hop == LAST_HOP {
            self.compared(now, from);
        } else {
            peer.out.push_back(Message::Echo { round, hop: hop + 1 });
        }
    }

    fn compared(&mut self, now: f64, with: &str) {
        let Some(peer) = self.peers.get_mut(with) else { return };
        (peer.round, peer.done) = (None, now);
        self.counts.rounds += 1;
        self.catchup.same(now, with);
        self.news.push(ReplicationEvent::PeerCompared(with.to_string()));
    }

    fn take_in(&mut self, now: f64, by: u32, facts: &[(Key, Fact)]) {
        for (key, fact) in facts {
            if key.kind == Kind::Generation && *key.subject == *self.own {
                self.told_of_us(&fact.value);
            }
            match self.replica.learn_from(now, key, fact, by) {
                Came::New => self.news.push(ReplicationEvent::FactLearned(key.clone(), fact.value.clone())),
                Came::Conflict => self.news.push(ReplicationEvent::Contradiction(key.clone())),
                Came::Refused => self.counts.refused += 1,
                Came::Known => {}
            }
        }
    }

    /// A peer met a life of this router.
    fn told_of_us(&mut self, met: &Value) {
        let Value::Max(met) = met else { return };
        let met = *met as u64;
        if met > self.generation {
            self.news.push(ReplicationEvent::DuplicateName(met));
        } else if let Some(found) =
            self.stored_generation.filter(|found| met > *found && met < self.generation)
        {
            if !self.old_copy {
                self.old_copy = true;
                self.catchup.doubt();
                self.news.push(ReplicationEvent::OldCopy { found, met });
            }
        }
    }

    fn begin_round(peer: &mut Peer, now: f64, replica: &Replica) {
        if peer.heard && peer.round.is_none() && now >= peer.done + AGAIN && peer.waits() < MOST_WAITING {
            peer.rounds = peer.rounds.wrapping_add(1);
            peer.round = Some(Round { id: peer.rounds, got_on: now });
            peer.out.push_back(Talk::begin(replica));
            peer.out.push_back(Message::Echo { round: peer.rounds, hop: 0 });
        }
    }

    /// What is due: called some twenty times a second.
    pub fn tick(&mut self, now: f64) {
        if now >= self.forgets {
            self.forgets = now + FORGETS;
            self.replica.forget(now);
            self.peers.retain(|_, p| p.gone.is_none_or(|at| now < at + REMEMBERED));
        }
        let there: BTreeSet<String> = self.connected_peers().map(str::to_string).collect();
        self.catchup.look(now, &there);
        let mut asked: Vec<String> = self.catchup.asks().map(str::to_string).collect();
        if now >= self.compares && !there.is_empty() {
            // Spread, so that all do not compare at once.
            self.compares = now + AGAIN * (0.5 + self.chance.rand_float());
            let at = self.chance.rand_range(0..there.len() as u64) as usize;
            asked.extend(there.iter().nth(at).cloned());
        }
        for name in asked {
            if let Some(peer) = self.peers.get_mut(&name) {
                Self::begin_round(peer, now, &self.replica);
            }
        }
        for peer in self.peers.values_mut().filter(|p| p.gone.is_none()) {
            if peer.round.as_ref().is_some_and(|r| now > r.got_on + PATIENCE) {
                peer.round = None;
                self.counts.rounds_lost += 1;
            }
            // One word for all that has come meanwhile.
            if let Some(upto) = peer.acks.filter(|_| now >= peer.acked + ACKS) {
                peer.out.push_back(Message::Ack(upto));
                (peer.acks, peer.acked) = (None, now);
            }
            while peer.waits() < DELTAS_WAITING {
                let Some(message) = peer.deltas.take(&self.replica, peer.id) else { break };
                peer.out.push_back(message);
            }
        }
        self.stand(now);
    }

    fn stand(&mut self, now: f64) {
        let sync_state = self.catchup.sync_state();
        let alike = std::mem::discriminant(&sync_state) == std::mem::discriminant(&self.sync_state);
        self.sync_state = sync_state;
        if !alike {
            self.news.push(ReplicationEvent::SyncStateChanged(sync_state));
        }
        // Not before peers had the time to say which life of ours they met last.
        if !self.announced && matches!(sync_state, SyncState::InSync | SyncState::Isolated) {
            self.announced = true;
            let (own, generation) = (self.own.clone(), self.generation);
            self.learn(now, Kind::Generation, &own, Value::Max(generation as f64));
        }
    }

    /// What goes out now, in the order in which each peer is to hear it.
    pub fn take_outgoing(&mut self, now: f64) -> Vec<(String, Vec<u8>)> {
        let mut out = Vec::new();
        for (name, peer) in self.peers.iter_mut().filter(|(_, p)| p.gone.is_none()) {
            peer.credit = (peer.credit + (now - peer.credited).max(0.0) * RATE).min(BURST);
            peer.credited = now;
            while peer.credit > 0.0 && peer.under_way < WINDOW {
                let Some(message) = peer.out.pop_front() else { break };
                let bytes = wire::encode(&message, now);
                peer.credit -= bytes.len() as f64;
                peer.under_way += bytes.len();
                self.counts.messages_out += 1;
                self.counts.bytes_out += bytes.len() as u64;
                out.push((name.clone(), bytes));
            }
        }
        out
    }

    /// So many bytes were written to this peer: more may go.
    pub fn bytes_written(&mut self, peer: &str, bytes: usize) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.under_way = peer.under_way.saturating_sub(bytes);
        }
    }

    /// The last words: all that this peer has not heard, whatever the rate. `None` where that is too much.
    pub fn take_final_messages(&mut self, now: f64, peer: &str) -> Option<Vec<Vec<u8>>> {
        let peer = self.peers.get_mut(peer).filter(|p| p.gone.is_none())?;
        let mut all: Vec<Vec<u8>> = peer.out.drain(..).map(|m| wire::encode(&m, now)).collect();
        while peer.deltas.behind(&self.replica) {
            if all.len() > MOST_WAITING {
                return None;
            }
            let before = peer.deltas.clone();
            match peer.deltas.take(&self.replica, peer.id) {
                Some(message) => all.push(wire::encode(&message, now)),
                // As many as may be on their way are.
                None if peer.deltas == before => return None,
                None => {}
            }
        }
        Some(all)
    }
}

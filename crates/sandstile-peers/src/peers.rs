//! Combines membership, view and sealing, and derives the events for the rest of the router.
use crate::rate_limit::TokenBucket;
use crate::seal::{OpenError, Opener, Sealer, Secret};
use sandstile_membership::swim::MemberStatus;
use sandstile_membership::{Change, Meta, State, Swim};
use sandstile_membership_view::{may_act, Direction, Observation, SharingRouters, Topic, View, ViewTracker};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Settings from the local configuration file and from this process. Durations are in seconds.
#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    /// Higher than any former generation under this name.
    pub generation: u64,
    /// Address advertised to the other members.
    pub address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub meta: Meta,
    /// Protocol period: the time between two probes.
    pub period: f64,
    /// Number of routers that share the hosts according to the deployment's settings; `None` if live members do not adjust it.
    pub configured_routers: Option<usize>,
    /// Authentication keys, the newest first.
    pub keys: Vec<Secret>,
}

/// Events that the router logs or acts on.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent {
    Change(Change),
    /// The new view, and the observation that led to it.
    View(View, Observation),
    /// The number of routers that share the hosts has changed.
    SharingRouters(f64),
    /// The complete set of addresses to exchange replicated state with.
    ExchangePeers(BTreeSet<SocketAddr>),
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerCounters {
    pub datagrams: u64,
    pub unreadable: u64,
    pub forged: u64,
    pub replayed: u64,
    pub flooded: u64,
    /// Datagrams that were not sent because of the rate limit.
    pub held_back: u64,
    pub names_taken: u64,
    pub deaths: u64,
    pub suspicions: u64,
}

/// Status report for operators.
#[derive(Clone, Debug)]
pub struct Report {
    pub name: String,
    pub generation: u64,
    pub address: SocketAddr,
    pub meta: Meta,
    pub view: View,
    /// Seconds since the view was entered.
    pub view_age: f64,
    pub observation: Observation,
    pub digest: u64,
    /// Local health score: 0 is healthy; the higher, the slower this router declares others dead.
    pub health: u32,
    pub sharing_routers: Option<f64>,
    pub members: Vec<MemberStatus>,
    pub counts: PeerCounters,
    /// Bytes and datagrams sent.
    pub sent: (u64, u64),
}

/// Time between two classifications of the view; short compared with its hysteresis of seconds.
const OBSERVE_INTERVAL_S: f64 = 0.25;
/// Digests received longer ago are ignored.
const DIGEST_MAX_AGE_S: f64 = 5.0;

/// Periods without any datagram after which the router counts as silent. Each member is probed about once per period and probes as
/// often, so this is not due to loss.
const SILENT_PERIODS: f64 = 6.0;
/// How long a report that this router is dead counts; others repeat it while they do not receive its datagrams.
const DECLARED_DEAD_S: f64 = 3.0;
/// Minimum time between two reports that another process uses this router's name.
const NAME_CONFLICT_LOG_INTERVAL_S: f64 = 10.0;

pub struct Peers {
    swim: Swim,
    sealer: Sealer,
    opener: Opener,
    view_tracker: ViewTracker,
    sharing_routers: Option<SharingRouters>,
    outgoing: TokenBucket,
    settings: Settings,
    observe_at: f64,
    name_conflict_logged_at: f64,
    exchange_peers: BTreeSet<SocketAddr>,
    events: Vec<PeerEvent>,
    counts: PeerCounters,
}

impl Peers {
    pub fn new(settings: Settings, seed: u64, now: f64) -> Peers {
        let swim = sandstile_membership::Settings {
            meta: settings.meta.clone(),
            period: settings.period,
            probe_timeout: settings.period * 0.4,
            ..sandstile_membership::Settings::with_defaults(
                &settings.name,
                settings.generation,
                settings.address,
                settings.seeds.clone(),
            )
        };
        Peers {
            swim: Swim::new(swim, seed, now),
            sealer: Sealer::new(settings.keys.clone(), settings.generation),
            opener: Opener::new(settings.keys.clone(), now),
            view_tracker: ViewTracker::new(now),
            sharing_routers: settings.configured_routers.map(SharingRouters::new),
            outgoing: TokenBucket::outgoing(now),
            settings,
            observe_at: now,
            name_conflict_logged_at: f64::NEG_INFINITY,
            exchange_peers: BTreeSet::new(),
            events: Vec::new(),
            counts: PeerCounters::default(),
        }
    }

    /// Handles a received datagram.
    pub fn handle_datagram(&mut self, now: f64, bytes: &[u8]) {
        match self.opener.open(now, bytes) {
            Ok((payload, key)) => {
                self.counts.datagrams += 1;
                if let Some(from) = self.swim.handle_datagram(now, payload) {
                    self.sealer.remember_key(from, key);
                }
                self.process_changes(now);
            }
            Err(OpenError::Unreadable) => self.counts.unreadable += 1,
            Err(OpenError::Forged) => self.counts.forged += 1,
            Err(OpenError::Replayed) => self.counts.replayed += 1,
            Err(OpenError::Flooded) => self.counts.flooded += 1,
        }
    }

    pub fn due(&self) -> f64 {
        self.swim.due().min(self.observe_at)
    }

    pub fn on_timer(&mut self, now: f64) {
        if self.swim.due() <= now {
            self.swim.on_timer(now);
        }
        self.process_changes(now);
        if self.observe_at <= now {
            self.observe_at = now + OBSERVE_INTERVAL_S;
            self.observe(now);
        }
    }

    /// Processes the changes among the members.
    fn process_changes(&mut self, now: f64) {
        let changes = self.swim.take_changes();
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                Change::Died(_) => self.counts.deaths += 1,
                Change::Suspected(_) => self.counts.suspicions += 1,
                Change::NameTaken(_) => {
                    self.counts.names_taken += 1;
                    // Every datagram of the other process reports the conflict again.
                    if now < self.name_conflict_logged_at + NAME_CONFLICT_LOG_INTERVAL_S {
                        continue;
                    }
                    self.name_conflict_logged_at = now;
                }
                _ => {}
            }
            self.events.push(PeerEvent::Change(change));
        }
        self.observe(now);
        let live = self.swim.live();
        let exchange_peers: BTreeSet<SocketAddr> =
            live.filter_map(|(update, _)| update.meta.exchange).collect();
        if exchange_peers != self.exchange_peers {
            self.exchange_peers = exchange_peers.clone();
            self.events.push(PeerEvent::ExchangePeers(exchange_peers));
        }
    }

    fn snapshot(&self, now: f64) -> Observation {
        let count_in =
            |state: State| self.swim.all_members().filter(|(update, _)| update.state == state).count();
        Observation {
            live: self.swim.count() - 1,
            suspects: count_in(State::Suspect),
            dead: count_in(State::Dead),
            differing: self.swim.differing(now, DIGEST_MAX_AGE_S).0,
            seeds: self.settings.seeds.iter().filter(|s| **s != self.settings.address).count(),
            silent: now - self.swim.last_received() > SILENT_PERIODS * self.settings.period,
            declared_dead: now - self.swim.last_declared_dead() < DECLARED_DEAD_S,
        }
    }

    fn observe(&mut self, now: f64) {
        let observation = self.snapshot(now);
        if let Some(view) = self.view_tracker.observe(now, &observation) {
            self.events.push(PeerEvent::View(view, observation));
        }
        if let Some(sharing_routers) = &mut self.sharing_routers {
            let before = sharing_routers.count();
            let count = sharing_routers.observe(now, self.view_tracker.view(), observation.live + 1);
            if count != before {
                self.events.push(PeerEvent::SharingRouters(count));
            }
        }
    }

    /// Whether the router may act on information from a peer, given the current view.
    pub fn may_act(&self, topic: Topic, direction: Direction, own: bool) -> bool {
        may_act(self.view_tracker.view(), topic, direction, own)
    }

    /// Announces the departure, so that the others do not suspect this router.
    pub fn leave(&mut self) {
        self.swim.leave();
    }

    /// Replaces the keys.
    pub fn rotate(&mut self, keys: Vec<Secret>) {
        self.sealer.rotate(keys.clone());
        self.opener.rotate(keys);
    }

    /// Returns the sealed datagrams to send. Datagrams above the rate limit in bytes are dropped, as the network may drop any: a peer
    /// that requests the full state a thousand times cannot use this router to amplify traffic.
    pub fn take_outgoing(&mut self, now: f64) -> Vec<(SocketAddr, Vec<u8>)> {
        let mut out = Vec::new();
        for (to, payload) in self.swim.take_outgoing() {
            if self.outgoing.try_take_many(now, payload.len() as f64) {
                out.push((to, self.sealer.seal(to, &payload)));
            } else {
                self.counts.held_back += 1;
            }
        }
        out
    }

    pub fn take_events(&mut self) -> Vec<PeerEvent> {
        std::mem::take(&mut self.events)
    }

    pub fn counts(&self) -> PeerCounters {
        self.counts
    }

    pub fn view(&self) -> View {
        self.view_tracker.view()
    }

    pub fn digest(&self) -> u64 {
        self.swim.digest()
    }

    pub fn count(&self) -> usize {
        self.swim.count()
    }

    pub fn report(&self, now: f64) -> Report {
        Report {
            name: self.settings.name.clone(),
            generation: self.swim.generation(),
            address: self.settings.address,
            meta: self.settings.meta.clone(),
            view: self.view_tracker.view(),
            view_age: now - self.view_tracker.since(),
            observation: self.snapshot(now),
            digest: self.swim.digest(),
            health: self.swim.health(),
            sharing_routers: self.sharing_routers.as_ref().map(SharingRouters::count),
            members: self.swim.member_statuses(now, DIGEST_MAX_AGE_S),
            counts: self.counts,
            sent: self.swim.sent,
        }
    }

    /// Number of entries held in memory; bounded whatever other members send.
    pub fn state_entries(&self) -> usize {
        self.swim.state_entries() + self.opener.sender_count()
    }
}

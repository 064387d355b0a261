//! Who is there, which view holds, and what follows for the rest of the router.
use crate::gate::TokenBucket;
use crate::seal::{OpenError, Opener, Sealer, Secret};
use sandstile_membership::swim::MemberStatus;
use sandstile_membership::{Change, Meta, State, Swim};
use sandstile_membership_view::{may_act, Direction, Observation, SharingRouters, Topic, View, ViewTracker};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What our own file says, with what this process draws for itself. Seconds.
#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    /// Higher than that of any former life under this name.
    pub generation: u64,
    /// Where the others find it.
    pub address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub meta: Meta,
    /// Between probes of one member after the other.
    pub period: f64,
    /// Routers that share the hosts, by the platform's settings; `None` where members as lived change nothing there.
    pub configured_routers: Option<usize>,
    /// The newest first.
    pub keys: Vec<Secret>,
}

/// What is worth a line of log, or an act.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent {
    Change(Change),
    /// The view that holds from now on, and what was seen.
    View(View, Observation),
    /// So many share the hosts.
    SharingRouters(f64),
    /// Those that are to be told what is known here are just these.
    ExchangePeers(BTreeSet<SocketAddr>),
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerCounters {
    pub datagrams: u64,
    pub unreadable: u64,
    pub forged: u64,
    pub replayed: u64,
    pub flooded: u64,
    /// Letters that were not sent, for there were too many.
    pub held_back: u64,
    pub names_taken: u64,
    pub deaths: u64,
    pub suspicions: u64,
}

/// All that operators may want to know.
#[derive(Clone, Debug)]
pub struct Report {
    pub name: String,
    pub generation: u64,
    pub address: SocketAddr,
    pub meta: Meta,
    pub view: View,
    /// Seconds for which it has held.
    pub view_age: f64,
    pub observation: Observation,
    pub digest: u64,
    /// 0 where this router hears well; the higher, the slower it holds others for dead.
    pub health: u32,
    pub sharing_routers: Option<f64>,
    pub members: Vec<MemberStatus>,
    pub counts: PeerCounters,
    /// Bytes and letters sent.
    pub sent: (u64, u64),
}

/// Seconds between looks at the view: hysteresis counts in seconds.
const OBSERVE_INTERVAL_S: f64 = 0.25;
/// Views that were told longer ago say nothing.
const DIGEST_MAX_AGE_S: f64 = 5.0;

/// Periods without a word of anybody: each member is asked about once a period, and asks as often, so that silence is no chance.
const SILENT_PERIODS: f64 = 6.0;
/// Seconds for which it counts that others said this router dead: they say it again while they do not hear it.
const DECLARED_DEAD_S: f64 = 3.0;
/// Seconds between saying that a name is taken twice.
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

    /// A datagram.
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

    /// What has changed among the members.
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
                    // Each letter of the other tells it anew.
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
        let exchange_peers: BTreeSet<SocketAddr> = live.filter_map(|(r, _)| r.meta.exchange).collect();
        if exchange_peers != self.exchange_peers {
            self.exchange_peers = exchange_peers.clone();
            self.events.push(PeerEvent::ExchangePeers(exchange_peers));
        }
    }

    fn snapshot(&self, now: f64) -> Observation {
        let count_in = |state: State| self.swim.all_members().filter(|(r, _)| r.state == state).count();
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

    /// The one place where it is asked what may be done on a peer's word.
    pub fn may_act(&self, about: Topic, way: Direction, own: bool) -> bool {
        may_act(self.view_tracker.view(), about, way, own)
    }

    /// Farewell: others need not wonder.
    pub fn leave(&mut self) {
        self.swim.leave();
    }

    /// Keys have changed.
    pub fn rotate(&mut self, keys: Vec<Secret>) {
        self.sealer.rotate(keys.clone());
        self.opener.rotate(keys);
    }

    /// What is to go out. Beyond so many bytes a second letters are left out, as a net may lose any: whoever asks a thousand
    /// times for all that is known does not make this router a gun.
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

    /// Entries of state, which have a bound whoever speaks.
    pub fn state_entries(&self) -> usize {
        self.swim.state_entries() + self.opener.sender_count()
    }
}

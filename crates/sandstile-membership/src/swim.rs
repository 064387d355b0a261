//! The SWIM state machine of one member. The driver passes in datagrams and the time, sends the outgoing datagrams, and calls
//! `on_timer` when `due` is reached.
use crate::update_queue::UpdateQueue;
use crate::wire::{
    accuser_id, encoded_size, Datagram, MemberId, MemberUpdate, Message, Meta, State, MAX_DATAGRAM_BYTES,
};
use oorandom::Rand64;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Whether a new update of a member replaces the current one: generation is compared first, then incarnation, then state.
pub fn overrides(new: &MemberUpdate, current: &MemberUpdate) -> bool {
    if new.id.life != current.id.life {
        return new.id.life > current.id.life;
    }
    match (new.state, current.state) {
        // Leaving is final within a generation.
        (_, State::Left) => false,
        (State::Left, State::Dead) => true,
        (State::Alive, _) => new.incarnation > current.incarnation,
        (State::Suspect, State::Alive) => new.incarnation >= current.incarnation,
        (State::Suspect, _) | (State::Dead, State::Dead) => new.incarnation > current.incarnation,
        (State::Dead | State::Left, _) => new.incarnation >= current.incarnation,
    }
}

/// The incarnation with which a member refutes an update about itself; `None` if there is nothing to refute.
pub fn refutes(update: &MemberUpdate, generation: u64, incarnation: u32) -> Option<u32> {
    let about_us =
        update.id.life == generation && update.state != State::Alive && update.incarnation >= incarnation;
    about_us.then(|| update.incarnation.saturating_add(1))
}

/// Settings of one member; durations are in seconds.
#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    /// Higher than any former generation under this name.
    pub generation: u64,
    pub address: SocketAddr,
    pub meta: Meta,
    /// Addresses of the members to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Protocol period: the time between two probes.
    pub period: f64,
    /// Time to wait for an answer before other members are asked to probe indirectly.
    pub probe_timeout: f64,
    /// Minimum duration of a suspicion, in periods times the decimal logarithm of the number of members (at least 1).
    pub suspicion_multiplier: f64,
    /// Maximum duration of a suspicion as a multiple of the minimum.
    pub suspicion_max_multiplier: f64,
    /// Maximum number of other members in the list; further ones are ignored.
    pub max_members: usize,
}

impl Settings {
    pub fn with_defaults(
        name: &str,
        generation: u64,
        address: SocketAddr,
        seeds: Vec<SocketAddr>,
    ) -> Settings {
        Settings {
            name: name.to_string(),
            generation,
            address,
            meta: Meta::default(),
            seeds,
            period: 0.25,
            probe_timeout: 0.1,
            suspicion_multiplier: 3.0,
            suspicion_max_multiplier: 4.0,
            max_members: 1024,
        }
    }
}

/// Members that are asked to probe on this member's behalf after a timeout.
const INDIRECT_PROBES: usize = 3;
/// Confirmations by other members that shorten a suspicion to its minimum duration.
const MAX_CONFIRMATIONS: f64 = 3.0;
/// Upper bound of the local health score, which slows this member down while it receives few answers itself.
const MAX_LOCAL_HEALTH: u32 = 8;
/// Dead members are remembered and contacted again for this long, so that the end of a network partition is noticed.
const DEAD_RETENTION_S: f64 = 60.0;
/// Mean time between two attempts to contact a dead member or a missing seed.
const DEAD_CONTACT_INTERVAL_S: f64 = 2.0;
/// Time between two scans for dead members to forget.
const SWEEP_INTERVAL_S: f64 = 1.0;
/// Minimum time between two requests for the full state of a member whose view differs.
const COMPARE_INTERVAL_S: f64 = 1.0;
/// Maximum number of outstanding probes on behalf of other members.
const MAX_RELAYED_PROBES: usize = 256;

#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Joined(MemberId),
    Suspected(MemberId),
    Refuted(MemberId),
    Died(MemberId),
    Left(MemberId),
    /// Another process uses this member's name.
    NameTaken(SocketAddr),
}

#[derive(Clone, Debug)]
struct Suspicion {
    since: f64,
    /// `accuser_id` of the members whose own probes got no answer.
    accusers: BTreeSet<u32>,
}

#[derive(Clone, Debug)]
struct Member {
    update: MemberUpdate,
    /// Time of the last update that was accepted.
    since: f64,
    suspicion: Option<Suspicion>,
    /// The last digest received from it, and when.
    digest: Option<(u64, f64)>,
    /// Seconds from the last answered probe to its answer.
    round_trip: Option<f64>,
}

/// Status of a member as reported to operators.
#[derive(Clone, Debug)]
pub struct MemberStatus {
    pub update: MemberUpdate,
    pub since: f64,
    pub round_trip: Option<f64>,
    /// Whether its last digest equals this member's; `None` if none was received recently.
    pub agrees: Option<bool>,
}

struct Probe {
    target: String,
    sequence: u32,
    sent_at: f64,
    helpers_asked: bool,
    acked: bool,
}

pub struct Swim {
    settings: Settings,
    incarnation: u32,
    leaving: bool,
    members: BTreeMap<String, Member>,
    /// Members left to probe in this round, in random order; taken from the end.
    probe_order: Vec<String>,
    probe: Option<Probe>,
    next_probe_at: f64,
    /// Probes on behalf of others, by own sequence number: requester, its sequence number, deadline.
    relayed_probes: BTreeMap<u32, (SocketAddr, u32, f64)>,
    sequence: u32,
    health: u32,
    update_queue: UpdateQueue,
    next_dead_contact_at: f64,
    last_comparison: f64,
    /// When the last datagram of another member arrived, and when this member was last reported dead.
    last_received: f64,
    last_declared_dead: f64,
    /// When expired dead members were last removed.
    last_sweep: f64,
    /// Cached digest and size of the own view, cleared when the view changes. Every datagram carries the digest, and the size
    /// determines how often an update is sent.
    view_cache: Cell<Option<(u64, usize)>>,
    /// Names of the suspected members.
    suspects: BTreeSet<String>,
    rng: Rand64,
    outgoing: Vec<(SocketAddr, Vec<u8>)>,
    changes: Vec<Change>,
    /// Bytes and datagrams sent.
    pub sent: (u64, u64),
}

impl Swim {
    pub fn new(settings: Settings, seed: u64, now: f64) -> Swim {
        let mut rng = Rand64::new(u128::from(seed) << 32 ^ u128::from(settings.generation));
        // A random phase keeps members that start together from probing at the same time.
        let next_probe_at = now + settings.period * rng.rand_float();
        let mut swim = Swim {
            settings,
            incarnation: 0,
            leaving: false,
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            probe: None,
            next_probe_at,
            relayed_probes: BTreeMap::new(),
            sequence: 0,
            health: 0,
            update_queue: UpdateQueue::default(),
            next_dead_contact_at: now + DEAD_CONTACT_INTERVAL_S,
            last_comparison: f64::NEG_INFINITY,
            last_received: now,
            last_sweep: now,
            last_declared_dead: f64::NEG_INFINITY,
            view_cache: Cell::new(None),
            suspects: BTreeSet::new(),
            rng,
            outgoing: Vec::new(),
            changes: Vec::new(),
            sent: (0, 0),
        };
        let own_address = swim.settings.address;
        let seeds = swim.settings.seeds.clone();
        for seed in seeds.into_iter().filter(|seed| *seed != own_address) {
            swim.send(seed, Message::StateRequest, None);
        }
        swim
    }

    fn own_update(&self) -> MemberUpdate {
        let id = MemberId { name: self.settings.name.clone(), life: self.settings.generation };
        let state = if self.leaving { State::Left } else { State::Alive };
        MemberUpdate {
            id,
            address: self.settings.address,
            incarnation: self.incarnation,
            state,
            accuser: 0,
            meta: self.settings.meta.clone(),
        }
    }

    /// Other members that are considered live, including suspects, with the time of their last update.
    pub fn live(&self) -> impl Iterator<Item = (&MemberUpdate, f64)> {
        let is_live = |m: &&Member| matches!(m.update.state, State::Alive | State::Suspect);
        self.members.values().filter(is_live).map(|m| (&m.update, m.since))
    }

    pub fn all_members(&self) -> impl Iterator<Item = (&MemberUpdate, f64)> {
        self.members.values().map(|m| (&m.update, m.since))
    }

    /// Status of all other members. Digests received more than `max_age` seconds ago are ignored.
    pub fn member_statuses(&self, now: f64, max_age: f64) -> Vec<MemberStatus> {
        let own_digest = self.digest();
        let status = |m: &Member| MemberStatus {
            update: m.update.clone(),
            since: m.since,
            round_trip: m.round_trip,
            agrees: m
                .digest
                .filter(|(_, received_at)| now - received_at <= max_age)
                .map(|(digest, _)| digest == own_digest),
        };
        self.members.values().map(status).collect()
    }

    /// When the last datagram of another member arrived; the start time if there was none.
    pub fn last_received(&self) -> f64 {
        self.last_received
    }

    /// When this member was last reported dead; negative infinity if never.
    pub fn last_declared_dead(&self) -> f64 {
        self.last_declared_dead
    }

    /// The own generation, which may have been raised above that of a former process.
    pub fn generation(&self) -> u64 {
        self.settings.generation
    }

    /// Number of live members, including this one.
    pub fn count(&self) -> usize {
        self.view().1
    }

    pub fn health(&self) -> u32 {
        self.health
    }

    /// Hash of the live members and their generations. Suspects are included, because they are still live.
    pub fn digest(&self) -> u64 {
        self.view().0
    }

    fn view(&self) -> (u64, usize) {
        if let Some(view) = self.view_cache.get() {
            return view;
        }
        let view = (self.compute_digest(), 1 + self.live().count());
        self.view_cache.set(Some(view));
        view
    }

    fn compute_digest(&self) -> u64 {
        let mut live_members: Vec<(&str, u64)> =
            self.live().map(|(update, _)| (update.id.name.as_str(), update.id.life)).collect();
        live_members.push((&self.settings.name, self.settings.generation));
        live_members.sort();
        // FNV-1a gives the same value on every machine.
        let mut hash = 0xcbf2_9ce4_8422_2325u64;
        for (name, generation) in live_members {
            for byte in name.bytes().chain([0]).chain(generation.to_be_bytes()) {
                hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
        }
        hash
    }

    /// Number of alive members whose digest differs from the own one, and number of alive members with a digest. Digests older
    /// than `max_age` seconds are ignored.
    pub fn differing(&self, now: f64, max_age: f64) -> (usize, usize) {
        let own_digest = self.digest();
        let recent_digests: Vec<u64> = self
            .members
            .values()
            .filter(|m| m.update.state == State::Alive)
            .filter_map(|m| {
                m.digest.filter(|(_, received_at)| now - received_at <= max_age).map(|(digest, _)| digest)
            })
            .collect();
        (recent_digests.iter().filter(|digest| **digest != own_digest).count(), recent_digests.len())
    }

    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// The next time at which `on_timer` has to be called.
    pub fn due(&self) -> f64 {
        let suspicion = |name: &String| self.members.get(name)?.suspicion.as_ref();
        let expiries = self.suspects.iter().filter_map(suspicion).map(|s| self.expires_at(s));
        let indirect_due = self
            .probe
            .as_ref()
            .filter(|p| !p.helpers_asked && !p.acked)
            .map(|p| p.sent_at + self.probe_timeout());
        expiries.chain(indirect_due).fold(self.next_probe_at.min(self.next_dead_contact_at), f64::min)
    }

    fn probe_timeout(&self) -> f64 {
        self.settings.probe_timeout * f64::from(self.health + 1)
    }

    fn period(&self) -> f64 {
        self.settings.period * f64::from(self.health + 1)
    }

    /// When a suspected member is declared dead; the more members confirm the suspicion, the sooner.
    fn expires_at(&self, suspicion: &Suspicion) -> f64 {
        let member_count = self.count() as f64;
        let min_duration =
            self.settings.suspicion_multiplier * member_count.log10().max(1.0) * self.settings.period;
        let max_duration = min_duration * self.settings.suspicion_max_multiplier;
        let confirmations = suspicion.accusers.len().saturating_sub(1) as f64;
        let fraction = ((confirmations + 1.0).ln() / (MAX_CONFIRMATIONS + 1.0).ln()).min(1.0);
        suspicion.since
            + (max_duration - (max_duration - min_duration) * fraction) * f64::from(self.health + 1)
    }

    fn send(&mut self, to: SocketAddr, message: Message, leading_update: Option<MemberUpdate>) {
        let from = self.own_update();
        let transmit_limit = 3 * ((self.count() + 1) as f64).log2().ceil() as u32;
        let reserved_bytes = 8 + encoded_size(&from) + 64 + leading_update.as_ref().map_or(0, encoded_size);
        let mut updates: Vec<MemberUpdate> = leading_update.into_iter().collect();
        updates.extend(
            self.update_queue.take(MAX_DATAGRAM_BYTES.saturating_sub(reserved_bytes), transmit_limit),
        );
        let datagram = Datagram { from, message, updates, digest: self.digest() };
        let bytes = datagram.write();
        self.sent = (self.sent.0 + bytes.len() as u64, self.sent.1 + 1);
        self.outgoing.push((to, bytes));
    }

    /// Sends the state of all known members, in as many datagrams as needed.
    fn send_all_updates(&mut self, to: SocketAddr) {
        let mut remaining: Vec<MemberUpdate> = self.members.values().map(|m| m.update.clone()).collect();
        loop {
            let from = self.own_update();
            let mut free_bytes = MAX_DATAGRAM_BYTES.saturating_sub(8 + encoded_size(&from) + 64);
            let mut batch = Vec::new();
            while let Some(update) = remaining.last() {
                if encoded_size(update) > free_bytes || batch.len() >= 250 {
                    break;
                }
                free_bytes -= encoded_size(update);
                batch.extend(remaining.pop());
            }
            let datagram = Datagram { from, message: Message::Gossip, updates: batch, digest: self.digest() };
            let bytes = datagram.write();
            self.sent = (self.sent.0 + bytes.len() as u64, self.sent.1 + 1);
            self.outgoing.push((to, bytes));
            if remaining.is_empty() {
                return;
            }
        }
    }

    /// Handles a datagram that the driver has authenticated. Returns the sender's advertised address if the datagram is valid and
    /// comes from another member.
    pub fn handle_datagram(&mut self, now: f64, bytes: &[u8]) -> Option<SocketAddr> {
        let datagram = Datagram::read(bytes)?;
        let sender = datagram.from.clone();
        let own_name = sender.id.name == self.settings.name;
        if own_name {
            if sender.id.life != self.settings.generation
                && sender.state == State::Alive
                && sender.address != self.settings.address
            {
                self.changes.push(Change::NameTaken(sender.address));
            }
            // Either an own datagram that came back or one of another process with the same name; both are ignored.
            return None;
        }
        self.last_received = now;
        self.apply_update(now, &sender);
        for update in &datagram.updates {
            self.apply_update(now, update);
        }
        if let Some(m) = self.members.get_mut(&sender.id.name) {
            m.digest = Some((datagram.digest, now));
        }
        match datagram.message {
            Message::Ping { sequence } => {
                self.send(sender.address, Message::Ack { sequence }, None);
            }
            Message::Ack { sequence } => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.sequence == sequence) {
                    if !probe.acked {
                        if let Some(m) = self.members.get_mut(&probe.target) {
                            m.round_trip = Some(now - probe.sent_at);
                        }
                    }
                    probe.acked = true;
                    self.health = self.health.saturating_sub(1);
                }
                if let Some((requester, requester_sequence, until)) = self.relayed_probes.remove(&sequence) {
                    if now <= until {
                        self.send(requester, Message::Ack { sequence: requester_sequence }, None);
                    }
                }
            }
            Message::PingRequest { sequence, target } => {
                self.relayed_probes.retain(|_, (_, _, until)| *until > now);
                let is_known = self.members.values().any(|m| m.update.address == target);
                if is_known && self.relayed_probes.len() < MAX_RELAYED_PROBES {
                    self.sequence = self.sequence.wrapping_add(1);
                    let relay_sequence = self.sequence;
                    self.relayed_probes
                        .insert(relay_sequence, (sender.address, sequence, now + self.settings.period));
                    self.send(target, Message::Ping { sequence: relay_sequence }, None);
                }
            }
            Message::StateRequest => self.send_all_updates(sender.address),
            Message::Gossip => {}
        }
        // Fetch the state of a member whose view differs, at a limited rate.
        if datagram.digest != self.digest() && now >= self.last_comparison + COMPARE_INTERVAL_S {
            self.last_comparison = now;
            self.send(sender.address, Message::StateRequest, None);
        }
        Some(sender.address)
    }

    /// Handles a higher generation under the own name: a former process of this member whose clock was ahead, or another running
    /// process. The own generation is raised above one that is dead or has left, or that used the own address. It is not raised
    /// above a process that lives at another address, because both would keep raising theirs without end.
    fn handle_newer_generation(&mut self, update: &MemberUpdate) {
        let gone = matches!(update.state, State::Dead | State::Left);
        if (gone || update.address == self.settings.address) && update.id.life < u64::MAX {
            self.settings.generation = update.id.life + 1;
            self.incarnation = 0;
            self.view_cache.set(None);
            let own_update = self.own_update();
            self.update_queue.add(own_update);
        } else if !gone {
            self.changes.push(Change::NameTaken(update.address));
        }
    }

    /// Merges an update about a member, received or generated here, into the member list.
    fn apply_update(&mut self, now: f64, update: &MemberUpdate) {
        if update.id.name == self.settings.name {
            if update.id.life == self.settings.generation && update.state == State::Dead {
                self.last_declared_dead = now;
            }
            let refutation =
                refutes(update, self.settings.generation, self.incarnation).filter(|_| !self.leaving);
            if let Some(incarnation) = refutation {
                // Only the member itself may refute a suspicion or death, with an incarnation above the reported one.
                self.incarnation = incarnation;
                if incarnation == u32::MAX {
                    // No incarnation exceeds this one, so a forged update could silence this member for good. A new
                    // generation supersedes it.
                    self.settings.generation = self.settings.generation.saturating_add(1);
                    self.incarnation = 0;
                    self.view_cache.set(None);
                }
                self.health = (self.health + 1).min(MAX_LOCAL_HEALTH);
                let own_update = self.own_update();
                self.update_queue.add(own_update);
            } else if update.id.life > self.settings.generation && !self.leaving {
                self.handle_newer_generation(update);
            }
            return;
        }
        let Some(member) = self.members.get_mut(&update.id.name) else {
            // A dead or departed member that was never known is not added.
            if matches!(update.state, State::Dead | State::Left)
                || self.members.len() >= self.settings.max_members
            {
                return;
            }
            let suspicion = (update.state == State::Suspect)
                .then(|| Suspicion { since: now, accusers: BTreeSet::from([update.accuser]) });
            if update.state == State::Suspect {
                self.suspects.insert(update.id.name.clone());
            }
            let member =
                Member { update: update.clone(), since: now, suspicion, digest: None, round_trip: None };
            self.view_cache.set(None);
            self.members.insert(update.id.name.clone(), member);
            self.update_queue.add(update.clone());
            self.changes.push(Change::Joined(update.id.clone()));
            return;
        };
        let current = &member.update;
        let newer_generation = update.id.life > current.id.life;
        let same_incarnation = update.id.life == current.id.life && update.incarnation == current.incarnation;
        if same_incarnation && update.state == State::Suspect && current.state == State::Suspect {
            // Another member confirms the suspicion.
            if let Some(s) = &mut member.suspicion {
                if (s.accusers.len() as f64) < MAX_CONFIRMATIONS + 1.0 && s.accusers.insert(update.accuser) {
                    self.update_queue.add(update.clone());
                }
            }
            return;
        }
        if !overrides(update, current) {
            return;
        }
        self.view_cache.set(None);
        let previous_state = current.state;
        let was_live = matches!(previous_state, State::Alive | State::Suspect);
        let previous_id = current.id.clone();
        match update.state {
            State::Suspect => drop(self.suspects.insert(update.id.name.clone())),
            _ => drop(self.suspects.remove(&update.id.name)),
        }
        member.update = update.clone();
        member.since = now;
        member.suspicion = (update.state == State::Suspect)
            .then(|| Suspicion { since: now, accusers: BTreeSet::from([update.accuser]) });
        self.update_queue.add(update.clone());
        if newer_generation && was_live {
            self.changes.push(Change::Died(previous_id));
        }
        match update.state {
            State::Alive if newer_generation || !was_live => {
                self.changes.push(Change::Joined(update.id.clone()))
            }
            State::Alive if previous_state == State::Suspect => {
                self.changes.push(Change::Refuted(update.id.clone()))
            }
            State::Alive => {}
            State::Suspect => self.changes.push(Change::Suspected(update.id.clone())),
            State::Dead if was_live => self.changes.push(Change::Died(update.id.clone())),
            State::Left if was_live => self.changes.push(Change::Left(update.id.clone())),
            State::Dead | State::Left => {}
        }
    }

    /// Announces the departure to a few members. `on_timer` must not be called afterwards.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.view_cache.set(None);
        self.incarnation = self.incarnation.saturating_add(1);
        let mut recipients: Vec<SocketAddr> = self.live().map(|(update, _)| update.address).collect();
        for index in (1..recipients.len()).rev() {
            recipients.swap(index, self.rng.rand_range(0..index as u64 + 1) as usize);
        }
        recipients.truncate(2 * INDIRECT_PROBES);
        recipients.into_iter().for_each(|address| self.send(address, Message::Gossip, None));
    }

    /// Runs everything that is due.
    pub fn on_timer(&mut self, now: f64) {
        self.expire_suspicions(now);
        if let Some(probe) = self.probe.as_ref().filter(|p| !p.helpers_asked && !p.acked) {
            if now >= probe.sent_at + self.probe_timeout() {
                let (sequence, target) = (probe.sequence, probe.target.clone());
                self.request_indirect_probes(sequence, &target);
            }
        }
        if now >= self.next_probe_at {
            self.finish_probe(now);
            self.probe_next(now);
            self.next_probe_at = now + self.period();
        }
        if now >= self.next_dead_contact_at {
            self.next_dead_contact_at = now + DEAD_CONTACT_INTERVAL_S * (0.5 + self.rng.rand_float());
            self.contact_dead(now);
        }
    }

    /// Declares suspects dead whose suspicion was not refuted in time, and forgets members that died or left long ago.
    fn expire_suspicions(&mut self, now: f64) {
        let suspicion = |name: &str| self.members.get(name)?.suspicion.as_ref();
        let expired: Vec<String> = self
            .suspects
            .iter()
            .filter(|name| suspicion(name).is_some_and(|s| self.expires_at(s) <= now))
            .cloned()
            .collect();
        for name in expired {
            let update =
                MemberUpdate { state: State::Dead, accuser: 0, ..self.members[&name].update.clone() };
            self.apply_update(now, &update);
        }
        let gone = |m: &Member| matches!(m.update.state, State::Dead | State::Left);
        if now < self.last_sweep + SWEEP_INTERVAL_S {
            return;
        }
        self.last_sweep = now;
        self.members.retain(|_, m| !gone(m) || now < m.since + DEAD_RETENTION_S);
    }

    fn request_indirect_probes(&mut self, sequence: u32, target: &str) {
        if let Some(probe) = &mut self.probe {
            probe.helpers_asked = true;
        }
        let Some(address) = self.members.get(target).map(|m| m.update.address) else { return };
        let mut helpers: Vec<SocketAddr> = self
            .live()
            .filter(|(update, _)| update.id.name != target && update.state == State::Alive)
            .map(|(update, _)| update.address)
            .collect();
        for _ in 0..INDIRECT_PROBES.min(helpers.len()) {
            let index = self.rng.rand_range(0..helpers.len() as u64) as usize;
            let helper = helpers.swap_remove(index);
            self.send(helper, Message::PingRequest { sequence, target: address }, None);
        }
    }

    /// Ends the outstanding probe; a member that did not answer becomes suspected.
    fn finish_probe(&mut self, now: f64) {
        let Some(probe) = self.probe.take().filter(|p| !p.acked) else { return };
        let Some(member) = self.members.get(&probe.target) else { return };
        // A member that is already suspected says nothing new about the local health. If it counted in every round, the loss of
        // half of the members at once would make this one slow to detect it.
        if member.update.state == State::Alive {
            self.health = (self.health + 1).min(MAX_LOCAL_HEALTH);
        }
        let update = MemberUpdate {
            state: State::Suspect,
            accuser: accuser_id(&self.settings.name),
            ..member.update.clone()
        };
        if matches!(member.update.state, State::Alive | State::Suspect) {
            self.apply_update(now, &update);
        }
    }

    fn probe_next(&mut self, now: f64) {
        for _ in 0..2 {
            while let Some(name) = self.probe_order.pop() {
                let Some(m) = self.members.get(&name) else { continue };
                if !matches!(m.update.state, State::Alive | State::Suspect) {
                    continue;
                }
                // The suspicion is sent along first, so that the suspect can refute it.
                let (address, leading_update) =
                    (m.update.address, m.suspicion.as_ref().map(|_| m.update.clone()));
                self.sequence = self.sequence.wrapping_add(1);
                let sequence = self.sequence;
                self.probe =
                    Some(Probe { target: name, sequence, sent_at: now, helpers_asked: false, acked: false });
                return self.send(address, Message::Ping { sequence }, leading_update);
            }
            self.probe_order = self.live().map(|(update, _)| update.id.name.clone()).collect();
            for index in (1..self.probe_order.len()).rev() {
                self.probe_order.swap(index, self.rng.rand_range(0..index as u64 + 1) as usize);
            }
        }
    }

    /// Contacts a random dead member or a seed that is not a known member, so that partitioned members find each other again.
    fn contact_dead(&mut self, _now: f64) {
        let mut candidates: Vec<(SocketAddr, Option<MemberUpdate>)> = self
            .members
            .values()
            .filter(|m| m.update.state == State::Dead)
            .map(|m| (m.update.address, Some(m.update.clone())))
            .collect();
        let known_addresses: BTreeSet<SocketAddr> = self.members.values().map(|m| m.update.address).collect();
        let seeds = self
            .settings
            .seeds
            .iter()
            .filter(|s| **s != self.settings.address && !known_addresses.contains(s));
        candidates.extend(seeds.map(|s| (*s, None)));
        if !candidates.is_empty() {
            let (address, update) =
                candidates.swap_remove(self.rng.rand_range(0..candidates.len() as u64) as usize);
            self.send(address, Message::StateRequest, update);
        }
    }

    /// Number of entries held in memory; bounded whatever other members send.
    pub fn state_entries(&self) -> usize {
        self.members.len()
            + self.suspects.len()
            + self.relayed_probes.len()
            + self.update_queue.queued_count()
            + self.probe_order.len()
    }
}

//! The state machine of one member. A driver hands in what comes and the time, sends what goes out, and wakes it when due.
use crate::updates::UpdateQueue;
use crate::wire::{
    accuser_id, encoded_size, Datagram, MemberId, MemberUpdate, Message, Meta, State, MAX_DATAGRAM_BYTES,
};
use oorandom::Rand64;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Whether one word on a member takes the place of another: life before incarnation before state.
pub fn overrides(new: &MemberUpdate, held: &MemberUpdate) -> bool {
    if new.id.life != held.id.life {
        return new.id.life > held.id.life;
    }
    match (new.state, held.state) {
        // A farewell is final for its life.
        (_, State::Left) => false,
        (State::Left, State::Dead) => true,
        (State::Alive, _) => new.incarnation > held.incarnation,
        (State::Suspect, State::Alive) => new.incarnation >= held.incarnation,
        (State::Suspect, _) | (State::Dead, State::Dead) => new.incarnation > held.incarnation,
        (State::Dead | State::Left, _) => new.incarnation >= held.incarnation,
    }
}

/// The incarnation under which a member speaks for itself once it has heard this of itself; `None` where it need not.
pub fn refutes(heard: &MemberUpdate, generation: u64, incarnation: u32) -> Option<u32> {
    let about_us =
        heard.id.life == generation && heard.state != State::Alive && heard.incarnation >= incarnation;
    about_us.then(|| heard.incarnation.saturating_add(1))
}

/// How watchful members are. Seconds.
#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    /// Higher than that of any former life under this name.
    pub generation: u64,
    pub address: SocketAddr,
    pub meta: Meta,
    /// Where others may be found to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Between probes of one member after the other.
    pub period: f64,
    /// For an answer to a probe, before others are asked to probe for us.
    pub probe_timeout: f64,
    /// A suspicion lasts so many periods times the logarithm of the members at least, and `suspicion_max_multiplier` times that at most.
    pub suspicion_multiplier: f64,
    pub suspicion_max_multiplier: f64,
    /// Members that are known at the most.
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

/// What others are asked to probe for us.
const INDIRECT_PROBES: usize = 3;
/// Confirmations by others after which a suspicion lasts its least.
const MAX_CONFIRMATIONS: f64 = 3.0;
/// Local health: how much slower this member may become while it hears little itself.
const MAX_LOCAL_HEALTH: u32 = 8;
/// Seconds for which the dead are remembered, and tried again now and then: a cut that heals is noticed by that.
const DEAD_RETENTION_S: f64 = 60.0;
const DEAD_CONTACT_INTERVAL_S: f64 = 2.0;
const SWEEP_INTERVAL_S: f64 = 1.0;
/// Seconds between asking a member whose view differs for all that it knows.
const COMPARE_INTERVAL_S: f64 = 1.0;
/// Probes that others asked for and that are under way, at the most.
const MAX_RELAYED_PROBES: usize = 256;

#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Joined(MemberId),
    Suspected(MemberId),
    Refuted(MemberId),
    Died(MemberId),
    Left(MemberId),
    /// Another process runs under our name.
    NameTaken(SocketAddr),
}

#[derive(Clone, Debug)]
struct Suspicion {
    since: f64,
    /// Those that missed an answer of its own.
    accusers: BTreeSet<u32>,
}

#[derive(Clone, Debug)]
struct Member {
    update: MemberUpdate,
    /// Since when it is in this state.
    since: f64,
    suspicion: Option<Suspicion>,
    /// What it told last of its view, and when.
    digest: Option<(u64, f64)>,
    /// Seconds from the last probe of it to its answer.
    round_trip: Option<f64>,
}

/// What is known of a member, for operators.
#[derive(Clone, Debug)]
pub struct MemberStatus {
    pub update: MemberUpdate,
    pub since: f64,
    pub round_trip: Option<f64>,
    /// Whether it told our view last; `None` where it told none of late.
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
    /// Whom to probe next, drawn anew for each round.
    round: Vec<String>,
    probe: Option<Probe>,
    probe_at: f64,
    /// Probes for others, by our number: who asked, under which number, until when.
    relayed_probes: BTreeMap<u32, (SocketAddr, u32, f64)>,
    sequence: u32,
    health: u32,
    update_queue: UpdateQueue,
    contact_dead_at: f64,
    last_comparison: f64,
    /// When any other was heard last, and when we heard last that we are dead.
    last_received: f64,
    last_declared_dead: f64,
    /// When the dead were looked through for those to forget.
    last_sweep: f64,
    /// The digest of our view and how many are in it, until that changes: each letter says the one and is sized by the other.
    view_cache: Cell<Option<(u64, usize)>>,
    /// Whoever is suspected.
    suspects: BTreeSet<String>,
    rng: Rand64,
    out: Vec<(SocketAddr, Vec<u8>)>,
    changes: Vec<Change>,
    /// Bytes and letters sent.
    pub sent: (u64, u64),
}

impl Swim {
    pub fn new(settings: Settings, seed: u64, now: f64) -> Swim {
        let mut rng = Rand64::new(u128::from(seed) << 32 ^ u128::from(settings.generation));
        // Not all that start together probe together.
        let probe_at = now + settings.period * rng.rand_float();
        let mut swim = Swim {
            settings,
            incarnation: 0,
            leaving: false,
            members: BTreeMap::new(),
            round: Vec::new(),
            probe: None,
            probe_at,
            relayed_probes: BTreeMap::new(),
            sequence: 0,
            health: 0,
            update_queue: UpdateQueue::default(),
            contact_dead_at: now + DEAD_CONTACT_INTERVAL_S,
            last_comparison: f64::NEG_INFINITY,
            last_received: now,
            last_sweep: now,
            last_declared_dead: f64::NEG_INFINITY,
            view_cache: Cell::new(None),
            suspects: BTreeSet::new(),
            rng,
            out: Vec::new(),
            changes: Vec::new(),
            sent: (0, 0),
        };
        let own = swim.settings.address;
        let seeds = swim.settings.seeds.clone();
        for seed in seeds.into_iter().filter(|seed| *seed != own) {
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

    /// Others that are held for alive, suspects among them.
    pub fn live(&self) -> impl Iterator<Item = (&MemberUpdate, f64)> {
        let held = |m: &&Member| matches!(m.update.state, State::Alive | State::Suspect);
        self.members.values().filter(held).map(|m| (&m.update, m.since))
    }

    pub fn all_members(&self) -> impl Iterator<Item = (&MemberUpdate, f64)> {
        self.members.values().map(|m| (&m.update, m.since))
    }

    /// All that is known of the others; views that were told longer than `within` seconds ago say nothing any more.
    pub fn member_statuses(&self, now: f64, max_age: f64) -> Vec<MemberStatus> {
        let own = self.digest();
        let known = |m: &Member| MemberStatus {
            update: m.update.clone(),
            since: m.since,
            round_trip: m.round_trip,
            agrees: m
                .digest
                .filter(|(_, received_at)| now - received_at <= max_age)
                .map(|(digest, _)| digest == own),
        };
        self.members.values().map(known).collect()
    }

    /// When any other was heard last; the start where none was.
    pub fn last_received(&self) -> f64 {
        self.last_received
    }

    /// When others said last that this one is dead; before all time where they never did.
    pub fn last_declared_dead(&self) -> f64 {
        self.last_declared_dead
    }

    /// This one's own life, which may have been raised over a former one's.
    pub fn generation(&self) -> u64 {
        self.settings.generation
    }

    /// Others that are there, and we.
    pub fn count(&self) -> usize {
        self.view().1
    }

    pub fn health(&self) -> u32 {
        self.health
    }

    /// Lives that are there in one number; suspects count, for nothing has come of it yet.
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
        let mut lives: Vec<(&str, u64)> = self.live().map(|(r, _)| (r.id.name.as_str(), r.id.life)).collect();
        lives.push((&self.settings.name, self.settings.generation));
        lives.sort();
        // FNV-1a, the same on every machine.
        let mut hash = 0xcbf2_9ce4_8422_2325u64;
        for (name, generation) in lives {
            for byte in name.bytes().chain([0]).chain(generation.to_be_bytes()) {
                hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
        }
        hash
    }

    /// How many of those that are there told a view other than ours, of those that told any within `within` seconds.
    pub fn differing(&self, now: f64, max_age: f64) -> (usize, usize) {
        let own = self.digest();
        let heard: Vec<u64> = self
            .members
            .values()
            .filter(|m| m.update.state == State::Alive)
            .filter_map(|m| {
                m.digest.filter(|(_, received_at)| now - received_at <= max_age).map(|(digest, _)| digest)
            })
            .collect();
        (heard.iter().filter(|d| **d != own).count(), heard.len())
    }

    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// When it wants to be woken.
    pub fn due(&self) -> f64 {
        let suspicion = |name: &String| self.members.get(name)?.suspicion.as_ref();
        let expiries = self.suspects.iter().filter_map(suspicion).map(|s| self.expires_at(s));
        let indirect_due = self
            .probe
            .as_ref()
            .filter(|p| !p.helpers_asked && !p.acked)
            .map(|p| p.sent_at + self.probe_timeout());
        expiries.chain(indirect_due).fold(self.probe_at.min(self.contact_dead_at), f64::min)
    }

    fn probe_timeout(&self) -> f64 {
        self.settings.probe_timeout * f64::from(self.health + 1)
    }

    fn period(&self) -> f64 {
        self.settings.period * f64::from(self.health + 1)
    }

    /// When a suspicion becomes a death: the sooner the more others say the same.
    fn expires_at(&self, s: &Suspicion) -> f64 {
        let n = self.count() as f64;
        let min_duration = self.settings.suspicion_multiplier * n.log10().max(1.0) * self.settings.period;
        let max_duration = min_duration * self.settings.suspicion_max_multiplier;
        let confirmations = s.accusers.len().saturating_sub(1) as f64;
        let fraction = ((confirmations + 1.0).ln() / (MAX_CONFIRMATIONS + 1.0).ln()).min(1.0);
        s.since + (max_duration - (max_duration - min_duration) * fraction) * f64::from(self.health + 1)
    }

    fn send(&mut self, to: SocketAddr, message: Message, first: Option<MemberUpdate>) {
        let from = self.own_update();
        let transmit_limit = 3 * ((self.count() + 1) as f64).log2().ceil() as u32;
        let used = 8 + encoded_size(&from) + 64 + first.as_ref().map_or(0, encoded_size);
        let mut updates: Vec<MemberUpdate> = first.into_iter().collect();
        updates.extend(self.update_queue.take(MAX_DATAGRAM_BYTES.saturating_sub(used), transmit_limit));
        let letter = Datagram { from, message, updates, digest: self.digest() };
        let bytes = letter.write();
        self.sent = (self.sent.0 + bytes.len() as u64, self.sent.1 + 1);
        self.out.push((to, bytes));
    }

    /// All that is known, in as many letters as it takes.
    fn send_all_updates(&mut self, to: SocketAddr) {
        let mut left: Vec<MemberUpdate> = self.members.values().map(|m| m.update.clone()).collect();
        loop {
            let from = self.own_update();
            let mut room = MAX_DATAGRAM_BYTES.saturating_sub(8 + encoded_size(&from) + 64);
            let mut batch = Vec::new();
            while let Some(r) = left.last() {
                if encoded_size(r) > room || batch.len() >= 250 {
                    break;
                }
                room -= encoded_size(r);
                batch.extend(left.pop());
            }
            let letter = Datagram { from, message: Message::Gossip, updates: batch, digest: self.digest() };
            let bytes = letter.write();
            self.sent = (self.sent.0 + bytes.len() as u64, self.sent.1 + 1);
            self.out.push((to, bytes));
            if left.is_empty() {
                return;
            }
        }
    }

    /// A datagram that the driver has authenticated; yields where its sender says that it is to be found, if it is a letter of
    /// another's.
    pub fn handle_datagram(&mut self, now: f64, bytes: &[u8]) -> Option<SocketAddr> {
        let letter = Datagram::read(bytes)?;
        let sender = letter.from.clone();
        let own_name = sender.id.name == self.settings.name;
        if own_name {
            if sender.id.life != self.settings.generation
                && sender.state == State::Alive
                && sender.address != self.settings.address
            {
                self.changes.push(Change::NameTaken(sender.address));
            }
            // Our own words, come back, or another's under our name: nothing to learn from either.
            return None;
        }
        self.last_received = now;
        self.apply_update(now, &sender);
        for update in &letter.updates {
            self.apply_update(now, update);
        }
        if let Some(m) = self.members.get_mut(&sender.id.name) {
            m.digest = Some((letter.digest, now));
        }
        match letter.message {
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
                if let Some((asker, theirs, until)) = self.relayed_probes.remove(&sequence) {
                    if now <= until {
                        self.send(asker, Message::Ack { sequence: theirs }, None);
                    }
                }
            }
            Message::PingRequest { sequence, target } => {
                self.relayed_probes.retain(|_, (_, _, until)| *until > now);
                let known = self.members.values().any(|m| m.update.address == target);
                if known && self.relayed_probes.len() < MAX_RELAYED_PROBES {
                    self.sequence = self.sequence.wrapping_add(1);
                    let ours = self.sequence;
                    self.relayed_probes.insert(ours, (sender.address, sequence, now + self.settings.period));
                    self.send(target, Message::Ping { sequence: ours }, None);
                }
            }
            Message::StateRequest => self.send_all_updates(sender.address),
            Message::Gossip => {}
        }
        // A view that differs is compared, but not by everybody at once.
        if letter.digest != self.digest() && now >= self.last_comparison + COMPARE_INTERVAL_S {
            self.last_comparison = now;
            self.send(sender.address, Message::StateRequest, None);
        }
        Some(sender.address)
    }

    /// A life under our name that counts higher than ours: a former one of ours whose clock was ahead of ours, or another process
    /// that lives. Ours is raised over what is dead, or was where we are now; over one that lives elsewhere neither side could
    /// ever end raising.
    fn handle_newer_generation(&mut self, r: &MemberUpdate) {
        let gone = matches!(r.state, State::Dead | State::Left);
        if (gone || r.address == self.settings.address) && r.id.life < u64::MAX {
            self.settings.generation = r.id.life + 1;
            self.incarnation = 0;
            self.view_cache.set(None);
            let own_update = self.own_update();
            self.update_queue.add(own_update);
        } else if !gone {
            self.changes.push(Change::NameTaken(r.address));
        }
    }

    /// Somebody's word on somebody.
    fn apply_update(&mut self, now: f64, r: &MemberUpdate) {
        if r.id.name == self.settings.name {
            if r.id.life == self.settings.generation && r.state == State::Dead {
                self.last_declared_dead = now;
            }
            let refutation = refutes(r, self.settings.generation, self.incarnation).filter(|_| !self.leaving);
            if let Some(incarnation) = refutation {
                // Only we say that we are there, and louder than those who say we are not.
                self.incarnation = incarnation;
                if incarnation == u32::MAX {
                    // Nobody can speak louder than that: a liar would have silenced us. A further life can.
                    self.settings.generation = self.settings.generation.saturating_add(1);
                    self.incarnation = 0;
                    self.view_cache.set(None);
                }
                self.health = (self.health + 1).min(MAX_LOCAL_HEALTH);
                let own_update = self.own_update();
                self.update_queue.add(own_update);
            } else if r.id.life > self.settings.generation && !self.leaving {
                self.handle_newer_generation(r);
            }
            return;
        }
        let Some(member) = self.members.get_mut(&r.id.name) else {
            // Of the dead that were never known there is nothing to learn.
            if matches!(r.state, State::Dead | State::Left) || self.members.len() >= self.settings.max_members
            {
                return;
            }
            let suspicion = (r.state == State::Suspect)
                .then(|| Suspicion { since: now, accusers: BTreeSet::from([r.accuser]) });
            if r.state == State::Suspect {
                self.suspects.insert(r.id.name.clone());
            }
            let member = Member { update: r.clone(), since: now, suspicion, digest: None, round_trip: None };
            self.view_cache.set(None);
            self.members.insert(r.id.name.clone(), member);
            self.update_queue.add(r.clone());
            self.changes.push(Change::Joined(r.id.clone()));
            return;
        };
        let held = &member.update;
        let newer_generation = r.id.life > held.id.life;
        let same = r.id.life == held.id.life && r.incarnation == held.incarnation;
        if same && r.state == State::Suspect && held.state == State::Suspect {
            // One more who says the same.
            if let Some(s) = &mut member.suspicion {
                if (s.accusers.len() as f64) < MAX_CONFIRMATIONS + 1.0 && s.accusers.insert(r.accuser) {
                    self.update_queue.add(r.clone());
                }
            }
            return;
        }
        if !overrides(r, held) {
            return;
        }
        self.view_cache.set(None);
        let was = held.state;
        let was_live = matches!(was, State::Alive | State::Suspect);
        let former = held.id.clone();
        match r.state {
            State::Suspect => drop(self.suspects.insert(r.id.name.clone())),
            _ => drop(self.suspects.remove(&r.id.name)),
        }
        member.update = r.clone();
        member.since = now;
        member.suspicion = (r.state == State::Suspect)
            .then(|| Suspicion { since: now, accusers: BTreeSet::from([r.accuser]) });
        self.update_queue.add(r.clone());
        if newer_generation && was_live {
            self.changes.push(Change::Died(former));
        }
        match r.state {
            State::Alive if newer_generation || !was_live => self.changes.push(Change::Joined(r.id.clone())),
            State::Alive if was == State::Suspect => self.changes.push(Change::Refuted(r.id.clone())),
            State::Alive => {}
            State::Suspect => self.changes.push(Change::Suspected(r.id.clone())),
            State::Dead if was_live => self.changes.push(Change::Died(r.id.clone())),
            State::Left if was_live => self.changes.push(Change::Left(r.id.clone())),
            State::Dead | State::Left => {}
        }
    }

    /// Says farewell to some; it is not to be woken any more afterwards.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.view_cache.set(None);
        self.incarnation = self.incarnation.saturating_add(1);
        let mut to: Vec<SocketAddr> = self.live().map(|(r, _)| r.address).collect();
        for index in (1..to.len()).rev() {
            to.swap(index, self.rng.rand_range(0..index as u64 + 1) as usize);
        }
        to.truncate(2 * INDIRECT_PROBES);
        to.into_iter().for_each(|address| self.send(address, Message::Gossip, None));
    }

    /// All that is due.
    pub fn on_timer(&mut self, now: f64) {
        self.expire_suspicions(now);
        if let Some(probe) = self.probe.as_ref().filter(|p| !p.helpers_asked && !p.acked) {
            if now >= probe.sent_at + self.probe_timeout() {
                let (sequence, target) = (probe.sequence, probe.target.clone());
                self.request_indirect_probes(sequence, &target);
            }
        }
        if now >= self.probe_at {
            self.finish_probe(now);
            self.probe_next(now);
            self.probe_at = now + self.period();
        }
        if now >= self.contact_dead_at {
            self.contact_dead_at = now + DEAD_CONTACT_INTERVAL_S * (0.5 + self.rng.rand_float());
            self.contact_dead(now);
        }
    }

    /// Suspicions that nobody refuted in their time, and the dead that are forgotten.
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
            .filter(|(r, _)| r.id.name != target && r.state == State::Alive)
            .map(|(r, _)| r.address)
            .collect();
        for _ in 0..INDIRECT_PROBES.min(helpers.len()) {
            let n = self.rng.rand_range(0..helpers.len() as u64) as usize;
            let helper = helpers.swap_remove(n);
            self.send(helper, Message::PingRequest { sequence, target: address }, None);
        }
    }

    /// The probe under way is over: without an answer its member is suspected.
    fn finish_probe(&mut self, now: f64) {
        let Some(probe) = self.probe.take().filter(|p| !p.acked) else { return };
        let Some(member) = self.members.get(&probe.target) else { return };
        // One that is suspected already tells nothing new of our own hearing: counted again with each round, half of the members
        // gone at once would make us slow to see it.
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
            while let Some(name) = self.round.pop() {
                let Some(m) = self.members.get(&name) else { continue };
                if !matches!(m.update.state, State::Alive | State::Suspect) {
                    continue;
                }
                // A suspect hears of it first, so that it can speak for itself.
                let (address, first) = (m.update.address, m.suspicion.as_ref().map(|_| m.update.clone()));
                self.sequence = self.sequence.wrapping_add(1);
                let sequence = self.sequence;
                self.probe =
                    Some(Probe { target: name, sequence, sent_at: now, helpers_asked: false, acked: false });
                return self.send(address, Message::Ping { sequence }, first);
            }
            self.round = self.live().map(|(r, _)| r.id.name.clone()).collect();
            for index in (1..self.round.len()).rev() {
                self.round.swap(index, self.rng.rand_range(0..index as u64 + 1) as usize);
            }
        }
    }

    /// One of the dead, or a seed that is not among us, is asked now and then: whoever was cut off comes back by that.
    fn contact_dead(&mut self, _now: f64) {
        let mut to: Vec<(SocketAddr, Option<MemberUpdate>)> = self
            .members
            .values()
            .filter(|m| m.update.state == State::Dead)
            .map(|m| (m.update.address, Some(m.update.clone())))
            .collect();
        let here: BTreeSet<SocketAddr> = self.members.values().map(|m| m.update.address).collect();
        let seeds = self.settings.seeds.iter().filter(|s| **s != self.settings.address && !here.contains(s));
        to.extend(seeds.map(|s| (*s, None)));
        if !to.is_empty() {
            let (address, update) = to.swap_remove(self.rng.rand_range(0..to.len() as u64) as usize);
            self.send(address, Message::StateRequest, update);
        }
    }

    /// Entries of state, which have a bound whoever speaks.
    pub fn state_entries(&self) -> usize {
        self.members.len()
            + self.suspects.len()
            + self.relayed_probes.len()
            + self.update_queue.queued_count()
            + self.round.len()
    }
}

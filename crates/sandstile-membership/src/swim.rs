//! The state machine of one member. A driver hands in what comes and the time, sends what goes out, and wakes it when due.
use crate::updates::Rumours;
use crate::wire::{size, voice, Letter, Life, Message, Meta, Rumour, State, MOST};
use oorandom::Rand64;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Whether one word on a member takes the place of another: life before incarnation before state.
pub fn overrides(new: &Rumour, held: &Rumour) -> bool {
    if new.of.life != held.of.life {
        return new.of.life > held.of.life;
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
pub fn refutes(heard: &Rumour, life: u64, incarnation: u32) -> Option<u32> {
    let about_us = heard.of.life == life && heard.state != State::Alive && heard.incarnation >= incarnation;
    about_us.then(|| heard.incarnation.saturating_add(1))
}

/// How watchful members are. Seconds.
#[derive(Clone, Debug)]
pub struct Terms {
    pub name: String,
    /// Higher than that of any former life under this name.
    pub life: u64,
    pub at: SocketAddr,
    pub meta: Meta,
    /// Where others may be found to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Between probes of one member after the other.
    pub period: f64,
    /// For an answer to a probe, before others are asked to probe for us.
    pub patience: f64,
    /// A suspicion lasts so many periods times the logarithm of the members at least, and `slack` times that at most.
    pub suspicion: f64,
    pub slack: f64,
    /// Members that are known at the most.
    pub most: usize,
}

impl Terms {
    pub fn usual(name: &str, life: u64, at: SocketAddr, seeds: Vec<SocketAddr>) -> Terms {
        Terms {
            name: name.to_string(),
            life,
            at,
            meta: Meta::default(),
            seeds,
            period: 0.25,
            patience: 0.1,
            suspicion: 3.0,
            slack: 4.0,
            most: 1024,
        }
    }
}

/// What others are asked to probe for us.
const HELPERS: usize = 3;
/// Confirmations by others after which a suspicion lasts its least.
const CONFIRMATIONS: f64 = 3.0;
/// Local health: how much slower this member may become while it hears little itself.
const WORST_HEALTH: u32 = 8;
/// Seconds for which the dead are remembered, and tried again now and then: a cut that heals is noticed by that.
const REMEMBERED: f64 = 60.0;
const TRIES_DEAD: f64 = 2.0;
const SWEEPS: f64 = 1.0;
/// Seconds between asking a member whose view differs for all that it knows.
const COMPARES: f64 = 1.0;
/// Probes that others asked for and that are under way, at the most.
const MOST_ASKED: usize = 256;

#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Joined(Life),
    Suspected(Life),
    Refuted(Life),
    Died(Life),
    Left(Life),
    /// Another process runs under our name.
    NameTaken(SocketAddr),
}

#[derive(Clone, Debug)]
struct Suspicion {
    since: f64,
    /// Those that missed an answer of its own.
    by: BTreeSet<u32>,
}

#[derive(Clone, Debug)]
struct Member {
    rumour: Rumour,
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
pub struct Known {
    pub rumour: Rumour,
    pub since: f64,
    pub round_trip: Option<f64>,
    /// Whether it told our view last; `None` where it told none of late.
    pub agrees: Option<bool>,
}

struct Probe {
    whom: String,
    number: u32,
    began: f64,
    asked: bool,
    acked: bool,
}

pub struct Swim {
    terms: Terms,
    incarnation: u32,
    leaving: bool,
    members: BTreeMap<String, Member>,
    /// Whom to probe next, drawn anew for each round.
    round: Vec<String>,
    probe: Option<Probe>,
    probe_at: f64,
    /// Probes for others, by our number: who asked, under which number, until when.
    asked: BTreeMap<u32, (SocketAddr, u32, f64)>,
    number: u32,
    health: u32,
    rumours: Rumours,
    dead_at: f64,
    compared: f64,
    /// When any other was heard last, and when we heard last that we are dead.
    heard: f64,
    buried: f64,
    /// When the dead were looked through for those to forget.
    swept: f64,
    /// The digest of our view and how many are in it, until that changes: each letter says the one and is sized by the other.
    told: Cell<Option<(u64, usize)>>,
    /// Whoever is suspected.
    suspects: BTreeSet<String>,
    chance: Rand64,
    out: Vec<(SocketAddr, Vec<u8>)>,
    changes: Vec<Change>,
    /// Bytes and letters sent.
    pub sent: (u64, u64),
}

impl Swim {
    pub fn new(terms: Terms, seed: u64, now: f64) -> Swim {
        let mut chance = Rand64::new(u128::from(seed) << 32 ^ u128::from(terms.life));
        // Not all that start together probe together.
        let probe_at = now + terms.period * chance.rand_float();
        let mut swim = Swim {
            terms,
            incarnation: 0,
            leaving: false,
            members: BTreeMap::new(),
            round: Vec::new(),
            probe: None,
            probe_at,
            asked: BTreeMap::new(),
            number: 0,
            health: 0,
            rumours: Rumours::default(),
            dead_at: now + TRIES_DEAD,
            compared: f64::NEG_INFINITY,
            heard: now,
            swept: now,
            buried: f64::NEG_INFINITY,
            told: Cell::new(None),
            suspects: BTreeSet::new(),
            chance,
            out: Vec::new(),
            changes: Vec::new(),
            sent: (0, 0),
        };
        let own = swim.terms.at;
        let seeds = swim.terms.seeds.clone();
        for seed in seeds.into_iter().filter(|seed| *seed != own) {
            swim.say(seed, Message::Join, None);
        }
        swim
    }

    fn me(&self) -> Rumour {
        let of = Life { name: self.terms.name.clone(), life: self.terms.life };
        let state = if self.leaving { State::Left } else { State::Alive };
        Rumour {
            of,
            at: self.terms.at,
            incarnation: self.incarnation,
            state,
            by: 0,
            meta: self.terms.meta.clone(),
        }
    }

    /// Others that are held for alive, suspects among them.
    pub fn there(&self) -> impl Iterator<Item = (&Rumour, f64)> {
        let held = |m: &&Member| matches!(m.rumour.state, State::Alive | State::Suspect);
        self.members.values().filter(held).map(|m| (&m.rumour, m.since))
    }

    pub fn all(&self) -> impl Iterator<Item = (&Rumour, f64)> {
        self.members.values().map(|m| (&m.rumour, m.since))
    }

    /// All that is known of the others; views that were told longer than `within` seconds ago say nothing any more.
    pub fn known(&self, now: f64, within: f64) -> Vec<Known> {
        let own = self.digest();
        let known = |m: &Member| Known {
            rumour: m.rumour.clone(),
            since: m.since,
            round_trip: m.round_trip,
            agrees: m.digest.filter(|(_, at)| now - at <= within).map(|(digest, _)| digest == own),
        };
        self.members.values().map(known).collect()
    }

    /// When any other was heard last; the start where none was.
    pub fn heard(&self) -> f64 {
        self.heard
    }

    /// When others said last that this one is dead; before all time where they never did.
    pub fn buried(&self) -> f64 {
        self.buried
    }

    /// This one's own life, which may have been raised over a former one's.
    pub fn life(&self) -> u64 {
        self.terms.life
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
        if let Some(view) = self.told.get() {
            return view;
        }
        let view = (self.reckon(), 1 + self.there().count());
        self.told.set(Some(view));
        view
    }

    fn reckon(&self) -> u64 {
        let mut lives: Vec<(&str, u64)> =
            self.there().map(|(r, _)| (r.of.name.as_str(), r.of.life)).collect();
        lives.push((&self.terms.name, self.terms.life));
        lives.sort();
        // FNV-1a, the same on every machine.
        let mut hash = 0xcbf2_9ce4_8422_2325u64;
        for (name, life) in lives {
            for byte in name.bytes().chain([0]).chain(life.to_be_bytes()) {
                hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
        }
        hash
    }

    /// How many of those that are there told a view other than ours, of those that told any within `within` seconds.
    pub fn differing(&self, now: f64, within: f64) -> (usize, usize) {
        let own = self.digest();
        let heard: Vec<u64> = self
            .members
            .values()
            .filter(|m| m.rumour.state == State::Alive)
            .filter_map(|m| m.digest.filter(|(_, at)| now - at <= within).map(|(digest, _)| digest))
            .collect();
        (heard.iter().filter(|d| **d != own).count(), heard.len())
    }

    pub fn take_out(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// When it wants to be woken.
    pub fn due(&self) -> f64 {
        let suspicion = |name: &String| self.members.get(name)?.suspicion.as_ref();
        let ends = self.suspects.iter().filter_map(suspicion).map(|s| self.ends(s));
        let helps = self.probe.as_ref().filter(|p| !p.asked && !p.acked).map(|p| p.began + self.patience());
        ends.chain(helps).fold(self.probe_at.min(self.dead_at), f64::min)
    }

    fn patience(&self) -> f64 {
        self.terms.patience * f64::from(self.health + 1)
    }

    fn period(&self) -> f64 {
        self.terms.period * f64::from(self.health + 1)
    }

    /// When a suspicion becomes a death: the sooner the more others say the same.
    fn ends(&self, s: &Suspicion) -> f64 {
        let n = self.count() as f64;
        let least = self.terms.suspicion * n.log10().max(1.0) * self.terms.period;
        let most = least * self.terms.slack;
        let said = s.by.len().saturating_sub(1) as f64;
        let part = ((said + 1.0).ln() / (CONFIRMATIONS + 1.0).ln()).min(1.0);
        s.since + (most - (most - least) * part) * f64::from(self.health + 1)
    }

    fn say(&mut self, to: SocketAddr, message: Message, first: Option<Rumour>) {
        let from = self.me();
        let often = 3 * ((self.count() + 1) as f64).log2().ceil() as u32;
        let used = 8 + size(&from) + 64 + first.as_ref().map_or(0, size);
        let mut rumours: Vec<Rumour> = first.into_iter().collect();
        rumours.extend(self.rumours.take(MOST.saturating_sub(used), often));
        let letter = Letter { from, message, rumours, digest: self.digest() };
        let bytes = letter.write();
        self.sent = (self.sent.0 + bytes.len() as u64, self.sent.1 + 1);
        self.out.push((to, bytes));
    }

    /// All that is known, in as many letters as it takes.
    fn tell_all(&mut self, to: SocketAddr) {
        let mut left: Vec<Rumour> = self.members.values().map(|m| m.rumour.clone()).collect();
        loop {
            let from = self.me();
            let mut room = MOST.saturating_sub(8 + size(&from) + 64);
            let mut now = Vec::new();
            while let Some(r) = left.last() {
                if size(r) > room || now.len() >= 250 {
                    break;
                }
                room -= size(r);
                now.extend(left.pop());
            }
            let letter = Letter { from, message: Message::Known, rumours: now, digest: self.digest() };
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
    pub fn received(&mut self, now: f64, bytes: &[u8]) -> Option<SocketAddr> {
        let letter = Letter::read(bytes)?;
        let sender = letter.from.clone();
        let own_name = sender.of.name == self.terms.name;
        if own_name {
            if sender.of.life != self.terms.life && sender.state == State::Alive && sender.at != self.terms.at
            {
                self.changes.push(Change::NameTaken(sender.at));
            }
            // Our own words, come back, or another's under our name: nothing to learn from either.
            return None;
        }
        self.heard = now;
        self.hear(now, &sender);
        for rumour in &letter.rumours {
            self.hear(now, rumour);
        }
        if let Some(m) = self.members.get_mut(&sender.of.name) {
            m.digest = Some((letter.digest, now));
        }
        match letter.message {
            Message::Ping { number } => {
                self.say(sender.at, Message::Ack { number }, None);
            }
            Message::Ack { number } => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.number == number) {
                    if !probe.acked {
                        if let Some(m) = self.members.get_mut(&probe.whom) {
                            m.round_trip = Some(now - probe.began);
                        }
                    }
                    probe.acked = true;
                    self.health = self.health.saturating_sub(1);
                }
                if let Some((asker, theirs, until)) = self.asked.remove(&number) {
                    if now <= until {
                        self.say(asker, Message::Ack { number: theirs }, None);
                    }
                }
            }
            Message::Ask { number, whom } => {
                self.asked.retain(|_, (_, _, until)| *until > now);
                let known = self.members.values().any(|m| m.rumour.at == whom);
                if known && self.asked.len() < MOST_ASKED {
                    self.number = self.number.wrapping_add(1);
                    let ours = self.number;
                    self.asked.insert(ours, (sender.at, number, now + self.terms.period));
                    self.say(whom, Message::Ping { number: ours }, None);
                }
            }
            Message::Join => self.tell_all(sender.at),
            Message::Known => {}
        }
        // A view that differs is compared, but not by everybody at once.
        if letter.digest != self.digest() && now >= self.compared + COMPARES {
            self.compared = now;
            self.say(sender.at, Message::Join, None);
        }
        Some(sender.at)
    }

    /// A life under our name that counts higher than ours: a former one of ours whose clock was ahead of ours, or another process
    /// that lives. Ours is raised over what is dead, or was where we are now; over one that lives elsewhere neither side could
    /// ever end raising.
    fn outlived(&mut self, r: &Rumour) {
        let gone = matches!(r.state, State::Dead | State::Left);
        if (gone || r.at == self.terms.at) && r.of.life < u64::MAX {
            self.terms.life = r.of.life + 1;
            self.incarnation = 0;
            self.told.set(None);
            let me = self.me();
            self.rumours.add(me);
        } else if !gone {
            self.changes.push(Change::NameTaken(r.at));
        }
    }

    /// Somebody's word on somebody.
    fn hear(&mut self, now: f64, r: &Rumour) {
        if r.of.name == self.terms.name {
            if r.of.life == self.terms.life && r.state == State::Dead {
                self.buried = now;
            }
            let louder = refutes(r, self.terms.life, self.incarnation).filter(|_| !self.leaving);
            if let Some(incarnation) = louder {
                // Only we say that we are there, and louder than those who say we are not.
                self.incarnation = incarnation;
                if incarnation == u32::MAX {
                    // Nobody can speak louder than that: a liar would have silenced us. A further life can.
                    self.terms.life = self.terms.life.saturating_add(1);
                    self.incarnation = 0;
                    self.told.set(None);
                }
                self.health = (self.health + 1).min(WORST_HEALTH);
                let me = self.me();
                self.rumours.add(me);
            } else if r.of.life > self.terms.life && !self.leaving {
                self.outlived(r);
            }
            return;
        }
        let Some(member) = self.members.get_mut(&r.of.name) else {
            // Of the dead that were never known there is nothing to learn.
            if matches!(r.state, State::Dead | State::Left) || self.members.len() >= self.terms.most {
                return;
            }
            let suspicion =
                (r.state == State::Suspect).then(|| Suspicion { since: now, by: BTreeSet::from([r.by]) });
            if r.state == State::Suspect {
                self.suspects.insert(r.of.name.clone());
            }
            let member = Member { rumour: r.clone(), since: now, suspicion, digest: None, round_trip: None };
            self.told.set(None);
            self.members.insert(r.of.name.clone(), member);
            self.rumours.add(r.clone());
            self.changes.push(Change::Joined(r.of.clone()));
            return;
        };
        let held = &member.rumour;
        let newer_life = r.of.life > held.of.life;
        let same = r.of.life == held.of.life && r.incarnation == held.incarnation;
        if same && r.state == State::Suspect && held.state == State::Suspect {
            // One more who says the same.
            if let Some(s) = &mut member.suspicion {
                if (s.by.len() as f64) < CONFIRMATIONS + 1.0 && s.by.insert(r.by) {
                    self.rumours.add(r.clone());
                }
            }
            return;
        }
        if !overrides(r, held) {
            return;
        }
        self.told.set(None);
        let was = held.state;
        let was_there = matches!(was, State::Alive | State::Suspect);
        let former = held.of.clone();
        match r.state {
            State::Suspect => drop(self.suspects.insert(r.of.name.clone())),
            _ => drop(self.suspects.remove(&r.of.name)),
        }
        member.rumour = r.clone();
        member.since = now;
        member.suspicion =
            (r.state == State::Suspect).then(|| Suspicion { since: now, by: BTreeSet::from([r.by]) });
        self.rumours.add(r.clone());
        if newer_life && was_there {
            self.changes.push(Change::Died(former));
        }
        match r.state {
            State::Alive if newer_life || !was_there => self.changes.push(Change::Joined(r.of.clone())),
            State::Alive if was == State::Suspect => self.changes.push(Change::Refuted(r.of.clone())),
            State::Alive => {}
            State::Suspect => self.changes.push(Change::Suspected(r.of.clone())),
            State::Dead if was_there => self.changes.push(Change::Died(r.of.clone())),
            State::Left if was_there => self.changes.push(Change::Left(r.of.clone())),
            State::Dead | State::Left => {}
        }
    }

    /// Says farewell to some; it is not to be woken any more afterwards.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.told.set(None);
        self.incarnation = self.incarnation.saturating_add(1);
        let mut to: Vec<SocketAddr> = self.there().map(|(r, _)| r.at).collect();
        for at in (1..to.len()).rev() {
            to.swap(at, self.chance.rand_range(0..at as u64 + 1) as usize);
        }
        to.truncate(2 * HELPERS);
        to.into_iter().for_each(|at| self.say(at, Message::Known, None));
    }

    /// All that is due.
    pub fn woken(&mut self, now: f64) {
        self.judge(now);
        if let Some(probe) = self.probe.as_ref().filter(|p| !p.asked && !p.acked) {
            if now >= probe.began + self.patience() {
                let (number, whom) = (probe.number, probe.whom.clone());
                self.ask_others(number, &whom);
            }
        }
        if now >= self.probe_at {
            self.conclude(now);
            self.probe_next(now);
            self.probe_at = now + self.period();
        }
        if now >= self.dead_at {
            self.dead_at = now + TRIES_DEAD * (0.5 + self.chance.rand_float());
            self.try_dead(now);
        }
    }

    /// Suspicions that nobody refuted in their time, and the dead that are forgotten.
    fn judge(&mut self, now: f64) {
        let suspicion = |name: &str| self.members.get(name)?.suspicion.as_ref();
        let over: Vec<String> = self
            .suspects
            .iter()
            .filter(|name| suspicion(name).is_some_and(|s| self.ends(s) <= now))
            .cloned()
            .collect();
        for name in over {
            let rumour = Rumour { state: State::Dead, by: 0, ..self.members[&name].rumour.clone() };
            self.hear(now, &rumour);
        }
        let gone = |m: &Member| matches!(m.rumour.state, State::Dead | State::Left);
        if now < self.swept + SWEEPS {
            return;
        }
        self.swept = now;
        self.members.retain(|_, m| !gone(m) || now < m.since + REMEMBERED);
    }

    fn ask_others(&mut self, number: u32, whom: &str) {
        if let Some(probe) = &mut self.probe {
            probe.asked = true;
        }
        let Some(at) = self.members.get(whom).map(|m| m.rumour.at) else { return };
        let mut helpers: Vec<SocketAddr> = self
            .there()
            .filter(|(r, _)| r.of.name != whom && r.state == State::Alive)
            .map(|(r, _)| r.at)
            .collect();
        for _ in 0..HELPERS.min(helpers.len()) {
            let n = self.chance.rand_range(0..helpers.len() as u64) as usize;
            let helper = helpers.swap_remove(n);
            self.say(helper, Message::Ask { number, whom: at }, None);
        }
    }

    /// The probe under way is over: without an answer its member is suspected.
    fn conclude(&mut self, now: f64) {
        let Some(probe) = self.probe.take().filter(|p| !p.acked) else { return };
        let Some(member) = self.members.get(&probe.whom) else { return };
        // One that is suspected already tells nothing new of our own hearing: counted again with each round, half of the members
        // gone at once would make us slow to see it.
        if member.rumour.state == State::Alive {
            self.health = (self.health + 1).min(WORST_HEALTH);
        }
        let rumour = Rumour { state: State::Suspect, by: voice(&self.terms.name), ..member.rumour.clone() };
        if matches!(member.rumour.state, State::Alive | State::Suspect) {
            self.hear(now, &rumour);
        }
    }

    fn probe_next(&mut self, now: f64) {
        for _ in 0..2 {
            while let Some(name) = self.round.pop() {
                let Some(m) = self.members.get(&name) else { continue };
                if !matches!(m.rumour.state, State::Alive | State::Suspect) {
                    continue;
                }
                // A suspect hears of it first, so that it can speak for itself.
                let (at, first) = (m.rumour.at, m.suspicion.as_ref().map(|_| m.rumour.clone()));
                self.number = self.number.wrapping_add(1);
                let number = self.number;
                self.probe = Some(Probe { whom: name, number, began: now, asked: false, acked: false });
                return self.say(at, Message::Ping { number }, first);
            }
            self.round = self.there().map(|(r, _)| r.of.name.clone()).collect();
            for at in (1..self.round.len()).rev() {
                self.round.swap(at, self.chance.rand_range(0..at as u64 + 1) as usize);
            }
        }
    }

    /// One of the dead, or a seed that is not among us, is asked now and then: whoever was cut off comes back by that.
    fn try_dead(&mut self, _now: f64) {
        let mut to: Vec<(SocketAddr, Option<Rumour>)> = self
            .members
            .values()
            .filter(|m| m.rumour.state == State::Dead)
            .map(|m| (m.rumour.at, Some(m.rumour.clone())))
            .collect();
        let here: BTreeSet<SocketAddr> = self.members.values().map(|m| m.rumour.at).collect();
        let seeds = self.terms.seeds.iter().filter(|s| **s != self.terms.at && !here.contains(s));
        to.extend(seeds.map(|s| (*s, None)));
        if !to.is_empty() {
            let (at, rumour) = to.swap_remove(self.chance.rand_range(0..to.len() as u64) as usize);
            self.say(at, Message::Join, rumour);
        }
    }

    /// Entries of state, which have a bound whoever speaks.
    pub fn held(&self) -> usize {
        self.members.len() + self.suspects.len() + self.asked.len() + self.rumours.held() + self.round.len()
    }
}

//! Many keepers in virtual time: streams between them that keep their order, are late, and stand still while they are cut. The very
//! same keepers as in routers; nothing else of a router is here.
use crate::near::select_neighbours;
use crate::replicator::{ReplicationEvent, ReplicationPeer, ReplicationSettings};
use oorandom::Rand64;
use sandstile_replicated_state::catchup::{SyncState, Trust};
use sandstile_replicated_state::{Fact, Key};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

/// Seconds between looks of one keeper, as its driver has them.
const LOOKS: f64 = 0.05;
/// Seconds by which a lost piece of a stream comes later.
const AGAIN: f64 = 0.2;

#[derive(Clone, Copy, Debug)]
pub struct Net {
    /// Seconds on the way, and what chance adds.
    pub delay: f64,
    pub jitter: f64,
    /// The share of messages that are lost once, and come later.
    pub loss: f64,
}

enum Event {
    Look(usize, u64),
    /// From, to, by which lives.
    Arrives(usize, usize),
    Link(usize, usize, u64, u64),
}

#[derive(Default)]
struct Stream {
    way: VecDeque<(f64, Vec<u8>)>,
    last: f64,
    cut: bool,
}

struct Place {
    replication: ReplicationPeer,
    generation: u64,
}

/// What an operator of the model sees of one.
pub struct Seen<'a> {
    pub replication: &'a ReplicationPeer,
    pub news: &'a [(f64, ReplicationEvent)],
}

pub struct Sim {
    now: f64,
    net: Net,
    horizon: f64,
    chance: Rand64,
    places: Vec<Option<Place>>,
    news: Vec<Vec<(f64, ReplicationEvent)>>,
    streams: BTreeMap<(usize, usize), Stream>,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    waiting: BTreeMap<usize, Event>,
    next: usize,
    lives: u64,
    /// Bytes that each has told, over all its lives.
    pub bytes_sent: Vec<u64>,
    /// When each fact that is watched was there at each: `(key, place)`.
    seen_at: BTreeMap<Key, Vec<Option<f64>>>,
}

fn nanos(at: f64) -> u64 {
    (at * 1e9) as u64
}

impl Sim {
    /// So many places, nobody there yet; times are seconds behind `now`.
    pub fn new(places: usize, net: Net, horizon: f64, seed: u64, now: f64) -> Sim {
        Sim {
            now,
            net,
            horizon,
            chance: Rand64::new(u128::from(seed)),
            places: (0..places).map(|_| None).collect(),
            news: vec![Vec::new(); places],
            streams: BTreeMap::new(),
            events: BinaryHeap::new(),
            waiting: BTreeMap::new(),
            next: 0,
            lives: 0,
            bytes_sent: vec![0; places],
            seen_at: BTreeMap::new(),
        }
    }

    pub fn now(&self) -> f64 {
        self.now
    }

    pub fn name(place: usize) -> String {
        format!("n{place:04}")
    }

    fn full(&self, place: usize) -> String {
        let generation = self.places[place].as_ref().map_or(0, |p| p.generation);
        format!("{}#{generation}", Self::name(place))
    }

    fn post(&mut self, at: f64, event: Event) {
        self.next += 1;
        // Ties go by the order in which they came up.
        self.events.push(Reverse((nanos(at), self.next as u64, self.next)));
        self.waiting.insert(self.next, event);
    }

    pub fn seen(&self, place: usize) -> Option<Seen<'_>> {
        let replication = &self.places[place].as_ref()?.replication;
        Some(Seen { replication, news: &self.news[place] })
    }

    pub fn replication(&mut self, place: usize) -> Option<&mut ReplicationPeer> {
        self.places[place].as_mut().map(|p| &mut p.replication)
    }

    /// One starts, with what it found on its disk.
    pub fn start(&mut self, place: usize, stored: Vec<(Key, Fact)>, trust: Trust, of: Option<u64>) -> u64 {
        self.lives += 1;
        let generation = (self.now * 1e6) as u64 + self.lives;
        let settings = ReplicationSettings {
            name: Self::name(place),
            generation,
            horizon: self.horizon,
            seed: self.chance.rand_u64(),
            stored,
            trust,
            stored_generation: of,
        };
        self.places[place] =
            Some(Place { replication: ReplicationPeer::new(settings, self.now), generation });
        self.news[place].clear();
        let there: BTreeSet<String> =
            (0..self.places.len()).filter(|n| self.places[*n].is_some()).map(Self::name).collect();
        let own = Self::name(place);
        let linked: Vec<usize> =
            select_neighbours(&own, &there).iter().filter_map(|n| n[1..].parse().ok()).collect();
        for other in linked {
            let theirs = self.places[other].as_ref().map_or(0, |p| p.generation);
            for (one, two, a, b) in [(place, other, generation, theirs), (other, place, theirs, generation)] {
                let at = self.now + self.net.delay * 2.0 + self.net.jitter * self.chance.rand_float();
                self.post(at, Event::Link(one, two, a, b));
            }
        }
        let phase = LOOKS * self.chance.rand_float();
        self.post(self.now + phase, Event::Look(place, generation));
        generation
    }

    /// One dies; its streams end where they can.
    pub fn kill(&mut self, place: usize) -> Option<(u64, Vec<(Key, Fact)>)> {
        let gone = self.full(place);
        let place_of = self.places[place].take()?;
        for other in 0..self.places.len() {
            self.streams.remove(&(place, other));
            self.streams.remove(&(other, place));
            if let Some(p) = &mut self.places[other] {
                p.replication.peer_disconnected(self.now, &gone);
            }
        }
        let facts = place_of.replication.replica().iter().map(|(k, f)| (k.clone(), f.clone())).collect();
        Some((place_of.generation, facts))
    }

    /// Nothing gets through between these sides, or all does again.
    pub fn cut(&mut self, cut: bool, side: impl Fn(usize) -> usize) {
        let pairs: Vec<(usize, usize)> = (0..self.places.len())
            .flat_map(|a| (0..self.places.len()).map(move |b| (a, b)))
            .filter(|(a, b)| a != b && side(*a) != side(*b))
            .collect();
        for pair in pairs {
            let stream = self.streams.entry(pair).or_default();
            let healed = stream.cut && !cut;
            stream.cut = cut;
            if healed {
                let at = self.now + AGAIN;
                stream.way.iter_mut().for_each(|(due, _)| *due = due.max(at));
                stream.last = stream.last.max(at);
                let due: Vec<f64> = stream.way.iter().map(|(due, _)| *due).collect();
                due.into_iter().for_each(|at| self.post(at, Event::Arrives(pair.0, pair.1)));
            }
        }
    }

    /// From now on it is known when this fact is at each.
    pub fn watch(&mut self, key: &Key) {
        self.seen_at.insert(key.clone(), vec![None; self.places.len()]);
    }

    /// Seconds after `since` at which each living place had it; `None` where it has it not.
    pub fn arrival_delays(&self, key: &Key, since: f64) -> Vec<Option<f64>> {
        let at = self.seen_at.get(key).cloned().unwrap_or_default();
        at.into_iter().map(|at| at.map(|at| at - since)).collect()
    }

    fn heed(&mut self, place: usize) {
        let Some(p) = &mut self.places[place] else { return };
        for news in p.replication.take_events() {
            if let ReplicationEvent::FactLearned(key, _) = &news {
                if let Some(at) = self.seen_at.get_mut(key) {
                    at[place] = at[place].or(Some(self.now));
                }
                continue;
            }
            self.news[place].push((self.now, news));
        }
    }

    fn send(&mut self, place: usize) {
        let Some(p) = &mut self.places[place] else { return };
        for (to, bytes) in p.replication.take_outgoing(self.now) {
            self.bytes_sent[place] += bytes.len() as u64;
            let Some(other) = to.split('#').next().and_then(|n| n[1..].parse::<usize>().ok()) else {
                continue;
            };
            let late = if self.chance.rand_float() < self.net.loss { AGAIN } else { 0.0 };
            let at = self.now + self.net.delay + self.net.jitter * self.chance.rand_float() + late;
            let stream = self.streams.entry((place, other)).or_default();
            stream.last = stream.last.max(at);
            let at = stream.last;
            stream.way.push_back((at, bytes));
            if !stream.cut {
                self.post(at, Event::Arrives(place, other));
            }
        }
    }

    fn arrives(&mut self, from: usize, to: usize) {
        let name = self.full(from);
        loop {
            let Some(stream) = self.streams.get_mut(&(from, to)).filter(|s| !s.cut) else { return };
            if stream.way.front().is_none_or(|(at, _)| nanos(*at) > nanos(self.now)) {
                return;
            }
            let Some((_, bytes)) = stream.way.pop_front() else { return };
            let told = self.full(to);
            if let Some(p) = &mut self.places[from] {
                p.replication.bytes_written(&told, bytes.len());
            }
            if let Some(p) = &mut self.places[to] {
                p.replication.receive(self.now, &name, &bytes);
            }
            self.heed(to);
            self.send(to);
        }
    }

    /// Plays until then.
    pub fn run(&mut self, until: f64) {
        while let Some(Reverse((at, _, id))) = self.events.peek().copied() {
            if at > nanos(until) {
                break;
            }
            self.events.pop();
            self.now = self.now.max(at as f64 / 1e9);
            match self.waiting.remove(&id) {
                Some(Event::Look(place, generation)) => {
                    if let Some(p) = self.places[place].as_mut().filter(|p| p.generation == generation) {
                        p.replication.tick(self.now);
                        self.heed(place);
                        self.send(place);
                        self.post(self.now + LOOKS, Event::Look(place, generation));
                    }
                }
                Some(Event::Arrives(from, to)) => self.arrives(from, to),
                Some(Event::Link(one, two, a, b)) => {
                    let lives = [one, two].map(|n| self.places[n].as_ref().map(|p| p.generation));
                    if lives == [Some(a), Some(b)] {
                        let name = self.full(two);
                        if let Some(p) = &mut self.places[one] {
                            p.replication.peer_connected(self.now, &name);
                        }
                    }
                }
                None => {}
            }
        }
        self.now = until;
    }

    /// Whether all that live hold the same.
    pub fn alike(&self) -> bool {
        let mut digests = self.places.iter().flatten().map(|p| p.replication.replica().digest());
        let first = digests.next();
        digests.all(|d| Some(d) == first)
    }

    pub fn in_sync(&self, place: usize) -> bool {
        self.places[place].as_ref().is_some_and(|p| p.replication.sync_state() == SyncState::InSync)
    }
}

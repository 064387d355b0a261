//! Simulation of many replication peers in virtual time, connected by streams that keep their order, add delay and
//! stall during a partition. It runs the same code as the routers, and no other part of a router.
use crate::neighbours::select_neighbours;
use crate::replicator::{ReplicationEvent, ReplicationPeer, ReplicationSettings};
use oorandom::Rand64;
use sandstile_replicated_state::catchup::{SyncState, Trust};
use sandstile_replicated_state::{Fact, Key};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

/// Seconds between the ticks of one peer, as in the router.
const TICK_SECONDS: f64 = 0.05;
/// Extra delay in seconds of a lost piece of a stream, which is retransmitted.
const RETRANSMIT_SECONDS: f64 = 0.2;

#[derive(Clone, Copy, Debug)]
pub struct Net {
    /// Delay in seconds, and the maximum of the random part added to it.
    pub delay: f64,
    pub jitter: f64,
    /// Share of messages that are lost once and retransmitted.
    pub loss: f64,
}

enum Event {
    Tick(usize, u64),
    /// Sender and receiver.
    Deliver(usize, usize),
    /// Sender and receiver, and the generation of each.
    Connect(usize, usize, u64, u64),
}

#[derive(Default)]
struct Stream {
    in_transit: VecDeque<(f64, Vec<u8>)>,
    last_arrival_at: f64,
    partitioned: bool,
}

struct Node {
    replication: ReplicationPeer,
    generation: u64,
}

/// The state of one node, for the driver of the simulation.
pub struct NodeView<'a> {
    pub replication: &'a ReplicationPeer,
    pub events: &'a [(f64, ReplicationEvent)],
}

pub struct Sim {
    now: f64,
    net: Net,
    max_replica_lag: f64,
    rng: Rand64,
    nodes: Vec<Option<Node>>,
    events: Vec<Vec<(f64, ReplicationEvent)>>,
    streams: BTreeMap<(usize, usize), Stream>,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    pending: BTreeMap<usize, Event>,
    last_event_id: usize,
    generations_started: u64,
    /// Bytes that each node has sent, over all its generations.
    pub bytes_sent: Vec<u64>,
    /// When each watched fact arrived at each node.
    first_seen: BTreeMap<Key, Vec<Option<f64>>>,
}

fn nanos(at: f64) -> u64 {
    (at * 1e9) as u64
}

impl Sim {
    /// Creates a number of nodes, none of them started. Times are absolute seconds that start at `now`.
    pub fn new(nodes: usize, net: Net, max_replica_lag: f64, seed: u64, now: f64) -> Sim {
        Sim {
            now,
            net,
            max_replica_lag,
            rng: Rand64::new(u128::from(seed)),
            nodes: (0..nodes).map(|_| None).collect(),
            events: vec![Vec::new(); nodes],
            streams: BTreeMap::new(),
            queue: BinaryHeap::new(),
            pending: BTreeMap::new(),
            last_event_id: 0,
            generations_started: 0,
            bytes_sent: vec![0; nodes],
            first_seen: BTreeMap::new(),
        }
    }

    pub fn now(&self) -> f64 {
        self.now
    }

    pub fn name(node: usize) -> String {
        format!("n{node:04}")
    }

    fn full_name(&self, node: usize) -> String {
        let generation = self.nodes[node].as_ref().map_or(0, |p| p.generation);
        format!("{}#{generation}", Self::name(node))
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.last_event_id += 1;
        // Events at the same time run in the order in which they were scheduled.
        self.queue.push(Reverse((nanos(at), self.last_event_id as u64, self.last_event_id)));
        self.pending.insert(self.last_event_id, event);
    }

    pub fn view(&self, node: usize) -> Option<NodeView<'_>> {
        let replication = &self.nodes[node].as_ref()?.replication;
        Some(NodeView { replication, events: &self.events[node] })
    }

    pub fn replication(&mut self, node: usize) -> Option<&mut ReplicationPeer> {
        self.nodes[node].as_mut().map(|p| &mut p.replication)
    }

    /// Starts a node with the facts that it read from its disk; returns its generation.
    pub fn start(
        &mut self,
        node: usize,
        stored: Vec<(Key, Fact)>,
        trust: Trust,
        previous_generation: Option<u64>,
    ) -> u64 {
        self.generations_started += 1;
        let generation = (self.now * 1e6) as u64 + self.generations_started;
        let settings = ReplicationSettings {
            name: Self::name(node),
            generation,
            max_replica_lag: self.max_replica_lag,
            seed: self.rng.rand_u64(),
            stored,
            trust,
            stored_generation: previous_generation,
        };
        self.nodes[node] = Some(Node { replication: ReplicationPeer::new(settings, self.now), generation });
        self.events[node].clear();
        let live_peers: BTreeSet<String> =
            (0..self.nodes.len()).filter(|n| self.nodes[*n].is_some()).map(Self::name).collect();
        let own = Self::name(node);
        let neighbours: Vec<usize> =
            select_neighbours(&own, &live_peers).iter().filter_map(|n| n[1..].parse().ok()).collect();
        for other in neighbours {
            let theirs = self.nodes[other].as_ref().map_or(0, |p| p.generation);
            for (from, to, from_generation, to_generation) in
                [(node, other, generation, theirs), (other, node, theirs, generation)]
            {
                let connect_at = self.now + self.net.delay * 2.0 + self.net.jitter * self.rng.rand_float();
                self.schedule(connect_at, Event::Connect(from, to, from_generation, to_generation));
            }
        }
        let phase = TICK_SECONDS * self.rng.rand_float();
        self.schedule(self.now + phase, Event::Tick(node, generation));
        generation
    }

    /// Kills a node and drops its streams; returns its generation and facts.
    pub fn kill(&mut self, node: usize) -> Option<(u64, Vec<(Key, Fact)>)> {
        let removed_name = self.full_name(node);
        let removed = self.nodes[node].take()?;
        for other in 0..self.nodes.len() {
            self.streams.remove(&(node, other));
            self.streams.remove(&(other, node));
            if let Some(p) = &mut self.nodes[other] {
                p.replication.peer_disconnected(self.now, &removed_name);
            }
        }
        let facts = removed.replication.replica().iter().map(|(k, f)| (k.clone(), f.clone())).collect();
        Some((removed.generation, facts))
    }

    /// Starts or ends a partition between the sides.
    pub fn set_partition(&mut self, partitioned: bool, side: impl Fn(usize) -> usize) {
        let pairs: Vec<(usize, usize)> = (0..self.nodes.len())
            .flat_map(|a| (0..self.nodes.len()).map(move |b| (a, b)))
            .filter(|(a, b)| a != b && side(*a) != side(*b))
            .collect();
        for pair in pairs {
            let stream = self.streams.entry(pair).or_default();
            let healed = stream.partitioned && !partitioned;
            stream.partitioned = partitioned;
            if healed {
                let resent_at = self.now + RETRANSMIT_SECONDS;
                stream.in_transit.iter_mut().for_each(|(due, _)| *due = due.max(resent_at));
                stream.last_arrival_at = stream.last_arrival_at.max(resent_at);
                let due: Vec<f64> = stream.in_transit.iter().map(|(due, _)| *due).collect();
                due.into_iter().for_each(|at| self.schedule(at, Event::Deliver(pair.0, pair.1)));
            }
        }
    }

    /// Records from now on when this fact arrives at each node.
    pub fn watch(&mut self, key: &Key) {
        self.first_seen.insert(key.clone(), vec![None; self.nodes.len()]);
    }

    /// Seconds after `since` at which each running node had the fact; `None` where it did not arrive.
    pub fn arrival_delays(&self, key: &Key, since: f64) -> Vec<Option<f64>> {
        let times = self.first_seen.get(key).cloned().unwrap_or_default();
        times.into_iter().map(|at| at.map(|at| at - since)).collect()
    }

    fn collect_events(&mut self, node: usize) {
        let Some(p) = &mut self.nodes[node] else { return };
        for event in p.replication.take_events() {
            if let ReplicationEvent::FactLearned(key, _) = &event {
                if let Some(times) = self.first_seen.get_mut(key) {
                    times[node] = times[node].or(Some(self.now));
                }
                continue;
            }
            self.events[node].push((self.now, event));
        }
    }

    fn send(&mut self, node: usize) {
        let Some(p) = &mut self.nodes[node] else { return };
        for (to, bytes) in p.replication.take_outgoing(self.now) {
            self.bytes_sent[node] += bytes.len() as u64;
            let Some(other) = to.split('#').next().and_then(|n| n[1..].parse::<usize>().ok()) else {
                continue;
            };
            let retransmit_delay =
                if self.rng.rand_float() < self.net.loss { RETRANSMIT_SECONDS } else { 0.0 };
            let at = self.now + self.net.delay + self.net.jitter * self.rng.rand_float() + retransmit_delay;
            let stream = self.streams.entry((node, other)).or_default();
            stream.last_arrival_at = stream.last_arrival_at.max(at);
            let at = stream.last_arrival_at;
            stream.in_transit.push_back((at, bytes));
            if !stream.partitioned {
                self.schedule(at, Event::Deliver(node, other));
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize) {
        let name = self.full_name(from);
        loop {
            let Some(stream) = self.streams.get_mut(&(from, to)).filter(|s| !s.partitioned) else { return };
            if stream.in_transit.front().is_none_or(|(at, _)| nanos(*at) > nanos(self.now)) {
                return;
            }
            let Some((_, bytes)) = stream.in_transit.pop_front() else { return };
            let to_name = self.full_name(to);
            if let Some(p) = &mut self.nodes[from] {
                p.replication.bytes_written(&to_name, bytes.len());
            }
            if let Some(p) = &mut self.nodes[to] {
                p.replication.receive(self.now, &name, &bytes);
            }
            self.collect_events(to);
            self.send(to);
        }
    }

    /// Runs the simulation until this time.
    pub fn run(&mut self, until: f64) {
        while let Some(Reverse((at, _, id))) = self.queue.peek().copied() {
            if at > nanos(until) {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at as f64 / 1e9);
            match self.pending.remove(&id) {
                Some(Event::Tick(node, generation)) => {
                    if let Some(p) = self.nodes[node].as_mut().filter(|p| p.generation == generation) {
                        p.replication.tick(self.now);
                        self.collect_events(node);
                        self.send(node);
                        self.schedule(self.now + TICK_SECONDS, Event::Tick(node, generation));
                    }
                }
                Some(Event::Deliver(from, to)) => self.deliver(from, to),
                Some(Event::Connect(from, to, from_generation, to_generation)) => {
                    let generations = [from, to].map(|n| self.nodes[n].as_ref().map(|p| p.generation));
                    if generations == [Some(from_generation), Some(to_generation)] {
                        let name = self.full_name(to);
                        if let Some(p) = &mut self.nodes[from] {
                            p.replication.peer_connected(self.now, &name);
                        }
                    }
                }
                None => {}
            }
        }
        self.now = until;
    }

    /// Whether all running nodes hold the same facts.
    pub fn all_equal(&self) -> bool {
        let mut digests = self.nodes.iter().flatten().map(|p| p.replication.replica().digest());
        let first = digests.next();
        digests.all(|d| Some(d) == first)
    }

    pub fn in_sync(&self, node: usize) -> bool {
        self.nodes[node].as_ref().is_some_and(|p| p.replication.sync_state() == SyncState::InSync)
    }
}

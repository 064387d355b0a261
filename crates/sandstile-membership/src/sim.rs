//! Simulation of many members in virtual time over a network that loses, delays and partitions datagrams. Used by tests and
//! measurements, and to try settings at a given cluster size.
use crate::swim::{Change, Settings, Swim};
use oorandom::Rand64;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

/// A datagram in flight: arrival time in nanoseconds, send order, receiving node, bytes.
type InFlight = (u64, u64, usize, Vec<u8>);

struct Node {
    swim: Option<Swim>,
    /// The process is stopped; incoming datagrams wait in `pending`.
    stopped: bool,
    pending: Vec<Vec<u8>>,
    side: u32,
}

pub struct Sim {
    nodes: Vec<Node>,
    in_flight: BinaryHeap<Reverse<InFlight>>,
    timers: BinaryHeap<Reverse<(u64, usize)>>,
    rng: Rand64,
    pub now: f64,
    pub loss: f64,
    /// Delivery delay in seconds: the minimum, and the maximum of the random addition.
    pub delay: (f64, f64),
    /// Whether datagrams from the first side to the second are lost.
    pub cut: fn(u32, u32) -> bool,
    sequence: u64,
    /// Observed changes: time, observing node, change.
    pub observed: Vec<(f64, usize, Change)>,
    pub bytes: u64,
}

fn no_cut(_: u32, _: u32) -> bool {
    false
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 9, (n / 250) as u8, (n % 250) as u8 + 1], 7400))
}

/// The node with this address.
fn node_of(address: SocketAddr) -> Option<usize> {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            Some(usize::from(high) * 250 + usize::from(low).checked_sub(1)?)
        }
        std::net::IpAddr::V6(_) => None,
    }
}

fn nanos(t: f64) -> u64 {
    (t * 1e9) as u64
}

impl Sim {
    /// Starts `n` members whose seeds are the first two nodes.
    pub fn new(n: usize, seed: u64) -> Sim {
        let mut sim = Sim {
            nodes: Vec::new(),
            in_flight: BinaryHeap::new(),
            timers: BinaryHeap::new(),
            rng: Rand64::new(u128::from(seed)),
            now: 1000.0,
            loss: 0.0,
            delay: (0.0005, 0.001),
            cut: no_cut,
            sequence: 0,
            observed: Vec::new(),
            bytes: 0,
        };
        for node in 0..n {
            sim.nodes.push(Node { swim: None, stopped: false, pending: Vec::new(), side: 0 });
            sim.start(node, 1);
        }
        sim
    }

    pub fn start(&mut self, node: usize, generation: u64) {
        let settings = Settings::with_defaults(
            &format!("n{node}"),
            generation,
            address(node),
            vec![address(0), address(1)],
        );
        let seed = self.rng.rand_u64();
        self.nodes[node].swim = Some(Swim::new(settings, seed, self.now));
        self.nodes[node].stopped = false;
        self.nodes[node].pending.clear();
        self.flush(node);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].swim = None;
    }

    pub fn leave(&mut self, node: usize) {
        if let Some(swim) = &mut self.nodes[node].swim {
            swim.leave();
        }
        self.flush(node);
        self.nodes[node].swim = None;
    }

    pub fn stop(&mut self, node: usize) {
        self.nodes[node].stopped = true;
    }

    /// Continues a stopped process.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].stopped = false;
        let now = self.now;
        // Overdue timers run before the waiting datagrams, as in an event loop that wakes up late and then reads its socket.
        if let Some(swim) = &mut self.nodes[node].swim {
            swim.on_timer(now);
        }
        for bytes in std::mem::take(&mut self.nodes[node].pending) {
            if let Some(swim) = &mut self.nodes[node].swim {
                swim.handle_datagram(now, &bytes);
            }
        }
        self.flush(node);
    }

    pub fn set_side(&mut self, node: usize, side: u32) {
        self.nodes[node].side = side;
    }

    pub fn member(&self, node: usize) -> Option<&Swim> {
        self.nodes[node].swim.as_ref()
    }

    /// Delivers bytes that no simulated member sent.
    pub fn inject(&mut self, node: usize, bytes: &[u8]) {
        let now = self.now;
        if let Some(swim) = &mut self.nodes[node].swim {
            swim.handle_datagram(now, bytes);
        }
        self.flush(node);
    }

    fn flush(&mut self, node: usize) {
        let Some(swim) = &mut self.nodes[node].swim else { return };
        let out = swim.take_outgoing();
        for change in swim.take_changes() {
            self.observed.push((self.now, node, change));
        }
        let due = swim.due();
        self.timers.push(Reverse((nanos(due.max(self.now + 1e-6)), node)));
        for (to, bytes) in out {
            self.bytes += bytes.len() as u64;
            let Some(to) = node_of(to).filter(|n| *n < self.nodes.len()) else { continue };
            let cut = (self.cut)(self.nodes[node].side, self.nodes[to].side);
            if cut || self.rng.rand_float() < self.loss {
                continue;
            }
            self.sequence += 1;
            let time = self.now + self.delay.0 + self.delay.1 * self.rng.rand_float();
            self.in_flight.push(Reverse((nanos(time), self.sequence, to, bytes)));
        }
    }

    pub fn advance(&mut self, seconds: f64) {
        let until = self.now + seconds;
        loop {
            let in_flight = self.in_flight.peek().map_or(u64::MAX, |Reverse((time, ..))| *time);
            let timer = self.timers.peek().map_or(u64::MAX, |Reverse((time, _))| *time);
            let time = in_flight.min(timer);
            if time > nanos(until) {
                self.now = until;
                return;
            }
            self.now = self.now.max(time as f64 / 1e9);
            let now = self.now;
            if in_flight <= timer {
                let Some(Reverse((_, _, to, bytes))) = self.in_flight.pop() else { continue };
                let node = &mut self.nodes[to];
                if node.stopped {
                    node.pending.push(bytes);
                    continue;
                }
                let Some(swim) = &mut node.swim else { continue };
                swim.handle_datagram(now, &bytes);
                self.flush(to);
            } else {
                let Some(Reverse((_, node))) = self.timers.pop() else { continue };
                let n = &mut self.nodes[node];
                if n.stopped {
                    continue;
                }
                let Some(swim) = &mut n.swim else { continue };
                // A stale timer, set before the member's next deadline moved.
                if swim.due() > now + 1e-6 {
                    continue;
                }
                swim.on_timer(now);
                self.flush(node);
            }
        }
    }

    /// Whether every running member considers exactly the running members live.
    pub fn agreed(&self) -> bool {
        let running: Vec<&Swim> = self.nodes.iter().filter_map(|n| n.swim.as_ref()).collect();
        running.iter().all(|s| s.count() == running.len() && s.digest() == running[0].digest())
    }

    /// Advances until all agree for one second. Returns the seconds until that agreement began, or `None` after `timeout` seconds.
    pub fn until_agreed(&mut self, timeout: f64) -> Option<f64> {
        let began = self.now;
        let mut since = None;
        while self.now < began + timeout {
            self.advance(0.05);
            since = self.agreed().then(|| since.unwrap_or(self.now));
            if since.is_some_and(|since: f64| self.now >= since + 1.0) {
                return since.map(|s| s - began);
            }
        }
        None
    }

    /// Times at which the other members declared this node dead.
    pub fn deaths_of(&self, node: usize) -> Vec<f64> {
        let name = format!("n{node}");
        let died = |c: &Change| matches!(c, Change::Died(id) if id.name == name);
        self.observed.iter().filter(|(_, _, c)| died(c)).map(|(t, ..)| *t).collect()
    }
}

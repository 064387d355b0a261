//! Many members in virtual time: a network that loses, delays and cuts, and what they believe of each other. For tests, for
//! measurements and for whoever wants to know what terms do at their size.
use crate::swim::{Change, Swim, Terms};
use oorandom::Rand64;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

/// When it arrives, in which order it was sent, at whom, and its bytes.
type Sent = (u64, u64, usize, Vec<u8>);

struct Node {
    swim: Option<Swim>,
    /// Stands still: what comes waits.
    stopped: bool,
    waits: Vec<Vec<u8>>,
    side: u32,
}

pub struct Sim {
    nodes: Vec<Node>,
    way: BinaryHeap<Reverse<Sent>>,
    wakes: BinaryHeap<Reverse<(u64, usize)>>,
    chance: Rand64,
    pub now: f64,
    pub loss: f64,
    /// Seconds on the way: the least, and by how much more at the most.
    pub delay: (f64, f64),
    /// Datagrams from one side to another are lost, where it says so.
    pub cut: fn(u32, u32) -> bool,
    sequence: u64,
    /// Who saw what when.
    pub seen: Vec<(f64, usize, Change)>,
    pub bytes: u64,
}

fn never(_: u32, _: u32) -> bool {
    false
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 9, (n / 250) as u8, (n % 250) as u8 + 1], 7400))
}

/// Whose address it is.
fn numbered(at: SocketAddr) -> Option<usize> {
    match at.ip() {
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
    /// So many members that all know the first as their seed.
    pub fn new(n: usize, seed: u64) -> Sim {
        let mut sim = Sim {
            nodes: Vec::new(),
            way: BinaryHeap::new(),
            wakes: BinaryHeap::new(),
            chance: Rand64::new(u128::from(seed)),
            now: 1000.0,
            loss: 0.0,
            delay: (0.0005, 0.001),
            cut: never,
            sequence: 0,
            seen: Vec::new(),
            bytes: 0,
        };
        for node in 0..n {
            sim.nodes.push(Node { swim: None, stopped: false, waits: Vec::new(), side: 0 });
            sim.start(node, 1);
        }
        sim
    }

    pub fn start(&mut self, node: usize, life: u64) {
        let terms = Terms::usual(&format!("n{node}"), life, address(node), vec![address(0), address(1)]);
        let seed = self.chance.rand_u64();
        self.nodes[node].swim = Some(Swim::new(terms, seed, self.now));
        self.nodes[node].stopped = false;
        self.nodes[node].waits.clear();
        self.settle(node);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].swim = None;
    }

    pub fn leave(&mut self, node: usize) {
        if let Some(swim) = &mut self.nodes[node].swim {
            swim.leave();
        }
        self.settle(node);
        self.nodes[node].swim = None;
    }

    pub fn stop(&mut self, node: usize) {
        self.nodes[node].stopped = true;
    }

    /// It goes on as if nothing had been.
    pub fn go_on(&mut self, node: usize) {
        self.nodes[node].stopped = false;
        let now = self.now;
        // Its timers are due first, as behind sockets: the loop wakes late and reads what has come.
        if let Some(swim) = &mut self.nodes[node].swim {
            swim.woken(now);
        }
        for bytes in std::mem::take(&mut self.nodes[node].waits) {
            if let Some(swim) = &mut self.nodes[node].swim {
                swim.received(now, &bytes);
            }
        }
        self.settle(node);
    }

    pub fn side(&mut self, node: usize, side: u32) {
        self.nodes[node].side = side;
    }

    pub fn member(&self, node: usize) -> Option<&Swim> {
        self.nodes[node].swim.as_ref()
    }

    /// Bytes that come from nobody of ours.
    pub fn inject(&mut self, node: usize, bytes: &[u8]) {
        let now = self.now;
        if let Some(swim) = &mut self.nodes[node].swim {
            swim.received(now, bytes);
        }
        self.settle(node);
    }

    fn settle(&mut self, node: usize) {
        let Some(swim) = &mut self.nodes[node].swim else { return };
        let out = swim.take_out();
        for change in swim.take_changes() {
            self.seen.push((self.now, node, change));
        }
        let due = swim.due();
        self.wakes.push(Reverse((nanos(due.max(self.now + 1e-6)), node)));
        for (to, bytes) in out {
            self.bytes += bytes.len() as u64;
            let Some(to) = numbered(to).filter(|n| *n < self.nodes.len()) else { continue };
            let cut = (self.cut)(self.nodes[node].side, self.nodes[to].side);
            if cut || self.chance.rand_float() < self.loss {
                continue;
            }
            self.sequence += 1;
            let at = self.now + self.delay.0 + self.delay.1 * self.chance.rand_float();
            self.way.push(Reverse((nanos(at), self.sequence, to, bytes)));
        }
    }

    pub fn play(&mut self, seconds: f64) {
        let until = self.now + seconds;
        loop {
            let way = self.way.peek().map_or(u64::MAX, |Reverse((at, ..))| *at);
            let wake = self.wakes.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
            let at = way.min(wake);
            if at > nanos(until) {
                self.now = until;
                return;
            }
            self.now = self.now.max(at as f64 / 1e9);
            let now = self.now;
            if way <= wake {
                let Some(Reverse((_, _, to, bytes))) = self.way.pop() else { continue };
                let node = &mut self.nodes[to];
                if node.stopped {
                    node.waits.push(bytes);
                    continue;
                }
                let Some(swim) = &mut node.swim else { continue };
                swim.received(now, &bytes);
                self.settle(to);
            } else {
                let Some(Reverse((_, node))) = self.wakes.pop() else { continue };
                let n = &mut self.nodes[node];
                if n.stopped {
                    continue;
                }
                let Some(swim) = &mut n.swim else { continue };
                // One that was armed for an earlier due of the same member.
                if swim.due() > now + 1e-6 {
                    continue;
                }
                swim.woken(now);
                self.settle(node);
            }
        }
    }

    /// Whether all that run hold just each other for there.
    pub fn agreed(&self) -> bool {
        let running: Vec<&Swim> = self.nodes.iter().filter_map(|n| n.swim.as_ref()).collect();
        running.iter().all(|s| s.count() == running.len() && s.digest() == running[0].digest())
    }

    /// Seconds until they agree, and stay so for a second; `None` where not within `most`.
    pub fn until_agreed(&mut self, most: f64) -> Option<f64> {
        let began = self.now;
        let mut since = None;
        while self.now < began + most {
            self.play(0.05);
            since = self.agreed().then(|| since.unwrap_or(self.now));
            if since.is_some_and(|since: f64| self.now >= since + 1.0) {
                return since.map(|s| s - began);
            }
        }
        None
    }

    /// When each of the others saw this one die.
    pub fn deaths_of(&self, node: usize) -> Vec<f64> {
        let name = format!("n{node}");
        let died = |c: &Change| matches!(c, Change::Died(of) if of.name == name);
        self.seen.iter().filter(|(_, _, c)| died(c)).map(|(t, ..)| *t).collect()
    }
}

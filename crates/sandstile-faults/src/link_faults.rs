//! The faults that are active on links. Faults begin and heal; the condition of one direction of a link is
//! the combination of all active faults that affect it.
use crate::endpoints::{Endpoint, EndpointSelector};
use std::collections::BTreeMap;

/// One kind of link fault. Shares are fractions of 1, times are seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkFault {
    /// Nothing gets through and no endpoint is notified. Bytes of a stream arrive after the heal, datagrams
    /// are lost.
    Cut,
    /// Open connections are reset, new ones are closed at once.
    Reset,
    /// The share of datagrams that are lost; segments of a stream arrive late by a retransmission instead.
    Loss(f64),
    Delay {
        delay: f64,
        jitter: f64,
    },
    /// The share of datagrams that are held back behind later ones.
    Reorder(f64),
    Duplicate(f64),
    /// Limits the bandwidth, in bytes per second.
    Rate(f64),
    /// The share of segments or datagrams in which one byte is changed.
    Corrupt(f64),
}

/// The condition of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCondition {
    pub cut: bool,
    pub reset: bool,
    pub loss: f64,
    pub delay: f64,
    pub jitter: f64,
    pub reorder: f64,
    pub duplicate: f64,
    /// Bytes per second; 0 means unlimited.
    pub rate: f64,
    pub corrupt: f64,
}

impl LinkCondition {
    pub fn is_healthy(&self) -> bool {
        *self == LinkCondition::default()
    }

    fn add(&mut self, link_fault: LinkFault) {
        // The probabilities are independent: a segment is spared only if both faults spare it.
        let either_of = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        match link_fault {
            LinkFault::Cut => self.cut = true,
            LinkFault::Reset => self.reset = true,
            LinkFault::Loss(p) => self.loss = either_of(self.loss, p),
            LinkFault::Delay { delay, jitter } => {
                self.delay += delay;
                self.jitter += jitter;
            }
            LinkFault::Reorder(p) => self.reorder = either_of(self.reorder, p),
            LinkFault::Duplicate(p) => self.duplicate = either_of(self.duplicate, p),
            LinkFault::Rate(rate) if self.rate > 0.0 => self.rate = self.rate.min(rate),
            LinkFault::Rate(rate) => self.rate = rate,
            LinkFault::Corrupt(p) => self.corrupt = either_of(self.corrupt, p),
        }
    }
}

/// The links that a fault affects.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultScope {
    /// The links between two sets of endpoints; with `one_way`, only the direction from `from` to `to`.
    Between { from: EndpointSelector, to: EndpointSelector, one_way: bool },
    /// The links between any two of these sides.
    Sides(Vec<EndpointSelector>),
}

impl FaultScope {
    /// Whether the fault affects traffic from one endpoint to the other.
    pub fn affects(&self, from: &Endpoint, to: &Endpoint) -> bool {
        match self {
            FaultScope::Between { from: first, to: second, one_way } => {
                let forward = first.matches(from) && second.matches(to);
                forward || (!one_way && first.matches(to) && second.matches(from))
            }
            FaultScope::Sides(sides) => {
                let side = |endpoint: &Endpoint| sides.iter().position(|s| s.matches(endpoint));
                match (side(from), side(to)) {
                    (Some(a), Some(b)) => a != b,
                    // An endpoint that is on no side keeps its links to all sides.
                    _ => false,
                }
            }
        }
    }

    /// Whether the fault affects either direction, so that the link has to go through a relay.
    pub fn affects_either_way(&self, one: &Endpoint, other: &Endpoint) -> bool {
        self.affects(one, other) || self.affects(other, one)
    }
}

/// All faults that are active at present.
#[derive(Clone, Debug, Default)]
pub struct ActiveFaults {
    active: BTreeMap<usize, (FaultScope, LinkFault)>,
}

impl ActiveFaults {
    /// Activates a fault under a number that the caller chooses.
    pub fn begin(&mut self, number: usize, scope: FaultScope, link_fault: LinkFault) {
        self.active.insert(number, (scope, link_fault));
    }

    pub fn heal(&mut self, number: usize) {
        self.active.remove(&number);
    }

    /// The combined condition of the direction from one endpoint to the other.
    pub fn condition(&self, from: &Endpoint, to: &Endpoint) -> LinkCondition {
        let mut condition = LinkCondition::default();
        for (scope, link_fault) in self.active.values() {
            if scope.affects(from, to) {
                condition.add(*link_fault);
            }
        }
        condition
    }
}

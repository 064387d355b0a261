//! What stands on links: strikes begin and end, and what holds in one direction of one link at one time is their sum.
use crate::ends::{Endpoint, EndpointSelector};
use std::collections::BTreeMap;

/// One kind of trouble. Shares are of 1, times in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkFault {
    /// Nothing gets through and nobody is told; what a stream carries arrives after the heal, datagrams are lost.
    Cut,
    /// Connections are reset, new ones ended at once.
    Reset,
    /// Datagrams are lost by chance; a stream's pieces come late by a retransmission.
    Loss(f64),
    Delay {
        by: f64,
        jitter: f64,
    },
    /// Datagrams that are held back behind later ones.
    Reorder(f64),
    Duplicate(f64),
    /// Bytes a second.
    Rate(f64),
    /// The share of pieces in which one byte is another.
    Corrupt(f64),
}

/// What holds in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCondition {
    pub cut: bool,
    pub reset: bool,
    pub loss: f64,
    pub delay: f64,
    pub jitter: f64,
    pub reorder: f64,
    pub duplicate: f64,
    /// Bytes a second; 0 for as many as come.
    pub rate: f64,
    pub corrupt: f64,
}

impl LinkCondition {
    pub fn is_healthy(&self) -> bool {
        *self == LinkCondition::default()
    }

    fn add(&mut self, link_fault: LinkFault) {
        // Independent chances: both have to spare it.
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        match link_fault {
            LinkFault::Cut => self.cut = true,
            LinkFault::Reset => self.reset = true,
            LinkFault::Loss(p) => self.loss = either(self.loss, p),
            LinkFault::Delay { by, jitter } => {
                self.delay += by;
                self.jitter += jitter;
            }
            LinkFault::Reorder(p) => self.reorder = either(self.reorder, p),
            LinkFault::Duplicate(p) => self.duplicate = either(self.duplicate, p),
            LinkFault::Rate(rate) if self.rate > 0.0 => self.rate = self.rate.min(rate),
            LinkFault::Rate(rate) => self.rate = rate,
            LinkFault::Corrupt(p) => self.corrupt = either(self.corrupt, p),
        }
    }
}

/// Where a strike falls.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultScope {
    /// Between these and those; `one_way` spares what goes from those to these.
    Between { from: EndpointSelector, to: EndpointSelector, one_way: bool },
    /// Between any two sides.
    Sides(Vec<EndpointSelector>),
}

impl FaultScope {
    /// Whether it touches what goes from one end to the other.
    pub fn affects(&self, from: &Endpoint, to: &Endpoint) -> bool {
        match self {
            FaultScope::Between { from: these, to: those, one_way } => {
                let forth = these.matches(from) && those.matches(to);
                forth || (!one_way && these.matches(to) && those.matches(from))
            }
            FaultScope::Sides(sides) => {
                let side = |end: &Endpoint| sides.iter().position(|s| s.matches(end));
                match (side(from), side(to)) {
                    (Some(a), Some(b)) => a != b,
                    // Whoever is on no side hears all of them.
                    _ => false,
                }
            }
        }
    }

    /// Whether it touches either direction, so that the link has to go over a relay.
    pub fn affects_either_way(&self, one: &Endpoint, other: &Endpoint) -> bool {
        self.affects(one, other) || self.affects(other, one)
    }
}

/// All that stands at present.
#[derive(Clone, Debug, Default)]
pub struct ActiveFaults {
    standing: BTreeMap<usize, (FaultScope, LinkFault)>,
}

impl ActiveFaults {
    /// A strike begins, under a number of the caller's.
    pub fn begin(&mut self, number: usize, at: FaultScope, link_fault: LinkFault) {
        self.standing.insert(number, (at, link_fault));
    }

    pub fn heal(&mut self, number: usize) {
        self.standing.remove(&number);
    }

    /// What holds from one end to the other.
    pub fn condition(&self, from: &Endpoint, to: &Endpoint) -> LinkCondition {
        let mut condition = LinkCondition::default();
        for (at, link_fault) in self.standing.values() {
            if at.affects(from, to) {
                condition.add(*link_fault);
            }
        }
        condition
    }
}

//! What stands on links: strikes begin and end, and what holds in one direction of one link at one time is their sum.
use crate::ends::{End, Pick};
use std::collections::BTreeMap;

/// One kind of trouble. Shares are of 1, times in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Strike {
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
    Spoil(f64),
}

/// What holds in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Weather {
    pub cut: bool,
    pub reset: bool,
    pub loss: f64,
    pub delay: f64,
    pub jitter: f64,
    pub reorder: f64,
    pub duplicate: f64,
    /// Bytes a second; 0 for as many as come.
    pub rate: f64,
    pub spoil: f64,
}

impl Weather {
    pub fn is_fair(&self) -> bool {
        *self == Weather::default()
    }

    fn add(&mut self, strike: Strike) {
        // Independent chances: both have to spare it.
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        match strike {
            Strike::Cut => self.cut = true,
            Strike::Reset => self.reset = true,
            Strike::Loss(p) => self.loss = either(self.loss, p),
            Strike::Delay { by, jitter } => {
                self.delay += by;
                self.jitter += jitter;
            }
            Strike::Reorder(p) => self.reorder = either(self.reorder, p),
            Strike::Duplicate(p) => self.duplicate = either(self.duplicate, p),
            Strike::Rate(rate) if self.rate > 0.0 => self.rate = self.rate.min(rate),
            Strike::Rate(rate) => self.rate = rate,
            Strike::Spoil(p) => self.spoil = either(self.spoil, p),
        }
    }
}

/// Where a strike falls.
#[derive(Clone, Debug, PartialEq)]
pub enum Where {
    /// Between these and those; `one_way` spares what goes from those to these.
    Between { from: Pick, to: Pick, one_way: bool },
    /// Between any two sides.
    Sides(Vec<Pick>),
}

impl Where {
    /// Whether it touches what goes from one end to the other.
    pub fn touches(&self, from: &End, to: &End) -> bool {
        match self {
            Where::Between { from: these, to: those, one_way } => {
                let forth = these.holds(from) && those.holds(to);
                forth || (!one_way && these.holds(to) && those.holds(from))
            }
            Where::Sides(sides) => {
                let side = |end: &End| sides.iter().position(|s| s.holds(end));
                match (side(from), side(to)) {
                    (Some(a), Some(b)) => a != b,
                    // Whoever is on no side hears all of them.
                    _ => false,
                }
            }
        }
    }

    /// Whether it touches either direction, so that the link has to go over a relay.
    pub fn concerns(&self, one: &End, other: &End) -> bool {
        self.touches(one, other) || self.touches(other, one)
    }
}

/// All that stands at present.
#[derive(Clone, Debug, Default)]
pub struct Net {
    standing: BTreeMap<usize, (Where, Strike)>,
}

impl Net {
    /// A strike begins, under a number of the caller's.
    pub fn begin(&mut self, number: usize, at: Where, strike: Strike) {
        self.standing.insert(number, (at, strike));
    }

    pub fn heal(&mut self, number: usize) {
        self.standing.remove(&number);
    }

    /// What holds from one end to the other.
    pub fn weather(&self, from: &End, to: &End) -> Weather {
        let mut weather = Weather::default();
        for (at, strike) in self.standing.values() {
            if at.touches(from, to) {
                weather.add(*strike);
            }
        }
        weather
    }
}

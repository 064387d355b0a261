//! Slow start: what a host that has just started may be sent, from what warm ones complete.
use super::Instance;
use crate::state::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Sends that a cold host may save up.
const MOST_CREDIT: f64 = 2.0;

/// The hosts that have not had their cold time yet.
#[derive(Default)]
pub(super) struct ColdHosts {
    hosts: Vec<usize>,
    /// How many of them may be sent to.
    pub(super) sendable: usize,
    /// When each may be warm, as bits, which sort as the times do.
    warm_at: BinaryHeap<Reverse<(u64, usize)>>,
}

impl Instance {
    /// Its start has been told or found out.
    pub(super) fn becomes_cold(&mut self, index: usize) {
        let warm_at = self.hosts[index].fresh_since + self.cold_duration;
        if warm_at <= self.now {
            return;
        }
        self.cold.warm_at.push(Reverse((warm_at.to_bits(), index)));
        if self.hosts[index].cold_place.is_none() {
            self.hosts[index].cold_place = Some(self.cold.hosts.len());
            self.cold.hosts.push(index);
            self.cold.sendable += usize::from(self.is_counted(index));
        }
    }

    pub(super) fn no_longer_cold(&mut self, index: usize) {
        let Some(place) = self.hosts[index].cold_place.take() else { return };
        self.cold.sendable -= usize::from(self.is_counted(index));
        self.cold.hosts.swap_remove(place);
        if let Some(&moved) = self.cold.hosts.get(place) {
            self.hosts[moved].cold_place = Some(place);
        }
    }

    fn warm_up(&mut self) {
        while let Some(&Reverse((at, index))) = self.cold.warm_at.peek() {
            if f64::from_bits(at) > self.now {
                return;
            }
            self.cold.warm_at.pop();
            if self.share(&self.hosts[index]) >= 1.0 {
                self.no_longer_cold(index);
            }
        }
    }

    /// A completion at a warm host earns the cold ones their share of the sends to a warm one. Sends would
    /// not do, for refused ones multiply; nor the group's alone, whose one warm host may be jammed.
    pub(super) fn earn(&mut self, index: usize) {
        self.warm_up();
        if self.cold.hosts.is_empty() {
            return;
        }
        let warm = self.sendable - self.cold.sendable;
        if warm == 0 {
            // All came back at once: what a cold host completes is all that tells what it bears.
            self.credit(index);
        }
        if self.share(&self.hosts[index]) < 1.0 || warm == 0 {
            return;
        }
        // Whole sends by chance: saved up in parts, none of hundreds of routers has one in the cold time. Each cold
        // host earns by `chance` times its share; those that `chance` alone passes over are not looked at.
        let gain = self.cold_ease / warm as f64;
        let chance = gain.min(1.0);
        let mut place = self.passed_over(chance);
        while let Some(&cold) = self.cold.hosts.get(place) {
            if f64::from(self.chance.0.rand_float()) < self.share(&self.hosts[cold]) * gain / chance {
                self.credit(cold);
            }
            place = place.saturating_add(1).saturating_add(self.passed_over(chance));
        }
    }

    /// How many trials of this chance fail before the next that does not.
    fn passed_over(&mut self, chance: f64) -> usize {
        if chance >= 1.0 {
            return 0;
        }
        let drawn = 1.0 - f64::from(self.chance.0.rand_float());
        (drawn.ln() / (1.0 - chance).ln()) as usize
    }

    fn credit(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.credit = (host.credit + 1.0).min(MOST_CREDIT);
    }

    /// The share of its capacity that a host may be taken to have; the list tells its start.
    pub(super) fn share(&self, h: &Host) -> f64 {
        let age = (self.now - h.fresh_since) / self.cold_duration;
        (self.terms.cold_initial_share + (1.0 - self.terms.cold_initial_share) * age).clamp(0.0, 1.0)
    }
}

//! Slow start: limits sends to a recently started host, in proportion to what warm hosts complete.
use super::Instance;
use crate::state::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Sends that a cold host can save up.
const MAX_CREDIT: f64 = 2.0;

/// The hosts that started recently and are still cold.
#[derive(Default)]
pub(super) struct ColdHosts {
    hosts: Vec<usize>,
    /// How many of them may be sent to.
    pub(super) sendable_count: usize,
    /// When each becomes warm, as the bits of the time, which sort in the order of its value.
    warm_at: BinaryHeap<Reverse<(u64, usize)>>,
}

impl Instance {
    /// Called when a host's start was listed or detected.
    pub(super) fn mark_cold(&mut self, index: usize) {
        let warm_at = self.hosts[index].started_at + self.cold_duration;
        if warm_at <= self.now {
            return;
        }
        self.hosts[index].marked_cold_at = self.now;
        self.cold_hosts.warm_at.push(Reverse((warm_at.to_bits(), index)));
        if self.hosts[index].cold_index.is_none() {
            self.hosts[index].cold_index = Some(self.cold_hosts.hosts.len());
            self.cold_hosts.hosts.push(index);
            self.cold_hosts.sendable_count += usize::from(self.counts_as_sendable(index));
        }
    }

    pub(super) fn remove_cold(&mut self, index: usize) {
        let Some(position) = self.hosts[index].cold_index.take() else { return };
        self.cold_hosts.sendable_count -= usize::from(self.counts_as_sendable(index));
        self.cold_hosts.hosts.swap_remove(position);
        if let Some(&moved) = self.cold_hosts.hosts.get(position) {
            self.hosts[moved].cold_index = Some(position);
        }
    }

    fn remove_warmed_hosts(&mut self) {
        while let Some(&Reverse((at, index))) = self.cold_hosts.warm_at.peek() {
            if f64::from_bits(at) > self.now {
                return;
            }
            self.cold_hosts.warm_at.pop();
            if self.capacity_share(&self.hosts[index]) >= 1.0 {
                self.remove_cold(index);
            }
        }
    }

    /// A completion at a warm host grants each cold host credit for its share of the sends to a warm one.
    /// Credit is not based on sends, since refused statements are sent several times, nor on the group's
    /// completions alone, since its only warm host may be overloaded.
    pub(super) fn grant_credit(&mut self, index: usize) {
        self.remove_warmed_hosts();
        if self.cold_hosts.hosts.is_empty() {
            return;
        }
        let warm_count = self.sendable_count - self.cold_hosts.sendable_count;
        if warm_count == 0 {
            // All hosts restarted at once: what a cold host completes is the only evidence of what it can
            // handle.
            self.add_credit(index);
        }
        if self.capacity_share(&self.hosts[index]) < 1.0 || warm_count == 0 {
            return;
        }
        // Credit is drawn at random in whole sends: if it were saved up in fractions, none of hundreds of
        // routers would have a full one within the cold time. Each cold host gains one with `probability`
        // times its capacity share; hosts that `probability` alone skips are not visited.
        let expected_credit = self.cold_headroom / warm_count as f64;
        let probability = expected_credit.min(1.0);
        let mut position = self.skipped_trials(probability);
        while let Some(&cold_host) = self.cold_hosts.hosts.get(position) {
            if f64::from(self.rng.0.rand_float())
                < self.capacity_share(&self.hosts[cold_host]) * expected_credit / probability
            {
                self.add_credit(cold_host);
            }
            position = position.saturating_add(1).saturating_add(self.skipped_trials(probability));
        }
    }

    /// Number of failed Bernoulli trials with this probability before the next success.
    fn skipped_trials(&mut self, probability: f64) -> usize {
        if probability >= 1.0 {
            return 0;
        }
        let drawn = 1.0 - f64::from(self.rng.0.rand_float());
        (drawn.ln() / (1.0 - probability).ln()) as usize
    }

    fn add_credit(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.credit = (host.credit + 1.0).min(MAX_CREDIT);
    }

    /// The share of its full capacity that a host is assumed to have, from the start time in the list.
    pub(super) fn capacity_share(&self, host: &Host) -> f64 {
        let age = (self.now - host.started_at) / self.cold_duration;
        (self.terms.cold_initial_share + (1.0 - self.terms.cold_initial_share) * age).clamp(0.0, 1.0)
    }
}

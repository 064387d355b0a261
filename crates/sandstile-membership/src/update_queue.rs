//! Queue of member updates to piggyback on outgoing messages. An update is sent as often as it takes to reach every member, the
//! least transmitted ones first. A newer update of a member replaces the queued one.
use crate::wire::{encoded_size, MemberUpdate};
use std::collections::BTreeMap;

/// When the queue is full, the most transmitted update is dropped.
const MAX_QUEUED_UPDATES: usize = 512;

#[derive(Default)]
pub struct UpdateQueue {
    /// By member name, with the number of transmissions so far.
    queued: BTreeMap<String, (u32, MemberUpdate)>,
}

impl UpdateQueue {
    pub fn add(&mut self, update: MemberUpdate) {
        self.queued.insert(update.id.name.clone(), (0, update));
        if self.queued.len() > MAX_QUEUED_UPDATES {
            let most_sent = self
                .queued
                .iter()
                .max_by_key(|(_, (transmissions, _))| *transmissions)
                .map(|(name, _)| name.clone());
            most_sent.map(|name| self.queued.remove(&name));
        }
    }

    /// Returns as many updates as fit into `max_bytes` and counts a transmission of each. An update that has reached
    /// `transmit_limit` is removed.
    pub fn take(&mut self, max_bytes: usize, transmit_limit: u32) -> Vec<MemberUpdate> {
        let mut by_transmissions: Vec<(u32, String)> =
            self.queued.iter().map(|(name, (transmissions, _))| (*transmissions, name.clone())).collect();
        by_transmissions.sort();
        let (mut batch, mut used_bytes) = (Vec::new(), 0);
        for (_, name) in by_transmissions {
            let Some((transmissions, update)) = self.queued.get_mut(&name) else { continue };
            if used_bytes + encoded_size(update) > max_bytes {
                break;
            }
            used_bytes += encoded_size(update);
            *transmissions += 1;
            batch.push(update.clone());
            if *transmissions >= transmit_limit {
                self.queued.remove(&name);
            }
        }
        batch
    }

    pub fn queued_count(&self) -> usize {
        self.queued.len()
    }
}

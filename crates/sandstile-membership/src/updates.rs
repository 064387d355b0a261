//! Rumours on their way: each rides on so many messages as reach everybody, those told least first. One of a member takes the
//! place of the older one of the same member.
use crate::wire::{size, Rumour};
use std::collections::BTreeMap;

/// Rumours kept at the most; those told most often go first.
const MOST: usize = 512;

#[derive(Default)]
pub struct Rumours {
    /// By the name of whom they are, with how often each was told.
    told: BTreeMap<String, (u32, Rumour)>,
}

impl Rumours {
    pub fn add(&mut self, rumour: Rumour) {
        self.told.insert(rumour.of.name.clone(), (0, rumour));
        if self.told.len() > MOST {
            let most = self.told.iter().max_by_key(|(_, (times, _))| *times).map(|(name, _)| name.clone());
            most.map(|name| self.told.remove(&name));
        }
    }

    /// As many as fit, each counted as told; those that `often` have told it are let go.
    pub fn take(&mut self, room: usize, often: u32) -> Vec<Rumour> {
        let mut order: Vec<(u32, String)> =
            self.told.iter().map(|(name, (times, _))| (*times, name.clone())).collect();
        order.sort();
        let (mut out, mut used) = (Vec::new(), 0);
        for (_, name) in order {
            let Some((times, rumour)) = self.told.get_mut(&name) else { continue };
            if used + size(rumour) > room {
                break;
            }
            used += size(rumour);
            *times += 1;
            out.push(rumour.clone());
            if *times >= often {
                self.told.remove(&name);
            }
        }
        out
    }

    pub fn held(&self) -> usize {
        self.told.len()
    }
}

//! The list of database hosts, merged from whole lists and from changes.
use crate::interner::Interner;
use sandstile_policy::terms::{ListedHost, Readiness};
use std::collections::{BTreeMap, BTreeSet};

/// One entry as discovery words it; `since` on the clock of the decisions, 0 for long ago.
#[derive(Clone, Debug, PartialEq)]
pub struct HostEntry {
    pub host: String,
    pub group: String,
    pub zone: String,
    pub primary: bool,
    pub since: f64,
    pub readiness: Readiness,
}

/// The list as it stands. A change costs what it brings, however many hosts and groups there are.
#[derive(Default)]
pub struct HostList {
    zones: Interner,
    members: BTreeMap<String, ListedHost>,
    /// Those that have left the list and are still known.
    gone: BTreeSet<String>,
    /// How many known hosts each group has.
    sizes: BTreeMap<usize, usize>,
    /// Groups that have lost their last host.
    empty_groups: BTreeSet<usize>,
}

impl HostList {
    /// Drops those that are gone and that `forgotten` lets go of, and yields their names and indices.
    pub fn drop_gone(&mut self, mut forgotten: impl FnMut(usize) -> bool) -> Vec<(String, usize)> {
        let mut dropped = Vec::new();
        for name in std::mem::take(&mut self.gone) {
            let Some(member) = self.members.get(&name) else { continue };
            let (host, group) = (member.host, member.group);
            if !forgotten(host) {
                self.gone.insert(name);
                continue;
            }
            self.members.remove(&name);
            self.leave(group);
            dropped.push((name, host));
        }
        dropped
    }

    /// Drops the groups without hosts that `forgotten` lets go of, and yields them.
    pub fn drop_empty_groups(&mut self, mut forgotten: impl FnMut(usize) -> bool) -> Vec<usize> {
        let dropped: Vec<usize> =
            self.empty_groups.iter().copied().filter(|group| forgotten(*group)).collect();
        for group in &dropped {
            self.empty_groups.remove(group);
        }
        dropped
    }

    fn join(&mut self, group: usize) {
        *self.sizes.entry(group).or_default() += 1;
        self.empty_groups.remove(&group);
    }

    fn leave(&mut self, group: usize) {
        let Some(size) = self.sizes.get_mut(&group) else { return };
        *size -= 1;
        if *size == 0 {
            self.sizes.remove(&group);
            self.empty_groups.insert(group);
        }
    }

    /// The members that are new or have changed, sorted by host id, as the decisions want them. What a whole list leaves out is gone, and
    /// stays known until dropped.
    pub fn merge(
        &mut self,
        whole: bool,
        entries: &[HostEntry],
        hosts: &mut Interner,
        groups: &mut Interner,
    ) -> Vec<ListedHost> {
        let mut changed = BTreeMap::new();
        if whole {
            let told: BTreeSet<&str> = entries.iter().map(|entry| entry.host.as_str()).collect();
            let left = self.members.iter().filter(|(name, _)| !told.contains(name.as_str()));
            let left = left
                .map(|(name, member)| (name, ListedHost { readiness: Readiness::Gone, ..member.clone() }));
            changed.extend(left.map(|(name, member)| (name.clone(), member)));
        }
        for entry in entries {
            let member = ListedHost {
                host: hosts.intern(&entry.host),
                group: groups.intern(&entry.group),
                zone: self.zones.intern(&entry.zone),
                primary: entry.primary,
                since: entry.since,
                readiness: entry.readiness,
            };
            changed.insert(entry.host.clone(), member);
        }
        changed.retain(|name, member| self.members.get(name) != Some(member));
        for (name, member) in &changed {
            self.put(name, member);
        }
        changed.into_values().collect()
    }

    fn put(&mut self, name: &str, member: &ListedHost) {
        match member.readiness {
            Readiness::Gone => self.gone.insert(name.to_string()),
            _ => self.gone.remove(name),
        };
        let former = self.members.insert(name.to_string(), member.clone()).map(|former| former.group);
        if former == Some(member.group) {
            return;
        }
        if let Some(former) = former {
            self.leave(former);
        }
        self.join(member.group);
    }
}

/// `None` where discovery uses a word that nobody has agreed on.
pub fn readiness(word: &str) -> Option<Readiness> {
    match word {
        "active" => Some(Readiness::Active),
        "leaving" => Some(Readiness::Draining),
        "left" => Some(Readiness::Gone),
        _ => None,
    }
}

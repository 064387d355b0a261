//! The list of database hosts, merged from complete lists and from changes.
use crate::interner::Interner;
use sandstile_policy::terms::{ListedHost, Readiness};
use std::collections::{BTreeMap, BTreeSet};

/// One list entry as received from discovery; `since` is the host's start on the clock of the decisions, 0
/// for long ago.
#[derive(Clone, Debug, PartialEq)]
pub struct HostEntry {
    pub host: String,
    pub group: String,
    pub zone: String,
    pub primary: bool,
    pub since: f64,
    pub readiness: Readiness,
}

/// The current list. The cost of a change depends on its size only, not on the number of hosts and groups.
#[derive(Default)]
pub struct HostList {
    zones: Interner,
    members: BTreeMap<String, ListedHost>,
    /// Hosts that have left the list and are not forgotten yet.
    gone: BTreeSet<String>,
    /// Number of known hosts per group.
    group_sizes: BTreeMap<usize, usize>,
    /// Groups that have lost their last host.
    empty_groups: BTreeSet<usize>,
}

impl HostList {
    /// Drops the hosts that have left the list and for which `try_forget` returns `true`; returns their names
    /// and indices.
    pub fn drop_gone(&mut self, mut try_forget: impl FnMut(usize) -> bool) -> Vec<(String, usize)> {
        let mut dropped = Vec::new();
        for name in std::mem::take(&mut self.gone) {
            let Some(member) = self.members.get(&name) else { continue };
            let (host, group) = (member.host, member.group);
            if !try_forget(host) {
                self.gone.insert(name);
                continue;
            }
            self.members.remove(&name);
            self.remove_from_group(group);
            dropped.push((name, host));
        }
        dropped
    }

    /// Drops the groups without hosts for which `try_forget` returns `true`; returns their indices.
    pub fn drop_empty_groups(&mut self, mut try_forget: impl FnMut(usize) -> bool) -> Vec<usize> {
        let dropped: Vec<usize> =
            self.empty_groups.iter().copied().filter(|group| try_forget(*group)).collect();
        for group in &dropped {
            self.empty_groups.remove(group);
        }
        dropped
    }

    fn add_to_group(&mut self, group: usize) {
        *self.group_sizes.entry(group).or_default() += 1;
        self.empty_groups.remove(&group);
    }

    fn remove_from_group(&mut self, group: usize) {
        let Some(size) = self.group_sizes.get_mut(&group) else { return };
        *size -= 1;
        if *size == 0 {
            self.group_sizes.remove(&group);
            self.empty_groups.insert(group);
        }
    }

    /// Merges entries and returns the hosts that are new or have changed, sorted by host index, as the
    /// decisions expect them. A host that a complete list leaves out is gone, but remains known until it is
    /// dropped.
    pub fn merge(
        &mut self,
        whole: bool,
        entries: &[HostEntry],
        hosts: &mut Interner,
        groups: &mut Interner,
    ) -> Vec<ListedHost> {
        let mut changed = BTreeMap::new();
        if whole {
            let listed_names: BTreeSet<&str> = entries.iter().map(|entry| entry.host.as_str()).collect();
            let left_hosts = self.members.iter().filter(|(name, _)| !listed_names.contains(name.as_str()));
            let left_hosts = left_hosts
                .map(|(name, member)| (name, ListedHost { readiness: Readiness::Gone, ..member.clone() }));
            changed.extend(left_hosts.map(|(name, member)| (name.clone(), member)));
        }
        for entry in entries {
            let member = ListedHost {
                host: hosts.intern(&entry.host),
                group: groups.intern(&entry.group),
                zone: self.zones.intern(&entry.zone),
                primary: entry.primary,
                started_at: entry.since,
                readiness: entry.readiness,
            };
            changed.insert(entry.host.clone(), member);
        }
        changed.retain(|name, member| self.members.get(name) != Some(member));
        for (name, member) in &changed {
            self.insert_host(name, member);
        }
        changed.into_values().collect()
    }

    fn insert_host(&mut self, name: &str, member: &ListedHost) {
        match member.readiness {
            Readiness::Gone => self.gone.insert(name.to_string()),
            _ => self.gone.remove(name),
        };
        let former = self.members.insert(name.to_string(), member.clone()).map(|former| former.group);
        if former == Some(member.group) {
            return;
        }
        if let Some(former) = former {
            self.remove_from_group(former);
        }
        self.add_to_group(member.group);
    }
}

/// Readiness for a status of discovery; `None` for an unknown status.
pub fn readiness(status: &str) -> Option<Readiness> {
    match status {
        "active" => Some(Readiness::Active),
        "leaving" => Some(Readiness::Draining),
        "left" => Some(Readiness::Gone),
        _ => None,
    }
}

//! The list of database hosts, merged from whole lists and from changes.
use crate::names::Names;
use sandstile_policy::terms::{Member, Readiness};
use std::collections::BTreeMap;

/// One entry as discovery words it; `since` on the clock of the decisions, 0 for long ago.
pub struct Entry {
    pub host: String,
    pub group: String,
    pub zone: String,
    pub primary: bool,
    pub since: f64,
    pub readiness: Readiness,
}

#[derive(Default)]
pub struct List {
    zones: Names,
    members: BTreeMap<String, Member>,
}

impl List {
    /// Drops those that are gone and that `forgotten` lets go of, and yields their names and indices.
    pub fn drop_gone(&mut self, mut forgotten: impl FnMut(usize) -> bool) -> Vec<(String, usize)> {
        let mut dropped = Vec::new();
        self.members.retain(|name, member| {
            let goes = member.readiness == Readiness::Gone && forgotten(member.host);
            if goes {
                dropped.push((name.clone(), member.host));
            }
            !goes
        });
        dropped
    }

    pub fn has_group(&self, group: usize) -> bool {
        self.members.values().any(|member| member.group == group)
    }

    /// What a whole list leaves out is gone, and stays known until dropped. Sorted by host id, as the decisions
    /// want it.
    pub fn merge(
        &mut self,
        whole: bool,
        entries: &[Entry],
        hosts: &mut Names,
        groups: &mut Names,
    ) -> Vec<Member> {
        if whole {
            for member in self.members.values_mut() {
                member.readiness = Readiness::Gone;
            }
        }
        for entry in entries {
            let member = Member {
                host: hosts.of(&entry.host),
                group: groups.of(&entry.group),
                zone: self.zones.of(&entry.zone),
                primary: entry.primary,
                since: entry.since,
                readiness: entry.readiness,
            };
            self.members.insert(entry.host.clone(), member);
        }
        self.members.values().cloned().collect()
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

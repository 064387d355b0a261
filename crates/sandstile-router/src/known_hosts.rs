//! The list as discovery has told it so far. What it tells anew becomes the entries that differ, in pieces that the
//! carrier takes one by one between its clients: a whole list of thousands of hosts is no work of one turn.
use sandstile_deployment::host_list::HostEntry;
use sandstile_dispatcher::HostListUpdate;
use sandstile_policy::terms::Readiness;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Entries of one piece.
const PIECE: usize = 32;

#[derive(Clone, PartialEq)]
struct Told {
    entry: HostEntry,
    address: Option<SocketAddr>,
}

/// What discovery has told, by the names of the hosts.
#[derive(Default)]
pub struct KnownList {
    hosts: BTreeMap<String, Told>,
}

impl KnownList {
    /// What this list changes, in pieces; one without entries where it changes nothing.
    pub fn changes(&mut self, update: HostListUpdate) -> Vec<HostListUpdate> {
        let index = update.index;
        let mut told: BTreeMap<String, Told> = BTreeMap::new();
        for (entry, (name, address)) in update.entries.into_iter().zip(update.addresses) {
            told.insert(name, Told { entry, address });
        }
        if update.is_snapshot {
            let left = self.hosts.iter().filter(|(name, _)| !told.contains_key(*name));
            let left: Vec<(String, Told)> = left.map(|(name, host)| (name.clone(), gone(host))).collect();
            told.extend(left);
        }
        told.retain(|name, host| match self.hosts.get(name) {
            Some(known) => known != host,
            None => host.entry.readiness != Readiness::Gone,
        });
        for (name, host) in &told {
            match host.entry.readiness {
                Readiness::Gone => self.hosts.remove(name),
                _ => self.hosts.insert(name.clone(), host.clone()),
            };
        }
        pieces(index, told.into_values().collect())
    }
}

fn gone(host: &Told) -> Told {
    let entry = HostEntry { readiness: Readiness::Gone, ..host.entry.clone() };
    Told { entry, address: None }
}

fn pieces(index: u64, changed: Vec<Told>) -> Vec<HostListUpdate> {
    let piece = |hosts: &[Told]| HostListUpdate {
        index,
        is_snapshot: false,
        entries: hosts.iter().map(|host| host.entry.clone()).collect(),
        addresses: hosts.iter().map(|host| (host.entry.host.clone(), host.address)).collect(),
    };
    if changed.is_empty() {
        return vec![piece(&[])];
    }
    changed.chunks(PIECE).map(piece).collect()
}

//! The host list as discovery has reported it so far. A new list is reduced to the entries that differ, in chunks
//! that the dispatcher takes one by one between its clients: a whole list of thousands of hosts would take too long
//! for one iteration of the event loop.
use sandstile_deployment::host_list::HostEntry;
use sandstile_dispatcher::HostListUpdate;
use sandstile_policy::terms::Readiness;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Entries per chunk.
const PIECE: usize = 32;

#[derive(Clone, PartialEq)]
struct Told {
    entry: HostEntry,
    address: Option<SocketAddr>,
}

/// The hosts that discovery has listed, by name.
#[derive(Default)]
pub struct KnownList {
    hosts: BTreeMap<String, Told>,
}

impl KnownList {
    /// The changes of this list, in chunks; one chunk without entries where nothing has changed.
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

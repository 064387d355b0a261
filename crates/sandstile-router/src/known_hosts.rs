//! The host list as discovery has reported it so far. A new list is reduced to the entries that differ, in chunks
//! that the dispatcher takes one by one between its clients: a whole list of thousands of hosts would take too long
//! for one iteration of the event loop.
use sandstile_deployment::host_list::HostEntry;
use sandstile_dispatcher::HostListUpdate;
use sandstile_policy::terms::Readiness;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Entries per chunk.
const CHUNK_LEN: usize = 32;

#[derive(Clone, PartialEq)]
struct ListedHost {
    entry: HostEntry,
    address: Option<SocketAddr>,
}

/// The hosts that discovery has listed, by name.
#[derive(Default)]
pub struct KnownHosts {
    hosts: BTreeMap<String, ListedHost>,
}

impl KnownHosts {
    /// The changes of this list, in chunks; one chunk without entries where nothing has changed.
    pub fn changes(&mut self, update: HostListUpdate) -> Vec<HostListUpdate> {
        let index = update.index;
        let mut listed: BTreeMap<String, ListedHost> = BTreeMap::new();
        for (entry, (name, address)) in update.entries.into_iter().zip(update.addresses) {
            listed.insert(name, ListedHost { entry, address });
        }
        if update.is_snapshot {
            let missing = self.hosts.iter().filter(|(name, _)| !listed.contains_key(*name));
            let missing: Vec<(String, ListedHost)> =
                missing.map(|(name, host)| (name.clone(), removed(host))).collect();
            listed.extend(missing);
        }
        listed.retain(|name, host| match self.hosts.get(name) {
            Some(known) => known != host,
            None => host.entry.readiness != Readiness::Gone,
        });
        for (name, host) in &listed {
            match host.entry.readiness {
                Readiness::Gone => self.hosts.remove(name),
                _ => self.hosts.insert(name.clone(), host.clone()),
            };
        }
        chunks_of(index, listed.into_values().collect())
    }
}

fn removed(host: &ListedHost) -> ListedHost {
    let entry = HostEntry { readiness: Readiness::Gone, ..host.entry.clone() };
    ListedHost { entry, address: None }
}

fn chunks_of(index: u64, changed: Vec<ListedHost>) -> Vec<HostListUpdate> {
    let chunk = |hosts: &[ListedHost]| HostListUpdate {
        index,
        is_snapshot: false,
        entries: hosts.iter().map(|host| host.entry.clone()).collect(),
        addresses: hosts.iter().map(|host| (host.entry.host.clone(), host.address)).collect(),
    };
    if changed.is_empty() {
        return vec![chunk(&[])];
    }
    changed.chunks(CHUNK_LEN).map(chunk).collect()
}

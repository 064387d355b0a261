//! Ranks by rendezvous hashing (Thaler, Ravishankar, 1998) with bounded loads (after Mirrokni, Thorup, Zadimoghaddam,
//! 2018): each host orders the members differently, and no member ranks first for many more hosts than the others. A
//! member that joins or leaves does not change the order of the others.
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of hosts that a member ranks first for, as a multiple of its fair share.
const MAX_LOAD_FACTOR: f64 = 1.25;

fn weight(member: &str, host: &str) -> u64 {
    let mut hash = blake3::Hasher::new();
    hash.update(&(member.len() as u64).to_be_bytes());
    hash.update(member.as_bytes());
    hash.update(host.as_bytes());
    let hash = hash.finalize();
    u64::from_be_bytes(std::array::from_fn(|n| hash.as_bytes()[n]))
}

/// The rank of `own_name` among itself and `others` for each of these hosts; 0 is the first. The same members yield
/// the same ranks on every router.
pub fn ranks(own_name: &str, others: &BTreeSet<String>, hosts: &[&str]) -> BTreeMap<String, usize> {
    let mut members: Vec<&str> = others.iter().map(String::as_str).filter(|name| *name != own_name).collect();
    members.push(own_name);
    members.sort_unstable();
    let max_load = (MAX_LOAD_FACTOR * hosts.len() as f64 / members.len() as f64).ceil() as usize;
    let mut load: BTreeMap<&str, usize> = BTreeMap::new();
    let mut sorted: Vec<&str> = hosts.to_vec();
    sorted.sort_unstable();
    sorted.dedup();
    let mut ranks_by_host = BTreeMap::new();
    for host in sorted {
        let mut order: Vec<(u64, &str)> = members.iter().map(|m| (weight(m, host), *m)).collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        let first = order.iter().position(|(_, m)| load.get(m).copied().unwrap_or(0) < max_load).unwrap_or(0);
        let first = order.remove(first);
        *load.entry(first.1).or_default() += 1;
        order.insert(0, first);
        let rank = order.iter().position(|(_, m)| *m == own_name).unwrap_or(0);
        ranks_by_host.insert(host.to_string(), rank);
    }
    ranks_by_host
}

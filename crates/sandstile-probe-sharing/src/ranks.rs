//! Ranks by rendezvous hashing (Thaler, Ravishankar, 1998) with bounded loads (after Mirrokni, Thorup, Zadimoghaddam, 2018): of those that are there
//! each host has an order of its own, and nobody is the first for many more hosts than others are. Whoever comes or goes changes the
//! order of nobody else.
use std::collections::{BTreeMap, BTreeSet};

/// The first of a host has at most so many times its fair part of all hosts.
const LOAD: f64 = 1.25;

fn weight(member: &str, host: &str) -> u64 {
    let mut hash = blake3::Hasher::new();
    hash.update(&(member.len() as u64).to_be_bytes());
    hash.update(member.as_bytes());
    hash.update(host.as_bytes());
    let hash = hash.finalize();
    u64::from_be_bytes(std::array::from_fn(|n| hash.as_bytes()[n]))
}

/// The rank of `own` among itself and `others` for each of these hosts: 0 is the first. The same view yields the same ranks everywhere.
pub fn ranks(own: &str, others: &BTreeSet<String>, hosts: &[&str]) -> BTreeMap<String, usize> {
    let mut members: Vec<&str> = others.iter().map(String::as_str).filter(|n| *n != own).collect();
    members.push(own);
    members.sort_unstable();
    let most = (LOAD * hosts.len() as f64 / members.len() as f64).ceil() as usize;
    let mut load: BTreeMap<&str, usize> = BTreeMap::new();
    let mut sorted: Vec<&str> = hosts.to_vec();
    sorted.sort_unstable();
    sorted.dedup();
    let mut out = BTreeMap::new();
    for host in sorted {
        let mut order: Vec<(u64, &str)> = members.iter().map(|m| (weight(m, host), *m)).collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        let first = order.iter().position(|(_, m)| load.get(m).copied().unwrap_or(0) < most).unwrap_or(0);
        let first = order.remove(first);
        *load.entry(first.1).or_default() += 1;
        order.insert(0, first);
        let rank = order.iter().position(|(_, m)| *m == own).unwrap_or(0);
        out.insert(host.to_string(), rank);
    }
    out
}

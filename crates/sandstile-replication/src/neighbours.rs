//! Selects the peers that a router connects to. In a small fleet these are all peers; in a large one, those at
//! distances of powers of two in the ring of names, in both directions. Each router then has about 2 log n
//! connections, any two are at most log n hops apart, and losing a few does not split the rest.
use std::collections::BTreeSet;

/// With at most this many peers, every router connects to every other.
const FULL_MESH_MAX_PEERS: usize = 8;

/// The members of `live_peers` that `own` connects to. The relation is symmetric if both sides see the same members.
pub fn select_neighbours(own: &str, live_peers: &BTreeSet<String>) -> BTreeSet<String> {
    let mut ring: Vec<&str> = live_peers.iter().map(String::as_str).filter(|name| *name != own).collect();
    if ring.len() <= FULL_MESH_MAX_PEERS {
        return ring.into_iter().map(str::to_string).collect();
    }
    let own_index = ring.partition_point(|name| *name < own);
    ring.insert(own_index, own);
    let ring_size = ring.len();
    let mut neighbours = BTreeSet::new();
    let mut distance = 1;
    while distance < ring_size {
        for other in [(own_index + distance) % ring_size, (own_index + ring_size - distance) % ring_size] {
            if other != own_index {
                neighbours.insert(ring[other].to_string());
            }
        }
        distance *= 2;
    }
    neighbours
}

//! Whom a router keeps links with. All of few; of many those at distances of powers of two in the ring of names, to either side: so
//! each has some 2 log n links, any two are log n steps apart, and the loss of any few parts nobody from the others.
use std::collections::BTreeSet;

/// Up to so many others, each is linked with all.
const FEW: usize = 8;

/// Those of `there` that `own` is linked with. Whoever is on the list has `own` on its own, where both see the same.
pub fn select_neighbours(own: &str, there: &BTreeSet<String>) -> BTreeSet<String> {
    let mut ring: Vec<&str> = there.iter().map(String::as_str).filter(|n| *n != own).collect();
    if ring.len() <= FEW {
        return ring.into_iter().map(str::to_string).collect();
    }
    let at = ring.partition_point(|name| *name < own);
    ring.insert(at, own);
    let n = ring.len();
    let mut out = BTreeSet::new();
    let mut step = 1;
    while step < n {
        for other in [(at + step) % n, (at + n - step) % n] {
            if other != at {
                out.insert(ring[other].to_string());
            }
        }
        step *= 2;
    }
    out
}

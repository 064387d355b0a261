//! Measures the cost of finding the differences between two copies and prints one table:
//! `cargo run --release -p sandstile-replicated-state --example compare_copies`
//!
//! Bytes are counted in both directions. Except in the column *all*, the differing facts themselves are left out,
//! because every method sends the same ones. Time is that of both sides on one core. The tree's sums are maintained
//! as facts change, so their cost is not included; sketches are built anew, because their size depends on the number
//! of differences.
mod sketch;

use oorandom::Rand64;

use sandstile_replicated_state::tree::{leaf_index, HashTree, FANOUT, LEVELS};
use sketch::Sketch;
use std::collections::BTreeMap;
use std::time::Instant;

/// Encoded size of a fact with a mark of one term.
const FACT_BYTES: usize = 60;

struct Copy {
    tree: HashTree,
    leaves: BTreeMap<usize, Vec<(u64, u64)>>,
    items: Vec<u64>,
}

fn build_copy(facts: &[(u64, u64)]) -> Copy {
    let (mut tree, mut leaves) = (HashTree::default(), BTreeMap::<usize, Vec<(u64, u64)>>::new());
    for (key, value) in facts {
        tree.update(*key, 0, *value);
        leaves.entry(leaf_index(*key)).or_default().push((*key, *value));
    }
    Copy { tree, leaves, items: facts.iter().map(|(key, value)| key ^ value).collect() }
}

/// Returns the number of messages, bytes, and differing keys found.
fn by_tree(a: &Copy, b: &Copy) -> (usize, usize, usize) {
    let (mut messages, mut bytes, mut found) = (1, 9, 0);
    let mut nodes = vec![0];
    for level in 0..LEVELS {
        messages += 1;
        bytes += nodes.len() * (6 + FANOUT * 8);
        let differing_children = |n: &usize| {
            let (sums_a, sums_b) = (a.tree.children(level, *n).unwrap(), b.tree.children(level, *n).unwrap());
            (0..FANOUT).filter(|c| sums_a[*c] != sums_b[*c]).map(|c| n * FANOUT + c).collect::<Vec<_>>()
        };
        nodes = nodes.iter().flat_map(differing_children).collect();
    }
    messages += 1;
    for n in nodes {
        let none = Vec::new();
        let (mine, theirs) = (a.leaves.get(&n).unwrap_or(&none), b.leaves.get(&n).unwrap_or(&none));
        bytes += 7 + mine.len() * 16;
        let missing = mine.iter().filter(|entry| !theirs.contains(entry)).count();
        bytes += missing * 8;
        found += missing;
    }
    (messages, bytes, found)
}

/// Doubles the size of the sketch until it decodes completely.
fn by_sketch(a: &Copy, b: &Copy) -> (usize, usize, usize) {
    let (mut messages, mut bytes, mut cells) = (0, 0, 48);
    loop {
        let build_sketch = |copy: &Copy| {
            let mut sketch = Sketch::new(cells);
            copy.items.iter().for_each(|item| sketch.add(*item));
            sketch
        };
        let (sketch_a, sketch_b) = (build_sketch(a), build_sketch(b));
        messages += 1;
        bytes += sketch_a.bytes();
        if let Some((mine, _)) = sketch_a.difference(&sketch_b) {
            return (messages, bytes + mine.len() * 8, mine.len());
        }
        cells *= 2;
    }
}

fn main() {
    println!("| facts | differ | all, bytes | tree: messages | bytes | ms | sketch: messages | bytes | ms |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut rng = Rand64::new(1);
    for n in [1_000, 100_000, 1_000_000] {
        for differ in [1, 100, 10_000] {
            if differ > n {
                continue;
            }
            let mut facts: Vec<(u64, u64)> = (0..n).map(|_| (rng.rand_u64(), rng.rand_u64())).collect();
            let a = build_copy(&facts);
            for fact in facts.iter_mut().take(differ) {
                fact.1 = rng.rand_u64();
            }
            let b = build_copy(&facts);
            let started = Instant::now();
            let (messages, bytes, found) = by_tree(&a, &b);
            let tree_ms = started.elapsed().as_secs_f64() * 1e3;
            assert_eq!(found, differ);
            let started = Instant::now();
            let (sketch_rounds, sketch_bytes, sketch_found) = by_sketch(&a, &b);
            let sketch_ms = started.elapsed().as_secs_f64() * 1e3;
            assert_eq!(sketch_found, differ);
            println!(
                "| {n} | {differ} | {} | {messages} | {bytes} | {tree_ms:.2} | {sketch_rounds} | {sketch_bytes} | {sketch_ms:.2} |",
                n * FACT_BYTES
            );
        }
    }
}

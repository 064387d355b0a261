//! What it costs to find what differs between two copies, one table:
//! `cargo run --release -p sandstile-replicated-state --example differ`
//!
//! Bytes both ways, the facts that are sent at last left out of all but *all*: they are the same by any way. Time is that of both
//! sides on one core, the keeping of sums as facts change not counted for the tree, for it is done by then; sketches are made anew, as
//! their sizes follow what differs.
mod sketch;

use oorandom::Rand64;

use sandstile_replicated_state::tree::{leaf, Tree, LEVELS, WIDE};
use sketch::Sketch;
use std::collections::BTreeMap;
use std::time::Instant;

/// Bytes of a fact on a wire, a mark with one term.
const FACT: usize = 60;

struct Copy {
    tree: Tree,
    leaves: BTreeMap<usize, Vec<(u64, u64)>>,
    items: Vec<u64>,
}

fn copy(facts: &[(u64, u64)]) -> Copy {
    let (mut tree, mut leaves) = (Tree::default(), BTreeMap::<usize, Vec<(u64, u64)>>::new());
    for (key, value) in facts {
        tree.change(*key, 0, *value);
        leaves.entry(leaf(*key)).or_default().push((*key, *value));
    }
    Copy { tree, leaves, items: facts.iter().map(|(key, value)| key ^ value).collect() }
}

/// Messages each way, bytes, and keys found to differ.
fn by_tree(a: &Copy, b: &Copy) -> (usize, usize, usize) {
    let (mut rounds, mut bytes, mut found) = (1, 9, 0);
    let mut nodes = vec![0];
    for level in 0..LEVELS {
        rounds += 1;
        bytes += nodes.len() * (6 + WIDE * 8);
        let differ = |n: &usize| {
            let (x, y) = (a.tree.children(level, *n).unwrap(), b.tree.children(level, *n).unwrap());
            (0..WIDE).filter(|c| x[*c] != y[*c]).map(|c| n * WIDE + c).collect::<Vec<_>>()
        };
        nodes = nodes.iter().flat_map(differ).collect();
    }
    rounds += 1;
    for n in nodes {
        let none = Vec::new();
        let (mine, theirs) = (a.leaves.get(&n).unwrap_or(&none), b.leaves.get(&n).unwrap_or(&none));
        bytes += 7 + mine.len() * 16;
        let lacking = mine.iter().filter(|one| !theirs.contains(one)).count();
        bytes += lacking * 8;
        found += lacking;
    }
    (rounds, bytes, found)
}

/// Sketches twice as large each time until one tells all.
fn by_sketch(a: &Copy, b: &Copy) -> (usize, usize, usize) {
    let (mut rounds, mut bytes, mut cells) = (0, 0, 48);
    loop {
        let sketch = |copy: &Copy| {
            let mut sketch = Sketch::new(cells);
            copy.items.iter().for_each(|item| sketch.add(*item));
            sketch
        };
        let (one, other) = (sketch(a), sketch(b));
        rounds += 1;
        bytes += one.bytes();
        if let Some((mine, _)) = one.difference(&other) {
            return (rounds, bytes + mine.len() * 8, mine.len());
        }
        cells *= 2;
    }
}

fn main() {
    println!("| facts | differ | all, bytes | tree: messages | bytes | ms | sketch: messages | bytes | ms |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut chance = Rand64::new(1);
    for n in [1_000, 100_000, 1_000_000] {
        for differ in [1, 100, 10_000] {
            if differ > n {
                continue;
            }
            let mut facts: Vec<(u64, u64)> = (0..n).map(|_| (chance.rand_u64(), chance.rand_u64())).collect();
            let a = copy(&facts);
            for fact in facts.iter_mut().take(differ) {
                fact.1 = chance.rand_u64();
            }
            let b = copy(&facts);
            let began = Instant::now();
            let (rounds, bytes, found) = by_tree(&a, &b);
            let tree_ms = began.elapsed().as_secs_f64() * 1e3;
            assert_eq!(found, differ);
            let began = Instant::now();
            let (s_rounds, s_bytes, s_found) = by_sketch(&a, &b);
            let sketch_ms = began.elapsed().as_secs_f64() * 1e3;
            assert_eq!(s_found, differ);
            println!(
                "| {n} | {differ} | {} | {rounds} | {bytes} | {tree_ms:.2} | {s_rounds} | {s_bytes} | {sketch_ms:.2} |",
                n * FACT
            );
        }
    }
}

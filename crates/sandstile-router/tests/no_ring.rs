//! The modules of the router must not depend on one another in a cycle: a cycle would make each change a change of
//! all its modules.
use std::collections::{BTreeMap, BTreeSet};
use std::fs;

/// Modules of the crate that a file refers to by `crate::`.
fn leans_on(text: &str, all: &BTreeSet<String>) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for (at, _) in text.match_indices("crate::") {
        let rest = &text[at + 7..];
        // Handles `use crate::{a, b};` and `crate::a::…` alike.
        let until = if rest.starts_with('{') { rest.find('}').unwrap_or(0) } else { 40.min(rest.len()) };
        let group = rest.starts_with('{');
        let words =
            rest[..until].split(|c: char| !(c.is_alphanumeric() || c == '_')).filter(|w| !w.is_empty());
        let words: Vec<&str> = words.take(if group { usize::MAX } else { 1 }).collect();
        found.extend(words.into_iter().map(str::to_string).filter(|w| all.contains(w)));
    }
    found
}

/// Removes all modules that depend on none of those left, again and again; what remains are cycles and their
/// dependents.
fn ringed(mut graph: BTreeMap<String, BTreeSet<String>>) -> BTreeSet<String> {
    loop {
        let left: BTreeSet<String> = graph.keys().cloned().collect();
        let before = graph.len();
        graph.retain(|_, to| to.iter().any(|t| left.contains(t)));
        if graph.len() == before {
            return left;
        }
    }
}

#[test]
fn no_file_leans_on_one_that_leans_on_it() {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/src");
    let files: Vec<_> = fs::read_dir(dir).unwrap().map(|f| f.unwrap().path()).collect();
    let name = |p: &std::path::PathBuf| p.file_stem().unwrap().to_string_lossy().into_owned();
    let all: BTreeSet<String> = files.iter().map(name).filter(|n| n != "lib" && n != "main").collect();
    assert!(all.len() > 15, "the sources were found");
    let mut graph = BTreeMap::new();
    for file in files.iter().filter(|f| all.contains(&name(f))) {
        let mut to = leans_on(&fs::read_to_string(file).unwrap(), &all);
        to.remove(&name(file));
        graph.insert(name(file), to);
    }
    assert!(graph["event_loop"].contains("hosts"), "what leans on what is read");
    let mut ring = graph.clone();
    ring.get_mut("hosts").unwrap().insert("event_loop".to_string());
    assert!(ringed(ring).contains("hosts"), "a ring is seen");
    assert_eq!(ringed(graph), BTreeSet::new());
}

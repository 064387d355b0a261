//! The modules of the router must not depend on one another in a cycle: a cycle would make each change a change of
//! all its modules.
use std::collections::{BTreeMap, BTreeSet};
use std::fs;

/// Modules of the crate that a file refers to by `crate::`.
fn dependencies_of(text: &str, modules: &BTreeSet<String>) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for (offset, _) in text.match_indices("crate::") {
        let rest = &text[offset + 7..];
        // Handles `use crate::{a, b};` and `crate::a::…` alike.
        let end = if rest.starts_with('{') { rest.find('}').unwrap_or(0) } else { 40.min(rest.len()) };
        let is_group = rest.starts_with('{');
        let names = rest[..end].split(|c: char| !(c.is_alphanumeric() || c == '_')).filter(|w| !w.is_empty());
        let names: Vec<&str> = names.take(if is_group { usize::MAX } else { 1 }).collect();
        found.extend(names.into_iter().map(str::to_string).filter(|w| modules.contains(w)));
    }
    found
}

/// Removes all modules that depend on none of those left, again and again; what remains are cycles and their
/// dependents.
fn modules_in_cycles(mut graph: BTreeMap<String, BTreeSet<String>>) -> BTreeSet<String> {
    loop {
        let remaining: BTreeSet<String> = graph.keys().cloned().collect();
        let size_before = graph.len();
        graph.retain(|_, dependencies| dependencies.iter().any(|dependency| remaining.contains(dependency)));
        if graph.len() == size_before {
            return remaining;
        }
    }
}

#[test]
fn modules_do_not_depend_on_one_another_in_a_cycle() {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/src");
    let files: Vec<_> = fs::read_dir(dir).unwrap().map(|f| f.unwrap().path()).collect();
    let name = |p: &std::path::PathBuf| p.file_stem().unwrap().to_string_lossy().into_owned();
    let modules: BTreeSet<String> = files.iter().map(name).filter(|n| n != "lib" && n != "main").collect();
    assert!(modules.len() > 15, "the sources were found");
    let mut graph = BTreeMap::new();
    for file in files.iter().filter(|f| modules.contains(&name(f))) {
        let mut dependencies = dependencies_of(&fs::read_to_string(file).unwrap(), &modules);
        dependencies.remove(&name(file));
        graph.insert(name(file), dependencies);
    }
    assert!(graph["event_loop"].contains("hosts"), "dependencies are read");
    let mut cyclic = graph.clone();
    cyclic.get_mut("hosts").unwrap().insert("event_loop".to_string());
    assert!(modules_in_cycles(cyclic).contains("hosts"), "a cycle is detected");
    assert_eq!(modules_in_cycles(graph), BTreeSet::new());
}

//! Indices for ids, in the order in which they were first seen.
use std::collections::HashMap;

pub struct Interner {
    index: HashMap<String, usize>,
    names: Vec<String>,
    most: usize,
    next: usize,
    /// Released, to be given anew.
    free: Vec<usize>,
}

impl Default for Interner {
    fn default() -> Self {
        Interner::with_limit(usize::MAX)
    }
}

impl Interner {
    /// Beyond so many names, the one that came first gives its index to the new one.
    pub fn with_limit(most: usize) -> Self {
        Interner { index: HashMap::new(), names: Vec::new(), most, next: 0, free: Vec::new() }
    }

    pub fn intern(&mut self, name: &str) -> usize {
        if let Some(&i) = self.index.get(name) {
            return i;
        }
        let at = self.free.pop().unwrap_or_else(|| {
            self.next += 1;
            (self.next - 1) % self.most
        });
        if at == self.names.len() {
            self.names.push(name.to_string());
        } else {
            let old = std::mem::replace(&mut self.names[at], name.to_string());
            self.index.remove(&old);
        }
        self.index.insert(name.to_string(), at);
        at
    }

    /// Forgets what has left for good; its index goes to a later one. For names without a bound.
    pub fn release(&mut self, name: &str) {
        if let Some(at) = self.index.remove(name) {
            self.names[at].clear();
            self.free.push(at);
        }
    }

    /// As `release`, by index.
    pub fn release_index(&mut self, index: usize) {
        let name = self.names[index].clone();
        if self.find(&name) == Some(index) {
            self.release(&name);
        }
    }

    pub fn find(&self, name: &str) -> Option<usize> {
        self.index.get(name).copied()
    }

    pub fn name(&self, index: usize) -> &str {
        &self.names[index]
    }
}

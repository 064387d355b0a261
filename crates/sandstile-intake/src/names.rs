//! Indices for ids, in the order in which they were first seen.
use std::collections::HashMap;

pub struct Names {
    index: HashMap<String, usize>,
    names: Vec<String>,
    most: usize,
    next: usize,
}

impl Default for Names {
    fn default() -> Self {
        Names::bounded(usize::MAX)
    }
}

impl Names {
    /// Beyond so many names, the one that came first gives its index to the new one.
    pub fn bounded(most: usize) -> Self {
        Names { index: HashMap::new(), names: Vec::new(), most, next: 0 }
    }

    pub fn of(&mut self, name: &str) -> usize {
        if let Some(&i) = self.index.get(name) {
            return i;
        }
        let at = self.next % self.most;
        self.next += 1;
        if at == self.names.len() {
            self.names.push(name.to_string());
        } else {
            let old = std::mem::replace(&mut self.names[at], name.to_string());
            self.index.remove(&old);
        }
        self.index.insert(name.to_string(), at);
        at
    }

    pub fn find(&self, name: &str) -> Option<usize> {
        self.index.get(name).copied()
    }

    pub fn name(&self, index: usize) -> &str {
        &self.names[index]
    }
}

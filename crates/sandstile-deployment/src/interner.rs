//! Maps ids to small indices, in the order of first use.
use std::collections::HashMap;

pub struct Interner {
    index: HashMap<String, usize>,
    names: Vec<String>,
    limit: usize,
    next_index: usize,
    /// Released indices, to be reused.
    free_indices: Vec<usize>,
}

impl Default for Interner {
    fn default() -> Self {
        Interner::with_limit(usize::MAX)
    }
}

impl Interner {
    /// Holds at most `limit` names. Beyond that, a new name takes the index of the oldest one.
    pub fn with_limit(limit: usize) -> Self {
        Interner { index: HashMap::new(), names: Vec::new(), limit, next_index: 0, free_indices: Vec::new() }
    }

    pub fn intern(&mut self, name: &str) -> usize {
        if let Some(&index) = self.index.get(name) {
            return index;
        }
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.next_index += 1;
            (self.next_index - 1) % self.limit
        });
        if index == self.names.len() {
            self.names.push(name.to_string());
        } else {
            let replaced_name = std::mem::replace(&mut self.names[index], name.to_string());
            self.index.remove(&replaced_name);
        }
        self.index.insert(name.to_string(), index);
        index
    }

    /// Removes a name that is no longer needed; its index is reused. Only for interners without a limit.
    pub fn release(&mut self, name: &str) {
        if let Some(index) = self.index.remove(name) {
            self.names[index].clear();
            self.free_indices.push(index);
        }
    }

    /// Like `release`, by index.
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

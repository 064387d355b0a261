//! Maps ids to small indices, in the order of first use. It keeps every name until it is released, so it is not
//! for names that clients choose.
use std::collections::HashMap;

#[derive(Default)]
pub struct Interner {
    index: HashMap<String, usize>,
    names: Vec<String>,
    /// Released indices, to be reused.
    free_indices: Vec<usize>,
}

impl Interner {
    pub fn intern(&mut self, name: &str) -> usize {
        if let Some(&index) = self.index.get(name) {
            return index;
        }
        let index = self.free_indices.pop().unwrap_or(self.names.len());
        if index == self.names.len() {
            self.names.push(name.to_string());
        } else {
            self.names[index] = name.to_string();
        }
        self.index.insert(name.to_string(), index);
        index
    }

    /// Removes a name that is no longer needed; its index is reused.
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

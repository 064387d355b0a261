//! Indices for ids, in the order in which they were first seen.
use std::collections::HashMap;

#[derive(Default)]
pub struct Names {
    index: HashMap<String, usize>,
    names: Vec<String>,
}

impl Names {
    pub fn of(&mut self, name: &str) -> usize {
        if let Some(&i) = self.index.get(name) {
            return i;
        }
        self.names.push(name.to_string());
        self.index.insert(name.to_string(), self.names.len() - 1);
        self.names.len() - 1
    }

    pub fn find(&self, name: &str) -> Option<usize> {
        self.index.get(name).copied()
    }

    pub fn name(&self, index: usize) -> &str {
        &self.names[index]
    }
}

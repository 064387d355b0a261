//! A count-min sketch that stores maxima instead of sums. For each key it returns at least the greatest
//! inserted position: collisions can raise an estimate but never lower it.
use crate::mark::first_u64;

/// The number of rows. Each row roughly halves the chance that an estimate is raised by a collision.
const ROWS: usize = 4;

#[derive(Clone)]
pub struct Sketch {
    /// Milliseconds since `base`, rounded up; 0 marks an empty cell. The rows are stored one after the other.
    cells: Vec<u32>,
    mask: usize,
    /// Milliseconds.
    base: u64,
    nonzero_cells: usize,
}

impl Sketch {
    /// Creates a sketch with `cells` cells per row, rounded up to a power of two. Positions are stored
    /// relative to `base` (in seconds) and cover the 49 days after it.
    pub fn new(cells: usize, base: f64) -> Sketch {
        let cells = cells.clamp(16, 1 << 28).next_power_of_two();
        Sketch { cells: vec![0; cells * ROWS], mask: cells - 1, base: to_millis(base), nonzero_cells: 0 }
    }

    pub fn bytes(&self) -> usize {
        self.cells.len() * 4
    }

    /// The share of cells in use. Near 1, almost every estimate is raised.
    pub fn fill_ratio(&self) -> f64 {
        self.nonzero_cells as f64 / self.cells.len() as f64
    }

    fn cell_indexes(&self, key: u64) -> [usize; ROWS] {
        // Derives all row hashes from the two halves of one hash (Kirsch and Mitzenmacher).
        let mixed = mix(key);
        let (a, b) = (mixed as u32 as usize, (mixed >> 32) as usize | 1);
        let row = self.mask + 1;
        let mut cell_indexes = [0; ROWS];
        for (n, index) in cell_indexes.iter_mut().enumerate() {
            *index = n * row + (a.wrapping_add(n.wrapping_mul(b)) & self.mask);
        }
        cell_indexes
    }

    pub fn insert(&mut self, key: u64, position: f64) {
        // Rounds up, so that an estimate is never below the inserted position. A position before the base is
        // stored as the smallest value; one that is not finite or too large is stored as the largest.
        let position = if position.is_finite() { position.clamp(0.0, 1e12) } else { 1e12 };
        let mut ms = (position * 1000.0).ceil() - self.base as f64;
        while self.to_seconds(ms) < position {
            // Corrects a floating-point result that was rounded down.
            ms += 1.0;
        }
        let ms = ms.clamp(1.0, f64::from(u32::MAX)) as u32;
        for index in self.cell_indexes(key) {
            self.nonzero_cells += usize::from(self.cells[index] == 0);
            self.cells[index] = self.cells[index].max(ms);
        }
    }

    fn to_seconds(&self, ms: f64) -> f64 {
        (self.base as f64 + ms) / 1000.0
    }

    /// Returns at least the greatest position inserted for this key. `None` proves that none was inserted.
    pub fn get(&self, key: u64) -> Option<f64> {
        let minimum = self.cell_indexes(key).into_iter().map(|index| self.cells[index]).min().unwrap_or(0);
        (minimum > 0).then(|| match minimum {
            // The cell is saturated: the position may be arbitrarily large.
            u32::MAX => f64::INFINITY,
            ms => self.to_seconds(f64::from(ms)),
        })
    }

    /// Merges a sketch of the same size and base. Returns `false` and changes nothing if they differ.
    pub fn merge(&mut self, other: &Sketch) -> bool {
        if self.cells.len() != other.cells.len() || self.base != other.base {
            return false;
        }
        for (mine, theirs) in self.cells.iter_mut().zip(&other.cells) {
            self.nonzero_cells += usize::from(*mine == 0 && *theirs > 0);
            *mine = (*mine).max(*theirs);
        }
        true
    }

    pub fn clear(&mut self, base: f64) {
        self.cells.fill(0);
        self.base = to_millis(base);
        self.nonzero_cells = 0;
    }
}

fn to_millis(base: f64) -> u64 {
    (base.max(0.0) * 1000.0) as u64
}

/// Hashes a sequence of strings into a key. Length prefixes keep different sequences from hashing the same
/// bytes.
pub fn hash_parts(parts: &[&str]) -> u64 {
    let mut hash = blake3::Hasher::new();
    for part in parts {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    first_u64(hash.finalize().as_bytes())
}

/// The 64-bit finalizer of MurmurHash3: keys that differ in a few bits differ in about
/// half of all bits afterwards.
fn mix(mut x: u64) -> u64 {
    x ^= x >> 33;
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^= x >> 33;
    x = x.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}

//! A count-min sketch with maxima in place of sums: for every key it yields at least the greatest position that
//! was put in for it. Collisions raise what it says and never lower it.
use crate::mark::first_eight;

/// Rows; each halves, roughly, the chance of being raised.
const ROWS: usize = 4;

#[derive(Clone)]
pub struct Sketch {
    /// Whole milliseconds since `base`, rounded up; 0 for nothing. Rows one after the other.
    cells: Vec<u32>,
    mask: usize,
    /// Whole milliseconds.
    base: u64,
    filled: usize,
}

impl Sketch {
    /// With this many cells in each row, made a power of two. Positions count from `base` on, in seconds, and last
    /// 49 days from there.
    pub fn new(cells: usize, base: f64) -> Sketch {
        let cells = cells.clamp(16, 1 << 28).next_power_of_two();
        Sketch { cells: vec![0; cells * ROWS], mask: cells - 1, base: whole(base), filled: 0 }
    }

    pub fn bytes(&self) -> usize {
        self.cells.len() * 4
    }

    /// The share of cells that hold something: near 1, all that it says is raised.
    pub fn fill(&self) -> f64 {
        self.filled as f64 / self.cells.len() as f64
    }

    fn places(&self, key: u64) -> [usize; ROWS] {
        // Two halves of one hash stand in for as many as there are rows (Kirsch and Mitzenmacher).
        let mixed = mix(key);
        let (a, b) = (mixed as u32 as usize, (mixed >> 32) as usize | 1);
        let row = self.mask + 1;
        let mut places = [0; ROWS];
        for (n, place) in places.iter_mut().enumerate() {
            *place = n * row + (a.wrapping_add(n.wrapping_mul(b)) & self.mask);
        }
        places
    }

    pub fn put(&mut self, key: u64, position: f64) {
        // Rounded up: what is said must never be less than the truth. Before the base is after nothing; what is no
        // number, or beyond all, is as far as can be.
        let position = if position.is_finite() { position.clamp(0.0, 1e12) } else { 1e12 };
        let mut ms = (position * 1000.0).ceil() - self.base as f64;
        while self.position(ms) < position {
            // Floats may have rounded it down on the way.
            ms += 1.0;
        }
        let ms = ms.clamp(1.0, f64::from(u32::MAX)) as u32;
        for place in self.places(key) {
            self.filled += usize::from(self.cells[place] == 0);
            self.cells[place] = self.cells[place].max(ms);
        }
    }

    fn position(&self, ms: f64) -> f64 {
        (self.base as f64 + ms) / 1000.0
    }

    /// At least the greatest position put in for this key; `None` where none ever was.
    pub fn get(&self, key: u64) -> Option<f64> {
        let least = self.places(key).into_iter().map(|place| self.cells[place]).min().unwrap_or(0);
        (least > 0).then(|| match least {
            // Beyond what a cell holds: as far as can be.
            u32::MAX => f64::INFINITY,
            ms => self.position(f64::from(ms)),
        })
    }

    /// Joins another of the same shape; `false` where shapes differ, and nothing is taken.
    pub fn merge(&mut self, other: &Sketch) -> bool {
        if self.cells.len() != other.cells.len() || self.base != other.base {
            return false;
        }
        for (mine, theirs) in self.cells.iter_mut().zip(&other.cells) {
            self.filled += usize::from(*mine == 0 && *theirs > 0);
            *mine = (*mine).max(*theirs);
        }
        true
    }

    pub fn clear(&mut self, base: f64) {
        self.cells.fill(0);
        self.base = whole(base);
        self.filled = 0;
    }
}

fn whole(base: f64) -> u64 {
    (base.max(0.0) * 1000.0) as u64
}

/// A key's hash from its words.
pub fn key_of(words: &[&str]) -> u64 {
    let mut hash = blake3::Hasher::new();
    for word in words {
        hash.update(&(word.len() as u64).to_le_bytes());
        hash.update(word.as_bytes());
    }
    first_eight(hash.finalize().as_bytes())
}

/// The finish of a well-known 64-bit mixer: keys that differ little differ in all bits afterwards.
fn mix(mut x: u64) -> u64 {
    x ^= x >> 33;
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^= x >> 33;
    x = x.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}

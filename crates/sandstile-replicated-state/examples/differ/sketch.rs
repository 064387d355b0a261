//! An invertible Bloom lookup table (Goodrich and Mitzenmacher, 2011) over hashes of facts: the difference of two copies' tables
//! yields what differs, as long as that is fewer than some three quarters of its cells. Weighed against the tree.

/// Cells that each item falls into.
const ROWS: usize = 3;

#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
struct Cell {
    count: i32,
    items: u64,
    check: u64,
}

#[derive(Clone)]
pub struct Sketch {
    cells: Vec<Cell>,
}

fn mix(item: u64, salt: u64) -> u64 {
    // SplitMix64's finish: the items are hashes already, and need only fall into other cells by each salt.
    let mut x = item ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Sketch {
    pub fn new(cells: usize) -> Sketch {
        Sketch { cells: vec![Cell::default(); cells.max(ROWS).div_ceil(ROWS) * ROWS] }
    }

    fn places(&self, item: u64) -> [usize; ROWS] {
        let part = self.cells.len() / ROWS;
        std::array::from_fn(|row| row * part + (mix(item, row as u64 + 1) % part as u64) as usize)
    }

    fn put(&mut self, item: u64, count: i32) {
        for at in self.places(item) {
            let cell = &mut self.cells[at];
            cell.count += count;
            cell.items ^= item;
            cell.check ^= mix(item, 77);
        }
    }

    pub fn add(&mut self, item: u64) {
        self.put(item, 1);
    }

    /// What only this one has and what only the other has; `None` where they differ by more than it can tell.
    pub fn difference(&self, other: &Sketch) -> Option<(Vec<u64>, Vec<u64>)> {
        if self.cells.len() != other.cells.len() {
            return None;
        }
        let mut left = self.clone();
        for (mine, theirs) in left.cells.iter_mut().zip(&other.cells) {
            mine.count -= theirs.count;
            mine.items ^= theirs.items;
            mine.check ^= theirs.check;
        }
        let (mut mine, mut theirs) = (Vec::new(), Vec::new());
        let mut look: Vec<usize> = (0..left.cells.len()).collect();
        while let Some(at) = look.pop() {
            let cell = left.cells[at];
            if cell.count.abs() != 1 || cell.check != mix(cell.items, 77) {
                continue;
            }
            let (item, count) = (cell.items, cell.count);
            if mine.len() + theirs.len() > left.cells.len() {
                return None;
            }
            if count == 1 {
                mine.push(item)
            } else {
                theirs.push(item)
            }
            left.put(item, -count);
            look.extend(left.places(item));
        }
        left.cells.iter().all(|c| *c == Cell::default()).then_some((mine, theirs))
    }

    /// Bytes of it on a wire: a count of four, items and checks of eight.
    pub fn bytes(&self) -> usize {
        self.cells.len() * 20
    }
}

//! An invertible Bloom lookup table (Goodrich and Mitzenmacher, 2011) over hashes of facts: the difference between
//! the tables of two copies yields the differing items, as long as they number fewer than about three quarters of the
//! cells. It is here to be compared with the hash tree.

/// Cells per item.
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
    // SplitMix64 finalizer. The items are hashes already; it only has to map them to different cells for each salt.
    let mut mixed = item ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

impl Sketch {
    pub fn new(cells: usize) -> Sketch {
        Sketch { cells: vec![Cell::default(); cells.max(ROWS).div_ceil(ROWS) * ROWS] }
    }

    fn cell_indices(&self, item: u64) -> [usize; ROWS] {
        let row_length = self.cells.len() / ROWS;
        std::array::from_fn(|row| row * row_length + (mix(item, row as u64 + 1) % row_length as u64) as usize)
    }

    fn toggle(&mut self, item: u64, count: i32) {
        for index in self.cell_indices(item) {
            let cell = &mut self.cells[index];
            cell.count += count;
            cell.items ^= item;
            cell.check ^= mix(item, 77);
        }
    }

    pub fn add(&mut self, item: u64) {
        self.toggle(item, 1);
    }

    /// The items that only this sketch has and those that only the other has; `None` if there are too many
    /// differences to decode.
    pub fn difference(&self, other: &Sketch) -> Option<(Vec<u64>, Vec<u64>)> {
        if self.cells.len() != other.cells.len() {
            return None;
        }
        let mut remaining = self.clone();
        for (mine, theirs) in remaining.cells.iter_mut().zip(&other.cells) {
            mine.count -= theirs.count;
            mine.items ^= theirs.items;
            mine.check ^= theirs.check;
        }
        let (mut mine, mut theirs) = (Vec::new(), Vec::new());
        let mut pending: Vec<usize> = (0..remaining.cells.len()).collect();
        while let Some(index) = pending.pop() {
            let cell = remaining.cells[index];
            if cell.count.abs() != 1 || cell.check != mix(cell.items, 77) {
                continue;
            }
            let (item, count) = (cell.items, cell.count);
            if mine.len() + theirs.len() > remaining.cells.len() {
                return None;
            }
            if count == 1 {
                mine.push(item)
            } else {
                theirs.push(item)
            }
            remaining.toggle(item, -count);
            pending.extend(remaining.cell_indices(item));
        }
        remaining.cells.iter().all(|c| *c == Cell::default()).then_some((mine, theirs))
    }

    /// Encoded size: a count of 4 bytes and items and checks of 8 bytes for each cell.
    pub fn bytes(&self) -> usize {
        self.cells.len() * 20
    }
}

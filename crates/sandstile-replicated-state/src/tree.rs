//! Sums of the hashes of all facts, by ranges of their keys' hashes: two copies compare one number, then sixteen, and come down to
//! the few facts that differ. A sum is kept as facts come and go, so that a comparison costs nothing in the calm.

/// Children of a node, and levels below the root.
pub const WIDE: usize = 16;
pub const LEVELS: usize = 4;
const LEAVES: usize = WIDE.pow(LEVELS as u32);

#[derive(Clone)]
pub struct Tree {
    /// Level by level, the root first.
    sums: Vec<Vec<u64>>,
}

impl Default for Tree {
    fn default() -> Self {
        Tree { sums: (0..=LEVELS).map(|level| vec![0; WIDE.pow(level as u32)]).collect() }
    }
}

/// The leaf of a key.
pub fn leaf(key: u64) -> usize {
    (key >> (64 - 4 * LEVELS)) as usize
}

/// The keys below a node.
pub fn range(level: usize, node: usize) -> std::ops::RangeInclusive<u64> {
    let shift = 64 - 4 * level.min(LEVELS) as u32;
    // The root has all.
    let from = (node as u64).checked_shl(shift).unwrap_or(0);
    from..=from | u64::MAX.checked_shr(64 - shift).unwrap_or(0)
}

impl Tree {
    /// A fact of this key has another hash now; 0 where there was, or is, none. Sums wrap, so that their order is no matter.
    pub fn change(&mut self, key: u64, from: u64, to: u64) {
        let change = to.wrapping_sub(from);
        let leaf = leaf(key);
        for (level, sums) in self.sums.iter_mut().enumerate() {
            let at = leaf >> (4 * (LEVELS - level));
            sums[at] = sums[at].wrapping_add(change);
        }
    }

    pub fn root(&self) -> u64 {
        self.sums[0][0]
    }

    /// The sums of a node's children; `None` where there is no such node, or it has none.
    pub fn children(&self, level: usize, node: usize) -> Option<[u64; WIDE]> {
        let below = self.sums.get(level + 1)?;
        let from = node.checked_mul(WIDE)?;
        below.get(from..from + WIDE).map(|sums| std::array::from_fn(|n| sums[n]))
    }

    pub fn leaves() -> usize {
        LEAVES
    }
}

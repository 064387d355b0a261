//! Sums of the hashes of all facts by ranges of their keys' hashes: two copies compare one number, then sixteen, and
//! descend to the few facts that differ. The sums are updated as facts change, so comparing equal copies costs almost
//! nothing.

/// Children per node, and levels below the root.
pub const FANOUT: usize = 16;
pub const LEVELS: usize = 4;
const LEAVES: usize = FANOUT.pow(LEVELS as u32);

#[derive(Clone)]
pub struct HashTree {
    /// The sums of each level, root first.
    sums: Vec<Vec<u64>>,
}

impl Default for HashTree {
    fn default() -> Self {
        HashTree { sums: (0..=LEVELS).map(|level| vec![0; FANOUT.pow(level as u32)]).collect() }
    }
}

/// The leaf that holds a key.
pub fn leaf_index(key: u64) -> usize {
    (key >> (64 - 4 * LEVELS)) as usize
}

/// The range of key hashes below a node.
pub fn key_range(level: usize, node: usize) -> std::ops::RangeInclusive<u64> {
    let shift = 64 - 4 * level.min(LEVELS) as u32;
    // The root covers all keys.
    let first = (node as u64).checked_shl(shift).unwrap_or(0);
    first..=first | u64::MAX.checked_shr(64 - shift).unwrap_or(0)
}

impl HashTree {
    /// Updates the hash of the fact with this key; 0 means no fact. Sums wrap, so the order of updates does not
    /// matter.
    pub fn update(&mut self, key: u64, old_hash: u64, new_hash: u64) {
        let delta = new_hash.wrapping_sub(old_hash);
        let leaf = leaf_index(key);
        for (level, sums) in self.sums.iter_mut().enumerate() {
            let index = leaf >> (4 * (LEVELS - level));
            sums[index] = sums[index].wrapping_add(delta);
        }
    }

    pub fn root(&self) -> u64 {
        self.sums[0][0]
    }

    /// The sums of a node's children; `None` if there is no such node or it has no children.
    pub fn children(&self, level: usize, node: usize) -> Option<[u64; FANOUT]> {
        let child_sums = self.sums.get(level + 1)?;
        let first = node.checked_mul(FANOUT)?;
        child_sums.get(first..first + FANOUT).map(|sums| std::array::from_fn(|n| sums[n]))
    }

    pub fn leaves() -> usize {
        LEAVES
    }
}

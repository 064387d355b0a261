//! Stores the replicated state on disk. The state file holds a copy followed by the changes since then. A
//! witness file, which should be on another disk and left out of backups, names the generation that wrote the state and
//! the version that it ended with.
//!
//! A start reads all facts that it finds, but the file is trusted to be complete only if the witness confirms
//! it (`sandstile_replicated_state::catchup::assess_trust`). A failing disk ends the writing and is reported,
//! but has no other effect: the file then lacks its end record and is never mistaken for a complete one.
mod state_directory;

use sandstile_replicated_state::catchup::{StoredCopy, Witness};
use sandstile_replicated_state::stored::{self, FileContents};
use sandstile_replicated_state::Snapshot;
pub use state_directory::StateDirectory;
use std::io;

/// The storage of the state file and the witness. [`StateDirectory`] uses real disks; tests have
/// implementations that fail.
pub trait Storage: Send {
    /// Reads the state file; `None` if there is none.
    fn read(&mut self) -> io::Result<Option<Vec<u8>>>;
    /// Replaces the state file atomically and makes it durable.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Appends to the state file and makes the bytes durable.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Reads the witness; `None` if there is none, or none that can be read.
    fn read_witness(&mut self) -> io::Result<Option<Vec<u8>>>;
    fn write_witness(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// The state file is rewritten when it exceeds this multiple of its first copy and the minimum size below.
const MAX_GROWTH_FACTOR: usize = 4;
const MIN_REWRITE_BYTES: usize = 256 * 1024;

/// The state file of the running generation.
pub struct StateFile {
    storage: Box<dyn Storage>,
    generation: u64,
    bytes: usize,
    copy_bytes: usize,
    /// The version of the state up to which everything is on disk.
    version: u64,
}

/// What the storage holds from an earlier generation.
pub struct OpenedState {
    pub found: FileContents,
    pub stored: StoredCopy,
    pub witness: Witness,
    /// The state file of this generation, or the error if the storage cannot be written.
    pub state_file: Result<StateFile, io::Error>,
}

/// Reads what an earlier generation left, and begins the state file of this one. The witness is written
/// first, so that no copy of an earlier generation is mistaken for the latest one, even if this start is interrupted.
pub fn open(mut storage: Box<dyn Storage>, generation: u64) -> OpenedState {
    let bytes = storage.read();
    let witness_bytes = storage.read_witness();
    let file = witness_bytes.ok().flatten().and_then(|w| stored::read_witness(&w));
    let found = bytes.as_ref().ok().and_then(Option::as_ref).map(|b| stored::read(b)).unwrap_or_default();
    let stored = match found.generation {
        Some(writer_generation) if found.is_intact() => StoredCopy::Intact {
            generation: writer_generation,
            version: found.version,
            ended_cleanly: found.ended_cleanly,
        },
        _ => StoredCopy::Unreadable,
    };
    let witness = Witness { file, peers: None };
    let create = |mut storage: Box<dyn Storage>| {
        bytes?;
        storage.write_witness(&stored::witness(generation, 0))?;
        Ok(StateFile { storage, generation, bytes: 0, copy_bytes: 0, version: 0 })
    };
    OpenedState { state_file: create(storage), found, stored, witness }
}

impl StateFile {
    /// Appends the changes since the last call, or rewrites the file if it has grown too long. After an
    /// error, the state file must not be used again.
    pub fn put(&mut self, now: f64, snapshot: &Snapshot) -> io::Result<()> {
        let version = snapshot.version();
        if self.bytes == 0 || self.bytes > (self.copy_bytes * MAX_GROWTH_FACTOR).max(MIN_REWRITE_BYTES) {
            let mut out = stored::header(self.generation);
            snapshot
                .iter()
                .for_each(|(key, fact)| stored::write_fact(&mut out, self.generation, now, key, fact));
            stored::write_version(&mut out, self.generation, version);
            self.storage.replace(&out)?;
            (self.bytes, self.copy_bytes, self.version) = (out.len(), out.len(), version);
        } else if version > self.version {
            let mut out = Vec::new();
            for (key, fact) in snapshot.changes(self.version) {
                stored::write_fact(&mut out, self.generation, now, key, fact);
            }
            stored::write_version(&mut out, self.generation, version);
            self.storage.append(&out)?;
            (self.bytes, self.version) = (self.bytes + out.len(), version);
        }
        Ok(())
    }

    /// Ends the generation cleanly: writes all facts and the end record, then confirms the version in the
    /// witness.
    pub fn end(mut self, now: f64, snapshot: &Snapshot) -> io::Result<()> {
        self.put(now, snapshot)?;
        let mut out = Vec::new();
        stored::write_end(&mut out, self.generation, self.version);
        self.storage.append(&out)?;
        self.storage.write_witness(&stored::witness(self.generation, self.version))
    }
}

//! The kept state on a disk. One file holds a copy and, behind it, what changed since; a witness, best on another disk and in no backup,
//! names the life that wrote it and the number that it ended with. Whoever opens the file takes up its facts whatever befell it; that
//! it holds *all* is believed only where the witness says so too (`sandstile_replicated_state::catchup::assess_trust`). A disk that fails ends the
//! writing, loudly, and nothing else: what is there has no end in order, so it is never taken for all.
mod folder;

pub use folder::StateDirectory;
use sandstile_replicated_state::catchup::{StoredCopy, Witness};
use sandstile_replicated_state::stored::{self, FileContents};
use sandstile_replicated_state::Snapshot;
use std::io;

/// Where bytes lie. The one for real disks is [`StateDirectory`]; tests have others that fail.
pub trait Storage: Send {
    /// The file's bytes; `None` where there is none.
    fn read(&mut self) -> io::Result<Option<Vec<u8>>>;
    /// Puts these bytes in the place of all, at once or not at all, and on the disk.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Behind what is there, and on the disk.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// `None` where there is no witness, or none that can be read.
    fn witness(&mut self) -> io::Result<Option<Vec<u8>>>;
    fn put_witness(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// A file longer than its first copy by so much is written anew.
const GROWN: usize = 4;
const LEAST: usize = 256 * 1024;

/// The file of one life.
pub struct StateFile {
    place: Box<dyn Storage>,
    generation: u64,
    bytes: usize,
    copied: usize,
    /// Up to which of the copy's numbers all is on the disk.
    version: u64,
}

/// What the disk says of the former life.
pub struct OpenedState {
    pub found: FileContents,
    pub stored: StoredCopy,
    pub witness: Witness,
    /// `None` where the disk takes nothing: why.
    pub state_file: Result<StateFile, io::Error>,
}

/// Reads what a former life left, and begins the file of this one. The witness comes first: from then on no copy of a former life is
/// taken for the latest, wherever this start breaks off.
pub fn open(mut place: Box<dyn Storage>, generation: u64) -> OpenedState {
    let bytes = place.read();
    let told = place.witness();
    let file = told.ok().flatten().and_then(|w| stored::read_witness(&w));
    let found = bytes.as_ref().ok().and_then(Option::as_ref).map(|b| stored::read(b)).unwrap_or_default();
    let stored = match found.generation {
        Some(of) if found.is_intact() => {
            StoredCopy::Intact { generation: of, version: found.version, ended_cleanly: found.ended_cleanly }
        }
        _ => StoredCopy::Unreadable,
    };
    let witness = Witness { file, peers: None };
    let begin = |mut place: Box<dyn Storage>| {
        bytes?;
        place.put_witness(&stored::witness(generation, 0))?;
        Ok(StateFile { place, generation, bytes: 0, copied: 0, version: 0 })
    };
    OpenedState { state_file: begin(place), found, stored, witness }
}

impl StateFile {
    /// Puts down what has changed; a copy of all where the file has grown too long. An error is the end of it.
    pub fn put(&mut self, now: f64, held: &Snapshot) -> io::Result<()> {
        let version = held.version();
        if self.bytes == 0 || self.bytes > (self.copied * GROWN).max(LEAST) {
            let mut out = stored::header(self.generation);
            held.iter().for_each(|(key, fact)| stored::write_fact(&mut out, self.generation, now, key, fact));
            stored::write_version(&mut out, self.generation, version);
            self.place.replace(&out)?;
            (self.bytes, self.copied, self.version) = (out.len(), out.len(), version);
        } else if version > self.version {
            let mut out = Vec::new();
            for (key, fact) in held.changes(self.version) {
                stored::write_fact(&mut out, self.generation, now, key, fact);
            }
            stored::write_version(&mut out, self.generation, version);
            self.place.append(&out)?;
            (self.bytes, self.version) = (self.bytes + out.len(), version);
        }
        Ok(())
    }

    /// The life ends in order: all that it knew is there, and the witness says so.
    pub fn end(mut self, now: f64, held: &Snapshot) -> io::Result<()> {
        self.put(now, held)?;
        let mut out = Vec::new();
        stored::write_end(&mut out, self.generation, self.version);
        self.place.append(&out)?;
        self.place.put_witness(&stored::witness(self.generation, self.version))
    }
}

//! A journal of sessions' marks: 40 bytes a mark, appended, each with a checksum of its own. Marks merge in any order,
//! so records need none, and one that is spoilt takes no other with it. What a journal that is not whole can't say
//! is unknown, never nothing: `JournalContents::intact` tells.
//!
//! Who writes decides when what is written is on the disk (`sync`); group commit is the caller's: many marks, one
//! `sync`.
pub mod pace;

use sandstile_sessions::mark::{Mark, SessionMarks, Term};
use sandstile_sessions::store::SessionKey;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

const MAGIC: &[u8; 8] = b"sndsmark";
const VERSION: u32 = 1;
/// Magic, version, and the hash of both.
const HEAD: usize = 24;
/// Key, term and position (8 bytes each), kind (1), seven bytes of nothing, and the hash (8) of all that.
const RECORD: usize = 40;
const BODY: usize = RECORD - 8;

/// A mark, or the word that nothing more can be told of a session than that it wrote.
const KIND_MARK: u8 = 1;
const KIND_LOST: u8 = 2;
/// The instance ended in order, and all that it knew is above.
const KIND_END: u8 = 3;

/// What a file held.
#[derive(Debug, Default)]
pub struct JournalContents {
    pub marks: Vec<(SessionKey, SessionMarks)>,
    /// Nothing was spoilt and nothing is missing but, at most, a record that was being written.
    pub intact: bool,
    /// Its writer ended in order.
    pub closed_cleanly: bool,
    /// Records that can't be read.
    pub damaged_records: usize,
    pub bytes: u64,
}

#[derive(Debug)]
pub enum JournalError {
    /// A newer program's file; it is left as it is.
    Newer(u32),
    /// Not a journal.
    Stranger,
    Io(io::Error),
}

impl From<io::Error> for JournalError {
    fn from(e: io::Error) -> Self {
        JournalError::Io(e)
    }
}

impl std::fmt::Display for JournalError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            JournalError::Newer(version) => {
                write!(f, "the journal is of version {version}, this program knows {VERSION}")
            }
            JournalError::Stranger => write!(f, "the file is no journal"),
            JournalError::Io(e) => write!(f, "{e}"),
        }
    }
}

/// What records can be written to: a file, or a stand-in for a disk that fails.
pub trait Medium: Write + Send {
    /// What was written is on the disk when this returns.
    fn sync(&mut self) -> io::Result<()>;
}

impl Medium for File {
    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

fn eight(bytes: &[u8]) -> [u8; 8] {
    std::array::from_fn(|n| bytes[n])
}

fn hash(bytes: &[u8]) -> [u8; 8] {
    eight(blake3::hash(bytes).as_bytes())
}

fn head(version: u32) -> [u8; HEAD] {
    let mut head = [0; HEAD];
    head[..8].copy_from_slice(MAGIC);
    head[8..12].copy_from_slice(&version.to_le_bytes());
    let sum = hash(&head[..16]);
    head[16..].copy_from_slice(&sum);
    head
}

fn record(kind: u8, key: SessionKey, mark: Mark) -> [u8; RECORD] {
    let mut record = [0; RECORD];
    record[..8].copy_from_slice(&key.0.to_le_bytes());
    record[8..16].copy_from_slice(&mark.term.0.to_le_bytes());
    record[16..24].copy_from_slice(&mark.position.to_le_bytes());
    record[24] = kind;
    let sum = hash(&record[..BODY]);
    record[BODY..].copy_from_slice(&sum);
    record
}

/// The records of what one session has seen.
fn records(key: SessionKey, seen: &SessionMarks) -> Vec<[u8; RECORD]> {
    match seen {
        SessionMarks::Lost(latest) => vec![record(KIND_LOST, key, Mark { term: Term(0), position: *latest })],
        terms => terms.marks().map(|mark| record(KIND_MARK, key, mark)).collect(),
    }
}

/// Reads all that a journal's bytes hold.
pub fn read(bytes: &[u8]) -> Result<JournalContents, JournalError> {
    let mut found = JournalContents { bytes: bytes.len() as u64, ..JournalContents::default() };
    if bytes.len() < HEAD {
        // Cut while it was being made: nothing was written to it, unless it is no journal at all.
        let begun = head(VERSION);
        if !begun.starts_with(bytes) {
            return Err(JournalError::Stranger);
        }
        found.intact = true;
        return Ok(found);
    }
    if &bytes[..8] != MAGIC {
        return Err(JournalError::Stranger);
    }
    let version = u32::from_le_bytes(std::array::from_fn(|n| bytes[8 + n]));
    if hash(&bytes[..16]) != bytes[16..HEAD] {
        return Err(JournalError::Stranger);
    }
    if version != VERSION {
        return Err(JournalError::Newer(version));
    }
    let body = &bytes[HEAD..];
    for record in body.chunks_exact(RECORD) {
        found.closed_cleanly = false;
        if hash(&record[..BODY]) != record[BODY..] {
            found.damaged_records += 1;
            continue;
        }
        let number = |at: usize| u64::from_le_bytes(eight(&record[at..]));
        let (key, term, position) = (SessionKey(number(0)), Term(number(8)), f64::from_bits(number(16)));
        match record[24] {
            KIND_MARK => found.marks.push((key, SessionMarks::of(Mark { term, position }))),
            KIND_LOST => found.marks.push((key, SessionMarks::Lost(position))),
            KIND_END => found.closed_cleanly = true,
            _ => found.damaged_records += 1,
        }
    }
    // What follows the last whole record was being written when the power went: nobody was told of it.
    found.closed_cleanly &= body.len().is_multiple_of(RECORD);
    found.intact = found.damaged_records == 0;
    Ok(found)
}

pub struct Journal<M: Medium = File> {
    medium: M,
    bytes: u64,
    pending: Vec<u8>,
    /// The folder of this path has yet to be synced, for the file's name to be on the disk.
    folder: Option<PathBuf>,
}

/// The file beside the journal in which its successor is written.
fn beside(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(".new");
    PathBuf::from(name)
}

fn sync_folder(path: &Path) -> io::Result<()> {
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

impl Journal<File> {
    /// Takes up the journal at `path`, or begins one: yields what it held, written anew without what is spoilt, too
    /// old (`since`) or there twice.
    pub fn open(path: &Path, since: f64) -> Result<(Journal<File>, JournalContents), JournalError> {
        let mut bytes = Vec::new();
        let found = match File::open(path) {
            Ok(mut file) => {
                file.read_to_end(&mut bytes)?;
                read(&bytes)?
            }
            // Nothing was ever promised.
            Err(e) if e.kind() == io::ErrorKind::NotFound => JournalContents::default(),
            Err(e) => return Err(e.into()),
        };
        let marks = merged(&found.marks, since);
        let journal = Journal::replace(path, marks.iter().map(|(key, seen)| (*key, seen)))?;
        Ok((journal, JournalContents { marks, ..found }))
    }

    /// A new journal in place of the one at `path`: written beside it, on the disk, and then renamed.
    pub fn replace<'a>(
        path: &Path,
        marks: impl Iterator<Item = (SessionKey, &'a SessionMarks)>,
    ) -> Result<Journal<File>, JournalError> {
        let new = beside(path);
        let mut options = OpenOptions::new();
        options.write(true).create(true).truncate(true);
        #[cfg(unix)]
        std::os::unix::fs::OpenOptionsExt::mode(&mut options, 0o600);
        let mut journal = Journal::begin(options.open(&new)?)?;
        for (key, seen) in marks {
            journal.append(key, seen)?;
        }
        journal.sync()?;
        fs::rename(&new, path)?;
        // From here on this is the journal, whatever comes next: one that went on with the former file would write to
        // a file without a name. The name itself is on the disk with the next sync at the latest.
        if sync_folder(path).is_err() {
            journal.folder = Some(path.to_path_buf());
        }
        Ok(journal)
    }
}

/// Makes the journal at `path` one that nobody takes for whole, where there is one: removed, or emptied, or put aside.
/// An error says that it stands as it was.
pub fn invalidate(path: &Path) -> io::Result<()> {
    let removed = match fs::remove_file(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
        other => other,
    };
    removed
        .or_else(|_| OpenOptions::new().write(true).open(path)?.set_len(0))
        .or_else(|_| fs::rename(path, path.with_extension("given-up")))
}

impl<M: Medium> Journal<M> {
    /// Begins one on an empty medium.
    pub fn begin(mut medium: M) -> Result<Journal<M>, JournalError> {
        medium.write_all(&head(VERSION))?;
        Ok(Journal { medium, bytes: HEAD as u64, pending: Vec::new(), folder: None })
    }

    /// Adds what a session has seen; it is on the disk after the next `sync`.
    pub fn append(&mut self, key: SessionKey, seen: &SessionMarks) -> io::Result<()> {
        for record in records(key, seen) {
            self.pending.extend_from_slice(&record);
        }
        // Bounded: what comes between two syncs is written on in pieces.
        if self.pending.len() >= 1 << 16 {
            self.write()
        } else {
            Ok(())
        }
    }

    fn write(&mut self) -> io::Result<()> {
        self.medium.write_all(&self.pending)?;
        self.bytes += self.pending.len() as u64;
        self.pending.clear();
        Ok(())
    }

    pub fn sync(&mut self) -> io::Result<()> {
        self.write()?;
        self.medium.sync()?;
        if let Some(path) = &self.folder {
            sync_folder(path)?;
            self.folder = None;
        }
        Ok(())
    }

    /// Hands what was added to the platform, which keeps it through the end of this process but not of the machine.
    pub fn flush(&mut self) -> io::Result<()> {
        self.write()
    }

    /// The writer ends in order; all that it knew is in here.
    pub fn end(&mut self) -> io::Result<()> {
        self.pending.extend_from_slice(&record(
            KIND_END,
            SessionKey(0),
            Mark { term: Term(0), position: 0.0 },
        ));
        self.sync()
    }

    pub fn bytes(&self) -> u64 {
        self.bytes + self.pending.len() as u64
    }
}

/// Each session once, without what is older than `since`.
fn merged(marks: &[(SessionKey, SessionMarks)], since: f64) -> Vec<(SessionKey, SessionMarks)> {
    let mut all: Vec<(SessionKey, SessionMarks)> =
        marks.iter().filter(|(_, s)| s.latest() >= since).cloned().collect();
    all.sort_by_key(|(key, _)| *key);
    all.dedup_by(|next, kept| {
        let same = next.0 == kept.0;
        if same {
            kept.1.merge(&next.1);
        }
        same
    });
    all
}

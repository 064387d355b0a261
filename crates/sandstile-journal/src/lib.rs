//! An append-only journal of sessions' marks, with 40 bytes per mark and a checksum per record. Marks merge
//! in any order, so records have no sequence, and a damaged record does not affect the others. If the journal
//! is not intact (`JournalContents::intact`), the marks of other sessions are unknown; their absence does not
//! mean that those sessions wrote nothing.
//!
//! The caller decides when records are made durable (`sync`). For group commit it appends many marks before
//! one `sync`.
pub mod sync_schedule;

use sandstile_sessions::mark::{Mark, SessionMarks, Term};
use sandstile_sessions::store::SessionKey;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

const MAGIC: &[u8; 8] = b"sndsmark";
const VERSION: u32 = 1;
/// Magic (8 bytes), version (4), four unused bytes, and the checksum (8) of all these.
const HEADER_LEN: usize = 24;
/// Key, term and position (8 bytes each), kind (1), seven unused bytes, and the checksum (8) of all these.
const RECORD_LEN: usize = 40;
const BODY_LEN: usize = RECORD_LEN - 8;

/// `KIND_MARK` holds a mark; `KIND_LOST` records only that the session wrote up to a position.
const KIND_MARK: u8 = 1;
const KIND_LOST: u8 = 2;
/// The instance shut down cleanly, and the records above hold all that it knew.
const KIND_END: u8 = 3;

/// The contents of a journal file.
#[derive(Debug, Default)]
pub struct JournalContents {
    pub marks: Vec<(SessionKey, SessionMarks)>,
    /// No record is damaged. At most one incomplete record, which was being written at the end, is missing.
    pub intact: bool,
    /// The writer shut down cleanly.
    pub closed_cleanly: bool,
    /// Records with a wrong checksum or an unknown kind.
    pub damaged_records: usize,
    pub bytes: u64,
}

#[derive(Debug)]
pub enum JournalError {
    /// The file was written by a newer version of the program and is left unchanged.
    NewerVersion(u32),
    /// The file is not a journal, or its header is damaged.
    NotAJournal,
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
            JournalError::NewerVersion(version) => {
                write!(f, "the journal has version {version}, but this program supports version {VERSION}")
            }
            JournalError::NotAJournal => write!(f, "the file is not a journal"),
            JournalError::Io(e) => write!(f, "{e}"),
        }
    }
}

/// What the journal writes to: a file, or a simulated disk that fails.
pub trait Medium: Write + Send {
    /// Makes all written bytes durable before it returns.
    fn sync(&mut self) -> io::Result<()>;
}

impl Medium for File {
    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

fn first_8_bytes(bytes: &[u8]) -> [u8; 8] {
    std::array::from_fn(|n| bytes[n])
}

fn checksum(bytes: &[u8]) -> [u8; 8] {
    first_8_bytes(blake3::hash(bytes).as_bytes())
}

fn header(version: u32) -> [u8; HEADER_LEN] {
    let mut header = [0; HEADER_LEN];
    header[..8].copy_from_slice(MAGIC);
    header[8..12].copy_from_slice(&version.to_le_bytes());
    let checksum_bytes = checksum(&header[..16]);
    header[16..].copy_from_slice(&checksum_bytes);
    header
}

fn encode_record(kind: u8, key: SessionKey, mark: Mark) -> [u8; RECORD_LEN] {
    let mut record = [0; RECORD_LEN];
    record[..8].copy_from_slice(&key.0.to_le_bytes());
    record[8..16].copy_from_slice(&mark.term.0.to_le_bytes());
    record[16..24].copy_from_slice(&mark.position.to_le_bytes());
    record[24] = kind;
    let checksum_bytes = checksum(&record[..BODY_LEN]);
    record[BODY_LEN..].copy_from_slice(&checksum_bytes);
    record
}

/// Encodes the marks of one session.
fn encode_marks(key: SessionKey, session_marks: &SessionMarks) -> Vec<[u8; RECORD_LEN]> {
    match session_marks {
        SessionMarks::Lost(latest) => {
            vec![encode_record(KIND_LOST, key, Mark { term: Term(0), position: *latest })]
        }
        terms => terms.marks().map(|mark| encode_record(KIND_MARK, key, mark)).collect(),
    }
}

/// Reads the contents of a journal.
pub fn read(bytes: &[u8]) -> Result<JournalContents, JournalError> {
    let mut contents = JournalContents { bytes: bytes.len() as u64, ..JournalContents::default() };
    if bytes.len() < HEADER_LEN {
        // The header is incomplete: no record was written yet, unless the bytes are not a journal at all.
        let expected_header = header(VERSION);
        if !expected_header.starts_with(bytes) {
            return Err(JournalError::NotAJournal);
        }
        contents.intact = true;
        return Ok(contents);
    }
    if &bytes[..8] != MAGIC {
        return Err(JournalError::NotAJournal);
    }
    let version = u32::from_le_bytes(std::array::from_fn(|n| bytes[8 + n]));
    if checksum(&bytes[..16]) != bytes[16..HEADER_LEN] {
        return Err(JournalError::NotAJournal);
    }
    if version != VERSION {
        return Err(JournalError::NewerVersion(version));
    }
    let body = &bytes[HEADER_LEN..];
    for record in body.chunks_exact(RECORD_LEN) {
        contents.closed_cleanly = false;
        if checksum(&record[..BODY_LEN]) != record[BODY_LEN..] {
            contents.damaged_records += 1;
            continue;
        }
        let read_u64 = |offset: usize| u64::from_le_bytes(first_8_bytes(&record[offset..]));
        let (key, term, position) =
            (SessionKey(read_u64(0)), Term(read_u64(8)), f64::from_bits(read_u64(16)));
        match record[24] {
            KIND_MARK => contents.marks.push((key, SessionMarks::of(Mark { term, position }))),
            KIND_LOST => contents.marks.push((key, SessionMarks::Lost(position))),
            KIND_END => contents.closed_cleanly = true,
            _ => contents.damaged_records += 1,
        }
    }
    // An incomplete last record was being written during a crash; its write was never acknowledged.
    contents.closed_cleanly &= body.len().is_multiple_of(RECORD_LEN);
    contents.intact = contents.damaged_records == 0;
    Ok(contents)
}

pub struct Journal<M: Medium = File> {
    medium: M,
    bytes: u64,
    unwritten: Vec<u8>,
    /// Set while the directory of this path has to be synced, so that the file's new name becomes durable.
    unsynced_name: Option<PathBuf>,
}

/// The path of the new file that replaces the journal.
fn replacement_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(".new");
    PathBuf::from(name)
}

fn sync_directory(path: &Path) -> io::Result<()> {
    let directory = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(directory)?.sync_all()
}

impl Journal<File> {
    /// Opens the journal at `path` or creates one. Returns the contents found and rewrites the file without
    /// damaged records, duplicates and marks older than `since`.
    pub fn open(path: &Path, since: f64) -> Result<(Journal<File>, JournalContents), JournalError> {
        let mut bytes = Vec::new();
        let contents = match File::open(path) {
            Ok(mut file) => {
                file.read_to_end(&mut bytes)?;
                read(&bytes)?
            }
            // A missing file is no error: no record was ever promised to be in it.
            Err(e) if e.kind() == io::ErrorKind::NotFound => JournalContents::default(),
            Err(e) => return Err(e.into()),
        };
        let marks = merge_marks(&contents.marks, since);
        let journal = Journal::replace(path, marks.iter().map(|(key, session_marks)| (*key, session_marks)))?;
        Ok((journal, JournalContents { marks, ..contents }))
    }

    /// Replaces the journal at `path`: writes a new file next to it, syncs that file and renames it.
    pub fn replace<'a>(
        path: &Path,
        marks: impl Iterator<Item = (SessionKey, &'a SessionMarks)>,
    ) -> Result<Journal<File>, JournalError> {
        let new_path = replacement_path(path);
        let mut options = OpenOptions::new();
        options.write(true).create(true).truncate(true);
        #[cfg(unix)]
        std::os::unix::fs::OpenOptionsExt::mode(&mut options, 0o600);
        let mut journal = Journal::create(options.open(&new_path)?)?;
        for (key, session_marks) in marks {
            journal.append(key, session_marks)?;
        }
        journal.sync()?;
        fs::rename(&new_path, path)?;
        // From here on, the new file is the journal even if a later step fails: a writer that kept using
        // the old file would write to a file without a name. The new name becomes durable with the next sync
        // at the latest.
        if sync_directory(path).is_err() {
            journal.unsynced_name = Some(path.to_path_buf());
        }
        Ok(journal)
    }
}

/// Ensures that the journal at `path`, if any, is never mistaken for an intact one later: removes it, or
/// truncates it, or renames it. On an error the file is unchanged.
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
    /// Creates a journal on an empty medium.
    pub fn create(mut medium: M) -> Result<Journal<M>, JournalError> {
        medium.write_all(&header(VERSION))?;
        Ok(Journal { medium, bytes: HEADER_LEN as u64, unwritten: Vec::new(), unsynced_name: None })
    }

    /// Appends the marks of a session; they are durable after the next `sync`.
    pub fn append(&mut self, key: SessionKey, session_marks: &SessionMarks) -> io::Result<()> {
        for record in encode_marks(key, session_marks) {
            self.unwritten.extend_from_slice(&record);
        }
        // Bounds the buffer: records between two syncs are written in chunks of 64 KiB.
        if self.unwritten.len() >= 1 << 16 {
            self.write()
        } else {
            Ok(())
        }
    }

    fn write(&mut self) -> io::Result<()> {
        self.medium.write_all(&self.unwritten)?;
        self.bytes += self.unwritten.len() as u64;
        self.unwritten.clear();
        Ok(())
    }

    pub fn sync(&mut self) -> io::Result<()> {
        self.write()?;
        self.medium.sync()?;
        if let Some(path) = &self.unsynced_name {
            sync_directory(path)?;
            self.unsynced_name = None;
        }
        Ok(())
    }

    /// Passes the buffered records to the operating system. They survive the end of this process, but not a
    /// crash of the machine.
    pub fn flush(&mut self) -> io::Result<()> {
        self.write()
    }

    /// Records that the writer shuts down cleanly and that the journal holds all that it knew.
    pub fn end(&mut self) -> io::Result<()> {
        self.unwritten.extend_from_slice(&encode_record(
            KIND_END,
            SessionKey(0),
            Mark { term: Term(0), position: 0.0 },
        ));
        self.sync()
    }

    pub fn bytes(&self) -> u64 {
        self.bytes + self.unwritten.len() as u64
    }
}

/// Merges the marks of each session and drops sessions whose marks are older than `since`.
fn merge_marks(marks: &[(SessionKey, SessionMarks)], since: f64) -> Vec<(SessionKey, SessionMarks)> {
    let mut merged: Vec<(SessionKey, SessionMarks)> =
        marks.iter().filter(|(_, s)| s.latest() >= since).cloned().collect();
    merged.sort_by_key(|(key, _)| *key);
    merged.dedup_by(|next, previous| {
        let same_session = next.0 == previous.0;
        if same_session {
            previous.1.merge(&next.1);
        }
        same_session
    });
    merged
}

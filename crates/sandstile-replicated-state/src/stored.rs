//! The file format of a stored copy: a header followed by records. Each record has its own checksum, so a corrupt
//! record does not affect the others, but the file no longer counts as intact. Facts merge, so their order and
//! repetitions do not matter. Separate records state the version that the file reaches and whether it is complete;
//! the header names the generation.
use crate::fact::{Fact, Key};
use crate::wire::{decode_fact, encode_fact};

const MAGIC: &[u8; 8] = b"sndstat1";
const HEADER_LENGTH: usize = 8 + 8 + 4;
/// Bytes around the content of each record: the length twice and a checksum.
const RECORD_OVERHEAD: usize = 2 + 2 + 4;
/// Maximum length of a record's content.
const MAX_RECORD_LENGTH: usize = 512;
/// Maximum number of facts read from one file: the limits of all kinds together, each fact written a few times.
pub const MAX_FACTS: usize = 1 << 20;

const FACT_RECORD: u8 = 1;
const VERSION_RECORD: u8 = 2;
const END_RECORD: u8 = 3;

fn checksum(generation: u64, content: &[u8]) -> [u8; 4] {
    let mut hash = blake3::Hasher::new();
    hash.update(&generation.to_be_bytes());
    hash.update(content);
    let hash = hash.finalize();
    std::array::from_fn(|n| hash.as_bytes()[n])
}

/// The header of a file of this generation.
pub fn header(generation: u64) -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend_from_slice(&generation.to_be_bytes());
    out.extend_from_slice(&checksum(generation, MAGIC));
    out
}

fn write_record(out: &mut Vec<u8>, generation: u64, content: &[u8]) {
    let length = content.len() as u16;
    out.extend_from_slice(&length.to_be_bytes());
    out.extend_from_slice(&(!length).to_be_bytes());
    out.extend_from_slice(content);
    out.extend_from_slice(&checksum(generation, content));
}

/// Appends a fact. `now` is stored with it, because its age is relative to that time.
pub fn write_fact(out: &mut Vec<u8>, generation: u64, now: f64, key: &Key, fact: &Fact) {
    let mut content = vec![FACT_RECORD];
    content.extend_from_slice(&now.to_bits().to_be_bytes());
    encode_fact(&mut content, now, key, fact);
    write_record(out, generation, &content);
}

/// Records that all changes up to this version precede this record.
pub fn write_version(out: &mut Vec<u8>, generation: u64, version: u64) {
    let mut content = vec![VERSION_RECORD];
    content.extend_from_slice(&version.to_be_bytes());
    write_record(out, generation, &content);
}

/// Records a clean shutdown of this generation: everything that it knew precedes this record.
pub fn write_end(out: &mut Vec<u8>, generation: u64, version: u64) {
    let mut content = vec![END_RECORD];
    content.extend_from_slice(&version.to_be_bytes());
    write_record(out, generation, &content);
}

/// What was read from a file.
#[derive(Clone, Debug, Default)]
pub struct FileContents {
    /// `None` if the header cannot be read; then nothing else is read either.
    pub generation: Option<u64>,
    pub facts: Vec<(Key, Fact)>,
    /// The last version that was recorded.
    pub version: u64,
    /// The file ends with the record of a clean shutdown.
    pub ended_cleanly: bool,
    /// Number of places with unreadable bytes or records.
    pub corrupt: usize,
    pub bytes: usize,
}

impl FileContents {
    pub fn is_intact(&self) -> bool {
        self.generation.is_some() && self.corrupt == 0
    }
}

/// The content of the record at the start of `bytes` and the total length of the record.
fn read_record(bytes: &[u8], generation: u64) -> Option<(&[u8], usize)> {
    let read_u16 = |at: usize| Some(u16::from_be_bytes(bytes.get(at..at + 2)?.try_into().ok()?));
    let length = read_u16(0)?;
    if read_u16(2)? != !length || !(1..=MAX_RECORD_LENGTH).contains(&usize::from(length)) {
        return None;
    }
    let content = bytes.get(4..4 + usize::from(length))?;
    let stored_checksum = bytes.get(4 + content.len()..RECORD_OVERHEAD + content.len())?;
    (stored_checksum == checksum(generation, content)).then_some((content, RECORD_OVERHEAD + content.len()))
}

/// Reads everything that is readable. A fact's age is its age when it was written plus the time since then.
pub fn read(bytes: &[u8]) -> FileContents {
    let mut contents = FileContents { bytes: bytes.len(), ..FileContents::default() };
    let read_u64 = |b: &[u8]| b.get(..8).and_then(|b| b.try_into().ok()).map(u64::from_be_bytes);
    let generation = bytes.get(..HEADER_LENGTH).filter(|header_bytes| &header_bytes[..8] == MAGIC).and_then(
        |header_bytes| {
            let generation = read_u64(&header_bytes[8..])?;
            (header_bytes[16..] == checksum(generation, MAGIC)).then_some(generation)
        },
    );
    let Some(generation) = generation else { return contents };
    contents.generation = Some(generation);
    let (mut offset, mut skipping) = (HEADER_LENGTH, false);
    while offset < bytes.len() {
        let Some((content, length)) = read_record(&bytes[offset..], generation) else {
            // Search for the next readable record byte by byte, because the length of a corrupt record cannot be
            // trusted.
            contents.corrupt += usize::from(!skipping);
            skipping = true;
            offset += 1;
            continue;
        };
        skipping = false;
        offset += length;
        contents.ended_cleanly = false;
        match (content[0], read_u64(&content[1..])) {
            (FACT_RECORD, Some(time_bits)) => {
                let written_at = f64::from_bits(time_bits);
                match decode_fact(&content[9..], written_at).filter(|_| written_at.is_finite()) {
                    Some(fact) if contents.facts.len() < MAX_FACTS => contents.facts.push(fact),
                    _ => contents.corrupt += 1,
                }
            }
            (VERSION_RECORD, Some(version)) => contents.version = version,
            (END_RECORD, Some(version)) => (contents.version, contents.ended_cleanly) = (version, true),
            _ => contents.corrupt += 1,
        }
    }
    contents
}

/// The contents of a witness file: the last generation that started and the last version that it recorded. It is
/// stored apart from the copy.
pub fn witness(generation: u64, version: u64) -> Vec<u8> {
    let mut out = b"sndwitn1".to_vec();
    out.extend_from_slice(&generation.to_be_bytes());
    out.extend_from_slice(&version.to_be_bytes());
    let witness_checksum = checksum(generation, &out);
    out.extend_from_slice(&witness_checksum);
    out
}

pub fn read_witness(bytes: &[u8]) -> Option<(u64, u64)> {
    let content = bytes.get(..24).filter(|c| bytes.len() == 28 && &c[..8] == b"sndwitn1")?;
    let read_u64 = |at: usize| Some(u64::from_be_bytes(content.get(at..at + 8)?.try_into().ok()?));
    let (generation, version) = (read_u64(8)?, read_u64(16)?);
    (bytes[24..] == checksum(generation, content)).then_some((generation, version))
}

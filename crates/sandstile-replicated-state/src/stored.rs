//! A copy as bytes on a disk: a head, and records behind it. Each record stands by itself, with a check of its own, so that one that is
//! spoilt takes no other with it; the file is then not whole. Facts merge, so that order and repeats mean nothing; what a file is as a
//! whole - of which life, up to which number, said to be all or not - stands in records of their own.
use crate::fact::{Fact, Key};
use crate::wire::{decode_fact, encode_fact};

const MAGIC: &[u8; 8] = b"sndstat1";
const HEAD: usize = 8 + 8 + 4;
/// Before and behind each record: its length twice, a check.
const AROUND: usize = 2 + 2 + 4;
/// No record is longer.
const LONGEST: usize = 512;
/// Facts that are read from one file at the most: all kinds' bounds together, each written a few times.
pub const MOST_FACTS: usize = 1 << 20;

const FACT: u8 = 1;
const NUMBER: u8 = 2;
const ENDED: u8 = 3;

fn check(generation: u64, content: &[u8]) -> [u8; 4] {
    let mut hash = blake3::Hasher::new();
    hash.update(&generation.to_be_bytes());
    hash.update(content);
    let hash = hash.finalize();
    std::array::from_fn(|n| hash.as_bytes()[n])
}

/// How a file of this life begins.
pub fn header(generation: u64) -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend_from_slice(&generation.to_be_bytes());
    out.extend_from_slice(&check(generation, MAGIC));
    out
}

fn record(out: &mut Vec<u8>, generation: u64, content: &[u8]) {
    let length = content.len() as u16;
    out.extend_from_slice(&length.to_be_bytes());
    out.extend_from_slice(&(!length).to_be_bytes());
    out.extend_from_slice(content);
    out.extend_from_slice(&check(generation, content));
}

/// A fact; `now` is put down with it, since its age is reckoned from there.
pub fn write_fact(out: &mut Vec<u8>, generation: u64, now: f64, key: &Key, fact: &Fact) {
    let mut content = vec![FACT];
    content.extend_from_slice(&now.to_bits().to_be_bytes());
    encode_fact(&mut content, now, key, fact);
    record(out, generation, &content);
}

/// All changes up to this number stand before it.
pub fn write_version(out: &mut Vec<u8>, generation: u64, version: u64) {
    let mut content = vec![NUMBER];
    content.extend_from_slice(&version.to_be_bytes());
    record(out, generation, &content);
}

/// This life has ended in order, and all that it knew stands before this.
pub fn write_end(out: &mut Vec<u8>, generation: u64, version: u64) {
    let mut content = vec![ENDED];
    content.extend_from_slice(&version.to_be_bytes());
    record(out, generation, &content);
}

/// What was found in a file.
#[derive(Clone, Debug, Default)]
pub struct FileContents {
    /// `None` where the head can't be read: then nothing else is.
    pub generation: Option<u64>,
    pub facts: Vec<(Key, Fact)>,
    /// The last number that was put down.
    pub version: u64,
    /// It ends with the word that this is all.
    pub ended_cleanly: bool,
    /// Places at which bytes could not be read.
    pub corrupt: usize,
    pub bytes: usize,
}

impl FileContents {
    pub fn is_intact(&self) -> bool {
        self.generation.is_some() && self.corrupt == 0
    }
}

/// The content of a record that begins here, and how long all of it is.
fn at(bytes: &[u8], generation: u64) -> Option<(&[u8], usize)> {
    let two = |at: usize| Some(u16::from_be_bytes(bytes.get(at..at + 2)?.try_into().ok()?));
    let length = two(0)?;
    if two(2)? != !length || !(1..=LONGEST).contains(&usize::from(length)) {
        return None;
    }
    let content = bytes.get(4..4 + usize::from(length))?;
    let told = bytes.get(4 + content.len()..AROUND + content.len())?;
    (told == check(generation, content)).then_some((content, AROUND + content.len()))
}

/// Reads what can be read. Facts are as old as they were when they were put down and the time since.
pub fn read(bytes: &[u8]) -> FileContents {
    let mut found = FileContents { bytes: bytes.len(), ..FileContents::default() };
    let eight = |b: &[u8]| b.get(..8).and_then(|b| b.try_into().ok()).map(u64::from_be_bytes);
    let generation = bytes.get(..HEAD).filter(|h| &h[..8] == MAGIC).and_then(|h| {
        let generation = eight(&h[8..])?;
        (h[16..] == check(generation, MAGIC)).then_some(generation)
    });
    let Some(generation) = generation else { return found };
    found.generation = Some(generation);
    let (mut from, mut lost) = (HEAD, false);
    while from < bytes.len() {
        let Some((content, long)) = at(&bytes[from..], generation) else {
            // The next that can be read is looked for byte by byte; a record's length alone can't be trusted.
            found.corrupt += usize::from(!lost);
            lost = true;
            from += 1;
            continue;
        };
        lost = false;
        from += long;
        found.ended_cleanly = false;
        match (content[0], eight(&content[1..])) {
            (FACT, Some(bits)) => {
                let written = f64::from_bits(bits);
                match decode_fact(&content[9..], written).filter(|_| written.is_finite()) {
                    Some(fact) if found.facts.len() < MOST_FACTS => found.facts.push(fact),
                    _ => found.corrupt += 1,
                }
            }
            (NUMBER, Some(version)) => found.version = version,
            (ENDED, Some(version)) => (found.version, found.ended_cleanly) = (version, true),
            _ => found.corrupt += 1,
        }
    }
    found
}

/// A witness: which life began last, and the last number that it put down. Kept where the copy is not.
pub fn witness(generation: u64, version: u64) -> Vec<u8> {
    let mut out = b"sndwitn1".to_vec();
    out.extend_from_slice(&generation.to_be_bytes());
    out.extend_from_slice(&version.to_be_bytes());
    let proof = check(generation, &out);
    out.extend_from_slice(&proof);
    out
}

pub fn read_witness(bytes: &[u8]) -> Option<(u64, u64)> {
    let content = bytes.get(..24).filter(|c| bytes.len() == 28 && &c[..8] == b"sndwitn1")?;
    let eight = |at: usize| Some(u64::from_be_bytes(content.get(at..at + 8)?.try_into().ok()?));
    let (generation, version) = (eight(8)?, eight(16)?);
    (bytes[24..] == check(generation, content)).then_some((generation, version))
}

//! Journals cut at every byte, with every bit flipped, on a full disk, of a newer version.
use sandstile_journal::{read, Journal, JournalError, Medium};
use sandstile_sessions::mark::{Mark, SessionMarks, Term};
use sandstile_sessions::store::SessionKey;
use std::io::{self, Write};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

/// A disk of so many bytes; what was synced stays through a power cut.
#[derive(Clone, Default)]
struct Disk {
    bytes: Arc<Mutex<Vec<u8>>>,
    most: Option<usize>,
}

impl Write for Disk {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut disk = self.bytes.lock().expect("a disk");
        let room = self.most.map_or(usize::MAX, |most| most.saturating_sub(disk.len()));
        if room == 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let n = bytes.len().min(room);
        disk.extend_from_slice(&bytes[..n]);
        Ok(n)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Medium for Disk {
    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn seen(n: u64) -> SessionMarks {
    SessionMarks::of(Mark { term: Term(1 + n % 2), position: 1000.0 + n as f64 })
}

fn written(n: u64) -> Vec<u8> {
    let disk = Disk::default();
    let mut journal = Journal::begin(disk.clone()).expect("a disk");
    (0..n).for_each(|k| journal.append(SessionKey(k), &seen(k)).expect("room"));
    journal.append(SessionKey(n), &SessionMarks::Lost(1000.0 + n as f64)).expect("room");
    journal.sync().expect("room");
    let bytes = disk.bytes.lock().expect("a disk").clone();
    bytes
}

/// Whatever part of the tail is gone, what stands before it is read, and nothing is made up.
#[test]
fn a_journal_cut_at_any_byte_holds_what_stands_before_the_cut() {
    let whole = written(6);
    let (head, record) = (24, 40);
    assert_eq!(whole.len(), head + 7 * record);
    for cut in 0..=whole.len() {
        let found = read(&whole[..cut]).unwrap_or_else(|e| panic!("{cut}: {e}"));
        let there = cut.saturating_sub(head) / record;
        assert_eq!((found.marks.len(), found.intact, found.damaged_records), (there, true, 0), "{cut}");
        for (n, (key, told)) in found.marks.iter().enumerate() {
            let want = if n < 6 { seen(n as u64) } else { SessionMarks::Lost(1006.0) };
            assert_eq!((*key, told), (SessionKey(n as u64), &want), "{cut}");
        }
    }
}

/// One bit anywhere: the record it is in is left out and the journal is not whole; nothing else is lost, nothing is
/// believed that was not written.
#[test]
fn a_flipped_bit_spoils_one_record_and_is_told() {
    let whole = written(4);
    for bit in 0..whole.len() * 8 {
        let mut bytes = whole.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        match read(&bytes) {
            Err(JournalError::Stranger) => assert!(bit / 8 < 24, "{bit}"),
            Ok(found) => {
                assert!(bit / 8 >= 24 && !found.intact, "{bit}");
                assert_eq!((found.marks.len(), found.damaged_records), (4, 1), "{bit}");
            }
            Err(other) => panic!("{bit}: {other}"),
        }
    }
}

#[test]
fn a_newer_file_and_a_stranger_are_left_alone() {
    let dir = folder("newer");
    let path = dir.join("marks");
    let mut newer = written(1);
    newer[8] = 9;
    let sum = blake3::hash(&newer[..16]);
    newer[16..24].copy_from_slice(&sum.as_bytes()[..8]);
    for (bytes, newer) in [(newer, true), (b"something else that is longer than a head".to_vec(), false)] {
        std::fs::write(&path, &bytes).expect("a place for files");
        match Journal::open(&path, 0.0) {
            Err(JournalError::Newer(9)) if newer => {}
            Err(JournalError::Stranger) if !newer => {}
            Err(other) => panic!("{other}"),
            Ok(_) => panic!("taken up"),
        }
        assert_eq!(std::fs::read(&path).expect("a file"), bytes, "left as it was");
    }
    std::fs::remove_dir_all(dir).expect("our own folder");
}

#[test]
fn a_full_disk_is_told_and_what_was_written_before_is_read() {
    for most in 24..200 {
        let disk = Disk { most: Some(most), ..Disk::default() };
        let mut journal = Journal::begin(disk.clone()).expect("room for a head");
        let mut kept = 0;
        for n in 0..10 {
            journal.append(SessionKey(n), &seen(n)).expect("in memory yet");
            if journal.sync().is_err() {
                break;
            }
            kept += 1;
        }
        assert!(kept < 10);
        let found = read(&disk.bytes.lock().expect("a disk")).expect("a journal");
        assert_eq!((found.marks.len(), found.intact), (kept, true), "{most}");
    }
    let tiny = Disk { most: Some(10), ..Disk::default() };
    assert!(matches!(Journal::begin(tiny), Err(JournalError::Io(_))));
}

fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("sandstile-journal-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a place for files");
    dir
}

/// Taken up again: each session once, the old ones gone, and the end in order is known until the next word.
#[test]
fn a_journal_is_taken_up_where_it_ended() {
    let dir = folder("again");
    let path = dir.join("marks");
    let (mut journal, found) = Journal::open(&path, 0.0).expect("a place for files");
    assert!(found.marks.is_empty() && !found.intact && !found.closed_cleanly);
    for n in 0..100 {
        journal.append(SessionKey(n % 10), &seen(n)).expect("room");
    }
    journal.end().expect("room");
    drop(journal);
    let (mut journal, found) = Journal::open(&path, 1095.0).expect("a journal");
    assert!(found.intact && found.closed_cleanly);
    assert_eq!(found.marks.len(), 5);
    let longest = found.marks.iter().map(|(_, s)| s.latest()).fold(0.0, f64::max);
    assert_eq!((longest, journal.bytes()), (1099.0, 24 + 5 * 40));
    journal.append(SessionKey(77), &seen(200)).expect("room");
    journal.sync().expect("room");
    drop(journal);
    let found = read(&std::fs::read(&path).expect("a file")).expect("a journal");
    assert!(found.intact && !found.closed_cleanly && found.marks.len() == 6);
    // A write beside it that was cut off by a power cut is no journal's part.
    std::fs::write(dir.join("marks.new"), b"half").expect("a place for files");
    let (_, found) = Journal::open(&path, 0.0).expect("a journal");
    assert_eq!(found.marks.len(), 6);
    std::fs::remove_dir_all(dir).expect("our own folder");
}

/// Marks that come faster than syncs are due put none of them off: no mark waits longer than was promised.
#[test]
fn steady_writes_do_not_put_a_sync_off() {
    let mut pace = sandstile_journal::pace::SyncSchedule::new(0.100);
    assert!(pace.wait(0.0).is_none() && !pace.due(5.0));
    let (mut syncs, mut oldest) = (0, None::<f64>);
    for n in 0..1000 {
        let now = f64::from(n) * 0.010;
        oldest.get_or_insert(now);
        pace.wrote(now);
        if pace.due(now) {
            syncs += 1;
            oldest = None;
        }
        assert!(oldest.is_none_or(|since| now - since < 0.100 + 1e-9), "{now}");
    }
    assert!((85..=101).contains(&syncs), "{syncs} in ten seconds");
}

//! Reads journals that are truncated at every byte, have any bit flipped, come from a full disk or have a
//! newer version.
use sandstile_journal::{read, Journal, JournalError, Medium};
use sandstile_sessions::mark::{Mark, SessionMarks, Term};
use sandstile_sessions::store::SessionKey;
use std::io::{self, Write};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

/// A simulated disk with a limited capacity, where written bytes survive a power failure.
#[derive(Clone, Default)]
struct Disk {
    bytes: Arc<Mutex<Vec<u8>>>,
    capacity: Option<usize>,
}

impl Write for Disk {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut disk = self.bytes.lock().expect("the lock of the disk is not poisoned");
        let free_bytes = self.capacity.map_or(usize::MAX, |capacity| capacity.saturating_sub(disk.len()));
        if free_bytes == 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let n = bytes.len().min(free_bytes);
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

fn marks_of(n: u64) -> SessionMarks {
    SessionMarks::of(Mark { term: Term(1 + n % 2), position: 1000.0 + n as f64 })
}

fn journal_bytes(n: u64) -> Vec<u8> {
    let disk = Disk::default();
    let mut journal = Journal::create(disk.clone()).expect("there is room on the disk for the header");
    (0..n).for_each(|k| journal.append(SessionKey(k), &marks_of(k)).expect("there is room on the disk"));
    journal.append(SessionKey(n), &SessionMarks::Lost(1000.0 + n as f64)).expect("there is room on the disk");
    journal.sync().expect("there is room on the disk");
    let bytes = disk.bytes.lock().expect("the lock of the disk is not poisoned").clone();
    bytes
}

/// A journal that lost any part of its tail still yields the complete records before the cut, and no others.
#[test]
fn truncated_journal_yields_the_complete_records_before_the_cut() {
    let whole = journal_bytes(6);
    let (header, record) = (24, 40);
    assert_eq!(whole.len(), header + 7 * record);
    for cut in 0..=whole.len() {
        let found = read(&whole[..cut]).unwrap_or_else(|e| panic!("{cut}: {e}"));
        let complete_records = cut.saturating_sub(header) / record;
        assert_eq!(
            (found.marks.len(), found.intact, found.damaged_records),
            (complete_records, true, 0),
            "{cut}"
        );
        for (n, (key, marks)) in found.marks.iter().enumerate() {
            let expected = if n < 6 { marks_of(n as u64) } else { SessionMarks::Lost(1006.0) };
            assert_eq!((*key, marks), (SessionKey(n as u64), &expected), "{cut}");
        }
    }
}

/// A single flipped bit damages one record: the journal is no longer intact, the other records are read, and
/// no content is returned that was not written.
#[test]
fn flipped_bit_damages_one_record_and_is_reported() {
    let whole = journal_bytes(4);
    for bit in 0..whole.len() * 8 {
        let mut bytes = whole.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        match read(&bytes) {
            Err(JournalError::NotAJournal) => assert!(bit / 8 < 24, "{bit}"),
            Ok(found) => {
                assert!(bit / 8 >= 24 && !found.intact, "{bit}");
                assert_eq!((found.marks.len(), found.damaged_records), (4, 1), "{bit}");
            }
            Err(other) => panic!("{bit}: {other}"),
        }
    }
}

#[test]
fn newer_and_foreign_files_are_left_unchanged() {
    let dir = test_directory("newer");
    let path = dir.join("marks");
    let mut newer = journal_bytes(1);
    newer[8] = 9;
    let checksum_bytes = blake3::hash(&newer[..16]);
    newer[16..24].copy_from_slice(&checksum_bytes.as_bytes()[..8]);
    for (bytes, newer) in [(newer, true), (b"something else that is longer than a head".to_vec(), false)] {
        std::fs::write(&path, &bytes).expect("the directory for the files is writable");
        match Journal::open(&path, 0.0) {
            Err(JournalError::NewerVersion(9)) if newer => {}
            Err(JournalError::NotAJournal) if !newer => {}
            Err(other) => panic!("{other}"),
            Ok(_) => panic!("the file was accepted"),
        }
        assert_eq!(std::fs::read(&path).expect("the file exists"), bytes, "the file is left as it was");
    }
    std::fs::remove_dir_all(dir).expect("the test directory can be removed");
}

#[test]
fn full_disk_is_reported_and_earlier_records_are_read() {
    for capacity in 24..200 {
        let disk = Disk { capacity: Some(capacity), ..Disk::default() };
        let mut journal = Journal::create(disk.clone()).expect("room for a header");
        let mut synced_marks = 0;
        for n in 0..10 {
            journal.append(SessionKey(n), &marks_of(n)).expect("the record is buffered in memory");
            if journal.sync().is_err() {
                break;
            }
            synced_marks += 1;
        }
        assert!(synced_marks < 10);
        let found = read(&disk.bytes.lock().expect("the lock of the disk is not poisoned"))
            .expect("the journal is readable");
        assert_eq!((found.marks.len(), found.intact), (synced_marks, true), "{capacity}");
    }
    let tiny = Disk { capacity: Some(10), ..Disk::default() };
    assert!(matches!(Journal::create(tiny), Err(JournalError::Io(_))));
}

fn test_directory(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("sandstile-journal-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("the directory for the files is writable");
    dir
}

/// A reopened journal holds each session once and no expired marks. The clean end is reported until the next
/// record is appended.
#[test]
fn reopened_journal_merges_marks_and_reports_a_clean_end() {
    let dir = test_directory("again");
    let path = dir.join("marks");
    let (mut journal, found) = Journal::open(&path, 0.0).expect("the directory for the files is writable");
    assert!(found.marks.is_empty() && !found.intact && !found.closed_cleanly);
    for n in 0..100 {
        journal.append(SessionKey(n % 10), &marks_of(n)).expect("there is room on the disk");
    }
    journal.end().expect("there is room on the disk");
    drop(journal);
    let (mut journal, found) = Journal::open(&path, 1095.0).expect("the journal is readable");
    assert!(found.intact && found.closed_cleanly);
    assert_eq!(found.marks.len(), 5);
    let latest = found.marks.iter().map(|(_, s)| s.latest()).fold(0.0, f64::max);
    assert_eq!((latest, journal.bytes()), (1099.0, 24 + 5 * 40));
    journal.append(SessionKey(77), &marks_of(200)).expect("there is room on the disk");
    journal.sync().expect("there is room on the disk");
    drop(journal);
    let found = read(&std::fs::read(&path).expect("the file exists")).expect("the journal is readable");
    assert!(found.intact && !found.closed_cleanly && found.marks.len() == 6);
    // The rest of a replacement file that was interrupted by a power failure is ignored.
    std::fs::write(dir.join("marks.new"), b"half").expect("the directory for the files is writable");
    let (_, found) = Journal::open(&path, 0.0).expect("the journal is readable");
    assert_eq!(found.marks.len(), 6);
    std::fs::remove_dir_all(dir).expect("the test directory can be removed");
}

/// Marks that arrive faster than syncs are due do not delay a sync: no mark waits longer than the interval.
#[test]
fn steady_writes_do_not_delay_a_sync() {
    let mut schedule = sandstile_journal::sync_schedule::SyncSchedule::new(0.100);
    assert!(schedule.wait(0.0).is_none() && !schedule.due(5.0));
    let (mut syncs, mut oldest) = (0, None::<f64>);
    for n in 0..1000 {
        let now = f64::from(n) * 0.010;
        oldest.get_or_insert(now);
        schedule.record_write(now);
        if schedule.due(now) {
            syncs += 1;
            oldest = None;
        }
        assert!(oldest.is_none_or(|since| now - since < 0.100 + 1e-9), "{now}");
    }
    assert!((85..=101).contains(&syncs), "{syncs} syncs in ten seconds");
}

//! Tests of recordings: round trips, truncation at every byte, flipped bits, unknown versions, and a
//! recording that is larger than a reader or writer should hold in memory.
use quickcheck::{Gen, QuickCheck};
use sandstile_recording::edit::{cut, inspect, merge, scale};
use sandstile_recording::{Arrival, Header, RecordingError, RecordingReader, RecordingWriter};

fn header() -> Header {
    let names = |all: &[&str]| all.iter().map(|n| n.to_string()).collect();
    Header { salt: [3; 16], workloads: names(&["look", "save", "own"]), groups: names(&["1", "2"]) }
}

fn arrival(n: u64) -> Arrival {
    Arrival {
        at_us: n * 10_000,
        workload: (n % 3) as u32,
        group: (n % 2) as u32,
        session: header().session(&format!("u{}", n % 7)),
        wait_ms: 1000,
        is_retry: n.is_multiple_of(5),
    }
}

fn recorded(all: &[Arrival]) -> Vec<u8> {
    let mut recorder = RecordingWriter::begin(Vec::new(), &header()).expect("written to memory");
    all.iter().for_each(|a| recorder.add(a).expect("written to memory"));
    recorder.end().expect("written to memory")
}

fn read(bytes: &[u8]) -> Result<Vec<Arrival>, (usize, RecordingError)> {
    let mut reader = RecordingReader::open(bytes).map_err(|e| (0, e))?;
    let mut all = Vec::new();
    loop {
        match reader.next_arrival() {
            Ok(Some(a)) => all.push(a),
            Ok(None) => return Ok(all),
            Err(e) => return Err((all.len(), e)),
        }
    }
}

#[test]
fn recorded_arrivals_are_read_back_unchanged() {
    fn reads_back_equal(steps: Vec<(u32, u8, bool, u64, u32)>) -> bool {
        let mut at_us = 0;
        let all: Vec<Arrival> = steps
            .into_iter()
            .map(|(step, kind, is_retry, session, wait_ms)| {
                at_us += u64::from(step);
                let (workload, group) = (u32::from(kind) % 3, u32::from(kind) % 2);
                Arrival { at_us, workload, group, session, wait_ms, is_retry }
            })
            .collect();
        read(&recorded(&all)).is_ok_and(|played| played == all)
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(80, 6)).tests(300);
    check.quickcheck(reads_back_equal as fn(Vec<(u32, u8, bool, u64, u32)>) -> bool);
}

/// Truncation at any byte is reported as such and yields no invented arrivals; a change of any bit is
/// detected.
#[test]
fn a_truncated_or_changed_recording_is_detected() {
    let all: Vec<Arrival> = (0..40).map(arrival).collect();
    let bytes = recorded(&all);
    for end in 0..bytes.len() {
        match read(&bytes[..end]) {
            Err((n, RecordingError::Truncated)) => assert!(n == 0 || n == 40, "{end}: {n}"),
            other => panic!("{end}: {other:?}"),
        }
    }
    for bit in 0..bytes.len() * 8 {
        let mut changed = bytes.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert!(read(&changed).is_err(), "{bit}");
    }
    let mut newer = bytes;
    newer[8] = 2;
    assert!(matches!(read(&newer), Err((0, RecordingError::UnsupportedVersion(2)))));
    assert!(matches!(read(b"not a recording at all"), Err((0, RecordingError::NotARecording))));
}

#[test]
fn session_names_are_not_stored_and_recordings_with_other_salts_do_not_match() {
    let bytes = recorded(&(0..100).map(arrival).collect::<Vec<_>>());
    assert!(!bytes.windows(2).any(|w| w == b"u3"));
    let other = Header { salt: [4; 16], ..header() };
    assert_ne!(header().session("ann"), other.session("ann"));
    assert_eq!(header().session("ann"), header().session("ann"));
}

#[test]
fn cut_scaled_and_merged_recordings_hold_the_expected_arrivals() {
    let bytes = recorded(&(0..1000).map(arrival).collect::<Vec<_>>());
    let open = || RecordingReader::open(&bytes[..]).expect("a valid recording");
    let mut out = Vec::new();
    assert_eq!(cut(&mut open(), &mut out, 2.0, 5.0).expect("a valid recording"), 300);
    let part = read(&out).expect("a valid recording");
    assert_eq!((part[0].at_us, part[299].at_us), (0, 2_990_000));
    let mut out = Vec::new();
    assert_eq!(scale(&mut open(), &mut out, 2.0, 3, 0.5).expect("a valid recording"), 3000);
    let summary =
        inspect(&mut RecordingReader::open(&out[..]).expect("a valid recording")).expect("a valid recording");
    assert_eq!((summary.arrivals, summary.by_workload.iter().sum::<u64>()), (3000, 3000));
    assert!((summary.seconds - (4.995 + 1.0)).abs() < 1e-6, "{}", summary.seconds);
    let scaled = read(&out).expect("a valid recording");
    assert!(scaled.windows(2).all(|w| w[0].at_us <= w[1].at_us));
    let sessions: std::collections::BTreeSet<u64> = scaled.iter().map(|a| a.session).collect();
    assert_eq!(sessions.len(), 21);
    // A second recording with other names of workloads and groups.
    let names = Header {
        salt: [9; 16],
        workloads: vec!["save".to_string(), "new".to_string()],
        groups: vec!["9".to_string()],
    };
    let mut other = RecordingWriter::begin(Vec::new(), &names).expect("written to memory");
    (0..10).for_each(|n| {
        other
            .add(&Arrival { at_us: n * 777, workload: (n % 2) as u32, group: 0, ..arrival(n) })
            .expect("written to memory")
    });
    let other = other.end().expect("written to memory");
    let mut out = Vec::new();
    let written =
        merge(&mut open(), &mut RecordingReader::open(&other[..]).expect("a valid recording"), &mut out)
            .expect("a valid recording");
    assert_eq!(written, 1010);
    let mut reader = RecordingReader::open(&out[..]).expect("a valid recording");
    assert_eq!(reader.header.workloads, ["look", "save", "own", "new"]);
    let summary = inspect(&mut reader).expect("a valid recording");
    assert_eq!((summary.by_workload[3], summary.by_group[2]), (5, 10));
}

/// Guards against a writer that collects the whole recording in memory: each write is smaller than 1 MiB.
#[test]
fn a_long_recording_is_written_in_pieces_of_one_block() {
    struct CountingSink(u64);
    impl std::io::Write for CountingSink {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            assert!(bytes.len() < 1 << 20, "a write larger than a block");
            self.0 += bytes.len() as u64;
            Ok(bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let mut recorder =
        RecordingWriter::begin(CountingSink(0), &header()).expect("the sink accepts all writes");
    let session = header().session("u1");
    for n in 0..2_000_000u64 {
        let a = Arrival { at_us: n * 500, workload: 0, group: 1, session, wait_ms: 1000, is_retry: false };
        recorder.add(&a).expect("the sink accepts all writes");
    }
    let bytes = recorder.end().expect("the sink accepts all writes").0;
    assert!(bytes < 2_000_000 * 15, "{bytes}");
}

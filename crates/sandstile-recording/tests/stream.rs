//! Recordings: round trips, cuts at every byte, flipped bits, other versions, and a stream that is longer than memory
//! would like.
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
    let mut recorder = RecordingWriter::begin(Vec::new(), &header()).expect("memory");
    all.iter().for_each(|a| recorder.add(a).expect("memory"));
    recorder.end().expect("memory")
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
fn what_is_recorded_is_played() {
    fn holds(steps: Vec<(u32, u8, bool, u64, u32)>) -> bool {
        let mut at = 0;
        let all: Vec<Arrival> = steps
            .into_iter()
            .map(|(step, kind, is_retry, session, wait_ms)| {
                at += u64::from(step);
                let (workload, group) = (u32::from(kind) % 3, u32::from(kind) % 2);
                Arrival { at_us: at, workload, group, session, wait_ms, is_retry }
            })
            .collect();
        read(&recorded(&all)).is_ok_and(|played| played == all)
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(80, 6)).tests(300);
    check.quickcheck(holds as fn(Vec<(u32, u8, bool, u64, u32)>) -> bool);
}

/// Cut anywhere: told as cut, and nothing made up. Any bit changed: told.
#[test]
fn a_recording_cut_or_changed_anywhere_is_told() {
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
fn names_of_sessions_are_not_in_it_and_two_recordings_cannot_be_matched() {
    let bytes = recorded(&(0..100).map(arrival).collect::<Vec<_>>());
    assert!(!bytes.windows(2).any(|w| w == b"u3"));
    let other = Header { salt: [4; 16], ..header() };
    assert_ne!(header().session("ann"), other.session("ann"));
    assert_eq!(header().session("ann"), header().session("ann"));
}

#[test]
fn cut_scaled_and_merged_they_hold_what_they_should() {
    let bytes = recorded(&(0..1000).map(arrival).collect::<Vec<_>>());
    let open = || RecordingReader::open(&bytes[..]).expect("ours");
    let mut out = Vec::new();
    assert_eq!(cut(&mut open(), &mut out, 2.0, 5.0).expect("ours"), 300);
    let part = read(&out).expect("ours");
    assert_eq!((part[0].at_us, part[299].at_us), (0, 2_990_000));
    let mut out = Vec::new();
    assert_eq!(scale(&mut open(), &mut out, 2.0, 3, 0.5).expect("ours"), 3000);
    let summary = inspect(&mut RecordingReader::open(&out[..]).expect("ours")).expect("ours");
    assert_eq!((summary.arrivals, summary.by_workload.iter().sum::<u64>()), (3000, 3000));
    assert!((summary.seconds - (4.995 + 1.0)).abs() < 1e-6, "{}", summary.seconds);
    let scaled = read(&out).expect("ours");
    assert!(scaled.windows(2).all(|w| w[0].at_us <= w[1].at_us));
    let sessions: std::collections::BTreeSet<u64> = scaled.iter().map(|a| a.session).collect();
    assert_eq!(sessions.len(), 21);
    // Another with names of its own.
    let names = Header {
        salt: [9; 16],
        workloads: vec!["save".to_string(), "new".to_string()],
        groups: vec!["9".to_string()],
    };
    let mut other = RecordingWriter::begin(Vec::new(), &names).expect("memory");
    (0..10).for_each(|n| {
        other
            .add(&Arrival { at_us: n * 777, workload: (n % 2) as u32, group: 0, ..arrival(n) })
            .expect("memory")
    });
    let other = other.end().expect("memory");
    let mut out = Vec::new();
    let written =
        merge(&mut open(), &mut RecordingReader::open(&other[..]).expect("ours"), &mut out).expect("ours");
    assert_eq!(written, 1010);
    let mut reader = RecordingReader::open(&out[..]).expect("ours");
    assert_eq!(reader.header.workloads, ["look", "save", "own", "new"]);
    let summary = inspect(&mut reader).expect("ours");
    assert_eq!((summary.by_workload[3], summary.by_group[2]), (5, 10));
}

/// Written to nowhere and read from a stream: what is held is a block, however long it is.
#[test]
fn a_long_recording_needs_no_more_memory_than_a_block() {
    struct Count(u64);
    impl std::io::Write for Count {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            assert!(bytes.len() < 1 << 20, "a piece at a time");
            self.0 += bytes.len() as u64;
            Ok(bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let mut recorder = RecordingWriter::begin(Count(0), &header()).expect("nowhere");
    let session = header().session("u1");
    for n in 0..2_000_000u64 {
        let a = Arrival { at_us: n * 500, workload: 0, group: 1, session, wait_ms: 1000, is_retry: false };
        recorder.add(&a).expect("nowhere");
    }
    let bytes = recorder.end().expect("nowhere").0;
    assert!(bytes < 2_000_000 * 15, "{bytes}");
}

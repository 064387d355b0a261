//! State files on failing disks, damaged files, and two processes in one directory.
use oorandom::Rand64;
use sandstile_durable_state::{open, StateDirectory, Storage};
use sandstile_replicated_state::catchup::{assess_trust, Trust};
use sandstile_replicated_state::{stored, wire, Fact, Key, Kind, Replica, Value};
use std::io;
use std::sync::{Arc, Mutex};

const NOW: f64 = 1_000_000.0;

/// A simulated disk with the number of bytes that are still free; 0 makes it read-only.
#[derive(Clone, Default)]
struct Disk(Arc<Mutex<DiskContents>>);

#[derive(Default)]
struct DiskContents {
    file: Option<Vec<u8>>,
    witness: Option<Vec<u8>>,
    free_bytes: Option<usize>,
}

impl DiskContents {
    fn reserve(&mut self, bytes: usize) -> io::Result<()> {
        match &mut self.free_bytes {
            None => Ok(()),
            Some(free_bytes) if *free_bytes >= bytes => {
                *free_bytes -= bytes;
                Ok(())
            }
            Some(_) => Err(io::Error::from(io::ErrorKind::StorageFull)),
        }
    }
}

impl Storage for Disk {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.lock().unwrap().file.clone())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut contents = self.0.lock().unwrap();
        contents.reserve(bytes.len())?;
        contents.file = Some(bytes.to_vec());
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut contents = self.0.lock().unwrap();
        // A disk that fills up accepts a part of the bytes.
        let accepted = contents.free_bytes.map_or(bytes.len(), |free_bytes| free_bytes.min(bytes.len()));
        contents.file.get_or_insert_with(Vec::new).extend_from_slice(&bytes[..accepted]);
        contents.reserve(bytes.len())
    }

    fn read_witness(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.lock().unwrap().witness.clone())
    }

    fn write_witness(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut contents = self.0.lock().unwrap();
        contents.reserve(bytes.len())?;
        contents.witness = Some(bytes.to_vec());
        Ok(())
    }
}

fn add_fact(replica: &mut Replica, n: usize) {
    let fact = Fact { value: Value::Max(NOW - 1.0), created_at: NOW };
    replica.learn(NOW, &Key::shared(Kind::LogPosition, &format!("g{n:05}")), &fact);
}

/// Runs one generation that adds facts and saves them repeatedly. Returns how far the found state was trusted
/// and the number of facts found.
fn run_generation(disk: &Disk, generation: u64, facts: usize, ends_cleanly: bool) -> (Trust, usize) {
    let opened = open(Box::new(disk.clone()), generation);
    let trust = assess_trust(opened.stored, opened.witness);
    let mut replica = Replica::new(300.0);
    for (key, fact) in &opened.found.facts {
        replica.learn(NOW, key, fact);
    }
    let found = replica.len();
    if let Ok(mut state_file) = opened.state_file {
        let mut writes_succeed = true;
        for n in 0..facts {
            add_fact(&mut replica, generation as usize * 1000 + n);
            writes_succeed =
                writes_succeed && (n % 7 > 0 || state_file.put(NOW, &replica.snapshot()).is_ok());
        }
        if ends_cleanly && writes_succeed {
            let _ = state_file.end(NOW, &replica.snapshot());
        }
    }
    (trust, found)
}

#[test]
fn only_a_cleanly_ended_generation_is_fully_trusted() {
    let disk = Disk::default();
    assert_eq!(run_generation(&disk, 1, 100, true), (Trust::None, 0));
    let copy = disk.0.lock().unwrap().file.clone();
    assert_eq!(run_generation(&disk, 2, 50, false), (Trust::All, 100));
    // The generation was killed: what was saved is found, but it may not be everything.
    let (trust, found) = run_generation(&disk, 3, 50, true);
    assert!(trust == Trust::Some && (140..=150).contains(&found), "{trust:?} {found}");
    // The copy of the first generation is restored: intact and cleanly ended, but outdated.
    disk.0.lock().unwrap().file = copy;
    assert_eq!(run_generation(&disk, 4, 0, true).0, Trust::Some);
    disk.0.lock().unwrap().witness = None;
    assert_eq!(
        run_generation(&disk, 5, 0, true).0,
        Trust::Some,
        "without a witness a copy is not trusted to hold all"
    );
    disk.0.lock().unwrap().file = None;
    assert_eq!(run_generation(&disk, 6, 0, true), (Trust::None, 0));
}

/// At whatever point the disk fills up or turns read-only, a later start never trusts an incomplete file to hold
/// everything.
#[test]
fn full_disk_never_leads_to_full_trust_in_a_partial_file() {
    for free_bytes in (0..12_000).step_by(97) {
        let disk = Disk::default();
        run_generation(&disk, 1, 20, true);
        disk.0.lock().unwrap().free_bytes = Some(free_bytes);
        run_generation(&disk, 2, 100, true);
        disk.0.lock().unwrap().free_bytes = None;
        let opened = open(Box::new(disk.clone()), 3);
        let all = assess_trust(opened.stored, opened.witness) == Trust::All;
        let mut replica = Replica::new(300.0);
        for (key, fact) in &opened.found.facts {
            replica.learn(NOW, key, fact);
        }
        // Either all facts of the second generation are there, or it saved none because its witness could not
        // be written.
        assert!(
            !all || replica.len() == 120 || (free_bytes < 28 && replica.len() == 20),
            "room for {free_bytes} bytes: {}",
            replica.len()
        );
    }
}

#[test]
fn second_process_cannot_open_the_same_state_directory() {
    let dir = std::env::temp_dir().join(format!("sandstile-durable-state-{}", std::process::id()));
    let first = StateDirectory::open(&dir, None).expect("the directory can be opened");
    let second = StateDirectory::open(&dir, None).err().expect("the second process gets an error");
    assert!(second.contains("another process"), "{second}");
    drop(first);
    StateDirectory::open(&dir, None).expect("the directory is unlocked again");
    let _ = std::fs::remove_dir_all(dir);
}

/// On a real disk, the next generation finds what was saved and ignores an incomplete replacement file.
#[test]
fn state_directory_restores_what_was_written() {
    let dir = std::env::temp_dir().join(format!("sandstile-durable-state-real-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    let (state, witness) = (dir.join("state"), dir.join("elsewhere"));
    let generation = |generation: u64| {
        open(
            Box::new(StateDirectory::open(&state, Some(&witness)).expect("the directory can be opened")),
            generation,
        )
    };
    let mut replica = Replica::new(300.0);
    (0..300).for_each(|n| add_fact(&mut replica, n));
    generation(1)
        .state_file
        .expect("the disk accepts the state file")
        .end(NOW, &replica.snapshot())
        .expect("there is room on the disk");
    std::fs::write(state.join("state.new"), b"half").expect("there is room on the disk");
    let opened = generation(2);
    assert_eq!((opened.found.facts.len(), opened.found.corrupt), (300, 0));
    assert_eq!(assess_trust(opened.stored, opened.witness), Trust::All);
    let _ = std::fs::remove_dir_all(dir);
}

fn state_file_bytes() -> Vec<u8> {
    let disk = Disk::default();
    run_generation(&disk, 1, 60, true);
    let bytes = disk.0.lock().unwrap().file.clone();
    bytes.expect("the file exists")
}

/// Reads files with bytes changed, removed, duplicated or made up: no panic, and only damaged records are
/// lost.
fn check_damaged_files(times: usize, seed: u64) {
    let whole = state_file_bytes();
    let mut rng = Rand64::new(u128::from(seed));
    for _ in 0..times {
        let mut bytes = whole.clone();
        let mut draw = |bound: usize| rng.rand_range(0..bound as u64) as usize;
        match draw(5) {
            0 => bytes.truncate(draw(whole.len())),
            1 => {
                for _ in 0..1 + draw(8) {
                    let position = draw(bytes.len());
                    bytes[position] ^= 1 + draw(255) as u8;
                }
            }
            2 => {
                let (from, to) = (draw(whole.len()), draw(whole.len()));
                bytes.drain(from.min(to)..from.max(to));
            }
            3 => {
                let position = draw(whole.len());
                let piece = whole[..draw(600)].to_vec();
                bytes.splice(position..position, piece);
            }
            _ => bytes = (0..draw(400)).map(|_| draw(256) as u8).collect(),
        }
        let found = stored::read(&bytes);
        assert!(
            found.facts.len() <= whole.len()
                && (found.corrupt > 0 || found.generation.is_none() || bytes.len() <= whole.len() + 600)
        );
        assert!(found.facts.iter().all(|(key, _)| key.is_valid()));
        let _ = stored::read_witness(&bytes);
        // The same bytes read as a message.
        if let Some((message, _)) = wire::decode(&bytes, NOW) {
            let _ = wire::encode(&message, NOW);
        }
    }
}

#[test]
fn damaged_files_lose_only_damaged_records() {
    check_damaged_files(4_000, 1);
    let mut bytes = state_file_bytes();
    let facts = stored::read(&bytes).facts.len();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    let found = stored::read(&bytes);
    assert_eq!((found.corrupt, found.facts.len()), (1, facts - 1), "one record is lost, and no other");
    assert!(!found.is_intact());
}

/// Not part of CI: `cargo test -p sandstile-durable-state --release -- --ignored`.
#[test]
#[ignore]
fn reading_a_million_damaged_files_never_panics() {
    check_damaged_files(1_000_000, 2);
}

/// Damaged messages of a peer are read or refused, and only damaged facts are left out.
#[test]
fn damaged_messages_lose_only_damaged_facts() {
    let mut replica = Replica::new(300.0);
    (0..40).for_each(|n| add_fact(&mut replica, n));
    let facts: Vec<_> = replica.iter().map(|(k, f)| (k.clone(), f.clone())).collect();
    let whole = wire::encode(&sandstile_replicated_state::Message::Facts(facts), NOW);
    let mut rng = Rand64::new(3);
    let mut readable = 0;
    for _ in 0..20_000 {
        let mut bytes = whole.clone();
        for _ in 0..1 + rng.rand_range(0..4) {
            let position = rng.rand_range(0..bytes.len() as u64) as usize;
            bytes[position] ^= 1 + (rng.rand_u64() % 255) as u8;
        }
        if let Some((sandstile_replicated_state::Message::Facts(facts), corrupt)) = wire::decode(&bytes, NOW)
        {
            assert!(facts.len() + corrupt <= 40);
            readable += usize::from(!facts.is_empty());
        }
    }
    assert!(readable > 10_000, "most facts of a damaged message are still read: {readable}");
}

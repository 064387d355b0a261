//! Disks that fail, files that are damaged, two processes in one folder.
use oorandom::Rand64;
use sandstile_durable_state::{open, StateDirectory, Storage};
use sandstile_replicated_state::catchup::{assess_trust, Trust};
use sandstile_replicated_state::{stored, wire, Fact, Key, Kind, Replica, Value};
use std::io;
use std::sync::{Arc, Mutex};

const NOW: f64 = 1_000_000.0;

/// What lies there, and after how many bytes it is full; read-only where that is 0.
#[derive(Clone, Default)]
struct Disk(Arc<Mutex<Held>>);

#[derive(Default)]
struct Held {
    file: Option<Vec<u8>>,
    witness: Option<Vec<u8>>,
    room: Option<usize>,
}

impl Held {
    fn takes(&mut self, bytes: usize) -> io::Result<()> {
        match &mut self.room {
            None => Ok(()),
            Some(room) if *room >= bytes => {
                *room -= bytes;
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
        let mut held = self.0.lock().unwrap();
        held.takes(bytes.len())?;
        held.file = Some(bytes.to_vec());
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut held = self.0.lock().unwrap();
        // A disk that fills up takes part of it.
        let some = held.room.map_or(bytes.len(), |room| room.min(bytes.len()));
        held.file.get_or_insert_with(Vec::new).extend_from_slice(&bytes[..some]);
        held.takes(bytes.len())
    }

    fn witness(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.lock().unwrap().witness.clone())
    }

    fn put_witness(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut held = self.0.lock().unwrap();
        held.takes(bytes.len())?;
        held.witness = Some(bytes.to_vec());
        Ok(())
    }
}

fn learn(replica: &mut Replica, n: usize) {
    let fact = Fact { value: Value::Max(NOW - 1.0), created_at: NOW };
    replica.learn(NOW, &Key::shared(Kind::LogPosition, &format!("g{n:05}")), &fact);
}

/// A whole life: so many facts, put down by and by; `true` where it ends in order.
fn live(disk: &Disk, generation: u64, facts: usize, ends: bool) -> (Trust, usize) {
    let opened = open(Box::new(disk.clone()), generation);
    let believed = assess_trust(opened.stored, opened.witness);
    let mut replica = Replica::new(300.0);
    for (key, fact) in &opened.found.facts {
        replica.learn(NOW, key, fact);
    }
    let found = replica.len();
    if let Ok(mut state_file) = opened.state_file {
        let mut well = true;
        for n in 0..facts {
            learn(&mut replica, generation as usize * 1000 + n);
            well = well && (n % 7 > 0 || state_file.put(NOW, &replica.snapshot()).is_ok());
        }
        if ends && well {
            let _ = state_file.end(NOW, &replica.snapshot());
        }
    }
    (believed, found)
}

#[test]
fn a_life_that_ended_in_order_is_believed_and_no_other() {
    let disk = Disk::default();
    assert_eq!(live(&disk, 1, 100, true), (Trust::None, 0));
    let copy = disk.0.lock().unwrap().file.clone();
    assert_eq!(live(&disk, 2, 50, false), (Trust::All, 100));
    // Killed: what was put down is there, and may not be all.
    let (believed, found) = live(&disk, 3, 50, true);
    assert!(believed == Trust::Some && (140..=150).contains(&found), "{believed:?} {found}");
    // The copy of the first life is put back: whole, ended in order, and old.
    disk.0.lock().unwrap().file = copy;
    assert_eq!(live(&disk, 4, 0, true).0, Trust::Some);
    disk.0.lock().unwrap().witness = None;
    assert_eq!(live(&disk, 5, 0, true).0, Trust::Some, "without a witness a copy is not all");
    disk.0.lock().unwrap().file = None;
    assert_eq!(live(&disk, 6, 0, true), (Trust::None, 0));
}

/// Wherever a disk fills up or turns read-only, what is found later is never taken for all that was known.
#[test]
fn a_disk_that_takes_no_more_makes_nobody_believe_too_much() {
    for room in (0..12_000).step_by(97) {
        let disk = Disk::default();
        live(&disk, 1, 20, true);
        disk.0.lock().unwrap().room = Some(room);
        live(&disk, 2, 100, true);
        disk.0.lock().unwrap().room = None;
        let opened = open(Box::new(disk.clone()), 3);
        let all = assess_trust(opened.stored, opened.witness) == Trust::All;
        let mut replica = Replica::new(300.0);
        for (key, fact) in &opened.found.facts {
            replica.learn(NOW, key, fact);
        }
        // All of the second life's, or nothing of it was there to be known: its witness could not be put down.
        assert!(
            !all || replica.len() == 120 || (room < 28 && replica.len() == 20),
            "room {room}: {}",
            replica.len()
        );
    }
}

#[test]
fn two_processes_keep_no_state_in_one_folder() {
    let dir = std::env::temp_dir().join(format!("sandstile-durable-state-{}", std::process::id()));
    let first = StateDirectory::open(&dir, None).expect("a folder");
    let second = StateDirectory::open(&dir, None).err().expect("the second is told");
    assert!(second.contains("another process"), "{second}");
    drop(first);
    StateDirectory::open(&dir, None).expect("free again");
    let _ = std::fs::remove_dir_all(dir);
}

/// On a real disk: what is put down is found by the next life, and a half-written file is not there.
#[test]
fn a_folder_holds_what_was_put() {
    let dir = std::env::temp_dir().join(format!("sandstile-durable-state-real-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    let (state, witness) = (dir.join("state"), dir.join("elsewhere"));
    let generation = |generation: u64| {
        open(Box::new(StateDirectory::open(&state, Some(&witness)).expect("a folder")), generation)
    };
    let mut replica = Replica::new(300.0);
    (0..300).for_each(|n| learn(&mut replica, n));
    generation(1).state_file.expect("a disk").end(NOW, &replica.snapshot()).expect("room");
    std::fs::write(state.join("state.new"), b"half").expect("room");
    let opened = generation(2);
    assert_eq!((opened.found.facts.len(), opened.found.corrupt), (300, 0));
    assert_eq!(assess_trust(opened.stored, opened.witness), Trust::All);
    let _ = std::fs::remove_dir_all(dir);
}

fn file() -> Vec<u8> {
    let disk = Disk::default();
    live(&disk, 1, 60, true);
    let bytes = disk.0.lock().unwrap().file.clone();
    bytes.expect("a file")
}

/// Bytes changed, cut, doubled, made up: read without a panic, and of what is spoilt nothing but itself is lost.
fn damage(times: usize, seed: u64) {
    let whole = file();
    let mut chance = Rand64::new(u128::from(seed));
    for _ in 0..times {
        let mut bytes = whole.clone();
        let mut draw = |most: usize| chance.rand_range(0..most as u64) as usize;
        match draw(5) {
            0 => bytes.truncate(draw(whole.len())),
            1 => {
                for _ in 0..1 + draw(8) {
                    let at = draw(bytes.len());
                    bytes[at] ^= 1 + draw(255) as u8;
                }
            }
            2 => {
                let (from, to) = (draw(whole.len()), draw(whole.len()));
                bytes.drain(from.min(to)..from.max(to));
            }
            3 => {
                let at = draw(whole.len());
                let some = whole[..draw(600)].to_vec();
                bytes.splice(at..at, some);
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
        // The same bytes as a message.
        if let Some((message, _)) = wire::decode(&bytes, NOW) {
            let _ = wire::encode(&message, NOW);
        }
    }
}

#[test]
fn damaged_files_are_read_as_far_as_they_can_be() {
    damage(4_000, 1);
    let mut bytes = file();
    let facts = stored::read(&bytes).facts.len();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    let found = stored::read(&bytes);
    assert_eq!((found.corrupt, found.facts.len()), (1, facts - 1), "one record, and no other");
    assert!(!found.is_intact());
}

/// Out of CI: `cargo test -p sandstile-durable-state --release -- --ignored`.
#[test]
#[ignore]
fn a_million_damaged_files() {
    damage(1_000_000, 2);
}

/// Frames as a peer might spoil them: each message read or refused, spoilt facts left out alone.
#[test]
fn spoilt_messages_lose_what_is_spoilt() {
    let mut replica = Replica::new(300.0);
    (0..40).for_each(|n| learn(&mut replica, n));
    let facts: Vec<_> = replica.iter().map(|(k, f)| (k.clone(), f.clone())).collect();
    let whole = wire::encode(&sandstile_replicated_state::Message::Facts(facts), NOW);
    let mut chance = Rand64::new(3);
    let mut some = 0;
    for _ in 0..20_000 {
        let mut bytes = whole.clone();
        for _ in 0..1 + chance.rand_range(0..4) {
            let at = chance.rand_range(0..bytes.len() as u64) as usize;
            bytes[at] ^= 1 + (chance.rand_u64() % 255) as u8;
        }
        if let Some((sandstile_replicated_state::Message::Facts(facts), corrupt)) = wire::decode(&bytes, NOW)
        {
            assert!(facts.len() + corrupt <= 40);
            some += usize::from(!facts.is_empty());
        }
    }
    assert!(some > 10_000, "most of a spoilt message is still read: {some}");
}

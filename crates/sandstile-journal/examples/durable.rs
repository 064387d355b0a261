//! The journal against `redb`: writes a second by how many share one sync, bytes, and time to recover.
//! `cargo run --release -p sandstile-journal --example durable [FOLDER]`
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use sandstile_journal::Journal;
use sandstile_sessions::mark::{Mark, SessionMarks, Term};
use sandstile_sessions::store::SessionKey;
use std::path::PathBuf;
use std::time::Instant;

const TABLE: TableDefinition<(u64, u64), u64> = TableDefinition::new("marks");

fn key(n: u64) -> SessionKey {
    SessionKey(n.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn mark(n: u64) -> Mark {
    Mark { term: Term(1), position: 1000.0 + n as f64 / 1000.0 }
}

fn main() {
    let folder = std::env::args().nth(1).map_or_else(std::env::temp_dir, PathBuf::from);
    let (ours, theirs) = (folder.join("durable.marks"), folder.join("durable.redb"));
    println!("marks a sync   journal writes/s      bytes   redb writes/s      bytes");
    for batch in [1u64, 10, 100, 1000] {
        let writes = (batch * 400).min(200_000);
        let _ = (std::fs::remove_file(&ours), std::fs::remove_file(&theirs));
        let (mut journal, _) = Journal::open(&ours, 0.0).expect("a place for files");
        let begun = Instant::now();
        for n in 0..writes {
            journal.append(key(n), &SessionMarks::of(mark(n))).expect("room");
            if (n + 1) % batch == 0 {
                journal.sync().expect("a disk");
            }
        }
        let rate = writes as f64 / begun.elapsed().as_secs_f64();
        let bytes = journal.bytes();
        let database = Database::create(&theirs).expect("a place for files");
        let begun = Instant::now();
        for first in (0..writes).step_by(batch as usize) {
            let transaction = database.begin_write().expect("a transaction");
            {
                let mut table = transaction.open_table(TABLE).expect("a table");
                for n in first..first + batch {
                    table.insert((key(n).0, 1), mark(n).position.to_bits()).expect("room");
                }
            }
            transaction.commit().expect("a disk");
        }
        let other = writes as f64 / begun.elapsed().as_secs_f64();
        let size = std::fs::metadata(&theirs).map_or(0, |m| m.len());
        println!("{batch:>12} {rate:>18.0} {bytes:>10} {other:>15.0} {size:>10}");
    }
    let sessions = 1_000_000;
    let _ = (std::fs::remove_file(&ours), std::fs::remove_file(&theirs));
    let (mut journal, _) = Journal::open(&ours, 0.0).expect("a place for files");
    (0..sessions).for_each(|n| journal.append(key(n), &SessionMarks::of(mark(n))).expect("room"));
    journal.sync().expect("a disk");
    drop(journal);
    let begun = Instant::now();
    let (_, found) = Journal::open(&ours, 0.0).expect("a journal");
    let (took, marks) = (begun.elapsed().as_secs_f64(), found.marks.len());
    {
        let database = Database::create(&theirs).expect("a place for files");
        let transaction = database.begin_write().expect("a transaction");
        {
            let mut table = transaction.open_table(TABLE).expect("a table");
            (0..sessions).for_each(|n| drop(table.insert((key(n).0, 1), mark(n).position.to_bits())));
        }
        transaction.commit().expect("a disk");
    }
    let begun = Instant::now();
    let database = Database::open(&theirs).expect("a database");
    let transaction = database.begin_read().expect("a transaction");
    let table = transaction.open_table(TABLE).expect("a table");
    let count = table.iter().expect("rows").count();
    println!(
        "recovering {marks} marks: journal {took:.2} s (written anew too), redb {:.2} s for {count}",
        begun.elapsed().as_secs_f64()
    );
    let _ = (std::fs::remove_file(&ours), std::fs::remove_file(&theirs));
}

//! Compares the journal with `redb`: writes per second by the number of marks per sync, file size and
//! recovery time.
//!
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
    let directory = std::env::args().nth(1).map_or_else(std::env::temp_dir, PathBuf::from);
    let (journal_path, redb_path) = (directory.join("durable.marks"), directory.join("durable.redb"));
    println!("marks a sync   journal writes/s      bytes   redb writes/s      bytes");
    for batch in [1u64, 10, 100, 1000] {
        let writes = (batch * 400).min(200_000);
        let _ = (std::fs::remove_file(&journal_path), std::fs::remove_file(&redb_path));
        let (mut journal, _) =
            Journal::open(&journal_path, 0.0).expect("the directory for the files is writable");
        let started = Instant::now();
        for n in 0..writes {
            journal.append(key(n), &SessionMarks::of(mark(n))).expect("there is room on the disk");
            if (n + 1) % batch == 0 {
                journal.sync().expect("the disk syncs");
            }
        }
        let journal_rate = writes as f64 / started.elapsed().as_secs_f64();
        let journal_bytes = journal.bytes();
        let database = Database::create(&redb_path).expect("the directory for the files is writable");
        let started = Instant::now();
        for first in (0..writes).step_by(batch as usize) {
            let transaction = database.begin_write().expect("a transaction");
            {
                let mut table = transaction.open_table(TABLE).expect("a table");
                for n in first..first + batch {
                    table
                        .insert((key(n).0, 1), mark(n).position.to_bits())
                        .expect("there is room on the disk");
                }
            }
            transaction.commit().expect("the disk accepts the commit");
        }
        let redb_rate = writes as f64 / started.elapsed().as_secs_f64();
        let redb_bytes = std::fs::metadata(&redb_path).map_or(0, |m| m.len());
        println!("{batch:>12} {journal_rate:>18.0} {journal_bytes:>10} {redb_rate:>15.0} {redb_bytes:>10}");
    }
    let sessions = 1_000_000;
    let _ = (std::fs::remove_file(&journal_path), std::fs::remove_file(&redb_path));
    let (mut journal, _) =
        Journal::open(&journal_path, 0.0).expect("the directory for the files is writable");
    (0..sessions)
        .for_each(|n| journal.append(key(n), &SessionMarks::of(mark(n))).expect("there is room on the disk"));
    journal.sync().expect("the disk syncs");
    drop(journal);
    let started = Instant::now();
    let (_, found) = Journal::open(&journal_path, 0.0).expect("the journal is readable");
    let (journal_seconds, marks) = (started.elapsed().as_secs_f64(), found.marks.len());
    {
        let database = Database::create(&redb_path).expect("the directory for the files is writable");
        let transaction = database.begin_write().expect("a transaction");
        {
            let mut table = transaction.open_table(TABLE).expect("a table");
            (0..sessions).for_each(|n| drop(table.insert((key(n).0, 1), mark(n).position.to_bits())));
        }
        transaction.commit().expect("the disk accepts the commit");
    }
    let started = Instant::now();
    let database = Database::open(&redb_path).expect("a database");
    let transaction = database.begin_read().expect("a transaction");
    let table = transaction.open_table(TABLE).expect("a table");
    let count = table.iter().expect("rows").count();
    println!(
        "recovering {marks} marks: journal {journal_seconds:.2} s (with its rewrite), redb {:.2} s for {count}",
        started.elapsed().as_secs_f64()
    );
    let _ = (std::fs::remove_file(&journal_path), std::fs::remove_file(&redb_path));
}

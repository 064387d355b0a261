//! The trace's writer: a thread of its own takes lines off a channel, so that nobody who is being timed waits for
//! a disk.
use crossbeam_channel::{unbounded, Sender};
use sandstile_emulator::Record;
use serde::Serialize;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::thread::{self, JoinHandle};

/// A client's or the lab's own line.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Line {
    Run(Box<serde_json::Value>),
    Asked {
        id: String,
        /// The first try's id.
        first: String,
        intended: f64,
        workload: String,
        group: String,
        session: String,
        router: usize,
        wait: f64,
    },
    /// On a new connection, for the former one was closed before anything was read from it.
    Resent {
        id: String,
    },
    Answered {
        id: String,
        how: &'static str,
        code: Option<String>,
        made_for: Option<String>,
        by: Option<String>,
        position: Option<f64>,
    },
    Unanswered {
        id: String,
        how: &'static str,
    },
    Router {
        number: usize,
        state: &'static str,
        code: Option<i32>,
    },
    /// What a router process holds, about once a second.
    Held {
        number: usize,
        rss_kb: u64,
        descriptors: u64,
        cpu_ms: u64,
    },
    /// Whom a router holds for there, as it says itself.
    Sight {
        number: usize,
        view: String,
        there: Vec<usize>,
        sharers: Option<f64>,
    },
    /// How the state stands that a router keeps with others, as it says itself. `digest` is of what is older than `as_of`.
    Kept {
        number: usize,
        standing: String,
        facts: u64,
        digest: String,
        as_of: f64,
        bytes_out: u64,
        contradictions: u64,
        old_copy: bool,
    },
    End {
        unsound: Option<String>,
    },
}

#[derive(Serialize)]
struct Timed {
    t: f64,
    #[serde(flatten)]
    line: Line,
}

enum Mail {
    Line(f64, Line),
    Record(Record),
}

/// Where lines go; cheap to clone.
#[derive(Clone)]
pub struct Book(Sender<Mail>);

impl Book {
    pub fn line(&self, t: f64, line: Line) {
        let _ = self.0.send(Mail::Line(t, line));
    }
}

pub struct Writer {
    writer: JoinHandle<io::Result<u64>>,
    carrier: JoinHandle<()>,
}

/// Starts a trace; yields where the lab and the emulator put their lines.
pub fn open(path: &Path) -> io::Result<(Book, Sender<Record>, Writer)> {
    let file = File::create(path)?;
    let (book, mails) = unbounded::<Mail>();
    let (records, carried) = unbounded::<Record>();
    let to = book.clone();
    let carrier = thread::Builder::new().name("trace-in".to_string()).spawn(move || {
        carried.iter().for_each(|record| drop(to.send(Mail::Record(record))));
    })?;
    let writer = thread::Builder::new().name("trace".to_string()).spawn(move || {
        let mut out = BufWriter::with_capacity(1 << 18, file);
        let mut lines = 0;
        for mail in mails {
            match mail {
                Mail::Line(t, line) => serde_json::to_writer(&mut out, &Timed { t, line })?,
                Mail::Record(record) => serde_json::to_writer(&mut out, &record)?,
            }
            out.write_all(b"\n")?;
            lines += 1;
        }
        out.flush()?;
        Ok(lines)
    })?;
    Ok((Book(book), records, Writer { writer, carrier }))
}

impl Writer {
    /// Once all books and the emulator are gone: waits for the last line.
    pub fn close(self) -> io::Result<u64> {
        let _ = self.carrier.join();
        self.writer.join().expect("the trace's writer does not panic")
    }
}

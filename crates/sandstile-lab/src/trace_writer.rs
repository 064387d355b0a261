//! Writes the trace on its own thread, which receives lines from a channel, so that no timed code waits for the disk.
use crossbeam_channel::{unbounded, Sender};
use sandstile_emulator::Record;
use serde::Serialize;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::thread::{self, JoinHandle};

/// A trace line of the clients or of the lab itself.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum TraceLine {
    Run(Box<serde_json::Value>),
    Asked {
        id: String,
        /// The statement id of the request's first attempt.
        first: String,
        intended: f64,
        workload: String,
        group: String,
        session: String,
        router: usize,
        wait: f64,
    },
    /// The statement is sent again on a new connection, because the former one was closed before anything was read.
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
    /// The resources that a router process uses, about once a second.
    Held {
        number: usize,
        rss_kb: u64,
        descriptors: u64,
        cpu_ms: u64,
    },
    /// The members that a router considers alive or suspect, as it reports them itself.
    Sight {
        number: usize,
        view: String,
        there: Vec<usize>,
        sharers: Option<f64>,
    },
    /// The replicated state of a router, as it reports it itself. `digest` covers the facts older than `as_of`.
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
struct TimedTraceLine {
    t: f64,
    #[serde(flatten)]
    line: TraceLine,
}

enum Message {
    Lab(f64, TraceLine),
    Emulator(Record),
}

/// Sends lines to the trace; cheap to clone.
#[derive(Clone)]
pub struct TraceSender(Sender<Message>);

impl TraceSender {
    pub fn write(&self, t: f64, line: TraceLine) {
        let _ = self.0.send(Message::Lab(t, line));
    }
}

pub struct TraceWriter {
    writer: JoinHandle<io::Result<u64>>,
    forwarder: JoinHandle<()>,
}

/// Starts a trace. Returns the senders for the lab's lines and the emulator's records, and the writer.
pub fn open(path: &Path) -> io::Result<(TraceSender, Sender<Record>, TraceWriter)> {
    let file = File::create(path)?;
    let (sender, messages) = unbounded::<Message>();
    let (records, emulator_records) = unbounded::<Record>();
    let forward = sender.clone();
    let forwarder = thread::Builder::new().name("trace-in".to_string()).spawn(move || {
        emulator_records.iter().for_each(|record| drop(forward.send(Message::Emulator(record))));
    })?;
    let writer = thread::Builder::new().name("trace".to_string()).spawn(move || {
        let mut out = BufWriter::with_capacity(1 << 18, file);
        let mut lines = 0;
        for message in messages {
            match message {
                Message::Lab(t, line) => serde_json::to_writer(&mut out, &TimedTraceLine { t, line })?,
                Message::Emulator(record) => serde_json::to_writer(&mut out, &record)?,
            }
            out.write_all(b"\n")?;
            lines += 1;
        }
        out.flush()?;
        Ok(lines)
    })?;
    Ok((TraceSender(sender), records, TraceWriter { writer, forwarder }))
}

impl TraceWriter {
    /// Waits until all lines are written; every sender, also the emulator's, has to be dropped before. Returns the
    /// number of lines.
    pub fn close(self) -> io::Result<u64> {
        let _ = self.forwarder.join();
        self.writer.join().expect("the trace's writer does not panic")
    }
}

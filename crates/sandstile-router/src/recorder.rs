//! Writes down who asked what kind of thing when, for models and rehearsals: no literal, no name of a session. Off without
//! our own file. The disk holds up nobody: what it does not keep up with is counted and left out.
use crate::counters::Counters;
use crate::local_config::Recording;
use crate::mailbox::{bounded_mailbox, Mailbox, MailboxSender};
use crate::threads;
use crossbeam_channel::RecvTimeoutError;
use sandstile_dispatcher::{Source, StatementRequest};
use sandstile_recording::{Arrival, Header, RecordingWriter};
use slog::{info, warn, Logger};
use std::fs::{File, OpenOptions};
use std::io::{self, BufWriter, Read, Write};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// One arrival, as the desk sees it.
pub struct Seen {
    /// Unix seconds.
    pub at: f64,
    pub workload: usize,
    pub group: String,
    pub session: Option<String>,
    /// Seconds that the client waits.
    pub wait: f64,
    pub again: bool,
}

/// The desk's end.
pub struct Tape {
    post: MailboxSender<Seen>,
    counters: Arc<Counters>,
}

impl Source for Tape {
    fn statement_arrived(&mut self, now: f64, asked: &StatementRequest) {
        let seen = Seen {
            at: now,
            workload: asked.workload,
            group: asked.group.clone(),
            session: asked.session.clone(),
            wait: asked.deadline - now,
            again: asked.retry,
        };
        if !self.post.send(seen) {
            self.counters.unrecorded.add();
        }
    }
}

/// Arrivals that may wait for the disk: at ten thousand a second, most of a second.
const MOST_WAITING: usize = 8192;
/// All so far can be read though the rest never comes, this often.
const EVERY: Duration = Duration::from_secs(1);

/// Begins a recording; the thread ends once the tape is gone.
pub fn begin(
    plan: &Recording,
    workloads: Vec<String>,
    mut groups: Vec<String>,
    now: f64,
    counters: &Arc<Counters>,
    log: &Logger,
) -> Result<(Tape, JoinHandle<()>), String> {
    let told = |e: io::Error| format!("recording: {}: {e}", plan.file.display());
    // An evening that is there already is somebody's.
    let file = OpenOptions::new().write(true).create_new(true).open(&plan.file).map_err(told)?;
    let mut salt = [0; 16];
    File::open("/dev/urandom").and_then(|mut f| f.read_exact(&mut salt)).map_err(told)?;
    groups.sort();
    groups.dedup();
    // Groups that no list has named by now.
    groups.push(String::new());
    let header = Header { salt, workloads, groups };
    let out = Counted { out: BufWriter::new(file), written: 0 };
    let recorder = RecordingWriter::begin(out, &header).map_err(told)?;
    let (post, mailbox) = bounded_mailbox(MOST_WAITING);
    let (max_bytes, own) = (plan.max_bytes, log.clone());
    let write = move || match write(recorder, &header, &mailbox, now, max_bytes) {
        Ok((written, true)) => info!(own, "the recording is whole"; "arrivals" => written),
        Ok((written, false)) => {
            warn!(own, "the recording has reached its most and ends"; "arrivals" => written)
        }
        Err(e) => warn!(own, "the recording ends: {e}"),
    };
    let thread = threads::spawn_joinable("recorder", threads::STACK, write)?;
    info!(log, "recording"; "file" => %plan.file.display());
    Ok((Tape { post, counters: counters.clone() }, thread))
}

/// How much has gone to the disk.
struct Counted<W> {
    out: W,
    written: u64,
}

impl<W: Write> Write for Counted<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let put = self.out.write(bytes)?;
        self.written += put as u64;
        Ok(put)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }
}

/// `false` where it ended at its most.
fn write(
    mut recorder: RecordingWriter<Counted<BufWriter<File>>>,
    header: &Header,
    mailbox: &Mailbox<Seen>,
    begun: f64,
    max_bytes: u64,
) -> io::Result<(u64, bool)> {
    let unnamed = header.groups.len() - 1;
    loop {
        match mailbox.recv(Some(EVERY)) {
            Ok(seen) => {
                let group = header.groups[..unnamed].binary_search(&seen.group).unwrap_or(unnamed);
                recorder.add(&Arrival {
                    at_us: ((seen.at - begun).max(0.0) * 1e6) as u64,
                    workload: seen.workload as u32,
                    group: group as u32,
                    session: seen.session.map_or(0, |name| header.session(&name)),
                    wait_ms: (seen.wait * 1e3) as u32,
                    is_retry: seen.again,
                })?;
                if recorder.out().written >= max_bytes {
                    let written = recorder.written;
                    recorder.end()?;
                    return Ok((written, false));
                }
            }
            Err(RecvTimeoutError::Timeout) => recorder.sync()?,
            Err(RecvTimeoutError::Disconnected) => {
                let written = recorder.written;
                recorder.end()?;
                return Ok((written, true));
            }
        }
    }
}

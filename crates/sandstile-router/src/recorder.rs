//! Records the arrival time, workload and group of each statement, for models and rehearsals; literals and
//! names of sessions are not recorded. Off without a local configuration file. Statements never wait for the
//! disk: arrivals that it is too slow for are counted and left out.
use crate::counters::Counters;
use crate::local_config::RecordingConfig;
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

/// The dispatcher's side of the recorder. Names become numbers here, so that a queued arrival takes the same few
/// bytes whatever names its client chose.
pub struct RecordingSource {
    sender: MailboxSender<Arrival>,
    header: Header,
    started_at: f64,
    counters: Arc<Counters>,
}

impl RecordingSource {
    fn arrival(&self, now: f64, request: &StatementRequest) -> Arrival {
        let unnamed_group = self.header.groups.len() - 1;
        let group = self.header.groups[..unnamed_group].binary_search(&request.group);
        Arrival {
            at_us: ((now - self.started_at).max(0.0) * 1e6) as u64,
            workload: request.workload as u32,
            group: group.unwrap_or(unnamed_group) as u32,
            session: request.session.as_ref().map_or(0, |name| self.header.session(name)),
            wait_ms: ((request.deadline - now) * 1e3) as u32,
            is_retry: request.retry,
        }
    }
}

impl Source for RecordingSource {
    fn statement_arrived(&mut self, now: f64, request: &StatementRequest) {
        if !self.sender.send(self.arrival(now, request)) {
            self.counters.unrecorded.add();
        }
    }
}

/// Limit on the bytes of arrivals queued for the disk: most of a second at 10,000 arrivals a second.
pub const MAX_QUEUED_BYTES: usize = 320 * 1024;
pub const MAX_QUEUED_ARRIVALS: usize = MAX_QUEUED_BYTES / size_of::<Arrival>();
/// Interval of syncs, so that an interrupted recording can be read up to the last one.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// Starts a recording; its thread ends once the returned source is dropped.
pub fn begin(
    config: &RecordingConfig,
    workloads: Vec<String>,
    mut groups: Vec<String>,
    now: f64,
    counters: &Arc<Counters>,
    log: &Logger,
) -> Result<(RecordingSource, JoinHandle<()>), String> {
    let with_path = |e: io::Error| format!("recording: {}: {e}", config.file.display());
    // An existing recording is never overwritten.
    let file = OpenOptions::new().write(true).create_new(true).open(&config.file).map_err(with_path)?;
    let mut salt = [0; 16];
    File::open("/dev/urandom").and_then(|mut file| file.read_exact(&mut salt)).map_err(with_path)?;
    groups.sort();
    groups.dedup();
    // The empty name represents groups that no host list has named yet.
    groups.push(String::new());
    let header = Header { salt, workloads, groups };
    let out = CountingWriter { out: BufWriter::new(file), written: 0 };
    let recorder = RecordingWriter::begin(out, &header).map_err(with_path)?;
    let (sender, mailbox) = bounded_mailbox(MAX_QUEUED_ARRIVALS);
    let (max_bytes, thread_log) = (config.max_bytes, log.clone());
    let run = move || match write(recorder, &mailbox, max_bytes) {
        Ok((written, true)) => info!(thread_log, "the recording is whole"; "arrivals" => written),
        Ok((written, false)) => {
            warn!(thread_log, "the recording has reached its size limit and ends"; "arrivals" => written)
        }
        Err(e) => warn!(thread_log, "the recording ends after a write error: {e}"),
    };
    let thread = threads::spawn_joinable("recorder", threads::THREAD_STACK_BYTES, run)?;
    info!(log, "recording"; "file" => %config.file.display());
    Ok((RecordingSource { sender, header, started_at: now, counters: counters.clone() }, thread))
}

/// Counts the bytes written.
struct CountingWriter<W> {
    out: W,
    written: u64,
}

impl<W: Write> Write for CountingWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let bytes_written = self.out.write(bytes)?;
        self.written += bytes_written as u64;
        Ok(bytes_written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }
}

/// Writes arrivals until the source is dropped or the size limit is reached. Returns the number of arrivals,
/// and `false` if the limit ended the recording.
fn write(
    mut recorder: RecordingWriter<CountingWriter<BufWriter<File>>>,
    mailbox: &Mailbox<Arrival>,
    max_bytes: u64,
) -> io::Result<(u64, bool)> {
    loop {
        match mailbox.recv(Some(SYNC_INTERVAL)) {
            Ok(arrival) => {
                recorder.add(&arrival)?;
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

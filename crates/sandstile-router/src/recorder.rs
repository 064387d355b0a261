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

/// One arrival, as the dispatcher sees it.
pub struct RecordedArrival {
    /// Unix seconds.
    pub arrived_at: f64,
    pub workload: usize,
    pub group: String,
    pub session: Option<String>,
    /// Seconds until the statement's deadline.
    pub time_left: f64,
    pub is_retry: bool,
}

/// The dispatcher's side of the recorder.
pub struct RecordingSource {
    sender: MailboxSender<RecordedArrival>,
    counters: Arc<Counters>,
}

impl Source for RecordingSource {
    fn statement_arrived(&mut self, now: f64, request: &StatementRequest) {
        let arrival = RecordedArrival {
            arrived_at: now,
            workload: request.workload,
            group: request.group.clone(),
            session: request.session.clone(),
            time_left: request.deadline - now,
            is_retry: request.retry,
        };
        if !self.sender.send(arrival) {
            self.counters.unrecorded.add();
        }
    }
}

/// Limit on the arrivals queued for the disk: most of a second at 10,000 arrivals a second.
const MAX_QUEUED_ARRIVALS: usize = 8192;
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
    let run = move || match write(recorder, &header, &mailbox, now, max_bytes) {
        Ok((written, true)) => info!(thread_log, "the recording is whole"; "arrivals" => written),
        Ok((written, false)) => {
            warn!(thread_log, "the recording has reached its size limit and ends"; "arrivals" => written)
        }
        Err(e) => warn!(thread_log, "the recording ends after a write error: {e}"),
    };
    let thread = threads::spawn_joinable("recorder", threads::THREAD_STACK_BYTES, run)?;
    info!(log, "recording"; "file" => %config.file.display());
    Ok((RecordingSource { sender, counters: counters.clone() }, thread))
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
    header: &Header,
    mailbox: &Mailbox<RecordedArrival>,
    started_at: f64,
    max_bytes: u64,
) -> io::Result<(u64, bool)> {
    let unnamed_group = header.groups.len() - 1;
    loop {
        match mailbox.recv(Some(SYNC_INTERVAL)) {
            Ok(arrival) => {
                let group =
                    header.groups[..unnamed_group].binary_search(&arrival.group).unwrap_or(unnamed_group);
                recorder.add(&Arrival {
                    at_us: ((arrival.arrived_at - started_at).max(0.0) * 1e6) as u64,
                    workload: arrival.workload as u32,
                    group: group as u32,
                    session: arrival.session.map_or(0, |name| header.session(&name)),
                    wait_ms: (arrival.time_left * 1e3) as u32,
                    is_retry: arrival.is_retry,
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

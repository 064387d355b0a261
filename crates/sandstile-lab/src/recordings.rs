//! Recordings on disk: made from a rehearsal's trace, inspected, cut, scaled, merged, and played against an address.
use crate::report;
use sandstile_load::{run, Arrivals, Load, Report, Shape};
use sandstile_recording::{edit, Arrival, Header, RecordingError, RecordingReader, RecordingWriter};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

type Reader = RecordingReader<BufReader<File>>;

fn with_path(path: &Path) -> impl Fn(RecordingError) -> String + '_ {
    move |e| format!("{}: {e}", path.display())
}

pub fn open(path: &Path) -> Result<Reader, String> {
    let file = File::open(path).map_err(|e| format!("{}: {e}", path.display()))?;
    RecordingReader::open(BufReader::new(file)).map_err(with_path(path))
}

fn create(path: &Path) -> Result<BufWriter<File>, String> {
    File::create(path).map(BufWriter::new).map_err(|e| format!("{}: {e}", path.display()))
}

/// Makes a recording from the first attempts in a rehearsal's trace, at the times at which they were due.
pub fn from_trace(dir: &Path, out: &Path) -> Result<u64, String> {
    let trace = report::read(dir)?;
    let settings = trace.settings.as_ref().ok_or("the trace has no run line")?;
    let mut requests: Vec<_> = trace
        .statements
        .iter()
        .filter_map(|(id, s)| s.request.as_ref().filter(|request| request.first == *id))
        .collect();
    requests.sort_by(|a, b| a.due.total_cmp(&b.due));
    let mut groups: Vec<String> = requests.iter().map(|request| request.group.clone()).collect();
    groups.sort();
    groups.dedup();
    let workloads: Vec<String> = settings.workloads.keys().cloned().collect();
    // Each recording has its own salt, derived from values that differ between any two runs.
    let begin = settings.begin.to_bits().to_le_bytes();
    let hash = blake3::hash(&[&begin[..], &settings.seed.to_le_bytes(), settings.title.as_bytes()].concat());
    let salt = std::array::from_fn(|n| hash.as_bytes()[n]);
    let header = Header { salt, workloads, groups };
    let mut recorder = RecordingWriter::begin(create(out)?, &header).map_err(|e| e.to_string())?;
    let index_of = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(0) as u32;
    for request in requests {
        let arrival = Arrival {
            at_us: ((request.due - settings.begin).max(0.0) * 1e6) as u64,
            workload: index_of(&header.workloads, &request.workload),
            group: index_of(&header.groups, &request.group),
            session: header.session(&request.session),
            wait_ms: (request.wait * 1e3) as u32,
            is_retry: false,
        };
        recorder.add(&arrival).map_err(|e| e.to_string())?;
    }
    let written = recorder.written;
    recorder.end().map_err(|e| e.to_string())?;
    Ok(written)
}

pub fn inspect(path: &Path) -> Result<String, String> {
    let mut reader = open(path)?;
    let summary = edit::inspect(&mut reader).map_err(with_path(path))?;
    let mut out = String::new();
    let rate = summary.arrivals as f64 / summary.seconds.max(1e-9);
    let _ = writeln!(
        out,
        "{} arrivals in {:.1} s, {rate:.1} a second; most in one second {} (at {} s)",
        summary.arrivals, summary.seconds, summary.peak.0, summary.peak.1
    );
    let rows = reader.header.workloads.iter().zip(&summary.by_workload).map(|(n, c)| ("workload", n, c));
    for (kind, name, count) in
        rows.chain(reader.header.groups.iter().zip(&summary.by_group).map(|(n, c)| ("group", n, c)))
    {
        let _ = writeln!(out, "{kind} {name}: {count}");
    }
    Ok(out)
}

pub fn cut(path: &Path, out: &Path, from: f64, to: f64) -> Result<u64, String> {
    edit::cut(&mut open(path)?, create(out)?, from, to).map_err(with_path(path))
}

pub fn scale(path: &Path, out: &Path, speed: f64, copies: u32, spread: f64) -> Result<u64, String> {
    if !(speed > 0.0 && copies > 0) {
        return Err("speed and copies must be above 0".to_string());
    }
    edit::scale(&mut open(path)?, create(out)?, speed, copies, spread).map_err(with_path(path))
}

pub fn merge(one: &Path, other: &Path, out: &Path) -> Result<u64, String> {
    edit::merge(&mut open(one)?, &mut open(other)?, create(out)?).map_err(with_path(one))
}

pub struct LoadOptions {
    pub target: SocketAddr,
    pub connections: usize,
    pub patience: f64,
    /// The recording to play; without one, statements of one workload and group at `rate`.
    pub recording: Option<std::path::PathBuf>,
    pub rate: f64,
    pub seconds: f64,
    pub workload: String,
    pub group: String,
    pub closed: bool,
}

/// Plays a load against an address that speaks the platform's protocol.
pub fn play(options: &LoadOptions) -> Result<Report, String> {
    // Arrivals that are due and not yet sent: the recording is read as it is played.
    let due: Rc<RefCell<VecDeque<Arrival>>> = Rc::default();
    let (mut header, mut seconds) = (Header::default(), options.seconds);
    let read_error: Rc<RefCell<Option<RecordingError>>> = Rc::default();
    let arrivals = match &options.recording {
        None => Arrivals::new(Shape::Poisson(options.rate), seconds, 1),
        Some(path) => {
            // Reads it once before, for its length and to check that it is complete.
            seconds = edit::inspect(&mut open(path)?).map_err(with_path(path))?.seconds;
            let mut reader = open(path)?;
            header = reader.header.clone();
            let (due, read_error) = (due.clone(), read_error.clone());
            let next_due = move || match reader.next_arrival() {
                Ok(arrival) => arrival.map(|a| {
                    due.borrow_mut().push_back(a);
                    a.at_us as f64 / 1e6
                }),
                Err(e) => {
                    *read_error.borrow_mut() = Some(e);
                    None
                }
            };
            Arrivals::streamed(std::iter::from_fn(next_due), seconds)
        }
    };
    let load = Load {
        targets: vec![options.target],
        connections: options.connections,
        timeout_s: options.patience,
        warm_up_s: 0.0,
        closed_loop: options.closed,
        seconds,
    };
    let report = run(&load, arrivals, &mut |n, timeout_ms| {
        let id = (n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let (workload, group, session) = match due.borrow_mut().pop_front() {
            Some(a) => {
                let name_of = |all: &[String], n: u32| all.get(n as usize).cloned().unwrap_or_default();
                let session = format!("u{:016x}", a.session);
                (name_of(&header.workloads, a.workload), name_of(&header.groups, a.group), session)
            }
            None => (options.workload.clone(), options.group.clone(), format!("u{}", n % 1000)),
        };
        format!("/* id={id:016x},c={workload},d={timeout_ms},cluster={group} */ SELECT clip FROM clips WHERE viewer = '{session}'")
    })
    .map_err(|e| format!("the load: {e}"))?;
    let failure = read_error.borrow_mut().take();
    match (failure, &options.recording) {
        (Some(e), Some(path)) => Err(with_path(path)(e)),
        _ => Ok(report),
    }
}

/// The figures of a load as a Markdown table.
pub fn format_report(report: &Report) -> String {
    let quantile_ms =
        |latency: &hdrhistogram::Histogram<u64>, q: f64| latency.value_at_quantile(q) as f64 / 1e3;
    let mut out =
        String::from("| ms | p50 | p90 | p99 | p99.9 | max |\n| --- | --- | --- | --- | --- | --- |\n");
    for (name, latency) in [
        ("from when it was due", &report.latency_from_due_us),
        ("from when it was sent", &report.latency_from_send_us),
    ] {
        let max_ms = latency.max() as f64 / 1e3;
        let _ = writeln!(
            out,
            "| {name} | {:.2} | {:.2} | {:.2} | {:.2} | {max_ms:.2} |",
            quantile_ms(latency, 0.5),
            quantile_ms(latency, 0.9),
            quantile_ms(latency, 0.99),
            quantile_ms(latency, 0.999)
        );
    }
    let _ = writeln!(
        out,
        "\nsent {}, completed {} ({:.1} a second), rejected {}, failed {}, unanswered {}, connections broken {}",
        report.statements,
        report.completed,
        report.rate(),
        report.rejected,
        report.failed,
        report.unanswered,
        report.broken_connections
    );
    if let Some(reason) = report.unsound() {
        let _ = writeln!(out, "**Unsound: {reason}.**");
    }
    out
}

//! Recordings on disk: taken from a rehearsal's trace, looked at, cut, scaled, merged, and played at an address.
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

fn told(path: &Path) -> impl Fn(RecordingError) -> String + '_ {
    move |e| format!("{}: {e}", path.display())
}

pub fn open(path: &Path) -> Result<Reader, String> {
    let file = File::open(path).map_err(|e| format!("{}: {e}", path.display()))?;
    RecordingReader::open(BufReader::new(file)).map_err(told(path))
}

fn create(path: &Path) -> Result<BufWriter<File>, String> {
    File::create(path).map(BufWriter::new).map_err(|e| format!("{}: {e}", path.display()))
}

/// First tries of a rehearsal's trace, at the times at which they were meant to be asked.
pub fn from_trace(dir: &Path, out: &Path) -> Result<u64, String> {
    let trace = report::read(dir)?;
    let terms = trace.settings.as_ref().ok_or("the trace has no beginning")?;
    let mut asked: Vec<_> =
        trace.statements.iter().filter_map(|(id, s)| s.request.as_ref().filter(|a| a.first == *id)).collect();
    asked.sort_by(|a, b| a.due.total_cmp(&b.due));
    let mut groups: Vec<String> = asked.iter().map(|a| a.group.clone()).collect();
    groups.sort();
    groups.dedup();
    let workloads: Vec<String> = terms.workloads.keys().cloned().collect();
    // A salt of its own: from what differs between any two runs.
    let begin = terms.begin.to_bits().to_le_bytes();
    let hash = blake3::hash(&[&begin[..], &terms.seed.to_le_bytes(), terms.title.as_bytes()].concat());
    let salt = std::array::from_fn(|n| hash.as_bytes()[n]);
    let header = Header { salt, workloads, groups };
    let mut recorder = RecordingWriter::begin(create(out)?, &header).map_err(|e| e.to_string())?;
    let place = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(0) as u32;
    for a in asked {
        let arrival = Arrival {
            at_us: ((a.due - terms.begin).max(0.0) * 1e6) as u64,
            workload: place(&header.workloads, &a.workload),
            group: place(&header.groups, &a.group),
            session: header.session(&a.session),
            wait_ms: (a.wait * 1e3) as u32,
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
    let s = edit::inspect(&mut reader).map_err(told(path))?;
    let mut out = String::new();
    let rate = s.arrivals as f64 / s.seconds.max(1e-9);
    let _ = writeln!(
        out,
        "{} arrivals in {:.1} s, {rate:.1} a second; most in one second {} (at {} s)",
        s.arrivals, s.seconds, s.peak.0, s.peak.1
    );
    let rows = reader.header.workloads.iter().zip(&s.by_workload).map(|(n, c)| ("workload", n, c));
    for (kind, name, count) in
        rows.chain(reader.header.groups.iter().zip(&s.by_group).map(|(n, c)| ("group", n, c)))
    {
        let _ = writeln!(out, "{kind} {name}: {count}");
    }
    Ok(out)
}

pub fn cut(path: &Path, out: &Path, from: f64, to: f64) -> Result<u64, String> {
    edit::cut(&mut open(path)?, create(out)?, from, to).map_err(told(path))
}

pub fn scale(path: &Path, out: &Path, speed: f64, copies: u32, spread: f64) -> Result<u64, String> {
    if !(speed > 0.0 && copies > 0) {
        return Err("speed and copies are above 0".to_string());
    }
    edit::scale(&mut open(path)?, create(out)?, speed, copies, spread).map_err(told(path))
}

pub fn merge(one: &Path, other: &Path, out: &Path) -> Result<u64, String> {
    edit::merge(&mut open(one)?, &mut open(other)?, create(out)?).map_err(told(one))
}

pub struct Play {
    pub target: SocketAddr,
    pub connections: usize,
    pub patience: f64,
    /// What to play; else a rate of one workload and group.
    pub recording: Option<std::path::PathBuf>,
    pub rate: f64,
    pub seconds: f64,
    pub workload: String,
    pub group: String,
    pub closed: bool,
}

/// Plays a load at whatever speaks the platform's protocol there.
pub fn play(wanted: &Play) -> Result<Report, String> {
    // What is due and not yet asked: the recording is read as it is played.
    let due: Rc<RefCell<VecDeque<Arrival>>> = Rc::default();
    let (mut names, mut seconds) = (Header::default(), wanted.seconds);
    let wrong: Rc<RefCell<Option<RecordingError>>> = Rc::default();
    let arrivals = match &wanted.recording {
        None => Arrivals::new(Shape::Poisson(wanted.rate), seconds, 1),
        Some(path) => {
            // A look through it first: its length, and whether it is whole.
            seconds = edit::inspect(&mut open(path)?).map_err(told(path))?.seconds;
            let mut reader = open(path)?;
            names = reader.header.clone();
            let (due, wrong) = (due.clone(), wrong.clone());
            let next = move || match reader.next_arrival() {
                Ok(arrival) => arrival.map(|a| {
                    due.borrow_mut().push_back(a);
                    a.at_us as f64 / 1e6
                }),
                Err(e) => {
                    *wrong.borrow_mut() = Some(e);
                    None
                }
            };
            Arrivals::streamed(std::iter::from_fn(next), seconds)
        }
    };
    let load = Load {
        targets: vec![wanted.target],
        connections: wanted.connections,
        timeout_s: wanted.patience,
        warm_up_s: 0.0,
        closed_loop: wanted.closed,
        seconds,
    };
    let report = run(&load, arrivals, &mut |n, ms| {
        let id = (n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let (workload, group, session) = match due.borrow_mut().pop_front() {
            Some(a) => {
                let of = |all: &[String], n: u32| all.get(n as usize).cloned().unwrap_or_default();
                let session = format!("u{:016x}", a.session);
                (of(&names.workloads, a.workload), of(&names.groups, a.group), session)
            }
            None => (wanted.workload.clone(), wanted.group.clone(), format!("u{}", n % 1000)),
        };
        format!("/* id={id:016x},c={workload},d={ms},cluster={group} */ SELECT clip FROM clips WHERE viewer = '{session}'")
    })
    .map_err(|e| format!("the load: {e}"))?;
    let spoilt = wrong.borrow_mut().take();
    match (spoilt, &wanted.recording) {
        (Some(e), Some(path)) => Err(told(path)(e)),
        _ => Ok(report),
    }
}

/// A load's figures as a table.
pub fn table(r: &Report) -> String {
    let at = |h: &hdrhistogram::Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1e3;
    let mut out =
        String::from("| ms | p50 | p90 | p99 | p99.9 | most |\n| --- | --- | --- | --- | --- | --- |\n");
    for (name, h) in [
        ("from when it was meant", &r.latency_from_due_us),
        ("from when it was written", &r.latency_from_send_us),
    ] {
        let most = h.max() as f64 / 1e3;
        let _ = writeln!(
            out,
            "| {name} | {:.2} | {:.2} | {:.2} | {:.2} | {most:.2} |",
            at(h, 0.5),
            at(h, 0.9),
            at(h, 0.99),
            at(h, 0.999)
        );
    }
    let _ = writeln!(
        out,
        "\nasked {}, completed {} ({:.1} a second), rejected {}, failed {}, unanswered {}, connections broken {}",
        r.asked,
        r.completed,
        r.rate(),
        r.rejected,
        r.failed,
        r.unanswered,
        r.broken_connections
    );
    if let Some(why) = r.unsound() {
        let _ = writeln!(out, "**Unsound: {why}.**");
    }
    out
}

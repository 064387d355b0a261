//! How keeping the same grows with the number of routers: the very keepers of the router (`sandstile-replication`) in virtual time. How long
//! until what one learns is everywhere, what it costs, and what one that lost all costs the others when it returns.
use crate::charts::{self, Line};
use sandstile_replicated_state::catchup::Trust;
use sandstile_replicated_state::{Fact, Key, Kind, Replica, Value};
use sandstile_replication::sim::{Net, Sim};
use sandstile_sessions::mark::{Mark, SessionMarks, Term};
use std::fmt::Write as _;
use std::path::Path;
use tracing::info;

const BEGIN: f64 = 1_000_000.0;
/// Seconds: how far replicas may lag.
const HORIZON: f64 = 300.0;
/// Writes a second, of all routers together.
const RATE: f64 = 200.0;
/// Seconds of writes that are watched, and in which one that returns has to be in step.
const WATCHES: f64 = 8.0;
const RETURNS: f64 = 60.0;
const LOSSES: [f64; 2] = [0.0, 0.05];

struct Run {
    /// Seconds until a fact was everywhere, sorted.
    everywhere: Vec<f64>,
    never: usize,
    /// Bytes a second that a router tells in the calm.
    bytes: f64,
    /// Seconds until one that lost all was in step, and the bytes that it was told; the most that one peer told of them.
    in_sync: Option<f64>,
    told: u64,
    by_one: u64,
}

fn session(n: usize) -> String {
    // As routers name them: spread over all of the range.
    format!("{:016x}", (n as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn wrote(at: f64) -> Value {
    Value::SessionMarks(SessionMarks::of(Mark { term: Term(1), position: at }))
}

fn play(routers: usize, sessions: usize, loss: f64, seed: u64) -> Run {
    let mut sim = Sim::new(routers, Net { delay: 0.000_5, jitter: 0.001, loss }, HORIZON, seed, BEGIN);
    // One copy, shared by all: what was written in the last minutes.
    let mut copy = Replica::new(HORIZON);
    for n in 0..sessions {
        let at = BEGIN - 120.0 + n as f64 / sessions.max(1) as f64 * 100.0;
        copy.learn(BEGIN, &Key::shared(Kind::Mark, &session(n)), &Fact { value: wrote(at), created_at: at });
    }
    for place in 0..routers {
        sim.start(place, Vec::new(), Trust::None, None);
        sim.replication(place).expect("just started").replace_replica(copy.clone());
    }
    sim.run(BEGIN + 8.0);
    let (before, from) = (sim.bytes_sent.iter().sum::<u64>(), sim.now());
    let (mut facts, mut n) = (Vec::new(), 0);
    while sim.now() < from + WATCHES {
        let (at, subject) = (sim.now(), session(sessions + n));
        let key = Key::shared(Kind::Mark, &subject);
        if n % 10 == 0 {
            sim.watch(&key);
            facts.push((key, at, n % routers));
        }
        sim.replication(n % routers).expect("nobody died").learn(at, Kind::Mark, &subject, wrote(at));
        n += 1;
        sim.run(from + n as f64 / RATE);
    }
    let bytes = (sim.bytes_sent.iter().sum::<u64>() - before) as f64 / WATCHES / routers as f64;
    sim.run(from + WATCHES + 3.0);
    let (mut everywhere, mut never) = (Vec::new(), 0);
    for (key, at, writer) in &facts {
        let arrival_delays = sim.arrival_delays(key, *at);
        let others = arrival_delays.iter().enumerate().filter(|(place, _)| place != writer);
        match others.map(|(_, at)| *at).collect::<Option<Vec<f64>>>() {
            Some(all) => everywhere.push(all.into_iter().fold(0.0, f64::max)),
            None => never += 1,
        }
    }
    everywhere.sort_by(f64::total_cmp);
    let back = routers / 2;
    sim.kill(back);
    sim.run(sim.now() + 1.0);
    let (told, at) = (sim.bytes_sent.clone(), sim.now());
    sim.start(back, Vec::new(), Trust::None, None);
    while !sim.in_sync(back) && sim.now() < at + RETURNS {
        sim.run(sim.now() + 0.05);
    }
    let in_sync = sim.in_sync(back).then(|| sim.now() - at);
    let more: Vec<u64> = sim.bytes_sent.iter().zip(&told).map(|(a, b)| a - b).collect();
    let by_one = more.iter().enumerate().filter(|(n, _)| *n != back).map(|(_, b)| *b).max().unwrap_or(0);
    Run { everywhere, never, bytes, in_sync, told: more.iter().sum(), by_one }
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    let at = (q * sorted.len() as f64).ceil() as usize;
    sorted.get(at.clamp(1, sorted.len().max(1)) - 1).copied().unwrap_or(f64::NAN)
}

/// All of it: a table, and two charts beside it.
pub fn grow(out: &Path, quick: bool) -> Result<String, String> {
    let told = |e: std::io::Error| format!("{}: {e}", out.display());
    std::fs::create_dir_all(out).map_err(told)?;
    let (counts, sessions): (&[usize], usize) =
        if quick { (&[5, 16], 10_000) } else { (&[5, 50, 300], 100_000) };
    let mut text = format!(
        "Virtual time, one seed; {sessions} sessions known to all, {RATE} writes a second of all routers together; a message takes 0.5 to \
         1.5 ms, one that is lost 200 ms more and all behind it. *Return*: one that lost all, in step again; what all told meanwhile, the calm's \
         share in it, and the most that one of its peers told.\n\n\
         | routers | loss | everywhere after s: p50 | p99 | never | bytes/s a router | return: in step after s | told, MB | by one, MB |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
    );
    let (mut knows, mut costs) = (Vec::new(), Vec::new());
    for loss in LOSSES {
        let name = format!("{:.0}% lost", loss * 100.0);
        let (mut know, mut cost) = (Vec::new(), Vec::new());
        for routers in counts {
            let run = play(*routers, sessions, loss, 1);
            info!(routers, loss, "played");
            let (p50, p99) = (quantile(&run.everywhere, 0.5), quantile(&run.everywhere, 0.99));
            let step = run.in_sync.map_or(format!("not in {RETURNS:.0}"), |s| format!("{s:.2}"));
            let _ = writeln!(
                text,
                "| {routers} | {loss} | {p50:.2} | {p99:.2} | {} | {:.0} | {step} | {:.1} | {:.1} |",
                run.never,
                run.bytes,
                run.told as f64 / 1e6,
                run.by_one as f64 / 1e6
            );
            know.push((*routers as f64, p99));
            cost.push((*routers as f64, run.bytes));
        }
        knows.push(Line { name: name.clone(), points: know });
        costs.push(Line { name, points: cost });
    }
    for (file, title, unit, curves) in [
        ("copies-everywhere.svg", "A fact is everywhere: seconds after it, p99", "s", &knows),
        ("copies-bytes.svg", "Bytes a second that a router tells", "bytes/s", &costs),
    ] {
        let svg = charts::lines(title, "routers", unit, curves, false)?;
        std::fs::write(out.join(file), svg).map_err(told)?;
    }
    std::fs::write(out.join("copies.md"), &text).map_err(told)?;
    Ok(text)
}

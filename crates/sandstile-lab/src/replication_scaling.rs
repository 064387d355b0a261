//! How the replication of the routers' state grows with their number: the router's own replication
//! (`sandstile-replication`) in virtual time. Measures how long a fact takes to reach all routers, what that costs, and what
//! a router that restarts without its state costs the others.
use crate::charts::{self, Curve};
use sandstile_replicated_state::catchup::Trust;
use sandstile_replicated_state::{Fact, Key, Kind, Replica, Value};
use sandstile_replication::sim::{Net, Sim};
use sandstile_sessions::mark::{Mark, SessionMarks, Term};
use std::fmt::Write as _;
use std::path::Path;
use tracing::info;

const START_TIME: f64 = 1_000_000.0;
/// How far replicas may lag, in seconds.
const HORIZON_S: f64 = 300.0;
/// Writes per second, of all routers together.
const WRITES_PER_S: f64 = 200.0;
/// Seconds for which writes are observed, and within which a restarted router has to be in sync.
const WATCH_S: f64 = 8.0;
const RESYNC_LIMIT_S: f64 = 60.0;
const LOSSES: [f64; 2] = [0.0, 0.05];

struct Run {
    /// Seconds until a fact had reached all routers, sorted.
    reached_all_s: Vec<f64>,
    never_reached: usize,
    /// Bytes per second that a router sends without faults.
    bytes_per_s: f64,
    /// Seconds until a router that lost its state was in sync, the bytes that all routers sent meanwhile, and the most that
    /// one of its peers sent.
    in_sync_after_s: Option<f64>,
    sent_by_all: u64,
    sent_by_one: u64,
}

fn session_name(n: usize) -> String {
    // Spread over the whole range, as in the routers' session names.
    format!("{:016x}", (n as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn write_mark(position_s: f64) -> Value {
    Value::SessionMarks(SessionMarks::of(Mark { term: Term(1), position: position_s }))
}

fn play(routers: usize, sessions: usize, loss: f64, seed: u64) -> Run {
    let mut sim = Sim::new(routers, Net { delay: 0.000_5, jitter: 0.001, loss }, HORIZON_S, seed, START_TIME);
    // All routers start with the same state: writes of the last minutes.
    let mut replica = Replica::new(HORIZON_S);
    for n in 0..sessions {
        let written_at = START_TIME - 120.0 + n as f64 / sessions.max(1) as f64 * 100.0;
        replica.learn(
            START_TIME,
            &Key::shared(Kind::Mark, &session_name(n)),
            &Fact { value: write_mark(written_at), created_at: written_at },
        );
    }
    for router in 0..routers {
        sim.start(router, Vec::new(), Trust::None, None);
        sim.replication(router).expect("just started").replace_replica(replica.clone());
    }
    sim.run(START_TIME + 8.0);
    let (bytes_before, watched_from) = (sim.bytes_sent.iter().sum::<u64>(), sim.now());
    let (mut facts, mut n) = (Vec::new(), 0);
    while sim.now() < watched_from + WATCH_S {
        let (created_at, subject) = (sim.now(), session_name(sessions + n));
        let key = Key::shared(Kind::Mark, &subject);
        if n % 10 == 0 {
            sim.watch(&key);
            facts.push((key, created_at, n % routers));
        }
        sim.replication(n % routers).expect("all routers run").learn(
            created_at,
            Kind::Mark,
            &subject,
            write_mark(created_at),
        );
        n += 1;
        sim.run(watched_from + n as f64 / WRITES_PER_S);
    }
    let bytes_per_s = (sim.bytes_sent.iter().sum::<u64>() - bytes_before) as f64 / WATCH_S / routers as f64;
    sim.run(watched_from + WATCH_S + 3.0);
    let (mut reached_all_s, mut never_reached) = (Vec::new(), 0);
    for (key, created_at, writer) in &facts {
        let arrival_delays = sim.arrival_delays(key, *created_at);
        let others = arrival_delays.iter().enumerate().filter(|(router, _)| router != writer);
        match others.map(|(_, delay)| *delay).collect::<Option<Vec<f64>>>() {
            Some(all) => reached_all_s.push(all.into_iter().fold(0.0, f64::max)),
            None => never_reached += 1,
        }
    }
    reached_all_s.sort_by(f64::total_cmp);
    let restarted = routers / 2;
    sim.kill(restarted);
    sim.run(sim.now() + 1.0);
    let (bytes_at_restart, restarted_at) = (sim.bytes_sent.clone(), sim.now());
    sim.start(restarted, Vec::new(), Trust::None, None);
    while !sim.in_sync(restarted) && sim.now() < restarted_at + RESYNC_LIMIT_S {
        sim.run(sim.now() + 0.05);
    }
    let in_sync_after_s = sim.in_sync(restarted).then(|| sim.now() - restarted_at);
    let bytes_since: Vec<u64> = sim.bytes_sent.iter().zip(&bytes_at_restart).map(|(a, b)| a - b).collect();
    let sent_by_one =
        bytes_since.iter().enumerate().filter(|(n, _)| *n != restarted).map(|(_, b)| *b).max().unwrap_or(0);
    Run {
        reached_all_s,
        never_reached,
        bytes_per_s,
        in_sync_after_s,
        sent_by_all: bytes_since.iter().sum(),
        sent_by_one,
    }
}

fn quantile(sorted: &[f64], q: f64) -> f64 {
    let rank = (q * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.clamp(1, sorted.len().max(1)) - 1).copied().unwrap_or(f64::NAN)
}

/// Plays all runs; writes a table and two charts, and returns the table.
pub fn simulate_scaling(out: &Path, quick: bool) -> Result<String, String> {
    let with_path = |e: std::io::Error| format!("{}: {e}", out.display());
    std::fs::create_dir_all(out).map_err(with_path)?;
    let (counts, sessions): (&[usize], usize) =
        if quick { (&[5, 16], 10_000) } else { (&[5, 50, 300], 100_000) };
    let mut text = format!(
        "Virtual time, one seed; {sessions} sessions known to all, {WRITES_PER_S} writes a second of all routers together; a message takes 0.5 to \
         1.5 ms, a lost one and all behind it 200 ms more. *Return*: the restart of a router that lost its state, until it is in step again; what all routers sent \
         meanwhile, the usual traffic included, and the most that one of its peers sent.\n\n\
         | routers | loss | everywhere after s: p50 | p99 | never | bytes/s a router | return: in step after s | sent, MB | by one, MB |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
    );
    let (mut delay_curves, mut cost_curves) = (Vec::new(), Vec::new());
    for loss in LOSSES {
        let name = format!("{:.0}% lost", loss * 100.0);
        let (mut delay_points, mut cost_points) = (Vec::new(), Vec::new());
        for routers in counts {
            let run = play(*routers, sessions, loss, 1);
            info!(routers, loss, "played one run");
            let (p50, p99) = (quantile(&run.reached_all_s, 0.5), quantile(&run.reached_all_s, 0.99));
            let in_sync =
                run.in_sync_after_s.map_or(format!("not in {RESYNC_LIMIT_S:.0}"), |s| format!("{s:.2}"));
            let _ = writeln!(
                text,
                "| {routers} | {loss} | {p50:.2} | {p99:.2} | {} | {:.0} | {in_sync} | {:.1} | {:.1} |",
                run.never_reached,
                run.bytes_per_s,
                run.sent_by_all as f64 / 1e6,
                run.sent_by_one as f64 / 1e6
            );
            delay_points.push((*routers as f64, p99));
            cost_points.push((*routers as f64, run.bytes_per_s));
        }
        delay_curves.push(Curve { name: name.clone(), points: delay_points });
        cost_curves.push(Curve { name, points: cost_points });
    }
    for (file, title, unit, curves) in [
        ("copies-everywhere.svg", "Seconds until a fact is everywhere, p99", "s", &delay_curves),
        ("copies-bytes.svg", "Bytes a second that a router sends", "bytes/s", &cost_curves),
    ] {
        let svg = charts::lines(title, "routers", unit, curves, false)?;
        std::fs::write(out.join(file), svg).map_err(with_path)?;
    }
    std::fs::write(out.join("copies.md"), &text).map_err(with_path)?;
    Ok(text)
}

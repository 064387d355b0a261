//! How the cost and speed of membership grow with the number of routers and with packet loss: the router's own state
//! machine (`sandstile-membership`) in virtual time.
use crate::charts::{self, Curve};
use sandstile_membership::sim::Sim;
use sandstile_membership::Change;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;
use std::sync::Mutex;
use tracing::info;

const LOSSES: [f64; 3] = [0.0, 0.05, 0.2];
/// Seconds until the updates of the start are no longer sent: each update rides on many datagrams.
const SETTLE_S: f64 = 60.0;
/// Seconds after a kill within which all members have to know of it.
const WATCH_S: f64 = 15.0;
/// The number of kills: fewer with many members, because the cost grows with the square of their number.
fn kill_count(members: usize) -> usize {
    if members > 300 {
        2
    } else {
        5.min(members - 2)
    }
}

/// Seconds of the observation without a fault: a whole day where that is affordable.
fn quiet_duration_s(members: usize, quick: bool) -> f64 {
    match (members, quick) {
        (..=5, false) => 86_400.0,
        (..=50, false) => 3600.0,
        (..=300, false) => 120.0,
        (_, false) => 20.0,
        (..=50, true) => 300.0,
        (_, true) => 20.0,
    }
}

struct Run {
    /// Seconds from each kill until the first suspicion, until the first member knows, until all living members know.
    suspected_after_s: Vec<f64>,
    first_known_after_s: Vec<f64>,
    known_by_all_after_s: Vec<Option<f64>>,
    quiet_s: f64,
    /// False suspicions and deaths in the quiet time, divided by the number of members, so that an event that all
    /// members see counts once.
    suspicions: f64,
    deaths: f64,
    /// Bytes per second that a member sends.
    bytes_per_s: f64,
}

fn play(members: usize, loss: f64, quick: bool) -> Option<Run> {
    let mut sim = Sim::new(members, 1);
    sim.until_agreed(60.0)?;
    sim.loss = loss;
    sim.advance(SETTLE_S);
    sim.observed.clear();
    let (bytes_before, quiet_s) = (sim.bytes, quiet_duration_s(members, quick));
    let (mut suspicions, mut deaths, mut remaining_s) = (0, 0, quiet_s);
    while remaining_s > 0.0 {
        // Observations are counted and dropped every ten minutes: those of a whole day would fill the memory.
        sim.advance(remaining_s.min(600.0));
        remaining_s -= 600.0;
        suspicions +=
            sim.observed.iter().filter(|(_, _, change)| matches!(change, Change::Suspected(_))).count();
        deaths += sim.observed.iter().filter(|(_, _, change)| matches!(change, Change::Died(_))).count();
        sim.observed.clear();
    }
    let bytes_per_s = (sim.bytes - bytes_before) as f64 / quiet_s / members as f64;
    let mut run = Run {
        suspected_after_s: Vec::new(),
        first_known_after_s: Vec::new(),
        known_by_all_after_s: Vec::new(),
        quiet_s,
        suspicions: suspicions as f64 / members as f64,
        deaths: deaths as f64 / members as f64,
        bytes_per_s,
    };
    // The seeds, members 0 and 1, are never killed, so that members that return find them.
    for kill in 0..kill_count(members) {
        let (killed, killed_at) = (2 + kill, sim.now);
        sim.kill(killed);
        sim.advance(WATCH_S);
        let name = format!("n{killed}");
        let times_of = |subject: fn(&Change) -> Option<&str>| {
            let mut times: Vec<f64> = sim
                .observed
                .iter()
                .filter(|(t, _, change)| *t >= killed_at && subject(change) == Some(&name))
                .map(|(t, ..)| t - killed_at)
                .collect();
            times.sort_by(f64::total_cmp);
            times
        };
        let suspected = times_of(|change| match change {
            Change::Suspected(member) => Some(&member.name),
            _ => None,
        });
        let known = times_of(|change| match change {
            Change::Died(member) => Some(&member.name),
            _ => None,
        });
        let living = members - kill - 1;
        run.suspected_after_s.extend(suspected.first());
        run.first_known_after_s.extend(known.first());
        run.known_by_all_after_s.push(known.get(living - 1).copied());
        sim.observed.clear();
    }
    Some(run)
}

fn mean(times: &[f64]) -> f64 {
    times.iter().sum::<f64>() / times.len().max(1) as f64
}

/// Plays all runs; writes a table and two charts, and returns the table.
pub fn simulate_scaling(out: &Path, quick: bool) -> Result<String, String> {
    let with_path = |e: std::io::Error| format!("{}: {e}", out.display());
    std::fs::create_dir_all(out).map_err(with_path)?;
    let counts: &[usize] = if quick { &[5, 50] } else { &[5, 50, 300, 1000] };
    let mut jobs: Vec<(usize, usize)> = (0..counts.len())
        .flat_map(|count_index| (0..LOSSES.len()).map(move |loss_index| (count_index, loss_index)))
        .collect();
    // With 20% loss, hundreds of members exchange so many updates that the simulation takes many minutes.
    jobs.retain(|(count_index, loss_index)| counts[*count_index] <= 50 || LOSSES[*loss_index] < 0.2);
    let jobs = Mutex::new(jobs);
    let runs: Mutex<BTreeMap<(usize, usize), Option<Run>>> = Mutex::default();
    let workers = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| loop {
                let job = jobs.lock().expect("no thread panics under the lock").pop();
                let Some((count_index, loss_index)) = job else { return };
                let run = play(counts[count_index], LOSSES[loss_index], quick);
                info!(members = counts[count_index], loss = LOSSES[loss_index], "played one run");
                runs.lock().expect("no thread panics under the lock").insert((count_index, loss_index), run);
            });
        }
    });
    let runs = runs.into_inner().expect("no thread panics under the lock");
    let mut text = String::from(
        "Virtual time, one seed, five kills one after the other (three at 5 members, two at 1,000); letters (datagrams) take 0.5 to 1.5 ms. Figures are means; *by all* the slowest of the kills.\n\n\
         | members | loss | first suspected s | first known s | known by all s | quiet s | false suspicions an hour, of all | false deaths \
         in the quiet time, of all | bytes/s a member |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
    );
    let (mut known_curves, mut cost_curves) = (Vec::new(), Vec::new());
    for (loss_index, loss) in LOSSES.iter().enumerate() {
        let name = format!("{:.0}% lost", loss * 100.0);
        let (mut known_points, mut cost_points) = (Vec::new(), Vec::new());
        for (count_index, members) in counts.iter().enumerate() {
            let Some(run) = runs.get(&(count_index, loss_index)) else { continue };
            let Some(run) = run else {
                let _ = writeln!(text, "| {members} | {loss} | no agreement at the start |");
                continue;
            };
            let slowest = run.known_by_all_after_s.iter().copied().collect::<Option<Vec<f64>>>();
            let slowest = slowest.and_then(|all| all.into_iter().reduce(f64::max));
            let by_all = slowest.map_or(format!("not in {WATCH_S:.0}"), |s| format!("{s:.2}"));
            let _ = writeln!(
                text,
                "| {members} | {loss} | {:.2} | {:.2} | {by_all} | {:.0} | {:.2} | {:.2} | {:.0} |",
                mean(&run.suspected_after_s),
                mean(&run.first_known_after_s),
                run.quiet_s,
                run.suspicions / run.quiet_s * 3600.0,
                run.deaths,
                run.bytes_per_s
            );
            known_points.extend(slowest.map(|s| (*members as f64, s)));
            cost_points.push((*members as f64, run.bytes_per_s));
        }
        known_curves.push(Curve { name: name.clone(), points: known_points });
        cost_curves.push(Curve { name, points: cost_points });
    }
    for (file, title, unit, curves) in [
        ("members-known.svg", "Seconds until a death is known by all", "s", &known_curves),
        ("members-bytes.svg", "Bytes a second that a member sends without faults", "bytes/s", &cost_curves),
    ] {
        let svg = charts::lines(title, "members", unit, curves, false)?;
        std::fs::write(out.join(file), svg).map_err(with_path)?;
    }
    std::fs::write(out.join("members.md"), &text).map_err(with_path)?;
    Ok(text)
}

//! How detection grows with members and loss, in virtual time, one table:
//! `cargo run --release -p sandstile-membership --example grow`
use sandstile_membership::sim::Sim;
use sandstile_membership::Change;

fn main() {
    println!("| members | loss | first knows s | all know s | false suspicions an hour | false deaths an hour | bytes/s a member |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for n in [5, 50, 300, 1000] {
        for loss in [0.0, 0.05, 0.2] {
            let mut sim = Sim::new(n, 1);
            if sim.until_agreed(60.0).is_none() {
                println!("| {n} | {loss} | no agreement at the start |");
                continue;
            }
            sim.loss = loss;
            // The news of the start have to be old: each rides on many letters.
            sim.play(60.0);
            sim.seen.clear();
            let (bytes, quiet) = (sim.bytes, if n > 100 { 60.0 } else { 600.0 });
            sim.play(quiet);
            let count = |of: fn(&Change) -> bool| sim.seen.iter().filter(|(_, _, c)| of(c)).count() as f64;
            let hour = 3600.0 / quiet;
            // Each suspicion is seen by all: by member, not by observer.
            let suspected = count(|c| matches!(c, Change::Suspected(_))) / n as f64 * hour;
            let died = count(|c| matches!(c, Change::Died(_))) / n as f64 * hour;
            let rate = (sim.bytes - bytes) as f64 / quiet / n as f64;
            let (killed, at) = (n / 2, sim.now);
            sim.kill(killed);
            sim.play(30.0);
            let mut seen: Vec<f64> =
                sim.deaths_of(killed).into_iter().filter(|t| *t >= at).map(|t| t - at).collect();
            seen.sort_by(f64::total_cmp);
            let all = if seen.len() >= n - 1 {
                format!("{:.2}", seen[n - 2])
            } else {
                format!("{} of {}", seen.len(), n - 1)
            };
            let first = seen.first().copied().unwrap_or(f64::NAN);
            println!("| {n} | {loss} | {first:.2} | {all} | {suspected:.1} | {died:.2} | {rate:.0} |");
        }
    }
}

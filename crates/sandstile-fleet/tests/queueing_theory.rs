//! Compares long virtual runs of the model with closed-form results of queueing theory.
mod driver;

use driver::*;
use sandstile_fleet::plan::*;
use sandstile_fleet::random::Rng;
use sandstile_fleet::{Answer, Event};

/// The mean time in an M/M/c queue, waiting and service, by the Erlang C formula.
fn erlang_c(arrivals: f64, service: f64, cores: usize) -> f64 {
    let load = arrivals * service;
    let mut sum = 0.0;
    let mut term = 1.0;
    for n in 0..cores {
        sum += term;
        term *= load / (n + 1) as f64;
    }
    let queued = term * cores as f64 / (cores as f64 - load);
    let wait_probability = queued / (sum + queued);
    service + wait_probability * service / (cores as f64 - load)
}

/// The measured and the theoretical mean time from request to answer at this load of the cores.
fn measured(discipline: Discipline, cores: usize, load: f64) -> (f64, f64) {
    let service = 0.010;
    let mut fleet_plan = plan(1);
    fleet_plan.kinds[0].cores = vec![1.0; cores];
    fleet_plan.kinds[0].discipline = discipline;
    fleet_plan.kinds[0].queue = 1_000_000;
    fleet_plan.kinds[0].connections = 1_000_000;
    fleet_plan.kinds[0].idle_timeout_s = 1e9;
    fleet_plan.workloads[ANY].work = Work::Exponential(service);
    let mut driver = Driver::new(fleet_plan);
    let rate = load * cores as f64 / service;
    let mut rng = Rng::new(11, "arrivals");
    let (mut total, mut count) = (0.0, 0u32);
    // Connection set-up uses the cores too, so all connections are opened before the first statement.
    let mut free: Vec<u64> = (0..2000).map(|_| driver.connect(0)).collect();
    driver.run(0.1);
    let mut sent_at: std::collections::BTreeMap<u64, f64> = Default::default();
    let warm = 20_000;
    for n in 0..2_000_000u32 {
        let gap = rng.exponential(1.0 / rate);
        driver.run(gap);
        for (at, conn, answer) in std::mem::take(&mut driver.answers) {
            assert!(matches!(answer, Answer::Row { .. }));
            let since = sent_at.remove(&conn).expect("an answer to a sent statement");
            if n > warm {
                total += at - since;
                count += 1;
            }
            free.push(conn);
        }
        driver.events.clear();
        let conn = free.pop().expect("a free connection");
        sent_at.insert(conn, driver.now);
        driver.send_on(conn, "q", ANY, None);
    }
    (total / f64::from(count), erlang_c(rate, service, cores))
}

#[test]
fn queues_match_erlang_c_at_three_loads() {
    let cases = [Discipline::Queue, Discipline::Sharing].map(|d| [(d, 2, 0.5), (d, 4, 0.7), (d, 2, 0.8)]);
    std::thread::scope(|scope| {
        for (discipline, cores, load) in cases.concat() {
            scope.spawn(move || {
                let (measured_mean, theory) = measured(discipline, cores, load);
                let deviation = (measured_mean / theory - 1.0).abs();
                println!("{discipline:?} {cores} {load}: measured {measured_mean:.5}, theory {theory:.5}, deviation {deviation:.4}");
                assert!(deviation < 0.03, "{discipline:?} {cores} cores at {load}: {measured_mean} against {theory}, {deviation}");
            });
        }
    });
}

/// Poisson commits, applied by one thread at a fixed rate, form an M/D/1 queue (Pollaczek-Khinchine formula).
#[test]
fn replay_lag_matches_its_closed_form() {
    for load in [0.3, 0.6, 0.8] {
        let apply = 0.004;
        let mut fleet_plan = plan(2);
        fleet_plan.workloads[SAVE].work = Work::Fixed(0.0);
        fleet_plan.groups[0].apply = Work::Fixed(apply);
        fleet_plan.kinds[0].idle_timeout_s = 1e9;
        fleet_plan.kinds[0].queue = 1000;
        let mut driver = Driver::new(fleet_plan);
        let conn = driver.connect(0);
        driver.run(0.1);
        let mut rng = Rng::new(5, "commits");
        let mut lag = 0.0;
        let rounds = 120_000;
        let mut sum_backlog = 0.0;
        let mut last = driver.now;
        for _ in 0..rounds {
            let gap = rng.exponential(apply / load);
            // The time average of the backlog, sampled in small steps; by Little's law it is the rate times the mean
            // delay.
            let steps = 32;
            for _ in 0..steps {
                driver.run(gap / f64::from(steps));
                let (waiting, _) = driver.fleet.backlog(1);
                sum_backlog += waiting as f64 * gap / f64::from(steps);
            }
            driver.answers.clear();
            driver.events.clear();
            driver.send_on(conn, "w", SAVE, None);
        }
        lag += sum_backlog / (driver.now - last) * (apply / load);
        last = driver.now;
        let theory = apply + load * apply / (2.0 * (1.0 - load));
        println!("replay {load}: {lag:.6} against {theory:.6}");
        assert!((lag / theory - 1.0).abs() < 0.04, "load {load}: {lag} against {theory} at {last}");
    }
}

fn random_faults_run(seed: u64) -> String {
    let mut fleet_plan = plan(4);
    fleet_plan.seed = seed;
    fleet_plan.workloads.iter_mut().for_each(|w| w.work = Work::LogNormal { mean: 0.010, sigma: 1.0 });
    let mut driver = Driver::new(fleet_plan);
    let mut rng = Rng::new(seed, "story");
    let kinds = [
        sandstile_fleet::FaultKind::Pause,
        sandstile_fleet::FaultKind::Hang,
        sandstile_fleet::FaultKind::Slow(0.4),
        sandstile_fleet::FaultKind::Crash,
        sandstile_fleet::FaultKind::Lost,
        sandstile_fleet::FaultKind::SlowReplay(0.1),
        sandstile_fleet::FaultKind::Spoilt(0.5),
        sandstile_fleet::FaultKind::FastErrors(0.5),
    ];
    let mut conns = Vec::new();
    for n in 0..4000 {
        driver.run(rng.exponential(0.004));
        let host = rng.below(driver.fleet.host_count());
        if rng.bernoulli(0.01) {
            let kind = kinds[rng.below(kinds.len())].clone();
            let target = sandstile_fleet::Target::Host(driver.fleet.listing(host).name);
            driver.fleet.start_fault(
                driver.now,
                sandstile_fleet::Fault { kind, target, duration_s: rng.exponential(1.0) },
            );
        }
        let session = format!("u{}", rng.below(20));
        conns.push(driver.send(host, &format!("i{n}"), rng.below(6), Some(&session)));
        if rng.bernoulli(0.3) {
            let conn = conns.swap_remove(rng.below(conns.len()));
            driver.close(conn);
        }
    }
    driver.run(30.0);
    let times_run = driver.count_events(|e| matches!(e, Event::Ran { .. }));
    assert!(times_run > 300, "{times_run}");
    let events = driver
        .events
        .iter()
        .map(|(at, e)| format!("{at} {}", serde_json::to_string(e).expect("event serializes to JSON")));
    let answers = driver.answers.iter().map(|(at, conn, a)| format!("{at} {conn} {a:?}"));
    events.chain(answers).collect::<Vec<_>>().join("\n")
}

/// Runs with the same seed give the same events and answers, byte for byte, under random faults. No run panics.
#[test]
fn same_seed_gives_the_same_events_and_answers() {
    assert_eq!(random_faults_run(3), random_faults_run(3));
    assert_ne!(random_faults_run(3), random_faults_run(4));
    for seed in 10..40 {
        random_faults_run(seed);
    }
}

//! The store (exact marks, a sketch behind) against a plain map with a bound, by how many sessions write.
//! `cargo run --release -p sandstile-sessions --example marks`
use sandstile_sessions::floor::{ReadContext, RequiredPosition};
use sandstile_sessions::mark::{Mark, Term};
use sandstile_sessions::store::{SessionKey, Store, StoreLimits};
use std::collections::{HashMap, VecDeque};
use std::time::Instant;

fn memory() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

fn main() {
    let limits = StoreLimits { exact: 1 << 16, cells: 1 << 20, terms: 2 };
    println!("exact {}, sketch {} cells a row, 4 rows", limits.exact, limits.cells);
    println!("sessions    store: note ns  ask ns     MB    fill  raised  raised by s (mean)   map: note ns  ask ns     MB  forgotten");
    for sessions in [10_000u64, 1_000_000, 10_000_000] {
        let writes = sessions;
        // A minute of writes, one a session, in the order of their numbers.
        let at = |n: u64| 1000.0 + 60.0 * n as f64 / writes as f64;
        let context = ReadContext {
            now: 1060.0,
            term: Some(Term(1)),
            horizon: 120.0,
            skew: 1.0,
            complete_since: f64::INFINITY,
            startup_mark: None,
        };
        let before = memory();
        let mut store = Store::new(limits);
        let begun = Instant::now();
        (0..writes).for_each(|n| store.note(SessionKey(spread(n)), Mark { term: Term(1), position: at(n) }));
        let note = begun.elapsed().as_nanos() as f64 / writes as f64;
        let asks = sessions.min(1_000_000);
        let begun = Instant::now();
        let (mut raised, mut by) = (0u64, 0.0);
        for n in 0..asks {
            let n = n * (sessions / asks);
            match store.required_position(SessionKey(spread(n)), None, &context) {
                RequiredPosition::Known(p) if p > at(n) + 0.0015 => {
                    raised += 1;
                    by += p - at(n);
                }
                RequiredPosition::Known(p) => assert!(p >= at(n) - 1e-6),
                other => panic!("{other:?} for one that wrote"),
            }
        }
        let ask = begun.elapsed().as_nanos() as f64 / asks as f64;
        let (mb, fill) = (memory() - before, store.fill());
        drop(store);
        // The plain one: as many sessions exactly, the oldest forgotten.
        let before = memory();
        let (mut map, mut order) = (HashMap::<u64, f64>::new(), VecDeque::new());
        let begun = Instant::now();
        for n in 0..writes {
            map.insert(spread(n), at(n));
            order.push_back(spread(n));
            if map.len() > limits.exact {
                if let Some(oldest) = order.pop_front() {
                    map.remove(&oldest);
                }
            }
        }
        let plain_note = begun.elapsed().as_nanos() as f64 / writes as f64;
        let begun = Instant::now();
        let forgotten = (0..asks).filter(|n| !map.contains_key(&spread(n * (sessions / asks)))).count();
        let plain_ask = begun.elapsed().as_nanos() as f64 / asks as f64;
        println!(
            "{sessions:>9}   {note:>13.0} {ask:>7.0} {mb:>6.1} {fill:>7.3} {:>7.4} {:>19.2}   {plain_note:>12.0} {plain_ask:>7.0} {:>6.1} {:>10.3}",
            raised as f64 / asks as f64,
            by / raised.max(1) as f64,
            memory() - before,
            forgotten as f64 / asks as f64
        );
    }
}

/// Keys as a hash would give them.
fn spread(n: u64) -> u64 {
    n.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

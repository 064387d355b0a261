//! Compares the store (exact marks backed by a sketch) with a bounded map, for a growing number of writing
//! sessions.
//!
//! `cargo run --release -p sandstile-sessions --example marks`
use sandstile_sessions::mark::{Mark, Term};
use sandstile_sessions::required_position::{ReadContext, RequiredPosition};
use sandstile_sessions::store::{SessionKey, Store, StoreLimits};
use std::collections::{HashMap, VecDeque};
use std::time::Instant;

fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

fn main() {
    let limits = StoreLimits { exact_sessions: 1 << 16, sketch_cells: 1 << 20, terms: 2 };
    println!("exact {}, sketch {} cells per row, 4 rows", limits.exact_sessions, limits.sketch_cells);
    println!("sessions    store: save ns  get ns     MB    fill  raised  raised by s (mean)   map: save ns  get ns     MB  forgotten");
    for sessions in [10_000u64, 1_000_000, 10_000_000] {
        let writes = sessions;
        // One minute of writes, one per session, in the order of the session numbers.
        let position_of = |n: u64| 1000.0 + 60.0 * n as f64 / writes as f64;
        let context = ReadContext {
            now: 1060.0,
            term: Some(Term(1)),
            max_replica_lag: 120.0,
            max_clock_skew: 1.0,
            complete_since: f64::INFINITY,
            startup_mark: None,
        };
        let mb_before = resident_mb();
        let mut store = Store::new(limits);
        let started = Instant::now();
        (0..writes).for_each(|n| {
            store.record(SessionKey(hashed_key(n)), Mark { term: Term(1), position: position_of(n) })
        });
        let store_record_ns = started.elapsed().as_nanos() as f64 / writes as f64;
        let queries = sessions.min(1_000_000);
        let started = Instant::now();
        let (mut raised, mut raised_seconds) = (0u64, 0.0);
        for n in 0..queries {
            let n = n * (sessions / queries);
            match store.required_position(SessionKey(hashed_key(n)), None, &context) {
                RequiredPosition::Known(required) if required > position_of(n) + 0.0015 => {
                    raised += 1;
                    raised_seconds += required - position_of(n);
                }
                RequiredPosition::Known(required) => assert!(required >= position_of(n) - 1e-6),
                other => panic!("{other:?} for a session that wrote"),
            }
        }
        let store_query_ns = started.elapsed().as_nanos() as f64 / queries as f64;
        let (store_mb, fill) = (resident_mb() - mb_before, store.max_sketch_fill());
        drop(store);
        // The baseline: a map that keeps the same number of exact sessions and drops the oldest.
        let mb_before = resident_mb();
        let (mut map, mut order) = (HashMap::<u64, f64>::new(), VecDeque::new());
        let started = Instant::now();
        for n in 0..writes {
            map.insert(hashed_key(n), position_of(n));
            order.push_back(hashed_key(n));
            if map.len() > limits.exact_sessions {
                if let Some(oldest) = order.pop_front() {
                    map.remove(&oldest);
                }
            }
        }
        let map_record_ns = started.elapsed().as_nanos() as f64 / writes as f64;
        let started = Instant::now();
        let forgotten =
            (0..queries).filter(|n| !map.contains_key(&hashed_key(n * (sessions / queries)))).count();
        let map_query_ns = started.elapsed().as_nanos() as f64 / queries as f64;
        println!(
            "{sessions:>9}   {store_record_ns:>13.0} {store_query_ns:>7.0} {store_mb:>6.1} {fill:>7.3} {:>7.4} {:>19.2}   {map_record_ns:>12.0} {map_query_ns:>7.0} {:>6.1} {:>10.3}",
            raised as f64 / queries as f64,
            raised_seconds / raised.max(1) as f64,
            resident_mb() - mb_before,
            forgotten as f64 / queries as f64
        );
    }
}

/// Spreads consecutive numbers over the key space, as a hash does.
fn hashed_key(n: u64) -> u64 {
    n.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

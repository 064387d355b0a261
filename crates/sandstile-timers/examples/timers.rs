//! Compares the wheel with the heap: a constant number of timers is pending, and each that is due is
//! replaced. Prints nanoseconds per step.
//!
//! `cargo run --release -p sandstile-timers --example timers`

use sandstile_timers::{TimerHeap, TimerWheel};
use std::time::Instant;

fn main() {
    println!("pending    spread      heap ns   wheel ns");
    for pending in [1_000, 100_000, 1_000_000] {
        for spread in [0.01, 1.0, 60.0] {
            let steps = 2_000_000;
            let mut rng = oorandom::Rand64::new(1);
            let delays: Vec<f64> = (0..65_536).map(|_| -spread * (1.0 - rng.rand_float()).ln()).collect();
            let mut heap = TimerHeap::default();
            (0..pending).for_each(|n| heap.push(delays[n % delays.len()], n));
            let started = Instant::now();
            for n in 0..steps {
                let (time, item) = heap.pop(f64::INFINITY).expect("a timer");
                heap.push(time + delays[n % delays.len()], item);
            }
            let heap_ns = started.elapsed().as_nanos() as f64 / steps as f64;
            let mut wheel = TimerWheel::default();
            (0..pending).for_each(|n| wheel.push(delays[n % delays.len()], n));
            let started = Instant::now();
            for n in 0..steps {
                let (time, item) = wheel.pop(f64::INFINITY).expect("a timer");
                wheel.push(time + delays[n % delays.len()], item);
            }
            let wheel_ns = started.elapsed().as_nanos() as f64 / steps as f64;
            println!("{pending:8}   {spread:6} s   {heap_ns:7.0}   {wheel_ns:8.0}");
        }
    }
}

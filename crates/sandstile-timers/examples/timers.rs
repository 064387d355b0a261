//! Wheel against heap: so many timers stand, and each that falls due is made anew. Prints nanoseconds a step.
//! `cargo run --release -p sandstile-timers --example timers`

use sandstile_timers::{TimerHeap, TimerWheel};
use std::time::Instant;

fn main() {
    println!("standing   spread      heap ns   wheel ns");
    for standing in [1_000, 100_000, 1_000_000] {
        for spread in [0.01, 1.0, 60.0] {
            let steps = 2_000_000;
            let mut chance = oorandom::Rand64::new(1);
            let delays: Vec<f64> = (0..65_536).map(|_| -spread * (1.0 - chance.rand_float()).ln()).collect();
            let mut heap = TimerHeap::default();
            (0..standing).for_each(|n| heap.push(delays[n % delays.len()], n));
            let begun = Instant::now();
            for n in 0..steps {
                let (at, item) = heap.pop(f64::INFINITY).expect("a timer");
                heap.push(at + delays[n % delays.len()], item);
            }
            let plain = begun.elapsed().as_nanos() as f64 / steps as f64;
            let mut wheel = TimerWheel::default();
            (0..standing).for_each(|n| wheel.push(delays[n % delays.len()], n));
            let begun = Instant::now();
            for n in 0..steps {
                let (at, item) = wheel.pop(f64::INFINITY).expect("a timer");
                wheel.push(at + delays[n % delays.len()], item);
            }
            let own = begun.elapsed().as_nanos() as f64 / steps as f64;
            println!("{standing:8}   {spread:6} s   {plain:7.0}   {own:8.0}");
        }
    }
}

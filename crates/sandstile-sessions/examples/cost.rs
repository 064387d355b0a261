//! Measures the time to issue and check a token, to record a mark and to compute a required position.
//!
//! `cargo run --release -p sandstile-sessions --example cost`
use sandstile_sessions::mark::{Mark, Term};
use sandstile_sessions::required_position::ReadContext;
use sandstile_sessions::store::{SessionKey, Store, StoreLimits};
use sandstile_sessions::token::{KeyRing, Token, TOKEN_LENGTH};
use std::hint::black_box;
use std::time::Instant;

fn mean_nanoseconds(times: u64, mut operation: impl FnMut(u64)) -> f64 {
    let started = Instant::now();
    (0..times).for_each(&mut operation);
    started.elapsed().as_nanos() as f64 / times as f64
}

fn discard<T>(_: T) {}

fn main() {
    let ring = KeyRing::read("1 00112233445566778899aabbccddeeff0123456789abcdef0123456789abcdef")
        .expect("there is a key");
    let mark = |n: u64| Mark { term: Term(1), position: 1000.0 + n as f64 / 1000.0 };
    let mut store = Store::new(StoreLimits::default_limits());
    (0..100_000).for_each(|n| store.record(SessionKey(n), mark(n)));
    let context = ReadContext {
        now: 1100.0,
        term: Some(Term(1)),
        max_replica_lag: 300.0,
        max_clock_skew: 1.0,
        complete_since: f64::INFINITY,
        startup_mark: None,
    };
    let times = 500_000;
    println!(
        "hash of a name   {:6.0} ns",
        mean_nanoseconds(times, |n| discard(black_box(SessionKey::of(
            "group",
            if n % 2 == 0 { "u1" } else { "u2" }
        ))))
    );
    let token = Token { key: SessionKey(7), mark: mark(50), issued: 1100.0 };
    println!(
        "issue a token    {:6.0} ns, {TOKEN_LENGTH} characters",
        mean_nanoseconds(times, |_| discard(black_box(ring.issue(&token))))
    );
    let text = ring.issue(&token).expect("there is a key");
    println!(
        "check a token    {:6.0} ns",
        mean_nanoseconds(times, |_| discard(black_box(ring.check(&text, SessionKey(7), 1100.0, 60.0, 1.0))))
    );
    println!(
        "record a mark    {:6.0} ns",
        mean_nanoseconds(times, |n| store.record(SessionKey(n % 100_000), mark(n)))
    );
    println!(
        "required position{:6.0} ns",
        mean_nanoseconds(times, |n| discard(black_box(store.required_position(
            SessionKey(n % 100_000),
            Some(mark(9)),
            &context
        ))))
    );
}

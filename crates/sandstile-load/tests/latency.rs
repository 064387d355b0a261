//! The load generator against hosts with known delays.
use sandstile_load::{run, Arrivals, Load, Shape};
use sandstile_pgwire as pg;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A host that answers the n-th statement after `delay(n)`.
fn host(delay: impl Fn(u64) -> Duration + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (count, delay) = (Arc::new(AtomicU64::new(0)), Arc::new(delay));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (count, delay) = (count.clone(), delay.clone());
            thread::spawn(move || drop(serve(stream, &count, &*delay)));
        }
    });
    address
}

fn serve(mut stream: TcpStream, count: &AtomicU64, delay: &dyn Fn(u64) -> Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut reader, mut bytes) = (pg::MessageReader::default(), [0; 4096]);
    loop {
        let n = stream.read(&mut bytes)?;
        if n == 0 {
            return Ok(());
        }
        reader.receive(&bytes[..n]);
        while let Ok(Some(message)) = reader.message() {
            let mut out = Vec::new();
            match message {
                pg::ClientMessage::Begin => pg::startup_response(&mut out),
                pg::ClientMessage::Query(_) => {
                    thread::sleep(delay(count.fetch_add(1, SeqCst)));
                    pg::row(&mut out, b"value");
                    pg::ready(&mut out);
                }
                _ => return Ok(()),
            }
            stream.write_all(&out)?;
        }
    }
}

fn load(targets: Vec<SocketAddr>, connections: usize, seconds: f64) -> Load {
    Load { targets, connections, timeout_s: 5.0, warm_up_s: 0.0, closed_loop: false, seconds }
}

/// The delays are 20 to 119 ms, each equally often, so the percentiles are known.
#[test]
fn percentiles_match_the_delays_of_the_host() {
    let address = host(|n| Duration::from_millis(20 + (n * 37) % 100));
    let arrivals = Arrivals::new(Shape::Constant(500.0), 4.0, 1);
    let report = run(&load(vec![address], 200, 4.0), arrivals, &mut |n, _| format!("q{n}")).expect("a load");
    assert_eq!((report.statements, report.completed, report.broken_connections), (2001, 2001, 0));
    for (share, truth) in [(0.1, 29.5), (0.5, 69.5), (0.9, 109.5), (0.99, 118.5)] {
        let seen = report.latency_from_send_us.value_at_quantile(share) as f64 / 1000.0;
        // The scripted delays are whole milliseconds apart; the rest of the tolerance is for the machine.
        assert!((seen - truth).abs() < 0.02 * truth + 1.5, "p{share}: {seen} of {truth}");
    }
}

/// A host stalls for 200 ms while its connections wait for it. The latency from the due time shows the stall; the latency
/// from sending hardly does (coordinated omission).
#[test]
fn a_stall_shows_in_the_latency_from_due_but_not_from_send() {
    let started = Instant::now();
    let stall = move |_| {
        let since = started.elapsed().as_millis() as u64;
        let left = if (1000..1200).contains(&since) { 1200 - since } else { 0 };
        Duration::from_millis(2 + left)
    };
    let address = host(stall);
    let arrivals = Arrivals::new(Shape::Constant(300.0), 3.0, 1);
    let report = run(&load(vec![address], 2, 3.0), arrivals, &mut |n, _| format!("q{n}")).expect("a load");
    assert_eq!(report.completed, 901);
    let (from_due, from_send) = (
        report.latency_from_due_us.value_at_quantile(0.97),
        report.latency_from_send_us.value_at_quantile(0.97),
    );
    assert!(from_due > 60_000, "{from_due} us");
    assert!(from_send < 20_000, "{from_send} us");
    assert!(report.latency_from_due_us.max() > 150_000);
}

#[test]
fn statements_that_time_out_are_counted_and_delay_no_others() {
    let address = host(|n| Duration::from_millis(if n % 10 == 0 { 1500 } else { 1 }));
    let load = Load { timeout_s: 0.3, ..load(vec![address], 50, 2.0) };
    let arrivals = Arrivals::new(Shape::Poisson(200.0), 2.0, 3);
    let report = run(&load, arrivals, &mut |n, ms| format!("q{n} {ms}")).expect("a load");
    assert_eq!(report.completed + report.unanswered, report.statements);
    let share = report.unanswered as f64 / report.statements as f64;
    assert!((0.07..0.14).contains(&share), "{share}: one in ten is slow");
    assert!(report.latency_from_due_us.value_at_quantile(0.9) < 50_000);
}

#[test]
fn a_closed_loop_sends_as_fast_as_it_is_answered() {
    let address = host(|_| Duration::from_millis(10));
    let load = Load { closed_loop: true, ..load(vec![address], 8, 2.0) };
    let report =
        run(&load, Arrivals::new(Shape::Poisson(1.0), 2.0, 1), &mut |n, _| format!("q{n}")).expect("a load");
    let rate = report.rate();
    assert!((600.0..800.0).contains(&rate), "{rate} a second of 8 connections at 10 ms");
    // No listener: refused connections are reported, not waited for.
    let nobody = "127.0.0.2:1".parse().expect("an address");
    let report =
        run(&self::load(vec![nobody], 2, 0.2), Arrivals::new(Shape::Constant(20.0), 0.2, 1), &mut |_, _| {
            String::new()
        });
    assert!(report.is_ok_and(|r| r.completed == 0 && r.broken_connections > 0));
}

#[test]
fn arrivals_follow_their_shape() {
    let count = |shape: Shape, seconds: f64| Arrivals::new(shape, seconds, 4).count() as f64;
    assert!((count(Shape::Poisson(1000.0), 20.0) / 20_000.0 - 1.0).abs() < 0.03);
    assert_eq!(count(Shape::Constant(10.0), 2.0), 21.0);
    let onoff = Shape::OnOff { on: 1000.0, on_s: 1.0, off: 100.0, off_s: 3.0 };
    assert!((count(onoff.clone(), 40.0) / 13_000.0 - 1.0).abs() < 0.05);
    let first = Arrivals::new(onoff, 40.0, 4).filter(|at| at % 4.0 < 1.0).count();
    assert!((first as f64 / 10_000.0 - 1.0).abs() < 0.05);
    let day = Shape::Curve(vec![0.0, 400.0, 0.0]);
    assert_eq!((day.rate(5.0, 20.0), day.rate(10.0, 20.0), day.rate(20.0, 20.0)), (200.0, 400.0, 0.0));
    assert!((count(day, 20.0) / 4000.0 - 1.0).abs() < 0.06);
    assert_eq!(Arrivals::new(Shape::Recorded(vec![0.1, 0.5, 9.0]), 1.0, 1).collect::<Vec<_>>(), [0.1, 0.5]);
}

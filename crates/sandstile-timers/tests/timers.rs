//! The wheel and the heap tell the same order, whatever comes and goes.
use quickcheck::{Gen, QuickCheck};
use sandstile_timers::{TimerHeap, TimerWheel};

#[test]
fn wheel_and_heap_agree() {
    fn holds(steps: Vec<(u32, u8, u8)>) -> bool {
        let start = 1_700_000_000.0;
        let (mut wheel, mut heap, mut now) = (TimerWheel::starting_at(start), TimerHeap::default(), start);
        for (n, (raw, scale, step)) in steps.into_iter().enumerate() {
            // From microseconds to months ahead, and now and then in the past.
            let ahead = f64::from(raw) * 10f64.powi(i32::from(scale % 10) - 8) - 0.01;
            wheel.push(now + ahead, n);
            heap.push(now + ahead, n);
            now += f64::from(step) * 10f64.powi(i32::from(scale % 7) - 4);
            loop {
                assert_eq!(wheel.earliest(), heap.earliest());
                let (a, b) = (wheel.pop(now), heap.pop(now));
                assert_eq!(a, b);
                if a.is_none() {
                    break;
                }
            }
            assert_eq!((wheel.len(), wheel.is_empty()), (heap.len(), heap.is_empty()));
        }
        loop {
            let (a, b) = (wheel.pop(f64::INFINITY), heap.pop(f64::INFINITY));
            assert_eq!(a, b);
            if a.is_none() {
                return true;
            }
        }
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(200, 21)).tests(400);
    check.quickcheck(holds as fn(Vec<(u32, u8, u8)>) -> bool);
}

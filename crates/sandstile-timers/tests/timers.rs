//! The wheel and the heap return the same timers in the same order.
use quickcheck::{Gen, QuickCheck};
use sandstile_timers::{TimerHeap, TimerWheel};

#[test]
fn wheel_and_heap_return_the_same_timers() {
    fn property(steps: Vec<(u32, u8, u8)>) -> bool {
        let start = 1_700_000_000.0;
        let (mut wheel, mut heap, mut now) = (TimerWheel::starting_at(start), TimerHeap::default(), start);
        for (n, (raw, scale, step)) in steps.into_iter().enumerate() {
            // From microseconds to months ahead, and sometimes in the past.
            let delay = f64::from(raw) * 10f64.powi(i32::from(scale % 10) - 8) - 0.01;
            wheel.push(now + delay, n);
            heap.push(now + delay, n);
            now += f64::from(step) * 10f64.powi(i32::from(scale % 7) - 4);
            loop {
                assert_eq!(wheel.earliest(), heap.earliest());
                let (from_wheel, from_heap) = (wheel.pop(now), heap.pop(now));
                assert_eq!(from_wheel, from_heap);
                if from_wheel.is_none() {
                    break;
                }
            }
            assert_eq!((wheel.len(), wheel.is_empty()), (heap.len(), heap.is_empty()));
        }
        loop {
            let (from_wheel, from_heap) = (wheel.pop(f64::INFINITY), heap.pop(f64::INFINITY));
            assert_eq!(from_wheel, from_heap);
            if from_wheel.is_none() {
                return true;
            }
        }
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(200, 21)).tests(400);
    check.quickcheck(property as fn(Vec<(u32, u8, u8)>) -> bool);
}

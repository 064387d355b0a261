//! The phases of a shutdown.
use sandstile_connections::shutdown::{Shutdown, ShutdownStep};

/// Guards against a router that is killed while it ends: the platform kills it no earlier than the longest deadline
/// (3 s where that is longer) and 0.7 s after its request.
#[test]
fn every_phase_ends_before_the_kill_whatever_the_longest_deadline() {
    for longest_deadline in [0.05, 0.3, 1.0, 3.0, 60.0] {
        let killed_at = 100.0 + f64::min(longest_deadline, 3.0) + 0.7;
        let mut shutdown = Shutdown::begin(100.0, longest_deadline);
        let mut steps = Vec::new();
        assert_eq!(shutdown.take_step(100.0), None);
        while shutdown.due().is_finite() {
            let due = shutdown.due();
            assert!(due < killed_at - 0.2, "{longest_deadline}: {due}");
            steps.extend(shutdown.take_step(due));
        }
        assert!(shutdown.latest_deadline() < shutdown.end_at() && shutdown.end_at() < killed_at);
        assert_eq!(
            steps,
            [ShutdownStep::StopReading, ShutdownStep::RefuseUnanswered, ShutdownStep::CloseAll]
        );
    }
}

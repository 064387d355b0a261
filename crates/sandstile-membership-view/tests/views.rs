//! The rule for acting on peer information in every view, the transitions between views, and the number of sharing routers.
use oorandom::Rand64;
use sandstile_membership_view::{
    may_act, Direction, Observation, SharingRouters, Topic, View, ViewTracker, TOPICS,
};

const VIEWS: [View; 4] = [View::Agreed, View::Settling, View::CutOff, View::Alone];

#[test]
fn peer_information_makes_more_careful_at_once_and_less_only_with_an_own_observation() {
    for view in VIEWS {
        for topic in TOPICS {
            for own in [false, true] {
                assert!(may_act(view, topic, Direction::MoreCareful, own));
            }
            assert!(!may_act(view, topic, Direction::LessCareful, false), "{view:?} {topic:?}");
        }
        assert!(!may_act(view, Topic::Mark, Direction::LessCareful, true));
        assert_eq!(may_act(view, Topic::SharingRouters, Direction::LessCareful, true), view == View::Agreed);
    }
}

#[test]
fn a_worse_view_counts_at_once_and_a_better_one_after_a_delay() {
    let healthy = Observation { live: 8, ..Observation::default() };
    let mut tracker = ViewTracker::new(0.0);
    assert_eq!((tracker.observe(0.0, &healthy), tracker.observe(1.9, &healthy)), (None, None));
    assert_eq!(tracker.observe(2.0, &healthy), Some(View::Agreed));
    assert_eq!(tracker.observe(3.0, &Observation { suspects: 1, ..healthy }), Some(View::Settling));
    assert_eq!(tracker.observe(3.1, &Observation { live: 4, dead: 4, ..healthy }), Some(View::CutOff));
    assert_eq!(tracker.observe(3.2, &Observation { live: 0, dead: 8, ..healthy }), Some(View::Alone));
    // Recovery enters the worst view seen during the delay, so a flapping connection never reaches `Agreed`.
    let mut now = 4.0;
    for n in 0..40 {
        now += 1.0;
        let observation = if n % 2 == 0 { healthy } else { Observation { live: 3, dead: 5, ..healthy } };
        assert_ne!(tracker.observe(now, &observation), Some(View::Agreed), "{now}");
    }
    for _ in 0..6 {
        now += 1.0;
        tracker.observe(now, &healthy);
    }
    assert_eq!(tracker.view(), View::Agreed);
    // One crash among many members is no partition; two of three are.
    assert_eq!(tracker.observe(now + 1.0, &Observation { live: 7, dead: 1, ..healthy }), None);
    assert_eq!(tracker.observe(now + 2.0, &Observation { live: 1, dead: 2, ..healthy }), Some(View::CutOff));
    // A router that receives nothing is alone at once, however many members it considers live; one that is reported dead is cut off.
    assert_eq!(
        ViewTracker::new(0.0).observe(0.0, &Observation { silent: true, ..healthy }),
        None,
        "the view is `Alone` from the start"
    );
    for _ in 0..6 {
        now += 1.0;
        tracker.observe(now + 3.0, &healthy);
    }
    assert_eq!(tracker.view(), View::Agreed);
    assert_eq!(
        tracker.observe(now + 4.0, &Observation { declared_dead: true, ..healthy }),
        Some(View::CutOff)
    );
    assert_eq!(tracker.observe(now + 4.1, &Observation { silent: true, ..healthy }), Some(View::Alone));
    assert_eq!(
        ViewTracker::new(0.0).observe(5.0, &Observation::default()),
        None,
        "a router without configured peers also waits for the delay"
    );
}

/// For any observations: the number stays within the bounds of the configured one, the own share grows only after 30 agreed seconds,
/// and it shrinks at once.
#[test]
fn shares_grow_slowly_and_shrink_at_once() {
    fn property(seed: u64) -> bool {
        let mut rng = Rand64::new(u128::from(seed));
        let configured = 1 + rng.rand_range(0..40) as usize;
        let mut sharing_routers = SharingRouters::new(configured);
        let (mut now, mut agreed_since, mut before) = (0.0, None, sharing_routers.count());
        for _ in 0..400 {
            now += rng.rand_float() * 4.0;
            let view = if rng.rand_range(0..12) == 0 { View::CutOff } else { View::Agreed };
            agreed_since = (view == View::Agreed).then(|| agreed_since.unwrap_or(now));
            let live = 1 + rng.rand_range(0..60) as usize;
            let count = sharing_routers.observe(now, view, live);
            let bounded = count >= (configured as f64 / 2.0).max(1.0) && count <= configured as f64 * 4.0;
            let share_grows = count < before;
            let allowed = agreed_since.is_some_and(|since: f64| now - since >= 30.0);
            let observed = (live as f64).min(configured as f64 * 4.0);
            if !bounded
                || (share_grows && !allowed)
                || count < observed.min(count)
                || (observed > before && count < observed)
            {
                return false;
            }
            before = count;
        }
        true
    }
    quickcheck::QuickCheck::new().tests(300).quickcheck(property as fn(u64) -> bool);
}

//! The line that holds in every state, and what leads from one state to the next.
use oorandom::Rand64;
use sandstile_membership_view::{
    may_act, Direction, Observation, SharingRouters, Topic, View, ViewTracker, TOPICS,
};

const VIEWS: [View; 4] = [View::Agreed, View::Settling, View::CutOff, View::Alone];

#[test]
fn a_word_makes_more_careful_at_once_and_less_only_by_own_eyes() {
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
fn worse_counts_at_once_and_better_once_it_has_stood() {
    let calm = Observation { live: 8, ..Observation::default() };
    let mut views = ViewTracker::new(0.0);
    assert_eq!((views.observe(0.0, &calm), views.observe(1.9, &calm)), (None, None));
    assert_eq!(views.observe(2.0, &calm), Some(View::Agreed));
    assert_eq!(views.observe(3.0, &Observation { suspects: 1, ..calm }), Some(View::Settling));
    assert_eq!(views.observe(3.1, &Observation { live: 4, dead: 4, ..calm }), Some(View::CutOff));
    assert_eq!(views.observe(3.2, &Observation { live: 0, dead: 8, ..calm }), Some(View::Alone));
    // It heals by way of what is still unsettled, and a flapping link never settles.
    let mut t = 4.0;
    for n in 0..40 {
        t += 1.0;
        let observation = if n % 2 == 0 { calm } else { Observation { live: 3, dead: 5, ..calm } };
        assert_ne!(views.observe(t, &observation), Some(View::Agreed), "{t}");
    }
    for _ in 0..6 {
        t += 1.0;
        views.observe(t, &calm);
    }
    assert_eq!(views.view(), View::Agreed);
    // One crash among many is no cut; two of three are.
    assert_eq!(views.observe(t + 1.0, &Observation { live: 7, dead: 1, ..calm }), None);
    assert_eq!(views.observe(t + 2.0, &Observation { live: 1, dead: 2, ..calm }), Some(View::CutOff));
    // Whoever hears nobody is alone at once, whomever it holds for there; one that is said dead is not heard.
    assert_eq!(ViewTracker::new(0.0).observe(0.0, &Observation { silent: true, ..calm }), None, "as it was");
    for _ in 0..6 {
        t += 1.0;
        views.observe(t + 3.0, &calm);
    }
    assert_eq!(views.view(), View::Agreed);
    assert_eq!(views.observe(t + 4.0, &Observation { declared_dead: true, ..calm }), Some(View::CutOff));
    assert_eq!(views.observe(t + 4.1, &Observation { silent: true, ..calm }), Some(View::Alone));
    assert_eq!(
        ViewTracker::new(0.0).observe(5.0, &Observation::default()),
        None,
        "one that needs nobody waits like any other"
    );
}

/// Whatever is seen: no more than the file allows, never a larger part sooner than after thirty agreed seconds, and a smaller one
/// at once.
#[test]
fn shares_grow_slowly_and_shrink_at_once() {
    fn holds(seed: u64) -> bool {
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
            let larger_part = count < before;
            let allowed = agreed_since.is_some_and(|since: f64| now - since >= 30.0);
            let seen = (live as f64).min(configured as f64 * 4.0);
            if !bounded
                || (larger_part && !allowed)
                || count < seen.min(count)
                || (seen > before && count < seen)
            {
                return false;
            }
            before = count;
        }
        true
    }
    quickcheck::QuickCheck::new().tests(300).quickcheck(holds as fn(u64) -> bool);
}

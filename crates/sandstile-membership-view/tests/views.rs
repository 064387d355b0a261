//! The line that holds in every state, and what leads from one state to the next.
use oorandom::Rand64;
use sandstile_membership_view::{may, About, Look, Sharers, View, Views, Way, ABOUT};

const VIEWS: [View; 4] = [View::Agreed, View::Settling, View::CutOff, View::Alone];

#[test]
fn a_word_makes_more_careful_at_once_and_less_only_by_own_eyes() {
    for view in VIEWS {
        for about in ABOUT {
            for own in [false, true] {
                assert!(may(view, about, Way::MoreCareful, own));
            }
            assert!(!may(view, about, Way::LessCareful, false), "{view:?} {about:?}");
        }
        assert!(!may(view, About::Mark, Way::LessCareful, true));
        assert_eq!(may(view, About::Sharers, Way::LessCareful, true), view == View::Agreed);
    }
}

#[test]
fn worse_counts_at_once_and_better_once_it_has_stood() {
    let calm = Look { there: 8, ..Look::default() };
    let mut views = Views::new(0.0);
    assert_eq!((views.look(0.0, &calm), views.look(1.9, &calm)), (None, None));
    assert_eq!(views.look(2.0, &calm), Some(View::Agreed));
    assert_eq!(views.look(3.0, &Look { suspects: 1, ..calm }), Some(View::Settling));
    assert_eq!(views.look(3.1, &Look { there: 4, dead: 4, ..calm }), Some(View::CutOff));
    assert_eq!(views.look(3.2, &Look { there: 0, dead: 8, ..calm }), Some(View::Alone));
    // It heals by way of what is still unsettled, and a flapping link never settles.
    let mut t = 4.0;
    for n in 0..40 {
        t += 1.0;
        let look = if n % 2 == 0 { calm } else { Look { there: 3, dead: 5, ..calm } };
        assert_ne!(views.look(t, &look), Some(View::Agreed), "{t}");
    }
    for _ in 0..6 {
        t += 1.0;
        views.look(t, &calm);
    }
    assert_eq!(views.view(), View::Agreed);
    // One crash among many is no cut; two of three are.
    assert_eq!(views.look(t + 1.0, &Look { there: 7, dead: 1, ..calm }), None);
    assert_eq!(views.look(t + 2.0, &Look { there: 1, dead: 2, ..calm }), Some(View::CutOff));
    // Whoever hears nobody is alone at once, whomever it holds for there; one that is said dead is not heard.
    assert_eq!(Views::new(0.0).look(0.0, &Look { silent: true, ..calm }), None, "as it was");
    for _ in 0..6 {
        t += 1.0;
        views.look(t + 3.0, &calm);
    }
    assert_eq!(views.view(), View::Agreed);
    assert_eq!(views.look(t + 4.0, &Look { buried: true, ..calm }), Some(View::CutOff));
    assert_eq!(views.look(t + 4.1, &Look { silent: true, ..calm }), Some(View::Alone));
    assert_eq!(
        Views::new(0.0).look(5.0, &Look::default()),
        None,
        "one that needs nobody waits like any other"
    );
}

/// Whatever is seen: no more than the file allows, never a larger part sooner than after thirty agreed seconds, and a smaller one
/// at once.
#[test]
fn shares_grow_slowly_and_shrink_at_once() {
    fn holds(seed: u64) -> bool {
        let mut chance = Rand64::new(u128::from(seed));
        let configured = 1 + chance.rand_range(0..40) as usize;
        let mut sharers = Sharers::new(configured);
        let (mut now, mut agreed_since, mut before) = (0.0, None, sharers.count());
        for _ in 0..400 {
            now += chance.rand_float() * 4.0;
            let view = if chance.rand_range(0..12) == 0 { View::CutOff } else { View::Agreed };
            agreed_since = (view == View::Agreed).then(|| agreed_since.unwrap_or(now));
            let there = 1 + chance.rand_range(0..60) as usize;
            let count = sharers.look(now, view, there);
            let bounded = count >= (configured as f64 / 2.0).max(1.0) && count <= configured as f64 * 4.0;
            let larger_part = count < before;
            let allowed = agreed_since.is_some_and(|since: f64| now - since >= 30.0);
            let seen = (there as f64).min(configured as f64 * 4.0);
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

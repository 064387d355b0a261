//! One router among peers that say anything, whichever view holds: every order of words, own looks and changes of the view. It never
//! becomes less careful by a word alone, and by its own eyes it always can.
use sandstile_membership_view::{may_act, Direction, Topic, View, TOPICS};
use stateright::{Checker, Model, Property};

const VIEWS: [View; 4] = [View::Agreed, View::Settling, View::CutOff, View::Alone];

/// What its own eyes saw last of one thing.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
enum Eyes {
    Nothing,
    Well,
    Ill,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct Router {
    view: usize,
    topic: usize,
    eyes: Eyes,
    careful: bool,
    /// It became less careful though its eyes had not seen that all is well.
    by_word_alone: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    /// The view becomes another.
    View(usize),
    /// A peer says that all is well, or that it is not; true or not.
    Word(bool),
    /// It looks itself.
    Observation(bool),
}

struct One {
    /// A mutant takes a peer's word for its own eyes'.
    believes: bool,
}

impl Model for One {
    type State = Router;
    type Action = Act;

    fn init_states(&self) -> Vec<Router> {
        let of = |topic| Router { view: 3, topic, eyes: Eyes::Nothing, careful: false, by_word_alone: false };
        (0..TOPICS.len()).map(of).collect()
    }

    fn actions(&self, _: &Router, acts: &mut Vec<Act>) {
        acts.extend((0..4).map(Act::View));
        acts.extend([true, false].into_iter().flat_map(|well| [Act::Word(well), Act::Observation(well)]));
    }

    fn next_state(&self, before: &Router, act: Act) -> Option<Router> {
        let mut r = before.clone();
        let (view, topic) = (VIEWS[r.view], TOPICS[r.topic]);
        match act {
            Act::View(view) => r.view = view,
            Act::Word(false) => {
                r.careful |= may_act(view, topic, Direction::MoreCareful, r.eyes == Eyes::Ill)
            }
            Act::Word(true) => {
                let own = r.eyes == Eyes::Well || self.believes;
                if r.careful && may_act(view, topic, Direction::LessCareful, own) {
                    r.careful = false;
                    r.by_word_alone |= r.eyes != Eyes::Well;
                }
            }
            Act::Observation(well) => {
                r.eyes = if well { Eyes::Well } else { Eyes::Ill };
                r.careful = !well;
            }
        }
        (r != *before).then_some(r)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never by a word alone", |_, r: &Router| !r.by_word_alone),
            Property::sometimes("a word makes more careful", |_, r: &Router| {
                r.careful && r.eyes == Eyes::Nothing
            }),
            Property::sometimes("own eyes end it", |_, r: &Router| !r.careful && r.eyes == Eyes::Well),
        ]
    }
}

#[test]
fn no_order_of_words_makes_a_router_less_careful_without_its_eyes() {
    let checker = One { believes: false }.checker().spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn without_the_own_eyes_line_a_word_is_enough() {
    let checker = One { believes: true }.checker().spawn_bfs().join();
    assert!(checker.discovery("never by a word alone").is_some());
    let _ = Topic::Mark;
}

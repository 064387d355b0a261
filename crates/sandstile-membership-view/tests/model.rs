//! Model check of a router whose peers may report anything, over every order of peer reports, own observations and view changes. It
//! never becomes less careful on a report alone, and it always can on its own observation.
use sandstile_membership_view::{may_act, Direction, Topic, View, TOPICS};
use stateright::{Checker, Model, Property};

const VIEWS: [View; 4] = [View::Agreed, View::Settling, View::CutOff, View::Alone];

/// The router's own last observation of the topic.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
enum OwnObservation {
    Nothing,
    Healthy,
    Unhealthy,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct Router {
    view: usize,
    topic: usize,
    own_observation: OwnObservation,
    careful: bool,
    /// The router became less careful without an own observation that all is well.
    by_report_alone: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    /// The view changes.
    View(usize),
    /// A peer reports that all is well or that it is not, whether that is true or false.
    PeerReport(bool),
    /// The router observes the topic itself.
    Observation(bool),
}

struct RouterModel {
    /// Set in the mutant, which treats a peer's report as its own observation.
    trusts_reports: bool,
}

impl Model for RouterModel {
    type State = Router;
    type Action = Action;

    fn init_states(&self) -> Vec<Router> {
        let initial_state = |topic| Router {
            view: 3,
            topic,
            own_observation: OwnObservation::Nothing,
            careful: false,
            by_report_alone: false,
        };
        (0..TOPICS.len()).map(initial_state).collect()
    }

    fn actions(&self, _: &Router, actions: &mut Vec<Action>) {
        actions.extend((0..4).map(Action::View));
        actions.extend(
            [true, false]
                .into_iter()
                .flat_map(|healthy| [Action::PeerReport(healthy), Action::Observation(healthy)]),
        );
    }

    fn next_state(&self, before: &Router, action: Action) -> Option<Router> {
        let mut router = before.clone();
        let (view, topic) = (VIEWS[router.view], TOPICS[router.topic]);
        match action {
            Action::View(view) => router.view = view,
            Action::PeerReport(false) => {
                router.careful |= may_act(
                    view,
                    topic,
                    Direction::MoreCareful,
                    router.own_observation == OwnObservation::Unhealthy,
                )
            }
            Action::PeerReport(true) => {
                let own = router.own_observation == OwnObservation::Healthy || self.trusts_reports;
                if router.careful && may_act(view, topic, Direction::LessCareful, own) {
                    router.careful = false;
                    router.by_report_alone |= router.own_observation != OwnObservation::Healthy;
                }
            }
            Action::Observation(healthy) => {
                router.own_observation =
                    if healthy { OwnObservation::Healthy } else { OwnObservation::Unhealthy };
                router.careful = !healthy;
            }
        }
        (router != *before).then_some(router)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never less careful on a report alone", |_, router: &Router| {
                !router.by_report_alone
            }),
            Property::sometimes("a report makes the router more careful", |_, router: &Router| {
                router.careful && router.own_observation == OwnObservation::Nothing
            }),
            Property::sometimes("an own observation makes the router less careful", |_, router: &Router| {
                !router.careful && router.own_observation == OwnObservation::Healthy
            }),
        ]
    }
}

#[test]
fn no_order_of_reports_makes_a_router_less_careful_without_an_own_observation() {
    let checker = RouterModel { trusts_reports: false }.checker().spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn without_the_rule_a_report_alone_makes_a_router_less_careful() {
    let checker = RouterModel { trusts_reports: true }.checker().spawn_bfs().join();
    assert!(checker.discovery("never less careful on a report alone").is_some());
    let _ = Topic::Mark;
}

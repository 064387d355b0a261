//! Model check of the update rules with three members, over every order of false suspicions, deaths, messages and faults. A member may
//! be partitioned, stopped and restarted, each fault once. From every reachable state, once the faults have ended and all members
//! have exchanged their state, every member has to consider every other one alive.
use sandstile_membership::swim::{overrides, refutes};
use sandstile_membership::{MemberId, MemberUpdate, Meta, State};
use stateright::{Checker, Model, Property};

const MEMBERS: usize = 3;

type Belief = (u64, u32, u8);

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct Member {
    generation: u64,
    incarnation: u32,
    /// What it believes of each other member.
    beliefs: [Option<Belief>; MEMBERS],
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct World {
    members: [Member; MEMBERS],
    suspicions: u8,
    restarts: u8,
    /// The partitioned and the stopped member. `cuts` and `stops` count the faults that may still happen.
    cut: Option<usize>,
    stopped: Option<usize>,
    cuts: u8,
    stops: u8,
}

impl World {
    fn connected(&self, from: usize, to: usize) -> bool {
        let parted = self.cut.is_some_and(|c| c == from || c == to);
        !parted && self.stopped != Some(from) && self.stopped != Some(to)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    /// The first falsely suspects the second.
    Suspect(usize, usize),
    /// The suspicion of the first expires, and it declares the second dead.
    DeclareDead(usize, usize),
    /// The first sends all its beliefs to the second.
    Send(usize, usize),
    Restart(usize),
    Cut(usize),
    Heal,
    Stop(usize),
    Resume,
}

struct ThreeMembers {
    /// Whether members refute suspicions and deaths; `false` in the mutant, which has to violate the property.
    refutes: bool,
}

fn update(n: usize, (life, incarnation, state): Belief) -> MemberUpdate {
    let state = [State::Alive, State::Suspect, State::Left, State::Dead][usize::from(state)];
    let address = std::net::SocketAddr::from(([127, 0, 0, n as u8 + 1], 7400));
    MemberUpdate {
        id: MemberId { name: format!("n{n}"), life },
        address,
        incarnation,
        state,
        accuser: 0,
        meta: Meta::default(),
    }
}

impl ThreeMembers {
    fn apply(&self, world: &mut World, observer: usize, subject: usize, belief: Belief) {
        let member = &mut world.members[observer];
        if observer == subject {
            if let Some(incarnation) =
                refutes(&update(subject, belief), member.generation, member.incarnation)
                    .filter(|_| self.refutes)
            {
                member.incarnation = incarnation;
            }
            return;
        }
        match member.beliefs[subject] {
            None if belief.2 < 2 => member.beliefs[subject] = Some(belief),
            Some(held) if overrides(&update(subject, belief), &update(subject, held)) => {
                member.beliefs[subject] = Some(belief)
            }
            _ => {}
        }
    }

    fn send(&self, world: &mut World, from: usize, to: usize) {
        let sender = world.members[from].clone();
        self.apply(world, to, from, (sender.generation, sender.incarnation, 0));
        for (subject, belief) in sender.beliefs.iter().enumerate() {
            if let Some(belief) = belief {
                self.apply(world, to, subject, *belief);
            }
        }
    }

    /// Whether all members consider each other alive after all have repeatedly exchanged their beliefs.
    fn healed(&self, world: &World) -> bool {
        let mut world = world.clone();
        for _ in 0..6 {
            for from in 0..MEMBERS {
                for to in (0..MEMBERS).filter(|to| *to != from) {
                    self.send(&mut world, from, to);
                }
            }
        }
        (0..MEMBERS).all(|observer| {
            (0..MEMBERS).filter(|subject| *subject != observer).all(|subject| {
                world.members[observer].beliefs[subject].is_some_and(|(generation, _, state)| {
                    state == 0 && generation == world.members[subject].generation
                })
            })
        })
    }
}

impl Model for ThreeMembers {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let member = |n: usize| Member {
            generation: 1,
            incarnation: 0,
            beliefs: std::array::from_fn(|subject| (subject != n).then_some((1, 0, 0))),
        };
        vec![World {
            members: std::array::from_fn(member),
            suspicions: 2,
            restarts: 1,
            cut: None,
            stopped: None,
            cuts: 1,
            stops: 1,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        for a in 0..MEMBERS {
            for b in (0..MEMBERS).filter(|b| *b != a) {
                if world.connected(a, b) {
                    actions.push(Action::Send(a, b));
                }
                if world.stopped == Some(a) {
                    continue;
                }
                match world.members[a].beliefs[b] {
                    Some((_, _, 0)) if world.suspicions > 0 => actions.push(Action::Suspect(a, b)),
                    Some((_, _, 1)) => actions.push(Action::DeclareDead(a, b)),
                    _ => {}
                }
            }
            if world.restarts > 0 && world.stopped != Some(a) {
                actions.push(Action::Restart(a));
            }
            if world.cuts > 0 {
                actions.push(Action::Cut(a));
            }
            if world.stops > 0 {
                actions.push(Action::Stop(a));
            }
        }
        if world.cut.is_some() {
            actions.push(Action::Heal);
        }
        if world.stopped.is_some() {
            actions.push(Action::Resume);
        }
    }

    fn next_state(&self, before: &World, action: Action) -> Option<World> {
        let mut world = before.clone();
        match action {
            Action::Suspect(a, b) => {
                let (generation, incarnation, _) = world.members[a].beliefs[b]?;
                world.suspicions -= 1;
                self.apply(&mut world, a, b, (generation, incarnation, 1));
            }
            Action::DeclareDead(a, b) => {
                let (generation, incarnation, _) = world.members[a].beliefs[b]?;
                self.apply(&mut world, a, b, (generation, incarnation, 3));
            }
            Action::Send(a, b) => self.send(&mut world, a, b),
            Action::Cut(a) => (world.cut, world.cuts) = (Some(a), world.cuts - 1),
            Action::Heal => world.cut = None,
            Action::Stop(a) => (world.stopped, world.stops) = (Some(a), world.stops - 1),
            Action::Resume => world.stopped = None,
            Action::Restart(a) => {
                world.restarts -= 1;
                let generation = world.members[a].generation + 1;
                world.members[a] = Member { generation, incarnation: 0, beliefs: [None; MEMBERS] };
            }
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(HEALS, |model: &ThreeMembers, world: &World| model.healed(world))]
    }
}

const HEALS: &str = "after the faults have ended, every member considers every other one alive";

#[test]
fn from_every_state_all_agree_once_faults_have_ended() {
    let checker = ThreeMembers { refutes: true }.checker().spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 1000);
    checker.assert_properties();
}

#[test]
fn without_incarnations_a_false_death_is_permanent() {
    let checker = ThreeMembers { refutes: false }.checker().spawn_bfs().join();
    assert!(checker.discovery(HEALS).is_some());
}

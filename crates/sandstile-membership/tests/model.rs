//! Every order of a few suspicions, deaths, restarts and words between three members: from each state that can be reached, once the
//! faults have ended and everybody has spoken to everybody, all hold all for there. One may be cut off, one may stand still, one may
//! start again, each once and in any order.
use sandstile_membership::swim::{overrides, refutes};
use sandstile_membership::{Life, Meta, Rumour, State};
use stateright::{Checker, Model, Property};

const N: usize = 3;

type Word = (u64, u32, u8);

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct Member {
    life: u64,
    incarnation: u32,
    /// What it holds of each, itself left out.
    beliefs: [Option<Word>; N],
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct World {
    members: [Member; N],
    suspicions: u8,
    restarts: u8,
    /// Whom a cut parts from the others, and who stands still; each fault comes once.
    cut: Option<usize>,
    stopped: Option<usize>,
    cuts: u8,
    stops: u8,
}

impl World {
    fn hears(&self, from: usize, to: usize) -> bool {
        let parted = self.cut.is_some_and(|c| c == from || c == to);
        !parted && self.stopped != Some(from) && self.stopped != Some(to)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    /// The first holds the second for silent, though it is there.
    Suspect(usize, usize),
    /// Its suspicion runs out.
    Bury(usize, usize),
    /// The first tells the second all that it holds.
    Tell(usize, usize),
    Restart(usize),
    Cut(usize),
    Heal,
    Stop(usize),
    GoOn,
}

struct Three {
    /// A mutant's members do not speak up for themselves.
    refutes: bool,
}

fn rumour(n: usize, (life, incarnation, state): Word) -> Rumour {
    let state = [State::Alive, State::Suspect, State::Left, State::Dead][usize::from(state)];
    let at = std::net::SocketAddr::from(([127, 0, 0, n as u8 + 1], 7400));
    Rumour { of: Life { name: format!("n{n}"), life }, at, incarnation, state, by: 0, meta: Meta::default() }
}

impl Three {
    fn hear(&self, world: &mut World, who: usize, of: usize, word: Word) {
        let me = &mut world.members[who];
        if who == of {
            if let Some(louder) = refutes(&rumour(of, word), me.life, me.incarnation).filter(|_| self.refutes)
            {
                me.incarnation = louder;
            }
            return;
        }
        match me.beliefs[of] {
            None if word.2 < 2 => me.beliefs[of] = Some(word),
            Some(held) if overrides(&rumour(of, word), &rumour(of, held)) => me.beliefs[of] = Some(word),
            _ => {}
        }
    }

    fn tell(&self, world: &mut World, from: usize, to: usize) {
        let teller = world.members[from].clone();
        self.hear(world, to, from, (teller.life, teller.incarnation, 0));
        for (of, word) in teller.beliefs.iter().enumerate() {
            if let Some(word) = word {
                self.hear(world, to, of, *word);
            }
        }
    }

    /// What comes of it once everybody speaks to everybody, again and again.
    fn healed(&self, world: &World) -> bool {
        let mut world = world.clone();
        for _ in 0..6 {
            for from in 0..N {
                for to in (0..N).filter(|to| *to != from) {
                    self.tell(&mut world, from, to);
                }
            }
        }
        (0..N).all(|who| {
            (0..N).filter(|of| *of != who).all(|of| {
                world.members[who].beliefs[of]
                    .is_some_and(|(life, _, state)| state == 0 && life == world.members[of].life)
            })
        })
    }
}

impl Model for Three {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let member = |n: usize| Member {
            life: 1,
            incarnation: 0,
            beliefs: std::array::from_fn(|of| (of != n).then_some((1, 0, 0))),
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

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        for a in 0..N {
            for b in (0..N).filter(|b| *b != a) {
                if world.hears(a, b) {
                    acts.push(Act::Tell(a, b));
                }
                if world.stopped == Some(a) {
                    continue;
                }
                match world.members[a].beliefs[b] {
                    Some((_, _, 0)) if world.suspicions > 0 => acts.push(Act::Suspect(a, b)),
                    Some((_, _, 1)) => acts.push(Act::Bury(a, b)),
                    _ => {}
                }
            }
            if world.restarts > 0 && world.stopped != Some(a) {
                acts.push(Act::Restart(a));
            }
            if world.cuts > 0 {
                acts.push(Act::Cut(a));
            }
            if world.stops > 0 {
                acts.push(Act::Stop(a));
            }
        }
        if world.cut.is_some() {
            acts.push(Act::Heal);
        }
        if world.stopped.is_some() {
            acts.push(Act::GoOn);
        }
    }

    fn next_state(&self, before: &World, act: Act) -> Option<World> {
        let mut world = before.clone();
        match act {
            Act::Suspect(a, b) => {
                let (life, incarnation, _) = world.members[a].beliefs[b]?;
                world.suspicions -= 1;
                self.hear(&mut world, a, b, (life, incarnation, 1));
            }
            Act::Bury(a, b) => {
                let (life, incarnation, _) = world.members[a].beliefs[b]?;
                self.hear(&mut world, a, b, (life, incarnation, 3));
            }
            Act::Tell(a, b) => self.tell(&mut world, a, b),
            Act::Cut(a) => (world.cut, world.cuts) = (Some(a), world.cuts - 1),
            Act::Heal => world.cut = None,
            Act::Stop(a) => (world.stopped, world.stops) = (Some(a), world.stops - 1),
            Act::GoOn => world.stopped = None,
            Act::Restart(a) => {
                world.restarts -= 1;
                let life = world.members[a].life + 1;
                world.members[a] = Member { life, incarnation: 0, beliefs: [None; N] };
            }
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(HEALS, |model: &Three, world: &World| model.healed(world))]
    }
}

const HEALS: &str = "once faults have ended all hold all for there";

#[test]
fn from_every_state_all_agree_once_faults_have_ended() {
    let checker = Three { refutes: true }.checker().spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 1000);
    checker.assert_properties();
}

#[test]
fn without_incarnations_a_false_death_is_for_ever() {
    let checker = Three { refutes: false }.checker().spawn_bfs().join();
    assert!(checker.discovery(HEALS).is_some());
}

//! An exhaustive walk of a small world: three hosts, two routers, one session, a failover, restarts, a token. No
//! reachable state serves an own read from a replica that lacks what the session was told it had written. With
//! the term taken out of the mark the walk finds one that does.
use sandstile_sessions::floor::{ReadContext, RequiredPosition};
use sandstile_sessions::mark::{Mark, Term};
use sandstile_sessions::store::{SessionKey, Store, StoreLimits};
use stateright::{Checker, Model, Property};

const HOSTS: usize = 3;
const ROUTERS: usize = 2;
const KEY: SessionKey = SessionKey(1);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    /// Bits of the writes that it has applied.
    has: u8,
    /// The term that it follows, and how far it says to have come in it.
    term: u8,
    claim: u8,
    alive: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Router {
    /// The term that it holds for the group's, 0 for none.
    term: u8,
    /// What it heard of each host in that term.
    heard: [Option<u8>; HOSTS],
    /// Its memory of the session, as marks (term, position) in order.
    memory: Vec<(u8, u8)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    hosts: Vec<Host>,
    routers: Vec<Router>,
    primary: usize,
    term: u8,
    clock: u8,
    writes: u8,
    /// The write the session was told of last, and the token that it carries.
    told: Option<u8>,
    token: Option<(u8, u8)>,
    /// A replica served an own read without the session's write, which the primary has.
    short: bool,
    served: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Write {
        router: usize,
    },
    /// The host applies all that the primary has, and says how far that is.
    Follow {
        host: usize,
    },
    /// The primary dies and the furthest other leads, with a clock that may be behind.
    Failover,
    /// A router hears of a host: its term, and how far it is.
    Hear {
        router: usize,
        host: usize,
    },
    Restart {
        router: usize,
    },
    Read {
        router: usize,
        carries: bool,
    },
}

struct Walk {
    with_terms: bool,
}

impl Walk {
    fn term(&self, term: u8) -> Term {
        Term(if self.with_terms { u64::from(term) } else { 0 })
    }

    fn mark(&self, (term, position): (u8, u8)) -> Mark {
        Mark { term: self.term(term), position: f64::from(position) }
    }

    /// What the session's read must reach, by the very code that routers use.
    fn required_position(&self, router: &Router, token: Option<(u8, u8)>) -> RequiredPosition {
        let mut store = Store::new(StoreLimits { exact: 4, cells: 16, terms: 1 });
        router.memory.iter().for_each(|m| store.note(KEY, self.mark(*m)));
        let context = ReadContext {
            now: 50.0,
            term: (router.term > 0).then(|| self.term(router.term)),
            horizon: 100.0,
            skew: 10.0,
            complete_since: f64::INFINITY,
            startup_mark: None,
        };
        store.required_position(KEY, token.map(|t| self.mark(t)), &context)
    }

    /// Hosts that a router may send an own read to.
    fn may_serve(&self, world: &World, router: &Router, token: Option<(u8, u8)>) -> Vec<usize> {
        match self.required_position(router, token) {
            RequiredPosition::Unknown(_) => vec![world.primary],
            RequiredPosition::Nothing => (0..HOSTS).collect(),
            RequiredPosition::Known(position) => {
                let come = |h: &usize| router.heard[*h].is_some_and(|claim| f64::from(claim) >= position);
                (0..HOSTS).filter(come).chain([world.primary]).collect()
            }
        }
    }

    /// A router hears a term: what it heard under another is of no use any more.
    fn hear(&self, router: &mut Router, host: usize, term: u8, claim: u8) {
        if term > router.term {
            *router = Router { term, heard: [None; HOSTS], memory: std::mem::take(&mut router.memory) };
        }
        if term == router.term || !self.with_terms {
            router.heard[host] = Some(router.heard[host].unwrap_or(0).max(claim));
        }
    }
}

impl Model for Walk {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let host = Host { has: 0, term: 1, claim: 0, alive: true };
        vec![World {
            hosts: vec![host; HOSTS],
            routers: vec![Router::default(); ROUTERS],
            primary: 0,
            term: 1,
            clock: 2,
            writes: 0,
            told: None,
            token: None,
            short: false,
            served: false,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for router in 0..ROUTERS {
            if world.writes < 2 {
                steps.push(Step::Write { router });
            }
            steps.push(Step::Restart { router });
            steps.extend((0..HOSTS).map(|host| Step::Hear { router, host }));
            steps.push(Step::Read { router, carries: true });
            steps.push(Step::Read { router, carries: false });
        }
        steps.extend((0..HOSTS).map(|host| Step::Follow { host }));
        if world.term < 2 {
            steps.push(Step::Failover);
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Write { router } => {
                let (primary, term) = (world.primary, world.term);
                world.clock += 1;
                world.writes += 1;
                let position = world.clock;
                world.hosts[primary].has |= 1 << world.writes;
                world.hosts[primary].claim = position;
                let r = &mut world.routers[router];
                self.hear(r, primary, term, position);
                r.memory.push((term, position));
                r.memory.sort_unstable();
                world.told = Some(world.writes);
                world.token = Some((term, position));
            }
            Step::Follow { host } => {
                if host == world.primary || !world.hosts[host].alive {
                    return None;
                }
                let of = world.hosts[world.primary].clone();
                // Nothing new since: it still says to be as far as the clock.
                world.hosts[host] = Host { claim: world.clock, ..of };
            }
            Step::Failover => {
                world.hosts[world.primary].alive = false;
                let others = (0..HOSTS).filter(|h| world.hosts[*h].alive);
                let furthest = others.max_by_key(|h| (world.hosts[*h].claim, HOSTS - h))?;
                (world.primary, world.term) = (furthest, world.term + 1);
                // Its clock is behind: positions of the new term begin below those of the old.
                world.clock = 1;
                world.hosts[furthest].term = world.term;
                world.hosts[furthest].claim = world.clock;
                // What only the dead had is lost for all; nobody can be asked to serve it.
                let lost = |w: &u8| world.hosts[furthest].has & (1 << w) == 0;
                world.told = world.told.filter(|w| !lost(w));
            }
            Step::Hear { router, host } => {
                let h = world.hosts[host].clone();
                if !h.alive {
                    return None;
                }
                self.hear(&mut world.routers[router], host, h.term, h.claim);
            }
            Step::Restart { router } => world.routers[router] = Router::default(),
            Step::Read { router, carries } => {
                let token = world.token.filter(|_| carries);
                for host in self.may_serve(&world, &world.routers[router], token) {
                    let h = &world.hosts[host];
                    let lacks = world.told.is_some_and(|w| h.has & (1 << w) == 0);
                    world.short |= h.alive && host != world.primary && lacks;
                    world.served |= h.alive && host != world.primary;
                }
            }
        }
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no own read is short of its mark", |_, world: &World| !world.short),
            // The walk proves nothing if replicas never serve.
            Property::sometimes("a replica serves", |_, world: &World| world.served && world.told.is_some()),
        ]
    }
}

fn walk(with_terms: bool) -> (usize, bool, bool) {
    let checker = Walk { with_terms }.checker().threads(2).target_max_depth(11).spawn_bfs().join();
    let short = checker.discovery("no own read is short of its mark");
    let serves = checker.discovery("a replica serves").is_some();
    if let (Some(path), true) = (&short, with_terms) {
        println!("{path}");
    }
    (checker.unique_state_count(), short.is_some(), serves)
}

#[test]
fn no_reachable_state_serves_a_read_short_of_its_mark() {
    let (states, short, serves) = walk(true);
    println!("{states} states with terms");
    assert!(!short && serves && states > 10_000, "{states} states, short {short}, a replica serves {serves}");
}

#[test]
fn without_the_term_in_the_mark_one_does() {
    let (states, short, _) = walk(false);
    println!("{states} states until it is found");
    assert!(short);
}

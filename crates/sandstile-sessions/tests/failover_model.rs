//! Model check of a small installation: three hosts, two routers, one session, a failover, restarts and a
//! token. No reachable state serves a session's read from a replica that lacks a write acknowledged to that
//! session. If marks carry no term, the check finds such a state.
use sandstile_sessions::mark::{Mark, Term};
use sandstile_sessions::required_position::{ReadContext, RequiredPosition};
use sandstile_sessions::store::{SessionKey, Store, StoreLimits};
use stateright::{Checker, Model, Property};

const HOSTS: usize = 3;
const ROUTERS: usize = 2;
const KEY: SessionKey = SessionKey(1);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    /// Bit set of the writes that the host has applied.
    applied_writes: u8,
    /// The term that the host follows, and the position that it reports within this term.
    term: u8,
    reported_position: u8,
    alive: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Router {
    /// The term that the router takes for the group's current one; 0 if none.
    term: u8,
    /// The position that each host reported within this term.
    reported_positions: [Option<u8>; HOSTS],
    /// The session's marks that the router remembers, as sorted pairs of term and position.
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
    /// The last write that was acknowledged to the session, and the token that it holds.
    acknowledged_write: Option<u8>,
    token: Option<(u8, u8)>,
    /// A replica served a session's read without the session's write, which the primary has.
    missed_own_write: bool,
    replica_served: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Write {
        router: usize,
    },
    /// The host applies all writes of the primary and reports the position.
    Replicate {
        host: usize,
    },
    /// The primary fails and the most advanced replica takes over, with a clock that may be behind.
    Failover,
    /// A router receives a host's report of its term and position.
    ReceiveReport {
        router: usize,
        host: usize,
    },
    Restart {
        router: usize,
    },
    Read {
        router: usize,
        carries_token: bool,
    },
}

struct FailoverModel {
    with_terms: bool,
}

impl FailoverModel {
    fn term(&self, term: u8) -> Term {
        Term(if self.with_terms { u64::from(term) } else { 0 })
    }

    fn mark(&self, (term, position): (u8, u8)) -> Mark {
        Mark { term: self.term(term), position: f64::from(position) }
    }

    /// The position that the session's read must reach, computed by the code that routers use.
    fn required_position(&self, router: &Router, token: Option<(u8, u8)>) -> RequiredPosition {
        let mut store = Store::new(StoreLimits { exact_sessions: 4, sketch_cells: 16, terms: 1 });
        router.memory.iter().for_each(|mark| store.record(KEY, self.mark(*mark)));
        let context = ReadContext {
            now: 50.0,
            term: (router.term > 0).then(|| self.term(router.term)),
            max_replica_lag: 100.0,
            max_clock_skew: 10.0,
            complete_since: f64::INFINITY,
            startup_mark: None,
        };
        store.required_position(KEY, token.map(|token| self.mark(token)), &context)
    }

    /// The hosts that a router may send the session's read to.
    fn may_serve(&self, world: &World, router: &Router, token: Option<(u8, u8)>) -> Vec<usize> {
        match self.required_position(router, token) {
            RequiredPosition::Unknown(_) => vec![world.primary],
            RequiredPosition::Nothing => (0..HOSTS).collect(),
            RequiredPosition::Known(position) => {
                let has_reached = |h: &usize| {
                    router.reported_positions[*h]
                        .is_some_and(|reported_position| f64::from(reported_position) >= position)
                };
                (0..HOSTS).filter(has_reached).chain([world.primary]).collect()
            }
        }
    }

    /// A router that learns of a newer term discards the positions reported under the older one.
    fn receive_report(&self, router: &mut Router, host: usize, term: u8, reported_position: u8) {
        if term > router.term {
            *router = Router {
                term,
                reported_positions: [None; HOSTS],
                memory: std::mem::take(&mut router.memory),
            };
        }
        if term == router.term || !self.with_terms {
            router.reported_positions[host] =
                Some(router.reported_positions[host].unwrap_or(0).max(reported_position));
        }
    }
}

impl Model for FailoverModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let host = Host { applied_writes: 0, term: 1, reported_position: 0, alive: true };
        vec![World {
            hosts: vec![host; HOSTS],
            routers: vec![Router::default(); ROUTERS],
            primary: 0,
            term: 1,
            clock: 2,
            writes: 0,
            acknowledged_write: None,
            token: None,
            missed_own_write: false,
            replica_served: false,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for router in 0..ROUTERS {
            if world.writes < 2 {
                steps.push(Step::Write { router });
            }
            steps.push(Step::Restart { router });
            steps.extend((0..HOSTS).map(|host| Step::ReceiveReport { router, host }));
            steps.push(Step::Read { router, carries_token: true });
            steps.push(Step::Read { router, carries_token: false });
        }
        steps.extend((0..HOSTS).map(|host| Step::Replicate { host }));
        if world.term < 2 {
            steps.push(Step::Failover);
        }
    }

    fn next_state(&self, previous: &World, step: Step) -> Option<World> {
        let mut world = previous.clone();
        match step {
            Step::Write { router } => {
                let (primary, term) = (world.primary, world.term);
                world.clock += 1;
                world.writes += 1;
                let position = world.clock;
                world.hosts[primary].applied_writes |= 1 << world.writes;
                world.hosts[primary].reported_position = position;
                let router_state = &mut world.routers[router];
                self.receive_report(router_state, primary, term, position);
                router_state.memory.push((term, position));
                router_state.memory.sort_unstable();
                world.acknowledged_write = Some(world.writes);
                world.token = Some((term, position));
            }
            Step::Replicate { host } => {
                if host == world.primary || !world.hosts[host].alive {
                    return None;
                }
                let primary_state = world.hosts[world.primary].clone();
                // Without new writes, the host still reports the current time as its position.
                world.hosts[host] = Host { reported_position: world.clock, ..primary_state };
            }
            Step::Failover => {
                world.hosts[world.primary].alive = false;
                let others = (0..HOSTS).filter(|h| world.hosts[*h].alive);
                let furthest = others.max_by_key(|h| (world.hosts[*h].reported_position, HOSTS - h))?;
                (world.primary, world.term) = (furthest, world.term + 1);
                // The new primary's clock is behind, so positions of the new term start below those of the
                // old one.
                world.clock = 1;
                world.hosts[furthest].term = world.term;
                world.hosts[furthest].reported_position = world.clock;
                // Writes that only the failed primary had are lost, so no host can be required to serve them.
                let lost = |write: &u8| world.hosts[furthest].applied_writes & (1 << write) == 0;
                world.acknowledged_write = world.acknowledged_write.filter(|write| !lost(write));
            }
            Step::ReceiveReport { router, host } => {
                let host_state = world.hosts[host].clone();
                if !host_state.alive {
                    return None;
                }
                self.receive_report(
                    &mut world.routers[router],
                    host,
                    host_state.term,
                    host_state.reported_position,
                );
            }
            Step::Restart { router } => world.routers[router] = Router::default(),
            Step::Read { router, carries_token } => {
                let token = world.token.filter(|_| carries_token);
                for host in self.may_serve(&world, &world.routers[router], token) {
                    let host_state = &world.hosts[host];
                    let lacks_write = world
                        .acknowledged_write
                        .is_some_and(|write| host_state.applied_writes & (1 << write) == 0);
                    world.missed_own_write |= host_state.alive && host != world.primary && lacks_write;
                    world.replica_served |= host_state.alive && host != world.primary;
                }
            }
        }
        (world != *previous).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no session's own read is short of its mark", |_, world: &World| {
                !world.missed_own_write
            }),
            // The check proves nothing if replicas never serve a read.
            Property::sometimes("a replica serves", |_, world: &World| {
                world.replica_served && world.acknowledged_write.is_some()
            }),
        ]
    }
}

fn check_model(with_terms: bool) -> (usize, bool, bool) {
    let checker = FailoverModel { with_terms }.checker().threads(2).target_max_depth(11).spawn_bfs().join();
    let missed_own_write = checker.discovery("no session's own read is short of its mark");
    let replica_serves = checker.discovery("a replica serves").is_some();
    if let (Some(path), true) = (&missed_own_write, with_terms) {
        println!("{path}");
    }
    (checker.unique_state_count(), missed_own_write.is_some(), replica_serves)
}

#[test]
fn no_reachable_state_serves_a_read_that_misses_its_own_write() {
    let (states, missed_own_write, replica_serves) = check_model(true);
    println!("{states} states with terms");
    assert!(
        !missed_own_write && replica_serves && states > 10_000,
        "{states} states, short of its mark: {missed_own_write}, a replica serves: {replica_serves}"
    );
}

#[test]
fn without_terms_in_marks_a_stale_read_is_reachable() {
    let (states, missed_own_write, _) = check_model(false);
    println!("a stale read is found after {states} states");
    assert!(missed_own_write);
}

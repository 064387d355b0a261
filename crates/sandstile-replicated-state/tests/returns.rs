//! What a router that returns may believe: every order of a crash, a copy put back, a split and a write between two routers and what
//! their disks hold.
use sandstile_replicated_state::catchup::{assess_trust, CatchUp, StoredCopy, SyncState, Trust, Witness};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

#[test]
fn a_whole_copy_alone_is_not_believed_to_be_all() {
    let whole =
        |generation, version, ended_cleanly| StoredCopy::Intact { generation, version, ended_cleanly };
    let file = |began, put| Witness { file: Some((began, put)), peers: None };
    assert_eq!(assess_trust(StoredCopy::Unreadable, file(5, 9)), Trust::None);
    assert_eq!(assess_trust(whole(5, 9, true), file(5, 9)), Trust::All);
    for (stored, witness) in [
        (whole(5, 9, true), Witness::default()),
        (whole(5, 9, false), file(5, 9)),
        (whole(5, 8, true), file(5, 9)),
        (whole(4, 9, true), file(5, 2)),
        (whole(5, 9, true), Witness { file: Some((5, 9)), peers: Some(6) }),
    ] {
        assert_eq!(assess_trust(stored, witness), Trust::Some, "{stored:?} {witness:?}");
    }
}

fn peers(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|n| n.to_string()).collect()
}

#[test]
fn two_are_asked_and_one_that_dies_is_replaced() {
    let there = peers(&["a", "b", "c", "d", "me"]);
    let mut back = CatchUp::new("me", 7, Trust::Some, 0.0);
    assert!(!back.knows_all());
    back.look(0.0, &there);
    assert_eq!(back.sync_state(), SyncState::CatchingUp);
    let asked: Vec<String> = back.asks().map(str::to_string).collect();
    assert_eq!(asked.len(), 2);
    back.same(0.5, &asked[0]);
    back.look(0.6, &there);
    assert!(!back.knows_all(), "one may have missed what the other heard");
    // The second dies.
    let left: BTreeSet<String> = there.iter().filter(|p| **p != asked[1]).cloned().collect();
    back.look(0.7, &left);
    let third = back.asks().find(|p| !asked.contains(&p.to_string())).expect("another").to_string();
    back.same(1.0, &third);
    back.look(1.0, &left);
    assert!(back.knows_all());
    // Cut off from all it knows all as of then, and no more than that.
    back.look(3.0, &peers(&["me"]));
    assert!(matches!(back.sync_state(), SyncState::InSyncAsOf(at) if at <= 1.0));
    assert!(!back.knows_all());
    back.look(4.0, &there);
    back.look(12.0, &there);
    assert_eq!(back.sync_state(), SyncState::CatchingUp);
}

#[test]
fn with_nobody_left_it_says_so() {
    let mut back = CatchUp::new("me", 7, Trust::None, 0.0);
    back.look(1.0, &peers(&["me"]));
    assert_eq!(back.sync_state(), SyncState::NotStarted);
    back.look(3.5, &peers(&["me"]));
    assert_eq!(back.sync_state(), SyncState::Isolated);
    back.look(4.0, &peers(&["a", "me"]));
    back.same(4.1, "a");
    back.look(4.1, &peers(&["a", "me"]));
    assert!(back.knows_all(), "the one that there is, is enough");
}

/// Most come back at once: each peer is asked by its share of them.
#[test]
fn those_that_return_together_do_not_ask_the_same() {
    let names: Vec<String> = (0..16).map(|n| format!("n{n}")).collect();
    let there: BTreeSet<String> = names.iter().cloned().collect();
    let mut asked = std::collections::BTreeMap::<String, usize>::new();
    for generation in 0..20 {
        for own in &names[..11] {
            let mut back = CatchUp::new(own, generation, Trust::None, 0.0);
            back.look(0.0, &there);
            back.asks().for_each(|peer| *asked.entry(peer.to_string()).or_default() += 1);
        }
    }
    let (all, most) = (asked.values().sum::<usize>(), asked.values().max().copied().unwrap_or(0));
    assert!(most * 16 < all * 2, "{asked:?}");
}

/// One router, its disk, a copy that may be put by and put back, a witness file that is not copied, and peers that met its lives.
/// Numbers count within a life; what the disk holds is the life and number that it was written under.
#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct World {
    up: bool,
    cut: bool,
    /// The last life, and its last number.
    last: (u64, u64),
    disk: (u64, u64, bool),
    copy: Option<(u64, u64, bool)>,
    witness: (u64, u64),
    met: u64,
    /// It took a copy for all that it had put down, and it was not.
    fooled: bool,
    /// It took one for all, rightly.
    believed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    Write,
    End,
    Crash,
    PutBy,
    PutBack,
    Start,
    Cut,
    Heal,
}

#[derive(PartialEq)]
enum Mutant {
    None,
    /// The copy is its own witness.
    NoWitness,
    /// Numbers are compared without their lives.
    NoLives,
}

struct Disk(Mutant);

impl Model for Disk {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        vec![World {
            up: true,
            cut: false,
            last: (1, 0),
            disk: (1, 0, false),
            copy: None,
            witness: (1, 0),
            met: 1,
            fooled: false,
            believed: false,
        }]
    }

    fn actions(&self, w: &World, acts: &mut Vec<Act>) {
        match w.up {
            true => acts.extend([Act::Write, Act::End, Act::Crash]),
            false => acts.extend([Act::Start, Act::PutBack]),
        }
        acts.extend([Act::PutBy, Act::Cut, Act::Heal]);
    }

    fn next_state(&self, before: &World, act: Act) -> Option<World> {
        let mut w = before.clone();
        match act {
            Act::Write if w.last.1 < 2 => {
                w.last.1 += 1;
                (w.disk, w.witness) = ((w.last.0, w.last.1, false), w.last);
            }
            Act::End => (w.up, w.disk.2) = (false, true),
            Act::Crash => w.up = false,
            Act::PutBy => w.copy = Some(w.disk),
            Act::PutBack => w.disk = w.copy?,
            Act::Start if w.last.0 < 4 => {
                let (generation, version, ended_cleanly) = w.disk;
                let file = match self.0 {
                    Mutant::None => w.witness,
                    Mutant::NoWitness => (generation, version),
                    Mutant::NoLives => (generation, w.witness.1),
                };
                let peers = (!w.cut && self.0 == Mutant::None).then_some(w.met);
                let witness = Witness { file: Some(file), peers };
                let all = assess_trust(StoredCopy::Intact { generation, version, ended_cleanly }, witness)
                    == Trust::All;
                w.fooled |= all && (generation, version) != w.last;
                w.believed |= all && (generation, version) == w.last;
                w.last = (w.last.0 + 1, 0);
                // Before anything else the new life is put down, and its witness.
                (w.disk, w.witness, w.up) = ((w.last.0, 0, false), w.last, true);
                if !w.cut {
                    w.met = w.last.0;
                }
            }
            Act::Cut => w.cut = true,
            Act::Heal => (w.cut, w.met) = (false, if w.up { w.last.0 } else { w.met }),
            _ => return None,
        }
        (w != *before).then_some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(HONEST, |_, w: &World| !w.fooled),
            Property::sometimes("a copy that is all is believed", |_, w: &World| w.believed),
        ]
    }
}

const HONEST: &str = "no copy is taken for all that is not all";

#[test]
fn no_order_of_crashes_and_copies_fools_a_router() {
    let checker = Disk(Mutant::None).checker().spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn without_the_witness_or_the_lives_an_old_copy_fools_it() {
    for mutant in [Mutant::NoWitness, Mutant::NoLives] {
        let checker = Disk(mutant).checker().spawn_bfs().join();
        assert!(checker.discovery(HONEST).is_some());
    }
}

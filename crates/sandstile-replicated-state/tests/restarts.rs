//! What a restarted router may trust: model check of every order of crash, restored copy, partition and write for one
//! router, its disk and its peers.
use sandstile_replicated_state::catchup::{assess_trust, CatchUp, StoredCopy, SyncState, Trust, Witness};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

#[test]
fn an_intact_copy_alone_is_not_trusted_as_complete() {
    let intact =
        |generation, version, ended_cleanly| StoredCopy::Intact { generation, version, ended_cleanly };
    let file = |generation, version| Witness { file: Some((generation, version)), peers: None };
    assert_eq!(assess_trust(StoredCopy::Unreadable, file(5, 9)), Trust::None);
    assert_eq!(assess_trust(intact(5, 9, true), file(5, 9)), Trust::All);
    for (stored, witness) in [
        (intact(5, 9, true), Witness::default()),
        (intact(5, 9, false), file(5, 9)),
        (intact(5, 8, true), file(5, 9)),
        (intact(4, 9, true), file(5, 2)),
        (intact(5, 9, true), Witness { file: Some((5, 9)), peers: Some(6) }),
    ] {
        assert_eq!(assess_trust(stored, witness), Trust::Some, "{stored:?} {witness:?}");
    }
}

fn peers(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|n| n.to_string()).collect()
}

#[test]
fn two_peers_are_queried_and_a_dead_one_is_replaced() {
    let live_peers = peers(&["a", "b", "c", "d", "me"]);
    let mut catch_up = CatchUp::new("me", 7, Trust::Some, 0.0);
    assert!(!catch_up.is_complete());
    catch_up.update_peers(0.0, &live_peers);
    assert_eq!(catch_up.sync_state(), SyncState::CatchingUp);
    let queried: Vec<String> = catch_up.queried_peers().map(str::to_string).collect();
    assert_eq!(queried.len(), 2);
    catch_up.comparison_matched(0.5, &queried[0]);
    catch_up.update_peers(0.6, &live_peers);
    assert!(!catch_up.is_complete(), "one peer may have missed what the other received");
    // The second queried peer dies.
    let remaining: BTreeSet<String> = live_peers.iter().filter(|p| **p != queried[1]).cloned().collect();
    catch_up.update_peers(0.7, &remaining);
    let third = catch_up
        .queried_peers()
        .find(|p| !queried.contains(&p.to_string()))
        .expect("a third peer")
        .to_string();
    catch_up.comparison_matched(1.0, &third);
    catch_up.update_peers(1.0, &remaining);
    assert!(catch_up.is_complete());
    // Without reachable peers it is in sync only as of then.
    catch_up.update_peers(3.0, &peers(&["me"]));
    assert!(matches!(catch_up.sync_state(), SyncState::InSyncAsOf(at) if at <= 1.0));
    assert!(!catch_up.is_complete());
    catch_up.update_peers(4.0, &live_peers);
    catch_up.update_peers(12.0, &live_peers);
    assert_eq!(catch_up.sync_state(), SyncState::CatchingUp);
}

#[test]
fn without_peers_it_reports_isolated() {
    let mut catch_up = CatchUp::new("me", 7, Trust::None, 0.0);
    catch_up.update_peers(1.0, &peers(&["me"]));
    assert_eq!(catch_up.sync_state(), SyncState::NotStarted);
    catch_up.update_peers(3.5, &peers(&["me"]));
    assert_eq!(catch_up.sync_state(), SyncState::Isolated);
    catch_up.update_peers(4.0, &peers(&["a", "me"]));
    catch_up.comparison_matched(4.1, "a");
    catch_up.update_peers(4.1, &peers(&["a", "me"]));
    assert!(catch_up.is_complete(), "the only peer is enough");
}

/// Most routers restart at once: the queries are spread evenly over the peers.
#[test]
fn routers_restarted_together_spread_over_their_peers() {
    let names: Vec<String> = (0..16).map(|n| format!("n{n}")).collect();
    let live_peers: BTreeSet<String> = names.iter().cloned().collect();
    let mut queried = std::collections::BTreeMap::<String, usize>::new();
    for generation in 0..20 {
        for own in &names[..11] {
            let mut catch_up = CatchUp::new(own, generation, Trust::None, 0.0);
            catch_up.update_peers(0.0, &live_peers);
            catch_up.queried_peers().for_each(|peer| *queried.entry(peer.to_string()).or_default() += 1);
        }
    }
    let (total, maximum) = (queried.values().sum::<usize>(), queried.values().max().copied().unwrap_or(0));
    assert!(maximum * 16 < total * 2, "{queried:?}");
}

/// One router, its disk, a backup of the copy that may be restored, a witness file that is not backed up, and peers
/// that met its generations. Versions count within a generation; the disk holds the generation and version that it
/// was written with.
#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct RouterState {
    running: bool,
    partitioned: bool,
    /// The latest generation and its latest version.
    latest: (u64, u64),
    disk: (u64, u64, bool),
    backup: Option<(u64, u64, bool)>,
    witness: (u64, u64),
    highest_met: u64,
    /// It trusted a copy as complete that was not.
    trusted_wrongly: bool,
    /// It trusted a copy as complete that was.
    trusted_rightly: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Write,
    End,
    Crash,
    Backup,
    Restore,
    Start,
    Partition,
    Heal,
}

#[derive(PartialEq)]
enum Mutant {
    None,
    /// The copy serves as its own witness.
    NoWitness,
    /// Versions are compared without their generations.
    IgnoresGenerations,
}

struct DiskModel(Mutant);

impl Model for DiskModel {
    type State = RouterState;
    type Action = Step;

    fn init_states(&self) -> Vec<RouterState> {
        vec![RouterState {
            running: true,
            partitioned: false,
            latest: (1, 0),
            disk: (1, 0, false),
            backup: None,
            witness: (1, 0),
            highest_met: 1,
            trusted_wrongly: false,
            trusted_rightly: false,
        }]
    }

    fn actions(&self, state: &RouterState, steps: &mut Vec<Step>) {
        match state.running {
            true => steps.extend([Step::Write, Step::End, Step::Crash]),
            false => steps.extend([Step::Start, Step::Restore]),
        }
        steps.extend([Step::Backup, Step::Partition, Step::Heal]);
    }

    fn next_state(&self, before: &RouterState, step: Step) -> Option<RouterState> {
        let mut state = before.clone();
        match step {
            Step::Write if state.latest.1 < 2 => {
                state.latest.1 += 1;
                (state.disk, state.witness) = ((state.latest.0, state.latest.1, false), state.latest);
            }
            Step::End => (state.running, state.disk.2) = (false, true),
            Step::Crash => state.running = false,
            Step::Backup => state.backup = Some(state.disk),
            Step::Restore => state.disk = state.backup?,
            Step::Start if state.latest.0 < 4 => {
                let (generation, version, ended_cleanly) = state.disk;
                let file = match self.0 {
                    Mutant::None => state.witness,
                    Mutant::NoWitness => (generation, version),
                    Mutant::IgnoresGenerations => (generation, state.witness.1),
                };
                let peers = (!state.partitioned && self.0 == Mutant::None).then_some(state.highest_met);
                let witness = Witness { file: Some(file), peers };
                let complete =
                    assess_trust(StoredCopy::Intact { generation, version, ended_cleanly }, witness)
                        == Trust::All;
                state.trusted_wrongly |= complete && (generation, version) != state.latest;
                state.trusted_rightly |= complete && (generation, version) == state.latest;
                state.latest = (state.latest.0 + 1, 0);
                // A start first records the new generation and its witness.
                (state.disk, state.witness, state.running) = ((state.latest.0, 0, false), state.latest, true);
                if !state.partitioned {
                    state.highest_met = state.latest.0;
                }
            }
            Step::Partition => state.partitioned = true,
            Step::Heal => {
                (state.partitioned, state.highest_met) =
                    (false, if state.running { state.latest.0 } else { state.highest_met })
            }
            _ => return None,
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_INCOMPLETE_COPY_TRUSTED, |_, state: &RouterState| !state.trusted_wrongly),
            Property::sometimes("a complete copy is trusted", |_, state: &RouterState| state.trusted_rightly),
        ]
    }
}

const NO_INCOMPLETE_COPY_TRUSTED: &str = "no incomplete copy is trusted as complete";

#[test]
fn no_order_of_crashes_and_restores_makes_an_outdated_copy_trusted() {
    let checker = DiskModel(Mutant::None).checker().spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn without_witness_or_generations_an_outdated_copy_is_trusted() {
    for mutant in [Mutant::NoWitness, Mutant::IgnoresGenerations] {
        let checker = DiskModel(mutant).checker().spawn_bfs().join();
        assert!(checker.discovery(NO_INCOMPLETE_COPY_TRUSTED).is_some());
    }
}

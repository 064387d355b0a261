//! Upstream connections and pools under every order of dials, writes, answers, cancellations, failures and
//! deadlines: each task ends once, and a task whose message was written completely is never reported as one
//! that did not run.
use oorandom::Rand64;
use sandstile_connections::budget::Budget;
use sandstile_connections::outcome::Ending;
use sandstile_connections::pool::{Lookup, NextUse, Placement, Pool};
use sandstile_connections::task::{HostTask, StatementPayload, TaskKind};
use sandstile_connections::upstream_connection::{Event, UpstreamConnection};
use sandstile_pgwire as pg;
use sandstile_policy::terms::OutcomeClass;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

struct FixedQuery;

impl StatementPayload for FixedQuery {
    fn message(&self, timeout: f64) -> Vec<u8> {
        assert!(timeout > 0.0);
        let mut out = Vec::new();
        pg::query(&mut out, &[b'x'; 40]);
        out
    }
}

fn task(statement_id: u64, deadline: f64) -> HostTask {
    HostTask {
        kind: TaskKind::Statement { statement_id, execution: 0, payload: Arc::new(FixedQuery) },
        deadline,
    }
}

fn startup_response() -> Vec<u8> {
    let mut out = Vec::new();
    pg::startup_response(&mut out);
    out
}

fn answer(value: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    pg::row(&mut out, value);
    pg::parameter(&mut out, "mode", "read-only");
    pg::parameter(&mut out, "wal_time", "1700000000123");
    pg::ready(&mut out);
    out
}

/// The dial timeout, and for how long an answer that has begun may pause.
const MAX_PAUSE_S: f64 = 0.25;

fn budget() -> Budget {
    Budget::new(64, 32, 32 * pg::MAX_FRAME_BYTES)
}

/// A connection that is ready at `now`.
fn ready_connection(now: f64, budget: &mut Budget) -> UpstreamConnection {
    let mut connection = UpstreamConnection::new(now + MAX_PAUSE_S, MAX_PAUSE_S);
    connection.dial_started();
    connection.connected();
    connection.wrote(connection.pending_output().len());
    assert!(matches!(connection.receive(now, &startup_response(), budget), Some(Event::Ready)));
    connection
}

#[test]
fn an_answer_does_not_depend_on_how_its_bytes_are_split() {
    let long = vec![7; 200_000];
    for value in [&b"value"[..], b"", &long] {
        let response = answer(value);
        let steps: &[usize] = if value.len() > 1000 {
            &[1000, 65_536, usize::MAX / 2]
        } else {
            &[1, 2, 3, 7, 50, usize::MAX / 2]
        };
        for step in steps {
            let (mut budget, now) = (budget(), 100.0);
            let mut connection = ready_connection(now, &mut budget);
            assert!(connection.begin(now, task(1, now + 1.0)).is_none());
            connection.wrote(connection.pending_output().len());
            let (mut position, mut done) = (0, None);
            while position < response.len() {
                assert!(done.is_none());
                let end = position.saturating_add(*step).min(response.len());
                done = connection.receive(now, &response[position..end], &mut budget);
                position = end;
            }
            let Some(Event::Done { outcome, reusable: true, .. }) = done else { panic!("{done:?}") };
            assert_eq!((outcome.ending, outcome.host_report.primary), (Ending::Completed, Some(false)));
            assert_eq!(outcome.host_report.position, Some(1_700_000_000.123));
            assert!(outcome.rows.windows(value.len().max(1)).any(|w| w == value) || value.is_empty());
            assert_eq!(budget.usage(), (0, 0, 0));
        }
    }
}

/// Guards against answers that many hosts begin and don't finish, and that no budget counts.
#[test]
fn an_answer_is_counted_while_it_arrives() {
    let (mut budget, now) = (budget(), 100.0);
    let response = answer(&[7; 60_000]);
    let mut connection = ready_connection(now, &mut budget);
    assert!(connection.begin(now, task(1, now + 1.0)).is_none());
    connection.wrote(connection.pending_output().len());
    assert!(connection.receive(now, &response[..30_000], &mut budget).is_none());
    assert!(budget.usage().2 >= 2 * 30_000, "{:?}", budget.usage());
    connection.release(&mut budget);
    assert_eq!(budget.usage(), (0, 0, 0));
}

/// Random orders of everything that can happen to an upstream connection with a task.
#[test]
fn a_task_ends_once_and_may_have_run_if_it_was_written_completely() {
    let mut seen_endings = BTreeSet::new();
    for seed in 0..20_000 {
        let mut rng = Rand64::new(seed);
        let mut random_below = |n: u64| rng.rand_range(0..n);
        let (mut budget, mut now) = (budget(), 100.0);
        let mut connection = UpstreamConnection::new(now + MAX_PAUSE_S, MAX_PAUSE_S);
        let mut response = startup_response();
        if random_below(12) == 0 {
            response.clear();
            pg::error(&mut response, true, ["53300", "XX000"][random_below(2) as usize], "no", None);
        }
        let (mut position, mut statement_id, mut open_statement, mut written_completely, mut ended) =
            (0, 0, None, false, false);
        for _ in 0..80 {
            let event = match random_below(14) {
                0 => {
                    connection.dial_started();
                    None
                }
                1 => {
                    connection.connected();
                    None
                }
                2 if random_below(8) == 0 => connection.failed(Ending::DialRefused),
                3 | 4 if !connection.pending_output().is_empty() => {
                    let all = connection.pending_output().len() as u64;
                    connection.wrote(1 + random_below(all + all / 2).min(all - 1) as usize);
                    written_completely = open_statement.is_some() && connection.pending_output().is_empty();
                    None
                }
                5..=8 if connection.wanted_bytes() > 0 && position < response.len() => {
                    let end = (position + 1 + random_below(60) as usize)
                        .min(response.len())
                        .min(position + connection.wanted_bytes());
                    let event = connection.receive(now, &response[position..end], &mut budget);
                    position = end;
                    event
                }
                9 if random_below(6) == 0 => connection.closed(&mut budget),
                10 => {
                    now += random_below(200) as f64 / 1000.0;
                    connection.handle_deadline(now, &mut budget)
                }
                11 if open_statement.is_some() && random_below(5) == 0 => {
                    connection.withdraw((statement_id, 0), &mut budget)
                }
                12 if open_statement.is_none() && connection.idle() => {
                    statement_id += 1;
                    (open_statement, written_completely, position) = (Some(statement_id), false, 0);
                    response = answer(b"value");
                    match random_below(8) {
                        0 => response = b"no frame at all".to_vec(),
                        1 => response.extend_from_slice(b"more"),
                        2 => {
                            response.clear();
                            pg::error(&mut response, false, "72000", "behind", None);
                            pg::ready(&mut response);
                        }
                        _ => {}
                    }
                    connection.begin(now, task(statement_id, now + random_below(600) as f64 / 1000.0))
                }
                13 => connection.withdraw((statement_id + 1, 0), &mut budget),
                _ => None,
            };
            let Some(event) = event else { continue };
            assert!(!ended, "seed {seed}: {event:?} after it ended");
            match event {
                Event::Ready => assert!(connection.idle()),
                Event::Failed(ending) => {
                    assert!(
                        open_statement.is_none()
                            && matches!(
                                ending.outcome_class(),
                                OutcomeClass::ConnectFailed | OutcomeClass::NotSent | OutcomeClass::Full
                            )
                    );
                    ended = true;
                    seen_endings.insert(ending);
                }
                Event::IdleClosed(ending) => {
                    assert!(open_statement.is_none() && ending == Ending::IdleEnded);
                    ended = true;
                }
                Event::Done { task, outcome, reusable } => {
                    assert_eq!(
                        open_statement.take(),
                        task.execution_id().map(|(statement_id, _)| statement_id),
                        "seed {seed}"
                    );
                    seen_endings.insert(outcome.ending);
                    let never_ran = [Ending::WithdrawnUnsent, Ending::BrokenUnwritten];
                    assert_eq!(
                        never_ran.contains(&outcome.ending),
                        !written_completely,
                        "seed {seed}: {outcome:?}"
                    );
                    assert_eq!(reusable, connection.idle());
                    let rows = outcome.rows.windows(5).any(|w| w == b"value");
                    assert!(
                        rows || outcome.ending != Ending::Completed,
                        "a completed answer contains the value of the host"
                    );
                    ended = !reusable;
                }
            }
        }
        connection.release(&mut budget);
        assert_eq!(budget.usage(), (0, 0, 0), "seed {seed}");
    }
    use Ending::*;
    let all = [
        Completed,
        Missed,
        NoRoom,
        DialRefused,
        DialTimedOut,
        DialBroken,
        DialTurnedAway,
        WithdrawnUnsent,
        BrokenUnwritten,
        Broken,
        Crossed,
        CutShort,
        Garbled,
        TimedOut,
        Withdrawn,
    ];
    assert!(all.iter().all(|ending| seen_endings.contains(ending)), "{seen_endings:?}");
}

/// A pool whose connections come up, fail and take time, while tasks arrive and are cancelled and the host
/// changes its address.
#[test]
fn every_task_of_a_pool_ends_once_and_none_waits_without_a_dial() {
    let addresses: [SocketAddr; 2] =
        ["127.0.0.1:1".parse().expect("first address"), "127.0.0.1:2".parse().expect("second address")];
    for seed in 0..4_000 {
        let mut rng = Rand64::new(seed);
        let mut random_below = |n: u64| rng.rand_range(0..n) as usize;
        let (mut pool, mut next_connection, mut last_statement_id, now) = (Pool::default(), 0, 0, 100.0);
        let (mut open_statements, mut dials, mut idle) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
        let mut busy: BTreeMap<usize, u64> = BTreeMap::new();
        let end_task = |task: HostTask, open_statements: &mut BTreeSet<u64>| {
            let (statement_id, _) = task.execution_id().expect("a statement");
            assert!(open_statements.remove(&statement_id), "seed {seed}: {statement_id} ended twice");
        };
        let statement_of = |task: &HostTask| task.execution_id().expect("a statement").0;
        let pick_from =
            |candidates: Vec<usize>, n: usize| candidates.get(n % candidates.len().max(1)).copied();
        for _ in 0..120 {
            let n = random_below(1000);
            match random_below(9) {
                0 => {
                    let former_connections = pool.set_address(addresses[random_below(2)]);
                    for connection in former_connections.into_iter().flatten() {
                        assert!(idle.remove(&connection));
                    }
                }
                1..=3 => {
                    last_statement_id += 1;
                    open_statements.insert(last_statement_id);
                    let mut to_place = Some(task(last_statement_id, now + 1.0));
                    while let Some(task) = to_place.take() {
                        match pool.begin(task) {
                            Placement::Assign(connection, task) if random_below(6) == 0 => {
                                // The idle connection had already been closed by the host.
                                assert!(idle.remove(&connection));
                                pool.remove_stale(connection);
                                to_place = Some(task);
                            }
                            Placement::Assign(connection, task) => {
                                assert!(
                                    idle.remove(&connection)
                                        && busy.insert(connection, statement_of(&task)).is_none()
                                );
                            }
                            Placement::Dial(_) => {
                                next_connection += 1;
                                pool.dial_started(next_connection);
                                dials.insert(next_connection);
                            }
                            Placement::End(task, ending) => {
                                assert_eq!(ending, Ending::NoAddress);
                                end_task(task, &mut open_statements);
                            }
                        }
                    }
                }
                4 | 5 => {
                    let Some(connection) = pick_from(dials.iter().copied().collect(), n) else { continue };
                    dials.remove(&connection);
                    let free = if random_below(4) == 0 {
                        NextUse::Moved
                    } else {
                        pool.dial_succeeded(connection, now)
                    };
                    match free {
                        NextUse::Idle => assert!(idle.insert(connection)),
                        NextUse::Moved => pool
                            .dial_failed(connection)
                            .into_iter()
                            .for_each(|task| end_task(task, &mut open_statements)),
                    }
                }
                6 | 7 => {
                    let Some(connection) = pick_from(busy.keys().copied().collect(), n) else { continue };
                    let statement_id = busy.remove(&connection).expect("the connection is busy");
                    assert!(open_statements.remove(&statement_id), "seed {seed}: {statement_id} ended twice");
                    match pool.task_done(connection, random_below(4) > 0, now) {
                        NextUse::Idle => assert!(idle.insert(connection)),
                        NextUse::Moved => {}
                    }
                }
                8 if n % 4 == 0 => {
                    let removed = pool.remove_waiting(|task| statement_of(task) % 3 > 0);
                    removed.into_iter().for_each(|task| end_task(task, &mut open_statements));
                }
                _ => {
                    let Some(statement_id) =
                        pick_from(open_statements.iter().map(|s| *s as usize).collect(), n)
                    else {
                        continue;
                    };
                    match pool.find((statement_id as u64, 0)) {
                        Lookup::Waiting(task) => end_task(task, &mut open_statements),
                        Lookup::Running(connection) => {
                            assert_eq!(busy.remove(&connection), Some(statement_id as u64));
                            open_statements.remove(&(statement_id as u64));
                            assert!(matches!(pool.task_done(connection, false, now), NextUse::Moved));
                        }
                        Lookup::NotFound => panic!("seed {seed}: {statement_id} is open but was not found"),
                    }
                }
            }
            // The caller checks each task that can begin: some are outdated, the others are placed anew.
            while let Some(task) = pool.take_startable() {
                if random_below(5) == 0 {
                    end_task(task, &mut open_statements);
                    continue;
                }
                match pool.begin(task) {
                    Placement::Assign(connection, task) => {
                        assert!(idle.remove(&connection));
                        assert!(busy.insert(connection, statement_of(&task)).is_none());
                    }
                    other => panic!("seed {seed}: no connection was free: {other:?}"),
                }
            }
            assert!(pool.waiting() <= dials.len(), "seed {seed}: a task waits without a dial");
            assert!(
                pool.waiting() == 0 || idle.is_empty(),
                "seed {seed}: a task waits beside an idle connection"
            );
            assert_eq!(open_statements.len(), pool.waiting() + busy.len(), "seed {seed}");
            let connections: BTreeSet<usize> = pool.connections().collect();
            let expected: BTreeSet<usize> = idle.iter().chain(&dials).chain(busy.keys()).copied().collect();
            assert_eq!(connections, expected, "seed {seed}");
        }
    }
}

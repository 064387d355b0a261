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

struct Words;

impl StatementPayload for Words {
    fn message(&self, wait: f64) -> Vec<u8> {
        assert!(wait > 0.0);
        let mut out = Vec::new();
        pg::query(&mut out, &[b'x'; 40]);
        out
    }
}

fn task(statement_id: u64, deadline: f64) -> HostTask {
    HostTask { kind: TaskKind::Statement { statement_id, execution: 0, payload: Arc::new(Words) }, deadline }
}

fn greeting() -> Vec<u8> {
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

const PAUSE: f64 = 0.25;

fn budget() -> Budget {
    Budget::new(64, 32, 32 * pg::MAX_FRAME_BYTES)
}

/// A connection that is ready at `now`.
fn up(now: f64, budget: &mut Budget) -> UpstreamConnection {
    let mut link = UpstreamConnection::new(now + PAUSE, PAUSE);
    link.dialled();
    link.connected();
    link.wrote(link.pending_output().len());
    assert!(matches!(link.receive(now, &greeting(), budget), Some(Event::Ready)));
    link
}

#[test]
fn an_answer_is_the_same_however_it_is_cut() {
    let long = vec![7; 200_000];
    for value in [&b"value"[..], b"", &long] {
        let words = answer(value);
        let steps: &[usize] = if value.len() > 1000 {
            &[1000, 65_536, usize::MAX / 2]
        } else {
            &[1, 2, 3, 7, 50, usize::MAX / 2]
        };
        for step in steps {
            let (mut budget, now) = (budget(), 100.0);
            let mut link = up(now, &mut budget);
            assert!(link.begin(now, task(1, now + 1.0)).is_none());
            link.wrote(link.pending_output().len());
            let (mut at, mut done) = (0, None);
            while at < words.len() {
                assert!(done.is_none());
                let to = at.saturating_add(*step).min(words.len());
                done = link.receive(now, &words[at..to], &mut budget);
                at = to;
            }
            let Some(Event::Done { outcome, reusable: true, .. }) = done else { panic!("{done:?}") };
            assert_eq!((outcome.ending, outcome.note.primary), (Ending::Completed, Some(false)));
            assert_eq!(outcome.note.position, Some(1_700_000_000.123));
            assert!(outcome.rows.windows(value.len().max(1)).any(|w| w == value) || value.is_empty());
            assert_eq!(budget.held(), (0, 0, 0));
        }
    }
}

/// Random orders of everything that can happen to an upstream connection with a task.
#[test]
fn one_job_has_one_ending_and_what_was_written_whole_may_have_run() {
    let mut seen = BTreeSet::new();
    for seed in 0..20_000 {
        let mut chance = Rand64::new(seed);
        let mut below = |n: u64| chance.rand_range(0..n);
        let (mut budget, mut now) = (budget(), 100.0);
        let mut link = UpstreamConnection::new(now + PAUSE, PAUSE);
        let mut words = greeting();
        if below(12) == 0 {
            words.clear();
            pg::error(&mut words, true, ["53300", "XX000"][below(2) as usize], "no", None);
        }
        let (mut at, mut statement_id, mut out, mut whole, mut ended) = (0, 0, None, false, false);
        for _ in 0..80 {
            let event = match below(14) {
                0 => {
                    link.dialled();
                    None
                }
                1 => {
                    link.connected();
                    None
                }
                2 if below(8) == 0 => link.failed(Ending::DialRefused),
                3 | 4 if !link.pending_output().is_empty() => {
                    let all = link.pending_output().len() as u64;
                    link.wrote(1 + below(all + all / 2).min(all - 1) as usize);
                    whole = out.is_some() && link.pending_output().is_empty();
                    None
                }
                5..=8 if link.wanted_bytes() > 0 && at < words.len() => {
                    let to = (at + 1 + below(60) as usize).min(words.len()).min(at + link.wanted_bytes());
                    let event = link.receive(now, &words[at..to], &mut budget);
                    at = to;
                    event
                }
                9 if below(6) == 0 => link.closed(&mut budget),
                10 => {
                    now += below(200) as f64 / 1000.0;
                    link.handle_deadline(now, &mut budget)
                }
                11 if out.is_some() && below(5) == 0 => link.withdraw((statement_id, 0), &mut budget),
                12 if out.is_none() && link.idle() => {
                    statement_id += 1;
                    (out, whole, at) = (Some(statement_id), false, 0);
                    words = answer(b"value");
                    match below(8) {
                        0 => words = b"no frame at all".to_vec(),
                        1 => words.extend_from_slice(b"more"),
                        2 => {
                            words.clear();
                            pg::error(&mut words, false, "72000", "behind", None);
                            pg::ready(&mut words);
                        }
                        _ => {}
                    }
                    link.begin(now, task(statement_id, now + below(600) as f64 / 1000.0))
                }
                13 => link.withdraw((statement_id + 1, 0), &mut budget),
                _ => None,
            };
            let Some(event) = event else { continue };
            assert!(!ended, "seed {seed}: {event:?} after its end");
            match event {
                Event::Ready => assert!(link.idle()),
                Event::Failed(ending) => {
                    assert!(
                        out.is_none()
                            && matches!(
                                ending.verdict(),
                                OutcomeClass::ConnectFailed | OutcomeClass::NotSent | OutcomeClass::Full
                            )
                    );
                    ended = true;
                    seen.insert(ending);
                }
                Event::IdleClosed(ending) => {
                    assert!(out.is_none() && ending == Ending::IdleEnded);
                    ended = true;
                }
                Event::Done { task, outcome, reusable } => {
                    assert_eq!(
                        out.take(),
                        task.execution_id().map(|(statement_id, _)| statement_id),
                        "seed {seed}"
                    );
                    seen.insert(outcome.ending);
                    let never = [Ending::WithdrawnUnsent, Ending::BrokenUnwritten];
                    assert_eq!(never.contains(&outcome.ending), !whole, "seed {seed}: {outcome:?}");
                    assert_eq!(reusable, link.idle());
                    let rows = outcome.rows.windows(5).any(|w| w == b"value");
                    assert!(rows || outcome.ending != Ending::Completed, "a value is never made up");
                    ended = !reusable;
                }
            }
        }
        link.release(&mut budget);
        assert_eq!(budget.held(), (0, 0, 0), "seed {seed}");
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
    assert!(all.iter().all(|ending| seen.contains(ending)), "{seen:?}");
}

/// A pool whose connections come up, fail and take time, while tasks arrive and are cancelled and the host
/// changes its address.
#[test]
fn every_job_of_a_pool_ends_once_and_none_waits_without_a_dial() {
    let addresses: [SocketAddr; 2] =
        ["127.0.0.1:1".parse().expect("one"), "127.0.0.1:2".parse().expect("two")];
    for seed in 0..4_000 {
        let mut chance = Rand64::new(seed);
        let mut below = |n: u64| chance.rand_range(0..n) as usize;
        let (mut pool, mut next, mut stmts, now) = (Pool::default(), 0, 0, 100.0);
        let (mut open, mut dials, mut idle) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
        let mut busy: BTreeMap<usize, u64> = BTreeMap::new();
        let over = |task: HostTask, open: &mut BTreeSet<u64>| {
            let (statement_id, _) = task.execution_id().expect("a statement");
            assert!(open.remove(&statement_id), "seed {seed}: {statement_id} ended twice");
        };
        let has = |task: &HostTask| task.execution_id().expect("a statement").0;
        let pick = |of: Vec<usize>, n: usize| of.get(n % of.len().max(1)).copied();
        for _ in 0..120 {
            let n = below(1000);
            match below(9) {
                0 => {
                    let gone = pool.set_address(addresses[below(2)]);
                    for link in gone.into_iter().flatten() {
                        assert!(idle.remove(&link));
                    }
                }
                1..=3 => {
                    stmts += 1;
                    open.insert(stmts);
                    let mut wanted = Some(task(stmts, now + 1.0));
                    while let Some(task) = wanted.take() {
                        match pool.begin(task) {
                            Placement::Assign(link, task) if below(6) == 0 => {
                                // The idle connection had already been closed by the host.
                                assert!(idle.remove(&link));
                                pool.remove_stale(link);
                                wanted = Some(task);
                            }
                            Placement::Assign(link, task) => {
                                assert!(idle.remove(&link) && busy.insert(link, has(&task)).is_none());
                            }
                            Placement::Dial(_) => {
                                next += 1;
                                pool.dialled(next);
                                dials.insert(next);
                            }
                            Placement::End(task, ending) => {
                                assert_eq!(ending, Ending::NoAddress);
                                over(task, &mut open);
                            }
                        }
                    }
                }
                4 | 5 => {
                    let Some(link) = pick(dials.iter().copied().collect(), n) else { continue };
                    dials.remove(&link);
                    let free = if below(4) == 0 { NextUse::Moved } else { pool.dial_succeeded(link, now) };
                    match free {
                        NextUse::Assign(task) => assert!(busy.insert(link, has(&task)).is_none()),
                        NextUse::Idle => assert!(idle.insert(link)),
                        NextUse::Moved => {
                            pool.dial_failed(link).into_iter().for_each(|task| over(task, &mut open))
                        }
                    }
                }
                6 | 7 => {
                    let Some(link) = pick(busy.keys().copied().collect(), n) else { continue };
                    let statement_id = busy.remove(&link).expect("picked");
                    assert!(open.remove(&statement_id), "seed {seed}: {statement_id} ended twice");
                    match pool.task_done(link, below(4) > 0, now) {
                        NextUse::Assign(task) => assert!(busy.insert(link, has(&task)).is_none()),
                        NextUse::Idle => assert!(idle.insert(link)),
                        NextUse::Moved => {}
                    }
                }
                _ => {
                    let Some(statement_id) = pick(open.iter().map(|s| *s as usize).collect(), n) else {
                        continue;
                    };
                    match pool.find((statement_id as u64, 0)) {
                        Lookup::Waiting(task) => over(task, &mut open),
                        Lookup::Running(link) => {
                            assert_eq!(busy.remove(&link), Some(statement_id as u64));
                            open.remove(&(statement_id as u64));
                            assert!(matches!(pool.task_done(link, false, now), NextUse::Moved));
                        }
                        Lookup::NotFound => panic!("seed {seed}: {statement_id} is out and nowhere"),
                    }
                }
            }
            assert!(pool.waiting() <= dials.len(), "seed {seed}: a job that waits for nothing");
            assert_eq!(open.len(), pool.waiting() + busy.len(), "seed {seed}");
            let connections: BTreeSet<usize> = pool.connections().collect();
            let ours: BTreeSet<usize> = idle.iter().chain(&dials).chain(busy.keys()).copied().collect();
            assert_eq!(connections, ours, "seed {seed}");
        }
    }
}

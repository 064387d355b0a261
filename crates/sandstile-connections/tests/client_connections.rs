//! Client connections under every split of the bytes and any timing: each submitted statement gets one answer
//! or is abandoned with its client, and all reserved memory is returned.
use oorandom::Rand64;
use sandstile_connections::budget::{Budget, Holder};
use sandstile_connections::client_connection::{
    ClientAction, ClientConnection, ClientContext, ClientEvent, ANSWER_GRACE_S, IDLE_TIMEOUT_S,
};
use sandstile_connections::statement::Workload;
use sandstile_connections::task::Answer;
use sandstile_pgwire as pg;

fn workloads() -> Vec<Workload> {
    vec![Workload { name: "look".to_string(), sessions: false, writes: false }]
}

fn statement(id: usize) -> Vec<u8> {
    let mut out = Vec::new();
    pg::query(&mut out, format!("/* id=s{id},c=look,d=500,cluster=3 */ SELECT 'k'").as_bytes());
    out
}

/// A client connection with everything it depends on.
struct Harness {
    connection: ClientConnection,
    budget: Budget,
    workloads: Vec<Workload>,
    client_events: Vec<ClientEvent>,
    now: f64,
}

impl Harness {
    fn new() -> Harness {
        let now = 1_700_000_000.0;
        Harness {
            connection: ClientConnection::new(now),
            budget: Budget::new(16, 8, 8 * pg::MAX_FRAME_BYTES),
            workloads: workloads(),
            client_events: Vec::new(),
            now,
        }
    }

    fn advance(&mut self) -> Option<ClientAction> {
        let mut client_context = ClientContext {
            budget: &mut self.budget,
            workloads: &self.workloads,
            client_events: &mut self.client_events,
        };
        self.connection.advance(self.now, &mut client_context)
    }

    /// Writes all pending output and advances the connection until it returns an action or waits.
    fn run_until_action(&mut self, written: &mut Vec<u8>) -> Option<ClientAction> {
        loop {
            if let Some(action) = self.advance() {
                return Some(action);
            }
            let out = self.connection.pending_output().to_vec();
            if out.is_empty() {
                return None;
            }
            written.extend_from_slice(&out);
            self.connection.wrote(out.len());
        }
    }

    fn receive(&mut self, bytes: &[u8], written: &mut Vec<u8>) -> Option<ClientAction> {
        self.connection.receive(self.now, bytes);
        self.run_until_action(written)
    }
}

/// The tags of the frames in the output, and the SQLSTATEs of its errors.
fn decode_frames(mut written: &[u8]) -> (String, Vec<String>) {
    let (mut tags, mut codes) = (String::new(), Vec::new());
    while let Some((tag, body)) = pg::frame(written).expect("valid frames") {
        tags.push(tag as char);
        if tag == b'E' {
            codes.push(pg::sqlstate(&written[body.clone()]).expect("an SQLSTATE code").to_string());
        }
        written = &written[body.end..];
    }
    assert!(written.is_empty(), "an incomplete frame");
    (tags, codes)
}

/// Every split of a conversation leads to the same statements and the same output.
#[test]
fn a_conversation_does_not_depend_on_how_its_bytes_are_split() {
    let mut conversation = pg::startup_message();
    conversation.extend_from_slice(&statement(0));
    pg::query(&mut conversation, b" ; ");
    conversation.extend_from_slice(&statement(1));
    conversation.extend_from_slice(&statement(2));
    let play = |next_length: &mut dyn FnMut() -> usize| {
        let (mut harness, mut written, mut ids, mut position) = (Harness::new(), Vec::new(), Vec::new(), 0);
        while position < conversation.len() {
            let end = (position + next_length().max(1)).min(conversation.len());
            let mut action = harness.receive(&conversation[position..end], &mut written);
            while let Some(ClientAction::Submit { statement, deadline }) = action {
                assert!(deadline > harness.now && deadline <= harness.now + 0.5);
                let statement_id = ids.len() as u64 + 7;
                harness.connection.submitted(statement_id);
                assert_eq!(harness.connection.idle_period(), None);
                // An answer to another statement is ignored.
                harness.connection.answer(
                    harness.now,
                    statement_id + 1,
                    Answer::Aborted,
                    &mut harness.client_events,
                );
                assert!(harness.connection.pending_output().is_empty());
                harness.connection.answer(
                    harness.now,
                    statement_id,
                    Answer::Rejected(0.25),
                    &mut harness.client_events,
                );
                ids.push(statement.id.clone());
                action = harness.run_until_action(&mut written);
            }
            position = end;
        }
        (ids, decode_frames(&written))
    };
    let expected = play(&mut || usize::MAX / 2);
    assert_eq!(expected.0, ["s0", "s1", "s2"]);
    assert_eq!(expected.1 .0, "RSSSKZ".to_string() + "EZ" + "IZ" + "EZEZ");
    for step in 1..40 {
        assert_eq!(play(&mut || step), expected);
    }
    let mut rng = Rand64::new(5);
    for _ in 0..300 {
        assert_eq!(play(&mut || rng.rand_range(1..60) as usize), expected);
    }
}

/// Random histories: valid and invalid bytes in any portions, slow writes, answers, passing time, a client
/// that leaves. Each submitted statement is answered or abandoned once, every connection ends in time, and
/// all memory is returned.
#[test]
fn random_histories_answer_each_statement_once_and_release_all_memory() {
    for seed in 0..4_000 {
        let mut rng = Rand64::new(seed);
        let mut random_below = |n: u64| rng.rand_range(0..n);
        let mut harness = Harness::new();
        let mut bytes = pg::startup_message();
        for n in 0..random_below(6) {
            match random_below(12) {
                0 => bytes.extend_from_slice(b"Q\xff\xff\xff\xff"),
                1 => pg::terminate(&mut bytes),
                2 => pg::write_frame(&mut bytes, b'Q', &[&vec![b'x'; 20_000], b"\0"]),
                3 => pg::query(&mut bytes, b""),
                _ => bytes.extend_from_slice(&statement(n as usize)),
            }
        }
        let (mut position, mut open_statement, mut submitted, mut answered, mut abandoned) =
            (0, None, 0u64, 0, 0);
        let mut closed = false;
        for _ in 0..400 {
            if harness.connection.ended() {
                break;
            }
            let action = match random_below(6) {
                0 | 1 if position < bytes.len() && harness.connection.wanted_bytes() > 0 => {
                    let count = (1 + random_below(5_000) as usize)
                        .min(harness.connection.wanted_bytes())
                        .min(bytes.len() - position);
                    harness.connection.receive(harness.now, &bytes[position..position + count]);
                    position += count;
                    harness.advance()
                }
                2 if !harness.connection.pending_output().is_empty() => {
                    let count = 1 + random_below(harness.connection.pending_output().len() as u64) as usize;
                    harness.connection.wrote(count);
                    harness.advance()
                }
                3 => {
                    harness.now += random_below(3_000) as f64 / 1000.0;
                    harness.advance()
                }
                4 if open_statement.is_some() => {
                    let statement_id: u64 = open_statement.take().expect("a statement is open");
                    let answer = match random_below(4) {
                        0 => Answer::Completed(b"rows".to_vec(), Some("mark".to_string())),
                        1 => Answer::Aborted,
                        2 => Answer::Unusable,
                        _ => Answer::Rejected(0.0),
                    };
                    harness.connection.answer(harness.now, statement_id, answer, &mut harness.client_events);
                    answered += 1;
                    assert!(!harness.connection.pending_output().is_empty(), "an answer has output");
                    harness.advance()
                }
                5 if random_below(20) == 0 => {
                    closed = true;
                    harness.connection.closed()
                }
                _ => None,
            };
            match action {
                Some(ClientAction::Submit { statement, deadline }) => {
                    assert_eq!(open_statement, None, "only one statement at a time");
                    assert!(statement.timeout == 0.5 && deadline <= harness.now + 0.5);
                    submitted += 1;
                    harness.connection.submitted(submitted);
                    open_statement = Some(submitted);
                    assert_eq!(
                        harness.connection.due(),
                        f64::INFINITY,
                        "only the dispatcher ends the wait for an answer"
                    );
                }
                Some(ClientAction::Abandon(statement_id)) => {
                    assert_eq!(open_statement.take(), Some(statement_id));
                    abandoned += 1;
                }
                None => {}
            }
            assert!(
                open_statement.is_none() || !harness.connection.ended(),
                "closed without reporting the open statement"
            );
            let latest = harness.now + IDLE_TIMEOUT_S + 0.5 + ANSWER_GRACE_S;
            assert!(
                open_statement.is_some() || harness.connection.ended() || harness.connection.due() <= latest,
                "no deadline while no statement is open"
            );
            assert!(
                harness.connection.idle_period().is_none()
                    || (open_statement.is_none() && harness.connection.wanted_bytes() > 0)
            );
        }
        assert_eq!(
            submitted,
            answered + abandoned + u64::from(open_statement.is_some()),
            "seed {seed}, closed {closed}"
        );
        harness.connection.release(&mut harness.budget);
        assert_eq!(harness.budget.usage(), (0, 0, 0), "seed {seed}");
    }
}

/// An answer that is late because of this machine is still written during its grace, and not begun after it.
#[test]
fn a_late_answer_is_written_only_within_its_grace() {
    for (delay, is_written) in [(0.0, true), (ANSWER_GRACE_S - 0.01, true), (ANSWER_GRACE_S + 0.01, false)] {
        let (mut harness, mut written) = (Harness::new(), Vec::new());
        harness.receive(&pg::startup_message(), &mut written);
        let Some(ClientAction::Submit { deadline, .. }) = harness.receive(&statement(1), &mut written) else {
            panic!("expected a statement")
        };
        harness.connection.submitted(1);
        harness.now = deadline + delay;
        harness.connection.answer(harness.now, 1, Answer::Aborted, &mut harness.client_events);
        assert_eq!(harness.advance(), None);
        assert_eq!(!harness.connection.pending_output().is_empty(), is_written);
        if !is_written {
            assert_eq!(harness.client_events, [ClientEvent::AnswerTimeout]);
            // The client is left to close the connection for a while.
            assert!(!harness.connection.ended() && harness.connection.wanted_bytes() > 0);
            harness.now += IDLE_TIMEOUT_S;
            harness.advance();
            assert!(harness.connection.ended());
        }
    }
}

/// A client that sends nothing, sends only empty queries or does not finish a command is closed after the
/// timeout of the protocol's page. A client that has sent a statement may be idle for as long.
#[test]
fn connections_without_a_statement_are_closed_after_the_idle_timeout() {
    let mut harness = Harness::new();
    harness.now += IDLE_TIMEOUT_S;
    harness.advance();
    assert!(harness.connection.ended() && harness.client_events == [ClientEvent::IdleTimeout]);

    let (mut harness, mut written) = (Harness::new(), Vec::new());
    let started_at = harness.now;
    let mut flood = pg::startup_message();
    let mut empty_query = Vec::new();
    pg::query(&mut empty_query, b";");
    while harness.now < started_at + 3.0 * IDLE_TIMEOUT_S && !harness.connection.ended() {
        let bytes = std::mem::replace(&mut flood, empty_query.clone());
        harness.receive(&bytes, &mut written);
        harness.now += 0.01;
    }
    assert!(harness.now < started_at + IDLE_TIMEOUT_S + 0.05, "{}", harness.now - started_at);

    let (mut harness, mut written) = (Harness::new(), Vec::new());
    harness.receive(&pg::startup_message(), &mut written);
    assert_eq!(harness.connection.idle_period().map(|r| r.0), Some(Holder::NewClientConnection));
    harness.now += 1.5;
    harness.receive(&statement(1), &mut written);
    harness.connection.submitted(1);
    harness.connection.answer(harness.now, 1, Answer::Aborted, &mut harness.client_events);
    harness.run_until_action(&mut written);
    assert_eq!(harness.connection.idle_period().map(|r| r.0), Some(Holder::ClientConnection));
    harness.now += 1.9;
    harness.receive(&statement(2)[..9], &mut written);
    // The command that begins gets a timeout of its own, not what remains of the idle timeout.
    harness.now += 1.9;
    harness.advance();
    assert!(!harness.connection.ended());
    harness.now += 0.2;
    harness.run_until_action(&mut written);
    assert!(harness.connection.ended());
    assert_eq!(decode_frames(&written).1.last().map(String::as_str), Some("08P01"));
}

/// The time of a pipelined statement runs while it waits behind others, because its client counts from when
/// it sent the statement.
#[test]
fn the_time_of_a_pipelined_statement_runs_from_its_own_last_byte() {
    let (mut harness, mut written) = (Harness::new(), Vec::new());
    harness.receive(&pg::startup_message(), &mut written);
    let started_at = harness.now;
    let two = [statement(1), statement(2)].concat();
    let Some(ClientAction::Submit { deadline, .. }) = harness.receive(&two, &mut written) else {
        panic!("expected a statement")
    };
    assert!((deadline - started_at - 0.5).abs() < 1e-6);
    harness.connection.submitted(1);
    // The third statement arrives in two pieces while the first is open: its time runs from the second piece.
    harness.now = started_at + 0.1;
    harness.connection.receive(harness.now, &statement(3)[..20]);
    harness.now = started_at + 0.2;
    harness.connection.receive(harness.now, &statement(3)[20..]);
    harness.now = started_at + 0.4;
    for (statement_id, expected_s) in [(1, 0.5), (2, 0.7)] {
        harness.connection.answer(harness.now, statement_id, Answer::Aborted, &mut harness.client_events);
        let Some(ClientAction::Submit { deadline, .. }) = harness.run_until_action(&mut written) else {
            panic!("expected a statement")
        };
        assert!((deadline - started_at - expected_s).abs() < 1e-6, "{}", deadline - started_at);
        harness.connection.submitted(statement_id + 1);
    }
}

/// Bytes that could not be read for lack of room may have arrived as soon as reading paused. That is unknown,
/// so a statement's time runs from the earliest possible moment.
#[test]
fn the_time_of_bytes_that_waited_in_the_socket_runs_from_their_earliest_possible_arrival() {
    let (mut harness, mut written) = (Harness::new(), Vec::new());
    harness.receive(&pg::startup_message(), &mut written);
    let started_at = harness.now;
    let burst: Vec<u8> = (1..200).flat_map(statement).collect();
    let mut position = 0;
    while harness.connection.wanted_bytes() > 0 {
        let count = harness.connection.wanted_bytes().min(burst.len() - position);
        harness.connection.receive(harness.now, &burst[position..position + count]);
        position += count;
        if let Some(ClientAction::Submit { .. }) = harness.run_until_action(&mut written) {
            harness.connection.submitted(1);
        }
    }
    assert!(position < burst.len(), "the buffered bytes are bounded");
    harness.now = started_at + 0.3;
    harness.connection.answer(harness.now, 1, Answer::Aborted, &mut harness.client_events);
    let mut statement_id = 2;
    while let Some(ClientAction::Submit { deadline, .. }) = harness.run_until_action(&mut written) {
        assert!(deadline <= started_at + 0.5 + 1e-6, "statement {statement_id}: {}", deadline - started_at);
        harness.connection.submitted(statement_id);
        let count = harness.connection.wanted_bytes().min(burst.len() - position);
        harness.connection.receive(harness.now, &burst[position..position + count]);
        position += count;
        harness.connection.answer(harness.now, statement_id, Answer::Aborted, &mut harness.client_events);
        statement_id += 1;
    }
    assert_eq!((statement_id, position), (200, burst.len()));
    // Everything is read: a statement that arrives after a pause has its full time.
    harness.now = started_at + 1.0;
    let Some(ClientAction::Submit { deadline, .. }) = harness.receive(&statement(900), &mut written) else {
        panic!("expected a statement")
    };
    assert!((deadline - started_at - 1.5).abs() < 1e-6);
}

/// A statement that can't be parsed, or whose time is up, does not affect the statements behind it.
#[test]
fn an_invalid_statement_does_not_affect_the_statements_behind_it() {
    let (mut harness, mut written) = (Harness::new(), Vec::new());
    let mut bytes = pg::startup_message();
    pg::query(&mut bytes, b"/* id=a,c=look,d=much,cluster=3 */ SELECT 'k'");
    pg::query(&mut bytes, b"/* id=b,c=look,d=0,cluster=3 */ SELECT 'k'");
    bytes.extend_from_slice(&statement(1));
    let Some(ClientAction::Submit { statement: first, deadline }) = harness.receive(&bytes, &mut written)
    else {
        panic!("expected a statement")
    };
    assert_eq!((first.id.as_str(), deadline), ("b", harness.now));
    harness.connection.submitted(1);
    harness.connection.answer(harness.now, 1, Answer::Unusable, &mut harness.client_events);
    let Some(ClientAction::Submit { statement: second, .. }) = harness.run_until_action(&mut written) else {
        panic!("expected a statement")
    };
    assert_eq!(second.id, "s1");
    harness.connection.submitted(2);
    harness.connection.answer(harness.now, 2, Answer::Aborted, &mut harness.client_events);
    assert_eq!(harness.run_until_action(&mut written), None);
    assert_eq!(
        decode_frames(&written),
        ("RSSSKZEZEZEZ".to_string(), ["42601", "42710", "57014"].map(String::from).to_vec())
    );
    assert!(!harness.connection.ended());
}

/// A client that has sent a statement before is not idle once its next command has begun, because the rest
/// may arrive just as the connection is closed.
#[test]
fn a_connection_with_an_incomplete_command_is_not_idle() {
    let (mut harness, mut written) = (Harness::new(), Vec::new());
    harness.receive(&pg::startup_message(), &mut written);
    harness.receive(&statement(1), &mut written);
    harness.connection.submitted(1);
    harness.connection.answer(harness.now, 1, Answer::Aborted, &mut harness.client_events);
    harness.run_until_action(&mut written);
    assert!(harness.connection.idle_period().is_some());
    harness.receive(&statement(2)[..9], &mut written);
    assert_eq!(harness.connection.idle_period(), None);
    // A client that has not sent a statement yet may still be evicted; otherwise a few bytes would be enough
    // to hold a connection.
    let mut new_client = Harness::new();
    new_client.receive(&pg::startup_message()[..5], &mut written);
    assert!(new_client.connection.idle_period().is_some());
}

/// A statement whose time ran out while it waited behind others still gets an answer; otherwise the
/// statements behind it would be lost too.
#[test]
fn an_expired_pipelined_statement_is_answered_and_delays_none_behind_it() {
    let (mut harness, mut written) = (Harness::new(), Vec::new());
    let mut burst = pg::startup_message();
    pg::query(&mut burst, b"/* id=s1,c=look,d=5000,cluster=3 */ SELECT 'k'");
    burst.extend_from_slice(&[statement(2), statement(3)].concat());
    let Some(ClientAction::Submit { .. }) = harness.receive(&burst, &mut written) else {
        panic!("expected a statement")
    };
    harness.connection.submitted(1);
    harness.now += 2.0;
    harness.connection.answer(harness.now, 1, Answer::Aborted, &mut harness.client_events);
    for statement_id in 2..4 {
        let Some(ClientAction::Submit { deadline, .. }) = harness.run_until_action(&mut written) else {
            panic!("expected a statement")
        };
        assert!(deadline + ANSWER_GRACE_S < harness.now);
        harness.connection.submitted(statement_id);
        harness.connection.answer(
            harness.now,
            statement_id,
            Answer::Rejected(0.0),
            &mut harness.client_events,
        );
    }
    harness.run_until_action(&mut written);
    assert_eq!((decode_frames(&written).1.len(), harness.client_events.as_slice()), (3, &[][..]));
}

/// Guards against a connection that is to close and goes on reading: it reads once more, then no byte behind the
/// command that it has read in part, and answers all that it has read.
#[test]
fn a_connection_that_is_to_close_reads_no_command_that_it_need_not_answer() {
    let (mut harness, mut written) = (Harness::new(), Vec::new());
    harness.receive(&pg::startup_message(), &mut written);
    let burst: Vec<u8> = (1..200).flat_map(statement).collect();
    let (mut position, mut submitted) = (0, 0);
    harness.connection.limit_to_one_read();
    while harness.connection.wanted_bytes() > 0 {
        let count = harness.connection.wanted_bytes();
        harness.connection.receive(harness.now, &burst[position..position + count]);
        position += count;
        while let Some(ClientAction::Submit { .. }) = harness.run_until_action(&mut written) {
            submitted += 1;
            harness.connection.submitted(submitted);
            assert_eq!(harness.connection.wanted_bytes(), 0, "further commands stay in the socket");
            harness.connection.answer(
                harness.now,
                submitted,
                Answer::Rejected(0.0),
                &mut harness.client_events,
            );
        }
    }
    let commands_read: usize = (1..=submitted as usize).map(|n| statement(n).len()).sum();
    assert!(submitted > 10 && submitted < 199 && commands_read == position, "{submitted}: {position}");
    assert!(harness.connection.idle_period().is_some() && harness.connection.pipelined());
    // A shutdown without time left refuses what is read after that.
    harness.connection.limit_to_one_read();
    assert_eq!(harness.connection.refuse_unanswered(harness.now, &mut harness.client_events), None);
    assert_eq!(harness.receive(&burst[position..position + 400], &mut written), None);
    assert_eq!(decode_frames(&written).1.last().map(String::as_str), Some("57P03"));
}

/// Guards against long statements that no budget counts once their clients have left: their executions may still be
/// running, and hold them.
#[test]
fn the_memory_of_a_statement_is_counted_until_the_statement_is_dropped() {
    let (mut harness, mut written) = (Harness::new(), Vec::new());
    harness.receive(&pg::startup_message(), &mut written);
    let mut command = Vec::new();
    let name = "k".repeat(64 * 1024);
    pg::query(&mut command, format!("/* id=s,c=look,d=500,cluster=3 */ SELECT '{name}'").as_bytes());
    let Some(ClientAction::Submit { statement, .. }) = harness.receive(&command, &mut written) else {
        panic!("expected a statement")
    };
    harness.connection.submitted(1);
    assert_eq!(harness.connection.closed(), Some(ClientAction::Abandon(1)));
    harness.connection.release(&mut harness.budget);
    assert!(harness.budget.usage().2 >= command.len(), "{:?}", harness.budget.usage());
    drop(statement);
    assert_eq!(harness.budget.usage(), (0, 0, 0));
}

/// Guards against answers that no budget counts while their clients don't read them: a long one is reserved until it is
/// written, and one that finds no room is not kept.
#[test]
fn an_answer_that_its_client_does_not_read_is_counted() {
    let (mut harness, mut written) = (Harness::new(), Vec::new());
    harness.receive(&pg::startup_message(), &mut written);
    let rows = vec![b'x'; 64 * 1024];
    for (statement_id, has_room) in [(1, true), (2, false)] {
        harness.receive(&statement(statement_id as usize), &mut written);
        harness.connection.submitted(statement_id);
        let answer = Answer::Completed(rows.clone(), None);
        let blocked = if has_room { 0 } else { 8 * pg::MAX_FRAME_BYTES };
        assert!(harness.budget.reserve_bytes(blocked));
        harness.connection.answer(harness.now, statement_id, answer, &mut harness.client_events);
        harness.connection.reserve_answer(&mut harness.budget, &mut harness.client_events);
        let expected = if has_room { harness.connection.pending_output().len() } else { blocked };
        assert_eq!((harness.budget.usage().2, expected > 64 * 1024), (expected, true));
        assert_eq!(harness.connection.pending_output().len() > 64 * 1024, has_room);
        written.clear();
        harness.run_until_action(&mut written);
        assert_eq!(harness.budget.usage().2, blocked);
        harness.budget.release_bytes(blocked);
    }
    assert_eq!(decode_frames(&written).1, ["57014"]);
}

/// Guards against a few bytes of many unfinished commands using up the memory for long ones: what is reserved follows
/// what has arrived.
#[test]
fn unfinished_commands_reserve_no_more_than_has_arrived() {
    const UNFINISHED: usize = 100;
    let mut budget = Budget::new(2 * UNFINISHED, UNFINISHED, 32 * pg::MAX_FRAME_BYTES);
    let (workloads, mut client_events) = (workloads(), Vec::new());
    let mut startup = vec![0; pg::MAX_STARTUP_BYTES];
    startup[..4].copy_from_slice(&(pg::MAX_STARTUP_BYTES as u32).to_be_bytes());
    let now = 1_700_000_000.0;
    let mut unfinished: Vec<ClientConnection> = (0..UNFINISHED).map(|_| ClientConnection::new(now)).collect();
    for connection in &mut unfinished {
        connection.receive(now, &startup[..4096]);
        connection.receive(now, &startup[4096..4200]);
        let mut client_context =
            ClientContext { budget: &mut budget, workloads: &workloads, client_events: &mut client_events };
        connection.advance(now, &mut client_context);
        assert!(connection.pending_output().is_empty(), "refused: {client_events:?}");
    }
    let reserved = budget.usage().2;
    assert!(reserved >= UNFINISHED * 4200, "{reserved} bytes are counted");
    assert!(
        budget.reserve_bytes(2 * pg::MAX_FRAME_BYTES),
        "{reserved} bytes leave no room for a whole command"
    );
}

/// Guards against a buffer that holds more than is counted while a long command arrives, and against a refusal that
/// keeps what it refused.
#[test]
fn a_long_command_is_counted_while_it_arrives_and_dropped_where_it_finds_no_room() {
    let (mut harness, mut written) = (Harness::new(), Vec::new());
    harness.receive(&pg::startup_message(), &mut written);
    let mut command = Vec::new();
    pg::query(&mut command, &[b' '; 140 * 1024]);
    let mut received = 0;
    while received < 64 * 1024 {
        let end = received + harness.connection.wanted_bytes().min(4096);
        harness.receive(&command[received..end], &mut written);
        received = end;
        let usage = harness.budget.usage().2;
        assert!(received <= 4096 || usage >= 2 * received, "{usage} bytes counted for {received}");
        assert!(usage <= 2 * (received + 16 * 1024), "{usage} bytes counted for {received}");
    }
    let (_, _, used) = harness.budget.usage();
    assert!(harness.budget.reserve_bytes(8 * pg::MAX_FRAME_BYTES - used));
    harness.receive(&command[received..received + 32 * 1024], &mut written);
    let (code, _) = decode_frames(&written);
    assert!(harness.client_events.contains(&ClientEvent::NoMemory), "{code}");
    assert_eq!(harness.connection.unanswered_bytes(), 0, "a refused command is not kept");
}

/// Guards against long names that are held beside the statement and not counted.
#[test]
fn the_names_of_a_statement_are_counted_with_it() {
    let (mut harness, mut written) = (Harness::new(), Vec::new());
    harness.workloads[0].sessions = true;
    harness.receive(&pg::startup_message(), &mut written);
    let (name, group) = ("k".repeat(40_000), "g".repeat(30_000));
    let mut command = Vec::new();
    pg::query(&mut command, format!("/* id=s,c=look,d=500,cluster={group} */ SELECT '{name}'").as_bytes());
    let Some(ClientAction::Submit { statement, .. }) = harness.receive(&command, &mut written) else {
        panic!("expected a statement")
    };
    let counted = harness.budget.usage().2;
    assert!(counted >= 2 * (command.len() - 6) + name.len() + group.len(), "{counted}");
    drop(statement);
}

/// Guards against more connections than fit into the memory limit with what each of them may hold uncounted.
#[test]
fn the_number_of_connections_follows_the_memory_limit() {
    use sandstile_connections::budget::{Shares, CONNECTION_BYTES};
    const MIB: usize = 1024 * 1024;
    for (descriptors, memory) in
        [(1024, 192 * MIB), (65_536, 192 * MIB), (1024, 16 * MIB), (100_000, 2048 * MIB)]
    {
        let shares = Shares::new(descriptors, 16, memory, pg::MAX_FRAME_BYTES);
        let held = shares.connections * CONNECTION_BYTES + shares.long_bytes;
        assert!(held <= memory * 5 / 6, "{shares:?} of {memory} bytes");
        assert!(shares.clients <= shares.connections / 2 && shares.connections < descriptors, "{shares:?}");
    }
    let usual = Shares::new(1024, 16, 192 * MIB, pg::MAX_FRAME_BYTES);
    assert_eq!((usual.connections, usual.clients), (1004, 357), "descriptors bind here, not memory");
}

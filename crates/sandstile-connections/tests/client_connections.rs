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
struct Rig {
    line: ClientConnection,
    budget: Budget,
    workloads: Vec<Workload>,
    client_events: Vec<ClientEvent>,
    now: f64,
}

impl Rig {
    fn new() -> Rig {
        let now = 1_700_000_000.0;
        Rig {
            line: ClientConnection::new(now),
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
        self.line.advance(self.now, &mut client_context)
    }

    /// Writes all pending output and advances the connection until it returns an action or waits.
    fn flow(&mut self, said: &mut Vec<u8>) -> Option<ClientAction> {
        loop {
            if let Some(action) = self.advance() {
                return Some(action);
            }
            let out = self.line.pending_output().to_vec();
            if out.is_empty() {
                return None;
            }
            said.extend_from_slice(&out);
            self.line.wrote(out.len());
        }
    }

    fn hear(&mut self, bytes: &[u8], said: &mut Vec<u8>) -> Option<ClientAction> {
        self.line.receive(self.now, bytes);
        self.flow(said)
    }
}

/// The tags of the frames in the output, and the SQLSTATEs of its errors.
fn frames(mut said: &[u8]) -> (String, Vec<String>) {
    let (mut tags, mut codes) = (String::new(), Vec::new());
    while let Some((tag, body)) = pg::frame(said).expect("frames") {
        tags.push(tag as char);
        if tag == b'E' {
            codes.push(pg::sqlstate(&said[body.clone()]).expect("a code").to_string());
        }
        said = &said[body.end..];
    }
    assert!(said.is_empty(), "half a frame");
    (tags, codes)
}

/// Every split of a conversation leads to the same statements and the same output.
#[test]
fn a_conversation_is_the_same_however_it_is_cut() {
    let mut whole = pg::startup_message();
    whole.extend_from_slice(&statement(0));
    pg::query(&mut whole, b" ; ");
    whole.extend_from_slice(&statement(1));
    whole.extend_from_slice(&statement(2));
    let play = |cuts: &mut dyn FnMut() -> usize| {
        let (mut rig, mut said, mut ids, mut at) = (Rig::new(), Vec::new(), Vec::new(), 0);
        while at < whole.len() {
            let to = (at + cuts().max(1)).min(whole.len());
            let mut action = rig.hear(&whole[at..to], &mut said);
            while let Some(ClientAction::Submit { statement, deadline }) = action {
                assert!(deadline > rig.now && deadline <= rig.now + 0.5);
                let statement_id = ids.len() as u64 + 7;
                rig.line.submitted(statement_id);
                assert_eq!(rig.line.idle_period(), None);
                // An answer to another statement is ignored.
                rig.line.answer(rig.now, statement_id + 1, Answer::Aborted, &mut rig.client_events);
                assert!(rig.line.pending_output().is_empty());
                rig.line.answer(rig.now, statement_id, Answer::Rejected(0.25), &mut rig.client_events);
                ids.push(statement.id.clone());
                action = rig.flow(&mut said);
            }
            at = to;
        }
        (ids, frames(&said))
    };
    let once = play(&mut || usize::MAX / 2);
    assert_eq!(once.0, ["s0", "s1", "s2"]);
    assert_eq!(once.1 .0, "RSSSKZ".to_string() + "EZ" + "IZ" + "EZEZ");
    for step in 1..40 {
        assert_eq!(play(&mut || step), once);
    }
    let mut chance = Rand64::new(5);
    for _ in 0..300 {
        assert_eq!(play(&mut || chance.rand_range(1..60) as usize), once);
    }
}

/// Random histories: valid and invalid bytes in any portions, slow writes, answers, passing time, a client
/// that leaves. Each submitted statement is answered or abandoned once, every connection ends in time, and
/// all memory is returned.
#[test]
fn every_life_keeps_its_books() {
    for seed in 0..4_000 {
        let mut chance = Rand64::new(seed);
        let mut below = |n: u64| chance.rand_range(0..n);
        let mut rig = Rig::new();
        let mut bytes = pg::startup_message();
        for n in 0..below(6) {
            match below(12) {
                0 => bytes.extend_from_slice(b"Q\xff\xff\xff\xff"),
                1 => pg::terminate(&mut bytes),
                2 => pg::write_frame(&mut bytes, b'Q', &[&vec![b'x'; 20_000], b"\0"]),
                3 => pg::query(&mut bytes, b""),
                _ => bytes.extend_from_slice(&statement(n as usize)),
            }
        }
        let (mut at, mut out, mut submitted, mut answered, mut gone) = (0, None, 0u64, 0, 0);
        let mut closed = false;
        for _ in 0..400 {
            if rig.line.ended() {
                break;
            }
            let action = match below(6) {
                0 | 1 if at < bytes.len() && rig.line.wanted_bytes() > 0 => {
                    let some = (1 + below(5_000) as usize).min(rig.line.wanted_bytes()).min(bytes.len() - at);
                    rig.line.receive(rig.now, &bytes[at..at + some]);
                    at += some;
                    rig.advance()
                }
                2 if !rig.line.pending_output().is_empty() => {
                    let some = 1 + below(rig.line.pending_output().len() as u64) as usize;
                    rig.line.wrote(some);
                    rig.advance()
                }
                3 => {
                    rig.now += below(3_000) as f64 / 1000.0;
                    rig.advance()
                }
                4 if out.is_some() => {
                    let statement_id: u64 = out.take().expect("checked");
                    let answer = match below(4) {
                        0 => Answer::Completed(b"rows".to_vec(), Some("mark".to_string())),
                        1 => Answer::Aborted,
                        2 => Answer::Unusable,
                        _ => Answer::Rejected(0.0),
                    };
                    rig.line.answer(rig.now, statement_id, answer, &mut rig.client_events);
                    answered += 1;
                    assert!(!rig.line.pending_output().is_empty(), "an answer is words");
                    rig.advance()
                }
                5 if below(20) == 0 => {
                    closed = true;
                    rig.line.closed()
                }
                _ => None,
            };
            match action {
                Some(ClientAction::Submit { statement, deadline }) => {
                    assert_eq!(out, None, "one at a time");
                    assert!(statement.wait == 0.5 && deadline <= rig.now + 0.5);
                    submitted += 1;
                    rig.line.submitted(submitted);
                    out = Some(submitted);
                    assert_eq!(rig.line.due(), f64::INFINITY, "only the desk ends its time");
                }
                Some(ClientAction::Abandon(statement_id)) => {
                    assert_eq!(out.take(), Some(statement_id));
                    gone += 1;
                }
                None => {}
            }
            assert!(out.is_none() || !rig.line.ended(), "an end that owes an answer, unsaid");
            let bound = rig.now + IDLE_TIMEOUT_S + 0.5 + ANSWER_GRACE_S;
            assert!(out.is_some() || rig.line.ended() || rig.line.due() <= bound, "a wait without an end");
            assert!(rig.line.idle_period().is_none() || (out.is_none() && rig.line.wanted_bytes() > 0));
        }
        assert_eq!(submitted, answered + gone + u64::from(out.is_some()), "seed {seed}, closed {closed}");
        rig.line.release(&mut rig.budget);
        assert_eq!(rig.budget.held(), (0, 0, 0), "seed {seed}");
    }
}

/// An answer that is late because of this machine is still written during its grace, and not begun after it.
#[test]
fn an_answer_has_a_grace_and_then_its_client_the_time_to_leave() {
    for (late, is_said) in [(0.0, true), (ANSWER_GRACE_S - 0.01, true), (ANSWER_GRACE_S + 0.01, false)] {
        let (mut rig, mut said) = (Rig::new(), Vec::new());
        rig.hear(&pg::startup_message(), &mut said);
        let Some(ClientAction::Submit { deadline, .. }) = rig.hear(&statement(1), &mut said) else {
            panic!("a wish")
        };
        rig.line.submitted(1);
        rig.now = deadline + late;
        rig.line.answer(rig.now, 1, Answer::Aborted, &mut rig.client_events);
        assert_eq!(rig.advance(), None);
        assert_eq!(!rig.line.pending_output().is_empty(), is_said);
        if !is_said {
            assert_eq!(rig.client_events, [ClientEvent::AnswerTimeout]);
            // The client is left to close the connection for a while.
            assert!(!rig.line.ended() && rig.line.wanted_bytes() > 0);
            rig.now += IDLE_TIMEOUT_S;
            rig.advance();
            assert!(rig.line.ended());
        }
    }
}

/// A client that sends nothing, sends bytes one by one, or sends only empty queries is closed within the
/// documented idle timeout. A client that has sent a statement may be idle for as long.
#[test]
fn lines_that_bring_no_statement_end_in_their_time() {
    let mut rig = Rig::new();
    rig.now += IDLE_TIMEOUT_S;
    rig.advance();
    assert!(rig.line.ended() && rig.client_events == [ClientEvent::IdleTimeout]);

    let (mut rig, mut said) = (Rig::new(), Vec::new());
    let begun = rig.now;
    let mut flood = pg::startup_message();
    let mut nothing = Vec::new();
    pg::query(&mut nothing, b";");
    while rig.now < begun + 3.0 * IDLE_TIMEOUT_S && !rig.line.ended() {
        let bytes = std::mem::replace(&mut flood, nothing.clone());
        rig.hear(&bytes, &mut said);
        rig.now += 0.01;
    }
    assert!(rig.now < begun + IDLE_TIMEOUT_S + 0.05, "{}", rig.now - begun);

    let (mut rig, mut said) = (Rig::new(), Vec::new());
    rig.hear(&pg::startup_message(), &mut said);
    assert_eq!(rig.line.idle_period().map(|r| r.0), Some(Holder::NewClientConnection));
    rig.now += 1.5;
    rig.hear(&statement(1), &mut said);
    rig.line.submitted(1);
    rig.line.answer(rig.now, 1, Answer::Aborted, &mut rig.client_events);
    rig.flow(&mut said);
    assert_eq!(rig.line.idle_period().map(|r| r.0), Some(Holder::ClientConnection));
    rig.now += 1.9;
    rig.hear(&statement(2)[..9], &mut said);
    // The command that begins gets a timeout of its own, not what remains of the idle timeout.
    rig.now += 1.9;
    rig.advance();
    assert!(!rig.line.ended());
    rig.now += 0.2;
    rig.flow(&mut said);
    assert!(rig.line.ended());
    assert_eq!(frames(&said).1.last().map(String::as_str), Some("08P01"));
}

/// The time of a pipelined statement runs while it waits behind others, because its client counts from when
/// it sent the statement.
#[test]
fn a_pipelined_statement_has_the_time_that_its_client_gives_it_from_its_own_last_byte() {
    let (mut rig, mut said) = (Rig::new(), Vec::new());
    rig.hear(&pg::startup_message(), &mut said);
    let begun = rig.now;
    let two = [statement(1), statement(2)].concat();
    let Some(ClientAction::Submit { deadline, .. }) = rig.hear(&two, &mut said) else { panic!("a wish") };
    assert!((deadline - begun - 0.5).abs() < 1e-6);
    rig.line.submitted(1);
    // The third statement arrives in two pieces while the first is open: its time runs from the second piece.
    rig.now = begun + 0.1;
    rig.line.receive(rig.now, &statement(3)[..20]);
    rig.now = begun + 0.2;
    rig.line.receive(rig.now, &statement(3)[20..]);
    rig.now = begun + 0.4;
    for (statement_id, due) in [(1, 0.5), (2, 0.7)] {
        rig.line.answer(rig.now, statement_id, Answer::Aborted, &mut rig.client_events);
        let Some(ClientAction::Submit { deadline, .. }) = rig.flow(&mut said) else { panic!("a wish") };
        assert!((deadline - begun - due).abs() < 1e-6, "{}", deadline - begun);
        rig.line.submitted(statement_id + 1);
    }
}

/// Bytes that could not be read for lack of room may have arrived as soon as reading paused. That is unknown,
/// so a statement's time runs from the earliest possible moment.
#[test]
fn what_waited_in_the_socket_has_its_time_from_when_it_may_have_come() {
    let (mut rig, mut said) = (Rig::new(), Vec::new());
    rig.hear(&pg::startup_message(), &mut said);
    let begun = rig.now;
    let burst: Vec<u8> = (1..200).flat_map(statement).collect();
    let mut at = 0;
    while rig.line.wanted_bytes() > 0 {
        let some = rig.line.wanted_bytes().min(burst.len() - at);
        rig.line.receive(rig.now, &burst[at..at + some]);
        at += some;
        if let Some(ClientAction::Submit { .. }) = rig.flow(&mut said) {
            rig.line.submitted(1);
        }
    }
    assert!(at < burst.len(), "a bound on what is held");
    rig.now = begun + 0.3;
    rig.line.answer(rig.now, 1, Answer::Aborted, &mut rig.client_events);
    let mut statement_id = 2;
    while let Some(ClientAction::Submit { deadline, .. }) = rig.flow(&mut said) {
        assert!(deadline <= begun + 0.5 + 1e-6, "statement {statement_id}: {}", deadline - begun);
        rig.line.submitted(statement_id);
        let some = rig.line.wanted_bytes().min(burst.len() - at);
        rig.line.receive(rig.now, &burst[at..at + some]);
        at += some;
        rig.line.answer(rig.now, statement_id, Answer::Aborted, &mut rig.client_events);
        statement_id += 1;
    }
    assert_eq!((statement_id, at), (200, burst.len()));
    // Everything is read: a statement that arrives after a pause has its full time.
    rig.now = begun + 1.0;
    let Some(ClientAction::Submit { deadline, .. }) = rig.hear(&statement(900), &mut said) else {
        panic!("a wish")
    };
    assert!((deadline - begun - 1.5).abs() < 1e-6);
}

/// A statement that can't be parsed, or whose time is up, does not affect the statements behind it.
#[test]
fn a_statement_that_is_wrong_in_itself_leaves_the_connection_to_those_behind_it() {
    let (mut rig, mut said) = (Rig::new(), Vec::new());
    let mut bytes = pg::startup_message();
    pg::query(&mut bytes, b"/* id=a,c=look,d=much,cluster=3 */ SELECT 'k'");
    pg::query(&mut bytes, b"/* id=b,c=look,d=0,cluster=3 */ SELECT 'k'");
    bytes.extend_from_slice(&statement(1));
    let Some(ClientAction::Submit { statement: first, deadline }) = rig.hear(&bytes, &mut said) else {
        panic!("a wish")
    };
    assert_eq!((first.id.as_str(), deadline), ("b", rig.now));
    rig.line.submitted(1);
    rig.line.answer(rig.now, 1, Answer::Unusable, &mut rig.client_events);
    let Some(ClientAction::Submit { statement: second, .. }) = rig.flow(&mut said) else { panic!("a wish") };
    assert_eq!(second.id, "s1");
    rig.line.submitted(2);
    rig.line.answer(rig.now, 2, Answer::Aborted, &mut rig.client_events);
    assert_eq!(rig.flow(&mut said), None);
    assert_eq!(
        frames(&said),
        ("RSSSKZEZEZEZ".to_string(), ["42601", "42710", "57014"].map(String::from).to_vec())
    );
    assert!(!rig.line.ended());
}

/// A client that has sent a statement before is not idle once its next command has begun, because the rest
/// may arrive just as the connection is closed.
#[test]
fn a_command_that_has_begun_is_no_rest() {
    let (mut rig, mut said) = (Rig::new(), Vec::new());
    rig.hear(&pg::startup_message(), &mut said);
    rig.hear(&statement(1), &mut said);
    rig.line.submitted(1);
    rig.line.answer(rig.now, 1, Answer::Aborted, &mut rig.client_events);
    rig.flow(&mut said);
    assert!(rig.line.idle_period().is_some());
    rig.hear(&statement(2)[..9], &mut said);
    assert_eq!(rig.line.idle_period(), None);
    // A client that has not sent a statement yet may still be evicted; otherwise a few bytes would be enough
    // to hold a connection.
    let mut stranger = Rig::new();
    stranger.hear(&pg::startup_message()[..5], &mut said);
    assert!(stranger.line.idle_period().is_some());
}

/// A statement whose time ran out while it waited behind others still gets an answer; otherwise the
/// statements behind it would be lost too.
#[test]
fn a_statement_whose_time_ran_out_behind_others_is_told_and_holds_up_none() {
    let (mut rig, mut said) = (Rig::new(), Vec::new());
    let mut burst = pg::startup_message();
    pg::query(&mut burst, b"/* id=s1,c=look,d=5000,cluster=3 */ SELECT 'k'");
    burst.extend_from_slice(&[statement(2), statement(3)].concat());
    let Some(ClientAction::Submit { .. }) = rig.hear(&burst, &mut said) else { panic!("a wish") };
    rig.line.submitted(1);
    rig.now += 2.0;
    rig.line.answer(rig.now, 1, Answer::Aborted, &mut rig.client_events);
    for statement_id in 2..4 {
        let Some(ClientAction::Submit { deadline, .. }) = rig.flow(&mut said) else { panic!("a wish") };
        assert!(deadline + ANSWER_GRACE_S < rig.now);
        rig.line.submitted(statement_id);
        rig.line.answer(rig.now, statement_id, Answer::Rejected(0.0), &mut rig.client_events);
    }
    rig.flow(&mut said);
    assert_eq!((frames(&said).1.len(), rig.client_events.as_slice()), (3, &[][..]));
}

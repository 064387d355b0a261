//! One client's line, whatever the cuts and times: each statement that is wished for gets one answer or is given up
//! with its client, and what is held is given back.
use oorandom::Rand64;
use sandstile_connections::budget::{Budget, Holder};
use sandstile_connections::client_connection::{Around, Client, Remark, Wish, LATE, REST};
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

/// A line with what it leans on.
struct Rig {
    line: Client,
    budget: Budget,
    workloads: Vec<Workload>,
    remarks: Vec<Remark>,
    now: f64,
}

impl Rig {
    fn new() -> Rig {
        let now = 1_700_000_000.0;
        Rig {
            line: Client::new(now),
            budget: Budget::new(16, 8, 8 * pg::MOST_FRAME),
            workloads: workloads(),
            remarks: Vec::new(),
            now,
        }
    }

    fn turn(&mut self) -> Option<Wish> {
        let mut around =
            Around { budget: &mut self.budget, workloads: &self.workloads, remarks: &mut self.remarks };
        self.line.turn(self.now, &mut around)
    }

    /// Writes all that it says, and has it go on, until it wishes for something or waits.
    fn flow(&mut self, said: &mut Vec<u8>) -> Option<Wish> {
        loop {
            if let Some(wish) = self.turn() {
                return Some(wish);
            }
            let out = self.line.out().to_vec();
            if out.is_empty() {
                return None;
            }
            said.extend_from_slice(&out);
            self.line.wrote(out.len());
        }
    }

    fn hear(&mut self, bytes: &[u8], said: &mut Vec<u8>) -> Option<Wish> {
        self.line.bytes(self.now, bytes);
        self.flow(said)
    }
}

/// The tags of the frames in what was said, and the codes of its errors.
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

/// Every way of cutting a conversation yields the same wishes and the same words.
#[test]
fn a_conversation_is_the_same_however_it_is_cut() {
    let mut whole = pg::hello();
    whole.extend_from_slice(&statement(0));
    pg::query(&mut whole, b" ; ");
    whole.extend_from_slice(&statement(1));
    whole.extend_from_slice(&statement(2));
    let play = |cuts: &mut dyn FnMut() -> usize| {
        let (mut rig, mut said, mut ids, mut at) = (Rig::new(), Vec::new(), Vec::new(), 0);
        while at < whole.len() {
            let to = (at + cuts().max(1)).min(whole.len());
            let mut wish = rig.hear(&whole[at..to], &mut said);
            while let Some(Wish::Ask { statement, time }) = wish {
                assert!(time > rig.now && time <= rig.now + 0.5);
                let statement_id = ids.len() as u64 + 7;
                rig.line.asked(statement_id);
                assert_eq!(rig.line.rests(), None);
                // An answer to another statement is nobody's.
                rig.line.answer(rig.now, statement_id + 1, Answer::Aborted, &mut rig.remarks);
                assert!(rig.line.out().is_empty());
                rig.line.answer(rig.now, statement_id, Answer::Rejected(0.25), &mut rig.remarks);
                ids.push(statement.id.clone());
                wish = rig.flow(&mut said);
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

/// Random lives: bytes good and bad in any portions, slow writes, answers, time, the client's end. A statement that
/// was wished for is answered once or gone once; an end comes within its time; nothing stays held.
#[test]
fn every_life_keeps_its_books() {
    for seed in 0..4_000 {
        let mut chance = Rand64::new(seed);
        let mut below = |n: u64| chance.rand_range(0..n);
        let mut rig = Rig::new();
        let mut bytes = pg::hello();
        for n in 0..below(6) {
            match below(12) {
                0 => bytes.extend_from_slice(b"Q\xff\xff\xff\xff"),
                1 => pg::terminate(&mut bytes),
                2 => pg::put(&mut bytes, b'Q', &[&vec![b'x'; 20_000], b"\0"]),
                3 => pg::query(&mut bytes, b""),
                _ => bytes.extend_from_slice(&statement(n as usize)),
            }
        }
        let (mut at, mut out, mut asked, mut answered, mut gone) = (0, None, 0u64, 0, 0);
        let mut closed = false;
        for _ in 0..400 {
            if rig.line.ended() {
                break;
            }
            let wish = match below(6) {
                0 | 1 if at < bytes.len() && rig.line.wants() > 0 => {
                    let some = (1 + below(5_000) as usize).min(rig.line.wants()).min(bytes.len() - at);
                    rig.line.bytes(rig.now, &bytes[at..at + some]);
                    at += some;
                    rig.turn()
                }
                2 if !rig.line.out().is_empty() => {
                    let some = 1 + below(rig.line.out().len() as u64) as usize;
                    rig.line.wrote(some);
                    rig.turn()
                }
                3 => {
                    rig.now += below(3_000) as f64 / 1000.0;
                    rig.turn()
                }
                4 if out.is_some() => {
                    let statement_id: u64 = out.take().expect("checked");
                    let answer = match below(4) {
                        0 => Answer::Completed(b"rows".to_vec(), Some("mark".to_string())),
                        1 => Answer::Aborted,
                        2 => Answer::Unusable,
                        _ => Answer::Rejected(0.0),
                    };
                    rig.line.answer(rig.now, statement_id, answer, &mut rig.remarks);
                    answered += 1;
                    assert!(!rig.line.out().is_empty(), "an answer is words");
                    rig.turn()
                }
                5 if below(20) == 0 => {
                    closed = true;
                    rig.line.closed()
                }
                _ => None,
            };
            match wish {
                Some(Wish::Ask { statement, time }) => {
                    assert_eq!(out, None, "one at a time");
                    assert!(statement.wait == 0.5 && time <= rig.now + 0.5);
                    asked += 1;
                    rig.line.asked(asked);
                    out = Some(asked);
                    assert_eq!(rig.line.due(), f64::INFINITY, "only the desk ends its time");
                }
                Some(Wish::Gone(statement_id)) => {
                    assert_eq!(out.take(), Some(statement_id));
                    gone += 1;
                }
                None => {}
            }
            assert!(out.is_none() || !rig.line.ended(), "an end that owes an answer, unsaid");
            let bound = rig.now + REST + 0.5 + LATE;
            assert!(out.is_some() || rig.line.ended() || rig.line.due() <= bound, "a wait without an end");
            assert!(rig.line.rests().is_none() || (out.is_none() && rig.line.wants() > 0));
        }
        assert_eq!(asked, answered + gone + u64::from(out.is_some()), "seed {seed}, closed {closed}");
        rig.line.release(&mut rig.budget);
        assert_eq!(rig.budget.held(), (0, 0, 0), "seed {seed}");
    }
}

/// Late by this machine's own doing: said up to its grace, and not begun after it.
#[test]
fn an_answer_has_a_grace_and_then_its_client_the_time_to_leave() {
    for (late, is_said) in [(0.0, true), (LATE - 0.01, true), (LATE + 0.01, false)] {
        let (mut rig, mut said) = (Rig::new(), Vec::new());
        rig.hear(&pg::hello(), &mut said);
        let Some(Wish::Ask { time, .. }) = rig.hear(&statement(1), &mut said) else { panic!("a wish") };
        rig.line.asked(1);
        rig.now = time + late;
        rig.line.answer(rig.now, 1, Answer::Aborted, &mut rig.remarks);
        assert_eq!(rig.turn(), None);
        assert_eq!(!rig.line.out().is_empty(), is_said);
        if !is_said {
            assert_eq!(rig.remarks, [Remark::Forsaken]);
            // The end is the client's to make, for a while.
            assert!(!rig.line.ended() && rig.line.wants() > 0);
            rig.now += REST;
            rig.turn();
            assert!(rig.line.ended());
        }
    }
}

/// Who says nothing, drips, or only ever asks for nothing goes in the page's time; who has asked may rest as long.
#[test]
fn lines_that_bring_no_statement_end_in_their_time() {
    let mut rig = Rig::new();
    rig.now += REST;
    rig.turn();
    assert!(rig.line.ended() && rig.remarks == [Remark::Rested]);

    let (mut rig, mut said) = (Rig::new(), Vec::new());
    let begun = rig.now;
    let mut flood = pg::hello();
    let mut nothing = Vec::new();
    pg::query(&mut nothing, b";");
    while rig.now < begun + 3.0 * REST && !rig.line.ended() {
        let bytes = std::mem::replace(&mut flood, nothing.clone());
        rig.hear(&bytes, &mut said);
        rig.now += 0.01;
    }
    assert!(rig.now < begun + REST + 0.05, "{}", rig.now - begun);

    let (mut rig, mut said) = (Rig::new(), Vec::new());
    rig.hear(&pg::hello(), &mut said);
    assert_eq!(rig.line.rests().map(|r| r.0), Some(Holder::Stranger));
    rig.now += 1.5;
    rig.hear(&statement(1), &mut said);
    rig.line.asked(1);
    rig.line.answer(rig.now, 1, Answer::Aborted, &mut rig.remarks);
    rig.flow(&mut said);
    assert_eq!(rig.line.rests().map(|r| r.0), Some(Holder::Client));
    rig.now += 1.9;
    rig.hear(&statement(2)[..9], &mut said);
    // The command that begins has its own time, not what is left of the rest.
    rig.now += 1.9;
    rig.turn();
    assert!(!rig.line.ended());
    rig.now += 0.2;
    rig.flow(&mut said);
    assert!(rig.line.ended());
    assert_eq!(frames(&said).1.last().map(String::as_str), Some("08P01"));
}

/// Behind others on its connection a statement's time runs on: its client counts from the sending.
#[test]
fn a_pipelined_statement_has_the_time_that_its_client_gives_it_from_its_own_last_byte() {
    let (mut rig, mut said) = (Rig::new(), Vec::new());
    rig.hear(&pg::hello(), &mut said);
    let begun = rig.now;
    let two = [statement(1), statement(2)].concat();
    let Some(Wish::Ask { time, .. }) = rig.hear(&two, &mut said) else { panic!("a wish") };
    assert!((time - begun - 0.5).abs() < 1e-6);
    rig.line.asked(1);
    // A third comes in two pieces while the first is out: it counts from its second.
    rig.now = begun + 0.1;
    rig.line.bytes(rig.now, &statement(3)[..20]);
    rig.now = begun + 0.2;
    rig.line.bytes(rig.now, &statement(3)[20..]);
    rig.now = begun + 0.4;
    for (statement_id, due) in [(1, 0.5), (2, 0.7)] {
        rig.line.answer(rig.now, statement_id, Answer::Aborted, &mut rig.remarks);
        let Some(Wish::Ask { time, .. }) = rig.flow(&mut said) else { panic!("a wish") };
        assert!((time - begun - due).abs() < 1e-6, "{}", time - begun);
        rig.line.asked(statement_id + 1);
    }
}

/// What found no room to be read may have come as soon as there was none: nobody can tell, and its client counts.
#[test]
fn what_waited_in_the_socket_has_its_time_from_when_it_may_have_come() {
    let (mut rig, mut said) = (Rig::new(), Vec::new());
    rig.hear(&pg::hello(), &mut said);
    let begun = rig.now;
    let burst: Vec<u8> = (1..200).flat_map(statement).collect();
    let mut at = 0;
    while rig.line.wants() > 0 {
        let some = rig.line.wants().min(burst.len() - at);
        rig.line.bytes(rig.now, &burst[at..at + some]);
        at += some;
        if let Some(Wish::Ask { .. }) = rig.flow(&mut said) {
            rig.line.asked(1);
        }
    }
    assert!(at < burst.len(), "a bound on what is held");
    rig.now = begun + 0.3;
    rig.line.answer(rig.now, 1, Answer::Aborted, &mut rig.remarks);
    let mut statement_id = 2;
    while let Some(Wish::Ask { time, .. }) = rig.flow(&mut said) {
        assert!(time <= begun + 0.5 + 1e-6, "statement {statement_id}: {}", time - begun);
        rig.line.asked(statement_id);
        let some = rig.line.wants().min(burst.len() - at);
        rig.line.bytes(rig.now, &burst[at..at + some]);
        at += some;
        rig.line.answer(rig.now, statement_id, Answer::Aborted, &mut rig.remarks);
        statement_id += 1;
    }
    assert_eq!((statement_id, at), (200, burst.len()));
    // All is read: what comes after a pause has its time from then.
    rig.now = begun + 1.0;
    let Some(Wish::Ask { time, .. }) = rig.hear(&statement(900), &mut said) else { panic!("a wish") };
    assert!((time - begun - 1.5).abs() < 1e-6);
}

/// One statement that can't be read, or whose time is up, costs those behind it nothing.
#[test]
fn a_statement_that_is_wrong_in_itself_leaves_the_connection_to_those_behind_it() {
    let (mut rig, mut said) = (Rig::new(), Vec::new());
    let mut bytes = pg::hello();
    pg::query(&mut bytes, b"/* id=a,c=look,d=much,cluster=3 */ SELECT 'k'");
    pg::query(&mut bytes, b"/* id=b,c=look,d=0,cluster=3 */ SELECT 'k'");
    bytes.extend_from_slice(&statement(1));
    let Some(Wish::Ask { statement: first, time }) = rig.hear(&bytes, &mut said) else { panic!("a wish") };
    assert_eq!((first.id.as_str(), time), ("b", rig.now));
    rig.line.asked(1);
    rig.line.answer(rig.now, 1, Answer::Unusable, &mut rig.remarks);
    let Some(Wish::Ask { statement: second, .. }) = rig.flow(&mut said) else { panic!("a wish") };
    assert_eq!(second.id, "s1");
    rig.line.asked(2);
    rig.line.answer(rig.now, 2, Answer::Aborted, &mut rig.remarks);
    assert_eq!(rig.flow(&mut said), None);
    assert_eq!(
        frames(&said),
        ("RSSSKZEZEZEZ".to_string(), ["42601", "42710", "57014"].map(String::from).to_vec())
    );
    assert!(!rig.line.ended());
}

/// What has begun to come from a client that asked before is no rest: its end may be there by the time of a close.
#[test]
fn a_command_that_has_begun_is_no_rest() {
    let (mut rig, mut said) = (Rig::new(), Vec::new());
    rig.hear(&pg::hello(), &mut said);
    rig.hear(&statement(1), &mut said);
    rig.line.asked(1);
    rig.line.answer(rig.now, 1, Answer::Aborted, &mut rig.remarks);
    rig.flow(&mut said);
    assert!(rig.line.rests().is_some());
    rig.hear(&statement(2)[..9], &mut said);
    assert_eq!(rig.line.rests(), None);
    // One that has yet to ask may go for others all the same, or a few bytes would hold a place.
    let mut stranger = Rig::new();
    stranger.hear(&pg::hello()[..5], &mut said);
    assert!(stranger.line.rests().is_some());
}

/// Its time was over before its turn came: it is told all the same, or those behind it would be lost with it.
#[test]
fn a_statement_whose_time_ran_out_behind_others_is_told_and_holds_up_none() {
    let (mut rig, mut said) = (Rig::new(), Vec::new());
    let mut burst = pg::hello();
    pg::query(&mut burst, b"/* id=s1,c=look,d=5000,cluster=3 */ SELECT 'k'");
    burst.extend_from_slice(&[statement(2), statement(3)].concat());
    let Some(Wish::Ask { .. }) = rig.hear(&burst, &mut said) else { panic!("a wish") };
    rig.line.asked(1);
    rig.now += 2.0;
    rig.line.answer(rig.now, 1, Answer::Aborted, &mut rig.remarks);
    for statement_id in 2..4 {
        let Some(Wish::Ask { time, .. }) = rig.flow(&mut said) else { panic!("a wish") };
        assert!(time + LATE < rig.now);
        rig.line.asked(statement_id);
        rig.line.answer(rig.now, statement_id, Answer::Rejected(0.0), &mut rig.remarks);
    }
    rig.flow(&mut said);
    assert_eq!((frames(&said).1.len(), rig.remarks.as_slice()), (3, &[][..]));
}

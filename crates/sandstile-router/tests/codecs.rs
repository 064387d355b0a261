//! Property tests of the codecs and of the mapping of outcomes: random bytes and splits, each from a fixed seed.
use crossbeam_channel::RecvTimeoutError;
use quickcheck::{Gen, QuickCheck, Testable};
use sandstile_deployment::session_slots::{SessionSlots, WriteSlot, MAX_SESSION_BYTES, SLOT_BYTES};
use sandstile_deployment::{host_list, interner::Interner, settings};
use sandstile_policy::terms::{OutcomeClass, Readiness};
use sandstile_router::budget::{Budget, Claim, Holder};
use sandstile_router::discovery::ChunkDecoder;
use sandstile_router::lists;
use sandstile_router::mailbox;
use sandstile_router::outcome::{Ending, ALL};
use sandstile_router::pg::{self, Answer, Stage};
use sandstile_router::sqlstate;
use sandstile_router::statement::{self, StatementError, Workload};
use sandstile_router::task::StatementPayload;
use std::thread;
use std::time::Duration;

const TEST_TIMEOUT: Duration = Duration::from_secs(10);

fn check_property(property: impl Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 11)).tests(2_000).quickcheck(property);
}

fn workloads() -> Vec<Workload> {
    [("look", false), ("own", true)]
        .map(|(name, sessions)| Workload { name: name.to_string(), sessions, writes: false })
        .into()
}

#[test]
fn random_bytes_neither_panic_a_codec_nor_consume_more_than_the_input() {
    fn stays_within_input(bytes: Vec<u8>, part_length: usize) -> bool {
        let startup = pg::startup(&bytes);
        let frame = pg::frame(&bytes);
        let mut answer = Answer::default();
        for part in bytes.chunks(1 + part_length % 20) {
            let _ = answer.take(part[0], &part[1..]);
        }
        let _ = answer.text();
        let mut text = b"/* c=look,d=5,cluster=3".to_vec();
        text.extend_from_slice(&bytes);
        let _ = statement::read(text, &workloads());
        startup.is_err()
            || startup.is_ok_and(|s| s.is_none_or(|(_, n)| n <= bytes.len())) && {
                frame.is_err() || frame.is_ok_and(|f| f.is_none_or(|(_, body)| body.end <= bytes.len()))
            }
    }
    check_property(stays_within_input as fn(Vec<u8>, usize) -> bool);
}

#[test]
fn a_frame_is_decoded_as_it_was_written_however_it_is_split() {
    fn round_trips(tag: u8, body: Vec<u8>, rest: Vec<u8>) -> bool {
        let mut out = Vec::new();
        pg::write_frame(&mut out, tag, &[&body]);
        let whole = out.len();
        let early = (0..whole).all(|n| pg::frame(&out[..n]) == Ok(None));
        out.extend_from_slice(&rest);
        early && pg::frame(&out).is_ok_and(|f| f.is_some_and(|(t, at)| t == tag && out[at] == body))
    }
    check_property(round_trips as fn(u8, Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn only_field_d_is_rewritten_and_fields_may_be_in_any_order() {
    fn rewrites_only_d(order: Vec<u8>, d: u16, timeout: u16, tail: Vec<u8>, quotes: bool) -> bool {
        let d = u32::from(d) + 1;
        let quote = if quotes { "'" } else { "" };
        let mut fields =
            vec!["c=own".to_string(), "cluster='7'".into(), "id=4a".into(), "after=1767225600123".into()];
        fields.push("r=1".into());
        for (i, n) in order.iter().enumerate().take(9) {
            fields.swap(i % 5, *n as usize % 5);
        }
        let at = order.len() % 6;
        let with = |d: &str| {
            let mut fields = fields.clone();
            fields.insert(at, format!("d={quote}{d}{quote}"));
            let mut text =
                format!("/* {} */ SELECT p FROM e WHERE ref = 'k9' ", fields.join(",")).into_bytes();
            text.extend_from_slice(&tail);
            text
        };
        let statement = statement::read(with(&d.to_string()), &workloads()).expect("a statement");
        let mut expected = Vec::new();
        let timeout = f64::from(timeout) / 1000.0 + 0.0004;
        let ms = ((timeout * 1000.0) as u64).max(1);
        pg::write_frame(&mut expected, b'Q', &[&with(&ms.to_string()), b"\0"]);
        statement.query.message(timeout) == expected
            && statement.workload == 1
            && statement.group == "7"
            && statement.session.as_deref() == Some("k9")
            && statement.last_write_at == Some(1_767_225_600.123)
            && statement.retry
            && (statement.timeout - f64::from(d) / 1000.0).abs() < 1e-9
    }
    check_property(rewrites_only_d as fn(Vec<u8>, u16, u16, Vec<u8>, bool) -> bool);
    let error_of = |text: &str| statement::read(text.as_bytes().to_vec(), &workloads()).err();
    assert_eq!(error_of("/* id=1,c=look,d=5 */ SELECT 1"), Some(StatementError::Group));
    assert_eq!(error_of("/* id=1,c=look,d=-5,cluster=3 */ SELECT 1"), Some(StatementError::Timeout));
    assert_eq!(error_of("/* id=1,c=look,d=5,cluster=3,after=x */ SELECT 1"), Some(StatementError::LastWrite));
    assert_eq!(error_of("/* c,d=5,cluster=3 */ SELECT 1"), Some(StatementError::Comment));
    assert_eq!(error_of("/* c=look,d=5,cluster=3 */ SELECT 1"), Some(StatementError::Id));
    assert_eq!(error_of(""), Some(StatementError::NoComment));
}

#[test]
fn an_answer_is_complete_only_with_one_row_of_one_column_in_order() {
    let frames: [(u8, &[u8]); 4] = [
        (b'T', b"\0\x01x\0"),
        (b'D', b"\0\x01\0\0\0\x02ab"),
        (b'C', b"SELECT 1\0"),
        (b'S', b"wal_time\x001500\0"),
    ];
    let mut answer = Answer::default();
    assert!(frames.iter().all(|(tag, body)| answer.take(*tag, body) == Ok(false)));
    assert_eq!((answer.text(), answer.position, &answer.stage), ("ab", Some(1.5), &Stage::Complete));
    assert!(answer.take(frames[1].0, frames[1].1).is_err(), "a second row");
    let first = |tag: u8, body: &[u8]| Answer::default().take(tag, body);
    assert!(
        first(b'D', frames[1].1).is_err() && first(b'C', b"").is_err() && first(b'T', b"\0\x02").is_err()
    );
    let mut short = Answer::default();
    assert!(short.take(b'T', frames[0].1).is_ok() && short.take(b'D', b"\0\x01\0\0\0\x03ab").is_err());
}

/// A non-idempotent statement may only be executed again after an outcome that proves that it never ran.
#[test]
fn outcomes_after_a_complete_write_are_never_classed_as_never_ran() {
    use Ending::*;
    let never_ran = |e: &Ending| {
        matches!(
            e.outcome_class(),
            OutcomeClass::Full
                | OutcomeClass::ConnectFailed
                | OutcomeClass::NotSent
                | OutcomeClass::WrongHost
        )
    };
    let written = [Completed, Failed, Broken, Crossed, CutShort, Garbled, Unreadable, TimedOut, Withdrawn];
    assert!(ALL.iter().all(|e| never_ran(e) != written.contains(e)));
    assert!(ALL.iter().enumerate().all(|(i, e)| *e as usize == i), "counters are kept by this order");
    assert_eq!([sqlstate::ending("25006"), sqlstate::ending("72000")], [Missed, Missed]);
    assert_eq!([sqlstate::ending("53300"), sqlstate::ending("57P03")], [TurnedAway, Failed]);
}

#[test]
fn chunked_content_is_decoded_alike_however_it_is_split() {
    fn decodes_alike(content: Vec<Vec<u8>>, cuts: Vec<u8>) -> bool {
        let mut encoded = Vec::new();
        for part in content.iter().filter(|p| !p.is_empty()) {
            encoded.extend_from_slice(format!("{:X};x=y\r\n", part.len()).as_bytes());
            encoded.extend_from_slice(part);
            encoded.extend_from_slice(b"\r\n");
        }
        encoded.extend_from_slice(b"0\r\n\r\n");
        let (mut chunks, mut buf, mut out) = (ChunkDecoder::new(true), Vec::new(), Vec::new());
        let (mut at, mut cuts) = (0, cuts.into_iter().chain(std::iter::repeat(3)));
        while at < encoded.len() {
            let to = (at + 1 + cuts.next().unwrap_or(0) as usize % 9).min(encoded.len());
            buf.extend_from_slice(&encoded[at..to]);
            chunks.decode(&mut buf, &mut out).expect("chunks");
            at = to;
        }
        out == content.concat() && chunks.end
    }
    check_property(decodes_alike as fn(Vec<Vec<u8>>, Vec<u8>) -> bool);
    assert!(ChunkDecoder::new(true).decode(&mut b"zz\r\n".to_vec(), &mut Vec::new()).is_err());
    assert!(ChunkDecoder::new(true).decode(&mut b"ffffffffffffffff\r\n".to_vec(), &mut Vec::new()).is_err());
}

#[test]
fn only_unreadable_list_entries_are_left_out() {
    let read = |text: &str| lists::parse(&serde_json::from_str(text).expect("json"));
    let text = r#"{"index":7,"snapshot":false,"endpoints":[{"name":"a","group":3,"status":"leaving"},
        {"name":"b","group":"g","status":"dancing"},{"name":"c","address":"127.0.0.1:1","group":4,"status":"active",
        "since_ms":1500,"mode":"read-write"}]}"#;
    let (update, problem) = read(text).expect("a list");
    assert_eq!(problem.as_deref(), Some("b: unknown status 'dancing'"));
    let states: Vec<_> =
        update.entries.iter().map(|e| (e.host.as_str(), e.readiness, e.primary, e.since)).collect();
    assert_eq!(states, [("a", Readiness::Draining, false, 0.0), ("c", Readiness::Active, true, 1.5)]);
    assert!(read("{}").is_err() && read(r#"{"index":1,"snapshot":true}"#).is_err());
    let (mut host_list, mut hosts, mut groups) =
        (host_list::HostList::default(), Interner::default(), Interner::default());
    assert_eq!(host_list.merge(false, &update.entries, &mut hosts, &mut groups).len(), 2);
    let gone = host_list.merge(true, &update.entries[..1], &mut hosts, &mut groups);
    assert_eq!(
        gone.iter().map(|m| m.readiness).collect::<Vec<_>>(),
        [Readiness::Gone],
        "only what has changed"
    );
    assert!(host_list.merge(false, &update.entries[..1], &mut hosts, &mut groups).is_empty());
    assert!(host_list.drop_gone(|_| false).is_empty());
    assert_eq!(host_list.drop_gone(|_| true), [("c".to_string(), 1)]);
    assert_eq!(host_list.drop_empty_groups(|_| true), [1], "the other one still has a host");
    assert!(host_list.drop_empty_groups(|_| true).is_empty());
}

#[test]
fn interned_names_keep_their_index_until_they_are_released() {
    let mut names = Interner::default();
    assert_eq!(["a", "b", "a", "c", "b", "a"].map(|n| names.intern(n)), [0, 1, 0, 2, 1, 0]);
    assert_eq!((names.find("b"), names.find("d"), names.name(2)), (Some(1), None, "c"));
    names.release("b");
    names.release_index(0);
    assert_eq!((names.find("b"), names.find("a")), (None, None));
    assert_eq!(["c", "d", "e", "f"].map(|n| names.intern(n)), [2, 0, 1, 3]);
}

/// Guards against session names whose number or length decides how much memory the router takes: the slots stay within
/// their bytes, a session keeps its slot, and a shared one is reported.
#[test]
fn sessions_share_slots_within_a_fixed_number_of_bytes() {
    let mut slots = SessionSlots::new(7);
    let name = |n: usize| format!("{n}").repeat(1 + n % 50);
    let assigned: Vec<WriteSlot> = (0..100_000).map(|n| slots.write_slot(&name(n))).collect();
    let highest = assigned.iter().map(|write| write.slot).max().expect("slots");
    assert!((highest + 1) * SLOT_BYTES <= MAX_SESSION_BYTES, "{highest}");
    assert!(assigned.iter().enumerate().all(|(n, write)| slots.slot(&name(n)) == write.slot));
    let shared = assigned.iter().filter(|write| write.is_shared).count();
    assert!(!assigned[0].is_shared && shared > 100_000 - highest - 2, "{shared}");
    let again = slots.write_slot(&name(99_999));
    assert_eq!(again, WriteSlot { slot: assigned[99_999].slot, is_shared: false });
    assert_ne!(SessionSlots::new(8).slot("u"), slots.slot("u"), "the seed decides");
}

#[test]
fn nested_settings_are_flattened_to_dotted_paths() {
    let json = serde_json::json!({"a": {"b": [1.5, "x"], "c": []}, "classes": [{"name": "n o"}], "t": true, "n": null});
    let facts: Vec<String> = settings::flatten(&json).into_iter().map(|(k, v)| format!("{k}={v}")).collect();
    assert_eq!(facts, ["a.b=1.5,x", "a.c=", "classes.0.name=n o", "classes.count=1", "n=", "t=true"]);
}

/// When more than a quarter of the clients' share is idle, the oldest idle client is closed for each new one, those
/// that have not sent a statement first. For lack of descriptors, idle upstream connections are closed first,
/// unless the clients' share is full.
#[test]
fn idle_clients_are_closed_to_make_room_for_new_ones() {
    let mut budget = Budget::new(20, 8, 0);
    let holders = [
        Holder::UpstreamConnection,
        Holder::ClientConnection,
        Holder::NewClientConnection,
        Holder::NewClientConnection,
        Holder::ClientConnection,
        Holder::ClientConnection,
        Holder::ClientConnection,
    ];
    for (line, holder) in holders.into_iter().enumerate() {
        budget.mark_idle(holder, line);
    }
    let evicted: Vec<_> = (0..7)
        .filter_map(|_| {
            assert_eq!(budget.claim(Holder::ClientConnection), Claim::Granted);
            budget.take_surplus_client()
        })
        .collect();
    assert_eq!(evicted, [2, 3, 1, 4]);
    assert_eq!(budget.claim(Holder::ClientConnection), Claim::Granted);
    assert_eq!(budget.claim(Holder::ClientConnection), Claim::Evict(Holder::ClientConnection, 5));
    for _ in 0..12 {
        assert_eq!(budget.claim(Holder::UpstreamConnection), Claim::Granted);
    }
    assert_eq!(budget.claim(Holder::UpstreamConnection), Claim::Evict(Holder::UpstreamConnection, 0));
    assert!(budget.can_claim(Holder::UpstreamConnection));
    assert_eq!(budget.claim(Holder::UpstreamConnection), Claim::Evict(Holder::ClientConnection, 6));
    assert_eq!(
        (budget.can_claim(Holder::UpstreamConnection), budget.claim(Holder::UpstreamConnection)),
        (false, Claim::Full)
    );
    budget.release(Holder::ClientConnection);
    assert_eq!(budget.claim(Holder::UpstreamConnection), Claim::Granted);
    assert!(!budget.reserve_bytes(1));
}

/// Covers messages sent before the reader first looks, messages that arrive while it sleeps, and the drop of the
/// last sender.
#[test]
fn mailboxes_wake_their_reader_for_messages_and_for_the_last_drop() {
    let (sender, mailbox) = mailbox::mailbox();
    let writers: Vec<_> = (0..4u32)
        .map(|n| {
            let sender = sender.clone();
            thread::spawn(move || (0..250).for_each(|i| assert!(sender.send(n * 250 + i))))
        })
        .collect();
    let mut received: Vec<u32> =
        (0..1000).map(|_| mailbox.recv(Some(TEST_TIMEOUT)).expect("a message")).collect();
    received.sort_unstable();
    assert!(received.into_iter().eq(0..1000));
    writers.into_iter().for_each(|writer| writer.join().expect("a writer"));
    assert_eq!(mailbox.recv(Some(Duration::from_millis(5))), Err(RecvTimeoutError::Timeout));
    let last = thread::spawn(move || drop(sender));
    assert_eq!(mailbox.recv(None), Err(RecvTimeoutError::Disconnected));
    last.join().expect("a writer");
    let (sender, mailbox) = mailbox::single_slot_mailbox();
    assert!(sender.send(1) && !sender.send(2));
    assert_eq!(mailbox.recv(None), Ok(1));
    drop(mailbox);
    assert!(!sender.send(3));
}

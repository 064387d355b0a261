//! Random bytes and pieces through the codecs and the mapping of endings, each from a fixed seed.
use crossbeam_channel::RecvTimeoutError;
use quickcheck::{Gen, QuickCheck, Testable};
use sandstile_deployment::{host_list, interner::Interner, settings};
use sandstile_policy::terms::{OutcomeClass, Readiness};
use sandstile_router::budget::{Budget, Claim, Holder};
use sandstile_router::discovery::Chunks;
use sandstile_router::lists;
use sandstile_router::mailbox;
use sandstile_router::outcome::{Ending, ALL};
use sandstile_router::pg::{self, Answer, Stage};
use sandstile_router::sqlstate;
use sandstile_router::statement::{self, StatementError, Workload};
use sandstile_router::task::StatementPayload;
use std::thread;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(10);

fn holds(property: impl Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 11)).tests(2_000).quickcheck(property);
}

fn workloads() -> Vec<Workload> {
    [("look", false), ("own", true)]
        .map(|(name, sessions)| Workload { name: name.to_string(), sessions, writes: false })
        .into()
}

#[test]
fn no_bytes_make_a_codec_panic_or_take_more_than_there_is() {
    fn any(bytes: Vec<u8>, cut: usize) -> bool {
        let startup = pg::startup(&bytes);
        let frame = pg::frame(&bytes);
        let mut answer = Answer::default();
        for part in bytes.chunks(1 + cut % 20) {
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
    holds(any as fn(Vec<u8>, usize) -> bool);
}

#[test]
fn a_frame_comes_back_as_it_was_put_however_it_is_cut() {
    fn back(tag: u8, body: Vec<u8>, rest: Vec<u8>) -> bool {
        let mut out = Vec::new();
        pg::write_frame(&mut out, tag, &[&body]);
        let whole = out.len();
        let early = (0..whole).all(|n| pg::frame(&out[..n]) == Ok(None));
        out.extend_from_slice(&rest);
        early && pg::frame(&out).is_ok_and(|f| f.is_some_and(|(t, at)| t == tag && out[at] == body))
    }
    holds(back as fn(u8, Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn only_d_is_written_anew_and_the_fields_may_stand_in_any_order() {
    fn passes(order: Vec<u8>, d: u16, wait: u16, tail: Vec<u8>, quotes: bool) -> bool {
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
        let mut wanted = Vec::new();
        let wait = f64::from(wait) / 1000.0 + 0.0004;
        let ms = ((wait * 1000.0) as u64).max(1);
        pg::write_frame(&mut wanted, b'Q', &[&with(&ms.to_string()), b"\0"]);
        statement.message(wait) == wanted
            && statement.workload == 1
            && statement.group == "7"
            && statement.session.as_deref() == Some("k9")
            && statement.after == Some(1_767_225_600.123)
            && statement.retry
            && (statement.wait - f64::from(d) / 1000.0).abs() < 1e-9
    }
    holds(passes as fn(Vec<u8>, u16, u16, Vec<u8>, bool) -> bool);
    let wrong = |text: &str| statement::read(text.as_bytes().to_vec(), &workloads()).err();
    assert_eq!(wrong("/* id=1,c=look,d=5 */ SELECT 1"), Some(StatementError::Group));
    assert_eq!(wrong("/* id=1,c=look,d=-5,cluster=3 */ SELECT 1"), Some(StatementError::Wait));
    assert_eq!(wrong("/* id=1,c=look,d=5,cluster=3,after=x */ SELECT 1"), Some(StatementError::After));
    assert_eq!(wrong("/* c,d=5,cluster=3 */ SELECT 1"), Some(StatementError::Comment));
    assert_eq!(wrong("/* c=look,d=5,cluster=3 */ SELECT 1"), Some(StatementError::Id));
    assert_eq!(wrong(""), Some(StatementError::NoComment));
}

#[test]
fn an_answer_is_whole_only_as_one_row_of_one_column_in_order() {
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

/// Only what proves that nothing ran may lead to another execution of a non-idempotent statement.
#[test]
fn endings_after_the_last_written_byte_never_pass_for_never_ran() {
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
fn chunks_come_out_the_same_however_they_are_cut() {
    fn same(content: Vec<Vec<u8>>, cuts: Vec<u8>) -> bool {
        let mut coded = Vec::new();
        for part in content.iter().filter(|p| !p.is_empty()) {
            coded.extend_from_slice(format!("{:X};x=y\r\n", part.len()).as_bytes());
            coded.extend_from_slice(part);
            coded.extend_from_slice(b"\r\n");
        }
        coded.extend_from_slice(b"0\r\n\r\n");
        let (mut chunks, mut buf, mut out) = (Chunks::new(true), Vec::new(), Vec::new());
        let (mut at, mut cuts) = (0, cuts.into_iter().chain(std::iter::repeat(3)));
        while at < coded.len() {
            let to = (at + 1 + cuts.next().unwrap_or(0) as usize % 9).min(coded.len());
            buf.extend_from_slice(&coded[at..to]);
            chunks.take(&mut buf, &mut out).expect("chunks");
            at = to;
        }
        out == content.concat() && chunks.end
    }
    holds(same as fn(Vec<Vec<u8>>, Vec<u8>) -> bool);
    assert!(Chunks::new(true).take(&mut b"zz\r\n".to_vec(), &mut Vec::new()).is_err());
    assert!(Chunks::new(true).take(&mut b"ffffffffffffffff\r\n".to_vec(), &mut Vec::new()).is_err());
}

#[test]
fn lists_lose_only_what_cannot_be_read() {
    let read = |text: &str| lists::read(&serde_json::from_str(text).expect("json"));
    let text = r#"{"index":7,"snapshot":false,"endpoints":[{"name":"a","group":3,"status":"leaving"},
        {"name":"b","group":"g","status":"dancing"},{"name":"c","address":"127.0.0.1:1","group":4,"status":"active",
        "since_ms":1500,"mode":"read-write"}]}"#;
    let (update, wrong) = read(text).expect("a list");
    assert_eq!(wrong.as_deref(), Some("b: status 'dancing'"));
    let states: Vec<_> =
        update.entries.iter().map(|e| (e.host.as_str(), e.readiness, e.primary, e.since)).collect();
    assert_eq!(states, [("a", Readiness::Draining, false, 0.0), ("c", Readiness::Active, true, 1.5)]);
    assert!(read("{}").is_err() && read(r#"{"index":1,"snapshot":true}"#).is_err());
    let (mut kept, mut hosts, mut groups) =
        (host_list::HostList::default(), Interner::default(), Interner::default());
    assert_eq!(kept.merge(false, &update.entries, &mut hosts, &mut groups).len(), 2);
    let gone = kept.merge(true, &update.entries[..1], &mut hosts, &mut groups);
    assert_eq!(
        gone.iter().map(|m| m.readiness).collect::<Vec<_>>(),
        [Readiness::Gone],
        "only what has changed"
    );
    assert!(kept.merge(false, &update.entries[..1], &mut hosts, &mut groups).is_empty());
    assert!(kept.drop_gone(|_| false).is_empty());
    assert_eq!(kept.drop_gone(|_| true), [("c".to_string(), 1)]);
    assert_eq!(kept.drop_empty_groups(|_| true), [1], "the other one still has a host");
    assert!(kept.drop_empty_groups(|_| true).is_empty());
}

#[test]
fn names_keep_their_index_and_bounded_ones_give_the_oldest_away() {
    let mut names = Interner::with_limit(2);
    assert_eq!(["a", "b", "a", "c", "b", "a"].map(|n| names.intern(n)), [0, 1, 0, 0, 1, 1]);
    assert_eq!((names.find("b"), names.find("a"), names.name(0)), (None, Some(1), "c"));
    let mut names = Interner::default();
    assert_eq!(["a", "b", "c"].map(|n| names.intern(n)), [0, 1, 2]);
    names.release("b");
    names.release_index(0);
    assert_eq!(["c", "d", "e", "f"].map(|n| names.intern(n)), [2, 0, 1, 3]);
}

#[test]
fn nested_settings_take_the_paths_of_the_wire() {
    let json = serde_json::json!({"a": {"b": [1.5, "x"], "c": []}, "classes": [{"name": "n o"}], "t": true, "n": null});
    let facts: Vec<String> = settings::flatten(&json).into_iter().map(|(k, v)| format!("{k}={v}")).collect();
    assert_eq!(facts, ["a.b=1.5,x", "a.c=", "classes.0.name=n o", "classes.count=1", "n=", "t=true"]);
}

/// Where more than a quarter of what clients may hold rests, the oldest goes for each that comes, strangers first; for
/// want of descriptors idle links go first, unless it is the clients' share that is full.
#[test]
fn a_crowd_that_rests_leaves_room_for_those_who_ask() {
    let mut budget = Budget::new(20, 8, 0);
    let kinds = [
        Holder::UpstreamConnection,
        Holder::ClientConnection,
        Holder::NewClientConnection,
        Holder::NewClientConnection,
        Holder::ClientConnection,
        Holder::ClientConnection,
        Holder::ClientConnection,
    ];
    for (line, holder) in kinds.into_iter().enumerate() {
        budget.mark_idle(holder, line);
    }
    let told: Vec<_> = (0..7)
        .filter_map(|_| {
            assert_eq!(budget.claim(Holder::ClientConnection), Claim::Granted);
            budget.take_surplus_client()
        })
        .collect();
    assert_eq!(told, [2, 3, 1, 4]);
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

/// Mail that came before its reader first looked, while it sleeps, and the end of the last that could write.
#[test]
fn mailboxes_wake_their_reader_for_mail_and_for_the_end() {
    let (post, mailbox) = mailbox::mailbox();
    let writers: Vec<_> = (0..4u32)
        .map(|n| {
            let post = post.clone();
            thread::spawn(move || (0..250).for_each(|i| assert!(post.send(n * 250 + i))))
        })
        .collect();
    let mut got: Vec<u32> = (0..1000).map(|_| mailbox.recv(Some(PATIENCE)).expect("mail")).collect();
    got.sort_unstable();
    assert!(got.into_iter().eq(0..1000));
    writers.into_iter().for_each(|w| w.join().expect("a writer"));
    assert_eq!(mailbox.recv(Some(Duration::from_millis(5))), Err(RecvTimeoutError::Timeout));
    let last = thread::spawn(move || drop(post));
    assert_eq!(mailbox.recv(None), Err(RecvTimeoutError::Disconnected));
    last.join().expect("a writer");
    let (post, single_slot_mailbox) = mailbox::single_slot_mailbox();
    assert!(post.send(1) && !post.send(2));
    assert_eq!(single_slot_mailbox.recv(None), Ok(1));
    drop(single_slot_mailbox);
    assert!(!post.send(3));
}

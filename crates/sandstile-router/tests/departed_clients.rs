//! Clients that leave while their statements are open or unread, and ids that come again.
#[allow(dead_code)]
mod test_doubles;

use sandstile_dispatcher::{Command, Ending};
use std::net::Shutdown;
use std::sync::atomic::Ordering::SeqCst;
use test_doubles::*;

/// More than the sockets of this machine take.
const LONG_STATEMENT_BYTES: usize = 32 * 1024 * 1024;

fn crowd_config(primary: &Host, replicas: &[&Host]) -> String {
    config(DiscoveryAgent::start().address, &known(primary, replicas))
        .replace("\"sockets\":64", "\"sockets\":2048")
}

/// Asks for this client's statement and checks that no statement of others reaches the hosts meanwhile.
fn assert_only_own_statements(client: &mut Client, hosts: &[&Host]) {
    let received = |hosts: &[&Host]| hosts.iter().map(|host| host.count()).sum::<usize>();
    let own = 10;
    // Once this is answered, the router has learnt of everything that happened before it.
    assert!(client.ask(&read(1900)).value.is_some());
    let before = received(hosts);
    for _ in 0..own {
        assert!(client.ask(&read(1900)).value.is_some());
    }
    assert_eq!(received(hosts), before + own, "a statement of a client that had left was sent");
}

/// Guards against statements that are sent after their clients have closed their connections, with much still unread:
/// by an end of the stream, or by a reset.
#[test]
fn clients_that_leave_with_much_unread_start_nothing_more() {
    const CLIENTS: usize = 300;
    for resets in [false, true] {
        let (primary, replica) = (Host::start(true), Host::start(false));
        replica.script.lock().expect("script").replies.extend(vec![HostReply::Slow(20, b"slow"); 400]);
        let router = Router::start(&crowd_config(&primary, &[&replica]));
        let mut ordinary = router.client();
        let mut crowd: Vec<Client> = (0..CLIENTS).map(|_| router.client()).collect();
        for client in &mut crowd {
            client.send(&(0..60).flat_map(|_| query(&read(1900))).collect::<Vec<u8>>());
        }
        wait_for("first statements", || replica.answered.load(SeqCst) >= 20);
        for client in &crowd {
            // A socket that is closed over unread answers resets its connection.
            if !resets {
                client.stream.shutdown(Shutdown::Write).expect("a connection");
            }
        }
        if resets {
            crowd.clear();
        }
        assert_only_own_statements(&mut ordinary, &[&primary, &replica]);
        drop(crowd);
        let (ok, log) = router.end();
        assert!(ok, "{log}");
    }
}

/// Guards against a statement whose last bytes are written long after its client has left, where executions may not be
/// cancelled: its host would only begin then.
#[test]
fn a_statement_that_is_not_completely_written_ends_with_its_client() {
    let host = Host::start(false);
    host.script.lock().expect("script").reads_held = true;
    let mut driver = HostsDriver::new(host.address, 5.0);
    driver.start_long(7, LONG_STATEMENT_BYTES);
    driver.dial();
    wait_for("the first bytes", || {
        driver.turn();
        driver.hosts.start_waiting(&mut |_, _, _| true, &mut driver.context);
        driver.context.counters.sent.get() == 1
    });
    let leave = Command::CancelUnsent { host: 0, statement_id: 7, execution: 0 };
    driver.hosts.handle_command(leave, &mut driver.context);
    assert_eq!(driver.ending(), Some((7, Ending::WithdrawnUnsent)));
    assert_eq!(
        driver.context.budget.usage().0,
        0,
        "the connection is closed, so its host gets no further bytes"
    );
}

fn write_with_id(id: &str) -> String {
    format!("/* id={id},c=book,d=1900,cluster=3 */ INSERT INTO entries (ref, payload) VALUES ('k', 'x') RETURNING payload")
}

/// Guards against an id that runs twice because it comes again, in each order of its client's leaving and its coming:
/// after the answer, after its client has left, and before that.
#[test]
fn an_id_that_may_have_run_is_not_run_again() {
    for may_cancel in [true, false] {
        let primary = Host::scripted(true, &[HostReply::Row(b"first")]);
        let text =
            crowd_config(&primary, &[]).replace("\"mayCancel\":true", &format!("\"mayCancel\":{may_cancel}"));
        let router = Router::start(&text);
        let mut client = router.client();
        assert_eq!(value(&client.ask(&write_with_id("answered"))), b"first");
        assert_eq!(client.ask(&write_with_id("answered")).code.as_deref(), Some("42710"));
        assert_eq!(router.client().ask(&write_with_id("answered")).code.as_deref(), Some("42710"));

        // It comes again once its client has left.
        primary.script.lock().expect("script").replies.push_back(HostReply::Slow(300, b"late"));
        let mut leaving = router.client();
        leaving.send(&query(&write_with_id("left")));
        wait_for("the write", || primary.count() == 2);
        drop(leaving);
        // An ordinary statement is answered behind it: the router has learnt of the close.
        assert!(client.ask(&write(1900)).value.is_some());
        assert_eq!(router.client().ask(&write_with_id("left")).code.as_deref(), Some("42710"));
        wait_for("the end of the execution", || primary.answered.load(SeqCst) == 3);
        assert!(client.ask(&write(1900)).value.is_some());
        assert_eq!(router.client().ask(&write_with_id("left")).code.as_deref(), Some("42710"));

        // It comes again before its client leaves, and once more after that.
        primary.script.lock().expect("script").replies.push_back(HostReply::Slow(300, b"late"));
        let (mut leaving, mut second) = (router.client(), router.client());
        leaving.send(&query(&write_with_id("both")));
        wait_for("the write", || primary.count() == 5);
        assert_eq!(second.ask(&write_with_id("both")).code.as_deref(), Some("42710"));
        drop(leaving);
        assert!(client.ask(&write(1900)).value.is_some());
        wait_for("the end of the execution", || primary.answered.load(SeqCst) == 6);
        assert!(client.ask(&write(1900)).value.is_some());
        assert_eq!(second.ask(&write_with_id("both")).code.as_deref(), Some("42710"));
        assert_eq!(primary.count(), 7, "an id ran twice");
    }
}

/// A statement that its host refused without running it may come again under its id.
#[test]
fn an_id_that_has_not_run_may_come_again() {
    let primary = Host::scripted(true, &vec![HostReply::Fail("53300"); 8]);
    let router = Router::start(&crowd_config(&primary, &[]));
    let mut client = router.client();
    assert_eq!(client.ask(&write_with_id("full")).code.as_deref(), Some("53300"));
    primary.script.lock().expect("script").replies.clear();
    wait_for("the primary's return", || client.ask(&write_with_id("full")).value.is_some());
    assert_eq!(client.ask(&write_with_id("full")).code.as_deref(), Some("42710"));
}

//! Statements that wait for a connection to a database host: what was known when they were decided may be out of date
//! once there is one.
#[allow(dead_code)]
mod test_doubles;

use sandstile_dispatcher::{Command, Ending, HostTask, StartStep};
use std::sync::atomic::Ordering::SeqCst;
use test_doubles::*;

/// Longer than this test takes: no dial times out.
const LONG_DIAL_TIMEOUT: &str = "\"dialTimeoutMs\":60000.0";

fn patient_config(agent: &DiscoveryAgent, primary: &Host, replicas: &[&Host]) -> String {
    config(agent.address, &known(primary, replicas)).replace("\"dialTimeoutMs\":250.0", LONG_DIAL_TIMEOUT)
}

/// Guards against a statement that is sent to a draining host, long after the drain was told, because it had waited
/// for a connection to that host.
#[test]
fn a_statement_that_waits_for_a_dial_does_not_go_to_a_host_that_drains_meanwhile() {
    for status in ["leaving", "left"] {
        let (primary, replica) = (Host::start(true), Host::start(false));
        replica.script.lock().expect("script").startups_held = true;
        let agent = DiscoveryAgent::start();
        let mut router = Router::start(&patient_config(&agent, &primary, &[&replica]));
        let mut watch = agent.watch();
        watch.begin();
        let log = router.follow_log();
        let mut clients: Vec<Client> = (0..2).map(|_| router.client()).collect();
        clients.iter_mut().for_each(|client| client.send(&query(&read(9000))));
        wait_for("dials of the replica", || replica.accepted.load(SeqCst) >= 1);
        let drain = entry("s-1", replica.address, false, status);
        watch.chunk(&(list(42, false, &[drain, entry("s-9", primary.address, false, "active")]) + "\n"));
        wait_for("the list", || log.count("is s-9") == 1);
        replica.script.lock().expect("script").startups_held = false;
        for client in &mut clients {
            assert_eq!(value(&client.answer()), b"primary", "{status}");
        }
        assert_eq!(replica.count(), 0, "{status}: sent to a host that drains");
        let (ok, text) = router.end_with_log(log);
        assert!(ok && count(&text, "Outdated") >= 1, "{text}");
    }
}

/// Guards against statements that begin without a further look once their connection is up, whatever has become of
/// their host or their client since they were decided.
#[test]
fn a_task_that_waited_begins_only_after_a_further_check() {
    let host = Host::start(false);
    let mut driver = HostsDriver::new(host.address, 5.0);
    [7, 8].into_iter().for_each(|statement_id| driver.start(statement_id));
    driver.dial();
    let mut checked = Vec::new();
    let mut endings = Vec::new();
    wait_for("both endings", || {
        driver.turn();
        let mut only_the_second = |host: usize, task: &HostTask, step: StartStep| {
            assert_eq!(step, StartStep::Begin);
            checked.push((host, task.execution_id().expect("a statement").0));
            task.is_execution((8, 0))
        };
        driver.hosts.start_waiting(&mut only_the_second, &mut driver.context);
        endings.extend(driver.ending());
        endings.len() == 2
    });
    assert_eq!(endings, [(7, Ending::Outdated), (8, Ending::Completed)]);
    assert_eq!(checked, [(0, 7), (0, 8)]);
    assert_eq!(host.count(), 1, "the first was not written");
}

/// Guards against tasks that wait for ever, and a dial that goes to another host's address in their place, where dials
/// are held back: by a lack of descriptors or by their pacing.
#[test]
fn a_task_whose_dial_is_held_back_ends_at_the_dial_timeout() {
    let (host, other) = (Host::start(false), Host::start(false));
    let mut driver = HostsDriver::new(host.address, 0.05);
    driver.start(7);
    let mut ending = None;
    wait_for("the end of the wait", || {
        driver.turn();
        ending = driver.ending();
        ending.is_some()
    });
    assert_eq!(ending, Some((7, Ending::NoRoom)));
    // The slot of that dial is used again, by one to another host.
    let update = Command::UpdateHost { host: 0, name: "s-0".to_string(), address: Some(other.address) };
    driver.hosts.handle_command(update, &mut driver.context);
    driver.start(8);
    driver.dial();
    wait_for("the statement at the other host", || {
        driver.turn();
        driver.hosts.start_waiting(&mut |_, _, _| true, &mut driver.context);
        other.count() == 1
    });
    assert_eq!((host.accepted.load(SeqCst), other.accepted.load(SeqCst)), (0, 1));
}

/// Guards against connections that are opened to a host only because statements waited for it before it drained.
#[test]
fn dials_that_have_not_begun_are_dropped_once_nobody_needs_them() {
    let host = Host::start(false);
    let mut driver = HostsDriver::new(host.address, 5.0);
    [7, 8].into_iter().for_each(|statement_id| driver.start(statement_id));
    driver.hosts.handle_command(Command::RecheckWaiting(0), &mut driver.context);
    driver.hosts.start_waiting(&mut |_, task, _| task.is_execution((8, 0)), &mut driver.context);
    assert_eq!(driver.ending(), Some((7, Ending::Outdated)));
    driver.dial();
    wait_for("the statement that may still begin", || {
        driver.turn();
        driver.hosts.start_waiting(&mut |_, _, _| true, &mut driver.context);
        host.count() == 1
    });
    assert_eq!(host.accepted.load(SeqCst), 1, "one dial for one statement");
}

//! What the router takes the result of a system call to prove, each put to the test: the program runs with a shim that
//! makes calls fall short or fail as Linux documents, and has to keep its promises all the same.
#[allow(dead_code)]
mod stand_ins;

use sandstile_router::pg;
use sandstile_shim::{Call, Fault, Plan, Rule};
use stand_ins::*;
use std::path::Path;
use std::time::{Duration, Instant};

/// A router whose system calls go by these rules, before one primary and one replica.
fn router_under(rules: &[Rule], primary: &Host, replicas: &[&Host]) -> Router {
    let (mut command, address, file) =
        Router::command(&config(Agent::start().address, &known(primary, replicas)));
    let library = sandstile_shim::library(Path::new(command.get_program())).expect("the shim");
    Plan { seed: 1, rules: rules.to_vec() }.apply(&mut command, &library);
    command.arg("serve");
    Router::up(command, address, file)
}

/// Asks with the startup and the statement in one write, as most clients begin; the answer to the statement, and how
/// long it took.
fn first_statement(router: &Router, text: &str) -> (Got, Duration) {
    let mut client = Client::connect(router.address);
    client.stream.set_read_timeout(Some(Duration::from_secs(4))).expect("a limit");
    let began = Instant::now();
    client.send(&[pg::hello(), query(text)].concat());
    assert!(client.answer().ready, "no greeting");
    let got = client.answer();
    (got, began.elapsed())
}

/// Incident 39: fewer bytes than there was room for do not prove that nothing more has come.
#[test]
fn a_request_read_in_parts_is_answered_in_its_time() {
    let (primary, replica) = (Host::start(true), Host::start(false));
    let parts = Rule::new(Call::Recv, Fault::Short(60));
    let router = router_under(&[parts], &primary, &[&replica]);
    let (got, took) = first_statement(&router, &read(800));
    assert_eq!(got.value.as_deref(), Some(&b"replica"[..]), "{got:?} after {took:?}");
    assert!(took < Duration::from_millis(800), "{took:?}");
}

//! Drives the model in virtual time: opens connections, sends statements and collects the answers with their times.
#![allow(dead_code)]
use sandstile_fleet::plan::*;
use sandstile_fleet::{
    Answer, Event, Fault, FaultKind, Fleet, Input, Output, Plan, StatementRequest, Target,
};
use std::collections::BTreeMap;

pub const START: f64 = 1_000_000.0;

pub fn workload(name: &str, consistency: Consistency, work: Work) -> Workload {
    let effect = match (consistency, name) {
        (Consistency::Write, "once") => Effect::Deduplicated,
        (Consistency::Write, _) => Effect::NonIdempotent,
        _ => Effect::Idempotent,
    };
    Workload { name: name.to_string(), effect, consistency, max_age_s: 0.5, work, value_bytes: 16 }
}

/// One group of `machines` machines, and one workload of each kind with 10 ms of work.
pub fn plan(machines: usize) -> Plan {
    let kind = MachineKind { setup_work: 0.0, ..MachineKind::standard("std") };
    let node = |n: usize| Node { name: format!("m{n}"), zone: "a".to_string(), kind: 0 };
    let work = Work::Fixed(0.010);
    Plan {
        seed: 7,
        kinds: vec![kind],
        nodes: (0..machines).map(node).collect(),
        groups: vec![Group {
            name: "g".to_string(),
            nodes: (0..machines).collect(),
            replication_delay_s: 0.010,
            apply: Work::Fixed(0.001),
            detect_s: 1.0,
            elect_s: 0.5,
            hold_s: 0.050,
            dedup_window_s: 60.0,
        }],
        workloads: vec![
            workload("save", Consistency::Write, work),
            workload("once", Consistency::Write, work),
            workload("fresh", Consistency::Fresh, work),
            workload("own", Consistency::Session, work),
            workload("recent", Consistency::Bounded, work),
            workload("any", Consistency::Any, work),
        ],
        tokens: Tokens::Remembered,
        hosts_check_reads: true,
    }
}

pub const SAVE: usize = 0;
pub const ONCE: usize = 1;
pub const FRESH: usize = 2;
pub const OWN: usize = 3;
pub const RECENT: usize = 4;
pub const ANY: usize = 5;

pub struct Driver {
    pub fleet: Fleet,
    pub now: f64,
    last_conn: u64,
    greeted: BTreeMap<u64, bool>,
    pub answers: Vec<(f64, u64, Answer)>,
    pub other_outputs: Vec<(f64, Output)>,
    pub events: Vec<(f64, Event)>,
}

impl Driver {
    pub fn new(plan: Plan) -> Driver {
        let fleet = Fleet::new(plan, START);
        let (answers, other_outputs, events) = (Vec::new(), Vec::new(), Vec::new());
        Driver { fleet, now: START, last_conn: 0, greeted: BTreeMap::new(), answers, other_outputs, events }
    }

    fn collect(&mut self) {
        while let Some((at, next_output)) = self.fleet.next_output() {
            match next_output {
                Output::Greet { conn } => {
                    self.greeted.insert(conn, true);
                }
                Output::Answer { conn, answer } => self.answers.push((at, conn, answer)),
                Output::RejectConnection { conn, .. } => {
                    self.greeted.insert(conn, false);
                }
                other => self.other_outputs.push((at, other)),
            }
        }
        while let Some(event) = self.fleet.next_event() {
            self.events.push(event);
        }
    }

    pub fn run(&mut self, seconds: f64) {
        self.now += seconds;
        self.fleet.advance(self.now);
        self.collect();
    }

    pub fn connect(&mut self, host: usize) -> u64 {
        self.last_conn += 1;
        self.fleet.input(self.now, self.last_conn, Input::Connect { host });
        self.collect();
        self.last_conn
    }

    pub fn greeted(&self, conn: u64) -> Option<bool> {
        self.greeted.get(&conn).copied()
    }

    pub fn send_on(&mut self, conn: u64, id: &str, workload: usize, session: Option<&str>) {
        let session = session.map(str::to_string);
        let request = StatementRequest {
            id: id.to_string(),
            workload,
            timeout_s: 1.0,
            required_position: None,
            session,
        };
        self.fleet.input(self.now, conn, Input::Statement(request));
        self.collect();
    }

    /// Sends a statement on a new connection.
    pub fn send(&mut self, host: usize, id: &str, workload: usize, session: Option<&str>) -> u64 {
        let conn = self.connect(host);
        self.run(0.0);
        self.send_on(conn, id, workload, session);
        conn
    }

    pub fn close(&mut self, conn: u64) {
        self.fleet.input(self.now, conn, Input::Closed);
        self.collect();
    }

    pub fn start_fault(&mut self, kind: FaultKind, host: &str, duration_s: f64) {
        let fault = Fault { kind, target: Target::Host(host.to_string()), duration_s };
        assert!(!self.fleet.start_fault(self.now, fault).is_empty(), "{host}");
        self.collect();
    }

    pub fn answer(&self, conn: u64) -> Option<&Answer> {
        self.answers.iter().find(|(_, c, _)| *c == conn).map(|(_, _, a)| a)
    }

    /// The kind of the answer: `row`, `spoilt`, `report`, the code of an error, or `-` for no
    /// answer.
    pub fn outcome(&self, conn: u64) -> &'static str {
        match self.answer(conn) {
            Some(Answer::Row { .. }) => "row",
            Some(Answer::Error { code, .. }) => code,
            Some(Answer::Unusable { .. }) => "spoilt",
            Some(Answer::Report { .. }) => "report",
            None => "-",
        }
    }

    pub fn times_run(&self, id: &str) -> usize {
        self.events.iter().filter(|(_, e)| matches!(e, Event::Ran { id: i, .. } if i == id)).count()
    }

    pub fn count_events(&self, matches: impl Fn(&Event) -> bool) -> usize {
        self.events.iter().filter(|(_, e)| matches(e)).count()
    }
}

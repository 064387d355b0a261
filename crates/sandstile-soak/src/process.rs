//! A router process, started with a shim.
use crate::host::DEDUP_WINDOW_S;
use crate::plan::{Plan, COLD_INITIAL_SHARE, COLD_S, MAX_DEADLINE_MS};
use crate::record::{Recorder, RunEvent};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The programs and files of a run.
#[derive(Clone, Debug)]
pub struct Programs {
    pub router: PathBuf,
    pub shim: PathBuf,
    /// The directory of configurations, logs and journals.
    pub dir: PathBuf,
}

/// A router's process.
pub struct Router {
    number: usize,
    pub generation: usize,
    pub address: SocketAddr,
    child: Child,
    log: PathBuf,
    recorder: Recorder,
}

fn settings(plan: &Plan) -> String {
    // Where routers keep sessions themselves, hosts don't reject stale reads.
    let guards = if plan.lasting { "off" } else { "reject" };
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","aimMs":300,"deadlineMs":{MAX_DEADLINE_MS},"credit":1.0,"lateWorth":0.3,"effect":"{effect}","dedupScope":"group","windowMs":{}}}"#,
            DEDUP_WINDOW_S * 1e3
        )
    };
    format!(
        r#"{{"classes":[{},{},{},{}],"peersTotal":{},"tickMs":5.0,"discovery":"pushed",
        "allowed":{{"mostTries":4,"mayCancel":true,"probes":true,"retryAfter":true,"maxRetryAfterMs":200.0,"dialTimeoutMs":250.0,"idleCloseMs":30000.0}},
        "rules":{{"coldFrom":{COLD_INITIAL_SHARE},"coldMs":{},"tipMultiple":2.0}},
        "specifics":{{"consistency":["loose","update","update","own_writes"],"maxAgeMs":[0.0,0.0,0.0,0.0],"guards":"{guards}","answersStamped":true,"tokens":"router"}}}}"#,
        class("look", "idempotent"),
        class("book", "at_most_once"),
        class("once", "deduplicated"),
        class("own", "idempotent"),
        plan.routers,
        COLD_S * 1e3,
    )
}

impl Router {
    /// Starts generation `life` of router `number`.
    pub fn start(
        plan: &Plan,
        programs: &Programs,
        number: usize,
        life: usize,
        (address, agent): (SocketAddr, SocketAddr),
        known: &str,
        recorder: &Recorder,
    ) -> io::Result<Router> {
        let name = format!("router-{number}");
        let config = programs.dir.join(format!("{name}.json"));
        let seed = plan.seed.wrapping_mul(31).wrapping_add((number * 1000 + life) as u64);
        let text = format!(
            r#"{{"name":"n{number}","listen":"{address}","discovery":"{agent}","seed":"{seed:x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},"known":{known},"settings":{}}}"#,
            plan.sockets,
            settings(plan)
        );
        fs::write(&config, text)?;
        let log = programs.dir.join(format!("{name}-{life}.log"));
        let mut command = Command::new(&programs.router);
        command.arg("serve").env("LB_CONFIG", &config).stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(File::create(&log)?);
        if plan.lasting {
            command.arg("--config").arg(write_local_config(&programs.dir, &name)?);
        }
        plan.shims[number].apply(&mut command, &programs.shim);
        let child = command.spawn()?;
        recorder.record_event(RunEvent::Started { router: number, life });
        Ok(Router { number, generation: life, address, child, log, recorder: recorder.clone() })
    }

    /// Sends a signal to the process, if it is still there.
    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    pub fn terminate(&self) {
        self.recorder.record_event(RunEvent::Terminated { router: self.number, life: self.generation });
        self.signal(Signal::SIGTERM);
    }

    /// Whether the process has ended by itself; the first `true` records that.
    pub fn has_ended(&mut self) -> bool {
        match self.child.try_wait() {
            Ok(Some(status)) => {
                let (router, life, code) = (self.number, self.generation, status.code());
                self.recorder.record_event(RunEvent::Ended { router, life, code });
                true
            }
            _ => false,
        }
    }

    /// Ends the process by SIGKILL.
    pub fn kill(&mut self) {
        let (router, life) = (self.number, self.generation);
        self.recorder.record_event(RunEvent::Killed { router, life });
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Records the resident memory of the process.
    pub fn record_memory(&self) {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        if let Some(kilobytes) = kilobytes {
            let (router, life) = (self.number, self.generation);
            self.recorder.record_event(RunEvent::Memory { router, life, kilobytes });
        }
    }

    /// Searches the log of an ended process for a panic and records it.
    pub fn check_log_for_panic(&self) {
        let text = fs::read(&self.log).unwrap_or_default();
        let text = String::from_utf8_lossy(&text).into_owned();
        if let Some(line) = text.lines().find(|line| line.contains("panicked at")) {
            let (router, life) = (self.number, self.generation);
            self.recorder.record_event(RunEvent::Panicked { router, life, line: line.to_string() });
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes the local configuration file, with a journal of sessions in a directory that outlives the process.
fn write_local_config(dir: &Path, name: &str) -> io::Result<PathBuf> {
    let path = dir.join(format!("{name}.hcl"));
    let journal = dir.join(format!("{name}.marks"));
    let text = format!(
        "sessions {{\n  replicas_lag_at_most_s = 5\n  journal = {:?}\n  durability = \"before-answer\"\n  sessions_stay = true\n}}\n",
        journal.display().to_string()
    );
    fs::write(&path, text)?;
    Ok(path)
}

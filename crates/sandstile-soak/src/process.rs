//! One router as a process of its own, under a shim, in one life after the other.
use crate::host::DEDUP_WINDOW_S;
use crate::plan::{Plan, COLD_INITIAL_SHARE, COLD_S, MAX_DEADLINE_MS};
use crate::record::{Happened, Recorder};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// What all routers of a run are started with.
#[derive(Clone, Debug)]
pub struct Programs {
    pub router: PathBuf,
    pub shim: PathBuf,
    /// Where configurations, logs and journals lie.
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
    // Where routers keep sessions, hosts judge no read.
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
    /// Starts the next life of router `number`.
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
            command.arg("--config").arg(own_file(&programs.dir, &name)?);
        }
        plan.shims[number].apply(&mut command, &programs.shim);
        let child = command.spawn()?;
        recorder.happened(Happened::Started { router: number, life });
        Ok(Router { number, generation: life, address, child, log, recorder: recorder.clone() })
    }

    /// Sends a signal to the process, if it is still there.
    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    pub fn terminate(&self) {
        self.recorder.happened(Happened::Terminated { router: self.number, life: self.generation });
        self.signal(Signal::SIGTERM);
    }

    /// Whether it has ended by itself; that is put on record once.
    pub fn has_ended(&mut self) -> bool {
        match self.child.try_wait() {
            Ok(Some(status)) => {
                let (router, life, code) = (self.number, self.generation, status.code());
                self.recorder.happened(Happened::Ended { router, life, code });
                true
            }
            _ => false,
        }
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        let (router, life) = (self.number, self.generation);
        self.recorder.happened(Happened::Killed { router, life });
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Puts on record what the process holds.
    pub fn measure(&self) {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        if let Some(kilobytes) = kilobytes {
            let (router, life) = (self.number, self.generation);
            self.recorder.happened(Happened::Memory { router, life, kilobytes });
        }
    }

    /// Reads the log of a life that is over for a panic.
    pub fn examine(&self) {
        let text = fs::read(&self.log).unwrap_or_default();
        let text = String::from_utf8_lossy(&text).into_owned();
        if let Some(line) = text.lines().find(|line| line.contains("panicked at")) {
            let (router, life) = (self.number, self.generation);
            self.recorder.happened(Happened::Panicked { router, life, line: line.to_string() });
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Our own file, with a journal of sessions in a folder that outlives the process.
fn own_file(dir: &Path, name: &str) -> io::Result<PathBuf> {
    let path = dir.join(format!("{name}.hcl"));
    let journal = dir.join(format!("{name}.marks"));
    let text = format!(
        "sessions {{\n  replicas_lag_at_most_s = 5\n  journal = {:?}\n  durability = \"before-answer\"\n  sessions_stay = true\n}}\n",
        journal.display().to_string()
    );
    fs::write(&path, text)?;
    Ok(path)
}

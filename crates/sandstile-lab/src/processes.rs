//! Router processes: their configuration, start, end, and whether they are ready.
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use sandstile_emulator::{exchange_address, members_address, Clock};
use sandstile_fleet::plan::{Consistency, Effect, Tokens};
use sandstile_pgwire as pg;
use sandstile_scenario::Script;
use serde_json::{json, Value};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The settings that routers of this script are told, in the form that they read.
pub fn settings(script: &Script) -> Value {
    let plan = &script.plan;
    let classes: Vec<Value> = plan
        .workloads
        .iter()
        .zip(&script.terms)
        .map(|(w, t)| {
            let effect = match w.effect {
                Effect::Idempotent => "idempotent",
                Effect::Deduplicated => "deduplicated",
                Effect::NonIdempotent => "at_most_once",
            };
            json!({"name": w.name, "aimMs": t.slo * 1e3, "deadlineMs": t.timeout * 1e3, "credit": t.importance,
                "lateWorth": t.late_share, "effect": effect, "dedupScope": "group",
                "windowMs": plan.groups.iter().map(|g| g.dedup_window_s).fold(f64::INFINITY, f64::min) * 1e3})
        })
        .collect();
    let consistency: Vec<&str> = plan
        .workloads
        .iter()
        .map(|w| match w.consistency {
            Consistency::Write => "update",
            Consistency::Fresh => "fresh",
            Consistency::Session => "own_writes",
            Consistency::Bounded => "recent",
            Consistency::Any => "loose",
        })
        .collect();
    let ages: Vec<f64> = plan.workloads.iter().map(|w| w.max_age_s * 1e3).collect();
    // Where kinds differ, routers are told the most careful figures.
    let least = |of: &dyn Fn(&sandstile_fleet::plan::MachineKind) -> f64| {
        plan.kinds.iter().map(of).fold(f64::INFINITY, f64::min)
    };
    let warm = plan.kinds.iter().map(|k| k.warm_s).fold(0.0, f64::max);
    let a = &script.allowed;
    json!({
        "classes": classes, "peersTotal": script.routers.count, "tickMs": 5.0, "discovery": "pushed",
        "allowed": {"mostTries": a.max_executions, "mayCancel": a.may_cancel, "probes": a.probes,
            "retryAfter": a.max_retry_after_s > 0.0, "maxRetryAfterMs": a.max_retry_after_s * 1e3, "dialTimeoutMs": a.dial_timeout_s * 1e3,
            "idleCloseMs": least(&|k| k.idle_timeout_s) * 1e3},
        "rules": {"coldFrom": least(&|k| k.cold_share), "coldMs": warm * 1e3,
            "tipMultiple": least(&|k| k.cold_overload_multiple)},
        "clients": {"marksRetry": true},
        "specifics": {"consistency": consistency, "maxAgeMs": ages, "answersStamped": true,
            "guards": if plan.hosts_check_reads { "reject" } else { "off" },
            "tokens": match plan.tokens { Tokens::Remembered => "router", Tokens::Carried => "client" }},
    })
}

/// The whole of what a router is told at its start.
pub fn config(script: &Script, number: usize, listen: SocketAddr, agent: SocketAddr, known: &str) -> Value {
    let known: Value = serde_json::from_str(known).unwrap_or(Value::Null);
    json!({"name": format!("n{number}"), "listen": listen.to_string(), "discovery": agent.to_string(),
        "seed": format!("{:x}", script.plan.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number as u64),
        "limits": {"cores": 1.0, "memory_mb": script.routers.memory_mb, "sockets": script.routers.sockets},
        "known": known, "settings": settings(script)})
}

/// Our own file for one router, and the keys that all of them share; `None` where the script wants none of it.
pub fn own_file(script: &Script, dir: &Path, net: u8, number: usize) -> io::Result<Option<PathBuf>> {
    let wanted = script.sessions;
    let mut beside = String::new();
    if let Some(pace) = &script.routers.pace {
        // `answers+ramp`: with the crowd let in as answers come.
        let (pace, ramp) =
            pace.split_once('+').map_or((pace.as_str(), false), |(pace, more)| (pace, more == "ramp"));
        beside += &format!("return {{\n  pace = {pace:?}\n  ramp = {ramp}\n}}\n");
    }
    if script.routers.limits {
        beside += "limits {\n}\n";
    }
    if script.routers.members {
        beside += &members(script, dir, net, number)?;
    }
    let path = dir.join(format!("router-{number}.hcl"));
    if !wanted.tokens && !wanted.journal && !wanted.exchange {
        if beside.is_empty() {
            return Ok(None);
        }
        fs::write(&path, beside)?;
        return Ok(Some(path));
    }
    let keys = keys(script, dir)?;
    let lag = 30;
    let mut text = format!("sessions {{\n  replicas_lag_at_most_s = {lag}\n");
    if wanted.tokens || wanted.exchange {
        text += &format!("  keys = {:?}\n", keys.display().to_string());
    }
    if wanted.journal {
        let path = state_file(script, dir, number);
        text += &format!("  journal = {:?}\n  durability = \"before-answer\"\n", path.display().to_string());
        // Only where nobody roams has one router heard of all that a session wrote.
        let stay = script.streams.iter().all(|s| s.roaming_share == 0.0) && script.routers.count == 1;
        text += &format!("  sessions_stay = {stay}\n");
    }
    if wanted.exchange {
        let relayed = relayed(script);
        let others = (0..script.routers.count).filter(|n| *n != number);
        let peers = others.map(|n| format!("{:?}", exchange_address(net, n, number, relayed).1.to_string()));
        let peers: Vec<String> = peers.collect();
        // A list of nothing is none: one router alone has nobody to name.
        let named =
            if peers.is_empty() { String::new() } else { format!("    peers = [{}]\n", peers.join(", ")) };
        text += &format!(
            "  sessions_stay = true\n  exchange {{\n    listen = \"{}\"\n{named}  }}\n",
            exchange_address(net, number, number, relayed).0,
        );
    }
    if wanted.state {
        let file = state_file(script, dir, number);
        text += &format!(
            "  state {{\n    dir = {:?}\n    witness = {:?}\n    control = {:?}\n    learn_together = {}\n  }}\n",
            file.parent().unwrap_or(dir).display().to_string(),
            dir.join(format!("router-{number}.witness")).display().to_string(),
            state_socket(net, number).display().to_string(),
            wanted.share_probes,
        );
    }
    fs::write(&path, text + "}\n" + &beside)?;
    Ok(Some(path))
}

/// What all routers of a rehearsal share as a secret.
fn keys(script: &Script, dir: &Path) -> io::Result<PathBuf> {
    let keys = dir.join("keys");
    if !keys.exists() {
        // A rehearsal's keys guard nothing; they differ from run to run all the same.
        let digits = |n: u128| {
            format!(
                "{:032x}",
                (u128::from(script.plan.seed) + n).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)
            )
        };
        fs::write(&keys, format!("1 {}{}\n", digits(1), digits(2)))?;
        fs::set_permissions(&keys, std::os::unix::fs::PermissionsExt::from_mode(0o600))?;
    }
    Ok(keys)
}

/// Peers are found over relays where any link may fail; the first three are seeds.
fn members(script: &Script, dir: &Path, net: u8, number: usize) -> io::Result<String> {
    let relayed = relayed(script);
    let (at, found_at) = members_address(net, number, relayed);
    let seeds = (0..script.routers.count.min(3))
        .map(|n| format!("{:?}", members_address(net, n, relayed).1.to_string()));
    Ok(format!(
        "members {{\n  listen = \"{at}\"\n  advertise = \"{found_at}\"\n  seeds = [{}]\n  keys = {:?}\n  \
         control = {:?}\n  share = {}\n  zone = \"z{}\"\n}}\n",
        seeds.collect::<Vec<_>>().join(", "),
        keys(script, dir)?.display().to_string(),
        control_socket(net, number).display().to_string(),
        script.routers.share,
        number % 3,
    ))
}

/// Where a router is asked whom it sees: names of such sockets are short, whatever folder the rehearsal is in.
pub fn control_socket(net: u8, number: usize) -> PathBuf {
    std::env::temp_dir().join(format!("sandstile-{}-{net}-{number}.sock", std::process::id()))
}

fn relayed(script: &Script) -> bool {
    script.cues.iter().any(|c| matches!(c.action, sandstile_scenario::script::CueAction::Link { .. }))
}

/// Where a router is asked for the state that it keeps with others.
pub fn state_socket(net: u8, number: usize) -> PathBuf {
    control_socket(net, number).with_extension("state")
}

/// Where a router keeps what it is to find again.
pub fn state_file(script: &Script, dir: &Path, number: usize) -> PathBuf {
    match script.sessions.state {
        true => dir.join(format!("router-{number}.state")).join("state"),
        false => dir.join(format!("router-{number}.marks")),
    }
}

/// A process of its own that outlives this one by as long as it takes to end the routers that are left: whoever kills
/// the lab leaves none behind. It reads which there are, and ends them once nobody writes any more.
pub struct Nurse {
    child: Child,
    told: Mutex<Option<ChildStdin>>,
}

const NURSE: &str = "pids=' '
while read -r what pid; do
  case $what in
    +) pids=\"$pids$pid \" ;;
    -) pids=\"${pids%% $pid *} ${pids#* $pid }\" ;;
  esac
done
[ \"$pids\" = ' ' ] || kill -9 $pids 2>/dev/null
exit 0";

impl Nurse {
    pub fn start() -> io::Result<Nurse> {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", NURSE]).stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null());
        // A terminal's Ctrl-C goes to a whole group of processes, and this one is to see the others' end.
        std::os::unix::process::CommandExt::process_group(&mut command, 0);
        let mut child = command.spawn()?;
        let told = Mutex::new(child.stdin.take());
        Ok(Nurse { child, told })
    }

    fn say(&self, what: char, pid: u32) {
        if let Some(to) = &mut *self.told.lock().expect("no thread panics under the lock") {
            let _ = to.write_all(format!("{what} {pid}\n").as_bytes());
        }
    }
}

impl Drop for Nurse {
    fn drop(&mut self) {
        self.told.lock().expect("no thread panics under the lock").take();
        let _ = self.child.wait();
    }
}

/// What a process holds, as the platform counts it.
pub struct Held {
    pub rss_kb: u64,
    pub descriptors: u64,
    /// Milliseconds of processor time so far.
    pub cpu_ms: u64,
}

pub struct Router {
    pub number: usize,
    pub address: SocketAddr,
    child: Child,
    file: PathBuf,
    nurse: Option<Arc<Nurse>>,
}

impl Router {
    /// Starts one; it is not ready yet.
    pub fn start(
        program: &Path,
        dir: &Path,
        number: usize,
        config: &Value,
        own: Option<&Path>,
    ) -> io::Result<Router> {
        let file = dir.join(format!("router-{number}.json"));
        fs::write(&file, config.to_string())?;
        let log = dir.join(format!("router-{number}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command.arg("serve").env("LB_CONFIG", &file);
        if let Some(own) = own {
            command.arg("--config").arg(own);
        }
        for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
            command.env_remove(name);
        }
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let address =
            config["listen"].as_str().and_then(|a| a.parse().ok()).ok_or(io::ErrorKind::InvalidInput)?;
        Ok(Router { number, address, child: command.spawn()?, file, nurse: None })
    }

    /// Its end is this one's care, too.
    pub fn nursed(mut self, nurse: &Arc<Nurse>) -> Router {
        nurse.say('+', self.child.id());
        self.nurse = Some(nurse.clone());
        self
    }

    /// It stands still until it is told to go on.
    pub fn stop(&self) {
        self.signal(Signal::SIGSTOP);
    }

    pub fn go_on(&self) {
        self.signal(Signal::SIGCONT);
    }

    pub fn held(&self) -> Option<Held> {
        let proc = PathBuf::from(format!("/proc/{}", self.child.id()));
        let stat = fs::read_to_string(proc.join("stat")).ok()?;
        // Behind the name, which may hold blanks: state is the first word, times the 12th and 13th, in hundredths.
        let words: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let number = |at: usize| words.get(at).and_then(|w| w.parse::<u64>().ok());
        let status = fs::read_to_string(proc.join("status")).ok()?;
        let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        Some(Held {
            rss_kb: rss.split_whitespace().next()?.parse().ok()?,
            descriptors: fs::read_dir(proc.join("fd")).ok()?.count() as u64,
            cpu_ms: (number(11)? + number(12)?) * 10,
        })
    }

    /// Asks an empty query until it is answered.
    pub fn wait_ready(&mut self, limit: Duration) -> io::Result<()> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait()? {
                return Err(io::Error::other(format!("router {} ended at its start: {status}", self.number)));
            }
            if greets(self.address).is_ok() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Err(io::Error::other(format!("router {} was not ready in {limit:?}", self.number)))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    pub fn term(&self) {
        self.signal(Signal::SIGTERM);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
    }

    /// Has it read another discovery address.
    pub fn reload(&self, discovery: SocketAddr) -> io::Result<()> {
        let mut config: Value = serde_json::from_str(&fs::read_to_string(&self.file)?)?;
        config["discovery"] = discovery.to_string().into();
        fs::write(&self.file, config.to_string())?;
        self.signal(Signal::SIGHUP);
        Ok(())
    }

    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for its end, and ends it where it has none.
    pub fn wait(&mut self, clock: &Clock, limit: Duration) -> Option<ExitStatus> {
        let until = clock.now() + limit.as_secs_f64();
        while clock.now() < until {
            if let Some(status) = self.ended() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.kill();
        self.child.wait().ok()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(nurse) = &self.nurse {
            nurse.say('-', self.child.id());
        }
    }
}

/// Whether an empty query is answered there.
fn greets(address: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(200))?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    let mut bytes = pg::startup_message();
    pg::query(&mut bytes, b"");
    stream.write_all(&bytes)?;
    let (mut buf, mut piece) = (Vec::new(), [0; 1024]);
    loop {
        let n = stream.read(&mut piece)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        buf.extend_from_slice(&piece[..n]);
        let mut at = 0;
        while let Ok(Some((tag, body))) = pg::frame(&buf[at..]) {
            if tag == b'I' {
                return Ok(());
            }
            at += body.end;
        }
    }
}

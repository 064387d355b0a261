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

/// The settings for the routers of this script, in the JSON form that they read.
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
    let max_ages_ms: Vec<f64> = plan.workloads.iter().map(|w| w.max_age_s * 1e3).collect();
    // Where machine kinds differ, routers get the most conservative values.
    let min_over_kinds = |value: &dyn Fn(&sandstile_fleet::plan::MachineKind) -> f64| {
        plan.kinds.iter().map(value).fold(f64::INFINITY, f64::min)
    };
    let max_warm_s = plan.kinds.iter().map(|k| k.warm_s).fold(0.0, f64::max);
    let allowed = &script.allowed;
    json!({
        "classes": classes, "peersTotal": script.routers.count, "tickMs": 5.0, "discovery": "pushed",
        "allowed": {"mostTries": allowed.max_executions, "mayCancel": allowed.may_cancel, "probes": allowed.probes,
            "retryAfter": allowed.max_retry_after_s > 0.0, "maxRetryAfterMs": allowed.max_retry_after_s * 1e3, "dialTimeoutMs": allowed.dial_timeout_s * 1e3,
            "idleCloseMs": min_over_kinds(&|k| k.idle_timeout_s) * 1e3},
        "rules": {"coldFrom": min_over_kinds(&|k| k.cold_share), "coldMs": max_warm_s * 1e3,
            "tipMultiple": min_over_kinds(&|k| k.cold_overload_multiple)},
        "clients": {"marksRetry": true},
        "specifics": {"consistency": consistency, "maxAgeMs": max_ages_ms, "answersStamped": true,
            "guards": if plan.hosts_check_reads { "reject" } else { "off" },
            "tokens": match plan.tokens { Tokens::Remembered => "router", Tokens::Carried => "client" }},
    })
}

/// The complete configuration that a router gets at its start.
pub fn config(script: &Script, number: usize, listen: SocketAddr, agent: SocketAddr, known: &str) -> Value {
    let known: Value = serde_json::from_str(known).unwrap_or(Value::Null);
    json!({"name": format!("n{number}"), "listen": listen.to_string(), "discovery": agent.to_string(),
        "seed": format!("{:x}", script.plan.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number as u64),
        "limits": {"cores": 1.0, "memory_mb": script.routers.memory_mb, "sockets": script.routers.sockets},
        "known": known, "settings": settings(script)})
}

/// Writes the local configuration file of one router, and the keys file that all routers share; `None` if the script
/// needs no such file.
pub fn write_local_config(
    script: &Script,
    dir: &Path,
    net: u8,
    number: usize,
) -> io::Result<Option<PathBuf>> {
    let sessions = script.sessions;
    let mut other_blocks = String::new();
    if let Some(pace) = &script.routers.pace {
        // `answers+ramp` also admits the returning clients gradually, as answers arrive.
        let (pace, ramp) =
            pace.split_once('+').map_or((pace.as_str(), false), |(pace, suffix)| (pace, suffix == "ramp"));
        other_blocks += &format!("return {{\n  pace = {pace:?}\n  ramp = {ramp}\n}}\n");
    }
    if script.routers.limits {
        other_blocks += "limits {\n}\n";
    }
    if script.routers.members {
        other_blocks += &members_block(script, dir, net, number)?;
    }
    let path = dir.join(format!("router-{number}.hcl"));
    if !sessions.tokens && !sessions.journal && !sessions.exchange {
        if other_blocks.is_empty() {
            return Ok(None);
        }
        fs::write(&path, other_blocks)?;
        return Ok(Some(path));
    }
    let keys = shared_keys(script, dir)?;
    let max_lag_s = 30;
    let mut text = format!("sessions {{\n  replicas_lag_at_most_s = {max_lag_s}\n");
    if sessions.tokens || sessions.exchange {
        text += &format!("  keys = {:?}\n", keys.display().to_string());
    }
    if sessions.journal {
        let path = state_file(script, dir, number);
        text += &format!("  journal = {:?}\n  durability = \"before-answer\"\n", path.display().to_string());
        // Only a single router without roaming sessions has seen all writes of each session.
        let sessions_stay =
            script.streams.iter().all(|s| s.roaming_share == 0.0) && script.routers.count == 1;
        text += &format!("  sessions_stay = {sessions_stay}\n");
    }
    if sessions.exchange {
        let uses_relays = uses_relays(script);
        let other_routers = (0..script.routers.count).filter(|n| *n != number);
        let peers = other_routers
            .map(|n| format!("{:?}", exchange_address(net, n, number, uses_relays).1.to_string()));
        let peers: Vec<String> = peers.collect();
        // A single router has no peers, and the setting is left out rather than empty.
        let peers_line =
            if peers.is_empty() { String::new() } else { format!("    peers = [{}]\n", peers.join(", ")) };
        text += &format!(
            "  sessions_stay = true\n  exchange {{\n    listen = \"{}\"\n{peers_line}  }}\n",
            exchange_address(net, number, number, uses_relays).0,
        );
    }
    if sessions.state {
        let state_path = state_file(script, dir, number);
        text += &format!(
            "  state {{\n    dir = {:?}\n    witness = {:?}\n    control = {:?}\n    learn_together = {}\n  }}\n",
            state_path.parent().unwrap_or(dir).display().to_string(),
            dir.join(format!("router-{number}.witness")).display().to_string(),
            state_socket(net, number).display().to_string(),
            sessions.share_probes,
        );
    }
    fs::write(&path, text + "}\n" + &other_blocks)?;
    Ok(Some(path))
}

/// The file with the secret keys that all routers of a rehearsal share.
fn shared_keys(script: &Script, dir: &Path) -> io::Result<PathBuf> {
    let keys = dir.join("keys");
    if !keys.exists() {
        // Derived from the seed: a rehearsal's keys protect nothing, but they still differ between seeds.
        let hex_digits = |n: u128| {
            format!(
                "{:032x}",
                (u128::from(script.plan.seed) + n).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835)
            )
        };
        fs::write(&keys, format!("1 {}{}\n", hex_digits(1), hex_digits(2)))?;
        fs::set_permissions(&keys, std::os::unix::fs::PermissionsExt::from_mode(0o600))?;
    }
    Ok(keys)
}

/// The `members` block of a router's file. Peers are reached through relays if the script has link faults; the first
/// three routers are the seeds.
fn members_block(script: &Script, dir: &Path, net: u8, number: usize) -> io::Result<String> {
    let uses_relays = uses_relays(script);
    let (listen_address, advertised_address) = members_address(net, number, uses_relays);
    let seeds = (0..script.routers.count.min(3))
        .map(|n| format!("{:?}", members_address(net, n, uses_relays).1.to_string()));
    Ok(format!(
        "members {{\n  listen = \"{listen_address}\"\n  advertise = \"{advertised_address}\"\n  seeds = [{}]\n  keys = {:?}\n  \
         control = {:?}\n  share = {}\n  zone = \"z{}\"\n}}\n",
        seeds.collect::<Vec<_>>().join(", "),
        shared_keys(script, dir)?.display().to_string(),
        control_socket(net, number).display().to_string(),
        script.routers.share,
        number % 3,
    ))
}

/// The control socket for a router's view of the members. It is in the temporary folder, because a socket's path has
/// to be short.
pub fn control_socket(net: u8, number: usize) -> PathBuf {
    std::env::temp_dir().join(format!("sandstile-{}-{net}-{number}.sock", std::process::id()))
}

fn uses_relays(script: &Script) -> bool {
    script.cues.iter().any(|c| matches!(c.action, sandstile_scenario::script::CueAction::Link { .. }))
}

/// The control socket for a router's replicated state.
pub fn state_socket(net: u8, number: usize) -> PathBuf {
    control_socket(net, number).with_extension("state")
}

/// The file in which a router keeps the state that survives a restart.
pub fn state_file(script: &Script, dir: &Path, number: usize) -> PathBuf {
    match script.sessions.state {
        true => dir.join(format!("router-{number}.state")).join("state"),
        false => dir.join(format!("router-{number}.marks")),
    }
}

/// A helper process that kills the remaining routers when this process ends, so that killing the lab leaves none
/// behind. It reads the routers' process ids from its standard input, and kills them once that is closed.
pub struct ProcessGuard {
    child: Child,
    stdin: Mutex<Option<ChildStdin>>,
}

const GUARD_SCRIPT: &str = "pids=' '
while read -r what pid; do
  case $what in
    +) pids=\"$pids$pid \" ;;
    -) pids=\"${pids%% $pid *} ${pids#* $pid }\" ;;
  esac
done
[ \"$pids\" = ' ' ] || kill -9 $pids 2>/dev/null
exit 0";

impl ProcessGuard {
    pub fn start() -> io::Result<ProcessGuard> {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", GUARD_SCRIPT]).stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null());
        // A terminal sends Ctrl-C to the whole process group; the guard needs its own group, to outlive the others.
        std::os::unix::process::CommandExt::process_group(&mut command, 0);
        let mut child = command.spawn()?;
        let stdin = Mutex::new(child.stdin.take());
        Ok(ProcessGuard { child, stdin })
    }

    fn send(&self, change: char, pid: u32) {
        if let Some(stdin) = &mut *self.stdin.lock().expect("no thread panics under the lock") {
            let _ = stdin.write_all(format!("{change} {pid}\n").as_bytes());
        }
    }
}

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        self.stdin.lock().expect("no thread panics under the lock").take();
        let _ = self.child.wait();
    }
}

/// The resources that a process uses, as the operating system counts them.
pub struct ProcessResources {
    pub rss_kb: u64,
    pub descriptors: u64,
    /// Processor time so far, in milliseconds.
    pub cpu_ms: u64,
}

pub struct Router {
    pub number: usize,
    pub address: SocketAddr,
    child: Child,
    config_file: PathBuf,
    guard: Option<Arc<ProcessGuard>>,
}

impl Router {
    /// Starts a router process and returns before it is ready. `local_config` is its local configuration file.
    pub fn start(
        program: &Path,
        dir: &Path,
        number: usize,
        config: &Value,
        local_config: Option<&Path>,
    ) -> io::Result<Router> {
        let config_file = dir.join(format!("router-{number}.json"));
        fs::write(&config_file, config.to_string())?;
        let log = dir.join(format!("router-{number}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command.arg("serve").env("LB_CONFIG", &config_file);
        if let Some(local_config) = local_config {
            command.arg("--config").arg(local_config);
        }
        for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
            command.env_remove(name);
        }
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let address =
            config["listen"].as_str().and_then(|a| a.parse().ok()).ok_or(io::ErrorKind::InvalidInput)?;
        Ok(Router { number, address, child: command.spawn()?, config_file, guard: None })
    }

    /// Registers the process with a guard, which kills it if the lab is killed.
    pub fn guarded_by(mut self, guard: &Arc<ProcessGuard>) -> Router {
        guard.send('+', self.child.id());
        self.guard = Some(guard.clone());
        self
    }

    /// Stops the process (SIGSTOP) until `resume` is called.
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    pub fn resources(&self) -> Option<ProcessResources> {
        let proc = PathBuf::from(format!("/proc/{}", self.child.id()));
        let stat = fs::read_to_string(proc.join("stat")).ok()?;
        // Fields after the process name, which may contain spaces: the first is the state, the 12th and 13th are user and
        // system time in hundredths of a second.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let field = |index: usize| fields.get(index).and_then(|f| f.parse::<u64>().ok());
        let status = fs::read_to_string(proc.join("status")).ok()?;
        let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        Some(ProcessResources {
            rss_kb: resident.split_whitespace().next()?.parse().ok()?,
            descriptors: fs::read_dir(proc.join("fd")).ok()?.count() as u64,
            cpu_ms: (field(11)? + field(12)?) * 10,
        })
    }

    /// Sends an empty query again and again until one is answered.
    pub fn wait_ready(&mut self, limit: Duration) -> io::Result<()> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait()? {
                return Err(io::Error::other(format!(
                    "router {} ended during its start: {status}",
                    self.number
                )));
            }
            if check_empty_query(self.address).is_ok() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Err(io::Error::other(format!("router {} was not ready within {limit:?}", self.number)))
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

    /// Makes the router reload its configuration with another discovery address.
    pub fn reload(&self, discovery: SocketAddr) -> io::Result<()> {
        let mut config: Value = serde_json::from_str(&fs::read_to_string(&self.config_file)?)?;
        config["discovery"] = discovery.to_string().into();
        fs::write(&self.config_file, config.to_string())?;
        self.signal(Signal::SIGHUP);
        Ok(())
    }

    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for the process to end, and kills it after `limit`.
    pub fn wait(&mut self, clock: &Clock, limit: Duration) -> Option<ExitStatus> {
        let deadline = clock.now() + limit.as_secs_f64();
        while clock.now() < deadline {
            if let Some(status) = self.exit_status() {
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
        if let Some(guard) = &self.guard {
            guard.send('-', self.child.id());
        }
    }
}

/// Returns an error unless the router answers an empty query.
fn check_empty_query(address: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(200))?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    let mut message = pg::startup_message();
    pg::query(&mut message, b"");
    stream.write_all(&message)?;
    let (mut buf, mut chunk) = (Vec::new(), [0; 1024]);
    loop {
        let n = stream.read(&mut chunk)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        buf.extend_from_slice(&chunk[..n]);
        let mut offset = 0;
        while let Ok(Some((tag, body))) = pg::frame(&buf[offset..]) {
            if tag == b'I' {
                return Ok(());
            }
            offset += body.end;
        }
    }
}

//! The command line of sandstile.
use sandstile_router::clock::Clock;
use sandstile_router::counters::Counters;
use sandstile_router::launch::LaunchConfig;
use sandstile_router::local_config::LocalConfig;
use sandstile_router::signals::{print_counters, SignalRequests};
use sandstile_router::{control_client, keys, router};
use slog::{o, Drain, Level, Logger};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

const HELP: &str = "sandstile spreads database reads over replicas.

usage: sandstile COMMAND [--verbose] [--config FILE]

  serve      run one router, configured by LB_CONFIG and the environment variables beside it
  check      check the configuration and print a summary
  sessions inspect FILE          print what a journal of sessions holds
  token decode TOKEN --keys FILE print the content of a session's mark
  members --socket PATH [--json]  list the members that a running router sees
  state show A                    print the status of a router's replicated state, or what a file holds
  state compare A B               list the facts in which two differ; A, B: a router's socket, or a file
  version    print the version

  --config   the local configuration file (HCL): settings that LB_CONFIG lacks; optional
  --verbose  log each connection and execution that ends badly, not only the first of a kind
  --help     print this

signals: SIGUSR1 prints the counters; SIGHUP reloads the configuration and follows the discovery that it
names; SIGTERM answers all accepted statements, then exits with 0";

/// Log lines that may wait to be written: a start logs two for each database host.
const LOG_LINES_WAITING: usize = 4096;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("sandstile: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(());
    }
    let verbose = arguments.contains(["-v", "--verbose"]);
    let file = |a: &mut pico_args::Arguments, name: &'static str| {
        a.opt_value_from_os_str(name, |s| Ok::<_, std::convert::Infallible>(PathBuf::from(s)))
    };
    let local_config = file(&mut arguments, "--config").map_err(|e| e.to_string())?;
    let keys = file(&mut arguments, "--keys").map_err(|e| e.to_string())?;
    let socket = file(&mut arguments, "--socket").map_err(|e| e.to_string())?;
    let json = arguments.contains("--json");
    let command = arguments.subcommand().map_err(|e| e.to_string())?;
    let mut operands = Vec::new();
    if matches!(command.as_deref(), Some("sessions" | "token" | "state")) {
        while let Some(operand) = arguments.opt_free_from_str::<String>().map_err(|e| e.to_string())? {
            operands.push(operand);
        }
    }
    let unknown_arguments = arguments.finish();
    if let Some(unknown) = unknown_arguments.first() {
        return Err(format!("unknown argument {}; see --help", unknown.to_string_lossy()));
    }
    match command.as_deref() {
        Some("serve") => serve(verbose, local_config.as_deref()),
        Some("check") => check(local_config.as_deref()),
        Some("sessions") => inspect(&operands),
        Some("token") => decode(&operands, keys.as_deref()),
        Some("state") => state(&operands),
        Some("members") => members(socket.as_deref(), json),
        Some("version") => {
            println!("sandstile {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some(other) => Err(format!("unknown command {other}; see --help")),
        None => Err("no command; see --help".to_string()),
    }
}

fn launch() -> Result<LaunchConfig, String> {
    LaunchConfig::from_environment(|name| std::env::var(name).ok())
}

/// Prints what a journal of sessions holds.
fn inspect(operands: &[String]) -> Result<(), String> {
    let [verb, path] = operands else { return Err("usage: sandstile sessions inspect FILE".to_string()) };
    if verb != "inspect" {
        return Err(format!("unknown: sessions {verb}"));
    }
    let bytes = std::fs::read(path).map_err(|e| format!("{path}: {e}"))?;
    let found = sandstile_journal::read(&bytes).map_err(|e| format!("{path}: {e}"))?;
    println!(
        "{} bytes, {} marks, {} records that can't be read",
        found.bytes,
        found.marks.len(),
        found.damaged_records
    );
    println!("whole: {}, ended in order: {}", found.intact, found.closed_cleanly);
    let latest = found.marks.iter().map(|(_, s)| s.latest()).fold(0.0, f64::max);
    println!("latest position: {latest:.3}");
    Ok(())
}

/// Prints the members as a running router sees them.
fn members(socket: Option<&Path>, json: bool) -> Result<(), String> {
    let report = control_client::members(socket.ok_or("missing option --socket PATH")?)?;
    match json {
        true => println!("{report}"),
        false => print!("{}", control_client::table(&report, Clock::anchor().now())),
    }
    Ok(())
}

/// Prints the replicated state of one router, or the differences between two.
fn state(operands: &[String]) -> Result<(), String> {
    let operands: Vec<&str> = operands.iter().map(String::as_str).collect();
    match operands[..] {
        ["show", source] => {
            print!("{}", control_client::state(Path::new(source), Clock::anchor().now())?);
            Ok(())
        }
        ["compare", one, other] => {
            let (one, other) =
                (control_client::facts(Path::new(one))?, control_client::facts(Path::new(other))?);
            let differences = sandstile_replicated_state::compare::compare(&one.facts, &other.facts);
            differences.iter().for_each(|difference| println!("{difference}"));
            let counts = [&one, &other]
                .map(|found| sandstile_replicated_state::compare::merge_by_key(&found.facts).len());
            println!("{} facts, {} facts, {} differ", counts[0], counts[1], differences.len());
            match differences.is_empty() {
                true => Ok(()),
                false => Err("the two differ".to_string()),
            }
        }
        _ => Err("usage: sandstile state show A, or state compare A B".to_string()),
    }
}

/// Prints the content of a session's mark, for operators who have the keys.
fn decode(operands: &[String], keys: Option<&Path>) -> Result<(), String> {
    let [verb, text] = operands else {
        return Err("usage: sandstile token decode TOKEN --keys FILE".to_string());
    };
    if verb != "decode" {
        return Err(format!("unknown: token {verb}"));
    }
    let path = keys.ok_or("missing option --keys FILE")?;
    let ring = keys::read_keys(path)?;
    let token = ring.read_token(text).map_err(|error| format!("token rejected: {error:?}"))?;
    println!("session and group {:016x}, term {}", token.key.0, token.mark.term.0);
    println!("position {:.3}, issued {:.0}", token.mark.position, token.issued);
    Ok(())
}

fn serve(verbose: bool, file: Option<&Path>) -> Result<(), String> {
    let launch = launch()?;
    let local_config = LocalConfig::load(file)?;
    // A router that has lost one of its actors would look alive and answer nothing, so a panic aborts the process.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    // A full disk or a closed pipe behind the log must not end a router.
    let formatter = slog_term::FullFormat::new(decorator).build().ignore_res();
    // A log that nobody reads must not block any actor.
    let (drain, guard) = slog_async::Async::new(formatter).chan_size(LOG_LINES_WAITING).build_with_guard();
    let level = if verbose { Level::Debug } else { Level::Info };
    let log = Logger::root(drain.filter_level(level).fuse(), o!("router" => launch.name.clone()));
    let counters = Arc::new(Counters::default());
    let mut signal_requests =
        SignalRequests::listen(counters.clone()).map_err(|e| format!("signals: {e}"))?;
    let reload_config = || LaunchConfig::reload(|name| std::env::var(name).ok());
    let ended =
        router::serve(launch, local_config, reload_config, counters.clone(), log, &mut signal_requests);
    drop(guard);
    print_counters(&counters);
    ended
}

fn check(file: Option<&Path>) -> Result<(), String> {
    if let Some(path) = file {
        let local_config = LocalConfig::load(file)?;
        let sessions = local_config.sessions.map_or("off".to_string(), |s| s.describe());
        let recording = local_config.recording.map_or("off".to_string(), |r| {
            format!("to {}, {} MB at most", r.file.display(), r.max_bytes / 1024 / 1024)
        });
        let limits = local_config.limits.map_or("off".to_string(), |l| {
            format!("{} later tries for each completed first one, in a storm", l.retry_ratio)
        });
        let restart_pacing =
            local_config.restart_pacing.map_or("off".to_string(), |b| format!("{:?}", b.pace).to_lowercase());
        let path = path.display();
        let members = local_config.members.map_or("off".to_string(), |m| {
            format!(
                "found at {}, {} seeds{}",
                m.advertise,
                m.seeds.len(),
                if m.share { ", shares follow them" } else { "" }
            )
        });
        println!("{path}: sessions {sessions}; recording {recording}; limits {limits}; return {restart_pacing}; members {members}");
        if std::env::var_os("LB_CONFIG").is_none() {
            return Ok(());
        }
    }
    let launch = launch()?;
    println!("router {} listens on {}, discovery at {}", launch.name, launch.listen, launch.discovery);
    println!("limits: {} descriptors, {} MB", launch.sockets, launch.memory / 1024 / 1024);
    println!("known: {} database hosts, index {}", launch.known.entries.len(), launch.known.index);
    for (workload, terms) in launch.workloads.iter().zip(&launch.terms.workloads) {
        println!(
            "workload {}: {:?} {:?}, SLO time {} s, statement timeout {} s, importance {}",
            workload.name, terms.consistency, terms.effect, terms.slo, terms.timeout, terms.importance
        );
    }
    Ok(())
}

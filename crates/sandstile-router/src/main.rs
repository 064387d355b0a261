//! The command line of sandstile.
use sandstile_router::counters::Counters;
use sandstile_router::launch::Launch;
use sandstile_router::{router, signals};
use slog::{o, Drain, Level, Logger};
use std::process::ExitCode;
use std::sync::Arc;

const HELP: &str = "sandstile spreads database reads over replicas.

usage: sandstile COMMAND [--verbose]

  serve      run one router, as LB_CONFIG and the variables beside it say
  check      read the configuration and say what it holds, or what is wrong
  version    print the version

  --verbose  log each connection and execution that ends badly, not only the first of a kind
  --help     print this

signals: SIGUSR1 prints the counters; SIGHUP reads the configuration again and follows the discovery that it
names; SIGTERM answers what was taken, then exits with 0";

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
    let command = arguments.subcommand().map_err(|e| e.to_string())?;
    let rest = arguments.finish();
    if let Some(unknown) = rest.first() {
        return Err(format!("unknown argument {}; see --help", unknown.to_string_lossy()));
    }
    match command.as_deref() {
        Some("serve") => serve(verbose),
        Some("check") => check(),
        Some("version") => {
            println!("sandstile {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some(other) => Err(format!("unknown command {other}; see --help")),
        None => Err("no command; see --help".to_string()),
    }
}

fn launch() -> Result<Launch, String> {
    Launch::from_environment(|name| std::env::var(name).ok())
}

fn serve(verbose: bool) -> Result<(), String> {
    let launch = launch()?;
    // A router without one of its actors would look alive and answer nothing.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let lines = slog_term::FullFormat::new(decorator).build().fuse();
    // A log that nobody reads must hold up no actor.
    let (drain, guard) = slog_async::Async::new(lines).build_with_guard();
    let level = if verbose { Level::Debug } else { Level::Info };
    let log = Logger::root(drain.filter_level(level).fuse(), o!("router" => launch.name.clone()));
    let counters = Arc::new(Counters::default());
    let wishes = signals::listen(counters.clone()).map_err(|e| format!("signals: {e}"))?;
    let again = || Launch::again(|name| std::env::var(name).ok());
    let ended = router::serve(launch, again, counters.clone(), log, &wishes);
    drop(guard);
    eprintln!("{counters}");
    ended
}

fn check() -> Result<(), String> {
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

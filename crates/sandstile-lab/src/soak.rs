//! Soaks from the command line: plays one run after the other, each from its own seed.
use sandstile_soak::plan::Plan;
use sandstile_soak::process::Programs;
use sandstile_soak::run::play;
use std::fs;
use std::path::PathBuf;

/// How many findings of one run are printed.
const MAX_PRINTED_FINDINGS: usize = 5;

/// What to play.
pub struct Options {
    /// The router's program, and the library of the system call shim.
    pub router: PathBuf,
    pub shim: PathBuf,
    /// The folder for logs and journals, with a subfolder for each seed.
    pub out: PathBuf,
    /// The first run's seed; each further one has the next.
    pub seed: u64,
    pub runs: u64,
    pub quick: bool,
    /// Whether there are thousands of database hosts.
    pub large: bool,
}

/// Plays all runs and prints their results; returns how many broke a rule.
pub fn soak(options: &Options) -> Result<u64, String> {
    let mut broken = 0;
    for seed in options.seed..options.seed + options.runs {
        let draw = if options.large { Plan::draw_large } else { Plan::draw };
        let plan = draw(seed, options.quick);
        let dir = options.out.join(format!("seed-{seed}"));
        let with_path = |e: std::io::Error| format!("{}: {e}", dir.display());
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).map_err(with_path)?;
        let programs =
            Programs { router: options.router.clone(), shim: options.shim.clone(), dir: dir.clone() };
        let address_block = std::process::id() as u16;
        let outcome = play(&plan, &programs, address_block).map_err(with_path)?;
        println!("seed {seed}: {}", outcome.summary());
        fs::write(dir.join("plan.txt"), format!("{plan:#?}\n")).map_err(with_path)?;
        fs::write(dir.join("timeline.txt"), outcome.timeline()).map_err(with_path)?;
        for finding in outcome.findings.iter().take(MAX_PRINTED_FINDINGS) {
            println!("  {finding}");
        }
        broken += u64::from(!outcome.findings.is_empty());
    }
    println!("{} runs, {broken} with a broken rule", options.runs);
    Ok(broken)
}

//! Soaks from the command line: one run after the other, each by a seed, until all are played.
use sandstile_soak::plan::Plan;
use sandstile_soak::process::Programs;
use sandstile_soak::run::play;
use std::fs;
use std::path::PathBuf;

/// Findings of one run that are printed.
const MOST_PRINTED: usize = 5;

/// What is to be played.
pub struct Options {
    /// The router's program, and the shim's library.
    pub router: PathBuf,
    pub shim: PathBuf,
    /// Where logs and journals go, in a folder for each seed.
    pub out: PathBuf,
    /// The first run's seed; each further one has the next.
    pub seed: u64,
    pub runs: u64,
    pub quick: bool,
    /// Thousands of database hosts.
    pub large: bool,
}

/// Plays all runs and prints each; how many broke a rule.
pub fn soak(wanted: &Options) -> Result<u64, String> {
    let mut broken = 0;
    for seed in wanted.seed..wanted.seed + wanted.runs {
        let draw = if wanted.large { Plan::draw_large } else { Plan::draw };
        let plan = draw(seed, wanted.quick);
        let dir = wanted.out.join(format!("seed-{seed}"));
        let told = |e: std::io::Error| format!("{}: {e}", dir.display());
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).map_err(told)?;
        let programs =
            Programs { router: wanted.router.clone(), shim: wanted.shim.clone(), dir: dir.clone() };
        let block = std::process::id() as u16;
        let outcome = play(&plan, &programs, block).map_err(told)?;
        println!("seed {seed}: {}", outcome.summary());
        fs::write(dir.join("plan.txt"), format!("{plan:#?}\n")).map_err(told)?;
        fs::write(dir.join("timeline.txt"), outcome.timeline()).map_err(told)?;
        for finding in outcome.findings.iter().take(MOST_PRINTED) {
            println!("  {finding}");
        }
        broken += u64::from(!outcome.findings.is_empty());
    }
    println!("{} runs, {broken} with a broken rule", wanted.runs);
    Ok(broken)
}

//! A short seeded soak: runs the program under random faults and checks what clients and hosts observed.
use sandstile_soak::plan::Plan;
use sandstile_soak::process::Programs;
use sandstile_soak::run::play;
use std::path::Path;

const SEEDS: [u64; 3] = [1, 4, 11];

#[test]
fn short_soaks_break_no_rule() {
    let router = Path::new(env!("CARGO_BIN_EXE_sandstile"));
    let shim = sandstile_shim::library(router).expect("no shim library");
    for seed in SEEDS {
        let plan = Plan::draw(seed, true);
        let dir = std::env::temp_dir().join(format!("sandstile-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("cannot create a folder for the test's files");
        let programs = Programs { router: router.to_path_buf(), shim: shim.clone(), dir: dir.clone() };
        let outcome = play(&plan, &programs, std::process::id() as u16).expect("soak failed to run");
        let findings: Vec<String> = outcome.findings.iter().map(ToString::to_string).collect();
        assert!(findings.is_empty(), "seed {seed}: {}\n{}", findings.join("\n"), outcome.timeline());
        let _ = std::fs::remove_dir_all(dir);
    }
}

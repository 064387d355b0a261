//! The definition of an experiment: its script, its arms, the number of pairs and the order of runs.
use sandstile_fleet::random::Rng;
use sandstile_hcl::{Problem, Section, Source};
use sandstile_scenario::script::SessionTracking;
use sandstile_scenario::Script;
use sandstile_stats::Plan;

/// One variant of the script. Settings that are absent stay as in the script.
#[derive(Clone, Debug, Default)]
pub struct Arm {
    pub name: String,
    /// The path of a router program other than the default.
    pub router: Option<String>,
    pub executions: Option<usize>,
    /// The longest delay in seconds that routers may ask clients to wait before a retry.
    pub max_retry_after_s: Option<f64>,
    pub retries: Option<usize>,
    pub routers: Option<usize>,
    pub sessions: Option<SessionTracking>,
    /// How routers pace connections after a restart, as in the local configuration file.
    pub pace: Option<String>,
    pub limits: Option<bool>,
    /// Routers know each other (`members`), and divide the hosts' capacity by their current number (`share`).
    pub members: Option<bool>,
    pub share: Option<bool>,
    /// All arrival rates are multiplied by this.
    pub load: f64,
}

impl Arm {
    /// The script with this arm's settings.
    pub fn apply_to(&self, script: &Script, seed: u64) -> Script {
        let mut script = script.clone();
        script.plan.seed = seed;
        script.allowed.max_executions = self.executions.unwrap_or(script.allowed.max_executions);
        script.allowed.max_retry_after_s = self.max_retry_after_s.unwrap_or(script.allowed.max_retry_after_s);
        script.clients.retries = self.retries.unwrap_or(script.clients.retries);
        script.routers.count = self.routers.unwrap_or(script.routers.count);
        script.sessions = self.sessions.unwrap_or(script.sessions);
        script.routers.pace = self.pace.clone().or(script.routers.pace);
        script.routers.limits = self.limits.unwrap_or(script.routers.limits);
        script.routers.members = self.members.unwrap_or(script.routers.members);
        script.routers.share = self.share.unwrap_or(script.routers.share);
        script.streams.iter_mut().for_each(|s| s.rate *= self.load);
        script
    }
}

#[derive(Clone, Debug)]
pub struct Experiment {
    pub title: String,
    /// The script's path, relative to the working directory.
    pub script: String,
    pub seed: u64,
    /// The others are compared with the first.
    pub arms: Vec<Arm>,
    pub pairs: usize,
    pub quick_pairs: usize,
    /// The share of experiments without a true difference that may claim one.
    pub level: f64,
    /// Smaller differences of service are irrelevant.
    pub min_relevant_difference: f64,
    /// The hash of the experiment's file. Rows with another hash belong to another version of it.
    pub hash: String,
}

impl Experiment {
    pub fn read(file: &str, text: &str) -> Result<Experiment, Vec<Problem>> {
        let source = Source::new(file, text);
        let read = source.parse().map(|body| experiment(&Section::root(&source, &body), text));
        let problems = source.problems();
        match read {
            Some(experiment) if problems.is_empty() => Ok(experiment),
            _ => Err(problems),
        }
    }

    /// When the results are analysed while the experiment runs, and the significance level of all analyses together.
    pub fn analysis_plan(&self, pairs: usize) -> Plan {
        Plan { level: self.level, first_at: 6.min(pairs), step: 2, max_pairs: pairs }
    }

    /// The seed of a pair, which both arms run with.
    pub fn pair_seed(&self, pair: usize) -> u64 {
        self.seed + pair as u64
    }

    /// The order in which a pair's arms are run. It is drawn for each pair; a fixed order would favour one arm on a
    /// machine whose speed drifts, as when it grows warm.
    pub fn arm_order(&self, pair: usize) -> Vec<usize> {
        let mut rng = Rng::new(self.seed, &format!("order {pair}"));
        let mut remaining: Vec<usize> = (0..self.arms.len()).collect();
        let mut order = Vec::new();
        while !remaining.is_empty() {
            order.push(remaining.swap_remove(rng.below(remaining.len())));
        }
        order
    }
}

fn experiment(file: &Section, text: &str) -> Experiment {
    let mut arms = Vec::new();
    for s in file.blocks("arm", true) {
        let count = |key: &str, max: f64| s.has(key).then(|| s.count(key, 0.0..max, 0));
        let off = SessionTracking::OFF;
        let choices = [
            ("off", off),
            ("tokens", SessionTracking { tokens: true, ..off }),
            ("journal", SessionTracking { journal: true, ..off }),
            ("both", SessionTracking { tokens: true, journal: true, ..off }),
            ("exchange", SessionTracking { exchange: true, ..off }),
            ("state", SessionTracking { exchange: true, state: true, ..off }),
            ("together", SessionTracking { exchange: true, state: true, share_probes: true, ..off }),
        ];
        arms.push(Arm {
            name: s.name.clone(),
            router: s.text("router"),
            executions: count("executions", 16.0).map(|n| n.max(1)),
            max_retry_after_s: s.optional_number("return_ms", 0.0..60_000.0).map(|ms| ms / 1000.0),
            retries: count("retries", 10.0),
            routers: count("routers", 64.0).map(|n| n.max(1)),
            sessions: s.has("sessions").then(|| s.choice("sessions", &choices, Some(off))),
            pace: s.text("pace"),
            limits: s.has("limits").then(|| s.boolean("limits", false)),
            members: s.has("members").then(|| s.boolean("members", false)),
            share: s.has("share").then(|| s.boolean("share", false)),
            load: s.number("load", 0.01..100.0, 1.0),
        });
        s.finish();
    }
    if arms.len() < 2 {
        let hint = Some("arm \"NAME\" { … }; the others are compared with the first".to_string());
        file.source().problem(0, "an experiment needs two arms or more", hint);
    }
    let pairs = file.count("pairs", 1.0..1000.0, 12);
    let experiment = Experiment {
        title: file.required_text("title"),
        script: file.required_text("script"),
        seed: file.number("seed", 0.0..9e15, 1.0) as u64,
        arms,
        pairs,
        quick_pairs: file.count("quick_pairs", 1.0..1000.0, pairs.min(2)),
        level: file.number("level", 0.0001..0.5, 0.05),
        min_relevant_difference: file.number("matters", 0.0..1.0, 0.005),
        hash: blake3::hash(text.as_bytes()).to_hex()[..16].to_string(),
    };
    file.finish();
    experiment
}

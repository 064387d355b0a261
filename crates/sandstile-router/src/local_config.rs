//! The local configuration file, in HCL: features that the platform's configuration does not cover. Without
//! the file all of them are off.
use crate::keys::read_keys;
use sandstile_hcl::{Section, Source};
use sandstile_sessions::token::KeyRing;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Durability {
    /// Writes are passed to the operating system before the answer; a power cut may lose the last seconds.
    None,
    /// Writes are on the disk before the client gets its answer.
    BeforeAnswer,
    /// Writes are synced at this interval in seconds, which is what a power cut may lose.
    Every(f64),
}

/// The `sessions` section. Times are in seconds.
#[derive(Clone, Debug)]
pub struct SessionsConfig {
    pub keys: Option<PathBuf>,
    pub token_lifetime: f64,
    /// Upper bound of the difference between the routers' clocks.
    pub max_clock_skew: f64,
    /// Upper bound of the replicas' lag.
    pub max_replica_lag: f64,
    /// All writes of a session go through this instance, for as long as the instance runs.
    pub sessions_stay: bool,
    pub max_sessions: usize,
    pub sketch_cells: usize,
    /// Statements without a mark are served as if there were no local configuration file: for the time until
    /// all clients send marks.
    pub allow_unmarked: bool,
    pub journal: Option<PathBuf>,
    pub exchange: Option<ExchangeConfig>,
    pub durability: Durability,
    pub state: Option<StateConfig>,
}

/// The `state` section: state that is replicated between routers.
#[derive(Clone, Debug)]
pub struct StateConfig {
    /// Directory of the copy on the disk; without it, the state is in memory only.
    pub dir: Option<PathBuf>,
    /// A file outside the backups of `dir`, which shows whether the copy in `dir` is the latest or a restored
    /// one.
    pub witness: Option<PathBuf>,
    /// UNIX socket for `sandstile state`, if any.
    pub control: Option<PathBuf>,
    /// Routers share the probes for lost primaries, and avoid hosts that refused another router.
    pub learn_together: bool,
}

impl SessionsConfig {
    pub fn read_keys(&self) -> Result<KeyRing, String> {
        self.keys.as_ref().map_or_else(|| Ok(KeyRing::default()), |path| read_keys(path))
    }

    pub fn describe(&self) -> String {
        let tokens = if self.keys.is_some() { "with tokens" } else { "without tokens" };
        let journal = match &self.journal {
            Some(path) => format!("journal {} ({:?})", path.display(), self.durability),
            None => "no journal".to_string(),
        };
        let state = if self.state.is_some() { ", state replicated with other routers" } else { "" };
        format!("on, {tokens}, {} remembered, {journal}{state}", self.max_sessions)
    }
}

#[derive(Clone, Debug)]
pub struct ExchangeConfig {
    pub listen: SocketAddr,
    pub peers: Vec<SocketAddr>,
}

/// The `recording` section.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordingConfig {
    pub file: PathBuf,
    /// The recording ends when it reaches this size.
    pub max_bytes: u64,
}

#[derive(Clone, Debug, Default)]
pub struct LocalConfig {
    pub sessions: Option<SessionsConfig>,
    pub recording: Option<RecordingConfig>,
    pub limits: Option<sandstile_limits::Settings>,
    /// Pacing of dials and admissions after a restart.
    pub restart_pacing: Option<sandstile_restart_pacing::Settings>,
    pub members: Option<MembersConfig>,
}

/// The `members` section: membership among the routers.
#[derive(Clone, Debug)]
pub struct MembersConfig {
    pub listen: SocketAddr,
    /// Address that other routers send to; it may differ from the address that this one listens on.
    pub advertise: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub keys: PathBuf,
    pub zone: String,
    /// UNIX socket for `sandstile members`, if any.
    pub control: Option<PathBuf>,
    /// The router's share of a host's capacity follows the number of routers that are alive.
    pub share: bool,
    /// Seconds between two rounds of the membership protocol.
    pub period: f64,
}

impl LocalConfig {
    /// Loads the file given on the command line, if any. The error message has one line for each problem,
    /// with its position in the file.
    pub fn load(path: Option<&Path>) -> Result<LocalConfig, String> {
        let Some(path) = path else { return Ok(LocalConfig::default()) };
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        let local_config = LocalConfig::parse(&name, &text)?;
        let session_keys = local_config.sessions.as_ref().and_then(|s| s.keys.as_ref());
        for keys in session_keys.into_iter().chain(local_config.members.as_ref().map(|m| &m.keys)) {
            // Checked before anything starts: without its keys, a router would reject all tokens and
            // messages.
            read_keys(keys)?;
        }
        Ok(local_config)
    }

    pub fn parse(name: &str, text: &str) -> Result<LocalConfig, String> {
        let source = Source::new(name, text);
        let local_config = source.parse().map(|parsed| {
            let file = Section::root(&source, &parsed);
            let sessions = file.optional_block("sessions").map(|section| read_sessions(&section));
            let recording = file.optional_block("recording").and_then(|section| {
                let config = RecordingConfig {
                    file: PathBuf::from(section.required_text("file")),
                    max_bytes: section.count("most_mb", 1.0..1_000_000.0, 256) as u64 * 1024 * 1024,
                };
                let on = section.boolean("on", true);
                section.finish();
                on.then_some(config)
            });
            let limits = file.optional_block("limits").and_then(|section| {
                let defaults = sandstile_limits::Settings::default();
                let settings = sandstile_limits::Settings {
                    retry_ratio: section.number("later_tries", 0.0..10.0, defaults.retry_ratio),
                    false_alarms_per_day: section.number(
                        "false_alarms_a_day",
                        0.000_001..1000.0,
                        defaults.false_alarms_per_day,
                    ),
                    returning_share: section.number("returning", 0.01..1.0, defaults.returning_share),
                };
                let on = section.boolean("on", true);
                section.finish();
                on.then_some(settings)
            });
            let restart_pacing = file.optional_block("return").and_then(|section| {
                let defaults = sandstile_restart_pacing::Settings::default();
                let settings = sandstile_restart_pacing::Settings {
                    pace: section.choice("pace", &sandstile_restart_pacing::PACES, Some(defaults.pace)),
                    ramp: section.boolean("ramp", defaults.ramp),
                    stall_s: section.ms("stall_ms", 0.0..60_000.0, defaults.stall_s),
                };
                let on = section.boolean("on", true);
                section.finish();
                on.then_some(settings)
            });
            let members = file.optional_block("members").and_then(|section| read_members(&section));
            file.finish();
            LocalConfig { sessions: sessions.flatten(), recording, limits, restart_pacing, members }
        });
        let problems = source.problems();
        match local_config {
            Some(local_config) if problems.is_empty() => Ok(local_config),
            _ => Err(problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")),
        }
    }
}

fn parse_address(section: &Section, key: &str, text: &str) -> Option<SocketAddr> {
    let address = text.parse().ok();
    if address.is_none() {
        section.problem(key, format!("\"{text}\" is not an address"), Some("ADDRESS:PORT".to_string()));
    }
    address
}

fn read_members(section: &Section) -> Option<MembersConfig> {
    let on = section.boolean("on", true);
    let listen = parse_address(section, "listen", &section.required_text("listen"));
    let advertise = section.text("advertise").and_then(|text| parse_address(section, "advertise", &text));
    if advertise.or(listen).is_some_and(|address| address.ip().is_unspecified()) {
        let hint = Some("advertise = \"ADDRESS:PORT\"".to_string());
        section.problem("listen", "other routers cannot reach an unspecified address", hint);
    }
    let seeds = section.texts("seeds").unwrap_or_default();
    let config = listen.map(|listen| MembersConfig {
        listen,
        advertise: advertise.unwrap_or(listen),
        seeds: seeds.iter().filter_map(|seed| parse_address(section, "seeds", seed)).collect(),
        keys: PathBuf::from(section.required_text("keys")),
        zone: section.text("zone").unwrap_or_default(),
        control: section.text("control").map(PathBuf::from),
        share: section.boolean("share", false),
        period: section.ms("period_ms", 50.0..60_000.0, 0.25),
    });
    if config.as_ref().is_some_and(|config| config.zone.len() > sandstile_membership::wire::MAX_ZONE_BYTES) {
        section.problem("zone", "a zone's name has at most 32 bytes", None);
    }
    section.finish();
    config.filter(|_| on)
}

fn read_sessions(section: &Section) -> Option<SessionsConfig> {
    let on = section.boolean("on", true);
    let exchange = section.optional_block("exchange").map(|exchange_section| {
        let address = |key: &str, text: &str| parse_address(&exchange_section, key, text);
        let listen = address("listen", &exchange_section.required_text("listen"));
        let peers = exchange_section.texts("peers").unwrap_or_default();
        let peers = peers.iter().filter_map(|peer| address("peers", peer)).collect();
        exchange_section.finish();
        if !section.has("keys") {
            section.source().problem(
                exchange_section.offset,
                "exchange requires keys",
                Some("keys = \"FILE\"".to_string()),
            );
        }
        listen.map(|listen| ExchangeConfig { listen, peers })
    });
    let state = section.optional_block("state").and_then(|state_section| {
        let config = StateConfig {
            dir: state_section.text("dir").map(PathBuf::from),
            witness: state_section.text("witness").map(PathBuf::from),
            control: state_section.text("control").map(PathBuf::from),
            learn_together: state_section.boolean("learn_together", false),
        };
        if config.witness.is_some() && config.dir.is_none() {
            state_section.problem("witness", "witness requires dir", Some("dir = \"FOLDER\"".to_string()));
        }
        if exchange.is_none() {
            section.source().problem(
                state_section.offset,
                "state requires exchange",
                Some("exchange { }".to_string()),
            );
        }
        if section.has("journal") {
            section.problem("journal", "journal and state both keep marks: choose one of them", None);
        }
        let on = state_section.boolean("on", true);
        state_section.finish();
        on.then_some(config)
    });
    let config = SessionsConfig {
        state,
        exchange: exchange.flatten(),
        keys: section.text("keys").map(PathBuf::from),
        token_lifetime: section.number("token_lasts_s", 1.0..31_536_000.0, 86_400.0),
        max_clock_skew: section.ms("skew_ms", 0.0..600_000.0, 1.0),
        max_replica_lag: section.number("replicas_lag_at_most_s", 1.0..86_400.0, 300.0),
        sessions_stay: section.boolean("sessions_stay", false),
        allow_unmarked: section.choice(
            "without_mark",
            &[("primary", false), ("as-before", true)],
            Some(false),
        ),
        max_sessions: section.count("remembered", 16.0..10_000_000.0, 1 << 16),
        sketch_cells: section.count("sketch_cells", 16.0..268_435_456.0, 1 << 18),
        journal: section.text("journal").map(PathBuf::from),
        durability: match section.text("durability").as_deref() {
            None | Some("before-answer") => Durability::BeforeAnswer,
            Some("none") => Durability::None,
            Some("every") => Durability::Every(section.ms("every_ms", 1.0..60_000.0, 0.1)),
            Some(other) => {
                let hint = Some("one of: before-answer, every, none".to_string());
                section.problem("durability", format!("durability = \"{other}\""), hint);
                Durability::None
            }
        },
    };
    if section.has("every_ms") && !matches!(config.durability, Durability::Every(_)) {
        section.problem("every_ms", "every_ms requires durability = \"every\"", None);
    }
    if section.has("durability") && config.journal.is_none() {
        section.problem("durability", "durability requires journal", Some("journal = \"FILE\"".to_string()));
    }
    section.finish();
    on.then_some(config)
}

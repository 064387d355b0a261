//! Our own file, in HCL: what the platform's configuration does not know. Without it all of this is off.
use crate::keys::read_keys;
use sandstile_hcl::{Section, Source};
use sandstile_sessions::token::KeyRing;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Durability {
    /// Given to the platform with the answer; a power cut may take the last seconds.
    None,
    /// On the disk before the client hears of its write.
    BeforeAnswer,
    /// On the disk every so many seconds, which is what a power cut may take.
    Every(f64),
}

/// What our own file says of sessions. Times in seconds.
#[derive(Clone, Debug)]
pub struct Sessions {
    pub keys: Option<PathBuf>,
    pub token_lasts: f64,
    /// Clocks differ by no more.
    pub skew: f64,
    /// Replicas lag by no more.
    pub horizon: f64,
    /// A session's writes come by this instance alone, for as long as it lives.
    pub stay: bool,
    pub exact: usize,
    pub cells: usize,
    /// Statements that carry no mark at all are served as without our own file: for the time in which clients
    /// learn to carry them.
    pub unmarked_as_before: bool,
    pub journal: Option<PathBuf>,
    pub exchange: Option<Exchange>,
    pub durability: Durability,
    pub state: Option<State>,
}

/// What our own file says of the state that routers keep together.
#[derive(Clone, Debug)]
pub struct State {
    /// Where the copy lies; in memory alone without.
    pub dir: Option<PathBuf>,
    /// What tells a copy that was put back from the latest one: a file that no backup of `dir` holds.
    pub witness: Option<PathBuf>,
    /// Where `sandstile state` asks, if anywhere.
    pub control: Option<PathBuf>,
    /// Probes for lost primaries are shared, and hosts that refused another are spared.
    pub together: bool,
}

impl Sessions {
    pub fn read_keys(&self) -> Result<KeyRing, String> {
        self.keys.as_ref().map_or_else(|| Ok(KeyRing::default()), |path| read_keys(path))
    }

    pub fn describe(&self) -> String {
        let tokens = if self.keys.is_some() { "with tokens" } else { "without tokens" };
        let journal = match &self.journal {
            Some(path) => format!("journal {} ({:?})", path.display(), self.durability),
            None => "no journal".to_string(),
        };
        let state = if self.state.is_some() { ", state kept with others" } else { "" };
        format!("on, {tokens}, {} remembered, {journal}{state}", self.exact)
    }
}

#[derive(Clone, Debug)]
pub struct Exchange {
    pub listen: SocketAddr,
    pub peers: Vec<SocketAddr>,
}

/// What our own file says of a recording.
#[derive(Clone, Debug, PartialEq)]
pub struct Recording {
    pub file: PathBuf,
    /// Bytes; the recording ends there.
    pub max_bytes: u64,
}

#[derive(Clone, Debug, Default)]
pub struct LocalConfig {
    pub sessions: Option<Sessions>,
    pub recording: Option<Recording>,
    pub limits: Option<sandstile_limits::Settings>,
    /// How a router that has just started comes back.
    pub restart_pacing: Option<sandstile_restart_pacing::Settings>,
    pub members: Option<Members>,
}

/// What our own file says of the other routers.
#[derive(Clone, Debug)]
pub struct Members {
    pub listen: SocketAddr,
    /// Where others find it, which may be another address than where it listens.
    pub advertise: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub keys: PathBuf,
    pub zone: String,
    /// Where `sandstile members` asks, if anywhere.
    pub control: Option<PathBuf>,
    /// Shares at hosts follow how many are there.
    pub share: bool,
    /// Seconds.
    pub period: f64,
}

impl LocalConfig {
    /// Reads the file that the command line names, if it names one. The message is one line a problem, each with its
    /// place.
    pub fn load(path: Option<&Path>) -> Result<LocalConfig, String> {
        let Some(path) = path else { return Ok(LocalConfig::default()) };
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        let charter = LocalConfig::read(&name, &text)?;
        let of_sessions = charter.sessions.as_ref().and_then(|s| s.keys.as_ref());
        for keys in of_sessions.into_iter().chain(charter.members.as_ref().map(|m| &m.keys)) {
            // Before anything starts: a router without its keys would believe nobody.
            read_keys(keys)?;
        }
        Ok(charter)
    }

    pub fn read(name: &str, text: &str) -> Result<LocalConfig, String> {
        let source = Source::new(name, text);
        let charter = source.parse().map(|body| {
            let file = Section::root(&source, &body);
            let sessions = file.optional_block("sessions").map(|s| sessions(&s));
            let recording = file.optional_block("recording").and_then(|r| {
                let plan = Recording {
                    file: PathBuf::from(r.required_text("file")),
                    max_bytes: r.count("most_mb", 1.0..1_000_000.0, 256) as u64 * 1024 * 1024,
                };
                let on = r.boolean("on", true);
                r.finish();
                on.then_some(plan)
            });
            let limits = file.optional_block("limits").and_then(|l| {
                let usual = sandstile_limits::Settings::default();
                let terms = sandstile_limits::Settings {
                    retry_ratio: l.number("later_tries", 0.0..10.0, usual.retry_ratio),
                    false_alarms_per_day: l.number(
                        "false_alarms_a_day",
                        0.000_001..1000.0,
                        usual.false_alarms_per_day,
                    ),
                    returning_share: l.number("returning", 0.01..1.0, usual.returning_share),
                };
                let on = l.boolean("on", true);
                l.finish();
                on.then_some(terms)
            });
            let restart_pacing = file.optional_block("return").and_then(|r| {
                let usual = sandstile_restart_pacing::Settings::default();
                let terms = sandstile_restart_pacing::Settings {
                    pace: r.choice("pace", &sandstile_restart_pacing::PACES, Some(usual.pace)),
                    ramp: r.boolean("ramp", usual.ramp),
                    stall_s: r.ms("stall_ms", 0.0..60_000.0, usual.stall_s),
                };
                let on = r.boolean("on", true);
                r.finish();
                on.then_some(terms)
            });
            let members = file.optional_block("members").and_then(|m| members(&m));
            file.finish();
            LocalConfig { sessions: sessions.flatten(), recording, limits, restart_pacing, members }
        });
        let problems = source.problems();
        match charter {
            Some(charter) if problems.is_empty() => Ok(charter),
            _ => Err(problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")),
        }
    }
}

fn address(s: &Section, key: &str, text: &str) -> Option<SocketAddr> {
    let address = text.parse().ok();
    if address.is_none() {
        s.problem(key, format!("\"{text}\" is no address"), Some("ADDRESS:PORT".to_string()));
    }
    address
}

fn members(m: &Section) -> Option<Members> {
    let on = m.boolean("on", true);
    let listen = address(m, "listen", &m.required_text("listen"));
    let advertise = m.text("advertise").and_then(|text| address(m, "advertise", &text));
    if advertise.or(listen).is_some_and(|at| at.ip().is_unspecified()) {
        let hint = Some("advertise = \"ADDRESS:PORT\"".to_string());
        m.problem("listen", "nobody can be found at this address", hint);
    }
    let seeds = m.texts("seeds").unwrap_or_default();
    let plan = listen.map(|listen| Members {
        listen,
        advertise: advertise.unwrap_or(listen),
        seeds: seeds.iter().filter_map(|s| address(m, "seeds", s)).collect(),
        keys: PathBuf::from(m.required_text("keys")),
        zone: m.text("zone").unwrap_or_default(),
        control: m.text("control").map(PathBuf::from),
        share: m.boolean("share", false),
        period: m.ms("period_ms", 50.0..60_000.0, 0.25),
    });
    if plan.as_ref().is_some_and(|p| p.zone.len() > sandstile_membership::wire::MAX_ZONE_BYTES) {
        m.problem("zone", "a zone's name has 32 bytes at most", None);
    }
    m.finish();
    plan.filter(|_| on)
}

fn sessions(s: &Section) -> Option<Sessions> {
    let on = s.boolean("on", true);
    let exchange = s.optional_block("exchange").map(|e| {
        let address = |key: &str, text: &str| address(&e, key, text);
        let listen = address("listen", &e.required_text("listen"));
        let peers = e.texts("peers").unwrap_or_default();
        let peers = peers.iter().filter_map(|p| address("peers", p)).collect();
        e.finish();
        if !s.has("keys") {
            s.source().problem(e.offset, "exchange goes with keys", Some("keys = \"FILE\"".to_string()));
        }
        listen.map(|listen| Exchange { listen, peers })
    });
    let state = s.optional_block("state").and_then(|t| {
        let plan = State {
            dir: t.text("dir").map(PathBuf::from),
            witness: t.text("witness").map(PathBuf::from),
            control: t.text("control").map(PathBuf::from),
            together: t.boolean("learn_together", false),
        };
        if plan.witness.is_some() && plan.dir.is_none() {
            t.problem("witness", "witness goes with dir", Some("dir = \"FOLDER\"".to_string()));
        }
        if exchange.is_none() {
            s.source().problem(t.offset, "state goes with exchange", Some("exchange { }".to_string()));
        }
        if s.has("journal") {
            s.problem("journal", "journal and state both keep marks: one of them", None);
        }
        let on = t.boolean("on", true);
        t.finish();
        on.then_some(plan)
    });
    let plan = Sessions {
        state,
        exchange: exchange.flatten(),
        keys: s.text("keys").map(PathBuf::from),
        token_lasts: s.number("token_lasts_s", 1.0..31_536_000.0, 86_400.0),
        skew: s.ms("skew_ms", 0.0..600_000.0, 1.0),
        horizon: s.number("replicas_lag_at_most_s", 1.0..86_400.0, 300.0),
        stay: s.boolean("sessions_stay", false),
        unmarked_as_before: s.choice("without_mark", &[("primary", false), ("as-before", true)], Some(false)),
        exact: s.count("remembered", 16.0..10_000_000.0, 1 << 16),
        cells: s.count("sketch_cells", 16.0..268_435_456.0, 1 << 18),
        journal: s.text("journal").map(PathBuf::from),
        durability: match s.text("durability").as_deref() {
            None | Some("before-answer") => Durability::BeforeAnswer,
            Some("none") => Durability::None,
            Some("every") => Durability::Every(s.ms("every_ms", 1.0..60_000.0, 0.1)),
            Some(other) => {
                let all = Some("one of: before-answer, every, none".to_string());
                s.problem("durability", format!("durability = \"{other}\""), all);
                Durability::None
            }
        },
    };
    if s.has("every_ms") && !matches!(plan.durability, Durability::Every(_)) {
        s.problem("every_ms", "every_ms goes with durability = \"every\"", None);
    }
    if s.has("durability") && plan.journal.is_none() {
        s.problem("durability", "durability goes with journal", Some("journal = \"FILE\"".to_string()));
    }
    s.finish();
    on.then_some(plan)
}

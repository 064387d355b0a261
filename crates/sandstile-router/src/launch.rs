//! The launch configuration of a router: the file named by `LB_CONFIG`, and the environment variables beside it.
use crate::lists;
use crate::statement::Workload;
use sandstile_deployment::settings;
use sandstile_dispatcher::HostListUpdate;
use sandstile_policy::terms::{Consistency, Terms};
use serde_json::Value;
use std::net::SocketAddr;

pub struct LaunchConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    pub memory: usize,
    pub known: HostListUpdate,
    pub workloads: Vec<Workload>,
    pub terms: Terms,
    /// Seconds for a connection to a database host to be established.
    pub dial_timeout: f64,
}

impl LaunchConfig {
    /// Reads the file that `LB_CONFIG` names. The error message is one line that names the problem.
    pub fn from_environment(variable: impl Fn(&str) -> Option<String>) -> Result<LaunchConfig, String> {
        LaunchConfig::load(&variable, &variable)
    }

    /// Reads the file again, for a router that is already serving. A new file takes precedence over `LB_DISCOVERY`,
    /// which applies to the start only.
    pub fn reload(variable: impl Fn(&str) -> Option<String>) -> Result<LaunchConfig, String> {
        LaunchConfig::load(&variable, |name| Some(name).filter(|n| *n != "LB_DISCOVERY").and_then(&variable))
    }

    fn load(
        locate: impl Fn(&str) -> Option<String>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<LaunchConfig, String> {
        let path = locate("LB_CONFIG").ok_or("LB_CONFIG is not set")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("LB_CONFIG: {path}: {e}"))?;
        let json: Value = serde_json::from_str(&text).map_err(|e| format!("LB_CONFIG: {path}: {e}"))?;
        LaunchConfig::read(&json, variable).map_err(|message| format!("LB_CONFIG: {path}: {message}"))
    }

    pub fn read(json: &Value, variable: impl Fn(&str) -> Option<String>) -> Result<LaunchConfig, String> {
        let setting = |name: &str, key: &str| {
            variable(name)
                .or_else(|| json[key].as_str().map(str::to_string))
                .ok_or_else(|| format!("neither {key} nor {name} is set"))
        };
        let address = |name: &str, key: &str| {
            let text = setting(name, key)?;
            text.parse().map_err(|_| format!("{key}: '{text}' is not an address"))
        };
        let limit = |key: &str| {
            let value = json["limits"][key].as_f64().filter(|n| *n >= 1.0);
            value.map(|n| n as usize).ok_or_else(|| format!("limits.{key} is missing or invalid"))
        };
        let seed = json["seed"].as_str().and_then(|hex| u64::from_str_radix(hex, 16).ok());
        let flat = settings::flatten(json.get("settings").ok_or("settings are missing")?);
        let missing = |message: String| format!("settings lack {message}");
        let (names, terms) = settings::terms(&flat).map_err(missing)?;
        if terms.workloads.is_empty() {
            return Err("settings name no workload".to_string());
        }
        let uses_sessions = |c: Consistency| matches!(c, Consistency::Write | Consistency::Session);
        let workloads = names.into_iter().zip(&terms.workloads);
        let dial_timeout_ms = settings::number(&flat, "allowed.dialTimeoutMs", 0.0).map_err(missing)?;
        if dial_timeout_ms <= 0.0 {
            return Err("settings lack a valid allowed.dialTimeoutMs".to_string());
        }
        let known = lists::parse(&json["known"]).map_err(|message| format!("known: {message}"))?;
        Ok(LaunchConfig {
            name: setting("LB_NAME", "name")?,
            listen: address("LB_LISTEN", "listen")?,
            discovery: address("LB_DISCOVERY", "discovery")?,
            seed: seed.ok_or("seed is missing or invalid")?,
            sockets: limit("sockets")?,
            memory: limit("memory_mb")? * 1024 * 1024,
            known: known.0,
            workloads: workloads
                .map(|(name, workload)| Workload {
                    name,
                    sessions: uses_sessions(workload.consistency),
                    writes: workload.consistency == Consistency::Write,
                })
                .collect(),
            dial_timeout: dial_timeout_ms / 1000.0,
            terms,
        })
    }
}

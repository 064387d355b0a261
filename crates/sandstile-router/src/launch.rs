//! What a router is told at its start: `LB_CONFIG`, and the variables beside it.
use crate::lists;
use crate::statement::Workload;
use sandstile_deployment::settings;
use sandstile_dispatcher::HostListUpdate;
use sandstile_policy::terms::{Consistency, Terms};
use serde_json::Value;
use std::net::SocketAddr;

pub struct Launch {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    pub memory: usize,
    pub known: HostListUpdate,
    pub workloads: Vec<Workload>,
    pub terms: Terms,
    /// Seconds for a connection to a database host to come up.
    pub dial_limit: f64,
}

impl Launch {
    /// From the file that `LB_CONFIG` names. The message is one line that names what is wrong.
    pub fn from_environment(variable: impl Fn(&str) -> Option<String>) -> Result<Launch, String> {
        Launch::load(&variable, &variable)
    }

    /// The file once more, for a router that serves already: the variables beside it are of the start, and
    /// what a new file says goes before them.
    pub fn again(variable: impl Fn(&str) -> Option<String>) -> Result<Launch, String> {
        Launch::load(&variable, |name| Some(name).filter(|n| *n != "LB_DISCOVERY").and_then(&variable))
    }

    fn load(
        place: impl Fn(&str) -> Option<String>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Launch, String> {
        let path = place("LB_CONFIG").ok_or("LB_CONFIG is not set")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("LB_CONFIG: {path}: {e}"))?;
        let json: Value = serde_json::from_str(&text).map_err(|e| format!("LB_CONFIG: {path}: {e}"))?;
        Launch::read(&json, variable).map_err(|what| format!("LB_CONFIG: {path}: {what}"))
    }

    pub fn read(json: &Value, variable: impl Fn(&str) -> Option<String>) -> Result<Launch, String> {
        let told = |name: &str, key: &str| {
            variable(name)
                .or_else(|| json[key].as_str().map(str::to_string))
                .ok_or_else(|| format!("neither {key} nor {name}"))
        };
        let address = |name: &str, key: &str| {
            let text = told(name, key)?;
            text.parse().map_err(|_| format!("{key}: '{text}' is no address"))
        };
        let limit = |key: &str| {
            let most = json["limits"][key].as_f64().filter(|n| *n >= 1.0);
            most.map(|n| n as usize).ok_or_else(|| format!("no usable limits.{key}"))
        };
        let seed = json["seed"].as_str().and_then(|hex| u64::from_str_radix(hex, 16).ok());
        let flat = settings::flatten(json.get("settings").ok_or("no settings")?);
        let lack = |what: String| format!("settings lack {what}");
        let (names, terms) = settings::terms(&flat).map_err(lack)?;
        if terms.workloads.is_empty() {
            return Err("settings name no workload".to_string());
        }
        let sessions = |c: Consistency| matches!(c, Consistency::Write | Consistency::Session);
        let workloads = names.into_iter().zip(&terms.workloads);
        let dial = settings::number(&flat, "allowed.dialTimeoutMs", 0.0).map_err(lack)?;
        if dial <= 0.0 {
            return Err("settings lack a usable allowed.dialTimeoutMs".to_string());
        }
        let known = lists::read(&json["known"]).map_err(|what| format!("known: {what}"))?;
        Ok(Launch {
            name: told("LB_NAME", "name")?,
            listen: address("LB_LISTEN", "listen")?,
            discovery: address("LB_DISCOVERY", "discovery")?,
            seed: seed.ok_or("no usable seed")?,
            sockets: limit("sockets")?,
            memory: limit("memory_mb")? * 1024 * 1024,
            known: known.0,
            workloads: workloads
                .map(|(name, w)| Workload {
                    name,
                    sessions: sessions(w.consistency),
                    writes: w.consistency == Consistency::Write,
                })
                .collect(),
            dial_limit: dial / 1000.0,
            terms,
        })
    }
}

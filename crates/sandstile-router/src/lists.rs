//! Parses host lists: those of discovery and the one in the configuration.
use crate::pg;
use sandstile_deployment::host_list::{readiness, HostEntry};
use sandstile_dispatcher::HostListUpdate;
use sandstile_policy::terms::Readiness;
use serde_json::Value;
use std::net::SocketAddr;

/// Parses a list in discovery's format. Entries that can't be read are left out; the message then names the first
/// of them.
pub fn parse(json: &Value) -> Result<(HostListUpdate, Option<String>), String> {
    let index = json["index"].as_u64().ok_or("the list has no index")?;
    let is_snapshot = json["snapshot"].as_bool().ok_or("the list has no snapshot flag")?;
    let endpoints = json["endpoints"].as_array().ok_or("the list has no endpoints")?;
    let mut update = HostListUpdate { index, is_snapshot, entries: Vec::new(), addresses: Vec::new() };
    let mut problem = None;
    for item in endpoints {
        match parse_entry(item) {
            Ok((entry, address)) => {
                if address.is_none() && entry.readiness == Readiness::Active {
                    problem = problem.or(Some(format!("{}: no usable address", entry.host)));
                }
                update.addresses.push((entry.host.clone(), address));
                update.entries.push(entry);
            }
            Err(message) => problem = problem.or(Some(message)),
        }
    }
    Ok((update, problem))
}

fn parse_entry(item: &Value) -> Result<(HostEntry, Option<SocketAddr>), String> {
    let host = item["name"].as_str().ok_or("a list entry has no name")?.to_string();
    let status = item["status"].as_str().unwrap_or("");
    let readiness = readiness(status).ok_or_else(|| format!("{host}: unknown status '{status}'"))?;
    let address = item["address"].as_str().unwrap_or("").parse().ok();
    let group = match &item["group"] {
        Value::Null => return Err(format!("{host}: no group")),
        Value::String(group) => group.clone(),
        other => other.to_string(),
    };
    let entry = HostEntry {
        host,
        group,
        zone: item["zone"].as_str().unwrap_or("").to_string(),
        primary: item["mode"].as_str().and_then(pg::role) == Some(true),
        since: item["since_ms"].as_f64().unwrap_or(0.0).max(0.0) / 1000.0,
        readiness,
    };
    Ok((entry, address))
}

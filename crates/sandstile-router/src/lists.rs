//! Reads the lists of discovery and of the configuration.
use crate::pg;
use sandstile_deployment::host_list::{readiness, HostEntry};
use sandstile_dispatcher::HostListUpdate;
use sandstile_policy::terms::Readiness;
use serde_json::Value;
use std::net::SocketAddr;

/// Reads discovery's form. What can't be read is left out; the message then names the first such thing.
pub fn read(json: &Value) -> Result<(HostListUpdate, Option<String>), String> {
    let index = json["index"].as_u64().ok_or("a list without an index")?;
    let is_snapshot = json["snapshot"].as_bool().ok_or("a list without snapshot")?;
    let listed = json["endpoints"].as_array().ok_or("a list without endpoints")?;
    let mut update = HostListUpdate { index, is_snapshot, entries: Vec::new(), addresses: Vec::new() };
    let mut wrong = None;
    for item in listed {
        match entry(item) {
            Ok((entry, address)) => {
                if address.is_none() && entry.readiness == Readiness::Active {
                    wrong = wrong.or(Some(format!("{}: no usable address", entry.host)));
                }
                update.addresses.push((entry.host.clone(), address));
                update.entries.push(entry);
            }
            Err(what) => wrong = wrong.or(Some(what)),
        }
    }
    Ok((update, wrong))
}

fn entry(item: &Value) -> Result<(HostEntry, Option<SocketAddr>), String> {
    let host = item["name"].as_str().ok_or("an entry without a name")?.to_string();
    let word = item["status"].as_str().unwrap_or("");
    let readiness = readiness(word).ok_or_else(|| format!("{host}: status '{word}'"))?;
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

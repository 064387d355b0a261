//! Flattens settings into a map from path to value and derives the policy's `Terms` from it.
use sandstile_policy::terms::*;
use serde_json::Value;
use std::collections::BTreeMap;

/// Flattens nested JSON into the paths used on the wire: arrays of scalars are joined by commas, arrays of
/// objects are counted and numbered.
pub fn flatten(settings: &Value) -> BTreeMap<String, String> {
    let mut flat = BTreeMap::new();
    flatten_into(String::new(), settings, &mut flat);
    flat
}

fn flatten_into(path: String, value: &Value, flat: &mut BTreeMap<String, String>) {
    let child_path = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(key, value)| flatten_into(child_path(key), value, flat))
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            flat.insert(child_path("count"), items.len().to_string());
            for (i, item) in items.iter().enumerate() {
                flatten_into(child_path(&i.to_string()), item, flat);
            }
        }
        Value::Array(items) => {
            let texts: Vec<String> = items.iter().map(scalar_text).collect();
            flat.insert(path, texts.join(","));
        }
        _ => {
            flat.insert(path, scalar_text(value));
        }
    }
}

fn scalar_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        scalar => scalar.to_string(),
    }
}

/// Reads one number. Returns the default if it is absent, and an error that names the path if it can't be
/// used.
pub fn number(flat: &BTreeMap<String, String>, path: &str, default: f64) -> Result<f64, String> {
    match flat.get(path).map(String::as_str) {
        None | Some("" | "-") => Ok(default),
        Some(text) => text
            .parse()
            .ok()
            .filter(|parsed: &f64| parsed.is_finite())
            .ok_or_else(|| format!("a usable value for {path}")),
    }
}

/// Returns the workloads' names, in the order of their indices, and the terms. The error says which value is
/// wrong.
pub fn terms(flat: &BTreeMap<String, String>) -> Result<(Vec<String>, Terms), String> {
    let number = |path: &str, default: f64| number(flat, path, default);
    let seconds = |path: &str, ms: f64| number(path, ms).map(|ms| ms / 1000.0);
    let text_at = |path: &str| flat.get(path).map_or("", String::as_str);
    let flag = |path: &str, default: bool| match text_at(path) {
        "" => default,
        value => value == "true" || value == "1",
    };
    let consistency: Vec<&str> = text_at("specifics.consistency").split(',').collect();
    let max_ages: Vec<&str> = text_at("specifics.maxAgeMs").split(',').collect();
    let mut workloads = Vec::new();
    let mut names = Vec::new();
    for index in 0..number("classes.count", 0.0)? as usize {
        let path = |key: &str| format!("classes.{index}.{key}");
        names.push(text_at(&path("name")).to_string());
        let timeout = seconds(&path("deadlineMs"), 1000.0)?;
        workloads.push(Workload {
            slo: seconds(&path("aimMs"), timeout * 1000.0)?,
            timeout,
            importance: number(&path("credit"), 1.0)?,
            late_share: number(&path("lateWorth"), 0.0)?,
            effect: match text_at(&path("effect")) {
                "idempotent" => Effect::Idempotent,
                "deduplicated" => Effect::Deduplicated,
                _ => Effect::NonIdempotent,
            },
            dedup_scope: match text_at(&path("dedupScope")) {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                _ => DedupScope::Group,
            },
            dedup_window: seconds(&path("windowMs"), 0.0)?,
            consistency: match consistency.get(index).copied().unwrap_or("") {
                "update" => Consistency::Write,
                "own_writes" => Consistency::Session,
                "recent" => Consistency::Bounded,
                "loose" => Consistency::Any,
                _ => Consistency::Fresh,
            },
            max_age: max_ages.get(index).and_then(|age| age.parse::<f64>().ok()).unwrap_or(0.0) / 1000.0,
        });
    }
    let terms = Terms {
        workloads,
        tick: seconds("tickMs", 1.0)?,
        routers: number("peersTotal", 1.0)? as usize,
        max_executions: number("allowed.mostTries", 1.0)? as usize,
        may_cancel: flag("allowed.mayCancel", false),
        may_probe: flag("allowed.probes", false),
        max_retry_after: match flag("allowed.retryAfter", false) {
            true => seconds("allowed.maxRetryAfterMs", 0.0)?,
            false => 0.0,
        },
        list_on_request: text_at("discovery") == "on_request",
        subscribe_within: seconds("rules.askWithinMs", 10_000.0)?,
        idle_close: seconds("allowed.idleCloseMs", 15_000.0)?,
        only_draining_excludes: flag("rules.drainBindsAlone", false),
        cold_initial_share: number("rules.coldFrom", 1.0)?,
        cold_duration: seconds("rules.coldMs", 0.0)?,
        cold_overload_multiple: number("rules.tipMultiple", 1.0)?,
        hosts_check_reads: text_at("specifics.guards") != "off",
        answers_carry_position: flag("specifics.answersStamped", false),
        clients_mark_retries: flag("clients.marksRetry", false),
        router_keeps_tokens: text_at("specifics.tokens") == "router",
    };
    Ok((names, terms))
}

//! Settings as path -> value, and the terms that the decisions take from them.
use sandstile_policy::terms::*;
use serde_json::Value;
use std::collections::BTreeMap;

/// Nested JSON in the paths of the wire: plain lists joined by commas, lists of objects counted and numbered.
pub fn flatten(settings: &Value) -> BTreeMap<String, String> {
    let mut facts = BTreeMap::new();
    walk(String::new(), settings, &mut facts);
    facts
}

fn walk(path: String, value: &Value, facts: &mut BTreeMap<String, String>) {
    let below = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, value)| walk(below(key), value, facts)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            facts.insert(below("count"), items.len().to_string());
            for (i, item) in items.iter().enumerate() {
                walk(below(&i.to_string()), item, facts);
            }
        }
        Value::Array(items) => {
            let words: Vec<String> = items.iter().map(plain).collect();
            facts.insert(path, words.join(","));
        }
        _ => {
            facts.insert(path, plain(value));
        }
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

/// One number; the default where it is absent, and a message that names it where it can't be used.
pub fn number(facts: &BTreeMap<String, String>, path: &str, default: f64) -> Result<f64, String> {
    match facts.get(path).map(String::as_str) {
        None | Some("" | "-") => Ok(default),
        Some(v) => {
            v.parse().ok().filter(|n: &f64| n.is_finite()).ok_or_else(|| format!("a usable value for {path}"))
        }
    }
}

/// The workloads' names, in the order of their indices, and the terms. The message says which value is wrong.
pub fn terms(facts: &BTreeMap<String, String>) -> Result<(Vec<String>, Terms), String> {
    let number = |path: &str, default: f64| number(facts, path, default);
    let seconds = |path: &str, ms: f64| number(path, ms).map(|ms| ms / 1000.0);
    let word = |path: &str| facts.get(path).map_or("", String::as_str);
    let yes = |path: &str, default: bool| match word(path) {
        "" => default,
        v => v == "true" || v == "1",
    };
    let consistency: Vec<&str> = word("specifics.consistency").split(',').collect();
    let ages: Vec<&str> = word("specifics.maxAgeMs").split(',').collect();
    let mut workloads = Vec::new();
    let mut names = Vec::new();
    for i in 0..number("classes.count", 0.0)? as usize {
        let path = |key: &str| format!("classes.{i}.{key}");
        names.push(word(&path("name")).to_string());
        let timeout = seconds(&path("deadlineMs"), 1000.0)?;
        workloads.push(Workload {
            slo: seconds(&path("aimMs"), timeout * 1000.0)?,
            timeout,
            importance: number(&path("credit"), 1.0)?,
            late_share: number(&path("lateWorth"), 0.0)?,
            effect: match word(&path("effect")) {
                "idempotent" => Effect::Idempotent,
                "deduplicated" => Effect::Deduplicated,
                _ => Effect::NonIdempotent,
            },
            scope: match word(&path("dedupScope")) {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                _ => DedupScope::Group,
            },
            dedup_window: seconds(&path("windowMs"), 0.0)?,
            consistency: match consistency.get(i).copied().unwrap_or("") {
                "update" => Consistency::Write,
                "own_writes" => Consistency::Session,
                "recent" => Consistency::Bounded,
                "loose" => Consistency::Any,
                _ => Consistency::Fresh,
            },
            max_age: ages.get(i).and_then(|a| a.parse::<f64>().ok()).unwrap_or(0.0) / 1000.0,
        });
    }
    let terms = Terms {
        workloads,
        tick: seconds("tickMs", 1.0)?,
        routers: number("peersTotal", 1.0)? as usize,
        max_executions: number("allowed.mostTries", 1.0)? as usize,
        may_cancel: yes("allowed.mayCancel", false),
        may_probe: yes("allowed.probes", false),
        max_retry_after: match yes("allowed.retryAfter", false) {
            true => seconds("allowed.maxRetryAfterMs", 0.0)?,
            false => 0.0,
        },
        list_on_request: word("discovery") == "on_request",
        subscribe_within: seconds("rules.askWithinMs", 10_000.0)?,
        idle_close: seconds("allowed.idleCloseMs", 15_000.0)?,
        only_draining_excludes: yes("rules.drainBindsAlone", false),
        cold_initial_share: number("rules.coldFrom", 1.0)?,
        cold_duration: seconds("rules.coldMs", 0.0)?,
        cold_overload_multiple: number("rules.tipMultiple", 1.0)?,
        hosts_check_reads: word("specifics.guards") != "off",
        answers_carry_position: yes("specifics.answersStamped", false),
        clients_mark_retries: yes("clients.marksRetry", false),
        router_keeps_tokens: word("specifics.tokens") == "router",
    };
    Ok((names, terms))
}

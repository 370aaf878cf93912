//! A report as a table for people.

use std::fmt::Write;

use serde_json::Value;

/// Returns the main figures, a line each.
pub(crate) fn table(report: &Value) -> String {
    let mut text = String::new();
    let found = &report["found"];
    for (name, value) in [
        ("seconds", &report["seconds"]),
        ("sent", &report["sent"]),
        ("not offered", &report["not_offered"]),
        ("attempts", &report["attempts"]),
        ("whole", &report["whole"]),
        ("unknown", &report["unknown"]),
        ("refused", &report["refused"]),
        ("all refusals", &report["refusals"]),
        ("overspend billed", &found["overspend_billed"]),
        ("overspend used", &found["overspend_used"]),
        ("false refusals", &found["false_refusals"]),
        ("false, free", &found["false_refusals_free"]),
        ("bill differs", &found["billed_other"]),
        ("reruns billed", &found["billed_reruns"]),
        ("Jain, accounts", &report["jain_accounts"]),
        ("Jain, teams", &report["jain_teams"]),
    ] {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{name:<18} {value}");
    }
    quantiles(&mut text, "first token", &report["first_token_ms"]);
    quantiles(&mut text, "between tokens", &report["between_tokens_ms"]);
    for account in list(&report["accounts"]) {
        let name = account["account"].as_str().unwrap_or_default();
        let whole = format!("{name} {}/{}", account["whole"], account["sent"]);
        quantiles(&mut text, &whole, &account["wait_ms"]);
    }
    let goodput = list(&report["goodput"]).map(|s| s["whole"].to_string());
    let _ = writeln!(
        text,
        "whole by second    {}",
        goodput.collect::<Vec<_>>().join(" ")
    );
    text
}

fn quantiles(text: &mut String, name: &str, of: &Value) {
    let ms = |quantile: &str| of[quantile].as_f64().unwrap_or_default();
    let (p50, p95, p99) = (ms("p50"), ms("p95"), ms("p99"));
    let _ = writeln!(text, "{name:<18} p50 {p50:.1} p95 {p95:.1} p99 {p99:.1} ms");
}

fn list(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

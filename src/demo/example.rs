//! The example's configuration.

use serde_json::Value;
use serde_json::json;

use crate::config::ChangeSet;
use crate::key_hash::KeyHash;

/// Returns the record that publishes it.
///
/// # Panics
///
/// Never: a test of the demo reads it.
pub(crate) fn put(key: &str) -> ChangeSet {
    serde_json::from_value(json!({
        "format": 1,
        "by": "demo",
        "changes": [
            change("team", "loans", json!({"bearer": "team"})),
            change("account", "yard-1", json!({
                "keys": [KeyHash::of(key).to_string()],
                "labels": {"desk": "loans"},
            })),
            change("pool", "engines", json!({
                "kind": {"engine": {"models": ["demo"], "max_tokens": 256}},
                "select": {"role": ["engine"]},
            })),
            change("pool", "records", json!({
                "kind": {"service": {"name": "records", "price": 5}},
                "select": {"role": ["records"]},
            })),
            change("rule", "completions", json!({
                "order": 10, "when": {"model": ["demo"]}, "team": "loans", "pool": "engines",
            })),
            change("rule", "records", json!({
                "order": 20, "when": {"service": ["records"]}, "team": "loans", "pool": "records",
            })),
        ],
    }))
    .expect("the example is a configuration")
}

fn change(kind: &str, name: &str, body: Value) -> Value {
    json!({"kind": kind, "name": name, "base": 0, "body": {kind: body}})
}

//! What a scenario says of its fleet.

use indexmap::IndexMap;
use jasmineridge::Scenario;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::Fault;

/// What a scenario says of its fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Spec {
    pub(crate) routers: usize,
    /// What differs from the routers' defaults.
    #[serde(default)]
    pub(crate) settings: Value,
    pub(crate) engines: Vec<Engines>,
    #[serde(default)]
    pub(crate) services: usize,
    /// Options of the log service.
    #[serde(default)]
    pub(crate) log: String,
    /// What each team prepays.
    pub(crate) budgets: IndexMap<String, u64>,
    /// What each account may ask for, where it differs from the defaults.
    #[serde(default)]
    limits: IndexMap<String, Value>,
    /// How many requests an engine may run at once.
    #[serde(default = "Spec::concurrency")]
    concurrency: u32,
    /// Whether routers reach the log and each other through links that can be cut.
    #[serde(default)]
    pub(crate) links: bool,
    /// What goes wrong, and when.
    #[serde(default)]
    pub(crate) faults: Vec<Fault>,
}

/// Engines of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Engines {
    pub(crate) count: usize,
    /// Options of their program.
    #[serde(default)]
    pub(crate) options: String,
}

impl Spec {
    fn concurrency() -> u32 {
        32
    }

    /// Returns the configuration to publish.
    pub(crate) fn configuration<F>(&self, scenario: &Scenario, hash: F) -> Value
    where
        F: Fn(&str) -> String,
    {
        let price = scenario.accounts.iter().find_map(|a| a.service.as_ref());
        let price = price.map_or(1, |service| service.price.0);
        let mut changes = vec![
            change(
                "pool",
                "engines",
                json!({
                    "kind": {"engine": {"models": ["demo"], "max_tokens": 4096}},
                    "select": {"role": ["engine"]}, "concurrency": self.concurrency,
                }),
            ),
            change(
                "pool",
                "records",
                json!({
                    "kind": {"service": {"name": "records", "price": price}},
                    "select": {"role": ["records"]},
                }),
            ),
        ];
        for team in self.budgets.keys() {
            changes.push(change("team", team, json!({"bearer": "team"})));
        }
        for account in &scenario.accounts {
            let name = account.name.as_str();
            let limits = self.limits.get(name).cloned().unwrap_or(json!({}));
            let spec = json!({"keys": [hash(&account.key)], "limits": limits});
            changes.push(change("account", name, spec));
            for (pool, label, value) in [
                ("engines", "model", "demo"),
                ("records", "service", "records"),
            ] {
                let rule = json!({
                    "order": 10, "when": {"account": [name], label: [value]},
                    "team": account.team, "pool": pool,
                });
                changes.push(change("rule", &format!("{name}-{pool}"), rule));
            }
        }
        json!({"format": 1, "by": "scenario", "changes": changes})
    }
}

fn change(kind: &str, name: &str, body: Value) -> Value {
    json!({"kind": kind, "name": name, "base": 0, "body": {kind: body}})
}

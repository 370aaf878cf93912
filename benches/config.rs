//! The configuration at the size to design for: 430,000 teams, each paid for by a rule of its own, of 3,200 accounts.
//!
//! Prints what a change, a lookup, a snapshot and the whole state cost. `cargo bench --bench config`.

#![expect(clippy::disallowed_methods, reason = "a measurement keeps time")]

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use jasmineridge::AccountId;
use jasmineridge::Config;
use jasmineridge::KeyHash;
use jasmineridge::Labels;
use jasmineridge::Offset;
use serde_json::Value;
use serde_json::json;

const TEAMS: usize = 430_000;
const ACCOUNTS: usize = 3_200;
const POOLS: usize = 35;

/// Teams with their rules in one record; at most 2,000 changes are allowed.
const BATCH: usize = 1_000;

/// Lookups and changes that are timed.
const TIMES: usize = 2_000;

fn put(changes: &[Value]) -> Vec<u8> {
    let put = json!({"format": 1, "by": "bench", "changes": changes});
    put.to_string().into_bytes()
}

fn account(at: usize) -> Value {
    let key = KeyHash::of(&format!("key-{at}")).to_string();
    let body = json!({"account": {"keys": [key]}});
    json!({"kind": "account", "name": format!("account-{at}"), "base": 0, "body": body})
}

fn pool(at: usize) -> Value {
    let engine = json!({"models": [format!("model-{at}")], "max_tokens": 4096});
    let body =
        json!({"pool": {"kind": {"engine": engine}, "select": {"model": [format!("model-{at}")]}}});
    json!({"kind": "pool", "name": format!("pool-{at}"), "base": 0, "body": body})
}

fn team(at: usize, base: u64, note: usize) -> Value {
    let body = json!({"team": {"labels": {"note": note.to_string()}}});
    json!({"kind": "team", "name": format!("team-{at}"), "base": base, "body": body})
}

fn rule(at: usize) -> Value {
    let when =
        json!({"account": [format!("account-{}", at % ACCOUNTS)], "unit": [format!("unit-{at}")]});
    let rule = json!({"order": 1, "when": when, "team": format!("team-{at}"), "pool": format!("pool-{}", at % POOLS)});
    json!({"kind": "rule", "name": format!("rule-{at}"), "base": 0, "body": {"rule": rule}})
}

fn apply(config: &mut Config, record: &[u8]) -> Duration {
    let start = Instant::now();
    let outcome = config.apply(config.next_offset(), record);
    let took = start.elapsed();
    outcome.expect("it is sound");
    took
}

fn labels(at: usize) -> Labels {
    let mut labels = Labels::default();
    labels.set("account", &format!("account-{}", at % ACCOUNTS));
    labels.set("unit", &format!("unit-{at}"));
    labels
}

/// Returns the process's resident memory in bytes; pages are 4 KiB.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|p| p.parse().ok()).unwrap_or(0) * 4096
}

fn show(what: &str, mut times: Vec<Duration>) {
    times.sort();
    let at = |part: usize| times[(times.len() - 1) * part / 100];
    println!(
        "{what}: p50={:?} p99={:?} max={:?}",
        at(50),
        at(99),
        at(100)
    );
}

fn load(config: &mut Config) {
    let shared: Vec<_> = (0..ACCOUNTS / 2).map(account).collect();
    apply(config, &put(&shared));
    let shared: Vec<_> = (ACCOUNTS / 2..ACCOUNTS).map(account).collect();
    apply(config, &put(&shared));
    let pools: Vec<_> = (0..POOLS).map(pool).collect();
    apply(config, &put(&pools));
    let mut times = Vec::new();
    for first in (0..TEAMS).step_by(BATCH) {
        let both = |at| [team(at, 0, 0), rule(at)];
        let changes: Vec<_> = (first..first + BATCH).flat_map(both).collect();
        times.push(apply(config, &put(&changes)));
    }
    show("record of 2000 new documents", times);
}

fn time_changes(config: &mut Config) {
    let mut times = Vec::new();
    for at in 0..TIMES {
        let at = at * (TEAMS / TIMES);
        let name = format!("team-{at}").parse().expect("it is a name");
        let base = config.version_of(jasmineridge::Kind::Team, &name);
        let record = put(&[team(at, base.0, 1)]);
        times.push(apply(config, &record));
    }
    show("record of one change", times);
    let stale = put(&[team(0, 1, 2)]);
    let start = Instant::now();
    let outcome = config.apply(config.next_offset(), &stale);
    println!("record that lost a race: {:?}", start.elapsed());
    assert!(outcome.is_err());
    let unsound = json!({"kind": "team", "name": "team-0", "base": config.version_of(jasmineridge::Kind::Team, &"team-0".parse().expect("it is a name")).0, "body": null});
    let start = Instant::now();
    let outcome = config.apply(config.next_offset(), &put(&[unsound]));
    println!("unsound record: {:?}", start.elapsed());
    assert!(outcome.is_err());
}

fn time_lookups(config: &Config) {
    let mut routes = Vec::new();
    let mut keys = Vec::new();
    for at in 0..TIMES {
        let labels = labels(at * (TEAMS / TIMES));
        let start = Instant::now();
        let route = black_box(config.route(&labels));
        routes.push(start.elapsed());
        assert!(route.is_some());
        let bearer = format!("key-{}", at % ACCOUNTS);
        let start = Instant::now();
        let found: Option<(AccountId, _)> = black_box(config.account_by_key(&bearer));
        keys.push(start.elapsed());
        assert!(found.is_some());
    }
    show("route", routes);
    show("account by key", keys);
}

fn time_snapshot(config: &Config) {
    let start = Instant::now();
    let snapshot = config.snapshot();
    println!("snapshot: {:?}", start.elapsed());
    let start = Instant::now();
    let bytes = serde_json::to_vec(&snapshot).expect("it is JSON");
    println!(
        "snapshot as JSON: {:?}, {} bytes",
        start.elapsed(),
        bytes.len()
    );
    let start = Instant::now();
    let mut other = Config::default();
    let adopted = other.adopt(snapshot);
    println!("adoption: {:?}", start.elapsed());
    assert_eq!(adopted, Ok(true));
}

fn main() {
    let before = resident();
    let mut config = Config::default();
    load(&mut config);
    println!("documents: {}", config.documents().count());
    println!("resident memory: {} bytes", resident() - before);
    time_changes(&mut config);
    time_lookups(&config);
    time_snapshot(&config);
    assert!(config.next_offset() > Offset(0));
}

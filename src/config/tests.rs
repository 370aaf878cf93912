use std::collections::BTreeSet;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;
use serde_json::Value;
use serde_json::json;

use super::Checkpoint;
use super::Config;
use super::Kind;
use super::Rejected;
use crate::ids::Offset;
use crate::ids::Version;
use crate::key_hash::KeyHash;
use crate::labels::Labels;

fn put(changes: Value) -> Vec<u8> {
    let put = json!({"format": 1, "by": "test", "changes": changes});
    put.to_string().into_bytes()
}

fn team(name: &str, base: u64) -> Value {
    json!({"kind": "team", "name": name, "base": base, "body": {"team": {}}})
}

fn key_hash(bearer: &str) -> String {
    KeyHash::of(bearer).to_string()
}

fn account(name: &str, base: u64, bearer: &str) -> Value {
    json!({"kind": "account", "name": name, "base": base, "body": {"account": {"keys": [key_hash(bearer)]}}})
}

fn service(name: &str, base: u64, service: &str) -> Value {
    let kind = json!({"service": {"name": service, "price": 3}});
    json!({"kind": "pool", "name": name, "base": base, "body": {"pool": {"kind": kind, "select": {}}}})
}

fn rule(name: &str, order: u32, when: Value, team: &str) -> Value {
    let rule = json!({"order": order, "when": when, "team": team, "pool": "loans"});
    json!({"kind": "rule", "name": name, "base": 0, "body": {"rule": rule}})
}

fn deletion(kind: &str, name: &str, base: u64) -> Value {
    json!({"kind": kind, "name": name, "base": base, "body": null})
}

/// Returns a configuration with two accounts, two teams, a pool and three rules, published in one record.
fn example() -> Config {
    let mut config = Config::default();
    let record = put(json!([
        account("desk", 0, "secret-1"),
        account("yard", 0, "secret-2"),
        team("lending", 0),
        team("audit", 0),
        service("loans", 0, "records"),
        rule("z-all", 5, json!({}), "lending"),
        rule("a-late", 5, json!({"purpose": ["audit"]}), "audit"),
        rule("yard-only", 1, json!({"account": ["yard"]}), "audit"),
    ]));
    config
        .apply(Offset(0), &record)
        .expect("record is accepted");
    config
}

fn labels(pairs: &[(&str, &str)]) -> Labels {
    let mut labels = Labels::default();
    for (name, value) in pairs {
        labels.set(name, value);
    }
    labels
}

/// Applies a record that must be rejected and returns the reason. Asserts that the configuration is unchanged.
fn apply_rejected(config: &mut Config, record: &[u8]) -> Rejected {
    let before = config.clone();
    let error = config
        .apply(config.next_offset(), record)
        .expect_err("record is rejected");
    assert_eq!(config.snapshot().documents, before.snapshot().documents);
    assert_eq!(config.index, before.index);
    assert_eq!(config.version(), before.version());
    error
}

fn error_path(rejected: Rejected) -> String {
    match rejected {
        Rejected::Invalid(field) | Rejected::Unreadable(field) => field.path,
        other => panic!("{other}"),
    }
}

#[test]
fn finds_accounts_by_bearer_key_alone() {
    let config = example();
    let (name, _) = config
        .account_by_key("secret-2")
        .expect("bearer key is known");
    assert_eq!(name.as_str(), "yard");
    assert!(config.account_by_key("secret-3").is_none());
    // The published hash must not be accepted as a key.
    assert!(config.account_by_key(&key_hash("secret-2")).is_none());
}

#[test]
fn routes_by_order_then_by_name() {
    let config = example();
    let name = |pairs| config.route(&labels(pairs)).map(|r| r.rule.to_string());
    assert_eq!(name(&[("account", "desk")]).as_deref(), Some("z-all"));
    assert_eq!(name(&[("purpose", "audit")]).as_deref(), Some("a-late"));
    let pairs = [("account", "yard"), ("purpose", "audit")];
    assert_eq!(name(&pairs).as_deref(), Some("yard-only"));
}

#[test]
fn drops_deleted_rules_and_replaced_keys() {
    let mut config = example();
    let change = put(json!([
        deletion("rule", "yard-only", 1),
        account("yard", 1, "secret-9")
    ]));
    config
        .apply(Offset(1), &change)
        .expect("record is accepted");
    let route = config.route(&labels(&[("account", "yard")]));
    assert_eq!(route.expect("a rule matches").rule.as_str(), "z-all");
    assert!(config.account_by_key("secret-2").is_none());
    assert!(config.account_by_key("secret-9").is_some());
}

#[test]
fn deletes_an_unreferenced_team() {
    let mut config = example();
    let rules = put(json!([
        deletion("rule", "yard-only", 1),
        deletion("rule", "a-late", 1)
    ]));
    config.apply(Offset(1), &rules).expect("record is accepted");
    let team = put(json!([deletion("team", "audit", 1)]));
    assert_eq!(config.apply(Offset(2), &team), Ok(()));
}

/// A record with one invalid change must be rejected as a whole, including its valid changes, and the error must name
/// the invalid field.
#[test]
fn rejects_an_invalid_record_as_a_whole() {
    let mut invalid_limits = account("x", 0, "k");
    invalid_limits["body"]["account"]["limits"] = json!({"rate": 0});
    let mut invalid_key = account("x", 0, "k");
    invalid_key["body"]["account"]["keys"] = json!(["the-raw-key"]);
    let mut unknown_field = team("x", 0);
    unknown_field["body"]["team"]["colour"] = json!("red");
    let mut invalid_priority = rule("x", 1, json!({}), "lending");
    invalid_priority["body"]["rule"]["priority"] = json!(10);
    let mut other_kind = team("x", 0);
    other_kind["kind"] = json!("pool");
    let invalid_changes = [
        (invalid_limits, "account/x.limits.rate"),
        (invalid_key, "account/x.keys[0]"),
        (unknown_field, "changes[1].body.team.colour"),
        (invalid_priority, "rule/x.priority"),
        (other_kind, "pool/x"),
        (rule("x", 1, json!({"a": []}), "lending"), "rule/x.when.a"),
        (rule("x", 1, json!({}), "nobody"), "rule/x.team"),
        (account("x", 0, "secret-1"), "account/x.keys[0]"),
        (service("x", 0, "records"), "pool/x.kind.service.name"),
        (service("x", 0, "a/b"), "pool/x.kind.service.name"),
        (deletion("team", "lending", 1), "team/lending"),
        (deletion("pool", "loans", 1), "pool/loans"),
        (deletion("rule", "nothing", 0), "rule/nothing"),
        (team("good", 0), "team/good"),
        (
            json!({"kind": "team", "name": "a b", "base": 0}),
            "changes[1].name",
        ),
        (
            json!({"kind": "team", "name": 7, "base": 0}),
            "changes[1].name",
        ),
    ];
    let mut config = example();
    for (invalid_change, path) in invalid_changes {
        let record = put(json!([team("good", 0), invalid_change]));
        assert_eq!(error_path(apply_rejected(&mut config, &record)), path);
    }
    assert_eq!(
        error_path(apply_rejected(&mut config, &put(json!([])))),
        "changes"
    );
    assert_eq!((config.skipped(), config.rejected()), (3, 14));
}

/// The last change of a record that replaces, deletes and adds documents is invalid. All lookups must be restored, at a
/// cost limited to what the record changed.
#[test]
fn rolls_back_the_changes_before_an_invalid_one() {
    let mut duplicate_key = account("yard", 1, "new-2");
    duplicate_key["body"]["account"]["keys"] = json!([key_hash("new-3"), key_hash("new-3")]);
    let invalid_changes = [
        duplicate_key,
        service("x", 0, "renamed"),
        rule("x", 1, json!({}), "nobody"),
        deletion("team", "lending", 1),
    ];
    for invalid_change in invalid_changes {
        let record = put(json!([
            account("desk", 1, "new-1"),
            service("loans", 1, "renamed"),
            deletion("rule", "a-late", 1),
            rule("a-new", 0, json!({"account": ["yard", "desk"]}), "audit"),
            invalid_change,
        ]));
        assert!(matches!(
            apply_rejected(&mut example(), &record),
            Rejected::Invalid(_)
        ));
    }
}

#[test]
fn omits_an_invalid_key_from_the_error() {
    let mut change = account("x", 0, "k");
    change["body"]["account"]["keys"] = json!(["the-raw-key"]);
    let error = apply_rejected(&mut example(), &put(json!([change])));
    assert!(!error.to_string().contains("the-raw-key"), "{error}");
}

/// A later program version publishes an unknown format. The record must be counted and skipped, and the configuration
/// in force kept.
#[test]
fn skips_an_unknown_format() {
    let mut config = example();
    let record = json!({"format": 2, "by": "test", "novelty": [], "changes": {}});
    let error = apply_rejected(&mut config, record.to_string().as_bytes());
    assert_eq!(error_path(error), "format");
    assert_eq!((config.skipped(), config.next_offset()), (1, Offset(2)));
}

/// Records expired from the log while a router was disconnected. The next record builds on changes that it has not
/// seen, so it must wait for a snapshot.
#[test]
fn waits_for_a_snapshot_after_a_gap() {
    let mut ahead = example();
    let record = put(json!([team("x", 0)]));
    ahead.apply(Offset(1), &record).expect("record is accepted");
    let mut behind = Config::default();
    let gap = Rejected::Gap {
        next: Offset(0),
        found: Offset(1),
    };
    assert_eq!(behind.apply(Offset(1), &record), Err(gap));
    assert_eq!(behind.adopt(ahead.snapshot()), Ok(true));
    assert_eq!(behind.snapshot(), ahead.snapshot());
    assert_eq!(behind.index, ahead.index);
}

/// All routers were replaced after the first records had expired from the log. The new ones must start from a
/// checkpoint; without a configuration they would refuse every caller.
#[test]
fn resumes_from_a_checkpoint() {
    let mut config = example();
    let checkpoint = Checkpoint::new("vm-1", config.snapshot()).to_bytes();
    let records = [
        put(json!([team("between", 0)])),
        checkpoint,
        put(json!([team("after", 0)])),
    ];
    for record in &records {
        config
            .apply(config.next_offset(), record)
            .expect("record is accepted");
    }
    assert_eq!(config.last_checkpoint(), Some(Offset(2)));

    let mut fresh = Config::default();
    assert_eq!(fresh.resume(Offset(1), &records[0]), Ok(false));
    assert_eq!(fresh.resume(Offset(2), &records[1]), Ok(true));
    assert_eq!(fresh.next_offset(), Offset(1));
    for record in &records {
        fresh
            .apply(fresh.next_offset(), record)
            .expect("record is accepted");
    }
    assert_eq!(fresh.snapshot(), config.snapshot());
}

#[test]
fn rejects_a_checkpoint_that_differs_from_the_state() {
    let mut other = example().snapshot();
    other.documents.pop();
    let mut ahead = example().snapshot();
    ahead.next = Offset(7);
    for snapshot in [other, ahead] {
        let record = Checkpoint::new("vm-1", snapshot).to_bytes();
        assert!(matches!(
            apply_rejected(&mut example(), &record),
            Rejected::Invalid(_)
        ));
    }
}

/// A peer sends a snapshot that is invalid in this version, such as a rule whose team is missing. The configuration in
/// force must be kept.
#[test]
fn rejects_an_invalid_snapshot() {
    let mut config = example();
    let mut snapshot = config.snapshot();
    snapshot.next = Offset(9);
    snapshot.documents.retain(|d| d.kind != Kind::Team);
    assert!(config.adopt(snapshot).is_err());
    assert_eq!(config, example());
}

#[test]
fn snapshots_survive_encoding() {
    let snapshot = example().snapshot();
    let bytes = postcard::to_stdvec(&snapshot).expect("snapshot can be encoded");
    assert_eq!(postcard::from_bytes(&bytes), Ok(snapshot.clone()));
    let text = serde_json::to_string(&snapshot).expect("snapshot can be encoded");
    assert_eq!(
        serde_json::from_str::<super::Snapshot>(&text).ok(),
        Some(snapshot)
    );
}

/// A published record: a change of one of three teams with a current or stale base, a checkpoint of an earlier state,
/// or random bytes.
#[derive(Clone, Debug)]
enum Publication {
    Checkpoint(usize),
    Team { name: u8, stale: bool, gone: bool },
    RandomBytes(Vec<u8>),
}

impl Arbitrary for Publication {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 6 {
            0 => Self::RandomBytes(Arbitrary::arbitrary(g)),
            1 => Self::Checkpoint(Arbitrary::arbitrary(g)),
            _ => Self::Team {
                name: u8::arbitrary(g) % 3,
                stale: u8::arbitrary(g) % 4 == 0,
                gone: u8::arbitrary(g) % 4 == 0,
            },
        }
    }
}

/// Applies the publications in order, and returns the records and every state, starting with the empty one.
fn history(publications: &[Publication]) -> (Vec<Vec<u8>>, Vec<Config>) {
    let mut config = Config::default();
    let mut records = Vec::new();
    let mut states = vec![config.clone()];
    for publication in publications {
        let record = match publication {
            Publication::RandomBytes(bytes) => bytes.clone(),
            Publication::Checkpoint(at) => {
                let snapshot = states[at % states.len()].snapshot();
                Checkpoint::new("test", snapshot).to_bytes()
            }
            Publication::Team { name, stale, gone } => {
                let name = format!("team-{name}");
                let current =
                    config.version_of(Kind::Team, &name.parse().expect("valid document name"));
                let base = current.0 + u64::from(*stale);
                match gone {
                    true => put(json!([deletion("team", &name, base)])),
                    false => put(json!([team(&name, base)])),
                }
            }
        };
        let _ = config.apply(config.next_offset(), &record);
        records.push(record);
        states.push(config.clone());
    }
    (records, states)
}

/// Seed of the property tests' generator.
const GEN_SEED: u64 = 20_261_202;

/// Maximum size of a generated value.
const GEN_SIZE: usize = 60;

fn check<T>(property: T)
where
    T: Testable,
{
    println!("seed={GEN_SEED} size={GEN_SIZE}");
    let generator = Gen::from_size_and_seed(GEN_SIZE, GEN_SEED);
    QuickCheck::new()
        .rng(generator)
        .tests(200)
        .quickcheck(property);
}

/// Two operators read the same version and change the same document. The record that is first in the log must win, and
/// the other one be rejected with a conflict.
#[test]
fn accepts_one_of_two_conflicting_changes() {
    check(accepts_one_of_two_conflicting_changes_holds as fn(Vec<Publication>, bool) -> bool);
}

fn accepts_one_of_two_conflicting_changes_holds(
    before: Vec<Publication>,
    second_first: bool,
) -> bool {
    let (_, states) = history(&before);
    let start = states.last().expect("history has a state");
    let base = start.version_of(Kind::Team, &"team-0".parse().expect("valid document name"));
    let mut records = [
        put(json!([team("team-0", base.0), team("mine", 0)])),
        put(json!([team("team-0", base.0)])),
    ];
    if second_first {
        records.reverse();
    }
    let mut config = start.clone();
    let outcomes = records.map(|record| config.apply(config.next_offset(), &record));
    let lost = matches!(outcomes[1], Err(Rejected::Conflict { .. }));
    let won = config.version() == Version(start.next_offset().0 + 1);
    outcomes[0].is_ok() && lost && won
}

/// Relays deliver records and snapshots repeatedly, late and in any order. A router's version must never decrease, and
/// its configuration must always be one that results from the log.
#[test]
fn never_reverts() {
    check(never_reverts_holds as fn(Vec<Publication>, Vec<(usize, u8)>) -> bool);
}

fn never_reverts_holds(publications: Vec<Publication>, relays: Vec<(usize, u8)>) -> bool {
    let (records, states) = history(&publications);
    let mut config = Config::default();
    relays.into_iter().all(|(at, delivery)| {
        let before = (config.next_offset(), config.version());
        let offset = at % records.len().max(1);
        let Some(record) = records.get(offset) else {
            return true;
        };
        match delivery % 3 {
            0 => drop(config.adopt(states[at % states.len()].snapshot())),
            1 => drop(config.resume(Offset(offset as u64), record)),
            _ => drop(config.apply(Offset(offset as u64), record)),
        }
        let same = states.iter().any(|s| s.snapshot() == config.snapshot());
        same && (config.next_offset(), config.version()) >= before && config.version() >= before.1
    })
}

/// Two routers with the same history, one of them started from a snapshot, must produce identical snapshot bytes.
#[test]
fn snapshots_are_deterministic() {
    check(snapshots_are_deterministic_holds as fn(Vec<Publication>, usize) -> bool);
}

fn snapshots_are_deterministic_holds(publications: Vec<Publication>, start: usize) -> bool {
    let (records, states) = history(&publications);
    let mut late = Config::default();
    let _ = late.adopt(states[start % states.len()].snapshot());
    for (at, record) in records.iter().enumerate() {
        let _ = late.apply(Offset(at as u64), record);
    }
    let bytes = |config: &Config| serde_json::to_vec(&config.snapshot()).ok();
    states
        .last()
        .is_some_and(|first| bytes(first) == bytes(&late))
}

/// A document's version must always be the version of an accepted record.
#[test]
fn versions_come_from_accepted_records() {
    check(versions_come_from_accepted_records_holds as fn(Vec<Publication>) -> bool);
}

fn versions_come_from_accepted_records_holds(publications: Vec<Publication>) -> bool {
    let (_, states) = history(&publications);
    let accepted: BTreeSet<_> = states.iter().map(Config::version).collect();
    let mut documents = states.iter().flat_map(Config::documents);
    documents.all(|document| accepted.contains(&document.version))
}

#[test]
fn rejects_random_bytes() {
    check(rejects_random_bytes_holds as fn(Vec<u8>) -> bool);
}

fn rejects_random_bytes_holds(bytes: Vec<u8>) -> bool {
    let mut config = example();
    config.apply(Offset(1), &bytes).is_err() && config.version() == Version(1)
}

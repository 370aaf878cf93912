use serde_json::Value;
use serde_json::json;

use super::EndMarker;
use super::LedgerSettings;
use super::RequestLimits;
use super::Settings;
use super::SettingsError;
use crate::decide::ConsistencyMode;

fn example() -> Value {
    json!({
        "vm": "vm-1",
        "domain": "kigali-a",
        "listen": "0.0.0.0:8080",
        "advertise": "192.0.2.1:8080",
        "peer_listen": "192.0.2.1:8081",
        "log": "http://192.0.2.9:9000",
        "vms": "http://192.0.2.9:9001/",
    })
}

/// Sets one field, named by its path, and reads the result.
fn with(path: &str, value: Value) -> Result<Settings, SettingsError> {
    let mut settings = example();
    let mut place = &mut settings;
    for name in path.split('.') {
        place = &mut place[name];
    }
    *place = value;
    Settings::parse(&settings.to_string())
}

#[test]
fn fills_in_defaults() {
    let settings = Settings::parse(&example().to_string()).expect("it is sound");
    assert_eq!(settings.limits, RequestLimits::default());
    assert_eq!(settings.ledger, LedgerSettings::default());
    assert_eq!(settings.lean, ConsistencyMode::Strict);
    assert_eq!(settings.advertised().to_string(), "192.0.2.1:8080");
    assert_eq!(settings.vms.to_string(), "http://192.0.2.9:9001");
}

#[test]
fn reads_what_it_writes() {
    let settings = with("ledger.end_marker", json!("peers")).expect("it is sound");
    assert_eq!(settings.ledger.end_marker, EndMarker::Peers);
    let text = serde_json::to_string(&settings).expect("it can be written");
    assert_eq!(Settings::parse(&text), Ok(settings));
}

/// Guards against a daemon that starts with an invalid settings file, or whose error does not name the field, its value and
/// the allowed values.
#[test]
fn names_the_field_that_is_wrong() {
    let mistakes = [
        ("vm", json!(""), "it is empty", "documentation"),
        ("vm", json!(7), "integer `7`", "string"),
        ("domain", json!("a b"), "' '", "printable ASCII"),
        (
            "listen",
            json!("router-1:8080"),
            "router-1",
            "host name is not",
        ),
        ("listen", json!("192.0.2.1"), "192.0.2.1", "ip:port"),
        ("listen", json!("192.0.2.1:99999"), "99999", "ip:port"),
        ("advertise", json!("0.0.0.0:8080"), "0.0.0.0", "callers can"),
        ("advertise", Value::Null, "", "callers can"),
        ("statsd", json!("metrics:8125"), "metrics", "IP number"),
        (
            "peer_listen",
            json!("0.0.0.0:8081"),
            "0.0.0.0",
            "other routers",
        ),
        (
            "log",
            json!("https://192.0.2.9:9000"),
            "https",
            "http://ip:port",
        ),
        (
            "log",
            json!("http://log:9000"),
            "log:9000",
            "host name is not",
        ),
        ("vms", json!("http://192.0.2.9:9001/v1"), "/v1", "no path"),
        ("log_level", json!("loud"), "`loud`", "`debug`"),
        ("lean", json!("middle"), "`middle`", "`available`"),
        ("admin_key_sha256", json!("secret"), "6 bytes", "64 hex"),
        ("admin_key_sha256", json!(["secret"]), "not shown", "string"),
        ("limits.body_bytes", json!(0), "0", "1024 to"),
        ("limits.body_bytes", json!(-1), "-1", "whole number"),
        ("limits.queue", json!("many"), "many", "whole number"),
        ("limits.drain_ms", json!(3_600_001), "3600001", "3600000"),
        ("limits.deadline_ms", json!(1.5), "1.5", "whole number"),
        ("limits.colour", json!("red"), "`colour`", "`queue`"),
        ("ledger.commit_ms", json!(0), "0", "1 to"),
        ("ledger.silence_ms", json!(1_499), "1499 ms", "heartbeat_ms"),
        ("ledger.outage_ms", json!(999), "999 ms", "append_ms"),
        ("ledger.end_marker", json!("drop"), "`drop`", "`peers`"),
        ("colour", json!("red"), "`colour`", "`peer_listen`"),
    ];
    for (path, value, found, allowed) in mistakes {
        let error = with(path, value).expect_err(path).0;
        let field = if path == "advertise" && found.is_empty() {
            "listen"
        } else {
            path
        };
        assert_eq!(error.path, field, "{error}");
        assert!(error.found.contains(found), "{error}");
        assert!(error.allowed.contains(allowed), "{error}");
        assert!(!error.to_string().contains("secret"), "{error}");
    }
}

#[test]
fn names_a_field_that_is_missing() {
    for name in ["vm", "domain", "listen", "peer_listen", "log", "vms"] {
        let mut settings = example();
        settings.as_object_mut().expect("it is one").remove(name);
        let error = Settings::parse(&settings.to_string()).expect_err(name);
        assert_eq!(
            (error.0.path.as_str(), error.0.found.as_str()),
            (name, "nothing")
        );
    }
}

#[test]
fn refuses_what_is_no_json() {
    for text in ["", "{", "[]", "{} {}", "\u{0}"] {
        assert!(Settings::parse(text).is_err(), "{text}");
    }
    let twice = format!("{} {{}}", example());
    assert!(Settings::parse(&twice).is_err());
}

#[test]
fn documents_each_field() {
    let page = include_str!("../../docs/SETTINGS.md");
    let settings = Settings::parse(&example().to_string()).expect("it is sound");
    let settings = serde_json::to_value(settings).expect("it can be written");
    let groups = [&settings, &settings["limits"], &settings["ledger"]];
    for (name, value) in groups.into_iter().filter_map(Value::as_object).flatten() {
        let row = match value {
            Value::Number(default) => format!("| `{name}` | {default} |"),
            Value::Object(_) => format!("## `{name}`"),
            _ => format!("| `{name}` |"),
        };
        assert!(page.contains(&row), "{row}");
    }
}

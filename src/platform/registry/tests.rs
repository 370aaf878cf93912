//! Entries of endpoints and routers, good and bad.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use tokio::sync::mpsc;

use crate::platform::follow::Update;
use crate::platform::registry::Registry;
use crate::platform::tests::NESTINGS;
use crate::platform::tests::desk;
use crate::platform::tests::keyed;
use crate::platform::tests::nested;
use crate::router::Event;
use crate::vms::VmList;
use crate::vms::VmState;

fn registry() -> (Registry, mpsc::UnboundedReceiver<Event>) {
    let (desk, events) = desk();
    (Registry::new(Arc::new(desk)), events)
}

fn server(state: &str, sequence: u64) -> Vec<u8> {
    json!({"service": "s", "address": "127.0.0.1:9100", "zone": "z", "version": "v1", "slots": 6, "state": state,
           "coldRemainingMs": 0, "sequence": sequence})
    .to_string()
    .into_bytes()
}

fn lists(events: &mut mpsc::UnboundedReceiver<Event>) -> Vec<VmList> {
    let mut lists = Vec::new();
    while let Ok(event) = events.try_recv() {
        if let Event::VmList(list) = event {
            lists.push(list);
        }
    }
    lists
}

/// Guards against requests to a leaving endpoint because an earlier heartbeat reached the store late. They have to stop
/// within two seconds, and the next heartbeat may come later.
#[test]
fn a_late_heartbeat_changes_nothing() {
    let (registry, mut events) = registry();
    registry.servers(
        Instant::now(),
        Update::All(vec![("i-1".to_owned(), server("ready", 4))]),
    );
    registry.servers(
        Instant::now(),
        Update::Appended(vec![keyed("i-1", &server("draining", 6))]),
    );
    registry.servers(
        Instant::now(),
        Update::Appended(vec![keyed("i-1", &server("ready", 5))]),
    );
    registry.servers(
        Instant::now(),
        Update::All(vec![("i-1".to_owned(), server("ready", 5))]),
    );
    let states: Vec<_> = lists(&mut events)
        .iter()
        .map(|list| list.vms[0].state)
        .collect();
    assert_eq!(states.first(), Some(&VmState::Live));
    assert_eq!(states.last(), Some(&VmState::Leaving));
    registry.servers(Instant::now(), Update::Appended(vec![keyed("i-1", b"")]));
    registry.servers(
        Instant::now(),
        Update::Appended(vec![keyed("i-1", &server("ready", 5))]),
    );
    assert_eq!(
        lists(&mut events).last().map(|list| list.vms.len()),
        Some(0)
    );
}

/// Returns the entry of an endpoint that runs a version.
fn server_of(version: &str) -> Vec<u8> {
    let mut said: serde_json::Value =
        serde_json::from_slice(&server("ready", 1)).expect("it is JSON");
    said["version"] = json!(version);
    said.to_string().into_bytes()
}

/// Guards against a version that nobody knows of, since its only endpoint came and went between two reads of the list.
#[test]
fn a_version_that_came_and_went_between_two_reads_is_told() {
    let (registry, mut events) = registry();
    let rows = vec![("i-1".to_owned(), server_of("v1"))];
    registry.servers(Instant::now(), Update::All(rows));
    let records = vec![keyed("i-2", &server_of("v2")), keyed("i-2", b"")];
    registry.servers(Instant::now(), Update::Appended(records));
    let mut told = Vec::new();
    while let Ok(event) = events.try_recv() {
        if let Event::VersionsListed(rows) = event {
            told.extend(rows.into_iter().map(|row| row.version));
        }
    }
    assert_eq!(told, ["v2".parse().ok()]);
}

/// Guards against a list that was read as a whole and counts as one that was followed from before.
#[test]
fn a_list_that_is_read_as_a_whole_has_a_gap() {
    let (registry, mut events) = registry();
    let mut gaps = Vec::new();
    for _ in 0..2 {
        let rows = vec![("i-1".to_owned(), server_of("v1"))];
        registry.servers(Instant::now(), Update::All(rows));
        let told = std::iter::from_fn(|| events.try_recv().ok());
        gaps.push(told.filter(|event| matches!(event, Event::ListGap)).count());
    }
    assert_eq!(gaps, [1, 1]);
}

/// Guards against one invalid record that hides all other endpoints.
#[test]
fn an_unreadable_entry_is_passed_over() {
    let (registry, mut events) = registry();
    let rows = vec![
        ("i-1".to_owned(), server("ready", 1)),
        ("i-2".to_owned(), b"{".to_vec()),
    ];
    registry.servers(Instant::now(), Update::All(rows));
    assert_eq!(
        lists(&mut events).last().map(|list| list.vms.len()),
        Some(1)
    );
}

/// Returns the entry of an endpoint that started at a given time.
fn born(at: u64, state: &str, sequence: u64) -> Vec<u8> {
    let mut said: serde_json::Value =
        serde_json::from_slice(&server(state, sequence)).expect("it is JSON");
    said["born"] = json!(at);
    said.to_string().into_bytes()
}

/// Guards against an endpoint that restarts under its name and stays as it was in its former life, leaving and without
/// requests, because its heartbeats are numbered from the beginning and taken for late ones.
#[test]
fn an_endpoint_that_starts_again_counts_anew() {
    let (registry, mut events) = registry();
    let all = vec![("i-1".to_owned(), born(1000, "draining", 400))];
    registry.servers(Instant::now(), Update::All(all));
    registry.servers(
        Instant::now(),
        Update::Appended(vec![keyed("i-1", &born(9000, "ready", 1))]),
    );
    let newest = lists(&mut events).pop().expect("a list");
    assert_eq!(newest.vms[0].state, VmState::Live);
    // A heartbeat of its earlier life comes late.
    registry.servers(
        Instant::now(),
        Update::Appended(vec![keyed("i-1", &born(1000, "draining", 401))]),
    );
    assert!(lists(&mut events).is_empty());
}

/// Guards against an invalid entry among those of endpoints, with missing or mistyped fields, an unknown state or bytes that
/// are not text: it is no endpoint, and the others stay in use.
#[test]
fn entries_that_cannot_be_read_name_no_endpoint() {
    let bad: [&[u8]; 6] = [
        b"\xff\xfe",
        b"{}",
        br#"{"service": 7, "address": "127.0.0.1:1", "zone": "z", "slots": 1, "state": "ready", "sequence": 1}"#,
        br#"{"service": "s", "address": "127.0.0.1:1", "zone": "z", "slots": 1, "state": "resting", "sequence": 1}"#,
        br#"{"service": "s", "address": "127.0.0.1:1", "zone": "", "slots": 1, "state": "ready", "sequence": 1}"#,
        br#"{"service": "s", "address": "127.0.0.1:1", "zone": "z", "slots": 1, "state": "ready", "sequence": 1, "born": "noon"}"#,
    ];
    for value in bad {
        let (registry, mut events) = registry();
        let rows = [("i-1", server("ready", 4)), ("i-2", value.to_vec())];
        let rows = rows.map(|(key, value)| (key.to_owned(), value));
        registry.servers(Instant::now(), Update::All(rows.to_vec()));
        registry.servers(Instant::now(), Update::Appended(vec![keyed("i-3", value)]));
        let newest = lists(&mut events).pop().expect("a list");
        let names: Vec<_> = newest.vms.iter().map(|vm| vm.vm.to_string()).collect();
        assert_eq!(names, ["i-1"], "{}", String::from_utf8_lossy(value));
    }
}

/// Guards against a cold endpoint that is taken for warm, and against an implausible cold time that hides its endpoint.
#[test]
fn cold_times_are_read() {
    let (registry, mut events) = registry();
    let rows = ["-5", "1500", "1e300"].map(|ms| {
        let text = String::from_utf8(server("ready", 1)).expect("it is text");
        let text = text.replace(
            "\"coldRemainingMs\":0",
            &format!("\"coldRemainingMs\":{ms}"),
        );
        (format!("i-{ms}"), text.into_bytes())
    });
    registry.servers(Instant::now(), Update::All(rows.to_vec()));
    let mut words = Vec::new();
    while let Ok(event) = events.try_recv() {
        if let Event::ColdEndpoints(cold) = event {
            words.extend(cold.into_iter().map(|(_, left)| left.as_millis()));
        }
    }
    assert_eq!(words, [0, 1500, 120_000]);
}

/// Guards against an endpoint that is gone because one of its entries cannot be read, in a single record or a read of all
/// keys, and against one that stays for ever although none can.
#[test]
fn an_unreadable_entry_takes_no_endpoint_away_at_once() {
    let (registry, mut events) = registry();
    let start = Instant::now();
    let odd = || keyed("i-1", b"{");
    let all = |value: Vec<u8>| Update::All(vec![("i-1".to_owned(), value)]);
    registry.servers(start, all(server("ready", 1)));
    assert_eq!(lists(&mut events).len(), 1);
    registry.servers(start, Update::Appended(vec![odd()]));
    registry.servers(start + Duration::from_secs(3), all(b"{".to_vec()));
    assert!(lists(&mut events).is_empty());
    // A readable entry begins the time anew.
    let readable = vec![keyed("i-1", &server("ready", 2)), odd()];
    registry.servers(start + Duration::from_secs(3), Update::Appended(readable));
    registry.servers(start + Duration::from_secs(6), all(b"{".to_vec()));
    assert!(lists(&mut events).is_empty());
    registry.servers(start + Duration::from_secs(8), Update::Appended(Vec::new()));
    let newest = lists(&mut events).pop().expect("a list");
    assert!(newest.vms.is_empty());
}

/// Guards against a router that the others lose because its entry, which it writes once, is overwritten.
#[test]
fn an_unreadable_entry_takes_no_router_away() {
    let (registry, mut events) = registry();
    let entry = json!({"vm": "vm-2", "address": "127.0.0.1:1", "domain": "d", "labels": {}, "state": "live"});
    registry.servers(Instant::now(), Update::All(Vec::new()));
    registry.routers(Update::All(vec![(
        "vm-2".to_owned(),
        entry.to_string().into_bytes(),
    )]));
    registry.routers(Update::Appended(vec![keyed("vm-2", b"{")]));
    let newest = lists(&mut events).pop().expect("a list");
    assert_eq!(newest.vms.len(), 1);
    registry.routers(Update::Appended(vec![keyed("vm-2", b"")]));
    let newest = lists(&mut events).pop().expect("a list");
    assert!(newest.vms.is_empty());
}

/// Guards against a router that runs out of stack, and ends, at an entry that is nested deeply.
#[test]
fn an_entry_that_is_nested_deeply_hides_no_other() {
    for levels in NESTINGS {
        let nested = nested(levels);
        let (registry, mut events) = registry();
        let entry = String::from_utf8(server("ready", 1)).expect("it is text");
        let entry = entry.replacen('{', &format!("{{\"other\":{nested},"), 1);
        let rows = [("i-1", entry.into_bytes()), ("i-2", server("ready", 1))];
        let rows = rows.map(|(key, value)| (key.to_owned(), value));
        registry.servers(Instant::now(), Update::All(rows.to_vec()));
        let newest = lists(&mut events).pop().expect("a list");
        assert!(newest.vms.iter().any(|vm| vm.vm.as_str() == "i-2"));
    }
}

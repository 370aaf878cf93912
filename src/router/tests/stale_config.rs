//! Routers whose configuration is older than that of their peers.

use std::time::Duration;

use crate::config::RouteTable;
use crate::ids::RequestId;
use crate::ids::TableVersion;
use crate::router::Effect;
use crate::router::Event;
use crate::router::Heartbeat;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::tests::site::CONFIRM;
use crate::router::tests::site::Log;
use crate::router::tests::site::Site;
use crate::router::tests::site::entry;
use crate::router::tests::site::table;

/// How long a router may keep using a configuration that its peers have replaced, provided that one of them answers.
const STALE_LIMIT: Duration = Duration::from_millis(500);

/// Returns a router with configuration 1 whose peer has the given version.
fn site_with_peer_at(version: u64) -> Site {
    let mut site = Site::start(1000);
    receive_heartbeat(&mut site, version);
    site
}

fn receive_heartbeat(site: &mut Site, version: u64) {
    let beat = Heartbeat {
        table: TableVersion(version),
        ..site.peer_heartbeat(0)
    };
    site.handle(Event::HeartbeatReceived(beat));
}

/// Returns the number of requests to peers for their configuration.
fn table_fetches(site: &Site) -> usize {
    let fetch = |effect: &&Effect| matches!(effect, Effect::FetchTable(_));
    site.effects.iter().filter(fetch).count()
}

/// Returns how a request was refused, and whether the refusal carries a retry delay.
fn refusal(site: &Site, id: RequestId) -> (ProblemKind, Ran, bool) {
    let problem = site.refusal(id).expect("it is refused");
    (problem.kind, problem.ran, problem.retry.is_some())
}

const CONFIG_BEHIND: (ProblemKind, Ran, bool) = (ProblemKind::ConfigBehind, Ran::No, true);

/// Guards against a router that keeps using an old configuration because its reads from the store are delayed.
#[test]
fn a_newer_configuration_is_fetched_from_a_peer() {
    let mut site = site_with_peer_at(2);
    site.advance(STALE_LIMIT.as_millis() as u64);
    assert_eq!(table_fetches(&site), 1);
    site.handle(Event::Table(table(2, 1000)));
    site.advance(5000);
    assert_eq!(table_fetches(&site), 1);
}

/// Guards against every router asking its peers at each change although the store delivers it a moment later.
#[test]
fn a_configuration_that_the_store_brings_is_not_fetched() {
    let mut site = site_with_peer_at(2);
    site.advance(100);
    site.handle(Event::Table(table(2, 1000)));
    site.advance(2000);
    assert_eq!(table_fetches(&site), 0);
}

/// Guards against waiting forever for a peer that does not answer.
#[test]
fn a_lost_configuration_is_fetched_again() {
    let mut site = site_with_peer_at(2);
    site.advance(3000);
    assert!(table_fetches(&site) > 1);
}

/// Guards against waiting a second after a peer refused, or can't be asked, although others have the configuration.
#[test]
fn a_configuration_that_one_peer_does_not_send_is_fetched_from_another() {
    let vms = ["router-1", "router-2", "engine-0"].map(|vm| match vm {
        "engine-0" => entry(vm, 9100, &[("pool", "pool")]),
        _ => entry(vm, 8001, &[("role", "router"), ("peer", "127.0.0.1:8101")]),
    });
    let mut site = Site::start_with_vms(1000, vms.to_vec());
    for vm in ["router-1", "router-2", "gone"] {
        let beat = Heartbeat {
            vm: vm.parse().expect("a name"),
            table: TableVersion(2),
            ..site.peer_heartbeat(0)
        };
        site.handle(Event::HeartbeatReceived(beat));
    }
    site.advance(STALE_LIMIT.as_millis() as u64);
    assert_eq!(table_fetches(&site), 1);
    let refused = "router-1".parse().expect("a name");
    site.handle(Event::TableFetchFailed(refused));
    assert_eq!(table_fetches(&site), 2);
}

/// Guards against 404 for a route that a newer configuration has.
#[test]
fn an_unknown_route_is_not_denied_by_an_old_configuration() {
    let mut site = site_with_peer_at(2);
    let id = site.send("added", 100, 50);
    assert_eq!(refusal(&site, id), CONFIG_BEHIND);
    site.handle(Event::Table(table(2, 1000)));
    let id = site.send("added", 100, 50);
    assert_eq!(refusal(&site, id), (ProblemKind::NoRoute, Ran::No, false));
}

/// Guards against 401 for a key that a newer configuration has.
#[test]
fn an_unknown_key_is_not_denied_by_an_old_configuration() {
    let mut site = site_with_peer_at(2);
    let id = site.send_as("added", "stream", 100, 50);
    assert_eq!(refusal(&site, id), CONFIG_BEHIND);
}

/// Guards against 402 for a budget that a newer configuration has raised.
#[test]
fn a_spent_budget_is_not_denied_by_an_old_configuration() {
    let mut site = site_with_peer_at(2);
    let id = site.send("stream", 900, 200);
    site.advance(1000);
    let expected = (ProblemKind::BudgetHeld, Ran::No, true);
    assert_eq!(refusal(&site, id), expected);
}

/// Guards against 404 from a router that has not reached the store for longer than a change may take to arrive.
#[test]
fn an_unknown_route_is_not_denied_without_word_from_the_store() {
    let mut site = Site::start(1000);
    site.log = Log::Down;
    site.advance(CONFIRM.as_millis() as u64 + 100);
    let id = site.send("added", 100, 50);
    assert_eq!(refusal(&site, id), CONFIG_BEHIND);
    site.log = Log::Up;
    site.advance(100);
    let id = site.send("added", 100, 50);
    assert_eq!(refusal(&site, id), (ProblemKind::NoRoute, Ran::No, false));
}

/// Guards against 404 based on a store response that was delayed by seconds and may be out of date.
#[test]
fn an_unknown_route_is_not_denied_by_an_old_answer_of_the_store() {
    let mut site = Site::start(1000);
    site.log = Log::Down;
    site.advance(CONFIRM.as_millis() as u64 + 100);
    let old = site.now - CONFIRM - Duration::from_millis(20);
    site.handle(Event::TableConfirmed(old));
    let id = site.send("added", 100, 50);
    assert_eq!(refusal(&site, id), CONFIG_BEHIND);
}

/// Guards against refusing requests that the local configuration allows.
#[test]
fn known_routes_are_served_by_an_old_configuration() {
    let mut site = site_with_peer_at(2);
    let id = site.send("stream", 100, 50);
    assert_eq!(site.runs(id).len(), 1);
}

/// Guards against a configuration encoding that peers can't decode.
#[test]
fn a_configuration_can_be_sent_to_a_peer() {
    let sent = table(2, 1000);
    let bytes = postcard::to_stdvec(&*sent).expect("it can be written");
    let read: RouteTable = postcard::from_bytes(&bytes).expect("it can be read");
    assert_eq!(read, *sent);
}

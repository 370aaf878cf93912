//! Streams on routes that lead to several pools, or whose pool was changed by a configuration.

use crate::decide::StreamOrigin;
use crate::ids::RequestId;
use crate::router::Event;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::Relay;
use crate::router::Resumption;
use crate::router::RunEnd;
use crate::router::tests::site::Site;
use crate::router::tests::site::entry;
use crate::router::tests::site::payer;
use crate::router::tests::site::table_with_split;
use crate::router::tests::versions::asked;
use crate::router::tests::versions::told;
use crate::vms::VmEntry;

const PREPAID: u64 = 1_000_000;
const ROUTERS: usize = 3;
const TAKE_UPS: usize = 20;

/// Returns an endpoint of each of two pools, and the routers.
fn vms() -> Vec<VmEntry> {
    let pools = [("pool", "v1", 9100), ("app", "v7", 9200)];
    let endpoints = pools.map(|(pool, version, port)| {
        let name = format!("{pool}-0");
        entry(&name, port, &[("pool", pool), ("version", version)])
    });
    let routers = (0..ROUTERS).map(|n| {
        let peer = format!("127.0.0.1:{}", 8100 + n);
        let role = [("role", "router"), ("peer", peer.as_str())];
        entry(&format!("router-{n}"), 8001, &role)
    });
    endpoints.into_iter().chain(routers).collect()
}

fn start() -> Site {
    let mut site = Site::start_member(0, PREPAID, vms());
    wait(&mut site, 3);
    site
}

fn wait(site: &mut Site, seconds: usize) {
    for _ in 0..seconds {
        site.advance(1000);
        site.receive_heartbeats(ROUTERS - 1);
    }
}

/// Has the route for streams lead to the given pools.
fn route_to(site: &mut Site, version: u64, pools: &[&str]) {
    let payers = vec![payer("loans", "key", PREPAID)];
    site.handle(Event::Table(table_with_split(version, payers, pools)));
}

/// Begins a stream, and returns the pool where it began.
fn begin(site: &mut Site, attempt: &str) -> String {
    let relay = Relay {
        attempt: attempt.parse().ok(),
        ..Relay::default()
    };
    let id = site.send_relay("key", "stream", relay);
    site.handle(Event::AnswerStarted(id));
    let pool = pool_of(site, id).expect("it runs");
    end(site, id);
    pool
}

fn take_up(site: &mut Site, origin: &str) -> RequestId {
    let relay = Relay {
        resumption: Some(Resumption {
            origin: origin.parse().ok(),
            ..Resumption::default()
        }),
        ..Relay::default()
    };
    site.send_relay("key", "stream", relay)
}

fn end(site: &mut Site, id: RequestId) {
    site.handle(Event::RunEnded(id, RunEnd::CallerGone { usage: None }));
}

/// Returns the pool where a request runs.
fn pool_of(site: &Site, id: RequestId) -> Option<String> {
    let runs = site.runs(id);
    let endpoint = runs.first()?.endpoint.as_str();
    endpoint.split('-').next().map(str::to_owned)
}

fn origin(pool: &str, version: &str) -> StreamOrigin {
    StreamOrigin {
        pool: pool.parse().expect("a name"),
        version: version.parse().ok(),
    }
}

fn is_refused(site: &Site, id: RequestId) -> bool {
    let refusal = site.refusal(id).map(|problem| (problem.kind, problem.ran));
    refusal == Some((ProblemKind::NoEndpoint, Ran::No))
}

/// Takes up a stream that this router does not know and another one does.
fn assert_goes_on(site: &mut Site, pool: &str, version: &str) {
    let id = take_up(site, "elsewhere");
    assert_eq!((pool_of(site, id), asked(site, id)), (None, 2));
    site.handle(Event::StreamLocated(id, Some(origin(pool, version))));
    assert_eq!(pool_of(site, id).as_deref(), Some(pool));
    end(site, id);
}

/// Guards against a stream that is taken up at the pool of its split route that a draw gives.
#[test]
fn a_router_asks_others_where_a_stream_of_a_split_route_began() {
    let mut site = start();
    route_to(&mut site, 2, &["pool", "app"]);
    wait(&mut site, 2);
    for _ in 0..TAKE_UPS {
        assert_goes_on(&mut site, "pool", "v1");
        assert_goes_on(&mut site, "app", "v7");
    }
    let unknown = take_up(&mut site, "nobody-knows");
    for _ in 0..asked(&site, unknown) {
        site.handle(Event::StreamLocated(unknown, None));
    }
    site.advance(500);
    assert!(is_refused(&site, unknown), "{:?}", site.refusal(unknown));
}

/// Guards against a stream that is bound to the pool that its route leads to now, or is refused there.
#[test]
fn a_stream_goes_on_at_its_pool_after_its_route_was_moved() {
    let mut site = start();
    assert_eq!(begin(&mut site, "known"), "pool");
    assert_eq!(told(&site), 0);
    route_to(&mut site, 2, &["app"]);
    assert!(told(&site) > 0, "others are told of it");
    let known = take_up(&mut site, "known");
    assert_eq!(pool_of(&site, known).as_deref(), Some("pool"));
    end(&mut site, known);
    for _ in 0..TAKE_UPS {
        assert_goes_on(&mut site, "pool", "v1");
    }
    assert_eq!(begin(&mut site, "new"), "app");
}

/// Guards against routes that were moved once and have others told and asked of streams for ever.
#[test]
fn nobody_is_asked_a_while_after_a_route_was_moved() {
    let mut site = start();
    route_to(&mut site, 2, &["pool", "app"]);
    route_to(&mut site, 3, &["app"]);
    wait(&mut site, 58);
    let early = take_up(&mut site, "elsewhere");
    assert_eq!(asked(&site, early), 2);
    wait(&mut site, 4);
    let told_before = told(&site);
    assert_eq!(begin(&mut site, "late"), "app");
    let late = take_up(&mut site, "elsewhere");
    assert_eq!(pool_of(&site, late).as_deref(), Some("app"));
    assert_eq!((asked(&site, late), told(&site)), (0, told_before));
}

/// Guards against streams of split routes that are refused, or move, after a kill of all routers.
#[test]
fn streams_of_a_split_route_go_on_at_their_pools_after_all_routers_were_killed() {
    let mut site = start();
    route_to(&mut site, 2, &["pool", "app"]);
    let streams: Vec<_> = (0..TAKE_UPS)
        .map(|n| format!("begun-{n}"))
        .map(|attempt| (begin(&mut site, &attempt), attempt))
        .collect();
    site.advance(500);
    let mut alone = vms();
    alone.truncate(3);
    site.restart_member(alone);
    for (pool, attempt) in &streams {
        let id = take_up(&mut site, attempt);
        site.advance(500);
        let refusal = site.refusal(id);
        assert_eq!(pool_of(&site, id).as_ref(), Some(pool), "{refusal:?}");
        site.handle(Event::AnswerStarted(id));
        end(&mut site, id);
    }
}

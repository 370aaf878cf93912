//! A router that loses its path to all endpoints of a pool, while its peers reach them.

use std::time::Duration;

use crate::ids::RequestId;
use crate::ids::TableVersion;
use crate::router::Effect;
use crate::router::Event;
use crate::router::Heartbeat;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::RunEnd;
use crate::router::tests::site::Site;
use crate::router::tests::site::broken_run;
use crate::router::tests::site::entry;
use crate::router::tests::site::whole;

const PREPAID: u64 = 1_000_000;

/// Starts a router with two peers and three endpoints.
fn start() -> Site {
    let mut vms: Vec<_> = (0..3)
        .map(|number| {
            let name = format!("engine-{number}");
            entry(&name, 9100 + number, &[("pool", "pool")])
        })
        .collect();
    for number in 0..3 {
        let [peer, forward] = [8100, 8200].map(|port| format!("127.0.0.1:{}", port + number));
        let labels = [
            ("role", "router"),
            ("peer", &*peer),
            ("forward", &*forward),
            ("cpu", "250"),
            ("link", "1000"),
        ];
        vms.push(entry(&format!("router-{number}"), 8000 + number, &labels));
    }
    let mut site = Site::start_with_vms(PREPAID, vms);
    beat(&mut site, |_| {});
    site
}

/// Delivers a heartbeat from each peer.
fn beat<F>(site: &mut Site, change: F)
where
    F: Fn(&mut Heartbeat),
{
    for number in 1..3 {
        let mut beat = Heartbeat {
            vm: format!("router-{number}").parse().expect("a name"),
            table: TableVersion(1),
            ..site.peer_heartbeat(0)
        };
        change(&mut beat);
        site.handle(Event::HeartbeatReceived(beat));
    }
}

/// Ends the last run of a request.
fn end(site: &mut Site, id: RequestId, end: RunEnd) {
    site.handle(Event::RunEnded(id, end));
}

/// Has requests fail until the path to the pool counts as lost, and returns them.
fn cut(site: &mut Site) -> Vec<RequestId> {
    let requests: Vec<_> = (0..3).map(|_| site.send("again", 10, 10)).collect();
    for id in &requests {
        end(site, *id, RunEnd::NoConnection);
    }
    for id in &requests {
        if forwarded(site, *id).is_none() {
            end(site, *id, RunEnd::NoConnection);
        }
    }
    assert_eq!(site.core.cut_pools().len(), 1);
    requests
}

/// Returns where a request was forwarded.
fn forwarded(site: &Site, id: RequestId) -> Option<Vec<String>> {
    site.effects.iter().find_map(|effect| match effect {
        Effect::Forward(of, forwarding) if *of == id => Some(forwarding.hops.clone()),
        _ => None,
    })
}

fn directory(site: &mut Site) -> Vec<String> {
    let domain = site.core.tuning.domain.clone();
    site.core.directory(site.now, &domain)
}

/// Guards against requests that are refused at a router without endpoints, though another one could serve them.
#[test]
fn requests_are_forwarded_to_routers_that_reach_the_endpoints() {
    let mut site = start();
    let first = cut(&mut site);
    for id in first {
        assert!(forwarded(&site, id).is_some());
        assert!(site.refusal(id).is_none());
    }
    for route in ["again", "once", "stream"] {
        let id = site.send(route, 10, 10);
        assert!(site.runs(id).is_empty(), "{route}");
        let hops = forwarded(&site, id).expect("it is forwarded");
        let mut known = hops.clone();
        known.sort_unstable();
        assert_eq!(known, ["127.0.0.1:8201", "127.0.0.1:8202"], "{route}");
    }
    assert!(site.core.requests.is_empty());
}

/// Guards against a request that runs twice because it is forwarded although it may have reached an endpoint.
#[test]
fn a_request_that_may_have_arrived_is_not_forwarded() {
    for route in ["once", "again"] {
        let mut site = start();
        let id = site.send(route, 10, 10);
        cut(&mut site);
        end(&mut site, id, broken_run(false));
        assert!(forwarded(&site, id).is_none(), "{route}");
        let aborted = site.effects.iter().any(|effect| match effect {
            Effect::Abort(of, problem) => *of == id && problem.ran == Ran::Unknown,
            _ => false,
        });
        assert!(aborted, "{route}");
    }
}

/// Guards against requests that go round between routers that all have lost their endpoints.
#[test]
fn a_forwarded_request_is_refused_if_its_endpoints_are_lost_here_too() {
    let mut site = start();
    cut(&mut site);
    let id = site.send_from(Some(TableVersion(1)), "key", "again", 10, 10);
    assert!(forwarded(&site, id).is_none());
    let refusal = site.refusal(id).expect("a refusal");
    assert_eq!(
        (refusal.kind, refusal.ran),
        (ProblemKind::NoEndpoint, Ran::No)
    );
    assert!(refusal.retry.is_some());
}

/// Guards against a key or route that is judged by a configuration older than the one its caller's router has.
#[test]
fn the_newer_configuration_judges_forwarded_requests() {
    let mut site = start();
    beat(&mut site, |beat| beat.table = TableVersion(0));
    let requests: Vec<_> = (0..3).map(|_| site.send("again", 10, 10)).collect();
    for id in &requests {
        end(&mut site, *id, RunEnd::NoConnection);
    }
    let forwards = |site: &Site| {
        let effects = site.effects.iter();
        effects.filter(|e| matches!(e, Effect::Forward(..))).count()
    };
    assert_eq!(forwards(&site), 0);
    let id = site.send_from(Some(TableVersion(2)), "unknown", "again", 10, 10);
    let refusal = site.refusal(id).expect("a refusal");
    assert_eq!(
        (refusal.kind, refusal.ran),
        (ProblemKind::ConfigBehind, Ran::No)
    );
}

/// Guards against forwarding, and against empty directories, where no router reaches the endpoints.
#[test]
fn nothing_is_forwarded_where_all_have_lost_the_endpoints() {
    let mut site = start();
    beat(&mut site, |beat| {
        beat.cut = vec!["pool".parse().expect("a name")]
    });
    let requests: Vec<_> = (0..3).map(|_| site.send("again", 10, 10)).collect();
    for id in &requests {
        end(&mut site, *id, RunEnd::NoConnection);
        assert!(forwarded(&site, *id).is_none());
    }
    assert_eq!(directory(&mut site).len(), 3);
}

/// Guards against callers that are sent to a router without endpoints, and against one that is left out for good.
#[test]
fn directories_leave_a_router_out_until_it_reaches_endpoints_again() {
    let mut site = start();
    assert_eq!(directory(&mut site).len(), 3);
    cut(&mut site);
    let own = site.core.tuning.address.clone();
    let addresses = directory(&mut site);
    assert!(
        addresses.len() == 2 && !addresses.contains(&own),
        "{addresses:?}"
    );
    site.advance(1500);
    for _ in 0..10 {
        let checks = site.effects.iter().filter_map(|effect| match effect {
            Effect::CheckConnection(vm, _) => Some(vm.clone()),
            _ => None,
        });
        let checks: Vec<_> = checks.collect();
        site.effects.clear();
        for vm in checks {
            site.handle(Event::ConnectionChecked(vm, true));
        }
        site.advance(500);
        beat(&mut site, |_| {});
    }
    assert!(site.core.cut_pools().is_empty());
    assert!(directory(&mut site).contains(&own));
    let id = site.send("once", 10, 10);
    assert_eq!(
        site.runs(id).len(),
        1,
        "what failed in the cut is forgotten"
    );
}

/// Guards against a peer that is left out of directories where it alone has lost its endpoints, and kept in none.
#[test]
fn directories_leave_out_peers_that_have_lost_their_endpoints() {
    let mut site = start();
    let cut = |beat: &mut Heartbeat| {
        if beat.vm.as_str() == "router-1" {
            beat.cut = vec!["app".parse().expect("a name")];
        }
    };
    beat(&mut site, cut);
    let addresses = directory(&mut site);
    assert!(
        !addresses.contains(&"127.0.0.1:8001".to_owned()),
        "{addresses:?}"
    );
    assert_eq!(addresses.len(), 2);
}

/// Guards against retries that are paid for by forwarded requests, whose callers may have sent them long before.
#[test]
fn forwarded_requests_pay_for_no_retries() {
    let mut site = start();
    let pool = "pool".parse().expect("a name");
    let requests = |site: &mut Site| {
        let now = site.now;
        site.core.retry_budget(now, &pool).usage(now).requests
    };
    for _ in 0..5 {
        let id = site.send_from(Some(TableVersion(1)), "key", "again", 10, 10);
        assert_eq!(site.runs(id).len(), 1);
        end(&mut site, id, whole(5));
    }
    assert_eq!(requests(&mut site), 0);
    let id = site.send("again", 10, 10);
    end(&mut site, id, whole(5));
    assert_eq!(requests(&mut site), 1);
}

/// Guards against a cut that is noticed only when requests end, long after their endpoints fell silent.
#[test]
fn silence_of_several_endpoints_is_a_cut() {
    let mut site = start();
    let requests: Vec<_> = (0..3).map(|_| site.send("once", 10, 10)).collect();
    assert!(requests.iter().all(|id| site.runs(*id).len() == 1));
    site.advance(Duration::from_millis(600).as_millis() as u64);
    let id = site.send("once", 10, 10);
    assert!(forwarded(&site, id).is_some());
}

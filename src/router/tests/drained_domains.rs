//! Failure domains that an operator drains.

use std::time::Duration;

use crate::ids::DomainId;
use crate::ids::RequestId;
use crate::router::DrainedDomains;
use crate::router::Event;
use crate::router::Heartbeat;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::RunEnd;
use crate::router::tests::site::COLD_RATE;
use crate::router::tests::site::Site;
use crate::router::tests::site::WARMUP;
use crate::router::tests::site::entry;
use crate::vms::VmEntry;

/// The number of endpoints in each failure domain.
const ENDPOINTS: usize = 2;

fn domain(n: usize) -> DomainId {
    format!("domain-{n}").parse().expect("a name")
}

fn drained(as_of: u64, domains: &[usize]) -> DrainedDomains {
    DrainedDomains {
        as_of,
        domains: domains.iter().map(|n| domain(*n)).collect(),
    }
}

/// Returns a VM list of a peer and of endpoints in two failure domains.
fn vms() -> Vec<VmEntry> {
    let role = [("role", "router"), ("peer", "127.0.0.1:8101")];
    let endpoints = (0..2 * ENDPOINTS).map(|n| VmEntry {
        domain: domain(n / ENDPOINTS),
        ..entry(&format!("endpoint-{n}"), 9100, &[("pool", "pool")])
    });
    endpoints.chain([entry("router-1", 8001, &role)]).collect()
}

fn site() -> Site {
    Site::start_with_vms(1_000_000, vms())
}

fn drain(site: &mut Site, as_of: u64, domains: &[usize]) {
    site.handle(Event::DrainedDomains(drained(as_of, domains)));
}

/// Returns the failure domain of a request's last run, if any.
fn ran_in(site: &Site, id: RequestId) -> Option<usize> {
    let run = site.runs(id).pop()?;
    let number = run.endpoint.as_str().strip_prefix("endpoint-")?;
    Some(number.parse::<usize>().ok()? / ENDPOINTS)
}

/// Sends requests and returns the failure domain in which each runs.
fn send_requests(site: &mut Site, count: usize) -> Vec<Option<usize>> {
    let ids: Vec<_> = (0..count).map(|_| site.send("stream", 10, 5)).collect();
    ids.into_iter().map(|id| ran_in(site, id)).collect()
}

/// Guards against new requests in a failure domain that an operator has drained.
#[test]
fn no_new_request_goes_to_a_drained_domain() {
    let mut site = site();
    drain(&mut site, 5, &[0]);
    assert!(send_requests(&mut site, 12).iter().all(|at| *at == Some(1)));
    // The VM list is delivered again.
    let list = site.core.members.vm_index.list().clone();
    site.handle(Event::VmList(list));
    assert!(send_requests(&mut site, 2).iter().all(|at| *at == Some(1)));
}

/// Guards against a retry that is sent to a drained failure domain.
#[test]
fn a_retry_avoids_a_drained_domain() {
    let mut site = site();
    site.wait_for_retries();
    drain(&mut site, 5, &[1]);
    let id = site.send("stream", 10, 5);
    assert_eq!(ran_in(&site, id), Some(0));
    drain(&mut site, 6, &[0]);
    site.handle(Event::RunEnded(id, RunEnd::NotRun { retry: None }));
    assert_eq!(ran_in(&site, id), Some(1));
}

/// Guards against requests that wait until their deadline for the end of a drain.
#[test]
fn a_fully_drained_pool_refuses_at_once() {
    let mut site = site();
    drain(&mut site, 5, &[1]);
    let mut ids: Vec<_> = (0..30).map(|_| site.send("stream", 10, 5)).collect();
    ids.retain(|id| site.runs(*id).is_empty());
    assert!(!ids.is_empty(), "some wait for capacity");
    drain(&mut site, 6, &[0, 1]);
    ids.push(site.send("stream", 10, 5));
    for id in ids {
        let problem = site.refusal(id).expect("it is refused");
        let said = (problem.kind, problem.ran, problem.retry.is_some());
        assert_eq!(said, (ProblemKind::NoEndpoint, Ran::No, true));
    }
}

/// Guards against a router that is cut off from the store and keeps using a drained failure domain.
#[test]
fn drained_domains_are_learned_from_peers() {
    let mut site = site();
    let beat = Heartbeat {
        drained: drained(5, &[0]),
        ..site.peer_heartbeat(0)
    };
    site.handle(Event::HeartbeatReceived(beat));
    assert!(send_requests(&mut site, 4).iter().all(|at| *at == Some(1)));
    assert_eq!(site.core.heartbeat(site.now).drained, drained(5, &[0]));
    // An older update, from a peer that has not learned of the drain yet, has no effect.
    let beat = Heartbeat {
        drained: drained(4, &[]),
        ..site.peer_heartbeat(0)
    };
    site.handle(Event::HeartbeatReceived(beat));
    assert!(send_requests(&mut site, 4).iter().all(|at| *at == Some(1)));
}

/// Guards against endpoints that return idle and cold and immediately get the full load of warm ones.
#[test]
fn a_restored_domain_is_cold() {
    let mut site = site();
    drain(&mut site, 5, &[0, 1]);
    drain(&mut site, 6, &[1]);
    let served = |site: &mut Site| {
        let ran = send_requests(site, 4 * COLD_RATE as usize);
        ran.iter().flatten().count()
    };
    // Two routers share the cold limit of each endpoint.
    assert_eq!(served(&mut site), ENDPOINTS * COLD_RATE as usize / 2);
    site.advance(WARMUP.as_millis() as u64 + 100);
    assert!(served(&mut site) > 0);
}

/// Guards against endpoints that are treated as cold although they report that they are warm, and vice versa.
#[test]
fn an_endpoint_is_as_cold_as_it_reports() {
    let mut site = site();
    drain(&mut site, 5, &[1]);
    let vm = |n: usize| format!("endpoint-{n}").parse().expect("a name");
    let reports = vec![(vm(0), WARMUP), (vm(1), WARMUP)];
    site.handle(Event::ColdEndpoints(reports));
    let ids: Vec<_> = (0..8).map(|_| site.send("stream", 10, 5)).collect();
    let ran = ids.iter().filter(|id| !site.runs(**id).is_empty()).count();
    assert_eq!(ran, ENDPOINTS * COLD_RATE as usize / 2);
    site.handle(Event::ColdEndpoints(vec![(vm(0), Duration::ZERO)]));
    let ran = ids.iter().filter(|id| !site.runs(**id).is_empty()).count();
    assert_eq!(ran, ids.len());
}

/// Guards against an older set of drained domains that takes effect because updates from the store and from peers
/// arrive out of order.
#[test]
fn the_newest_update_wins_in_any_order() {
    fn property(reports: Vec<(u8, bool)>) -> bool {
        let mut site = site();
        let mut newest = (0, false);
        for (as_of, drains) in reports {
            // Updates with the same offset are identical.
            let drains = if as_of == newest.0 { newest.1 } else { drains };
            let domains: &[usize] = if drains { &[0] } else { &[] };
            drain(&mut site, u64::from(as_of), domains);
            newest = newest.max((as_of, drains));
        }
        site.core.drained_domains.domains.contains(&domain(0)) == newest.1
    }
    quickcheck::QuickCheck::new()
        .tests(50)
        .quickcheck(property as fn(Vec<(u8, bool)>) -> bool);
}

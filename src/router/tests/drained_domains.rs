//! Failure domains that the operator drains.

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

/// How many endpoints each of the failure domains has.
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

/// Lists a peer, and endpoints in two failure domains.
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

/// Returns the failure domain in which a request last ran, if it ran.
fn ran_in(site: &Site, id: RequestId) -> Option<usize> {
    let run = site.runs(id).pop()?;
    let number = run.endpoint.as_str().strip_prefix("endpoint-")?;
    Some(number.parse::<usize>().ok()? / ENDPOINTS)
}

/// Sends requests, and returns in which failure domains they run.
fn send_requests(site: &mut Site, count: usize) -> Vec<Option<usize>> {
    let ids: Vec<_> = (0..count).map(|_| site.send("stream", 10, 5)).collect();
    ids.into_iter().map(|id| ran_in(site, id)).collect()
}

/// Guards against requests that go to a failure domain which the operator has drained.
#[test]
fn no_new_request_goes_to_a_drained_domain() {
    let mut site = site();
    drain(&mut site, 5, &[0]);
    assert!(send_requests(&mut site, 12).iter().all(|at| *at == Some(1)));
    // Some of its endpoints are listed anew.
    let list = site.core.members.roster.list().clone();
    site.handle(Event::VmList(list));
    assert!(send_requests(&mut site, 2).iter().all(|at| *at == Some(1)));
}

/// Guards against a retry that goes where nothing new may go.
#[test]
fn a_retry_avoids_a_drained_domain() {
    let mut site = site();
    drain(&mut site, 5, &[1]);
    let id = site.send("stream", 10, 5);
    assert_eq!(ran_in(&site, id), Some(0));
    drain(&mut site, 6, &[0]);
    site.handle(Event::Ended(id, RunEnd::NotRun { retry: None }));
    assert_eq!(ran_in(&site, id), Some(1));
}

/// Guards against a request that waits for the end of a drain until its deadline.
#[test]
fn a_fully_drained_pool_refuses_at_once() {
    let mut site = site();
    drain(&mut site, 5, &[1]);
    let mut ids: Vec<_> = (0..30).map(|_| site.send("stream", 10, 5)).collect();
    ids.retain(|id| site.runs(*id).is_empty());
    assert!(!ids.is_empty(), "some wait for room");
    drain(&mut site, 6, &[0, 1]);
    ids.push(site.send("stream", 10, 5));
    for id in ids {
        let problem = site.refusal(id).expect("it is refused");
        let said = (problem.kind, problem.ran, problem.retry.is_some());
        assert_eq!(said, (ProblemKind::NoEndpoint, Ran::No, true));
    }
}

/// Guards against a router that is parted from the store and goes on with a drained failure domain.
#[test]
fn drained_domains_are_learned_from_peers() {
    let mut site = site();
    let beat = Heartbeat {
        drained: drained(5, &[0]),
        ..site.peer_heartbeat(0)
    };
    site.handle(Event::Heard(beat));
    assert!(send_requests(&mut site, 4).iter().all(|at| *at == Some(1)));
    assert_eq!(site.core.heartbeat(site.now).drained, drained(5, &[0]));
    // An older word, from a peer that does not know yet, changes nothing.
    let beat = Heartbeat {
        drained: drained(4, &[]),
        ..site.peer_heartbeat(0)
    };
    site.handle(Event::Heard(beat));
    assert!(send_requests(&mut site, 4).iter().all(|at| *at == Some(1)));
}

/// Guards against endpoints that come back idle and cold, and get all at once what they bear when warm.
#[test]
fn a_restored_domain_is_cold() {
    let mut site = site();
    drain(&mut site, 5, &[0, 1]);
    drain(&mut site, 6, &[1]);
    let served = |site: &mut Site| {
        let ran = send_requests(site, 4 * COLD_RATE as usize);
        ran.iter().flatten().count()
    };
    // Two routers share what each of its endpoints bears.
    assert_eq!(served(&mut site), ENDPOINTS * COLD_RATE as usize / 2);
    site.advance(WARMUP.as_millis() as u64 + 100);
    assert!(served(&mut site) > 0);
}

/// Guards against endpoints that are taken for cold though they say that they are warm, and the other way round.
#[test]
fn an_endpoint_is_as_cold_as_it_reports() {
    let mut site = site();
    drain(&mut site, 5, &[1]);
    let vm = |n: usize| format!("endpoint-{n}").parse().expect("a name");
    let reports = vec![(vm(0), WARMUP), (vm(1), WARMUP)];
    site.handle(Event::Cold(reports));
    let ids: Vec<_> = (0..8).map(|_| site.send("stream", 10, 5)).collect();
    let ran = ids.iter().filter(|id| !site.runs(**id).is_empty()).count();
    assert_eq!(ran, ENDPOINTS * COLD_RATE as usize / 2);
    site.handle(Event::Cold(vec![(vm(0), Duration::ZERO)]));
    let ran = ids.iter().filter(|id| !site.runs(**id).is_empty()).count();
    assert_eq!(ran, ids.len());
}

/// Guards against reports from the store and from peers that come in another order than they were written, and leave an older
/// set in force.
#[test]
fn the_newest_update_wins_in_any_order() {
    fn property(reports: Vec<(u8, bool)>) -> bool {
        let mut site = site();
        let mut newest = (0, false);
        for (as_of, drains) in reports {
            // What was read up to one offset is the same for all.
            let drains = if as_of == newest.0 { newest.1 } else { drains };
            let domains: &[usize] = if drains { &[0] } else { &[] };
            drain(&mut site, u64::from(as_of), domains);
            newest = newest.max((as_of, drains));
        }
        site.core.drained.domains.contains(&domain(0)) == newest.1
    }
    quickcheck::QuickCheck::new()
        .tests(50)
        .quickcheck(property as fn(Vec<(u8, bool)>) -> bool);
}

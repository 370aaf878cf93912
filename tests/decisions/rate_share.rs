//! Rates that endpoints announce, divided among the routers of fleets of any size.

use jasmineridge::RequestRate;
use jasmineridge::VmId;
use jasmineridge::rate_share;
use quickcheck::QuickCheck;

/// The rate below which an endpoint is still sent requests, so that it can announce more.
const LOWEST: f64 = 0.1;

fn vm(kind: &str, n: usize) -> VmId {
    format!("{kind}-{n}").parse().expect("a name")
}

fn shares(rate: f64, routers: usize, endpoint: usize, round: u64) -> Vec<f64> {
    let rate = RequestRate::try_from(rate).expect("a rate");
    let routers: Vec<_> = (0..routers).map(|n| vm("router", n)).collect();
    let endpoint = vm("endpoint", endpoint);
    let shares = routers
        .iter()
        .filter_map(|router| rate_share(rate, &routers, router, &endpoint, round));
    shares.map(RequestRate::per_second).collect()
}

/// Guards against a fleet whose routers together exceed a rate that each of them alone keeps to.
#[test]
fn the_parts_of_a_rate_add_up_to_it() {
    fn property(tenths: u16, routers: u16, endpoint: u8, round: u8) -> bool {
        let rate = f64::from(tenths) / 10.0;
        let routers = usize::from(routers % 985) + 1;
        let shares = shares(rate, routers, usize::from(endpoint), u64::from(round));
        let sum: f64 = shares.iter().sum();
        // Each sender may have one request beyond its rate in any span.
        let burst = shares.len() as f64;
        (sum - rate.max(LOWEST)).abs() < 1e-6 && 4.0 * sum + burst <= 6.0 * rate.max(LOWEST) + 5.0
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(property as fn(u16, u16, u8, u8) -> bool);
}

/// Guards against routers of a large fleet that never get a part of a low rate, and so never learn that it is over.
#[test]
fn each_router_gets_a_part_in_some_round() {
    let rate = RequestRate::try_from(0.5).expect("a rate");
    let routers: Vec<_> = (0..195).map(|n| vm("router", n)).collect();
    let endpoint = vm("endpoint", 0);
    for router in &routers {
        let gets = |round| rate_share(rate, &routers, router, &endpoint, round).is_some();
        assert!((0..1000).any(gets), "{router}");
    }
}

/// Guards against routers of a small fleet that must leave an endpoint alone, although it takes as many requests.
#[test]
fn in_a_small_fleet_each_router_has_a_part() {
    assert_eq!(shares(3.1, 6, 0, 0).len(), 6);
    assert_eq!(shares(0.5, 4, 0, 0).len(), 4);
}

//! Versions of pools in the log, which outlive a kill of all routers.

use crate::ids::VmId;
use crate::router::Effect;
use crate::router::Event;
use crate::router::Heartbeat;
use crate::router::PeerFailure;
use crate::router::StreamLogCall;
use crate::router::VersionRecord;
use crate::router::tests::site::Log;
use crate::router::tests::site::Site;
use crate::router::tests::versions::PREPAID;
use crate::router::tests::versions::ROUTERS;
use crate::router::tests::versions::begin_streams;
use crate::router::tests::versions::list;
use crate::router::tests::versions::origin;
use crate::router::tests::versions::take_up;
use crate::router::tests::versions::vms;

/// Guards against streams of two versions after a kill of all routers, the last of which had not recorded a version that came
/// back: it took what it read from the log at its start for what the log has now.
#[test]
fn a_version_that_comes_back_is_recorded_by_any_router() {
    for number in 0..ROUTERS {
        let mut site = Site::start_member(number, PREPAID, vms(&["v1", "v2"]));
        record(&mut site, &["v1", "v2"]);
        site.restart_member(vms(&["v1", "v2"]));
        list(&mut site, vms(&["v2"]));
        site.advance(70_000);
        // By now the first two routers have dropped the version that is gone.
        record(&mut site, &["v2"]);
        let others: Vec<VmId> = (0..ROUTERS)
            .filter(|n| *n != number)
            .map(|n| format!("router-{n}").parse().expect("a name"))
            .collect();
        for vm in &others {
            let failure = Event::HeartbeatFailed(vm.clone(), PeerFailure::Unreachable);
            site.handle(failure);
        }
        list(&mut site, vms(&["v1", "v2"]));
        site.advance(1000);
        let streams = begin_streams(&mut site, 10);
        site.advance(500);
        site.restart_member(vms(&["v2"]));
        for vm in others {
            let beat = site.peer_heartbeat(0);
            site.handle(Event::HeartbeatReceived(Heartbeat { vm, ..beat }));
        }
        take_up(&mut site, &streams);
    }
}

/// Has the log know the versions of the pool, as other routers wrote them.
fn record(site: &mut Site, versions: &[&str]) {
    let record = VersionRecord {
        pool: "pool".parse().expect("a name"),
        versions: versions.iter().map(|v| origin(v).version).collect(),
    };
    site.versions.insert(record.pool.clone(), record);
}

/// Starts one of the routers, with a log in which another one recorded the first version, and lists a second one.
fn start_before_release(number: usize) -> Site {
    let mut site = Site::start_member(number, PREPAID, vms(&["v1"]));
    record(&mut site, &["v1"]);
    site.receive_heartbeats(ROUTERS - 1);
    site.advance(1500);
    list(&mut site, vms(&["v1", "v2"]));
    site
}

fn recorded(site: &Site) -> usize {
    let record = site.versions.values().next().expect("a record");
    record.versions.len()
}

/// Guards against a version that is not recorded as long as the two routers that usually do it do not reach the log.
#[test]
fn a_version_is_recorded_by_another_router_if_the_usual_ones_do_not() {
    for number in 0..ROUTERS {
        let mut site = start_before_release(number);
        site.advance(1000);
        assert_eq!(recorded(&site), 2, "router {number}");
    }
}

/// Guards against a write by each router for each version.
#[test]
fn a_version_that_others_recorded_is_written_by_no_more_than_two_routers() {
    let writes = |site: &Site| {
        let writes = |effect: &&Effect| {
            matches!(
                effect,
                Effect::CallStreamLog(StreamLogCall::WriteVersions(_))
            )
        };
        site.effects.iter().filter(writes).count()
    };
    let mut writers = 0;
    for number in 0..ROUTERS {
        let mut site = start_before_release(number);
        let before = writes(&site);
        record(&mut site, &["v1", "v2"]);
        site.advance(5000);
        writers += usize::from(writes(&site) > before);
    }
    assert!(writers <= 2, "{writers} routers write");
}

/// Guards against a version in the log that a router writes over, since it did not reach the log while others recorded it.
#[test]
fn a_router_that_missed_a_version_does_not_write_over_it() {
    for number in 0..ROUTERS {
        let mut site = Site::start_member(number, PREPAID, vms(&["v2"]));
        site.log = Log::Down;
        list(&mut site, vms(&["v2", "v3"]));
        site.advance(1000);
        record(&mut site, &["v1", "v2", "v3"]);
        site.log = Log::Up;
        site.advance(3000);
        assert_eq!(recorded(&site), 3, "router {number}");
    }
}

//! How long each kind of silence is tolerated, on both sides of a partition.

use std::time::Duration;

use crate::decide::ConsistencyMode;
use crate::router::Event;
use crate::router::PeerFailure;
use crate::router::Tuning;
use crate::router::tests::cluster::Cluster;
use crate::router::tests::cluster::LogState;
use crate::router::tests::cluster::tuning;

const PARTITION_TIMEOUT: Duration = Duration::from_secs(60);

fn two_routers(lean: ConsistencyMode) -> Cluster {
    let tune = |at| Tuning {
        lean,
        partition_timeout: PARTITION_TIMEOUT,
        ..tuning(at)
    };
    Cluster::with_tuning(vec![tune(0), tune(1)])
}

/// Makes the first router silent in the given way, and returns how long the second one takes to close it.
fn time_to_close(cluster: &mut Cluster, silence: PeerFailure) -> Duration {
    let dead = cluster.nodes[0].core.me;
    cluster.connected = false;
    let begun = cluster.now;
    cluster.nodes.remove(0);
    while cluster.ledger().is_open(dead) {
        let vm = "router-0".parse().expect("a name");
        cluster.handle(0, Event::HeartbeatFailed(vm, silence));
        cluster.advance(100);
        assert!(
            cluster.now - begun < PARTITION_TIMEOUT * 3,
            "the silent router is not closed"
        );
    }
    cluster.now - begun
}

/// A router whose VM refuses connections is dead, and its holdings are reclaimed soon. One that accepts the connection
/// but does not answer may be frozen for some seconds. One that can't be reached may be serving on its side of a
/// partition, and keeps its holdings for as long as a partition may last.
#[test]
fn the_time_to_close_a_silent_router_depends_on_the_kind_of_silence() {
    let refused = time_to_close(
        &mut two_routers(ConsistencyMode::Strict),
        PeerFailure::Refused,
    );
    let mute = time_to_close(&mut two_routers(ConsistencyMode::Strict), PeerFailure::Mute);
    let away = time_to_close(
        &mut two_routers(ConsistencyMode::Strict),
        PeerFailure::Unreachable,
    );
    assert!(refused < Duration::from_secs(3), "{refused:?}");
    assert!(
        mute >= Duration::from_secs(12) && mute < Duration::from_secs(16),
        "{mute:?}"
    );
    assert!(
        away >= PARTITION_TIMEOUT && away < PARTITION_TIMEOUT + Duration::from_secs(5),
        "{away:?}"
    );
    // In available mode, a router that may still be serving keeps its holdings as well.
    let mute = time_to_close(
        &mut two_routers(ConsistencyMode::Available),
        PeerFailure::Mute,
    );
    assert!(mute >= PARTITION_TIMEOUT, "{mute:?}");
}

/// A router is cut off from the log and from its peer. It must stop starting runs before the other side may close it;
/// otherwise both would spend the same tokens. Refused connections are not tested: the other side closes soon after
/// one, but a router that refuses connections is dead.
#[test]
fn a_router_that_is_cut_off_stops_before_the_others_may_close_it() {
    for lean in [ConsistencyMode::Strict, ConsistencyMode::Available] {
        for silence in [PeerFailure::Mute, PeerFailure::Unreachable] {
            let mut cluster = two_routers(lean);
            cluster.log = LogState::Down;
            cluster.connected = false;
            let begun = cluster.now;
            let mut last = begun;
            while cluster.now - begun < PARTITION_TIMEOUT * 2 {
                let vm = "router-1".parse().expect("a name");
                cluster.handle(0, Event::HeartbeatFailed(vm, silence));
                cluster.advance(500);
                if cluster.nodes[0].core.may_run_unclaimed(cluster.now) {
                    last = cluster.now;
                }
            }
            let stops = last - begun;
            let closes = time_to_close(&mut two_routers(lean), silence);
            assert!(
                stops < closes,
                "{lean:?} {silence:?}: {stops:?}, {closes:?}"
            );
        }
    }
}

/// A router that could not read the log for a while finds only old signs of life from its peers. The fault may be its
/// own, so it starts to measure their silence anew.
#[test]
fn a_router_that_could_not_read_the_log_closes_no_peer_at_once() {
    let mut cluster = two_routers(ConsistencyMode::Strict);
    let other = cluster.nodes[1].core.me;
    cluster.connected = false;
    cluster.log = LogState::Down;
    cluster.now += Duration::from_secs(30);
    cluster.handle(0, Event::Tick);
    cluster.log = LogState::Up;
    cluster.connected = true;
    cluster.advance(1000);
    assert!(cluster.ledger().is_open(other));
    assert!(cluster.nodes[1].core.is_serving());
}

/// The process is paused for half a minute, as happens when a VM is migrated. A request that was buffered in its
/// sockets may have been sent to another router meanwhile, so it is refused without stating whether it ran.
#[test]
fn a_request_buffered_during_a_pause_is_not_run() {
    let mut cluster = two_routers(ConsistencyMode::Strict);
    cluster.now += Duration::from_secs(30);
    cluster.handle(0, Event::Paused);
    let ask = cluster.call("paused", 1);
    let id = cluster.submit(0, &ask);
    cluster.advance(200);
    let refusal = cluster.nodes[0].refusal(id).expect("a refusal");
    assert_eq!(refusal.ran, crate::router::Ran::Unknown);
    assert!(cluster.nodes[0].runs(id).is_empty());
    cluster.advance(3000);
    let later = cluster.call("later", 1);
    cluster.submit_and_dispatch(0, &later);
}

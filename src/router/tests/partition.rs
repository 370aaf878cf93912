//! How long silence is borne, by its kind, on both sides of it.

use std::time::Duration;

use crate::decide::ConsistencyMode;
use crate::router::Event;
use crate::router::Silence;
use crate::router::Tuning;
use crate::router::tests::cluster::Cluster;
use crate::router::tests::cluster::LogState;
use crate::router::tests::cluster::tuning;

const PARTITION_TIMEOUT: Duration = Duration::from_secs(60);

fn two_routers(lean: ConsistencyMode) -> Cluster {
    let tune = |at| Tuning {
        lean,
        parted: PARTITION_TIMEOUT,
        ..tuning(at)
    };
    Cluster::with_tuning(vec![tune(0), tune(1)])
}

/// Lets a router be silent to the second one in one way, and returns how long it takes until it is closed.
fn time_to_close(cluster: &mut Cluster, silence: Silence) -> Duration {
    let dead = cluster.nodes[0].core.me;
    cluster.connected = false;
    let begun = cluster.now;
    cluster.nodes.remove(0);
    while cluster.ledger().is_open(dead) {
        let vm = "router-0".parse().expect("a name");
        cluster.handle(0, Event::Unheard(vm, silence));
        cluster.advance(100);
        assert!(
            cluster.now - begun < PARTITION_TIMEOUT * 3,
            "it is never closed"
        );
    }
    cluster.now - begun
}

/// A router whose VM says that nothing listens there is dead, and its holdings are back soon. One that accepts the
/// connection and says nothing may be frozen for some seconds. One that can't be reached may serve on its side of a
/// partition, and keeps what it holds for as long as one lasts.
#[test]
fn the_time_to_close_a_silent_router_depends_on_the_kind_of_silence() {
    let refused = time_to_close(&mut two_routers(ConsistencyMode::Strict), Silence::Refused);
    let mute = time_to_close(&mut two_routers(ConsistencyMode::Strict), Silence::Mute);
    let away = time_to_close(
        &mut two_routers(ConsistencyMode::Strict),
        Silence::Unreachable,
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
    // Where refusals weigh more, one that may serve is not robbed of what it holds either.
    let mute = time_to_close(&mut two_routers(ConsistencyMode::Available), Silence::Mute);
    assert!(mute >= PARTITION_TIMEOUT, "{mute:?}");
}

/// A router is cut off from the log and from its peer. It stops beginning runs before the other side may close it: were it
/// later, both would spend the same tokens. A refusal of a connection is no exception, though the other side closes soon
/// after one: the side that refuses is dead.
#[test]
fn a_router_that_is_cut_off_stops_before_the_others_may_close_it() {
    for lean in [ConsistencyMode::Strict, ConsistencyMode::Available] {
        for silence in [Silence::Mute, Silence::Unreachable] {
            let mut cluster = two_routers(lean);
            cluster.log = LogState::Down;
            cluster.connected = false;
            let begun = cluster.now;
            let mut last = begun;
            while cluster.now - begun < PARTITION_TIMEOUT * 2 {
                let vm = "router-1".parse().expect("a name");
                cluster.handle(0, Event::Unheard(vm, silence));
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

/// A router that could not read the log for a while finds the others' last signs of life old. Their silence may be its own
/// deafness, so it counts anew.
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
    assert!(cluster.nodes[1].core.serving());
}

/// The process is stopped for half a minute, as VMs are when they are moved. What lay in its sockets may have been asked
/// elsewhere meanwhile, so it is refused without a word on whether it ran.
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

//! How long silence is borne, by its kind, on both sides of it.

use std::time::Duration;

use crate::decide::ConsistencyMode;
use crate::router::Event;
use crate::router::Silence;
use crate::router::Tuning;
use crate::router::tests::cluster::Bench;
use crate::router::tests::cluster::Log;
use crate::router::tests::cluster::tuning;

const PARTED: Duration = Duration::from_secs(60);

fn bench(lean: ConsistencyMode) -> Bench {
    let tune = |at| Tuning {
        lean,
        parted: PARTED,
        ..tuning(at)
    };
    Bench::tuned(vec![tune(0), tune(1)])
}

/// Lets a router be silent to the second one in one way, and returns how long it takes until it is closed.
fn closed_after(bench: &mut Bench, silence: Silence) -> Duration {
    let dead = bench.nodes[0].core.me;
    bench.linked = false;
    let begun = bench.now;
    bench.nodes.remove(0);
    while bench.ledger().is_open(dead) {
        let vm = "router-0".parse().expect("a name");
        bench.tell(0, Event::Unheard(vm, silence));
        bench.pass(100);
        assert!(bench.now - begun < PARTED * 3, "it is never closed");
    }
    bench.now - begun
}

/// A router whose VM says that nothing listens there is dead, and its holdings are back soon. One that accepts the
/// connection and says nothing may be frozen for some seconds. One that can't be reached may serve on its side of a
/// partition, and keeps what it holds for as long as one lasts.
#[test]
fn the_time_to_close_a_silent_router_depends_on_the_kind_of_silence() {
    let refused = closed_after(&mut bench(ConsistencyMode::Strict), Silence::Refused);
    let mute = closed_after(&mut bench(ConsistencyMode::Strict), Silence::Mute);
    let away = closed_after(&mut bench(ConsistencyMode::Strict), Silence::Unreachable);
    assert!(refused < Duration::from_secs(3), "{refused:?}");
    assert!(
        mute >= Duration::from_secs(12) && mute < Duration::from_secs(16),
        "{mute:?}"
    );
    assert!(
        away >= PARTED && away < PARTED + Duration::from_secs(5),
        "{away:?}"
    );
    // Where refusals weigh more, one that may serve is not robbed of what it holds either.
    let mute = closed_after(&mut bench(ConsistencyMode::Available), Silence::Mute);
    assert!(mute >= PARTED, "{mute:?}");
}

/// A router is cut off from the log and from its peer. It stops beginning runs before the other side may close it: were it
/// later, both would spend the same tokens. A refusal of a connection is no exception, though the other side closes soon
/// after one: the side that refuses is dead.
#[test]
fn a_router_that_is_cut_off_stops_before_the_others_may_close_it() {
    for lean in [ConsistencyMode::Strict, ConsistencyMode::Available] {
        for silence in [Silence::Mute, Silence::Unreachable] {
            let mut one = bench(lean);
            one.log = Log::Down;
            one.linked = false;
            let begun = one.now;
            let mut last = begun;
            while one.now - begun < PARTED * 2 {
                let vm = "router-1".parse().expect("a name");
                one.tell(0, Event::Unheard(vm, silence));
                one.pass(500);
                if one.nodes[0].core.may_run_unclaimed(one.now) {
                    last = one.now;
                }
            }
            let stops = last - begun;
            let closes = closed_after(&mut bench(lean), silence);
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
    let mut bench = bench(ConsistencyMode::Strict);
    let other = bench.nodes[1].core.me;
    bench.linked = false;
    bench.log = Log::Down;
    bench.now += Duration::from_secs(30);
    bench.tell(0, Event::Tick);
    bench.log = Log::Up;
    bench.linked = true;
    bench.pass(1000);
    assert!(bench.ledger().is_open(other));
    assert!(bench.nodes[1].core.serving());
}

/// The process is stopped for half a minute, as VMs are when they are moved. What lay in its sockets may have been asked
/// elsewhere meanwhile, so it is refused without a word on whether it ran.
#[test]
fn a_request_buffered_during_a_pause_is_not_run() {
    let mut bench = bench(ConsistencyMode::Strict);
    bench.now += Duration::from_secs(30);
    bench.tell(0, Event::Paused);
    let ask = bench.call("paused", 1);
    let id = bench.arrive(0, &ask);
    bench.pass(200);
    let refusal = bench.nodes[0].refusal(id).expect("a refusal");
    assert_eq!(refusal.ran, crate::router::Ran::Unknown);
    assert!(bench.nodes[0].runs(id).is_empty());
    bench.pass(3000);
    let later = bench.call("later", 1);
    bench.dispatched(0, &later);
}

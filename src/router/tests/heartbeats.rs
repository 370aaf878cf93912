//! Which peers a router sends heartbeats to, and how often.

use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::Incarnation;
use crate::ids::VmId;
use crate::router::Effect;
use crate::router::Event;
use crate::router::Heartbeat;
use crate::router::tests::fleet::vms;
use crate::router::tests::site::Site;

/// Returns the number of heartbeats sent to each peer, and the largest number of peers addressed at once.
fn heartbeats_sent(site: &Site) -> (IndexMap<VmId, u32>, usize) {
    let mut counts: IndexMap<VmId, u32> = IndexMap::new();
    let mut most = 0;
    for effect in &site.effects {
        if let Effect::SendHeartbeat(_, peers) = effect {
            most = most.max(peers.len());
            for peer in peers {
                *counts.entry(peer.vm.clone()).or_default() += 1;
            }
        }
    }
    (counts, most)
}

/// In a fleet of 80 routers on small VMs, heartbeats from every router at every interval would use up a VM's CPU and
/// delay callers. With peers addressed in turns, each router still hears from all others within a few seconds.
#[test]
fn in_a_large_fleet_peers_take_turns() {
    let mut site = Site::start(1000);
    site.list_peers(80);
    site.effects.clear();
    site.advance(7500);
    let (counts, most) = heartbeats_sent(&site);
    assert!(most <= 12, "heartbeats to {most} peers at once");
    assert_eq!(counts.len(), 80, "every peer was sent a heartbeat");
    let turns: Vec<_> = counts.values().copied().collect();
    assert!(turns.iter().max() <= turns.iter().min().map(|n| n + 1).as_ref());
}

/// In a small fleet a router sends every heartbeat to all peers, since loans depend on heartbeats while the log can't
/// be reached.
#[test]
fn in_a_small_fleet_all_hear_at_once() {
    let mut site = Site::start(1000);
    site.list_peers(6);
    site.effects.clear();
    site.advance(5000);
    let (counts, most) = heartbeats_sent(&site);
    assert_eq!((counts.len(), most), (6, 6));
}

/// Guards against lives that are counted as ended more than once, or not at all because their routers had been out of reach
/// before.
#[test]
fn the_end_of_a_life_is_noticed_once() {
    let mut site = Site::start_with_vms(1000, vms(2, 1));
    let beat = site.peer_heartbeat(0);
    let silence = Duration::from_secs(10);
    for _ in 0..2 {
        site.handle(Event::HeartbeatReceived(beat.clone()));
        let members = &mut site.core.members;
        assert_eq!(members.take_ended(site.now), Vec::<VmId>::new());
        assert_eq!(members.take_ended(site.now + silence).len(), 1);
        assert_eq!(members.take_ended(site.now + silence).len(), 0);
    }
    // Another life follows one that was noticed before, and one that was not.
    for (life, ended) in [(100, 0), (101, 1)] {
        let beat = Heartbeat {
            router: Incarnation(life),
            ..beat.clone()
        };
        site.handle(Event::HeartbeatReceived(beat));
        assert_eq!(site.core.members.take_ended(site.now).len(), ended);
    }
}

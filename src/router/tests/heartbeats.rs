//! Who hears from a router, and how often.

use indexmap::IndexMap;

use crate::ids::VmId;
use crate::router::Effect;
use crate::router::tests::site::Site;

/// Returns how many heartbeats each peer was sent, and the most that went out at once.
fn heartbeats_sent(site: &Site) -> (IndexMap<VmId, u32>, usize) {
    let mut counts: IndexMap<VmId, u32> = IndexMap::new();
    let mut most = 0;
    for effect in &site.effects {
        if let Effect::Beat(_, peers) = effect {
            most = most.max(peers.len());
            for peer in peers {
                *counts.entry(peer.vm.clone()).or_default() += 1;
            }
        }
    }
    (counts, most)
}

/// A fleet grows to eighty routers on small VMs. Told by all of them at each heartbeat, a VM would spend its processor on
/// heartbeats, and callers would wait; in turns, each still hears from all others within a few seconds.
#[test]
fn in_a_large_fleet_peers_take_turns() {
    let mut site = Site::start(1000);
    site.list_routers(80);
    site.effects.clear();
    site.pass(7500);
    let (counts, most) = heartbeats_sent(&site);
    assert!(most <= 12, "{most} at once");
    assert_eq!(counts.len(), 80, "each had a turn");
    let turns: Vec<_> = counts.values().copied().collect();
    assert!(turns.iter().max() <= turns.iter().min().map(|n| n + 1).as_ref());
}

/// In a small fleet all hear from a router at each heartbeat, since in a cut from the log loans depend on it.
#[test]
fn in_a_small_fleet_all_hear_at_once() {
    let mut site = Site::start(1000);
    site.list_routers(6);
    site.effects.clear();
    site.pass(5000);
    let (counts, most) = heartbeats_sent(&site);
    assert_eq!((counts.len(), most), (6, 6));
}

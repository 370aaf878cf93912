//! Selection of a few routers for an endpoint or a pool, which all routers compute alike.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::VmId;

/// Returns whether a router is among the `count` routers that are selected for a key by rendezvous hashing; each `round`
/// selects others.
pub(super) fn is_selected(
    count: usize,
    routers: &[VmId],
    router: &VmId,
    key: &str,
    round: u64,
) -> bool {
    let seed = xxh3_64_with_seed(key.as_bytes(), round);
    let own = rank(seed, router);
    let before = routers.iter().filter(|vm| rank(seed, vm) < own);
    before.count() < count
}

/// Returns the first router that is eligible, in the order in which routers are selected for a key.
pub(crate) fn first_selected<'a, F>(routers: &'a [VmId], key: &str, eligible: F) -> Option<&'a VmId>
where
    F: Fn(&VmId) -> bool,
{
    ranks(routers, key, eligible).min().map(|(_, vm)| vm)
}

/// Returns the routers that are eligible, in the order in which they are selected for a key.
pub(crate) fn ranked<'a, F>(routers: &'a [VmId], key: &str, eligible: F) -> Vec<&'a VmId>
where
    F: Fn(&VmId) -> bool,
{
    let mut ranks: Vec<_> = ranks(routers, key, eligible).collect();
    ranks.sort_unstable();
    ranks.into_iter().map(|(_, vm)| vm).collect()
}

/// Returns the ranks for a key of the routers that are eligible.
fn ranks<'a, F>(
    routers: &'a [VmId],
    key: &str,
    eligible: F,
) -> impl Iterator<Item = (Reverse<u64>, &'a VmId)>
where
    F: Fn(&VmId) -> bool,
{
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let eligible = routers.iter().filter(move |vm| eligible(vm));
    eligible.map(move |vm| rank(seed, vm))
}

/// Returns a router's rank for a key, lowest first.
fn rank(seed: u64, vm: &VmId) -> (Reverse<u64>, &VmId) {
    (Reverse(xxh3_64_with_seed(vm.as_str().as_bytes(), seed)), vm)
}

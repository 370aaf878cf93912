//! Routers that keep a team's budget in a large fleet.
//!
//! With two hundred routers and forty teams, each router is asked for a team's budget once in ten seconds, and what it
//! draws for that from the one log partition suffices for a single request. All routers then write on the condition
//! that no other did, nearly all of these writes fail, and callers wait for budget that lies unused in thousands of
//! small pieces. Here a few routers, selected at random by their size, keep all budgets, three of them for each team;
//! the others borrow from them for each request, which takes a millisecond or two. All routers compute the same owners
//! from the list of VMs without communicating, and adding or removing a router moves few teams.

use std::cmp::Reverse;

use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::decide::capacity::Capacity;
use crate::ids::DomainId;
use crate::ids::TeamId;
use crate::ids::VmId;

/// Largest fleet in which all routers keep all budgets, and number of owners in a larger one: one partition accepts
/// some thirty conditional writes per second, and each owner writes twice a second.
pub(crate) const FLEET_OWNERS: usize = 16;

/// Number of owners of a team: while one restarts and another is disconnected, the third lends.
pub(crate) const TEAM_OWNERS: usize = 3;

/// A router that may keep budgets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Capacity of the VM.
    pub capacity: Capacity,
}

/// The routers that keep budgets.
#[derive(Clone, Debug, Default)]
pub struct Owners(Vec<Candidate>);

impl Owners {
    /// Selects the owners from all routers, with a probability that grows with their size. Empty if the fleet is so
    /// small that all routers keep all budgets.
    pub fn select(mut routers: Vec<Candidate>) -> Self {
        if routers.len() <= FLEET_OWNERS {
            return Self::default();
        }
        let max_capacity = Capacity::max_of(routers.iter().map(|router| router.capacity));
        routers.sort_by_cached_key(|router| {
            let uniform = unit_fraction(xxh3_64(router.vm.as_str().as_bytes()));
            // Weighted sampling: the probability that a router has the largest key is proportional to its weight.
            // Lending adds to the load of the callers, which a VM has by its size, so that a VM of half the size is an
            // owner a quarter as often.
            let weight = router.capacity.share_of(max_capacity).powi(2);
            let key = weight.max(f64::MIN_POSITIVE) / -uniform.ln();
            (Reverse(key.to_bits()), router.vm.clone())
        });
        routers.truncate(FLEET_OWNERS);
        Self(routers)
    }

    /// Returns a team's owners, in different failure domains as far as possible. Empty if all routers keep all budgets.
    pub fn for_team(&self, team: &TeamId) -> Vec<&VmId> {
        let seed = xxh3_64(team.as_str().as_bytes());
        let rank = |owner: &Candidate| xxh3_64_with_seed(owner.vm.as_str().as_bytes(), seed);
        let mut ranked: Vec<_> = self.0.iter().collect();
        ranked.sort_by_cached_key(|owner| Reverse(rank(owner)));
        let mut domains = IndexSet::new();
        let (first, rest): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|owner| domains.insert(owner.domain.clone()));
        let chosen = first.into_iter().chain(rest).take(TEAM_OWNERS);
        chosen.map(|owner| &owner.vm).collect()
    }

    /// Returns whether all routers keep all budgets.
    pub fn includes_all(&self) -> bool {
        self.0.is_empty()
    }
}

/// Returns a number between 0 and 1, both excluded.
fn unit_fraction(hash: u64) -> f64 {
    ((hash >> 12) as f64 + 0.5) / (1u64 << 52) as f64
}

//! Which routers keep a team's budget in a large fleet.
//!
//! Answers many routers and many teams: with two hundred of one and forty of the other, each router is asked for a team's
//! budget once in ten seconds, and what it draws for that from the one log partition is a single request's worth. All
//! routers then write on the condition that no other did, nearly all fail, and callers wait for budget that lies unused in
//! thousands of small pieces. Here a few routers, drawn by their size, keep all budgets, three of them each team's; the
//! others borrow from them by the request, which takes a millisecond or two. All routers reckon the same owners from the
//! list of VMs, without a word between them, and one that is added or lost moves few teams.

use std::cmp::Reverse;

use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::decide::capacity::Capacity;
use crate::ids::DomainId;
use crate::ids::TeamId;
use crate::ids::VmId;

/// Up to how many routers a fleet lets all of them keep all budgets, and how many keep them in a larger one: some thirty
/// writes a second is what one partition takes on the condition of its end, and each owner writes twice a second.
pub(crate) const FLEET_OWNERS: usize = 16;

/// How many owners a team has: while one restarts and another is cut off, the third lends.
pub(crate) const TEAM_OWNERS: usize = 3;

/// A router that may keep budgets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its VM.
    pub vm: VmId,
    /// The failure domain of that.
    pub domain: DomainId,
    /// What the VM can carry.
    pub capacity: Capacity,
}

/// The routers that keep budgets.
#[derive(Clone, Debug, Default)]
pub struct Owners(Vec<Candidate>);

impl Owners {
    /// Draws them from all routers, each the more likely the larger it is; none where the fleet is so small that all keep.
    pub fn select(mut routers: Vec<Candidate>) -> Self {
        if routers.len() <= FLEET_OWNERS {
            return Self::default();
        }
        let max_capacity = Capacity::most(routers.iter().map(|router| router.capacity));
        routers.sort_by_cached_key(|router| {
            let uniform = unit_fraction(xxh3_64(router.vm.as_str().as_bytes()));
            // The largest of such numbers is each one's as often as its weight says. Lending comes on top of what callers
            // ask of a VM by its size, so that a VM of half the size is an owner a quarter as often.
            let weight = router.capacity.part(max_capacity).powi(2);
            let key = weight.max(f64::MIN_POSITIVE) / -uniform.ln();
            (Reverse(key.to_bits()), router.vm.clone())
        });
        routers.truncate(FLEET_OWNERS);
        Self(routers)
    }

    /// Returns a team's owners, in different failure domains as far as possible; none where all routers keep.
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

/// Returns a number between 0 and 1, neither of them.
fn unit_fraction(hash: u64) -> f64 {
    ((hash >> 12) as f64 + 0.5) / (1u64 << 52) as f64
}

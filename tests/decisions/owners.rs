//! Selection of the routers that keep budgets: their number and placement, and what moves when a router is removed.

use jasmineridge::Candidate;
use jasmineridge::Capacity;
use jasmineridge::Owners;
use jasmineridge::TeamId;
use jasmineridge::VmId;

use crate::name;

const TEAMS: usize = 40;

/// Returns a fleet in five failure domains, in which every eighth VM is large.
fn fleet(count: usize) -> Vec<Candidate> {
    let routers = (0..count).map(|n| Candidate {
        vm: name(&format!("router-{n}")),
        domain: name(&format!("domain-{}", n % 5)),
        capacity: match n % 8 {
            0 => Capacity {
                cpu_millicores: 500,
                link_mbps: 200,
            },
            _ => Capacity {
                cpu_millicores: 120,
                link_mbps: 20,
            },
        },
    });
    routers.collect()
}

fn team(index: usize) -> TeamId {
    name(&format!("team-{index}"))
}

fn owners_of(owners: &Owners, index: usize) -> Vec<VmId> {
    owners.for_team(&team(index)).into_iter().cloned().collect()
}

/// If two hundred routers each draw the tokens of single requests, they attempt eight hundred writes per second to a
/// partition that accepts a hundred and fifty, and callers wait. With owners, at most sixteen routers write, preferably
/// large ones, and a team's three owners are in three failure domains, so that its budget survives the loss of one.
#[test]
fn large_fleet_has_few_owners() {
    let routers = fleet(200);
    let owners = Owners::select(routers.clone());
    let mut all = indexmap::IndexSet::new();
    for index in 0..TEAMS {
        let vms = owners_of(&owners, index);
        let candidate = |vm: &VmId| routers.iter().find(|router| router.vm == *vm);
        let domains = vms
            .iter()
            .filter_map(candidate)
            .map(|router| &router.domain);
        let domains: indexmap::IndexSet<_> = domains.collect();
        assert_eq!(vms.len(), 3);
        assert_eq!(domains.len(), 3, "two of {vms:?} share a failure domain");
        all.extend(vms);
    }
    let large = all.iter().filter(|vm| {
        let router = routers.iter().find(|router| router.vm == **vm);
        router.is_some_and(|router| router.capacity.cpu_millicores == 500)
    });
    let large = large.count();
    println!("{} owners, {large} of them large", all.len());
    assert!(all.len() <= 16);
    assert!(large * 2 > all.len(), "{large} large of {}", all.len());
}

/// Routers learn of a change in the VM list at different times, and one that is behind still asks the previous owners.
/// So a change must move few teams, and the order of the list must not matter.
#[test]
fn removing_a_router_moves_few_teams() {
    let all = fleet(200);
    let mut reversed = all.clone();
    reversed.reverse();
    let before = Owners::select(all.clone());
    let after_reversal = Owners::select(reversed);
    let mut moved = 0;
    for removed in 0..all.len() {
        let mut rest = all.clone();
        rest.remove(removed);
        let after = Owners::select(rest);
        let has_moved = |index: &usize| owners_of(&before, *index) != owners_of(&after, *index);
        moved += (0..TEAMS).filter(has_moved).count();
    }
    for index in 0..TEAMS {
        assert_eq!(owners_of(&before, index), owners_of(&after_reversal, index));
    }
    let share = moved as f64 / (all.len() * TEAMS) as f64;
    println!("{share:.3} of the teams move when a router is removed");
    assert!(share < 0.05, "{share:.3}");
}

/// In a small fleet each router keeps the budgets that its callers need, so that a network failure between two routers
/// affects no caller.
#[test]
fn all_routers_of_a_small_fleet_are_owners() {
    let owners = Owners::select(fleet(16));
    assert!(owners.includes_all());
    assert!(owners_of(&owners, 0).is_empty());
}

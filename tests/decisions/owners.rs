//! Who keeps budgets, judged by how many keep them, where, and what moves when a router goes.

use jasmineridge::Candidate;
use jasmineridge::Capacity;
use jasmineridge::Owners;
use jasmineridge::TeamId;
use jasmineridge::VmId;

use crate::name;

const TEAMS: usize = 40;

/// Returns a fleet in five failure domains, of which each eighth VM is large.
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

fn team(at: usize) -> TeamId {
    name(&format!("team-{at}"))
}

fn kept(owners: &Owners, at: usize) -> Vec<VmId> {
    owners.for_team(&team(at)).into_iter().cloned().collect()
}

/// Two hundred routers that each draw what one request needs write eight hundred times a second to a partition that takes a
/// hundred and fifty, and callers wait. Here sixteen routers write, the large ones first, and a team's three owners stand in
/// three failure domains, so that none of these takes its budget along.
#[test]
fn a_large_fleet_has_few_owners() {
    let routers = fleet(200);
    let owners = Owners::select(routers.clone());
    let mut all = indexmap::IndexSet::new();
    for at in 0..TEAMS {
        let vms = kept(&owners, at);
        let of = |vm: &VmId| routers.iter().find(|router| router.vm == *vm);
        let domains = vms.iter().filter_map(of).map(|router| &router.domain);
        let domains: indexmap::IndexSet<_> = domains.collect();
        assert_eq!(vms.len(), 3);
        assert_eq!(domains.len(), 3, "two of {vms:?} stand together");
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

/// Routers hear of a change in the list at different moments. As long as one is behind it asks owners of before, so that
/// few may move; and in which order the list names the routers must not matter.
#[test]
fn a_router_that_goes_moves_few_teams() {
    let all = fleet(200);
    let mut turned = all.clone();
    turned.reverse();
    let before = Owners::select(all.clone());
    let again = Owners::select(turned);
    let mut moved = 0;
    for gone in 0..all.len() {
        let mut rest = all.clone();
        rest.remove(gone);
        let after = Owners::select(rest);
        let moves = |at: &usize| kept(&before, *at) != kept(&after, *at);
        moved += (0..TEAMS).filter(moves).count();
    }
    for at in 0..TEAMS {
        assert_eq!(kept(&before, at), kept(&again, at));
    }
    let share = moved as f64 / (all.len() * TEAMS) as f64;
    println!("{share:.3} of the teams move when a router goes");
    assert!(share < 0.05, "{share:.3}");
}

/// In a small fleet each router keeps what its callers need: a cut between two routers then stops nobody.
#[test]
fn in_a_small_fleet_all_keep() {
    let owners = Owners::select(fleet(16));
    assert!(owners.includes_all());
    assert!(kept(&owners, 0).is_empty());
}

//! Addresses of VMs of unequal size, judged by how callers spread over them.

use jasmineridge::Capacity;
use jasmineridge::draw_by_capacity;
use rand::RngExt;

use crate::rng;

const LARGE: Capacity = Capacity {
    cpu_millicores: 500,
    link_mbps: 200,
};

const SMALL: Capacity = Capacity {
    cpu_millicores: 120,
    link_mbps: 10,
};

/// Returns how many of ten thousand callers, who pick one of the addresses told at random, go to each VM.
fn callers_per_vm(vms: &[Capacity]) -> Vec<u32> {
    let mut rng = rng();
    let mut counts = vec![0; vms.len()];
    for _ in 0..10_000 {
        let all = vms.iter().copied().zip(0..).collect();
        let listed: Vec<usize> = draw_by_capacity(all, &mut rng);
        counts[listed[rng.random_range(0..listed.len())]] += 1;
    }
    counts
}

/// Seventy VMs with a twentieth of the link stand beside eight large ones. Told all addresses, nine callers in ten would
/// press their prompts through the small links and be late; by size, a small one gets a small part.
#[test]
fn callers_spread_by_capacity() {
    let vms = [vec![LARGE; 8], vec![SMALL; 72]].concat();
    let counts = callers_per_vm(&vms);
    let large: u32 = counts[..8].iter().sum();
    println!("{large} of 10000 callers on the large VMs");
    assert!((6000..8000).contains(&large), "{large}");
    assert!(counts[8..].iter().all(|count| *count < 150));
}

/// All VMs are alike, and all are told.
#[test]
fn equal_vms_are_all_listed() {
    let all = (0..7).map(|n| (SMALL, n)).collect();
    assert_eq!(draw_by_capacity(all, &mut rng()).len(), 7);
}

/// A single large VM stands among small ones. Told alone, its callers would have nowhere to go when it dies.
#[test]
fn answer_lists_more_than_the_largest_vm() {
    let vms = [vec![LARGE], vec![SMALL; 5]].concat();
    let all = vms.into_iter().zip(0..).collect();
    let listed: Vec<usize> = draw_by_capacity(all, &mut rng());
    assert!(listed.len() >= 3, "{listed:?}");
}

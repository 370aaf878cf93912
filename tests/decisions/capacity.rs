//! Distribution of callers over VMs of unequal size.

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

/// Returns how many of ten thousand callers go to each VM, if each picks a random one of the listed addresses.
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

/// Some seventy VMs with a twentieth of the link capacity run beside eight large ones. With all addresses listed, nine
/// callers in ten would send their prompts over the small links and be late; drawn by capacity, a small VM gets a small
/// share.
#[test]
fn callers_spread_by_capacity() {
    let vms = [vec![LARGE; 8], vec![SMALL; 72]].concat();
    let counts = callers_per_vm(&vms);
    let large: u32 = counts[..8].iter().sum();
    println!("{large} of 10000 callers on the large VMs");
    assert!((6000..8000).contains(&large), "{large}");
    assert!(counts[8..].iter().all(|count| *count < 150));
}

/// VMs of equal capacity are all listed.
#[test]
fn equal_vms_are_all_listed() {
    let all = (0..7).map(|n| (SMALL, n)).collect();
    assert_eq!(draw_by_capacity(all, &mut rng()).len(), 7);
}

/// There is one large VM among small ones. If only its address were listed, its callers would have no alternative when
/// it fails.
#[test]
fn answer_lists_more_than_the_largest_vm() {
    let vms = [vec![LARGE], vec![SMALL; 5]].concat();
    let all = vms.into_iter().zip(0..).collect();
    let listed: Vec<usize> = draw_by_capacity(all, &mut rng());
    assert!(listed.len() >= 3, "{listed:?}");
}

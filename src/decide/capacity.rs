//! Which addresses callers are told, where VMs are of unequal size.
//!
//! Answers a fleet of a few large VMs and many small ones whose callers pick one of the addresses that they are told at
//! random. Told all of them, callers send a VM with a link of 10 Mbit/s as much as one with 200; a few callers with long
//! prompts fill such a link, and all that goes through it is late. Here an answer names each VM as often as it is large,
//! measured by the scarcer of processor and link; over many answers, callers spread by size.

use rand::Rng;
use rand::RngExt;

/// How many addresses an answer names at least, if there are so many: a caller tries another one where one fails.
const MIN_ADDRESSES: usize = 3;

/// What a VM can carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Its processor, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Its link, in Mbit/s.
    pub link_mbps: u32,
}

impl Capacity {
    /// Returns the largest processor and the largest link of several.
    pub(crate) fn max_of<I>(capacities: I) -> Self
    where
        I: IntoIterator<Item = Self>,
    {
        let smallest = Self {
            cpu_millicores: 1,
            link_mbps: 1,
        };
        capacities.into_iter().fold(smallest, |max, one| Self {
            cpu_millicores: max.cpu_millicores.max(one.cpu_millicores),
            link_mbps: max.link_mbps.max(one.link_mbps),
        })
    }

    /// Returns how large it is against the largest processor and link, up to 1.
    pub(crate) fn share_of(self, max: Self) -> f64 {
        let cpu = f64::from(self.cpu_millicores) / f64::from(max.cpu_millicores.max(1));
        let link = f64::from(self.link_mbps) / f64::from(max.link_mbps.max(1));
        cpu.min(link)
    }
}

/// Draws those of several that an answer names, each as often as it is large. The order stays.
pub fn draw_by_capacity<T, R>(from: Vec<(Capacity, T)>, rng: &mut R) -> Vec<T>
where
    R: Rng,
{
    let max = Capacity::max_of(from.iter().map(|(capacity, _)| *capacity));
    let mut shares: Vec<_> = from
        .iter()
        .map(|(capacity, _)| capacity.share_of(max))
        .collect();
    shares.sort_by(|a, b| b.total_cmp(a));
    // The largest few are always named.
    let min_share = shares.get(MIN_ADDRESSES - 1).copied().unwrap_or(0.0);
    let drawn = from.into_iter().filter(|(capacity, _)| {
        let share = capacity.share_of(max);
        share >= min_share || rng.random_bool(share)
    });
    drawn.map(|(_, item)| item).collect()
}

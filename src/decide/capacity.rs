//! Selects the addresses to advertise to callers where VMs differ in size.
//!
//! Handles a fleet of a few large and many small VMs, whose callers pick one of the advertised addresses at random. If
//! all addresses were advertised, callers would send as much to a VM with a link of 10 Mbit/s as to one with 200; a few
//! callers with long prompts saturate such a link, and delay everything that passes through it. Instead each answer
//! names a VM with a probability proportional to its size, measured by the scarcer of CPU and link. Over many answers,
//! callers are spread by size.

use rand::Rng;
use rand::RngExt;

/// The fewest addresses in an answer, if there are so many: a caller tries another one if one fails.
const MIN_ADDRESSES: usize = 3;

/// The CPU and link capacity of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// CPU in thousandths of a core.
    pub cpu_millicores: u32,
    /// Link capacity in Mbit/s.
    pub link_mbps: u32,
}

impl Capacity {
    /// Returns the largest CPU and the largest link of several.
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

    /// Returns its size relative to the largest CPU and link, up to 1.
    pub(crate) fn share_of(self, max: Self) -> f64 {
        let cpu = f64::from(self.cpu_millicores) / f64::from(max.cpu_millicores.max(1));
        let link = f64::from(self.link_mbps) / f64::from(max.link_mbps.max(1));
        cpu.min(link)
    }
}

/// Selects the VMs that an answer names, each with a probability proportional to its size. Keeps their order.
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
    // The largest VMs are always named.
    let min_share = shares.get(MIN_ADDRESSES - 1).copied().unwrap_or(0.0);
    let drawn = from.into_iter().filter(|(capacity, _)| {
        let share = capacity.share_of(max);
        share >= min_share || rng.random_bool(share)
    });
    drawn.map(|(_, item)| item).collect()
}

//! Which addresses callers are told, where VMs are of unequal size.
//!
//! Answers a fleet of a few large VMs and many small ones whose callers pick one of the addresses that they are told at
//! random. Told all of them, callers send a VM with a link of 10 Mbit/s as much as one with 200; a few callers with long
//! prompts fill such a link, and all that goes through it is late. Here an answer names each VM as often as it is large,
//! measured by the scarcer of processor and link; over many answers, callers spread by size.

use rand::Rng;
use rand::RngExt;

/// How many addresses an answer names at least, if there are so many: a caller tries another one where one fails.
const LEAST: usize = 3;

/// What a VM can carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Its processor, in thousandths of a core.
    pub cpu: u32,
    /// Its link, in Mbit/s.
    pub link: u32,
}

impl Capacity {
    /// Returns the largest processor and the largest link of several.
    pub(crate) fn most<I>(of: I) -> Self
    where
        I: IntoIterator<Item = Self>,
    {
        let none = Self { cpu: 1, link: 1 };
        of.into_iter().fold(none, |most, one| Self {
            cpu: most.cpu.max(one.cpu),
            link: most.link.max(one.link),
        })
    }

    /// Returns how large it is against the largest processor and link, up to 1.
    pub(crate) fn part(self, most: Self) -> f64 {
        let cpu = f64::from(self.cpu) / f64::from(most.cpu.max(1));
        let link = f64::from(self.link) / f64::from(most.link.max(1));
        cpu.min(link)
    }
}

/// Draws those of several that an answer names, each as often as it is large. The order stays.
pub fn draw_by_capacity<T, R>(from: Vec<(Capacity, T)>, rng: &mut R) -> Vec<T>
where
    R: Rng,
{
    let most = Capacity::most(from.iter().map(|(of, _)| *of));
    let mut parts: Vec<_> = from.iter().map(|(of, _)| of.part(most)).collect();
    parts.sort_by(|a, b| b.total_cmp(a));
    // The largest few are always named.
    let sure = parts.get(LEAST - 1).copied().unwrap_or(0.0);
    let drawn = from.into_iter().filter(|(of, _)| {
        let part = of.part(most);
        part >= sure || rng.random_bool(part)
    });
    drawn.map(|(_, what)| what).collect()
}

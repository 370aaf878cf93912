//! Breadth-first exploration.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;

use super::world::Step;
use super::world::World;

/// What an exploration found.
pub(super) struct Found {
    pub(super) states: usize,
    /// The most steps behind which all states were seen.
    pub(super) depth: usize,
    /// Whether there were no more states.
    pub(super) whole: bool,
    pub(super) fault: Option<Fault>,
}

/// A history that breaks what must hold; none is shorter.
#[derive(Debug)]
pub(super) struct Fault {
    pub(super) broken: &'static str,
    pub(super) steps: Vec<Step>,
}

/// Visits the states that can be reached, nearest first, until one is broken or there are `bound`.
pub(super) fn explore(world: World, bound: usize) -> Found {
    let mut known = HashSet::from([world.digest()]);
    // How each state was reached: its predecessor and the step.
    let mut trail: Vec<(usize, Option<Step>)> = vec![(0, None)];
    let mut queue = VecDeque::from([(0, 0, world)]);
    let mut depth = 0;
    while let Some((at, deep, world)) = queue.pop_front() {
        depth = deep;
        for step in world.steps() {
            let next = catch_unwind(AssertUnwindSafe(|| world.take(&step)));
            let broken = match &next {
                Ok(Some(next)) => next.broken(),
                Ok(None) => continue,
                Err(_) => Some("the fold stopped"),
            };
            if let Some(broken) = broken {
                let fault = Fault {
                    broken,
                    steps: path(&trail, at, step),
                };
                return found(known.len(), depth, false, Some(fault));
            }
            if let Ok(Some(next)) = next
                && known.insert(next.digest())
            {
                trail.push((at, Some(step)));
                queue.push_back((trail.len() - 1, deep + 1, next));
            }
        }
        if known.len() >= bound {
            return found(known.len(), depth, false, None);
        }
    }
    found(known.len(), depth, true, None)
}

fn found(states: usize, depth: usize, whole: bool, fault: Option<Fault>) -> Found {
    Found {
        states,
        depth,
        whole,
        fault,
    }
}

fn path(trail: &[(usize, Option<Step>)], mut at: usize, last: Step) -> Vec<Step> {
    let mut steps = vec![last];
    while let (before, Some(step)) = &trail[at] {
        steps.push(step.clone());
        at = *before;
    }
    steps.reverse();
    steps
}

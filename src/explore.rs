//! Breadth-first exploration of a model's states, for tests.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;

/// Something whose states can be explored.
pub(crate) trait Model: Sized {
    /// What can happen next.
    type Step: Clone;

    /// Tells states apart.
    fn digest(&self) -> u128;

    /// Returns what may happen in this state.
    fn steps(&self) -> Vec<Self::Step>;

    /// Returns the state after a step; nothing where it can't happen after all.
    fn take(&self, step: &Self::Step) -> Option<Self>;

    /// Returns what must not be and is.
    fn broken(&self) -> Option<&'static str>;
}

/// What an exploration found.
pub(crate) struct Found<S> {
    pub(crate) states: usize,
    /// The most steps behind which all states were seen.
    pub(crate) depth: usize,
    /// Whether there were no more states.
    pub(crate) whole: bool,
    pub(crate) fault: Option<Fault<S>>,
}

/// A history that breaks what must hold; none is shorter.
#[derive(Debug)]
pub(crate) struct Fault<S> {
    pub(crate) broken: &'static str,
    pub(crate) steps: Vec<S>,
}

/// Visits the states that can be reached, nearest first, until one is broken or there are `bound`.
pub(crate) fn explore<M>(world: M, bound: usize) -> Found<M::Step>
where
    M: Model,
{
    let mut known = HashSet::from([world.digest()]);
    // How each state was reached: its predecessor and the step.
    let mut trail: Vec<(usize, Option<M::Step>)> = vec![(0, None)];
    let mut queue = VecDeque::from([(0, 0, world)]);
    let mut depth = 0;
    while let Some((at, deep, world)) = queue.pop_front() {
        depth = deep;
        for step in world.steps() {
            let next = catch_unwind(AssertUnwindSafe(|| world.take(&step)));
            let broken = match &next {
                Ok(Some(next)) => next.broken(),
                Ok(None) => continue,
                Err(_) => Some("a broken invariant stopped it"),
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

fn found<S>(states: usize, depth: usize, whole: bool, fault: Option<Fault<S>>) -> Found<S> {
    Found {
        states,
        depth,
        whole,
        fault,
    }
}

fn path<S>(trail: &[(usize, Option<S>)], mut at: usize, last: S) -> Vec<S>
where
    S: Clone,
{
    let mut steps = vec![last];
    while let (before, Some(step)) = &trail[at] {
        steps.push(step.clone());
        at = *before;
    }
    steps.reverse();
    steps
}

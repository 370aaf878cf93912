//! Breadth-first exploration of a model's states, for tests.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;

/// A model whose states can be explored.
pub(crate) trait Model: Sized {
    /// A transition between states.
    type Step: Clone;

    /// Returns a hash that identifies the state.
    fn digest(&self) -> u128;

    /// Returns the steps that may be taken from this state.
    fn steps(&self) -> Vec<Self::Step>;

    /// Returns the state after a step, or `None` if the step is impossible.
    fn take(&self, step: &Self::Step) -> Option<Self>;

    /// Returns the invariant that the state violates, if any.
    fn broken(&self) -> Option<&'static str>;
}

/// The result of an exploration.
pub(crate) struct Found<S> {
    pub(crate) states: usize,
    /// The number of steps up to which all states were visited.
    pub(crate) depth: usize,
    /// Whether all reachable states were visited.
    pub(crate) whole: bool,
    pub(crate) fault: Option<Fault<S>>,
}

/// A shortest sequence of steps that violates an invariant.
#[derive(Debug)]
pub(crate) struct Fault<S> {
    pub(crate) broken: &'static str,
    pub(crate) steps: Vec<S>,
}

/// Visits the reachable states in breadth-first order, until one violates an invariant or `bound` states are known.
pub(crate) fn explore<M>(world: M, bound: usize) -> Found<M::Step>
where
    M: Model,
{
    let mut known = HashSet::from([world.digest()]);
    // The predecessor of each state, and the step that leads from there.
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

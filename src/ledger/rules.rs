//! The fold's rules by name, so that the model check can leave each one out and must then find what it prevents.

/// A rule of the fold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rule {
    /// Only the writer's next batch counts.
    Sequence,
    /// Nothing of a closed writer counts.
    Closed,
    /// The first claim of a request wins.
    FirstClaim,
    /// A billed request may not run again, or only so often.
    Billed,
    /// A claim is void if the request was refused above what its router had folded.
    SeenOffset,
    /// A claim is void if its attempt or a later one was refused.
    AttemptNumber,
    /// A request that may not run twice is not claimed after a closed router claimed it.
    OrphanClaim,
    /// A request that a closed router had claimed is not refused.
    OrphanRefusal,
    /// A claimed request is not refused.
    ClaimRefusal,
    /// A billed request is not refused.
    BillRefusal,
    /// The first bill of a request is its only one.
    FirstBill,
    /// A top-up adds once.
    TopUp,
    /// A draw grants what is left at most.
    Draw,
    /// A claim reserves what its router holds at most.
    Reserve,
    /// A bill charges what was reserved at most.
    BillCap,
    /// A closed router holds nothing.
    FreeOnClose,
}

/// Tells whether a rule is in force: always, but in the model check.
#[cfg(not(test))]
pub(super) const fn is_enforced(_: Rule) -> bool {
    true
}

#[cfg(test)]
thread_local! {
    /// The rule that is left out on this thread.
    pub(super) static DISABLED_RULE: std::cell::Cell<Option<Rule>> = const { std::cell::Cell::new(None) };
}

/// Tells whether a rule is in force.
#[cfg(test)]
pub(super) fn is_enforced(rule: Rule) -> bool {
    DISABLED_RULE.get() != Some(rule)
}

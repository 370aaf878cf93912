//! The fold's rules by name. The model check disables them one at a time and must then find the fault that the rule
//! prevents.

/// A rule of the fold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rule {
    /// Only the writer's next batch takes effect.
    Sequence,
    /// Records of a closed writer are void.
    Closed,
    /// The first claim of a request wins.
    FirstClaim,
    /// A billed request may run again a limited number of times if it is idempotent, and otherwise not at all.
    Billed,
    /// A claim is void if the request was refused after the offset that its router had applied.
    SeenOffset,
    /// A claim is void if its attempt number or a later one was refused.
    AttemptNumber,
    /// A non-idempotent request cannot be claimed again after a router was closed while holding its claim.
    OrphanClaim,
    /// A request whose router was closed while holding its claim cannot be refused.
    OrphanRefusal,
    /// A claimed request cannot be refused.
    ClaimRefusal,
    /// A billed request cannot be refused.
    BillRefusal,
    /// A request is billed only once.
    FirstBill,
    /// A top-up is applied once.
    TopUp,
    /// A draw grants at most what is undrawn.
    Draw,
    /// A claim reserves at most the free part of its router's holding.
    Reserve,
    /// A bill charges at most what was reserved.
    BillCap,
    /// A closed router holds nothing.
    FreeOnClose,
}

/// Returns whether a rule is enforced: always, except in the model check.
#[cfg(not(test))]
pub(super) const fn is_enforced(_: Rule) -> bool {
    true
}

#[cfg(test)]
thread_local! {
    /// The rule that is disabled on this thread.
    pub(super) static DISABLED_RULE: std::cell::Cell<Option<Rule>> = const { std::cell::Cell::new(None) };
}

/// Returns whether a rule is enforced.
#[cfg(test)]
pub(super) fn is_enforced(rule: Rule) -> bool {
    DISABLED_RULE.get() != Some(rule)
}

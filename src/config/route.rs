//! The result of routing a request.

use crate::ids::DocName;
use crate::ids::PoolId;
use crate::ids::TeamId;

/// The routing decision of the first matching rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The matching rule.
    pub rule: DocName,
    /// The team that pays.
    pub team: TeamId,
    /// The pool that serves the request.
    pub pool: PoolId,
    /// Queue priority, from 0 (highest) to 9 (lowest).
    pub priority: u8,
}

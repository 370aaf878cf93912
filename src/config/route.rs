//! Where a request goes.

use crate::ids::DocName;
use crate::ids::PoolId;
use crate::ids::TeamId;

/// What the first rule that matches says of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The rule.
    pub rule: DocName,
    /// Who pays.
    pub team: TeamId,
    /// Where it goes.
    pub pool: PoolId,
    /// 0 (first) to 9 (last) in a queue.
    pub priority: u8,
}

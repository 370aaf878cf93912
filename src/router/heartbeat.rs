//! What routers tell each other periodically.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::decide::AnnouncementRow;
use crate::decide::CrashReport;
use crate::ids::Incarnation;
use crate::ids::Offset;
use crate::ids::PoolId;
use crate::ids::TableVersion;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::router::drained::DrainedDomains;
use crate::router::streams::VersionRow;
use crate::tokens::Tokens;

/// State that routers exchange periodically.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    /// The sender's VM.
    pub(crate) vm: VmId,
    pub(crate) router: Incarnation,
    /// Whether it accepts new requests.
    pub(crate) serving: bool,
    /// Its utilization, in thousandths of the maximum number of requests.
    pub(crate) load: u32,
    /// Offset after its configuration; a router with a lower one is sent the newer configuration.
    pub(crate) config: Offset,
    /// Version of its route table, on a platform that delivers the configuration as a whole; 0 before the first.
    pub(crate) table: TableVersion,
    /// The drained failure domains that it knows of.
    pub(crate) drained: DrainedDomains,
    /// Its wall-clock time since the Unix epoch, from a clock that is not adjusted while the process runs.
    pub(crate) clock: Duration,
    /// Its budgets, if they are granted.
    pub(crate) purses: Vec<TeamBudget>,
    /// What endpoints announced about themselves, some of it if it is much.
    pub(crate) announced: Vec<AnnouncementRow>,
    /// Crashes of endpoints, and what causes them.
    pub(crate) crashes: Box<CrashReport>,
    /// The pools of which it reaches no endpoint.
    pub(crate) cut: Vec<PoolId>,
    /// The versions of pools whose endpoints have run several lately.
    pub(crate) versions: Vec<VersionRow>,
}

/// One team's budget at a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TeamBudget {
    pub(crate) team: TeamId,
    /// Unused budget.
    pub(crate) free: Tokens,
    /// Demand, in tokens per second.
    pub(crate) demand: u64,
}

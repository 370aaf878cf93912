//! One router's incarnation, as the ledger knows it.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DomainId;
use crate::ids::Sequence;
use crate::ids::VmId;

/// One router's incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterState {
    /// The VM that it runs on.
    pub vm: VmId,
    /// The failure domain of that VM.
    pub domain: DomainId,
    /// Where callers reach it.
    pub address: String,
    /// The number of its last batch.
    pub sequence: Sequence,
    /// Whether it is over.
    pub closed: bool,
    /// When it was last heard of in the log, milliseconds of the log service's clock.
    pub(super) at: u64,
}

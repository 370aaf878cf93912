//! The platform's VM list, as it is spelled on the wire.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DomainId;
use crate::ids::VmId;
use crate::labels::Labels;

/// Tells whether a VM stays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It serves.
    #[default]
    Live,
    /// It is about to go, and takes no new work.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// Its name.
    pub vm: VmId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain that it stands in.
    pub domain: DomainId,
    /// What is attached to it.
    #[serde(default)]
    pub labels: Labels,
    /// Whether it stays.
    #[serde(default)]
    pub state: VmState,
}

/// The list, as it was at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The moment, in milliseconds since 1970.
    pub as_of: u64,
    /// The VMs, in the order in which they were first listed.
    pub vms: Vec<VmEntry>,
}

//! The platform's VM list in its wire format.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DomainId;
use crate::ids::VmId;
use crate::labels::Labels;

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It accepts requests.
    #[default]
    Live,
    /// It is about to leave, and accepts no new requests.
    Leaving,
}

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// The name of the VM.
    pub vm: VmId,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The failure domain of the VM.
    pub domain: DomainId,
    /// The labels of the VM.
    #[serde(default)]
    pub labels: Labels,
    /// Whether it stays.
    #[serde(default)]
    pub state: VmState,
}

/// The VM list at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The time of the list, in milliseconds since the Unix epoch.
    pub as_of: u64,
    /// The entries, in the order in which they were first listed.
    pub vms: Vec<VmEntry>,
}

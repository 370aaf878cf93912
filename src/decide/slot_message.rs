//! What routers tell each other about the slots of brittle endpoints.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::decide::announcement::EndpointLife;
use crate::ids::Incarnation;
use crate::ids::VmId;

/// A router's requests at a brittle endpoint, and how many it wants to have there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotDemand {
    /// VM of the router.
    pub router: VmId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The endpoint.
    pub endpoint: EndpointLife,
    /// Sequence number at that incarnation. Of two demands, the one with the lower number is out of date.
    pub number: u64,
    /// The last grant that the router received.
    pub seen: GrantNumber,
    /// The slots that it keeps.
    pub held: u32,
    /// Its requests at the endpoint.
    pub in_use: u32,
    /// The slots that it has work for.
    pub wanted: u32,
    /// How many of its requests the endpoint has rejected so far.
    pub rejections: u64,
    /// How many rejections the endpoint tolerates in a second.
    pub tolerance: u32,
    /// How long the router has known that an endpoint of the pool is brittle.
    pub known_for: Duration,
}

/// Identifies a grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantNumber {
    /// The incarnation of the router that made it.
    pub owner: Option<Incarnation>,
    /// Its number there; 0 before the first.
    pub number: u64,
}

/// The slots of a brittle endpoint that a router may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// VM of the router that owns the slots.
    pub owner: VmId,
    /// The endpoint.
    pub endpoint: EndpointLife,
    /// Of two grants of an incarnation, the one with the lower number is out of date.
    pub number: GrantNumber,
    /// How many requests the router may have at the endpoint.
    pub slots: u32,
}

/// A message about slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotMessage {
    /// To the owner of an endpoint's slots.
    Demand(SlotDemand),
    /// From the owner.
    Grant(SlotGrant),
}

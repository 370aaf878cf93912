//! A router's slots at a brittle endpoint, as it got them from the router that owns them (see
//! [`crate::decide::slot_divider`]).
//!
//! Handles an owner that dies or is cut off while it has given out slots: a grant that is not renewed expires, so that
//! the next owner may give the slots to others.

use std::time::Duration;
use std::time::Instant;

use crate::decide::announcement::EndpointLife;
use crate::decide::slot_message::GrantNumber;
use crate::decide::slot_message::SlotDemand;
use crate::decide::slot_message::SlotGrant;
use crate::ids::Incarnation;
use crate::ids::VmId;

/// How long slots may be used after a grant.
const GRANT_TIME: Duration = Duration::from_secs(1);

/// How often a demand is repeated, so that a lost message is made up for and grants don't expire.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(200);

/// How long a slot that no request waits for is asked for and kept.
const SPARE_TIME: Duration = Duration::from_millis(200);

/// The shortest interval of demands that give up nothing.
const INCREASE_INTERVAL: Duration = Duration::from_millis(50);

/// What the owner was last told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Report {
    held: u32,
    in_use: u32,
    wanted: u32,
    rejections: u64,
    at: Instant,
}

/// The router that tells its demand, and what it knows of the endpoint.
#[derive(Clone, Copy, Debug)]
pub struct DemandContext<'a> {
    /// VM of the router.
    pub router: &'a VmId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// How many rejections the endpoint tolerates in a second.
    pub tolerance: u32,
    /// How long it has been known that an endpoint of the pool is brittle.
    pub known_for: Duration,
    /// The number of the demand, higher than all before of this incarnation.
    pub number: u64,
}

/// One router's slots at one endpoint.
#[derive(Clone, Debug)]
pub struct SlotShare {
    endpoint: EndpointLife,
    owner: VmId,
    /// How many requests the router may have at the endpoint.
    slots: u32,
    expires: Instant,
    seen: GrantNumber,
    rejections: u64,
    /// Whether slots were asked for that are not there yet.
    asking: bool,
    /// Until when one slot is kept for requests to come.
    spare_until: Instant,
    reported: Option<Report>,
}

impl SlotShare {
    /// Creates the state of a router that has no slots.
    pub fn new(now: Instant, endpoint: EndpointLife, owner: VmId) -> Self {
        Self {
            endpoint,
            owner,
            slots: 0,
            expires: now,
            seen: GrantNumber::default(),
            rejections: 0,
            asking: false,
            spare_until: now,
            reported: None,
        }
    }

    /// Returns the endpoint's life that the slots are of.
    pub fn endpoint(&self) -> &EndpointLife {
        &self.endpoint
    }

    /// Returns the router that owns the endpoint's slots.
    pub fn owner(&self) -> &VmId {
        &self.owner
    }

    /// Changes the owner. Slots of the former one are given up.
    pub fn set_owner(&mut self, owner: VmId) {
        if self.owner == owner {
            return;
        }
        self.owner = owner;
        self.slots = 0;
        self.seen = GrantNumber::default();
        self.reported = None;
    }

    /// Returns whether one more request may be sent, if the router has `active` ones at the endpoint.
    pub fn admits(&self, now: Instant, active: u32) -> bool {
        now < self.expires && active < self.slots
    }

    /// Returns whether slots were asked for that are not there yet.
    pub fn is_asking(&self) -> bool {
        self.asking
    }

    /// Returns whether more slots are of use to a router that has `active` requests at the endpoint: it asked for some, or
    /// uses all that it has.
    pub fn has_use(&self, active: u32) -> bool {
        self.asking || self.slots > 0 && active >= self.slots
    }

    /// Asks for a slot.
    pub fn ask(&mut self) {
        self.asking = true;
    }

    /// Asks for a slot that is kept for a while though no request waits for it.
    pub fn ask_spare(&mut self, now: Instant) {
        self.asking = true;
        self.spare_until = now + SPARE_TIME;
    }

    /// Applies a grant, and returns whether it is newer than all before.
    pub fn apply(&mut self, now: Instant, grant: &SlotGrant) -> bool {
        let outdated =
            grant.number.owner == self.seen.owner && grant.number.number < self.seen.number;
        if grant.endpoint != self.endpoint || grant.owner != self.owner || outdated {
            return false;
        }
        let renewed = grant.number == self.seen;
        self.expires = now + GRANT_TIME;
        // Slots that were given back since are not granted again by a repeated grant.
        if !renewed {
            self.seen = grant.number;
            self.slots = grant.slots;
            self.asking &= grant.slots == 0;
        }
        !renewed
    }

    /// Counts a request that the endpoint rejected, and gives up all slots but those of the `active` requests that the
    /// router still has there. Otherwise each request that finds a free slot would be rejected as well, until the owner
    /// has taken the slots back.
    pub fn record_rejection(&mut self, active: u32) {
        self.rejections += 1;
        self.slots = self.slots.min(active);
    }

    /// Returns the demand to be told to the owner, if it is time: the router has `active` requests at the endpoint, and
    /// work for `wanted` slots in all.
    pub fn demand(
        &mut self,
        now: Instant,
        active: u32,
        wanted: u32,
        context: &DemandContext<'_>,
    ) -> Option<SlotDemand> {
        let spare = u32::from(now < self.spare_until);
        let wanted = wanted.max(active + spare);
        if wanted <= active {
            self.asking = false;
        }
        if now >= self.expires {
            self.slots = 0;
        }
        // What there is no work for is given back.
        self.slots = self.slots.min(wanted.max(active));
        let held = self.slots.max(active);
        let reported = Report {
            held,
            in_use: active,
            wanted,
            rejections: self.rejections,
            at: now,
        };
        if !self.is_due(&reported) {
            return None;
        }
        self.reported = Some(reported);
        Some(SlotDemand {
            router: context.router.clone(),
            incarnation: context.incarnation,
            endpoint: self.endpoint.clone(),
            number: context.number,
            seen: self.seen,
            held,
            in_use: active,
            wanted,
            rejections: self.rejections,
            tolerance: context.tolerance,
            known_for: context.known_for,
        })
    }

    fn is_due(&self, new: &Report) -> bool {
        let Some(last) = self.reported else {
            return new.held > 0 || new.wanted > 0;
        };
        let passed = new.at.saturating_duration_since(last.at);
        let idle = new.held == 0 && new.wanted == 0;
        let was_idle = last.held == 0 && last.wanted == 0;
        if idle && was_idle && new.rejections == last.rejections {
            return false;
        }
        let freed = new.held < last.held || new.rejections > last.rejections;
        let more = new.wanted > last.wanted;
        let used_up = new.in_use > last.in_use && new.in_use == new.held;
        freed
            || more && last.wanted == 0
            || (more || used_up) && passed >= INCREASE_INTERVAL
            || passed >= RENEWAL_INTERVAL
    }
}

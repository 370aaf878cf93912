//! Divides the slots of a brittle endpoint among the routers.
//!
//! Handles an endpoint that fails if it has to reject more than a few requests in a second, while many routers send to
//! it. A router knows only its own requests there: with each one keeping to the room by itself, the sum is as many times
//! the room as there are routers. Fixed parts leave slots idle where few callers are and none for most routers of a large
//! fleet. So one router owns the slots of an endpoint, and the others ask it for as many as they have work for. The
//! owner gives out no more than the endpoint holds (see [`crate::decide::room`]): slots count until the router that has
//! them says that it no longer does. Under overload they are divided evenly, and take turns if there are too few.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::announcement::EndpointLife;
use crate::decide::room::EndpointLoad;
use crate::decide::room::RoomEstimate;
use crate::decide::slot_message::GrantNumber;
use crate::decide::slot_message::SlotDemand;
use crate::decide::slot_message::SlotGrant;
use crate::ids::Incarnation;
use crate::ids::VmId;

/// How long slots count as in use by a router that says nothing: half a second longer than it may use them.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a new owner gives out nothing, so that it first hears what routers have from the owner before.
const HANDOVER: Duration = Duration::from_millis(300);

/// How long after its first demand the requests that the endpoint already has raise the estimate of its room.
const SETTLING: Duration = Duration::from_secs(1);

/// How long a router may keep slots that others wait for.
const TURN: Duration = Duration::from_millis(50);

/// What one router has and wants of an endpoint's slots.
#[derive(Clone, Debug)]
struct Holder {
    incarnation: Incarnation,
    /// Number of its last demand.
    number: u64,
    /// The slots last granted.
    granted: u32,
    grant: u64,
    /// The most slots that it may be using.
    committed: u32,
    in_use: u32,
    wanted: u32,
    rejections: u64,
    heard: Instant,
    /// Since when it has slots, or waits for the first one.
    since: Instant,
}

/// Where a router stands when slots are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Precedence {
    /// It has had slots for less than a turn.
    InTurn,
    /// It has none and waits.
    Waiting,
    /// It has had slots for more than a turn.
    Served,
    /// It has to give up all slots, and still uses some.
    Leaving,
}

/// The router that owns the slots of some endpoints.
#[derive(Clone, Debug)]
pub struct SlotOwner {
    /// Its VM.
    pub vm: VmId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// What is known of a brittle endpoint when its slots are first divided.
#[derive(Clone, Debug)]
pub struct BrittleEndpoint {
    /// The endpoint.
    pub life: EndpointLife,
    /// How many requests it runs at once at most.
    pub slots: u32,
    /// How many rejections it tolerates in a second.
    pub tolerance: u32,
    /// How long it has been known that endpoints of its pool are brittle.
    pub known_for: Duration,
    /// How long after they first said so they may hold fewer requests than before.
    pub grace: Duration,
}

/// The slots of one endpoint, at the router that owns them.
#[derive(Clone, Debug)]
pub struct SlotDivider {
    owner: SlotOwner,
    endpoint: EndpointLife,
    room: RoomEstimate,
    holders: IndexMap<VmId, Holder>,
    /// Until when the requests that the endpoint already has raise the estimate of its room.
    settles: Instant,
    /// Whether endpoints of the pool have just become brittle, and do not fail yet.
    fresh: bool,
    /// From when on slots are given out.
    opens: Instant,
    /// When the endpoint may begin to hold fewer requests.
    tightens: Option<Instant>,
    last_grant: u64,
}

impl SlotDivider {
    /// Creates the state of an owner that has heard of no demand.
    pub fn new(now: Instant, owner: SlotOwner, endpoint: BrittleEndpoint) -> Self {
        let fresh = endpoint.known_for < SETTLING;
        let opens = match fresh {
            true => now,
            false => now + HANDOVER,
        };
        let grace_left = endpoint.grace.checked_sub(endpoint.known_for);
        Self {
            owner,
            room: RoomEstimate::new(now, endpoint.slots, endpoint.tolerance),
            endpoint: endpoint.life,
            holders: IndexMap::new(),
            settles: now + SETTLING,
            fresh,
            opens,
            tightens: grace_left.map(|left| now + left),
            last_grant: 0,
        }
    }

    /// Returns the endpoint's life that the slots are of.
    pub fn endpoint(&self) -> &EndpointLife {
        &self.endpoint
    }

    /// Returns how many requests the endpoint may have.
    pub fn limit(&self) -> u32 {
        self.room.limit()
    }

    /// Returns the requests that the endpoint may have according to the routers.
    pub fn committed(&self) -> u32 {
        self.holders.values().map(|holder| holder.committed).sum()
    }

    /// Returns whether no router wants slots or may be using any.
    pub fn is_idle(&self) -> bool {
        self.holders.is_empty()
    }

    /// Applies how many slots the endpoint lists, and how many rejections it tolerates in a second.
    pub fn update(&mut self, slots: u32, tolerance: u32) {
        self.room.update(slots, tolerance);
    }

    /// Records a router's demand, and returns whether it is newer than all before.
    pub fn record(&mut self, now: Instant, demand: &SlotDemand) -> bool {
        let known = self.holders.get(&demand.router);
        let known = known.filter(|known| known.incarnation == demand.incarnation);
        if known.is_some_and(|known| demand.number <= known.number) {
            return false;
        }
        let mut holder = known.cloned().unwrap_or_else(|| Holder::new(now, demand));
        let rejections = demand.rejections.saturating_sub(holder.rejections);
        holder.apply(now, self.owner.incarnation, demand);
        self.holders.insert(demand.router.clone(), holder);
        if now < self.settles {
            self.room.adopt(self.in_use());
        }
        if rejections > 0 {
            let count = u32::try_from(rejections).unwrap_or(u32::MAX);
            match now < self.settles && self.fresh {
                true => self.room.record_rejections(now, count),
                false => self.room.settle(now, count, self.load()),
            }
        }
        true
    }

    /// Divides the slots, and returns what changed for which routers; `asker` gets a grant in any case.
    pub fn divide(&mut self, now: Instant, asker: Option<&VmId>) -> Vec<(VmId, SlotGrant)> {
        self.holders
            .retain(|_, holder| now < holder.heard + HOLDER_TIMEOUT);
        if self.tightens.is_some_and(|at| now >= at) {
            self.tightens = None;
            self.room.measure_again(now);
        }
        let wanted = self.holders.values().map(|holder| holder.wanted);
        let pressed = wanted.fold(0, u32::saturating_add) > self.room.limit();
        if pressed && now >= self.opens {
            self.room.grow(now, self.in_use());
        }
        let order = self.order(now);
        let targets = self.targets(&order);
        let mut changed = self.lower(now, &targets);
        if now >= self.opens {
            changed.extend(self.raise(now, &targets));
        }
        changed.extend(asker.cloned());
        changed.sort_unstable();
        changed.dedup();
        let grants = changed
            .into_iter()
            .filter_map(|vm| self.grant(&vm).map(|grant| (vm, grant)));
        grants.collect()
    }

    fn load(&self) -> EndpointLoad {
        EndpointLoad {
            committed: self.committed(),
            in_use: self.in_use(),
        }
    }

    fn in_use(&self) -> u32 {
        self.holders.values().map(|holder| holder.in_use).sum()
    }

    /// Returns the routers in the order in which they get slots.
    fn order(&self, now: Instant) -> Vec<VmId> {
        let mut order: Vec<_> = self.holders.keys().cloned().collect();
        order.sort_by_cached_key(|vm| {
            let holder = &self.holders[vm];
            (holder.precedence(now), holder.since)
        });
        order
    }

    /// Returns how many slots each router should have: one after another gets one, until none are left.
    fn targets(&self, order: &[VmId]) -> IndexMap<VmId, u32> {
        let mut targets: IndexMap<_, _> = order.iter().map(|vm| (vm.clone(), 0)).collect();
        let mut left = self.room.limit();
        let mut missing = true;
        while left > 0 && missing {
            missing = false;
            for (vm, target) in &mut targets {
                if left > 0 && *target < self.holders[vm].wanted {
                    *target += 1;
                    left -= 1;
                    missing = true;
                }
            }
        }
        targets
    }

    /// Takes slots from routers that should have fewer. They count as used until the router confirms that.
    fn lower(&mut self, now: Instant, targets: &IndexMap<VmId, u32>) -> Vec<VmId> {
        let mut changed = Vec::new();
        for (vm, target) in targets {
            let holder = &mut self.holders[vm];
            if *target < holder.granted {
                self.last_grant += 1;
                holder.set_granted(now, *target, self.last_grant);
                changed.push(vm.clone());
            }
        }
        changed
    }

    /// Gives free slots to routers that should have more.
    fn raise(&mut self, now: Instant, targets: &IndexMap<VmId, u32>) -> Vec<VmId> {
        let mut changed = Vec::new();
        let mut free = self.room.limit().saturating_sub(self.committed());
        for (vm, target) in targets {
            let holder = &mut self.holders[vm];
            let most = (*target).min(holder.committed.saturating_add(free));
            if most <= holder.granted {
                continue;
            }
            let added = most.saturating_sub(holder.committed);
            free -= added;
            holder.committed += added;
            self.last_grant += 1;
            holder.set_granted(now, most, self.last_grant);
            changed.push(vm.clone());
        }
        changed
    }

    fn grant(&self, vm: &VmId) -> Option<SlotGrant> {
        let holder = self.holders.get(vm)?;
        Some(SlotGrant {
            owner: self.owner.vm.clone(),
            endpoint: self.endpoint.clone(),
            number: GrantNumber {
                owner: Some(self.owner.incarnation),
                number: holder.grant,
            },
            slots: holder.granted,
        })
    }
}

impl Holder {
    fn new(now: Instant, demand: &SlotDemand) -> Self {
        Self {
            incarnation: demand.incarnation,
            number: 0,
            granted: 0,
            grant: 0,
            committed: 0,
            in_use: 0,
            wanted: 0,
            rejections: demand.rejections,
            heard: now,
            since: now,
        }
    }

    /// Applies a demand. Slots of a grant that the router had not received count as used.
    fn apply(&mut self, now: Instant, owner: Incarnation, demand: &SlotDemand) {
        let before = self.wanted;
        self.number = demand.number;
        self.in_use = demand.in_use;
        self.wanted = demand.wanted;
        self.rejections = demand.rejections;
        self.heard = now;
        let used = demand.held.max(demand.in_use);
        let current = GrantNumber {
            owner: Some(owner),
            number: self.grant,
        };
        if demand.seen == current || self.grant == 0 {
            self.granted = self.granted.min(demand.held);
            self.committed = used;
        } else {
            self.committed = self.committed.max(used);
        }
        if before == 0 {
            self.since = now;
        }
    }

    fn set_granted(&mut self, now: Instant, slots: u32, number: u64) {
        if self.granted == 0 || slots == 0 {
            self.since = now;
        }
        self.granted = slots;
        self.grant = number;
    }

    fn precedence(&self, now: Instant) -> Precedence {
        match (self.granted, self.committed) {
            (0, 0) => Precedence::Waiting,
            (0, _) => Precedence::Leaving,
            _ if now < self.since + TURN => Precedence::InTurn,
            _ => Precedence::Served,
        }
    }
}

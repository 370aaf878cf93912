//! Slots of brittle endpoints: what this router needs of them, and how those that it owns are divided.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use tracing::info;

use crate::decide::BrittleEndpoint;
use crate::decide::Choice;
use crate::decide::DemandContext;
use crate::decide::EndpointLife;
use crate::decide::SlotDemand;
use crate::decide::SlotDivider;
use crate::decide::SlotGrant;
use crate::decide::SlotMessage;
use crate::decide::SlotOwner;
use crate::decide::SlotShare;
use crate::decide::first_selected;
use crate::ids::PoolId;
use crate::ids::VmId;
use crate::router::core::Accounting;
use crate::router::core::Core;
use crate::router::effect::Effect;
use crate::router::pool::SLOTS_LABEL;

/// How often the owners of endpoints and the rooms of owned ones are reviewed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// How often messages of this router to itself are handled in a row.
const MAX_ROUNDS: usize = 8;

/// A pool with brittle endpoints.
#[derive(Clone, Copy, Debug)]
struct BrittlePool {
    /// The fewest rejections that any of them tolerates in a second.
    tolerance: u32,
    /// Since when this router has known.
    since: Instant,
}

/// Slots of brittle endpoints.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    brittle: IndexMap<PoolId, BrittlePool>,
    /// This router's slots.
    shares: IndexMap<VmId, SlotShare>,
    /// The endpoints whose slots this router owns.
    dividers: IndexMap<VmId, SlotDivider>,
    /// Messages to be sent, and to whom.
    outbox: Vec<(VmId, SlotMessage)>,
    /// Number of the last demand.
    number: u64,
    reviewed_at: Option<Instant>,
}

/// What decides for which endpoint of a pool with brittle ones a slot is asked.
pub(crate) struct SlotChoice {
    /// The endpoints that need no slots.
    sound: Vec<VmId>,
    /// The endpoints that are closed, or of which a slot was asked for.
    pub(crate) unaskable: Vec<VmId>,
}

impl SlotChoice {
    /// Returns whether a request may do better at an endpoint that needs a slot than with this choice.
    pub(crate) fn prefers_other(&self, choice: Option<&Choice>) -> bool {
        choice.is_none_or(|choice| self.sound.contains(&choice.endpoint))
    }
}

impl Slots {
    /// Counts a request that an endpoint rejected, of which it has `active` ones of this router left.
    pub(crate) fn record_rejection(&mut self, vm: &VmId, active: u32) {
        if let Some(share) = self.shares.get_mut(vm) {
            share.record_rejection(active);
        }
    }

    /// Returns how many requests an endpoint may have, if this router owns its slots.
    pub(crate) fn room(&self, vm: &VmId) -> Option<u32> {
        self.dividers.get(vm).map(SlotDivider::limit)
    }

    /// Divides an endpoint's slots, and puts the grants into the outbox.
    fn divide(&mut self, now: Instant, vm: &VmId, asker: Option<&VmId>) {
        if let Some(divider) = self.dividers.get_mut(vm) {
            let grants = divider.divide(now, asker).into_iter();
            let messages = grants.map(|(to, grant)| (to, SlotMessage::Grant(grant)));
            self.outbox.extend(messages);
        }
    }
}

impl Core {
    /// Returns whether requests to an endpoint need slots. One that has not answered yet counts as brittle while others of
    /// its pool are.
    pub(crate) fn is_slot_limited(&self, pool: &PoolId, vm: &VmId) -> bool {
        self.slots.brittle.contains_key(pool) && !self.announcements.is_sound(vm)
    }

    /// Updates which pools have brittle endpoints.
    pub(crate) fn update_brittle_pools(&mut self, now: Instant) {
        for (name, pool) in &self.pools {
            let endpoints = pool.addresses.keys();
            let tolerances = endpoints.filter_map(|vm| self.announcements.tolerance(vm));
            let Some(tolerance) = tolerances.min() else {
                if self.slots.brittle.swap_remove(name).is_some() {
                    info!(event = "pool-sound", pool = %name);
                }
                continue;
            };
            let brittle = self.slots.brittle.entry(name.clone()).or_insert_with(|| {
                info!(event = "pool-brittle", pool = %name, tolerance);
                BrittlePool {
                    tolerance,
                    since: now,
                }
            });
            brittle.tolerance = tolerance;
        }
        let pools = &self.pools;
        self.slots
            .brittle
            .retain(|name, _| pools.contains_key(name));
        self.drop_old_shares();
    }

    /// Drops the slots of endpoints that need none any more, and of former lives.
    fn drop_old_shares(&mut self) {
        let mut shares = std::mem::take(&mut self.slots.shares);
        shares.retain(|vm, share| {
            let pool = self.pool_of(vm);
            let limited = pool.is_some_and(|pool| self.is_slot_limited(&pool, vm));
            limited && self.is_current(share.endpoint())
        });
        self.slots.shares = shares;
    }

    fn pool_of(&self, vm: &VmId) -> Option<PoolId> {
        let mut pools = self.pools.iter();
        let found = pools.find(|(_, pool)| pool.addresses.contains_key(vm));
        found.map(|(name, _)| name.clone())
    }

    /// Returns the endpoints of a pool to which this router may send nothing for want of a slot.
    pub(crate) fn without_slot(&self, now: Instant, name: &PoolId) -> Vec<VmId> {
        let brittle = self.slots.brittle.contains_key(name);
        let Some(pool) = self.pools.get(name).filter(|_| brittle) else {
            return Vec::new();
        };
        let closed = pool.addresses.keys().filter(|vm| {
            let active = pool.picker.chooser.active(vm).unwrap_or(0);
            let share = self.slots.shares.get(*vm);
            let admits = share.is_some_and(|share| share.admits(now, active));
            self.is_slot_limited(name, vm) && !admits
        });
        closed.cloned().collect()
    }

    /// Returns what decides for which endpoint of a pool a slot is asked, if any may be.
    pub(crate) fn slot_choice(&self, now: Instant, name: &PoolId) -> Option<SlotChoice> {
        let pool = self.pools.get(name).filter(|_| self.asks_for_slots(name))?;
        let endpoints = pool.addresses.keys();
        let sound = endpoints.filter(|vm| !self.is_slot_limited(name, vm));
        let mut unaskable = self.announcements.closed(now);
        unaskable.extend(self.asked_endpoints());
        Some(SlotChoice {
            sound: sound.cloned().collect(),
            unaskable,
        })
    }

    /// Returns whether slots are to be asked for if a request of a pool finds none.
    fn asks_for_slots(&self, name: &PoolId) -> bool {
        self.slots.brittle.contains_key(name) && !self.is_cut(name)
    }

    /// Returns the endpoints of which slots were asked for that are not there yet.
    fn asked_endpoints(&self) -> Vec<VmId> {
        let shares = self.slots.shares.iter();
        let asked = shares.filter(|(_, share)| share.is_asking());
        asked.map(|(vm, _)| vm.clone()).collect()
    }

    /// Asks for a slot of an endpoint that a waiting request would use.
    pub(crate) fn ask_for_slot(&mut self, now: Instant, name: &PoolId, vm: &VmId) {
        if self.is_slot_limited(name, vm) {
            self.slot_share(now, vm).ask();
        }
    }

    /// Asks for a slot of an endpoint that would have been better than the one that was chosen.
    ///
    /// Without this an endpoint that has not answered since others of its pool turned sound would get no requests as long
    /// as those have room, and could not show that it is sound.
    pub(crate) fn ask_for_spare_slot(&mut self, now: Instant, name: &PoolId, vm: &VmId) {
        if self.is_slot_limited(name, vm) {
            self.slot_share(now, vm).ask_spare(now);
        }
    }

    /// Returns this router's slots of an endpoint.
    fn slot_share(&mut self, now: Instant, vm: &VmId) -> &mut SlotShare {
        if !self.slots.shares.contains_key(vm) {
            let life = EndpointLife {
                vm: vm.clone(),
                birth: self.endpoint_birth(vm).flatten(),
            };
            let share = SlotShare::new(now, life, self.slot_owner(now, vm));
            self.slots.shares.insert(vm.clone(), share);
        }
        &mut self.slots.shares[vm]
    }

    /// Returns the router that owns an endpoint's slots: the first one that this router reaches, in an order that all
    /// routers compute alike.
    fn slot_owner(&self, now: Instant, vm: &VmId) -> VmId {
        let routers = self.members.vm_index.serving_vms();
        let eligible = |router: &VmId| match *router == self.tuning.vm {
            true => self.is_serving(),
            false => self.members.peer_failure(now, router).is_none(),
        };
        let owner = first_selected(&routers, vm.as_str(), eligible);
        owner.unwrap_or(&self.tuning.vm).clone()
    }

    /// Tells the owners of a pool's slots what this router needs of them, as far as it is time.
    pub(crate) fn update_slot_demands(&mut self, now: Instant, name: &PoolId) {
        let Some(brittle) = self.slots.brittle.get(name).copied() else {
            return;
        };
        let pool = &self.pools[name];
        let endpoints: Vec<_> = pool.addresses.keys().cloned().collect();
        let waiting = match self.asks_for_slots(name) {
            true => pool.queue.len().div_ceil(endpoints.len().max(1)),
            false => 0,
        };
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let router = self.tuning.vm.clone();
        let incarnation = self.me;
        for vm in endpoints {
            let active = self.pools[name].picker.chooser.active(&vm).unwrap_or(0);
            let known = self.slots.shares.contains_key(&vm);
            if !self.is_slot_limited(name, &vm) || !known && active == 0 {
                continue;
            }
            let context = DemandContext {
                router: &router,
                incarnation,
                tolerance: brittle.tolerance,
                known_for: now.saturating_duration_since(brittle.since),
                number: self.slots.number + 1,
            };
            let share = self.slot_share(now, &vm);
            let more = if share.has_use(active) { waiting } else { 0 };
            let wanted = active.saturating_add(more);
            if let Some(demand) = share.demand(now, active, wanted, &context) {
                let owner = share.owner().clone();
                self.slots.number += 1;
                let message = SlotMessage::Demand(demand);
                self.slots.outbox.push((owner, message));
            }
        }
    }

    /// Handles messages of other routers about slots, or of this one to itself.
    pub(crate) fn handle_slot_messages(&mut self, now: Instant, messages: &[SlotMessage]) {
        for message in messages {
            match message {
                SlotMessage::Demand(demand) => self.handle_slot_demand(now, demand),
                SlotMessage::Grant(grant) => self.handle_slot_grant(now, grant),
            }
        }
    }

    fn handle_slot_demand(&mut self, now: Instant, demand: &SlotDemand) {
        let vm = &demand.endpoint.vm;
        // With two owners, an endpoint would get the requests of both.
        if self.slot_owner(now, vm) != self.tuning.vm || !self.is_current(&demand.endpoint) {
            return;
        }
        let known = self.slots.dividers.get(vm);
        if known.is_none_or(|known| *known.endpoint() != demand.endpoint) {
            let divider = self.new_divider(now, demand);
            self.slots.dividers.insert(vm.clone(), divider);
        }
        let divider = &mut self.slots.dividers[vm];
        let before = divider.limit();
        if !divider.record(now, demand) {
            return;
        }
        let (room, committed) = (divider.limit(), divider.committed());
        if room < before {
            info!(event = "endpoint-room", endpoint = %vm, room, before, committed);
        }
        self.slots.divide(now, vm, Some(&demand.router));
    }

    fn new_divider(&self, now: Instant, demand: &SlotDemand) -> SlotDivider {
        let pool = self.pool_of(&demand.endpoint.vm);
        let brittle = pool.and_then(|pool| self.slots.brittle.get(&pool));
        let known_for = brittle.map(|brittle| now.saturating_duration_since(brittle.since));
        let grace = match self.tuning.accounting {
            Accounting::Grants(tuning) => tuning.brittle_grace,
            Accounting::Ledger => Duration::ZERO,
        };
        let owner = SlotOwner {
            vm: self.tuning.vm.clone(),
            incarnation: self.me,
        };
        let endpoint = BrittleEndpoint {
            life: demand.endpoint.clone(),
            slots: self.slots_reached(now, &demand.endpoint.vm),
            tolerance: demand.tolerance,
            known_for: known_for.unwrap_or_default().max(demand.known_for),
            grace,
        };
        SlotDivider::new(now, owner, endpoint)
    }

    /// Returns how many slots of an endpoint this router may give out as their owner: a part of them while it does not
    /// reach all routers, since those beyond a partition have an owner of their own.
    fn slots_reached(&self, now: Instant, vm: &VmId) -> u32 {
        let entry = self.members.vm_index.entry(vm);
        let slots = entry.and_then(|entry| entry.labels.get(SLOTS_LABEL)?.parse().ok());
        let slots: u32 = slots.unwrap_or(u32::MAX);
        let (reached, all) = self.members.reached_routers(now);
        let part = u64::from(slots) * reached as u64 / all as u64;
        u32::try_from(part).unwrap_or(u32::MAX).max(1)
    }

    fn handle_slot_grant(&mut self, now: Instant, grant: &SlotGrant) {
        let vm = &grant.endpoint.vm;
        let share = self.slots.shares.get_mut(vm);
        if !share.is_some_and(|share| share.apply(now, grant)) {
            return;
        }
        if let Some(pool) = self.pool_of(vm) {
            self.serve_queue(now, &pool);
        }
    }

    /// Reviews who owns slots, and divides those that this router owns.
    pub(crate) fn review_slots(&mut self, now: Instant) {
        if self.slots.shares.is_empty() && self.slots.dividers.is_empty() {
            return;
        }
        let reviewed = self.slots.reviewed_at;
        if reviewed.is_none_or(|at| now >= at + REVIEW_INTERVAL) {
            self.slots.reviewed_at = Some(now);
            self.review_owners(now);
        }
        let owned: Vec<_> = self.slots.dividers.keys().cloned().collect();
        for vm in owned {
            self.slots.divide(now, &vm, None);
        }
    }

    fn review_owners(&mut self, now: Instant) {
        let shares: Vec<_> = self.slots.shares.keys().cloned().collect();
        for vm in shares {
            let owner = self.slot_owner(now, &vm);
            self.slots.shares[&vm].set_owner(owner);
        }
        let mut dividers = std::mem::take(&mut self.slots.dividers);
        dividers.retain(|vm, divider| {
            let owned = self.slot_owner(now, vm) == self.tuning.vm;
            let pool = self.pool_of(vm);
            let brittle = pool.and_then(|pool| self.slots.brittle.get(&pool));
            if let Some(brittle) = brittle {
                divider.update(self.slots_reached(now, vm), brittle.tolerance);
            }
            owned && !divider.is_idle() && self.is_current(divider.endpoint())
        });
        self.slots.dividers = dividers;
    }

    /// Sends the messages about slots, and handles those to this router itself.
    pub(crate) fn send_slot_messages(&mut self, now: Instant) {
        let mut sent: IndexMap<VmId, Vec<SlotMessage>> = IndexMap::new();
        for _ in 0..MAX_ROUNDS {
            if self.slots.outbox.is_empty() {
                break;
            }
            let mut own = Vec::new();
            for (to, message) in std::mem::take(&mut self.slots.outbox) {
                match to == self.tuning.vm {
                    true => own.push(message),
                    false => sent.entry(to).or_default().push(message),
                }
            }
            self.handle_slot_messages(now, &own);
        }
        for (to, messages) in sent {
            if let Some(peer) = self.members.vm_index.peer(&to).cloned() {
                self.effects.push(Effect::SendSlots(messages, peer));
            }
        }
    }
}

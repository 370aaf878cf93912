//! Pools whose endpoints this router does not reach, and requests that other routers carry out meanwhile.

use std::time::Duration;
use std::time::Instant;

use tracing::info;
use tracing::warn;

use crate::decide;
use crate::decide::Capacity;
use crate::decide::Loss;
use crate::decide::PathChange;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::VmId;
use crate::router::core::Accounting;
use crate::router::core::Core;
use crate::router::effect::Effect;
use crate::router::effect::Forwarding;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;
use crate::router::request::Request;
use crate::router::request::State;
use crate::router::run_end::RunEnd;
use crate::router::vm_index::FORWARD_LABEL;

/// The retry delay for a caller whose request was forwarded to a router that lost its endpoints, too.
const CUT_RETRY: Duration = Duration::from_millis(500);

/// The least part of the fleet's capacity that callers are sent to. If fewer VMs reach the endpoints, the others are
/// advised, too, and forward.
const MIN_ADVISED: f64 = 1.0 / 3.0;

impl Core {
    /// Returns whether this router has lost its path to all endpoints of a pool.
    pub(crate) fn is_cut(&self, pool: &PoolId) -> bool {
        let pool = self.pools.get(pool);
        pool.is_some_and(|pool| pool.reachability.is_cut())
    }

    /// Returns the pools of which this router reaches no endpoint.
    pub(crate) fn cut_pools(&self) -> Vec<PoolId> {
        let pools = self.pools.iter();
        let cut = pools.filter(|(_, pool)| pool.reachability.is_cut());
        cut.map(|(name, _)| name.clone()).collect()
    }

    /// Records that an endpoint of a pool answered.
    fn record_answer(&mut self, now: Instant, name: &PoolId, vm: &VmId) {
        if let Some(pool) = self.pools.get_mut(name) {
            let count = pool.addresses.len();
            let change = pool.reachability.record_answer(now, vm, count);
            self.apply_path_change(now, name, change);
        }
    }

    /// Records that an endpoint of a pool was lost.
    fn record_loss(&mut self, now: Instant, name: &PoolId, vm: &VmId, loss: Loss) {
        if let Some(pool) = self.pools.get_mut(name) {
            let count = pool.addresses.len();
            let change = pool.reachability.record_loss(now, vm, loss, count);
            self.apply_path_change(now, name, change);
        }
    }

    /// Records whether a connection to an endpoint could be opened.
    pub(crate) fn handle_connection_check(&mut self, now: Instant, vm: &VmId, passed: bool) {
        let names: Vec<_> = self.pools.keys().cloned().collect();
        for name in names {
            let pool = &mut self.pools[&name];
            if !pool.addresses.contains_key(vm) {
                continue;
            }
            let count = pool.addresses.len();
            let change = pool.reachability.record_check(now, vm, passed, count);
            self.apply_path_change(now, &name, change);
        }
    }

    fn apply_path_change(&mut self, now: Instant, name: &PoolId, change: Option<PathChange>) {
        let Some(change) = change else {
            return;
        };
        let pool = &mut self.pools[name];
        let age = pool.reachability.answer_age(now);
        let answer_ms = age.map(|age| age.as_millis());
        let endpoints = pool.addresses.len();
        let unconnected = pool.reachability.unconnected().count();
        match change {
            PathChange::Lost => {
                warn!(event = "pool-cut", pool = %name, endpoints, unconnected, answer_ms);
            }
            PathChange::Found => {
                info!(event = "pool-reached", pool = %name, endpoints, unconnected, answer_ms);
                // What failed while the path was lost says nothing about the endpoints.
                pool.forget_failures(now);
            }
        }
        self.members.request_heartbeat();
    }

    /// Records what the end of a run says of the path to its endpoint.
    pub(crate) fn record_reach(
        &mut self,
        now: Instant,
        pool: &PoolId,
        endpoint: &VmId,
        end: &RunEnd,
        silent: bool,
    ) {
        match end {
            RunEnd::Completed { .. } | RunEnd::Answered { .. } | RunEnd::NotRun { .. } => {
                self.record_answer(now, pool, endpoint);
            }
            RunEnd::NoConnection => self.record_loss(now, pool, endpoint, Loss::Connection),
            RunEnd::Failed {
                answer_begun: false,
                ..
            } => self.record_loss(now, pool, endpoint, Loss::Answer),
            RunEnd::CallerGone { .. } if silent => {
                self.record_loss(now, pool, endpoint, Loss::Answer);
            }
            RunEnd::Failed { .. } | RunEnd::CallerGone { .. } | RunEnd::Unsent => {}
        }
    }

    /// Records that the endpoint that a request runs at answered, whatever it said.
    pub(crate) fn record_answer_head(&mut self, now: Instant, id: RequestId) {
        if let Some(request) = self.requests.get(&id)
            && request.relay.is_some()
            && let State::Running { endpoint, .. } = &request.state
        {
            let (pool, endpoint) = (request.pool.clone(), endpoint.clone());
            self.record_answer(now, &pool, &endpoint);
        }
    }

    /// Records the endpoints that have been silent for long about requests that wait for them.
    pub(crate) fn record_silence(&mut self, now: Instant) {
        let mut silent = Vec::new();
        for request in self.requests.values_mut() {
            let is_silent = request.has_silent_endpoint(now);
            if let (State::Running { endpoint, .. }, Some(terms)) =
                (&request.state, &mut request.relay)
                && is_silent
                && terms.silent_at.as_ref() != Some(endpoint)
            {
                terms.silent_at = Some(endpoint.clone());
                silent.push((request.pool.clone(), endpoint.clone()));
            }
        }
        for (pool, endpoint) in silent {
            self.record_loss(now, &pool, &endpoint, Loss::Answer);
        }
    }

    /// Checks connections to endpoints of pools where some were lost and none answered since, and during cuts.
    pub(crate) fn check_connections(&mut self, now: Instant) {
        for pool in self.pools.values_mut() {
            let endpoints = pool.addresses.keys();
            for vm in pool.reachability.take_checks(now, endpoints) {
                let address = pool.addresses[&vm].to_string();
                self.effects.push(Effect::CheckConnection(vm, address));
            }
        }
    }

    /// Forwards a request that was just admitted if its endpoints can't be reached from here; returns it otherwise.
    ///
    /// # Errors
    ///
    /// When another router forwarded it, whose knowledge of this one is out of date.
    pub(crate) fn forward_arrival(
        &mut self,
        now: Instant,
        id: RequestId,
        request: Request,
    ) -> Result<Option<Request>, Box<Problem>> {
        if !self.is_cut(&request.pool) || request.relay.is_none() {
            return Ok(Some(request));
        }
        if request.is_forwarded() {
            let detail = "this router has lost its endpoints, too";
            let problem = Problem::new(ProblemKind::NoEndpoint, Ran::No, detail);
            return Err(Box::new(problem.with_retry(CUT_RETRY)));
        }
        let pool = &mut self.pools[&request.pool];
        if request.idempotent && pool.reachability.try_acquire(now) {
            return Ok(Some(request));
        }
        match self.forwarding(now, &request.pool, request.deadline) {
            Some(forwarding) => {
                self.forward(id, &request.pool, forwarding);
                Ok(None)
            }
            None => Ok(Some(request)),
        }
    }

    /// Forwards a request that was sent to no endpoint, if another router may carry it out; returns whether it did.
    pub(crate) fn forward_unsent(&mut self, now: Instant, id: RequestId) -> bool {
        let request = &self.requests[&id];
        if !request.may_be_forwarded() {
            return false;
        }
        let (pool, deadline) = (request.pool.clone(), request.deadline);
        let Some(forwarding) = self.forwarding(now, &pool, deadline) else {
            return false;
        };
        self.withdraw(now, id);
        self.forward(id, &pool, forwarding);
        self.finish(now, id);
        true
    }

    /// Forwards the requests that wait for endpoints that can't be reached from here.
    pub(crate) fn forward_queued(&mut self, now: Instant) {
        for name in self.cut_pools() {
            let queued: Vec<_> = self.pools[&name].places.keys().copied().collect();
            for id in queued {
                let request = self.requests.get(&id);
                if request.is_some_and(Request::may_be_forwarded) && !self.forward_unsent(now, id) {
                    break;
                }
            }
        }
    }

    fn forward(&mut self, id: RequestId, pool: &PoolId, forwarding: Forwarding) {
        info!(event = "forwarded", request = %id, %pool, to = forwarding.hops[0]);
        self.effects.push(Effect::Forward(id, Box::new(forwarding)));
    }

    /// Returns where a request can be forwarded: to routers that reach its pool and have no older configuration, more
    /// often to those with more capacity left.
    fn forwarding(&mut self, now: Instant, pool: &PoolId, deadline: Instant) -> Option<Forwarding> {
        if now >= deadline || self.tuning.accounting == Accounting::Ledger {
            return None;
        }
        let table = self.table_version();
        let mut peers = self.members.advisable_peers(now);
        peers.retain(|peer| {
            let beat = self.members.fresh_heartbeat(now, &peer.vm);
            let reaches = beat.is_some_and(|beat| beat.table >= table && !beat.cut.contains(pool));
            reaches && !peer.leaving && self.members.peer_failure(now, &peer.vm).is_none()
        });
        let peers = peers.into_iter().filter_map(|peer| {
            let entry = self.members.vm_index.entry(&peer.vm)?;
            let address = entry.labels.get(FORWARD_LABEL)?.to_owned();
            let capacity = self.members.vm_index.capacity(&peer.vm);
            Some((capacity, decide::Peer { address, ..peer }))
        });
        let peers: Vec<_> = peers.collect();
        let drawn = decide::draw_by_capacity(peers, &mut self.rng);
        let advice = decide::advise(&drawn, Some(&self.tuning.domain), &mut self.rng)?;
        let mut hops = vec![advice.address];
        hops.extend(advice.alternates);
        Some(Forwarding {
            hops,
            deadline,
            table,
        })
    }

    /// Removes the routers that have lost pools from those that are advised to callers, as long as enough are left, and
    /// returns whether this router is among them.
    pub(crate) fn retain_connected(&self, now: Instant, peers: &mut Vec<decide::Peer>) -> bool {
        let is_cut = |vm: &VmId| {
            let beat = self.members.fresh_heartbeat(now, vm);
            beat.is_some_and(|beat| !beat.cut.is_empty())
        };
        let own = &self.tuning.vm;
        let own_cut = !self.cut_pools().is_empty();
        let mut all: Vec<_> = peers
            .iter()
            .map(|peer| (&peer.vm, is_cut(&peer.vm)))
            .collect();
        if self.is_serving() {
            all.push((own, own_cut));
        }
        let capacity = |vm: &VmId| self.members.vm_index.capacity(vm);
        let max = Capacity::max_of(all.iter().map(|(vm, _)| capacity(vm)));
        let share = |vm: &VmId| capacity(vm).share_of(max);
        let total: f64 = all.iter().map(|(vm, _)| share(vm)).sum();
        let connected = all.iter().filter(|(_, cut)| !cut);
        let connected: f64 = connected.map(|(vm, _)| share(vm)).sum();
        if connected < total * MIN_ADVISED {
            return true;
        }
        peers.retain(|peer| !is_cut(&peer.vm));
        !own_cut
    }
}

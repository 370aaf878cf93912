//! Which pools' endpoints this router reaches.

use std::time::Instant;

use tracing::info;
use tracing::warn;

use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::VmId;
use crate::router::core::Core;
use crate::router::event::RunEnd;

impl Core {
    /// Records that an endpoint of a pool answered or accepted a connection.
    pub(crate) fn record_contact(&mut self, now: Instant, name: &PoolId) {
        let Some(pool) = self.pools.get_mut(name) else {
            return;
        };
        let cut_for = pool.reachability.cut_for(now);
        let Some(lost) = pool.reachability.record_contact(now) else {
            return;
        };
        let cut_ms = cut_for.map(|time| time.as_millis());
        info!(event = "pool-reached", pool = %name, cut_ms, lost = lost.len());
    }

    /// Records that an endpoint of a pool accepted no connection, or did not answer.
    pub(crate) fn record_loss(&mut self, now: Instant, name: &PoolId, vm: &VmId) {
        let Some(pool) = self.pools.get_mut(name) else {
            return;
        };
        let endpoints = pool.addresses.len();
        if pool.reachability.record_loss(now, vm, endpoints) {
            let age = pool.reachability.contact_age(now);
            let contact_ms = age.map(|age| age.as_millis());
            warn!(event = "pool-cut", pool = %name, endpoints, contact_ms);
        }
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
                self.record_contact(now, pool);
            }
            RunEnd::NoConnection
            | RunEnd::Failed {
                answer_begun: false,
                ..
            } => self.record_loss(now, pool, endpoint),
            RunEnd::CallerGone { .. } if silent => self.record_loss(now, pool, endpoint),
            RunEnd::Failed { .. } | RunEnd::CallerGone { .. } | RunEnd::Unsent => {}
        }
    }

    /// Records that the endpoint that a request runs at answered, whatever it said.
    pub(crate) fn record_answer_head(&mut self, now: Instant, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            let pool = request.pool.clone();
            self.record_contact(now, &pool);
        }
    }
}

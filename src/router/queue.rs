//! Queues of requests that wait for an endpoint.

use std::time::Instant;

use crate::decide::QueueTicket;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::router::core::Core;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;
use crate::router::request::State;

impl Core {
    /// Queues a funded request for an endpoint.
    pub(crate) fn enqueue(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.state = State::Queued;
        let account = request.key.account.clone();
        let weight = self.config.account(&account).map_or(1, |a| a.limits.weight);
        let ticket = QueueTicket {
            team: request.team.clone(),
            account,
            priority: request.priority,
            weight,
            cost: request.reserve,
            deadline: request.deadline.min(now + self.tuning.queue_timeout),
        };
        let name = request.pool.clone();
        if self.is_drained(&name) {
            return self.refuse_drained_request(now, id);
        }
        let Some(pool) = self.pools.get_mut(&name) else {
            self.refuse(now, id, ProblemKind::NoRoute, "the rule's pool is gone");
            return;
        };
        match pool.queue.push(now, id, ticket) {
            Ok(place) => {
                pool.places.insert(id, place);
                self.serve_queue(now, &name);
                self.refuse_unservable(now, &name);
                self.refuse_unservable_suspect(now, id);
            }
            Err(full) => {
                let detail = full.to_string();
                let problem = Problem::new(ProblemKind::Overloaded, Ran::Unknown, &detail);
                self.refuse_with(now, id, problem.with_retry(full.retry_after()));
            }
        }
    }

    /// Removes a request from its pool's queue.
    pub(crate) fn cancel_queued(&mut self, now: Instant, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&request.pool) else {
            return;
        };
        if let Some(place) = pool.places.swap_remove(&id) {
            pool.queue.cancel(now, place);
        }
    }

    /// Claims a pool's queued requests while endpoints have room for them.
    pub(crate) fn serve_queue(&mut self, now: Instant, name: &PoolId) {
        while let Some((id, choice)) = self.pop_dispatchable(now, name) {
            self.assign_endpoint(now, id, &choice);
            self.claim(now, id, choice.endpoint);
        }
        self.update_slot_demands(now, name);
    }

    pub(crate) fn serve_all_queues(&mut self, now: Instant) {
        let names: Vec<_> = self.pools.keys().cloned().collect();
        for name in names {
            self.serve_queue(now, &name);
        }
    }

    /// Refuses queued requests that waited past their deadline.
    pub(crate) fn expire_queues(&mut self, now: Instant) {
        let mut expired = Vec::new();
        for pool in self.pools.values_mut() {
            for id in pool.queue.take_expired(now) {
                pool.places.swap_remove(&id);
                expired.push(id);
            }
        }
        for id in expired {
            let detail = "the wait for an endpoint outlasted the deadline";
            self.refuse(now, id, ProblemKind::Overloaded, detail);
        }
    }
}

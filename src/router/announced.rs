//! Applies what endpoints announce about themselves, heard from them or from other routers.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use tracing::info;

use crate::decide::Announcement;
use crate::decide::AnnouncementRow;
use crate::decide::Changes;
use crate::decide::EndpointLife;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::VmId;
use crate::router::core::Core;
use crate::router::pool::BORN_LABEL;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;
use crate::router::request::Request;
use crate::router::request::State;
use crate::router::run_end::Failure;
use crate::router::run_end::RunEnd;
use crate::router::vm_index::VmIndex;

/// When a caller may return if this router has no part of the rate that the endpoints take: another router has one.
const NO_SHARE_RETRY: Duration = Duration::from_secs(1);

/// The upper bound of the random factor on the time in a refusal, so that callers refused together do not all return
/// together.
const RETRY_JITTER: f64 = 1.5;

impl Core {
    /// Records what the endpoint that runs a request announced in the head of its answer.
    pub(crate) fn handle_announcement(
        &mut self,
        now: Instant,
        id: RequestId,
        announcement: Announcement,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let State::Running {
            endpoint,
            birth,
            since,
            ..
        } = &request.state
        else {
            return;
        };
        let since = *since;
        let life = EndpointLife {
            vm: endpoint.clone(),
            birth: birth.clone(),
        };
        if !self.is_current(&life) {
            return;
        }
        let changes = self.announcements.record(now, &life, since, announcement);
        self.log_changes(now, &life.vm, &self.tuning.vm, changes);
        self.record_earlier_sends(&life.vm, changes);
        if self.announcements.record_read(now, &life.vm, id, since) {
            self.members.request_heartbeat();
        }
        self.apply_announcements(now, changes);
    }

    /// Takes over what another router heard of endpoints.
    pub(crate) fn merge_announcements(
        &mut self,
        now: Instant,
        from: &VmId,
        rows: &[AnnouncementRow],
    ) {
        let mut all = Changes::default();
        for row in rows {
            if !self.is_current(&row.life) {
                continue;
            }
            let changes = self.announcements.merge(now, row);
            self.log_changes(now, &row.life.vm, from, changes);
            self.record_earlier_sends(&row.life.vm, changes);
            all.limit |= changes.limit;
            all.tolerance |= changes.tolerance;
            all.leaving |= changes.leaving;
            all.rest |= changes.rest;
        }
        self.apply_announcements(now, all);
    }

    /// Counts the requests that an endpoint has not answered, once its limit is known.
    fn record_earlier_sends(&mut self, vm: &VmId, changes: Changes) {
        if !changes.limit {
            return;
        }
        let sends = self.requests.iter().filter_map(|(id, request)| {
            let State::Running {
                endpoint,
                since,
                first_token: None,
                ..
            } = &request.state
            else {
                return None;
            };
            (endpoint == vm).then_some((*id, *since))
        });
        let sends: Vec<_> = sends.collect();
        self.announcements.record_earlier_sends(vm, &sends);
    }

    /// Records whether a limited endpoint has read a request whose run ended, or may still read it.
    pub(crate) fn record_limited_read(&mut self, now: Instant, id: RequestId, end: &RunEnd) {
        let request = &self.requests[&id];
        let State::Running {
            endpoint,
            since,
            first_token,
            ..
        } = &request.state
        else {
            return;
        };
        let announcements = &mut self.announcements;
        match end {
            RunEnd::Failed {
                failure: Failure::Silent,
                ..
            } => {}
            RunEnd::CallerGone { .. } if first_token.is_none() => {}
            RunEnd::Completed { .. }
            | RunEnd::Answered { .. }
            | RunEnd::CallerGone { .. }
            | RunEnd::Failed {
                failure: Failure::Answered,
                ..
            } => {
                announcements.record_read(now, endpoint, id, *since);
                return;
            }
            // Where the ledger accounts for budgets, it may mean that there was no connection.
            RunEnd::NotRun { .. } if request.relay.is_some() => {
                announcements.record_read(now, endpoint, id, *since);
                return;
            }
            RunEnd::NotRun { .. }
            | RunEnd::NoConnection
            | RunEnd::Unsent
            | RunEnd::Failed { .. } => return announcements.record_unsent(now, endpoint, id),
        }
        if announcements.record_given_up(now, endpoint, id) {
            let unread = announcements.unread(endpoint);
            info!(event = "endpoint-unread", request = %id, %endpoint, unread);
        }
    }

    /// Takes leaving endpoints out of the choice, and serves or refuses the waiting requests after a change.
    fn apply_announcements(&mut self, now: Instant, changes: Changes) {
        if changes.leaving {
            self.rebuild_pools(now);
        }
        if changes.tolerance {
            self.members.request_heartbeat();
            self.update_brittle_pools(now);
        }
        if !changes.any() {
            return;
        }
        self.serve_all_queues(now);
        let pools: Vec<_> = self.pools.keys().cloned().collect();
        for pool in pools {
            self.refuse_unservable(now, &pool);
        }
    }

    /// Refuses those requests that would wait too long to be answered by their deadlines, for a pool all of whose endpoints
    /// are limited or resting.
    pub(crate) fn refuse_unservable(&mut self, now: Instant, pool: &PoolId) {
        let Some(pool) = self.pools.get(pool).filter(|pool| !pool.places.is_empty()) else {
            return;
        };
        let endpoints = pool.picker.chooser.staying();
        let Some(allowance) = self.announcements.allowance(now, endpoints) else {
            return;
        };
        let mut late = Vec::new();
        let mut kept = 0;
        for id in pool.places.keys() {
            let wait = allowance.wait(kept + 1);
            let latest = self.requests.get(id).and_then(latest_send);
            if wait.is_none_or(|wait| latest.is_none_or(|at| now + wait >= at)) {
                late.push((*id, wait.unwrap_or(NO_SHARE_RETRY)));
            } else {
                kept += 1;
            }
        }
        for (id, wait) in late {
            let detail = "its endpoints announced that they take no more requests now";
            let problem = Problem::new(ProblemKind::NoEndpoint, Ran::Unknown, detail);
            let spread = self.rng.random_range(1.0..RETRY_JITTER);
            self.refuse_with(now, id, problem.with_retry(wait.mul_f64(spread)));
        }
    }

    /// Prepares the announcements for the next heartbeat.
    pub(crate) fn advance_announcements(&mut self, now: Instant) {
        self.prune_announcements(now);
        self.announcements.advance(now);
    }

    /// Drops what former lives of endpoints announced.
    pub(crate) fn prune_announcements(&mut self, now: Instant) {
        let index = &self.members.vm_index;
        self.announcements.prune(now, |vm| birth(index, vm));
    }

    /// Returns when the current life of a listed endpoint began, if its entry says so.
    pub(crate) fn endpoint_birth(&self, vm: &VmId) -> Option<Option<String>> {
        birth(&self.members.vm_index, vm)
    }

    /// Returns whether the VM list has no other life of an endpoint. One that is not listed may be listed again.
    pub(crate) fn is_current(&self, life: &EndpointLife) -> bool {
        self.endpoint_birth(&life.vm)
            .is_none_or(|birth| birth == life.birth)
    }

    fn log_changes(&self, now: Instant, endpoint: &VmId, from: &VmId, changes: Changes) {
        if changes.limit {
            let limit = self.announcements.limit(endpoint);
            let limit = limit.map(tracing::field::display);
            info!(event = "endpoint-limit", %endpoint, limit, %from);
        }
        if changes.tolerance {
            let rejections = self.announcements.tolerance(endpoint);
            info!(event = "endpoint-brittle", %endpoint, rejections, %from);
        }
        if changes.leaving {
            info!(event = "endpoint-leaving", %endpoint, %from);
        }
        if changes.rest {
            let left_ms = self.announcements.rest_left(now, endpoint).as_millis();
            info!(event = "endpoint-rests", %endpoint, left_ms);
        }
    }
}

/// Returns when a request must have been sent so that an answer within its objective comes by its deadline.
fn latest_send(request: &Request) -> Option<Instant> {
    let terms = request.relay.as_ref();
    let objective = terms.map_or(Duration::ZERO, |terms| terms.objective);
    request.deadline.checked_sub(objective)
}

fn birth(index: &VmIndex, vm: &VmId) -> Option<Option<String>> {
    let entry = index.entry(vm)?;
    Some(entry.labels.get(BORN_LABEL).map(str::to_owned))
}

//! Requests that were given up at endpoints which may still read them.
//!
//! Handles endpoints that are paused, or too busy to read their sockets. A request that is given up there and retried
//! elsewhere is read once the endpoint goes on, even though its connection was reset: the endpoint's host keeps what it
//! has received until a process reads it. Without this, all that was given up during a pause arrives at once, beside as
//! many retries as are allowed, and the pool gets the load of several windows in one.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::retry::PendingRetry;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::VmId;

/// How long a request counts as unread at an endpoint that remains listed, after the last request that was given up there. A
/// platform removes endpoints from its list within seconds of their last sign of life, so one that is still listed then,
/// and that no request was given up at, has read its sockets since.
const LISTED_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a request counts as unread at an endpoint that was removed from the list, and that may return and read on.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(30);

/// A run that was given up before its endpoint answered.
#[derive(Debug)]
struct UnreadRun {
    endpoint: VmId,
    given_up: Instant,
}

/// What is kept of one request.
#[derive(Debug)]
struct Unread {
    pool: PoolId,
    runs: Vec<UnreadRun>,
    /// Retries by which the request may still arrive, at most one for each unread run.
    retries: Vec<PendingRetry>,
}

/// A run that no longer counts as unread although its endpoint did not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ExpiredRun {
    /// The request.
    pub(crate) request: RequestId,
    /// The endpoint at which it was given up.
    pub(crate) endpoint: VmId,
    /// Whether the endpoint was still listed.
    pub(crate) listed: bool,
}

/// Holds the retries of requests that were given up at some endpoint, until that endpoint is known to have read on.
#[derive(Debug, Default)]
pub(crate) struct UnreadRequests {
    requests: IndexMap<RequestId, Unread>,
    /// When a request was last given up at each endpoint that has not answered a later one.
    silent: IndexMap<VmId, Instant>,
}

impl UnreadRequests {
    /// Records that a run was given up without an answer from its endpoint.
    pub(crate) fn record_run(
        &mut self,
        now: Instant,
        request: RequestId,
        pool: &PoolId,
        endpoint: VmId,
    ) {
        self.silent.insert(endpoint.clone(), now);
        let unread = self.requests.entry(request).or_insert_with(|| Unread {
            pool: pool.clone(),
            runs: Vec::new(),
            retries: Vec::new(),
        });
        unread.runs.push(UnreadRun {
            endpoint,
            given_up: now,
        });
    }

    /// Holds a retry whose run is over. Returns it if as many are held as runs of its request are unread.
    #[must_use]
    pub(crate) fn hold(&mut self, request: RequestId, retry: PendingRetry) -> Option<PendingRetry> {
        match self.requests.get_mut(&request) {
            Some(unread) if unread.retries.len() < unread.runs.len() => {
                unread.retries.push(retry);
                None
            }
            _ => Some(retry),
        }
    }

    /// Forgets a request that is over, unless it was retried.
    pub(crate) fn finish(&mut self, request: RequestId) {
        let retried = |unread: &Unread| !unread.retries.is_empty();
        if self.requests.get(&request).is_some_and(|it| !retried(it)) {
            self.requests.swap_remove(&request);
        }
    }

    /// Records that an endpoint answered a request that was sent at a given time. It has read what was given up before
    /// that. Returns the retries that are no longer held, with their pools.
    #[must_use]
    pub(crate) fn record_answer(
        &mut self,
        endpoint: &VmId,
        sent: Instant,
    ) -> Vec<(PoolId, PendingRetry)> {
        if self.silent.get(endpoint).is_some_and(|at| *at <= sent) {
            self.silent.swap_remove(endpoint);
        }
        for unread in self.requests.values_mut() {
            let runs = &mut unread.runs;
            runs.retain(|run| run.endpoint != *endpoint || run.given_up > sent);
        }
        self.release()
    }

    /// Returns when an endpoint has read what was given up there at a given time, if it answers nothing until then.
    pub(crate) fn read_by(&self, endpoint: &VmId, given_up: Instant, listed: bool) -> Instant {
        let silent = self.silent.get(endpoint);
        let last = silent.map_or(given_up, |at| given_up.max(*at));
        last + match listed {
            true => LISTED_TIMEOUT,
            false => UNLISTED_TIMEOUT,
        }
    }

    /// Ends the runs that have counted as unread for long enough.
    #[must_use]
    pub(crate) fn expire<F>(&mut self, now: Instant, is_listed: F) -> Vec<ExpiredRun>
    where
        F: Fn(&VmId) -> bool,
    {
        let mut expired = Vec::new();
        let mut requests = std::mem::take(&mut self.requests);
        for (request, unread) in &mut requests {
            let is_over = |run: &mut UnreadRun| {
                let listed = is_listed(&run.endpoint);
                now >= self.read_by(&run.endpoint, run.given_up, listed)
            };
            expired.extend(unread.runs.extract_if(.., is_over).map(|run| ExpiredRun {
                request: *request,
                listed: is_listed(&run.endpoint),
                endpoint: run.endpoint,
            }));
        }
        self.requests = requests;
        self.silent.retain(|_, at| now < *at + UNLISTED_TIMEOUT);
        expired
    }

    /// Returns the retries that are more than there are unread runs of their requests, with their pools, and forgets
    /// requests without unread runs.
    #[must_use]
    pub(crate) fn release(&mut self) -> Vec<(PoolId, PendingRetry)> {
        let mut released = Vec::new();
        self.requests.retain(|_, unread| {
            let held = unread.runs.len().min(unread.retries.len());
            let surplus = unread.retries.drain(held..);
            released.extend(surplus.map(|retry| (unread.pool.clone(), retry)));
            !unread.runs.is_empty()
        });
        released
    }

    /// Returns the retries that are held for requests to a pool.
    pub(crate) fn held_mut<'a>(
        &'a mut self,
        pool: &'a PoolId,
    ) -> impl Iterator<Item = (RequestId, &'a mut PendingRetry)> {
        let requests = self.requests.iter_mut();
        let requests = requests.filter(move |(_, unread)| unread.pool == *pool);
        requests.flat_map(|(id, unread)| unread.retries.iter_mut().map(|retry| (*id, retry)))
    }

    /// Returns how many requests count as unread at some endpoint.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }
}

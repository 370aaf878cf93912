//! Isolates and refuses requests that crash endpoints.
//!
//! Handles a request that crashes each endpoint that runs it and is sent again by its caller or router. Without a
//! quarantine one such request takes down the pool endpoint by endpoint, together with everything else that runs there.
//! An endpoint may also crash for other reasons, and the requests that ran there must then be retried and not refused.
//! When an endpoint crashes, all requests that ran on it become suspects, unless some were suspects already: these then
//! explain the crash, and the others are innocent. A suspect runs apart from other suspects, and is cleared when it
//! completes. Suspects are recorded in the ledger, so that all routers know them:
//! [`Ledger::quarantined`](crate::Ledger::quarantined) refuses one after it crashed its second endpoint.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::Fingerprint;
use crate::ids::VmId;

/// How many endpoints must have crashed while running a request for it to be refused. The first may have crashed for
/// another reason. That the same request ran on two by chance is as unlikely as an endpoint's crash in the few seconds
/// of one rerun.
const CRASH_LIMIT: usize = 2;

/// How long a suspect is kept: longer than a caller keeps sending it.
const SUSPECT_RETENTION: Duration = Duration::from_secs(3600);

/// How many suspects are kept: the crashes of a hundred endpoints with a full batch each.
const MAX_SUSPECTS: usize = 4096;

/// How many other endpoints must have crashed within [`CORRELATION_WINDOW`], with no request in common, for the cause
/// to be a rack or a switch.
const UNRELATED_CRASHES: usize = 2;

/// See [`UNRELATED_CRASHES`]. A request that is sent again takes longer to crash three endpoints, since each time the
/// crash must be noticed and the request dispatched and read again.
const CORRELATION_WINDOW: Duration = Duration::from_secs(2);

/// Where a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Isolation {
    /// On any endpoint.
    None,
    /// On an endpoint where nothing else runs, or at least no other suspect: see [`Quarantine::avoided_endpoints`].
    Isolated,
    /// Nowhere.
    Refused,
}

/// Returns the router that may run suspects on an endpoint, by rendezvous hashing.
///
/// Routers do not tell each other where their suspects run. Without one router for each endpoint, an innocent suspect
/// of one router could run beside the guilty suspect of another, crash with it and be refused.
pub fn suspect_router<'a>(routers: &'a [VmId], endpoint: &VmId) -> Option<&'a VmId> {
    routers.iter().max_by_key(|router| {
        let seed = xxh3_64(router.as_str().as_bytes());
        xxh3_64_with_seed(endpoint.as_str().as_bytes(), seed)
    })
}

/// How long an endpoint may be down after a crash: as long as an engine's process takes to restart.
pub(super) const RESTART_TIME: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Suspect {
    endpoints: Vec<VmId>,
    at: Instant,
}

#[derive(Debug)]
struct Crash {
    at: Instant,
    requests: Vec<Fingerprint>,
}

/// Distinguishes requests that crash endpoints from those that merely ran there.
#[derive(Debug, Default)]
pub struct Quarantine {
    running: IndexMap<VmId, IndexMap<Fingerprint, u32>>,
    suspects: IndexMap<Fingerprint, Suspect>,
    crashes: VecDeque<Crash>,
    /// When each endpoint last crashed, as seen by this router or recorded by another, and what ran there then.
    last_crashes: IndexMap<VmId, (Instant, Vec<Fingerprint>)>,
}

impl Quarantine {
    /// Creates a quarantine without suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns where a request may run, by this router's suspects only; the ledger knows which requests all routers
    /// refuse.
    pub fn isolation(&self, request: Fingerprint) -> Isolation {
        match self.suspects.get(&request).map(|s| s.endpoints.len()) {
            None => Isolation::None,
            Some(count) if count >= CRASH_LIMIT => Isolation::Refused,
            Some(_) => Isolation::Isolated,
        }
    }

    /// Returns whether a request ran on an endpoint that crashed, and was not cleared since.
    pub fn is_suspect(&self, request: Fingerprint) -> bool {
        self.suspects.contains_key(&request)
    }

    /// Returns the endpoints that a request should not go to if there are others: for a suspect those where any request
    /// runs, otherwise those where a suspect runs.
    pub fn avoided_endpoints(&self, request: Fingerprint) -> Vec<VmId> {
        let suspect = self.is_suspect(request);
        self.running
            .iter()
            .filter(|(_, requests)| suspect || self.has_suspect(requests))
            .map(|(vm, _)| vm.clone())
            .collect()
    }

    /// Returns the endpoints that a suspect must not go to even if there are no others: those where another suspect
    /// runs. Two suspects on one endpoint could not be told apart, and an innocent one would be refused.
    pub fn forbidden_endpoints(&self, request: Fingerprint) -> Vec<VmId> {
        if !self.is_suspect(request) {
            return Vec::new();
        }
        self.running
            .iter()
            .filter(|(_, requests)| self.has_suspect(requests))
            .map(|(vm, _)| vm.clone())
            .collect()
    }

    /// Records that a request was sent to an endpoint.
    pub fn start(&mut self, request: Fingerprint, endpoint: &VmId) {
        let requests = self.running.entry(endpoint.clone()).or_default();
        *requests.entry(request).or_default() += 1;
    }

    /// Records that a request ended at an endpoint without evidence for or against it: it was cancelled, or failed by
    /// itself.
    pub fn end(&mut self, request: Fingerprint, endpoint: &VmId) {
        let Some(requests) = self.running.get_mut(endpoint) else {
            return;
        };
        if let Some(count) = requests.get_mut(&request) {
            *count -= 1;
            if *count == 0 {
                requests.swap_remove(&request);
            }
        }
        if requests.is_empty() {
            self.running.swap_remove(endpoint);
        }
    }

    /// Records that a request was answered completely, and clears it.
    pub fn complete(&mut self, request: Fingerprint, endpoint: &VmId) {
        self.end(request, endpoint);
        self.suspects.swap_remove(&request);
    }

    /// Records that an endpoint crashed, and returns the requests to record as suspects in the ledger.
    pub fn record_crash(&mut self, now: Instant, endpoint: &VmId) -> Vec<Fingerprint> {
        let requests: Vec<_> = self
            .running
            .swap_remove(endpoint)
            .map(|requests| requests.into_keys().collect())
            .unwrap_or_default();
        let is_correlated = self.is_correlated(now, &requests);
        self.crashes.push_back(Crash {
            at: now,
            requests: requests.clone(),
        });
        if is_correlated {
            return Vec::new();
        }
        let suspects = self.select_suspects(now, endpoint, requests.clone());
        self.last_crashes.insert(endpoint.clone(), (now, requests));
        for request in &suspects {
            self.add_suspect(now, *request, endpoint);
        }
        suspects
    }

    /// Adds a suspect of an endpoint's crash, found by this router or read from the ledger.
    pub fn add_suspect(&mut self, now: Instant, request: Fingerprint, endpoint: &VmId) {
        self.expire(now);
        let running = self.running.get(endpoint);
        let ran = running.map(|requests| requests.keys().copied().collect());
        let crash = (now, ran.unwrap_or_default());
        self.last_crashes.entry(endpoint.clone()).or_insert(crash);
        let suspect = self.suspects.entry(request).or_insert(Suspect {
            endpoints: Vec::new(),
            at: now,
        });
        suspect.at = now;
        if !suspect.endpoints.contains(endpoint) {
            suspect.endpoints.push(endpoint.clone());
        }
    }

    /// Returns the requests that explain a crash: those that were suspects before, or else all.
    ///
    /// An endpoint that crashed a moment ago drops every request that it is sent until it has restarted. A request that
    /// saw only this would be refused because of another's crash. So no request that was sent after the crash is held
    /// responsible, and none becomes a suspect through a crash that a record already explains.
    fn select_suspects(
        &self,
        now: Instant,
        endpoint: &VmId,
        requests: Vec<Fingerprint>,
    ) -> Vec<Fingerprint> {
        let last_crash = self.last_crashes.get(endpoint);
        let down = last_crash.filter(|(at, _)| now < *at + RESTART_TIME);
        let (known, unknown): (Vec<_>, Vec<_>) = requests
            .into_iter()
            .filter(|request| down.is_none_or(|(_, ran)| ran.contains(request)))
            .partition(|request| self.is_suspect(*request));
        if known.is_empty() && down.is_none() {
            unknown
        } else {
            known
        }
    }

    /// Returns whether a crash is one of several that no single request explains.
    ///
    /// When a rack fails, the requests of one of its endpoints are sent to the next, which fails too. They would be
    /// refused from then on although nothing is wrong with them.
    fn is_correlated(&mut self, now: Instant, requests: &[Fingerprint]) -> bool {
        self.crashes
            .retain(|crash| now < crash.at + CORRELATION_WINDOW);
        let is_unrelated = |crash: &&Crash| !crash.requests.iter().any(|r| requests.contains(r));
        self.crashes.iter().filter(is_unrelated).count() >= UNRELATED_CRASHES
    }

    fn has_suspect(&self, requests: &IndexMap<Fingerprint, u32>) -> bool {
        requests.keys().any(|request| self.is_suspect(*request))
    }

    fn expire(&mut self, now: Instant) {
        self.suspects.retain(|_, s| now < s.at + SUSPECT_RETENTION);
        self.last_crashes
            .retain(|_, (at, _)| now < *at + RESTART_TIME);
        while self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.shift_remove_index(0);
        }
    }
}

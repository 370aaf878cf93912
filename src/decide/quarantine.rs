//! Which requests are kept from endpoints because they crash them.
//!
//! Answers a single request that crashes each endpoint that runs it, and whose caller, or whose router, sends it again.
//! Without it one such request takes the pool down endpoint by endpoint, with all that runs beside it. An endpoint also
//! dies of itself, and what ran there then must run again and be refused nothing. When an endpoint dies, all that ran on
//! it are suspects, unless some were suspects before: then these explain it and the others are innocent. A suspect runs
//! apart from other suspects, and is cleared when it completes. Suspects are recorded in the ledger, so that all routers
//! know of them: [`Ledger::quarantined`](crate::Ledger::quarantined) refuses one after its second endpoint.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::Fingerprint;
use crate::ids::VmId;

/// How many endpoints must have died of a request for it to be refused. The first may have died of itself; that the same
/// request ran on two by chance is as rare as an endpoint's death in the seconds of one rerun.
const CRASH_LIMIT: usize = 2;

/// How long a suspect is remembered: longer than a caller goes on sending.
const SUSPECT_RETENTION: Duration = Duration::from_secs(3600);

/// How many suspects are remembered: a hundred endpoints' deaths with a full batch each.
const MAX_SUSPECTS: usize = 4096;

/// So many other endpoints that died within [`TOGETHER`] and ran no request in common tell of a rack or a switch.
const UNRELATED_CRASHES: usize = 2;

/// See [`OTHERS`]. A request that is sent again needs longer to crash three endpoints: a death is noticed, and the request
/// dispatched and read anew, each time.
const CORRELATION_WINDOW: Duration = Duration::from_secs(2);

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Isolation {
    /// Anywhere.
    None,
    /// Where nothing else runs, or at least no other suspect: see [`Quarantine::avoid`].
    Isolated,
    /// Not at all.
    Refused,
}

/// Returns the router that may run suspects on an endpoint, by rendezvous hash.
///
/// Routers do not tell each other where their suspects run. Without an owner for each endpoint, an innocent suspect of one
/// runs beside the guilty one of another, dies with it and is refused for it.
pub fn suspect_router<'a>(routers: &'a [VmId], endpoint: &VmId) -> Option<&'a VmId> {
    routers.iter().max_by_key(|router| {
        let seed = xxh3_64(router.as_str().as_bytes());
        xxh3_64_with_seed(endpoint.as_str().as_bytes(), seed)
    })
}

/// How long an endpoint that fell may still be down: as long as an engine's process takes to be started again.
const RESTART_TIME: Duration = Duration::from_secs(5);

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

/// Tells requests that crash endpoints from those that merely ran there.
#[derive(Debug, Default)]
pub struct Quarantine {
    running: IndexMap<VmId, IndexMap<Fingerprint, u32>>,
    suspects: IndexMap<Fingerprint, Suspect>,
    crashes: VecDeque<Crash>,
    /// When each endpoint last fell, by this router or by another's record, and what ran there then.
    last_crashes: IndexMap<VmId, (Instant, Vec<Fingerprint>)>,
}

impl Quarantine {
    /// Makes one that suspects nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells how a request may run, by what this router knows; the ledger knows what others refuse.
    pub fn isolation(&self, request: Fingerprint) -> Isolation {
        match self.suspects.get(&request).map(|s| s.endpoints.len()) {
            None => Isolation::None,
            Some(count) if count >= CRASH_LIMIT => Isolation::Refused,
            Some(_) => Isolation::Isolated,
        }
    }

    /// Returns the endpoints that a request should not go to if others are left: for a suspect those where anything
    /// runs, for all others those where a suspect runs.
    pub fn avoided_endpoints(&self, request: Fingerprint) -> Vec<VmId> {
        let suspect = self.suspects.contains_key(&request);
        self.running
            .iter()
            .filter(|(_, requests)| suspect || self.has_suspect(requests))
            .map(|(vm, _)| vm.clone())
            .collect()
    }

    /// Returns the endpoints that a suspect must not go to even if no others are left: those where another one runs.
    /// Two suspects side by side could not be told apart, and an innocent one would be refused.
    pub fn forbidden_endpoints(&self, request: Fingerprint) -> Vec<VmId> {
        if !self.suspects.contains_key(&request) {
            return Vec::new();
        }
        self.running
            .iter()
            .filter(|(_, requests)| self.has_suspect(requests))
            .map(|(vm, _)| vm.clone())
            .collect()
    }

    /// Notes that a request was sent to an endpoint.
    pub fn start(&mut self, request: Fingerprint, endpoint: &VmId) {
        let requests = self.running.entry(endpoint.clone()).or_default();
        *requests.entry(request).or_default() += 1;
    }

    /// Notes that a request ended at an endpoint in a way that proves nothing: it was cancelled, or failed by itself.
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

    /// Notes that a request was answered whole, which clears it.
    pub fn complete(&mut self, request: Fingerprint, endpoint: &VmId) {
        self.end(request, endpoint);
        self.suspects.swap_remove(&request);
    }

    /// Notes that an endpoint died, and returns the requests whose crash is to be recorded in the ledger.
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

    /// Takes in a crash, of this router or from the ledger.
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

    /// Picks those that explain a death: the ones that were suspects before, or else all.
    ///
    /// An endpoint that fell a moment ago cuts off whatever is sent to it until it is up again. A request that met only
    /// that would be refused for the crash of another, so nothing that was sent there later is blamed, and nothing becomes
    /// a suspect by a fall that a record explains.
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
            .partition(|request| self.suspects.contains_key(request));
        if known.is_empty() && down.is_none() {
            unknown
        } else {
            known
        }
    }

    /// Tells whether a death is one of several that no request explains.
    ///
    /// When a rack goes, what ran on one of its endpoints is sent to the next one, which dies too, and would be refused
    /// ever after though nothing is wrong with it.
    fn is_correlated(&mut self, now: Instant, requests: &[Fingerprint]) -> bool {
        self.crashes
            .retain(|crash| now < crash.at + CORRELATION_WINDOW);
        let is_unrelated = |crash: &&Crash| !crash.requests.iter().any(|r| requests.contains(r));
        self.crashes.iter().filter(is_unrelated).count() >= UNRELATED_CRASHES
    }

    fn has_suspect(&self, requests: &IndexMap<Fingerprint, u32>) -> bool {
        requests.keys().any(|r| self.suspects.contains_key(r))
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

//! Expiry of old state.
//!
//! Each queue is in log order, so its front is the oldest entry and expiry needs no search. An entry is skipped if its
//! request has changed since; the later change queued an entry of its own.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::Offset;
use crate::ids::RequestKey;
use crate::ledger::fold::Ledger;

/// How long an idempotent request is kept after it was settled, in milliseconds of the log service's clock: twice the
/// longest supported network partition of one hour, so that a caller that reconnects after one still finds its bill. At
/// the design load of 3,800 requests a second, a day of requests would not fit into memory.
pub(crate) const KEY_RETENTION_MS: u64 = 2 * 60 * 60 * 1000;

/// How long a non-idempotent request is kept after it was settled: a working day and the night after it.
pub(crate) const ONCE_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// How long the state of a closed incarnation and the crashes of a fingerprint are kept.
pub(crate) const HISTORY_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// How many entries a batch expires from each queue, besides two for each of its records. After a quiet night many
/// entries are due at once; expiring all of them in one batch would block the router.
const EXPIRED_PER_BATCH: usize = 16;

/// The expiry queues.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Expiry {
    /// The latest offset whose effect may have expired. Claims by routers that had not applied it are void, since the
    /// state that would have made them void may be gone.
    pub(super) horizon: Offset,
    keys: VecDeque<Settled>,
    once: VecDeque<Settled>,
    routers: VecDeque<(u64, Incarnation)>,
    crashes: VecDeque<(u64, Fingerprint)>,
}

/// A settled request that waits for its expiry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Settled {
    at: u64,
    offset: Offset,
    key: RequestKey,
}

impl Expiry {
    pub(super) fn push_key(&mut self, at: u64, offset: Offset, key: &RequestKey, idempotent: bool) {
        let queue = match idempotent {
            true => &mut self.keys,
            false => &mut self.once,
        };
        let key = key.clone();
        queue.push_back(Settled { at, offset, key });
    }

    /// Lets `intern` replace each request key by a shared copy.
    pub(super) fn intern_keys<F>(&mut self, intern: F)
    where
        F: Fn(&mut RequestKey),
    {
        let settled = self.keys.iter_mut().chain(&mut self.once);
        settled.for_each(|settled| intern(&mut settled.key));
    }

    pub(super) fn push_router(&mut self, at: u64, router: Incarnation) {
        self.routers.push_back((at, router));
    }

    pub(super) fn push_crash(&mut self, at: u64, request: Fingerprint) {
        self.crashes.push_back((at, request));
    }
}

impl Ledger {
    /// Removes expired state, a bounded number of entries per batch.
    pub(super) fn expire(&mut self, records: usize) {
        let step = EXPIRED_PER_BATCH + 2 * records;
        for _ in 0..step {
            self.expire_key();
            self.expire_once();
        }
        for _ in 0..EXPIRED_PER_BATCH {
            self.expire_router();
            self.expire_crash();
        }
    }

    fn expire_key(&mut self) {
        let cutoff = cutoff(self.at, KEY_RETENTION_MS);
        if let Some(settled) = self.expiry.keys.pop_front_if(|s| s.at < cutoff) {
            self.forget(&settled);
        }
    }

    fn expire_once(&mut self) {
        let cutoff = cutoff(self.at, ONCE_RETENTION_MS);
        if let Some(settled) = self.expiry.once.pop_front_if(|s| s.at < cutoff) {
            self.forget(&settled);
        }
    }

    fn expire_router(&mut self) {
        let cutoff = cutoff(self.at, HISTORY_RETENTION_MS);
        if let Some((_, router)) = self.expiry.routers.pop_front_if(|(at, _)| *at < cutoff) {
            self.routers.swap_remove(&router);
            self.gone.insert(router);
        }
    }

    fn expire_crash(&mut self) {
        let cutoff = cutoff(self.at, HISTORY_RETENTION_MS);
        let Some((_, request)) = self.expiry.crashes.pop_front_if(|(at, _)| *at < cutoff) else {
            return;
        };
        let Some(crashes) = self.crashes.get_mut(&request) else {
            return;
        };
        crashes.noted = crashes.noted.saturating_sub(1);
        if crashes.noted == 0 {
            self.crashes.swap_remove(&request);
        }
    }

    /// Removes a request, unless it has changed since the entry was queued.
    ///
    /// A claimed request is kept: without it, the request could be claimed again and run concurrently.
    fn forget(&mut self, settled: &Settled) {
        let Some((at, _, key)) = self.keys.get_full(&settled.key) else {
            return;
        };
        if key.settled == settled.offset && key.claim.is_none() {
            self.keys.swap_remove_index(at);
            self.expiry.horizon = self.expiry.horizon.max(settled.offset);
        }
    }
}

/// Returns the time before which entries have exceeded `retention_ms`.
fn cutoff(at: u64, retention_ms: u64) -> u64 {
    at.saturating_sub(retention_ms)
}

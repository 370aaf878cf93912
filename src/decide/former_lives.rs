//! Routers' lives that have ended, and the endpoints that may still read what these sent.
//!
//! Handles routers that are killed while endpoints are paused. The retries of a killed router lie unread at the endpoints,
//! and are read once these go on, beside those of its next life and of the routers that its callers moved to: the pool gets
//! the retries of several lives in one window. The retries that a former life may have left are therefore counted by the
//! next one, and in equal parts by the other routers, until each endpoint has answered something that was sent after
//! the life ended.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::ids::PoolId;
use crate::ids::VmId;

/// How long the ends of other routers' lives are gathered, so that many that end at once are counted together.
const GATHER_TIME: Duration = Duration::from_millis(500);

/// How long after the end of a life pools that were not known before count its retries.
const MEMORY: Duration = Duration::from_secs(30);

/// A number that tells former lives apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LifeNumber(pub u64);

/// One router's life that ended, or those of several that ended together.
#[derive(Debug)]
struct FormerLife {
    number: LifeNumber,
    /// When this router noticed the end.
    since: Instant,
    /// The part of this router's retries that the life may have left.
    share: f64,
    /// The endpoints of each pool that have not answered since; `None` once all have.
    unanswered: IndexMap<PoolId, Option<IndexSet<VmId>>>,
}

impl FormerLife {
    /// Returns the sets of endpoints that have not answered.
    fn unanswered_mut(&mut self) -> impl Iterator<Item = &mut IndexSet<VmId>> {
        self.unanswered.values_mut().flatten()
    }
}

/// What a pool's retry budget has to count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Inheritance {
    /// The former life.
    pub(crate) number: LifeNumber,
    /// The part of this router's retries that the life may have left.
    pub(crate) share: f64,
}

/// The former lives whose requests endpoints may not have read.
#[derive(Debug, Default)]
pub(crate) struct FormerLives {
    lives: Vec<FormerLife>,
    /// The parts of the lives that ended lately, and since when they are gathered.
    gathered: Option<(Instant, f64)>,
    last: u64,
}

impl FormerLives {
    /// Records the end of the former life of this router.
    pub(crate) fn record_own(&mut self, now: Instant) {
        self.add(now, 1.0);
    }

    /// Records the end of another router's life, in a fleet of so many routers.
    pub(crate) fn record_peer(&mut self, now: Instant, routers: usize) {
        let (_, share) = self.gathered.get_or_insert((now, 0.0));
        *share += 1.0 / routers.max(1) as f64;
    }

    fn add(&mut self, now: Instant, share: f64) {
        self.last += 1;
        self.lives.push(FormerLife {
            number: LifeNumber(self.last),
            since: now,
            share: share.min(1.0),
            unanswered: IndexMap::new(),
        });
    }

    /// Begins to count the lives that were gathered for long enough.
    pub(crate) fn advance(&mut self, now: Instant) {
        if let Some((since, share)) = self.gathered
            && now >= since + GATHER_TIME
        {
            self.gathered = None;
            self.add(now, share);
        }
    }

    /// Returns what the retry budget of a pool with certain endpoints has to count that it does not count yet.
    pub(crate) fn inherit<'a, I>(&mut self, pool: &PoolId, endpoints: I) -> Vec<Inheritance>
    where
        I: Iterator<Item = &'a VmId> + Clone,
    {
        let mut new = Vec::new();
        for life in &mut self.lives {
            if endpoints.clone().next().is_none() || life.unanswered.contains_key(pool) {
                continue;
            }
            let unanswered = endpoints.clone().cloned().collect();
            life.unanswered.insert(pool.clone(), Some(unanswered));
            new.push(Inheritance {
                number: life.number,
                share: life.share,
            });
        }
        new
    }

    /// Records that an endpoint answered a request that was sent at a given time.
    pub(crate) fn record_answer(&mut self, endpoint: &VmId, sent: Instant) {
        for life in self.lives.iter_mut().filter(|life| life.since <= sent) {
            for unanswered in life.unanswered_mut() {
                unanswered.swap_remove(endpoint);
            }
        }
    }

    /// Forgets the endpoints that must have read by now; `read_by` returns when an endpoint has read what was given up
    /// there at a given time.
    pub(crate) fn expire<F>(&mut self, now: Instant, read_by: F)
    where
        F: Fn(&VmId, Instant) -> Instant,
    {
        for life in &mut self.lives {
            let since = life.since;
            for unanswered in life.unanswered_mut() {
                unanswered.retain(|endpoint| now < read_by(endpoint, since));
            }
        }
    }

    /// Returns the lives whose requests to a pool have all been read, with the pools, and forgets lives that ended long ago.
    #[must_use]
    pub(crate) fn take_read(&mut self, now: Instant) -> Vec<(PoolId, LifeNumber)> {
        let mut read = Vec::new();
        for life in &mut self.lives {
            for (pool, unanswered) in &mut life.unanswered {
                if unanswered.as_ref().is_some_and(IndexSet::is_empty) {
                    *unanswered = None;
                    read.push((pool.clone(), life.number));
                }
            }
        }
        self.lives.retain(|life| {
            let waits = life.unanswered.values().any(Option::is_some);
            waits || now < life.since + MEMORY
        });
        read
    }
}

//! Advises callers which router to use.
//!
//! Callers that choose for themselves all take the first address they were given, keep it indefinitely, and when that
//! router leaves move together to the next one, which is overloaded in turn. Without a load balancer, callers are
//! spread only as the addresses spread them. Each answer is drawn at random, weighted by headroom, and is valid for a
//! time that varies from answer to answer.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::ids::DomainId;
use crate::ids::VmId;

/// Mean validity of an answer. Half a minute moves all callers off a leaving router well within the time that a
/// graceful stop allows, and costs about a hundred short requests per second fleet-wide for 3,200 accounts.
const MEAN_TTL: Duration = Duration::from_secs(30);

/// Relative variation of the validity in both directions. Callers that moved together after a router's crash are spread
/// over half of the mean validity by their second request, and evenly after a few.
const TTL_JITTER: f64 = 0.5;

/// Minimum headroom, from 0 to 1, that each live router counts with: a full one still receives an occasional caller, so
/// that wrong or late load reports can't exclude it.
const MIN_HEADROOM: f64 = 0.02;

/// Weight of a router in the caller's own failure domain, relative to others: a few milliseconds justify a small
/// imbalance.
const SAME_DOMAIN_WEIGHT: f64 = 1.5;

/// Number of alternates in an answer: enough for a caller to survive the loss of two routers without another answer.
const MAX_ALTERNATES: usize = 2;

/// A router, as known to the one that gives advice.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address at which callers reach it.
    pub address: String,
    /// Its utilization from 0 to 1, as last reported.
    pub load: f64,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advice {
    /// Address to use.
    pub address: String,
    /// Addresses to use if it can't be reached, in this order.
    pub alternates: Vec<String>,
    /// How long the answer is valid.
    pub ttl: Duration,
}

/// Returns advice for a caller, whose failure domain may be known; `None` if no router is left.
pub fn advise<R>(peers: &[Peer], domain: Option<&DomainId>, rng: &mut R) -> Option<Advice>
where
    R: Rng,
{
    let mut candidates: Vec<_> = peers
        .iter()
        .filter(|p| !p.leaving)
        .map(|p| (weight(p, domain), p))
        .collect();
    let address = take_weighted(&mut candidates, rng)?.address.clone();
    let alternates = std::iter::from_fn(|| take_weighted(&mut candidates, rng))
        .take(MAX_ALTERNATES)
        .map(|p| p.address.clone())
        .collect();
    let jitter = rng.random_range(1.0 - TTL_JITTER..1.0 + TTL_JITTER);
    Some(Advice {
        address,
        alternates,
        ttl: MEAN_TTL.mul_f64(jitter),
    })
}

fn weight(peer: &Peer, domain: Option<&DomainId>) -> f64 {
    let headroom = (1.0 - peer.load).clamp(MIN_HEADROOM, 1.0);
    let same_domain = domain.is_some_and(|d| *d == peer.domain);
    if same_domain {
        headroom * SAME_DOMAIN_WEIGHT
    } else {
        headroom
    }
}

/// Draws a peer by weight and removes it.
fn take_weighted<'a, R>(candidates: &mut Vec<(f64, &'a Peer)>, rng: &mut R) -> Option<&'a Peer>
where
    R: Rng,
{
    let total: f64 = candidates.iter().map(|(weight, _)| weight).sum();
    let mut remaining = rng.random_range(0.0..1.0) * total;
    let drawn = candidates.iter().position(|(weight, _)| {
        remaining -= weight;
        remaining < 0.0
    });
    let last = candidates.len().checked_sub(1)?;
    Some(candidates.swap_remove(drawn.unwrap_or(last)).1)
}

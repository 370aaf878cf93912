//! Which router a caller should use.
//!
//! Answers callers that choose for themselves: all take the first address they were given, keep it for ever, and when
//! that router leaves move together to the next one, which falls over in its turn. Without a balancer, the spread of
//! callers is whatever the addresses spread. Each answer is drawn at random by headroom, and is kept for a time that
//! varies from answer to answer.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::ids::DomainId;
use crate::ids::VmId;

/// How long a caller keeps an answer on average. Half a minute moves all callers off a leaving router well within the
/// time that a graceful stop allows, and costs 3,200 accounts about a hundred short requests a second fleet-wide.
const MEAN_TTL: Duration = Duration::from_secs(30);

/// How far the time varies to both sides. Callers that came together, after a router's death, are spread over half of
/// the average time by their second question, and evenly after a few.
const TTL_JITTER: f64 = 0.5;

/// The headroom, of 1, that each live router counts with at least: a full one still gets a caller now and then, so that
/// load reports that are wrong or late can't shut it out.
const MIN_HEADROOM: f64 = 0.02;

/// How much more a router in the caller's own failure domain counts: a few milliseconds are worth a little imbalance.
const SAME_DOMAIN_WEIGHT: f64 = 1.5;

/// How many alternates an answer names: enough that a caller can outlive two routers' deaths without an answer.
const MAX_ALTERNATES: usize = 2;

/// A router, as the one that gives advice knows it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where callers reach it.
    pub address: String,
    /// How full it is, from 0 to 1, as it last said.
    pub load: f64,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advice {
    /// The address to use.
    pub address: String,
    /// The addresses to use when it can't be reached, in this order.
    pub alternates: Vec<String>,
    /// How long to keep the answer.
    pub ttl: Duration,
}

/// Advises a caller, who may be known to be in a failure domain; nothing where no router is left.
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

/// Draws one by weight and takes it out.
fn take_weighted<'a, R>(candidates: &mut Vec<(f64, &'a Peer)>, rng: &mut R) -> Option<&'a Peer>
where
    R: Rng,
{
    let total: f64 = candidates.iter().map(|(weight, _)| weight).sum();
    let mut at = rng.random_range(0.0..1.0) * total;
    let drawn = candidates.iter().position(|(weight, _)| {
        at -= weight;
        at < 0.0
    });
    let last = candidates.len().checked_sub(1)?;
    Some(candidates.swap_remove(drawn.unwrap_or(last)).1)
}

//! Decisions under load: whom to serve, who waits, who is refused, and where work goes.
//!
//! Nothing here has input or output. Each module is told the time and given a seeded generator where it needs chance, so
//! that a scenario can be replayed. Each opens with the load pattern that it answers, what happens without it, and the
//! grounds for its figures; `docs/design/decisions.md` has what was measured.
//!
//! A router has one [`FairQueue`], [`Chooser`] and [`Ejector`] for each pool and model, and one of the others for itself.
//! A request passes [`AccountLimit::try_enter`], [`Quarantine::isolation`], the holding that [`HoldingPolicy`] keeps, and
//! [`FairQueue::push`]. On each arrival, end, report and deadline the router takes requests by [`FairQueue::pop_where`] as
//! long as [`Chooser::choose`] finds an endpoint, calls [`Chooser::start`] and dispatches them. [`Chooser::end`],
//! [`Ejector::record`], [`PrefixIndex::record_served`] and [`Quarantine::complete`] take in how it went.

mod advice;
mod borrowers;
mod call_times;
mod capacity;
mod choose;
mod cold;
mod concurrency;
mod demand;
mod drain;
mod endpoint;
mod hasher;
mod health;
mod holding;
mod homes;
mod limit;
mod opening;
mod owners;
mod prefill;
mod prefix;
mod quarantine;
mod queue;
mod ration;
mod recent;
mod retry;
mod round_trips;

pub use advice::Advice;
pub use advice::Peer;
pub use advice::advise;
pub use borrowers::BorrowerDemand;
pub use call_times::CallTimes;
pub use capacity::Capacity;
pub use capacity::draw_by_capacity;
pub use choose::Choice;
pub use choose::Chooser;
pub use choose::Criteria;
pub use choose::Load;
pub use cold::cold_share;
pub use concurrency::EndpointLimit;
pub use concurrency::Sample;
pub(crate) use demand::Demand;
pub(crate) use demand::observed_fraction;
pub(crate) use hasher::FastHasher;
pub use health::Caps;
pub use health::Ejector;
pub use health::Evidence;
pub use health::Health;
pub use holding::BudgetView;
pub use holding::ConsistencyMode;
pub use holding::HoldingAction;
pub use holding::HoldingPolicy;
pub use limit::AccountLimit;
pub use limit::Refusal;
pub use opening::ReleaseLimit;
pub use opening::release_limit;
pub use owners::Candidate;
pub(crate) use owners::FLEET_OWNERS;
pub use owners::Owners;
pub(crate) use owners::TEAM_OWNERS;
pub use prefill::Prefill;
pub use prefill::Prompt;
pub use prefix::CacheEvent;
pub use prefix::Match;
pub use prefix::PrefixIndex;
pub use quarantine::Isolation;
pub use quarantine::Quarantine;
pub use quarantine::suspect_router;
pub use queue::FairQueue;
pub use queue::Full;
pub use queue::Place;
pub use queue::Ticket;
pub use ration::PriorityDemand;
pub use ration::Remainder;
pub use recent::Usage;
pub use retry::RetryBudget;
pub use round_trips::RoundTrips;

//! Decisions under load: which requests to serve, queue or refuse, and which endpoint runs them.
//!
//! Nothing here does any I/O. Each module is given the time, and a seeded random generator where it needs one, so that
//! a scenario can be replayed. Each module's documentation starts with the load pattern that it handles, what happens
//! without it, and the reasons for its constants; `docs/design/decisions.md` has the measurements.
//!
//! A router has one [`FairQueue`], [`Chooser`] and [`Ejector`] for each pool and model, and one of each of the others.
//! A request passes [`AccountLimit::try_acquire`], [`Quarantine::isolation`], the holding that [`HoldingPolicy`] keeps,
//! and [`FairQueue::push`]. On each arrival, end, report and deadline the router takes requests by
//! [`FairQueue::pop_where`] as long as [`Chooser::choose`] finds an endpoint, calls [`Chooser::start`] and dispatches
//! them. [`Chooser::end`], [`Ejector::record`], [`PrefixIndex::record_served`] and [`Quarantine::complete`] record how
//! a request ended.

mod advice;
mod announcement;
mod announcements;
mod borrowers;
mod call_times;
mod capacity;
mod choose;
mod cold;
mod concurrency;
mod crash_history;
mod crash_report;
mod demand;
mod drain;
mod endpoint;
mod hasher;
mod health;
mod heard;
mod holding;
mod homes;
mod limit;
mod owners;
mod pool_versions;
mod prefill;
mod prefix;
mod quarantine;
mod queue;
mod rate_share;
mod ration;
mod reachability;
mod recent;
mod release_limit;
mod rendezvous;
mod retry;
mod retry_window;
mod room;
mod round_trips;
mod slot_divider;
mod slot_message;
mod slot_share;
mod sound_runs;
mod stream_origins;
mod unread;

pub use advice::Advice;
pub use advice::Peer;
pub use advice::advise;
pub use announcement::Announcement;
pub use announcement::AnnouncementRow;
pub use announcement::Changes;
pub use announcement::EndpointLife;
pub use announcements::Allowance;
pub use announcements::Announcements;
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
pub use crash_history::CrashHistory;
pub use crash_report::CrashReport;
pub use crash_report::CrashRow;
pub use crash_report::QuarantineRow;
pub use crash_report::SoundRow;
pub use crash_report::Suspect;
pub(crate) use demand::Demand;
pub(crate) use demand::observed_fraction;
pub(crate) use hasher::FastHasher;
pub use health::EjectionLimits;
pub use health::Ejector;
pub use health::Health;
pub use health::Observation;
pub use heard::AnnouncedValue;
pub use heard::HeardRow;
pub use holding::BudgetView;
pub use holding::ConsistencyMode;
pub use holding::HoldingAction;
pub use holding::HoldingPolicy;
pub use limit::AccountLimit;
pub use limit::Refusal;
pub use owners::Candidate;
pub(crate) use owners::FLEET_OWNERS;
pub use owners::Owners;
pub(crate) use owners::TEAM_OWNERS;
pub use pool_versions::PoolVersions;
pub(crate) use pool_versions::VERSION_RETENTION;
pub use prefill::Prefill;
pub use prefill::Prompt;
pub use prefix::CacheEvent;
pub use prefix::Match;
pub use prefix::PrefixIndex;
pub use quarantine::Isolation;
pub use quarantine::Quarantine;
pub use quarantine::suspect_router;
pub use queue::FairQueue;
pub use queue::PushError;
pub use queue::QueueTicket;
pub use queue::WaitingId;
pub use rate_share::rate_share;
pub use ration::PriorityDemand;
pub use ration::Remainder;
pub(crate) use reachability::Loss;
pub(crate) use reachability::PathChange;
pub(crate) use reachability::Reachability;
pub use recent::Usage;
pub use release_limit::ReleaseLimit;
pub use release_limit::release_limit;
pub(crate) use rendezvous::first_selected;
pub(crate) use rendezvous::ranked;
pub use retry::PendingRetry;
pub use retry::RetryBudget;
pub use retry::RetryLimit;
pub use retry::RetryUsage;
pub use retry::retry_share;
pub use round_trips::RoundTrips;
pub use slot_divider::BrittleEndpoint;
pub use slot_divider::SlotDivider;
pub use slot_divider::SlotOwner;
pub use slot_message::GrantNumber;
pub use slot_message::SlotDemand;
pub use slot_message::SlotGrant;
pub use slot_message::SlotMessage;
pub use slot_share::DemandContext;
pub use slot_share::SlotShare;
pub use stream_origins::StreamKey;
pub use stream_origins::StreamOrigin;
pub use stream_origins::StreamOrigins;
pub(crate) use unread::ExpiredRun;
pub(crate) use unread::UnreadRequests;

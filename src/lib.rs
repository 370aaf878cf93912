//! A router fleet for prepaid token budgets.
//!
//! What must be agreed on is a record in the log service's stream, and what the records mean is a pure fold that every
//! router computes alike. So a budget can be followed by hand:
//!
//! ```
//! use jasmineridge::{
//!     Attempt, Batch, Bearer, Claim, Fingerprint, Incarnation, Ledger, Offset, Outcome, Record, RequestKey, Sequence,
//!     Tokens, Verdict,
//! };
//!
//! let router = Incarnation(1);
//! let key = RequestKey {
//!     account: "yard-1".parse()?,
//!     key: "loan-17".parse()?,
//! };
//! let records = vec![
//!     Record::Open {
//!         vm: "router-1".parse()?,
//!         domain: "kigali-a".parse()?,
//!         address: "127.0.0.1:8080".to_owned(),
//!     },
//!     Record::TopUp { id: "june".parse()?, team: "loans".parse()?, amount: Tokens(100) },
//!     Record::Draw { team: "loans".parse()?, want: Tokens(500) },
//!     Record::Claim(Claim {
//!         key: key.clone(),
//!         team: "loans".parse()?,
//!         reserved: Tokens(60),
//!         request: Fingerprint(17),
//!         seen: Offset(0),
//!         attempt: Attempt(1),
//!         idempotent: true,
//!         bearer: Bearer::Team,
//!     }),
//!     Record::Bill { key, amount: Tokens(40), outcome: Outcome::Whole },
//! ];
//! let batch = Batch { router, sequence: Sequence(1), records };
//!
//! let mut ledger = Ledger::default();
//! let verdicts = ledger.apply(Offset(0), 0, &batch);
//! assert_eq!(verdicts[2], Verdict::Granted(Tokens(100)), "no more than was prepaid");
//! assert_eq!(verdicts[4], Verdict::Accepted);
//!
//! let team = ledger.team(&"loans".parse()?).expect("it was topped up");
//! assert_eq!(team.spent, Tokens(40));
//! assert_eq!(team.unspent(), Tokens(60));
//! # Ok::<(), jasmineridge::NameError>(())
//! ```
//!
//! `docs/ARCHITECTURE.md` tells how the modules hang together. The public names follow, one a line.

mod cli;
mod clock;
mod config;
mod decide;
mod demo;
mod edge;
mod escrow;
#[cfg(test)]
mod explore;
mod field;
mod fingerprint;
mod http_client;
mod ids;
mod key_hash;
mod labels;
mod ledger;
mod listen;
mod log_client;
mod logs;
mod moment;
mod paced_stream;
mod part_id;
mod platform;
mod prompt;
mod request_rate;
mod router;
mod settings;
mod standin;
mod tokens;
mod vms;

pub use cli::run_cli;
pub use clock::Clock;
pub use config::AccountSpec;
pub use config::Body;
pub use config::Change;
pub use config::ChangeSet;
pub use config::Checkpoint;
pub use config::Config;
pub use config::Document;
pub use config::Kind;
pub use config::KindError;
pub use config::Limits;
pub use config::PoolKind;
pub use config::PoolSpec;
pub use config::Rejected;
pub use config::Route;
pub use config::RuleSpec;
pub use config::Snapshot;
pub use config::TeamSpec;
pub use decide::AccountLimit;
pub use decide::Advice;
pub use decide::Allowance;
pub use decide::AnnouncedValue;
pub use decide::Announcement;
pub use decide::AnnouncementRow;
pub use decide::Announcements;
pub use decide::AnswerSize;
pub use decide::BorrowerDemand;
pub use decide::BrittleEndpoint;
pub use decide::BudgetView;
pub use decide::CacheEvent;
pub use decide::CallTimes;
pub use decide::Candidate;
pub use decide::Capacity;
pub use decide::Changes;
pub use decide::Choice;
pub use decide::Chooser;
pub use decide::ConsistencyMode;
pub use decide::CrashHistory;
pub use decide::CrashReport;
pub use decide::CrashRow;
pub use decide::Criteria;
pub use decide::DemandContext;
pub use decide::EjectionLimits;
pub use decide::Ejector;
pub use decide::EndpointLife;
pub use decide::EndpointLimit;
pub use decide::FairQueue;
pub use decide::GrantNumber;
pub use decide::Health;
pub use decide::HeardRow;
pub use decide::HeartbeatNumber;
pub use decide::HeartbeatOrder;
pub use decide::HoldingAction;
pub use decide::HoldingPolicy;
pub use decide::Isolation;
pub use decide::LifeNumber;
pub use decide::Load;
pub use decide::Match;
pub use decide::Observation;
pub use decide::Owners;
pub use decide::Peer;
pub use decide::PendingRetry;
pub use decide::PoolVersions;
pub use decide::Prefill;
pub use decide::PrefixIndex;
pub use decide::PriorityDemand;
pub use decide::Prompt;
pub use decide::PushError;
pub use decide::Quarantine;
pub use decide::QuarantineRow;
pub use decide::QueueTicket;
pub use decide::Refusal;
pub use decide::ReleaseLimit;
pub use decide::Remainder;
pub use decide::RetryBudget;
pub use decide::RetryLimit;
pub use decide::RetryUsage;
pub use decide::RoundTrips;
pub use decide::Sample;
pub use decide::SlotDemand;
pub use decide::SlotDivider;
pub use decide::SlotGrant;
pub use decide::SlotMessage;
pub use decide::SlotOwner;
pub use decide::SlotShare;
pub use decide::SoundRow;
pub use decide::StreamKey;
pub use decide::StreamOrigin;
pub use decide::StreamOrigins;
pub use decide::Suspect;
pub use decide::SuspectRow;
pub use decide::Usage;
pub use decide::WaitingId;
pub use decide::advise;
pub use decide::cold_share;
pub use decide::draw_by_capacity;
pub use decide::rate_share;
pub use decide::release_limit;
pub use decide::retry_share;
pub use decide::suspect_router;
pub use demo::DEMO_KEY;
pub use demo::Demo;
pub use demo::demo_lines;
pub use demo::start_demo;
pub use demo::top_up_demo;
pub use edge::IdleClock;
pub use edge::Stopped;
pub use edge::serve;
pub use field::FieldError;
pub use http_client::Answer;
pub use http_client::HttpClient;
pub use http_client::HttpError;
pub use http_client::Overdue;
pub use http_client::Reached;
pub use ids::AccountId;
pub use ids::Attempt;
pub use ids::AttemptId;
pub use ids::DocName;
pub use ids::DomainId;
pub use ids::Fingerprint;
pub use ids::IdempotencyKey;
pub use ids::Incarnation;
pub use ids::ModelId;
pub use ids::NameError;
pub use ids::Offset;
pub use ids::PoolId;
pub use ids::RequestId;
pub use ids::RequestKey;
pub use ids::Sequence;
pub use ids::SoftwareVersion;
pub use ids::TableVersion;
pub use ids::TeamId;
pub use ids::TopUpId;
pub use ids::Version;
pub use ids::VmId;
pub use key_hash::KeyHash;
pub use labels::Labels;
pub use labels::Selector;
pub use ledger::Assembler;
pub use ledger::Batch;
pub use ledger::Bearer;
pub use ledger::BillState;
pub use ledger::CheckpointInfo;
pub use ledger::Claim;
pub use ledger::ClaimState;
pub use ledger::DecodeError;
pub use ledger::Holding;
pub use ledger::KeyState;
pub use ledger::Ledger;
pub use ledger::MAX_PART_BYTES;
pub use ledger::MAX_PARTS;
pub use ledger::Outcome;
pub use ledger::Part;
pub use ledger::Record;
pub use ledger::Restored;
pub use ledger::RouterState;
pub use ledger::Schedule;
pub use ledger::TeamState;
pub use ledger::Verdict;
pub use ledger::VoidReason;
pub use ledger::decode;
pub use ledger::decode_part;
pub use ledger::encode;
pub use ledger::encode_part;
pub use ledger::split;
pub use listen::listen;
pub use log_client::AppendError;
pub use log_client::LogClient;
pub use log_client::LogPage;
pub use log_client::LogRecord;
pub use log_client::ReadError;
pub use logs::LogGuard;
pub use logs::init_logs;
pub use logs::init_output_logs;
pub use part_id::PartId;
pub use platform::serve_site;
pub use prompt::BLOCK_TOKENS;
pub use prompt::BlockHash;
pub use prompt::prompt_blocks;
pub use prompt::prompt_tokens;
pub use request_rate::RateError;
pub use request_rate::RequestRate;
pub use router::Problem;
pub use router::ProblemKind;
pub use router::Ran;
pub use settings::BaseUrl;
pub use settings::BaseUrlError;
pub use settings::EndMarker;
pub use settings::LedgerSettings;
pub use settings::LogLevel;
pub use settings::Millis;
pub use settings::RequestLimits;
pub use settings::Settings;
pub use settings::SettingsError;
pub use settings::SiteSettings;
pub use standin::Started;
pub use standin::engine::Engine;
pub use standin::engine::EngineOptions;
pub use standin::engine::expected_answer;
pub use standin::engine::start_engine;
pub use standin::load::LoadOptions;
pub use standin::load::Report;
pub use standin::load::Scenario;
pub use standin::load::run_load;
pub use standin::log::Log;
pub use standin::log::LogOptions;
pub use standin::log::start_log;
pub use standin::proxy::Proxy;
pub use standin::proxy::start_proxy;
pub use standin::service::Service;
pub use standin::service::start_service;
pub use standin::vms::Vms;
pub use standin::vms::VmsOptions;
pub use standin::vms::start_vms;
pub use tokens::TokenRate;
pub use tokens::Tokens;
pub use vms::VmEntry;
pub use vms::VmList;
pub use vms::VmState;

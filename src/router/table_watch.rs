//! Tracks whether the configuration in force here is the newest one, where a platform provides it as a whole.
//!
//! A router whose calls to the store queue behind its callers' answers, or that is cut off from the store, goes on with
//! an old configuration. Heartbeats carry the version that each peer has, so that the router can fetch a newer one from
//! a peer.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use tracing::info;

use crate::ids::TableVersion;
use crate::ids::VmId;
use crate::router::core::Accounting;
use crate::router::core::Core;
use crate::router::effect::Effect;
use crate::router::heartbeat::Heartbeat;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;

/// How long the store may take to deliver a version that a peer already has.
const STORE_GRACE: Duration = Duration::from_millis(250);

/// Minimum time between requests to peers: answers take a second at most.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

/// Retry time for callers whose request a newer configuration may allow.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// What is known of configurations newer than the one in force.
#[derive(Debug, Default)]
pub(crate) struct TableWatch {
    /// When the store was last known to have no newer one. Its answer may have come seconds later.
    confirmed_at: Option<Instant>,
    newer: Option<NewerTable>,
    /// When a peer was last asked.
    asked_at: Option<Instant>,
}

/// A newer configuration that peers have.
#[derive(Debug)]
struct NewerTable {
    version: TableVersion,
    /// The VMs of peers that have it and did not fail to send it, the next one to ask first.
    sources: IndexSet<VmId>,
    /// When a version newer than the one in force was first reported.
    reported_at: Instant,
}

impl TableWatch {
    /// Records that the store had no newer configuration at `at`.
    fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Records which version a peer has.
    fn note_version(&mut self, now: Instant, own: TableVersion, heartbeat: &Heartbeat) {
        if heartbeat.table <= own {
            return;
        }
        let newer = self.newer.get_or_insert_with(|| NewerTable {
            version: heartbeat.table,
            sources: IndexSet::new(),
            reported_at: now,
        });
        if heartbeat.table > newer.version {
            newer.version = heartbeat.table;
            newer.sources.clear();
        }
        if heartbeat.table == newer.version {
            newer.sources.insert(heartbeat.vm.clone());
        }
    }

    /// Records which version is now in force.
    pub(crate) fn applied(&mut self, version: TableVersion) {
        self.newer.take_if(|newer| newer.version <= version);
        self.asked_at = None;
    }

    /// Returns whether there may be a newer configuration; `limit` is how long the store's last answer is valid.
    fn may_be_behind(&self, now: Instant, limit: Duration) -> bool {
        self.newer.is_some() || self.confirmed_at.is_none_or(|at| now > at + limit)
    }

    /// Returns how long ago the store was last known to have no newer one.
    fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at
            .map(|at| now.saturating_duration_since(at))
    }

    /// Returns the peer to ask for a newer configuration, if a request is due.
    fn next_source(&mut self, now: Instant) -> Option<VmId> {
        let newer = self.newer.as_mut()?;
        if now < newer.reported_at + STORE_GRACE
            || self.asked_at.is_some_and(|at| now < at + ASK_INTERVAL)
        {
            return None;
        }
        let vm = newer.sources.shift_remove_index(0)?;
        // It is asked again only after all others that have it.
        newer.sources.insert(vm.clone());
        self.asked_at = Some(now);
        Some(vm)
    }

    /// Removes a peer that can't be asked, or that did not send its configuration; another may be asked at once.
    fn remove_source(&mut self, vm: &VmId) {
        if let Some(newer) = &mut self.newer {
            newer.sources.shift_remove(vm);
        }
        self.asked_at = None;
    }
}

impl Core {
    /// Returns the version of the configuration in force; 0 if there is none yet.
    pub(crate) fn table_version(&self) -> TableVersion {
        self.route_table
            .as_ref()
            .map_or_else(TableVersion::default, |table| table.version)
    }

    /// Handles an answer by which the store had no newer configuration at `at`.
    pub(crate) fn confirm_table(&mut self, now: Instant, at: Instant) {
        self.table_watch.confirm(at);
        self.grant_budgets.store_answered(now);
    }

    /// Handles the version in a peer's heartbeat.
    pub(crate) fn note_peer_table(&mut self, now: Instant, heartbeat: &Heartbeat) {
        let own = self.table_version();
        self.table_watch.note_version(now, own, heartbeat);
    }

    /// Asks a peer for its newer configuration if the store has not delivered it.
    pub(crate) fn fetch_table(&mut self, now: Instant) {
        while let Some(vm) = self.table_watch.next_source(now) {
            let Some(peer) = self.members.vm_index.peer(&vm) else {
                self.table_watch.remove_source(&vm);
                continue;
            };
            info!(event = "config-behind", own = %self.table_version(), from = %vm);
            self.effects.push(Effect::FetchTable(peer.clone()));
            return;
        }
    }

    /// Handles a peer's failure to send its configuration.
    pub(crate) fn handle_table_unsent(&mut self, now: Instant, vm: &VmId) {
        self.table_watch.remove_source(vm);
        self.fetch_table(now);
    }

    /// Returns whether other routers may have a newer configuration.
    pub(crate) fn may_be_behind(&self, now: Instant) -> bool {
        match self.tuning.accounting {
            Accounting::Grants(tuning) => {
                self.table_watch.may_be_behind(now, tuning.config_max_age)
            }
            Accounting::Ledger => false,
        }
    }

    /// Returns a refusal by the configuration, or a retryable one if a newer configuration may allow the request.
    pub(crate) fn deny(&mut self, now: Instant, kind: ProblemKind, detail: &str) -> Box<Problem> {
        let behind = self.may_be_behind(now);
        info!(
            event = "not-in-config",
            version = %self.table_version(),
            age_ms = self.table_watch.age(now).map(|age| age.as_millis()),
            behind,
            ?kind,
        );
        if !behind {
            return Box::new(Problem::new(kind, Ran::No, detail));
        }
        let problem = Problem::new(
            ProblemKind::ConfigBehind,
            Ran::No,
            "this router may not have the newest configuration yet",
        );
        let instead = self.alternate_address();
        Box::new(problem.with_instead(instead).with_retry(RETRY_AFTER))
    }
}

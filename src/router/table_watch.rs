//! Whether the configuration in force here is the newest one, where a platform hands it over whole.
//!
//! A router whose calls to the store stand behind its callers' answers, or that is parted from the store, goes on with an
//! old configuration. Its peers say in their heartbeats which one they have, so that it can ask one of them for it.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use tracing::info;

use crate::ids::TableVersion;
use crate::ids::VmId;
use crate::router::core::Accounting;
use crate::router::core::Core;
use crate::router::effect::Effect;
use crate::router::event::Heartbeat;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;

/// How long the store may take to bring what a peer has already.
const GRACE: Duration = Duration::from_millis(250);

/// How long after a question to a peer the next one goes out: answers take a second at most.
const AGAIN: Duration = Duration::from_secs(1);

/// When a caller may come back that asked for what a newer configuration may allow.
const RETRY: Duration = Duration::from_millis(250);

/// What a router knows of configurations newer than its own.
#[derive(Debug, Default)]
pub(crate) struct TableWatch {
    /// When the store last had no newer one. Its answer may have come seconds later.
    confirmed: Option<Instant>,
    newer: Option<Newer>,
    /// When a peer was last asked.
    asked: Option<Instant>,
}

/// A configuration that a peer has.
#[derive(Debug)]
struct Newer {
    version: TableVersion,
    /// Who has it and did not fail to send it, the next one to be asked first.
    vms: IndexSet<VmId>,
    /// When a newer one than that in force was first heard of.
    since: Instant,
}

impl TableWatch {
    /// Notes that the store had no newer configuration at a moment.
    fn confirm(&mut self, at: Instant) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Notes which configuration a peer has.
    fn hear(&mut self, now: Instant, own: TableVersion, beat: &Heartbeat) {
        if beat.table <= own {
            return;
        }
        let newer = self.newer.get_or_insert_with(|| Newer {
            version: beat.table,
            vms: IndexSet::new(),
            since: now,
        });
        if beat.table > newer.version {
            newer.version = beat.table;
            newer.vms.clear();
        }
        if beat.table == newer.version {
            newer.vms.insert(beat.vm.clone());
        }
    }

    /// Notes which configuration is in force.
    pub(crate) fn took(&mut self, version: TableVersion) {
        self.newer.take_if(|newer| newer.version <= version);
        self.asked = None;
    }

    /// Returns whether there may be a newer configuration; `limit` is how long the store's last word holds.
    fn may_be_behind(&self, now: Instant, limit: Duration) -> bool {
        self.newer.is_some() || self.confirmed.is_none_or(|at| now > at + limit)
    }

    /// Returns how long ago the store last had no newer one.
    fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_duration_since(at))
    }

    /// Returns who is to be asked for a newer configuration, if it is time for that.
    fn next_asked(&mut self, now: Instant) -> Option<VmId> {
        let newer = self.newer.as_mut()?;
        if now < newer.since + GRACE || self.asked.is_some_and(|at| now < at + AGAIN) {
            return None;
        }
        let vm = newer.vms.shift_remove_index(0)?;
        // Asked again after all others that have it.
        newer.vms.insert(vm.clone());
        self.asked = Some(now);
        Some(vm)
    }

    /// Notes that a peer can't be asked, or did not send what it has; another one may be asked at once.
    fn failed(&mut self, vm: &VmId) {
        if let Some(newer) = &mut self.newer {
            newer.vms.shift_remove(vm);
        }
        self.asked = None;
    }
}

impl Core {
    /// Returns the version of the configuration in force, 0 where there is none yet.
    pub(crate) fn table_version(&self) -> TableVersion {
        self.route_table
            .as_ref()
            .map_or_else(TableVersion::default, |table| table.version)
    }

    /// Takes note that the store, which has just answered, had no newer configuration at a moment.
    pub(crate) fn table_confirmed(&mut self, now: Instant, at: Instant) {
        self.table_watch.confirm(at);
        self.grant_budgets.store_answered(now);
    }

    /// Takes note of a peer's configuration.
    pub(crate) fn hear_table(&mut self, now: Instant, beat: &Heartbeat) {
        let own = self.table_version();
        self.table_watch.hear(now, own, beat);
    }

    /// Asks a peer for its configuration, where the store has not brought it.
    pub(crate) fn fetch_table(&mut self, now: Instant) {
        while let Some(vm) = self.table_watch.next_asked(now) {
            let Some(peer) = self.members.vm_index.peer(&vm) else {
                self.table_watch.failed(&vm);
                continue;
            };
            info!(event = "config-behind", own = %self.table_version(), from = %vm);
            self.effects.push(Effect::FetchTable(peer.clone()));
            return;
        }
    }

    /// Takes note that a peer did not send its configuration.
    pub(crate) fn table_unsent(&mut self, now: Instant, vm: &VmId) {
        self.table_watch.failed(vm);
        self.fetch_table(now);
    }

    /// Returns whether a newer configuration than that in force here may hold elsewhere.
    pub(crate) fn may_be_behind(&self, now: Instant) -> bool {
        match self.tuning.accounting {
            Accounting::Grants(tuning) => {
                self.table_watch.may_be_behind(now, tuning.config_max_age)
            }
            Accounting::Ledger => false,
        }
    }

    /// Returns a refusal by the configuration, or one that promises less where a newer configuration may allow the request.
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
        Box::new(problem.with_instead(instead).with_retry(RETRY))
    }
}

//! The other routers: their heartbeats and failures, the batches they left here, and the addresses advised to callers.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::decide;
use crate::ids::DomainId;
use crate::ids::Incarnation;
use crate::ids::RequestKey;
use crate::ids::Sequence;
use crate::ids::VmId;
use crate::ledger::Record;
use crate::ledger::decode;
use crate::router::closing::Closing;
use crate::router::core::Accounting;
use crate::router::core::Core;
use crate::router::effect::Effect;
use crate::router::effect::Peer;
use crate::router::event::KeptBatches;
use crate::router::event::PeerFailure;
use crate::router::heartbeat::Heartbeat;
use crate::router::peer_budgets::BudgetReport;
use crate::router::vm_index::VmIndex;
use crate::vms::VmList;
use crate::vms::VmState;

/// Connection refusals in a row after which a router counts as dead; a single one may be a restart.
const MIN_REFUSALS: u32 = 2;

/// Age up to which an answer of the log or a heartbeat counts as fresh.
pub(crate) const FRESH_PERIOD: Duration = Duration::from_secs(3);

/// How long after its last heartbeat a router may still be alive beyond a partition.
const ABSENCE: Duration = Duration::from_secs(20);

/// Number of peers that get each heartbeat. In a fleet of up to thirteen routers all peers get every one; in a larger
/// fleet they take turns, so that the cost of heartbeats at each VM does not grow with the fleet. With 64 VMs of a
/// tenth of a core each, heartbeats to all peers were 250 calls a second at every VM.
const HEARTBEAT_FANOUT: usize = 12;

/// Divisor of the interval between two heartbeats if the second one tells of a change.
const EARLY_DIVISOR: u32 = 4;

/// Number of rounds for which a heartbeat counts as fresh: one call may be lost, and answers to our own heartbeats
/// carry the peer's as well.
const FRESH_ROUNDS: u32 = 2;

/// Interval between the empty batches that a router appends while some peer does not answer.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Consecutive failures of one kind to reach a peer.
#[derive(Clone, Copy, Debug)]
struct FailureStreak {
    /// Time of the last failure.
    at: Instant,
    failure: PeerFailure,
    count: u32,
}

/// What a router knows of the other routers.
#[derive(Debug)]
pub(crate) struct Members {
    pub(crate) vm_index: VmIndex,
    heartbeats: IndexMap<VmId, (Instant, Heartbeat)>,
    failures: IndexMap<VmId, FailureStreak>,
    /// The last life of each router that counts as ended.
    ended: IndexMap<VmId, Incarnation>,
    /// Routers of which another life was heard since their ends were last taken.
    replaced: IndexSet<VmId>,
    /// Time of the last heartbeat or batch of each incarnation.
    pub(crate) last_seen: IndexMap<Incarnation, Instant>,
    pub(crate) kept_batches: IndexMap<Incarnation, KeptBatches>,
    pub(crate) closing: IndexMap<Incarnation, Closing>,
    config_sent: IndexMap<VmId, Instant>,
    pub(crate) log_answered_at: Instant,
    heartbeat_sent: Option<Instant>,
    heartbeat_requested: bool,
    /// Position in the peer list at which the next round of heartbeats starts.
    next_peer: usize,
    /// Age up to which a heartbeat or a failure of a peer counts.
    fresh_period: Duration,
    keep_alive_sent: Instant,
}

impl Members {
    pub(crate) fn new(now: Instant, me: VmId) -> Self {
        Self {
            vm_index: VmIndex::new(me),
            heartbeats: IndexMap::new(),
            failures: IndexMap::new(),
            ended: IndexMap::new(),
            replaced: IndexSet::new(),
            last_seen: IndexMap::new(),
            kept_batches: IndexMap::new(),
            closing: IndexMap::new(),
            config_sent: IndexMap::new(),
            log_answered_at: now,
            heartbeat_sent: None,
            heartbeat_requested: false,
            next_peer: 0,
            fresh_period: FRESH_PERIOD,
            keep_alive_sent: now,
        }
    }

    /// Restarts the silence of every router from now.
    ///
    /// While this router could not read the log, others may have appended to it; closing them for a silence that was
    /// due to this router's own outage would take down live routers.
    pub(crate) fn reset_silence(&mut self, now: Instant) {
        self.last_seen.values_mut().for_each(|at| *at = now);
    }

    /// Records that the log answered.
    pub(crate) fn log_answered(&mut self, now: Instant) {
        if now >= self.log_answered_at + FRESH_PERIOD {
            self.reset_silence(now);
        }
        self.log_answered_at = now;
    }

    /// Records that a router's batch was read from the log.
    pub(crate) fn batch_appended(&mut self, now: Instant, router: Incarnation) {
        self.last_seen.insert(router, now);
    }

    /// Records that a peer did not answer.
    pub(crate) fn record_failure(&mut self, now: Instant, vm: VmId, failure: PeerFailure) {
        let row = self.failures.get(&vm).filter(|f| f.failure == failure);
        let count = row.map_or(0, |f| f.count) + 1;
        let failures = FailureStreak {
            at: now,
            failure,
            count,
        };
        self.failures.insert(vm, failures);
    }

    /// Returns how a peer currently fails to answer, if it does. A single refused connection counts as `Mute`, since
    /// the router may be restarting.
    pub(crate) fn peer_failure(&self, now: Instant, vm: &VmId) -> Option<PeerFailure> {
        let failures = self
            .failures
            .get(vm)
            .filter(|f| now < f.at + self.fresh_period)?;
        match failures.failure {
            PeerFailure::Refused if failures.count < MIN_REFUSALS => Some(PeerFailure::Mute),
            failure => Some(failure),
        }
    }

    /// Returns the routers whose lives have ended since the last call, as far as this one can tell: another life followed, or
    /// nothing was heard of them for long although they are listed. Those that stop as planned are not listed any more.
    pub(crate) fn take_ended(&mut self, now: Instant) -> Vec<VmId> {
        let mut silent = Vec::new();
        for (vm, (at, beat)) in &self.heartbeats {
            let refuses = self.peer_failure(now, vm) == Some(PeerFailure::Refused);
            let counted = self.ended.get(vm) == Some(&beat.router);
            let gone = refuses || now >= *at + self.fresh_period;
            if gone && !counted && self.vm_index.entry(vm).is_some() {
                silent.push((vm.clone(), beat.router));
            }
        }
        self.ended.extend(silent.iter().cloned());
        let replaced = std::mem::take(&mut self.replaced);
        let silent = silent.into_iter().map(|(vm, _)| vm);
        replaced.into_iter().chain(silent).collect()
    }

    /// Stores a heartbeat; returns whether it is the first one of its router.
    fn put_heartbeat(&mut self, now: Instant, beat: Heartbeat) -> bool {
        let (vm, life) = (beat.vm.clone(), beat.router);
        let before = self.heartbeats.insert(vm.clone(), (now, beat));
        let Some((_, before)) = before else {
            return true;
        };
        // A life that is heard of again had not ended.
        let ended = self.ended.swap_remove(&vm);
        if before.router != life && ended != Some(before.router) {
            self.replaced.insert(vm);
        }
        false
    }

    /// Returns how many of the routers that were alive lately this one reaches, and how many there are; it counts itself.
    pub(crate) fn reached_routers(&self, now: Instant) -> (usize, usize) {
        let peers = self.vm_index.peers();
        let alive = peers.iter().filter_map(|peer| {
            let (at, _) = self.heartbeats.get(&peer.vm)?;
            let failure = self.peer_failure(now, &peer.vm);
            let lately = now < *at + ABSENCE && failure != Some(PeerFailure::Refused);
            lately.then_some(failure.is_none())
        });
        alive.fold((1, 1), |(reached, all), is_reached| {
            (reached + usize::from(is_reached), all + 1)
        })
    }

    /// Returns whether a fresh heartbeat of a peer is known.
    pub(crate) fn has_fresh_heartbeat(&self, now: Instant, vm: &VmId) -> bool {
        self.fresh_heartbeat(now, vm).is_some()
    }

    /// Returns whether a fresh heartbeat shows another incarnation on a router's VM, which means that this one is dead.
    pub(crate) fn is_replaced(&self, now: Instant, router: Incarnation, vm: &VmId) -> bool {
        self.fresh_heartbeat(now, vm)
            .is_some_and(|beat| beat.router != router)
    }

    /// Stores a peer's batches after those that it left here before; returns whether that was possible.
    ///
    /// `folded` is the number of the peer's last batch in the log. If there were a gap after that, or after the batches
    /// stored here, no batch behind the gap would count once the peer is dead.
    pub(crate) fn keep_batches(&mut self, new: KeptBatches, folded: Sequence) -> bool {
        let old = self.kept_batches.get(&new.router);
        if old.is_some_and(|old| (old.last, old.records) > (new.last, new.records)) {
            return true;
        }
        let before = match old {
            Some(old) if old.last >= new.after => old.up_to(new.after),
            _ if folded >= new.after => &[],
            _ => return false,
        };
        let batches = [before, &new.batches].concat();
        let kept = KeptBatches {
            after: Sequence(0),
            batches,
            ..new
        };
        self.kept_batches.insert(kept.router, kept);
        true
    }

    /// Returns whether a batch stored here claims a request.
    pub(crate) fn keeps_claim(&self, key: &RequestKey) -> bool {
        let batches = self.kept_batches.values().flat_map(|kept| &kept.batches);
        let mut records = batches
            .filter_map(|bytes| decode(bytes).ok())
            .flat_map(|batch| batch.records);
        records.any(|record| matches!(record, Record::Claim(claim) if claim.key == *key))
    }

    /// Returns the number of routers whose batches are stored here.
    pub(crate) fn kept_count(&self) -> usize {
        self.kept_batches.len()
    }

    pub(crate) fn domain(&self, vm: &VmId) -> Option<&DomainId> {
        self.vm_index.entry(vm).map(|entry| &entry.domain)
    }

    pub(crate) fn is_listed(&self, vm: &VmId) -> bool {
        self.vm_index
            .entry(vm)
            .is_some_and(|e| e.state == VmState::Live)
    }

    /// Returns the peers that get the next heartbeat. The first one goes to all of them, so that a router that starts
    /// is known at once.
    fn next_recipients(&mut self, heartbeat: Duration) -> Vec<Peer> {
        let peers = self.vm_index.peers();
        let rounds = peers.len().div_ceil(HEARTBEAT_FANOUT);
        let round = heartbeat.saturating_mul(u32::try_from(rounds).unwrap_or(u32::MAX));
        self.fresh_period = round.saturating_mul(FRESH_ROUNDS).max(FRESH_PERIOD);
        if self.heartbeat_sent.is_none() || peers.len() <= HEARTBEAT_FANOUT {
            return peers.to_vec();
        }
        let from = self.next_peer % peers.len();
        self.next_peer = from + HEARTBEAT_FANOUT;
        let round = peers.iter().cycle().skip(from);
        round.take(HEARTBEAT_FANOUT).cloned().collect()
    }

    /// Returns the routers with a fresh heartbeat that accept requests. Those that the VM list shows as leaving are
    /// marked.
    pub(crate) fn advisable_peers(&self, now: Instant) -> Vec<decide::Peer> {
        self.heartbeats
            .values()
            .filter(|(at, beat)| now < *at + self.fresh_period && beat.serving)
            .filter_map(|(_, beat)| {
                let entry = self.vm_index.entry(&beat.vm)?;
                Some(decide::Peer {
                    vm: beat.vm.clone(),
                    domain: entry.domain.clone(),
                    address: entry.address.to_string(),
                    load: f64::from(beat.load) / 1000.0,
                    leaving: entry.state == VmState::Leaving,
                })
            })
            .collect()
    }

    /// Returns the last heartbeat of a peer, if it is fresh.
    pub(crate) fn fresh_heartbeat(&self, now: Instant, vm: &VmId) -> Option<&Heartbeat> {
        let (at, beat) = self.heartbeats.get(vm)?;
        (now < *at + self.fresh_period).then_some(beat)
    }

    /// Has the next heartbeat sent early.
    pub(crate) fn request_heartbeat(&mut self) {
        self.heartbeat_requested = true;
    }

    /// Returns whether a heartbeat is due. An early one is not sent at once, since what it tells may change back.
    fn is_heartbeat_due(&self, now: Instant, interval: Duration) -> bool {
        let interval = match self.heartbeat_requested {
            true => interval / EARLY_DIVISOR,
            false => interval,
        };
        self.heartbeat_sent.is_none_or(|at| now >= at + interval)
    }

    /// Returns the budget reports in the fresh heartbeats of peers.
    pub(crate) fn budget_reports(&self, now: Instant) -> Vec<BudgetReport> {
        let peers = self.vm_index.peers();
        let reports = peers.iter().filter_map(|peer| {
            Some(BudgetReport {
                peer: peer.clone(),
                budgets: self.fresh_heartbeat(now, &peer.vm)?.purses.clone(),
            })
        });
        reports.collect()
    }

    /// Returns whether a peer in the VM list failed to answer recently.
    fn any_failing(&self, now: Instant) -> bool {
        self.failures.iter().any(|(vm, failures)| {
            now < failures.at + self.fresh_period && self.vm_index.entry(vm).is_some()
        })
    }
}

impl Core {
    /// Applies a new VM list.
    pub(crate) fn handle_vm_list(&mut self, now: Instant, list: VmList) {
        if !self.members.vm_index.update(list) {
            return;
        }
        self.update_routers();
        let routers = self.members.vm_index.serving_vms();
        self.announcements.set_routers(now, routers);
        self.prune_announcements(now);
        self.rebuild_pools(now);
        if let Accounting::Grants(_) = self.tuning.accounting {
            self.serve_with_grants();
        }
    }

    /// Updates which routers own budgets, from the VM list.
    fn update_routers(&mut self) {
        let vm_index = &self.members.vm_index;
        self.grant_budgets
            .take_routers(&self.tuning.vm, vm_index.candidates(), &vm_index.peers());
    }

    /// Applies a peer's heartbeat.
    pub(crate) fn handle_heartbeat(&mut self, now: Instant, beat: Heartbeat) {
        self.members.last_seen.insert(beat.router, now);
        self.members.failures.swap_remove(&beat.vm);
        self.grant_budgets.handle_heartbeat(now, &beat);
        self.send_config(now, &beat);
        self.note_peer_table(now, &beat);
        self.update_drained(now, &beat.drained);
        self.merge_announcements(now, &beat.vm, &beat.announced);
        self.merge_crashes(now, &beat.crashes);
        self.merge_versions(now, &beat.versions);
        if self.members.put_heartbeat(now, beat) {
            self.grant_budgets.request_refresh();
        }
    }

    /// Sends the configuration to a peer that has an older one, as a peer that cannot read the log does.
    fn send_config(&mut self, now: Instant, beat: &Heartbeat) {
        let recent = self
            .members
            .config_sent
            .get(&beat.vm)
            .is_some_and(|at| now < *at + Duration::from_secs(1));
        if beat.config >= self.config.next_offset() || recent {
            return;
        }
        let Some(peer) = self.members.vm_index.peer(&beat.vm).cloned() else {
            return;
        };
        self.members.config_sent.insert(beat.vm.clone(), now);
        let snapshot = Box::new(self.config.snapshot());
        self.effects.push(Effect::SendConfig(snapshot, peer));
    }

    /// Returns this router's current heartbeat.
    pub(crate) fn heartbeat(&self, now: Instant) -> Heartbeat {
        Heartbeat {
            vm: self.tuning.vm.clone(),
            router: self.me,
            serving: self.is_serving(),
            load: self.load(),
            config: self.config.next_offset(),
            table: self.table_version(),
            drained: self.drained_domains.clone(),
            clock: self.tuning.clock.at(now).wall,
            purses: match self.tuning.accounting {
                Accounting::Grants(_) => self.grant_budgets.budget_report(now),
                Accounting::Ledger => Vec::new(),
            },
            announced: self.announcements.rows(now),
            crashes: Box::new(self.crash_history.report(now)),
            cut: self.cut_pools(),
            versions: self.streams.rows(now),
        }
    }

    /// Returns the utilization of this router in thousandths: requests in progress and queued, relative to the maximum.
    fn load(&self) -> u32 {
        let most = self.tuning.queue_limit.max(1);
        let part = self.requests.len() * 1000 / most;
        u32::try_from(part.min(1000)).unwrap_or(1000)
    }

    /// Sends heartbeats to peers, and appends an empty batch to the log if some peer cannot be reached.
    pub(crate) fn send_heartbeat(&mut self, now: Instant) {
        let interval = self.tuning.heartbeat_interval;
        if !self.members.is_heartbeat_due(now, interval) {
            return;
        }
        self.members.heartbeat_requested = false;
        let peers = match self.tuning.accounting {
            Accounting::Grants(_) => self.members.next_recipients(self.tuning.heartbeat_interval),
            // With a ledger, a router may be closed by a peer after seconds without a heartbeat, so no peer is left
            // out.
            Accounting::Ledger => self.members.vm_index.peers().to_vec(),
        };
        self.members.heartbeat_sent = Some(now);
        self.advance_announcements(now);
        self.effects
            .push(Effect::SendHeartbeat(self.heartbeat(now), peers));
        self.crash_history.advance(now);
        // A router that is partitioned from its peers, but not from the log, would otherwise be closed for its silence.
        if let Accounting::Grants(_) = self.tuning.accounting {
            return;
        }
        let quiet = now >= self.members.keep_alive_sent + KEEP_ALIVE_INTERVAL;
        if self.is_serving() && quiet && self.members.any_failing(now) {
            self.members.keep_alive_sent = now;
            self.appender.keep_alive();
        }
    }

    /// Returns the address of another router for a caller that cannot be served here.
    pub(crate) fn alternate_address(&mut self) -> Option<String> {
        let now = self
            .members
            .log_answered_at
            .max(self.members.heartbeat_sent?);
        let peers = self.members.advisable_peers(now);
        decide::advise(&peers, None, &mut self.rng).map(|advice| advice.address)
    }

    /// Advises a caller which router to use.
    pub(crate) fn advice(&mut self, now: Instant) -> Option<decide::Advice> {
        let mut peers = self.members.advisable_peers(now);
        let leaving = self
            .members
            .vm_index
            .entry(&self.tuning.vm)
            .is_some_and(|entry| entry.state == VmState::Leaving);
        if self.is_serving() && !leaving {
            peers.push(decide::Peer {
                vm: self.tuning.vm.clone(),
                domain: self.tuning.domain.clone(),
                address: self.tuning.address.clone(),
                load: f64::from(self.load()) / 1000.0,
                leaving: false,
            });
        }
        decide::advise(&peers, None, &mut self.rng)
    }
}

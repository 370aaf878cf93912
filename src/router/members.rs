//! The other routers: who is there, who is silent, and where callers are sent.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

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
use crate::router::event::Heartbeat;
use crate::router::event::KeptBatches;
use crate::router::event::Silence;
use crate::router::peer_budgets::BudgetReport;
use crate::router::roster::Roster;
use crate::vms::VmList;
use crate::vms::VmState;

/// How many heartbeats in a row must find that nothing listens: one may meet a router that restarts.
const REFUSALS: u32 = 2;

/// How old word from the log or from a peer may be to count as fresh.
pub(crate) const FRESH: Duration = Duration::from_secs(3);

/// How many peers hear from a router at each heartbeat. A fleet of up to thirteen hears from all at once; in a larger one the
/// peers take turns, so that what heartbeats cost a VM does not grow with the fleet. With 64 VMs of a tenth of a core, all
/// at once were 250 calls a second at each.
const AT_ONCE: usize = 12;

/// How many rounds of heartbeats a peer's word counts as fresh: one of its calls may be lost, and ours bring its word too.
const ROUNDS: u32 = 2;

/// How often a router that some peer cannot hear shows itself in the log.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// A peer's silence.
#[derive(Clone, Copy, Debug)]
struct Unheard {
    /// When it last did not answer.
    at: Instant,
    /// In what way.
    silence: Silence,
    /// How often in a row in this way.
    count: u32,
}

/// What a router knows of the others.
#[derive(Debug)]
pub(crate) struct Members {
    pub(crate) roster: Roster,
    heard: IndexMap<VmId, (Instant, Heartbeat)>,
    unheard: IndexMap<VmId, Unheard>,
    /// When each incarnation last gave a sign of life.
    pub(crate) signs: IndexMap<Incarnation, Instant>,
    pub(crate) kept: IndexMap<Incarnation, KeptBatches>,
    pub(crate) closing: IndexMap<Incarnation, Closing>,
    relayed: IndexMap<VmId, Instant>,
    pub(crate) log_heard: Instant,
    beaten: Option<Instant>,
    /// Whose turn to hear from this router is next.
    turn: usize,
    /// How old a peer's word, or its silence, may be and count.
    fresh: Duration,
    shown: Instant,
}

impl Members {
    pub(crate) fn new(now: Instant, me: VmId) -> Self {
        Self {
            roster: Roster::new(me),
            heard: IndexMap::new(),
            unheard: IndexMap::new(),
            signs: IndexMap::new(),
            kept: IndexMap::new(),
            closing: IndexMap::new(),
            relayed: IndexMap::new(),
            log_heard: now,
            beaten: None,
            turn: 0,
            fresh: FRESH,
            shown: now,
        }
    }

    /// Counts all silence from now on.
    ///
    /// While this router could not read the log, others may have shown themselves there; closing them for a silence
    /// that was its own would take down the living.
    pub(crate) fn forgive(&mut self, now: Instant) {
        self.signs.values_mut().for_each(|at| *at = now);
    }

    /// Notes that the log answered.
    pub(crate) fn log_answered(&mut self, now: Instant) {
        if now >= self.log_heard + FRESH {
            self.forgive(now);
        }
        self.log_heard = now;
    }

    /// Notes a batch of a router in the log.
    pub(crate) fn appended(&mut self, now: Instant, router: Incarnation) {
        self.signs.insert(router, now);
    }

    /// Notes that a peer did not answer.
    pub(crate) fn unheard(&mut self, now: Instant, vm: VmId, silence: Silence) {
        let row = self.unheard.get(&vm).filter(|u| u.silence == silence);
        let count = row.map_or(0, |u| u.count) + 1;
        let unheard = Unheard {
            at: now,
            silence,
            count,
        };
        self.unheard.insert(vm, unheard);
    }

    /// Returns in what way a peer is silent, if it is; one refusal may have met a router that restarts.
    pub(crate) fn silence(&self, now: Instant, vm: &VmId) -> Option<Silence> {
        let unheard = self.unheard.get(vm).filter(|u| now < u.at + self.fresh)?;
        match unheard.silence {
            Silence::Refused if unheard.count < REFUSALS => Some(Silence::Mute),
            silence => Some(silence),
        }
    }

    /// Returns whether a peer was heard of late.
    pub(crate) fn is_heard(&self, now: Instant, vm: &VmId) -> bool {
        self.heard
            .get(vm)
            .is_some_and(|(at, _)| now < *at + self.fresh)
    }

    /// Returns whether another incarnation runs on a router's VM, so that it is dead.
    pub(crate) fn is_replaced(&self, now: Instant, router: Incarnation, vm: &VmId) -> bool {
        let heard = self.heard.get(vm).filter(|(at, _)| now < *at + self.fresh);
        heard.is_some_and(|(_, beat)| beat.router != router)
    }

    /// Keeps a peer's batches behind those that it left here before; returns whether it could.
    ///
    /// `folded` is the number of the last one that the log has. With a gap behind that, or behind what is kept, no batch
    /// after the gap would count when the peer is dead.
    pub(crate) fn keep(&mut self, new: KeptBatches, folded: Sequence) -> bool {
        let old = self.kept.get(&new.router);
        if old.is_some_and(|old| (old.last, old.records) > (new.last, new.records)) {
            return true;
        }
        let before = match old {
            Some(old) if old.last >= new.after => old.upto(new.after),
            _ if folded >= new.after => &[],
            _ => return false,
        };
        let batches = [before, &new.batches].concat();
        let kept = KeptBatches {
            after: Sequence(0),
            batches,
            ..new
        };
        self.kept.insert(kept.router, kept);
        true
    }

    /// Returns whether a batch that is kept here claims a request.
    pub(crate) fn keeps_claim(&self, key: &RequestKey) -> bool {
        let batches = self.kept.values().flat_map(|kept| &kept.batches);
        let mut records = batches
            .filter_map(|bytes| decode(bytes).ok())
            .flat_map(|batch| batch.records);
        records.any(|record| matches!(record, Record::Claim(claim) if claim.key == *key))
    }

    /// Returns how many routers' batches are kept here.
    pub(crate) fn kept(&self) -> usize {
        self.kept.len()
    }

    /// Returns the failure domain of a VM.
    pub(crate) fn domain(&self, vm: &VmId) -> Option<&DomainId> {
        self.roster.entry(vm).map(|entry| &entry.domain)
    }

    /// Returns whether the VM list shows a VM as live.
    pub(crate) fn is_listed(&self, vm: &VmId) -> bool {
        self.roster
            .entry(vm)
            .is_some_and(|e| e.state == VmState::Live)
    }

    /// Returns the peers whose turn it is to hear from this router: all of them the first time, so that a router that
    /// starts is known at once.
    fn next_told(&mut self, heartbeat: Duration) -> Vec<Peer> {
        let peers = self.roster.peers();
        let rounds = peers.len().div_ceil(AT_ONCE);
        let round = heartbeat.saturating_mul(u32::try_from(rounds).unwrap_or(u32::MAX));
        self.fresh = round.saturating_mul(ROUNDS).max(FRESH);
        if self.beaten.is_none() || peers.len() <= AT_ONCE {
            return peers.to_vec();
        }
        let from = self.turn % peers.len();
        self.turn = from + AT_ONCE;
        let round = peers.iter().cycle().skip(from);
        round.take(AT_ONCE).cloned().collect()
    }

    /// Returns the routers heard of lately that take requests and stay.
    pub(crate) fn advisable(&self, now: Instant) -> Vec<decide::Peer> {
        self.heard
            .values()
            .filter(|(at, beat)| now < *at + self.fresh && beat.serving)
            .filter_map(|(_, beat)| {
                let entry = self.roster.entry(&beat.vm)?;
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

    /// Returns the routers heard of lately, and what they said of their budgets.
    pub(crate) fn budget_words(&self, now: Instant) -> Vec<BudgetReport> {
        let fresh = |vm: &VmId| {
            let (at, beat) = self.heard.get(vm)?;
            (now < *at + self.fresh).then_some(beat)
        };
        let peers = self.roster.peers();
        let words = peers.iter().filter_map(|peer| {
            Some(BudgetReport {
                peer: peer.clone(),
                budgets: fresh(&peer.vm)?.purses.clone(),
            })
        });
        words.collect()
    }

    /// Returns whether some peer of the list did not answer of late.
    fn any_unheard(&self, now: Instant) -> bool {
        self.unheard
            .iter()
            .any(|(vm, unheard)| now < unheard.at + self.fresh && self.roster.entry(vm).is_some())
    }
}

impl Core {
    /// Takes in the VM list.
    pub(crate) fn vm_list(&mut self, now: Instant, list: VmList) {
        if !self.members.roster.take(list) {
            return;
        }
        self.take_routers();
        self.rebuild_pools(now);
        self.share_retries();
        if let Accounting::Grants(_) = self.tuning.accounting {
            self.serve_with_grants();
        }
    }

    /// Takes over who keeps budgets, from the routers of the VM list.
    fn take_routers(&mut self) {
        let roster = &self.members.roster;
        self.funds
            .take_routers(&self.tuning.vm, roster.candidates(), &roster.peers());
    }

    /// Takes in a peer's word.
    pub(crate) fn heard(&mut self, now: Instant, beat: Heartbeat) {
        self.members.signs.insert(beat.router, now);
        self.members.unheard.swap_remove(&beat.vm);
        self.funds.handle_heartbeat(now, &beat);
        self.relay_config(now, &beat);
        self.note_peer_table(now, &beat);
        self.update_drained(now, &beat.drained);
        let before = self.members.heard.insert(beat.vm.clone(), (now, beat));
        if before.is_none() {
            self.funds.request_refresh();
        }
    }

    /// Sends the configuration to a peer that is behind, as one that cannot read the log is.
    fn relay_config(&mut self, now: Instant, beat: &Heartbeat) {
        let recent = self
            .members
            .relayed
            .get(&beat.vm)
            .is_some_and(|at| now < *at + Duration::from_secs(1));
        if beat.config >= self.config.next_offset() || recent {
            return;
        }
        let Some(peer) = self.members.roster.peer(&beat.vm).cloned() else {
            return;
        };
        self.members.relayed.insert(beat.vm.clone(), now);
        let snapshot = Box::new(self.config.snapshot());
        self.effects.push(Effect::Relay(snapshot, peer));
    }

    /// Returns this router's own word.
    pub(crate) fn heartbeat(&self, now: Instant) -> Heartbeat {
        Heartbeat {
            vm: self.tuning.vm.clone(),
            router: self.me,
            serving: self.serving(),
            load: self.load(),
            config: self.config.next_offset(),
            table: self.table_version(),
            drained: self.drained.clone(),
            clock: self.tuning.clock.at(now).wall,
            purses: match self.tuning.accounting {
                Accounting::Grants(_) => self.funds.budget_report(now),
                Accounting::Ledger => Vec::new(),
            },
        }
    }

    /// Returns how full this router is, in thousandths: what runs and waits against what may.
    fn load(&self) -> u32 {
        let most = self.tuning.queue.max(1);
        let part = self.requests.len() * 1000 / most;
        u32::try_from(part.min(1000)).unwrap_or(1000)
    }

    /// Tells peers that this router lives, and shows itself in the log where one of them can't hear it.
    pub(crate) fn beat(&mut self, now: Instant) {
        let due = self
            .members
            .beaten
            .is_none_or(|at| now >= at + self.tuning.heartbeat);
        if !due {
            return;
        }
        let peers = match self.tuning.accounting {
            Accounting::Grants(_) => self.members.next_told(self.tuning.heartbeat),
            // A router that is not heard for seconds may be closed there.
            Accounting::Ledger => self.members.roster.peers().to_vec(),
        };
        self.members.beaten = Some(now);
        self.effects.push(Effect::Beat(self.heartbeat(now), peers));
        // A router parted from its peers, but not from the log, would be closed for its silence.
        if let Accounting::Grants(_) = self.tuning.accounting {
            return;
        }
        let quiet = now >= self.members.shown + KEEP_ALIVE;
        if self.serving() && quiet && self.members.any_unheard(now) {
            self.members.shown = now;
            self.appender.keep_alive();
        }
    }

    /// Returns where a caller may go instead of here.
    pub(crate) fn other_address(&mut self) -> Option<String> {
        let now = self.members.log_heard.max(self.members.beaten?);
        let peers = self.members.advisable(now);
        decide::advise(&peers, None, &mut self.rng).map(|advice| advice.address)
    }

    /// Advises a caller which router to use.
    pub(crate) fn advice(&mut self, now: Instant) -> Option<decide::Advice> {
        let mut peers = self.members.advisable(now);
        let leaving = self
            .members
            .roster
            .entry(&self.tuning.vm)
            .is_some_and(|entry| entry.state == VmState::Leaving);
        if self.serving() && !leaving {
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

//! A bounded, weighted fair queue of requests that wait for an endpoint.
//!
//! Handles more work than the endpoints can take: a burst, a single client account or key with very many requests, or a
//! lasting overload. In a plain FIFO queue the account that sends the most is served the most, a modest account waits
//! behind all of that work, and under a lasting overload every request waits until its deadline and is then run
//! although nobody waits for the answer. This queue shares by virtual time (the cost served, divided by the weight):
//! among teams, and likewise among accounts within and across teams. One account may fill only a part of the queue, and
//! a request that would wait past its deadline is refused at once.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use thiserror::Error;

use crate::decide::drain::DrainRate;
use crate::decide::recent::RecentUsage;
use crate::decide::recent::Usage;
use crate::ids::AccountId;
use crate::ids::TeamId;
use crate::tokens::Tokens;

/// The number of priorities, 0 (first) to 9 (last).
const PRIORITY_LEVELS: usize = 10;

/// One account may fill the queue's length divided by this. A quarter leaves room for other accounts however many
/// requests one sends, and lets the only account of a router still queue a burst.
const ACCOUNT_DIVISOR: usize = 4;

/// The upper bound of the random factor on the time in a refusal, so that callers refused together do not all return
/// together.
const RETRY_JITTER: f64 = 1.5;

/// How many times the estimated wait must fit before the deadline. The estimate fluctuates with the drain rate: at 1, a
/// third of the requests that waited reached their deadlines anyway and had waited for nothing; at 2 none did.
const WAIT_MARGIN: f64 = 2.0;

/// How many requests a pop rejects as unfit before it gives up. A choice takes some microseconds, so examining all of
/// 430 teams at each arrival during an overload would take all of a router's time.
const MAX_MISSES: u32 = 8;

/// How often teams and accounts are dropped that have nothing waiting and were served next to nothing recently.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The shortest wait that a refusal asks for.
const MIN_RETRY_S: f64 = 1.0;

/// The longest wait that a refusal asks for. At half of this, the callers of a burst returned too soon and were refused
/// again.
const MAX_RETRY_S: f64 = 60.0;

/// The wait that a refusal asks for before the drain rate is known.
const DEFAULT_RETRY_S: f64 = 2.0;

/// The most that one request counts for. Callers choose what their requests may cost, and the sum over a full queue has
/// to fit.
const MAX_COST: Tokens = Tokens(u32::MAX as u64);

/// A waiting request's payer, caller, cost and deadline.
#[derive(Clone, Debug)]
pub struct QueueTicket {
    /// The team that pays.
    pub team: TeamId,
    /// The client account that calls.
    pub account: AccountId,
    /// 0 (first) to 9 (last), among the requests of the same team.
    pub priority: u8,
    /// The account's weight relative to other accounts.
    pub weight: u32,
    /// The most that it may cost.
    pub cost: Tokens,
    /// When the request is given up.
    pub deadline: Instant,
}

/// Why a request cannot be queued.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum PushError {
    /// The queue is full.
    #[error("the queue is full")]
    Length {
        /// How long to wait before the next attempt.
        retry_after: Duration,
    },
    /// The client account has filled its part of the queue.
    #[error("the client account has too many requests waiting")]
    Account {
        /// How long to wait before the next attempt.
        retry_after: Duration,
    },
    /// The request would wait past its deadline.
    #[error("the wait would outlast the deadline")]
    Deadline {
        /// How long to wait before the next attempt.
        retry_after: Duration,
    },
}

impl PushError {
    /// Returns how long to wait before the next attempt.
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::Length { retry_after }
            | Self::Account { retry_after }
            | Self::Deadline { retry_after } => *retry_after,
        }
    }
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitingId(u64);

#[derive(Debug)]
struct Waiting<T> {
    item: T,
    ticket: QueueTicket,
}

/// The virtual time and the waiting work of a team or an account.
#[derive(Clone, Debug, Default)]
struct Flow {
    vtime: f64,
    count: usize,
    cost: u64,
}

#[derive(Debug, Default)]
struct Team {
    flow: Flow,
    queues: [IndexMap<AccountId, VecDeque<WaitingId>>; PRIORITY_LEVELS],
}

/// A bounded queue, fair among teams and accounts.
#[derive(Debug)]
pub struct FairQueue<T> {
    max_len: usize,
    waiting: IndexMap<WaitingId, Waiting<T>>,
    deadlines: BTreeSet<(Instant, WaitingId)>,
    teams: IndexMap<TeamId, Team>,
    accounts: IndexMap<AccountId, Flow>,
    /// Evicted to make room.
    evicted: Vec<T>,
    recent: RecentUsage,
    /// The virtual time of the request served last.
    vtime: f64,
    last_sweep: Option<Instant>,
    drain: DrainRate,
    deferred: DeferredWork,
    next_id: u64,
    rng: ChaCha8Rng,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue of at most `max_len` requests.
    pub fn new(max_len: usize, rng: ChaCha8Rng) -> Self {
        Self {
            max_len,
            waiting: IndexMap::new(),
            deadlines: BTreeSet::new(),
            teams: IndexMap::new(),
            accounts: IndexMap::new(),
            evicted: Vec::new(),
            recent: RecentUsage::default(),
            vtime: 0.0,
            last_sweep: None,
            drain: DrainRate::default(),
            deferred: DeferredWork::default(),
            next_id: 0,
            rng,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of teams and accounts in memory.
    pub fn flow_count(&self) -> usize {
        self.teams.len() + self.accounts.len()
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the queue is full, the account has filled its part, or the wait would outlast the deadline.
    pub fn push(
        &mut self,
        now: Instant,
        item: T,
        mut ticket: QueueTicket,
    ) -> Result<WaitingId, PushError> {
        ticket.cost = ticket.cost.min(MAX_COST);
        let wait = self.estimate_wait(now, &ticket);
        if wait.is_some_and(|wait| now + wait.mul_f64(WAIT_MARGIN) >= ticket.deadline) {
            let retry_after = self.retry_after(now, wait, ticket.cost);
            return Err(PushError::Deadline { retry_after });
        }
        let own_count = self.accounts.get(&ticket.account).map_or(0, |a| a.count);
        if own_count >= (self.max_len / ACCOUNT_DIVISOR).max(1) {
            let retry_after = self.retry_after(now, wait, ticket.cost);
            return Err(PushError::Account { retry_after });
        }
        if self.waiting.len() >= self.max_len && !self.make_room(own_count) {
            let retry_after = self.retry_after(now, wait, ticket.cost);
            return Err(PushError::Length { retry_after });
        }
        if self.is_empty() {
            self.drain.start(now);
        }
        Ok(self.insert(item, ticket))
    }

    /// Removes and returns the next request to serve.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        self.pop_where(now, |_, _| true)
    }

    /// Removes and returns the next request for which `fits` returns true; `fits` also gets the usage of the request's
    /// account.
    ///
    /// Without the filter, one request that may not go to the only endpoint with room, because it failed there, would
    /// block all others. Only a few requests are examined: a queue holds requests for one model, so when that model's
    /// endpoints are full, examining more of them is wasted work.
    pub fn pop_where<F>(&mut self, now: Instant, mut fits: F) -> Option<T>
    where
        F: FnMut(&T, Usage) -> bool,
    {
        let id = self.find_next(|id| {
            let waiting = self.waiting.get(&id);
            waiting.is_some_and(|w| fits(&w.item, self.usage(now, &w.ticket.account)))
        })?;
        let waiting = self.remove(id)?;
        self.charge(now, &waiting.ticket);
        self.sweep(now);
        self.drain
            .record(now, waiting.ticket.cost, self.waiting.is_empty());
        Some(waiting.item)
    }

    /// Removes and returns the requests that are past their deadlines or were evicted for an account with less waiting.
    pub fn take_expired(&mut self, now: Instant) -> Vec<T> {
        let mut expired = std::mem::take(&mut self.evicted);
        while let Some((deadline, id)) = self.deadlines.first().copied()
            && deadline <= now
        {
            expired.extend(self.remove(id).map(|w| w.item));
        }
        self.stop_if_empty(now);
        expired
    }

    /// Removes a request whose caller no longer waits.
    pub fn cancel(&mut self, now: Instant, id: WaitingId) -> Option<T> {
        let item = self.remove(id)?.item;
        self.stop_if_empty(now);
        Some(item)
    }

    /// Returns the earliest deadline.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Estimates how long a request would wait, once the drain rate is known.
    ///
    /// The work ahead of it is what its own team has waiting, plus at most as much of each other team, since teams are
    /// served in turn; at most the whole queue.
    pub fn estimate_wait(&self, now: Instant, ticket: &QueueTicket) -> Option<Duration> {
        let rate = self.drain.rate(now)?;
        let queued = self.teams.get(&ticket.team).map_or(0, |t| t.flow.cost);
        let own = queued + ticket.cost.0;
        let costs = self.teams.values().map(|t| t.flow.cost);
        let ahead: u64 = costs.map(|cost| cost.min(own)).sum();
        Some(Duration::from_secs_f64(
            (ahead as f64 / rate).min(MAX_RETRY_S * 100.0),
        ))
    }

    /// Returns how long to wait until the queue has drained and all callers that were refused before have been served
    /// too.
    ///
    /// Refused callers return. If all were given the same time, they would be refused together again.
    fn retry_after(&mut self, now: Instant, wait: Option<Duration>, cost: Tokens) -> Duration {
        let rate = self.drain.rate(now);
        self.deferred.advance(now, rate.unwrap_or_default());
        self.deferred.cost += cost.0 as f64;
        let deferred_wait = rate.map_or(0.0, |rate| self.deferred.cost / rate);
        let wait = wait.map_or(DEFAULT_RETRY_S, |w| w.as_secs_f64()) + deferred_wait;
        let wait = wait.clamp(MIN_RETRY_S, MAX_RETRY_S);
        Duration::from_secs_f64(wait * self.rng.random_range(1.0..RETRY_JITTER))
    }

    /// Evicts the newest request of the account with the most waiting, for an account with less.
    fn make_room(&mut self, own_count: usize) -> bool {
        let Some((largest, _)) = self
            .accounts
            .iter()
            .filter(|(_, flow)| flow.count > own_count + 1)
            .max_by_key(|(_, flow)| flow.count)
        else {
            return false;
        };
        let newest = self
            .waiting
            .iter()
            .filter(|(_, w)| w.ticket.account == *largest)
            .map(|(id, _)| *id)
            .max();
        let Some(waiting) = newest.and_then(|id| self.remove(id)) else {
            return false;
        };
        self.evicted.push(waiting.item);
        true
    }

    fn insert(&mut self, item: T, ticket: QueueTicket) -> WaitingId {
        let id = WaitingId(self.next_id);
        self.next_id += 1;
        self.deadlines.insert((ticket.deadline, id));
        // A flow with nothing waiting starts at the current virtual time: idle time does not entitle it to all
        // endpoints later.
        let account = self.accounts.entry(ticket.account.clone()).or_default();
        account.add(self.vtime, &ticket);
        let team = self.teams.entry(ticket.team.clone()).or_default();
        team.flow.add(self.vtime, &ticket);
        team.queues[level(ticket.priority)]
            .entry(ticket.account.clone())
            .or_default()
            .push_back(id);
        self.waiting.insert(id, Waiting { item, ticket });
        id
    }

    fn remove(&mut self, id: WaitingId) -> Option<Waiting<T>> {
        let waiting = self.waiting.swap_remove(&id)?;
        let ticket = &waiting.ticket;
        self.deadlines.remove(&(ticket.deadline, id));
        if let Some(account) = self.accounts.get_mut(&ticket.account) {
            account.remove(ticket);
        }
        if let Some(team) = self.teams.get_mut(&ticket.team) {
            team.flow.remove(ticket);
            team.remove(ticket, id);
        }
        Some(waiting)
    }

    /// Stops measuring the drain rate when the queue is empty.
    fn stop_if_empty(&mut self, now: Instant) {
        if self.is_empty() {
            self.drain.stop(now);
            self.sweep(now);
        }
    }

    /// Drops teams and accounts that have nothing waiting and are not ahead of the virtual time, or all of them when
    /// the queue is empty, since nothing is shared then.
    ///
    /// A flow that was just served is ahead, and may never send another request that would remove it. Without the sweep
    /// each of 430,000 teams would stay for ever and be visited by each pop.
    fn sweep(&mut self, now: Instant) {
        if self.is_empty() {
            self.teams.clear();
            self.accounts.clear();
            self.vtime = 0.0;
        }
        if self
            .last_sweep
            .is_some_and(|last| now < last + SWEEP_INTERVAL)
        {
            return;
        }
        self.last_sweep = Some(now);
        let vtime = self.vtime;
        let is_kept = |flow: &Flow| flow.count > 0 || flow.vtime > vtime;
        self.teams.retain(|_, team| is_kept(&team.flow));
        self.accounts.retain(|_, flow| is_kept(flow));
        self.recent.sweep(now);
    }

    fn usage(&self, now: Instant, account: &AccountId) -> Usage {
        self.recent.usage(now, account)
    }

    /// Finds the first fitting request among the teams' front requests, starting with the lowest virtual time.
    ///
    /// A team's own virtual time is the lower bound of its turn. The virtual time of its front account takes a lookup,
    /// which is made only for teams whose turn it may be.
    fn find_next<F>(&self, mut fits: F) -> Option<WaitingId>
    where
        F: FnMut(WaitingId) -> bool,
    {
        let bounds = self.teams.values().enumerate();
        let mut turns: BinaryHeap<_> = bounds
            .map(|(index, team)| Reverse((team.flow.vtime.to_bits(), index, None)))
            .collect();
        let mut misses_left = MAX_MISSES;
        while misses_left > 0
            && let Some(Reverse((_, index, id))) = turns.pop()
        {
            let team = &self.teams[index];
            match id {
                Some(id) if fits(id) => return Some(id),
                Some(_) => misses_left -= 1,
                None => {
                    let front = team.front(&self.accounts);
                    turns.extend(front.map(|(id, vtime)| {
                        // Virtual times are never negative, so their bit patterns sort like the values.
                        Reverse((vtime.max(team.flow.vtime).to_bits(), index, Some(id)))
                    }));
                }
            }
        }
        None
    }

    /// Advances the virtual times by the cost of a served request.
    fn charge(&mut self, now: Instant, ticket: &QueueTicket) {
        let cost = ticket.cost.0.max(1) as f64;
        self.recent.charge(now, &ticket.account, cost);
        let account = self.accounts.entry(ticket.account.clone()).or_default();
        let team = self.teams.entry(ticket.team.clone()).or_default();
        self.vtime = self
            .vtime
            .max(account.vtime.max(team.flow.vtime).min(self.vtime + cost));
        account.vtime = account.vtime.max(self.vtime) + cost / f64::from(ticket.weight.max(1));
        team.flow.vtime = team.flow.vtime.max(self.vtime) + cost;
    }
}

impl Team {
    /// Returns the next request: from the best priority, that of the account with the lowest virtual time.
    fn front(&self, accounts: &IndexMap<AccountId, Flow>) -> Option<(WaitingId, f64)> {
        let queue = self.queues.iter().find(|queue| !queue.is_empty())?;
        queue
            .iter()
            .filter_map(|(account, ids)| Some((*ids.front()?, accounts.get(account)?.vtime)))
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }

    fn remove(&mut self, ticket: &QueueTicket, id: WaitingId) {
        let queues = &mut self.queues[level(ticket.priority)];
        let Some(queue) = queues.get_mut(&ticket.account) else {
            return;
        };
        match queue.front() {
            Some(front) if *front == id => drop(queue.pop_front()),
            _ => queue.retain(|p| *p != id),
        }
        if queue.is_empty() {
            queues.swap_remove(&ticket.account);
        }
    }
}

impl Flow {
    fn add(&mut self, vtime: f64, ticket: &QueueTicket) {
        if self.count == 0 {
            self.vtime = self.vtime.max(vtime);
        }
        self.count += 1;
        self.cost += ticket.cost.0;
    }

    fn remove(&mut self, ticket: &QueueTicket) {
        self.count -= 1;
        self.cost -= ticket.cost.0;
    }
}

fn level(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_LEVELS - 1)
}

/// The work of refused callers that were told when to return.
#[derive(Debug, Default)]
struct DeferredWork {
    cost: f64,
    updated: Option<Instant>,
}

impl DeferredWork {
    fn advance(&mut self, now: Instant, rate: f64) {
        let passed = self
            .updated
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.cost = (self.cost - passed * rate).max(0.0);
        self.updated = Some(now);
    }
}

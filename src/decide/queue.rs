//! The queue of requests that wait for an endpoint.
//!
//! Answers more work than the endpoints take: a burst, a hot client account or key, an overload that lasts. In a plain
//! first-in-first-out queue the account that sends most gets most, a modest account waits behind all of it, and under a
//! lasting overload every request waits until its deadline and is then run for nobody. Here teams share by virtual time
//! (the cost of what was served, over the weight), accounts share within and across teams likewise, an account may fill
//! only a part of the queue, and whoever would wait past the deadline is refused at once.

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

use crate::decide::drain::Drain;
use crate::decide::recent::RecentUsage;
use crate::decide::recent::Usage;
use crate::ids::AccountId;
use crate::ids::TeamId;
use crate::tokens::Tokens;

/// How many priorities there are, 0 (first) to 9 (last).
const PRIORITY_LEVELS: usize = 10;

/// One account may have one in this many places. A quarter leaves room for the others however many requests one sends,
/// and lets an account that is alone on a router still queue for a burst.
const ACCOUNT_DIVISOR: usize = 4;

/// Those refused together come back over so many times the time that they were told at least.
const RETRY_JITTER: f64 = 1.5;

/// How many times the estimated wait must fit before the deadline. The estimate swings with the drain; at 1, a third of
/// those that waited reached their deadlines all the same and had waited for nothing, at 2 none did.
const WAIT_MARGIN: f64 = 2.0;

/// How many that do not fit are looked at before a pop gives up. At some microseconds for a choice, looking at all of 430
/// teams at each arrival in an overload would take a router's whole time.
const MAX_MISSES: u32 = 8;

/// How often teams and accounts that have nothing waiting and had next to nothing lately are forgotten.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The shortest wait that a refusal asks for.
const MIN_RETRY_S: f64 = 1.0;

/// The longest wait that a refusal asks for. Cut at half of it, a burst's callers came back too soon and were refused
/// again.
const MAX_RETRY_S: f64 = 60.0;

/// The wait that is asked for before any drain was measured.
const DEFAULT_RETRY_S: f64 = 2.0;

/// What is waiting and for how long it may.
#[derive(Clone, Debug)]
pub struct QueueTicket {
    /// Who pays.
    pub team: TeamId,
    /// Who calls.
    pub account: AccountId,
    /// 0 (first) to 9 (last), among the requests of the same team.
    pub priority: u8,
    /// The account's weight against other accounts'.
    pub weight: u32,
    /// What it may cost.
    pub cost: Tokens,
    /// When waiting stops being of use.
    pub deadline: Instant,
}

/// Tells why a request may not wait.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum PushError {
    /// The queue has no place for it.
    #[error("the queue is full")]
    Length {
        /// When to come back.
        retry_after: Duration,
    },
    /// Its client account has filled its part of the queue.
    #[error("the client account has too many requests waiting")]
    Account {
        /// When to come back.
        retry_after: Duration,
    },
    /// It would wait past its deadline.
    #[error("the wait would outlast the deadline")]
    Deadline {
        /// When to come back.
        retry_after: Duration,
    },
}

impl PushError {
    /// Returns when to come back.
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::Length { retry_after }
            | Self::Account { retry_after }
            | Self::Deadline { retry_after } => *retry_after,
        }
    }
}

/// Names one waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitingId(u64);

#[derive(Debug)]
struct Waiting<T> {
    item: T,
    ticket: QueueTicket,
}

/// A team's or an account's part: its virtual time, and what it has waiting.
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

/// A bounded queue, fair over teams and accounts.
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
    /// The virtual time: that of the last one served.
    vtime: f64,
    last_sweep: Option<Instant>,
    drain: Drain,
    deferred: DeferredWork,
    next_id: u64,
    rng: ChaCha8Rng,
}

impl<T> FairQueue<T> {
    /// Makes an empty queue of at most `length` requests.
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
            drain: Drain::default(),
            deferred: DeferredWork::default(),
            next_id: 0,
            rng,
        }
    }

    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many teams and accounts are remembered.
    pub fn flow_count(&self) -> usize {
        self.teams.len() + self.accounts.len()
    }

    /// Lets a request wait.
    ///
    /// # Errors
    ///
    /// Why it may not, when the queue is full, its account has filled its part, or the wait would outlast its deadline.
    pub fn push(
        &mut self,
        now: Instant,
        item: T,
        ticket: QueueTicket,
    ) -> Result<WaitingId, PushError> {
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

    /// Takes out the one to serve next.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        self.pop_where(now, |_, _| true)
    }

    /// Takes out the one to serve next of those for which there is a place; `fits` is also told its account's usage.
    ///
    /// Without a choice, one request that may not go to the endpoint with room, having failed there, would keep all others
    /// waiting. It looks at a few only: requests for one model belong in one queue, and when that model's endpoints are
    /// full, each look at another request is for nothing.
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
            .served(now, waiting.ticket.cost, self.waiting.is_empty());
        Some(waiting.item)
    }

    /// Takes out those that are given up on: past their deadlines, or displaced by an account that has less waiting.
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

    /// Takes out one whose caller no longer waits.
    pub fn cancel(&mut self, now: Instant, id: WaitingId) -> Option<T> {
        let item = self.remove(id)?.item;
        self.stop_if_empty(now);
        Some(item)
    }

    /// Returns when the next one is past its deadline.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Estimates how long a request would wait, once a drain was measured.
    ///
    /// Ahead of it are the whole queue or, where that is less, what its own team has waiting, with as much of each other
    /// team served beside it.
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

    /// Tells when to come back: when the queue has drained, and all that were told so before have come back too.
    ///
    /// Whoever is refused comes again. Told the same time, all of them would be refused again together.
    fn retry_after(&mut self, now: Instant, wait: Option<Duration>, cost: Tokens) -> Duration {
        let rate = self.drain.rate(now);
        self.deferred.advance(now, rate.unwrap_or_default());
        self.deferred.cost += cost.0 as f64;
        let deferred_wait = rate.map_or(0.0, |rate| self.deferred.cost / rate);
        let wait = wait.map_or(DEFAULT_RETRY_S, |w| w.as_secs_f64()) + deferred_wait;
        let wait = wait.clamp(MIN_RETRY_S, MAX_RETRY_S);
        Duration::from_secs_f64(wait * self.rng.random_range(1.0..RETRY_JITTER))
    }

    /// Gives up the newest request of the account with most waiting, for the sake of an account with less.
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
        // Whoever had nothing waiting starts at the present: idle time earns no right to all of the endpoints later.
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

    /// Ends the measuring of the drain when nobody waits.
    fn stop_if_empty(&mut self, now: Instant) {
        if self.is_empty() {
            self.drain.stop(now);
            self.sweep(now);
        }
    }

    /// Forgets teams and accounts that have nothing waiting and are not ahead of the virtual time; all of them when nobody
    /// waits, as nothing is shared then.
    ///
    /// One that was just served is ahead, and nothing of it may come again to remove it by: each of 430,000 teams would
    /// stay for ever, and be looked at by each pop.
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

    /// Tells whether an account used less than its part lately.
    fn usage(&self, now: Instant, account: &AccountId) -> Usage {
        self.recent.usage(now, account)
    }

    /// Finds the first that fits of the first of each team, the team furthest behind first.
    ///
    /// A team's own virtual time is the least that its turn may come at; the account's, which costs a look, is looked at
    /// only for teams whose turn it might be.
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
                        // Passes are never negative, so that their bits are in their order.
                        Reverse((vtime.max(team.flow.vtime).to_bits(), index, Some(id)))
                    }));
                }
            }
        }
        None
    }

    /// Moves the virtual times on by what is served.
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
    /// Returns the one to serve next: of the best priority, the account furthest behind.
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

/// The work of those that were told to come back.
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

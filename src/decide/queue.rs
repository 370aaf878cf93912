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

use crate::decide::drain::DrainRate;
use crate::decide::recent::Recent;
use crate::decide::recent::Usage;
use crate::ids::AccountId;
use crate::ids::TeamId;
use crate::tokens::Tokens;

/// How many priorities there are, 0 (first) to 9 (last).
const PRIORITIES: usize = 10;

/// One account may have one in this many places. A quarter leaves room for the others however many requests one sends,
/// and lets an account that is alone on a router still queue for a burst.
const ACCOUNT_SHARE: usize = 4;

/// Those refused together come back over so many times the time that they were told at least.
const SPREAD: f64 = 1.5;

/// How many times the estimated wait must fit before the deadline. The estimate swings with the drain; at 1, a third of
/// those that waited reached their deadlines all the same and had waited for nothing, at 2 none did.
const MARGIN: f64 = 2.0;

/// How many that do not fit are looked at before a pop gives up. At some microseconds for a choice, looking at all of 430
/// teams at each arrival in an overload would take a router's whole time.
const TRIED: u32 = 8;

/// How often teams and accounts that have nothing waiting and had next to nothing lately are forgotten.
const SWEEP: Duration = Duration::from_secs(1);

/// The shortest wait that a refusal asks for.
const MIN_RETRY: f64 = 1.0;

/// The longest wait that a refusal asks for. Cut at half of it, a burst's callers came back too soon and were refused
/// again.
const MAX_RETRY: f64 = 60.0;

/// The wait that is asked for before any drain was measured.
const UNKNOWN_RETRY: f64 = 2.0;

/// What is waiting and for how long it may.
#[derive(Clone, Debug)]
pub struct Ticket {
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
pub enum Full {
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

impl Full {
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
pub struct Place(u64);

#[derive(Debug)]
struct Waiting<T> {
    item: T,
    ticket: Ticket,
}

/// A team's or an account's part: its virtual time, and what it has waiting.
#[derive(Clone, Debug, Default)]
struct Part {
    pass: f64,
    count: usize,
    cost: u64,
}

#[derive(Debug, Default)]
struct Team {
    part: Part,
    lines: [IndexMap<AccountId, VecDeque<Place>>; PRIORITIES],
}

/// A bounded queue, fair over teams and accounts.
#[derive(Debug)]
pub struct FairQueue<T> {
    length: usize,
    waiting: IndexMap<Place, Waiting<T>>,
    deadlines: BTreeSet<(Instant, Place)>,
    teams: IndexMap<TeamId, Team>,
    accounts: IndexMap<AccountId, Part>,
    /// Given up on to make room.
    displaced: Vec<T>,
    recent: Recent,
    /// The virtual time: that of the last one served.
    pass: f64,
    swept: Option<Instant>,
    drain: DrainRate,
    promised: Promised,
    next: u64,
    rng: ChaCha8Rng,
}

impl<T> FairQueue<T> {
    /// Makes an empty queue of at most `length` requests.
    pub fn new(length: usize, rng: ChaCha8Rng) -> Self {
        Self {
            length,
            waiting: IndexMap::new(),
            deadlines: BTreeSet::new(),
            teams: IndexMap::new(),
            accounts: IndexMap::new(),
            displaced: Vec::new(),
            recent: Recent::default(),
            pass: 0.0,
            swept: None,
            drain: DrainRate::default(),
            promised: Promised::default(),
            next: 0,
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
    pub fn parts(&self) -> usize {
        self.teams.len() + self.accounts.len()
    }

    /// Lets a request wait.
    ///
    /// # Errors
    ///
    /// Why it may not, when the queue is full, its account has filled its part, or the wait would outlast its deadline.
    pub fn push(&mut self, now: Instant, item: T, ticket: Ticket) -> Result<Place, Full> {
        let wait = self.wait(now, &ticket);
        if wait.is_some_and(|wait| now + wait.mul_f64(MARGIN) >= ticket.deadline) {
            let retry_after = self.retry_after(now, wait, ticket.cost);
            return Err(Full::Deadline { retry_after });
        }
        let mine = self.accounts.get(&ticket.account).map_or(0, |a| a.count);
        if mine >= (self.length / ACCOUNT_SHARE).max(1) {
            let retry_after = self.retry_after(now, wait, ticket.cost);
            return Err(Full::Account { retry_after });
        }
        if self.waiting.len() >= self.length && !self.make_room(mine) {
            let retry_after = self.retry_after(now, wait, ticket.cost);
            return Err(Full::Length { retry_after });
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
        let place = self.next_place(|place| {
            let waiting = self.waiting.get(&place);
            waiting.is_some_and(|w| fits(&w.item, self.usage(now, &w.ticket.account)))
        })?;
        let waiting = self.take(place)?;
        self.charge(now, &waiting.ticket);
        self.sweep(now);
        self.drain
            .record(now, waiting.ticket.cost, self.waiting.is_empty());
        Some(waiting.item)
    }

    /// Takes out those that are given up on: past their deadlines, or displaced by an account that has less waiting.
    pub fn expired(&mut self, now: Instant) -> Vec<T> {
        let mut given_up = std::mem::take(&mut self.displaced);
        while let Some((deadline, place)) = self.deadlines.first().copied()
            && deadline <= now
        {
            given_up.extend(self.take(place).map(|w| w.item));
        }
        self.settle(now);
        given_up
    }

    /// Takes out one whose caller no longer waits.
    pub fn cancel(&mut self, now: Instant, place: Place) -> Option<T> {
        let item = self.take(place)?.item;
        self.settle(now);
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
    pub fn wait(&self, now: Instant, ticket: &Ticket) -> Option<Duration> {
        let rate = self.drain.rate(now)?;
        let queued = self.teams.get(&ticket.team).map_or(0, |t| t.part.cost);
        let own = queued + ticket.cost.0;
        let costs = self.teams.values().map(|t| t.part.cost);
        let ahead: u64 = costs.map(|cost| cost.min(own)).sum();
        Some(Duration::from_secs_f64(
            (ahead as f64 / rate).min(MAX_RETRY * 100.0),
        ))
    }

    /// Tells when to come back: when the queue has drained, and all that were told so before have come back too.
    ///
    /// Whoever is refused comes again. Told the same time, all of them would be refused again together.
    fn retry_after(&mut self, now: Instant, wait: Option<Duration>, cost: Tokens) -> Duration {
        let rate = self.drain.rate(now);
        self.promised.pass(now, rate.unwrap_or_default());
        self.promised.cost += cost.0 as f64;
        let booked = rate.map_or(0.0, |rate| self.promised.cost / rate);
        let wait = wait.map_or(UNKNOWN_RETRY, |w| w.as_secs_f64()) + booked;
        let wait = wait.clamp(MIN_RETRY, MAX_RETRY);
        Duration::from_secs_f64(wait * self.rng.random_range(1.0..SPREAD))
    }

    /// Gives up the newest request of the account with most waiting, for the sake of an account with less.
    fn make_room(&mut self, mine: usize) -> bool {
        let Some((most, _)) = self
            .accounts
            .iter()
            .filter(|(_, part)| part.count > mine + 1)
            .max_by_key(|(_, part)| part.count)
        else {
            return false;
        };
        let newest = self
            .waiting
            .iter()
            .filter(|(_, w)| w.ticket.account == *most)
            .map(|(place, _)| *place)
            .max();
        let Some(waiting) = newest.and_then(|place| self.take(place)) else {
            return false;
        };
        self.displaced.push(waiting.item);
        true
    }

    fn insert(&mut self, item: T, ticket: Ticket) -> Place {
        let place = Place(self.next);
        self.next += 1;
        self.deadlines.insert((ticket.deadline, place));
        // Whoever had nothing waiting starts at the present: idle time earns no right to all of the endpoints later.
        let account = self.accounts.entry(ticket.account.clone()).or_default();
        account.join(self.pass, &ticket);
        let team = self.teams.entry(ticket.team.clone()).or_default();
        team.part.join(self.pass, &ticket);
        team.lines[line(ticket.priority)]
            .entry(ticket.account.clone())
            .or_default()
            .push_back(place);
        self.waiting.insert(place, Waiting { item, ticket });
        place
    }

    fn take(&mut self, place: Place) -> Option<Waiting<T>> {
        let waiting = self.waiting.swap_remove(&place)?;
        let ticket = &waiting.ticket;
        self.deadlines.remove(&(ticket.deadline, place));
        if let Some(account) = self.accounts.get_mut(&ticket.account) {
            account.part(ticket);
        }
        if let Some(team) = self.teams.get_mut(&ticket.team) {
            team.part.part(ticket);
            team.forget(ticket, place);
        }
        Some(waiting)
    }

    /// Ends the measuring of the drain when nobody waits.
    fn settle(&mut self, now: Instant) {
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
            self.pass = 0.0;
        }
        if self.swept.is_some_and(|at| now < at + SWEEP) {
            return;
        }
        self.swept = Some(now);
        let pass = self.pass;
        let stays = |part: &Part| part.count > 0 || part.pass > pass;
        self.teams.retain(|_, team| stays(&team.part));
        self.accounts.retain(|_, part| stays(part));
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
    fn next_place<F>(&self, mut fits: F) -> Option<Place>
    where
        F: FnMut(Place) -> bool,
    {
        let bounds = self.teams.values().enumerate();
        let mut turns: BinaryHeap<_> = bounds
            .map(|(at, team)| Reverse((team.part.pass.to_bits(), at, None)))
            .collect();
        let mut left = TRIED;
        while left > 0
            && let Some(Reverse((_, at, place))) = turns.pop()
        {
            let team = &self.teams[at];
            match place {
                Some(place) if fits(place) => return Some(place),
                Some(_) => left -= 1,
                None => {
                    let front = team.front(&self.accounts);
                    turns.extend(front.map(|(place, pass)| {
                        // Passes are never negative, so that their bits are in their order.
                        Reverse((pass.max(team.part.pass).to_bits(), at, Some(place)))
                    }));
                }
            }
        }
        None
    }

    /// Moves the virtual times on by what is served.
    fn charge(&mut self, now: Instant, ticket: &Ticket) {
        let cost = ticket.cost.0.max(1) as f64;
        self.recent.charge(now, &ticket.account, cost);
        let account = self.accounts.entry(ticket.account.clone()).or_default();
        let team = self.teams.entry(ticket.team.clone()).or_default();
        self.pass = self
            .pass
            .max(account.pass.max(team.part.pass).min(self.pass + cost));
        account.pass = account.pass.max(self.pass) + cost / f64::from(ticket.weight.max(1));
        team.part.pass = team.part.pass.max(self.pass) + cost;
    }
}

impl Team {
    /// Returns the one to serve next: of the best priority, the account furthest behind.
    fn front(&self, accounts: &IndexMap<AccountId, Part>) -> Option<(Place, f64)> {
        let line = self.lines.iter().find(|line| !line.is_empty())?;
        line.iter()
            .filter_map(|(id, places)| Some((*places.front()?, accounts.get(id)?.pass)))
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }

    fn forget(&mut self, ticket: &Ticket, place: Place) {
        let lines = &mut self.lines[line(ticket.priority)];
        let Some(line) = lines.get_mut(&ticket.account) else {
            return;
        };
        match line.front() {
            Some(front) if *front == place => drop(line.pop_front()),
            _ => line.retain(|p| *p != place),
        }
        if line.is_empty() {
            lines.swap_remove(&ticket.account);
        }
    }
}

impl Part {
    fn join(&mut self, pass: f64, ticket: &Ticket) {
        if self.count == 0 {
            self.pass = self.pass.max(pass);
        }
        self.count += 1;
        self.cost += ticket.cost.0;
    }

    fn part(&mut self, ticket: &Ticket) {
        self.count -= 1;
        self.cost -= ticket.cost.0;
    }
}

fn line(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

/// The work of those that were told to come back.
#[derive(Debug, Default)]
struct Promised {
    cost: f64,
    at: Option<Instant>,
}

impl Promised {
    fn pass(&mut self, now: Instant, rate: f64) {
        let passed = self
            .at
            .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.cost = (self.cost - passed * rate).max(0.0);
        self.at = Some(now);
    }
}

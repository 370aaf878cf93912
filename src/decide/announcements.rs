//! What endpoints announce about themselves in their answers.
//!
//! Handles an endpoint in trouble that announces how many requests a second it takes from all routers together. The
//! choice by load does not show this: the endpoint answers what it gets, and all routers go on sending to it. Routers
//! exchange what they hear in their heartbeats, so that one that has not sent anything to the endpoint knows as well,
//! and each keeps to its own part of the rate (see [`crate::decide::rate_share`]). Likewise an endpoint that is about to
//! stop announces that it leaves: its entry in the VM list may say so much later, when the store cannot be reached, and
//! requests that are sent until then break off when it stops.
//!
//! An endpoint that turns a request away may ask the router for a time of rest. Without it the endpoint, idle as it
//! looks, is chosen for the next request, which it turns away again, and each of them costs it work and a caller a
//! retry. The router that was asked sends nothing for that time; the others, which it was not said to, avoid the
//! endpoint while there is another.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::announced::Announced;
use crate::decide::announced::Fleet;
use crate::decide::announcement::Announcement;
use crate::decide::announcement::AnnouncementRow;
use crate::decide::announcement::Changes;
use crate::decide::announcement::EndpointLife;
use crate::decide::heard::AnnouncedValue;
use crate::decide::heard::Heard;
use crate::decide::rate_share::ShareBucket;
use crate::decide::unread_sends::UnreadSends;
use crate::ids::RequestId;
use crate::ids::VmId;
use crate::request_rate::RequestRate;

/// How many announcements a heartbeat carries at most. More than that take turns.
const MAX_ROWS: usize = 8;

/// How long it is remembered that a limit was lifted, or what an endpoint announced that is no longer listed. Within
/// this time all other routers have heard of it, and lists that the store could not provide are complete again.
const MEMORY: Duration = Duration::from_secs(60);

/// How many requests a router may send to some endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allowance {
    tokens: f64,
    per_second: f64,
    /// How long until the first of them has rested.
    rest: Option<Duration>,
}

impl Allowance {
    /// Returns how long the last of `count` requests has to wait, or `None` if it is never sent.
    pub fn wait(&self, count: usize) -> Option<Duration> {
        let missing = count as f64 - self.tokens;
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        let wait = Duration::try_from_secs_f64(missing / self.per_second).ok();
        match (wait, self.rest) {
            (Some(wait), Some(rest)) => Some(wait.min(rest)),
            (wait, rest) => wait.or(rest),
        }
    }

    fn add(&mut self, now: Instant, announced: &Announced) {
        let unread = announced.unread.len();
        self.tokens += announced.bucket.sendable(now, unread);
        if !announced.is_stalled(now) {
            self.per_second += announced.bucket.per_second();
        }
    }

    fn record_rest(&mut self, rest: Duration) {
        self.rest = Some(self.rest.map_or(rest, |first| first.min(rest)));
    }
}

/// The announcements of all endpoints that are in force.
#[derive(Debug)]
pub struct Announcements {
    router: VmId,
    routers: Arc<[VmId]>,
    endpoints: IndexMap<VmId, Announced>,
    /// Position of the first row of the next heartbeat.
    next_row: usize,
}

impl Announcements {
    /// Creates the state of a router that has heard nothing.
    pub fn new(router: VmId) -> Self {
        Self {
            routers: Arc::new([router.clone()]),
            router,
            endpoints: IndexMap::new(),
            next_row: 0,
        }
    }

    /// Sets the routers that send requests to the endpoints, this one among them.
    pub fn set_routers(&mut self, now: Instant, routers: Arc<[VmId]>) {
        if self.routers == routers {
            return;
        }
        self.routers = routers;
        self.share_out(now, |_| true);
    }

    /// Records what an endpoint announced in the answer to a request that was sent to it at `sent`, and returns what is
    /// new.
    ///
    /// Answers overtake each other, so that one without a limit lifts it only if its request was sent after the limit
    /// had been heard. An endpoint that leaves does not come back in the same life.
    pub fn record(
        &mut self,
        now: Instant,
        life: &EndpointLife,
        sent: Instant,
        announcement: Announcement,
    ) -> Changes {
        let known = self.known(life);
        let limit = known.and_then(|known| known.limit);
        let limit = announcement.limit.heard(limit, now, sent);
        let tolerance = known.and_then(|known| known.tolerance);
        let tolerance = match announcement.tolerance {
            AnnouncedValue::Unreadable if tolerance.is_none() => {
                AnnouncedValue::Value(0).heard(None, now, sent)
            }
            // One of which nothing was known counts as brittle while others are.
            AnnouncedValue::None if tolerance.is_none() && self.has_brittle() => Some(Heard {
                value: None,
                at: now,
            }),
            said => said.heard(tolerance, now, sent),
        };
        let rest = announcement.rest.and_then(|rest| now.checked_add(rest));
        let update = Update {
            heard: now,
            limit,
            tolerance,
            leaving: announcement.leaving,
        };
        if !update.any() && rest.is_none() {
            return Changes::default();
        }
        let mut changes = self.put(now, life, &update);
        if let Some(announced) = self.endpoints.get_mut(&life.vm) {
            changes.rest = rest > announced.rest_until;
            announced.rest_until = announced.rest_until.max(rest);
        }
        changes
    }

    /// Takes over what another router knows, as far as it was heard later, and returns what is new.
    pub fn merge(&mut self, now: Instant, row: &AnnouncementRow) -> Changes {
        let Some(heard) = now.checked_sub(row.age) else {
            return Changes::default();
        };
        let known = self.known(&row.life);
        let limit = row.limit.and_then(|limit| {
            let known = known.and_then(|known| known.limit);
            Heard::from_peer(known, now, limit)
        });
        let tolerance = row.tolerance.and_then(|tolerance| {
            let known = known.and_then(|known| known.tolerance);
            Heard::from_peer(known, now, tolerance)
        });
        let rest = now.checked_add(row.rest).filter(|until| *until > now);
        let update = Update {
            heard,
            limit,
            tolerance,
            leaving: row.leaving,
        };
        if !update.any() && rest.is_none() {
            return Changes::default();
        }
        let changes = self.put(now, &row.life, &update);
        if let Some(announced) = self.endpoints.get_mut(&row.life.vm) {
            announced.change_unread(now, |unread| unread.record_peer_answer(heard));
            announced.others_until = announced.others_until.max(rest);
        }
        changes
    }

    /// Returns what the next heartbeat tells the other routers.
    pub fn rows(&self, now: Instant) -> Vec<AnnouncementRow> {
        let all = self.endpoints.iter().cycle().skip(self.next_row);
        let rows = all.take(self.endpoints.len().min(MAX_ROWS));
        let rows = rows.map(|(vm, announced)| AnnouncementRow {
            life: EndpointLife {
                vm: vm.clone(),
                birth: announced.birth.clone(),
            },
            age: now.saturating_duration_since(announced.heard),
            limit: announced.limit.map(|limit| limit.row(now)),
            tolerance: announced.tolerance.map(|tolerance| tolerance.row(now)),
            leaving: announced.leaving,
            rest: announced.rest_left(now),
        });
        rows.collect()
    }

    /// Drops what former lives of endpoints announced, and what is no longer needed; `birth` returns when the current life
    /// of a listed endpoint began.
    pub fn prune<F>(&mut self, now: Instant, birth: F)
    where
        F: Fn(&VmId) -> Option<Option<String>>,
    {
        self.endpoints.retain(|vm, announced| {
            let old = now >= announced.heard + MEMORY;
            match birth(vm) {
                Some(birth) => birth == announced.birth && !(old && announced.is_over(now)),
                None => !old,
            }
        });
    }

    /// Moves on to the rows of the next heartbeat, and to the next round of parts where it is due.
    pub fn advance(&mut self, now: Instant) {
        self.next_row = match self.endpoints.len() {
            0 => 0,
            count => (self.next_row + MAX_ROWS) % count,
        };
        self.share_out(now, |announced| announced.round != announced.round_at(now));
    }

    /// Returns the limit that an endpoint announced and has not lifted since.
    pub fn limit(&self, vm: &VmId) -> Option<RequestRate> {
        self.endpoints.get(vm)?.rate()
    }

    /// Returns how many requests an endpoint can reject in any second, if it announced that it is brittle and has not
    /// lifted that since.
    pub fn tolerance(&self, vm: &VmId) -> Option<u32> {
        self.endpoints.get(vm)?.tolerance?.value
    }

    /// Returns whether an endpoint answered without announcing that it is brittle, after it had done so or others had.
    pub fn is_sound(&self, vm: &VmId) -> bool {
        let announced = self.endpoints.get(vm);
        let tolerance = announced.and_then(|announced| announced.tolerance);
        tolerance.is_some_and(|tolerance| tolerance.value.is_none())
    }

    fn has_brittle(&self) -> bool {
        self.endpoints.values().any(Announced::is_brittle)
    }

    /// Returns whether an endpoint announced that it leaves.
    pub fn is_leaving(&self, vm: &VmId) -> bool {
        self.endpoints.get(vm).is_some_and(|a| a.leaving)
    }

    /// Returns how much longer an endpoint wants nothing from this router.
    pub fn rest_left(&self, now: Instant, vm: &VmId) -> Duration {
        let announced = self.endpoints.get(vm);
        announced.map_or(Duration::ZERO, |announced| announced.rest_left(now))
    }

    /// Returns whether an endpoint announced that it takes nothing more from this router, for good or for now. Its limit
    /// does not count: a request that was chosen for the endpoint has its part of it.
    pub fn turns_away(&self, now: Instant, vm: &VmId) -> bool {
        self.is_leaving(vm) || !self.rest_left(now, vm).is_zero()
    }

    /// Returns the endpoints to which this router may not send a request now.
    pub fn closed(&self, now: Instant) -> Vec<VmId> {
        self.select(|announced| !announced.is_open(now))
    }

    /// Returns the endpoints that turned requests of other routers away, and that are to be used only if there is no
    /// other.
    pub fn avoided(&self, now: Instant) -> Vec<VmId> {
        self.select(|announced| announced.others_until.is_some_and(|until| now < until))
    }

    fn select<F>(&self, selects: F) -> Vec<VmId>
    where
        F: Fn(&Announced) -> bool,
    {
        let selected = self.endpoints.iter().filter(|(_, a)| selects(a));
        selected.map(|(vm, _)| vm.clone()).collect()
    }

    /// Returns how many requests this router may send to some endpoints in all, if all of them are limited or resting.
    pub fn allowance<'a, I>(&self, now: Instant, endpoints: I) -> Option<Allowance>
    where
        I: IntoIterator<Item = &'a VmId>,
    {
        let mut allowance = None;
        for vm in endpoints {
            let announced = self.endpoints.get(vm)?;
            let rest = announced.rest_left(now);
            let sum = allowance.get_or_insert(Allowance::default());
            match announced.rate() {
                _ if !rest.is_zero() => sum.record_rest(rest),
                Some(_) => sum.add(now, announced),
                None => return None,
            }
        }
        allowance
    }

    /// Counts a request that is sent to an endpoint.
    pub fn record_send(&mut self, now: Instant, vm: &VmId, request: RequestId) {
        if let Some(announced) = self.limited_mut(vm) {
            let asks = !announced.admits(now);
            announced.bucket.record_send(now);
            announced.unread.record_send(now, request, asks);
        }
    }

    /// Records requests that were sent to an endpoint, each with the time of its sending, before its limit was known.
    pub fn record_earlier_sends(&mut self, vm: &VmId, sends: &[(RequestId, Instant)]) {
        if let Some(announced) = self.limited_mut(vm) {
            for (request, at) in sends {
                announced.unread.remove(*request);
                announced.unread.record_send(*at, *request, false);
            }
        }
    }

    /// Records that an endpoint answered a request that was sent to it at `sent`. Returns whether this router had waited for
    /// that, as other routers may do.
    pub fn record_read(
        &mut self,
        now: Instant,
        vm: &VmId,
        request: RequestId,
        sent: Instant,
    ) -> bool {
        self.limited_mut(vm).is_some_and(|announced| {
            let waited = announced.is_stalled(now);
            announced.change_unread(now, |unread| unread.record_answer(request, sent));
            waited
        })
    }

    /// Records that a request was not sent to an endpoint, or that the endpoint closed its connection.
    pub fn record_unsent(&mut self, now: Instant, vm: &VmId, request: RequestId) {
        if let Some(announced) = self.limited_mut(vm) {
            announced.change_unread(now, |unread| unread.remove(request));
        }
    }

    /// Records that a request was given up before its endpoint answered, so that the endpoint may still read it. Returns
    /// whether nothing more may be sent to the endpoint until it has read on.
    pub fn record_given_up(&mut self, now: Instant, vm: &VmId, request: RequestId) -> bool {
        self.limited_mut(vm).is_some_and(|announced| {
            announced.unread.give_up(now, request);
            announced.bucket.is_full(announced.unread.len())
        })
    }

    /// Returns how many requests of this router a limited endpoint may not have read.
    pub fn unread(&self, vm: &VmId) -> usize {
        self.endpoints.get(vm).map_or(0, |a| a.unread.len())
    }

    fn limited_mut(&mut self, vm: &VmId) -> Option<&mut Announced> {
        let announced = self.endpoints.get_mut(vm);
        announced.filter(|announced| announced.rate().is_some())
    }

    /// Divides the limits that `due` selects among the routers.
    fn share_out<F>(&mut self, now: Instant, due: F)
    where
        F: Fn(&Announced) -> bool,
    {
        let fleet = Fleet {
            router: &self.router,
            routers: &self.routers,
        };
        let changed = self.endpoints.iter_mut();
        for (vm, announced) in changed.filter(|(_, announced)| due(announced)) {
            announced.share_out(now, vm, &fleet);
        }
    }

    fn known(&self, life: &EndpointLife) -> Option<&Announced> {
        let known = self.endpoints.get(&life.vm);
        known.filter(|known| known.birth == life.birth)
    }

    /// Stores what is new of an endpoint.
    fn put(&mut self, now: Instant, life: &EndpointLife, update: &Update) -> Changes {
        let fleet = Fleet {
            router: &self.router,
            routers: &self.routers,
        };
        let announced = self.endpoints.entry(life.vm.clone());
        let announced = announced.or_insert_with(|| Announced::new(now, life, update.heard));
        if announced.birth != life.birth {
            *announced = Announced::new(now, life, update.heard);
        }
        announced.heard = announced.heard.max(update.heard);
        let before = announced.rate();
        let tolerated = announced.tolerance.and_then(|known| known.value);
        let changes = Changes {
            limit: update.limit.is_some_and(|limit| limit.value != before),
            tolerance: update.tolerance.is_some_and(|new| new.value != tolerated),
            leaving: update.leaving && !announced.leaving,
            rest: false,
        };
        announced.leaving |= update.leaving;
        announced.tolerance = update.tolerance.or(announced.tolerance);
        announced.limit = update.limit.or(announced.limit);
        if announced.rate().is_none() {
            announced.unread = UnreadSends::default();
        }
        if changes.limit {
            if before.is_none() {
                announced.bucket = ShareBucket::new(now);
            }
            announced.share_out(now, &life.vm, &fleet);
        }
        changes
    }
}

/// What is new of an endpoint.
struct Update {
    /// When any router heard it from the endpoint itself.
    heard: Instant,
    limit: Option<Heard<RequestRate>>,
    tolerance: Option<Heard<u32>>,
    leaving: bool,
}

impl Update {
    fn any(&self) -> bool {
        self.limit.is_some() || self.tolerance.is_some() || self.leaving
    }
}

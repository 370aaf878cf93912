//! Test fixture: a fleet of routers that exchange heartbeats, and endpoints that announce something about themselves.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::decide::AnnouncedValue;
use crate::decide::Announcement;
use crate::ids::PoolId;
use crate::ids::RequestId;
use crate::ids::VmId;
use crate::router::Effect;
use crate::router::Event;
use crate::router::Peer;
use crate::router::PeerFailure;
use crate::router::Run;
use crate::router::RunEnd;
use crate::router::request::State;
use crate::router::tests::retry_count::RetryCount;
use crate::router::tests::site::Site;
use crate::router::tests::site::broken_run;
use crate::router::tests::site::entry;
use crate::vms::VmEntry;
use crate::vms::VmList;

mod counts;

/// How many endpoints the second pool has.
pub(crate) const APPS: usize = 3;
/// The share of requests that a refusing endpoint turns away.
const REFUSED: f64 = 0.6;
/// How long one step of the simulation takes.
const STEP: Duration = Duration::from_millis(20);
/// How long an endpoint takes to answer, unless a test has it take longer.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// How long a router may take to act on what it was told.
const REACTION: Duration = Duration::from_millis(500);
/// The window in which the requests to a limited endpoint are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the most requests that an endpoint may get in a window from routers that know its limit.
pub(crate) fn allowed(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64() + 5.0).ceil() as usize
}

/// How endpoints answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Manner {
    /// They serve all requests.
    Serve,
    /// Those without a limit turn all requests away.
    TurnAway,
}

/// A request on its way back to a router.
struct Answer {
    due: Duration,
    site: usize,
    id: RequestId,
    run: Box<Run>,
    /// Whether the endpoint had no room for it.
    rejected: bool,
}

/// A request in the sockets of a paused endpoint.
struct Unread {
    site: usize,
    life: usize,
    id: RequestId,
    pool: Option<PoolId>,
    run: Box<Run>,
    /// Whether the router knew a limit of the endpoint when it sent it.
    informed: bool,
}

/// A fleet of routers that exchange heartbeats, and endpoints that announce limits.
pub(crate) struct Fleet {
    pub(crate) sites: Vec<Site>,
    pub(crate) elapsed: Duration,
    pub(crate) manner: Manner,
    pub(crate) limits: IndexMap<VmId, f64>,
    pub(crate) leaving: IndexSet<VmId>,
    /// Endpoints that turn all requests away, and the rest that they ask for.
    pub(crate) rests: IndexMap<VmId, Duration>,
    answers: Vec<Answer>,
    unread: Vec<Unread>,
    endpoints: usize,
    /// The version of the last VM list.
    lists: u64,
    /// Share of the heartbeats that are lost.
    pub(crate) loss: f64,
    rng: ChaCha8Rng,
    /// When each router was first told that an endpoint leaves.
    warned: IndexMap<(usize, VmId), Duration>,
    /// When each router was first told of an endpoint's limit.
    told: IndexMap<(usize, VmId), Duration>,
    /// The times in which each router was asked to send nothing to an endpoint.
    pub(crate) asked: IndexMap<(usize, VmId), Vec<(Duration, Duration)>>,
    /// How many requests arrived in these times.
    pub(crate) disturbed: usize,
    /// How many requests arrived at endpoints from routers to which they had announced that they leave.
    pub(crate) after_leaving: usize,
    /// Requests to endpoints by routers that had been told of their limits.
    informed: IndexMap<VmId, Vec<(usize, Duration)>>,
    /// All requests to each endpoint.
    received: IndexMap<VmId, Vec<Duration>>,
    /// How many times each router was restarted.
    lives: Vec<usize>,
    /// The routes that callers ask for in turn.
    pub(crate) routes: Vec<&'static str>,
    /// Endpoints that turn most requests away.
    pub(crate) refusing: IndexSet<VmId>,
    /// Endpoints whose answers break off after they began.
    pub(crate) breaking: IndexSet<VmId>,
    /// Endpoints that never answer.
    pub(crate) silent: IndexSet<VmId>,
    /// Endpoints that read nothing, but all that was sent to them once they go on.
    pub(crate) paused: IndexSet<VmId>,
    /// Requests and arrivals at each pool.
    pub(crate) retry_counts: IndexMap<PoolId, RetryCount>,
    /// The endpoints at which retries arrived.
    pub(crate) retried_at: Vec<VmId>,
    /// How many requests an endpoint holds, if that is limited.
    pub(crate) room: Option<usize>,
    /// How many rejections brittle endpoints tolerate in a second.
    pub(crate) tolerances: IndexMap<VmId, u32>,
    /// When endpoints rejected requests for want of room.
    pub(crate) rejections: Vec<(VmId, Duration)>,
    pub(crate) served: usize,
    /// How long endpoints take to answer.
    pub(crate) service_time: Duration,
    /// Routers that are killed.
    pub(crate) dead: IndexSet<usize>,
    /// Whether heartbeats are answered with the receiver's own.
    pub(crate) answers_beats: bool,
}

pub(crate) fn endpoint(n: usize) -> VmId {
    format!("engine-{n}").parse().expect("a name")
}

pub(crate) fn pool_name(text: &str) -> PoolId {
    text.parse().expect("a name")
}

/// Returns the name of an endpoint of the second pool.
pub(crate) fn app(n: usize) -> VmId {
    format!("app-{n}").parse().expect("a name")
}

pub(crate) fn vms(routers: usize, endpoints: usize) -> Vec<VmEntry> {
    let engines = (0..endpoints).map(|n| entry(&format!("engine-{n}"), 9100, &[("pool", "pool")]));
    let routers = (0..routers).map(|n| {
        let peer = format!("127.0.0.1:{}", 20_000 + n);
        let role = [("role", "router"), ("peer", peer.as_str())];
        entry(&format!("router-{n}"), 8001, &role)
    });
    let apps = (0..APPS).map(|n| entry(&format!("app-{n}"), 9200, &[("pool", "app")]));
    engines.chain(apps).chain(routers).collect()
}

fn router_number(peer: &Peer) -> usize {
    let number = peer.vm.as_str().strip_prefix("router-");
    number.and_then(|n| n.parse().ok()).expect("a router")
}

impl Fleet {
    pub(crate) fn start(routers: usize, endpoints: usize) -> Self {
        let vms = vms(routers, endpoints);
        Self {
            sites: (0..routers)
                .map(|n| Site::start_member(n, 1_000_000, vms.clone()))
                .collect(),
            elapsed: Duration::ZERO,
            manner: Manner::Serve,
            limits: IndexMap::new(),
            leaving: IndexSet::new(),
            rests: IndexMap::new(),
            answers: Vec::new(),
            unread: Vec::new(),
            endpoints,
            lists: 3,
            loss: 0.0,
            rng: ChaCha8Rng::seed_from_u64(1),
            warned: IndexMap::new(),
            told: IndexMap::new(),
            asked: IndexMap::new(),
            disturbed: 0,
            after_leaving: 0,
            informed: IndexMap::new(),
            received: IndexMap::new(),
            lives: vec![0; routers],
            routes: vec!["again"],
            refusing: IndexSet::new(),
            breaking: IndexSet::new(),
            silent: IndexSet::new(),
            paused: IndexSet::new(),
            retry_counts: IndexMap::new(),
            retried_at: Vec::new(),
            room: None,
            tolerances: IndexMap::new(),
            rejections: Vec::new(),
            served: 0,
            service_time: SERVICE_TIME,
            dead: IndexSet::new(),
            answers_beats: false,
        }
    }

    /// Has all routers together receive `rate` requests a second for a time.
    pub(crate) fn run(&mut self, secs: f64, rate: f64) {
        let end = self.elapsed + Duration::from_secs_f64(secs);
        let mut due = 0.0;
        let mut next = 0;
        while self.elapsed < end {
            due += rate * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                let site = next % self.sites.len();
                if !self.dead.contains(&site) {
                    self.send(site, self.routes[next % self.routes.len()]);
                }
                next += 1;
            }
            self.step();
        }
    }

    /// Sends a request to a router, and counts it for the pool to which the router assigns it. One that was refused at
    /// once counts for each pool of its route.
    pub(crate) fn send(&mut self, site: usize, route: &str) -> RequestId {
        let id = self.sites[site].send(route, 0, 0);
        let request = self.sites[site].core.requests.get(&id);
        let pools = match (request, route) {
            (Some(request), _) => vec![request.pool.clone()],
            (None, "app") => vec![pool_name("app")],
            (None, "split") => vec![pool_name("pool"), pool_name("app")],
            (None, _) => vec![pool_name("pool")],
        };
        for pool in pools {
            let count = self.retry_counts.entry(pool).or_default();
            count.requests.push(self.elapsed);
        }
        id
    }

    /// Restarts a router, which excuses what it sends until it is told anew.
    pub(crate) fn restart(&mut self, site: usize) {
        self.kill(site, true);
    }

    /// Restarts a router; `former` tells whether its former life is still listed.
    pub(crate) fn kill(&mut self, site: usize, former: bool) {
        let vms = self.sites[site].core.members.vm_index.list().vms.clone();
        self.sites[site] = Site::start_member(site, 1_000_000, vms);
        if former {
            self.sites[site].handle(Event::FormerLife);
        }
        self.answers.retain(|answer| answer.site != site);
        self.lives[site] += 1;
        self.told.retain(|(of, _), _| *of != site);
        self.warned.retain(|(of, _), _| *of != site);
        self.asked.retain(|(of, _), _| *of != site);
        for times in self.informed.values_mut() {
            times.retain(|(of, _)| *of != site);
        }
    }

    /// Has one router read a VM list that lacks the last router, or a whole one.
    pub(crate) fn change_list(&mut self, rng: &mut ChaCha8Rng) {
        let routers = self.sites.len();
        let known = routers - usize::from(rng.random_bool(0.5) && routers > 2);
        let site = rng.random_range(0..routers);
        self.lists += 1;
        self.sites[site].handle(Event::VmList(VmList {
            as_of: self.lists,
            vms: vms(known, self.endpoints),
        }));
    }

    pub(crate) fn step(&mut self) {
        self.elapsed += STEP;
        for (number, site) in self.sites.iter_mut().enumerate() {
            if !self.dead.contains(&number) {
                site.advance(STEP.as_millis() as u64);
            }
        }
        self.read_sockets();
        self.deliver_answers();
        self.carry_out();
    }

    /// Has the endpoints that are not paused any more read what they were sent meanwhile.
    fn read_sockets(&mut self) {
        let paused = &self.paused;
        let read = |unread: &mut Unread| !paused.contains(&unread.run.endpoint);
        let read: Vec<_> = self.unread.extract_if(.., read).collect();
        for unread in read {
            self.count_arrival(&unread);
            if self.is_running(&unread) {
                self.answer(unread);
            }
        }
    }

    fn deliver_answers(&mut self) {
        let now = self.elapsed;
        let (due, later) = self.answers.drain(..).partition(|answer| answer.due <= now);
        self.answers = later;
        let due: Vec<Answer> = due;
        for answer in due {
            self.deliver(answer);
        }
    }

    fn deliver(&mut self, answer: Answer) {
        let vm = &answer.run.endpoint;
        let limit = self.limits.get(vm).copied();
        let announcement = Announcement {
            limit: limit.map_or(AnnouncedValue::None, |rate| {
                AnnouncedValue::Value(rate.try_into().expect("a rate"))
            }),
            leaving: self.leaving.contains(vm),
            rest: self.rests.get(vm).copied(),
            tolerance: self
                .tolerances
                .get(vm)
                .map_or_else(AnnouncedValue::default, |count| {
                    AnnouncedValue::Value(*count)
                }),
        };
        let site = &mut self.sites[answer.site];
        if answer.run.limited || announcement != Announcement::default() {
            site.handle(Event::EndpointAnnounced(answer.id, announcement));
        }
        if let Some(rest) = announcement.rest {
            let until = self.elapsed + rest;
            let rests = self.asked.entry((answer.site, vm.clone())).or_default();
            rests.push((self.elapsed + REACTION, until));
        }
        if announcement.leaving {
            let warned = self.warned.entry((answer.site, vm.clone()));
            warned.or_insert(self.elapsed);
        }
        if limit.is_some() {
            let told = self.told.entry((answer.site, vm.clone()));
            told.or_insert(self.elapsed);
        }
        self.served += usize::from(!answer.rejected);
        let end = match self.manner {
            _ if answer.rejected => RunEnd::NotRun { retry: None },
            _ if announcement.rest.is_some() => RunEnd::NotRun {
                retry: announcement.rest,
            },
            _ if self.refusing.contains(vm) && self.rng.random_bool(REFUSED) => {
                RunEnd::NotRun { retry: None }
            }
            _ if self.breaking.contains(vm) => broken_run(true),
            Manner::TurnAway if limit.is_none() => RunEnd::NotRun { retry: None },
            _ => RunEnd::Answered {
                status: 200,
                body: None,
            },
        };
        site.handle(Event::RunEnded(answer.id, end));
    }

    /// Passes heartbeats and messages about slots on, and requests to endpoints.
    fn carry_out(&mut self) {
        let mut beats = Vec::new();
        // Messages about slots, and what follows from them, take less than a step.
        loop {
            let mut slots = Vec::new();
            for site in 0..self.sites.len() {
                for effect in std::mem::take(&mut self.sites[site].effects) {
                    match effect {
                        Effect::Run(id, run) => self.receive(site, id, run),
                        Effect::SendHeartbeat(beat, peers) => beats.push((site, beat, peers)),
                        Effect::SendSlots(messages, peer) => slots.push((peer, messages)),
                        Effect::Abandon(id) => self.end_run(site, id, RunEnd::given_up()),
                        Effect::Abort(id, _) => {
                            self.end_run(site, id, RunEnd::CallerGone { usage: None });
                        }
                        _ => {}
                    }
                }
            }
            if slots.is_empty() {
                break;
            }
            for (peer, messages) in slots {
                let number = router_number(&peer);
                if !self.dead.contains(&number) && !self.rng.random_bool(self.loss) {
                    self.sites[number].handle(Event::Slots(messages));
                }
            }
        }
        for (from, beat, peers) in beats {
            for peer in peers {
                if self.rng.random_bool(self.loss) {
                    continue;
                }
                let number = router_number(&peer);
                if self.dead.contains(&number) {
                    let failure = Event::HeartbeatFailed(peer.vm, PeerFailure::Refused);
                    self.sites[from].handle(failure);
                    continue;
                }
                self.sites[number].handle(Event::HeartbeatReceived(beat.clone()));
                if self.answers_beats {
                    let site = &self.sites[number];
                    let answer = site.core.heartbeat(site.now);
                    self.sites[from].handle(Event::HeartbeatReceived(answer));
                }
            }
        }
    }

    /// Ends a run before its endpoint answered.
    fn end_run(&mut self, site: usize, id: RequestId, end: RunEnd) {
        let over = |answer: &Answer| answer.site == site && answer.id == id;
        self.answers.retain(|answer| !over(answer));
        self.sites[site].handle(Event::RunEnded(id, end));
    }

    fn receive(&mut self, site: usize, id: RequestId, run: Box<Run>) {
        let vm = run.endpoint.clone();
        let told = self.told.get(&(site, vm.clone()));
        let informed = told.is_some_and(|at| self.elapsed >= *at + REACTION);
        let warned = self.warned.get(&(site, vm.clone()));
        self.after_leaving += usize::from(warned.is_some_and(|at| self.elapsed >= *at + REACTION));
        let asked = self.asked.get(&(site, vm.clone()));
        let mut asked = asked.into_iter().flatten();
        let now = self.elapsed;
        self.disturbed += usize::from(asked.any(|(from, until)| (*from..*until).contains(&now)));
        let core = &self.sites[site].core;
        let unread = Unread {
            site,
            life: self.lives[site],
            id,
            pool: core.requests.get(&id).map(|request| request.pool.clone()),
            run,
            informed,
        };
        if self.paused.contains(&vm) {
            self.unread.push(unread);
            return;
        }
        self.count_arrival(&unread);
        self.answer(unread);
    }

    fn count_arrival(&mut self, unread: &Unread) {
        let vm = &unread.run.endpoint;
        let told = self.told.contains_key(&(unread.site, vm.clone()));
        if unread.informed && told && self.limits.contains_key(vm) {
            let informed = self.informed.entry(vm.clone()).or_default();
            informed.push((unread.site, self.elapsed));
        }
        let Some(pool) = &unread.pool else {
            return;
        };
        let count = self.retry_counts.entry(pool.clone()).or_default();
        if count.record_arrival(self.elapsed, (unread.site, unread.life, unread.id)) {
            self.retried_at.push(unread.run.endpoint.clone());
        }
    }

    /// Returns whether the router still waits for the endpoint's answer.
    fn is_running(&self, unread: &Unread) -> bool {
        if unread.life != self.lives[unread.site] {
            return false;
        }
        let request = self.sites[unread.site].core.requests.get(&unread.id);
        match request.map(|request| &request.state) {
            Some(State::Running { endpoint, .. }) => *endpoint == unread.run.endpoint,
            _ => false,
        }
    }

    fn answer(&mut self, unread: Unread) {
        let Unread { site, id, run, .. } = unread;
        let vm = run.endpoint.clone();
        if self.silent.contains(&vm) {
            return;
        }
        let running = self.answers.iter();
        let running = running.filter(|answer| !answer.rejected && answer.run.endpoint == vm);
        let rejected = self.room.is_some_and(|room| running.count() >= room);
        let mut due = self.elapsed + self.service_time;
        if rejected {
            due = self.elapsed;
            self.rejections.push((vm.clone(), self.elapsed));
        }
        self.received.entry(vm).or_default().push(self.elapsed);
        self.answers.push(Answer {
            due,
            site,
            id,
            run,
            rejected,
        });
    }
}

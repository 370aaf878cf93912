//! Routers of fleets of any size that send all that they may to a limited endpoint, which is paused and then reads all at
//! once.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jasmineridge::AnnouncedValue;
use jasmineridge::Announcement;
use jasmineridge::Announcements;
use jasmineridge::EndpointLife;
use jasmineridge::RequestId;
use jasmineridge::RequestRate;
use jasmineridge::VmId;

use crate::name;
use crate::start;

const STEP: Duration = Duration::from_millis(50);
const WINDOW: Duration = Duration::from_secs(4);
/// How long routers wait for an answer until they give a request up.
const PATIENCE: Duration = Duration::from_millis(800);
/// How often routers tell each other what they heard.
const HEARTBEAT: u32 = 10;

/// A request that the endpoint has not read.
struct Unread {
    router: usize,
    id: RequestId,
    sent: Instant,
    given_up: bool,
}

struct Play {
    now: Instant,
    life: EndpointLife,
    rate: RequestRate,
    routers: Vec<Announcements>,
    unread: Vec<Unread>,
    paused: bool,
    last: u64,
    reads: VecDeque<Instant>,
    /// The most requests that were read in a window.
    most: usize,
    steps: u32,
}

impl Play {
    /// Starts a fleet to all of whose routers the endpoint has named its limit.
    fn new(size: usize, rate: f64) -> Self {
        let vms: Vec<VmId> = (0..size).map(|n| name(&format!("router-{n}"))).collect();
        let vms: Arc<[VmId]> = vms.into();
        let now = start();
        let life = EndpointLife {
            vm: name("endpoint"),
            birth: None,
        };
        let rate = RequestRate::try_from(rate).expect("a rate");
        let routers = vms.iter().map(|vm| {
            let mut router = Announcements::new(vm.clone());
            router.set_routers(now, vms.clone());
            router.record(now, &life, now, limited(rate));
            router
        });
        Self {
            now,
            routers: routers.collect(),
            life,
            rate,
            unread: Vec::new(),
            paused: false,
            last: 0,
            reads: VecDeque::new(),
            most: 0,
            steps: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            self.give_up();
            self.read();
            self.send();
            self.read();
            if self.steps.is_multiple_of(HEARTBEAT) {
                self.exchange_heartbeats();
            }
        }
    }

    /// Has each router send as many requests as it may.
    fn send(&mut self) {
        for (number, router) in self.routers.iter_mut().enumerate() {
            while router.closed(self.now).is_empty() {
                self.last += 1;
                let id = RequestId(self.last);
                router.record_send(self.now, &self.life.vm, id);
                self.unread.push(Unread {
                    router: number,
                    id,
                    sent: self.now,
                    given_up: false,
                });
            }
        }
    }

    fn give_up(&mut self) {
        for unread in &mut self.unread {
            if !unread.given_up && self.now >= unread.sent + PATIENCE {
                unread.given_up = true;
                let router = &mut self.routers[unread.router];
                router.record_given_up(self.now, &self.life.vm, unread.id);
            }
        }
    }

    /// Has the endpoint read all that it was sent, and answer what is awaited.
    fn read(&mut self) {
        if self.paused {
            return;
        }
        for unread in self.unread.drain(..) {
            self.reads.push_back(self.now);
            if unread.given_up {
                continue;
            }
            let router = &mut self.routers[unread.router];
            router.record(self.now, &self.life, unread.sent, limited(self.rate));
            router.record_read(self.now, &self.life.vm, unread.id, unread.sent);
        }
        while self
            .reads
            .front()
            .is_some_and(|at| *at + WINDOW <= self.now)
        {
            self.reads.pop_front();
        }
        self.most = self.most.max(self.reads.len());
    }

    /// Has the router that heard the endpoint last tell all others.
    fn exchange_heartbeats(&mut self) {
        let rows = self.routers.iter().flat_map(|router| router.rows(self.now));
        let Some(row) = rows.min_by_key(|row| row.age) else {
            return;
        };
        for router in &mut self.routers {
            router.merge(self.now, &row);
        }
    }
}

fn limited(rate: RequestRate) -> Announcement {
    Announcement {
        limit: AnnouncedValue::Value(rate),
        ..Announcement::default()
    }
}

/// Guards against routers that go on sending at a limited endpoint's rate while it is paused, so that it reads more at once
/// than it takes.
#[test]
fn a_paused_endpoint_reads_no_more_than_its_limit_allows() {
    for size in [1, 2, 3, 5, 7, 13, 60, 985] {
        for rate in [0.1, 0.3, 1.1, 3.1, 10.0, 100.0, 1000.0] {
            let allowed = 1.5 * rate * WINDOW.as_secs_f64() + 5.0;
            for pause in [1, 3, 7, 13, 30, 100] {
                let mut play = Play::new(size, rate);
                play.run(Duration::from_secs(5));
                play.paused = true;
                play.run(Duration::from_secs(pause));
                play.paused = false;
                play.run(Duration::from_secs(9));
                let most = play.most;
                assert!(
                    most as f64 <= allowed,
                    "{size} routers, {rate} a second, {pause} s: {most} of {allowed}"
                );
            }
        }
    }
}

/// Guards against an endpoint that gets nothing after a pause, since each router waits until another one has heard from it.
#[test]
fn an_endpoint_is_used_again_after_a_pause() {
    for size in [1, 3, 7, 60, 985] {
        for rate in [1.1, 3.1, 100.0] {
            let mut play = Play::new(size, rate);
            play.run(Duration::from_secs(5));
            play.paused = true;
            play.run(Duration::from_secs(7));
            play.paused = false;
            play.run(Duration::from_secs(15));
            let before = play.last;
            play.run(Duration::from_secs(20));
            let share = (play.last - before) as f64 / (rate * 20.0);
            assert!(share >= 0.9, "{size} routers, {rate} a second: {share}");
        }
    }
}

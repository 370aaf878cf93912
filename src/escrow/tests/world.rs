//! Two routers, one budget and a log that loses answers.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_128;

use crate::escrow::GrantChange;
use crate::escrow::GrantKey;
use crate::escrow::GrantRow;
use crate::escrow::GrantState;
use crate::escrow::Proposal;
use crate::escrow::SpendPace;
use crate::explore::Model;
use crate::ids::Incarnation;
use crate::ids::Offset;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::moment::BootId;
use crate::moment::ClockReading;
use crate::moment::HostId;
use crate::moment::Moment;
use crate::moment::Span;
use crate::tokens::TokenRate;
use crate::tokens::Tokens;

/// What is spent or lent at once; what the team prepaid, and what a router draws, are some of it.
const UNIT: u64 = 10;
const PREPAID: u64 = 3 * UNIT;
const DRAW: u64 = 2 * UNIT;

/// What a promise lets be used at once, and for each second since.
const ROOM: u64 = 0;
const RATE: u64 = 1;

/// How long it takes until the rate lets one unit more be used.
const TICK: Duration = Duration::from_secs(UNIT / RATE);

/// How many ticks pass at most, beyond those at the beginning of a history.
const TICKS: u64 = 2;

/// How far the first VM's time of day is ahead until it loses its power: so far that a third of two ticks is seen, once the
/// allowance for a clock that fell back is added half of them.
const AHEAD: Duration = Duration::from_secs(13);

/// How many lifetimes each VM may have, and how many appends may be on their way.
const LIVES: u64 = 2;
const CALLS: usize = 2;

/// A rule that can be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rule {
    /// An append is carried out only where the partition ends as it says.
    Condition,
    /// A draw leaves the others their grants.
    Others,
    /// What a pending append gives up is not spent.
    GivenUp,
    /// An append whose answer was lost stays pending until the partition has moved on.
    Doubt,
    /// What was lent is not spent by the lender.
    LentOnce,
    /// No more is used than was promised.
    Promise,
    /// No more is used than the promise allows that a pending append makes.
    PendingPromise,
    /// Who gives back what a dead lifetime can't have touched allows for the time that passed since its promise.
    Passed,
    /// After a loss of power that time is told by the clocks of the fleet.
    Fleet,
}

#[derive(Clone, Debug)]
pub(super) enum Step {
    Read(usize),
    Draw(usize),
    Return(usize),
    /// The promise is written anew; only at the beginning of a history, for it can be done without end.
    Renew(usize),
    /// The append is sent again.
    Again(usize),
    /// An append reaches the log, and its answer its router.
    Arrive(usize),
    /// The answer is lost, before the append was carried out or after.
    Lose(usize),
    Spend(usize),
    Lend(usize),
    /// As `Lend`, but the borrower never hears of it.
    LendInVain(usize),
    Die(usize),
    /// What dead lifetimes on the VM can't have touched is given back.
    GiveBack(usize),
    /// A tick passes.
    Wait,
}

#[derive(Clone, Debug)]
struct Router {
    book: GrantState,
    life: u64,
    spent: u64,
    lent: u64,
    borrowed: u64,
    /// When the lifetime began.
    start: ClockReading,
}

#[derive(Clone, Debug)]
struct Call {
    router: usize,
    life: u64,
    proposal: Proposal,
    /// Whether nobody waits for its answer any more.
    lost: bool,
}

#[derive(Clone, Debug)]
pub(super) struct World {
    log: Vec<(GrantKey, GrantRow)>,
    routers: [Router; 2],
    calls: Vec<Call>,
    /// What lifetimes that are over had spent.
    buried: u64,
    /// How many ticks passed; grants carry promises only where time passes.
    time: u64,
    until: u64,
    paced: bool,
    lends: bool,
    /// Whether a router dies by a loss of power, which sets the first VM's time of day right.
    power: bool,
    left_out: Option<Rule>,
}

fn team() -> TeamId {
    "loans".parse().expect("a name")
}

fn vm(at: usize) -> VmId {
    format!("vm-{at}").parse().expect("a name")
}

/// Returns how long ago the histories began, counted from before them.
fn since_epoch(time: u64) -> Duration {
    let ticks = u32::try_from(time).expect("few ticks");
    Duration::from_secs(1000) + TICK * ticks
}

impl Router {
    fn new(at: usize, life: u64, start: ClockReading) -> Self {
        Self {
            book: GrantState::new(vm(at), Incarnation(10 * at as u64 + life)),
            life,
            spent: 0,
            lent: 0,
            borrowed: 0,
            start,
        }
    }

    fn in_use(&self) -> u64 {
        (self.spent + self.lent).saturating_sub(self.borrowed)
    }
}

impl World {
    pub(super) fn new(left_out: Option<Rule>) -> Self {
        Self {
            log: Vec::new(),
            routers: [0, 1].map(|at| Router::new(at, 0, Self::reading(at, 0, 0, false))),
            calls: Vec::new(),
            buried: 0,
            time: 0,
            until: TICKS,
            paced: false,
            lends: true,
            power: false,
            left_out,
        }
    }

    /// Returns a world in which time passes and grants carry promises.
    pub(super) fn paced(self) -> Self {
        Self {
            paced: true,
            ..self
        }
    }

    /// Returns a world in which nobody lends: it has fewer states.
    pub(super) fn without_loans(self) -> Self {
        Self {
            lends: false,
            ..self
        }
    }

    /// Returns a world in which routers die by a loss of power, and the first VM's clock is wrong until then.
    pub(super) fn powered(self) -> Self {
        let mut world = Self {
            power: true,
            ..self
        };
        for at in 0..world.routers.len() {
            world.routers[at].start = world.clocks(at, 0);
        }
        world
    }

    /// Returns what the clocks of a VM and of its fleet read; most of those are right.
    fn clocks(&self, at: usize, life: u64) -> ClockReading {
        let reading = Self::reading(at, life, self.time, self.power);
        match self.lacks(Rule::Fleet) {
            true => ClockReading {
                fleet: None,
                ..reading
            },
            false => reading,
        }
    }

    fn reading(at: usize, life: u64, time: u64, power: bool) -> ClockReading {
        let passed = since_epoch(time);
        let (boot, ahead) = match power {
            true => (life, (at == 0 && life == 0).then_some(AHEAD)),
            false => (0, None),
        };
        ClockReading {
            own: Moment {
                host: HostId(at as u64),
                boot: BootId(boot),
                uptime: passed,
                wall: passed + ahead.unwrap_or_default(),
            },
            fleet: Some(Span {
                earliest: passed,
                latest: passed,
            }),
            awaited: false,
        }
    }

    /// Returns what the clocks of a router's VM read now.
    fn now(&self, at: usize) -> ClockReading {
        self.clocks(at, self.routers[at].life)
    }

    /// Returns the world after the first router's first draw.
    pub(super) fn drawn(self) -> Self {
        self.after(&[Step::Read(0), Step::Draw(0), Step::Arrive(0)])
    }

    /// Returns the world after the first router's new promise reached the log, and it did not hear so.
    pub(super) fn unheard(self) -> Self {
        self.after(&[Step::Renew(0), Step::Lose(0), Step::Arrive(0)])
    }

    /// Returns the world two ticks later.
    pub(super) fn later(self) -> Self {
        let mut world = self.after(&[Step::Wait, Step::Wait]);
        world.until += world.time;
        world
    }

    /// Returns the world after the first router spent all that it drew, and died.
    pub(super) fn died(self) -> Self {
        self.after(&[Step::Spend(0), Step::Spend(0), Step::Die(0)])
    }

    fn after(self, steps: &[Step]) -> Self {
        let take = |world: Self, step| world.take(step).expect("nothing stands against it");
        steps.iter().fold(self, take)
    }

    fn lacks(&self, rule: Rule) -> bool {
        self.left_out == Some(rule)
    }

    fn idle(&self, at: usize) -> u64 {
        let router = &self.routers[at];
        let (book, now) = (&router.book, self.now(at));
        let open = match self.left_out {
            Some(Rule::GivenUp) => book
                .row(&team())
                .granted
                .min(book.row(&team()).usable_at(&now)),
            Some(Rule::Promise) => book.granted(&team()),
            Some(Rule::PendingPromise) => {
                book.granted(&team()).min(book.row(&team()).usable_at(&now))
            }
            _ => book.usable_at(&team(), &now),
        };
        let lent = match self.lacks(Rule::LentOnce) {
            true => 0,
            false => router.lent,
        };
        (open.0 + router.borrowed).saturating_sub(router.spent + lent)
    }

    fn propose(&mut self, at: usize, granted: Option<u64>) -> Option<()> {
        let generous = self.lacks(Rule::Others);
        let now = self.now(at);
        let router = &self.routers[at];
        let change = granted.map(|granted| GrantChange {
            team: team(),
            row: GrantRow {
                granted: Tokens(granted),
                spent: Tokens(router.spent),
                pace: self.paced.then(|| SpendPace {
                    made: now.own,
                    used: Tokens(router.in_use()),
                    room: Tokens(ROOM),
                    rate: TokenRate(RATE),
                    fleet: now.fleet,
                }),
            },
        });
        let prepaid = |_: &TeamId| match generous {
            true => Tokens(100 * UNIT),
            false => Tokens(PREPAID),
        };
        // With no time passed, a dead lifetime would have used nothing since its promise.
        let start = match self.lacks(Rule::Passed) {
            true => Self::reading(at, 0, 0, false),
            false => router.start,
        };
        let changes = change.into_iter().collect();
        let book = &mut self.routers[at].book;
        let proposal = book.propose(changes, &start, prepaid)?;
        self.send(at, proposal)
    }

    fn send(&mut self, at: usize, proposal: Proposal) -> Option<()> {
        if self.calls.len() >= CALLS {
            return None;
        }
        self.calls.push(Call {
            router: at,
            life: self.routers[at].life,
            proposal,
            lost: false,
        });
        Some(())
    }

    fn read(&mut self, at: usize) {
        for (offset, (key, row)) in self.log.iter().enumerate() {
            self.routers[at]
                .book
                .apply(Offset(offset as u64), key, *row);
        }
        let end = Offset(self.log.len() as u64);
        self.routers[at].book.advance(end);
    }

    fn arrive(&mut self, call: usize) {
        let call = self.calls.remove(call);
        let at = call.proposal.at;
        let holds = at.0 == self.log.len() as u64 || self.lacks(Rule::Condition);
        if holds {
            self.log.extend(call.proposal.records.iter().cloned());
        }
        let router = &mut self.routers[call.router];
        // The answer to a lifetime that is over, or that was lost, is heard by nobody.
        if !call.lost && router.life == call.life && holds {
            router.book.confirm(at);
        }
    }

    fn lose(&mut self, call: usize) {
        let at = self.calls[call].proposal.at;
        self.calls[call].lost = true;
        let forgets = self.lacks(Rule::Doubt);
        let call = &self.calls[call];
        let router = &mut self.routers[call.router];
        if router.life != call.life {
            return;
        }
        match forgets {
            true => router.book.reject(at),
            false => router.book.mark_uncertain(at),
        }
    }

    fn lend(&mut self, at: usize, heard: bool) {
        self.routers[at].lent += UNIT;
        if heard {
            self.routers[1 - at].borrowed += UNIT;
        }
    }

    fn die(&mut self, at: usize) {
        self.buried += self.routers[at].spent;
        let life = self.routers[at].life + 1;
        self.routers[at] = Router::new(at, life, self.clocks(at, life));
    }
}

impl Model for World {
    type Step = Step;

    fn digest(&self) -> u128 {
        xxh3_128(format!("{self:?}").as_bytes())
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for at in 0..2 {
            let router = &self.routers[at];
            steps.extend([
                Step::Read(at),
                Step::Draw(at),
                Step::Return(at),
                Step::Again(at),
            ]);
            if self.idle(at) >= UNIT {
                steps.push(Step::Spend(at));
            }
            if self.lends && self.idle(at) >= UNIT && router.lent == 0 {
                steps.extend([Step::Lend(at), Step::LendInVain(at)]);
            }
            if self.paced && router.life > 0 {
                steps.push(Step::GiveBack(at));
            }
            if router.life + 1 < LIVES {
                steps.push(Step::Die(at));
            }
        }
        if self.paced && self.time < self.until {
            steps.push(Step::Wait);
        }
        for call in 0..self.calls.len() {
            steps.push(Step::Arrive(call));
            if !self.calls[call].lost {
                steps.push(Step::Lose(call));
            }
        }
        steps
    }

    fn take(&self, step: &Step) -> Option<Self> {
        let mut next = self.clone();
        match *step {
            Step::Read(at) => next.read(at),
            Step::Draw(at) => {
                let granted = self.routers[at].book.granted(&team()).0;
                next.propose(at, Some(granted + DRAW))?;
            }
            Step::Return(at) => {
                let granted = self.routers[at].book.granted(&team()).0;
                let idle = self.idle(at).min(granted);
                if idle == 0 {
                    return None;
                }
                next.propose(at, Some(granted - idle))?;
            }
            Step::Renew(at) => {
                let granted = self.routers[at].book.granted(&team()).0;
                next.propose(at, Some(granted))?;
            }
            Step::Again(at) => {
                let pending = self.routers[at].book.pending()?.clone();
                next.send(at, pending)?;
            }
            Step::Arrive(call) => next.arrive(call),
            Step::Lose(call) => next.lose(call),
            Step::Spend(at) => next.routers[at].spent += UNIT,
            Step::Lend(at) => next.lend(at, true),
            Step::LendInVain(at) => next.lend(at, false),
            Step::Die(at) => next.die(at),
            Step::GiveBack(at) => next.propose(at, None)?,
            Step::Wait => next.time += 1,
        }
        Some(next)
    }

    fn broken(&self) -> Option<&'static str> {
        let spent: u64 = self.routers.iter().map(|router| router.spent).sum();
        (spent + self.buried > PREPAID).then_some("more was served than was prepaid")
    }
}

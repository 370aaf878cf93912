//! The model: two routers, one budget and a log that loses answers.

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

/// The amount of one spend or loan; the prepaid amount and each draw are multiples of it.
const UNIT_TOKENS: u64 = 10;
const PREPAID_TOKENS: u64 = 3 * UNIT_TOKENS;
const DRAW_TOKENS: u64 = 2 * UNIT_TOKENS;

/// What a spend pace allows to be used at once, and per second after it was made.
const ROOM_TOKENS: u64 = 0;
const TOKENS_PER_S: u64 = 1;

/// The time in which the rate allows one more unit to be used.
const TICK: Duration = Duration::from_secs(UNIT_TOKENS / TOKENS_PER_S);

/// The maximum number of ticks after those of the initial history.
const MAX_TICKS: u64 = 2;

/// How far the first VM's wall clock is ahead until its power loss. Of two ticks it then shows 7 s, a third, and half
/// of them once the allowance of 3 s for a clock that fell back is added.
const CLOCK_AHEAD: Duration = Duration::from_secs(13);

/// The maximum number of router incarnations per VM, and of appends in flight.
const MAX_LIVES: u64 = 2;
const MAX_APPENDS: usize = 2;

/// A rule of the protocol that can be omitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rule {
    /// An append takes effect only if the partition ends at the expected offset.
    Condition,
    /// A draw does not use what is granted to others.
    OtherGrants,
    /// What a pending append returns is not spent.
    PendingReturn,
    /// An append whose answer was lost stays pending until the partition has advanced.
    Uncertain,
    /// The lender does not spend what it lent.
    LoanDebit,
    /// No more is used than the spend pace allows.
    Pace,
    /// No more is used than the spend pace in a pending append allows.
    PendingPace,
    /// A return of what a dead incarnation cannot have spent allows for the time since its pace was made.
    ElapsedTime,
    /// After a power loss that time is measured by the clocks of the fleet.
    FleetClock,
}

#[derive(Clone, Debug)]
pub(super) enum Step {
    Read(usize),
    Draw(usize),
    Return(usize),
    /// Writes the spend pace again. Only used in initial histories, because it can be repeated without end.
    Renew(usize),
    /// Sends the pending append again.
    Resend(usize),
    /// An append reaches the log, and the answer its router.
    Arrive(usize),
    /// The answer is lost, before or after the append takes effect.
    Lose(usize),
    Spend(usize),
    Lend(usize),
    /// As `Lend`, but the borrower never receives the answer.
    LendUnheard(usize),
    Crash(usize),
    /// Returns what dead incarnations on the VM cannot have spent.
    Reclaim(usize),
    /// Advances the time by one tick.
    Tick,
}

#[derive(Clone, Debug)]
struct Router {
    grants: GrantState,
    life: u64,
    spent: u64,
    lent: u64,
    borrowed: u64,
    /// When the incarnation started.
    start: ClockReading,
}

#[derive(Clone, Debug)]
struct PendingAppend {
    router: usize,
    life: u64,
    proposal: Proposal,
    /// Whether its answer was lost.
    lost: bool,
}

#[derive(Clone, Debug)]
pub(super) struct World {
    log: Vec<(GrantKey, GrantRow)>,
    routers: [Router; 2],
    appends: Vec<PendingAppend>,
    /// What dead incarnations spent.
    dead_spent: u64,
    /// The number of ticks passed; time passes only if grants carry a spend pace.
    time: u64,
    end_time: u64,
    with_pace: bool,
    loans: bool,
    /// Whether routers crash by a power loss, which also corrects the first VM's wall clock.
    power_loss: bool,
    omitted: Option<Rule>,
}

fn team() -> TeamId {
    "loans".parse().expect("a name")
}

fn vm(at: usize) -> VmId {
    format!("vm-{at}").parse().expect("a name")
}

/// Returns the time since the Unix epoch after some ticks.
fn since_epoch(time: u64) -> Duration {
    let ticks = u32::try_from(time).expect("few ticks");
    Duration::from_secs(1000) + TICK * ticks
}

impl Router {
    fn new(at: usize, life: u64, start: ClockReading) -> Self {
        Self {
            grants: GrantState::new(vm(at), Incarnation(10 * at as u64 + life)),
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
    pub(super) fn new(omitted: Option<Rule>) -> Self {
        Self {
            log: Vec::new(),
            routers: [0, 1].map(|at| Router::new(at, 0, Self::reading(at, 0, 0, false))),
            appends: Vec::new(),
            dead_spent: 0,
            time: 0,
            end_time: MAX_TICKS,
            with_pace: false,
            loans: true,
            power_loss: false,
            omitted,
        }
    }

    /// Returns a world in which time passes and grants carry a spend pace.
    pub(super) fn with_pace(self) -> Self {
        Self {
            with_pace: true,
            ..self
        }
    }

    /// Returns a world without loans, which has fewer states.
    pub(super) fn without_loans(self) -> Self {
        Self {
            loans: false,
            ..self
        }
    }

    /// Returns a world in which routers crash by a power loss, and the first VM's clock is wrong until then.
    pub(super) fn with_power_loss(self) -> Self {
        let mut world = Self {
            power_loss: true,
            ..self
        };
        for at in 0..world.routers.len() {
            world.routers[at].start = world.clocks(at, 0);
        }
        world
    }

    /// Returns the clocks of a VM and of the fleet; the fleet's span is correct.
    fn clocks(&self, at: usize, life: u64) -> ClockReading {
        let reading = Self::reading(at, life, self.time, self.power_loss);
        match self.omits(Rule::FleetClock) {
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
            true => (life, (at == 0 && life == 0).then_some(CLOCK_AHEAD)),
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

    /// Returns the current clock reading on a router's VM.
    fn now(&self, at: usize) -> ClockReading {
        self.clocks(at, self.routers[at].life)
    }

    /// Returns the world after the first router's first draw.
    pub(super) fn after_draw(self) -> Self {
        self.after(&[Step::Read(0), Step::Draw(0), Step::Arrive(0)])
    }

    /// Returns the world after the first router's new spend pace reached the log but the answer was lost.
    pub(super) fn after_lost_renewal(self) -> Self {
        self.after(&[Step::Renew(0), Step::Lose(0), Step::Arrive(0)])
    }

    /// Returns the world two ticks later.
    pub(super) fn after_two_ticks(self) -> Self {
        let mut world = self.after(&[Step::Tick, Step::Tick]);
        world.end_time += world.time;
        world
    }

    /// Returns the world after the first router spent all that it drew, and crashed.
    pub(super) fn after_crash(self) -> Self {
        self.after(&[Step::Spend(0), Step::Spend(0), Step::Crash(0)])
    }

    fn after(self, steps: &[Step]) -> Self {
        let take = |world: Self, step| world.take(step).expect("the step is possible");
        steps.iter().fold(self, take)
    }

    fn omits(&self, rule: Rule) -> bool {
        self.omitted == Some(rule)
    }

    fn available(&self, at: usize) -> u64 {
        let router = &self.routers[at];
        let (grants, now) = (&router.grants, self.now(at));
        let open = match self.omitted {
            Some(Rule::PendingReturn) => grants
                .row(&team())
                .granted
                .min(grants.row(&team()).usable_at(&now)),
            Some(Rule::Pace) => grants.granted(&team()),
            Some(Rule::PendingPace) => grants
                .granted(&team())
                .min(grants.row(&team()).usable_at(&now)),
            _ => grants.usable_at(&team(), &now),
        };
        let lent = match self.omits(Rule::LoanDebit) {
            true => 0,
            false => router.lent,
        };
        (open.0 + router.borrowed).saturating_sub(router.spent + lent)
    }

    fn propose(&mut self, at: usize, granted: Option<u64>) -> Option<()> {
        let ignores_others = self.omits(Rule::OtherGrants);
        let now = self.now(at);
        let router = &self.routers[at];
        let change = granted.map(|granted| GrantChange {
            team: team(),
            row: GrantRow {
                granted: Tokens(granted),
                spent: Tokens(router.spent),
                pace: self.with_pace.then(|| SpendPace {
                    made: now.own,
                    used: Tokens(router.in_use()),
                    room: Tokens(ROOM_TOKENS),
                    rate: TokenRate(TOKENS_PER_S),
                    fleet: now.fleet,
                }),
            },
        });
        let prepaid = |_: &TeamId| match ignores_others {
            true => Tokens(100 * UNIT_TOKENS),
            false => Tokens(PREPAID_TOKENS),
        };
        // With no time passed, a dead incarnation would have used nothing since its pace was made.
        let start = match self.omits(Rule::ElapsedTime) {
            true => Self::reading(at, 0, 0, false),
            false => router.start,
        };
        let changes = change.into_iter().collect();
        let grants = &mut self.routers[at].grants;
        let proposal = grants.propose(changes, &start, prepaid)?;
        self.send(at, proposal)
    }

    fn send(&mut self, at: usize, proposal: Proposal) -> Option<()> {
        if self.appends.len() >= MAX_APPENDS {
            return None;
        }
        self.appends.push(PendingAppend {
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
                .grants
                .apply(Offset(offset as u64), key, *row);
        }
        let end = Offset(self.log.len() as u64);
        self.routers[at].grants.advance(end);
    }

    fn arrive(&mut self, append: usize) {
        let append = self.appends.remove(append);
        let at = append.proposal.at;
        let holds = at.0 == self.log.len() as u64 || self.omits(Rule::Condition);
        if holds {
            self.log.extend(append.proposal.records.iter().cloned());
        }
        let router = &mut self.routers[append.router];
        // No router receives an answer that was lost or whose incarnation is dead.
        if !append.lost && router.life == append.life && holds {
            router.grants.confirm(at);
        }
    }

    fn lose(&mut self, append: usize) {
        let at = self.appends[append].proposal.at;
        self.appends[append].lost = true;
        let forgets = self.omits(Rule::Uncertain);
        let append = &self.appends[append];
        let router = &mut self.routers[append.router];
        if router.life != append.life {
            return;
        }
        match forgets {
            true => router.grants.reject(at),
            false => router.grants.mark_uncertain(at),
        }
    }

    fn lend(&mut self, at: usize, heard: bool) {
        self.routers[at].lent += UNIT_TOKENS;
        if heard {
            self.routers[1 - at].borrowed += UNIT_TOKENS;
        }
    }

    fn crash(&mut self, at: usize) {
        self.dead_spent += self.routers[at].spent;
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
                Step::Resend(at),
            ]);
            if self.available(at) >= UNIT_TOKENS {
                steps.push(Step::Spend(at));
            }
            if self.loans && self.available(at) >= UNIT_TOKENS && router.lent == 0 {
                steps.extend([Step::Lend(at), Step::LendUnheard(at)]);
            }
            if self.with_pace && router.life > 0 {
                steps.push(Step::Reclaim(at));
            }
            if router.life + 1 < MAX_LIVES {
                steps.push(Step::Crash(at));
            }
        }
        if self.with_pace && self.time < self.end_time {
            steps.push(Step::Tick);
        }
        for append in 0..self.appends.len() {
            steps.push(Step::Arrive(append));
            if !self.appends[append].lost {
                steps.push(Step::Lose(append));
            }
        }
        steps
    }

    fn take(&self, step: &Step) -> Option<Self> {
        let mut next = self.clone();
        match *step {
            Step::Read(at) => next.read(at),
            Step::Draw(at) => {
                let granted = self.routers[at].grants.granted(&team()).0;
                next.propose(at, Some(granted + DRAW_TOKENS))?;
            }
            Step::Return(at) => {
                let granted = self.routers[at].grants.granted(&team()).0;
                let available = self.available(at).min(granted);
                if available == 0 {
                    return None;
                }
                next.propose(at, Some(granted - available))?;
            }
            Step::Renew(at) => {
                let granted = self.routers[at].grants.granted(&team()).0;
                next.propose(at, Some(granted))?;
            }
            Step::Resend(at) => {
                let pending = self.routers[at].grants.pending()?.clone();
                next.send(at, pending)?;
            }
            Step::Arrive(append) => next.arrive(append),
            Step::Lose(append) => next.lose(append),
            Step::Spend(at) => next.routers[at].spent += UNIT_TOKENS,
            Step::Lend(at) => next.lend(at, true),
            Step::LendUnheard(at) => next.lend(at, false),
            Step::Crash(at) => next.crash(at),
            Step::Reclaim(at) => next.propose(at, None)?,
            Step::Tick => next.time += 1,
        }
        Some(next)
    }

    fn broken(&self) -> Option<&'static str> {
        let spent: u64 = self.routers.iter().map(|router| router.spent).sum();
        (spent + self.dead_spent > PREPAID_TOKENS).then_some("more was served than was prepaid")
    }
}

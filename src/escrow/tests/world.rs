//! Two routers, one budget and a log that loses answers.

use xxhash_rust::xxh3::xxh3_128;

use crate::escrow::Book;
use crate::escrow::Change;
use crate::escrow::GrantKey;
use crate::escrow::GrantRow;
use crate::escrow::Proposal;
use crate::explore::Model;
use crate::ids::Incarnation;
use crate::ids::Offset;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::tokens::Tokens;

/// What the team prepaid, and what a router draws and gives back at once.
const PREPAID: u64 = 3;
const DRAW: u64 = 2;

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
}

#[derive(Clone, Debug)]
pub(super) enum Step {
    Read(usize),
    Draw(usize),
    Return(usize),
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
}

#[derive(Clone, Debug)]
struct Router {
    book: Book,
    life: u64,
    spent: u64,
    lent: u64,
    borrowed: u64,
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
    left_out: Option<Rule>,
}

fn team() -> TeamId {
    "loans".parse().expect("a name")
}

fn vm(at: usize) -> VmId {
    format!("vm-{at}").parse().expect("a name")
}

impl Router {
    fn new(at: usize, life: u64) -> Self {
        Self {
            book: Book::new(vm(at), Incarnation(10 * at as u64 + life)),
            life,
            spent: 0,
            lent: 0,
            borrowed: 0,
        }
    }
}

impl World {
    pub(super) fn new(left_out: Option<Rule>) -> Self {
        Self {
            log: Vec::new(),
            routers: [Router::new(0, 0), Router::new(1, 0)],
            calls: Vec::new(),
            buried: 0,
            left_out,
        }
    }

    /// Returns the world after the first router's first draw.
    pub(super) fn drawn(self) -> Self {
        let steps = [Step::Read(0), Step::Draw(0), Step::Arrive(0)];
        let take = |world: Self, step| world.take(step).expect("nothing stands against it");
        steps.iter().fold(self, take)
    }

    fn lacks(&self, rule: Rule) -> bool {
        self.left_out == Some(rule)
    }

    fn idle(&self, at: usize) -> u64 {
        let router = &self.routers[at];
        let granted = match self.lacks(Rule::GivenUp) {
            true => router.book.row(&team()).granted,
            false => router.book.granted(&team()),
        };
        let lent = match self.lacks(Rule::LentOnce) {
            true => 0,
            false => router.lent,
        };
        (granted.0 + router.borrowed).saturating_sub(router.spent + lent)
    }

    fn propose(&mut self, at: usize, granted: u64) -> Option<()> {
        let generous = self.lacks(Rule::Others);
        let change = Change {
            team: team(),
            row: GrantRow {
                granted: Tokens(granted),
                spent: Tokens(self.routers[at].spent),
            },
        };
        let prepaid = |_: &TeamId| match generous {
            true => Tokens(100),
            false => Tokens(PREPAID),
        };
        let proposal = self.routers[at].book.propose(vec![change], prepaid)?;
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
            router.book.landed(at);
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
            true => router.book.refused(at),
            false => router.book.lost(at),
        }
    }

    fn lend(&mut self, at: usize, heard: bool) {
        self.routers[at].lent += 1;
        if heard {
            self.routers[1 - at].borrowed += 1;
        }
    }

    fn die(&mut self, at: usize) {
        self.buried += self.routers[at].spent;
        self.routers[at] = Router::new(at, self.routers[at].life + 1);
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
            if self.idle(at) > 0 {
                steps.push(Step::Spend(at));
            }
            if self.idle(at) > 0 && router.lent == 0 {
                steps.extend([Step::Lend(at), Step::LendInVain(at)]);
            }
            if router.life + 1 < LIVES {
                steps.push(Step::Die(at));
            }
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
                next.propose(at, granted + DRAW)?;
            }
            Step::Return(at) => {
                let granted = self.routers[at].book.granted(&team()).0;
                let idle = self.idle(at).min(granted);
                if idle == 0 {
                    return None;
                }
                next.propose(at, granted - idle)?;
            }
            Step::Again(at) => {
                let pending = self.routers[at].book.pending()?.clone();
                next.send(at, pending)?;
            }
            Step::Arrive(call) => next.arrive(call),
            Step::Lose(call) => next.lose(call),
            Step::Spend(at) => next.routers[at].spent += 1,
            Step::Lend(at) => next.lend(at, true),
            Step::LendInVain(at) => next.lend(at, false),
            Step::Die(at) => next.die(at),
        }
        Some(next)
    }

    fn broken(&self) -> Option<&'static str> {
        let spent: u64 = self.routers.iter().map(|router| router.spent).sum();
        (spent + self.buried > PREPAID).then_some("more was served than was prepaid")
    }
}

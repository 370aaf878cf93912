//! The model: two routers, a caller and the log, as far as they affect the fold.
//!
//! A record in flight is appended at any time or never, in any order, and possibly twice, since the response to an
//! append may be lost. A log outage is a time without appends; a peer that appends a dead router's records is a late
//! append. A router acts on the state that it has applied, which may be stale. A paused router takes no steps and
//! continues afterwards from the same state; a dead one takes no more steps. An attempt that was sent stays on the
//! network or in its router's socket until the router reads it. Each attempt may charge another team or none, since a
//! selector may have changed in between.

mod invariants;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_128;

use crate::explore::Model;
use crate::ids::Attempt;
use crate::ids::Fingerprint;
use crate::ids::Offset;
use crate::ids::TeamId;
use crate::ledger::Bearer;
use crate::ledger::Claim;
use crate::ledger::Ledger;
use crate::ledger::Outcome;
use crate::ledger::Record;
use crate::ledger::Verdict;
use crate::ledger::tests::records::batch;
use crate::ledger::tests::records::incarnation;
use crate::ledger::tests::records::key;
use crate::ledger::tests::records::open;
use crate::ledger::tests::records::team;
use crate::ledger::tests::records::top_up;
use crate::tokens::Tokens;

/// The incarnation that closes routers and tops up budgets.
const OPERATOR: u64 = 9;

#[derive(Clone, Debug)]
pub(super) enum Step {
    Send { attempt: usize, router: usize },
    Fold { router: usize },
    Claim { attempt: usize },
    Refuse { attempt: usize },
    Dispatch { attempt: usize },
    Release { attempt: usize },
    Bill { attempt: usize },
    End { attempt: usize },
    Tell { attempt: usize },
    Draw { router: usize },
    Return { router: usize },
    TopUp,
    Land { message: usize },
    Close { router: usize },
}

/// What a router that does not wait does too early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(super) enum Haste {
    /// It dispatches before its claim is accepted.
    Dispatch,
    /// It ends an answer before its bill is accepted.
    End,
    /// It releases the claim of a run before it knows of a bill.
    Release,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
enum Stage {
    New,
    Sent,
    Claiming,
    Claimed,
    Running,
    Billing,
    Billed,
    /// A refusal or release is in flight.
    Refusing,
    /// The ledger proves that the request was not run.
    Unrun,
    Over,
}

#[derive(Clone, Debug, Serialize)]
struct AttemptState {
    key: u64,
    number: u64,
    team: u64,
    stage: Stage,
    router: usize,
    /// The offset of its last record.
    landed: u64,
}

/// A record in flight, or an appended one of which a copy may be appended.
#[derive(Clone, Debug, Serialize)]
struct Message {
    router: usize,
    sequence: u64,
    attempt: Option<usize>,
    record: Record,
    landed: Option<u64>,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct World {
    ledger: Ledger,
    folded: [u64; 2],
    sent: [u64; 2],
    operator: u64,
    tries: Vec<AttemptState>,
    net: Vec<Message>,
    closes: u8,
    repeats: u8,
    /// The upper limit of what the team has prepaid so far.
    prepaid: u64,
    topups: u8,
    draws: u8,
    /// Attempts in the order of their dispatch (`ran`), of their refusal (`told`) and of their end.
    ran: Vec<usize>,
    told: Vec<usize>,
    ended: Vec<usize>,
    once: bool,
    routers: usize,
    prompt: bool,
    haste: Option<Haste>,
}

impl World {
    fn new(tries: Vec<AttemptState>, once: bool) -> Self {
        let mut world = Self {
            ledger: Ledger::default(),
            folded: [0; 2],
            sent: [1; 2],
            operator: 0,
            tries,
            net: Vec::new(),
            closes: 1,
            repeats: 1,
            prepaid: 0,
            topups: 0,
            draws: 0,
            ran: Vec::new(),
            told: Vec::new(),
            ended: Vec::new(),
            once,
            routers: 2,
            prompt: false,
            haste: None,
        };
        world.append_as_operator(open(OPERATOR));
        for router in 0..2 {
            let batch = batch(incarnation(router).0, 1, open(router as u64));
            world.ledger.apply(world.ledger.next(), 0, &batch);
        }
        world.folded = [world.ledger.next().0; 2];
        world
    }

    /// One request with `tries` attempts, each charged to another team of whose budget both routers hold enough.
    pub(super) fn request(tries: u64, once: bool, counted: bool) -> Self {
        let numbers = 1..=tries;
        let list = numbers.map(|at| new_attempt(1, if counted { at } else { 0 }, at));
        let mut world = Self::new(list.collect(), once);
        world.prepaid = 9;
        for number in 1..=tries {
            world.append_as_operator(top_up(0, number, 9));
            world.draw_for_all(team(number));
        }
        world.folded = [world.ledger.next().0; 2];
        world
    }

    fn draw_for_all(&mut self, team: TeamId) {
        for router in 0..2 {
            self.sent[router] += 1;
            let want = Tokens(4);
            let team = team.clone();
            let draw = Record::Draw { team, want };
            let batch = batch(incarnation(router).0, self.sent[router], draw);
            self.ledger.apply(self.ledger.next(), 0, &batch);
        }
    }

    /// Two requests of one token each; their team prepaid one, held by the first router, and prepays one more later.
    pub(super) fn budget() -> Self {
        let mut world = Self::new(vec![new_attempt(1, 1, 1), new_attempt(2, 1, 1)], false);
        world.append_as_operator(top_up(0, 1, 1));
        world.append_as_operator(top_up(0, 1, 1));
        world.prepaid = 1;
        world.topups = 2;
        world.draws = 2;
        world.draw_for_all(team(1));
        world.folded = [world.ledger.next().0; 2];
        world
    }

    /// Leaves one router, which is never closed.
    pub(super) fn single_router(mut self) -> Self {
        self.routers = 1;
        self.closes = 0;
        self
    }

    /// Sends an attempt only when no earlier one is on the network or unread in a socket.
    pub(super) fn prompt(mut self) -> Self {
        self.prompt = true;
        self
    }

    /// Has the routers take one step before they may.
    pub(super) fn hasty(mut self, haste: Haste) -> Self {
        self.haste = Some(haste);
        self
    }

    pub(super) fn digest(&self) -> u128 {
        xxh3_128(&postcard::to_stdvec(self).expect("it can be encoded"))
    }

    pub(super) fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for router in 0..self.routers {
            if self.folded[router] < self.ledger.next().0 {
                steps.push(Step::Fold { router });
            }
            if self.closes > 0 {
                steps.push(Step::Close { router });
            }
            if self.draws > 0 && self.may_write(router) {
                steps.push(Step::Draw { router });
                steps.push(Step::Return { router });
            }
        }
        if self.topups > 0 {
            steps.push(Step::TopUp);
        }
        for at in 0..self.tries.len() {
            self.attempt_steps(at, &mut steps);
        }
        for (at, message) in self.net.iter().enumerate() {
            if message.landed.is_none() || self.repeats > 0 {
                steps.push(Step::Land { message: at });
            }
        }
        steps
    }

    fn attempt_steps(&self, attempt: usize, steps: &mut Vec<Step>) {
        let this = &self.tries[attempt];
        let write = self.may_write(this.router);
        let known = this.landed < self.folded[this.router];
        match this.stage {
            Stage::New if self.is_next(attempt) => {
                steps.push(Step::Send { attempt, router: 0 });
                // The routers are symmetric, so the first attempt always goes to the first.
                if attempt > 0 && self.routers > 1 {
                    steps.push(Step::Send { attempt, router: 1 });
                }
            }
            Stage::Sent if write => {
                steps.push(Step::Claim { attempt });
                steps.push(Step::Refuse { attempt });
            }
            Stage::Claiming if self.is_hasty(Haste::Dispatch) => {
                steps.push(Step::Dispatch { attempt })
            }
            Stage::Claimed if known => {
                steps.push(Step::Dispatch { attempt });
                if write {
                    steps.push(Step::Release { attempt });
                }
            }
            Stage::Running if write => {
                steps.push(Step::Bill { attempt });
                // A run that gave no answer and costs nothing.
                if self.is_hasty(Haste::Release) || self.knows_bill(attempt) {
                    steps.push(Step::Release { attempt });
                }
            }
            Stage::Billing if self.is_hasty(Haste::End) => steps.push(Step::End { attempt }),
            Stage::Billed if known => steps.push(Step::End { attempt }),
            Stage::Unrun if known => steps.push(Step::Tell { attempt }),
            _ => {}
        }
    }

    fn is_hasty(&self, haste: Haste) -> bool {
        self.haste == Some(haste)
    }

    /// Returns whether an attempt's router may have applied a bill of its request.
    fn knows_bill(&self, attempt: usize) -> bool {
        let this = &self.tries[attempt];
        let known = self.folded[this.router];
        let may_have_billed = |other: &AttemptState| {
            let landed = matches!(other.stage, Stage::Billed | Stage::Over);
            other.key == this.key && landed && other.landed < known
        };
        self.is_billed(attempt) && self.tries.iter().any(may_have_billed)
    }

    /// A caller sends its attempts in order; it may have given up on the previous one.
    fn is_next(&self, attempt: usize) -> bool {
        let unread =
            |t: &AttemptState| t.stage == Stage::New || (self.prompt && t.stage == Stage::Sent);
        !self.tries[..attempt].iter().any(unread)
    }

    /// A router has one batch in flight: it writes again once the last one was appended and it has applied that batch.
    fn may_write(&self, router: usize) -> bool {
        let known = |at: u64| at < self.folded[router];
        let mut mine = self.net.iter().filter(|m| m.router == router);
        mine.all(|m| m.landed.is_some_and(known))
    }

    /// Returns the state after a step, or `None` if the step changes nothing.
    pub(super) fn take(&self, step: &Step) -> Option<Self> {
        let mut next = self.clone();
        match *step {
            Step::Send { attempt, router } => {
                next.tries[attempt].router = router;
                next.tries[attempt].stage = Stage::Sent;
            }
            Step::Fold { router } => next.folded[router] = self.ledger.next().0,
            Step::Claim { attempt } => next.claim(attempt),
            Step::Refuse { attempt } => {
                next.write_attempt(attempt, Stage::Refusing, |t| Record::Refuse {
                    key: key(t.key),
                    attempt: Attempt(t.number),
                })
            }
            Step::Release { attempt } => next.write_attempt(attempt, Stage::Refusing, |t| {
                Record::Release { key: key(t.key) }
            }),
            Step::Bill { attempt } => {
                next.write_attempt(attempt, Stage::Billing, |t| Record::Bill {
                    key: key(t.key),
                    // More than was reserved, as after a counting error.
                    amount: Tokens(2),
                    outcome: Outcome::Whole,
                })
            }
            Step::Dispatch { attempt } => next.finish(attempt, Stage::Running, |w| &mut w.ran),
            Step::End { attempt } => next.finish(attempt, Stage::Over, |w| &mut w.ended),
            Step::Tell { attempt } => next.finish(attempt, Stage::Over, |w| &mut w.told),
            Step::Draw { router } => {
                next.draws -= 1;
                let want = Tokens(1);
                let team = team(1);
                next.write(router, None, Record::Draw { team, want });
            }
            Step::Return { router } => {
                next.draws -= 1;
                let amount = Tokens(1);
                let team = team(1);
                next.write(router, None, Record::Return { team, amount });
            }
            Step::TopUp => {
                next.topups -= 1;
                // The second top-up has the same id and is void.
                next.prepaid = 2;
                next.append_as_operator(top_up(1, 1, 1));
            }
            Step::Land { message } => return next.land(message).then_some(next),
            Step::Close { router } => {
                next.closes -= 1;
                let router = incarnation(router);
                next.append_as_operator(Record::Close { router });
            }
        }
        Some(next)
    }

    fn claim(&mut self, attempt: usize) {
        let this = &self.tries[attempt];
        let seen = Offset(self.folded[this.router] - 1);
        let once = self.once;
        self.write_attempt(attempt, Stage::Claiming, |this| {
            Record::Claim(Claim {
                key: key(this.key),
                team: team(this.team),
                reserved: Tokens(1),
                request: Fingerprint(1),
                seen,
                attempt: Attempt(this.number),
                idempotent: !once,
                bearer: Bearer::Team,
            })
        });
    }

    fn write_attempt<F>(&mut self, attempt: usize, stage: Stage, record: F)
    where
        F: FnOnce(&AttemptState) -> Record,
    {
        let this = &mut self.tries[attempt];
        this.stage = stage;
        let router = this.router;
        let record = record(this);
        self.write(router, Some(attempt), record);
    }

    fn write(&mut self, router: usize, attempt: Option<usize>, record: Record) {
        self.sent[router] += 1;
        self.net.push(Message {
            router,
            sequence: self.sent[router],
            attempt,
            record,
            landed: None,
        });
    }

    fn finish<F>(&mut self, attempt: usize, stage: Stage, list: F)
    where
        F: FnOnce(&mut Self) -> &mut Vec<usize>,
    {
        list(self).push(attempt);
        self.tries[attempt].stage = stage;
    }

    /// Appends a record in flight and returns whether that changed anything.
    fn land(&mut self, message: usize) -> bool {
        let at = self.ledger.next();
        let Message {
            router,
            sequence,
            attempt,
            record,
            landed,
        } = self.net[message].clone();
        let batch = batch(incarnation(router).0, sequence, record.clone());
        let verdicts = self.ledger.apply(at, 0, &batch);
        let accepted = !matches!(verdicts[0], Verdict::Void(_));
        if landed.is_some() {
            self.repeats -= 1;
            return accepted;
        }
        self.net[message].landed = Some(at.0);
        if let Some(attempt) = attempt {
            self.tries[attempt].landed = at.0;
            self.tries[attempt].stage = self.stage_after(&record, accepted);
        }
        true
    }

    fn stage_after(&self, record: &Record, accepted: bool) -> Stage {
        let never_ran = |key| self.ledger.key(key).is_some_and(|k| k.never_ran());
        match record {
            Record::Claim(_) if accepted => Stage::Claimed,
            Record::Bill { .. } if accepted => Stage::Billed,
            // A refusal itself proves that nothing ran; a release proves it only if the ledger shows no other run.
            Record::Refuse { .. } if accepted => Stage::Unrun,
            Record::Release { key } if accepted && never_ran(key) => Stage::Unrun,
            _ => Stage::Over,
        }
    }

    fn append_as_operator(&mut self, record: Record) {
        self.operator += 1;
        let batch = batch(OPERATOR, self.operator, record);
        self.ledger.apply(self.ledger.next(), 0, &batch);
    }
}

fn new_attempt(key: u64, number: u64, team: u64) -> AttemptState {
    AttemptState {
        key,
        number,
        team,
        stage: Stage::New,
        router: 0,
        landed: 0,
    }
}

impl Model for World {
    type Step = Step;

    fn digest(&self) -> u128 {
        self.digest()
    }

    fn steps(&self) -> Vec<Step> {
        self.steps()
    }

    fn take(&self, step: &Step) -> Option<Self> {
        self.take(step)
    }

    fn broken(&self) -> Option<&'static str> {
        self.broken()
    }
}

//! Teams whose limit comes, goes or changes while their requests run.

use std::sync::Arc;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use crate::config::Payer;
use crate::config::RouteTable;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::ids::TeamId;
use crate::router::BudgetTransfer;
use crate::router::Effect;
use crate::router::Event;
use crate::router::LoanRequest;
use crate::router::ReplyId;
use crate::router::RunEnd;
use crate::router::request::Reservation;
use crate::router::tests::owners::borrower;
use crate::router::tests::site::Log;
use crate::router::tests::site::Site;
use crate::router::tests::site::broken_run;
use crate::router::tests::site::payer;
use crate::router::tests::site::table_with_payers;
use crate::router::tests::site::whole;
use crate::tokens::Tokens;

const PREPAID: u64 = 10_000;

fn loans() -> TeamId {
    "loans".parse().expect("a name")
}

/// Returns a table whose team has a limit, or none.
fn table(version: u64, prepaid: Option<u64>) -> Arc<RouteTable> {
    let payer = Payer {
        prepaid: prepaid.map(Tokens),
        ..payer("loans", "key", 0)
    };
    table_with_payers(version, vec![payer])
}

/// Puts a team's limit into force, or takes it away.
fn set_limit(site: &mut Site, version: u64, prepaid: Option<u64>) {
    site.handle(Event::Table(table(version, prepaid)));
}

/// Starts a router that begins with a team without a limit.
fn start() -> Site {
    let mut site = Site::start(0);
    set_limit(&mut site, 2, None);
    site
}

fn budget_field(site: &Site, field: &str) -> u64 {
    let dump = site.core.grant_budgets.dump(site.now);
    let teams = dump["teams"].as_array().expect("a list");
    let team = teams.iter().find(|team| team["team"] == "loans");
    team.map_or(0, |team| team[field].as_u64().expect("a number"))
}

/// Returns what this router may spend of the team's budget by the records in the log.
fn granted(site: &Site) -> u64 {
    let mut own = site.rows.iter().filter(|(_, key, _)| key.team == loans());
    own.next_back().map_or(0, |(_, _, row)| row.granted.0)
}

/// Guards against a router that ends when a team gets its first limit while its requests run.
#[test]
fn requests_that_run_when_a_team_gets_its_first_limit_are_charged() {
    for route in ["stream", "again", "once"] {
        for prepaid in [1, 150, 500, PREPAID] {
            let mut site = start();
            let ids: Vec<_> = (0..3).map(|_| site.send(route, 100, 50)).collect();
            set_limit(&mut site, 3, Some(prepaid));
            site.advance(100);
            for id in ids {
                assert_eq!(site.runs(id).len(), 1);
                site.handle(Event::RunEnded(id, whole(21)));
            }
            assert_eq!(budget_field(&site, "reserved_here"), 0);
            assert_eq!(budget_field(&site, "spent_here"), 3 * 121);
        }
    }
}

/// Guards against a first limit of which nothing counts that was used before it came.
#[test]
fn what_was_used_before_the_first_limit_counts_against_it() {
    let mut site = start();
    let id = site.send("stream", 900, 50);
    site.handle(Event::RunEnded(id, whole(50)));
    set_limit(&mut site, 3, Some(1000));
    site.advance(1000);
    let late = site.send("stream", 100, 50);
    site.advance(500);
    assert!(site.runs(late).is_empty());
    assert!(site.refusal(late).is_some());
    let small = site.send("stream", 20, 20);
    site.advance(500);
    assert_eq!(site.runs(small).len(), 1, "{:?}", site.refusal(small));
    assert!(granted(&site) >= 990, "granted {}", granted(&site));
}

/// Guards against other routers that draw what was used here before the first limit.
#[test]
fn use_before_the_first_limit_is_on_record_when_the_limit_comes() {
    let mut site = start();
    let id = site.send("stream", 900, 50);
    site.advance(400);
    assert_eq!(granted(&site), 950);
    site.handle(Event::RunEnded(id, whole(50)));
    let running = site.send("stream", 300, 50);
    set_limit(&mut site, 3, Some(2000));
    site.advance(20);
    assert!(granted(&site) >= 950 + 350, "granted {}", granted(&site));
    assert!(granted(&site) <= 2000);
    site.handle(Event::RunEnded(running, whole(50)));
}

/// Guards against a limit that still binds after it was taken away, and against a router that ends when it comes back.
#[test]
fn a_limit_may_be_taken_away_and_given_again() {
    let mut site = Site::start(PREPAID);
    let held: Vec<_> = (0..3).map(|_| site.send("stream", 100, 50)).collect();
    site.log = Log::Down;
    let late = site.send("stream", 9000, 50);
    assert!(site.runs(late).is_empty());
    set_limit(&mut site, 2, None);
    assert_eq!(site.runs(late).len(), 1, "{:?}", site.refusal(late));
    site.log = Log::Up;
    let free = site.send("stream", 4000, 50);
    assert_eq!(site.runs(free).len(), 1);
    set_limit(&mut site, 3, Some(2 * PREPAID));
    set_limit(&mut site, 4, None);
    set_limit(&mut site, 5, Some(2 * PREPAID));
    for id in held.into_iter().chain([late, free]) {
        site.handle(Event::RunEnded(id, whole(10)));
    }
    site.advance(1000);
    assert_eq!(budget_field(&site, "reserved_here"), 0);
    assert_eq!(budget_field(&site, "spent_here"), 3 * 110 + 9010 + 4010);
    let next = site.send("stream", 100, 50);
    site.advance(100);
    assert_eq!(site.runs(next).len(), 1, "{:?}", site.refusal(next));
}

/// Guards against a router of a large fleet that borrows nothing for what it used before the first limit.
#[test]
fn a_borrower_borrows_what_it_used_before_the_first_limit() {
    let mut site = borrower();
    set_limit(&mut site, 2, None);
    let id = site.send("stream", 900, 50);
    assert_eq!(site.runs(id).len(), 1);
    set_limit(&mut site, 3, Some(2_000_000));
    site.advance(600);
    let asked = site.effects.iter().find_map(|effect| match effect {
        Effect::RequestLoan(ask, _) => Some(ask.amount),
        _ => None,
    });
    assert!(asked >= Some(Tokens(950)), "{asked:?}");
}

/// Guards against budget that is lost because it comes from a router that learnt of the first limit earlier.
#[test]
fn budget_that_comes_before_the_first_limit_is_kept() {
    let mut site = start();
    let transfer = BudgetTransfer {
        giver: Incarnation(99),
        number: 1,
        team: loans(),
        amount: Tokens(500),
    };
    site.handle(Event::TransferReceived(ReplyId(1), transfer));
    assert_eq!(budget_field(&site, "borrowed"), 500);
    set_limit(&mut site, 3, Some(PREPAID));
    assert_eq!(budget_field(&site, "borrowed"), 500);
}

/// An event that has to do with a team's budget.
#[derive(Clone, Copy, Debug)]
enum Step {
    Limit(Option<u64>),
    Remove,
    Send(u8, u16),
    End(u8, u8),
    Leave(u8),
    Loan(u16),
    LoanAnswer(u16),
    Transfer(u16),
    Log(bool),
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 12 {
            0 => Self::Limit(None),
            1 => Self::Limit(Some(u64::from(u16::arbitrary(g)))),
            2 => Self::Remove,
            3..=5 => Self::Send(u8::arbitrary(g), u16::arbitrary(g) / 16),
            6 => Self::End(u8::arbitrary(g), u8::arbitrary(g)),
            7 => Self::Leave(u8::arbitrary(g)),
            8 => Self::Loan(u16::arbitrary(g)),
            9 => match bool::arbitrary(g) {
                true => Self::LoanAnswer(u16::arbitrary(g)),
                false => Self::Transfer(u16::arbitrary(g)),
            },
            10 => Self::Log(bool::arbitrary(g)),
            _ => Self::Wait(u8::arbitrary(g)),
        }
    }
}

fn loan(site: &Site, number: u64, amount: u16) -> LoanRequest {
    LoanRequest {
        borrower: Incarnation(99),
        number: site.log_end + number,
        team: loans(),
        amount: Tokens(u64::from(amount)),
        asked: Tokens(u64::from(amount)),
        priority: 0,
    }
}

fn run_end(kind: u8) -> RunEnd {
    match kind % 4 {
        0 => broken_run(false),
        1 => broken_run(true),
        2 => RunEnd::CallerGone { usage: None },
        _ => whole(u64::from(kind)),
    }
}

fn play(site: &mut Site, version: u64, step: Step, ids: &mut Vec<RequestId>) {
    let pick =
        |ids: &[RequestId], index: u8| ids.get(usize::from(index) % ids.len().max(1)).copied();
    match step {
        Step::Limit(prepaid) => set_limit(site, version, prepaid),
        Step::Remove => {
            site.handle(Event::Table(table_with_payers(version, Vec::new())));
        }
        Step::Send(route, size) => {
            let route = ["stream", "again", "once"][usize::from(route) % 3];
            ids.push(site.send(route, u64::from(size), u64::from(size) / 8));
        }
        Step::End(index, kind) => {
            if let Some(id) = pick(ids, index) {
                site.handle(Event::RunEnded(id, run_end(kind)));
            }
        }
        Step::Leave(index) => {
            if let Some(id) = pick(ids, index) {
                site.handle(Event::CallerGone(id));
            }
        }
        Step::Loan(amount) => {
            let ask = loan(site, version, amount);
            site.handle(Event::LoanRequested(ReplyId(version), ask));
        }
        Step::LoanAnswer(amount) => {
            let ask = loan(site, 0, amount);
            site.handle(Event::LoanAnswered(ask, Some(Tokens(u64::from(amount)))));
        }
        Step::Transfer(amount) => {
            let transfer = BudgetTransfer {
                giver: Incarnation(99),
                number: version,
                team: loans(),
                amount: Tokens(u64::from(amount)),
            };
            site.handle(Event::TransferReceived(ReplyId(version), transfer));
        }
        Step::Log(up) => site.log = if up { Log::Up } else { Log::Down },
        Step::Wait(ms) => site.advance(u64::from(ms) * 4),
    }
}

/// Returns what the requests in progress say that they reserved.
fn reserved_by_requests(site: &Site) -> u64 {
    let requests = site.core.requests.values();
    let reserved = requests.map(|request| match &request.reservation {
        Reservation::Granted(reserved) => reserved.amount().0,
        _ => 0,
    });
    reserved.sum()
}

/// Guards against reservations that a request and its team's budget remember differently, whatever happens to the
/// limit while the request is in progress.
#[test]
fn requests_and_budgets_agree_on_what_is_reserved() {
    fn agree(steps: Vec<Step>) -> bool {
        let mut site = start();
        let mut ids = Vec::new();
        steps.into_iter().enumerate().all(|(index, step)| {
            play(&mut site, 3 + index as u64, step, &mut ids);
            budget_field(&site, "reserved_here") == reserved_by_requests(&site)
        })
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(agree as fn(Vec<Step>) -> bool);
}

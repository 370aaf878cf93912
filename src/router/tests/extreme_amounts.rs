//! Amounts that callers, other routers or records of the log choose, as large as numbers can be.

use indexmap::IndexSet;

use crate::config::Payer;
use crate::decide::Prompt;
use crate::escrow::GrantKey;
use crate::escrow::GrantRow;
use crate::ids::Incarnation;
use crate::ids::Offset;
use crate::ids::RequestId;
use crate::ids::TeamId;
use crate::router::BudgetTransfer;
use crate::router::Effect;
use crate::router::Event;
use crate::router::GrantEvent;
use crate::router::LoanRequest;
use crate::router::ProblemKind;
use crate::router::PromptNotice;
use crate::router::Ran;
use crate::router::Relay;
use crate::router::ReplyId;
use crate::router::tests::site::Log;
use crate::router::tests::site::Site;
use crate::router::tests::site::payer;
use crate::router::tests::site::table_with_payers;
use crate::tokens::Tokens;

const PREPAID: u64 = 1_000_000;
const UNLIMITED: u64 = i64::MAX as u64;
const EXTREMES: [u64; 5] = [1, PREPAID, PREPAID + 1, UNLIMITED, u64::MAX];

/// Returns the team's demand and what its router holds, as the state dump has them.
fn budget(site: &Site) -> (u64, u64) {
    let dump = site.core.grant_budgets.dump(site.now);
    let team = &dump["teams"][0];
    let field = |name: &str| team[name].as_u64().expect("a number");
    (field("reserved_here"), field("granted_here"))
}

fn is_refused_as_spent(site: &Site, id: RequestId) -> bool {
    let refusal = site.refusal(id).map(|problem| (problem.kind, problem.ran));
    refusal == Some((ProblemKind::BudgetSpent, Ran::No))
}

/// Guards against requests without an upper limit that together overflow the sum of what waits for budget.
#[test]
fn requests_beyond_every_budget_are_refused_at_once() {
    let mut site = Site::start(PREPAID);
    let before = budget(&site);
    for output in [PREPAID, UNLIMITED, u64::MAX] {
        let ids: Vec<_> = (0..8).map(|_| site.send("stream", 100, output)).collect();
        for id in ids {
            assert!(is_refused_as_spent(&site, id), "{:?}", site.refusal(id));
        }
    }
    assert_eq!(budget(&site), before);
    let team: TeamId = "loans".parse().expect("a name");
    let demand = site.core.grant_budgets.budgets[&team].rate(site.now);
    assert!(demand < 1.0, "a demand of {demand} tokens a second");
    let id = site.send("stream", 100, 50);
    site.advance(100);
    assert_eq!(site.runs(id).len(), 1);
}

/// Guards against a request that no budget covers and that has other routers asked for loans.
#[test]
fn requests_beyond_every_budget_borrow_nothing() {
    let mut site = Site::start(PREPAID);
    site.log = Log::Down;
    site.receive_peer_heartbeat(PREPAID / 2);
    site.advance(1500);
    site.receive_peer_heartbeat(PREPAID / 2);
    site.send("stream", 100, UNLIMITED);
    site.advance(500);
    let asks = |effect: &Effect| matches!(effect, Effect::RequestLoan(..));
    assert!(!site.effects.iter().any(asks));
}

/// Guards against amounts of other routers that overflow a sum here.
#[test]
fn amounts_of_other_routers_overflow_nothing() {
    for owned in [false, true] {
        for amount in EXTREMES {
            let mut site = Site::start(PREPAID);
            if owned {
                site.list_peers(60);
            }
            for number in 0..4 {
                site.receive_peer_heartbeat(amount);
                let team = "loans".parse().expect("a name");
                let ask = LoanRequest {
                    borrower: Incarnation(99 + number),
                    number,
                    team,
                    amount: Tokens(amount),
                    asked: Tokens(amount),
                    priority: 0,
                };
                site.handle(Event::LoanRequested(ReplyId(number), ask.clone()));
                site.handle(Event::LoanAnswered(ask.clone(), Some(Tokens(amount))));
                site.handle(Event::TransferReceived(
                    ReplyId(number),
                    BudgetTransfer {
                        giver: Incarnation(99),
                        number,
                        team: ask.team,
                        amount: Tokens(amount),
                    },
                ));
            }
            site.advance(3000);
            let (_, granted) = budget(&site);
            assert!(granted <= PREPAID);
        }
    }
}

/// Guards against a saturated sum of grants from which a part is subtracted again.
#[test]
fn grants_that_overflow_their_sum_can_be_replaced() {
    let mut site = Site::start(PREPAID);
    let row = |site: &mut Site, router: u64, granted: u64| {
        let key = GrantKey {
            vm: "router-9".parse().expect("a name"),
            router: Incarnation(router),
            team: "loans".parse().expect("a name"),
        };
        let row = GrantRow {
            granted: Tokens(granted),
            spent: Tokens(granted),
            pace: None,
        };
        let at = Offset(site.log_end);
        site.log_end += 1;
        let end = Offset(site.log_end);
        let rows = vec![(at, key, row)];
        site.handle(Event::Grants(GrantEvent::Read { rows, end }));
    };
    for router in [8, 9] {
        row(&mut site, router, u64::MAX);
    }
    for router in [8, 9] {
        row(&mut site, router, 0);
    }
    let id = site.send("stream", 100, 50);
    site.advance(100);
    assert_eq!(site.runs(id).len(), 1);
}

/// Guards against a prompt of absurd size that makes an endpoint look busy although it rejects it.
#[test]
fn a_prompt_that_no_endpoint_can_read_delays_no_other() {
    for is_own in [false, true] {
        let mut site = Site::start(PREPAID);
        let unlimited = Payer {
            prepaid: None,
            ..payer("loans", "key", 0)
        };
        site.handle(Event::Table(table_with_payers(2, vec![unlimited])));
        match is_own {
            true => drop(send_prompt(&mut site, u64::MAX)),
            false => site.handle(Event::PromptNotice(PromptNotice {
                endpoint: "engine-0".parse().expect("a name"),
                shared: 7,
                tokens: u64::MAX,
            })),
        }
        let ids: Vec<_> = (0..8).map(|_| send_prompt(&mut site, 500)).collect();
        let endpoints = ids.iter().flat_map(|id| site.runs(*id));
        let endpoints: IndexSet<_> = endpoints.map(|run| run.endpoint.clone()).collect();
        assert_eq!(endpoints.len(), 2, "{endpoints:?}");
    }
}

fn send_prompt(site: &mut Site, tokens: u64) -> RequestId {
    let relay = Relay {
        input: Tokens(tokens),
        output: Tokens(50),
        prompt: Some(Prompt {
            shared: tokens,
            shared_tokens: 0,
            own_tokens: tokens,
        }),
        ..Relay::default()
    };
    site.send_relay("key", "stream", relay)
}

/// Guards against requests of extreme sizes that end the router, whatever their payer, route and order.
#[test]
fn requests_of_extreme_sizes_end_no_router() {
    for payer_limit in [None, Some(1), Some(UNLIMITED), Some(u64::MAX)] {
        let mut site = Site::start(PREPAID);
        let payer = Payer {
            prepaid: payer_limit.map(Tokens),
            ..payer("loans", "key", 0)
        };
        site.handle(Event::Table(table_with_payers(2, vec![payer])));
        for input in EXTREMES {
            for output in EXTREMES {
                for route in ["stream", "once", "again", "urgent"] {
                    site.send(route, input, output);
                }
                site.advance(50);
            }
        }
        site.receive_peer_heartbeat(u64::MAX);
        site.log = Log::Down;
        site.advance(3000);
    }
}

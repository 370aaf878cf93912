//! Requests without a key, and the budgets that they are paid from.

use crate::escrow::GrantKey;
use crate::escrow::GrantRow;
use crate::ids::Incarnation;
use crate::ids::Offset;
use crate::ids::RequestId;
use crate::router::AdminId;
use crate::router::Effect;
use crate::router::Event;
use crate::router::Gift;
use crate::router::GrantEvent;
use crate::router::LoanAsk;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::RunEnd;
use crate::router::Usage;
use crate::router::tests::site::LINGER;
use crate::router::tests::site::Log;
use crate::router::tests::site::Site;
use crate::router::tests::site::table;
use crate::router::tests::site::whole;
use crate::tokens::Tokens;

fn broken_run(begun: bool) -> RunEnd {
    RunEnd::Broken {
        usage: None,
        begun,
        died: false,
    }
}

/// Returns what the router says of its team's budget.
fn budget_field(site: &Site, field: &str) -> u64 {
    let dump = site.core.funds.dump(site.now);
    dump["teams"][0][field].as_u64().expect("a number")
}

#[test]
fn used_tokens_are_spent_and_the_remainder_is_released() {
    let mut site = Site::start(10_000);
    let id = site.send("stream", 100, 50);
    assert_eq!(site.runs(id).len(), 1);
    assert_eq!(budget_field(&site, "reserved_here"), 150);
    site.handle(Event::Ended(id, whole(21)));
    assert_eq!(budget_field(&site, "reserved_here"), 0);
    assert_eq!(budget_field(&site, "spent_here"), 121);
}

/// Returns what a request of a hundred tokens and at most fifty uses whose run ends so.
fn tokens_used(route: &str, end: RunEnd) -> u64 {
    let mut site = Site::start(10_000);
    let id = site.send(route, 100, 50);
    site.handle(Event::Ended(id, end));
    assert_eq!(budget_field(&site, "reserved_here"), 0);
    budget_field(&site, "spent_here")
}

fn answered(status: u16) -> RunEnd {
    RunEnd::Answered { status, body: None }
}

/// An endpoint dies, or a caller leaves, before there is anything of an answer. The team was given nothing; charged for the
/// prompts, it would be refused with a budget that it has not used.
#[test]
fn a_run_without_output_is_not_charged() {
    assert_eq!(tokens_used("once", broken_run(false)), 0);
    assert_eq!(tokens_used("once", RunEnd::CallerGone { usage: None }), 0);
    assert_eq!(tokens_used("once", answered(500)), 0);
}

/// A caller leaves in the middle of a stream. What it was given is used, and so is the prompt.
#[test]
fn an_abandoned_stream_is_charged_for_prompt_and_output() {
    let usage = Usage {
        prompt: Tokens::ZERO,
        answer: Tokens(14),
    };
    assert_eq!(
        tokens_used("stream", RunEnd::CallerGone { usage: Some(usage) }),
        114
    );
}

/// A completion that does not come as a stream does not tell how long it is. Counted as nothing, a team would be given more
/// than it prepaid.
#[test]
fn an_answer_of_unknown_length_is_charged_its_maximum() {
    assert_eq!(tokens_used("again", answered(200)), 150);
}

/// A team has used up its budget. Its caller is told so at once, and is served again after a top-up; it never gets more
/// than was prepaid.
#[test]
fn a_spent_budget_is_reported_at_once() {
    let mut site = Site::start(1000);
    let id = site.send("stream", 900, 50);
    site.handle(Event::Ended(id, whole(50)));
    let id = site.send("stream", 100, 50);
    site.advance(40);
    let problem = site.refusal(id).expect("it is refused");
    assert_eq!(
        (problem.kind, problem.ran),
        (ProblemKind::BudgetSpent, Ran::No)
    );
    site.handle(Event::Table(table(2, 2000)));
    let id = site.send("stream", 100, 50);
    site.advance(40);
    assert_eq!(site.runs(id).len(), 1);
    assert!(budget_field(&site, "granted_here") <= 2000);
}

/// All routers are cut off from the log, and a team's callers keep to one of them. Without a loan they would be refused
/// though another router holds plenty of the team's budget.
#[test]
fn budget_is_borrowed_in_a_log_outage() {
    let mut site = Site::start(1_000_000);
    site.log = Log::Down;
    site.receive_peer_heartbeat(500_000);
    let id = site.send("stream", 300_000, 50);
    site.advance(1500);
    site.receive_peer_heartbeat(500_000);
    let ask = site.effects.iter().find_map(|effect| match effect {
        Effect::Borrow(ask, _) => Some(ask.clone()),
        _ => None,
    });
    let ask = ask.expect("it asks the other router");
    assert!(site.refusal(id).is_none(), "it waits for the answer");
    site.handle(Event::Lent(ask, Some(Tokens(300_000))));
    site.advance(20);
    assert_eq!(site.runs(id).len(), 1);
}

/// The same, and no other router has anything. The caller is not held: it is told that the request did not run, and when
/// to come back.
#[test]
fn a_log_outage_without_lenders_is_reported_at_once() {
    let mut site = Site::start(1_000_000);
    site.log = Log::Down;
    site.advance(3000);
    let id = site.send("stream", 300_000, 50);
    site.advance(500);
    let problem = site.refusal(id).expect("it is refused");
    assert_eq!(
        (problem.kind, problem.ran),
        (ProblemKind::LogOutage, Ran::No)
    );
    assert!(problem.retry.is_some());
}

/// Asks as many callers do: urgent requests of a hundred tokens and others of a thousand, ten of each in a second, which
/// all end as soon as they run.
fn send_mixed_load(site: &mut Site, seconds: u64) -> Vec<(RequestId, RequestId)> {
    let mut sent = Vec::new();
    let mut open = Vec::new();
    for _ in 0..seconds * 10 {
        let urgent = site.send("urgent", 93, 7);
        let other = site.send("stream", 993, 7);
        open.extend([urgent, other]);
        finish_runs(site, &mut open);
        site.advance(100);
        finish_runs(site, &mut open);
        sent.push((urgent, other));
    }
    sent
}

/// Ends the requests that run, and forgets those that were refused.
fn finish_runs(site: &mut Site, open: &mut Vec<RequestId>) {
    for id in std::mem::take(open) {
        match (site.runs(id).is_empty(), site.refusal(id)) {
            (false, _) => site.handle(Event::Ended(id, whole(7))),
            (true, None) => open.push(id),
            (true, Some(_)) => {}
        }
    }
}

/// The log has not answered for a while, and what the router holds does not last until the end of the cut. The less urgent
/// caller is told so within half a second, in which its part may yet open, and the urgent one is served; paid in order, both
/// would be refused a second later.
#[test]
fn budget_is_kept_for_urgent_requests_in_a_log_outage() {
    let mut site = Site::start(110_000);
    send_mixed_load(&mut site, 4);
    site.log = Log::Down;
    send_mixed_load(&mut site, 4);
    let sent = send_mixed_load(&mut site, 1);
    site.advance(500);
    assert!(sent.iter().all(|(urgent, _)| site.runs(*urgent).len() == 1));
    let others = sent.iter().map(|(_, other)| other);
    let refused: Vec<_> = others.filter_map(|other| site.refusal(*other)).collect();
    assert!(refused.len() >= 5, "{} of ten were refused", refused.len());
    for problem in refused {
        assert_eq!((problem.kind.status(), problem.ran), (503, Ran::No));
        assert!(problem.retry.is_some());
    }
}

/// All routers lost their power, and most of a team's budget is what they might have spent. For hours no large request could
/// be paid any more, and the small urgent ones would run dry with them.
#[test]
fn budget_held_by_dead_routers_leaves_the_rest_to_urgent_requests() {
    let mut site = Site::start(100_000);
    grant_to_dead_router(&mut site, 90_000);
    send_mixed_load(&mut site, 2);
    let (urgent, other) = send_mixed_load(&mut site, 1)[9];
    assert_eq!(site.runs(urgent).len(), 1);
    let problem = site.refusal(other).expect("it is refused");
    assert_eq!(
        (problem.kind, problem.ran),
        (ProblemKind::BudgetHeld, Ran::No)
    );
}

/// A team uses its budget up, and no other router has any of it. What is left goes to whoever asks, to the last request
/// that it covers: kept back, it would serve nobody.
#[test]
fn a_budget_is_used_up_completely() {
    let mut site = Site::start(30_000);
    send_mixed_load(&mut site, 4);
    assert!(budget_field(&site, "spent_here") > 29_000);
}

/// Has a router that died be granted so much of the budget.
fn grant_to_dead_router(site: &mut Site, granted: u64) {
    let key = GrantKey {
        vm: "router-9".parse().expect("a name"),
        router: Incarnation(9),
        team: "loans".parse().expect("a name"),
    };
    let row = GrantRow {
        granted: Tokens(granted),
        spent: Tokens::ZERO,
        pace: None,
    };
    let at = Offset(site.log_end);
    site.log_end += 1;
    site.handle(Event::Grants(GrantEvent::Read {
        rows: vec![(at, key, row)],
        end: Offset(site.log_end),
    }));
}

/// A lender counts what it lends when it is asked; its answer is lost, and so is the second one a moment later, as where its VM
/// is busy or cut off. What was lent would be lost to the team: on large fleets, parts of budgets that callers had prepaid.
/// Once the lender answers again the borrower learns what it was lent.
#[test]
fn what_was_lent_without_an_answer_is_asked_for_again() {
    let mut site = Site::start(1_000_000);
    site.log = Log::Down;
    site.receive_peer_heartbeat(500_000);
    site.send("stream", 300_000, 50);
    site.advance(1500);
    site.receive_peer_heartbeat(500_000);
    let first = loan_requests(&site)
        .pop()
        .expect("it asks the other router");
    site.handle(Event::Lent(first.clone(), None));
    site.effects.clear();
    site.advance(1500);
    assert!(loan_requests(&site).is_empty(), "it was not heard of yet");
    site.receive_peer_heartbeat(0);
    site.advance(1500);
    let again = loan_requests(&site);
    let again = again.iter().find(|ask| ask.number == first.number);
    let again = again.expect("it asks again");
    assert_eq!(
        again.amount,
        Tokens::ZERO,
        "a lender that never heard of it keeps its own"
    );
    site.handle(Event::Lent(first.clone(), Some(Tokens(300_000))));
    site.handle(Event::Lent(first, Some(Tokens(300_000))));
    assert_eq!(budget_field(&site, "borrowed"), 300_000, "it counts once");
}

/// Returns the questions for loans.
fn loan_requests(site: &Site) -> Vec<LoanAsk> {
    let requests = site.effects.iter().filter_map(|effect| match effect {
        Effect::Borrow(ask, _) => Some(ask.clone()),
        _ => None,
    });
    requests.collect()
}

/// The answer to a question for a loan is lost, and the question is sent again. Both routers count the loan once, or the
/// team would be served more than it prepaid.
#[test]
fn a_loan_counts_once() {
    let mut site = Site::start(1_000_000);
    let id = site.send("stream", 1000, 50);
    site.handle(Event::Ended(id, whole(50)));
    site.advance(3000);
    let ask = LoanAsk {
        borrower: Incarnation(99),
        number: 1,
        team: "loans".parse().expect("a name"),
        amount: Tokens(100),
        asked: Tokens(100),
        priority: 0,
    };
    let lend = |site: &mut Site| {
        let lent = site.core.funds.lend(site.now, AdminId(1), &ask);
        lent.expect("it is answered at once")
    };
    let first = lend(&mut site);
    let again = lend(&mut site);
    assert!(first > Tokens::ZERO);
    assert_eq!(first, again);
    let gift = Gift {
        giver: Incarnation(99),
        number: 2,
        team: ask.team.clone(),
        amount: Tokens(500),
    };
    let before = site.core.funds.budget_report(site.now)[0].free;
    site.core.funds.receive_transfer(&gift);
    site.core.funds.receive_transfer(&gift);
    let after = site.core.funds.budget_report(site.now)[0].free;
    assert_eq!(after - before, Tokens(500));
}

/// A service's connection breaks after a disbursement was sent. Nobody knows whether it took effect, so that the caller
/// must not be told that it did not run, and it goes to no other endpoint.
#[test]
fn a_request_that_may_have_run_is_not_reported_as_not_run() {
    let mut site = Site::start(1000);
    let id = site.send("once", 0, 0);
    site.handle(Event::Ended(id, broken_run(false)));
    let problem = site.refusal(id).expect("it fails");
    assert_eq!(problem.kind.status(), 502);
    assert_eq!(site.runs(id).len(), 1);
}

/// An endpoint has no room and says that it did not run the request. Another one gets it, though it may run only once.
#[test]
fn a_request_that_did_not_run_is_retried_on_another_endpoint() {
    let mut site = Site::start(1000);
    let id = site.send("once", 0, 0);
    site.handle(Event::Ended(id, RunEnd::NotRun { retry: None }));
    let runs = site.runs(id);
    assert_eq!(runs.len(), 2);
    assert_ne!(runs[0].endpoint, runs[1].endpoint);
}

/// An endpoint dies in the middle of a stream. Another one goes on with it, but no more endpoints than the route allows.
#[test]
fn a_stream_resumes_on_another_endpoint() {
    let mut site = Site::start(10_000);
    let id = site.send("stream", 100, 50);
    site.handle(Event::Ended(id, broken_run(true)));
    assert_eq!(site.runs(id).len(), 2);
    site.handle(Event::Ended(id, broken_run(true)));
    assert_eq!(site.runs(id).len(), 2);
    let problem = site.refusal(id).expect("it is cut");
    assert_eq!(problem.kind, ProblemKind::EndpointFailed);
    assert_eq!(
        budget_field(&site, "spent_here"),
        100,
        "its prompt counts once"
    );
}

/// An endpoint takes a request and says nothing more. The caller has its answer from another one long before its time is
/// over.
#[test]
fn a_silent_endpoint_is_abandoned() {
    let mut site = Site::start(1000);
    let id = site.send("again", 0, 0);
    site.advance(600);
    let left = |effect: &Effect| matches!(effect, Effect::Leave(of) if *of == id);
    assert_eq!(site.effects.iter().filter(|e| left(e)).count(), 1);
    site.handle(Event::Ended(id, broken_run(false)));
    assert_eq!(site.runs(id).len(), 2);
}

/// A run takes longer than its route allows. The caller has its final answer at that time, once.
#[test]
fn a_route_timeout_is_enforced() {
    let mut site = Site::start(1000);
    let id = site.send("once", 0, 0);
    site.advance(2040);
    let cuts = site
        .effects
        .iter()
        .filter(|e| matches!(e, Effect::Cut(of, _) if *of == id));
    assert_eq!(cuts.count(), 1);
    assert_eq!(
        site.refusal(id).map(|p| p.kind),
        Some(ProblemKind::Deadline)
    );
}

/// A router is told to stop while callers still keep its address. It serves them for as long as they may, and ends when
/// nothing is in progress and what it did not spend went back.
#[test]
fn a_draining_router_serves_callers_that_still_use_it() {
    let mut site = Site::start(10_000);
    site.handle(Event::Drain);
    site.advance(4000);
    let id = site.send("stream", 100, 50);
    assert_eq!(site.runs(id).len(), 1);
    assert_eq!(site.refusal(id), None);
    site.advance(LINGER.as_millis() as u64 - 4000 + 40);
    let exits = |site: &Site| {
        site.effects
            .iter()
            .any(|e| matches!(e, Effect::Exit { .. }))
    };
    assert!(!exits(&site), "a request is in progress");
    site.handle(Event::Ended(id, whole(10)));
    site.advance(100);
    assert!(exits(&site));
    assert_eq!(
        budget_field(&site, "granted_here"),
        budget_field(&site, "spent_here")
    );
}

/// A router stops while it is cut off from the log. What it did not spend goes to another router, which would else refuse
/// the team's callers.
#[test]
fn a_router_draining_in_a_log_outage_transfers_its_budget() {
    let mut site = Site::start(1_000_000);
    let id = site.send("stream", 1000, 50);
    site.handle(Event::Ended(id, whole(50)));
    site.advance(3000);
    site.log = Log::Down;
    site.advance(2000);
    site.handle(Event::Drain);
    for _ in 0..12 {
        site.receive_peer_heartbeat(0);
        site.advance(500);
    }
    let given = site
        .effects
        .iter()
        .any(|e| matches!(e, Effect::Give(gift, _) if gift.amount > Tokens::ZERO));
    assert!(given);
}

/// A request comes to a router that is about to end. One that is over before that is served; one that may last longer would
/// be cut off, and is told at once to go elsewhere.
#[test]
fn what_would_be_cut_off_goes_elsewhere() {
    let mut site = Site::start(10_000);
    let busy = site.send("stream", 100, 50);
    site.handle(Event::Drain);
    site.advance(5600);
    let short = site.send("once", 0, 0);
    assert_eq!(
        site.runs(short).len(),
        1,
        "2.0 s fit into what is left of 7.7 s"
    );
    site.advance(200);
    let long = site.send("once", 0, 0);
    let problem = site.refusal(long).expect("it is refused");
    assert_eq!(
        (problem.kind, problem.ran),
        (ProblemKind::NotServing, Ran::No)
    );
    assert!(problem.retry.is_some());
    assert!(
        site.refusal(busy)
            .is_some_and(|p| p.kind == ProblemKind::Deadline)
    );
}

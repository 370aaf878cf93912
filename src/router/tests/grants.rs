//! Requests without an idempotency key, and the budgets that pay for them.

use crate::escrow::GrantKey;
use crate::escrow::GrantRow;
use crate::ids::Incarnation;
use crate::ids::Offset;
use crate::ids::RequestId;
use crate::router::BudgetTransfer;
use crate::router::Effect;
use crate::router::Event;
use crate::router::GrantEvent;
use crate::router::LoanRequest;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::ReplyId;
use crate::router::RunEnd;
use crate::router::Usage;
use crate::router::tests::site::LINGER;
use crate::router::tests::site::Log;
use crate::router::tests::site::Site;
use crate::router::tests::site::broken_run;
use crate::router::tests::site::table;
use crate::router::tests::site::whole;
use crate::tokens::Tokens;

/// Returns a field of the team's budget from the state dump.
fn budget_field(site: &Site, field: &str) -> u64 {
    let dump = site.core.grant_budgets.dump(site.now);
    dump["teams"][0][field].as_u64().expect("a number")
}

#[test]
fn used_tokens_are_spent_and_the_remainder_is_released() {
    let mut site = Site::start(10_000);
    let id = site.send("stream", 100, 50);
    assert_eq!(site.runs(id).len(), 1);
    assert_eq!(budget_field(&site, "reserved_here"), 150);
    site.handle(Event::RunEnded(id, whole(21)));
    assert_eq!(budget_field(&site, "reserved_here"), 0);
    assert_eq!(budget_field(&site, "spent_here"), 121);
}

/// Returns how many tokens a request with a prompt of 100 tokens and an answer of at most 50 is charged if its run ends
/// with `end`.
fn tokens_used(route: &str, end: RunEnd) -> u64 {
    let mut site = Site::start(10_000);
    let id = site.send(route, 100, 50);
    site.handle(Event::RunEnded(id, end));
    assert_eq!(budget_field(&site, "reserved_here"), 0);
    budget_field(&site, "spent_here")
}

fn answered(status: u16) -> RunEnd {
    RunEnd::Answered { status, body: None }
}

/// An endpoint fails or a caller disconnects before there is any output. If prompts were charged in this case, the team
/// would be refused although it has not used its budget.
#[test]
fn a_run_without_output_is_not_charged() {
    assert_eq!(tokens_used("once", broken_run(false)), 0);
    assert_eq!(tokens_used("once", RunEnd::CallerGone { usage: None }), 0);
    assert_eq!(tokens_used("once", answered(500)), 0);
}

/// A caller disconnects in the middle of a stream. The output it received and the prompt are charged.
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

/// A completion that is not streamed does not report its length. If it were counted as zero, a team would be served
/// more than it prepaid.
#[test]
fn an_answer_of_unknown_length_is_charged_its_maximum() {
    assert_eq!(tokens_used("again", answered(200)), 150);
}

/// A team has used up its budget. Its caller is refused at once and served again after a top-up; the team is never
/// served more than it prepaid.
#[test]
fn a_spent_budget_is_reported_at_once() {
    let mut site = Site::start(1000);
    let id = site.send("stream", 900, 50);
    site.handle(Event::RunEnded(id, whole(50)));
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

/// All routers are cut off from the log, and a team's callers use only one of them. Without a loan they would be
/// refused although another router holds plenty of the team's budget.
#[test]
fn budget_is_borrowed_in_a_log_outage() {
    let mut site = Site::start(1_000_000);
    site.log = Log::Down;
    site.receive_peer_heartbeat(500_000);
    let id = site.send("stream", 300_000, 50);
    site.advance(1500);
    site.receive_peer_heartbeat(500_000);
    let ask = site.effects.iter().find_map(|effect| match effect {
        Effect::RequestLoan(ask, _) => Some(ask.clone()),
        _ => None,
    });
    let ask = ask.expect("it requests a loan from the other router");
    assert!(site.refusal(id).is_none(), "the request waits for the loan");
    site.handle(Event::LoanAnswered(ask, Some(Tokens(300_000))));
    site.advance(20);
    assert_eq!(site.runs(id).len(), 1);
}

/// The log is down and no other router has budget to lend. The caller does not wait: the refusal says that the request
/// did not run and when to retry.
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

/// Sends ten urgent requests of 100 tokens and ten others of 1,000 per second, each of which ends as soon as it runs.
/// Returns the pairs of an urgent and another request.
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

/// Ends the open requests that run, and removes those that were refused.
fn finish_runs(site: &mut Site, open: &mut Vec<RequestId>) {
    for id in std::mem::take(open) {
        match (site.runs(id).is_empty(), site.refusal(id)) {
            (false, _) => site.handle(Event::RunEnded(id, whole(7))),
            (true, None) => open.push(id),
            (true, Some(_)) => {}
        }
    }
}

/// The log has not answered for a while, and the router's budget will not last until the end of the outage. The less
/// urgent caller is refused within half a second, during which budget may still become free for it, and the urgent one
/// is served. Without priorities both would be refused a second later.
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

/// All routers lost power, and most of a team's budget is held back because they may have spent it. Large requests
/// could not be paid for hours, and without this reserve they would use up the budget of the small urgent ones too.
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

/// A team uses up its budget, and no other router holds any of it. The remainder serves requests of any priority, down
/// to the last one that it covers; a reserve would go unused.
#[test]
fn a_budget_is_used_up_completely() {
    let mut site = Site::start(30_000);
    send_mixed_load(&mut site, 4);
    assert!(budget_field(&site, "spent_here") > 29_000);
}

/// Adds a grant of the team's budget to a router that is dead.
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

/// A lender counts a loan as lent when it receives the request; its answer is lost, and so is the answer to the retry,
/// as happens when its VM is overloaded or disconnected. The loan would be lost to the team, which on large fleets cost
/// parts of prepaid budgets. The borrower repeats the request once the lender responds again, and learns the loan.
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
        .expect("it requests a loan from the other router");
    site.handle(Event::LoanAnswered(first.clone(), None));
    site.effects.clear();
    site.advance(1500);
    assert!(
        loan_requests(&site).is_empty(),
        "the lender has not responded yet"
    );
    site.receive_peer_heartbeat(0);
    site.advance(1500);
    let again = loan_requests(&site);
    let again = again.iter().find(|ask| ask.number == first.number);
    let again = again.expect("it repeats the loan request");
    assert_eq!(
        again.amount,
        Tokens::ZERO,
        "a lender that never got the request lends nothing"
    );
    site.handle(Event::LoanAnswered(first.clone(), Some(Tokens(300_000))));
    site.handle(Event::LoanAnswered(first, Some(Tokens(300_000))));
    assert_eq!(
        budget_field(&site, "borrowed"),
        300_000,
        "the loan counts once"
    );
}

/// Returns the loan requests that were sent.
fn loan_requests(site: &Site) -> Vec<LoanRequest> {
    let requests = site.effects.iter().filter_map(|effect| match effect {
        Effect::RequestLoan(ask, _) => Some(ask.clone()),
        _ => None,
    });
    requests.collect()
}

/// The answer to a loan request is lost, and the request is sent again. Both routers count the loan once, or the team
/// would be served more than it prepaid.
#[test]
fn a_loan_counts_once() {
    let mut site = Site::start(1_000_000);
    let id = site.send("stream", 1000, 50);
    site.handle(Event::RunEnded(id, whole(50)));
    site.advance(3000);
    let ask = LoanRequest {
        borrower: Incarnation(99),
        number: 1,
        team: "loans".parse().expect("a name"),
        amount: Tokens(100),
        asked: Tokens(100),
        priority: 0,
    };
    let lend = |site: &mut Site| {
        let lent = site.core.grant_budgets.lend(site.now, ReplyId(1), &ask);
        lent.expect("it is answered at once")
    };
    let first = lend(&mut site);
    let again = lend(&mut site);
    assert!(first > Tokens::ZERO);
    assert_eq!(first, again);
    let transfer = BudgetTransfer {
        giver: Incarnation(99),
        number: 2,
        team: ask.team.clone(),
        amount: Tokens(500),
    };
    let before = site.core.grant_budgets.budget_report(site.now)[0].free;
    site.core.grant_budgets.receive_transfer(&transfer);
    site.core.grant_budgets.receive_transfer(&transfer);
    let after = site.core.grant_budgets.budget_report(site.now)[0].free;
    assert_eq!(after - before, Tokens(500));
}

/// A service's connection breaks after a disbursement was sent. Whether it took effect is unknown, so the caller must
/// not be told that it did not run, and it is not sent to another endpoint.
#[test]
fn a_request_that_may_have_run_is_not_reported_as_not_run() {
    let mut site = Site::start(1000);
    let id = site.send("once", 0, 0);
    site.handle(Event::RunEnded(id, broken_run(false)));
    let problem = site.refusal(id).expect("it fails");
    assert_eq!(problem.kind.status(), 502);
    assert_eq!(site.runs(id).len(), 1);
}

/// An endpoint has no capacity and reports that it did not run the request. The request is sent to another endpoint
/// even if its route allows it to run only once.
#[test]
fn a_request_that_did_not_run_is_retried_on_another_endpoint() {
    let mut site = Site::start(1000);
    site.wait_for_retries();
    let id = site.send("once", 0, 0);
    site.handle(Event::RunEnded(id, RunEnd::NotRun { retry: None }));
    let runs = site.runs(id);
    assert_eq!(runs.len(), 2);
    assert_ne!(runs[0].endpoint, runs[1].endpoint);
}

/// An endpoint fails in the middle of a stream. Another one resumes it, up to the number of attempts that the route
/// allows.
#[test]
fn a_stream_resumes_on_another_endpoint() {
    let mut site = Site::start(10_000);
    site.wait_for_retries();
    let id = site.send("stream", 100, 50);
    site.handle(Event::RunEnded(id, broken_run(true)));
    assert_eq!(site.runs(id).len(), 2);
    site.handle(Event::RunEnded(id, broken_run(true)));
    assert_eq!(site.runs(id).len(), 2);
    let problem = site.refusal(id).expect("it is cut");
    assert_eq!(problem.kind, ProblemKind::EndpointFailed);
    assert_eq!(
        budget_field(&site, "spent_here"),
        100,
        "its prompt counts once"
    );
}

/// An endpoint accepts a request and sends nothing more. The request moves to another endpoint long before the route's
/// timeout.
#[test]
fn a_silent_endpoint_is_abandoned() {
    let mut site = Site::start(1000);
    site.wait_for_retries();
    let id = site.send("again", 0, 0);
    site.advance(600);
    let left = |effect: &Effect| matches!(effect, Effect::Abandon(of) if *of == id);
    assert_eq!(site.effects.iter().filter(|e| left(e)).count(), 1);
    site.handle(Event::RunEnded(id, broken_run(false)));
    assert_eq!(site.runs(id).len(), 2);
}

/// A run takes longer than its route's timeout. The caller gets the final answer at that time, exactly once.
#[test]
fn a_route_timeout_is_enforced() {
    let mut site = Site::start(1000);
    let id = site.send("once", 0, 0);
    site.advance(2040);
    let cuts = site
        .effects
        .iter()
        .filter(|e| matches!(e, Effect::Abort(of, _) if *of == id));
    assert_eq!(cuts.count(), 1);
    assert_eq!(
        site.refusal(id).map(|p| p.kind),
        Some(ProblemKind::Deadline)
    );
}

/// A router is drained while callers still have its address cached. It serves them for as long as the address is valid,
/// and exits once no request is in progress and its unspent budget is returned.
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
    site.handle(Event::RunEnded(id, whole(10)));
    site.advance(100);
    assert!(exits(&site));
    assert_eq!(
        budget_field(&site, "granted_here"),
        budget_field(&site, "spent_here")
    );
}

/// A router drains while it is cut off from the log. It transfers its unspent budget to another router, which would
/// otherwise refuse the team's callers.
#[test]
fn a_router_draining_in_a_log_outage_transfers_its_budget() {
    let mut site = Site::start(1_000_000);
    let id = site.send("stream", 1000, 50);
    site.handle(Event::RunEnded(id, whole(50)));
    site.advance(3000);
    site.log = Log::Down;
    site.advance(2000);
    site.handle(Event::Drain);
    for _ in 0..12 {
        site.receive_peer_heartbeat(0);
        site.advance(500);
    }
    let given = site.effects.iter().any(
        |e| matches!(e, Effect::TransferBudget(transfer, _) if transfer.amount > Tokens::ZERO),
    );
    assert!(given);
}

/// Requests arrive at a router that is about to exit. One that ends in time is served; one that may take longer would
/// be cut off, and is refused at once so that the caller goes to another router.
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

/// Guards against a planned stop that ends while callers still read their answers, and against one that never ends.
#[test]
fn a_planned_stop_waits_for_the_answers_of_callers() {
    for is_slow in [false, true] {
        let mut site = Site::start(10_000);
        site.core.record_connections(3);
        site.handle(Event::Drain);
        site.advance(LINGER.as_millis() as u64 + 500);
        let is = |site: &Site, what: fn(&Effect) -> bool| site.effects.iter().any(what);
        assert!(is(&site, |effect| matches!(
            effect,
            Effect::CloseConnections
        )));
        assert!(!is(&site, |effect| matches!(effect, Effect::Exit { .. })));
        match is_slow {
            true => site.advance(3000),
            false => {
                site.core.record_connections(0);
                site.advance(40);
            }
        }
        assert!(is(&site, |effect| matches!(
            effect,
            Effect::Exit { cut: false }
        )));
    }
}

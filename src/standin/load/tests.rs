//! The tool's own judgement: what it must not let pass.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Attempt;
use crate::ids::Fingerprint;
use crate::ids::Incarnation;
use crate::ids::Offset;
use crate::ids::RequestKey;
use crate::ids::Sequence;
use crate::ledger::Batch;
use crate::ledger::Bearer;
use crate::ledger::Claim;
use crate::ledger::Ledger;
use crate::ledger::Outcome as Ended;
use crate::ledger::Record;
use crate::ledger::TeamState;
use crate::standin::load::audit::Audit;
use crate::standin::load::audit::Called;
use crate::standin::load::audit::Ran;
use crate::standin::load::events::Events;
use crate::standin::load::job::Job;
use crate::standin::load::job::Work;
use crate::standin::load::outcome::End;
use crate::standin::load::outcome::Outcome;
use crate::standin::load::outcome::Refusal;
use crate::standin::load::outcome::Whole;
use crate::standin::load::report::Report;
use crate::standin::load::scenario::Scenario;
use crate::standin::load::summary::summarize;
use crate::standin::load::timeline::Timeline;
use crate::tokens::Tokens;

/// What the one request of these tests reserves.
const RESERVE: Tokens = Tokens(40);

fn scenario() -> Scenario {
    let text = r#"{"name": "unit", "seed": 1, "accounts": [
        {"name": "yard", "key": "k", "team": "loans", "phases": []}]}"#;
    Scenario::parse(text).unwrap()
}

fn outcome(end: End) -> Outcome {
    Outcome {
        job: Job {
            account: 0,
            client: 0,
            key: "k1".to_owned(),
            repeats: false,
            work: Work::Call {
                path: "/v1/services/records/v1/items/1".to_owned(),
                repeatable: false,
            },
            reserve: RESERVE,
            limit: 0,
            seed: 0,
        },
        end,
        attempts: 1,
        refusals: Vec::new(),
        wrong: false,
        first: None,
        gaps: Vec::new(),
        ended: Duration::ZERO,
    }
}

fn whole(number: Option<u64>) -> End {
    End::Whole(Whole {
        right: true,
        usage: None,
        number,
    })
}

fn refused(kind: &str) -> End {
    End::Refused(Refusal {
        kind: kind.to_owned(),
        ran: "no".to_owned(),
        retry: None,
        instead: None,
        sent: 20,
        came: 30,
    })
}

fn call(key: &str) -> Called {
    Called {
        key: Some(key.to_owned()),
        method: "POST".to_owned(),
    }
}

fn report(end: End, audit: &Audit) -> Report {
    summarize(&scenario(), &[outcome(end)], audit)
}

/// A ledger in which the request was claimed and, if so wished, billed.
fn ledger(billed: bool) -> Ledger {
    let key = RequestKey {
        account: "yard".parse().unwrap(),
        key: "k1".parse().unwrap(),
    };
    let mut records = vec![
        Record::Open {
            vm: "vm".parse().unwrap(),
            domain: "a".parse().unwrap(),
            address: String::new(),
        },
        Record::TopUp {
            id: "t".parse().unwrap(),
            team: "loans".parse().unwrap(),
            amount: Tokens(100),
        },
        Record::Draw {
            team: "loans".parse().unwrap(),
            want: Tokens(100),
        },
        Record::Claim(Claim {
            key: key.clone(),
            team: "loans".parse().unwrap(),
            reserved: RESERVE,
            request: Fingerprint(1),
            seen: Offset(0),
            attempt: Attempt(1),
            idempotent: false,
            bearer: Bearer::Team,
        }),
    ];
    if billed {
        records.push(Record::Bill {
            key,
            amount: RESERVE,
            outcome: Ended::Whole,
        });
    }
    let batch = Batch {
        router: Incarnation(7),
        sequence: Sequence(1),
        records,
    };
    let mut ledger = Ledger::default();
    ledger.apply(Offset(0), 10, &batch);
    ledger
}

fn audit(billed: bool) -> Audit {
    let ledger = ledger(billed);
    let mut timeline = Timeline::default();
    let team = "loans".parse().unwrap();
    timeline.note(10, ledger.team(&team).unwrap(), RESERVE);
    Audit {
        timelines: [(team, timeline)].into_iter().collect(),
        ledger: Some(ledger),
        ..Audit::default()
    }
}

/// A router lets a call's answer go and dies before its bill is in the log. The team has an answer for nothing.
#[test]
fn a_whole_answer_without_a_bill_is_told() {
    assert_eq!(report(whole(None), &audit(false)).found.billed_never, 1);
    assert_eq!(report(whole(None), &audit(true)).found.billed_never, 0);
}

/// Two routers each send the same disbursement. A family owes money that it never received.
#[test]
fn a_call_that_took_effect_twice_is_told() {
    let once = Audit {
        calls: vec![vec![call("yard/k1")], vec![call("yard/k2")]],
        ..audit(true)
    };
    assert_eq!(report(whole(None), &once).found.ran_twice, 0);
    let twice = Audit {
        calls: vec![vec![call("yard/k1")], vec![call("yard/k1")]],
        ..audit(true)
    };
    let report = report(whole(None), &twice);
    assert_eq!(report.found.ran_twice, 1);
    assert!(!report.found.holds());
}

/// A caller is told that its request was not run, sends it under a new key, and has it run twice.
#[test]
fn a_refusal_that_lies_about_what_ran_is_told() {
    let ran = Audit {
        runs: vec![Ran {
            key: Some("yard/k1".to_owned()),
            team: Some("loans".to_owned()),
            prompt_tokens: 1,
            generated: 0,
            state: "cancelled".to_owned(),
        }],
        ..audit(false)
    };
    let found = report(refused("overloaded"), &ran).found;
    assert_eq!(found.ran_refused, 1);
    assert!(!found.holds());
}

/// The answer of one call reaches the caller of another: its number is that of the other's call.
#[test]
fn a_receipt_of_another_call_is_told() {
    let calls = Audit {
        calls: vec![vec![call("yard/k1"), call("yard/other")]],
        ..audit(true)
    };
    assert_eq!(report(whole(Some(1)), &calls).wrong_answers, 0);
    assert_eq!(report(whole(Some(2)), &calls).wrong_answers, 1);
}

/// A team has 100 prepaid, 40 of them in an open claim, and a request of 40 is refused for a spent budget.
#[test]
fn a_refusal_that_the_budget_covered_is_told() {
    let found = report(refused("budget-spent"), &audit(false)).found;
    assert_eq!((found.false_refusals, found.false_refusals_free), (1, 1));
    let found = report(refused("overloaded"), &audit(false)).found;
    assert_eq!(found.false_refusals, 0);
}

/// Engines used more for a team than it prepaid, though its bills are within the budget.
#[test]
fn what_engines_used_beyond_the_budget_is_told() {
    let run = Ran {
        key: None,
        team: Some("loans".to_owned()),
        prompt_tokens: 60,
        generated: 45,
        state: "done".to_owned(),
    };
    let used = Audit {
        runs: vec![run],
        ..audit(true)
    };
    let found = report(whole(None), &used).found;
    assert_eq!(found.overspend_used, Tokens(5));
    assert_eq!(found.overspend_billed, Tokens::ZERO);
}

/// A top-up lands just before a refusal comes: the router that refused could not know of it.
#[test]
fn a_budget_must_cover_a_refused_request_all_the_while() {
    let team = |prepaid| {
        let mut team = TeamState::default();
        team.prepaid = Tokens(prepaid);
        team
    };
    let mut timeline = Timeline::default();
    timeline.note(10, &team(5), Tokens::ZERO);
    timeline.note(25, &team(100), Tokens::ZERO);
    assert!(!timeline.covered(20, 30, RESERVE));
    assert!(timeline.covered(26, 30, RESERVE));
    assert!(!timeline.covered(1, 9, RESERVE));
}

/// A stream is cut off in the middle of its end marker: it is not whole, and what came is kept.
#[test]
fn a_stream_without_its_end_marker_is_not_whole() {
    let text = b"data: {\"choices\":[{\"delta\":{\"content\":\"ab\"}}]}\n\ndata: [DO";
    let mut events = Events::default();
    assert!(events.push(Instant::now(), &text[..9]));
    assert!(events.push(Instant::now(), &text[9..]));
    assert_eq!((events.text.as_str(), events.is_whole()), ("ab", false));
    assert!(events.push(Instant::now(), b"NE]\n\n"));
    assert!(events.is_whole());
}

/// Guards against a stream that counts as whole although it ended inside an event after its end marker.
#[test]
fn a_stream_that_goes_on_after_its_end_marker_is_not_whole() {
    let mut events = Events::default();
    assert!(events.push(Instant::now(), b"data: [DONE]\n\ndata: {"));
    assert!(!events.is_whole());
}

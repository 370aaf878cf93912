use jasmineridge::Attempt;
use jasmineridge::Batch;
use jasmineridge::Bearer;
use jasmineridge::Claim;
use jasmineridge::Fingerprint;
use jasmineridge::Incarnation;
use jasmineridge::Offset;
use jasmineridge::Outcome;
use jasmineridge::Record;
use jasmineridge::RequestKey;
use jasmineridge::Sequence;
use jasmineridge::Tokens;
use serde_json::Value;
use serde_json::json;

use crate::fake::Fake;
use crate::fake::Reply;
use crate::fake::lock;
use crate::log::FakeLog;
use crate::run;

fn batch(sequence: u64, records: Vec<Record>) -> Vec<u8> {
    jasmineridge::encode(&Batch {
        router: Incarnation(7),
        sequence: Sequence(sequence),
        records,
    })
}

/// A team of 500 tokens, of which a router drew 100 and billed 20; a second run of the billed request, which took 10
/// more; and a record that cannot be read.
fn records() -> Vec<Vec<u8>> {
    let team: jasmineridge::TeamId = "lending".parse().expect("it is a name");
    let key = RequestKey {
        account: "desk".parse().expect("it is a name"),
        key: "q-1".parse().expect("it is a name"),
    };
    let open = Record::Open {
        vm: "vm-1".parse().expect("it is a name"),
        domain: "a".parse().expect("it is a name"),
        address: "192.0.2.1:8080".to_owned(),
    };
    let top_up = Record::TopUp {
        id: "payment-7".parse().expect("it is a name"),
        team: team.clone(),
        amount: Tokens(500),
    };
    let draw = Record::Draw {
        team: team.clone(),
        want: Tokens(100),
    };
    let claim = Claim {
        key: key.clone(),
        team,
        reserved: Tokens(30),
        request: Fingerprint(1),
        seen: Offset(0),
        attempt: Attempt(1),
        idempotent: true,
        bearer: Bearer::Team,
    };
    let bill = |amount| Record::Bill {
        key: key.clone(),
        amount: Tokens(amount),
        outcome: Outcome::Whole,
    };
    let again = Claim {
        attempt: Attempt(2),
        ..claim.clone()
    };
    vec![
        batch(1, vec![open, top_up.clone()]),
        batch(2, vec![draw, Record::Claim(claim)]),
        vec![255],
        batch(3, vec![bill(20), bill(20), top_up]),
        batch(4, vec![Record::Claim(again), bill(10)]),
    ]
}

fn engine(generated: u64) -> Fake {
    let runs = json!([
        {"team": "lending", "prompt_tokens": 5, "generated": generated},
        {"team": null, "prompt_tokens": 9, "generated": 9},
    ]);
    Fake::start(move |_| Reply::Whole(200, runs.to_string()))
}

#[test]
fn adds_up_a_ledger() {
    let log = FakeLog::start(records());
    let done = run(&log.fake.url(), "", &["ledger", "verify"]);
    assert_eq!(done.code, Some(0), "{done:?}");
    let expected = "\
team     prepaid  spent  lost  held  used
lending  500      20     10    70    -

records 0 to 5, 1 unreadable, 0 violations
";
    assert_eq!(done.out, expected);
    let engines = format!("{},{}", engine(15).url(), engine(15).url());
    let done = run(
        &log.fake.url(),
        "",
        &["ledger", "verify", "--engines", &engines, "--json"],
    );
    assert_eq!(done.json()["teams"][0]["used"], 40);
}

/// Engines generated more for a team than it prepaid. The fold is sound, but the operator must hear of it, and the exit
/// code must say so.
#[test]
fn tells_of_use_beyond_what_was_prepaid() {
    let log = FakeLog::start(records());
    let args = [
        "ledger",
        "verify",
        "--json",
        "--engines",
        &engine(496).url(),
    ];
    let done = run(&log.fake.url(), "", &args);
    assert_eq!(done.code, Some(1), "{done:?}");
    let expected: Value = json!(["team lending: engines used 501 of 500 prepaid"]);
    assert_eq!(done.json()["violations"], expected);
}

/// The log has let old records go, and a router wrote a checkpoint before. The sums go on from it, and the operator sees
/// that what lies before was not verified.
#[test]
fn goes_on_from_a_checkpoint() {
    let log = FakeLog::start(records());
    let mut ledger = jasmineridge::Ledger::default();
    for (at, record) in (0..3).zip(records()) {
        match jasmineridge::decode(&record) {
            Ok(batch) => drop(ledger.apply(Offset(at), 0, &batch)),
            Err(_) => ledger.skip(Offset(at)),
        }
    }
    let parts = jasmineridge::split(&ledger, 64);
    lock(&log.stream).checkpoints = parts.iter().map(jasmineridge::encode_part).collect();
    lock(&log.stream).first = 2;
    let done = run(&log.fake.url(), "", &["ledger", "verify"]);
    assert_eq!(done.code, Some(0), "{done:?}");
    let expected = "\
team     prepaid  spent  lost  held  used
lending  500      20     10    70    -

sums before record 3 are a checkpoint's
records 3 to 5, 1 unreadable, 0 violations
";
    assert_eq!(done.out, expected);
}

/// The log has let old records go, so that nothing can be said of the sums. That must not look like a sound ledger.
#[test]
fn does_not_verify_a_part_of_a_ledger() {
    let log = FakeLog::start(records());
    lock(&log.stream).first = 1;
    let done = run(&log.fake.url(), "", &["ledger", "verify"]);
    assert_eq!(done.code, Some(1), "{done:?}");
    assert!(done.err.contains("record 0 is gone"), "{done:?}");
}

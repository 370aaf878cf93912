use serde_json::json;

use crate::fake::Fake;
use crate::fake::Reply;
use crate::run;

const TOP_UP: [&str; 6] = ["team", "top-up", "lending", "500", "--id", "payment-7"];

fn fixed(status: u16, body: &str) -> Fake {
    let body = body.to_owned();
    Fake::start(move |_| Reply::Whole(status, body.clone()))
}

#[test]
fn tops_up_once() {
    let router = fixed(200, r#"{"applied":true}"#);
    let done = run("", &router.url(), &TOP_UP);
    assert_eq!((done.code, done.out.as_str()), (Some(0), "added\n"));
    let seen = &router.seen()[0];
    assert_eq!(seen.line, "POST /v1/admin/teams/lending/top-ups");
    assert_eq!(seen.header("authorization"), Some("Bearer operator"));
    let body: serde_json::Value = serde_json::from_slice(&seen.body).expect("it is JSON");
    assert_eq!(body, json!({"id": "payment-7", "amount": 500}));
    let again = fixed(200, r#"{"applied":false}"#);
    let done = run("", &again.url(), &TOP_UP);
    assert_eq!(done.code, Some(0));
    assert!(done.out.contains("nothing was added now"), "{done:?}");
}

/// The answer to a top-up is lost. It is sent again under the same name, so that it counts once, and the operator is
/// told the outcome of that.
#[test]
fn repeats_a_top_up_whose_answer_was_lost() {
    let mut lost = false;
    let router = Fake::start(move |_| match std::mem::replace(&mut lost, true) {
        false => Reply::Cut,
        true => Reply::Whole(200, r#"{"applied":false}"#.to_owned()),
    });
    let done = run("", &router.url(), &TOP_UP);
    assert_eq!(done.code, Some(0), "{done:?}");
    let seen = router.seen();
    assert_eq!((seen.len(), &seen[0].body), (2, &seen[1].body));
}

#[test]
fn tells_how_a_top_up_ended() {
    for (status, body, code) in [
        (504, r#"{"detail":"not yet in the log"}"#, 5),
        (503, r#"{"ran":"no"}"#, 4),
        (401, r#"{"title":"No operator has this key"}"#, 4),
        (
            404,
            r#"{"detail":"the configuration has no team lending"}"#,
            4,
        ),
    ] {
        let done = run("", &fixed(status, body).url(), &TOP_UP);
        assert_eq!(done.code, Some(code), "{done:?}");
        assert!(done.err.contains(&status.to_string()), "{done:?}");
    }
}

#[test]
fn fails_without_a_router() {
    assert_eq!(run("", "http://127.0.0.1:1", &TOP_UP).code, Some(1));
    assert_eq!(run("", "http://127.0.0.1:1", &["status"]).code, Some(1));
}

#[test]
fn shows_budgets() {
    let teams = json!({"teams": [
        {"team": "audit", "prepaid": 9, "spent": 1, "lost": 0, "held": 2, "undrawn": 6},
        {"team": "lending", "prepaid": 500, "spent": 20, "lost": 3, "held": 77, "undrawn": 400},
    ]});
    let router = fixed(200, &teams.to_string());
    let done = run("", &router.url(), &["team", "show"]);
    let expected = "\
team     prepaid  spent  lost  held  undrawn
audit    9        1      0     2     6
lending  500      20     3     77    400
";
    assert_eq!(done.out, expected);
    let done = run("", &router.url(), &["team", "show", "lending", "--json"]);
    assert_eq!(done.json()["teams"][0], teams["teams"][1]);
    assert_eq!(
        run("", &router.url(), &["team", "show", "nobody"]).code,
        Some(4)
    );
}

#[test]
fn shows_a_dump_an_address_and_a_drain() {
    let router = fixed(200, r#"{"vm":"vm-1","queue":{"length":0}}"#);
    let done = run("", &router.url(), &["status"]);
    assert_eq!(done.json()["queue"]["length"], 0);
    let done = run("", &router.url(), &["status", "--table"]);
    assert!(
        done.out.contains("queue\nfield   value\nlength  0\n"),
        "{done:?}"
    );

    let advice = r#"{"address":"192.0.2.1:8080","alternates":["192.0.2.2:8080"],"keep_ms":5000}"#;
    let router = fixed(200, advice);
    let done = run("", &router.url(), &["address"]);
    assert_eq!(
        done.out,
        "192.0.2.1:8080 (good for 5000 ms)\nelse 192.0.2.2:8080\n"
    );

    let router = fixed(202, "{}");
    assert_eq!(run("", &router.url(), &["drain"]).code, Some(0));
    assert_eq!(router.seen()[0].line, "POST /v1/admin/drain");
}

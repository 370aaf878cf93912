//! Requests that are refused for what stands in them, and what their callers see.

use anyhow::Result;
use hyper::Method;
use serde_json::json;

use crate::PATIENCE;
use crate::ledger::at_rest;
use crate::site::Ask;
use crate::site::KEY;
use crate::site::OTHER_KEY;
use crate::site::Plan;
use crate::site::Site;
use crate::site::change;
use crate::wait_for;

#[tokio::test]
async fn a_body_that_is_no_request_is_refused_by_its_field() -> Result<()> {
    let site = Site::start(Plan::new("malformed")).await?;
    let cases: &[(&[u8], &str)] = &[
        (b"{\"model\": \"demo\", ", "the body"),
        (b"", "the body"),
        (b"\xff\xfe", "the body"),
        (b"[1, 2]", "the body"),
        (b"{\"messages\": []}", "model"),
        (b"{\"model\": \"demo\"}", "messages"),
        (b"{\"model\": 7, \"messages\": []}", "model"),
        (
            b"{\"model\": \"demo\", \"messages\": [], \"max_tokens\": -1}",
            "max_tokens",
        ),
        (
            b"{\"model\": \"demo\", \"messages\": [], \"stream\": \"yes\"}",
            "stream",
        ),
        (b"{\"model\": \"demo\", \"messages\": [], \"n\": 2}", "n"),
    ];
    for (body, field) in cases {
        let mut ask = Ask::plain("m1", "", 1);
        ask.body = body.to_vec();
        let reply = site.routers[0].ask(&ask).await?;
        reply.assert_problem(400, "malformed", "unknown");
        let detail = reply.json()["detail"].to_string();
        assert!(detail.contains(field), "{detail}");
        // The caller's word that it never tried before is proof enough that it was not run.
        let reply = site.routers[0].ask(&ask.attempt(1)).await?;
        reply.assert_problem(400, "malformed", "no");
    }
    // Deep nesting must not take the router's stack.
    let mut ask = Ask::plain("m2", "", 1);
    ask.body = "[".repeat(100_000).into_bytes();
    let reply = site.routers[0].ask(&ask).await?;
    reply.assert_problem(400, "malformed", "unknown");
    let good = site.routers[0].ask(&Ask::plain("m1", "fine", 3)).await?;
    assert_eq!(good.status, 200, "{}", good.text());
    Ok(())
}

#[tokio::test]
async fn a_body_that_is_too_large_is_refused() -> Result<()> {
    let plan = Plan {
        settings: json!({"limits": {"body_bytes": 4096}}),
        ..Plan::new("large")
    };
    let site = Site::start(plan).await?;
    for ask in [Ask::plain("big", &"x ".repeat(3000), 1), {
        let mut ask = Ask::call("big");
        ask.body = vec![b'7'; 5000];
        ask
    }] {
        let reply = site.routers[0].ask(&ask).await?;
        reply.assert_problem(413, "too-large", "unknown");
    }
    assert!(!at_rest(&site).await?.knows("big"));
    assert_eq!(site.calls("big").await?, 0);
    Ok(())
}

#[tokio::test]
async fn a_head_that_is_too_large_is_refused() -> Result<()> {
    let site = Site::start(Plan::new("head")).await?;
    let ask = Ask::plain("h1", "hello", 1).with("jasmineridge-labels", &"a".repeat(40_000));
    let reply = site.routers[0].ask(&ask).await?;
    assert_eq!(reply.status, 431, "{}", reply.text());
    assert!(!at_rest(&site).await?.knows("h1"));
    Ok(())
}

#[tokio::test]
async fn headers_that_cannot_be_read_are_refused_by_name() -> Result<()> {
    let site = Site::start(Plan::new("headers")).await?;
    let many: Vec<_> = (0..17).map(|n| format!("l{n}=1")).collect();
    let cases = [
        ("jasmineridge-attempt", "first"),
        ("jasmineridge-attempt", "-1"),
        ("jasmineridge-deadline-ms", "soon"),
        ("jasmineridge-priority", "high"),
        ("jasmineridge-labels", "plane"),
        ("jasmineridge-labels", many.join(",").leak()),
    ];
    for (name, value) in cases {
        let ask = Ask::plain("h1", "hello", 1).with(name, value);
        let reply = site.routers[0].ask(&ask).await?;
        reply.assert_problem(400, "malformed", "unknown");
    }
    assert!(!at_rest(&site).await?.knows("h1"));
    Ok(())
}

#[tokio::test]
async fn a_key_that_is_missing_too_long_or_unreadable_is_refused() -> Result<()> {
    let site = Site::start(Plan::new("keys")).await?;
    let long = "k".repeat(129);
    for ask in [Ask::plain("", "hello", 1), Ask::call("")] {
        // Nothing can have run under no key.
        let reply = site.routers[0]
            .ask(&ask.clone().without("idempotency-key"))
            .await?;
        reply.assert_problem(400, "malformed", "no");
        for key in ["", &long, "two words"] {
            let reply = site.routers[0]
                .ask(&ask.clone().with("idempotency-key", key))
                .await?;
            reply.assert_problem(400, "malformed", "unknown");
            let detail = reply.json()["detail"].to_string();
            assert!(detail.contains("Idempotency-Key"), "{detail}");
        }
        let longest = "k".repeat(127) + if ask.method == Method::POST { "p" } else { "g" };
        let reply = site.routers[0]
            .ask(&ask.with("idempotency-key", &longest))
            .await?;
        assert!(reply.status < 500, "{}", reply.text());
    }
    Ok(())
}

#[tokio::test]
async fn a_bearer_key_that_no_account_has_is_refused() -> Result<()> {
    let site = Site::start(Plan::new("bearer")).await?;
    let ask = Ask::plain("a1", "hello", 1);
    for ask in [
        ask.clone().without("authorization"),
        ask.clone().with("authorization", "Bearer wrong"),
        ask.clone().with("authorization", "Bearer "),
        ask.clone().with("authorization", &format!("Basic {KEY}")),
        Ask::call("a1").with("authorization", "Bearer wrong"),
    ] {
        let reply = site.routers[0].ask(&ask).await?;
        reply.assert_problem(401, "unauthorized", "unknown");
        let reply = site.routers[0].ask(&ask.attempt(1)).await?;
        reply.assert_problem(401, "unauthorized", "no");
    }
    assert!(!at_rest(&site).await?.knows("a1"));
    assert_eq!(site.calls("a1").await?, 0);
    Ok(())
}

/// Two accounts happen to choose the same key, or one guesses the other's. Each gets the answer to its own request and
/// learns nothing of the other's.
#[tokio::test]
async fn another_accounts_key_is_another_request() -> Result<()> {
    let site = Site::start(Plan::new("accounts")).await?;
    let mine = site.routers[0].ask(&Ask::plain("same", "mine", 5)).await?;
    assert_eq!(mine.status, 200, "{}", mine.text());
    let other = Ask::plain("same", "other", 5)
        .with("authorization", &format!("Bearer {OTHER_KEY}"))
        .with("jasmineridge-labels", "plane=1");
    let other = site.routers[0].ask(&other).await?;
    assert_eq!(other.status, 200, "{}", other.text());
    assert_ne!(mine.json()["choices"], other.json()["choices"]);
    // The account `desk` has no way to the plain service, whatever key it names.
    site.routers[0].ask(&Ask::call("loan")).await?;
    let guess = Ask::call("loan").with("authorization", &format!("Bearer {OTHER_KEY}"));
    let guess = site.routers[0].ask(&guess.attempt(1)).await?;
    guess.assert_problem(404, "no-route", "no");
    assert_eq!(site.calls("loan").await?, 1);
    Ok(())
}

/// A program reuses a key by mistake. It must not be told that its new request is done, nor have it run.
#[tokio::test]
async fn the_same_key_with_another_body_or_path_is_refused() -> Result<()> {
    let plan = Plan {
        routers: 2,
        ..Plan::new("reused")
    };
    let site = Site::start(plan).await?;
    site.routers[0].ask(&Ask::call("c1")).await?;
    site.routers[0].ask(&Ask::plain("p1", "one", 5)).await?;
    at_rest(&site).await?;
    let mut body = Ask::call("c1");
    body.body = b"{\"loan\":17,\"amount\":501}".to_vec();
    let mut path = Ask::call("c1");
    path.path = "/v1/services/records/v1/loans/18".to_owned();
    for router in &site.routers {
        for ask in [body.clone(), path.clone(), Ask::plain("p1", "two", 5)] {
            let reply = router.ask(&ask).await?;
            reply.assert_problem(422, "other-request", "unknown");
        }
    }
    assert_eq!(site.calls("c1").await?, 1);
    assert_eq!(site.runs("p1").await?.len(), 1);
    at_rest(&site).await?.assert_billed(&["c1", "p1"]);
    Ok(())
}

#[tokio::test]
async fn what_no_rule_serves_is_refused() -> Result<()> {
    let site = Site::start(Plan::new("route")).await?;
    let mut model = Ask::plain("n1", "hello", 1);
    model.body = json!({"model": "none", "messages": []})
        .to_string()
        .into_bytes();
    let mut service = Ask::call("n1");
    service.path = "/v1/services/none/v1/loans".to_owned();
    let label = Ask::plain("n1", "hello", 1)
        .with("authorization", &format!("Bearer {OTHER_KEY}"))
        .with("jasmineridge-labels", "plane=2");
    for ask in [model, service, label] {
        let reply = site.routers[0].ask(&ask).await?;
        reply.assert_problem(404, "no-route", "unknown");
        let reply = site.routers[0].ask(&ask.attempt(1)).await?;
        reply.assert_problem(404, "no-route", "no");
    }
    // What a caller says of itself goes behind what its account is.
    let posing = Ask::plain("n2", "hello", 1)
        .with("authorization", &format!("Bearer {OTHER_KEY}"))
        .with("jasmineridge-labels", "account=yard");
    let reply = site.routers[0].ask(&posing).await?;
    reply.assert_problem(404, "no-route", "unknown");
    let mut elsewhere = Ask::plain("n3", "hello", 1);
    elsewhere.path = "/v1/embeddings".to_owned();
    assert_eq!(site.routers[0].ask(&elsewhere).await?.status, 404);
    assert_eq!(at_rest(&site).await?.spent("loans"), 0);
    Ok(())
}

/// An operator publishes a record of two changes, of which one is wrong. Were the sound one put in force, half of what
/// was meant would be; nothing of it is, and the status says why.
#[tokio::test]
async fn a_bad_configuration_is_refused_whole() -> Result<()> {
    let site = Site::start(Plan::new("config")).await?;
    let before = site.routers[0].status().await?["config"].clone();
    let ask = Ask::plain("k1", "hello", 3).with("jasmineridge-labels", "desk=new");
    let cases = [
        // The rule names a pool that is not there.
        json!([
            change("team", "other", 0, json!({"bearer": "team"})),
            change(
                "rule",
                "to-other",
                0,
                json!({"order": 1, "when": {"desk": ["new"]}, "team": "other", "pool": "none"})
            ),
        ]),
        // It is based on a version that is not the current one.
        json!([
            change("team", "other", 0, json!({"bearer": "team"})),
            change("team", "loans", 0, json!({"bearer": "house"})),
        ]),
        // A field is unknown.
        json!([change(
            "team",
            "loans",
            1,
            json!({"bearer": "team", "color": "red"})
        )]),
    ];
    for changes in cases {
        site.publish(&json!({"format": 1, "by": "test", "changes": changes}))
            .await?;
    }
    site.log
        .http
        .send(Method::POST, "/v1/streams/config/records", b"\x00\x01")
        .await?;
    let after = json!({"format": 1, "by": "test", "changes": [change("team", "later", 0, json!({"bearer": "team"}))]});
    site.publish(&after).await?;
    wait_for("the good one is in force", PATIENCE, async || {
        let config = &site.routers[0].status().await?["config"];
        Ok(config["version"] != before["version"])
    })
    .await?;
    let shown = site.routers[0].http.get("/v1/admin/config").await?.json;
    let text = shown.to_string();
    assert!(text.contains("later"), "{text}");
    assert!(!text.contains("\"other\""), "{text}");
    assert!(!text.contains("to-other"), "{text}");
    assert!(!text.contains("house"), "{text}");
    let reply = site.routers[0].ask(&ask).await?;
    assert_eq!(reply.status, 200, "{}", reply.text());
    at_rest(&site).await?.assert_billed(&["k1"]);
    Ok(())
}

//! The model engine.

use std::time::Duration;

use anyhow::Result;
use futures::future::join_all;
use hyper::Method;
use hyper::Response;
use hyper::body::Incoming;
use jasmineridge::EngineOptions;
use jasmineridge::expected_answer;
use jasmineridge::prompt_blocks;
use jasmineridge::start_engine;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::any_port;
use crate::client::Client;
use crate::client::Events;

pub(crate) const CHAT: &str = "/v1/chat/completions";

/// Starts an engine.
pub(crate) fn start(options: EngineOptions) -> Result<Client> {
    let engine = start_engine(any_port(), options)?;
    Ok(Client::new(engine.address))
}

/// Returns the settings of an engine that takes no time.
pub(crate) fn quick() -> EngineOptions {
    EngineOptions {
        token_ms: 0,
        prefill_us: 0,
        ..EngineOptions::default()
    }
}

/// Returns the settings of an engine that takes far longer than a test waits.
pub(crate) fn slow() -> EngineOptions {
    EngineOptions {
        token_ms: 60_000,
        ..EngineOptions::default()
    }
}

fn request(prompt: &str, max_tokens: u64, stream: bool) -> Value {
    json!({
        "model": "demo",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": stream,
    })
}

/// Sends a request for a stream, whose id is its prompt.
pub(crate) async fn open(
    engine: &Client,
    prompt: &str,
    max_tokens: u64,
    headers: &[(&str, &str)],
) -> Result<Response<Incoming>> {
    let body = request(prompt, max_tokens, true).to_string();
    let mut all = vec![("X-Request-Id", prompt)];
    all.extend(headers);
    engine.open(Method::POST, CHAT, &all, body.as_bytes()).await
}

/// Returns the runs, once they satisfy a condition.
pub(crate) async fn runs_when<F>(engine: &Client, holds: F) -> Result<Vec<Value>>
where
    F: Fn(&[Value]) -> bool,
{
    for _ in 0..1000 {
        let runs = engine.get("/v1/runs").await?.json;
        let runs: Vec<Value> = serde_json::from_value(runs)?;
        if holds(&runs) {
            return Ok(runs);
        }
        sleep(Duration::from_millis(10)).await;
    }
    anyhow::bail!("the runs never came to it")
}

#[tokio::test]
async fn a_whole_answer_is_the_expected_one() -> Result<()> {
    let engine = start(quick())?;
    let answer = engine.post(CHAT, &request("how is it", 40, false)).await?;
    assert_eq!(answer.status, 200);
    let choice = &answer.json["choices"][0];
    assert_eq!(
        choice["message"]["content"],
        expected_answer("how is it", 40)
    );
    assert_eq!(choice["finish_reason"], "length");
    let usage = json!({"prompt_tokens": 3, "completion_tokens": 40, "total_tokens": 43});
    assert_eq!(answer.json["usage"], usage);
    let short = engine
        .post(CHAT, &request("answer=2 now", 40, false))
        .await?;
    assert_eq!(short.json["choices"][0]["finish_reason"], "stop");
    assert_eq!(short.json["usage"]["completion_tokens"], 2);
    assert_ne!(expected_answer("a", 5), expected_answer("b", 5));
    let mut other = request("x", 4, false);
    other["model"] = json!("none");
    assert_eq!(engine.post(CHAT, &other).await?.status, 404);
    assert_eq!(
        engine.post(CHAT, &json!({"model": "demo"})).await?.status,
        400
    );
    Ok(())
}

#[tokio::test]
async fn a_streamed_answer_is_the_expected_one() -> Result<()> {
    for token_ms in [0, 1] {
        let engine = start(EngineOptions {
            token_ms,
            ..quick()
        })?;
        let headers = [("Idempotency-Key", "k1"), ("X-Team", "loans")];
        let response = open(&engine, "hello", 100, &headers).await?;
        assert_eq!(response.headers()["content-type"], "text/event-stream");
        let events = Events::read(&mut response.into_body(), u64::MAX).await;
        assert!(events.whole);
        assert_eq!(events.tokens, 100);
        assert_eq!(events.text, expected_answer("hello", 100));
        assert_eq!(events.usage["total_tokens"], 101);
        let run = engine.get("/v1/runs").await?.json[0].clone();
        assert_eq!((&run["id"], &run["key"]), (&json!("hello"), &json!("k1")));
        assert_eq!(
            (&run["team"], &run["state"]),
            (&json!("loans"), &json!("done"))
        );
        assert_eq!(run["generated"], 100);
    }
    Ok(())
}

#[tokio::test]
async fn waiting_requests_go_by_priority() -> Result<()> {
    let engine = start(EngineOptions { slots: 1, ..slow() })?;
    let first = open(&engine, "first", 5, &[("X-Priority", "0")]).await?;
    let late = open(&engine, "late", 0, &[("X-Priority", "5")]).await?;
    let urgent = open(&engine, "urgent", 1, &[("X-Priority", "1")]).await?;
    let load = engine.get("/v1/load").await?.json;
    assert_eq!((&load["running"], &load["waiting"]), (&json!(1), &json!(2)));
    engine.post("/v1/requests/first/cancel", &json!({})).await?;
    // The place goes to the urgent one, which takes long; the late one has no token to wait for and would be done.
    for _ in 0..3 {
        sleep(Duration::from_millis(20)).await;
        let runs = engine.get("/v1/runs").await?.json;
        assert_eq!(runs[0]["state"], "cancelled");
        assert_eq!(runs[1]["state"], "running");
    }
    engine
        .post("/v1/requests/urgent/cancel", &json!({}))
        .await?;
    runs_when(&engine, |runs| runs[1]["state"] == "done").await?;
    drop((first, late, urgent));
    Ok(())
}

/// A caller hangs up in the middle of its answer. Nobody would read the rest, so the engine stops and its place is free
/// for others.
#[tokio::test]
async fn a_run_stops_when_its_caller_leaves() -> Result<()> {
    let engine = start(slow())?;
    let response = open(&engine, "gone", 5, &[]).await?;
    drop(response);
    let whole = request("gone too", 5, false);
    let whole = engine.post(CHAT, &whole);
    assert!(timeout(Duration::from_millis(200), whole).await.is_err());
    let stopped =
        |runs: &[Value]| runs.len() == 2 && runs.iter().all(|run| run["state"] == "cancelled");
    runs_when(&engine, stopped).await?;
    Ok(())
}

#[tokio::test]
async fn a_cancelled_stream_says_what_it_used() -> Result<()> {
    let engine = start(slow())?;
    let mut body = open(&engine, "stop me", 5, &[]).await?.into_body();
    let path = "/v1/requests/stop%20me/cancel";
    let cancelled = engine.post(path, &json!({})).await?;
    assert_eq!(cancelled.json["state"], "cancelled");
    let events = Events::read(&mut body, u64::MAX).await;
    assert_eq!(events.finish.as_deref(), Some("cancelled"));
    assert_eq!(events.usage["completion_tokens"], 0);
    let unknown = engine.post("/v1/requests/none/cancel", &json!({})).await?;
    assert_eq!(unknown.status, 404);
    Ok(())
}

/// A router dies in the middle of an answer, and another one takes the stream over at the token that it has not seen.
#[tokio::test]
async fn a_broken_stream_is_resumed() -> Result<()> {
    let engine = start(EngineOptions {
        token_ms: 5,
        linger_ms: 10_000,
        ..quick()
    })?;
    let mut body = open(&engine, "again", 60, &[]).await?.into_body();
    let before = Events::read(&mut body, 3).await;
    drop(body);
    let path = format!("/v1/requests/again/stream?from_token={}", before.tokens);
    let rest = engine.open(Method::GET, &path, &[], b"").await?;
    let rest = Events::read(&mut rest.into_body(), u64::MAX).await;
    assert!(rest.whole);
    let text = format!("{}{}", before.text, rest.text);
    assert_eq!(text, expected_answer("again", 60));
    Ok(())
}

#[tokio::test]
async fn prefixes_are_cached_and_published() -> Result<()> {
    let engine = start(EngineOptions {
        cache_blocks: 3,
        ..quick()
    })?;
    let one = "one ".repeat(40);
    let two = "two ".repeat(40);
    assert_eq!(prompt_blocks(&one).len(), 2);
    assert_eq!(prompt_blocks(&one)[0], prompt_blocks(&one[..64])[0]);
    engine.post(CHAT, &request(&one, 1, false)).await?;
    engine.post(CHAT, &request(&two, 1, false)).await?;
    let page = engine.get("/v1/cache/events?from=0").await?.json;
    let events = page["events"].as_array().expect("events");
    let kinds: Vec<&Value> = events.iter().map(|event| &event["kind"]).collect();
    assert_eq!(kinds, ["stored", "stored", "stored", "stored", "removed"]);
    // The second block of the first prompt is of no use without its first, and goes before it.
    assert_eq!(events[4]["block"], prompt_blocks(&one)[1].to_string());
    assert_eq!(page["next"], 6);
    let none = engine.get("/v1/cache/events?from=6").await?.json;
    assert_eq!(none, json!({"next": 6, "events": []}));
    let blocks = json!({"blocks": prompt_blocks(&one)});
    let exported = engine.post("/v1/kv/export", &blocks).await?.json;
    assert_eq!(exported, json!({"blocks": &prompt_blocks(&one)[..1]}));
    engine.post("/v1/kv/import", &blocks).await?;
    let exported = engine.post("/v1/kv/export", &blocks).await?.json;
    assert_eq!(exported, blocks);
    assert_eq!(engine.get("/v1/load").await?.json["kv_used"], 1.0);
    Ok(())
}

/// The engine publishes what it cached late, and some of it never. Whoever follows the events sees numbers missing, and
/// takes blocks for cached that are gone or the other way round.
#[tokio::test]
async fn cache_events_come_late_and_with_gaps() -> Result<()> {
    let late = start(EngineOptions {
        event_lag_ms: 60_000,
        load_lag_ms: 60_000,
        ..quick()
    })?;
    let prompt = "word ".repeat(16 * 50);
    late.post(CHAT, &request(&prompt, 1, false)).await?;
    let events = late.get("/v1/cache/events?from=0").await?.json;
    assert_eq!(events["events"], json!([]));
    assert_eq!(late.get("/v1/load").await?.json["kv_used"], 0.0);
    let gappy = start(EngineOptions {
        event_gap: 0.5,
        ..quick()
    })?;
    gappy.post(CHAT, &request(&prompt, 1, false)).await?;
    let events = gappy.get("/v1/cache/events?from=0").await?.json;
    let seen = events["events"].as_array().expect("events").len();
    assert!(
        (5..45).contains(&seen),
        "{seen} of 50 events were published"
    );
    Ok(())
}

/// A leader that was replaced sends an order with its old fencing number. An engine that checks refuses it; one that
/// does not check obeys, and ends in the condition that the old leader wanted.
#[tokio::test]
async fn an_old_fencing_number_is_refused_or_ignored() -> Result<()> {
    for ignore_fence in [false, true] {
        let engine = start(EngineOptions {
            ignore_fence,
            load_model_ms: 0,
            ..quick()
        })?;
        let new = json!({"fence": 9, "want": {"models": ["demo", "big"], "role": "decode"}});
        assert_eq!(engine.post("/v1/orders", &new).await?.status, 200);
        let old = json!({"fence": 8, "want": {"models": ["old"]}});
        let status = if ignore_fence { 200 } else { 409 };
        assert_eq!(engine.post("/v1/orders", &old).await?.status, status);
        assert_eq!(engine.post("/v1/orders", &new).await?.status, 200);
        let history = engine.get("/v1/orders").await?.json;
        let applied = if ignore_fence { 3 } else { 2 };
        assert_eq!(history.as_array().expect("orders").len(), applied);
        let load = engine.get("/v1/load").await?.json;
        assert_eq!(load["models"], json!(["demo", "big"]));
    }
    Ok(())
}

#[tokio::test]
async fn a_model_takes_time_to_load() -> Result<()> {
    let engine = start(EngineOptions {
        load_model_ms: 60_000,
        ..quick()
    })?;
    let order = json!({"fence": 1, "want": {"models": ["big"]}});
    let answer = engine.post("/v1/orders", &order).await?.json;
    assert_eq!(answer["models"], json!(["big"]));
    assert_eq!(answer["loaded"], json!([]));
    assert_eq!(
        engine.post(CHAT, &request("x", 1, false)).await?.status,
        404
    );
    Ok(())
}

#[tokio::test]
async fn each_of_many_callers_gets_its_own_answer() -> Result<()> {
    let engine = start(EngineOptions {
        token_ms: 1,
        slots: 8,
        ..quick()
    })?;
    let prompts: Vec<String> = (0..40).map(|caller| format!("caller {caller}")).collect();
    let answers = prompts.iter().map(|prompt| async {
        let response = open(&engine, prompt, 20, &[]).await?;
        anyhow::Ok(Events::read(&mut response.into_body(), u64::MAX).await)
    });
    for (prompt, answer) in prompts.iter().zip(join_all(answers).await) {
        assert_eq!(answer?.text, expected_answer(prompt, 20));
    }
    Ok(())
}

/// An engine restarts, and whoever follows its cache's events asks for the next one of its earlier life. The number that
/// it is told lies behind its own, so it knows that the cache is empty and begins again.
#[tokio::test]
async fn a_reader_of_an_earlier_life_is_told() -> Result<()> {
    let engine = start(quick())?;
    let page = engine.get("/v1/cache/events?from=1000").await?.json;
    assert_eq!(page, json!({"next": 1, "events": []}));
    Ok(())
}

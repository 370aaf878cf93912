//! What stands in a router's log, and what never does.

use anyhow::Context;
use anyhow::Result;

use crate::ledger::at_rest;
use crate::site::Ask;
use crate::site::KEY;
use crate::site::OTHER_KEY;
use crate::site::Plan;
use crate::site::Site;

/// A word that stands in a prompt, a call's body and a label, and must not stand in any line.
const PRIVATE: &str = "zimbabwe-private-word";

#[tokio::test]
async fn no_line_has_a_secret_or_a_prompts_text() -> Result<()> {
    let plan = Plan {
        settings: serde_json::json!({"log_level": "trace"}),
        ..Plan::new("logs")
    };
    let site = Site::start(plan).await?;
    let router = &site.routers[0];
    let prompt = format!("who is {PRIVATE}");
    let mut call = Ask::call("q3");
    call.body = format!("{{\"name\":\"{PRIVATE}\"}}").into_bytes();
    let mut broken = Ask::plain("q4", "", 1);
    broken.body = format!("{{\"model\": \"{PRIVATE}\", \"{PRIVATE}\"").into_bytes();
    let mut model = Ask::plain("q5", "", 1);
    model.body = format!("{{\"model\": \"{PRIVATE}\", \"messages\": []}}").into_bytes();
    let wrong = format!("Bearer {PRIVATE}");
    let asks = [
        Ask::stream("q1", &prompt, 5),
        Ask::plain("q2", &prompt, 5),
        call,
        broken,
        model,
        Ask::plain("q6", &prompt, 5).with("authorization", &wrong),
        Ask::plain("q7", &prompt, 5).with("jasmineridge-attempt", PRIVATE),
        Ask::plain("q8", &prompt, 5).with("authorization", &format!("Bearer {OTHER_KEY}")),
    ];
    let mut named = Vec::new();
    for ask in &asks {
        let reply = router.ask(ask).await?;
        named.push(reply.header("jasmineridge-request").to_owned());
    }
    at_rest(&site).await?;
    let logged = router.logged()?;
    for secret in [KEY, OTHER_KEY, PRIVATE] {
        let line = logged.lines().find(|line| line.contains(secret));
        assert_eq!(line, None, "{secret}");
    }
    // Each served request's way can be followed by the number that its caller was given.
    for (number, key) in named.iter().zip(["q1", "q2", "q3"]) {
        let of_request: Vec<_> = logged
            .lines()
            .filter(|line| {
                line.split(' ')
                    .any(|pair| pair == format!("request={number}"))
            })
            .collect();
        for event in ["request", "dispatch", "run-ended", "billed", "finished"] {
            let pair = format!("event={event}");
            let found = of_request
                .iter()
                .any(|line| line.split(' ').any(|p| p == pair));
            assert!(found, "{key}: no {event} in {of_request:#?}");
        }
    }
    Ok(())
}

#[tokio::test]
async fn each_line_is_one_event_of_key_value_pairs() -> Result<()> {
    let site = Site::start(Plan::new("lines")).await?;
    let router = &site.routers[0];
    router.ask(&Ask::plain("q1", "hello", 5)).await?;
    router.ask(&Ask::call("q2")).await?;
    router.ask(&Ask::plain("", "hello", 5)).await?;
    let logged = router.logged()?;
    for line in logged.lines() {
        let pairs = pairs(line).with_context(|| format!("not pairs: {line}"))?;
        let names: Vec<_> = pairs.iter().map(|(name, _)| name.as_str()).collect();
        assert_eq!(&names[..2], ["time", "level"], "{line}");
        assert!(names.contains(&"event"), "{line}");
        let event = pairs.iter().find(|(name, _)| name == "event");
        let event = event
            .map(|(_, value)| value.as_str())
            .context("its value")?;
        let speaks = [
            "request",
            "dispatch",
            "run-ended",
            "billed",
            "finished",
            "refused",
        ];
        assert!(
            !speaks.contains(&event) || names.contains(&"request"),
            "{line}"
        );
    }
    Ok(())
}

/// Splits a line into its pairs; a value in quotes may have spaces.
fn pairs(line: &str) -> Option<Vec<(String, String)>> {
    let mut pairs = Vec::new();
    let mut rest = line;
    while !rest.is_empty() {
        let (name, value) = rest.split_once('=')?;
        let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
        if name.is_empty() || !name.chars().all(plain) {
            return None;
        }
        let end = match value.strip_prefix('"') {
            Some(quoted) => closing_quote(quoted)? + 2,
            None => value.find(' ').unwrap_or(value.len()),
        };
        pairs.push((name.to_owned(), value[..end].to_owned()));
        rest = value[end..].strip_prefix(' ').unwrap_or(&value[end..]);
    }
    Some(pairs)
}

fn closing_quote(text: &str) -> Option<usize> {
    let mut escaped = false;
    for (at, c) in text.char_indices() {
        match c {
            '"' if !escaped => return Some(at),
            _ => escaped = c == '\\' && !escaped,
        }
    }
    None
}

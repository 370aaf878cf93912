//! What endpoints announce in the heads of their answers.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderValue;

use crate::decide::AnnouncedLimit;
use crate::edge::relay::Dialect;
use crate::platform::heads::Heads;
use crate::platform::heads::prompt;

fn limit(status: u16, value: &[u8]) -> AnnouncedLimit {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_bytes(value).expect("bytes of a header");
    headers.insert("server-limit", value);
    let status = StatusCode::from_u16(status).expect("a status");
    Heads.announcement(status, &headers).limit
}

/// Guards against a limit that is heard only in answers of some statuses.
#[test]
fn a_limit_is_read_in_answers_of_every_status() {
    for status in [200, 404, 409, 421, 429, 500, 503] {
        let AnnouncedLimit::Rate(rate) = limit(status, b" 3.1 ") else {
            panic!("no limit with status {status}");
        };
        assert_eq!(rate.to_string(), "3.1");
    }
}

/// Guards against a limit that garbage lifts, or that stops the router.
#[test]
fn a_limit_that_cannot_be_read_is_not_a_lifted_one() {
    let garbage: [&[u8]; 10] = [
        b"",
        b"-1",
        b"nan",
        b"inf",
        b"1e999",
        b"3,1",
        b"3.1, 2",
        b"many",
        b"0x10",
        b"\xff\xfe",
    ];
    for value in garbage {
        assert_eq!(limit(200, value), AnnouncedLimit::Unreadable, "{value:?}");
    }
    let silent = Heads.announcement(StatusCode::OK, &HeaderMap::new());
    assert_eq!(silent.limit, AnnouncedLimit::None);
}

/// Guards against an idle time so long that adding it to the clock stops the task of a request.
#[test]
fn a_very_long_idle_time_is_cut_short() {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_static("timeout=18446744073709551615");
    headers.insert("keep-alive", value);
    let idle = Heads.keep_alive(&headers).flatten().expect("a time");
    assert!(idle <= Duration::from_secs(3600), "{idle:?}");
}

/// Guards against counts of tokens that overflow.
#[test]
fn a_prompt_of_too_many_tokens_is_counted_as_the_most() {
    let most = u64::MAX;
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_str(&format!("1:{most},2:{most},3:5")).expect("a header");
    headers.insert("prompt-prefix", value);
    let prompt = prompt(&headers, 10).expect("a prompt");
    assert_eq!((prompt.shared_tokens, prompt.own_tokens), (most, 0));
}

/// Guards against an announcement to leave that is heard only in answers of some statuses, or that garbage makes.
#[test]
fn an_endpoint_that_leaves_says_so_with_every_status() {
    let leaving = |status: u16, value: &[u8]| {
        let mut headers = HeaderMap::new();
        let value = HeaderValue::from_bytes(value).expect("bytes of a header");
        headers.insert("server-leaving", value);
        let status = StatusCode::from_u16(status).expect("a status");
        Heads.announcement(status, &headers).leaving
    };
    for status in [200, 404, 409, 429, 500, 503] {
        assert!(leaving(status, b"1"), "{status}");
    }
    for value in [&b""[..], b"0", b"no", b"-1", b"11", b"\xff"] {
        assert!(!leaving(200, value), "{value:?}");
    }
    assert!(
        !Heads
            .announcement(StatusCode::OK, &HeaderMap::new())
            .leaving
    );
}

//! Times for which endpoints ask not to be used.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;

use crate::edge::retry_after::rest;
use crate::edge::retry_after::retry_after;

fn read(value: &[u8]) -> Option<Duration> {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_bytes(value).expect("bytes of a header");
    headers.insert(RETRY_AFTER, value);
    retry_after(&headers)
}

/// Guards against a time that stops the task of a request, so that its caller gets no answer.
#[test]
fn a_time_that_cannot_be_read_is_none() {
    let garbage: [&[u8]; 8] = [
        b"",
        b"-1",
        b"nan",
        b"inf",
        b"3 s",
        b"soon",
        b"Wed, 21 Oct 2026 07:28:00 GMT",
        b"\xff",
    ];
    for value in garbage {
        assert_eq!(read(value), None, "{value:?}");
    }
}

/// Guards against a time so long that it cannot be added to the clock.
#[test]
fn a_very_long_time_is_cut_short() {
    for value in [&b"1e300"[..], b"18446744073709551615", b"7200"] {
        assert_eq!(read(value), Some(Duration::from_secs(3600)), "{value:?}");
    }
}

#[test]
fn seconds_may_have_a_fraction() {
    assert_eq!(read(b" 0.25"), Some(Duration::from_millis(250)));
    assert_eq!(read(b"3"), Some(Duration::from_secs(3)));
}

/// Guards against a rest that is read out of answers that turn nothing away.
#[test]
fn only_an_endpoint_that_turns_requests_away_asks_for_rest() {
    let mut headers = HeaderMap::new();
    headers.insert(RETRY_AFTER, HeaderValue::from_static("3"));
    for (status, expected) in [
        (200, false),
        (301, false),
        (429, true),
        (500, false),
        (503, true),
    ] {
        let status = StatusCode::from_u16(status).expect("a status");
        assert_eq!(rest(status, &headers).is_some(), expected, "{status}");
    }
}

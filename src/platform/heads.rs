//! Translates the headers of callers' requests and of endpoints' answers.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HOST;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::TE;
use hyper::header::TRAILER;
use hyper::header::TRANSFER_ENCODING;
use hyper::header::UPGRADE;
use hyper::http::request::Parts;
use indexmap::IndexSet;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::decide::AnnouncedValue;
use crate::decide::Announcement;
use crate::decide::Prompt;
use crate::edge::relay::Ask;
use crate::edge::relay::Dialect;
use crate::edge::relay::Verdict;
use crate::edge::retry_after::rest;
use crate::edge::retry_after::retry_after;
use crate::part_id::PartId;
use crate::request_rate::RequestRate;
use crate::router::Problem;
use crate::router::ProblemKind;
use crate::router::Ran;
use crate::router::Relay;
use crate::router::Resumption;
use crate::router::Run;
use crate::router::Secret;
use crate::tokens::Tokens;

#[cfg(test)]
mod tests;

/// The caller's id of one attempt, which the endpoint echoes.
const NAME: &str = "request-id";

/// The endpoint's digest of its answer, without which callers take no success.
const SEAL: &str = "response-seal";

/// How long the sender waits for the answer, in milliseconds.
const DEADLINE: &str = "deadline-ms";

/// The number of prompt tokens and the maximum number of answer tokens.
const COUNTS: &str = "token-counts";

/// The parts of the prompt. The last one belongs to the request alone.
const PARTS: &str = "prompt-prefix";

/// The model that the request is for.
const MODEL: &str = "model";

/// The endpoint that the request is for. Any other endpoint at the same address does not run it.
const ENDPOINT: &str = "expect-instance";

/// The client account, set by the router alone.
const ACCOUNT: &str = "tenant";

/// Present in answers to requests that were not run.
const NOT_RUN: &str = "not-executed";

/// The event after which a stream is resumed.
const LAST_EVENT: &str = "last-event-id";

/// The attempt that brought the first event of a stream that is resumed.
const RESUMES: &str = "resumes";

const KEEP_ALIVE: &str = "keep-alive";

/// How many parts of a prompt are told apart.
const MAX_PARTS: usize = 64;

/// The longest time for which an idle connection is kept open.
const MAX_IDLE: Duration = Duration::from_secs(3600);

/// The requests per second that an endpoint accepts from all routers together.
const LIMIT: &str = "server-limit";

/// The requests that a brittle endpoint can reject in a second.
const BRITTLE: &str = "server-brittle";

/// Present in the answers of an endpoint that is about to stop.
const LEAVING: &str = "server-leaving";

/// Headers that apply to one connection only.
const HOP_HEADERS: [HeaderName; 6] = [
    CONNECTION,
    CONTENT_LENGTH,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Headers that only the router may send to an endpoint. They are removed from callers' requests.
const ROUTER_HEADERS: [&str; 11] = [
    ACCOUNT,
    ENDPOINT,
    DEADLINE,
    "hold",
    "pin-ms",
    "kv-backup",
    "kv-from",
    "kv-fetch",
    "request-urgency",
    "expect-version",
    "proxy-connection",
];

/// The platform's headers.
pub(crate) struct Heads;

impl Dialect for Heads {
    fn read(&self, parts: &Parts) -> Result<Ask, Problem> {
        let headers = &parts.headers;
        let name = text(headers, NAME).ok_or_else(|| malformed("the request has no name"))?;
        let host =
            text(headers, HOST.as_str()).ok_or_else(|| malformed("the request has no host"))?;
        let (input, output) = counts(headers)?;
        let bearer = text(headers, AUTHORIZATION.as_str());
        let bearer = bearer
            .and_then(|value| value.strip_prefix("Bearer "))
            .unwrap_or_default();
        let patience = text(headers, DEADLINE).and_then(|ms| ms.parse().ok());
        let mut passed = headers.clone();
        self.strip(&mut passed);
        passed.remove(AUTHORIZATION);
        for name in ROUTER_HEADERS {
            passed.remove(name);
        }
        Ok(Ask {
            relay: Relay {
                host: host.to_owned(),
                path: parts.uri.path().to_owned(),
                input,
                output,
                prompt: prompt(headers, input.0),
                parts: shared_parts(headers),
                model: text(headers, MODEL).and_then(|name| name.parse().ok()),
                forwarded: None,
                attempt: name.parse().ok(),
                resumption: resumption(headers),
            },
            bearer: Secret(bearer.to_owned()),
            patience: patience.map(Duration::from_millis),
            name: name.to_owned(),
            method: parts.method.clone(),
            uri: parts.uri.clone(),
            headers: passed,
        })
    }

    fn head(&self, ask: &Ask, run: &Run, left: Duration, last: Option<&str>) -> HeaderMap {
        let mut headers = ask.headers.clone();
        let account = run.relay.as_ref().and_then(|relay| relay.account.as_ref());
        let account = account.map(|account| account.as_str().to_owned());
        let set = [
            (DEADLINE, Some(left.as_millis().to_string())),
            (ENDPOINT, Some(run.endpoint.to_string())),
            (ACCOUNT, account),
            (LAST_EVENT, last.map(str::to_owned)),
        ];
        insert(&mut headers, set);
        headers
    }

    fn forward_head(&self, ask: &Ask, left: Duration) -> HeaderMap {
        let mut headers = ask.headers.clone();
        let bearer = (!ask.bearer.0.is_empty()).then(|| format!("Bearer {}", ask.bearer.0));
        let set = [
            (DEADLINE, Some(left.as_millis().to_string())),
            (AUTHORIZATION.as_str(), bearer),
        ];
        insert(&mut headers, set);
        headers
    }

    fn verdict(&self, ask: &Ask, answer: &Response<Incoming>) -> Verdict {
        let headers = answer.headers();
        let status = answer.status();
        let mut names = headers.get_all(NAME).iter();
        if names.any(|name| *name != ask.name) {
            return Verdict::Foreign;
        }
        if status.as_u16() == 421 {
            return Verdict::Moved;
        }
        if headers.contains_key(NOT_RUN) {
            return Verdict::NotRun(retry_after(headers));
        }
        match headers.contains_key(NAME) {
            false => Verdict::Foreign,
            true if status.is_server_error() => Verdict::Failed,
            true if status.is_success() && !is_sealed(headers) => Verdict::Broken,
            true => Verdict::Answer,
        }
    }

    fn announcement(&self, status: StatusCode, headers: &HeaderMap) -> Announcement {
        Announcement {
            limit: limit(headers),
            tolerance: tolerance(headers),
            leaving: leaving(headers),
            rest: rest(status, headers),
        }
    }

    fn keep_alive(&self, headers: &HeaderMap) -> Option<Option<Duration>> {
        let connection = text(headers, CONNECTION.as_str()).unwrap_or_default();
        if connection.eq_ignore_ascii_case("close") {
            return None;
        }
        let idle = text(headers, KEEP_ALIVE).unwrap_or_default();
        let idle = idle
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="));
        let idle = idle.and_then(|idle| idle.parse().ok());
        Some(idle.map(|secs| Duration::from_secs(secs).min(MAX_IDLE)))
    }

    fn strip(&self, headers: &mut HeaderMap) {
        let listed = text(headers, CONNECTION.as_str()).unwrap_or_default();
        let listed: Vec<_> = listed
            .split(',')
            .map(|name| name.trim().to_ascii_lowercase())
            .collect();
        for name in listed.iter().filter(|name| !name.is_empty()) {
            headers.remove(name.as_str());
        }
        for name in HOP_HEADERS {
            headers.remove(name);
        }
        headers.remove(KEEP_ALIVE);
    }
}

/// Sets headers. Names are printable, so each of them is a valid header value, as is what came in a header.
fn insert<const N: usize>(headers: &mut HeaderMap, set: [(&'static str, Option<String>); N]) {
    for (name, value) in set {
        if let Some(value) = value.and_then(|value| HeaderValue::from_str(&value).ok()) {
            headers.insert(HeaderName::from_static(name), value);
        }
    }
}

/// Returns whether an answer has one seal.
fn is_sealed(headers: &HeaderMap) -> bool {
    let mut seals = headers.get_all(SEAL).iter();
    let has_seal = seals.next().is_some_and(|seal| !seal.is_empty());
    has_seal && seals.next().is_none()
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn malformed(detail: &str) -> Problem {
    Problem::new(ProblemKind::Malformed, Ran::No, detail)
}

/// Reads the limit that an endpoint announces.
fn limit(headers: &HeaderMap) -> AnnouncedValue<RequestRate> {
    let Some(value) = headers.get(LIMIT) else {
        return AnnouncedValue::None;
    };
    let rate = value.to_str().unwrap_or_default().trim().parse();
    match rate {
        Ok(rate) => AnnouncedValue::Value(rate),
        Err(error) => {
            warn!(event = "header-unreadable", header = LIMIT, ?value, %error);
            AnnouncedValue::Unreadable
        }
    }
}

/// Reads how many requests a brittle endpoint can reject in a second; the lowest number if there are several.
fn tolerance(headers: &HeaderMap) -> AnnouncedValue<u32> {
    let mut tolerance: AnnouncedValue<u32> = AnnouncedValue::None;
    for value in headers.get_all(BRITTLE) {
        for part in value.to_str().unwrap_or_default().split(',') {
            let count = part.trim().parse().ok().filter(|count: &f64| *count >= 0.0);
            let Some(count) = count.filter(|count| count.is_finite()) else {
                warn!(event = "header-unreadable", header = BRITTLE, ?value);
                return AnnouncedValue::Unreadable;
            };
            let count = count as u32;
            tolerance = match tolerance {
                AnnouncedValue::Value(lowest) => AnnouncedValue::Value(lowest.min(count)),
                _ => AnnouncedValue::Value(count),
            };
        }
    }
    tolerance
}

/// Returns whether an endpoint announces that it leaves.
fn leaving(headers: &HeaderMap) -> bool {
    match headers.get(LEAVING).map(HeaderValue::as_bytes) {
        None | Some(b"0") => false,
        Some(b"1") => true,
        Some(_) => {
            let value = headers.get(LEAVING);
            warn!(event = "header-unreadable", header = LEAVING, ?value);
            false
        }
    }
}

/// Reads the number of prompt tokens and the maximum number of answer tokens. Requests to plain services have neither.
fn counts(headers: &HeaderMap) -> Result<(Tokens, Tokens), Problem> {
    let Some(counts) = text(headers, COUNTS) else {
        return Ok((Tokens::ZERO, Tokens::ZERO));
    };
    let pair = counts.split_once(',');
    let read = pair.and_then(|(input, output)| {
        Some((input.trim().parse().ok()?, output.trim().parse().ok()?))
    });
    read.ok_or_else(|| malformed("the counts of tokens can't be read"))
}

/// Reads whether a request goes on with a stream, and with which.
fn resumption(headers: &HeaderMap) -> Option<Resumption> {
    headers.get(LAST_EVENT)?;
    let last = text(headers, LAST_EVENT).map(str::to_owned);
    let origin = text(headers, RESUMES).and_then(|name| name.parse().ok());
    Some(Resumption { last, origin })
}

/// Reads which parts of a prompt other requests may share: all but the last, as far as they can be read.
fn shared_parts(headers: &HeaderMap) -> Vec<PartId> {
    let values = headers.get_all(PARTS).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let mut parts: Vec<_> = texts.flat_map(|text| text.split(',')).collect();
    parts.pop();
    let ids = parts.into_iter().filter_map(|part| {
        let id = part.split(':').next()?;
        id.trim().parse().ok()
    });
    let ids: IndexSet<_> = ids.take(MAX_PARTS).collect();
    ids.into_iter().collect()
}

/// Reads the size of a prompt and of what it shares with other requests.
fn prompt(headers: &HeaderMap, input: u64) -> Option<Prompt> {
    let parts: Vec<_> = text(headers, PARTS)?.split(',').collect();
    let (_own, shared) = parts.split_last()?;
    let mut prompt = Prompt::default();
    for part in shared {
        let (id, tokens) = part.trim().split_once(':')?;
        let id = u64::from_str_radix(id, 16).ok()?;
        prompt.shared = xxh3_64_with_seed(&id.to_le_bytes(), prompt.shared);
        let tokens = tokens.parse().ok()?;
        prompt.shared_tokens = prompt.shared_tokens.saturating_add(tokens);
    }
    // A part of the prompt can't have more tokens than the whole.
    prompt.shared_tokens = prompt.shared_tokens.min(input);
    prompt.own_tokens = input - prompt.shared_tokens;
    Some(prompt)
}

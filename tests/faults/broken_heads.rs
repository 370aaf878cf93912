//! Answers that are broken in their heads or framing, over kept connections and in runs that go on with a stream.

use anyhow::Result;

use crate::plays::EVENTS;
use crate::plays::End;
use crate::plays::FIRST;
use crate::plays::Kind;
use crate::plays::ONE_EVENT;
use crate::plays::PLAIN;
use crate::plays::Play;
use crate::plays::Sent;
use crate::plays::TEXT;
use crate::plays::play_all;

/// A plain answer in chunks, with an extension and a trailer.
const CHUNKS: &str = "transfer-encoding: chunked\r\n\r\n9;x=y\r\nsome text\r\n0\r\nsum: 1\r\n\r\n";

/// Interim answers.
const INTERIM: [&str; 3] = [
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 102 Processing\r\ncontent-length: 9\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nrequest-id: NAME\r\nresponse-seal: 1\r\n\r\n",
];

/// Bytes after an answer, which belong to no request.
const MORE: [&str; 6] = [
    "garbage\r\n\r\n",
    "HTTP/1.1 200 OK\r\nrequest-id: other\r\nresponse-seal: 1\r\ncontent-length: 5\r\n\r\nwrong",
    "HTTP/1.1 200 OK\r\nresponse-seal: 1\r\ncontent-length: 5\r\n\r\nwrong",
    "HTTP/1.1 200 OK\r\nresponse-seal: 1\r\n",
    "HTTP/1.1 500 Failed\r\nresponse-seal: 1\r\ncontent-length: 5\r\n\r\nwrong",
    "HTTP/1.1 408 Late\r\ncontent-length: 5\r\nconnection: close\r\n\r\nwrong",
];

const SECOND: &str = "id: 2\ndata: b\n\n";

/// How many lengths lie between two at which an endpoint hangs, whose plays last until the deadline.
const HANG_EVERY: usize = 16;

/// Returns a play in which no answer may look whole.
fn broken(what: impl Into<String>, kind: Kind, answers: Vec<Sent>) -> Play {
    Play {
        what: what.into(),
        kind,
        last: None,
        answers,
        whole: None,
    }
}

/// Returns a play whose caller gets a body.
fn whole(what: impl Into<String>, kind: Kind, answers: Vec<Sent>, body: &str) -> Play {
    let whole = Some(body.to_owned());
    Play {
        whole,
        ..broken(what, kind, answers)
    }
}

/// Returns an answer that breaks off after each of its bytes, in each way.
fn cuts(answer: &str) -> Vec<Sent> {
    let lengths = 0..answer.len();
    let cut = |length: usize| {
        let ends: &[End] = match length % HANG_EVERY {
            0 => &[End::Close, End::Reset, End::Hang],
            _ => &[End::Close, End::Reset],
        };
        let sent = |end: &End| Sent::new(&[&answer[..length]], *end);
        ends.iter().map(sent).collect::<Vec<_>>()
    };
    lengths.flat_map(cut).collect()
}

fn name(cut: &Sent) -> String {
    format!("{} bytes, {:?}", cut.bytes.len(), cut.end)
}

/// Guards against a plain answer that breaks off, and bytes before or after one, taken for a whole one on a kept connection.
#[tokio::test]
async fn a_plain_answer_that_breaks_off_at_any_byte_is_not_whole() -> Result<()> {
    let mut plays = Vec::new();
    for (framing, kind) in [(TEXT, Kind::NonIdempotent), (CHUNKS, Kind::Idempotent)] {
        let sound = [PLAIN, framing].concat();
        for cut in cuts(&sound) {
            plays.push(broken(name(&cut), kind, vec![cut]));
        }
        for head in INTERIM {
            for cut in cuts(&[head, "H"].concat()) {
                plays.push(broken(format!("{head} {}", name(&cut)), kind, vec![cut]));
            }
            let answers = vec![Sent::new(&[head, head, &sound], End::Keep)];
            plays.push(whole(head, kind, answers, "some text"));
        }
        for bytes in MORE {
            let early = vec![Sent::new(&[&sound, bytes], End::Keep)];
            plays.push(whole(format!("{bytes}, early"), kind, early, "some text"));
            let late = vec![Sent::new(&[&sound], End::More(bytes))];
            plays.push(whole(format!("{bytes}, late"), kind, late, "some text"));
        }
    }
    let wrong = play_all(109, &plays).await?;
    assert!(wrong.is_empty(), "{}: {wrong:#?}", wrong.len());
    Ok(())
}

fn chunk(event: &str) -> String {
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// Guards against a stream that ends with the run that goes on with it, though that one breaks off.
#[tokio::test]
async fn a_stream_goes_on_after_a_run_that_breaks_off_at_any_byte() -> Result<()> {
    let mut plays = Vec::new();
    let chunks = [EVENTS, "transfer-encoding: chunked\r\n\r\n"].concat();
    let second = chunk(SECOND);
    let begin = Sent::new(&[&chunks, &chunk(FIRST)], End::Close);
    let rest = Sent::new(&[&chunks, &second, "0\r\n\r\n"], End::Keep);
    let both = [FIRST, SECOND].concat();
    let until_event_ends = second.trim_end();
    for cut in cuts(&[&*chunks, until_event_ends].concat()) {
        if cut.end == End::Hang {
            continue;
        }
        let what = name(&cut);
        let kind = Kind::Resumable;
        let answers = vec![cut.clone(), rest.clone()];
        plays.push(Play {
            last: Some(1),
            ..whole(format!("taken up, {what}"), kind, answers, SECOND)
        });
        let answers = vec![begin.clone(), cut, rest.clone()];
        plays.push(whole(format!("goes on, {what}"), kind, answers, &both));
    }
    let wrong = play_all(205, &plays).await?;
    assert!(wrong.is_empty(), "{}: {wrong:#?}", wrong.len());
    Ok(())
}

/// Guards against a success without the endpoint's seal or with the name of another request, as of a head that ended early.
#[tokio::test]
async fn a_success_has_one_seal_and_one_name() -> Result<()> {
    let seal = "response-seal: 1\r\n";
    let heads = [
        "HTTP/1.1 200 OK\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nrequest-id: NAME\r\n\r\n".to_owned(),
        PLAIN.replace("request-id: NAME\r\n", "") + TEXT,
        PLAIN.replace("NAME", "other") + TEXT,
        PLAIN.replace(seal, "request-id: other\r\nresponse-seal: 1\r\n") + TEXT,
        PLAIN.replace(seal, "") + TEXT,
        PLAIN.replace(seal, "\r\nresponse-seal: 1\r\n") + TEXT,
        PLAIN.replace(seal, "response-seal: \r\n") + TEXT,
        PLAIN.replace(seal, "response-seal: 1\r\nresponse-seal: 2\r\n") + TEXT,
        PLAIN.replace(seal, "response-sHTTP/1.1 200 OK\r\nresponse-seal: 1\r\n") + TEXT,
        PLAIN.replace(
            seal,
            "response-seal: HTTP/1.1 200 OK\r\nresponse-seal: 1\r\n",
        ) + TEXT,
        "HTTP/1.1 204 No Content\r\nrequest-id: NAME\r\n\r\n".to_owned(),
        PLAIN.replace("200 OK", "206 Part").replace(seal, "") + TEXT,
        EVENTS.replace(seal, "") + ONE_EVENT,
    ];
    let mut plays = Vec::new();
    for kind in [Kind::Idempotent, Kind::NonIdempotent, Kind::Resumable] {
        for head in &heads {
            let answers = vec![Sent::new(&[head], End::Close)];
            plays.push(broken(head, kind, answers));
        }
    }
    let events = [EVENTS, ONE_EVENT].concat();
    let begin = events.replace("content-length: 15", "content-length: 30");
    for head in [
        events.replace(seal, "").replace(": 1\nda", ": 2\nda"),
        "HTTP/1.1 204 No Content\r\nrequest-id: NAME\r\n\r\n".to_owned(),
    ] {
        let begin = Sent::new(&[&begin], End::Close);
        let answers = vec![begin, Sent::new(&[&head], End::Close)];
        plays.push(broken(format!("goes on, {head}"), Kind::Resumable, answers));
    }
    let wrong = play_all(225, &plays).await?;
    assert!(wrong.is_empty(), "{}: {wrong:#?}", wrong.len());
    Ok(())
}

/// Guards against a body that is passed on as whole though its head does not say where it ends, or is none of an answer.
#[tokio::test]
async fn an_answer_in_no_known_framing_is_none() -> Result<()> {
    let chunks = "9\r\nsome text\r\n0\r\n\r\n";
    let mut plays = Vec::new();
    for kind in [Kind::Idempotent, Kind::NonIdempotent] {
        for (framing, body) in [
            ("transfer-encoding: gzip", "some text"),
            ("transfer-encoding: identity", "some text"),
            ("transfer-encoding: chunked, gzip", chunks),
            ("transfer-encoding: gzip, chunked", chunks),
            (
                "transfer-encoding: gzip\r\ntransfer-encoding: chunked",
                chunks,
            ),
            ("transfer-encoding: chunked, chunked", chunks),
            ("transfer-encoding: gzip\r\ncontent-length: 9", "some text"),
            ("transfer-encoding:", "some text"),
            (
                "transfer-encoding: chunked",
                "10000000000000009\r\nsome text\r\n0\r\n\r\n",
            ),
            ("transfer-encoding: chunked", "-9\r\nsome text\r\n0\r\n\r\n"),
            ("transfer-encoding: chunked", "\r\nsome text\r\n0\r\n\r\n"),
            ("transfer-encoding: chunked", "8\r\nsome text\r\n0\r\n\r\n"),
            ("content-length: 4\r\ncontent-length: 9", "some text"),
            ("content-length: 4, 9", "some text"),
            ("content-length: 18446744073709551616", "some text"),
            ("content-length: 18446744073709551615", "some text"),
            ("content-length: 18446744073709551613", "some text"),
            ("content-length: -1", "some text"),
            ("content-length: +9", "some text"),
            ("content-length: x", "some text"),
            ("content-length:", "some text"),
            ("connection: upgrade\r\nupgrade: x", "some text"),
        ] {
            let upgrade = framing.contains("upgrade");
            let head = match upgrade {
                true => PLAIN.replace("200 OK", "101 Switching Protocols"),
                false => PLAIN.to_owned(),
            };
            let answers = vec![Sent::new(&[&head, framing, "\r\n\r\n", body], End::Close)];
            plays.push(broken(format!("{framing}, {body}"), kind, answers));
        }
        for first in [
            "HTTP/1.1 101 Switch",
            "HTTP/1.1 099 X",
            "HTTP/1.1 600 X",
            "HTTP/1.1 999 X",
            "HTTP/2.0 200 OK",
            "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked",
        ] {
            let head = PLAIN.replace("HTTP/1.1 200 OK", first);
            plays.push(broken(
                first,
                kind,
                vec![Sent::new(&[&head, TEXT], End::Close)],
            ));
        }
        plays.push(broken(
            "0.9",
            kind,
            vec![Sent::new(&["some text"], End::Close)],
        ));
        for (what, head, end) in [
            (
                "line feeds",
                [PLAIN, TEXT].concat().replace("\r\n", "\n"),
                End::Keep,
            ),
            (
                "1.0",
                [PLAIN, TEXT].concat().replace("1.1", "1.0"),
                End::Keep,
            ),
            (
                "1.0 without a length",
                [PLAIN, "\r\nsome text"].concat().replace("1.1", "1.0"),
                End::Close,
            ),
            (
                "length and chunks",
                [PLAIN, "content-length: 3\r\n", CHUNKS].concat(),
                End::Close,
            ),
            (
                "a length twice",
                [PLAIN, "content-length: 9\r\n", TEXT].concat(),
                End::Keep,
            ),
            (
                "chunks, spelled otherwise",
                [PLAIN, CHUNKS].concat().replace("chunked", "Chunked"),
                End::Keep,
            ),
            (
                "more than the length",
                [PLAIN, TEXT, " and more"].concat(),
                End::Keep,
            ),
        ] {
            plays.push(whole(
                what,
                kind,
                vec![Sent::new(&[&head], end)],
                "some text",
            ));
        }
    }
    let wrong = play_all(233, &plays).await?;
    assert!(wrong.is_empty(), "{}: {wrong:#?}", wrong.len());
    Ok(())
}

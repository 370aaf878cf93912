//! Answers whose framing is unknown or broken, and heads that are none of an answer.

use anyhow::Result;

use crate::plays::End;
use crate::plays::Kind;
use crate::plays::PLAIN;
use crate::plays::Play;
use crate::plays::Sent;
use crate::plays::TEXT;
use crate::plays::play_all;

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
            plays.push(Play::broken(format!("{framing}, {body}"), kind, answers));
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
            plays.push(Play::broken(
                first,
                kind,
                vec![Sent::new(&[&head, TEXT], End::Close)],
            ));
        }
        plays.push(Play::broken(
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
                [
                    PLAIN,
                    "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n",
                    chunks,
                ]
                .concat(),
                End::Close,
            ),
            (
                "a length twice",
                [PLAIN, "content-length: 9\r\n", TEXT].concat(),
                End::Keep,
            ),
            (
                "chunks, spelled otherwise",
                [PLAIN, "transfer-encoding: chunked\r\n\r\n", chunks]
                    .concat()
                    .replace("chunked", "Chunked"),
                End::Keep,
            ),
            (
                "more than the length",
                [PLAIN, TEXT, " and more"].concat(),
                End::Keep,
            ),
        ] {
            plays.push(Play::whole(
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

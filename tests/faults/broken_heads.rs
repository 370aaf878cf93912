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
            plays.push(Play::broken(name(&cut), kind, vec![cut]));
        }
        for head in INTERIM {
            for cut in cuts(&[head, "H"].concat()) {
                plays.push(Play::broken(
                    format!("{head} {}", name(&cut)),
                    kind,
                    vec![cut],
                ));
            }
            let answers = vec![Sent::new(&[head, head, &sound], End::Keep)];
            plays.push(Play::whole(head, kind, answers, "some text"));
        }
        for bytes in MORE {
            let early = vec![Sent::new(&[&sound, bytes], End::Keep)];
            plays.push(Play::whole(
                format!("{bytes}, early"),
                kind,
                early,
                "some text",
            ));
            let late = vec![Sent::new(&[&sound], End::More(bytes))];
            plays.push(Play::whole(
                format!("{bytes}, late"),
                kind,
                late,
                "some text",
            ));
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
            ..Play::whole(format!("taken up, {what}"), kind, answers, SECOND)
        });
        let answers = vec![begin.clone(), cut, rest.clone()];
        plays.push(Play::whole(
            format!("goes on, {what}"),
            kind,
            answers,
            &both,
        ));
    }
    let wrong = play_all(205, &plays).await?;
    assert!(wrong.is_empty(), "{}: {wrong:#?}", wrong.len());
    Ok(())
}

/// Guards against a success without the endpoint's seal, with the name of another request or without events in a stream's
/// place, as of a head that ended early.
#[tokio::test]
async fn a_success_without_its_seal_name_or_events_is_broken() -> Result<()> {
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
            plays.push(Play::broken(head, kind, answers));
        }
    }
    let kind = Kind::Resumable;
    let begin = [EVENTS, ONE_EVENT].concat();
    let begin = begin.replace("content-length: 15", "content-length: 30");
    let begin = Sent::new(&[&begin], End::Close);
    let sealed = "HTTP/1.1 200 OK\r\nrequest-id: NAME\r\nresponse-seal: 1\r\n";
    for head in [
        "HTTP/1.1 204 No Content\r\nrequest-id: NAME\r\n\r\n".to_owned(),
        [EVENTS, ONE_EVENT].concat().replace(seal, ""),
        [sealed, "\r\n"].concat(),
        [sealed, "\r\nid: 2\ndata: b\n\n"].concat(),
        [sealed, "content-length: 0\r\n\r\n"].concat(),
        [sealed, "\r\n"].concat().replace("200 OK", "204 None"),
        [PLAIN, TEXT].concat(),
    ] {
        let sent = Sent::new(&[&head], End::Close);
        let only = Play::broken(format!("first, {head}"), kind, vec![sent.clone()]);
        plays.push(Play {
            what: format!("taken up, {head}"),
            last: Some(1),
            ..only.clone()
        });
        plays.push(only);
        let answers = vec![begin.clone(), sent];
        plays.push(Play::broken(format!("goes on, {head}"), kind, answers));
    }
    let wrong = play_all(225, &plays).await?;
    assert!(wrong.is_empty(), "{}: {wrong:#?}", wrong.len());
    Ok(())
}

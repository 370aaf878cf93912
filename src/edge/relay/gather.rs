//! Answers that are no streams, which go on once they are whole.

use std::error::Error;

use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Response;
use hyper::body::Incoming;

use crate::edge::relay::front::Reply;
use crate::edge::relay::kept::ENDPOINT_DIED;
use crate::edge::relay::kept::Kept;
use crate::edge::relay::serve::Relays;

/// The largest answer that is gathered before it goes on: what is no stream is a record or a map tile.
const MAX_ANSWER: usize = 16 << 20;

/// Why the body of an answer could not be read.
pub(crate) type BodyError = Box<dyn Error + Send + Sync>;

/// Reads an answer that is no stream whole.
pub(crate) async fn gather(
    relays: &Relays,
    kept: Kept,
    answer: Response<Incoming>,
) -> Result<Reply, BodyError> {
    let (mut parts, body) = answer.into_parts();
    let body = Limited::new(body, MAX_ANSWER).collect().await?.to_bytes();
    if kept.has_dead_endpoint(relays).await {
        return Err(ENDPOINT_DIED.into());
    }
    relays.keep(kept);
    relays.dialect.strip(&mut parts.headers);
    let body = Full::new(body).map_err(|never| match never {});
    Ok(Response::from_parts(parts, body.boxed()))
}

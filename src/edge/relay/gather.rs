//! Answers that are no streams, which go on once they are whole.

use std::error::Error;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::edge::relay::front::Reply;
use crate::edge::relay::kept::ENDPOINT_DIED;
use crate::edge::relay::kept::Kept;
use crate::edge::relay::room::AnswerRoom;
use crate::edge::relay::room::Room;
use crate::edge::relay::serve::Relays;

/// Why the body of an answer could not be read.
pub(crate) type BodyError = Box<dyn Error + Send + Sync>;

/// Reads an answer that is no stream whole.
pub(crate) async fn gather(
    relays: &Relays,
    kept: Kept,
    answer: Response<Incoming>,
) -> Result<Reply, BodyError> {
    let (mut parts, body) = answer.into_parts();
    let body = read_whole(&relays.room, body).await?;
    if kept.has_dead_endpoint(relays).await {
        return Err(ENDPOINT_DIED.into());
    }
    relays.keep(kept);
    relays.dialect.strip(&mut parts.headers);
    let body = Full::new(body).map_err(|never| match never {});
    Ok(Response::from_parts(parts, body.boxed()))
}

/// Reads a body whole, once there is room for it. A body without a length is given room as it grows.
async fn read_whole(room: &AnswerRoom, mut body: Incoming) -> Result<Bytes, BodyError> {
    let mut taken = Room::default();
    let length = body.size_hint().exact().unwrap_or(0);
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    room.grow(&mut taken, length).await?;
    let mut whole = BytesMut::with_capacity(length);
    while let Some(frame) = body.frame().await {
        let bytes = frame?.into_data().unwrap_or_default();
        room.grow(&mut taken, whole.len() + bytes.len()).await?;
        whole.extend_from_slice(&bytes);
    }
    Ok(whole.freeze())
}

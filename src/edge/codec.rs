//! postcard as tarpc's codec. The published adapter is for another version of `tokio-serde` than tarpc's.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;

use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::tokio_serde::Deserializer;
use tarpc::tokio_serde::Serializer;

/// Reads items of one type and writes items of another.
pub(crate) struct Postcard<R, W>(PhantomData<fn() -> (R, W)>);

impl<R, W> Default for Postcard<R, W> {
    fn default() -> Self {
        Self(PhantomData)
    }
}

impl<R, W> Deserializer<R> for Postcard<R, W>
where
    R: DeserializeOwned,
{
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, bytes: &BytesMut) -> Result<R, io::Error> {
        postcard::from_bytes(bytes).map_err(io::Error::other)
    }
}

impl<R, W> Serializer<W> for Postcard<R, W>
where
    W: Serialize,
{
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &W) -> Result<Bytes, io::Error> {
        let bytes = postcard::to_stdvec(item).map_err(io::Error::other)?;
        Ok(bytes.into())
    }
}

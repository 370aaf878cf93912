//! How an endpoint's answer says where its body ends.

use std::fmt;

use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::TRANSFER_ENCODING;

/// What ends the body of an answer (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// A length that is known from the head.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection, which does not tell a complete body from one that broke off.
    Connection,
}

impl Framing {
    /// Returns the framing of an answer.
    pub(crate) fn of(answer: &Response<Incoming>) -> Self {
        if answer.body().size_hint().exact().is_some() {
            Self::Length
        } else if answer.headers().contains_key(TRANSFER_ENCODING) {
            Self::Chunks
        } else {
            Self::Connection
        }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        })
    }
}

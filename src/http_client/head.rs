//! Heads of answers.

use hyper::Response;
use hyper::header::HeaderValue;
use hyper::header::TRANSFER_ENCODING;

/// Returns whether an answer is a final one whose body can be passed on as it comes.
///
/// In a transfer coding other than chunks, which nobody asked for, the body is not the sender's, and where chunks are not the
/// last coding, nothing says that it is whole (RFC 9112, section 6.3).
pub(crate) fn is_readable<B>(answer: &Response<B>) -> bool {
    let is_chunked = |coding: &HeaderValue| coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    let mut codings = answer.headers().get_all(TRANSFER_ENCODING).iter();
    let is_framed = codings.next().is_none_or(is_chunked) && codings.next().is_none();
    is_framed && matches!(answer.status().as_u16(), 200..=599)
}

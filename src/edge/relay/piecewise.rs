//! The body of an answer that goes to the caller piece by piece, while it comes from an endpoint.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures::stream::unfold;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::body::Frame;
use tokio::sync::mpsc;

/// How many pieces may wait for a caller that reads slowly, before the endpoint is read no further.
const AHEAD: usize = 64;

/// Passes pieces on to the caller.
///
/// Dropped before [`PieceSender::finish`], by whatever way, it ends the body with an error, so that the caller sees that the
/// answer is not whole.
#[derive(Debug)]
pub(crate) struct PieceSender {
    pieces: mpsc::Sender<Bytes>,
    whole: Arc<AtomicBool>,
}

/// The caller is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Gone;

/// What makes the body: the pieces that wait, and whether no more will come because the answer is whole.
type Pieces = (mpsc::Receiver<Bytes>, Arc<AtomicBool>);

/// Makes a body and what fills it.
pub(crate) fn piecewise_body() -> (PieceSender, BoxBody<Bytes, io::Error>) {
    let (sender, pieces) = mpsc::channel(AHEAD);
    let whole = Arc::new(AtomicBool::new(false));
    let sender = PieceSender {
        pieces: sender,
        whole: whole.clone(),
    };
    let pieces = unfold(Some((pieces, whole)), next_piece);
    (sender, BodyExt::boxed(StreamBody::new(pieces)))
}

/// Returns the next piece of a body, and what makes the one after it.
async fn next_piece(
    pieces: Option<Pieces>,
) -> Option<(Result<Frame<Bytes>, io::Error>, Option<Pieces>)> {
    let (mut pieces, whole) = pieces?;
    match pieces.recv().await {
        Some(piece) => Some((Ok(Frame::data(piece)), Some((pieces, whole)))),
        None if whole.load(Ordering::Relaxed) => None,
        None => Some((Err(io::Error::other("the answer is not whole")), None)),
    }
}

impl PieceSender {
    /// Passes a piece on, once there is room for it.
    ///
    /// # Errors
    ///
    /// When the caller is gone.
    pub(crate) async fn send(&self, piece: Bytes) -> Result<(), Gone> {
        self.pieces.send(piece).await.map_err(|_| Gone)
    }

    /// Waits until the caller is gone.
    pub(crate) async fn closed(&self) {
        self.pieces.closed().await;
    }

    /// Ends the body as that of a whole answer.
    pub(crate) fn finish(self) {
        self.whole.store(true, Ordering::Relaxed);
    }
}

//! One direction of a connection through a link.

use std::io;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::try_join;

use crate::standin::proxy::faults::Direction;
use crate::standin::proxy::faults::Faults;

/// How much is read at once, in bytes.
const CHUNK: usize = 16 << 10;

/// How many chunks may be on their way; a sender that goes on beyond it meets TCP's back-pressure.
const QUEUE: usize = 64;

/// What is on its way: bytes, none at the end, or an error.
type Parcel = (Instant, io::Result<Bytes>);

/// Carries bytes until the end, and hands the end on.
///
/// # Errors
///
/// When a side fails, or when the connection has to be reset.
pub(crate) async fn pump(
    from: ReadHalf<'_>,
    to: WriteHalf<'_>,
    direction: Direction,
    faults: watch::Receiver<Faults>,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(QUEUE);
    let lost = AtomicBool::new(false);
    let fill = fill(from, sender, direction, faults.clone(), &lost);
    let drain = drain(to, receiver, direction, faults, &lost);
    try_join!(fill, drain)?;
    Ok(())
}

/// Reads into the queue. An error goes by the queue too, so that it is held back like the bytes before it.
///
/// A sender that resets its connection sends nothing again, so that bytes that are held back then are `lost`.
async fn fill(
    mut from: ReadHalf<'_>,
    queue: mpsc::Sender<Parcel>,
    direction: Direction,
    faults: watch::Receiver<Faults>,
    lost: &AtomicBool,
) -> io::Result<()> {
    loop {
        let mut chunk = BytesMut::with_capacity(CHUNK);
        let read = from.read_buf(&mut chunk).await;
        let more = matches!(read, Ok(bytes) if bytes > 0);
        if read.is_err() && faults.borrow().holds(direction) {
            lost.store(true, Ordering::Relaxed);
        }
        let delay = Duration::from_millis(faults.borrow().delay_ms);
        let parcel = read.map(|_| chunk.freeze());
        let sent = queue.send((Instant::now() + delay, parcel)).await;
        if !more || sent.is_err() {
            return Ok(());
        }
    }
}

/// Writes what is due from the queue, while the direction is not held back.
async fn drain(
    mut to: WriteHalf<'_>,
    mut queue: mpsc::Receiver<Parcel>,
    direction: Direction,
    mut faults: watch::Receiver<Faults>,
    lost: &AtomicBool,
) -> io::Result<()> {
    let mut carried = 0;
    while let Some((due, parcel)) = queue.recv().await {
        sleep_until(due).await;
        // Without the sender the link is gone, and the connection with it.
        let open = faults.wait_for(|faults| !faults.holds(direction)).await;
        let limit = open.map_err(io::Error::other)?.reset_after_bytes;
        if lost.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let bytes = parcel?;
        if bytes.is_empty() {
            return to.shutdown().await;
        }
        let room = limit.map_or(u64::MAX, |limit| limit.saturating_sub(carried));
        let part = bytes.len().min(usize::try_from(room).unwrap_or(usize::MAX));
        to.write_all(&bytes[..part]).await?;
        carried += part as u64;
        if part as u64 == room {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
    }
    Ok(())
}

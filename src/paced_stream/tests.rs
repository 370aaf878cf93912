//! Turns of connections that always have something to read.

#![expect(clippy::disallowed_methods, reason = "a test has tasks of its own")]

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::io::AsyncReadExt;
use tokio::io::repeat;
use tokio::task::yield_now;

use super::PacedStream;

/// Guards against a connection that is read without end while nothing else runs.
#[tokio::test]
async fn other_tasks_run_while_a_connection_is_read() {
    let turns = Arc::new(AtomicUsize::new(0));
    let counted = turns.clone();
    let other = tokio::spawn(async move {
        loop {
            counted.fetch_add(1, Ordering::Relaxed);
            yield_now().await;
        }
    });
    let mut stream = PacedStream::new(repeat(b'0'));
    let mut bytes = vec![0; 1 << 20];
    stream.read_exact(&mut bytes[..]).await.expect("it reads");
    let before = turns.load(Ordering::Relaxed);
    for _ in 0..64 {
        stream
            .read_exact(&mut bytes[..16 << 10])
            .await
            .expect("it reads");
    }
    let turns = turns.load(Ordering::Relaxed) - before;
    assert!(turns >= 60, "{turns} turns");
    other.abort();
}

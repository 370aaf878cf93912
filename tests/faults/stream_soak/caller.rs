//! Callers that keep connections, leave streams and take them up.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use indexmap::IndexMap;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::platform::kept_request;
use crate::received::Received;
use crate::stream_soak::EVENTS;
use crate::stream_soak::LARGE;
use crate::stream_soak::ONCE;
use crate::stream_soak::RESUMABLE;
use crate::stream_soak::stream::Stream;

/// How long after the last stream began streams are taken up, and the pause after an attempt that brought nothing.
const TAIL: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(300);
/// How long a new connection may take, and a gap between two pieces of an answer.
const CONNECT: Duration = Duration::from_secs(1);
const GAP: Duration = Duration::from_secs(2);
/// How long a slow caller pauses, and a caller may stay away, in milliseconds.
const MAX_SLOW_MS: u64 = 1500;
const MAX_AWAY_MS: u64 = 3000;
/// How many events a caller forgets at most that takes a stream up from further back.
const MAX_FORGOTTEN: usize = 3;

/// What a caller does with a stream besides reading it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Habit {
    Reads,
    /// It pauses in the middle of an answer.
    ReadsSlowly,
    Leaves,
    /// It takes the stream up after an event before the last one that it got.
    Forgets,
    /// Its first connection stays open while it takes the stream up.
    Overlaps,
    /// It takes the stream up over two connections at once.
    Doubles,
}

const HABITS: [Habit; 6] = [
    Habit::Reads,
    Habit::ReadsSlowly,
    Habit::Leaves,
    Habit::Forgets,
    Habit::Overlaps,
    Habit::Doubles,
];

/// How many of them, the first ones, take no stream up.
const READING_HABITS: usize = 2;

/// How an answer is read.
#[derive(Clone, Copy, Debug)]
struct Reading {
    /// After how many events the caller leaves.
    most: usize,
    /// How long it pauses after the first bytes.
    pause: Duration,
}

const TO_THE_END: Reading = Reading {
    most: usize::MAX,
    pause: Duration::ZERO,
};

/// A caller, which has one stream after the other.
pub(super) struct Caller {
    pub(super) name: String,
    pub(super) fronts: Vec<SocketAddr>,
    pub(super) rng: ChaCha8Rng,
    /// Connections that may be used again.
    pub(super) kept: IndexMap<SocketAddr, TcpStream>,
    /// Until when it begins streams.
    pub(super) end: Instant,
}

impl Caller {
    /// Asks for streams, and returns them.
    pub(super) async fn run(mut self) -> Result<Vec<Stream>> {
        let mut streams = Vec::new();
        while Instant::now() < self.end {
            let number = streams.len();
            streams.push(self.ask(number).await?);
        }
        Ok(streams)
    }

    /// Asks for one stream, and takes it up until it is complete or too many attempts failed.
    async fn ask(&mut self, number: usize) -> Result<Stream> {
        let (service, habits) = match self.rng.random_ratio(1, 5) {
            true => (ONCE, &HABITS[..READING_HABITS]),
            false => (RESUMABLE, &HABITS[..]),
        };
        let habit = habits[self.rng.random_range(0..habits.len())];
        let size = match habit {
            Habit::ReadsSlowly => LARGE,
            _ => "small",
        };
        let mut stream = Stream::new(format!("{service}/{size}/{}-{number}", self.name));
        let held = self.begin(&mut stream, habit).await?;
        let mut attempt = 1;
        // A caller that stayed away comes back at least once.
        let end = Instant::now().max(self.end) + TAIL;
        while !stream.complete && service == RESUMABLE && Instant::now() < end {
            if attempt == 1 && habit == Habit::Forgets {
                let forgotten = self.rng.random_range(1..=MAX_FORGOTTEN);
                let left = stream.events.len().saturating_sub(forgotten).max(1);
                stream.events.truncate(left);
            }
            let before = stream.events.len();
            if attempt == 1 && habit == Habit::Doubles {
                stream = self.take_up_twice(stream).await?;
            } else {
                self.attempt(&mut stream, attempt, TO_THE_END).await?;
            }
            if stream.events.len() == before {
                sleep(PAUSE).await;
            }
            attempt += 1;
        }
        drop(held);
        Ok(stream)
    }

    /// Makes the first attempt; returns a connection that is to stay open.
    async fn begin(&mut self, stream: &mut Stream, habit: Habit) -> Result<Option<TcpStream>> {
        let most = self.rng.random_range(1..EVENTS);
        let slow = Duration::from_millis(self.rng.random_range(0..MAX_SLOW_MS));
        let reading = match habit {
            Habit::Reads => TO_THE_END,
            Habit::ReadsSlowly => Reading {
                pause: slow,
                ..TO_THE_END
            },
            _ => Reading { most, ..TO_THE_END },
        };
        let held = self.attempt(stream, 0, reading).await?;
        if habit == Habit::Overlaps {
            return Ok(held);
        }
        drop(held);
        if habit == Habit::Leaves && self.rng.random_bool(0.5) {
            let away = self.rng.random_range(0..MAX_AWAY_MS);
            sleep(Duration::from_millis(away)).await;
        }
        Ok(None)
    }

    /// Takes a stream up at two routers at once, and returns what has more of it.
    async fn take_up_twice(&mut self, stream: Stream) -> Result<Stream> {
        let (mut first, mut second) = (stream.clone(), stream);
        let fronts = [self.front(), self.front()];
        let exchange = |front, stream, name| async move {
            match connect(front).await {
                Some(connection) => exchange(connection, stream, name, TO_THE_END)
                    .await
                    .map(drop),
                None => Ok(()),
            }
        };
        let (one, two) = tokio::join!(
            exchange(fronts[0], &mut first, "first"),
            exchange(fronts[1], &mut second, "second")
        );
        one?;
        two?;
        let (mut best, other) = match first.events.len() >= second.events.len() {
            true => (first, second),
            false => (second, first),
        };
        best.fault = best.fault.or(other.fault);
        Ok(best)
    }

    fn front(&mut self) -> SocketAddr {
        self.fronts[self.rng.random_range(0..self.fronts.len())]
    }

    /// Sends an attempt to any router, and reads its answer. Returns the connection if the caller left before its end.
    async fn attempt(
        &mut self,
        stream: &mut Stream,
        number: usize,
        reading: Reading,
    ) -> Result<Option<TcpStream>> {
        let front = self.front();
        let connection = match self.kept.swap_remove(&front) {
            Some(kept) => Some(kept),
            None => connect(front).await,
        };
        let Some(connection) = connection else {
            return Ok(None);
        };
        let name = number.to_string();
        let connection = exchange(connection, stream, &name, reading).await?;
        if stream.complete
            && let Some(kept) = connection
        {
            self.kept.insert(front, kept);
            return Ok(None);
        }
        Ok(connection)
    }
}

async fn connect(front: SocketAddr) -> Option<TcpStream> {
    timeout(CONNECT, TcpStream::connect(front)).await.ok()?.ok()
}

/// Sends an attempt, and reads its answer. Returns the connection if it is still open.
async fn exchange(
    mut connection: TcpStream,
    stream: &mut Stream,
    number: &str,
    reading: Reading,
) -> Result<Option<TcpStream>> {
    let attempt = format!("{}-{number}", stream.path.replace('/', "-"));
    let headers = match stream.events.len() {
        0 => String::new(),
        last => {
            stream.taken_up = true;
            format!("last-event-id: {last}\r\nresumes: {}\r\n", stream.origin)
        }
    };
    let request = kept_request(&stream.path, &attempt, &headers);
    if connection.write_all(request.as_bytes()).await.is_err() {
        return Ok(None);
    }
    let mut bytes = Vec::new();
    let mut pause = reading.pause;
    let open = loop {
        let read = timeout(GAP, connection.read_buf(&mut bytes)).await;
        if !matches!(read, Ok(Ok(1..))) {
            break false;
        }
        sleep(std::mem::take(&mut pause)).await;
        let text = String::from_utf8_lossy(&bytes);
        let received = Received::read_part(&text)?;
        if received.is_some_and(|r| r.complete || r.body.matches("\n\n").count() >= reading.most) {
            break !text.to_lowercase().contains("\r\nconnection: close\r\n");
        }
    };
    let text = String::from_utf8_lossy(&bytes);
    if let Some(received) = Received::read_part(&text)? {
        stream.add(&attempt, &received)?;
    }
    Ok(open.then_some(connection))
}

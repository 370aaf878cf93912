//! A store whose answers come late, slowly or in part.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::edge::clock::SystemClock;
use crate::platform::follow::Batch;
use crate::platform::follow::ReadMode;
use crate::platform::follow::Topic;
use crate::platform::follow::Update;
use crate::platform::follow::follow;
use crate::platform::record::Keyed;
use crate::platform::store::Store;

const KEY: &str = "config";
/// The time for which reads are held open.
const HOLD: Duration = Duration::from_millis(300);
/// The time limit for an expected event.
const PATIENCE: Duration = Duration::from_secs(8);
/// How many bytes the link to the store passes at once, and how often.
const PIECE: usize = 8 << 10;
const PACE: Duration = Duration::from_millis(80);

/// A store with one topic, in which each record replaces the one before.
#[derive(Clone)]
struct Records {
    size: usize,
    /// The number of records.
    count: Arc<AtomicUsize>,
    /// The maximum number of records in a page.
    page: usize,
    /// The delay of an answer.
    late: Duration,
    slow: bool,
}

impl Records {
    fn new(count: usize, size: usize) -> Self {
        Self {
            size,
            count: Arc::new(AtomicUsize::new(count)),
            page: usize::MAX,
            late: Duration::ZERO,
            slow: false,
        }
    }

    fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// Returns the value of a record: its number, padded to the common length.
    fn value(&self, number: usize) -> Vec<u8> {
        let mut value = number.to_string().into_bytes();
        value.resize(self.size, b' ');
        value
    }

    async fn serve(self) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(self.clone().answer(stream));
            }
        });
        Store::new(address)
    }

    async fn answer(self, mut stream: TcpStream) {
        let mut head = [0; 2048];
        while let Ok(length @ 1..) = stream.read(&mut head).await {
            let head = String::from_utf8_lossy(&head[..length]).into_owned();
            let body = match number(&head, "from") {
                Some(from) => self.page(&head, from).await,
                None => self.newest(),
            };
            sleep(self.late).await;
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
            let _ = stream.write_all(head.as_bytes()).await;
            for piece in body.chunks(PIECE) {
                if self.slow {
                    sleep(PACE).await;
                }
                if stream.write_all(piece).await.is_err() {
                    return;
                }
            }
        }
    }

    /// Returns the records from an offset on, once there are any or the read has been held open for the whole time.
    async fn page(&self, head: &str, from: usize) -> Vec<u8> {
        let hold = number(head, "waitMs").unwrap_or_default() as u64;
        let end = SystemClock.now() + Duration::from_millis(hold);
        while self.count() <= from && SystemClock.now() < end {
            sleep(Duration::from_millis(5)).await;
        }
        let most = number(head, "maxKb").map_or(1 << 20, |kb| kb << 10);
        let mut body = [self.count() as u64, 0].map(u64::to_be_bytes).concat();
        let limit = body.len() + most;
        for number in (from..self.count()).take(self.page) {
            let record = Keyed {
                key: KEY.to_owned(),
                value: Some(self.value(number)),
            };
            let before = body.len();
            record.encode(&mut body);
            if body.len() > limit {
                body.truncate(before);
                break;
            }
        }
        body
    }

    fn newest(&self) -> Vec<u8> {
        let offset = self.count() - 1;
        let value = BASE64_STANDARD.encode(self.value(offset));
        let items = json!([{"key": KEY, "value": value, "offset": offset}]);
        let page = json!({"items": items, "hasMore": false, "end": self.count()});
        page.to_string().into_bytes()
    }
}

/// Returns a number in the query of a request.
fn number(head: &str, name: &str) -> Option<usize> {
    let (_, rest) = head.split_once(&format!("{name}="))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn topic(mode: ReadMode) -> Topic {
    Topic {
        name: "keyed.op",
        interval: Duration::from_millis(50),
        hold: HOLD,
        mode,
    }
}

/// Follows the topic of a store, and returns the batches.
async fn follow_records(records: &Records, mode: ReadMode) -> mpsc::UnboundedReceiver<Batch> {
    let store = records.clone().serve().await;
    let (sender, batches) = mpsc::unbounded_channel();
    tokio::spawn(follow(store, topic(mode), move |batch| {
        let _ = sender.send(batch);
    }));
    batches
}

/// Returns the newest record in a batch.
fn value(batch: &Batch) -> Option<usize> {
    let value = match &batch.update {
        Update::All(rows) => rows.last().map(|(_, value)| value.clone()),
        Update::Appended(records) => records.last().and_then(|record| record.value.clone()),
    };
    let text = String::from_utf8(value?).expect("it is text");
    Some(text.trim().parse().expect("it is a number"))
}

/// Waits for a record, and returns the batch that confirms it as the newest.
async fn reach(batches: &mut mpsc::UnboundedReceiver<Batch>, wanted: usize) -> Batch {
    let mut last = None;
    let reached = async {
        loop {
            let batch = batches.recv().await.expect("it follows for ever");
            last = value(&batch).or(last);
            if batch.current.is_some() && last == Some(wanted) {
                return batch;
            }
        }
    };
    timeout(PATIENCE, reached).await.expect("it is reached")
}

/// Guards against a router that never receives the newest configuration over a slow link, because all earlier ones would be
/// read first and take longer than the time limit of a read.
#[tokio::test]
async fn the_newest_record_comes_over_a_slow_link() {
    let records = Records {
        slow: true,
        ..Records::new(1, 60 << 10)
    };
    let mut batches = follow_records(&records, ReadMode::Newest).await;
    reach(&mut batches, 0).await;
    records.count.store(12, Ordering::Relaxed);
    let begun = Instant::now();
    reach(&mut batches, 11).await;
    // Ten of the records before it would take longer than that.
    assert!(begun.elapsed() < PACE * 80, "{:?}", begun.elapsed());
}

/// Guards against a first read of all keys that is restarted without end, because it takes longer than the time limit.
#[tokio::test]
async fn all_keys_come_over_a_slow_link() {
    let records = Records {
        slow: true,
        ..Records::new(1, 200 << 10)
    };
    let mut batches = follow_records(&records, ReadMode::All).await;
    reach(&mut batches, 0).await;
}

/// Guards against the first page of records that is taken for all of them.
#[tokio::test]
async fn a_page_that_ends_before_the_end_does_not_bring_the_newest() {
    let records = Records {
        page: 1,
        ..Records::new(1, 100)
    };
    let mut batches = follow_records(&records, ReadMode::All).await;
    reach(&mut batches, 0).await;
    records.count.store(4, Ordering::Relaxed);
    let mut told = Vec::new();
    while told.last() != Some(&(Some(3), true)) {
        let batch = timeout(PATIENCE, batches.recv()).await.expect("in time");
        let batch = batch.expect("it follows for ever");
        told.extend(value(&batch).map(|number| (Some(number), batch.current.is_some())));
    }
    let before_last = [(Some(1), false), (Some(2), false), (Some(3), true)];
    assert_eq!(told, before_last);
}

/// Guards against a record larger than a page, after which nothing more would be read.
#[tokio::test]
async fn a_record_larger_than_a_page_is_read() {
    let records = Records::new(1, 100 << 10);
    let mut batches = follow_records(&records, ReadMode::Newest).await;
    reach(&mut batches, 0).await;
    records.count.store(2, Ordering::Relaxed);
    reach(&mut batches, 1).await;
}

/// Guards against an answer that was in transit for seconds and is taken for current.
#[tokio::test]
async fn what_was_the_newest_is_dated_before_its_answer() {
    let records = Records {
        late: HOLD,
        ..Records::new(1, 100)
    };
    let mut batches = follow_records(&records, ReadMode::Newest).await;
    for _ in 0..4 {
        let batch = batches.recv().await.expect("it follows for ever");
        let current = batch.current.expect("it is the newest");
        let age = SystemClock.now() - current;
        assert!(age >= HOLD, "{age:?}: {batch:?}");
    }
}

/// Guards against a router that learns only after a whole held read whether the configuration it just read is the newest.
#[tokio::test]
async fn a_record_is_soon_known_to_be_the_newest() {
    let records = Records::new(1, 100);
    let mut batches = follow_records(&records, ReadMode::Newest).await;
    reach(&mut batches, 0).await;
    records.count.store(2, Ordering::Relaxed);
    let begun = Instant::now();
    reach(&mut batches, 1).await;
    let batch = batches.recv().await.expect("it follows for ever");
    assert!(batch.current.is_some_and(|at| at > begun));
    assert!(begun.elapsed() < HOLD, "{:?}", begun.elapsed());
}

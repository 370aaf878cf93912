//! What comes from the platform, good and bad.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::config::RepeatPolicy;
use crate::decide::StreamOrigin;
use crate::edge::desk::Desk;
use crate::edge::metrics::Metrics;
use crate::escrow::GrantRow;
use crate::ids::Offset;
use crate::ids::TableVersion;
use crate::platform::config;
use crate::platform::follow::Batch;
use crate::platform::follow::ReadMode;
use crate::platform::follow::Topic;
use crate::platform::follow::Update;
use crate::platform::follow::follow;
use crate::platform::grants;
use crate::platform::operator::Operator;
use crate::platform::record::Keyed;
use crate::platform::record::Page;
use crate::platform::record::Truncated;
use crate::platform::store::Store;
use crate::platform::streams;
use crate::router::Event;
use crate::router::GrantEvent;
use crate::router::StreamLogCall;
use crate::router::StreamLogEvent;
use crate::router::StreamRecord;
use crate::settings::RequestLimits;
use crate::tokens::Tokens;

pub(crate) fn keyed(key: &str, value: &[u8]) -> Keyed {
    Keyed {
        key: key.to_owned(),
        value: (!value.is_empty()).then(|| value.to_vec()),
    }
}

/// Guards against a time of the configuration that is too long to be counted, and ends the router.
#[test]
fn absurd_times_of_a_configuration_are_cut_short() {
    let mut long = document();
    for route in 0..2 {
        for field in ["timeoutMs", "targetLatencyMs"] {
            long["routes"][route][field] = json!(1e300);
        }
    }
    long["services"][0]["coldStartS"] = json!(1e18);
    long["tenants"][0]["prepaid"] = json!(1e300);
    let table = config::decode(long.to_string().as_bytes()).expect("it is good");
    let route = table.route("maps.example", "/a/b/c").expect("a route");
    let now = Instant::now();
    for time in [route.timeout, route.objective.mul_f64(2.5)] {
        assert!(now.checked_add(time).is_some(), "{time:?}");
    }
}

#[test]
fn records_come_back() {
    let mut bytes = [9_u64.to_be_bytes(), 2_u64.to_be_bytes()].concat();
    let records = [keyed("a", b"1"), keyed("b", b"")];
    records.iter().for_each(|record| record.encode(&mut bytes));
    let page = Page::decode(&bytes).expect("it is whole");
    assert_eq!(page.end, 9);
    let back: Vec<_> = page
        .records
        .iter()
        .map(|record| Keyed::decode(record))
        .collect();
    assert_eq!(back, records.map(Ok));
}

/// Guards against an answer that was cut off and is taken for complete.
#[test]
fn a_page_that_is_cut_off_is_told() {
    let mut bytes = [9_u64.to_be_bytes(), 2_u64.to_be_bytes()].concat();
    keyed("a", b"1").encode(&mut bytes);
    for length in 1..bytes.len() {
        let cut = Page::decode(&bytes[..length]);
        // The head alone is a page without records.
        assert_eq!(cut.is_err(), length != 16, "{length}");
    }
    assert_eq!(Keyed::decode(&[5, b'a']), Err(Truncated));
}

fn document() -> serde_json::Value {
    json!({
        "version": 7,
        "routes": [
            {"name": "r-1", "host": "Maps.example", "pathPrefix": "/a/", "kind": "streaming", "timeoutMs": 12000,
             "targetLatencyMs": 800, "priority": 1, "trafficSplit": [{"service": "s", "weight": 90}],
             "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapTargetMs": 250},
            {"name": "r-2", "host": "maps.example", "pathPrefix": "/a/b/", "kind": "non_idempotent",
             "timeoutMs": 600, "targetLatencyMs": 100, "priority": 2, "service": "s", "maxAttempts": 1,
             "public": false},
        ],
        "services": [{"name": "s", "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false,
                      "engine": {"slots": 64, "stride": 7, "models": [{"name": "m"}]}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "t", "apiKeys": ["secret"], "priority": 1, "prepaid": 4912792}],
        "unknown": true,
    })
}

#[test]
fn a_configuration_is_read() {
    let table = config::decode(document().to_string().as_bytes()).expect("it is good");
    assert_eq!((table.version, table.route_count()), (TableVersion(7), 2));
    let route = table
        .route("MAPS.example", "/a/x")
        .expect("the shorter prefix");
    assert_eq!(
        (route.name.as_str(), route.repeat),
        ("r-1", RepeatPolicy::Resume)
    );
    let route = table
        .route("maps.example", "/a/b/x")
        .expect("the longer prefix");
    assert_eq!(
        (route.name.as_str(), route.repeat),
        ("r-2", RepeatPolicy::Never)
    );
    assert!(table.route("maps.example", "/b/").is_none());
    let payer = table
        .payer_by_key("secret")
        .expect("a key that is in force");
    assert_eq!(payer.prepaid, Some(Tokens(4_912_792)));
    assert!(table.payer_by_key("other").is_none());
}

/// Guards against an error message for an invalid configuration that does not name the field and its value, or that shows a
/// key.
#[test]
fn a_bad_configuration_says_where() {
    let mut bad = document();
    bad["routes"][1]["kind"] = json!("sometimes");
    let error = config::decode(bad.to_string().as_bytes()).expect_err("it is bad");
    assert_eq!(error.path, "routes[1].kind");
    let mut bad = document();
    bad["routes"][1]["service"] = json!(null);
    let error = config::decode(bad.to_string().as_bytes()).expect_err("it is bad");
    assert_eq!(
        (error.path.as_str(), error.found.as_str()),
        ("routes/r-2", "no service")
    );
    let mut bad = document();
    bad["tenants"][0]["apiKeys"] = json!("secret");
    let error = config::decode(bad.to_string().as_bytes()).expect_err("it is bad");
    assert!(!error.to_string().contains("secret"), "{error}");
    assert!(config::decode(b"{").is_err());
}

pub(crate) fn desk() -> (Desk, mpsc::UnboundedReceiver<Event>) {
    let (sender, events) = mpsc::unbounded_channel();
    let limits = RequestLimits::default();
    let desk = Desk::new(limits, None, "vm-1".to_owned(), Metrics::default(), sender);
    (desk, events)
}

fn batch(update: Update, next: u64) -> Batch {
    Batch {
        update,
        next,
        current: None,
    }
}

/// Returns the drained failure domains that the core was last sent, and their offset.
fn drained(events: &mut mpsc::UnboundedReceiver<Event>) -> (u64, Vec<String>) {
    let mut last = None;
    while let Ok(event) = events.try_recv() {
        if let Event::DrainedDomains(drained) = event {
            last = Some(drained);
        }
    }
    let last = last.expect("they are told");
    let names = last.domains.iter().map(ToString::to_string);
    (last.as_of, names.collect())
}

/// Guards against a drained failure domain that is missed, or stays drained: in a read of all keys, a single record, its
/// deletion, and after the store has dropped its history.
#[test]
fn drained_domains_are_read() {
    let (desk, mut events) = desk();
    let mut operator = Operator::new(Arc::new(desk));
    let key = |zone: &str| format!("evacuate/{zone}");
    let rows = ["a", "", "b"].map(|zone| (key(zone), b"{}".to_vec()));
    operator.apply(batch(Update::All(rows.to_vec()), 7));
    assert_eq!(drained(&mut events), (7, vec!["a".into(), "b".into()]));
    operator.apply(batch(Update::Appended(vec![keyed(&key("c"), b"?")]), 8));
    operator.apply(batch(Update::Appended(vec![keyed(&key("a"), b"")]), 9));
    assert_eq!(drained(&mut events), (9, vec!["b".into(), "c".into()]));
    operator.apply(batch(Update::Appended(vec![]), 9));
    assert_eq!(drained(&mut events).1.len(), 2);
    operator.apply(batch(Update::All(vec![(key("c"), b"{}".to_vec())]), 12));
    assert_eq!(drained(&mut events), (12, vec!["c".into()]));
}

/// Starts a store that answers each read with the body for its path.
async fn store_answering<F>(body: F) -> Store
where
    F: Fn(&str) -> Vec<u8> + Copy + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = [0; 2048];
                while let Ok(length @ 1..) = stream.read(&mut head).await {
                    let body = body(&String::from_utf8_lossy(&head[..length]));
                    let length = body.len();
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
                    let answer = [head.into_bytes(), body].concat();
                    if stream.write_all(&answer).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Store::new(address)
}

/// Returns a page with records that are not keyed, and a last one that is.
fn odd_page(last: &Keyed) -> Vec<u8> {
    let mut body = [3_u64, 0].map(u64::to_be_bytes).concat();
    // One record is empty, the other one shorter than its key is said to be.
    body.extend_from_slice(&0_u32.to_be_bytes());
    body.extend_from_slice(&2_u32.to_be_bytes());
    body.extend_from_slice(&[255, b'a']);
    last.encode(&mut body);
    body
}

/// Guards against one record without a key that stops the readers of streams and of grants for as long as it is retained.
#[tokio::test]
async fn a_record_without_a_key_is_passed_over() {
    let record = || StreamRecord {
        origin: StreamOrigin {
            pool: "p".parse().expect("a name"),
            version: None,
        },
        streams: Vec::new(),
    };
    let store = store_answering(move |_| {
        let value = postcard::to_stdvec(&record()).expect("names can be encoded");
        odd_page(&keyed("", &value))
    });
    let read = streams::call(&store.await, StreamLogCall::Read(None)).await;
    let StreamLogEvent::Read(Some((records, next))) = read else {
        panic!("it is read, not {read:?}");
    };
    assert_eq!((records, next), (vec![record()], Offset(3)));
    let store =
        store_answering(|_| odd_page(&keyed("vm-2\t7\tteam", &GrantRow::default().encode())));
    let read = grants::read(&store.await, Offset(0))
        .await
        .expect("it is read");
    let GrantEvent::Read { rows, end } = read else {
        panic!("it is read, not {read:?}");
    };
    let offsets: Vec<_> = rows.iter().map(|(offset, ..)| *offset).collect();
    assert_eq!((offsets, end), (vec![Offset(2)], Offset(3)));
}

/// Guards against a read of all keys without end, because the store says that there are more and does not go on.
#[tokio::test]
async fn pages_that_do_not_go_on_are_an_error() {
    for items in [json!([]), json!([{"key": "a", "value": "", "offset": 0}])] {
        let page = json!({"items": items, "hasMore": true, "end": 1}).to_string();
        let page: &'static str = page.leak();
        let store = store_answering(move |_| page.as_bytes().to_vec()).await;
        let read = timeout(Duration::from_secs(5), store.newest("keyed.op"));
        assert!(read.await.expect("it ends").is_err(), "{page}");
    }
}

/// Guards against a reader that ends, or waits for ever, at an offset that is beyond all records.
#[tokio::test]
async fn a_topic_is_followed_from_an_offset_beyond_its_end() {
    let store = store_answering(|head| match head.contains("log-newest") {
        true => format!("{{\"items\":[],\"hasMore\":false,\"end\":{}}}", u64::MAX).into_bytes(),
        false => odd_page(&keyed("a", b"1")),
    });
    let topic = Topic {
        name: "keyed.op",
        interval: Duration::ZERO,
        hold: Duration::ZERO,
        mode: ReadMode::All,
    };
    let (sender, mut batches) = mpsc::unbounded_channel();
    let deliver = move |batch| drop(sender.send(batch));
    tokio::spawn(follow(store.await, topic, deliver));
    for _ in 0..3 {
        let batch = timeout(Duration::from_secs(5), batches.recv());
        let batch = batch.await.expect("it reads again").expect("it follows");
        assert!(matches!(batch.update, Update::All(_)), "{batch:?}");
    }
}

/// Levels of brackets, which begin and end as given.
pub(crate) const NESTINGS: [(&str, &str); 2] = [("[", "]"), ("{\"a\":", "}")];
const DEPTH: usize = 200_000;

/// Returns a value that is nested deeply.
pub(crate) fn nested((open, close): (&str, &str)) -> String {
    format!("{}1{}", open.repeat(DEPTH), close.repeat(DEPTH))
}

/// Guards against a router that runs out of stack, and ends, at a value that is nested deeply.
#[test]
fn values_that_are_nested_deeply_are_refused() {
    for (open, close) in NESTINGS {
        let nested = nested((open, close));
        assert!(config::decode(nested.as_bytes()).is_err());
        assert!(config::decode(open.repeat(DEPTH).as_bytes()).is_err());
        assert!(serde_json::from_str::<serde_json::Value>(&nested).is_err());
        for field in ["version", "routes", "services", "tenants", "other"] {
            let document = format!("{{\"{field}\":{nested}}}");
            assert!(config::decode(document.as_bytes()).is_err(), "{field}");
        }
    }
}

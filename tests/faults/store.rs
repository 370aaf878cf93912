//! A stand-in for a platform's metadata store: topics with one partition each, which keep all records.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;

/// The size in bytes of the length in front of each record.
const LENGTH: usize = 4;

type Reply = Response<Full<Bytes>>;

/// Records of a key and a value, without their lengths in front.
type Topics = IndexMap<String, Vec<Vec<u8>>>;

/// The topic of endpoints.
const ENDPOINTS: &str = "keyed.servers";

/// The store. Clones share its topics.
#[derive(Clone)]
pub(crate) struct Store {
    topics: Arc<Mutex<Topics>>,
    /// Whose topic of endpoints this is, if each router has one of its own.
    view: Option<String>,
    /// How long answers are held back.
    lag: watch::Sender<Duration>,
    changes: watch::Sender<()>,
}

impl Store {
    /// Starts a store without records, and returns it with its address.
    pub(crate) async fn start() -> Result<(Self, SocketAddr)> {
        let store = Self {
            topics: Arc::default(),
            view: None,
            lag: watch::Sender::default(),
            changes: watch::Sender::new(()),
        };
        let address = store.listen().await?;
        Ok((store, address))
    }

    /// Starts another view of the store, with endpoints of its own, and returns it with its address.
    pub(crate) async fn start_view(&self, name: &str) -> Result<(Self, SocketAddr)> {
        let view = Self {
            view: Some(name.to_owned()),
            ..self.clone()
        };
        let address = view.listen().await?;
        Ok((view, address))
    }

    /// Starts another entrance to the same records, whose answers can be held back, and returns it with its address.
    pub(crate) async fn start_entrance(&self) -> Result<(Self, SocketAddr)> {
        let entrance = Self {
            lag: watch::Sender::default(),
            ..self.clone()
        };
        let address = entrance.listen().await?;
        Ok((entrance, address))
    }

    /// Holds answers back for so long each, until this is set to zero.
    pub(crate) fn set_lag(&self, lag: Duration) {
        self.lag.send_replace(lag);
    }

    /// Returns the name under which a topic is kept.
    fn kept_name(&self, topic: &str) -> String {
        match &self.view {
            Some(view) if topic == ENDPOINTS => format!("{topic}@{view}"),
            _ => topic.to_owned(),
        }
    }

    async fn listen(&self) -> Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let accepting = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = accepting.clone();
                let service = service_fn(move |request| {
                    let store = store.clone();
                    async move { store.answer(request).await }
                });
                let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(served);
            }
        });
        Ok(address)
    }

    /// Writes the newest record of a key.
    pub(crate) fn put(&self, topic: &str, key: &str, value: &Value) {
        self.push(topic, key, value.to_string().as_bytes());
    }

    /// Deletes a key.
    pub(crate) fn remove(&self, topic: &str, key: &str) {
        self.push(topic, key, b"");
    }

    /// Writes the newest record of a key, of any bytes.
    pub(crate) fn push<K>(&self, topic: &str, key: K, value: &[u8])
    where
        K: AsRef<[u8]>,
    {
        let key = key.as_ref();
        let length = u8::try_from(key.len()).expect("a short key");
        self.push_record(topic, &[&[length], key, value].concat());
    }

    /// Writes a record of any bytes.
    pub(crate) fn push_record(&self, topic: &str, record: &[u8]) {
        let mut topics = self.topics();
        let records = topics.entry(self.kept_name(topic)).or_default();
        records.push(record.to_vec());
        drop(topics);
        self.changes.send_replace(());
    }

    /// Returns how many keys of a topic have a value.
    pub(crate) fn count(&self, topic: &str) -> usize {
        newest(self.topics().get(topic)).len()
    }

    /// Returns the newest value of a key.
    pub(crate) fn value(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let mut newest = newest(self.topics().get(topic));
        newest.swap_remove(key).map(|(_, value)| value)
    }

    fn topics(&self) -> MutexGuard<'_, Topics> {
        self.topics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Reply> {
        let reply = self.find_reply(request).await?;
        let mut lags = self.lag.subscribe();
        let lag = *lags.borrow();
        let _ = timeout(lag, lags.wait_for(Duration::is_zero)).await;
        Ok(reply)
    }

    async fn find_reply(&self, request: Request<Incoming>) -> Result<Reply> {
        let query = request.uri().query().unwrap_or_default().to_owned();
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut pairs = pairs.filter(|(field, _)| *field == name);
            pairs.next().map(|(_, value)| value.to_owned())
        };
        let topic = self.kept_name(&field("topic").context("a topic")?);
        match request.uri().path() {
            "/api/log-newest" => Ok(self.newest_page(&topic)),
            "/api/log-read" => {
                let from = field("from").context("an offset")?.parse()?;
                let wait = field("waitMs").unwrap_or_default().parse().unwrap_or(0);
                Ok(self.read(&topic, from, Duration::from_millis(wait)).await)
            }
            "/api/log-append" => {
                let at = field("at").map(|at| at.parse()).transpose()?;
                let body = request.into_body().collect().await?.to_bytes();
                Ok(self.append(&topic, at, &body))
            }
            _ => Ok(reply(404, Bytes::new())),
        }
    }

    fn newest_page(&self, topic: &str) -> Reply {
        let topics = self.topics();
        let records = topics.get(topic);
        let items: Vec<_> = newest(records)
            .into_iter()
            .map(|(key, (offset, value))| {
                json!({"key": key, "value": BASE64_STANDARD.encode(value), "offset": offset})
            })
            .collect();
        let end = records.map_or(0, Vec::len);
        let page = json!({"items": items, "hasMore": false, "end": end});
        reply(200, page.to_string().into())
    }

    async fn read(&self, topic: &str, from: usize, wait: Duration) -> Reply {
        let mut changes = self.changes.subscribe();
        let grown = changes.wait_for(|()| self.topics().get(topic).is_some_and(|r| r.len() > from));
        // Without a new record in time the page is empty.
        let _ = timeout(wait, grown).await;
        let topics = self.topics();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0u64.to_be_bytes());
        for record in records.iter().skip(from) {
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        reply(200, body.into())
    }

    fn append(&self, topic: &str, at: Option<usize>, body: &[u8]) -> Reply {
        let mut topics = self.topics();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        if at.is_some_and(|at| at != offset) {
            return reply(412, json!({"end": offset}).to_string().into());
        }
        let mut rest = body;
        while let Some((length, after)) = rest.split_first_chunk::<LENGTH>() {
            let length = u32::from_be_bytes(*length) as usize;
            let (record, after) = after.split_at(length.min(after.len()));
            records.push(record.to_vec());
            rest = after;
        }
        let end = records.len();
        drop(topics);
        self.changes.send_replace(());
        let answer = json!({"offset": offset, "end": end});
        reply(200, answer.to_string().into())
    }
}

/// Returns the newest value of each key and its offset. A record without a value deletes its key.
fn newest(records: Option<&Vec<Vec<u8>>>) -> IndexMap<String, (usize, Vec<u8>)> {
    let mut newest = IndexMap::new();
    for (offset, record) in records.into_iter().flatten().enumerate() {
        let (key, value) = record[1..].split_at(usize::from(record[0]));
        let key = String::from_utf8_lossy(key).into_owned();
        if value.is_empty() {
            newest.shift_remove(&key);
        } else {
            newest.insert(key, (offset, value.to_vec()));
        }
    }
    newest
}

fn reply(status: u16, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status.try_into().expect("a status");
    reply
}

//! A stand-in for the platform's metadata store: topics with one partition each, of which nothing expires.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Head;
use crate::http::read_body;
use crate::http::read_head;

/// The most keys in one page of newest records.
const PAGE: usize = 500;

/// The size of a page of records in KiB if the reader names none.
const PAGE_KB: usize = 1024;

/// How long the store takes for an answer.
const LATENCY: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<Vec<u8>>>,
}

/// The store. Clones share its records.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

struct Answer {
    status: u16,
    body: Vec<u8>,
}

impl Answer {
    fn json(status: u16, body: String) -> Self {
        Self {
            status,
            body: body.into_bytes(),
        }
    }
}

impl Store {
    /// Starts a store on an address, and returns it with the address.
    pub fn start(ip: &str) -> io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let store = Self::default();
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok((store, address))
    }

    /// Writes the newest record of a key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        let mut state = self.0.0.lock().unwrap();
        state
            .topics
            .entry(topic.to_owned())
            .or_default()
            .push(record);
        self.0.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut from = BufReader::new(stream);
        while let Some(head) = read_head(&mut from)? {
            let body = read_body(&mut from, &head)?;
            thread::sleep(LATENCY);
            let answer = self.answer(&head, &body);
            let status = answer.status;
            let length = answer.body.len();
            let mut bytes =
                format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n").into_bytes();
            bytes.extend(answer.body);
            out.write_all(&bytes)?;
        }
        Ok(())
    }

    fn answer(&self, head: &Head, body: &[u8]) -> Answer {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let fields: HashMap<_, _> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let number = |name: &str| fields.get(name).and_then(|text| text.parse::<usize>().ok());
        let topic = fields.get("topic").copied().unwrap_or_default();
        match path {
            "/api/log-append" => self.append(topic, number("at"), body),
            "/api/log-newest" => self.newest(topic, fields.get("after").copied()),
            "/api/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0) as u64);
                let size = number("maxKb").unwrap_or(PAGE_KB) * 1024;
                self.read(topic, number("from").unwrap_or(0), wait, size)
            }
            _ => Answer::json(404, String::new()),
        }
    }

    fn append(&self, topic: &str, at: Option<usize>, body: &[u8]) -> Answer {
        let mut state = self.0.0.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        if at.is_some_and(|at| at != offset) {
            return Answer::json(412, format!("{{\"end\":{offset}}}"));
        }
        let mut rest = body;
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let length = (u32::from_be_bytes(*length) as usize).min(after.len());
            records.push(after[..length].to_vec());
            rest = &after[length..];
        }
        let end = records.len();
        self.0.1.notify_all();
        Answer::json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"))
    }

    fn read(&self, topic: &str, from: usize, wait: Duration, size: usize) -> Answer {
        let until = Instant::now() + wait;
        let mut state = self.0.0.lock().unwrap();
        loop {
            let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    if body.len() > 16 && body.len() + record.len() > size {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Answer { status: 200, body };
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, after: Option<&str>) -> Answer {
        let after = after.map(unescape);
        let state = self.0.0.lock().unwrap();
        let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            match value.is_empty() {
                true => drop(newest.remove(key)),
                false => drop(newest.insert(key, (offset, value))),
            }
        }
        let mut rows = newest
            .into_iter()
            .filter(|(key, _)| after.as_deref().is_none_or(|after| *key > after));
        let items: Vec<_> = rows
            .by_ref()
            .take(PAGE)
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key).replace('\t', "\\t");
                format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    base64(value)
                )
            })
            .collect();
        let more = rows.next().is_some();
        let end = records.len();
        let items = items.join(",");
        Answer::json(
            200,
            format!("{{\"items\":[{items}],\"hasMore\":{more},\"end\":{end}}}"),
        )
    }
}

/// Decodes a field of a query.
fn unescape(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let coded = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match coded.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                plain.push(byte);
                at += 3;
            }
            None => {
                plain.push(bytes[at]);
                at += 1;
            }
        }
    }
    plain
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut padded = [0; 3];
        padded[..group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for digit in 0..4 {
            let index = (bits >> (18 - 6 * digit)) & 63;
            match digit <= group.len() {
                true => text.push(char::from(DIGITS[index as usize])),
                false => text.push('='),
            }
        }
    }
    text
}

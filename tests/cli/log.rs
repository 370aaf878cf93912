//! A log service in memory.

use std::sync::Arc;
use std::sync::Mutex;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;

use crate::fake::Fake;
use crate::fake::Reply;
use crate::fake::Seen;
use crate::fake::lock;

/// What goes wrong with an append.
#[derive(Clone, Debug, Default)]
pub(crate) enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It takes effect, and its answer is lost.
    LostAnswer,
    /// It is lost on the way.
    LostRequest,
    /// It is refused.
    Refused,
    /// Another record comes first.
    Rival(Vec<u8>),
}

/// One stream, whatever its name, and the stream of the ledger's checkpoints.
#[derive(Debug, Default)]
pub(crate) struct Stream {
    /// The first record that is kept.
    pub(crate) first: usize,
    /// All records.
    pub(crate) records: Vec<Vec<u8>>,
    /// All records of the stream of the ledger's checkpoints.
    pub(crate) checkpoints: Vec<Vec<u8>>,
    /// What goes wrong with appends.
    pub(crate) fault: Fault,
}

/// A log service with one stream.
#[derive(Debug)]
pub(crate) struct FakeLog {
    /// The server.
    pub(crate) fake: Fake,
    /// The stream.
    pub(crate) stream: Arc<Mutex<Stream>>,
}

impl FakeLog {
    /// Starts it with some records.
    pub(crate) fn start(records: Vec<Vec<u8>>) -> Self {
        let stream = Stream {
            records,
            ..Stream::default()
        };
        let stream = Arc::new(Mutex::new(stream));
        let state = stream.clone();
        let fake = Fake::start(move |seen| lock(&state).answer(seen));
        Self { fake, stream }
    }
}

impl Stream {
    fn answer(&mut self, seen: &Seen) -> Reply {
        match seen.line.starts_with("POST") {
            true => self.append(seen),
            false => self.read(seen),
        }
    }

    fn append(&mut self, seen: &Seen) -> Reply {
        match self.fault.clone() {
            Fault::LostRequest => return Reply::Cut,
            Fault::Refused => return Reply::Whole(503, "down".to_owned()),
            Fault::Rival(record) => self.records.push(record),
            Fault::None | Fault::LostAnswer => {}
        }
        self.records.push(seen.body.clone());
        match self.fault {
            Fault::LostAnswer => Reply::Cut,
            _ => Reply::Whole(200, json!({"offset": self.records.len() - 1}).to_string()),
        }
    }

    fn read(&self, seen: &Seen) -> Reply {
        let from = seen.line.split("from=").nth(1);
        let from = from.and_then(|rest| rest.split('&').next()?.parse().ok());
        let from: usize = from.expect("a read says from where");
        let (first, records) = match seen.line.contains("/checkpoint-0/") {
            true => (0, &self.checkpoints),
            false => (self.first, &self.records),
        };
        let next = records.len();
        if from < first {
            return Reply::Whole(410, json!({"first": first, "next": next}).to_string());
        }
        let record = |(offset, data): (usize, &Vec<u8>)| json!({"offset": offset, "at": 1000 + offset, "data": STANDARD.encode(data)});
        let records: Vec<_> = records.iter().enumerate().skip(from).map(record).collect();
        let page = json!({"first": first, "next": next, "records": records});
        Reply::Whole(200, page.to_string())
    }
}

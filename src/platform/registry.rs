//! Endpoints and routers, as the store lists them, as one VM list.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use tracing::info;
use tracing::warn;

use crate::edge::desk::Desk;
use crate::edge::desk::lock;
use crate::ids::NameError;
use crate::labels::Labels;
use crate::platform::follow::News;
use crate::router::BORN_LABEL;
use crate::router::Event;
use crate::vms::VmEntry;
use crate::vms::VmList;
use crate::vms::VmState;

/// What a model server or a service's server says of itself.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Server {
    service: String,
    address: std::net::SocketAddr,
    zone: String,
    slots: u32,
    state: ServerState,
    /// How much longer it is cold, in milliseconds.
    #[serde(default)]
    cold_remaining_ms: f64,
    /// The heartbeat's number, which begins anew with each life of the server.
    sequence: u64,
    /// When this life of the server began, as a Unix time in milliseconds; a server may come back under its name.
    born: Option<u64>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ServerState {
    Ready,
    Draining,
}

/// How many servers' numbers are remembered, those of servers that are gone among them: a late heartbeat comes within
/// seconds, and a day has a few hundred replacements.
const REMEMBERED: usize = 4096;

/// The longest that a server is believed to be cold, in one word of its own.
const LONGEST_COLD: Duration = Duration::from_secs(120);

/// The newest heartbeat of each server, by its life and its number in it.
///
/// A heartbeat may reach the store after a later one. Taken at its word, an endpoint that has said that it leaves would be
/// sent work again until its next heartbeat.
#[derive(Default)]
struct Sequences(IndexMap<String, (Option<u64>, u64)>);

impl Sequences {
    /// Returns whether a heartbeat is newer than all before it, and remembers it.
    fn advance(&mut self, name: &str, server: &Server) -> bool {
        let number = (server.born, server.sequence);
        let newest = self.0.get(name).is_none_or(|last| number >= *last);
        if newest {
            self.0.shift_remove(name);
            self.0.insert(name.to_owned(), number);
        }
        if self.0.len() > REMEMBERED {
            self.0.shift_remove_index(0);
        }
        newest
    }
}

#[derive(Default)]
struct Lists {
    version: u64,
    sequences: Sequences,
    servers: IndexMap<String, VmEntry>,
    routers: IndexMap<String, VmEntry>,
    /// Whether the servers were read.
    known: bool,
}

/// Gathers both lists, and tells the core of each change.
pub(crate) struct Registry {
    desk: Arc<Desk>,
    lists: Mutex<Lists>,
}

impl Registry {
    pub(crate) fn new(desk: Arc<Desk>) -> Self {
        Self {
            desk,
            lists: Mutex::default(),
        }
    }

    /// Takes in news of the servers.
    pub(crate) fn servers(&self, news: News) {
        let mut guard = lock(&self.lists);
        let lists = &mut *guard;
        let sequences = &mut lists.sequences;
        let mut cold = Vec::new();
        let mut read = |key: &str, value: &[u8]| {
            let (said, left) = server(sequences, key, value)?;
            if let Said::Entry(entry) = &said {
                cold.push((entry.vm.clone(), left));
            }
            Some(said)
        };
        let changed = take(&mut lists.servers, news, &mut read) || !lists.known;
        lists.known = true;
        self.tell(lists, changed);
        if !cold.is_empty() {
            self.desk.tell(Event::ColdEndpoints(cold));
        }
    }

    /// Takes in news of the routers.
    pub(crate) fn routers(&self, news: News) {
        let mut lists = lock(&self.lists);
        let changed = take(&mut lists.routers, news, &mut router);
        self.tell(&mut lists, changed);
    }

    fn tell(&self, lists: &mut Lists, changed: bool) {
        if !changed || !lists.known {
            return;
        }
        lists.version += 1;
        let entries = lists.servers.values().chain(lists.routers.values());
        self.desk.tell(Event::VmList(VmList {
            as_of: lists.version,
            vms: entries.cloned().collect(),
        }));
    }
}

/// What a record says.
enum Said {
    /// An entry.
    Entry(VmEntry),
    /// What was said before, and is known to be past.
    Before,
}

/// Brings a list up to date, and returns whether it changed.
fn take<F>(list: &mut IndexMap<String, VmEntry>, news: News, read: &mut F) -> bool
where
    F: FnMut(&str, &[u8]) -> Option<Said>,
{
    match news {
        News::All(rows) => {
            let rows = rows.into_iter();
            let mut new = IndexMap::new();
            for (key, value) in rows {
                match read(&key, &value) {
                    Some(Said::Entry(entry)) => drop(new.insert(key, entry)),
                    Some(Said::Before) => new.extend(list.shift_remove_entry(&key)),
                    None => {}
                }
            }
            let changed = new != *list;
            *list = new;
            changed
        }
        News::Some(records) => {
            let mut changed = false;
            for record in records {
                let value = record.value.as_deref();
                changed |= match value.and_then(|value| read(&record.key, value)) {
                    Some(Said::Entry(entry)) => put(list, record.key, Some(entry)),
                    Some(Said::Before) => false,
                    None => put(list, record.key, None),
                };
            }
            changed
        }
    }
}

fn put(list: &mut IndexMap<String, VmEntry>, key: String, entry: Option<VmEntry>) -> bool {
    let Some(entry) = entry else {
        info!(event = "listed", name = key, state = "gone");
        return list.shift_remove(&key).is_some();
    };
    if list.get(&key) == Some(&entry) {
        return false;
    }
    info!(event = "listed", name = key, state = ?entry.state, address = %entry.address);
    list.insert(key, entry);
    true
}

/// Reads what a server says of itself, and how much longer it is cold.
fn server(sequences: &mut Sequences, key: &str, value: &[u8]) -> Option<(Said, Duration)> {
    let server: Server = read(key, value)?;
    let entry = match endpoint(key, &server) {
        Ok(entry) => entry,
        Err(error) => {
            warn!(event = "entry-unreadable", name = key, %error);
            return None;
        }
    };
    if !sequences.advance(key, &server) {
        let sequence = server.sequence;
        info!(event = "late-heartbeat", name = key, sequence);
        return Some((Said::Before, Duration::ZERO));
    }
    let left = cold_left(key, server.cold_remaining_ms);
    Some((Said::Entry(entry), left))
}

/// Returns how much longer a server is cold. A time that can't be right is said, and costs nothing else.
fn cold_left(key: &str, ms: f64) -> Duration {
    let longest = LONGEST_COLD.as_secs_f64() * 1000.0;
    if !(0.0..=longest).contains(&ms) {
        warn!(event = "cold-time-bad", name = key, cold_ms = ms);
    }
    Duration::from_secs_f64(ms.clamp(0.0, longest) / 1000.0)
}

/// Returns a server as the product's own lists have it.
fn endpoint(key: &str, server: &Server) -> Result<VmEntry, NameError> {
    let mut labels = Labels::default();
    labels.set("pool", &server.service);
    labels.set("slots", &server.slots.to_string());
    if let Some(born) = server.born {
        labels.set(BORN_LABEL, &born.to_string());
    }
    Ok(VmEntry {
        vm: key.parse()?,
        address: server.address,
        domain: server.zone.parse()?,
        labels,
        state: match server.state {
            ServerState::Ready => VmState::Live,
            ServerState::Draining => VmState::Leaving,
        },
    })
}

/// Routers list themselves in the product's own form.
fn router(key: &str, value: &[u8]) -> Option<Said> {
    read(key, value).map(Said::Entry)
}

fn read<'a, T>(key: &str, value: &'a [u8]) -> Option<T>
where
    T: Deserialize<'a>,
{
    match serde_json::from_slice(value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            warn!(event = "entry-unreadable", name = key, %error);
            None
        }
    }
}

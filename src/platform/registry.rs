//! Merges the lists of endpoints and routers in the store into one VM list.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use thiserror::Error;
use tracing::info;
use tracing::warn;

use crate::decide::HeartbeatNumber;
use crate::decide::HeartbeatOrder;
use crate::decide::UnreadableEntries;
use crate::edge::desk::Desk;
use crate::edge::desk::lock;
use crate::ids::NameError;
use crate::labels::Labels;
use crate::platform::follow::Update;
use crate::router::BORN_LABEL;
use crate::router::Event;
use crate::router::VERSION_LABEL;
use crate::router::VersionRow;
use crate::vms::VmEntry;
use crate::vms::VmList;
use crate::vms::VmState;

#[cfg(test)]
mod tests;

/// The entry of a model server or of a service's server.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Server {
    service: String,
    /// The version of its software.
    #[serde(default)]
    version: String,
    address: std::net::SocketAddr,
    zone: String,
    slots: u32,
    state: ServerState,
    /// The remaining time for which it is cold, in milliseconds.
    #[serde(default)]
    cold_remaining_ms: f64,
    /// The number of the heartbeat, which restarts with each life of the server.
    sequence: u64,
    /// When this life of the server began, as a Unix time in milliseconds. A server may return under the same name.
    born: Option<u64>,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ServerState {
    Ready,
    Draining,
}

/// The longest remaining cold time that an entry may report.
const MAX_COLD: Duration = Duration::from_secs(120);

/// How many unreadable entries of an update are logged each. The others would take the place of other lines that wait to be
/// written.
const MAX_LOGGED: usize = 16;

#[derive(Default)]
struct Lists {
    version: u64,
    heartbeats: HeartbeatOrder,
    unreadable: UnreadableEntries,
    servers: IndexMap<String, VmEntry>,
    routers: IndexMap<String, VmEntry>,
    /// Whether the list of servers has been read.
    known: bool,
}

/// Keeps both lists, and passes each change to the core.
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

    /// Applies an update of the servers that was read at a time.
    pub(crate) fn servers(&self, now: Instant, update: Update) {
        let mut guard = lock(&self.lists);
        let lists = &mut *guard;
        let heartbeats = &mut lists.heartbeats;
        let unreadable = &mut lists.unreadable;
        let mut cold = Vec::new();
        let mut read_entries = Vec::new();
        if matches!(update, Update::All(_)) {
            self.desk.tell(Event::ListGap);
        }
        let mut log = UnreadableLog::default();
        let mut read = |key: &str, value: &[u8]| match server(now, heartbeats, key, value) {
            Ok((reading, left)) => {
                if let Reading::Entry(entry) = &reading {
                    cold.push((entry.vm.clone(), left));
                    read_entries.push(entry.clone());
                    unreadable.forget(key);
                }
                reading
            }
            Err(error) => {
                log.record(key, &error);
                unreadable.record(now, key);
                Reading::Unreadable
            }
        };
        let mut changed = apply(&mut lists.servers, update, &mut read) || !lists.known;
        log.end();
        for name in unreadable.take_expired(now) {
            if lists.servers.contains_key(&name) {
                changed |= put(&mut lists.servers, name, None);
            }
        }
        lists.known = true;
        self.tell_replaced(lists, &read_entries);
        self.publish(lists, changed);
        if !cold.is_empty() {
            self.desk.tell(Event::ColdEndpoints(cold));
        }
    }

    /// Tells the core of the versions in entries that a later record of the same update deleted or replaced: endpoints that the
    /// list never shows to it may have begun streams.
    fn tell_replaced(&self, lists: &Lists, entries: &[VmEntry]) {
        let version = |entry: &VmEntry| entry.labels.get(VERSION_LABEL).map(str::to_owned);
        let is_listed = |entry: &&VmEntry| {
            let listed = lists.servers.get(entry.vm.as_str());
            listed.is_some_and(|listed| version(listed) == version(entry))
        };
        let replaced = entries.iter().filter(|entry| !is_listed(entry));
        let rows = replaced.filter_map(|entry| {
            Some(VersionRow {
                pool: entry.labels.get("pool")?.parse().ok()?,
                version: version(entry).and_then(|version| version.parse().ok()),
                age: Duration::ZERO,
            })
        });
        let rows: Vec<_> = rows.collect();
        if !rows.is_empty() {
            self.desk.tell(Event::VersionsListed(rows));
        }
    }

    /// Applies an update of the routers.
    pub(crate) fn routers(&self, update: Update) {
        let mut lists = lock(&self.lists);
        let mut log = UnreadableLog::default();
        let mut read = |key: &str, value: &[u8]| match serde_json::from_slice(value) {
            Ok(entry) => Reading::Entry(entry),
            Err(error) => {
                log.record(key, &error.into());
                Reading::Unreadable
            }
        };
        let changed = apply(&mut lists.routers, update, &mut read);
        log.end();
        self.publish(&mut lists, changed);
    }

    fn publish(&self, lists: &mut Lists, changed: bool) {
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

/// Why an entry cannot be decoded.
#[derive(Debug, Error)]
enum EntryError {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Name(#[from] NameError),
}

/// Logs the entries of an update that cannot be decoded, up to a number.
#[derive(Default)]
struct UnreadableLog {
    count: usize,
}

impl UnreadableLog {
    fn record(&mut self, key: &str, error: &EntryError) {
        self.count += 1;
        if self.count <= MAX_LOGGED {
            warn!(event = "entry-unreadable", name = key, %error);
        }
    }

    /// Logs how many there were in total, if not all of them were logged.
    fn end(self) {
        if self.count > MAX_LOGGED {
            warn!(event = "entries-unreadable", count = self.count);
        }
    }
}

/// A record that was decoded.
enum Reading {
    /// A current entry.
    Entry(VmEntry),
    /// An entry that is older than one already applied.
    Outdated,
    /// An entry that cannot be decoded, which does not say that its VM is gone.
    Unreadable,
}

/// Applies an update to a list, and returns whether the list changed.
fn apply<F>(list: &mut IndexMap<String, VmEntry>, update: Update, read: &mut F) -> bool
where
    F: FnMut(&str, &[u8]) -> Reading,
{
    match update {
        Update::All(rows) => {
            let rows = rows.into_iter();
            let mut new = IndexMap::new();
            for (key, value) in rows {
                match read(&key, &value) {
                    Reading::Entry(entry) => drop(new.insert(key, entry)),
                    Reading::Outdated | Reading::Unreadable => {
                        new.extend(list.get(&key).cloned().map(|entry| (key, entry)));
                    }
                }
            }
            let changed = new != *list;
            *list = new;
            changed
        }
        Update::Appended(records) => {
            let mut changed = false;
            for record in records {
                let value = record.value.as_deref();
                changed |= match value.map(|value| read(&record.key, value)) {
                    Some(Reading::Entry(entry)) => put(list, record.key, Some(entry)),
                    Some(Reading::Outdated | Reading::Unreadable) => false,
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

/// Decodes the entry of a server, and returns it with the remaining time for which the server is cold.
fn server(
    now: Instant,
    heartbeats: &mut HeartbeatOrder,
    key: &str,
    value: &[u8],
) -> Result<(Reading, Duration), EntryError> {
    let server: Server = serde_json::from_slice(value)?;
    let entry = endpoint(key, &server)?;
    let number = HeartbeatNumber {
        born: server.born,
        sequence: server.sequence,
    };
    if !heartbeats.advance(now, key, number) {
        let sequence = server.sequence;
        info!(event = "late-heartbeat", name = key, sequence);
        return Ok((Reading::Outdated, Duration::ZERO));
    }
    let left = cold_left(key, server.cold_remaining_ms);
    Ok((Reading::Entry(entry), left))
}

/// Returns the remaining time for which a server is cold. An implausible time is logged and clamped; the rest of the entry
/// stays valid.
fn cold_left(key: &str, ms: f64) -> Duration {
    let max_ms = MAX_COLD.as_secs_f64() * 1000.0;
    if !(0.0..=max_ms).contains(&ms) {
        warn!(event = "cold-time-bad", name = key, cold_ms = ms);
    }
    Duration::from_secs_f64(ms.clamp(0.0, max_ms) / 1000.0)
}

/// Translates the entry of a server into a VM list entry.
fn endpoint(key: &str, server: &Server) -> Result<VmEntry, NameError> {
    let mut labels = Labels::default();
    labels.set("pool", &server.service);
    labels.set("slots", &server.slots.to_string());
    if !server.version.is_empty() {
        labels.set(VERSION_LABEL, &server.version);
    }
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

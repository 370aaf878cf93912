//! Endpoints and routers, as the store lists them, as one VM list.

use std::sync::Arc;
use std::sync::Mutex;

use indexmap::IndexMap;
use serde::Deserialize;
use tracing::info;
use tracing::warn;

use crate::edge::desk::Desk;
use crate::edge::desk::lock;
use crate::platform::follow::News;
use crate::router::Event;
use crate::vms::VmEntry;
use crate::vms::VmList;
use crate::vms::VmState;

/// What a model server or a service's server says of itself.
#[derive(Deserialize)]
struct Server {
    service: String,
    address: std::net::SocketAddr,
    zone: String,
    slots: u32,
    state: ServerState,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ServerState {
    Ready,
    Draining,
}

#[derive(Default)]
struct Lists {
    version: u64,
    servers: IndexMap<String, VmEntry>,
    routers: IndexMap<String, VmEntry>,
    /// Whether both lists were read.
    known: (bool, bool),
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
        let mut lists = lock(&self.lists);
        let changed = take(&mut lists.servers, news, server) || !lists.known.0;
        lists.known.0 = true;
        self.tell(&mut lists, changed);
    }

    /// Takes in news of the routers.
    pub(crate) fn routers(&self, news: News) {
        let mut lists = lock(&self.lists);
        let changed = take(&mut lists.routers, news, router) || !lists.known.1;
        lists.known.1 = true;
        self.tell(&mut lists, changed);
    }

    fn tell(&self, lists: &mut Lists, changed: bool) {
        if !changed || !lists.known.0 {
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

/// Brings a list up to date, and returns whether it changed.
fn take<F>(list: &mut IndexMap<String, VmEntry>, news: News, read: F) -> bool
where
    F: Fn(&str, &[u8]) -> Option<VmEntry>,
{
    match news {
        News::All(rows) => {
            let rows = rows.into_iter();
            let new: IndexMap<_, _> = rows
                .filter_map(|(key, value)| Some((key.clone(), read(&key, &value)?)))
                .collect();
            let changed = new != *list;
            *list = new;
            changed
        }
        News::Some(records) => {
            let mut changed = false;
            for record in records {
                let entry = record
                    .value
                    .as_deref()
                    .and_then(|value| read(&record.key, value));
                changed |= put(list, record.key, entry);
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

fn server(key: &str, value: &[u8]) -> Option<VmEntry> {
    let server: Server = read(key, value)?;
    let mut labels = crate::labels::Labels::default();
    labels.set("pool", &server.service);
    labels.set("slots", &server.slots.to_string());
    Some(VmEntry {
        vm: key.parse().ok()?,
        address: server.address,
        domain: server.zone.parse().ok()?,
        labels,
        state: match server.state {
            ServerState::Ready => VmState::Live,
            ServerState::Draining => VmState::Leaving,
        },
    })
}

/// Routers list themselves in the product's own form.
fn router(key: &str, value: &[u8]) -> Option<VmEntry> {
    read(key, value)
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

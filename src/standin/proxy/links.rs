//! The links of one proxy process.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;

use crate::standin::proxy::faults::Faults;
use crate::standin::proxy::link::Link;

/// The proxy: links by name.
#[derive(Debug, Default)]
pub struct Proxy {
    links: Mutex<IndexMap<String, Link>>,
}

impl Proxy {
    /// Starts without links.
    pub fn new() -> Self {
        Self::default()
    }

    fn links(&self) -> MutexGuard<'_, IndexMap<String, Link>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a link and returns where it listens.
    ///
    /// # Errors
    ///
    /// When the name is taken, or the address cannot be bound.
    pub fn link(&self, name: &str, listen: SocketAddr, to: SocketAddr) -> io::Result<SocketAddr> {
        let mut links = self.links();
        if links.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let link = Link::start(listen, to)?;
        let address = link.address;
        links.insert(name.to_owned(), link);
        Ok(address)
    }

    /// Removes a link with its connections and returns whether it was there.
    pub(crate) fn unlink(&self, name: &str) -> bool {
        self.links().shift_remove(name).is_some()
    }

    /// Returns a link's faults.
    pub(crate) fn faults(&self, name: &str) -> Option<Faults> {
        Some(self.links().get(name)?.faults())
    }

    /// Puts faults in force on a link and returns whether it is there.
    pub(crate) fn set_faults(&self, name: &str, faults: Faults) -> bool {
        let links = self.links();
        let link = links.get(name);
        link.inspect(|link| link.set_faults(faults)).is_some()
    }

    /// Returns what is shown of each link.
    pub(crate) fn shown(&self) -> Vec<Value> {
        let links = self.links();
        let shown = links.iter().map(|(name, link)| {
            json!({
                "name": name,
                "address": link.address,
                "to": link.to,
                "faults": link.faults(),
            })
        });
        shown.collect()
    }
}

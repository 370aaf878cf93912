//! The VM list's state.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::VmId;
use crate::standin::lagged::Lagged;
use crate::standin::switch::Switch;
use crate::standin::time::wall_ms;
use crate::standin::vms::faults::Faults;
use crate::vms::VmEntry;
use crate::vms::VmList;

type Entries = IndexMap<VmId, VmEntry>;

/// The VM list service.
#[derive(Debug)]
pub struct Vms {
    pub(crate) switch: Arc<Switch<Faults>>,
    entries: Mutex<Lagged<Entries>>,
}

impl Vms {
    /// Starts with a list, of which a reader sees changes a lag later.
    pub fn new(lag: Duration, first: Vec<VmEntry>) -> Self {
        let entries = first.into_iter().map(|entry| (entry.vm.clone(), entry));
        Self {
            switch: Arc::new(Switch::new()),
            entries: Mutex::new(Lagged::new(lag, Instant::now(), entries.collect())),
        }
    }

    fn entries(&self) -> MutexGuard<'_, Lagged<Entries>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the list as it was a lag ago.
    pub(crate) fn list(&self) -> VmList {
        let mut entries = self.entries();
        let lag = u64::try_from(entries.lag().as_millis()).unwrap_or(u64::MAX);
        let seen = entries.seen(Instant::now());
        VmList {
            as_of: wall_ms().saturating_sub(lag),
            vms: seen.values().cloned().collect(),
        }
    }

    /// Adds or changes a VM.
    pub(crate) fn put(&self, entry: VmEntry) {
        self.change(|entries| {
            entries.insert(entry.vm.clone(), entry);
        });
    }

    /// Removes a VM and returns whether it was there.
    pub(crate) fn delete(&self, vm: &VmId) -> bool {
        self.change(|entries| entries.shift_remove(vm).is_some())
    }

    fn change<F, R>(&self, change: F) -> R
    where
        F: FnOnce(&mut Entries) -> R,
    {
        let mut entries = self.entries();
        let mut latest = entries.latest().clone();
        let result = change(&mut latest);
        entries.set(Instant::now(), latest);
        result
    }
}

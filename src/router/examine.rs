//! Examines whether endpoints that closed a connection during a run still listen.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;
use tracing::info;

use crate::ids::VmId;
use crate::router::core::Core;
use crate::router::effect::Effect;

/// The shortest time between two examinations of an endpoint. An endpoint that resets many connections is not sent as
/// many more, and one that dies is examined long before it is back.
const INTERVAL: Duration = Duration::from_millis(100);

/// What came of a connection to an endpoint that closed another one during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Examination {
    /// It was accepted and lasted: the endpoint, or a later life of it, listens.
    Accepted,
    /// It was refused, or ended at once: nothing listens, and the VM is there.
    Refused,
    /// Nothing came back in time.
    Silent,
}

impl Examination {
    /// Returns the name used in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::Silent => "silent",
        }
    }
}

/// Which endpoints are examined, and when.
#[derive(Debug, Default)]
pub(crate) struct Examinations {
    /// When each endpoint was last examined, if that was less than [`INTERVAL`] ago.
    examined: IndexMap<VmId, Instant>,
    /// The endpoints that closed another connection since.
    pending: IndexSet<VmId>,
}

impl Examinations {
    /// Requests the examination of an endpoint, and returns whether it is due now.
    fn request(&mut self, now: Instant, vm: &VmId) -> bool {
        self.examined.retain(|_, at| now < *at + INTERVAL);
        if self.examined.contains_key(vm) {
            self.pending.insert(vm.clone());
            return false;
        }
        self.examined.insert(vm.clone(), now);
        true
    }

    /// Returns the endpoints whose examination was requested earlier and is due now.
    fn take_due(&mut self, now: Instant) -> Vec<VmId> {
        let pending = std::mem::take(&mut self.pending);
        let due = pending.into_iter().filter(|vm| self.request(now, vm));
        due.collect()
    }
}

impl Core {
    /// Has an endpoint examined that closed a connection during a run.
    pub(crate) fn request_examination(&mut self, now: Instant, vm: &VmId) {
        if self.examinations.request(now, vm) {
            self.examine(now, vm);
        }
    }

    /// Examines the endpoints that closed connections shortly after they had been examined.
    pub(crate) fn examine_endpoints(&mut self, now: Instant) {
        for vm in self.examinations.take_due(now) {
            self.examine(now, &vm);
        }
    }

    fn examine(&mut self, now: Instant, vm: &VmId) {
        if let Some(entry) = self.members.vm_index.entry(vm) {
            let address = entry.address.to_string();
            self.effects.push(Effect::ExamineEndpoint {
                vm: vm.clone(),
                address,
                asked: now,
            });
        }
    }

    /// Handles the result of an examination.
    pub(crate) fn handle_examination(
        &mut self,
        now: Instant,
        vm: &VmId,
        asked: Instant,
        found: Examination,
    ) {
        info!(event = "endpoint-examined", endpoint = %vm, found = found.name());
        match found {
            Examination::Accepted => self.crash_history.record_listening(vm, asked),
            Examination::Refused => self.record_endpoint_gone(now, vm),
            Examination::Silent => {}
        }
    }
}

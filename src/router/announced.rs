//! Applies what endpoints announce about themselves.

use std::time::Instant;

use tracing::info;

use crate::decide::Announcement;
use crate::ids::RequestId;
use crate::ids::VmId;
use crate::router::core::Core;
use crate::router::pool::BORN_LABEL;
use crate::router::request::State;

impl Core {
    /// Records what the endpoint that runs a request announced in the head of its answer.
    pub(crate) fn handle_announcement(
        &mut self,
        now: Instant,
        id: RequestId,
        announcement: Announcement,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let State::Running {
            endpoint, since, ..
        } = &request.state
        else {
            return;
        };
        let (vm, since) = (endpoint.clone(), *since);
        let birth = self.endpoint_birth(&vm);
        let announced = &mut self.announcements;
        if announced.record(now, &vm, birth.as_deref(), since, announcement) {
            let limit = announced.limit(&vm).map(tracing::field::display);
            info!(event = "endpoint-limit", request = %id, endpoint = %vm, limit);
        }
    }

    /// Returns when an endpoint's current life began, if endpoints restart under the same name.
    fn endpoint_birth(&self, vm: &VmId) -> Option<String> {
        let entry = self.members.vm_index.entry(vm)?;
        entry.labels.get(BORN_LABEL).map(str::to_owned)
    }
}

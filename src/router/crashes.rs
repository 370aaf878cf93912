//! Requests and parts of prompts that crash endpoints, on a platform without a ledger: what runs say of them, what routers
//! tell each other, and their refusal.

use std::time::Duration;
use std::time::Instant;

use tracing::warn;

use crate::decide::CrashReport;
use crate::decide::EndpointLife;
use crate::decide::Suspect;
use crate::ids::Fingerprint;
use crate::ids::RequestId;
use crate::ids::VmId;
use crate::router::core::Core;
use crate::router::event::Relay;
use crate::router::problem::Problem;
use crate::router::problem::ProblemKind;
use crate::router::problem::Ran;
use crate::router::request::Request;
use crate::router::request::State;

impl Core {
    /// Records that the endpoint that runs a request closed the connection, and has the endpoint examined.
    pub(crate) fn record_closed_run(&mut self, now: Instant, id: RequestId) {
        let request = &self.requests[&id];
        let State::Running {
            endpoint,
            birth,
            since,
            first_token,
            ..
        } = &request.state
        else {
            return;
        };
        let life = EndpointLife {
            vm: endpoint.clone(),
            birth: birth.clone(),
        };
        let suspects = request.suspects();
        self.crash_history
            .record_closed(now, &life, *since, *first_token, suspects);
        self.request_examination(now, &life.vm);
    }

    /// Records that the endpoint that runs a request answered it well.
    pub(crate) fn record_sound_run(&mut self, now: Instant, id: RequestId) {
        let request = &self.requests[&id];
        let State::Running {
            since, first_token, ..
        } = &request.state
        else {
            return;
        };
        let begun = first_token.unwrap_or(*since);
        let suspects = request.suspects();
        self.crash_history.record_sound(now, begun, suspects);
    }

    /// Records that an endpoint whose connections were closed does not listen any more.
    pub(crate) fn record_endpoint_gone(&mut self, now: Instant, vm: &VmId) {
        let Some(at) = self.crash_history.record_gone(now, vm) else {
            return;
        };
        let noticed_ms = now.saturating_duration_since(at).as_millis();
        let crashes = self.crash_history.unexplained();
        warn!(event = "endpoint-crashed", endpoint = %vm, noticed_ms, crashes);
        self.members.request_heartbeat();
        self.review_crashes(now);
    }

    /// Takes over what another router tells of crashes.
    pub(crate) fn merge_crashes(&mut self, now: Instant, report: &CrashReport) {
        if *report == CrashReport::default() {
            return;
        }
        if self.crash_history.merge(now, report) {
            self.refuse_quarantined(now);
        }
        self.review_crashes(now);
    }

    /// Reviews crashes again if that is due.
    pub(crate) fn tick_crashes(&mut self, now: Instant) {
        if self.crash_history.awaits_progress(now) {
            self.record_progress(now);
        }
        if self.crash_history.is_review_due(now) {
            self.review_crashes(now);
        }
    }

    /// Records the answers that go on.
    fn record_progress(&mut self, now: Instant) {
        let running = self.requests.values().filter_map(|request| {
            let State::Running { first_token, .. } = &request.state else {
                return None;
            };
            first_token.map(|begun| (begun, request.suspects()))
        });
        for (begun, suspects) in running {
            self.crash_history.record_progress(now, begun, suspects);
        }
    }

    pub(crate) fn review_crashes(&mut self, now: Instant) {
        let found = self.crash_history.review(now);
        for (suspect, crashes) in &found {
            warn!(event = "quarantined", %suspect, crashes);
        }
        if !found.is_empty() {
            self.members.request_heartbeat();
            self.refuse_quarantined(now);
        }
    }

    /// Returns how much longer a request is not sent to endpoints, if it is quarantined.
    pub(crate) fn quarantine_left(&self, now: Instant, request: &Request) -> Option<Duration> {
        let suspects = request.suspects().iter();
        let left = suspects.filter_map(|s| self.crash_history.quarantine_left(now, *s));
        left.max()
    }

    /// Refuses a request that is quarantined, or a part of whose prompt is.
    pub(crate) fn refuse_crashing(&mut self, now: Instant, id: RequestId, left: Duration) {
        let detail = "endpoints crashed over requests like this one again and again";
        let problem = Problem::new(ProblemKind::CrashesEndpoints, Ran::Unknown, detail);
        self.refuse_with(now, id, problem.with_retry(left));
    }

    /// Refuses the waiting requests that are quarantined.
    pub(crate) fn refuse_quarantined(&mut self, now: Instant) {
        let waiting = self.requests.iter().filter_map(|(id, request)| {
            let waits = matches!(
                request.state,
                State::Confirming
                    | State::Locating { .. }
                    | State::Seeking { .. }
                    | State::Funding { .. }
                    | State::Queued
            );
            let left = self.quarantine_left(now, request).filter(|_| waits)?;
            Some((*id, left))
        });
        let waiting: Vec<_> = waiting.collect();
        for (id, left) in waiting {
            self.refuse_crashing(now, id, left);
        }
    }
}

impl Request {
    /// Returns what may crash the endpoint that runs it.
    fn suspects(&self) -> &[Suspect] {
        let terms = self.relay.as_ref();
        terms.map_or(&[], |terms| &terms.suspects)
    }
}

/// Returns what may crash the endpoint that runs a request: the request, and the shared parts of its prompt.
pub(crate) fn suspects(request: Fingerprint, relay: &Relay) -> Vec<Suspect> {
    let mut suspects = vec![Suspect::Request(request)];
    suspects.extend(relay.parts.iter().copied().map(Suspect::Part));
    if let Some(model) = &relay.model {
        let model = Fingerprint::of(&[model.as_str().as_bytes()]);
        let parts = relay.parts.iter();
        suspects.extend(parts.map(|part| Suspect::PartOfModel(*part, model)));
    }
    suspects
}

//! Confirms that this router's lists are current before a stream goes on at the only version that they have.
//!
//! A router that stood still or was cut off has old lists and does not know it, since nothing that it heard is older than a
//! few seconds. A stream that is taken up there may have begun at a version that joined meanwhile.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tracing::info;

use crate::decide::Confirmation;
use crate::decide::PeerAnswer;
use crate::decide::RoundId;
use crate::decide::StreamOrigin;
use crate::decide::VERSION_RETENTION;
use crate::ids::RequestId;
use crate::ids::TableVersion;
use crate::ids::VmId;
use crate::router::core::Core;
use crate::router::effect::Effect;
use crate::router::effect::Peer;
use crate::router::event::PeerFailure;
use crate::router::event::ReplyId;
use crate::router::request::State;
use crate::router::streams::Source;
use crate::router::streams::VersionRow;

/// What a router knows of the versions of all pools, as it tells another one that asks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KnownVersions {
    /// The version of its route table.
    pub(crate) table: TableVersion,
    pub(crate) rows: Vec<VersionRow>,
}

impl Core {
    /// Has a request wait until this router's lists are known to be current.
    pub(crate) fn confirm_lists(&mut self, id: RequestId) {
        self.requests[&id].state = State::Confirming;
        self.confirmations.push(id);
    }

    /// Ends the round of questions whose outcome is known, and begins the next one.
    pub(crate) fn step_confirmations(&mut self, now: Instant) {
        self.end_round(now);
        // A version that left before this router started is known only from the log.
        if !self.version_log.is_loaded() {
            return;
        }
        let routers = self.members.vm_index.serving_vms().len();
        if let Some(round) = self.confirmations.begin(now, routers) {
            self.effects.push(Effect::RefreshLists(round));
        }
        if let Some(round) = self.confirmations.peer_round(now) {
            self.ask_versions(now, round);
            self.end_round(now);
        }
    }

    fn end_round(&mut self, now: Instant) {
        if let Some((confirmation, requests)) = self.confirmations.take_outcome(now) {
            info!(event = "lists-confirmed", by = ?confirmation, requests = requests.len());
            for id in requests {
                self.end_confirmation(now, id, confirmation);
            }
        }
    }

    /// Goes on with the requests that no round can serve, as the log did not tell which versions there were.
    pub(crate) fn end_waiting_confirmations(&mut self, now: Instant) {
        for id in self.confirmations.take_waiting() {
            self.end_confirmation(now, id, Confirmation::None);
        }
    }

    /// Asks all other routers which versions they know, unless one of them is not heard.
    fn ask_versions(&mut self, now: Instant, round: RoundId) {
        let peers = self.answering_peers(now);
        let vms = peers.as_ref().map(|peers| {
            let vms = peers.iter().map(|peer| peer.vm.clone());
            vms.collect()
        });
        if self.confirmations.ask(now, vms) {
            let questions = peers.into_iter().flatten();
            let questions = questions.map(|peer| Effect::AskVersions(round, peer));
            self.effects.extend(questions);
        }
    }

    /// Returns all other routers; `None` if one is silent and will hardly answer, or none is listed. One that is taken for
    /// dead is asked as well, since it may have started again.
    fn answering_peers(&self, now: Instant) -> Option<Vec<Peer>> {
        let peers = self.members.vm_index.peers();
        let answers = |peer: &Peer| {
            let failure = self.members.peer_failure(now, &peer.vm);
            failure == Some(PeerFailure::Refused) || self.members.has_fresh_heartbeat(now, &peer.vm)
        };
        let all = !peers.is_empty() && peers.iter().all(answers);
        all.then(|| peers.to_vec())
    }

    /// Answers another router that asks which versions this one knows. One that has just started knows too little.
    pub(crate) fn answer_versions_query(&mut self, now: Instant, id: ReplyId) {
        let knows = self.version_log.is_loaded() && self.route_table.is_some();
        let known = knows.then(|| KnownVersions {
            table: self.table_version(),
            rows: self.streams.all_rows(now),
        });
        self.effects.push(Effect::Answer(id, 200, json!(known)));
    }

    /// Takes over the versions that another router knows, if it answered.
    pub(crate) fn handle_known_versions(
        &mut self,
        now: Instant,
        round: RoundId,
        vm: &VmId,
        known: Result<KnownVersions, PeerFailure>,
    ) {
        let answer = match known {
            Ok(known) => {
                self.merge_versions(now, &known.rows);
                match known.table == self.table_version() {
                    true => PeerAnswer::Told,
                    false => PeerAnswer::None,
                }
            }
            Err(PeerFailure::Refused) => PeerAnswer::Dead,
            Err(PeerFailure::Mute | PeerFailure::Unreachable) => PeerAnswer::None,
        };
        self.confirmations.peer_answered(round, vm, answer);
    }

    /// Goes on with a request whose stream this router does not know.
    fn end_confirmation(&mut self, now: Instant, id: RequestId, confirmation: Confirmation) {
        let request = self.requests.get(&id);
        if !request.is_some_and(|request| matches!(request.state, State::Confirming)) {
            return;
        }
        match self.confirmed_origin(now, id, confirmation) {
            Some(origin) => {
                if self.bind_to_origin(now, id, &origin, Source::Only) {
                    self.check_limits(now, id);
                }
            }
            None => self.locate_stream(now, id, Some(confirmation)),
        }
    }

    /// Returns what began the stream that a request takes up if nothing else can have begun it.
    pub(crate) fn confirmed_origin(
        &self,
        now: Instant,
        id: RequestId,
        confirmation: Confirmation,
    ) -> Option<StreamOrigin> {
        let origin = self.only_origin(id)?;
        self.knows_versions(now, confirmation).then_some(origin)
    }

    /// Returns whether no stream can have begun at a version that this router does not know of: it has read which versions
    /// were recorded before it started; and the log had nothing newer and it has heard another router or has run for long,
    /// or all other routers told what they know.
    fn knows_versions(&self, now: Instant, confirmation: Confirmation) -> bool {
        let peers = self.members.vm_index.peers();
        let heard = |peer: &Peer| self.members.has_fresh_heartbeat(now, &peer.vm);
        let informed = match confirmation {
            Confirmation::Log => {
                let has_history = now >= self.started_at + VERSION_RETENTION;
                let informed = peers.is_empty() || has_history || peers.iter().any(heard);
                informed && !self.may_be_behind(now)
            }
            Confirmation::Peers => true,
            Confirmation::None => false,
        };
        informed && self.version_log.is_loaded()
    }
}

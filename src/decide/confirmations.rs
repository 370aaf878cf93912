//! Whether a router's lists are current, asked for requests that depend on what the lists do not contain.
//!
//! Handles callers that take up streams at a router that stood still or was cut off while endpoints of a new version joined.
//! What the router heard before is seconds old at most, yet older than the streams: it would take the only version that it
//! knows for the one that began them. An answer that was sent after a request arrived can rule that out, and no age can.
//!
//! The log is asked first. If it does not answer, all other routers are: each stream began at one of them. One round of
//! questions serves all requests that waited when it began.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;

use crate::decide::CallPace;
use crate::decide::stretch;
use crate::ids::RequestId;
use crate::ids::VmId;

/// The pause between two rounds in a small fleet.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// How long only the log is waited for. A call that it answers takes a few milliseconds.
const LOG_WAIT: Duration = Duration::from_millis(150);

/// How long a round takes at most; a slow log answers in a quarter of a second.
const ROUND_TIMEOUT: Duration = Duration::from_millis(400);

/// The pause between two rounds in which other routers are asked, for each of them.
const PEER_INTERVAL: Duration = Duration::from_millis(5);

/// Identifies a round, so that an answer to an earlier one does not count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RoundId(u64);

/// Who confirmed that the lists are current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Confirmation {
    /// The log: all that it had was read.
    Log,
    /// All other routers that are alive: what they know was taken over.
    Peers,
    /// Nobody.
    None,
}

/// What came of a question to another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerAnswer {
    /// It told what it knows.
    Told,
    /// Its VM refused the question, since no router runs there.
    Dead,
    /// It did not answer, or does not know enough.
    None,
}

/// What came of asking the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LogAnswer {
    Awaited,
    Current,
    Failed,
}

/// What came of asking the other routers.
#[derive(Clone, Debug, PartialEq, Eq)]
enum PeerAnswers {
    Unasked,
    Awaited {
        vms: IndexSet<VmId>,
        /// Whether one told what it knows.
        told: bool,
    },
    Complete,
    Failed,
}

impl PeerAnswers {
    /// Returns what follows once no further answer is awaited: if all routers are dead, it is not known what they knew.
    fn settled(self) -> Self {
        match self {
            Self::Awaited { vms, told: true } if vms.is_empty() => Self::Complete,
            Self::Awaited { vms, told: false } if vms.is_empty() => Self::Failed,
            answers => answers,
        }
    }
}

#[derive(Debug)]
struct Round {
    id: RoundId,
    began: Instant,
    requests: Vec<RequestId>,
    log: LogAnswer,
    peers: PeerAnswers,
}

impl Round {
    fn outcome(&self, now: Instant) -> Option<Confirmation> {
        if self.log == LogAnswer::Current {
            return Some(Confirmation::Log);
        }
        if self.peers == PeerAnswers::Complete {
            return Some(Confirmation::Peers);
        }
        let failed = self.log == LogAnswer::Failed && self.peers == PeerAnswers::Failed;
        let overdue = now >= self.began + ROUND_TIMEOUT;
        (failed || overdue).then_some(Confirmation::None)
    }
}

/// The requests that wait until the lists are known to be current.
#[derive(Debug)]
pub(crate) struct Confirmations {
    waiting: Vec<RequestId>,
    round: Option<Round>,
    last: RoundId,
    pace: CallPace,
    peer_pace: CallPace,
    /// Whether the log left the last round without an answer, so that the next one asks the routers at once.
    log_failed: bool,
}

impl Confirmations {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            waiting: Vec::new(),
            round: None,
            last: RoundId::default(),
            pace: CallPace::new(now),
            peer_pace: CallPace::new(now),
            log_failed: false,
        }
    }

    /// Adds a request, which the next round serves.
    pub(crate) fn push(&mut self, id: RequestId) {
        self.waiting.push(id);
    }

    /// Begins a round if requests wait and none is in progress, and returns its name.
    pub(crate) fn begin(&mut self, now: Instant, routers: usize) -> Option<RoundId> {
        let idle = self.round.is_none() && !self.waiting.is_empty();
        if !idle || !self.pace.try_begin(now, ROUND_INTERVAL * stretch(routers)) {
            return None;
        }
        let id = RoundId(self.last.0 + 1);
        self.last = id;
        self.round = Some(Round {
            id,
            began: now,
            requests: std::mem::take(&mut self.waiting),
            log: LogAnswer::Awaited,
            peers: PeerAnswers::Unasked,
        });
        Some(id)
    }

    /// Returns the round in which the other routers are to be asked now, if there is one.
    pub(crate) fn peer_round(&self, now: Instant) -> Option<RoundId> {
        let round = self.round.as_ref()?;
        let late = round.log == LogAnswer::Failed || now >= round.began + LOG_WAIT;
        let due = round.peers == PeerAnswers::Unasked && (late || self.log_failed);
        due.then_some(round.id)
    }

    /// Records that the other routers are asked, or can't be (`None`); returns whether to ask them now.
    pub(crate) fn ask(&mut self, now: Instant, peers: Option<IndexSet<VmId>>) -> bool {
        let Some(round) = &mut self.round else {
            return false;
        };
        let Some(vms) = peers else {
            round.peers = PeerAnswers::Failed;
            return false;
        };
        let count = u32::try_from(vms.len()).unwrap_or(u32::MAX);
        if !self.peer_pace.try_begin(now, PEER_INTERVAL * count) {
            return false;
        }
        round.peers = PeerAnswers::Awaited { vms, told: false };
        true
    }

    /// Records whether all that the log had was read in a round.
    pub(crate) fn log_answered(&mut self, id: RoundId, current: bool) {
        self.log_failed &= !current;
        let round = self.round.as_mut().filter(|round| round.id == id);
        if let Some(round) = round {
            round.log = match current {
                true => LogAnswer::Current,
                false => LogAnswer::Failed,
            };
        }
    }

    /// Records the answer of a router in a round.
    pub(crate) fn peer_answered(&mut self, id: RoundId, vm: &VmId, answer: PeerAnswer) {
        let round = self.round.as_mut().filter(|round| round.id == id);
        let Some(round) = round else {
            return;
        };
        let PeerAnswers::Awaited { vms, told } = &mut round.peers else {
            return;
        };
        vms.swap_remove(vm);
        *told |= answer == PeerAnswer::Told;
        let answers = std::mem::replace(&mut round.peers, PeerAnswers::Failed);
        if answer != PeerAnswer::None {
            round.peers = answers.settled();
        }
    }

    /// Ends the round if its outcome is known, and returns that with the requests that it serves.
    pub(crate) fn take_outcome(&mut self, now: Instant) -> Option<(Confirmation, Vec<RequestId>)> {
        let outcome = self.round.as_ref()?.outcome(now)?;
        let round = self.round.take()?;
        let late = round.log == LogAnswer::Awaited && now >= round.began + LOG_WAIT;
        if late || round.log == LogAnswer::Failed {
            self.log_failed = true;
        }
        Some((outcome, round.requests))
    }

    /// Returns the requests that no round serves yet, which wait no longer.
    pub(crate) fn take_waiting(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.waiting)
    }
}

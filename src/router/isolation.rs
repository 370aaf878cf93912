//! Partitions: how long a silent router keeps what it holds, and how long one that is cut off may spend it.
//!
//! What a router holds is its own until it is closed, so it may go on spending on its side of a partition, and the limit
//! holds all the same. But once the others close it, they spend those tokens again, and its own bills are void. Its
//! engines would then use more than was prepaid, though no more is billed. So a router that is cut off from the log
//! stops beginning runs before the others may close it, and the two sides judge by the same signs: one that cannot be
//! connected to is taken to be parted, and is left what it holds for as long as a partition lasts; one whose VM accepts
//! the connection and says nothing may be frozen, and does not.

use std::time::Duration;
use std::time::Instant;

use crate::decide::Lean;
use crate::ids::VmId;
use crate::router::core::Core;
use crate::router::event::PeerFailure;
use crate::settings::EndMarker;

/// How much shorter the silence of a router may be whose VM says that nothing listens there: heartbeats are an eighth of
/// it apart, and two must have found that.
const REFUSED_PART: u32 = 4;

/// How much longer a router may be mute while the VM list shows its VM as live: a pause of some seconds passes by.
const MUTE_FACTOR: u32 = 3;

/// How much sooner a router stops than the others may close it, in quarters of the time: they may have heard it later
/// than it heard them.
const MARGIN: u32 = 3;

impl Core {
    /// Returns how long a silent router is left alone.
    pub(crate) fn patience_with(&self, now: Instant, vm: &VmId) -> Duration {
        let silence = self.tuning.silence_timeout;
        let seen = self.members.peer_failure(now, vm);
        match (seen, self.members.is_listed(vm)) {
            (Some(PeerFailure::Refused), _) => silence / REFUSED_PART,
            (_, false) => silence,
            (Some(PeerFailure::Unreachable), true) => self.tuning.partition_timeout.max(silence),
            (_, true) => self.patience_with_mute(),
        }
    }

    /// Returns how long a router is left alone that is listed and accepts connections, but says nothing.
    ///
    /// It may be frozen, and then its tokens and its requests are better taken from it; or what stands between may
    /// swallow what it says, and then it serves its callers. Each user has one of these at heart.
    fn patience_with_mute(&self) -> Duration {
        match self.tuning.lean {
            Lean::Strict => self.tuning.silence_timeout * MUTE_FACTOR,
            Lean::Available => self
                .tuning
                .partition_timeout
                .max(self.tuning.silence_timeout),
        }
    }

    /// Returns whether a run may begin whose claim the log does not take.
    pub(crate) fn may_run_unclaimed(&self, now: Instant) -> bool {
        let since = now.saturating_duration_since(self.members.log_answered_at);
        let limit = self.isolation_limit(now);
        self.has_keeper(now) && limit.is_none_or(|limit| since < limit)
    }

    /// Returns how long this router may go without the log, if some router may have it and close this one.
    fn isolation_limit(&self, now: Instant) -> Option<Duration> {
        let silent: Vec<_> = self
            .members
            .vm_index
            .peers()
            .iter()
            .filter(|peer| !self.members.heard_recently(now, &peer.vm))
            .cloned()
            .collect();
        let parted = |peer: &crate::router::Peer| {
            self.members.peer_failure(now, &peer.vm) == Some(PeerFailure::Unreachable)
        };
        let time = match () {
            () if silent.is_empty() => return None,
            () if silent.iter().all(parted) => self.tuning.partition_timeout,
            () => self.patience_with_mute(),
        };
        Some(time * MARGIN / 4)
    }

    /// Returns whether others can keep what this one cannot append.
    ///
    /// Without that the end of no answer could go out before the log is back, so that a run would be of no use to its
    /// caller, who does better elsewhere.
    fn has_keeper(&self, now: Instant) -> bool {
        let peers = self.members.vm_index.peers();
        let mut peers = peers.iter();
        let one = peers.any(|p| self.may_keep(&p.vm) && self.members.heard_recently(now, &p.vm));
        let one = one || self.tuning.end_marker == EndMarker::Hold;
        match self.tuning.lean {
            Lean::Available => one,
            Lean::Strict => {
                let mut closers = self.closers().into_iter();
                one && closers.all(|vm| self.members.heard_recently(now, &vm))
            }
        }
    }

    /// Returns whether a peer's word that it keeps a bill counts.
    ///
    /// A failure domain goes down as a whole, so a keeper in this router's own adds little. Where refusals weigh more
    /// than a bill that may be lost with a domain, it counts all the same: a domain that is cut off has no other.
    pub(crate) fn may_keep(&self, peer: &VmId) -> bool {
        let domain = self.members.domain(peer);
        match self.tuning.lean {
            Lean::Strict => domain.is_some_and(|domain| *domain != self.tuning.domain),
            Lean::Available => domain.is_some(),
        }
    }
}

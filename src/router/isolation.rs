//! Time-outs during network partitions: when a silent router is closed, and when a router that is cut off from the log
//! stops starting runs.
//!
//! A router's holdings are its own until it is closed, so it may go on spending on its side of a partition without
//! exceeding the limit. Once the others close it, they spend those tokens again, and its own bills are void: its
//! engines would use more than was prepaid, although no more is billed. A router that is cut off from the log therefore
//! stops starting runs before the others may close it, and both sides decide by the same signs. A router that can't be
//! connected to is taken to be partitioned, and keeps its holdings for as long as a partition is expected to last. One
//! whose VM accepts connections but never answers may be frozen, and loses them sooner.

use std::time::Duration;
use std::time::Instant;

use crate::decide::ConsistencyMode;
use crate::ids::VmId;
use crate::router::core::Core;
use crate::router::event::PeerFailure;
use crate::settings::EndMarker;

/// Divisor of the silence time-out for a router whose VM refuses connections, since nothing listens there. Heartbeats
/// are an eighth of the time-out apart, and two must have been refused.
const REFUSED_DIVISOR: u32 = 4;

/// Factor on the silence time-out for a router that does not answer while the VM list shows its VM as live, so that
/// pauses of a few seconds don't get it closed.
const MUTE_FACTOR: u32 = 3;

/// How many quarters of the time-out a router that is cut off goes on for before it stops starting runs. The margin is
/// there because the others may have received its last heartbeat later than it received theirs.
const STOP_QUARTERS: u32 = 3;

impl Core {
    /// Returns how long a router may be silent before it is closed.
    pub(crate) fn silence_timeout(&self, now: Instant, vm: &VmId) -> Duration {
        let silence = self.tuning.silence_timeout;
        let seen = self.members.peer_failure(now, vm);
        match (seen, self.members.is_listed(vm)) {
            (Some(PeerFailure::Refused), _) => silence / REFUSED_DIVISOR,
            (_, false) => silence,
            (Some(PeerFailure::Unreachable), true) => self.tuning.partition_timeout.max(silence),
            (_, true) => self.mute_timeout(),
        }
    }

    /// Returns how long a router that is listed and accepts connections, but does not answer, may go on before it is
    /// closed.
    ///
    /// It may be frozen, in which case its tokens and requests should be freed early. Or the network may be dropping
    /// its replies, in which case it is still serving its callers. `ConsistencyMode` decides which case takes
    /// precedence.
    fn mute_timeout(&self) -> Duration {
        match self.tuning.lean {
            ConsistencyMode::Strict => self.tuning.silence_timeout * MUTE_FACTOR,
            ConsistencyMode::Available => self
                .tuning
                .partition_timeout
                .max(self.tuning.silence_timeout),
        }
    }

    /// Returns whether a run may start although its claim can't be appended to the log.
    pub(crate) fn may_run_unclaimed(&self, now: Instant) -> bool {
        let since = now.saturating_duration_since(self.members.log_answered_at);
        let limit = self.isolation_limit(now);
        self.can_replicate(now) && limit.is_none_or(|limit| since < limit)
    }

    /// Returns how long this router may go without the log before it stops starting runs; `None` if it hears all of its
    /// peers, so that none of them would close it.
    fn isolation_limit(&self, now: Instant) -> Option<Duration> {
        let silent: Vec<_> = self
            .members
            .vm_index
            .peers()
            .iter()
            .filter(|peer| !self.members.has_fresh_heartbeat(now, &peer.vm))
            .cloned()
            .collect();
        let unreachable = |peer: &crate::router::Peer| {
            self.members.peer_failure(now, &peer.vm) == Some(PeerFailure::Unreachable)
        };
        let timeout = match () {
            () if silent.is_empty() => return None,
            () if silent.iter().all(unreachable) => self.tuning.partition_timeout,
            () => self.mute_timeout(),
        };
        Some(timeout * STOP_QUARTERS / 4)
    }

    /// Returns whether peers can hold replicas of the batches that this router cannot append.
    ///
    /// Without a replica no answer could be completed before the log is back, so a run would be of no use to its
    /// caller, who is better served by another router.
    fn can_replicate(&self, now: Instant) -> bool {
        let peers = self.members.vm_index.peers();
        let mut peers = peers.iter();
        let replica = peers
            .any(|p| self.counts_as_replica(&p.vm) && self.members.has_fresh_heartbeat(now, &p.vm));
        let replica = replica || self.tuning.end_marker == EndMarker::Hold;
        match self.tuning.lean {
            ConsistencyMode::Available => replica,
            ConsistencyMode::Strict => {
                let mut open_peers = self.open_peers().into_iter();
                replica && open_peers.all(|vm| self.members.has_fresh_heartbeat(now, &vm))
            }
        }
    }

    /// Returns whether a peer's confirmation that it holds a replica of a bill counts.
    ///
    /// A failure domain goes down as a whole, so a replica within this router's own domain adds little and does not
    /// count under `ConsistencyMode::Strict`. Under `ConsistencyMode::Available` it does: a domain that is cut off has
    /// no other peers, and refusals weigh more than a bill that may be lost with the domain.
    pub(crate) fn counts_as_replica(&self, peer: &VmId) -> bool {
        let domain = self.members.domain(peer);
        match self.tuning.lean {
            ConsistencyMode::Strict => domain.is_some_and(|domain| *domain != self.tuning.domain),
            ConsistencyMode::Available => domain.is_some(),
        }
    }
}

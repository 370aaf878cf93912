//! Crashes of endpoints.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::decide::announcement::EndpointLife;
use crate::decide::crash_report::Suspect;
use crate::decide::crash_report::SuspectKind;
use crate::decide::quarantined::Quarantined;

/// How far apart routers may notice one crash. An endpoint that is back under its name takes longer to crash again.
const SAME_CRASH: Duration = Duration::from_secs(1);

/// By how much the clocks of two VMs may differ: they are adjusted by seconds at most.
pub(super) const CLOCK_ERROR: Duration = Duration::from_secs(5);

/// How far apart two routers may date one crash of which they learnt from the log: each by its own clock, and with an
/// allowance for the difference.
const SAME_RECORDED_CRASH: Duration = Duration::from_secs(11);

/// How many suspects of one crash are remembered.
const MAX_SUSPECTS: usize = 256;

/// A crash of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) life: EndpointLife,
    /// When a router first noticed it.
    pub(super) at: Instant,
    /// What ran there, and when the first run of it was sent.
    pub(super) suspects: IndexMap<Suspect, Instant>,
    /// In how many heartbeats it was told.
    pub(super) told: u32,
    /// When this router learnt of it from a record in the log, by which it is dated.
    pub(super) read: Option<Instant>,
}

impl Crash {
    /// Adds runs that were sent at these times; returns whether there is a new suspect.
    pub(super) fn add<I>(&mut self, suspects: I) -> bool
    where
        I: Iterator<Item = (Suspect, Instant)>,
    {
        let before = self.suspects.len();
        for (suspect, sent) in suspects {
            let known = self.suspects.entry(suspect).or_insert(sent);
            *known = sent.min(*known);
        }
        self.suspects.truncate(MAX_SUSPECTS);
        let added = self.suspects.len() > before;
        if added {
            self.told = 0;
        }
        added
    }

    /// Returns whether it is the crash of an endpoint that a router noticed at a time.
    pub(super) fn is(&self, life: &EndpointLife, at: Instant) -> bool {
        // What happened since the record was read isn't in it.
        let period = match self.read {
            Some(read) if at <= read => SAME_RECORDED_CRASH,
            _ => SAME_CRASH,
        };
        self.is_within(life, at, period)
    }

    /// Returns whether it is the crash of an endpoint that a record in the log dates at a time.
    pub(super) fn is_recorded(&self, life: &EndpointLife, at: Instant) -> bool {
        self.is_within(life, at, SAME_RECORDED_CRASH)
    }

    fn is_within(&self, life: &EndpointLife, at: Instant, period: Duration) -> bool {
        let apart = self.at.max(at).saturating_duration_since(self.at.min(at));
        self.life == *life && apart < period
    }

    /// Returns whether it counts no longer against suspects of a kind, since one that is quarantined caused it. A request
    /// does not speak for the parts of its prompt.
    pub(super) fn is_explained(
        &self,
        kind: SuspectKind,
        quarantined: &IndexMap<Suspect, Quarantined>,
    ) -> bool {
        let mut suspects = self.suspects.keys();
        suspects.any(|suspect| suspect.kind() <= kind && quarantined.contains_key(suspect))
    }
}

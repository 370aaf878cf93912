//! What routers tell each other of endpoints that crashed.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::decide::announcement::EndpointLife;
use crate::ids::Fingerprint;
use crate::part_id::PartId;

/// What may have crashed an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Suspect {
    /// A request, under whatever name it comes.
    Request(Fingerprint),
    /// A part of a prompt, whatever else the request holds.
    Part(PartId),
    /// A part of a prompt, in requests for one model.
    PartOfModel(PartId, Fingerprint),
}

/// The kinds of suspects, those first that explain the crashes of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SuspectKind {
    /// Parts of prompts.
    Part,
    /// Requests.
    Request,
}

impl Suspect {
    /// Returns how many endpoints must have crashed over it for it to be quarantined.
    ///
    /// Endpoints also crash for other reasons, and one request that is sent again meets few of these crashes. Parts are in
    /// many requests, and meet more.
    pub(super) fn crash_limit(self) -> usize {
        match self {
            Self::Request(_) => 3,
            Self::Part(_) | Self::PartOfModel(..) => 5,
        }
    }

    /// Returns the suspect that includes this one.
    pub(super) fn whole(self) -> Option<Self> {
        match self {
            Self::Request(_) | Self::Part(_) => None,
            Self::PartOfModel(part, _) => Some(Self::Part(part)),
        }
    }

    /// Returns its kind.
    pub(super) fn kind(self) -> SuspectKind {
        match self {
            Self::Request(_) => SuspectKind::Request,
            Self::Part(_) | Self::PartOfModel(..) => SuspectKind::Part,
        }
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(f, "request-{fingerprint}"),
            Self::Part(part) => write!(f, "part-{part}"),
            Self::PartOfModel(part, model) => write!(f, "part-{part}-of-{model}"),
        }
    }
}

/// A crash of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRow {
    /// The endpoint.
    pub life: EndpointLife,
    /// How long ago a router first noticed it.
    pub age: Duration,
    /// What ran there, and was not found to be sound since.
    pub suspects: Vec<SuspectRow>,
}

/// What ran at an endpoint that crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRow {
    /// The suspect.
    pub suspect: Suspect,
    /// How long ago the first of its runs there was sent.
    pub sent: Duration,
}

/// A suspect that an endpoint ran without crashing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundRow {
    /// What was a suspect.
    pub suspect: Suspect,
    /// How long ago its last such run began.
    pub age: Duration,
}

/// A suspect that is not sent to endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// The suspect.
    pub suspect: Suspect,
    /// How long ago the first crash happened that it is held responsible for.
    pub first: Duration,
    /// How long ago the crash happened that had it quarantined.
    pub age: Duration,
    /// How often it was quarantined.
    pub count: u32,
}

/// What a router tells the others of crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Crashes that are not explained yet.
    pub crashes: Vec<CrashRow>,
    /// Suspects that turned out to be sound.
    pub sound: Vec<SoundRow>,
    /// Suspects that are quarantined.
    pub quarantined: Vec<QuarantineRow>,
}

impl CrashReport {
    /// Adjusts a report that is told some time after it was made.
    pub fn grow_older(&mut self, passed: Duration) {
        let crashes = self.crashes.iter_mut().flat_map(|row| {
            let sent = row.suspects.iter_mut().map(|suspect| &mut suspect.sent);
            sent.chain([&mut row.age])
        });
        let sound = self.sound.iter_mut().map(|row| &mut row.age);
        let quarantined = self.quarantined.iter_mut();
        let quarantined = quarantined.flat_map(|row| [&mut row.first, &mut row.age]);
        for age in crashes.chain(sound).chain(quarantined) {
            *age = age.saturating_add(passed);
        }
    }
}

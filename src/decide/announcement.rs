//! What endpoints announce about themselves, as it is read from the head of an answer and told to other routers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::decide::heard::Said;
use crate::ids::VmId;
use crate::request_rate::RequestRate;

/// What the head of an endpoint's answer says about the rate that the endpoint takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AnnouncedLimit {
    /// Nothing, which lifts an earlier limit.
    #[default]
    None,
    /// Something that cannot be read; an earlier limit stays.
    Unreadable,
    /// The requests that it takes from all routers together.
    Rate(RequestRate),
}

impl From<AnnouncedLimit> for Said<RequestRate> {
    fn from(limit: AnnouncedLimit) -> Self {
        match limit {
            AnnouncedLimit::None => Self::Nothing,
            AnnouncedLimit::Unreadable => Self::Unreadable,
            AnnouncedLimit::Rate(rate) => Self::Value(rate),
        }
    }
}

/// What the head of a brittle endpoint's answer says about the requests that it can reject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnnouncedTolerance {
    /// Nothing: the endpoint is not brittle.
    #[default]
    None,
    /// Something that cannot be read; an earlier number stays, and the lowest is assumed without one.
    Unreadable,
    /// How many requests it can reject in any second without failing.
    Rejections(u32),
}

impl From<AnnouncedTolerance> for Said<u32> {
    fn from(tolerance: AnnouncedTolerance) -> Self {
        match tolerance {
            AnnouncedTolerance::None => Self::Nothing,
            AnnouncedTolerance::Unreadable => Self::Unreadable,
            AnnouncedTolerance::Rejections(count) => Self::Value(count),
        }
    }
}

/// What an endpoint announces about itself in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Announcement {
    /// The rate of requests that it takes.
    pub limit: AnnouncedLimit,
    /// How many requests it can reject, if it is brittle.
    pub tolerance: AnnouncedTolerance,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// For how long it wants nothing more from this router.
    pub rest: Option<Duration>,
}

/// What a router did not know before of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Whether its limit is new, changed or lifted.
    pub limit: bool,
    /// Whether it turned brittle or sound, or tolerates another number of rejections.
    pub tolerance: bool,
    /// Whether it turned out to be leaving.
    pub leaving: bool,
    /// Whether it wants a rest, or a longer one.
    pub rest: bool,
}

impl Changes {
    /// Returns whether there is any.
    pub fn any(self) -> bool {
        self.limit || self.tolerance || self.leaving || self.rest
    }
}

/// One life of an endpoint: endpoints may restart under the same name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLife {
    /// The endpoint.
    pub vm: VmId,
    /// When this life began, as its entry in the VM list says, if it says so.
    pub birth: Option<String>,
}

/// What a router knows of an endpoint's announcements, as it tells the other routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnnouncementRow {
    /// The endpoint that announced it.
    pub life: EndpointLife,
    /// How long ago any router last heard something from the endpoint itself.
    pub age: Duration,
    /// Its limit, if any router has heard of one.
    pub limit: Option<LimitRow>,
    /// Whether it is brittle, if any router has heard of that.
    pub tolerance: Option<ToleranceRow>,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// How much longer the endpoint wants nothing from the router that tells this.
    pub rest: Duration,
}

impl AnnouncementRow {
    /// Adjusts a row that is told some time after it was made.
    pub fn grow_older(&mut self, passed: Duration) {
        self.age = self.age.saturating_add(passed);
        self.rest = self.rest.saturating_sub(passed);
        if let Some(limit) = &mut self.limit {
            limit.age = limit.age.saturating_add(passed);
        }
        if let Some(tolerance) = &mut self.tolerance {
            tolerance.age = tolerance.age.saturating_add(passed);
        }
    }
}

/// What a router knows of an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitRow {
    /// How long ago any router last heard it.
    pub age: Duration,
    /// The rate; `None` if the limit was lifted.
    pub rate: Option<RequestRate>,
}

/// What a router knows of the rejections that an endpoint tolerates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToleranceRow {
    /// How long ago any router last heard it.
    pub age: Duration,
    /// How many requests it can reject in any second; `None` if it is sound.
    pub rejections: Option<u32>,
}

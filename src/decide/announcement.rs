//! What endpoints announce about themselves, as it is read from the head of an answer and told to other routers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::decide::heard::AnnouncedValue;
use crate::decide::heard::HeardRow;
use crate::ids::VmId;
use crate::request_rate::RequestRate;

/// What an endpoint announces about itself in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Announcement {
    /// The requests that it takes from all routers together.
    pub limit: AnnouncedValue<RequestRate>,
    /// How many requests it can reject in any second without failing, if it is brittle. The lowest number is assumed of one
    /// that cannot be read.
    pub tolerance: AnnouncedValue<u32>,
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
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
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
    pub limit: Option<HeardRow<RequestRate>>,
    /// Whether it is brittle, if any router has heard of that.
    pub tolerance: Option<HeardRow<u32>>,
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
            limit.grow_older(passed);
        }
        if let Some(tolerance) = &mut self.tolerance {
            tolerance.grow_older(passed);
        }
    }
}

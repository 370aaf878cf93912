//! What endpoints announce about themselves in their answers.
//!
//! Handles an endpoint in trouble that announces how many requests a second it takes from all routers together. The
//! choice by load does not show this: the endpoint answers what it gets, and all routers go on sending to it.

use std::time::Instant;

use indexmap::IndexMap;

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

/// What an endpoint announces about itself in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Announcement {
    /// The rate of requests that it takes.
    pub limit: AnnouncedLimit,
}

/// The limit that one life of an endpoint has announced.
#[derive(Clone, Debug)]
struct Announced {
    /// When this life of the endpoint began, where endpoints restart under the same name.
    birth: Option<String>,
    limit: Option<RequestRate>,
    /// When the last answer that carries the limit arrived.
    heard: Instant,
}

/// The announcements of all endpoints that are in force.
#[derive(Debug, Default)]
pub struct Announcements {
    endpoints: IndexMap<VmId, Announced>,
}

impl Announcements {
    /// Records what an endpoint announced in the answer to a request that was sent to it at `sent`. Returns whether its
    /// limit changed.
    ///
    /// Answers overtake each other, so that one without a limit lifts it only if its request was sent after the limit
    /// had been heard.
    pub fn record(
        &mut self,
        now: Instant,
        vm: &VmId,
        birth: Option<&str>,
        sent: Instant,
        announcement: Announcement,
    ) -> bool {
        let limit = match announcement.limit {
            AnnouncedLimit::Unreadable => return false,
            AnnouncedLimit::None => None,
            AnnouncedLimit::Rate(rate) => Some(rate),
        };
        let known = self.endpoints.get(vm);
        let known = known.filter(|known| known.birth.as_deref() == birth);
        let before = known.and_then(|known| known.limit);
        let crossed = known.is_some_and(|known| sent < known.heard);
        if limit.is_none() && (before.is_none() || crossed) {
            return false;
        }
        let announced = Announced {
            birth: birth.map(str::to_owned),
            limit,
            heard: now,
        };
        self.endpoints.insert(vm.clone(), announced);
        limit != before
    }

    /// Returns the limit that an endpoint announced and has not lifted since.
    pub fn limit(&self, vm: &VmId) -> Option<RequestRate> {
        self.endpoints.get(vm)?.limit
    }
}

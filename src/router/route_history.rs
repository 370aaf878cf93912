//! The pools that routes lead to, or led to lately.
//!
//! Handles streams on routes that are split, or whose pool was changed by a configuration: a stream goes on at the pool
//! that began it, which the route alone does not tell.

use std::sync::Arc;
use std::time::Instant;

use indexmap::IndexSet;

use crate::config::PathRoute;
use crate::config::RepeatPolicy;
use crate::config::RouteTable;
use crate::decide::VERSION_RETENTION;
use crate::ids::PoolId;

/// The tables whose routes count, and what follows from them.
#[derive(Debug, Default)]
pub(crate) struct RouteHistory {
    current: Option<Arc<RouteTable>>,
    /// Tables with other routes for streams that were in force lately, and when each was replaced.
    former: Vec<(Arc<RouteTable>, Instant)>,
    /// The pools that share a route for streams with another pool.
    shared: IndexSet<PoolId>,
}

impl RouteHistory {
    /// Takes over a table that is in force from now on.
    pub(crate) fn replace(&mut self, now: Instant, table: Arc<RouteTable>) {
        let old = self.current.replace(table.clone());
        if old.as_ref().is_some_and(|old| old.has_streams_of(&table)) {
            return;
        }
        self.former.extend(old.map(|old| (old, now)));
        self.shared = self.find_shared();
    }

    /// Drops the tables that no longer count.
    pub(crate) fn expire(&mut self, now: Instant) {
        let count = self.former.len();
        self.former
            .retain(|(_, replaced)| now < *replaced + VERSION_RETENTION);
        if self.former.len() < count {
            self.shared = self.find_shared();
        }
    }

    /// Returns whether a pool shares a route for streams with another pool, or did so lately.
    pub(crate) fn is_shared(&self, pool: &PoolId) -> bool {
        self.shared.contains(pool)
    }

    /// Returns whether a route leads to a pool, or led there lately, if only for a part of its requests.
    pub(crate) fn leads_to(&self, host: &str, path: &str, pool: &PoolId) -> bool {
        let mut routes = self.routes(host, path);
        routes.any(|route| route.split.iter().any(|(of, _)| of == pool))
    }

    /// Returns the pools where streams of a route can have begun.
    pub(crate) fn stream_pools(&self, host: &str, path: &str) -> IndexSet<&PoolId> {
        let routes = self.routes(host, path);
        let resumable = routes.filter(|route| route.repeat == RepeatPolicy::Resume);
        let pools = resumable.flat_map(|route| &route.split);
        pools.map(|(pool, _)| pool).collect()
    }

    fn tables(&self) -> impl Iterator<Item = &RouteTable> {
        let former = self.former.iter().map(|(table, _)| table);
        self.current.iter().chain(former).map(|table| &**table)
    }

    /// Returns the route of a request by each of the tables.
    fn routes(&self, host: &str, path: &str) -> impl Iterator<Item = &PathRoute> {
        self.tables()
            .filter_map(move |table| table.route(host, path))
    }

    /// Two routes that a request had in turn have prefixes of which one begins with the other, so that it is enough to
    /// look up the prefixes.
    fn find_shared(&self) -> IndexSet<PoolId> {
        let mut shared = IndexSet::new();
        for route in self.tables().flat_map(RouteTable::stream_routes) {
            let pools = self.stream_pools(&route.host, &route.prefix);
            if pools.len() > 1 {
                shared.extend(pools.into_iter().cloned());
            }
        }
        shared
    }
}

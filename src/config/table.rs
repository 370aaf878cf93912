//! The route table: a configuration that a platform supplies as a whole, with routes by host and path, pools, and
//! client accounts with budgets of their own.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::config::document::PoolKind;
use crate::config::document::PoolSpec;
use crate::ids::AccountId;
use crate::ids::DocName;
use crate::ids::PoolId;
use crate::ids::TableVersion;
use crate::ids::TeamId;
use crate::key_hash::KeyHash;
use crate::labels::Selector;
use crate::tokens::Tokens;

/// Assumed number of concurrent requests per endpoint if neither the table nor the endpoint's entry specifies it. Low,
/// so that an unknown endpoint is not overloaded.
const DEFAULT_SLOTS: u32 = 4;

/// Whether and how requests of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RepeatPolicy {
    /// A request runs at most once.
    Never,
    /// A request may be run again from the beginning.
    Whole,
    /// Another endpoint may resume an interrupted answer where it ended.
    Resume,
}

/// A route: how requests with a given host and path prefix are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PathRoute {
    /// Its name.
    pub(crate) name: DocName,
    /// The value of the request's `Host` header.
    pub(crate) host: String,
    /// The path prefix, ending with a slash.
    pub(crate) prefix: String,
    /// Whether and how requests may be repeated.
    pub(crate) repeat: RepeatPolicy,
    /// Maximum time until the final answer to a request.
    pub(crate) timeout: Duration,
    /// Latency objective for an answer, or for the first event of a stream.
    pub(crate) objective: Duration,
    /// Priority, from 0 (highest) to 9 (lowest).
    pub(crate) priority: u8,
    /// The pools that requests are distributed over, with their weights.
    pub(crate) split: Vec<(PoolId, u32)>,
    /// Maximum number of endpoints that one request may run on.
    pub(crate) attempts: u32,
    /// Whether requests without a bearer key are accepted.
    pub(crate) public: bool,
}

impl PathRoute {
    /// Returns which requests it is for, and the pools that it leads them to.
    fn lead(&self) -> (&str, &str, &[(PoolId, u32)]) {
        (&self.host, &self.prefix, &self.split)
    }
}

/// A pool of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TablePool {
    /// The pool's name, which is also the value of its endpoints' label `pool`.
    pub(crate) name: PoolId,
    /// Maximum number of connections to one endpoint, from all routers together.
    pub(crate) connections: u32,
    /// Concurrent requests per endpoint; if not configured, the endpoint's entry specifies it.
    pub(crate) slots: Option<u32>,
    /// Maximum number of tokens in one event of a stream.
    pub(crate) stride: u64,
    /// How many tokens an endpoint's memory holds, if known: it rejects a request with a longer prompt.
    pub(crate) memory: Option<u64>,
    /// Warm-up time of an endpoint after its start; zero if it needs none.
    pub(crate) warmup: Duration,
    /// Maximum requests per second to an endpoint during warm-up, from all routers together.
    pub(crate) cold_rate: u32,
}

impl TablePool {
    /// Returns the specification of a service pool that selects its endpoints by the label `pool`.
    pub(crate) fn spec(&self) -> PoolSpec {
        let label = [("pool".to_owned(), vec![self.name.to_string()])];
        PoolSpec {
            kind: PoolKind::Service {
                name: self.name.to_string(),
                price: Tokens::ZERO,
                repeatable: IndexMap::new(),
            },
            select: Selector(label.into_iter().collect()),
            fenced: false,
            concurrency: self.slots.unwrap_or(DEFAULT_SLOTS),
        }
    }
}

/// A client account with a budget of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Payer {
    /// The account's name; its team has the same name.
    pub(crate) account: AccountId,
    /// The team whose budget is charged.
    pub(crate) team: TeamId,
    /// The hashes of the account's bearer keys.
    pub(crate) keys: Vec<KeyHash>,
    /// Priority, from 0 (highest) to 9 (lowest); overrides the route's priority.
    pub(crate) priority: u8,
    /// Total number of tokens that the account may ever use; `None` if unlimited.
    pub(crate) prepaid: Option<Tokens>,
}

/// Limits on client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConnectionLimits {
    /// Maximum size of a request head, in bytes.
    pub(crate) head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub(crate) body_bytes: usize,
    /// Maximum time to receive a request head.
    pub(crate) head_time: Duration,
    /// Maximum idle time of a connection.
    pub(crate) idle_time: Duration,
}

/// The whole route table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RouteTable {
    /// The version of the table.
    pub(crate) version: TableVersion,
    /// The limits on client connections.
    pub(crate) intake: ConnectionLimits,
    hosts: IndexMap<String, Vec<PathRoute>>,
    pools: IndexMap<PoolId, TablePool>,
    payers: Vec<Payer>,
    keys: IndexMap<KeyHash, usize>,
}

impl RouteTable {
    /// Builds a table and its lookup indexes.
    pub(crate) fn new(
        version: TableVersion,
        intake: ConnectionLimits,
        routes: Vec<PathRoute>,
        pools: Vec<TablePool>,
        payers: Vec<Payer>,
    ) -> Self {
        let mut hosts: IndexMap<String, Vec<PathRoute>> = IndexMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(route);
        }
        // Longest prefix first, so that the first match is the most specific.
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let keys = payers.iter().enumerate();
        let keys = keys.flat_map(|(at, payer)| payer.keys.iter().map(move |key| (*key, at)));
        Self {
            version,
            intake,
            hosts,
            pools: pools.into_iter().map(|p| (p.name.clone(), p)).collect(),
            keys: keys.collect(),
            payers,
        }
    }

    /// Returns the route with the longest matching path prefix among the routes of the request's host.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&PathRoute> {
        let routes = self.hosts.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the client account that a bearer key belongs to.
    pub(crate) fn payer_by_key(&self, bearer: &str) -> Option<&Payer> {
        self.payers.get(*self.keys.get(&KeyHash::of(bearer))?)
    }

    /// Returns all client accounts.
    pub(crate) fn payers(&self) -> impl Iterator<Item = &Payer> {
        self.payers.iter()
    }

    /// Returns a pool.
    pub(crate) fn pool(&self, name: &PoolId) -> Option<&TablePool> {
        self.pools.get(name)
    }

    /// Returns all pools.
    pub(crate) fn pools(&self) -> impl Iterator<Item = &TablePool> {
        self.pools.values()
    }

    /// Returns the routes whose streams may be resumed.
    pub(crate) fn stream_routes(&self) -> impl Iterator<Item = &PathRoute> {
        let routes = self.hosts.values().flatten();
        routes.filter(|route| route.repeat == RepeatPolicy::Resume)
    }

    /// Returns whether the streams of another table lead to the same pools.
    pub(crate) fn has_streams_of(&self, other: &Self) -> bool {
        let routes = self.stream_routes().map(PathRoute::lead);
        routes.eq(other.stream_routes().map(PathRoute::lead))
    }

    /// Returns the number of routes.
    pub(crate) fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

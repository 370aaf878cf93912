//! A configuration that a platform hands over whole: routes by host and path, pools, and client accounts that pay for
//! themselves.

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

/// How many requests an endpoint is thought to run at once where neither the table nor its entry says it: few, so that an
/// unknown endpoint is not flooded.
const DEFAULT_SLOTS: u32 = 4;

/// What may be done again with a request of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Repeat {
    /// Nothing: it may run once at most.
    Never,
    /// It may run more than once, from the beginning.
    Whole,
    /// Another endpoint may go on where the answer broke off.
    Resume,
}

/// Where requests of one host and path go, and on what terms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PathRoute {
    /// Its name.
    pub(crate) name: DocName,
    /// The value of the request's `Host`.
    pub(crate) host: String,
    /// How the path begins; it ends with a slash.
    pub(crate) prefix: String,
    /// What may be repeated.
    pub(crate) repeat: Repeat,
    /// How long a request may be kept waiting for its final answer.
    pub(crate) timeout: Duration,
    /// Within which time an answer, or a stream's first event, is on time.
    pub(crate) objective: Duration,
    /// 0 (first) to 9 (last).
    pub(crate) priority: u8,
    /// The pools that its requests are spread over, with their weights.
    pub(crate) split: Vec<(PoolId, u32)>,
    /// How many endpoints one request may run on.
    pub(crate) attempts: u32,
    /// Whether it takes requests without a bearer key.
    pub(crate) public: bool,
}

/// A pool of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TablePool {
    /// Its name, which its endpoints carry as their label `pool`.
    pub(crate) name: PoolId,
    /// How many connections one endpoint takes from all routers together.
    pub(crate) connections: u32,
    /// How many requests one endpoint runs at once, where the configuration says it; else its own entry does.
    pub(crate) slots: Option<u32>,
    /// The most tokens that one event of a stream holds.
    pub(crate) stride: u64,
    /// How long an endpoint is cold that has just started; nothing where it is warm at once.
    pub(crate) warmup: Duration,
    /// How many requests a second a cold endpoint bears, from all routers together.
    pub(crate) cold_rate: u32,
}

impl TablePool {
    /// Returns it as a pool of plain endpoints, picked by their label.
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

/// A client account that pays from a budget of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Payer {
    /// Its name; its team has the same.
    pub(crate) account: AccountId,
    /// Whose budget it draws on.
    pub(crate) team: TeamId,
    /// The hashes of its bearer keys.
    pub(crate) keys: Vec<KeyHash>,
    /// 0 (first) to 9 (last); goes before a route's.
    pub(crate) priority: u8,
    /// All that it may use, ever; nothing where it is not limited.
    pub(crate) prepaid: Option<Tokens>,
}

/// What a router takes from connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Intake {
    /// The largest head, in bytes.
    pub(crate) head_bytes: usize,
    /// The largest body, in bytes.
    pub(crate) body_bytes: usize,
    /// How long a head may take.
    pub(crate) head_time: Duration,
    /// How long a connection may be idle.
    pub(crate) idle_time: Duration,
}

/// The whole configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RouteTable {
    /// Its version.
    pub(crate) version: TableVersion,
    /// Its limits on connections.
    pub(crate) intake: Intake,
    hosts: IndexMap<String, Vec<PathRoute>>,
    pools: IndexMap<PoolId, TablePool>,
    payers: Vec<Payer>,
    keys: IndexMap<KeyHash, usize>,
}

impl RouteTable {
    /// Puts a table together.
    pub(crate) fn new(
        version: TableVersion,
        intake: Intake,
        routes: Vec<PathRoute>,
        pools: Vec<TablePool>,
        payers: Vec<Payer>,
    ) -> Self {
        let mut hosts: IndexMap<String, Vec<PathRoute>> = IndexMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(route);
        }
        // The longest prefix first, so that the first match is the right one.
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

    /// Returns the route of a request: of its host's, the one with the longest prefix that begins the path.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&PathRoute> {
        let routes = self.hosts.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns whose bearer key it is.
    pub(crate) fn payer(&self, bearer: &str) -> Option<&Payer> {
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

    /// Returns how many routes there are.
    pub(crate) fn count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

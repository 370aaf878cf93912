//! The documents that make up a configuration.

use std::fmt;
use std::str::FromStr;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ids::ModelId;
use crate::ids::PoolId;
use crate::ids::TeamId;
use crate::labels::Labels;
use crate::labels::Selector;
use crate::ledger::Bearer;
use crate::tokens::Tokens;

/// The kinds of documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A client account.
    Account,
    /// A team.
    Team,
    /// A pool of endpoints.
    Pool,
    /// A routing rule.
    Rule,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Account => "account",
            Self::Team => "team",
            Self::Pool => "pool",
            Self::Rule => "rule",
        })
    }
}

/// The error of parsing an unknown document kind.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{0:?} is none of account, team, pool and rule")]
pub struct KindError(String);

impl FromStr for Kind {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self, KindError> {
        let all = [Self::Account, Self::Team, Self::Pool, Self::Rule];
        all.into_iter()
            .find(|kind| kind.to_string() == text)
            .ok_or_else(|| KindError(text.to_owned()))
    }
}

/// A document's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// A client account.
    Account(AccountSpec),
    /// A team.
    Team(TeamSpec),
    /// A pool of endpoints.
    Pool(PoolSpec),
    /// A routing rule.
    Rule(RuleSpec),
}

impl Body {
    /// Returns the kind of document that this content belongs to.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Account(_) => Kind::Account,
            Self::Team(_) => Kind::Team,
            Self::Pool(_) => Kind::Pool,
            Self::Rule(_) => Kind::Rule,
        }
    }
}

/// A client account: the identity that a caller authenticates as.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// The SHA-256 of each valid bearer key, in hex. Two keys allow rotation without downtime.
    pub keys: Vec<String>,
    /// Labels attached to each request of the account; a caller cannot override them.
    #[serde(default)]
    pub labels: Labels,
    /// The account's request limits.
    #[serde(default)]
    pub limits: Limits,
}

/// Request limits of a client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Sustained rate in requests per second.
    pub rate: u32,
    /// Burst size: requests allowed at once above the rate.
    pub burst: u32,
    /// Maximum number of concurrent requests per router.
    pub concurrency: u32,
    /// Relative share of a saturated router's capacity, compared with the weights of other accounts.
    pub weight: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            rate: 200,
            burst: 400,
            concurrency: 256,
            weight: 1,
        }
    }
}

/// A team: who pays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Labels, informational only.
    #[serde(default)]
    pub labels: Labels,
    /// Who bears the cost of usage that was not billed.
    #[serde(default = "TeamSpec::bearer")]
    pub bearer: Bearer,
}

impl TeamSpec {
    fn bearer() -> Bearer {
        Bearer::Team
    }
}

/// A pool: endpoints of one kind, selected by their labels in the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// The kind of its endpoints.
    pub kind: PoolKind,
    /// Selects the pool's endpoints from the VM list.
    pub select: Selector,
    /// Whether its endpoints check the fencing token of an order.
    #[serde(default)]
    pub fenced: bool,
    /// Maximum number of concurrent requests per endpoint; the adaptive limit stays at or below it.
    #[serde(default = "PoolSpec::concurrency")]
    pub concurrency: u32,
}

impl PoolSpec {
    fn concurrency() -> u32 {
        32
    }
}

/// The kinds of endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum PoolKind {
    /// Inference engines.
    Engine {
        /// The models served.
        models: Vec<ModelId>,
        /// Maximum number of tokens in an answer; also the amount reserved if the caller sets no limit.
        max_tokens: Tokens,
    },
    /// An HTTP service.
    Service {
        /// The service name in the path `/v1/services/NAME/...`.
        name: String,
        /// The price of one call.
        price: Tokens,
        /// Whether requests may be repeated, by method. By default `GET`, `HEAD`, `PUT` and `DELETE` may be.
        #[serde(default)]
        repeatable: IndexMap<String, bool>,
    },
}

/// A routing rule: assigns matching requests to a paying team and a pool. The first matching rule applies, by `order`
/// and then by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleSpec {
    /// Rules with a lower order are evaluated first.
    pub order: u32,
    /// Selects requests by label. Besides the labels attached by the account and the caller, requests have `account`,
    /// `model` (completions) and `service` (service calls).
    pub when: Selector,
    /// The team that pays.
    pub team: TeamId,
    /// The pool that serves the requests.
    pub pool: PoolId,
    /// Queue priority, from 0 (highest) to 9 (lowest).
    #[serde(default = "RuleSpec::priority")]
    pub priority: u8,
}

impl RuleSpec {
    fn priority() -> u8 {
        5
    }
}

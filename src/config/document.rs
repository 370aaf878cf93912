//! The documents of a configuration.

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

/// Tells why a text names no kind of documents.
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
    /// Returns the kind of document that it is the content of.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Account(_) => Kind::Account,
            Self::Team(_) => Kind::Team,
            Self::Pool(_) => Kind::Pool,
            Self::Rule(_) => Kind::Rule,
        }
    }
}

/// A client account: who may call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// The SHA-256 of each bearer key that is good for it, in hex. Two allow a key to be changed without a gap.
    pub keys: Vec<String>,
    /// Labels that each of its requests carries; a caller cannot override them.
    #[serde(default)]
    pub labels: Labels,
    /// What it may ask for.
    #[serde(default)]
    pub limits: Limits,
}

/// What a client account may ask for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests a second in the long run.
    pub rate: u32,
    /// Requests at once over the rate.
    pub burst: u32,
    /// Requests in progress at one router.
    pub concurrency: u32,
    /// Its share of a full router, against other accounts' shares.
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
    /// Labels for people.
    #[serde(default)]
    pub labels: Labels,
    /// Who bears what is used without a bill.
    #[serde(default = "TeamSpec::bearer")]
    pub bearer: Bearer,
}

impl TeamSpec {
    fn bearer() -> Bearer {
        Bearer::Team
    }
}

/// A pool: endpoints of one kind, picked by their labels in the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// What its endpoints are.
    pub kind: PoolKind,
    /// Picks its endpoints from the VM list.
    pub select: Selector,
    /// Whether its endpoints check the fencing number of an order.
    #[serde(default)]
    pub fenced: bool,
    /// Requests that one endpoint may run at once; the limit adapts below it.
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
    /// Model engines.
    Engine {
        /// The models that they serve.
        models: Vec<ModelId>,
        /// The most tokens that an answer may have; also the reservation where the caller names no limit.
        max_tokens: Tokens,
    },
    /// A plain service.
    Service {
        /// The name in `/v1/services/NAME/...`.
        name: String,
        /// What a call costs.
        price: Tokens,
        /// Whether each method may be repeated: `GET`, `HEAD`, `PUT` and `DELETE` may unless it says otherwise.
        #[serde(default)]
        repeatable: IndexMap<String, bool>,
    },
}

/// A rule: which requests a team pays for and where they go. The first that matches, by order and then by name, counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleSpec {
    /// Lower ones are tried first.
    pub order: u32,
    /// Picks the requests, over their labels. Besides what account and caller attach there are `account`, `model`
    /// (of a completion) and `service` (of a call).
    pub when: Selector,
    /// Who pays.
    pub team: TeamId,
    /// Where they go.
    pub pool: PoolId,
    /// 0 (first) to 9 (last) in a queue.
    #[serde(default = "RuleSpec::priority")]
    pub priority: u8,
}

impl RuleSpec {
    fn priority() -> u8 {
        5
    }
}
